// Package discovery follows the platform's node list over HTTP/1.1: a watch is a response that sends one JSON object
// after another, and is requested again when it ends or falls silent (watch.go reads one connection). Package
// membership decides which updates apply and when a watch is requested. internal/live creates the feed, which passes
// node lists to Host.List.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/membership"
)

// Host receives node lists.
type Host interface {
	List(host.List)
	StartedAt(node string, wall time.Time) time.Duration
}

// Feed follows the node list of one discovery address at a time.
type Feed struct {
	host   Host
	log    *slog.Logger
	timing membership.Timing
	events chan any

	mu             sync.Mutex
	addr           string
	addressChanged chan struct{} // capacity 1; signals that the address has changed
	state          State

	unapplied entryBudget // of entries that the watches have read

	// The fields below are used by Run only, and by SetKnownList before it.
	followed  string // the address of new requests
	list      *membership.List
	cached    *host.List // the list known at the start, not yet delivered to the host
	current   *watch
	trials    map[membership.TrialID]*watch
	scheduler *membership.Scheduler
	startedAt time.Time
}

// State is the state of a feed, for operators.
type State struct {
	Address      string
	Rev          uint64
	Nodes        int
	Bytes        int64         // memory that the nodes take
	LastReceived time.Time     // when the current watch last received bytes
	Requests     uint64        // requests for a watch or a list since the start
	Unanswered   int           // open requests without an object
	AnswerTime   time.Duration // from the last answered request to its first object
	Skipped      uint64        // invalid entries skipped since the start
	Watching     bool
}

// New returns a feed that follows discovery at an address, to be started with Run. maxBytes bounds the memory for the list of
// nodes, in all parts of the process. Entries that have been read and not applied may take half as much beside it.
func New(addr string, maxBytes int64, h Host, log *slog.Logger) *Feed {
	return &Feed{host: h, log: log, timing: membership.DefaultTiming, events: make(chan any), addr: addr, unapplied: entryBudget{limit: maxBytes / 2},
		addressChanged: make(chan struct{}, 1), list: membership.New(maxBytes), trials: map[membership.TrialID]*watch{}}
}

// SetKnownList sets the node list that this host held before its restart. The list may be out of date, and the
// agent's current list is binding from the start of the process. The known list is therefore delivered to the host
// only with the agent's first object, or after KnownListDelay without one. It must be called before Run.
func (f *Feed) SetKnownList(known []byte) error {
	var u membership.Update
	if err := json.Unmarshal(known, &u); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	u.All = true
	l := f.applyUpdate(control.ListCached, u)
	f.cached = l
	return nil
}

// SetAddress changes the address of discovery. The watch at the former address stays open until a watch at the new
// one has sent an object.
func (f *Feed) SetAddress(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr == addr {
		return
	}
	f.addr = addr
	select {
	case f.addressChanged <- struct{}{}:
	default:
	}
}

// State returns the current state of the feed.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.Address = f.addr
	return s
}

func (f *Feed) updateState(change func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
}

// Subscribe does nothing: Run watches the list without being asked. It implements host.Register.
func (f *Feed) Subscribe() {}

// Fetch does nothing; see Subscribe.
func (f *Feed) Fetch() {}

// Run follows the node list until ctx is done. It owns the list and the watches, which post their events to it.
func (f *Feed) Run(ctx context.Context) {
	f.startedAt, f.followed = time.Now(), f.State().Address
	f.scheduler = membership.NewScheduler(f.timing, f.list.Len() == 0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		f.runDue(ctx)
		due := f.scheduler.Due(f.clock())
		if f.cached != nil {
			due = min(due, f.timing.KnownListDelay)
		}
		timer.Reset(max(0, due-f.clock()))
		select {
		case <-ctx.Done():
		case <-f.addressChanged:
			f.followed = f.State().Address
			f.scheduler.AddressChanged(f.clock())
			f.log.Info("discovery: address changed", "addr", f.followed)
		case e := <-f.events:
			f.handleEvent(e)
		case <-timer.C:
		}
	}
}

// clock returns the time since Run began.
func (f *Feed) clock() time.Duration { return time.Since(f.startedAt) }

// runDue executes the steps that are due.
func (f *Feed) runDue(ctx context.Context) {
	if f.cached != nil && f.clock() >= f.timing.KnownListDelay {
		f.log.Warn("discovery: nothing heard yet; the list known from before applies", "nodes", len(f.cached.Nodes))
		f.deliverCached()
	}
	for {
		now := f.clock()
		switch step := f.scheduler.Next(now); step.Kind {
		case membership.Wait:
			return
		case membership.TrialTimedOut:
			w := f.trials[step.Trial]
			f.log.Warn("discovery: no object in time; the list held applies meanwhile", "addr", w.addr, "request", w.id, "within", now-w.startedAt)
			f.closeTrial(step.Trial)
		case membership.CancelTrial:
			f.closeTrial(step.Trial)
		default:
			f.openTrial(ctx, step, now)
		}
	}
}

