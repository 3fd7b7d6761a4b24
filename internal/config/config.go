// Package config reads the gateway's settings from TOML. Unknown keys are errors, all settings
// are validated before any is used, and each key carries the comment that "eiderhold config
// default" writes. Command eiderhold and packages gateway and rehearsal use it.
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

// Duration is a time.Duration that is written as text: "250ms", "10s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes d like "250ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration like "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration: expected one like 250ms or 10s", b)
	}
	*d = Duration(v)
	return nil
}

// Config is a complete settings file.
type Config struct {
	Gateway   Gateway   `toml:"gateway" comment:"This host."`
	Register  Register  `toml:"register" comment:"The node list: Server-Sent Events, cached in the gateway's folder."`
	Nodes     Nodes     `toml:"nodes" comment:"Connections to storage nodes."`
	Safety    Safety    `toml:"safety" comment:"Limits that the storage nodes set for requests to them."`
	Worth     Worth     `toml:"worth" comment:"How units of work and the worth of requests are computed, and the classes for reads and writes."`
	Rsync     Rsync     `toml:"rsync" comment:"The rsync front."`
	Pacing    Pacing    `toml:"pacing" comment:"How a transfer requests its extents."`
	Placement Placement `toml:"placement" comment:"Which shards new extents are placed on."`
	Moves     Moves     `toml:"moves" comment:"How data is moved between shards (eiderhold space rebalance)."`
	Shares    Shares    `toml:"shares" comment:"Solutions of shares (eiderhold shares), taken from the register's stream or a file."`
	Forecast  Forecast  `toml:"forecast" comment:"Record of the demand of volumes, for eiderhold shares gather; kept in the gateway's folder."`
	Recorder  Recorder  `toml:"recorder" comment:"Record of the controller's batches and actions, for eiderhold replay."`
	Classes   []Class   `toml:"class" comment:"The classes of request."`
	Plans     []Plan    `toml:"plan" comment:"What each volume of a plan is entitled to, over all gateways."`
	Modules   []Module  `toml:"module" comment:"The rsync modules: each is a volume with a plan."`
}

// Gateway holds the settings of this host.
type Gateway struct {
	Name            string   `toml:"name" comment:"Unique among the gateways: item names begin with it. Letters, digits, - and _."`
	Zone            string   `toml:"zone" comment:"Zone of this host; empty if the site has no zones."`
	Dir             string   `toml:"dir" comment:"Folder of the catalogue, the cached node list and the recorder. It must survive restarts."`
	Seed            int64    `toml:"seed" comment:"Seed of the controller's random numbers; 0: a new one at each start."`
	Hosts           int      `toml:"hosts" comment:"Number of gateways in the fleet, this one included."`
	MaxOpenRequests int      `toml:"open_requests" comment:"Most requests open at a time; further ones are refused immediately."`
	DrainTimeout    Duration `toml:"drain" comment:"How long transfers may take to end after SIGTERM."`
	LogLevel        string   `toml:"log_level" comment:"debug, info, warn or error. Read again at SIGHUP."`
}

// Register holds the settings of the node list's source.
type Register struct {
	URL            string   `toml:"url" comment:"URL of the event stream, http://HOST:PORT/nodes."`
	SilenceTimeout Duration `toml:"silence" comment:"A stream without any data for this long is closed and requested again."`
	SettleTime     Duration `toml:"settle" comment:"A list that lost half its nodes or more applies at once, but is cached only if it lasts this long."`
}

// Nodes holds the limits of the connections to nodes.
type Nodes struct {
	MaxConnections int      `toml:"connections" comment:"Most connections to one node."`
	Streams        int      `toml:"streams" comment:"Attempts at a time on a connection before another one is opened."`
	Waiting        int      `toml:"waiting" comment:"Most attempts that wait for a connection to one node; further ones are not sent."`
	DialTimeout    Duration `toml:"dial_timeout" comment:"Limit for opening a connection and its hello exchange."`
	IdleTimeout    Duration `toml:"idle_close" comment:"A connection without attempts is closed after this long."`
	Cancel         bool     `toml:"cancel" comment:"Cancel attempts at nodes whose answer is no longer needed."`
	Loops          int      `toml:"loops" comment:"Event loops for connections to nodes."`
}

