package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// shards returns ready, warm and empty shards with the given weights.
func shards(weights ...float64) []Shard {
	var list []Shard
	for i, w := range weights {
		list = append(list, Shard{ID: i, Zone: fmt.Sprint("z", i%3), Ready: true, Weight: w, Warmth: 1, Headroom: 1})
	}
	return list
}

func newMap(t testing.TB, set Settings, list []Shard, placed map[string][]int) *Map {
	t.Helper()
	m, err := New(set, list, placed)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// testKey returns the i-th of a series of hashed keys.
func testKey(i int) uint64 { return mix(uint64(i) + 1) }

// firstChoice returns the best candidate among all shards.
func firstChoice(m *Map, k uint64) int {
	var c CandidateBuffer
	tiers := m.Candidates("v", k, &c)
	return tiers[len(tiers)-1][0]
}

// TestChoicesFollowWeights checks that with 3 to 1,000 nodes of unequal weight, each node's part of first choices
// matches its weight within the sampling error.
func TestChoicesFollowWeights(t *testing.T) {
	for _, n := range []int{3, 24, 300, 1000} {
		weights, sum := make([]float64, n), 0.0
		for i := range weights {
			weights[i] = float64(1 + i%5)
			sum += weights[i]
		}
		m := newMap(t, Default, shards(weights...), nil)
		const draws = 60_000
		got := make([]float64, n)
		for i := range draws {
			got[firstChoice(m, testKey(i))]++
		}
		for i := range got {
			want := draws * weights[i] / sum
			if math.Abs(got[i]-want) > 5*math.Sqrt(want)+0.01*want {
				t.Errorf("%d nodes: node %d of weight %v got %v, want %.0f", n, i, weights[i], got[i], want)
			}
		}
	}
}

// TestCandidateProperties checks that candidates accept extents, are distinct and as many as there can be, that they
// do not depend on the order of the inputs, and that a change of one shard's weight moves choices only to that shard
// (if the weight grows) or away from it.
func TestCandidateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "nodes")
		var list []Shard
		for i := range n {
			list = append(list, Shard{ID: i * 7, Ready: rapid.Bool().Draw(t, "ready"), Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
				Warmth: rapid.SampledFrom([]float64{0.2, 1}).Draw(t, "warmth"), Headroom: rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "headroom")})
		}
		set := Settings{Choice: rapid.IntRange(1, MaxChoice).Draw(t, "choice"), Width: 4, MaxWholeFileBytes: 1000}
		placed := map[string][]int{"v": {0, 7, 7, 21}}
		m, err := New(set, list, placed)
		if err != nil {
			t.Fatal(err)
		}
		eligible := map[int]bool{}
		for _, s := range list {
			eligible[s.ID] = s.Ready && s.weight() > 0
		}
		shuffled := rapid.Permutation(list).Draw(t, "order")
		reordered, err := New(set, shuffled, placed)
		if err != nil {
			t.Fatal(err)
		}
		which := rapid.IntRange(0, n-1).Draw(t, "which")
		changed := slices.Clone(list)
		changed[which].Weight *= rapid.SampledFrom([]float64{0.5, 2}).Draw(t, "factor")
		reweighted, err := New(set, changed, placed)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 50 {
			var a, b, c CandidateBuffer
			tiers := m.Candidates("v", testKey(i), &a)
			for _, tier := range tiers {
				for k, id := range tier {
					if !eligible[id] || slices.Contains(tier[:k], id) {
						t.Fatalf("shard %d among %v", id, tier)
					}
				}
			}
			if m.Len() > 0 && len(tiers[len(tiers)-1]) != min(set.Choice, m.Len()) {
				t.Fatalf("%v of %d", tiers, m.Len())
			}
			if len(tiers) == 2 && slices.ContainsFunc(tiers[0], func(id int) bool { return !slices.Contains(placed["v"], id) }) {
				t.Fatalf("first tier %v", tiers[0])
			}
			if !reflect.DeepEqual(tiers, reordered.Candidates("v", testKey(i), &b)) {
				t.Fatal("candidates depend on the order of the shards")
			}
			if m.Len() == 0 || reweighted.Len() != m.Len() {
				continue
			}
			before, after := tiers[len(tiers)-1], reweighted.Candidates("w", testKey(i), &c)[0]
			rest := func(list []int) []int {
				return slices.DeleteFunc(slices.Clone(list), func(id int) bool { return id == which*7 })
			}
			x, y := rest(before), rest(after)
			if k := min(len(x), len(y)); !slices.Equal(x[:k], y[:k]) {
				t.Fatalf("%v became %v though only %d changed", before, after, which*7)
			}
		}
	})
}

