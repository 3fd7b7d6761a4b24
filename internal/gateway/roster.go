package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/placement"
)

// roster is the nodes as the register lists them, and the shards of nodes ever listed. What it hands out
// does not change.
type roster struct {
	mu    sync.RWMutex
	nodes map[string]host.Node
	at    map[int][]host.Node // by shard, in order of state and id: ready ones first
	ever  map[string]int      // shards of nodes ever listed: a successor takes over a shard
	seen  map[int]bool        // shards ever listed
}

func newRoster() *roster {
	return &roster{nodes: map[string]host.Node{}, at: map[int][]host.Node{}, ever: map[string]int{}, seen: map[int]bool{}}
}

// take takes news of the nodes and returns the shards of those that are new, restarted or moved.
func (r *roster) take(l host.List) (fresh []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.nodes
	r.nodes = map[string]host.Node{}
	if l.Kind != control.ListFull && l.Kind != control.ListCached {
		maps.Copy(r.nodes, before)
	}
	if len(r.ever) > 2*placement.MaxShards {
		clear(r.ever)
	}
	for _, n := range l.Nodes {
		r.ever[n.ID], r.seen[n.Shard] = n.Shard, true
		if n.State == control.Gone {
			delete(r.nodes, n.ID)
			continue
		}
		r.nodes[n.ID] = n
		if old, known := before[n.ID]; !known || old.Addr != n.Addr || old.StartedAt != n.StartedAt {
			fresh = append(fresh, n.Shard)
		}
	}
	r.at = map[int][]host.Node{}
	for _, n := range r.nodes {
		r.at[n.Shard] = append(r.at[n.Shard], n)
	}
	for _, list := range r.at {
		slices.SortFunc(list, func(a, b host.Node) int { return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.ID, b.ID)) })
	}
	return fresh
}

// ids are the nodes listed, in order.
func (r *roster) ids() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.nodes))
}

// shards are those listed, in order.
func (r *roster) shards() []int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.at))
}

// everShards are those of all nodes ever listed, in order.
func (r *roster) everShards() []int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.seen))
}

// of are the nodes of a shard, ready ones first.
func (r *roster) of(shard int) []host.Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.at[shard]
}

// placed turns a solution's nodes for each volume into shards, without those never listed.
func (r *roster) placed(nodes map[string][]string) map[string][]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	volumes := make(map[string][]int, len(nodes))
	for v, ids := range nodes {
		for _, id := range ids {
			if shard, ok := r.ever[id]; ok {
				volumes[v] = append(volumes[v], shard)
			}
		}
	}
	return volumes
}
