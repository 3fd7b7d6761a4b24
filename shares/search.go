package shares

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
)

// ErrNotFound is returned when the search found no placement that meets all constraints. One may
// exist: only Exact can prove that there is none.
var ErrNotFound = errors.New("shares: no placement was found that meets all constraints; the exact search may tell whether there is one")

// Options holds the options of Search and Relax.
type Options struct {
	Seed  uint64
	Steps int // changes tried after the first placement; 0: only the first placement
}

// SearchResult is the result of a search: an answer and an upper bound on the value of any placement.
type SearchResult struct {
	*Answer
	Bound Value
}

// Solver is an incremental search. Its current answer is available between any two calls of Step.
type Solver struct {
	in    *instance
	state *searchState
}

// NewSolver returns a solver with an initial placement: the one constructed by estimated gain
// or, for large problems, the greedy one if its value is higher. It returns ErrNotFound if it
// finds none.
func NewSolver(p *Problem, seed uint64) (*Solver, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.instance()
	s := newSearchState(in, seed)
	constructed := s.construct()
	if constructed && len(in.volumes)*len(in.nodes) < maxIndependentPairs/10 {
		return &Solver{in, s}, nil // small problem: a few steps make up for a poor start
	}
	greedy := newSearchState(in, seed)
	for v, set := range in.greedySets() {
		if in.checkSet(v, set) != nil {
			greedy = nil
			break
		}
		greedy.assign(v, set)
	}
	if greedy != nil && greedy.evaluateNodes() && (!constructed || greedy.totalValue().Cmp(s.totalValue()) > 0) {
		return &Solver{in, greedy}, nil
	}
	if !constructed {
		return nil, ErrNotFound
	}
	return &Solver{in, s}, nil
}

// Step tries n changes. It never lowers the value.
func (s *Solver) Step(n int) {
	for range n {
		s.state.tryStep()
	}
}

// Value returns the value of the present placement.
func (s *Solver) Value() Value { return s.state.totalValue() }

// totalValue returns the value of the placement. All volumes must be placed and all nodes
// evaluated.
func (s *searchState) totalValue() Value {
	sum := Value{}
	for _, w := range s.nodeValues {
		sum = sum.Add(w)
	}
	for v := range s.sets {
		sum = sum.Add(s.moveValue(v))
	}
	return sum
}

// Result returns the present placement, evaluated from scratch, and its upper bound.
func (s *Solver) Result() (*SearchResult, error) {
	a, err := s.in.evaluate(s.state.sets)
	if err != nil {
		return nil, err
	}
	return &SearchResult{Answer: a, Bound: s.in.bound(a.Value)}, nil
}

// Search finds a good placement of a problem of any size by local search. It constructs a
// placement, largest parts first, each where the estimated gain is highest. Then it tries small
// changes and keeps those that do not lower the value: moving a volume to another node, swapping
// two volumes, or removing a few volumes and placing them again. The same problem, seed and
// number of steps give the same answer; more steps never give a lower value.
func Search(p *Problem, opt Options) (*SearchResult, error) {
	s, err := NewSolver(p, opt.Seed)
	if err != nil {
		return nil, err
	}
	s.Step(opt.Steps)
	return s.Result()
}

// searchState is a placement under construction or improvement.
type searchState struct {
	in            *instance
	rng           *rand.Rand
	loads         [][]load  // by node, in order of volumes
	nodeValues    []Value   // of each node
	demand        []int64   // sum of the loads' demands, by node
	weight        []float64 // sum of the loads' weights, by node
	weightedPrice []float64 // sum of the loads' weights times prices, by node
	sets          [][]int   // by volume; nil: not placed
	ready         []int

	moveCount  int  // number of nodes that volumes are newly placed on
	maxMoves   int  // limit of moveCount; negative: no limit
	keepPlaced bool // volumes stay on their present nodes where possible

	shares, spares []int64 // scratch space of evaluateNode
}

