package mapfeed_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderhold/extentmap"
	"eiderhold/internal/mapfeed"
	"eiderhold/internal/mapfile"
	"eiderhold/internal/standin"
)

// testSite is an authority and its feeds.
type testSite struct {
	*testing.T
	authority *standin.Authority
	cacheFile string
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	a, err := standin.StartAuthority()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return &testSite{t, a, filepath.Join(t.TempDir(), "map")}
}

// startFeed starts a feed; the returned function stops it and waits for its end.
func (s *testSite) startFeed(change func(*mapfeed.Settings)) (*mapfeed.Feed, func()) {
	s.Helper()
	set := mapfeed.Default
	set.URL, set.Gateway, set.MinRetryInterval, set.MaxRetryInterval, set.GapTimeout, set.Refresh.Group = s.authority.URL(), "gateway-1", 5*time.Millisecond, 50*time.Millisecond, 20*time.Millisecond, 64
	if change != nil {
		change(&set)
	}
	f, err := mapfeed.New(set, slog.New(slog.DiscardHandler))
	if err != nil {
		s.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	s.Cleanup(stop)
	return f, stop
}

func (s *testSite) waitUntil(what string, ok func() bool) {
	s.Helper()
	for limit := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			s.Fatalf("not within 30 s: %s", what)
		}
	}
}

func newRun(volume string, from, to uint64, shard int32) extentmap.Run {
	return extentmap.Run{Range: extentmap.Range{Volume: volume, From: from, To: to}, Location: extentmap.Location{Shard: shard}}
}

// checkEqual fails if a feed's map differs from the authority's in the first extents of a volume.
func (s *testSite) checkEqual(f *mapfeed.Feed, volume string, extents uint64) {
	s.Helper()
	v := f.View()
	vol, _ := v.Volume(volume)
	for e := range extents {
		want, there := s.authority.Location(volume, e)
		got, _, ok := v.Lookup(vol, e)
		if ok && got.Shard == extentmap.NoShard {
			ok = false
		}
		if ok != there || got != want && ok {
			s.Fatalf("%s %d: %v, %v; the authority has %v, %v", volume, e, got, ok, want, there)
		}
	}
}

// TestFeedWithFaults checks that a feed's map equals the authority's after changes that arrive out of order,
// twice or not at all, after a gateway was too far behind to resume, after the authority was down, and after it
// was restored to an earlier version.
func TestFeedWithFaults(t *testing.T) {
	s := newTestSite(t)
	rng := rand.New(rand.NewSource(1))
	put := func(n int) {
		for range n {
			from := uint64(rng.Intn(400))
			s.authority.Put(newRun("v", from, from+1+uint64(rng.Intn(30)), int32(rng.Intn(5))))
		}
	}
	put(50)
	f, _ := s.startFeed(nil)
	var seen sync.Map
	s.authority.SetScript(func(_ string, version uint64) standin.Delivery {
		if _, again := seen.LoadOrStore(version, true); again {
			return standin.Delivery{} // delivered when the stream is resumed
		}
		switch version % 7 {
		case 0:
			return standin.Delivery{Skip: true}
		case 1:
			return standin.Delivery{Twice: true}
		case 2:
			return standin.Delivery{After: 3}
		}
		return standin.Delivery{}
	})
	current := func() bool { v := f.View(); return v.Synced && int(v.Watermark) == s.authority.Version() }
	for range 10 {
		put(30)
		s.waitUntil("all changes", current)
		s.checkEqual(f, "v", 450)
	}
	if st := f.State(); st.Resumed == 0 || st.Snapshots != 1 {
		t.Errorf("%+v: expected skipped changes to be recovered by resuming the stream, without a further snapshot", st)
	}

	s.authority.SetScript(nil)
	s.authority.SetResumable(5)
	s.authority.SetDown(true)
	s.waitUntil("the stream's end", func() bool { return !f.State().Connected })
	put(50)
	s.authority.SetDown(false)
	s.waitUntil("all changes", current)
	s.checkEqual(f, "v", 450)
	if st := f.State(); st.Snapshots != 2 {
		t.Errorf("%+v: expected a snapshot, as the gateway was too far behind to resume", st)
	}

	old := f.View()
	s.authority.Restore(old.Watermark - 60)
	s.waitUntil("the other term", func() bool { return f.View().Term == 2 })
	put(3)
	s.waitUntil("all changes", current)
	s.checkEqual(f, "v", 450)
	if st := f.State(); st.Terms != 1 || old.Term != 1 {
		t.Errorf("%+v; a view taken before has term %d", st, old.Term)
	}
}

