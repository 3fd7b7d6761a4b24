// Package limits divides the descriptors and the memory of a process among its parts, and decides which client
// connection is closed when they run short. It does no I/O: internal/live and internal/front/http apply the limits
// before they accept, dial or buffer.
package limits

import "time"

// The division of descriptors. Clients need at most a third of them for requests; their share is larger to leave room for
// connections without a request.
const (
	reservedDescriptors = 28   // standard streams, event loops, listener, discovery, and a reserve
	clientsFraction     = 0.58 // of the remaining descriptors
	nodesFraction       = 0.34 // the rest is for sockets that are moved between owners
)

// The division of the memory that is left for serving. What is not given out here is for connections, and for the garbage
// between two collections.
const (
	requestsFraction = 0.16 // requests without an answer
	answersFraction  = 0.08 // answers from nodes
	unsentFraction   = 0.08 // answers that clients have not taken
	listsFraction    = 0.30 // the node list, which few deployments fill
	namesFraction    = 0.10 // what is remembered by the names that clients give
	idsFraction      = 0.07 // ids of requests that have ended
)

// What a host needs in any case.
const (
	reserveFraction = 0.15    // of the limit: for what the runtime does not count, and for what it takes beyond its limit
	leastHeap       = 0.3     // of the limit: collecting for less would take most of the processor
	leastNames      = 1 << 10 // volumes of usual clients at a time
	leastIDs        = 6 << 10 // requests in the 6 s for which an id is remembered, at several times the usual rate
	leastRequests   = 64      // open at a time
	leastListBytes  = 5 << 20 // the 3,200 nodes of the largest fleet
	messageReserve  = 3 << 20 // of messages, beside their limits: one that grows, and one answer that is passed on
)

// Memory is the memory of a process at a time.
type Memory struct {
	Limit    int64 // over this resident size the process is killed
	Resident int64 // the present resident size, with the pages of the program's file
	Runtime  int64 // the part of it that the Go runtime counts against its own limit
	Messages int64 // the part of it that messages take outside of the Go heap
}

// Uncounted returns what neither the Go runtime nor messages count, such as the pages of the program's file.
func (m Memory) Uncounted() int64 { return m.Resident - m.Runtime - m.Messages }

// FreeBytes returns the memory for the Go runtime and for messages. What neither of them counts has to
// find room beside it.
func (m Memory) FreeBytes() int64 {
	reserve := int64(reserveFraction * float64(m.Limit))
	return max(int64(leastHeap*float64(m.Limit)), m.Limit-m.Uncounted()-reserve)
}

// HeapBytes returns the limit for the Go runtime beside messages of the given size.
func (m Memory) HeapBytes(messages int64) int64 {
	return max(int64(leastHeap*float64(m.Limit)), m.FreeBytes()-messages)
}

// GCPercent returns how much a heap may grow between two collections, in percent. Where little is free, it is half of the
// usual: the limit of the runtime is soft, and garbage of long messages would pass it before a collection ends.
func (m Memory) GCPercent() int {
	const (
		usual, tight = 100, 50
		tightBelow   = 32 << 20 // bytes free
	)
	if m.FreeBytes()-m.Runtime < tightBelow {
		return tight
	}
	return usual
}

// Split is a division of the resources of a process.
type Split struct {
	ClientConns  int   // connections from clients
	NodeConns    int   // connections to nodes
	RequestBytes int64 // bytes of requests without an answer
	AnswerBytes  int64 // bytes of answers from nodes that have not been passed on
	UnsentBytes  int64 // bytes of answers that clients have not taken
	MessageBytes int64 // bytes of all messages outside of the Go heap
	ListBytes    int64 // bytes of the node list
	MaxRequests  int   // maximum of open requests
	MaxNames     int   // see control.Settings
	MaxIDs       int   // see requestid.NewTracker
}

// ItemSizes are the bytes that one item of each kind takes that is counted by number.
type ItemSizes struct{ Name, ID int }

// Divide divides the descriptors, and the memory that is left at the start, before the host serves.
func Divide(descriptors int, memory Memory, sizes ItemSizes) Split {
	conns := max(8, descriptors-reservedDescriptors)
	free := max(1, memory.FreeBytes()-memory.Runtime-messageReserve)
	part := func(fraction float64) int64 { return int64(fraction * float64(free)) }
	messages := part(requestsFraction) + part(answersFraction) + part(unsentFraction) + messageReserve
	return Split{
		ClientConns:  max(2, int(clientsFraction*float64(conns))),
		NodeConns:    max(2, int(nodesFraction*float64(conns))),
		RequestBytes: part(requestsFraction),
		AnswerBytes:  part(answersFraction),
		UnsentBytes:  part(unsentFraction),
		MessageBytes: messages,
		ListBytes:    max(leastListBytes, part(listsFraction)),
		MaxRequests:  max(leastRequests, int(part(requestsFraction)/RequestOverhead)),
		MaxNames:     max(leastNames, int(part(namesFraction))/sizes.Name),
		MaxIDs:       max(leastIDs, int(part(idsFraction))/sizes.ID),
	}
}

// RequestOverhead is what a request takes in all parts of the process, without its target and its body.
const RequestOverhead = 2 << 10

