// Package live assembles the host that runs on the platform: the HTTP front, the host loop around the controller,
// HTTP connections to nodes, and the watch of discovery. It starts them in the order of their dependencies, and
// reloads or shuts down on the platform's signals. It makes no decision about a request. The other parts of the
// program (rsync, catalogue, mover, admin socket, shares) are not used here. cmd/eiderhold starts it.
package live

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhold/control"
	backend "eiderhold/internal/backend/http"
	"eiderhold/internal/buffer"
	"eiderhold/internal/discovery"
	front "eiderhold/internal/front/http"
	"eiderhold/internal/host"
	"eiderhold/internal/loop"
	"eiderhold/limits"
	"eiderhold/requestid"
	"eiderhold/shutdown"
)

const (
	// maxProcs is the value of GOMAXPROCS: event loop, host loop, accepting, garbage collector. On one core, lower
	// values cost 0.1 ms more for a single request and less CPU under load (docs/measurements/live.md).
	maxProcs          = 4
	drainPollInterval = 20 * time.Millisecond // between checks for open connections during shutdown
	statsInterval     = 5 * time.Second
	memoryInterval    = time.Second  // between two settings of the runtime's limit
	serviceName       = "origin.svc" // the Host field of requests to nodes, the same as in those of clients
)

// Server is a running host.
type Server struct {
	cfg     *Config
	log     *slog.Logger
	loop    *loop.Loop
	host    *host.Host
	backend *backend.Backend
	feed    *discovery.Feed
	front   *front.Front

	hasNodeList atomic.Bool   // a node list has arrived
	memoryLimit int64         // of the process, in bytes
	arena       *buffer.Arena // of messages
	uncounted   int64         // highest value of limits.Memory.Uncounted
	cancel      context.CancelFunc
	ending      <-chan struct{}
	hostEnded   chan struct{}
	hostErr     error
}

