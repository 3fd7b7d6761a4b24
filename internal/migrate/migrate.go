// Package migrate executes moves of data between shards as package mover decides them. It reads and writes items
// through the module as requests of low worth, which yield to all other requests, switches moved items in the
// catalogue, and keeps the mover's log on disk. The gateway runs it.
package migrate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"eiderhold/internal/extent"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
	"eiderhold/internal/store"
	"eiderhold/mover"
	"eiderhold/rebalance"
)

// LogFile is the name of the mover's log in a gateway's folder.
const LogFile = "moves.log"

// compactThreshold is the number of records at which the log is rewritten without finished moves.
const compactThreshold = 10_000

// Options of a runner.
type Options struct {
	Dir      string // folder of the log
	Settings mover.Settings
	Store    *store.Catalogue
	Host     *host.Host
	Work     extent.CostModel
	Plan     func(volume string) string
	Deadline time.Duration // deadline of a request
	Log      *slog.Logger
}

// Runner executes moves.
type Runner struct {
	opt         Options
	log         *logFile
	mover       *mover.Mover
	startTime   time.Time
	nextID      uint64 // ID of the next move
	recordCount int    // number of records in the log

	ended    chan endedAction
	commands chan func(context.Context)
	stopped  chan struct{}
}

type endedAction struct {
	mover.Action
	outcome mover.Outcome
	version uint64
}

// New opens the log and returns a runner. Run continues the moves in the log.
func New(opt Options) (*Runner, error) {
	l, records, droppedBytes, err := openLog(filepath.Join(opt.Dir, LogFile))
	if err != nil {
		return nil, err
	}
	if droppedBytes > 0 {
		opt.Log.Warn("migrate: the end of the log was cut by a crash; what it said was not begun", "bytes", droppedBytes)
	}
	r := &Runner{opt: opt, log: l, startTime: time.Now(), recordCount: len(records), ended: make(chan endedAction, 64), commands: make(chan func(context.Context)), stopped: make(chan struct{})}
	if r.mover, err = mover.New(opt.Settings, records, 0); err != nil {
		l.close()
		return nil, fmt.Errorf("migrate: %s: %w", l.path, err)
	}
	for _, x := range records {
		r.nextID = max(r.nextID, x.ID+1)
	}
	return r, nil
}

func (r *Runner) now() time.Duration { return time.Since(r.startTime) }

// Run executes moves until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.stopped)
	defer r.log.close()
	r.process(ctx, r.mover.Tick(r.now()))
	for {
		var timer <-chan time.Time
		if at, ok := r.mover.Next(); ok {
			timer = time.After(max(at-r.now(), time.Millisecond))
		}
		select {
		case <-ctx.Done():
			return
		case e := <-r.ended:
			r.process(ctx, r.mover.Ended(e.Action, e.outcome, e.version, r.now()))
		case f := <-r.commands:
			f(ctx)
		case <-timer:
			r.process(ctx, r.mover.Tick(r.now()))
		}
	}
}

