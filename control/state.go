package control

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

// The state that control.go decides on: plain data and its bookkeeping.

// Controller decides for one host.
type Controller struct {
	set     Settings
	classes map[string]*class
	plans   map[string]*Plan
	rng     *rand.Rand
	now     time.Duration
	actions []Action

	slot      time.Duration
	reqs      map[string]*request
	nodes     map[string]*node
	order     []*node // by id
	volumes   map[string]*volume
	items     map[string]*itemQueue
	droppedAt time.Duration
	all       flow                     // what this host got of late, anywhere
	served    map[int]flow             // by shard: what this host got there of late
	unserved  map[tryKey]time.Duration // when the first try of a request that may come again was taken
	stood     time.Duration            // how long this host stood still before this step
	taken     []stamp                  // for the attempt budget
	extra     []stamp
	token     int64
	timerAt   time.Duration
	timerSet  bool
	started   bool

	wait       delay      // backlog met at nodes in general
	after      []*attempt // sent after the latest one that was answered left
	lastSent   time.Duration
	unit       low     // unqueued ns a unit at nodes in general
	unitWorth  float64 // mean worth a unit of the requests taken, in full
	subscribed bool
	askedAt    time.Duration

	shares   Shares        // told; without volumes: none
	sharesAt time.Duration // when they were worked out
}

// class is a Class with what the controller derives from it.
type class struct {
	Class
	patience time.Duration // the longest Expires seen: a first try's
}

// tryKey is what a client's tries of one request have in common.
type tryKey struct{ volume, class, item string }

// attempt is one Send of a request.
type attempt struct {
	req     *request
	node    *node
	sentAt  time.Duration
	heldFor time.Duration // the node's meter then
	open    bool
}

// request is a request taken, until it is over and no attempt of it is out.
type request struct {
	Request
	class    *class
	volume   *volume
	order    *itemQueue // its key's turn, where the class keeps order
	node     *node      // where it is held or was last sent
	deadline time.Duration
	aimAt    time.Duration
	firstAt  time.Duration // when its first try was taken
	worth    float64
	paid     *bucket // what its units came out of
	held     bool
	over     bool
	started  bool
	attempts []*attempt
	doubt    *attempt // first attempt that may have run
	full     []int    // shards that had no room for it
}

// volume is a volume's account at this host.
type volume struct {
	plan    *Plan
	reserve bucket
	share   bucket
	asked   flow
	limit   bucket

	hosts     float64 // through which its requests come
	own, rest flow    // units served for it to this host, and to others meanwhile
	use       float64 // units a second by its meter; negative: not told
}

// metered books what an answer tells of the volume's use.
func (v *volume) metered(now time.Duration, e Outcome, units float64) {
	v.use = float64(e.VolumeUse-1) / 100 * v.plan.Nominal
	v.own, v.rest = v.own.add(now, units, rateMemory), v.rest.add(now, e.OthersGot, rateMemory)
}

// flow is the units that came of late, as it was when the last of them came: what a
// node that is down did before stays known.
type flow struct {
	sum float64
	at  time.Duration
}

func (f flow) add(now time.Duration, units float64, span time.Duration) flow {
	return flow{f.sum*math.Exp(-float64(now-f.at)/float64(span)) + units, now}
}

// bucket is a store of units that fills at a rate up to a top.
type bucket struct {
	level, rate, top float64
	at               time.Duration
}

