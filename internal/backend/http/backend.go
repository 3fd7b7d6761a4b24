// Package http carries attempts to storage nodes that speak HTTP/1.1, one request at a time on a
// connection, and reports how each ended. It chooses no node and repeats nothing; which connection carries
// an attempt, and when one is opened or closed, connpool says. Its caller is the host (Send, Drop, Nodes);
// it answers through Host.Ended. All its state belongs to one event loop.
//
// What an outcome proves: Unreachable is reported only of attempts whose last byte was not handed to the
// kernel, Busy only of a whole answer that says Not-Started. Whatever else happens after the last byte was
// handed over may have run.
package http

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"eiderhold/connpool"
	"eiderhold/control"
	"eiderhold/internal/backend"
	"eiderhold/internal/host"
	"eiderhold/internal/http1"
	"eiderhold/internal/loop"
	"eiderhold/outcome"
)

const (
	waitingMost = 1024                   // attempts that wait for a connection, a node
	lookEvery   = 250 * time.Millisecond // for idle connections
	dialMost    = time.Second            // where no time is told: a connection that never comes up frees its place
)

// Settings bound what the backend opens.
type Settings struct {
	Conns       int           // connections at a time, all nodes
	Bytes       int64         // held of answers that are not whole, all nodes
	Idle        time.Duration // nodes close connections that have idled for so long
	DialTimeout time.Duration // 0: dialMost
	Service     string        // the Host field of requests
	LoadFields  []string      // names of the values of a load report, in the order in which the host takes them
}

// Backend is the set of connections.
type Backend struct {
	set    Settings
	owner  backend.Owner
	log    *slog.Logger
	loop   *loop.Loop
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time

	// the rest belongs to the loop
	pool  *connpool.Pool[*conn]
	nodes map[string]*node
	tries map[uint64]*try
	stats Stats
	held  int64 // bytes of answers that are not whole
	ended bool
}

// Stats are counts since the start; Conns and Out are of now.
type Stats struct {
	Dials, DialsFailed, Written, Answers, Spoilt, Excess, Stale, Given uint64
	Rested                                                             uint64        // attempts that waited for a connection to rest
	Barred                                                             uint64        // attempts that were not to begin any more when they could have
	Queued                                                             time.Duration // that all attempts written had waited, in sum
	Conns, Out, Waiting                                                int
}

type node struct {
	id, addr string
	listed   bool
	draining bool
	waiting  []*try
	rung     bool // a timer for resting connections runs
	passed   Passed
}

type try struct {
	host.Attempt
	at   time.Time
	conn *conn // nil: waits
}

// New makes a backend on a loop.
func New(set Settings, l *loop.Loop, log *slog.Logger) *Backend {
	if set.DialTimeout <= 0 {
		set.DialTimeout = dialMost
	}
	b := &Backend{set: set, loop: l, log: log, began: time.Now(), nodes: map[string]*node{}, tries: map[uint64]*try{},
		pool: connpool.New[*conn](connpool.Settings{Total: set.Conns, Idle: set.Idle})}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	go l.Every(b.ctx, lookEvery, b.look)
	return b
}

// Own names the owner. It must be called before the first Send.
func (b *Backend) Own(o backend.Owner) { b.owner = o }

// Close opens nothing any more; the connections end with the loop.
func (b *Backend) Close() {
	b.cancel()
	b.loop.Do(func() { b.ended = true })
}

// Stats has f called, on the loop, with the counts.
func (b *Backend) Stats(f func(Stats)) {
	b.loop.Do(func() {
		s := b.stats
		s.Conns, s.Out = b.pool.Total(), len(b.tries)
		for _, n := range b.nodes {
			s.Waiting += len(n.waiting)
		}
		f(s)
	})
}

// Passed is what passed on the sockets of one node.
type Passed struct {
	Out, Waiting, Idle, Opening int
	Written, Answered, Spoilt   uint64
	Answer                      time.Duration // mean from the request's last byte to the answer's, of late
	Load                        []float64     // the last report
}

// Passed has f called, on the loop, with what passed, by node.
func (b *Backend) Passed(f func(map[string]Passed)) {
	b.loop.Do(func() {
		m := make(map[string]Passed, len(b.nodes))
		for id, n := range b.nodes {
			p := n.passed
			p.Waiting = len(n.waiting)
			p.Out, p.Idle, p.Opening = b.pool.Count(id)
			m[id] = p
		}
		f(m)
	})
}

func (b *Backend) now() time.Duration { return time.Since(b.began) }

