package http

import (
	"errors"
	"strconv"
	"time"

	"eiderhold/internal/host"
	"eiderhold/internal/http1"
	"eiderhold/internal/loop"
	"eiderhold/limits"
)

const answerHeadBytes = 192 // enough for the head of any answer

// deliver writes the host's final answer to the client.
func (c *conn) deliver(r *host.Request, a host.Answer) {
	defer a.Data.Release()
	if c.closed || c.req != r {
		return
	}
	f := c.f
	if r.Begun() {
		f.ids.EndBegun(c.requestID)
	} else {
		f.ids.End(c.requestID)
	}
	c.requestDone()
	switch a.Kind {
	case host.Served:
		f.stats.Served++
		c.respond(200, "", a.Data.B)
	case host.Refused:
		f.stats.Refused++
		c.respond(503, formatRetryAfter(a.RetryAfter), nil)
	default:
		f.stats.Failed++
		c.respond(504, "", []byte(a.Cause+"\n"))
	}
	c.process(1)
}

// formatRetryAfter returns the value of a Retry-After header, in seconds.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// rejectInvalid answers an invalid request, or one for which there is no memory, with the status of the error.
func (c *conn) rejectInvalid(err error) {
	if errors.Is(err, errNoRoom) {
		c.f.stats.Shed++
	}
	c.reject(statusOf(err), err.Error())
}

// reject answers an invalid request and closes the connection, because the bytes that follow may belong to it.
func (c *conn) reject(status int, text string) {
	c.f.stats.Wrong++
	c.f.events.Info("http front: a request is rejected", "conn", c.number, "status", status, "reason", text)
	c.closeAfter = true
	c.f.discardBuffered(c)
	retryIn := ""
	if status == 503 {
		retryIn = formatRetryAfter(limits.RetryDelay)
	}
	c.respond(status, retryIn, []byte(text+"\n"))
}

// respond writes one answer and closes the connection if no further request is served on it.
func (c *conn) respond(status int, retryAfter string, body []byte) {
	closeConn := c.closeAfter || c.discarding || c.f.draining || !c.f.keepAlive && !limits.KeepAlive(c.f.usage())
	head := make([]byte, 0, answerHeadBytes+loop.CombinedBytes(body))
	head = http1.AppendStatus(head, status)
	head = http1.AppendIntField(head, "Content-Length", int64(len(body)))
	if retryAfter != "" {
		head = http1.AppendField(head, "Retry-After", retryAfter)
	}
	if closeConn {
		head = http1.AppendField(head, "Connection", "close")
	}
	if err := c.f.opt.Loop.Write(c.g, http1.AppendEnd(head), body); err != nil || c.closed {
		return
	}
	c.stateSince = c.f.opt.Host.Now()
	c.updateUnsent()
	c.f.reclaimUnsent(c)
	if closeConn {
		c.finish()
		return
	}
	c.flushing = loop.Unsent(c.g) > 0
}
