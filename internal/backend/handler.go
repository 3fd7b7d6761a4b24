package backend

import (
	"errors"
	"fmt"
	"time"

	"github.com/panjf2000/gnet/v2"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
)

// handler receives the events of gnet's loops.
type handler struct {
	gnet.BuiltinEventEngine
	b *Backend
}

// OnOpen sends the gateway's hello; the connection carries attempts once the node's hello has arrived.
func (h *handler) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	c, ok := g.Context().(*conn)
	if !ok {
		return nil, gnet.Close
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Conn = g
	c.timer = time.AfterFunc(b.settings.DialTimeout, func() {
		b.mu.Lock()
		late := !c.ready && !c.closed
		if late {
			c.closeReason = "no hello in time"
		}
		b.mu.Unlock()
		if late {
			_ = g.Close()
		}
	})
	return nodewire.Append(nil, &nodewire.Hello{Version: nodewire.Version, Name: b.settings.Name, Shard: -1}), gnet.None
}

// OnTraffic reads complete frames from the connection. An incomplete frame stays in gnet's buffer, which the maximum
// size of a frame bounds.
func (h *handler) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	for g.InboundBuffered() >= c.needBytes {
		p, err := g.Peek(c.needBytes)
		if err != nil {
			return gnet.None
		}
		frame, n, err := nodewire.Decode(p)
		if errors.Is(err, nodewire.ErrShort) {
			if need := nodewire.FrameLen(p); need > c.needBytes {
				c.needBytes = need
				continue
			}
			return gnet.None
		}
		if err == nil {
			err = h.b.handleFrame(c, frame)
		}
		if err != nil {
			h.b.protocolError(c, err)
			return gnet.Close
		}
		_, _ = g.Discard(n)
		c.needBytes = 4
	}
	return gnet.None
}

// protocolError records that a node has sent an invalid frame.
func (b *Backend) protocolError(c *conn, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.ProtocolErrors++
	c.closeReason = err.Error()
	b.log.Warn("backend: invalid frame from node, closing the connection", "node", c.node.id, "err", err)
}

// handleFrame processes one frame. An error closes the connection.
func (b *Backend) handleFrame(c *conn, f nodewire.Frame) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hello, ok := f.(*nodewire.Hello); ok {
		return b.handleHello(c, hello)
	}
	if !c.ready {
		return fmt.Errorf("%T before the hello", f)
	}
	switch f := f.(type) {
	case *nodewire.Answer:
		a := c.attempts[f.ID]
		if a == nil || a.probe {
			b.stats.Unmatched++ // the attempt was dropped
			return nil
		}
		delete(c.attempts, a.id)
		delete(b.attempts, a.Ref)
		c.markIdle()
		b.reportFill(c, f.Used, f.Capacity, f.Result == nodewire.NoRoom)
		b.owner.AttemptEnded(toOutcome(a, f))
	case *nodewire.Probed:
		b.reportFill(c, f.Used, f.Capacity, false)
		a := c.attempts[f.ID]
		if a == nil || !a.probe { // answer to an earlier probe: it still shows that the node responds
			b.stats.Unmatched++
			b.owner.Probed(c.node.id, control.Done, 0, loadValues(f.Queue, f.LatencyUs))
			return nil
		}
		delete(c.attempts, a.id)
		c.probe = nil
		c.markIdle()
		b.owner.Probed(a.Node, control.Done, time.Since(a.sentAt), loadValues(f.Queue, f.LatencyUs))
	default:
		return fmt.Errorf("%T is for nodes", f)
	}
	return nil
}

// reportFill passes the fill of a connection's shard to Settings.OnFill.
func (b *Backend) reportFill(c *conn, used, capacity uint64, noRoom bool) {
	if b.settings.OnFill != nil && (capacity > 0 || noRoom) {
		b.settings.OnFill(c.shard, used, capacity, noRoom)
	}
}

// loadValues returns a load report in the order of LoadFields.
func loadValues(queue, latencyUs uint32) []float64 {
	return []float64{float64(queue), float64(latencyUs) / 1000}
}

