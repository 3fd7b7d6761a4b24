// Package rsync is the rsync front of the gateway. It serves client connections on gnet's event
// loops, runs one session of internal/rsync for each connection, and turns the transfers into
// requests. It does not choose nodes or retry on its own: it submits each extent to the host as a
// request, and package pacing decides what follows a refusal or a failure. Package gateway uses it.
package rsync

import (
	"context"
	crand "crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"eiderhold/internal/telemetry"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"eiderhold/control"
	"eiderhold/internal/extent"
	"eiderhold/internal/host"
	proto "eiderhold/internal/rsync"
	"eiderhold/internal/store"
	"eiderhold/internal/wheel"
	"eiderhold/pacing"
	"eiderhold/placement"
)

// Module is an rsync module that the front serves: a volume and its plan.
type Module struct {
	proto.Module
	Plan       string
	QuotaBytes int64             // maximum total bytes of its files; 0: no limit
	Share      float64           // announced units per second; 0: none
	Gateways   int               // number of gateways that serve the volume
	MaxConns   int               // maximum concurrent connections; 0: no limit for the module
	Secrets    map[string]string // passwords by user name
}

// Placement tells which shards a new extent may be written to.
type Placement struct {
	Tiers [][]int // preferred shards in descending order of preference; empty: any shard
	Avoid []int   // shards that accept no new extents, in ascending order
}

// Options configure a front.
type Options struct {
	Listen      string // host:port
	Loops       int
	Host        *host.Host
	Catalogue   *store.Catalogue
	Classes     []control.Class
	Work        extent.CostModel
	Pacing      pacing.Settings
	Modules     []Module
	MOTD        string
	Seed        int64 // seeds the random retry delays of transfers
	ExtentBytes int
	// Place returns the shards that an extent of a file of size bytes (negative: unknown) may be written
	// to, or an error that says why no shard accepts it. nil: any shard may be used.
	ChooseShards func(volume, file string, index int, size int64) (Placement, error)
	// ShardLost reports whether a shard has stopped answering, with the reason and the time after which the
	// client should retry. nil: no shard is ever considered lost.
	ShardLost        func(shard int) (why string, back time.Duration, lost bool)
	MaxConns         int           // maximum concurrent connections
	MaxListEntries   int           // maximum file list entries, over all transfers
	BufferBytes      int64         // maximum bytes of extents held in memory, over all transfers
	HandshakeTimeout time.Duration // time limit for everything before the transfer
	StallTimeout     time.Duration // a connection without progress for this time is closed
	Log              *slog.Logger
}

// Front is a running rsync front.
type Front struct {
	opt      Options
	engine   gnet.Engine
	addr     string
	startErr chan error
	stopped  chan struct{}
	classes  map[string]control.Class
	modules  map[string]*Module
	ctx      context.Context
	cancel   context.CancelFunc

	mu            sync.Mutex // guards the fields up to stats
	conns         map[*conn]bool
	moduleConns   map[string]int
	budget        pacing.Budget
	budgetWaiters map[*conn]bool // connections waiting for room in the budget
	quotas        map[string]*placement.Quota
	draining      bool
	lastSeed      uint64
	listEntries   int // file list entries reserved by all connections
	rejectedConns int // rejected connections that are not closed yet
	stats         Stats

	timerMu    sync.Mutex
	wheel      *wheel.Wheel[timer]
	timerAdded chan struct{}
}

// timer is a function to call on a connection's event loop.
type timer struct {
	conn *conn
	call func()
}

// Stats holds counters since the start; Conns, Active and Budget are current values.
type Stats struct {
	Accepted, TurnedAway, Transfers uint64
	Served, Refused, Failed         uint64 // transfers by result
	FilesLeftOut                    uint64
	Shed, Paused, Corrupt           uint64
	Conns, Active                   int
	Budget                          int64
	Deliver                         host.Histogram // from an outcome's arrival to its handling on the connection's loop
}

const (
	pauseOutboundBytes   = 1 << 20              // buffered output at which writing to the client pauses
	outboundPollInterval = 2 * time.Millisecond // how often a full output buffer is checked
	pauseInboundBytes    = 512 << 10            // unconsumed input at which reading from the client pauses
	maxInboundBytes      = 8 << 20              // unconsumed input at which a connection with blocked output is closed
	maxRejectedConns     = 256                  // rejected connections that may linger; further ones are closed at once
	stallCheckInterval   = 1 * time.Second      // how often a connection is checked for progress
)

