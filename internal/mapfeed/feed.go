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
	URL              string                    // of the stream; the paths of snapshots and ranges are below it
	Gateway          string                    // name of the gateway, sent to the authority
	CacheFile        string                    // file that caches the map; empty: no cache
	SaveInterval     time.Duration             // interval at which a changed map is written to the cache
	SilenceTimeout   time.Duration             // a stream or snapshot without data for this long is closed
	MinRetryInterval time.Duration             // retry interval after the first failure; doubled after each further failure
	MaxRetryInterval time.Duration             // upper bound of the retry interval; jitter is applied to both
	GapTimeout       time.Duration             // time to wait for a missing change before the stream is resumed before it
	AnswerTimeout    time.Duration             // timeout of a request for a range
	MaxRuns          int                       // maximum number of runs in the map
	MaxWaiting       int                       // maximum number of requests that wait for refreshes; others are refused
	Refresh          extentmap.RefreshSettings // when ranges are refreshed
	Seed             int64
}

// Default holds the default settings; URL, Gateway and CacheFile are empty.
var Default = Settings{SaveInterval: 10 * time.Second, SilenceTimeout: 10 * time.Second, MinRetryInterval: 100 * time.Millisecond, MaxRetryInterval: 5 * time.Second,
	GapTimeout: 200 * time.Millisecond, AnswerTimeout: time.Second, MaxRuns: 4 << 20, MaxWaiting: 100_000, Refresh: extentmap.DefaultRefresh}

// maxAnswerBytes is the maximum size of an answer to a request for a range.
const maxAnswerBytes = 64 << 20

// Check returns an error that describes the first invalid setting.
func (s *Settings) Check() error {
	u, err := url.Parse(s.URL)
	switch {
	case err != nil:
		return fmt.Errorf("mapfeed: %w", err)
	case u.Scheme != "http" && u.Scheme != "https" || u.Host == "":
		return fmt.Errorf("mapfeed: url %q: expected http://HOST/PATH", s.URL)
	case s.SaveInterval <= 0 || s.SilenceTimeout <= 0 || s.MinRetryInterval <= 0 || s.MaxRetryInterval < s.MinRetryInterval || s.GapTimeout <= 0 || s.AnswerTimeout <= 0:
		return errors.New("mapfeed: expected intervals and timeouts above 0s, and a maximum retry interval that is not below the minimum")
	case s.MaxWaiting < 1:
		return fmt.Errorf("mapfeed: maximum of waiting requests = %d: expected at least 1", s.MaxWaiting)
	}
	return s.Refresh.Check()
}

// Feed keeps a gateway's map up to date.
type Feed struct {
	settings  Settings
	log       *slog.Logger
	client    *http.Client
	startTime time.Time
	rng       *rand.Rand
	wake      chan struct{} // a refresh may be due

	changeMu sync.Mutex // serializes changes of the map; lookups do not take it
	extents  *extentmap.Map

	mu           sync.Mutex
	refresher    *extentmap.Refresher
	waiting      map[extentmap.Range][]func()
	waitingCount int
	stream       *register.EventStream // nil while disconnected
	state        State
	lookupOnly   atomic.Bool // the refresher has no groups, so a lookup in the map suffices
	wg           sync.WaitGroup
}

// State describes the feed to an operator.
type State struct {
	Connected bool
	Snapshots uint64 // snapshots fetched
	Resumed   uint64 // streams closed and resumed because a change was missing
	Terms     uint64 // number of changes of the authority's term
	Damaged   uint64 // number of blocks of snapshots and the cache that could not be read
	Failures  uint64 // number of failed streams and snapshots
	Waiting   int    // number of waiting requests
	Err       string // error of the last failure
	extentmap.Counts
}

// errGap is the reason for closing a stream that is resumed before a missing change.
var errGap = errors.New("a change is missing; the stream is resumed before it")

// errTerm is the reason for closing a stream of an authority that was restored.
var errTerm = errors.New("the term of the authority has changed")

