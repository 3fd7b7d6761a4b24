package http

import (
	"cmp"
	"slices"

	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/limits"
)

// requestMemory returns the bytes that a request takes in this process, as allocated; nil: none.
func requestMemory(r *host.Request) int {
	if r == nil {
		return 0
	}
	return limits.RequestOverhead + len(r.Message.Target) + len(r.Message.Key) + cap(r.Message.Body)
}

// bufferedBytes returns how many bytes incomplete requests of the connection take, as allocated.
func (c *conn) bufferedBytes() int {
	n := c.buf.Allocated() + cap(c.chunkData) + requestMemory(c.pending)
	if c.chunks != nil {
		n += c.chunks.Memory()
	}
	return n
}

// updateHeld counts what the connection's requests take now.
func (c *conn) updateHeld() {
	n := c.bufferedBytes() + requestMemory(c.req)
	c.f.heldBytes += int64(n - c.held)
	c.held = n
	c.f.stats.HeldPeak = max(c.f.stats.HeldPeak, c.f.heldBytes)
}

// updateUnsent counts what the unsent part of the connection's answer takes. It is called when an answer has been written
// and when all of it is sent: in between the buffer keeps its size.
func (c *conn) updateUnsent() {
	n := 0
	if !c.closed {
		n = loop.UnsentMemory(c.g.OutboundBuffered())
	}
	c.f.unsentBytes += int64(n - c.unsent)
	c.unsent = n
	c.f.stats.UnsentPeak = max(c.f.stats.UnsentPeak, c.f.unsentBytes)
}

// reclaimHeld keeps the bytes of requests within the limit. It discards incomplete requests, those that have kept the most
// bytes for the longest time first, until there is room for some more: with hundreds of them looking for one at a time would
// take long.
func (f *Front) reclaimHeld() {
	if f.heldBytes <= f.opt.MaxRequestBytes {
		return
	}
	now := f.opt.Host.Now()
	holders := f.ranked(func(c *conn) (rank float64, ok bool) {
		n := c.bufferedBytes()
		return limits.MemoryRank(n, now-c.inputSince), n > 0 && !c.closing
	})
	for _, worst := range holders {
		if f.heldBytes <= limits.AfterReclaim(f.opt.MaxRequestBytes) {
			return
		}
		f.stats.Shed++
		f.events.Info("http front: an incomplete request is discarded for lack of memory", "conn", worst.number, "bytes", worst.bufferedBytes(),
			"age", now-worst.inputSince, "held", f.heldBytes, "limit", f.opt.MaxRequestBytes)
		worst.shed()
	}
}

// shed frees what incomplete requests of the connection take.
func (c *conn) shed() {
	if c.req != nil || c.flushing {
		c.discardInput()
		return
	}
	c.reject(503, "more bytes of requests held than allowed")
}

// reclaimUnsent keeps the bytes of unsent answers within the limit, beside the answer that has just been written to c. It
// closes the connections that have kept the most bytes for the longest time.
func (f *Front) reclaimUnsent(c *conn) {
	if f.unsentBytes <= f.opt.MaxUnsentBytes {
		return
	}
	now := f.opt.Host.Now()
	holders := f.ranked(func(o *conn) (rank float64, ok bool) {
		return limits.MemoryRank(o.unsent, now-o.stateSince), o != c && o.unsent > 0
	})
	for _, worst := range holders {
		if f.unsentBytes <= f.opt.MaxUnsentBytes {
			return
		}
		f.stats.Unread++
		f.events.Info("http front: a connection that does not read its answer is closed for lack of memory", "conn", worst.number,
			"bytes", worst.unsent, "age", now-worst.stateSince, "unsent", f.unsentBytes, "limit", f.opt.MaxUnsentBytes)
		f.opt.Loop.Close(worst.g)
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
