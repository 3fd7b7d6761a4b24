package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// GenerateOptions holds the parameters of the problem that Generate makes.
type GenerateOptions struct {
	Volumes, Nodes, Zones int
	Seed                  uint64
	Skew                  float64 // Zipf exponent of the volumes' demands by rank; 0: all equal
	Load                  float64 // total demand over total usable capacity
	MaxCapacityRatio      int64   // highest ratio of the capacities of two nodes
	Spread                int     // highest number of nodes a volume is placed on
	Costs                 bool    // whether the nodes of one zone have a cost
	Placed                bool    // whether volumes have a present placement, on random nodes
}

// Check returns an error for the first parameter that is out of range.
func (d *GenerateOptions) Check() error {
	switch {
	case d.Volumes < 0 || d.Volumes > MaxVolumes:
		return fmt.Errorf("volumes = %d: expected 0 to %d", d.Volumes, MaxVolumes)
	case d.Nodes < 1 || d.Nodes > MaxNodes:
		return fmt.Errorf("nodes = %d: expected 1 to %d", d.Nodes, MaxNodes)
	case d.Zones < 1 || d.Zones > d.Nodes:
		return fmt.Errorf("zones = %d: expected 1 to the number of nodes", d.Zones)
	case d.Spread < 1 || d.Spread > d.Nodes:
		return fmt.Errorf("spread = %d: expected 1 to the number of nodes", d.Spread)
	case d.MaxCapacityRatio < 1 || d.MaxCapacityRatio > 10_000:
		return fmt.Errorf("unequal = %d: expected 1 to 10,000", d.MaxCapacityRatio)
	case !(d.Skew >= 0 && d.Skew <= 3):
		return fmt.Errorf("skew = %v: expected 0 to 3", d.Skew)
	case !(d.Load >= 0 && d.Load <= 100):
		return fmt.Errorf("load = %v: expected 0 to 100", d.Load)
	}
	return nil
}

// Generate makes a random problem; equal parameters give equal problems. About three quarters
// of the volumes have a plan of weight 1, the others a plan of weight 3 with a reserve.
func Generate(d GenerateOptions) (*Problem, error) {
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("shares: generate: %w", err)
	}
	rng := rand.New(rand.NewPCG(d.Seed, 2))
	p := &Problem{ShareOfCapacity: Ratio{9, 10}, SpareWorth: Ratio{5, 100}, Plans: []Plan{
		{Name: "standard", Weight: 1, Price: 720_000}, {Name: "priority", Weight: 3, Price: 900_000}}}
	usable := int64(0)
	for i := range d.Nodes {
		c := int64(math.Round(60_000 * math.Pow(float64(d.MaxCapacityRatio), rng.Float64())))
		n := Node{ID: fmt.Sprintf("n%0*d", digits(d.Nodes), i), Capacity: c, Zone: fmt.Sprintf("z%d", i%d.Zones), State: "ready"}
		if d.Costs && i%d.Zones == 0 {
			n.Cost = 50_000
		}
		usable += floorProduct(c, p.ShareOfCapacity)
		p.Nodes = append(p.Nodes, n)
	}
	weights, sum := make([]float64, d.Volumes), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -d.Skew)
		sum += weights[i]
	}
	rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	if d.Volumes > 0 { // the reserve is a quarter of the mean demand
		p.Plans[1].Reserve = int64(float64(usable) * d.Load / float64(d.Volumes) / 4)
	}
	for i, w := range weights {
		plan := "standard"
		if rng.IntN(4) == 0 {
			plan = "priority"
		}
		v := Volume{ID: fmt.Sprintf("v%0*d", digits(d.Volumes), i), Plan: plan, Spread: 1 + rng.IntN(d.Spread), MoveCost: 1000,
			Demand: min(MaxFlow, int64(math.Round(float64(usable)*d.Load*w/sum)))}
		v.LeastZones = 1 + rng.IntN(min(2, v.Spread, d.Zones))
		if d.Placed {
			for _, n := range rng.Perm(d.Nodes)[:v.Spread] {
				v.On = append(v.On, p.Nodes[n].ID)
			}
			slices.Sort(v.On)
		}
		p.Volumes = append(p.Volumes, v)
	}
	return p, nil
}

// digits returns the number of decimal digits of the highest index below n.
func digits(n int) int { return len(fmt.Sprint(max(0, n-1))) }
