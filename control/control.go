package control

// The decisions. The interface (settings, events, actions) is in api.go, the state in state.go.

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"sort"
	"time"
)

// The tuned values: parts of what the settings say or of what is observed, so that they fit any deployment.
const (
	rateMemory   = 10 * time.Second // minRead is a mean over this long
	windowStart  = 4.0              // attempts out at a node, at first
	windowTop    = 16.0             // the fixed ceiling
	windowFloor  = 1.0              // the trickle: one attempt may always be out
	aimForNode   = 0.05             // part of the tightest aim that a wait may take before the window halves
	rttGain      = 0.15             // weight of a new round trip in the mean
	keepFor      = 30 * time.Second // what nothing refers to is kept at least this long
	usageSpan    = time.Second      // worth is counted by the second
	shareOver    = 2.0              // times what a volume is sized for: taken as its share
	silentAfter  = 3.0              // round trips (and an aim) without any answer: suspect
	unitGain     = 0.05             // step a second of the unqueued time a unit, which is a low quantile
	unitQuantile = 0.3              // of the times a unit that answers took
	waitGain     = 0.5              // weight of a new observation of the backlog
	waitFade     = 2 * time.Second  // the backlog last seen is forgotten over this long
	lastFade     = 4 * waitFade     // and the last observation, of which it takes two
	unheard      = 1.0              // part of the tightest aim that an unheard-of node counts as behind
	generalFull  = 4.0              // a third of the tightest aim in general: all is short
	waitFree     = 1.0              // mean requests' work that is no backlog yet
	suspectAfter = 3                // failures on end: suspect
	backoffTop   = 8                // longest pause between attempts at a suspect node, slots
	coldMargin   = 0.8              // part of the cold budget that is used: hosts come by chance
	coldLoad     = 0.6              // part of its capacity that a node served in the mean, at most
	askEarly     = 0.4              // part of the list's longest silence after which it is asked
	beatsPerSlot = 4                // looks at held requests in a slot
	fadeOld      = 4.0              // halvings of trust in shares told, for each stated age over it
	useFar       = 3.0              // doublings of its share at which what a volume asks for belies it

	noAnswers = " gives no answers: suspect, one attempt now and then"
)

// New checks the settings and returns a controller that has seen nothing yet.
func New(set Settings, seed int64) (*Controller, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	c := &Controller{
		set: set, rng: rand.New(rand.NewSource(seed)),
		classes: map[string]*class{}, plans: map[string]*Plan{}, reqs: map[string]*request{},
		nodes: map[string]*node{}, volumes: map[string]*volume{}, items: map[string]*itemQueue{},
		unserved: map[tryKey]time.Duration{}, served: map[int]flow{},
	}
	c.set.Hosts = max(1, set.Hosts)
	c.set.MeanUnits = cmp.Or(set.MeanUnits, 1)
	c.slot = 500 * time.Millisecond
	for _, cl := range set.Classes {
		c.classes[cl.Name] = &class{Class: cl}
		if cl.Aim > 0 {
			c.slot = max(10*time.Millisecond, min(c.slot, cl.Aim))
		}
	}
	for i := range set.Plans {
		c.plans[set.Plans[i].Name] = &set.Plans[i]
	}
	return c, nil
}

// Step takes the events of one moment, in order of arrival, and returns the actions for it. Outcomes and
// news are all taken in before anything is admitted or sent, so nothing leaves for a request that one ended.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.stood = now - c.now
	if !c.timerSet || now < c.timerAt+c.slot/beatsPerSlot {
		c.stood = 0 // a timer that fires late tells a host that stood still from one with nothing to do
	}
	c.now, c.actions = now, nil
	if !c.started {
		c.started = true
		c.ask()
	}
	var arrivals, again []*request
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			arrivals = append(arrivals, c.take(e))
		case Outcome:
			again = append(again, c.outcome(e))
		case ClientGone:
			if r := c.reqs[e.ID]; r != nil {
				c.end(r)
				for i, a := range r.attempts { // work for who has gone stands before that for those who wait
					if a.open && c.set.Cancelling {
						c.act(Cancel{r.ID, i})
					}
				}
			}
		case AnswerStarted:
			if r := c.reqs[e.ID]; r != nil {
				r.started = true
			}
		case TimerFired:
			c.timerSet = c.timerSet && e.Token != c.token
		case NodeList:
			again = append(again, c.list(e)...)
		case Shares:
			c.shares, c.sharesAt = e, c.now-e.Age
		}
	}
	for _, r := range append(again, arrivals...) {
		if r != nil && !r.over {
			c.place(r)
		}
	}
	c.depart()
	c.keepAsking()
	c.dropOld()
	return c.actions
}

func (c *Controller) act(a Action) { c.actions = append(c.actions, a) }

