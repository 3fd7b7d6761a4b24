package requestid

import (
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]ID{"00000000000000aB": 0xab, "FFFFFFFFFFFFFFFF": 1<<64 - 1} {
		if got, ok := Parse(text); !ok || got != want {
			t.Errorf("%q: %x, %v", text, got, ok)
		}
	}
	for _, text := range []string{"", "ab", "00000000000000abc", "+0000000000000ab", "0x000000000000ab", "0000_00000000ab1", "000000000000000g"} {
		if got, ok := Parse(text); ok {
			t.Errorf("%q: %x, expected an error", text, got)
		}
	}
}

// TestRemembered checks that an id is remembered while its request is open, for at least Retention after its end, and
// for less than twice that.
func TestRemembered(t *testing.T) {
	var tr Tracker
	advance := func(now time.Duration) {
		if tr.RotationDue(now) {
			tr.Rotate(now)
		}
	}
	if !tr.Take(1, 1) || tr.Take(1, 1) {
		t.Fatal("an id is taken once")
	}
	for now := time.Duration(0); now < 5*Retention; now += Retention / 4 {
		advance(now)
	}
	if tr.Take(1, 1) || tr.Open() != 1 || tr.Ended() != 0 {
		t.Fatal("the id of an open request is forgotten")
	}
	tr.End(1)
	advance(5*Retention + Retention - 1)
	if tr.Take(1, 1) {
		t.Fatal("the id is forgotten too soon")
	}
	advance(6 * Retention)
	advance(7 * Retention)
	if tr.Open()+tr.Ended() != 0 || !tr.Take(1, 1) {
		t.Fatal("the id is remembered for too long")
	}
}

// TestReleased checks that an id whose connection has ended is free on later connections only, over generations too, and
// that it is closed to all once the request that used it again has ended.
func TestReleased(t *testing.T) {
	for rotations := range 2 {
		var tr Tracker
		tr.Take(1, 3)
		tr.Release(1, 5)
		for range rotations {
			tr.Rotate(0)
		}
		if tr.Take(1, 5) {
			t.Fatalf("%d rotations: taken again on a connection of before", rotations)
		}
		if !tr.Take(1, 6) || tr.Take(1, 7) {
			t.Fatalf("%d rotations: not taken again once", rotations)
		}
		tr.End(1)
		if tr.Take(1, 8) {
			t.Fatalf("%d rotations: taken again after its end", rotations)
		}
	}
}

// TestBegunNeverAgain guards against a request that runs twice since it comes again, on a new connection and long after its
// end: its id is refused until as many others have begun as the limit allows.
func TestBegunNeverAgain(t *testing.T) {
	tr, now := NewTracker(100), time.Duration(0)
	end := func(id ID) {
		if !tr.Take(id, 1) {
			t.Fatalf("id %d was not taken", id)
		}
		if tr.EndBegun(id); tr.Full() {
			tr.Rotate(now)
		}
	}
	end(1)
	for range 100 {
		now += Retention
		tr.Rotate(now)
		if tr.Take(1, 1000) {
			t.Fatalf("taken again at %v", now)
		}
	}
	for id := ID(2); id <= 101; id++ {
		if end(id); tr.Take(1, 1000) {
			t.Fatalf("taken again after %d others", id-1)
		}
	}
	for id := ID(102); id <= 301; id++ {
		end(id)
	}
	if len(tr.begun)+len(tr.begunPast) > 200 || !tr.Take(1, 1000) {
		t.Fatalf("%d ids are remembered", len(tr.begun)+len(tr.begunPast))
	}
}

