// Package config is the gateway's settings as TOML: read strictly, checked whole
// before any is used, and documented by themselves (eiderhold config default).
package config

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"eiderhold/control"
	"eiderhold/forecast"
	"eiderhold/internal/backend"
	"eiderhold/internal/extent"
	"eiderhold/internal/nodewire"
	"eiderhold/mover"
	"eiderhold/pacing"
	"eiderhold/placement"
)

// Duration is a time as text: "250ms", "10s".
type Duration time.Duration

// D is the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes "250ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration: write it like 250ms or 10s", b)
	}
	*d = Duration(v)
	return nil
}

// Config is a whole file.
type Config struct {
	Gateway  Gateway  `toml:"gateway" comment:"This host."`
	Register Register `toml:"register" comment:"The node list: Server-Sent Events, cached in the gateway's folder."`
	Nodes    Nodes    `toml:"nodes" comment:"Connections to storage nodes."`
	Safety   Safety   `toml:"safety" comment:"The rules' figures, as the storage side states them."`
	Worth    Worth    `toml:"worth" comment:"How units and worth are counted."`
	Rsync    Rsync    `toml:"rsync" comment:"The rsync front."`
	Pacing   Pacing   `toml:"pacing" comment:"How a transfer asks for its extents."`
	Place    Place    `toml:"placement" comment:"Which shards take new extents."`
	Moves    Moves    `toml:"moves" comment:"How data is moved between shards (eiderhold space rebalance)."`
	Shares   Shares   `toml:"shares" comment:"Shares worked out ahead (eiderhold shares), from the register's stream or a file."`
	Forecast Forecast `toml:"forecast" comment:"What volumes asked for, for eiderhold shares gather; kept in the gateway's folder."`
	Recorder Recorder `toml:"recorder" comment:"Every batch and its actions, for eiderhold replay."`
	Classes  []Class  `toml:"class" comment:"The classes of request."`
	Plans    []Plan   `toml:"plan" comment:"What the volumes of a plan are owed, over all gateways."`
	Modules  []Module `toml:"module" comment:"The rsync modules: each is a volume with a plan."`
}

// Gateway is this host.
type Gateway struct {
	Name     string   `toml:"name" comment:"Unique among the gateways: item names begin with it. Letters, digits, - and _."`
	Zone     string   `toml:"zone" comment:"Where this host is; empty if the site has no zones."`
	Dir      string   `toml:"dir" comment:"Folder of the catalogue, the cached node list and the recorder. It must last."`
	Seed     int64    `toml:"seed" comment:"Of the controller's random numbers; 0: a fresh one at each start."`
	Hosts    int      `toml:"hosts" comment:"Gateways in the fleet, this one included."`
	Open     int      `toml:"open_requests" comment:"Requests open at once; more are refused at once."`
	Drain    Duration `toml:"drain" comment:"Transfers may take so long to end after SIGTERM."`
	LogLevel string   `toml:"log_level" comment:"debug, info, warn or error. Re-read at SIGHUP."`
}

// Register is where the node list comes from.
type Register struct {
	URL     string   `toml:"url" comment:"Of the event stream, http://HOST:PORT/nodes."`
	Silence Duration `toml:"silence" comment:"A stream from which nothing comes for so long is dropped and asked again."`
	Settle  Duration `toml:"settle" comment:"A list that lost half its nodes binds at once, but is cached only after so long."`
}

// Nodes bounds the backend.
type Nodes struct {
	Conns     int      `toml:"connections" comment:"To one node, at most."`
	Streams   int      `toml:"streams" comment:"Attempts on a connection before another one is opened."`
	Waiting   int      `toml:"waiting" comment:"Attempts that wait for a connection to one node; more are not sent."`
	Dial      Duration `toml:"dial_timeout" comment:"For a connection and its hello."`
	IdleClose Duration `toml:"idle_close" comment:"A connection without attempts is closed after it."`
	Cancel    bool     `toml:"cancel" comment:"Tell nodes of attempts whose answer is no longer wanted."`
	Loops     int      `toml:"loops" comment:"Event loops for nodes."`
}

