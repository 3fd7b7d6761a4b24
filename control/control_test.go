package control

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// bench drives a controller by hand.
type harness struct {
	t   *testing.T
	c   *Controller
	now time.Duration
}

func settings() Settings {
	return Settings{
		Hosts: 2, MeanUnits: 2, MostUnits: 8, MaxAttempts: 4, MaxRetryAfter: time.Second,
		Classes: []Class{
			{Name: "read", Effect: Safe, Aim: 100 * ms, Deadline: time.Second, Worth: 2, LateWorth: 0.1},
			{Name: "write", Effect: Keyed, Group: GroupCell, Window: 500 * ms, Aim: 200 * ms,
				Deadline: 2 * time.Second, Worth: 2, LateWorth: 0.1, Writes: true},
			{Name: "anywhere", Effect: Keyed, Group: GroupAll, Window: 500 * ms, Aim: 200 * ms,
				Deadline: 2 * time.Second, Worth: 2},
			{Name: "zoned", Effect: Keyed, Group: GroupZone, Window: 500 * ms, Aim: 200 * ms,
				Deadline: 2 * time.Second, Worth: 2},
			{Name: "once", Effect: Unsafe, Aim: 200 * ms, Deadline: 2 * time.Second, Worth: 2},
			{Name: "turns", Effect: Safe, Aim: 200 * ms, Deadline: 2 * time.Second, Worth: 2, InOrder: true},
		},
	}
}

func newHarness(t *testing.T, set Settings, nodes ...Node) *harness {
	t.Helper()
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, c: c, now: time.Hour}
	b.step(0, NodeList{Kind: ListCached, Nodes: nodes})
	return b
}

// step passes time and returns the actions that are not timers.
func (b *harness) step(d time.Duration, events ...Event) []Action {
	b.now += d
	return slices.DeleteFunc(slices.Clone(b.c.Step(b.now, events)), func(a Action) bool {
		_, timer := a.(SetTimer)
		return timer
	})
}

// pass lets time pass with the controller's timers firing, the last step left out.
func (b *harness) advance(d time.Duration) {
	for ; d > 10*ms; d -= 10 * ms {
		b.step(10*ms, TimerFired{b.c.timerToken})
	}
	b.now += d
}

func nodeEntry(id string, shard int) Node { return Node{ID: id, Zone: "z" + id, Shard: shard} }

func readRequest(id string) Request {
	return Request{ID: id, Class: "read", Volume: "v", Hosts: 1, Units: 2, Expires: time.Second}
}

func requestOf(class, id string) Request {
	r := readRequest(id)
	r.Class, r.Expires = class, 2*time.Second
	return r
}

func outcomeOf(id, node string, attempt int, res Result) Outcome {
	return Outcome{ID: id, Node: node, Attempt: attempt, Result: res, Elapsed: 10 * ms, Closed: res == Done}
}

// sends lists the ids and nodes of the attempts among actions.
func sentAttempts(actions []Action) (list []string) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			list = append(list, s.ID+">"+s.Node)
		}
	}
	return list
}

// finals lists the final answers among actions.
func finalAnswers(actions []Action) (list []string) {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			list = append(list, "refuse "+a.ID)
		case Fail:
			list = append(list, "fail "+a.ID)
		}
	}
	return list
}

func (b *harness) expect(what string, got []string, expect ...string) {
	b.t.Helper()
	if !slices.Equal(got, expect) {
		b.t.Errorf("%s: got %v, want %v", what, got, expect)
	}
}

func TestNewNamesTheBadField(t *testing.T) {
	for _, tt := range []struct {
		name    string
		corrupt func(*Settings)
		want    string
	}{
		{"no class", func(s *Settings) { s.Classes = nil }, "classes"},
		{"unknown effect", func(s *Settings) { s.Classes[0].Effect = 9 }, "classes[read].effect"},
		{"unknown group", func(s *Settings) { s.Classes[1].Group = 9 }, "classes[write].group"},
		{"negative aim", func(s *Settings) { s.Classes[0].Aim = -1 }, "classes[read]"},
		{"negative cold time", func(s *Settings) { s.ColdFor = -1 }, "cold time"},
		{"worth no number", func(s *Settings) { s.Classes[0].Worth = math.NaN() }, "classes[read].worth"},
		{"mean units infinite", func(s *Settings) { s.MeanUnits = math.Inf(1) }, "mean units"},
		{"negative cold budget", func(s *Settings) { s.ColdBears = -1 }, "cold bears"},
		{"weight no number", func(s *Settings) { s.Plans = []Plan{{Name: "p", Weight: math.NaN()}} }, "plans[p]"},
		{"negative limit", func(s *Settings) { s.Plans = []Plan{{Name: "p", LimitRate: -1}} }, "plans[p]"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			tt.corrupt(&set)
			_, err := New(set, 1)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v does not name %q", err, tt.want)
			}
		})
	}
	if _, err := New(Settings{Classes: []Class{{Name: "bare"}}}, 1); err != nil {
		t.Errorf("odd but legal settings: %v", err)
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	got := b.step(ms, outcomeOf("x", "n", 0, Done), ClientGone{"x"}, TimerFired{77}, AnswerStarted{ID: "x"},
		ProbeResult{Node: "q"})
	if len(got) != 0 {
		t.Errorf("actions for what is not held: %v", got)
	}
}

// Rule 1: one final answer, nothing after it.
func TestOneFinalAnswer(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	b.expect("first", sentAttempts(b.step(ms, readRequest("a"))), "a>n")
	got := b.step(time.Second, outcomeOf("a", "n", 0, TimedOut), ClientGone{"a"}, TimerFired{b.c.timerToken})
	b.expect("outcome, client gone and timer in one batch", append(sentAttempts(got), finalAnswers(got)...))
	if len(b.c.requests) != 0 {
		t.Errorf("%d requests still kept", len(b.c.requests))
	}
	b.step(ms, readRequest("b"))
	got = b.step(time.Second-ms, outcomeOf("b", "n", 0, TimedOut))
	b.expect("time-out at the deadline", finalAnswers(got), "refuse b")
	got = b.step(ms, ClientGone{"b"})
	b.expect("after the answer", append(sentAttempts(got), finalAnswers(got)...))
}

