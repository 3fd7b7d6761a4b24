package membership

import (
	"math/rand"
	"testing"
	"time"
)

const (
	drainGrace = 2 * time.Second        // of the platform's settings
	slack      = 200 * time.Millisecond // of the grace, for sockets and a host that is held up
	delayStep  = 113 * time.Millisecond // between the delays that are tried; no divisor of the scheduler's intervals

	silenceNoticed = 2500 * time.Millisecond // discovery sends an empty line every 2 s
	askedAgain     = 850 * time.Millisecond  // the longest time between two requests to a silent agent
)

// dueBy returns the time by which a change must be applied, after an event that makes it binding within a deadline. An
// answer that comes less than askedAgain before the deadline, if it was asked for at once, may use the grace as well.
func dueBy(deadline, earliest time.Duration) time.Duration {
	if earliest <= deadline-askedAgain {
		return deadline
	}
	return latest(deadline)
}

// latest returns the time after which nothing may be sent to a node that drains.
func latest(deadline time.Duration) time.Duration { return deadline + drainGrace - slack }

// answersAfter returns an agent that answers each request after a delay.
func answersAfter(delay time.Duration) fakeAgent {
	return func(time.Duration, bool) (bool, time.Duration) { return true, delay }
}

// delays returns the delays of answers that the deadline covers.
func delays() (list []time.Duration) {
	for d := time.Millisecond; d < UpdateDeadline; d += delayStep {
		list = append(list, d)
	}
	return append(list, UpdateDeadline-time.Millisecond, UpdateDeadline)
}

// TestSlowAgentAtStart guards against a host that gives up each request before a slow agent answers it, and so follows
// a stale list: the first request of a new process is answered, with a known list and without.
func TestSlowAgentAtStart(t *testing.T) {
	for _, fetchAll := range []bool{false, true} {
		for _, delay := range delays() {
			succeeded, _ := simulate(NewScheduler(DefaultTiming, fetchAll), answersAfter(delay), 0, time.Minute)
			if len(succeeded) == 0 || succeeded[0] != delay {
				t.Errorf("whole list %v, answers after %v: heard at %v", fetchAll, delay, succeeded)
			}
		}
	}
}

// TestSlowAgentAfterOutage checks that what the agent has is heard in time after it was out of reach, for each length
// of the outage, each way in which requests fail during it, and each delay of answers after it.
func TestSlowAgentAfterOutage(t *testing.T) {
	during := map[string]func(now time.Duration) time.Duration{ // when a request fails; 0: never
		"silent":          func(time.Duration) time.Duration { return 0 },
		"refuses":         func(time.Duration) time.Duration { return time.Millisecond },
		"ends after 0.8s": func(time.Duration) time.Duration { return 800 * time.Millisecond },
		"ends after 3s":   func(time.Duration) time.Duration { return 3 * time.Second },
		"by turns": func(now time.Duration) time.Duration {
			return []time.Duration{0, time.Millisecond, 0, 2 * time.Second}[now/time.Second%4]
		},
	}
	for name, fails := range during {
		t.Run(name, func(t *testing.T) {
			for outage := delayStep; outage < 40*time.Second; outage += 3 * delayStep {
				for _, delay := range delays() {
					succeeded, _ := simulate(NewScheduler(DefaultTiming, false), func(now time.Duration, _ bool) (bool, time.Duration) {
						if now < outage {
							return false, fails(now)
						}
						return true, delay
					}, 0, outage+time.Minute)
					due := dueBy(UpdateDeadline, delay)
					if delay == time.Millisecond {
						due = latest(0) // what the agent has at its return is binding at once
					}
					if len(succeeded) == 0 || succeeded[0]-outage > due {
						t.Fatalf("outage of %v, answers after %v: heard at %v, due %v after the outage", outage, delay, succeeded, due)
					}
				}
			}
		})
	}
}

