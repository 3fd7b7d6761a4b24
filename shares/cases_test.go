package shares

import (
	"errors"
	"strings"
	"testing"
)

// readyProblem returns a problem of the given nodes, all ready, and volumes, with a default plan
// if none is given.
func readyProblem(nodes []Node, volumes []Volume, plans ...Plan) *Problem {
	if len(plans) == 0 {
		plans = []Plan{{Name: "p", Weight: 1, Price: 1_000_000}}
	}
	for i := range nodes {
		nodes[i].State = "ready"
	}
	return &Problem{ShareOfCapacity: Ratio{9, 10}, SpareWorth: Ratio{1, 2}, Plans: plans, Nodes: nodes, Volumes: volumes}
}

// TestSharesWorkedExample checks shares and spare of an example computed by hand.
func TestSharesWorkedExample(t *testing.T) {
	p := readyProblem([]Node{{ID: "n", Capacity: 1000}}, []Volume{
		{ID: "a", Plan: "one", Demand: 5000, Spread: 1}, {ID: "b", Plan: "three", Demand: 5000, Spread: 1},
		{ID: "c", Plan: "one", Demand: 50, Spread: 1}},
		Plan{Name: "one", Weight: 1, Price: 10}, Plan{Name: "three", Weight: 3, Price: 20, Reserve: 100})
	a, err := Exact(p, 0)
	if err != nil {
		t.Fatal(err)
	}
	// Usable is 900. b's reserve takes 100, c's demand is met with 50. Of the 750 left a gets 187.5
	// and b 562.5; the fractions are equal, so the remaining milli-unit goes to a, the lower id.
	// The spare 100 goes to b, which has the higher price.
	want := []Part{{"a", "n", 5000, 188, 0}, {"b", "n", 5000, 662, 100}, {"c", "n", 50, 50, 0}}
	for i, x := range a.Parts {
		if x != want[i] {
			t.Errorf("%+v, want %+v", x, want[i])
		}
	}
	if worth := (188+50)*10*2 + 662*20*2 + 100*20; a.Value != valueOf(int64(worth)) {
		t.Errorf("value %v, want %d", a.Value, worth)
	}
}

// TestExactEdgeCases covers very unequal capacities, a node of capacity 1, a volume without
// demand, equal nodes and volumes, an empty problem, and values that overflow 64 bits.
func TestExactEdgeCases(t *testing.T) {
	a, err := Exact(readyProblem([]Node{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 900_000}, {ID: "c", Capacity: 99_999}},
		[]Volume{{ID: "v", Plan: "p", Demand: 500_000, Spread: 1}, {ID: "w", Plan: "p", Demand: 80_000, Spread: 1}}), 0)
	if err != nil || a.Placement["v"][0] != "b" || a.Placement["w"][0] != "b" {
		t.Errorf("unequal nodes: %+v %v", a, err)
	}
	a, err = Exact(readyProblem([]Node{{ID: "a", Capacity: 1}}, []Volume{{ID: "v", Plan: "p", Demand: 7, Spread: 1}}), 0)
	if err != nil || a.Parts[0].Share != 0 || a.Parts[0].Spare != 1 {
		t.Errorf("capacity 1, usable 0: %+v %v", a, err)
	}
	a, err = Exact(readyProblem([]Node{{ID: "b", Capacity: 5}, {ID: "a", Capacity: 5}}, []Volume{{ID: "v", Plan: "p", Spread: 2}}), 0)
	if err != nil || a.Value != (Value{}) || strings.Join(a.Placement["v"], "") != "ab" {
		t.Errorf("no demand: %+v %v", a, err)
	}
	equal := []Node{{ID: "a", Capacity: 1000}, {ID: "b", Capacity: 1000}, {ID: "c", Capacity: 1000}}
	var volumes []Volume
	for _, id := range []string{"u", "v", "w", "x", "y", "z"} {
		volumes = append(volumes, Volume{ID: id, Plan: "p", Demand: 450, Spread: 1})
	}
	a, err = Exact(readyProblem(equal, volumes), 0)
	if got := func() (s string) {
		for _, v := range volumes {
			s += a.Placement[v.ID][0]
		}
		return s
	}(); err != nil || got != "aabbcc" {
		t.Errorf("all equal: %s, %v, want the lexicographically least optimum", got, err)
	}
	big := readyProblem([]Node{{ID: "a", Capacity: MaxFlow}}, []Volume{{ID: "v", Plan: "p", Demand: MaxFlow, Spread: 1}},
		Plan{Name: "p", Weight: MaxRatioTerm, Price: MaxPrice})
	big.SpareWorth = Ratio{999_999, MaxRatioTerm}
	a, err = Exact(big, 0)
	if err != nil || a.Value.String() != "999999900000000000000000000000000" {
		t.Errorf("largest prices: %v %v", a, err)
	}
	if a, err := Exact(readyProblem(nil, nil), 0); err != nil || a.Value != (Value{}) {
		t.Errorf("empty problem: %+v %v", a, err)
	}
}

