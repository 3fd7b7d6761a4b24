package membership

import "time"

// UpdateDeadline is the time within which a change must be applied, whether it has arrived or not. It is counted from
// the moment at which a watch fell silent, or at which discovery had the change and was reachable (the platform's
// standing test).
const UpdateDeadline = 6 * time.Second

// Timing holds the time limits of watches. A trial without an answer may be dead, if it was started while the agent
// was down, or the agent may be slow. Both are covered: further trials are started while earlier ones stay open. An
// agent that answers each request after a delay of at most TrialTimeout is therefore heard TrialInterval and that
// delay after it became reachable, at the latest, whatever became of earlier trials.
type Timing struct {
	SilenceTimeout     time.Duration // without a byte until another watch opens; discovery sends an empty line every 2 s
	TrialInterval      time.Duration // from the start of a trial without an answer to the start of the next one
	TrialTimeout       time.Duration // from the start of a trial to its first object
	OldestTrialTimeout time.Duration // the same for the oldest open trial, for an agent that is slower than TrialTimeout
	RefusedTimeout     time.Duration // the same if all later trials have failed, for an agent that limits open requests
	MinRetryDelay      time.Duration // after the first failed trial
	MaxRetryDelay      time.Duration // maximum after repeated failures
	KnownListDelay     time.Duration // how long a new process waits for the agent before it uses the list known from before
}

// DefaultTiming is the timing used on the platform. What the agent has is binding as soon as it is reachable, hence
// the short TrialInterval; an object that takes longer than UpdateDeadline is late in any case: TrialTimeout exceeds it.
var DefaultTiming = Timing{SilenceTimeout: 2500 * time.Millisecond, TrialInterval: trialInterval, TrialTimeout: 8 * trialInterval,
	OldestTrialTimeout: 30 * time.Second, RefusedTimeout: 3500 * time.Millisecond, MinRetryDelay: 20 * time.Millisecond,
	MaxRetryDelay: 250 * time.Millisecond, KnownListDelay: 1500 * time.Millisecond}

const (
	trialInterval = 850 * time.Millisecond

	// MaxTrials is the maximum number of open trials: TrialTimeout / TrialInterval, and the oldest one.
	MaxTrials = 9

	maxBackoffDoublings = 10 // avoids an overflow of the retry delay
)

// TrialID identifies a trial. IDs ascend in the order of starts.
type TrialID uint64

// trial is a watch, or a request of the whole list, that has not sent an object yet.
type trial struct {
	id            TrialID
	fetchAll      bool
	formerAddress bool // it was started at an address that has been replaced
	startedAt     time.Duration
}

// Scheduler decides when a watch is opened. One watch is current. Others are on trial: the first of them to send an
// object replaces the current one. A working watch is therefore never dropped for one that does not work.
type Scheduler struct {
	timing Timing

	watching      bool
	watchingSince time.Duration // when the current watch became current
	lastReceived  time.Duration // when the current watch last received bytes
	replace       bool          // replace even a working watch: new address, or resync
	fetchAll      bool          // request the whole list before the next watch
	trials        []trial       // open trials, the oldest first
	lastTrial     TrialID
	lastSuccess   TrialID       // the trial that became the current watch
	nextTrial     time.Duration // the next trial starts no earlier
	failures      int
}

// NewScheduler returns a Scheduler without a watch. fetchAll says that there is no list yet that a watch could
// continue from.
func NewScheduler(timing Timing, fetchAll bool) *Scheduler {
	return &Scheduler{timing: timing, fetchAll: fetchAll}
}

// StepKind is what a Step asks for.
type StepKind int

// The kinds of steps.
const (
	Wait          StepKind = iota // do nothing until Due
	OpenWatch                     // open a watch, on trial
	FetchAll                      // request the whole list, on trial
	TrialTimedOut                 // close a trial: it has sent no object in time
	CancelTrial                   // close a trial: it is no longer needed
)

// Step is the next step for the caller of a Scheduler.
type Step struct {
	Kind  StepKind
	Trial TrialID // the trial to start or to close; 0 for Wait
}

// Next returns the step for now. The caller must execute it: the Scheduler takes it as done.
func (s *Scheduler) Next(now time.Duration) Step {
	wanted := s.wanted(now)
	for i, t := range s.trials {
		switch {
		case !wanted || t.fetchAll != s.fetchAll || t.id < s.lastSuccess:
			return s.closeTrial(i, CancelTrial)
		case now >= s.deadline(i):
			return s.closeTrial(i, TrialTimedOut)
		}
	}
	if !wanted || now < s.nextTrial {
		return Step{Kind: Wait}
	}
	if len(s.trials) >= MaxTrials {
		return s.closeTrial(0, TrialTimedOut)
	}
	return s.startTrial(now)
}

