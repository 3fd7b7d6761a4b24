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
	settings Settings
	classes  map[string]*class
	plans    map[string]*Plan
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	slot           time.Duration
	requests       map[string]*request
	nodes          map[string]*node
	nodesByID      []*node // by id
	volumes        map[string]*volume
	items          map[string]*itemQueue
	cleanedAt      time.Duration
	servedTotal    decayingSum                // what this host got of late, anywhere
	servedByShard  map[int]decayingSum        // by shard: what this host got there of late
	firstTries     map[retryKey]time.Duration // when the first try of a request that may come again was taken
	stallTime      time.Duration              // how long this host stood still before this step
	recentRequests []timedAmount              // for the attempt budget
	recentRetries  []timedAmount
	timerToken     int64
	timerAt        time.Duration
	timerSet       bool
	started        bool

	overallWait      decayingMean // backlog met at nodes in general
	laterAttempts    []*attempt   // sent after the latest one that was answered left
	lastAnsweredSent time.Duration
	overallUnitTime  lowQuantile // unqueued ns a unit at nodes in general
	meanUnitWorth    float64     // mean worth a unit of the requests taken, in full
	subscribed       bool
	listAskedAt      time.Duration

	shares   Shares        // told; without volumes: none
	sharesAt time.Duration // when they were worked out
}

// class is a Class with what the controller derives from it.
type class struct {
	Class
	maxExpires time.Duration // the longest Expires seen: a first try's
}

// tryKey is what a client's tries of one request have in common.
type retryKey struct{ volume, class, item string }

// attempt is one Send of a request.
type attempt struct {
	req            *request
	node           *node
	sentAt         time.Duration
	heldTimeAtSend time.Duration // the node's meter then
	open           bool
}

// request is a request taken, until it is over and no attempt of it is out.
type request struct {
	Request
	class         *class
	volume        *volume
	queue         *itemQueue // its key's turn, where the class keeps order
	node          *node      // where it is held or was last sent
	deadline      time.Duration
	aimAt         time.Duration
	firstTryAt    time.Duration // when its first try was taken
	worth         float64
	chargedTo     *bucket // what its units came out of
	held          bool
	finished      bool
	answerStarted bool
	attempts      []*attempt
	uncertain     *attempt // first attempt that may have run
	fullShards    []int    // shards that had no room for it
}

// volume is a volume's account at this host.
type volume struct {
	plan    *Plan
	reserve bucket
	share   bucket
	demand  decayingSum
	limit   bucket

	hosts                   float64     // through which its requests come
	ownServed, othersServed decayingSum // units served for it to this host, and to others meanwhile
	meteredRate             float64     // units a second by its meter; negative: not told
}

// metered books what an answer tells of the volume's use.
func (v *volume) recordUse(now time.Duration, e Outcome, units float64) {
	v.meteredRate = float64(e.VolumeUse-1) / 100 * v.plan.Nominal
	v.ownServed, v.othersServed = v.ownServed.add(now, units, rateSpan), v.othersServed.add(now, e.OthersGot, rateSpan)
}

// flow is the units that came of late, as it was when the last of them came: what a
// node that is down did before stays known.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (f decayingSum) add(now time.Duration, units float64, span time.Duration) decayingSum {
	return decayingSum{f.sum*math.Exp(-float64(now-f.at)/float64(span)) + units, now}
}

// bucket is a store of units that fills at a rate up to a top.
type bucket struct {
	level, rate, capacity float64
	at                    time.Duration
}

func (b *bucket) refill(now time.Duration) float64 {
	b.level = min(b.capacity, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	return b.level
}

// take takes units out of the store if it holds them.
func (b *bucket) take(now time.Duration, units float64) bool {
	if b.refill(now) < units {
		return false
	}
	b.level -= units
	return true
}

// delay is a mean of delays seen, ns, that fades with age. Of each two in a row
// the lesser counts: a queue delays all, a costly request only itself.
type decayingMean struct {
	mean, last float64
	at         time.Duration
}

// trust is the part of the mean that age has left.
func (d *decayingMean) remaining(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-d.at) / float64(decay))
}

func (d *decayingMean) value(now, decay time.Duration) float64 {
	return d.mean * d.remaining(now, decay)
}

// add books a delay. If the last one is old, what is usual elsewhere stands in for it.
func (d *decayingMean) add(now time.Duration, observed, gain float64, decay, lastDecay time.Duration, usual float64) float64 {
	remaining := d.remaining(now, decay)
	lesser := min(observed, max(d.last*d.remaining(now, lastDecay), usual))
	old := d.mean*remaining + usual*(1-remaining)
	d.mean, d.last, d.at = old+gain*(lesser-old), observed, now
	return lesser
}

// low follows a low quantile of what is seen, in steps that are the smaller the
// more comes in a second: what lasts for seconds only must not become the usual.
type lowQuantile struct {
	value float64
	count float64
	at    time.Duration
}

