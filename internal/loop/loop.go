// Package loop is one gnet event loop that connections of several owners share: clients of the HTTP front
// and connections to nodes. Whatever an owner does to its state it does on the loop, so that none of it
// takes a lock. The loop decides nothing and knows no protocol. internal/live makes it; internal/front/http
// and internal/backend/http put their connections on it.
package loop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"eiderhold/internal/telemetry"
)

// readCap is how many bytes a turn of the loop reads from one connection.
const readCap = 64 << 10

// Peer is what an owner keeps of a connection. Its methods run on the loop.
type Peer interface {
	Opened(gnet.Conn) // it may be written to from now on
	Traffic(gnet.Conn) gnet.Action
	Closed(gnet.Conn, error)
}

// Loop is a running event loop.
type Loop struct {
	log    *slog.Logger
	client *gnet.Client
	el     gnet.EventLoop

	mu   sync.Mutex
	box  []func()
	rung bool

	// the rest belongs to the loop
	endings  map[gnet.Conn]*ending
	sweeping bool // a timer for them runs
}

// Start starts a loop.
func Start(log *slog.Logger) (*Loop, error) {
	l := &Loop{log: log, endings: map[gnet.Conn]*ending{}}
	client, err := gnet.NewClient(&handler{l: l}, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(telemetry.Gnet{Log: log}), gnet.WithReadBufferCap(readCap), gnet.WithWriteBufferCap(readCap))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	l.client = client
	if err := l.anchorTo(); err != nil {
		_ = client.Stop()
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return l, nil
}

// anchorTo enrols a UDP socket that nothing is sent on: gnet hands out a loop's handle with a connection only,
// and on the platform sockets are TCP and UDP over IPv4.
func (l *Loop) anchorTo() error {
	c, err := net.Dial("udp4", "127.0.0.1:9") // connected, as gnet asks for a peer; no packet leaves for it
	if err != nil {
		return err
	}
	g, err := l.client.EnrollContext(c, &member{Peer: anchor{}})
	if err == nil {
		l.el = g.EventLoop()
	}
	return err
}

type anchor struct{}

func (anchor) Opened(gnet.Conn)              {}
func (anchor) Traffic(gnet.Conn) gnet.Action { return gnet.None }
func (anchor) Closed(gnet.Conn, error)       {}

// Do has f run on the loop. What is posted runs in order. After Stop nothing runs.
func (l *Loop) Do(f func()) {
	l.mu.Lock()
	l.box = append(l.box, f)
	rung := l.rung
	l.rung = true
	l.mu.Unlock()
	if rung {
		return
	}
	if err := l.el.Execute(context.Background(), turn{l}); err != nil {
		l.mu.Lock()
		l.box, l.rung = nil, false
		l.mu.Unlock()
	}
}

type turn struct{ l *Loop }

// Run does what was posted.
func (t turn) Run(context.Context) error {
	t.l.mu.Lock()
	box := t.l.box
	t.l.box, t.l.rung = nil, false
	t.l.mu.Unlock()
	for _, f := range box {
		f()
	}
	return nil
}

// Every has f run on the loop again and again until ctx ends.
func (l *Loop) Every(ctx context.Context, pause time.Duration, f func()) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.Do(f)
		}
	}
}

// Add puts a connection on the loop. It returns once Opened has run; c must not be used any more. An error
// means that the connection is closed and the peer will hear nothing.
func (l *Loop) Add(c net.Conn, p Peer) error {
	m := &member{Peer: p}
	if _, err := l.client.EnrollContext(c, m); err != nil {
		return err
	}
	if !m.opened { // gnet closes a connection that the kernel's poller does not take, and says nothing
		return errors.New("event loop: the connection could not be registered")
	}
	return nil
}

// member is a peer on the loop. Its flag is read once gnet has said that it is done with opening.
type member struct {
	Peer
	opened bool
	ending *ending // it is being closed in order
}

// Close ends a connection at once, on the loop: Closed runs before it returns. Where the other side may still
// have something to read, or may be sending, Finish is the way.
func (l *Loop) Close(g gnet.Conn) { _ = l.el.Close(g) }

// Stop ends the loop and all connections on it.
func (l *Loop) Stop() error { return l.client.Stop() }

type handler struct {
	gnet.BuiltinEventEngine
	l *Loop
}

func (*handler) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	m := g.Context().(*member)
	m.opened = true
	m.Opened(g)
	return nil, gnet.None
}

func (h *handler) OnTraffic(g gnet.Conn) gnet.Action {
	m := g.Context().(*member)
	if e := m.ending; e != nil {
		n, _ := g.Discard(-1)
		e.read += n
		h.l.finish(g, e)
		return gnet.None
	}
	return m.Traffic(g)
}

func (h *handler) OnClose(g gnet.Conn, err error) gnet.Action {
	m := g.Context().(*member)
	if m.ending != nil {
		delete(h.l.endings, g)
	}
	m.Closed(g, err)
	return gnet.None
}
