package mapfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"eiderhold/extentmap"
)

// newView returns a view of some volumes with a number of runs each.
func newView(t interface {
	Helper()
	Fatal(...any)
}, volumes, runs int, length func(i int) uint64) *extentmap.View {
	t.Helper()
	m, err := extentmap.New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	i, at := 0, uint64(0)
	if _, err := m.Snapshot(3, 1000, func() (r extentmap.Run, ok bool, err error) {
		if i == volumes*runs {
			return r, false, nil
		}
		if i%runs == 0 {
			at = 0
		}
		n := length(i)
		r = extentmap.Run{Range: extentmap.Range{Volume: fmt.Sprint("volume-", i/runs), From: at, To: at + n},
			Location: extentmap.Location{Shard: int32(i%5) - 1, Epoch: uint32(i % 3)}, Version: uint64(i % 1001)}
		at += n + uint64(i%2)
		i++
		return r, true, nil
	}); err != nil {
		t.Fatal(err)
	}
	return m.View()
}

func allRuns(v *extentmap.View) (runs []extentmap.Run) {
	v.All(func(r extentmap.Run) bool { runs = append(runs, r); return true })
	return runs
}

// loadView loads a file into a new map.
func loadView(t interface {
	Helper()
	Fatal(...any)
}, path string) (*extentmap.View, []Damage) {
	t.Helper()
	m, err := extentmap.New(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	_, damaged, taken, err := Load(path, m)
	if err != nil || !taken {
		t.Fatal(taken, err)
	}
	return m.View(), damaged
}

// TestRoundTrip checks that loading a saved view returns the same runs.
func TestRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map")
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.Uint64Range(1, 1<<33), 1, 20).Draw(t, "lengths")
		v := newView(t, rapid.IntRange(0, 3).Draw(t, "volumes"), rapid.IntRange(1, 200).Draw(t, "runs"), func(i int) uint64 { return lengths[i%len(lengths)] })
		h, err := Save(path, v)
		if err != nil {
			t.Fatal(err)
		}
		got, damaged := loadView(t, path)
		if len(damaged) > 0 || got.Term != 3 || got.Watermark != 1000 || h.Runs != uint64(v.Len()) || h.Extents != v.Extents {
			t.Fatalf("%+v, damaged %v, term %d, version %d", h, damaged, got.Term, got.Watermark)
		}
		if a, b := allRuns(v), allRuns(got); !slices.Equal(a, b) {
			t.Fatalf("%d runs saved, %d loaded", len(a), len(b))
		}
	})
}

// TestDamagedBlocks checks that a damaged block, whichever it is, loses only its own runs, and that a truncated
// file loses only the runs after its end.
func TestDamagedBlocks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map")
	v := newView(t, 4, 20_000, func(i int) uint64 { return uint64(1 + i%300) })
	h, err := Save(path, v)
	if err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if h.Blocks < 6 || len(whole) != HeaderBytes+int(h.Blocks)*BlockBytes {
		t.Fatalf("%d bytes in %d blocks", len(whole), h.Blocks)
	}
	all, before := allRuns(v), 0
	for n := range h.Blocks {
		start := HeaderBytes + int(n)*BlockBytes
		in, err := ParseBlock(whole[start:start+BlockBytes], n, h.Version)
		if err != nil {
			t.Fatal(err)
		}
		for _, at := range []int{0, blockHeaderBytes + 1} {
			torn := slices.Clone(whole)
			torn[start+at] ^= 0x10
			if err := os.WriteFile(path, torn, 0o644); err != nil {
				t.Fatal(err)
			}
			got, damaged := loadView(t, path)
			if len(damaged) != 1 || damaged[0].Block != n || damaged[0].Offset != int64(start) {
				t.Fatalf("block %d, byte %d: %v", n, at, damaged)
			}
			want := slices.Concat(all[:before], all[before+len(in):])
			if !slices.Equal(allRuns(got), want) {
				t.Fatalf("block %d: %d runs of %d loaded, want %d", n, got.Len(), len(all), len(want))
			}
		}
		if err := os.WriteFile(path, whole[:start+100], 0o644); err != nil {
			t.Fatal(err)
		}
		if got, damaged := loadView(t, path); len(damaged) != 1 || damaged[0].Block != n || !slices.Equal(allRuns(got), all[:got.Len()]) {
			t.Fatalf("truncated in block %d: %v", n, damaged)
		}
		before += len(in)
	}
	if err := os.WriteFile(path, append([]byte{0}, whole...), 0o644); err != nil {
		t.Fatal(err)
	}
	m, _ := extentmap.New(1000)
	if _, _, _, err := Load(path, m); !errors.Is(err, ErrMagic) {
		t.Errorf("not a snapshot: %v", err)
	}
	whole[20]++
	if err := os.WriteFile(path, whole, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Load(path, m); !errors.Is(err, ErrHeader) {
		t.Errorf("damaged header: %v", err)
	}
}

// BenchmarkLoad measures a start from the cache with 50 million extents in runs of 64.
func BenchmarkLoad(b *testing.B) {
	const runs = 50_000_000 / 64
	path := filepath.Join(b.TempDir(), "map")
	h, err := Save(path, newView(b, 1, runs, func(int) uint64 { return 64 }))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(HeaderBytes + int64(h.Blocks)*BlockBytes)
	for b.Loop() {
		if v, damaged := loadView(b, path); v.Len() != runs || len(damaged) > 0 {
			b.Fatalf("%d runs, damaged: %v", v.Len(), damaged)
		}
	}
}

// FuzzBlock checks that no block content with a valid checksum makes the parser panic or return runs that a map
// refuses.
func FuzzBlock(f *testing.F) {
	var blocks [][]byte
	v := newView(f, 2, 30, func(i int) uint64 { return uint64(1 + i%7) })
	b := newBlock(v.Watermark)
	v.All(func(r extentmap.Run) bool { b.add(&r); return true })
	blocks = append(blocks, b.finish(0)[8:8+len(b.bytes)], []byte{0, 0, 0, 0, 6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'v', 1, 255, 2, 1, 0})
	for _, b := range blocks {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		full := make([]byte, BlockBytes)
		copy(full[8:], p)
		binary.LittleEndian.PutUint64(full, xxhash.Sum64(full[8:]))
		runs, err := ParseBlock(full, 0, 1000)
		if err != nil {
			return
		}
		m, err := extentmap.New(1 << 20)
		if err != nil {
			t.Fatal(err)
		}
		i := 0
		if _, err := m.Snapshot(1, 1000, func() (r extentmap.Run, ok bool, err error) {
			if i < len(runs) {
				r, ok = runs[i], true
				i++
			}
			return r, ok, nil
		}); err != nil {
			t.Errorf("a map refuses the parsed runs: %v", err)
		}
	})
}

// FuzzHeader checks that no header makes the parser panic, and that a parsed header is written back as the same
// bytes.
func FuzzHeader(f *testing.F) {
	h := Header{Term: 1, Version: 2, Runs: 3, Extents: 4, Blocks: 5}
	f.Add(h.marshal())
	f.Add([]byte(Magic))
	f.Fuzz(func(t *testing.T, p []byte) {
		h, err := ParseHeader(p)
		if err == nil && !bytes.Equal(h.marshal(), p[:HeaderBytes]) {
			// the bytes between the last field and the checksum are reserved for later formats
			if !bytes.Equal(h.marshal()[:48], p[:48]) {
				t.Errorf("header %+v is written back as other bytes", h)
			}
		}
	})
}
