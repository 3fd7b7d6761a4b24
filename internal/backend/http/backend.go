// Package http sends attempts to storage nodes that speak HTTP/1.1, one request at a time per connection, and
// reports how each ended. It neither chooses nodes nor retries; package connpool decides which connection carries
// an attempt and when connections are opened and closed. The host calls it (Send, Drop, Nodes) and receives
// results through its AttemptEnded method. All state belongs to one event loop.
//
// What an outcome proves: Unreachable is reported only for attempts whose last byte was not handed to the kernel,
// Busy only for a complete response that carries Not-Started. In every other case after the last byte was handed
// over, the request may have run.
package http

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"eiderhold/connpool"
	"eiderhold/control"
	"eiderhold/internal/backend"
	"eiderhold/internal/buffer"
	"eiderhold/internal/host"
	"eiderhold/internal/http1"
	"eiderhold/internal/loop"
	"eiderhold/limits"
	"eiderhold/outcome"
)

const (
	maxWaiting         = 1024                   // attempts waiting for a connection, per node
	sweepInterval      = 250 * time.Millisecond // between checks for idle connections
	defaultDialTimeout = time.Second            // so that a dial that never completes frees its place in the pool
	requestHeadBytes   = 256                    // enough for the head of a usual request, without its target
)

// Settings configure a Backend and bound its connections and memory.
type Settings struct {
	MaxConns         int           // most connections at a time, all nodes together
	MaxResponseBytes int64         // most bytes of responses in memory, all nodes together
	Arena            *buffer.Arena // of responses; nil: the Go heap
	NodeIdleTimeout  time.Duration // idle time after which nodes close a connection
	DialTimeout      time.Duration // 0: defaultDialTimeout
	HostHeader       string        // the Host field of requests
	LoadFields       []string      // names of the values of a load report, in the order the host expects
}

// Backend is the set of connections to all nodes.
type Backend struct {
	settings  Settings
	owner     backend.Owner
	log       *slog.Logger
	loop      *loop.Loop
	ctx       context.Context
	cancel    context.CancelFunc
	startTime time.Time

	// The remaining fields are accessed only on the loop.
	pool      *connpool.Pool[*conn]
	nodes     map[string]*node
	queued    map[*node]bool // nodes with attempts that wait for a connection, and some that had such attempts
	attempts  map[uint64]*attempt
	stats     Stats
	holders   limits.Holders[*conn] // of the connections' part of heldBytes
	heldBytes int64                 // of incomplete responses and of requests that are not written completely, as allocated
	closed    bool

	passedBytes atomic.Int64 // of complete responses that have not been released, as allocated
}

// Stats are counters since the start; Conns, Out and Waiting are current values. Spoilt counts invalid responses,
// Excess connections with unsolicited bytes, Stale connections found unusable before reuse, and Given attempts dropped
// in flight. Rested counts attempts that waited for a connection in its rest period, Barred attempts rejected while
// they waited for a connection, and Gone those of them whose client was found to have left. Queued is the total time that
// written attempts had waited. Held are the bytes of responses and unwritten requests in memory, as allocated, HeldPeak
// their highest value, and Shed responses that were discarded for lack of memory.
type Stats struct {
	Dials, DialsFailed, Written, Answers, Spoilt, Excess, Stale, Given uint64
	Rested                                                             uint64
	Barred, Gone, Shed                                                 uint64
	Held, HeldPeak                                                     int64
	Queued                                                             time.Duration
	Conns, Out, Waiting                                                int
}

type node struct {
	id, addr    string
	listed      bool
	draining    bool
	waiting     []*attempt
	wakePending bool // a timer for connections in their rest period is set
	traffic     NodeTraffic
}

type attempt struct {
	host.Attempt
	queuedAt time.Time
	conn     *conn // nil: waiting for a connection
}

// New returns a backend that runs on a loop.
func New(settings Settings, l *loop.Loop, log *slog.Logger) *Backend {
	if settings.DialTimeout <= 0 {
		settings.DialTimeout = defaultDialTimeout
	}
	b := &Backend{settings: settings, loop: l, log: log, startTime: time.Now(), nodes: map[string]*node{}, attempts: map[uint64]*attempt{}, queued: map[*node]bool{},
		pool: connpool.New[*conn](connpool.Settings{MaxConnections: settings.MaxConns, IdleTimeout: settings.NodeIdleTimeout})}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	go l.Every(b.ctx, sweepInterval, b.sweep)
	return b
}

