// Package http1 is HTTP/1.1 as RFC 9112 has it, fed bytes and returning values: heads of requests and
// answers, the framing of bodies, chunks. It owns no socket and decides nothing. Every length is bounded;
// what is over a bound, or can be read in two ways, is an error that names the place. It is strict: lines
// end in CR LF, no white space stands before a colon, no line is folded, a length is digits only and told
// once. The HTTP front, the HTTP node connections and discovery call it.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// The bounds.
const (
	MaxHead    = 8 << 10 // bytes of a head, its empty line included
	MaxBody    = 1 << 20 // bytes of a body: 64 KiB by the platform's page, and on some days more
	MaxFields  = 64      // header fields of a head
	maxDigits  = 18      // of a length: more cannot be meant
	maxChunk   = 256     // bytes of a chunk's line
	maxTrailer = 2 << 10 // bytes of a trailer section
)

// ErrShort says that more bytes are needed.
var ErrShort = errors.New("http1: not whole yet")

// Error is a message that cannot be taken. Status is what a server answers it with.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func bad(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Field is one header field, its value without white space around it.
type Field struct{ Name, Value []byte }

// Header is the header section, in the order in which it came. It points into the bytes it was read from.
type Header []Field

// Get is the value of a field, by name without regard to case, and how often the field is there.
func (h Header) Get(name string) (value []byte, times int) {
	for _, f := range h {
		if equalFold(f.Name, name) {
			if times == 0 {
				value = f.Value
			}
			times++
		}
	}
	return value, times
}

// Text is the value of a field that is there exactly once, else empty.
func (h Header) Text(name string) string {
	if v, times := h.Get(name); times == 1 {
		return string(v)
	}
	return ""
}

// equalFold compares a name in bytes with one in text, ASCII letters without regard to case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// Body says how a body is framed.
type Body struct {
	Length  int64 // of a body of stated length; -1: not stated
	Chunked bool
}

// Request is a request's head.
type Request struct {
	Method, Target []byte
	Minor          int // of the version 1.x
	Header         Header
	Body           Body // Length is 0 where nothing is said: RFC 9112, 6.3, rule 7
	Close          bool // the connection ends after it
}

// Response is an answer's head.
type Response struct {
	Minor  int
	Status int
	Header Header
	Body   Body // neither stated nor chunked: it lasts until the connection ends
	Close  bool
}

var crlf2 = []byte("\r\n\r\n")

// EmptyLines is how many bytes of empty lines b begins with; a request may come after some: RFC 9112, 2.2. The
// first half of one, alone, does not count.
func EmptyLines(b []byte) (n int) {
	for bytes.HasPrefix(b[n:], crlf2[:2]) {
		n += 2
	}
	return n
}

// Continue says that a client waits for a 100 before it sends the body.
func Continue(h Header) bool {
	v, times := h.Get("Expect")
	return times == 1 && equalFold(v, "100-continue")
}

// HeadEnd finds the end of a head; from is how far an earlier call has looked. It is -1 as long as the
// empty line has not come.
func HeadEnd(b []byte, from int) int {
	from = max(0, from-3)
	if i := bytes.Index(b[from:], crlf2); i >= 0 {
		return from + i + len(crlf2)
	}
	return -1
}

// ParseRequest reads the head that b begins with and says how many bytes it has. from is how far an earlier
// call on the same bytes has looked, so that a head that trickles in is searched once.
func ParseRequest(b []byte, from int) (r Request, n int, err error) {
	line, fields, n, err := split(b, from)
	if err != nil {
		return r, 0, err
	}
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !token(method) {
		return r, 0, bad(400, "request line %q: expected METHOD TARGET HTTP/1.1", clip(line))
	}
	if len(target) == 0 || !visible(target) {
		return r, 0, bad(400, "request target %q: expected a path without spaces", clip(target))
	}
	if r.Minor, err = minor(version); err != nil {
		return r, 0, err
	}
	r.Method, r.Target = method, target
	if r.Header, err = parseFields(fields); err != nil {
		return r, 0, err
	}
	if r.Body, err = framing(r.Header); err != nil {
		return r, 0, err
	}
	if r.Body.Chunked && r.Minor == 0 {
		return r, 0, bad(400, "transfer-encoding in a message of HTTP/1.0")
	}
	if r.Body.Length < 0 && !r.Body.Chunked {
		r.Body.Length = 0
	}
	r.Close = closes(r.Header, r.Minor)
	return r, n, nil
}

