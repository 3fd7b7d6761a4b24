// Package shutdown decides how a host that was told to end divides the time it has left: until when it takes
// connections and requests, how long a late request may take, and when the rest ends. It does no I/O and
// reads no clock; internal/live asks it as time passes.
package shutdown

import "time"

// What the platform says of a planned restart (PROTOCOL, Figures). Clients keep using the connections that
// they have as long as these stay open, and the next process starts no sooner for an early end: every moment
// in which a host that ends still serves is a moment in which its clients have one.
const (
	newFor      = 400 * time.Millisecond // new connections keep coming for so long at most
	wholeFor    = 700 * time.Millisecond // what comes by then is not held against a host that is killed with it open
	longestMost = 3 * time.Second        // the longest deadline counts as this at most
)

// Margins, ours.
const (
	acceptMargin = 150 * time.Millisecond // after newFor, for connections that wait in the kernel
	killMargin   = 250 * time.Millisecond // before the first moment at which it may be killed, all is answered
	leastTime    = 100 * time.Millisecond // a request that has less left is not worth taking
)

// Phase is what holds at a moment.
type Phase struct {
	Accept bool // new connections are taken
	// Serve: connections stay open, also where places are short: a client that loses its own finds no other. If
	// not, each ends with its answer, and idle ones at once.
	Serve  bool
	Within time.Duration // a request taken now must be answered by then, from the signal on; 0: by its own time
	// Shut: all that was taken has its answer. What is half read is refused, and nothing that comes now is read:
	// it would be open when the process ends.
	Shut bool
	Over bool // the process ends, whatever is open
}

// Plan is the division for one host.
type Plan struct{ kill time.Duration }

// New returns the plan of a host whose clients wait for so long at most.
func New(longest time.Duration) Plan {
	return Plan{min(longest, longestMost) + wholeFor}
}

// At is the phase so long after the signal.
func (p Plan) At(t time.Duration) Phase {
	by := p.kill - killMargin
	ph := Phase{Accept: t < newFor+acceptMargin, Serve: t < by-leastTime, Shut: t >= by, Over: t >= by+killMargin/2}
	if t >= wholeFor-killMargin { // before, its own time ends by then
		ph.Within = by
	}
	return ph
}