// SetOwner sets the owner, which receives outcomes. It must be called before the first Send.
func (b *Backend) SetOwner(o backend.Owner) { b.owner = o }

// Close stops opening connections; those that are open end with the loop.
func (b *Backend) Close() {
	b.cancel()
	b.loop.Post(func() { b.closed = true })
}

// Stats calls f, on the loop, with the counters.
func (b *Backend) Stats(f func(Stats)) {
	b.loop.Post(func() {
		s := b.stats
		s.Conns, s.Out, s.Held = b.pool.Total(), len(b.attempts), b.memory()
		for _, n := range b.nodes {
			s.Waiting += len(n.waiting)
		}
		f(s)
	})
}

// NodeTraffic is the traffic on the connections of one node.
type NodeTraffic struct {
	InFlight, Waiting, Idle, Opening int
	Written, Responses, Invalid      uint64
	ResponseTime                     time.Duration // moving average, from a request's last byte to its response's
	Load                             []float64     // the last load report
}

// Traffic calls f, on the loop, with the traffic by node.
func (b *Backend) Traffic(f func(map[string]NodeTraffic)) {
	b.loop.Post(func() {
		m := make(map[string]NodeTraffic, len(b.nodes))
		for id, n := range b.nodes {
			p := n.traffic
			p.Waiting = len(n.waiting)
			p.InFlight, p.Idle, p.Opening = b.pool.Count(id)
			m[id] = p
		}
		f(m)
	})
}

func (b *Backend) now() time.Duration { return time.Since(b.startTime) }

// Nodes replaces the list of nodes. Connections to unlisted nodes, and to former addresses, are closed once the
// attempts on them have ended.
func (b *Backend) Nodes(list []host.Node) {
	list = slices.Clone(list)
	b.loop.Post(func() {
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
				b.dispatch(n, false) // rejects the attempts that wait there
			}
		}
		b.sweep()
	})
}

// sweep closes connections that have idled too long and removes nodes that are neither listed nor in use.
func (b *Backend) sweep() {
	old := b.pool.RemoveExpired(b.now(), func(id string) bool { n := b.nodes[id]; return n != nil && n.listed })
	for _, c := range old {
		c.pooled = false
		b.loop.CloseGracefully(c.g)
	}
	for id, n := range b.nodes {
		if busy, idle, opening := b.pool.Count(id); !n.listed && len(n.waiting)+busy+idle+opening == 0 {
			delete(b.nodes, id)
		}
	}
}

// Probe reports NotSent: the HTTP protocol of these nodes has no probe.
func (b *Backend) Probe(id string) { b.owner.Probed(id, control.NotSent, 0, nil) }

// Send writes an attempt to a connection, or queues it until one is available.
func (b *Backend) Send(a host.Attempt) {
	att := &attempt{Attempt: a, queuedAt: time.Now()}
	b.loop.Post(func() { b.send(att) })
}

func (b *Backend) send(a *attempt) {
	n := b.nodes[a.Node]
	if n == nil || !n.listed || b.closed || a.Request.Message == nil {
		b.report(a, host.Outcome{Result: control.NotSent, Text: "the node is not listed"})
		return
	}
	if len(n.waiting) >= maxWaiting {
		b.report(a, host.Outcome{Result: control.NotSent,
			Text: fmt.Sprintf("%d attempts wait for a connection to the node already", maxWaiting)})
		return
	}
	b.attempts[a.Ref] = a
	n.waiting = append(n.waiting, a)
	b.queued[n] = true
	b.dispatch(n, true)
}

// dispatch assigns connections to waiting attempts, in order of arrival. mayDial says that a connection may be
// opened: the last attempt in the queue is new, or a place in the pool has become free.
func (b *Backend) dispatch(n *node, mayDial bool) {
	for len(n.waiting) > 0 && !b.closed {
		if why := b.rejectReason(n, n.waiting[0]); why != "" {
			b.bar(n.nextWaiting(), why)
			continue
		}
		ahead := len(n.waiting) - 1
		if !mayDial {
			ahead = 1 << 30 // a connection was opened for each, or there was no room: prevents another dial
		}
		c, decision := b.pool.Take(b.now(), n.id, ahead)
		switch decision {
		case connpool.Use:
			c.inUse = true
			b.sendNext(n, c)
			continue
		case connpool.WaitForIdle:
			if mayDial {
				b.stats.Rested++
			}
		case connpool.Evict:
			c.pooled = false
			b.loop.Close(c.g)
			b.dial(n)
		case connpool.Open:
			b.dial(n)
		}
		b.scheduleDispatch(n)
		return
	}
}

