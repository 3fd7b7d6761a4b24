// Package forecast predicts the demand of volumes from their past demand. For each volume and day it keeps a sketch of
// the rates in units per second, over the last days, with older days weighted less. The package is pure decision code:
// it does no I/O, reads no clock and starts no goroutine; times are passed in. A gateway records its own demand in a
// Recorder, and the command "eiderhold shares gather" uses Merge and EstimateDemands.
//
// The demand of a volume in one slot of time (a minute) is one count in the sketch of that day. On a day with a surge
// of one hour, 60 of 1,440 counts lie at the surge: a quantile of 0.99 includes it and one of 0.95 does not. Its weight
// declines over days rather than at once.
package forecast

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Settings configure a Recorder.
type Settings struct {
	Gateway    string
	Slot       time.Duration // interval over which demand is averaged
	Days       int           // number of days kept, including the current one
	MaxVolumes int           // maximum number of volumes; beyond it those with the least demand are dropped
}

// Default holds the default settings.
var Default = Settings{Slot: time.Minute, Days: 8, MaxVolumes: 10_000}

// Check returns an error that describes the first invalid setting.
func (s *Settings) Check() error {
	switch {
	case s.Slot < time.Second || s.Slot > time.Hour || (24*time.Hour)%s.Slot != 0:
		return fmt.Errorf("slot = %v: expected 1s to 1h, and a divisor of a day", s.Slot)
	case s.Days < 1 || s.Days > 366:
		return fmt.Errorf("days = %d: expected 1 to 366", s.Days)
	case s.MaxVolumes < 1 || s.MaxVolumes > 1_000_000:
		return fmt.Errorf("volumes = %d: expected 1 to 1,000,000", s.MaxVolumes)
	}
	return nil
}

// Recorder records the demand that one gateway sees. It is not safe for concurrent use.
type Recorder struct {
	settings       Settings
	currentSlot    int64 // number of the current slot, counted from 1970
	started        bool
	slotUnits      map[string]float64 // units requested in the current slot, by volume
	days           map[int64]*Day
	volumeNames    map[string]bool // names of the volumes in days
	DroppedVolumes uint64          // volumes dropped at the limit, since the start
}

// Day is the demand that one gateway saw on one day.
type Day struct {
	Slots   uint32            // number of slots during which the gateway ran
	Volumes map[string]Sketch // by volume, over the slots with demand
}

// Record is the demand that gateways saw, by gateway and by day, counted from 1970 (UTC).
type Record struct {
	Slot     time.Duration
	Gateways map[string]map[int64]*Day
}

// NewRecorder returns a Recorder that continues an earlier record of the gateway, or an empty one if previous is nil or
// was recorded with another slot.
func NewRecorder(settings Settings, previous *Record) (*Recorder, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("forecast: %w", err)
	}
	b := &Recorder{settings: settings, slotUnits: map[string]float64{}, days: map[int64]*Day{}, volumeNames: map[string]bool{}}
	if previous != nil && previous.Slot == settings.Slot {
		for day, d := range previous.Gateways[settings.Gateway] {
			b.days[day] = d.clone()
		}
	}
	b.rebuildVolumeNames()
	return b, nil
}

// clone returns a deep copy.
func (d *Day) clone() *Day {
	c := &Day{Slots: d.Slots, Volumes: make(map[string]Sketch, len(d.Volumes))}
	for v, s := range d.Volumes {
		c.Volumes[v] = slices.Clone(s)
	}
	return c
}

// Add records units that volumes requested up to now. A time before that of an earlier call counts as that earlier
// time.
func (b *Recorder) Add(now time.Time, units map[string]float64) {
	b.Advance(now)
	for v, u := range units {
		if u > 0 && !math.IsInf(u, 1) {
			b.slotUnits[v] += u
		}
	}
	if len(b.slotUnits) > 2*b.settings.MaxVolumes { // bounds the memory of the current slot
		b.limitSlotVolumes()
	}
}

// limitSlotVolumes keeps only the volumes with the highest demand in the current slot.
func (b *Recorder) limitSlotVolumes() {
	for _, v := range byDescendingSum(b.slotUnits)[b.settings.MaxVolumes:] {
		delete(b.slotUnits, v)
		b.DroppedVolumes++
	}
}

