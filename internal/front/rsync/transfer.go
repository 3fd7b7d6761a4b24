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

// transfer is the transfer of one connection. It implements proto.Tree for the session and submits
// requests to the host. Only the connection's event loop may use it.
type transfer struct {
	conn           *conn
	front          *Front
	module         *Module
	params         proto.Transfer
	pacing         *pacing.Transfer
	unpin          func()
	startedAt      time.Duration
	reservedBytes  int64 // bytes of reads reserved in the budget
	queue          []*extentRequest
	rateTimerSet   bool // a timer for the rate limit is pending
	inFlight       map[*extentRequest]bool
	writers        map[*writer]bool
	pendingEntries map[string]proto.File // entries whose change is not committed yet
	ended          bool

	files, leftOut          int
	readBytes, writtenBytes int64
	refused, failed         int
	lastCause               string
}

func newTransfer(c *conn, m *Module, params proto.Transfer) *transfer {
	f := c.front
	t := &transfer{conn: c, front: f, module: m, params: params, startedAt: f.opt.Host.Now(), unpin: f.opt.Catalogue.Pin(),
		pacing:   pacing.New(f.opt.Pacing, time.Duration(params.Timeout)*time.Second, float64(params.BWLimit)*1024, f.nextPacingSeed()),
		inFlight: map[*extentRequest]bool{}, writers: map[*writer]bool{}, pendingEntries: map[string]proto.File{}}
	c.transfer = t
	return t
}

func protoFile(p string, e store.Entry) proto.File {
	return proto.File{Path: p, Mode: e.Mode, Size: e.Size, MTime: e.MTime, UID: e.UID, GID: e.GID, Link: e.Link, Ref: e}
}

const rootMode = 0o040755 // mode of a module's root that has no entry in the catalogue

// Stat looks up an entry. It also finds one that is not committed yet.
func (t *transfer) Stat(p string) (proto.File, bool, error) {
	if f, ok := t.pendingEntries[p]; ok {
		return f, true, nil
	}
	e, ok, err := t.front.opt.Catalogue.Stat(t.module.Name, p)
	if err == nil && !ok && p == "." {
		return proto.File{Path: ".", Mode: rootMode}, true, nil
	}
	return protoFile(p, e), ok, err
}

// Scan lists entries of the catalogue below a directory.
func (t *transfer) Scan(dir, after string, deep bool, n int) ([]proto.File, error) {
	list, err := t.front.opt.Catalogue.Scan(t.module.Name, dir, after, deep, n)
	files := make([]proto.File, len(list))
	for i, e := range list {
		files[i] = protoFile(e.Path, e.Entry)
	}
	return files, err
}

// countedError marks an error that finishFile has already counted.
type countedError struct{ error }

func (c countedError) Unwrap() error { return c.error }

// Log logs an error of one file and counts it if the file is thereby left out of a push.
func (t *transfer) Log(what, p string, err error) {
	if what == "push" && !errors.As(err, new(countedError)) {
		t.leftOut++
		t.failed++
		t.lastCause = err.Error()
	}
	t.front.opt.Log.Info("transfer: "+what, "client", t.conn.remote, "module", t.module.Name, "path", p, "err", err)
}

// End ends the transfer: it abandons requests in flight and aborts files that are not committed.
func (t *transfer) End(err error) {
	if t.ended {
		return
	}
	t.ended = true
	for w := range t.writers {
		w.Abort(errors.New("the transfer ended"))
	}
	for p := range t.inFlight {
		p.abandon()
	}
	t.queue = nil
	t.unpin()
	t.logEnd(err)
}

