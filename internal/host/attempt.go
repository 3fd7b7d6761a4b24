package host

import (
	"fmt"
	"slices"
	"time"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/wheel"
)

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

type attempt struct {
	ref    uint64
	number int
	req    *request
	node   string
	sentAt time.Duration
	timer  *wheel.Timer[timerEvent]
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
