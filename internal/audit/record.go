// Package audit checks the seven rules from what went over the sockets, as the
// stand-in nodes, the register and the scripted clients wrote it down, and reports
// service as worth answered within the aim over worth due. It reads none of the
// product's own books.
package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// What is a kind of record.
type What string

// The kinds of record, by who writes them.
const (
	Arrive What = "arrive" // node: a request frame was read
	End    What = "end"    // node: its answer was written, or would have been
	Effect What = "effect" // node: a keyed or unsafe request took effect
	Repeat What = "repeat" // node: the repeat of a key was dropped
	Fell   What = "fell"   // node: it fell over while cold
	Told   What = "told"   // register: a gateway was told of a node
	Ask    What = "ask"    // client: a transfer, or a file of one, begins
	Final  What = "final"  // client: it ended
	Start  What = "start"  // client or rehearsal: a gateway's process started
	Kill   What = "kill"   // client or rehearsal: a gateway's process was killed or told to end
	Stood  What = "stood"  // rehearsal: a gateway's process stood still, for the time that it took
)

// Record is one line. Times are nanoseconds of the machine's wall clock.
type Record struct {
	T       int64   `json:"t"`
	What    What    `json:"what"`
	Node    string  `json:"node,omitempty"`
	Shard   int     `json:"shard,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	Gateway string  `json:"gateway,omitempty"`
	Conn    uint64  `json:"conn,omitempty"`
	Ref     uint64  `json:"ref,omitempty"`
	Attempt int     `json:"attempt,omitempty"`
	Class   string  `json:"class,omitempty"`
	Plan    string  `json:"plan,omitempty"`
	Volume  string  `json:"volume,omitempty"`
	Item    string  `json:"item,omitempty"`
	Key     string  `json:"key,omitempty"`
	Units   float64 `json:"units,omitempty"`
	Left    int64   `json:"left,omitempty"`   // ns the client has left, as told
	Result  string  `json:"result,omitempty"` // end: done, error, busy, ...; final: served, refused, failed
	State   string  `json:"state,omitempty"`  // told: ready, draining, gone
	Started int64   `json:"started,omitempty"`
	Took    int64   `json:"took,omitempty"`  // ns
	ID      string  `json:"id,omitempty"`    // of a client's transfer or file
	Limit   int64   `json:"limit,omitempty"` // ns that the client waits
	Aim     int64   `json:"aim,omitempty"`   // ns within which it earns the full worth
	Text    string  `json:"text,omitempty"`
}

// Writer writes records to a file, buffered, from any goroutine. A nil Writer
// drops them.
type Writer struct {
	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
	enc  *json.Encoder
}

// Create opens NAME.records in a folder.
func Create(dir, name string) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, name+suffix))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	w := &Writer{file: f, buf: bufio.NewWriterSize(f, 64<<10)}
	w.enc = json.NewEncoder(w.buf)
	return w, nil
}

const suffix = ".records"

// Put writes one record. A record without a time gets the present.
func (w *Writer) Put(r Record) {
	if w == nil {
		return
	}
	if r.T == 0 {
		r.T = time.Now().UnixNano()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.enc.Encode(r) // a full disk shows at Close
}

// Close writes out what is buffered.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.buf.Flush()
	if cerr := w.file.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	return nil
}

// Read reads one stream of records.
func Read(r io.Reader, name string) ([]Record, error) {
	var all []Record
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for line := 1; s.Scan(); line++ {
		var rec Record
		if err := json.Unmarshal(s.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("audit: %s:%d: %w", name, line, err)
		}
		all = append(all, rec)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("audit: %s: %w", name, err)
	}
	return all, nil
}

// ReadDir reads all records of a folder.
func ReadDir(dir string) ([]Record, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	var all []Record
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), suffix) {
			continue
		}
		f, err := os.Open(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("audit: %w", err)
		}
		recs, err := Read(f, e.Name())
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, recs...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("audit: %s: no records (*%s) there", dir, suffix)
	}
	return all, nil
}
