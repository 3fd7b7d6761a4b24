package control

// This file makes the decisions. The interface (settings, events, actions) is in api.go, the state in
// state.go.

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"sort"
	"time"
)

// The constants are fractions and multiples of the settings or of observed values, so that they fit any
// deployment. "The aim" in their comments is the tightest aim of all classes, as in Controller.slot.
const (
	rateSpan            = 10 * time.Second // a node's service rate is a mean over this span
	initialWindow       = 4.0              // attempts that a new node may have in flight
	maxWindow           = 16.0             // upper bound of every window
	minWindow           = 1.0              // one attempt may always be in flight
	maxWaitFraction     = 0.05             // part of the aim; a longer wait halves the window
	ewmaGain            = 0.15             // weight of a new value in a moving average
	stateRetention      = 30 * time.Second // least time that unreferenced state is kept
	usageSpan           = time.Second      // reserves and shares are counted by the second
	nominalShareFactor  = 2.0              // multiple of a volume's nominal rate assumed as its share
	overdueRoundTrips   = 3.0              // an attempt is overdue after these round trips and the aim
	unitTimeGain        = 0.05             // step, per second, of the quantile that is the unit time
	unitTimeQuantile    = 0.3              // quantile of the times per unit of answers
	backlogGain         = 0.5              // weight of a new observation in the mean backlog
	backlogDecay        = 2 * time.Second  // time constant with which the mean backlog decays
	lastBacklogDecay    = 4 * backlogDecay // the same for the latest single observation
	unknownNodeWait     = 1.0              // part of the aim assumed as the wait at an unknown node
	overallLoadFactor   = 4.0              // a third of the aim as overall backlog is a shortage
	noiseRequests       = 1.0              // mean requests' work that does not count as a backlog
	suspectFailures     = 3                // consecutive failures that make a node suspect
	maxBackoffSlots     = 8                // longest pause between attempts at a suspect node
	coldBudgetFraction  = 0.8              // part of the cold budget in use; the rest absorbs chance
	maxMeanLoad         = 0.6              // highest mean load of a node, as part of its capacity
	resubscribeFraction = 0.4              // part of MaxListRequestInterval after which to ask again
	checksPerSlot       = 4                // checks of the held requests in a slot
	staleHalvings       = 4.0              // halvings of the trust per trusted age beyond the first
	maxShareDoublings   = 3.0              // doublings above the share at which its trust is 0

	// noAnswersText ends the log line about a node that becomes suspect.
	noAnswersText = " gives no answers: suspect, one attempt now and then"
)

// New returns a controller without any state, or an error if the settings are invalid.
func New(settings Settings, seed int64) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings: settings, rng: rand.New(rand.NewSource(seed)),
		classes: map[string]*class{}, plans: map[string]*Plan{}, requests: map[string]*request{},
		nodes: map[string]*node{}, volumes: map[string]*volume{}, items: map[string]*itemQueue{},
		firstTries: firstTries{}, servedByShard: map[int]decayingSum{},
	}
	c.settings.MaxNames = cmp.Or(settings.MaxNames, defaultMaxNames)
	c.settings.Hosts = max(1, settings.Hosts)
	c.settings.MeanUnits = cmp.Or(settings.MeanUnits, 1)
	c.slot = 500 * time.Millisecond
	for _, cl := range settings.Classes {
		c.classes[cl.Name] = &class{Class: cl}
		if cl.Aim > 0 {
			c.slot = max(10*time.Millisecond, min(c.slot, cl.Aim))
		}
	}
	for i := range settings.Plans {
		c.plans[settings.Plans[i].Name] = &settings.Plans[i]
	}
	return c, nil
}

// Step processes the events of one moment, in order of arrival, and returns the resulting actions. It
// applies all outcomes and node list changes before it admits or sends anything, so no attempt leaves for
// a request that one of these events ended.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.stallTime = now - c.now
	if !c.timerSet || now < c.timerAt+c.slot/checksPerSlot {
		c.stallTime = 0 // only a timer that fires late tells a stalled host from an idle one
	}
	c.now, c.actions = now, nil
	if !c.started {
		c.started = true
		c.subscribe()
	}
	var arrivals, retries []*request
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			arrivals = append(arrivals, c.accept(e))
		case Outcome:
			retries = append(retries, c.handleOutcome(e))
		case ClientGone:
			if r := c.requests[e.ID]; r != nil {
				c.finish(r)
				for i, a := range r.attempts { // abandoned work would delay the requests of waiting clients
					if a.open && c.settings.Cancelling {
						c.emit(Cancel{r.ID, i})
					}
				}
			}
		case AnswerStarted:
			if r := c.requests[e.ID]; r != nil {
				r.answerStarted = true
			}
		case TimerFired:
			c.timerSet = c.timerSet && e.Token != c.timerToken
		case NodeList:
			retries = append(retries, c.applyNodeList(e)...)
		case Shares:
			c.shares, c.sharesAt = e, c.now-e.Age
		}
	}
	for _, r := range append(retries, arrivals...) {
		if r != nil && !r.finished {
			c.place(r)
		}
	}
	c.dispatch()
	c.resubscribe()
	c.removeStale()
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// timeSpent returns how much of the client's waiting time had passed before the request arrived. A request
// that expires sooner than others of its class has lost that time if the client flags it as a retry, if as
// much time has passed since this host accepted an unserved request for the same item, or if this host has
// just stalled for as long. Without these conditions, the aim of a client that sets a short time-out from
// the start would be cut as if part of it had passed. Drawback: after a restart of this host, a retry
// counts as a first try.
func (c *Controller) timeSpent(e Request, cl *class) time.Duration {
	missing := cl.maxExpires - e.Expires
	first, known := c.firstTries.get(retryKey{e.Volume, e.Class, e.Item})
	gap := missing - (c.now - first)
	if e.Retry || known && max(gap, -gap) <= c.slot/checksPerSlot || missing <= c.stallTime {
		return missing
	}
	return 0
}

