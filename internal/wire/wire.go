// Package wire reads and writes the line protocol of the simulator. It translates between protocol lines and
// the events and actions of package control, and makes no decisions. Command wirehost uses it to run controllers,
// and package live uses it to read settings in the protocol's format.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"eiderhold/control"
)

// Message is one decoded line from the simulator. Only the fields of its kind are set.
type Message struct {
	Kind     Kind
	Instance string
	Event    control.Event // KindEvent
	Seed     int64         // KindStart
	Settings []byte        // KindStart: the settings as JSON
	Clock    time.Duration // KindBatch
	Batch    string        // KindBatch: the batch number, as received
	Name     string        // KindUnknown: the message name
}

// Kind is the type of a message.
type Kind int

// Message kinds.
const (
	KindBatch   Kind = iota // start of a batch
	KindEnd                 // end of a batch
	KindStart               // an instance starts
	KindStop                // an instance was killed
	KindEvent               // an event for an instance
	KindIgnored             // a known message that carries no event for the controller
	KindUnknown             // a message with an unknown name
)

// LineError reports a malformed line of a known message.
type LineError struct {
	Line int
	Text string
	Err  error
}

func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %v: %q", e.Line, e.Err, e.Text)
}

func (e *LineError) Unwrap() error { return e.Err }

// Reader decodes messages. It keeps the numbered node lists, which are shared by all instances of the stream;
// a line refers to the latest list read before it under that number.
type Reader struct {
	in        *bufio.Reader
	line      int
	nodeLists map[int][]control.Node
}

// NewReader returns a Reader that decodes messages from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16), nodeLists: map[int][]control.Node{}}
}

// Next returns the next message, or io.EOF at the end of the input.
func (r *Reader) Next() (Message, error) {
	for {
		text, err := r.readLine()
		if err != nil {
			return Message{}, err
		}
		if text == "" {
			continue
		}
		m, err := r.decode(text)
		if err != nil {
			var lineError *LineError
			if errors.As(err, &lineError) || errors.Is(err, io.EOF) {
				return m, err
			}
			return m, &LineError{r.line, truncate(text), err}
		}
		return m, nil
	}
}

