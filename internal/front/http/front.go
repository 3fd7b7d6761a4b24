// Package http is the platform's front: clients' HTTP/1.1 connections, one request at a time on each, and
// the way from a request to host.Submit and from its final answer to bytes. It knows no node, chooses none
// and repeats nothing. How many connections there may be, and which go when there is no room, limits
// says. All its state belongs to one event loop; only accepting is done beside it.
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
)

const (
	lookEvery  = 100 * time.Millisecond // for connections whose time is up
	acceptLast = 20 * time.Millisecond  // for connections that wait in the kernel as listening ends
	acceptTop  = 100 * time.Millisecond // longest pause after a connection could not be accepted
	bindWithin = 3 * time.Second        // a former process may still hold the address
	heldMost   = http1.MaxHead + http1.MaxBody
)

// Host takes requests.
type Host interface {
	Submit(*host.Request) (uint64, error)
	Leave(id uint64)
	Now() time.Duration
}

// Options are what a front is made of.
type Options struct {
	Listen   string
	Settings control.Settings
	Conns    int   // connections at a time
	Bytes    int64 // of requests held
	Host     Host
	Ready    func() bool // whether the host can take requests
	Loop     *loop.Loop
	Log      *slog.Logger
}

// Front is a running front.
type Front struct {
	opt    Options
	rules  rules
	ln     net.Listener
	cancel context.CancelFunc // ends looking after connections
	done   sync.WaitGroup

	mu     sync.Mutex // guards taken
	room   *sync.Cond
	taken  int  // connections accepted and not yet closed
	closed bool // no more are taken but those that the kernel has

	// the rest belongs to the loop
	conns    map[*conn]bool
	ids      map[string]*conn // of requests that are open, by Request-Id
	held     int64
	keep     bool
	draining bool
	until    time.Duration // requests end by then; 0: no such end
	stats    Stats
}

// Stats are counts since the start; Conns, Open and Held are of now.
type Stats struct {
	Accepted, Requests, Served, Refused, Failed, Wrong, Left, Evicted, Late uint64
	Conns, Open                                                             int
	Held                                                                    int64
}

