package http

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"eiderhold/internal/host"
	"eiderhold/internal/http1"
	"eiderhold/internal/loop"
	"eiderhold/limits"
	"eiderhold/requestid"
)

const (
	maxBufferedBytes  = 128 << 10 // behind the present request: several hundred small requests
	maxEmptyLineBytes = 256       // of empty lines in front of a request
	readAheadBytes    = 16 << 10  // read at a time before an attempt begins
	maxReadAhead      = 4         // reads before an attempt begins
)

// conn is one client connection.
type conn struct {
	f          *Front
	g          gnet.Conn
	number     uint64 // in the order in which connections were accepted, from 1
	buf        http1.Buffer
	scanned    int                 // bytes of buf already searched for the end of a head
	headParsed bool                // the head of the present request is complete, its body may not be
	pending    *host.Request       // the request of that head; nil: a health check
	chunks     *http1.ChunkDecoder // decodes the body, where it is chunked; nil: it has a length
	bodyLength int
	body       []byte               // as far as it has arrived, from the arena
	bodyDone   bool                 // the body is complete
	inputAge   requestid.InputAge   // of the bytes in buf and of the present request
	req        *host.Request        // open at the host; nil: none
	requestID  requestid.ID         // of req
	hostID     uint64               // of req, as returned by Submit
	emptyBytes int                  // of empty lines in front of the present request
	held       int                  // bytes counted in Front.heldBytes
	unsent     int                  // bytes counted in Front.unsentBytes
	holder     limits.Holder[*conn] // in Front.holders
	unread     limits.Holder[*conn] // in Front.unread
	scheduled  bool                 // in Front.ready
	closeAfter bool                 // the connection closes after the next answer
	discarding bool                 // input is discarded, and the connection closes after the next answer
	hadRequest bool                 // at least one complete request has been read
	flushing   bool                 // the last answer is not written completely
	closing    bool                 // being closed: no requests are read from it
	closed     bool
	openedAt   time.Duration
	isPresent  func(*host.Request) bool // present, made once
	stateSince time.Duration            // when the connection began to receive, to write or to wait
	inputSince time.Duration            // when the oldest bytes that are held of incomplete requests came
}

// evict closes a connection that sends no request or does not read its answer. If unread bytes have arrived on it
// meanwhile, it stays open and they are read.
func (c *conn) evict() {
	switch {
	case c.flushing || !c.hadRequest && !c.partialRequest() && !loop.HasUnread(c.g): // no answer can be lost
		c.f.opt.Loop.Close(c.g)
	case loop.HasUnread(c.g):
		return
	default:
		c.finish()
	}
	c.f.stats.Evicted++
}

// finish closes the connection gracefully: bytes that still arrive are not read as requests.
func (c *conn) finish() {
	c.closing, c.stateSince = true, c.f.opt.Host.Now()
	c.f.discardBuffered(c)
	c.f.opt.Loop.CloseGracefully(c.g)
}

// state returns the connection's state, from which package limits decides whether to evict it.
func (c *conn) state() limits.Conn {
	return limits.Conn{Open: c.req != nil, WritingAnswer: c.flushing, Closing: c.closing, HasRequested: c.hadRequest, PartialRequest: c.partialRequest(),
		Opened: c.openedAt, Since: c.stateSince}
}

// partialRequest reports whether a request has been received in part.
func (c *conn) partialRequest() bool { return c.buf.Len() > 0 || c.headParsed }

// newConn returns the next connection.
func (f *Front) newConn() *conn {
	c := &conn{f: f, number: f.connections.Add(1)}
	c.buf.Arena = f.opt.Arena
	c.holder.Owner, c.unread.Owner = c, c
	return c
}

// Opened registers a new connection.
func (c *conn) Opened(g gnet.Conn) {
	c.g, c.isPresent = g, c.present
	c.openedAt = c.f.opt.Host.Now()
	c.stateSince = c.openedAt
	c.f.conns[c] = true
	c.f.stats.Accepted++
}

// Closed removes a connection that the client or the front has closed, and abandons its open request.
func (c *conn) Closed(gnet.Conn, error) {
	f := c.f
	c.closed = true
	delete(f.conns, c)
	f.discardBuffered(c)
	c.updateUnsent()
	if c.req != nil {
		f.stats.Left++
		c.req.Abandon()
		f.opt.Host.ClientGone(c.hostID)
		if c.req.Begun() {
			f.ids.EndBegun(c.requestID)
		} else {
			f.ids.Release(c.requestID, f.connections.Load())
		}
		c.requestDone()
	}
	f.releasePlace()
}

// discardBuffered discards the bytes of incomplete requests of a connection.
func (f *Front) discardBuffered(c *conn) {
	c.buf.Free()
	f.opt.Arena.Free(c.body)
	c.body, c.chunks, c.pending = nil, nil, nil
	c.headParsed, c.bodyDone, c.scanned = false, false, 0
	c.inputAge = requestid.InputAge{}
	c.updateHeld()
}

