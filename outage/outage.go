// Package outage detects shards whose nodes do not answer, and decides when to probe them and when clients that need
// them should retry. The package is pure decision code: it does no I/O, reads no clock and starts no goroutine; times
// are passed in. The gateway calls RecordResult for each outcome and ProbesDue for probes, and its fronts call Lost
// before a request for data on one shard.
//
// Package control detects suspect nodes by itself and lets a request through now and then. But every extent of every
// file on such a node is a request that control has to refuse, up to four times each. This package treats the shard
// as lost for all of these requests: a probe is sent from time to time on behalf of all, no request uses up its
// tries, and the other requests of a transfer proceed.
package outage

import (
	"fmt"
	"slices"
	"time"
)

// Settings configure a Tracker.
type Settings struct {
	LossThreshold    int           // consecutive silences, without an answer in between, after which a shard is lost
	SilenceInterval  time.Duration // silences closer together count as one: a dropped connection ends many requests
	MinProbeInterval time.Duration // smallest interval between probes of a lost shard
	ProbeFraction    float64       // interval between later probes as a fraction of the silent time so far ...
	MaxProbeInterval time.Duration // ... up to this limit
	MinRetryAfter    time.Duration // bounds of the retry-after given to clients
	MaxRetryAfter    time.Duration
	RetryQuantile    float64 // fraction of clients to be served when they retry as told, judging by past outages
}

// Default holds the default settings. With a probe fraction of 0.2, a recovered shard is found within a fifth of the
// time for which it was lost.
var Default = Settings{LossThreshold: 3, SilenceInterval: 50 * time.Millisecond, MinProbeInterval: 250 * time.Millisecond,
	ProbeFraction: 0.2, MaxProbeInterval: 5 * time.Second, MinRetryAfter: time.Second, MaxRetryAfter: 30 * time.Second,
	RetryQuantile: 0.8}

const maxPastOutages = 64 // number of past outages kept, over all shards

// Check returns an error that describes the first invalid setting.
func (s *Settings) Check() error {
	switch {
	case s.LossThreshold < 1:
		return fmt.Errorf("loss threshold = %d: expected at least 1", s.LossThreshold)
	case s.MinProbeInterval <= 0 || s.MaxProbeInterval < s.MinProbeInterval:
		return fmt.Errorf("min probe interval = %v, max probe interval = %v: expected 0 < min <= max",
			s.MinProbeInterval, s.MaxProbeInterval)
	case !(s.ProbeFraction >= 0 && s.ProbeFraction <= 1):
		return fmt.Errorf("probe fraction = %v: expected 0 to 1", s.ProbeFraction)
	case s.SilenceInterval < 0 || s.MinRetryAfter < 0 || s.MaxRetryAfter < s.MinRetryAfter:
		return fmt.Errorf("silence interval = %v, min retry-after = %v, max retry-after = %v: expected 0 <= min <= max",
			s.SilenceInterval, s.MinRetryAfter, s.MaxRetryAfter)
	case !(s.RetryQuantile > 0 && s.RetryQuantile <= 1):
		return fmt.Errorf("retry quantile = %v: expected more than 0, at most 1", s.RetryQuantile)
	}
	return nil
}

// Tracker tracks shards that do not answer. It is not safe for concurrent use. It holds an entry only for listed shards
// that have been silent since their last answer.
type Tracker struct {
	settings    Settings
	silent      map[int]*silentShard
	pastOutages []time.Duration // durations of the latest outages
}

// silentShard is the state of a shard that has been silent since its last answer.
type silentShard struct {
	since       time.Duration // time of the first silence
	lastCounted time.Duration // time of the last silence that was counted
	silences    int
	lost        bool
	nextProbe   time.Duration // time of the next probe
}

// New returns an empty Tracker.
func New(settings Settings) (*Tracker, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("outage: %w", err)
	}
	return &Tracker{settings: settings, silent: map[int]*silentShard{}}, nil
}

// Change is the effect of a call to RecordResult.
type Change int

