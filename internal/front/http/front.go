// Package http is the HTTP/1.1 front of a host: it accepts client connections, reads one request at a time
// from each, passes it to host.Submit and writes the final answer. It neither chooses nodes nor retries. Package
// limits decides which connections are evicted when the connection limit is reached. All state belongs to one
// event loop; only accepting runs in a goroutine of its own. Package live runs it.
package http

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/internal/telemetry"
	"eiderhold/limits"
	"eiderhold/requestid"
)

const (
	sweepInterval      = 100 * time.Millisecond // between checks for connections whose time is over
	finalAcceptTimeout = 20 * time.Millisecond  // for connections in the kernel's queue when listening ends
	maxAcceptPause     = 100 * time.Millisecond // longest pause after a failed accept
	bindTimeout        = 3 * time.Second        // the previous process may still hold the address
)

// Host serves requests; internal/host implements it.
type Host interface {
	Submit(*host.Request) (uint64, error)
	ClientGone(id uint64)
	Now() time.Duration
}

// Options configure a Front.
type Options struct {
	Listen          string
	Settings        control.Settings
	MaxConns        int   // most connections at a time
	MaxRequestBytes int64 // most bytes of requests in memory
	MaxUnsentBytes  int64 // most bytes of answers that clients have not taken; beside these, one answer at a time
	Arena           *buffer.Arena
	MaxIDs          int // limit of the ids that are remembered, see requestid.NewTracker; 0: its default
	Host            Host
	Ready           func() bool // reports whether the host can serve requests
	Loop            *loop.Loop
	Log             *slog.Logger
}

// Front is a running front.
type Front struct {
	opt        Options
	rules      rules
	ln         net.Listener
	cancel     context.CancelFunc // stops the periodic sweep
	background sync.WaitGroup

	connections atomic.Uint64 // accepted since the start

	mu       sync.Mutex // guards accepted and closing
	changed  *sync.Cond
	accepted int  // connections accepted and not yet closed, one being accepted included
	closing  bool // only connections already in the kernel's queue are accepted

	// The remaining fields are accessed only on the loop.
	conns          map[*conn]bool
	ids            *requestid.Tracker
	ready          []*conn // with further requests to read, see schedule
	roundScheduled bool
	heldBytes      int64                 // of requests
	holders        limits.Holders[*conn] // of incomplete requests
	unread         limits.Holders[*conn] // of answers that clients have not taken
	unsentBytes    int64                 // of answers that clients have not taken
	readAhead      [readAheadBytes]byte
	events         *telemetry.Limited
	keepAlive      bool
	draining       bool
	deadlineLimit  time.Duration // requests end at this time of the host's clock; 0: no limit
	stats          Stats
}

// Stats are counters since the start; Conns, Open and Held are current values. Accepted counts connections, Wrong
// requests rejected by the front, Late those of them that did not arrive in time, Duplicate requests with the id of
// another one, Left open requests whose clients have gone, and Evicted connections that were idle too long or made room
// for others. Deferred counts how often requests of a connection had to wait for those of others, Shed incomplete
// requests discarded for lack of memory, Unread connections closed for lack of memory as they did not read their answers,
// and Gone attempts that did not begin as the client was found to have left. Held and Unsent are bytes of requests and of
// answers that clients have not taken, as allocated, HeldPeak and UnsentPeak their highest values.
type Stats struct {
	Accepted, Requests, Served, Refused, Failed, Wrong, Left, Evicted, Late, Duplicate uint64
	Deferred, Shed, Unread, Gone                                                       uint64
	Conns, Open                                                                        int
	Held, HeldPeak, Unsent, UnsentPeak                                                 int64
}

