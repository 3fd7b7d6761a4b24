package http1

// Message is what of a client's request a node gets unchanged.
type Message struct {
	Method, Target string
	ID             string // Request-Id
	Key            string // Idempotency-Key; empty: none
	Body           []byte
}