// spent is the part of the client's patience that is gone as the request is taken. Less patience than
// others of its class have is time gone if the client says that it tries again, if as much has passed since
// this host took one for the same item that was not served, or if this host has just stood still for as
// long. Guards against clients with little time from the start, whose aim would be cut as if it were over.
// Harm: a retry after a restart of this host counts as a first try.
func (c *Controller) spent(e Request, cl *class) time.Duration {
	gone := cl.patience - e.Expires
	first, known := c.unserved[tryKey{e.Volume, e.Class, e.Item}]
	apart := gone - (c.now - first)
	if e.Retry || known && max(apart, -apart) <= c.slot/beatsPerSlot || gone <= c.stood {
		return gone
	}
	return 0
}

// take books a new request; nil if there is nothing to place.
func (c *Controller) take(e Request) *request {
	cl := c.classes[e.Class]
	if cl == nil {
		c.act(Fail{e.ID})
	}
	if cl == nil || c.reqs[e.ID] != nil {
		return nil
	}
	if e.Units <= 0 {
		e.Units = c.set.MeanUnits
	}
	cl.patience = max(cl.patience, e.Expires)
	spent := c.spent(e, cl)
	r := &request{Request: e, class: cl, firstAt: c.now - spent}
	r.deadline, r.aimAt = c.now+e.Expires, c.now+cl.Aim-spent
	if cl.Deadline > 0 {
		r.deadline = min(r.deadline, c.now+cl.Deadline)
	}
	r.aimAt = min(r.aimAt, r.deadline)
	c.reqs[e.ID] = r
	if c.set.ExtraSpan > 0 {
		c.taken = append(c.taken, stamp{c.now, 1})
	}
	r.volume = c.volumeOf(e)
	if cl.InOrder && e.Item != "" {
		q := c.items[e.Item]
		if q == nil {
			q = &itemQueue{}
			c.items[e.Item] = q
		}
		q.turn = append(q.turn, r)
		r.order = q
	}
	return r
}

// volumeOf returns the account of the request's volume. Of reserve and share this host has the part that
// the leading one of the volume's hosts tends to have; of the limit, which binds, one in the hosts. The
// limit's store starts at its slack only: a host that was killed may just have spent its part, and cannot
// know it.
func (c *Controller) volumeOf(e Request) *volume {
	v := c.volumes[e.Volume]
	if v != nil {
		return v
	}
	v = &volume{plan: c.plans[e.Plan], hosts: float64(max(1, e.Hosts)), use: -1}
	if v.plan == nil {
		v.plan = &Plan{Name: e.Plan, Weight: 1}
	}
	p, hosts := v.plan, v.hosts
	v.limit = bucket{p.LimitSlack / hosts, p.LimitRate / hosts, p.LimitBurst / hosts, c.now}
	v.reserve = c.due(p.Reserve / math.Sqrt(hosts))
	nominal, weights := 0.0, 0.0
	for _, q := range c.set.Plans {
		nominal, weights = nominal+q.Nominal, weights+q.Weight
	}
	dealt := max(p.Nominal, shareOver*p.Weight*nominal/max(weights, 1e-9))
	v.share = c.due(max(0, dealt-p.Reserve) / math.Sqrt(hosts))
	if e.Share > 0 { // told, not guessed
		v.share = c.due(e.Share)
	}
	c.volumes[e.Volume] = v
	return v
}

// due is a store of what is due at a rate: it holds a second of it and one largest request.
func (c *Controller) due(rate float64) bucket {
	full := rate*usageSpan.Seconds() + min(c.set.MostUnits, 1e6*rate)
	return bucket{full, rate, full, c.now}
}

// price sets what the request is worth if answered within its aim: class worth x plan factor x units, in
// full out of the volume's reserve, else at what the share or the rest earn. The share is taken as somewhat
// more than the volume is sized for: what others leave at a node, no host can see. Guards against a surging
// volume that crowds out those which ask for what is theirs.
func (c *Controller) price(r *request) {
	v := r.volume
	r.worth = r.class.Worth * r.Units / c.set.MeanUnits
	if v.plan.Price > 0 {
		r.worth *= v.plan.Price
	}
	c.unitWorth += rttGain * (r.worth/r.Units - c.unitWorth)
	v.asked = v.asked.add(c.now, r.Units, usageSpan)
	switch {
	case c.set.ShareWorth == 0 && c.set.SpareWorth == 0: // all units are worth the same
	case v.reserve.take(c.now, r.Units):
		r.paid = &v.reserve
	default:
		part := c.guessed(r)
		if inside, trust := c.told(r); inside > part || !c.shares.Volumes[r.Volume].Met {
			part += trust * (inside - part)
		}
		r.worth *= part
	}
}

// guessed is the part of its worth that a request earns, by what its volume is sized for.
func (c *Controller) guessed(r *request) float64 {
	v := r.volume
	if v.share.take(c.now, r.Units) {
		r.paid = &v.share
		return c.set.ShareWorth
	}
	dealt := (v.share.rate + v.reserve.rate) * usageSpan.Seconds()
	likely := min(1, dealt/v.asked.sum) // part of what it asks that may be inside
	return c.set.SpareWorth + likely*(c.set.ShareWorth-c.set.SpareWorth)
}

