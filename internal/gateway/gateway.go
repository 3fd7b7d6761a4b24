// Package gateway puts a gateway together: host loop, backend, register feed,
// catalogue, collector and fronts, in the order in which they need each other, and
// takes it apart in the reverse order. It decides nothing. cmd/eiderhold and the
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
	cfg  *config.Config
	log  *slog.Logger
	rec  *record.Writer // nil: off
	back *backend.Backend
	host *host.Host
	feed *register.Feed
	cat  *store.Catalogue
	rs   *front.Front
	keep *solution.Keeper
	dem  *demand // nil: off
	plc  *places // nil: off
	out  *outages
	adm  *http.Server // nil: off
	mig  *migrate.Runner

	nodes *roster

	mu      sync.Mutex
	modules []config.Module // as last reloaded

	cancel  context.CancelFunc
	wg      sync.WaitGroup
	running bool // the host loop was started
	ended   chan struct{}
	err     error // of the host loop, once ended is closed
}

// Start starts a gateway; it serves when Start returns.
func Start(cfg *config.Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{cfg: cfg, log: log, modules: cfg.Modules, nodes: newRoster(), ended: make(chan struct{})}
	if err := g.start(); err != nil {
		return nil, errors.Join(err, g.Close())
	}
	return g, nil
}

// start starts the parts, each after those that it needs. Close ends what there is.
func (g *Gateway) start() error {
	cfg, log := g.cfg, g.log
	set, err := cfg.Settings()
	if err != nil {
		return err
	}
	modules, err := Modules(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	names := make([]string, len(modules))
	for i, m := range modules {
		names[i] = m.Name
	}
	if g.cat, err = store.Open(cfg.Gateway.Dir, cfg.Gateway.Name, names); err != nil {
		return err
	}
	n := &cfg.Nodes
	bo := backend.Settings{Name: cfg.Gateway.Name, MaxConns: n.Conns, AttemptsPerConn: n.Streams, MaxWaiting: n.Waiting,
		DialTimeout: n.Dial.D(), IdleClose: n.IdleClose.D(), SendCancel: n.Cancel, Loops: n.Loops}
	if cfg.Place.Choice > 0 { // a connection comes after the first list, and that after g.plc
		bo.OnFill = func(shard int, used, capacity uint64, noRoom bool) { g.plc.filled(shard, used, capacity, noRoom) }
	}
	if g.back, err = backend.New(bo, nil, log); err != nil {
		return err
	}
	seed := cfg.Gateway.Seed
	if seed == 0 {
		seed = rand.Int63()
	}
	ho := host.Options{NodeAnswered: func(shard int, answered bool) { g.out.heard(shard, answered) }, Settings: set, Seed: seed, Backend: g.back, Log: log, MaxOpen: cfg.Gateway.Open}
	if rc := &cfg.Recorder; rc.On {
		if g.rec, err = record.NewWriter(record.Options{Dir: filepath.Join(cfg.Gateway.Dir, "record"),
			FileBytes: rc.FileSize, Files: rc.Files}, set, seed); err != nil {
			return err
		}
		ho.Recorder = g.rec
	}
	if cfg.Forecast.Write > 0 {
		if g.dem, err = newDemand(cfg, log); err != nil {
			return err
		}
		ho.Demand = g.dem.asked
	}
	if g.host, err = host.New(ho); err != nil {
		return err
	}
	if g.out, err = newOutages(outage.Default, g.nodes, log, g.host.Now, g.back.Probe); err != nil {
		return err
	}
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.out.run(ctx.Done()) }()
	if cfg.Place.Choice > 0 {
		if g.plc, err = newPlaces(cfg, g.nodes, log, g.host.Now, g.back.Probe); err != nil {
			return err
		}
		g.wg.Add(1)
		go func() { defer g.wg.Done(); g.plc.run(ctx.Done()) }()
	}
	sh := &cfg.Shares
	if g.keep, err = solution.New(solution.Settings{Dir: filepath.Join(cfg.Gateway.Dir, "shares"), Keep: sh.Keep, Inputs: sh.Inputs,
		File: sh.File, Poll: sh.Poll.D()}, g, log, time.Now); err != nil {
		return err
	}
	g.back.SetOwner(g.host)
	g.feed = register.New(register.Settings{URL: cfg.Register.URL, Gateway: cfg.Gateway.Name,
		Cache: filepath.Join(cfg.Gateway.Dir, "nodes.json"), Silence: cfg.Register.Silence.D(),
		Settle: cfg.Register.Settle.D(), Seed: seed}, g, log)
	g.host.SetRegister(g.feed)
	g.running = true
	go func() {
		g.err = g.host.Run()
		close(g.ended)
	}()
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.feed.Run(ctx) }()
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.keep.Follow(ctx.Done()) }()
	if g.dem != nil {
		g.wg.Add(1)
		go func() { defer g.wg.Done(); g.dem.run(ctx.Done()) }()
	}
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.keepSpace(ctx.Done()) }()
	plans := map[string]string{}
	for _, m := range modules {
		plans[m.Name] = m.Plan
	}
	plan := func(volume string) string { return plans[volume] }
	deadline := time.Second
	for _, c := range set.Classes {
		if c.Name == cfg.Worth.Collect {
			deadline = c.Deadline
		}
	}
	if g.mig, err = migrate.New(migrate.Options{Dir: cfg.Gateway.Dir, Settings: cfg.MoveSettings(), Store: g.cat, Host: g.host,
		Work: cfg.Work(), Plan: plan, Deadline: deadline, Log: log}); err != nil {
		return err
	}
	g.wg.Add(1)
	go func() { defer g.wg.Done(); g.mig.Run(ctx) }()
	g.admin()
	r := &cfg.Rsync
	fo := front.Options{Listen: r.Listen, Loops: r.Loops, Host: g.host, Catalogue: g.cat,
		Classes: set.Classes, Work: cfg.Work(), Pacing: cfg.PacingSettings(), Modules: modules, MOTD: r.MOTD, Seed: seed,
		ExtentBytes: r.Extent, Lost: g.out.lost, MaxConns: r.Conns, MaxFiles: r.Files, Budget: r.Budget, Handshake: r.Handshake.D(),
		Stall: r.Stall.D(), Log: log}
	if g.plc != nil {
		fo.Place = g.plc.spot
	}
	if g.rs, err = front.Start(fo); err != nil {
		return err
	}
	c := collect.New(collect.Settings{Deadline: deadline, Plan: plan},
		g.cat, g.host, cfg.Work(), g.Shards, log)
	g.wg.Add(1)
	go func() { defer g.wg.Done(); c.Run(ctx) }()
	return nil
}

