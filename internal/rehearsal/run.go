package rehearsal

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/config"
	"eiderhold/internal/standin"
	"eiderhold/shares"
)

// Options holds the options of Run.
type Options struct {
	Dir     string   // for records and the gateways' folders with their logs; must be empty or not exist
	Command []string // command line that starts a gateway; "--config FILE" is appended
	Env     []string // environment of gateways in addition to this process's
	Log     *slog.Logger
	Seed    int64 // 0: the seed of the day
}

// Result is the result of a day.
type Result struct {
	Report       *audit.Report
	Dropped      int      // arrivals beyond a load's AtOnce
	ExitStatuses []string // exit status of each gateway's process
	Lasted       time.Duration
}

// runner runs one day.
type runner struct {
	day   *Day
	opt   Options
	log   *slog.Logger
	site  *standin.Site
	trace *audit.Writer
	ctx   context.Context

	gateways    []*process
	mu          sync.Mutex
	rng         *rand.Rand
	rateFactors map[string]float64 // load name -> factor of its rate; "": all loads
	leaveParts  map[string]float64 // load name -> part of its clients that leave early; "": all loads
	nextNode    int                // number of the next node

	foundShares *shares.SearchResult // nil: worth is counted without shares
	meter       *standin.Meter       // nil: nodes do not meter volumes

	dropped   atomic.Int64
	transfers atomic.Int64
	wg        sync.WaitGroup
}

// process is a gateway's process, with its settings.
type process struct {
	name string
	cfg  *config.Config
	file string

	mu         sync.Mutex
	cmd        *exec.Cmd
	addr       string
	exited     chan struct{}
	exitStatus string
	down       bool
}

// Run runs a day and audits it.
func Run(ctx context.Context, day *Day, opt Options) (*Result, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Seed == 0 {
		opt.Seed = day.Seed
	}
	if entries, err := os.ReadDir(opt.Dir); err == nil && len(entries) > 0 {
		return nil, fmt.Errorf("rehearsal: folder %s is not empty: expected an empty or a new one", opt.Dir)
	}
	records := filepath.Join(opt.Dir, "records")
	trace, err := audit.Create(records, "sockets")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{day: day, opt: opt, log: opt.Log, trace: trace, ctx: ctx, rng: rand.New(rand.NewSource(opt.Seed)),
		rateFactors: map[string]float64{}, leaveParts: map[string]float64{}}
	began := time.Now()
	if err = r.start(); err == nil {
		err = r.play()
	}
	exits, stopErr := r.stop()
	if cerr := trace.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, err
	}
	rules := r.rules()
	if err := rules.Save(records); err != nil {
		return nil, err
	}
	recs, err := audit.ReadDir(records)
	if err != nil {
		return nil, err
	}
	return &Result{Report: audit.Check(recs, rules), Dropped: int(r.dropped.Load()), ExitStatuses: exits,
		Lasted: time.Since(began)}, nil
}

// rules returns the audit rules that follow from the gateways' settings and the day's shares.
func (r *runner) rules() *audit.Rules {
	cfg := r.gateways[0].cfg
	s := &cfg.Safety
	rules := &audit.Rules{Volumes: map[string]string{}, MeanUnits: cfg.Worth.MeanUnits, DrainGrace: s.DrainGrace.D(),
		FallSpan: s.FallSpan.D(), ExtraFree: s.ExtraFree, ExtraShare: s.ExtraShare, ExtraSpan: s.ExtraSpan.D(),
		OrderRest: s.OrderRest.D(), AnswerSlack: 50 * time.Millisecond, Travel: 150 * time.Millisecond}
	for _, c := range cfg.Classes {
		rules.Classes = append(rules.Classes, audit.Class{Name: c.Name, Effect: c.Effect, Group: c.Group, Window: c.Window.D(),
			Aim: c.Aim.D(), Worth: c.Worth, LateWorth: c.LateWorth, InOrder: c.InOrder})
	}
	for _, p := range cfg.Plans {
		rules.Plans = append(rules.Plans, audit.Plan{Name: p.Name, Price: p.Price, LimitRate: p.LimitRate,
			LimitBurst: p.LimitBurst, LimitSlack: p.LimitSlack})
	}
	for _, m := range cfg.Modules {
		rules.Volumes[m.Name] = m.Plan
	}
	if r.foundShares != nil {
		rules.Shares, rules.SpareWorth = map[string]float64{}, cfg.Worth.SpareWorth
		for _, x := range r.foundShares.Parts {
			rules.Shares[x.Volume] += float64(x.Share) / 1000
		}
	}
	return rules
}

