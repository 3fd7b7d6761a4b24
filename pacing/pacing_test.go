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
	x := tr.StartExtent(0, 3, 1000, second)
	try, ok := tr.StartTry(x, 0)
	if !ok || try.Retry || try.Expires != second {
		t.Fatalf("first try: %+v %v", try, ok)
	}
	next := tr.TryEnded(x, 100*ms, Refused, 2*second)
	if next.Step != Retry || next.At < 2100*ms || next.At > 4100*ms {
		t.Fatalf("after a refusal: %+v", next)
	}
	if try, ok = tr.StartTry(x, next.At); !ok || !try.Retry {
		t.Fatalf("second try: %+v %v", try, ok)
	}
	if next = tr.TryEnded(x, next.At+100*ms, Refused, 5*second); next.Step != GiveUp || next.RetryAfter != 5*second {
		t.Fatalf("a retry-after beyond the client's timeout: %+v", next)
	}
}

func TestShortRetryAfterIsExtended(t *testing.T) {
	tr := New(Default, 0, 0, 1) // an extent may take 8 s
	x := tr.StartExtent(0, 0, 1, second)
	at, waits := time.Duration(0), []time.Duration(nil)
	for {
		if _, ok := tr.StartTry(x, at); !ok {
			t.Fatal("no try is left, but the extent was not given up")
		}
		next := tr.TryEnded(x, at, Refused, ms)
		if next.Step == GiveUp {
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

// TestPrefetchKeepsItsLastTry guards against giving up an extent for good while its client does not read: a prefetch
// that is refused again and again waits, and has its last try and its whole time when the client needs it.
func TestPrefetchKeepsItsLastTry(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	x := tr.StartExtent(0, 0, 1, second)
	x.Prefetch = true
	at := time.Duration(0)
	for x.Tries() < Default.MaxTries-1 {
		if _, ok := tr.StartTry(x, at); !ok {
			t.Fatalf("no try after %d", x.Tries())
		}
		next := tr.TryEnded(x, at, Refused, ms)
		if last := x.Tries() == Default.MaxTries-1; last != (next.Step == Hold) || !last && next.Step != Retry {
			t.Fatalf("after try %d: %+v", x.Tries(), next)
		}
		at = max(at, next.At)
	}
	if !tr.MayHold(x) {
		t.Fatal("the extent may not wait")
	}
	at += time.Minute
	tr.Needed(x, at)
	if try, ok := tr.StartTry(x, at); !ok || try.Expires != second || !try.Retry {
		t.Fatalf("the last try: %+v %v", try, ok)
	}
	if next := tr.TryEnded(x, at, Refused, ms); next.Step != GiveUp || x.Tries() != Default.MaxTries || tr.MayHold(x) {
		t.Fatalf("after the last try: %+v, %d tries", next, x.Tries())
	}
}

// TestPrefetchOfFailedShard checks that a prefetch from a shard that has just failed is given up after one try, as any
// other extent.
func TestPrefetchOfFailedShard(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	tr.failedShards[7] = time.Minute
	x := tr.StartExtent(0, 7, 1, second)
	x.Prefetch = true
	tr.StartTry(x, 0)
	if next := tr.TryEnded(x, 0, Failed, 0); next.Step != GiveUp {
		t.Fatalf("%+v", next)
	}
}

// TestRetriesOfTransfersAreSpread checks that a thousand transfers that are refused at the same moment spread their
// second tries over at least a quarter of a second.
func TestRetriesOfTransfersAreSpread(t *testing.T) {
	const bin = 25 * ms
	bins := map[time.Duration]int{}
	for i := range 1000 {
		tr := New(Default, 0, 0, uint64(i))
		x := tr.StartExtent(0, 0, 1, second)
		tr.StartTry(x, 0)
		bins[tr.TryEnded(x, 0, Refused, ms).At/bin]++
	}
	for at, n := range bins {
		if n > 200 {
			t.Errorf("%d of 1000 retry within %v of %v", n, bin, at*bin)
		}
	}
	a, b := New(Default, 0, 0, 7), New(Default, 0, 0, 7)
	x, y := a.StartExtent(0, 0, 1, second), b.StartExtent(0, 0, 1, second)
	a.StartTry(x, 0)
	b.StartTry(y, 0)
	if a.TryEnded(x, 0, Refused, ms) != b.TryEnded(y, 0, Refused, ms) {
		t.Error("equal seeds give different pauses")
	}
}

func TestFailedShardGetsOneTry(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	giveUp := func(shard int, at time.Duration) int {
		x := tr.StartExtent(at, shard, 1, second)
		for {
			tr.StartTry(x, at)
			if next := tr.TryEnded(x, at, Failed, 0); next.Step == GiveUp {
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
	x := tr.StartExtent(4*second, 1, 1, second)
	tr.StartTry(x, 4*second)
	tr.TryEnded(x, 4*second, Served, 0)
	if n := giveUp(1, 5*second); n != 4 {
		t.Errorf("after one was served: %d tries", n)
	}
}

func TestWindowGrowsAndHalvesOnce(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	extents := []*Extent{}
	for now := time.Duration(0); tr.Window() < 8 && now < second; now += ms {
		for ok, _ := tr.MayRequest(now); ok; ok, _ = tr.MayRequest(now) {
			x := tr.StartExtent(now, 0, 1, second)
			tr.StartTry(x, now)
			extents = append(extents, x)
		}
		tr.TryEnded(extents[0], now, Served, 0)
		extents = extents[1:]
	}
	if tr.Window() != 8 {
		t.Fatalf("window %d", tr.Window())
	}
	for _, x := range extents {
		tr.TryEnded(x, second, Failed, 0)
	}
	if tr.Window() != 4 {
		t.Errorf("window %d after %d failures at once", tr.Window(), len(extents))
	}
}

func TestRateLimit(t *testing.T) {
	tr := New(Default, 0, 1000, 1)
	sum, now := 0, time.Duration(0)
	for now < 10*second {
		ok, at := tr.MayRequest(now)
		if !ok {
			now = at
			continue
		}
		x := tr.StartExtent(now, 0, 250, second)
		tr.StartTry(x, now)
		tr.TryEnded(x, now, Served, 0)
		sum += 250
	}
	if sum < 9500 || sum > 10500 {
		t.Errorf("%d bytes in 10 s at 1000 a second", sum)
	}
}

func TestTransferEndsAfterFilesLeftOutInARow(t *testing.T) {
	tr := New(Default, 0, 0, 1)
	for i := range Default.MaxFilesLeftOut - 1 {
		if tr.FileEnded(false) {
			t.Fatalf("ends after %d", i+1)
		}
	}
	tr.FileEnded(true)
	for range Default.MaxFilesLeftOut - 1 {
		if tr.FileEnded(false) {
			t.Fatal("a served file does not reset the count")
		}
	}
	if !tr.FileEnded(false) {
		t.Error("does not end")
	}
}

// TestTriesStayWithinClientTimeout checks that, for any sequence of results, an extent gets at most four tries, no try
// outlasts the extent's part of the client's timeout, and the number of tries in flight stays correct.
func TestTriesStayWithinClientTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(0, 60).Draw(t, "timeout")) * second
		tr := New(Default, timeout, 0, 1)
		limit := Default.ExtentTimeout
		if timeout > 0 {
			limit = min(limit, time.Duration(Default.TimeoutFraction*float64(timeout)))
		}
		now := time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "begin"))
		begin := now
		x := tr.StartExtent(now, 0, 1, time.Duration(rapid.IntRange(20, 5000).Draw(t, "deadline"))*ms)
		tries := 0
		for {
			try, ok := tr.StartTry(x, now)
			if !ok {
				break
			}
			tries++
			if now+try.Expires > begin+limit || try.Expires < Default.MinTryTime || try.Retry != (tries > 1) || tries > 4 {
				t.Fatalf("try %d at %v of %v: %+v", tries, now-begin, limit, try)
			}
			now += time.Duration(rapid.Int64Range(0, int64(try.Expires)).Draw(t, "took"))
			retryAfter := time.Duration(rapid.Int64Range(0, int64(3*second)).Draw(t, "hint"))
			kind := TryResult(rapid.IntRange(0, 2).Draw(t, "kind"))
			next := tr.TryEnded(x, now, kind, retryAfter)
			if next.Step != Retry {
				break
			}
			if kind == Refused && next.At < now+retryAfter {
				t.Fatalf("retries %v after a refusal with a retry-after of %v", next.At-now, retryAfter)
			}
			now = next.At
		}
		if tr.inFlight != 0 || tr.Window() < 1 || tr.Window() > Default.MaxWindow {
			t.Fatalf("%d in flight, window %d", tr.inFlight, tr.Window())
		}
	})
}

func TestBudgetReservesRoomForFirstExtents(t *testing.T) {
	b := Budget{Limit: 100, Reserve: 0.25}
	if !b.Take(75, 50) || b.Take(1, 50) || !b.Take(25, 0) || b.Take(1, 0) {
		t.Errorf("used %d", b.Used())
	}
	b.Release(100)
	if b.Used() != 0 || !b.Take(1, 1) {
		t.Errorf("used %d", b.Used())
	}
}
