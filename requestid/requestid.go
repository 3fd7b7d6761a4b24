// Package requestid decides whether a request bears an id that another request has used. Clients give a new id to
// every request, a retry included, so a second request with an id is not valid, and forwarding it could repeat an
// effect. The package does no I/O and has no clock; internal/front/http calls it.
//
// An id is used from the moment at which its request is taken, that is passed on for execution. A request that was
// received and not taken leaves no trace: its client sends it again, under the same id, if the connection closes first.
//
// If a connection ends under an open request, its client may not know that the request was taken, and sends it again on
// a new connection. That is allowed where it cannot repeat an effect: the id is released for connections opened since.
//
// An id is remembered while its request is open, and after that as long as a request that arrived before the end, or
// soon after it, may still wait to be taken. Time is divided into generations of Retention. Rotate begins a new one and
// forgets the ids of requests that ended before the previous one began. Received bytes that are as old have to be
// discarded in the same step; InputAge tells which connections hold such bytes.
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

	// maxEnded is the number of ids in a generation at which the next one begins early. It bounds the memory: two
	// generations of this size take under 2.5 MB.
	maxEnded = 1 << 15

	// maxEndedUntaken is the number of ids in a generation from which those of requests that the host could not take
	// are not remembered. It keeps clients whose requests are refused at full speed from shortening a generation.
	maxEndedUntaken = maxEnded / 2

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
}

// Take marks an id as that of an open request. It returns false if another request has used the id. connection is the
// number of the request's connection; later connections have higher numbers.
func (t *Tracker) Take(id ID, connection uint64) bool {
	if _, open := t.open[id]; open || t.recent.forbids(id, connection) || t.previous.forbids(id, connection) {
		return false
	}
	if t.open == nil {
		t.open = map[ID]struct{}{}
	}
	t.open[id] = struct{}{}
	return true
}

// End records that an open request has ended: it was answered, or its effect must not be repeated.
func (t *Tracker) End(id ID) {
	delete(t.open, id)
	t.recent.add(id, allConnections)
}

// Release records that the connection of an open request has ended before the answer, and that the request may run
// again. lastConnection is the number of the last connection that was opened before.
func (t *Tracker) Release(id ID, lastConnection uint64) {
	delete(t.open, id)
	t.recent.add(id, lastConnection)
}

// EndUntaken records that a request has ended because the host could not take it: nothing of it has run.
func (t *Tracker) EndUntaken(id ID) {
	delete(t.open, id)
	if len(t.recent) < maxEndedUntaken {
		t.recent.add(id, allConnections)
	}
}

// Open returns the number of open requests.
func (t *Tracker) Open() int { return len(t.open) }

// Ended returns the number of remembered ids of requests that have ended.
func (t *Tracker) Ended() int { return len(t.recent) + len(t.previous) }

// Full reports whether the present generation holds as many ids as it may.
func (t *Tracker) Full() bool { return len(t.recent) >= maxEnded }

// RotationDue reports whether the next generation begins. now is monotonic.
func (t *Tracker) RotationDue(now time.Duration) bool {
	return t.Full() || now-t.began >= Retention
}

// Rotate begins the next generation. The caller also calls InputAge.Rotate for each connection.
func (t *Tracker) Rotate(now time.Duration) {
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
