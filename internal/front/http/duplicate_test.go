package http

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/internal/standin"
	"eiderhold/requestid"
)

const ownerID = "00000000000000ab"

// put returns the head of a write with an id, up to the fields that frame its body.
func put(id string) string {
	return "PUT " + path + " HTTP/1.1\r\nHost: o\r\nRequest-Id: " + id + "\r\n" + strings.Replace(good, "read", "write", 1) + "Idempotency-Key: k\r\n"
}

const (
	plainBody   = "Content-Length: 11\r\n\r\nhello world"
	chunkedBody = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nTrailer: y\r\n\r\n"
)

// copies are requests with the owner's id, each a copy of its write in another form.
var copies = map[string]string{
	"unchanged":            put(ownerID) + plainBody,
	"in chunks":            put(ownerID) + chunkedBody,
	"digits in capitals":   put(strings.ToUpper(ownerID)) + plainBody,
	"behind an empty line": "\r\n" + put(ownerID) + plainBody,
	"field in capitals":    strings.Replace(put(ownerID), "Request-Id: ", "REQUEST-ID:\t", 1) + plainBody,
	"a read":               get(ownerID),
}

// ends are the ways in which the owner's request ends.
var ends = map[string]func(r *harness, owner *client, q *host.Request){
	"served": func(_ *harness, owner *client, q *host.Request) { q.Answer(served("mine")); owner.expect(200) },
	"refused": func(_ *harness, owner *client, q *host.Request) {
		q.Answer(host.Answer{Kind: host.Refused})
		owner.expect(503)
	},
	"failed": func(_ *harness, owner *client, q *host.Request) {
		q.Answer(host.Answer{Kind: host.Failed})
		owner.expect(504)
	},
	"left":  func(r *harness, owner *client, _ *host.Request) { owner.Close(); <-r.host.left },
	"reset": func(r *harness, owner *client, _ *host.Request) { standin.Reset(owner.Conn); <-r.host.left },
}

func (c *client) expect(status int) {
	c.t.Helper()
	if s, body, _ := c.answer(); s != status {
		c.t.Fatalf("status %d %q, expected %d", s, body, status)
	}
}

// sendRead sends text and waits until the front has read all of it.
func (r *harness) sendRead(c *client, text string) {
	r.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
	for read := false; !read; {
		got := make(chan bool)
		r.opt.Loop.Post(func() {
			for k := range r.conns {
				if k.g.RemoteAddr().String() == c.LocalAddr().String() {
					got <- (k.bufferedBytes() > 0 || k.chunks != nil || k.req != nil) && !loop.HasUnread(k.g)
					return
				}
			}
			got <- false
		})
		read = <-got
	}
}

// open sends the owner's request on a new connection.
func (r *harness) open() (*client, *host.Request) {
	r.t.Helper()
	owner := r.dial()
	owner.send(put(ownerID) + plainBody)
	q := <-r.host.submitted
	if q.Message.ID != ownerID {
		r.t.Fatalf("submitted %s", q.Message.ID)
	}
	return owner, q
}

// expectDuplicate checks that a copy gets an error and does not reach the host.
func (r *harness) expectDuplicate(bad *client) {
	r.t.Helper()
	status := make(chan int, 1)
	go func() {
		s, _, _ := bad.answer()
		status <- s
	}()
	select {
	case q := <-r.host.submitted:
		r.t.Fatalf("the host got the copy, %s", q.Message.ID)
	case s := <-status:
		if s != 409 || len(r.host.submitted) != 0 {
			r.t.Fatalf("status %d, expected 409", s)
		}
	}
}

// eachCopy runs a test for each form of the copy and each end of the owner's request.
func eachCopy(t *testing.T, test func(r *harness, bad *client, text string, end func(*harness, *client, *host.Request))) {
	for form, text := range copies {
		for name, end := range ends {
			t.Run(form+", "+name, func(t *testing.T) {
				r := newHarness(t, 10)
				test(r, r.dial(), text, end)
			})
		}
	}
}

