package shutdown

import (
	"testing"
	"time"
)

// TestPlan checks, with short, usual and very long deadlines, that no accepted request can be open at the earliest time
// at which the host may be killed, and that the host accepts connections until the last ones have arrived.
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
					t.Fatalf("deadline %v: accepted at %v, answered by %v, killed at %v", longest, at, end, killAt)
				}
				if end < at+minRequestTime {
					t.Fatalf("deadline %v: accepted at %v with %v left", longest, at, end-at)
				}
			}
			if phase.Exit && exitAt == 0 {
				exitAt = at
			}
		}
		if lastAccepted < connectDuration || lastServed < lastAccepted || exitAt <= lastServed || exitAt >= killAt {
			t.Errorf("deadline %v: accepts until %v, serves until %v, exits at %v, killed at %v", longest, lastAccepted, lastServed, exitAt, killAt)
		}
	}
}
