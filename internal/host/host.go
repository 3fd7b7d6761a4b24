// Package host is the running host: one loop around one control.Controller. Fronts
// put requests into its mailbox, the backend outcomes, the register feed node
// lists; each turn hands the whole mailbox to the controller as one batch and
// carries all its actions out. It decides nothing about a request, touches no
// socket, and reads the clock once a turn. Callers: internal/front (Submit, Leave),
// internal/backend (Ended), internal/register (List), cmd/eiderhold (Run).
package host

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/http1"
	"eiderhold/internal/nodewire"
	"eiderhold/internal/wheel"
)

// The ceilings and margins.
const (
	// ClockBase is the reading of the host's clock at its start, so that moments
	// before it can be told; what began more than this before the start began long ago.
	ClockBase = 24 * time.Hour

	tick        = time.Millisecond      // of the timing wheel
	mostMargin  = 20 * time.Millisecond // see margin
	marginPart  = 10                    // of the client's time
	defaultOpen = 100_000               // requests open at once
	demandEvery = time.Second
	startsMost  = 10_000 // starts of nodes remembered: at this many the older half is dropped
)

// ErrFull says that the host has as many requests open as it may. The answer at
// this ceiling is a refusal: nothing has run, and a retry is harmless.
var ErrFull = errors.New("host: as many requests open as allowed (limits.open_requests): refused")

// ErrStopped says that the host's loop has ended.
var ErrStopped = errors.New("host: stopped")

// Kind says how a request ended.
type Kind int

// The kinds of final answer.
const (
	Served  Kind = iota
	Refused      // turned away: a retry is harmless, and welcome after RetryAfter
	Failed       // nothing is promised about its effect
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Request is what a front asks for. Payload must stay as it is until the answer.
type Request struct {
	Class, Plan, Volume, Item string
	Shard                     int // or control.AnyShard
	Hosts                     int // gateways that serve the volume
	Units                     float64
	Share                     float64       // units a second told in advance for the volume; 0: none told
	Expires                   time.Duration // the client waits so long, from now
	Retry                     bool
	Tiers                     [][]int // of a write that any shard may take: those that are to, the best tier first
	Avoid                     []int   // and those that take nothing new, ascending

	Op      nodewire.Op
	Key     string
	Offset  int64 // in the item
	Length  int
	Payload []byte

	// Message is the request as it came, for nodes that speak HTTP; the fields above are not used then.
	Message *http1.Message

	// Answer takes the final answer, once, on the host's loop. It must not block.
	Answer func(Answer)

	gone atomic.Bool
}

// Abandon marks the request as one whose client has gone: from now on no attempt of it may begin. A front
// calls it as it sees the close, before Host.Leave: what waits for a connection need not wait for the loop.
func (r *Request) Abandon() { r.gone.Store(true) }

// Abandoned says that the client has gone.
func (r *Request) Abandoned() bool { return r.gone.Load() }

// Answer is the one final answer to a request.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration  // Refused
	Cause      string         // of what was not served, for people
	Node       string         // the node that served it
	Shard      int            // the shard that it holds
	Data       *buffer.Buffer // of a read; the receiver releases it
	Attempts   int
	Elapsed    time.Duration // from the mailbox to the answer
	At         time.Duration // when its outcome came in, by the host's clock; 0: there was none
}

// Attempt is one attempt as the backend gets it.
type Attempt struct {
	Ref     uint64 // unique in this process
	ID      uint64 // the request's
	Number  int    // 0, 1, ...
	Node    string
	Left    time.Duration // the client's time left
	Begin   time.Duration // it must begin within it, from now; 0: within Left
	Request *Request
}

// Outcome is the end of an attempt as the backend reports it.
type Outcome struct {
	Ref       uint64
	Result    control.Result
	Shard     int
	VolumeUse int
	OthersGot float64
	Load      []float64
	Text      string         // cause of an error
	Data      *buffer.Buffer // of a read

	at time.Duration // when it was reported
}

