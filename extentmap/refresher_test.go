package extentmap

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// newTestRefresher returns a refresher, and a map with extents 0 to 10,000 of volume v on shard 1 as of version 5.
func newTestRefresher(t *testing.T, change func(*RefreshSettings)) (*Refresher, *Map) {
	t.Helper()
	set := DefaultRefresh
	if change != nil {
		change(&set)
	}
	b, err := NewRefresher(set, 0)
	if err != nil {
		t.Fatal(err)
	}
	m := mustNew(t, 10_000)
	if _, err := m.Snapshot(1, 5, runSource([]Run{{Range{"v", 0, 10_000}, Location{Shard: 1}, 5}})); err != nil {
		t.Fatal(err)
	}
	return b, m
}

// TestOneRefreshForAllRequests checks that a thousand requests for a range that has moved cause one refresh,
// and that all use its answer.
func TestOneRefreshForAllRequests(t *testing.T) {
	b, m := newTestRefresher(t, nil)
	if v := b.Decide(m.View(), "v", 7, time.Second, 0); v.Action != Use || v.Shard != 1 || v.Version != 5 {
		t.Fatalf("known extent: %+v", v)
	}
	if newer, err := b.Moved(m.View(), "v", 7, MovedAnswer{Version: 6}, 0); !newer || err != nil {
		t.Fatal(newer, err)
	}
	asked := 0
	for i := range 1000 {
		if v := b.Decide(m.View(), "v", uint64(i), time.Second, time.Duration(i)*time.Microsecond); v.Action != Wait {
			t.Fatalf("request %d: %+v", i, v)
		}
		asked += len(b.Due(time.Duration(i) * time.Microsecond))
	}
	if asked != 1 {
		t.Errorf("%d refreshes", asked)
	}
	in := b.Range("v", 7)
	if err := m.Fetched(in, 1, 6, []Run{{in, Location{Shard: 2}, 6}}); err != nil {
		t.Fatal(err)
	}
	b.Answered(in, true, 3*ms)
	for i := range 1000 {
		if v := b.Decide(m.View(), "v", uint64(i), time.Second, 3*ms); v.Action != Use || v.Shard != 2 || v.Version != 6 {
			t.Fatalf("request %d: %+v", i, v)
		}
	}
	b.Sweep(time.Minute)
	if b.Len() != 0 {
		t.Errorf("%d groups are left", b.Len())
	}
}

// TestHintsWithoutAuthority checks that, while the authority does not answer, locations reported by nodes are
// used for HintDuration. Extents that nodes reported as moved without a location must be refused, with a retry
// time that covers the interval between refreshes.
func TestHintsWithoutAuthority(t *testing.T) {
	b, m := newTestRefresher(t, func(s *RefreshSettings) { s.HintDuration = 30 * time.Second })
	for _, w := range []struct {
		extent uint64
		MovedAnswer
	}{{3, MovedAnswer{Version: 8, Location: Location{Shard: 4}, Known: true}}, {5000, MovedAnswer{Version: 8}}} {
		if newer, err := b.Moved(m.View(), "v", w.extent, w.MovedAnswer, 0); !newer || err != nil {
			t.Fatal(newer, err)
		}
	}
	asked, last, gap := 0, time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 29*time.Second; now += 10 * ms {
		for _, r := range b.Due(now) {
			if now > last { // both groups may be due at the same time
				gap, last = now-last, now
			}
			asked++
			b.Answered(r, false, now)
		}
		if v := b.Decide(m.View(), "v", 3, time.Second, now); v.Action != Use || v.Shard != 4 || v.Version != 8 {
			t.Fatalf("at %v, extent with a hint: %+v", now, v)
		}
		if v := b.Decide(m.View(), "v", 5000, 20*ms, now); v.Action != Refuse || v.RetryAfter < 20*ms || v.RetryAfter > DefaultRefresh.MaxRetryInterval+time.Second {
			t.Fatalf("at %v, stale extent without a hint: %+v", now, v)
		}
	}
	if asked > 60 || gap < 4*time.Second {
		t.Errorf("%d refreshes in 29 s, the last two %v apart", asked, gap)
	}
	if v := b.Decide(m.View(), "v", 3, 20*ms, 31*time.Second); v.Action != Refuse {
		t.Errorf("after the hint expired: %+v", v)
	}
}

// TestMovedAnswers checks that an answer older than the map changes nothing, that the map replaces a hint once
// it is as recent, and that repeated answers that contradict a completed refresh lengthen the interval between
// refreshes.
func TestMovedAnswers(t *testing.T) {
	b, m := newTestRefresher(t, nil)
	if newer, _ := b.Moved(m.View(), "v", 3, MovedAnswer{Version: 4, Location: Location{Shard: 9}, Known: true}, 0); newer || b.Counts().Outdated != 1 {
		t.Errorf("an answer older than the map is recorded")
	}
	if newer, _ := b.Moved(m.View(), "v", 3, MovedAnswer{Version: 6, Location: Location{Shard: 9}, Known: true}, 0); !newer {
		t.Error("an answer newer than the map is not recorded")
	}
	if _, err := m.Apply(Delta{Term: 1, Version: 6, Runs: []Run{{Range{"v", 0, 10}, Location{Shard: 2}, 0}}}); err != nil {
		t.Fatal(err)
	}
	if v := b.Decide(m.View(), "v", 3, time.Second, 0); v.Action != Use || v.Shard != 2 {
		t.Errorf("with the map as recent as the hint: %+v", v)
	}
	now := time.Duration(0)
	var gaps []time.Duration
	for len(gaps) < 6 {
		due := b.Due(now)
		if len(due) == 0 {
			now += ms
			continue
		}
		if err := m.Fetched(due[0], 1, 6, []Run{{due[0], Location{Shard: 2}, 6}}); err != nil {
			t.Fatal(err)
		}
		b.Answered(due[0], true, now)
		gaps = append(gaps, now)
		if newer, err := b.Moved(m.View(), "v", 3, MovedAnswer{Version: 6, Location: Location{Shard: 1}, Known: true}, now); newer || err != nil {
			t.Fatal(newer, err)
		}
	}
	if gaps[5]-gaps[4] < 4*(gaps[2]-gaps[1]) || b.Counts().Disputed != 6 {
		t.Errorf("refreshes at %v, %d disputes", gaps, b.Counts().Disputed)
	}
}