// sendNext writes the attempt that has waited longest to a connection, unless the connection or the attempt is not fit for
// it any more. The client is looked at last, right before the first byte.
func (b *Backend) sendNext(n *node, c *conn) {
	if c.stale() {
		b.stats.Stale++
		b.loop.Close(c.g)
		return
	}
	a := n.nextWaiting()
	if !a.clientPresent() {
		b.stats.Gone++
		c.release()
		b.bar(a, "its client has gone")
		return
	}
	a.Request.MarkBegun()
	c.writeRequest(a)
}

// nextWaiting removes and returns the attempt that has waited longest.
func (n *node) nextWaiting() *attempt {
	a := n.waiting[0]
	n.waiting = slices.Delete(n.waiting, 0, 1)
	return a
}

// bar ends an attempt that waited for a connection and may no longer be sent.
func (b *Backend) bar(a *attempt, why string) {
	b.stats.Barred++
	b.report(a, host.Outcome{Result: control.NotSent, Text: why})
}

// clientPresent reports whether the client of the attempt's request still waits for the answer.
func (a *attempt) clientPresent() bool {
	return !a.Request.Abandoned() && (a.Request.Present == nil || a.Request.Present(a.Request))
}

// rejectReason returns why a waiting attempt may no longer be sent; empty if it may. It is evaluated right before
// the first byte is written, on the loop that also handles closed client connections and new node lists: while
// the attempt waited for a connection, the conditions of the decision to send may have changed.
func (b *Backend) rejectReason(n *node, a *attempt) string {
	switch {
	case a.Request.Abandoned():
		return "its client has gone"
	case !n.listed:
		return "the node is not listed"
	case n.draining:
		return "the node drains"
	case a.remaining() < time.Millisecond:
		return "the client's time is over"
	case a.BeginWithin > 0 && time.Since(a.queuedAt) >= a.BeginWithin:
		return "its effect would be repeated: the window for that is over"
	}
	return ""
}

// remaining returns the time left until the client's deadline.
func (a *attempt) remaining() time.Duration { return a.Remaining - time.Since(a.queuedAt) }

// scheduleDispatch calls dispatch when the rest period of a connection to the node ends.
func (b *Backend) scheduleDispatch(n *node) {
	at, ok := b.pool.Due(n.id)
	if !ok || n.wakePending || len(n.waiting) == 0 {
		return
	}
	n.wakePending = true
	time.AfterFunc(max(0, at-b.now()), func() {
		b.loop.Post(func() {
			n.wakePending = false
			b.dispatch(n, false)
		})
	})
}

// dial opens one more connection to a node in its own goroutine.
func (b *Backend) dial(n *node) {
	b.stats.Dials++
	c := &conn{b: b, node: n, addr: n.addr}
	c.holder.Owner = c
	go func() {
		d := net.Dialer{Timeout: b.settings.DialTimeout, KeepAlive: -1}
		raw, err := d.DialContext(b.ctx, "tcp", c.addr)
		if err == nil {
			err = b.loop.Add(raw, c)
		}
		if err != nil {
			b.loop.Post(func() { b.dialFailed(n, err) })
		}
	}()
}

// dialFailed handles a failed dial: the attempt that has waited longest ends as Unreachable, unless the idle
// and opening connections suffice for all that wait.
func (b *Backend) dialFailed(n *node, err error) {
	b.stats.DialsFailed++
	b.pool.Failed(n.id)
	if b.closed || len(n.waiting) == 0 || errors.Is(err, context.Canceled) {
		return
	}
	if _, idle, opening := b.pool.Count(n.id); len(n.waiting) <= idle+opening {
		return
	}
	b.report(n.nextWaiting(), host.Outcome{Result: control.Unreachable, Text: err.Error()})
}

// Drop abandons an attempt whose response is no longer needed and closes its connection.
func (b *Backend) Drop(ref uint64) {
	b.loop.Post(func() {
		a := b.attempts[ref]
		if a == nil {
			return
		}
		delete(b.attempts, ref)
		if a.conn == nil {
			b.dequeue(a)
			return
		}
		b.stats.Given++
		a.conn.attempt = nil
		a.conn.discardUnsent()
		b.loop.Close(a.conn.g)
	})
}