func (b *bucket) fill(now time.Duration) float64 {
	b.level = min(b.top, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	return b.level
}

// take takes units out of the store if it holds them.
func (b *bucket) take(now time.Duration, units float64) bool {
	if b.fill(now) < units {
		return false
	}
	b.level -= units
	return true
}

// delay is a mean of delays seen, ns, that fades with age. Of each two in a row
// the lesser counts: a queue delays all, a costly request only itself.
type delay struct {
	mean, last float64
	at         time.Duration
}

// trust is the part of the mean that age has left.
func (d *delay) trust(now, fade time.Duration) float64 {
	return math.Exp(-float64(now-d.at) / float64(fade))
}

func (d *delay) now(now, fade time.Duration) float64 { return d.mean * d.trust(now, fade) }

// add books a delay. If the last one is old, what is usual elsewhere stands in for it.
func (d *delay) add(now time.Duration, seen, gain float64, fade, lastFade time.Duration, usual float64) float64 {
	t := d.trust(now, fade)
	lesser := min(seen, max(d.last*d.trust(now, lastFade), usual))
	old := d.mean*t + usual*(1-t)
	d.mean, d.last, d.at = old+gain*(lesser-old), seen, now
	return lesser
}

// low follows a low quantile of what is seen, in steps that are the smaller the
// more comes in a second: what lasts for seconds only must not become the usual.
type low struct {
	value float64
	seen  float64
	at    time.Duration
}

func (l *low) add(now time.Duration, x, quantile, gain float64) {
	if l.seen++; l.seen == 1 {
		l.value = x
	}
	step := max(gain*min(1, (now-l.at).Seconds()), 1/(l.seen+1))
	if l.at = now; x < l.value {
		l.value *= 1 - step*(1-quantile)
	} else {
		l.value *= 1 + step*quantile
	}
}

// itemQueue keeps the turn of the requests with one item.
type itemQueue struct {
	turn      []*request
	restUntil time.Duration
}

// stamp is an amount at a time, for budgets over a sliding span.
type stamp struct {
	at     time.Duration
	amount float64
}

// node is a storage node as this host knows it.
type node struct {
	Node
	listed     bool
	held       []*request // by deadline
	out        []*attempt // by time sent
	window     float64
	halvedAt   time.Duration
	rtt        float64       // mean round trip, ns; 0: none yet
	unit       low           // unqueued ns a unit
	wait       delay         // backlog met there
	lastSent   time.Duration // when the latest attempt that was answered left
	lastAnswer time.Duration
	silent     bool
	failed     int           // failures since the last answer
	errors     float64       // share of error answers of late
	pause      time.Duration // between attempts while suspect
	tryAt      time.Duration // the next one
	meter      meter
	credit     float64 // while cold: units that may be sent there
	creditAt   time.Duration
}

// usable says that new work may go to the node: the drain rule's only gate.
func (n *node) usable() bool { return n.listed && n.State == Ready }

// meter measures minRead: the units served while requests were held at the
// node, over the time for which they were, slot by slot. Of the units of an
// answer those count that fall, evenly over its time at the node, on time with
// requests held: else a short queue would count its wait but not what it got.
type meter struct {
	slots []slotCount // the last few seconds
	total time.Duration
	at    time.Duration
	on    bool
}

type slotCount struct {
	from  time.Duration
	units float64
	span  float64 // ns during which requests were held
}

// last is the slot of now; what is older than the memory is dropped.
func (m *meter) last(now, slot, memory time.Duration) *slotCount {
	if k := len(m.slots); k == 0 || now-m.slots[k-1].from >= slot {
		m.slots = append(m.slots, slotCount{from: now})
	}
	for now-m.slots[0].from > memory {
		m.slots = m.slots[1:]
	}
	return &m.slots[len(m.slots)-1]
}

// heldFor is the time so far during which requests were held.
func (m *meter) heldFor(now time.Duration) time.Duration {
	if m.on {
		return m.total + now - m.at
	}
	return m.total
}

// saturated notes whether requests are held from now on.
func (m *meter) saturated(now, slot, memory time.Duration, held bool) {
	if m.on {
		m.total += now - m.at
		m.last(now, slot, memory).span += float64(now - m.at)
	}
	m.at, m.on = now, held
}

// rate is units a nanosecond over the slots in memory, if they come to enough.
func (m *meter) rate(enough float64) (float64, bool) {
	units, span := 0.0, 0.0
	for _, s := range m.slots {
		units, span = units+s.units, span+s.span
	}
	return units / max(span, 1), span >= enough
}

func (c *Controller) open(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.open })
}

// forget drops a request that is over and has nothing out, and passes its turn on.
func (c *Controller) forget(r *request) {
	if !r.over || c.open(r) {
		return
	}
	delete(c.reqs, r.ID)
	if r.order != nil {
		r.order.turn = slices.DeleteFunc(r.order.turn, func(x *request) bool { return x == r })
		if len(r.order.turn) == 0 && r.order.restUntil <= c.now {
			delete(c.items, r.Item)
		}
	}
}

// wakeAt makes sure that a timer fires at the time or before.
func (c *Controller) wakeAt(at time.Duration) {
	at = max(at, c.now+time.Millisecond)
	if c.timerSet && c.timerAt <= at {
		return
	}
	c.token++
	c.timerAt, c.timerSet = at, true
	c.act(SetTimer{at, c.token})
}

// Beliefs is what is believed of each node that is known, by id. It changes nothing: who runs a controller
// sets it against what passes on the sockets.
func (c *Controller) Beliefs() []Belief {
	list := make([]Belief, 0, len(c.order))
	for _, n := range c.order {
		list = append(list, Belief{Node: n.ID, State: n.State, Listed: n.listed, Out: len(n.out), Held: len(n.held),
			Window: n.window, RoundTrip: time.Duration(n.rtt), Backlog: time.Duration(n.wait.now(c.now, waitFade)),
			UnitTime: time.Duration(n.unit.value), Errors: n.errors, Suspect: n.suspect(), Cold: c.cold(n)})
	}
	return list
}
