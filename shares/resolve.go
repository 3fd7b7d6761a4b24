package shares

import (
	"fmt"
	"slices"
)

// MoveLimitError is returned when meeting all constraints needs more moves than are allowed.
type MoveLimitError struct{ Needed, Max int }

// Error implements error.
func (e *MoveLimitError) Error() string {
	return fmt.Sprintf("shares: %d moves are needed to meet all constraints, %d are allowed: allow more, or change what needs them",
		e.Needed, e.Max)
}

// ResolveOptions holds the options of Resolve.
type ResolveOptions struct {
	Seed     uint64
	Steps    int // changes tried once all volumes are placed again
	MaxMoves int // limit on the nodes that volumes are newly placed on; negative: no limit
}

// Resolve solves a problem again from its present placement (Volume.On) with few moves, after
// nodes were lost, added, resized or drained. Volumes stay where they can; displaced ones are
// placed where the total value gains most. Then it tries changes and applies those that gain
// more than their moves cost, within the limit of opt.MaxMoves. If the displaced volumes alone
// need more moves, the error is a *MoveLimitError.
func Resolve(p *Problem, opt ResolveOptions) (*SearchResult, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.instance()
	s := newSearchState(in, opt.Seed)
	s.keepPlaced = true
	var displaced []int
	for _, v := range s.placementOrder() {
		set := s.keptNodes(v)
		if in.checkSet(v, set) == nil {
			s.assign(v, set)
		} else {
			displaced = append(displaced, v)
		}
	}
	// Remove the volumes with the largest reserves from nodes whose loads do not fit.
	for n := range in.nodes {
		for _, ok := s.evaluateNode(n); !ok && len(s.loads[n]) > 0; _, ok = s.evaluateNode(n) {
			largest := s.loads[n][0]
			for _, l := range s.loads[n] {
				_, r := in.part(l)
				if _, reserve := in.part(largest); r > reserve {
					largest = l
				}
			}
			s.assign(largest.volume, nil)
			displaced = append(displaced, largest.volume)
		}
	}
	if !s.placeAll(displaced) || !s.evaluateNodes() {
		return nil, ErrNotFound
	}
	if opt.MaxMoves >= 0 && s.moveCount > opt.MaxMoves {
		return nil, &MoveLimitError{s.moveCount, opt.MaxMoves}
	}
	s.maxMoves = opt.MaxMoves
	for range opt.Steps {
		s.tryStep()
	}
	a, err := in.evaluate(s.sets)
	if err != nil {
		return nil, err
	}
	return &SearchResult{Answer: a, Bound: in.bound(a.Value)}, nil
}

// Migrate runs Resolve and orders the moves with Waves. If some moves have no order without
// overload, it solves again with only the forced moves and keeps that answer if fewer are stuck.
func Migrate(p *Problem, opt ResolveOptions, perNode int) (*SearchResult, *Schedule, error) {
	f, err := Resolve(p, opt)
	if err != nil {
		return nil, nil, err
	}
	s, err := Waves(p, f.Placement, perNode)
	if err != nil || len(s.Stuck) == 0 || opt.Steps == 0 {
		return f, s, err
	}
	opt.Steps = 0
	forced, err := Resolve(p, opt)
	if err != nil {
		return nil, nil, err
	}
	forcedSchedule, err := Waves(p, forced.Placement, perNode)
	if err == nil && len(forcedSchedule.Stuck) < len(s.Stuck) {
		return forced, forcedSchedule, nil
	}
	return f, s, err
}

// Move is the transfer of one part of a volume to a node. From is empty if there is no source to
// copy from: the old node is gone, or the part is new.
type Move struct {
	Volume string `json:"volume"`
	From   string `json:"from,omitempty"`
	To     string `json:"to"`
	Detour bool   `json:"detour,omitempty"` // To is an intermediate node, from which a later move continues
}

// Schedule is an order of moves. The moves of one wave may run at the same time; a wave starts
// when the one before it is complete.
type Schedule struct {
	Waves [][]Move `json:"waves"`
	// Stuck holds the moves for which no order without overload was found. Their volumes are not
	// moved.
	Stuck []Move `json:"stuck,omitempty"`
}

// scheduler orders moves. Its slices are by node.
type scheduler struct {
	in          *instance
	nodeIndex   map[string]int
	demand      []int64 // moves in progress count at source and target
	count       []int
	reserved    []int64
	maxDemand   []int64
	maxCount    []int
	maxReserved []int64
	perNode     int
}