// TestCrowdedAgentAfterOutage guards against requests that are dead and keep an agent, which refuses more than a few open
// requests of a host, from accepting another one after an outage.
func TestCrowdedAgentAfterOutage(t *testing.T) {
	for limit := 1; limit <= 4; limit++ {
		for outage := delayStep; outage < 40*time.Second; outage += 3 * delayStep {
			for _, delay := range delays() {
				if 2*delay+time.Second > latest(UpdateDeadline) {
					break // no time for a dead request that is given as long, and a slow one after it
				}
				var s *simulation
				s = newSimulation(NewScheduler(DefaultTiming, false), func(now time.Duration, _ bool) (bool, time.Duration) {
					switch {
					case len(s.open) >= limit:
						return false, time.Millisecond
					case now < outage:
						return false, 0
					}
					return true, delay
				}, 0)
				s.run(outage + time.Minute)
				if len(s.succeeded) == 0 || s.succeeded[0]-outage > dueBy(UpdateDeadline, 3750*time.Millisecond+delay) {
					t.Fatalf("at most %d requests, outage of %v, answers after %v: heard at %v", limit, outage, delay, s.succeeded)
				}
			}
		}
	}
}

// TestCrowdedAgentAtStart checks that a slow agent which accepts a part of the requests only is heard: those that it
// refuses do not end the others.
func TestCrowdedAgentAtStart(t *testing.T) {
	for seed := range int64(20) {
		for _, delay := range delays() {
			rng, first := rand.New(rand.NewSource(seed)), time.Duration(-1)
			succeeded, _ := simulate(NewScheduler(DefaultTiming, false), func(now time.Duration, _ bool) (bool, time.Duration) {
				if rng.Intn(3) == 0 {
					return false, time.Millisecond
				}
				if first < 0 {
					first = now
				}
				return true, delay
			}, 0, time.Minute)
			if len(succeeded) == 0 || succeeded[0] > first+delay {
				t.Errorf("seed %d, answers after %v: first accepted at %v, heard at %v", seed, delay, first, succeeded)
			}
		}
	}
}

// TestSlowAgentAfterSilence checks that what a silent watch misses is heard in time from an agent that answers late,
// also if the first request for another watch is lost.
func TestSlowAgentAfterSilence(t *testing.T) {
	for lost := range 2 {
		for _, delay := range delays() {
			earliest := silenceNoticed + time.Duration(lost)*askedAgain + delay
			if earliest > latest(UpdateDeadline) {
				continue // no request is made before the silence is noticed, and a lost one costs up to a second
			}
			k := NewScheduler(DefaultTiming, false)
			simulate(k, answersAfter(time.Millisecond), 0, time.Second)
			silent, n := 20*time.Second, 0
			k.Received(silent)
			succeeded, _ := simulate(k, func(time.Duration, bool) (bool, time.Duration) {
				n++
				return n > lost, map[bool]time.Duration{true: delay}[n > lost]
			}, silent, silent+time.Minute)
			if len(succeeded) == 0 || succeeded[0]-silent > dueBy(UpdateDeadline, earliest) {
				t.Errorf("%d lost, answers after %v: heard at %v, silent since %v", lost, delay, succeeded, silent)
			}
		}
	}
}

// TestSlowAgentAtNewAddress checks that a slow agent at a new address is heard in time after the change, whatever is
// open then, while the watch at the former address goes on.
func TestSlowAgentAtNewAddress(t *testing.T) {
	const deadline = 4 * time.Second // after the new configuration (the platform's standing test)
	for _, delay := range delays() {
		if delay > latest(deadline) {
			continue // not even the first request could be answered in time
		}
		for _, change := range []time.Duration{time.Millisecond, 400 * time.Millisecond, 1100 * time.Millisecond, 30 * time.Second} {
			s := newSimulation(NewScheduler(DefaultTiming, false), answersAfter(delay), 0)
			s.run(change)
			s.changeAddress(1500 * time.Millisecond)
			s.succeeded = nil
			for end := change + time.Minute; s.now < end; { // the former watch stays alive
				s.scheduler.Received(s.now)
				s.run(s.now + time.Second)
			}
			last := time.Duration(1 << 62)
			for _, at := range s.succeeded { // the last one is at the new address
				last = at
			}
			if last-change > dueBy(deadline, delay) {
				t.Errorf("answers after %v, address changed at %v: heard at %v", delay, change, s.succeeded)
			}
		}
	}
}

