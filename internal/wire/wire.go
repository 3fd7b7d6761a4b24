// Package wire reads and writes the bench's line protocol. It translates
// between lines and the types of package control and knows no policy.
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

// Message is one line from the bench, decoded. Exactly the fields of its kind
// are set.
type Message struct {
	Kind     Kind
	Instance string
	Event    control.Event // KindEvent
	Seed     int64         // KindStart
	Setup    []byte        // KindStart: the settings as JSON
	Clock    time.Duration // KindBatch
	Batch    string        // KindBatch: the batch's number, as it was written
	Name     string        // KindUnknown: the message's name
}

// Kind tells messages apart.
type Kind int

// The kinds of message.
const (
	KindBatch   Kind = iota // a batch begins
	KindEnd                 // a batch ends
	KindStart               // an instance comes up
	KindStop                // an instance was killed
	KindEvent               // an event for an instance
	KindIgnored             // a known message with nothing for the controller
	KindUnknown             // a message of unknown name
)

// LineError is a malformed line of a known message.
type LineError struct {
	Line int
	Text string
	Err  error
}

func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %v: %q", e.Line, e.Err, e.Text)
}

func (e *LineError) Unwrap() error { return e.Err }

// Reader decodes messages. It keeps the numbered node lists, which belong to
// the whole stream and are resolved in the order of the lines.
type Reader struct {
	in    *bufio.Reader
	line  int
	banks map[int][]control.Node
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16), banks: map[int][]control.Node{}}
}

// Next returns the next message, or io.EOF at the end of the input.
func (r *Reader) Next() (Message, error) {
	for {
		text, err := r.text()
		if err != nil {
			return Message{}, err
		}
		if text == "" {
			continue
		}
		m, err := r.decode(text)
		if err != nil {
			var located *LineError
			if errors.As(err, &located) || errors.Is(err, io.EOF) {
				return m, err
			}
			return m, &LineError{r.line, clip(text), err}
		}
		return m, nil
	}
}

func clip(text string) string {
	const most = 200
	if len(text) > most {
		return text[:most] + "..."
	}
	return text
}

func (r *Reader) text() (string, error) {
	text, err := r.in.ReadString('\n')
	if err != nil && (text == "" || err != io.EOF) {
		return "", err
	}
	r.line++
	return strings.TrimRight(text, "\r\n"), nil
}

func (r *Reader) decode(text string) (Message, error) {
	name, rest, _ := strings.Cut(text, " ")
	f := &fields{rest: rest, more: rest != ""}
	m := Message{Kind: KindEvent}
	switch name {
	case "MARK":
		m.Kind, m.Clock, m.Batch = KindBatch, f.ms(), f.word()
	case "END":
		m.Kind = KindEnd
	case "HELLO":
		m.Kind, m.Instance, m.Seed = KindStart, f.word(), f.whole()
		m.Setup = []byte(f.rest)
		if !f.more || !json.Valid(m.Setup) {
			f.fail(errors.New("setup is not JSON"))
		}
	case "POOL":
		m.Kind = KindIgnored
		return m, r.pool(f)
	case "EXIT":
		m.Kind, m.Instance = KindStop, f.word()
	case "HEARD":
		m.Kind, m.Instance = KindIgnored, f.word()
	case "TARGETS":
		m.Instance = f.word()
		bank := int(f.whole())
		m.Event = r.targets(f, bank)
	case "DEMAND":
		m.Instance, m.Event = f.word(), demand(f)
	case "REPORT_BACK":
		m.Instance, m.Event = f.word(), report(f)
	case "TIMED_OUT_CLIENT":
		m.Instance, m.Event = f.word(), control.ClientGone{ID: f.word()}
	case "ELAPSED":
		m.Instance, m.Event = f.word(), control.TimerFired{Token: f.whole()}
	case "ESTABLISHED":
		m.Instance, m.Event = f.word(), control.AnswerStarted{ID: f.word(), Attempt: int(f.whole())}
	case "PROBED":
		m.Instance = f.word()
		m.Event = control.ProbeResult{Node: f.word(), Result: f.result(), Elapsed: f.ms(), Load: f.row()}
	default:
		return Message{Kind: KindUnknown, Name: name}, nil
	}
	return m, f.err
}