// Withdraw ends an attempt that waits for a connection; its result is NotSent.
func (b *Backend) Withdraw(ref uint64) {
	b.loop.Post(func() {
		if a := b.attempts[ref]; a != nil && a.conn == nil {
			b.dequeue(a)
			b.stats.Barred++
			b.report(a, host.Outcome{Result: control.NotSent, Text: "withdrawn before it left"})
		}
	})
}

// dequeue removes an attempt from the queue of its node.
func (b *Backend) dequeue(a *attempt) {
	if n := b.nodes[a.Node]; n != nil {
		n.waiting = slices.DeleteFunc(n.waiting, func(w *attempt) bool { return w == a })
	}
}

// report ends an attempt and passes its outcome to the owner.
func (b *Backend) report(a *attempt, o host.Outcome) {
	delete(b.attempts, a.Ref)
	o.Ref, o.Shard = a.Ref, control.AnyShard
	b.owner.AttemptEnded(o)
}

// conn is one connection to a node.
type conn struct {
	b         *Backend
	node      *node
	addr      string
	g         gnet.Conn
	pooled    bool // registered in the pool
	inUse     bool // counted as busy by the pool
	closed    bool
	attempt   *attempt // in flight; nil: none
	progress  outcome.Progress
	writtenAt time.Duration
	response  responseReader
	heldBytes int                  // as counted in Backend.heldBytes
	holder    limits.Holder[*conn] // in Backend.holders
}

// Opened adds a new connection to the pool.
func (c *conn) Opened(g gnet.Conn) {
	c.g, c.pooled = g, true
	c.b.pool.Opened(c.b.now(), c.node.id, c)
	c.b.dispatch(c.node, false)
}