// accept registers a new request. It returns nil for a duplicate id, which it ignores, for an unknown class,
// for which it emits a Fail, and if no further volume can be remembered, for which it emits a Refuse.
func (c *Controller) accept(e Request) *request {
	cl := c.classes[e.Class]
	if cl == nil {
		c.emit(Fail{e.ID})
	}
	if cl == nil || c.requests[e.ID] != nil {
		return nil
	}
	if e.Units <= 0 {
		e.Units = c.settings.MeanUnits
	}
	v := c.volumeFor(e)
	if v == nil { // nothing has run, so a retry is harmless
		c.emit(Refuse{e.ID, c.slot})
		return nil
	}
	cl.maxExpires = max(cl.maxExpires, e.Expires)
	spent := c.timeSpent(e, cl)
	r := &request{Request: e, class: cl, firstTryAt: c.now - spent}
	r.deadline, r.aimAt = c.now+e.Expires, c.now+cl.Aim-spent
	if cl.Deadline > 0 {
		r.deadline = min(r.deadline, c.now+cl.Deadline)
	}
	r.aimAt = min(r.aimAt, r.deadline)
	c.requests[e.ID] = r
	if c.settings.RetryBudgetSpan > 0 {
		c.addRecentRequest()
	}
	r.volume = v
	v.open++
	if cl.InOrder && e.Item != "" {
		q := c.items[e.Item]
		if q == nil {
			q = &itemQueue{}
			c.items[e.Item] = q
		}
		q.waiting = append(q.waiting, r)
		r.queue = q
	}
	return r
}

// volumeFor returns the account of the request's volume, creating it if needed; nil if there is no room for
// another account. This host gets one in
// sqrt(hosts) of the reserve and the share, the part that the busiest host of a volume tends to serve; of
// the limit, which is strict, it gets one in hosts. The limit's bucket starts at the slack only: a host
// that was killed may have used up its part just before and does not know it.
func (c *Controller) volumeFor(e Request) *volume {
	v := c.volumes[e.Volume]
	if v != nil {
		return v
	}
	if !c.makeRoomForVolume() {
		return nil
	}
	v = &volume{plan: c.plans[e.Plan], hosts: float64(max(1, e.Hosts)), meteredRate: -1}
	if v.plan == nil {
		v.plan = &Plan{Name: e.Plan, Weight: 1}
	}
	p, hosts := v.plan, v.hosts
	v.limit = bucket{p.LimitSlack / hosts, p.LimitRate / hosts, p.LimitBurst / hosts, c.now}
	v.reserve = c.newShareBucket(p.Reserve / math.Sqrt(hosts))
	nominal, weights := 0.0, 0.0
	for _, q := range c.settings.Plans {
		nominal, weights = nominal+q.Nominal, weights+q.Weight
	}
	guessedShare := max(p.Nominal, nominalShareFactor*p.Weight*nominal/max(weights, 1e-9))
	v.share = c.newShareBucket(max(0, guessedShare-p.Reserve) / math.Sqrt(hosts))
	if e.Share > 0 { // the request states the share, so none is assumed
		v.share = c.newShareBucket(e.Share)
	}
	c.volumes[e.Volume] = v
	return v
}

// newShareBucket returns a full bucket that refills at the rate. It holds the units of one usageSpan and,
// beyond them, one request of the largest size.
func (c *Controller) newShareBucket(rate float64) bucket {
	full := rate*usageSpan.Seconds() + min(c.settings.MaxUnits, 1e6*rate)
	return bucket{full, rate, full, c.now}
}

// setWorth sets the worth of the request if it is answered within its aim: class worth x plan factor x
// units. Units out of the volume's reserve count in full, others at the lower worth of the share or of the
// units beyond it. The assumed share is somewhat more than the volume's nominal rate, since no host can see
// what other volumes leave unused at a node. This keeps a surging volume from crowding out the volumes that
// stay within their share.
func (c *Controller) setWorth(r *request) {
	v := r.volume
	r.worth = r.class.Worth * r.Units / c.settings.MeanUnits
	if v.plan.Price > 0 {
		r.worth *= v.plan.Price
	}
	c.meanUnitWorth += ewmaGain * (r.worth/r.Units - c.meanUnitWorth)
	v.demand = v.demand.add(c.now, r.Units, usageSpan)
	switch {
	case c.settings.ShareWorth == 0 && c.settings.SpareWorth == 0: // all units are worth the same
	case v.reserve.take(c.now, r.Units):
		r.chargedTo = &v.reserve
	default:
		factor := c.nominalFactor(r)
		if byShares, trust := c.sharesFactor(r); byShares > factor || !c.shares.Volumes[r.Volume].Met {
			factor += trust * (byShares - factor)
		}
		r.worth *= factor
	}
}

// nominalFactor returns the part of its worth that a request earns by its volume's nominal rate.
func (c *Controller) nominalFactor(r *request) float64 {
	v := r.volume
	if v.share.take(c.now, r.Units) {
		r.chargedTo = &v.share
		return c.settings.ShareWorth
	}
	dueUnits := (v.share.rate + v.reserve.rate) * usageSpan.Seconds()
	insideFraction := min(1, dueUnits/v.demand.sum) // part of the demand that fits into reserve and share
	return c.settings.SpareWorth + insideFraction*(c.settings.ShareWorth-c.settings.SpareWorth)
}

