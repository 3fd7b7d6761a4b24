package rsync

import (
	"errors"
	"fmt"
	"path"
	"time"

	"eiderhold/internal/host"
	proto "eiderhold/internal/rsync"
	"eiderhold/internal/store"
	"eiderhold/pacing"
)

// transfer is one client's transfer: the tree that its session sees, and its
// requests to the host. It belongs to the connection's loop.
type transfer struct {
	c      *conn
	f      *Front
	m      *Module
	what   proto.Transfer
	pace   *pacing.Transfer
	unpin  func()
	began  time.Duration
	holds  int64 // bytes booked in the budget
	wanted []*piece
	again  bool // a timer for the rate is out
	out    map[*piece]bool
	writes map[*writer]bool
	booked map[string]proto.File // entries whose booking is under way
	ended  bool

	files, leftOut  int
	sent, taken     int64
	refused, failed int
	lastWhy         string
}

func newTransfer(c *conn, m *Module, what proto.Transfer) *transfer {
	f := c.f
	t := &transfer{c: c, f: f, m: m, what: what, began: f.opt.Host.Now(), unpin: f.opt.Catalogue.Pin(),
		pace: pacing.New(f.opt.Pacing, time.Duration(what.Timeout)*time.Second, float64(what.BWLimit)*1024, f.nextSeed()),
		out:  map[*piece]bool{}, writes: map[*writer]bool{}, booked: map[string]proto.File{}}
	c.transfer = t
	return t
}

func fileOf(p string, e store.Entry) proto.File {
	return proto.File{Path: p, Mode: e.Mode, Size: e.Size, MTime: e.MTime, UID: e.UID, GID: e.GID, Link: e.Link, Ref: e}
}

const rootMode = 0o040755

// Stat finds an entry, also one whose booking is under way.
func (t *transfer) Stat(p string) (proto.File, bool, error) {
	if f, ok := t.booked[p]; ok {
		return f, true, nil
	}
	e, ok, err := t.f.opt.Catalogue.Stat(t.m.Name, p)
	if err == nil && !ok && p == "." {
		return proto.File{Path: ".", Mode: rootMode}, true, nil
	}
	return fileOf(p, e), ok, err
}

// Scan lists entries.
func (t *transfer) Scan(dir, after string, deep bool, n int) ([]proto.File, error) {
	list, err := t.f.opt.Catalogue.Scan(t.m.Name, dir, after, deep, n)
	files := make([]proto.File, len(list))
	for i, e := range list {
		files[i] = fileOf(e.Path, e.Entry)
	}
	return files, err
}

// counted marks an error that file has booked.
type counted struct{ error }

func (c counted) Unwrap() error { return c.error }

// Log notes what happened to one file.
func (t *transfer) Log(what, p string, err error) {
	if what == "push" && !errors.As(err, new(counted)) {
		t.leftOut++
		t.failed++
		t.lastWhy = err.Error()
	}
	t.f.opt.Log.Info("transfer: "+what, "client", t.c.remote, "module", t.m.Name, "path", p, "err", err)
}

// End closes the transfer: what is still out is no longer waited for, what was not
// committed is not to be.
func (t *transfer) End(err error) {
	if t.ended {
		return
	}
	t.ended = true
	for w := range t.writes {
		w.Abort(errors.New("the transfer ended"))
	}
	for p := range t.out {
		p.drop()
	}
	t.wanted = nil
	t.unpin()
	t.report(err)
}

// report logs how the transfer ended: served, refused or failed, and why.
func (t *transfer) report(err error) {
	result, why := "served", ""
	switch {
	case err != nil:
		result, why = "failed", err.Error()
	case t.leftOut > 0 && t.failed == 0:
		result, why = "refused", t.lastWhy
	case t.leftOut > 0:
		result, why = "failed", t.lastWhy
	}
	direction := "pull"
	if t.what.Push {
		direction = "push"
	}
	f := t.f
	f.mu.Lock()
	switch result {
	case "served":
		f.stats.Served++
	case "refused":
		f.stats.Refused++
	default:
		f.stats.Failed++
	}
	f.stats.FilesLeftOut += uint64(t.leftOut)
	f.mu.Unlock()
	f.opt.Log.Info("transfer ended", "client", t.c.remote, "user", t.what.User, "module", t.m.Name, "direction", direction,
		"result", result, "why", why, "files", t.files, "left_out", t.leftOut, "read", t.sent, "written", t.taken,
		"took", (f.opt.Host.Now() - t.began).Round(time.Millisecond))
}

