package mapfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/renameio/v2"
	"github.com/parquet-go/parquet-go"

	"eiderhold/extentmap"
)

// row is a run in a columnar file (Apache Parquet, format 2).
type row struct {
	Volume  string `parquet:"volume,dict"`
	From    uint64 `parquet:"from,delta"`
	To      uint64 `parquet:"to,delta"`
	Shard   int32  `parquet:"shard"`
	Epoch   uint32 `parquet:"epoch"`
	Version uint64 `parquet:"version"`
}

// Keys of the file's metadata.
const (
	keyTerm    = "eiderhold.map.term"
	keyVersion = "eiderhold.map.version"
)

// rowBatchSize is the number of rows written or read at a time.
const rowBatchSize = 4096

// Export writes a view to a columnar file with one row per run, and returns the number of rows. The file is
// replaced atomically.
func Export(path string, v *extentmap.View) (rows int, err error) {
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return 0, fmt.Errorf("mapfile: %w", err)
	}
	defer func() { _ = f.Cleanup() }()
	w := parquet.NewGenericWriter[row](f, parquet.Compression(&parquet.Zstd),
		parquet.KeyValueMetadata(keyTerm, strconv.FormatUint(v.Term, 10)), parquet.KeyValueMetadata(keyVersion, strconv.FormatUint(v.Watermark, 10)))
	batch := make([]row, 0, rowBatchSize)
	flush := func() bool {
		_, err = w.Write(batch)
		rows += len(batch)
		batch = batch[:0]
		return err == nil
	}
	v.All(func(r extentmap.Run) bool {
		batch = append(batch, row{r.Volume, r.From, r.To, r.Shard, r.Epoch, r.Version})
		return len(batch) < rowBatchSize || flush()
	})
	if err == nil {
		flush()
	}
	if err == nil {
		err = w.Close()
	}
	if err == nil {
		err = f.CloseAtomicallyReplace()
	}
	if err != nil {
		return rows, fmt.Errorf("mapfile: %s: %w", path, err)
	}
	return rows, nil
}

// Import loads a columnar file written by Export into a map.
func Import(path string, m *extentmap.Map) (err error) {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("mapfile: %w", err)
	}
	defer func() { _ = f.Close() }()
	defer func() { // the library panics on some files that are not in Parquet format
		if p := recover(); p != nil {
			err = fmt.Errorf("mapfile: %s: not a readable columnar file: %v", path, p)
		}
	}()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("mapfile: %w", err)
	}
	pf, err := parquet.OpenFile(f, info.Size())
	if err != nil {
		return fmt.Errorf("mapfile: %s: %w", path, err)
	}
	number := func(key string) (uint64, error) {
		text, ok := pf.Lookup(key)
		if !ok {
			return 0, fmt.Errorf("mapfile: %s: the metadata has no key %s; expected a file written by eiderhold map export", path, key)
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("mapfile: %s: %s: %w", path, key, err)
		}
		return n, nil
	}
	term, err := number(keyTerm)
	if err != nil {
		return err
	}
	version, err := number(keyVersion)
	if err != nil {
		return err
	}
	r := parquet.NewGenericReader[row](pf)
	defer func() { _ = r.Close() }()
	batch := make([]row, rowBatchSize)
	var left []row
	at := 0
	_, err = m.Snapshot(term, version, func() (extentmap.Run, bool, error) {
		for len(left) == 0 {
			n, err := r.Read(batch)
			left = batch[:n]
			if n == 0 && errors.Is(err, io.EOF) {
				return extentmap.Run{}, false, nil
			}
			if err != nil && !errors.Is(err, io.EOF) {
				return extentmap.Run{}, false, fmt.Errorf("row %d: %w", at, err)
			}
		}
		w := left[0]
		left = left[1:]
		at++
		return extentmap.Run{Range: extentmap.Range{Volume: w.Volume, From: w.From, To: w.To},
			Location: extentmap.Location{Shard: w.Shard, Epoch: w.Epoch}, Version: min(w.Version, version)}, true, nil
	})
	if err != nil {
		return fmt.Errorf("mapfile: %s: %w", path, err)
	}
	return nil
}
