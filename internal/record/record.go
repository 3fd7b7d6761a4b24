// Package record writes every batch of events that a host passes to its controller, with
// the actions that the controller returned, and replays such a record to a new controller,
// which must return the same actions for the same events. A record serves to analyse an
// incident and to turn a failure seen in production into a test. The gateway writes
// records, and the eiderhold command replays them.
//
// A record is a sequence of files NAME.0000, NAME.0001, ... Each begins with the 8 bytes
// "EHREC001", followed by frames: length (4 bytes, little endian), xxhash64 of the
// body (8 bytes), body. A body is MessagePack: a Header in the first frame of each file, a
// batch in the others. An incomplete frame at the end of the record is ignored.
package record

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"eiderhold/control"
)

const (
	magic            = "EHREC001"
	maxFrameBytes    = 64 << 20 // of a body
	frameHeaderBytes = 12
)

// Header is the body of the first frame of each file.
type Header struct {
	Settings control.Settings
	Seed     int64
	First    uint64 // number of the first batch of this file
}

// Options are the settings of a Writer.
type Options struct {
	Dir       string
	FileBytes int64 // size at which the next file is started
	Files     int   // number of files kept; the oldest is deleted
}

// Writer writes batches. Its methods are called on the host's loop. They write to the disk
// only when 256 KiB are buffered, when a file is full, and at Flush and Close.
type Writer struct {
	options        Options
	header         Header
	file           *os.File
	buf            *bufio.Writer
	size           int64
	nextFileNumber int
	nextBatch      uint64
	body           bytes.Buffer
	enc            *msgpack.Encoder
	fileNames      []string
	err            error // first error; nothing is written after it
}

