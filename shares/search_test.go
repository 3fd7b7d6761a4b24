package shares

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
)

// TestSearchOnSmallOnes: on what the exact search solves, the answer is feasible, its
// value is at most the best and the bound at least, and most of them are the best.
func TestSearchOnSmallOnes(t *testing.T) {
	best, found, missed, solved := 0, 0, 0, 0
	for seed := range int64(1500) {
		p := draw(rand.New(rand.NewSource(seed)))
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
func fleet(volumes, nodes int, seed int64) *Problem {
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
func TestSearchImproves(t *testing.T) {
	p := fleet(200, 12, 1)
	last := least
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

// BenchmarkSearch is the time of a search with so many volumes and nodes, and the gap
// to its bound, in percent.
func BenchmarkSearch(b *testing.B) {
	for _, size := range [][2]int{{50, 8}, {500, 42}, {10_000, 300}} {
		p := fleet(size[0], size[1], 1)
		for _, steps := range []int{0, 20_000} {
			b.Run(fmt.Sprintf("%dx%d/%d", size[0], size[1], steps), func(b *testing.B) {
				gap := 0.0
				for range b.N {
					a, err := Search(p, Options{Seed: 1, Steps: steps})
					if err != nil {
						b.Fatal(err)
					}
					bound, _ := a.Bound.Big().Float64()
					value, _ := a.Value.Big().Float64()
					gap = 100 * (bound - value) / bound
				}
				b.ReportMetric(gap, "gap-%")
			})
		}
	}
}
