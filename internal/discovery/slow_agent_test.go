package discovery

import (
	"net"
	"sync/atomic"
	"testing"

	"eiderhold/internal/standin"
	"eiderhold/membership"
)

// silentAgent returns an agent that leaves its answers to the test.
func silentAgent(t *testing.T) *standin.Agent {
	t.Helper()
	return newAgent(t, "", func(standin.Watch) {})
}

// answer sends the first object of a watch.
func answer(w standin.Watch, rev uint64, targets ...string) {
	w.Head()
	w.Line(standin.List(rev, false, targets...))
}

// expectClosed waits until the feed has closed a connection.
func expectClosed(t *testing.T, w standin.Watch) {
	t.Helper()
	if n, err := w.Conn.Read(make([]byte, 1)); err == nil {
		t.Fatalf("%d bytes, expected the feed to close the connection", n)
	}
}

// expectOpen checks that the feed has not closed a connection.
func expectOpen(t *testing.T, w standin.Watch) {
	t.Helper()
	closed := make(chan bool, 1)
	raw, err := w.Conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { closed <- isClosed(fd); return true })
	}
	if err != nil || <-closed {
		t.Fatalf("the feed gave up its request before the answer (%v)", err)
	}
}

// expectAnswerApplied answers a request, which must still be open, with a node that drains, and checks that the host
// gets the known list and then the change.
func expectAnswerApplied(t *testing.T, h *fakeHost, w standin.Watch) {
	t.Helper()
	expectOpen(t, w)
	answer(w, 8, target("s-1", "leaving"))
	expect(t, h, "cached s-1=0")
	expect(t, h, "delta s-1=1")
}

// TestSlowAgentIsHeard guards against a feed that gives up each request before a slow agent answers it, and so keeps a
// stale list: the agent answers the first request only after several others have come.
func TestSlowAgentIsHeard(t *testing.T) {
	for _, others := range []int{0, 1, 2, 4} {
		a := silentAgent(t)
		f, h, _ := startFeed(t, a.Addr(), shortTiming, standin.List(7, true, target("s-1", "active")))
		first, later := a.Next(), []standin.Watch{}
		for range others {
			later = append(later, a.Next())
		}
		expectAnswerApplied(t, h, first)
		for _, w := range later {
			expectClosed(t, w)
		}
		if s := f.State(); !s.Watching || s.Rev != 8 || s.Requests < uint64(others+1) {
			t.Fatalf("%+v", s)
		}
		first.Line(standin.List(9, false, target("s-1", "left")))
		expect(t, h, "delta s-1=2")
	}
}

// TestSlowWholeListIsHeard checks the same for the first request of a feed without a known list.
func TestSlowWholeListIsHeard(t *testing.T) {
	a := silentAgent(t)
	_, h, _ := startFeed(t, a.Addr(), shortTiming, "")
	first, second := a.Next(), a.Next()
	if !first.Whole || !second.Whole {
		t.Fatalf("%+v, %+v", first, second)
	}
	expectOpen(t, first)
	first.Head()
	first.Line(standin.List(7, true, target("s-1", "active")))
	expect(t, h, "full s-1=0")
	expectClosed(t, second)
	for w := a.Next(); w.Whole; w = a.Next() { // requests that were sent before
		expectClosed(t, w)
	}
}

// TestSlowAgentAfterLostRequests checks that a slow agent is heard although the first requests are never answered.
func TestSlowAgentAfterLostRequests(t *testing.T) {
	a := silentAgent(t)
	_, h, _ := startFeed(t, a.Addr(), shortTiming, standin.List(7, true, target("s-1", "active")))
	a.Next()
	a.Next()
	third := a.Next()
	a.Next()
	expectAnswerApplied(t, h, third)
}

// TestRefusedRequestsKeepOthers checks that a request is still answered after later ones were refused.
func TestRefusedRequestsKeepOthers(t *testing.T) {
	var n atomic.Int32
	a := newAgent(t, "", func(w standin.Watch) {
		if n.Add(1) > 1 {
			w.Conn.Close()
		}
	})
	_, h, _ := startFeed(t, a.Addr(), shortTiming, standin.List(7, true, target("s-1", "active")))
	first := a.Next()
	for range 3 {
		a.Next()
	}
	expectAnswerApplied(t, h, first)
}

// TestAddressChangeBeforeAnswer checks that the answer to a request at a former address is applied, and that the watch
// at the new address, once it has answered, replaces that one.
func TestAddressChangeBeforeAnswer(t *testing.T) {
	a, b := silentAgent(t), silentAgent(t)
	f, h, _ := startFeed(t, a.Addr(), membership.DefaultTiming, standin.List(7, true, target("s-1", "active")))
	former := a.Next()
	f.SetAddress(b.Addr())
	newer := b.Next()
	expectAnswerApplied(t, h, former)
	expectOpen(t, newer)
	answer(newer, 9, target("s-2", "active"))
	expect(t, h, "delta s-2=0")
	expectClosed(t, former)
}
