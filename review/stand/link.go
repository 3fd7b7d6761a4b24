package stand

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Link is a connection over a network that takes a time in each direction: what the other side sends is read here that
// much later, and what is written here leaves that much later, in order.
type Link struct {
	net.Conn
	oneWay time.Duration
	in     *io.PipeReader
	out    chan packet
	close  sync.Once
}

type packet struct {
	data []byte
	due  time.Time
}

// NewLink puts a network before a connection.
func NewLink(c net.Conn, oneWay time.Duration) *Link {
	r, w := io.Pipe()
	l := &Link{Conn: c, oneWay: oneWay, in: r, out: make(chan packet, 1024)}
	arrived := make(chan packet, 1024)
	go func() {
		defer close(arrived)
		for {
			b := make([]byte, 64<<10)
			n, err := c.Read(b)
			if n > 0 {
				arrived <- packet{b[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for p := range arrived {
			sleepUntil(p.due)
			if _, err := w.Write(p.data); err != nil {
				break
			}
		}
		_ = w.Close()
		for range arrived {
		}
	}()
	go func() {
		for p := range l.out {
			sleepUntil(p.due)
			if _, err := c.Write(p.data); err != nil {
				break
			}
		}
		_ = c.Close()
		for range l.out {
		}
	}()
	return l
}

// sleepUntil sleeps by the kernel's timer: the runtime's may be a millisecond late, which is longer than the network takes.
func sleepUntil(t time.Time) {
	if d := time.Until(t); d > 0 {
		ts := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&ts, nil)
	}
}

func (l *Link) Read(p []byte) (int, error) { return l.in.Read(p) }

// Write sends p; it does not wait for it to leave.
func (l *Link) Write(p []byte) (int, error) {
	l.out <- packet{append([]byte(nil), p...), time.Now().Add(l.oneWay)}
	return len(p), nil
}

// Close closes the connection once all that was written has left. Write must not be called after it.
func (l *Link) Close() error {
	l.close.Do(func() { close(l.out); _ = l.in.Close() })
	return nil
}
