// Package mover decides how data is moved between shards while it is served: which moves run, which item is copied
// next and when, when the map is switched, when the source is emptied, and what is repeated after a restart. The
// package is pure decision code: it does no I/O, reads no clock and starts no goroutine. Events and the time go
// in; records for a log and actions come out. A new Mover that is given the log continues where the previous one
// stopped. Package internal/migrate executes the actions.
//
// Items are never overwritten: another version of a file has other items. A copy therefore needs no
// synchronization, except with the removal of items meanwhile, and repeating a copy is harmless. A move goes
// through these steps:
//
//	waiting -> copying -> switching -> retiring -> done
//	              \-> undoing -> undone
//
// A move can be undone until Switching is in the log. From then on only the authority of the map knows the
// outcome, since it may have made a switch whose answer was lost.
package mover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Item is the data of one extent.
type Item struct {
	Extent uint64
	Bytes  int64
}

// Move is the transfer of a run of extents from one shard to another.
type Move struct {
	ID             uint64 // unique, never reused
	Volume         string
	Name           string // identifies the items for the executor; opaque to the mover
	Source, Target int
	Wave           int // moves of a wave begin when all moves of lower waves are finished
	Items          []Item
}

// validate returns an error that describes the first invalid field.
func (m *Move) validate() error {
	switch {
	case m.Volume == "":
		return fmt.Errorf("mover: move %d: no volume", m.ID)
	case m.Source == m.Target || m.Source < 0 || m.Target < 0:
		return fmt.Errorf("mover: move %d: from shard %d to %d", m.ID, m.Source, m.Target)
	case len(m.Items) == 0 || len(m.Items) > MaxItems:
		return fmt.Errorf("mover: move %d: %d items: 1 to %d", m.ID, len(m.Items), MaxItems)
	}
	return nil
}

// Limits of a mover.
const (
	MaxItems  = 1 << 16 // maximum number of items of a move
	MaxMoves  = 1 << 20 // maximum number of unfinished moves
	lookAhead = 4096    // maximum number of waiting moves examined for moves that can start
)

// Settings of a mover.
type Settings struct {
	MaxMovesPerShard int           // maximum number of concurrent moves that a shard takes part in
	MaxActions       int           // maximum number of concurrent actions of a move on its items
	BytesPerSecond   int64         // bytes per second copied from or to a shard
	RemovalDelay     time.Duration // delay from a switch to the first removal, so that requests to the source finish
	MaxCopyDuration  time.Duration // maximum time until a copy in flight at an undo or a restart arrives
	MinRetryInterval time.Duration // retry interval after the first failure; doubled after each further failure
	MaxRetryInterval time.Duration // upper bound of the retry interval
	MaxTries         int           // number of failed copies of an item after which its move is undone
}

// Default holds settings that put a low load on shards: each reads or writes 16 MiB per second, in two moves.
var Default = Settings{MaxMovesPerShard: 2, MaxActions: 4, BytesPerSecond: 16 << 20, RemovalDelay: 10 * time.Second, MaxCopyDuration: 5 * time.Second, MinRetryInterval: 100 * time.Millisecond, MaxRetryInterval: 10 * time.Second, MaxTries: 20}

// Check returns an error that describes the first invalid setting.
func (s *Settings) Check() error {
	switch {
	case s.MaxMovesPerShard < 1 || s.MaxActions < 1 || s.MaxTries < 1:
		return fmt.Errorf("mover: moves per shard, actions of a move, tries = %d, %d, %d: expected at least 1", s.MaxMovesPerShard, s.MaxActions, s.MaxTries)
	case s.BytesPerSecond <= 0:
		return fmt.Errorf("mover: rate = %d bytes per second: expected more than 0", s.BytesPerSecond)
	case s.RemovalDelay < 0 || s.MaxCopyDuration < 0 || s.MinRetryInterval <= 0 || s.MaxRetryInterval < s.MinRetryInterval:
		return fmt.Errorf("mover: removal delay = %v, maximum copy duration = %v: expected no negative value; retry interval = %v up to %v: expected more than 0s, and a maximum that is not below the minimum", s.RemovalDelay, s.MaxCopyDuration, s.MinRetryInterval, s.MaxRetryInterval)
	}
	return nil
}

// Step is the state of a move.
type Step int

// The steps of a move.
const (
	Waiting Step = iota
	Copying
	Switching
	Retiring
	Done
	Undoing
	Undone
)