// truncate shortens a line for an error message.
func truncate(text string) string {
	const maxLength = 200
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() (string, error) {
	text, err := r.in.ReadString('\n')
	if err != nil && (text == "" || err != io.EOF) {
		return "", err
	}
	r.line++
	return strings.TrimRight(text, "\r\n"), nil
}

// decode parses one line. For a node list it also reads the lines of its entries.
func (r *Reader) decode(text string) (Message, error) {
	name, rest, _ := strings.Cut(text, " ")
	f := &fields{rest: rest, more: rest != ""}
	m := Message{Kind: KindEvent}
	switch name {
	case "MARK":
		m.Kind, m.Clock, m.Batch = KindBatch, f.milliseconds(), f.word()
	case "END":
		m.Kind = KindEnd
	case "HELLO":
		m.Kind, m.Instance, m.Seed = KindStart, f.word(), f.integer()
		m.Settings = []byte(f.rest)
		if !f.more || !json.Valid(m.Settings) {
			f.fail(errors.New("setup is not JSON"))
		}
	case "POOL":
		m.Kind = KindIgnored
		return m, r.readNodeList(f)
	case "EXIT":
		m.Kind, m.Instance = KindStop, f.word()
	case "HEARD":
		m.Kind, m.Instance = KindIgnored, f.word()
	case "TARGETS":
		m.Instance = f.word()
		number := int(f.integer())
		m.Event = r.nodeListEvent(f, number)
	case "DEMAND":
		m.Instance, m.Event = f.word(), requestEvent(f)
	case "REPORT_BACK":
		m.Instance, m.Event = f.word(), outcomeEvent(f)
	case "TIMED_OUT_CLIENT":
		m.Instance, m.Event = f.word(), control.ClientGone{ID: f.word()}
	case "ELAPSED":
		m.Instance, m.Event = f.word(), control.TimerFired{Token: f.integer()}
	case "ESTABLISHED":
		m.Instance, m.Event = f.word(), control.AnswerStarted{ID: f.word(), Attempt: int(f.integer())}
	case "PROBED":
		m.Instance = f.word()
		m.Event = control.ProbeResult{Node: f.word(), Result: f.result(), Elapsed: f.milliseconds(), Load: f.numbers()}
	default:
		return Message{Kind: KindUnknown, Name: name}, nil
	}
	return m, f.err
}

// readNodeList reads a numbered node list. It replaces an earlier list of the same number.
func (r *Reader) readNodeList(f *fields) error {
	number, entries := int(f.integer()), int(f.integer())
	if f.err != nil {
		return f.err
	}
	if entries < 0 {
		return errors.New("negative number of entries")
	}
	var list []control.Node
	for range entries {
		text, err := r.readLine()
		if err != nil {
			return &LineError{r.line + 1, "", fmt.Errorf("list of %d entries ends early", entries)}
		}
		rest, ok := strings.CutPrefix(text, "NODE ")
		entry := &fields{rest: rest, more: ok}
		node := control.Node{ID: entry.word(), Zone: entry.word()}
		entry.word() // the machine type, which is not used
		node.Shard, node.State = int(entry.integer()), entry.nodeState()
		node.Size, node.StartedAt = entry.number(), entry.milliseconds()
		if !ok {
			entry.fail(errors.New("not an entry of the list"))
		}
		if entry.err != nil {
			return &LineError{r.line, truncate(text), entry.err}
		}
		list = append(list, node)
	}
	r.nodeLists[number] = list
	return nil
}

var listKinds = map[string]control.ListKind{
	"delta": control.ListDelta, "full": control.ListFull,
	"cached": control.ListCached, "failed": control.ListFailed,
}

// nodeListEvent parses a TARGETS line, which refers to a list by number.
func (r *Reader) nodeListEvent(f *fields, number int) control.NodeList {
	kind := lookup(f, "kind of list", listKinds)
	if kind == control.ListFailed {
		return control.NodeList{Kind: kind}
	}
	list, ok := r.nodeLists[number]
	if !ok {
		f.fail(fmt.Errorf("no list numbered %d", number))
	}
	return control.NodeList{Kind: kind, Nodes: list}
}

// requestEvent parses a DEMAND line. Bit 1 of its last field marks a client's retry.
func requestEvent(f *fields) control.Request {
	request := control.Request{ID: f.word(), Shard: int(f.number()), Hosts: int(f.number()), Plan: f.optionalWord(),
		Units: f.number(), Item: f.optionalWord(), Volume: f.optionalWord(), Class: f.optionalWord(), Expires: f.milliseconds()}
	request.Retry = f.integer()&2 != 0
	if request.ID == "" || request.ID == "-" {
		f.fail(errors.New("no request id"))
	}
	return request
}

// outcomeEvent parses a REPORT_BACK line.
func outcomeEvent(f *fields) control.Outcome {
	return control.Outcome{ID: f.word(), Attempt: int(f.integer()), Node: f.word(), Result: f.result(),
		Elapsed: f.milliseconds(), Closed: f.integer() == 1, VolumeUse: int(f.integer()), OthersGot: f.number(), Load: f.numbers()}
}

// fields parses the space-separated values of a line one by one and keeps the first error.
type fields struct {
	rest string
	more bool // another value follows, possibly an empty one
	err  error
}

// fail records err unless an earlier error is recorded.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// word returns the next value, which must be present.
func (f *fields) word() string {
	if !f.more {
		f.fail(errors.New("a value is missing"))
		return ""
	}
	var w string
	w, f.rest, f.more = strings.Cut(f.rest, " ")
	return w
}

// optionalWord returns the next value, or "" if it is "-" (absent).
func (f *fields) optionalWord() string {
	if w := f.word(); w != "-" {
		return w
	}
	return ""
}

// integer returns the next value as an integer, or 0 if it is absent.
func (f *fields) integer() int64 {
	w := f.optionalWord()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not a whole number", w))
	}
	return n
}

