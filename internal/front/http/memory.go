package http

import (
	"cmp"
	"math/bits"
	"slices"

	"eiderhold/internal/host"
	"eiderhold/limits"
)

// outputBufferBytes is what the event loop allocates for a connection that does not take an answer at once, beside the
// rest of the answer.
const outputBufferBytes = 16 << 10

// requestMemory returns the bytes that a request takes in this process, as allocated; nil: none.
func requestMemory(r *host.Request) int {
	if r == nil {
		return 0
	}
	return limits.RequestOverhead + len(r.Message.Target) + len(r.Message.Key) + cap(r.Message.Body)
}

// unsentMemory returns the bytes that the event loop takes for n bytes which a connection has not taken: it keeps them in
// a buffer whose size is a power of two.
func unsentMemory(n int) int {
	if n == 0 {
		return 0
	}
	return outputBufferBytes + 1<<bits.Len(uint(n-1))
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
		n = unsentMemory(c.g.OutboundBuffered())
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
	type candidate struct {
		conn *conn
		rank float64
	}
	now := f.opt.Host.Now()
	var candidates []candidate
	for c := range f.conns {
		if n := c.bufferedBytes(); n > 0 && !c.closing {
			candidates = append(candidates, candidate{c, limits.MemoryRank(n, now-c.inputSince)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	for _, candidate := range candidates {
		if f.heldBytes <= limits.AfterReclaim(f.opt.MaxRequestBytes) {
			return
		}
		worst := candidate.conn
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
	now := f.opt.Host.Now()
	for f.unsentBytes > f.opt.MaxUnsentBytes {
		var worst *conn
		worstRank := 0.0
		for o := range f.conns {
			if o != c && o.unsent > 0 {
				if rank := limits.MemoryRank(o.unsent, now-o.stateSince); worst == nil || rank > worstRank {
					worst, worstRank = o, rank
				}
			}
		}
		if worst == nil {
			return
		}
		f.stats.Unread++
		f.events.Info("http front: a connection that does not read its answer is closed for lack of memory", "conn", worst.number,
			"bytes", worst.unsent, "age", now-worst.stateSince, "unsent", f.unsentBytes, "limit", f.opt.MaxUnsentBytes)
		f.opt.Loop.Close(worst.g)
	}
}
