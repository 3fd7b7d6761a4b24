package shares

import (
	"errors"
	"fmt"
	"math/big"
	"math/rand"
	"slices"
	"sort"
	"testing"
)

// The brute force solver below shares no code with the package's solvers: it works on the
// problem as written in the file, tries every placement, and computes with math/big.

// bruteNode allocates one node's capacity according to the specification. It returns nil if the
// reserves do not fit, else the worth times the denominator of spare_worth.
func bruteNode(p *Problem, n Node, here []Volume, demand, reserve []int64) *big.Int {
	plan := map[string]Plan{}
	for _, x := range p.Plans {
		plan[x.Name] = x
	}
	usable := new(big.Int).Div(new(big.Int).Mul(big.NewInt(n.Capacity), big.NewInt(p.ShareOfCapacity.Num)), big.NewInt(p.ShareOfCapacity.Den)).Int64()
	share := make([]int64, len(here))
	reserves, left := int64(0), usable
	for i := range here {
		reserves += reserve[i]
		share[i] = min(reserve[i], demand[i])
		left -= share[i]
	}
	if reserves > usable {
		return nil
	}
	// The level is the lowest at which the remaining capacity is used up or all demand is met.
	unmet := func(i int) int64 { return demand[i] - share[i] }
	base := slices.Clone(share)
	level := new(big.Rat)
	met := map[int]bool{}
	for {
		weights, used := new(big.Rat), new(big.Rat)
		for i, v := range here {
			if met[i] {
				used.Add(used, big.NewRat(unmet(i), 1))
			} else {
				weights.Add(weights, big.NewRat(plan[v.Plan].Weight, 1))
			}
		}
		if weights.Sign() == 0 {
			break
		}
		level.Sub(big.NewRat(left, 1), used)
		level.Quo(level, weights)
		more := false
		for i, v := range here {
			if !met[i] && new(big.Rat).Mul(level, big.NewRat(plan[v.Plan].Weight, 1)).Cmp(big.NewRat(unmet(i), 1)) >= 0 {
				met[i], more = true, true
			}
		}
		if !more {
			break
		}
	}
	type fraction struct {
		i int
		f *big.Rat
	}
	var fractions []fraction
	given := int64(0)
	for i, v := range here {
		if met[i] {
			base[i] += unmet(i)
			given += unmet(i)
			continue
		}
		exact := new(big.Rat).Mul(level, big.NewRat(plan[v.Plan].Weight, 1))
		floor := new(big.Int).Div(exact.Num(), exact.Denom())
		base[i] += floor.Int64()
		given += floor.Int64()
		fractions = append(fractions, fraction{i, exact.Sub(exact, new(big.Rat).SetInt(floor))})
	}
	sort.SliceStable(fractions, func(a, b int) bool { return fractions[a].f.Cmp(fractions[b].f) > 0 })
	if len(fractions) > 0 {
		for k := range left - given {
			base[fractions[k].i]++
		}
	}
	room := n.Capacity
	for _, x := range base {
		room -= x
	}
	order := make([]int, len(here))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return plan[here[order[a]].Plan].Price > plan[here[order[b]].Plan].Price })
	sum := new(big.Int)
	for _, i := range order {
		spare := min(demand[i]-base[i], room)
		room -= spare
		price, d, s := big.NewInt(plan[here[i].Plan].Price), big.NewInt(p.SpareWorth.Den), big.NewInt(p.SpareWorth.Num)
		sum.Add(sum, new(big.Int).Mul(new(big.Int).Mul(price, big.NewInt(base[i])), d))
		sum.Add(sum, new(big.Int).Mul(new(big.Int).Mul(price, big.NewInt(spare)), s))
		sum.Sub(sum, new(big.Int).Mul(new(big.Int).Mul(big.NewInt(n.Cost), big.NewInt(base[i]+spare)), d))
	}
	return sum
}

