package http

import (
	"fmt"

	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/outcome"
)

// memory returns the bytes that requests and responses take here, as allocated.
func (b *Backend) memory() int64 { return b.heldBytes + b.passedBytes.Load() }

// releasePassed gives up the body of a response that has been passed on.
func (b *Backend) releasePassed(body []byte) {
	b.passedBytes.Add(-int64(cap(body)))
	b.settings.Arena.Free(body)
}

// updateHeldBytes counts what the connection's response takes, and the request that it has not taken completely.
func (c *conn) updateHeldBytes() {
	n := 0
	if !c.closed {
		n = c.response.heldBytes() + loop.UnsentMemory(c.g)
	}
	c.b.heldBytes += int64(n - c.heldBytes)
	c.heldBytes = n
	c.b.holders.Set(&c.holder, n, c.b.now())
	c.b.stats.HeldPeak = max(c.b.stats.HeldPeak, c.b.memory())
}

// reserve makes room for n further bytes that a connection is about to take, before they are allocated. Those that have held
// most for longest give up their attempts. It returns an error if that is the connection itself. It bounds memory when
// endless responses arrive on many connections at once, and when nodes do not read. A response that is the only one is read to
// its end, as its own length is bounded.
func (c *conn) reserve(n int) error {
	b := c.b
	for now := b.now(); b.memory()+int64(n) > b.settings.MaxResponseBytes; {
		if b.passedBytes.Load() == 0 && b.holders.Len() == c.holder.Count() {
			return nil
		}
		worst := b.holders.Worst(now)
		b.stats.Shed++
		if worst == nil || worst == &c.holder || worst.Rank(now) <= c.holder.RankWith(n, now) {
			return b.overLimit()
		}
		worst.Owner.shed(b.overLimit())
	}
	return nil
}

func (b *Backend) overLimit() error {
	return fmt.Errorf("over %d bytes of answers that are not whole", b.settings.MaxResponseBytes)
}

// shed gives up the attempt in flight and closes the connection.
func (c *conn) shed(why error) {
	if unsent := loop.Unsent(c.g); unsent > 0 {
		c.endAttempt(host.Outcome{Result: outcome.OfEnd(c.progress, unsent), Text: why.Error()})
	} else {
		c.rejectResponse(why)
	}
	c.discardUnsent()
	c.b.loop.Close(c.g)
}