func TestHeldRequestIsAnsweredByItsDeadline(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	answered, taken := map[string]int{}, 0
	for range 30 {
		taken++
		b.countAnswers(answered, b.step(0, readRequest(fmt.Sprint("r", taken))))
	}
	for range 110 { // the node answers nothing
		b.countAnswers(answered, b.step(10*ms, TimerFired{b.c.timerToken}))
	}
	out := 0
	for _, r := range b.c.requests {
		if r.held {
			t.Errorf("%s is still held after its deadline", r.ID)
		}
		out++
	}
	if len(answered)+out != taken {
		t.Errorf("%d answered and %d out of %d", len(answered), out, taken)
	}
}

func (b *harness) countAnswers(answered map[string]int, actions []Action) {
	b.t.Helper()
	for _, f := range finalAnswers(actions) {
		id := strings.Fields(f)[1]
		if answered[id]++; answered[id] > 1 {
			b.t.Errorf("%s answered twice", id)
		}
	}
}

// Rule 2: which class goes where after which outcome.
func TestEffects(t *testing.T) {
	two := []Node{nodeEntry("n", 0), nodeEntry("o", 1)}
	free := func(class string) Request { r := requestOf(class, "a"); r.Shard = AnyShard; return r }
	for _, tt := range []struct {
		name   string
		req    Request
		result Result
		after  time.Duration
		want   string // where it goes next, or the final answer
	}{
		{"safe after an error", requestOf("read", "a"), Error, ms, "send"},
		{"unsafe after an error", requestOf("once", "a"), Error, ms, "fail"},
		{"unsafe turned away", requestOf("once", "a"), Busy, ms, "send"},
		{"unsafe unreachable", requestOf("once", "a"), Unreachable, ms, "send"},
		{"unsafe reset", requestOf("once", "a"), Reset, ms, "fail"},
		{"keyed cell in its window", free("write"), Error, 100 * ms, "same"},
		{"keyed cell after its window", free("write"), Error, 501 * ms, "fail"},
		{"keyed all after its window", free("anywhere"), Error, 501 * ms, "refuse"},
		{"keyed zone in its window", free("zoned"), Reset, 100 * ms, "same"},
		{"keyed zone after its window", free("zoned"), Reset, 501 * ms, "fail"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, settings(), two...)
			first := sentAttempts(b.step(ms, tt.req))
			if len(first) != 1 {
				t.Fatalf("first attempts %v", first)
			}
			at := first[0][2:]
			got := b.step(tt.after, outcomeOf("a", at, 0, tt.result))
			switch tt.want {
			case "send":
				if len(sentAttempts(got)) != 1 {
					t.Errorf("got %v", got)
				}
			case "same":
				b.expect("next", sentAttempts(got), first[0])
			default:
				b.expect("answer", append(sentAttempts(got), finalAnswers(got)...), tt.want+" a")
			}
		})
	}
}

// A keyed request that may have run leaves its group neither when its node goes
// nor when another is free.
func TestKeyedStaysInItsGroup(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
	r := requestOf("write", "a")
	r.Shard = AnyShard
	first := sentAttempts(b.step(ms, r))[0][2:]
	shard := b.c.nodes[first].Shard
	got := b.step(ms, NodeList{Kind: ListDelta, Nodes: []Node{{ID: first, Shard: shard, State: Gone}}},
		outcomeOf("a", first, 0, Reset))
	b.expect("no node of the group", append(sentAttempts(got), finalAnswers(got)...), "fail a")
}

// Rule 3: nothing new once told, whatever the list calls it.
func TestDrainingNodeGetsNothingNew(t *testing.T) {
	gone := []struct {
		name string
		news NodeList
	}{
		{"draining", NodeList{Kind: ListDelta, Nodes: []Node{{ID: "n", State: Draining}}}},
		{"gone", NodeList{Kind: ListDelta, Nodes: []Node{{ID: "n", State: Gone}}}},
		{"left out of a full list", NodeList{Kind: ListFull, Nodes: []Node{nodeEntry("o", 1)}}},
	}
	for _, tt := range gone {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
			for i := range 9 { // some held
				b.step(0, readRequest(fmt.Sprint("h", i)))
			}
			got := b.step(ms, tt.news, readRequest("a"))
			got = append(got, b.step(ms, outcomeOf("h0", "n", 0, Done))...)
			b.expect("sends", sentAttempts(got))
			b.step(ms, NodeList{Kind: ListDelta, Nodes: []Node{nodeEntry("n", 0)}})
			b.expect("back", sentAttempts(b.step(ms, readRequest("b"))), "b>n")
		})
	}
	b := newHarness(t, settings(), nodeEntry("n", 0))
	b.step(ms, NodeList{Kind: ListDelta, Nodes: []Node{{ID: "n", State: Draining}, nodeEntry("p", 0)}})
	b.expect("successor of the same shard", sentAttempts(b.step(ms, readRequest("a"))), "a>p")
	b.step(ms, NodeList{Kind: ListFailed})
	b.expect("list kept after a failure", sentAttempts(b.step(ms, readRequest("b"))), "b>p")
}

