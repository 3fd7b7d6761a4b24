// Package http1 parses and writes HTTP/1.1 messages (RFC 9112): heads of requests and responses, the framing of
// bodies, and chunked coding. It works on byte slices and owns no socket. Every length is bounded; a message that
// exceeds a bound or is ambiguous is an error that names the element. The parser is strict: lines end in CR LF,
// there is no white space before a colon, no line folding, and a Content-Length consists of digits only and occurs
// once. The HTTP front, the HTTP node connections and discovery use it.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Bounds on the size of a message.
const (
	MaxHead         = 8 << 10 // bytes of a head, including the empty line
	MaxBody         = 1 << 20 // bytes of a body: the platform documents 64 KiB, but larger ones occur
	MaxFields       = 64      // header fields of a head
	maxLengthDigits = 18      // digits of a Content-Length: any such number fits into an int64
	maxChunkLine    = 256     // bytes of the line with a chunk's size
	maxTrailer      = 2 << 10 // bytes of a trailer section
)

// ErrShort is returned when more bytes are needed to complete a head.
var ErrShort = errors.New("http1: not whole yet")

// Error describes an invalid message. Status is the status with which a server answers it.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func newError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Field is one header field. Its value has no surrounding white space.
type Field struct{ Name, Value []byte }

// Header is the header section in its original order. It refers to the bytes from which it was parsed.
type Header []Field

// Get returns the first value of a field and the number of times the field occurs. Names are compared without regard
// to case.
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

// SingleValue returns the value of a field that occurs exactly once, otherwise the empty string.
func (h Header) SingleValue(name string) string { return string(h.Single(name)) }

// Single is SingleValue without a copy: the value refers to the bytes of the header.
func (h Header) Single(name string) []byte {
	if v, times := h.Get(name); times == 1 {
		return v
	}
	return nil
}

// equalFold reports whether b and s are equal, ignoring the case of ASCII letters.
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

// Body describes the framing of a body.
type Body struct {
	Length  int64 // from Content-Length; -1: not stated
	Chunked bool
}

// Request is the head of a request.
type Request struct {
	Method, Target []byte
	Minor          int // minor version: HTTP/1.Minor
	Header         Header
	Body           Body // Length is 0 if no length is stated: RFC 9112, 6.3, rule 7
	Close          bool // the connection closes after this exchange
}

// Response is the head of a response.
type Response struct {
	Minor  int
	Status int
	Header Header
	Body   Body // without length or chunked coding it lasts until the connection ends
	Close  bool
}

var headTerminator = []byte("\r\n\r\n")

// LeadingEmptyLines returns the number of bytes of empty lines at the start of b, which may precede a request: RFC
// 9112, 2.2. A CR without its LF does not count.
func LeadingEmptyLines(b []byte) (n int) {
	for bytes.HasPrefix(b[n:], headTerminator[:2]) {
		n += 2
	}
	return n
}

// ExpectsContinue reports whether a client waits for status 100 before it sends the body.
func ExpectsContinue(h Header) bool {
	v, times := h.Get("Expect")
	return times == 1 && equalFold(v, "100-continue")
}

// HeadEnd returns the length of the head that b begins with, or -1 if its empty line has not arrived. scanned is the
// number of bytes that an earlier call has searched.
func HeadEnd(b []byte, scanned int) int {
	scanned = max(0, scanned-3)
	if i := bytes.Index(b[scanned:], headTerminator); i >= 0 {
		return scanned + i + len(headTerminator)
	}
	return -1
}

// ParseRequest parses the request head that b begins with and returns its length. scanned is the number of bytes that
// an earlier call on the same data has searched, so that a head that arrives in small pieces is searched only once.
func ParseRequest(b []byte, scanned int) (r Request, n int, err error) {
	line, fields, n, err := splitHead(b, scanned)
	if err != nil {
		return r, 0, err
	}
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) {
		return r, 0, newError(400, "request line %q: expected METHOD TARGET HTTP/1.1", truncate(line))
	}
	if len(target) == 0 || !isVisible(target) {
		return r, 0, newError(400, "request target %q: expected a path without spaces", truncate(target))
	}
	if r.Minor, err = parseVersion(version); err != nil {
		return r, 0, err
	}
	r.Method, r.Target = method, target
	if r.Header, err = parseFields(fields); err != nil {
		return r, 0, err
	}
	if r.Body, err = parseFraming(r.Header); err != nil {
		return r, 0, err
	}
	if r.Body.Chunked && r.Minor == 0 {
		return r, 0, newError(400, "transfer-encoding in a message of HTTP/1.0")
	}
	if r.Body.Length < 0 && !r.Body.Chunked {
		r.Body.Length = 0
	}
	r.Close = closesConnection(r.Header, r.Minor)
	return r, n, nil
}