// told is that part by the shares told, and how far they are trusted: as far as this host's part of
// the share goes into what the volume asks (priced one by one, those inside would fill nodes to the
// brim); less with an age over the stated one, and far off what is used or asked for. Guards against
// old and wrong solutions. Harm: volumes that ask for little, or far too much, are guessed at.
func (c *Controller) told(r *request) (part, trust float64) {
	s, v := c.shares.Volumes[r.Volume], r.volume
	if s.Rate <= 0 || c.shares.Trust <= 0 {
		return 0, 0
	}
	own := v.own.add(c.now, c.set.MeanUnits, rateMemory).sum // without news: what a leading host has
	own /= own + v.rest.add(c.now, c.set.MeanUnits*(math.Sqrt(v.hosts)-1), rateMemory).sum
	asked := v.asked.sum / usageSpan.Seconds()
	off := math.Log2(max(v.use, asked/own) / s.Rate) // no forecast gives a share of what is not asked for
	old := max(0, float64(c.now-c.sharesAt)/float64(c.shares.Trust)-1)
	trust = min(1, max(0, useFar-max(off, -2*off))) * math.Exp2(-fadeOld*old)
	due := own * max(0, s.Rate-v.plan.Reserve) // the reserve has a store of its own
	inside := min(1, due/asked)
	if asked <= due+r.Units+2*math.Sqrt(due*r.Units) { // chance alone asks for as much in a second
		inside = 1
	}
	return c.set.SpareWorth + inside*(c.set.ShareWorth-c.set.SpareWorth), trust
}

// place finds the node for a request and holds it there if it is admitted.
func (c *Controller) place(r *request) {
	n := c.target(r)
	if n == nil || r.deadline <= c.now || !c.mayTry(r) {
		c.giveUp(r)
		return
	}
	c.admit(r, n)
}

// target is the node that the request goes to: the one that holds its shard or, for a new object, where the
// emulation ends earliest. A request that may have run stays in its group.
func (c *Controller) target(r *request) *node {
	for _, tier := range r.Tiers {
		if n := c.among(r, tier); n != nil {
			return n
		}
	}
	var best *node
	var bestEnd time.Duration
	first := 0
	if r.Shard < 0 && len(c.order) > 0 {
		first = c.rng.Intn(len(c.order)) // hosts that know as little choose apart
	}
	for i := range c.order {
		n := c.order[(first+i)%len(c.order)]
		if !n.usable() || r.Shard >= 0 && n.Shard != r.Shard || !c.inGroup(r, n) {
			continue
		}
		end := c.endAt(r, n)
		if r.Shard < 0 { // what is known of a node ages
			end += time.Duration(unheard * float64(c.slot) * (1 - n.wait.trust(c.now, waitFade)))
		}
		if n.suspect() {
			end += r.class.Deadline // only when there is nothing better
		}
		if best == nil || end < bestEnd {
			best, bestEnd = n, end
		}
	}
	return best
}

// endAt is when the request would be answered by the node, by the emulation.
func (c *Controller) endAt(r *request, n *node) time.Duration {
	took := max(n.rtt, c.unitTime(n)*r.Units) + n.errors*float64(r.class.Deadline)
	return c.emulatedEnd(n, r.Units) + time.Duration(took)
}

// among is where of a tier's shards a new object ends earliest by its aim; nil if nowhere. Ends
// closer than a wait that halves no window are the same: the order told decides. Guards against
// hosts that send all to nodes that they know. Harm: a node slower by less gets as much.
func (c *Controller) among(r *request, tier []int) (best *node) {
	near, before := time.Duration(aimForNode*float64(c.slot)), r.aimAt
	for _, shard := range tier {
		for _, n := range c.order {
			if n.Shard != shard || !n.usable() || n.suspect() || !c.inGroup(r, n) {
				continue
			}
			if end := c.endAmong(r, n); end < before {
				best, before = n, end-near
			}
		}
	}
	return best
}

// endAmong is endAt for candidates: of round trips it takes unit time and backlog, and how quick a node is
// ages to what is usual until one is out there. Guards against a node shunned for slow first answers (a
// dial, a pause): the mean round trip mends by answers of its own only. Harm: slow nodes get one at times.
func (c *Controller) endAmong(r *request, n *node) time.Duration {
	end := c.emulatedEnd(n, r.Units) + time.Duration(c.unitTime(n)*r.Units)
	if usual := c.freeAt(n) + time.Duration(2*c.unit.value*r.Units); len(n.out)+len(n.held) == 0 {
		end = usual + time.Duration(float64(end-usual)*n.wait.trust(c.now, waitFade))
	}
	return end + time.Duration(n.errors*float64(r.class.Deadline))
}

// freeAt is when the node, reading minRead a slot, is done with what is out, or with
// the backlog if that is more.
func (c *Controller) freeAt(n *node) time.Duration {
	units := 0.0
	for _, a := range n.out {
		if !c.overdue(a) {
			units += a.req.Units
		}
	}
	return c.now + max(time.Duration(max(units/c.rate(n), c.backlog(n))), c.coldWait(n))
}

