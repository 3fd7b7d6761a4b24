// Package control decides when a host sends which read or write to which
// storage node, and which requests it refuses. Package host runs it.
//
// A Controller is driven by one goroutine: it takes events and the current
// time and returns actions. It reads and writes nothing else, neither a clock
// nor a socket, so the same events and seed always give the same actions.
//
// This file holds the interface: settings, events and actions. All decisions
// are in control.go.
package control

import (
	"fmt"
	"math"
	"time"
)

// Effect says whether a request of a class may run more than once.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated without limit
	Keyed                // carries a key by which a group of nodes drops repeats during Class.Window
	Unsafe               // may be sent again only if it is known not to have run
)

// Group names the nodes among which a repeat of a keyed request is dropped.
type Group int

// The groups.
const (
	GroupAll  Group = iota // every node
	GroupZone              // the nodes of one zone
	GroupCell              // the nodes that hold the same shard
)

// Class describes one kind of request.
type Class struct {
	Name      string
	Effect    Effect
	Group     Group         // Keyed only
	Window    time.Duration // Keyed only: how long repeats are dropped
	Aim       time.Duration // latency objective: an answer within it earns the full worth
	Deadline  time.Duration // time after which an answer is of no use to the client
	Worth     float64       // worth of one request answered within the aim
	LateWorth float64       // part of the worth that an answer after the aim earns
	InOrder   bool          // requests for one item run one at a time
	Writes    bool
}

// Plan describes what each volume of a plan is entitled to, over all hosts.
type Plan struct {
	Name       string
	Nominal    float64 // units a second for which a volume is sized
	Price      float64 // factor on the worth; 0 counts as 1
	Reserve    float64 // units a second that earn their full worth
	Weight     float64 // weight with which the capacity beyond the reserves is shared
	LimitRate  float64 // units a second at which the limit's bucket fills; 0: no limit
	LimitBurst float64 // most units that the bucket holds
	LimitSlack float64 // how far the bucket may go below 0
}

// Settings configures a Controller. A field left at zero means that its rule,
// or its piece of information, does not exist.
type Settings struct {
	Hosts   int // hosts in the fleet, this one included
	Classes []Class
	Plans   []Plan

	MeanUnits  float64 // mean units of a request
	MaxUnits   float64 // most units of a request
	ShareWorth float64 // part of the worth that units beyond the reserve, within the share, earn
	SpareWorth float64 // part of the worth that units beyond both earn
	MeterSpan  time.Duration
	Shards     int

	MaxAttempts   int
	MaxRetryAfter time.Duration
	SecondCopies  bool
	Cancelling    bool
	Probing       bool
	ProbePrice    float64

	DrainGrace time.Duration

	WarmupDuration       time.Duration // time after its start at which a node is warm
	ColdCapacityFraction float64       // part of its capacity with which a node starts
	OverloadMultiple     float64       // a cold node fails under more than this multiple of its current capacity ...
	OverloadSpan         time.Duration // ... during this time
	ColdMinUnits         float64       // units within OverloadSpan that a cold node withstands in any case

	RetryBudgetBase  float64       // retries allowed within RetryBudgetSpan regardless of the requests
	RetryBudgetRatio float64       // retries allowed for each request accepted within RetryBudgetSpan
	RetryBudgetSpan  time.Duration // span of the retry budget; 0: no budget

	OrderPause time.Duration // pause of an item after an attempt that may still be running

	ListOnRequest          bool          // the node list is sent only on request
	MaxListRequestInterval time.Duration // longest time without a request to the list service

	LoadFields []string // names of the values in a load report

	// MaxNames bounds what is remembered by the names that clients give: volumes, and requests that may come
	// again; 0: 16,384. It is a limit of memory: an entry of each kind takes BytesPerName together.
	MaxNames int
}

