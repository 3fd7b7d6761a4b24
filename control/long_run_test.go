package control

import (
	"fmt"
	"testing"
	"time"
)

// TestLongRunStateIsBounded checks that the state does not grow with requests, volumes, items and nodes that
// are always new.
func TestLongRunStateIsBounded(t *testing.T) {
	c, err := New(Settings{Hosts: 3, MeanUnits: 1, Classes: []Class{{Name: "read", Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	entries := func() int {
		return len(c.requests) + len(c.nodes) + len(c.nodesByID) + len(c.volumes) + len(c.items) + c.firstTries.len() + len(c.servedByShard) + len(c.laterAttempts)
	}
	now, most, half := time.Duration(0), 0, 0
	for i := range 100_000 {
		now += 5 * time.Millisecond
		node, id := fmt.Sprintf("n%d", i/100), fmt.Sprintf("r%d", i)
		var events []Event
		if i%100 == 0 {
			events = append(events, NodeList{Kind: ListFull, Nodes: []Node{{ID: node, StartedAt: now}}})
		}
		events = append(events, Request{ID: id, Class: "read", Volume: "v" + id, Item: "i" + id, Expires: time.Second, Hosts: 2})
		for _, a := range c.Step(now, events) {
			if s, ok := a.(Send); ok {
				c.Step(now+time.Millisecond, []Event{Outcome{ID: s.ID, Node: s.Node, Result: Done, Elapsed: time.Millisecond, Closed: true}})
			}
		}
		if most = max(most, entries()); i == 50_000 {
			half = most
		}
	}
	if most > half+half/10 || most > 100_000 {
		t.Fatalf("at most %d entries kept, %d in the first half", most, half)
	}
}

// TestNamesAtFullSpeed guards against memory that grows without end while a client sends requests under ever new names.
func TestNamesAtFullSpeed(t *testing.T) {
	const limit, answer, deadline = 1000, 50 * time.Microsecond, 20 * time.Millisecond
	for _, limitRate := range []float64{0, 1} {
		c, err := New(Settings{Hosts: 2, MeanUnits: 1, MaxNames: limit, RetryBudgetSpan: time.Second, RetryBudgetBase: 1,
			Plans:   []Plan{{Name: "gold", LimitRate: limitRate, LimitBurst: 5, LimitSlack: 4}},
			Classes: []Class{{Name: "read", Aim: deadline, Deadline: deadline, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, sent, refused, node := time.Duration(0), map[string]int{}, 0, Node{ID: "n"}
		c.Step(0, []Event{NodeList{Kind: ListFull, Nodes: []Node{node}}})
		for i := range 20 * limit {
			now += 100 * time.Microsecond
			id := fmt.Sprintf("r%d", i)
			volume := id
			if i%10 == 0 {
				volume = "same"
			}
			actions := c.Step(now, []Event{Request{ID: id, Class: "read", Plan: "gold", Volume: volume, Item: id, Shard: 0, Units: 1, Expires: deadline, Hosts: 2}})
			for ; len(actions) > 0; actions = actions[1:] {
				switch a := actions[0].(type) {
				case Send:
					sent[volume]++
					actions = append(actions, c.Step(now+answer, []Event{Outcome{ID: a.ID, Node: a.Node, Result: Done, Elapsed: answer, Closed: true}})...)
				case Refuse:
					refused++
				}
			}
			if n := max(len(c.volumes), c.firstTries.len()/2, len(c.recentRequests)/20); n > limit {
				t.Fatalf("limit rate %v: %d volumes, %d first tries, %d recent requests", limitRate, len(c.volumes), c.firstTries.len(), len(c.recentRequests))
			}
		}
		if limitRate == 0 && refused > 0 {
			t.Errorf("%d requests refused, though every account could be dropped", refused)
		}
		// This host's part of the limit: half of the slack, and half of a unit a second for the 2 s that the test takes.
		if limitRate > 0 && (refused == 0 || sent["same"] > 2+1+1) {
			t.Errorf("%d refused; %d units of one volume were sent", refused, sent["same"])
		}
	}
}