// Safety holds the limits that the storage nodes set for requests.
type Safety struct {
	MaxAttempts   int      `toml:"max_attempts" comment:"Most attempts at one request."`
	MaxRetryAfter Duration `toml:"max_retry_after" comment:"Longest retry-after that clients follow; 0s: no limit."`
	SecondCopies  bool     `toml:"second_copies" comment:"Two attempts at one request may be in flight at a time."`
	DrainGrace    Duration `toml:"drain_grace" comment:"How long a draining node may still receive attempts after its draining is announced."`
	ColdFor       Duration `toml:"cold_for" comment:"A node is warm at the latest this long after its start; 0s: no rule for cold nodes."`
	ColdCapacity  float64  `toml:"cold_capacity" comment:"Fraction of its capacity that a node has at its start."`
	FallMultiple  float64  `toml:"fall_multiple" comment:"A cold node fails when it receives more than this multiple of its capacity ..."`
	FallSpan      Duration `toml:"fall_span" comment:"... over this time."`
	ColdBears     float64  `toml:"cold_bears" comment:"Units within that time that a cold node can take in any case."`
	ExtraFree     float64  `toml:"extra_free" comment:"Repeated attempts that are always allowed, ..."`
	ExtraShare    float64  `toml:"extra_share" comment:"... and repeated attempts allowed per request, ..."`
	ExtraSpan     Duration `toml:"extra_span" comment:"... counted over this time; 0s: no such limit."`
	OrderRest     Duration `toml:"order_rest" comment:"How long requests for an item wait after an attempt at it that may still be running."`
}

// Worth defines how units of work and the worth of requests are computed.
type Worth struct {
	UnitBytes      int      `toml:"unit_bytes" comment:"Bytes that count as one unit; a request has at least one."`
	MeanUnits      float64  `toml:"mean_units" comment:"Units of an average request."`
	MostUnits      float64  `toml:"most_units" comment:"Units of the largest request."`
	ShareWorth     float64  `toml:"share_worth" comment:"Fraction of its worth that a unit earns beyond the reserve and within the share."`
	SpareWorth     float64  `toml:"spare_worth" comment:"Fraction of its worth that a unit earns beyond both. If share_worth and spare_worth are 0, all units are worth the same."`
	MeterSpan      Duration `toml:"meter_span" comment:"Period over which nodes report the use of volumes; 0s: they do not report it."`
	Shards         int      `toml:"shards" comment:"Number of shards of the site; 0: unknown."`
	ReadClass      string   `toml:"read_class" comment:"Class of read requests."`
	BulkClass      string   `toml:"bulk_class" comment:"Class of read requests that belong to a large file."`
	BulkAboveBytes int64    `toml:"bulk_above" comment:"Files with more bytes than this are large."`
	WriteClass     string   `toml:"write_class" comment:"Class of write requests; its effect must be keyed."`
	CollectClass   string   `toml:"collect_class" comment:"Class of requests that delete items to which nothing refers."`
}

// Rsync holds the settings of the rsync front.
type Rsync struct {
	Listen         string   `toml:"listen" comment:"HOST:PORT to listen on; port 0 takes a free port."`
	Loops          int      `toml:"loops" comment:"Event loops for connections of clients."`
	MOTD           string   `toml:"motd" comment:"Greeting that every client is shown. Read again at SIGHUP, with the modules."`
	ExtentBytes    int      `toml:"extent_bytes" comment:"Files are split into extents of this size."`
	MaxConnections int      `toml:"connections" comment:"Most clients at a time; further ones are rejected with the message of rsync for it."`
	MaxFileEntries int      `toml:"files" comment:"Most entries of file lists held over all transfers, about half a KiB each; a transfer that would exceed it ends with an error."`
	BufferBytes    int64    `toml:"buffer_bytes" comment:"Most bytes of extents held over all transfers; at the limit, transfers wait."`
	Handshake      Duration `toml:"handshake" comment:"A client that has not begun its transfer after this time is disconnected."`
	Stall          Duration `toml:"stall" comment:"A connection without any traffic for this long is closed. A client that reads a large file of its own may be silent for a long time."`
}

