// Package pacing decides how a transfer requests its extents: how many at a time, how long each may take, and what
// follows when a request is refused or fails. A transfer makes many requests to the module (package control), which
// decides about each of them; this package implements the behaviour of the module's client. It does no I/O, reads no
// clock and starts no goroutine. The rsync front uses it.
//
// It follows the rules for well-behaved clients: an extent is requested at most MaxTries times, a retry is marked as
// one, the retry-after of a refusal is honoured, and no request is made that cannot finish within the client's timeout.
package pacing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Settings limit a transfer.
type Settings struct {
	MaxTries        int           // maximum number of requests for an extent, retries included
	ExtentTimeout   time.Duration // time limit of an extent over all tries; less with a short client timeout
	TimeoutFraction float64       // fraction of the client's own timeout that an extent may take
	MinTryTime      time.Duration // a try with less time left than this is not made
	InitialWindow   int           // initial number of extents requested at a time
	MaxWindow       int           // maximum number of extents requested at a time
	ShardPause      time.Duration // time for which extents of a shard get a single try after one was given up
	MaxFilesLeftOut int           // number of consecutive files left out after which the transfer ends
}

// Default holds the default settings.
var Default = Settings{MaxTries: 4, ExtentTimeout: 8 * time.Second, TimeoutFraction: 0.6, MinTryTime: 20 * time.Millisecond,
	InitialWindow: 2, MaxWindow: 8, ShardPause: 5 * time.Second, MaxFilesLeftOut: 16}

// Check returns an error that describes the first invalid setting.
func (s Settings) Check() error {
	switch {
	case s.MaxTries < 1 || s.MaxTries > 4:
		return fmt.Errorf("tries = %d: expected 1 to 4", s.MaxTries)
	case s.ExtentTimeout <= 0 || s.MinTryTime <= 0 || s.MinTryTime >= s.ExtentTimeout:
		return fmt.Errorf("patience = %v, least = %v: expected 0 < least < patience", s.ExtentTimeout, s.MinTryTime)
	case !(s.TimeoutFraction > 0 && s.TimeoutFraction < 1):
		return fmt.Errorf("timeout_part = %v: expected more than 0 and less than 1", s.TimeoutFraction)
	case s.InitialWindow < 1 || s.MaxWindow < s.InitialWindow:
		return fmt.Errorf("window_start = %d, window_top = %d: expected 1 <= start <= top", s.InitialWindow, s.MaxWindow)
	case s.ShardPause < 0 || s.MaxFilesLeftOut < 1:
		return fmt.Errorf("shard_pause = %v, leave_out = %d: expected 0 or more, 1 or more", s.ShardPause, s.MaxFilesLeftOut)
	}
	return nil
}

// Transfer is the state of one transfer. It is not safe for concurrent use.
type Transfer struct {
	settings       Settings
	extentTimeout  time.Duration
	window         float64
	inFlight       int // extents requested and not answered yet
	windowHalvedAt time.Duration
	failedShards   map[int]time.Duration // shards with an abandoned extent, until the end of their pause
	leftOutInRow   int                   // consecutive files left out

	rng           *rand.Rand
	rate          float64 // bytes per second; 0: no limit
	debtBytes     float64 // bytes requested in excess of the rate, as of debtUpdatedAt
	debtUpdatedAt time.Duration
}

// New returns the state of a new transfer. timeout is the client's own timeout (0: none), and rate its limit in bytes
// per second (0: none). The seed randomizes pauses, so that transfers refused together do not retry together.
func New(settings Settings, timeout time.Duration, rate float64, seed uint64) *Transfer {
	t := &Transfer{settings: settings, extentTimeout: settings.ExtentTimeout, window: float64(settings.InitialWindow),
		failedShards: map[int]time.Duration{}, rate: rate, rng: rand.New(rand.NewPCG(seed, 0))}
	if timeout > 0 {
		t.extentTimeout = min(t.extentTimeout, time.Duration(settings.TimeoutFraction*float64(timeout)))
	}
	return t
}

// Extent is the state of one extent of a transfer.
type Extent struct {
	Shard     int
	Prefetch  bool          // the client does not wait for it yet
	deadline  time.Duration // deadline of its class
	expiresAt time.Duration // time after which an answer is of no use
	sentAt    time.Duration
	tries     int
}

// Tries returns how often the extent has been requested.
func (x *Extent) Tries() int { return x.tries }

// MayRequest reports whether another extent may be requested now. If only the transfer's rate prevents it, at is the
// time at which one may be requested.
func (t *Transfer) MayRequest(now time.Duration) (ok bool, at time.Duration) {
	if t.inFlight >= int(t.window) {
		return false, 0
	}
	if t.rate > 0 {
		t.debtBytes = math.Max(0, t.debtBytes-t.rate*(now-t.debtUpdatedAt).Seconds())
		t.debtUpdatedAt = now
		if t.debtBytes > 0 {
			return false, now + time.Duration(t.debtBytes/t.rate*float64(time.Second))
		}
	}
	return true, 0
}

// ExtentTimeout returns how long an extent may take over all its tries, which is also how long an extent that a client
// waits for may be held back from its first try.
func (t *Transfer) ExtentTimeout() time.Duration { return t.extentTimeout }

