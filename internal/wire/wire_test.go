package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderhold/control"
)

const ms = time.Millisecond

func readEvents(t *testing.T, text string) []control.Event {
	t.Helper()
	r := NewReader(strings.NewReader(text))
	var list []control.Event
	for {
		m, err := r.Next()
		if errors.Is(err, io.EOF) {
			return list
		}
		if err != nil {
			t.Fatal(err)
		}
		if m.Kind == KindEvent {
			list = append(list, m.Event)
		}
	}
}

func TestEvents(t *testing.T) {
	for _, tt := range []struct {
		line string
		want control.Event
	}{
		{"DEMAND host-3 rq_a 0 3 standard 2 x-k p:c record-read 240.5 1", control.Request{ID: "rq_a",
			Class: "record-read", Plan: "standard", Volume: "p:c", Item: "x-k", Hosts: 3, Units: 2,
			Expires: 240500 * time.Microsecond}},
		{"DEMAND host-3 rq_a -1 - - - - - read 10 -", control.Request{ID: "rq_a", Class: "read",
			Shard: control.AnyShard, Expires: 10 * ms}},
		{"REPORT_BACK host-3 rq_a 1 node-x done 18.5 1 86 3 3,14.5", control.Outcome{ID: "rq_a", Attempt: 1,
			Node: "node-x", Elapsed: 18500 * time.Microsecond, Closed: true, VolumeUse: 86, OthersGot: 3,
			Load: []float64{3, 14.5}}},
		{"REPORT_BACK host-3 rq_a 0 node-x econnrefused 1 0 - - -", control.Outcome{ID: "rq_a",
			Node: "node-x", Result: control.Unreachable, Elapsed: ms}},
		{"TIMED_OUT_CLIENT host-3 rq_a", control.ClientGone{ID: "rq_a"}},
		{"ELAPSED host-3 9223372036854775807", control.TimerFired{Token: 1<<63 - 1}},
		{"ESTABLISHED host-3 rq_a 2 node-x 3", control.AnswerStarted{ID: "rq_a", Attempt: 2}},
		{"PROBED host-3 node-x etimedout 250 -", control.ProbeResult{Node: "node-x",
			Result: control.TimedOut, Elapsed: 250 * ms}},
		{"TARGETS host-3 - failed 0", control.NodeList{Kind: control.ListFailed}},
	} {
		if got := readEvents(t, tt.line+"\n"); len(got) != 1 || !reflect.DeepEqual(got[0], tt.want) {
			t.Errorf("%s\n got %+v\nwant %+v", tt.line, got, tt.want)
		}
	}
}

