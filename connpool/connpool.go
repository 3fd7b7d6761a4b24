// Package connpool decides which connection carries an attempt, for protocols with one request at a time on a
// connection: which idle connection is reused, when another is opened, which one is evicted for it, and which are
// closed after idling too long. It owns no socket and reads no clock: the caller passes the time and executes the
// decisions. internal/backend/http uses it, on one loop; it is not safe for concurrent use.
package connpool

import (
	"cmp"
	"slices"
	"time"
)

// A connection rests for a time after an answer before it carries another request. The delay guards against answers
// that are followed by excess bytes: those must arrive while no request is in flight, or they would be taken for the
// next answer. They mostly arrive together with the answer, and then the connection is not reused; for
// longDelayDuration after some arrived separately, the delay is longer. The cost is that an attempt may wait that
// long, or that a few more connections are opened.
const (
	reuseDelay        = time.Millisecond
	longReuseDelay    = 5 * time.Millisecond
	longDelayDuration = time.Minute
)

// idleFraction is the part of a node's idle timeout after which a connection is closed here: a request written to
// a connection that the node has closed ends in a reset.
const idleFraction = 0.7

// Settings bound the pool.
type Settings struct {
	MaxConnections int           // maximum number of connections, including those being opened
	IdleTimeout    time.Duration // after which nodes close an idle connection; 0: never
}

// Decision is the decision for an attempt.
type Decision int

// The decisions.
const (
	Use         Decision = iota // the returned connection carries the attempt
	Open                        // open a connection; the attempt waits
	Evict                       // close the returned idle connection and open one in its place; the attempt waits
	WaitForIdle                 // a connection that rests or is being opened will carry it, see Due; the attempt waits
	Wait                        // the maximum is reached and no connection can be evicted: the attempt waits
)

// Pool tracks the connections of all nodes. C identifies a connection.
type Pool[C comparable] struct {
	settings       Settings
	nodes          map[string]*nodeConns[C]
	total          int
	longDelayUntil time.Duration // until then longReuseDelay applies
}

type nodeConns[C comparable] struct {
	idle    []idleConn[C] // longest idle first
	busy    int
	opening int
}

type idleConn[C comparable] struct {
	conn   C
	since  time.Duration
	unused bool // it has carried no request yet and need not rest
}

// UnexpectedBytes reports that bytes arrived on a connection without a request in flight.
func (p *Pool[C]) UnexpectedBytes(now time.Duration) { p.longDelayUntil = now + longDelayDuration }

// readyAt returns the time from which an idle connection may carry a request.
func (p *Pool[C]) readyAt(i idleConn[C]) time.Duration {
	switch {
	case i.unused:
		return i.since
	case i.since < p.longDelayUntil:
		return i.since + longReuseDelay
	}
	return i.since + reuseDelay
}

// New returns an empty pool.
func New[C comparable](settings Settings) *Pool[C] {
	settings.MaxConnections = max(1, settings.MaxConnections)
	return &Pool[C]{settings: settings, nodes: map[string]*nodeConns[C]{}}
}

// Total returns the number of connections, including those being opened.
func (p *Pool[C]) Total() int { return p.total }

// Count returns the numbers of a node's connections that carry a request, are idle, and are being opened.
func (p *Pool[C]) Count(id string) (busy, idle, opening int) {
	if n := p.nodes[id]; n != nil {
		return n.busy, len(n.idle), n.opening
	}
	return 0, 0, 0
}

func (p *Pool[C]) node(id string) *nodeConns[C] {
	n := p.nodes[id]
	if n == nil {
		n = &nodeConns[C]{}
		p.nodes[id] = n
	}
	return n
}

