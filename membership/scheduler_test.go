package membership

import (
	"fmt"
	"testing"
	"time"
)

// fakeAgent simulates discovery: it returns whether a trial that starts at now succeeds, and after what time. With
// after 0 the agent never answers, and the scheduler has to time the trial out.
type fakeAgent func(now time.Duration, whole bool) (ok bool, after time.Duration)

// pending is a simulated trial that ends at a time, or never if that is 0.
type pending struct {
	ok   bool
	ends time.Duration
}

// simulation runs a scheduler against an agent in simulated time.
type simulation struct {
	scheduler *Scheduler
	agent     fakeAgent
	now       time.Duration
	open      map[TrialID]pending
	succeeded []time.Duration // when each trial succeeded
	trials    int             // number of trials
}

func newSimulation(k *Scheduler, a fakeAgent, from time.Duration) *simulation {
	return &simulation{scheduler: k, agent: a, now: from, open: map[TrialID]pending{}}
}

// simulate runs a scheduler against an agent between two times, and returns when each trial succeeded, and the number
// of trials.
func simulate(k *Scheduler, a fakeAgent, from, until time.Duration) (succeeded []time.Duration, trials int) {
	s := newSimulation(k, a, from)
	s.run(until)
	return s.succeeded, s.trials
}

// run continues the simulation until a time.
func (s *simulation) run(until time.Duration) {
	for s.now < until {
		switch step := s.scheduler.Next(s.now); step.Kind {
		case OpenWatch, FetchAll:
			s.trials++
			p := pending{}
			if ok, after := s.agent(s.now, step.Kind == FetchAll); after > 0 {
				p = pending{ok, s.now + after}
			}
			s.open[step.Trial] = p
		case TrialTimedOut, CancelTrial:
			delete(s.open, step.Trial)
		case Wait:
			s.wait(until)
		}
		if len(s.open) > MaxTrials {
			panic(fmt.Sprintf("at %v: %d open trials", s.now, len(s.open)))
		}
	}
}

// wait advances the time to the next event.
func (s *simulation) wait(until time.Duration) {
	next := s.scheduler.Due(s.now)
	id := firstToEnd(s.open)
	if id == 0 || s.open[id].ends > min(next, until) {
		if next <= s.now {
			panic(fmt.Sprintf("at %v: nothing to do, but Due is %v", s.now, next))
		}
		s.now = min(next, until)
		return
	}
	s.now = max(s.now, s.open[id].ends)
	if s.open[id].ok {
		s.succeeded = append(s.succeeded, s.now)
		s.scheduler.TrialSucceeded(s.now, id)
	} else {
		s.scheduler.TrialFailed(s.now, id)
	}
	delete(s.open, id)
}

// changeAddress reports a new address. The agent at the former one closes its connections after a time.
func (s *simulation) changeAddress(closesAfter time.Duration) {
	s.scheduler.AddressChanged(s.now)
	for id, p := range s.open {
		if p.ends == 0 || p.ends > s.now+closesAfter {
			s.open[id] = pending{false, s.now + closesAfter}
		}
	}
}

// firstToEnd returns the trial that ends next, or 0.
func firstToEnd(open map[TrialID]pending) (first TrialID) {
	for id, p := range open {
		if p.ends > 0 && (first == 0 || p.ends < open[first].ends || p.ends == open[first].ends && id < first) {
			first = id
		}
	}
	return first
}

