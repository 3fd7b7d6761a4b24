// Package control decides when a host sends which read or write to which
// storage node, and which requests it turns away.
//
// This file is the interface: settings, events and actions. All decisions are
// in control.go. A Controller is driven by one goroutine: events with the
// present time go in, actions come out, and nothing else is read or written.
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
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries a key: a group of nodes drops repeats for a while
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
	Aim       time.Duration // an answer within it earns the full worth
	Deadline  time.Duration // the client's whole patience
	Worth     float64       // worth of one request answered within the aim
	LateWorth float64       // part of the worth left after the aim
	InOrder   bool          // requests with one item run one at a time
	Writes    bool
}

// Plan describes what the volumes of one plan are owed, over all hosts.
type Plan struct {
	Name       string
	Nominal    float64 // units a second a volume is sized for
	Price      float64 // factor on the worth; 0 counts as 1
	Reserve    float64 // units a second that earn their full worth
	Weight     float64 // weight in the share of what is left
	LimitRate  float64 // units a second at which the limit's store fills; 0: no limit
	LimitBurst float64 // most units that the store holds
	LimitSlack float64 // how far the store may go below 0
}

// Settings is all that a Controller is told at its start. Fields left at zero
// mean that the rule, or the piece of information, does not exist.
type Settings struct {
	Hosts   int // hosts in the fleet, this one included
	Classes []Class
	Plans   []Plan

	MeanUnits  float64 // mean units of a request
	MostUnits  float64 // most units of a request
	ShareWorth float64 // part of the worth for units beyond the reserve within the share
	SpareWorth float64 // part of the worth for units beyond both
	MeterSpan  time.Duration
	Shards     int

	MaxAttempts   int
	MaxRetryAfter time.Duration
	SecondCopies  bool
	Cancelling    bool
	Probing       bool
	ProbePrice    float64

	DrainGrace time.Duration

	ColdFor      time.Duration // a node that started is warm after this
	ColdCapacity float64       // part of its capacity that it starts with
	FallMultiple float64       // more than this many times the present capacity ...
	FallSpan     time.Duration // ... for this long, and a cold node falls over
	ColdBears    float64       // units within FallSpan that it bears in any case

	ExtraFree  float64       // further attempts allowed on top
	ExtraShare float64       // further attempts for each request taken
	ExtraSpan  time.Duration // span over which both are counted; 0: no such rule

	OrderRest time.Duration // rest of a key after an attempt that may still run

	ListOnRequest bool          // the node list comes only when asked for
	AskWithin     time.Duration // longest silence towards the list service

	LoadFields []string // names of the values in a load report
}

// check names the first field that makes deciding impossible.
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
	}{{"cold time", float64(s.ColdFor)}, {"fall span", float64(s.FallSpan)}, {"extra span", float64(s.ExtraSpan)},
		{"order rest", float64(s.OrderRest)}, {"ask within", float64(s.AskWithin)},
		{"drain grace", float64(s.DrainGrace)}, {"meter span", float64(s.MeterSpan)},
		{"max retry-after", float64(s.MaxRetryAfter)}, {"mean units", s.MeanUnits}, {"most units", s.MostUnits},
		{"share worth", s.ShareWorth}, {"spare worth", s.SpareWorth}, {"cold capacity", s.ColdCapacity},
		{"fall multiple", s.FallMultiple}, {"cold bears", s.ColdBears}, {"extra free", s.ExtraFree},
		{"extra share", s.ExtraShare}} {
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

// bad says that a figure is negative or no finite number.
func invalid(x float64) bool { return !(x >= 0) || math.IsInf(x, 1) }

// Result tells how an attempt or a probe ended.
type Result int

// The results.
const (
	Done        Result = iota
	Error              // an error answer; it may have run
	Busy               // turned away unseen
	TimedOut           // no answer in time; it may run yet
	Unreachable        // no connection; it never ran
	Reset              // the connection dropped; it may have run
	Cancelled          // called off; it may have run
	NotSent            // never left
	NoRoom             // turned away: the node has no room for it; it never ran
	resultCount        // number of results
)

// NeverRan reports whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool {
	return r == Busy || r == Unreachable || r == NotSent || r == NoRoom
}