// check returns an error that names the first invalid field.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for _, cl := range s.Classes {
		where := "settings: classes[" + cl.Name + "]"
		if cl.Effect < Safe || cl.Effect > Unsafe {
			return fmt.Errorf("%s.effect: unknown kind %d", where, cl.Effect)
		}
		if cl.Group < GroupAll || cl.Group > GroupCell {
			return fmt.Errorf("%s.group: unknown kind %d", where, cl.Group)
		}
		if cl.Aim < 0 || cl.Deadline < 0 || cl.Window < 0 {
			return fmt.Errorf("%s: negative time", where)
		}
		if invalid(cl.Worth) || invalid(cl.LateWorth) {
			return fmt.Errorf("%s.worth: %v, late %v", where, cl.Worth, cl.LateWorth)
		}
	}
	for _, f := range []struct {
		name string
		x    float64
	}{{"cold time", float64(s.WarmupDuration)}, {"fall span", float64(s.OverloadSpan)}, {"extra span", float64(s.RetryBudgetSpan)},
		{"order rest", float64(s.OrderPause)}, {"ask within", float64(s.MaxListRequestInterval)},
		{"drain grace", float64(s.DrainGrace)}, {"meter span", float64(s.MeterSpan)},
		{"max retry-after", float64(s.MaxRetryAfter)}, {"mean units", s.MeanUnits}, {"most units", s.MaxUnits},
		{"share worth", s.ShareWorth}, {"spare worth", s.SpareWorth}, {"cold capacity", s.ColdCapacityFraction},
		{"fall multiple", s.OverloadMultiple}, {"cold bears", s.ColdMinUnits}, {"extra free", s.RetryBudgetBase},
		{"extra share", s.RetryBudgetRatio}} {
		if invalid(f.x) {
			return fmt.Errorf("settings: %s: %v is negative or no number", f.name, f.x)
		}
	}
	for _, p := range s.Plans {
		for _, x := range []float64{p.Nominal, p.Price, p.Reserve, p.Weight, p.LimitRate, p.LimitBurst, p.LimitSlack} {
			if invalid(x) {
				return fmt.Errorf("settings: plans[%s]: %v", p.Name, x)
			}
		}
	}
	return nil
}

// invalid reports whether a figure is negative or not finite.
func invalid(x float64) bool { return !(x >= 0) || math.IsInf(x, 1) }

// Result is the way in which an attempt or a probe ended.
type Result int

// The results.
const (
	Done        Result = iota // a complete answer
	Error                     // an error answer; it may have run
	Busy                      // the node refused it before it ran
	TimedOut                  // no answer in time; it may still run
	Unreachable               // no connection; it never ran
	Reset                     // the connection was lost; it may have run
	Cancelled                 // cancelled by the host; it may have run
	NotSent                   // the host did not send it
	NoRoom                    // the node refused it for lack of space; it never ran
	resultCount               // number of results
)

// NeverRan reports whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool {
	return r == Busy || r == Unreachable || r == NotSent || r == NoRoom
}

// MayStillRun reports whether the attempt may still be running.
func (r Result) MayStillRun() bool { return r == TimedOut || r == Reset || r == Cancelled }

// NodeState is a node's state in the node list.
type NodeState int

// The states.
const (
	Ready NodeState = iota
	Draining
	Gone
)

// Node is one entry of the node list.
type Node struct {
	ID        string
	Zone      string
	Shard     int
	State     NodeState
	Size      float64
	StartedAt time.Duration // 0: long ago
}

// ListKind is the kind of content of a NodeList event.
type ListKind int

// The kinds.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // the whole list as last seen; it may be stale
	ListFailed                 // a call failed or the subscription was lost
)

// AnyShard is the Shard of a new object, which any node may take.
const AnyShard = -1

// Event is something that happened at the host.
type Event interface{ event() }

