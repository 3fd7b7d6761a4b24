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
	"runtime/debug"
	"sync"
	"time"

	"eiderhold/control"
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

// timerEvent is the payload of a wheel timer. Exactly one case applies: an attempt that times out, a request that
// expires, or else a timer of the controller.
type timerEvent struct {
	token   int64
	attempt *attempt
	request *request
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

// Do runs f on the host's loop, after all that was posted before. It is dropped once the loop has ended.
func (h *Host) Do(f func()) { h.post(call(f)) }

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

// postCall runs f in the next turn: an event caused by an action belongs to the next batch, never to the one whose
// actions are being executed.
func (h *Host) postCall(f func()) { h.post(call(f)) }

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
