package migrate

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"github.com/vmihailenco/msgpack/v5"

	"eiderhold/mover"
)

// Format of the log: a record is 4 bytes of length, 8 bytes of xxHash64 of the body, both little endian, and the
// body in MessagePack. A record that a crash truncated at the end is dropped: it was not acted on yet.
const (
	logMagic          = "EHMOVES1"
	recordHeaderBytes = 12
	maxRecordBytes    = 16 << 20
)

// logFile is the mover's log on disk.
type logFile struct {
	path string
	f    *os.File
}

// openLog reads a log and rewrites it without an incomplete record at its end, whose size in bytes it returns in torn.
func openLog(path string) (l *logFile, records []mover.Record, droppedBytes int, err error) {
	b, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, 0, fmt.Errorf("migrate: %w", err)
	}
	if err == nil {
		if records, droppedBytes, err = parseLog(b); err != nil {
			return nil, nil, 0, fmt.Errorf("migrate: %s: %w", path, err)
		}
	}
	l = &logFile{path: path}
	return l, records, droppedBytes, l.replace(records)
}

// parseLog parses the content of a log.
func parseLog(b []byte) (records []mover.Record, droppedBytes int, err error) {
	if len(b) < len(logMagic) {
		if bytes.HasPrefix([]byte(logMagic), b) {
			return nil, len(b), nil
		}
	}
	rest, ok := bytes.CutPrefix(b, []byte(logMagic))
	if !ok {
		return nil, 0, errors.New("it is no log of moves: remove it if none are to go on")
	}
	for len(rest) > 0 {
		if len(rest) < recordHeaderBytes {
			return records, len(rest), nil
		}
		n := binary.LittleEndian.Uint32(rest)
		if n > maxRecordBytes || int(n) > len(rest)-recordHeaderBytes {
			return records, len(rest), nil
		}
		body := rest[recordHeaderBytes : recordHeaderBytes+int(n)]
		if xxhash.Sum64(body) != binary.LittleEndian.Uint64(rest[4:]) {
			return records, len(rest), nil
		}
		var r mover.Record
		if err := msgpack.Unmarshal(body, &r); err != nil {
			return nil, 0, fmt.Errorf("record %d: %w", len(records), err)
		}
		records = append(records, r)
		rest = rest[recordHeaderBytes+int(n):]
	}
	return records, 0, nil
}

func appendRecords(into []byte, records []mover.Record) ([]byte, error) {
	for _, r := range records {
		body, err := msgpack.Marshal(&r)
		if err != nil {
			return nil, fmt.Errorf("migrate: %w", err)
		}
		if len(body) > maxRecordBytes {
			return nil, fmt.Errorf("migrate: move %d: record of %d bytes, expected at most %d", r.ID, len(body), maxRecordBytes)
		}
		into = binary.LittleEndian.AppendUint32(into, uint32(len(body)))
		into = binary.LittleEndian.AppendUint64(into, xxhash.Sum64(body))
		into = append(into, body...)
	}
	return into, nil
}

// replace atomically replaces the log by these records.
func (l *logFile) replace(records []mover.Record) error {
	b, err := appendRecords([]byte(logMagic), records)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(l.path, b, 0o644); err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	l.close()
	if l.f, err = os.OpenFile(l.path, os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	return nil
}

// append appends records. They are on disk when it returns without an error.
func (l *logFile) append(records []mover.Record) error {
	if len(records) == 0 {
		return nil
	}
	b, err := appendRecords(nil, records)
	if err == nil {
		_, err = l.f.Write(b)
	}
	if err == nil {
		err = l.f.Sync()
	}
	if err != nil {
		return fmt.Errorf("migrate: %s: %w", l.path, err)
	}
	return nil
}

func (l *logFile) close() {
	if l.f != nil {
		_ = l.f.Close()
	}
}