// ParseResponse parses the response head that b begins with and returns its length. scanned is as for ParseRequest.
func ParseResponse(b []byte, scanned int) (r Response, n int, err error) {
	line, fields, n, err := splitHead(b, scanned)
	if err != nil {
		return r, 0, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if r.Minor, err = parseVersion(version); err != nil {
		return r, 0, err
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 || status > 599 || !isFieldText(reason) {
		return r, 0, newError(502, "status line %q: expected HTTP/1.1 and a status of three digits", truncate(line))
	}
	r.Status = status
	if r.Header, err = parseFields(fields); err != nil {
		return r, 0, err
	}
	if r.Body, err = parseFraming(r.Header); err != nil {
		return r, 0, err
	}
	if status < 200 || status == 204 || status == 304 { // RFC 9112, 6.3, rule 1
		r.Body = Body{}
	}
	r.Close = closesConnection(r.Header, r.Minor)
	return r, n, nil
}

// splitHead returns the first line of a head, its field lines and its length.
func splitHead(b []byte, scanned int) (line, fields []byte, n int, err error) {
	n = HeadEnd(b, scanned)
	if n > MaxHead || n < 0 && len(b) >= MaxHead {
		return nil, nil, 0, newError(431, "a head of over %d bytes", MaxHead)
	}
	if n < 0 {
		return nil, nil, 0, checkPartialHead(b, scanned)
	}
	line, fields, _ = bytes.Cut(b[:n-2], []byte("\r\n"))
	return line, fields, n, nil
}

// checkPartialHead returns ErrShort if an incomplete head can still become valid. An invalid first byte, a bare LF or
// a NUL byte is an error at once, so that the caller does not wait for the end of such a head. scanned bytes of it have been
// checked before.
func checkPartialHead(b []byte, scanned int) error {
	if string(b) == "\r" { // half an empty line
		return ErrShort
	}
	if len(b) > 0 && !isTokenChar(b[0]) {
		return newError(400, "a message that begins with %q", truncate(b[:1]))
	}
	received := b[min(scanned, len(b)):]
	for i := range received {
		if at := len(b) - len(received) + i; received[i] == '\n' && (at == 0 || b[at-1] != '\r') {
			return newError(400, "a line that ends in LF alone: expected CR LF")
		}
	}
	if bytes.IndexByte(received, 0) >= 0 {
		return newError(400, "a NUL byte in a head")
	}
	return ErrShort
}

// parseVersion returns the minor version of HTTP/1.x.
func parseVersion(version []byte) (int, error) {
	switch string(version) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if bytes.HasPrefix(version, []byte("HTTP/")) {
		return 0, newError(505, "version %q: expected HTTP/1.1", truncate(version))
	}
	return 0, newError(400, "version %q: expected HTTP/1.1", truncate(version))
}

// parseFields parses field lines, each of which ends in CR LF.
func parseFields(b []byte) (Header, error) {
	h := make(Header, 0, 12)
	for len(b) > 0 {
		var line []byte
		line, b, _ = bytes.Cut(b, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return nil, newError(400, "header line %q: expected name, colon, value", truncate(line))
		}
		value = bytes.Trim(value, " \t")
		if !isFieldText(value) {
			return nil, newError(400, "header %s: a control byte in its value", truncate(name))
		}
		if len(h) == MaxFields {
			return nil, newError(431, "over %d header fields", MaxFields)
		}
		h = append(h, Field{name, value})
	}
	return h, nil
}

// parseFraming returns the framing of the body: RFC 9112, 6.1 to 6.3. Ambiguous framing is an error.
func parseFraming(h Header) (Body, error) {
	length, lengths := h.Get("Content-Length")
	coding, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 0 && codings > 0:
		return Body{}, newError(400, "both content-length and transfer-encoding")
	case lengths > 1:
		return Body{}, newError(400, "content-length %d times", lengths)
	case codings > 1 || codings == 1 && !equalFold(coding, "chunked"):
		return Body{}, newError(501, "transfer-encoding %q, %d times: expected chunked, once", truncate(coding), codings)
	case codings == 1:
		return Body{Length: -1, Chunked: true}, nil
	case lengths == 0:
		return Body{Length: -1}, nil
	}
	if len(length) == 0 || len(length) > maxLengthDigits {
		return Body{}, newError(400, "content-length %q: expected a number of 1 to %d digits", truncate(length), maxLengthDigits)
	}
	n := int64(0)
	for _, c := range length {
		if c < '0' || c > '9' {
			return Body{}, newError(400, "content-length %q: expected digits only", truncate(length))
		}
		n = n*10 + int64(c-'0')
	}
	return Body{Length: n}, nil
}

// closesConnection reports whether the connection closes after the message: RFC 9112, 9.3.
func closesConnection(h Header, minor int) bool {
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

// isToken, isVisible and isFieldText check the character sets of RFC 9110, 5.6.2, and RFC 9112, 3.2 and 5.5.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar(c) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenChar(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c != 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

func isFieldText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func truncate(b []byte) string {
	const limit = 40
	if len(b) > limit {
		return string(b[:limit]) + "..."
	}
	return string(b)
}
