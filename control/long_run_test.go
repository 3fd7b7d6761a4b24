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
		return len(c.requests) + len(c.nodes) + len(c.nodesByID) + len(c.volumes) + len(c.items) + len(c.firstTries) + len(c.servedByShard) + len(c.laterAttempts)
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
