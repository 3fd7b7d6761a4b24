package extentmap

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
)

// View is one immutable version of the map; reading it takes no lock. A caller that holds a View, such as a
// running transfer, keeps that version alive; nodes that no other version shares are freed with it.
type View struct {
	Term      uint64 // of the authority
	Watermark uint64 // all changes up to this version are applied
	Synced    bool   // a snapshot has been applied
	Extents   uint64 // number of extents that exist

	root        *node
	runs        int
	volumeIDs   map[string]VolumeID
	volumeNames []string // by VolumeID
}

// Len returns the number of runs. A run takes 32 bytes, and up to twice as much in leaves that are half full.
func (v *View) Len() int { return v.runs }

// Volume returns the VolumeID of a volume, and false if the map does not know the volume.
func (v *View) Volume(name string) (VolumeID, bool) {
	vol, ok := v.volumeIDs[name]
	return vol, ok
}

// Lookup returns the location of an extent and the version that assigned it. It returns false if the map does not
// know the extent. Location.Shard is NoShard if the extent does not exist according to the authority.
func (v *View) Lookup(vol VolumeID, extent uint64) (h Location, version uint64, ok bool) {
	r := v.root.lookup(key{extent, vol})
	if r == nil || r.volume != vol || r.end() <= extent {
		return Location{}, 0, false
	}
	return r.home, r.version, true
}

// Runs calls fn for each run of a volume that overlaps a range, in order, until fn returns false. Runs that extend
// beyond the range are passed unclipped.
func (v *View) Runs(in Range, fn func(Run) bool) {
	vol, ok := v.volumeIDs[in.Volume]
	if !ok || in.From >= in.To {
		return
	}
	if f := v.root.floor(key{in.From, vol}); f != nil && f.volume == vol && f.start < in.From && f.end() > in.From && !fn(v.export(f)) {
		return
	}
	v.root.ascend(key{in.From, vol}, func(r *run) bool { return r.volume == vol && r.start < in.To && fn(v.export(r)) })
}

// All calls fn for each run, until fn returns false: volumes in the order in which the map first saw them, runs in
// the order of their extents.
func (v *View) All(fn func(Run) bool) {
	v.root.ascend(key{}, func(r *run) bool { return fn(v.export(r)) })
}

func (v *View) export(r *run) Run {
	return Run{Range{v.volumeNames[r.volume], r.start, r.end()}, r.home, r.version}
}

// Map is the cache of the authority's map. Calls that change it must be serialized by the caller; View may be
// called at any time from any goroutine.
type Map struct {
	current   atomic.Pointer[View]
	pending   map[uint64]Delta // changes that arrived before a missing earlier one, by version
	maxRuns   int
	clockHand key // where the next eviction starts
	evicted   uint64
}

// New returns an empty map that holds at most maxRuns runs.
func New(maxRuns int) (*Map, error) {
	if maxRuns < 2*maxLeafRuns {
		return nil, fmt.Errorf("extentmap: maximum of %d runs: expected at least %d", maxRuns, 2*maxLeafRuns)
	}
	m := &Map{pending: map[uint64]Delta{}, maxRuns: maxRuns}
	m.current.Store(&View{volumeIDs: map[string]VolumeID{}})
	return m, nil
}

// View returns the current version of the map.
func (m *Map) View() *View { return m.current.Load() }

// Evicted returns the number of runs evicted since the start to stay within the maximum.
func (m *Map) Evicted() uint64 { return m.evicted }

// Missing returns the first gap in the changes received so far: the versions from the one after the watermark up
// to, but not including, the first pending one. It returns 0, 0 if there is no gap.
func (m *Map) Missing() (from, to uint64) {
	if len(m.pending) == 0 {
		return 0, 0
	}
	mark := m.View().Watermark
	first := slices.Min(slices.Collect(maps.Keys(m.pending)))
	return mark + 1, first
}

// ApplyResult is what Apply did with a change.
type ApplyResult int

// Results of Apply.
const (
	Applied   ApplyResult = iota // the change and all before it are applied
	Duplicate                    // the change was received before
	Pending                      // applied behind a missing change, or kept until the first snapshot
)