// Waves orders the moves from a problem's present placement (Volume.On) to another one. While a
// part moves, its demand, reserve and number count at source and target. The schedule never
// exceeds a node's usable capacity, for demand and for reserves, or its limit of volumes, unless
// the node exceeds them before or after the migration; then that load is its limit. A cycle of
// full nodes is broken by a detour over another node. perNode limits the moves that one node
// takes part in within a wave; 0 means no limit.
func Waves(p *Problem, placement map[string][]string, perNode int) (*Schedule, error) {
	a, err := Evaluate(p, placement)
	if err != nil {
		return nil, err
	}
	in := p.instance()
	m := &scheduler{in: in, nodeIndex: map[string]int{}, perNode: perNode}
	for i, n := range in.nodes {
		m.nodeIndex[n.id] = i
	}
	size := len(in.nodes)
	m.demand, m.maxDemand, m.reserved, m.maxReserved = make([]int64, size), make([]int64, size), make([]int64, size), make([]int64, size)
	m.count, m.maxCount = make([]int, size), make([]int, size)
	var moves []pendingMove
	target := make([]bool, size)
	targetDemand := make([]int64, size)
	targetReserved, targetCount := make([]int64, size), make([]int, size)
	for v := range in.volumes {
		x := &in.volumes[v]
		part, reserve := ceilDiv(x.demand, x.spread), ceilDiv(x.reserve, x.spread)
		var from, to []int
		clear(target)
		for _, id := range a.Placement[x.id] {
			target[m.nodeIndex[id]] = true
		}
		for n, targeted := range target {
			if targeted {
				targetDemand[n] += part
				targetReserved[n] += reserve
				targetCount[n]++
			}
			if x.on[n] {
				m.demand[n] += part
				m.reserved[n] += reserve
				m.count[n]++
			}
			switch {
			case x.on[n] && !targeted:
				from = append(from, n)
			case !x.on[n] && targeted && x.placed:
				to = append(to, n)
			}
		}
		for i, n := range to {
			mv := pendingMove{volume: v, from: -1, to: n, part: part, reserve: reserve}
			if i < len(from) {
				mv.from = from[i]
			}
			moves = append(moves, mv)
		}
	}
	for n := range in.nodes {
		m.maxDemand[n] = max(in.nodes[n].usable, m.demand[n], targetDemand[n])
		m.maxReserved[n] = max(in.nodes[n].usable, m.reserved[n], targetReserved[n])
		m.maxCount[n] = max(in.nodes[n].maxVolumes, m.count[n], targetCount[n])
	}
	return m.order(p, moves), nil
}

// ceilDiv returns x / k, rounded up.
func ceilDiv(x int64, k int) int64 { return (x + int64(k) - 1) / int64(k) }

// pendingMove is a move that is not complete. from is -1 if the part has no source.
type pendingMove struct {
	volume, from, to int
	part, reserve    int64
	finalTarget      int // on a detour: the index of the final target plus one; else 0
}

