// Package rehearsal runs a scripted day: stand-in nodes and a stand-in register in this process, each gateway as
// a process of its own, scripted rsync clients and troubles (faults), and afterwards an audit of the recorded
// traffic. The command eiderhold rehearse uses it.
package rehearsal

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"eiderhold/internal/config"
	"eiderhold/shares"
)

// Day is the script of a rehearsal, a TOML file.
type Day struct {
	Name     string          `toml:"name" comment:"Name in the report."`
	Seed     int64           `toml:"seed" comment:"Seed of all random choices: arrivals, contents, work, faults."`
	Lasts    config.Duration `toml:"lasts" comment:"Duration of the load, without set-up and shutdown."`
	Site     Site            `toml:"site" comment:"The storage nodes; each holds its own shard."`
	Gateways Gateways        `toml:"gateways" comment:"The gateways, each its own process with its own catalogue."`
	Loads    []Load          `toml:"load" comment:"Clients: open loops with exponential inter-arrival times, spread over the gateways."`
	Shares   Shares          `toml:"shares" comment:"Shares of volumes by which worth is counted, and whether gateways get them from the register."`
	Troubles []Trouble       `toml:"trouble" comment:"Faults and load changes, with their times."`
}

// Site describes the storage nodes.
type Site struct {
	Nodes        int             `toml:"nodes" comment:"Number of nodes, each with a shard."`
	Zones        int             `toml:"zones" comment:"Number of zones, to which nodes are assigned in turn: zone-0, zone-1, ...; 0: nodes have no zone."`
	DiskBytes    int64           `toml:"disk_bytes" comment:"Capacity of a shard in bytes; 0: unlimited, and nodes report no capacity."`
	Cores        int             `toml:"cores" comment:"Requests that a node serves at the same time."`
	UnitTime     config.Duration `toml:"unit_time" comment:"Time that one unit takes on one core."`
	Queue        int             `toml:"queue" comment:"Requests that may wait at a node; it refuses further ones as busy."`
	ColdFor      config.Duration `toml:"cold_for" comment:"Time after its start until a node is warm."`
	ColdCapacity float64         `toml:"cold_capacity" comment:"Fraction of its full speed that a node has at its start."`
	FallMultiple float64         `toml:"fall_multiple" comment:"A cold node goes down if it receives more than this multiple of its present capacity ..."`
	FallSpan     config.Duration `toml:"fall_span" comment:"... over this time ..."`
	ColdBears    float64         `toml:"cold_bears" comment:"... and more than this many units over the same time ..."`
	DownFor      config.Duration `toml:"down_for" comment:"... and accepts no connection for this time."`
	RecentItems  int             `toml:"recent_items" comment:"Number of most recently read items that cost less to read."`
	RecentPart   float64         `toml:"recent_part" comment:"Fraction of the usual work that reading one of them takes."`
	DeferredPart float64         `toml:"put_off" comment:"Fraction of a write's work that is done after its answer."`
}

// Gateways describes the gateway processes.
type Gateways struct {
	Count    int    `toml:"count" comment:"Number of processes."`
	Settings string `toml:"settings" comment:"TOML that is merged over the default settings (see eiderhold config default)."`
}

// Shares says how worth is counted for volumes with shares, and which shares the register sends to gateways.
type Shares struct {
	Problem     string  `toml:"problem" comment:"A problem as eiderhold shares solve reads it; its nodes are node-0, node-1, ..., its volumes the modules. Empty: worth is counted without shares."`
	Told        string  `toml:"told" comment:"none; right: the register sends the solution; wrong: it sends the solution with wrong shares for a third of the volumes."`
	WrongFactor float64 `toml:"off" comment:"With wrong: the factor by which they are too large and too small in turn."`
}

// The values of Shares.Told.
const (
	ToldNone  = "none"
	ToldRight = "right"
	ToldWrong = "wrong"
)

