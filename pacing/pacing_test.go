package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func TestRefusalDelaysAndMarksRetry(t *testing.T) {
	tr := New(Default, 10*second, 0, 1) // an extent may take 6 s
	x := tr.Begin(0, 3, 1000, second)
	try, ok := tr.Ask(x, 0)
	if !ok || try.Retry || try.Expires != second {
		t.Fatalf("first try: %+v %v", try, ok)
	}
	next := tr.Ended(x, 100*ms, Refused, 2*second)
	if next.What != Again || next.At < 2100*ms || next.At > 4100*ms {
		t.Fatalf("after a refusal: %+v", next)
	}
	if try, ok = tr.Ask(x, next.At); !ok || !try.Retry {
		t.Fatalf("second try: %+v %v", try, ok)
	}
	if next = tr.Ended(x, next.At+100*ms, Refused, 5*second); next.What != GiveUp || next.Back != 5*second {
		t.Fatalf("a retry-after beyond the client's timeout: %+v", next)
	}
}

func TestShortRetryAfterIsExtended(t *testing.T) {
	tr := New(Default, 0, 0, 1) // an extent may take 8 s
	x := tr.Begin(0, 0, 1, second)
	at, waits := time.Duration(0), []time.Duration(nil)
	for {
		if _, ok := tr.Ask(x, at); !ok {
			t.Fatal("no try is left, but the extent was not given up")
		}
		next := tr.Ended(x, at, Refused, ms)
		if next.What == GiveUp {
			break
		}
		waits = append(waits, next.At-at)
		at = next.At
	}
	if len(waits) != 3 || x.Tries() != 4 {
		t.Fatalf("waits %v, tries %d", waits, x.Tries())
	}
	for i, w := range waits {
		if least := 250 * ms << i; w < least || w > 2*least {
			t.Errorf("wait %d is %v, want %v to twice that", i, w, least)
		}
	}
}

// TestRetriesOfTransfersAreSpread checks that a thousand transfers that are refused at the same moment spread their
// second tries over at least a quarter of a second.
func TestRetriesOfTransfersAreSpread(t *testing.T) {
	const bin = 25 * ms
	bins := map[time.Duration]int{}
	for i := range 1000 {
		tr := New(Default, 0, 0, uint64(i))
		x := tr.Begin(0, 0, 1, second)
		tr.Ask(x, 0)
		bins[tr.Ended(x, 0, Refused, ms).At/bin]++
	}
	for at, n := range bins {
		if n > 200 {
			t.Errorf("%d of 1000 retry within %v of %v", n, bin, at*bin)
		}
	}
	a, b := New(Default, 0, 0, 7), New(Default, 0, 0, 7)
	x, y := a.Begin(0, 0, 1, second), b.Begin(0, 0, 1, second)
	a.Ask(x, 0)
	b.Ask(y, 0)
	if a.Ended(x, 0, Refused, ms) != b.Ended(y, 0, Refused, ms) {
		t.Error("equal seeds give different pauses")
	}
}

func TestFailedShardGetsOneTry(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	giveUp := func(shard int, at time.Duration) int {
		x := tr.Begin(at, shard, 1, second)
		for {
			tr.Ask(x, at)
			if next := tr.Ended(x, at, Failed, 0); next.What == GiveUp {
				return x.Tries()
			} else {
				at = next.At
			}
		}
	}
	if n := giveUp(1, 0); n != 4 {
		t.Errorf("first extent: %d tries", n)
	}
	if n := giveUp(1, 4*second); n != 1 {
		t.Errorf("second of the shard: %d tries", n)
	}
	if n := giveUp(2, 4*second); n != 4 {
		t.Errorf("another shard: %d tries", n)
	}
	x := tr.Begin(4*second, 1, 1, second)
	tr.Ask(x, 4*second)
	tr.Ended(x, 4*second, Served, 0)
	if n := giveUp(1, 5*second); n != 4 {
		t.Errorf("after one was served: %d tries", n)
	}
}