// brute tries every placement in order and returns the first one of the highest value.
func brute(p *Problem) (best *big.Int, placement map[string][]string) {
	volumes := slices.Clone(p.Volumes)
	sort.Slice(volumes, func(i, j int) bool { return volumes[i].ID < volumes[j].ID })
	nodes := slices.Clone(p.Nodes)
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	reserveOf := map[string]int64{}
	for _, x := range p.Plans {
		reserveOf[x.Name] = x.Reserve
	}
	options := make([][][]int, len(volumes))
	for i, v := range volumes {
		for bits := range 1 << len(nodes) {
			var set []int
			zones := map[string]bool{}
			allowed := true
			for n := range nodes {
				in := bits&(1<<n) != 0
				if in {
					set = append(set, n)
					zones[nodes[n].Zone] = true
				}
				if in && (nodes[n].State != "ready" || slices.Contains(v.Forbid, nodes[n].ID) || len(v.Zones) > 0 && !slices.Contains(v.Zones, nodes[n].Zone)) ||
					!in && slices.Contains(v.Require, nodes[n].ID) {
					allowed = false
				}
			}
			if allowed && len(set) == v.Spread && len(zones) >= v.LeastZones {
				options[i] = append(options[i], set)
			}
		}
		slices.SortFunc(options[i], slices.Compare)
	}
	type key struct {
		node  int
		loads string
	}
	cache := map[key]*big.Int{}
	chosen := make([][]int, len(volumes))
	var try func(v int)
	try = func(v int) {
		if v < len(volumes) {
			for _, set := range options[v] {
				chosen[v] = set
				try(v + 1)
			}
			return
		}
		sum := new(big.Int)
		for n := range nodes {
			var here []Volume
			var demand, reserve []int64
			loads := ""
			for i, x := range volumes {
				rank := slices.Index(chosen[i], n)
				if rank < 0 {
					continue
				}
				part := func(whole int64) int64 {
					k := int64(x.Spread)
					if int64(rank) < whole%k {
						return whole/k + 1
					}
					return whole / k
				}
				here = append(here, x)
				demand, reserve = append(demand, part(x.Demand)), append(reserve, part(reserveOf[x.Plan]))
				loads += fmt.Sprint(i, ":", rank, " ")
				if len(x.On) > 0 && !slices.Contains(x.On, nodes[n].ID) {
					cost := new(big.Int).Mul(big.NewInt(x.MoveCost), big.NewInt(1000*p.SpareWorth.Den))
					sum.Sub(sum, cost)
				}
			}
			if nodes[n].MostVolumes > 0 && len(here) > nodes[n].MostVolumes {
				return
			}
			k := key{n, loads}
			w, ok := cache[k]
			if !ok {
				w = bruteNode(p, nodes[n], here, demand, reserve)
				cache[k] = w
			}
			if w == nil {
				return
			}
			sum.Add(sum, w)
		}
		if best == nil || sum.Cmp(best) > 0 {
			best = sum
			placement = map[string][]string{}
			for i, x := range volumes {
				for _, n := range chosen[i] {
					placement[x.ID] = append(placement[x.ID], nodes[n].ID)
				}
			}
		}
	}
	try(0)
	return best, placement
}

