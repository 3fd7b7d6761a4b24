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

// SpaceFile is the name of the file in a gateway's folder to which it writes its Space periodically.
const SpaceFile = "space.json"

const spaceInterval = 5 * time.Second

// Space is the fill of the shards and the usage of the modules, as one gateway knows them.
type Space struct {
	Gateway string        `json:"gateway"`
	At      time.Time     `json:"at"`
	High    float64       `json:"high"` // fill at which a shard stops taking new data
	Low     float64       `json:"low"`  // fill below which it takes new data again
	Shards  []ShardSpace  `json:"shards"`
	Modules []ModuleSpace `json:"modules"`
}

// ShardSpace is the fill of one shard. Capacity is 0 if its nodes have not reported one.
type ShardSpace struct {
	Shard    int      `json:"shard"`
	Nodes    []string `json:"nodes"` // listed nodes of the shard, sorted
	Zone     string   `json:"zone,omitempty"`
	Used     int64    `json:"used"`     // bytes
	Capacity int64    `json:"capacity"` // bytes
	Age      string   `json:"age"`      // of the last load report with a capacity
	State    string   `json:"state"`    // StateTakes, StatePast or StateFull
}

// ModuleSpace is the usage of one module, as recorded in the gateway's own catalogue.
type ModuleSpace struct {
	Module string `json:"module"`
	Files  int64  `json:"files"`
	Bytes  int64  `json:"bytes"`
	Quota  int64  `json:"quota"` // bytes; 0 means unlimited
}

// The states of a shard. A shard in StatePast has passed the high mark and is not yet below the low one; a shard in
// StateFull has refused data for want of room.
const (
	StateTakes = "takes"
	StatePast  = "past its mark"
	StateFull  = "full"
)

// Space returns the current fill of the shards and usage of the modules.
func (g *Gateway) Space() (*Space, error) {
	s := &Space{Gateway: g.cfg.Gateway.Name, At: time.Now(), High: g.cfg.Placement.High, Low: g.cfg.Placement.Low}
	if g.placer != nil {
		s.Shards = g.placer.shardSpaces()
	}
	g.mu.Lock()
	modules := g.modules
	g.mu.Unlock()
	for _, m := range modules {
		u, err := g.catalogue.Usage(m.Name)
		if err != nil {
			return nil, err
		}
		s.Modules = append(s.Modules, ModuleSpace{m.Name, u.Files, u.Bytes, m.QuotaBytes})
	}
	return s, nil
}

// shardSpaces returns the fill of all shards.
func (p *placer) shardSpaces() (list []ShardSpace) {
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
		for _, n := range p.nodes.ofShard(l.Shard) {
			s.Nodes, s.Zone = append(s.Nodes, n.ID), n.Zone
		}
		slices.Sort(s.Nodes)
		list = append(list, s)
	}
	return list
}

// writeSpace writes SpaceFile periodically until stop is closed. It logs the first of several failures in a row.
func (g *Gateway) writeSpace(stop <-chan struct{}) {
	tick := time.NewTicker(spaceInterval)
	defer tick.Stop()
	file, reported := filepath.Join(g.cfg.Gateway.Dir, SpaceFile), false
	for {
		s, err := g.Space()
		if err == nil {
			var b []byte
			if b, err = json.MarshalIndent(s, "", " "); err == nil {
				err = renameio.WriteFile(file, append(b, '\n'), 0o644)
			}
		}
		if err != nil && !reported {
			g.log.Warn("space: the file could not be written; eiderhold space may show old figures", "file", file, "err", err)
		}
		reported = err != nil
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// ReadSpace reads the Space that the gateway of a folder wrote last.
func ReadSpace(dir string) (*Space, error) {
	file := filepath.Join(dir, SpaceFile)
	b, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("space: %s does not exist: no gateway has run on this folder; expected its gateway.dir", file)
	}
	if err != nil {
		return nil, fmt.Errorf("space: %w", err)
	}
	s := &Space{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("space: %s: %w: a running gateway rewrites the file within %v", file, err, spaceInterval)
	}
	return s, nil
}