// pool reads a numbered list. A newer one takes over its number.
func (r *Reader) pool(f *fields) error {
	bank, records := int(f.whole()), int(f.whole())
	if f.err != nil {
		return f.err
	}
	if records < 0 {
		return errors.New("negative number of entries")
	}
	var list []control.Node
	for range records {
		text, err := r.text()
		if err != nil {
			return &LineError{r.line + 1, "", fmt.Errorf("list of %d entries ends early", records)}
		}
		rest, ok := strings.CutPrefix(text, "NODE ")
		e := &fields{rest: rest, more: ok}
		n := control.Node{ID: e.word(), Zone: e.word()}
		e.word() // the kind of machine
		n.Shard, n.State = int(e.whole()), e.state()
		n.Size, n.StartedAt = e.number(), e.ms()
		if !ok {
			e.fail(errors.New("not an entry of the list"))
		}
		if e.err != nil {
			return &LineError{r.line, clip(text), e.err}
		}
		list = append(list, n)
	}
	r.banks[bank] = list
	return nil
}

var listKinds = map[string]control.ListKind{
	"delta": control.ListDelta, "full": control.ListFull,
	"cached": control.ListCached, "failed": control.ListFailed,
}

func (r *Reader) targets(f *fields, bank int) control.NodeList {
	kind := lookup(f, "kind of list", listKinds)
	if kind == control.ListFailed {
		return control.NodeList{Kind: kind}
	}
	list, ok := r.banks[bank]
	if !ok {
		f.fail(fmt.Errorf("no list numbered %d", bank))
	}
	return control.NodeList{Kind: kind, Nodes: list}
}

func demand(f *fields) control.Request {
	q := control.Request{ID: f.word(), Shard: int(f.number()), Hosts: int(f.number()), Plan: f.text(),
		Units: f.number(), Item: f.text(), Volume: f.text(), Class: f.text(), Expires: f.ms()}
	q.Retry = f.whole()&2 != 0
	if q.ID == "" || q.ID == "-" {
		f.fail(errors.New("no request id"))
	}
	return q
}

func report(f *fields) control.Outcome {
	return control.Outcome{ID: f.word(), Attempt: int(f.whole()), Node: f.word(), Result: f.result(),
		Elapsed: f.ms(), Closed: f.whole() == 1, VolumeUse: int(f.whole()), OthersGot: f.number(), Load: f.row()}
}

// fields takes the values of a line one by one; the first error stays.
type fields struct {
	rest string
	more bool
	err  error
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) word() string {
	if !f.more {
		f.fail(errors.New("a value is missing"))
		return ""
	}
	var w string
	w, f.rest, f.more = strings.Cut(f.rest, " ")
	return w
}

// text is a word that may be absent.
func (f *fields) text() string {
	if w := f.word(); w != "-" {
		return w
	}
	return ""
}

func (f *fields) whole() int64 {
	w := f.text()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not a whole number", w))
	}
	return n
}

func (f *fields) number() float64 {
	w := f.text()
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

func (f *fields) ms() time.Duration { return duration(f.number()) }

// duration rounds milliseconds to the bench's microseconds.
func duration(ms float64) time.Duration {
	const most = 1e12 // some 30 years: what is more, or less than none, is as good as it
	return time.Duration(math.Round(max(-most, min(most, ms))*1000)) * time.Microsecond
}

func (f *fields) row() []float64 {
	w := f.text()
	if w == "" {
		return nil
	}
	var row []float64
	for part := range strings.SplitSeq(w, ",") {
		if part == "-" || part == "" {
			row = append(row, math.NaN())
			continue
		}
		x, err := strconv.ParseFloat(part, 64)
		if err != nil {
			f.fail(fmt.Errorf("%q is not a number", part))
		}
		row = append(row, x)
	}
	return row
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

func (f *fields) state() control.NodeState { return lookup(f, "state", states) }

// lookup takes a word that must stand in a table.
func lookup[T any](f *fields, what string, table map[string]T) T {
	w := f.word()
	x, ok := table[w]
	if !ok {
		f.fail(fmt.Errorf("unknown %s %q", what, w))
	}
	return x
}

// AppendAction appends the line of an action of an instance.
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
		put("ATTEMPT", instance, a.ID, a.Node, millis(a.Within))
	case control.Refuse:
		put("SAY_NO", instance, a.ID, millis(a.RetryAfter))
	case control.Fail:
		put("SURRENDER", instance, a.ID)
	case control.Cancel:
		put("RECALL", instance, a.ID, strconv.Itoa(a.Attempt))
	case control.SetTimer:
		put("TIMER", instance, millis(a.At), strconv.FormatInt(a.Token, 10))
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

// AppendFault appends the line that reports failed decision code.
func AppendFault(b []byte, instance, text string) []byte {
	return append(b, "INTERNAL_ERROR "+instance+" "+oneLine(text)+"\n"...)
}

// AppendReady appends the line that ends the reply to a batch.
func AppendReady(b []byte, batch string) []byte {
	return append(b, "READY "+batch+"\n"...)
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Round(time.Microsecond))/float64(time.Millisecond), 'f', -1, 64)
}
