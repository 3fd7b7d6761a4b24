package http

import (
	"strings"
	"testing"

	"eiderhold/internal/loop"
)

// largeAnswer is more than the kernel takes at once.
var largeAnswer = strings.Repeat("x", 8<<20)

// flushing answers a request with largeAnswer and returns its client once the front has begun to write the answer.
func (r *harness) flushing() *client {
	r.t.Helper()
	c := r.dial()
	c.send(get(id(1)))
	(<-r.host.submitted).Answer(served(largeAnswer))
	r.onLoopUntil(func() bool {
		for k := range r.conns {
			if k.flushing {
				return true
			}
		}
		return false
	})
	return c
}

// onLoopUntil runs f on the loop until it returns true.
func (r *harness) onLoopUntil(f func() bool) {
	for done := false; !done; {
		got := make(chan bool)
		r.opt.Loop.Post(func() { got <- f() })
		done = <-got
	}
}

// TestRequestAfterFlush guards against a request that waits for the front's sweep, since the answer before it was not
// taken by the kernel at once: a copy of the request that came later was passed on first, and its owner was refused.
func TestRequestAfterFlush(t *testing.T) {
	r := newHarness(t, 10)
	owner, bad := r.flushing(), r.dial()
	if s, body, _ := owner.answer(); s != 200 || len(body) != len(largeAnswer) {
		t.Fatalf("%d, %d bytes", s, len(body))
	}
	owner.send(put(ownerID) + plainBody)
	r.onLoopUntil(func() bool { // until the request has been read
		for k := range r.conns {
			if k.hadRequest {
				return (k.buf.Len() > 0 || k.req != nil) && !loop.HasUnread(k.g)
			}
		}
		return false
	})
	bad.send(copies["unchanged"])
	(<-r.host.submitted).Answer(served("mine"))
	bad.expect(409)
	if s, body, _ := owner.answer(); s != 200 || body != "mine" {
		t.Fatalf("the owner: %d %q", s, body)
	}
}

// TestTooMuchBehindFlush guards against a connection that stays open and reads nothing, since too much was sent behind
// an answer that the kernel had not taken at once.
func TestTooMuchBehindFlush(t *testing.T) {
	r := newHarness(t, 10)
	c := r.flushing()
	go c.send(strings.Repeat("x", maxBufferedBytes+1)) // no more, so that the graceful close has nothing left to discard
	r.onLoopUntil(func() bool {
		for k := range r.conns {
			return k.discarding
		}
		return false
	})
	if s, body, _ := c.answer(); s != 200 || len(body) != len(largeAnswer) {
		t.Fatalf("%d, %d bytes", s, len(body))
	}
	c.waitClosed()
	c.Close()
	r.waitEmpty()
}
