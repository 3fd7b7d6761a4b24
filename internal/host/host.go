// Package host runs a control.Controller in a single event loop. Fronts post requests to its mailbox, the
// backend posts outcomes, and the register or discovery feed posts node lists. Each turn of the loop passes the
// whole mailbox to the controller as one batch and executes the actions that it returns. The package makes no
// decision about a request, opens no socket, and reads the clock once a turn for all events of the batch.
// Callers: internal/front (Submit, ClientGone), internal/backend (AttemptEnded, Probed), internal/register and
// internal/discovery (List), cmd/eiderhold and internal/live (Run).
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

const (
	// ClockBase is the reading of the host's clock at its start. It leaves room for times before the start;
	// a node that started earlier than that counts as started long ago.
	ClockBase = 24 * time.Hour

	tick                = time.Millisecond      // resolution of the timer wheel
	maxAnswerMargin     = 20 * time.Millisecond // see answerMargin
	answerMarginDivisor = 10                    // the margin is this part of the client's time
	defaultMaxOpen      = 100_000               // open requests
	demandInterval      = time.Second
	maxNodeStarts       = 10_000 // node starts remembered; at this number the older half is dropped
)

// ErrFull is returned by Submit when the limit of open requests is reached. The front answers with a refusal:
// nothing has run, so a retry is harmless.
var ErrFull = errors.New("host: as many requests open as allowed (limits.open_requests): refused")

// ErrStopped is returned by Submit once the host's loop has ended.
var ErrStopped = errors.New("host: stopped")

// Kind is the kind of a final answer.
type Kind int

// The kinds of final answer.
const (
	Served  Kind = iota
	Refused      // not served: a retry is harmless, after RetryAfter
	Failed       // the request may or may not have taken effect
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Request is a request that a front submits. Payload must not change until the answer.
type Request struct {
	Class, Plan, Volume, Item string
	Shard                     int // or control.AnyShard
	Hosts                     int // number of gateways that serve the volume
	Units                     float64
	Share                     float64       // units a second granted to the volume by planned shares; 0: none
	Expires                   time.Duration // how long the client waits, from Submit on
	Retry                     bool
	Tiers                     [][]int // preferred shards of a write that any shard may take, best tier first
	Avoid                     []int   // shards that take nothing new, ascending

	Op      nodewire.Op
	Key     string
	Offset  int64 // within the item
	Length  int
	Payload []byte

	// Message is the request as received, for nodes that speak HTTP; Op to Payload are unused then.
	Message *http1.Message

	// Answer is called once with the final answer, on the host's loop. It must not block.
	Answer func(Answer)

	abandoned atomic.Bool
}

// Abandon marks the request as one whose client has gone: no further attempt of it may begin. A front calls it
// when it sees the close, before Host.ClientGone, so that attempts waiting for a connection stop without waiting for
// the loop.
func (r *Request) Abandon() { r.abandoned.Store(true) }

// Abandoned reports whether the client has gone.
func (r *Request) Abandoned() bool { return r.abandoned.Load() }

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration  // of a refusal
	Cause      string         // why the request was not served, in words
	Node       string         // the node that served it
	Shard      int            // the shard of that node
	Data       *buffer.Buffer // of a read; the receiver releases it
	Attempts   int
	Elapsed    time.Duration // from Submit to the answer
	At         time.Duration // when the outcome was reported, by the host's clock; 0: there was none
}

// Attempt is one attempt at a request, as passed to the backend.
type Attempt struct {
	Ref         uint64 // unique in this process
	ID          uint64 // of the request
	Number      int    // from 0 on
	Node        string
	Remaining   time.Duration // time left until the answer is due
	BeginWithin time.Duration // the attempt must begin within this time from now; 0: within Remaining
	Request     *Request
}

// Outcome is the end of an attempt, as reported by the backend.
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

// Backend sends attempts to nodes. Its methods return at once and are called on the host's loop. Every Send is
// followed by one Host.AttemptEnded unless Drop is called first.
type Backend interface {
	Send(Attempt)
	Drop(ref uint64) // the attempt's answer is no longer wanted
	// Withdraw ends an attempt as not sent if nothing of it has been written; otherwise the attempt continues.
	Withdraw(ref uint64)
	Probe(node string)
	Nodes([]Node) // the current node list; connections to other nodes are closed when idle
}

