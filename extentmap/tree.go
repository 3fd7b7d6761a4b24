package extentmap

import "sync/atomic"

// Limits of a tree node: runs of a leaf, which then takes 4 KiB, and children of a branch.
const (
	maxLeafRuns = 128
	maxChildren = 64
)

// key is a position in the tree: an extent of a volume.
type key struct {
	extent uint64
	volume VolumeID
}

func (a key) less(b key) bool {
	return a.volume < b.volume || a.volume == b.volume && a.extent < b.extent
}

// run is the tree's representation of a Run, in 32 bytes.
type run struct {
	start   uint64
	volume  VolumeID
	length  uint32 // number of extents
	home    Location
	version uint64
}

func (r *run) key() key    { return key{r.start, r.volume} }
func (r *run) end() uint64 { return r.start + uint64(r.length) }

// node is a leaf (runs) or a branch (keys, children); keys[i] is the first key of children[i].
type node struct {
	owner      *owner      // the edit that may change the node in place; others copy it
	referenced atomic.Bool // leaf only: read since the last eviction passed it
	runs       []run
	keys       []key
	children   []*node
}

func (n *node) leaf() bool { return n.children == nil }

func (n *node) firstKey() key {
	if n.leaf() {
		return n.runs[0].key()
	}
	return n.keys[0]
}

// childIndex returns the index of the last child that begins at or before k, or 0 if none does.
func (n *node) childIndex(k key) int {
	lo, hi := 1, len(n.keys)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if k.less(n.keys[mid]) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo - 1
}