// TestDuplicateBehindRequests guards against the fault of review/7: a copy of an open request was forwarded if the
// owner's request had ended by the time that the requests in front of the copy were answered.
func TestDuplicateBehindRequests(t *testing.T) {
	const ahead = 10
	eachCopy(t, func(r *harness, bad *client, text string, end func(*harness, *client, *host.Request)) {
		owner, q := r.open()
		reads := ""
		for i := range ahead {
			reads += get(id(i))
		}
		r.sendRead(bad, reads+text)
		end(r, owner, q)
		for range ahead {
			(<-r.host.submitted).Answer(served("x"))
			bad.expect(200)
		}
		r.expectDuplicate(bad)
	})
}

// TestDuplicateBeforeOwner guards against a copy that arrives before the owner's request, waits behind another request
// of its client until the owner's has ended, and is forwarded then.
func TestDuplicateBeforeOwner(t *testing.T) {
	eachCopy(t, func(r *harness, bad *client, text string, end func(*harness, *client, *host.Request)) {
		r.sendRead(bad, get(id(1))+text)
		first := <-r.host.submitted
		owner, q := r.open()
		end(r, owner, q)
		first.Answer(served("x"))
		bad.expect(200)
		r.expectDuplicate(bad)
	})
}

// TestDuplicateInPieces guards against a copy that begins to arrive before the owner's request, or while it is open, is
// complete after its end, and is forwarded then. It is cut at each byte from the middle of its id on.
func TestDuplicateInPieces(t *testing.T) {
	for form, text := range copies {
		t.Run(form, func(t *testing.T) {
			step := 1
			if testing.Short() {
				step = 17
			}
			r := newHarness(t, 10)
			for cut := strings.Index(strings.ToLower(text), ownerID) + 8; cut < len(text); cut += step {
				number := fmt.Sprintf("ab%014x", cut)
				text := strings.Replace(strings.Replace(text, ownerID, number, 1), strings.ToUpper(ownerID), strings.ToUpper(number), 1)
				bad, owner := r.dial(), r.dial()
				before := cut%2 == 0
				if before {
					r.sendRead(bad, text[:cut])
				}
				owner.send(put(number) + plainBody)
				q := <-r.host.submitted
				if !before {
					r.sendRead(bad, text[:cut])
				}
				q.Answer(served("mine"))
				owner.expect(200)
				bad.send(text[cut:])
				r.expectDuplicate(bad)
				bad.Close()
				owner.Close()
			}
		})
	}
}

// TestDuplicateAfterEnd guards against a copy that is sent while the owner's request is open and read by the front
// after its end.
func TestDuplicateAfterEnd(t *testing.T) {
	eachCopy(t, func(r *harness, bad *client, text string, end func(*harness, *client, *host.Request)) {
		owner, q := r.open()
		end(r, owner, q)
		bad.send(text)
		r.expectDuplicate(bad)
	})
}

// TestDuplicateInSameTurn guards against a copy that is in the kernel's buffer when the owner's answer is delivered.
func TestDuplicateInSameTurn(t *testing.T) {
	r := newHarness(t, 10)
	bad := r.dial()
	owner, q := r.open()
	done := make(chan bool)
	r.opt.Loop.Post(func() {
		defer close(done)
		for k := range r.conns {
			if k.req == q {
				bad.send(copies["unchanged"])
				for !r.unread() { // blocks the loop until the copy has arrived
				}
				k.deliver(q, served("mine"))
				return
			}
		}
	})
	<-done
	owner.expect(200)
	r.expectDuplicate(bad)
}

// unread reports, on the loop, whether a connection has unread input.
func (r *harness) unread() bool {
	for k := range r.conns {
		if loop.HasUnread(k.g) {
			return true
		}
	}
	return false
}

// TestDuplicateOnSameConnection guards against a second request with the id of an earlier one on its own connection.
func TestDuplicateOnSameConnection(t *testing.T) {
	r := newHarness(t, 10)
	c := r.dial()
	r.sendRead(c, put(ownerID)+plainBody+put(ownerID)+plainBody)
	(<-r.host.submitted).Answer(served("mine"))
	c.expect(200)
	r.expectDuplicate(c)
	c.send(get(id(1)))
	(<-r.host.submitted).Answer(served("x"))
	c.expect(200)
}

