// Package mapfeed keeps a gateway's extent map up to date with the authority of the map. It receives changes over
// Server-Sent Events, fetches snapshots and single ranges over HTTP, and caches the map on disk for the next
// start. Package extentmap decides what a change means and which ranges to fetch. The wire format is documented in
// docs/format/mapfeed.md. Package standin uses the message types; the gateway does not run a feed.
package mapfeed

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"eiderhold/extentmap"
)

// Events of the stream.
const (
	EventChange   = "change"   // with a Change as data
	EventSnapshot = "snapshot" // with a Change without runs as data: fetch a snapshot of at least this version
)

// Change is the data of an event, and the answer to a request for a range.
type Change struct {
	Term    uint64          `json:"term"`
	Version uint64          `json:"version"`
	Runs    []extentmap.Run `json:"runs,omitempty"` // in an answer, each run has its own version
}

// MaxRuns is the maximum number of runs in a change or an answer.
const MaxRuns = 1 << 20

// ParseChange parses the data of an event or an answer.
func ParseChange(b []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("mapfeed: %w", err)
	}
	if len(c.Runs) > MaxRuns {
		return c, fmt.Errorf("mapfeed: change with %d runs, expected at most %d", len(c.Runs), MaxRuns)
	}
	return c, nil
}

// ID returns the event ID from which a stream is resumed: TERM-VERSION.
func ID(term, version uint64) string { return fmt.Sprintf("%d-%d", term, version) }

// ParseID parses an event ID; ok is false if it is malformed.
func ParseID(id string) (term, version uint64, ok bool) {
	a, b, found := strings.Cut(id, "-")
	term, errA := strconv.ParseUint(a, 10, 64)
	version, errB := strconv.ParseUint(b, 10, 64)
	return term, version, found && errA == nil && errB == nil
}
