package host

import (
	"maps"
	"slices"
	"time"

	"eiderhold/control"
)

// Node is an entry of the node list with its address.
type Node struct {
	control.Node
	Addr string
}

// List is a full node list or a change of it.
type List struct {
	Kind  control.ListKind
	Nodes []Node
}

// Register provides the node list on request, where the settings ask for it.
type Register interface {
	Subscribe()
	Fetch()
}

// nodeStart keeps the conversion of a node's start from wall clock time to the host's clock, so that the result
// stays the same each time.
type nodeStart struct {
	wall time.Time
	at   time.Duration
}

// NodeView is the controller's estimate of a node's state, with the attempts that the host has in flight to it.
type NodeView struct {
	control.NodeEstimate
	HostInFlight int // attempts in flight; the backend has as many, on connections or waiting for one
}

// NodeEstimates calls f on the host's loop with the controller's estimate of each node, ordered by id, or with nil if the
// controller does not report estimates. f must not block.
func (h *Host) NodeEstimates(f func([]NodeView)) {
	h.post(call(func() {
		reporter, ok := h.controller.(interface{ NodeEstimates() []control.NodeEstimate })
		if !ok {
			f(nil)
			return
		}
		carried := map[string]int{}
		for _, a := range h.inFlight {
			carried[a.node]++
		}
		var list []NodeView
		for _, b := range reporter.NodeEstimates() {
			list = append(list, NodeView{b, carried[b.Node]})
		}
		f(list)
	}))
}

// handleList applies a node list or a change and passes it to the backend and the controller.
func (h *Host) handleList(l List) {
	e := control.NodeList{Kind: l.Kind}
	if l.Kind == control.ListFull || l.Kind == control.ListCached {
		clear(h.nodes)
	}
	for _, n := range l.Nodes {
		if n.State == control.Gone {
			delete(h.nodes, n.ID)
		} else {
			h.nodes[n.ID] = n
		}
		e.Nodes = append(e.Nodes, n.Node)
	}
	if l.Kind != control.ListFailed {
		all := make([]Node, 0, len(h.nodes))
		for _, n := range h.nodes {
			all = append(all, n)
		}
		h.options.Backend.Nodes(all)
	}
	h.addEvent(e)
}

// StartedAt converts a node's start from wall clock time to the host's clock, with the same result each time; 0 means
// long ago. It is for the register or discovery feed and not safe for concurrent use.
func (h *Host) StartedAt(node string, wall time.Time) time.Duration {
	if wall.IsZero() || wall.UnixMilli() == 0 {
		return 0
	}
	if s, ok := h.nodeStarts[node]; ok && s.wall.Equal(wall) {
		return s.at
	}
	at := max(0, h.clock()-max(0, time.Since(wall)))
	if at == 0 {
		return 0 // not remembered: the result is 0 from now on
	}
	if len(h.nodeStarts) >= maxNodeStarts { // bounds the memory under endless node turnover
		walls := make([]time.Time, 0, len(h.nodeStarts))
		for _, s := range h.nodeStarts {
			walls = append(walls, s.wall)
		}
		slices.SortFunc(walls, time.Time.Compare)
		half := walls[len(walls)/2]
		maps.DeleteFunc(h.nodeStarts, func(_ string, s nodeStart) bool { return !s.wall.After(half) })
	}
	h.nodeStarts[node] = nodeStart{wall, at}
	return at
}
