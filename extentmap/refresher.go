package extentmap

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// RefreshSettings control how parts of the map that are unknown, or wrong according to nodes, are refreshed and
// what requests for them do meanwhile.
type RefreshSettings struct {
	Group            uint64        // number of extents refreshed together, aligned; a power of two
	MaxInFlight      int           // maximum number of concurrent refreshes
	MaxGroups        int           // maximum number of stale or unknown groups; requests for others are refused
	HintDuration     time.Duration // time for which a location reported by a node is used without confirmation
	AbsenceDuration  time.Duration // time after a refresh for which extents missing from it count as absent
	MaxSilence       time.Duration // time without contact with the authority after which the map is not used; 0: no limit
	MinRetryInterval time.Duration // retry interval after the first failed refresh; doubled after each further failure
	MaxRetryInterval time.Duration // upper bound of the retry interval
}

// DefaultRefresh suits an authority that answers a refresh within milliseconds.
var DefaultRefresh = RefreshSettings{Group: 4096, MaxInFlight: 16, MaxGroups: 65536, HintDuration: time.Minute, AbsenceDuration: time.Second,
	MinRetryInterval: 50 * time.Millisecond, MaxRetryInterval: 5 * time.Second}

// Check returns an error that describes the first invalid setting.
func (s *RefreshSettings) Check() error {
	switch {
	case s.Group == 0 || s.Group&(s.Group-1) != 0:
		return fmt.Errorf("group = %d extents: expected a power of two", s.Group)
	case s.MaxInFlight < 1:
		return fmt.Errorf("maximum of concurrent refreshes = %d: expected at least 1", s.MaxInFlight)
	case s.MaxGroups < s.MaxInFlight:
		return fmt.Errorf("maximum of groups = %d: expected at least the maximum of concurrent refreshes, %d", s.MaxGroups, s.MaxInFlight)
	case s.HintDuration < 0 || s.AbsenceDuration < 0 || s.MaxSilence < 0:
		return fmt.Errorf("hint duration, absence duration, maximum silence = %v, %v, %v: expected no negative value", s.HintDuration, s.AbsenceDuration, s.MaxSilence)
	case s.MinRetryInterval <= 0 || s.MaxRetryInterval < s.MinRetryInterval:
		return fmt.Errorf("retry interval = %v up to %v: expected more than 0s, and a maximum that is not below the minimum", s.MinRetryInterval, s.MaxRetryInterval)
	}
	return nil
}

// Action is what to do with a request.
type Action int

// Actions for a request.
const (
	Use    Action = iota // send the request to Decision.Location
	Wait                 // wait until the refresh of its group is answered
	Refuse               // refuse it with the reason Why and the retry time RetryAfter
	Absent               // the extent does not exist
)

// Decision is the result of Refresher.Decide for one request.
type Decision struct {
	Action
	Location                 // for Use
	Version    uint64        // version of the map for the attempt to carry
	RetryAfter time.Duration // estimated time until a refresh is answered
	Why        string
}

// MovedAnswer is a node's answer "moved": as of Version of the map, the node does not hold the extent.
type MovedAnswer struct {
	Version  uint64
	Location // the new location, if Known
	Known    bool
}

// Refresher tracks which parts of the map are unknown or reported wrong. It decides which requests wait, which
// ranges to ask the authority for, and how long a location reported by a node is used. One refresh serves all
// requests for its group.
type Refresher struct {
	settings    RefreshSettings
	groups      map[groupKey]*group
	inFlight    int
	overdue     int           // groups that were due but not requested at the last call of Due, and groups added since
	meanLatency time.Duration // moving average of a refresh's duration
	lastSeen    time.Duration // time of the last contact with the authority
	counts      Counts
}

// Counts are totals since the start.
type Counts struct {
	Moved     uint64 // answers of nodes that were newer than the map
	Outdated  uint64 // answers of nodes that were older than the map
	Disputed  uint64 // answers of nodes that contradict a completed refresh
	Refreshes uint64 // refreshes started
	Failed    uint64 // refreshes that failed
	Waited    uint64 // requests that had to wait for a refresh
	Refused   uint64
}

type groupKey struct {
	volume string
	index  uint64
}

// group is the state of an aligned group of extents that is unknown or reported wrong.
type group struct {
	wantedSince time.Duration // orders due groups
	nextRefresh time.Duration // earliest time of the next refresh
	lastRefresh time.Duration // start of the refresh in flight, else the time of the last successful answer
	inFlight    bool
	answered    bool   // at least one refresh succeeded
	failures    int    // consecutive failed refreshes
	staleBefore uint64 // locations of lower versions are wrong; 0: none are
	hints       []hint // locations reported by nodes
	disputes    int    // answers of nodes that contradicted a refresh
	idle        bool   // no refresh is needed; the group is kept for its hints and its history
}

