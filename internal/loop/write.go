package loop

import (
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// maxCombinedBody is the length from which a body is written from where it is; a shorter one is copied behind its head.
	maxCombinedBody = 4 << 10
	maxPieces       = 2 // of a message: head and body

	// Pauses before output is written again that the other side has not taken. They grow while it takes nothing.
	leastFlushPause = 2 * time.Millisecond
	mostFlushPause  = 64 * time.Millisecond
)

// ErrNoMemory is returned by Write if the memory for messages does not hold what the connection has not taken.
var ErrNoMemory = errors.New("event loop: no memory for unsent output")

// Flusher is a Peer that is told, on the loop, when all output that had to wait has been sent.
type Flusher interface {
	Flushed(gnet.Conn)
}

// output is what a connection has not taken yet. The loop keeps it itself, in memory of the arena: gnet's own buffers are
// garbage as soon as they are sent.
type output struct {
	data  []byte // from the arena
	sent  int    // bytes at the start of data that have been sent
	pause time.Duration
	due   time.Time // when it is written again
}

// unsent returns the number of bytes that have not been sent.
func (o *output) unsent() int { return len(o.data) - o.sent }

// CombinedBytes returns the capacity that a message's head needs beyond its own length so that Write does not allocate.
func CombinedBytes(body []byte) int {
	if len(body) < maxCombinedBody {
		return len(body)
	}
	return 0
}

// Write writes the head and the body of a message, on the loop. What the connection does not take at once is copied and sent
// later. On an error the connection has been closed.
func (l *Loop) Write(g gnet.Conn, head, body []byte) error {
	m, open := g.Context().(*connState)
	if !open {
		return net.ErrClosed
	}
	pieces := make([][]byte, 0, maxPieces)
	if len(body) < maxCombinedBody {
		pieces = append(pieces, append(head, body...))
	} else {
		pieces = append(pieces, head, body)
	}
	if m.output.unsent() == 0 {
		sent, err := writeNow(g.Fd(), pieces)
		if err != nil {
			l.Close(g)
			return err
		}
		pieces = skip(pieces, sent)
	}
	if !l.keepOutput(&m.output, pieces) {
		l.Close(g)
		return ErrNoMemory
	}
	if m.output.unsent() > 0 {
		l.awaitFlush(g, m)
	}
	return nil
}

// writeNow writes as much as the socket takes.
func writeNow(fd int, pieces [][]byte) (sent int, err error) {
	for {
		if len(pieces) == 1 {
			sent, err = unix.Write(fd, pieces[0])
		} else {
			sent, err = unix.Writev(fd, pieces)
		}
		switch err {
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, nil
		default:
			return sent, err
		}
	}
}

// skip returns pieces without their first n bytes.
func skip(pieces [][]byte, n int) [][]byte {
	for len(pieces) > 0 && n >= len(pieces[0]) {
		n -= len(pieces[0])
		pieces = pieces[1:]
	}
	if len(pieces) > 0 {
		pieces[0] = pieces[0][n:]
	}
	return pieces
}

// keepOutput copies pieces behind the output of a connection. It returns false if there is no memory.
func (l *Loop) keepOutput(o *output, pieces [][]byte) bool {
	needed := 0
	for _, p := range pieces {
		needed += len(p)
	}
	if free := cap(o.data) - len(o.data); needed > free {
		grown, ok := l.arena.Allocate(o.unsent() + needed)
		if !ok {
			return false
		}
		grown = append(grown, o.data[o.sent:]...)
		l.arena.Free(o.data)
		o.data, o.sent = grown, 0
	}
	for _, p := range pieces {
		o.data = append(o.data, p...)
	}
	return true
}

// dropOutput gives up what a connection has not taken.
func (l *Loop) dropOutput(o *output) {
	l.arena.Free(o.data)
	*o = output{}
}

// awaitFlush makes the loop write a connection's output again after a pause.
func (l *Loop) awaitFlush(g gnet.Conn, m *connState) {
	if _, waits := l.unsent[g]; waits {
		return
	}
	m.output.pause = leastFlushPause
	m.output.due = time.Now().Add(m.output.pause)
	l.unsent[g] = m
	l.scheduleFlush()
}

// scheduleFlush schedules the next pass over the connections with output.
func (l *Loop) scheduleFlush() {
	if l.flushScheduled || len(l.unsent) == 0 {
		return
	}
	l.flushScheduled = true
	time.AfterFunc(leastFlushPause, func() { l.Post(l.flushDue) })
}

// flushDue writes the output of the connections whose pause is over.
func (l *Loop) flushDue() {
	l.flushScheduled = false
	now := time.Now()
	for g, m := range l.unsent {
		if !now.Before(m.output.due) {
			l.flush(g, m, now)
		}
	}
	l.scheduleFlush()
}

// flush writes the output of a connection. The pause before the next time grows if the connection has taken nothing.
func (l *Loop) flush(g gnet.Conn, m *connState, now time.Time) {
	o := &m.output
	n, err := writeNow(g.Fd(), [][]byte{o.data[o.sent:]})
	if err != nil {
		l.Close(g)
		return
	}
	if o.sent += n; o.unsent() == 0 {
		l.dropOutput(o)
		delete(l.unsent, g)
		if p, ok := m.Peer.(Flusher); ok && m.closing == nil {
			p.Flushed(g)
		}
		return
	}
	if o.pause = min(2*o.pause, mostFlushPause); n > 0 {
		o.pause = leastFlushPause
	}
	o.due = now.Add(o.pause)
}

// Unsent returns the number of bytes that a connection has not taken yet. It is called on the loop.
func Unsent(g gnet.Conn) int {
	if m, ok := g.Context().(*connState); ok {
		return m.output.unsent() + g.OutboundBuffered()
	}
	return 0
}

// UnsentMemory returns the bytes that the unsent output of a connection takes, as allocated.
func UnsentMemory(g gnet.Conn) int {
	if m, ok := g.Context().(*connState); ok {
		return cap(m.output.data)
	}
	return 0
}
