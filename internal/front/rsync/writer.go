package rsync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"eiderhold/control"
	"eiderhold/internal/buffer"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
	proto "eiderhold/internal/rsync"
	"eiderhold/internal/store"
	"eiderhold/pacing"
	"eiderhold/placement"
)

// beginStep is how many of a file's extents are announced to the catalogue at a time.
const beginStep = 1024

// writer writes one new version of a file: its extents under new names, then the
// catalogue's entry, at once.
type writer struct {
	t     *transfer
	path  string
	base  string
	begun int // parts that the catalogue knows may be written
	asked int // parts that it is being told of

	cur     *buffer.Buffer
	size    int64 // as the client announced it
	parts   []store.Part
	waiting []*extentOut // until the catalogue knows of them
	open    int          // extents neither served nor given up
	lost    []store.Lost
	held    int64
	quota   *placement.Quota // nil: none, or given back
	old     int64            // bytes of the version that it replaces, with a quota

	final    *proto.File
	finished bool
	aborted  bool
	done     bool
	err      error
}

// extentOut is one extent on its way.
type extentOut struct {
	index int
	try   int
	data  *buffer.Buffer
	piece *piece
}

// Create begins a new version of the file at f's path.
func (t *transfer) Create(f proto.File) proto.Writer {
	w := &writer{t: t, path: f.Path, size: f.Size, base: t.f.opt.Catalogue.NewBase()}
	t.writes[w] = true
	if err := w.admit(); err != nil {
		t.refused++
		w.fail(err)
		return w
	}
	if f.Size > 0 {
		w.announce(int(min(f.Size/int64(t.f.opt.ExtentBytes)+1, beginStep)))
	}
	return w
}

// admit refuses a file before any of it is taken: if no node has room, or if it does not fit into its
// module's quota.
func (w *writer) admit() error {
	t, f := w.t, w.t.f
	if f.opt.Place != nil && w.size > 0 {
		if _, err := f.opt.Place(t.m.Name, w.base, 0, w.size); err != nil {
			return &GivenUp{Refused: true, Why: err.Error()}
		}
	}
	if t.m.Quota <= 0 {
		return nil
	}
	old, _, err := f.opt.Catalogue.Stat(t.m.Name, w.path)
	if err != nil {
		return err
	}
	if old.Base != "" {
		w.old = old.Size
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Read with the lock held: what is given back meanwhile would be neither in the one nor in the other.
	u, err := f.opt.Catalogue.Usage(t.m.Name)
	if err != nil {
		return err
	}
	q := f.quotas[t.m.Name]
	if q == nil {
		q = &placement.Quota{}
		f.quotas[t.m.Name] = q
	}
	q.MaxBytes = t.m.Quota
	if err := q.Reserve(t.m.Name, u.Bytes, w.old, w.size); err != nil {
		return &GivenUp{Refused: true, Why: err.Error()}
	}
	w.quota = q
	return nil
}

// unquota gives back what was booked of the quota: the catalogue counts the version, or it is given up.
func (w *writer) unquota() {
	if w.quota == nil {
		return
	}
	w.t.f.mu.Lock()
	w.quota.Release(w.old, w.size)
	w.t.f.mu.Unlock()
	w.quota = nil
}

// announce tells the catalogue that parts up to n may be written.
func (w *writer) announce(n int) {
	if n <= w.asked {
		return
	}
	w.asked = n
	w.t.f.opt.Catalogue.Begin(w.t.m.Name, w.base, n, func(err error) {
		w.t.c.post(func() {
			if err != nil {
				w.fail(err)
				return
			}
			w.begun = max(w.begun, n)
			w.leave()
		})
	})
}

// Room says that the writer can take more: one extent always, more as long as the
// transfer's window and the budget allow.
func (w *writer) Room() bool {
	if w.err != nil || w.held <= int64(w.t.f.opt.ExtentBytes) {
		return true
	}
	return w.held < int64(w.t.pace.Window()+1)*int64(w.t.f.opt.ExtentBytes) && w.t.f.hasRoom()
}

// hasRoom says that the budget is not used up.
func (f *Front) hasRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Used() < int64(float64(f.budget.Limit)*(1-f.budget.Reserve))
}

// Write takes bytes of the file, in order.
func (w *writer) Write(p []byte) {
	for len(p) > 0 && w.err == nil {
		if w.cur == nil {
			w.cur = buffer.Get(w.t.f.opt.ExtentBytes)
			w.cur.B = w.cur.B[:0]
			w.hold(int64(w.t.f.opt.ExtentBytes))
		}
		n := min(len(p), w.t.f.opt.ExtentBytes-len(w.cur.B))
		w.cur.B = append(w.cur.B, p[:n]...)
		p = p[n:]
		if len(w.cur.B) == w.t.f.opt.ExtentBytes {
			w.cut()
		}
	}
}

// hold books bytes that the writer has taken; they are there already, so the budget
// may be passed by one extent a transfer.
func (w *writer) hold(bytes int64) {
	w.held += bytes
	f := w.t.f
	f.mu.Lock()
	f.budget.AllocateUnchecked(bytes)
	f.mu.Unlock()
}

func (w *writer) unhold(bytes int64) {
	w.held -= bytes
	w.t.f.give(bytes)
}

