package shares

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
)

// ErrNotFound says that no placement was found that meets all constraints. There may be
// one: only Exact can say that there is none.
var ErrNotFound = errors.New("shares: no placement was found that meets all constraints; the exact search may tell whether there is one")

// Options of a search.
type Options struct {
	Seed  uint64
	Steps int // changes tried after the first placement; 0: only the first placement
}

// Found is what a search came to: the answer and an upper bound that no placement
// passes.
type Found struct {
	*Answer
	Bound Value
}

// Search finds a good placement of a problem of any size: it constructs one, by room
// left, and changes it in small steps that do not make it worse: a volume to another
// node, two volumes exchanged, a few taken out and put in again. The same problem, seed
// and number of steps give the same answer; more steps never give a lower value.
func Search(p *Problem, opt Options) (*Found, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.resolve()
	s := newState(in, opt.Seed)
	if !s.construct() {
		return nil, ErrNotFound
	}
	for range opt.Steps {
		s.step()
	}
	a, err := in.evaluate(s.sets)
	if err != nil {
		return nil, err
	}
	return &Found{Answer: a, Bound: in.bound()}, nil
}

// Bound is an upper bound of what any placement of a problem that has passed Check is
// worth.
func Bound(p *Problem) Value { return p.resolve().bound() }

// bound is an upper bound of what any placement is worth: the lesser of what volumes
// earn each alone on its best nodes, and of what they earn if all nodes were one: the
// dearest volumes take what is usable, the dearest of the rest what is spare.
func (in *instance) bound() Value {
	s := &search{in: in}
	s.alone()
	usable, capacity, cost := int64(0), int64(0), int64(MostPrice)
	for _, n := range in.nodes {
		if n.ready {
			usable, capacity, cost = usable+n.usable, capacity+n.capacity, min(cost, n.cost)
		}
	}
	volumes := slices.Clone(in.volumes)
	slices.SortStableFunc(volumes, func(a, b volume) int {
		if a.price != b.price {
			return int(min(1, max(-1, b.price-a.price)))
		}
		return 0
	})
	pooled := Value{}
	all := node{cost: cost}
	for i := range volumes {
		v := &volumes[i]
		share := min(v.demand, usable)
		sent := min(v.demand, capacity)
		usable -= share
		capacity -= sent
		pooled = pooled.Add(s.upper(v, &all, share, sent-share))
	}
	if pooled.Cmp(s.rest[0]) < 0 {
		return pooled
	}
	return s.rest[0]
}

// state is a placement that is being changed.
type state struct {
	in    *instance
	rng   *rand.Rand
	at    [][]load // by node, in order of volumes
	worth []Value  // of each node
	want  []int64  // demand there
	sets  [][]int  // nil: not placed
	ready []int
}

func newState(in *instance, seed uint64) *state {
	s := &state{in: in, rng: rand.New(rand.NewPCG(seed, 1)), at: make([][]load, len(in.nodes)),
		worth: make([]Value, len(in.nodes)), want: make([]int64, len(in.nodes)), sets: make([][]int, len(in.volumes))}
	for i, n := range in.nodes {
		if n.ready {
			s.ready = append(s.ready, i)
		}
	}
	return s
}

// put places a volume on a set, or nowhere for nil, without asking whether it may.
func (s *state) put(v int, set []int) {
	for rank, n := range s.sets[v] {
		i := sort.Search(len(s.at[n]), func(i int) bool { return s.at[n][i].volume >= v })
		s.at[n] = slices.Delete(s.at[n], i, i+1)
		d, _ := s.in.part(s.in.loadOf(v, rank))
		s.want[n] -= d
	}
	s.sets[v] = set
	for rank, n := range set {
		l := s.in.loadOf(v, rank)
		i := sort.Search(len(s.at[n]), func(i int) bool { return s.at[n][i].volume >= v })
		s.at[n] = slices.Insert(s.at[n], i, l)
		d, _ := s.in.part(l)
		s.want[n] += d
	}
}

// value is what a node's loads earn; false if they do not fit there.
func (s *state) value(n int) (Value, bool) {
	in, loads := s.in, s.at[n]
	if len(loads) > in.nodes[n].most {
		return Value{}, false
	}
	shares, spares := make([]int64, len(loads)), make([]int64, len(loads))
	if !in.fill(&in.nodes[n], loads, shares, spares) {
		return Value{}, false
	}
	sum := Value{}
	for i, l := range loads {
		sum = sum.Add(in.worth(&in.volumes[l.volume], &in.nodes[n], shares[i], spares[i]))
	}
	return sum, true
}

// moves is what a volume pays to be where it is.
func (s *state) moves(v int) Value {
	x, sum := &s.in.volumes[v], Value{}
	for _, n := range s.sets[v] {
		if x.anywhere && !x.on[n] {
			sum = sum.Sub(s.in.moveCost(x))
		}
	}
	return sum
}

// change is one volume that goes to another set.
type change struct {
	volume int
	set    []int
}