// Start listens and serves.
func Start(opt Options) (*Front, error) {
	f := &Front{opt: opt, rules: newRules(opt.Settings), conns: map[*conn]bool{}, ids: map[string]*conn{}}
	f.room = sync.NewCond(&f.mu)
	var err error
	for until := time.Now().Add(bindWithin); ; time.Sleep(20 * time.Millisecond) {
		if f.ln, err = net.Listen("tcp", opt.Listen); err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return nil, fmt.Errorf("http front: listen: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Add(2)
	go func() { defer f.done.Done(); f.accept() }()
	go func() { defer f.done.Done(); opt.Loop.Every(ctx, lookEvery, f.look) }()
	return f, nil
}

// Addr is where the front listens.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Stats has fn called, on the loop, with the counts.
func (f *Front) Stats(fn func(Stats)) {
	f.opt.Loop.Do(func() {
		s := f.stats
		s.Conns, s.Open, s.Held = len(f.conns), len(f.ids), f.held
		fn(s)
	})
}

// accept takes new connections as long as there is room for them. Guards against running out of
// descriptors: what is over the ceiling waits in the kernel until another connection has gone.
func (f *Front) accept() {
	defer f.ln.Close()
	pause := time.Millisecond
	for {
		f.mu.Lock()
		for f.taken >= f.opt.Conns && !f.closed {
			f.opt.Loop.Do(f.makeRoom)
			f.room.Wait()
		}
		if f.taken >= f.opt.Conns { // closed, and no place for those that wait
			f.mu.Unlock()
			return
		}
		f.taken++
		f.mu.Unlock()
		c, err := f.ln.Accept()
		if err != nil {
			f.free()
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			f.opt.Log.Warn("http front: accept", "err", err, "again_in", pause)
			time.Sleep(pause) // no descriptor for it: a later try may find one
			pause = min(2*pause, acceptTop)
			continue
		}
		pause = time.Millisecond
		if err := f.opt.Loop.Add(c, &conn{f: f}); err != nil {
			f.free()
			f.opt.Log.Warn("http front: connection", "err", err)
		}
	}
}

// free gives a connection's place back.
func (f *Front) free() {
	f.mu.Lock()
	f.taken--
	f.room.Broadcast()
	f.mu.Unlock()
}

// places says how many of the places are taken. One that is being accepted counts only if it has come.
func (f *Front) places() (taken, of int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken, f.opt.Conns
}

// look ends connections whose time is up.
func (f *Front) look() {
	now := f.opt.Host.Now()
	taken, of := f.places()
	for c := range f.conns {
		if c.ending {
			continue
		}
		if c.out && c.g.OutboundBuffered() == 0 { // a slow reader has taken its answer
			c.out = false
			c.since = now
			c.next()
			if c.ending {
				continue
			}
		}
		switch limits.Judge(now, c.known(), taken, of) {
		case limits.Leave:
			c.evict()
		case limits.Late:
			f.stats.Late++
			c.refuse(408, "the request did not come in time")
		}
	}
	if taken >= of {
		f.makeRoom()
	}
	f.mu.Lock()
	f.room.Broadcast() // accept asks again
	f.mu.Unlock()
}

// makeRoom ends the connection that may best go, if all places are taken.
func (f *Front) makeRoom() {
	if taken, of := f.places(); taken < of {
		return
	}
	now := f.opt.Host.Now()
	var worst *conn
	top := 0.0
	for c := range f.conns {
		if rank, may := limits.Rank(now, c.known()); may && (worst == nil || rank > top) {
			worst, top = c, rank
		}
	}
	if worst != nil {
		f.stats.Evicted++
		f.opt.Loop.Close(worst.g) // its place is needed now
	}
}

// evict ends a connection that asks nothing, or does not take its answer. What has come on it meanwhile is read
// instead.
func (c *conn) evict() {
	switch {
	case c.out || !c.asked && !c.known().Begun && !loop.Unread(c.g): // it was never answered: nothing to be lost
		c.f.opt.Loop.Close(c.g)
	case loop.Unread(c.g):
		return
	default:
		c.finish()
	}
	c.f.stats.Evicted++
}

// finish closes the connection in order: nothing that comes on it is read as a request any more.
func (c *conn) finish() {
	c.ending, c.since = true, c.f.opt.Host.Now()
	c.f.drop(c)
	c.f.opt.Loop.Finish(c.g)
}

// EndBy has requests that come from now on end by a reading of the host's clock, even if their client would
// wait longer.
func (f *Front) EndBy(until time.Duration) { f.opt.Loop.Do(func() { f.until = until }) }

// KeepAlive has connections go on after their answers, however few places are left: clients find no others any
// more.
func (f *Front) KeepAlive() { f.opt.Loop.Do(func() { f.keep = true }) }

// Drain has every answer end its connection, and ends those that are idle.
func (f *Front) Drain() {
	f.opt.Loop.Do(func() {
		f.draining = true
		f.closeIdle()
	})
}

// closeIdle ends connections on which nothing has come since the last answer. One on which a request has, read or
// not, goes on until its answer.
func (f *Front) closeIdle() {
	for c := range f.conns {
		if c.req == nil && !c.known().Begun && !c.out && !c.ending && !loop.Unread(c.g) {
			c.finish()
		}
	}
}

// CloseIdle has fn called, on the loop, with the number of connections left after those that are idle were ended
// again.
func (f *Front) CloseIdle(fn func(conns int)) {
	f.opt.Loop.Do(func() {
		f.closeIdle()
		fn(len(f.conns))
	})
}

// Shut ends all connections without an open request, whatever has come of the next one: what is half read gets
// its refusal, what is not read is not.
func (f *Front) Shut() {
	f.opt.Loop.Do(func() {
		for c := range f.conns {
			switch {
			case c.ending || c.req != nil:
			case c.known().Begun && !c.out:
				c.refuse(503, "the host ends")
			default:
				c.finish()
			}
		}
	})
}

// StopListening takes the connections that the kernel has accepted already, then no more.
func (f *Front) StopListening() {
	f.mu.Lock()
	f.closed = true
	f.room.Broadcast()
	f.mu.Unlock()
	if l, ok := f.ln.(*net.TCPListener); ok {
		_ = l.SetDeadline(time.Now().Add(acceptLast))
	}
}

// Close ends listening and waits for what runs beside the loop. The connections end with the loop.
func (f *Front) Close() {
	f.StopListening()
	f.cancel()
	f.done.Wait()
}

// conn is one client's connection.
type conn struct {
	f       *Front
	g       gnet.Conn
	in      []byte
	looked  int
	headed  bool          // the head of a request is whole, its body may not be
	pending *host.Request // read from it; nil: it asks for health
	headLen int
	want    int           // bytes of head and body
	chunks  *http1.Chunks // of the body, where its length is not stated: what it has is taken out of in
	data    []byte        // read from chunks
	req     *host.Request // open
	id      uint64        // of req, at the host
	body    int           // bytes of req's body, held until its answer
	close   bool          // after the answer
	doomed  bool          // what comes is thrown away, and the connection ends with the answer
	asked   bool
	out     bool // the last answer is not yet out whole
	ending  bool // it is being closed: nothing is read from it any more
	gone    bool
	opened  time.Duration
	since   time.Duration
}

func (c *conn) known() limits.Conn {
	return limits.Conn{Open: c.req != nil, Taking: c.out, Ending: c.ending, Asked: c.asked, Begun: len(c.in) > 0 || c.chunks != nil,
		Opened: c.opened, Since: c.since}
}

// Opened takes a new client.
func (c *conn) Opened(g gnet.Conn) {
	c.g = g
	c.opened = c.f.opt.Host.Now()
	c.since = c.opened
	c.f.conns[c] = true
	c.f.stats.Accepted++
}

// Closed books that the client has gone, or was sent away.
func (c *conn) Closed(gnet.Conn, error) {
	f := c.f
	c.gone = true
	delete(f.conns, c)
	f.drop(c)
	if c.req != nil {
		f.stats.Left++
		c.req.Abandon()
		f.opt.Host.Leave(c.id)
		c.over()
	}
	f.free()
}

// roomFor says whether so many more bytes may be held for a connection. Those who hold most of a request that
// is not whole make room.
func (f *Front) roomFor(c *conn, n int) bool {
	for f.held+int64(n) > f.opt.Bytes {
		var most *conn
		for o := range f.conns {
			if o != c && o.req == nil && !o.out && !o.ending && (most == nil || o.holds() > most.holds()) {
				most = o
			}
		}
		if most == nil || !limits.Yields(most.holds(), c.holds()+n) {
			return false
		}
		most.refuse(503, "more bytes of requests held than allowed")
	}
	return true
}

// holds is how many bytes are held of a request that is not whole.
func (c *conn) holds() int { return len(c.in) + len(c.data) }

// drop throws away what a connection holds unread.
func (f *Front) drop(c *conn) {
	f.held -= int64(c.holds())
	c.in, c.data, c.chunks = nil, nil, nil
}

// over books that the request that was open is so no longer.
func (c *conn) over() {
	delete(c.f.ids, c.req.Message.ID)
	c.f.held -= int64(c.body)
	c.req, c.body = nil, 0
}

// Traffic takes bytes from the client. While a request is open the next one waits, up to what one may
// have; who sends more is served the one that is open, and then leaves.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	p, err := g.Next(-1)
	if err != nil || c.gone {
		return gnet.None
	}
	if c.doomed {
		return gnet.None
	}
	if len(c.in) == 0 && c.req == nil && !c.out {
		c.since = c.f.opt.Host.Now()
	}
	busy := c.req != nil || c.out
	short := !c.f.roomFor(c, len(p))
	if busy && (short || len(c.in)+len(p) > heldMost) {
		c.f.drop(c)
		c.doomed, c.close = true, true
		return gnet.None
	}
	if short {
		c.refuse(503, "more bytes of requests held than allowed")
		return gnet.None
	}
	c.f.held += int64(len(p))
	c.in = append(c.in, p...)
	c.next()
	return gnet.None
}

// next goes on with what has come, until a request is open.
func (c *conn) next() {
	for c.req == nil && !c.out && !c.ending && !c.gone && len(c.in) > 0 {
		if !c.headed {
			if n := http1.EmptyLines(c.in); n > 0 {
				c.f.held -= int64(n)
				c.looked = 0
				if c.in = c.in[:copy(c.in, c.in[n:])]; len(c.in) == 0 {
					return
				}
			}
			h, n, err := http1.ParseRequest(c.in, c.looked)
			if err == http1.ErrShort {
				c.looked = len(c.in)
				return
			}
			if err == nil {
				err = c.begin(&h, n)
			}
			if err != nil {
				c.refuse(statusOf(err), err.Error())
				return
			}
		}
		if c.chunks != nil {
			done, err := c.unchunk()
			if err != nil {
				c.refuse(statusOf(err), err.Error())
				return
			}
			if !done {
				return
			}
		} else if len(c.in) < c.want {
			return
		}
		c.whole()
	}
}

// unchunk moves what has come of a chunked body from in to data; done: it is whole, and in is what follows.
func (c *conn) unchunk() (done bool, err error) {
	before := len(c.in) + len(c.data)
	data, rest, done, err := c.chunks.Feed(c.data, c.in)
	c.data, c.in = data, c.in[:copy(c.in, rest)]
	c.f.held += int64(len(c.in) + len(c.data) - before)
	return done, err
}

// begin takes a head.
func (c *conn) begin(h *http1.Request, n int) error {
	if h.Body.Length > http1.MaxBody {
		return wrong(413, "a body of %d bytes: %d at most", h.Body.Length, http1.MaxBody)
	}
	c.close = h.Close
	c.headed = true
	switch {
	case !health(h):
		r, err := c.f.rules.read(h)
		if err != nil {
			return err
		}
		c.pending = r
	case string(h.Method) != "GET":
		return wrong(405, "method of /_health: expected GET")
	}
	expects := h.Minor > 0 && http1.Continue(h.Header) && len(c.in) == n
	if h.Body.Chunked {
		c.chunks = &http1.Chunks{Max: http1.MaxBody}
		c.f.held -= int64(n)
		c.in = c.in[:copy(c.in, c.in[n:])]
	} else {
		c.headLen, c.want = n, n+int(h.Body.Length)
		expects = expects && h.Body.Length > 0
	}
	if expects { // its client waits for this word before it sends the body: RFC 9110, 10.1.1
		_, _ = c.g.Write(http1.AppendEnd(http1.AppendStatus(nil, 100)))
	}
	return nil
}

// whole hands a request that has come whole to the host.
func (c *conn) whole() {
	f, r, body := c.f, c.pending, c.data
	if c.chunks == nil {
		body = append([]byte(nil), c.in[c.headLen:c.want]...)
		c.in = c.in[:copy(c.in, c.in[c.want:])]
		f.held -= int64(c.want)
	}
	f.held -= int64(len(c.data))
	c.chunks, c.data = nil, nil
	if len(c.in) == 0 {
		c.in = nil
	}
	if r != nil && len(body) > 0 {
		r.Message.Body = body
	}
	c.headed, c.pending, c.looked, c.asked = false, nil, 0, true
	if r == nil {
		status := 503
		if f.opt.Ready() {
			status = 200
		}
		c.answer(status, "", nil)
		return
	}
	if f.ids[r.Message.ID] != nil {
		c.answer(409, "", []byte("Request-Id: a request with it is open\n"))
		return
	}
	if f.until > 0 {
		r.Expires = min(r.Expires, max(time.Millisecond, f.until-f.opt.Host.Now()))
	}
	f.stats.Requests++
	r.Answer = func(a host.Answer) { f.opt.Loop.Do(func() { c.final(r, a) }) }
	id, err := f.opt.Host.Submit(r)
	if err != nil { // nothing has run: trying again is harmless
		f.stats.Refused++
		c.answer(503, seconds(limits.Again), []byte(err.Error()+"\n"))
		return
	}
	c.req, c.id, c.body = r, id, len(r.Message.Body)
	f.held += int64(c.body)
	f.ids[r.Message.ID] = c
}

// final passes the host's final answer on.
func (c *conn) final(r *host.Request, a host.Answer) {
	defer a.Data.Release()
	if c.gone || c.req != r {
		return
	}
	f := c.f
	c.over()
	switch a.Kind {
	case host.Served:
		f.stats.Served++
		c.answer(200, "", a.Data.B)
	case host.Refused:
		f.stats.Refused++
		c.answer(503, seconds(a.RetryAfter), nil)
	default:
		f.stats.Failed++
		c.answer(504, "", []byte(a.Cause+"\n"))
	}
	c.next()
}

// seconds is a Retry-After.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// refuse answers what cannot be taken. The connection ends with it: what follows could be part of it.
func (c *conn) refuse(status int, text string) {
	c.f.stats.Wrong++
	c.close = true
	c.f.drop(c)
	again := ""
	if status == 503 {
		again = seconds(limits.Again)
	}
	c.answer(status, again, []byte(text+"\n"))
}

// answer writes one answer, and ends the connection if it is the last one.
func (c *conn) answer(status int, retryAfter string, body []byte) {
	end := c.close || c.doomed || c.f.draining || !c.f.keep && !limits.Keep(c.f.places())
	b := make([]byte, 0, 192+len(body))
	b = http1.AppendStatus(b, status)
	b = http1.AppendInt(b, "Content-Length", int64(len(body)))
	if retryAfter != "" {
		b = http1.AppendField(b, "Retry-After", retryAfter)
	}
	if end {
		b = http1.AppendField(b, "Connection", "close")
	}
	b = append(http1.AppendEnd(b), body...)
	if _, err := c.g.Write(b); err != nil || c.gone {
		return
	}
	c.since = c.f.opt.Host.Now()
	if end {
		c.finish()
		return
	}
	c.out = c.g.OutboundBuffered() > 0
}
