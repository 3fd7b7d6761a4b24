package membership

import "time"

// Told is within what time a change counts as told, whether it arrived or not: from the moment at which a watch
// fell silent, or at which discovery had the change and could be reached (the platform's standing test).
const Told = 6 * time.Second

// Times are the bounds that together keep Told: Silence + 3 x (Try + PauseTop) is less, so that two tries in a
// row may come to nothing. A change that the agent has after it was down counts at once: a try is short.
type Times struct {
	Silence  time.Duration // without a byte, after which another watch is asked for; an empty line comes every 2 s
	Try      time.Duration // from the dial to the first object, which an agent on the same machine sends at once
	PauseLow time.Duration // between tries, at first
	PauseTop time.Duration // and at most
	Start    time.Duration // a new process waits so long for the agent before the list known from before applies
}

// slowAfter is after how many tries on end without an object the next ones get twice the time each, slowMost times at
// most: Told is lost by then, and an agent that needs longer for its list is to be heard at all.
const (
	slowAfter = 8
	slowMost  = 4
)

// Usual are the times on the platform.
var Usual = Times{Silence: 2500 * time.Millisecond, Try: 600 * time.Millisecond, PauseLow: 20 * time.Millisecond,
	PauseTop: 250 * time.Millisecond, Start: 1500 * time.Millisecond}

// Keeper decides when a watch is asked for. At most two are open: the one that is kept, and one on trial, which
// takes its place with its first object. So a watch that still speaks is never given up for one that does not.
type Keeper struct {
	times Times

	kept     bool
	since    time.Duration // of the one that is kept
	heardAt  time.Duration // when it last spoke
	replace  bool          // another one is wanted however much it speaks: another address, or another version
	whole    bool          // the whole list is asked for first
	trial    bool
	trialBy  time.Duration
	nextAt   time.Duration // not before
	failures int
}

// NewKeeper returns one that has nothing. whole says that there is no list from which a watch could go on.
func NewKeeper(times Times, whole bool) *Keeper { return &Keeper{times: times, whole: whole} }

// Step is what is to be done.
type Step int

// The steps.
const (
	Rest    Step = iota // nothing until the moment that Due says
	Ask                 // ask for a watch
	AskAll              // ask for the whole list, once
	GiveUp              // the one on trial has had its time: end it
	Refrain             // the one kept speaks again: end the one on trial
)

// Next says what is to be done now. Ask, AskAll and GiveUp are booked as done.
func (k *Keeper) Next(now time.Duration) Step {
	wanted := k.whole || !k.kept || k.replace || now >= k.heardAt+k.times.Silence
	switch {
	case k.trial && !wanted:
		k.trial = false
		return Refrain
	case k.trial && now >= k.trialBy:
		k.Failed(now)
		return GiveUp
	case k.trial || !wanted || now < k.nextAt:
		return Rest
	}
	k.trial, k.trialBy = true, now+k.times.Try<<min(max(0, k.failures-slowAfter), slowMost)
	if k.whole {
		return AskAll
	}
	return Ask
}

// Due is when Next has to be asked again at the latest.
func (k *Keeper) Due(now time.Duration) time.Duration {
	switch {
	case k.trial:
		return k.trialBy
	case !k.kept || k.replace || k.whole || now >= k.heardAt+k.times.Silence:
		return max(now, k.nextAt)
	}
	return max(k.heardAt+k.times.Silence, k.nextAt)
}

// Heard books bytes on the watch that is kept.
func (k *Keeper) Heard(now time.Duration) {
	k.heardAt = now
	if now-k.since > k.times.Silence {
		k.failures = 0
	}
}

// Proved books the first object on the one on trial. A watch is kept from now on; a whole list was all that was
// asked for.
func (k *Keeper) Proved(now time.Duration) {
	k.trial = false
	if k.whole {
		k.whole = false
		return
	}
	k.kept, k.replace, k.since, k.heardAt = true, false, now, now
}

// Failed books that the one on trial came to nothing.
func (k *Keeper) Failed(now time.Duration) {
	k.trial = false
	k.pause(now)
}

// Ended books that the one that is kept has ended.
func (k *Keeper) Ended(now time.Duration) {
	k.kept = false
	if !k.trial {
		k.pause(now)
	}
}

// pause puts the next try off, the longer the more failed on end. Guards against an agent that ends each watch
// at once.
func (k *Keeper) pause(now time.Duration) {
	k.nextAt = now + min(k.times.PauseTop, k.times.PauseLow<<min(k.failures, 10))
	k.failures++
}

// Moved books that discovery is at another address: the one kept stays until a watch there speaks. The one on
// trial is to be ended by who calls.
func (k *Keeper) Moved(now time.Duration) {
	k.trial, k.replace, k.failures, k.nextAt = false, k.kept, 0, now
}

// Astray books that what is held and what is told do not follow on each other: the whole list is asked for, then
// another watch from there.
func (k *Keeper) Astray() { k.whole, k.replace = true, k.kept }
