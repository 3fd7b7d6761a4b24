// Package mapfile reads and writes snapshots of the extent map: the ones that the authority sends, and the cache
// from which a gateway starts. It only converts between bytes and values; extentmap defines their meaning. The
// layout is documented in docs/format/mapfile.md. Package mapfeed and the command eiderhold map use it.
//
// A file is a header followed by blocks of a fixed size. Each block has a checksum and can be read by itself, so a
// damaged or outdated block affects only its own extents: they are unknown and fetched when they are requested.
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

// Constants of the layout.
const (
	Magic            = "EHXTMAP\n"
	Format           = 1
	HeaderBytes      = 64
	BlockBytes       = 64 << 10
	blockHeaderBytes = 24
	MaxNameBytes     = 1024 // maximum length of a volume's name
	MaxBlocks        = 1 << 20
)

// Header is the content of the first 64 bytes.
type Header struct {
	Term    uint64 `json:"term"`    // of the authority
	Version uint64 `json:"version"` // all changes up to it are included
	Runs    uint64 `json:"runs"`
	Extents uint64 `json:"extents"` // number of extents that exist
	Blocks  uint32 `json:"blocks"`
}

// Errors that concern a file as a whole.
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

// ParseHeader parses the first 64 bytes of a file.
func ParseHeader(b []byte) (h Header, err error) {
	if len(b) < len(Magic) || string(b[:len(Magic)]) != Magic {
		return h, ErrMagic
	}
	if len(b) < HeaderBytes {
		return h, fmt.Errorf("%w: %d bytes, expected %d", ErrHeader, len(b), HeaderBytes)
	}
	if sum := xxhash.Sum64(b[:HeaderBytes-8]); sum != binary.LittleEndian.Uint64(b[HeaderBytes-8:]) {
		return h, fmt.Errorf("%w: its checksum does not fit", ErrHeader)
	}
	if f := binary.LittleEndian.Uint32(b[8:]); f != Format {
		return h, fmt.Errorf("mapfile: format %d; this program reads %d", f, Format)
	}
	h = Header{Blocks: binary.LittleEndian.Uint32(b[12:]), Term: binary.LittleEndian.Uint64(b[16:]),
		Version: binary.LittleEndian.Uint64(b[24:]), Runs: binary.LittleEndian.Uint64(b[32:]), Extents: binary.LittleEndian.Uint64(b[40:])}
	if h.Blocks > MaxBlocks {
		return h, fmt.Errorf("mapfile: %d blocks, expected at most %d", h.Blocks, MaxBlocks)
	}
	return h, nil
}

