// Package live is the platform's host: the HTTP front, the host loop around the controller, HTTP connections
// to nodes and the watch of discovery, put together in the order in which they need each other, and taken
// apart as the platform's signals ask. It decides nothing about a request. Everything else the program has
// (rsync, catalogue, mover, admin socket, shares) is off here. cmd/eiderhold starts it.
package live

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhold/control"
	backend "eiderhold/internal/backend/http"
	"eiderhold/internal/discovery"
	front "eiderhold/internal/front/http"
	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/limits"
	"eiderhold/shutdown"
)

const (
	// procs is how many threads may run Go code at a time: event loop, host loop, accepting, collector. On one
	// core fewer are slower by 0.1 ms a lone request and cheaper under load (docs/measurements/live.md); all
	// scores were taken with 4.
	procs      = 4
	restEvery  = 20 * time.Millisecond // how often a host that ends looks whether all is answered
	statsEvery = 5 * time.Second
	service    = "origin.svc" // as clients name it
)

// Live is a running host.
type Live struct {
	cfg   *Config
	log   *slog.Logger
	loop  *loop.Loop
	host  *host.Host
	back  *backend.Backend
	feed  *discovery.Feed
	front *front.Front

	listed atomic.Bool // a list of nodes has come
	cancel context.CancelFunc
	ended  chan struct{}
	err    error
}