// backlog is the wait that a new attempt meets at the node, ns: the one last seen there, fading with age,
// or what an attempt has by now waited that none sent later overtook. Guards against queues made of other
// hosts' work, of which each host adds little and the emulation of its own knows nothing; it sees any cause
// that makes a node slow to begin. Harm: a costly request looks like a backlog for a moment.
func (c *Controller) backlog(n *node) float64 {
	w := n.wait.now(c.now, waitFade) + c.general()*(1-n.wait.trust(c.now, waitFade))
	for _, a := range n.out {
		if a.sentAt > n.lastSent && !c.overdue(a) {
			w = max(w, c.waited(a))
		}
	}
	return w
}

// waited is what an attempt that is out has waited beyond its own work.
func (c *Controller) waited(a *attempt) float64 {
	return float64(c.now-a.sentAt) - c.unitTime(a.node)*a.req.Units
}

// general is the backlog met at nodes in general, or what by now has waited of the
// attempts that left after any that was answered.
func (c *Controller) general() float64 {
	w := c.wait.now(c.now, waitFade)
	c.after = slices.DeleteFunc(c.after, func(a *attempt) bool {
		return !a.open || a.sentAt <= c.lastSent || c.overdue(a)
	})
	if len(c.after) > 0 {
		w = max(w, min(float64(c.slot), c.waited(c.after[0])))
	}
	return w
}

// noise is a backlog no longer than what one request of more work than most adds.
func (c *Controller) noise(n *node) float64 { return waitFree * c.set.MeanUnits * c.unitTime(n) }

// unitTime is the unqueued time a unit at the node: its own, which starts at that of nodes in general.
func (c *Controller) unitTime(n *node) float64 {
	if n.unit.seen > 0 {
		return n.unit.value
	}
	return c.unit.value
}

// observe books the round trip of an answer: the backlog that it met and the time a unit takes without one.
func (c *Controller) observe(n *node, a *attempt, took time.Duration, load []float64) float64 {
	unit := float64(took) / a.req.Units
	c.unit.add(c.now, unit, unitQuantile, unitGain)
	if n.unit.seen == 0 {
		n.unit = c.unit
	}
	wait := max(0, float64(took)-n.unit.value*a.req.Units)
	if w, ok := c.reported(load); ok {
		wait = min(wait, w)
	}
	n.unit.add(c.now, unit, unitQuantile, unitGain)
	c.wait.add(c.now, min(wait, float64(c.slot)), waitGain/2, waitFade, lastFade, 0)
	n.lastSent, c.lastSent = max(n.lastSent, a.sentAt), max(c.lastSent, a.sentAt)
	return n.wait.add(c.now, wait, waitGain, waitFade, lastFade, c.general())
}

// reported is the most that the load report of an answer lets a wait be.
func (c *Controller) reported(load []float64) (wait float64, ok bool) {
	q, l := slices.Index(c.set.LoadFields, "queue"), slices.Index(c.set.LoadFields, "latency_ms")
	if q < 0 || l < 0 || len(load) <= max(q, l) || !(load[q] >= 0) || !(load[l] > 0) {
		return 0, false
	}
	return (load[q] + 1) * load[l] * float64(time.Millisecond), true
}

// emulatedEnd is when further units would end behind all that is held and out.
func (c *Controller) emulatedEnd(n *node, units float64) time.Duration {
	for _, r := range n.held {
		units += r.Units
	}
	return c.freeAt(n) + time.Duration(units/c.rate(n))
}

// payoff is what a request earns if it ends then. One that misses its deadline
// has cost the node its work for nothing.
func (r *request) payoff(end time.Duration) float64 {
	switch {
	case end <= r.aimAt:
		return r.worth
	case end <= r.deadline:
		return r.worth * r.class.LateWorth
	}
	return -r.worth - 1e-9
}

// emulation is what the emulation of a node begins with: it is the same for all that is
// asked of it in one round.
type emulation struct {
	at                    time.Duration
	rate, queued, general float64
}

func (c *Controller) emulate(n *node) emulation {
	general := max(0, c.general()-waitFree/2*c.set.MeanUnits*c.unit.value) / float64(c.slot)
	return emulation{c.freeAt(n), c.rate(n), c.backlog(n), general}
}

// value emulates the node over out and held requests, earliest deadline first, from the
// i-th on, of which it leaves one out, and adds to the sum what they earn.
func (c *Controller) value(n *node, e emulation, i int, sum float64, without bool) float64 {
	for k, r := range n.held[i:] {
		if k == 0 && without {
			continue
		}
		e.at += time.Duration(r.Units / e.rate)
		sum += c.earns(r, e)
	}
	return sum
}

// earns is what a request that ends where the emulation stands brings, less what its
// units are worth to others.
func (c *Controller) earns(r *request, e emulation) float64 {
	return r.payoff(e.at) - c.bid(r, e)*r.Units
}

