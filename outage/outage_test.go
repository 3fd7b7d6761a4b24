package outage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestDroppedConnectionCountsOnce checks that many requests that end at once count as one silence, so that a dropped
// connection does not make a shard lost, and that three separate silences do, with a probe at once.
func TestDroppedConnectionCountsOnce(t *testing.T) {
	b, err := New(Default)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		if c, _ := b.RecordResult(1, false, time.Second+time.Duration(i)*ms); c != NoChange {
			t.Fatalf("lost after %d ms", i)
		}
	}
	b.RecordResult(1, false, 1100*ms)
	if c, _ := b.RecordResult(1, false, 1200*ms); c != ShardLost {
		t.Fatalf("not lost: %v", c)
	}
	if due := b.ProbesDue(1200 * ms); len(due) != 1 || due[0] != 1 {
		t.Errorf("due %v", due)
	}
	if silent, retryAfter, lost := b.Lost(1, 1300*ms); !lost || silent != 300*ms || retryAfter != time.Second+Default.SilenceInterval {
		t.Errorf("%v %v %v", silent, retryAfter, lost)
	}
	if _, _, lost := b.Lost(2, 1300*ms); lost {
		t.Error("another shard is lost")
	}
	if c, gone := b.RecordResult(1, true, 5*time.Second); c != ShardRecovered || gone != 4*time.Second {
		t.Errorf("%v %v", c, gone)
	}
	if _, _, lost := b.Lost(1, 5*time.Second); lost || len(b.LostShards()) != 0 {
		t.Error("lost although it answers")
	}
}

// TestProbes checks, for outages of any length, that a probe finds a recovered shard within about a fifth of the
// outage (or MinProbeInterval), that there are few probes, that the retry-after is never below its minimum, and that
// the shard has been probed by the time at which a client is told to retry.
func TestProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, _ := New(Default)
		start, duration := time.Minute, time.Duration(rapid.IntRange(200, 60_000).Draw(t, "ms"))*ms
		for i := range 3 {
			b.RecordResult(7, false, start+time.Duration(i)*50*ms)
		}
		probes, found := 0, time.Duration(0)
		retryTimes := map[time.Duration]bool{} // times at which clients were told to retry
		for now := start + 100*ms; found == 0; now += 10 * ms {
			for range b.ProbesDue(now) {
				probes++
				if now >= start+duration {
					found = now
				}
				clear(retryTimes)
			}
			for at := range retryTimes {
				if now > at+20*ms {
					t.Fatalf("told to retry at %v, but no probe by %v", at, now)
				}
			}
			if _, retryAfter, lost := b.Lost(7, now); !lost || retryAfter < Default.MinRetryAfter {
				t.Fatalf("lost %v, retry-after %v", lost, retryAfter)
			} else {
				retryTimes[now+retryAfter] = true
			}
		}
		if delay := found - start - duration; delay > max(Default.MinProbeInterval, time.Duration(0.25*float64(duration)))+10*ms {
			t.Fatalf("lost for %v, found %v after recovery", duration, delay)
		}
		maxProbes := 5 + 5*math.Log(float64(duration)/float64(time.Second)+1)*1.2 + float64(duration)/float64(Default.MaxProbeInterval)
		if float64(probes) > maxProbes+6 {
			t.Fatalf("%d probes in %v", probes, duration)
		}
	})
}

// TestNodeChangeTriggersProbe checks that a node change of a lost shard triggers a probe at once, that one of another
// shard has no effect, and that a shard that is no longer listed is removed.
func TestNodeChangeTriggersProbe(t *testing.T) {
	b, _ := New(Default)
	for i := range 3 {
		b.RecordResult(1, false, time.Duration(i)*time.Second)
	}
	b.ProbesDue(2 * time.Second)
	b.NodeChanged(1, 2100*ms)
	b.NodeChanged(2, 2100*ms)
	if due := b.ProbesDue(2100 * ms); len(due) != 1 || due[0] != 1 {
		t.Errorf("due %v", due)
	}
	b.Retain(func(id int) bool { return id != 1 })
	if len(b.LostShards()) != 0 {
		t.Error("a shard that is no longer listed is still lost")
	}
	for _, s := range []Settings{{}, {LossThreshold: 1, MinProbeInterval: 2, MaxProbeInterval: 1},
		{LossThreshold: 1, MinProbeInterval: 1, MaxProbeInterval: 1, ProbeFraction: 2},
		{LossThreshold: 1, MinProbeInterval: 1, MaxProbeInterval: 1, MinRetryAfter: -1},
		{LossThreshold: 1, MinProbeInterval: 1, MaxProbeInterval: 1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v is accepted", s)
		}
	}
}