// Doubtful reports whether the attempt may still be running.
func (r Result) Doubtful() bool { return r == TimedOut || r == Reset || r == Cancelled }

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

// ListKind tells what a NodeList event brings.
type ListKind int

// The kinds.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // the whole list as last seen, perhaps stale
	ListFailed                 // a call failed or the subscription dropped
)

// AnyShard marks a new object, which any node may take.
const AnyShard = -1

// Event is one thing that happened to the host.
type Event interface{ event() }

// Request is a client's request that the host now owes one final answer.
type Request struct {
	ID      string
	Class   string
	Plan    string
	Volume  string
	Item    string
	Shard   int // or AnyShard
	Hosts   int // hosts through which the volume's requests come
	Units   float64
	Share   float64       // units a second told in advance as the volume's share at this host; 0: not told
	Expires time.Duration // time until the client gives up
	Retry   bool          // the client says that it has tried before
	Tiers   [][]int       // of a new object: shards that are to take it, the best tier first; none: any may
	Avoid   []int         // of a new object: shards that take nothing new, ascending
}

// Outcome ends one attempt.
type Outcome struct {
	ID        string
	Attempt   int
	Node      string
	Result    Result
	Elapsed   time.Duration
	Closed    bool      // the request is over
	VolumeUse int       // 1 + percent of the plan's nominal rate served lately; 0: not told
	OthersGot float64   // units served for the volume by this node through other hosts since
	Load      []float64 // load report, in the order of Settings.LoadFields
}

// ClientGone says that the client has left.
type ClientGone struct{ ID string }

// AnswerStarted says that a streamed answer has begun: its time-outs are over.
type AnswerStarted struct {
	ID      string
	Attempt int
}

// TimerFired is one of the controller's own timers.
type TimerFired struct{ Token int64 }

// NodeList is news of the node list.
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

// Shares are what all volumes are due, worked out ahead, in the place of what was told
// before: the whole set changes between two steps. The maps must not change afterwards.
type Shares struct {
	Version uint64
	Age     time.Duration // since they were worked out
	Trust   time.Duration // trusted in full up to this age, then less and less; 0: not at all
	Volumes map[string]VolumeShare
}

// VolumeShare is what one volume is due, units a second over all hosts, its reserve included.
type VolumeShare struct {
	Rate float64            // over all nodes
	Met  bool               // that is all it was expected to ask for: it is due no less, and may be due more
	At   map[string]float64 // at each node on which it is placed: for those who choose nodes
}

func (Request) event()       {}
func (Shares) event()        {}
func (Outcome) event()       {}
func (ClientGone) event()    {}
func (AnswerStarted) event() {}
func (TimerFired) event()    {}
func (NodeList) event()      {}
func (ProbeResult) event()   {}

// Belief is what a controller believes of a node.
type Belief struct {
	Node      string
	State     NodeState
	Listed    bool
	Out, Held int // attempts out there, requests held for it
	Window    float64
	RoundTrip time.Duration // mean
	Backlog   time.Duration // wait that a new attempt meets
	UnitTime  time.Duration // without a wait
	Errors    float64       // share of error answers of late
	Suspect   bool
	Cold      bool
}

// Action is one thing that the host is to do.
type Action interface{ action() }

// Send starts an attempt. Within is its time-out; 0: until the client gives up. Latest is the moment from which on
// it must not begin any more: past it a repeat would have its effect again; 0: there is none.
type Send struct {
	ID, Node string
	Within   time.Duration
	Latest   time.Duration
}

// Refuse is a final answer: a retry is harmless, and welcome after RetryAfter.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// SetTimer asks for a TimerFired event.
type SetTimer struct {
	At    time.Duration
	Token int64
}

// Probe asks a node how it is.
type Probe struct{ Node string }

// Subscribe asks for changes of the node list from now on.
type Subscribe struct{}

// FetchList asks for the whole node list once.
type FetchList struct{}

// Log is a line for the on-call staff.
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