// TestKeysStripeLargeFiles checks that all extents of a small file have one key, that those of a large file have as
// many keys as its width, and that files have different keys.
func TestKeysStripeLargeFiles(t *testing.T) {
	set := Settings{Choice: 2, Width: 4, MaxWholeFileBytes: 1000}
	count := func(size int64) int {
		keys := map[uint64]bool{}
		for i := range 100 {
			keys[set.Key("v", "f", i, size)] = true
		}
		return len(keys)
	}
	if count(1000) != 1 || count(1001) != 4 || count(-1) != 4 {
		t.Errorf("keys: %d, %d, %d", count(1000), count(1001), count(-1))
	}
	if set.Key("v", "f", 0, 1) == set.Key("v", "g", 0, 1) || set.Key("v", "f", 0, 1) == set.Key("w", "f", 0, 1) {
		t.Error("two files have the same key")
	}
}

func TestNewRejectsInvalidInput(t *testing.T) {
	for _, set := range []Settings{{}, {Choice: 9, Width: 1}, {Choice: 1}, {Choice: 1, Width: 1, MaxWholeFileBytes: -1}} {
		if _, err := New(set, nil, nil); err == nil {
			t.Errorf("%+v is accepted", set)
		}
	}
	if _, err := New(Default, append(shards(1, 1), Shard{ID: 1}), nil); err == nil {
		t.Error("a duplicate shard is accepted")
	}
	m := newMap(t, Default, nil, map[string][]int{"v": {1}})
	var c CandidateBuffer
	if tiers := m.Candidates("v", 1, &c); len(tiers) != 0 {
		t.Errorf("candidates without shards: %v", tiers)
	}
}

// TestPreselectionDropsNoCandidate checks that the preselection, which avoids computing most draws, finds the same
// candidates as sorting all draws.
func TestPreselectionDropsNoCandidate(t *testing.T) {
	w := make([]float64, 500)
	for i := range w {
		w[i] = 1 + float64(i%7)
	}
	m := newMap(t, Settings{Choice: 8, Width: 1}, shards(w...), nil)
	var c CandidateBuffer
	for k := range 3000 {
		h := testKey(k)
		all := slices.Clone(m.all.entries)
		draw := func(e shardEntry) float32 { return m.negLog2(e.hashKey(h)) * e.inverseWeight }
		slices.SortStableFunc(all, func(a, b shardEntry) int { return cmp.Compare(draw(a), draw(b)) })
		for i, id := range m.Candidates("v", h, &c)[0] {
			if draw(all[i]) != draw(m.all.entries[slices.IndexFunc(m.all.entries, func(e shardEntry) bool { return int(e.id) == id })]) {
				t.Fatalf("key %d: candidate %d is shard %d, by all draws it is %d", k, i, id, all[i].id)
			}
		}
	}
}

// BenchmarkCandidates measures the cost of one call to Candidates.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{42, 300, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := make([]float64, n)
			for i := range w {
				w[i] = 1
			}
			m := newMap(b, Default, shards(w...), nil)
			var c CandidateBuffer
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Candidates("v", testKey(i), &c)
			}
		})
	}
}

// BenchmarkFilesTouchedByLosses reports the percentage of large files (16 extents each) that have an extent on one
// of one, two or three lost nodes, for several numbers of nodes and stripe widths.
func BenchmarkFilesTouchedByLosses(b *testing.B) {
	const files, extents, draws = 5000, 16, 50
	for _, n := range []int{24, 100} {
		w := make([]float64, n)
		for i := range w {
			w[i] = 1
		}
		for _, width := range []int{1, 2, 4, 8, 16} {
			b.Run(fmt.Sprintf("nodes=%d/width=%d", n, width), func(b *testing.B) {
				set := Settings{Choice: 1, Width: width}
				m := newMap(b, set, shards(w...), nil)
				var touched [4]float64
				for b.Loop() {
					on := make([]map[int]bool, files)
					for f := range on {
						on[f] = map[int]bool{}
						for x := range extents {
							on[f][firstChoice(m, set.Key("v", fmt.Sprint(f), x, 1<<30))] = true
						}
					}
					rng := rand.New(rand.NewPCG(1, 1))
					touched = [4]float64{}
					for range draws {
						lost := rng.Perm(n)[:3]
						for _, f := range on {
							for k := 1; k <= 3; k++ {
								if slices.ContainsFunc(lost[:k], func(s int) bool { return f[s] }) {
									touched[k] += 100.0 / files / draws
								}
							}
						}
					}
				}
				for k := 1; k <= 3; k++ {
					b.ReportMetric(touched[k], fmt.Sprintf("%%-of-%d", k))
				}
			})
		}
	}
}