// New returns a feed. Run starts it.
func New(set Settings, log *slog.Logger) (*Feed, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	m, err := extentmap.New(set.MaxRuns)
	if err != nil {
		return nil, err
	}
	refresher, err := extentmap.NewRefresher(set.Refresh, 0)
	if err != nil {
		return nil, err
	}
	f := &Feed{settings: set, log: log, extents: m, refresher: refresher, startTime: time.Now(), wake: make(chan struct{}, 1), waiting: map[extentmap.Range][]func(){},
		rng: rand.New(rand.NewSource(set.Seed)), client: &http.Client{Transport: &http.Transport{Proxy: nil, ResponseHeaderTimeout: set.SilenceTimeout,
			DisableCompression: true, MaxIdleConnsPerHost: set.Refresh.MaxInFlight}}}
	f.lookupOnly.Store(set.Refresh.MaxSilence == 0)
	return f, nil
}

func (f *Feed) now() time.Duration { return time.Since(f.startTime) }

// View returns the current version of the map.
func (f *Feed) View() *extentmap.View { return f.extents.View() }

// State returns the state of the feed.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.Connected, s.Waiting, s.Counts = f.stream != nil, f.waitingCount, f.refresher.Counts()
	return s
}

// Decide returns what to do with a request for an extent whose client waits for at most patience. If the action is
// Wait, again is called once, from any goroutine, when the request can proceed: the caller then calls Decide again
// with the remaining patience.
func (f *Feed) Decide(volume string, extent uint64, patience time.Duration, again func()) extentmap.Decision {
	v := f.extents.View()
	if f.lookupOnly.Load() { // no part of the map is stale
		if vol, ok := v.Volume(volume); ok {
			if home, version, ok := v.Lookup(vol, extent); ok && home.Shard != extentmap.NoShard {
				return extentmap.Decision{Action: extentmap.Use, Location: home, Version: version}
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	decision := f.refresher.Decide(f.extents.View(), volume, extent, patience, f.now())
	f.updateLookupOnly()
	if decision.Action != extentmap.Wait {
		return decision
	}
	if f.waitingCount >= f.settings.MaxWaiting {
		return extentmap.Decision{Action: extentmap.Refuse, RetryAfter: f.settings.Refresh.MinRetryInterval, Why: fmt.Sprintf("%s, and %d requests wait to know, which is the most", decision.Why, f.waitingCount)}
	}
	r := f.refresher.Range(volume, extent)
	f.waiting[r] = append(f.waiting[r], again)
	f.waitingCount++
	f.wakeRefresh()
	return decision
}

// Moved records a node's answer that an extent has moved, and reports whether it is newer than the map.
func (f *Feed) Moved(volume string, extent uint64, w extentmap.MovedAnswer) (newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer, err := f.refresher.Moved(f.extents.View(), volume, extent, w, f.now())
	if err != nil {
		f.log.Warn("map: a node's answer about a moved extent was dropped", "err", err)
	}
	f.updateLookupOnly()
	f.wakeRefresh()
	return newer
}

// updateLookupOnly sets lookupOnly. The caller holds mu.
func (f *Feed) updateLookupOnly() {
	f.lookupOnly.Store(f.refresher.Len() == 0 && f.settings.Refresh.MaxSilence == 0)
}

func (f *Feed) wakeRefresh() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run loads the cache and follows the authority until ctx ends, then writes the cache.
func (f *Feed) Run(ctx context.Context) {
	f.loadCache()
	f.wg.Add(2)
	go func() { defer f.wg.Done(); f.refreshLoop(ctx) }()
	go func() { defer f.wg.Done(); f.saveLoop(ctx) }()
	pause := f.settings.MinRetryInterval
	for ctx.Err() == nil {
		received, err := f.readStream(ctx)
		if ctx.Err() != nil {
			break
		}
		if received {
			pause = f.settings.MinRetryInterval
		}
		wait := time.Duration((0.5 + f.rng.Float64()) * float64(pause)) // jitter spreads the reconnects of gateways
		f.mu.Lock()
		f.state.Failures++
		f.state.Err = err.Error()
		if errors.Is(err, errGap) {
			f.state.Resumed++
			wait = 0
		}
		f.mu.Unlock()
		f.log.Warn("map: the stream ended; the map held applies meanwhile", "err", err, "again_in", wait)
		pause = min(2*pause, f.settings.MaxRetryInterval)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	f.wg.Wait()
}

// readStream opens one stream and reads it to its end.
func (f *Feed) readStream(ctx context.Context) (received bool, err error) {
	id := ""
	if v := f.View(); v.Synced {
		id = ID(v.Term, v.Watermark)
	}
	s, err := register.Open(ctx, f.client, f.settings.URL, f.settings.Gateway, id, f.settings.SilenceTimeout)
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
	s.Comment = f.authoritySeen
	var gap *time.Timer // active while a change is missing
	defer func() {
		if gap != nil {
			gap.Stop()
		}
	}()
	for {
		m, err := s.Next()
		if err != nil {
			return received, s.EndCause(err)
		}
		if m.Event != EventChange && m.Event != EventSnapshot {
			continue
		}
		c, err := ParseChange([]byte(m.Data))
		if err != nil {
			return received, fmt.Errorf("event %s: %w", m.ID, err)
		}
		f.authoritySeen()
		received = true
		if m.Event == EventSnapshot {
			err = f.fetchSnapshot(ctx)
		} else {
			err = f.apply(ctx, c)
		}
		if err != nil {
			return received, err
		}
		f.changeMu.Lock()
		from, _ := f.extents.Missing()
		f.changeMu.Unlock()
		switch {
		case from == 0 && gap != nil:
			gap.Stop()
			gap = nil
		case from != 0 && gap == nil:
			gap = time.AfterFunc(f.settings.GapTimeout, func() { s.Cancel(errGap) })
		}
	}
}

func (f *Feed) authoritySeen() {
	f.mu.Lock()
	f.refresher.AuthoritySeen(f.now())
	f.mu.Unlock()
}

// apply applies one change, or fetches a snapshot if the change cannot be applied without one.
func (f *Feed) apply(ctx context.Context, c Change) error {
	f.changeMu.Lock()
	_, err := f.extents.Apply(extentmap.Delta{Term: c.Term, Version: c.Version, Runs: c.Runs})
	f.changeMu.Unlock()
	if !errors.Is(err, extentmap.ErrTerm) && !errors.Is(err, extentmap.ErrTooManyPending) {
		return err
	}
	f.log.Warn("map: a snapshot is fetched", "cause", err)
	return f.fetchSnapshot(ctx)
}

// errStalled is the reason for aborting a snapshot that no longer makes progress.
var errStalled = errors.New("mapfeed: snapshot: no data within the timeout; it is requested again")

// stallReader resets a timer whenever data is read.
type stallReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
}

func (a *stallReader) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	if n > 0 {
		a.timer.Reset(a.timeout)
	}
	return n, err
}

// fetchSnapshot fetches and applies a snapshot. A snapshot that stalls is aborted and not applied.
func (f *Feed) fetchSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(f.settings.SilenceTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	body, err := f.get(ctx, "snapshot", nil)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	r, err := mapfile.NewReader(bufio.NewReaderSize(&stallReader{body, stall, f.settings.SilenceTimeout}, 1<<20))
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err != nil {
		return fmt.Errorf("mapfeed: snapshot: %w", err)
	}
	before := f.View()
	f.changeMu.Lock()
	taken, err := f.extents.Snapshot(r.Term, r.Version, r.Next)
	f.changeMu.Unlock()
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
		f.log.Warn("map: parts of the snapshot could not be read; they are fetched when they are requested", "blocks", len(r.Damaged), "first", r.Damaged[0].Why)
	}
	f.log.Info("map: snapshot fetched", "taken", taken, "term", r.Term, "version", r.Version, "runs", f.View().Len())
	return nil
}

// get requests a resource below the stream's URL from the authority.
func (f *Feed) get(ctx context.Context, what string, query url.Values) (io.ReadCloser, error) {
	u, err := url.Parse(f.settings.URL)
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
		return nil, fmt.Errorf("mapfeed: %s: %s answered %s", what, u.Host, resp.Status)
	}
	return resp.Body, nil
}

