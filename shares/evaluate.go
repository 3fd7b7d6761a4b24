package shares

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"sort"
)

// Part is one volume's allocation on one node, in milli-units a second.
type Part struct {
	Volume, Node string
	Demand       int64 // the part of the volume's demand that falls on the node
	Share        int64 // reserve and fair share
	Spare        int64 // allocated from the capacity beyond the shares
}

// Answer is a placement and its value.
type Answer struct {
	Value     Value
	Placement map[string][]string
	Parts     []Part // by volume, then node
	Moves     int
}

// InfeasibleError is the error for a placement that violates a constraint. Text names the constraint.
type InfeasibleError struct{ Text string }

// Error implements error.
func (e *InfeasibleError) Error() string { return "infeasible: " + e.Text }

// load is one volume's part on one node.
type load struct {
	volume       int
	extraDemand  bool // takes one milli-unit of the remainder of the volume's demand
	extraReserve bool // takes one milli-unit of the remainder of its reserve
}

// part returns the demand and reserve of a load.
func (in *instance) part(l load) (demand, reserve int64) {
	v := &in.volumes[l.volume]
	k := int64(v.spread)
	demand, reserve = v.demand/k, v.reserve/k
	if l.extraDemand {
		demand++
	}
	if l.extraReserve {
		reserve++
	}
	return demand, reserve
}

// loadOf returns the load of volume v on the rank-th of its nodes.
func (in *instance) loadOf(v, rank int) load {
	x := &in.volumes[v]
	return load{v, int64(rank) < x.demand%int64(x.spread), int64(rank) < x.reserve%int64(x.spread)}
}

// allocate divides a node among its loads, which must be in the order of their volumes. It
// returns false if the reserves exceed the usable capacity. shares and spares must have the
// length of loads; allocate sets every element.
func (in *instance) allocate(n *node, loads []load, shares, spares []int64) bool {
	reserves, want, left := int64(0), int64(0), n.usable
	unmet := in.unmet[:0]
	for i, l := range loads {
		demand, reserve := in.part(l)
		if reserves += reserve; reserves > n.usable {
			return false
		}
		shares[i], spares[i] = min(reserve, demand), 0
		unmet = append(unmet, demand-shares[i])
		left -= shares[i]
		want += demand - shares[i]
	}
	in.unmet = unmet
	if want <= left { // the usable capacity meets all demand
		for i := range loads {
			shares[i] += unmet[i]
		}
		return true
	}
	in.addFairShares(loads, unmet, left, shares)
	room := n.capacity
	for i := range loads {
		demand, _ := in.part(loads[i])
		unmet[i] = demand - shares[i]
		room -= shares[i]
	}
	if room == 0 {
		return true
	}
	order := in.order[:0]
	for i := range loads {
		order = append(order, i)
	}
	in.order = order
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(in.volumes[loads[b].volume].price, in.volumes[loads[a].volume].price)
	})
	for _, i := range order {
		spares[i] = min(unmet[i], room)
		room -= spares[i]
	}
	return true
}

// addFairShares adds weighted max-min fair parts of the capacity left to shares. It uses
// progressive filling: each load gets the lower of its unmet demand and its weight times a
// common level. The level is exact rational arithmetic; parts are rounded down, and the
// remainder goes out one milli-unit each by largest fraction, then lowest volume (Bertsekas and
// Gallager, Data Networks, section 6.5.2, with weights).
func (in *instance) addFairShares(loads []load, unmet []int64, left int64, shares []int64) {
	open := in.order[:0]
	weights := int64(0)
	for i, l := range loads {
		if unmet[i] > 0 {
			open = append(open, i)
			weights += in.volumes[l.volume].weight
		}
	}
	in.order = open
	// Sort by unmet demand per weight: a is filled before b if a/wa < b/wb.
	slices.SortStableFunc(open, func(a, b int) int {
		ah, al := bits.Mul64(uint64(unmet[a]), uint64(in.volumes[loads[b].volume].weight))
		bh, bl := bits.Mul64(uint64(unmet[b]), uint64(in.volumes[loads[a].volume].weight))
		return Value{int64(ah), al}.Cmp(Value{int64(bh), bl})
	})
	for len(open) > 0 {
		i := open[0]
		w := in.volumes[loads[i].volume].weight
		wantH, wantL := bits.Mul64(uint64(unmet[i]), uint64(weights))
		haveH, haveL := bits.Mul64(uint64(left), uint64(w))
		if (Value{int64(wantH), wantL}).Cmp(Value{int64(haveH), haveL}) > 0 {
			break // the level stays below the unmet demand of this load and of all after it
		}
		shares[i] += unmet[i]
		left -= unmet[i]
		weights -= w
		open = open[1:]
	}
	if len(open) == 0 || left == 0 {
		return
	}
	fractions := slices.Grow(in.fractions[:0], len(loads))[:len(loads)]
	in.fractions = fractions
	rest := left
	for _, i := range open { // each part is weight x left / weights
		h, l := bits.Mul64(uint64(left), uint64(in.volumes[loads[i].volume].weight))
		q, r := bits.Div64(h, l, uint64(weights))
		shares[i] += int64(q)
		rest -= int64(q)
		fractions[i] = r
	}
	slices.SortFunc(open, func(a, b int) int {
		if fractions[a] != fractions[b] {
			if fractions[a] > fractions[b] {
				return -1
			}
			return 1
		}
		return a - b
	})
	for _, i := range open[:rest] {
		shares[i]++
	}
}

