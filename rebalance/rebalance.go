// Package rebalance plans which extents to move between shards so that the shards fill evenly: the source and the
// target of each move, the order of the moves, and the time they take at a given rate. It does not execute the
// moves. The package is pure decision code: it does no I/O, reads no clock, starts no goroutine and does not depend
// on map iteration order. The gateway calls it for the command "eiderhold space plan".
//
// A shard's fill level is the fraction of its bytes that is used. Moving a byte from a shard at fraction x to one at
// fraction y gains x - y; the cost of a move is expressed as the smallest difference for which it is worthwhile, so
// planning terminates. No move raises its target above its source. A plan computed after an earlier one was
// executed is therefore empty, and plans do not oscillate. (This is water-filling; the limit on concurrent moves
// per shard is the one of shares.Waves.)
package rebalance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"
)

// Shard describes a shard, as known from its load report and the register.
type Shard struct {
	ID       int
	Used     int64 // bytes
	Capacity int64 // bytes; 0: unknown, and the shard is left out of the plan
	Draining bool  // it drains: all its units are moved away
	Readable bool  // it can be read from now: neither lost nor overloaded
	Writable bool  // it can be written to now: ready, warm, below its high mark, not lost
}

// Unit is the smallest movable amount of data: the extents of one file version on one shard.
type Unit struct {
	Volume  string `json:"volume"`
	Base    string `json:"base"` // common prefix of the names of its items
	Shard   int    `json:"from"`
	Extents int    `json:"extents"`
	Bytes   int64  `json:"bytes"`
}

// Settings limit a plan.
type Settings struct {
	MinDifference    float64 // smallest difference in used fraction for which a move is worthwhile
	MaxMoves         int     // maximum per plan; another plan may follow
	MaxMovesPerShard int     // maximum number of concurrent moves that a shard takes part in
	BytesPerSecond   int64   // bytes per second that a shard reads and writes, over all its moves
	HighMark         float64 // used fraction that no target exceeds
}

// Default holds the default settings.
var Default = Settings{MinDifference: 0.05, MaxMoves: 10_000, MaxMovesPerShard: 2, BytesPerSecond: 16 << 20, HighMark: 0.9}

// Check returns an error that describes the first invalid setting.
func (s *Settings) Check() error {
	switch {
	case !(s.MinDifference > 0 && s.MinDifference <= 1):
		return fmt.Errorf("least = %v: more than 0, at most 1", s.MinDifference)
	case s.MaxMoves < 1 || s.MaxMovesPerShard < 1 || s.BytesPerSecond < 1:
		return fmt.Errorf("moves = %d, per node = %d, rate = %d: at least 1", s.MaxMoves, s.MaxMovesPerShard, s.BytesPerSecond)
	case !(s.HighMark > 0 && s.HighMark <= 1):
		return fmt.Errorf("high = %v: more than 0, at most 1", s.HighMark)
	}
	return nil
}

// Move is the transfer of a unit to another shard.
type Move struct {
	Unit
	To int `json:"to"`
}

// Spread describes the distribution of used fractions over shards.
type Spread struct {
	Mean      float64 `json:"mean"` // used fraction of the bytes of all shards
	Max       float64 `json:"most"`
	Min       float64 `json:"least"`
	Variation float64 `json:"varies"` // coefficient of variation of the used fractions
}

// Plan lists moves. Waves holds indexes into Moves: the moves of one wave may run at the same time.
type Plan struct {
	Moves             []Move        `json:"moves"`
	Waves             [][]int       `json:"waves"`
	Bytes             int64         `json:"bytes"`
	EstimatedDuration time.Duration `json:"takes"` // estimated duration at Settings.BytesPerSecond, ns
	Before            Spread        `json:"before"`
	After             Spread        `json:"after"`
	// Reason is the reason for which planning ended.
	Reason string        `json:"why"`
	Usage  map[int]Usage `json:"parts"` // used fractions by shard
}

