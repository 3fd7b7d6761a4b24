// Package discovery follows the platform's list of nodes: an HTTP/1.1 watch, one JSON object a line, taken
// up again from the version held where it broke off. It judges no node: what the list says is what the host
// is told. internal/live makes it; it calls Host.List.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/http1"
)

const (
	silence   = 5 * time.Second // an empty line comes every 2 s: longer, and the watch is asked for anew
	dialTime  = time.Second
	pauseTop  = time.Second
	pauseLow  = 50 * time.Millisecond
	lineMost  = 4 << 20 // bytes of one object
	nodesMost = 100_000 // entries of the list
	textMost  = 255     // bytes of a uid or an endpoint
)

// Entry is one node as discovery tells it.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // Unix time; 0: long ago
}

// Update is one object of the watch, or a whole list.
type Update struct {
	Rev     uint64            `json:"rev"`
	All     bool              `json:"all"`
	Targets []json.RawMessage `json:"targets"`
}

var states = map[string]control.NodeState{"active": control.Ready, "leaving": control.Draining, "left": control.Gone}

// check says why an entry cannot be used.
func (e *Entry) check() error {
	if e.UID == "" || len(e.UID) > textMost {
		return fmt.Errorf("uid of %d bytes: expected 1 to %d", len(e.UID), textMost)
	}
	state, ok := states[e.State]
	if !ok {
		return fmt.Errorf("%s: state %q: expected active, leaving or left", e.UID, e.State)
	}
	if state == control.Gone {
		return nil
	}
	if e.Shard < 0 || len(e.Endpoint) > textMost || !(e.Size >= 0) || !(e.BootMS >= 0) {
		return fmt.Errorf("%s: shard %d, capacity_hint %v, boot_ms %v: expected none below 0", e.UID, e.Shard, e.Size, e.BootMS)
	}
	if _, port, err := net.SplitHostPort(e.Endpoint); err != nil || port == "" {
		return fmt.Errorf("%s: endpoint %q: expected address:port", e.UID, e.Endpoint)
	}
	return nil
}

// Host hears of lists.
type Host interface {
	List(host.List)
	StartedAt(node string, wall time.Time) time.Duration
}

// Feed follows one address at a time.
type Feed struct {
	host    Host
	log     *slog.Logger
	silence time.Duration

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when the address changes
	now   State

	rev   uint64
	known map[string]bool // uids held: bounded by nodesMost
}

// State is what an operator sees.
type State struct {
	Address  string
	Rev      uint64
	Nodes    int
	Heard    time.Time // when something last came
	Watches  uint64    // asked for since the start
	Passed   uint64    // entries passed over, as they could not be used
	Watching bool
}

// New makes a feed of an address.
func New(addr string, h Host, log *slog.Logger) *Feed {
	return &Feed{host: h, log: log, silence: silence, addr: addr, moved: make(chan struct{}), known: map[string]bool{}}
}

// Start tells the host the list that this host held when it was last there: it may be out of date.
func (f *Feed) Start(known []byte) error {
	var u Update
	if err := json.Unmarshal(known, &u); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	u.All = true
	f.tell(control.ListCached, u)
	return nil
}

// Follow names another address. The watch at the former one ends at once.
func (f *Feed) Follow(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr == addr {
		return
	}
	f.addr = addr
	close(f.moved)
	f.moved = make(chan struct{})
}

// State returns what is known of the feed.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.now
	s.Address = f.addr
	return s
}

func (f *Feed) note(change func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.now)
}

// Subscribe and Fetch are for lists that come only when asked for; this one comes by itself.
func (f *Feed) Subscribe() {}

// Fetch does nothing, see Subscribe.
func (f *Feed) Fetch() {}

// Run follows until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	pause := pauseLow
	for ctx.Err() == nil {
		f.mu.Lock()
		addr, moved := f.addr, f.moved
		f.mu.Unlock()
		heard, err := f.watch(ctx, addr, moved)
		f.note(func(s *State) { s.Watching = false })
		select {
		case <-moved:
			f.log.Info("discovery: another address", "former", addr)
			pause = pauseLow
			continue
		default:
		}
		if ctx.Err() != nil {
			return
		}
		if heard {
			pause = pauseLow
		}
		f.log.Warn("discovery: the watch ended; the list held applies meanwhile", "addr", addr, "err", err, "again_in", pause)
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(pause):
		}
		pause = min(2*pause, pauseTop)
	}
}

