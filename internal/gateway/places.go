package gateway

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eiderhold/control"
	"eiderhold/internal/config"
	front "eiderhold/internal/front/rsync"
	"eiderhold/internal/host"
	"eiderhold/placement"
)

// warmupInterval is how often the weights of nodes that warm up are recomputed.
const warmupInterval = time.Second

// placer maintains the placement map for new extents. It rebuilds the map from the node list, the
// warmth of nodes, the fill of shards and the solution in use. The front reads it without a lock.
type placer struct {
	settings      placement.Settings
	safety        config.Safety
	log           *slog.Logger
	now           func() time.Duration // the host's clock
	requestReport func(node string)    // asks a node for a load report
	wake          chan struct{}        // signals run that the set of shards that take extents has changed

	nodes *nodeTable

	fillMu sync.Mutex // guards fill; never held during a blocking call
	fill   *placement.Fill

	mu            sync.Mutex
	solutionNodes map[string][]string // volume -> nodes, from the solution in use

	current atomic.Pointer[placementMap]
}

// placementMap is a placement map with the shards that take no new extents.
type placementMap struct {
	*placement.Map
	avoid     []int // listed shards that take no new extents, ascending
	noRoomErr error // set if no shard takes new extents

	// tierCache holds candidates by key modulo its size. Extents of one key are usually placed one after the other.
	tierCache [tierCacheSlots]atomic.Pointer[cachedTiers]
}

const tierCacheSlots = 512

// cachedTiers holds the candidate shards for extents of one key, by tier. It is never modified.
type cachedTiers struct {
	volume string
	key    uint64
	tiers  [][]int
}

func newPlacer(cfg *config.Config, nodes *nodeTable, log *slog.Logger, now func() time.Duration, requestReport func(string)) (*placer, error) {
	fill, err := placement.NewFill(cfg.Marks())
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return &placer{settings: cfg.PlacementSettings(), safety: cfg.Safety, log: log, now: now, requestReport: requestReport, wake: make(chan struct{}, 1),
		fill: fill, nodes: nodes}, nil
}

// reportFill records the fill that a node of a shard reports, and whether it had no room. It does not
// block. The backend calls it.
func (p *placer) reportFill(shard int, used, capacity uint64, noRoom bool) {
	now := p.now()
	p.fillMu.Lock()
	changed := capacity > 0 && p.fill.Report(shard, int64(min(used, 1<<62)), int64(min(capacity, 1<<62)), now)
	if noRoom {
		changed = p.fill.NoRoom(shard, now) || changed
	}
	p.fillMu.Unlock()
	if changed {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// levels returns the known fill of all shards.
func (p *placer) levels() []placement.Level {
	p.fillMu.Lock()
	defer p.fillMu.Unlock()
	return p.fill.Levels(p.now())
}

// nodesChanged rebuilds the map. It is called after each change of the node list.
func (p *placer) nodesChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rebuild()
}

// setSolution sets the placement of the solution in use and rebuilds the map.
func (p *placer) setSolution(nodes map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.solutionNodes = nodes
	p.rebuild()
}

// run rebuilds the map when the fill of a shard calls for it and while nodes warm up, and requests
// load reports, until stop is closed.
func (p *placer) run(stop <-chan struct{}) {
	tick := time.NewTicker(warmupInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.wake:
			p.nodesChanged()
		case <-tick.C:
			p.requestReports()
			if p.anyWarming() {
				p.nodesChanged()
			}
		}
	}
}

// requestReports requests a load report for each shard whose last report is old. Full shards are
// asked more often.
func (p *placer) requestReports() {
	p.fillMu.Lock()
	p.fill.Retain(func(shard int) bool { return len(p.nodes.ofShard(shard)) > 0 })
	due := p.fill.ReportsDue(p.nodes.shards(), p.now())
	p.fillMu.Unlock()
	for _, shard := range due {
		if nodes := p.nodes.ofShard(shard); len(nodes) > 0 { // a ready node, if there is one
			p.requestReport(nodes[0].ID)
		}
	}
}