// solveShares computes the day's shares and has the register send them if the day says so.
func (r *runner) solveShares() error {
	s := &r.day.Shares
	if s.Problem == "" {
		return nil
	}
	p, err := s.problem()
	if err == nil {
		r.foundShares, err = shares.Search(p, shares.Options{Seed: uint64(r.opt.Seed), Steps: 5000})
	}
	if err != nil {
		return fmt.Errorf("rehearsal: shares: %w", err)
	}
	if s.Told == ToldNone {
		return nil
	}
	solution := shares.NewSolution(p, r.foundShares, 1, "rehearsal", time.Now(), time.Hour)
	if s.Told == ToldWrong {
		for i, v := range slices.Sorted(maps.Keys(solution.Shares)) {
			for n, share := range solution.Shares[v] {
				switch i % 6 {
				case 0:
					solution.Shares[v][n] = int64(float64(share) * s.WrongFactor)
				case 3:
					solution.Shares[v][n] = int64(float64(share) / s.WrongFactor)
				}
			}
		}
	}
	b, err := solution.Encode()
	if err != nil {
		return fmt.Errorf("rehearsal: shares: %w", err)
	}
	r.site.Register.SetShares(b)
	return nil
}

// start starts the site and the gateways, and pushes the files for pulls.
func (r *runner) start() (err error) {
	if r.site, err = standin.StartSite("", r.trace); err != nil {
		return err
	}
	s := &r.day.Site
	cfg, err := r.day.config("meter", r.site.Register.URL(), r.opt.Dir)
	if err != nil {
		return err
	}
	if span := cfg.Worth.MeterSpan.D(); span > 0 {
		nominal := map[string]float64{}
		for _, m := range cfg.Modules {
			for _, p := range cfg.Plans {
				if p.Name == m.Plan {
					nominal[m.Name] = p.Nominal
				}
			}
		}
		r.meter = standin.NewMeter(span, nominal)
	}
	for range s.Nodes {
		n, err := r.site.Add(r.nodeOptions(time.Time{}))
		if err != nil {
			return err
		}
		n.Disk().Limit(s.DiskBytes, 0)
	}
	if err := r.solveShares(); err != nil {
		return err
	}
	for i := range r.day.Gateways.Count {
		p, err := r.prepareGateway(fmt.Sprintf("gateway-%d", i+1))
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, p)
		if err := r.startGateway(p); err != nil {
			return err
		}
	}
	return r.pushFiles()
}

// nodeOptions returns the options of the next node. Its shard has the node's number.
func (r *runner) nodeOptions(started time.Time) standin.NodeOptions {
	s := &r.day.Site
	n := r.nextNode
	r.nextNode++
	zone := ""
	if s.Zones > 0 {
		zone = fmt.Sprintf("zone-%d", n%s.Zones)
	}
	return standin.NodeOptions{ID: fmt.Sprintf("node-%d", n), Zone: zone, Shard: n, Cores: s.Cores, UnitTime: s.UnitTime.D(), Queue: s.Queue,
		Started: started, ColdFor: s.ColdFor.D(), ColdCapacity: s.ColdCapacity, FallMultiple: s.FallMultiple,
		FallSpan: s.FallSpan.D(), ColdBears: s.ColdBears, DownFor: s.DownFor.D(), RecentItems: s.RecentItems,
		RecentPart: s.RecentPart, DeferredPart: s.DeferredPart, KeyWindow: 1200 * time.Millisecond, Seed: r.opt.Seed + int64(n), Meter: r.meter}
}

// prepareGateway writes a gateway's settings file.
func (r *runner) prepareGateway(name string) (*process, error) {
	dir, err := filepath.Abs(filepath.Join(r.opt.Dir, name))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, file: filepath.Join(dir, "gateway.toml")}
	if p.cfg, err = r.day.config(name, r.site.Register.URL(), dir); err != nil {
		return nil, err
	}
	p.cfg.Gateway.Seed = r.opt.Seed*100 + int64(len(r.gateways)) + 1
	text, err := p.cfg.Text()
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err == nil {
		err = os.WriteFile(p.file, text, 0o644)
	}
	return p, err
}

