// Package discovery follows the platform's list of nodes: HTTP/1.1, a watch that sends one JSON object after
// another, asked for anew where it broke off or fell silent (watch.go reads one connection). What of it is taken,
// and when a watch is asked for, membership says; it judges no node. internal/live makes it; it calls Host.List.
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

const objectMost = 4 << 20 // bytes of one object

// Host hears of lists.
type Host interface {
	List(host.List)
	StartedAt(node string, wall time.Time) time.Duration
}

// Feed follows one address at a time.
type Feed struct {
	host   Host
	log    *slog.Logger
	times  membership.Times
	events chan any

	mu    sync.Mutex
	addr  string
	moved chan struct{} // has room for one: the address has changed
	now   State

	// the rest belongs to Run
	list   *membership.List
	cached *host.List // the list known at the start, not yet told
	kept   *watch
	trial  *watch
	keeper *membership.Keeper
	began  time.Time
}

// State is what an operator sees.
type State struct {
	Address  string
	Rev      uint64
	Nodes    int
	Heard    time.Time // when something last came
	Watches  uint64    // asked for since the start
	Passed   uint64    // entries passed over, as they could not be used
	Watching bool
}

// New makes a feed of an address.
func New(addr string, h Host, log *slog.Logger) *Feed {
	return &Feed{host: h, log: log, times: membership.Usual, events: make(chan any), addr: addr,
		moved: make(chan struct{}, 1), list: membership.New()}
}

// Start takes the list that this host held when it was last there. It may be out of date, and what the agent has
// counts as told from a process's first moment: the host is told of it with the agent's first word, or when the
// agent has said nothing for a while. It must be called before Run.
func (f *Feed) Start(known []byte) error {
	var u membership.Update
	if err := json.Unmarshal(known, &u); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	u.All = true
	l := f.take(control.ListCached, u)
	f.cached = l
	return nil
}

// Follow names another address. The watch at the former one stays until one at this speaks.
func (f *Feed) Follow(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr == addr {
		return
	}
	f.addr = addr
	select {
	case f.moved <- struct{}{}:
	default:
	}
}

// State returns what is known of the feed.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.now
	s.Address = f.addr
	return s
}

func (f *Feed) note(change func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.now)
}

// Subscribe and Fetch are for lists that come only when asked for; this one comes by itself.
func (f *Feed) Subscribe() {}

// Fetch does nothing, see Subscribe.
func (f *Feed) Fetch() {}

// Run follows until ctx ends. It alone has the list and the watches; they post to it.
func (f *Feed) Run(ctx context.Context) {
	f.began = time.Now()
	f.keeper = membership.NewKeeper(f.times, f.list.Len() == 0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		f.step(ctx)
		due := f.keeper.Due(f.clock())
		if f.cached != nil {
			due = min(due, f.times.Start)
		}
		timer.Reset(max(0, due-f.clock()))
		select {
		case <-ctx.Done():
		case <-f.moved:
			f.end(&f.trial)
			f.keeper.Moved(f.clock())
			f.log.Info("discovery: another address", "addr", f.State().Address)
		case e := <-f.events:
			f.event(e)
		case <-timer.C:
		}
	}
}

// clock is the time since Run began.
func (f *Feed) clock() time.Duration { return time.Since(f.began) }

// step does what is due.
func (f *Feed) step(ctx context.Context) {
	if f.cached != nil && f.clock() >= f.times.Start {
		f.log.Warn("discovery: nothing heard yet; the list known from before applies", "nodes", len(f.cached.Nodes))
		f.tellCached()
	}
	for {
		switch s := f.keeper.Next(f.clock()); s {
		case membership.Rest:
			return
		case membership.GiveUp:
			f.log.Warn("discovery: no object in time; the list held applies meanwhile", "addr", f.trial.addr, "within", f.times.Try)
			f.end(&f.trial)
		case membership.Refrain:
			f.end(&f.trial)
		default:
			addr := f.State().Address
			f.trial = f.start(ctx, addr, s == membership.AskAll, f.list.Rev())
			f.note(func(s *State) { s.Watches++ })
		}
	}
}

// end gives up a watch; what it may still post is for nobody.
func (f *Feed) end(w **watch) {
	if *w != nil {
		(*w).cancel()
		*w = nil
	}
}

// event takes what a watch has posted.
func (f *Feed) event(e any) {
	now := f.clock()
	switch e := e.(type) {
	case spoke:
		if e.w == f.kept {
			f.keeper.Heard(now)
			f.note(func(s *State) { s.Heard = time.Now() })
		}
	case object:
		switch e.w {
		case f.trial:
			f.trial = nil
			f.keeper.Proved(now)
			if e.w.whole {
				e.w.cancel() // it was all that was asked for
			} else {
				f.end(&f.kept)
				f.kept = e.w
				f.note(func(s *State) { s.Heard, s.Watching = time.Now(), true })
			}
		case f.kept:
			f.keeper.Heard(now)
		default:
			return // of one that was given up
		}
		f.update(e.u)
	case ended:
		switch e.w {
		case f.trial:
			f.trial = nil
			f.keeper.Failed(now)
		case f.kept:
			f.kept = nil
			f.keeper.Ended(now)
			f.note(func(s *State) { s.Watching = false })
		default:
			return
		}
		f.log.Warn("discovery: a connection ended; the list held applies meanwhile", "addr", e.w.addr, "err", e.err)
	}
}

// update takes an object, and tells the host.
func (f *Feed) update(u membership.Update) {
	kind := control.ListDelta
	if u.All {
		kind, f.cached = control.ListFull, nil
	}
	l := f.take(kind, u)
	if u.All || l != nil || f.list.Rev() == u.Rev {
		f.tellCached()
	}
	if l != nil {
		f.host.List(*l)
	}
}

// tellCached tells the host the list known at the start, if it has not been.
func (f *Feed) tellCached() {
	if f.cached != nil {
		f.host.List(*f.cached)
		f.cached = nil
	}
}

// take takes an update, and returns what the host is to be told of it; nil: nothing.
func (f *Feed) take(kind control.ListKind, u membership.Update) *host.List {
	held := f.list.Rev()
	nodes, passed, verdict := f.list.Take(u)
	switch verdict {
	case membership.Held:
		return nil
	case membership.Back:
		f.log.Warn("discovery: a version older than the one held; the whole list is asked for", "rev", u.Rev, "held", held)
		f.keeper.Astray()
		return nil
	}
	for _, err := range passed {
		f.log.Warn("discovery: an entry is passed over", "err", err)
	}
	l := &host.List{Kind: kind}
	for _, n := range nodes {
		if n.BootMS > 0 {
			n.StartedAt = f.host.StartedAt(n.ID, time.UnixMilli(n.BootMS))
		}
		l.Nodes = append(l.Nodes, host.Node{Node: n.Node, Addr: n.Endpoint})
	}
	f.note(func(s *State) { s.Rev, s.Nodes, s.Passed = u.Rev, f.list.Len(), s.Passed+uint64(len(passed)) })
	return l
}
