package shares

import (
	"errors"
	"fmt"
	"slices"
)

// ErrStepLimit is returned when an exact search reached its step limit.
var ErrStepLimit = errors.New("shares: the exact search did not end within its steps")

// ErrInfeasible is returned when no placement meets all constraints.
var ErrInfeasible = errors.New("shares: no placement meets all constraints")

// Exact finds the placement of the highest value; among equal ones the lexicographically least,
// volumes and nodes ordered by id. steps limits the placements of single volumes that it tries;
// 0 means no limit. It returns ErrInfeasible if there is no placement. If it reaches the limit it
// returns ErrStepLimit, with the best placement found, if any.
//
// Exact is a branch and bound over volumes in order of their ids and over each volume's sets of
// nodes in lexicographic order, so that the first of equal answers is the least. The bound
// relies on two facts. The worth of a placed volume on a node only falls as other volumes are
// added, apart from one milli-unit of rounding for each volume and node: weighted max-min
// fairness is monotone in its participants, and a volume regains lost share at most as spare,
// which is worth less. An unplaced volume is worth no more than alone on its best nodes.
func Exact(p *Problem, steps int) (*Answer, error) { return ExactUntil(p, steps, nil) }

// stopCheckInterval is the number of steps between two calls of the stop function.
const stopCheckInterval = 4096

// ExactUntil is like Exact, but calls stop from time to time. If stop returns true, the search
// ends as if it had reached the step limit.
func ExactUntil(p *Problem, steps int, stop func() bool) (*Answer, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.instance()
	s := &exactSearch{in: in, maxSteps: steps, stop: stop, bestValue: minValue, loads: make([][]load, len(in.nodes)), reserved: make([]int64, len(in.nodes)),
		nodeBounds: make([]Value, len(in.nodes)), sets: make([][]int, len(in.volumes))}
	s.boundRest()
	s.placeVolume(0)
	if s.bestSets == nil {
		if s.stopped {
			return nil, ErrStepLimit
		}
		return nil, ErrInfeasible
	}
	a, err := in.evaluate(s.bestSets)
	if err == nil && a.Value != s.bestValue {
		err = fmt.Errorf("shares: the search found %v, the evaluation %v", s.bestValue, a.Value)
	}
	if err == nil && s.stopped {
		err = ErrStepLimit
	}
	return a, err
}

// exactSearch is the state of a branch and bound.
type exactSearch struct {
	in         *instance
	maxSteps   int
	stop       func() bool
	stopped    bool
	steps      int
	loads      [][]load // by node
	reserved   []int64
	nodeBounds []Value // upper bound on the worth of each node's loads
	sets       [][]int
	moveValue  Value
	restBounds []Value // upper bound on the worth of the volumes from i on
	bestValue  Value
	bestSets   [][]int
}

// upperBound returns an upper bound on the worth of a load that has this share and spare now,
// whichever loads are added to the node.
func (s *exactSearch) upperBound(v *volume, n *node, share, spare int64) Value {
	in := s.in
	worth := func(share, spare int64) Value { // a part of negative worth may be lost to other loads
		if w := in.worth(v, n, share, spare); w.Cmp(Value{}) > 0 {
			return w
		}
		return Value{}
	}
	return worth(share, 0).Add(worth(0, spare))
}

// boundRest computes the bounds of unplaced volumes. The bound of a volume is the sum of the
// highest worths that it would have alone on a node, one for each node of its spread.
func (s *exactSearch) boundRest() {
	in := s.in
	s.restBounds = make([]Value, len(in.volumes)+1)
	for v := len(in.volumes) - 1; v >= 0; v-- {
		x := &in.volumes[v]
		var all []Value
		for n := range in.nodes {
			if !x.allowed[n] {
				continue
			}
			shares, spares := make([]int64, 1), make([]int64, 1)
			l := load{v, true, true}
			if !in.allocate(&in.nodes[n], []load{l}, shares, spares) {
				l.extraReserve = false
				if !in.allocate(&in.nodes[n], []load{l}, shares, spares) {
					continue
				}
			}
			w := s.upperBound(x, &in.nodes[n], shares[0], spares[0])
			if x.placed && !x.on[n] {
				w = w.Sub(in.moveCost(x))
			}
			all = append(all, w)
		}
		slices.SortFunc(all, func(a, b Value) int { return b.Cmp(a) })
		sum := Value{}
		for _, w := range all[:min(len(all), x.spread)] {
			sum = sum.Add(w)
		}
		s.restBounds[v] = s.restBounds[v+1].Add(sum)
	}
}

