// Package rsync is the rsync front: clients' sockets on gnet's event loops, one
// session of internal/rsync a connection, and the way from a transfer to requests.
// It knows no node, chooses none and repeats nothing on its own account: each extent
// is a request to the host, and what follows a refusal of one is decided by pacing.
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

// Module is a module of the front: a volume with a plan.
type Module struct {
	proto.Module
	Plan    string
	Quota   int64             // most bytes of its files; 0: no bound
	Share   float64           // units a second told in advance; 0: none
	Hosts   int               // gateways that serve the volume
	MaxConn int               // connections at a time; 0: no ceiling of its own
	Secrets map[string]string // passwords by user
}

// Spot is where an extent is to go.
type Spot struct {
	Tiers [][]int // shards that are to take it, the best tier first; none: any may
	Avoid []int   // shards that take nothing new, ascending
}

// Options are what a front is made of.
type Options struct {
	Listen      string // host:port
	Loops       int
	Host        *host.Host
	Catalogue   *store.Catalogue
	Classes     []control.Class
	Work        extent.Work
	Pacing      pacing.Settings
	Modules     []Module
	MOTD        string
	Seed        int64 // of the transfers' pauses
	ExtentBytes int
	// Place says where an extent of a file of so many bytes (negative: not known) is to go, or why
	// nothing takes it. nil: any shard may.
	Place func(volume, file string, index int, size int64) (Spot, error)
	// Lost says that a shard gives no answers, in words, and when it is worth to come back. nil: none
	// is ever lost.
	Lost      func(shard int) (why string, back time.Duration, lost bool)
	MaxConns  int           // connections at a time
	MaxFiles  int           // entries of file lists, over all transfers
	Budget    int64         // bytes of extents held over all transfers
	Handshake time.Duration // time for all before a transfer
	Stall     time.Duration // a connection on which nothing moves for so long is closed
	Log       *slog.Logger
}

// Front is a running front.
type Front struct {
	opt     Options
	eng     gnet.Engine
	addr    string
	booted  chan error
	ended   chan struct{}
	classes map[string]control.Class
	modules map[string]*Module
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex // guards what follows
	conns    map[*conn]bool
	entered  map[string]int
	budget   pacing.Budget
	hungry   map[*conn]bool // wait for room in the budget
	quotas   map[string]*placement.Quota
	draining bool
	seeds    uint64
	listed   int // entries of file lists that all connections hold
	parting  int // clients that were turned away and have not gone
	stats    Stats

	timeMu sync.Mutex
	wheel  *wheel.Wheel[timer]
	alarm  chan struct{}
}

// timer is a call that a connection has asked for.
type timer struct {
	c *conn
	f func()
}

// Stats are counts since the start.
type Stats struct {
	Accepted, TurnedAway, Transfers uint64
	Served, Refused, Failed         uint64 // transfers by how they ended
	FilesLeftOut                    uint64
	Shed, Paused, Corrupt           uint64
	Conns, Active                   int
	Budget                          int64
	Deliver                         host.Histogram // from an outcome's coming in to its bytes' turn at the client's loop
}

const (
	outHigh  = 1 << 20              // bytes waiting in a socket's buffer before a session pauses
	outPoll  = 2 * time.Millisecond // how often a full one is looked at
	inPause  = 512 << 10            // bytes read and not taken, at which a socket is no longer read
	inShed   = 8 << 20              // and at which it is closed
	partMost = 256                  // clients turned away that may take their time to go
	stallBit = 1 * time.Second      // how often stalls are looked for
)

