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

// hearer is told lists.
type fakeHost struct{ lists chan host.List }

func (h *fakeHost) List(l host.List) { h.lists <- l }
func (h *fakeHost) StartedAt(_ string, wall time.Time) time.Duration {
	return time.Duration(wall.UnixMilli()) * time.Millisecond
}

// next is the next list, as its kind and its nodes.
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

// quick are times at which tests do not wait long, in the proportions of the usual ones.
var shortTiming = membership.Timing{SilenceTimeout: 250 * time.Millisecond, TrialTimeout: 60 * time.Millisecond, MinRetryDelay: 2 * time.Millisecond,
	MaxRetryDelay: 25 * time.Millisecond, KnownListDelay: 150 * time.Millisecond}

// follow starts a feed with such times, and with a list known from before; empty: none.
func startFeed(t *testing.T, addr string, timing membership.Timing, known string) (*Feed, *fakeHost, *standin.Log) {
	t.Helper()
	h, log := &fakeHost{make(chan host.List, 100)}, &standin.Log{}
	f := New(addr, h, slog.New(slog.NewTextHandler(log, nil)))
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
		t.Fatalf("told %q, expected %q", got, want)
	}
}

// TestWatch: without a list from before the whole one is asked for, then a watch from there; changes; a cut, after
// which it goes on from where it was.
func TestWatch(t *testing.T) {
	a := newAgent(t, "", standin.Greet)
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
		t.Fatalf("taken up from %d", w.From)
	}
	w.Line(standin.List(50, true, target("s-1", "active"))) // the whole list in the place of changes
	expect(t, h, "full s-1=0")
	if s := f.State(); s.Nodes != 1 || s.Rev != 50 || !s.Watching {
		t.Fatalf("%+v", s)
	}
}

// TestBack: changes of an older version are not taken; the whole list is asked for, and a watch from its version.
func TestOlderRevision(t *testing.T) {
	a := newAgent(t, "", standin.Greet)
	_, h, _ := startFeed(t, a.Addr(), membership.DefaultTiming, standin.List(7, true, target("s-1", "active")))
	w := a.Next()
	expect(t, h, "cached s-1=0")
	w.Line(standin.List(6, false, target("s-1", "left")))
	again := a.Next()
	if !again.Whole {
		t.Fatalf("a watch from %d was asked for, expected the whole list", again.From)
	}
	again.Line(standin.List(3, true, target("s-9", "active")))
	expect(t, h, "full s-9=0")
	if last := a.Next(); last.Whole || last.From != 3 {
		t.Fatalf("%+v", last)
	}
}

// TestForms: lists come indented, several at once, without line ends, and in pieces of any size.
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
			a := newAgent(t, "", standin.Greet)
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

// TestBadEntries: one is named in the log; what cannot be read, or is too long, ends the watch, which goes on anew.
func TestBadEntries(t *testing.T) {
	a := newAgent(t, "", standin.Greet)
	_, h, log := startFeed(t, a.Addr(), membership.DefaultTiming, standin.List(1, true, target("s-1", "active")))
	w := a.Next()
	expect(t, h, "cached s-1=0")
	w.Line(standin.List(2, false, target("odd", "asleep"), target("s-2", "active")))
	expect(t, h, "delta s-2=0")
	log.Has("odd: state")
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
	log.Has("an object of over")
}

// TestMoves: another address is asked at once; the watch at the former one stays until the one there speaks. Down
// at the start is no end.
func TestAddressChange(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	f, h, log := startFeed(t, addr, membership.DefaultTiming, standin.List(7, true, target("s-1", "active")))
	log.Has("a connection ended")
	a := newAgent(t, addr, standin.Greet) // it comes up later
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
		t.Fatal("the former watch is still there")
	}
}

// TestSilence: a watch falls silent; whatever the next two tries come to, the third brings what was missed.
func TestSilentWatchReplaced(t *testing.T) {
	half := standin.List(8, false, target("s-1", "leaving"))[:30]
	bad := map[string]func(standin.Watch){
		"accepts and says nothing": func(standin.Watch) {},
		"half a head":              func(w standin.Watch) { _, _ = io.WriteString(w.Conn, "HTTP/1.1 200 OK\r\nTrans") },
		"half an object":           func(w standin.Watch) { w.Head(); w.Chunk(half) },
		"beats only":               func(w standin.Watch) { w.Head(); w.Line(""); w.Line("") },
		"refuses":                  func(w standin.Watch) { w.Conn.Close() },
		"an error":                 func(w standin.Watch) { _, _ = io.WriteString(w.Conn, "HTTP/1.1 503 X\r\n\r\n") },
		"silent again at once":     standin.Greet,
	}
	for name, first := range bad {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32 // connections come one after the other
			a := newAgent(t, "", func(w standin.Watch) {
				switch n.Add(1) {
				case 1:
					standin.Greet(w)
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

// TestSpeaksAgain: while another watch is tried the silent one is kept, and what it says then counts.
func TestSilentWatchRecovers(t *testing.T) {
	var n atomic.Int32
	a := newAgent(t, "", func(w standin.Watch) {
		if n.Add(1) == 1 {
			standin.Greet(w)
		}
	})
	_, h, _ := startFeed(t, a.Addr(), shortTiming, standin.List(7, true, target("s-1", "active")))
	w := a.Next()
	expect(t, h, "cached s-1=0")
	a.Next()
	a.Next() // the first try has been given up
	w.Line(standin.List(8, false, target("s-1", "leaving")))
	expect(t, h, "delta s-1=1")
}

// TestKnown: what was known from before is told with the agent's first word, with what changed since; not at all
// if that is the whole list; and after a while if the agent says nothing. One that cannot be read is an error.
func TestKnownList(t *testing.T) {
	known := standin.List(5, true, target("s-1", "active"), target("s-2", "active"))
	for _, c := range []struct {
		name  string
		greet func(standin.Watch)
		want  []string
	}{
		{"changes", func(w standin.Watch) { w.Head(); w.Line(standin.List(6, false, target("s-1", "left"))) },
			[]string{"cached s-1=0 s-2=0", "delta s-1=2"}},
		{"nothing new", standin.Greet, []string{"cached s-1=0 s-2=0"}},
		{"the whole list", func(w standin.Watch) { w.Head(); w.Line(standin.List(9, true, target("s-3", "active"))) },
			[]string{"full s-3=0"}},
		{"says nothing", func(standin.Watch) {}, []string{"cached s-1=0 s-2=0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAgent(t, "", c.greet)
			timing := shortTiming
			if c.name != "says nothing" {
				timing.KnownListDelay = time.Hour // only the agent's word brings it
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
	if err := New("127.0.0.1:1", &fakeHost{}, slog.New(slog.DiscardHandler)).SetKnownList([]byte("[")); err == nil {
		t.Fatal("taken")
	}
}

// read is what a feed takes of an answer.
func readUpdates(r io.Reader) (updates []membership.Update) {
	b := &responseBody{conn: r, onRead: func() error { return nil }}
	if b.readHead() == nil {
		_ = readObjects(b, func(u membership.Update) error { updates = append(updates, u); return nil })
	}
	return updates
}

// FuzzWatch holds of any answer: no panic, and the same is read of it in whatever pieces it comes.
func FuzzWatch(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n" + standin.List(1, true, target("s-1", "active")) + "\n{\n}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, pieces := readUpdates(bytes.NewReader(b)), readUpdates(iotest.OneByteReader(bytes.NewReader(b)))
		if !reflect.DeepEqual(whole, pieces) {
			t.Fatalf("%+v of the whole, %+v of pieces", whole, pieces)
		}
	})
}
