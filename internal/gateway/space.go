package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/renameio/v2"
)

// SpaceFile is where a gateway says every few seconds what its shards and modules hold.
const SpaceFile = "space.json"

const spaceEvery = 5 * time.Second

// Space is what shards and modules hold, as one gateway knows it.
type Space struct {
	Gateway string        `json:"gateway"`
	At      time.Time     `json:"at"`
	High    float64       `json:"high"` // mark at which a shard takes nothing new
	Low     float64       `json:"low"`
	Shards  []ShardSpace  `json:"shards"`
	Modules []ModuleSpace `json:"modules"`
}

// ShardSpace is one shard. Capacity 0: its nodes tell none.
type ShardSpace struct {
	Shard    int      `json:"shard"`
	Nodes    []string `json:"nodes"` // that are listed
	Zone     string   `json:"zone,omitempty"`
	Used     int64    `json:"used"`     // bytes
	Capacity int64    `json:"capacity"` // bytes
	Age      string   `json:"age"`      // of its report
	State    string   `json:"state"`    // takes, past its mark, full
}

// ModuleSpace is one module, as the gateway's own catalogue has it.
type ModuleSpace struct {
	Module string `json:"module"`
	Files  int64  `json:"files"`
	Bytes  int64  `json:"bytes"`
	Quota  int64  `json:"quota"` // bytes; 0: no bound
}

// The states of a shard.
const (
	StateTakes = "takes"
	StatePast  = "past its mark"
	StateFull  = "full"
)

// Space is what is known now.
func (g *Gateway) Space() (*Space, error) {
	s := &Space{Gateway: g.cfg.Gateway.Name, At: time.Now(), High: g.cfg.Place.High, Low: g.cfg.Place.Low}
	if g.plc != nil {
		s.Shards = g.plc.space()
	}
	g.mu.Lock()
	modules := g.modules
	g.mu.Unlock()
	for _, m := range modules {
		u, err := g.cat.Usage(m.Name)
		if err != nil {
			return nil, err
		}
		s.Modules = append(s.Modules, ModuleSpace{m.Name, u.Files, u.Bytes, m.Quota})
	}
	return s, nil
}

// space lists the shards.
func (p *places) space() (list []ShardSpace) {
	for _, l := range p.levels() {
		s := ShardSpace{Shard: l.Shard, Used: l.Used, Capacity: l.Capacity, State: StateTakes}
		switch {
		case l.Full:
			s.State = StateFull
		case l.PastHighMark:
			s.State = StatePast
		}
		if l.Capacity > 0 {
			s.Age = l.Age.Round(time.Millisecond).String()
		}
		for _, n := range p.nodes.of(l.Shard) {
			s.Nodes, s.Zone = append(s.Nodes, n.ID), n.Zone
		}
		slices.Sort(s.Nodes)
		list = append(list, s)
	}
	return list
}

// keepSpace writes the file until stop is closed. A disk that takes nothing is said once.
func (g *Gateway) keepSpace(stop <-chan struct{}) {
	tick := time.NewTicker(spaceEvery)
	defer tick.Stop()
	file, said := filepath.Join(g.cfg.Gateway.Dir, SpaceFile), false
	for {
		s, err := g.Space()
		if err == nil {
			var b []byte
			if b, err = json.MarshalIndent(s, "", " "); err == nil {
				err = renameio.WriteFile(file, append(b, '\n'), 0o644)
			}
		}
		if err != nil && !said {
			g.log.Warn("space: it could not be written down; eiderhold space shows what was", "file", file, "err", err)
		}
		said = err != nil
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// ReadSpace reads what the gateway of a folder wrote last.
func ReadSpace(dir string) (*Space, error) {
	file := filepath.Join(dir, SpaceFile)
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("space: %s is not there: no gateway has run on this folder; name its gateway.dir", file)
	}
	if err != nil {
		return nil, fmt.Errorf("space: %w", err)
	}
	s := &Space{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("space: %s: %w: the gateway writes it anew within %v", file, err, spaceEvery)
	}
	return s, nil
}
