package rsync

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	proto "eiderhold/internal/rsync"
	"eiderhold/internal/wheel"
)

// conn is one client connection. Except for the mailbox and active, only its event loop may use it.
type conn struct {
	front       *Front
	socket      gnet.Conn
	loop        gnet.EventLoop
	remote      string
	session     *proto.Session
	transfer    *transfer
	moduleName  string // module whose connection count includes this one; empty: none
	listEntries int    // reserved file list entries; guarded by front.mu
	active      atomic.Bool
	startedAt   time.Duration

	mu           sync.Mutex // guards the next two fields
	mailbox      []func()
	runScheduled bool
	processing   bool

	handshakeTimer *wheel.Timer[timer]
	stallTimer     *wheel.Timer[timer]
	pollPending    bool
	lastProgress   time.Duration // when bytes last moved in either direction
	lastOutbound   int

	detached      bool   // the socket is outside the event loop, or about to be
	detachedFD    int    // duplicate descriptor of the detached socket; -1: none
	detachedInput []byte // input that was read before the socket was detached
	ended         bool
	closeReason   error

	closeAt     time.Duration // when a lingering connection is closed; 0: not lingering
	writeClosed bool
}

const maxRoundsPerTurn = 8 // rounds of input and output before other connections of the loop run

const lingerTimeout = 2 * time.Second // how long a connection stays open after its session has ended

func newConn(f *Front, g gnet.Conn) *conn {
	c := &conn{front: f, socket: g, loop: g.EventLoop(), remote: addrHost(g.RemoteAddr()), detachedFD: -1, startedAt: f.opt.Host.Now()}
	c.lastProgress = c.startedAt
	return c
}

// start creates the session and starts the timers for its handshake and for stalls.
func (c *conn) start() {
	c.session = proto.NewSession(&gateway{c.front, c})
	c.handshakeTimer = c.front.after(c.startedAt+c.front.opt.HandshakeTimeout, c, func() {
		if !c.active.Load() {
			c.disconnect("the handshake took too long")
		}
	})
	c.stallTimer = c.front.after(c.startedAt+stallCheckInterval, c, c.checkStall)
}

func (c *conn) cancelHandshake() { c.front.cancelTimer(c.handshakeTimer) }

// post runs f on the connection's loop, also after the connection has ended.
func (c *conn) post(f func()) {
	c.mu.Lock()
	c.mailbox = append(c.mailbox, f)
	scheduled := c.runScheduled
	c.runScheduled = true
	c.mu.Unlock()
	if !scheduled {
		if err := c.loop.Execute(context.Background(), runnableFunc(c.runMailbox)); err != nil {
			c.mu.Lock()
			c.runScheduled = false // the event loops have stopped
			c.mu.Unlock()
		}
	}
}

type runnableFunc func()

func (r runnableFunc) Run(context.Context) error { r(); return nil }

// runMailbox runs the posted functions, then processes the connection.
func (c *conn) runMailbox() {
	c.mu.Lock()
	calls := c.mailbox
	c.mailbox, c.runScheduled = nil, false
	c.mu.Unlock()
	for _, f := range calls {
		f()
	}
	if c.ended {
		return
	}
	if c.process() == gnet.Close {
		_ = c.loop.Close(c.socket) // closes immediately, so that no more input is read
	}
}

// closeSession ends the session; process closes the connection afterwards.
func (c *conn) closeSession(why error) {
	if c.ended {
		return
	}
	c.closeReason = why
	c.session.Close(why)
}

// disconnect ends a connection that exceeds a limit, and counts it as shed.
func (c *conn) disconnect(why string) {
	if ended, _ := c.session.Ended(); ended || c.ended {
		return
	}
	c.front.mu.Lock()
	c.front.stats.Shed++
	c.front.mu.Unlock()
	c.front.opt.Log.Info("a client is sent away", "client", c.remote, "phase", c.session.Phase(), "why", why)
	c.closeSession(errors.New(why))
}