// hint is a location reported by a node.
type hint struct {
	extent   uint64
	location Location
	version  uint64
	expiry   time.Duration
}

// NewRefresher returns a Refresher without groups. The authority counts as contacted now.
func NewRefresher(set RefreshSettings, now time.Duration) (*Refresher, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("extentmap: %w", err)
	}
	return &Refresher{settings: set, groups: map[groupKey]*group{}, meanLatency: set.MinRetryInterval, lastSeen: now}, nil
}

// Counts returns the totals since the start.
func (b *Refresher) Counts() Counts { return b.counts }

// AuthoritySeen records a contact with the authority.
func (b *Refresher) AuthoritySeen(now time.Duration) { b.lastSeen = max(b.lastSeen, now) }

func (b *Refresher) groupOf(volume string, extent uint64) groupKey {
	return groupKey{volume, extent / b.settings.Group}
}

// Range returns the range of the group that contains an extent.
func (b *Refresher) Range(volume string, extent uint64) Range {
	from := extent &^ (b.settings.Group - 1)
	return Range{volume, from, from + b.settings.Group}
}

// Decide returns what to do with a request for an extent whose client waits for at most patience.
func (b *Refresher) Decide(v *View, volume string, extent uint64, patience, now time.Duration) Decision {
	var location Location
	var version uint64
	known := false
	if vol, ok := v.Volume(volume); ok {
		location, version, known = v.Lookup(vol, extent)
	}
	k := b.groupOf(volume, extent)
	g := b.groups[k]
	if b.settings.MaxSilence > 0 && now-b.lastSeen > b.settings.MaxSilence {
		return b.waitOrRefuse(k, g, patience, now, fmt.Sprintf("the map was last confirmed %v ago", (now-b.lastSeen).Round(time.Second)))
	}
	if g != nil {
		for i := range g.hints { // a hint newer than the map is used until the map catches up
			if t := &g.hints[i]; t.extent == extent && (!known || t.version > version) && t.expiry > now {
				b.requestRefresh(g, now)
				return Decision{Action: Use, Location: t.location, Version: t.version}
			}
		}
		if known && g.staleBefore > version {
			return b.waitOrRefuse(k, g, patience, now, "where it lies has changed")
		}
	}
	switch {
	case !known:
		return b.waitOrRefuse(k, g, patience, now, "where it lies is not known")
	case location.Shard != NoShard:
		return Decision{Action: Use, Location: location, Version: version}
	case g != nil && !g.inFlight && g.answered && now-g.lastRefresh < b.settings.AbsenceDuration:
		return Decision{Action: Absent, Version: version}
	}
	if b.settings.AbsenceDuration == 0 {
		return Decision{Action: Absent, Version: version}
	}
	if g != nil && g.idle {
		g.idle = false
	}
	return b.waitOrRefuse(k, g, patience, now, "where it lies was not known to the authority")
}

// waitOrRefuse makes a request wait for the refresh of its group, or refuses it if the answer is expected too
// late.
func (b *Refresher) waitOrRefuse(k groupKey, g *group, patience, now time.Duration, why string) Decision {
	if g == nil {
		if len(b.groups) >= b.settings.MaxGroups {
			b.counts.Refused++
			return Decision{Action: Refuse, RetryAfter: b.meanLatency, Why: fmt.Sprintf("%s, and %d parts of the map are being asked for, which is the most", why, len(b.groups))}
		}
		g = &group{wantedSince: now, nextRefresh: now}
		b.groups[k] = g
		b.overdue++
	}
	b.requestRefresh(g, now)
	if in := b.expectedWait(g, now); in >= patience {
		b.counts.Refused++
		return Decision{Action: Refuse, RetryAfter: in, Why: why}
	}
	b.counts.Waited++
	return Decision{Action: Wait, Why: why}
}

// requestRefresh schedules a refresh of an idle group.
func (b *Refresher) requestRefresh(g *group, now time.Duration) {
	if g.idle {
		g.idle, g.wantedSince = false, now
	}
}

// expectedWait estimates the time until the group's refresh is answered. It counts the overdue groups ahead of
// this one; after failures it adds the backoff, as the refresh in flight is assumed to fail too.
func (b *Refresher) expectedWait(g *group, now time.Duration) time.Duration {
	if g.inFlight {
		return max(b.meanLatency-(now-g.lastRefresh), b.meanLatency/4) + b.backoff(g.failures)
	}
	return max(g.nextRefresh-now, 0) + b.meanLatency*time.Duration(1+b.overdue/b.settings.MaxInFlight)
}

// backoff returns the retry interval after a number of consecutive failures.
func (b *Refresher) backoff(failed int) time.Duration {
	if failed == 0 {
		return 0
	}
	return min(b.settings.MaxRetryInterval, b.settings.MinRetryInterval<<min(failed-1, 20))
}