func (l *lowQuantile) add(now time.Duration, x, quantile, gain float64) {
	if l.count++; l.count == 1 {
		l.value = x
	}
	step := max(gain*min(1, (now-l.at).Seconds()), 1/(l.count+1))
	if l.at = now; x < l.value {
		l.value *= 1 - step*(1-quantile)
	} else {
		l.value *= 1 + step*quantile
	}
}

// itemQueue keeps the turn of the requests with one item.
type itemQueue struct {
	waiting     []*request
	pausedUntil time.Duration
}

// stamp is an amount at a time, for budgets over a sliding span.
type timedAmount struct {
	at     time.Duration
	amount float64
}

// node is a storage node as this host knows it.
type node struct {
	Node
	listed           bool
	held             []*request // by deadline
	inFlight         []*attempt // by time sent
	window           float64
	halvedAt         time.Duration
	rtt              float64       // mean round trip, ns; 0: none yet
	unitTime         lowQuantile   // unqueued ns a unit
	wait             decayingMean  // backlog met there
	lastAnsweredSent time.Duration // when the latest attempt that was answered left
	lastAnswerAt     time.Duration
	silent           bool
	failures         int           // failures since the last answer
	errorRate        float64       // share of error answers of late
	backoff          time.Duration // between attempts while suspect
	nextTryAt        time.Duration // the next one
	meter            rateMeter
	credit           float64 // while cold: units that may be sent there
	creditAt         time.Duration
}

// usable says that new work may go to the node: the drain rule's only gate.
func (n *node) usable() bool { return n.listed && n.State == Ready }

// meter measures minRead: the units served while requests were held at the
// node, over the time for which they were, slot by slot. Of the units of an
// answer those count that fall, evenly over its time at the node, on time with
// requests held: else a short queue would count its wait but not what it got.
type rateMeter struct {
	slots     []meterSlot // the last few seconds
	heldTotal time.Duration
	updatedAt time.Duration
	holding   bool
}

type meterSlot struct {
	start    time.Duration
	units    float64
	heldTime float64 // ns during which requests were held
}

// last is the slot of now; what is older than the memory is dropped.
func (m *rateMeter) currentSlot(now, slot, span time.Duration) *meterSlot {
	if k := len(m.slots); k == 0 || now-m.slots[k-1].start >= slot {
		m.slots = append(m.slots, meterSlot{start: now})
	}
	for now-m.slots[0].start > span {
		m.slots = m.slots[1:]
	}
	return &m.slots[len(m.slots)-1]
}

// heldFor is the time so far during which requests were held.
func (m *rateMeter) heldTime(now time.Duration) time.Duration {
	if m.holding {
		return m.heldTotal + now - m.updatedAt
	}
	return m.heldTotal
}

// saturated notes whether requests are held from now on.
func (m *rateMeter) setHolding(now, slot, span time.Duration, held bool) {
	if m.holding {
		m.heldTotal += now - m.updatedAt
		m.currentSlot(now, slot, span).heldTime += float64(now - m.updatedAt)
	}
	m.updatedAt, m.holding = now, held
}

// rate is units a nanosecond over the slots in memory, if they come to enough.
func (m *rateMeter) rate(minHeldTime float64) (float64, bool) {
	units, heldTime := 0.0, 0.0
	for _, s := range m.slots {
		units, heldTime = units+s.units, heldTime+s.heldTime
	}
	return units / max(heldTime, 1), heldTime >= minHeldTime
}

func (c *Controller) hasOpenAttempt(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.open })
}

// forget drops a request that is over and has nothing out, and passes its turn on.
func (c *Controller) removeFinished(r *request) {
	if !r.finished || c.hasOpenAttempt(r) {
		return
	}
	delete(c.requests, r.ID)
	if r.queue != nil {
		r.queue.waiting = slices.DeleteFunc(r.queue.waiting, func(x *request) bool { return x == r })
		if len(r.queue.waiting) == 0 && r.queue.pausedUntil <= c.now {
			delete(c.items, r.Item)
		}
	}
}

// wakeAt makes sure that a timer fires at the time or before.
func (c *Controller) setTimerAt(at time.Duration) {
	at = max(at, c.now+time.Millisecond)
	if c.timerSet && c.timerAt <= at {
		return
	}
	c.timerToken++
	c.timerAt, c.timerSet = at, true
	c.emit(SetTimer{at, c.timerToken})
}

// Beliefs is what is believed of each node that is known, by id. It changes nothing: who runs a controller
// sets it against what passes on the sockets.
func (c *Controller) Beliefs() []Belief {
	list := make([]Belief, 0, len(c.nodesByID))
	for _, n := range c.nodesByID {
		list = append(list, Belief{Node: n.ID, State: n.State, Listed: n.listed, Out: len(n.inFlight), Held: len(n.held),
			Window: n.window, RoundTrip: time.Duration(n.rtt), Backlog: time.Duration(n.wait.value(c.now, backlogDecay)),
			UnitTime: time.Duration(n.unitTime.value), Errors: n.errorRate, Suspect: n.suspect(), Cold: c.cold(n)})
	}
	return list
}