// Backend carries attempts to nodes. Its methods return at once and are called on
// the host's loop. Every Send is followed by one Host.Ended, unless Drop came first.
type Backend interface {
	Send(Attempt)
	Drop(ref uint64) // the attempt's answer is no longer wanted
	// Withdraw ends an attempt of which nothing has left, as not sent. Another one goes on.
	Withdraw(ref uint64)
	Probe(node string)
	Nodes([]Node) // the nodes that are listed now; others are closed when idle
}

// Node is an entry of the node list with its address.
type Node struct {
	control.Node
	Addr string
}

// List is news from the register.
type List struct {
	Kind  control.ListKind
	Nodes []Node
}

// Register is asked for the node list where the settings say so.
type Register interface {
	Subscribe()
	Fetch()
}

// Recorder takes every batch with its actions. Flush is called before the process
// ends on a failure.
type Recorder interface {
	Batch(now time.Duration, events []control.Event, actions []control.Action)
	Flush()
}

// Options are what a host is made of.
type Options struct {
	Settings control.Settings
	Seed     int64
	Backend  Backend
	Register Register // may be nil
	Recorder Recorder // may be nil
	Log      *slog.Logger
	Clock    func() time.Duration // nil: the monotonic clock from ClockBase on
	MostOpen int                  // requests open at once; 0: 100,000

	// Demand takes, about once a second while there is any, the units that each volume asked
	// for since the last time, first tries only. It keeps the map, and must not block. May be nil.
	Demand func(map[string]float64)
	// Heard takes, for each attempt and probe that ended, its node's shard and whether an answer came,
	// whatever it said. It is called on the host's loop and must not block. nil: nobody does.
	Heard func(shard int, answered bool)
}

// Host runs one controller.
type Host struct {
	opt   Options
	ctl   decider
	clock func() time.Duration

	mu      sync.Mutex // guards the mailbox
	box     []any
	open    int // requests submitted and not yet answered
	stopped bool
	bell    chan struct{}

	// the rest belongs to the loop
	now      time.Duration
	events   []control.Event
	spare    []any
	wheel    *wheel.Wheel[due]
	nextID   uint64
	nextRef  uint64
	reqs     map[string]*request
	out      map[uint64]*attempt
	nodes    map[string]Node
	started  map[string]start
	probes   map[uint64]probe
	stats    Stats
	statsMu  sync.Mutex
	shown    Stats
	shownAt  time.Duration
	asked    map[string]float64
	askedAt  time.Duration
	shutdown error
}

// decider is the controller; tests put one that fails in its place.
type decider interface {
	Step(now time.Duration, events []control.Event) []control.Action
}

// request is one that is open.
type request struct {
	*Request
	id       uint64
	name     string
	taken    time.Duration
	deadline time.Duration // of its attempts
	over     bool
	attempts []*attempt
	last     *wheel.Timer[due]
	cause    string
}

type attempt struct {
	ref    uint64
	number int
	req    *request
	node   string
	sentAt time.Duration
	timer  *wheel.Timer[due]
}

type probe struct {
	node   string
	sentAt time.Duration
}

// due is what a timer of the wheel stands for: one of its fields.
type due struct {
	token int64
	out   *attempt
	last  *request
}

// start remembers how a node's wall clock start was converted, so that it stays
// the same reading of the host's clock.
type start struct {
	wall time.Time
	at   time.Duration
}

// Messages of the mailbox besides *request, Outcome, List and control.Shares.
type (
	leave  struct{ id uint64 }
	probed struct {
		node   string
		result control.Result
		took   time.Duration
		load   []float64
	}
	stop struct{ err error }
	call func()
)

// New checks the settings and makes a host that waits to be run.
func New(opt Options) (*Host, error) {
	ctl, err := control.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.MostOpen == 0 {
		opt.MostOpen = defaultOpen
	}
	clock := opt.Clock
	if clock == nil {
		began := time.Now()
		clock = func() time.Duration { return ClockBase + time.Since(began) }
	}
	return &Host{opt: opt, ctl: ctl, clock: clock, bell: make(chan struct{}, 1),
		wheel: wheel.New[due](tick, clock()), reqs: map[string]*request{}, out: map[uint64]*attempt{},
		nodes: map[string]Node{}, started: map[string]start{}, now: clock()}, nil
}

