package wheel

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAgainstList compares a wheel with a plain list of timers that gets the same calls.
func TestAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1e13).Draw(t, "start"))
		w := New[int](time.Millisecond, now)
		due := map[int]time.Duration{}
		timers := map[int]*Timer[int]{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				at := now + time.Duration(rapid.Int64Range(-1e9, 1<<rapid.IntRange(1, 62).Draw(t, "bits")).Draw(t, "in"))
				timers[i], due[i] = w.Add(at, i), at
			case 2:
				for id, x := range timers {
					_, open := due[id]
					if w.Cancel(x) != open {
						t.Fatalf("cancel of %d: open is %v", id, open)
					}
					delete(due, id)
					break
				}
			case 3:
				now += time.Duration(rapid.Int64Range(0, 1<<rapid.IntRange(1, 45).Draw(t, "bits")).Draw(t, "on"))
				if next, ok := w.Next(); ok != (len(due) > 0) {
					t.Fatalf("next: %v with %d timers", ok, len(due))
				} else if ok {
					for id, at := range due {
						if at > next-time.Millisecond {
							continue
						}
						if at > now { // a time that has passed may be due at now
							t.Fatalf("next %v is after timer %d at %v", next, id, at)
						}
					}
				}
				w.Advance(now, func(id int) {
					at, open := due[id]
					if !open || at > now {
						t.Fatalf("timer %d at %v fired at %v (open %v)", id, at, now, open)
					}
					delete(due, id)
				})
				for id, at := range due {
					if at <= now-time.Millisecond {
						t.Fatalf("timer %d at %v has not fired at %v", id, at, now)
					}
				}
			}
			if w.Len() != len(due) {
				t.Fatalf("len %d, want %d", w.Len(), len(due))
			}
		}
	})
}

func TestFiresInOrderAndAllowsAdd(t *testing.T) {
	w := New[int](time.Millisecond, 0)
	var got []int
	for _, ms := range []int{70000, 3, 500, 64, 4096, 65, 1} {
		w.Add(time.Duration(ms)*time.Millisecond, ms)
	}
	w.Advance(80*time.Second, func(ms int) {
		got = append(got, ms)
		if ms == 500 && len(got) == 5 {
			w.Add(501*time.Millisecond, 501)
			w.Add(0, 500) // in the past: due at once
			w.Add(0, 500)
		}
		if len(got) > 50 {
			t.Fatal("Advance does not end")
		}
	})
	if len(got) != 10 || !slices.IsSorted(got) {
		t.Fatalf("fired %v", got)
	}
}

type entry struct {
	at  time.Duration
	pos int
}

type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }
func (h *entryHeap) Push(x any)        { e := x.(*entry); e.pos = len(*h); *h = append(*h, e) }
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// BenchmarkTimers adds a timer and cancels another, as a request and its answer do, with n timers pending.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		rng := rand.New(rand.NewSource(1))
		at := func() time.Duration { return time.Duration(rng.Int63n(int64(10 * time.Second))) }
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			w := New[int](time.Millisecond, 0)
			all := make([]*Timer[int], n)
			for i := range all {
				all[i] = w.Add(at(), i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w.Cancel(all[i%n])
				all[i%n] = w.Add(at(), i)
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			h := &entryHeap{}
			all := make([]*entry, n)
			for i := range all {
				all[i] = &entry{at: at()}
				heap.Push(h, all[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				heap.Remove(h, all[i%n].pos)
				all[i%n] = &entry{at: at()}
				heap.Push(h, all[i%n])
			}
		})
	}
}