// Nodes takes the nodes that are listed now. Connections to others, and to former addresses, are closed
// when what is out on them has ended.
func (b *Backend) Nodes(list []host.Node) {
	list = slices.Clone(list)
	b.loop.Do(func() {
		for _, n := range b.nodes {
			n.listed = false
		}
		for _, l := range list {
			n := b.nodes[l.ID]
			if n == nil {
				n = &node{id: l.ID}
				b.nodes[l.ID] = n
			}
			n.addr, n.listed, n.draining = l.Addr, true, l.State == control.Draining
		}
		for _, n := range b.nodes {
			if !n.listed || n.draining {
				b.serve(n, false) // what waits for a connection there does not go
			}
		}
		b.look()
	})
}

// look closes what has idled too long, and forgets nodes that are neither listed nor in use.
func (b *Backend) look() {
	old := b.pool.Old(b.now(), func(id string) bool { n := b.nodes[id]; return n != nil && n.listed })
	for _, c := range old {
		c.pooled = false
		b.loop.Finish(c.g)
	}
	for id, n := range b.nodes {
		if busy, idle, opening := b.pool.Count(id); !n.listed && len(n.waiting)+busy+idle+opening == 0 {
			delete(b.nodes, id)
		}
	}
}

// Probe is for nodes that can be asked how they are; these cannot.
func (b *Backend) Probe(id string) { b.owner.Probed(id, control.NotSent, 0, nil) }

// Send hands an attempt to a connection, or has it wait for one.
func (b *Backend) Send(a host.Attempt) {
	t := &try{Attempt: a, at: time.Now()}
	b.loop.Do(func() { b.send(t) })
}

func (b *Backend) send(t *try) {
	n := b.nodes[t.Node]
	if n == nil || !n.listed || b.ended || t.Request.Message == nil {
		b.report(t, host.Outcome{Result: control.NotSent, Text: "the node is not listed"})
		return
	}
	if len(n.waiting) >= waitingMost {
		b.report(t, host.Outcome{Result: control.NotSent,
			Text: fmt.Sprintf("%d attempts wait for a connection to the node already", waitingMost)})
		return
	}
	b.tries[t.Ref] = t
	n.waiting = append(n.waiting, t)
	b.serve(n, true)
}

// serve gives connections to attempts that wait, in their order. more says that the last one has just come,
// and that a connection may be opened for it.
func (b *Backend) serve(n *node, more bool) {
	for len(n.waiting) > 0 && !b.ended {
		if why := b.barred(n, n.waiting[0]); why != "" {
			t := n.waiting[0]
			n.waiting = slices.Delete(n.waiting, 0, 1)
			b.stats.Barred++
			b.report(t, host.Outcome{Result: control.NotSent, Text: why})
			continue
		}
		before := len(n.waiting) - 1
		if !more {
			before = 1 << 30 // those that wait have had one opened, or there was no room
		}
		c, v := b.pool.Take(b.now(), n.id, before)
		switch v {
		case connpool.Use:
			c.busy = true
			if c.stale() {
				b.stats.Stale++
				b.loop.Close(c.g)
				continue
			}
			t := n.waiting[0]
			n.waiting = slices.Delete(n.waiting, 0, 1)
			c.hand(t)
			continue
		case connpool.Resume:
			if more {
				b.stats.Rested++
			}
		case connpool.Evict:
			c.pooled = false
			b.loop.Close(c.g)
			b.open(n)
		case connpool.Open:
			b.open(n)
		}
		b.wakeAt(n)
		return
	}
}

// barred says why an attempt may not begin any more; empty: it may. It is asked right before the first byte is
// written, on the loop on which clients' connections close and lists arrive: a decision to send may have waited
// for a connection since, and what it rested on may be over.
func (b *Backend) barred(n *node, t *try) string {
	switch {
	case t.Request.Abandoned():
		return "its client has gone"
	case !n.listed:
		return "the node is not listed"
	case n.draining:
		return "the node drains"
	case t.left() < time.Millisecond:
		return "the client's time is over"
	case t.Begin > 0 && time.Since(t.at) >= t.Begin:
		return "its effect would be repeated: the window for that is over"
	}
	return ""
}

// left is the client's time left.
func (t *try) left() time.Duration { return t.Left - time.Since(t.at) }

// wakeAt serves the node's attempts again when a resting connection may be used.
func (b *Backend) wakeAt(n *node) {
	at, ok := b.pool.Due(n.id)
	if !ok || n.rung || len(n.waiting) == 0 {
		return
	}
	n.rung = true
	time.AfterFunc(max(0, at-b.now()), func() {
		b.loop.Do(func() {
			n.rung = false
			b.serve(n, false)
		})
	})
}