// anyWarming reports whether a node was still cold warmupInterval ago, so that its weight has changed since then.
func (p *placer) anyWarming() bool {
	for _, shard := range p.nodes.shards() {
		if slices.ContainsFunc(p.nodes.ofShard(shard), func(n host.Node) bool { return p.warmth(n, warmupInterval) < 1 }) {
			return true
		}
	}
	return false
}

// warmth returns the fraction of its capacity that a node had the given time ago: it grows linearly from
// ColdCapacity to 1 within ColdFor after the node's start.
func (p *placer) warmth(n host.Node, ago time.Duration) float64 {
	cold := p.safety.ColdFor.D()
	if n.StartedAt == 0 || cold == 0 {
		return 1
	}
	age := float64(p.now()-ago-n.StartedAt) / float64(cold)
	return min(1, p.safety.ColdCapacity+(1-p.safety.ColdCapacity)*max(0, age))
}

// rebuild makes a new map; p.mu is held. The weight of a shard is the sum of those of its ready nodes.
func (p *placer) rebuild() {
	var shards []placement.Shard
	for _, id := range p.nodes.shards() {
		s := placement.Shard{ID: id, Warmth: 1, Headroom: 1}
		for _, n := range p.nodes.ofShard(id) {
			if n.State != control.Ready {
				continue
			}
			if !s.Ready {
				s.Ready, s.Zone = true, n.Zone
			}
			size := n.Size
			if size <= 0 {
				size = 1 // the register lists no size
			}
			s.Weight += size * p.warmth(n, 0)
		}
		if s.Ready {
			shards = append(shards, s)
		}
	}
	next := &placementMap{}
	var order []int
	p.fillMu.Lock()
	for i := range shards {
		s := &shards[i]
		order = append(order, s.ID)
		if s.Ready, s.Headroom = p.fill.AcceptsExtents(s.ID), p.fill.Headroom(s.ID); !s.Ready {
			next.avoid = append(next.avoid, s.ID)
		}
	}
	if len(next.avoid) == len(order) && len(order) > 0 {
		next.noRoomErr = p.fill.NoRoomError(order)
	}
	p.fillMu.Unlock()
	m, err := placement.New(p.settings, shards, p.nodes.shardsByVolume(p.solutionNodes))
	if err != nil {
		p.log.Error("placement: the map could not be made; the one before stays", "err", err)
		return
	}
	next.Map = m
	previous := p.current.Swap(next)
	if previous == nil {
		previous = &placementMap{}
	}
	if !slices.Equal(previous.avoid, next.avoid) {
		p.log.Info("placement: shards that take nothing new, for want of room", "shards", next.avoid, "of", len(order))
	}
	if next.noRoomErr != nil && previous.noRoomErr == nil {
		p.log.Error("placement: no shard takes new data", "err", next.noRoomErr)
	}
}

// place returns the candidate shards for an extent, or an empty Placement, which allows any shard, before
// the first node list. It returns an error if no shard has room.
func (p *placer) place(volume, file string, index int, size int64) (front.Placement, error) {
	m := p.current.Load()
	if m == nil {
		return front.Placement{}, nil
	}
	if m.noRoomErr != nil {
		return front.Placement{}, m.noRoomErr
	}
	key := p.settings.Key(volume, file, index, size)
	slot := &m.tierCache[key%tierCacheSlots]
	if c := slot.Load(); c != nil && c.key == key && c.volume == volume {
		return front.Placement{Tiers: c.tiers, Avoid: m.avoid}, nil
	}
	var c placement.CandidateBuffer
	tiers := m.Candidates(volume, key, &c)
	out := make([][]int, len(tiers)) // copied, as the tiers point into c and a request keeps them
	for i := range tiers {
		out[i] = slices.Clone(tiers[i])
	}
	slot.Store(&cachedTiers{volume, key, out})
	return front.Placement{Tiers: out, Avoid: m.avoid}, nil
}