// TestOneRefreshForAllRequests checks that a thousand requests for a range that has moved, before the feed has
// received the change, cause one refresh, and that all get the new location.
func TestOneRefreshForAllRequests(t *testing.T) {
	s := newTestSite(t)
	s.authority.Put(newRun("v", 0, 64, 1))
	f, _ := s.startFeed(func(set *mapfeed.Settings) { set.GapTimeout = time.Hour })
	s.waitUntil("the map", func() bool { return f.View().Watermark == 1 })
	s.authority.SetScript(func(string, uint64) standin.Delivery { return standin.Delivery{Skip: true} })
	s.authority.SetRangeDelay(20 * time.Millisecond)
	moved := s.authority.Put(newRun("v", 0, 64, 2))
	if !f.Moved("v", 5, extentmap.MovedAnswer{Version: moved}) {
		t.Fatal("the node's answer is not newer than the map")
	}
	var wrong, used atomic.Int32
	var ask func(extent uint64)
	ask = func(extent uint64) {
		switch v := f.Decide("v", extent, 10*time.Second, func() { ask(extent) }); {
		case v.Action == extentmap.Wait:
		case v.Action == extentmap.Use && v.Shard == 2 && v.Version == moved:
			used.Add(1)
		default:
			wrong.Add(1)
		}
	}
	for i := range 1000 {
		go ask(uint64(i % 64))
	}
	s.waitUntil("all answers", func() bool { return used.Load()+wrong.Load() == 1000 })
	if wrong.Load() > 0 || s.authority.Requests("range") != 1 {
		t.Errorf("%d requests got another location; %d refreshes", wrong.Load(), s.authority.Requests("range"))
	}
	if st := f.State(); st.Waiting != 0 {
		t.Errorf("requests still wait: %+v", st)
	}
}

// TestAuthorityUnreachable checks that, while the authority is down, known extents and locations reported by
// nodes are used, and requests for unknown extents are refused with a retry time. When the authority is back,
// the ranges must be refreshed.
func TestAuthorityUnreachable(t *testing.T) {
	s := newTestSite(t)
	s.authority.Put(newRun("v", 0, 64, 1), newRun("v", 64, 128, 3))
	f, _ := s.startFeed(nil)
	s.waitUntil("the map", func() bool { return f.View().Watermark == 1 })
	s.authority.SetDown(true)
	s.waitUntil("the stream's end", func() bool { return !f.State().Connected })
	moved := s.authority.Put(newRun("v", 0, 64, 2))
	f.Moved("v", 5, extentmap.MovedAnswer{Version: moved, Location: extentmap.Location{Shard: 2}, Known: true})
	ask := func(extent uint64, patience time.Duration) extentmap.Decision {
		return f.Decide("v", extent, patience, func() {})
	}
	s.waitUntil("some failures", func() bool { return f.State().Failed > 2 })
	if v := ask(5, time.Second); v.Action != extentmap.Use || v.Shard != 2 {
		t.Errorf("extent with a hint: %+v", v)
	}
	if v := ask(70, time.Second); v.Action != extentmap.Use || v.Shard != 3 {
		t.Errorf("known extent: %+v", v)
	}
	if v := ask(6, time.Millisecond); v.Action != extentmap.Refuse || v.RetryAfter < time.Millisecond {
		t.Errorf("stale extent without a hint: %+v", v)
	}
	s.authority.SetDown(false)
	s.waitUntil("the refreshed range", func() bool { v := ask(6, time.Millisecond); return v.Action == extentmap.Use && v.Shard == 2 })
}

// TestStartFromCache checks that a start from the cache needs no snapshot, that if a block of the cache is
// damaged only its extents are fetched, and that without a usable cache a snapshot is fetched.
func TestStartFromCache(t *testing.T) {
	s := newTestSite(t)
	const extents = 60_000
	var runs []extentmap.Run
	for e := uint64(0); e < extents; e++ {
		runs = append(runs, newRun("v", e, e+1, int32(e%11)))
	}
	s.authority.Put(runs...)
	cached := func(set *mapfeed.Settings) { set.CacheFile = s.cacheFile }
	f, stop := s.startFeed(cached)
	s.waitUntil("the map", func() bool { return f.View().Watermark == 1 })
	stop()
	b, err := os.ReadFile(s.cacheFile)
	if err != nil {
		t.Fatal(err)
	}
	s.authority.Put(newRun("v", 7, 9, 50)) // while the feed was stopped
	f, stop = s.startFeed(cached)
	s.waitUntil("the change since", func() bool { return f.View().Watermark == 2 })
	if s.authority.Requests("snapshot") != 1 || f.View().Extents != extents {
		t.Errorf("%d snapshots; %d extents", s.authority.Requests("snapshot"), f.View().Extents)
	}
	stop()
	blocks := (len(b) - mapfile.HeaderBytes) / mapfile.BlockBytes
	if blocks < 3 {
		t.Fatalf("%d blocks", blocks)
	}
	b[mapfile.HeaderBytes+mapfile.BlockBytes+50]++ // in the second block
	if err := os.WriteFile(s.cacheFile, b, 0o644); err != nil {
		t.Fatal(err)
	}
	f, stop = s.startFeed(cached)
	s.waitUntil("the change since", func() bool { return f.View().Watermark == 2 })
	lost := uint64(extents) - f.View().Extents
	if st := f.State(); st.Damaged != 1 || lost == 0 || lost > extents/2 || s.authority.Requests("snapshot") != 1 {
		t.Errorf("%+v: %d extents lost, %d snapshots", st, lost, s.authority.Requests("snapshot"))
	}
	before := s.authority.Requests("range")
	for e := uint64(0); e < extents; e += 500 {
		again := make(chan struct{}, 1)
		v := f.Decide("v", e, 10*time.Second, func() { again <- struct{}{} })
		if v.Action == extentmap.Wait {
			<-again
			v = f.Decide("v", e, 10*time.Second, func() {})
		}
		if want, _ := s.authority.Location("v", e); v.Action != extentmap.Use || v.Location != want {
			t.Fatalf("%d: %+v, want %v", e, v, want)
		}
	}
	if n := s.authority.Requests("range") - before; n == 0 || n > int(lost/500)+2 {
		t.Errorf("%d refreshes for %d lost extents", n, lost)
	}
	stop()
	if err := os.WriteFile(s.cacheFile, []byte("torn"), 0o644); err != nil {
		t.Fatal(err)
	}
	f, _ = s.startFeed(cached)
	s.waitUntil("the map", func() bool { return f.View().Watermark == 2 })
	if s.authority.Requests("snapshot") != 2 {
		t.Errorf("%d snapshots", s.authority.Requests("snapshot"))
	}
}

