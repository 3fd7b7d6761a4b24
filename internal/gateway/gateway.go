// Package gateway assembles a gateway: it starts the host loop, the backend, the register
// feed, the catalogue, the collector, the migrator and the rsync front in the order of their
// dependencies, and stops them in the reverse order. It also keeps the list of nodes, chooses shards for new
// data, tracks lost shards and answers administrative commands. cmd/eiderhold and the
// rehearsal start it.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"eiderhold/control"
	"eiderhold/internal/backend"
	"eiderhold/internal/collect"
	"eiderhold/internal/config"
	front "eiderhold/internal/front/rsync"
	"eiderhold/internal/host"
	"eiderhold/internal/migrate"
	"eiderhold/internal/record"
	"eiderhold/internal/register"
	proto "eiderhold/internal/rsync"
	"eiderhold/internal/solution"
	"eiderhold/internal/store"
	"eiderhold/outage"
)

// Gateway is a running gateway.
type Gateway struct {
	cfg         *config.Config
	log         *slog.Logger
	recorder    *record.Writer // nil if off
	backend     *backend.Backend
	host        *host.Host
	feed        *register.Feed
	catalogue   *store.Catalogue
	front       *front.Front
	keeper      *solution.Keeper
	demand      *demandRecorder // nil if off
	placer      *placer         // nil if off
	outages     *outageMonitor
	adminServer *http.Server // nil if it could not be started
	migrator    *migrate.Runner

	nodes *nodeTable

	mu      sync.Mutex
	modules []config.Module // as of the last reload

	cancel      context.CancelFunc
	wg          sync.WaitGroup
	hostStarted bool
	ended       chan struct{} // closed when the host loop has ended
	err         error         // of the host loop; set before ended is closed
}

// Start starts a gateway. When it returns without an error, the gateway accepts connections.
func Start(cfg *config.Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{cfg: cfg, log: log, modules: cfg.Modules, nodes: newNodeTable(), ended: make(chan struct{})}
	if err := g.start(); err != nil {
		return nil, errors.Join(err, g.Close())
	}
	return g, nil
}

