package shares

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
)

func mustGenerate(t testing.TB, d GenerateOptions) *Problem {
	t.Helper()
	p, err := Generate(d)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// placedProblem generates a problem whose present placement is the result of a search.
func placedProblem(t testing.TB, d GenerateOptions) *Problem {
	t.Helper()
	p := mustGenerate(t, d)
	f, err := Search(p, Options{Seed: 1, Steps: 500})
	if err != nil {
		t.Fatal(err)
	}
	return WithPlacement(p, f.Placement)
}

// TestResolveMakesFewMoves changes the nodes of a placed problem: lost, drained, no longer
// listed, halved, added, or limited in volumes. Resolve must find a feasible answer and respect
// a limit of moves equal to the moves that the change forces; with a lower limit it must fail.
func TestResolveMakesFewMoves(t *testing.T) {
	base := placedProblem(t, GenerateOptions{Volumes: 120, Nodes: 10, Zones: 3, Seed: 4, Skew: 0.7, Load: 0.7, MaxCapacityRatio: 4, Spread: 3})
	on := func(p *Problem, ids ...string) (n int) {
		for _, v := range p.Volumes {
			for _, id := range v.On {
				if slices.Contains(ids, id) {
					n++
				}
			}
		}
		return n
	}
	for name, c := range map[string]struct {
		change func(p *Problem)
		forced []string
	}{
		"nothing":  {func(*Problem) {}, nil},
		"one lost": {func(p *Problem) { p.Nodes[3].State = "gone" }, []string{"n3"}},
		"two lost": {func(p *Problem) { p.Nodes[3].State, p.Nodes[4].State = "gone", "gone" }, []string{"n3", "n4"}},
		"drained":  {func(p *Problem) { p.Nodes[0].State = "draining" }, []string{"n0"}},
		"unlisted": {func(p *Problem) { p.Nodes = p.Nodes[1:] }, []string{"n0"}},
		"halved":   {func(p *Problem) { p.Nodes[1].Capacity /= 2 }, nil},
		"added": {func(p *Problem) {
			p.Nodes = append(p.Nodes, Node{ID: "n99", Capacity: 300_000, Zone: "z0", State: "ready"})
		}, nil},
		"ceiling":   {func(p *Problem) { p.Nodes[2].MostVolumes = 5 }, nil},
		"no moving": {func(p *Problem) { p.Nodes[3].State = "draining" }, []string{"n3"}},
	} {
		p := WithPlacement(base, placementOf(base))
		p.Nodes = slices.Clone(base.Nodes)
		c.change(p)
		f, err := Resolve(p, ResolveOptions{Seed: 1, Steps: 200, MaxMoves: -1})
		if err != nil {
			t.Fatalf("%s: resolve: %v", name, err)
		}
		forced := on(p, c.forced...)
		least, err := Resolve(p, ResolveOptions{Seed: 1, Steps: 200, MaxMoves: forced})
		if name == "ceiling" || name == "halved" {
			continue // the number of forced moves is not known in advance
		}
		if err != nil || least.Moves > forced {
			t.Errorf("%s: %d moves are forced; with no more allowed: %+v, %v", name, forced, least, err)
		}
		if f.Value.Cmp(least.Value) < 0 && f.Moves > 2*forced+10 {
			t.Errorf("%s: %d moves for %v, %d for %v", name, f.Moves, f.Value, least.Moves, least.Value)
		}
		if forced > 0 {
			var limitErr *MoveLimitError
			if _, err := Resolve(p, ResolveOptions{MaxMoves: forced - 1}); !errors.As(err, &limitErr) || limitErr.Needed != forced {
				t.Errorf("%s: limit one below the forced moves: %v", name, err)
			}
		}
	}
}

func placementOf(p *Problem) map[string][]string {
	m := map[string][]string{}
	for _, v := range p.Volumes {
		m[v.ID] = v.On
	}
	return m
}

// replaySchedule applies a schedule and checks that it never overloads a node. It shares no code
// with Waves. It returns the final placement.
func replaySchedule(t *testing.T, p *Problem, s *Schedule, end map[string][]string) map[string][]string {
	t.Helper()
	reserve := map[string]int64{}
	for _, x := range p.Plans {
		reserve[x.Name] = x.Reserve
	}
	type sum struct{ load, reserve, count int64 }
	carries := func(placement map[string][]string, more []Move) map[string]sum {
		m := map[string]sum{}
		volume := map[string]Volume{}
		add := func(v Volume, n string) {
			k := int64(v.Spread)
			x := m[n]
			m[n] = sum{x.load + (v.Demand+k-1)/k, x.reserve + (reserve[v.Plan]+k-1)/k, x.count + 1}
		}
		for _, v := range p.Volumes {
			volume[v.ID] = v
			for _, n := range placement[v.ID] {
				add(v, n)
			}
		}
		for _, mv := range more {
			add(volume[mv.Volume], mv.To)
		}
		return m
	}
	start, final := carries(placementOf(p), nil), carries(end, nil)
	usable, most := map[string]int64{}, map[string]int64{}
	for _, n := range p.Nodes {
		usable[n.ID], most[n.ID] = n.Capacity*p.ShareOfCapacity.Num/p.ShareOfCapacity.Den, int64(n.MostVolumes)
	}
	now := placementOf(p)
	for w, wave := range s.Waves {
		for n, x := range carries(now, wave) {
			if x.load > max(usable[n], start[n].load, final[n].load) || x.reserve > max(usable[n], start[n].reserve, final[n].reserve) ||
				most[n] > 0 && x.count > max(most[n], start[n].count, final[n].count) {
				t.Fatalf("wave %d: node %s carries %+v: usable %d, before %+v, after %+v", w, n, x, usable[n], start[n], final[n])
			}
		}
		gone := map[string]bool{}
		for _, n := range p.Nodes {
			gone[n.ID] = n.State == "gone"
		}
		for _, mv := range wave {
			if mv.From == "" { // the source, if any, is gone
				for _, n := range now[mv.Volume] {
					if _, listed := usable[n]; gone[n] || !listed {
						now = ApplyMoves(now, []Move{{Volume: mv.Volume, From: n, To: mv.To}})
						break
					}
				}
			}
		}
		now = ApplyMoves(now, wave)
	}
	return now
}

// TestWavesNeverOverloadNodes replays schedules of random migrations: no node exceeds its limits
// at any time, and every volume ends on its target nodes.
func TestWavesNeverOverloadNodes(t *testing.T) {
	complete := 0
	for seed := range uint64(60) {
		p := placedProblem(t, GenerateOptions{Volumes: 60, Nodes: 8, Zones: 3, Seed: seed, Skew: 0.6, Load: 0.85, MaxCapacityRatio: 3, Spread: 2})
		rng := rand.New(rand.NewSource(int64(seed)))
		for range 1 + rng.Intn(2) {
			p.Nodes[rng.Intn(len(p.Nodes))].State = []string{"draining", "gone"}[rng.Intn(2)]
		}
		f, s, err := Migrate(p, ResolveOptions{Seed: seed, Steps: 300, MaxMoves: -1}, rng.Intn(4))
		if errors.Is(err, ErrNotFound) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		end := replaySchedule(t, p, s, f.Placement)
		if len(s.Stuck) > 0 {
			continue
		}
		complete++
		for v, nodes := range f.Placement {
			if !slices.Equal(end[v], nodes) {
				t.Fatalf("seed %d: %s ends on %v, not %v", seed, v, end[v], nodes)
			}
		}
	}
	if complete < 40 {
		t.Errorf("only %d of 60 schedules are complete", complete)
	}
}

// TestWavesBreakCycleByDetour checks that two full nodes swap their volumes by a detour over a
// third, and that the moves are stuck if the third has no room.
func TestWavesBreakCycleByDetour(t *testing.T) {
	p := readyProblem([]Node{{ID: "a", Capacity: 1000}, {ID: "b", Capacity: 1000}, {ID: "c", Capacity: 1000}}, []Volume{
		{ID: "u", Plan: "p", Demand: 900, Spread: 1, On: []string{"a"}}, {ID: "v", Plan: "p", Demand: 800, Spread: 1, On: []string{"b"}}})
	end := map[string][]string{"u": {"b"}, "v": {"a"}}
	s, err := Waves(p, end, 0)
	if err != nil || len(s.Stuck) > 0 {
		t.Fatal(s, err)
	}
	if got := replaySchedule(t, p, s, end); got["u"][0] != "b" || got["v"][0] != "a" {
		t.Errorf("ends at %v: %+v", got, s)
	}
	p.Nodes[2].Capacity = 100 // no room for either volume
	if s, err = Waves(p, end, 0); err != nil || len(s.Stuck) != 2 || len(s.Waves) != 0 {
		t.Errorf("no room for a detour: %+v %v", s, err)
	}
}

// TestResolveAfterFailedWave loses a node in the middle of a wave, with the parts that were
// moving to it, solves again from the state reached, and repeats this with a second node.
func TestResolveAfterFailedWave(t *testing.T) {
	p := placedProblem(t, GenerateOptions{Volumes: 80, Nodes: 9, Zones: 3, Seed: 11, Skew: 0.5, Load: 0.6, MaxCapacityRatio: 2, Spread: 2})
	p.Nodes[0].State = "draining"
	for _, lost := range []int{4, 7} {
		f, err := Resolve(p, ResolveOptions{Seed: 1, Steps: 100, MaxMoves: -1})
		if err != nil {
			t.Fatal(err)
		}
		s, err := Waves(p, f.Placement, 2)
		if err != nil || len(s.Waves) < 2 || len(s.Stuck) > 0 {
			t.Fatalf("%d waves, %v, %v", len(s.Waves), s.Stuck, err)
		}
		now := ApplyMoves(placementOf(p), s.Waves[0])
		half := s.Waves[1][:len(s.Waves[1])/2]
		half = slices.DeleteFunc(slices.Clone(half), func(m Move) bool { return m.To == p.Nodes[lost].ID })
		p = WithPlacement(p, ApplyMoves(now, half))
		p.Nodes = slices.Clone(p.Nodes)
		p.Nodes[lost].State = "gone"
	}
	f, err := Resolve(p, ResolveOptions{Seed: 1, Steps: 100, MaxMoves: -1})
	if err != nil {
		t.Fatal(err)
	}
	s, err := Waves(p, f.Placement, 0)
	if err != nil || len(s.Stuck) > 0 {
		t.Fatal(s, err)
	}
	end := replaySchedule(t, p, s, f.Placement)
	for v, nodes := range f.Placement {
		if !slices.Equal(end[v], nodes) || slices.Contains(nodes, "n0") || slices.Contains(nodes, "n4") || slices.Contains(nodes, "n7") {
			t.Fatalf("%s ends on %v, wanted %v", v, end[v], nodes)
		}
	}
	for _, wave := range s.Waves {
		for _, m := range wave {
			if m.From == "n4" || m.From == "n7" {
				t.Errorf("%+v copies from a node that is gone", m)
			}
		}
	}
}

// TestRelax checks that Relax omits the volumes with the lowest prices, that no omitted volume
// could be placed with those kept, and that the heuristic mostly agrees with the exact search.
func TestRelax(t *testing.T) {
	p := readyProblem([]Node{{ID: "a", Capacity: 1000}, {ID: "b", Capacity: 1000}}, []Volume{
		{ID: "u", Plan: "cheap", Demand: 100, Spread: 1}, {ID: "v", Plan: "dear", Demand: 100, Spread: 1},
		{ID: "w", Plan: "dear", Demand: 100, Spread: 1}, {ID: "x", Plan: "cheap", Demand: 100, Spread: 1},
		{ID: "y", Plan: "free", Demand: 5, Spread: 1}},
		Plan{Name: "cheap", Weight: 1, Price: 1, Reserve: 500}, Plan{Name: "dear", Weight: 1, Price: 9, Reserve: 500}, Plan{Name: "free", Weight: 1})
	p.Nodes[0].MostVolumes = 2
	for _, exact := range []bool{true, false} {
		f, left, err := Relax(p, exact, Options{Seed: 1, Steps: 50})
		if exact {
			f, left, err = Relax(p, exact, Options{})
		}
		if err != nil || fmt.Sprint(left) != "[u x]" || len(f.Placement) != 3 {
			t.Errorf("exact %v: left out %v, %+v, %v", exact, left, f, err)
		}
	}
	agree, infeasible := 0, 0
	for seed := range int64(600) {
		p := randomProblem(rand.New(rand.NewSource(seed)))
		if _, err := Exact(p, 0); !errors.Is(err, ErrInfeasible) {
			continue
		}
		f, left, err := Relax(p, true, Options{})
		if err != nil || len(left) == 0 || len(f.Placement)+len(left) != len(p.Volumes) {
			t.Fatalf("seed %d: %v left, %v", seed, left, err)
		}
		for _, id := range left { // no omitted volume can be placed with those kept
			keep := append(slices.Collect(maps.Keys(f.Placement)), id)
			if _, err := Exact(withVolumes(p, keep), 0); !errors.Is(err, ErrInfeasible) {
				t.Fatalf("seed %d: %s could be placed too", seed, id)
			}
		}
		_, heuristic, err := Relax(p, false, Options{Seed: 1, Steps: 20})
		infeasible++
		if err == nil && slices.Equal(heuristic, left) {
			agree++
		}
	}
	if agree*10 < infeasible*9 {
		t.Errorf("the heuristic agrees with the exact search in %d of %d", agree, infeasible)
	}
}

// TestExplain checks that the change of each choice is what evaluating the changed placement
// gives, and that draining nodes and unknown volumes are rejected.
func TestExplain(t *testing.T) {
	for seed := range uint64(20) {
		p := placedProblem(t, GenerateOptions{Volumes: 20, Nodes: 6, Zones: 2, Seed: seed, Skew: 1, Load: 1.1, MaxCapacityRatio: 5, Spread: 2, Costs: true})
		p.Nodes[1].State = "draining"
		f, err := Resolve(p, ResolveOptions{Seed: 1, Steps: 200, MaxMoves: -1})
		if err != nil {
			t.Fatal(err)
		}
		v := p.Volumes[int(seed)%len(p.Volumes)].ID
		e, err := Explain(p, f.Placement, v)
		if err != nil || len(e.Choices) != 6 {
			t.Fatal(e, err)
		}
		for _, c := range e.Choices {
			if c.Why != "" || c.Replaces == "" {
				continue
			}
			other := maps.Clone(f.Placement)
			other[v] = slices.Sorted(slices.Values(append(slices.DeleteFunc(slices.Clone(other[v]), func(n string) bool { return n == c.Replaces }), c.Node)))
			a, err := Evaluate(p, other)
			if err != nil || a.Value.Sub(f.Value) != c.Change {
				t.Fatalf("seed %d: %+v, but %v - %v, %v", seed, c, a, f.Value, err)
			}
		}
		for _, c := range e.Choices {
			if c.Node == "n1" && c.Why == "" {
				t.Errorf("a draining node is offered: %+v", c)
			}
		}
	}
	if _, err := Explain(readyProblem(nil, nil), nil, "v"); err == nil {
		t.Error("no error for an unknown volume")
	}
}
