// Package connpool decides which connection carries an attempt where a connection carries one request at a
// time: which idle one is used again, when another is opened, which one makes room, which are closed for
// having idled. It owns no socket and reads no clock; who calls it says what time it is and does what it
// says. internal/backend/http drives it, on one loop.
package connpool

import (
	"cmp"
	"slices"
	"time"
)

// How long a connection stands after an answer before it carries another request. Guards against answers that
// bring more than belongs to them: what comes behind must be met while nothing is out, or it would be taken for
// the next one's answer. It mostly comes with the answer itself, and then the connection is not used again; for a
// while after some came on its own, connections stand longer. Harm: an attempt may wait so long, or a few
// connections more are opened.
const (
	rest      = time.Millisecond
	restLong  = 5 * time.Millisecond
	restAfter = time.Minute
)

// idlePart is the part of the time after which a node closes idle connections that one may idle here: a
// request written to a connection that the node has closed ends as a reset.
const idlePart = 0.7

// Settings bound the pool.
type Settings struct {
	Total int           // connections at a time, those being opened included
	Idle  time.Duration // nodes close a connection that has idled for so long; 0: they do not
}

// Verdict says what is to be done for an attempt.
type Verdict int

// The verdicts.
const (
	Use    Verdict = iota // this connection carries it
	Open                  // one more is to be opened; the attempt waits
	Evict                 // this idle one is to be closed, and one opened in its place; the attempt waits
	Resume                // one that rests carries it soon, see Due; the attempt waits
	Wait                  // the ceiling is reached and none is idle: the attempt waits for one to end
)

// Pool keeps the books. C stands for a connection.
type Pool[C comparable] struct {
	set   Settings
	nodes map[string]*node[C]
	total int
	wary  time.Duration // until when connections stand longer
}

type node[C comparable] struct {
	idle    []idle[C] // longest first
	busy    int
	opening int
}

type idle[C comparable] struct {
	conn  C
	since time.Duration
	fresh bool // it has carried nothing yet: it need not rest
}

// Excess books that bytes came on a connection on which nothing was out.
func (p *Pool[C]) Excess(now time.Duration) { p.wary = now + restAfter }

// readyAt is when a connection may carry a request.
func (p *Pool[C]) readyAt(i idle[C]) time.Duration {
	switch {
	case i.fresh:
		return i.since
	case i.since < p.wary:
		return i.since + restLong
	}
	return i.since + rest
}

// New returns an empty pool.
func New[C comparable](set Settings) *Pool[C] {
	set.Total = max(1, set.Total)
	return &Pool[C]{set: set, nodes: map[string]*node[C]{}}
}

// Total is the number of connections, those being opened included.
func (p *Pool[C]) Total() int { return p.total }

// Count is how many a node has: carrying a request, idle, being opened.
func (p *Pool[C]) Count(id string) (busy, idle, opening int) {
	if n := p.nodes[id]; n != nil {
		return n.busy, len(n.idle), n.opening
	}
	return 0, 0, 0
}

func (p *Pool[C]) node(id string) *node[C] {
	n := p.nodes[id]
	if n == nil {
		n = &node[C]{}
		p.nodes[id] = n
	}
	return n
}

// Take finds a connection for an attempt at a node before which others wait already. The one that idled
// least is used, so that those not needed grow old. Open and Evict book the one to be opened.
func (p *Pool[C]) Take(now time.Duration, id string, waiting int) (c C, v Verdict) {
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
	case len(n.idle)+n.opening > waiting: // there will be one for each that waits
		return c, Resume
	case p.total < p.set.Total:
		n.opening++
		p.total++
		return c, Open
	}
	if c, ok := p.evict(id); ok {
		n.opening++
		return c, Evict
	}
	p.forget(id)
	return c, Wait
}

// evict gives up the connection of another node that has idled longest; its place is taken at once.
func (p *Pool[C]) evict(but string) (c C, ok bool) {
	var worst *node[C]
	name := ""
	for id, n := range p.nodes {
		if id == but || len(n.idle) == 0 {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(n.idle[0].since, worst.idle[0].since), cmp.Compare(id, name)) < 0 {
			worst, name = n, id
		}
	}
	if worst == nil {
		return c, false
	}
	c = worst.idle[0].conn
	worst.idle = slices.Delete(worst.idle, 0, 1)
	p.forget(name)
	return c, true
}

// Opened books a connection that is up, and idle.
func (p *Pool[C]) Opened(now time.Duration, id string, c C) {
	n := p.node(id)
	n.opening--
	n.idle = append(n.idle, idle[C]{c, now, true})
}

// Failed books that one did not come up.
func (p *Pool[C]) Failed(id string) {
	p.node(id).opening--
	p.total--
	p.forget(id)
}

// Done books that a connection's request has ended and that it may carry another.
func (p *Pool[C]) Done(now time.Duration, id string, c C) {
	n := p.node(id)
	n.busy--
	n.idle = append(n.idle, idle[C]{c, now, false})
}

// Ended books that a connection which carried a request is closed.
func (p *Pool[C]) Ended(id string) {
	p.node(id).busy--
	p.total--
	p.forget(id)
}

// Lost books that an idle connection is closed. It reports false for one that is not idle here.
func (p *Pool[C]) Lost(id string, c C) bool {
	n := p.node(id)
	i := slices.IndexFunc(n.idle, func(x idle[C]) bool { return x.conn == c })
	if i < 0 {
		p.forget(id)
		return false
	}
	n.idle = slices.Delete(n.idle, i, i+1)
	p.total--
	p.forget(id)
	return true
}

// Due is when the first resting connection of a node may be used; false if none rests.
func (p *Pool[C]) Due(id string) (at time.Duration, ok bool) {
	for _, i := range p.node(id).idle {
		if t := p.readyAt(i); !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// Old takes from the books, and returns, the connections that have idled too long, and all idle ones of
// nodes that are not wanted any more.
func (p *Pool[C]) Old(now time.Duration, wanted func(id string) bool) (old []C) {
	limit := time.Duration(idlePart * float64(p.set.Idle))
	for id, n := range p.nodes {
		keep := wanted(id)
		n.idle = slices.DeleteFunc(n.idle, func(i idle[C]) bool {
			if keep && (limit == 0 || now-i.since < limit) {
				return false
			}
			old = append(old, i.conn)
			p.total--
			return true
		})
		p.forget(id)
	}
	return old
}

// forget drops a node of which there is no connection.
func (p *Pool[C]) forget(id string) {
	if n := p.nodes[id]; n != nil && n.busy+n.opening+len(n.idle) == 0 {
		delete(p.nodes, id)
	}
}
