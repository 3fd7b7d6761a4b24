package shares

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// TestSearchOnSmallOnes: on what the exact search solves, the answer is feasible, its
// value is at most the best and the bound at least, and most of them are the best.
func TestSearchAgainstExact(t *testing.T) {
	best, found, missed, solved := 0, 0, 0, 0
	for seed := range int64(1500) {
		p := randomProblem(rand.New(rand.NewSource(seed)))
		want, err := Exact(p, 0)
		got, serr := Search(p, Options{Seed: 1, Steps: 400})
		if errors.Is(err, ErrNone) {
			if !errors.Is(serr, ErrNotFound) {
				t.Fatalf("seed %d: there is none, and %+v, %v was found", seed, got, serr)
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
	t.Logf("%d solved: %d found, %d of them the best, %d missed", solved, found, best, missed)
	if missed*20 > solved || best*10 < found*8 {
		t.Errorf("of %d with an answer %d were missed; %d of %d are the best", solved, missed, best, found)
	}
}

// fleet draws a problem of a size, with a twentieth more demand than is usable.
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

// TestSearchImproves: the same seed and steps give the same answer, and more steps never
// a lower value.
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

// sizes of the benchmarks: volumes, nodes, steps.
var benchmarkSizes = []struct{ volumes, nodes, steps int }{{50, 8, 50_000}, {500, 42, 50_000}, {10_000, 300, 8000}}

func benchmarkProblem(b *testing.B, volumes, nodes int, load float64) *Problem {
	return mustGenerate(b, Draw{Volumes: volumes, Nodes: nodes, Zones: 3, Seed: 1, Skew: 0.7, Load: load, Unequal: 10, Spread: 3, Costs: true})
}

// BenchmarkAgainstPlain is the time and the gap to the bound, in percent, of the search
// without and with its steps, and of the plain ways, on the same problems. A plain way whose
// placement breaks a constraint reports a gap of 100.
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
			for name, way := range map[string]func() (*Answer, error){
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
						if a, err = way(); err != nil && !errors.As(err, new(*Infeasible)) {
							b.Fatal(err)
						}
					}
					b.ReportMetric(gap(a), "gap-%")
				})
			}
		}
	}
}

// BenchmarkResolve is the time in which the loss of a node is worked out anew, its waves
// included, and what it moves, beside the parts that were lost and what solving from nothing
// would move.
func BenchmarkResolve(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("%dx%d", size.volumes, size.nodes), func(b *testing.B) {
			p := benchmarkProblem(b, size.volumes, size.nodes, 0.8)
			f, err := Search(p, Options{Seed: 1, Steps: size.steps / 10})
			if err != nil {
				b.Fatal(err)
			}
			p = Now(p, f.Placement)
			p.Nodes[1].State = "gone"
			lost := 0
			for _, v := range p.Volumes {
				if slices.Contains(v.On, p.Nodes[1].ID) {
					lost++
				}
			}
			var again *Found
			var waves *Schedule
			for b.Loop() {
				if again, waves, err = Migrate(p, Again{Seed: 1, Steps: 500, MostMoves: -1}, 4); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(lost), "lost")
			b.ReportMetric(float64(again.Moves), "moves")
			b.ReportMetric(float64(len(waves.Waves)), "waves")
			b.ReportMetric(float64(len(waves.Stuck)), "stuck")
			fresh, err := Search(Now(p, map[string][]string{}), Options{Seed: 2, Steps: 500})
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