var stepNames = [...]string{"waiting", "copying", "switching", "retiring", "done", "undoing", "undone"}

func (s Step) String() string { return stepNames[s] }

// Finished reports whether the move is finished: done or undone.
func (s Step) Finished() bool { return s == Done || s == Undone }

// Record is one record of the log: a move enters a step. The first record of a move contains the move.
type Record struct {
	ID      uint64
	Step    Step
	Move    *Move  // for Waiting
	Version uint64 // for Retiring: version of the map after the switch
	Why     string // for Undoing
}

// Kind is the kind of an action.
type Kind int

// Kinds of actions.
const (
	Copy   Kind = iota // copy an item from source to target and verify its checksum, at low worth
	Switch             // set the items' location to the target at the authority, which applies it once per move
	Remove             // remove an item at Shard
)

// Action is an operation that the caller executes once the records returned with it, and all before them, are on
// disk. The caller reports the result with Ended.
type Action struct {
	Kind
	ID     uint64
	Extent uint64
	Shard  int // for Remove
}

// Outcome is the result of an action.
type Outcome int

// Results of actions.
const (
	OK      Outcome = iota
	Failed          // the action may have taken effect and is repeated
	Gone            // Copy: the source no longer has the item; Remove: the shard does not have it
	Refused         // Switch: not applied, as the items are not at the source according to the map
)

// Ready contains the records to write first and the actions to execute after that.
type Ready struct {
	Records []Record
	Actions []Action
}

// Mover is the state of all moves.
type Mover struct {
	settings    Settings
	moves       map[uint64]*move
	waiting     []*move               // sorted by wave and ID
	active      []*move               // moves that occupy their shards, sorted by wave and ID
	shardFreed  bool                  // waiting moves may be able to start
	activeMoves map[int]int           // number of active moves by shard
	nextCopy    map[int]time.Duration // earliest time of the next copy from or to a shard, by the rate
	now         time.Duration
	ready       Ready
}

// move is the state of one move.
type move struct {
	*Move
	step        Step
	version     uint64
	why         string
	items       []itemState
	remaining   int           // items whose copy or removal is not finished
	inFlight    int           // actions in flight
	firstOpen   int           // items before this index are done
	unstarted   int           // items from this index on were not started
	staleCopies int           // copies still in flight from before the move was undone
	notBefore   time.Duration // earliest next action: a switch after a failure, a removal after RemovalDelay
	failures    int
}

// itemState is the state of an item in the current step.
type itemState struct {
	done, inFlight bool
	failures       int
	notBefore      time.Duration // earliest retry
}

// New returns a mover that continues where a log ends. Moves that were being copied copy all items again, which is
// harmless; the removal delay of switched moves starts again.
func New(set Settings, log []Record, now time.Duration) (*Mover, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	m := &Mover{settings: set, moves: map[uint64]*move{}, activeMoves: map[int]int{}, nextCopy: map[int]time.Duration{}, now: now}
	for i, r := range log {
		if r.Step < Waiting || r.Step > Undone {
			return nil, fmt.Errorf("mover: log: record %d: unknown step %d", i, r.Step)
		}
		if r.Step == Waiting {
			if r.Move == nil || r.Move.ID != r.ID || m.moves[r.ID] != nil {
				return nil, fmt.Errorf("mover: log: record %d: move %d begins without its content, or twice", i, r.ID)
			}
			if err := r.Move.validate(); err != nil {
				return nil, fmt.Errorf("mover: log: record %d: %w", i, err)
			}
			m.moves[r.ID] = &move{Move: r.Move}
			continue
		}
		v := m.moves[r.ID]
		if v == nil || !canFollow(v.step, r.Step) {
			return nil, fmt.Errorf("mover: log: record %d: move %d cannot enter step %v from its current step", i, r.ID, r.Step)
		}
		v.step, v.version, v.why = r.Step, max(v.version, r.Version), cmp.Or(r.Why, v.why)
	}
	for _, v := range m.moves {
		if v.step.Finished() {
			continue
		}
		if v.step == Waiting {
			m.waiting = append(m.waiting, v)
			continue
		}
		m.occupyShards(v)
		m.enterStep(v, v.step)
	}
	m.sortMoves()
	return m, nil
}

