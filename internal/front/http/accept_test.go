package http

import (
	"testing"
	"time"
)

// TestEvictionKeepsUnreadRequests guards against a request that is lost since its connection, idle until it came, is closed
// for the place that it takes.
func TestEvictionKeepsUnreadRequests(t *testing.T) {
	r := newHarness(t, 2)
	r.KeepAlive()
	c := r.dial()
	c.send(healthRequest)
	c.expect(200)
	r.host.advance(time.Second)
	resume := r.pause()
	r.opt.Loop.Post(func() { r.evictIfFull() })
	c.send(get(id(1)))
	for used := 0; used < 2; used, _ = r.usage() { // the place for the next connection is taken
	}
	resume()
	(<-r.host.submitted).Answer(served("x"))
	c.expect(200)
}

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
