package gateway

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"eiderhold/outage"
)

// outagePollInterval is how often run checks which lost shards are due for a probe.
const outagePollInterval = 50 * time.Millisecond

// outageMonitor tracks lost shards. The host reports whether attempts were answered, run probes lost
// shards, and the front asks whether a shard is lost before it sends requests there.
type outageMonitor struct {
	log   *slog.Logger
	now   func() time.Duration
	probe func(node string)

	nodes *nodeTable

	mu      sync.Mutex
	tracker *outage.Tracker
}

func newOutageMonitor(settings outage.Settings, nodes *nodeTable, log *slog.Logger, now func() time.Duration, probe func(string)) (*outageMonitor, error) {
	tracker, err := outage.New(settings)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return &outageMonitor{log: log, now: now, probe: probe, tracker: tracker, nodes: nodes}, nil
}

// nodesChanged is called after each change of the node list. changed are the shards of nodes that are new,
// restarted or at another address, which may answer again.
func (o *outageMonitor) nodesChanged(changed []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, shard := range changed {
		o.tracker.NodeChanged(shard, o.now())
	}
	o.tracker.Retain(func(shard int) bool { return len(o.nodes.ofShard(shard)) > 0 })
}

// recordAnswer records whether a shard answered an attempt or a probe. The host calls it on its loop.
func (o *outageMonitor) recordAnswer(shard int, answered bool) {
	o.mu.Lock()
	change, silent := o.tracker.RecordResult(shard, answered, o.now())
	o.mu.Unlock()
	switch change {
	case outage.ShardLost:
		o.log.Warn("outage: a shard is lost; what lies there is refused, and probed for now and then", "shard", shard)
	case outage.ShardRecovered:
		o.log.Info("outage: a shard answers again", "shard", shard, "silent", silent.Round(time.Millisecond).String())
	}
}

// lost reports whether a shard is lost, with the reason for the client and the time after which to retry.
func (o *outageMonitor) lost(shard int) (why string, retryAfter time.Duration, lost bool) {
	o.mu.Lock()
	silent, retryAfter, lost := o.tracker.Lost(shard, o.now())
	o.mu.Unlock()
	if !lost {
		return "", 0, false
	}
	return fmt.Sprintf("shard %d (%s) has given no answer for %v", shard, o.nodeNames(shard), silent.Round(100*time.Millisecond)), retryAfter, true
}

// maxNamedNodes is the number of a shard's nodes that a refusal names.
const maxNamedNodes = 4

// nodeNames lists the nodes of a shard for a refusal.
func (o *outageMonitor) nodeNames(shard int) string {
	var ids []string
	for _, n := range o.nodes.ofShard(shard) {
		ids = append(ids, n.ID)
	}
	switch {
	case len(ids) == 0:
		return "no node is listed"
	case len(ids) > maxNamedNodes:
		return fmt.Sprintf("%s and %d more", strings.Join(ids[:maxNamedNodes], ", "), len(ids)-maxNamedNodes)
	}
	return strings.Join(ids, ", ")
}

// run probes lost shards until stop is closed.
func (o *outageMonitor) run(stop <-chan struct{}) {
	tick := time.NewTicker(outagePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		o.mu.Lock()
		due := o.tracker.ProbesDue(o.now())
		o.mu.Unlock()
		for _, shard := range due {
			for _, n := range o.nodes.ofShard(shard) {
				o.probe(n.ID)
			}
		}
	}
}