// refreshLoop starts the refreshes that are due until ctx ends.
func (f *Feed) refreshLoop(ctx context.Context) {
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		f.mu.Lock()
		now := f.now()
		due := f.refresher.Due(now)
		next, more := f.refresher.Next()
		f.mu.Unlock()
		for _, r := range due {
			f.wg.Add(1)
			go func() { defer f.wg.Done(); f.refreshRange(ctx, r) }()
		}
		var timer <-chan time.Time
		if more { // a due range above the limit waits for a refresh in flight, whose end wakes the loop
			timer = time.After(max(next-now, 5*time.Millisecond))
		}
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer:
		case <-sweep.C:
			f.mu.Lock()
			f.refresher.Sweep(f.now())
			f.updateLookupOnly()
			f.mu.Unlock()
		}
	}
}

// refreshRange fetches one range and lets all requests that wait for it proceed.
func (f *Feed) refreshRange(ctx context.Context, r extentmap.Range) {
	err := f.fetchRange(ctx, r)
	f.mu.Lock()
	f.refresher.Answered(r, err == nil, f.now())
	all := f.waiting[r]
	delete(f.waiting, r)
	f.waitingCount -= len(all)
	f.updateLookupOnly()
	if errors.Is(err, extentmap.ErrTerm) && f.stream != nil {
		f.stream.Cancel(errTerm)
	}
	f.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		f.log.Warn("map: a range could not be fetched", "range", r.String(), "err", err)
	}
	for _, again := range all {
		again()
	}
	f.wakeRefresh()
}