// Node is an entry of the node list with its address.
type Node struct {
	control.Node
	Addr string
}

// List is a full node list or a change of it.
type List struct {
	Kind  control.ListKind
	Nodes []Node
}

// Register provides the node list on request, where the settings ask for it.
type Register interface {
	Subscribe()
	Fetch()
}

// Recorder records every batch of events with its actions. Flush is called when the loop ends.
type Recorder interface {
	Batch(now time.Duration, events []control.Event, actions []control.Action)
	Flush()
}

// Options are the settings and collaborators of a host.
type Options struct {
	Settings control.Settings
	Seed     int64
	Backend  Backend
	Register Register // may be nil
	Recorder Recorder // may be nil
	Log      *slog.Logger
	Clock    func() time.Duration // nil: the monotonic clock from ClockBase on
	MaxOpen  int                  // maximum of open requests; 0: 100,000

	// Demand is called about once a second while there is any demand, with the units requested per volume since
	// the last call; retries do not count. The callee owns the map and must not block. May be nil.
	Demand func(map[string]float64)
	// NodeAnswered is called for each attempt and probe that ended, with the shard of its node and whether an answer
	// of any kind came. It is called on the host's loop and must not block. May be nil.
	NodeAnswered func(shard int, answered bool)
}

// Host runs one controller.
type Host struct {
	options    Options
	controller controller
	clock      func() time.Duration

	mu      sync.Mutex // guards the mailbox
	mailbox []any
	open    int // requests submitted and not yet answered
	stopped bool
	wake    chan struct{}

	// The fields below are used by the loop only, except nextID (guarded by mu), published (guarded by statsMu) and
	// nodeStarts (used by the caller of StartedAt).
	now          time.Duration
	events       []control.Event
	spareMailbox []any
	wheel        *wheel.Wheel[timerEvent]
	nextID       uint64
	nextRef      uint64
	requests     map[string]*request
	inFlight     map[uint64]*attempt
	expired      []*request // in this turn
	nodes        map[string]Node
	nodeStarts   map[string]nodeStart
	stats        Stats
	statsMu      sync.Mutex
	published    Stats
	publishedAt  time.Duration
	demand       map[string]float64
	demandSentAt time.Duration
	stopErr      error
}

// controller is the interface of control.Controller that the loop uses; tests replace it.
type controller interface {
	Step(now time.Duration, events []control.Event) []control.Action
}

// request is an open request.
type request struct {
	*Request
	id          uint64
	name        string
	submittedAt time.Duration
	deadline    time.Duration // by which its attempts must end
	finished    bool
	attempts    []*attempt
	expiry      *wheel.Timer[timerEvent]
	cause       string
}

type attempt struct {
	ref    uint64
	number int
	req    *request
	node   string
	sentAt time.Duration
	timer  *wheel.Timer[timerEvent]
}

// timerEvent is the payload of a wheel timer. Exactly one case applies: an attempt that times out, a request that
// expires, or else a timer of the controller.
type timerEvent struct {
	token   int64
	attempt *attempt
	request *request
}

// nodeStart keeps the conversion of a node's start from wall clock time to the host's clock, so that the result
// stays the same each time.
type nodeStart struct {
	wall time.Time
	at   time.Duration
}

// Mailbox messages other than *request, Outcome, List and control.Shares.
type (
	clientGone  struct{ id uint64 }
	probeResult struct {
		node   string
		result control.Result
		took   time.Duration
		load   []float64
	}
	stopRequest struct{ err error }
	call        func()
)

// New checks the settings and returns a host, to be started with Run.
func New(opt Options) (*Host, error) {
	ctl, err := control.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.MaxOpen == 0 {
		opt.MaxOpen = defaultMaxOpen
	}
	clock := opt.Clock
	if clock == nil {
		began := time.Now()
		clock = func() time.Duration { return ClockBase + time.Since(began) }
	}
	return &Host{options: opt, controller: ctl, clock: clock, wake: make(chan struct{}, 1),
		wheel: wheel.New[timerEvent](tick, clock()), requests: map[string]*request{}, inFlight: map[uint64]*attempt{},
		nodes: map[string]Node{}, nodeStarts: map[string]nodeStart{}, now: clock()}, nil
}

// SetRegister sets the register. It must be called before Run.
func (h *Host) SetRegister(r Register) { h.options.Register = r }

