package http1

// Message is the part of a client's request that is forwarded to a node unchanged.
type Message struct {
	Method, Target string
	ID             string // Request-Id
	Key            string // Idempotency-Key; empty: none
	Body           []byte
}