// TestMemoryBounded checks the number of remembered ids, and the bytes that they take, while requests come at full
// speed, and that those of requests which the host does not take do not shorten a generation.
func TestMemoryBounded(t *testing.T) {
	const maxBytes, maxEnded = 3 << 20, DefaultLimit
	var tr Tracker
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	next := ID(0)
	for range 10 * maxEnded {
		next++
		tr.Take(next, 1)
		tr.EndUntaken(next)
		if tr.RotationDue(0) {
			t.Fatalf("a new generation after %d requests that were not taken", next)
		}
	}
	for range 10 * maxEnded {
		next++
		tr.Take(next, 1)
		tr.End(next)
		if tr.RotationDue(0) {
			tr.Rotate(0)
		}
		if tr.Ended() > 2*maxEnded || tr.Open() != 0 {
			t.Fatalf("%d ids remembered, %d open", tr.Ended(), tr.Open())
		}
	}
	for range 10 * maxEnded {
		next++
		tr.Take(next, 1)
		if tr.EndBegun(next); tr.Full() {
			tr.Rotate(0)
		}
		if n := len(tr.begun) + len(tr.begunPast); n > 2*maxEnded {
			t.Fatalf("%d ids of requests that had begun", n)
		}
	}
	for len(tr.recent)+1 < maxEnded || len(tr.previous) == 0 {
		next++
		tr.Take(next, 1)
		if tr.End(next); tr.Full() {
			tr.Rotate(0)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := int64(after.HeapAlloc) - int64(before.HeapAlloc); n > min(maxBytes, BytesPerID*maxEnded) {
		t.Fatalf("%d ids take %d bytes, %d allowed", tr.Ended(), n, min(maxBytes, BytesPerID*maxEnded))
	}
	runtime.KeepAlive(&tr)
}

// received is a request of the model: some bytes in the buffer of one of its connections.
type received struct {
	id     ID
	length int
	taken  bool // a request with its id was taken before or after its first byte came
}

// connection is a connection of the model. Its first request may be one whose head has been read and has left the
// buffer, as that of a chunked request does.
type connection struct {
	age        InputAge
	requests   []*received
	incomplete bool
}

func (c *connection) buffered() (n int) {
	for _, r := range c.requests {
		n += r.length
	}
	return n
}

// TestNeverTwice checks, for random arrivals, turns, ends and rotations on several connections, that a request is never
// taken if another with its id was taken while it waited or was in use when it came, and that no request is discarded
// that came in the present generation.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		conns := make([]connection, 2)
		open := []ID{}
		fresh := map[*received]bool{}
		conn := rapid.IntRange(0, len(conns)-1)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				c := &conns[conn.Draw(t, "connection")]
				r := &received{id: ID(rapid.IntRange(1, 2).Draw(t, "id")), length: rapid.IntRange(2, 9).Draw(t, "length")}
				for _, o := range open {
					r.taken = r.taken || o == r.id
				}
				c.requests = append(c.requests, r)
				fresh[r] = true
			},
			"read head": func(t *rapid.T) {
				c := &conns[conn.Draw(t, "connection")]
				if len(c.requests) == 0 || c.incomplete {
					t.Skip()
				}
				c.incomplete = true
				c.age.Begin()
				c.age.Consume(c.requests[0].length)
				c.requests[0].length = 0
			},
			"take": func(t *rapid.T) {
				c := &conns[conn.Draw(t, "connection")]
				if len(c.requests) == 0 {
					t.Skip()
				}
				r := c.requests[0]
				if !c.incomplete {
					c.age.Begin()
				}
				c.age.Consume(r.length)
				c.age.Complete()
				c.requests, c.incomplete = c.requests[1:], false
				delete(fresh, r)
				if !tr.Take(r.id, 1) {
					return
				}
				if r.taken {
					t.Fatalf("id %d was taken twice", r.id)
				}
				open = append(open, r.id)
				for i := range conns {
					for _, o := range conns[i].requests {
						o.taken = o.taken || o.id == r.id
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "open")
				tr.End(open[i])
				open = append(open[:i], open[i+1:]...)
			},
			"rotate": func(t *rapid.T) {
				for i := range conns {
					c := &conns[i]
					if !c.age.Rotate(c.buffered(), c.incomplete) {
						continue
					}
					if len(c.requests) > 0 && fresh[c.requests[0]] {
						t.Fatalf("a request that came in this generation is discarded")
					}
					*c = connection{}
				}
				clear(fresh)
				tr.Rotate(0)
			},
		})
	})
}

func BenchmarkTracker(b *testing.B) {
	var tr Tracker
	b.ReportAllocs()
	for i := range b.N {
		id := ID(i) * 0x9e3779b97f4a7c15
		tr.Take(id, 1)
		tr.End(id)
		if tr.RotationDue(0) {
			tr.Rotate(0)
		}
	}
}