// NewWriter creates the first file of a record in a folder, which is created if missing.
func NewWriter(opt Options, settings control.Settings, seed int64) (*Writer, error) {
	if err := os.MkdirAll(opt.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	w := &Writer{options: opt, header: Header{Settings: settings, Seed: seed}}
	w.enc = msgpack.NewEncoder(&w.body)
	w.enc.UseArrayEncodedStructs(true)
	if err := w.openNextFile(); err != nil {
		return nil, err
	}
	return w, nil
}

// openNextFile closes the current file, creates the next one and deletes the oldest.
func (w *Writer) openNextFile() error {
	if err := w.closeFile(); err != nil {
		return err
	}
	name := filepath.Join(w.options.Dir, fmt.Sprintf("%s.%04d", time.Now().UTC().Format("batches-20060102T150405.000"), w.nextFileNumber))
	w.nextFileNumber++
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	w.file, w.buf, w.size = f, bufio.NewWriterSize(f, 256<<10), 0
	w.fileNames = append(w.fileNames, name)
	for len(w.fileNames) > w.options.Files {
		_ = os.Remove(w.fileNames[0]) // an operator may have removed it already
		w.fileNames = w.fileNames[1:]
	}
	if _, err := w.buf.WriteString(magic); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	w.header.First = w.nextBatch
	w.body.Reset()
	if err := w.enc.Encode(&w.header); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return w.writeFrame()
}

// writeFrame writes the encoded body as a frame.
func (w *Writer) writeFrame() error {
	var head [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(head[:], uint32(w.body.Len()))
	binary.LittleEndian.PutUint64(head[4:], xxhash.Sum64(w.body.Bytes()))
	if _, err := w.buf.Write(head[:]); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if _, err := w.buf.Write(w.body.Bytes()); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	w.size += int64(frameHeaderBytes + w.body.Len())
	return nil
}

// Batch writes one batch. After an error the record ends but the host goes on; Err returns the error.
func (w *Writer) Batch(now time.Duration, events []control.Event, actions []control.Action) {
	if w.err != nil {
		return
	}
	if w.size >= w.options.FileBytes {
		if w.err = w.openNextFile(); w.err != nil {
			return
		}
	}
	w.body.Reset()
	w.err = w.encode(now, events, actions)
	if w.err == nil {
		w.err = w.writeFrame()
	}
	w.nextBatch++
}

func (w *Writer) encode(now time.Duration, events []control.Event, actions []control.Action) error {
	err := errors.Join(w.enc.EncodeInt(int64(now)), w.enc.EncodeArrayLen(len(events)))
	for _, e := range events {
		k := slices.Index(eventTypes, reflect.TypeOf(e))
		if k < 0 {
			return fmt.Errorf("record: unknown event type %T", e)
		}
		err = errors.Join(err, w.enc.EncodeInt(int64(k)), w.enc.Encode(e))
	}
	err = errors.Join(err, w.enc.EncodeArrayLen(len(actions)))
	for _, a := range actions {
		k := slices.Index(actionTypes, reflect.TypeOf(a))
		if k < 0 {
			return fmt.Errorf("record: unknown action type %T", a)
		}
		err = errors.Join(err, w.enc.EncodeInt(int64(k)), w.enc.Encode(a))
	}
	return err
}

// The index of a type in these lists is its number in a record, so new types are added at the end.
var (
	eventTypes = []reflect.Type{reflect.TypeFor[control.Request](), reflect.TypeFor[control.Outcome](),
		reflect.TypeFor[control.ClientGone](), reflect.TypeFor[control.AnswerStarted](),
		reflect.TypeFor[control.TimerFired](), reflect.TypeFor[control.NodeList](), reflect.TypeFor[control.ProbeResult](),
		reflect.TypeFor[control.Shares]()}
	actionTypes = []reflect.Type{reflect.TypeFor[control.Send](), reflect.TypeFor[control.Refuse](),
		reflect.TypeFor[control.Fail](), reflect.TypeFor[control.Cancel](), reflect.TypeFor[control.SetTimer](),
		reflect.TypeFor[control.Probe](), reflect.TypeFor[control.Subscribe](), reflect.TypeFor[control.FetchList](),
		reflect.TypeFor[control.Log]()}
)

// Flush writes the buffered batches to the file and syncs it.
func (w *Writer) Flush() {
	if w.err == nil && w.file != nil {
		if w.err = w.buf.Flush(); w.err == nil {
			w.err = w.file.Sync()
		}
	}
}

func (w *Writer) closeFile() error {
	if w.file == nil {
		return nil
	}
	err := errors.Join(w.buf.Flush(), w.file.Close())
	w.file = nil
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// Err returns the error that ended the record early, or nil.
func (w *Writer) Err() error { return w.err }

// Close closes the record. It returns an earlier error too.
func (w *Writer) Close() error { return errors.Join(w.err, w.closeFile()) }

// Batch is a recorded batch.
type Batch struct {
	Number  uint64
	Now     time.Duration
	Events  []control.Event
	Actions []control.Action
}

// errNoHeader means that a file has no complete header, as when the writer was killed after it created the file.
var errNoHeader = errors.New("file ends before its header is complete")

// Reader reads one file of a record.
type Reader struct {
	Header    Header
	Truncated bool // the file ends within a frame
	r         *bufio.Reader
	name      string
	nextBatch uint64
	offset    int64
}

// NewReader reads the magic bytes and the header of a file; name is for error texts.
func NewReader(r io.Reader, name string) (*Reader, error) {
	rd := &Reader{r: bufio.NewReaderSize(r, 1<<20), name: name}
	head := make([]byte, len(magic))
	if n, err := io.ReadFull(rd.r, head); err != nil && strings.HasPrefix(magic, string(head[:n])) {
		return nil, fmt.Errorf("record: %s: %w", name, errNoHeader)
	} else if string(head) != magic {
		return nil, fmt.Errorf("record: %s: file begins with %q, expected %q", name, head, magic)
	}
	rd.offset = int64(len(magic))
	body, err := rd.readFrame()
	if errors.Is(err, io.EOF) {
		err = errNoHeader
	}
	if err != nil {
		return nil, fmt.Errorf("record: %s: header: %w", name, err)
	}
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&rd.Header); err != nil {
		return nil, fmt.Errorf("record: %s: header: %w", name, err)
	}
	rd.nextBatch = rd.Header.First
	return rd, nil
}

// readFrame reads one body. It returns io.EOF at the end of the file, also if the last frame is incomplete.
func (r *Reader) readFrame() ([]byte, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		r.Truncated = errors.Is(err, io.ErrUnexpectedEOF)
		return nil, io.EOF
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("byte %d: frame of %d bytes, at most %d allowed", r.offset, n, maxFrameBytes)
	}
	var body bytes.Buffer // grows with the data read, so a wrong length allocates no memory
	if got, err := io.CopyN(&body, r.r, int64(n)); err != nil || got < int64(n) {
		r.Truncated = true
		return nil, io.EOF
	}
	if xxhash.Sum64(body.Bytes()) != binary.LittleEndian.Uint64(head[4:]) {
		return nil, fmt.Errorf("byte %d: frame checksum mismatch", r.offset)
	}
	r.offset += frameHeaderBytes + int64(n)
	return body.Bytes(), nil
}

// Next reads the next batch. It returns io.EOF at the end of the file.
func (r *Reader) Next() (*Batch, error) {
	body, err := r.readFrame()
	if errors.Is(err, io.EOF) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("record: %s: %w", r.name, err)
	}
	b := &Batch{Number: r.nextBatch}
	if err := b.decode(body); err != nil {
		return nil, fmt.Errorf("record: %s: batch %d: %w", r.name, r.nextBatch, err)
	}
	r.nextBatch++
	return b, nil
}