// Pacing holds pacing.Settings.
type Pacing struct {
	MaxTries        int      `toml:"tries" comment:"Times that an extent is requested in total, 1 to 4."`
	ExtentTimeout   Duration `toml:"patience" comment:"Time for an extent over all its tries, if the client sends no timeout."`
	TimeoutFraction float64  `toml:"timeout_part" comment:"Fraction of the client's own timeout that an extent may take."`
	MinTryTime      Duration `toml:"least" comment:"A try that would have less time than this is not made."`
	InitialWindow   int      `toml:"window_start" comment:"Extents requested at a time, at first ..."`
	MaxWindow       int      `toml:"window_top" comment:"... and at most."`
	ShardPause      Duration `toml:"shard_pause" comment:"After an extent of a shard has failed, other extents of the shard get only one try for this long."`
	MaxFilesLeftOut int      `toml:"leave_out" comment:"A transfer ends after this many files in a row were left out."`
}

// Recorder holds the settings of the record of batches.
type Recorder struct {
	On        bool  `toml:"on" comment:"Whether batches are recorded. Switched off, the recorder costs nothing."`
	FileBytes int64 `toml:"file_bytes" comment:"A file is closed at this size and the next one is begun."`
	MaxFiles  int   `toml:"files" comment:"Files kept; the oldest is deleted."`
}

// Placement holds placement.Settings and placement.Marks.
type Placement struct {
	Choice    int      `toml:"choice" comment:"Number of candidate shards for a new extent, 1 to 8; 0: all shards, by what this host knows of them."`
	Width     int      `toml:"width" comment:"Number of shards over which a large file is spread."`
	WholeUpTo int64    `toml:"whole_up_to" comment:"Extents of files up to this many bytes are placed together on one shard."`
	High      float64  `toml:"high" comment:"Fraction of its capacity at which a shard stops taking new extents ..."`
	Low       float64  `toml:"low" comment:"... and below which it takes new extents again."`
	Hold      Duration `toml:"hold" comment:"A shard that had no room for an extent gets no new extents for this long, whatever it reports."`
}

// Moves holds mover.Settings: how data is moved between shards.
type Moves struct {
	PerShard int   `toml:"at_once" comment:"Most moves from or to one shard at a time."`
	Copies   int   `toml:"copies" comment:"Extents of one move that are copied at a time."`
	Rate     int64 `toml:"rate" comment:"Most bytes a second that are moved from or to one shard."`
	Tries    int   `toml:"tries" comment:"A move is undone after this many consecutive failures of one extent."`
}

// MoveSettings returns the settings of package mover. RemovalDelay is 0 because the items that a move leaves
// at its source are deleted only when no transfer reads them any more.
func (c *Config) MoveSettings() mover.Settings {
	s := mover.Default
	s.MaxMovesPerShard, s.MaxActions, s.BytesPerSecond, s.MaxTries, s.RemovalDelay = c.Moves.PerShard, c.Moves.Copies, c.Moves.Rate, c.Moves.Tries, 0
	for _, class := range c.Classes {
		if class.Name == c.Worth.CollectClass {
			s.MaxCopyDuration = class.Deadline.D()
		}
	}
	return s
}

// Shares holds the settings of the sources of solutions.
type Shares struct {
	File         string   `toml:"file" comment:"Solution file to watch, in addition to the register's stream; empty: none."`
	PollInterval Duration `toml:"poll" comment:"How often the file is checked for a change."`
	Keep         int      `toml:"keep" comment:"Solutions kept in the gateway's folder, the one in use included."`
	Inputs       string   `toml:"inputs" comment:"Digest of the problem (shown by eiderhold shares check); only its solutions are accepted; empty: solutions of any problem."`
}

// Forecast holds the settings of the record of demand.
type Forecast struct {
	Slot          Duration `toml:"slot" comment:"Time over which demand is averaged. It must be the same on all gateways."`
	Days          int      `toml:"days" comment:"Days kept, today included."`
	Volumes       int      `toml:"volumes" comment:"Most volumes kept, about 5 KB each; beyond it those with the least demand are dropped."`
	WriteInterval Duration `toml:"write" comment:"How often the record is written to forecast.dat; 0s: nothing is recorded."`
}