// sharesFactor returns the part of its worth that a request earns by the received shares, and how far they
// are trusted. All requests of a volume earn the same: the fraction of the volume's demand that this host's
// part of the share covers. (If each request within the share earned the full rate, these requests alone
// would fill the nodes.) Trust falls as the shares grow older than the trusted age, and as the volume's use
// or demand departs from its share; this guards against outdated and wrong solutions. Drawback: volumes
// with little or far too much demand fall back to nominalFactor.
func (c *Controller) sharesFactor(r *request) (factor, trust float64) {
	s, v := c.shares.Volumes[r.Volume], r.volume
	if s.Rate <= 0 || c.shares.Trust <= 0 {
		return 0, 0
	}
	// Without recent answers, ownFraction tends to that of the busiest host: one in sqrt(hosts).
	ownFraction := v.ownServed.add(c.now, c.settings.MeanUnits, rateSpan).sum
	ownFraction /= ownFraction +
		v.othersServed.add(c.now, c.settings.MeanUnits*(math.Sqrt(v.hosts)-1), rateSpan).sum
	demandRate := v.demand.sum / usageSpan.Seconds()
	// A forecast gives no share of units that nobody asks for, so a share far above the demand is wrong too.
	deviation := math.Log2(max(v.meteredRate, demandRate/ownFraction) / s.Rate)
	excessAge := max(0, float64(c.now-c.sharesAt)/float64(c.shares.Trust)-1)
	trust = min(1, max(0, maxShareDoublings-max(deviation, -2*deviation))) *
		math.Exp2(-staleHalvings*excessAge)
	hostShare := ownFraction * max(0, s.Rate-v.plan.Reserve) // the reserve has a bucket of its own
	insideFraction := min(1, hostShare/demandRate)
	// Up to this bound, random arrivals within the share explain the demand of one second.
	if demandRate <= hostShare+r.Units+2*math.Sqrt(hostShare*r.Units) {
		insideFraction = 1
	}
	return c.settings.SpareWorth + insideFraction*(c.settings.ShareWorth-c.settings.SpareWorth), trust
}

// place chooses a node for the request and admits it there, or rejects it if there is none.
func (c *Controller) place(r *request) {
	n := c.chooseNode(r)
	if n == nil || r.deadline <= c.now || !c.canAttempt(r) {
		c.reject(r)
		return
	}
	c.admit(r, n)
}