func TestListOnRequest(t *testing.T) {
	set := settings()
	set.ListOnRequest, set.AskWithin = true, 10*time.Second
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, c: c, now: time.Hour}
	asks := func(a []Action) int {
		return len(slices.DeleteFunc(a, func(a Action) bool { _, ok := a.(Subscribe); return !ok }))
	}
	if n := asks(b.step(0, NodeList{Kind: ListCached})); n != 1 {
		t.Errorf("%d calls at the start, want 1", n)
	}
	b.step(ms, NodeList{Kind: ListFailed})
	if n := asks(b.step(9*time.Second, TimerFired{b.c.timerToken})); n != 1 {
		t.Errorf("%d calls within the stated silence after a failure, want 1", n)
	}
	b.step(ms, NodeList{Kind: ListFull})
	if n := asks(b.step(time.Minute)); n != 0 {
		t.Errorf("%d calls while subscribed, want 0", n)
	}
}

// TestClientGone: what is held for a client that has gone does not leave any more; what is out is called off where
// the settings allow it, and nothing is answered.
func TestClientGone(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		set := settings()
		set.Cancelling = cancelling
		b := newHarness(t, set, nodeEntry("n", 0))
		var out, held []string
		for i := range 40 {
			id := fmt.Sprint("r", i)
			if len(sentAttempts(b.step(0, requestOf("write", id)))) > 0 {
				out = append(out, id)
			} else if b.c.requests[id] != nil {
				held = append(held, id)
			}
		}
		if len(out) == 0 || len(held) == 0 {
			t.Fatalf("%d out, %d held", len(out), len(held))
		}
		var gone []Event
		for _, id := range append(out, held...) {
			gone = append(gone, ClientGone{id})
		}
		called := 0
		for _, a := range b.step(ms, gone...) {
			c, ok := a.(Cancel)
			if !ok || !slices.Contains(out, c.ID) || c.Attempt != 0 {
				t.Fatalf("%+v", a)
			}
			called++
		}
		if want := map[bool]int{true: len(out)}[cancelling]; called != want {
			t.Errorf("cancelling %v: %d called off of %d out", cancelling, called, len(out))
		}
		for _, id := range out {
			b.step(0, Outcome{ID: id, Node: "n", Result: Cancelled, Closed: true})
		}
		b.advance(3 * time.Second)
		if len(b.c.requests) != 0 {
			t.Errorf("%d requests are remembered", len(b.c.requests))
		}
	}
}

// TestRepeatBeginsWithinItsWindow: a keyed request that may have run is sent again with the moment from which on
// the repeat would not be dropped; a first attempt, and a safe one, go whenever they can.
func TestRepeatBeginsWithinItsWindow(t *testing.T) {
	latest := func(actions []Action) time.Duration {
		t.Helper()
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				return s.Latest
			}
		}
		t.Fatalf("nothing is sent: %+v", actions)
		return 0
	}
	for class, again := range map[string]time.Duration{"write": 500 * ms, "read": 0} {
		b := newHarness(t, settings(), nodeEntry("n", 0))
		began := b.now
		if l := latest(b.step(0, requestOf(class, "a"))); l != 0 {
			t.Errorf("%s: a first attempt must begin by %v", class, l)
		}
		if l := latest(b.step(20*ms, outcomeOf("a", "n", 0, Error))); again == 0 && l != 0 || again > 0 && l != began+again {
			t.Errorf("%s: the repeat must begin by %v, sent at %v", class, l, began)
		}
	}
}

// Rule 4: what all hosts together send to a cold node within any span of the stated
// length, each as much as it may, stays within the budget that they have in common,
// and is not nothing: for few hosts and for many, with and without work there before.
func TestColdBudget(t *testing.T) {
	for _, tt := range []struct {
		hosts  int
		before float64 // units a second that all hosts together had there before
	}{{1, 0}, {3, 0}, {3, 90}, {40, 90}, {270, 0}, {270, 90}} {
		set := settings()
		set.Hosts = tt.hosts
		set.ColdFor, set.ColdCapacity, set.FallMultiple = 10*time.Second, 0.2, 3
		set.FallSpan, set.ColdBears = time.Second, 20
		const seconds = 6
		var sent [seconds * 50]float64 // units by 20 ms, of all hosts
		for h := range tt.hosts {
			b := newHarness(t, set, nodeEntry("o", 1))
			b.c.rng.Seed(int64(h))
			b.c.servedByShard[0] = decayingSum{tt.before/float64(tt.hosts)*rateSpan.Seconds() + 1, b.now}
			b.c.servedTotal = decayingSum{2 * tt.before / float64(tt.hosts) * rateSpan.Seconds(), b.now} // as much at o
			n := nodeEntry("n", 0)
			n.StartedAt = b.now
			b.step(0, NodeList{Kind: ListDelta, Nodes: []Node{n}})
			for i := range sent {
				for _, s := range sentAttempts(b.step(20*ms, readRequest(fmt.Sprint("r", i)))) {
					sent[i] += 2
					id, _, _ := strings.Cut(s, ">")
					b.step(0, outcomeOf(id, "n", 0, Done))
				}
			}
		}
		total := 0.0
		for from := range sent[:(seconds-1)*50] {
			units := 0.0
			for _, u := range sent[from : from+50] {
				units += u
			}
			warmth := 0.2 + 0.8*float64(from+50)/500
			// What it bears in any case, or the multiple of what it can, which is more than it did before.
			most := max(20*warmth/0.2, 3*warmth*tt.before/maxMeanLoad)
			if slack := 2.0 * float64(min(tt.hosts, 4)); units > most+slack {
				t.Fatalf("%+v: %v units within a span from %d ms, at most %v", tt, units, 20*from, most)
			}
			total += sent[from]
		}
		if total < 20 {
			t.Errorf("%+v: %v units in all, nearly nothing", tt, total)
		}
	}
}