// discardInput discards what is received behind the open request, or behind its answer while that is being written,
// and closes the connection after the answer.
func (c *conn) discardInput() {
	c.f.discardBuffered(c)
	c.discarding, c.closeAfter = true, true
}

// consume removes n bytes from the start of buf.
func (c *conn) consume(n int) {
	c.buf.Consume(n)
	c.inputAge.Consume(n)
	c.inputSince = c.f.opt.Host.Now()
}

// requestDone removes the open request, whose id has ended. No attempt of it begins any more, see present, and the body of
// one that has begun was written or copied.
func (c *conn) requestDone() {
	c.freeBody(c.req)
	c.req = nil
	c.updateHeld()
	if c.f.ids.Full() {
		c.f.opt.Loop.Post(c.f.rotateIDs)
	}
}

// freeBody gives up the body of a request that is not open any more, or could not be opened.
func (c *conn) freeBody(r *host.Request) {
	c.f.opt.Arena.Free(r.Message.Body)
	r.Message.Body = nil
}

// Flushed goes on after an answer that had to wait for the client to take it.
func (c *conn) Flushed(gnet.Conn) { c.finishFlush() }

// Traffic reads bytes from the client. While a request is open, up to one further request is buffered. If the
// client sends more, the open request is still answered and then the connection is closed.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	p, err := g.Next(-1)
	if err != nil || c.closed {
		return gnet.None
	}
	c.finishFlush()
	wasIdle := !c.partialRequest() && c.req == nil && !c.flushing
	c.receive(p)
	c.process(1)
	if wasIdle && c.partialRequest() && c.req == nil && !c.flushing {
		c.stateSince = c.f.opt.Host.Now()
	}
	return gnet.None
}

// receive takes bytes from the client: those of the body that is being read, and all others into the buffer, where too many
// are discarded.
func (c *conn) receive(p []byte) {
	if c.discarding || c.closing || c.closed {
		return
	}
	if c.bufferedBytes() == 0 {
		c.inputSince = c.f.opt.Host.Now()
	}
	if c.headParsed && !c.bodyDone && c.buf.Len() == 0 {
		rest, err := c.readBody(p)
		if err != nil {
			c.rejectInvalid(err)
			return
		}
		p = rest
	}
	if !c.bufferInput(p) {
		c.shed()
		return
	}
	c.updateHeld()
}

// bufferInput appends bytes to the buffer. It returns false if they are too many, or if there is no memory for them.
func (c *conn) bufferInput(p []byte) bool {
	if len(p) == 0 {
		return true
	}
	return c.buf.Len()+len(p) <= maxBufferedBytes && c.f.reserve(c, c.buf.Growth(len(p), maxBufferedBytes)) && c.buf.Append(p, maxBufferedBytes)
}

// present reports, right before an attempt of r begins, whether its client still waits for the answer. The close of a
// connection comes behind everything that was sent on it, so all of that is read first. A client that has sent more than
// is read at a time counts as gone: it may have closed behind that, and does not keep to one request at a time.
func (c *conn) present(r *host.Request) bool {
	if c.closed || c.req != r {
		return false
	}
	for range maxReadAhead {
		n, err := unix.Read(c.g.Fd(), c.f.readAhead[:])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return true
		case err != nil || n == 0:
			c.f.stats.Gone++
			c.f.opt.Loop.Close(c.g)
			return false
		}
		c.receive(c.f.readAhead[:n])
	}
	c.f.stats.Gone++
	return false
}

// finishFlush ends the state in which an answer is being written, if that is now written completely. A client sends its
// next request as soon as it has read the answer, so Traffic checks it before it reads that request.
func (c *conn) finishFlush() {
	if !c.flushing || loop.Unsent(c.g) > 0 {
		return
	}
	c.flushing = false
	c.updateUnsent()
	c.stateSince = c.f.opt.Host.Now()
	if c.discarding {
		c.finish()
		return
	}
	c.process(1)
}

// process reads buffered requests until one is open, at most the given number of them, and returns how many it has read.
// The connection is scheduled if there may be more.
func (c *conn) process(most int) (handled int) {
	for !c.scheduled && c.req == nil && !c.flushing && !c.closing && !c.closed && c.partialRequest() {
		if handled == most {
			c.f.schedule(c)
			return handled
		}
		complete, err := c.readRequest()
		if err != nil {
			c.rejectInvalid(err)
			return handled + 1
		}
		if !complete {
			break
		}
		c.submit()
		handled++
	}
	c.updateHeld()
	return handled
}

// readRequest reads as much of the present request as has arrived. complete reports that it can be submitted.
func (c *conn) readRequest() (complete bool, err error) {
	if !c.headParsed {
		if err := c.readHead(); err != nil || !c.headParsed {
			return false, err
		}
	}
	if !c.bodyDone && c.buf.Len() > 0 {
		received, since := c.buf.Bytes(), c.inputSince
		rest, err := c.readBody(received)
		if err != nil {
			return false, err
		}
		c.consume(len(received) - len(rest))
		c.inputSince = since
	}
	return c.bodyDone, nil
}