// bid is the worth of a unit of the node's time to others: that of a mean request, in
// full, times the part of the tightest aim that the node's backlog takes and, to the power
// 1.5, that of its own aim that held work takes; times it once more while nodes in general
// have no backlog. Guards against a queue in which all come late, whatever made the node short.
// Harm: a node that pauses refuses what is worth little although it had time for it.
func (c *Controller) bid(r *request, e emulation) float64 {
	slot := float64(c.slot)
	held := max(0, float64(e.at-c.now)-e.queued) / max(float64(r.class.Aim), slot)
	full := min(1, e.queued/slot+held*math.Sqrt(held))
	return full * max(full, min(2, generalFull*e.general)) * c.unitWorth
}

// dropOld drops what nothing can refer to any more, once in a while.
func (c *Controller) dropOld() {
	if c.now < c.droppedAt+keepFor {
		return
	}
	c.droppedAt = c.now
	c.budgetRoom() // drops what its span has left behind
	old := func(at time.Duration) bool { return c.now-at > keepFor }
	maps.DeleteFunc(c.unserved, func(_ tryKey, at time.Duration) bool { return old(at) })
	maps.DeleteFunc(c.volumes, func(_ string, v *volume) bool { return old(v.asked.at) })
	maps.DeleteFunc(c.served, func(_ int, f flow) bool { return old(f.at + keepFor) })
	maps.DeleteFunc(c.items, func(_ string, q *itemQueue) bool { return len(q.turn) < 1 && old(q.restUntil) })
	gone := func(n *node) bool { return !n.listed && len(n.held)+len(n.out) == 0 }
	c.order = slices.DeleteFunc(c.order, gone)
	maps.DeleteFunc(c.nodes, func(_ string, n *node) bool { return gone(n) })
}

// admit holds the request at the node and lets the emulation decide: as long as a deadline is missed, or
// leaving one request out earns more than serving it, the one whose absence earns most is refused: the
// newcomer or a held request of lower worth.
func (c *Controller) admit(r *request, n *node) {
	r.node, r.held = n, true
	c.price(r)
	i := sort.Search(len(n.held), func(i int) bool { return n.held[i].deadline > r.deadline })
	n.held = slices.Insert(n.held, i, r)
	c.shed(n)
}

// shed refuses held requests that cost more than they bring. What the window has
// room for leaves in any case: the node is not short, whatever minRead says, and
// it can be judged again.
func (c *Controller) shed(n *node) {
	for len(n.held) > 0 {
		if n.suspect() && len(n.held) == 1 && c.now >= n.tryAt {
			return
		}
		if !n.suspect() && float64(len(n.held))+c.live(n) < n.window+1 && !c.anyLate(n) &&
			max(c.backlog(n), c.general()) <= c.noise(n) {
			return
		}
		e, before := c.emulate(n), 0.0
		all := c.value(n, e, 0, 0, false)
		var worst *request
		gain := 1e-9
		for i, r := range n.held {
			g := 1/(r.worth+1) + 1 // all but the one worth most
			if !n.suspect() {
				g = c.value(n, e, i, before, true) - all
			}
			if g > gain {
				worst, gain = r, g
			}
			e.at += time.Duration(r.Units / e.rate)
			before += c.earns(r, e)
		}
		if worst == nil {
			return
		}
		c.giveUp(worst)
	}
}

// anyLate says that a held request would come late if it left at once.
func (c *Controller) anyLate(n *node) bool {
	end := c.now + time.Duration(c.backlog(n))
	return slices.ContainsFunc(n.held, func(r *request) bool {
		return end+time.Duration(c.unitTime(n)*r.Units) > r.aimAt
	})
}

// depart sends held requests in deadline order as far as windows allow.
func (c *Controller) depart() {
	wake := time.Duration(math.MaxInt64)
	for _, n := range c.order {
		c.watch(n)
		for _, r := range slices.Clone(n.held) {
			if r.deadline <= c.now {
				c.giveUp(r)
			}
		}
		c.shed(n)
		c.fill(n)
		n.meter.saturated(c.now, c.slot, rateMemory, len(n.held) > 0)
		if len(n.held)+len(n.out) > 0 {
			wake = min(wake, c.now+c.slot/beatsPerSlot)
		}
		for _, r := range n.held {
			wake = min(wake, r.deadline)
		}
	}
	if wake < math.MaxInt64 {
		c.wakeAt(wake)
	}
}

// fill sends what the window has room for.
func (c *Controller) fill(n *node) {
	for i := 0; i < len(n.held) && c.windowRoom(n); {
		r := n.held[i]
		if !c.turn(r) || !c.limitRoom(r) {
			i++
			continue
		}
		if c.coldWait(n) > 0 {
			return
		}
		n.held = slices.Delete(n.held, i, i+1)
		r.held = false
		if !c.mayTry(r) {
			c.giveUp(r)
			continue
		}
		c.send(r, n)
	}
}

// windowRoom: the window has a place. A suspect node gets one attempt now and
// then, the longer after the more often it failed.
func (c *Controller) windowRoom(n *node) bool {
	return n.suspect() && c.now >= n.tryAt || !n.suspect() && c.live(n) < n.window
}