// canFollow reports whether a move can go from one step to another.
func canFollow(from, to Step) bool {
	switch to {
	case Copying:
		return from == Waiting
	case Switching:
		return from == Copying
	case Retiring:
		return from == Switching
	case Done:
		return from == Retiring
	case Undoing:
		return from == Waiting || from == Copying || from == Switching // a refused switch
	case Undone:
		return from == Undoing
	}
	return false
}

func compareMoves(a, b *move) int {
	return cmp.Or(cmp.Compare(a.Wave, b.Wave), cmp.Compare(a.ID, b.ID))
}

func (m *Mover) sortMoves() {
	slices.SortFunc(m.waiting, compareMoves)
	slices.SortFunc(m.active, compareMoves)
	m.shardFreed = true
}

// Add adds the moves of a plan. It adds none if one is invalid.
func (m *Mover) Add(moves []Move, now time.Duration) (Ready, error) {
	m.now = max(m.now, now)
	if n := len(m.waiting) + len(m.active); n+len(moves) > MaxMoves {
		return Ready{}, fmt.Errorf("mover: %d moves are not over, %d more are too many: at most %d", n, len(moves), MaxMoves)
	}
	seen := map[uint64]bool{}
	for i := range moves {
		v := &moves[i]
		if err := v.validate(); err != nil {
			return Ready{}, err
		}
		if m.moves[v.ID] != nil || seen[v.ID] {
			return Ready{}, fmt.Errorf("mover: move %d is there already", v.ID)
		}
		seen[v.ID] = true
	}
	for i := range moves {
		v := &move{Move: &moves[i]}
		m.moves[v.ID] = v
		m.waiting = append(m.waiting, v)
		m.ready.Records = append(m.ready.Records, Record{ID: v.ID, Step: Waiting, Move: v.Move})
	}
	m.sortMoves()
	return m.advance(), nil
}

// Tick returns what has become due by now.
func (m *Mover) Tick(now time.Duration) Ready {
	m.now = max(m.now, now)
	return m.advance()
}

// Undo undoes a move that has not reached Switching.
func (m *Mover) Undo(id uint64, why string, now time.Duration) (Ready, error) {
	m.now = max(m.now, now)
	v := m.moves[id]
	if v == nil {
		return Ready{}, fmt.Errorf("mover: there is no move %d", id)
	}
	if v.step != Waiting && v.step != Copying {
		return Ready{}, fmt.Errorf("mover: move %d is %v: only before it is switched can it be undone; plan one back", id, v.step)
	}
	m.undo(v, why)
	return m.advance(), nil
}

// Ended records the result of an action, with the version of the map for a switch. Results that do not belong to
// the current step of the move are ignored.
func (m *Mover) Ended(a Action, how Outcome, version uint64, now time.Duration) Ready {
	m.now = max(m.now, now)
	v := m.moves[a.ID]
	if v == nil || v.step.Finished() {
		return m.advance()
	}
	switch {
	case a.Kind == Copy && v.step == Undoing && v.staleCopies > 0:
		v.staleCopies--
	case a.Kind == Switch && v.step == Switching && v.inFlight > 0:
		v.inFlight--
		m.switchEnded(v, how, version)
	case a.Kind == Copy && v.step == Copying, a.Kind == Remove && (v.step == Retiring && a.Shard == v.Source || v.step == Undoing && a.Shard == v.Target):
		if i, ok := slices.BinarySearchFunc(v.Items, a.Extent, func(x Item, e uint64) int { return cmp.Compare(x.Extent, e) }); ok && v.items[i].inFlight {
			v.inFlight--
			m.itemEnded(v, i, how)
		}
	}
	return m.advance()
}

func (m *Mover) switchEnded(v *move, how Outcome, version uint64) {
	switch how {
	case OK:
		v.version = version
		m.enterStep(v, Retiring)
		m.ready.Records = append(m.ready.Records, Record{ID: v.ID, Step: Retiring, Version: version})
	case Refused:
		m.undo(v, "the map has its items elsewhere than at the source")
	default: // the authority may have applied it: repeated until the authority answers
		v.failures++
		v.notBefore = m.now + m.backoff(v.failures)
	}
}

// itemEnded records the result of a copy or a removal.
func (m *Mover) itemEnded(v *move, i int, how Outcome) {
	s := &v.items[i]
	s.inFlight = false
	if how == OK || how == Gone {
		s.done = true
		v.remaining--
		return
	}
	s.failures++
	s.notBefore = m.now + m.backoff(s.failures)
	if v.step == Copying && s.failures >= m.settings.MaxTries {
		m.undo(v, fmt.Sprintf("extent %d could not be copied in %d tries", v.Items[i].Extent, s.failures))
	}
}