func (b *Batch) decode(body []byte) error {
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	now, err := dec.DecodeInt64()
	if err != nil {
		return err
	}
	b.Now = time.Duration(now)
	events, err := decodeList(dec, len(body), eventTypes)
	for _, v := range events {
		b.Events = append(b.Events, v.(control.Event))
	}
	if err != nil {
		return fmt.Errorf("event %d: %w", len(events), err)
	}
	actions, err := decodeList(dec, len(body), actionTypes)
	for _, v := range actions {
		b.Actions = append(b.Actions, v.(control.Action))
	}
	if err != nil {
		return fmt.Errorf("action %d: %w", len(actions), err)
	}
	return nil
}

func decodeList(dec *msgpack.Decoder, maxLen int, types []reflect.Type) (list []any, err error) {
	n, err := dec.DecodeArrayLen()
	if err != nil || n > maxLen {
		return nil, fmt.Errorf("array of %d entries: %w", n, err)
	}
	for range n {
		k, err := dec.DecodeInt64()
		if err != nil {
			return list, err
		}
		if k < 0 || int(k) >= len(types) {
			return list, fmt.Errorf("type number %d, expected 0 to %d", k, len(types)-1)
		}
		v := reflect.New(types[k])
		if err := dec.Decode(v.Interface()); err != nil {
			return list, err
		}
		list = append(list, v.Elem().Interface())
	}
	return list, nil
}

// Difference describes the first batch for which a replay returned other actions than recorded.
type Difference struct {
	Batch     uint64
	Now       time.Duration
	Want, Got []control.Action
}

// Error names the first action that differs.
func (d *Difference) Error() string {
	i := 0
	for i < min(len(d.Want), len(d.Got)) && reflect.DeepEqual(d.Want[i], d.Got[i]) {
		i++
	}
	describe := func(list []control.Action) string {
		if i < len(list) {
			return fmt.Sprintf("%T%+v", list[i], list[i])
		}
		return "nothing"
	}
	return fmt.Sprintf("batch %d at %v: action %d: recorded %s, replayed %s", d.Batch, d.Now, i, describe(d.Want), describe(d.Got))
}

// Result counts what a replay has compared. Truncated means that the record ends within a frame.
type Result struct {
	Batches, Events, Actions uint64
	Truncated                bool
}

// Replay passes the batches of a record's files, in order, to a new controller. It returns a
// *Difference if the controller returns other actions than recorded. each, if not nil, is
// called with every batch before it is replayed.
func Replay(files []string, each func(*Batch)) (res Result, err error) {
	var ctl *control.Controller
	nextBatch := uint64(0)
	for i, name := range files {
		if err := func() error {
			f, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("record: %w", err)
			}
			defer f.Close()
			r, err := NewReader(f, name)
			if errors.Is(err, errNoHeader) && i > 0 && i == len(files)-1 {
				res.Truncated = true
				return nil
			}
			if err != nil {
				return err
			}
			if r.Header.First != nextBatch {
				return fmt.Errorf("record: %s begins at batch %d, not %d: an earlier file is missing, and a controller that "+
					"has not seen its batches cannot act the same (raise recorder.files)", name, r.Header.First, nextBatch)
			}
			if ctl == nil {
				if ctl, err = control.New(r.Header.Settings, r.Header.Seed); err != nil {
					return fmt.Errorf("record: %s: %w", name, err)
				}
			}
			for {
				b, err := r.Next()
				if errors.Is(err, io.EOF) {
					res.Truncated = res.Truncated || r.Truncated && i == len(files)-1
					if r.Truncated && i < len(files)-1 {
						return fmt.Errorf("record: %s: file ends within a frame, but is not the last file", name)
					}
					nextBatch = r.nextBatch
					return nil
				}
				if err != nil {
					return err
				}
				if each != nil {
					each(b)
				}
				got := ctl.Step(b.Now, b.Events)
				if !sameActions(b.Actions, got) {
					return &Difference{b.Number, b.Now, b.Actions, got}
				}
				res.Batches++
				res.Events += uint64(len(b.Events))
				res.Actions += uint64(len(got))
			}
		}(); err != nil {
			return res, err
		}
	}
	return res, nil
}

func sameActions(a, b []control.Action) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}
