package extentmap

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDiff checks that the differences reported are exactly those of comparing two maps extent by extent, and
// that adjacent ranges with the same difference are merged.
func TestDiff(t *testing.T) {
	const space = 60
	rapid.Check(t, func(t *rapid.T) {
		random := func() *View {
			m := mustNew(t, 1000)
			if _, err := m.Snapshot(1, 0, runSource(nil)); err != nil {
				t.Fatal(err)
			}
			for n := range rapid.IntRange(0, 12).Draw(t, "changes") {
				a := rapid.IntRange(0, space-1).Draw(t, "from")
				r := Run{Range{fmt.Sprint("v", rapid.IntRange(0, 1).Draw(t, "volume")), uint64(a), uint64(rapid.IntRange(a+1, space).Draw(t, "to"))},
					Location{Shard: int32(rapid.IntRange(0, 2).Draw(t, "shard"))}, 0}
				if _, err := m.Apply(Delta{1, uint64(n + 1), []Run{r}}); err != nil {
					t.Fatal(err)
				}
			}
			return m.View()
		}
		a, b := random(), random()
		differ := map[string]bool{}
		var last Difference
		Diff(a, b, func(d Difference) bool {
			if d.Volume == last.Volume && (d.From < last.To || d.From == last.To && d.Was == last.Was && d.Is == last.Is && d.WasKnown == last.WasKnown && d.IsKnown == last.IsKnown) {
				t.Fatalf("%+v after %+v", d, last)
			}
			last = d
			for e := d.From; e < d.To; e++ {
				differ[fmt.Sprint(d.Volume, " ", e)] = true
			}
			return true
		})
		for _, name := range []string{"v0", "v1"} {
			for e := uint64(0); e < space; e++ {
				at := func(v *View) (h Location, ok bool) {
					if vol, there := v.Volume(name); there {
						h, _, ok = v.Lookup(vol, e)
					}
					return h, ok
				}
				x, okX := at(a)
				y, okY := at(b)
				if want := okX != okY || x != y; want != differ[fmt.Sprint(name, " ", e)] {
					t.Fatalf("%s %d: %v %v, %v %v, reported as different: %v", name, e, x, okX, y, okY, !want)
				}
			}
		}
	})
}
