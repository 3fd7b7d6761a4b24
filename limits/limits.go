// Package limits divides the descriptors and the memory of a process among its parts, and decides which client
// connection is closed when they run short. It does no I/O: internal/live and internal/front/http apply the limits
// before they accept, dial or buffer.
package limits

import "time"

// The division of descriptors and memory. Clients need at most a third of the descriptors for requests; their share
// is larger to leave room for connections without a request.
const (
	reservedDescriptors = 28   // standard streams, event loops, listener, discovery, and a reserve
	clientsFraction     = 0.58 // of the remaining descriptors
	nodesFraction       = 0.34 // the rest is for sockets that are moved between owners
	heapFraction        = 0.55 // of the memory; garbage collection costs more the closer the heap comes to it
	bufferFraction      = 0.12 // of the memory, for requests, and as much for incomplete answers
	requestBytes        = 8 << 10
)

// Split is a division of the resources of a process.
type Split struct {
	ClientConns  int   // connections from clients
	NodeConns    int   // connections to nodes
	HeapBytes    int64 // soft memory limit of the Go runtime
	RequestBytes int64 // buffered bytes of requests without an answer
	AnswerBytes  int64 // buffered bytes of incomplete answers from nodes
	MaxRequests  int   // maximum of open requests
}

// Divide divides the descriptors and bytes of memory that a process may use.
func Divide(descriptors int, memory int64) Split {
	free := max(8, descriptors-reservedDescriptors)
	return Split{
		ClientConns:  max(2, int(clientsFraction*float64(free))),
		NodeConns:    max(2, int(nodesFraction*float64(free))),
		HeapBytes:    int64(heapFraction * float64(memory)),
		RequestBytes: int64(bufferFraction * float64(memory)),
		AnswerBytes:  int64(bufferFraction * float64(memory)),
		MaxRequests:  max(64, int(bufferFraction*float64(memory)/requestBytes)),
	}
}

// EvictForRequest reports whether a connection that holds heldBytes of an incomplete request is closed in favour of a
// request of newBytes, when there is no room for both. It guards against clients that begin hundreds of large requests.
func EvictForRequest(heldBytes, newBytes int) bool { return heldBytes > newBytes }

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