// logEnd logs and counts the result of the transfer: served, refused or failed, and why.
func (t *transfer) logEnd(err error) {
	result, why := "served", ""
	switch {
	case err != nil:
		result, why = "failed", err.Error()
	case t.leftOut > 0 && t.failed == 0:
		result, why = "refused", t.lastCause
	case t.leftOut > 0:
		result, why = "failed", t.lastCause
	}
	direction := "pull"
	if t.params.Push {
		direction = "push"
	}
	f := t.front
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
	f.opt.Log.Info("transfer ended", "client", t.conn.remote, "user", t.params.User, "module", t.module.Name, "direction", direction,
		"result", result, "why", why, "files", t.files, "left_out", t.leftOut, "read", t.readBytes, "written", t.writtenBytes,
		"took", (f.opt.Host.Now() - t.startedAt).Round(time.Millisecond))
}

// finishFile counts a file as transferred or left out. It returns the error that the session reports to
// the client.
func (t *transfer) finishFile(err error) error {
	if err == nil {
		t.files++
		t.pacing.FileEnded(true)
		return nil
	}
	t.leftOut++
	t.lastCause = err.Error()
	if t.pacing.FileEnded(false) {
		err = fmt.Errorf("%w after %d files left out in a row: %w", proto.ErrEndTransfer, t.front.opt.Pacing.MaxFilesLeftOut, err)
	}
	return countedError{err}
}

// ---- requests ----

// extentRequest is an extent that the transfer reads or writes, over all tries.
type extentRequest struct {
	transfer      *transfer
	extent        *pacing.Extent // nil: still queued
	index         int
	bytes         int64
	class         string
	needed        bool // the session is waiting for the extent
	prefetch      bool // it was requested before the session waited for it
	onHold        bool // no further try before the session waits for it
	waitLimited   bool // its wait for the budget has a time limit
	reserved      bool // its bytes are reserved in the budget
	requestID     uint64
	submitted     bool // the host has a request for the extent
	finished      bool
	build         func(pacing.Try) (*host.Request, error)      // an error: no node can serve it now
	onAnswer      func(host.Answer) (pacing.TryResult, string) // handles an answer and returns the result of the try
	onDone        func(error)                                  // called with nil if the extent was served
	shard         int
	writer        *writer // nil for a read
	lastNodeCause string  // cause of the last unsuccessful try that reached a node
	lastFailed    bool    // the last try failed, and may have been executed
	onAbandon     func()
}

// enqueue queues a request; one that the session is waiting for goes first.
func (t *transfer) enqueue(p *extentRequest) {
	p.transfer = t
	if p.needed {
		t.queue = append([]*extentRequest{p}, t.queue...)
	} else {
		t.queue = append(t.queue, p)
	}
	t.dispatch()
}

// prioritize moves a queued request to the front because the session is waiting for it.
func (t *transfer) prioritize(p *extentRequest) {
	if p.needed {
		return
	}
	p.needed = true
	if p.extent != nil {
		t.pacing.Needed(p.extent, t.front.opt.Host.Now())
	}
	if p.onHold {
		p.onHold = false
		p.submit()
		return
	}
	for i, q := range t.queue {
		if q == p {
			copy(t.queue[1:i+1], t.queue[:i])
			t.queue[0] = p
			break
		}
	}
	t.dispatch()
}

// dispatch submits queued requests as far as the window, the rate and the budget allow.
func (t *transfer) dispatch() {
	for len(t.queue) > 0 && !t.ended {
		p := t.queue[0]
		if p.finished {
			t.queue = t.queue[1:]
			continue
		}
		now := t.front.opt.Host.Now()
		ok, at := t.pacing.MayRequest(now)
		if !ok {
			if at > 0 && !t.rateTimerSet {
				t.rateTimerSet = true
				t.front.after(at, t.conn, func() { t.rateTimerSet = false; t.dispatch() })
			}
			return
		}
		if !p.reserved && !t.reserve(p) {
			t.limitBudgetWait(p)
			return
		}
		t.queue = t.queue[1:]
		p.extent = t.pacing.StartExtent(now, p.shard, int(p.bytes), t.front.classes[p.class].Deadline)
		p.extent.Prefetch = p.prefetch && !p.needed
		t.inFlight[p] = true
		p.submit()
	}
}