// Safety are the rules' figures.
type Safety struct {
	MaxAttempts   int      `toml:"max_attempts" comment:"Attempts at one request, at most."`
	MaxRetryAfter Duration `toml:"max_retry_after" comment:"Longest retry-after that clients heed; 0s: no bound."`
	SecondCopies  bool     `toml:"second_copies" comment:"Two attempts at one request may be out at a time."`
	DrainGrace    Duration `toml:"drain_grace" comment:"How long after news of it a draining node may be sent to."`
	ColdFor       Duration `toml:"cold_for" comment:"A node is warm this long after its start, at most; 0s: no such rule."`
	ColdCapacity  float64  `toml:"cold_capacity" comment:"Part of its capacity that a node has at its start."`
	FallMultiple  float64  `toml:"fall_multiple" comment:"A cold node sent more than so many times its capacity falls over ..."`
	FallSpan      Duration `toml:"fall_span" comment:"... if it lasts so long."`
	ColdBears     float64  `toml:"cold_bears" comment:"Units within that span that it bears in any case."`
	ExtraFree     float64  `toml:"extra_free" comment:"Further attempts that are free, ..."`
	ExtraShare    float64  `toml:"extra_share" comment:"... and further ones for each request taken, ..."`
	ExtraSpan     Duration `toml:"extra_span" comment:"... counted over so long; 0s: no such rule."`
	OrderRest     Duration `toml:"order_rest" comment:"Rest of a key after an attempt that may still run."`
}

// Worth is how work is counted.
type Worth struct {
	UnitBytes  int      `toml:"unit_bytes" comment:"Bytes that count as one unit; a request has at least one."`
	MeanUnits  float64  `toml:"mean_units" comment:"Units of a mean request."`
	MostUnits  float64  `toml:"most_units" comment:"Units of the largest request."`
	ShareWorth float64  `toml:"share_worth" comment:"Part of the worth beyond the reserve and within the share."`
	SpareWorth float64  `toml:"spare_worth" comment:"Part of the worth beyond both. Both 0: all units are worth the same."`
	MeterSpan  Duration `toml:"meter_span" comment:"Period of the volume use that nodes report; 0s: none."`
	Shards     int      `toml:"shards" comment:"Shards of the site; 0: not told."`
	Read       string   `toml:"read_class" comment:"Class of a read."`
	Bulk       string   `toml:"bulk_class" comment:"Class of a read that is part of a larger transfer."`
	BulkAbove  int64    `toml:"bulk_above" comment:"Bytes of a file above which it is one."`
	Write      string   `toml:"write_class" comment:"Class of a write; it must be keyed."`
	Collect    string   `toml:"collect_class" comment:"Class of the removal of what nothing refers to."`
}

// Rsync is the front.
type Rsync struct {
	Listen    string   `toml:"listen" comment:"host:port; port 0 takes a free one."`
	Loops     int      `toml:"loops" comment:"Event loops for clients."`
	MOTD      string   `toml:"motd" comment:"Greets every client. Re-read at SIGHUP, with the modules."`
	Extent    int      `toml:"extent_bytes" comment:"Files are cut into extents of this size."`
	Conns     int      `toml:"connections" comment:"Clients at a time; more are turned away as rsync does."`
	Files     int      `toml:"files" comment:"Entries of file lists held over all transfers, about half a KiB each; at it a transfer ends with a word."`
	Budget    int64    `toml:"buffer_bytes" comment:"Bytes of extents held over all transfers; at it, transfers wait."`
	Handshake Duration `toml:"handshake" comment:"A client that has not begun its transfer by then is sent away."`
	Stall     Duration `toml:"stall" comment:"A connection on which nothing moves for so long is closed. A client that reads a large file of its own may be silent for long."`
}

