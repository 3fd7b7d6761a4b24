// Package requestid decides whether a request bears an id that another request has used. Clients give a new id to
// every request, a retry included, so a second request with an id is not valid, and forwarding it could repeat an
// effect. The package does no I/O and has no clock; internal/front/http calls it.
//
// An id is used from the moment at which its request is taken, that is passed on for execution. A request that was
// received and not taken leaves no trace: its client sends it again, under the same id, if the connection closes first.
//
// If a connection ends under an open request, its client may not know that the request was taken, and sends it again on
// a new connection. That is allowed if no attempt of it had begun: the id is released for connections opened since. The
// id of a request that has begun is refused on every connection: the request must not run again.
//
// An id is remembered while its request is open, and after that as long as a request that arrived before the end, or
// soon after it, may still wait to be taken. Time is divided into generations of Retention. Rotate begins a new one and
// forgets the ids of requests that ended before the previous one began. Received bytes that are as old have to be
// discarded in the same step; InputAge tells which connections hold such bytes.
//
// The ids of requests that have begun are remembered for longer: until as many others have begun as the limit allows.
package requestid

import (
	"math"
	"strconv"
	"time"
)

const (
	// Retention is the length of a generation, and the least time for which an id is remembered after the end of its
	// request. A client is owed an answer or a close within 6 s of connecting in every case, so that a request which
	// takes longer from its client to the check is late anyway.
	Retention = 6 * time.Second

	// DefaultLimit is the limit of the zero Tracker, and the highest that is of use: a generation of this size holds the
	// requests of 6 s at several times the rate of a host.
	DefaultLimit = 28672

	// BytesPerID is the memory that a Tracker takes for each id of its limit: two generations of ids that have ended and
	// two of ids that have begun, in maps of Go that are not quite full.
	BytesPerID = 80

	digits = 16
)

// ID is the value of a Request-Id: 16 hexadecimal digits. The case of the digits does not matter.
type ID uint64

// Parse returns the id that a Request-Id states, and whether it is valid.
func Parse(s string) (ID, bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	return ID(n), err == nil && len(s) == digits
}

// closedTo is the number of the last connection on which an id may not be taken again.
type closedTo map[ID]uint64

// allConnections means that an id may not be taken again at all.
const allConnections = math.MaxUint64

// Tracker knows the ids in use and those used recently. The zero Tracker is ready to use.
type Tracker struct {
	open     map[ID]struct{}
	recent   closedTo // of requests that ended in the present generation
	previous closedTo // of requests that ended in the generation before
	began    time.Duration

	limit     int             // of ids in a generation; 0: DefaultLimit
	begun     map[ID]struct{} // of requests that have begun and ended
	begunPast map[ID]struct{} // the same, before those
}

// NewTracker returns a Tracker with a limit of the ids in a generation. At the limit the next generation begins early.
func NewTracker(limit int) *Tracker { return &Tracker{limit: limit} }

// maxEnded returns the number of ids in a generation at which the next one begins early.
func (t *Tracker) maxEnded() int {
	if t.limit == 0 {
		return DefaultLimit
	}
	return t.limit
}

// Take marks an id as that of an open request. It returns false if another request has used the id. connection is the
// number of the request's connection; later connections have higher numbers.
func (t *Tracker) Take(id ID, connection uint64) bool {
	if _, open := t.open[id]; open || t.Begun(id) || t.recent.forbids(id, connection) || t.previous.forbids(id, connection) {
		return false
	}
	if t.open == nil {
		t.open = map[ID]struct{}{}
	}
	t.open[id] = struct{}{}
	return true
}

// Begun reports whether a request with the id is known to have begun and ended.
func (t *Tracker) Begun(id ID) bool {
	_, begun := t.begun[id]
	_, past := t.begunPast[id]
	return begun || past
}

// EndBegun records that an open request has ended of which an attempt had begun.
func (t *Tracker) EndBegun(id ID) {
	delete(t.open, id)
	if t.begun == nil {
		t.begun = map[ID]struct{}{}
	}
	t.begun[id] = struct{}{}
}

// End records that an open request was answered before an attempt of it had begun.
func (t *Tracker) End(id ID) {
	delete(t.open, id)
	t.recent.add(id, allConnections)
}

// Release records that the connection of an open request has ended before the answer, and before an attempt had begun.
// lastConnection is the number of the last connection that was opened before.
func (t *Tracker) Release(id ID, lastConnection uint64) {
	delete(t.open, id)
	t.recent.add(id, lastConnection)
}

// EndUntaken records that a request has ended because the host could not take it: nothing of it has run. Such ids are
// remembered only up to half of a generation, so that clients whose requests are refused at full speed do not shorten it.
func (t *Tracker) EndUntaken(id ID) {
	delete(t.open, id)
	if len(t.recent) < t.maxEnded()/2 {
		t.recent.add(id, allConnections)
	}
}

// Open returns the number of open requests.
func (t *Tracker) Open() int { return len(t.open) }

// Ended returns the number of remembered ids of requests that have ended, without those that had begun.
func (t *Tracker) Ended() int { return len(t.recent) + len(t.previous) }

// Full reports whether the present generation holds as many ids as it may.
func (t *Tracker) Full() bool { return len(t.recent) >= t.maxEnded() || t.begunFull() }

func (t *Tracker) begunFull() bool { return len(t.begun) >= t.maxEnded() }

// RotationDue reports whether the next generation begins. now is monotonic.
func (t *Tracker) RotationDue(now time.Duration) bool {
	return t.Full() || now-t.began >= Retention
}

// Rotate begins the next generation. The caller also calls InputAge.Rotate for each connection.
func (t *Tracker) Rotate(now time.Duration) {
	if t.begunFull() {
		t.begunPast, t.begun = t.begun, nil
	}
	t.previous, t.recent, t.began = t.recent, nil, now
}

func (c closedTo) forbids(id ID, connection uint64) bool {
	last, ok := c[id]
	return ok && connection <= last
}

func (c *closedTo) add(id ID, last uint64) {
	if *c == nil {
		*c = closedTo{}
	}
	(*c)[id] = last
}

// InputAge tells whether the bytes that a connection has received and not yet passed on as requests are so old that ids
// which were in use when they arrived are forgotten. The zero InputAge is that of a new connection.
type InputAge struct {
	oldBytes   int  // leading bytes of the buffer that arrived in an earlier generation
	oldRequest bool // the incomplete request whose head has been read began in an earlier generation
}

// Begin records that the head of the request at the start of the buffer has been read.
func (a *InputAge) Begin() { a.oldRequest = a.oldBytes > 0 }

// Consume records that leading bytes have left the buffer.
func (a *InputAge) Consume(n int) { a.oldBytes = max(0, a.oldBytes-n) }

// Complete records that the request has been read completely.
func (a *InputAge) Complete() { a.oldRequest = false }

// Rotate records that a new generation begins. buffered is the number of bytes in the buffer, and incomplete tells
// whether a request's head has been read and its body has not. It returns true if the input has expired: the caller
// discards all of it.
func (a *InputAge) Rotate(buffered int, incomplete bool) (expired bool) {
	expired = a.oldBytes > 0 || a.oldRequest
	a.oldBytes, a.oldRequest = buffered, incomplete
	return expired
}
