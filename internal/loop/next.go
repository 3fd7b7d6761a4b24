package loop

import (
	"context"
	"time"
)

// PostNext runs f on the loop after the events that are waiting now. A function that posts itself with Post would run
// again and again before any of them, as the loop empties the queue of Post first. Calls run in the order of PostNext.
func (l *Loop) PostNext(f func()) {
	l.mu.Lock()
	l.next = append(l.next, f)
	l.mu.Unlock()
	select {
	case l.nextReady <- struct{}{}:
	default:
	}
}

// postNext posts the functions of PostNext from a goroutine of its own, by which time the loop has gone on, until ctx is
// done.
func (l *Loop) postNext(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.nextReady:
		}
		l.mu.Lock()
		next := l.next
		l.next = nil
		l.mu.Unlock()
		l.Post(func() {
			for _, f := range next {
				f()
			}
		})
	}
}

// Lag returns the longest time that a posted function has waited for the loop since the last call.
func (l *Loop) Lag() time.Duration { return time.Duration(l.lag.Swap(0)) }