// Load describes one kind of client and its rate of transfers.
type Load struct {
	Name    string          `toml:"name" comment:"Name, to which the target of a trouble refers."`
	Kind    string          `toml:"kind" comment:"pull: a transfer gets one of the prepared files; push: it sends one new file."`
	Module  string          `toml:"module" comment:"A module of the gateways' settings."`
	Rate    float64         `toml:"rate" comment:"Transfers a second through all gateways."`
	Bytes   int             `toml:"bytes" comment:"Size of a file."`
	Files   int             `toml:"files" comment:"Number of files prepared at each gateway, for pulls."`
	Timeout config.Duration `toml:"timeout" comment:"The client's --timeout, in whole seconds."`
	AtOnce  int             `toml:"at_once" comment:"Maximum of concurrent transfers of this load; further arrivals are dropped and counted."`
}

// Trouble is one fault or change of load during the day.
type Trouble struct {
	Kind   string          `toml:"kind" comment:"One of: burst, deploy, hang, vanish, slow, heavy_tail, neighbour, pauses, fast_errors, discovery_down, discovery_stale, reconnect, balancer_stall, answer_lost, give_up, kill, rack, disk_full, small_disk."`
	At     config.Duration `toml:"at" comment:"Time since the start of the load."`
	For    config.Duration `toml:"for" comment:"Duration; 0s: once, or to the end of the day. Nodes that vanish, alone or with their rack, start again cold after it."`
	Target string          `toml:"target" comment:"A node as node-3, a zone (rack) as zone-0, a gateway as gateway-2, or a load's name; empty: all."`
	Amount float64         `toml:"amount" comment:"burst, slow: factor; heavy_tail, neighbour, fast_errors, answer_lost, give_up: part; pauses: pauses a second; discovery_stale: delay in seconds; deploy: seconds between nodes; small_disk: part of its capacity that a shard keeps."`
	Times  float64         `toml:"times" comment:"heavy_tail: factor of the work; pauses: milliseconds of each pause."`
}

// Kinds lists the kinds of trouble.
var Kinds = []string{"burst", "deploy", "hang", "vanish", "slow", "heavy_tail", "neighbour", "pauses", "fast_errors",
	"discovery_down", "discovery_stale", "reconnect", "balancer_stall", "answer_lost", "give_up", "kill", "rack", "disk_full", "small_disk"}

// LoadDay reads and checks the script in a file.
func LoadDay(file string) (*Day, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return ParseDay(text, file)
}

// ParseDay parses and checks a script. Errors begin with name.
func ParseDay(text []byte, name string) (*Day, error) {
	d := &Day{}
	if err := config.Strict(text, name, d); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return d, nil
}