// TestSnapshotStalls checks that a snapshot that stalls is aborted and requested again, and that no part of it
// is applied.
func TestSnapshotStalls(t *testing.T) {
	s := newTestSite(t)
	s.authority.Put(newRun("v", 0, 64, 1))
	s.authority.StallSnapshots(1)
	f, _ := s.startFeed(func(set *mapfeed.Settings) { set.SilenceTimeout = 1500 * time.Millisecond })
	s.waitUntil("the map", func() bool { return f.View().Watermark == 1 })
	if st := f.State(); s.authority.Requests("snapshot") < 2 || st.Snapshots != 1 || st.Damaged != 0 {
		t.Errorf("%d snapshots requested: %+v", s.authority.Requests("snapshot"), st)
	}
	s.checkEqual(f, "v", 70)
}

// TestInvalidSettings checks that invalid settings are refused.
func TestInvalidSettings(t *testing.T) {
	for i, change := range []func(*mapfeed.Settings){
		func(s *mapfeed.Settings) { s.URL = "nowhere" },
		func(s *mapfeed.Settings) { s.MaxWaiting = 0 },
		func(s *mapfeed.Settings) { s.MaxRuns = 1 },
		func(s *mapfeed.Settings) { s.Refresh.Group = 100 },
		func(s *mapfeed.Settings) { s.GapTimeout = 0 },
	} {
		set := mapfeed.Default
		set.URL = "http://127.0.0.1:1/map"
		change(&set)
		if _, err := mapfeed.New(set, slog.New(slog.DiscardHandler)); err == nil {
			t.Error(fmt.Sprint("invalid settings ", i, " are accepted"))
		}
	}
}

// BenchmarkChangeToUse measures the time from a change at the authority until the last of a number of gateways
// uses it.
func BenchmarkChangeToUse(b *testing.B) {
	for _, gateways := range []int{1, 50, 150} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			a, err := standin.StartAuthority()
			if err != nil {
				b.Fatal(err)
			}
			defer a.Close()
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			var feeds []*mapfeed.Feed
			for i := range gateways {
				set := mapfeed.Default
				set.URL, set.Gateway, set.MaxRuns = a.URL(), fmt.Sprint("gateway-", i), 100_000
				f, err := mapfeed.New(set, slog.New(slog.DiscardHandler))
				if err != nil {
					b.Fatal(err)
				}
				feeds = append(feeds, f)
				wg.Add(1)
				go func() { defer wg.Done(); f.Run(ctx) }()
			}
			use := func(version uint64) {
				for _, f := range feeds {
					for v := f.View(); !v.Synced || v.Watermark < version; v = f.View() {
						time.Sleep(50 * time.Microsecond)
					}
				}
			}
			use(a.Put(newRun("v", 0, 64, 1)))
			for i := 0; b.Loop(); i++ {
				use(a.Put(newRun("v", uint64(i%1000*64), uint64(i%1000*64+64), int32(i%7))))
			}
		})
	}
}

// FuzzChange checks that no data makes the parser panic, and that a map either refuses a parsed change or stays
// valid.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"term":1,"version":1,"runs":[{"volume":"v","from":0,"to":9,"shard":3,"epoch":1}]}`))
	f.Add([]byte(`{"term":1,"version":1,"runs":[{"volume":"","from":9,"to":0,"shard":-3}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := mapfeed.ParseChange(b)
		if err != nil {
			return
		}
		m, err := extentmap.New(1000)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Snapshot(c.Term, 0, func() (extentmap.Run, bool, error) { return extentmap.Run{}, false, nil }); err != nil {
			t.Fatal(err)
		}
		_, _ = m.Apply(extentmap.Delta{Term: c.Term, Version: c.Version, Runs: c.Runs})
		m.View().All(func(r extentmap.Run) bool {
			if r.From >= r.To || r.Volume == "" {
				t.Errorf("%+v is in the map", r)
			}
			return true
		})
	})
}