// Class defines a class of request.
type Class struct {
	Name      string   `toml:"name" comment:"Name that nodes and clients use."`
	Effect    string   `toml:"effect" comment:"safe: may be repeated; keyed: carries a key, repeats are dropped; unsafe."`
	Group     string   `toml:"group" comment:"Keyed classes only: the nodes among which repeats are dropped: all, zone or cell (those of one shard)."`
	Window    Duration `toml:"window" comment:"Keyed classes only: how long nodes drop repeats."`
	Aim       Duration `toml:"aim" comment:"An answer within this time earns the full worth."`
	Deadline  Duration `toml:"deadline" comment:"The longest a request may take."`
	Worth     float64  `toml:"worth" comment:"Worth of one request answered within the aim."`
	LateWorth float64  `toml:"late_worth" comment:"Fraction of the worth that an answer after the aim earns."`
	InOrder   bool     `toml:"in_order" comment:"Requests for the same item run one at a time."`
	Writes    bool     `toml:"writes" comment:"Requests of the class write data."`
}

// Plan defines what each of its volumes is entitled to. Its fields are those of control.Plan.
type Plan struct {
	Name       string  `toml:"name" comment:"Name that modules refer to."`
	Nominal    float64 `toml:"nominal" comment:"Units a second that a volume is designed for."`
	Price      float64 `toml:"price" comment:"Factor by which worth is multiplied; 0 counts as 1."`
	Reserve    float64 `toml:"reserve" comment:"Units a second that earn their full worth."`
	Weight     float64 `toml:"weight" comment:"Weight in dividing the capacity beyond the reserves."`
	LimitRate  float64 `toml:"limit_rate" comment:"Units a second that a volume may use on average; 0: no limit."`
	LimitBurst float64 `toml:"limit_burst" comment:"Most units that a volume can save up for bursts."`
	LimitSlack float64 `toml:"limit_slack" comment:"How far the saved units may go below 0."`
}

// Module defines an rsync module.
type Module struct {
	Name           string   `toml:"name" comment:"Name that clients use; also the name of its volume."`
	Comment        string   `toml:"comment" comment:"Description in the list of modules."`
	Plan           string   `toml:"plan" comment:"Plan of the volume."`
	ReadOnly       bool     `toml:"read_only" comment:"Clients cannot push."`
	WriteOnly      bool     `toml:"write_only" comment:"Clients cannot pull."`
	Hidden         bool     `toml:"hidden" comment:"Left out of the list of modules."`
	Users          []string `toml:"users" comment:"Users who may connect, with a password; empty: everyone, without a password."`
	SecretsFile    string   `toml:"secrets_file" comment:"File with lines of user:password; rejected if its mode lets other users access it."`
	MaxConnections int      `toml:"connections" comment:"Most clients of the module at a time; 0: no limit of its own."`
	QuotaBytes     int64    `toml:"quota_bytes" comment:"Most bytes of its files, as counted in this gateway's catalogue; 0: no limit."`
	Share          float64  `toml:"share" comment:"Units a second of the volume's share at this gateway, fixed in advance; 0: not fixed."`
}