// Rule 5: this host's part of a volume's store.
func TestLimit(t *testing.T) {
	set := settings()
	set.Plans = []Plan{{Name: "p", LimitRate: 20, LimitBurst: 40, LimitSlack: 4, Weight: 1}}
	b := newHarness(t, set, nodeEntry("n", 0))
	units := 0.0
	for i := range 300 {
		r := readRequest(fmt.Sprint("r", i))
		r.Plan, r.Hosts = "p", 2
		for _, s := range sentAttempts(b.step(10*ms, r)) {
			units += 2
			id, _, _ := strings.Cut(s, ">")
			b.step(0, outcomeOf(id, "n", 0, Done))
		}
	}
	// 3 s at half of 20 a second, and half of the slack.
	if most := 3*10.0 + 2; units > most || units < most/2 {
		t.Errorf("%v units sent, at most %v and at least half of it", units, most)
	}
}

// Rule 6: turns by key, and the rest after doubt.
func TestKeyOrder(t *testing.T) {
	set := settings()
	set.OrderRest = 100 * ms
	b := newHarness(t, set, nodeEntry("n", 0))
	turn := func(id string) Request { r := requestOf("turns", id); r.Item = "k"; return r }
	b.expect("first", sentAttempts(b.step(0, turn("a"), turn("b"), turn("c"))), "a>n")
	b.expect("own further try goes first", sentAttempts(b.step(ms, outcomeOf("a", "n", 0, Error))), "a>n")
	b.expect("client gone, attempt still out", sentAttempts(b.step(ms, ClientGone{"a"})))
	b.expect("doubt", sentAttempts(b.step(ms, outcomeOf("a", "n", 1, TimedOut))))
	b.expect("rest", sentAttempts(b.step(90*ms, TimerFired{b.c.timerToken})))
	b.expect("rested", sentAttempts(b.step(11*ms, TimerFired{b.c.timerToken})), "b>n")
	b.expect("next", sentAttempts(b.step(ms, outcomeOf("b", "n", 0, Done))), "c>n")
}

// Rule 7: further attempts within the stated budget.
func TestAttemptBudget(t *testing.T) {
	set := settings()
	set.ExtraFree, set.ExtraShare, set.ExtraSpan = 2, 0.1, 5*time.Second
	b := newHarness(t, set, nodeEntry("n", 0))
	taken, extra := 0, 0
	for i := range 60 {
		id := fmt.Sprint("r", i)
		taken++
		for attempt := range sentAttempts(b.step(20*ms, readRequest(id))) {
			for again := true; again; attempt++ {
				got := sentAttempts(b.step(0, outcomeOf(id, "n", attempt, Error)))
				again = len(got) > 0
				extra += len(got)
			}
		}
		if most := 2 + 0.1*float64(taken); float64(extra) > most {
			t.Fatalf("%d further attempts after %d requests, at most %v", extra, taken, most)
		}
	}
	if extra == 0 {
		t.Error("no further attempt at all")
	}
}

func TestNoSecondCopy(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	b.step(0, readRequest("a"))
	for range 50 {
		b.expect("while one is out", sentAttempts(b.step(10*ms, TimerFired{b.c.timerToken})))
	}
}

// The emulation: what ends when, and who is refused.
func TestEmulation(t *testing.T) {
	held := func(id string, units float64, deadline, aim time.Duration, worth float64) *request {
		return &request{Request: Request{ID: id, Units: units}, deadline: time.Hour + deadline,
			aimAt: time.Hour + aim, worth: worth, class: &class{Class: Class{LateWorth: 0.1, Aim: aim}},
			volume: &volume{plan: &Plan{}}}
	}
	for _, tt := range []struct {
		name string
		held []*request
		want []string // refused
	}{
		{"all in time", []*request{held("a", 2, 500*ms, 200*ms, 1), held("b", 2, 500*ms, 200*ms, 1)}, nil},
		{"read ahead for a later deadline", []*request{held("a", 2, 100*ms, 100*ms, 1),
			held("b", 6, 900*ms, 400*ms, 1)}, nil},
		{"deadline missed", []*request{held("a", 2, 500*ms, 200*ms, 1), held("b", 20, 900*ms, 900*ms, 1)},
			[]string{"refuse b"}},
		{"the one worth least gives way", []*request{held("a", 4, 500*ms, 200*ms, 1),
			held("b", 4, 510*ms, 200*ms, 5)}, []string{"refuse a"}},
		{"late is worth little", []*request{held("a", 4, 500*ms, -ms, 1), held("b", 4, 510*ms, 250*ms, 5)},
			[]string{"refuse a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, settings(), nodeEntry("n", 0))
			n := b.c.nodes["n"]
			n.window = 0 // nothing leaves
			// 20 units a second, measured.
			n.meter.slots = []meterSlot{{start: b.now, units: 20, heldTime: float64(time.Second)}}
			for _, r := range tt.held {
				r.node, r.held = n, true
				n.held = append(n.held, r)
			}
			b.c.actions, b.c.now = nil, b.now
			b.c.shed(n)
			b.expect("refused", finalAnswers(b.c.actions), tt.want...)
		})
	}
}

func TestDepartureByDeadline(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	b.c.nodes["n"].window = 1
	b.c.overallUnitTime = lowQuantile{value: float64(5 * ms), count: 100} // known from other nodes
	b.step(0, readRequest("first"))
	late, soon := requestOf("write", "late"), readRequest("soon")
	b.c.nodes["n"].wait.last, b.c.nodes["n"].wait.at = float64(90*ms), b.now
	b.step(0, late, soon)
	slow := outcomeOf("first", "n", 0, Done) // the window stays at one
	slow.Elapsed = 90 * ms
	b.expect("next", sentAttempts(b.step(5*ms, slow)), "soon>n")
	b.expect("then", sentAttempts(b.step(5*ms, outcomeOf("soon", "n", 0, Done))), "late>n")
}