// randomProblem makes a small problem with few enough placements for the brute force.
func randomProblem(rng *rand.Rand) *Problem {
	pick := func(list ...int64) int64 { return list[rng.Intn(len(list))] }
	for {
		p := &Problem{ShareOfCapacity: Ratio{9, 10}, SpareWorth: Ratio{pick(0, 5, 50, 100), 100}}
		for i := range 1 + rng.Intn(3) {
			p.Plans = append(p.Plans, Plan{Name: fmt.Sprint("p", i), Weight: 1 + rng.Int63n(3),
				Price: pick(0, 1, 720_000, 900_000, 900_000, MaxPrice), Reserve: pick(0, 0, 0, 0, 0, 100, 3001)})
		}
		for i := range 2 + rng.Intn(5) {
			p.Nodes = append(p.Nodes, Node{ID: fmt.Sprint("n", i), Capacity: pick(1, 1000, 1000, 10_000, 100_000, 7777),
				Zone: string(rune('a' + rng.Intn(3))), Cost: pick(0, 0, 0, 100_000, 1_000_000),
				State: []string{"ready", "ready", "ready", "ready", "ready", "ready", "ready", "ready", "draining", "gone"}[rng.Intn(10)], MostVolumes: int(pick(0, 0, 0, 0, 0, 0, 2, 4))})
		}
		count := 1
		for i := range 1 + rng.Intn(8) {
			v := Volume{ID: fmt.Sprint("v", i), Plan: fmt.Sprint("p", rng.Intn(len(p.Plans))), Demand: pick(0, 1, 500, 5801, 5801, 60_000),
				Spread: 1 + rng.Intn(min(3, len(p.Nodes))), MoveCost: pick(0, 0, 5, 1_000_000_000)}
			v.LeastZones = rng.Intn(4) / 3 * min(2, v.Spread)
			node := func() string { return fmt.Sprint("n", rng.Intn(len(p.Nodes))) }
			if rng.Intn(3) == 0 {
				v.On = append(v.On, node())
			}
			if rng.Intn(15) == 0 {
				v.Zones = []string{"a", "b"}
			}
			if rng.Intn(20) == 0 {
				v.Require = append(v.Require, node())
			}
			if rng.Intn(12) == 0 {
				v.Forbid = append(v.Forbid, node())
			}
			p.Volumes = append(p.Volumes, v)
			sets := 1
			for k := range v.Spread {
				sets = sets * (len(p.Nodes) - k) / (k + 1)
			}
			count *= sets
		}
		if count <= 20_000 {
			return p
		}
	}
}

// TestAgainstBruteForce checks that Exact gives the same value and placement as the brute force
// on small problems with zones, reserves, unequal capacities, ties, draining nodes and volume
// limits.
func TestAgainstBruteForce(t *testing.T) {
	solved, none := 0, 0
	for seed := range int64(4500) {
		p := randomProblem(rand.New(rand.NewSource(seed)))
		want, placement := brute(p)
		got, err := Exact(p, 0)
		if want == nil {
			none++
			if !errors.Is(err, ErrInfeasible) {
				t.Fatalf("seed %d: no placement, but %v, %v", seed, got, err)
			}
			continue
		}
		solved++
		if err != nil || got.Value.Big().Cmp(want) != 0 || fmt.Sprint(got.Placement) != fmt.Sprint(placement) {
			t.Fatalf("seed %d: %+v\n%v: got %+v, want %v %v", seed, *p, err, got, want, placement)
		}
		again, err := Evaluate(p, placement)
		if err != nil || again.Value != got.Value {
			t.Fatalf("seed %d: evaluated %v, %v", seed, again, err)
		}
	}
	if solved < 2000 || none < 500 {
		t.Errorf("%d solved, %d without a placement: the random problems are unbalanced", solved, none)
	}
}

// TestValueArithmetic compares the 128-bit arithmetic of Value with math/big.
func TestValueArithmetic(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 10_000 {
		a, b, k := rng.Int63()>>rng.Intn(60), rng.Int63()>>rng.Intn(60), rng.Int63n(MaxRatioTerm)
		v := valueOf(a).mul(b >> 20).Sub(valueOf(b).mul(k))
		want := new(big.Int).Sub(new(big.Int).Mul(big.NewInt(a), big.NewInt(b>>20)), new(big.Int).Mul(big.NewInt(b), big.NewInt(k)))
		if v.Big().Cmp(want) != 0 || v.Neg().Big().Cmp(new(big.Int).Neg(want)) != 0 || v.Cmp(v.Neg()) != want.Sign() {
			t.Fatalf("%d %d %d: %v, want %v", a, b, k, v, want)
		}
	}
}