// watch asks for changes and takes them until the watch ends.
func (f *Feed) watch(ctx context.Context, addr string, moved <-chan struct{}) (heard bool, err error) {
	d := net.Dialer{Timeout: dialTime}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	defer conn.Close()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-ctx.Done():
		case <-moved:
		case <-over:
		}
		_ = conn.Close()
	}()
	p := http1.AppendRequestLine(nil, "GET", "/catalog/members?watch=1&from="+strconv.FormatUint(f.rev, 10))
	p = http1.AppendEnd(http1.AppendField(p, "Host", addr))
	if _, err := conn.Write(p); err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	f.note(func(s *State) { s.Watches++ })
	r := reader{first: true}
	buf := make([]byte, 16<<10)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(f.silence))
		n, err := conn.Read(buf)
		if n > 0 {
			if err := r.feed(buf[:n], f.line); err != nil {
				return heard, fmt.Errorf("discovery: %w", err)
			}
			heard = heard || r.lines > 0
			f.note(func(s *State) { s.Heard, s.Watching = time.Now(), true })
		}
		if err != nil {
			return heard, fmt.Errorf("discovery: %w", err)
		}
		if r.done {
			return heard, errors.New("discovery: the answer ended")
		}
	}
}

// line takes one line of the watch.
func (f *Feed) line(b []byte) error {
	if len(bytes.TrimSpace(b)) == 0 {
		return nil // a beat
	}
	var u Update
	if err := json.Unmarshal(b, &u); err != nil {
		return fmt.Errorf("line of %d bytes: %w", len(b), err)
	}
	switch {
	case u.All:
		f.tell(control.ListFull, u)
	case u.Rev < f.rev || u.Rev == f.rev && len(u.Targets) == 0:
		f.log.Info("discovery: what is held already, or older", "rev", u.Rev, "held", f.rev)
	default:
		f.tell(control.ListDelta, u)
	}
	return nil
}

// tell hands an update to the host. Entries that cannot be used are named and passed over.
func (f *Feed) tell(kind control.ListKind, u Update) {
	l := host.List{Kind: kind}
	if u.All {
		clear(f.known)
	}
	passed := uint64(0)
	for i, raw := range u.Targets {
		var e Entry
		err := json.Unmarshal(raw, &e)
		if err == nil {
			err = e.check()
		}
		if err == nil && !f.known[e.UID] && len(f.known) >= nodesMost {
			err = fmt.Errorf("%s: over %d nodes", e.UID, nodesMost)
		}
		if err != nil {
			passed++
			f.log.Warn("discovery: an entry is passed over", "rev", u.Rev, "entry", i, "err", err)
			continue
		}
		started := time.Duration(0)
		if e.BootMS > 0 {
			started = f.host.StartedAt(e.UID, time.UnixMilli(int64(e.BootMS)))
		}
		if states[e.State] == control.Gone {
			delete(f.known, e.UID)
		} else {
			f.known[e.UID] = true
		}
		l.Nodes = append(l.Nodes, host.Node{Addr: e.Endpoint, Node: control.Node{ID: e.UID, Zone: e.Zone, Shard: e.Shard,
			State: states[e.State], Size: e.Size, StartedAt: started}})
	}
	f.rev = u.Rev
	f.host.List(l)
	f.note(func(s *State) { s.Rev, s.Nodes, s.Passed = u.Rev, len(f.known), s.Passed+passed })
}

// reader takes the head of the watch's answer, then its lines.
type reader struct {
	first  bool
	in     []byte
	chunks *http1.Chunks
	lines  int
	done   bool
}

func (r *reader) feed(p []byte, line func([]byte) error) error {
	if r.first {
		r.in = append(r.in, p...)
		h, n, err := http1.ParseResponse(r.in, 0)
		if err == http1.ErrShort {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Status != 200 {
			return fmt.Errorf("status %d: expected 200", h.Status)
		}
		r.first = false
		if h.Body.Chunked {
			r.chunks = &http1.Chunks{}
		}
		p, r.in = r.in[n:], nil
	}
	if r.chunks == nil {
		r.in = append(r.in, p...)
	} else {
		var err error
		if r.in, _, r.done, err = r.chunks.Feed(r.in, p); err != nil {
			return err
		}
	}
	for {
		i := bytes.IndexByte(r.in, '\n')
		if i < 0 {
			break
		}
		r.lines++
		if err := line(r.in[:i]); err != nil {
			return err
		}
		r.in = r.in[:copy(r.in, r.in[i+1:])]
	}
	if len(r.in) > lineMost {
		return fmt.Errorf("a line of over %d bytes", lineMost)
	}
	return nil
}
