package shares

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Greedy and Hashing are baselines to compare a solution with. Both respect zones, required and
// forbidden nodes, but ignore prices, reserves and volume limits, so their placements may be
// infeasible.

// Greedy places volumes by descending demand, each on the nodes with the most usable capacity
// left.
func Greedy(p *Problem) (*Answer, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.instance()
	return in.evaluate(in.greedySets())
}

func (in *instance) greedySets() [][]int {
	demand := make([]int64, len(in.nodes))
	order := make([]int, len(in.volumes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(in.volumes[b].demand, in.volumes[a].demand) })
	sets := make([][]int, len(in.volumes))
	for _, v := range order {
		sets[v] = in.firstAllowed(v, func(a, b int) int {
			return cmp.Or(cmp.Compare(in.nodes[b].usable-demand[b], in.nodes[a].usable-demand[a]), a-b)
		})
		for _, n := range sets[v] {
			demand[n] += in.volumes[v].demand / int64(in.volumes[v].spread)
		}
	}
	return sets
}

// Hashing places each volume by weighted rendezvous hashing with the nodes' capacities as
// weights (D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking 6, 1998; the weights as in J. Resch, SNIA SDC 2015).
// Such a placement can be computed anywhere and need not be distributed.
func Hashing(p *Problem) (*Answer, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	in := p.instance()
	sets := make([][]int, len(in.volumes))
	score := make([]float64, len(in.nodes))
	for v := range in.volumes {
		for n := range in.nodes {
			h := xxhash.Sum64String(in.volumes[v].id + "\x00" + in.nodes[n].id)
			score[n] = -math.Log((float64(h>>11)+0.5)/(1<<53)) / float64(max(1, in.nodes[n].capacity))
		}
		sets[v] = in.firstAllowed(v, func(a, b int) int { return cmp.Or(cmp.Compare(score[a], score[b]), a-b) })
	}
	return in.evaluate(sets)
}

// firstAllowed returns the volume's required nodes and then the first allowed nodes in the
// order of compare, chosen to cover the number of zones that the volume needs.
func (in *instance) firstAllowed(v int, compare func(a, b int) int) (set []int) {
	x := &in.volumes[v]
	zones := map[int]bool{}
	var order []int
	for n := range in.nodes {
		switch {
		case x.required[n]:
			set = append(set, n)
			zones[in.nodes[n].zone] = true
		case x.allowed[n]:
			order = append(order, n)
		}
	}
	slices.SortFunc(order, compare)
	for _, n := range order {
		if len(set) >= x.spread {
			break
		}
		if x.minZones-len(zones) >= x.spread-len(set) && zones[in.nodes[n].zone] {
			continue
		}
		set = append(set, n)
		zones[in.nodes[n].zone] = true
	}
	slices.Sort(set)
	return set
}

// Baseline returns the baseline with the given name: greedy or hashing.
func Baseline(name string) (func(*Problem) (*Answer, error), error) {
	switch name {
	case "greedy":
		return Greedy, nil
	case "hashing":
		return Hashing, nil
	}
	return nil, fmt.Errorf("%q: expected greedy or hashing", name)
}