// file books the end of a file. It returns the error that the session is to tell.
func (t *transfer) file(err error) error {
	if err == nil {
		t.files++
		t.pace.FileEnded(true)
		return nil
	}
	t.leftOut++
	t.lastWhy = err.Error()
	if t.pace.FileEnded(false) {
		err = fmt.Errorf("%w after %d files left out in a row: %w", proto.ErrEnd, t.f.opt.Pacing.MaxFilesLeftOut, err)
	}
	return counted{err}
}

// ---- asking ----

// piece is one extent that the transfer wants read or written.
type piece struct {
	t       *transfer
	x       *pacing.Extent // nil: not asked for yet
	index   int
	bytes   int64
	class   string
	needed  bool // the session waits for it
	bounded bool // how long it may wait for the budget
	booked  bool // in the budget
	id      uint64
	asked   bool // a request is with the host
	gone    bool
	request func(pacing.Try) (*host.Request, error)      // the error says that nothing can take it now
	ended   func(host.Answer) (pacing.TryResult, string) // takes an answer, says how the try went
	done    func(error)                                  // nil: served
	shard   int
	owner   *writer // nil: a read
	before  string  // what came of the last try that reached a node
	onDrop  func()
}

// want puts a piece in line; one that is needed now goes first.
func (t *transfer) want(p *piece) {
	p.t = t
	if p.needed {
		t.wanted = append([]*piece{p}, t.wanted...)
	} else {
		t.wanted = append(t.wanted, p)
	}
	t.pump()
}

// need puts a piece that is in line already first.
func (t *transfer) need(p *piece) {
	if p.needed {
		return
	}
	p.needed = true
	for i, q := range t.wanted {
		if q == p {
			copy(t.wanted[1:i+1], t.wanted[:i])
			t.wanted[0] = p
			break
		}
	}
	t.pump()
}

// pump asks for pieces in line as far as the window, the rate and the budget let it.
func (t *transfer) pump() {
	for len(t.wanted) > 0 && !t.ended {
		p := t.wanted[0]
		if p.gone {
			t.wanted = t.wanted[1:]
			continue
		}
		now := t.f.opt.Host.Now()
		ok, at := t.pace.MayRequest(now)
		if !ok {
			if at > 0 && !t.again {
				t.again = true
				t.f.after(at, t.c, func() { t.again = false; t.pump() })
			}
			return
		}
		if !p.booked && !t.book(p) {
			t.bound(p)
			return
		}
		t.wanted = t.wanted[1:]
		p.x = t.pace.StartExtent(now, p.shard, int(p.bytes), t.f.classes[p.class].Deadline)
		t.out[p] = true
		p.ask()
	}
}

// bound sees to it that a piece which a client waits for, and for which there is no
// room in the budget, does not keep it waiting past its time.
func (t *transfer) bound(p *piece) {
	if !p.needed || p.bounded {
		return
	}
	p.bounded = true
	t.f.after(t.f.opt.Host.Now()+t.pace.ExtentTimeout(), t.c, func() {
		if p.x == nil && !p.gone && !t.ended {
			t.refused++
			p.end(&GivenUp{Refused: true, Why: "no room for it in rsync.buffer_bytes", Back: time.Second})
		}
	})
}

// book takes a piece's bytes from the budget of all transfers.
func (t *transfer) book(p *piece) bool {
	holds := t.holds
	if p.needed {
		holds = 0
	}
	f := t.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.budget.Take(p.bytes, holds) {
		f.hungry[t.c] = true
		return false
	}
	t.holds += p.bytes
	p.booked = true
	return true
}

// release gives a piece's bytes back and wakes who waits for them.
func (p *piece) release() {
	if !p.booked {
		return
	}
	p.booked = false
	if p.owner != nil {
		return // the writer books its bytes
	}
	p.t.holds -= p.bytes
	p.t.f.give(p.bytes)
}

func (f *Front) give(bytes int64) {
	f.mu.Lock()
	f.budget.Release(bytes)
	var wake []*conn
	for c := range f.hungry {
		if len(wake) == wakeMost {
			break
		}
		wake = append(wake, c)
		delete(f.hungry, c)
	}
	f.mu.Unlock()
	for _, c := range wake {
		c.post(c.feedAgain)
	}
}

// feedAgain lets a transfer that waited for the budget look again.
func (c *conn) feedAgain() {
	if t := c.transfer; t != nil && !c.dead {
		t.pump()
	}
}

