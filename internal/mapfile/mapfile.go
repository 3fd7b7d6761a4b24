// Package mapfile reads and writes snapshots of the extent map: what the authority hands out, and the cache
// that a gateway starts from. It is bytes to values and back; extentmap decides what they mean. The layout is
// in docs/format/mapfile.md.
//
// A file is a header and blocks of one size, each with a checksum and complete in itself, so that what is torn
// or old costs its own block only: the extents of a block that cannot be read are unknown, and asked for
// when they are wanted.
package mapfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"eiderhold/extentmap"
)

// The layout's numbers.
const (
	Magic       = "EHXTMAP\n"
	Format      = 1
	HeaderBytes = 64
	BlockBytes  = 64 << 10
	blockHead   = 24
	MostName    = 1024 // bytes of a volume's name
	MostBlocks  = 1 << 20
)

// Header is the first 64 bytes.
type Header struct {
	Term    uint64 `json:"term"`    // of the authority
	Version uint64 `json:"version"` // all changes up to it are in
	Runs    uint64 `json:"runs"`
	Extents uint64 `json:"extents"` // that have a home
	Blocks  uint32 `json:"blocks"`
}

// What may be wrong with a file as a whole.
var (
	ErrMagic  = errors.New("mapfile: not a snapshot of an extent map")
	ErrHeader = errors.New("mapfile: the header is damaged")
)