func (m *Mover) backoff(tries int) time.Duration {
	return min(m.settings.MaxRetryInterval, m.settings.MinRetryInterval<<min(tries-1, 20))
}

// undo starts the removal of the copied items. It waits for copies in flight, which must not arrive after the
// removal.
func (m *Mover) undo(v *move, why string) {
	waited := v.step == Waiting
	v.why, v.staleCopies = why, v.inFlight
	m.ready.Records = append(m.ready.Records, Record{ID: v.ID, Step: Undoing, Why: why})
	m.enterStep(v, Undoing)
	if waited { // no item was copied
		m.waiting = slices.DeleteFunc(m.waiting, func(w *move) bool { return w == v })
		m.logStep(v, Undone)
	}
}

// enterStep initializes the state for a step.
func (m *Mover) enterStep(v *move, step Step) {
	v.step, v.failures, v.inFlight, v.firstOpen, v.unstarted, v.notBefore = step, 0, 0, 0, 0, 0
	switch step {
	case Copying, Retiring, Undoing:
		if !slices.IsSortedFunc(v.Items, func(a, b Item) int { return cmp.Compare(a.Extent, b.Extent) }) {
			v.Items = slices.SortedFunc(slices.Values(v.Items), func(a, b Item) int { return cmp.Compare(a.Extent, b.Extent) })
		}
		v.items, v.remaining = make([]itemState, len(v.Items)), len(v.Items)
	case Switching, Done, Undone:
		v.items, v.remaining = nil, 0
	}
	if step == Retiring {
		v.notBefore = m.now + m.settings.RemovalDelay
	}
	if step == Undoing {
		v.notBefore = m.now + m.settings.MaxCopyDuration
	}
}

// occupyShards makes a move active and counts it at its shards; releaseShards reverts the count.
func (m *Mover) occupyShards(v *move) {
	m.activeMoves[v.Source]++
	m.activeMoves[v.Target]++
	at, _ := slices.BinarySearchFunc(m.active, v, compareMoves)
	m.active = slices.Insert(m.active, at, v)
}

func (m *Mover) releaseShards(v *move) {
	for _, shard := range []int{v.Source, v.Target} {
		if m.activeMoves[shard]--; m.activeMoves[shard] == 0 {
			delete(m.activeMoves, shard)
			if m.nextCopy[shard] <= m.now {
				delete(m.nextCopy, shard)
			}
		}
	}
	m.shardFreed = true
}

// advance starts what can be started now and returns the collected records and actions.
func (m *Mover) advance() Ready {
	for again := true; again; {
		m.startWaiting()
		again = false
		m.active = slices.DeleteFunc(m.active, func(v *move) bool {
			if v.step == Copying && v.remaining == 0 {
				m.logStep(v, Switching)
			}
			m.startActions(v)
			if v.remaining > 0 || v.step != Retiring && v.step != Undoing {
				return false
			}
			m.logStep(v, v.step+1)
			m.releaseShards(v)
			again = true
			return true
		})
	}
	r := m.ready
	m.ready = Ready{}
	return r
}

// startWaiting starts waiting moves of the lowest unfinished wave, as far as the limit per shard allows.
func (m *Mover) startWaiting() {
	if !m.shardFreed || len(m.waiting) == 0 {
		return
	}
	m.shardFreed = false
	wave := m.waiting[0].Wave
	if len(m.active) > 0 {
		wave = min(wave, m.active[0].Wave)
	}
	rest := m.waiting[:0]
	for i, v := range m.waiting {
		if v.Wave != wave || i >= lookAhead || m.activeMoves[v.Source] >= m.settings.MaxMovesPerShard || m.activeMoves[v.Target] >= m.settings.MaxMovesPerShard {
			rest = append(rest, v)
			continue
		}
		m.occupyShards(v)
		m.logStep(v, Copying)
	}
	clear(m.waiting[len(rest):])
	m.waiting = rest
}

// logStep enters a step and adds its record.
func (m *Mover) logStep(v *move, step Step) {
	m.enterStep(v, step)
	m.ready.Records = append(m.ready.Records, Record{ID: v.ID, Step: step})
}