// Advance closes the slots that have ended. A gap of more than an hour without a call counts as time in which the
// gateway did not run; shorter gaps count as time without demand.
func (b *Recorder) Advance(now time.Time) {
	slot := now.UnixNano() / int64(b.settings.Slot)
	if !b.started {
		b.currentSlot, b.started = slot, true
	}
	if slot <= b.currentSlot {
		return
	}
	day := b.dayOf(b.currentSlot)
	day.Slots++
	for v, u := range b.slotUnits {
		if rate := u * 1000 / b.settings.Slot.Seconds(); rate >= 1 {
			day.Volumes[v] = day.Volumes[v].add(rate)
			b.volumeNames[v] = true
		}
	}
	clear(b.slotUnits)
	if gap := slot - b.currentSlot - 1; time.Duration(gap)*b.settings.Slot <= time.Hour {
		for s := b.currentSlot + 1; s < slot; s++ {
			b.dayOf(s).Slots++
		}
	}
	b.currentSlot = slot
	b.enforceLimits()
}

// dayOf returns the day of a slot and creates it if needed.
func (b *Recorder) dayOf(slot int64) *Day {
	number := slot * int64(b.settings.Slot/time.Second) / 86_400
	d := b.days[number]
	if d == nil {
		d = &Day{Volumes: map[string]Sketch{}}
		b.days[number] = d
	}
	return d
}

// rebuildVolumeNames sets volumeNames to the volumes of the days kept.
func (b *Recorder) rebuildVolumeNames() {
	clear(b.volumeNames)
	for _, d := range b.days {
		for v := range d.Volumes {
			b.volumeNames[v] = true
		}
	}
}

// enforceLimits removes days that are too old, and volumes beyond the limit: those with the least demand, by the sum of
// their rates over all days kept.
func (b *Recorder) enforceLimits() {
	today := b.currentSlot * int64(b.settings.Slot/time.Second) / 86_400
	daysBefore := len(b.days)
	maps.DeleteFunc(b.days, func(k int64, _ *Day) bool { return k <= today-int64(b.settings.Days) })
	if len(b.days) < daysBefore {
		b.rebuildVolumeNames()
	}
	if len(b.volumeNames) <= b.settings.MaxVolumes {
		return
	}
	sums := map[string]float64{}
	for _, k := range slices.Sorted(maps.Keys(b.days)) { // sorted, since floating-point sums depend on the order
		for v, s := range b.days[k].Volumes {
			for _, x := range s {
				sums[v] += float64(x.Count) * bucketRate(x.Index)
			}
		}
	}
	// Drops 5% more than needed, so that not every slot has to sort.
	for _, v := range byDescendingSum(sums)[b.settings.MaxVolumes-b.settings.MaxVolumes/20:] {
		for _, d := range b.days {
			delete(d.Volumes, v)
		}
		delete(b.volumeNames, v)
		b.DroppedVolumes++
	}
}

// byDescendingSum returns the names ordered by decreasing sum, then by name.
func byDescendingSum(sums map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(sums), func(x, y string) int {
		return cmp.Or(cmp.Compare(sums[y], sums[x]), cmp.Compare(x, y))
	})
}

// Record returns a copy of what the recorder holds, without the current slot.
func (b *Recorder) Record() *Record {
	r := &Record{Slot: b.settings.Slot, Gateways: map[string]map[int64]*Day{b.settings.Gateway: {}}}
	for k, d := range b.days {
		r.Gateways[b.settings.Gateway][k] = d.clone()
	}
	return r
}

// Merge combines two records: the result has the days of all gateways in either. If both have the same day of a
// gateway, the later version, which has more slots, is kept. Merging is associative, commutative and idempotent, so
// the order in which records are gathered does not matter, nor does gathering one twice. Both records must have the
// same slot.
func Merge(a, b *Record) (*Record, error) {
	if a.Slot != b.Slot {
		return nil, fmt.Errorf("forecast: merge: slots of %v and of %v: gateways must be set alike (forecast.slot)", a.Slot, b.Slot)
	}
	r := &Record{Slot: a.Slot, Gateways: map[string]map[int64]*Day{}}
	for _, from := range []*Record{a, b} {
		for g, days := range from.Gateways {
			if r.Gateways[g] == nil {
				r.Gateways[g] = map[int64]*Day{}
			}
			for k, d := range days {
				if old := r.Gateways[g][k]; old == nil || d.supersedes(old) {
					r.Gateways[g][k] = d
				}
			}
		}
	}
	return r, nil
}