// LoadFields are the names of the values of a node's load report.
var LoadFields = []string{"queue", "latency_ms"}

// toOutcome converts a node's answer to an outcome. An answer to a read with the wrong number of bytes is an error.
func toOutcome(a *attempt, f *nodewire.Answer) host.Outcome {
	o := host.Outcome{Ref: a.Ref, Shard: int(f.Shard), VolumeUse: int(f.VolumeUse),
		OthersGot: float64(f.OthersMilliUnits) / 1000, Load: loadValues(f.Queue, f.LatencyUs), Text: f.Text}
	switch f.Result {
	case nodewire.Done:
		o.Result = control.Done
		if a.Request.Op == nodewire.Read {
			if len(f.Payload) != a.Request.Length {
				o.Result, o.Text = control.Error, fmt.Sprintf("%d bytes came of %d", len(f.Payload), a.Request.Length)
				return o
			}
			o.Data = buffer.Get(len(f.Payload))
			copy(o.Data.B, f.Payload)
		}
	case nodewire.Busy:
		o.Result = control.Busy
	case nodewire.NoRoom:
		o.Result = control.NoRoom
	case nodewire.Missing:
		o.Result, o.Text = control.Error, "no such item: "+f.Text
	default:
		o.Result = control.Error
	}
	return o
}

// handleHello checks a node's hello, marks the connection ready and writes the waiting attempts to it.
func (b *Backend) handleHello(c *conn, f *nodewire.Hello) error {
	if c.ready || f.Version != nodewire.Version {
		return fmt.Errorf("hello of version %d (second: %v): expected one of version %d", f.Version, c.ready, nodewire.Version)
	}
	if f.Name != c.node.id {
		return fmt.Errorf("node %q answers at the address of %q", f.Name, c.node.id)
	}
	c.ready, c.shard = true, int(f.Shard)
	c.timer.Stop()
	n := c.node
	n.dialing--
	n.conns = append(n.conns, c)
	waiting := n.waiting
	n.waiting = nil
	for i, a := range waiting {
		if len(c.attempts) >= b.settings.AttemptsPerConn && len(n.conns) < b.settings.MaxConns {
			n.waiting = waiting[i:]
			b.dial(n)
			break
		}
		b.write(c, a)
	}
	return nil
}

// OnClose reports the attempts in flight as Reset. If the connection ends before the node's hello, the waiting
// attempts are reported as Unreachable: none of them was handed to a socket.
func (h *handler) OnClose(g gnet.Conn, err error) gnet.Action {
	c, ok := g.Context().(*conn)
	if !ok {
		return gnet.None
	}
	b := h.b
	text := "connection closed"
	if err != nil {
		text = err.Error()
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	if !c.ready {
		b.mu.Lock()
		c.closed = true
		if c.closeReason != "" {
			text = c.closeReason
		}
		b.mu.Unlock()
		b.dialFailed(c.node, fmt.Errorf("connection to %s: %s", c.node.addr, text))
		return gnet.None
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closeReason != "" {
		text = c.closeReason
	}
	c.closed = true
	b.stats.Closed++
	n := c.node
	for i, o := range n.conns {
		if o == c {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			break
		}
	}
	if b.closed {
		return gnet.None
	}
	for _, a := range c.attempts {
		delete(b.attempts, a.Ref)
		b.report(a, control.Reset, text)
	}
	c.attempts = nil
	return gnet.None
}

// OnTick closes connections that have been idle for Settings.IdleClose, and those of unlisted nodes once no attempt is
// in flight on them.
func (h *handler) OnTick() (time.Duration, gnet.Action) {
	b := h.b
	b.mu.Lock()
	var idle []*conn
	for id, n := range b.nodes {
		for _, c := range n.conns {
			if len(c.attempts) == 0 && (!n.listed || b.settings.IdleTimeout > 0 && time.Since(c.idleSince) > b.settings.IdleTimeout) {
				c.closed = true
				idle = append(idle, c)
			}
		}
		if !n.listed && len(n.conns)+n.dialing+len(n.waiting) == 0 {
			delete(b.nodes, id)
		}
	}
	b.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return 250 * time.Millisecond, gnet.None
}
