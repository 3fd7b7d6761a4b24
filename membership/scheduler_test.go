package membership

import (
	"fmt"
	"testing"
	"time"
)

// fakeAgent simulates discovery: it returns whether a trial that starts at now succeeds, and after what time. With
// after 0 the agent never answers, and the scheduler has to time the trial out.
type fakeAgent func(now time.Duration, whole bool) (ok bool, after time.Duration)

// simulate runs a scheduler against an agent between two times, and returns when each trial succeeded, and the number
// of trials.
func simulate(k *Scheduler, a fakeAgent, from, until time.Duration) (succeeded []time.Duration, trials int) {
	now, ends, ok := from, time.Duration(0), false
	for now < until {
		switch s := k.Next(now); s {
		case OpenWatch, FetchAll:
			trials++
			var after time.Duration
			ok, after = a(now, s == FetchAll)
			if ends = now + after; after == 0 {
				ends = 1 << 62
			}
		case TrialTimedOut, CancelTrial:
			ends = 0
		case Wait:
			next := k.Due(now)
			if ends > 0 && ends <= next {
				now = max(now, ends)
				ends = 0
				if ok {
					succeeded = append(succeeded, now)
					k.TrialSucceeded(now)
				} else {
					k.TrialFailed(now)
				}
				continue
			}
			if next <= now {
				panic(fmt.Sprintf("at %v: nothing to do, but Due is %v", now, next))
			}
			now = next
		}
	}
	return succeeded, trials
}

// TestUpdateDeadline checks that the changes which a silent watch missed arrive within UpdateDeadline, for each
// combination of ways in which the next two trials may fail.
func TestUpdateDeadline(t *testing.T) {
	ms := time.Millisecond
	bad := []struct {
		name  string
		after time.Duration // 0: sends nothing, or never an object
	}{{"sends nothing, half a head, half an object, empty lines only", 0}, {"refuses", ms}, {"ends just before the timeout", DefaultTiming.TrialTimeout - ms}}
	for _, first := range bad {
		for _, second := range bad {
			t.Run(first.name+"; "+second.name, func(t *testing.T) {
				k := NewScheduler(DefaultTiming, false)
				simulate(k, func(time.Duration, bool) (bool, time.Duration) { return true, ms }, 0, 50*ms)
				silent := 20 * time.Second
				k.Received(silent)
				n := 0
				proved, _ := simulate(k, func(time.Duration, bool) (bool, time.Duration) {
					if n++; n <= 2 {
						return false, []time.Duration{first.after, second.after}[n-1]
					}
					return true, DefaultTiming.TrialTimeout - ms
				}, silent, silent+2*UpdateDeadline)
				if len(proved) == 0 || proved[0] > silent+UpdateDeadline-250*ms {
					t.Fatalf("succeeded at %v, silent since %v", proved, silent)
				}
			})
		}
	}
	if sum := DefaultTiming.SilenceTimeout + 3*(DefaultTiming.TrialTimeout+DefaultTiming.MaxRetryDelay); sum >= UpdateDeadline {
		t.Errorf("the bounds add up to %v, UpdateDeadline is %v", sum, UpdateDeadline)
	}
}

// TestAgentRecovery checks that after a long downtime of the agent a watch is open again within one retry delay and
// one trial.
func TestAgentRecovery(t *testing.T) {
	for _, down := range []time.Duration{0, time.Millisecond} { // silent, or refusing
		k := NewScheduler(DefaultTiming, false)
		back := 4 * time.Second
		proved, tries := simulate(k, func(now time.Duration, _ bool) (bool, time.Duration) {
			if now < back {
				return false, down
			}
			return true, time.Millisecond
		}, 0, back+5*time.Second)
		if len(proved) < 1 || proved[0]-back > DefaultTiming.TrialTimeout+DefaultTiming.MaxRetryDelay+10*time.Millisecond {
			t.Errorf("back at %v, succeeded at %v", back, proved)
		}
		if tries > 40 {
			t.Errorf("%d trials", tries)
		}
	}
}

// TestWatchReplacement checks that a working watch is not dropped for one that does not work, and that a trial is
// cancelled when the current watch receives bytes again.
func TestWatchReplacement(t *testing.T) {
	k := NewScheduler(DefaultTiming, false)
	if s := k.Next(0); s != OpenWatch {
		t.Fatalf("step %d", s)
	}
	k.TrialSucceeded(0)
	if s := k.Next(DefaultTiming.SilenceTimeout - 1); s != Wait || k.Due(0) != DefaultTiming.SilenceTimeout {
		t.Fatalf("step %d, due %v", s, k.Due(0))
	}
	if s := k.Next(DefaultTiming.SilenceTimeout); s != OpenWatch {
		t.Fatalf("silent: step %d", s)
	}
	k.Received(DefaultTiming.SilenceTimeout + 1)
	if s := k.Next(DefaultTiming.SilenceTimeout + 2); s != CancelTrial {
		t.Fatalf("received bytes again: step %d", s)
	}
	k.AddressChanged(DefaultTiming.SilenceTimeout + 3)
	if s := k.Next(DefaultTiming.SilenceTimeout + 3); s != OpenWatch {
		t.Fatalf("address changed: step %d", s)
	}
	k.Received(DefaultTiming.SilenceTimeout + 4)
	if s := k.Next(DefaultTiming.SilenceTimeout + 5); s != Wait || !k.watching {
		t.Fatalf("the former watch receives bytes while the new one is on trial: step %d, watching %v", s, k.watching)
	}
	k.TrialSucceeded(DefaultTiming.SilenceTimeout + 6)
	if s := k.Next(DefaultTiming.SilenceTimeout + 7); s != Wait {
		t.Fatalf("step %d", s)
	}
}

// TestResync checks that Resync causes a request of the whole list, then of a new watch.
func TestResync(t *testing.T) {
	k := NewScheduler(DefaultTiming, true)
	for i, want := range []Step{FetchAll, OpenWatch, Wait, FetchAll, OpenWatch, Wait} {
		if i == 3 {
			k.Resync()
		}
		s := k.Next(0)
		if s != want {
			t.Fatalf("step %d is %d, expected %d", i, s, want)
		}
		if s != Wait {
			k.TrialSucceeded(0)
		}
	}
}

// TestSlowAgent checks that an agent slower than TrialTimeout gets through in the end, and that an agent which ends
// each watch at once gets only a few requests a second.
func TestSlowAgent(t *testing.T) {
	slow := func(time.Duration, bool) (bool, time.Duration) { return true, 3 * time.Second }
	if proved, _ := simulate(NewScheduler(DefaultTiming, false), slow, 0, time.Minute); len(proved) == 0 {
		t.Error("no trial succeeded")
	}
	k, now, tries := NewScheduler(DefaultTiming, false), time.Duration(0), 0
	for now < 10*time.Second {
		if k.Next(now) == OpenWatch {
			tries++
			k.TrialSucceeded(now)
			k.WatchEnded(now)
		}
		now = max(now+time.Millisecond, k.Due(now))
	}
	if tries > 60 {
		t.Errorf("%d watches in 10 s", tries)
	}
}
