package http

import (
	"cmp"
	"slices"

	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/limits"
)

// errNoRoom is the error of a request for which there is no memory.
var errNoRoom = newRequestError(503, "more bytes of requests held than allowed")

// requestMemory returns the bytes that a request takes in this process, as allocated; nil: none.
func requestMemory(r *host.Request) int {
	if r == nil {
		return 0
	}
	return limits.RequestOverhead + len(r.Message.Target) + len(r.Message.Key) + cap(r.Message.Body)
}

// bufferedBytes returns how many bytes incomplete requests of the connection take, as allocated.
func (c *conn) bufferedBytes() int {
	n := c.buf.Allocated() + cap(c.body) + requestMemory(c.pending)
	if c.chunks != nil {
		n += c.chunks.Memory()
	}
	return n
}

// updateHeld counts what the connection's requests take now.
func (c *conn) updateHeld() {
	incomplete := c.bufferedBytes()
	n := incomplete + requestMemory(c.req)
	if c.closing || c.closed {
		incomplete = 0 // it has nothing to give up
	}
	if incomplete > 0 || c.holder.Count() > 0 {
		c.f.holders.Set(&c.holder, incomplete, c.f.opt.Host.Now())
	}
	c.f.heldBytes += int64(n - c.held)
	c.held = n
	c.f.stats.HeldPeak = max(c.f.stats.HeldPeak, c.f.heldBytes)
}

// updateUnsent counts what the unsent part of the connection's answer takes. It is called when an answer has been written
// and when all of it is sent: in between the buffer keeps its size.
func (c *conn) updateUnsent() {
	n := 0
	if !c.closed {
		n = loop.UnsentMemory(c.g)
	}
	if n == c.unsent {
		return
	}
	c.f.unread.Set(&c.unread, n, c.f.opt.Host.Now())
	c.f.unsentBytes += int64(n - c.unsent)
	c.unsent = n
	c.f.stats.UnsentPeak = max(c.f.stats.UnsentPeak, c.f.unsentBytes)
}

// reserve makes room for further bytes of an incomplete request, before they are allocated. Where there is none, the
// connections that have kept the most bytes for the longest time give up theirs. It returns false if that is the connection
// itself, or if all is held by requests that are open.
func (f *Front) reserve(c *conn, n int) bool {
	if n == 0 {
		return true
	}
	now := f.opt.Host.Now()
	for f.heldBytes+int64(n) > limits.Room(f.opt.MaxRequestBytes, n) {
		worst := f.holders.Worst(now)
		if worst == nil || worst == &c.holder || worst.Rank(now) <= c.holder.RankWith(n, now) {
			return false
		}
		f.stats.Shed++
		f.events.Info("http front: an incomplete request is discarded for lack of memory", "conn", worst.Owner.number, "bytes", worst.Owner.bufferedBytes(),
			"age", now-worst.Owner.inputSince, "held", f.heldBytes, "limit", f.opt.MaxRequestBytes)
		worst.Owner.shed()
	}
	return true
}

// shed frees what incomplete requests of the connection take.
func (c *conn) shed() {
	if c.req != nil || c.flushing {
		c.discardInput()
		return
	}
	c.reject(statusOf(errNoRoom), errNoRoom.Error())
}

// reclaimUnsent keeps the bytes of unsent answers within the limit, beside the answer that has just been written to c. It
// closes the connections that have kept the most bytes for the longest time.
func (f *Front) reclaimUnsent(c *conn) {
	if f.unsentBytes <= f.opt.MaxUnsentBytes {
		return
	}
	now := f.opt.Host.Now()
	f.unread.Set(&c.unread, 0, now)
	defer func() { f.unread.Set(&c.unread, c.unsent, now) }()
	for f.unsentBytes > f.opt.MaxUnsentBytes {
		worst := f.unread.Worst(now)
		if worst == nil {
			return
		}
		f.stats.Unread++
		f.events.Info("http front: a connection that does not read its answer is closed for lack of memory", "conn", worst.Owner.number,
			"bytes", worst.Owner.unsent, "age", now-worst.Owner.stateSince, "unsent", f.unsentBytes, "limit", f.opt.MaxUnsentBytes)
		f.opt.Loop.Close(worst.Owner.g)
	}
}

// ranked returns the connections for which rank returns true, the highest rank first.
func (f *Front) ranked(rank func(*conn) (float64, bool)) []*conn {
	ranks := map[*conn]float64{}
	var found []*conn
	for c := range f.conns {
		if n, ok := rank(c); ok {
			ranks[c] = n
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *conn) int { return cmp.Compare(ranks[b], ranks[a]) })
	return found
}