func newSearchState(in *instance, seed uint64) *searchState {
	s := &searchState{in: in, rng: rand.New(rand.NewPCG(seed, 1)), loads: make([][]load, len(in.nodes)),
		nodeValues: make([]Value, len(in.nodes)), demand: make([]int64, len(in.nodes)),
		weight: make([]float64, len(in.nodes)), weightedPrice: make([]float64, len(in.nodes)), sets: make([][]int, len(in.volumes)), maxMoves: -1}
	for i, n := range in.nodes {
		if n.ready {
			s.ready = append(s.ready, i)
		}
	}
	return s
}

// assign places a volume on a set, or removes it if set is nil. It checks no constraints and
// does not update nodeValues.
func (s *searchState) assign(v int, set []int) {
	x := &s.in.volumes[v]
	for rank, n := range s.sets[v] {
		i := sort.Search(len(s.loads[n]), func(i int) bool { return s.loads[n][i].volume >= v })
		s.loads[n] = slices.Delete(s.loads[n], i, i+1)
		d, _ := s.in.part(s.in.loadOf(v, rank))
		s.demand[n] -= d
		s.weight[n] -= float64(x.weight)
		s.weightedPrice[n] -= float64(x.weight) * float64(x.price)
		if x.placed && !x.on[n] {
			s.moveCount--
		}
	}
	s.sets[v] = set
	for rank, n := range set {
		l := s.in.loadOf(v, rank)
		i := sort.Search(len(s.loads[n]), func(i int) bool { return s.loads[n][i].volume >= v })
		s.loads[n] = slices.Insert(s.loads[n], i, l)
		d, _ := s.in.part(l)
		s.demand[n] += d
		s.weight[n] += float64(x.weight)
		s.weightedPrice[n] += float64(x.weight) * float64(x.price)
		if x.placed && !x.on[n] {
			s.moveCount++
		}
	}
}

// evaluateNode returns the worth of a node's loads, or false if they do not fit.
func (s *searchState) evaluateNode(n int) (Value, bool) {
	in, loads := s.in, s.loads[n]
	if len(loads) > in.nodes[n].maxVolumes {
		return Value{}, false
	}
	s.shares = slices.Grow(s.shares[:0], len(loads))[:len(loads)]
	s.spares = slices.Grow(s.spares[:0], len(loads))[:len(loads)]
	shares, spares := s.shares, s.spares
	if !in.allocate(&in.nodes[n], loads, shares, spares) {
		return Value{}, false
	}
	sum := Value{}
	for i, l := range loads {
		sum = sum.Add(in.worth(&in.volumes[l.volume], &in.nodes[n], shares[i], spares[i]))
	}
	return sum, true
}

// moveValue returns the cost of a volume's moves, as a negative value.
func (s *searchState) moveValue(v int) Value {
	x, sum := &s.in.volumes[v], Value{}
	for _, n := range s.sets[v] {
		if x.placed && !x.on[n] {
			sum = sum.Sub(s.in.moveCost(x))
		}
	}
	return sum
}

// change is the placement of one volume on another set.
type change struct {
	volume int
	set    []int
}

// tryChanges makes changes and keeps them if they raise the value, or leave it equal without
// more moves; otherwise it undoes them. It reports whether it kept them.
func (s *searchState) tryChanges(changes ...change) bool {
	affected := map[int]bool{}
	before, after, movesBefore := Value{}, Value{}, s.moveCount
	old := make([][]int, len(changes))
	for i, c := range changes {
		if c.set != nil && s.in.checkSet(c.volume, c.set) != nil {
			return false
		}
		old[i] = s.sets[c.volume]
		for _, n := range append(slices.Clone(old[i]), c.set...) {
			affected[n] = true
		}
		before = before.Add(s.moveValue(c.volume))
	}
	for i, c := range changes {
		s.assign(c.volume, changes[i].set)
		after = after.Add(s.moveValue(c.volume))
	}
	values := map[int]Value{}
	ok := s.maxMoves < 0 || s.moveCount <= max(s.maxMoves, movesBefore)
	for n := range affected { // the map's order does not matter for the sums
		if !ok {
			break
		}
		var w Value
		if w, ok = s.evaluateNode(n); !ok {
			break
		}
		values[n] = w
		before, after = before.Add(s.nodeValues[n]), after.Add(w)
	}
	if c := after.Cmp(before); !ok || c < 0 || c == 0 && s.moveCount > movesBefore {
		for i := len(changes) - 1; i >= 0; i-- {
			s.assign(changes[i].volume, old[i])
		}
		return false
	}
	for n, w := range values {
		s.nodeValues[n] = w
	}
	return true
}

