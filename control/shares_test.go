package control

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// priced is the part of its full worth that a request for units of a volume is held at; it
// is served at once.
func worthWhenServed(b *harness, id, volume string, units float64) float64 {
	b.t.Helper()
	part := worthWhenHeld(b, id, volume, units)
	answerServed(b, id, 0, 0)
	return part
}

// held is the same of a request that stays open.
func worthWhenHeld(b *harness, id, volume string, units float64) float64 {
	b.t.Helper()
	r := Request{ID: id, Class: "read", Plan: "p", Volume: volume, Shard: 1, Hosts: 1, Units: units, Expires: time.Second}
	b.step(0, r)
	q := b.c.requests[id]
	if q == nil {
		b.t.Fatalf("%s is not there any more", id)
	}
	return q.worth / (2 * units / 2)
}

func answerServed(b *harness, id string, use int, others float64) {
	b.step(5*ms, Outcome{ID: id, Node: "n1", Result: Done, Elapsed: 5 * ms, Closed: true, VolumeUse: use, OthersGot: others})
}

func newSharesHarness(t *testing.T) *harness {
	set := settings()
	set.ShareWorth, set.SpareWorth, set.MeterSpan = 0.8, 0.1, time.Second
	set.Plans = []Plan{{Name: "p", Nominal: 100, Weight: 1}}
	return newHarness(t, set, nodeEntry("n1", 1))
}

func sharesOfV(rate float64) Shares {
	return Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{"v": {Rate: rate, At: map[string]float64{"n1": rate}}}}
}

// TestSharesTold: what a volume asks within the share told is held at the share's worth, of
// what it asks beyond it the part counts that is inside; volumes of which nothing is told are
// guessed at as before. Where the shares place its data makes no difference.
func TestWorthWithinAndBeyondShare(t *testing.T) {
	for _, at := range []map[string]float64{{"n1": 40}, {"n1": 2}, {"n9": 40}, nil} {
		b := newSharesHarness(t)
		b.step(0, Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{"v": {Rate: 40, At: at}}})
		last := 0.0
		for i := range 100 { // 20 units a second
			if last = worthWhenServed(b, fmt.Sprint("in", i), "v", 0.1); math.Abs(last-0.8) > 1e-9 {
				t.Fatalf("inside its share request %d is held at %v of its worth, want 0.8", i, last)
			}
		}
		for i := range 1000 { // 100 units a second, two and a half times its share
			worthWhenServed(b, fmt.Sprint("over", i), "v", 0.5)
		}
		last = worthWhenHeld(b, "last", "v", 0.5)
		part, trust := b.c.sharesFactor(b.c.requests["last"])
		if want := 0.1 + 0.7*40/100; math.Abs(part-want) > 0.02 || trust != 1 || math.Abs(last-(trust*part+(1-trust)*0.8)) > 0.02 {
			t.Errorf("placed %v: beyond its share a request counts %v, trusted %v, held at %v; want about %v", at, part, trust, last, want)
		}
		if w := worthWhenServed(b, "c", "other", 0.8); math.Abs(w-0.8) > 1e-9 {
			t.Errorf("of a volume of which nothing is told: %v, want today's 0.8", w)
		}
		untold := newSharesHarness(t)
		for i := range 50 {
			worthWhenServed(untold, fmt.Sprint("g", i), "v", 0.8)
		}
		b = newSharesHarness(t)
		b.step(0, sharesOfV(1))
		b.step(0, Shares{Version: 2})
		for i := range 50 {
			last = worthWhenServed(b, fmt.Sprint("g", i), "v", 0.8)
		}
		if w := worthWhenServed(untold, "x", "v", 8); w != worthWhenServed(b, "x", "v", 8) {
			t.Errorf("after the shares were withdrawn it is not priced as if none had been told: %v", w)
		}
	}
}

