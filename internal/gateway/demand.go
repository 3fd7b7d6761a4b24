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

// DemandFile is where a gateway keeps what its volumes asked for, in its folder.
const DemandFile = "forecast.dat"

// demand keeps the forecast's book: the host loop hands it counts once a second, and it
// books and writes them on a goroutine of its own.
type demand struct {
	file  string
	every time.Duration
	log   *slog.Logger
	bell  chan struct{}

	mu    sync.Mutex
	units map[string]float64 // asked for and not booked yet; guarded by mu

	book *forecast.Recorder // run's
}

func newDemand(cfg *config.Config, log *slog.Logger) (*demand, error) {
	d := &demand{file: filepath.Join(cfg.Gateway.Dir, DemandFile), every: cfg.Forecast.Write.D(), log: log, bell: make(chan struct{}, 1)}
	var before *forecast.Record
	b, err := os.ReadFile(d.file)
	if err == nil {
		before, err = forecast.ReadRecord(b)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		aside := d.file + ".bad"
		log.Warn("forecast: the record cannot be used; it is put aside and a new one begun", "file", d.file, "as", aside, "err", err)
		if err := os.Rename(d.file, aside); err != nil {
			log.Warn("forecast: it could not be put aside", "err", err)
		}
	}
	if d.book, err = forecast.NewRecorder(cfg.ForecastSettings(), before); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return d, nil
}

// asked takes counts from the host loop; it does not block.
func (d *demand) asked(units map[string]float64) {
	d.mu.Lock()
	if d.units == nil {
		d.units = units
	} else {
		for v, u := range units {
			d.units[v] += u
		}
	}
	d.mu.Unlock()
	select {
	case d.bell <- struct{}{}:
	default:
	}
}

// run books what comes, and writes the record now and then and at the end.
func (d *demand) run(stop <-chan struct{}) {
	tick := time.NewTicker(d.every)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			d.take()
			d.write()
			return
		case <-tick.C:
			d.take()
			d.write()
		case <-d.bell:
			d.take()
		}
	}
}

func (d *demand) take() {
	d.mu.Lock()
	units := d.units
	d.units = nil
	d.mu.Unlock()
	d.book.Add(time.Now(), units)
}

func (d *demand) write() {
	b, err := d.book.Record().Encode()
	if err == nil {
		err = renameio.WriteFile(d.file, b, 0o644)
	}
	if err != nil {
		d.log.Warn("forecast: the record could not be written; what was seen since the last time is at risk", "file", d.file, "err", err)
	}
}