// ask makes one try of the piece.
func (p *piece) ask() {
	t := p.t
	now := t.f.opt.Host.Now()
	try, ok := t.pace.StartTry(p.x, now)
	if !ok {
		p.end(errors.New("no time left for another try"))
		return
	}
	r, err := p.request(try)
	if err != nil { // no node was asked: trying again at once would help nobody
		t.pace.TryAbandoned(p.x)
		t.refused++
		g := &GivenUp{Refused: true, Why: err.Error()}
		errors.As(err, &g)
		g.Tries = p.x.Tries() - 1
		p.end(g)
		return
	}
	r.Answer = func(a host.Answer) { t.c.post(func() { p.answer(a) }) }
	id, err := t.f.opt.Host.Submit(r)
	p.id, p.asked = id, true
	if err != nil {
		p.answer(host.Answer{Kind: host.Refused, RetryAfter: fullPause, Cause: err.Error()})
	}
}

const wakeMost = 8 // transfers that look again when bytes of the budget are given back

const fullPause = 500 * time.Millisecond // what a refusal at the host's ceiling asks for

// answer takes the final answer of a try.
func (p *piece) answer(a host.Answer) {
	t := p.t
	if p.gone || t.ended {
		a.Data.Release()
		return
	}
	p.asked = false
	now := t.f.opt.Host.Now()
	if a.At > 0 {
		t.f.mu.Lock()
		t.f.stats.Deliver.Record(now - a.At)
		t.f.mu.Unlock()
	}
	kind, why := p.ended(a)
	if a.Attempts > 0 && kind != pacing.Served {
		p.before = why
	}
	next := t.pace.TryEnded(p.x, now, kind, a.RetryAfter)
	switch next.Step {
	case pacing.Done:
		p.end(nil)
	case pacing.Retry:
		t.f.after(next.At, t.c, func() {
			if !p.gone && !t.ended {
				p.ask()
			}
		})
	default:
		if kind == pacing.Refused {
			t.refused++
		} else {
			t.failed++
		}
		if p.before != "" && p.before != why {
			why += "; before: " + p.before
		}
		p.end(&GivenUp{Refused: kind == pacing.Refused, Why: why, Tries: p.x.Tries(), Back: next.RetryAfter})
	}
	t.pump()
}

// GivenUp says that an extent was given up. Its text has the seconds to come back in
// as "retry-after=N" at its end, where they are known.
type GivenUp struct {
	Refused bool
	Why     string
	Tries   int
	Back    time.Duration
}

func (g *GivenUp) Error() string {
	kind := "failed"
	if g.Refused {
		kind = "refused"
	}
	text := fmt.Sprintf("%s after %d tries: %s", kind, g.Tries, g.Why)
	if g.Back > 0 {
		text += fmt.Sprintf("; retry-after=%.1f", g.Back.Seconds())
	}
	return text
}

func (p *piece) end(err error) {
	delete(p.t.out, p)
	p.gone = true
	p.done(err)
}

// drop stops waiting for the piece.
func (p *piece) drop() {
	if p.gone {
		return
	}
	p.gone = true
	delete(p.t.out, p)
	if p.asked {
		p.t.pace.TryAbandoned(p.x)
		p.t.f.opt.Host.ClientGone(p.id)
	}
	if p.onDrop != nil {
		p.onDrop()
	}
	p.release()
}

// ---- booking entries without content ----

// pending is a change of the catalogue that is under way.
type pending struct {
	done bool
	err  error
}

func (p *pending) Done() (bool, error) { return p.done, p.err }

// Put books a directory, a link or other attributes of a file.
func (t *transfer) Put(f proto.File) proto.Pending {
	if f.MTime == 0 {
		f.MTime = time.Now().Unix()
	}
	p := &pending{}
	t.booked[f.Path] = f
	done := func(err error) {
		t.c.post(func() {
			p.done, p.err = true, err
			if cur, ok := t.booked[f.Path]; ok && cur.MTime == f.MTime && cur.Mode == f.Mode {
				delete(t.booked, f.Path)
			}
		})
	}
	if old, ok := f.Ref.(store.Entry); ok && f.IsRegular() {
		t.f.opt.Catalogue.Amend(t.m.Name, f.Path, old.Base, func(e *store.Entry) {
			e.Mode, e.MTime, e.UID, e.GID = f.Mode, f.MTime, f.UID, f.GID
		}, done)
		return p
	}
	t.f.opt.Catalogue.Commit(t.m.Name, path.Clean(f.Path), store.Entry{Mode: f.Mode, MTime: f.MTime,
		UID: f.UID, GID: f.GID, Link: f.Link, Size: int64(len(f.Link))}, nil, done)
	return p
}
