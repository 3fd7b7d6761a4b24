package audit

import (
	"fmt"
	"math"
	"testing"
)

// TestWorthByShare checks that of a volume's units in a second those within its share count in full and the
// others as spare, both due and earned, and that all units of a volume without a share count in full.
func TestWorthByShare(t *testing.T) {
	ask := func(id, volume string, at, took int64, units float64, result string) []Record {
		recs := transfer(id, at, at+took, 4000, result)
		recs[0].Volume, recs[0].Units = volume, units
		return recs
	}
	var recs []Record
	for _, r := range [][]Record{
		ask("a", "v", 10, 50, 6, "served"), ask("b", "v", 20, 50, 6, "served"), // 12 in one second, share 10
		ask("c", "v", 1200, 50, 6, "served"), ask("d", "v", 1300, 50, 6, "refused"), // 6 of 12 served
		ask("e", "w", 30, 50, 100, "served"),
		ask("f", "v", 2500, 500, 4, "served"), // late: counts half
	} {
		recs = append(recs, r...)
	}
	shared := *rules
	shared.Shares, shared.SpareWorth = map[string]float64{"v": 10}, 0.25
	for name, c := range map[string]struct {
		rules       *Rules
		due, earned float64 // units
	}{
		"without shares": {rules, 12 + 12 + 100 + 4, 12 + 6 + 100 + 2},
		"with":           {&shared, 10.5 + 10.5 + 100 + 4, 10.5 + 6 + 100 + 2},
	} {
		rep := Check(recs, c.rules) // class worth 2, price 0.5: a unit is worth 1
		if math.Abs(rep.Total.Due-c.due) > 1e-9 || math.Abs(rep.Total.Earned-c.earned) > 1e-9 {
			t.Errorf("%s: due %v, earned %v, want %v and %v", name, rep.Total.Due, rep.Total.Earned, c.due, c.earned)
		}
	}
}

// TestSpread checks that completed writes are counted by shard, including shards without any.
func TestSpread(t *testing.T) {
	var recs []Record
	for shard := range 4 {
		r := told(0, "n", "ready")
		r.Shard = shard
		recs = append(recs, r)
	}
	done := func(shard int, class, result string) {
		recs = append(recs, Record{T: ms, Kind: End, Shard: shard, Class: class, Result: result, Item: fmt.Sprintf("g-1-%d.%d", len(recs)/2, len(recs))})
	}
	for range 6 {
		done(1, "write", "done")
	}
	done(2, "write", "done")
	done(2, "write", "done")
	done(3, "read", "done")
	done(3, "write", "busy")
	s := Check(recs, rules).Spread
	if s.Files != 4 || s.Touched != 0.75 || s.Mean != 0.25 {
		t.Errorf("files: %+v", s)
	}
	if s.Nodes != 4 || s.Used != 2 || s.Largest != 3 || math.Abs(s.Varies-math.Sqrt(6)/2) > 1e-9 {
		t.Errorf("spread: %+v", s)
	}
}
