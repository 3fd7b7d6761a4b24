// Package pacing decides how one transfer asks for its extents: how many at a time,
// how long each may take, and what follows a refusal or a failure of one. A transfer
// is many requests to the module (control), which decides each of them; here is what
// the module's client does. The package does no I/O, reads no clock and starts no
// goroutine. Its caller is a front.
//
// It keeps the rules of a client that behaves: an extent is asked for at most Tries
// times, a repeat is marked as one, a refusal's retry-after is waited for, and nothing
// is asked that cannot end in the client's time.
package pacing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Settings bound a transfer.
type Settings struct {
	Tries       int           // times an extent is asked for in all
	Patience    time.Duration // an extent's time, from the first try on, if the client names no timeout
	TimeoutPart float64       // part of the client's own timeout that an extent may take
	Least       time.Duration // a try that has less time than this is not made
	WindowStart int           // extents asked for at a time, at first
	WindowTop   int           // and at most
	ShardPause  time.Duration // after an extent of a shard was given up, others there get one try for so long
	LeaveOut    int           // files left out in a row, after which the transfer ends
}

// Default is what the settings begin with.
var Default = Settings{Tries: 4, Patience: 8 * time.Second, TimeoutPart: 0.6, Least: 20 * time.Millisecond,
	WindowStart: 2, WindowTop: 8, ShardPause: 5 * time.Second, LeaveOut: 16}

// Check names the first setting that cannot be.
func (s Settings) Check() error {
	switch {
	case s.Tries < 1 || s.Tries > 4:
		return fmt.Errorf("tries = %d: expected 1 to 4", s.Tries)
	case s.Patience <= 0 || s.Least <= 0 || s.Least >= s.Patience:
		return fmt.Errorf("patience = %v, least = %v: expected 0 < least < patience", s.Patience, s.Least)
	case !(s.TimeoutPart > 0 && s.TimeoutPart < 1):
		return fmt.Errorf("timeout_part = %v: expected more than 0 and less than 1", s.TimeoutPart)
	case s.WindowStart < 1 || s.WindowTop < s.WindowStart:
		return fmt.Errorf("window_start = %d, window_top = %d: expected 1 <= start <= top", s.WindowStart, s.WindowTop)
	case s.ShardPause < 0 || s.LeaveOut < 1:
		return fmt.Errorf("shard_pause = %v, leave_out = %d: expected 0 or more, 1 or more", s.ShardPause, s.LeaveOut)
	}
	return nil
}

// Transfer is the state of one transfer.
type Transfer struct {
	set      Settings
	patience time.Duration
	window   float64
	out      int // extents asked for and not answered
	halvedAt time.Duration
	shards   map[int]time.Duration // shards with an extent given up, until when
	inRow    int                   // files left out without one served between

	rng   *rand.Rand
	rate  float64 // bytes a second; 0: no limit
	owed  float64 // bytes beyond the rate
	count time.Duration
}

// New begins a transfer. timeout is the client's own (0: none), rate its limit in
// bytes a second (0: none). The seed keeps transfers that were refused together from
// coming back together.
func New(set Settings, timeout time.Duration, rate float64, seed uint64) *Transfer {
	t := &Transfer{set: set, patience: set.Patience, window: float64(set.WindowStart),
		shards: map[int]time.Duration{}, rate: rate, rng: rand.New(rand.NewPCG(seed, 0))}
	if timeout > 0 {
		t.patience = min(t.patience, time.Duration(set.TimeoutPart*float64(timeout)))
	}
	return t
}

// Extent is the state of one extent of a transfer.
type Extent struct {
	Shard    int
	deadline time.Duration // of its class
	until    time.Duration // the last moment at which an answer is of use
	sentAt   time.Duration
	tries    int
}

// Tries is how often the extent has been asked for.
func (x *Extent) Tries() int { return x.tries }

// Room says whether another extent may be asked for now; if not because of the
// transfer's rate, when.
func (t *Transfer) Room(now time.Duration) (ok bool, at time.Duration) {
	if t.out >= int(t.window) {
		return false, 0
	}
	if t.rate > 0 {
		t.owed = math.Max(0, t.owed-t.rate*(now-t.count).Seconds())
		t.count = now
		if t.owed > 0 {
			return false, now + time.Duration(t.owed/t.rate*float64(time.Second))
		}
	}
	return true, 0
}