// Start starts a front that listens on opt.Listen, and returns once it accepts connections.
func Start(opt Options) (*Front, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	f := &Front{opt: opt, startErr: make(chan error, 1), stopped: make(chan struct{}),
		classes: map[string]control.Class{}, modules: map[string]*Module{}, conns: map[*conn]bool{},
		moduleConns: map[string]int{}, quotas: map[string]*placement.Quota{}, budgetWaiters: map[*conn]bool{}, budget: pacing.Budget{Limit: opt.BufferBytes, Reserve: 0.25},
		wheel: wheel.New[timer](time.Millisecond, opt.Host.Now()), timerAdded: make(chan struct{}, 1)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
	}
	for i := range opt.Modules {
		f.modules[opt.Modules[i].Name] = &opt.Modules[i]
	}
	go func() {
		err := gnet.Run(&handler{front: f}, "tcp://"+opt.Listen, gnet.WithNumEventLoop(max(1, opt.Loops)),
			gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(telemetry.GnetLogger{Log: opt.Log}),
			gnet.WithReadBufferCap(128<<10), gnet.WithWriteBufferCap(256<<10))
		select {
		case f.startErr <- fmt.Errorf("rsync front: listen on %s: %w", opt.Listen, err):
		default:
		}
		close(f.stopped)
	}()
	if err := <-f.startErr; err != nil {
		f.cancel()
		return nil, err
	}
	go f.runTimers()
	return f, nil
}

// Addr returns the address on which the front listens.
func (f *Front) Addr() string { return f.addr }

// Stats returns a copy of the counters.
func (f *Front) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Conns, s.Budget, s.Deliver = len(f.conns), f.budget.Used(), s.Deliver.Copy()
	for c := range f.conns {
		if c.active.Load() {
			s.Active++
		}
	}
	return s
}

// Drain rejects new connections, closes those without an active transfer, and waits until the others
// have ended or ctx is done.
func (f *Front) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	for c := range f.conns {
		if !c.active.Load() {
			c.post(func() { c.closeSession(errors.New("the gateway drains")) })
		}
	}
	f.mu.Unlock()
	for {
		f.mu.Lock()
		left := len(f.conns)
		f.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("rsync front: %d connections were still open when the drain timeout expired", left)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Close stops the front and closes all of its connections.
func (f *Front) Close() error {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := f.engine.Stop(ctx)
	<-f.stopped
	f.mu.Lock()
	left := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		left = append(left, c) // gnet does not close those whose socket is detached
	}
	f.mu.Unlock()
	for _, c := range left {
		c.teardown(errors.New("the gateway stops"))
	}
	return err
}

// Reload replaces the modules and the message of the day for connections that are accepted from now on.
func (f *Front) Reload(modules []Module, motd string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opt.Modules, f.opt.MOTD = modules, motd
	f.modules = map[string]*Module{}
	for i := range modules {
		f.modules[modules[i].Name] = &modules[i]
	}
}

// ---- timers ----

// after schedules call on the connection's loop at the given time of the host's clock.
func (f *Front) after(at time.Duration, c *conn, call func()) *wheel.Timer[timer] {
	f.timerMu.Lock()
	t := f.wheel.Add(at, timer{c, call})
	f.timerMu.Unlock()
	select {
	case f.timerAdded <- struct{}{}:
	default:
	}
	return t
}

func (f *Front) cancelTimer(t *wheel.Timer[timer]) {
	f.timerMu.Lock()
	f.wheel.Cancel(t)
	f.timerMu.Unlock()
}

// runTimers advances the timer wheel until the front stops.
func (f *Front) runTimers() {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	for {
		var due []timer
		f.timerMu.Lock()
		now := f.opt.Host.Now()
		f.wheel.Advance(now, func(t timer) { due = append(due, t) })
		next, ok := f.wheel.Next()
		f.timerMu.Unlock()
		for _, t := range due {
			t.conn.post(t.call)
		}
		wait := time.Hour
		if ok {
			wait = max(0, next-now)
		}
		sleep.Reset(wait)
		select {
		case <-sleep.C:
		case <-f.timerAdded:
		case <-f.ctx.Done():
			return
		}
	}
}

// ---- gnet ----

type handler struct {
	gnet.BuiltinEventEngine
	front *Front
}

// OnBoot records the address on which the front listens.
func (h *handler) OnBoot(eng gnet.Engine) gnet.Action {
	h.front.engine = eng
	fd, err := eng.Dup()
	if err == nil {
		var sa unix.Sockaddr
		sa, err = unix.Getsockname(fd)
		unix.Close(fd)
		switch sa := sa.(type) {
		case *unix.SockaddrInet4:
			h.front.addr = net.JoinHostPort(net.IP(sa.Addr[:]).String(), fmt.Sprint(sa.Port))
		case *unix.SockaddrInet6:
			h.front.addr = net.JoinHostPort(net.IP(sa.Addr[:]).String(), fmt.Sprint(sa.Port))
		}
	}
	if err != nil {
		h.front.startErr <- fmt.Errorf("rsync front: listener: %w", err)
		return gnet.Shutdown
	}
	h.front.startErr <- nil
	return gnet.None
}