// limitBudgetWait gives up a request that the session is waiting for if the budget has no room for it
// within the extent time-out.
func (t *transfer) limitBudgetWait(p *extentRequest) {
	if !p.needed || p.waitLimited {
		return
	}
	p.waitLimited = true
	t.front.after(t.front.opt.Host.Now()+t.pacing.ExtentTimeout(), t.conn, func() {
		if p.extent == nil && !p.finished && !t.ended {
			t.refused++
			p.finish(&ExtentError{Refused: true, Cause: "no room for it in rsync.buffer_bytes", RetryAfter: time.Second})
		}
	})
}

// reserve takes the bytes of a request from the budget of all transfers.
func (t *transfer) reserve(p *extentRequest) bool {
	holds := t.reservedBytes
	if p.needed {
		holds = 0
	}
	f := t.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.budget.Take(p.bytes, holds) {
		f.budgetWaiters[t.conn] = true
		return false
	}
	t.reservedBytes += p.bytes
	p.reserved = true
	return true
}

// releaseBudget returns the bytes of a request to the budget.
func (p *extentRequest) releaseBudget() {
	if !p.reserved {
		return
	}
	p.reserved = false
	if p.writer != nil {
		return // the writer accounts for the bytes
	}
	p.transfer.reservedBytes -= p.bytes
	p.transfer.front.releaseBudget(p.bytes)
}

// releaseBudget returns bytes to the budget and wakes connections that wait for them.
func (f *Front) releaseBudget(bytes int64) {
	f.mu.Lock()
	f.budget.Release(bytes)
	var wake []*conn
	for c := range f.budgetWaiters {
		if len(wake) == maxBudgetWakes {
			break
		}
		wake = append(wake, c)
		delete(f.budgetWaiters, c)
	}
	f.mu.Unlock()
	for _, c := range wake {
		c.post(c.dispatchAgain)
	}
}

// dispatchAgain retries the queue of a transfer that waited for the budget.
func (c *conn) dispatchAgain() {
	if t := c.transfer; t != nil && !c.ended {
		t.dispatch()
	}
}

// submit makes one try of the request.
func (p *extentRequest) submit() {
	t := p.transfer
	now := t.front.opt.Host.Now()
	try, ok := t.pacing.StartTry(p.extent, now)
	if !ok && t.pacing.MayHold(p.extent) {
		p.onHold = true
		return
	}
	if !ok {
		p.giveUp("no time left for another try", 0)
		return
	}
	r, err := p.build(try)
	if err != nil { // no node was asked: an immediate retry would have the same result
		t.pacing.TryAbandoned(p.extent)
		t.refused++
		g := &ExtentError{Refused: true, Cause: err.Error()}
		errors.As(err, &g)
		g.Tries = p.extent.Tries() - 1
		p.finish(g)
		return
	}
	r.Answer = func(a host.Answer) { t.conn.post(func() { p.handleAnswer(a) }) }
	id, err := t.front.opt.Host.Submit(r)
	p.requestID, p.submitted = id, true
	if err != nil {
		p.handleAnswer(host.Answer{Kind: host.Refused, RetryAfter: hostFullRetryAfter, Cause: err.Error()})
	}
}

const maxBudgetWakes = 8 // waiting connections woken when bytes are returned to the budget

// hostFullRetryAfter is the retry-after of a request that the host does not accept because it is full.
const hostFullRetryAfter = 500 * time.Millisecond

