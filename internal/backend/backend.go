// Package backend carries attempts to storage nodes over pipelined connections on
// gnet's event loops, and reports how each ended. It chooses no node and repeats
// nothing. Its caller is the host (Send, Drop, Probe, Nodes); it answers through
// Host.Ended and Host.Probed.
//
// What an outcome proves: NotSent and Unreachable are reported only of attempts no
// byte of which was handed to a socket. From the moment a frame is handed over, a
// connection that ends makes it Reset, however much of the frame had left.
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

// Settings bound what the backend opens.
type Settings struct {
	Name        string        // the gateway's, for the hello
	Conns       int           // connections a node, at most
	Streams     int           // attempts on a connection before another is opened
	Waiting     int           // attempts that wait for a dial, a node
	DialTimeout time.Duration // for connection and hello
	IdleClose   time.Duration // a connection without attempts is closed after it
	Cancelling  bool          // tell the node of attempts dropped
	Loops       int           // gnet event loops
	// Filled hears of the bytes that a shard holds, and that it had no room for an item. It is called
	// with a lock held: it must neither block nor call back. nil: nobody does.
	Filled func(shard int, used, capacity uint64, noRoom bool)
}

// Owner is who hears of outcomes: the host.
type Owner interface {
	Ended(host.Outcome)
	Probed(node string, result control.Result, took time.Duration, load []float64)
}

// Backend is the set of connections.
type Backend struct {
	set    Settings
	owner  Owner
	log    *slog.Logger
	client *gnet.Client
	ctx    context.Context
	cancel context.CancelFunc
	dials  sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	tries map[uint64]*try // by the host's reference
	ended bool
	stats Stats
}

// Stats are counts since the start.
type Stats struct {
	Dials, DialsFailed, Closed, Frames, Unwanted, Broken uint64
	Conns                                                int
}

// node is what is known of one node's connections.
type node struct {
	id      string
	addr    string
	listed  bool
	conns   []*conn
	dialing int
	waiting []*try // have not been given to any connection
}

// conn is one connection that has said hello.
type conn struct {
	gnet.Conn
	node  *node
	ready bool // the node's hello has come
	shard int  // as the hello says
	dead  bool
	lost  string // why, for the owner
	next  uint64
	tries map[uint64]*try // by id on this connection
	probe *try            // the last one that is out: a node that hangs is not owed more
	idle  time.Time       // since when it has no attempt
	timer *time.Timer     // for the hello
	need  int             // bytes the present frame takes
}

// try is an attempt or a probe.
type try struct {
	host.Attempt
	probe  bool
	sentAt time.Time
	conn   *conn  // nil: not handed to one yet
	id     uint64 // on it
	frame  *buffer.Buffer
}

// New starts the event loops.
func New(set Settings, owner Owner, log *slog.Logger) (*Backend, error) {
	set.Conns, set.Streams = max(1, set.Conns), max(1, set.Streams)
	set.Waiting, set.Loops = max(1, set.Waiting), max(1, set.Loops)
	b := &Backend{set: set, owner: owner, log: log, nodes: map[string]*node{}, tries: map[uint64]*try{}}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	client, err := gnet.NewClient(&handler{b: b}, gnet.WithNumEventLoop(set.Loops), gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(telemetry.Gnet{Log: log}),
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

// Own names the owner. It must be called before the first Send.
func (b *Backend) Own(o Owner) { b.owner = o }

// Close ends all connections. Outcomes of what is out are not reported.
func (b *Backend) Close() error {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.cancel()
	b.dials.Wait()
	return b.client.Stop()
}

// Stats returns the counts.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	for _, n := range b.nodes {
		s.Conns += len(n.conns)
	}
	return s
}

// Nodes takes the nodes that are listed now. Connections to others stay until
// what is out on them has ended.
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

// Send hands an attempt to a connection, or has it wait for a dial.
func (b *Backend) Send(a host.Attempt) { b.start(&try{Attempt: a, sentAt: time.Now()}) }

// Probe asks a node for its load.
func (b *Backend) Probe(id string) {
	b.start(&try{Attempt: host.Attempt{Node: id}, probe: true, sentAt: time.Now()})
}

func (b *Backend) start(t *try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.nodes[t.Node]
	if n == nil || !n.listed || b.ended {
		b.report(t, control.NotSent, "the node is not listed")
		return
	}
	if !t.probe {
		b.tries[t.Ref] = t
	}
	if c := n.best(b.set.Streams, b.set.Conns); c != nil {
		b.hand(c, t)
		return
	}
	if len(n.waiting) >= b.set.Waiting {
		delete(b.tries, t.Ref)
		b.report(t, control.NotSent, fmt.Sprintf("%d attempts wait for a connection already", b.set.Waiting))
		return
	}
	n.waiting = append(n.waiting, t)
	b.dial(n)
}