// Follow names the register. It must be called before Run.
func (h *Host) Follow(r Register) { h.opt.Register = r }

// Now is the host's clock.
func (h *Host) Now() time.Duration { return h.clock() }

// margin is the part of the client's time that is kept back for the way of the
// answer: attempts end that much earlier, and the last resort comes when it is over.
func margin(expires time.Duration) time.Duration { return min(mostMargin, expires/marginPart) }

// Submit hands a request in. If it returns an error the request was not taken and
// no answer will come; else exactly one will, within Expires.
func (h *Host) Submit(r *Request) (id uint64, err error) {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return 0, ErrStopped
	}
	if h.open >= h.opt.MostOpen {
		h.mu.Unlock()
		h.statsMu.Lock()
		h.shown.Full++
		h.statsMu.Unlock()
		return 0, ErrFull
	}
	h.open++
	h.nextID++
	q := &request{Request: r, id: h.nextID, taken: h.clock()}
	h.box = append(h.box, q)
	h.mu.Unlock()
	h.ring()
	return q.id, nil
}

// Leave says that the client of a request has gone. No answer follows if none was
// given yet.
func (h *Host) Leave(id uint64) { h.post(leave{id}) }

// Ended takes the end of an attempt from the backend.
func (h *Host) Ended(o Outcome) {
	o.at = h.clock()
	h.post(o)
}

// Probed takes the end of a probe from the backend.
func (h *Host) Probed(node string, result control.Result, took time.Duration, load []float64) {
	h.post(probed{node, result, took, load})
}

// List takes news from the register.
func (h *Host) List(l List) { h.post(l) }

// Shares takes shares worked out ahead. They are swapped whole between two steps.
func (h *Host) Shares(s control.Shares) { h.post(s) }

// Stop ends the loop: what is open is answered failed, and Run returns err.
func (h *Host) Stop(err error) { h.post(stop{err}) }

func (h *Host) post(m any) {
	h.mu.Lock()
	if !h.stopped {
		h.box = append(h.box, m)
	}
	h.mu.Unlock()
	h.ring()
}

func (h *Host) ring() {
	select {
	case h.bell <- struct{}{}:
	default:
	}
}

// Run drives the loop until Stop, or until the controller panics; then it returns
// an error that says so. All open requests have their answer when it returns.
func (h *Host) Run() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("host: the controller failed and is not used further: %v\n%s", p, debug.Stack())
		}
		h.end()
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		h.turn()
		if h.shutdown != nil {
			if h.shutdown == errClean {
				return nil
			}
			return h.shutdown
		}
		if next, ok := h.wheel.Next(); ok {
			timer.Reset(max(0, next-h.clock()))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-h.bell:
		case <-timer.C:
		}
	}
}

var errClean = errors.New("stopped")

// turn takes one batch: all that is in the mailbox and all timers that are due.
func (h *Host) turn() {
	h.mu.Lock()
	box := h.box
	h.box = h.spare[:0]
	h.mu.Unlock()

	h.now = h.clock()
	h.events = h.events[:0]
	h.wheel.Advance(h.now, h.fire)
	for i, m := range box {
		h.take(m)
		box[i] = nil
	}
	h.spare = box
	if len(h.events) > 0 {
		actions := h.ctl.Step(h.now, h.events)
		if h.opt.Recorder != nil {
			h.opt.Recorder.Batch(h.now, h.events, actions)
		}
		h.stats.Turns++
		h.stats.Events += uint64(len(h.events))
		for _, a := range actions {
			h.carryOut(a)
		}
	}
	if len(h.asked) > 0 && h.now-h.askedAt > demandEvery {
		h.opt.Demand(h.asked)
		h.asked, h.askedAt = nil, h.now
	}
	if h.now-h.shownAt > statsEvery {
		h.shownAt = h.now
		h.show()
	}
}