// Now returns the time by the host's clock.
func (h *Host) Now() time.Duration { return h.clock() }

// answerMargin is the part of the client's time that is reserved for delivering the answer. Attempts end that much
// earlier; a request that has no answer when the margin is over fails.
func answerMargin(expires time.Duration) time.Duration {
	return min(maxAnswerMargin, expires/answerMarginDivisor)
}

// Submit posts a request. If it returns an error the request was not accepted and no answer follows; otherwise
// exactly one answer follows within Expires, unless ClientGone is called first.
func (h *Host) Submit(r *Request) (id uint64, err error) {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return 0, ErrStopped
	}
	if h.open >= h.options.MaxOpen {
		h.mu.Unlock()
		h.statsMu.Lock()
		h.published.RefusedAtLimit++
		h.statsMu.Unlock()
		return 0, ErrFull
	}
	h.open++
	h.nextID++
	q := &request{Request: r, id: h.nextID, submittedAt: h.clock()}
	h.mailbox = append(h.mailbox, q)
	h.mu.Unlock()
	h.signal()
	return q.id, nil
}

// ClientGone reports that the client of a request has gone. The request gets no answer if it has none yet.
func (h *Host) ClientGone(id uint64) { h.post(clientGone{id}) }

// AttemptEnded reports the end of an attempt, for the backend.
func (h *Host) AttemptEnded(o Outcome) {
	o.at = h.clock()
	h.post(o)
}

// Probed reports the end of a probe, for the backend.
func (h *Host) Probed(node string, result control.Result, took time.Duration, load []float64) {
	h.post(probeResult{node, result, took, load})
}

// List posts a node list or a change of it.
func (h *Host) List(l List) { h.post(l) }

// Shares posts precomputed shares. They replace the former ones as a whole, between two steps of the controller.
func (h *Host) Shares(s control.Shares) { h.post(s) }

// Stop ends the loop: open requests fail, and Run returns err.
func (h *Host) Stop(err error) { h.post(stopRequest{err}) }

func (h *Host) post(m any) {
	h.mu.Lock()
	if !h.stopped {
		h.mailbox = append(h.mailbox, m)
	}
	h.mu.Unlock()
	h.signal()
}

func (h *Host) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until Stop is called or the controller panics, which it returns as an error. All open requests
// have their answer when it returns.
func (h *Host) Run() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("host: panic in the host loop: %v\n%s", p, debug.Stack())
		}
		h.shutDown()
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		h.turn()
		if h.stopErr != nil {
			if h.stopErr == errStopRequested {
				return nil
			}
			return h.stopErr
		}
		if next, ok := h.wheel.Next(); ok {
			timer.Reset(max(0, next-h.clock()))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-h.wake:
		case <-timer.C:
		}
	}
}

var errStopRequested = errors.New("stopped")

// turn processes one batch: all messages of the mailbox and all timers that are due. If it comes late, an outcome that
// has been reported applies before the timeout of its attempt, and the controller decides before a request expires.
func (h *Host) turn() {
	h.mu.Lock()
	box := h.mailbox
	h.mailbox = h.spareMailbox[:0]
	h.mu.Unlock()

	h.now = h.clock()
	h.events = h.events[:0]
	for i, m := range box {
		h.handleMessage(m)
		box[i] = nil
	}
	h.spareMailbox = box
	h.wheel.Advance(h.now, h.handleTimer)
	h.step()
	h.failExpired()
	if len(h.demand) > 0 && h.now-h.demandSentAt > demandInterval {
		h.options.Demand(h.demand)
		h.demand, h.demandSentAt = nil, h.now
	}
	if h.now-h.publishedAt > statsInterval {
		h.publishedAt = h.now
		h.publishStats()
	}
}

// step passes the events to the controller and executes its actions.
func (h *Host) step() {
	if len(h.events) == 0 {
		return
	}
	actions := h.controller.Step(h.now, h.events)
	if h.options.Recorder != nil {
		h.options.Recorder.Batch(h.now, h.events, actions)
	}
	h.stats.Turns++
	h.stats.Events += uint64(len(h.events))
	for _, a := range actions {
		h.execute(a)
	}
	h.events = h.events[:0]
}