// wanted reports whether a trial is needed.
func (s *Scheduler) wanted(now time.Duration) bool {
	return s.fetchAll || !s.watching || s.replace || now >= s.lastReceived+s.timing.SilenceTimeout
}

// deadline returns the time by which the i-th trial must have sent an object. Where all later trials have failed, the
// agent may refuse them because this one is open, and this one may be dead: it makes room for another one early enough
// for both to have the same time.
func (s *Scheduler) deadline(i int) time.Duration {
	t := s.trials[i]
	laterFailed := i == len(s.trials)-1 && t.id != s.lastTrial
	switch {
	case laterFailed:
		return t.startedAt + s.timing.RefusedTimeout
	case i == 0:
		return t.startedAt + s.timing.OldestTrialTimeout
	}
	return t.startedAt + s.timing.TrialTimeout
}

// startTrial starts a trial. The next one follows TrialInterval later, if this one does not end before.
func (s *Scheduler) startTrial(now time.Duration) Step {
	s.lastTrial++
	s.trials = append(s.trials, trial{id: s.lastTrial, fetchAll: s.fetchAll, startedAt: now})
	s.nextTrial = now + s.timing.TrialInterval
	if s.fetchAll {
		return Step{FetchAll, s.lastTrial}
	}
	return Step{OpenWatch, s.lastTrial}
}

// closeTrial removes the i-th trial and returns the step that closes it.
func (s *Scheduler) closeTrial(i int, kind StepKind) Step {
	return Step{kind, s.remove(i).id}
}

// remove removes and returns the i-th trial.
func (s *Scheduler) remove(i int) trial {
	t := s.trials[i]
	s.trials = append(s.trials[:i], s.trials[i+1:]...)
	return t
}

// find returns the index of an open trial, or -1.
func (s *Scheduler) find(id TrialID) int {
	for i, t := range s.trials {
		if t.id == id {
			return i
		}
	}
	return -1
}

// Due returns the time at which Next must be called again at the latest.
func (s *Scheduler) Due(now time.Duration) time.Duration {
	due := s.nextTrial
	if !s.wanted(now) {
		due = max(due, s.lastReceived+s.timing.SilenceTimeout)
	}
	for i := range s.trials {
		due = min(due, s.deadline(i))
	}
	return max(now, due)
}

// Received reports bytes on the current watch.
func (s *Scheduler) Received(now time.Duration) {
	s.lastReceived = now
	if now-s.watchingSince > s.timing.SilenceTimeout {
		s.failures = 0
	}
}

// TrialSucceeded reports the first object on a trial. A watch becomes the current one; a request of the whole list is
// complete. A watch at a former address is useful until there is one at the new address.
func (s *Scheduler) TrialSucceeded(now time.Duration, id TrialID) {
	i := s.find(id)
	if i < 0 {
		return
	}
	t := s.remove(i)
	if t.fetchAll {
		s.fetchAll, s.nextTrial = false, now
		return
	}
	s.watching, s.watchingSince, s.lastReceived, s.lastSuccess = true, now, now, id
	s.replace = t.formerAddress
	if !t.formerAddress {
		s.nextTrial = now
	}
}

// TrialFailed reports that a trial has ended without an object. It is retried early only if no later trial is open,
// so that the rate of requests does not grow with the number of open trials.
func (s *Scheduler) TrialFailed(now time.Duration, id TrialID) {
	i := s.find(id)
	if i < 0 {
		return
	}
	s.remove(i)
	if id == s.lastTrial {
		s.nextTrial = min(s.nextTrial, s.backOff(now))
	}
}

// WatchEnded reports that the current watch has ended.
func (s *Scheduler) WatchEnded(now time.Duration) {
	s.watching = false
	if len(s.trials) == 0 {
		s.nextTrial = s.backOff(now)
	}
}

// backOff returns the time of the next retry, the later the more have failed in a row. It limits the rate of requests
// to an agent that ends each watch at once.
func (s *Scheduler) backOff(now time.Duration) time.Duration {
	delay := min(s.timing.MaxRetryDelay, s.timing.MinRetryDelay<<min(s.failures, maxBackoffDoublings))
	s.failures++
	return now + delay
}

// AddressChanged reports a new address of discovery. A trial starts there at once. The current watch and the open
// trials at the former address stay until a watch at the new address has sent an object.
func (s *Scheduler) AddressChanged(now time.Duration) {
	for i := range s.trials {
		s.trials[i].formerAddress = true
	}
	s.replace, s.failures, s.nextTrial = s.watching, 0, now
}

// Resync reports that an update does not follow on the list held: the whole list is requested, then a new watch from
// its revision. Its retry delay limits the rate of lists from an agent whose updates never follow on its list.
func (s *Scheduler) Resync(now time.Duration) {
	s.fetchAll, s.replace, s.nextTrial = true, s.watching, s.backOff(now)
}