// send is the only place from which an attempt leaves.
func (c *Controller) send(r *request, n *node) {
	a := &attempt{req: r, node: n, sentAt: c.now, heldFor: n.meter.heldFor(c.now), open: true}
	if len(r.attempts) > 0 && c.set.ExtraSpan > 0 {
		c.extra = append(c.extra, stamp{c.now, 1})
	}
	if len(r.attempts) == 0 && r.volume.plan.LimitRate > 0 {
		r.volume.limit.level -= r.Units
	}
	if c.cold(n) {
		n.credit -= r.Units
	}
	if n.suspect() {
		n.backOff(c.now, c.slot)
	}
	r.attempts = append(r.attempts, a)
	n.out, c.after = append(n.out, a), append(c.after, a)
	s := Send{ID: r.ID, Node: n.ID}
	if r.doubt != nil && r.class.Effect == Keyed { // it may wait for its connection
		s.Latest = r.doubt.sentAt + r.class.Window
	}
	c.act(s)
}

// outcome books the end of an attempt and returns the request if it is still
// owed an answer and may be tried again.
func (c *Controller) outcome(e Outcome) *request {
	r := c.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return nil
	}
	a := r.attempts[e.Attempt]
	a.open = false
	n := a.node
	n.out = slices.DeleteFunc(n.out, func(x *attempt) bool { return x == a })
	if !e.Result.NeverRan() && e.Result != Done && r.doubt == nil {
		r.doubt = a
	}
	if e.Result.Doubtful() && r.order != nil {
		r.order.restUntil = max(r.order.restUntil, c.now+c.set.OrderRest)
	}
	c.learn(n, a, e)
	if e.Result == Done && e.VolumeUse > 0 {
		r.volume.metered(c.now, e, r.Units)
	}
	if e.Closed {
		c.end(r)
	}
	c.forget(r)
	if r.over || r.started || c.open(r) {
		return nil
	}
	return r
}

// end marks the request as over: nothing more is sent for it.
func (c *Controller) end(r *request) {
	if r.held {
		r.held = false
		r.node.held = slices.DeleteFunc(r.node.held, func(x *request) bool { return x == r })
		if len(r.attempts) == 0 && r.paid != nil { // turned away unsent
			r.paid.level += r.Units
			r.paid = nil
		}
	}
	r.over = true
	c.unserved[tryKey{r.Volume, r.Class, r.Item}] = r.firstAt
	c.forget(r)
}

// giveUp gives the final answer at once: a refusal where a retry is harmless,
// else a failure. It is the only place where the controller answers.
func (c *Controller) giveUp(r *request) {
	if r.over {
		return
	}
	n := r.node
	c.end(r)
	if !c.harmless(r) {
		c.act(Fail{r.ID})
		return
	}
	after := c.slot
	if n != nil {
		after = c.emulatedEnd(n, r.Units) - c.now - r.class.Aim
	}
	after = max(after, c.slot/beatsPerSlot)
	if c.set.MaxRetryAfter > 0 {
		after = min(after, c.set.MaxRetryAfter)
	}
	c.act(Refuse{r.ID, after})
}

// ---- the guards of the rules ----

// harmless: no effect happens twice if the client tries again.
func (c *Controller) harmless(r *request) bool {
	if r.class.Effect == Safe || r.doubt == nil && !c.open(r) {
		return true
	}
	return r.class.Effect == Keyed && r.class.Group == GroupAll
}

// mayTry: a further attempt neither repeats an effect nor passes a budget.
func (c *Controller) mayTry(r *request) bool {
	if r.over || r.started || c.open(r) || c.set.MaxAttempts > 0 && len(r.attempts) >= c.set.MaxAttempts {
		return false
	}
	if r.doubt != nil && r.class.Effect != Safe &&
		(r.class.Effect == Unsafe || c.now >= r.doubt.sentAt+r.class.Window) {
		return false
	}
	return len(r.attempts) == 0 || c.budgetRoom()
}

// inGroup: a keyed request that may have run stays where its repeat is dropped; a new object goes nowhere
// where there is no room, by what is told or by what it met.
func (c *Controller) inGroup(r *request, n *node) bool {
	if r.doubt == nil || r.class.Effect == Safe {
		_, shut := slices.BinarySearch(r.Avoid, n.Shard)
		return r.Shard >= 0 || !shut && !slices.Contains(r.full, n.Shard)
	}
	switch d := r.doubt.node; r.class.Group {
	case GroupAll:
		return true
	case GroupZone:
		return n.Zone == d.Zone
	default:
		return n.Shard == d.Shard
	}
}

// budgetRoom: one more further attempt stays within the stated budget.
func (c *Controller) budgetRoom() bool {
	if c.set.ExtraSpan == 0 {
		return true
	}
	c.taken = slices.DeleteFunc(c.taken, func(s stamp) bool { return c.now-s.at >= c.set.ExtraSpan })
	c.extra = slices.DeleteFunc(c.extra, func(s stamp) bool { return c.now-s.at > c.set.ExtraSpan })
	return float64(len(c.extra)+1) <= c.set.ExtraFree+c.set.ExtraShare*float64(len(c.taken))
}