// chooseNode returns the node for the request: the one that holds its shard or, for a new object, the one
// with the earliest estimated end. A request that may have run stays in its group. It returns nil if no
// node qualifies.
func (c *Controller) chooseNode(r *request) *node {
	for _, tier := range r.Tiers {
		if n := c.chooseInTier(r, tier); n != nil {
			return n
		}
	}
	var best *node
	var bestEnd time.Duration
	first := 0
	if r.Shard < 0 && len(c.nodesByID) > 0 {
		first = c.rng.Intn(len(c.nodesByID)) // so that hosts without observations choose different nodes
	}
	for i := range c.nodesByID {
		n := c.nodesByID[(first+i)%len(c.nodesByID)]
		if !n.usable() || r.Shard >= 0 && n.Shard != r.Shard || !c.nodeAllowed(r, n) {
			continue
		}
		end := c.estimatedEnd(r, n)
		if r.Shard < 0 { // observations lose weight with age
			end += time.Duration(unknownNodeWait * float64(c.slot) *
				(1 - n.wait.remaining(c.now, backlogDecay)))
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

// estimatedEnd returns when the node would answer the request, by the simulation and its round trips.
func (c *Controller) estimatedEnd(r *request, n *node) time.Duration {
	took := max(n.rtt, c.unitTime(n)*r.Units) + n.errorRate*float64(r.class.Deadline)
	return c.simulatedEnd(n, r.Units) + time.Duration(took)
}

// chooseInTier returns the node among the tier's shards that would store a new object earliest; nil if none
// would within the aim. Estimates that differ by less than the wait that halves a window count as equal, and
// the given order decides. This keeps hosts from sending everything to the nodes that they already know.
// Drawback: a node that is slower by less than this gets as much as the others.
func (c *Controller) chooseInTier(r *request, tier []int) (best *node) {
	tolerance, limit := time.Duration(maxWaitFraction*float64(c.slot)), r.aimAt
	for _, shard := range tier {
		for _, n := range c.nodesByID {
			if n.Shard != shard || !n.usable() || n.suspect() || !c.nodeAllowed(r, n) {
				continue
			}
			if end := c.tierEnd(r, n); end < limit {
				best, limit = n, end-tolerance
			}
		}
	}
	return best
}

// tierEnd is the estimate that chooseInTier compares. Unlike estimatedEnd it uses the unit time and the
// backlog, not the mean round trip, and for a node with nothing held or in flight it decays to the usual
// value. Otherwise a node whose first answers were slow (a dial, a pause) would be avoided for good, since
// only its own answers correct its mean round trip. Drawback: slow nodes get an attempt now and then.
func (c *Controller) tierEnd(r *request, n *node) time.Duration {
	end := c.simulatedEnd(n, r.Units) + time.Duration(c.unitTime(n)*r.Units)
	if usual := c.freeAt(n) +
		time.Duration(2*c.overallUnitTime.value*r.Units); len(n.inFlight)+len(n.held) == 0 {
		end = usual + time.Duration(float64(end-usual)*n.wait.remaining(c.now, backlogDecay))
	}
	return end + time.Duration(n.errorRate*float64(r.class.Deadline))
}

// freeAt returns when the node will have finished the attempts in flight at its service rate, or its
// backlog if that takes longer; for a cold node, not before it may be sent anything.
func (c *Controller) freeAt(n *node) time.Duration {
	units := 0.0
	for _, a := range n.inFlight {
		if !c.overdue(a) {
			units += a.req.Units
		}
	}
	return c.now + max(time.Duration(max(units/c.serviceRate(n), c.backlog(n))), c.coldWait(n))
}

// backlog returns the wait, in ns, that a new attempt meets at the node: the observed wait, which decays
// with age, or the wait so far of an attempt that no later one has overtaken. It detects queues of other
// hosts' work, to which each host adds little and which the simulation of this host's own work does not
// contain, and anything else that delays the start of work at a node. Drawback: a costly request looks like
// a backlog for a moment.
func (c *Controller) backlog(n *node) float64 {
	w := n.wait.value(c.now, backlogDecay) + c.overallBacklog()*(1-n.wait.remaining(c.now, backlogDecay))
	for _, a := range n.inFlight {
		if a.sentAt > n.lastAnsweredSent && !c.overdue(a) {
			w = max(w, c.excessWait(a))
		}
	}
	return w
}

// excessWait returns how long, in ns, an attempt in flight has waited beyond the time of its own work.
func (c *Controller) excessWait(a *attempt) float64 {
	return float64(c.now-a.sentAt) - c.unitTime(a.node)*a.req.Units
}

// overallBacklog returns the mean backlog over all nodes, in ns, or the wait so far of the oldest attempt
// sent later than every answered one, at most a slot of it.
func (c *Controller) overallBacklog() float64 {
	w := c.overallWait.value(c.now, backlogDecay)
	c.laterAttempts = slices.DeleteFunc(c.laterAttempts, func(a *attempt) bool {
		return !a.open || a.sentAt <= c.lastAnsweredSent || c.overdue(a)
	})
	if len(c.laterAttempts) > 0 {
		w = max(w, min(float64(c.slot), c.excessWait(c.laterAttempts[0])))
	}
	return w
}

// backlogNoise returns the wait, in ns, up to which a backlog may come from a single costly request.
func (c *Controller) backlogNoise(n *node) float64 {
	return noiseRequests * c.settings.MeanUnits * c.unitTime(n)
}

// unitTime returns the time per unit, in ns, that the node takes without a queue: its own, or before its
// first answer that of all nodes.
func (c *Controller) unitTime(n *node) float64 {
	if n.unitTime.count > 0 {
		return n.unitTime.value
	}
	return c.overallUnitTime.value
}

// recordAnswerTime updates unit times and backlogs from the round trip of an answer. It returns the wait
// that counts for the node, in ns.
func (c *Controller) recordAnswerTime(n *node, a *attempt, took time.Duration, load []float64) float64 {
	unit := float64(took) / a.req.Units
	c.overallUnitTime.add(c.now, unit, unitTimeQuantile, unitTimeGain)
	if n.unitTime.count == 0 {
		n.unitTime = c.overallUnitTime
	}
	wait := max(0, float64(took)-n.unitTime.value*a.req.Units)
	if w, ok := c.reportedWait(load); ok {
		wait = min(wait, w)
	}
	n.unitTime.add(c.now, unit, unitTimeQuantile, unitTimeGain)
	c.overallWait.add(c.now, min(wait, float64(c.slot)), backlogGain/2, backlogDecay, lastBacklogDecay, 0)
	n.lastAnsweredSent, c.lastAnsweredSent =
		max(n.lastAnsweredSent, a.sentAt), max(c.lastAnsweredSent, a.sentAt)
	return n.wait.add(c.now, wait, backlogGain, backlogDecay, lastBacklogDecay, c.overallBacklog())
}

// reportedWait returns the longest wait, in ns, that is consistent with the load report of an answer: the
// queue length plus one, times the latency.
func (c *Controller) reportedWait(load []float64) (wait float64, ok bool) {
	q, l := slices.Index(c.settings.LoadFields, "queue"), slices.Index(c.settings.LoadFields, "latency_ms")
	if q < 0 || l < 0 || len(load) <= max(q, l) || !(load[q] >= 0) || !(load[l] > 0) {
		return 0, false
	}
	return (load[q] + 1) * load[l] * float64(time.Millisecond), true
}

// simulatedEnd returns when additional units would be done behind everything held and in flight.
func (c *Controller) simulatedEnd(n *node, units float64) time.Duration {
	for _, r := range n.held {
		units += r.Units
	}
	return c.freeAt(n) + time.Duration(units/c.serviceRate(n))
}

// payoff returns the worth that a request earns if it ends at the given time. Past its deadline it is
// negative: the node did the work for nothing.
func (r *request) payoff(end time.Duration) float64 {
	switch {
	case end <= r.aimAt:
		return r.worth
	case end <= r.deadline:
		return r.worth * r.class.LateWorth
	}
	return -r.worth - 1e-9
}

// simulation is the state of a simulated node: it starts from the same values for all the requests compared
// in one round, and at advances with the work.
type simulation struct {
	at                     time.Duration
	rate, backlog, overall float64
}

// newSimulation returns the initial state for a simulation of the node.
func (c *Controller) newSimulation(n *node) simulation {
	overall := max(0, c.overallBacklog()-
		noiseRequests/2*c.settings.MeanUnits*c.overallUnitTime.value) / float64(c.slot)
	return simulation{c.freeAt(n), c.serviceRate(n), c.backlog(n), overall}
}

// simulatedWorth simulates the held requests from the i-th on, earliest deadline first, and returns the sum
// plus what they earn. If without is set, it leaves out the i-th.
func (c *Controller) simulatedWorth(n *node, sim simulation, i int, sum float64, without bool) float64 {
	for k, r := range n.held[i:] {
		if k == 0 && without {
			continue
		}
		sim.at += time.Duration(r.Units / sim.rate)
		sum += c.netValue(r, sim)
	}
	return sum
}

// netValue returns the payoff of a request that ends at the current time of the simulation, less the
// opportunity cost of its units.
func (c *Controller) netValue(r *request, sim simulation) float64 {
	return r.payoff(sim.at) - c.opportunityCost(r, sim)*r.Units
}

// opportunityCost returns what a unit of the node's time is worth to other requests: the full mean worth of
// a unit times a load. The load is the part of the tightest aim that the node's backlog takes plus, to the
// power 1.5, the part of the request's own aim that held work takes. It is squared while there is no overall
// backlog; an overall backlog raises the second factor, up to 2. This prevents a queue in which every request
// is late, whatever the cause of the shortage.
// Drawback: a node that pauses refuses requests of low worth although it would have time for them.
func (c *Controller) opportunityCost(r *request, sim simulation) float64 {
	slot := float64(c.slot)
	heldLoad := max(0, float64(sim.at-c.now)-sim.backlog) / max(float64(r.class.Aim), slot)
	load := min(1, sim.backlog/slot+heldLoad*math.Sqrt(heldLoad))
	return load * max(load, min(2, overallLoadFactor*sim.overall)) * c.meanUnitWorth
}

// admit holds the request at the node and sheds load by the simulation: as long as a deadline is missed, or
// leaving out some request earns more than serving it, the request whose absence earns most is refused. It
// may be the new request or a held one of lower worth.
func (c *Controller) admit(r *request, n *node) {
	r.node, r.held = n, true
	c.setWorth(r)
	i := sort.Search(len(n.held), func(i int) bool { return n.held[i].deadline > r.deadline })
	n.held = slices.Insert(n.held, i, r)
	c.shed(n)
}

// shed refuses held requests that cost more than they earn. It refuses none while the window has room for
// all of them, none would be late and there is no backlog: the node is then not overloaded, whatever the
// measured service rate is, and sending them measures it anew.
func (c *Controller) shed(n *node) {
	for len(n.held) > 0 {
		if n.suspect() && len(n.held) == 1 && c.now >= n.nextTryAt {
			return
		}
		if !n.suspect() && float64(len(n.held))+c.liveAttempts(n) < n.window+1 && !c.anyHeldLate(n) &&
			max(c.backlog(n), c.overallBacklog()) <= c.backlogNoise(n) {
			return
		}
		sim, earned := c.newSimulation(n), 0.0
		total := c.simulatedWorth(n, sim, 0, 0, false)
		var worst *request
		gain := 1e-9
		for i, r := range n.held {
			g := 1/(r.worth+1) + 1 // at a suspect node, keep only the request of the highest worth
			if !n.suspect() {
				g = c.simulatedWorth(n, sim, i, earned, true) - total
			}
			if g > gain {
				worst, gain = r, g
			}
			sim.at += time.Duration(r.Units / sim.rate)
			earned += c.netValue(r, sim)
		}
		if worst == nil {
			return
		}
		c.reject(worst)
	}
}

// anyHeldLate reports whether some held request would miss its aim even if it were sent now.
func (c *Controller) anyHeldLate(n *node) bool {
	end := c.now + time.Duration(c.backlog(n))
	return slices.ContainsFunc(n.held, func(r *request) bool {
		return end+time.Duration(c.unitTime(n)*r.Units) > r.aimAt
	})
}

// dispatch sends held requests, by deadline, as far as the windows allow, and sets the next timer.
func (c *Controller) dispatch() {
	wakeAt := time.Duration(math.MaxInt64)
	for _, n := range c.nodesByID {
		c.checkSilence(n)
		for _, r := range slices.Clone(n.held) {
			if r.deadline <= c.now {
				c.reject(r)
			}
		}
		c.shed(n)
		c.sendHeld(n)
		n.meter.setHolding(c.now, c.slot, rateSpan, len(n.held) > 0)
		if len(n.held)+len(n.inFlight) > 0 {
			wakeAt = min(wakeAt, c.now+c.slot/checksPerSlot)
		}
		for _, r := range n.held {
			wakeAt = min(wakeAt, r.deadline)
		}
	}
	if wakeAt < math.MaxInt64 {
		c.setTimerAt(wakeAt)
	}
}

// sendHeld sends the node's held requests as far as its window has room.
func (c *Controller) sendHeld(n *node) {
	for i := 0; i < len(n.held) && c.hasWindowRoom(n); {
		r := n.held[i]
		if !c.isNextInOrder(r) || !c.withinLimit(r) {
			i++
			continue
		}
		if c.coldWait(n) > 0 {
			return
		}
		n.held = slices.Delete(n.held, i, i+1)
		r.held = false
		if !c.canAttempt(r) {
			c.reject(r)
			continue
		}
		c.send(r, n)
	}
}

// hasWindowRoom reports whether the node may get another attempt now. A suspect node gets single attempts,
// at intervals that double with each one up to a maximum.
func (c *Controller) hasWindowRoom(n *node) bool {
	return n.suspect() && c.now >= n.nextTryAt || !n.suspect() && c.liveAttempts(n) < n.window
}

// send starts an attempt. No other function does.
func (c *Controller) send(r *request, n *node) {
	a := &attempt{req: r, node: n, sentAt: c.now, heldTimeAtSend: n.meter.heldTime(c.now), open: true}
	if len(r.attempts) > 0 && c.settings.RetryBudgetSpan > 0 {
		c.recentRetries = append(c.recentRetries, timedAmount{c.now, 1})
	}
	if len(r.attempts) == 0 && r.volume.plan.LimitRate > 0 {
		r.volume.limit.level -= r.Units
	}
	if c.cold(n) {
		n.credit -= r.Units
	}
	if n.suspect() {
		n.extendBackoff(c.now, c.slot)
	}
	r.attempts = append(r.attempts, a)
	n.inFlight, c.laterAttempts = append(n.inFlight, a), append(c.laterAttempts, a)
	s := Send{ID: r.ID, Node: n.ID}
	if r.uncertain != nil && r.class.Effect == Keyed { // the attempt may wait for a connection
		s.Latest = r.uncertain.sentAt + r.class.Window
	}
	c.emit(s)
}

// handleOutcome records the end of an attempt. It returns the request if it still needs an answer and has
// no other attempt in flight.
func (c *Controller) handleOutcome(e Outcome) *request {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return nil
	}
	a := r.attempts[e.Attempt]
	a.open = false
	n := a.node
	n.inFlight = slices.DeleteFunc(n.inFlight, func(x *attempt) bool { return x == a })
	if !e.Result.NeverRan() && e.Result != Done && r.uncertain == nil {
		r.uncertain = a
	}
	if e.Result.MayStillRun() && r.queue != nil {
		r.queue.pausedUntil = max(r.queue.pausedUntil, c.now+c.settings.OrderPause)
	}
	c.updateNode(n, a, e)
	if e.Result == Done && e.VolumeUse > 0 {
		r.volume.recordUse(c.now, e, r.Units)
	}
	if e.Closed {
		c.finish(r)
	}
	c.removeFinished(r)
	if r.finished || r.answerStarted || c.hasOpenAttempt(r) {
		return nil
	}
	return r
}

// finish marks the request as finished, so that nothing more is sent for it.
func (c *Controller) finish(r *request) {
	if r.held {
		r.held = false
		r.node.held = slices.DeleteFunc(r.node.held, func(x *request) bool { return x == r })
		if len(r.attempts) == 0 && r.chargedTo != nil { // refused before it was sent
			r.chargedTo.level += r.Units
			r.chargedTo = nil
		}
	}
	r.finished = true
	c.firstTries.add(retryKey{r.Volume, r.Class, r.Item}, r.firstTryAt, c.settings.MaxNames)
	c.removeFinished(r)
}

// reject gives the final answer at once: a refusal if a retry is harmless, else a failure. No other function
// answers an accepted request.
func (c *Controller) reject(r *request) {
	if r.finished {
		return
	}
	n := r.node
	c.finish(r)
	if !c.retryHarmless(r) {
		c.emit(Fail{r.ID})
		return
	}
	retryAfter := c.slot
	if n != nil {
		retryAfter = c.simulatedEnd(n, r.Units) - c.now - r.class.Aim
	}
	retryAfter = max(retryAfter, c.slot/checksPerSlot)
	if c.settings.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter, c.settings.MaxRetryAfter)
	}
	c.emit(Refuse{r.ID, retryAfter})
}

