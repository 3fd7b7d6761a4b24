package mover

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is the environment of a mover: items on shards, the authority's map and the log. Actions take time,
// fail, and may have taken effect although they failed. It checks the invariants after each step.
type simulation struct {
	t         *rapid.T
	settings  Settings
	m         *Mover
	now       time.Duration
	log       []Record // the log on disk
	inFlight  []pendingAction
	stored    map[int]map[uint64]bool // items by shard
	location  map[uint64]int          // shard by extent, according to the map
	switched  map[uint64]uint64       // version of the map after the switch, by move
	plan      map[uint64]Move
	noFaults  bool // injects no further faults
	collected map[uint64]bool
}

type pendingAction struct {
	Action
	at      time.Duration
	outcome Outcome
}

func (w *simulation) chance(name string, percent int) bool {
	return !w.noFaults && rapid.IntRange(0, 99).Draw(w.t, name) < percent
}

// apply writes the records, then starts the actions.
func (w *simulation) apply(r Ready) {
	w.log = append(w.log, r.Records...)
	for _, a := range r.Actions {
		f := pendingAction{a, w.now + time.Duration(1+rapid.IntRange(0, 50).Draw(w.t, "takes"))*time.Millisecond, OK}
		if w.chance("fails", 20) {
			f.outcome = Failed
		}
		w.inFlight = append(w.inFlight, f)
	}
	running := map[int]int{}
	for _, p := range w.m.Progress() {
		if p.Step != "waiting" && p.Step != "done" && p.Step != "undone" {
			running[w.plan[p.ID].Source]++
			running[w.plan[p.ID].Target]++
		}
	}
	for shard, n := range running {
		if n > w.settings.MaxMovesPerShard {
			w.t.Fatalf("shard %d is in %d moves", shard, n)
		}
	}
}

// execute executes an action. A failed action may still take effect.
func (w *simulation) execute(f pendingAction) (how Outcome, version uint64) {
	move := w.plan[f.ID]
	if f.outcome == Failed && w.chance("no effect", 50) {
		return Failed, 0
	}
	switch f.Kind {
	case Copy:
		if w.collected[f.Extent] {
			return Gone, 0
		}
		if !w.stored[move.Source][f.Extent] {
			w.t.Fatalf("move %d: extent %d is copied from shard %d, which no longer has it", f.ID, f.Extent, move.Source)
		}
		w.stored[move.Target][f.Extent] = true
	case Switch:
		if w.switched[f.ID] == 0 {
			w.switched[f.ID] = uint64(len(w.switched) + 1)
			for _, x := range move.Items {
				if !w.collected[x.Extent] {
					w.location[x.Extent] = move.Target
				}
			}
		}
		version = w.switched[f.ID]
	case Remove:
		delete(w.stored[f.Shard], f.Extent)
	}
	w.checkMap(f)
	if f.outcome == Failed {
		return Failed, 0
	}
	return OK, version
}

// checkMap checks that each shard has the items that the map locates on it.
func (w *simulation) checkMap(f pendingAction) {
	for e, shard := range w.location {
		if !w.stored[shard][e] && !w.collected[e] {
			w.t.Fatalf("after %+v: the map locates extent %d on shard %d, which does not have it", f.Action, e, shard)
		}
	}
}

// step advances the simulation: an action ends or time passes.
func (w *simulation) step() {
	if len(w.inFlight) > 0 {
		slices.SortStableFunc(w.inFlight, func(a, b pendingAction) int { return int(a.at - b.at) })
		f := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		w.now = max(w.now, f.at)
		how, version := w.execute(f)
		w.apply(w.m.Ended(f.Action, how, version, w.now))
		return
	}
	if at, ok := w.m.Next(); ok {
		w.now = at
	} else {
		w.now += time.Second
	}
	w.apply(w.m.Tick(w.now))
}