// OnOpen accepts a new client, or takes back a connection whose socket was detached.
func (h *handler) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	f := h.front
	if c, ok := g.Context().(*conn); ok {
		c.reattached(g)
		return nil, gnet.None
	}
	f.mu.Lock()
	if f.draining || len(f.conns) >= f.opt.MaxConns {
		f.stats.TurnedAway++
		text := fmt.Sprintf("@ERROR: max connections (%d) reached -- try again later\n", f.opt.MaxConns)
		if f.draining {
			text = "@ERROR: the gateway is shutting down -- try again later\n"
		}
		overLimit := f.rejectedConns >= maxRejectedConns
		if !overLimit {
			f.rejectedConns++
		}
		f.mu.Unlock()
		if overLimit {
			return []byte(text), gnet.Close
		}
		f.reject(g, text)
		return nil, gnet.None
	}
	c := newConn(f, g)
	f.conns[c] = true
	f.stats.Accepted++
	f.mu.Unlock()
	g.SetContext(c)
	c.start()
	return nil, c.process()
}

// rejectedConn is the context of a socket whose client was told to retry later.
type rejectedConn struct{}

// reject tells a client to retry later. Its input is discarded for lingerTimeout: closing a socket
// with unread bytes would reset the connection, and the client would lose the text.
func (f *Front) reject(g gnet.Conn, text string) {
	g.SetContext(rejectedConn{})
	_, _ = g.Write([]byte(text))
	_ = unix.Shutdown(g.Fd(), unix.SHUT_WR)
	time.AfterFunc(lingerTimeout, func() { _ = g.Close() })
}

// OnTraffic passes new input to the session.
func (h *handler) OnTraffic(g gnet.Conn) gnet.Action {
	if _, away := g.Context().(rejectedConn); away {
		_, _ = g.Discard(-1)
		return gnet.None
	}
	c, ok := g.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	return c.process()
}

// OnClose ends the session, unless the socket was only detached.
func (h *handler) OnClose(g gnet.Conn, err error) gnet.Action {
	if _, away := g.Context().(rejectedConn); away {
		h.front.mu.Lock()
		h.front.rejectedConns--
		h.front.mu.Unlock()
	}
	c, ok := g.Context().(*conn)
	if !ok || c.socket != g {
		return gnet.None
	}
	c.socketClosed(err)
	return gnet.None
}

// ---- the sessions' gateway ----

// gateway implements proto.Gateway for the session of one connection.
type gateway struct {
	front *Front
	conn  *conn
}

func (gw *gateway) Modules() []proto.Module {
	gw.front.mu.Lock()
	defer gw.front.mu.Unlock()
	list := make([]proto.Module, len(gw.front.opt.Modules))
	for i, m := range gw.front.opt.Modules {
		list[i] = m.Module
	}
	return list
}

func (gw *gateway) Module(name string) (proto.Module, bool) {
	gw.front.mu.Lock()
	defer gw.front.mu.Unlock()
	m := gw.front.modules[name]
	if m == nil {
		return proto.Module{}, false
	}
	return m.Module, true
}

func (gw *gateway) MOTD() string {
	gw.front.mu.Lock()
	defer gw.front.mu.Unlock()
	return gw.front.opt.MOTD
}

func (gw *gateway) Challenge() string {
	var b [16]byte
	_, _ = crand.Read(b[:]) // never fails
	return base64.RawStdEncoding.EncodeToString(b[:])
}

func (gw *gateway) Seed() uint32 {
	var b [4]byte
	_, _ = crand.Read(b[:])
	return binary.LittleEndian.Uint32(b[:]) | 1
}

// nextPacingSeed returns a new seed for a transfer's pacing.
func (f *Front) nextPacingSeed() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSeed++
	return uint64(f.opt.Seed) + f.lastSeed
}

func (gw *gateway) Secret(module, user string) (string, bool) {
	gw.front.mu.Lock()
	defer gw.front.mu.Unlock()
	m := gw.front.modules[module]
	if m == nil {
		return "", false
	}
	s, ok := m.Secrets[user]
	return s, ok
}

func (gw *gateway) AcquireConn(module string) (int, bool) {
	f := gw.front
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.modules[module]
	if m == nil {
		return 0, false
	}
	if m.MaxConns > 0 && f.moduleConns[module] >= m.MaxConns {
		f.stats.TurnedAway++
		return m.MaxConns, false
	}
	f.moduleConns[module]++
	gw.conn.moduleName = module
	return m.MaxConns, true
}

func (gw *gateway) MaxFiles() int { return gw.front.opt.MaxListEntries }

func (gw *gateway) ReserveListEntries(n int) bool {
	f := gw.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listEntries > 0 && f.listEntries+n > f.opt.MaxListEntries {
		return false
	}
	f.listEntries += n
	gw.conn.listEntries += n
	return true
}

func (gw *gateway) Begin(t proto.Transfer) (proto.Tree, error) {
	f := gw.front
	f.mu.Lock()
	m, draining := f.modules[t.Module], f.draining
	if m != nil && !draining {
		f.stats.Transfers++
	}
	f.mu.Unlock()
	if m == nil || draining {
		return nil, errors.New("the gateway is shutting down or the module has gone; try again later")
	}
	gw.conn.active.Store(true)
	gw.conn.cancelHandshake()
	return newTransfer(gw.conn, m, t), nil
}

// addrHost returns an address without its port, for logs.
func addrHost(a net.Addr) string {
	if a == nil {
		return "?"
	}
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return strings.ToValidUTF8(a.String(), "?")
	}
	return h
}
