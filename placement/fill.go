package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Marks configure when a shard stops accepting new extents and when it accepts them again.
type Marks struct {
	High float64 // a shard stops accepting extents once this fraction of its bytes is used ...
	Low  float64 // ... and accepts them again once usage is below this fraction
	// Hold is how long a shard that had no room for an extent gets no new extents, whatever it reports. Its used
	// bytes and its refusals may follow different rules, so a report alone does not show that it has room again.
	Hold time.Duration
}

// DefaultMarks holds the default marks. The high mark leaves 5% for writes that are in flight when it is passed.
var DefaultMarks = Marks{High: 0.95, Low: 0.9, Hold: 10 * time.Second}

// Check returns an error that describes the first invalid mark.
func (m *Marks) Check() error {
	if !(m.Low > 0 && m.Low <= m.High && m.High <= 1) {
		return fmt.Errorf("low = %v, high = %v: more than 0, low at most high, high at most 1", m.Low, m.High)
	}
	if m.Hold < 0 {
		return fmt.Errorf("hold = %v: not negative", m.Hold)
	}
	return nil
}

const (
	// FullShardReportInterval is the interval at which a shard that accepts no extents is asked for a report, and
	// ReportInterval that of other shards. Without being asked, a shard that gets no requests reports nothing.
	FullShardReportInterval = 2 * time.Second
	ReportInterval          = 30 * time.Second
	// headroomSteps is the number of steps in which headroom changes a shard's weight, so that not every report
	// leads to a new map.
	headroomSteps = 64
)

// Fill tracks how many bytes each shard holds and which shards accept new extents. It is not safe for
// concurrent use.
type Fill struct {
	marks  Marks
	shards map[int]*shardFill
}

// shardFill is the state of one shard.
type shardFill struct {
	used, capacity int64
	reportedAt     time.Duration // time of the last report
	askedAt        time.Duration // time of the last request for a report
	fullAt         time.Duration // time at which the shard last had no room
	full           bool          // had no room; cleared by a report after Marks.Hold
	pastMark       bool          // passed the high mark and is not yet below the low mark
}

// NewFill returns a Fill without any shards.
func NewFill(m Marks) (*Fill, error) {
	if err := m.Check(); err != nil {
		return nil, fmt.Errorf("placement: marks: %w", err)
	}
	return &Fill{marks: m, shards: map[int]*shardFill{}}, nil
}

// Retain removes all shards for which known returns false.
func (f *Fill) Retain(known func(shard int) bool) {
	maps.DeleteFunc(f.shards, func(s int, _ *shardFill) bool { return !known(s) })
}

// shard returns the state of a shard and creates it if needed.
func (f *Fill) shard(shard int) *shardFill {
	l := f.shards[shard]
	if l == nil {
		l = &shardFill{}
		f.shards[shard] = l
	}
	return l
}

// Report records the used bytes and the capacity that a shard reports; a capacity of 0 means unknown. It returns
// whether the shard now accepts extents where it did not before, or the reverse, or its headroom changed by a step.
func (f *Fill) Report(shard int, used, capacity int64, now time.Duration) (changed bool) {
	l := f.shard(shard)
	tookBefore, stepBefore := l.takes(), l.headroomStep()
	l.reportedAt = max(l.reportedAt, now)
	l.used, l.capacity = max(0, used), max(0, capacity)
	if l.full && now >= l.fullAt+f.marks.Hold {
		l.full = false
	}
	switch usedFraction := l.usedFraction(); {
	case l.capacity == 0:
		l.pastMark = false
	case usedFraction >= f.marks.High:
		l.pastMark = true
	case usedFraction < f.marks.Low:
		l.pastMark = false
	}
	return tookBefore != l.takes() || stepBefore != l.headroomStep()
}

// NoRoom records that a shard had no room for an extent. It returns whether the shard accepted extents before.
func (f *Fill) NoRoom(shard int, now time.Duration) (changed bool) {
	l := f.shard(shard)
	tookBefore := l.takes()
	l.full, l.fullAt = true, now
	return tookBefore
}

func (l *shardFill) takes() bool { return !l.pastMark && !l.full }

// usedFraction returns the fraction of the shard's bytes that is used; 0 if its capacity is unknown.
func (l *shardFill) usedFraction() float64 {
	if l.capacity == 0 {
		return 0
	}
	return float64(l.used) / float64(l.capacity)
}

func (l *shardFill) headroomStep() int { return int(headroomSteps * l.usedFraction()) }