// cut ends the present extent.
func (w *writer) cut() {
	data := w.cur
	w.cur = nil
	i := len(w.parts)
	w.parts = append(w.parts, store.Part{Shard: -1, Length: len(data.B), Sum: xxhash.Sum64(data.B)})
	w.open++
	w.waiting = append(w.waiting, &extentOut{index: i, data: data})
	if i+1 >= w.asked {
		w.announce(max(i+1, min(2*w.asked, w.asked+beginStep)))
	}
	w.leave()
}

// leave sends what the catalogue knows of.
func (w *writer) leave() {
	for len(w.waiting) > 0 && w.waiting[0].index < w.begun && w.err == nil {
		x := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.send(x)
	}
	w.settle()
}

func (w *writer) send(x *extentOut) {
	t := w.t
	class := t.f.opt.Work.WriteClass
	x.piece = &piece{index: x.index, bytes: int64(len(x.data.B)), class: class, booked: true, shard: control.AnyShard, owner: w,
		onDrop: func() { w.drop(x) },
		request: func(try pacing.Try) (*host.Request, error) {
			var spot Spot
			if place := t.f.opt.Place; place != nil {
				var err error
				if spot, err = place(t.m.Name, w.base, x.index, w.size); err != nil {
					return nil, err
				}
			}
			item := store.Item(w.base, x.index, x.try)
			return &host.Request{Class: class, Plan: t.m.Plan, Volume: t.m.Name, Item: item, Shard: control.AnyShard,
				Hosts: t.m.Hosts, Units: t.f.opt.Work.Units(len(x.data.B)), Share: t.m.Share,
				Expires: try.Expires, Retry: try.Retry, Tiers: spot.Tiers, Avoid: spot.Avoid, Op: nodewire.Write, Key: item, Payload: x.data.B}, nil
		},
		ended: func(a host.Answer) (pacing.TryResult, string) {
			switch a.Kind {
			case host.Served:
				w.parts[x.index].Shard, w.parts[x.index].Try = a.Shard, x.try
				t.taken += int64(len(x.data.B))
			case host.Failed: // it may have run: the next try is another item
				w.lost = append(w.lost, store.Lost{Index: x.index, Try: x.try})
				x.try++
			}
			return kindOf(a), a.Cause
		},
		done: func(err error) {
			w.open--
			w.drop(x)
			if err != nil {
				w.fail(err)
			}
			w.settle()
		}}
	t.want(x.piece)
}

func (w *writer) drop(x *extentOut) {
	if x.data == nil {
		return
	}
	if w.parts[x.index].Shard >= 0 { // else an attempt that waits may still use it
		x.data.Release()
	}
	x.data = nil
	w.unhold(int64(w.t.f.opt.ExtentBytes))
}

// Finish says that all bytes have come and what the entry is to be.
func (w *writer) Finish(final proto.File) {
	if w.err == nil && w.cur != nil {
		w.cut()
	}
	w.final = &final
	w.settle()
}

// settle commits the entry once all extents are served.
func (w *writer) settle() {
	if w.final == nil || w.err != nil || w.finished || w.open > 0 {
		return
	}
	w.finished = true
	f := w.final
	mtime := f.MTime
	if mtime == 0 {
		mtime = time.Now().Unix()
	}
	e := store.Entry{Mode: f.Mode, Size: f.Size, MTime: mtime, UID: f.UID, GID: f.GID, Base: w.base, Parts: w.parts}
	if len(w.parts) == 0 {
		e.Base = ""
	}
	w.t.f.opt.Catalogue.Commit(w.t.m.Name, w.path, e, w.lost, func(err error) {
		w.t.c.post(func() { w.end(err) })
	})
}

func (w *writer) end(err error) {
	if w.done {
		return
	}
	w.done, w.err = true, err
	delete(w.t.writes, w)
	w.unquota()
	if !w.t.ended {
		w.err = w.t.file(err)
	}
}

// fail gives the file up; the version that is there stays.
func (w *writer) fail(err error) {
	if w.err != nil || w.done || w.finished {
		return
	}
	w.err = err
	w.cleanUp()
	w.end(err)
}

// cleanUp lets go of what is held, and books what may have been written as garbage.
func (w *writer) cleanUp() {
	if w.aborted {
		return
	}
	w.aborted = true
	if w.cur != nil {
		w.cur.Release()
		w.cur = nil
		w.unhold(int64(w.t.f.opt.ExtentBytes))
	}
	for _, x := range w.waiting {
		w.drop(x)
	}
	w.waiting = nil
	g := store.Garbage{Volume: w.t.m.Name, Base: w.base, Lost: w.lost}
	for p := range w.t.out {
		if p.owner == w {
			p.drop()
		}
	}
	for _, p := range w.t.wanted {
		if p.owner == w {
			p.drop()
		}
	}
	g.Parts = append(g.Parts, w.parts...)
	w.t.f.opt.Catalogue.Abort(g, func(err error) {
		if err != nil {
			w.t.f.opt.Log.Warn("what a push left behind could not be booked; the next start will", "base", w.base, "err", err)
		}
	})
}

// Abort gives the file up for a reason of the session's: it will come again, or the
// transfer has ended.
func (w *writer) Abort(reason error) {
	if w.done || w.finished {
		return
	}
	w.err = reason
	w.cleanUp()
	w.done = true
	delete(w.t.writes, w)
	w.unquota()
}

// Done says that the file has come to its end.
func (w *writer) Done() (bool, error) { return w.done, w.err }