// The functions below check the rules that no attempt may break.

// retryHarmless reports whether no effect can happen twice if the client tries again.
func (c *Controller) retryHarmless(r *request) bool {
	if r.class.Effect == Safe || r.uncertain == nil && !c.hasOpenAttempt(r) {
		return true
	}
	return r.class.Effect == Keyed && r.class.Group == GroupAll
}

// canAttempt reports whether an attempt may be made now without repeating an effect or exceeding a budget.
func (c *Controller) canAttempt(r *request) bool {
	if r.finished || r.answerStarted || c.hasOpenAttempt(r) ||
		c.settings.MaxAttempts > 0 && len(r.attempts) >= c.settings.MaxAttempts {
		return false
	}
	if r.uncertain != nil && r.class.Effect != Safe &&
		(r.class.Effect == Unsafe || c.now >= r.uncertain.sentAt+r.class.Window) {
		return false
	}
	return len(r.attempts) == 0 || c.withinRetryBudget()
}

// nodeAllowed reports whether the request may go to the node. A keyed request that may have run stays in the
// group that drops its repeat. A new object avoids shards that are listed as taking nothing new or that had
// no room for it before.
func (c *Controller) nodeAllowed(r *request, n *node) bool {
	if r.uncertain == nil || r.class.Effect == Safe {
		_, avoided := slices.BinarySearch(r.Avoid, n.Shard)
		return r.Shard >= 0 || !avoided && !slices.Contains(r.fullShards, n.Shard)
	}
	switch d := r.uncertain.node; r.class.Group {
	case GroupAll:
		return true
	case GroupZone:
		return n.Zone == d.Zone
	default:
		return n.Shard == d.Shard
	}
}

