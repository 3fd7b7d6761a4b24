// Package loop runs one gnet event loop that several owners share: the HTTP front with its client connections and
// the HTTP backend with its connections to nodes. Owners access their state on the loop only, so that it needs no
// locks. The package knows no protocol. internal/live starts the loop; internal/front/http and
// internal/backend/http add their connections to it.
package loop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"eiderhold/internal/buffer"
	"eiderhold/internal/telemetry"
)

// bufferBytes limits how much one turn of the loop reads from a connection.
const bufferBytes = 16 << 10

// discardBytes is what is discarded with one call from a connection that is closing.
const discardBytes = 32 << 10

// Peer handles the events of a connection for its owner. Its methods run on the loop.
type Peer interface {
	Opened(gnet.Conn) // the connection may be written to from now on
	Traffic(gnet.Conn) gnet.Action
	Closed(gnet.Conn, error)
}

// Loop is a running event loop.
type Loop struct {
	log       *slog.Logger
	client    *gnet.Client
	eventLoop gnet.EventLoop
	arena     *buffer.Arena // for output that connections have not taken

	mu        sync.Mutex
	queue     []func()
	queuedAt  time.Time // when the first of queue was posted
	scheduled bool
	next      []func()
	nextReady chan struct{} // capacity 1; signals that next is not empty
	endNext   context.CancelFunc
	lag       atomic.Int64 // see Lag

	// The fields below are used on the loop only.
	closing        map[gnet.Conn]*closing
	sweepScheduled bool // a timer for the next sweep is running
	discarded      [discardBytes]byte
	unsent         map[gnet.Conn]*connState // connections with output that they have not taken
	flushScheduled bool                     // a timer for the next flush is running
}

// Start starts an event loop. Output that connections do not take at once is kept in memory of the arena; nil: the Go heap.
func Start(log *slog.Logger, arena *buffer.Arena) (*Loop, error) {
	l := &Loop{log: log, arena: arena, closing: map[gnet.Conn]*closing{}, unsent: map[gnet.Conn]*connState{}, nextReady: make(chan struct{}, 1)}
	client, err := gnet.NewClient(&handler{loop: l}, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(telemetry.GnetLogger{Log: log}), gnet.WithReadBufferCap(bufferBytes))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	l.client = client
	if err := l.obtainEventLoop(); err != nil {
		_ = client.Stop()
		return nil, fmt.Errorf("event loop: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.endNext = cancel
	go l.postNext(ctx)
	return l, nil
}

// obtainEventLoop enrols a UDP socket on which nothing is sent, as gnet provides the handle of an event loop only
// through a connection. The platform allows only TCP and UDP sockets over IPv4.
func (l *Loop) obtainEventLoop() error {
	c, err := net.Dial("udp4", "127.0.0.1:9") // connected because gnet needs a remote address; no packet is sent
	if err != nil {
		return err
	}
	g, err := l.client.EnrollContext(c, &connState{Peer: idlePeer{}})
	if err == nil {
		l.eventLoop = g.EventLoop()
	}
	return err
}

type idlePeer struct{}

func (idlePeer) Opened(gnet.Conn)              {}
func (idlePeer) Traffic(gnet.Conn) gnet.Action { return gnet.None }
func (idlePeer) Closed(gnet.Conn, error)       {}

// Post runs f on the loop, asynchronously. Calls run in the order of Post. After Stop they are dropped.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	wasScheduled := l.scheduled
	if !wasScheduled {
		l.scheduled, l.queuedAt = true, time.Now()
	}
	l.mu.Unlock()
	if wasScheduled {
		return
	}
	if err := l.eventLoop.Execute(context.Background(), queueRunner{l}); err != nil {
		l.mu.Lock()
		l.queue, l.scheduled = nil, false
		l.mu.Unlock()
	}
}

type queueRunner struct{ loop *Loop }

// Run runs the queued calls.
func (t queueRunner) Run(context.Context) error {
	t.loop.mu.Lock()
	queue, waited := t.loop.queue, time.Since(t.loop.queuedAt)
	t.loop.queue, t.loop.scheduled = nil, false
	t.loop.mu.Unlock()
	t.loop.lag.Store(max(t.loop.lag.Load(), int64(waited)))
	for _, f := range queue {
		f()
	}
	return nil
}

// Every runs f on the loop at the given interval until ctx is done.
func (l *Loop) Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Post(f)
		}
	}
}

// Add moves a connection to the loop and returns once Opened has run; c must not be used any more. On an error the
// connection is closed and the Peer gets no calls.
func (l *Loop) Add(c net.Conn, p Peer) error {
	m := &connState{Peer: p}
	if _, err := l.client.EnrollContext(c, m); err != nil {
		return err
	}
	if !m.opened { // gnet closes a connection that the poller rejects without an error
		return errors.New("event loop: the connection could not be registered")
	}
	return nil
}

// connState is the state of a connection on the loop. Add reads opened once EnrollContext has returned.
type connState struct {
	Peer
	opened  bool
	closing *closing // set during a graceful close
	output  output
}

// Close closes a connection at once, on the loop; Closed runs before it returns. If the other side may still be
// reading or sending, use CloseGracefully.
func (l *Loop) Close(g gnet.Conn) { _ = l.eventLoop.Close(g) }

// Stop stops the loop and closes all of its connections.
func (l *Loop) Stop() error {
	l.endNext()
	return l.client.Stop()
}

type handler struct {
	gnet.BuiltinEventEngine
	loop *Loop
}

func (*handler) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	m := g.Context().(*connState)
	m.opened = true
	m.Opened(g)
	return nil, gnet.None
}

func (h *handler) OnTraffic(g gnet.Conn) gnet.Action {
	m := g.Context().(*connState)
	if e := m.closing; e != nil {
		n, _ := g.Discard(-1)
		e.discarded += n + h.loop.discardUnread(g.Fd())
		h.loop.advanceClose(g, e)
		return gnet.None
	}
	return m.Traffic(g)
}

func (h *handler) OnClose(g gnet.Conn, err error) gnet.Action {
	m := g.Context().(*connState)
	if m.closing != nil {
		delete(h.loop.closing, g)
	}
	m.Closed(g, err)
	delete(h.loop.unsent, g)
	h.loop.dropOutput(&m.output)
	return gnet.None
}
