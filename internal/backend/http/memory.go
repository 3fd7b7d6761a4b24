package http

import (
	"fmt"

	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/outcome"
)

// memory returns the bytes that requests and responses take here, as allocated.
func (b *Backend) memory() int64 { return b.heldBytes + b.passedBytes.Load() }

// releasePassed counts a response that has been passed on as released.
func (b *Backend) releasePassed(allocated int) { b.passedBytes.Add(-int64(allocated)) }

// updateHeldBytes counts what the connection's response takes, and the request that it has not taken completely.
func (c *conn) updateHeldBytes() {
	n := 0
	if !c.closed {
		n = c.response.heldBytes() + loop.UnsentMemory(c.g.OutboundBuffered())
	}
	c.b.heldBytes += int64(n - c.heldBytes)
	c.heldBytes = n
	c.b.stats.HeldPeak = max(c.b.stats.HeldPeak, c.b.memory())
}

// enforceByteLimit gives up attempts until the total is within the limit, those that hold most first. It bounds memory when
// endless responses arrive on many connections at once, and when nodes do not read. A response that is the only one is
// read to its end, as its own length is bounded.
func (b *Backend) enforceByteLimit() {
	for b.memory() > b.settings.MaxResponseBytes {
		var largest *conn
		holders := 0
		for _, a := range b.attempts {
			if a.conn == nil || a.conn.heldBytes == 0 {
				continue
			}
			holders++
			if largest == nil || a.conn.heldBytes > largest.heldBytes {
				largest = a.conn
			}
		}
		if largest == nil || holders == 1 && b.passedBytes.Load() == 0 {
			return
		}
		b.stats.Shed++
		largest.shed(fmt.Errorf("over %d bytes of answers that are not whole", b.settings.MaxResponseBytes))
	}
}

// shed gives up the attempt in flight and closes the connection.
func (c *conn) shed(why error) {
	if unsent := c.g.OutboundBuffered(); unsent > 0 {
		c.endAttempt(host.Outcome{Result: outcome.OfEnd(c.progress, unsent), Text: why.Error()})
	} else {
		c.rejectResponse(why)
	}
	c.discardUnsent()
	c.b.loop.Close(c.g)
}