// chooseSet chooses a set of nodes for a volume by estimated gain, or returns nil if none fits.
// The set includes the nodes in keep as far as they fit. If ignoreOthers is set, what other
// volumes use of the nodes' volume limits and reserves is ignored.
func (s *searchState) chooseSet(v int, ignoreOthers bool, keep ...int) []int {
	in, x := s.in, &s.in.volumes[v]
	var set []int
	zones := map[int]bool{}
	take := func(n int) {
		set = append(set, n)
		zones[in.nodes[n].zone] = true
	}
	fits := func(n int) bool {
		if !x.allowed[n] || slices.Contains(set, n) {
			return false
		}
		if ignoreOthers {
			return in.nodes[n].usable >= x.reserve/int64(x.spread)
		}
		sum := int64(0)
		for _, l := range s.loads[n] {
			_, r := in.part(l)
			sum += r
		}
		return len(s.loads[n]) < in.nodes[n].maxVolumes && sum+(x.reserve+int64(x.spread)-1)/int64(x.spread) <= in.nodes[n].usable
	}
	for n, must := range x.required {
		if must {
			if !fits(n) {
				return nil
			}
			take(n)
		}
	}
	for _, n := range keep {
		if len(set) < x.spread && fits(n) {
			take(n)
		}
	}
	for len(set) < x.spread {
		needNewZone := x.minZones-len(zones) >= x.spread-len(set) // each remaining node must add a zone
		best, bestGain, bestLeft := -1, 0.0, int64(0)
		offset := s.rng.IntN(max(1, len(s.ready)))
		for i := range s.ready {
			n := s.ready[(i+offset)%len(s.ready)]
			left := in.nodes[n].usable - s.demand[n]
			if needNewZone && zones[in.nodes[n].zone] {
				continue
			}
			if g := s.estimateGain(x, n, left); best < 0 || g > bestGain || g == bestGain && left > bestLeft {
				if fits(n) {
					best, bestGain, bestLeft = n, g, left
				}
			}
		}
		if best < 0 {
			return nil
		}
		take(best)
	}
	if len(set) > x.spread || len(zones) < x.minZones {
		return nil
	}
	slices.Sort(set)
	return set
}

// estimateGain estimates how much a part of a volume adds to the total value on a node with left
// usable capacity. The estimate guides the search; no value depends on it. Demand beyond
// what is left takes capacity from the other loads by weight.
func (s *searchState) estimateGain(x *volume, n int, left int64) float64 {
	in := s.in
	part := float64(x.demand) / float64(x.spread)
	fits := min(part, float64(max(0, left)))
	worth := float64(x.price)
	sum := float64(float64(worth-float64(in.nodes[n].cost)) * fits)
	if over := part - fits; over > 0 {
		others := max(s.weight[n], 1)
		taken := min(over, float64(in.nodes[n].usable)*float64(x.weight)/(others+float64(x.weight)))
		sum += float64(float64(worth-s.weightedPrice[n]/others) * taken)
		sum += float64(float64(worth*float64(in.spareWorth.Num)/float64(in.spareWorth.Den)) * max(0, over-taken) / 8)
	}
	if x.placed && !x.on[n] {
		sum -= float64(x.moveCost) * 1000
	}
	return sum
}