// Pacing is pacing.Settings.
type Pacing struct {
	Tries       int      `toml:"tries" comment:"Times an extent is asked for in all, 1 to 4."`
	Patience    Duration `toml:"patience" comment:"Time of an extent over all its tries, if the client names no timeout."`
	TimeoutPart float64  `toml:"timeout_part" comment:"Part of the client's own timeout that an extent may take."`
	Least       Duration `toml:"least" comment:"A try that would have less time is not made."`
	WindowStart int      `toml:"window_start" comment:"Extents asked for at a time, at first ..."`
	WindowTop   int      `toml:"window_top" comment:"... and at most."`
	ShardPause  Duration `toml:"shard_pause" comment:"After an extent of a shard was given up, others there get one try for so long."`
	LeaveOut    int      `toml:"leave_out" comment:"Files left out in a row, after which a transfer ends."`
}

// Recorder is the record of batches.
type Recorder struct {
	On       bool  `toml:"on" comment:"Off, it costs nothing."`
	FileSize int64 `toml:"file_bytes" comment:"A file is closed at this size and the next one begun."`
	Files    int   `toml:"files" comment:"Files kept; the oldest goes."`
}

// Place is placement.Settings.
type Place struct {
	Choice int      `toml:"choice" comment:"Shards among which a new extent's is chosen, 1 to 8; 0: among all, by what this host knows of them."`
	Width  int      `toml:"width" comment:"Shards over which a large file is spread."`
	Whole  int64    `toml:"whole_up_to" comment:"Bytes of a file up to which its extents are to lie together."`
	High   float64  `toml:"high" comment:"Part of its bytes at which a shard takes no new extents any more ..."`
	Low    float64  `toml:"low" comment:"... and below which it takes some again."`
	Hold   Duration `toml:"hold" comment:"A shard that had no room for an extent is left alone for so long, whatever it reports."`
}

// Moves is mover.Settings: how data is moved between shards.
type Moves struct {
	AtOnce int   `toml:"at_once" comment:"Moves that a shard gives or takes at a time."`
	Copies int   `toml:"copies" comment:"Extents of one move that are on their way at a time."`
	Rate   int64 `toml:"rate" comment:"Bytes a second that a shard gives or takes."`
	Tries  int   `toml:"tries" comment:"Failures on end of one extent after which its move is undone."`
}

// MoveSettings are those of package mover. What a move leaves at its source is collected once nobody reads it, so
// no grace is waited for.
func (c *Config) MoveSettings() mover.Settings {
	s := mover.Default
	s.PerShard, s.Copies, s.Rate, s.Tries, s.Grace = c.Moves.AtOnce, c.Moves.Copies, c.Moves.Rate, c.Moves.Tries, 0
	for _, class := range c.Classes {
		if class.Name == c.Worth.Collect {
			s.Late = class.Deadline.D()
		}
	}
	return s
}

// Shares is where solutions come from.
type Shares struct {
	File   string   `toml:"file" comment:"Solution file to follow, besides the register's stream; empty: none."`
	Poll   Duration `toml:"poll" comment:"How often the file is looked at."`
	Keep   int      `toml:"keep" comment:"Solutions kept in the gateway's folder, the one in use included."`
	Inputs string   `toml:"inputs" comment:"Digest of the only problem whose solutions are taken (eiderhold shares check shows it); empty: any."`
}

// Forecast is the record of demand.
type Forecast struct {
	Slot    Duration `toml:"slot" comment:"Demand is averaged over it. All gateways must be set alike."`
	Days    int      `toml:"days" comment:"Kept, the present one included."`
	Volumes int      `toml:"volumes" comment:"Kept; at it those that asked for least go. About 5 KB each."`
	Write   Duration `toml:"write" comment:"How often the record is written to forecast.dat; 0s: nothing is recorded."`
}