// Apply applies one change. An error is either one after which only a snapshot helps (ErrTerm, ErrTooManyPending),
// or describes invalid content; the change is not applied then.
func (m *Map) Apply(d Delta) (ApplyResult, error) {
	v := m.View()
	for i := range d.Runs {
		if err := d.Runs[i].validate(); err != nil {
			return 0, fmt.Errorf("extentmap: change %d: %w", d.Version, err)
		}
	}
	if v.Synced && d.Term != v.Term {
		return 0, fmt.Errorf("%w: term %d, expected %d", ErrTerm, d.Term, v.Term)
	}
	if w, waits := m.pending[d.Version]; waits && w.Term == d.Term || v.Synced && d.Version <= v.Watermark {
		return Duplicate, nil
	}
	if !v.Synced || d.Version > v.Watermark+1 {
		if len(m.pending) >= MaxPending {
			return 0, fmt.Errorf("%w: %d changes wait for version %d", ErrTooManyPending, len(m.pending), v.Watermark+1)
		}
		m.pending[d.Version] = d
		if !v.Synced {
			return Pending, nil
		}
	}
	c := newViewBuilder(v)
	if err := c.applyDelta(&d); err != nil {
		delete(m.pending, d.Version)
		return 0, err
	}
	if d.Version == v.Watermark+1 {
		c.view.Watermark++
		m.advanceWatermark(c)
	}
	m.commit(c)
	if _, waits := m.pending[d.Version]; waits {
		return Pending, nil
	}
	return Applied, nil
}

// advanceWatermark raises the watermark over pending changes, which are already applied, up to the next missing
// one.
func (m *Map) advanceWatermark(c *viewBuilder) {
	for {
		if _, ok := m.pending[c.view.Watermark+1]; !ok {
			return
		}
		c.view.Watermark++
		delete(m.pending, c.view.Watermark)
	}
}

// Snapshot replaces the map by a snapshot as of a version. The function next returns the runs of the snapshot one
// after another, in any order, and false at the end. Ranges without a run become unknown. Pending changes and
// fetched ranges of later versions are kept. Snapshot returns false, and changes nothing, if the snapshot has the
// current term and is older than the watermark.
func (m *Map) Snapshot(term, version uint64, next func() (Run, bool, error)) (bool, error) {
	v := m.View()
	if v.Synced && term == v.Term && version < v.Watermark {
		return false, nil
	}
	c := newViewBuilder(&View{Term: term, Watermark: version, Synced: true, volumeIDs: map[string]VolumeID{}})
	for {
		r, ok, err := next()
		if err != nil {
			return false, fmt.Errorf("extentmap: snapshot %d: %w", version, err)
		}
		if !ok {
			break
		}
		if err := r.validate(); err != nil {
			return false, fmt.Errorf("extentmap: snapshot %d: %w", version, err)
		}
		if r.Version > version {
			return false, fmt.Errorf("extentmap: snapshot %d: range %v has the later version %d", version, r.Range, r.Version)
		}
		if err := c.setRun(&r); err != nil {
			return false, err
		}
		if c.edit.runs > m.maxRuns { // evicted runs are fetched again when they are requested
			m.evict(c)
		}
	}
	if v.Synced && v.Term == term { // keep ranges fetched at later versions
		var err error
		v.All(func(r Run) bool {
			if r.Version > version {
				err = c.setRun(&r)
			}
			return err == nil
		})
		if err != nil {
			return false, err
		}
	}
	later := map[uint64]Delta{}
	for _, at := range slices.Sorted(maps.Keys(m.pending)) {
		if d := m.pending[at]; at > version && d.Term == term {
			if err := c.applyDelta(&d); err != nil {
				return false, err
			}
			later[at] = d
		}
	}
	m.pending = later
	m.advanceWatermark(c)
	m.commit(c)
	return true, nil
}

// Fetched applies the authority's answer for one range as of a version. Extents of the range that no run covers do
// not exist. Runs of later versions are kept.
func (m *Map) Fetched(in Range, term, version uint64, runs []Run) error {
	v := m.View()
	if !v.Synced || term != v.Term {
		return fmt.Errorf("%w: the answer has term %d, expected %d", ErrTerm, term, v.Term)
	}
	requested := Run{in, Location{Shard: NoShard}, version}
	if err := requested.validate(); err != nil {
		return fmt.Errorf("extentmap: fetched: %w", err)
	}
	runs = slices.SortedFunc(slices.Values(runs), func(a, b Run) int { return cmp.Compare(a.From, b.From) })
	c := newViewBuilder(v)
	at := in.From
	put := func(from, to uint64, h Location) error {
		if from >= to {
			return nil
		}
		return c.setRun(&Run{Range{in.Volume, from, to}, h, version})
	}
	for i := range runs {
		r := &runs[i]
		if err := r.validate(); err != nil {
			return fmt.Errorf("extentmap: fetched %v: %w", in, err)
		}
		if r.Volume != in.Volume || r.From < at || r.To > in.To {
			return fmt.Errorf("extentmap: fetched %v: range %v is outside of it or overlaps another one", in, r.Range)
		}
		if err := put(at, r.From, Location{Shard: NoShard}); err != nil {
			return err
		}
		if err := put(r.From, r.To, r.Location); err != nil {
			return err
		}
		at = r.To
	}
	if err := put(at, in.To, Location{Shard: NoShard}); err != nil {
		return err
	}
	m.commit(c)
	return nil
}