// simulateOutages simulates outages of the given lengths one after another. A client arrives every 100 ms and retries
// whenever it is told to until it is served. servedWhenTold is the fraction of clients served within 1.2 times the
// first retry-after; meanDelay is the average time between the shard's recovery and the client's service.
func simulateOutages(settings Settings, lengths []time.Duration) (servedWhenTold float64, meanDelay time.Duration) {
	b, _ := New(settings)
	clients, servedInTime, totalDelay := 0, 0, time.Duration(0)
	for i, duration := range lengths {
		start := time.Hour * time.Duration(i+1)
		for j := range 3 {
			b.RecordResult(1, false, start+time.Duration(j)*50*ms)
		}
		type client struct{ arrivedAt, firstRetryAfter, retryAt time.Duration }
		var waiting []*client
		recoveredAt := time.Duration(0)
		for now := start + 100*ms; recoveredAt == 0 || len(waiting) > 0; now += 10 * ms {
			for range b.ProbesDue(now) {
				if now >= start+duration && recoveredAt == 0 {
					recoveredAt = now
					b.RecordResult(1, true, now)
				}
			}
			if _, retryAfter, lost := b.Lost(1, now); lost {
				if (now-start)%(100*ms) == 0 {
					waiting = append(waiting, &client{now, retryAfter, now + retryAfter})
				}
				for _, c := range waiting {
					if c.retryAt <= now {
						c.retryAt = now + retryAfter
					}
				}
				continue
			}
			stillWaiting := waiting[:0]
			for _, c := range waiting {
				if c.retryAt > now {
					stillWaiting = append(stillWaiting, c)
					continue
				}
				clients++
				if float64(now-c.arrivedAt) <= 1.2*float64(c.firstRetryAfter) {
					servedInTime++
				}
				totalDelay += now - max(c.arrivedAt, start+duration)
			}
			waiting = stillWaiting
		}
	}
	return float64(servedInTime) / float64(clients), totalDelay / time.Duration(clients)
}

// drawOutages draws outage lengths with a lognormal distribution and a median of 6 s.
func drawOutages(sigma float64, n int) (lengths []time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		lengths = append(lengths, time.Duration(6*math.Exp(sigma*rng.NormFloat64())*float64(time.Second)))
	}
	return lengths
}

// TestRetryAfterIsAccurate checks that where outages are alike, four of five clients that retry as told are served
// then.
func TestRetryAfterIsAccurate(t *testing.T) {
	if served, delay := simulateOutages(Default, drawOutages(0.2, 40)); served < 0.8 || delay > 3*time.Second {
		t.Errorf("%.2f are served when told to retry, on average %v after recovery", served, delay)
	}
}

// BenchmarkRetryAfter reports the fraction of clients served when told to retry, and the delay after recovery, by the
// standard deviation of the logarithm of outage lengths. The variant "plain" tells clients the time of the next probe.
func BenchmarkRetryAfter(b *testing.B) {
	for _, sigma := range []float64{0, 0.1, 0.3, 1} {
		plain, half := Default, Default
		plain.MaxRetryAfter, half.RetryQuantile = plain.MinRetryAfter, 0.5
		for name, set := range map[string]Settings{"plain": plain, "sure=0.5": half, "sure=0.8": Default} {
			b.Run(fmt.Sprintf("sigma=%v/%s", sigma, name), func(b *testing.B) {
				var served float64
				var delay time.Duration
				for b.Loop() {
					served, delay = simulateOutages(set, drawOutages(sigma, 100))
				}
				b.ReportMetric(served, "true")
				b.ReportMetric(delay.Seconds(), "s-late")
			})
		}
	}
}