// Class is a class of request.
type Class struct {
	Name      string   `toml:"name" comment:"As nodes and clients know it."`
	Effect    string   `toml:"effect" comment:"safe: may be repeated; keyed: carries a key, repeats are dropped; unsafe."`
	Group     string   `toml:"group" comment:"Of a keyed class: the nodes that drop repeats: all, zone or cell (one shard's)."`
	Window    Duration `toml:"window" comment:"Of a keyed class: how long they drop them."`
	Aim       Duration `toml:"aim" comment:"An answer within it earns the full worth."`
	Deadline  Duration `toml:"deadline" comment:"The longest a request may take."`
	Worth     float64  `toml:"worth" comment:"Of one request answered within the aim."`
	LateWorth float64  `toml:"late_worth" comment:"Part of it that is left after the aim."`
	InOrder   bool     `toml:"in_order" comment:"Requests with one item run one at a time."`
	Writes    bool     `toml:"writes" comment:"The class writes."`
}

// Plan is what volumes are owed.
type Plan struct {
	Name       string  `toml:"name" comment:"As modules name it."`
	Nominal    float64 `toml:"nominal" comment:"Units a second that a volume is sized for."`
	Price      float64 `toml:"price" comment:"Factor on the worth; 0 counts as 1."`
	Reserve    float64 `toml:"reserve" comment:"Units a second that earn their full worth."`
	Weight     float64 `toml:"weight" comment:"Weight in the share of what is left."`
	LimitRate  float64 `toml:"limit_rate" comment:"Units a second that a volume may take; 0: no limit."`
	LimitBurst float64 `toml:"limit_burst" comment:"Most units that its store holds."`
	LimitSlack float64 `toml:"limit_slack" comment:"How far the store may go below 0."`
}

// Module is an rsync module.
type Module struct {
	Name      string   `toml:"name" comment:"As clients name it; also the volume's name."`
	Comment   string   `toml:"comment" comment:"Shown in the listing."`
	Plan      string   `toml:"plan" comment:"Of the volume."`
	ReadOnly  bool     `toml:"read_only" comment:"Nothing can be pushed."`
	WriteOnly bool     `toml:"write_only" comment:"Nothing can be pulled."`
	Hidden    bool     `toml:"hidden" comment:"Not in the listing."`
	Users     []string `toml:"users" comment:"Who may enter; empty: everyone, unasked."`
	Secrets   string   `toml:"secrets_file" comment:"Lines of user:password; refused if others may read it."`
	Conns     int      `toml:"connections" comment:"Clients at a time; 0: no ceiling of its own."`
	Quota     int64    `toml:"quota_bytes" comment:"Most bytes of its files, as this gateway's catalogue has them; 0: no bound."`
	Share     float64  `toml:"share" comment:"Units a second told in advance as the volume's share here; 0: none told."`
}