const maxEjections = 50 // limit on placements that remove other volumes, times the number of volumes to place

// construct places all volumes, first those with the fewest allowed nodes, then those with the
// largest parts.
func (s *searchState) construct() bool { return s.placeAll(s.placementOrder()) && s.evaluateNodes() }

// placementOrder returns the order in which volumes are placed.
func (s *searchState) placementOrder() []int {
	in := s.in
	choices := make([]int, len(in.volumes))
	order := make([]int, len(in.volumes))
	for v := range order {
		order[v] = v
		for _, ok := range in.volumes[v].allowed {
			if ok {
				choices[v]++
			}
		}
		choices[v] -= in.volumes[v].spread
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &in.volumes[a], &in.volumes[b]
		return cmp.Or(choices[a]-choices[b],
			cmp.Compare(max(y.demand, y.reserve)/int64(y.spread), max(x.demand, x.reserve)/int64(x.spread)),
			cmp.Compare(y.price, x.price))
	})
	return order
}

// placeAll places volumes in order. A volume that does not fit removes others, which are
// appended to the order.
func (s *searchState) placeAll(order []int) bool {
	left := maxEjections*len(order) + 1
	for len(order) > 0 {
		v := order[0]
		order = order[1:]
		set := s.chooseSet(v, false, s.keptNodes(v)...)
		if set == nil {
			set = s.chooseSet(v, false)
		}
		if set == nil {
			if left--; left < 0 {
				return false
			}
			if set = s.chooseSet(v, true); set == nil {
				return false
			}
			for _, n := range set { // remove other volumes until this one fits
				for len(s.loads[n]) > 0 {
					s.assign(v, set)
					_, ok := s.evaluateNode(n)
					s.assign(v, nil)
					if ok {
						break
					}
					out := s.loads[n][s.rng.IntN(len(s.loads[n]))].volume
					s.assign(out, nil)
					order = append(order, out)
				}
			}
		}
		if s.in.checkSet(v, set) != nil {
			return false
		}
		s.assign(v, set)
	}
	return true
}

