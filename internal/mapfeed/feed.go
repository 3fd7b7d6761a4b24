package mapfeed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"eiderhold/extentmap"
	"eiderhold/internal/mapfile"
	"eiderhold/internal/register"
)

// Settings of a feed.
type Settings struct {
	URL        string                    // of the stream; snapshot and range are below it
	Gateway    string                    // told to the authority
	Cache      string                    // file of the last map; empty: none
	SaveEvery  time.Duration             // the cache is written so often, if the map changed
	Silence    time.Duration             // a stream from which nothing comes for so long is dropped
	RetryFirst time.Duration             // pause after a failure; doubled up to RetryTop, with jitter
	RetryTop   time.Duration             //
	Gap        time.Duration             // a missing change is waited for so long, then the stream is resumed before it
	Answer     time.Duration             // an answer about a range that takes longer failed
	Ceiling    int                       // runs
	Waiting    int                       // requests that wait for refreshes at a time; any more are refused
	Book       extentmap.RefreshSettings // what is asked for, and how often
	Seed       int64
}

// Default settings, without places.
var Default = Settings{SaveEvery: 10 * time.Second, Silence: 10 * time.Second, RetryFirst: 100 * time.Millisecond, RetryTop: 5 * time.Second,
	Gap: 200 * time.Millisecond, Answer: time.Second, Ceiling: 4 << 20, Waiting: 100_000, Book: extentmap.DefaultRefresh}

// mostAnswer is the most bytes of an answer about a range.
const mostAnswer = 64 << 20

// Check names what cannot be.
func (s *Settings) Check() error {
	u, err := url.Parse(s.URL)
	switch {
	case err != nil:
		return fmt.Errorf("mapfeed: %w", err)
	case u.Scheme != "http" && u.Scheme != "https" || u.Host == "":
		return fmt.Errorf("mapfeed: url %q: expected http://HOST/PATH", s.URL)
	case s.SaveEvery <= 0 || s.Silence <= 0 || s.RetryFirst <= 0 || s.RetryTop < s.RetryFirst || s.Gap <= 0 || s.Answer <= 0:
		return errors.New("mapfeed: times are more than 0s, the top of the pause no less than the first")
	case s.Waiting < 1:
		return fmt.Errorf("mapfeed: waiting = %d: at least 1", s.Waiting)
	}
	return s.Book.Check()
}

// Feed keeps a gateway's map.
type Feed struct {
	set    Settings
	log    *slog.Logger
	client *http.Client
	began  time.Time
	rng    *rand.Rand
	kick   chan struct{} // something may be due

	changes sync.Mutex // held by who changes the map; a lookup takes none
	m       *extentmap.Map

	mu      sync.Mutex
	book    *extentmap.Refresher
	waiting map[extentmap.Range][]func()
	queued  int
	stream  *register.Opened // nil: none
	state   State
	bare    atomic.Bool // the book is empty: what the map knows holds
	wg      sync.WaitGroup
}

// State is what an operator sees.
type State struct {
	Connected bool
	Snapshots uint64 // fetched
	Resumed   uint64 // streams dropped for a gap
	Terms     uint64 // changes of the authority's term
	Damaged   uint64 // blocks of snapshots and the cache that could not be read
	Failures  uint64 // of streams and snapshots
	Waiting   int    // requests
	Err       string // the last one
	extentmap.Counts
}

// errGap ends a stream to be resumed where changes are missing.
var errGap = errors.New("a change is missing: asking for it again")

// errTerm ends a stream of an authority that was restored.
var errTerm = errors.New("the authority has another term")