// Request is a new request of a client. The host gives it exactly one final answer.
type Request struct {
	ID      string
	Class   string
	Plan    string
	Volume  string
	Item    string
	Shard   int // or AnyShard
	Hosts   int // number of hosts through which the volume's requests come
	Units   float64
	Share   float64       // the volume's known share at this host, units a second; 0: unknown
	Expires time.Duration // time until the client gives up
	Retry   bool          // the client flags the request as a retry
	Tiers   [][]int       // for a new object: shards that should store it, best tier first; none: any may
	Avoid   []int         // for a new object: shards that take nothing new, ascending
}

// Outcome ends one attempt.
type Outcome struct {
	ID        string
	Attempt   int
	Node      string
	Result    Result
	Elapsed   time.Duration
	Closed    bool      // the request has its final answer
	VolumeUse int       // 1 + percent of the plan's nominal rate served within Settings.MeterSpan; 0: unknown
	OthersGot float64   // units that this node has served for the volume through other hosts since the last answer
	Load      []float64 // load report, in the order of Settings.LoadFields
}

// ClientGone reports that the client has disconnected.
type ClientGone struct{ ID string }

// AnswerStarted reports that a streamed answer has begun. Its time-outs no longer apply.
type AnswerStarted struct {
	ID      string
	Attempt int
}

// TimerFired reports that a timer set by SetTimer has fired.
type TimerFired struct{ Token int64 }

// NodeList is an update of the node list, or its failure.
type NodeList struct {
	Kind  ListKind
	Nodes []Node
}

// ProbeResult ends one probe.
type ProbeResult struct {
	Node    string
	Result  Result
	Elapsed time.Duration
	Load    []float64
}

// Shares holds the shares of all volumes, computed in advance. It replaces the previous shares as a whole,
// between two steps. The maps must not be changed afterwards.
type Shares struct {
	Version uint64
	Age     time.Duration // time since they were computed
	Trust   time.Duration // age up to which they are trusted in full, and less beyond it; 0: not at all
	Volumes map[string]VolumeShare
}

// VolumeShare is the share of one volume, in units a second over all hosts, its reserve included.
type VolumeShare struct {
	Rate float64            // over all nodes
	Met  bool               // Rate covers the whole expected demand; the volume gets no less and may get more
	At   map[string]float64 // by node on which it is placed, for callers that choose nodes
}

func (Request) event()       {}
func (Shares) event()        {}
func (Outcome) event()       {}
func (ClientGone) event()    {}
func (AnswerStarted) event() {}
func (TimerFired) event()    {}
func (NodeList) event()      {}
func (ProbeResult) event()   {}

// NodeEstimate is a controller's estimate of the state of a node.
type NodeEstimate struct {
	Node           string
	State          NodeState
	Listed         bool
	InFlight, Held int // attempts in flight there, requests held for it
	Window         float64
	RoundTrip      time.Duration // mean
	Backlog        time.Duration // wait that a new attempt meets
	UnitTime       time.Duration // time per unit without a queue
	ErrorRate      float64       // moving average of the share of error answers
	Suspect        bool
	Cold           bool
}

// Action is something that the host has to do.
type Action interface{ action() }

// Send starts an attempt. Within is its time-out; 0: until the client gives up. Latest is the time from which
// it must no longer begin, since the nodes would not drop the repeat any more; 0: no such time.
type Send struct {
	ID, Node string
	Within   time.Duration
	Latest   time.Duration
}

// Refuse gives the final answer that a retry is harmless and may come after RetryAfter.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail gives the final answer that the request failed. It makes no promise about a retry.
type Fail struct{ ID string }

// Cancel cancels an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer asks for a TimerFired event with the token at the given time.
type SetTimer struct {
	At    time.Duration
	Token int64
}

// Probe asks for a probe of a node, which a ProbeResult ends.
type Probe struct{ Node string }

// Subscribe subscribes to changes of the node list.
type Subscribe struct{}

// FetchList fetches the whole node list once.
type FetchList struct{}

// Log writes a line to the log for the on-call staff.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (SetTimer) action()  {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (FetchList) action() {}
func (Log) action()       {}