// Usage holds the used fraction of a shard before and after a plan.
type Usage struct {
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// Reasons for which planning ends.
const (
	ReasonBalanced   = "what is left to gain on shards that take data now is less than what it costs"
	ReasonMaxMoves   = "the most moves of a plan: another one may follow"
	ReasonNoUnitFits = "of what may move nothing fits anywhere better"
	ReasonNoTarget   = "no shard takes data now, or there is only one"
)

// shardState is the state of a shard during planning.
type shardState struct {
	Shard
	units []Unit // ordered by size, largest first
}

func (s *shardState) usedFraction() float64 { return float64(s.Used) / float64(s.Capacity) }

// sourceHeap is a heap of shards to move units away from: draining shards first, then the fullest ones.
type sourceHeap []*shardState

func (g sourceHeap) Len() int { return len(g) }
func (g sourceHeap) Less(i, j int) bool {
	if g[i].Draining != g[j].Draining {
		return g[i].Draining
	}
	return cmp.Or(cmp.Compare(g[j].usedFraction(), g[i].usedFraction()), cmp.Compare(g[i].ID, g[j].ID)) < 0
}
func (g sourceHeap) Swap(i, j int) { g[i], g[j] = g[j], g[i] }
func (g *sourceHeap) Push(x any)   { *g = append(*g, x.(*shardState)) }
func (g *sourceHeap) Pop() any {
	old := *g
	x := old[len(old)-1]
	*g = old[:len(old)-1]
	return x
}

// Make computes a plan. allowed reports whether a volume may be stored on a shard; nil allows every shard.
func Make(settings Settings, shards []Shard, units []Unit, allowed func(volume string, shard int) bool) (*Plan, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("rebalance: %w", err)
	}
	byID := map[int]*shardState{}
	var states []*shardState
	for _, s := range shards {
		if byID[s.ID] != nil {
			return nil, fmt.Errorf("rebalance: shard %d is there twice", s.ID)
		}
		if s.Capacity > 0 {
			byID[s.ID] = &shardState{Shard: s}
			states = append(states, byID[s.ID])
		}
	}
	slices.SortFunc(states, func(a, b *shardState) int { return cmp.Compare(a.ID, b.ID) })
	for _, u := range units {
		if s := byID[u.Shard]; s != nil && s.Readable && u.Bytes > 0 {
			s.units = append(s.units, u)
		}
	}
	p := &Plan{Before: computeSpread(states), Usage: map[int]Usage{}}
	for _, s := range states {
		slices.SortFunc(s.units, func(a, b Unit) int {
			return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Volume, b.Volume), cmp.Compare(a.Base, b.Base))
		})
		p.Usage[s.ID] = Usage{Before: s.usedFraction()}
	}
	p.selectMoves(settings, states, allowed)
	for _, s := range states {
		p.Usage[s.ID] = Usage{p.Usage[s.ID].Before, s.usedFraction()}
	}
	p.After = computeSpread(states)
	p.scheduleWaves(settings)
	return p, nil
}

