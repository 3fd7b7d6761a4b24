// Package mapfeed follows the authority of the extent map: its changes over Server-Sent Events, whole snapshots
// and single ranges over HTTP, the last map cached on disk for the next start. What a change means, and what
// is asked for, extentmap decides; the wire format is in docs/format/mapfeed.md.
package mapfeed

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"eiderhold/extentmap"
)

// The events of the stream.
const (
	EventChange   = "change"   // data: a Change
	EventSnapshot = "snapshot" // data: a Change without runs: fetch a snapshot at least as late
)

// Change is the data of an event, and the answer to a question about a range.
type Change struct {
	Term    uint64          `json:"term"`
	Version uint64          `json:"version"`
	Runs    []extentmap.Run `json:"runs,omitempty"` // in an answer each has its own version
}

// MostRuns is the most runs of one change or answer.
const MaxRuns = 1 << 20

// ParseChange reads an event's data or an answer.
func ParseChange(b []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("mapfeed: %w", err)
	}
	if len(c.Runs) > MaxRuns {
		return c, fmt.Errorf("mapfeed: a change of %d ranges: at most %d", len(c.Runs), MaxRuns)
	}
	return c, nil
}

// ID is the event id after which a stream is resumed: TERM-VERSION.
func ID(term, version uint64) string { return fmt.Sprintf("%d-%d", term, version) }

// ParseID reads an event id; not ok: it is none.
func ParseID(id string) (term, version uint64, ok bool) {
	a, b, found := strings.Cut(id, "-")
	term, errA := strconv.ParseUint(a, 10, 64)
	version, errB := strconv.ParseUint(b, 10, 64)
	return term, version, found && errA == nil && errB == nil
}
