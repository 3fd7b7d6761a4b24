package discovery

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/standin"
	"eiderhold/membership"
)

// hearer is told lists.
type hearer struct{ lists chan host.List }

func (h *hearer) List(l host.List) { h.lists <- l }
func (h *hearer) StartedAt(_ string, wall time.Time) time.Duration {
	return time.Duration(wall.UnixMilli()) * time.Millisecond
}

func newAgent(t *testing.T, addr string) *standin.Agent {
	t.Helper()
	a, err := standin.NewAgent(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

func follow(t *testing.T, addr string) (*Feed, *hearer, *standin.Log) {
	return followWithin(t, addr, membership.Silence)
}

func followWithin(t *testing.T, addr string, silence time.Duration) (*Feed, *hearer, *standin.Log) {
	h, log := &hearer{make(chan host.List, 100)}, &standin.Log{}
	f := New(addr, h, slog.New(slog.NewTextHandler(log, nil)))
	f.silence = silence
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f, h, log
}

var one, two = standin.Target("s-1", "127.0.0.1:1", 3, "active", 0), standin.Target("s-2", "127.0.0.1:2", 4, "leaving", 5000)

// TestWatch: a whole list, changes, repeats, and a cut after which the watch goes on from where it was.
func TestWatch(t *testing.T) {
	a := newAgent(t, "")
	f, h, _ := follow(t, a.Addr())
	w := a.Next()
	if w.From != 0 {
		t.Fatalf("from %d", w.From)
	}
	w.Line(standin.List(41, true, one, two))
	l := <-h.lists
	if l.Kind != control.ListFull || len(l.Nodes) != 2 || l.Nodes[0].ID != "s-1" || l.Nodes[0].Shard != 3 || l.Nodes[0].Addr != "127.0.0.1:1" ||
		l.Nodes[1].State != control.Draining || l.Nodes[1].StartedAt != 5*time.Second {
		t.Fatalf("%+v", l)
	}
	w.Line("")
	w.Line(standin.List(40, false, standin.Target("s-1", "127.0.0.1:9", 3, "left", 0))) // older than what is held
	w.Line(standin.List(42, false, standin.Target("s-2", "", 4, "left", 0)))
	if l := <-h.lists; l.Kind != control.ListDelta || len(l.Nodes) != 1 || l.Nodes[0].State != control.Gone {
		t.Fatalf("%+v", l)
	}
	w.Conn.Close()
	w = a.Next()
	if w.From != 42 {
		t.Fatalf("taken up from %d", w.From)
	}
	w.Line(standin.List(50, true, one)) // a gap: the whole list
	if l := <-h.lists; l.Kind != control.ListFull || len(l.Nodes) != 1 {
		t.Fatalf("%+v", l)
	}
	for f.State().Nodes != 1 {
		runtime.Gosched()
	}
}

// TestBadEntries: one is named in the log; a line that cannot be read ends the watch, which goes on anew.
func TestBadEntries(t *testing.T) {
	a := newAgent(t, "")
	_, h, log := follow(t, a.Addr())
	w := a.Next()
	w.Line(standin.List(1, true, standin.Target("odd", "x:1", 1, "asleep", 0), one))
	if l := <-h.lists; len(l.Nodes) != 1 || l.Nodes[0].ID != "s-1" {
		t.Fatalf("%+v", l)
	}
	log.Has("odd: state")
	w.Line(`{"rev":2,`)
	if w = a.Next(); w.From != 1 {
		t.Fatalf("from %d", w.From)
	}
}

// TestMoves: another address is followed at once, and down at the start is no end.
func TestMoves(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	f, h, _ := follow(t, addr)
	a := newAgent(t, addr) // it comes up later
	a.Next().Line(standin.List(7, true, one))
	<-h.lists
	b := newAgent(t, "")
	f.Follow(b.Addr())
	w := b.Next()
	if w.From != 7 {
		t.Fatalf("from %d", w.From)
	}
	w.Line(standin.List(8, false, two))
	if l := <-h.lists; len(l.Nodes) != 1 || l.Nodes[0].ID != "s-2" {
		t.Fatalf("%+v", l)
	}
}

// TestSilence: a watch that falls silent is asked for anew, from what is held.
func TestSilence(t *testing.T) {
	a := newAgent(t, "")
	_, h, _ := followWithin(t, a.Addr(), 50*time.Millisecond)
	w := a.Next()
	w.Line(standin.List(3, true, one))
	<-h.lists
	if w := a.Next(); w.From != 3 {
		t.Fatalf("from %d", w.From)
	}
}

// TestKnown: the list known at the start is told as perhaps out of date, and one that cannot be read is an
// error.
func TestKnown(t *testing.T) {
	h := &hearer{make(chan host.List, 1)}
	f := New("127.0.0.1:1", h, slog.New(slog.DiscardHandler))
	if err := f.Start([]byte(standin.List(5, true, one))); err != nil {
		t.Fatal(err)
	}
	if l := <-h.lists; l.Kind != control.ListCached || len(l.Nodes) != 1 || f.list.Rev() != 5 {
		t.Fatalf("%+v, version %d", l, f.list.Rev())
	}
	if err := f.Start([]byte("[")); err == nil {
		t.Fatal("taken")
	}
}

// FuzzWatch holds of any answer: no panic, and no more held than a line may have.
func FuzzWatch(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\n" + standin.List(1, true, one) + "\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h := &hearer{make(chan host.List, len(b)+1)}
		feed := New("", h, slog.New(slog.DiscardHandler))
		r := reader{first: true}
		_ = r.feed(b, feed.line)
		if len(r.in) > len(b) {
			t.Fatalf("%d bytes held of %d", len(r.in), len(b))
		}
	})
}
