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
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

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

// evict closes a connection that sends no request or does not read its answer. If unread bytes have arrived on it
// meanwhile, it stays open and they are read.
func (c *conn) evict() {
	switch {
	case c.flushing || !c.hadRequest && !c.state().PartialRequest && !loop.HasUnread(c.g): // no answer can be lost
		c.f.opt.Loop.Close(c.g)
	case loop.HasUnread(c.g):
		return
	default:
		c.finish()
	}
	c.f.stats.Evicted++
}

// finish closes the connection gracefully: bytes that still arrive are not read as requests.
func (c *conn) finish() {
	c.closing, c.stateSince = true, c.f.opt.Host.Now()
	c.f.discardBuffered(c)
	c.f.opt.Loop.CloseGracefully(c.g)
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

// conn is one client connection.
type conn struct {
	f          *Front
	g          gnet.Conn
	buf        []byte
	scanned    int           // bytes of buf already searched for the end of a head
	headParsed bool          // the head of the present request is complete, its body may not be
	pending    *host.Request // the request of that head; nil: a health check
	headLen    int
	messageLen int                 // bytes of head and body together
	chunks     *http1.ChunkDecoder // decodes the body, where it is chunked; nil: it has a length
	chunkData  []byte              // the body as decoded so far
	inputAge   requestid.InputAge  // of the bytes in buf and of the present request
	req        *host.Request       // open at the host; nil: none
	requestID  requestid.ID        // of req
	hostID     uint64              // of req, as returned by Submit
	bodyBytes  int                 // bytes of req's body, counted as held until its answer
	closeAfter bool                // the connection closes after the next answer
	discarding bool                // input is discarded, and the connection closes after the next answer
	hadRequest bool                // at least one complete request has been read
	flushing   bool                // the last answer is not written completely
	closing    bool                // being closed: no requests are read from it
	closed     bool
	openedAt   time.Duration
	stateSince time.Duration // when the connection began to receive, to write or to wait
}

// state returns the connection's state, from which package limits decides whether to evict it.
func (c *conn) state() limits.Conn {
	return limits.Conn{Open: c.req != nil, WritingAnswer: c.flushing, Closing: c.closing, HasRequested: c.hadRequest, PartialRequest: len(c.buf) > 0 || c.chunks != nil,
		Opened: c.openedAt, Since: c.stateSince}
}

// Opened registers a new connection.
func (c *conn) Opened(g gnet.Conn) {
	c.g = g
	c.openedAt = c.f.opt.Host.Now()
	c.stateSince = c.openedAt
	c.f.conns[c] = true
	c.f.stats.Accepted++
}

// Closed removes a connection that the client or the front has closed, and abandons its open request.
func (c *conn) Closed(gnet.Conn, error) {
	f := c.f
	c.closed = true
	delete(f.conns, c)
	f.discardBuffered(c)
	if c.req != nil {
		f.stats.Left++
		c.req.Abandon()
		f.opt.Host.ClientGone(c.hostID)
		c.requestDone()
	}
	f.releasePlace()
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

// bufferedBytes returns how many bytes of incomplete requests are held.
func (c *conn) bufferedBytes() int { return len(c.buf) + len(c.chunkData) }

// discardBuffered discards the bytes of incomplete requests of a connection.
func (f *Front) discardBuffered(c *conn) {
	f.heldBytes -= int64(c.bufferedBytes())
	c.buf, c.chunkData, c.chunks = nil, nil, nil
	c.inputAge = requestid.InputAge{}
}

// discardInput discards what is received behind the open request, or behind its answer while that is being written,
// and closes the connection after the answer.
func (c *conn) discardInput() {
	c.f.discardBuffered(c)
	c.discarding, c.closeAfter = true, true
}

// consume removes n bytes from the start of buf.
func (c *conn) consume(n int) {
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.f.heldBytes -= int64(n)
	c.inputAge.Consume(n)
}

// requestDone removes the open request.
func (c *conn) requestDone() {
	c.f.ids.End(c.requestID)
	c.f.heldBytes -= int64(c.bodyBytes)
	c.req, c.bodyBytes = nil, 0
	if c.f.ids.Full() {
		c.f.opt.Loop.Post(c.f.rotateIDs)
	}
}

// Traffic reads bytes from the client. While a request is open, up to one further request is buffered. If the
// client sends more, the open request is still answered and then the connection is closed.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	p, err := g.Next(-1)
	if err != nil || c.closed {
		return gnet.None
	}
	if c.finishFlush(); c.discarding || c.closing || c.closed {
		return gnet.None
	}
	if len(c.buf) == 0 && c.chunks == nil && c.req == nil && !c.flushing {
		c.stateSince = c.f.opt.Host.Now()
	}
	busy := c.req != nil || c.flushing
	short := !c.f.reclaimBytes(c, len(p))
	if busy && (short || len(c.buf)+len(p) > maxBufferedBytes) {
		c.discardInput()
		return gnet.None
	}
	if short {
		c.reject(503, "more bytes of requests held than allowed")
		return gnet.None
	}
	c.f.heldBytes += int64(len(p))
	c.buf = append(c.buf, p...)
	c.processBuffered()
	return gnet.None
}

// finishFlush ends the state in which an answer is being written, if that is now written completely. A client sends its
// next request as soon as it has read the answer, so Traffic checks it before it reads that request.
func (c *conn) finishFlush() {
	if !c.flushing || c.g.OutboundBuffered() > 0 {
		return
	}
	c.flushing = false
	c.stateSince = c.f.opt.Host.Now()
	if c.discarding {
		c.finish()
		return
	}
	c.processBuffered()
}

// processBuffered reads buffered requests until one is open.
func (c *conn) processBuffered() {
	for c.req == nil && !c.flushing && !c.closing && !c.closed && len(c.buf) > 0 {
		if !c.headParsed {
			if n := http1.LeadingEmptyLines(c.buf); n > 0 {
				c.scanned = 0
				if c.consume(n); len(c.buf) == 0 {
					return
				}
			}
			h, n, err := http1.ParseRequest(c.buf, c.scanned)
			if err == http1.ErrShort {
				c.scanned = len(c.buf)
				return
			}
			if err == nil {
				err = c.acceptHead(&h, n)
			}
			if err != nil {
				c.reject(statusOf(err), err.Error())
				return
			}
		}
		if c.chunks != nil {
			done, err := c.decodeChunks()
			if err != nil {
				c.reject(statusOf(err), err.Error())
				return
			}
			if !done {
				return
			}
		} else if len(c.buf) < c.messageLen {
			return
		}
		c.submit()
	}
}

// decodeChunks moves the data of a chunked body from buf to chunkData. done reports that the body is complete; buf
// then holds what follows it.
func (c *conn) decodeChunks() (done bool, err error) {
	before := len(c.chunkData)
	data, rest, done, err := c.chunks.Feed(c.chunkData, c.buf)
	c.chunkData = data
	c.f.heldBytes += int64(len(data) - before)
	c.consume(len(c.buf) - len(rest))
	return done, err
}

// acceptHead checks a request's head, of n bytes, and prepares to read its body.
func (c *conn) acceptHead(h *http1.Request, n int) error {
	if h.Body.Length > http1.MaxBody {
		return newRequestError(413, "a body of %d bytes: %d at most", h.Body.Length, http1.MaxBody)
	}
	c.closeAfter = h.Close
	c.headParsed = true
	c.inputAge.Begin()
	switch {
	case !isHealthCheck(h):
		r, err := c.f.rules.parse(h)
		if err != nil {
			return err
		}
		c.pending = r
	case string(h.Method) != "GET":
		return newRequestError(405, "method of /_health: expected GET")
	}
	expects := h.Minor > 0 && http1.ExpectsContinue(h.Header) && len(c.buf) == n
	if h.Body.Chunked {
		c.chunks = &http1.ChunkDecoder{Max: http1.MaxBody}
		c.consume(n)
	} else {
		c.headLen, c.messageLen = n, n+int(h.Body.Length)
		expects = expects && h.Body.Length > 0
	}
	if expects { // the client sends the body after this: RFC 9110, 10.1.1
		_, _ = c.g.Write(http1.AppendEnd(http1.AppendStatus(nil, 100)))
	}
	return nil
}

// submit passes a complete request to the host.
func (c *conn) submit() {
	f, r, body := c.f, c.pending, c.chunkData
	if c.chunks == nil {
		body = append([]byte(nil), c.buf[c.headLen:c.messageLen]...)
		c.consume(c.messageLen)
	}
	c.inputAge.Complete()
	f.heldBytes -= int64(len(c.chunkData))
	c.chunks, c.chunkData = nil, nil
	if len(c.buf) == 0 {
		c.buf = nil
	}
	if r != nil && len(body) > 0 {
		r.Message.Body = body
	}
	c.headParsed, c.pending, c.scanned, c.hadRequest = false, nil, 0, true
	if r == nil {
		status := 503
		if f.opt.Ready() {
			status = 200
		}
		c.respond(status, "", nil)
		return
	}
	requestID, _ := requestid.Parse(r.Message.ID) // valid: rules.parse has checked it
	if !f.ids.Take(requestID) {
		f.stats.Duplicate++
		c.respond(409, "", []byte("Request-Id: another request has used it\n"))
		return
	}
	if f.deadlineLimit > 0 {
		r.Expires = min(r.Expires, max(time.Millisecond, f.deadlineLimit-f.opt.Host.Now()))
	}
	f.stats.Requests++
	r.Answer = func(a host.Answer) { f.opt.Loop.Post(func() { c.deliver(r, a) }) }
	id, err := f.opt.Host.Submit(r)
	if err != nil { // nothing has run, so the client may retry
		f.ids.EndUntaken(requestID)
		f.stats.Refused++
		c.respond(503, formatRetryAfter(limits.RetryDelay), []byte(err.Error()+"\n"))
		return
	}
	c.req, c.requestID, c.hostID, c.bodyBytes = r, requestID, id, len(r.Message.Body)
	f.heldBytes += int64(c.bodyBytes)
}

// deliver writes the host's final answer to the client.
func (c *conn) deliver(r *host.Request, a host.Answer) {
	defer a.Data.Release()
	if c.closed || c.req != r {
		return
	}
	f := c.f
	c.requestDone()
	switch a.Kind {
	case host.Served:
		f.stats.Served++
		c.respond(200, "", a.Data.B)
	case host.Refused:
		f.stats.Refused++
		c.respond(503, formatRetryAfter(a.RetryAfter), nil)
	default:
		f.stats.Failed++
		c.respond(504, "", []byte(a.Cause+"\n"))
	}
	c.processBuffered()
}

// formatRetryAfter returns the value of a Retry-After header, in seconds.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// reject answers an invalid request and closes the connection, because the bytes that follow may belong to it.
func (c *conn) reject(status int, text string) {
	c.f.stats.Wrong++
	c.closeAfter = true
	c.f.discardBuffered(c)
	retryIn := ""
	if status == 503 {
		retryIn = formatRetryAfter(limits.RetryDelay)
	}
	c.respond(status, retryIn, []byte(text+"\n"))
}

// respond writes one answer and closes the connection if no further request is served on it.
func (c *conn) respond(status int, retryAfter string, body []byte) {
	closeConn := c.closeAfter || c.discarding || c.f.draining || !c.f.keepAlive && !limits.KeepAlive(c.f.usage())
	b := make([]byte, 0, 192+len(body))
	b = http1.AppendStatus(b, status)
	b = http1.AppendIntField(b, "Content-Length", int64(len(body)))
	if retryAfter != "" {
		b = http1.AppendField(b, "Retry-After", retryAfter)
	}
	if closeConn {
		b = http1.AppendField(b, "Connection", "close")
	}
	b = append(http1.AppendEnd(b), body...)
	if _, err := c.g.Write(b); err != nil || c.closed {
		return
	}
	c.stateSince = c.f.opt.Host.Now()
	if closeConn {
		c.finish()
		return
	}
	c.flushing = c.g.OutboundBuffered() > 0
}