// withinRetryBudget reports whether one more retry stays within the budget of the settings.
func (c *Controller) withinRetryBudget() bool {
	if c.settings.RetryBudgetSpan == 0 {
		return true
	}
	c.recentRequests = slices.DeleteFunc(c.recentRequests, func(s timedAmount) bool {
		return c.now-s.at >= c.settings.RetryBudgetSpan
	})
	c.recentRetries = slices.DeleteFunc(c.recentRetries, func(s timedAmount) bool {
		return c.now-s.at > c.settings.RetryBudgetSpan
	})
	return float64(len(c.recentRetries)+1) <=
		c.settings.RetryBudgetBase+c.settings.RetryBudgetRatio*float64(len(c.recentRequests))
}

// isNextInOrder reports whether the request is the next one of its item, if its class keeps order. Its first
// attempt also waits out the pause after an attempt that may still be running.
func (c *Controller) isNextInOrder(r *request) bool {
	q := r.queue
	return q == nil || q.waiting[0] == r && (len(r.attempts) > 0 || q.pausedUntil <= c.now)
}

// withinLimit reports whether this host's part of the volume's limit covers the request.
func (c *Controller) withinLimit(r *request) bool {
	v := r.volume
	return v.plan.LimitRate <= 0 || len(r.attempts) > 0 || v.limit.refill(c.now) >= r.Units
}

