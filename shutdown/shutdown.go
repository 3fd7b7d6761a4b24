// Package shutdown plans the shutdown of a host: until when it accepts connections and requests, how long a late
// request may take, and when the process exits. It does no I/O and reads no clock; internal/live asks it for the
// phase as time passes.
package shutdown

import "time"

// The platform's figures for a planned restart (PROTOCOL, Figures). Clients use their connections as long as these
// stay open, and an early exit does not make the next process start sooner. A host therefore serves as long as
// possible during shutdown: its clients have no other host. A request that arrives within requestGrace of the
// signal and is open when the host is killed does not count against the host.
const (
	connectDuration    = 400 * time.Millisecond // new connections arrive for this time at most
	requestGrace       = 700 * time.Millisecond // added to the longest deadline before the host may be killed
	maxLongestDeadline = 3 * time.Second        // upper bound on the longest deadline in the plan
)

// Safety margins.
const (
	acceptMargin   = 150 * time.Millisecond // after connectDuration, for connections in the listen queue
	killMargin     = 250 * time.Millisecond // from the last answer to the earliest time at which the host may be killed
	minRequestTime = 100 * time.Millisecond // a request with less time left is not accepted
)

// Phase is the state of a shutdown at a given time.
type Phase struct {
	Accept bool // new connections are accepted
	// Serve says that connections stay open, even when places are short: a client that loses its connection cannot
	// open another. When it is false, each connection closes after its answer, and idle ones at once.
	Serve    bool
	AnswerBy time.Duration // time from the signal by which requests accepted now must be answered; 0: own deadline
	// StopReading says that all accepted requests have their answers. Requests received in part are refused, and
	// further input is not read: such requests would be open when the process exits.
	StopReading bool
	Exit        bool // the process exits, whatever is open
}

// Plan is the shutdown plan of one host.
type Plan struct{ killAt time.Duration }

// New returns the plan for a host with the given longest deadline of a request.
func New(longest time.Duration) Plan {
	return Plan{min(longest, maxLongestDeadline) + requestGrace}
}

// At returns the phase at time t after the signal.
func (p Plan) At(t time.Duration) Phase {
	answerBy := p.killAt - killMargin
	phase := Phase{Accept: t < connectDuration+acceptMargin, Serve: t < answerBy-minRequestTime,
		StopReading: t >= answerBy, Exit: t >= answerBy+killMargin/2}
	if t >= requestGrace-killMargin { // requests accepted earlier have deadlines before answerBy
		phase.AnswerBy = answerBy
	}
	return phase
}