func (h *Header) marshal() []byte {
	b := make([]byte, 0, HeaderBytes)
	b = append(b, Magic...)
	b = binary.LittleEndian.AppendUint32(b, Format)
	b = binary.LittleEndian.AppendUint32(b, h.Blocks)
	b = binary.LittleEndian.AppendUint64(b, h.Term)
	b = binary.LittleEndian.AppendUint64(b, h.Version)
	b = binary.LittleEndian.AppendUint64(b, h.Runs)
	b = binary.LittleEndian.AppendUint64(b, h.Extents)
	b = append(b, make([]byte, HeaderBytes-8-len(b))...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// ParseHeader reads the first 64 bytes.
func ParseHeader(b []byte) (h Header, err error) {
	if len(b) < len(Magic) || string(b[:len(Magic)]) != Magic {
		return h, ErrMagic
	}
	if len(b) < HeaderBytes {
		return h, fmt.Errorf("%w: %d bytes of %d", ErrHeader, len(b), HeaderBytes)
	}
	if sum := xxhash.Sum64(b[:HeaderBytes-8]); sum != binary.LittleEndian.Uint64(b[HeaderBytes-8:]) {
		return h, fmt.Errorf("%w: its checksum does not fit", ErrHeader)
	}
	if f := binary.LittleEndian.Uint32(b[8:]); f != Format {
		return h, fmt.Errorf("mapfile: format %d; this program reads %d", f, Format)
	}
	h = Header{Blocks: binary.LittleEndian.Uint32(b[12:]), Term: binary.LittleEndian.Uint64(b[16:]),
		Version: binary.LittleEndian.Uint64(b[24:]), Runs: binary.LittleEndian.Uint64(b[32:]), Extents: binary.LittleEndian.Uint64(b[40:])}
	if h.Blocks > MostBlocks {
		return h, fmt.Errorf("mapfile: %d blocks: at most %d", h.Blocks, MostBlocks)
	}
	return h, nil
}

// Write writes a view, but for runs of versions past its watermark: they stand beside gaps, and whoever reads
// the file asks for them. The header comes last, so w must be one that can be written to at its start again.
func Write(w io.WriteSeeker, v *extentmap.View) (Header, error) {
	h := Header{Term: v.Term, Version: v.Mark}
	if _, err := w.Write(make([]byte, HeaderBytes)); err != nil {
		return h, fmt.Errorf("mapfile: %w", err)
	}
	b := newBlock(v.Mark)
	var err error
	flush := func() bool {
		if h.Blocks == MostBlocks {
			err = fmt.Errorf("mapfile: more than %d blocks", MostBlocks)
			return false
		}
		h.Blocks++
		if _, err = w.Write(b.seal(h.Blocks - 1)); err != nil {
			err = fmt.Errorf("mapfile: block %d: %w", h.Blocks-1, err)
		}
		b = newBlock(v.Mark)
		return err == nil
	}
	v.All(func(r extentmap.Run) bool {
		if len(r.Volume) > MostName {
			err = fmt.Errorf("mapfile: volume %.40q...: a name of %d bytes, at most %d", r.Volume, len(r.Volume), MostName)
			return false
		}
		if r.Version > v.Mark {
			return true
		}
		if h.Runs++; r.Shard != extentmap.Nowhere {
			h.Extents += r.To - r.From
		}
		return b.add(&r) || flush() && b.add(&r)
	})
	if err == nil && b.runs > 0 {
		flush()
	}
	if err != nil {
		return h, err
	}
	if _, err := w.Seek(0, io.SeekStart); err != nil {
		return h, fmt.Errorf("mapfile: %w", err)
	}
	if _, err := w.Write(h.marshal()); err != nil {
		return h, fmt.Errorf("mapfile: %w", err)
	}
	return h, nil
}

// block is one on its way out.
type block struct {
	bytes   []byte
	scratch []byte
	mark    uint64
	runs    uint32
	volume  string
	end     uint64
	home    extentmap.Home
	any     bool // a home was written
}

func newBlock(mark uint64) *block {
	return &block{bytes: make([]byte, blockHead, BlockBytes), mark: mark}
}

// add appends a run; false if it does not fit. Runs come in order.
func (b *block) add(r *extentmap.Run) bool {
	s, at, any, home := b.scratch[:0], b.end, b.any, b.home
	if b.runs == 0 || r.Volume != b.volume {
		s = binary.AppendUvarint(s, 0)
		s = binary.AppendUvarint(s, uint64(len(r.Volume)))
		s = append(s, r.Volume...)
		at = 0
	}
	s = binary.AppendUvarint(s, r.From-at+1)
	s = binary.AppendUvarint(s, r.To-r.From)
	if any && r.Home == home {
		s = binary.AppendUvarint(s, 0)
	} else {
		s = binary.AppendUvarint(s, uint64(int64(r.Shard)+2))
		s = binary.AppendUvarint(s, uint64(r.Epoch))
	}
	s = binary.AppendUvarint(s, b.mark-r.Version)
	b.scratch = s
	if len(b.bytes)+len(s) > BlockBytes {
		return false
	}
	b.bytes = append(b.bytes, s...)
	b.runs++
	b.volume, b.end, b.home, b.any = r.Volume, r.To, r.Home, true
	return true
}

// seal is the block with its head, of its full size.
func (b *block) seal(number uint32) []byte {
	used := len(b.bytes) - blockHead
	full := b.bytes[:BlockBytes]
	clear(full[blockHead+used:])
	binary.LittleEndian.PutUint32(full[8:], number)
	binary.LittleEndian.PutUint32(full[12:], uint32(used))
	binary.LittleEndian.PutUint32(full[16:], b.runs)
	binary.LittleEndian.PutUint32(full[20:], 0)
	binary.LittleEndian.PutUint64(full, xxhash.Sum64(full[8:]))
	return full
}

// ParseBlock reads one block of a file: the number it should have, and the file's version.
func ParseBlock(p []byte, number uint32, version uint64) ([]extentmap.Run, error) {
	wrong := func(format string, args ...any) error {
		return fmt.Errorf("mapfile: block %d: "+format, append([]any{number}, args...)...)
	}
	if len(p) != BlockBytes {
		return nil, wrong("%d bytes, expected %d", len(p), BlockBytes)
	}
	if xxhash.Sum64(p[8:]) != binary.LittleEndian.Uint64(p) {
		return nil, wrong("its checksum does not fit")
	}
	if n := binary.LittleEndian.Uint32(p[8:]); n != number {
		return nil, wrong("it says that it is block %d", n)
	}
	used, count := binary.LittleEndian.Uint32(p[12:]), binary.LittleEndian.Uint32(p[16:])
	if used > BlockBytes-blockHead || count > used/4 {
		return nil, wrong("%d runs in %d bytes", count, used)
	}
	d := decoder{left: p[blockHead : blockHead+used]}
	runs := make([]extentmap.Run, 0, count)
	var volume string
	var at uint64
	var home extentmap.Home
	for len(runs) < int(count) {
		gap := d.unsigned()
		if gap == 0 {
			volume, at = d.text(), 0
			if gap = d.unsigned(); volume == "" || gap == 0 {
				return nil, wrong("run %d: a volume without a name or a run", len(runs))
			}
		}
		n, shard := d.unsigned(), d.unsigned()
		if shard != 0 {
			epoch := d.unsigned()
			if shard > 1<<31 || epoch > 1<<32-1 {
				return nil, wrong("run %d: shard %d, epoch %d", len(runs), int64(shard)-2, epoch)
			}
			home = extentmap.Home{Shard: int32(int64(shard) - 2), Epoch: uint32(epoch)}
		} else if len(runs) == 0 {
			return nil, wrong("run 0: it has the home of the one before it")
		}
		before := d.unsigned()
		if d.bad || volume == "" {
			return nil, wrong("run %d: it ends in the middle", len(runs))
		}
		from := at + gap - 1
		to := from + n
		since := version - before
		if from < at || to <= from || n > extentmap.MaxRunExtents || before > version {
			return nil, wrong("run %d: %d extents from %d on, %d changes before version %d", len(runs), n, from, before, version)
		}
		runs = append(runs, extentmap.Run{Range: extentmap.Range{Volume: volume, From: from, To: to}, Home: home, Version: since})
		at = to
	}
	if len(d.left) > 0 {
		return nil, wrong("%d bytes after its last run", len(d.left))
	}
	return runs, nil
}

// decoder takes numbers off the front of a block.
type decoder struct {
	left []byte
	bad  bool
	name string // the last one: most are the same
}

func (d *decoder) unsigned() uint64 {
	x, n := binary.Uvarint(d.left)
	if n <= 0 {
		d.bad, d.left = true, nil
		return 0
	}
	d.left = d.left[n:]
	return x
}

func (d *decoder) text() string {
	n := d.unsigned()
	if n > MostName || n > uint64(len(d.left)) {
		d.bad, d.left = true, nil
		return ""
	}
	b := d.left[:n]
	d.left = d.left[n:]
	if !bytes.Equal(b, []byte(d.name)) {
		d.name = string(b)
	}
	return d.name
}

// Damage is a block that could not be read: what lay in it is unknown.
type Damage struct {
	Block  uint32 `json:"block"`
	Offset int64  `json:"offset"` // bytes in the file
	Why    string `json:"why"`
}

// Reader hands out the runs of a file, block by block.
type Reader struct {
	Header
	Damaged []Damage

	r     io.Reader
	buf   []byte
	runs  []extentmap.Run
	block uint32
	read  uint64 // runs handed out
	ended error
}

// NewReader reads the header.
func NewReader(r io.Reader) (*Reader, error) {
	head := make([]byte, HeaderBytes)
	n, err := io.ReadFull(r, head)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("mapfile: %w", err)
	}
	h, err := ParseHeader(head[:n])
	if err != nil {
		return nil, err
	}
	return &Reader{Header: h, r: r, buf: make([]byte, BlockBytes)}, nil
}

// Next returns the next run, as extentmap.Map.Snapshot wants it; blocks that cannot be read are left out
// and noted in Damaged. The error is one of reading, never one of what was read.
func (r *Reader) Next() (run extentmap.Run, ok bool, err error) {
	for len(r.runs) == 0 {
		if r.ended != nil || r.block == r.Blocks {
			return run, false, nil
		}
		offset := HeaderBytes + int64(r.block)*BlockBytes
		n, err := io.ReadFull(r.r, r.buf)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			r.ended = err
			r.Damaged = append(r.Damaged, Damage{r.block, offset, fmt.Sprintf("the file ends %d bytes into block %d of %d", n, r.block, r.Blocks)})
			return run, false, nil
		}
		if err != nil {
			return run, false, fmt.Errorf("mapfile: block %d: %w", r.block, err)
		}
		runs, err := ParseBlock(r.buf, r.block, r.Version)
		if err != nil {
			r.Damaged = append(r.Damaged, Damage{r.block, offset, err.Error()})
		}
		r.runs = runs
		r.block++
	}
	run, r.runs = r.runs[0], r.runs[1:]
	r.read++
	return run, true, nil
}

// Missing is how many of the runs that the header states were not in what was read.
func (r *Reader) Missing() uint64 { return r.Runs - min(r.Runs, r.read) }