// Start listens on the configured address and serves clients.
func Start(opt Options) (*Front, error) {
	f := &Front{opt: opt, rules: newRules(opt.Settings), conns: map[*conn]bool{}, ids: requestid.NewTracker(opt.MaxIDs), events: telemetry.NewLimited(opt.Log)}
	f.changed = sync.NewCond(&f.mu)
	var err error
	for until := time.Now().Add(bindTimeout); ; time.Sleep(20 * time.Millisecond) {
		if f.ln, err = net.Listen("tcp", opt.Listen); err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return nil, fmt.Errorf("http front: listen: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.background.Add(2)
	go func() { defer f.background.Done(); defer f.ln.Close(); f.accept() }()
	go func() { defer f.background.Done(); opt.Loop.Every(ctx, sweepInterval, f.sweep) }()
	return f, nil
}

// Addr returns the address on which the front listens.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Stats calls fn, on the loop, with the counters.
func (f *Front) Stats(fn func(Stats)) {
	f.opt.Loop.Post(func() {
		s := f.stats
		s.Conns, s.Open, s.Held, s.Unsent = len(f.conns), f.ids.Open(), f.heldBytes, f.unsentBytes
		fn(s)
	})
}

// sweep closes connections whose time is over.
func (f *Front) sweep() {
	now := f.opt.Host.Now()
	used, limit := f.usage()
	for c := range f.conns {
		if c.closing {
			continue
		}
		if c.finishFlush(); c.closing || c.closed {
			continue
		}
		switch limits.Decide(now, c.state(), used, limit) {
		case limits.Close:
			c.evict()
		case limits.RejectLate:
			f.stats.Late++
			c.reject(408, "the request did not come in time")
		}
	}
	if used >= limit {
		f.evictIfFull()
	}
	f.rotateIDs()
	f.mu.Lock()
	f.changed.Broadcast() // accept checks the limit again
	f.mu.Unlock()
}

// rotateIDs forgets the ids of requests that ended long ago. Input that arrived while such an id was in use is
// discarded, as a request in it could not be compared with that id any more.
func (f *Front) rotateIDs() {
	now := f.opt.Host.Now()
	if !f.ids.RotationDue(now) {
		return
	}
	for c := range f.conns {
		if !c.inputAge.Rotate(c.buf.Len(), c.headParsed) || c.closing {
			continue
		}
		if c.req != nil || c.flushing {
			c.discardInput()
		} else {
			f.stats.Late++
			c.reject(408, "the request did not come in time")
		}
	}
	f.ids.Rotate(now)
}

// LimitDeadlines limits the deadline of further requests to a time of the host's clock, even if their clients would
// wait longer.
func (f *Front) LimitDeadlines(until time.Duration) {
	f.opt.Loop.Post(func() { f.deadlineLimit = until })
}

// KeepAlive keeps connections open after their answers however few places are left. It is used during shutdown,
// when clients can open no other connections.
func (f *Front) KeepAlive() { f.opt.Loop.Post(func() { f.keepAlive = true }) }

// Drain closes idle connections, and each other connection after its next answer.
func (f *Front) Drain() {
	f.opt.Loop.Post(func() {
		f.draining = true
		f.closeIdle()
	})
}

// closeIdle closes connections that have received nothing since the last answer. A connection with a request, read
// or unread, stays open until that request is answered.
func (f *Front) closeIdle() {
	for c := range f.conns {
		if c.req == nil && !c.state().PartialRequest && !c.flushing && !c.closing && !loop.HasUnread(c.g) {
			c.finish()
		}
	}
}

// CloseIdle closes idle connections again and calls fn, on the loop, with the number of connections left.
func (f *Front) CloseIdle(fn func(conns int)) {
	f.opt.Loop.Post(func() {
		f.closeIdle()
		fn(len(f.conns))
	})
}

// CloseWithoutRequest closes all connections without an open request. A partly read request is refused, and one
// that has arrived and not been read.
func (f *Front) CloseWithoutRequest() {
	f.opt.Loop.Post(func() {
		for c := range f.conns {
			switch {
			case c.closing || c.req != nil:
			case !c.flushing && (c.state().PartialRequest || loop.HasUnread(c.g)):
				c.reject(503, "the host ends")
			default:
				c.finish()
			}
		}
	})
}

// Close stops listening and waits for the front's goroutines. The connections end with the loop.
func (f *Front) Close() {
	f.StopListening()
	f.cancel()
	f.background.Wait()
}
