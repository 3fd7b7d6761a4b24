// Package extent defines where the bytes of a file are stored: it maps a path and a range to extents and their
// shards. The gateway's catalogue (internal/store) implements the mapping; behind the interface Resolver, a cached
// and versioned extent map (package extentmap) can take its place. The package also contains the only place that
// converts bytes to units and operations to classes. The catalogue, the rsync front, package migrate and package
// collect use it.
package extent

import (
	"fmt"
	"sort"

	"eiderhold/control"
)

// Extent is a contiguous part of a file that one item of one shard holds. Items are never overwritten: another
// version of a file has other items.
type Extent struct {
	Item   string // name of the item at the node
	Shard  int    // shard that stores the item
	Offset int64  // of the first byte in the file
	Length int    // bytes
	Sum    uint64 // xxHash64 of the data
}

// Resolver finds the extents that contain a range of a file, in order of offset. The first and the last may extend
// beyond the range.
type Resolver interface {
	Resolve(volume, path string, offset, length int64) ([]Extent, error)
}

// Within returns the extents of a file, given in order of offset, that overlap a range.
func Within(all []Extent, offset, length int64) []Extent {
	lo := Index(all, offset)
	end := lo
	for end < len(all) && all[end].Offset < offset+length {
		end++
	}
	return all[lo:end]
}

// Index returns the index of the first extent, given in order of offset, that ends after the offset, or len(all)
// if there is none.
func Index(all []Extent, offset int64) int {
	return sort.Search(len(all), func(i int) bool { return all[i].Offset+int64(all[i].Length) > offset })
}

// CostModel determines the cost and the class of an operation. It is the only place that converts bytes to units or
// chooses the class of an operation.
type CostModel struct {
	UnitBytes          int     // bytes per unit
	MaxUnits           float64 // maximum number of units of a request; 0: no maximum
	ReadClass          string  // class of reads of files up to BulkThresholdBytes
	BulkClass          string  // class of reads of larger files
	BulkThresholdBytes int64
	WriteClass         string
	CollectClass       string // class of the removal of garbage
}

// Units returns the size of a request of n bytes, which is at least one unit.
func (w CostModel) Units(n int) float64 {
	u := float64(n) / float64(w.UnitBytes)
	if w.MaxUnits > 0 {
		u = min(u, w.MaxUnits)
	}
	return max(1, u)
}

// Read returns the class of a read that belongs to a transfer of total bytes.
func (w CostModel) Read(total int64) string {
	if total > w.BulkThresholdBytes {
		return w.BulkClass
	}
	return w.ReadClass
}

// Check returns an error if a setting is invalid or a class does not exist.
func (w CostModel) Check(classes []control.Class) error {
	if w.UnitBytes <= 0 {
		return fmt.Errorf("unit of %d bytes: expected a positive number", w.UnitBytes)
	}
	for _, name := range []string{w.ReadClass, w.BulkClass, w.WriteClass, w.CollectClass} {
		found := false
		for _, c := range classes {
			found = found || c.Name == name
		}
		if !found {
			return fmt.Errorf("class %q is used by a front, but no [[class]] has this name", name)
		}
	}
	return nil
}
