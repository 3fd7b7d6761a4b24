package shares

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// TestSearchAgainstExact compares Search with Exact on small problems: the answer is feasible, its
// value is at most the optimum and its bound at least the optimum, and most answers are optimal.
func TestSearchAgainstExact(t *testing.T) {
	best, found, missed, solved := 0, 0, 0, 0
	for seed := range int64(1500) {
		p := randomProblem(rand.New(rand.NewSource(seed)))
		want, err := Exact(p, 0)
		got, serr := Search(p, Options{Seed: 1, Steps: 400})
		if errors.Is(err, ErrInfeasible) {
			if !errors.Is(serr, ErrNotFound) {
				t.Fatalf("seed %d: infeasible, but the search returned %+v, %v", seed, got, serr)
			}
			continue
		}
		solved++
		if errors.Is(serr, ErrNotFound) {
			missed++
			continue
		}
		if err != nil || serr != nil {
			t.Fatal(seed, err, serr)
		}
		found++
		if got.Value.Cmp(want.Value) > 0 || got.Bound.Cmp(want.Value) < 0 {
			t.Fatalf("seed %d: found %v, bound %v, best %v", seed, got.Value, got.Bound, want.Value)
		}
		if got.Value == want.Value {
			best++
		}
		if again, err := Evaluate(p, got.Placement); err != nil || again.Value != got.Value {
			t.Fatalf("seed %d: evaluated %+v, %v", seed, again, err)
		}
	}
	t.Logf("%d feasible: %d found, %d of them optimal, %d missed", solved, found, best, missed)
	if missed*20 > solved || best*10 < found*8 {
		t.Errorf("of %d feasible problems %d were missed; %d of %d answers are optimal", solved, missed, best, found)
	}
}

// overloadedProblem makes a random problem with about 5% more demand than usable capacity.
func overloadedProblem(volumes, nodes int, seed int64) *Problem {
	rng := rand.New(rand.NewSource(seed))
	p := &Problem{ShareOfCapacity: Ratio{9, 10}, SpareWorth: Ratio{5, 100}, Plans: []Plan{
		{Name: "standard", Weight: 1, Price: 720_000}, {Name: "priority", Weight: 3, Price: 900_000, Reserve: 500}}}
	sum := int64(0)
	for i := range nodes {
		c := []int64{60_000, 120_000, 120_000, 240_000}[rng.Intn(4)]
		sum += c
		p.Nodes = append(p.Nodes, Node{ID: fmt.Sprintf("n%04d", i), Capacity: c, Zone: fmt.Sprint("z", i%3), State: "ready"})
	}
	mean := sum * 945 / 1000 / int64(volumes)
	for i := range volumes {
		plan := "standard"
		if rng.Intn(4) == 0 {
			plan = "priority"
		}
		p.Volumes = append(p.Volumes, Volume{ID: fmt.Sprintf("v%05d", i), Plan: plan, Spread: 2, LeastZones: 1 + rng.Intn(2),
			Demand: 1 + int64(rng.ExpFloat64()*float64(mean))})
	}
	return p
}

// TestSearchIsDeterministicAndMonotone checks that the same seed and steps give the same answer,
// and that more steps never give a lower value.
func TestSearchIsDeterministicAndMonotone(t *testing.T) {
	p := overloadedProblem(200, 12, 1)
	last := minValue
	for _, steps := range []int{0, 100, 1000, 5000} {
		a, err := Search(p, Options{Seed: 3, Steps: steps})
		b, err2 := Search(p, Options{Seed: 3, Steps: steps})
		if err != nil || err2 != nil || fmt.Sprint(a.Placement) != fmt.Sprint(b.Placement) {
			t.Fatalf("%d steps: %v %v; the same twice: %v", steps, err, err2, err == nil && fmt.Sprint(a.Placement) == fmt.Sprint(b.Placement))
		}
		if a.Value.Cmp(last) < 0 || a.Value.Cmp(a.Bound) > 0 {
			t.Errorf("%d steps: %v after %v, bound %v", steps, a.Value, last, a.Bound)
		}
		last = a.Value
	}
}