// worth returns the value of a volume's share and spare on a node: price x share plus price x
// spare_worth x spare, minus the node's cost for both; times the denominator of spare_worth.
func (in *instance) worth(v *volume, n *node, share, spare int64) Value {
	d, s := in.spareWorth.Den, in.spareWorth.Num
	sum := valueOf(v.price).mul(share).mul(d)
	sum = sum.Add(valueOf(v.price).mul(spare).mul(s))
	return sum.Sub(valueOf(n.cost).mul(share + spare).mul(d))
}

// moveCost returns the cost of placing a volume on one node that it is not on now.
func (in *instance) moveCost(v *volume) Value {
	return valueOf(v.moveCost).mul(1000).mul(in.spareWorth.Den)
}

// checkSet returns nil if volume v may be placed on a set of nodes, which must be in order, or
// an *InfeasibleError with the reason.
func (in *instance) checkSet(v int, set []int) error {
	x := &in.volumes[v]
	if len(set) != x.spread {
		return &InfeasibleError{fmt.Sprintf("volume %s: on %d nodes, spread %d", x.id, len(set), x.spread)}
	}
	zones := map[int]bool{}
	for i, n := range set {
		if i > 0 && set[i-1] >= n {
			return &InfeasibleError{fmt.Sprintf("volume %s: node %s twice", x.id, in.nodes[n].id)}
		}
		if !x.allowed[n] {
			return &InfeasibleError{fmt.Sprintf("volume %s: node %s is not ready, forbidden, or in a zone that is not allowed", x.id, in.nodes[n].id)}
		}
		zones[in.nodes[n].zone] = true
	}
	if len(zones) < x.minZones {
		return &InfeasibleError{fmt.Sprintf("volume %s: in %d zones, at least %d", x.id, len(zones), x.minZones)}
	}
	for n, must := range x.required {
		if must && !slices.Contains(set, n) {
			return &InfeasibleError{fmt.Sprintf("volume %s: not on node %s, which it requires", x.id, in.nodes[n].id)}
		}
	}
	return nil
}

// evaluate returns the exact value of a placement, which holds each volume's nodes in order.
func (in *instance) evaluate(placement [][]int) (*Answer, error) {
	a := &Answer{Placement: map[string][]string{}}
	loadsAt := make([][]load, len(in.nodes))
	for v, set := range placement {
		if err := in.checkSet(v, set); err != nil {
			return nil, err
		}
		x := &in.volumes[v]
		ids := make([]string, len(set))
		for rank, n := range set {
			loadsAt[n] = append(loadsAt[n], in.loadOf(v, rank))
			ids[rank] = in.nodes[n].id
			if x.placed && !x.on[n] {
				a.Moves++
				a.Value = a.Value.Sub(in.moveCost(x))
			}
		}
		a.Placement[x.id] = ids
	}
	for i := range in.nodes {
		n, loads := &in.nodes[i], loadsAt[i]
		if len(loads) > n.maxVolumes {
			return nil, &InfeasibleError{fmt.Sprintf("node %s: %d volumes, at most %d", n.id, len(loads), n.maxVolumes)}
		}
		shares, spares := make([]int64, len(loads)), make([]int64, len(loads))
		if !in.allocate(n, loads, shares, spares) {
			return nil, &InfeasibleError{fmt.Sprintf("node %s: the reserves there come to more than the %d usable", n.id, n.usable)}
		}
		for k, l := range loads {
			x := &in.volumes[l.volume]
			a.Value = a.Value.Add(in.worth(x, n, shares[k], spares[k]))
			demand, _ := in.part(l)
			a.Parts = append(a.Parts, Part{Volume: x.id, Node: n.id, Demand: demand, Share: shares[k], Spare: spares[k]})
		}
	}
	sort.SliceStable(a.Parts, func(i, j int) bool { return a.Parts[i].Volume < a.Parts[j].Volume })
	return a, nil
}

// Evaluate checks a problem and returns the value of a placement (volume -> nodes) of it. The
// error is *InfeasibleError if the placement violates a constraint.
func Evaluate(p *Problem, placement map[string][]string) (*Answer, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.instance()
	nodeIndex := map[string]int{}
	for i, n := range in.nodes {
		nodeIndex[n.id] = i
	}
	sets := make([][]int, len(in.volumes))
	for v := range in.volumes {
		ids, ok := placement[in.volumes[v].id]
		if !ok {
			return nil, &InfeasibleError{fmt.Sprintf("volume %s: not placed", in.volumes[v].id)}
		}
		for _, id := range ids {
			n, ok := nodeIndex[id]
			if !ok {
				return nil, &InfeasibleError{fmt.Sprintf("volume %s: there is no node %s", in.volumes[v].id, id)}
			}
			sets[v] = append(sets[v], n)
		}
		slices.Sort(sets[v])
	}
	if len(placement) > len(sets) {
		return nil, &InfeasibleError{"it places volumes that the problem does not have"}
	}
	return in.evaluate(sets)
}
