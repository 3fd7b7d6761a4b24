package register

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Limits of an event stream.
const (
	maxLineBytes  = 32 << 20 // of a line: a solution of 100,000 volumes is one line
	maxEventBytes = 32 << 20 // of an event's data
)

// Message is one event of a stream, as defined by the HTML Living Standard (WHATWG), section
// "Server-sent events".
type Message struct {
	Event string // "message" if not named
	Data  string
	ID    string // the last event id, which applies until an event sets another one
}

// Stream parses events according to sections 9.2.5 and 9.2.6 of the standard: lines end in
// CR LF, LF or CR; a leading byte order mark is dropped; an event that the end of the stream
// cuts off is dropped.
type Stream struct {
	r       *bufio.Reader
	atStart bool
	skipLF  bool
	lastID  string
	Retry   time.Duration // reconnection time that the server sent; 0: none
	Comment func()        // called for each comment line, which servers send to keep a stream alive; nil: not called
}

// NewStream returns a Stream that reads events from r. lastID is the id of the event before.
func NewStream(r io.Reader, lastID string) *Stream {
	return &Stream{r: bufio.NewReaderSize(r, 32<<10), atStart: true, lastID: lastID}
}

// LastID returns the id to resume after.
func (s *Stream) LastID() string { return s.lastID }

// line reads one line and returns it without its terminator. io.EOF means that the stream
// ended, possibly in the middle of a line.
func (s *Stream) line() ([]byte, error) {
	var line []byte
	for {
		b, err := s.r.ReadByte()
		if err != nil {
			return nil, err
		}
		if s.skipLF {
			s.skipLF = false
			if b == '\n' {
				continue
			}
		}
		if b == '\r' {
			s.skipLF = true
			break
		}
		if b == '\n' {
			break
		}
		if len(line) >= maxLineBytes {
			return nil, fmt.Errorf("register: event stream: a line of over %d bytes", maxLineBytes)
		}
		line = append(line, b)
	}
	if s.atStart {
		s.atStart = false
		line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
	}
	return line, nil
}

// Next returns the next event that has data.
func (s *Stream) Next() (Message, error) {
	m := Message{Event: "message"}
	var data strings.Builder
	hasData := false
	id := s.lastID
	for {
		line, err := s.line()
		if err != nil {
			return Message{}, err
		}
		if len(line) == 0 {
			s.lastID = id
			if !hasData {
				m.Event = "message"
				continue
			}
			m.Data, m.ID = strings.TrimSuffix(data.String(), "\n"), id
			return m, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "":
			if s.Comment != nil {
				s.Comment()
			}
		case "event":
			m.Event = string(value)
		case "data":
			if data.Len()+len(value) > maxEventBytes {
				return Message{}, fmt.Errorf("register: event stream: an event of over %d bytes", maxEventBytes)
			}
			data.Write(value)
			data.WriteByte('\n')
			hasData = true
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				id = string(value)
			}
		case "retry":
			if ms, err := strconv.ParseUint(string(value), 10, 31); err == nil {
				s.Retry = time.Duration(ms) * time.Millisecond
			}
		}
	}
}

// errSilence is the cause of a stream that ends because no data came.
var errSilence = errors.New("no data within the silence timeout")
