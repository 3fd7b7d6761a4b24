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

// announceStep is the maximum number of a file's extents that are announced to the catalogue at a time.
const announceStep = 1024

// writer writes one new version of a file: first its extents under new item names, then the catalogue
// entry in one step.
type writer struct {
	transfer   *transfer
	path       string
	base       string
	announced  int // extents that the catalogue has recorded and that may be written
	announcing int // extents up to which an announcement was made, recorded or not

	current       *buffer.Buffer
	announcedSize int64 // file size in the client's file list
	parts         []store.Part
	unannounced   []*outgoingExtent // extents that wait for their announcement to be recorded
	openExtents   int               // finished extents that are neither served nor given up
	orphans       []store.OrphanItem
	heldBytes     int64
	quota         *placement.Quota // nil: no quota, or already released
	replacedBytes int64            // size of the replaced version; set only with a quota

	final      *proto.File
	committing bool
	cleanedUp  bool
	done       bool
	err        error
}

// outgoingExtent is a finished extent that is to be written to a node.
type outgoingExtent struct {
	index   int
	try     int
	data    *buffer.Buffer
	request *extentRequest
}

// Create begins a new version of the file at f's path.
func (t *transfer) Create(f proto.File) proto.Writer {
	w := &writer{transfer: t, path: f.Path, announcedSize: f.Size, base: t.front.opt.Catalogue.NewItemPrefix()}
	t.writers[w] = true
	if err := w.admit(); err != nil {
		t.refused++
		w.fail(err)
		return w
	}
	if f.Size > 0 {
		w.announce(int(min(f.Size/int64(t.front.opt.ExtentBytes)+1, announceStep)))
	}
	return w
}

// admit refuses a file before any of its data is accepted if no node has room for it or if it exceeds
// the module's quota.
func (w *writer) admit() error {
	t, f := w.transfer, w.transfer.front
	if f.opt.ChooseShards != nil && w.announcedSize > 0 {
		if _, err := f.opt.ChooseShards(t.module.Name, w.base, 0, w.announcedSize); err != nil {
			return &ExtentError{Refused: true, Cause: err.Error()}
		}
	}
	if t.module.QuotaBytes <= 0 {
		return nil
	}
	old, _, err := f.opt.Catalogue.Stat(t.module.Name, w.path)
	if err != nil {
		return err
	}
	if old.Base != "" {
		w.replacedBytes = old.Size
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// The usage is read with the lock held: otherwise a reservation that is released meanwhile would be
	// counted neither as used nor as reserved.
	u, err := f.opt.Catalogue.Usage(t.module.Name)
	if err != nil {
		return err
	}
	q := f.quotas[t.module.Name]
	if q == nil {
		q = &placement.Quota{}
		f.quotas[t.module.Name] = q
	}
	q.MaxBytes = t.module.QuotaBytes
	if err := q.Reserve(t.module.Name, u.Bytes, w.replacedBytes, w.announcedSize); err != nil {
		return &ExtentError{Refused: true, Cause: err.Error()}
	}
	w.quota = q
	return nil
}

// releaseQuota releases the quota reservation once the catalogue counts the version or the file is given up.
func (w *writer) releaseQuota() {
	if w.quota == nil {
		return
	}
	w.transfer.front.mu.Lock()
	w.quota.Release(w.replacedBytes, w.announcedSize)
	w.transfer.front.mu.Unlock()
	w.quota = nil
}

// announce has the catalogue record that the first n extents may be written, so that they can be
// deleted if the file is never committed.
func (w *writer) announce(n int) {
	if n <= w.announcing {
		return
	}
	w.announcing = n
	w.transfer.front.opt.Catalogue.Begin(w.transfer.module.Name, w.base, n, func(err error) {
		w.transfer.conn.post(func() {
			if err != nil {
				w.fail(err)
				return
			}
			w.announced = max(w.announced, n)
			w.sendAnnounced()
		})
	})
}

// HasRoom reports whether the writer accepts more data: one extent always, more as long as the
// transfer's window and the budget allow.
func (w *writer) HasRoom() bool {
	if w.err != nil || w.heldBytes <= int64(w.transfer.front.opt.ExtentBytes) {
		return true
	}
	return w.heldBytes < int64(w.transfer.pacing.Window()+1)*int64(w.transfer.front.opt.ExtentBytes) && w.transfer.front.budgetHasRoom()
}

// budgetHasRoom reports whether the budget is not used up, apart from its reserve.
func (f *Front) budgetHasRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Used() < int64(float64(f.budget.Limit)*(1-f.budget.Reserve))
}

