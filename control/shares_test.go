package control

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// worthWhenServed returns the part of its full worth that a request for units of a volume gets, and has it served at
// once.
func worthWhenServed(h *harness, id, volume string, units float64) float64 {
	h.t.Helper()
	part := worthWhenHeld(h, id, volume, units)
	answerServed(h, id, 0, 0)
	return part
}

// worthWhenHeld returns the same for a request that stays open.
func worthWhenHeld(h *harness, id, volume string, units float64) float64 {
	h.t.Helper()
	r := Request{ID: id, Class: "read", Plan: "p", Volume: volume, Shard: 1, Hosts: 1, Units: units, Expires: time.Second}
	h.step(0, r)
	q := h.c.requests[id]
	if q == nil {
		h.t.Fatalf("%s is no longer kept", id)
	}
	return q.worth / (2 * units / 2)
}

// answerServed has a request answered 5 ms later, with the given report of the volume's use.
func answerServed(h *harness, id string, use int, others float64) {
	h.step(5*ms, Outcome{ID: id, Node: "n1", Result: Done, Elapsed: 5 * ms, Closed: true, VolumeUse: use, OthersGot: others})
}

func newSharesHarness(t *testing.T) *harness {
	set := settings()
	set.ShareWorth, set.SpareWorth, set.MeterSpan = 0.8, 0.1, time.Second
	set.Plans = []Plan{{Name: "p", Nominal: 100, Weight: 1}}
	return newHarness(t, set, nodeEntry("n1", 1))
}

// sharesOfV returns shares in which only volume v has one, at the given rate.
func sharesOfV(rate float64) Shares {
	return Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{"v": {Rate: rate, At: map[string]float64{"n1": rate}}}}
}

// TestWorthWithinAndBeyondShare checks that requests within a volume's share get the share's worth, and that of a
// demand beyond it the covered part counts. Volumes without a share get the worth by their nominal rate, as do all
// volumes after the shares are withdrawn. The nodes on which the shares place a volume make no difference.
func TestWorthWithinAndBeyondShare(t *testing.T) {
	for _, at := range []map[string]float64{{"n1": 40}, {"n1": 2}, {"n9": 40}, nil} {
		h := newSharesHarness(t)
		h.step(0, Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{"v": {Rate: 40, At: at}}})
		last := 0.0
		for i := range 100 { // 20 units a second
			if last = worthWhenServed(h, fmt.Sprint("in", i), "v", 0.1); math.Abs(last-0.8) > 1e-9 {
				t.Fatalf("request %d, within the share, gets %v of its worth, want 0.8", i, last)
			}
		}
		for i := range 1000 { // 100 units a second, two and a half times its share
			worthWhenServed(h, fmt.Sprint("over", i), "v", 0.5)
		}
		last = worthWhenHeld(h, "last", "v", 0.5)
		part, trust := h.c.sharesFactor(h.c.requests["last"])
		if want := 0.1 + 0.7*40/100; math.Abs(part-want) > 0.02 || trust != 1 || math.Abs(last-(trust*part+(1-trust)*0.8)) > 0.02 {
			t.Errorf("placed %v: beyond the share the factor is %v with trust %v, and a request gets %v; want about %v", at, part, trust, last, want)
		}
		if w := worthWhenServed(h, "c", "other", 0.8); math.Abs(w-0.8) > 1e-9 {
			t.Errorf("a request of a volume without a share gets %v, want 0.8", w)
		}
		plain := newSharesHarness(t)
		for i := range 50 {
			worthWhenServed(plain, fmt.Sprint("g", i), "v", 0.8)
		}
		h = newSharesHarness(t)
		h.step(0, sharesOfV(1))
		h.step(0, Shares{Version: 2})
		for i := range 50 {
			worthWhenServed(h, fmt.Sprint("g", i), "v", 0.8)
		}
		if w := worthWhenServed(plain, "x", "v", 8); w != worthWhenServed(h, "x", "v", 8) {
			t.Errorf("after the shares were withdrawn, the worth differs from %v, that without any shares", w)
		}
	}
}

// TestMetShareDoesNotLowerWorth checks that a volume whose share covers its whole expected demand gets no less than the
// worth by its nominal rate, however large its demand, and more if the share is larger. A share that does not cover the
// expected demand lowers the worth.
func TestMetShareDoesNotLowerWorth(t *testing.T) {
	price := func(met bool, rate float64) (last float64) {
		h := newSharesHarness(t)
		h.step(0, Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{"v": {Rate: rate, Met: met}}})
		for i := range 1000 { // 100 units a second; the nominal rate covers up to 200
			last = worthWhenServed(h, fmt.Sprint("r", i), "v", 0.5)
		}
		return last
	}
	if got := price(true, 40); math.Abs(got-0.8) > 1e-9 {
		t.Errorf("with a met share, a request gets %v, want 0.8", got)
	}
	if got := price(false, 40); got > 0.5 {
		t.Errorf("with a share that is not met, a request gets %v, want at most 0.5", got)
	}
}