// apply makes changes if the whole is not worth less after them, and says whether.
func (s *state) apply(changes ...change) bool {
	touched := map[int]bool{}
	before, after := Value{}, Value{}
	old := make([][]int, len(changes))
	for i, c := range changes {
		if c.set != nil && s.in.may(c.volume, c.set) != nil {
			return false
		}
		old[i] = s.sets[c.volume]
		for _, n := range append(slices.Clone(old[i]), c.set...) {
			touched[n] = true
		}
		before = before.Add(s.moves(c.volume))
	}
	for i, c := range changes {
		s.put(c.volume, changes[i].set)
		after = after.Add(s.moves(c.volume))
	}
	values := map[int]Value{}
	ok := true
	for n := range touched { // sums do not depend on the order
		var w Value
		if w, ok = s.value(n); !ok {
			break
		}
		values[n] = w
		before, after = before.Add(s.worth[n]), after.Add(w)
	}
	if !ok || after.Cmp(before) < 0 {
		for i := len(changes) - 1; i >= 0; i-- {
			s.put(changes[i].volume, old[i])
		}
		return false
	}
	for n, w := range values {
		s.worth[n] = w
	}
	return true
}

// pick chooses a set for a volume by room left; nil if there is none that fits. loose
// passes over what other volumes take of ceilings and reserves.
func (s *state) pick(v int, loose bool) []int {
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
		if loose {
			return in.nodes[n].usable >= x.reserve/int64(x.spread)
		}
		sum := int64(0)
		for _, l := range s.at[n] {
			_, r := in.part(l)
			sum += r
		}
		return len(s.at[n]) < in.nodes[n].most && sum+(x.reserve+int64(x.spread)-1)/int64(x.spread) <= in.nodes[n].usable
	}
	for n, must := range x.required {
		if must {
			if !fits(n) {
				return nil
			}
			take(n)
		}
	}
	part := x.demand / int64(x.spread)
	for len(set) < x.spread {
		fresh := x.zones-len(zones) >= x.spread-len(set) // each that is left must bring a zone
		best, room := -1, int64(0)
		offset := s.rng.IntN(max(1, len(s.ready)))
		for i := range s.ready {
			n := s.ready[(i+offset)%len(s.ready)]
			left := in.nodes[n].usable - s.want[n]
			if x.on[n] && left >= part {
				left += in.nodes[n].usable // where it is, if there is room
			}
			if best >= 0 && left <= room || fresh && zones[in.nodes[n].zone] || !fits(n) {
				continue
			}
			best, room = n, left
		}
		if best < 0 {
			return nil
		}
		take(best)
	}
	if len(set) > x.spread || len(zones) < x.zones {
		return nil
	}
	slices.Sort(set)
	return set
}

const ejections = 50 // volumes put out again for each that did not fit, at most

// construct places all volumes: those with the fewest nodes to choose from first, then
// those with the largest reserve and demand. One that does not fit puts others out.
func (s *state) construct() bool {
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
		switch {
		case choices[a] != choices[b]:
			return choices[a] - choices[b]
		case x.reserve != y.reserve:
			return int(min(1, max(-1, y.reserve-x.reserve)))
		}
		return int(min(1, max(-1, y.demand-x.demand)))
	})
	left := ejections*len(order) + 1
	for len(order) > 0 {
		v := order[0]
		order = order[1:]
		set := s.pick(v, false)
		if set == nil {
			if left--; left < 0 {
				return false
			}
			if set = s.pick(v, true); set == nil {
				return false
			}
			for _, n := range set { // make room: others go until it fits
				for len(s.at[n]) > 0 {
					s.put(v, set)
					_, ok := s.value(n)
					s.put(v, nil)
					if ok {
						break
					}
					out := s.at[n][s.rng.IntN(len(s.at[n]))].volume
					s.put(out, nil)
					order = append(order, out)
				}
			}
		}
		if in.may(v, set) != nil {
			return false
		}
		s.put(v, set)
	}
	for n := range in.nodes {
		w, ok := s.value(n)
		if !ok {
			return false
		}
		s.worth[n] = w
	}
	return true
}

// step tries one change.
func (s *state) step() {
	if len(s.sets) == 0 || len(s.ready) == 0 {
		return
	}
	v := s.rng.IntN(len(s.sets))
	set := s.sets[v]
	switch k := s.rng.IntN(8); {
	case k < 4: // one of its nodes for another
		n := s.ready[s.rng.IntN(len(s.ready))]
		for range 2 { // rather one with room
			if m := s.ready[s.rng.IntN(len(s.ready))]; s.in.nodes[m].usable-s.want[m] > s.in.nodes[n].usable-s.want[n] {
				n = m
			}
		}
		if !slices.Contains(set, n) {
			s.apply(change{v, s.with(set, set[s.rng.IntN(len(set))], n)})
		}
	case k < 7: // two volumes exchange a node
		u := s.rng.IntN(len(s.sets))
		other := s.sets[u]
		a, b := set[s.rng.IntN(len(set))], other[s.rng.IntN(len(other))]
		if u != v && a != b && !slices.Contains(set, b) && !slices.Contains(other, a) {
			s.apply(change{v, s.with(set, a, b)}, change{u, s.with(other, b, a)})
		}
	default: // chosen anew, by room
		s.again(v)
	}
}

// with is a set in which one node stands for another.
func (s *state) with(set []int, out, in int) []int {
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

// again takes a volume out and places it by room.
func (s *state) again(v int) {
	old := s.sets[v]
	s.put(v, nil)
	set := s.pick(v, false)
	s.put(v, old)
	if set != nil && !slices.Equal(set, old) {
		s.apply(change{v, set})
	}
}