// TestDuplicateOfUntaken guards against a copy that is forwarded since the host was full when it got the owner's
// request.
func TestDuplicateOfUntaken(t *testing.T) {
	r := newHarness(t, 10)
	bad, owner := r.dial(), r.dial()
	r.sendRead(bad, get(id(1))+copies["unchanged"])
	first := <-r.host.submitted
	r.host.setFull(true)
	owner.send(put(ownerID) + plainBody)
	owner.expect(503)
	r.host.setFull(false)
	first.Answer(served("x"))
	bad.expect(200)
	r.expectDuplicate(bad)
}

func (h *fakeHost) setFull(full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.full = full
}

// TestRequestCrossesClose checks that a request which the front did not take because it closed the connection is served
// when its client sends it again, under its id, while a copy of it waits behind another client's request.
func TestRequestCrossesClose(t *testing.T) {
	for name, cross := range map[string]func(r *harness, owner *client){
		"unread on an idle connection": func(r *harness, owner *client) {
			owner.send(healthRequest)
			owner.expect(200)
			done := make(chan bool)
			r.opt.Loop.Post(func() {
				defer close(done)
				for k := range r.conns {
					if k.req == nil && k.hadRequest {
						k.finish()
					}
				}
			})
			<-done
			owner.send(put(ownerID) + plainBody)
		},
		"read behind an answer that closes": func(r *harness, owner *client) {
			owner.send(strings.Replace(get(id(2)), "Host: o", "Connection: close", 1))
			q := <-r.host.submitted
			r.sendRead(owner, put(ownerID)+plainBody)
			q.Answer(served("x"))
			owner.expect(200)
		},
		"in part": func(r *harness, owner *client) {
			r.sendRead(owner, put(ownerID)+plainBody[:len(plainBody)-1])
			r.CloseWithoutRequest()
			owner.expect(503)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 20)
			bad, owner := r.dial(), r.dial()
			r.sendRead(bad, get(id(1))+copies["unchanged"])
			first := <-r.host.submitted
			cross(r, owner)
			owner.waitClosed()
			again, q := r.open()
			q.Answer(served("mine"))
			if s, body, _ := again.answer(); s != 200 || body != "mine" {
				t.Fatalf("sent again: %d %q", s, body)
			}
			again.send(put("00000000000000ac") + plainBody) // a retry: the same write and key, a new id
			(<-r.host.submitted).Answer(served("x"))
			again.expect(200)
			first.Answer(served("x"))
			bad.expect(200)
			r.expectDuplicate(bad)
		})
	}
}

// TestSentAgainAfterLoss checks a request whose connection is reset while it is open and which its client sends again on a
// new connection, under its id: it is served unless an attempt had begun, since an id that has run must not run again,
// whatever its class. A copy that waits on a connection from before is refused in any case.
func TestSentAgainAfterLoss(t *testing.T) {
	for _, c := range []struct {
		name, text string
		begun      bool
		status     int
	}{
		{"a read that has not begun", get(ownerID), false, 200},
		{"a read that has begun", get(ownerID), true, 409},
		{"a write that has not begun", put(ownerID) + plainBody, false, 200},
		{"a write that has begun", put(ownerID) + plainBody, true, 409},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, 10)
			bad, owner := r.dial(), r.dial()
			r.sendRead(bad, get(id(1))+c.text)
			first := <-r.host.submitted
			owner.send(c.text)
			q := <-r.host.submitted
			if c.begun {
				q.MarkBegun()
			}
			standin.Reset(owner.Conn)
			<-r.host.left
			again := r.dial()
			again.send(c.text)
			if c.status == 200 {
				(<-r.host.submitted).Answer(served("mine"))
			}
			again.expect(c.status)
			first.Answer(served("x"))
			bad.expect(200)
			r.expectDuplicate(bad)
		})
	}
}

const healthRequest = "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"

