package membership

import (
	"fmt"
	"testing"
	"time"
)

// agent plays discovery in explicit time: what a try that begins at a moment comes to, and how long that takes.
// after 0: it never speaks, and the keeper has to give it up.
type fakeAgent func(now time.Duration, whole bool) (ok bool, after time.Duration)

// play runs a keeper before an agent until the moment until, and returns when each watch that was kept was
// proved, and how many tries there were.
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
				panic(fmt.Sprintf("at %v nothing is to be done, and the next look is due at %v", now, next))
			}
			now = next
		}
	}
	return succeeded, trials
}

// TestTold adds up what may follow a watch that falls silent, for each thing that two tries in a row may come
// to: what it missed is there within the time in which it counts as told.
func TestUpdateDeadline(t *testing.T) {
	ms := time.Millisecond
	bad := []struct {
		name  string
		after time.Duration // 0: says nothing, or never an object
	}{{"says nothing, half a head, half an object, beats only", 0}, {"refuses", ms}, {"ends just before its time", DefaultTiming.TrialTimeout - ms}}
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
					t.Fatalf("proved at %v, silent since %v", proved, silent)
				}
			})
		}
	}
	if sum := DefaultTiming.SilenceTimeout + 3*(DefaultTiming.TrialTimeout+DefaultTiming.MaxRetryDelay); sum >= UpdateDeadline {
		t.Errorf("the bounds come to %v, Told is %v", sum, UpdateDeadline)
	}
}

// TestReturn: discovery is down for long; as it is back a watch stands within a pause and two tries.
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
			t.Errorf("back at %v, proved at %v", back, proved)
		}
		if tries > 40 {
			t.Errorf("%d tries", tries)
		}
	}
}

// TestKept: a watch that speaks is not given up for one that does not, and one that speaks again ends the trial.
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
		t.Fatalf("it speaks again: step %d", s)
	}
	k.AddressChanged(DefaultTiming.SilenceTimeout + 3)
	if s := k.Next(DefaultTiming.SilenceTimeout + 3); s != OpenWatch {
		t.Fatalf("moved: step %d", s)
	}
	k.Received(DefaultTiming.SilenceTimeout + 4)
	if s := k.Next(DefaultTiming.SilenceTimeout + 5); s != Wait || !k.watching {
		t.Fatalf("the former one speaks while the new one is on trial: step %d, kept %v", s, k.watching)
	}
	k.TrialSucceeded(DefaultTiming.SilenceTimeout + 6)
	if s := k.Next(DefaultTiming.SilenceTimeout + 7); s != Wait {
		t.Fatalf("step %d", s)
	}
}

// TestAstray: what does not follow on what is held has the whole list asked for, then a watch from there.
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

// TestSlowAgent: one that needs longer than a try has is heard in the end; one that ends each watch at once is not
// asked more than some times a second.
func TestSlowAgent(t *testing.T) {
	slow := func(time.Duration, bool) (bool, time.Duration) { return true, 3 * time.Second }
	if proved, _ := simulate(NewScheduler(DefaultTiming, false), slow, 0, time.Minute); len(proved) == 0 {
		t.Error("never heard")
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