// startActions starts the actions of a move that are due.
func (m *Mover) startActions(v *move) {
	if v.notBefore > m.now {
		return
	}
	switch v.step {
	case Switching:
		if v.inFlight == 0 {
			v.inFlight++
			m.ready.Actions = append(m.ready.Actions, Action{Kind: Switch, ID: v.ID})
		}
	case Copying, Retiring, Undoing:
		if v.staleCopies > 0 {
			return
		}
		for v.firstOpen < len(v.items) && v.items[v.firstOpen].done {
			v.firstOpen++
		}
		for i := v.firstOpen; i < len(v.items) && v.inFlight < m.settings.MaxActions; i++ {
			s := &v.items[i]
			if s.done || s.inFlight || s.notBefore > m.now {
				continue
			}
			a := Action{Kind: Remove, ID: v.ID, Extent: v.Items[i].Extent, Shard: v.Source}
			if v.step == Undoing {
				a.Shard = v.Target
			}
			if v.step == Copying {
				if max(m.nextCopy[v.Source], m.nextCopy[v.Target]) > m.now {
					return
				}
				took := time.Duration(float64(v.Items[i].Bytes) / float64(m.settings.BytesPerSecond) * float64(time.Second))
				m.nextCopy[v.Source], m.nextCopy[v.Target] = m.now+took, m.now+took
				a.Kind, a.Shard = Copy, 0
			}
			s.inFlight = true
			v.inFlight++
			v.unstarted = max(v.unstarted, i+1)
			m.ready.Actions = append(m.ready.Actions, a)
		}
	}
}

// Next returns the next time at which something is due even if no action ends before; ok is false if nothing is.
func (m *Mover) Next() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if t > m.now && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, v := range m.active {
		consider(v.notBefore)
		if v.step == Copying {
			consider(max(m.nextCopy[v.Source], m.nextCopy[v.Target]))
		}
		for i := v.firstOpen; i < v.unstarted; i++ {
			if s := &v.items[i]; !s.done && !s.inFlight {
				consider(s.notBefore)
			}
		}
	}
	return at, ok
}

// Progress describes a move to an operator.
type Progress struct {
	ID      uint64 `json:"id"`
	Step    string `json:"step"`
	Items   int    `json:"items"`
	Left    int    `json:"left"`              // items whose copy or removal in the current step is not finished
	Version uint64 `json:"version,omitempty"` // version of the map after the switch
	Why     string `json:"why,omitempty"`     // reason for the undoing
}

// Finished reports whether the move is finished: done or undone.
func (p *Progress) Finished() bool { return p.Step == Done.String() || p.Step == Undone.String() }

// Progress returns the progress of all moves, by ID.
func (m *Mover) Progress() (list []Progress) {
	for _, id := range slices.Sorted(maps.Keys(m.moves)) {
		v := m.moves[id]
		list = append(list, Progress{id, v.step.String(), len(v.Items), v.remaining, v.version, v.why})
	}
	return list
}

// Move returns the move with an ID, or nil if there is none.
func (m *Mover) Move(id uint64) *Move {
	if v := m.moves[id]; v != nil {
		return v.Move
	}
	return nil
}

// Moving reports whether a move of these items, identified by volume and name, is waiting or active.
func (m *Mover) Moving(volume, name string) bool {
	is := func(v *move) bool { return v.Volume == volume && v.Name == name }
	return slices.ContainsFunc(m.waiting, is) || slices.ContainsFunc(m.active, is)
}

// Compact drops finished moves and returns the log of the others.
func (m *Mover) Compact() []Record {
	maps.DeleteFunc(m.moves, func(_ uint64, v *move) bool { return v.step.Finished() })
	return m.Log()
}

// Log returns the shortest log that is equivalent to all records so far of unfinished moves. It replaces a log
// that has grown.
func (m *Mover) Log() (log []Record) {
	for _, id := range slices.Sorted(maps.Keys(m.moves)) {
		v := m.moves[id]
		if v.step.Finished() {
			continue
		}
		log = append(log, Record{ID: id, Step: Waiting, Move: v.Move})
		switch v.step {
		case Copying:
			log = append(log, Record{ID: id, Step: Copying})
		case Switching:
			log = append(log, Record{ID: id, Step: Copying}, Record{ID: id, Step: Switching})
		case Retiring:
			log = append(log, Record{ID: id, Step: Copying}, Record{ID: id, Step: Switching}, Record{ID: id, Step: Retiring, Version: v.version})
		case Undoing:
			log = append(log, Record{ID: id, Step: Undoing, Why: v.why})
		}
	}
	return log
}