// order arranges moves in waves.
func (m *scheduler) order(p *Problem, moves []pendingMove) *Schedule {
	states := map[string]string{}
	for _, n := range p.Nodes {
		states[n.ID] = n.State
	}
	priority := func(x pendingMove) int { // moves without a source, or from a node that is not ready, go first
		if x.from >= 0 && states[m.in.nodes[x.from].id] != "ready" || x.from < 0 {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(moves, func(a, b pendingMove) int {
		if u := priority(a) - priority(b); u != 0 {
			return u
		}
		return int(min(1, max(-1, b.part-a.part)))
	})
	s := &Schedule{}
	detours := len(moves) // one for each move at most
	for len(moves) > 0 {
		var wave []Move
		var started, rest []pendingMove
		busy := make([]int, len(m.in.nodes))
		available := func(n int) bool { return n < 0 || m.perNode == 0 || busy[n] < m.perNode }
		for _, x := range moves {
			if !m.fits(x, x.to) || !available(x.to) || !available(x.from) {
				rest = append(rest, x)
				continue
			}
			m.start(x, x.to)
			busy[x.to]++
			if x.from >= 0 {
				busy[x.from]++
			}
			started = append(started, x)
			wave = append(wave, m.describe(x, states))
		}
		if len(started) == 0 {
			i, stop := m.findDetour(moves)
			if i < 0 || detours == 0 {
				for _, x := range moves {
					s.Stuck = append(s.Stuck, m.describe(x, states))
				}
				return s
			}
			detours--
			x := moves[i]
			rest = slices.Delete(slices.Clone(moves), i, i+1)
			x.finalTarget, x.to = x.to+1, stop
			m.start(x, stop)
			started, wave = []pendingMove{x}, []Move{m.describe(x, states)}
		}
		for _, x := range started {
			if x.from >= 0 {
				m.finish(x)
			}
			if x.finalTarget > 0 {
				rest = append(rest, pendingMove{volume: x.volume, from: x.to, to: x.finalTarget - 1, part: x.part, reserve: x.reserve})
			}
		}
		s.Waves = append(s.Waves, wave)
		moves = rest
	}
	return s
}

// describe returns a pending move with the names of its volume and nodes.
func (m *scheduler) describe(x pendingMove, states map[string]string) Move {
	mv := Move{Volume: m.in.volumes[x.volume].id, To: m.in.nodes[x.to].id, Detour: x.finalTarget > 0}
	if x.from >= 0 && states[m.in.nodes[x.from].id] != "gone" {
		mv.From = m.in.nodes[x.from].id
	}
	return mv
}

// fits reports whether node n has room for the part of x.
func (m *scheduler) fits(x pendingMove, n int) bool {
	return m.demand[n]+x.part <= m.maxDemand[n] && m.reserved[n]+x.reserve <= m.maxReserved[n] && m.count[n] < m.maxCount[n]
}

// start counts the part of x at node n.
func (m *scheduler) start(x pendingMove, n int) {
	m.demand[n] += x.part
	m.reserved[n] += x.reserve
	m.count[n]++
}

// finish no longer counts the part of x at its source.
func (m *scheduler) finish(x pendingMove) {
	m.demand[x.from] -= x.part
	m.reserved[x.from] -= x.reserve
	m.count[x.from]--
}

// findDetour finds a move that can go to an intermediate node first, so that other moves can
// proceed. It tries the smallest moves first and returns -1 as the index if there is none.
func (m *scheduler) findDetour(moves []pendingMove) (index, stop int) {
	order := make([]int, len(moves))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(min(1, max(-1, moves[a].part-moves[b].part))) })
	for _, i := range order {
		x := moves[i]
		if x.from < 0 {
			continue
		}
		v := &m.in.volumes[x.volume]
		for n := range m.in.nodes {
			if v.allowed[n] && !v.on[n] && n != x.to && n != x.from && m.fits(x, n) &&
				!slices.ContainsFunc(moves, func(y pendingMove) bool { return y.volume == x.volume && (y.to == n || y.from == n) }) {
				return i, n
			}
		}
	}
	return -1, 0
}

// ApplyMoves returns the placement after moves are made: each move's part is on its target and
// no longer on its source. A move whose volume is not on the source only adds the target. The
// result is the starting point of Resolve if a wave failed partway.
func ApplyMoves(placement map[string][]string, moves []Move) map[string][]string {
	next := map[string][]string{}
	for v, nodes := range placement {
		next[v] = slices.Clone(nodes)
	}
	for _, m := range moves {
		nodes := slices.DeleteFunc(next[m.Volume], func(n string) bool { return n == m.From })
		if !slices.Contains(nodes, m.To) {
			nodes = append(nodes, m.To)
		}
		slices.Sort(nodes)
		next[m.Volume] = nodes
	}
	return next
}

// WithPlacement returns a copy of p with placement as the present placement of its volumes. Nodes that are
// gone or not listed are omitted if enough others hold the volume, since their parts were
// rebuilt elsewhere.
func WithPlacement(p *Problem, placement map[string][]string) *Problem {
	present := map[string]bool{}
	for _, n := range p.Nodes {
		present[n.ID] = n.State != "gone"
	}
	q := *p
	q.Volumes = slices.Clone(p.Volumes)
	for i := range q.Volumes {
		v := &q.Volumes[i]
		nodes := placement[v.ID]
		remaining := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return !present[n] })
		if len(remaining) >= v.Spread {
			nodes = remaining
		}
		v.On = slices.Clone(nodes)
	}
	return &q
}
