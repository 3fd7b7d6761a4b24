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
	SilenceTimeout time.Duration // without a byte, until another watch is opened; discovery sends an empty line every 2 s
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
// it with its first object. So a working watch is never dropped for one that does not work.
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
	TrialTimedOut             // close the watch on trial: it has had no object in time
	CancelTrial               // close the watch on trial: the current watch works again
)

// Next returns the step for now. The caller must execute it: the Scheduler takes it as done.
func (k *Scheduler) Next(now time.Duration) Step {
	wanted := k.fetchAll || !k.watching || k.replace || now >= k.lastReceived+k.timing.SilenceTimeout
	switch {
	case k.trial && !wanted:
		k.trial = false
		return CancelTrial
	case k.trial && now >= k.trialDeadline:
		k.TrialFailed(now)
		return TrialTimedOut
	case k.trial || !wanted || now < k.notBefore:
		return Wait
	}
	k.trial, k.trialDeadline = true, now+k.timing.TrialTimeout<<min(max(0, k.failures-extendAfterFailures), maxTrialDoublings)
	if k.fetchAll {
		return FetchAll
	}
	return OpenWatch
}

// Due returns the time at which Next must be called again at the latest.
func (k *Scheduler) Due(now time.Duration) time.Duration {
	switch {
	case k.trial:
		return k.trialDeadline
	case !k.watching || k.replace || k.fetchAll || now >= k.lastReceived+k.timing.SilenceTimeout:
		return max(now, k.notBefore)
	}
	return max(k.lastReceived+k.timing.SilenceTimeout, k.notBefore)
}

// Received reports bytes on the current watch.
func (k *Scheduler) Received(now time.Duration) {
	k.lastReceived = now
	if now-k.watchingSince > k.timing.SilenceTimeout {
		k.failures = 0
	}
}

// TrialSucceeded reports the first object on trial. A watch becomes the current one; a request of the whole list is
// complete.
func (k *Scheduler) TrialSucceeded(now time.Duration) {
	k.trial = false
	if k.fetchAll {
		k.fetchAll = false
		return
	}
	k.watching, k.replace, k.watchingSince, k.lastReceived = true, false, now, now
}

// TrialFailed reports that the watch on trial has ended without an object.
func (k *Scheduler) TrialFailed(now time.Duration) {
	k.trial = false
	k.backOff(now)
}

// WatchEnded reports that the current watch has ended.
func (k *Scheduler) WatchEnded(now time.Duration) {
	k.watching = false
	if !k.trial {
		k.backOff(now)
	}
}

// backOff delays the next trial, the longer the more have failed in a row. It limits the rate of requests to an agent
// that ends each watch at once.
func (k *Scheduler) backOff(now time.Duration) {
	k.notBefore = now + min(k.timing.MaxRetryDelay, k.timing.MinRetryDelay<<min(k.failures, 10))
	k.failures++
}

// AddressChanged reports a new address of discovery. The current watch stays until a watch at the new address has
// sent an object. The caller closes the watch on trial.
func (k *Scheduler) AddressChanged(now time.Duration) {
	k.trial, k.replace, k.failures, k.notBefore = false, k.watching, 0, now
}

// Resync reports that an update does not follow on the list held: the whole list is requested, then a new watch from
// its revision.
func (k *Scheduler) Resync() { k.fetchAll, k.replace = true, k.watching }
