package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/standin"
	"eiderhold/membership"
)

const testListBytes = 4 << 20

// fakeHost receives node lists.
type fakeHost struct{ lists chan host.List }

func (h *fakeHost) List(l host.List) { h.lists <- l }
func (h *fakeHost) StartedAt(_ string, wall time.Time) time.Duration {
	return time.Duration(wall.UnixMilli()) * time.Millisecond
}

// next returns the next list as text: its kind and its nodes with their states.
func (h *fakeHost) next() string {
	l := <-h.lists
	s := [...]string{"delta", "full", "cached", "failed"}[l.Kind]
	for _, n := range l.Nodes {
		s += fmt.Sprintf(" %s=%d", n.ID, n.State)
	}
	return s
}

func newAgent(t *testing.T, addr string, greet func(standin.Watch)) *standin.Agent {
	t.Helper()
	a, err := standin.NewAgentWith(addr, greet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// shortTiming is the default timing scaled down, to keep tests fast.
var shortTiming = membership.Timing{SilenceTimeout: 250 * time.Millisecond, TrialInterval: 85 * time.Millisecond, TrialTimeout: 595 * time.Millisecond,
	OldestTrialTimeout: 3 * time.Second, RefusedTimeout: 350 * time.Millisecond, MinRetryDelay: 2 * time.Millisecond, MaxRetryDelay: 25 * time.Millisecond, KnownListDelay: 150 * time.Millisecond}

// startFeed starts a feed with the given timing and, if not empty, a known list.
func startFeed(t *testing.T, addr string, timing membership.Timing, known string) (*Feed, *fakeHost, *standin.Log) {
	t.Helper()
	h, log := &fakeHost{make(chan host.List, 100)}, &standin.Log{}
	f := New(addr, testListBytes, h, slog.New(slog.NewTextHandler(log, nil)))
	f.timing = timing
	if known != "" {
		if err := f.SetKnownList([]byte(known)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan bool)
	go func() { f.Run(ctx); close(stopped) }()
	t.Cleanup(func() { cancel(); <-stopped })
	return f, h, log
}

func target(uid, state string) string { return standin.Target(uid, "127.0.0.1:1", 3, state, 0) }

func expect(t *testing.T, h *fakeHost, want string) {
	t.Helper()
	if got := h.next(); got != want {
		t.Fatalf("list %q, expected %q", got, want)
	}
}

// TestWatch checks that a feed without a known list requests the whole list and then a watch from its revision, that
// changes are delivered, and that the watch continues from the last revision after the connection is cut.
func TestWatch(t *testing.T) {
	a := newAgent(t, "", standin.DefaultGreeting)
	f, h, _ := startFeed(t, a.Addr(), membership.DefaultTiming, "")
	w := a.Next()
	if !w.Whole {
		t.Fatalf("a watch from %d", w.From)
	}
	w.Line(standin.List(41, true, target("s-1", "active"), standin.Target("s-2", "127.0.0.1:2", 4, "leaving", 5000)))
	l := <-h.lists
	if l.Kind != control.ListFull || len(l.Nodes) != 2 || l.Nodes[0].ID != "s-1" || l.Nodes[0].Shard != 3 || l.Nodes[0].Addr != "127.0.0.1:1" ||
		l.Nodes[1].State != control.Draining || l.Nodes[1].StartedAt != 5*time.Second {
		t.Fatalf("%+v", l)
	}
	w = a.Next()
	if w.Whole || w.From != 41 {
		t.Fatalf("%+v", w)
	}
	w.Line("")
	w.Line(standin.List(42, false, target("s-2", "left")))
	expect(t, h, "delta s-2=2")
	w.Conn.Close()
	w = a.Next()
	if w.From != 42 {
		t.Fatalf("the watch continued from %d, expected 42", w.From)
	}
	w.Line(standin.List(50, true, target("s-1", "active"))) // the whole list instead of changes
	expect(t, h, "full s-1=0")
	if s := f.State(); s.Nodes != 1 || s.Rev != 50 || !s.Watching {
		t.Fatalf("%+v", s)
	}
}

// TestOlderRevision checks that changes of an older revision are not applied, and that the feed then requests the
// whole list and a watch from its revision.
func TestOlderRevision(t *testing.T) {
	a := newAgent(t, "", standin.DefaultGreeting)
	_, h, _ := startFeed(t, a.Addr(), membership.DefaultTiming, standin.List(7, true, target("s-1", "active")))
	w := a.Next()
	expect(t, h, "cached s-1=0")
	w.Line(standin.List(6, false, target("s-1", "left")))
	again := a.Next()
	if !again.Whole {
		t.Fatalf("a watch from %d was requested, expected the whole list", again.From)
	}
	again.Line(standin.List(3, true, target("s-9", "active")))
	expect(t, h, "full s-9=0")
	if last := a.Next(); last.Whole || last.From != 3 {
		t.Fatalf("%+v", last)
	}
}

// TestFraming checks that lists are read whether they arrive indented, several at once, without line ends, or in
// pieces of any size.
func TestFraming(t *testing.T) {
	indented := "{\n  \"rev\": 8,\n  \"all\": false,\n  \"targets\": [\n    " + target("s-1", "leaving") + "\n  ]\n}\n"
	for name, send := range map[string]func(standin.Watch){
		"indented": func(w standin.Watch) { w.Chunk(indented) },
		"byte by byte": func(w standin.Watch) {
			for i := range indented {
				w.Chunk(indented[i : i+1])
			}
		},
		"two in one piece": func(w standin.Watch) {
			w.Chunk(standin.List(8, false, target("s-1", "leaving")) + standin.List(8, false) + "\r\n\t ")
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t, "", standin.DefaultGreeting)
			_, h, _ := startFeed(t, a.Addr(), membership.DefaultTiming, standin.List(7, true, target("s-1", "active")))
			w := a.Next()
			expect(t, h, "cached s-1=0")
			send(w)
			expect(t, h, "delta s-1=1")
			w.Line(standin.List(10, false, target("s-1", "left")))
			expect(t, h, "delta s-1=2")
		})
	}
}

// TestBadEntries checks that an invalid entry is logged and skipped, and that an object which is malformed or too long
// ends the watch, which is then opened again.
func TestBadEntries(t *testing.T) {
	a := newAgent(t, "", standin.DefaultGreeting)
	_, h, log := startFeed(t, a.Addr(), membership.DefaultTiming, standin.List(1, true, target("s-1", "active")))
	w := a.Next()
	expect(t, h, "cached s-1=0")
	w.Line(standin.List(2, false, target("odd", "asleep"), target("s-2", "active")))
	expect(t, h, "delta s-2=0")
	log.WaitFor("odd: state")
	w.Line(`{"rev":3,]`)
	if w = a.Next(); w.From != 2 {
		t.Fatalf("from %d", w.From)
	}
	go func() {
		w.Chunk(`{"rev":3,"targets":["`)
		for range maxObjectBytes >> 16 {
			w.Chunk(strings.Repeat("x", 1<<16))
		}
	}()
	if w = a.Next(); w.From != 2 {
		t.Fatalf("from %d", w.From)
	}
	log.WaitFor("an object with a value of over")
}

// TestAddressChange checks that a new address is contacted at once, and that the former watch stays open until the new
// one has sent an object. The feed also survives an agent that is down at the start.
func TestAddressChange(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	f, h, log := startFeed(t, addr, membership.DefaultTiming, standin.List(7, true, target("s-1", "active")))
	log.WaitFor("a connection ended")
	a := newAgent(t, addr, standin.DefaultGreeting) // it comes up later
	former := a.Next()
	expect(t, h, "cached s-1=0")
	b := newAgent(t, "", func(w standin.Watch) { w.Head() }) // no object yet
	f.SetAddress(b.Addr())
	w := b.Next()
	if w.From != 7 {
		t.Fatalf("from %d", w.From)
	}
	former.Line(standin.List(8, false, target("s-1", "leaving")))
	expect(t, h, "delta s-1=1")
	w.Line(standin.List(9, false, target("s-2", "active")))
	expect(t, h, "delta s-2=0")
	if _, err := former.Conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && err == nil {
		t.Fatal("the former watch is still open")
	}
}

// TestSilentWatchReplaced checks that after a watch falls silent and the next two trials fail, in whatever way, the
// third one delivers the missed change.
func TestSilentWatchReplaced(t *testing.T) {
	half := standin.List(8, false, target("s-1", "leaving"))[:30]
	bad := map[string]func(standin.Watch){
		"accepts and sends nothing": func(standin.Watch) {},
		"half a head":               func(w standin.Watch) { _, _ = io.WriteString(w.Conn, "HTTP/1.1 200 OK\r\nTrans") },
		"half an object":            func(w standin.Watch) { w.Head(); w.Chunk(half) },
		"empty lines only":          func(w standin.Watch) { w.Head(); w.Line(""); w.Line("") },
		"refuses":                   func(w standin.Watch) { w.Conn.Close() },
		"an error":                  func(w standin.Watch) { _, _ = io.WriteString(w.Conn, "HTTP/1.1 503 X\r\n\r\n") },
		"silent again at once":      standin.DefaultGreeting,
	}
	for name, first := range bad {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32 // connections come one after the other
			a := newAgent(t, "", func(w standin.Watch) {
				switch n.Add(1) {
				case 1:
					standin.DefaultGreeting(w)
				case 2, 3:
					first(w)
				default:
					w.Head()
					w.Line(standin.List(8, false, target("s-1", "leaving")))
				}
			})
			_, h, _ := startFeed(t, a.Addr(), shortTiming, standin.List(7, true, target("s-1", "active")))
			expect(t, h, "cached s-1=0")
			expect(t, h, "delta s-1=1")
		})
	}
}

