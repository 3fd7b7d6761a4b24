package mapfile

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/google/renameio/v2"

	"eiderhold/extentmap"
)

// Save writes a view to a file and replaces the file atomically: after a crash the previous file is still there.
func Save(path string, v *extentmap.View) (Header, error) {
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return Header{}, fmt.Errorf("mapfile: %w", err)
	}
	defer func() { _ = f.Cleanup() }() // no effect after the replacement
	w := &bufferedSeeker{bufio.NewWriterSize(f, 1<<20), f}
	h, err := Write(w, v)
	if err == nil {
		err = w.Flush()
	}
	if err == nil {
		err = f.CloseAtomicallyReplace()
	}
	if err != nil {
		return h, fmt.Errorf("mapfile: %s: %w", path, err)
	}
	return h, nil
}

// bufferedSeeker is a buffered writer that supports seeking.
type bufferedSeeker struct {
	*bufio.Writer
	file io.Seeker
}

func (s *bufferedSeeker) Seek(offset int64, whence int) (int64, error) {
	if err := s.Flush(); err != nil {
		return 0, err
	}
	return s.file.Seek(offset, whence)
}

// Load reads a file into a map as a snapshot of the file's term and version. It returns the blocks that could not
// be read, whose extents are unknown. If taken is false, the map is newer than the file and was not changed.
func Load(path string, m *extentmap.Map) (h Header, damaged []Damage, taken bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return h, nil, false, fmt.Errorf("mapfile: %w", err)
	}
	defer func() { _ = f.Close() }()
	r, err := NewReader(bufio.NewReaderSize(f, 1<<20))
	if err != nil {
		return h, nil, false, fmt.Errorf("%s: %w", path, err)
	}
	taken, err = m.Snapshot(r.Term, r.Version, r.Next)
	if err != nil {
		return r.Header, r.Damaged, false, fmt.Errorf("%s: %w", path, err)
	}
	return r.Header, r.Damaged, taken, nil
}
