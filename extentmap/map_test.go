package extentmap

import (
	"errors"
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/google/btree"
	"pgregory.net/rapid"
)

func mustNew(t interface {
	Helper()
	Fatal(...any)
}, maxRuns int) *Map {
	t.Helper()
	m, err := New(maxRuns)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// runSource returns an iterator over runs as Map.Snapshot expects it.
func runSource(runs []Run) func() (Run, bool, error) {
	return func() (r Run, ok bool, err error) {
		if len(runs) > 0 {
			r, runs, ok = runs[0], runs[1:], true
		}
		return r, ok, nil
	}
}

// checkTree returns an error if the runs of a view are out of order or overlap, or its counts are wrong.
func checkTree(v *View) error {
	var last Run
	runs, extents := 0, uint64(0)
	var err error
	v.All(func(r Run) bool {
		if r.Volume == last.Volume && r.From < last.To {
			err = fmt.Errorf("%v after %v", r, last)
		}
		last = r
		if runs++; r.Shard != NoShard {
			extents += r.To - r.From
		}
		return err == nil
	})
	if err == nil && (runs != v.Len() || extents != v.Extents) {
		err = fmt.Errorf("%d runs of %d extents, counted %d of %d", runs, extents, v.Len(), v.Extents)
	}
	return err
}

// TestAgainstReferenceModel compares the map with an array of locations. An authority changes random ranges; its
// changes arrive in any order and some twice, with snapshots and fetched ranges in between. At each moment the map
// has the latest location received for each extent, and after all changes it equals the authority's.
func TestAgainstReferenceModel(t *testing.T) {
	const volumes, space = 2, 300
	type at struct {
		Location
		version uint64
		known   bool
	}
	rapid.Check(t, func(t *rapid.T) {
		type state [volumes][space]at
		var now state
		history := []state{now}
		var deltas []Delta
		name := func(v int) string { return fmt.Sprint("v", v) }
		for n := range rapid.IntRange(1, 40).Draw(t, "changes") {
			d := Delta{Term: 1, Version: uint64(n + 1)}
			for range rapid.IntRange(1, 3).Draw(t, "ranges") {
				v, a := rapid.IntRange(0, volumes-1).Draw(t, "volume"), rapid.IntRange(0, space-1).Draw(t, "from")
				b := rapid.IntRange(a+1, space).Draw(t, "to")
				if n > 0 && rapid.Bool().Draw(t, "repeat a range") {
					r := deltas[rapid.IntRange(0, n-1).Draw(t, "which")].Runs[0].Range
					v, a, b = int(r.Volume[1]-'0'), int(r.From), int(r.To)
				}
				h := Location{Shard: int32(rapid.IntRange(0, 3).Draw(t, "shard")), Epoch: uint32(rapid.IntRange(0, 1).Draw(t, "epoch"))}
				d.Runs = append(d.Runs, Run{Range{name(v), uint64(a), uint64(b)}, h, 0})
				for e := a; e < b; e++ {
					now[v][e] = at{h, d.Version, true}
				}
			}
			deltas, history = append(deltas, d), append(history, now)
		}
		runsAt := func(version, v, a, b int) (runs []Run) {
			for e := a; e < b; e++ {
				if s := history[version][v][e]; s.known {
					runs = append(runs, Run{Range{name(v), uint64(e), uint64(e + 1)}, s.Location, s.version})
				}
			}
			return runs
		}
		m := mustNew(t, 100_000)
		var model state
		synced, mark := false, 0
		came := map[int]bool{}
		apply := func(d Delta) {
			for _, r := range d.Runs {
				v := int(r.Volume[1] - '0')
				for e := r.From; e < r.To; e++ {
					if s := &model[v][e]; d.Version >= s.version {
						*s = at{r.Location, d.Version, true}
					}
				}
			}
		}
		deliver := func(n int) {
			got, err := m.Apply(deltas[n])
			if err != nil {
				t.Fatal(err)
			}
			if repeat := came[n] || synced && n+1 <= mark; repeat != (got == Duplicate) {
				t.Fatalf("change %d: %v; received before: %v", n+1, got, repeat)
			}
			came[n] = true
			if synced {
				apply(deltas[n])
			}
		}
		snapshot := func(version int) {
			var runs []Run
			for v := range volumes {
				runs = append(runs, runsAt(version, v, 0, space)...)
			}
			taken, err := m.Snapshot(1, uint64(version), runSource(runs))
			if err != nil || taken != (!synced || version >= mark) {
				t.Fatalf("snapshot %d at %d: %v, %v", version, mark, taken, err)
			}
			if !taken {
				return
			}
			before := model
			model, synced, mark = history[version], true, version
			for v := range volumes {
				for e := range space {
					if s := before[v][e]; s.version > uint64(version) {
						model[v][e] = s
					}
				}
			}
			for n := range deltas {
				if came[n] && n+1 > version {
					apply(deltas[n])
				}
			}
		}
		check := func() {
			for synced && mark < len(deltas) && came[mark] {
				mark++
			}
			view := m.View()
			if view.Watermark != uint64(mark) || view.Synced != synced {
				t.Fatalf("watermark %d, want %d; synced %v", view.Watermark, mark, view.Synced)
			}
			if err := checkTree(view); err != nil {
				t.Fatal(err)
			}
			for v := range volumes {
				vol, there := view.Volume(name(v))
				for e := range space {
					h, _, ok := view.Lookup(vol, uint64(e))
					if want := model[v][e]; (there && ok) != want.known || want.known && h != want.Location {
						t.Fatalf("%s %d: %v, %v, want %+v", name(v), e, h, ok, want)
					}
				}
			}
		}
		order := rapid.Permutation(slices.Collect(func(yield func(int) bool) {
			for i := range deltas {
				if !yield(i) {
					return
				}
			}
		})).Draw(t, "order")
		for _, n := range order {
			switch rapid.IntRange(0, 5).Draw(t, "interleaved") {
			case 0:
				snapshot(rapid.IntRange(0, len(deltas)).Draw(t, "as of"))
			case 1:
				if synced {
					v, a, version := rapid.IntRange(0, volumes-1).Draw(t, "volume"), rapid.IntRange(0, space-1).Draw(t, "from"), rapid.IntRange(0, len(deltas)).Draw(t, "as of")
					b := rapid.IntRange(a+1, space).Draw(t, "to")
					if err := m.Fetched(Range{name(v), uint64(a), uint64(b)}, 1, uint64(version), runsAt(version, v, a, b)); err != nil {
						t.Fatal(err)
					}
					for e := a; e < b; e++ {
						if s := &model[v][e]; s.version <= uint64(version) {
							*s = at{history[version][v][e].Location, uint64(version), true}
							if !history[version][v][e].known {
								s.Location = Location{Shard: NoShard}
							}
						}
					}
				}
			case 2:
				deliver(order[rapid.IntRange(0, len(order)-1).Draw(t, "any")])
			}
			deliver(n)
			check()
		}
		snapshot(0)
		if !synced {
			t.Fatal("not synced")
		}
		check()
		if from, _ := m.Missing(); from != 0 {
			t.Fatalf("all changes have arrived, but %d is missing", from)
		}
	})
}

// TestManyRuns checks that in a tree of several levels each extent has the location from the last of many
// changes of short and long ranges, and that a view taken before the changes does not change.
func TestManyRuns(t *testing.T) {
	const space = 40_000
	rng := rand.New(rand.NewSource(2))
	m := mustNew(t, space+1)
	if _, err := m.Snapshot(1, 1, func() func() (Run, bool, error) {
		e := uint64(0)
		return func() (Run, bool, error) {
			e++
			return Run{Range{"v", e - 1, e}, Location{Shard: int32(e % 5)}, 1}, e <= space, nil
		}
	}()); err != nil {
		t.Fatal(err)
	}
	model := make([]Location, space)
	for e := range model {
		model[e] = Location{Shard: int32((e + 1) % 5)}
	}
	same := func(v *View, model []Location) {
		t.Helper()
		if err := checkTree(v); err != nil {
			t.Fatal(err)
		}
		for e, want := range model {
			if h, _, ok := v.Lookup(0, uint64(e)); !ok || h != want {
				t.Fatalf("extent %d: %v, %v, want %v", e, h, ok, want)
			}
		}
	}
	held, then := m.View(), slices.Clone(model)
	for version := uint64(2); version < 300; version++ {
		d := Delta{Term: 1, Version: version}
		for range 100 {
			from := rng.Intn(space)
			to := min(space, from+1+[]int{0, 0, 0, rng.Intn(10), rng.Intn(400)}[rng.Intn(5)])
			h := Location{Shard: int32(rng.Intn(40)), Epoch: uint32(rng.Intn(2))}
			d.Runs = append(d.Runs, Run{Range{"v", uint64(from), uint64(to)}, h, 0})
			for e := from; e < to; e++ {
				model[e] = h
			}
		}
		if _, err := m.Apply(d); err != nil {
			t.Fatal(err)
		}
	}
	same(m.View(), model)
	same(held, then)
}

// TestNeighboursMerge checks that extents put on one shard one by one, in any order, form one run, also after
// one of them was on another shard for a while.
func TestNeighboursMerge(t *testing.T) {
	m := mustNew(t, 10_000)
	if _, err := m.Snapshot(1, 0, runSource(nil)); err != nil {
		t.Fatal(err)
	}
	version := uint64(0)
	put := func(e uint64, shard int32) {
		version++
		if _, err := m.Apply(Delta{1, version, []Run{{Range{"v", e, e + 1}, Location{Shard: shard}, 0}}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range rand.New(rand.NewSource(1)).Perm(5000) {
		put(uint64(i), 1)
	}
	if v := m.View(); v.Len() != 1 || v.Extents != 5000 {
		t.Errorf("%d runs of %d extents", v.Len(), v.Extents)
	}
	put(100, 2)
	if n := m.View().Len(); n != 3 {
		t.Errorf("after one extent moved: %d runs", n)
	}
	put(100, 1)
	if n := m.View().Len(); n != 1 {
		t.Errorf("after it moved back: %d runs", n)
	}
}

// TestTermChange checks that changes and ranges of a new term, in which a restored authority numbers its
// changes from the start, are rejected until a snapshot of that term replaces the map.
func TestTermChange(t *testing.T) {
	m := mustNew(t, 1000)
	run := func(shard int32, version uint64) Run { return Run{Range{"v", 0, 10}, Location{Shard: shard}, version} }
	if _, err := m.Snapshot(1, 7, runSource([]Run{run(1, 7)})); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Apply(Delta{Term: 2, Version: 3, Runs: []Run{run(2, 0)}}); !errors.Is(err, ErrTerm) {
		t.Errorf("a change of another term: %v", err)
	}
	if err := m.Fetched(Range{"v", 0, 10}, 2, 3, nil); !errors.Is(err, ErrTerm) {
		t.Errorf("a range of another term: %v", err)
	}
	v := m.View()
	if h, _, ok := v.Lookup(0, 5); !ok || h.Shard != 1 {
		t.Errorf("location %v, %v", h, ok)
	}
	if taken, err := m.Snapshot(2, 2, runSource([]Run{run(3, 1)})); !taken || err != nil {
		t.Fatal(taken, err)
	}
	if h, _, _ := m.View().Lookup(0, 5); h.Shard != 3 || m.View().Watermark != 2 {
		t.Errorf("after the new term's snapshot: %v at version %d", h, m.View().Watermark)
	}
	if h, _, _ := v.Lookup(0, 5); h.Shard != 1 {
		t.Errorf("a view taken before the snapshot has %v", h)
	}
}

// TestEviction checks that a map at its maximum evicts runs that were not read recently. Evicted extents must
// be unknown and never have a wrong location.
func TestEviction(t *testing.T) {
	const maxRuns, runs = 1024, 20_000
	m := mustNew(t, maxRuns)
	if _, err := m.Snapshot(1, 0, runSource(nil)); err != nil {
		t.Fatal(err)
	}
	found := 0
	for i := range runs {
		d := Delta{Term: 1, Version: uint64(i + 1), Runs: []Run{{Range{"v", uint64(i) * 2, uint64(i)*2 + 1}, Location{Shard: int32(i % 97)}, 0}}}
		if _, err := m.Apply(d); err != nil {
			t.Fatal(err)
		}
		if _, _, ok := m.View().Lookup(0, 0); ok {
			found++
		}
		if m.View().Len() > maxRuns {
			t.Fatalf("%d runs", m.View().Len())
		}
	}
	if err := checkTree(m.View()); err != nil {
		t.Error(err)
	}
	known := 0
	for i := range runs {
		h, _, ok := m.View().Lookup(0, uint64(i)*2)
		if ok && h.Shard != int32(i%97) {
			t.Fatalf("extent %d: %v", i*2, h)
		}
		if ok {
			known++
		}
	}
	if found < runs || known < maxRuns/2 || m.Evicted() != uint64(runs-m.View().Len()) {
		t.Errorf("a run read after each change was known %d times of %d; %d known, %d evicted", found, runs, known, m.Evicted())
	}
}

// TestPendingLimit checks that the number of changes kept behind a missing one is limited, and that a snapshot
// that contains the missing change applies them.
func TestPendingLimit(t *testing.T) {
	m := mustNew(t, 1000)
	if _, err := m.Snapshot(1, 0, runSource(nil)); err != nil {
		t.Fatal(err)
	}
	d := func(version int) Delta {
		return Delta{Term: 1, Version: uint64(version), Runs: []Run{{Range{"v", uint64(version % 50), uint64(version%50) + 1}, Location{Shard: int32(version % 7)}, 0}}}
	}
	for i := range MaxPending {
		if _, err := m.Apply(d(i + 2)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := m.Apply(d(MaxPending + 2)); !errors.Is(err, ErrTooManyPending) {
		t.Errorf("one change above the limit: %v", err)
	}
	if a, b := m.Missing(); a != 1 || b != 2 {
		t.Errorf("missing %d to %d", a, b)
	}
	if taken, err := m.Snapshot(1, 1, runSource(nil)); !taken || err != nil || m.View().Watermark != MaxPending+1 {
		t.Errorf("%v, %v, watermark %d", taken, err, m.View().Watermark)
	}
}

// uniformRuns returns an iterator over n extents in runs of the given length.
func uniformRuns(n, length int) func() (Run, bool, error) {
	at := 0
	return func() (Run, bool, error) {
		if at >= n {
			return Run{}, false, nil
		}
		r := Run{Range{"v", uint64(at), uint64(at + length)}, Location{Shard: int32(at / length * 7 % 1009)}, 1}
		at += length
		return r, true, nil
	}
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkStructures compares the map with simpler data structures at several sizes, with runs of 64 extents:
// bytes per extent, the time of a lookup, and the time of a change of 1,000 ranges.
func BenchmarkStructures(b *testing.B) {
	const length = 64
	for _, n := range []int{10_000, 1_000_000, 50_000_000} {
		n -= n % length
		before := heapBytes()
		keep := any(nil)
		var lookup func(e uint64) Location
		change := func(i int) {}
		measure := func(name string) {
			perExtent := float64(heapBytes()-before) / float64(n)
			rng := rand.New(rand.NewSource(1))
			b.Run(fmt.Sprintf("%s/%d/lookup", name, n), func(b *testing.B) {
				for b.Loop() {
					lookup(uint64(rng.Intn(n)))
				}
				b.ReportMetric(perExtent, "B/extent")
			})
			b.Run(fmt.Sprintf("%s/%d/change", name, n), func(b *testing.B) {
				worst := time.Duration(0)
				for i := 0; b.Loop(); i++ {
					began := time.Now()
					change(i)
					worst = max(worst, time.Since(began))
				}
				b.ReportMetric(float64(worst.Microseconds()), "us-worst")
			})
			runtime.KeepAlive(keep)
		}
		ranges := func(i int) (list []Run) {
			for k := range 1000 {
				e := uint64((i*1000+k)*6151%(n/length)) * length
				list = append(list, Run{Range{"v", e, e + length}, Location{Shard: int32(k % 13)}, 0})
			}
			return list
		}

		m := mustNew(b, 1<<30)
		if _, err := m.Snapshot(1, 1, uniformRuns(n, length)); err != nil {
			b.Fatal(err)
		}
		keep, lookup = m, func(e uint64) Location { h, _, _ := m.View().Lookup(0, e); return h }
		change = func(i int) {
			if _, err := m.Apply(Delta{1, m.View().Watermark + 1, ranges(i)}); err != nil {
				b.Fatal(err)
			}
		}
		measure("map")
		keep, m = nil, nil

		before = heapBytes()
		var sorted []run
		next := uniformRuns(n, length)
		for r, ok, _ := next(); ok; r, ok, _ = next() {
			sorted = append(sorted, run{r.From, 0, uint32(r.To - r.From), r.Location, 1})
		}
		find := func(e uint64) int {
			i, ok := slices.BinarySearchFunc(sorted, e, func(r run, e uint64) int {
				if r.start > e {
					return 1
				} else if r.start < e {
					return -1
				}
				return 0
			})
			if !ok {
				i--
			}
			return i
		}
		lookup = func(e uint64) Location { return sorted[find(e)].home }
		change = func(i int) { // copies the slice, so that readers need no lock
			c := slices.Clone(sorted)
			for _, r := range ranges(i) {
				c[find(r.From)].home = r.Location
			}
			sorted = c
		}
		measure("sorted slice")
		sorted = nil

		before = heapBytes()
		tree := btree.NewG(32, func(a, b run) bool { return a.start < b.start })
		next = uniformRuns(n, length)
		for r, ok, _ := next(); ok; r, ok, _ = next() {
			tree.ReplaceOrInsert(run{r.From, 0, uint32(r.To - r.From), r.Location, 1})
		}
		keep = tree
		lookup = func(e uint64) (h Location) {
			tree.DescendLessOrEqual(run{start: e}, func(r run) bool { h = r.home; return false })
			return h
		}
		change = func(i int) {
			c := tree.Clone()
			for _, r := range ranges(i) {
				c.ReplaceOrInsert(run{r.From, 0, length, r.Location, 2})
			}
			tree = c
		}
		measure("btree")
		keep, tree = nil, nil

		if n > 1_000_000 {
			continue // a Go map of 50 million entries takes about 2 GiB
		}
		before = heapBytes()
		plain := map[uint64]Location{}
		next = uniformRuns(n, length)
		for r, ok, _ := next(); ok; r, ok, _ = next() {
			for e := r.From; e < r.To; e++ {
				plain[e] = r.Location
			}
		}
		keep, lookup = plain, func(e uint64) Location { return plain[e] }
		change = func(i int) {
			for _, r := range ranges(i) {
				for e := r.From; e < r.To; e++ {
					plain[e] = r.Location
				}
			}
		}
		measure("map of extents")
		keep, plain = nil, nil
	}
}