// benchmarkSizes holds the sizes and search steps of the benchmarks.
var benchmarkSizes = []struct{ volumes, nodes, steps int }{{50, 8, 50_000}, {500, 42, 50_000}, {10_000, 300, 8000}}

func benchmarkProblem(b *testing.B, volumes, nodes int, load float64) *Problem {
	return mustGenerate(b, GenerateOptions{Volumes: volumes, Nodes: nodes, Zones: 3, Seed: 1, Skew: 0.7, Load: load, MaxCapacityRatio: 10, Spread: 3, Costs: true})
}

// BenchmarkAgainstBaselines measures the time and the gap to the bound, in percent, of the search
// without and with steps, and of the baselines, on the same problems. A baseline whose placement
// violates a constraint reports a gap of 100.
func BenchmarkAgainstBaselines(b *testing.B) {
	for _, size := range benchmarkSizes {
		for _, load := range []float64{0.8, 1.05, 1.5} {
			p := benchmarkProblem(b, size.volumes, size.nodes, load)
			best, err := Search(p, Options{Seed: 1, Steps: size.steps})
			if err != nil {
				b.Fatal(err)
			}
			bound, _ := best.Bound.Big().Float64()
			gap := func(a *Answer) float64 {
				if a == nil {
					return 100
				}
				value, _ := a.Value.Big().Float64()
				return 100 * (bound - value) / bound
			}
			for name, solve := range map[string]func() (*Answer, error){
				"hashing": func() (*Answer, error) { return Hashing(p) },
				"greedy":  func() (*Answer, error) { return Greedy(p) },
				"construct": func() (*Answer, error) {
					f, err := Search(p, Options{Seed: 1})
					return f.Answer, err
				},
				"search": func() (*Answer, error) {
					f, err := Search(p, Options{Seed: 1, Steps: size.steps})
					return f.Answer, err
				},
			} {
				b.Run(fmt.Sprintf("%dx%d/load=%v/%s", size.volumes, size.nodes, load, name), func(b *testing.B) {
					var a *Answer
					for range b.N {
						var err error
						if a, err = solve(); err != nil && !errors.As(err, new(*InfeasibleError)) {
							b.Fatal(err)
						}
					}
					b.ReportMetric(gap(a), "gap-%")
				})
			}
		}
	}
}

// BenchmarkResolve measures the time to solve again after the loss of a node, waves included. It
// reports the moves next to the number of lost parts and the moves of solving from scratch.
func BenchmarkResolve(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("%dx%d", size.volumes, size.nodes), func(b *testing.B) {
			p := benchmarkProblem(b, size.volumes, size.nodes, 0.8)
			f, err := Search(p, Options{Seed: 1, Steps: size.steps / 10})
			if err != nil {
				b.Fatal(err)
			}
			p = WithPlacement(p, f.Placement)
			p.Nodes[1].State = "gone"
			lost := 0
			for _, v := range p.Volumes {
				if slices.Contains(v.On, p.Nodes[1].ID) {
					lost++
				}
			}
			var resolved *SearchResult
			var waves *Schedule
			for b.Loop() {
				if resolved, waves, err = Migrate(p, ResolveOptions{Seed: 1, Steps: 500, MaxMoves: -1}, 4); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(lost), "lost")
			b.ReportMetric(float64(resolved.Moves), "moves")
			b.ReportMetric(float64(len(waves.Waves)), "waves")
			b.ReportMetric(float64(len(waves.Stuck)), "stuck")
			fresh, err := Search(WithPlacement(p, map[string][]string{}), Options{Seed: 2, Steps: 500})
			if err != nil {
				b.Fatal(err)
			}
			moved := 0
			for _, v := range p.Volumes {
				moved += len(difference(fresh.Placement[v.ID], v.On))
			}
			b.ReportMetric(float64(moved), "moves-from-nothing")
		})
	}
}
