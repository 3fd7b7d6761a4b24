// Package shares computes placements and shares in advance: which nodes hold a volume's data,
// and what part of each node's capacity every volume is entitled to. The package does no I/O,
// reads no clock and starts no goroutine. The value of an answer involves no floating point, so
// any two evaluations of the same placement agree. The command "eiderhold shares", the
// rehearsal and package solution use it.
//
// Units: capacity, demand, reserve in milli-units a second; prices and costs in
// micro-worth a unit.
package shares

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Limits of a problem. Within them a value fits into 128 bits.
const (
	MaxFlow      = 1_000_000_000_000     // milli-units a second, of a node or a volume
	MaxPrice     = 1_000_000_000_000_000 // micro-worth a unit
	MaxRatioTerm = 1_000_000             // numerator and denominator
	MaxVolumes   = 100_000
	MaxNodes     = 10_000
)

// Ratio is a rational number, written as "9/10" in the problem file.
type Ratio struct{ Num, Den int64 }

// UnmarshalText parses a ratio such as "9/10".
func (r *Ratio) UnmarshalText(b []byte) error {
	num, den, ok := strings.Cut(string(b), "/")
	n, err1 := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
	d, err2 := strconv.ParseInt(strings.TrimSpace(den), 10, 64)
	if !ok || err1 != nil || err2 != nil {
		return fmt.Errorf("%q is not a ratio: write it like 9/10", b)
	}
	*r = Ratio{n, d}
	return nil
}

// MarshalText returns a ratio as text such as "9/10".
func (r Ratio) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%d/%d", r.Num, r.Den), nil }

func (r Ratio) check(name string) error {
	if r.Den < 1 || r.Den > MaxRatioTerm || r.Num < 0 || r.Num > r.Den {
		return fmt.Errorf("%s = \"%d/%d\": expected 0 to 1, numerator and denominator at most %d", name, r.Num, r.Den, MaxRatioTerm)
	}
	return nil
}

// Plan holds what volumes of one plan are entitled to.
type Plan struct {
	Name    string `toml:"name"`
	Weight  int64  `toml:"weight"`
	Price   int64  `toml:"price"`   // micro-worth a unit
	Reserve int64  `toml:"reserve"` // milli-units a second, a volume
}

// Node is a storage node. State is ready, draining or gone.
type Node struct {
	ID          string `toml:"id"`
	Capacity    int64  `toml:"capacity"` // milli-units a second
	Zone        string `toml:"zone"`
	Cost        int64  `toml:"cost"` // micro-worth a unit sent
	State       string `toml:"state"`
	MostVolumes int    `toml:"most_volumes"` // 0: no limit
}

// Volume is a volume to be placed.
type Volume struct {
	ID         string   `toml:"id"`
	Plan       string   `toml:"plan"`
	Demand     int64    `toml:"demand"` // milli-units a second
	Spread     int      `toml:"spread"` // number of nodes that hold its data
	Zones      []string `toml:"zones"`  // allowed; empty: any
	LeastZones int      `toml:"least_zones"`
	On         []string `toml:"on"`        // nodes that hold it now
	MoveCost   int64    `toml:"move_cost"` // micro-worth for each node that it is newly placed on
	Require    []string `toml:"require"`
	Forbid     []string `toml:"forbid"`
}

// Problem is a placement problem as read from a file.
type Problem struct {
	ShareOfCapacity Ratio    `toml:"share_of_capacity"`
	SpareWorth      Ratio    `toml:"spare_worth"`
	Plans           []Plan   `toml:"plans"`
	Nodes           []Node   `toml:"nodes"`
	Volumes         []Volume `toml:"volumes"`
}

