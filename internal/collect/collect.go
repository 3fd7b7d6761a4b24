// Package collect removes items that no file refers to any more: those of replaced files and of aborted pushes.
// Each removal is a request of a class of low worth, and only a few run at a time, so that they yield to all other
// requests. The gateway runs it.
package collect

import (
	"context"
	"log/slog"
	"time"

	"eiderhold/internal/extent"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
	"eiderhold/internal/store"
)

// Settings of the collector.
type Settings struct {
	ScanInterval  time.Duration // interval between scans for garbage
	BatchSize     int           // maximum number of garbage runs per scan
	MaxConcurrent int           // maximum number of concurrent removals
	Deadline      time.Duration // deadline of a removal
	Plan          func(volume string) string
}

// Collector removes garbage.
type Collector struct {
	settings Settings
	store    *store.Catalogue
	host     *host.Host
	work     extent.CostModel
	log      *slog.Logger
	shards   func() []int // returns the shards of the listed nodes
}

// New returns a collector. Run starts it.
func New(set Settings, s *store.Catalogue, h *host.Host, w extent.CostModel, shards func() []int, log *slog.Logger) *Collector {
	if set.ScanInterval == 0 {
		set.ScanInterval = 2 * time.Second
	}
	if set.BatchSize == 0 {
		set.BatchSize = 64
	}
	if set.MaxConcurrent == 0 {
		set.MaxConcurrent = 4
	}
	return &Collector{settings: set, store: s, host: h, work: w, shards: shards, log: log}
}

// Run removes garbage until ctx ends.
func (c *Collector) Run(ctx context.Context) {
	for {
		n, err := c.Once(ctx)
		if err != nil {
			c.log.Warn("collector: the catalogue's garbage could not be read", "err", err)
		}
		wait := c.settings.ScanInterval
		if n == c.settings.BatchSize {
			wait = c.settings.ScanInterval / 20
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// Once processes the oldest garbage runs and returns how many of them were removed completely.
func (c *Collector) Once(ctx context.Context) (gone int, err error) {
	seqs, list, err := c.store.Collectable(c.settings.BatchSize)
	if err != nil {
		return 0, err
	}
	for i := range list {
		if ctx.Err() != nil {
			return gone, nil
		}
		if !c.remove(ctx, &list[i]) {
			continue // retried by a later scan
		}
		ended := make(chan error, 1)
		c.store.RemoveGarbage(seqs[i], func(err error) { ended <- err })
		if err := <-ended; err != nil {
			return gone, err
		}
		gone++
	}
	return gone, nil
}

// remove removes the items of a garbage run and reports whether all of them are gone.
func (c *Collector) remove(ctx context.Context, g *store.Garbage) bool {
	type target struct {
		item  string
		shard int
	}
	var targets []target
	all := c.shards()
	g.Items(func(item string, shard int) {
		if shard >= 0 {
			targets = append(targets, target{item, shard})
			return
		}
		for _, s := range all {
			targets = append(targets, target{item, s})
		}
	})
	if len(all) == 0 {
		return false // the list of shards is not known yet
	}
	answers := make(chan bool, c.settings.MaxConcurrent)
	out, ok := 0, true
	for _, t := range targets {
		if out == c.settings.MaxConcurrent {
			ok = <-answers && ok
			out--
		}
		if ctx.Err() != nil || !ok {
			break // nodes are overloaded or unreachable, so a later scan retries
		}
		_, err := c.host.Submit(&host.Request{Class: c.work.CollectClass, Plan: c.settings.Plan(g.Volume), Volume: g.Volume,
			Item: t.item, Shard: t.shard, Hosts: 1, Units: 1, Expires: c.settings.Deadline, Op: nodewire.Delete,
			Answer: func(a host.Answer) { answers <- a.Kind == host.Served }})
		if err != nil {
			ok = false
			break
		}
		out++
	}
	for range out {
		ok = <-answers && ok
	}
	return ok && ctx.Err() == nil
}