// TestListNumbersAreReusedInOrder checks that a newer list replaces an earlier one of the same number, also
// later in the same batch.
func TestListNumbersAreReusedInOrder(t *testing.T) {
	got := readEvents(t, "MARK 1 1\nPOOL 0 1\nNODE node-a z std 4 ready 1.5 -\nTARGETS host-0 0 cached 1\n"+
		"POOL 0 1\nNODE node-b z std 5 draining 1 6100.5\nTARGETS host-1 0 delta 2\nEND\n")
	want := []control.Event{
		control.NodeList{Kind: control.ListCached, Nodes: []control.Node{{ID: "node-a", Zone: "z", Shard: 4,
			Size: 1.5}}},
		control.NodeList{Kind: control.ListDelta, Nodes: []control.Node{{ID: "node-b", Zone: "z", Shard: 5,
			State: control.Draining, Size: 1, StartedAt: 6100500 * time.Microsecond}}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func TestMalformedLines(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{"MARK x 1\n", `line 1: "x" is not a number`},
		{"\nDEMAND host-1 rq_a\n", "line 2: a value is missing"},
		{"REPORT_BACK host-3 rq_a 0 node-x fine 1 0 - - -\n", `unknown outcome "fine"`},
		{"TARGETS host-3 7 full 1\n", "no list numbered 7"},
		{"TARGETS host-3 7 some 1\n", "unknown kind of list"},
		{"POOL 0 1\nNODE node-a z std 4 well 1 -\n", `line 2: unknown state "well"`},
		{"POOL 0 2\nNODE node-a z std 4 ready 1 -\n", "ends early"},
		{"HELLO host-1 5 {\n", "setup is not JSON"},
	} {
		r := NewReader(strings.NewReader(tt.text))
		var err error
		for err == nil {
			_, err = r.Next()
		}
		if !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: error %q does not say %q", tt.text, err, tt.want)
		}
	}
}

func TestActions(t *testing.T) {
	for _, tt := range []struct {
		action control.Action
		want   string
	}{
		{control.Send{ID: "rq_a", Node: "node-x", Within: 80 * ms}, "ATTEMPT host-3 rq_a node-x 80"},
		{control.Refuse{ID: "rq_a", RetryAfter: 1500 * time.Microsecond}, "SAY_NO host-3 rq_a 1.5"},
		{control.Fail{ID: "rq_a"}, "SURRENDER host-3 rq_a"},
		{control.Cancel{ID: "rq_a", Attempt: 2}, "RECALL host-3 rq_a 2"},
		{control.SetTimer{At: 8912250 * time.Microsecond, Token: 77}, "TIMER host-3 8912.25 77"},
		{control.Probe{Node: "node-x"}, "TEST host-3 node-x"},
		{control.Subscribe{}, "FOLLOW host-3 1"},
		{control.FetchList{}, "RELOAD host-3"},
		{control.Log{Text: "two\nservers  known"}, "RECORD host-3 two servers known"},
	} {
		if got := string(AppendAction(nil, "host-3", tt.action)); got != tt.want+"\n" {
			t.Errorf("got %q, want %q", got, tt.want)
		}
	}
}

func TestSettings(t *testing.T) {
	set, err := ParseSettings([]byte(`{"balancers":3,"new_key":{"x":1},"discovery":"on_request",
		"classes":[{"name":"r","effect":"retryable","slo_ms":120,"deadline_ms":1000,"credit":2},
		{"name":"w","effect":"dedup","dedup_scope":"cell","window_ms":1200,"in_order":true}],
		"family_info":{"writes":[false,true],"unit_mean":1.99,"cold_bears":37},
		"policies":[{"name":"p","nominal":5.8,"pays":0.72,"shares":3,"cap":9,"burst":20,"tolerance":2}],
		"safety":{"fall_ms":2000,"must_ask_in_ms":10000,"resend_ratio":0.15,"resend_span_ms":5000}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := control.Settings{Hosts: 3, ListOnRequest: true, MeanUnits: 1.99, ColdMinUnits: 37,
		OverloadSpan: 2 * time.Second, MaxListRequestInterval: 10 * time.Second, RetryBudgetRatio: 0.15, RetryBudgetSpan: 5 * time.Second,
		Classes: []control.Class{{Name: "r", Aim: 120 * ms, Deadline: time.Second, Worth: 2},
			{Name: "w", Effect: control.Keyed, Group: control.GroupCell, Window: 1200 * ms, InOrder: true,
				Writes: true}},
		Plans: []control.Plan{{Name: "p", Nominal: 5.8, Price: 0.72, Weight: 3, LimitRate: 9,
			LimitBurst: 20, LimitSlack: 2}}}
	if !reflect.DeepEqual(set, want) {
		t.Errorf("got %+v\nwant %+v", set, want)
	}
	for bad, field := range map[string]string{
		`{"classes":[{"name":"a","effect":"odd"}]}`:                                              "classes[0].effect",
		`{"classes":[{"name":"a","effect":"dedup","dedup_scope":"odd"}]}`:                        "classes[0].dedup_scope",
		`{"classes":[{"effect":"retryable"}]}`:                                                   "classes[0].name",
		`{"classes":[{"name":"a","effect":"retryable"},{"name":"a","effect":"fragile"}]}`:        "classes[1].name",
		`{"classes":[{"name":"a","effect":"retryable"}],"policies":[{"name":"p"},{"name":"p"}]}`: "policies[1].name",
		`{"classes":[{"name":"a","effect":"retryable"}],"discovery":"rumour"}`:                   "discovery",
		`{"classes":[{"name":"a","effect":"retryable"}],"limits":{"max_attempts":-1}}`:           "limits.max_attempts",
		`{"classes":[{"name":"a","effect":"retryable"}],"balancers":-1}`:                         "balancers",
		`{"classes":[{"name":"a","effect":"retryable"}],"family_info":{"slots_total":-8}}`:       "family_info.slots_total",
		`[]`: "settings",
	} {
		if _, err := ParseSettings([]byte(bad)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v, expected an error that names %s", bad, err, field)
		}
	}
	far, err := ParseSettings([]byte(`{"classes":[{"name":"a","effect":"retryable","deadline_ms":1e300}]}`))
	if err != nil || far.Classes[0].Deadline <= time.Hour {
		t.Errorf("a deadline beyond what a clock holds is read as %v: %v", far.Classes[0].Deadline, err)
	}
}
