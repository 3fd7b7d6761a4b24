// Package discovery follows the platform's list of nodes: an HTTP/1.1 watch, one JSON object a line, taken
// up again where it broke off. What of it is taken membership says; it judges no node. internal/live makes it; it
// calls Host.List.
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
	"eiderhold/membership"
)

const (
	dialTime = time.Second
	lineMost = 4 << 20 // bytes of one object
)

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

	list *membership.List
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
	return &Feed{host: h, log: log, silence: membership.Silence, addr: addr, moved: make(chan struct{}), list: membership.New()}
}

// Start tells the host the list that this host held when it was last there: it may be out of date.
func (f *Feed) Start(known []byte) error {
	var u membership.Update
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
	failures := 0
	for ctx.Err() == nil {
		f.mu.Lock()
		addr, moved := f.addr, f.moved
		f.mu.Unlock()
		heard, err := f.watch(ctx, addr, moved)
		f.note(func(s *State) { s.Watching = false })
		select {
		case <-moved:
			f.log.Info("discovery: another address", "former", addr)
			failures = 0
			continue
		default:
		}
		if ctx.Err() != nil {
			return
		}
		if heard {
			failures = 0
		}
		pause := membership.Pause(failures)
		f.log.Warn("discovery: the watch ended; the list held applies meanwhile", "addr", addr, "err", err, "again_in", pause)
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(pause):
		}
		failures++
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
	p := http1.AppendRequestLine(nil, "GET", "/catalog/members?watch=1&from="+strconv.FormatUint(f.list.Rev(), 10))
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
	var u membership.Update
	if err := json.Unmarshal(b, &u); err != nil {
		return fmt.Errorf("line of %d bytes: %w", len(b), err)
	}
	kind := control.ListDelta
	if u.All {
		kind = control.ListFull
	}
	f.tell(kind, u)
	return nil
}

// tell hands an update to the host.
func (f *Feed) tell(kind control.ListKind, u membership.Update) {
	held := f.list.Rev()
	nodes, passed, fresh := f.list.Take(u)
	if !fresh {
		f.log.Info("discovery: what is held already, or older", "rev", u.Rev, "held", held)
		return
	}
	for _, err := range passed {
		f.log.Warn("discovery: an entry is passed over", "err", err)
	}
	l := host.List{Kind: kind}
	for _, n := range nodes {
		if n.BootMS > 0 {
			n.StartedAt = f.host.StartedAt(n.ID, time.UnixMilli(n.BootMS))
		}
		l.Nodes = append(l.Nodes, host.Node{Node: n.Node, Addr: n.Endpoint})
	}
	f.host.List(l)
	f.note(func(s *State) { s.Rev, s.Nodes, s.Passed = u.Rev, f.list.Len(), s.Passed+uint64(len(passed)) })
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
