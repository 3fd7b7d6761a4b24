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
		killAt := min(longest, 3*time.Second) + 700*time.Millisecond
		lastServed, lastAccepted, exitAt := time.Duration(0), time.Duration(0), time.Duration(0)
		for at := time.Duration(0); at < 5*time.Second; at += time.Millisecond {
			phase := p.At(at)
			if phase.Accept {
				lastAccepted = at
			}
			if phase.Serve {
				lastServed = at
				end := at + min(longest, 3*time.Second)
				if phase.AnswerBy > 0 {
					end = min(end, phase.AnswerBy)
				}
				if end >= killAt {
					t.Fatalf("deadline %v: taken at %v, answered by %v, killed at %v", longest, at, end, killAt)
				}
				if end < at+minRequestTime {
					t.Fatalf("deadline %v: taken at %v with %v left", longest, at, end-at)
				}
			}
			if phase.Exit && exitAt == 0 {
				exitAt = at
			}
		}
		if lastAccepted < connectDuration || lastServed < lastAccepted || exitAt <= lastServed || exitAt >= killAt {
			t.Errorf("deadline %v: accepts until %v, serves until %v, over at %v, killed at %v", longest, lastAccepted, lastServed, exitAt, killAt)
		}
	}
}