// New makes a feed; Run follows.
func New(set Settings, log *slog.Logger) (*Feed, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	m, err := extentmap.New(set.Ceiling)
	if err != nil {
		return nil, err
	}
	book, err := extentmap.NewRefresher(set.Book, 0)
	if err != nil {
		return nil, err
	}
	f := &Feed{set: set, log: log, m: m, book: book, began: time.Now(), kick: make(chan struct{}, 1), waiting: map[extentmap.Range][]func(){},
		rng: rand.New(rand.NewSource(set.Seed)), client: &http.Client{Transport: &http.Transport{Proxy: nil, ResponseHeaderTimeout: set.Silence,
			DisableCompression: true, MaxIdleConnsPerHost: set.Book.MaxInFlight}}}
	f.bare.Store(set.Book.MaxSilence == 0)
	return f, nil
}

func (f *Feed) now() time.Duration { return time.Since(f.began) }

// View is the map as it is now.
func (f *Feed) View() *extentmap.View { return f.m.View() }

// State is what an operator sees.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.Connected, s.Waiting, s.Counts = f.stream != nil, f.queued, f.book.Counts()
	return s
}

// Ask says what to do with a request for an extent whose client can wait so long. On Wait again is called
// once, from any goroutine, when there is news: then it is to be asked again, with what is left of the patience.
func (f *Feed) Ask(volume string, extent uint64, patience time.Duration, again func()) extentmap.Decision {
	v := f.m.View()
	if f.bare.Load() { // nobody says otherwise
		if vol, ok := v.Volume(volume); ok {
			if home, version, ok := v.Lookup(vol, extent); ok && home.Shard != extentmap.Nowhere {
				return extentmap.Decision{Action: extentmap.Use, Home: home, Version: version}
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	verdict := f.book.Decide(f.m.View(), volume, extent, patience, f.now())
	f.settle()
	if verdict.Action != extentmap.Wait {
		return verdict
	}
	if f.queued >= f.set.Waiting {
		return extentmap.Decision{Action: extentmap.Refuse, RetryAfter: f.set.Book.MinRetryInterval, Why: fmt.Sprintf("%s, and %d requests wait to know, which is the most", verdict.Why, f.queued)}
	}
	r := f.book.Range(volume, extent)
	f.waiting[r] = append(f.waiting[r], again)
	f.queued++
	f.ring()
	return verdict
}

// Moved takes a node's word that an extent is not there.
func (f *Feed) Moved(volume string, extent uint64, w extentmap.MovedAnswer) (news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news, err := f.book.Moved(f.m.View(), volume, extent, w, f.now())
	if err != nil {
		f.log.Warn("map: a node's word was not kept", "err", err)
	}
	f.settle()
	f.ring()
	return news
}

// settle notes whether the book has anything; the lock is held.
func (f *Feed) settle() { f.bare.Store(f.book.Len() == 0 && f.set.Book.MaxSilence == 0) }

func (f *Feed) ring() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Run starts from the cache and follows the authority until ctx ends; then the cache is written.
func (f *Feed) Run(ctx context.Context) {
	f.load()
	f.wg.Add(2)
	go func() { defer f.wg.Done(); f.refresh(ctx) }()
	go func() { defer f.wg.Done(); f.keep(ctx) }()
	pause := f.set.RetryFirst
	for ctx.Err() == nil {
		heard, err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if heard {
			pause = f.set.RetryFirst
		}
		wait := time.Duration((0.5 + f.rng.Float64()) * float64(pause)) // gateways come back apart
		f.mu.Lock()
		f.state.Failures++
		f.state.Err = err.Error()
		if errors.Is(err, errGap) {
			f.state.Resumed++
			wait = 0
		}
		f.mu.Unlock()
		f.log.Warn("map: the stream ended; the map held applies meanwhile", "err", err, "again_in", wait)
		pause = min(2*pause, f.set.RetryTop)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	f.wg.Wait()
}

// follow reads one stream to its end.
func (f *Feed) follow(ctx context.Context) (heard bool, err error) {
	id := ""
	if v := f.View(); v.Synced {
		id = ID(v.Term, v.Mark)
	}
	s, err := register.Open(ctx, f.client, f.set.URL, f.set.Gateway, id, f.set.Silence)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	f.stream = s
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.stream = nil
		f.mu.Unlock()
		s.Close()
	}()
	s.Comment = f.heard
	var gap *time.Timer // runs while a change is missing
	defer func() {
		if gap != nil {
			gap.Stop()
		}
	}()
	for {
		m, err := s.Next()
		if err != nil {
			return heard, s.Ended(err)
		}
		if m.Event != EventChange && m.Event != EventSnapshot {
			continue
		}
		c, err := ParseChange([]byte(m.Data))
		if err != nil {
			return heard, fmt.Errorf("event %s: %w", m.ID, err)
		}
		f.heard()
		heard = true
		if m.Event == EventSnapshot {
			err = f.fetchSnapshot(ctx)
		} else {
			err = f.apply(ctx, c)
		}
		if err != nil {
			return heard, err
		}
		f.changes.Lock()
		from, _ := f.m.Missing()
		f.changes.Unlock()
		switch {
		case from == 0 && gap != nil:
			gap.Stop()
			gap = nil
		case from != 0 && gap == nil:
			gap = time.AfterFunc(f.set.Gap, func() { s.End(errGap) })
		}
	}
}

func (f *Feed) heard() {
	f.mu.Lock()
	f.book.AuthoritySeen(f.now())
	f.mu.Unlock()
}

// apply takes one change, or a snapshot where only that helps.
func (f *Feed) apply(ctx context.Context, c Change) error {
	f.changes.Lock()
	_, err := f.m.Apply(extentmap.Delta{Term: c.Term, Version: c.Version, Runs: c.Runs})
	f.changes.Unlock()
	if !errors.Is(err, extentmap.ErrTerm) && !errors.Is(err, extentmap.ErrTooManyPending) {
		return err
	}
	f.log.Warn("map: a snapshot is fetched", "cause", err)
	return f.fetchSnapshot(ctx)
}

// errStalled ends a snapshot of which nothing comes.
var errStalled = errors.New("mapfeed: snapshot: nothing of it came for too long; it is asked for again")

// awake puts a timer off with each read.
type awake struct {
	io.Reader
	timer *time.Timer
	after time.Duration
}

func (a *awake) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	if n > 0 {
		a.timer.Reset(a.after)
	}
	return n, err
}

// fetchSnapshot asks for the whole map. One that stalls is given up: what came of it is not taken.
func (f *Feed) fetchSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(f.set.Silence, func() { cancel(errStalled) })
	defer stall.Stop()
	body, err := f.get(ctx, "snapshot", nil)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	r, err := mapfile.NewReader(bufio.NewReaderSize(&awake{body, stall, f.set.Silence}, 1<<20))
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err != nil {
		return fmt.Errorf("mapfeed: snapshot: %w", err)
	}
	before := f.View()
	f.changes.Lock()
	taken, err := f.m.Snapshot(r.Term, r.Version, r.Next)
	f.changes.Unlock()
	if cause := context.Cause(ctx); cause != nil && err != nil {
		return cause
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.state.Snapshots++
	f.state.Damaged += uint64(len(r.Damaged))
	if taken && before.Synced && before.Term != r.Term {
		f.state.Terms++
	}
	f.mu.Unlock()
	if len(r.Damaged) > 0 {
		f.log.Warn("map: parts of the snapshot could not be read; they are asked for when they are wanted", "blocks", len(r.Damaged), "first", r.Damaged[0].Why)
	}
	f.log.Info("map: snapshot", "taken", taken, "term", r.Term, "version", r.Version, "runs", f.View().Len())
	return nil
}

// get asks the authority for something below the stream's place.
func (f *Feed) get(ctx context.Context, what string, query url.Values) (io.ReadCloser, error) {
	u, err := url.Parse(f.set.URL)
	if err != nil {
		return nil, fmt.Errorf("mapfeed: %w", err)
	}
	u = u.JoinPath(what)
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("mapfeed: %w", err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("mapfeed: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("mapfeed: %s: %s answers %s", what, u.Host, resp.Status)
	}
	return resp.Body, nil
}

// refresh asks for what is due until ctx ends.
func (f *Feed) refresh(ctx context.Context) {
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		f.mu.Lock()
		now := f.now()
		due := f.book.Due(now)
		next, more := f.book.Next()
		f.mu.Unlock()
		for _, r := range due {
			f.wg.Add(1)
			go func() { defer f.wg.Done(); f.answer(ctx, r) }()
		}
		var timer <-chan time.Time
		if more { // what is due and not out waits for one that is, which rings
			timer = time.After(max(next-now, 5*time.Millisecond))
		}
		select {
		case <-ctx.Done():
			return
		case <-f.kick:
		case <-timer:
		case <-sweep.C:
			f.mu.Lock()
			f.book.Sweep(f.now())
			f.settle()
			f.mu.Unlock()
		}
	}
}

// answer asks the authority for one range, and has all who wait for it ask again.
func (f *Feed) answer(ctx context.Context, r extentmap.Range) {
	err := f.fetchRange(ctx, r)
	f.mu.Lock()
	f.book.Answered(r, err == nil, f.now())
	all := f.waiting[r]
	delete(f.waiting, r)
	f.queued -= len(all)
	f.settle()
	if errors.Is(err, extentmap.ErrTerm) && f.stream != nil {
		f.stream.End(errTerm)
	}
	f.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		f.log.Warn("map: a range could not be asked for", "range", r.String(), "err", err)
	}
	for _, again := range all {
		again()
	}
	f.ring()
}

func (f *Feed) fetchRange(ctx context.Context, r extentmap.Range) error {
	ctx, cancel := context.WithTimeout(ctx, f.set.Answer)
	defer cancel()
	body, err := f.get(ctx, "range", url.Values{"volume": {r.Volume}, "from": {strconv.FormatUint(r.From, 10)}, "to": {strconv.FormatUint(r.To, 10)}})
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	b, err := io.ReadAll(io.LimitReader(body, mostAnswer+1))
	if err != nil {
		return fmt.Errorf("mapfeed: range %v: %w", r, err)
	}
	if len(b) > mostAnswer {
		return fmt.Errorf("mapfeed: range %v: an answer of over %d bytes", r, mostAnswer)
	}
	c, err := ParseChange(b)
	if err != nil {
		return err
	}
	f.changes.Lock()
	defer f.changes.Unlock()
	return f.m.Fetched(r, c.Term, c.Version, c.Runs)
}

// load starts from the cache.
func (f *Feed) load() {
	if f.set.Cache == "" {
		return
	}
	f.changes.Lock()
	h, damaged, _, err := mapfile.Load(f.set.Cache, f.m)
	f.changes.Unlock()
	switch {
	case errors.Is(err, os.ErrNotExist):
		return
	case err != nil:
		f.log.Warn("map: the cache cannot be used; a snapshot is fetched", "err", err)
		return
	case len(damaged) > 0:
		f.log.Warn("map: parts of the cache could not be read; they are asked for when they are wanted", "blocks", len(damaged), "first", damaged[0].Why)
	}
	f.mu.Lock()
	f.state.Damaged += uint64(len(damaged))
	f.mu.Unlock()
	f.log.Info("map: started from the cache", "term", h.Term, "version", h.Version, "runs", f.View().Len())
}

// keep writes the cache now and then, and when ctx ends.
func (f *Feed) keep(ctx context.Context) {
	if f.set.Cache == "" {
		return
	}
	tick := time.NewTicker(f.set.SaveEvery)
	defer tick.Stop()
	var saved *extentmap.View
	for over := false; !over; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			over = true
		}
		if v := f.View(); v.Synced && v != saved {
			if _, err := mapfile.Save(f.set.Cache, v); err != nil {
				f.log.Warn("map: it could not be cached; the next start fetches a snapshot", "err", err)
				continue
			}
			saved = v
		}
	}
}
