// Package extent says where the bytes of a file lie: the narrow way from a path
// and a range to extents and their shards. Today the host's own catalogue answers
// (internal/store); a cached, versioned extent map will. The package also holds the
// one place that turns bytes into units and operations into classes.
package extent

import (
	"fmt"
	"sort"

	"eiderhold/control"
)

// Extent is a run of a file's bytes that one item of one shard holds. Items are
// never overwritten: another version of a file has other items.
type Extent struct {
	Item   string // name at the node
	Shard  int    // the shard that took it
	Offset int64  // of its first byte in the file
	Length int    // bytes
	Sum    uint64 // xxhash64 of its bytes
}

// Resolver finds the extents that hold a range of a file, in order of offset. The
// first and the last may reach beyond the range.
type Resolver interface {
	Resolve(volume, path string, offset, length int64) ([]Extent, error)
}

// Within returns the extents of a file's list, which is in order, that touch the
// range.
func Within(all []Extent, offset, length int64) []Extent {
	lo := Index(all, offset)
	end := lo
	for end < len(all) && all[end].Offset < offset+length {
		end++
	}
	return all[lo:end]
}

// Index is the place in a file's list, which is in order, of the first extent that
// ends behind the offset; len(all) if there is none.
func Index(all []Extent, offset int64) int {
	return sort.Search(len(all), func(i int) bool { return all[i].Offset+int64(all[i].Length) > offset })
}

// Work says what an operation costs and which class it has. It is the only place
// that converts bytes to units or names a class for an operation.
type Work struct {
	UnitBytes    int     // bytes that count as one unit
	Most         float64 // units of the largest request
	ReadClass    string  // a read of a file below Bulk bytes
	BulkClass    string  // a read of a larger one
	Bulk         int64
	WriteClass   string
	CollectClass string // removing what nothing refers to
}

// Units is the size of a request of n bytes: at least one unit.
func (w Work) Units(n int) float64 {
	u := float64(n) / float64(w.UnitBytes)
	if w.Most > 0 {
		u = min(u, w.Most)
	}
	return max(1, u)
}

// Read is the class of a read that is part of a transfer of so many bytes.
func (w Work) Read(total int64) string {
	if total > w.Bulk {
		return w.BulkClass
	}
	return w.ReadClass
}

// Check names the first class that the settings of the controller lack.
func (w Work) Check(classes []control.Class) error {
	if w.UnitBytes <= 0 {
		return fmt.Errorf("unit of %d bytes: must be positive", w.UnitBytes)
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