// Default is a whole, valid file for one machine.
func Default() *Config {
	p := pacing.Default
	return &Config{
		Gateway: Gateway{Name: "gateway-1", Dir: "eiderhold-data", Hosts: 1, Open: 100_000,
			Drain: Duration(20 * time.Second), LogLevel: "info"},
		Register: Register{URL: "http://127.0.0.1:8740/nodes", Silence: Duration(5 * time.Second), Settle: Duration(30 * time.Second)},
		Nodes: Nodes{Conns: 4, Streams: 32, Waiting: 256, Dial: Duration(250 * time.Millisecond),
			IdleClose: Duration(30 * time.Second), Cancel: true, Loops: 1},
		Safety: Safety{MaxAttempts: 4, MaxRetryAfter: Duration(2 * time.Second), SecondCopies: true,
			DrainGrace: Duration(2 * time.Second), ColdFor: Duration(18 * time.Second), ColdCapacity: 0.2,
			FallMultiple: 4, FallSpan: Duration(2 * time.Second), ColdBears: 40,
			ExtraFree: 10, ExtraShare: 0.2, ExtraSpan: Duration(10 * time.Second)},
		Worth: Worth{UnitBytes: 64 << 10, MeanUnits: 2, MostUnits: 6, Read: "record-read", Bulk: "bulk-export",
			BulkAbove: 8 << 20, Write: "record-write", Collect: "collect"},
		Rsync: Rsync{Listen: "127.0.0.1:8730", Loops: 2, MOTD: "", Extent: 256 << 10, Conns: 4000, Files: 1_000_000,
			Budget: 512 << 20, Handshake: Duration(20 * time.Second), Stall: Duration(5 * time.Minute)},
		Pacing: Pacing{Tries: p.MaxTries, Patience: Duration(p.ExtentTimeout), TimeoutPart: p.TimeoutFraction, Least: Duration(p.MinTryTime),
			WindowStart: p.InitialWindow, WindowTop: p.MaxWindow, ShardPause: Duration(p.ShardPause), LeaveOut: p.MaxFilesLeftOut},
		Place: Place{Choice: placement.Default.Choice, Width: placement.Default.Width, Whole: placement.Default.MaxWholeFileBytes,
			High: placement.DefaultMarks.High, Low: placement.DefaultMarks.Low, Hold: Duration(placement.DefaultMarks.Hold)},
		Moves:  Moves{AtOnce: mover.Default.PerShard, Copies: mover.Default.Copies, Rate: mover.Default.Rate, Tries: mover.Default.Tries},
		Shares: Shares{Poll: Duration(2 * time.Second), Keep: 5},
		Forecast: Forecast{Slot: Duration(forecast.Default.Slot), Days: forecast.Default.Days, Volumes: forecast.Default.MaxVolumes,
			Write: Duration(5 * time.Minute)},
		Recorder: Recorder{FileSize: 64 << 20, Files: 4},
		Classes: []Class{
			{Name: "record-read", Effect: "safe", Aim: Duration(120 * time.Millisecond), Deadline: Duration(time.Second), Worth: 2, LateWorth: 0.1},
			{Name: "record-write", Effect: "keyed", Group: "cell", Window: Duration(1200 * time.Millisecond),
				Aim: Duration(200 * time.Millisecond), Deadline: Duration(1200 * time.Millisecond), Worth: 2, LateWorth: 0.15, Writes: true},
			{Name: "bulk-export", Effect: "safe", Aim: Duration(600 * time.Millisecond), Deadline: Duration(2 * time.Second), Worth: 1, LateWorth: 0.25},
			{Name: "collect", Effect: "safe", Aim: Duration(2 * time.Second), Deadline: Duration(4 * time.Second), Worth: 0.05, LateWorth: 0.5, Writes: true},
		},
		Plans: []Plan{
			{Name: "standard", Nominal: 200, Price: 0.72, Weight: 1},
			{Name: "priority", Nominal: 300, Price: 0.9, Weight: 3},
		},
		Modules: []Module{{Name: "records", Comment: "Enrolment records", Plan: "standard"}},
	}
}

// Text writes a file with every key explained.
func (c *Config) Text() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	if err := e.Encode(c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return b.Bytes(), nil
}

// Parse reads and checks a file's text. What a file does not name keeps its default;
// classes and plans are taken as a whole where it names any; modules it must name.
func Parse(text []byte, name string) (*Config, error) {
	c := Default()
	var lists struct {
		Classes []Class  `toml:"class"`
		Plans   []Plan   `toml:"plan"`
		Modules []Module `toml:"module"`
	}
	if toml.Unmarshal(text, &lists) == nil { // else the strict reading says what is wrong
		if len(lists.Classes) > 0 {
			c.Classes = nil
		}
		if len(lists.Plans) > 0 {
			c.Plans = nil
		}
		c.Modules = nil // they must be named: a file that is empty, or cut off, is not the default
	}
	if err := Strict(text, name, c); err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

// Strict reads TOML into a value. A key that the value has no place for is an error, and
// each error names its place.
func Strict(text []byte, name string, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var strict *toml.StrictMissingError
	var at *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		return fmt.Errorf("%s: no such key:\n%s", name, strict.String())
	case errors.As(err, &at):
		row, col := at.Position()
		return fmt.Errorf("%s:%d:%d: %w", name, row, col, err)
	}
	return fmt.Errorf("%s: %w", name, err)
}