// upperBound returns the number of runs of a leaf that begin at or before k.
func (n *node) upperBound(k key) int {
	lo, hi := 0, len(n.runs)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if r := &n.runs[mid]; k.volume < r.volume || k.volume == r.volume && k.extent < r.start {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// leafFor returns the leaf that contains the last run that begins at or before k, if there is one.
func (n *node) leafFor(k key) *node {
	for !n.leaf() {
		n = n.children[n.childIndex(k)]
	}
	return n
}

// floor returns the last run that begins at or before k, or nil if none does.
func (n *node) floor(k key) *run {
	if n == nil {
		return nil
	}
	n = n.leafFor(k)
	if i := n.upperBound(k); i > 0 {
		return &n.runs[i-1]
	}
	return nil
}

// lookup is floor for readers: it also marks the leaf as referenced.
func (n *node) lookup(k key) *run {
	if n == nil {
		return nil
	}
	n = n.leafFor(k)
	if !n.referenced.Load() { // store only if needed: a store invalidates the cache line for all other readers
		n.referenced.Store(true)
	}
	if i := n.upperBound(k); i > 0 {
		return &n.runs[i-1]
	}
	return nil
}

// leafAtOrAfter returns the leaf with the first run at or after k, or nil if there is none.
func (n *node) leafAtOrAfter(k key) *node {
	if n == nil || n.leaf() {
		if n == nil || n.runs[len(n.runs)-1].key().less(k) {
			return nil
		}
		return n
	}
	for i := n.childIndex(k); i < len(n.children); i++ {
		if l := n.children[i].leafAtOrAfter(k); l != nil {
			return l
		}
	}
	return nil
}

// ascend calls fn for each run that begins at or after k, in order, until fn returns false.
func (n *node) ascend(k key, fn func(*run) bool) bool {
	if n == nil {
		return true
	}
	if n.leaf() {
		i := n.upperBound(k)
		if i > 0 && n.runs[i-1].key() == k {
			i--
		}
		for ; i < len(n.runs); i++ {
			if !fn(&n.runs[i]) {
				return false
			}
		}
		return true
	}
	for i := n.childIndex(k); i < len(n.children); i++ {
		if !n.children[i].ascend(k, fn) {
			return false
		}
	}
	return true
}

// owner identifies the edit that may change nodes in place. It is a separate type so that a node's reference to it
// keeps nothing else alive.
type owner struct{ _ byte }

// edit is a change of a tree by any number of runs. Each node that it touches is copied once.
type edit struct {
	*owner
	root *node
	runs int // number of runs in the tree
}

// mutableNode returns n itself if this edit created it, else a copy.
func (e *edit) mutableNode(n *node) *node {
	if n.owner == e.owner {
		return n
	}
	c := &node{owner: e.owner}
	if n.leaf() {
		c.referenced.Store(n.referenced.Load())
		c.runs = append(make([]run, 0, min(maxLeafRuns, len(n.runs)+8)), n.runs...)
		return c
	}
	c.keys = append(make([]key, 0, min(maxChildren, len(n.keys)+4)), n.keys...)
	c.children = append(make([]*node, 0, min(maxChildren, len(n.children)+4)), n.children...)
	return c
}

// insert adds a run. No run may begin at the same key.
func (e *edit) insert(r run) {
	e.runs++
	if e.root == nil {
		e.root = &node{owner: e.owner, runs: []run{r}}
		return
	}
	left, right := e.insertInto(e.root, r)
	if e.root = left; right != nil {
		e.root = &node{owner: e.owner, keys: []key{left.firstKey(), right.firstKey()}, children: []*node{left, right}}
	}
}

// mutableRun returns the last run that begins at or before k, to be changed in place. It must exist, and its key
// must not change.
func (e *edit) mutableRun(k key) *run {
	e.root = e.mutableNode(e.root)
	n := e.root
	for !n.leaf() {
		i := n.childIndex(k)
		n.children[i] = e.mutableNode(n.children[i])
		n = n.children[i]
	}
	return &n.runs[n.upperBound(k)-1]
}

// insertInto inserts the run below n. It returns the node, split in two if it was full.
func (e *edit) insertInto(n *node, r run) (left, right *node) {
	n = e.mutableNode(n)
	if n.leaf() {
		at := n.upperBound(r.key())
		if len(n.runs) == maxLeafRuns {
			half := maxLeafRuns / 2
			if at == maxLeafRuns {
				half = maxLeafRuns * 7 / 8 // keeps leaves nearly full when runs are inserted in order
			}
			right = &node{owner: e.owner, runs: append(make([]run, 0, maxLeafRuns), n.runs[half:]...)}
			n.runs = n.runs[:half]
			if at > half {
				right.runs = insertAt(right.runs, at-half, r)
				return n, right
			}
		}
		n.runs = insertAt(n.runs, at, r)
		return n, right
	}
	i := n.childIndex(r.key())
	kid, more := e.insertInto(n.children[i], r)
	n.children[i], n.keys[i] = kid, kid.firstKey()
	if more == nil {
		return n, nil
	}
	n.children, n.keys = insertAt(n.children, i+1, more), insertAt(n.keys, i+1, more.firstKey())
	if len(n.children) <= maxChildren {
		return n, nil
	}
	half := len(n.children) / 2
	if i == len(n.children)-2 {
		half = len(n.children) * 7 / 8
	}
	right = &node{owner: e.owner, children: append([]*node(nil), n.children[half:]...), keys: append([]key(nil), n.keys[half:]...)}
	clear(n.children[half:])
	n.children, n.keys = n.children[:half], n.keys[:half]
	return n, right
}

func insertAt[T any](s []T, i int, v T) []T {
	s = append(s, v)
	copy(s[i+1:], s[i:])
	s[i] = v
	return s
}

func removeAt[T any](s []T, i int) []T {
	var zero T
	copy(s[i:], s[i+1:])
	s[len(s)-1] = zero
	return s[:len(s)-1]
}

// remove removes the run that begins at k, which must exist.
func (e *edit) remove(k key) {
	e.runs--
	e.root = e.removeFrom(e.root, k)
	for e.root != nil && !e.root.leaf() && len(e.root.children) == 1 {
		e.root = e.root.children[0]
	}
}

// removeFrom removes the run below n. It returns the node, or nil if nothing is left in it.
func (e *edit) removeFrom(n *node, k key) *node {
	n = e.mutableNode(n)
	if n.leaf() {
		if n.runs = removeAt(n.runs, n.upperBound(k)-1); len(n.runs) == 0 {
			return nil
		}
		return n
	}
	i := n.childIndex(k)
	kid := e.removeFrom(n.children[i], k)
	if kid == nil {
		n.children, n.keys = removeAt(n.children, i), removeAt(n.keys, i)
		if len(n.children) == 0 {
			return nil
		}
		return n
	}
	n.children[i], n.keys[i] = kid, kid.firstKey()
	if i+1 < len(n.children) {
		e.mergeChildren(n, i)
	} else if i > 0 {
		e.mergeChildren(n, i-1)
	}
	return n
}

// mergeChildren merges child i of a branch with its right neighbour if together they fill at most half a node.
func (e *edit) mergeChildren(n *node, i int) {
	a, b := n.children[i], n.children[i+1]
	if a.leaf() && len(a.runs)+len(b.runs) > maxLeafRuns/2 || !a.leaf() && len(a.children)+len(b.children) > maxChildren/2 {
		return
	}
	a = e.mutableNode(a)
	a.runs, a.keys, a.children = append(a.runs, b.runs...), append(a.keys, b.keys...), append(a.children, b.children...)
	n.children[i] = a
	n.children, n.keys = removeAt(n.children, i+1), removeAt(n.keys, i+1)
}

// overlapping appends to into the runs that overlap the extents from from to before to of a volume, in order.
func (n *node) overlapping(vol VolumeID, from, to uint64, into []run) []run {
	if f := n.floor(key{from, vol}); f != nil && f.volume == vol && f.start < from && f.end() > from {
		into = append(into, *f)
	}
	n.ascend(key{from, vol}, func(r *run) bool {
		if r.volume != vol || r.start >= to {
			return false
		}
		into = append(into, *r)
		return true
	})
	return into
}
