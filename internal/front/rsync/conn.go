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

// conn is one client. Everything but its mailbox belongs to its event loop.
type conn struct {
	f        *Front
	g        gnet.Conn
	loop     gnet.EventLoop
	remote   string
	session  *proto.Session
	transfer *transfer
	module   string // entered; empty: none
	listed   int    // entries of file lists booked, under the front\'s lock
	active   atomic.Bool
	began    time.Duration

	mu     sync.Mutex // guards the mailbox
	box    []func()
	rung   bool
	inTurn bool

	shake   *wheel.Timer[timer]
	watch   *wheel.Timer[timer]
	polling bool
	moved   time.Duration // when bytes last went either way
	lastOut int

	aside bool   // the socket is being set aside, or is
	fd    int    // of a socket set aside; -1: none
	carry []byte // what had been read from it
	dead  bool
	why   error

	closeBy   time.Duration // of a connection that parts
	shutWrite bool
}

const turnMost = 8 // times a session goes on before others have their turn

const partTime = 2 * time.Second // a connection whose session is over is closed after it

func newConn(f *Front, g gnet.Conn) *conn {
	c := &conn{f: f, g: g, loop: g.EventLoop(), remote: hostOf(g.RemoteAddr()), fd: -1, began: f.opt.Host.Now()}
	c.moved = c.began
	return c
}

// begin starts the session and the time for its handshake.
func (c *conn) begin() {
	c.session = proto.NewSession(&gateway{c.f, c})
	c.shake = c.f.after(c.began+c.f.opt.Handshake, c, func() {
		if !c.active.Load() {
			c.shed("the handshake took too long")
		}
	})
	c.watch = c.f.after(c.began+stallBit, c, c.look)
}

func (c *conn) cancelHandshake() { c.f.cancelTimer(c.shake) }

// post has f run on the connection's loop, also after the client has gone.
func (c *conn) post(f func()) {
	c.mu.Lock()
	c.box = append(c.box, f)
	rung := c.rung
	c.rung = true
	c.mu.Unlock()
	if !rung {
		if err := c.loop.Execute(context.Background(), runnable(c.run)); err != nil {
			c.mu.Lock()
			c.rung = false // the loops have ended
			c.mu.Unlock()
		}
	}
}

type runnable func()

func (r runnable) Run(context.Context) error { r(); return nil }

// run does what was posted, then a turn.
func (c *conn) run() {
	c.mu.Lock()
	box := c.box
	c.box, c.rung = nil, false
	c.mu.Unlock()
	for _, f := range box {
		f()
	}
	if c.dead {
		return
	}
	if c.turn() == gnet.Close {
		_ = c.loop.Close(c.g) // at once: nothing more is read from it
	}
}

// shut ends the connection.
func (c *conn) shut(why error) {
	if c.dead {
		return
	}
	c.why = why
	c.session.Close(why)
}

// shed closes a connection that costs more than it may.
func (c *conn) shed(why string) {
	if over, _ := c.session.Over(); over || c.dead {
		return
	}
	c.f.mu.Lock()
	c.f.stats.Shed++
	c.f.mu.Unlock()
	c.f.opt.Log.Info("a client is sent away", "client", c.remote, "phase", c.session.Phase(), "why", why)
	c.shut(errors.New(why))
}

// look closes a connection on which nothing moves.
func (c *conn) look() {
	if c.dead {
		return
	}
	now := c.f.opt.Host.Now()
	if over, _ := c.session.Over(); over && c.aside && c.fd < 0 {
		c.gone(c.why) // its socket could not be enrolled again
		return
	}
	if c.aside {
		c.moved = now // it is this side that does not read
	} else {
		if out := c.g.OutboundBuffered(); out < c.lastOut {
			c.moved = now
			c.lastOut = out
		}
	}
	if now-c.moved > c.f.opt.Stall {
		c.shed(fmt.Sprintf("nothing moved for %v", c.f.opt.Stall))
	}
	c.watch = c.f.after(now+stallBit, c, c.look)
}

// turn feeds the session what has come, and the client what is for it, as long as
// either goes on, but no longer than a few times: one client with much to do must not
// keep the loop from the others.
func (c *conn) turn() gnet.Action {
	if c.dead || c.inTurn {
		return gnet.None
	}
	c.inTurn = true
	defer func() { c.inTurn = false }()
	for i := 0; ; i++ {
		if i == turnMost { // others of this loop have their turn
			c.post(func() {})
			break
		}
		went := c.feed()
		if c.output() {
			went = true
		}
		if over, err := c.session.Over(); over {
			return c.part(err)
		}
		if !went {
			break
		}
	}
	return c.throttle()
}

// part ends a connection whose session is over: what is for the client goes out
// first. After an error the client may still be sending; a socket closed over unread
// bytes would be reset, and the client would lose the text that tells it why. So only
// this side is shut, and what comes is thrown away for a moment.
func (c *conn) part(err error) gnet.Action {
	if c.aside {
		if c.fd >= 0 {
			c.resume()
		}
		return gnet.None
	}
	if out := c.session.Out(); len(out) > 0 && c.g.OutboundBuffered() <= 2*outHigh {
		_, _ = c.g.Write(out)
		c.session.Sent(len(out))
	}
	_, _ = c.g.Discard(-1)
	waiting := c.g.OutboundBuffered()
	if err == nil && waiting == 0 {
		return gnet.Close
	}
	now := c.f.opt.Host.Now()
	if c.closeBy == 0 {
		c.closeBy = now + partTime
		c.f.after(c.closeBy, c, func() {})
	}
	switch {
	case now >= c.closeBy:
		return gnet.Close
	case waiting > 0:
		c.poll()
	case !c.shutWrite:
		c.shutWrite = true
		_ = unix.Shutdown(c.g.Fd(), unix.SHUT_WR)
	}
	return gnet.None
}