// open opens one more connection to a node, in a goroutine of its own.
func (b *Backend) open(n *node) {
	b.stats.Dials++
	c := &conn{b: b, node: n, addr: n.addr}
	go func() {
		d := net.Dialer{Timeout: b.set.DialTimeout, KeepAlive: -1}
		raw, err := d.DialContext(b.ctx, "tcp", c.addr)
		if err == nil {
			err = b.loop.Add(raw, c)
		}
		if err != nil {
			b.loop.Do(func() { b.failed(n, err) })
		}
	}()
}

// failed books a dial that came to nothing: the attempt that has waited longest never left.
func (b *Backend) failed(n *node, err error) {
	b.stats.DialsFailed++
	b.pool.Failed(n.id)
	if b.ended || len(n.waiting) == 0 || errors.Is(err, context.Canceled) {
		return
	}
	if _, idle, opening := b.pool.Count(n.id); len(n.waiting) <= idle+opening {
		return
	}
	t := n.waiting[0]
	n.waiting = slices.Delete(n.waiting, 0, 1)
	b.report(t, host.Outcome{Result: control.Unreachable, Text: err.Error()})
}

// Drop gives up an attempt whose answer is no longer wanted: its connection is closed.
func (b *Backend) Drop(ref uint64) {
	b.loop.Do(func() {
		t := b.tries[ref]
		if t == nil {
			return
		}
		delete(b.tries, ref)
		if t.conn == nil {
			b.unqueue(t)
			return
		}
		b.stats.Given++
		t.conn.try = nil
		t.conn.cut()
		b.loop.Close(t.conn.g)
	})
}

// Withdraw ends an attempt that waits for a connection, as not sent.
func (b *Backend) Withdraw(ref uint64) {
	b.loop.Do(func() {
		if t := b.tries[ref]; t != nil && t.conn == nil {
			b.unqueue(t)
			b.stats.Barred++
			b.report(t, host.Outcome{Result: control.NotSent, Text: "withdrawn before it left"})
		}
	})
}

// unqueue takes an attempt from those that wait for a connection to its node.
func (b *Backend) unqueue(t *try) {
	if n := b.nodes[t.Node]; n != nil {
		n.waiting = slices.DeleteFunc(n.waiting, func(w *try) bool { return w == t })
	}
}

// report ends an attempt.
func (b *Backend) report(t *try, o host.Outcome) {
	delete(b.tries, t.Ref)
	o.Ref, o.Shard = t.Ref, control.AnyShard
	b.owner.Ended(o)
}

// conn is one connection to a node.
type conn struct {
	b        *Backend
	node     *node
	addr     string
	g        gnet.Conn
	pooled   bool // the pool has it
	busy     bool // in the pool's books
	gone     bool
	try      *try // out on it
	progress outcome.Progress
	wrote    time.Duration
	answer   answer
	held     int // bytes of answer, in the backend's books
}

// Opened makes it available.
func (c *conn) Opened(g gnet.Conn) {
	c.g, c.pooled = g, true
	c.b.pool.Opened(c.b.now(), c.node.id, c)
	c.b.serve(c.node, false)
}

