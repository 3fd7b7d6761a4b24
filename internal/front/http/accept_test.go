package http

import "testing"

// TestAcceptsWhileBusy guards against clients that wait in the kernel's queue behind many others, each for a turn of its
// own of a busy loop: all that connect during one turn are taken in the next.
func TestAcceptsWhileBusy(t *testing.T) {
	r := newHarness(t, 100)
	resume := r.pause()
	var clients []*client
	for range maxAdding {
		clients = append(clients, r.dial())
	}
	for used := 0; used < maxAdding; used, _ = r.usage() { // ends while the loop is paused
	}
	resume()
	for _, c := range clients {
		c.send(healthRequest)
		c.expect(200)
	}
}