// supersedes reports whether d is kept rather than other when both are records of the same day. It is a total order:
// by number of slots, then by content, so that Merge does not depend on the order of its arguments.
func (d *Day) supersedes(other *Day) bool {
	if d.Slots != other.Slots {
		return d.Slots > other.Slots
	}
	if len(d.Volumes) != len(other.Volumes) {
		return len(d.Volumes) > len(other.Volumes)
	}
	names := slices.Sorted(maps.Keys(d.Volumes))
	if c := slices.Compare(names, slices.Sorted(maps.Keys(other.Volumes))); c != 0 {
		return c > 0
	}
	for _, v := range names {
		if c := slices.CompareFunc(d.Volumes[v], other.Volumes[v], func(x, y Bucket) int {
			if x.Index != y.Index {
				return int(x.Index) - int(y.Index)
			}
			return int(int64(x.Count) - int64(y.Count))
		}); c != 0 {
			return c > 0
		}
	}
	return false
}

// Demand is the expected demand of a volume, in milli-units per second.
type Demand struct {
	AtQuantile int64   `json:"demand"` // at the requested quantile
	Mean       int64   `json:"mean"`
	Peak       int64   `json:"peak"` // highest rate of a slot kept
	Gateways   int     `json:"gateways"`
	Days       float64 `json:"days"` // length of the record in days; the longest of all gateways
}

// unitWeight is the weight of a slot of the latest day. Slots of older days have smaller integer weights; integers make
// the quantile independent of the order of summation.
const unitWeight = 1 << 20

// EstimateDemands returns the expected demand of all volumes of a record at a quantile (0 to 1) of all slots. A slot of
// a day that is halfLife days old counts half. The demand of a volume at several gateways is the sum of their
// quantiles. The sum is exact if surges occur at all gateways together, as they do when clients spread over gateways,
// and otherwise an overestimate.
func EstimateDemands(r *Record, quantile, halfLife float64) (map[string]Demand, error) {
	if !(quantile > 0 && quantile <= 1) || !(halfLife > 0) {
		return nil, fmt.Errorf("forecast: quantile %v, half-life %v days: expected both above 0, and the quantile at most 1",
			quantile, halfLife)
	}
	lastDay := int64(math.MinInt64)
	for _, days := range r.Gateways {
		for k := range days {
			lastDay = max(lastDay, k)
		}
	}
	demands := map[string]Demand{}
	for _, g := range slices.Sorted(maps.Keys(r.Gateways)) {
		days := r.Gateways[g]
		volumes := map[string]bool{}
		slots, known := int64(0), int64(0)
		weight := map[int64]int64{}
		for k, d := range days {
			weight[k] = max(1, int64(math.Round(unitWeight*math.Exp2(-float64(lastDay-k)/halfLife))))
			slots += weight[k] * int64(d.Slots)
			known += int64(d.Slots)
			for v := range d.Volumes {
				volumes[v] = true
			}
		}
		for v := range volumes {
			counts := map[uint16]int64{}
			for k, d := range days {
				for _, b := range d.Volumes[v] {
					counts[b.Index] += weight[k] * int64(b.Count)
				}
			}
			x := demands[v]
			q, mean, peak := weightedStats(counts, slots, quantile)
			x.AtQuantile, x.Mean, x.Peak = x.AtQuantile+q, x.Mean+mean, x.Peak+peak
			x.Gateways++
			x.Days = max(x.Days, float64(known)*r.Slot.Hours()/24)
			demands[v] = x
		}
	}
	return demands, nil
}

// weightedStats returns a quantile, the mean and the maximum of the rates of weighted slots. Slots that are not in
// counts had no demand.
func weightedStats(counts map[uint16]int64, slots int64, quantile float64) (q, mean, peak int64) {
	indexes := slices.Sorted(maps.Keys(counts))
	weightAbove := slots - int64(math.Ceil(quantile*float64(slots))) // weight that may lie above the quantile
	sum, found := 0.0, false
	for _, k := range slices.Backward(indexes) {
		value := int64(math.Round(bucketRate(k)))
		sum += bucketRate(k) * float64(counts[k])
		peak = max(peak, value)
		if weightAbove -= counts[k]; weightAbove < 0 && !found {
			q, found = value, true
		}
	}
	return q, int64(math.Round(sum / float64(max(1, slots)))), peak
}
