package shares

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Limits on the work of computing bounds.
const (
	maxBoundRounds      = 80         // price vectors tried for the Lagrangian bound
	maxBoundWork        = 16_000_000 // rounds x volumes x groups of the Lagrangian bound
	maxIndependentPairs = 200_000    // volumes x nodes; above it the bound of independent volumes is skipped
	maxLagrangianPairs  = 4_000_000  // volumes x groups; above it the Lagrangian bound is skipped
)

// Bound returns an upper bound on the value of any placement of p. p must have passed Check.
func Bound(p *Problem) Value { return p.instance().bound(minValue) }

// bound returns the lowest of three upper bounds: each volume alone on its best nodes, all
// nodes pooled into one, and a Lagrangian relaxation. value is the value of a known placement,
// or minValue; it only sets the step size of the prices in the relaxation.
func (in *instance) bound(value Value) Value {
	best := in.pooledBound()
	// For larger problems the Lagrangian bound is close to this one.
	if len(in.volumes)*len(in.nodes) <= maxIndependentPairs {
		s := &exactSearch{in: in}
		s.boundRest()
		if s.restBounds[0].Cmp(best) < 0 {
			best = s.restBounds[0]
		}
	}
	if best.Cmp(value) <= 0 {
		return best
	}
	if l := in.lagrangianBound(value, best); l.Cmp(best) < 0 {
		best = l
	}
	return best
}

// pooledBound returns the value if all ready nodes were one: the volumes with the highest
// prices take the usable capacity, and after them the spare capacity.
func (in *instance) pooledBound() Value {
	s := &exactSearch{in: in}
	usable, capacity, cost := int64(0), int64(0), int64(MaxPrice)
	for _, n := range in.nodes {
		if n.ready {
			usable, capacity, cost = usable+n.usable, capacity+n.capacity, min(cost, n.cost)
		}
	}
	volumes := slices.Clone(in.volumes)
	slices.SortStableFunc(volumes, func(a, b volume) int { return cmp.Compare(b.price, a.price) })
	sum := Value{}
	all := node{cost: cost}
	for i := range volumes {
		v := &volumes[i]
		share := min(v.demand, usable)
		sent := min(v.demand, capacity)
		usable -= share
		capacity -= sent
		sum = sum.Add(s.upperBound(v, &all, share, sent-share))
	}
	return sum
}

// group is a set of nodes with the same zone and cost and similar capacity. The Lagrangian
// bound treats it as one resource.
type group struct {
	zone                   int
	cost                   int64
	usable, capacity       int64
	maxCapacity, maxUsable int64 // of the largest node
	nodes                  []int
	lambda, mu             int64 // price of a milli-unit of usable and of total capacity, times Den
}

// groups returns the ready nodes grouped by zone, cost and size (in half octaves), in order.
func (in *instance) groups() (list []*group) {
	type key struct {
		zone int
		cost int64
		size int
	}
	byKey := map[key]*group{}
	for i, n := range in.nodes {
		if !n.ready {
			continue
		}
		square, _ := bits.Mul64(uint64(n.capacity)<<12, uint64(n.capacity)<<12)
		k := key{n.zone, n.cost, bits.Len64(square)}
		g := byKey[k]
		if g == nil {
			g = &group{zone: n.zone, cost: n.cost}
			byKey[k] = g
			list = append(list, g)
		}
		g.usable, g.capacity, g.maxCapacity = g.usable+n.usable, g.capacity+n.capacity, max(g.maxCapacity, n.capacity)
		g.maxUsable = max(g.maxUsable, n.usable)
		g.nodes = append(g.nodes, i)
	}
	return list
}

// lagrangianBound returns the Lagrangian bound (M. Fisher, "The Lagrangian relaxation method
// for solving integer programming problems", Management Science 27, 1981). The usable and the
// total capacity of each group of similar nodes may be exceeded at a price. Each volume then
// independently chooses its k best nodes at these prices; for any non-negative prices, the sum
// of the volumes' values plus the price of all capacity is an upper bound. The prices follow a
// subgradient method with Polyak's step size. Prices and bound are integers: floating point
// only proposes prices. Allowed zones, forbidden nodes and move costs are enforced;
// required nodes, volume limits of nodes, minimum zones and fairness are relaxed.
func (in *instance) lagrangianBound(value, upper Value) Value {
	groups := in.groups()
	rounds := min(maxBoundRounds, maxBoundWork/(len(in.volumes)*len(groups)+1))
	if len(groups) == 0 || len(in.volumes) == 0 || len(groups)*len(in.volumes) > maxLagrangianPairs {
		return upper
	}
	slots := in.groupSlots(groups)
	// Start from the price that the marginal volume pays for usable capacity.
	in.setMarginalPrices(groups)
	best := upper
	stalled, scale := 0, 1.0
	gradL, gradM := make([]float64, len(groups)), make([]float64, len(groups))
	for range rounds {
		l := in.relaxedValue(groups, slots, gradL, gradM)
		stalled++
		if l.Cmp(best) < 0 {
			best, stalled = l, 0
		}
		if stalled == 8 {
			scale, stalled = scale/2, 0
		}
		gap := toFloat64(l.Sub(value))
		if value == minValue {
			gap = toFloat64(l) / 100
		}
		norm := 0.0
		for i := range groups {
			// The conversions prevent fused multiply-add, so that all platforms get the same result.
			norm += float64(gradL[i]*gradL[i]) + float64(gradM[i]*gradM[i])
		}
		if norm == 0 || gap <= 0 {
			break
		}
		for i, g := range groups {
			g.lambda = stepMultiplier(g.lambda, scale*gap*gradL[i]/norm)
			g.mu = stepMultiplier(g.mu, scale*gap*gradM[i]/norm)
		}
	}
	return best
}

