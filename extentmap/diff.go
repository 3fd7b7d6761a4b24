package extentmap

import (
	"iter"
	"math"
	"slices"
)

// Difference is a range for which two views differ.
type Difference struct {
	Range
	Was      Location `json:"was"` // valid if WasKnown; Is is valid if IsKnown
	Is       Location `json:"is"`
	WasKnown bool     `json:"knew"`
	IsKnown  bool     `json:"knows"`
	WasAt    uint64   `json:"was_at"` // version that assigned Was, as IsAt for Is
	IsAt     uint64   `json:"is_at"`
}

// wholeVolume returns the range of all extents of a volume.
func wholeVolume(volume string) Range { return Range{volume, 0, math.MaxUint64} }

// Diff calls fn for each range that has different locations in two views, or is known to only one of them, until
// fn returns false. Volumes come in the order of their names. Different versions alone are no difference. Adjacent
// ranges with the same difference are merged into one.
func Diff(was, is *View, fn func(Difference) bool) {
	names := slices.Concat(was.volumeNames, is.volumeNames)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if !diffVolume(was, is, name, fn) {
			return
		}
	}
}

func diffVolume(was, is *View, name string, fn func(Difference) bool) bool {
	a, stopA := iter.Pull(was.volumeRuns(name))
	defer stopA()
	b, stopB := iter.Pull(is.volumeRuns(name))
	defer stopB()
	x, okX := a()
	y, okY := b()
	var last Difference // not passed to fn yet
	emit := func(d Difference) bool {
		if last.To == d.From && last.From < last.To && last.WasKnown == d.WasKnown && last.IsKnown == d.IsKnown && last.Was == d.Was && last.Is == d.Is {
			last.To = d.To
			last.WasAt, last.IsAt = max(last.WasAt, d.WasAt), max(last.IsAt, d.IsAt)
			return true
		}
		done := last
		last = d
		return done.From == done.To || fn(done)
	}
	at := uint64(0)
	for okX || okY {
		d := Difference{Range: Range{name, at, math.MaxUint64}}
		if okX {
			d.clip(&x, &d.WasKnown, &d.Was, &d.WasAt)
		}
		if okY {
			d.clip(&y, &d.IsKnown, &d.Is, &d.IsAt)
		}
		if (d.WasKnown || d.IsKnown) && (d.WasKnown != d.IsKnown || d.Was != d.Is) && !emit(d) {
			return false
		}
		at = d.To
		if okX && x.To <= at {
			x, okX = a()
		}
		if okY && y.To <= at {
			y, okY = b()
		}
	}
	return last.From == last.To || fn(last)
}

// clip ends the range at the next start or end of a run, and records the run's location if the run covers the
// range.
func (d *Difference) clip(r *Run, knows *bool, home *Location, at *uint64) {
	if r.From > d.From {
		d.To = min(d.To, r.From)
		return
	}
	d.To = min(d.To, r.To)
	*knows, *home, *at = true, r.Location, r.Version
}

func (v *View) volumeRuns(name string) iter.Seq[Run] {
	return func(yield func(Run) bool) { v.Runs(wholeVolume(name), yield) }
}

// Volumes returns the names of the volumes, sorted.
func (v *View) Volumes() []string { return slices.Sorted(slices.Values(v.volumeNames)) }

// SumByLocation returns the number of runs and extents by location.
func (v *View) SumByLocation() map[Location]Sum {
	sums := map[Location]Sum{}
	v.All(func(r Run) bool {
		s := sums[r.Location]
		sums[r.Location] = Sum{s.Runs + 1, s.Extents + r.To - r.From}
		return true
	})
	return sums
}

// Sum is the number of runs and extents at a location.
type Sum struct {
	Runs    uint64 `json:"runs"`
	Extents uint64 `json:"extents"`
}