// cold reports whether the node started less than Settings.WarmupDuration ago.
func (c *Controller) cold(n *node) bool {
	return c.settings.WarmupDuration > 0 && n.StartedAt != 0 && c.now < n.StartedAt+c.settings.WarmupDuration
}

// warmFraction returns the part of its full capacity that a cold node has at least.
func (c *Controller) warmFraction(n *node) float64 {
	warm := max(0, float64(c.now-n.StartedAt)) / float64(c.settings.WarmupDuration)
	return c.settings.ColdCapacityFraction + (1-c.settings.ColdCapacityFraction)*min(1, warm)
}

// coldRate returns the units a second that this host may send to a cold node, scaled by its warm fraction.
// It is the larger of two parts. One is an equal part for each host of the units that the node withstands in
// any case. The other is this host's part of the stated multiple of the node's capacity, by what it served of
// the shard before: half of that counts its own rate at the shard, half its mean rate over all shards,
// because the busiest host of a volume changes. No node has served more than its capacity, so the parts of
// all hosts add up to no more than the whole, whatever their number. Drawback: if the node was fully loaded
// before, the parts add up to more than the whole when all hosts use theirs.
func (c *Controller) coldRate(n *node) float64 {
	base := c.settings.ColdMinUnits / float64(c.settings.Hosts) / c.settings.OverloadSpan.Seconds() /
		max(c.settings.ColdCapacityFraction, 0.01)
	own := max(0, c.servedByShard[n.Shard].sum-c.settings.MeanUnits/2) // read just after a request arrived
	previous := (own + c.servedTotal.sum/float64(len(c.nodesByID))) / 2 / rateSpan.Seconds()
	return coldBudgetFraction * c.warmFraction(n) *
		max(base, c.settings.OverloadMultiple*previous/maxMeanLoad)
}

// coldWait returns how long nothing may be sent to a cold node: until its credit, which fills at this host's
// coldRate, is no longer negative. The credit stores at most the part of an OverloadSpan that
// coldBudgetFraction leaves, so that rate and credit together stay within the budget of any span. Each
// request takes its units. A host's part may be far less than one request, so the credit starts below 0 by
// a random part of one.
func (c *Controller) coldWait(n *node) time.Duration {
	if !c.cold(n) || c.settings.OverloadSpan == 0 {
		return 0
	}
	rate := c.coldRate(n)
	n.credit = min(n.credit+rate*(c.now-n.creditAt).Seconds(),
		rate*c.settings.OverloadSpan.Seconds()*(1/coldBudgetFraction-1))
	n.creditAt = c.now
	if n.credit >= 0 {
		return 0
	}
	return time.Duration(min(-n.credit/max(rate, 1e-9), c.settings.WarmupDuration.Seconds()) *
		float64(time.Second))
}

// serviceRate returns the node's service rate in units a nanosecond: the measured rate, but no less than
// one unit per unit time unless the node is suspect; without either, an initial window of mean requests a
// slot. The lower bounds prevent a downward spiral: after a pause, or at a node that came back, a low rate
// measured over few slots made this host refuse everything, so nothing new was measured. Drawback: at a node
// that slows down, the unit time lags for a while, and too much is admitted.
func (c *Controller) serviceRate(n *node) float64 {
	r, ok := n.meter.rate(float64(c.slot))
	if u := c.unitTime(n); u > 0 && (!ok || !n.suspect()) {
		r = max(r, 1/u)
	} else if !ok {
		r = initialWindow * c.settings.MeanUnits / float64(c.slot)
	}
	if c.cold(n) {
		r *= c.warmFraction(n)
	}
	return max(r, c.settings.MeanUnits/float64(4*c.slot))
}

// updateNode updates the state of the node from an outcome. Only answers count as served units: a node that
// fails quickly is not fast.
func (c *Controller) updateNode(n *node, a *attempt, e Outcome) {
	r := a.req
	switch e.Result {
	case Done:
		if n.suspect() {
			c.emit(Log{"node " + n.ID + " answers again"})
		}
		n.markAnswered(c.now)
		n.errorRate -= ewmaGain * n.errorRate
		if !c.cold(n) {
			c.servedTotal = c.servedTotal.add(c.now, r.Units, rateSpan)
			c.servedByShard[n.Shard] = c.servedByShard[n.Shard].add(c.now, r.Units, rateSpan)
		}
		if e.Elapsed > 0 {
			heldPart := float64(n.meter.heldTime(c.now)-a.heldTimeAtSend) / float64(c.now-a.sentAt)
			n.meter.currentSlot(c.now, c.slot, rateSpan).units += r.Units * min(1, heldPart)
		}
		if c.stallTime > 0 {
			return // the elapsed time includes the stall of this host
		}
		n.rtt = cmp.Or(n.rtt, float64(e.Elapsed))
		n.rtt += ewmaGain * (float64(e.Elapsed) - n.rtt)
		if c.recordAnswerTime(n, a, e.Elapsed, e.Load) > maxWaitFraction*float64(c.slot) {
			c.halveWindow(n, a)
		} else if float64(len(n.inFlight)+1) >= n.window/2 {
			n.window = min(maxWindow, n.window+1/n.window)
		}
	case Error:
		n.errorRate += ewmaGain * (1 - n.errorRate)
		c.halveWindow(n, a)
	case TimedOut, Reset, Unreachable:
		if n.failures++; n.failures == suspectFailures {
			c.emit(Log{"node " + n.ID + noAnswersText})
		}
		if e.Result == TimedOut && a.sentAt > n.lastAnsweredSent {
			n.wait.add(c.now, float64(e.Elapsed), backlogGain, backlogDecay, lastBacklogDecay,
				c.overallBacklog())
		}
		c.halveWindow(n, a)
	case NoRoom: // this says nothing about the speed of the node
		r.fullShards = append(r.fullShards, n.Shard)
	case Busy:
		c.halveWindow(n, a)
	}
}