// failExpired fails the requests that have expired in this turn and that the controller has not decided on.
func (h *Host) failExpired() {
	for i, r := range h.expired {
		h.expired[i] = nil
		if r.finished {
			continue
		}
		h.stats.Defects++
		h.options.Log.Error("the controller made no decision within the client's time; the request failed",
			"request", r.name, "class", r.Class, "attempts", len(r.attempts))
		h.addEvent(control.ClientGone{ID: r.name})
		h.finish(r, Answer{Kind: Failed, Cause: "no decision within the client's time"})
	}
	h.expired = h.expired[:0]
	h.step()
}

// handleMessage turns a mailbox message into an event.
func (h *Host) handleMessage(m any) {
	switch m := m.(type) {
	case *request:
		h.admit(m)
	case Outcome:
		h.handleOutcome(m)
	case List:
		h.handleList(m)
	case control.Shares:
		h.addEvent(m)
	case clientGone:
		h.handleClientGone(m.id)
	case probeResult:
		h.reportHeard(m.node, m.result)
		h.addEvent(control.ProbeResult{Node: m.node, Result: m.result, Elapsed: m.took, Load: m.load})
	case call:
		m()
	case stopRequest:
		if h.stopErr = m.err; m.err == nil {
			h.stopErr = errStopRequested
		}
	default:
		panic(fmt.Sprintf("host: unexpected mailbox message of type %T", m))
	}
}

func (h *Host) addEvent(e control.Event) { h.events = append(h.events, e) }

// admit registers a request and passes it to the controller with the time that it has left: the time spent in the
// mailbox is deducted.
func (h *Host) admit(r *request) {
	h.stats.Requests++
	h.stats.Mailbox.record(h.now - r.submittedAt)
	r.name = strconv.FormatUint(r.id, 36)
	end := r.submittedAt + r.Expires
	r.deadline = end - answerMargin(r.Expires)
	h.requests[r.name] = r
	r.expiry = h.wheel.Add(end, timerEvent{request: r})
	if h.options.Demand != nil && !r.Retry {
		if h.demand == nil {
			h.demand = map[string]float64{}
		}
		h.demand[r.Volume] += r.Units
	}
	h.addEvent(control.Request{ID: r.name, Class: r.Class, Plan: r.Plan, Volume: r.Volume, Item: r.Item,
		Shard: r.Shard, Hosts: r.Hosts, Units: r.Units, Share: r.Share,
		Expires: max(0, r.deadline-h.now), Retry: r.Retry, Tiers: r.Tiers, Avoid: r.Avoid})
}

// handleClientGone ends a request whose client has gone. Attempts that have not begun are withdrawn. The others
// continue to their outcomes, from which the controller learns, unless it cancels them.
func (h *Host) handleClientGone(id uint64) {
	r := h.requests[strconv.FormatUint(id, 36)]
	if r == nil || r.finished {
		return
	}
	h.stats.ClientsGone++
	h.addEvent(control.ClientGone{ID: r.name})
	r.Answer = nil
	r.Abandon()
	for _, a := range r.attempts {
		if h.inFlight[a.ref] != nil {
			h.options.Backend.Withdraw(a.ref)
		}
	}
	h.finish(r, Answer{Kind: Failed, Cause: "the client left"})
}

// handleTimer turns a timer that is due into its event.
func (h *Host) handleTimer(d timerEvent) {
	switch {
	case d.attempt != nil:
		a := d.attempt
		a.req.cause = fmt.Sprintf("node %s gave no answer in time", a.node)
		h.endAttempt(a, control.Outcome{Result: control.TimedOut}, true)
	case d.request != nil:
		h.expired = append(h.expired, d.request)
	default:
		h.addEvent(control.TimerFired{Token: d.token})
	}
}

// handleOutcome processes an outcome from the backend. The outcome of an attempt that has already timed out is only
// counted as late: the controller has had an outcome for it.
func (h *Host) handleOutcome(o Outcome) {
	a := h.inFlight[o.Ref]
	if a == nil {
		h.stats.LateOutcomes++
		o.Data.Release()
		return
	}
	r := a.req
	if o.Result != control.Done {
		r.cause = fmt.Sprintf("node %s: %s", a.node, outcomeCause(o))
	}
	if o.Result == control.Done && !r.finished {
		h.finish(r, Answer{Kind: Served, Node: a.node, Shard: o.Shard, Data: o.Data, At: o.at})
		h.stats.Outcome.record(h.now - a.sentAt)
	} else {
		o.Data.Release()
	}
	h.endAttempt(a, control.Outcome{Result: o.Result, VolumeUse: o.VolumeUse, OthersGot: o.OthersGot, Load: o.Load}, false)
}