// AcceptsExtents returns whether a shard accepts new extents. An unknown shard does.
func (f *Fill) AcceptsExtents(shard int) bool {
	l := f.shards[shard]
	return l == nil || l.takes()
}

// Headroom returns the fraction of the shard's bytes that is free, in whole steps; 1 if nothing is known.
func (f *Fill) Headroom(shard int) float64 {
	l := f.shards[shard]
	if l == nil {
		return 1
	}
	return 1 - min(1, float64(l.headroomStep())/headroomSteps)
}

// ReportsDue returns those of the given shards from which a report is due, and records that they are asked now.
func (f *Fill) ReportsDue(shards []int, now time.Duration) (due []int) {
	for _, s := range shards {
		l := f.shard(s)
		interval := ReportInterval
		if !l.takes() {
			interval = FullShardReportInterval
		}
		if last := max(l.reportedAt, l.askedAt); last == 0 || now >= last+interval {
			l.askedAt = now
			due = append(due, s)
		}
	}
	return due
}

// Level is the fill level of one shard.
type Level struct {
	Shard        int
	Used         int64         // bytes
	Capacity     int64         // bytes; 0: unknown
	Age          time.Duration // time since the last report; meaningless before the first one
	Full         bool          // had no room for an extent recently
	PastHighMark bool          // passed the high mark and is not yet below the low mark
}

// Levels returns the fill levels of all known shards, ordered by shard.
func (f *Fill) Levels(now time.Duration) []Level {
	list := make([]Level, 0, len(f.shards))
	for s, l := range f.shards {
		list = append(list, Level{s, l.used, l.capacity, max(0, now-l.reportedAt), l.full, l.pastMark})
	}
	slices.SortFunc(list, func(a, b Level) int { return cmp.Compare(a.Shard, b.Shard) })
	return list
}

// NoRoomError reports that no shard accepts new extents.
type NoRoomError struct {
	Shards   int // number of shards
	Full     int // number of those that had no room or are past the high mark
	Used     int64
	Capacity int64 // bytes of the full shards
}

func (e *NoRoomError) Error() string {
	if e.Shards == 0 {
		return "no room: no node is known that takes new data"
	}
	return fmt.Sprintf("no room: none of %d shards takes new data; %d are full or past their mark (%d of %d bytes used): "+
		"remove data or add nodes", e.Shards, e.Full, e.Used, e.Capacity)
}

// NoRoomError returns the error for the case that none of the given shards accepts new extents.
func (f *Fill) NoRoomError(shards []int) *NoRoomError {
	e := &NoRoomError{Shards: len(shards)}
	for _, s := range shards {
		if l := f.shards[s]; l != nil && !l.takes() {
			e.Full++
			e.Used += l.used
			e.Capacity += l.capacity
		}
	}
	return e
}

// Quota limits the bytes of a volume: the bytes of its files, each counted once, plus those of new versions that
// are being written. It is not safe for concurrent use.
type Quota struct {
	MaxBytes int64 // bytes; 0: unlimited
	pending  int64 // bytes that versions in progress add
}

// QuotaError reports that a file does not fit into the quota of its volume.
type QuotaError struct {
	Volume               string
	Used, Pending, Limit int64
	Added                int64 // bytes that the new version would add
}

func (e *QuotaError) Error() string {
	text := fmt.Sprintf("quota of module %s: %d of %d bytes are used", e.Volume, e.Used, e.Limit)
	if e.Pending > 0 {
		text += fmt.Sprintf(" and %d on their way", e.Pending)
	}
	return text + fmt.Sprintf("; %d more do not fit", e.Added)
}

// Reserve reserves room for a new version of size bytes of a file whose present version has old bytes (0: a new file),
// in a volume that uses used bytes. It returns a QuotaError if the version does not fit. A version that is no larger
// than the present one always fits, so that a full volume can still be reduced.
func (q *Quota) Reserve(volume string, used, old, size int64) error {
	added := max(0, size-old)
	if q.MaxBytes > 0 && added > 0 && (added > q.MaxBytes || used+q.pending > q.MaxBytes-added) {
		return &QuotaError{volume, used, q.pending, q.MaxBytes, added}
	}
	q.pending += added
	return nil
}

// Release releases what Reserve reserved, once the version is in the catalogue or has been abandoned.
func (q *Quota) Release(old, size int64) { q.pending = max(0, q.pending-max(0, size-old)) }