// TestSharesMet: a volume whose share is all that it was expected to ask for is priced no lower
// than it is guessed at, however much it asks; one that is due more than the guess gains.
func TestMetShareDoesNotLowerWorth(t *testing.T) {
	price := func(met bool, rate float64) (last float64) {
		b := newSharesHarness(t)
		b.step(0, Shares{Version: 1, Trust: time.Hour, Volumes: map[string]VolumeShare{"v": {Rate: rate, Met: met}}})
		for i := range 1000 { // 100 units a second; guessed at in full up to 200
			last = worthWhenServed(b, fmt.Sprint("r", i), "v", 0.5)
		}
		return last
	}
	if got := price(true, 40); math.Abs(got-0.8) > 1e-9 {
		t.Errorf("met, and guessed at more: held at %v, want 0.8", got)
	}
	if got := price(false, 40); got > 0.5 {
		t.Errorf("not met: held at %v", got)
	}
}

// TestSharesFade: older than stated, or belied by the volume's meter, shares told give
// way to the guess; within a factor of two of the meter they hold.
func TestShareTrustDecays(t *testing.T) {
	trust := func(age time.Duration, use int, rate float64) float64 {
		b := newSharesHarness(t)
		s := sharesOfV(rate)
		s.Age = age
		b.step(0, s)
		worthWhenHeld(b, "a", "v", 1)
		answerServed(b, "a", use, 0)
		worthWhenHeld(b, "b", "v", 1)
		_, trust := b.c.sharesFactor(b.c.requests["b"])
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
			t.Errorf("age %v, use %d of 100, share %v: trusted %v, want %v", c.age, c.use-1, c.rate, got, c.want)
		}
	}
	last := 2.0
	for use := 10; use <= 120; use += 5 { // never more trust the further off
		got := trust(0, 1+use, 10)
		if got > last {
			t.Errorf("use %d: trusted %v, after %v", use, got, last)
		}
		last = got
	}
}

// TestSharesOfManyHosts: of the share this host has the part that it has of the volume's
// work, by what answers tell of the others.
func TestSharesOfManyHosts(t *testing.T) {
	b := newSharesHarness(t)
	b.step(0, sharesOfV(60))
	for i := range 40 { // three other hosts serve as much each
		id := fmt.Sprint("r", i)
		b.step(0, Request{ID: id, Class: "read", Plan: "p", Volume: "v", Shard: 1, Hosts: 4, Units: 2, Expires: time.Second})
		b.step(95*ms, Outcome{ID: id, Node: "n1", Result: Done, Elapsed: 95 * ms, Closed: true, VolumeUse: 61, OthersGot: 6})
	}
	for i := range 100 { // 200 units a second here: far beyond any part of it
		worthWhenHeld(b, fmt.Sprint("x", i), "v", 2)
		answerServed(b, fmt.Sprint("x", i), 61, 6)
	}
	worthWhenHeld(b, "y", "v", 2)
	if got, _ := b.c.sharesFactor(b.c.requests["y"]); math.Abs(got-(0.1+0.7*15/157)) > 0.03 { // 157 of them within the last second, fading
		t.Errorf("far more asked than a quarter of 60: told %v", got)
	}
}

// TestNoSharesNoChange: an event without shares, or with shares of other volumes, changes no
// action of any random history.
func TestIrrelevantSharesChangeNothing(t *testing.T) {
	for seed := range int64(30) {
		plain := playRandom(t, seed)
		for _, s := range []Shares{{}, {Version: 9, Trust: time.Hour}, {Version: 3, Trust: time.Hour,
			Volumes: map[string]VolumeShare{"nobody": {Rate: 5, At: map[string]float64{"n1": 5}}}}} {
			if got := playRandom(t, seed, s); !reflect.DeepEqual(plain, got) {
				t.Fatalf("seed %d: %+v changes what is done", seed, s)
			}
		}
		s := Shares{Version: 3, Trust: time.Hour, Volumes: map[string]VolumeShare{}}
		for i := range 8 {
			s.Volumes[fmt.Sprint("v", i)] = VolumeShare{Rate: 3, At: map[string]float64{"n1": 1, "n2": 2}}
		}
		if one, two := playRandom(t, seed, s), playRandom(t, seed, s); !reflect.DeepEqual(one, two) {
			t.Fatalf("seed %d: the same events with shares, other actions", seed)
		}
	}
}