// Default returns complete, valid settings for a gateway on one machine.
func Default() *Config {
	p := pacing.Default
	return &Config{
		Gateway: Gateway{Name: "gateway-1", Dir: "eiderhold-data", Hosts: 1, MaxOpenRequests: 100_000,
			DrainTimeout: Duration(20 * time.Second), LogLevel: "info"},
		Register: Register{URL: "http://127.0.0.1:8740/nodes", SilenceTimeout: Duration(5 * time.Second), SettleTime: Duration(30 * time.Second)},
		Nodes: Nodes{MaxConnections: 4, Streams: 32, Waiting: 256, DialTimeout: Duration(250 * time.Millisecond),
			IdleTimeout: Duration(30 * time.Second), Cancel: true, Loops: 1},
		Safety: Safety{MaxAttempts: 4, MaxRetryAfter: Duration(2 * time.Second), SecondCopies: true,
			DrainGrace: Duration(2 * time.Second), ColdFor: Duration(18 * time.Second), ColdCapacity: 0.2,
			FallMultiple: 4, FallSpan: Duration(2 * time.Second), ColdBears: 40,
			ExtraFree: 10, ExtraShare: 0.2, ExtraSpan: Duration(10 * time.Second)},
		Worth: Worth{UnitBytes: 64 << 10, MeanUnits: 2, MostUnits: 6, ReadClass: "record-read", BulkClass: "bulk-export",
			BulkAboveBytes: 8 << 20, WriteClass: "record-write", CollectClass: "collect"},
		Rsync: Rsync{Listen: "127.0.0.1:8730", Loops: 2, MOTD: "", ExtentBytes: 256 << 10, MaxConnections: 4000, MaxFileEntries: 1_000_000,
			BufferBytes: 512 << 20, Handshake: Duration(20 * time.Second), Stall: Duration(5 * time.Minute)},
		Pacing: Pacing{MaxTries: p.MaxTries, ExtentTimeout: Duration(p.ExtentTimeout), TimeoutFraction: p.TimeoutFraction, MinTryTime: Duration(p.MinTryTime),
			InitialWindow: p.InitialWindow, MaxWindow: p.MaxWindow, ShardPause: Duration(p.ShardPause), MaxFilesLeftOut: p.MaxFilesLeftOut},
		Placement: Placement{Choice: placement.Default.Choice, Width: placement.Default.Width, WholeUpTo: placement.Default.MaxWholeFileBytes,
			High: placement.DefaultMarks.High, Low: placement.DefaultMarks.Low, Hold: Duration(placement.DefaultMarks.Hold)},
		Moves:  Moves{PerShard: mover.Default.MaxMovesPerShard, Copies: mover.Default.MaxActions, Rate: mover.Default.BytesPerSecond, Tries: mover.Default.MaxTries},
		Shares: Shares{PollInterval: Duration(2 * time.Second), Keep: 5},
		Forecast: Forecast{Slot: Duration(forecast.Default.Slot), Days: forecast.Default.Days, Volumes: forecast.Default.MaxVolumes,
			WriteInterval: Duration(5 * time.Minute)},
		Recorder: Recorder{FileBytes: 64 << 20, MaxFiles: 4},
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

// Text returns the settings as TOML with a comment on each key.
func (c *Config) Text() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	if err := e.Encode(c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return b.Bytes(), nil
}

// Parse reads and checks the text of a settings file; name is used in errors. Keys that the file
// leaves out keep their defaults. The lists of classes and of plans replace the default lists if
// the file has any. The file must define the modules.
func Parse(text []byte, name string) (*Config, error) {
	c := Default()
	var lists struct {
		Classes []Class  `toml:"class"`
		Plans   []Plan   `toml:"plan"`
		Modules []Module `toml:"module"`
	}
	if toml.Unmarshal(text, &lists) == nil { // otherwise Strict returns the error
		if len(lists.Classes) > 0 {
			c.Classes = nil
		}
		if len(lists.Plans) > 0 {
			c.Plans = nil
		}
		c.Modules = nil // no default: an empty or cut-off file must not pass as the default settings
	}
	if err := Strict(text, name, c); err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

// Strict decodes TOML into target. A key without a field in target is an error, and each error
// gives its position.
func Strict(text []byte, name string, target any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknownKeys):
		return fmt.Errorf("%s: no such key:\n%s", name, unknownKeys.String())
	case errors.As(err, &decodeErr):
		row, col := decodeErr.Position()
		return fmt.Errorf("%s:%d:%d: %w", name, row, col, err)
	}
	return fmt.Errorf("%s: %w", name, err)
}

// Load reads and checks a settings file. Relative paths in it are relative to its folder.
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
		if m := &c.Modules[i]; m.SecretsFile != "" && !filepath.IsAbs(m.SecretsFile) {
			m.SecretsFile = filepath.Join(base, m.SecretsFile)
		}
	}
	return c, nil
}

