package standin

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/register"
)

// Site is a stand-in register with the stand-in nodes that it lists.
type Site struct {
	Register *Register

	mu      sync.Mutex
	nodes   map[string]*Node
	options map[string]NodeOptions
	disks   map[int]*Disk
	dir     string
	trace   *audit.Writer
}

// StartSite starts a site without nodes. The shards' items are kept in dir; if it is empty, in memory.
func StartSite(dir string, trace *audit.Writer) (*Site, error) {
	reg, err := StartRegister("", trace)
	if err != nil {
		return nil, err
	}
	return &Site{Register: reg, nodes: map[string]*Node{}, options: map[string]NodeOptions{}, disks: map[int]*Disk{},
		dir: dir, trace: trace}, nil
}

// Disk returns a shard's disk and opens it if necessary.
func (s *Site) Disk(shard int) (*Disk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.disks[shard]; d != nil {
		return d, nil
	}
	dir := ""
	if s.dir != "" {
		dir = filepath.Join(s.dir, fmt.Sprintf("shard-%d", shard))
	}
	d, err := NewDisk(dir)
	if err == nil {
		s.disks[shard] = d
	}
	return d, err
}

// Add starts a node on its shard's disk and announces it as ready.
func (s *Site) Add(opt NodeOptions) (*Node, error) {
	disk, err := s.Disk(opt.Shard)
	if err != nil {
		return nil, err
	}
	opt.Disk, opt.Trace = disk, s.trace
	n, err := StartNode(opt)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.nodes[opt.ID], s.options[opt.ID] = n, opt
	s.mu.Unlock()
	s.announce(opt, n, "ready")
	return n, nil
}

// announce sets a node's entry in the register.
func (s *Site) announce(opt NodeOptions, n *Node, state string) {
	e := register.Entry{ID: opt.ID, Addr: n.Addr(), Zone: opt.Zone, Shard: opt.Shard, State: state, Size: cmp.Or(opt.Size, 1)}
	if !opt.Started.IsZero() {
		e.StartedMS = opt.Started.UnixMilli()
	}
	s.Register.Set(e)
}

// Node returns a node by its id, or nil.
func (s *Site) Node(id string) *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[id]
}

// IDs returns the ids of all nodes that were not removed, sorted.
func (s *Site) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.nodes))
}

// Zone returns the ids of a zone's nodes that were not removed, sorted.
func (s *Site) Zone(zone string) (ids []string) {
	for _, id := range s.IDs() {
		s.mu.Lock()
		if s.options[id].Zone == zone {
			ids = append(ids, id)
		}
		s.mu.Unlock()
	}
	return ids
}

// State announces a state of a node. The node itself does not change: one announced as draining serves until
// Node.Drain or Remove.
func (s *Site) State(id, state string) {
	s.mu.Lock()
	opt, n := s.options[id], s.nodes[id]
	s.mu.Unlock()
	if n != nil {
		s.announce(opt, n, state)
	}
}

// Restart starts a closed node again, cold and with the same id and shard, and announces it as ready.
func (s *Site) Restart(id string) error {
	s.mu.Lock()
	opt, ok := s.options[id]
	s.mu.Unlock()
	if !ok {
		return fmt.Errorf("stand-in site: no node %q to start again", id)
	}
	opt.Started, opt.Listen = time.Now(), ""
	_, err := s.Add(opt)
	return err
}

// Remove announces a node as gone and closes it.
func (s *Site) Remove(id string) {
	s.mu.Lock()
	opt, n := s.options[id], s.nodes[id]
	delete(s.nodes, id)
	delete(s.options, id)
	s.mu.Unlock()
	if n != nil {
		s.announce(opt, n, "gone")
		n.Close()
	}
}

// Replace replaces a node as a rolling deployment does. The node is announced as draining, a cold successor with
// a new id starts on its shard, and after the grace the node is removed.
func (s *Site) Replace(id, next string, grace time.Duration, wait func(time.Duration)) (*Node, error) {
	s.mu.Lock()
	opt, ok := s.options[id]
	s.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("stand-in site: no node %q to replace", id)
	}
	s.State(id, "draining")
	opt.ID, opt.Started, opt.Listen = next, time.Now(), ""
	n, err := s.Add(opt)
	if err != nil {
		return nil, err
	}
	wait(grace)
	s.Remove(id)
	return n, nil
}

// Close closes all nodes and the register.
func (s *Site) Close() {
	s.mu.Lock()
	nodes := s.nodes
	s.nodes = map[string]*Node{}
	s.mu.Unlock()
	for _, n := range nodes {
		n.Close()
	}
	s.Register.Close()
}
