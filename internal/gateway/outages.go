package gateway

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"eiderhold/outage"
)

// outageTick is how often lost shards are looked at.
const outageTick = 50 * time.Millisecond

// outages keeps the book of lost shards: the host tells how attempts ended, lost shards are probed, and
// fronts ask before they want anything of one.
type outages struct {
	log   *slog.Logger
	now   func() time.Duration
	probe func(node string)

	nodes *roster

	mu   sync.Mutex
	book *outage.Tracker
}

func newOutages(set outage.Settings, nodes *roster, log *slog.Logger, now func() time.Duration, probe func(string)) (*outages, error) {
	book, err := outage.New(set)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return &outages{log: log, now: now, probe: probe, book: book, nodes: nodes}, nil
}

// news takes that the list changed: fresh are the shards of nodes that are new, restarted or moved.
func (o *outages) news(fresh []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, shard := range fresh {
		o.book.NodeChanged(shard, o.now())
	}
	o.book.Retain(func(shard int) bool { return len(o.nodes.of(shard)) > 0 })
}

// heard takes how an attempt or a probe at a shard ended. The host calls it on its loop.
func (o *outages) heard(shard int, answered bool) {
	o.mu.Lock()
	change, silent := o.book.RecordResult(shard, answered, o.now())
	o.mu.Unlock()
	switch change {
	case outage.ShardLost:
		o.log.Warn("outage: a shard is lost; what lies there is refused, and probed for now and then", "shard", shard)
	case outage.ShardRecovered:
		o.log.Info("outage: a shard answers again", "shard", shard, "silent", silent.Round(time.Millisecond).String())
	}
}

// lost says whether a shard is lost, why it is to be refused, and when to come back.
func (o *outages) lost(shard int) (why string, back time.Duration, lost bool) {
	o.mu.Lock()
	silent, back, lost := o.book.Lost(shard, o.now())
	o.mu.Unlock()
	if !lost {
		return "", 0, false
	}
	return fmt.Sprintf("shard %d (%s) has given no answer for %v", shard, o.holders(shard), silent.Round(100*time.Millisecond)), back, true
}

// mostNamed is how many of a shard's nodes are named to clients.
const mostNamed = 4

// holders names the nodes of a shard.
func (o *outages) holders(shard int) string {
	var ids []string
	for _, n := range o.nodes.of(shard) {
		ids = append(ids, n.ID)
	}
	switch {
	case len(ids) == 0:
		return "no node is listed"
	case len(ids) > mostNamed:
		return fmt.Sprintf("%s and %d more", strings.Join(ids[:mostNamed], ", "), len(ids)-mostNamed)
	}
	return strings.Join(ids, ", ")
}

// run probes lost shards until stop is closed.
func (o *outages) run(stop <-chan struct{}) {
	tick := time.NewTicker(outageTick)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		o.mu.Lock()
		due := o.book.ProbesDue(o.now())
		o.mu.Unlock()
		for _, shard := range due {
			for _, n := range o.nodes.of(shard) {
				o.probe(n.ID)
			}
		}
	}
}