// handleAnswer handles the final answer of a try.
func (p *extentRequest) handleAnswer(a host.Answer) {
	t := p.transfer
	if p.finished || t.ended {
		a.Data.Release()
		return
	}
	p.submitted = false
	now := t.front.opt.Host.Now()
	if a.At > 0 {
		t.front.mu.Lock()
		t.front.stats.Deliver.Record(now - a.At)
		t.front.mu.Unlock()
	}
	kind, why := p.onAnswer(a)
	if a.Attempts > 0 && kind != pacing.Served {
		p.lastNodeCause = why
	}
	p.lastFailed = kind == pacing.Failed
	next := t.pacing.TryEnded(p.extent, now, kind, a.RetryAfter)
	switch next.Step {
	case pacing.Done:
		p.finish(nil)
	case pacing.Hold:
		p.onHold = true
	case pacing.Retry:
		t.front.after(next.At, t.conn, func() {
			if !p.finished && !t.ended {
				p.submit()
			}
		})
	default:
		p.giveUp(why, next.RetryAfter)
	}
	t.dispatch()
}

// giveUp ends the request without success. cause says why there is no further try; a node that failed before is named
// as well.
func (p *extentRequest) giveUp(cause string, retryAfter time.Duration) {
	if p.lastFailed {
		p.transfer.failed++
	} else {
		p.transfer.refused++
	}
	if p.lastNodeCause != "" && p.lastNodeCause != cause {
		cause += "; before: " + p.lastNodeCause
	}
	p.finish(&ExtentError{Refused: !p.lastFailed, Cause: cause, Tries: p.extent.Tries(), RetryAfter: retryAfter})
}

// ExtentError reports that an extent was given up. Its text ends with "retry-after=N" in seconds if the
// time is known.
type ExtentError struct {
	Refused    bool
	Cause      string
	Tries      int
	RetryAfter time.Duration
}

func (g *ExtentError) Error() string {
	kind := "failed"
	if g.Refused {
		kind = "refused"
	}
	text := fmt.Sprintf("%s after %d tries: %s", kind, g.Tries, g.Cause)
	if g.RetryAfter > 0 {
		text += fmt.Sprintf("; retry-after=%.1f", g.RetryAfter.Seconds())
	}
	return text
}

func (p *extentRequest) finish(err error) {
	delete(p.transfer.inFlight, p)
	p.finished = true
	p.onDone(err)
}

// abandon stops waiting for the request.
func (p *extentRequest) abandon() {
	if p.finished {
		return
	}
	p.finished = true
	delete(p.transfer.inFlight, p)
	if p.submitted {
		p.transfer.pacing.TryAbandoned(p.extent)
		p.transfer.front.opt.Host.ClientGone(p.requestID)
	}
	if p.onAbandon != nil {
		p.onAbandon()
	}
	p.releaseBudget()
}

// ---- entries without content ----

// pendingChange is a change of the catalogue that is not committed yet.
type pendingChange struct {
	done bool
	err  error
}

func (p *pendingChange) Done() (bool, error) { return p.done, p.err }

// Put stores a directory, a link or new attributes of a file.
func (t *transfer) Put(f proto.File) proto.Pending {
	if f.MTime == 0 {
		f.MTime = time.Now().Unix()
	}
	p := &pendingChange{}
	t.pendingEntries[f.Path] = f
	done := func(err error) {
		t.conn.post(func() {
			p.done, p.err = true, err
			if cur, ok := t.pendingEntries[f.Path]; ok && cur.MTime == f.MTime && cur.Mode == f.Mode {
				delete(t.pendingEntries, f.Path)
			}
		})
	}
	if old, ok := f.Ref.(store.Entry); ok && f.IsRegular() {
		t.front.opt.Catalogue.UpdateAttributes(t.module.Name, f.Path, old.Base, func(e *store.Entry) {
			e.Mode, e.MTime, e.UID, e.GID = f.Mode, f.MTime, f.UID, f.GID
		}, done)
		return p
	}
	t.front.opt.Catalogue.Commit(t.module.Name, path.Clean(f.Path), store.Entry{Mode: f.Mode, MTime: f.MTime,
		UID: f.UID, GID: f.GID, Link: f.Link, Size: int64(len(f.Link))}, nil, done)
	return p
}