// checkStall ends a connection that has made no progress for the stall time.
func (c *conn) checkStall() {
	if c.ended {
		return
	}
	now := c.front.opt.Host.Now()
	if ended, _ := c.session.Ended(); ended && c.detached && c.detachedFD < 0 {
		c.teardown(c.closeReason) // the socket could not be registered again
		return
	}
	if c.detached {
		c.lastProgress = now // this side has paused reading
	} else {
		if out := c.socket.OutboundBuffered(); out < c.lastOutbound {
			c.lastProgress = now
			c.lastOutbound = out
		}
	}
	if now-c.lastProgress > c.front.opt.StallTimeout {
		c.disconnect(fmt.Sprintf("nothing moved for %v", c.front.opt.StallTimeout))
	}
	c.stallTimer = c.front.after(now+stallCheckInterval, c, c.checkStall)
}

// process passes input to the session and output to the client while either makes progress, for at
// most maxRoundsPerTurn rounds, so that a busy client cannot starve the others of its loop.
func (c *conn) process() gnet.Action {
	if c.ended || c.processing {
		return gnet.None
	}
	c.processing = true
	defer func() { c.processing = false }()
	for i := 0; ; i++ {
		if i == maxRoundsPerTurn { // continue after the other connections of this loop
			c.post(func() {})
			break
		}
		progress := c.feedInput()
		if c.writeOutput() {
			progress = true
		}
		if ended, err := c.session.Ended(); ended {
			return c.linger(err)
		}
		if !progress {
			break
		}
	}
	return c.throttleInput()
}

// linger closes a connection whose session has ended, once its output is sent. After an error the
// client may still be sending, and closing a socket with unread bytes would reset the connection, so
// that the client would lose the error text. Therefore only the write side is shut down, and input is
// discarded for lingerTimeout.
func (c *conn) linger(err error) gnet.Action {
	if c.detached {
		if c.detachedFD >= 0 {
			c.reattach()
		}
		return gnet.None
	}
	if out := c.session.Output(); len(out) > 0 && c.socket.OutboundBuffered() <= 2*pauseOutboundBytes {
		_, _ = c.socket.Write(out)
		c.session.Sent(len(out))
	}
	_, _ = c.socket.Discard(-1)
	waiting := c.socket.OutboundBuffered()
	if err == nil && waiting == 0 {
		return gnet.Close
	}
	now := c.front.opt.Host.Now()
	if c.closeAt == 0 {
		c.closeAt = now + lingerTimeout
		c.front.after(c.closeAt, c, func() {})
	}
	switch {
	case now >= c.closeAt:
		return gnet.Close
	case waiting > 0:
		c.pollOutbound()
	case !c.writeClosed:
		c.writeClosed = true
		_ = unix.Shutdown(c.socket.Fd(), unix.SHUT_WR)
	}
	return gnet.None
}

// feedInput passes as much input to the session as it has room for.
func (c *conn) feedInput() bool {
	room := proto.MaxInputBytes - c.session.Buffered()
	if c.detached {
		n := min(room, len(c.detachedInput))
		if n <= 0 {
			return c.resumeSession()
		}
		p := c.detachedInput[:n]
		c.detachedInput = c.detachedInput[n:]
		c.session.Feed(p)
		return true
	}
	n := min(room, c.socket.InboundBuffered())
	if n <= 0 {
		return c.resumeSession()
	}
	p, err := c.socket.Next(n)
	if err != nil {
		return false
	}
	c.lastProgress = c.front.opt.Host.Now()
	c.session.Feed(p)
	return true
}

// resumeSession resumes the session with the input that it has buffered, and reports whether it
// consumed any of it, so that there is room for more.
func (c *conn) resumeSession() bool {
	before := c.session.Buffered()
	c.session.Resume()
	return c.session.Buffered() < before
}

// writeOutput writes the session's output to the client, unless too much is buffered already.
func (c *conn) writeOutput() bool {
	out := c.session.Output()
	if len(out) == 0 || c.detached {
		return false
	}
	if c.socket.OutboundBuffered() > pauseOutboundBytes {
		c.pollOutbound()
		return false
	}
	n, err := c.socket.Write(out)
	if err != nil {
		return false // gnet calls OnClose
	}
	c.session.Sent(n)
	waiting := c.socket.OutboundBuffered()
	if waiting < c.lastOutbound+len(out) {
		c.lastProgress = c.front.opt.Host.Now()
	}
	c.lastOutbound = waiting
	c.session.Resume()
	return true
}