func (f *Feed) fetchRange(ctx context.Context, r extentmap.Range) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.AnswerTimeout)
	defer cancel()
	body, err := f.get(ctx, "range", url.Values{"volume": {r.Volume}, "from": {strconv.FormatUint(r.From, 10)}, "to": {strconv.FormatUint(r.To, 10)}})
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("mapfeed: range %v: %w", r, err)
	}
	if len(b) > maxAnswerBytes {
		return fmt.Errorf("mapfeed: range %v: the answer exceeds %d bytes", r, maxAnswerBytes)
	}
	c, err := ParseChange(b)
	if err != nil {
		return err
	}
	f.changeMu.Lock()
	defer f.changeMu.Unlock()
	return f.extents.Fetched(r, c.Term, c.Version, c.Runs)
}

// loadCache loads the map from the cache, if there is one.
func (f *Feed) loadCache() {
	if f.settings.CacheFile == "" {
		return
	}
	f.changeMu.Lock()
	h, damaged, _, err := mapfile.Load(f.settings.CacheFile, f.extents)
	f.changeMu.Unlock()
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
	f.log.Info("map: loaded from the cache", "term", h.Term, "version", h.Version, "runs", f.View().Len())
}

// saveLoop writes the cache periodically if the map has changed, and when ctx ends.
func (f *Feed) saveLoop(ctx context.Context) {
	if f.settings.CacheFile == "" {
		return
	}
	tick := time.NewTicker(f.settings.SaveInterval)
	defer tick.Stop()
	var saved *extentmap.View
	for over := false; !over; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			over = true
		}
		if v := f.View(); v.Synced && v != saved {
			if _, err := mapfile.Save(f.settings.CacheFile, v); err != nil {
				f.log.Warn("map: the cache could not be written; the next start fetches a snapshot", "err", err)
				continue
			}
			saved = v
		}
	}
}
