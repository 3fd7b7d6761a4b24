// Package membership decides which updates of discovery's node list apply (this file), and when a watch is opened,
// abandoned or replaced (scheduler.go). It does no I/O and reads no clock. internal/discovery passes it updates as
// received, and times, and passes the resulting nodes to the host.
package membership

import (
	"encoding/json"
	"fmt"
	"net"

	"eiderhold/control"
)

const (
	maxTextBytes   = 255     // maximum length of a uid, an endpoint or a zone
	maxShard       = 1 << 30 // maximum number of a shard
	maxFirstErrors = 16      // see Skipped

	// NodeBytes is the memory that a node takes in all parts of a host, without its texts.
	NodeBytes = 1400
	// textCopies is the number of places that hold the texts of a node.
	textCopies = 3
)

// Entry is one node as sent by discovery.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // Unix time of its last start; 0: long ago
}

// Update is one object of a watch, or the whole list.
type Update struct {
	Rev     uint64            `json:"rev"`
	All     bool              `json:"all"`
	Targets []json.RawMessage `json:"targets"`
}

var states = map[string]control.NodeState{"active": control.Ready, "leaving": control.Draining, "left": control.Gone}

// Node is a valid entry.
type Node struct {
	control.Node
	Endpoint string
	BootMS   int64
}

// List is the state of the node list: its revision and the nodes in it.
type List struct {
	rev      uint64
	nodes    map[string]int64 // bytes of the nodes in the list, by uid
	bytes    int64            // of all nodes
	maxBytes int64
}

// New returns an empty list whose nodes take at most the given number of bytes.
func New(maxBytes int64) *List { return &List{nodes: map[string]int64{}, maxBytes: maxBytes} }

// Rev returns the revision of the list, from which a watch continues.
func (l *List) Rev() uint64 { return l.rev }

// Len returns the number of nodes in the list.
func (l *List) Len() int { return len(l.nodes) }

// Bytes returns the memory that the nodes take, in all parts of a host.
func (l *List) Bytes() int64 { return l.bytes }

// bytes returns the memory that a node takes.
func (n *Node) bytes() int64 {
	return NodeBytes + textCopies*int64(len(n.ID)+len(n.Endpoint)+len(n.Zone))
}

// remove removes a node.
func (l *List) remove(uid string) {
	l.bytes -= l.nodes[uid]
	delete(l.nodes, uid)
}

// Result is the result of applying an update.
type Result int

// The results of Apply.
const (
	Applied   Result = iota // the update was applied
	Unchanged               // the update has the revision of the list and no entries
	Outdated                // the changes are older than the list: the whole list must be requested
)

// Skipped are the entries of an update that were skipped as invalid.
type Skipped struct {
	Count int
	First []error // of the first few of them
}

func (s *Skipped) add(err error) {
	if s.Count++; len(s.First) < maxFirstErrors {
		s.First = append(s.First, err)
	}
}

// Apply applies an update and returns the valid entries and those that were skipped as invalid.
// Changes of an older revision than the list's are not applied: an older state must not replace a newer one, and
// their source counts revisions from another base than this list. Revisions may have gaps, as not every revision
// changes an entry. A whole list is always applied.
func (l *List) Apply(u Update) (nodes []Node, skipped Skipped, result Result) {
	switch {
	case u.All:
		clear(l.nodes)
		l.bytes = 0
	case u.Rev < l.rev:
		return nil, skipped, Outdated
	case u.Rev == l.rev && len(u.Targets) == 0:
		return nil, skipped, Unchanged
	}
	for i, raw := range u.Targets {
		n, err := l.parseEntry(raw)
		if err != nil {
			skipped.add(fmt.Errorf("rev %d: targets[%d]: %w", u.Rev, i, err))
			continue
		}
		l.remove(n.ID)
		if n.State != control.Gone {
			l.nodes[n.ID] = n.bytes()
			l.bytes += n.bytes()
		}
		nodes = append(nodes, n)
	}
	l.rev = u.Rev
	return nodes, skipped, Applied
}

// parseEntry parses and validates an entry.
func (l *List) parseEntry(raw json.RawMessage) (Node, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Node{}, err
	}
	if e.UID == "" || len(e.UID) > maxTextBytes || len(e.Zone) > maxTextBytes {
		return Node{}, fmt.Errorf("uid of %d bytes, az of %d: expected 1 to %d, and at most as many", len(e.UID), len(e.Zone), maxTextBytes)
	}
	state, ok := states[e.State]
	if !ok {
		return Node{}, fmt.Errorf("%s: state %q: expected active, leaving or left", e.UID, e.State)
	}
	n := Node{control.Node{ID: e.UID, Zone: e.Zone, Shard: e.Shard, State: state, Size: e.Size}, e.Endpoint, int64(e.BootMS)}
	if state == control.Gone {
		return n, nil
	}
	if e.Shard < 0 || e.Shard > maxShard || len(e.Endpoint) > maxTextBytes || !(e.Size >= 0) || !(e.BootMS >= 0 && e.BootMS < 1e15) {
		return n, fmt.Errorf("%s: pod_group %d, capacity_hint %v, boot_ms %v, endpoint of %d bytes: "+
			"expected none below 0, and at most %d bytes", e.UID, e.Shard, e.Size, e.BootMS, len(e.Endpoint), maxTextBytes)
	}
	if _, port, err := net.SplitHostPort(e.Endpoint); err != nil || port == "" {
		return n, fmt.Errorf("%s: endpoint %q: expected address:port", e.UID, e.Endpoint)
	}
	if l.bytes-l.nodes[e.UID]+n.bytes() > l.maxBytes {
		return n, fmt.Errorf("%s: the list is full: %d nodes take %d bytes, %d are allowed", e.UID, len(l.nodes), l.bytes, l.maxBytes)
	}
	return n, nil
}