func TestWindow(t *testing.T) {
	for _, tt := range []struct {
		name   string
		result Result
		took   time.Duration
		grows  bool
	}{
		{"quick answer", Done, 5 * ms, true},
		{"answer past the aim", Done, 150 * ms, false},
		{"fast error", Error, ms, false},
		{"turned away", Busy, ms, false},
		{"time-out", TimedOut, 150 * ms, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, settings(), nodeEntry("n", 0))
			n := b.c.nodes["n"]
			b.c.overallUnitTime = lowQuantile{value: float64(2 * ms), count: 100} // known from other nodes
			for i := range 200 {
				id := fmt.Sprint("r", i)
				before := n.window
				for range sentAttempts(b.step(0, readRequest(id))) {
					o := outcomeOf(id, "n", 0, tt.result)
					o.Elapsed, o.Closed = tt.took, true
					b.advance(tt.took)
					b.step(0, o)
				}
				if n.window > maxWindow || n.window < minWindow {
					t.Fatalf("window %v out of bounds", n.window)
				}
				if !tt.grows && n.window > before {
					t.Fatalf("window grew from %v to %v", before, n.window)
				}
			}
			if !tt.grows && n.window != minWindow {
				t.Errorf("window %v, want the floor", n.window)
			}
		})
	}
}

func TestNewObjectGoesWhereItEndsFirst(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
	b.step(0, readRequest("a"))
	w := requestOf("write", "w")
	w.Shard = AnyShard
	b.expect("new object", sentAttempts(b.step(ms, w)), "w>o")
}

// A measured rate that was brought down in a pause must not refuse what an open
// window would serve (atlanta-main big-2).
func TestLowMeasuredRateDoesNotRefuse(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	n := b.c.nodes["n"]
	n.rtt, n.unitTime = float64(10*ms), lowQuantile{value: float64(5 * ms), count: 1}
	n.meter.slots = []meterSlot{{start: b.now, units: 0, heldTime: float64(5 * time.Second)}}
	var run []Event
	for i := range 8 {
		run = append(run, readRequest(fmt.Sprint("r", i)))
	}
	if got := b.step(ms, run...); len(finalAnswers(got)) != 0 {
		t.Errorf("refused at an open window: %v", finalAnswers(got))
	}
}

// Under a load of three times the rate, answers go on coming in time: what is
// late already gives way (incidents i2a3b36, id6193e, i1de7f9).
func TestOverloadDoesNotQueueLate(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	taken, sent := map[string]time.Duration{}, map[string]time.Duration{}
	var out []string
	inTime, late := 0, 0
	for i := range 3000 {
		var events []Event
		if i%2 == 0 && len(out) > 0 { // an answer each 10 ms
			id := out[0]
			out = out[1:]
			if b.now+5*ms-taken[id] <= 100*ms {
				inTime++
			} else {
				late++
			}
			o := outcomeOf(id, "n", 0, Done)
			o.Elapsed = b.now + 5*ms - sent[id]
			events = append(events, o)
		}
		for k := range 2 {
			id := fmt.Sprint("r", i, ".", k)
			taken[id] = b.now + 5*ms
			events = append(events, readRequest(id))
		}
		for _, s := range sentAttempts(b.step(5*ms, events...)) {
			id, _, _ := strings.Cut(s, ">")
			out, sent[id] = append(out, id), b.now
		}
	}
	if inTime < 10*late {
		t.Errorf("%d in time, %d late", inTime, late)
	}
}

// The rules hold over random legal events, and the same events give the same
// actions.
func TestRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		first, second := playRandom(t, seed), playRandom(t, seed)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// world keeps what the rules need to know of a random sequence.
type ruleChecker struct {
	t        *testing.T
	over     map[string]bool
	answers  map[string]int
	requests map[string]Request
	tries    map[string]int
	out      []Outcome // attempts without an outcome
	state    map[string]NodeState
}

func (w *ruleChecker) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if w.over[a.ID] || w.state[a.Node] != Ready {
				w.t.Fatalf("attempt for %s (over %v) at %s (state %v)", a.ID, w.over[a.ID], a.Node, w.state[a.Node])
			}
			for _, o := range w.out {
				if o.ID == a.ID {
					w.t.Fatalf("%s has two attempts out", a.ID)
				}
			}
			w.out = append(w.out, Outcome{ID: a.ID, Node: a.Node, Attempt: w.tries[a.ID]})
			w.tries[a.ID]++
		case Refuse:
			w.final(a.ID)
		case Fail:
			w.final(a.ID)
		}
	}
}

func (w *ruleChecker) final(id string) {
	if w.over[id] {
		w.t.Fatalf("%s answered after its end", id)
	}
	w.over[id] = true
}