// number returns the next value as a finite number, or 0 if it is absent.
func (f *fields) number() float64 {
	w := f.optionalWord()
	if w == "" {
		return 0
	}
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(fmt.Errorf("%q is not a number", w))
		return 0
	}
	return x
}

// milliseconds returns the next value, a number of milliseconds, as a duration.
func (f *fields) milliseconds() time.Duration { return duration(f.number()) }

// duration converts milliseconds to a duration, rounded to microseconds, the resolution of the protocol.
func duration(ms float64) time.Duration {
	const maxMilliseconds = 1e12 // about 30 years; larger magnitudes are clamped, so that conversions cannot overflow
	return time.Duration(math.Round(max(-maxMilliseconds, min(maxMilliseconds, ms))*1000)) * time.Microsecond
}

// numbers returns the next value as a comma-separated list of numbers, NaN for one that is absent.
func (f *fields) numbers() []float64 {
	w := f.optionalWord()
	if w == "" {
		return nil
	}
	var list []float64
	for part := range strings.SplitSeq(w, ",") {
		if part == "-" || part == "" {
			list = append(list, math.NaN())
			continue
		}
		x, err := strconv.ParseFloat(part, 64)
		if err != nil {
			f.fail(fmt.Errorf("%q is not a number", part))
		}
		list = append(list, x)
	}
	return list
}

var results = map[string]control.Result{
	"done": control.Done, "err": control.Error, "busy": control.Busy,
	"etimedout": control.TimedOut, "econnrefused": control.Unreachable,
	"econnreset": control.Reset, "ecanceled": control.Cancelled, "skipped": control.NotSent,
}

func (f *fields) result() control.Result { return lookup(f, "outcome", results) }

var states = map[string]control.NodeState{
	"ready": control.Ready, "draining": control.Draining, "gone": control.Gone,
}

func (f *fields) nodeState() control.NodeState { return lookup(f, "state", states) }

// lookup returns the entry of table for the next value, which must be one of its keys.
func lookup[T any](f *fields, what string, table map[string]T) T {
	w := f.word()
	x, ok := table[w]
	if !ok {
		f.fail(fmt.Errorf("unknown %s %q", what, w))
	}
	return x
}

// AppendAction appends the line for an action of an instance.
func AppendAction(b []byte, instance string, a control.Action) []byte {
	put := func(parts ...string) {
		for i, p := range parts {
			if i > 0 {
				b = append(b, ' ')
			}
			b = append(b, p...)
		}
		b = append(b, '\n')
	}
	switch a := a.(type) {
	case control.Send:
		put("ATTEMPT", instance, a.ID, a.Node, formatMilliseconds(a.Within))
	case control.Refuse:
		put("SAY_NO", instance, a.ID, formatMilliseconds(a.RetryAfter))
	case control.Fail:
		put("SURRENDER", instance, a.ID)
	case control.Cancel:
		put("RECALL", instance, a.ID, strconv.Itoa(a.Attempt))
	case control.SetTimer:
		put("TIMER", instance, formatMilliseconds(a.At), strconv.FormatInt(a.Token, 10))
	case control.Probe:
		put("TEST", instance, a.Node)
	case control.Subscribe:
		put("FOLLOW", instance, "1")
	case control.FetchList:
		put("RELOAD", instance)
	case control.Log:
		put("RECORD", instance, oneLine(a.Text))
	default:
		panic(fmt.Sprintf("wire: no line for action %T", a))
	}
	return b
}

// AppendInternalError appends the line that reports a failure of an instance's controller.
func AppendInternalError(b []byte, instance, text string) []byte {
	return append(b, "INTERNAL_ERROR "+instance+" "+oneLine(text)+"\n"...)
}

// AppendReady appends the line that ends the reply to a batch.
func AppendReady(b []byte, batch string) []byte {
	return append(b, "READY "+batch+"\n"...)
}

// oneLine replaces each run of white space with one space, so that text fits on a protocol line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// formatMilliseconds formats a duration in milliseconds, rounded to microseconds.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Round(time.Microsecond))/float64(time.Millisecond), 'f', -1, 64)
}
