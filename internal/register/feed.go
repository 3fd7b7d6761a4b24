// Package register follows the node list that the register publishes as Server-Sent Events.
// It resumes the stream after the last event received and caches the last list on disk for
// the next start. It passes the list on as received and makes no decision about a node.
// Package gateway creates a Feed, which calls Host.List; package mapfeed uses Open and Stream.
package register

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/renameio/v2"

	"eiderhold/control"
	"eiderhold/internal/host"
)

// Entry is one node in the register's list. docs/node-protocol.md has the format.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone,omitempty"`
	Shard     int     `json:"shard"`
	State     string  `json:"state"` // ready, draining, gone
	Size      float64 `json:"size,omitempty"`
	StartedMS int64   `json:"started_ms,omitempty"` // Unix time in milliseconds; 0: long ago
}

// Document is the data of an event: all entries (event "full") or only the changed ones
// (event "delta").
type Document struct {
	Version uint64  `json:"version"`
	Nodes   []Entry `json:"nodes"`
}

var nodeStates = map[string]control.NodeState{"ready": control.Ready, "draining": control.Draining, "gone": control.Gone}

// Check returns an error that names the first invalid entry, if there is one.
func (d *Document) Check() error {
	for i, e := range d.Nodes {
		if e.ID == "" || len(e.ID) > 255 {
			return fmt.Errorf("nodes[%d].id: %d bytes: expected 1 to 255", i, len(e.ID))
		}
		if _, ok := nodeStates[e.State]; !ok {
			return fmt.Errorf("nodes[%d] %s: state %q: expected ready, draining or gone", i, e.ID, e.State)
		}
		if e.Shard < 0 || e.Addr == "" && e.State != "gone" {
			return fmt.Errorf("nodes[%d] %s: shard %d, address %q: expected a shard of 0 or more and an address", i, e.ID, e.Shard, e.Addr)
		}
	}
	return nil
}

// Settings configures a Feed. A zero duration takes its default.
type Settings struct {
	URL               string        // of the event stream
	Gateway           string        // this gateway's name, sent to the register
	Cache             string        // file that holds the last list; empty: no cache
	SilenceTimeout    time.Duration // a stream without any data for this long is closed
	InitialRetryDelay time.Duration // delay after a failure; doubled up to MaxRetryDelay, with jitter
	MaxRetryDelay     time.Duration
	SettleTime        time.Duration // how long a list that lost half its nodes must last before it is cached
	Seed              int64         // of the jitter
}

// Host receives the lists and solutions that the register sends.
type Host interface {
	// List takes a full list, a change to it, or the news that the stream failed.
	List(host.List)
	// StartedAt converts a node's start from wall time to the host's time.
	StartedAt(node string, wall time.Time) time.Duration
	// Solution takes an encoded solution of package shares that the register sends (event
	// "shares"). The host validates it.
	Solution([]byte)
}

// Feed follows the register's event stream.
type Feed struct {
	settings Settings
	host     Host
	log      *slog.Logger
	client   *http.Client
	rng      *rand.Rand
	wake     chan struct{}

	lastID      string
	nodes       map[string]Entry // as last received
	version     uint64
	shrunkSince time.Time // since when the list has at most half the nodes of the cached one; zero: it has more
	cachedNodes int       // number of nodes in the cached list
	state       atomic.Pointer[State]
	mu          sync.Mutex
}

// State is the state of a feed, for operators.
type State struct {
	Connected bool
	Version   uint64
	Nodes     int
	Since     time.Time // time of the last event
	Failures  uint64
	Err       string
}

// New returns a feed that does not connect before Run.
func New(settings Settings, h Host, log *slog.Logger) *Feed {
	if settings.SilenceTimeout == 0 {
		settings.SilenceTimeout = 10 * time.Second
	}
	if settings.InitialRetryDelay == 0 {
		settings.InitialRetryDelay = 100 * time.Millisecond
	}
	if settings.MaxRetryDelay == 0 {
		settings.MaxRetryDelay = 5 * time.Second
	}
	if settings.SettleTime == 0 {
		settings.SettleTime = 30 * time.Second
	}
	f := &Feed{settings: settings, host: h, log: log, nodes: map[string]Entry{}, wake: make(chan struct{}, 1),
		rng: rand.New(rand.NewSource(settings.Seed)), client: &http.Client{Transport: &http.Transport{
			Proxy: nil, ResponseHeaderTimeout: settings.SilenceTimeout, DisableCompression: true}}}
	f.state.Store(&State{})
	return f
}

// State returns the feed's current state.
func (f *Feed) State() State { return *f.state.Load() }

func (f *Feed) updateState(change func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state.Load()
	change(&s)
	f.state.Store(&s)
}

// Subscribe requests a connection. Run reconnects on its own, and a request does not shorten its retry delay.
func (f *Feed) Subscribe() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Fetch does the same as Subscribe: a connection begins with the missed changes or the full list.
func (f *Feed) Fetch() { f.Subscribe() }

// Run passes the cached list to the host, then follows the register until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	f.loadCache()
	pause := f.settings.InitialRetryDelay
	for ctx.Err() == nil {
		received, err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			pause = f.settings.InitialRetryDelay
		}
		f.log.Warn("register: the stream ended; the list held applies meanwhile", "err", err, "again_in", pause)
		f.updateState(func(s *State) { s.Connected, s.Err, s.Failures = false, err.Error(), s.Failures+1 })
		f.host.List(host.List{Kind: control.ListFailed})
		wait := time.Duration((0.5 + f.rng.Float64()) * float64(pause)) // jitter: gateways do not reconnect all at once
		pause = min(2*pause, f.settings.MaxRetryDelay)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		select {
		case <-f.wake:
		default:
		}
	}
}