// Moved records a node's answer that an extent has moved. It reports true if the answer is of a later version than
// the map has for the extent. Otherwise the node is behind the map, or it contradicts a completed refresh; in the
// latter case another refresh is scheduled, with a longer interval after each such answer.
func (b *Refresher) Moved(v *View, volume string, extent uint64, w MovedAnswer, now time.Duration) (newer bool, err error) {
	var version uint64
	known := false
	if vol, ok := v.Volume(volume); ok {
		_, version, known = v.Lookup(vol, extent)
	}
	if known && w.Version < version {
		b.counts.Outdated++
		return false, nil
	}
	k := b.groupOf(volume, extent)
	g := b.groups[k]
	if g == nil {
		if len(b.groups) >= b.settings.MaxGroups {
			return false, fmt.Errorf("extentmap: %s: a node says that extent %d has moved, but %d parts of the map are being asked for, which is the most",
				volume, extent, len(b.groups))
		}
		g = &group{wantedSince: now, nextRefresh: now}
		b.groups[k] = g
	}
	if known && w.Version <= max(version, v.Watermark) && g.idle && g.answered {
		b.counts.Disputed++
		g.disputes++
		g.nextRefresh = max(g.nextRefresh, now+b.backoff(g.disputes))
		b.requestRefresh(g, now)
		g.staleBefore = max(g.staleBefore, version+1)
		return false, nil
	}
	b.requestRefresh(g, now)
	b.counts.Moved++
	g.staleBefore = max(g.staleBefore, w.Version, version+1)
	g.hints = slices.DeleteFunc(g.hints, func(t hint) bool { return t.expiry <= now || t.extent == extent && t.version <= w.Version })
	if w.Known && len(g.hints) < int(min(b.settings.Group, 4096)) && !slices.ContainsFunc(g.hints, func(t hint) bool { return t.extent == extent }) {
		g.hints = append(g.hints, hint{extent, w.Location, w.Version, now + b.settings.HintDuration})
	}
	return true, nil
}

// Due returns the ranges to request from the authority now, those that wait longest first. Each counts as in
// flight until Answered is called for it.
func (b *Refresher) Due(now time.Duration) []Range {
	if b.inFlight >= b.settings.MaxInFlight {
		return nil
	}
	type candidate struct {
		groupKey
		*group
	}
	var list []candidate
	for k, g := range b.groups {
		if !g.inFlight && !g.idle && g.nextRefresh <= now {
			list = append(list, candidate{k, g})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.wantedSince, y.wantedSince), cmp.Compare(x.volume, y.volume), cmp.Compare(x.index, y.index))
	})
	b.overdue = max(0, len(list)-(b.settings.MaxInFlight-b.inFlight))
	var due []Range
	for _, w := range list[:min(len(list), b.settings.MaxInFlight-b.inFlight)] {
		w.inFlight, w.lastRefresh = true, now
		b.inFlight++
		b.counts.Refreshes++
		due = append(due, b.Range(w.volume, w.index*b.settings.Group))
	}
	return due
}

// Next returns the earliest time at which a refresh is due; ok is false if none is scheduled.
func (b *Refresher) Next() (at time.Duration, ok bool) {
	for _, g := range b.groups {
		if !g.inFlight && !g.idle && (!ok || g.nextRefresh < at) {
			at, ok = g.nextRefresh, true
		}
	}
	return at, ok
}

// Answered records the end of a refresh. If it succeeded, the caller has already applied the answer with
// Map.Fetched, and the hints for the group are dropped.
func (b *Refresher) Answered(r Range, succeeded bool, now time.Duration) {
	g := b.groups[b.groupOf(r.Volume, r.From)]
	if g == nil || !g.inFlight {
		return
	}
	g.inFlight = false
	b.inFlight--
	if !succeeded {
		g.failures++
		b.counts.Failed++
		g.nextRefresh = now + b.backoff(g.failures)
		return
	}
	b.AuthoritySeen(now)
	b.meanLatency += (now - g.lastRefresh - b.meanLatency) / 4
	g.failures, g.staleBefore, g.hints, g.idle, g.answered, g.lastRefresh = 0, 0, nil, true, true, now
}

// Sweep drops expired hints and groups that are no longer needed. It is meant to be called about once a second.
func (b *Refresher) Sweep(now time.Duration) {
	keep := max(b.settings.AbsenceDuration, b.settings.MaxRetryInterval)
	maps.DeleteFunc(b.groups, func(_ groupKey, g *group) bool {
		g.hints = slices.DeleteFunc(g.hints, func(t hint) bool { return t.expiry <= now })
		return g.idle && !g.inFlight && now-g.lastRefresh > keep
	})
}

// Len returns the number of groups.
func (b *Refresher) Len() int { return len(b.groups) }