// startGateway starts a gateway's process and waits until it serves.
func (r *runner) startGateway(p *process) error {
	args := append(append([]string{}, r.opt.Command[1:]...), "--config", p.file)
	cmd := exec.Command(r.opt.Command[0], args...)
	cmd.Env = append(os.Environ(), r.opt.Env...)
	logFile, err := os.OpenFile(filepath.Join(filepath.Dir(p.file), "log.json"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd.Stderr = logFile
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	r.trace.Put(audit.Record{Kind: audit.Start, Gateway: p.name})
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("rehearsal: %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	line := make(chan string, 1)
	go func() {
		rd := bufio.NewReader(out)
		first, _ := rd.ReadString('\n')
		line <- first
		_, _ = io.Copy(io.Discard, rd)
		err := cmd.Wait()
		p.mu.Lock()
		p.exitStatus = "0"
		if err != nil {
			p.exitStatus = err.Error()
		}
		p.mu.Unlock()
		close(ended)
	}()
	select {
	case first := <-line:
		addr := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(first), "rsync://"), "/")
		if addr == "" {
			<-ended
			return fmt.Errorf("rehearsal: %s ended before it served: see %s", p.name, logFile.Name())
		}
		p.mu.Lock()
		p.cmd, p.addr, p.exited, p.down = cmd, addr, ended, false
		p.mu.Unlock()
		return nil
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		return fmt.Errorf("rehearsal: %s did not serve within 20s: see %s", p.name, logFile.Name())
	}
}

// signal sends a signal to a gateway's process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// address returns the gateway's address, and false while the process is down.
func (p *process) address() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, !p.down
}

// pushFiles pushes through each gateway the files that the day's pulls fetch.
func (r *runner) pushFiles() error {
	for _, p := range r.gateways {
		for li, l := range r.day.Loads {
			if l.Kind != "pull" {
				continue
			}
			files := []standin.ClientFile{{Path: ".", Dir: true, MTime: 1}, {Path: l.Name, Dir: true, MTime: 1}}
			for i := range l.Files {
				files = append(files, standin.ClientFile{Path: fmt.Sprintf("%s/%d", l.Name, i), MTime: 1,
					Data: randomBytes(r.opt.Seed+int64(li*100000+i), l.Bytes)})
			}
			for try := 0; ; try++ {
				c := &standin.Client{Addr: p.addr, Timeout: 30 * time.Second}
				rep, err := c.Push(r.ctx, l.Module, "", files)
				if err == nil && len(rep.Messages) == 0 {
					break
				}
				if try == 20 || r.ctx.Err() != nil {
					return fmt.Errorf("rehearsal: preparing files at %s: %v %q", p.name, err, rep.Messages)
				}
				time.Sleep(200 * time.Millisecond) // the gateway may not know its nodes yet
			}
		}
	}
	return nil
}

// randomBytes returns n pseudo-random bytes.
func randomBytes(seed int64, n int) []byte {
	p := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(p)
	return p
}

// play runs loads and troubles for the day's duration, and waits for the last clients.
func (r *runner) play() error {
	began := time.Now()
	day, cancel := context.WithTimeout(r.ctx, r.day.Lasts.D())
	defer cancel()
	var troubles sync.WaitGroup
	for _, t := range r.day.troublesByTime() {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			if r.sleep(day, time.Until(began.Add(t.At.D()))) {
				r.log.Info("trouble", "kind", t.Kind, "target", t.Target, "for", t.For.D())
				r.playTrouble(day, t)
			}
		}()
	}
	for i, l := range r.day.Loads {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.runLoad(day, l, rand.New(rand.NewSource(r.opt.Seed+int64(1000+i)))) }()
	}
	<-day.Done()
	troubles.Wait()
	r.wg.Wait() // clients end within their time-outs
	if err := r.ctx.Err(); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}