// Load reads a file. Relative folders and files in it are taken from where it lies.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := Parse(text, file)
	if err != nil {
		return nil, err
	}
	base := filepath.Dir(file)
	if !filepath.IsAbs(c.Gateway.Dir) {
		c.Gateway.Dir = filepath.Join(base, c.Gateway.Dir)
	}
	if c.Shares.File != "" && !filepath.IsAbs(c.Shares.File) {
		c.Shares.File = filepath.Join(base, c.Shares.File)
	}
	for i := range c.Modules {
		if m := &c.Modules[i]; m.Secrets != "" && !filepath.IsAbs(m.Secrets) {
			m.Secrets = filepath.Join(base, m.Secrets)
		}
	}
	return c, nil
}

// Check names every setting that cannot be, each with its key.
func (c *Config) Check() error {
	var bad []error
	wrong := func(ok bool, format string, args ...any) {
		if !ok {
			bad = append(bad, fmt.Errorf(format, args...))
		}
	}
	g := &c.Gateway
	wrong(g.Name != "" && len(g.Name) <= 64 && strings.Trim(g.Name, nameChars) == "",
		"gateway.name = %q: 1 to 64 letters, digits, - and _", g.Name)
	wrong(g.Dir != "", "gateway.dir is empty: name a folder that lasts")
	wrong(g.Hosts >= 1, "gateway.hosts = %d: at least 1", g.Hosts)
	wrong(g.Open >= 1, "gateway.open_requests = %d: at least 1", g.Open)
	wrong(g.Drain >= 0, "gateway.drain = %v: not negative", g.Drain.D())
	wrong(slices.Contains([]string{"debug", "info", "warn", "error"}, g.LogLevel),
		"gateway.log_level = %q: debug, info, warn or error", g.LogLevel)
	wrong(strings.HasPrefix(c.Register.URL, "http://"), "register.url = %q: expected http://HOST:PORT/nodes", c.Register.URL)
	wrong(c.Register.Silence > 0, "register.silence = %v: more than 0", c.Register.Silence.D())
	n := &c.Nodes
	wrong(n.Conns >= 1 && n.Streams >= 1 && n.Waiting >= 1 && n.Loops >= 1,
		"nodes: connections, streams, waiting and loops are at least 1")
	wrong(n.Dial > 0, "nodes.dial_timeout = %v: more than 0", n.Dial.D())
	r := &c.Rsync
	_, _, err := net.SplitHostPort(r.Listen)
	wrong(err == nil, "rsync.listen = %q: expected HOST:PORT", r.Listen)
	wrong(r.Extent >= 4096 && r.Extent <= nodewire.MaxPayload, "rsync.extent_bytes = %d: 4096 to %d", r.Extent, nodewire.MaxPayload)
	wrong(r.Loops >= 1 && r.Conns >= 1 && r.Files >= 1, "rsync: loops, connections and files are at least 1")
	wrong(r.Budget >= 4*int64(r.Extent), "rsync.buffer_bytes = %d: at least four extents", r.Budget)
	wrong(r.Handshake > 0 && r.Stall >= Duration(2*time.Second), "rsync: handshake is more than 0s, stall at least 2s")
	if set := c.MoveSettings(); set.Check() != nil {
		bad = append(bad, fmt.Errorf("moves: %w", set.Check()))
	}
	if err := c.PacingSettings().Check(); err != nil {
		bad = append(bad, fmt.Errorf("pacing: %w", err))
	}
	wrong(c.Shares.Poll > 0 && c.Shares.Keep >= 1, "shares: poll = %v, keep = %d: more than 0s, at least 1", c.Shares.Poll.D(), c.Shares.Keep)
	digest, err := hex.DecodeString(c.Shares.Inputs)
	wrong(c.Shares.Inputs == "" || err == nil && len(digest) == 32, "shares.inputs = %q: 64 hexadecimal digits, or empty", c.Shares.Inputs)
	wrong(c.Forecast.Write >= 0, "forecast.write = %v: not negative", c.Forecast.Write.D())
	if set := c.PlacementSettings(); set.Choice != 0 && set.Check() != nil {
		bad = append(bad, fmt.Errorf("placement: %w", set.Check()))
	}
	marks := c.Marks()
	if err := marks.Check(); err != nil {
		bad = append(bad, fmt.Errorf("placement: %w", err))
	}
	if set := c.ForecastSettings(); set.Check() != nil {
		bad = append(bad, fmt.Errorf("forecast: %w", set.Check()))
	}
	wrong(!c.Recorder.On || c.Recorder.FileSize >= 1<<16 && c.Recorder.Files >= 1,
		"recorder: file_bytes is at least 65536 and files at least 1")
	set, err := c.Settings()
	if err != nil {
		bad = append(bad, err)
	} else if _, err := control.New(set, 1); err != nil {
		bad = append(bad, err)
	}
	if err := c.Work().Check(set.Classes); err != nil {
		bad = append(bad, fmt.Errorf("worth: %w", err))
	}
	for _, cl := range c.Classes {
		wrong(cl.Deadline > 0, "class %s: deadline = %v: more than 0", cl.Name, cl.Deadline.D())
		wrong(cl.Name != c.Worth.Write || cl.Effect == "keyed", "class %s: it is worth.write_class, so its effect must be keyed", cl.Name)
	}
	bad = append(bad, c.checkModules()...)
	return errors.Join(bad...)
}

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"