// best is the connection with the fewest attempts out, none if all are full and
// another one may be opened. At the ceiling of connections, streams no longer bound:
// the controller's window does.
func (n *node) best(streams, conns int) *conn {
	var best *conn
	for _, c := range n.conns {
		if c.ready && !c.dead && (best == nil || len(c.tries) < len(best.tries)) {
			best = c
		}
	}
	if best != nil && len(best.tries) >= streams && n.dialing == 0 && len(n.conns) < conns {
		return nil
	}
	return best
}

// hand writes the attempt's frame. From here on it may run. One that waited for its connection for too long does
// not go: its effect would be repeated.
func (b *Backend) hand(c *conn, t *try) {
	if t.Begin > 0 && time.Since(t.sentAt) >= t.Begin {
		delete(b.tries, t.Ref)
		b.report(t, control.NotSent, "the window for repeats is over")
		return
	}
	c.next++
	t.id, t.conn = c.next, c
	c.tries[t.id] = t
	if t.probe {
		if c.probe != nil {
			delete(c.tries, c.probe.id)
		}
		c.probe = t
		t.frame = buffer.Get(64)
		t.frame.B = nodewire.Append(t.frame.B[:0], &nodewire.Probe{ID: t.id})
	} else {
		r := t.Request
		left := max(0, t.Left-time.Since(t.sentAt))
		t.frame = buffer.Get(len(r.Payload) + 512 + len(r.Item) + len(r.Key) + len(r.Volume))
		t.frame.B = nodewire.Append(t.frame.B[:0], &nodewire.Request{ID: t.id, Ref: t.ID, Attempt: uint8(t.Number),
			Op: r.Op, Class: r.Class, Volume: r.Volume, Item: r.Item, Key: r.Key,
			MilliUnits: uint32(r.Units * 1000), Offset: uint64(r.Offset), Length: uint32(r.Length),
			LeftMicros: uint32(min(left.Microseconds(), 1<<32-1)), Payload: r.Payload})
	}
	b.stats.Frames++
	frame := t.frame
	if err := c.AsyncWrite(frame.B, func(gnet.Conn, error) error { frame.Release(); return nil }); err != nil {
		b.log.Debug("backend: write", "node", t.Node, "err", err) // OnClose reports it as Reset
	}
}

// Drop forgets an attempt whose answer is no longer wanted.
func (b *Backend) Drop(ref uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tries[ref]
	if t == nil {
		return
	}
	delete(b.tries, ref)
	if t.conn == nil {
		b.unqueue(t)
		return
	}
	c := t.conn
	delete(c.tries, t.id)
	c.rest()
	if b.set.Cancelling && !c.dead {
		_ = c.AsyncWrite(nodewire.Append(nil, &nodewire.Cancel{ID: t.id}), nil)
	}
}

// Withdraw ends an attempt that waits for a connection, as not sent.
func (b *Backend) Withdraw(ref uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tries[ref]
	if t == nil || t.conn != nil {
		return
	}
	delete(b.tries, ref)
	b.unqueue(t)
	b.report(t, control.NotSent, "withdrawn before it left")
}

// unqueue takes an attempt from those that wait for a connection to its node.
func (b *Backend) unqueue(t *try) {
	if n := b.nodes[t.Node]; n != nil {
		n.waiting = slices.DeleteFunc(n.waiting, func(w *try) bool { return w == t })
	}
}

// rest notes since when a connection has nothing out.
func (c *conn) rest() {
	if len(c.tries) == 0 {
		c.idle = time.Now()
	}
}

// report tells the owner. It is called with the lock held: the owner only puts it
// into its mailbox.
func (b *Backend) report(t *try, result control.Result, text string) {
	if t.probe {
		b.owner.Probed(t.Node, result, time.Since(t.sentAt), nil)
		return
	}
	b.owner.Ended(host.Outcome{Ref: t.Ref, Result: result, Text: text, Shard: control.AnyShard})
}

// dial opens one more connection to a node, in a goroutine of its own, for as
// long as attempts wait and the ceiling allows.
func (b *Backend) dial(n *node) {
	if n.dialing > 0 || len(n.conns) >= b.set.Conns || b.ended {
		return
	}
	n.dialing++
	b.stats.Dials++
	addr := n.addr
	b.dials.Add(1)
	go func() {
		defer b.dials.Done()
		d := net.Dialer{Timeout: b.set.DialTimeout}
		raw, err := d.DialContext(b.ctx, "tcp", addr)
		c := &conn{node: n, tries: map[uint64]*try{}, idle: time.Now(), need: 4}
		if err == nil {
			_, err = b.client.EnrollContext(raw, c)
		}
		if err != nil {
			b.failed(n, fmt.Errorf("dial %s: %w", addr, err))
		}
	}()
}

// failed books a dial that came to nothing: all that waited for it never left.
func (b *Backend) failed(n *node, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n.dialing--
	b.stats.DialsFailed++
	if errors.Is(err, context.Canceled) {
		return
	}
	waiting := n.waiting
	n.waiting = nil
	for _, t := range waiting {
		delete(b.tries, t.Ref)
		b.report(t, control.Unreachable, err.Error())
	}
}
