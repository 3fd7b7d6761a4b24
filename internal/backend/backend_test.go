package backend

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
	"eiderhold/internal/standin"
)

// owner collects outcomes in place of the host.
type owner struct {
	mu         sync.Mutex
	outcomes   map[uint64]host.Outcome
	duplicates int
	probes     []control.Result
	notify     chan struct{}
}

func newOwner() *owner {
	return &owner{outcomes: map[uint64]host.Outcome{}, notify: make(chan struct{}, 1)}
}

func (o *owner) AttemptEnded(x host.Outcome) {
	o.mu.Lock()
	if _, again := o.outcomes[x.Ref]; again {
		o.duplicates++
	}
	o.outcomes[x.Ref] = x
	o.mu.Unlock()
	o.signal()
}

func (o *owner) Probed(_ string, r control.Result, _ time.Duration, _ []float64) {
	o.mu.Lock()
	o.probes = append(o.probes, r)
	o.mu.Unlock()
	o.signal()
}

func (o *owner) signal() {
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// wait waits until there are n outcomes.
func (o *owner) wait(t *testing.T, n int) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		o.mu.Lock()
		got := len(o.outcomes)
		o.mu.Unlock()
		if got >= n {
			return
		}
		select {
		case <-o.notify:
		case <-limit:
			t.Fatalf("%d outcomes of %d", got, n)
		}
	}
}

func (o *owner) result(ref uint64) host.Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outcomes[ref]
}

func newBackend(t *testing.T, set Settings) (*Backend, *owner) {
	t.Helper()
	o := newOwner()
	if set.DialTimeout == 0 {
		set.DialTimeout = 5 * time.Second
	}
	set.Name = "g"
	b, err := New(set, o, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	return b, o
}

func listed(id, addr string) host.Node {
	return host.Node{Node: control.Node{ID: id}, Addr: addr}
}

func write(ref uint64, node, item string, p []byte) host.Attempt {
	return host.Attempt{Ref: ref, ID: ref, Node: node, Remaining: time.Second,
		Request: &host.Request{Class: "w", Volume: "v", Item: item, Op: nodewire.Write, Units: 1, Key: item, Payload: p}}
}

func read(ref uint64, node, item string, n int) host.Attempt {
	return host.Attempt{Ref: ref, ID: ref, Node: node, Remaining: time.Second,
		Request: &host.Request{Class: "r", Volume: "v", Item: item, Op: nodewire.Read, Units: 1, Length: n}}
}

func TestManyAttemptsOverFewConnections(t *testing.T) {
	n, err := standin.StartNode(standin.NodeOptions{ID: "n", Shard: 5, Cores: 8, Queue: 1000, KeyWindow: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	b, o := newBackend(t, Settings{MaxConns: 3, AttemptsPerConn: 8, MaxWaiting: 1000})
	b.Nodes([]host.Node{listed("n", n.Addr())})
	payload := []byte(strings.Repeat("x", 100_000))
	for i := range uint64(200) {
		b.Send(write(i, "n", string(rune('a'+i%26))+strings.Repeat("i", int(i/26)), payload))
	}
	o.wait(t, 200)
	for i := range uint64(200) {
		b.Send(read(1000+i, "n", string(rune('a'+i%26))+strings.Repeat("i", int(i/26)), len(payload)))
	}
	o.wait(t, 400)
	for ref, x := range o.outcomes {
		if x.Result != control.Done || x.Shard != 5 || ref >= 1000 && string(x.Data.B) != string(payload) {
			t.Fatalf("%d: %v %q, shard %d", ref, x.Result, x.Text, x.Shard)
		}
	}
	if s := b.Stats(); s.Conns > 3 || s.Conns < 2 || o.duplicates != 0 {
		t.Errorf("%+v, %d reported twice", s, o.duplicates)
	}
}

// TestResults checks the result of each way in which an attempt can end, so that results that say that nothing ran
// are reported only when nothing did.
func TestResults(t *testing.T) {
	n, err := standin.StartNode(standin.NodeOptions{ID: "n", Cores: 1, Queue: 5})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	closed, _ := net.Listen("tcp", "127.0.0.1:0")
	closed.Close()
	mute, _ := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	defer mute.Close()
	b, o := newBackend(t, Settings{MaxConns: 1, AttemptsPerConn: 8, MaxWaiting: 2, DialTimeout: 300 * time.Millisecond})
	b.Nodes([]host.Node{listed("n", n.Addr()), listed("closed", closed.Addr().String()),
		listed("mute", mute.Addr().String()), listed("other", n.Addr())})

	b.Send(read(1, "nobody", "i", 1))
	b.Send(read(2, "closed", "i", 1))
	b.Send(read(3, "mute", "i", 1))
	b.Send(read(4, "mute", "i", 1))
	b.Send(read(5, "mute", "i", 1))  // one more than Settings.MaxWaiting
	b.Send(read(6, "other", "i", 1)) // node n answers at this address
	b.Send(read(7, "n", "no such item", 1))
	b.Send(write(8, "n", "i", []byte("bytes")))
	o.wait(t, 8)
	b.Send(read(9, "n", "i", 3))
	b.Send(read(10, "n", "i", 99))
	o.wait(t, 10)
	for ref, want := range map[uint64]control.Result{1: control.NotSent, 2: control.Unreachable, 3: control.Unreachable,
		4: control.Unreachable, 5: control.NotSent, 6: control.Unreachable, 7: control.Error, 8: control.Done, 9: control.Done,
		10: control.Error} {
		if got := o.result(ref); got.Result != want {
			t.Errorf("attempt %d: %s %q, want %s", ref, host.ResultName(got.Result), got.Text, host.ResultName(want))
		}
	}

	n.Set(func(x *standin.Trouble) { x.Hang = true })
	before := n.Counts().Arrived
	b.Send(read(11, "n", "i", 1)) // occupies the only core and is never answered
	b.Send(read(12, "n", "i", 1))
	waitUntil(t, func() bool { return n.Counts().Arrived == before+2 })
	n.CloseConns()
	o.wait(t, 12)
	for _, ref := range []uint64{11, 12} {
		if got := o.result(ref); got.Result != control.Reset {
			t.Errorf("attempt %d on a connection that dropped: %s", ref, host.ResultName(got.Result))
		}
	}
	n.Set(func(x *standin.Trouble) { x.Hang = false })
	n.Drain()
	b.Send(read(13, "n", "i", 1))
	o.wait(t, 13)
	if got := o.result(13); got.Result != control.Busy {
		t.Errorf("at a draining node: %s", host.ResultName(got.Result))
	}
	if o.duplicates != 0 {
		t.Errorf("%d outcomes were reported twice", o.duplicates)
	}
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("not within 20 s")
		}
	}
}

// TestPartlyWrittenFrameIsReset checks that an attempt is reported as Reset when the node reads part of its frame and
// closes the connection, and that an attempt that waited for a failed dial is Unreachable.
func TestPartlyWrittenFrameIsReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Write(nodewire.Append(nil, &nodewire.Hello{Version: nodewire.Version, Name: "n"}))
		io.ReadFull(c, make([]byte, 100_000))
		c.Close()
		ln.Close()
	}()
	b, o := newBackend(t, Settings{MaxConns: 1, AttemptsPerConn: 8, MaxWaiting: 8})
	b.Nodes([]host.Node{listed("n", ln.Addr().String())})
	b.Send(write(1, "n", "big", make([]byte, nodewire.MaxPayload)))
	o.wait(t, 1)
	if got := o.result(1); got.Result != control.Reset {
		t.Errorf("partly written: %s %q", host.ResultName(got.Result), got.Text)
	}
	b.Send(write(2, "n", "big", make([]byte, 10)))
	o.wait(t, 2)
	if got := o.result(2); got.Result != control.Unreachable {
		t.Errorf("after the node has gone: %s %q", host.ResultName(got.Result), got.Text)
	}
}