// follow reads one stream until it ends. It reports whether the stream brought a list or a change.
func (f *Feed) follow(ctx context.Context) (received bool, err error) {
	s, err := Open(ctx, f.client, f.settings.URL, f.settings.Gateway, f.lastID, f.settings.SilenceTimeout)
	if err != nil {
		return false, err
	}
	defer s.Close()
	for {
		m, err := s.Next()
		if err != nil {
			return received, s.EndCause(err)
		}
		if s.Retry > 0 {
			f.settings.InitialRetryDelay = min(max(s.Retry, 10*time.Millisecond), f.settings.MaxRetryDelay)
		}
		if m.Event == "shares" {
			f.host.Solution([]byte(m.Data))
		}
		if m.Event != "full" && m.Event != "delta" {
			continue
		}
		var doc Document
		if err := json.Unmarshal([]byte(m.Data), &doc); err != nil {
			return received, fmt.Errorf("register: event %s: %w", m.ID, err)
		}
		if err := doc.Check(); err != nil {
			return received, fmt.Errorf("register: event %s: %w", m.ID, err)
		}
		if m.Event == "delta" && doc.Version > f.version+1 || m.Event == "delta" && f.version == 0 {
			f.lastID = "" // a change was missed: only the full list repairs it
			return received, fmt.Errorf("register: delta %d does not follow version %d: requesting the full list", doc.Version, f.version)
		}
		if m.Event == "delta" && doc.Version <= f.version {
			continue // already applied
		}
		f.lastID, received = m.ID, true
		kind := control.ListDelta
		if m.Event == "full" {
			kind = control.ListFull
		}
		f.apply(kind, doc)
	}
}

// apply records a document and passes it to the host. A list that loses half of its nodes
// takes effect all the same: an attempt at a node that is announced gone would break the drain rule.
// It is logged as a warning, and does not replace the cached list until it has lasted for
// Settings.SettleTime, so that a restart in the meantime does not begin with half a fleet.
func (f *Feed) apply(kind control.ListKind, doc Document) {
	before := len(f.nodes)
	if kind != control.ListDelta {
		clear(f.nodes)
	}
	l := host.List{Kind: kind}
	for _, e := range doc.Nodes {
		if e.State == "gone" {
			delete(f.nodes, e.ID)
		} else {
			f.nodes[e.ID] = e
		}
		l.Nodes = append(l.Nodes, f.hostNode(e))
	}
	f.version = doc.Version
	f.host.List(l)
	f.updateState(func(s *State) {
		s.Connected, s.Version, s.Nodes, s.Since, s.Err = kind != control.ListCached, doc.Version, len(f.nodes), time.Now(), ""
	})
	if kind == control.ListCached {
		f.cachedNodes = len(f.nodes)
		return
	}
	if before > 1 && len(f.nodes)*2 <= before {
		f.log.Warn("register: the list lost half of its nodes or more; it binds, but is not cached before it has stood",
			"before", before, "now", len(f.nodes), "settle", f.settings.SettleTime)
	}
	if len(f.nodes)*2 <= f.cachedNodes {
		if f.shrunkSince.IsZero() {
			f.shrunkSince = time.Now()
		}
		if time.Since(f.shrunkSince) < f.settings.SettleTime {
			return
		}
	}
	f.shrunkSince, f.cachedNodes = time.Time{}, len(f.nodes)
	f.saveCache()
}

// hostNode converts an entry to the host's form.
func (f *Feed) hostNode(e Entry) host.Node {
	started := time.Duration(0)
	if e.StartedMS != 0 {
		started = f.host.StartedAt(e.ID, time.UnixMilli(e.StartedMS))
	}
	return host.Node{Addr: e.Addr, Node: control.Node{ID: e.ID, Zone: e.Zone, Shard: e.Shard,
		State: nodeStates[e.State], Size: e.Size, StartedAt: started}}
}

// saveCache replaces the cache file atomically with the current list.
func (f *Feed) saveCache() {
	if f.settings.Cache == "" {
		return
	}
	doc := Document{Version: f.version}
	for _, e := range f.nodes {
		doc.Nodes = append(doc.Nodes, e)
	}
	b, err := json.Marshal(doc)
	if err == nil {
		err = renameio.WriteFile(f.settings.Cache, b, 0o644)
	}
	if err != nil {
		f.log.Warn("register: the list could not be cached; the next start will wait for the register", "err", err)
	}
}

// loadCache passes the cached list to the host, if there is a valid one.
func (f *Feed) loadCache() {
	if f.settings.Cache == "" {
		return
	}
	b, err := os.ReadFile(f.settings.Cache)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var doc Document
	if err == nil {
		err = json.Unmarshal(b, &doc)
	}
	if err == nil {
		err = doc.Check()
	}
	if err != nil {
		f.log.Warn("register: the cached list cannot be used and is ignored", "file", filepath.Base(f.settings.Cache), "err", err)
		return
	}
	f.apply(control.ListCached, doc)
	f.version = 0 // no delta applies to a cached list: the full one has to come first
}