// Check returns an error that names each invalid value of the script. It sets the defaults of Shares.
func (d *Day) Check() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(d.Lasts > 0 && d.Lasts.D() <= time.Hour, "lasts = %v: expected more than 0s and at most 1h", d.Lasts.D())
	s := &d.Site
	require(s.Nodes >= 1 && s.Nodes <= 1000, "site.nodes = %d: expected 1 to 1000", s.Nodes)
	require(s.Zones >= 0 && s.Zones <= s.Nodes, "site.zones = %d: expected 0 to %d", s.Zones, s.Nodes)
	require(s.DiskBytes >= 0, "site.disk_bytes = %d: expected no negative value", s.DiskBytes)
	require(s.Cores >= 1 && s.Queue >= 1, "site: expected cores and queue of at least 1")
	require(s.UnitTime >= 0 && s.DeferredPart >= 0 && s.DeferredPart < 1, "site: expected a unit_time that is not negative, and put_off from 0 to less than 1")
	require(s.ColdFor == 0 || s.ColdCapacity > 0 && s.ColdCapacity <= 1, "site.cold_capacity = %v: expected more than 0 and at most 1", s.ColdCapacity)
	require(d.Gateways.Count >= 1 && d.Gateways.Count <= 50, "gateways.count = %d: expected 1 to 50", d.Gateways.Count)
	cfg, err := d.config("check", "http://127.0.0.1:1/nodes", "dir")
	if err != nil {
		errs = append(errs, fmt.Errorf("gateways.settings: %w", err))
		cfg = config.Default()
	}
	errs = append(errs, d.Shares.check(d.Site.Nodes, cfg)...)
	require(len(d.Loads) > 0, "no [[load]]: expected at least one")
	names := map[string]bool{}
	for i, l := range d.Loads {
		at := fmt.Sprintf("load[%d] %q", i, l.Name)
		require(l.Name != "" && !names[l.Name], "%s: name: expected a unique, non-empty name", at)
		names[l.Name] = true
		require(l.Kind == "pull" || l.Kind == "push", "%s: kind = %q: expected pull or push", at, l.Kind)
		require(l.Kind != "pull" || l.Files >= 1, "%s: files = %d: expected at least 1 for a pull", at, l.Files)
		require(l.Rate > 0 && l.Rate <= 10000 && l.Bytes >= 1 && l.AtOnce >= 1, "%s: expected a rate of more than 0 and at most 10000, and bytes and at_once of at least 1", at)
		require(l.Timeout >= config.Duration(time.Second), "%s: timeout = %v: expected at least 1s", at, l.Timeout.D())
		require(slices.ContainsFunc(cfg.Modules, func(m config.Module) bool { return m.Name == l.Module }),
			"%s: module %q: the gateways have none of this name", at, l.Module)
	}
	for i, t := range d.Troubles {
		errs = append(errs, d.checkTrouble(fmt.Sprintf("trouble[%d]", i), t, names)...)
	}
	return errors.Join(errs...)
}

// checkTrouble returns an error for each invalid value of a trouble. Each begins with at.
func (d *Day) checkTrouble(at string, t Trouble, loads map[string]bool) (errs []error) {
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(at+": "+format, args...))
		}
	}
	if !slices.Contains(Kinds, t.Kind) {
		return []error{fmt.Errorf("%s: kind = %q: expected one of %s", at, t.Kind, strings.Join(Kinds, ", "))}
	}
	require(t.At >= 0 && t.At < d.Lasts, "at = %v: expected a time within the %v that the day lasts", t.At.D(), d.Lasts.D())
	require(t.For >= 0, "for = %v: expected no negative value", t.For.D())
	for _, f := range []struct {
		name   string
		set    bool
		usedBy string // kinds of trouble
	}{
		{"for", t.For != 0, "burst hang vanish slow heavy_tail neighbour pauses fast_errors discovery_down discovery_stale balancer_stall answer_lost give_up kill rack disk_full small_disk"},
		{"target", t.Target != "", "burst hang vanish slow heavy_tail neighbour pauses fast_errors reconnect balancer_stall answer_lost give_up kill rack disk_full small_disk"},
		{"amount", t.Amount != 0, "burst deploy slow heavy_tail neighbour pauses fast_errors discovery_stale answer_lost give_up small_disk"},
		{"times", t.Times != 0, "heavy_tail pauses"},
	} {
		require(!f.set || slices.Contains(strings.Fields(f.usedBy), t.Kind), "%s: a %s does not use it: leave it out", f.name, t.Kind)
	}
	number := -1
	switch t.Kind {
	case "burst", "give_up":
		require(t.Target == "" || loads[t.Target], "target = %q: expected a load's name or nothing", t.Target)
	case "balancer_stall", "kill":
		_, err := fmt.Sscanf(t.Target, "gateway-%d", &number)
		require(err == nil && number >= 1 && number <= d.Gateways.Count, "target = %q: expected gateway-1 to gateway-%d", t.Target, d.Gateways.Count)
		require(t.For > 0, "for = %v: expected more than 0s, the time for which it is stopped or down", t.For.D())
	case "rack":
		_, err := fmt.Sscanf(t.Target, "zone-%d", &number)
		require(err == nil && number >= 0 && number < d.Site.Zones, "target = %q: expected one of the %d zones of site.zones, like zone-0", t.Target, d.Site.Zones)
	case "discovery_down", "discovery_stale", "deploy":
		require(t.Target == "", "target = %q: expected nothing, as it always affects all", t.Target)
	default:
		_, err := fmt.Sscanf(t.Target, "node-%d", &number)
		require(t.Target == "" || err == nil && number >= 0 && number < d.Site.Nodes, "target = %q: expected node-0 to node-%d, or nothing for all",
			t.Target, d.Site.Nodes-1)
	}
	switch t.Kind {
	case "burst", "slow":
		require(t.Amount > 0, "amount = %v: expected a factor of more than 0", t.Amount)
	case "small_disk", "disk_full":
		require(t.Kind == "disk_full" || t.Amount > 0 && t.Amount < 1, "amount = %v: expected a part of more than 0 and less than 1", t.Amount)
		require(d.Site.DiskBytes > 0, "site.disk_bytes = 0: a disk of unlimited capacity is never full")
	case "heavy_tail", "neighbour", "fast_errors", "answer_lost", "give_up":
		require(t.Amount > 0 && t.Amount <= 1, "amount = %v: expected a part of more than 0 and at most 1", t.Amount)
		require(t.Kind != "heavy_tail" || t.Times > 1, "times = %v: expected more than 1", t.Times)
	case "pauses":
		require(t.Amount > 0 && t.Times > 0, "amount = %v, times = %v: expected more than 0 pauses a second of more than 0 milliseconds each", t.Amount, t.Times)
	case "discovery_stale":
		require(t.For > 0 && t.Amount > 0, "amount = %v: expected a delay of more than 0 seconds, and a 'for' of more than 0s", t.Amount)
	}
	return errs
}