// Check returns an error that names every invalid setting by its key, or nil.
func (c *Config) Check() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	g := &c.Gateway
	require(g.Name != "" && len(g.Name) <= 64 && strings.Trim(g.Name, nameChars) == "",
		"gateway.name = %q: expected 1 to 64 letters, digits, - and _", g.Name)
	require(g.Dir != "", "gateway.dir is empty: expected a folder that survives restarts")
	require(g.Hosts >= 1, "gateway.hosts = %d: expected at least 1", g.Hosts)
	require(g.MaxOpenRequests >= 1, "gateway.open_requests = %d: expected at least 1", g.MaxOpenRequests)
	require(g.DrainTimeout >= 0, "gateway.drain = %v: expected 0s or more", g.DrainTimeout.D())
	require(slices.Contains([]string{"debug", "info", "warn", "error"}, g.LogLevel),
		"gateway.log_level = %q: expected debug, info, warn or error", g.LogLevel)
	require(strings.HasPrefix(c.Register.URL, "http://"), "register.url = %q: expected http://HOST:PORT/nodes", c.Register.URL)
	require(c.Register.SilenceTimeout > 0, "register.silence = %v: expected more than 0s", c.Register.SilenceTimeout.D())
	n := &c.Nodes
	require(n.MaxConnections >= 1 && n.Streams >= 1 && n.Waiting >= 1 && n.Loops >= 1,
		"nodes: connections, streams, waiting and loops: expected at least 1 each")
	require(n.DialTimeout > 0, "nodes.dial_timeout = %v: expected more than 0s", n.DialTimeout.D())
	r := &c.Rsync
	_, _, err := net.SplitHostPort(r.Listen)
	require(err == nil, "rsync.listen = %q: expected HOST:PORT", r.Listen)
	require(r.ExtentBytes >= 4096 && r.ExtentBytes <= nodewire.MaxPayload, "rsync.extent_bytes = %d: expected 4096 to %d", r.ExtentBytes, nodewire.MaxPayload)
	require(r.Loops >= 1 && r.MaxConnections >= 1 && r.MaxFileEntries >= 1, "rsync: loops, connections and files: expected at least 1 each")
	require(r.BufferBytes >= 4*int64(r.ExtentBytes), "rsync.buffer_bytes = %d: expected at least four extents", r.BufferBytes)
	require(r.Handshake > 0 && r.Stall >= Duration(2*time.Second), "rsync: expected a handshake of more than 0s and a stall of at least 2s")
	if set := c.MoveSettings(); set.Check() != nil {
		errs = append(errs, fmt.Errorf("moves: %w", set.Check()))
	}
	if err := c.PacingSettings().Check(); err != nil {
		errs = append(errs, fmt.Errorf("pacing: %w", err))
	}
	require(c.Shares.PollInterval > 0 && c.Shares.Keep >= 1, "shares: poll = %v, keep = %d: expected more than 0s and at least 1", c.Shares.PollInterval.D(), c.Shares.Keep)
	digest, err := hex.DecodeString(c.Shares.Inputs)
	require(c.Shares.Inputs == "" || err == nil && len(digest) == 32, "shares.inputs = %q: expected 64 hexadecimal digits or nothing", c.Shares.Inputs)
	require(c.Forecast.WriteInterval >= 0, "forecast.write = %v: expected 0s or more", c.Forecast.WriteInterval.D())
	if set := c.PlacementSettings(); set.Choice != 0 && set.Check() != nil {
		errs = append(errs, fmt.Errorf("placement: %w", set.Check()))
	}
	marks := c.Marks()
	if err := marks.Check(); err != nil {
		errs = append(errs, fmt.Errorf("placement: %w", err))
	}
	if set := c.ForecastSettings(); set.Check() != nil {
		errs = append(errs, fmt.Errorf("forecast: %w", set.Check()))
	}
	require(!c.Recorder.On || c.Recorder.FileBytes >= 1<<16 && c.Recorder.MaxFiles >= 1,
		"recorder: expected file_bytes of at least 65536 and files of at least 1")
	set, err := c.Settings()
	if err != nil {
		errs = append(errs, err)
	} else if _, err := control.New(set, 1); err != nil {
		errs = append(errs, err)
	}
	if err := c.Work().Check(set.Classes); err != nil {
		errs = append(errs, fmt.Errorf("worth: %w", err))
	}
	for _, cl := range c.Classes {
		require(cl.Deadline > 0, "class %s: deadline = %v: expected more than 0s", cl.Name, cl.Deadline.D())
		require(cl.Name != c.Worth.WriteClass || cl.Effect == "keyed", "class %s: it is worth.write_class, so its effect must be keyed", cl.Name)
	}
	errs = append(errs, c.checkModules()...)
	return errors.Join(errs...)
}

// nameChars are the characters of names of gateways; names of modules may contain dots too.
const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"

