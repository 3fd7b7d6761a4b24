package control

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file bounds what a controller remembers. Clients choose the names of volumes and items, and discovery
// those of nodes, so each number of them has a limit, however fast new ones come.

const (
	defaultMaxNames = 1 << 14

	// BytesPerName is the memory of a volume's account and of the first tries remembered for each of
	// Settings.MaxNames, in maps that are half full.
	BytesPerName = 1 << 10

	dropFraction  = 4    // one in this many volumes is dropped at the limit
	pruneInterval = 1024 // requests after which those outside of the retry budget's span are dropped
)

// firstTries remembers when the first try of a request that may come again arrived, in two generations: at the
// limit the older one is dropped.
type firstTries struct{ current, older map[retryKey]time.Duration }

func (f *firstTries) get(key retryKey) (at time.Duration, known bool) {
	if at, known = f.current[key]; !known {
		at, known = f.older[key]
	}
	return at, known
}

func (f *firstTries) add(key retryKey, at time.Duration, limit int) {
	if len(f.current) >= limit {
		f.older, f.current = f.current, nil
	}
	if f.current == nil {
		f.current = map[retryKey]time.Duration{}
	}
	f.current[key] = at
}

func (f *firstTries) len() int { return len(f.current) + len(f.older) }

// remove removes the entries for whose time old returns true.
func (f *firstTries) remove(old func(time.Duration) bool) {
	for _, entries := range []map[retryKey]time.Duration{f.current, f.older} {
		maps.DeleteFunc(entries, func(_ retryKey, at time.Duration) bool { return old(at) })
	}
}

// removeStale removes state that nothing can refer to any more, once in every stateRetention.
func (c *Controller) removeStale() {
	if c.now < c.cleanedAt+stateRetention {
		return
	}
	c.cleanedAt = c.now
	c.withinRetryBudget() // removes the entries that have left its span
	old := func(at time.Duration) bool { return c.now-at > stateRetention }
	c.firstTries.remove(old)
	maps.DeleteFunc(c.volumes, func(_ string, v *volume) bool { return old(v.demand.at) })
	maps.DeleteFunc(c.servedByShard, func(_ int, f decayingSum) bool { return old(f.at + stateRetention) })
	maps.DeleteFunc(c.items, func(_ string, q *itemQueue) bool {
		return len(q.waiting) < 1 && old(q.pausedUntil)
	})
	c.removeGoneNodes()
}

// removeGoneNodes removes the nodes that are not listed and have no work.
func (c *Controller) removeGoneNodes() {
	gone := func(n *node) bool { return !n.listed && len(n.held)+len(n.inFlight) == 0 }
	c.nodesByID = slices.DeleteFunc(c.nodesByID, gone)
	maps.DeleteFunc(c.nodes, func(_ string, n *node) bool { return gone(n) })
}

// makeRoomForVolume drops the accounts that were used longest ago if there are as many as allowed. It reports
// whether another account may be added. An account with an open request is kept, as is one whose limit has
// been used and has not filled again: a new account would allow the same units a second time.
func (c *Controller) makeRoomForVolume() bool {
	if len(c.volumes) < c.settings.MaxNames {
		return true
	}
	type account struct {
		id     string
		usedAt time.Duration
	}
	var spare []account
	for id, v := range c.volumes {
		if v.open == 0 && (v.plan.LimitRate <= 0 || v.limit.refill(c.now) >= v.plan.LimitSlack/v.hosts) {
			spare = append(spare, account{id, v.demand.at})
		}
	}
	slices.SortFunc(spare, func(a, b account) int {
		return cmp.Or(cmp.Compare(a.usedAt, b.usedAt), cmp.Compare(a.id, b.id))
	})
	for _, a := range spare[:min(len(spare), max(1, len(c.volumes)/dropFraction))] {
		delete(c.volumes, a.id)
	}
	return len(c.volumes) < c.settings.MaxNames
}

// addRecentRequest counts an accepted request for the retry budget.
func (c *Controller) addRecentRequest() {
	c.recentRequests = append(c.recentRequests, timedAmount{c.now, 1})
	if len(c.recentRequests)%pruneInterval == 0 {
		c.withinRetryBudget()
	}
}
