package connpool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestReuseDelay checks that a connection is not reused right after an answer, that a second attempt meanwhile opens
// another, that a third waits while connections for both are on their way, and that UnexpectedBytes extends the delay.
func TestReuseDelay(t *testing.T) {
	p := New[int](Settings{MaxConnections: 10, IdleTimeout: time.Second})
	expect := func(now time.Duration, waiting int, conn int, want Decision) {
		t.Helper()
		if c, v := p.Take(now, "n", waiting); v != want || c != conn {
			t.Fatalf("at %v: connection %d, decision %d; expected %d, %d", now, c, v, conn, want)
		}
	}
	expect(0, 0, 0, Open)
	p.Opened(1*ms, "n", 1)
	expect(1*ms, 0, 1, Use) // a new connection need not rest
	p.Released(2*ms, "n", 1)
	expect(2*ms, 0, 0, WaitForIdle)
	expect(2*ms, 1, 0, Open)
	expect(2*ms, 1, 0, WaitForIdle)
	if at, ok := p.Due("n"); !ok || at != 2*ms+reuseDelay {
		t.Fatalf("due at %v, %v", at, ok)
	}
	expect(2*ms+reuseDelay, 0, 1, Use)
	p.UnexpectedBytes(3 * ms) // excess bytes arrived
	p.Released(4*ms, "n", 1)
	expect(4*ms+reuseDelay, 0, 0, WaitForIdle)
	expect(4*ms+longReuseDelay, 0, 1, Use)
	p.Released(3*ms+longDelayDuration, "n", 1)
	expect(3*ms+longDelayDuration+reuseDelay, 0, 1, Use)
}

// TestMostRecentlyUsedFirst checks that the connection that has idled least is used, and that the others are closed
// before the node's idle timeout.
func TestMostRecentlyUsedFirst(t *testing.T) {
	p := New[int](Settings{MaxConnections: 10, IdleTimeout: time.Second})
	for i := 1; i <= 3; i++ {
		p.Take(0, "n", i-1)
	}
	for i := 1; i <= 3; i++ {
		p.Opened(time.Duration(i)*ms, "n", i)
	}
	if c, v := p.Take(10*ms, "n", 0); c != 3 || v != Use {
		t.Fatalf("connection %d, decision %d", c, v)
	}
	p.Released(900*ms, "n", 3)
	wanted := func(string) bool { return true }
	if old := p.RemoveExpired(699*ms, wanted); len(old) != 0 {
		t.Fatalf("%v were removed before the idle timeout", old)
	}
	if old := p.RemoveExpired(702*ms, wanted); len(old) != 2 || old[0] != 1 || old[1] != 2 {
		t.Fatalf("old: %v, expected 1 and 2", old)
	}
	if old := p.RemoveExpired(902*ms, func(string) bool { return false }); len(old) != 1 || p.Total() != 0 {
		t.Fatalf("removed of an unwanted node: %v, %d connections left", old, p.Total())
	}
}

// TestMaxConnections checks that at the maximum the connection that has idled longest at another node is evicted, and
// that the attempt waits if there is none.
func TestMaxConnections(t *testing.T) {
	p := New[int](Settings{MaxConnections: 2})
	p.Take(0, "a", 0)
	p.Opened(1*ms, "a", 1)
	p.Take(0, "b", 0)
	p.Opened(2*ms, "b", 2)
	if c, v := p.Take(3*ms, "c", 0); c != 1 || v != Evict || p.Total() != 2 {
		t.Fatalf("connection %d, decision %d, %d in all", c, v, p.Total())
	}
	if c, v := p.Take(3*ms, "b", 0); c != 2 || v != Use {
		t.Fatalf("connection %d, decision %d", c, v)
	}
	if _, v := p.Take(3*ms, "b", 0); v != Wait {
		t.Fatalf("decision %d", v)
	}
	p.Failed("c")
	if _, v := p.Take(4*ms, "b", 0); v != Open {
		t.Fatalf("after a failed dial: decision %d, expected Open", v)
	}
}

// TestRandomOperations runs random operations against a simple model: the maximum holds, a connection is never in two
// states, and nodes without connections are removed.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 6).Draw(t, "total")
		p := New[int](Settings{MaxConnections: total, IdleTimeout: 100 * ms})
		type connState struct {
			node string
			busy bool
		}
		conns, opening, next, now := map[int]connState{}, []string{}, 0, time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "node"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				c, v := p.Take(now, id, rapid.IntRange(0, 2).Draw(t, "waiting"))
				switch v {
				case Use:
					if conns[c].busy || conns[c].node != id {
						t.Fatalf("connection %d of %+v is used for %s", c, conns[c], id)
					}
					conns[c] = connState{id, true}
				case Evict:
					if conns[c].busy || conns[c].node == id {
						t.Fatalf("connection %d of %+v makes room for %s", c, conns[c], id)
					}
					delete(conns, c)
					opening = append(opening, id)
				case Open:
					opening = append(opening, id)
				}
			case 1:
				if len(opening) > 0 {
					id, opening = opening[0], opening[1:]
					if rapid.Bool().Draw(t, "up") {
						next++
						p.Opened(now, id, next)
						conns[next] = connState{id, false}
					} else {
						p.Failed(id)
					}
				}
			case 2, 3:
				for c := 1; c <= next; c++ {
					if w, ok := conns[c]; ok && w.busy {
						if rapid.Bool().Draw(t, "again") {
							p.Released(now, w.node, c)
							conns[c] = connState{w.node, false}
						} else {
							p.BusyClosed(w.node)
							delete(conns, c)
						}
						break
					}
				}
			case 4:
				for _, c := range p.RemoveExpired(now, func(n string) bool { return n != id }) {
					if conns[c].busy {
						t.Fatalf("connection %d was removed as idle while in use", c)
					}
					delete(conns, c)
				}
			}
			if p.Total() != len(conns)+len(opening) || p.Total() > total {
				t.Fatalf("the pool counts %d, the model %d and %d opening; the maximum is %d", p.Total(), len(conns), len(opening), total)
			}
		}
		for c, w := range conns {
			if w.busy {
				p.BusyClosed(w.node)
			} else if !p.IdleClosed(w.node, c) {
				t.Fatalf("connection %d of %+v is not idle", c, w)
			}
		}
		for _, id := range opening {
			p.Failed(id)
		}
		if len(p.nodes) != 0 || p.Total() != 0 {
			t.Fatalf("%d nodes and %d connections are remembered", len(p.nodes), p.Total())
		}
	})
}

// TestNodeTurnover checks that 100,000 nodes which appear and disappear, each with its own connections, leave no state
// behind.
func TestNodeTurnover(t *testing.T) {
	p := New[int](Settings{MaxConnections: 50, IdleTimeout: time.Second})
	now, next := time.Duration(0), 0
	for i := range 100_000 {
		now += 10 * ms
		id := fmt.Sprint("n", i)
		if _, v := p.Take(now, id, 0); v != Open {
			t.Fatalf("node %d: decision %d", i, v)
		}
		next++
		p.Opened(now, id, next)
		if c, v := p.Take(now, id, 0); v != Use || c != next {
			t.Fatalf("node %d: connection %d, decision %d", i, c, v)
		}
		p.Released(now, id, next)
		p.RemoveExpired(now, func(other string) bool { return other != fmt.Sprint("n", i-20) }) // replaced
		if len(p.nodes) > 25 || p.Total() > 25 {
			t.Fatalf("node %d: %d nodes, %d connections", i, len(p.nodes), p.Total())
		}
	}
}
