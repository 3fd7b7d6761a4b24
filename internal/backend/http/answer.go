package http

import (
	"bytes"
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
	interimMost = 8        // 1xx answers in front of one
	bodyUsual   = 64 << 10 // bytes of a body
)

// answer reads one answer. What is over a bound of http1 is an error. One without a length, and not in chunks,
// ends where the connection does (RFC 9112, 6.3, rule 8): whether it is whole its end says.
type answer struct {
	in      []byte // of the head, then the body
	looked  int
	interim int
	headed  bool
	head    http1.Response // its fields are copied out as the head is read
	notRun  bool
	use     string
	load    string
	chunks  *http1.Chunks
	toEnd   bool // it lasts until the connection's end
	body    []byte
	behind  int // bytes that came behind it
}

// holds is how many bytes are held of it.
func (a *answer) holds() int { return len(a.in) + len(a.body) }

// feed takes bytes; done says that the answer is whole.
func (a *answer) feed(p []byte) (done bool, err error) {
	if !a.headed {
		a.in = append(a.in, p...)
		for {
			h, n, err := http1.ParseResponse(a.in, a.looked)
			if err == http1.ErrShort {
				a.looked = len(a.in)
				return false, nil
			}
			if err != nil {
				return false, err
			}
			a.looked = 0
			if h.Status == 101 {
				return false, fmt.Errorf("status 101: no other protocol was asked for")
			}
			if h.Status < 200 {
				if a.interim++; a.interim > interimMost {
					return false, fmt.Errorf("over %d answers of 1xx in front", interimMost)
				}
				a.in = a.in[:copy(a.in, a.in[n:])]
				continue
			}
			if err := a.take(h); err != nil {
				return false, err
			}
			p, a.in = a.in[n:], nil
			break
		}
	}
	switch {
	case a.chunks != nil:
		out, rest, done, err := a.chunks.Feed(a.body, p)
		a.body = out
		if done {
			a.behind = len(rest)
		}
		return done, err
	case a.toEnd:
		if len(a.body)+len(p) > http1.MaxBody {
			return false, fmt.Errorf("a body of over %d bytes", http1.MaxBody)
		}
		a.body = append(a.body, p...)
		return false, nil
	default:
		want := int(a.head.Body.Length) - len(a.body)
		if len(p) >= want {
			a.body = append(a.body, p[:want]...)
			a.behind = len(p) - want
			return true, nil
		}
		a.body = append(a.body, p...)
		return false, nil
	}
}

// take checks a head and copies what counts.
func (a *answer) take(h http1.Response) error {
	v, times := h.Header.Get("Not-Started")
	a.notRun = times == 1 && string(v) == "1"
	a.use, a.load = h.Header.Text("X-Meter"), h.Header.Text("Server-Load")
	a.headed, a.head = true, h
	a.head.Header = nil
	switch {
	case h.Body.Chunked:
		a.chunks = &http1.Chunks{Max: http1.MaxBody}
	case h.Body.Length < 0:
		a.toEnd = true
	case h.Body.Length > http1.MaxBody:
		return fmt.Errorf("a body of %d bytes: expected %d at most", h.Body.Length, http1.MaxBody)
	default:
		a.body = make([]byte, 0, min(h.Body.Length, bodyUsual)) // what is said to come is not held yet
	}
	return nil
}

// outcome reads a whole answer as the protocol's table has it.
func (a *answer) outcome(fields []string) host.Outcome {
	o := host.Outcome{Result: outcome.OfAnswer(a.head.Status, a.notRun), VolumeUse: meter(a.use), Load: report(a.load, fields)}
	if o.Result == control.Done {
		o.Data = buffer.Get(len(a.body))
		copy(o.Data.B, a.body)
	} else {
		o.Text = "status " + strconv.Itoa(a.head.Status)
	}
	return o
}

// meter reads a volume's use, percent, as 1 + percent; 0 if there is none that can be read.
func meter(s string) int {
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0
	}
	return int(n) + 1
}

// report reads a load report in the order of the settings' fields; nil unless each is there once, as a
// number.
func report(s string, fields []string) []float64 {
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