func (c *Config) checkModules() (errs []error) {
	if len(c.Modules) == 0 {
		return []error{errors.New("no [[module]]: expected at least one module to serve")}
	}
	names := map[string]bool{}
	for i, m := range c.Modules {
		where := fmt.Sprintf("module[%d] %q", i, m.Name)
		if m.Name == "" || strings.Trim(m.Name, nameChars+".") != "" || len(m.Name) > 200 {
			errs = append(errs, fmt.Errorf("%s: name: expected 1 to 200 letters, digits, dots, - and _", where))
		}
		if names[m.Name] {
			errs = append(errs, fmt.Errorf("%s: there are two of this name", where))
		}
		names[m.Name] = true
		if !slices.ContainsFunc(c.Plans, func(p Plan) bool { return p.Name == m.Plan }) {
			errs = append(errs, fmt.Errorf("%s: plan %q: no [[plan]] has this name", where, m.Plan))
		}
		if m.ReadOnly && m.WriteOnly {
			errs = append(errs, fmt.Errorf("%s: read_only and write_only exclude each other: nothing could be transferred", where))
		}
		if len(m.Users) > 0 != (m.SecretsFile != "") {
			errs = append(errs, fmt.Errorf("%s: users and secrets_file go together: expected both or neither", where))
		}
		if strings.ContainsAny(m.Comment, "\r\n\x00") {
			errs = append(errs, fmt.Errorf("%s: comment: expected a single line", where))
		}
	}
	return errs
}

var effects = map[string]control.Effect{"safe": control.Safe, "keyed": control.Keyed, "unsafe": control.Unsafe}

var groups = map[string]control.Group{"": control.GroupAll, "all": control.GroupAll,
	"zone": control.GroupZone, "cell": control.GroupCell}

// Settings returns the settings of the controller.
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
			return set, fmt.Errorf("class[%d] %s: effect = %q: expected safe, keyed or unsafe", i, cl.Name, cl.Effect)
		}
		group, ok := groups[cl.Group]
		if !ok {
			return set, fmt.Errorf("class[%d] %s: group = %q: expected all, zone or cell", i, cl.Name, cl.Group)
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

// Work returns how bytes are counted as units and which classes operations belong to.
func (c *Config) Work() extent.CostModel {
	w := &c.Worth
	return extent.CostModel{UnitBytes: w.UnitBytes, MaxUnits: w.MostUnits, ReadClass: w.ReadClass, BulkClass: w.BulkClass,
		BulkThresholdBytes: w.BulkAboveBytes, WriteClass: w.WriteClass, CollectClass: w.CollectClass}
}

// ForecastSettings returns the settings of package forecast.
func (c *Config) ForecastSettings() forecast.Settings {
	f := &c.Forecast
	return forecast.Settings{Gateway: c.Gateway.Name, Slot: f.Slot.D(), Days: f.Days, MaxVolumes: f.Volumes}
}

// PlacementSettings returns the settings of package placement.
func (c *Config) PlacementSettings() placement.Settings {
	return placement.Settings{Choice: c.Placement.Choice, Width: c.Placement.Width, MaxWholeFileBytes: c.Placement.WholeUpTo}
}

// Marks returns the high and low watermarks of the shards.
func (c *Config) Marks() placement.Marks {
	return placement.Marks{High: c.Placement.High, Low: c.Placement.Low, Hold: c.Placement.Hold.D()}
}

// PacingSettings returns the settings of package pacing.
func (c *Config) PacingSettings() pacing.Settings {
	p := &c.Pacing
	return pacing.Settings{MaxTries: p.MaxTries, ExtentTimeout: p.ExtentTimeout.D(), TimeoutFraction: p.TimeoutFraction, MinTryTime: p.MinTryTime.D(),
		InitialWindow: p.InitialWindow, MaxWindow: p.MaxWindow, ShardPause: p.ShardPause.D(), MaxFilesLeftOut: p.MaxFilesLeftOut}
}

// ReadSecrets reads a secrets file: lines of user:password, and comments that begin with #.
// A file that users other than its owner and group may access is rejected, as rsyncd.conf(5)
// describes it.
func ReadSecrets(file string) (map[string]string, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("secrets: %w", err)
	}
	if info.Mode().Perm()&0o007 != 0 {
		return nil, fmt.Errorf("secrets: %s is accessible to other users (mode %04o): run chmod o-rwx on it", file, info.Mode().Perm())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("secrets: %w", err)
	}
	secrets := map[string]string{}
	lineNumber := 0
	for line := range strings.Lines(string(text)) {
		lineNumber++
		line = strings.TrimRight(line, "\r\n")
		if line == "" || line[0] == '#' {
			continue
		}
		user, password, ok := strings.Cut(line, ":")
		if !ok || user == "" || password == "" {
			return nil, fmt.Errorf("secrets: %s:%d: expected user:password", file, lineNumber)
		}
		secrets[user] = password
	}
	return secrets, nil
}