// Write accepts the next bytes of the file. An extent is finished once it has its full size.
func (w *writer) Write(p []byte) {
	for len(p) > 0 && w.err == nil {
		if w.current == nil {
			w.current = buffer.Get(w.transfer.front.opt.ExtentBytes)
			w.current.B = w.current.B[:0]
			w.reserve(int64(w.transfer.front.opt.ExtentBytes))
		}
		n := min(len(p), w.transfer.front.opt.ExtentBytes-len(w.current.B))
		w.current.B = append(w.current.B, p[:n]...)
		p = p[n:]
		if len(w.current.B) == w.transfer.front.opt.ExtentBytes {
			w.finishExtent()
		}
	}
}

// reserve takes bytes from the budget without a check: the data has already arrived, so each transfer may
// exceed the budget by one extent.
func (w *writer) reserve(bytes int64) {
	w.heldBytes += bytes
	f := w.transfer.front
	f.mu.Lock()
	f.budget.AllocateUnchecked(bytes)
	f.mu.Unlock()
}

func (w *writer) release(bytes int64) {
	w.heldBytes -= bytes
	w.transfer.front.releaseBudget(bytes)
}

// finishExtent closes the current extent and queues it for writing.
func (w *writer) finishExtent() {
	data := w.current
	w.current = nil
	i := len(w.parts)
	w.parts = append(w.parts, store.Part{Shard: -1, Length: len(data.B), Sum: xxhash.Sum64(data.B)})
	w.openExtents++
	w.unannounced = append(w.unannounced, &outgoingExtent{index: i, data: data})
	if i+1 >= w.announcing {
		w.announce(max(i+1, min(2*w.announcing, w.announcing+announceStep)))
	}
	w.sendAnnounced()
}

// sendAnnounced sends the extents whose announcement is recorded.
func (w *writer) sendAnnounced() {
	for len(w.unannounced) > 0 && w.unannounced[0].index < w.announced && w.err == nil {
		x := w.unannounced[0]
		w.unannounced = w.unannounced[1:]
		w.sendExtent(x)
	}
	w.commitIfComplete()
}

func (w *writer) sendExtent(x *outgoingExtent) {
	t := w.transfer
	class := t.front.opt.Work.WriteClass
	x.request = &extentRequest{index: x.index, bytes: int64(len(x.data.B)), class: class, reserved: true, shard: control.AnyShard, writer: w,
		onAbandon: func() { w.dropExtent(x) },
		build: func(try pacing.Try) (*host.Request, error) {
			var placed Placement
			if place := t.front.opt.ChooseShards; place != nil {
				var err error
				if placed, err = place(t.module.Name, w.base, x.index, w.announcedSize); err != nil {
					return nil, err
				}
			}
			item := store.Item(w.base, x.index, x.try)
			return &host.Request{Class: class, Plan: t.module.Plan, Volume: t.module.Name, Item: item, Shard: control.AnyShard,
				Hosts: t.module.Gateways, Units: t.front.opt.Work.Units(len(x.data.B)), Share: t.module.Share,
				Expires: try.Expires, Retry: try.Retry, Tiers: placed.Tiers, Avoid: placed.Avoid, Op: nodewire.Write, Key: item, Payload: x.data.B}, nil
		},
		onAnswer: func(a host.Answer) (pacing.TryResult, string) {
			switch a.Kind {
			case host.Served:
				w.parts[x.index].Shard, w.parts[x.index].Try = a.Shard, x.try
				t.writtenBytes += int64(len(x.data.B))
			case host.Failed: // the write may have been executed: the next try uses another item
				w.orphans = append(w.orphans, store.OrphanItem{Index: x.index, Try: x.try})
				x.try++
			}
			return pacingKind(a), a.Cause
		},
		onDone: func(err error) {
			w.openExtents--
			w.dropExtent(x)
			if err != nil {
				w.fail(err)
			}
			w.commitIfComplete()
		}}
	t.enqueue(x.request)
}

