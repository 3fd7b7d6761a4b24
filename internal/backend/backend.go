// Package backend sends attempts to storage nodes over pipelined connections on gnet event loops, and reports how
// each ended. It neither chooses nodes nor retries. The host calls it (Send, Drop, Probe, Nodes) and receives
// results through its AttemptEnded and Probed methods.
//
// What an outcome proves: NotSent and Unreachable are reported only for attempts of which no byte was handed to a
// socket. Once a frame has been handed over, an attempt whose connection ends is reported as Reset, however much of
// the frame was sent.
package backend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"eiderhold/internal/telemetry"
	"github.com/panjf2000/gnet/v2"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
)

// Settings configure a Backend and bound its connections.
type Settings struct {
	Name            string        // of the gateway, for the hello
	MaxConns        int           // most connections per node
	AttemptsPerConn int           // attempts in flight on a connection before another one is opened
	MaxWaiting      int           // most attempts that wait for a connection, per node
	DialTimeout     time.Duration // for connecting and the node's hello
	IdleTimeout     time.Duration // idle time after which a connection is closed; 0: never
	SendCancel      bool          // send the node a cancel for each dropped attempt
	Loops           int           // gnet event loops
	// OnFill is called with the bytes that a shard holds, and whether it had no room for an item. It is called with
	// a lock held, so it must neither block nor call the Backend. It may be nil.
	OnFill func(shard int, used, capacity uint64, noRoom bool)
}

// Owner receives the results of attempts and probes; the host implements it.
type Owner interface {
	AttemptEnded(host.Outcome)
	Probed(node string, result control.Result, took time.Duration, load []float64)
}

// Backend is the set of connections to all nodes.
type Backend struct {
	settings Settings
	owner    Owner
	log      *slog.Logger
	client   *gnet.Client
	ctx      context.Context
	cancel   context.CancelFunc
	dials    sync.WaitGroup

	mu       sync.Mutex
	nodes    map[string]*node
	attempts map[uint64]*attempt // by the host's reference (Ref)
	closed   bool
	stats    Stats
}

// Stats are counters since the start; Conns is the current number of connections.
type Stats struct {
	Dials, DialsFailed, Closed, Frames, Unmatched, ProtocolErrors uint64
	Conns                                                         int
}

// node is the state of the connections to one node.
type node struct {
	id      string
	addr    string
	listed  bool
	conns   []*conn
	dialing int
	waiting []*attempt // not yet assigned to a connection
}

// conn is one connection to a node, from its hello on.
type conn struct {
	gnet.Conn
	node        *node
	ready       bool // the node's hello has arrived
	shard       int  // from the node's hello
	closed      bool
	closeReason string // text reported to the owner; empty: unknown
	lastID      uint64
	attempts    map[uint64]*attempt // by attempt.id
	probe       *attempt            // the latest in flight; only one is kept, so that none accumulate at a hanging node
	idleSince   time.Time           // time when its last attempt ended
	timer       *time.Timer         // dial timeout, until the hello arrives
	needBytes   int                 // bytes of the current frame, as far as its size is known
}

// attempt is an attempt or a probe.
type attempt struct {
	host.Attempt
	probe  bool
	sentAt time.Time
	conn   *conn  // nil: not yet assigned to one
	id     uint64 // unique on its connection
	frame  *buffer.Buffer
}

// New starts the event loops and returns a backend without nodes.
func New(settings Settings, owner Owner, log *slog.Logger) (*Backend, error) {
	settings.MaxConns, settings.AttemptsPerConn = max(1, settings.MaxConns), max(1, settings.AttemptsPerConn)
	settings.MaxWaiting, settings.Loops = max(1, settings.MaxWaiting), max(1, settings.Loops)
	b := &Backend{settings: settings, owner: owner, log: log, nodes: map[string]*node{}, attempts: map[uint64]*attempt{}}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	client, err := gnet.NewClient(&handler{b: b}, gnet.WithNumEventLoop(settings.Loops), gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(telemetry.GnetLogger{Log: log}),
		gnet.WithReadBufferCap(256<<10), gnet.WithWriteBufferCap(1<<20))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("backend: event loops: %w", err)
	}
	b.client = client
	return b, nil
}

