package loop

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// The bounds of an orderly close.
const (
	flushWithin  = 5 * time.Second       // for the peer to take what is written
	lingerWithin = time.Second           // from the end of sending on, for the peer's own end
	lingerMost   = 1 << 20               // bytes thrown away meanwhile
	sweepEvery   = 20 * time.Millisecond // while something is not flushed or has not ended
)

// ending is a connection that is closed in order.
type ending struct {
	by   time.Time // it is closed whatever is left
	shut bool      // sending has ended
	read int       // bytes thrown away
}

// Finish closes a connection in order, on the loop: what is written is flushed, the sending side is shut, and
// what still comes is read and thrown away until the peer's end or a bound; then it is closed. Its peer hears no
// Traffic any more, and Closed at the end. Guards against a close over unread bytes, which resets the connection,
// and a reset takes an answer with it that the other side has not read yet. Harm: a descriptor is held for as
// long as the other side takes, a second after the flush at most.
func (l *Loop) Finish(g gnet.Conn) {
	m := g.Context().(*member)
	if m.ending != nil {
		return
	}
	m.ending = &ending{by: time.Now().Add(flushWithin)}
	l.endings[g] = m.ending
	l.finish(g, m.ending)
	l.sweepSoon()
}

// finish goes on with one as far as it can; false: it is closed.
func (l *Loop) finish(g gnet.Conn, e *ending) bool {
	if !e.shut && g.OutboundBuffered() == 0 {
		e.shut = true
		e.by = time.Now().Add(lingerWithin)
		_ = unix.Shutdown(g.Fd(), unix.SHUT_WR) // an error is the peer's end, which is read next
	}
	if e.read <= lingerMost && time.Now().Before(e.by) {
		return true
	}
	l.Close(g)
	return false
}

// sweepSoon sees to it that those that are ending are looked at again.
func (l *Loop) sweepSoon() {
	if l.sweeping || len(l.endings) == 0 {
		return
	}
	l.sweeping = true
	time.AfterFunc(sweepEvery, func() { l.Do(l.sweep) })
}

func (l *Loop) sweep() {
	l.sweeping = false
	for g, e := range l.endings {
		l.finish(g, e)
	}
	l.sweepSoon()
}

// Unread says, on the loop, that bytes have come which nobody has read yet.
func Unread(g gnet.Conn) bool {
	var p [1]byte
	n, _, err := unix.Recvfrom(g.Fd(), p[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}