// keptNodes returns the present nodes of a volume that it may stay on, or none if keepPlaced is
// not set.
func (s *searchState) keptNodes(v int) (nodes []int) {
	if !s.keepPlaced {
		return nil
	}
	x := &s.in.volumes[v]
	for n, on := range x.on {
		if on && x.allowed[n] {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// evaluateNodes sets nodeValues. It returns false if the loads of a node do not fit.
func (s *searchState) evaluateNodes() (ok bool) {
	for n := range s.in.nodes {
		if s.nodeValues[n], ok = s.evaluateNode(n); !ok {
			return false
		}
	}
	return true
}

// tryStep tries one random change.
func (s *searchState) tryStep() {
	if len(s.sets) == 0 || len(s.ready) == 0 {
		return
	}
	fullest, emptiest := s.drawNodePair()
	switch k := s.rng.IntN(16); {
	case k < 5: // move a volume from a full node to one with room
		if loads := s.loads[fullest]; len(loads) > 0 && fullest != emptiest {
			v := loads[s.rng.IntN(len(loads))].volume
			if set := s.sets[v]; !slices.Contains(set, emptiest) {
				s.tryChanges(change{v, s.replaceNode(set, fullest, emptiest)})
			}
		}
	case k < 9: // swap volumes between the two
		a, b := s.loads[fullest], s.loads[emptiest]
		if len(a) > 0 && len(b) > 0 && fullest != emptiest {
			s.trySwap(a[s.rng.IntN(len(a))].volume, b[s.rng.IntN(len(b))].volume, fullest, emptiest)
		}
	case k < 11: // move any volume to any node
		v, n := s.rng.IntN(len(s.sets)), s.ready[s.rng.IntN(len(s.ready))]
		if set := s.sets[v]; !slices.Contains(set, n) {
			s.tryChanges(change{v, s.replaceNode(set, set[s.rng.IntN(len(set))], n)})
		}
	case k < 13: // swap nodes between any two volumes
		u, v := s.rng.IntN(len(s.sets)), s.rng.IntN(len(s.sets))
		s.trySwap(u, v, s.sets[u][s.rng.IntN(len(s.sets[u]))], s.sets[v][s.rng.IntN(len(s.sets[v]))])
	default: // remove a few volumes and place them again
		s.ruinAndRecreate(fullest, emptiest)
	}
}

// drawNodePair draws a few random nodes and returns the fullest and the emptiest, by the ratio
// of demand to usable capacity.
func (s *searchState) drawNodePair() (fullest, emptiest int) {
	fuller := func(a, b int) bool {
		x, y := &s.in.nodes[a], &s.in.nodes[b]
		return float64(s.demand[a])*float64(max(1, y.usable)) > float64(s.demand[b])*float64(max(1, x.usable))
	}
	fullest, emptiest = s.ready[s.rng.IntN(len(s.ready))], s.ready[s.rng.IntN(len(s.ready))]
	// Nodes with very many loads are slow to evaluate, and changes there gain little.
	maxLoads := 4*len(s.sets)/len(s.ready) + 8
	for range 3 {
		if n := s.ready[s.rng.IntN(len(s.ready))]; fuller(n, fullest) && len(s.loads[n]) <= maxLoads || len(s.loads[fullest]) > maxLoads {
			fullest = n
		}
		if n := s.ready[s.rng.IntN(len(s.ready))]; fuller(emptiest, n) {
			emptiest = n
		}
	}
	return fullest, emptiest
}

// trySwap tries to move volume u from node a to b and volume v from b to a.
func (s *searchState) trySwap(u, v, a, b int) {
	if u != v && a != b && !slices.Contains(s.sets[u], b) && !slices.Contains(s.sets[v], a) {
		s.tryChanges(change{u, s.replaceNode(s.sets[u], a, b)}, change{v, s.replaceNode(s.sets[v], b, a)})
	}
}

// replaceNode returns a copy of set with node in instead of node out.
func (s *searchState) replaceNode(set []int, out, in int) []int {
	next := make([]int, 0, len(set))
	for _, n := range set {
		if n != out {
			next = append(next, n)
		}
	}
	next = append(next, in)
	slices.Sort(next)
	return next
}

const maxRecreated = 5 // bounds the volumes that ruinAndRecreate draws from each of two nodes

// ruinAndRecreate removes a few volumes from two nodes and places them by estimated gain, largest
// parts first (G. Schrimpf and others, "Record breaking optimization results using the ruin and
// recreate principle", J. Comp. Physics 159, 2000).
func (s *searchState) ruinAndRecreate(a, b int) {
	var out []int
	for _, n := range []int{a, b} {
		for range 1 + s.rng.IntN(maxRecreated/2) {
			if loads := s.loads[n]; len(loads) > 0 {
				if v := loads[s.rng.IntN(len(loads))].volume; !slices.Contains(out, v) {
					out = append(out, v)
				}
			}
		}
	}
	slices.SortFunc(out, func(u, v int) int {
		x, y := &s.in.volumes[u], &s.in.volumes[v]
		return cmp.Or(cmp.Compare(y.demand/int64(y.spread), x.demand/int64(x.spread)), u-v)
	})
	old := make([][]int, len(out))
	for i, v := range out {
		old[i] = s.sets[v]
		s.assign(v, nil)
	}
	changes := make([]change, 0, len(out))
	allFit, same := true, true
	for i, v := range out {
		set := s.chooseSet(v, false)
		if allFit = allFit && set != nil; !allFit {
			break
		}
		same = same && slices.Equal(set, old[i])
		s.assign(v, set)
		changes = append(changes, change{v, set})
	}
	for i, v := range out {
		s.assign(v, old[i])
	}
	if allFit && !same {
		s.tryChanges(changes...)
	}
}
