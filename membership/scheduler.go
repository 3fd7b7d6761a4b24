package membership

import "time"

// UpdateDeadline is the time within which a change must be applied, whether it has arrived or not. It is counted from
// the moment at which a watch fell silent, or at which discovery had the change and was reachable (the platform's
// standing test).
const UpdateDeadline = 6 * time.Second

// Timing holds the bounds that together meet UpdateDeadline: SilenceTimeout + 3 x (TrialTimeout + MaxRetryDelay) is
// less, so that two consecutive trials may fail. A change that the agent has after downtime is due at once, hence
// the short TrialTimeout.
type Timing struct {
	SilenceTimeout time.Duration // without a byte until another watch opens; discovery sends an empty line every 2 s
	TrialTimeout   time.Duration // from the dial to the first object, which the agent on the same machine sends at once
	MinRetryDelay  time.Duration // after the first failed trial
	MaxRetryDelay  time.Duration // maximum after repeated failures
	KnownListDelay time.Duration // how long a new process waits for the agent before it uses the list known from before
}

// After extendAfterFailures consecutive failures, each further trial gets twice the time of the one before, up to
// maxTrialDoublings times. UpdateDeadline is missed by then; an agent that needs longer for its list still gets
// through.
const (
	extendAfterFailures = 8
	maxTrialDoublings   = 4
)

// DefaultTiming is the timing used on the platform.
var DefaultTiming = Timing{SilenceTimeout: 2500 * time.Millisecond, TrialTimeout: 600 * time.Millisecond,
	MinRetryDelay: 20 * time.Millisecond, MaxRetryDelay: 250 * time.Millisecond, KnownListDelay: 1500 * time.Millisecond}

// Scheduler decides when a watch is opened. At most two are open: the current watch, and one on trial, which replaces
// it with its first object. A working watch is therefore never dropped for one that does not work.
type Scheduler struct {
	timing Timing

	watching      bool
	watchingSince time.Duration // when the current watch became current
	lastReceived  time.Duration // when the current watch last received bytes
	replace       bool          // replace even a working watch: new address, or resync
	fetchAll      bool          // request the whole list before the next watch
	trial         bool
	trialDeadline time.Duration
	notBefore     time.Duration // the next trial starts no earlier
	failures      int
}

// NewScheduler returns a Scheduler without a watch. fetchAll says that there is no list yet that a watch could
// continue from.
func NewScheduler(timing Timing, fetchAll bool) *Scheduler {
	return &Scheduler{timing: timing, fetchAll: fetchAll}
}

// Step is the next step for the caller of a Scheduler.
type Step int

// The steps.
const (
	Wait          Step = iota // do nothing until Due
	OpenWatch                 // open a watch, on trial
	FetchAll                  // request the whole list, on trial
	TrialTimedOut             // close the watch on trial: it has sent no object in time
	CancelTrial               // close the watch on trial: the current watch works again
)

// Next returns the step for now. The caller must execute it: the Scheduler takes it as done.
func (s *Scheduler) Next(now time.Duration) Step {
	wanted := s.fetchAll || !s.watching || s.replace || now >= s.lastReceived+s.timing.SilenceTimeout
	switch {
	case s.trial && !wanted:
		s.trial = false
		return CancelTrial
	case s.trial && now >= s.trialDeadline:
		s.TrialFailed(now)
		return TrialTimedOut
	case s.trial || !wanted || now < s.notBefore:
		return Wait
	}
	s.trial, s.trialDeadline = true, now+s.timing.TrialTimeout<<min(max(0, s.failures-extendAfterFailures), maxTrialDoublings)
	if s.fetchAll {
		return FetchAll
	}
	return OpenWatch
}

// Due returns the time at which Next must be called again at the latest.
func (s *Scheduler) Due(now time.Duration) time.Duration {
	switch {
	case s.trial:
		return s.trialDeadline
	case !s.watching || s.replace || s.fetchAll || now >= s.lastReceived+s.timing.SilenceTimeout:
		return max(now, s.notBefore)
	}
	return max(s.lastReceived+s.timing.SilenceTimeout, s.notBefore)
}

// Received reports bytes on the current watch.
func (s *Scheduler) Received(now time.Duration) {
	s.lastReceived = now
	if now-s.watchingSince > s.timing.SilenceTimeout {
		s.failures = 0
	}
}

// TrialSucceeded reports the first object on trial. A watch becomes the current one; a request of the whole list is
// complete.
func (s *Scheduler) TrialSucceeded(now time.Duration) {
	s.trial = false
	if s.fetchAll {
		s.fetchAll = false
		return
	}
	s.watching, s.replace, s.watchingSince, s.lastReceived = true, false, now, now
}

// TrialFailed reports that the watch on trial has ended without an object.
func (s *Scheduler) TrialFailed(now time.Duration) {
	s.trial = false
	s.backOff(now)
}

// WatchEnded reports that the current watch has ended.
func (s *Scheduler) WatchEnded(now time.Duration) {
	s.watching = false
	if !s.trial {
		s.backOff(now)
	}
}

// backOff delays the next trial, the longer the more have failed in a row. It limits the rate of requests to an agent
// that ends each watch at once.
func (s *Scheduler) backOff(now time.Duration) {
	s.notBefore = now + min(s.timing.MaxRetryDelay, s.timing.MinRetryDelay<<min(s.failures, 10))
	s.failures++
}

// AddressChanged reports a new address of discovery. The current watch stays until a watch at the new address has
// sent an object. The caller closes the watch on trial.
func (s *Scheduler) AddressChanged(now time.Duration) {
	s.trial, s.replace, s.failures, s.notBefore = false, s.watching, 0, now
}

// Resync reports that an update does not follow on the list held: the whole list is requested, then a new watch from
// its revision.
func (s *Scheduler) Resync() { s.fetchAll, s.replace = true, s.watching }