// Forget removes a range from the map, so that it is fetched again when it is requested.
func (m *Map) Forget(in Range) {
	c := newViewBuilder(m.View())
	if vol, ok := c.view.volumeIDs[in.Volume]; ok && in.From < in.To {
		c.removeRange(vol, in.From, in.To, nil)
		m.commit(c)
	}
}

// commit publishes the new view, after evicting runs above the maximum.
func (m *Map) commit(c *viewBuilder) {
	if c.edit.runs > m.maxRuns {
		m.evict(c)
	}
	c.view.root, c.view.runs = c.edit.root, c.edit.runs
	c.edit.owner = nil // published nodes must not be changed in place
	m.current.Store(c.view)
}

// evict removes an eighth of the maximum beyond the excess, so that evictions are rare. It removes whole leaves in
// order, starting where the last eviction stopped, and spares leaves that were read since (second chance: F.
// Corbato, "A paging experiment with the Multics system", 1968). Evicted extents are unknown and fetched again
// when requested; runs of extents that do not exist are evicted like any other.
func (m *Map) evict(c *viewBuilder) {
	chances := c.edit.runs // at most one second chance per leaf, even if readers keep setting the flag
	for want := c.edit.runs - m.maxRuns + m.maxRuns/8; want > 0 && c.edit.root != nil; {
		leaf := c.edit.root.leafAtOrAfter(m.clockHand)
		if leaf == nil {
			m.clockHand = key{}
			continue
		}
		last := leaf.runs[len(leaf.runs)-1]
		m.clockHand = key{last.end(), last.volume}
		if leaf.referenced.Swap(false) && chances > 0 {
			chances -= len(leaf.runs)
			continue
		}
		batch := slices.Clone(leaf.runs) // all runs of the leaf, including those before clockHand
		for i := range batch {
			c.removeRun(&batch[i])
		}
		want -= len(batch)
		m.evicted += uint64(len(batch))
	}
}

// viewBuilder builds the next view from the current one.
type viewBuilder struct {
	view        *View
	edit        edit
	ownsVolumes bool // volumeIDs and volumeNames are copies
	scratch     []run
}

func newViewBuilder(v *View) *viewBuilder {
	next := *v
	return &viewBuilder{view: &next, edit: edit{&owner{}, v.root, v.runs}}
}

// volumeID returns the VolumeID of a volume and adds the volume if it is new.
func (c *viewBuilder) volumeID(name string) (VolumeID, error) {
	if vol, ok := c.view.volumeIDs[name]; ok {
		return vol, nil
	}
	if len(c.view.volumeNames) >= MaxVolumes {
		return 0, fmt.Errorf("extentmap: volume %q: the maximum of %d volumes is reached", name, MaxVolumes)
	}
	if !c.ownsVolumes {
		c.ownsVolumes = true
		c.view.volumeIDs, c.view.volumeNames = maps.Clone(c.view.volumeIDs), slices.Clone(c.view.volumeNames)
	}
	vol := VolumeID(len(c.view.volumeNames))
	c.view.volumeIDs[name], c.view.volumeNames = vol, append(c.view.volumeNames, name)
	return vol, nil
}

// applyDelta sets all runs of one change.
func (c *viewBuilder) applyDelta(d *Delta) error {
	for _, r := range d.Runs {
		r.Version = d.Version
		if err := c.setRun(&r); err != nil {
			return err
		}
	}
	return nil
}

// setRun sets the location of a range, except for the parts that have a later version.
func (c *viewBuilder) setRun(r *Run) error {
	vol, err := c.volumeID(r.Volume)
	if err != nil {
		return err
	}
	if c.canAppend(vol, r) {
		c.insertRun(run{r.From, vol, uint32(r.To - r.From), r.Location, r.Version})
		return nil
	}
	if c.replaceInPlace(vol, r) {
		return nil
	}
	later := c.removeRange(vol, r.From, r.To, func(old *run) bool { return old.version > r.Version })
	at := r.From
	for i := range later {
		l := &later[i]
		c.insertMerged(vol, at, l.start, r)
		at = max(at, l.end())
	}
	c.insertMerged(vol, at, r.To, r)
	return nil
}