// readBody reads bytes of the body of the present request, and returns those that follow it.
func (c *conn) readBody(p []byte) (rest []byte, err error) {
	most := http1.MaxBody
	if c.chunks == nil {
		most = c.bodyLength
	}
	part := min(len(p), most-len(c.body)) // at most: framing is a part of chunks
	if !c.f.reserve(c, http1.Growth(c.body, part, most)) {
		return nil, errNoRoom
	}
	if c.chunks != nil {
		c.body, rest, c.bodyDone, err = c.chunks.Feed(c.body, p)
		return rest, err
	}
	var ok bool
	if c.body, ok = http1.Append(c.f.opt.Arena, c.body, p[:part], most); !ok {
		return nil, errNoRoom
	}
	c.bodyDone = len(c.body) == most
	return p[part:], nil
}

// readHead reads the head of a request, after empty lines. headParsed is then true unless the head is incomplete.
func (c *conn) readHead() error {
	if n := http1.LeadingEmptyLines(c.buf.Bytes()); n > 0 {
		if c.emptyBytes += n; c.emptyBytes > maxEmptyLineBytes {
			return newRequestError(400, "over %d bytes of empty lines in front of a request", maxEmptyLineBytes)
		}
		c.scanned = 0
		if c.consume(n); c.buf.Len() == 0 {
			return nil
		}
	}
	h, n, err := http1.ParseRequest(c.buf.Bytes(), c.scanned)
	if err == http1.ErrShort {
		c.scanned = c.buf.Len()
		return nil
	}
	if err != nil {
		return err
	}
	return c.acceptHead(&h, n)
}

// acceptHead checks a request's head, of n bytes, and prepares to read its body.
func (c *conn) acceptHead(h *http1.Request, n int) error {
	if h.Body.Length > http1.MaxBody {
		return newRequestError(413, "a body of %d bytes: %d at most", h.Body.Length, http1.MaxBody)
	}
	c.closeAfter = h.Close
	c.headParsed, c.emptyBytes = true, 0
	c.inputAge.Begin()
	switch {
	case !isHealthCheck(h):
		r, err := c.f.rules.parse(h)
		if err != nil {
			return err
		}
		if !c.f.reserve(c, requestMemory(r)) {
			return errNoRoom
		}
		c.pending = r
	case string(h.Method) != "GET":
		return newRequestError(405, "method of /_health: expected GET")
	}
	expects := h.Minor > 0 && http1.ExpectsContinue(h.Header) && c.buf.Len() == n
	if h.Body.Chunked {
		c.chunks = &http1.ChunkDecoder{Max: http1.MaxBody, Arena: c.f.opt.Arena}
	} else {
		c.bodyLength = int(h.Body.Length)
		c.bodyDone = c.bodyLength == 0
		expects = expects && !c.bodyDone
	}
	c.consume(n)
	if expects { // the client sends the body after this: RFC 9110, 10.1.1
		_ = c.f.opt.Loop.Write(c.g, http1.AppendEnd(http1.AppendStatus(nil, 100)), nil)
	}
	return nil
}

// submit passes a complete request to the host, or answers a health check.
func (c *conn) submit() {
	r := c.takeRequest()
	if r == nil {
		status := 503
		if c.f.opt.Ready() {
			status = 200
		}
		c.respond(status, "", nil)
		return
	}
	f := c.f
	requestID, _ := requestid.Parse(r.Message.ID) // valid: rules.parse has checked it
	if begun := f.ids.Begun(requestID); !f.ids.Take(requestID, c.number) {
		c.freeBody(r)
		f.stats.Duplicate++
		f.events.Info("http front: a request with the id of another one is refused", "conn", c.number, "request", r.Message.ID, "has_begun", begun)
		c.respond(409, "", []byte("Request-Id: another request has used it\n"))
		return
	}
	if f.deadlineLimit > 0 {
		r.Expires = min(r.Expires, max(time.Millisecond, f.deadlineLimit-f.opt.Host.Now()))
	}
	f.stats.Requests++
	r.Answer = func(a host.Answer) { f.opt.Loop.Post(func() { c.deliver(r, a) }) }
	r.Present = c.isPresent
	hostID, err := f.opt.Host.Submit(r)
	if err != nil { // nothing has run, so the client may retry
		c.freeBody(r)
		f.ids.EndUntaken(requestID)
		f.stats.Refused++
		c.respond(503, formatRetryAfter(limits.RetryDelay), []byte(err.Error()+"\n"))
		return
	}
	c.req, c.requestID, c.hostID = r, requestID, hostID
	c.updateHeld()
}

// takeRequest removes the complete request from the buffers and returns it with its body; nil: a health check.
func (c *conn) takeRequest() *host.Request {
	r, body := c.pending, c.body
	c.inputAge.Complete()
	c.inputSince = c.f.opt.Host.Now()
	c.chunks, c.body, c.bodyDone = nil, nil, false
	c.headParsed, c.pending, c.scanned, c.bodyLength, c.hadRequest = false, nil, 0, 0, true
	if r != nil && len(body) > 0 {
		r.Message.Body = body
	} else {
		c.f.opt.Arena.Free(body)
	}
	return r
}