// Start listens and serves.
func Start(opt Options) (*Front, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	f := &Front{opt: opt, booted: make(chan error, 1), ended: make(chan struct{}),
		classes: map[string]control.Class{}, modules: map[string]*Module{}, conns: map[*conn]bool{},
		entered: map[string]int{}, quotas: map[string]*placement.Quota{}, hungry: map[*conn]bool{}, budget: pacing.Budget{Limit: opt.Budget, Reserve: 0.25},
		wheel: wheel.New[timer](time.Millisecond, opt.Host.Now()), alarm: make(chan struct{}, 1)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, c := range opt.Classes {
		f.classes[c.Name] = c
	}
	for i := range opt.Modules {
		f.modules[opt.Modules[i].Name] = &opt.Modules[i]
	}
	go func() {
		err := gnet.Run(&handler{f: f}, "tcp://"+opt.Listen, gnet.WithNumEventLoop(max(1, opt.Loops)),
			gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(telemetry.Gnet{Log: opt.Log}),
			gnet.WithReadBufferCap(128<<10), gnet.WithWriteBufferCap(256<<10))
		select {
		case f.booted <- fmt.Errorf("rsync front: listen on %s: %w", opt.Listen, err):
		default:
		}
		close(f.ended)
	}()
	if err := <-f.booted; err != nil {
		f.cancel()
		return nil, err
	}
	go f.keepTime()
	return f, nil
}

// Addr is where the front listens.
func (f *Front) Addr() string { return f.addr }

// Stats returns the counts.
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

// Drain takes no new connections, sends away those that have no transfer, and waits
// until the others have ended or ctx has.
func (f *Front) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	for c := range f.conns {
		if !c.active.Load() {
			c.post(func() { c.shut(errors.New("the gateway drains")) })
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
			return fmt.Errorf("rsync front: %d transfers had not ended in the time for draining", left)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Close ends the front and its connections.
func (f *Front) Close() error {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := f.eng.Stop(ctx)
	<-f.ended
	f.mu.Lock()
	left := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		left = append(left, c) // those whose socket was set aside
	}
	f.mu.Unlock()
	for _, c := range left {
		c.gone(errors.New("the gateway stops"))
	}
	return err
}

// Reload takes other modules for connections that come from now on.
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

// after has f called on the connection's loop at a time of the host's clock.
func (f *Front) after(at time.Duration, c *conn, call func()) *wheel.Timer[timer] {
	f.timeMu.Lock()
	t := f.wheel.Add(at, timer{c, call})
	f.timeMu.Unlock()
	select {
	case f.alarm <- struct{}{}:
	default:
	}
	return t
}

func (f *Front) cancelTimer(t *wheel.Timer[timer]) {
	f.timeMu.Lock()
	f.wheel.Cancel(t)
	f.timeMu.Unlock()
}

// keepTime drives the wheel.
func (f *Front) keepTime() {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	for {
		var due []timer
		f.timeMu.Lock()
		now := f.opt.Host.Now()
		f.wheel.Advance(now, func(t timer) { due = append(due, t) })
		next, ok := f.wheel.Next()
		f.timeMu.Unlock()
		for _, t := range due {
			t.c.post(t.f)
		}
		wait := time.Hour
		if ok {
			wait = max(0, next-now)
		}
		sleep.Reset(wait)
		select {
		case <-sleep.C:
		case <-f.alarm:
		case <-f.ctx.Done():
			return
		}
	}
}

// ---- gnet ----

type handler struct {
	gnet.BuiltinEventEngine
	f *Front
}

// OnBoot learns where the front listens.
func (h *handler) OnBoot(eng gnet.Engine) gnet.Action {
	h.f.eng = eng
	fd, err := eng.Dup()
	if err == nil {
		var sa unix.Sockaddr
		sa, err = unix.Getsockname(fd)
		unix.Close(fd)
		switch sa := sa.(type) {
		case *unix.SockaddrInet4:
			h.f.addr = net.JoinHostPort(net.IP(sa.Addr[:]).String(), fmt.Sprint(sa.Port))
		case *unix.SockaddrInet6:
			h.f.addr = net.JoinHostPort(net.IP(sa.Addr[:]).String(), fmt.Sprint(sa.Port))
		}
	}
	if err != nil {
		h.f.booted <- fmt.Errorf("rsync front: listener: %w", err)
		return gnet.Shutdown
	}
	h.f.booted <- nil
	return gnet.None
}

// OnOpen takes a new client, or one whose socket had been set aside.
func (h *handler) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	f := h.f
	if c, ok := g.Context().(*conn); ok {
		c.back(g)
		return nil, gnet.None
	}
	f.mu.Lock()
	if f.draining || len(f.conns) >= f.opt.MaxConns {
		f.stats.TurnedAway++
		text := fmt.Sprintf("@ERROR: max connections (%d) reached -- try again later\n", f.opt.MaxConns)
		if f.draining {
			text = "@ERROR: the gateway is shutting down -- try again later\n"
		}
		many := f.parting >= partMost
		if !many {
			f.parting++
		}
		f.mu.Unlock()
		if many {
			return []byte(text), gnet.Close
		}
		f.turnAway(g, text)
		return nil, gnet.None
	}
	c := newConn(f, g)
	f.conns[c] = true
	f.stats.Accepted++
	f.mu.Unlock()
	g.SetContext(c)
	c.begin()
	return nil, c.turn()
}

// turnedAway marks a client that was told to come later.
type turnedAway struct{}

// turnAway tells a client to come later. What it sends is thrown away for a moment: a
// socket closed over unread bytes would be reset, and the text lost.
func (f *Front) turnAway(g gnet.Conn, text string) {
	g.SetContext(turnedAway{})
	_, _ = g.Write([]byte(text))
	_ = unix.Shutdown(g.Fd(), unix.SHUT_WR)
	time.AfterFunc(partTime, func() { _ = g.Close() })
}

// OnTraffic feeds the session.
func (h *handler) OnTraffic(g gnet.Conn) gnet.Action {
	if _, away := g.Context().(turnedAway); away {
		_, _ = g.Discard(-1)
		return gnet.None
	}
	c, ok := g.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	return c.turn()
}

// OnClose ends the session, unless the socket was only set aside.
func (h *handler) OnClose(g gnet.Conn, err error) gnet.Action {
	if _, away := g.Context().(turnedAway); away {
		h.f.mu.Lock()
		h.f.parting--
		h.f.mu.Unlock()
	}
	c, ok := g.Context().(*conn)
	if !ok || c.g != g {
		return gnet.None
	}
	c.closed(err)
	return gnet.None
}

// ---- what sessions ask of the gateway ----

// gateway is the front as one connection's session sees it.
type gateway struct {
	f *Front
	c *conn
}

func (w *gateway) Modules() []proto.Module {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	list := make([]proto.Module, len(w.f.opt.Modules))
	for i, m := range w.f.opt.Modules {
		list[i] = m.Module
	}
	return list
}

func (w *gateway) Module(name string) (proto.Module, bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	m := w.f.modules[name]
	if m == nil {
		return proto.Module{}, false
	}
	return m.Module, true
}

func (w *gateway) MOTD() string {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.f.opt.MOTD
}

func (w *gateway) Challenge() string {
	var b [16]byte
	_, _ = crand.Read(b[:]) // never fails
	return base64.RawStdEncoding.EncodeToString(b[:])
}

func (w *gateway) Seed() uint32 {
	var b [4]byte
	_, _ = crand.Read(b[:])
	return binary.LittleEndian.Uint32(b[:]) | 1
}

// nextSeed is a seed for a transfer's pacing.
func (f *Front) nextSeed() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds++
	return uint64(f.opt.Seed) + f.seeds
}