// take turns one message of the mailbox into an event.
func (h *Host) take(m any) {
	switch m := m.(type) {
	case *request:
		h.admit(m)
	case Outcome:
		h.ended(m)
	case List:
		h.list(m)
	case control.Shares:
		h.event(m)
	case leave:
		h.left(m.id)
	case probed:
		h.heard(m.node, m.result)
		h.event(control.ProbeResult{Node: m.node, Result: m.result, Elapsed: m.took, Load: m.load})
	case call:
		m()
	case stop:
		if h.shutdown = m.err; m.err == nil {
			h.shutdown = errClean
		}
	default:
		panic(fmt.Sprintf("host: %T in the mailbox", m))
	}
}

func (h *Host) event(e control.Event) { h.events = append(h.events, e) }

// admit books a request and hands it to the controller with the time that it has
// left: what it waited in the mailbox is gone.
func (h *Host) admit(r *request) {
	h.stats.Requests++
	h.stats.Mailbox.record(h.now - r.taken)
	r.name = strconv.FormatUint(r.id, 36)
	end := r.taken + r.Expires
	r.deadline = end - margin(r.Expires)
	h.reqs[r.name] = r
	r.last = h.wheel.Add(end, due{last: r})
	if h.opt.Demand != nil && !r.Retry {
		if h.asked == nil {
			h.asked = map[string]float64{}
		}
		h.asked[r.Volume] += r.Units
	}
	h.event(control.Request{ID: r.name, Class: r.Class, Plan: r.Plan, Volume: r.Volume, Item: r.Item,
		Shard: r.Shard, Hosts: r.Hosts, Units: r.Units, Share: r.Share,
		Expires: max(0, r.deadline-h.now), Retry: r.Retry, Tiers: r.Tiers, Avoid: r.Avoid})
}

// left books that the client of a request has gone. Attempts that have not begun do so no more. Those that
// have go on to their outcomes, which the controller learns from, unless it calls them off.
func (h *Host) left(id uint64) {
	r := h.reqs[strconv.FormatUint(id, 36)]
	if r == nil || r.over {
		return
	}
	h.stats.Left++
	h.event(control.ClientGone{ID: r.name})
	r.Answer = nil
	r.Abandon()
	for _, a := range r.attempts {
		if h.out[a.ref] != nil {
			h.opt.Backend.Withdraw(a.ref)
		}
	}
	h.finish(r, Answer{Kind: Failed, Cause: "the client left"})
}

// fire turns a timer that is due into its event.
func (h *Host) fire(d due) {
	switch {
	case d.out != nil:
		a := d.out
		a.req.cause = fmt.Sprintf("node %s gave no answer in time", a.node)
		h.close(a, control.Outcome{Result: control.TimedOut}, true)
	case d.last != nil:
		r := d.last
		if r.over {
			return
		}
		h.stats.Defects++
		h.opt.Log.Error("no answer from the controller in the client's time: failed as the last resort",
			"request", r.name, "class", r.Class, "attempts", len(r.attempts))
		h.event(control.ClientGone{ID: r.name})
		h.finish(r, Answer{Kind: Failed, Cause: "no decision within the client's time"})
	default:
		h.event(control.TimerFired{Token: d.token})
	}
}

// ended books an outcome from the backend. One whose attempt has timed out here
// is late: the controller has its outcome already.
func (h *Host) ended(o Outcome) {
	a := h.out[o.Ref]
	if a == nil {
		h.stats.Late++
		o.Data.Release()
		return
	}
	r := a.req
	if o.Result != control.Done {
		r.cause = fmt.Sprintf("node %s: %s", a.node, cause(o))
	}
	if o.Result == control.Done && !r.over {
		h.finish(r, Answer{Kind: Served, Node: a.node, Shard: o.Shard, Data: o.Data, At: o.at})
		h.stats.Outcome.record(h.now - a.sentAt)
	} else {
		o.Data.Release()
	}
	h.close(a, control.Outcome{Result: o.Result, VolumeUse: o.VolumeUse, OthersGot: o.OthersGot, Load: o.Load}, false)
}

var resultNames = [...]string{"done", "error", "busy", "no answer in time", "no connection",
	"connection dropped", "called off", "not sent", "no room"}