// feed hands input to the session as far as it takes it.
func (c *conn) feed() bool {
	room := proto.InputHigh - c.session.Held()
	if c.aside {
		n := min(room, len(c.carry))
		if n <= 0 {
			return c.resumeSession()
		}
		p := c.carry[:n]
		c.carry = c.carry[n:]
		c.session.Feed(p)
		return true
	}
	n := min(room, c.g.InboundBuffered())
	if n <= 0 {
		return c.resumeSession()
	}
	p, err := c.g.Next(n)
	if err != nil {
		return false
	}
	c.moved = c.f.opt.Host.Now()
	c.session.Feed(p)
	return true
}

// resumeSession lets the session go on with what it holds, and says whether it took
// any of it, so that there is room for more.
func (c *conn) resumeSession() bool {
	before := c.session.Held()
	c.session.Resume()
	return c.session.Held() < before
}

// output writes what is for the client, unless its socket is full.
func (c *conn) output() bool {
	out := c.session.Out()
	if len(out) == 0 || c.aside {
		return false
	}
	if c.g.OutboundBuffered() > outHigh {
		c.poll()
		return false
	}
	n, err := c.g.Write(out)
	if err != nil {
		return false // OnClose follows
	}
	c.session.Sent(n)
	waiting := c.g.OutboundBuffered()
	if waiting < c.lastOut+len(out) {
		c.moved = c.f.opt.Host.Now()
	}
	c.lastOut = waiting
	c.session.Resume()
	return true
}

// poll looks at a full socket again soon: gnet does not tell when it has drained.
func (c *conn) poll() {
	if c.polling {
		return
	}
	c.polling = true
	c.f.after(c.f.opt.Host.Now()+outPoll, c, func() { c.polling = false })
}

// throttle stops reading from a client that sends faster than its bytes can be
// used. gnet reads whatever comes; so the socket is taken out of the loop, kept in a
// duplicate, and enrolled again once there is room. What the client sends meanwhile
// fills its own window.
func (c *conn) throttle() gnet.Action {
	if c.aside {
		if c.fd >= 0 && len(c.carry) == 0 && c.session.Held() < proto.InputHigh/2 {
			c.resume()
		}
		return gnet.None
	}
	waiting := c.g.InboundBuffered()
	if waiting < inPause {
		return gnet.None
	}
	if c.g.OutboundBuffered() > 0 {
		if waiting > inShed {
			c.shed("it sends and does not read")
			return gnet.Close
		}
		return gnet.None
	}
	fd, err := c.g.Dup()
	if err != nil {
		c.shed("no descriptor to set its socket aside: " + err.Error())
		return gnet.Close
	}
	p, _ := c.g.Next(-1)
	c.carry = append([]byte(nil), p...)
	c.fd, c.aside = fd, true
	c.f.mu.Lock()
	c.f.stats.Paused++
	c.f.mu.Unlock()
	return gnet.Close // of gnet's own descriptor
}

// resume enrols the socket again.
func (c *conn) resume() {
	file := os.NewFile(uintptr(c.fd), "client")
	c.fd = -1
	nc, err := net.FileConn(file)
	file.Close()
	if err == nil {
		_, err = c.loop.Enroll(gnet.NewContext(context.Background(), c), nc)
	}
	if err != nil {
		c.shut(fmt.Errorf("the client's socket could not be read again: %w", err))
		c.gone(c.why)
	}
}

// back is called on the loop when the socket is enrolled.
func (c *conn) back(g gnet.Conn) {
	if c.dead {
		_ = g.Close()
		return
	}
	c.g, c.aside, c.lastOut = g, false, 0
	c.moved = c.f.opt.Host.Now()
	c.post(func() {})
}

// closed is called when gnet has closed the socket.
func (c *conn) closed(err error) {
	if c.aside && !c.dead && c.fd >= 0 {
		c.post(func() {}) // there may be room already
		return
	}
	if err == nil {
		err = c.why
	}
	if over, _ := c.session.Over(); !over {
		c.session.EOF() // what it has may be enough to end well
	}
	c.gone(err)
}

// gone ends everything of the connection.
func (c *conn) gone(err error) {
	if c.dead {
		return
	}
	c.dead = true
	if err == nil {
		err = errors.New("the client closed the connection")
	}
	c.session.Close(err)
	if c.fd >= 0 {
		os.NewFile(uintptr(c.fd), "client").Close()
		c.fd = -1
	}
	f := c.f
	f.cancelTimer(c.shake)
	f.cancelTimer(c.watch)
	f.mu.Lock()
	delete(f.conns, c)
	delete(f.hungry, c)
	f.listed -= c.listed
	if c.module != "" {
		if f.entered[c.module]--; f.entered[c.module] == 0 {
			delete(f.entered, c.module)
		}
	}
	f.mu.Unlock()
	_, serr := c.session.Over()
	f.opt.Log.Debug("connection ended", "client", c.remote, "phase", c.session.Phase(), "err", serr)
}
