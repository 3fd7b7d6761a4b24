// Package audit checks the seven service rules against the traffic that the stand-in nodes, the
// stand-in register and the scripted clients recorded, and reports service as worth answered within
// the aim over worth due. It reads no state or records of the gateways themselves. Package rehearsal,
// the audit command and the gateway's tests use it.
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

// Kind is the kind of a record.
type Kind string

// The kinds of record. Each comment begins with the process that writes it.
const (
	Arrive        Kind = "arrive" // node: read a request frame
	End           Kind = "end"    // node: wrote the answer, or would have written it to a connection that still existed
	Effect        Kind = "effect" // node: a write took effect
	Repeat        Kind = "repeat" // node: dropped a write whose key had taken effect
	Collapse      Kind = "fell"   // node: overloaded while cold and went down
	NodeSent      Kind = "told"   // register: sent a node's entry to a gateway
	TransferStart Kind = "ask"    // client: a transfer, or a file of one, began
	TransferEnd   Kind = "final"  // client: the transfer or file ended
	Start         Kind = "start"  // client or rehearsal: started a gateway's process
	Kill          Kind = "kill"   // client or rehearsal: killed a gateway's process or sent it SIGTERM
	Stalled       Kind = "stood"  // rehearsal: a gateway's process was stopped for the time Took
)

// Record is one line of a records file. T is in nanoseconds since the Unix epoch, by the machine's clock.
type Record struct {
	T       int64   `json:"t"`
	Kind    Kind    `json:"what"`
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
	Left    int64   `json:"left,omitempty"`   // ns until the client's deadline, as the request said
	Result  string  `json:"result,omitempty"` // end: done, error, busy, ...; final: served, refused, failed
	State   string  `json:"state,omitempty"`  // told: ready, draining, gone
	Started int64   `json:"started,omitempty"`
	Took    int64   `json:"took,omitempty"`  // ns
	ID      string  `json:"id,omitempty"`    // of a client's transfer or file
	Limit   int64   `json:"limit,omitempty"` // ns that the client waits
	Aim     int64   `json:"aim,omitempty"`   // ns within which an answer earns the full worth
	Text    string  `json:"text,omitempty"`
}

// Writer writes records to a file through a buffer. It is safe for concurrent use. A nil Writer
// discards records.
type Writer struct {
	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
	enc  *json.Encoder
}

// Create creates the file NAME.records in a folder and returns a Writer for it.
func Create(dir, name string) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, name+recordsSuffix))
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	w := &Writer{file: f, buf: bufio.NewWriterSize(f, 64<<10)}
	w.enc = json.NewEncoder(w.buf)
	return w, nil
}

const recordsSuffix = ".records"

// Put writes one record. A record without a time gets the current time.
func (w *Writer) Put(r Record) {
	if w == nil {
		return
	}
	if r.T == 0 {
		r.T = time.Now().UnixNano()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.enc.Encode(r) // Close reports a write error, such as a full disk
}

// Close flushes the buffer and closes the file.
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

// Read reads the records of one stream. Errors carry the stream's name and the line.
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

// ReadDir reads all records files of a folder.
func ReadDir(dir string) ([]Record, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("audit: %w", err)
	}
	var all []Record
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), recordsSuffix) {
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
		return nil, fmt.Errorf("audit: %s: no records in its *%s files", dir, recordsSuffix)
	}
	return all, nil
}
