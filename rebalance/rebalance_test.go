package rebalance

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawSite draws shards and the units on them.
func drawSite(t *rapid.T) (shards []Shard, units []Unit) {
	for id := range rapid.IntRange(1, 12).Draw(t, "shards") {
		s := Shard{ID: id, Capacity: rapid.SampledFrom([]int64{0, 1000, 1000, 5000, 100_000}).Draw(t, "capacity"),
			Readable: rapid.IntRange(0, 9).Draw(t, "gives") > 0, Writable: rapid.IntRange(0, 9).Draw(t, "takes") > 0,
			Draining: rapid.IntRange(0, 9).Draw(t, "leaves") == 0}
		for u := range rapid.IntRange(0, 30).Draw(t, "units") {
			b := int64(rapid.IntRange(1, 60).Draw(t, "bytes"))
			if s.Used+b > s.Capacity {
				break
			}
			s.Used += b
			units = append(units, Unit{Volume: fmt.Sprint("v", u%3), Base: fmt.Sprint(id, "-", u), Shard: id, Extents: 1, Bytes: b})
		}
		shards = append(shards, s)
	}
	return shards, units
}

// applyPlan executes a plan on the given shards and units.
func applyPlan(p *Plan, shards []Shard, units []Unit) {
	for _, m := range p.Moves {
		for i := range units {
			if units[i].Base == m.Base {
				units[i].Shard = m.To
			}
		}
		for i := range shards {
			switch shards[i].ID {
			case m.Shard:
				shards[i].Used -= m.Bytes
			case m.To:
				shards[i].Used += m.Bytes
			}
		}
	}
}

// TestPlanProperties checks plans for arbitrary sites. A plan moves each unit at most once, from a shard that can be
// read to one that can be written and may store the volume, and never past the high mark. No move leaves its target
// fuller than its source unless the source drains. The waves contain each move once and keep the limit per shard.
// Equal inputs give equal plans. Repeated planning and execution ends, and no unit returns to an earlier shard.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards, units := drawSite(t)
		set := Default
		set.MaxMoves = rapid.IntRange(1, 40).Draw(t, "moves")
		allowed := func(v string, shard int) bool { return v != "v1" || shard%2 == 0 }
		visited := map[string]map[int]bool{}
		for round := 0; ; round++ {
			p, err := Make(set, shards, units, allowed)
			if err != nil {
				t.Fatal(err)
			}
			again, _ := Make(set, shards, units, allowed)
			if !reflect.DeepEqual(p, again) {
				t.Fatal("equal inputs give different plans")
			}
			if len(p.Moves) == 0 {
				return
			}
			if round > 200 {
				t.Fatal("planning does not end after 200 rounds")
			}
			seen, before := map[string]bool{}, append([]Shard(nil), shards...)
			for _, m := range p.Moves {
				from, to := &before[m.Shard], &before[m.To]
				switch {
				case seen[m.Base]:
					t.Fatalf("%s moves twice in a plan", m.Base)
				case !from.Readable || !to.Writable || to.Draining || to.Capacity == 0 || !allowed(m.Volume, m.To):
					t.Fatalf("%+v: from %+v to %+v", m, from, to)
				}
				seen[m.Base] = true
				from.Used, to.Used = from.Used-m.Bytes, to.Used+m.Bytes
				if float64(to.Used) > set.HighMark*float64(to.Capacity) {
					t.Fatalf("%+v passes the high mark", to)
				}
				if !from.Draining && float64(to.Used)/float64(to.Capacity) > float64(from.Used)/float64(from.Capacity)+1e-9 {
					t.Fatalf("%+v: the target is fuller than the source after it", m)
				}
				if visited[m.Base] == nil {
					visited[m.Base] = map[int]bool{}
				}
				visited[m.Base][m.Shard] = true
				if visited[m.Base][m.To] {
					t.Fatalf("%s returns to %d", m.Base, m.To)
				}
			}
			inWaves := map[int]bool{}
			for _, wave := range p.Waves {
				busy := map[int]int{}
				for _, i := range wave {
					if inWaves[i] {
						t.Fatal("a move is in two waves")
					}
					inWaves[i] = true
					busy[p.Moves[i].Shard]++
					busy[p.Moves[i].To]++
				}
				for s, n := range busy {
					if n > set.MaxMovesPerShard {
						t.Fatalf("shard %d takes part in %d moves of a wave", s, n)
					}
				}
			}
			if len(inWaves) != len(p.Moves) {
				t.Fatal("moves without a wave")
			}
			applyPlan(p, shards, units)
		}
	})
}

// TestMakeBalancesShards checks that a new empty shard receives its part of the data of full ones, that nothing moves
// for a gain below the cost, and that a draining shard is emptied.
func TestMakeBalancesShards(t *testing.T) {
	site := func(used ...int64) (shards []Shard, units []Unit) {
		for id, u := range used {
			shards = append(shards, Shard{ID: id, Used: u * 10, Capacity: 1000, Readable: true, Writable: true})
			for i := range u {
				units = append(units, Unit{Volume: "v", Base: fmt.Sprint(id, ".", i), Shard: id, Extents: 1, Bytes: 10})
			}
		}
		return shards, units
	}
	shards, units := site(60, 60, 60, 0)
	p, err := Make(Default, shards, units, nil)
	if err != nil || p.Reason != ReasonBalanced || p.After.Max-p.After.Min >= Default.MinDifference || p.After.Mean != 0.45 {
		t.Fatalf("%+v, %v", p, err)
	}
	if p.Bytes < 380 || p.Bytes > 450 { // 450 would balance the shards exactly
		t.Errorf("%d bytes move", p.Bytes)
	}
	shards, units = site(50, 48, 46)
	if p, _ = Make(Default, shards, units, nil); len(p.Moves) != 0 || p.Reason != ReasonBalanced {
		t.Errorf("%d moves for too small a gain: %s", len(p.Moves), p.Reason)
	}
	shards, units = site(50, 40, 40)
	shards[0].Draining, shards[0].Writable = true, false
	if p, _ = Make(Default, shards, units, nil); p.Usage[0].After != 0 || len(p.Moves) != 50 {
		t.Errorf("%+v", p.Usage)
	}
	shards, units = site(90, 10)
	shards[0].Writable, shards[1].Writable = false, false
	if p, _ = Make(Default, shards, units, nil); p.Reason != ReasonNoTarget || len(p.Moves) != 0 {
		t.Errorf("%+v", p)
	}
	if _, err := Make(Settings{}, shards, units, nil); err == nil {
		t.Error("zero settings are accepted")
	}
	if _, err := Make(Default, append(shards, shards[0]), units, nil); err == nil {
		t.Error("a duplicate shard is accepted")
	}
}
