// Package membership decides what of discovery's news about nodes is taken (this file), and when a watch is
// asked for, given up or left for another one (keeper.go). It opens nothing and reads no clock: updates go in as
// they were told, what the host is to be told comes out. internal/discovery drives it.
package membership

import (
	"encoding/json"
	"fmt"
	"net"

	"eiderhold/control"
)

const (
	nodesMost = 100_000 // entries of the list
	textMost  = 255     // bytes of a uid or an endpoint
)

// Entry is one node as discovery tells it.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // Unix time of its last start; 0: long ago
}

// Update is one object of the watch, or a whole list.
type Update struct {
	Rev     uint64            `json:"rev"`
	All     bool              `json:"all"`
	Targets []json.RawMessage `json:"targets"`
}

var states = map[string]control.NodeState{"active": control.Ready, "leaving": control.Draining, "left": control.Gone}

// Node is an entry that can be used.
type Node struct {
	control.Node
	Endpoint string
	BootMS   int64
}

// List is what has been taken.
type List struct {
	rev   uint64
	known map[string]bool // uids held
}

// New returns an empty list.
func New() *List { return &List{known: map[string]bool{}} }

// Rev is the version held, from which a watch goes on.
func (l *List) Rev() uint64 { return l.rev }

// Len is the number of nodes held.
func (l *List) Len() int { return len(l.known) }

// Verdict says what an update is.
type Verdict int

// The verdicts.
const (
	Fresh Verdict = iota // it was taken
	Held                 // it tells nothing: the version held, and no entries
	Back                 // changes older than what is held: the whole list has to be asked for
)

// Take takes an update. Changes of an older version than the one held are not taken: an older state must not
// replace a newer one, and who tells them counts from elsewhere than this list. Versions may jump: not every
// one changes an entry. A whole list is always taken. Entries that cannot be used are named and passed over;
// the others count.
func (l *List) Take(u Update) (nodes []Node, passed []error, v Verdict) {
	switch {
	case u.All:
		clear(l.known)
	case u.Rev < l.rev:
		return nil, nil, Back
	case u.Rev == l.rev && len(u.Targets) == 0:
		return nil, nil, Held
	}
	for i, raw := range u.Targets {
		n, err := l.entry(raw)
		if err != nil {
			passed = append(passed, fmt.Errorf("rev %d: targets[%d]: %w", u.Rev, i, err))
			continue
		}
		if n.State == control.Gone {
			delete(l.known, n.ID)
		} else {
			l.known[n.ID] = true
		}
		nodes = append(nodes, n)
	}
	l.rev = u.Rev
	return nodes, passed, Fresh
}

// entry reads one entry.
func (l *List) entry(raw json.RawMessage) (Node, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Node{}, err
	}
	if e.UID == "" || len(e.UID) > textMost {
		return Node{}, fmt.Errorf("uid of %d bytes: expected 1 to %d", len(e.UID), textMost)
	}
	state, ok := states[e.State]
	if !ok {
		return Node{}, fmt.Errorf("%s: state %q: expected active, leaving or left", e.UID, e.State)
	}
	n := Node{control.Node{ID: e.UID, Zone: e.Zone, Shard: e.Shard, State: state, Size: e.Size}, e.Endpoint, int64(e.BootMS)}
	if state == control.Gone {
		return n, nil
	}
	if e.Shard < 0 || len(e.Endpoint) > textMost || !(e.Size >= 0) || !(e.BootMS >= 0 && e.BootMS < 1e15) {
		return n, fmt.Errorf("%s: pod_group %d, capacity_hint %v, boot_ms %v: expected none below 0", e.UID, e.Shard, e.Size, e.BootMS)
	}
	if _, port, err := net.SplitHostPort(e.Endpoint); err != nil || port == "" {
		return n, fmt.Errorf("%s: endpoint %q: expected address:port", e.UID, e.Endpoint)
	}
	if !l.known[e.UID] && len(l.known) >= nodesMost {
		return n, fmt.Errorf("%s: over %d nodes", e.UID, nodesMost)
	}
	return n, nil
}