// MemoryRank orders connections when memory is short: the one with the highest rank has to give up what it holds. It grows
// with the bytes and with the time for which they have been held. A usual client completes even a large request soon; one
// that writes slowly, or stops in the middle, holds less for long.
func MemoryRank(bytes int, age time.Duration) float64 {
	const leastAge = 10 * time.Millisecond // so that new ones are compared by their bytes
	return float64(bytes) * max(age, leastAge).Seconds()
}

// Room returns how much of a limit may be taken when n bytes more are. A part of it is for short messages, so that a few long
// ones do not keep all others out.
func Room(limit int64, n int) int64 {
	const (
		shortMessage = 8 << 10 // a usual request with its overhead
		forShort     = 4       // one part of the limit
	)
	if n > shortMessage {
		return limit - limit/forShort
	}
	return limit
}

// RetryDelay is the retry delay given to a client that is refused for lack of room.
const RetryDelay = 500 * time.Millisecond

// Conn is the state of a client connection.
type Conn struct {
	Open           bool          // it has an open request
	WritingAnswer  bool          // its last answer has not been written completely
	Closing        bool          // it is being closed and waits for the other side to close
	HasRequested   bool          // it has sent a complete request before
	PartialRequest bool          // a request has been received in part
	Opened         time.Duration // when it was accepted
	Since          time.Duration // when it entered this state
}

// The time limits of connections without an open request.
const (
	// firstRequestTimeout is the time from accepting a connection to its first complete request. It guards against
	// clients that open connections and send nothing or part of a request: the platform expects an error or a close
	// within 3 s.
	firstRequestTimeout = 2200 * time.Millisecond
	// requestTimeout is the time to receive a later request completely.
	requestTimeout = 2 * time.Second
	// idleTimeout is for a connection between requests while there is room, shortIdleTimeout above busyOccupancy.
	idleTimeout      = 20 * time.Second
	shortIdleTimeout = 2 * time.Second
	// answerTimeout is the time to write an answer completely. It guards against clients that do not read.
	answerTimeout = 5 * time.Second
	// silentTimeout is for a connection that has sent nothing, while there is no room: clients send as soon as they
	// connect.
	silentTimeout = 300 * time.Millisecond
	// shortLingerTimeout is for a connection that is being closed, while there is no room: by then its client has
	// read its answer.
	shortLingerTimeout = 100 * time.Millisecond
	keepAliveOccupancy = 0.6  // part of the capacity in use from which a connection closes after its answer
	busyOccupancy      = 0.75 // part of the capacity in use from which shortIdleTimeout applies
)

// Decision is the decision about a connection.
type Decision int

// The decisions.
const (
	KeepOpen   Decision = iota // keep it open
	Close                      // close it
	RejectLate                 // answer that the request did not arrive in time, then close it
)

// Decide decides whether a connection stays open while used of capacity connections exist.
func Decide(now time.Duration, c Conn, used, capacity int) Decision {
	age := now - c.Since
	switch {
	case c.Open || c.Closing:
		return KeepOpen
	case c.WritingAnswer && age >= answerTimeout:
		return Close
	case c.WritingAnswer:
		return KeepOpen
	case c.PartialRequest && !c.HasRequested && now-c.Opened >= firstRequestTimeout, c.PartialRequest && c.HasRequested && age >= requestTimeout:
		return RejectLate
	case c.PartialRequest:
		return KeepOpen
	case !c.HasRequested && age >= firstRequestTimeout:
		return Close
	case c.HasRequested && (age >= idleTimeout || age >= shortIdleTimeout && float64(used) >= busyOccupancy*float64(capacity)):
		return Close
	case !c.HasRequested && used >= capacity && age >= silentTimeout:
		return Close
	}
	return KeepOpen
}

// KeepAlive reports whether a connection stays open after an answer while used of capacity connections exist. It guards
// against clients that send one request and stay connected: they would hold the places of active clients, and
// detecting them takes longer than opening a new connection. A client that is told of the close with the answer sends
// nothing more on the connection. The cost is that clients reconnect for each request while places are short.
func KeepAlive(used, capacity int) bool { return float64(used) < keepAliveOccupancy*float64(capacity) }

// Evictions returns how many connections are evicted at a time when all places are in use.
func Evictions(capacity int) int {
	const oneOf = 16
	return max(1, capacity/oneOf)
}

// EvictionRank orders connections for eviction when a new client connects and Decide frees no place: the highest rank
// is closed first. may is false for a connection that must not be closed, such as one with an open request. Connections
// that are being closed rank above those that have sent nothing, these above those between requests, and these above
// those with part of a first request.
func EvictionRank(now time.Duration, c Conn) (rank float64, may bool) {
	age := min(0.99, max(0, (now-c.Since).Seconds()/60))
	switch {
	case c.Closing:
		return 4 + age, now-c.Since >= shortLingerTimeout
	case c.Open || c.WritingAnswer || c.PartialRequest && c.HasRequested:
		return 0, false
	case c.HasRequested && now-c.Since < shortIdleTimeout/8, !c.HasRequested && now-c.Opened < silentTimeout:
		return 0, false
	case !c.HasRequested && !c.PartialRequest:
		return 3 + age, true
	case c.PartialRequest:
		return 1 + age, true
	}
	return 2 + age, true
}