func TestWindowGrowsAndHalvesOnce(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	extents := []*Extent{}
	for now := time.Duration(0); tr.Window() < 8 && now < second; now += ms {
		for ok, _ := tr.Room(now); ok; ok, _ = tr.Room(now) {
			x := tr.Begin(now, 0, 1, second)
			tr.Ask(x, now)
			extents = append(extents, x)
		}
		tr.Ended(extents[0], now, Served, 0)
		extents = extents[1:]
	}
	if tr.Window() != 8 {
		t.Fatalf("window %d", tr.Window())
	}
	for _, x := range extents {
		tr.Ended(x, second, Failed, 0)
	}
	if tr.Window() != 4 {
		t.Errorf("window %d after %d failures at once", tr.Window(), len(extents))
	}
}

func TestRateLimit(t *testing.T) {
	tr := New(Default, 0, 1000, 1)
	sum, now := 0, time.Duration(0)
	for now < 10*second {
		ok, at := tr.Room(now)
		if !ok {
			now = at
			continue
		}
		x := tr.Begin(now, 0, 250, second)
		tr.Ask(x, now)
		tr.Ended(x, now, Served, 0)
		sum += 250
	}
	if sum < 9500 || sum > 10500 {
		t.Errorf("%d bytes in 10 s at 1000 a second", sum)
	}
}

func TestTransferEndsAfterFilesLeftOutInARow(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	for i := range Default.LeaveOut - 1 {
		if tr.File(false) {
			t.Fatalf("ends after %d", i+1)
		}
	}
	tr.File(true)
	for range Default.LeaveOut - 1 {
		if tr.File(false) {
			t.Fatal("a served file does not reset the count")
		}
	}
	if !tr.File(false) {
		t.Error("does not end")
	}
}

// TestTriesStayWithinClientTimeout checks that, for any sequence of results, an extent gets at most four tries, no try
// outlasts the extent's part of the client's timeout, and the number of tries in flight stays correct.
func TestTriesStayWithinClientTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(0, 60).Draw(t, "timeout")) * second
		tr := New(Default, timeout, 0, 1)
		limit := Default.Patience
		if timeout > 0 {
			limit = min(limit, time.Duration(Default.TimeoutPart*float64(timeout)))
		}
		now := time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "begin"))
		begin := now
		x := tr.Begin(now, 0, 1, time.Duration(rapid.IntRange(20, 5000).Draw(t, "deadline"))*ms)
		tries := 0
		for {
			try, ok := tr.Ask(x, now)
			if !ok {
				break
			}
			tries++
			if now+try.Expires > begin+limit || try.Expires < Default.Least || try.Retry != (tries > 1) || tries > 4 {
				t.Fatalf("try %d at %v of %v: %+v", tries, now-begin, limit, try)
			}
			now += time.Duration(rapid.Int64Range(0, int64(try.Expires)).Draw(t, "took"))
			retryAfter := time.Duration(rapid.Int64Range(0, int64(3*second)).Draw(t, "hint"))
			kind := Kind(rapid.IntRange(0, 2).Draw(t, "kind"))
			next := tr.Ended(x, now, kind, retryAfter)
			if next.What != Again {
				break
			}
			if kind == Refused && next.At < now+retryAfter {
				t.Fatalf("retries %v after a refusal with a retry-after of %v", next.At-now, retryAfter)
			}
			now = next.At
		}
		if tr.inFlight != 0 || tr.Window() < 1 || tr.Window() > Default.WindowTop {
			t.Fatalf("%d in flight, window %d", tr.inFlight, tr.Window())
		}
	})
}

func TestBudgetReservesRoomForFirstExtents(t *testing.T) {
	b := Budget{Limit: 100, Reserve: 0.25}
	if !b.Take(75, 50) || b.Take(1, 50) || !b.Take(25, 0) || b.Take(1, 0) {
		t.Errorf("used %d", b.Used())
	}
	b.Give(100)
	if b.Used() != 0 || !b.Take(1, 1) {
		t.Errorf("used %d", b.Used())
	}
}