// halveWindow halves the node's window, once for all attempts that were in flight at that time.
func (c *Controller) halveWindow(n *node, a *attempt) {
	if a.sentAt >= n.halvedAt {
		n.window = max(minWindow, n.window/2)
		n.halvedAt = c.now
	}
}

// suspect reports whether the node is silent or failed to answer several times in a row. New objects go
// elsewhere; requests that only this node can serve are refused at once, but for one attempt now and then.
// This covers silent, vanished and unreachable nodes alike, whose empty queues make them look the fastest.
// Error answers do not count: a node that fails some requests serves the others, and only new objects avoid
// it, by its error rate. Drawback: a node whose answers are all slow for a moment is avoided until the next
// answer.
func (n *node) suspect() bool { return n.silent || n.failures >= suspectFailures }

// extendBackoff postpones the next attempt at a suspect node, twice as long each time up to a maximum.
func (n *node) extendBackoff(now, slot time.Duration) {
	n.backoff = min(max(slot, 2*n.backoff), maxBackoffSlots*slot)
	n.nextTryAt = now + n.backoff
}

// markAnswered clears the node's failures after an answer. A suspect node's window restarts at minWindow.
func (n *node) markAnswered(now time.Duration) {
	if n.suspect() {
		n.window = minWindow
	}
	n.lastAnswerAt, n.silent, n.failures, n.backoff = now, false, 0, 0
}

// overdue reports whether the attempt has been in flight for much longer than the node's answers take. Such
// an attempt counts neither for the window nor in the simulation, so that a single lost request or answer
// does not block a small window until its deadline. Drawback: a node that slows down suddenly gets a few
// attempts too many.
func (c *Controller) overdue(a *attempt) bool {
	return float64(c.now-a.sentAt) > overdueRoundTrips*a.node.rtt+float64(c.slot)
}

// liveAttempts returns the number of attempts in flight at the node that are not overdue.
func (c *Controller) liveAttempts(n *node) (k float64) {
	for _, a := range n.inFlight {
		if !c.overdue(a) {
			k++
		}
	}
	return k
}

// checkSilence marks the node as silent if it has answered nothing since an attempt that is now overdue.
func (c *Controller) checkSilence(n *node) {
	for _, a := range n.inFlight {
		if !n.silent && a.sentAt > n.lastAnswerAt && c.overdue(a) {
			n.silent = true
			c.emit(Log{"node " + n.ID + noAnswersText})
		}
	}
}

// applyNodeList applies a change of the node list. It returns the requests held at nodes that may get no new
// work, to be placed again.
func (c *Controller) applyNodeList(e NodeList) (moved []*request) {
	if e.Kind == ListFailed {
		c.subscribed = false
		return nil
	}
	if e.Kind != ListCached {
		c.subscribed = true
	} else {
		c.listAskedAt = c.now
	}
	listedIDs := map[string]bool{}
	for _, entry := range e.Nodes {
		listedIDs[entry.ID] = true
		c.applyNode(entry)
	}
	unlisted := 0
	for _, n := range c.nodesByID {
		if e.Kind != ListDelta && !listedIDs[n.ID] {
			n.listed = false
		}
		if !n.listed {
			unlisted++
		}
		if !n.usable() {
			moved = append(moved, n.held...)
			for _, r := range n.held {
				r.held = false
			}
			n.held = nil
		}
	}
	if unlisted > c.settings.MaxNames/4 {
		c.removeGoneNodes()
	}
	return moved
}

// applyNode applies one entry of the node list. After a restart, a node is measured as if it were new.
func (c *Controller) applyNode(e Node) {
	n := c.nodes[e.ID]
	if n == nil {
		n = &node{window: initialWindow}
		c.nodes[e.ID] = n
		i := sort.Search(len(c.nodesByID), func(i int) bool { return c.nodesByID[i].ID > e.ID })
		c.nodesByID = slices.Insert(c.nodesByID, i, n)
	} else if e.StartedAt > n.StartedAt {
		n.window, n.meter, n.rtt = initialWindow, rateMeter{}, 0
		n.silent, n.failures, n.backoff, n.errorRate = false, 0, 0, 0
	}
	if e.StartedAt != n.StartedAt { // hosts that learn of the node together start at different times
		n.credit, n.creditAt = -c.rng.Float64()*c.settings.MeanUnits, c.now
	}
	n.Node, n.listed = e, e.State != Gone
}

// subscribe subscribes to the node list if it is sent only on request.
func (c *Controller) subscribe() {
	if c.settings.ListOnRequest {
		c.listAskedAt = c.now
		c.emit(Subscribe{})
	}
}

// resubscribe subscribes again while there is no subscription, well before Settings.MaxListRequestInterval is
// over.
func (c *Controller) resubscribe() {
	if !c.settings.ListOnRequest || c.subscribed {
		return
	}
	interval := time.Duration(resubscribeFraction * float64(c.settings.MaxListRequestInterval))
	if c.now >= c.listAskedAt+interval {
		c.subscribe()
	}
	c.setTimerAt(c.listAskedAt + interval)
}
