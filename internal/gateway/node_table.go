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

// nodeTable holds the nodes that the register lists and the shards of all nodes listed since the start. The
// slices that it returns are never modified.
type nodeTable struct {
	mu         sync.RWMutex
	nodes      map[string]host.Node
	byShard    map[int][]host.Node // sorted by state and ID, ready nodes first
	lastShard  map[string]int      // by node ID, also of nodes no longer listed, whose successors have their shards
	everListed map[int]bool        // shards of all nodes listed since the start
}

func newNodeTable() *nodeTable {
	return &nodeTable{nodes: map[string]host.Node{}, byShard: map[int][]host.Node{}, lastShard: map[string]int{}, everListed: map[int]bool{}}
}

// update applies a node list and returns the shards of nodes that are new, restarted or at another address.
func (r *nodeTable) update(l host.List) (changed []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.nodes
	r.nodes = map[string]host.Node{}
	if l.Kind != control.ListFull && l.Kind != control.ListCached {
		maps.Copy(r.nodes, previous)
	}
	if len(r.lastShard) > 2*placement.MaxShards {
		clear(r.lastShard)
	}
	for _, n := range l.Nodes {
		r.lastShard[n.ID], r.everListed[n.Shard] = n.Shard, true
		if n.State == control.Gone {
			delete(r.nodes, n.ID)
			continue
		}
		r.nodes[n.ID] = n
		if old, known := previous[n.ID]; !known || old.Addr != n.Addr || old.StartedAt != n.StartedAt {
			changed = append(changed, n.Shard)
		}
	}
	r.byShard = map[int][]host.Node{}
	for _, n := range r.nodes {
		r.byShard[n.Shard] = append(r.byShard[n.Shard], n)
	}
	for _, list := range r.byShard {
		slices.SortFunc(list, func(a, b host.Node) int { return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.ID, b.ID)) })
	}
	return changed
}

// ids returns the IDs of the listed nodes, sorted.
func (r *nodeTable) ids() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.nodes))
}

// shards returns the shards of the listed nodes, sorted.
func (r *nodeTable) shards() []int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.byShard))
}

// everShards returns the shards of all nodes listed since the start, sorted.
func (r *nodeTable) everShards() []int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.everListed))
}

// ofShard returns the nodes of a shard, ready nodes first.
func (r *nodeTable) ofShard(shard int) []host.Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byShard[shard]
}

// shardsByVolume converts a solution's nodes for each volume to shards. It leaves out nodes that were never listed.
func (r *nodeTable) shardsByVolume(nodes map[string][]string) map[string][]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	volumes := make(map[string][]int, len(nodes))
	for v, ids := range nodes {
		for _, id := range ids {
			if shard, ok := r.lastShard[id]; ok {
				volumes[v] = append(volumes[v], shard)
			}
		}
	}
	return volumes
}
