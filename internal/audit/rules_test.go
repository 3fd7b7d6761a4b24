package audit

import (
	"strings"
	"testing"
	"time"
)

var rules = &Rules{
	Classes: []Class{
		{Name: "read", Effect: "safe", Aim: 100 * time.Millisecond, Worth: 2, LateWorth: 0.5},
		{Name: "write", Effect: "keyed", Group: "cell", Window: time.Second, Aim: 100 * time.Millisecond, Worth: 2},
		{Name: "pay", Effect: "unsafe", Worth: 1},
		{Name: "log", Effect: "safe", InOrder: true},
	},
	Plans:   []Plan{{Name: "p", Price: 0.5}, {Name: "limited", LimitRate: 10, LimitBurst: 20, LimitSlack: 5}},
	Volumes: map[string]string{"v": "p", "l": "limited"}, MeanUnits: 1,
	DrainGrace: 2 * time.Second, FallSpan: time.Second, ExtraFree: 2, ExtraShare: 0.1, ExtraSpan: 10 * time.Second,
	OrderRest: 500 * time.Millisecond, AnswerSlack: 8 * time.Millisecond, Travel: 20 * time.Millisecond,
}

const ms = int64(time.Millisecond)

func arrive(t int64, node string, ref uint64, attempt int, class string) Record {
	return Record{T: t * ms, Kind: Arrive, Node: node, Gateway: "g", Ref: ref, Attempt: attempt, Class: class,
		Volume: "v", Item: "i", Units: 1, Shard: int(node[len(node)-1] - '0')}
}

func end(t int64, node string, ref uint64, attempt int, result string) Record {
	return Record{T: t * ms, Kind: End, Node: node, Gateway: "g", Ref: ref, Attempt: attempt, Result: result}
}

func transfer(id string, from, to, limit int64, result string) []Record {
	return []Record{{T: from * ms, Kind: TransferStart, ID: id, Gateway: "g", Class: "read", Plan: "p", Units: 1, Limit: limit * ms},
		{T: to * ms, Kind: TransferEnd, ID: id, Gateway: "g", Result: result, Took: (to - from) * ms}}
}

func told(t int64, node, state string) Record {
	return Record{T: t * ms, Kind: NodeSent, Gateway: "g", Node: node, State: state}
}

