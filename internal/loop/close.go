package loop

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// The bounds of a graceful close.
const (
	flushTimeout   = 5 * time.Second       // for flushing what is written
	lingerTimeout  = time.Second           // from the shutdown of the sending side, for the peer to close
	maxLingerBytes = 1 << 20               // bytes read and discarded meanwhile
	maxTurnBytes   = 64 << 10              // of them in one turn of the loop, so that others get theirs
	sweepInterval  = 20 * time.Millisecond // between checks of the connections that are closing
)

// closing is the state of a connection in graceful close.
type closing struct {
	deadline    time.Time // the connection is closed by then whatever is left
	writeClosed bool      // the sending side is shut down
	discarded   int       // bytes read and discarded
}

// CloseGracefully closes a connection gracefully, on the loop: it flushes what is written, shuts down the sending side,
// and discards further input until the peer closes or a bound is reached. The Peer gets no more Traffic calls, and
// Closed at the end. A plain close with unread input resets the connection, which can destroy an answer that the other
// side has not read yet. The cost is a descriptor that stays open for up to a second after the flush.
func (l *Loop) CloseGracefully(g gnet.Conn) {
	m := g.Context().(*connState)
	if m.closing != nil {
		return
	}
	m.closing = &closing{deadline: time.Now().Add(flushTimeout)}
	l.closing[g] = m.closing
	l.advanceClose(g, m.closing)
	l.scheduleSweep()
}

// discardUnread discards some of what has arrived on a TCP socket, without copying it, and returns the number of bytes.
func (l *Loop) discardUnread(fd int) (n int) {
	for n < maxTurnBytes {
		got, _, err := unix.Recvfrom(fd, l.discarded[:], unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		if err != nil || got == 0 { // none left, or the end, which the next read reports
			return n
		}
		n += got
	}
	return n
}

// advanceClose advances a graceful close as far as possible. It returns false once the connection is closed.
func (l *Loop) advanceClose(g gnet.Conn, e *closing) bool {
	if !e.writeClosed && Unsent(g) == 0 {
		e.writeClosed = true
		e.deadline = time.Now().Add(lingerTimeout)
		_ = unix.Shutdown(g.Fd(), unix.SHUT_WR) // on an error the peer has closed, which the next read reports
	}
	if e.discarded <= maxLingerBytes && time.Now().Before(e.deadline) {
		return true
	}
	l.Close(g)
	return false
}

// scheduleSweep schedules the next check of the connections that are closing.
func (l *Loop) scheduleSweep() {
	if l.sweepScheduled || len(l.closing) == 0 {
		return
	}
	l.sweepScheduled = true
	time.AfterFunc(sweepInterval, func() { l.Post(l.sweep) })
}

func (l *Loop) sweep() {
	l.sweepScheduled = false
	for g, e := range l.closing {
		l.advanceClose(g, e)
	}
	l.scheduleSweep()
}

// HasUnread reports whether the connection has input that has not been read yet. It is called on the loop.
func HasUnread(g gnet.Conn) bool {
	var p [1]byte
	n, _, err := unix.Recvfrom(g.Fd(), p[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}
