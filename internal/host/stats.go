package host

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhold/control"
)

const statsInterval = 200 * time.Millisecond // between two publications of Stats

// Histogram is a histogram of durations from one microsecond to one minute.
type Histogram struct{ h *hdrhistogram.Histogram }

// Record adds a duration. It is not safe for concurrent use.
func (t *Histogram) Record(d time.Duration) { t.record(d) }

// Copy returns an independent copy.
func (t Histogram) Copy() Histogram {
	if t.h == nil {
		return t
	}
	return Histogram{hdrhistogram.Import(t.h.Export())}
}

func (t *Histogram) record(d time.Duration) {
	if t.h == nil {
		t.h = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
	}
	_ = t.h.RecordValue(min(max(1, d.Microseconds()), time.Minute.Microseconds())) // clamped, so never out of range
}

// Percentile returns the value at a percentile, or 0 if nothing was recorded.
func (t Histogram) Percentile(percentile float64) time.Duration {
	if t.h == nil {
		return 0
	}
	return time.Duration(t.h.ValueAtPercentile(percentile)) * time.Microsecond
}

// Stats are the host's counters since its start and its current numbers of requests, attempts and timers.
type Stats struct {
	Turns, Events, Requests, Attempts uint64
	Answers                           [3]uint64 // by Kind
	Results                           [9]uint64 // by control.Result
	Placed                            [3]uint64 // attempts at new extents: in the first tier, a later tier, elsewhere
	ClientsGone                       uint64    // clients that disconnected before their answer
	LateOutcomes                      uint64    // outcomes reported after the end of their attempt
	RefusedAtLimit                    uint64    // refused at the limit of open requests
	Defects                           uint64    // controller faults, such as no decision in time: must stay 0
	Open, InFlight, Timers            int
	Mailbox                           Histogram // from Submit to the controller
	Decide                            Histogram // from Submit to the first Send
	Outcome                           Histogram // from Send to the served answer
}

// publishStats publishes a copy of the counters for Stats.
func (h *Host) publishStats() {
	s := h.stats
	for _, t := range []*Histogram{&s.Mailbox, &s.Decide, &s.Outcome} {
		*t = t.Copy()
	}
	s.Open, s.InFlight, s.Timers = len(h.requests), len(h.inFlight), h.wheel.Len()
	h.statsMu.Lock()
	s.RefusedAtLimit = h.published.RefusedAtLimit
	h.published = s
	h.statsMu.Unlock()
}

// Stats returns the counters as last published: at most 200 ms ago while the host is busy, longer ago while it is
// idle.
func (h *Host) Stats() Stats {
	h.statsMu.Lock()
	defer h.statsMu.Unlock()
	return h.published
}

// ResultName returns the name of a result for logs and metrics.
func ResultName(r control.Result) string { return resultNames[r] }
