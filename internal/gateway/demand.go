package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"eiderhold/forecast"
	"eiderhold/internal/config"
)

// DemandFile is the name of the file in a gateway's folder that keeps the demand of its volumes.
const DemandFile = "forecast.dat"

// demandRecorder records the demand of each volume for the forecast. The host loop passes it
// counts once a second; it adds them to a forecast.Recorder and saves its record on its own
// goroutine.
type demandRecorder struct {
	file          string
	writeInterval time.Duration
	log           *slog.Logger
	wake          chan struct{}

	mu      sync.Mutex
	pending map[string]float64 // units by volume that were not yet added to recorder; guarded by mu

	recorder *forecast.Recorder // used only by run
}

func newDemandRecorder(cfg *config.Config, log *slog.Logger) (*demandRecorder, error) {
	d := &demandRecorder{file: filepath.Join(cfg.Gateway.Dir, DemandFile), writeInterval: cfg.Forecast.WriteInterval.D(), log: log, wake: make(chan struct{}, 1)}
	var previous *forecast.Record
	b, err := os.ReadFile(d.file)
	if err == nil {
		previous, err = forecast.ReadRecord(b)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		badFile := d.file + ".bad"
		log.Warn("forecast: the record cannot be used; it is put aside and a new one begun", "file", d.file, "as", badFile, "err", err)
		if err := os.Rename(d.file, badFile); err != nil {
			log.Warn("forecast: the unusable record could not be renamed", "err", err)
		}
	}
	if d.recorder, err = forecast.NewRecorder(cfg.ForecastSettings(), previous); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return d, nil
}

// add adds counts from the host loop. It does not block on run, so it is safe to call on the loop.
func (d *demandRecorder) add(units map[string]float64) {
	d.mu.Lock()
	if d.pending == nil {
		d.pending = units
	} else {
		for v, u := range units {
			d.pending[v] += u
		}
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run adds counts to the recorder as they arrive, and saves the record periodically and when stop is closed.
func (d *demandRecorder) run(stop <-chan struct{}) {
	tick := time.NewTicker(d.writeInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			d.addPending()
			d.save()
			return
		case <-tick.C:
			d.addPending()
			d.save()
		case <-d.wake:
			d.addPending()
		}
	}
}

func (d *demandRecorder) addPending() {
	d.mu.Lock()
	units := d.pending
	d.pending = nil
	d.mu.Unlock()
	d.recorder.Add(time.Now(), units)
}

func (d *demandRecorder) save() {
	b, err := d.recorder.Record().Encode()
	if err == nil {
		err = renameio.WriteFile(d.file, b, 0o644)
	}
	if err != nil {
		d.log.Warn("forecast: the record could not be written; what was seen since the last time is at risk", "file", d.file, "err", err)
	}
}
