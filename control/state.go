package control

import (
	"math"
	"slices"
	"time"
)

// The state that control.go decides on: plain data and its bookkeeping.

// class is a Class with what the controller derives from it.
type class struct {
	Class
	patience time.Duration // the longest Expires seen: a first try's
}

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
	worth    float64
	reserved bool // its units came out of the reserve
	shared   *usage
	seq      int64
	held     bool
	over     bool
	started  bool
	limited  bool // its units are taken from the volume's limit
	attempts []*attempt
	doubt    *attempt // first attempt that may have run
}

// usage is what a volume asks and gets at one node beyond its reserve, units
// in the last second or so.
type usage struct {
	volume      *volume
	asked, took fading
}

// volume is a volume's account at this host.
type volume struct {
	plan    *Plan
	hosts   float64
	reserve bucket
	limit   bucket
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

// fading is a sum that forgets over usageSpan.
type fading struct {
	sum float64
	at  time.Duration
}

func (f *fading) add(now time.Duration, x float64) float64 {
	if f.sum != 0 {
		f.sum *= math.Exp(-float64(now-f.at) / float64(time.Second))
	}
	f.at, f.sum = now, f.sum+x
	return f.sum
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

// ask is a request that came for a node: its worth a unit, and its units.
type ask struct {
	at           time.Duration
	worth, units float64
}

// node is a storage node as this host knows it.
type node struct {
	Node
	listed     bool
	held       []*request // by deadline
	out        []*attempt // by time sent
	window     float64
	halvedAt   time.Duration
	rtt        float64 // mean round trip, ns; 0: none yet
	lastAnswer time.Duration
	silent     bool
	failed     int           // failures since the last answer
	errors     float64       // share of error answers of late
	pause      time.Duration // between attempts while suspect
	tryAt      time.Duration // the next one
	asked      []ask         // of the last second
	bid        float64
	bidAt      time.Duration
	meter      meter
	sent       []stamp // while cold: units sent
	usages     []*usage
	reserved   fading // units admitted out of reserves
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

func (v *volume) weight() float64 { return max(v.plan.Weight, 0.01) / v.hosts }

func (n *node) usageOf(v *volume) *usage {
	for _, u := range n.usages {
		if u.volume == v {
			return u
		}
	}
	u := &usage{volume: v}
	n.usages = append(n.usages, u)
	return u
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
