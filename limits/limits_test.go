package limits

import (
	"testing"
	"time"
)

// TestDivide checks, for the smallest and the largest limits of hosts, that a split does not exceed the limits, and
// that clients get at least a third of the descriptors.
func TestDivide(t *testing.T) {
	for _, c := range []struct{ descriptors, mb int }{{256, 32}, {384, 64}, {1024, 192}} {
		s := Divide(c.descriptors, int64(c.mb)<<20)
		if s.ClientConns+s.NodeConns+reservedDescriptors > c.descriptors || s.ClientConns < c.descriptors/3 {
			t.Errorf("%d descriptors: %+v", c.descriptors, s)
		}
		if s.HeapBytes+2*s.RequestBytes+s.AnswerBytes > int64(c.mb)<<20 || s.MaxRequests < s.ClientConns {
			t.Errorf("%d MB: %+v", c.mb, s)
		}
	}
}

func TestJudge(t *testing.T) {
	sec := time.Second
	for _, c := range []struct {
		name          string
		conn          Conn
		now           time.Duration
		taken, places int
		want          Verdict
	}{
		{"a request is open", Conn{Open: true}, 99 * sec, 100, 100, Stay},
		{"it reads its answer", Conn{Taking: true, Asked: true}, 4 * sec, 100, 100, Stay},
		{"it does not read its answer", Conn{Taking: true, Asked: true}, 5 * sec, 1, 100, Leave},
		{"silent, new", Conn{}, 1 * sec, 1, 100, Stay},
		{"silent for long", Conn{}, 3 * sec, 1, 100, Leave},
		{"silent, and no room", Conn{}, 400 * time.Millisecond, 100, 100, Leave},
		{"part of a first request, late", Conn{Begun: true, Since: 2 * sec}, 2300 * time.Millisecond, 1, 100, Late},
		{"part of a first request, recent", Conn{Begun: true}, 1 * sec, 100, 100, Stay},
		{"part of a later request, late", Conn{Begun: true, Asked: true, Since: 5 * sec}, 7 * sec, 1, 100, Late},
		{"idle, and room", Conn{Asked: true}, 10 * sec, 10, 100, Stay},
		{"idle, and little room", Conn{Asked: true}, 10 * sec, 80, 100, Leave},
		{"idle for a moment, and little room", Conn{Asked: true}, 1 * sec, 80, 100, Stay},
		{"being closed", Conn{Ending: true, Asked: true}, 99 * sec, 100, 100, Stay},
		{"idle for long", Conn{Asked: true}, 21 * sec, 1, 100, Leave},
	} {
		if got := Judge(c.now, c.conn, c.taken, c.places); got != c.want {
			t.Errorf("%s: verdict %d, expected %d", c.name, got, c.want)
		}
	}
}

// TestRank checks the order of eviction, and that connections with an open or incomplete request are not evicted.
func TestRank(t *testing.T) {
	now := 10 * time.Second
	last := 99.0
	for _, c := range []Conn{{Ending: true}, {}, {Asked: true}, {Begun: true}} {
		rank, may := Rank(now, c)
		if !may || rank >= last {
			t.Errorf("%+v: rank %v after %v", c, rank, last)
		}
		last = rank
	}
	for _, c := range []Conn{{Open: true}, {Begun: true, Asked: true}, {Opened: now}, {Asked: true, Since: now}, {Ending: true, Since: now}} {
		if rank, may := Rank(now, c); may {
			t.Errorf("%+v may be evicted, with rank %v", c, rank)
		}
	}
}

// TestKeep checks that connections stay open while there is room, and close after their answers well before there is
// none.
func TestKeep(t *testing.T) {
	if !Keep(1, 100) || !Keep(59, 100) || Keep(60, 100) || Keep(100, 100) {
		t.Error("connections are kept open at the wrong occupancy")
	}
}
