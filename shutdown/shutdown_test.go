package shutdown

import (
	"testing"
	"time"
)

// TestPlan: with short, usual and very long deadlines, nothing that a host which ends has taken can be open
// when it may first be killed, and listening outlasts the last new connections.
func TestPlan(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, time.Minute} {
		p := New(longest)
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		last, accepted, over := time.Duration(0), time.Duration(0), time.Duration(0)
		for at := time.Duration(0); at < 5*time.Second; at += time.Millisecond {
			ph := p.At(at)
			if ph.Accept {
				accepted = at
			}
			if ph.Serve {
				last = at
				end := at + min(longest, 3*time.Second)
				if ph.Within > 0 {
					end = min(end, ph.Within)
				}
				if end >= kill {
					t.Fatalf("deadline %v: taken at %v, answered by %v, killed at %v", longest, at, end, kill)
				}
				if end < at+leastTime {
					t.Fatalf("deadline %v: taken at %v with %v left", longest, at, end-at)
				}
			}
			if ph.Over && over == 0 {
				over = at
			}
		}
		if accepted < newFor || last < accepted || over <= last || over >= kill {
			t.Errorf("deadline %v: accepts until %v, serves until %v, over at %v, killed at %v", longest, accepted, last, over, kill)
		}
	}
}