var resultNames = [...]string{"done", "error", "busy", "no answer in time", "no connection",
	"connection dropped", "called off", "not sent", "no room"}

func outcomeCause(o Outcome) string {
	if o.Text != "" {
		return resultNames[o.Result] + ": " + o.Text
	}
	return resultNames[o.Result]
}

// endAttempt ends an attempt and reports it to the controller. If drop is set, the backend still has the attempt and
// is told to drop it.
func (h *Host) endAttempt(a *attempt, o control.Outcome, drop bool) {
	delete(h.inFlight, a.ref)
	h.wheel.Cancel(a.timer)
	if drop {
		h.options.Backend.Drop(a.ref)
	}
	o.ID, o.Attempt, o.Node = a.req.name, a.number, a.node
	o.Elapsed, o.Closed = h.now-a.sentAt, a.req.finished
	h.stats.Results[o.Result]++
	h.reportHeard(a.node, o.Result)
	h.addEvent(o)
	h.removeFinished(a.req)
}

// reportHeard reports whether a node answered. An attempt that was not sent or was cancelled says nothing about it.
func (h *Host) reportHeard(node string, result control.Result) {
	n, known := h.nodes[node]
	if h.options.NodeAnswered == nil || !known || result == control.NotSent || result == control.Cancelled {
		return
	}
	h.options.NodeAnswered(n.Shard, !result.MayStillRun() && result != control.Unreachable)
}

// finish gives the final answer.
func (h *Host) finish(r *request, a Answer) {
	if r.finished {
		return
	}
	r.finished = true
	h.wheel.Cancel(r.expiry)
	a.Attempts, a.Elapsed = len(r.attempts), h.now-r.submittedAt
	h.stats.Answers[a.Kind]++
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
	if r.Answer != nil {
		r.Answer(a)
	} else {
		a.Data.Release()
	}
	h.removeFinished(r)
}

// removeFinished removes a finished request once none of its attempts is in flight.
func (h *Host) removeFinished(r *request) {
	if !r.finished {
		return
	}
	for _, a := range r.attempts {
		if h.inFlight[a.ref] != nil {
			return
		}
	}
	delete(h.requests, r.name)
}

// execute executes an action of the controller.
func (h *Host) execute(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		h.send(a)
	case control.Refuse:
		if r := h.requests[a.ID]; r != nil {
			h.finish(r, Answer{Kind: Refused, RetryAfter: a.RetryAfter, Cause: orDefault(r.cause, "it could not be served in time")})
		}
	case control.Fail:
		if r := h.requests[a.ID]; r != nil {
			h.finish(r, Answer{Kind: Failed, Cause: orDefault(r.cause, "no node could take it in time")})
		}
	case control.Cancel:
		if r := h.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			if at := r.attempts[a.Attempt]; h.inFlight[at.ref] != nil {
				h.postCall(func() { h.endAttempt(at, control.Outcome{Result: control.Cancelled}, true) })
			}
		}
	case control.SetTimer:
		h.wheel.Add(a.At, timerEvent{token: a.Token})
	case control.Probe:
		h.options.Backend.Probe(a.Node)
	case control.Subscribe:
		if h.options.Register != nil {
			h.options.Register.Subscribe()
		}
	case control.FetchList:
		if h.options.Register != nil {
			h.options.Register.Fetch()
		}
	case control.Log:
		h.options.Log.Info(a.Text, "from", "controller")
	default:
		panic(fmt.Sprintf("host: unexpected action of type %T", a))
	}
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// NodeView is the controller's estimate of a node's state, with the attempts that the host has in flight to it.
type NodeView struct {
	control.NodeEstimate
	HostInFlight int // attempts in flight; the backend has as many, on connections or waiting for one
}

// NodeEstimates calls f on the host's loop with the controller's estimate of each node, ordered by id, or with nil if the
// controller does not report estimates. f must not block.
func (h *Host) NodeEstimates(f func([]NodeView)) {
	h.post(call(func() {
		reporter, ok := h.controller.(interface{ NodeEstimates() []control.NodeEstimate })
		if !ok {
			f(nil)
			return
		}
		carried := map[string]int{}
		for _, a := range h.inFlight {
			carried[a.node]++
		}
		var list []NodeView
		for _, b := range reporter.NodeEstimates() {
			list = append(list, NodeView{b, carried[b.Node]})
		}
		f(list)
	}))
}