// Window returns the maximum number of extents that may be requested at a time.
func (t *Transfer) Window() int { return int(t.window) }

// StartExtent registers an extent of the given size that is wanted now. shard is the shard that stores it, or negative
// if unknown; deadline is the deadline of its class.
func (t *Transfer) StartExtent(now time.Duration, shard, bytes int, deadline time.Duration) *Extent {
	if t.rate > 0 {
		t.debtBytes += float64(bytes)
	}
	return &Extent{Shard: shard, deadline: deadline, expiresAt: now + t.extentTimeout}
}

// Try describes a request to be made.
type Try struct {
	Expires time.Duration // time from now
	Retry   bool          // the request is a retry
}

// StartTry registers a try of the extent. ok is false if no time or no tries are left.
func (t *Transfer) StartTry(x *Extent, now time.Duration) (Try, bool) {
	remaining := x.expiresAt - now
	if remaining < t.settings.MinTryTime || x.tries >= t.settings.MaxTries {
		return Try{}, false
	}
	x.tries++
	x.sentAt = now
	t.inFlight++
	return Try{Expires: min(remaining, x.deadline), Retry: x.tries > 1}, true
}

// TryResult is the result of a try.
type TryResult int

// Results of a try.
const (
	Served  TryResult = iota
	Refused           // nothing was executed, or a retry is harmless
	Failed            // a failed read, or a write that may have been executed and is retried under another name
)

// Step is the kind of action that follows a try.
type Step int

// Actions after a try.
const (
	Done   Step = iota
	Retry       // retry at NextStep.At
	GiveUp      // abandon the extent: its file is left out
	Hold        // a prefetch waits for Transfer.Needed
)

// NextStep is the action that follows a try.
type NextStep struct {
	Step       Step
	At         time.Duration // Retry: time of the retry
	RetryAfter time.Duration // GiveUp: time from now after which the client should retry; 0: unknown
}

// firstPauseDivisor gives the minimum pause before the second try as a fraction of the extent's time limit. Each
// further pause is twice as long, and a random time of up to the same length is added. This prevents a short
// retry-after from using up all tries while the cause persists, and a thousand transfers that are refused together
// from retrying together and being refused again. The cost is a longer wait after refusals that would have passed
// within milliseconds.
const firstPauseDivisor = 32

// TryEnded records the result of a try and returns what to do next. retryAfter is the retry-after of a refusal.
func (t *Transfer) TryEnded(x *Extent, now time.Duration, kind TryResult, retryAfter time.Duration) NextStep {
	t.inFlight--
	if kind == Served {
		if t.inFlight+1 >= int(t.window) { // the window limited the transfer
			t.window = min(float64(t.settings.MaxWindow), t.window+1/t.window)
		}
		delete(t.failedShards, x.Shard)
		return NextStep{Step: Done}
	}
	if x.sentAt >= t.windowHalvedAt { // once for all tries in flight at that time
		t.window = max(1, t.window/2)
		t.windowHalvedAt = now
	}
	pause := t.extentTimeout / firstPauseDivisor << (x.tries - 1)
	if kind == Refused {
		pause = max(pause, retryAfter)
	}
	retryAt := now + pause + time.Duration(t.rng.Int64N(int64(pause)+1))
	maxTries := t.settings.MaxTries
	if until, failed := t.failedShards[x.Shard]; failed && now < until {
		maxTries = 1
	}
	inTime := retryAt+t.settings.MinTryTime <= x.expiresAt
	switch {
	case x.Prefetch && maxTries > 1 && x.tries < maxTries && (x.tries == maxTries-1 || !inTime):
		return NextStep{Step: Hold}
	case x.tries < maxTries && inTime:
		return NextStep{Step: Retry, At: retryAt}
	}
	if x.Shard >= 0 {
		t.failedShards[x.Shard] = now + t.settings.ShardPause
	}
	clientRetryAfter := time.Duration(0)
	if kind == Refused {
		clientRetryAfter = max(retryAfter, time.Millisecond)
	}
	return NextStep{Step: GiveUp, RetryAfter: clientRetryAfter}
}

// MayHold reports whether an extent for which no time is left can wait until the client needs it. The last try of a
// prefetch is kept for that: a client that does not read for a while is not to lose its file because extents which it
// did not need yet were refused meanwhile.
func (t *Transfer) MayHold(x *Extent) bool { return x.Prefetch && x.tries < t.settings.MaxTries }

// Needed records that the client waits for an extent from now on. The time limit of a prefetch starts anew; its tries
// do not.
func (t *Transfer) Needed(x *Extent, now time.Duration) {
	if x.Prefetch {
		x.Prefetch, x.expiresAt = false, now+t.extentTimeout
	}
}

// TryAbandoned records that the answer to a try is no longer awaited.
func (t *Transfer) TryAbandoned(*Extent) { t.inFlight-- }

// FileEnded records that a file was finished or left out, and reports whether the transfer ends now: after
// MaxFilesLeftOut consecutive files left out, continuing would only use up the client's time.
func (t *Transfer) FileEnded(ok bool) (end bool) {
	if ok {
		t.leftOutInRow = 0
		return false
	}
	t.leftOutInRow++
	return t.leftOutInRow >= t.settings.MaxFilesLeftOut
}