func (w *writer) dropExtent(x *outgoingExtent) {
	if x.data == nil {
		return
	}
	if w.parts[x.index].Shard >= 0 { // otherwise a waiting attempt may still use the buffer
		x.data.Release()
	}
	x.data = nil
	w.release(int64(w.transfer.front.opt.ExtentBytes))
}

// Finish ends the data of the file. final holds the attributes for its catalogue entry.
func (w *writer) Finish(final proto.File) {
	if w.err == nil && w.current != nil {
		w.finishExtent()
	}
	w.final = &final
	w.commitIfComplete()
}

// commitIfComplete commits the entry once all extents are served.
func (w *writer) commitIfComplete() {
	if w.final == nil || w.err != nil || w.committing || w.openExtents > 0 {
		return
	}
	w.committing = true
	f := w.final
	mtime := f.MTime
	if mtime == 0 {
		mtime = time.Now().Unix()
	}
	e := store.Entry{Mode: f.Mode, Size: f.Size, MTime: mtime, UID: f.UID, GID: f.GID, Base: w.base, Parts: w.parts}
	if len(w.parts) == 0 {
		e.Base = ""
	}
	w.transfer.front.opt.Catalogue.Commit(w.transfer.module.Name, w.path, e, w.orphans, func(err error) {
		w.transfer.conn.post(func() { w.complete(err) })
	})
}

func (w *writer) complete(err error) {
	if w.done {
		return
	}
	w.done, w.err = true, err
	delete(w.transfer.writers, w)
	w.releaseQuota()
	if !w.transfer.ended {
		w.err = w.transfer.finishFile(err)
	}
}

// fail gives the file up; the stored version stays.
func (w *writer) fail(err error) {
	if w.err != nil || w.done || w.committing {
		return
	}
	w.err = err
	w.cleanUp()
	w.complete(err)
}

// cleanUp releases the buffers and records extents that may have been written as garbage.
func (w *writer) cleanUp() {
	if w.cleanedUp {
		return
	}
	w.cleanedUp = true
	if w.current != nil {
		w.current.Release()
		w.current = nil
		w.release(int64(w.transfer.front.opt.ExtentBytes))
	}
	for _, x := range w.unannounced {
		w.dropExtent(x)
	}
	w.unannounced = nil
	g := store.Garbage{Volume: w.transfer.module.Name, Base: w.base, Orphans: w.orphans}
	for p := range w.transfer.inFlight {
		if p.writer == w {
			p.abandon()
		}
	}
	for _, p := range w.transfer.queue {
		if p.writer == w {
			p.abandon()
		}
	}
	g.Parts = append(g.Parts, w.parts...)
	w.transfer.front.opt.Catalogue.Abort(g, func(err error) {
		if err != nil {
			w.transfer.front.opt.Log.Warn("extents of an aborted push could not be recorded as garbage; the next start will record them", "base", w.base, "err", err)
		}
	})
}

// Abort gives the file up because the client sends it again or the transfer has ended.
func (w *writer) Abort(reason error) {
	if w.done || w.committing {
		return
	}
	w.err = reason
	w.cleanUp()
	w.done = true
	delete(w.transfer.writers, w)
	w.releaseQuota()
}

// Done reports whether the file is committed or given up, with the error in the latter case.
func (w *writer) Done() (bool, error) { return w.done, w.err }