// Patience is how long an extent may take over all its tries, and how long one that a
// client waits for may be kept from its first.
func (t *Transfer) Patience() time.Duration { return t.patience }

// Window is the number of extents that may be asked for at a time.
func (t *Transfer) Window() int { return int(t.window) }

// Begin books an extent of so many bytes that is wanted now. shard is where it lies,
// or negative; deadline is its class's.
func (t *Transfer) Begin(now time.Duration, shard, bytes int, deadline time.Duration) *Extent {
	if t.rate > 0 {
		t.owed += float64(bytes)
	}
	return &Extent{Shard: shard, deadline: deadline, until: now + t.patience}
}

// Try is one request to be made.
type Try struct {
	Expires time.Duration // from now
	Retry   bool          // marks a repeat
}

// Ask books a try of the extent. ok is false if there is no time left for one.
func (t *Transfer) Ask(x *Extent, now time.Duration) (Try, bool) {
	left := x.until - now
	if left < t.set.Least || x.tries >= t.set.Tries {
		return Try{}, false
	}
	x.tries++
	x.sentAt = now
	t.out++
	return Try{Expires: min(left, x.deadline), Retry: x.tries > 1}, true
}

// Kind is how a try ended.
type Kind int

// The kinds.
const (
	Served  Kind = iota
	Refused      // nothing ran, or a repeat is harmless
	Failed       // a read; or a write that may have run, to be repeated under another name
)

// What is to be done next.
type What int

// The kinds of next step.
const (
	Done  What = iota
	Again      // ask again at Next.At
	Leave      // give the extent up: its file is left out
)

// Next says what follows the end of a try.
type Next struct {
	What What
	At   time.Duration // Again
	Back time.Duration // Leave: when it is worth to come back, from now; 0: unknown
}

// firstPause is the part of the patience that passes at least before the second try;
// each further pause is twice as long, and each is drawn out by up to as much again.
// Guards against hints so short that all tries are used up while the trouble has not
// moved, and against a thousand transfers that are refused at once, come back at once,
// and are refused again. Harm: a refusal that only meant a few milliseconds costs more
// of them.
const firstPause = 32

// Ended books the end of a try. retryAfter is what a refusal asked for.
func (t *Transfer) Ended(x *Extent, now time.Duration, kind Kind, retryAfter time.Duration) Next {
	t.out--
	if kind == Served {
		if t.out+1 >= int(t.window) { // it was of use
			t.window = min(float64(t.set.WindowTop), t.window+1/t.window)
		}
		delete(t.shards, x.Shard)
		return Next{What: Done}
	}
	if x.sentAt >= t.halvedAt { // once for all that was out
		t.window = max(1, t.window/2)
		t.halvedAt = now
	}
	pause := t.patience / firstPause << (x.tries - 1)
	if kind == Refused {
		pause = max(pause, retryAfter)
	}
	at := now + pause + time.Duration(t.rng.Int64N(int64(pause)+1))
	tries := t.set.Tries
	if until, bad := t.shards[x.Shard]; bad && now < until {
		tries = 1
	}
	if x.tries < tries && at+t.set.Least <= x.until {
		return Next{What: Again, At: at}
	}
	if x.Shard >= 0 {
		t.shards[x.Shard] = now + t.set.ShardPause
	}
	back := time.Duration(0)
	if kind == Refused {
		back = max(retryAfter, time.Millisecond)
	}
	return Next{What: Leave, Back: back}
}

// Dropped books that a try's answer is no longer waited for.
func (t *Transfer) Dropped(*Extent) { t.out-- }

// File books that a file came to its end, or was left out, and says whether the
// transfer ends now: after a number of files left out in a row the rest would only
// take the client's time.
func (t *Transfer) File(ok bool) (end bool) {
	if ok {
		t.inRow = 0
		return false
	}
	t.inRow++
	return t.inRow >= t.set.LeaveOut
}