// TestAddressesInSuccession checks that a slow agent is heard although its address changes before it has answered:
// the agent at a former address still answers what it was asked before.
func TestAddressesInSuccession(t *testing.T) {
	const closesAfter = 1500 * time.Millisecond
	for _, period := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, delay := range delays() {
			if delay >= closesAfter {
				break
			}
			s := newSimulation(NewScheduler(DefaultTiming, false), answersAfter(delay), 0)
			for s.now < 10*time.Second {
				s.run(s.now + period)
				s.changeAddress(closesAfter)
			}
			if len(s.succeeded) == 0 || s.succeeded[0] != delay {
				t.Errorf("answers after %v, a new address each %v: heard at %v", delay, period, s.succeeded)
			}
		}
	}
}

// TestNewerFormerAddress checks that a watch at a former address is not replaced by one at an older address.
func TestNewerFormerAddress(t *testing.T) {
	k := NewScheduler(DefaultTiming, false)
	oldest := k.Next(0)
	k.AddressChanged(1)
	newer := k.Next(1)
	k.AddressChanged(2)
	newest := k.Next(2)
	k.TrialSucceeded(3, newer.Trial)
	if s := k.Next(3); s != (Step{CancelTrial, oldest.Trial}) {
		t.Fatalf("step %+v", s)
	}
	if s := k.Next(3); s.Kind != Wait {
		t.Fatalf("step %+v, although the newest address has not answered", s)
	}
	k.TrialSucceeded(4, newest.Trial)
	if s := k.Next(4); s.Kind != Wait || k.Due(4) != 4+DefaultTiming.SilenceTimeout {
		t.Fatalf("step %+v, due %v", s, k.Due(4))
	}
}

// TestVerySlowAgent checks that an agent slower than TrialTimeout gets through in the end, also after an outage.
func TestVerySlowAgent(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Second, 9600 * time.Millisecond, 25 * time.Second} {
		for _, outage := range []time.Duration{0, 5 * time.Second, 50 * time.Second} {
			succeeded, _ := simulate(NewScheduler(DefaultTiming, false), func(now time.Duration, _ bool) (bool, time.Duration) {
				if now < outage {
					return false, 0
				}
				return true, delay
			}, 0, outage+time.Minute)
			if len(succeeded) == 0 {
				t.Errorf("answers after %v, after an outage of %v: no trial succeeded", delay, outage)
			}
		}
	}
}

// TestRequestCount checks the number of requests that an agent gets in half a minute: one if it answers within
// TrialInterval, and at most one for each TrialInterval, or MaxRetryDelay if it refuses, otherwise.
func TestRequestCount(t *testing.T) {
	const span = 30 * time.Second
	each := func(interval time.Duration) int { return int(span/interval) + 1 }
	retries := 5 // before the retry delay has grown
	for _, c := range []struct {
		name  string
		agent fakeAgent
		most  int
	}{
		{"answers at once", answersAfter(time.Millisecond), 1},
		{"answers within the interval", answersAfter(DefaultTiming.TrialInterval - 1), 1},
		{"answers after 1.5 s", answersAfter(1500 * time.Millisecond), 2},
		{"answers after 5 s", answersAfter(5 * time.Second), 6},
		{"silent", func(time.Duration, bool) (bool, time.Duration) { return false, 0 }, each(DefaultTiming.TrialInterval)},
		{"refuses", func(time.Duration, bool) (bool, time.Duration) { return false, time.Millisecond }, each(DefaultTiming.MaxRetryDelay) + retries},
		{"ends after 3 s", func(time.Duration, bool) (bool, time.Duration) { return false, 3 * time.Second }, each(DefaultTiming.TrialInterval)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(NewScheduler(DefaultTiming, false), c.agent, 0)
			for s.now < span { // the watch stays alive
				if s.scheduler.watching {
					s.scheduler.Received(s.now)
				}
				s.run(s.now + time.Second)
			}
			if s.trials > c.most {
				t.Errorf("%d requests in %v, expected at most %d", s.trials, span, c.most)
			}
		})
	}
}
