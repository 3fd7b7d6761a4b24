// Package collect removes items that nothing refers to any more: those of replaced
// files and of pushes that broke off. It asks for each removal through the module, as
// a request of a class of low worth, few at a time, so that it yields to everything
// else. cmd/eiderhold runs it.
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
	ScanInterval  time.Duration // between looks
	BatchSize     int           // runs of garbage looked at a time
	MaxConcurrent int           // removals out at a time
	Deadline      time.Duration // of one removal
	Plan          func(volume string) string
}

// Collector removes garbage.
type Collector struct {
	settings Settings
	store    *store.Catalogue
	host     *host.Host
	work     extent.Work
	log      *slog.Logger
	shards   func() []int // of the nodes that are listed
}

// New makes a collector; Run works.
func New(set Settings, s *store.Catalogue, h *host.Host, w extent.Work, shards func() []int, log *slog.Logger) *Collector {
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

// Once looks at the oldest runs and returns how many of them are gone for good.
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
			continue // again later
		}
		ended := make(chan error, 1)
		c.store.Collected(seqs[i], func(err error) { ended <- err })
		if err := <-ended; err != nil {
			return gone, err
		}
		gone++
	}
	return gone, nil
}

// remove asks for the removal of a run's items, and reports whether all are gone.
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
		return false // which shards there are is not known yet
	}
	answers := make(chan bool, c.settings.MaxConcurrent)
	out, ok := 0, true
	for _, t := range targets {
		if out == c.settings.MaxConcurrent {
			ok = <-answers && ok
			out--
		}
		if ctx.Err() != nil || !ok {
			break // nodes are busy or gone: not now
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