// restart replaces the mover by a new one that is given the log. Actions in flight may still take effect, but
// their results are lost.
func (w *simulation) restart() {
	for _, f := range w.inFlight {
		if w.chance("takes effect", 50) {
			w.execute(f)
		}
	}
	w.inFlight = nil
	m, err := New(w.settings, w.log, w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.m = m
	if w.chance("compact", 30) {
		w.log = w.m.Compact()
	}
	w.apply(w.m.Tick(w.now))
}

// TestMovesWithFaults runs moves of several waves between a few shards, with failed actions, items removed
// meanwhile, restarts at any moment and undone moves. At each moment the shards have the items that the map
// locates on them; at the end each item is on exactly the one shard that the map says.
func TestMovesWithFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards = 4
		w := &simulation{t: t, settings: Settings{MaxMovesPerShard: rapid.IntRange(1, 2).Draw(t, "per shard"), MaxActions: rapid.IntRange(1, 3).Draw(t, "copies"), BytesPerSecond: 1 << 20,
			RemovalDelay: time.Second, MaxCopyDuration: 100 * time.Millisecond, MinRetryInterval: 10 * time.Millisecond, MaxRetryInterval: 100 * time.Millisecond, MaxTries: rapid.IntRange(2, 6).Draw(t, "tries")},
			stored: map[int]map[uint64]bool{}, location: map[uint64]int{}, switched: map[uint64]uint64{}, plan: map[uint64]Move{}, collected: map[uint64]bool{}}
		for s := range shards {
			w.stored[s] = map[uint64]bool{}
		}
		var moves []Move
		extent := uint64(0)
		for id := range rapid.IntRange(1, 6).Draw(t, "moves") {
			mv := Move{ID: uint64(id + 1), Volume: "v", Source: rapid.IntRange(0, shards-1).Draw(t, "source"), Wave: rapid.IntRange(0, 2).Draw(t, "wave")}
			mv.Target = (mv.Source + rapid.IntRange(1, shards-1).Draw(t, "target")) % shards
			for range rapid.IntRange(1, 5).Draw(t, "items") {
				mv.Items = append(mv.Items, Item{extent, int64(rapid.IntRange(0, 1<<17).Draw(t, "bytes"))})
				w.stored[mv.Source][extent], w.location[extent] = true, mv.Source
				extent++
			}
			moves = append(moves, mv)
			w.plan[mv.ID] = mv
		}
		m, err := New(w.settings, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		w.m = m
		r, err := m.Add(moves, 0)
		if err != nil {
			t.Fatal(err)
		}
		w.apply(r)
		undone := map[uint64]bool{}
		for range rapid.IntRange(0, 150).Draw(t, "events") {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				w.restart()
			case 1:
				id := uint64(rapid.IntRange(1, len(moves)).Draw(t, "undo"))
				if r, err := w.m.Undo(id, "for a test", w.now); err == nil {
					undone[id] = true
					w.apply(r)
				}
			case 2: // an item is collected: its shard and the map drop it
				if e := uint64(rapid.IntRange(0, int(extent)-1).Draw(t, "collected")); !w.collected[e] {
					w.collected[e] = true
					delete(w.stored[w.location[e]], e)
					delete(w.location, e)
				}
			default:
				w.step()
			}
		}
		w.noFaults = true
		for i := 0; ; i++ {
			over := true
			for _, p := range w.m.Progress() {
				over = over && (p.Step == "done" || p.Step == "undone")
			}
			if over {
				break
			}
			if i > 10_000 {
				t.Fatalf("the moves do not finish: %+v", w.m.Progress())
			}
			w.step()
		}
		for e, shard := range w.location {
			for s, items := range w.stored {
				if items[e] != (s == shard) {
					t.Fatalf("extent %d, located on shard %d by the map: shard %d has it: %v", e, shard, s, items[e])
				}
			}
		}
		for id := range undone {
			if w.switched[id] != 0 {
				t.Fatalf("move %d was undone but is switched", id)
			}
		}
	})
}

// TestRateAndWaves checks that copies from and to a shard stay within its rate, and that a wave starts only
// when the one before is finished.
func TestRateAndWaves(t *testing.T) {
	set := Default
	set.BytesPerSecond, set.RemovalDelay = 1<<20, time.Second
	m, err := New(set, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var moves []Move
	for id := range 4 {
		mv := Move{ID: uint64(id), Volume: "v", Source: 0, Target: 1 + id%2, Wave: id / 2}
		for i := range 20 {
			mv.Items = append(mv.Items, Item{uint64(100*id + i), 1 << 18})
		}
		moves = append(moves, mv)
	}
	ready, err := m.Add(moves, 0)
	if err != nil {
		t.Fatal(err)
	}
	now, copies, waves := time.Duration(0), 0, map[int]time.Duration{}
	for steps := 0; ; steps++ {
		if steps > 100_000 {
			t.Fatal("the moves do not finish")
		}
		acts := ready.Actions
		for _, r := range ready.Records {
			if r.Step == Copying {
				waves[int(r.ID)/2] = now
			}
			if r.Step == Done && r.ID < 2 && waves[1] != 0 {
				t.Errorf("wave 1 started at %v, before move %d was finished", waves[1], r.ID)
			}
		}
		ready = Ready{}
		for _, a := range acts {
			if a.Kind == Copy {
				copies++
			}
			next := m.Ended(a, OK, 1, now)
			ready.Records, ready.Actions = append(ready.Records, next.Records...), append(ready.Actions, next.Actions...)
		}
		if len(ready.Actions) > 0 {
			continue
		}
		at, ok := m.Next()
		if !ok {
			break
		}
		now = at
		next := m.Tick(now)
		ready.Records, ready.Actions = append(ready.Records, next.Records...), append(ready.Actions, next.Actions...)
	}
	if least := 80 * time.Second / 4; copies != 80 || now < least || now > least+5*time.Second {
		t.Errorf("%d copies of 256 KiB at 1 MiB per second in %v", copies, now)
	}
}

// TestInvalidMovesAndLogs checks that invalid moves and logs are refused as a whole.
func TestInvalidMovesAndLogs(t *testing.T) {
	good := Move{ID: 1, Volume: "v", Source: 0, Target: 1, Items: []Item{{1, 1}}}
	m, err := New(Default, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, change := range []func(*Move){
		func(v *Move) { v.Volume = "" }, func(v *Move) { v.Target = 0 }, func(v *Move) { v.Items = nil }, func(v *Move) { v.ID = 1 },
	} {
		bad := good
		bad.ID = 2
		change(&bad)
		if _, err := m.Add([]Move{good, bad}, 0); err == nil {
			t.Errorf("invalid move %d is accepted", i)
		}
	}
	if len(m.Progress()) != 0 {
		t.Errorf("moves after invalid ones: %+v", m.Progress())
	}
	begin := Record{ID: 1, Step: Waiting, Move: &good}
	for i, log := range [][]Record{{{ID: 1, Step: Copying}}, {begin, begin}, {begin, {ID: 1, Step: Retiring}}, {begin, {ID: 1, Step: 99}}, {{ID: 1, Step: Waiting}}} {
		if _, err := New(Default, log, 0); err == nil {
			t.Error(fmt.Sprint("invalid log ", i, " is accepted"))
		}
	}
	if got := slices.Collect(maps.Keys(m.moves)); len(got) != 0 {
		t.Errorf("moves added although invalid: %v", got)
	}
}