// Signals has the program's signals kept from its first moment on: one that comes before there is anybody
// to take it must not end the process.
func Signals() chan os.Signal {
	c := make(chan os.Signal, 16)
	signal.Notify(c, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// Start starts a host; it serves when Start returns.
func Start(cfg *Config, log *slog.Logger) (*Live, error) {
	split := limits.Divide(cfg.Limits.Sockets, int64(cfg.Limits.MemoryMB*(1<<20)))
	runtime.GOMAXPROCS(procs)
	debug.SetMemoryLimit(split.Heap)
	l := &Live{cfg: cfg, log: log, ended: make(chan struct{})}
	var err error
	if l.loop, err = loop.Start(log); err != nil {
		return nil, err
	}
	l.back = backend.New(backend.Settings{Conns: split.Nodes, Bytes: split.Answers, Idle: cfg.conns.Idle, DialTimeout: cfg.conns.DialTimeout,
		Service: service, LoadFields: cfg.control.LoadFields}, l.loop, log)
	l.host, err = host.New(host.Options{Settings: cfg.control, Seed: int64(cfg.seed), Backend: l.back, Log: log,
		MostOpen: split.Requests})
	if err != nil {
		return nil, err
	}
	l.back.Own(l.host)
	l.feed = discovery.New(cfg.Discovery, l, log)
	l.host.Follow(l.feed)
	if len(cfg.Known) > 0 {
		if err := l.feed.Start(cfg.Known); err != nil {
			log.Warn("the list known at the start cannot be used and is passed over", "err", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go func() {
		l.err = l.host.Run()
		close(l.ended)
	}()
	go l.feed.Run(ctx)
	l.front, err = front.Start(front.Options{Listen: cfg.Listen, Settings: cfg.control, Conns: split.Clients,
		Bytes: split.Bytes, Host: l.host, Ready: l.listed.Load, Loop: l.loop, Log: log})
	if err != nil {
		cancel()
		return nil, err
	}
	for _, c := range cfg.control.Classes {
		log.Info("class", "name", c.Name, "aim", c.Aim, "deadline", c.Deadline, "worth", c.Worth)
	}
	log.Info("serving", "listen", l.front.Addr(), "discovery", cfg.Discovery, "cores", cfg.Limits.Cores,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets, "clients", split.Clients, "nodes", split.Nodes,
		"requests", split.Requests, "hosts", cfg.control.Hosts, "idle", cfg.conns.Idle, "dial_timeout", cfg.conns.DialTimeout)
	return l, nil
}

// List hands news of the list to the host.
func (l *Live) List(news host.List) {
	l.host.List(news)
	if len(news.Nodes) > 0 || news.Kind == control.ListFull {
		l.listed.Store(true)
	}
}

// StartedAt is the host's.
func (l *Live) StartedAt(node string, wall time.Time) time.Duration {
	return l.host.StartedAt(node, wall)
}

// Addr is where clients connect.
func (l *Live) Addr() string { return l.front.Addr() }

// Reload takes what of another configuration can change while running: where discovery is.
func (l *Live) Reload(cfg *Config) { l.feed.Follow(cfg.Discovery) }

// Serve serves until a signal ends it, or the host loop does. reload reads the configuration again.
func (l *Live) Serve(signals <-chan os.Signal, reload func() (*Config, error)) error {
	every := time.NewTicker(statsEvery)
	defer every.Stop()
	for {
		select {
		case <-l.ended:
			err := l.err
			if err == nil {
				err = fmt.Errorf("the host loop ended unasked")
			}
			return err
		case <-every.C:
			l.logStats()
			l.logNodes()
		case s := <-signals:
			if s != syscall.SIGHUP {
				l.log.Info("ending", "signal", s.String())
				go func() { // further signals change nothing: what was taken is owed its answer
					for range signals {
					}
				}()
				return l.drain()
			}
			cfg, err := reload()
			if err != nil {
				l.log.Error("the new configuration cannot be used; the old one applies", "err", err)
				continue
			}
			l.log.Info("configuration read again", "discovery", cfg.Discovery)
			l.Reload(cfg)
		}
	}
}

// drain ends the host as shutdown says.
func (l *Live) drain() error {
	longest := time.Duration(0)
	for _, c := range l.cfg.control.Classes {
		longest = max(longest, c.Deadline)
	}
	plan, began, clock := shutdown.New(longest), time.Now(), l.host.Now()
	was := shutdown.Phase{Accept: true, Serve: true}
	l.front.KeepAlive()
	for {
		ph := plan.At(time.Since(began))
		if was.Accept && !ph.Accept {
			l.front.StopListening()
		}
		if was.Within == 0 && ph.Within > 0 {
			l.front.EndBy(clock + ph.Within)
		}
		if was.Serve && !ph.Serve {
			l.front.Drain()
		}
		if !was.Shut && ph.Shut {
			l.front.Shut()
		}
		was = ph
		if ph.Over {
			l.log.Warn("ending with connections open, as the time is up")
			break
		}
		if !ph.Serve && l.left() == 0 {
			break
		}
		time.Sleep(restEvery)
	}
	l.logStats()
	return l.Close()
}

// left closes idle connections, and says how many there are still.
func (l *Live) left() int {
	left := make(chan int, 1)
	l.front.CloseIdle(func(conns int) { left <- conns })
	return <-left
}

// Close ends everything.
func (l *Live) Close() error {
	l.front.Close()
	l.cancel()
	l.back.Close()
	l.host.Stop(nil)
	<-l.ended
	return l.loop.Stop()
}

// Compare has f called with what the host believes of each node beside what passed on its sockets.
func (l *Live) Compare(f func([]host.Believed, map[string]backend.Passed)) {
	l.host.Beliefs(func(believed []host.Believed) {
		l.back.Passed(func(passed map[string]backend.Passed) { f(believed, passed) })
	})
}

// logNodes writes a line for each node to which anything was sent: believed, and passed.
func (l *Live) logNodes() {
	l.Compare(func(believed []host.Believed, passed map[string]backend.Passed) {
		for _, n := range believed {
			p := passed[n.Node]
			if p.Written+uint64(p.Waiting+p.Opening+n.Carried) == 0 { // nothing to set against each other
				continue
			}
			l.log.Info("node", "uid", n.Node, "state", n.State, "cold", n.Cold, "suspect", n.Suspect,
				slog.Group("believed", "out", n.Out, "held", n.Held, "carried", n.Carried, "window", n.Window, "round_trip", n.RoundTrip,
					"backlog", n.Backlog, "unit", n.UnitTime, "errors", n.Errors),
				slog.Group("passed", "out", p.Out, "waiting", p.Waiting, "idle", p.Idle, "opening", p.Opening, "written", p.Written,
					"answered", p.Answered, "spoilt", p.Spoilt, "answer", p.Answer, "load", p.Load))
		}
	})
}

// logStats writes the counts since the start, and what is held now, as one line.
func (l *Live) logStats() {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/sched/goroutines:goroutines"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	h, d := l.host.Stats(), l.feed.State()
	var cpu syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &cpu)
	done := make(chan struct{})
	l.front.Stats(func(f front.Stats) {
		l.back.Stats(func(b backend.Stats) {
			defer close(done)
			l.log.Info("stats", "front", f, "nodes", b,
				slog.Group("host", "requests", h.Requests, "served", h.Answers[host.Served], "refused", h.Answers[host.Refused],
					"failed", h.Answers[host.Failed], "attempts", h.Attempts, "open", h.Open, "out", h.Out, "turns", h.Turns,
					"late", h.Late, "left", h.Left, "defects", h.Defects, "results", h.Results,
					"mailbox_p99", h.Mailbox.At(99), "mailbox_max", h.Mailbox.At(100), "decide_p99", h.Decide.At(99),
					"outcome_p50", h.Outcome.At(50), "outcome_p99", h.Outcome.At(99)),
				slog.Group("discovery", "rev", d.Rev, "nodes", d.Nodes, "watching", d.Watching, "watches", d.Watches, "passed", d.Passed),
				slog.Group("process", "heap", samples[0].Value.Uint64(), "memory", samples[1].Value.Uint64(),
					"goroutines", samples[2].Value.Uint64(), "collections", samples[3].Value.Uint64(), "maxrss_kb", cpu.Maxrss,
					"user", time.Duration(cpu.Utime.Nano()), "system", time.Duration(cpu.Stime.Nano())))
		})
	})
	<-done
}