// Modules turns the settings' modules into the front's, with their secrets.
func Modules(cfg *config.Config) ([]front.Module, error) {
	var list []front.Module
	for _, m := range cfg.Modules {
		f := front.Module{Module: proto.Module{Name: m.Name, Comment: m.Comment, Hidden: m.Hidden, ReadOnly: m.ReadOnly,
			WriteOnly: m.WriteOnly, Users: m.Users}, Plan: m.Plan, Quota: m.Quota, Share: m.Share, Hosts: cfg.Gateway.Hosts, MaxConn: m.Conns}
		if m.Secrets != "" {
			secrets, err := config.ReadSecrets(m.Secrets)
			if err != nil {
				return nil, fmt.Errorf("module %s: %w", m.Name, err)
			}
			for _, u := range m.Users {
				if secrets[u] == "" {
					return nil, fmt.Errorf("module %s: user %s has no line in %s", m.Name, u, m.Secrets)
				}
			}
			f.Secrets = secrets
		}
		list = append(list, f)
	}
	return list, nil
}

// List hands news of the register to the host, and notes which shards there are.
func (g *Gateway) List(l host.List) {
	if l.Kind != control.ListFailed {
		g.out.news(g.nodes.take(l))
		if g.plc != nil {
			g.plc.news()
		}
	}
	g.host.List(l)
	if l.Kind != control.ListFailed {
		g.keep.SetNodes(g.nodes.ids())
	}
}

// Shares takes a solution's shares and placement into use. The keeper calls it.
func (g *Gateway) Shares(s control.Shares, placement map[string][]string) {
	if g.plc != nil {
		g.plc.solution(placement)
	}
	g.host.Shares(s)
}

// Solution takes a solution that the register hands out.
func (g *Gateway) Solution(b []byte) { _ = g.keep.Offer("the register", b) } // it says why one is refused

// StartedAt is the host's.
func (g *Gateway) StartedAt(node string, wall time.Time) time.Duration {
	return g.host.StartedAt(node, wall)
}

// Shards are those of all nodes that were ever listed since the start.
func (g *Gateway) Shards() []int { return g.nodes.everShards() }

// Addr is where the rsync front listens.
func (g *Gateway) Addr() string { return g.rs.Addr() }

// Host, Front, Catalogue, Backend and Feed are the parts, for reports and tests.
func (g *Gateway) Host() *host.Host            { return g.host }
func (g *Gateway) Front() *front.Front         { return g.rs }
func (g *Gateway) Catalogue() *store.Catalogue { return g.cat }
func (g *Gateway) Backend() *backend.Backend   { return g.back }
func (g *Gateway) Feed() *register.Feed        { return g.feed }
func (g *Gateway) Keeper() *solution.Keeper    { return g.keep }

// Ended is closed when the host loop has ended; Err then says why.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

// Err is why the host loop ended: nil if it was told to.
func (g *Gateway) Err() error {
	<-g.ended
	return g.err
}

// Reload takes what can be changed while running: the modules and the greeting.
// Nothing changes if any of it cannot be used.
func (g *Gateway) Reload(cfg *config.Config) error {
	modules, err := Modules(cfg)
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, m := range g.cfg.Modules {
		known[m.Name] = true
	}
	for _, m := range cfg.Modules {
		if !known[m.Name] {
			return fmt.Errorf("module %s is new: that needs a restart", m.Name)
		}
	}
	g.rs.Reload(modules, cfg.Rsync.MOTD)
	g.mu.Lock()
	g.modules = cfg.Modules
	g.mu.Unlock()
	return nil
}

// Drain lets transfers end, for as long as ctx lasts, and takes no new ones.
func (g *Gateway) Drain(ctx context.Context) error { return g.rs.Drain(ctx) }

// Close ends everything. What is open is answered failed.
func (g *Gateway) Close() error {
	var errs []error
	if g.rs != nil {
		errs = append(errs, g.rs.Close())
	}
	if g.cancel != nil {
		g.cancel()
	}
	if g.adm != nil {
		g.adm.Close()
	}
	if g.running {
		g.host.Stop(nil)
		<-g.ended
	}
	g.wg.Wait()
	if g.back != nil {
		errs = append(errs, g.back.Close())
	}
	if g.cat != nil {
		errs = append(errs, g.cat.Close())
	}
	if g.rec != nil {
		errs = append(errs, g.rec.Close())
	}
	return errors.Join(errs...)
}