// TestUpdateDeadline checks that the changes which a silent watch missed arrive within UpdateDeadline, for each
// combination of ways in which the next two trials may fail.
func TestUpdateDeadline(t *testing.T) {
	ms := time.Millisecond
	bad := []struct {
		name  string
		after time.Duration // 0: sends nothing, or never an object
	}{{"sends nothing, half a head, half an object, empty lines only", 0}, {"refuses", ms}, {"ends after 599 ms", 599 * ms},
		{"ends just before the next trial", DefaultTiming.TrialInterval - ms}}
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
					return true, 599 * ms
				}, silent, silent+2*UpdateDeadline)
				if len(proved) == 0 || proved[0] > silent+UpdateDeadline-250*ms {
					t.Fatalf("succeeded at %v, silent since %v", proved, silent)
				}
			})
		}
	}
	if sum := DefaultTiming.SilenceTimeout + 3*max(DefaultTiming.TrialInterval, DefaultTiming.MaxRetryDelay); sum >= UpdateDeadline {
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
		if len(proved) < 1 || proved[0]-back > DefaultTiming.TrialInterval+10*time.Millisecond {
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
	first := k.Next(0)
	if first.Kind != OpenWatch {
		t.Fatalf("step %+v", first)
	}
	k.TrialSucceeded(0, first.Trial)
	if s := k.Next(DefaultTiming.SilenceTimeout - 1); s.Kind != Wait || k.Due(0) != DefaultTiming.SilenceTimeout {
		t.Fatalf("step %+v, due %v", s, k.Due(0))
	}
	second := k.Next(DefaultTiming.SilenceTimeout)
	if second.Kind != OpenWatch {
		t.Fatalf("silent: step %+v", second)
	}
	k.Received(DefaultTiming.SilenceTimeout + 1)
	if s := k.Next(DefaultTiming.SilenceTimeout + 2); s != (Step{CancelTrial, second.Trial}) {
		t.Fatalf("received bytes again: step %+v", s)
	}
	k.AddressChanged(DefaultTiming.SilenceTimeout + 3)
	third := k.Next(DefaultTiming.SilenceTimeout + 3)
	if third.Kind != OpenWatch {
		t.Fatalf("address changed: step %+v", third)
	}
	k.Received(DefaultTiming.SilenceTimeout + 4)
	if s := k.Next(DefaultTiming.SilenceTimeout + 5); s.Kind != Wait || !k.watching {
		t.Fatalf("the former watch receives bytes while the new one is on trial: step %+v, watching %v", s, k.watching)
	}
	k.TrialSucceeded(DefaultTiming.SilenceTimeout+6, third.Trial)
	if s := k.Next(DefaultTiming.SilenceTimeout + 7); s.Kind != Wait {
		t.Fatalf("step %+v", s)
	}
}

// TestResync checks that Resync causes a request of the whole list, then of a new watch.
func TestResync(t *testing.T) {
	k := NewScheduler(DefaultTiming, true)
	now := time.Duration(0)
	for i, want := range []StepKind{FetchAll, OpenWatch, Wait, Wait, FetchAll, OpenWatch, Wait} {
		switch i {
		case 3:
			k.Resync(now)
		case 4:
			now += DefaultTiming.MinRetryDelay
		}
		s := k.Next(now)
		if s.Kind != want {
			t.Fatalf("step %d is %+v, expected %d", i, s, want)
		}
		if s.Kind != Wait {
			k.TrialSucceeded(now, s.Trial)
		}
	}
}

// TestResyncCancelsWatches checks that a request of the whole list, once it is needed, replaces watches on trial: they
// would continue from a revision that does not apply.
func TestResyncCancelsWatches(t *testing.T) {
	k := NewScheduler(DefaultTiming, false)
	slow := k.Next(0)
	second := k.Next(DefaultTiming.TrialInterval)
	k.TrialSucceeded(DefaultTiming.TrialInterval, slow.Trial)
	k.Resync(DefaultTiming.TrialInterval)
	for i, want := range []Step{{CancelTrial, second.Trial}, {Wait, 0}, {FetchAll, second.Trial + 1}, {Wait, 0}} {
		if s := k.Next(DefaultTiming.TrialInterval + time.Duration(i/2)*DefaultTiming.MinRetryDelay); s != want {
			t.Fatalf("step %d is %+v, expected %+v", i, s, want)
		}
	}
}

// TestResyncRate guards against an unlimited rate of requests for the whole list to an agent whose updates are always
// older than its list.
func TestResyncRate(t *testing.T) {
	k, now, lists := NewScheduler(DefaultTiming, false), time.Duration(0), 0
	for now < 10*time.Second && lists < 1000 {
		switch s := k.Next(now); s.Kind {
		case FetchAll:
			lists++
			k.TrialSucceeded(now, s.Trial)
		case OpenWatch:
			k.TrialSucceeded(now, s.Trial)
			k.Resync(now)
		default:
			now = max(now+time.Millisecond, k.Due(now))
		}
	}
	if lists > 60 {
		t.Errorf("%d lists in %v", lists, now)
	}
}

// TestSlowAgent checks that a slow agent gets through in the end, and that an agent which ends each watch at once gets
// only a few requests a second.
func TestSlowAgent(t *testing.T) {
	slow := func(time.Duration, bool) (bool, time.Duration) { return true, 3 * time.Second }
	if succeeded, _ := simulate(NewScheduler(DefaultTiming, false), slow, 0, time.Minute); len(succeeded) == 0 {
		t.Error("no trial succeeded")
	}
	k, now, tries := NewScheduler(DefaultTiming, false), time.Duration(0), 0
	for now < 10*time.Second {
		if s := k.Next(now); s.Kind == OpenWatch {
			tries++
			k.TrialSucceeded(now, s.Trial)
			k.WatchEnded(now)
		}
		now = max(now+time.Millisecond, k.Due(now))
	}
	if tries > 60 {
		t.Errorf("%d watches in 10 s", tries)
	}
}