// process writes the records to the log, then starts the actions. It blocks while the log cannot be written.
func (r *Runner) process(ctx context.Context, ready mover.Ready) {
	for err := r.log.append(ready.Records); err != nil; err = r.log.replace(r.mover.Log()) {
		// records may be partly written, so retries rewrite the whole log, which includes them
		r.opt.Log.Error("migrate: the log cannot be written; nothing moves until it can", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
	r.recordCount += len(ready.Records)
	for _, x := range ready.Records {
		switch x.Step {
		case mover.Done, mover.Undoing, mover.Undone:
			r.opt.Log.Info("migrate: move", "id", x.ID, "is", x.Step.String(), "why", x.Why)
		}
	}
	if r.recordCount > compactThreshold {
		kept := r.mover.Compact()
		if err := r.log.replace(kept); err != nil {
			r.opt.Log.Warn("migrate: the log could not be compacted", "err", err)
		}
		r.recordCount = len(kept)
	}
	for _, a := range ready.Actions {
		r.startAction(ctx, a)
	}
}

// extentNumber returns the number that identifies an item to the mover: the part's index and the try in its name
// (at most 3).
func extentNumber(part, try int) uint64 { return uint64(part)<<2 | uint64(try) }

func partOf(extent uint64) (part, try int) { return int(extent >> 2), int(extent & 3) }

// splitName splits the name of a move into base and path.
func splitName(name string) (base, path string) {
	base, path, _ = strings.Cut(name, "\x00")
	return base, path
}

// startAction starts an action, whose result is sent to r.ended.
func (r *Runner) startAction(ctx context.Context, a mover.Action) {
	done := func(how mover.Outcome, version uint64) {
		go func() { // host and catalogue call this from their loops, which must not block
			select {
			case r.ended <- endedAction{a, how, version}:
			case <-ctx.Done():
			}
		}()
	}
	mv := r.mover.Move(a.ID)
	base, path := splitName(mv.Name)
	part, try := partOf(a.Extent)
	item := store.Item(base, part, try)
	switch a.Kind {
	case mover.Switch:
		parts := make([]int, len(mv.Items))
		for i, x := range mv.Items {
			parts[i], _ = partOf(x.Extent)
		}
		r.opt.Store.MoveParts(mv.Volume, path, base, parts, mv.Source, mv.Target, func(err error) {
			switch {
			case err == nil:
				done(mover.OK, 0)
			case errors.Is(err, store.ErrPartsMoved):
				done(mover.Refused, 0)
			default:
				r.opt.Log.Warn("migrate: a move could not be switched; the switch is retried", "id", a.ID, "err", err)
				done(mover.Failed, 0)
			}
		})
	case mover.Remove:
		if a.Shard == mv.Source { // garbage since the switch; collected once no transfer reads it
			done(mover.OK, 0)
			return
		}
		r.submit(&host.Request{Volume: mv.Volume, Item: item, Shard: a.Shard, Units: 1, Op: nodewire.Delete}, func(x host.Answer) {
			done(outcomeOf(x.Kind == host.Served), 0)
		})
	case mover.Copy:
		e, ok, err := r.opt.Store.Stat(mv.Volume, path)
		if err != nil {
			done(mover.Failed, 0)
			return
		}
		if !ok || e.Base != base || part >= len(e.Parts) { // the file was replaced or removed
			done(mover.Gone, 0)
			return
		}
		r.copyItem(mv, item, e.Parts[part], func(err error) {
			if err != nil {
				r.opt.Log.Debug("migrate: an item could not be copied; the copy is retried", "id", a.ID, "item", item, "err", err)
			}
			done(outcomeOf(err == nil), 0)
		})
	}
}

func outcomeOf(ok bool) mover.Outcome {
	if ok {
		return mover.OK
	}
	return mover.Failed
}

// copyItem reads an item at the source and writes it at the target.
func (r *Runner) copyItem(mv *mover.Move, item string, p store.Part, done func(error)) {
	units := r.opt.Work.Units(p.Length)
	r.submit(&host.Request{Volume: mv.Volume, Item: item, Shard: mv.Source, Units: units, Op: nodewire.Read, Length: p.Length}, func(x host.Answer) {
		if x.Kind != host.Served || x.Data == nil {
			if x.Data != nil {
				x.Data.Release()
			}
			done(fmt.Errorf("read at shard %d: %s", mv.Source, x.Cause))
			return
		}
		if len(x.Data.B) != p.Length || xxhash.Sum64(x.Data.B) != p.Sum {
			x.Data.Release()
			done(fmt.Errorf("shard %d returned data with another length or checksum than written", mv.Source))
			return
		}
		data := x.Data
		r.submit(&host.Request{Volume: mv.Volume, Item: item, Shard: mv.Target, Units: units, Op: nodewire.Write, Key: item, Payload: data.B}, func(y host.Answer) {
			if y.Kind == host.Served {
				data.Release() // only if served: after another result a waiting attempt may still use the data
				done(nil)
				return
			}
			done(fmt.Errorf("write at shard %d: %s", mv.Target, y.Cause))
		})
	})
}

// submit submits a request of the collector's class, which has the lowest worth. The answer comes on the host's
// loop.
func (r *Runner) submit(q *host.Request, answer func(host.Answer)) {
	q.Class, q.Plan, q.Hosts, q.Expires, q.Answer = r.opt.Work.CollectClass, r.opt.Plan(q.Volume), 1, r.opt.Deadline, answer
	if _, err := r.opt.Host.Submit(q); err != nil {
		answer(host.Answer{Kind: host.Refused, Cause: err.Error()})
	}
}

// ErrStopped is returned when the gateway is shutting down.
var ErrStopped = errors.New("migrate: the gateway is ending")

// do runs f on the loop of Run, with Run's context, so that what f starts does not depend on the caller's context.
func (r *Runner) do(f func(context.Context)) error {
	done := make(chan struct{})
	select {
	case r.commands <- func(ctx context.Context) { f(ctx); close(done) }:
		<-done
		return nil
	case <-r.stopped:
		return ErrStopped
	}
}

// Start starts the moves of a plan and returns their number. It skips moves of file versions that another move is
// waiting or active for, and moves to a shard where items of the version are still to be collected as garbage: the
// collection would remove the items copied there.
func (r *Runner) Start(p *rebalance.Plan) (started int, err error) {
	wave := make([]int, len(p.Moves))
	for w, list := range p.Waves {
		for _, i := range list {
			wave[i] = w
		}
	}
	wanted := map[string][]int{} // by volume and base
	for i, m := range p.Moves {
		wanted[m.Volume+"\x00"+m.Base] = append(wanted[m.Volume+"\x00"+m.Base], i)
	}
	var volumes []string
	for _, m := range p.Moves {
		if !slices.Contains(volumes, m.Volume) {
			volumes = append(volumes, m.Volume)
		}
	}
	var moves []mover.Move
	if err := r.opt.Store.ForEachEntry(volumes, func(volume, path string, e *store.Entry) {
		for _, i := range wanted[volume+"\x00"+e.Base] {
			m := &p.Moves[i]
			mv := mover.Move{Volume: volume, Name: e.Base + "\x00" + path, Source: m.Shard, Target: m.To, Wave: wave[i]}
			for k, part := range e.Parts {
				if part.Shard == m.Shard {
					mv.Items = append(mv.Items, mover.Item{Extent: extentNumber(k, part.Try), Bytes: int64(part.Length)})
				}
			}
			if len(mv.Items) > 0 && len(mv.Items) <= mover.MaxItems {
				moves = append(moves, mv)
			}
		}
	}); err != nil {
		return 0, err
	}
	failed := r.do(func(ctx context.Context) {
		bases := map[string]bool{}
		for i := range moves {
			base, _ := splitName(moves[i].Name)
			bases[base] = true
		}
		var left map[string]map[int]bool
		if left, err = r.opt.Store.GarbageShards(bases); err != nil {
			return
		}
		rest := moves[:0]
		for _, mv := range moves {
			if base, _ := splitName(mv.Name); !left[base][mv.Target] && !r.mover.Moving(mv.Volume, mv.Name) {
				mv.ID = r.nextID + uint64(len(rest))
				rest = append(rest, mv)
			}
		}
		var ready mover.Ready
		if ready, err = r.mover.Add(rest, r.now()); err == nil {
			r.nextID += uint64(len(rest))
			started = len(rest)
			r.process(ctx, ready)
		}
	})
	return started, errors.Join(failed, err)
}

// Undo undoes a move.
func (r *Runner) Undo(id uint64) (err error) {
	failed := r.do(func(ctx context.Context) {
		var ready mover.Ready
		if ready, err = r.mover.Undo(id, "an operator asked for it", r.now()); err == nil {
			r.process(ctx, ready)
		}
	})
	return errors.Join(failed, err)
}

// Progress returns the progress of all moves.
func (r *Runner) Progress() (list []mover.Progress, err error) {
	err = r.do(func(context.Context) { list = r.mover.Progress() })
	return list, err
}
