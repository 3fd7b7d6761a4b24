package http

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/host"
	"eiderhold/internal/http1"
	"eiderhold/outcome"
)

const (
	maxInterim    = 8   // 1xx responses before a final one
	maxFieldBytes = 512 // of a load report or a volume's use; a longer one is ignored
)

// responseReader reads one response incrementally. A response that exceeds a bound of package http1 is an error.
// A response with neither a length nor chunked coding ends with the connection (RFC 9112, 6.3, rule 8); the way
// the connection ends shows whether it is complete.
type responseReader struct {
	arena        *buffer.Arena
	buf          []byte // bytes of the head until it is complete
	scanned      int    // bytes of buf already searched for the end of a head
	interimCount int
	headParsed   bool
	head         http1.Response // its fields are copied out as the head is read
	notStarted   bool
	volumeUse    string
	loadReport   string
	chunks       *http1.ChunkDecoder
	untilClose   bool // the body ends with the connection
	body         []byte
	trailing     int // bytes received after the end of the response
}

// heldBytes returns how many bytes the response takes, as allocated.
func (r *responseReader) heldBytes() int {
	n := cap(r.buf) + cap(r.body) + len(r.volumeUse) + len(r.loadReport)
	if r.chunks != nil {
		n += r.chunks.Memory()
	}
	return n
}

// free gives up what the response takes. A body that has been passed on is not part of it any more.
func (r *responseReader) free() {
	r.arena.Free(r.buf)
	r.arena.Free(r.body)
	*r = responseReader{arena: r.arena}
}

// errNoMemory is the error of a response for which there is no memory.
var errNoMemory = errors.New("no memory for it")

// growth returns how many bytes feed may have to allocate for n bytes.
func (r *responseReader) growth(n int) int {
	switch {
	case !r.headParsed && len(r.buf) == 0:
		return http1.Growth(nil, n, http1.MaxHead)
	case !r.headParsed:
		return http1.Growth(r.buf, n, http1.MaxHead)
	}
	return http1.Growth(r.body, min(n, r.mostBody()-len(r.body)), r.mostBody())
}

// mostBody returns the largest length that the body may have.
func (r *responseReader) mostBody() int {
	if r.chunks == nil && !r.untilClose {
		return int(r.head.Body.Length)
	}
	return http1.MaxBody
}

// feed consumes bytes from the connection; done reports that the response is complete.
func (r *responseReader) feed(p []byte) (done bool, err error) {
	if r.headParsed {
		return r.feedBody(p)
	}
	received := p
	if len(r.buf) > 0 {
		if err := r.keep(p); err != nil {
			return false, err
		}
		received = r.buf
	}
	rest, err := r.readHead(received)
	switch {
	case err == http1.ErrShort:
		return false, r.keepUnread(rest)
	case err != nil:
		return false, err
	}
	former := r.buf
	r.buf = nil
	defer r.arena.Free(former) // rest may be a part of it
	return r.feedBody(rest)
}

// keep appends bytes of an incomplete head to buf.
func (r *responseReader) keep(p []byte) error {
	var ok bool
	if r.buf, ok = http1.Append(r.arena, r.buf, p, http1.MaxHead); !ok {
		return errNoMemory
	}
	return nil
}

// keepUnread makes buf hold the bytes of an incomplete head, which may be a part of buf.
func (r *responseReader) keepUnread(rest []byte) error {
	r.scanned = len(rest)
	if len(r.buf) > 0 {
		r.buf = r.buf[:copy(r.buf, rest)]
		return nil
	}
	return r.keep(rest)
}

// readHead reads the head of the response, after interim responses, and returns what follows it. With ErrShort, rest is the
// incomplete head.
func (r *responseReader) readHead(b []byte) (rest []byte, err error) {
	for {
		h, n, err := http1.ParseResponse(b, r.scanned)
		if err != nil {
			return b, err
		}
		r.scanned = 0
		switch {
		case h.Status == 101:
			return b, fmt.Errorf("status 101: no other protocol was asked for")
		case h.Status >= 200:
			return b[n:], r.acceptHead(h)
		}
		if r.interimCount++; r.interimCount > maxInterim {
			return b, fmt.Errorf("over %d answers of 1xx in front", maxInterim)
		}
		b = b[n:]
	}
}

// feedBody consumes bytes of the body.
func (r *responseReader) feedBody(p []byte) (done bool, err error) {
	if r.chunks != nil {
		out, rest, done, err := r.chunks.Feed(r.body, p)
		r.body = out
		if done {
			r.trailing = len(rest)
		}
		return done, err
	}
	if r.untilClose && len(r.body)+len(p) > http1.MaxBody {
		return false, fmt.Errorf("a body of over %d bytes", http1.MaxBody)
	}
	want := min(r.mostBody()-len(r.body), len(p))
	var ok bool
	if r.body, ok = http1.Append(r.arena, r.body, p[:want], r.mostBody()); !ok {
		return false, errNoMemory
	}
	r.trailing = len(p) - want
	return !r.untilClose && len(r.body) == r.mostBody(), nil
}

// acceptHead checks a head and copies the values that are needed after its buffer is reused.
func (r *responseReader) acceptHead(h http1.Response) error {
	v, times := h.Header.Get("Not-Started")
	r.notStarted = times == 1 && string(v) == "1"
	r.volumeUse, r.loadReport = shortValue(h.Header, "X-Meter"), shortValue(h.Header, "Server-Load")
	r.headParsed, r.head = true, h
	r.head.Header = nil
	switch {
	case h.Body.Chunked:
		r.chunks = &http1.ChunkDecoder{Max: http1.MaxBody, Arena: r.arena}
	case h.Body.Length < 0:
		r.untilClose = true
	case h.Body.Length > http1.MaxBody:
		return fmt.Errorf("a body of %d bytes: expected %d at most", h.Body.Length, http1.MaxBody)
	}
	return nil
}

// shortValue returns the value of a field that occurs exactly once and is not too long, otherwise the empty string.
func shortValue(h http1.Header, name string) string {
	if v, times := h.Get(name); times == 1 && len(v) <= maxFieldBytes {
		return string(v)
	}
	return ""
}

// outcome maps a complete response to an outcome, by the table of package outcome. The body of a served one belongs to the
// outcome from then on; released is called when that is released.
func (r *responseReader) outcome(fields []string, released func([]byte)) host.Outcome {
	o := host.Outcome{Result: outcome.OfAnswer(r.head.Status, r.notStarted), VolumeUse: parseVolumeUse(r.volumeUse), Load: parseLoadReport(r.loadReport, fields)}
	if o.Result == control.Done {
		o.Data = buffer.Own(r.body, released)
		r.body = nil
	} else {
		o.Text = "status " + strconv.Itoa(r.head.Status)
	}
	return o
}

// parseVolumeUse parses a volume's use in percent and returns 1 + percent; 0 if the text is missing or invalid.
func parseVolumeUse(s string) int {
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0
	}
	return int(n) + 1
}

// parseLoadReport parses a load report and returns its values in the order of fields. It returns nil unless each
// field is present exactly once with a valid number.
func parseLoadReport(s string, fields []string) []float64 {
	if s == "" || len(fields) == 0 {
		return nil
	}
	load, seen := make([]float64, len(fields)), 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.Trim(part, " \t"), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !(x >= 0 && x < 1e9) {
			return nil
		}
		for i, f := range fields {
			if f == name {
				load[i] = x
				seen++
			}
		}
	}
	if seen != len(fields) || bytes.ContainsRune([]byte(s), '\x00') {
		return nil
	}
	return load
}