func playRandom(t *testing.T, seed int64, first ...Event) []Action {
	rng := rand.New(rand.NewSource(seed))
	set := settings()
	set.ShareWorth, set.SpareWorth, set.Plans = 0.8, 0.1, []Plan{{Name: "", Nominal: 20, Weight: 1}}
	set.ExtraSpan, set.ExtraFree, set.ExtraShare = time.Second, 3, 0.2
	set.ColdFor, set.ColdCapacity, set.FallMultiple, set.FallSpan, set.ColdBears =
		5*time.Second, 0.2, 3, time.Second, 20
	nodes := []Node{nodeEntry("n", 0), nodeEntry("o", 1), nodeEntry("p", 2)}
	b := newHarness(t, set, nodes...)
	b.step(0, first...)
	w := &ruleChecker{t: t, over: map[string]bool{}, requests: map[string]Request{}, tries: map[string]int{},
		state: map[string]NodeState{}}
	var all []Action
	for i := range 1500 {
		var events []Event
		for range rng.Intn(4) {
			r := requestOf(set.Classes[rng.Intn(len(set.Classes))].Name, fmt.Sprint("q", i, ".", len(events)))
			r.Shard, r.Units, r.Item = rng.Intn(4)-1, float64(1+rng.Intn(8)), fmt.Sprint("k", rng.Intn(20))
			r.Expires = time.Duration(20+rng.Intn(800)) * ms
			w.requests[r.ID] = r
			events = append(events, r)
		}
		for range rng.Intn(3) {
			if len(w.out) == 0 {
				break
			}
			k := rng.Intn(len(w.out))
			o := w.out[k]
			w.out = slices.Delete(w.out, k, k+1)
			o.Result = Result(rng.Intn(int(resultCount)))
			o.Elapsed = time.Duration(rng.Intn(200)) * ms
			o.Closed = w.over[o.ID] || o.Result == Done
			w.over[o.ID] = o.Closed
			events = append(events, o)
		}
		if rng.Intn(30) == 0 {
			n := nodes[rng.Intn(len(nodes))]
			n.State = NodeState(rng.Intn(3))
			if n.State == Ready && rng.Intn(2) == 0 {
				n.StartedAt = b.now
			}
			w.state[n.ID] = n.State
			events = append(events, NodeList{Kind: ListDelta, Nodes: []Node{n}})
		}
		if rng.Intn(10) == 0 {
			id := fmt.Sprint("q", rng.Intn(i+1), ".0")
			if _, known := w.requests[id]; known {
				w.over[id] = true
				events = append(events, ClientGone{id})
			}
		}
		actions := b.step(time.Duration(rng.Intn(20))*ms, append(events, TimerFired{b.c.timerToken})...)
		w.check(actions)
		all = append(all, actions...)
	}
	for i := 0; i < 100; i++ { // all clients' time passes
		w.check(b.step(20*ms, TimerFired{b.c.timerToken}))
	}
	for id := range w.requests {
		out := slices.ContainsFunc(w.out, func(o Outcome) bool { return o.ID == id })
		if !w.over[id] && !out {
			t.Fatalf("seed %d: %s got no answer", seed, id)
		}
	}
	return all
}

// Sends of r0, r1, ... until the node has been given up on: nothing it was sent
// is answered (incident i9a2a8a).
func TestSilentNodeGetsFewAttemptsAndRecovers(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
	logs := 0
	step := func(d time.Duration, events ...Event) []Action {
		got := b.step(d, events...)
		for _, a := range got {
			if _, ok := a.(Log); ok {
				logs++
			}
		}
		return got
	}
	var last string
	sent := 0
	for i := range 200 {
		for _, s := range sentAttempts(step(10*ms, readRequest(fmt.Sprint("r", i)))) {
			last, _, _ = strings.Cut(s, ">")
			if i >= 100 {
				sent++
			}
		}
	}
	if sent == 0 || sent > 10 {
		t.Errorf("%d attempts in the second second of silence, want a trickle", sent)
	}
	w := requestOf("write", "w")
	w.Shard = AnyShard
	b.expect("new object", sentAttempts(step(ms, w)), "w>o")
	step(ms, outcomeOf(last, "n", 0, Done))
	b.expect("after an answer", sentAttempts(step(ms, readRequest("z"))), "z>n")
	if logs != 2 {
		t.Errorf("%d log lines, want one for the silence and one for its end", logs)
	}
}

// An unreachable node has nothing queued; new objects must not flock to it
// (incidents i9a2a8a, i28f911).
func TestUnreachableNodeGetsNoNewObjects(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
	bad := 0
	for i := range 40 {
		w := requestOf("write", fmt.Sprint("w", i))
		w.Shard = AnyShard
		for again := sentAttempts(b.step(5*ms, w)); len(again) > 0; {
			id, at, _ := strings.Cut(again[0], ">")
			o := outcomeOf(id, at, len(b.c.requests[id].attempts)-1, Done)
			if at == "n" {
				o.Result, o.Closed = Unreachable, false
				bad++
			}
			again = sentAttempts(b.step(ms, o))
		}
	}
	if bad > suspectFailures {
		t.Errorf("%d new objects tried at the unreachable node", bad)
	}
}

// One lost answer must not block a window of one (incident i9a2a8a).
func TestLostAnswerDoesNotBlock(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	n := b.c.nodes["n"]
	n.window, n.rtt = minWindow, float64(10*ms)
	b.step(ms, readRequest("lost"))
	b.expect("one out", sentAttempts(b.step(ms, readRequest("a"))))
	b.expect("overdue", sentAttempts(b.step(200*ms, readRequest("b"))), "b>n")
}

// Errors are no reason to shun the only node that serves a read.
func TestErrorsDoNotMakeSuspect(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	for i := range 20 {
		id := fmt.Sprint("r", i)
		for range sentAttempts(b.step(20*ms, readRequest(id))) {
			o := outcomeOf(id, "n", 0, Error)
			o.Closed = true
			b.step(ms, o)
		}
	}
	b.expect("read", sentAttempts(b.step(20*ms, readRequest("a"))), "a>n")
}

// The queue is other hosts' work: this host sends one request now and then, and
// each waits. What would come late is refused, what was seen fades, and a node
// heard of long ago counts as nodes in general do (incidents iace8ba, i441b33,
// ie79a12).
func TestBacklogOfOtherHostsIsSeen(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
	b.c.overallUnitTime = lowQuantile{value: float64(5 * ms), count: 100}
	for i := range 4 {
		id := fmt.Sprint("r", i)
		got := b.step(0, readRequest(id))
		for range sentAttempts(got) {
			o := outcomeOf(id, "n", 0, Done)
			o.Elapsed = 400 * ms
			b.advance(400 * ms)
			b.step(0, o)
		}
	}
	b.expect("behind a queue of 400 ms", finalAnswers(b.step(ms, readRequest("late"))), "refuse late")
	other := readRequest("other")
	other.Shard = 1
	if b.c.backlog(b.c.nodes["o"]) == 0 {
		t.Error("nothing is held likely of a node not heard of, when others have queues")
	}
	b.expect("long after", sentAttempts(b.step(time.Minute, readRequest("again"))), "again>n")
}