// Write writes a view without the runs of versions above its watermark: earlier changes may be missing around
// them, and the reader of the file requests them anyway. The header is written last, at the start of w.
func Write(w io.WriteSeeker, v *extentmap.View) (Header, error) {
	h := Header{Term: v.Term, Version: v.Watermark}
	if _, err := w.Write(make([]byte, HeaderBytes)); err != nil {
		return h, fmt.Errorf("mapfile: %w", err)
	}
	b := newBlock(v.Watermark)
	var err error
	flush := func() bool {
		if h.Blocks == MaxBlocks {
			err = fmt.Errorf("mapfile: more than %d blocks", MaxBlocks)
			return false
		}
		h.Blocks++
		if _, err = w.Write(b.finish(h.Blocks - 1)); err != nil {
			err = fmt.Errorf("mapfile: block %d: %w", h.Blocks-1, err)
		}
		b = newBlock(v.Watermark)
		return err == nil
	}
	v.All(func(r extentmap.Run) bool {
		if len(r.Volume) > MaxNameBytes {
			err = fmt.Errorf("mapfile: volume %.40q...: name of %d bytes, expected at most %d", r.Volume, len(r.Volume), MaxNameBytes)
			return false
		}
		if r.Version > v.Watermark {
			return true
		}
		if h.Runs++; r.Shard != extentmap.NoShard {
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

// block is a block that is being written.
type block struct {
	bytes        []byte
	scratch      []byte
	watermark    uint64
	runs         uint32
	lastVolume   string
	lastEnd      uint64
	lastLocation extentmap.Location
	hasLocation  bool // the block contains a location
}

func newBlock(mark uint64) *block {
	return &block{bytes: make([]byte, blockHeaderBytes, BlockBytes), watermark: mark}
}

// add appends a run and returns false if it does not fit. Runs must come in order.
func (b *block) add(r *extentmap.Run) bool {
	s, at, hasHome, home := b.scratch[:0], b.lastEnd, b.hasLocation, b.lastLocation
	if b.runs == 0 || r.Volume != b.lastVolume {
		s = binary.AppendUvarint(s, 0)
		s = binary.AppendUvarint(s, uint64(len(r.Volume)))
		s = append(s, r.Volume...)
		at = 0
	}
	s = binary.AppendUvarint(s, r.From-at+1)
	s = binary.AppendUvarint(s, r.To-r.From)
	if hasHome && r.Location == home {
		s = binary.AppendUvarint(s, 0)
	} else {
		s = binary.AppendUvarint(s, uint64(int64(r.Shard)+2))
		s = binary.AppendUvarint(s, uint64(r.Epoch))
	}
	s = binary.AppendUvarint(s, b.watermark-r.Version)
	b.scratch = s
	if len(b.bytes)+len(s) > BlockBytes {
		return false
	}
	b.bytes = append(b.bytes, s...)
	b.runs++
	b.lastVolume, b.lastEnd, b.lastLocation, b.hasLocation = r.Volume, r.To, r.Location, true
	return true
}

// finish returns the block with its header, padded to the full size.
func (b *block) finish(number uint32) []byte {
	used := len(b.bytes) - blockHeaderBytes
	full := b.bytes[:BlockBytes]
	clear(full[blockHeaderBytes+used:])
	binary.LittleEndian.PutUint32(full[8:], number)
	binary.LittleEndian.PutUint32(full[12:], uint32(used))
	binary.LittleEndian.PutUint32(full[16:], b.runs)
	binary.LittleEndian.PutUint32(full[20:], 0)
	binary.LittleEndian.PutUint64(full, xxhash.Sum64(full[8:]))
	return full
}

// ParseBlock parses a block of a file with its expected number and the version of the file.
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
		return nil, wrong("its number is %d", n)
	}
	used, count := binary.LittleEndian.Uint32(p[12:]), binary.LittleEndian.Uint32(p[16:])
	if used > BlockBytes-blockHeaderBytes || count > used/4 {
		return nil, wrong("%d runs in %d bytes", count, used)
	}
	d := decoder{rest: p[blockHeaderBytes : blockHeaderBytes+used]}
	runs := make([]extentmap.Run, 0, count)
	var volume string
	var at uint64
	var home extentmap.Location
	for len(runs) < int(count) {
		gap := d.readUvarint()
		if gap == 0 {
			volume, at = d.readName(), 0
			if gap = d.readUvarint(); volume == "" || gap == 0 {
				return nil, wrong("run %d: volume without a name or a run", len(runs))
			}
		}
		n, shard := d.readUvarint(), d.readUvarint()
		if shard != 0 {
			epoch := d.readUvarint()
			if shard > 1<<31 || epoch > 1<<32-1 {
				return nil, wrong("run %d: shard %d, epoch %d", len(runs), int64(shard)-2, epoch)
			}
			home = extentmap.Location{Shard: int32(int64(shard) - 2), Epoch: uint32(epoch)}
		} else if len(runs) == 0 {
			return nil, wrong("run 0: refers to the location of the run before")
		}
		before := d.readUvarint()
		if d.failed || volume == "" {
			return nil, wrong("run %d: truncated", len(runs))
		}
		from := at + gap - 1
		to := from + n
		since := version - before
		if from < at || to <= from || n > extentmap.MaxRunExtents || before > version {
			return nil, wrong("run %d: invalid: %d extents from %d on, %d changes before version %d", len(runs), n, from, before, version)
		}
		runs = append(runs, extentmap.Run{Range: extentmap.Range{Volume: volume, From: from, To: to}, Location: home, Version: since})
		at = to
	}
	if len(d.rest) > 0 {
		return nil, wrong("%d bytes after the last run", len(d.rest))
	}
	return runs, nil
}

// decoder reads values from the start of a block's content.
type decoder struct {
	rest     []byte
	failed   bool
	lastName string // reused while consecutive names are equal
}

func (d *decoder) readUvarint() uint64 {
	x, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return x
}

func (d *decoder) readName() string {
	n := d.readUvarint()
	if n > MaxNameBytes || n > uint64(len(d.rest)) {
		d.failed, d.rest = true, nil
		return ""
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	if !bytes.Equal(b, []byte(d.lastName)) {
		d.lastName = string(b)
	}
	return d.lastName
}

// Damage describes a block that could not be read and whose extents are therefore unknown.
type Damage struct {
	Block  uint32 `json:"block"`
	Offset int64  `json:"offset"` // in the file, in bytes
	Why    string `json:"why"`
}

// Reader returns the runs of a file one by one and reads it block by block.
type Reader struct {
	Header
	Damaged []Damage

	r         io.Reader
	buf       []byte
	runs      []extentmap.Run
	nextBlock uint32
	runsRead  uint64 // number of runs returned by Next
	truncated error  // set when the file ended inside a block
}

// NewReader reads the header and returns a Reader for the runs.
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

// Next returns the next run, as extentmap.Map.Snapshot expects it. Blocks that cannot be parsed are skipped and
// added to Damaged; an error means that reading itself failed.
func (r *Reader) Next() (run extentmap.Run, ok bool, err error) {
	for len(r.runs) == 0 {
		if r.truncated != nil || r.nextBlock == r.Blocks {
			return run, false, nil
		}
		offset := HeaderBytes + int64(r.nextBlock)*BlockBytes
		n, err := io.ReadFull(r.r, r.buf)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			r.truncated = err
			r.Damaged = append(r.Damaged, Damage{r.nextBlock, offset, fmt.Sprintf("the file ends after %d bytes of block %d of %d", n, r.nextBlock, r.Blocks)})
			return run, false, nil
		}
		if err != nil {
			return run, false, fmt.Errorf("mapfile: block %d: %w", r.nextBlock, err)
		}
		runs, err := ParseBlock(r.buf, r.nextBlock, r.Version)
		if err != nil {
			r.Damaged = append(r.Damaged, Damage{r.nextBlock, offset, err.Error()})
		}
		r.runs = runs
		r.nextBlock++
	}
	run, r.runs = r.runs[0], r.runs[1:]
	r.runsRead++
	return run, true, nil
}

// Missing returns how many of the runs stated in the header have not been read.
func (r *Reader) Missing() uint64 { return r.Runs - min(r.Runs, r.runsRead) }