func (c *Config) checkModules() (bad []error) {
	if len(c.Modules) == 0 {
		return []error{errors.New("no [[module]]: there is nothing to serve")}
	}
	seen := map[string]bool{}
	for i, m := range c.Modules {
		where := fmt.Sprintf("module[%d] %q", i, m.Name)
		if m.Name == "" || strings.Trim(m.Name, nameChars+".") != "" || len(m.Name) > 200 {
			bad = append(bad, fmt.Errorf("%s: name: 1 to 200 letters, digits, dots, - and _", where))
		}
		if seen[m.Name] {
			bad = append(bad, fmt.Errorf("%s: there are two of this name", where))
		}
		seen[m.Name] = true
		if !slices.ContainsFunc(c.Plans, func(p Plan) bool { return p.Name == m.Plan }) {
			bad = append(bad, fmt.Errorf("%s: plan %q: no [[plan]] has this name", where, m.Plan))
		}
		if m.ReadOnly && m.WriteOnly {
			bad = append(bad, fmt.Errorf("%s: read_only and write_only: nobody could use it", where))
		}
		if len(m.Users) > 0 != (m.Secrets != "") {
			bad = append(bad, fmt.Errorf("%s: users and secrets_file go together", where))
		}
		if strings.ContainsAny(m.Comment, "\r\n\x00") {
			bad = append(bad, fmt.Errorf("%s: comment: one line", where))
		}
	}
	return bad
}

var effects = map[string]control.Effect{"safe": control.Safe, "keyed": control.Keyed, "unsafe": control.Unsafe}

var groups = map[string]control.Group{"": control.GroupAll, "all": control.GroupAll,
	"zone": control.GroupZone, "cell": control.GroupCell}