// Take decides on a connection for an attempt at a node; waiting is the number of attempts already waiting there. The
// connection that has idled least is used first, so that surplus connections reach the idle timeout. After Open and
// Evict the pool counts the connection that the caller opens.
func (p *Pool[C]) Take(now time.Duration, id string, waiting int) (c C, v Decision) {
	n := p.node(id)
	for i := len(n.idle) - 1; i >= 0; i-- {
		if now >= p.readyAt(n.idle[i]) {
			c = n.idle[i].conn
			n.idle = slices.Delete(n.idle, i, i+1)
			n.busy++
			return c, Use
		}
	}
	switch {
	case len(n.idle)+n.opening > waiting: // there will be a connection for each waiting attempt and this one
		return c, WaitForIdle
	case p.total < p.settings.MaxConnections:
		n.opening++
		p.total++
		return c, Open
	}
	if c, ok := p.evict(id); ok {
		n.opening++
		return c, Evict
	}
	p.removeEmpty(id)
	return c, Wait
}

// evict removes the connection that has idled longest at any other node. It leaves total as it is, as the caller opens
// a connection in its place.
func (p *Pool[C]) evict(except string) (c C, ok bool) {
	var oldest *nodeConns[C]
	oldestID := ""
	for id, n := range p.nodes {
		if id == except || len(n.idle) == 0 {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(n.idle[0].since, oldest.idle[0].since), cmp.Compare(id, oldestID)) < 0 {
			oldest, oldestID = n, id
		}
	}
	if oldest == nil {
		return c, false
	}
	c = oldest.idle[0].conn
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	p.removeEmpty(oldestID)
	return c, true
}

// Opened reports that a connection has been opened. It is idle.
func (p *Pool[C]) Opened(now time.Duration, id string, c C) {
	n := p.node(id)
	n.opening--
	n.idle = append(n.idle, idleConn[C]{c, now, true})
}

// Failed reports that a connection could not be opened.
func (p *Pool[C]) Failed(id string) {
	p.node(id).opening--
	p.total--
	p.removeEmpty(id)
}

// Released reports that a connection's request has ended and that the connection may be reused.
func (p *Pool[C]) Released(now time.Duration, id string, c C) {
	n := p.node(id)
	n.busy--
	n.idle = append(n.idle, idleConn[C]{c, now, false})
}

// BusyClosed reports that a connection with a request in flight has been closed.
func (p *Pool[C]) BusyClosed(id string) {
	p.node(id).busy--
	p.total--
	p.removeEmpty(id)
}

// IdleClosed reports that an idle connection has been closed. It returns false if the connection is not idle in the
// pool.
func (p *Pool[C]) IdleClosed(id string, c C) bool {
	n := p.node(id)
	i := slices.IndexFunc(n.idle, func(x idleConn[C]) bool { return x.conn == c })
	if i < 0 {
		p.removeEmpty(id)
		return false
	}
	n.idle = slices.Delete(n.idle, i, i+1)
	p.total--
	p.removeEmpty(id)
	return true
}

// Due returns the earliest time at which an idle connection of a node may be used; ok is false if none is idle.
func (p *Pool[C]) Due(id string) (at time.Duration, ok bool) {
	for _, i := range p.node(id).idle {
		if t := p.readyAt(i); !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// RemoveExpired removes and returns the connections that have idled too long, and all idle ones of nodes that are no
// longer wanted.
func (p *Pool[C]) RemoveExpired(now time.Duration, wanted func(id string) bool) (old []C) {
	limit := time.Duration(idleFraction * float64(p.settings.IdleTimeout))
	for id, n := range p.nodes {
		keep := wanted(id)
		n.idle = slices.DeleteFunc(n.idle, func(i idleConn[C]) bool {
			if keep && (limit == 0 || now-i.since < limit) {
				return false
			}
			old = append(old, i.conn)
			p.total--
			return true
		})
		p.removeEmpty(id)
	}
	return old
}

// removeEmpty removes a node that has no connections.
func (p *Pool[C]) removeEmpty(id string) {
	if n := p.nodes[id]; n != nil && n.busy+n.opening+len(n.idle) == 0 {
		delete(p.nodes, id)
	}
}