// stale reports whether an idle connection has ended, has unsolicited bytes to read, or leads to a former address
// of its node. A request written to an ended connection might have run, and unsolicited bytes would be taken for
// the response to the next request.
func (c *conn) stale() bool {
	var p [1]byte
	n, _, err := unix.Recvfrom(c.g.Fd(), p[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0 || err != unix.EAGAIN || c.addr != c.node.addr
}

// writeRequest writes an attempt's request to the connection.
func (c *conn) writeRequest(a *attempt) {
	m := a.Request.Message
	c.attempt, a.conn = a, c
	c.progress, c.response = outcome.NotBegun, responseReader{arena: c.b.settings.Arena}
	remaining := max(1, a.remaining().Milliseconds())
	buf := make([]byte, 0, requestHeadBytes+len(m.Target)+loop.CombinedBytes(m.Body))
	buf = http1.AppendRequestLine(buf, m.Method, m.Target)
	buf = http1.AppendField(buf, "Host", c.b.settings.HostHeader)
	buf = http1.AppendField(buf, "Request-Id", m.ID)
	if m.Key != "" {
		buf = http1.AppendField(buf, "Idempotency-Key", m.Key)
	}
	buf = http1.AppendIntField(buf, "Request-Timeout-Ms", remaining)
	if len(m.Body) > 0 || m.Method != "GET" {
		buf = http1.AppendIntField(buf, "Content-Length", int64(len(m.Body)))
	}
	if err := c.b.loop.Write(c.g, http1.AppendEnd(buf), m.Body); err != nil || c.closed {
		return // Closed has reported it: no byte was written
	}
	c.b.stats.Written++
	c.b.stats.Queued += time.Since(a.queuedAt)
	c.node.traffic.Written++
	c.writtenAt = c.b.now()
	c.progress = outcome.Complete
	if loop.Unsent(c.g) > 0 {
		c.progress = outcome.Partial
		c.updateHeldBytes()
		if err := c.reserve(0); err != nil {
			c.shed(err)
		}
	}
}

// Flushed counts a request whose rest had to wait as sent.
func (c *conn) Flushed(gnet.Conn) { c.updateHeldBytes() }

// Traffic reads bytes of a response.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	p, err := g.Next(-1)
	if err != nil || c.closed {
		return gnet.None
	}
	if c.attempt == nil { // bytes beyond the last response, or garbage
		c.b.stats.Excess++
		c.b.pool.UnexpectedBytes(c.b.now())
		return gnet.Close
	}
	done, err := c.feed(p)
	c.updateHeldBytes()
	switch {
	case err != nil:
		c.rejectResponse(err)
	case !done:
		return gnet.None
	default:
		reusable := outcome.Reusable(c.response.head.Close, c.response.trailing, loop.Unsent(g))
		c.endAttempt(c.finishResponse())
		if reusable && c.addr == c.node.addr && c.node.listed && !c.b.closed {
			c.release()
			return gnet.None
		}
	}
	c.discardUnsent()
	return gnet.Close
}

// feed passes bytes to the response, if there is memory for them.
func (c *conn) feed(p []byte) (done bool, err error) {
	if n := c.response.growth(len(p)); n > 0 {
		if err := c.reserve(n); err != nil {
			return false, err
		}
	}
	return c.response.feed(p)
}

// rejectResponse ends the attempt in flight because its response is invalid or too large.
func (c *conn) rejectResponse(err error) {
	c.b.stats.Spoilt++
	c.node.traffic.Invalid++
	c.endAttempt(host.Outcome{Result: outcome.OfMalformed(), Text: "spoilt answer: " + err.Error()})
}

// finishResponse counts a complete response and returns its outcome.
func (c *conn) finishResponse() host.Outcome {
	c.b.stats.Answers++
	o := c.response.outcome(c.b.settings.LoadFields, c.b.releasePassed)
	if o.Data != nil {
		c.b.passedBytes.Add(int64(cap(o.Data.B)))
	}
	c.node.traffic.addResponse(c.b.now()-c.writtenAt, o.Load)
	return o
}

// addResponse records a complete response and its load report.
func (p *NodeTraffic) addResponse(took time.Duration, load []float64) {
	p.Responses++
	if p.ResponseTime == 0 {
		p.ResponseTime = took
	}
	p.ResponseTime += (took - p.ResponseTime) / 8
	if load != nil {
		p.Load = load
	}
}

// endAttempt ends the attempt in flight with an outcome.
func (c *conn) endAttempt(o host.Outcome) {
	a := c.attempt
	c.response.free()
	c.attempt = nil
	c.updateHeldBytes()
	c.b.report(a, o)
}

// release returns the connection to the pool.
func (c *conn) release() {
	c.inUse = false
	c.b.pool.Released(c.b.now(), c.node.id, c)
	c.b.scheduleDispatch(c.node)
	if c.b.pool.Total() >= c.b.settings.MaxConns {
		c.b.dispatchWaiting() // this idle connection may be evicted for another node's
	}
}

// discardUnsent shuts the socket down if output is buffered, because gnet would otherwise send it on close.
func (c *conn) discardUnsent() {
	if loop.Unsent(c.g) > 0 {
		_ = unix.Shutdown(c.g.Fd(), unix.SHUT_RDWR)
	}
}

// Closed reports the attempt in flight and removes the connection from the pool.
func (c *conn) Closed(g gnet.Conn, err error) {
	c.closed = true
	c.updateHeldBytes()
	b := c.b
	if c.pooled {
		if c.inUse {
			b.pool.BusyClosed(c.node.id)
		} else {
			b.pool.IdleClosed(c.node.id, c)
		}
	}
	if a := c.attempt; a != nil && !b.closed && c.response.untilClose && outcome.EndsAnswer(err) {
		c.endAttempt(c.finishResponse())
	}
	c.response.free()
	if a := c.attempt; a != nil && !b.closed {
		c.attempt = nil
		text := "connection closed"
		if err != nil {
			text = err.Error()
		}
		o := host.Outcome{Result: outcome.OfEnd(c.progress, loop.Unsent(g)), Text: text}
		if o.Result == control.Unreachable {
			_ = unix.Shutdown(g.Fd(), unix.SHUT_RDWR) // prevents buffered output from being sent
		}
		b.report(a, o)
	}
	b.dispatchWaiting()
}

// dispatchWaiting dispatches the attempts that found the connection limit reached, after a place became free.
func (b *Backend) dispatchWaiting() {
	for n := range b.queued {
		if len(n.waiting) == 0 {
			delete(b.queued, n)
			continue
		}
		if _, idle, opening := b.pool.Count(n.id); len(n.waiting) > idle+opening {
			b.loop.Post(func() { b.dispatch(n, true) })
		}
	}
}