func cause(o Outcome) string {
	if o.Text != "" {
		return resultNames[o.Result] + ": " + o.Text
	}
	return resultNames[o.Result]
}

// close ends an attempt and tells the controller. drop says that the backend still
// has it.
func (h *Host) close(a *attempt, o control.Outcome, drop bool) {
	delete(h.out, a.ref)
	h.wheel.Cancel(a.timer)
	if drop {
		h.opt.Backend.Drop(a.ref)
	}
	o.ID, o.Attempt, o.Node = a.req.name, a.number, a.node
	o.Elapsed, o.Closed = h.now-a.sentAt, a.req.over
	h.stats.Results[o.Result]++
	h.heard(a.node, o.Result)
	h.event(o)
	h.forget(a.req)
}

// heard tells whether a node answered. What never left, or was called off, says nothing of it.
func (h *Host) heard(node string, result control.Result) {
	n, known := h.nodes[node]
	if h.opt.Heard == nil || !known || result == control.NotSent || result == control.Cancelled {
		return
	}
	h.opt.Heard(n.Shard, !result.Doubtful() && result != control.Unreachable)
}

// finish gives the final answer.
func (h *Host) finish(r *request, a Answer) {
	if r.over {
		return
	}
	r.over = true
	h.wheel.Cancel(r.last)
	a.Attempts, a.Elapsed = len(r.attempts), h.now-r.taken
	h.stats.Answers[a.Kind]++
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
	if r.Answer != nil {
		r.Answer(a)
	} else {
		a.Data.Release()
	}
	h.forget(r)
}

// forget drops a request that is over once no attempt of it is out.
func (h *Host) forget(r *request) {
	if !r.over {
		return
	}
	for _, a := range r.attempts {
		if h.out[a.ref] != nil {
			return
		}
	}
	delete(h.reqs, r.name)
}

// carryOut does what one action says.
func (h *Host) carryOut(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		h.send(a)
	case control.Refuse:
		if r := h.reqs[a.ID]; r != nil {
			h.finish(r, Answer{Kind: Refused, RetryAfter: a.RetryAfter, Cause: or(r.cause, "it could not be served in time")})
		}
	case control.Fail:
		if r := h.reqs[a.ID]; r != nil {
			h.finish(r, Answer{Kind: Failed, Cause: or(r.cause, "no node could take it in time")})
		}
	case control.Cancel:
		if r := h.reqs[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			if at := r.attempts[a.Attempt]; h.out[at.ref] != nil {
				h.later(func() { h.close(at, control.Outcome{Result: control.Cancelled}, true) })
			}
		}
	case control.SetTimer:
		h.wheel.Add(a.At, due{token: a.Token})
	case control.Probe:
		h.opt.Backend.Probe(a.Node)
	case control.Subscribe:
		if h.opt.Register != nil {
			h.opt.Register.Subscribe()
		}
	case control.FetchList:
		if h.opt.Register != nil {
			h.opt.Register.Fetch()
		}
	case control.Log:
		h.opt.Log.Info(a.Text, "from", "controller")
	default:
		panic(fmt.Sprintf("host: action %T is unknown", a))
	}
}

