package placement

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// TestMarks checks that a shard keeps its state between the marks, and that a shard that had no room gets no new
// extents for the hold time, whatever it reports.
func TestMarks(t *testing.T) {
	f, err := NewFill(DefaultMarks)
	if err != nil {
		t.Fatal(err)
	}
	for i, test := range []struct {
		at    time.Duration
		used  int64 // of 1000; -1: no room
		takes bool
	}{
		{1 * second, 940, true}, {2 * second, 950, false}, {3 * second, 920, false}, {4 * second, 900, false}, {5 * second, 899, true}, {6 * second, 940, true},
		{7 * second, -1, false}, {8 * second, 100, false}, {16 * second, 100, false}, {17 * second, 100, true}, {18 * second, 1000, false},
	} {
		before := f.AcceptsExtents(3)
		var changed bool
		if test.used < 0 {
			changed = f.NoRoom(3, test.at)
		} else {
			changed = f.Report(3, test.used, 1000, test.at)
		}
		if f.AcceptsExtents(3) != test.takes {
			t.Errorf("step %d: accepts extents: %v", i, f.AcceptsExtents(3))
		}
		if f.AcceptsExtents(3) != before && !changed {
			t.Errorf("step %d: acceptance changed, but no change was returned", i)
		}
	}
	if !f.AcceptsExtents(4) || f.Headroom(4) != 1 || f.Headroom(3) != 0 {
		t.Error("expected an unknown shard to accept extents and be empty, and a full one to have no headroom")
	}
	if e := f.NoRoomError([]int{3}); e.Full != 1 || e.Used != 1000 || !strings.Contains(e.Error(), "1 are full") {
		t.Errorf("%v", e)
	}
	for _, m := range []Marks{{0.9, 0.95, 0}, {1.1, 0.9, 0}, {}} {
		if _, err := NewFill(m); err == nil || !strings.Contains(err.Error(), "low =") {
			t.Errorf("%+v: %v", m, err)
		}
	}
}

// TestReportsDue checks that a shard that accepts no extents is asked for a report every two seconds, others only
// after half a minute without a report, and that Retain removes shards.
func TestReportsDue(t *testing.T) {
	f, _ := NewFill(DefaultMarks)
	f.Report(1, 99, 100, 100*second)
	f.Report(2, 1, 100, 100*second)
	asked := map[int]int{}
	for now := 100 * second; now < 130*second; now += second / 2 {
		for _, shard := range f.ReportsDue([]int{1, 2, 3}, now) {
			asked[shard]++
		}
	}
	if asked[1] < 14 || asked[1] > 15 || asked[2] != 0 || asked[3] != 1 {
		t.Errorf("asked %v", asked)
	}
	f.Retain(func(shard int) bool { return shard == 2 })
	if l := f.Levels(130 * second); len(l) != 1 || l[0].Shard != 2 || l[0].Age != 30*second {
		t.Errorf("%+v", l)
	}
}

// TestFillMatchesModel compares a Fill with a model that keeps only the last state of each shard, for any sequence
// of reports, and checks that ReportsDue does not return a shard twice within FullShardReportInterval.
func TestFillMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, _ := NewFill(Marks{High: 0.8, Low: 0.5, Hold: 10 * second})
		pastMark, full, now := map[int]bool{}, map[int]time.Duration{}, second
		askedAt := map[int]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			shard := rapid.IntRange(0, 3).Draw(t, "shard")
			switch used := rapid.IntRange(-1, 12).Draw(t, "used"); {
			case used < 0:
				f.NoRoom(shard, now)
				full[shard] = now
			default:
				f.Report(shard, int64(used), 10, now)
				if at, ok := full[shard]; ok && now >= at+10*second {
					delete(full, shard)
				}
				pastMark[shard] = used >= 8 || pastMark[shard] && used >= 5
			}
			for _, x := range f.ReportsDue([]int{0, 1, 2, 3}, now) {
				if at, ok := askedAt[x]; ok && now < at+FullShardReportInterval {
					t.Fatalf("shard %d asked at %v and %v", x, at, now)
				}
				askedAt[x] = now
			}
			for x := range 4 {
				if _, isFull := full[x]; f.AcceptsExtents(x) == (pastMark[x] || isFull) {
					t.Fatalf("shard %d: accepts extents %v, past the high mark %v, full %v", x, f.AcceptsExtents(x), pastMark[x], isFull)
				}
			}
		}
	})
}

// TestQuota checks that reserved and used bytes together never exceed the quota, that a version that is no larger
// always fits, and that released bytes can be reserved again.
func TestQuota(t *testing.T) {
	q := &Quota{MaxBytes: 100}
	take := func(used, old, size int64, want bool) {
		t.Helper()
		err := q.Reserve("v", used, old, size)
		if want != (err == nil) || err != nil && !errors.As(err, new(*QuotaError)) {
			t.Errorf("used %d, %d to %d: %v", used, old, size, err)
		}
	}
	take(40, 0, 60, true)
	take(40, 0, 1, false)
	take(40, 30, 30, true)
	q.Release(0, 60)
	take(100, 0, 1, false)
	take(150, 100, 20, true) // usage exceeds a lowered quota: a smaller version still fits
	take(0, 0, 1<<62, false)
	take(0, 0, 101, false)
	take(0, 0, 100, true)
	if err := q.Reserve("v", 0, 0, 7); err == nil || !slices.Contains(strings.Fields(err.Error()), "7") {
		t.Errorf("%v", err)
	}
}
