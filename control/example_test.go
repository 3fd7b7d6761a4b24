package control_test

import (
	"fmt"
	"time"

	"eiderhold/control"
)

// A host takes two requests: the node answers the first, and the second is refused because no node holds its shard.
func Example() {
	c, err := control.New(control.Settings{
		Hosts:   3,
		Classes: []control.Class{{Name: "read", Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // any origin will do
	show := func(actions []control.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case control.Send:
				fmt.Println("send", a.ID, "to", a.Node)
			case control.Refuse:
				fmt.Println("refuse", a.ID, "for", a.RetryAfter)
			case control.Fail:
				fmt.Println("fail", a.ID)
			}
		}
	}
	show(c.Step(now, []control.Event{
		control.NodeList{Kind: control.ListFull, Nodes: []control.Node{{ID: "n1", Shard: 0}}},
		control.Request{ID: "r1", Class: "read", Volume: "v", Expires: time.Second},
		control.Request{ID: "r2", Class: "read", Volume: "v", Shard: 7, Expires: time.Second},
	}))
	show(c.Step(now+8*time.Millisecond, []control.Event{
		control.Outcome{ID: "r1", Node: "n1", Result: control.Done, Elapsed: 8 * time.Millisecond, Closed: true},
	}))
	// Output:
	// refuse r2 for 100ms
	// send r1 to n1
}