// selectMoves adds moves until none is worthwhile or the limit is reached.
func (p *Plan) selectMoves(settings Settings, states []*shardState, allowed func(string, int) bool) {
	var sources sourceHeap
	var targets []*shardState // shards that accept data, emptiest first
	for _, s := range states {
		if len(s.units) > 0 {
			sources = append(sources, s)
		}
		if s.Writable && !s.Draining {
			targets = append(targets, s)
		}
	}
	heap.Init(&sources)
	compare := func(a, b *shardState) int {
		return cmp.Or(cmp.Compare(a.usedFraction(), b.usedFraction()), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(targets, compare)
	p.Reason = ReasonBalanced
	if len(targets) == 0 || len(states) < 2 {
		p.Reason = ReasonNoTarget
		return
	}
	for len(sources) > 0 {
		if len(p.Moves) == settings.MaxMoves {
			p.Reason = ReasonMaxMoves
			return
		}
		s := sources[0]
		if !s.Draining && s.usedFraction()-targets[0].usedFraction() < settings.MinDifference {
			return // a move away from the fullest remaining source gains too little
		}
		unitIndex, targetIndex := s.bestMove(settings, targets, allowed)
		if targetIndex < 0 {
			heap.Pop(&sources)
			if !s.Draining || len(s.units) > 0 {
				p.Reason = ReasonNoUnitFits
			}
			continue
		}
		unit, target := s.units[unitIndex], targets[targetIndex]
		s.units = slices.Delete(s.units, unitIndex, unitIndex+1)
		s.Used -= unit.Bytes
		target.Used += unit.Bytes
		p.Moves = append(p.Moves, Move{unit, target.ID})
		p.Bytes += unit.Bytes
		if len(s.units) == 0 {
			heap.Pop(&sources)
		} else {
			heap.Fix(&sources, 0)
		}
		// The used fractions of target and source have changed: restore the order of targets and of the heap.
		for _, x := range []*shardState{target, s} {
			if i := slices.Index(targets, x); i >= 0 {
				targets = slices.Delete(targets, i, i+1)
				position, _ := slices.BinarySearchFunc(targets, x, compare)
				targets = slices.Insert(targets, position, x)
			}
		}
		heap.Init(&sources)
	}
}

// bestMove returns the index of the largest unit of s that fits on the emptiest allowed target without raising that
// target above s, and the index of the target, or -1 if there is none.
func (s *shardState) bestMove(settings Settings, targets []*shardState, allowed func(string, int) bool) (unit, target int) {
	const searchLimit = 64 // targets examined, and units examined per target
	for i, t := range targets[:min(len(targets), searchLimit)] {
		if t == s {
			continue
		}
		if !s.Draining && s.usedFraction()-t.usedFraction() < settings.MinDifference {
			break // later targets are fuller
		}
		room := float64(t.Capacity)*settings.HighMark - float64(t.Used)
		if !s.Draining { // the move must not leave the target fuller than the source
			sourceCapacity, targetCapacity := float64(s.Capacity), float64(t.Capacity)
			room = min(room, (float64(s.Used)*targetCapacity-float64(t.Used)*sourceCapacity)/(sourceCapacity+targetCapacity))
		}
		first, _ := slices.BinarySearchFunc(s.units, room, func(u Unit, room float64) int {
			return cmp.Compare(room, float64(u.Bytes)) // units are ordered by decreasing size
		})
		for u := first; u < len(s.units) && u < first+searchLimit; u++ {
			if float64(s.units[u].Bytes) <= room && (allowed == nil || allowed(s.units[u].Volume, t.ID)) {
				return u, i
			}
		}
	}
	return -1, -1
}

// scheduleWaves assigns moves to waves in order, so that a shard takes part in at most MaxMovesPerShard moves of a
// wave.
func (p *Plan) scheduleWaves(settings Settings) {
	remaining := make([]int, len(p.Moves))
	for i := range remaining {
		remaining[i] = i
	}
	for len(remaining) > 0 {
		busy, bytes := map[int]int{}, map[int]int64{}
		var wave, postponed []int
		for _, i := range remaining {
			m := &p.Moves[i]
			if busy[m.Shard] >= settings.MaxMovesPerShard || busy[m.To] >= settings.MaxMovesPerShard {
				postponed = append(postponed, i)
				continue
			}
			busy[m.Shard]++
			busy[m.To]++
			bytes[m.Shard] += m.Bytes
			bytes[m.To] += m.Bytes
			wave = append(wave, i)
		}
		maxBytes := int64(0)
		for _, b := range bytes {
			maxBytes = max(maxBytes, b)
		}
		p.Waves = append(p.Waves, wave)
		p.EstimatedDuration += time.Duration(float64(maxBytes) / float64(settings.BytesPerSecond) * float64(time.Second))
		remaining = postponed
	}
}

// computeSpread returns the distribution over the shards that do not drain.
func computeSpread(states []*shardState) (s Spread) {
	used, capacity, count := int64(0), int64(0), 0.0
	sum, squares := 0.0, 0.0
	s.Min = math.Inf(1)
	for _, x := range states {
		if x.Draining {
			continue
		}
		fraction := x.usedFraction()
		used, capacity, count = used+x.Used, capacity+x.Capacity, count+1
		sum, squares = sum+fraction, squares+fraction*fraction
		s.Max, s.Min = max(s.Max, fraction), min(s.Min, fraction)
	}
	if count == 0 {
		return Spread{}
	}
	s.Mean = float64(used) / float64(capacity)
	if mean := sum / count; mean > 0 {
		s.Variation = math.Sqrt(max(0, squares/count-mean*mean)) / mean
	}
	return s
}