// rotate advances the clock by generations of ids and lets the front begin each, without waiting for its sweep.
func (r *harness) rotate(times int) {
	for range times {
		r.host.advance(requestid.Retention)
		done := make(chan bool)
		r.opt.Loop.Post(func() { r.rotateIDs(); close(done) })
		<-done
	}
}

// waitRotation waits until the front's sweep has begun the generation of ids that is due.
func (r *harness) waitRotation() {
	r.t.Helper()
	for due := true; due; {
		got := make(chan bool)
		r.opt.Loop.Post(func() { got <- r.ids.RotationDue(r.host.Now()) })
		due = <-got
	}
}

// TestDuplicateOutlivesItsID guards against a copy that waits behind a request which stays open until the owner's id is
// forgotten: it is discarded, and its connection ends with the answer to the request that was open.
func TestDuplicateOutlivesItsID(t *testing.T) {
	eachCopy(t, func(r *harness, bad *client, text string, end func(*harness, *client, *host.Request)) {
		r.sendRead(bad, get(id(1))+text)
		first := <-r.host.submitted
		owner, q := r.open()
		end(r, owner, q)
		r.rotate(3)
		got := make(chan int)
		r.opt.Loop.Post(func() { got <- r.ids.Ended() })
		if n := <-got; n != 0 {
			r.t.Fatalf("%d ids are remembered", n)
		}
		first.Answer(served("x"))
		if s, _, h := bad.answer(); s != 200 || h.Get("Connection") != "close" {
			r.t.Fatalf("%d %v", s, h)
		}
		bad.waitClosed()
		if len(r.host.submitted) != 0 {
			r.t.Fatal("the host got the copy")
		}
	})
}

// TestPipelinedAcrossRotation checks that requests behind an open one are served if they have not waited for a whole
// generation of ids, and that an id in use for longer than that stays in use.
func TestPipelinedAcrossRotation(t *testing.T) {
	r := newHarness(t, 10)
	owner, q := r.open()
	c := r.dial()
	r.sendRead(c, get(id(1)))
	first := <-r.host.submitted
	r.rotate(3)
	r.sendRead(c, get(id(2))+put(ownerID)+chunkedBody+get(id(3)))
	r.rotate(1)
	first.Answer(served("x"))
	c.expect(200)
	(<-r.host.submitted).Answer(served("x"))
	c.expect(200)
	c.expect(409)
	(<-r.host.submitted).Answer(served("x"))
	c.expect(200)
	q.Answer(served("mine"))
	owner.expect(200)
}

// TestSlowRequestAcrossRotation checks that a request which arrives byte by byte while a generation of ids ends is
// served.
func TestSlowRequestAcrossRotation(t *testing.T) {
	for form, text := range map[string]string{"a length": put(ownerID) + plainBody, "chunks": put(ownerID) + chunkedBody} {
		t.Run(form, func(t *testing.T) {
			r := newHarness(t, 10)
			r.host.advance(requestid.Retention - time.Second)
			c := r.dial()
			for i := range text {
				if i == len(text)/2 {
					r.host.advance(time.Second)
					r.waitRotation()
				}
				c.send(text[i : i+1])
			}
			(<-r.host.submitted).Answer(served("x"))
			c.expect(200)
		})
	}
}

// TestSlowChunksTimeOut guards against a chunked request that is never too late as long as pieces of it arrive: it would
// outlive the ids that were in use when it began.
func TestSlowChunksTimeOut(t *testing.T) {
	const most = 5 * time.Second
	const pause = 100 * time.Millisecond
	r := newHarness(t, 10)
	c := r.dial()
	c.send(healthRequest)
	c.expect(200)
	r.sendRead(c, put(ownerID)+"Transfer-Encoding: chunked\r\n\r\n")
	waited := time.Duration(0)
	for closing := false; !closing; waited += pause {
		if waited > most {
			t.Fatalf("no answer %v after the request began", waited)
		}
		r.host.advance(pause)
		c.send("1\r\nx\r\n")
		r.onLoopUntil(func() bool { return !r.unread() })
		r.on(func(k *conn) {
			r.Front.sweep()
			closing = k.closing
		})
	}
	c.expect(408)
}