const maxMultiplier = MaxPrice * MaxRatioTerm / 1000 // highest Lagrangian price; sums of it fit in 128 bits

func stepMultiplier(price int64, step float64) int64 {
	return int64(math.Min(maxMultiplier, math.Max(0, math.Round(float64(price)-step))))
}

func toFloat64(v Value) float64 { return float64(v.hi)*0x1p64 + float64(v.lo) }

// setMarginalPrices sets the prices of all groups to the value of the marginal volume: the one
// at which usable (or total) capacity runs out when volumes take it in descending order of price.
func (in *instance) setMarginalPrices(groups []*group) {
	usable, capacity := int64(0), int64(0)
	for _, g := range groups {
		usable, capacity = usable+g.usable, capacity+g.capacity
	}
	order := make([]int, len(in.volumes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(in.volumes[b].price, in.volumes[a].price) })
	lambda, mu := 0.0, 0.0
	worth := float64(in.spareWorth.Num) / float64(in.spareWorth.Den)
	for _, i := range order {
		v := &in.volumes[i]
		price := float64(v.price)
		if usable > 0 && usable <= v.demand {
			lambda = price - float64(price*worth)
		}
		if capacity > 0 && capacity <= v.demand {
			mu = price * worth
		}
		usable, capacity = usable-v.demand, capacity-v.demand
	}
	for _, g := range groups {
		g.lambda = stepMultiplier(0, -lambda*float64(in.spareWorth.Den))
		g.mu = stepMultiplier(0, float64(float64(g.cost)-mu)*float64(in.spareWorth.Den))
	}
}

// groupSlots counts a group's nodes that a volume may be placed on, without and with a move cost.
type groupSlots struct{ group, noMove, withMove int32 }

// groupSlots returns the slots of every volume. They are the same in each round.
func (in *instance) groupSlots(groups []*group) [][]groupSlots {
	list := make([][]groupSlots, len(in.volumes))
	for i := range in.volumes {
		v := &in.volumes[i]
		for k, g := range groups {
			p := groupSlots{group: int32(k)}
			for _, n := range g.nodes {
				switch {
				case !v.allowed[n]:
				case v.placed && !v.on[n]:
					p.withMove++
				default:
					p.noMove++
				}
			}
			if p.noMove+p.withMove > 0 {
				list[i] = append(list[i], p)
			}
		}
	}
	return list
}

// candidate is a number of equivalent nodes that a volume could be placed on.
type candidate struct {
	group        int32
	count        int64
	worth        Value // of the volume's part on one of them
	share, spare int64 // that the part would take
}

// relaxedValue returns the bound at the groups' prices and stores the capacity that is left
// over in each group, usable and total, in gradL and gradM: the subgradients of the prices.
func (in *instance) relaxedValue(groups []*group, slots [][]groupSlots, gradL, gradM []float64) Value {
	sum := Value{}
	for i, g := range groups {
		sum = sum.Add(valueOf(g.lambda).mul(g.usable)).Add(valueOf(g.mu).mul(g.capacity))
		gradL[i], gradM[i] = float64(g.usable), float64(g.capacity)
	}
	var candidates []candidate
	for i := range in.volumes {
		v := &in.volumes[i]
		candidates = candidates[:0]
		part := (v.demand + int64(v.spread) - 1) / int64(v.spread)
		for _, p := range slots[i] {
			c := in.groupCandidate(v, groups[p.group], part)
			c.group = p.group
			if p.noMove > 0 {
				c.count = int64(p.noMove)
				candidates = append(candidates, c)
			}
			if p.withMove > 0 {
				c.count, c.worth = int64(p.withMove), c.worth.Sub(in.moveCost(v))
				candidates = append(candidates, c)
			}
		}
		for left := int64(v.spread); left > 0; { // selects the best; both lists are short
			best := -1
			for k := range candidates {
				if candidates[k].count > 0 && (best < 0 || candidates[k].worth.Cmp(candidates[best].worth) > 0) {
					best = k
				}
			}
			if best < 0 {
				break
			}
			c := &candidates[best]
			n := min(left, c.count)
			left -= n
			c.count = 0
			sum = sum.Add(c.worth.mul(n))
			gradL[c.group] -= float64(n * c.share)
			gradM[c.group] -= float64(n * (c.share + c.spare))
		}
	}
	return sum
}

// groupCandidate returns what a part of a volume would take and be worth on a group's nodes at
// the group's prices: share up to the usable capacity of the largest node, and spare, each only
// if its worth is positive.
func (in *instance) groupCandidate(v *volume, g *group, part int64) (c candidate) {
	den := in.spareWorth.Den
	share := valueOf(v.price - g.cost).mul(den).Sub(valueOf(g.lambda)).Sub(valueOf(g.mu))
	spare := valueOf(v.price).mul(in.spareWorth.Num).Sub(valueOf(g.cost).mul(den)).Sub(valueOf(g.mu))
	part = min(part, g.maxCapacity)
	if share.Cmp(spare) >= 0 && share.Cmp(Value{}) > 0 {
		c.share = min(part, g.maxUsable)
		c.worth = share.mul(c.share)
	}
	if spare.Cmp(Value{}) > 0 {
		c.spare = part - c.share
		c.worth = c.worth.Add(spare.mul(c.spare))
	}
	return c
}