// One costly request among quick ones is no backlog.
func TestCostlyRequestIsNoBacklog(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	for i := range 20 {
		id := fmt.Sprint("r", i)
		b.step(0, readRequest(id))
		o := outcomeOf(id, "n", 0, Done)
		if i == 18 {
			o.Elapsed = 400 * ms
		}
		b.step(o.Elapsed, o)
	}
	if w := b.c.backlog(b.c.nodes["n"]); w > float64(10*ms) {
		t.Errorf("backlog %v after one costly request", time.Duration(w))
	}
}

// Little time from the start is no retry: the aim counts from now. A retry's aim
// counts from its first try, and so does that of what came while this host stood
// still (atlanta-main-later, days of give_up; all days of balancer_stall).
func TestTimeSpentBeforeArrival(t *testing.T) {
	unserved := func(b *harness, item string) {
		first := readRequest("f")
		first.Item = item
		b.step(0, first)
		b.step(190*ms, outcomeOf("f", "n", 0, TimedOut), ClientGone{"f"})
		b.step(10 * ms)
	}
	for _, tt := range []struct {
		name    string
		before  func(b *harness)
		flagged bool
		want    time.Duration
	}{
		{"little time from the start", func(b *harness) { b.step(200 * ms) }, false, 0},
		{"a retry of what was not served", func(b *harness) { unserved(b, "x") }, false, 200 * ms},
		{"another item was not served", func(b *harness) { unserved(b, "y") }, false, 0},
		{"flagged as a retry", func(b *harness) { b.step(0) }, true, 200 * ms},
		{"came while this host stood still", func(b *harness) {
			b.c.setTimerAt(b.now + 10*ms)
			b.step(300 * ms)
		}, false, 200 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, settings(), nodeEntry("n", 0))
			b.step(0, readRequest("usual"))
			b.step(ms, outcomeOf("usual", "n", 0, Done))
			b.step(time.Second, TimerFired{b.c.timerToken})
			tt.before(b)
			again := readRequest("s")
			again.Item, again.Expires, again.Retry = "x", 800*ms, tt.flagged
			if got := b.c.timeSpent(again, b.c.classes["read"]); got != tt.want {
				t.Errorf("%v of the patience taken as spent, want %v", got, tt.want)
			}
		})
	}
}

// A new object goes rather to a node heard from lately than to one that was quick
// long ago (atlanta-main-later big-2: slow nodes, found out by each of 150 hosts).
func TestNewObjectPrefersRecentlyHeardNode(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0), nodeEntry("o", 1))
	at := func(node string, shard int, id string, took time.Duration) {
		r := readRequest(id)
		r.Shard = shard
		b.step(0, r)
		o := outcomeOf(id, node, 0, Done)
		o.Elapsed = took
		b.step(took, o)
	}
	at("n", 0, "a", 10*ms)
	b.step(20*time.Second, TimerFired{b.c.timerToken})
	at("o", 1, "b", 20*ms)
	w := requestOf("write", "w")
	w.Shard = AnyShard
	b.expect("new object", sentAttempts(b.step(ms, w)), "w>o")
}

// What nothing refers to any more is dropped: a host that runs for months, through
// many nodes, volumes and items, keeps a bounded state.
func TestStateIsBounded(t *testing.T) {
	set := settings()
	set.ExtraSpan, set.ExtraFree, set.ExtraShare, set.OrderRest = time.Second, 3, 0.2, 100*ms
	b := newHarness(t, set)
	for i := range 1000 {
		id := fmt.Sprint("n", i)
		n := nodeEntry(id, i)
		b.step(time.Second, NodeList{Kind: ListDelta, Nodes: []Node{n}})
		r := requestOf("turns", fmt.Sprint("r", i))
		r.Shard, r.Item, r.Volume = i, fmt.Sprint("item", i), fmt.Sprint("volume", i)
		if got := sentAttempts(b.step(0, r)); len(got) != 1 {
			t.Fatalf("%s: attempts %v", r.ID, got)
		}
		o := outcomeOf(r.ID, id, 0, Done)
		if i%3 == 0 {
			o.Result, o.Closed = TimedOut, true
		}
		n.State = Gone
		b.step(10*ms, o, NodeList{Kind: ListDelta, Nodes: []Node{n}})
	}
	most := 4 * int(stateRetention/time.Second)
	for what, k := range map[string]int{"volumes": len(b.c.volumes), "nodes": len(b.c.nodes), "order": len(b.c.nodesByID),
		"items": len(b.c.items), "unserved": len(b.c.firstTries), "served": len(b.c.servedByShard),
		"taken": len(b.c.recentRequests), "extra": len(b.c.recentRetries), "after": len(b.c.laterAttempts), "requests": len(b.c.requests)} {
		if k > most {
			t.Errorf("%d %s kept, want %d at most", k, what, most)
		}
	}
}

// An answer found after this host stood still tells nothing of its node: a timer that
// fires late tells (days of balancer_stall).
func TestHostStallDoesNotPenalizeNode(t *testing.T) {
	b := newHarness(t, settings(), nodeEntry("n", 0))
	b.c.overallUnitTime = lowQuantile{value: float64(5 * ms), count: 100}
	n := b.c.nodes["n"]
	for i := range 10 {
		id := fmt.Sprint("r", i)
		b.step(0, readRequest(id)) // sets a timer
		o := outcomeOf(id, "n", 0, Done)
		o.Elapsed = 500 * ms
		b.step(500*ms, o)
	}
	if n.suspect() || n.window < initialWindow || b.c.backlog(n) > float64(ms) {
		t.Errorf("suspect %v, window %v, backlog %v after own stalls", n.suspect(), n.window, b.c.backlog(n))
	}
}