// start starts the components, each after those that it depends on. After an error, Close
// stops those that were started.
func (g *Gateway) start() error {
	cfg, log := g.cfg, g.log
	settings, err := cfg.Settings()
	if err != nil {
		return err
	}
	modules, err := LoadModules(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	names := make([]string, len(modules))
	for i, m := range modules {
		names[i] = m.Name
	}
	if g.catalogue, err = store.Open(cfg.Gateway.Dir, cfg.Gateway.Name, names); err != nil {
		return err
	}
	n := &cfg.Nodes
	backendSettings := backend.Settings{Name: cfg.Gateway.Name, MaxConns: n.MaxConnections, AttemptsPerConn: n.Streams, MaxWaiting: n.Waiting,
		DialTimeout: n.DialTimeout.D(), IdleTimeout: n.IdleTimeout.D(), SendCancel: n.Cancel, Loops: n.Loops}
	if cfg.Placement.Choice > 0 { // g.placer is set before the feed runs; nodes are dialled only after its first list
		backendSettings.OnFill = func(shard int, used, capacity uint64, noRoom bool) {
			g.placer.reportFill(shard, used, capacity, noRoom)
		}
	}
	if g.backend, err = backend.New(backendSettings, nil, log); err != nil {
		return err
	}
	seed := cfg.Gateway.Seed
	if seed == 0 {
		seed = rand.Int63()
	}
	hostOptions := host.Options{NodeAnswered: func(shard int, answered bool) { g.outages.recordAnswer(shard, answered) }, Settings: settings, Seed: seed, Backend: g.backend, Log: log, MaxOpen: cfg.Gateway.MaxOpenRequests}
	if rc := &cfg.Recorder; rc.On {
		if g.recorder, err = record.NewWriter(record.Options{Dir: filepath.Join(cfg.Gateway.Dir, "record"),
			FileBytes: rc.FileBytes, Files: rc.MaxFiles}, settings, seed); err != nil {
			return err
		}
		hostOptions.Recorder = g.recorder
	}
	if cfg.Forecast.WriteInterval > 0 {
		if g.demand, err = newDemandRecorder(cfg, log); err != nil {
			return err
		}
		hostOptions.Demand = g.demand.add
	}
	if g.host, err = host.New(hostOptions); err != nil {
		return err
	}
	if g.outages, err = newOutageMonitor(outage.Default, g.nodes, log, g.host.Now, g.backend.Probe); err != nil {
		return err
	}
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.outages.run(ctx.Done()) }()
	if cfg.Placement.Choice > 0 {
		if g.placer, err = newPlacer(cfg, g.nodes, log, g.host.Now, g.backend.Probe); err != nil {
			return err
		}
		g.wg.Add(1)
		go func() { defer g.wg.Done(); g.placer.run(ctx.Done()) }()
	}
	sh := &cfg.Shares
	if g.keeper, err = solution.New(solution.Settings{Dir: filepath.Join(cfg.Gateway.Dir, "shares"), Keep: sh.Keep, Inputs: sh.Inputs,
		File: sh.File, Poll: sh.PollInterval.D()}, g, log, time.Now); err != nil {
		return err
	}
	g.backend.SetOwner(g.host)
	g.feed = register.New(register.Settings{URL: cfg.Register.URL, Gateway: cfg.Gateway.Name,
		Cache: filepath.Join(cfg.Gateway.Dir, "nodes.json"), SilenceTimeout: cfg.Register.SilenceTimeout.D(),
		SettleTime: cfg.Register.SettleTime.D(), Seed: seed}, g, log)
	g.host.SetRegister(g.feed)
	g.hostStarted = true
	go func() {
		g.err = g.host.Run()
		close(g.ended)
	}()
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.feed.Run(ctx) }()
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.keeper.Follow(ctx.Done()) }()
	if g.demand != nil {
		g.wg.Add(1)
		go func() { defer g.wg.Done(); g.demand.run(ctx.Done()) }()
	}
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.writeSpace(ctx.Done()) }()
	plans := map[string]string{}
	for _, m := range modules {
		plans[m.Name] = m.Plan
	}
	plan := func(volume string) string { return plans[volume] }
	deadline := time.Second
	for _, c := range settings.Classes {
		if c.Name == cfg.Worth.CollectClass {
			deadline = c.Deadline
		}
	}
	if g.migrator, err = migrate.New(migrate.Options{Dir: cfg.Gateway.Dir, Settings: cfg.MoveSettings(), Store: g.catalogue, Host: g.host,
		Work: cfg.Work(), Plan: plan, Deadline: deadline, Log: log}); err != nil {
		return err
	}
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.migrator.Run(ctx) }()
	g.serveAdmin()
	r := &cfg.Rsync
	frontOptions := front.Options{Listen: r.Listen, Loops: r.Loops, Host: g.host, Catalogue: g.catalogue,
		Classes: settings.Classes, Work: cfg.Work(), Pacing: cfg.PacingSettings(), Modules: modules, MOTD: r.MOTD, Seed: seed,
		ExtentBytes: r.ExtentBytes, ShardLost: g.outages.lost, MaxConns: r.MaxConnections, MaxListEntries: r.MaxFileEntries, BufferBytes: r.BufferBytes, HandshakeTimeout: r.Handshake.D(),
		StallTimeout: r.Stall.D(), Log: log}
	if g.placer != nil {
		frontOptions.ChooseShards = g.placer.place
	}
	if g.front, err = front.Start(frontOptions); err != nil {
		return err
	}
	c := collect.New(collect.Settings{Deadline: deadline, Plan: plan},
		g.catalogue, g.host, cfg.Work(), g.Shards, log)
	g.wg.Add(1)
	go func() { defer g.wg.Done(); c.Run(ctx) }()
	return nil
}

// LoadModules converts the configured modules for the front and reads their users' secrets from file.
func LoadModules(cfg *config.Config) ([]front.Module, error) {
	var list []front.Module
	for _, m := range cfg.Modules {
		f := front.Module{Module: proto.Module{Name: m.Name, Comment: m.Comment, Hidden: m.Hidden, ReadOnly: m.ReadOnly,
			WriteOnly: m.WriteOnly, Users: m.Users}, Plan: m.Plan, QuotaBytes: m.QuotaBytes, Share: m.Share, Gateways: cfg.Gateway.Hosts, MaxConns: m.MaxConnections}
		if m.SecretsFile != "" {
			secrets, err := config.ReadSecrets(m.SecretsFile)
			if err != nil {
				return nil, fmt.Errorf("module %s: %w", m.Name, err)
			}
			for _, u := range m.Users {
				if secrets[u] == "" {
					return nil, fmt.Errorf("module %s: user %s has no line in %s", m.Name, u, m.SecretsFile)
				}
			}
			f.Secrets = secrets
		}
		list = append(list, f)
	}
	return list, nil
}