// TestHostileNode checks that attempts end when a node sends invalid or unexpected frames.
func TestHostileNode(t *testing.T) {
	hello := nodewire.Append(nil, &nodewire.Hello{Version: nodewire.Version, Name: "n"})
	for name, bytes := range map[string][]byte{
		"garbage":      []byte("HTTP/1.1 400 Bad Request\r\n\r\n"),
		"huge":         {255, 255, 255, 255, 1},
		"wrong name":   nodewire.Append(nil, &nodewire.Hello{Version: nodewire.Version, Name: "m"}),
		"old":          nodewire.Append(nil, &nodewire.Hello{Version: 0, Name: "n"}),
		"two hellos":   append(append([]byte{}, hello...), hello...),
		"no hello":     nodewire.Append(nil, &nodewire.Answer{ID: 1}),
		"a request":    nodewire.Append(append([]byte{}, hello...), &nodewire.Request{ID: 1, Op: nodewire.Read}),
		"broken frame": append(append([]byte{}, hello...), 9, 0, 0, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8),
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				c.Write(nodewire.Append(nil, &nodewire.Answer{ID: 77})[:0])
				c.Write(bytes)
				go io.Copy(io.Discard, c)
			}
		}()
		b, o := newBackend(t, Settings{MaxConns: 1, AttemptsPerConn: 8, MaxWaiting: 8})
		b.Nodes([]host.Node{listed("n", ln.Addr().String())})
		b.Send(read(1, "n", "i", 1))
		o.wait(t, 1)
		if got := o.result(1); got.Result != control.Unreachable && got.Result != control.Reset {
			t.Errorf("%s: %s %q", name, host.ResultName(got.Result), got.Text)
		}
		ln.Close()
		b.Close()
	}
}

// TestDropAndIdle checks that the answer to a dropped attempt is ignored, and that idle connections and those of
// unlisted nodes are closed.
func TestDropAndIdle(t *testing.T) {
	n, err := standin.StartNode(standin.NodeOptions{ID: "n", Cores: 1, Queue: 10, UnitTime: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	b, o := newBackend(t, Settings{MaxConns: 1, AttemptsPerConn: 8, MaxWaiting: 8, SendCancel: true, IdleTimeout: 100 * time.Millisecond})
	b.Nodes([]host.Node{listed("n", n.Addr())})
	b.Send(write(1, "n", "i", []byte("x")))
	waitUntil(t, func() bool { return n.Counts().Arrived == 1 })
	b.Drop(1)
	b.Drop(1)
	waitUntil(t, func() bool { return b.Stats().Unmatched == 1 })
	b.Probe("n")
	waitUntil(t, func() bool { o.mu.Lock(); defer o.mu.Unlock(); return len(o.probes) == 1 })
	waitUntil(t, func() bool { return b.Stats().Conns == 0 })
	b.Send(write(2, "n", "j", []byte("x")))
	b.Nodes(nil)
	o.wait(t, 1)
	if got := o.result(2); got.Result != control.Done {
		t.Errorf("in flight when its node was unlisted: %s", host.ResultName(got.Result))
	}
	waitUntil(t, func() bool { return b.Stats().Conns == 0 })
	b.Send(write(3, "n", "k", nil))
	o.wait(t, 2)
	if got := o.result(3); got.Result != control.NotSent {
		t.Errorf("to an unlisted node: %s", host.ResultName(got.Result))
	}
}