// Odd but legal settings and events of any value: no panic, and every time in an
// action is finite and not negative.
func TestExtremeSettings(t *testing.T) {
	for name, odd := range map[string]func(*Settings){
		"no hosts":          func(s *Settings) { s.Hosts = 0 },
		"1000 hosts":        func(s *Settings) { s.Hosts = 1000 },
		"no units":          func(s *Settings) { s.MeanUnits, s.MostUnits = 0, 0 },
		"no cold budget":    func(s *Settings) { s.ColdFor, s.FallSpan, s.ColdBears = time.Second, time.Second, 0 },
		"cold for ever":     func(s *Settings) { s.ColdFor, s.FallSpan = 1<<62, time.Second },
		"no fall span":      func(s *Settings) { s.ColdFor, s.ColdBears = time.Second, 10 },
		"aims past deadlin": func(s *Settings) { s.Classes[0].Aim = time.Hour },
		"no aims":           func(s *Settings) { s.Classes[0].Aim, s.Classes[0].Deadline = 0, 0 },
		"plans weigh 0":     func(s *Settings) { s.Plans = []Plan{{Name: "p", Nominal: 3}}; s.ShareWorth = 1 },
		"reports":           func(s *Settings) { s.LoadFields = []string{"queue", "latency_ms"} },
	} {
		t.Run(name, func(t *testing.T) {
			set := settings()
			odd(&set)
			rng := rand.New(rand.NewSource(1))
			b := newHarness(t, set, nodeEntry("n", 0), nodeEntry("o", 1))
			loads := [][]float64{nil, {0, 5}, {math.NaN(), math.Inf(1)}, {-1, -1}, {1e300, 1e300}, {1}}
			var out []Outcome
			for i := range 2000 {
				r := requestOf([]string{"read", "write", "turns"}[rng.Intn(3)], fmt.Sprint("r", i))
				r.Plan, r.Shard, r.Hosts, r.Units = "p", rng.Intn(4)-1, rng.Intn(3)*rng.Intn(500), float64(rng.Intn(9))
				r.Expires = time.Duration(rng.Intn(2000)) * ms
				events := []Event{r, TimerFired{b.c.timerToken}}
				if len(out) > 3 {
					o := out[0]
					out = out[1:]
					o.Result, o.Elapsed = Result(rng.Intn(int(resultCount))), time.Duration(rng.Intn(1000))*ms
					o.Load = loads[rng.Intn(len(loads))]
					events = append(events, o)
				}
				if rng.Intn(20) == 0 {
					n := nodeEntry("n", 0)
					n.StartedAt = b.now
					events = append(events, NodeList{Kind: ListDelta, Nodes: []Node{n}})
				}
				b.now += time.Duration(rng.Intn(30)) * ms
				for _, a := range b.c.Step(b.now, events) {
					switch a := a.(type) {
					case Send:
						out = append(out, Outcome{ID: a.ID, Node: a.Node})
					case Refuse:
						if a.RetryAfter < 0 || a.RetryAfter > time.Hour {
							t.Fatalf("retry after %v", a.RetryAfter)
						}
					case SetTimer:
						if a.At < b.now || a.At > b.now+time.Hour {
							t.Fatalf("a timer %v from now", a.At-b.now)
						}
					}
				}
			}
			for _, n := range b.c.nodesByID {
				if w := b.c.backlog(n); math.IsNaN(w) || math.IsInf(w, 0) || math.IsNaN(n.window) {
					t.Errorf("node %s: backlog %v, window %v", n.ID, w, n.window)
				}
			}
		})
	}
}

// BenchmarkStep is a Step with one request and one answer at a host of 270, before 42
// nodes, without and with shares told.
func BenchmarkStep(b *testing.B) {
	shares := Shares{Version: 1, Trust: 1000 * time.Hour, Volumes: map[string]VolumeShare{}}
	for i := range 10_000 {
		shares.Volumes[fmt.Sprint("v", i)] = VolumeShare{Rate: 1, At: map[string]float64{"n1": 1}}
	}
	shares.Volumes["v"] = VolumeShare{Rate: 1000, At: map[string]float64{"n1": 500, "n2": 500}}
	b.Run("none", func(b *testing.B) { benchmarkStep(b) })
	b.Run("shares", func(b *testing.B) { benchmarkStep(b, shares) })
}

func benchmarkStep(b *testing.B, events ...Event) {
	set := settings()
	set.ShareWorth, set.SpareWorth = 0.8, 0.1
	set.Hosts, set.ColdFor, set.FallSpan = 270, 10*time.Second, time.Second
	c, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	var nodes []Node
	for i := range 42 {
		nodes = append(nodes, nodeEntry(fmt.Sprint("n", i), i))
	}
	now := time.Hour
	events = append(events, NodeList{Kind: ListCached, Nodes: nodes})
	for i := 0; b.Loop(); i++ {
		r := readRequest(fmt.Sprint("r", i))
		r.Shard = i%43 - 1
		now += 5 * ms
		sent := c.Step(now, append(events, r, TimerFired{c.timerToken}))
		events = nil
		for _, a := range sent {
			if s, ok := a.(Send); ok {
				events = append(events, outcomeOf(s.ID, s.Node, 0, Done))
			}
		}
	}
}

// A run of requests that can wait is held at a node with nothing else to do: it is
// not refused for its own length (quiet days of caerdydd-main).
func TestBurstThatCanWaitIsHeld(t *testing.T) {
	set := settings()
	set.Classes[1].Aim = time.Second // "write"
	b := newHarness(t, set, nodeEntry("n", 0))
	b.c.overallUnitTime = lowQuantile{value: float64(5 * ms), count: 100}
	b.c.meanUnitWorth = 4 // others are worth more
	var run []Event
	for i := range 20 {
		run = append(run, requestOf("write", fmt.Sprint("w", i)))
	}
	if got := finalAnswers(b.step(ms, run...)); len(got) != 0 {
		t.Errorf("refused of a run that takes a fifth of its aim: %v", got)
	}
}