// turn: a request whose class keeps order waits for the earlier ones of its key.
func (c *Controller) turn(r *request) bool {
	q := r.order
	return q == nil || q.turn[0] == r && (len(r.attempts) > 0 || q.restUntil <= c.now)
}

// limitRoom: the volume's limit has the units, out of this host's part of it.
func (c *Controller) limitRoom(r *request) bool {
	v := r.volume
	return v.plan.LimitRate <= 0 || len(r.attempts) > 0 || v.limit.fill(c.now) >= r.Units
}

// cold says that the node started less than the stated time ago.
func (c *Controller) cold(n *node) bool {
	return c.set.ColdFor > 0 && n.StartedAt != 0 && c.now < n.StartedAt+c.set.ColdFor
}

// warmth is the part of its capacity that a cold node has at least.
func (c *Controller) warmth(n *node) float64 {
	warm := max(0, float64(c.now-n.StartedAt)) / float64(c.set.ColdFor)
	return c.set.ColdCapacity + (1-c.set.ColdCapacity)*min(1, warm)
}

// coldRate is the units a second that this host may send to a cold node, by what it has warmed up to: of
// what the node bears in any case an equal part for each host or, if more, of the stated multiple of its
// capacity the part that this host had of its shard's work before, by half as it has of the mean shard's,
// as the lead of a volume moves. No node has served more than its capacity, so the hosts' parts come to no
// more than the whole, however many they are. Harm: of a node that was full when it went, the parts come to
// more than the whole, if all hosts use theirs.
func (c *Controller) coldRate(n *node) float64 {
	bears := c.set.ColdBears / float64(c.set.Hosts) / c.set.FallSpan.Seconds() / max(c.set.ColdCapacity, 0.01)
	own := max(0, c.served[n.Shard].sum-c.set.MeanUnits/2) // it is looked at after a request came
	had := (own + c.all.sum/float64(len(c.order))) / 2 / rateMemory.Seconds()
	return coldMargin * c.warmth(n) * max(bears, c.set.FallMultiple*had/coldLoad)
}

// coldWait is how long a cold node is to be left alone: until the credit that fills at this host's rate is
// not negative. It stores what coldMargin leaves of a span, which counts all. Each request takes its units; a
// host's part may be far less than one, so it starts below 0 by a random part of one.
func (c *Controller) coldWait(n *node) time.Duration {
	if !c.cold(n) || c.set.FallSpan == 0 {
		return 0
	}
	rate := c.coldRate(n)
	n.credit = min(n.credit+rate*(c.now-n.creditAt).Seconds(), rate*c.set.FallSpan.Seconds()*(1/coldMargin-1))
	n.creditAt = c.now
	if n.credit >= 0 {
		return 0
	}
	return time.Duration(min(-n.credit/max(rate, 1e-9), c.set.ColdFor.Seconds()) * float64(time.Second))
}

// rate is minRead as units a nanosecond: measured, else the other nodes' mean, else a windowful of mean
// requests a slot. It is no lower than a part of what the present window and round trip come to. Guards
// against a rate that spirals: few slots measured, in a pause or at a node that came back, made all be
// refused, and so nothing new was measured. Harm: at a node that slows down the mean round trip is old for
// a while, and too much is admitted.
func (c *Controller) rate(n *node) float64 {
	r, ok := n.meter.rate(float64(c.slot))
	if u := c.unitTime(n); u > 0 && (!ok || !n.suspect()) {
		r = max(r, 1/u)
	} else if !ok {
		r = windowStart * c.set.MeanUnits / float64(c.slot)
	}
	if c.cold(n) {
		r *= c.warmth(n)
	}
	return max(r, c.set.MeanUnits/float64(4*c.slot))
}

// learn takes what an outcome tells of its node. Only answers count as served:
// errors that come fast are no speed.
func (c *Controller) learn(n *node, a *attempt, e Outcome) {
	r := a.req
	switch e.Result {
	case Done:
		if n.suspect() {
			c.act(Log{"node " + n.ID + " answers again"})
		}
		n.recover(c.now)
		n.errors -= rttGain * n.errors
		if !c.cold(n) {
			c.all = c.all.add(c.now, r.Units, rateMemory)
			c.served[n.Shard] = c.served[n.Shard].add(c.now, r.Units, rateMemory)
		}
		if e.Elapsed > 0 {
			part := float64(n.meter.heldFor(c.now)-a.heldFor) / float64(c.now-a.sentAt)
			n.meter.last(c.now, c.slot, rateMemory).units += r.Units * min(1, part)
		}
		if c.stood > 0 {
			return // how long it took, this host cannot tell
		}
		n.rtt = cmp.Or(n.rtt, float64(e.Elapsed))
		n.rtt += rttGain * (float64(e.Elapsed) - n.rtt)
		if c.observe(n, a, e.Elapsed, e.Load) > aimForNode*float64(c.slot) {
			c.halve(n, a)
		} else if float64(len(n.out)+1) >= n.window/2 {
			n.window = min(windowTop, n.window+1/n.window)
		}
	case Error:
		n.errors += rttGain * (1 - n.errors)
		c.halve(n, a)
	case TimedOut, Reset, Unreachable:
		if n.failed++; n.failed == suspectAfter {
			c.act(Log{"node " + n.ID + noAnswers})
		}
		if e.Result == TimedOut && a.sentAt > n.lastSent {
			n.wait.add(c.now, float64(e.Elapsed), waitGain, waitFade, lastFade, c.general())
		}
		c.halve(n, a)
	case NoRoom: // which says nothing of how quick the node is
		r.full = append(r.full, n.Shard)
	case Busy:
		c.halve(n, a)
	}
}

