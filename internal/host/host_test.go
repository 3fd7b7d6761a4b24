package host

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/nodewire"
)

const ms = time.Millisecond

// fakeBackend is a backend that records the calls to it.
type fakeBackend struct {
	sent      []Attempt
	dropped   []uint64
	withdrawn []uint64
	probed    []string
	nodes     int
}

func (f *fakeBackend) Send(a Attempt)     { f.sent = append(f.sent, a) }
func (f *fakeBackend) Drop(ref uint64)    { f.dropped = append(f.dropped, ref) }
func (f *fakeBackend) Withdraw(r uint64)  { f.withdrawn = append(f.withdrawn, r) }
func (f *fakeBackend) Probe(node string)  { f.probed = append(f.probed, node) }
func (f *fakeBackend) Nodes(nodes []Node) { f.nodes = len(nodes) }

// scriptedController is a controller that returns the actions of next.
type scriptedController struct {
	events []control.Event
	next   func([]control.Event) []control.Action
}

func (s *scriptedController) Step(_ time.Duration, events []control.Event) []control.Action {
	s.events = append([]control.Event(nil), events...)
	if s.next == nil {
		return nil
	}
	return s.next(events)
}

// testHost is a host whose turns and clock a test controls.
type testHost struct {
	*Host
	t    *testing.T
	back *fakeBackend
	now  time.Duration
}