// postCall runs f in the next turn: an event caused by an action belongs to the next batch, never to the one whose
// actions are being executed.
func (h *Host) postCall(f func()) { h.post(call(f)) }

// send starts an attempt, or ends it as not sent if its node is unknown or its time is over.
func (h *Host) send(s control.Send) {
	r := h.requests[s.ID]
	if r == nil {
		h.options.Log.Error("the controller sent an attempt for a request that has ended", "request", s.ID)
		h.stats.Defects++
		return
	}
	h.nextRef++
	a := &attempt{ref: h.nextRef, number: len(r.attempts), req: r, node: s.Node, sentAt: h.now}
	r.attempts = append(r.attempts, a)
	h.inFlight[a.ref] = a
	until := r.deadline
	if s.Within != 0 {
		until = min(until, h.now+s.Within)
	}
	begin := max(0, s.Latest-h.now)
	_, known := h.nodes[s.Node]
	if r.finished || until <= h.now || !known || s.Latest != 0 && begin == 0 {
		h.postCall(func() {
			if h.inFlight[a.ref] != nil {
				h.endAttempt(a, control.Outcome{Result: control.NotSent}, false)
			}
		})
		return
	}
	a.timer = h.wheel.Add(until, timerEvent{attempt: a})
	h.stats.Attempts++
	if len(r.Tiers) > 0 {
		h.stats.Placed[tierOf(r.Tiers, h.nodes[s.Node].Shard)]++
	}
	if a.number == 0 {
		h.stats.Decide.record(h.clock() - r.submittedAt)
	}
	h.options.Backend.Send(Attempt{Ref: a.ref, ID: r.id, Number: a.number, Node: s.Node,
		Remaining: r.deadline - h.now, BeginWithin: begin, Request: r.Request})
}

// tierOf returns 0 for a shard of the first tier, 1 for one of a later tier, 2 for any other.
func tierOf(tiers [][]int, shard int) int {
	for i, t := range tiers {
		if slices.Contains(t, shard) {
			return min(i, 1)
		}
	}
	return 2
}

// handleList applies a node list or a change and passes it to the backend and the controller.
func (h *Host) handleList(l List) {
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
		h.options.Backend.Nodes(all)
	}
	h.addEvent(e)
}

// StartedAt converts a node's start from wall clock time to the host's clock, with the same result each time; 0 means
// long ago. It is for the register or discovery feed and not safe for concurrent use.
func (h *Host) StartedAt(node string, wall time.Time) time.Duration {
	if wall.IsZero() || wall.UnixMilli() == 0 {
		return 0
	}
	if s, ok := h.nodeStarts[node]; ok && s.wall.Equal(wall) {
		return s.at
	}
	at := max(0, h.clock()-max(0, time.Since(wall)))
	if at == 0 {
		return 0 // not remembered: the result is 0 from now on
	}
	if len(h.nodeStarts) >= maxNodeStarts { // bounds the memory under endless node turnover
		walls := make([]time.Time, 0, len(h.nodeStarts))
		for _, s := range h.nodeStarts {
			walls = append(walls, s.wall)
		}
		slices.SortFunc(walls, time.Time.Compare)
		half := walls[len(walls)/2]
		maps.DeleteFunc(h.nodeStarts, func(_ string, s nodeStart) bool { return !s.wall.After(half) })
	}
	h.nodeStarts[node] = nodeStart{wall, at}
	return at
}

// shutDown closes the mailbox and fails all open requests. The controller is not called any more.
func (h *Host) shutDown() {
	h.mu.Lock()
	h.stopped = true
	box := h.mailbox
	h.mailbox = nil
	h.mu.Unlock()
	if h.options.Recorder != nil {
		h.options.Recorder.Flush()
	}
	for _, m := range box {
		if r, ok := m.(*request); ok {
			h.finish(r, Answer{Kind: Failed, Cause: "the gateway stops"})
		}
	}
	for _, r := range h.requests {
		h.finish(r, Answer{Kind: Failed, Cause: "the gateway stops"})
	}
	h.publishStats()
}