// Changes of a shard's state.
const (
	NoChange       Change = iota
	ShardLost             // the shard is lost as of now
	ShardRecovered        // a lost shard answers again
)

// RecordResult records that a shard answered, with whatever result, or gave no answer: the connection failed or was
// dropped, or the answer did not come in time. The duration returned with ShardLost and ShardRecovered is how long the
// shard was silent.
func (b *Tracker) RecordResult(id int, answered bool, now time.Duration) (Change, time.Duration) {
	s := b.silent[id]
	if answered {
		delete(b.silent, id)
		if s != nil && s.lost {
			if b.pastOutages = append(b.pastOutages, now-s.since); len(b.pastOutages) > maxPastOutages {
				b.pastOutages = b.pastOutages[1:]
			}
			return ShardRecovered, now - s.since
		}
		return NoChange, 0
	}
	if s == nil {
		s = &silentShard{since: now, lastCounted: now - b.settings.SilenceInterval}
		b.silent[id] = s
	}
	if now < s.lastCounted+b.settings.SilenceInterval {
		return NoChange, 0
	}
	s.lastCounted = now
	if s.silences++; s.lost || s.silences < b.settings.LossThreshold {
		return NoChange, 0
	}
	s.lost, s.nextProbe = true, now // probe at once: the cause may only be dropped connections
	return ShardLost, now - s.since
}

// NodeChanged records a change in the register: a node of the shard is new or has moved. A lost shard is then probed at
// once.
func (b *Tracker) NodeChanged(id int, now time.Duration) {
	if s := b.silent[id]; s != nil && s.lost {
		s.nextProbe = min(s.nextProbe, now)
	}
}

// Retain removes shards that are no longer listed.
func (b *Tracker) Retain(listed func(id int) bool) {
	for id := range b.silent {
		if !listed(id) {
			delete(b.silent, id)
		}
	}
}

// Lost returns whether a shard is lost, for how long it has been silent, and after what time a client should retry.
// By that time a fraction of RetryQuantile of the past outages that lasted longer than this one so far had ended;
// without such outages it is as long as the silence so far. It lies within the bounds of the settings, and not before
// the next probe; SilenceInterval is added.
func (b *Tracker) Lost(id int, now time.Duration) (silent, retryAfter time.Duration, lost bool) {
	s := b.silent[id]
	if s == nil || !s.lost {
		return 0, 0, false
	}
	silent = now - s.since
	retryAfter = max(b.settings.MinRetryAfter, min(b.settings.MaxRetryAfter, b.remaining(silent)), s.nextProbe-now)
	return silent, retryAfter + b.settings.SilenceInterval, true
}

// remaining estimates how much longer an outage lasts. Where outages are alike, as for a process that is restarted or
// a node that is upgraded, past ones give the estimate. If none lasted as long, the estimate is as long again as the
// shard has been silent.
func (b *Tracker) remaining(silent time.Duration) time.Duration {
	var longer []time.Duration
	for _, duration := range b.pastOutages {
		if duration > silent {
			longer = append(longer, duration-silent)
		}
	}
	if len(longer) == 0 {
		return silent
	}
	slices.Sort(longer)
	return longer[min(len(longer)-1, int(b.settings.RetryQuantile*float64(len(longer))))]
}

// ProbesDue returns the lost shards that are to be probed now, ordered by ID, and schedules their next probes.
func (b *Tracker) ProbesDue(now time.Duration) (due []int) {
	for id, s := range b.silent {
		if s.lost && now >= s.nextProbe {
			due = append(due, id)
			s.nextProbe = now + min(b.settings.MaxProbeInterval, max(b.settings.MinProbeInterval,
				time.Duration(b.settings.ProbeFraction*float64(now-s.since))))
		}
	}
	slices.Sort(due)
	return due
}

// LostShards returns the lost shards, ordered by ID.
func (b *Tracker) LostShards() (lost []int) {
	for id, s := range b.silent {
		if s.lost {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}