// SetOwner sets the owner. It must be called before the first Send.
func (b *Backend) SetOwner(o Owner) { b.owner = o }

// Close closes all connections. Outcomes of attempts in flight are not reported.
func (b *Backend) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.dials.Wait()
	return b.client.Stop()
}

// Stats returns the counters.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	for _, n := range b.nodes {
		s.Conns += len(n.conns)
	}
	return s
}

// Nodes replaces the list of nodes. Connections to unlisted nodes stay open until the attempts on them have ended.
func (b *Backend) Nodes(list []host.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		n.listed = false
	}
	for _, l := range list {
		n := b.nodes[l.ID]
		if n == nil {
			n = &node{id: l.ID}
			b.nodes[l.ID] = n
		}
		n.addr, n.listed = l.Addr, true
	}
	for id, n := range b.nodes {
		if !n.listed && len(n.conns)+n.dialing+len(n.waiting) == 0 {
			delete(b.nodes, id)
		}
	}
}

// Send writes an attempt to a connection, or queues it until one is open.
func (b *Backend) Send(a host.Attempt) { b.submit(&attempt{Attempt: a, sentAt: time.Now()}) }

// Probe asks a node for its load.
func (b *Backend) Probe(id string) {
	b.submit(&attempt{Attempt: host.Attempt{Node: id}, probe: true, sentAt: time.Now()})
}

func (b *Backend) submit(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[a.Node]
	if n == nil || !n.listed || b.closed {
		b.report(a, control.NotSent, "the node is not listed")
		return
	}
	if !a.probe {
		b.attempts[a.Ref] = a
	}
	if c := n.leastLoaded(b.settings.AttemptsPerConn, b.settings.MaxConns); c != nil {
		b.write(c, a)
		return
	}
	if len(n.waiting) >= b.settings.MaxWaiting {
		delete(b.attempts, a.Ref)
		b.report(a, control.NotSent, fmt.Sprintf("%d attempts wait for a connection already", b.settings.MaxWaiting))
		return
	}
	n.waiting = append(n.waiting, a)
	b.dial(n)
}

// leastLoaded returns the connection with the fewest attempts in flight, or nil if all carry at least streams attempts
// and another one may be opened. When the connection limit is reached, streams no longer applies: the controller's
// window bounds the attempts.
func (n *node) leastLoaded(attemptsPerConn, maxConns int) *conn {
	var best *conn
	for _, c := range n.conns {
		if c.ready && !c.closed && (best == nil || len(c.attempts) < len(best.attempts)) {
			best = c
		}
	}
	if best != nil && len(best.attempts) >= attemptsPerConn && n.dialing == 0 && len(n.conns) < maxConns {
		return nil
	}
	return best
}

// write writes the attempt's frame to a connection; from then on the attempt may run. An attempt that has waited
// longer than BeginWithin is not sent: the node may no longer recognize it as a repeat and would apply its effect
// again.
func (b *Backend) write(c *conn, a *attempt) {
	if a.BeginWithin > 0 && time.Since(a.sentAt) >= a.BeginWithin {
		delete(b.attempts, a.Ref)
		b.report(a, control.NotSent, "the window for repeats is over")
		return
	}
	c.lastID++
	a.id, a.conn = c.lastID, c
	c.attempts[a.id] = a
	if a.probe {
		if c.probe != nil {
			delete(c.attempts, c.probe.id)
		}
		c.probe = a
		a.frame = buffer.Get(64)
		a.frame.B = nodewire.Append(a.frame.B[:0], &nodewire.Probe{ID: a.id})
	} else {
		r := a.Request
		left := max(0, a.Remaining-time.Since(a.sentAt))
		a.frame = buffer.Get(len(r.Payload) + 512 + len(r.Item) + len(r.Key) + len(r.Volume))
		a.frame.B = nodewire.Append(a.frame.B[:0], &nodewire.Request{ID: a.id, Ref: a.ID, Attempt: uint8(a.Number),
			Op: r.Op, Class: r.Class, Volume: r.Volume, Item: r.Item, Key: r.Key,
			MilliUnits: uint32(r.Units * 1000), Offset: uint64(r.Offset), Length: uint32(r.Length),
			LeftMicros: uint32(min(left.Microseconds(), 1<<32-1)), Payload: r.Payload})
	}
	b.stats.Frames++
	frame := a.frame
	if err := c.AsyncWrite(frame.B, func(gnet.Conn, error) error { frame.Release(); return nil }); err != nil {
		b.log.Debug("backend: write", "node", a.Node, "err", err) // OnClose reports the attempt as Reset
	}
}