// check returns an error for each invalid value, and sets the default of Told.
func (s *Shares) check(nodes int, cfg *config.Config) (errs []error) {
	if s.Told == "" {
		s.Told = ToldNone
	}
	if !slices.Contains([]string{ToldNone, ToldRight, ToldWrong}, s.Told) {
		errs = append(errs, fmt.Errorf("shares.told = %q: expected none, right or wrong", s.Told))
	}
	if s.Told == ToldWrong && s.WrongFactor <= 1 {
		errs = append(errs, fmt.Errorf("shares.off = %v: expected more than 1", s.WrongFactor))
	}
	if s.Problem == "" {
		if s.Told != ToldNone {
			errs = append(errs, fmt.Errorf("shares.told = %q: expected a shares.problem with it", s.Told))
		}
		return errs
	}
	p, err := s.problem()
	if err != nil {
		return append(errs, fmt.Errorf("shares.problem: %w", err))
	}
	for _, n := range p.Nodes {
		number := -1
		if _, err := fmt.Sscanf(n.ID, "node-%d", &number); err != nil || number < 0 || number >= nodes {
			errs = append(errs, fmt.Errorf("shares.problem: node %q: expected node-0 to node-%d", n.ID, nodes-1))
		}
	}
	for _, v := range p.Volumes {
		if !slices.ContainsFunc(cfg.Modules, func(m config.Module) bool { return m.Name == v.ID }) {
			errs = append(errs, fmt.Errorf("shares.problem: volume %q: the gateways have no module of this name", v.ID))
		}
	}
	return errs
}

// problem parses and checks the problem.
func (s *Shares) problem() (*shares.Problem, error) {
	p := &shares.Problem{}
	if err := config.Strict([]byte(s.Problem), "problem", p); err != nil {
		return nil, err
	}
	return p, p.Check()
}

// config returns the settings of one gateway.
func (d *Day) config(name, register, dir string) (*config.Config, error) {
	c, err := config.Parse([]byte(d.Gateways.Settings), "settings")
	if err != nil {
		return nil, err
	}
	c.Gateway.Name, c.Gateway.Dir, c.Gateway.Hosts = name, dir, d.Gateways.Count
	c.Register.URL = register
	c.Rsync.Listen = "127.0.0.1:0"
	return c, c.Check()
}

// troublesByTime returns the troubles in order of their times.
func (d *Day) troublesByTime() []Trouble {
	list := slices.Clone(d.Troubles)
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}
