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

// warmEvery is how often the weights of nodes that warm up are worked out anew.
const warmEvery = time.Second

// places keeps the map of who takes new extents up to date: from the node list, which nodes are
// warm by now, how full shards are, and the solution in use. The fronts read it without a lock.
type places struct {
	set  placement.Settings
	safe config.Safety
	log  *slog.Logger
	now  func() time.Duration // the host's clock
	ask  func(node string)    // for a load report
	bell chan struct{}        // who takes extents has changed

	nodes *roster

	fillMu sync.Mutex // guards fill; never held with what blocks
	fill   *placement.Fill

	mu     sync.Mutex
	placed map[string][]string // volume -> nodes, of the solution in use

	current atomic.Pointer[placed]
}

// placed is a map with what goes with it.
type placed struct {
	*placement.Map
	avoid []int // shards that are listed and take nothing, ascending
	none  error // why none does

	chosen [chosenSlots]atomic.Pointer[chosen] // of late, by key: extents that are to lie together ask one after the other
}

const chosenSlots = 512

// chosen is where extents of one key go. It does not change.
type chosen struct {
	volume string
	key    uint64
	tiers  [][]int
}

func newPlaces(cfg *config.Config, nodes *roster, log *slog.Logger, now func() time.Duration, ask func(string)) (*places, error) {
	fill, err := placement.NewFill(cfg.Marks())
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return &places{set: cfg.PlacementSettings(), safe: cfg.Safety, log: log, now: now, ask: ask, bell: make(chan struct{}, 1),
		fill: fill, nodes: nodes}, nil
}

// filled takes what a shard reports; it does not block. The backend calls it.
func (p *places) filled(shard int, used, capacity uint64, noRoom bool) {
	now := p.now()
	p.fillMu.Lock()
	changed := capacity > 0 && p.fill.Report(shard, int64(min(used, 1<<62)), int64(min(capacity, 1<<62)), now)
	if noRoom {
		changed = p.fill.NoRoom(shard, now) || changed
	}
	p.fillMu.Unlock()
	if changed {
		select {
		case p.bell <- struct{}{}:
		default:
		}
	}
}

// levels is what is known of how full shards are.
func (p *places) levels() []placement.Level {
	p.fillMu.Lock()
	defer p.fillMu.Unlock()
	return p.fill.Levels(p.now())
}

// news takes that the list changed.
func (p *places) news() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build()
}

// solution takes the placement of the solution in use.
func (p *places) solution(placed map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed = placed
	p.build()
}

// run works the weights of nodes that warm up out anew, until stop is closed.
func (p *places) run(stop <-chan struct{}) {
	tick := time.NewTicker(warmEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.bell:
			p.news()
		case <-tick.C:
			p.askAround()
			if p.warming() {
				p.news()
			}
		}
	}
}

// askAround asks nodes for reports of shards that nothing was heard of for long, those that are full
// more often.
func (p *places) askAround() {
	p.fillMu.Lock()
	p.fill.Retain(func(shard int) bool { return len(p.nodes.of(shard)) > 0 })
	ask := p.fill.ReportsDue(p.nodes.shards(), p.now())
	p.fillMu.Unlock()
	for _, shard := range ask {
		if nodes := p.nodes.of(shard); len(nodes) > 0 { // one that is ready, before one that drains
			p.ask(nodes[0].ID)
		}
	}
}

// warming says whether a node was not warm yet when the map was made last.
func (p *places) warming() bool {
	for _, shard := range p.nodes.shards() {
		if slices.ContainsFunc(p.nodes.of(shard), func(n host.Node) bool { return p.warmth(n, warmEvery) < 1 }) {
			return true
		}
	}
	return false
}

// warmth is the part of its capacity that a node had some time ago, as the rules state it.
func (p *places) warmth(n host.Node, ago time.Duration) float64 {
	cold := p.safe.ColdFor.D()
	if n.StartedAt == 0 || cold == 0 {
		return 1
	}
	age := float64(p.now()-ago-n.StartedAt) / float64(cold)
	return min(1, p.safe.ColdCapacity+(1-p.safe.ColdCapacity)*max(0, age))
}

// build makes the map anew; the lock is held. A shard weighs what its ready nodes do.
func (p *places) build() {
	var shards []placement.Shard
	for _, id := range p.nodes.shards() {
		s := placement.Shard{ID: id, Warmth: 1, Headroom: 1}
		for _, n := range p.nodes.of(id) {
			if n.State != control.Ready {
				continue
			}
			if !s.Ready {
				s.Ready, s.Zone = true, n.Zone
			}
			size := n.Size
			if size <= 0 {
				size = 1 // the register tells no sizes
			}
			s.Weight += size * p.warmth(n, 0)
		}
		if s.Ready {
			shards = append(shards, s)
		}
	}
	next := &placed{}
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
		next.none = p.fill.NoRoomError(order)
	}
	p.fillMu.Unlock()
	m, err := placement.New(p.set, shards, p.nodes.placed(p.placed))
	if err != nil {
		p.log.Error("placement: the map could not be made; the one before stays", "err", err)
		return
	}
	next.Map = m
	before := p.current.Swap(next)
	if before == nil {
		before = &placed{}
	}
	if !slices.Equal(before.avoid, next.avoid) {
		p.log.Info("placement: shards that take nothing new, for want of room", "shards", next.avoid, "of", len(order))
	}
	if next.none != nil && before.none == nil {
		p.log.Error("placement: no new data is taken", "err", next.none)
	}
}

// spot is where an extent is to go; anywhere before the nodes are known. The error says that no
// shard has room.
func (p *places) spot(volume, file string, index int, size int64) (front.Spot, error) {
	m := p.current.Load()
	if m == nil {
		return front.Spot{}, nil
	}
	if m.none != nil {
		return front.Spot{}, m.none
	}
	key := p.set.Key(volume, file, index, size)
	slot := &m.chosen[key%chosenSlots]
	if c := slot.Load(); c != nil && c.key == key && c.volume == volume {
		return front.Spot{Tiers: c.tiers, Avoid: m.avoid}, nil
	}
	var c placement.CandidateBuffer
	tiers := m.Candidates(volume, key, &c)
	out := make([][]int, len(tiers)) // a request outlives c
	for i := range tiers {
		out[i] = slices.Clone(tiers[i])
	}
	slot.Store(&chosen{volume, key, out})
	return front.Spot{Tiers: out, Avoid: m.avoid}, nil
}