// Drop removes an attempt whose answer is no longer needed.
func (b *Backend) Drop(ref uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.attempts[ref]
	if a == nil {
		return
	}
	delete(b.attempts, ref)
	if a.conn == nil {
		b.dequeue(a)
		return
	}
	c := a.conn
	delete(c.attempts, a.id)
	c.markIdle()
	if b.settings.SendCancel && !c.closed {
		_ = c.AsyncWrite(nodewire.Append(nil, &nodewire.Cancel{ID: a.id}), nil)
	}
}

// Withdraw ends an attempt that waits for a connection; its result is NotSent.
func (b *Backend) Withdraw(ref uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.attempts[ref]
	if a == nil || a.conn != nil {
		return
	}
	delete(b.attempts, ref)
	b.dequeue(a)
	b.report(a, control.NotSent, "withdrawn before it left")
}

// dequeue removes an attempt from the queue of its node.
func (b *Backend) dequeue(a *attempt) {
	if n := b.nodes[a.Node]; n != nil {
		n.waiting = slices.DeleteFunc(n.waiting, func(w *attempt) bool { return w == a })
	}
}

// markIdle records the time if no attempt is left on the connection.
func (c *conn) markIdle() {
	if len(c.attempts) == 0 {
		c.idleSince = time.Now()
	}
}

// report passes a result to the owner. It is called with the lock held, so the owner must not block: it only puts
// the result into its mailbox.
func (b *Backend) report(a *attempt, result control.Result, text string) {
	if a.probe {
		b.owner.Probed(a.Node, result, time.Since(a.sentAt), nil)
		return
	}
	b.owner.AttemptEnded(host.Outcome{Ref: a.Ref, Result: result, Text: text, Shard: control.AnyShard})
}

// dial opens one more connection to a node in its own goroutine, unless one is being opened or the limit is reached.
func (b *Backend) dial(n *node) {
	if n.dialing > 0 || len(n.conns) >= b.settings.MaxConns || b.closed {
		return
	}
	n.dialing++
	b.stats.Dials++
	addr := n.addr
	b.dials.Add(1)
	go func() {
		defer b.dials.Done()
		d := net.Dialer{Timeout: b.settings.DialTimeout}
		raw, err := d.DialContext(b.ctx, "tcp", addr)
		c := &conn{node: n, attempts: map[uint64]*attempt{}, idleSince: time.Now(), needBytes: 4}
		if err == nil {
			_, err = b.client.EnrollContext(raw, c)
		}
		if err != nil {
			b.dialFailed(n, fmt.Errorf("dial %s: %w", addr, err))
		}
	}()
}

// dialFailed handles a failed dial or hello: all attempts that wait for a connection end as Unreachable.
func (b *Backend) dialFailed(n *node, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n.dialing--
	b.stats.DialsFailed++
	if errors.Is(err, context.Canceled) {
		return
	}
	waiting := n.waiting
	n.waiting = nil
	for _, a := range waiting {
		delete(b.attempts, a.Ref)
		b.report(a, control.Unreachable, err.Error())
	}
}
