// Package extentmap implements a gateway's cached map of extents: for each extent of a volume, the shard that
// holds it, the epoch of the shard's node, and the version of the map that this is known from. The package
// contains data and decisions only: it does no I/O, reads no clock and starts no goroutine. Callers pass in
// changes (Delta, snapshots, answers of nodes) and the time. Package internal/mapfeed runs it.
//
// The extents of a volume are numbered; adjacent extents with the same location form one run. Runs are kept in a
// B+ tree whose nodes are copied when they change (copy on write; O. Rodeh, "B-trees, shadowing, and clones", ACM
// TOS 2008). A View therefore never changes: a lookup takes no lock, and an iteration sees one version of the map.
//
// The authority numbers its changes without gaps; the highest version up to which all changes have arrived is the
// watermark. Each run carries the version of the change that created it, so a change does not make other ranges
// stale, a repeated change has no effect, and changes may arrive in any order.
package extentmap

import (
	"errors"
	"fmt"
	"math"
)

// VolumeID identifies a volume within one Map. It has no meaning outside that Map.
type VolumeID uint32

// Limits of a map.
const (
	MaxVolumes    = 1 << 20
	MaxRunExtents = math.MaxUint32 // maximum number of extents in a run
	MaxPending    = 4096           // maximum number of changes kept while an earlier one is missing
)

// NoShard is the shard number of extents that do not exist according to the authority.
const NoShard = -1

// Location is where extents are stored.
type Location struct {
	Shard int32  `json:"shard"` // NoShard: the extents do not exist
	Epoch uint32 `json:"epoch"` // of the shard's node; it increases when the node comes back with other data
}

// Range is a half-open range of extents of a volume: From is included, To is not.
type Range struct {
	Volume string `json:"volume"`
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
}

func (r Range) String() string { return fmt.Sprintf("%s[%d,%d)", r.Volume, r.From, r.To) }

// Run is a range whose extents have the same location, and the version of the map that assigned it.
type Run struct {
	Range
	Location
	Version uint64 `json:"version"`
}

// validate returns an error that describes the first invalid field.
func (r *Run) validate() error {
	switch {
	case r.Volume == "":
		return errors.New("range without a volume name")
	case r.From >= r.To:
		return fmt.Errorf("range %v: its end is not above its start", r.Range)
	case r.Shard < NoShard:
		return fmt.Errorf("range %v: shard %d: expected a shard number, or %d for extents that do not exist", r.Range, r.Shard, NoShard)
	}
	return nil
}

// Delta is one change of the map. Its runs get the version of the change; their own Version fields are ignored.
type Delta struct {
	Term    uint64 // of the authority; it changes when the authority is restored
	Version uint64 // one above that of the preceding change
	Runs    []Run
}

// Errors of Map.Apply and Map.Fetched after which only a snapshot helps.
var (
	// ErrTerm means that the change or the answer belongs to another term of the authority.
	ErrTerm = errors.New("extentmap: the term of the authority differs; a snapshot is needed")
	// ErrTooManyPending means that the limit of changes kept behind a missing one is reached.
	ErrTooManyPending = errors.New("extentmap: too many changes are pending behind a missing one; a snapshot is needed")
)