// List receives a node list from the register feed and passes it to all components that use it.
func (g *Gateway) List(l host.List) {
	if l.Kind != control.ListFailed {
		g.outages.nodesChanged(g.nodes.update(l))
		if g.placer != nil {
			g.placer.nodesChanged()
		}
	}
	g.host.List(l)
	if l.Kind != control.ListFailed {
		g.keeper.SetNodes(g.nodes.ids())
	}
}

// Shares puts the shares and the placement of a solution in use. The solution keeper calls it.
func (g *Gateway) Shares(s control.Shares, placement map[string][]string) {
	if g.placer != nil {
		g.placer.setSolution(placement)
	}
	g.host.Shares(s)
}

// Solution receives a solution from the register feed. The keeper logs why it refuses one.
func (g *Gateway) Solution(b []byte) { _ = g.keeper.Offer("the register", b) }

// StartedAt calls StartedAt of the host.
func (g *Gateway) StartedAt(node string, wall time.Time) time.Duration {
	return g.host.StartedAt(node, wall)
}

// Shards returns the shards of all nodes that the register has listed since the start.
func (g *Gateway) Shards() []int { return g.nodes.everShards() }

// Addr returns the address that the rsync front listens on.
func (g *Gateway) Addr() string { return g.front.Addr() }

// Host returns the host loop.
func (g *Gateway) Host() *host.Host { return g.host }

// Front returns the rsync front.
func (g *Gateway) Front() *front.Front { return g.front }

// Catalogue returns the catalogue of modules and files.
func (g *Gateway) Catalogue() *store.Catalogue { return g.catalogue }

// Backend returns the connections to the nodes.
func (g *Gateway) Backend() *backend.Backend { return g.backend }

// Feed returns the register feed.
func (g *Gateway) Feed() *register.Feed { return g.feed }

// Keeper returns the keeper of solutions.
func (g *Gateway) Keeper() *solution.Keeper { return g.keeper }

// Ended returns a channel that is closed when the host loop has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

// Err waits until the host loop has ended and returns its error, which is nil after Close.
func (g *Gateway) Err() error {
	<-g.ended
	return g.err
}

// Reload applies the settings that can change while the gateway runs: the modules and the
// message of the day. After an error nothing has changed.
func (g *Gateway) Reload(cfg *config.Config) error {
	modules, err := LoadModules(cfg)
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, m := range g.cfg.Modules {
		known[m.Name] = true
	}
	for _, m := range cfg.Modules {
		if !known[m.Name] {
			return fmt.Errorf("module %s is new: adding a module needs a restart", m.Name)
		}
	}
	g.front.Reload(modules, cfg.Rsync.MOTD)
	g.mu.Lock()
	g.modules = cfg.Modules
	g.mu.Unlock()
	return nil
}

// Drain stops accepting transfers and waits until those in progress have ended or ctx is done.
func (g *Gateway) Drain(ctx context.Context) error { return g.front.Drain(ctx) }

// Close stops all components. Requests that are still open fail.
func (g *Gateway) Close() error {
	var errs []error
	if g.front != nil {
		errs = append(errs, g.front.Close())
	}
	if g.cancel != nil {
		g.cancel()
	}
	if g.adminServer != nil {
		g.adminServer.Close()
	}
	if g.hostStarted {
		g.host.Stop(nil)
		<-g.ended
	}
	g.wg.Wait()
	if g.backend != nil {
		errs = append(errs, g.backend.Close())
	}
	if g.catalogue != nil {
		errs = append(errs, g.catalogue.Close())
	}
	if g.recorder != nil {
		errs = append(errs, g.recorder.Close())
	}
	return errors.Join(errs...)
}