// TestNoSuchExtent checks that an extent that the authority does not have counts as absent for AbsenceDuration,
// and is refreshed again afterwards.
func TestNoSuchExtent(t *testing.T) {
	b, m := newTestRefresher(t, nil)
	if v := b.Decide(m.View(), "w", 1, time.Second, 0); v.Action != Wait {
		t.Fatalf("unknown volume: %+v", v)
	}
	for _, r := range b.Due(0) {
		if err := m.Fetched(r, 1, 5, nil); err != nil {
			t.Fatal(err)
		}
		b.Answered(r, true, ms)
	}
	if v := b.Decide(m.View(), "w", 2, time.Second, 2*ms); v.Action != Absent {
		t.Errorf("right after: %+v", v)
	}
	if v := b.Decide(m.View(), "w", 2, time.Second, 2*time.Second); v.Action != Wait || len(b.Due(2*time.Second)) != 1 {
		t.Errorf("2 s later: %+v", v)
	}
}

// TestRefresherLimits checks that with MaxGroups groups further ones are refused with a reason, that known
// extents are still served, and that at most MaxInFlight refreshes run.
func TestRefresherLimits(t *testing.T) {
	b, m := newTestRefresher(t, func(s *RefreshSettings) { s.Group, s.MaxGroups, s.MaxInFlight = 1, 20, 4 })
	for i := range 20 {
		if v := b.Decide(m.View(), "w", uint64(i), time.Second, 0); v.Action != Wait {
			t.Fatalf("unknown extent %d: %+v", i, v)
		}
	}
	if v := b.Decide(m.View(), "w", 99, time.Second, 0); v.Action != Refuse || !strings.Contains(v.Why, "20 parts of the map") {
		t.Errorf("above the maximum of groups: %+v", v)
	}
	if _, err := b.Moved(m.View(), "v", 1, MovedAnswer{Version: 9}, 0); err == nil {
		t.Error("a moved answer above the maximum of groups is recorded")
	}
	if v := b.Decide(m.View(), "v", 1, time.Second, 0); v.Action != Use {
		t.Errorf("known extent: %+v", v)
	}
	if due := b.Due(0); len(due) != 4 || len(b.Due(0)) != 0 {
		t.Errorf("refreshes in flight: %v", due)
	}
}

// TestRefresherProperties checks that under random events at most MaxInFlight refreshes run, at most one per
// group, and that each waiting request has a refresh in flight or scheduled. A refused request must get a retry
// time of at least its patience, unless the maximum of groups is reached.
func TestRefresherProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultRefresh
		set.Group, set.MaxInFlight, set.MaxGroups = 4, rapid.IntRange(1, 3).Draw(t, "in flight"), rapid.IntRange(3, 8).Draw(t, "groups")
		b, err := NewRefresher(set, 0)
		if err != nil {
			t.Fatal(err)
		}
		m := mustNew(t, 1000)
		if _, err := m.Snapshot(1, 1, runSource([]Run{{Range{"v", 0, 20}, Location{Shard: 1}, 1}})); err != nil {
			t.Fatal(err)
		}
		now, version := time.Duration(0), uint64(1)
		inFlight := map[Range]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
			e := uint64(rapid.IntRange(0, 39).Draw(t, "extent"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				patience := time.Duration(rapid.IntRange(1, 500).Draw(t, "patience")) * ms
				switch v := b.Decide(m.View(), "v", e, patience, now); v.Action {
				case Refuse:
					if v.RetryAfter < patience && b.Len() < set.MaxGroups || v.Why == "" {
						t.Fatalf("patience %v: %+v", patience, v)
					}
				case Wait:
					if at, ok := b.Next(); !inFlight[b.Range("v", e)] && (!ok || at > now+set.MaxRetryInterval) {
						t.Fatalf("a request waits for %v, which has no refresh in flight or scheduled", b.Range("v", e))
					}
				}
			case 2:
				version += uint64(rapid.IntRange(0, 1).Draw(t, "later"))
				_, _ = b.Moved(m.View(), "v", e, MovedAnswer{Version: version, Location: Location{Shard: 3}, Known: rapid.Bool().Draw(t, "known")}, now)
			case 3:
				for _, r := range b.Due(now) {
					if inFlight[r] {
						t.Fatalf("two refreshes of %v are in flight", r)
					}
					inFlight[r] = true
				}
				if len(inFlight) > set.MaxInFlight {
					t.Fatalf("%d refreshes in flight", len(inFlight))
				}
			case 4:
				for i := uint64(0); i < 40; i += 4 { // the first range with a refresh in flight
					if r := (Range{"v", i, i + 4}); inFlight[r] {
						succeeded := rapid.Bool().Draw(t, "succeeded")
						if succeeded {
							if err := m.Fetched(r, 1, version, nil); err != nil {
								t.Fatal(err)
							}
						}
						b.Answered(r, succeeded, now)
						delete(inFlight, r)
						break
					}
				}
				b.Sweep(now)
			}
			if b.Len() > set.MaxGroups {
				t.Fatalf("%d groups", b.Len())
			}
		}
	})
}
