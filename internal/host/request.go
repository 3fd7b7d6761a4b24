package host

import (
	"strconv"
	"sync/atomic"
	"time"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/http1"
	"eiderhold/internal/nodewire"
	"eiderhold/internal/wheel"
)

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

	// Present reports whether the client still waits for the answer. The backend calls it on the loop of its connections,
	// right before an attempt's first byte. nil: Abandoned tells all that is known.
	Present func(*Request) bool

	abandoned atomic.Bool
	begun     atomic.Bool
}

// Abandon marks the request as one whose client has gone: no further attempt of it may begin. A front calls it
// when it sees the close, before Host.ClientGone, so that attempts waiting for a connection stop without waiting for
// the loop.
func (r *Request) Abandon() { r.abandoned.Store(true) }

// Abandoned reports whether the client has gone.
func (r *Request) Abandoned() bool { return r.abandoned.Load() }

// MarkBegun marks the request as one of which an attempt has begun. The backend calls it right before an attempt's first
// byte is written.
func (r *Request) MarkBegun() { r.begun.Store(true) }

// Begun reports whether an attempt has begun. If it has not when the request is abandoned, none ever runs.
func (r *Request) Begun() bool { return r.begun.Load() }

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

// answerMargin is the part of the client's time that is reserved for delivering the answer. Attempts end that much
// earlier; a request that has no answer when the margin is over fails.
func answerMargin(expires time.Duration) time.Duration {
	return min(maxAnswerMargin, expires/answerMarginDivisor)
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

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}