func newTestHost(t *testing.T, d controller) *testHost {
	b := &testHost{t: t, back: &fakeBackend{}, now: time.Hour}
	h, err := New(Options{Backend: b.back, MaxOpen: 3, Clock: func() time.Duration { return b.now },
		Settings: control.Settings{Hosts: 1, MaxAttempts: 4, SecondCopies: true, LoadFields: []string{"queue", "latency_ms"},
			Classes: []control.Class{{Name: "read", Aim: 100 * ms, Deadline: time.Second, Worth: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	if d != nil {
		h.controller = d
	}
	b.Host = h
	h.List(List{Kind: control.ListFull, Nodes: []Node{{Node: control.Node{ID: "n"}, Addr: "a"}, {Node: control.Node{ID: "m", Shard: 1}, Addr: "b"}}})
	b.step(0)
	return b
}

// step advances the clock and runs two turns: the events that the actions of the first cause are processed in the
// second.
func (b *testHost) step(d time.Duration) {
	b.now += d
	b.turn()
	b.turn()
}

// submit submits a request and returns a pointer to its answers.
func (b *testHost) submit(expires time.Duration) (*[]Answer, uint64) {
	b.t.Helper()
	var got []Answer
	id, err := b.Submit(&Request{Class: "read", Volume: "v", Item: "i", Units: 1, Expires: expires, Op: nodewire.Read,
		Answer: func(a Answer) { got = append(got, a) }})
	if err != nil {
		b.t.Fatal(err)
	}
	return &got, id
}

func TestServed(t *testing.T) {
	b := newTestHost(t, nil)
	got, _ := b.submit(time.Second)
	b.step(5 * ms)
	if len(b.back.sent) != 1 || b.back.nodes != 2 || b.back.sent[0].Remaining > 980*ms {
		t.Fatalf("sent %+v", b.back.sent)
	}
	data := buffer.Get(3)
	b.AttemptEnded(Outcome{Ref: b.back.sent[0].Ref, Result: control.Done, Shard: 7, Data: data})
	b.step(20 * ms)
	if len(*got) != 1 || (*got)[0].Kind != Served || (*got)[0].Data != data || (*got)[0].Shard != 7 || (*got)[0].Elapsed != 25*ms {
		t.Fatalf("answers %+v", *got)
	}
	b.AttemptEnded(Outcome{Ref: b.back.sent[0].Ref, Result: control.Done})
	b.step(time.Second)
	if len(*got) != 1 || b.stats.LateOutcomes != 1 || len(b.requests)+len(b.inFlight)+b.wheel.Len() > 1 || b.stats.Defects != 0 {
		t.Errorf("%d answers, %+v, %d timers", len(*got), b.stats, b.wheel.Len())
	}
}

// TestNoAnswerFromTheNode checks that an attempt times out before the client's time is up, and that the client has
// its answer within it.
func TestNoAnswerFromTheNode(t *testing.T) {
	b := newTestHost(t, nil)
	got, _ := b.submit(500 * ms)
	b.step(0)
	for range 500 {
		b.step(ms)
		if len(*got) > 0 {
			break
		}
	}
	if len(*got) != 1 || (*got)[0].Kind == Served || (*got)[0].Elapsed > 500*ms || len(b.back.dropped) == 0 {
		t.Fatalf("%+v, dropped %v", *got, b.back.dropped)
	}
	if !strings.Contains((*got)[0].Cause, "gave no answer") {
		t.Errorf("cause %q", (*got)[0].Cause)
	}
	if b.stats.Defects != 0 {
		t.Error("the request was failed on expiry")
	}
}

// TestNoDecisionFailsRequestOnExpiry checks that a client is answered on expiry if the controller never decides.
func TestNoDecisionFailsRequestOnExpiry(t *testing.T) {
	d := &scriptedController{}
	b := newTestHost(t, d)
	got, _ := b.submit(300 * ms)
	b.step(0)
	b.step(299 * ms)
	if len(*got) != 0 {
		t.Fatalf("answered early: %+v", *got)
	}
	b.step(ms)
	if len(*got) != 1 || (*got)[0].Kind != Failed || b.stats.Defects != 1 {
		t.Fatalf("%+v, %+v", *got, b.stats)
	}
	if _, gone := d.events[0].(control.ClientGone); !gone {
		t.Errorf("the controller got the events %+v", d.events)
	}
	b.controller = &scriptedController{next: func([]control.Event) []control.Action {
		return []control.Action{control.Refuse{ID: "1"}, control.Send{ID: "1", Node: "n"}}
	}}
	b.List(List{Kind: control.ListFailed})
	b.step(ms)
	if len(*got) != 1 || len(b.back.sent) != 0 {
		t.Error("a second answer, or an attempt, after the request expired")
	}
}

// TestLateTurn guards against failing a request as undecided in a turn that comes so late that an attempt's timeout and
// the request's expiry are due at once: the controller learns of the timeout first and decides.
func TestLateTurn(t *testing.T) {
	b := newTestHost(t, nil)
	got, _ := b.submit(500 * ms)
	b.step(0)
	if len(b.back.sent) != 1 {
		t.Fatalf("sent %+v", b.back.sent)
	}
	b.step(501 * ms)
	if len(*got) != 1 || (*got)[0].Kind == Served || b.stats.Defects != 0 {
		t.Fatalf("%+v, %d answers without a decision", *got, b.stats.Defects)
	}
	if !strings.Contains((*got)[0].Cause, "gave no answer") {
		t.Errorf("cause %q", (*got)[0].Cause)
	}
}

// TestLateTurnWithAnswer checks that in such a turn an answer that had been reported in time is passed on, and that the
// request that has none has exactly one answer of its own.
func TestLateTurnWithAnswer(t *testing.T) {
	b := newTestHost(t, nil)
	got, _ := b.submit(500 * ms)
	b.step(0)
	b.now += 100 * ms
	data := buffer.Get(3)
	b.AttemptEnded(Outcome{Ref: b.back.sent[0].Ref, Result: control.Done, Data: data})
	b.step(401 * ms)
	if len(*got) != 1 || (*got)[0].Kind != Served || (*got)[0].Data != data || b.stats.Defects+b.stats.LateOutcomes != 0 {
		t.Fatalf("%+v, %+v", *got, b.stats)
	}
}

// TestControllerPanic checks that a panic of the controller fails open requests, flushes the recorder and ends the
// loop.
func TestControllerPanic(t *testing.T) {
	b := newTestHost(t, nil)
	rec := &flushRecorder{}
	b.options.Recorder = rec
	got, _ := b.submit(time.Second)
	b.step(0)
	b.controller = &scriptedController{next: func([]control.Event) []control.Action { panic("a bug") }}
	second, _ := b.submit(time.Second)
	err := b.Run()
	if err == nil || !strings.Contains(err.Error(), "a bug") {
		t.Fatalf("run: %v", err)
	}
	if len(*got) != 1 || (*got)[0].Kind != Failed || len(*second) != 1 || (*second)[0].Kind != Failed || rec.n == 0 {
		t.Errorf("%+v %+v, flushed %d", *got, *second, rec.n)
	}
	if _, err := b.Submit(&Request{Class: "read"}); !errors.Is(err, ErrStopped) {
		t.Errorf("submit after the end: %v", err)
	}
}

type flushRecorder struct{ n int }

func (*flushRecorder) Batch(time.Duration, []control.Event, []control.Action) {}
func (f *flushRecorder) Flush()                                               { f.n++ }

// TestActions executes an action of each kind.
func TestActions(t *testing.T) {
	d := &scriptedController{}
	b := newTestHost(t, d)
	reg := &fakeRegister{}
	b.SetRegister(reg)
	got, _ := b.submit(time.Second)
	b.step(0)
	d.next = func([]control.Event) []control.Action {
		d.next = nil
		return []control.Action{control.Send{ID: "1", Node: "n", Within: 50 * ms}, control.Send{ID: "1", Node: "m"},
			control.Send{ID: "1", Node: "nobody"}, control.Cancel{ID: "1", Attempt: 1}, control.Cancel{ID: "1", Attempt: 9},
			control.SetTimer{At: b.now + 70*ms, Token: 42}, control.Probe{Node: "m"}, control.Subscribe{}, control.FetchList{},
			control.Log{Text: "x"}, control.Refuse{ID: "unknown"}}
	}
	b.List(List{Kind: control.ListFailed})
	b.turn()
	if len(b.back.sent) != 2 || len(b.back.probed) != 1 || reg.n != 2 {
		t.Fatalf("sent %d, probed %v, register %d", len(b.back.sent), b.back.probed, reg.n)
	}
	b.turn()
	want := map[int]control.Result{1: control.Cancelled, 2: control.NotSent}
	for _, e := range d.events {
		o := e.(control.Outcome)
		if want[o.Attempt] != o.Result {
			t.Errorf("attempt %d: %v", o.Attempt, o.Result)
		}
		delete(want, o.Attempt)
	}
	if len(want) != 0 {
		t.Errorf("no outcome for %v", want)
	}
	b.now += 51 * ms
	b.turn()
	if o, ok := d.events[0].(control.Outcome); !ok || o.Result != control.TimedOut || o.Attempt != 0 || o.Elapsed < 50*ms || o.Closed {
		t.Errorf("timeout of the attempt (Within): %+v", d.events)
	}
	b.now += 20 * ms
	b.turn()
	if f, ok := d.events[0].(control.TimerFired); !ok || f.Token != 42 {
		t.Errorf("timer: %+v", d.events)
	}
	d.next = func([]control.Event) []control.Action {
		d.next = nil
		return []control.Action{control.Fail{ID: "1"}, control.Send{ID: "1", Node: "n"}}
	}
	b.List(List{Kind: control.ListFailed})
	b.step(0)
	if len(*got) != 1 || len(b.back.sent) != 2 {
		t.Errorf("%d answers; %d attempts, one of them after the final answer", len(*got), len(b.back.sent))
	}
}

type fakeRegister struct{ n int }

func (r *fakeRegister) Subscribe() { r.n++ }
func (r *fakeRegister) Fetch()     { r.n++ }

// TestMaxOpenRequests checks that Submit refuses requests at the limit and that those accepted are answered.
func TestMaxOpenRequests(t *testing.T) {
	b := newTestHost(t, &scriptedController{})
	var all []*[]Answer
	for range 3 {
		got, _ := b.submit(100 * ms)
		all = append(all, got)
	}
	if _, err := b.Submit(&Request{Class: "read", Expires: time.Second}); !errors.Is(err, ErrFull) {
		t.Fatalf("fourth request at a limit of three: %v", err)
	}
	b.step(0)
	b.step(100 * ms)
	for i, got := range all {
		if len(*got) != 1 {
			t.Errorf("request %d: %d answers", i, len(*got))
		}
	}
	if _, err := b.Submit(&Request{Class: "read", Expires: time.Second, Answer: func(Answer) {}}); err != nil {
		t.Errorf("submit after the open requests ended: %v", err)
	}
}

// TestClientGone checks that a request whose client has gone gets no answer, that its attempts are withdrawn, and
// that a late outcome still reaches the controller, marked as closed.
func TestClientGone(t *testing.T) {
	b := newTestHost(t, nil)
	got, id := b.submit(time.Second)
	b.step(0)
	d := &scriptedController{}
	b.controller = d
	b.ClientGone(id)
	b.ClientGone(999)
	b.step(0)
	if _, ok := d.events[0].(control.ClientGone); !ok || len(d.events) != 1 {
		t.Fatalf("the controller got the events %+v", d.events)
	}
	if w := b.back.withdrawn; len(w) != 1 || w[0] != b.back.sent[0].Ref || !b.back.sent[0].Request.Abandoned() {
		t.Fatalf("withdrawn %v, request abandoned: %v", w, b.back.sent[0].Request.Abandoned())
	}
	b.AttemptEnded(Outcome{Ref: b.back.sent[0].Ref, Result: control.Done, Data: buffer.Get(1)})
	b.step(0)
	if o, ok := d.events[0].(control.Outcome); !ok || !o.Closed || len(*got) != 0 || len(b.requests) != 0 {
		t.Errorf("the controller got the events %+v; %d answers, %d requests", d.events, len(*got), len(b.requests))
	}
}

// TestMailboxTimeReducesExpires checks that a stalled loop deducts the time that a request spent in the mailbox.
func TestMailboxTimeReducesExpires(t *testing.T) {
	d := &scriptedController{}
	b := newTestHost(t, d)
	b.submit(time.Second)
	b.now += 400 * ms
	b.turn()
	if r := d.events[0].(control.Request); r.Expires != 580*ms {
		t.Errorf("the controller was given %v", r.Expires)
	}
}

func TestStartedAtIsStable(t *testing.T) {
	b := newTestHost(t, nil)
	wall := time.Now().Add(-10 * time.Second)
	first := b.StartedAt("n", wall)
	b.now += time.Second
	if again := b.StartedAt("n", wall); again != first || first <= 0 {
		t.Errorf("start %v first, then %v", first, again)
	}
	if b.StartedAt("n", time.Now().Add(-2*ClockBase)) != 0 || b.StartedAt("n", time.Time{}) != 0 {
		t.Error("a start long ago does not give 0")
	}
}

// echoBackend answers every attempt in the next turn.
type echoBackend struct{ sent []Attempt }

func (e *echoBackend) Send(a Attempt)  { e.sent = append(e.sent, a) }
func (e *echoBackend) Drop(uint64)     {}
func (e *echoBackend) Withdraw(uint64) {}
func (e *echoBackend) Probe(string)    {}
func (e *echoBackend) Nodes([]Node)    {}

// answerAll answers all attempts, and those sent in response to the outcomes, a millisecond a round.
func (e *echoBackend) answerAll(h *Host, at *time.Duration) {
	for len(e.sent) > 0 {
		sent := e.sent
		e.sent = nil
		*at += ms
		for _, a := range sent {
			h.AttemptEnded(Outcome{Ref: a.Ref, Result: control.Done, Load: []float64{0, 1}})
		}
		h.turn()
	}
}

// BenchmarkDecide measures the requests a second of one host loop: a request in, an attempt out, its outcome in, the
// answer out, with 64 requests in a batch, at several numbers of nodes.
func BenchmarkDecide(b *testing.B) {
	for _, nodes := range []int{8, 42, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			e := &echoBackend{}
			at := time.Hour
			h, err := New(Options{Backend: e, Clock: func() time.Duration { return at },
				Settings: control.Settings{Hosts: 1, MaxAttempts: 4, SecondCopies: true, LoadFields: []string{"queue", "latency_ms"},
					Classes: []control.Class{{Name: "read", Aim: 100 * ms, Deadline: time.Second, Worth: 1}}}})
			if err != nil {
				b.Fatal(err)
			}
			l := List{Kind: control.ListFull}
			for i := range nodes {
				l.Nodes = append(l.Nodes, Node{Node: control.Node{ID: fmt.Sprintf("n%03d", i), Shard: i}})
			}
			h.List(l)
			h.turn()
			answered := 0
			done := func(Answer) { answered++ }
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += 64 {
				for k := range 64 {
					h.Submit(&Request{Class: "read", Volume: "v", Item: "i", Shard: (i + k*7) % nodes, Units: 1,
						Expires: time.Second, Answer: done})
				}
				at += 2 * ms
				h.turn()
				e.answerAll(h, &at)
			}
			b.ReportMetric(float64(answered)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkBurst measures one turn with a thousand requests at once, at 8 nodes that are busy already.
func BenchmarkBurst(b *testing.B) {
	e := &echoBackend{}
	at := time.Hour
	h, err := New(Options{Backend: e, Clock: func() time.Duration { return at },
		Settings: control.Settings{Hosts: 1, MaxAttempts: 4, SecondCopies: true, LoadFields: []string{"queue", "latency_ms"},
			Classes: []control.Class{{Name: "read", Aim: 100 * ms, Deadline: time.Second, Worth: 1}}}})
	if err != nil {
		b.Fatal(err)
	}
	l := List{Kind: control.ListFull}
	for i := range 8 {
		l.Nodes = append(l.Nodes, Node{Node: control.Node{ID: fmt.Sprintf("n%03d", i), Shard: i}})
	}
	h.List(l)
	h.turn()
	refused, asked := 0, 0
	for range b.N {
		for k := range 1000 {
			h.Submit(&Request{Class: "read", Volume: "v", Item: "i", Shard: k % 8, Units: 1, Expires: time.Second,
				Answer: func(a Answer) {
					asked++
					if a.Kind != Served {
						refused++
					}
				}})
		}
		at += 2 * ms
		h.turn()
		e.answerAll(h, &at)
	}
	b.ReportMetric(100*float64(refused)/float64(max(1, asked)), "refused-%")
}

// TestNodeStartsBounded checks that endless node turnover does not grow the memory of node starts without bound.
func TestNodeStartsBounded(t *testing.T) {
	h, err := New(Options{Settings: control.Settings{Classes: []control.Class{{Name: "read"}}}})
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	for i := range 3 * maxNodeStarts {
		wall := begin.Add(-time.Hour + time.Duration(i)*time.Millisecond)
		name := fmt.Sprint("n", i)
		if at := h.StartedAt(name, wall); at == 0 || at != h.StartedAt(name, wall) {
			t.Fatalf("%s: %v, then %v", name, at, h.StartedAt(name, wall))
		}
		if len(h.nodeStarts) > maxNodeStarts {
			t.Fatalf("%d node starts remembered", len(h.nodeStarts))
		}
	}
}
