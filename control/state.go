package control

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

// This file holds the state on which control.go decides, and its bookkeeping.

// Controller decides for one host which requests it sends to which node and which it refuses. It is not safe
// for concurrent use.
type Controller struct {
	settings Settings
	classes  map[string]*class
	plans    map[string]*Plan
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	slot           time.Duration // the tightest aim, from 10 to 500 ms; the unit of checks and pauses
	requests       map[string]*request
	nodes          map[string]*node
	nodesByID      []*node // sorted by id
	volumes        map[string]*volume
	items          map[string]*itemQueue
	cleanedAt      time.Duration       // when removeStale last ran
	servedTotal    decayingSum         // units that all nodes served to this host
	servedByShard  map[int]decayingSum // the same by shard
	firstTries     firstTries
	stallTime      time.Duration // how long this host was stalled before this step; 0: not
	recentRequests []timedAmount // within Settings.RetryBudgetSpan, for the retry budget
	recentRetries  []timedAmount // the same
	timerToken     int64
	timerAt        time.Duration
	timerSet       bool
	started        bool

	overallWait      decayingMean  // backlog over all nodes
	laterAttempts    []*attempt    // sent after lastAnsweredSent
	lastAnsweredSent time.Duration // when the latest answered attempt was sent
	overallUnitTime  lowQuantile   // ns a unit without a queue, over all nodes
	meanUnitWorth    float64       // mean full worth a unit of the accepted requests
	subscribed       bool
	listAskedAt      time.Duration

	shares   Shares        // the shares last received; no volumes: none
	sharesAt time.Duration // when they were computed
}

// class is a Class and what the controller has learned about it.
type class struct {
	Class
	maxExpires time.Duration // the longest Expires seen, which is that of a first try
}

// retryKey is what all tries of one client request have in common.
type retryKey struct{ volume, class, item string }

// attempt is one Send of a request.
type attempt struct {
	req            *request
	node           *node
	sentAt         time.Duration
	heldTimeAtSend time.Duration // heldTime of the node's meter at that time
	open           bool          // still without an outcome
}

// request is an accepted request, kept until it is finished and has no open attempt.
type request struct {
	Request
	class         *class
	volume        *volume
	queue         *itemQueue // the queue of its item, if its class keeps order
	node          *node      // where it is held or was last sent
	deadline      time.Duration
	aimAt         time.Duration // an answer up to this time earns the full worth
	firstTryAt    time.Duration // when its first try arrived
	worth         float64       // if answered within the aim
	chargedTo     *bucket       // the bucket that its units were taken from
	held          bool
	finished      bool
	answerStarted bool
	attempts      []*attempt
	uncertain     *attempt // first attempt that may have run
	fullShards    []int    // shards that had no room for it
}

// volume is the account of a volume at this host.
type volume struct {
	plan    *Plan
	open    int // accepted requests that are kept
	reserve bucket
	share   bucket
	demand  decayingSum
	limit   bucket

	hosts                   float64     // number of hosts through which its requests come
	ownServed, othersServed decayingSum // units served for it through this host and through the others
	meteredRate             float64     // units a second by the nodes' meters; negative: unknown
}

// recordUse records what an answer reports about the volume's use.
func (v *volume) recordUse(now time.Duration, e Outcome, units float64) {
	v.meteredRate = float64(e.VolumeUse-1) / 100 * v.plan.Nominal
	v.ownServed, v.othersServed =
		v.ownServed.add(now, units, rateSpan), v.othersServed.add(now, e.OthersGot, rateSpan)
}

// decayingSum is a sum of units that decays with age. It decays only when units are added, so that the work
// that a node did before it went down stays known.
type decayingSum struct {
	sum float64
	at  time.Duration
}

// add returns the sum, decayed to now with the time constant span, plus the units.
func (f decayingSum) add(now time.Duration, units float64, span time.Duration) decayingSum {
	return decayingSum{f.sum*math.Exp(-float64(now-f.at)/float64(span)) + units, now}
}

// bucket is a token bucket of units: it fills at a rate, in units a second, up to its capacity.
type bucket struct {
	level, rate, capacity float64
	at                    time.Duration
}

// refill adds the units that have accrued until now and returns the level.
func (b *bucket) refill(now time.Duration) float64 {
	b.level = min(b.capacity, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	return b.level
}

// take removes the units if the bucket holds them, and reports whether it did.
func (b *bucket) take(now time.Duration, units float64) bool {
	if b.refill(now) < units {
		return false
	}
	b.level -= units
	return true
}

// decayingMean is a moving average of observed delays, in ns, that decays with age. The lesser of each two
// consecutive observations counts: a queue delays all requests, a costly request only itself.
type decayingMean struct {
	mean, last float64
	at         time.Duration
}

// remaining returns the weight that the mean still has at its age.
func (d *decayingMean) remaining(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-d.at) / float64(decay))
}

// value returns the mean, decayed to now.
func (d *decayingMean) value(now, decay time.Duration) float64 {
	return d.mean * d.remaining(now, decay)
}

// add records an observed delay and returns the lesser of it and the previous one. As the mean and the
// previous observation age, the usual delay elsewhere replaces them.
func (d *decayingMean) add(
	now time.Duration, observed, gain float64, decay, lastDecay time.Duration, usual float64) float64 {
	remaining := d.remaining(now, decay)
	lesser := min(observed, max(d.last*d.remaining(now, lastDecay), usual))
	old := d.mean*remaining + usual*(1-remaining)
	d.mean, d.last, d.at = old+gain*(lesser-old), observed, now
	return lesser
}