// TestCheckFindsBreaches checks for each rule that Check reports records that break it, and reports nothing
// for records that come close to the rule's bound.
func TestCheckFindsBreaches(t *testing.T) {
	in := func(recs ...Record) []Record { return recs }
	limited := func(n int, step int64) (recs []Record) {
		for i := range n {
			r := arrive(int64(i)*step, "n1", uint64(i+1), 0, "read")
			r.Volume = "l"
			recs = append(recs, r)
		}
		return recs
	}
	retries := func(n int, refs uint64) (recs []Record) {
		recs = append(recs, arrive(0, "n1", refs, 0, "read"))
		for i := range n {
			recs = append(recs, arrive(int64(100+i), "n1", uint64(i+1), 1, "read"))
		}
		return recs
	}
	fell := func(started bool) []Record {
		r := told(0, "n1", "ready")
		if started {
			r.Started = 1
		}
		return in(r, arrive(500, "n1", 1, 0, "read"), arrive(600, "n1", 2, 0, "read"),
			Record{T: 700 * ms, Kind: Collapse, Node: "n1"})
	}
	for _, c := range []struct {
		name string
		rule int // the rule that is broken; 0: none
		recs []Record
		want string
	}{
		{"answered in time", 0, transfer("a", 0, 900, 1000, "refused"), ""},
		{"answered late", 1, transfer("a", 0, 1100, 1000, "failed"), "its client's time"},
		{"never answered", 1, append(transfer("a", 0, 900, 1000, "served")[:1], transfer("b", 2000, 2100, 1000, "served")...), "never ended"},
		{"answered twice", 1, append(transfer("a", 0, 900, 1000, "served"), transfer("a", 0, 950, 1000, "served")[1]), "ends 2 times"},
		{"silent", 1, transfer("a", 0, 900, 1000, "silent"), "gave up"},
		{"killed meanwhile", 0, append(transfer("a", 0, 5000, 1000, "silent"), Record{T: 500 * ms, Kind: Kill, Gateway: "g"}), ""},
		{"sent after it was served", 1, in(arrive(0, "n1", 1, 0, "read"), end(10, "n1", 1, 0, "done"), arrive(90, "n1", 1, 1, "read")), "had served it"},
		{"second copy", 0, in(arrive(0, "n1", 1, 0, "read"), arrive(50, "n1", 1, 1, "read"), end(55, "n1", 1, 0, "done")), ""},

		{"effect twice", 2, in(Record{Kind: Effect, T: 1, Key: "k", Class: "write", Node: "n1"},
			Record{Kind: Effect, T: 2, Key: "k", Class: "write", Node: "n2"}), "took effect"},
		{"keyed again in its cell and window", 0, in(arrive(0, "n1", 1, 0, "write"), arrive(900, "m1", 1, 1, "write")), ""},
		{"keyed again elsewhere", 2, in(arrive(0, "n1", 1, 0, "write"), arrive(90, "n2", 1, 1, "write")), "outside the group"},
		{"keyed again elsewhere after busy", 0, in(arrive(0, "n1", 1, 0, "write"), end(1, "n1", 1, 0, "busy"), arrive(90, "n2", 1, 1, "write")), ""},
		{"keyed again too late", 2, in(arrive(0, "n1", 1, 0, "write"), arrive(1200, "n1", 1, 1, "write")), "window"},
		{"unsafe again", 2, in(arrive(0, "n1", 1, 0, "pay"), end(5, "n1", 1, 0, "error"), arrive(20, "n1", 1, 1, "pay")), "may have run"},

		{"within the grace", 0, in(told(0, "n1", "draining"), arrive(1900, "n1", 1, 0, "read")), ""},
		{"after the grace", 3, in(told(0, "n1", "draining"), told(1000, "n1", "gone"), arrive(2100, "n1", 1, 0, "read")), "after the gateway was told"},
		{"ready again", 0, in(told(0, "n1", "draining"), told(1000, "n1", "ready"), arrive(2100, "n1", 1, 0, "read")), ""},
		{"process stopped", 0, in(told(0, "n1", "draining"), Record{T: 1500 * ms, Kind: Stalled, Gateway: "g", Took: 1600 * ms},
			arrive(3000, "n1", 1, 0, "read")), ""},

		{"cold node overloaded", 4, fell(true), "fell over"},
		{"cold node overloaded, its start not told", 0, fell(false), ""},

		{"limit kept", 0, limited(25, 1), ""},
		{"limit exceeded", 5, limited(40, 1), "limit's store"},
		{"limit kept as it refills", 0, limited(40, 100), ""},

		{"in order", 0, in(arrive(0, "n1", 1, 0, "log"), end(5, "n1", 1, 0, "done"), arrive(6, "n1", 2, 0, "log")), ""},
		{"overtaken", 6, in(arrive(0, "n1", 2, 0, "log"), end(5, "n1", 2, 0, "done"), arrive(6, "n1", 1, 0, "log")), "comes after"},
		{"two at the same time", 6, in(arrive(0, "n1", 1, 0, "log"), arrive(3, "n1", 2, 0, "log"), end(5, "n1", 1, 0, "done")), "still ran"},
		{"next one too soon after one without an end", 6, in(arrive(0, "n1", 1, 0, "log"), arrive(300, "n1", 2, 0, "log")), "rest"},
		{"next one in time after one without an end", 0, in(arrive(0, "n1", 1, 0, "log"), arrive(600, "n1", 2, 0, "log")), ""},

		{"budget kept", 0, retries(5, 40), ""},
		{"budget exceeded", 7, retries(5, 20), "further attempts"},
	} {
		rep := Check(c.recs, rules)
		if c.rule == 0 {
			for _, b := range rep.Breaches {
				t.Errorf("%s: rule %d: %s", c.name, b.Rule, b.Text)
			}
			continue
		}
		found := false
		for _, b := range rep.Breaches {
			found = found || b.Rule == c.rule && strings.Contains(b.Text, c.want)
		}
		if !found {
			t.Errorf("%s: no breach of rule %d with %q: %+v", c.name, c.rule, c.want, rep.Breaches)
		}
	}
}

func TestService(t *testing.T) {
	var recs []Record
	recs = append(recs, transfer("a", 0, 50, 1000, "served")...)
	recs = append(recs, transfer("b", 10, 500, 1000, "served")...)
	recs = append(recs, transfer("c", 12_000, 12_010, 1000, "refused")...)
	recs = append(recs, transfer("d", 12_000, 12_010, 1000, "left")...)
	rep := Check(recs, rules)
	if rep.Total.Due != 3 || rep.Total.Earned != 1.5 || rep.Total.Asked != 3 || rep.Total.Served != 2 || rep.Total.InTime != 1 {
		t.Errorf("total %+v", rep.Total)
	}
	want := map[string]float64{"class read": 0.5, "plan p": 0.5, "second    0": 0.75, "second   10": 0}
	for _, s := range rep.Service {
		if want[s.By] != s.Part() {
			t.Errorf("%s: %v, want %v", s.By, s.Part(), want[s.By])
		}
	}
	if len(rep.Service) != len(want) {
		t.Errorf("%d parts", len(rep.Service))
	}
}

// TestRecordsRoundTrip writes records and rules to a folder and reads them back.
func TestRecordsRoundTrip(t *testing.T) {
	dir := t.TempDir()
	w, err := Create(dir, "node-1")
	if err != nil {
		t.Fatal(err)
	}
	w.Put(arrive(5, "n1", 1, 0, "read"))
	w.Put(Record{Kind: Collapse, Node: "n1"})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := rules.Save(dir); err != nil {
		t.Fatal(err)
	}
	recs, err := ReadDir(dir)
	back, rerr := LoadRules(dir)
	if err != nil || rerr != nil || len(recs) != 2 || recs[0] != arrive(5, "n1", 1, 0, "read") || recs[1].T == 0 ||
		back.ExtraSpan != rules.ExtraSpan || len(back.Classes) != 4 {
		t.Fatalf("records %+v, %v; rules %v", recs, err, rerr)
	}
	if _, err := Read(strings.NewReader("{}\nnot json\n"), "x.records"); err == nil || !strings.Contains(err.Error(), "x.records:2") {
		t.Errorf("bad line: %v", err)
	}
}
