package shares

import (
	"errors"
	"math/rand"
	"testing"
)

// TestConflictsAreMinimal checks on small infeasible problems that the constraints of a conflict
// cannot be met together, that they can without any one of them, and that every kind of
// constraint occurs.
func TestConflictsAreMinimal(t *testing.T) {
	kinds := map[string]int{}
	for seed := range int64(1200) {
		p := randomProblem(rand.New(rand.NewSource(seed)))
		_, err := Exact(p, 0)
		conflict, cerr := Conflict(p, 0)
		if cerr != nil {
			t.Fatal(seed, cerr)
		}
		if !errors.Is(err, ErrInfeasible) {
			if conflict != nil {
				t.Fatalf("seed %d: conflict %v for a feasible problem", seed, conflict)
			}
			continue
		}
		if len(conflict) == 0 {
			t.Fatalf("seed %d: no conflict for an infeasible problem", seed)
		}
		left := map[Constraint]bool{}
		for _, c := range constraints(p) {
			left[c] = true
		}
		for _, c := range conflict {
			left[c] = false
		}
		if _, err := Exact(withoutConstraints(p, left), 0); !errors.Is(err, ErrInfeasible) {
			t.Fatalf("seed %d: %v can be met together: %v", seed, conflict, err)
		}
		for _, c := range conflict {
			kinds[c.Kind]++
			left[c] = true
			if _, err := Exact(withoutConstraints(p, left), 0); err != nil {
				t.Fatalf("seed %d: infeasible without %v of %v: %v", seed, c, conflict, err)
			}
			left[c] = false
		}
	}
	for _, k := range []string{"reserve", "state", "most_volumes", "zones", "least_zones", "require", "forbid", "spread"} {
		if kinds[k] == 0 {
			t.Errorf("no conflict had a constraint of kind %s: %v", k, kinds)
		}
	}
}