// Settings are the controller's.
func (c *Config) Settings() (control.Settings, error) {
	s, w := &c.Safety, &c.Worth
	set := control.Settings{Hosts: c.Gateway.Hosts, MeanUnits: w.MeanUnits, MaxUnits: w.MostUnits,
		ShareWorth: w.ShareWorth, SpareWorth: w.SpareWorth, MeterSpan: w.MeterSpan.D(), Shards: w.Shards,
		MaxAttempts: s.MaxAttempts, MaxRetryAfter: s.MaxRetryAfter.D(), SecondCopies: s.SecondCopies,
		Cancelling: c.Nodes.Cancel, DrainGrace: s.DrainGrace.D(), WarmupDuration: s.ColdFor.D(), ColdCapacityFraction: s.ColdCapacity,
		OverloadMultiple: s.FallMultiple, OverloadSpan: s.FallSpan.D(), ColdMinUnits: s.ColdBears,
		RetryBudgetBase: s.ExtraFree, RetryBudgetRatio: s.ExtraShare, RetryBudgetSpan: s.ExtraSpan.D(), OrderPause: s.OrderRest.D(),
		LoadFields: backend.LoadFields}
	for i, cl := range c.Classes {
		effect, ok := effects[cl.Effect]
		if !ok {
			return set, fmt.Errorf("class[%d] %s: effect = %q: safe, keyed or unsafe", i, cl.Name, cl.Effect)
		}
		group, ok := groups[cl.Group]
		if !ok {
			return set, fmt.Errorf("class[%d] %s: group = %q: all, zone or cell", i, cl.Name, cl.Group)
		}
		set.Classes = append(set.Classes, control.Class{Name: cl.Name, Effect: effect, Group: group, Window: cl.Window.D(),
			Aim: cl.Aim.D(), Deadline: cl.Deadline.D(), Worth: cl.Worth, LateWorth: cl.LateWorth,
			InOrder: cl.InOrder, Writes: cl.Writes})
	}
	for _, p := range c.Plans {
		set.Plans = append(set.Plans, control.Plan(p))
	}
	return set, nil
}

// Work is how bytes become units and operations classes.
func (c *Config) Work() extent.Work {
	w := &c.Worth
	return extent.Work{UnitBytes: w.UnitBytes, Most: w.MostUnits, ReadClass: w.Read, BulkClass: w.Bulk,
		Bulk: w.BulkAbove, WriteClass: w.Write, CollectClass: w.Collect}
}

// ForecastSettings are those of package forecast.
func (c *Config) ForecastSettings() forecast.Settings {
	f := &c.Forecast
	return forecast.Settings{Gateway: c.Gateway.Name, Slot: f.Slot.D(), Days: f.Days, MaxVolumes: f.Volumes}
}

// PlacementSettings are those of package placement.
func (c *Config) PlacementSettings() placement.Settings {
	return placement.Settings{Choice: c.Place.Choice, Width: c.Place.Width, MaxWholeFileBytes: c.Place.Whole}
}

// Marks are those of the placement.
func (c *Config) Marks() placement.Marks {
	return placement.Marks{High: c.Place.High, Low: c.Place.Low, Hold: c.Place.Hold.D()}
}

// PacingSettings are those of package pacing.
func (c *Config) PacingSettings() pacing.Settings {
	p := &c.Pacing
	return pacing.Settings{MaxTries: p.Tries, ExtentTimeout: p.Patience.D(), TimeoutFraction: p.TimeoutPart, MinTryTime: p.Least.D(),
		InitialWindow: p.WindowStart, MaxWindow: p.WindowTop, ShardPause: p.ShardPause.D(), MaxFilesLeftOut: p.LeaveOut}
}

// ReadSecrets reads a secrets file, lines of user:password, # for comments. It is
// refused if anyone but its owner's group may read it, as rsyncd.conf(5) has it.
func ReadSecrets(file string) (map[string]string, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("secrets: %w", err)
	}
	if info.Mode().Perm()&0o007 != 0 {
		return nil, fmt.Errorf("secrets: %s may be read by others (mode %04o): chmod o-rwx it", file, info.Mode().Perm())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("secrets: %w", err)
	}
	secrets := map[string]string{}
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimRight(line, "\r\n")
		if line == "" || line[0] == '#' {
			continue
		}
		user, password, ok := strings.Cut(line, ":")
		if !ok || user == "" || password == "" {
			return nil, fmt.Errorf("secrets: %s:%d: expected user:password", file, number)
		}
		secrets[user] = password
	}
	return secrets, nil
}