func or(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// Believed is what the host believes of a node.
type Believed struct {
	control.Belief
	Carried int // attempts that the host has out there: the backend has as many, on connections or waiting
}

// Beliefs has f called, on the host's loop, with what is believed of each node, by id; with nothing if the
// controller does not tell. f must not block.
func (h *Host) Beliefs(f func([]Believed)) {
	h.post(call(func() {
		teller, ok := h.ctl.(interface{ Beliefs() []control.Belief })
		if !ok {
			f(nil)
			return
		}
		carried := map[string]int{}
		for _, a := range h.out {
			carried[a.node]++
		}
		var list []Believed
		for _, b := range teller.Beliefs() {
			list = append(list, Believed{b, carried[b.Node]})
		}
		f(list)
	}))
}

// later runs f in the next turn: what an action brings about is an event of the
// next batch, never of the one that is being answered.
func (h *Host) later(f func()) { h.post(call(f)) }

// send starts an attempt, or reports that it never left.
func (h *Host) send(s control.Send) {
	r := h.reqs[s.ID]
	if r == nil {
		h.opt.Log.Error("the controller sends for a request that is over", "request", s.ID)
		h.stats.Defects++
		return
	}
	h.nextRef++
	a := &attempt{ref: h.nextRef, number: len(r.attempts), req: r, node: s.Node, sentAt: h.now}
	r.attempts = append(r.attempts, a)
	h.out[a.ref] = a
	until := r.deadline
	if s.Within != 0 {
		until = min(until, h.now+s.Within)
	}
	begin := max(0, s.Latest-h.now)
	_, known := h.nodes[s.Node]
	if r.over || until <= h.now || !known || s.Latest != 0 && begin == 0 {
		h.later(func() {
			if h.out[a.ref] != nil {
				h.close(a, control.Outcome{Result: control.NotSent}, false)
			}
		})
		return
	}
	a.timer = h.wheel.Add(until, due{out: a})
	h.stats.Attempts++
	if len(r.Tiers) > 0 {
		h.stats.Placed[tierOf(r.Tiers, h.nodes[s.Node].Shard)]++
	}
	if a.number == 0 {
		h.stats.Decide.record(h.clock() - r.taken)
	}
	h.opt.Backend.Send(Attempt{Ref: a.ref, ID: r.id, Number: a.number, Node: s.Node,
		Left: r.deadline - h.now, Begin: begin, Request: r.Request})
}

// tierOf is 0 for a shard of the first tier, 1 for one of a later, 2 for any other.
func tierOf(tiers [][]int, shard int) int {
	for i, t := range tiers {
		if slices.Contains(t, shard) {
			return min(i, 1)
		}
	}
	return 2
}

// list books news of the register and hands it on.
func (h *Host) list(l List) {
	e := control.NodeList{Kind: l.Kind}
	if l.Kind == control.ListFull || l.Kind == control.ListCached {
		clear(h.nodes)
	}
	for _, n := range l.Nodes {
		if n.State == control.Gone {
			delete(h.nodes, n.ID)
		} else {
			h.nodes[n.ID] = n
		}
		e.Nodes = append(e.Nodes, n.Node)
	}
	if l.Kind != control.ListFailed {
		all := make([]Node, 0, len(h.nodes))
		for _, n := range h.nodes {
			all = append(all, n)
		}
		h.opt.Backend.Nodes(all)
	}
	h.event(e)
}

// StartedAt turns a node's start by the wall clock into a reading of the host's
// clock, the same one each time it is told; 0 for long ago. It is for the register
// feed and safe for one goroutine.
func (h *Host) StartedAt(node string, wall time.Time) time.Duration {
	if wall.IsZero() || wall.UnixMilli() == 0 {
		return 0
	}
	if s, ok := h.started[node]; ok && s.wall.Equal(wall) {
		return s.at
	}
	at := max(0, h.clock()-max(0, time.Since(wall)))
	if at == 0 {
		return 0 // long ago stays long ago
	}
	if len(h.started) >= startsMost { // nodes come and go for ever: the older half is forgotten
		walls := make([]time.Time, 0, len(h.started))
		for _, s := range h.started {
			walls = append(walls, s.wall)
		}
		slices.SortFunc(walls, time.Time.Compare)
		half := walls[len(walls)/2]
		maps.DeleteFunc(h.started, func(_ string, s start) bool { return !s.wall.After(half) })
	}
	h.started[node] = start{wall, at}
	return at
}

// end answers what is open with failed and closes the mailbox. Nothing is asked
// of the controller any more.
func (h *Host) end() {
	h.mu.Lock()
	h.stopped = true
	box := h.box
	h.box = nil
	h.mu.Unlock()
	if h.opt.Recorder != nil {
		h.opt.Recorder.Flush()
	}
	for _, m := range box {
		if r, ok := m.(*request); ok {
			h.finish(r, Answer{Kind: Failed, Cause: "the gateway stops"})
		}
	}
	for _, r := range h.reqs {
		h.finish(r, Answer{Kind: Failed, Cause: "the gateway stops"})
	}
	h.show()
}