// pollOutbound schedules another check of a full output buffer, because gnet does not signal when the
// buffer has drained.
func (c *conn) pollOutbound() {
	if c.pollPending {
		return
	}
	c.pollPending = true
	c.front.after(c.front.opt.Host.Now()+outboundPollInterval, c, func() { c.pollPending = false })
}

// throttleInput stops reading from a client that sends faster than its input is consumed. gnet has no
// way to pause reading, so a duplicate of the descriptor is kept, gnet closes its own, and the socket
// is registered again once there is room. Meanwhile TCP flow control holds the client back.
func (c *conn) throttleInput() gnet.Action {
	if c.detached {
		if c.detachedFD >= 0 && len(c.detachedInput) == 0 && c.session.Buffered() < proto.MaxInputBytes/2 {
			c.reattach()
		}
		return gnet.None
	}
	waiting := c.socket.InboundBuffered()
	if waiting < pauseInboundBytes {
		return gnet.None
	}
	if c.socket.OutboundBuffered() > 0 {
		if waiting > maxInboundBytes {
			c.disconnect("it sends and does not read")
			return gnet.Close
		}
		return gnet.None
	}
	fd, err := c.socket.Dup()
	if err != nil {
		c.disconnect("no descriptor to set its socket aside: " + err.Error())
		return gnet.Close
	}
	p, _ := c.socket.Next(-1)
	c.detachedInput = append([]byte(nil), p...)
	c.detachedFD, c.detached = fd, true
	c.front.mu.Lock()
	c.front.stats.Paused++
	c.front.mu.Unlock()
	return gnet.Close // closes only gnet's own descriptor
}

// reattach registers the detached socket with the event loop again.
func (c *conn) reattach() {
	file := os.NewFile(uintptr(c.detachedFD), "client")
	c.detachedFD = -1
	nc, err := net.FileConn(file)
	file.Close()
	if err == nil {
		_, err = c.loop.Enroll(gnet.NewContext(context.Background(), c), nc)
	}
	if err != nil {
		c.closeSession(fmt.Errorf("the client's socket could not be read again: %w", err))
		c.teardown(c.closeReason)
	}
}

// reattached is called on the loop once the socket is registered again.
func (c *conn) reattached(g gnet.Conn) {
	if c.ended {
		_ = g.Close()
		return
	}
	c.socket, c.detached, c.lastOutbound = g, false, 0
	c.lastProgress = c.front.opt.Host.Now()
	c.post(func() {})
}

// socketClosed is called when gnet has closed the socket.
func (c *conn) socketClosed(err error) {
	if c.detached && !c.ended && c.detachedFD >= 0 {
		c.post(func() {}) // there may be room for input already
		return
	}
	if err == nil {
		err = c.closeReason
	}
	if ended, _ := c.session.Ended(); !ended {
		c.session.EOF() // the buffered input may be enough to finish successfully
	}
	c.teardown(err)
}

// teardown ends the session and releases everything that the connection holds.
func (c *conn) teardown(err error) {
	if c.ended {
		return
	}
	c.ended = true
	if err == nil {
		err = errors.New("the client closed the connection")
	}
	c.session.Close(err)
	if c.detachedFD >= 0 {
		os.NewFile(uintptr(c.detachedFD), "client").Close()
		c.detachedFD = -1
	}
	f := c.front
	f.cancelTimer(c.handshakeTimer)
	f.cancelTimer(c.stallTimer)
	f.mu.Lock()
	delete(f.conns, c)
	delete(f.budgetWaiters, c)
	f.listEntries -= c.listEntries
	if c.moduleName != "" {
		if f.moduleConns[c.moduleName]--; f.moduleConns[c.moduleName] == 0 {
			delete(f.moduleConns, c.moduleName)
		}
	}
	f.mu.Unlock()
	_, serr := c.session.Ended()
	f.opt.Log.Debug("connection ended", "client", c.remote, "phase", c.session.Phase(), "err", serr)
}
