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
	"os"
	"sync"
	"syscall"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/http1"
	"eiderhold/internal/loop"
	"eiderhold/limits"
	"eiderhold/requestid"
)

const (
	sweepInterval      = 100 * time.Millisecond // between checks for connections whose time is over
	finalAcceptTimeout = 20 * time.Millisecond  // for connections in the kernel's queue when listening ends
	maxAcceptPause     = 100 * time.Millisecond // longest pause after a failed accept
	bindTimeout        = 3 * time.Second        // the previous process may still hold the address
	maxBufferedBytes   = http1.MaxHead + http1.MaxBody
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

	mu       sync.Mutex // guards accepted and closing
	changed  *sync.Cond
	accepted int  // connections accepted and not yet closed, one being accepted included
	closing  bool // only connections already in the kernel's queue are accepted

	// The remaining fields are accessed only on the loop.
	conns         map[*conn]bool
	ids           requestid.Tracker
	opened        uint64 // connections opened since the start
	heldBytes     int64
	keepAlive     bool
	draining      bool
	deadlineLimit time.Duration // requests end at this time of the host's clock; 0: no limit
	stats         Stats
}

// Stats are counters since the start; Conns, Open and Held are current values. Accepted counts connections, Wrong
// requests rejected by the front, Late those of them that did not arrive in time, Duplicate requests with the id of
// another one, Left open requests whose clients have gone, and Evicted connections that were idle too long or made room
// for others.
type Stats struct {
	Accepted, Requests, Served, Refused, Failed, Wrong, Left, Evicted, Late, Duplicate uint64
	Conns, Open                                                                        int
	Held                                                                               int64
}

// Start listens on the configured address and serves clients.
func Start(opt Options) (*Front, error) {
	f := &Front{opt: opt, rules: newRules(opt.Settings), conns: map[*conn]bool{}}
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
	go func() { defer f.background.Done(); f.accept() }()
	go func() { defer f.background.Done(); opt.Loop.Every(ctx, sweepInterval, f.sweep) }()
	return f, nil
}

// Addr returns the address on which the front listens.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Stats calls fn, on the loop, with the counters.
func (f *Front) Stats(fn func(Stats)) {
	f.opt.Loop.Post(func() {
		s := f.stats
		s.Conns, s.Open, s.Held = len(f.conns), f.ids.Open(), f.heldBytes
		fn(s)
	})
}

// accept accepts connections up to the limit, so that the process does not run out of file descriptors. Further
// connections wait in the kernel's queue until another one has closed.
func (f *Front) accept() {
	defer f.ln.Close()
	pause := time.Millisecond
	for {
		f.mu.Lock()
		for f.accepted >= f.opt.MaxConns && !f.closing {
			f.opt.Loop.Post(f.evictIfFull)
			f.changed.Wait()
		}
		if f.accepted >= f.opt.MaxConns { // no place for the connections in the kernel's queue
			f.mu.Unlock()
			return
		}
		f.accepted++
		f.mu.Unlock()
		c, err := f.ln.Accept()
		if err != nil {
			f.releasePlace()
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			f.opt.Log.Warn("http front: accept", "err", err, "again_in", pause)
			time.Sleep(pause) // out of descriptors; a later attempt may succeed
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = time.Millisecond
		if err := f.opt.Loop.Add(c, &conn{f: f}); err != nil {
			f.releasePlace()
			f.opt.Log.Warn("http front: cannot add a connection to the event loop", "err", err)
		}
	}
}

// releasePlace releases the place of a connection.
func (f *Front) releasePlace() {
	f.mu.Lock()
	f.accepted--
	f.changed.Broadcast()
	f.mu.Unlock()
}

// usage returns the number of places in use and their limit. The place for the connection that accept waits for is
// in use, too.
func (f *Front) usage() (used, limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted, f.opt.MaxConns
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
		if !c.inputAge.Rotate(len(c.buf), c.headParsed) || c.closing {
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

// evictIfFull closes the connection with the highest eviction rank if all places are in use.
func (f *Front) evictIfFull() {
	if used, limit := f.usage(); used < limit {
		return
	}
	now := f.opt.Host.Now()
	var worst *conn
	worstRank := 0.0
	for c := range f.conns {
		if rank, evictable := limits.EvictionRank(now, c.state()); evictable && (worst == nil || rank > worstRank) {
			worst, worstRank = c, rank
		}
	}
	if worst != nil {
		f.stats.Evicted++
		f.opt.Loop.Close(worst.g) // at once: its place is needed
	}
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

// CloseWithoutRequest closes all connections without an open request. A partly read request is refused; unread bytes
// are discarded.
func (f *Front) CloseWithoutRequest() {
	f.opt.Loop.Post(func() {
		for c := range f.conns {
			switch {
			case c.closing || c.req != nil:
			case c.state().PartialRequest && !c.flushing:
				c.reject(503, "the host ends")
			default:
				c.finish()
			}
		}
	})
}

// StopListening accepts the connections already in the kernel's queue, then no more.
func (f *Front) StopListening() {
	f.mu.Lock()
	f.closing = true
	f.changed.Broadcast()
	f.mu.Unlock()
	if l, ok := f.ln.(*net.TCPListener); ok {
		_ = l.SetDeadline(time.Now().Add(finalAcceptTimeout))
	}
}

// Close stops listening and waits for the front's goroutines. The connections end with the loop.
func (f *Front) Close() {
	f.StopListening()
	f.cancel()
	f.background.Wait()
}

// reclaimBytes reports whether n more bytes may be held for a connection. If necessary it refuses the connections
// that hold the most bytes of an incomplete request.
func (f *Front) reclaimBytes(c *conn, n int) bool {
	for f.heldBytes+int64(n) > f.opt.MaxRequestBytes {
		var largest *conn
		for o := range f.conns {
			if o != c && o.req == nil && !o.flushing && !o.closing && (largest == nil || o.bufferedBytes() > largest.bufferedBytes()) {
				largest = o
			}
		}
		if largest == nil || !limits.EvictForRequest(largest.bufferedBytes(), c.bufferedBytes()+n) {
			return false
		}
		largest.reject(503, "more bytes of requests held than allowed")
	}
	return true
}