// lowQuantile tracks a low quantile of observed values. Its steps are smaller the more values arrive in a
// second, so that a condition that lasts only seconds does not become the usual value.
type lowQuantile struct {
	value float64
	count float64 // number of values
	at    time.Duration
}

// add moves the estimate towards x, by at most gain a second once there are many values.
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

// itemQueue orders the requests for one item.
type itemQueue struct {
	waiting     []*request    // in order of arrival; the first one may be sent
	pausedUntil time.Duration // while an attempt may still be running
}

// timedAmount is an amount at a time, for budgets over a sliding span.
type timedAmount struct {
	at     time.Duration
	amount float64
}

// node is what this host knows of a storage node.
type node struct {
	Node
	listed           bool
	held             []*request    // sorted by deadline
	inFlight         []*attempt    // sorted by time sent
	window           float64       // most attempts in flight
	halvedAt         time.Duration // when the window was last halved
	rtt              float64       // mean round trip, ns; 0: none yet
	unitTime         lowQuantile   // ns a unit without a queue
	wait             decayingMean  // backlog that attempts met there
	lastAnsweredSent time.Duration // when the latest answered attempt was sent
	lastAnswerAt     time.Duration
	silent           bool          // no answer since an attempt that became overdue
	failures         int           // since the last answer
	errorRate        float64       // moving average of the share of error answers
	backoff          time.Duration // pause between attempts while suspect
	nextTryAt        time.Duration // when a suspect node gets the next attempt
	meter            rateMeter
	credit           float64 // while cold: units that may be sent there
	creditAt         time.Duration
}

// usable reports whether new work may go to the node. It is the only check of the drain rule.
func (n *node) usable() bool { return n.listed && n.State == Ready }

// rateMeter measures a node's service rate, slot by slot: the units served while requests were held for the
// node, divided by the time during which they were. The units of an answer are spread evenly over its time
// at the node, and the part that falls on held time counts. Otherwise a short queue would count its waiting
// time but not the units served meanwhile.
type rateMeter struct {
	slots     []meterSlot   // in order of time
	heldTotal time.Duration // held time up to updatedAt
	updatedAt time.Duration
	holding   bool // requests are held since updatedAt
}

// meterSlot is what a rateMeter measured in one slot.
type meterSlot struct {
	start    time.Duration
	units    float64
	heldTime float64 // ns during which requests were held
}

// currentSlot returns the slot of now, and drops the slots older than the span.
func (m *rateMeter) currentSlot(now, slot, span time.Duration) *meterSlot {
	if k := len(m.slots); k == 0 || now-m.slots[k-1].start >= slot {
		m.slots = append(m.slots, meterSlot{start: now})
	}
	for now-m.slots[0].start > span {
		m.slots = m.slots[1:]
	}
	return &m.slots[len(m.slots)-1]
}

// heldTime returns the total time during which requests were held.
func (m *rateMeter) heldTime(now time.Duration) time.Duration {
	if m.holding {
		return m.heldTotal + now - m.updatedAt
	}
	return m.heldTotal
}

// setHolding records whether requests are held from now on.
func (m *rateMeter) setHolding(now, slot, span time.Duration, held bool) {
	if m.holding {
		m.heldTotal += now - m.updatedAt
		m.currentSlot(now, slot, span).heldTime += float64(now - m.updatedAt)
	}
	m.updatedAt, m.holding = now, held
}

// rate returns the units a nanosecond over the kept slots, and whether their held time reaches the minimum.
func (m *rateMeter) rate(minHeldTime float64) (float64, bool) {
	units, heldTime := 0.0, 0.0
	for _, s := range m.slots {
		units, heldTime = units+s.units, heldTime+s.heldTime
	}
	return units / max(heldTime, 1), heldTime >= minHeldTime
}

// hasOpenAttempt reports whether an attempt of the request has no outcome yet.
func (c *Controller) hasOpenAttempt(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.open })
}

// removeFinished removes a request that is finished and has no open attempt, also from the queue of its item.
func (c *Controller) removeFinished(r *request) {
	if !r.finished || c.hasOpenAttempt(r) || c.requests[r.ID] != r {
		return
	}
	delete(c.requests, r.ID)
	r.volume.open--
	if r.queue != nil {
		r.queue.waiting = slices.DeleteFunc(r.queue.waiting, func(x *request) bool { return x == r })
		if len(r.queue.waiting) == 0 && r.queue.pausedUntil <= c.now {
			delete(c.items, r.Item)
		}
	}
}

// setTimerAt ensures that a timer fires at or before the given time, but not within the next millisecond.
func (c *Controller) setTimerAt(at time.Duration) {
	at = max(at, c.now+time.Millisecond)
	if c.timerSet && c.timerAt <= at {
		return
	}
	c.timerToken++
	c.timerAt, c.timerSet = at, true
	c.emit(SetTimer{at, c.timerToken})
}

// NodeEstimates returns the controller's estimates of each known node, sorted by id. It changes nothing. Callers
// compare it with what they observe on the sockets.
func (c *Controller) NodeEstimates() []NodeEstimate {
	list := make([]NodeEstimate, 0, len(c.nodesByID))
	for _, n := range c.nodesByID {
		list = append(list, NodeEstimate{Node: n.ID, State: n.State, Listed: n.listed,
			InFlight: len(n.inFlight), Held: len(n.held), Window: n.window,
			RoundTrip: time.Duration(n.rtt), Backlog: time.Duration(n.wait.value(c.now, backlogDecay)),
			UnitTime: time.Duration(n.unitTime.value), ErrorRate: n.errorRate, Suspect: n.suspect(), Cold: c.cold(n)})
	}
	return list
}