// TestSilentWatchRecovers checks that a silent watch stays open while others are on trial, and that objects which it
// sends then are applied.
func TestSilentWatchRecovers(t *testing.T) {
	var n atomic.Int32
	a := newAgent(t, "", func(w standin.Watch) {
		if n.Add(1) == 1 {
			standin.DefaultGreeting(w)
		}
	})
	_, h, _ := startFeed(t, a.Addr(), shortTiming, standin.List(7, true, target("s-1", "active")))
	w := a.Next()
	expect(t, h, "cached s-1=0")
	a.Next()
	a.Next() // the first trial has timed out
	w.Line(standin.List(8, false, target("s-1", "leaving")))
	expect(t, h, "delta s-1=1")
}

// TestKnownList checks when the known list is delivered: before the agent's first changes, or empty object; not at
// all if it is the whole list, and after KnownListDelay if the agent sends nothing. A malformed list is an error.
func TestKnownList(t *testing.T) {
	known := standin.List(5, true, target("s-1", "active"), target("s-2", "active"))
	for _, c := range []struct {
		name  string
		greet func(standin.Watch)
		want  []string
	}{
		{"changes", func(w standin.Watch) { w.Head(); w.Line(standin.List(6, false, target("s-1", "left"))) },
			[]string{"cached s-1=0 s-2=0", "delta s-1=2"}},
		{"nothing new", standin.DefaultGreeting, []string{"cached s-1=0 s-2=0"}},
		{"the whole list", func(w standin.Watch) { w.Head(); w.Line(standin.List(9, true, target("s-3", "active"))) },
			[]string{"full s-3=0"}},
		{"says nothing", func(standin.Watch) {}, []string{"cached s-1=0 s-2=0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAgent(t, "", c.greet)
			timing := shortTiming
			if c.name != "says nothing" {
				timing.KnownListDelay = time.Hour // only an object of the agent delivers the list
			}
			_, h, _ := startFeed(t, a.Addr(), timing, known)
			if w := a.Next(); w.From != 5 {
				t.Fatalf("from %d", w.From)
			}
			for _, want := range c.want {
				expect(t, h, want)
			}
		})
	}
	if err := New("127.0.0.1:1", testListBytes, &fakeHost{}, slog.New(slog.DiscardHandler)).SetKnownList([]byte("[")); err == nil {
		t.Fatal("a malformed list was accepted")
	}
}

// readUpdates returns the updates that a feed reads from a response.
func readUpdates(r io.Reader) (updates []membership.Update) {
	b := &responseBody{conn: r, onRead: func() error { return nil }}
	if b.readHead() == nil {
		_ = readObjects(b, &entryBudget{limit: testListBytes}, func(u membership.Update) error { updates = append(updates, u); return nil })
	}
	return updates
}

// FuzzWatch checks that no response causes a panic, and that the updates read do not depend on how it is split.
func FuzzWatch(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n" + standin.List(1, true, target("s-1", "active")) + "\n{\n}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, pieces := readUpdates(bytes.NewReader(b)), readUpdates(iotest.OneByteReader(bytes.NewReader(b)))
		if !reflect.DeepEqual(whole, pieces) {
			t.Fatalf("%+v read at once, %+v read byte by byte", whole, pieces)
		}
	})
}