// Signals starts to receive the program's signals. It is called first of all, so that a signal during startup does
// not end the process.
func Signals() chan os.Signal {
	c := make(chan os.Signal, 16)
	signal.Notify(c, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// Start starts a host. It accepts requests when Start returns.
func Start(cfg *Config, log *slog.Logger) (*Server, error) {
	runtime.GOMAXPROCS(maxProcs)
	s := &Server{cfg: cfg, log: log, hostEnded: make(chan struct{}), memoryLimit: int64(cfg.Limits.MemoryMB * (1 << 20))}
	declineHugePages(log)
	atStart := memory(s.memoryLimit, buffer.ArenaStats{})
	split := limits.Divide(cfg.Limits.Sockets, atStart, limits.ItemSizes{Name: control.BytesPerName, ID: requestid.BytesPerID})
	s.arena = buffer.NewArena(int(split.MessageBytes))
	s.limitHeap()
	cfg.control.MaxNames = split.MaxNames
	var err error
	if s.loop, err = loop.Start(log, s.arena); err != nil {
		return nil, err
	}
	s.backend = backend.New(backend.Settings{MaxConns: split.NodeConns, MaxResponseBytes: split.AnswerBytes, Arena: s.arena, NodeIdleTimeout: cfg.conns.IdleTimeout,
		DialTimeout: cfg.conns.DialTimeout, HostHeader: serviceName, LoadFields: cfg.control.LoadFields}, s.loop, log)
	s.host, err = host.New(host.Options{Settings: cfg.control, Seed: int64(cfg.seed), Backend: s.backend, Log: log,
		MaxOpen: split.MaxRequests})
	if err != nil {
		return nil, err
	}
	s.backend.SetOwner(s.host)
	s.feed = discovery.New(cfg.Discovery, split.ListBytes, s, log)
	s.host.SetRegister(s.feed)
	if len(cfg.KnownNodes) > 0 {
		if err := s.feed.SetKnownList(cfg.KnownNodes); err != nil {
			log.Warn("the known node list in the configuration cannot be used; it is ignored", "err", err)
		}
	}
	cfg.KnownNodes, cfg.Settings = nil, nil // the texts are large, and all of them has been read
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.ending = cancel, ctx.Done()
	go func() {
		s.hostErr = s.host.Run()
		close(s.hostEnded)
	}()
	go s.feed.Run(ctx)
	s.front, err = front.Start(front.Options{Listen: cfg.Listen, Settings: cfg.control, MaxConns: split.ClientConns,
		MaxRequestBytes: split.RequestBytes, MaxUnsentBytes: split.UnsentBytes, Arena: s.arena, MaxIDs: split.MaxIDs, Host: s.host, Ready: s.hasNodeList.Load, Loop: s.loop, Log: log})
	if err != nil {
		cancel()
		return nil, err
	}
	for _, c := range cfg.control.Classes {
		log.Info("class", "name", c.Name, "aim", c.Aim, "deadline", c.Deadline, "worth", c.Worth)
	}
	log.Info("serving", "listen", s.front.Addr(), "discovery", cfg.Discovery, "cores", cfg.Limits.Cores,
		"memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets, "clients", split.ClientConns, "nodes", split.NodeConns,
		"requests", split.MaxRequests, "hosts", cfg.control.Hosts, "idle", cfg.conns.IdleTimeout, "dial_timeout", cfg.conns.DialTimeout)
	log.Info("memory", "limit", atStart.Limit, "resident", atStart.Resident, "runtime", atStart.Runtime, "heap", atStart.HeapBytes(split.MessageBytes),
		"message_bytes", split.MessageBytes, "request_bytes", split.RequestBytes, "answer_bytes", split.AnswerBytes, "unsent_bytes", split.UnsentBytes, "list_bytes", split.ListBytes,
		"names", split.MaxNames, "ids", split.MaxIDs)
	return s, nil
}

// List passes a node list or a change of it to the host, and waits until it is applied there and at the connections to
// nodes: discovery may send changes faster than they can be applied.
func (s *Server) List(news host.List) {
	applied := make(chan struct{})
	s.host.List(news)
	s.host.Do(func() { s.loop.Post(func() { close(applied) }) })
	select {
	case <-applied:
	case <-s.ending:
	case <-s.hostEnded:
	}
	if len(news.Nodes) > 0 || news.Kind == control.ListFull {
		s.hasNodeList.Store(true)
	}
}

// StartedAt converts the start of a node to the host's clock; see host.Host.StartedAt.
func (s *Server) StartedAt(node string, wall time.Time) time.Duration {
	return s.host.StartedAt(node, wall)
}

// Addr returns the address that clients connect to.
func (s *Server) Addr() string { return s.front.Addr() }

// Reload applies the part of a new configuration that can change at run time: the address of discovery.
func (s *Server) Reload(cfg *Config) { s.feed.SetAddress(cfg.Discovery) }

// Serve serves until a signal or the end of the host loop. On SIGHUP it applies the configuration that reload
// returns; any other signal starts an orderly shutdown.
func (s *Server) Serve(signals <-chan os.Signal, reload func() (*Config, error)) error {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	memoryTicker := time.NewTicker(memoryInterval)
	defer memoryTicker.Stop()
	for {
		select {
		case <-memoryTicker.C:
			s.limitHeap()
		case <-s.hostEnded:
			err := s.hostErr
			if err == nil {
				err = fmt.Errorf("the host loop ended unexpectedly")
			}
			return err
		case <-ticker.C:
			s.logStats()
			s.logNodes()
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				s.log.Info("ending", "signal", sig.String())
				go func() { // further signals are ignored: accepted requests still get their answers
					for range signals {
					}
				}()
				return s.drain()
			}
			cfg, err := reload()
			if err != nil {
				s.log.Error("the new configuration cannot be used; the old one applies", "err", err)
				continue
			}
			s.log.Info("configuration read again", "discovery", cfg.Discovery)
			s.Reload(cfg)
		}
	}
}

// drain shuts the host down in the phases of package shutdown.
func (s *Server) drain() error {
	longest := time.Duration(0)
	for _, c := range s.cfg.control.Classes {
		longest = max(longest, c.Deadline)
	}
	plan, signalledAt, clock := shutdown.New(longest), time.Now(), s.host.Now()
	previous := shutdown.Phase{Accept: true, Serve: true}
	s.front.KeepAlive()
	for {
		phase := plan.At(time.Since(signalledAt))
		if previous.Accept && !phase.Accept {
			s.front.StopListening()
		}
		if previous.AnswerBy == 0 && phase.AnswerBy > 0 {
			s.front.LimitDeadlines(clock + phase.AnswerBy)
		}
		if previous.Serve && !phase.Serve {
			s.front.Drain()
		}
		if !previous.StopReading && phase.StopReading {
			s.front.CloseWithoutRequest()
		}
		previous = phase
		if phase.Exit {
			s.log.Warn("ending with connections open, as the time is up")
			break
		}
		if !phase.Serve && s.closeIdle() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	s.logStats()
	return s.Close()
}

// closeIdle closes idle connections and returns the number of those that remain.
func (s *Server) closeIdle() int {
	remaining := make(chan int, 1)
	s.front.CloseIdle(func(conns int) { remaining <- conns })
	return <-remaining
}

// Close stops all parts of the host, whatever is open.
func (s *Server) Close() error {
	s.front.Close()
	s.cancel()
	s.backend.Close()
	s.host.Stop(nil)
	<-s.hostEnded
	return s.loop.Stop()
}

// CompareNodes calls f with the controller's estimate of each node and with the counters of its connections.
func (s *Server) CompareNodes(f func([]host.NodeView, map[string]backend.NodeTraffic)) {
	s.host.NodeEstimates(func(believed []host.NodeView) {
		s.backend.Traffic(func(passed map[string]backend.NodeTraffic) { f(believed, passed) })
	})
}

// logNodes logs a line for each node to which anything was sent: the controller's estimates and the counters of the
// connections.
func (s *Server) logNodes() {
	s.CompareNodes(func(believed []host.NodeView, passed map[string]backend.NodeTraffic) {
		for _, n := range believed {
			p := passed[n.Node]
			if p.Written+uint64(p.Waiting+p.Opening+n.HostInFlight) == 0 { // nothing to compare
				continue
			}
			s.log.Info("node", "uid", n.Node, "state", n.State, "cold", n.Cold, "suspect", n.Suspect,
				slog.Group("believed", "out", n.InFlight, "held", n.Held, "carried", n.HostInFlight, "window", n.Window, "round_trip", n.RoundTrip,
					"backlog", n.Backlog, "unit", n.UnitTime, "errors", n.ErrorRate),
				slog.Group("passed", "out", p.InFlight, "waiting", p.Waiting, "idle", p.Idle, "opening", p.Opening, "written", p.Written,
					"answered", p.Responses, "spoilt", p.Invalid, "answer", p.ResponseTime, "load", p.Load))
		}
	})
}

// logStats logs the counters since the start and the current usage of resources in one line.
func (s *Server) logStats() {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/sched/goroutines:goroutines"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	h, d := s.host.Stats(), s.feed.State()
	var cpu syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &cpu)
	status, _ := os.ReadFile("/proc/self/status")
	lag, messages := s.loop.Lag(), s.arena.Stats()
	done := make(chan struct{})
	s.front.Stats(func(f front.Stats) {
		s.backend.Stats(func(b backend.Stats) {
			defer close(done)
			s.log.Info("stats", "front", f, "nodes", b,
				slog.Group("host", "requests", h.Requests, "served", h.Answers[host.Served], "refused", h.Answers[host.Refused],
					"failed", h.Answers[host.Failed], "attempts", h.Attempts, "open", h.Open, "out", h.InFlight, "turns", h.Turns,
					"late", h.LateOutcomes, "left", h.ClientsGone, "defects", h.Defects, "results", h.Results,
					"mailbox_p99", h.Mailbox.Percentile(99), "mailbox_max", h.Mailbox.Percentile(100), "decide_p99", h.Decide.Percentile(99),
					"outcome_p50", h.Outcome.Percentile(50), "outcome_p99", h.Outcome.Percentile(99)),
				slog.Group("discovery", "rev", d.Rev, "nodes", d.Nodes, "node_bytes", d.Bytes, "watching", d.Watching, "watches", d.Requests, "unanswered", d.Unanswered, "answer", d.AnswerTime, "passed", d.Skipped),
				slog.Group("process", "heap", samples[0].Value.Uint64(), "memory", samples[1].Value.Uint64(),
					"goroutines", samples[2].Value.Uint64(), "collections", samples[3].Value.Uint64(), "maxrss_kb", cpu.Maxrss,
					"resident", statusBytes(status, "VmRSS"), "resident_file", statusBytes(status, "RssFile"), "resident_peak", statusBytes(status, "VmHWM"),
					"messages", messages.Used, "messages_waiting", messages.Waiting, "messages_peak", messages.Peak, "loop_lag", lag,
					"user", time.Duration(cpu.Utime.Nano()), "system", time.Duration(cpu.Stime.Nano())))
		})
	})
	<-done
}