// ParseResponse reads the head of an answer that b begins with and says how many bytes it has.
func ParseResponse(b []byte, from int) (r Response, n int, err error) {
	line, fields, n, err := split(b, from)
	if err != nil {
		return r, 0, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if r.Minor, err = minor(version); err != nil {
		return r, 0, err
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 || status > 599 || !text(reason) {
		return r, 0, bad(502, "status line %q: expected HTTP/1.1 and a status of three digits", clip(line))
	}
	r.Status = status
	if r.Header, err = parseFields(fields); err != nil {
		return r, 0, err
	}
	if r.Body, err = framing(r.Header); err != nil {
		return r, 0, err
	}
	if status < 200 || status == 204 || status == 304 { // RFC 9112, 6.3, rule 1
		r.Body = Body{}
	}
	r.Close = closes(r.Header, r.Minor)
	return r, n, nil
}

// split finds the first line and the fields of a head.
func split(b []byte, from int) (line, fields []byte, n int, err error) {
	n = HeadEnd(b, from)
	if n > MaxHead || n < 0 && len(b) >= MaxHead {
		return nil, nil, 0, bad(431, "a head of over %d bytes", MaxHead)
	}
	if n < 0 {
		return nil, nil, 0, early(b)
	}
	line, fields, _ = bytes.Cut(b[:n-2], []byte("\r\n"))
	return line, fields, n, nil
}

// early says of a head that is not whole whether it can become one: what begins with a byte that no
// message begins with, or has an end of line of its own, is turned away before anyone waits for its end.
func early(b []byte) error {
	if string(b) == "\r" { // half an empty line
		return ErrShort
	}
	if len(b) > 0 && !tchar(b[0]) {
		return bad(400, "a message that begins with %q", clip(b[:1]))
	}
	if i := bytes.IndexByte(b, '\n'); i == 0 || i > 0 && b[i-1] != '\r' {
		return bad(400, "a line that ends in LF alone: expected CR LF")
	}
	if bytes.IndexByte(b, 0) >= 0 {
		return bad(400, "a NUL byte in a head")
	}
	return ErrShort
}

func minor(version []byte) (int, error) {
	switch string(version) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if bytes.HasPrefix(version, []byte("HTTP/")) {
		return 0, bad(505, "version %q: expected HTTP/1.1", clip(version))
	}
	return 0, bad(400, "version %q: expected HTTP/1.1", clip(version))
}

// parseFields reads field lines, each with its CR LF.
func parseFields(b []byte) (Header, error) {
	h := make(Header, 0, 12)
	for len(b) > 0 {
		var line []byte
		line, b, _ = bytes.Cut(b, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) {
			return nil, bad(400, "header line %q: expected name, colon, value", clip(line))
		}
		value = bytes.Trim(value, " \t")
		if !text(value) {
			return nil, bad(400, "header %s: a control byte in its value", clip(name))
		}
		if len(h) == MaxFields {
			return nil, bad(431, "over %d header fields", MaxFields)
		}
		h = append(h, Field{name, value})
	}
	return h, nil
}

// framing reads how the body is framed: RFC 9112, 6.1 to 6.3. What could be read in two ways is refused.
func framing(h Header) (Body, error) {
	length, lengths := h.Get("Content-Length")
	coding, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 0 && codings > 0:
		return Body{}, bad(400, "both content-length and transfer-encoding")
	case lengths > 1:
		return Body{}, bad(400, "content-length %d times", lengths)
	case codings > 1 || codings == 1 && !equalFold(coding, "chunked"):
		return Body{}, bad(501, "transfer-encoding %q, %d times: expected chunked, once", clip(coding), codings)
	case codings == 1:
		return Body{Length: -1, Chunked: true}, nil
	case lengths == 0:
		return Body{Length: -1}, nil
	}
	if len(length) == 0 || len(length) > maxDigits {
		return Body{}, bad(400, "content-length %q: expected a number of 1 to %d digits", clip(length), maxDigits)
	}
	n := int64(0)
	for _, c := range length {
		if c < '0' || c > '9' {
			return Body{}, bad(400, "content-length %q: expected digits only", clip(length))
		}
		n = n*10 + int64(c-'0')
	}
	return Body{Length: n}, nil
}

// closes says whether the connection ends after the message: RFC 9112, 9.3.
func closes(h Header, minor int) bool {
	keep := minor > 0
	for _, f := range h {
		if !equalFold(f.Name, "Connection") {
			continue
		}
		for _, o := range bytes.Split(f.Value, []byte(",")) {
			if o = bytes.Trim(o, " \t"); equalFold(o, "close") {
				return true
			} else if equalFold(o, "keep-alive") {
				keep = true
			}
		}
	}
	return !keep
}

// token, visible and text are the character sets of RFC 9110, 5.6.2, and RFC 9112, 3.2 and 5.5.
func token(b []byte) bool {
	for _, c := range b {
		if !tchar(c) {
			return false
		}
	}
	return len(b) > 0
}

func tchar(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c != 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func visible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

func text(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func clip(b []byte) string {
	const most = 40
	if len(b) > most {
		return string(b[:most]) + "..."
	}
	return string(b)
}