// openTrial sends a request, on trial.
func (f *Feed) openTrial(ctx context.Context, step membership.Step, now time.Duration) {
	w := &watch{id: step.Trial, addr: f.followed, fetchAll: step.Kind == membership.FetchAll, startedAt: now}
	f.startWatch(ctx, w, f.list.Rev())
	f.trials[w.id] = w
	f.updateState(func(s *State) { s.Requests, s.Unanswered = s.Requests+1, len(f.trials) })
}

// closeTrial closes a trial. Events that it may still post are ignored.
func (f *Feed) closeTrial(id membership.TrialID) {
	f.trials[id].cancel()
	f.removeTrial(id)
}

// removeTrial removes a trial that has succeeded, failed or been closed.
func (f *Feed) removeTrial(id membership.TrialID) {
	delete(f.trials, id)
	f.updateState(func(s *State) { s.Unanswered = len(f.trials) })
}

// promote makes a trial that has sent its first object the current watch. A request of the whole list is complete.
func (f *Feed) promote(w *watch, now time.Duration) {
	f.removeTrial(w.id)
	f.scheduler.TrialSucceeded(now, w.id)
	f.updateState(func(s *State) { s.AnswerTime = now - w.startedAt })
	f.log.Info("discovery: answered", "addr", w.addr, "request", w.id, "whole", w.fetchAll, "after", now-w.startedAt)
	if w.fetchAll {
		w.cancel()
		return
	}
	if f.current != nil {
		f.current.cancel()
	}
	f.current = w
	f.updateState(func(s *State) { s.LastReceived, s.Watching = time.Now(), true })
}

// handleEvent processes an event that a watch has posted.
func (f *Feed) handleEvent(e any) {
	now := f.clock()
	switch e := e.(type) {
	case bytesReceived:
		if e.watch == f.current {
			f.scheduler.Received(now)
			f.updateState(func(s *State) { s.LastReceived = time.Now() })
		}
	case objectReceived:
		switch e.watch {
		case f.trials[e.watch.id]:
			f.promote(e.watch, now)
		case f.current:
			f.scheduler.Received(now)
		default:
			return // of a watch that was closed
		}
		f.handleUpdate(e.update)
	case watchEnded:
		switch e.watch {
		case f.trials[e.watch.id]:
			f.removeTrial(e.watch.id)
			f.scheduler.TrialFailed(now, e.watch.id)
		case f.current:
			f.current = nil
			f.scheduler.WatchEnded(now)
			f.updateState(func(s *State) { s.Watching = false })
		default:
			return
		}
		f.log.Warn("discovery: a connection ended; the list held applies meanwhile", "addr", e.watch.addr, "request", e.watch.id, "err", e.err)
	}
}

// handleUpdate applies an object to the list and passes the result to the host.
func (f *Feed) handleUpdate(u membership.Update) {
	kind := control.ListDelta
	if u.All {
		kind, f.cached = control.ListFull, nil
	}
	l := f.applyUpdate(kind, u)
	if u.All || l != nil || f.list.Rev() == u.Rev {
		f.deliverCached()
	}
	if l != nil {
		f.host.List(*l)
	}
}

// deliverCached passes the list known at the start to the host, unless that was done before.
func (f *Feed) deliverCached() {
	if f.cached != nil {
		f.host.List(*f.cached)
		f.cached = nil
	}
}

// applyUpdate applies an update and returns the list or change for the host, or nil if there is none.
func (f *Feed) applyUpdate(kind control.ListKind, u membership.Update) *host.List {
	held := f.list.Rev()
	nodes, skipped, result := f.list.Apply(u)
	switch result {
	case membership.Unchanged:
		return nil
	case membership.Outdated:
		f.log.Warn("discovery: a version older than the one held; the whole list is asked for", "rev", u.Rev, "held", held)
		f.scheduler.Resync(f.clock())
		return nil
	}
	for _, err := range skipped.First {
		f.log.Warn("discovery: an entry is passed over", "err", err)
	}
	if more := skipped.Count - len(skipped.First); more > 0 {
		f.log.Warn("discovery: further entries are passed over", "rev", u.Rev, "entries", more)
	}
	l := &host.List{Kind: kind}
	for _, n := range nodes {
		if n.BootMS > 0 {
			n.StartedAt = f.host.StartedAt(n.ID, time.UnixMilli(n.BootMS))
		}
		l.Nodes = append(l.Nodes, host.Node{Node: n.Node, Addr: n.Endpoint})
	}
	f.updateState(func(s *State) {
		s.Rev, s.Nodes, s.Bytes, s.Skipped = u.Rev, f.list.Len(), f.list.Bytes(), s.Skipped+uint64(skipped.Count)
	})
	return l
}
