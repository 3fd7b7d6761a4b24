// Package limits decides how one process's descriptors and memory are split among those who need them,
// and which client's connection goes when they run short. It owns nothing and does no I/O: who calls it
// keeps to the split before it accepts, dials or buffers.
package limits

import "time"

// The parts. A third of the descriptors is what clients hold for requests at most; what is over it at the
// door is for those who hold connections and ask nothing.
const (
	fixed       = 28   // descriptors of the process itself: standard ones, loops, listener, discovery, spare
	clientsPart = 0.58 // of the descriptors that are left
	nodesPart   = 0.34 // the rest is for sockets that are handed from one owner to another
	heapPart    = 0.55 // of the memory: the collector works the harder the nearer it comes to it
	bytesPart   = 0.12 // of the memory: bytes of requests held, and as much of answers that are not whole
	requestSize = 8 << 10
)

// Split is who may hold how much.
type Split struct {
	Clients  int   // connections of clients
	Nodes    int   // connections to nodes
	Heap     int64 // bytes, the collector's soft limit
	Bytes    int64 // bytes of requests held, not yet answered
	Answers  int64 // bytes held of nodes' answers that are not whole
	Requests int   // open at a time
}

// Divide splits what a process may hold.
func Divide(descriptors int, memory int64) Split {
	free := max(8, descriptors-fixed)
	return Split{
		Clients:  max(2, int(clientsPart*float64(free))),
		Nodes:    max(2, int(nodesPart*float64(free))),
		Heap:     int64(heapPart * float64(memory)),
		Bytes:    int64(bytesPart * float64(memory)),
		Answers:  int64(bytesPart * float64(memory)),
		Requests: max(64, int(bytesPart*float64(memory)/requestSize)),
	}
}

// Yields says that who holds so many bytes of a request that is not whole goes, in the place of a newcomer with
// so many, where there is no room for both. Guards against clients that begin large requests by the hundred.
func Yields(holds, comes int) bool { return holds > comes }

// Again is when a client may come back that was turned away for want of room.
const Again = 500 * time.Millisecond

// Conn is what is known of a client's connection.
type Conn struct {
	Open   bool          // a request of it is open
	Taking bool          // its last answer is not yet out whole
	Ending bool          // it is being closed: it waits for the other side's end
	Asked  bool          // it has brought a whole request before
	Begun  bool          // a request has begun to come and is not whole
	Opened time.Duration // when it came
	Since  time.Duration // since when it is in this state
}

// How long a connection may stand without a request that is open.
const (
	// beginWithin is for all up to the first whole request. Guards against those who open connections and
	// say nothing, or half of something: within 3 s they are owed an error or a close.
	beginWithin = 2200 * time.Millisecond
	// wholeWithin is for a further request that has begun to come.
	wholeWithin = 2 * time.Second
	// idleWithin is for a connection between requests while there is room; shortWithin while there is little.
	idleWithin  = 20 * time.Second
	shortWithin = 2 * time.Second
	// takeWithin is for a client to take an answer. Guards against clients that ask and do not read.
	takeWithin = 5 * time.Second
	// silentWithin is for one that never said anything while there is none: a client sends as it connects.
	silentWithin = 300 * time.Millisecond
	// lingerShort is for one that is being closed while there is no room: by then its client has read its answer.
	lingerShort = 100 * time.Millisecond
	keepRoom    = 0.6  // part of the places taken from which on a connection ends with its answer
	littleRoom  = 0.75 // part of the places taken from which on there is little room
)

// Verdict says what becomes of a connection.
type Verdict int

// The verdicts.
const (
	Stay Verdict = iota
	Leave
	Late // its request did not come in time: it is told so, then closed
)

// Judge says whether a connection stays, of so many of so many places taken.
func Judge(now time.Duration, c Conn, taken, places int) Verdict {
	age := now - c.Since
	switch {
	case c.Open || c.Ending:
		return Stay
	case c.Taking && age >= takeWithin:
		return Leave
	case c.Taking:
		return Stay
	case c.Begun && !c.Asked && now-c.Opened >= beginWithin, c.Begun && c.Asked && age >= wholeWithin:
		return Late
	case c.Begun:
		return Stay
	case !c.Asked && age >= beginWithin:
		return Leave
	case c.Asked && (age >= idleWithin || age >= shortWithin && float64(taken) >= littleRoom*float64(places)):
		return Leave
	case !c.Asked && taken >= places && age >= silentWithin:
		return Leave
	}
	return Stay
}

// Keep says whether a connection goes on after an answer, of so many of so many places taken. Guards against
// clients that ask once and stay: they would hold the places of those that ask, and to find out who stays
// takes longer than a new connection. Who is told with the answer sends nothing into a connection that ends.
// Harm: while there is little room, clients connect anew for each request.
func Keep(taken, places int) bool { return float64(taken) < keepRoom*float64(places) }

// Rank orders connections where none of the above makes room and one more client is at the door: the
// highest goes first. Those whose request is open have none. Those that are being closed go before those that came
// and said nothing, these before those between requests, and these before those half through a first request.
func Rank(now time.Duration, c Conn) (rank float64, may bool) {
	age := min(0.99, max(0, (now-c.Since).Seconds()/60))
	switch {
	case c.Ending:
		return 4 + age, now-c.Since >= lingerShort
	case c.Open || c.Taking || c.Begun && c.Asked:
		return 0, false
	case c.Asked && now-c.Since < shortWithin/8, !c.Asked && now-c.Opened < silentWithin:
		return 0, false
	case !c.Asked && !c.Begun:
		return 3 + age, true
	case c.Begun:
		return 1 + age, true
	}
	return 2 + age, true
}