// sleep waits for a duration and reports false if ctx ended first.
func (r *runner) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// runLoad starts transfers with exponential inter-arrival times.
func (r *runner) runLoad(ctx context.Context, l Load, rng *rand.Rand) {
	slots := make(chan struct{}, l.AtOnce)
	for {
		r.mu.Lock()
		factor := r.rateFactors[l.Name]
		if factor == 0 {
			factor = max(1, r.rateFactors[""])
		}
		leavePart := max(r.leaveParts[l.Name], r.leaveParts[""])
		r.mu.Unlock()
		untilNext := time.Duration(-math.Log(1-rng.Float64()) / (l.Rate * factor) * float64(time.Second))
		if !r.sleep(ctx, untilNext) {
			return
		}
		p := r.gateways[rng.Intn(len(r.gateways))]
		fileIndex, leavesEarly := rng.Intn(max(1, l.Files)), rng.Float64() < leavePart
		n := r.transfers.Add(1)
		select {
		case slots <- struct{}{}:
		default:
			r.dropped.Add(1)
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer func() { <-slots }()
			r.runTransfer(p, l, fmt.Sprintf("%s-%d", l.Name, n), fileIndex, leavesEarly)
		}()
	}
}

// runTransfer does one client's transfer and records its start and end.
func (r *runner) runTransfer(p *process, l Load, id string, which int, early bool) {
	addr, up := p.address()
	if !up {
		return // the client cannot connect: no worth is due
	}
	cfg := p.cfg
	work := cfg.Work()
	class := work.WriteClass
	if l.Kind == "pull" {
		class = work.Read(int64(l.Bytes))
	}
	extents := (l.Bytes + cfg.Rsync.ExtentBytes - 1) / cfg.Rsync.ExtentBytes
	aim := time.Duration(0)
	for _, c := range cfg.Classes {
		if c.Name == class {
			aim = c.Aim.D() * time.Duration((extents+3)/4) // 4 extents are transferred at a time
		}
	}
	plan := ""
	for _, m := range cfg.Modules {
		if m.Name == l.Module {
			plan = m.Plan
		}
	}
	units := float64(extents) * work.Units(min(l.Bytes, cfg.Rsync.ExtentBytes))
	c := &standin.Client{Addr: addr, Timeout: l.Timeout.D()}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	if early {
		time.AfterFunc(aim/2, cancel)
	}
	r.trace.Put(audit.Record{Kind: audit.TransferStart, ID: id, Gateway: p.name, Class: class, Plan: plan, Volume: l.Module, Units: units,
		Limit: int64(l.Timeout.D()), Aim: int64(aim)})
	began := time.Now()
	var rep *standin.Report
	var err error
	if l.Kind == "pull" {
		rep, err = c.Pull(ctx, l.Module, fmt.Sprintf("%s/%d", l.Name, which), nil)
	} else {
		rep, err = c.Push(ctx, l.Module, id, []standin.ClientFile{{Path: id, MTime: 1, Data: randomBytes(r.opt.Seed, l.Bytes)}})
	}
	end := audit.Record{Kind: audit.TransferEnd, ID: id, Gateway: p.name, Took: int64(time.Since(began)), Text: strings.Join(rep.Messages, "; ")}
	switch {
	case early && ctx.Err() != nil:
		end.Result = "left"
	case errors.Is(err, os.ErrDeadlineExceeded):
		end.Result, end.Text = "silent", err.Error()
	case err != nil && errors.As(err, new(*standin.DaemonError)):
		end.Result, end.Text = "refused", err.Error()
	case err != nil:
		end.Result, end.Text = "failed", err.Error()
	case strings.Contains(end.Text, "refused"):
		end.Result = "refused"
	case len(rep.Messages) > 0:
		end.Result = "failed"
	default:
		end.Result = "served"
	}
	r.trace.Put(end)
}

// stop stops the gateways and the site. It returns the exit statuses of the gateways' processes.
func (r *runner) stop() (exits []string, err error) {
	for _, p := range r.gateways {
		if p.cmd == nil {
			continue
		}
		if _, up := p.address(); up {
			r.trace.Put(audit.Record{Kind: audit.Kill, Gateway: p.name})
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGTERM)
		}
	}
	for _, p := range r.gateways {
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.exited:
		case <-time.After(30 * time.Second):
			p.signal(syscall.SIGKILL)
			<-p.exited
			err = errors.Join(err, fmt.Errorf("rehearsal: %s did not end within 30s of SIGTERM", p.name))
		}
		exits = append(exits, p.exitStatus)
		if p.exitStatus != "0" {
			err = errors.Join(err, fmt.Errorf("rehearsal: %s ended with %s: see its log.json", p.name, p.exitStatus))
		}
	}
	if r.site != nil {
		r.site.Close()
	}
	return exits, err
}