// halve cuts the window, once for all that was out at the time.
func (c *Controller) halve(n *node, a *attempt) {
	if a.sentAt >= n.halvedAt {
		n.window = max(windowFloor, n.window/2)
		n.halvedAt = c.now
	}
}

// suspect: the node answers nothing, or gave no answer several times on end. New objects go elsewhere,
// requests that only it can serve are refused at once but for a trickle. Guards against silent, vanished
// and unreachable nodes alike, of which an empty queue looks like the quickest. Errors do not count: a node
// that fails some requests serves the others, and only new objects avoid it, by its error share. Harm: a
// node whose answers all take long for a moment is shunned until the next.
func (n *node) suspect() bool { return n.silent || n.failed >= suspectAfter }

// backOff puts the next attempt at a suspect node off, twice as long each time.
func (n *node) backOff(now, slot time.Duration) {
	n.pause = min(max(slot, 2*n.pause), backoffTop*slot)
	n.tryAt = now + n.pause
}

// recover takes an answer as proof of life; the window starts small again.
func (n *node) recover(now time.Duration) {
	if n.suspect() {
		n.window = windowFloor
	}
	n.lastAnswer, n.silent, n.failed, n.pause = now, false, 0, 0
}

// overdue: the attempt has been out for much longer than answers of its node take. It counts neither for
// the window nor in the emulation. Guards against single lost requests or answers that would block a small
// window until their deadline. Harm: a node that slows down at a stroke gets a few too many.
func (c *Controller) overdue(a *attempt) bool {
	return float64(c.now-a.sentAt) > silentAfter*a.node.rtt+float64(c.slot)
}

// live is the number of attempts out from which an answer may be expected.
func (c *Controller) live(n *node) (k float64) {
	for _, a := range n.out {
		if !c.overdue(a) {
			k++
		}
	}
	return k
}

// watch marks a node as silent if nothing came after an attempt now overdue.
func (c *Controller) watch(n *node) {
	for _, a := range n.out {
		if !n.silent && a.sentAt > n.lastAnswer && c.overdue(a) {
			n.silent = true
			c.act(Log{"node " + n.ID + noAnswers})
		}
	}
}

// list applies news of the node list. Held requests at a node that may take
// nothing new are returned, to be placed again.
func (c *Controller) list(e NodeList) (moved []*request) {
	if e.Kind == ListFailed {
		c.subscribed = false
		return nil
	}
	if e.Kind != ListCached {
		c.subscribed = true
	} else {
		c.askedAt = c.now
	}
	named := map[string]bool{}
	for _, entry := range e.Nodes {
		named[entry.ID] = true
		c.entry(entry)
	}
	for _, n := range c.order {
		if e.Kind != ListDelta && !named[n.ID] {
			n.listed = false
		}
		if !n.usable() {
			moved = append(moved, n.held...)
			for _, r := range n.held {
				r.held = false
			}
			n.held = nil
		}
	}
	return moved
}

// entry applies one entry. A node that restarted is a new node to this host.
func (c *Controller) entry(e Node) {
	n := c.nodes[e.ID]
	if n == nil {
		n = &node{window: windowStart}
		c.nodes[e.ID] = n
		i := sort.Search(len(c.order), func(i int) bool { return c.order[i].ID > e.ID })
		c.order = slices.Insert(c.order, i, n)
	} else if e.StartedAt > n.StartedAt {
		n.window, n.meter, n.rtt = windowStart, meter{}, 0
		n.silent, n.failed, n.pause, n.errors = false, 0, 0, 0
	}
	if e.StartedAt != n.StartedAt { // hosts told at the same time start apart
		n.credit, n.creditAt = -c.rng.Float64()*c.set.MeanUnits, c.now
	}
	n.Node, n.listed = e, e.State != Gone
}

// ask subscribes to the node list where it comes only on request.
func (c *Controller) ask() {
	if c.set.ListOnRequest {
		c.askedAt = c.now
		c.act(Subscribe{})
	}
}

// keepAsking asks again long before the stated time is up while not subscribed.
func (c *Controller) keepAsking() {
	if !c.set.ListOnRequest || c.subscribed {
		return
	}
	pause := time.Duration(askEarly * float64(c.set.AskWithin))
	if c.now >= c.askedAt+pause {
		c.ask()
	}
	c.wakeAt(c.askedAt + pause)
}