// TestShareTrustDecays checks that shares lose their trust past the trusted age, or if the volume's meter contradicts
// them. Within a factor of two of the meter they are trusted in full.
func TestShareTrustDecays(t *testing.T) {
	trust := func(age time.Duration, use int, rate float64) float64 {
		h := newSharesHarness(t)
		s := sharesOfV(rate)
		s.Age = age
		h.step(0, s)
		worthWhenHeld(h, "a", "v", 1)
		answerServed(h, "a", use, 0)
		worthWhenHeld(h, "b", "v", 1)
		_, trust := h.c.sharesFactor(h.c.requests["b"])
		return trust
	}
	for _, c := range []struct {
		age  time.Duration
		use  int // 1 + percent of 100 units a second
		rate float64
		want float64
	}{
		{0, 0, 2, 1}, {0, 0, 10, 0}, {59 * time.Minute, 11, 10, 1}, {75 * time.Minute, 11, 10, 0.5}, {2 * time.Hour, 11, 10, 1. / 16},
		{0, 11, 10, 1}, {0, 20, 10, 1}, {0, 9, 10, 1}, {0, 6, 10, 1}, {0, 41, 10, 1}, {0, 57, 10, 0.5}, {0, 4, 10, 0}, {0, 101, 10, 0}, {0, 11, 100, 0}, {0, 1, 10, 0},
		{75 * time.Minute, 101, 10, 0}, {75 * time.Minute, 57, 10, 0.25},
	} {
		if got := trust(c.age, c.use, c.rate); math.Abs(got-c.want) > 0.02 {
			t.Errorf("age %v, use %d of 100, share %v: trust %v, want %v", c.age, c.use-1, c.rate, got, c.want)
		}
	}
	last := 2.0
	for use := 10; use <= 120; use += 5 { // trust never grows with the distance
		got := trust(0, 1+use, 10)
		if got > last {
			t.Errorf("use %d: trust %v, higher than %v at a lower use", use, got, last)
		}
		last = got
	}
}

// TestSharesOfManyHosts checks that this host counts on the part of the share that corresponds to its part of the
// volume's work. The answers report the work done for the other hosts.
func TestSharesOfManyHosts(t *testing.T) {
	h := newSharesHarness(t)
	h.step(0, sharesOfV(60))
	for i := range 40 { // three other hosts serve as much each
		id := fmt.Sprint("r", i)
		h.step(0, Request{ID: id, Class: "read", Plan: "p", Volume: "v", Shard: 1, Hosts: 4, Units: 2, Expires: time.Second})
		h.step(95*ms, Outcome{ID: id, Node: "n1", Result: Done, Elapsed: 95 * ms, Closed: true, VolumeUse: 61, OthersGot: 6})
	}
	for i := range 100 { // 200 units a second here, far beyond any part of the share
		worthWhenHeld(h, fmt.Sprint("x", i), "v", 2)
		answerServed(h, fmt.Sprint("x", i), 61, 6)
	}
	worthWhenHeld(h, "y", "v", 2)
	// The decayed sum of the units of the last second is 157.
	if got, _ := h.c.sharesFactor(h.c.requests["y"]); math.Abs(got-(0.1+0.7*15/157)) > 0.03 {
		t.Errorf("with a demand far above a quarter of 60, the factor is %v", got)
	}
}

// TestIrrelevantSharesChangeNothing checks that an event without shares, or with shares of other volumes, changes no
// action of a random sequence of events. With relevant shares, the same events still give the same actions.
func TestIrrelevantSharesChangeNothing(t *testing.T) {
	for seed := range int64(30) {
		plain := playRandom(t, seed)
		for _, s := range []Shares{{}, {Version: 9, Trust: time.Hour}, {Version: 3, Trust: time.Hour,
			Volumes: map[string]VolumeShare{"nobody": {Rate: 5, At: map[string]float64{"n1": 5}}}}} {
			if got := playRandom(t, seed, s); !reflect.DeepEqual(plain, got) {
				t.Fatalf("seed %d: shares %+v change the actions", seed, s)
			}
		}
		s := Shares{Version: 3, Trust: time.Hour, Volumes: map[string]VolumeShare{}}
		for i := range 8 {
			s.Volumes[fmt.Sprint("v", i)] = VolumeShare{Rate: 3, At: map[string]float64{"n1": 1, "n2": 2}}
		}
		if one, two := playRandom(t, seed, s), playRandom(t, seed, s); !reflect.DeepEqual(one, two) {
			t.Fatalf("seed %d: two runs with the same shares differ", seed)
		}
	}
}