// TestExactReportsUnsatisfiableConstraints makes a feasible problem infeasible by one kind of
// constraint at a time.
func TestExactReportsUnsatisfiableConstraints(t *testing.T) {
	one := func() *Problem {
		return readyProblem([]Node{{ID: "a", Capacity: 1000, Zone: "x"}, {ID: "b", Capacity: 1000, Zone: "x"}},
			[]Volume{{ID: "v", Plan: "p", Demand: 10, Spread: 1}})
	}
	for name, change := range map[string]func(*Problem){
		"reserves": func(p *Problem) { p.Plans[0].Reserve = 901 },
		"zones":    func(p *Problem) { p.Volumes[0].Zones = []string{"y"} },
		"least zones": func(p *Problem) {
			p.Volumes[0].Spread, p.Volumes[0].LeastZones = 2, 2
		},
		"ceilings": func(p *Problem) {
			p.Nodes[0].MostVolumes, p.Nodes[1].MostVolumes = 1, 1
			p.Volumes = append(p.Volumes, Volume{ID: "w", Plan: "p", Spread: 2})
		},
		"require and forbid":  func(p *Problem) { p.Volumes[0].Require, p.Volumes[0].Forbid = []string{"a"}, []string{"a"} },
		"two required of one": func(p *Problem) { p.Volumes[0].Require = []string{"a", "b"} },
		"spread over ready nodes": func(p *Problem) {
			p.Volumes[0].Spread, p.Nodes[0].State = 2, "draining"
		},
	} {
		p := one()
		if _, err := Exact(p, 0); err != nil {
			t.Fatalf("feasible problem: %v", err)
		}
		change(p)
		if a, err := Exact(p, 0); !errors.Is(err, ErrInfeasible) {
			t.Errorf("%s: got %+v, %v, want ErrInfeasible", name, a, err)
		}
	}
}

func TestExactStopsAtStepLimit(t *testing.T) {
	var volumes []Volume
	var nodes []Node
	for i := range 8 {
		volumes = append(volumes, Volume{ID: string(rune('a' + i)), Plan: "p", Demand: int64(700 + i*13), Spread: 2})
		nodes = append(nodes, Node{ID: string(rune('a' + i)), Capacity: int64(900 + i*77)})
	}
	a, err := Exact(readyProblem(nodes, volumes), 50)
	if !errors.Is(err, ErrStepLimit) || a == nil {
		t.Errorf("50 steps: %+v, %v, want an answer and ErrStepLimit", a, err)
	}
	if a, err = Exact(readyProblem(nodes, volumes), 3); !errors.Is(err, ErrStepLimit) || a != nil {
		t.Errorf("3 steps: %+v, %v, want no answer and ErrStepLimit", a, err)
	}
}

func TestInvalidProblemsAndPlacements(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Problem)
		want   string
	}{
		"ratio":       {func(p *Problem) { p.ShareOfCapacity = Ratio{11, 10} }, "share_of_capacity"},
		"no ratio":    {func(p *Problem) { p.SpareWorth = Ratio{} }, "spare_worth"},
		"two nodes":   {func(p *Problem) { p.Nodes = append(p.Nodes, p.Nodes[0]) }, `nodes[1] "a": id`},
		"state":       {func(p *Problem) { p.Nodes[0].State = "asleep" }, "ready, draining or gone"},
		"plan":        {func(p *Problem) { p.Volumes[0].Plan = "gold" }, "no such plan"},
		"require":     {func(p *Problem) { p.Volumes[0].Require = []string{"z"} }, `node "z"`},
		"capacity":    {func(p *Problem) { p.Nodes[0].Capacity = MaxFlow + 1 }, "capacity"},
		"negative":    {func(p *Problem) { p.Volumes[0].Demand = -1 }, "demand = -1"},
		"spread":      {func(p *Problem) { p.Volumes[0].Spread = 0 }, "spread = 0"},
		"least zones": {func(p *Problem) { p.Volumes[0].LeastZones = 2 }, "least_zones"},
		"weight":      {func(p *Problem) { p.Plans[0].Weight = 0 }, "weight = 0"},
		"two volumes": {func(p *Problem) { p.Volumes = append(p.Volumes, p.Volumes[0]) }, `volumes[1] "v": id`},
	} {
		p := readyProblem([]Node{{ID: "a", Capacity: 10}}, []Volume{{ID: "v", Plan: "p", Demand: 10, Spread: 1}})
		c.change(p)
		if _, err := Exact(p, 0); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	p := readyProblem([]Node{{ID: "a", Capacity: 10}}, []Volume{{ID: "v", Plan: "p", Demand: 10, Spread: 1}})
	for _, placement := range []map[string][]string{{}, {"v": nil}, {"v": {"z"}}, {"v": {"a", "a"}}, {"v": {"a"}, "w": {"a"}}} {
		if _, err := Evaluate(p, placement); !errors.As(err, new(*InfeasibleError)) {
			t.Errorf("placement %v: %v, want an InfeasibleError", placement, err)
		}
	}
}