// nodeBound returns an upper bound on the worth of a node's loads, whichever loads are added to
// it, and false if their reserves do not fit.
func (s *exactSearch) nodeBound(n int) (Value, bool) {
	in, loads := s.in, s.loads[n]
	shares, spares := make([]int64, len(loads)), make([]int64, len(loads))
	if !in.allocate(&in.nodes[n], loads, shares, spares) {
		return Value{}, false
	}
	sum := Value{}
	for i, l := range loads {
		x := &in.volumes[l.volume]
		demand, _ := in.part(l)
		share := min(shares[i]+1, demand) // rounding may add one milli-unit
		sum = sum.Add(s.upperBound(x, &in.nodes[n], share, min(spares[i], demand-share)))
	}
	return sum, true
}

// placeVolume tries all sets of nodes for volume v and the volumes after it.
func (s *exactSearch) placeVolume(v int) {
	if v == len(s.in.volumes) {
		s.evaluateLeaf()
		return
	}
	s.extendSet(v, 0, nil)
}

// extendSet extends the set of volume v by nodes whose index is at least from, and tries each
// complete set.
func (s *exactSearch) extendSet(v, from int, set []int) {
	x := &s.in.volumes[v]
	if len(set) == x.spread {
		if s.in.checkSet(v, set) == nil {
			s.tryPlacement(v, set)
		}
		return
	}
	for n := from; n < len(s.in.nodes) && !s.stopped; n++ {
		if x.allowed[n] && len(s.loads[n]) < s.in.nodes[n].maxVolumes {
			s.extendSet(v, n+1, append(set, n))
		}
		if x.required[n] {
			return // sets without a required node are not allowed
		}
	}
}

// tryPlacement places volume v on a set and, if the bound exceeds the best value, continues
// with the next volume.
func (s *exactSearch) tryPlacement(v int, set []int) {
	if s.steps++; s.maxSteps > 0 && s.steps > s.maxSteps || s.stop != nil && s.steps%stopCheckInterval == 0 && s.stop() {
		s.stopped = true
		return
	}
	x := &s.in.volumes[v]
	moves := s.moveValue
	old := make([]Value, len(set))
	ok := true
	for rank, n := range set {
		old[rank] = s.nodeBounds[n]
		s.loads[n] = append(s.loads[n], s.in.loadOf(v, rank))
		if ok {
			s.nodeBounds[n], ok = s.nodeBound(n)
		}
		if x.placed && !x.on[n] {
			s.moveValue = s.moveValue.Sub(s.in.moveCost(x))
		}
	}
	if ok {
		upper := s.moveValue.Add(s.restBounds[v+1])
		for _, b := range s.nodeBounds {
			upper = upper.Add(b)
		}
		if upper.Cmp(s.bestValue) > 0 {
			s.sets[v] = set
			s.placeVolume(v + 1)
		}
	}
	for rank, n := range set {
		s.loads[n] = s.loads[n][:len(s.loads[n])-1]
		s.nodeBounds[n] = old[rank]
	}
	s.moveValue = moves
}

// evaluateLeaf evaluates a complete placement and keeps it if it is the best so far.
func (s *exactSearch) evaluateLeaf() {
	sum := s.moveValue
	for n := range s.in.nodes {
		loads := s.loads[n]
		shares, spares := make([]int64, len(loads)), make([]int64, len(loads))
		if !s.in.allocate(&s.in.nodes[n], loads, shares, spares) {
			return
		}
		for i, l := range loads {
			sum = sum.Add(s.in.worth(&s.in.volumes[l.volume], &s.in.nodes[n], shares[i], spares[i]))
		}
	}
	if sum.Cmp(s.bestValue) > 0 {
		s.bestValue = sum
		s.bestSets = make([][]int, len(s.sets))
		for v, set := range s.sets {
			s.bestSets[v] = slices.Clone(set)
		}
	}
}