// canAppend reports whether a range lies after all runs of the tree and cannot be merged with the last one. This
// is a fast path for snapshots, whose runs come in order.
func (c *viewBuilder) canAppend(vol VolumeID, r *Run) bool {
	if r.To-r.From > MaxRunExtents {
		return false
	}
	n := c.edit.root
	if n == nil {
		return true
	}
	for !n.leaf() {
		n = n.children[len(n.children)-1]
	}
	last := &n.runs[len(n.runs)-1]
	return last.volume < vol || last.volume == vol && (last.end() < r.From || last.end() == r.From && !c.mergeable(last, r))
}

// replaceInPlace changes the location of a range that is exactly one run, if the run cannot be merged with a
// neighbour afterwards, so that moving a whole run costs only two searches. Otherwise, or if this cannot be
// decided within the leaf, it returns false and changes nothing.
func (c *viewBuilder) replaceInPlace(vol VolumeID, r *Run) bool {
	if c.edit.root == nil {
		return false
	}
	k := key{r.From, vol}
	leaf := c.edit.root.leafFor(k)
	i := leaf.upperBound(k) - 1
	if i < 1 || i+1 >= len(leaf.runs) {
		return false
	}
	old, left, right := &leaf.runs[i], &leaf.runs[i-1], &leaf.runs[i+1]
	if old.key() != k || old.end() != r.To || old.version > r.Version ||
		left.volume == vol && left.end() == r.From && c.mergeable(left, r) || right.volume == vol && right.start == r.To && c.mergeable(right, r) {
		return false
	}
	x := c.edit.mutableRun(k)
	if x.home.Shard != NoShard {
		c.view.Extents -= uint64(x.length)
	}
	if x.home, x.version = r.Location, r.Version; x.home.Shard != NoShard {
		c.view.Extents += uint64(x.length)
	}
	return true
}

// removeRange removes a range from the tree. Runs for which keep returns true stay in the tree and are returned.
func (c *viewBuilder) removeRange(vol VolumeID, from, to uint64, keep func(*run) bool) (kept []run) {
	c.scratch = c.edit.root.overlapping(vol, from, to, c.scratch[:0])
	for i := range c.scratch {
		old := c.scratch[i]
		if keep != nil && keep(&old) {
			kept = append(kept, old)
			continue
		}
		c.removeRun(&old)
		if old.start < from {
			c.insertRun(run{old.start, vol, uint32(from - old.start), old.home, old.version})
		}
		if old.end() > to {
			c.insertRun(run{to, vol, uint32(old.end() - to), old.home, old.version})
		}
	}
	return kept
}

// insertMerged inserts the location of r for the extents from from to before to, which must not be in the tree,
// and merges them with adjacent runs where possible.
func (c *viewBuilder) insertMerged(vol VolumeID, from, to uint64, r *Run) {
	if from >= to {
		return
	}
	since := r.Version
	for { // several neighbours may have become mergeable since they were inserted
		f := c.edit.root.floor(key{from, vol})
		if f == nil || f.volume != vol || f.end() != from || !c.mergeable(f, r) || to-f.start > MaxRunExtents {
			break
		}
		old := *f
		c.removeRun(&old)
		from, since = old.start, max(since, old.version)
	}
	for {
		f := c.edit.root.floor(key{to, vol})
		if f == nil || f.volume != vol || f.start != to || !c.mergeable(f, r) || f.end()-from > MaxRunExtents {
			break
		}
		old := *f
		c.removeRun(&old)
		to, since = old.end(), max(since, old.version)
	}
	for ; from < to; from += min(to-from, MaxRunExtents) {
		c.insertRun(run{from, vol, uint32(min(to-from, MaxRunExtents)), r.Location, since})
	}
}

// mergeable reports whether a neighbour can be merged with r: both have the same location and, if their versions
// differ, no change up to the later version is still missing.
func (c *viewBuilder) mergeable(f *run, r *Run) bool {
	return f.home == r.Location && (f.version == r.Version || c.view.Synced && max(f.version, r.Version) <= c.view.Watermark+1)
}

func (c *viewBuilder) insertRun(r run) {
	c.edit.insert(r)
	if r.home.Shard != NoShard {
		c.view.Extents += uint64(r.length)
	}
}

func (c *viewBuilder) removeRun(r *run) {
	c.edit.remove(r.key())
	if r.home.Shard != NoShard {
		c.view.Extents -= uint64(r.length)
	}
}