func (w *gateway) Secret(module, user string) (string, bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	m := w.f.modules[module]
	if m == nil {
		return "", false
	}
	s, ok := m.Secrets[user]
	return s, ok
}

func (w *gateway) Enter(module string) (int, bool) {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.modules[module]
	if m == nil {
		return 0, false
	}
	if m.MaxConn > 0 && f.entered[module] >= m.MaxConn {
		f.stats.TurnedAway++
		return m.MaxConn, false
	}
	f.entered[module]++
	w.c.module = module
	return m.MaxConn, true
}

func (w *gateway) MaxFiles() int { return w.f.opt.MaxFiles }

func (w *gateway) Listed(n int) bool {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed > 0 && f.listed+n > f.opt.MaxFiles {
		return false
	}
	f.listed += n
	w.c.listed += n
	return true
}

func (w *gateway) Begin(t proto.Transfer) (proto.Tree, error) {
	f := w.f
	f.mu.Lock()
	m, draining := f.modules[t.Module], f.draining
	if m != nil && !draining {
		f.stats.Transfers++
	}
	f.mu.Unlock()
	if m == nil || draining {
		return nil, errors.New("the gateway is shutting down or the module has gone; try again later")
	}
	w.c.active.Store(true)
	w.c.cancelHandshake()
	return newTransfer(w.c, m, t), nil
}

// hostOf is an address without its port, for logs.
func hostOf(a net.Addr) string {
	if a == nil {
		return "?"
	}
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return strings.ToValidUTF8(a.String(), "?")
	}
	return h
}