// stale says that an idle connection has ended, or has bytes that nobody asked for: what is written to
// the one might have run, what is read from the other would be taken for an answer.
func (c *conn) stale() bool {
	var p [1]byte
	n, _, err := unix.Recvfrom(c.g.Fd(), p[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0 || err != unix.EAGAIN || c.addr != c.node.addr
}

// hand writes the attempt's request.
func (c *conn) hand(t *try) {
	m := t.Request.Message
	c.try, t.conn = t, c
	c.progress, c.answer = outcome.NotBegun, answer{in: c.answer.in[:0]}
	left := max(1, t.left().Milliseconds())
	p := make([]byte, 0, 256+len(m.Target)+len(m.Body))
	p = http1.AppendRequestLine(p, m.Method, m.Target)
	p = http1.AppendField(p, "Host", c.b.set.Service)
	p = http1.AppendField(p, "Request-Id", m.ID)
	if m.Key != "" {
		p = http1.AppendField(p, "Idempotency-Key", m.Key)
	}
	p = http1.AppendInt(p, "Request-Timeout-Ms", left)
	if len(m.Body) > 0 || m.Method != "GET" {
		p = http1.AppendInt(p, "Content-Length", int64(len(m.Body)))
	}
	p = append(http1.AppendEnd(p), m.Body...)
	if _, err := c.g.Write(p); err != nil {
		return // Closed has reported it: not one byte was taken
	}
	if c.gone {
		return
	}
	c.b.stats.Written++
	c.b.stats.Queued += time.Since(t.at)
	c.node.passed.Written++
	c.wrote = c.b.now()
	c.progress = outcome.Complete
	if c.g.OutboundBuffered() > 0 {
		c.progress = outcome.Partial
	}
}

// Traffic takes bytes of an answer.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	p, err := g.Next(-1)
	if err != nil || c.gone {
		return gnet.None
	}
	if c.try == nil { // more than belongs to the last answer, or noise
		c.b.stats.Excess++
		c.b.pool.Excess(c.b.now())
		return gnet.Close
	}
	done, err := c.answer.feed(p)
	c.hold(c.answer.holds())
	switch {
	case err != nil:
		c.spoilt(err)
	case !done:
		c.b.makeRoom()
		return gnet.None
	default:
		c.over(c.answered())
		if outcome.Reusable(c.answer.head.Close, c.answer.behind, g.OutboundBuffered()) && c.addr == c.node.addr && c.node.listed && !c.b.ended {
			c.rest()
			return gnet.None
		}
	}
	c.cut()
	return gnet.Close
}

// hold books how many bytes of an answer are held.
func (c *conn) hold(n int) {
	c.b.held += int64(n - c.held)
	c.held = n
}

// spoilt ends the attempt that is out: its answer cannot be read.
func (c *conn) spoilt(err error) {
	c.b.stats.Spoilt++
	c.node.passed.Spoilt++
	c.over(host.Outcome{Result: outcome.OfSpoilt(), Text: "spoilt answer: " + err.Error()})
}

// makeRoom gives up the answers of which most is held while more is held than allowed. Guards against answers that
// keep coming, on many connections at once.
func (b *Backend) makeRoom() {
	for b.held > b.set.Bytes {
		var most *conn
		for _, t := range b.tries {
			if t.conn != nil && (most == nil || t.conn.held > most.held) {
				most = t.conn
			}
		}
		if most == nil {
			return
		}
		most.spoilt(fmt.Errorf("over %d bytes of answers that are not whole", b.set.Bytes))
		most.cut()
		b.loop.Close(most.g)
	}
}

// answered books a whole answer, and is what it proves.
func (c *conn) answered() host.Outcome {
	c.b.stats.Answers++
	o := c.answer.outcome(c.b.set.LoadFields)
	c.node.passed.answered(c.b.now()-c.wrote, o.Load)
	return o
}

// answered books an answer.
func (p *Passed) answered(took time.Duration, load []float64) {
	p.Answered++
	if p.Answer == 0 {
		p.Answer = took
	}
	p.Answer += (took - p.Answer) / 8
	if load != nil {
		p.Load = load
	}
}

// over ends the attempt that is out.
func (c *conn) over(o host.Outcome) {
	t := c.try
	c.try = nil
	c.hold(0)
	c.b.report(t, o)
}

// rest puts the connection back.
func (c *conn) rest() {
	c.busy = false
	c.b.pool.Done(c.b.now(), c.node.id, c)
	c.b.wakeAt(c.node)
	if c.b.pool.Total() >= c.b.set.Conns {
		c.b.retry() // it may make room for another node's
	}
}

// cut sees to it that what was not written yet does not follow: gnet sends it as it closes.
func (c *conn) cut() {
	if c.g.OutboundBuffered() > 0 {
		_ = unix.Shutdown(c.g.Fd(), unix.SHUT_RDWR)
	}
}

// Closed reports what was out, and books the end of the connection.
func (c *conn) Closed(g gnet.Conn, err error) {
	c.gone = true
	c.hold(0)
	b := c.b
	if c.pooled {
		if c.busy {
			b.pool.Ended(c.node.id)
		} else {
			b.pool.Lost(c.node.id, c)
		}
	}
	if t := c.try; t != nil && !b.ended && c.answer.toEnd && outcome.Ends(err) {
		c.over(c.answered())
	}
	if t := c.try; t != nil && !b.ended {
		c.try = nil
		text := "connection closed"
		if err != nil {
			text = err.Error()
		}
		o := host.Outcome{Result: outcome.OfEnd(c.progress, g.OutboundBuffered()), Text: text}
		if o.Result == control.Unreachable {
			_ = unix.Shutdown(g.Fd(), unix.SHUT_RDWR) // nor may the rest follow
		}
		b.report(t, o)
	}
	b.retry()
}

// retry serves attempts that found the ceiling reached: a place has come free.
func (b *Backend) retry() {
	for _, n := range b.nodes {
		if _, idle, opening := b.pool.Count(n.id); len(n.waiting) > idle+opening {
			b.loop.Do(func() { b.serve(n, true) })
		}
	}
}