// Check returns an error that lists every invalid value of a problem. A problem that passes may
// still have no feasible placement.
func (p *Problem) Check() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	errs = append(errs, p.ShareOfCapacity.check("share_of_capacity"), p.SpareWorth.check("spare_worth"))
	check(len(p.Nodes) <= MaxNodes, "%d nodes: expected at most %d", len(p.Nodes), MaxNodes)
	check(len(p.Volumes) <= MaxVolumes, "%d volumes: expected at most %d", len(p.Volumes), MaxVolumes)
	plans, nodes, volumes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i, x := range p.Plans {
		at := fmt.Sprintf("plans[%d] %q", i, x.Name)
		check(x.Name != "" && !plans[x.Name], "%s: name: expected a unique, non-empty name", at)
		plans[x.Name] = true
		check(x.Weight >= 1 && x.Weight <= MaxRatioTerm, "%s: weight = %d: expected 1 to %d", at, x.Weight, MaxRatioTerm)
		check(x.Price >= 0 && x.Price <= MaxPrice, "%s: price = %d: expected 0 to %d", at, x.Price, int64(MaxPrice))
		check(x.Reserve >= 0 && x.Reserve <= MaxFlow, "%s: reserve = %d: expected 0 to %d", at, x.Reserve, int64(MaxFlow))
	}
	for i, x := range p.Nodes {
		at := fmt.Sprintf("nodes[%d] %q", i, x.ID)
		check(x.ID != "" && !nodes[x.ID], "%s: id: expected a unique, non-empty id", at)
		nodes[x.ID] = true
		check(x.Capacity >= 0 && x.Capacity <= MaxFlow, "%s: capacity = %d: expected 0 to %d", at, x.Capacity, int64(MaxFlow))
		check(x.Cost >= 0 && x.Cost <= MaxPrice, "%s: cost = %d: expected 0 to %d", at, x.Cost, int64(MaxPrice))
		check(slices.Contains([]string{"ready", "draining", "gone"}, x.State), "%s: state = %q: expected ready, draining or gone", at, x.State)
		check(x.MostVolumes >= 0, "%s: most_volumes = %d: expected 0 or more", at, x.MostVolumes)
	}
	for i, x := range p.Volumes {
		at := fmt.Sprintf("volumes[%d] %q", i, x.ID)
		check(x.ID != "" && !volumes[x.ID], "%s: id: expected a unique, non-empty id", at)
		volumes[x.ID] = true
		check(plans[x.Plan], "%s: plan = %q: no such plan", at, x.Plan)
		check(x.Demand >= 0 && x.Demand <= MaxFlow, "%s: demand = %d: expected 0 to %d", at, x.Demand, int64(MaxFlow))
		check(x.Spread >= 1 && x.Spread <= MaxNodes, "%s: spread = %d: expected 1 to %d", at, x.Spread, MaxNodes)
		check(x.LeastZones >= 0 && x.LeastZones <= x.Spread, "%s: least_zones = %d: expected 0 to its spread", at, x.LeastZones)
		check(x.MoveCost >= 0 && x.MoveCost <= MaxPrice, "%s: move_cost = %d: expected 0 to %d", at, x.MoveCost, int64(MaxPrice))
		for _, list := range [][]string{x.Require, x.Forbid} { // On is not checked: it may name a node that is gone
			for _, id := range list {
				check(nodes[id], "%s: node %q: no such node", at, id)
			}
		}
	}
	return errors.Join(errs...)
}

// instance is a problem in which names are replaced by indexes. Volumes and nodes are in order
// of their ids.
type instance struct {
	shareOfCapacity, spareWorth Ratio
	nodes                       []node
	volumes                     []volume
	zoneNames                   []string // of zones

	unmet     []int64 // scratch space, for one goroutine
	order     []int
	fractions []uint64
}

// node is a node of an instance.
type node struct {
	id         string
	capacity   int64
	usable     int64 // capacity x share_of_capacity, rounded down
	zone       int
	cost       int64
	maxVolumes int // MaxVolumes+1 if there is no limit
	ready      bool
}

// volume is a volume of an instance, with the terms of its plan.
type volume struct {
	id       string
	weight   int64
	price    int64
	reserve  int64
	demand   int64
	spread   int
	minZones int
	moveCost int64
	allowed  []bool // by node: ready, zone allowed, not forbidden
	required []bool
	on       []bool
	placed   bool // on some node now, so that placing it on other nodes costs moveCost each
}

// instance returns the instance of a problem that has passed Check.
func (p *Problem) instance() *instance {
	in := &instance{shareOfCapacity: p.ShareOfCapacity, spareWorth: p.SpareWorth}
	zones := map[string]int{}
	nodes := slices.Clone(p.Nodes)
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	nodeIndex := map[string]int{}
	for i, n := range nodes {
		if _, ok := zones[n.Zone]; !ok {
			zones[n.Zone] = len(in.zoneNames)
			in.zoneNames = append(in.zoneNames, n.Zone)
		}
		maxVolumes := n.MostVolumes
		if maxVolumes == 0 {
			maxVolumes = MaxVolumes + 1
		}
		nodeIndex[n.ID] = i
		in.nodes = append(in.nodes, node{id: n.ID, capacity: n.Capacity, usable: floorProduct(n.Capacity, p.ShareOfCapacity),
			zone: zones[n.Zone], cost: n.Cost, maxVolumes: maxVolumes, ready: n.State == "ready"})
	}
	plans := map[string]Plan{}
	for _, x := range p.Plans {
		plans[x.Name] = x
	}
	volumes := slices.Clone(p.Volumes)
	slices.SortFunc(volumes, func(a, b Volume) int { return cmp.Compare(a.ID, b.ID) })
	nodeSet := func(ids []string) []bool {
		set := make([]bool, len(nodes))
		for _, id := range ids {
			if i, ok := nodeIndex[id]; ok {
				set[i] = true
			}
		}
		return set
	}
	for _, x := range volumes {
		plan := plans[x.Plan]
		v := volume{id: x.ID, weight: plan.Weight, price: plan.Price, reserve: plan.Reserve, demand: x.Demand,
			spread: x.Spread, minZones: x.LeastZones, moveCost: x.MoveCost, required: nodeSet(x.Require), on: nodeSet(x.On),
			placed: len(x.On) > 0, allowed: make([]bool, len(nodes))}
		forbidden := nodeSet(x.Forbid)
		for i, n := range nodes {
			v.allowed[i] = in.nodes[i].ready && !forbidden[i] && (len(x.Zones) == 0 || slices.Contains(x.Zones, n.Zone))
		}
		in.volumes = append(in.volumes, v)
	}
	return in
}

// floorProduct returns floor(c x r). It does not overflow: c is at most 1e12 and r.Num at most 1e6.
func floorProduct(c int64, r Ratio) int64 { return c * r.Num / r.Den }
