// Package placement selects the shards that may store a new extent. It returns candidates in tiers, best first;
// package control picks the candidate of a tier that is expected to finish first. The package is pure decision
// code: it does no I/O, reads no clock, starts no goroutine and does not depend on map iteration order. The same
// map and key give the same candidates on every gateway, without coordination. The gateway calls New when nodes
// or shards change, and the fronts call Candidates for each extent.
//
// A key is hashed with each shard, and the shard's draw is scaled by its weight. This is weighted rendezvous
// hashing, as in CRUSH's straw2 buckets (S. Weil and others, "CRUSH: controlled, scalable, decentralized placement
// of replicated data", SC 2006; straw2 in Ceph since 2015; the scaling follows J. Resch, SNIA SDC 2015). When the
// weight of one shard changes, choices move only to or away from that shard.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Upper bounds on the inputs.
const (
	MaxShards = 10_000 // shards in a map
	MaxChoice = 8      // candidates per tier
	MaxWidth  = 64     // shards that a file is striped over
)

// Shard describes a shard, as known from the register and its load reports.
type Shard struct {
	ID       int
	Zone     string
	Ready    bool    // accepts new extents: ready and not past the high watermark
	Weight   float64 // capacity relative to other shards; 0: gets no extents
	Warmth   float64 // fraction of its capacity that it can serve while it warms up; 1: warm
	Headroom float64 // fraction of its bytes that is free; 1: unknown
}

// Settings configure how many candidates an extent has and how far a file is spread.
type Settings struct {
	Choice            int   // candidates per extent
	Width             int   // shards that a file larger than MaxWholeFileBytes is striped over
	MaxWholeFileBytes int64 // largest file, in bytes, that is stored whole on one shard
}

// Default holds the default settings.
var Default = Settings{Choice: 3, Width: 4, MaxWholeFileBytes: 4 << 20}

// Check returns an error that describes the first invalid setting.
func (s *Settings) Check() error {
	switch {
	case s.Choice < 1 || s.Choice > MaxChoice:
		return fmt.Errorf("choice = %d: 1 to %d", s.Choice, MaxChoice)
	case s.Width < 1 || s.Width > MaxWidth:
		return fmt.Errorf("width = %d: 1 to %d", s.Width, MaxWidth)
	case s.MaxWholeFileBytes < 0:
		return fmt.Errorf("whole_up_to = %d: not negative", s.MaxWholeFileBytes)
	}
	return nil
}

// Map holds the shards that may store new extents, as of one version of the node list. It is immutable.
type Map struct {
	settings Settings
	all      shardSet                // shards with a positive weight, ordered by ID
	placed   map[string]*shardSet    // by volume, for volumes whose shards are set by a solution of package shares
	table    [1 << tableBits]float32 // -log2 of fractions between 0 and 1
}

// shardEntry is a shard as it enters the choice.
type shardEntry struct {
	hash, multiplier uint64 // of the shard's ID
	minHash          uint64 // only hashes from here on can give a draw below the set's cutoff
	id               int32
	inverseWeight    float32 // 1 / weight
}

// shardSet is a set of shards to choose among.
type shardSet struct {
	entries []shardEntry
	cutoff  float32 // expectedDraws() draws lie below it on average
}

// New builds a map. placed lists the shards of each volume that a solution places. Other volumes, and those with
// no shard in the list that accepts extents now, use all shards.
func New(settings Settings, shards []Shard, placed map[string][]int) (*Map, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("placement: %w", err)
	}
	if len(shards) > MaxShards {
		return nil, fmt.Errorf("placement: %d shards: at most %d", len(shards), MaxShards)
	}
	m := &Map{settings: settings, placed: map[string]*shardSet{}}
	for i := range m.table {
		m.table[i] = float32(-math.Log2((float64(i) + 0.5) / (1 << tableBits)))
	}
	sorted := slices.SortedFunc(slices.Values(shards), func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	entryByID := map[int]shardEntry{}
	for i, s := range sorted {
		if i > 0 && sorted[i-1].ID == s.ID {
			return nil, fmt.Errorf("placement: shard %d is there twice", s.ID)
		}
		weight := s.weight()
		if !s.Ready || !(weight > 0) {
			continue
		}
		hash := mix(uint64(s.ID)*0x9e3779b97f4a7c15 + 1)
		e := shardEntry{hash: hash, multiplier: mix(hash) | 1, id: int32(s.ID), inverseWeight: float32(1 / weight)}
		m.all.entries = append(m.all.entries, e)
		entryByID[s.ID] = e
	}
	for v, ids := range placed {
		set := &shardSet{}
		for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
			if e, ok := entryByID[id]; ok {
				set.entries = append(set.entries, e)
			}
		}
		if len(set.entries) > 0 {
			set.setCutoffs(settings.expectedDraws())
			m.placed[v] = set
		}
	}
	m.all.setCutoffs(settings.expectedDraws())
	return m, nil
}

// weight is the shard's relative part of new extents: its capacity, scaled by its warmth, and scaled down further
// when less than half of its bytes are free.
func (s *Shard) weight() float64 {
	return s.Weight * min(1, max(0, s.Warmth)) * min(1, 2*max(0, s.Headroom))
}

// expectedDraws is the average number of shards that the preselection keeps. The chance that it keeps fewer than
// the number of candidates wanted is at most 1 in 2,000; all shards are scanned then.
func (s *Settings) expectedDraws() float64 { return float64(2*s.Choice + 8) }

// setCutoffs sets the draw below which expectedDraws draws lie on average. Draws are exponential, each with a rate
// of its weight times ln 2, so the rate of all draws together is the sum of these rates.
func (g *shardSet) setCutoffs(expectedDraws float64) {
	weight := 0.0
	for _, e := range g.entries {
		weight += 1 / float64(e.inverseWeight)
	}
	g.cutoff = float32(expectedDraws / (weight * math.Ln2))
	for i := range g.entries { // a draw is -log2(x) / weight; the margin covers the table's step
		e := &g.entries[i]
		e.minHash = uint64(math.Exp2(-float64(g.cutoff)/float64(e.inverseWeight)-4.0/(1<<tableBits)) * (1 << 63) * 2)
	}
}

// Len returns the number of shards that accept new extents.
func (m *Map) Len() int { return len(m.all.entries) }

// tableBits is the number of bits of a fraction that select an entry of Map.table.
const tableBits = 12

// mix is the finalizer of SplitMix64 (G. Steele, D. Lea, C. Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// negLog2 returns -log2 of a hash taken as a fraction of the hash range, which is an exponential draw. The leading
// zeros of the hash give the integer part, and the bits after the leading one select an entry of the table. The
// result is within 1 in 10,000 of the exact value, which is more precise than weights are known.
func (m *Map) negLog2(h uint64) float32 {
	zeros := bits.LeadingZeros64(h | 1)
	fraction := (h << zeros) >> (64 - 1 - tableBits) & (1<<tableBits - 1) // after the leading one
	// h = 2^(63-zeros) x (1 + fraction), and -log2((1+f)/2) = 1 - log2(1+f)
	return float32(zeros) + m.oneMinusLog2(fraction)
}

// oneMinusLog2 returns 1 - log2(1 + f) for a fraction f of tableBits bits.
func (m *Map) oneMinusLog2(f uint64) float32 {
	// the upper half of the table holds -log2 of 0.5 to 1
	return m.table[1<<(tableBits-1)|f>>1]
}

// Key returns the key by which the candidates of an extent are chosen. Extents that should be stored together
// have the same key: all extents of a file up to MaxWholeFileBytes bytes, or every Width-th extent of a larger file.
func (s *Settings) Key(volume, file string, index int, size int64) uint64 {
	h := xxhash.Sum64String(volume) ^ bits.RotateLeft64(xxhash.Sum64String(file), 17)
	if size > s.MaxWholeFileBytes || size < 0 {
		h += uint64(index%s.Width) * 0xd1342543de82ef95
	}
	return mix(h)
}

// CandidateBuffer holds the buffers of one call to Candidates, so that calls need not allocate.
type CandidateBuffer struct {
	placedBuffer [MaxChoice]int
	allBuffer    [MaxChoice]int
	tiers        [2][]int
}

// Candidates returns the shards for a key in tiers: first those chosen from the volume's placement, if it has one,
// then those chosen from all shards. The result is valid until choices is used again.
func (m *Map) Candidates(volume string, key uint64, choices *CandidateBuffer) [][]int {
	tiers := choices.tiers[:0]
	if placed := m.placed[volume]; placed != nil {
		tiers = append(tiers, m.choose(placed, key, choices.placedBuffer[:0]))
	}
	if m.Len() > 0 {
		tiers = append(tiers, m.choose(&m.all, key, choices.allBuffer[:0]))
	}
	return tiers
}

// hashKey returns the hash of a key for a shard: a 128-bit product with the shard's multiplier, folded to 64 bits,
// as in wyhash (Wang Yi and others, 2019) and xxh3.
func (e *shardEntry) hashKey(key uint64) uint64 {
	hi, lo := bits.Mul64(key^e.hash, e.multiplier)
	return hi ^ lo
}

// draw returns the shard's draw for a key as an integer that sorts by draw, then by index in the list.
func (m *Map) draw(e *shardEntry, key uint64, index int) uint64 {
	draw := m.negLog2(e.hashKey(key)) * e.inverseWeight
	return uint64(math.Float32bits(draw))<<32 | uint64(index) // positive floats sort like their bit patterns
}

// maxShortlist is the capacity of the list of preselected shards.
const maxShortlist = 64

// choose appends the IDs of the shards with the smallest draws to list, in order. It first preselects shards whose
// draw may lie below the cutoff, without a branch that the CPU could mispredict, and computes draws only for these.
// If enough draws lie below the cutoff, no other shard can be among the smallest. Otherwise it scans all shards.
func (m *Map) choose(g *shardSet, key uint64, list []int) []int {
	k := min(m.settings.Choice, len(g.entries))
	var shortlist [maxShortlist]uint64
	n := preselect(g.entries, key, &shortlist)
	if n < uint64(k) || n >= maxShortlist {
		return m.chooseByFullScan(g, key, list)
	}
	for i, index := range shortlist[:n] {
		shortlist[i] = m.draw(&g.entries[index], key, int(index))
	}
	previous := uint64(0)
	for range k {
		next := uint64(math.MaxUint64)
		for _, d := range shortlist[:n] {
			if d <= previous {
				d = math.MaxUint64
			}
			next = min(next, d)
		}
		previous = next
		list = append(list, int(g.entries[uint32(previous)].id))
	}
	if math.Float32frombits(uint32(previous>>32)) >= g.cutoff {
		return m.chooseByFullScan(g, key, list[:0])
	}
	return list
}

// preselect stores the indexes of the shards whose draw may lie below the cutoff in shortlist and returns their
// number. The list is incomplete if that number is maxShortlist or more.
func preselect(entries []shardEntry, key uint64, shortlist *[maxShortlist]uint64) (n uint64) {
	for i := range entries {
		e := &entries[i]
		shortlist[n%maxShortlist] = uint64(i)
		hi, lo := bits.Mul64(key^e.hash, e.multiplier)
		_, borrow := bits.Sub64(hi^lo, e.minHash, 0)
		n += 1 - borrow
	}
	return n
}

// chooseByFullScan returns what choose does, from the draws of all shards. It scans all draws once per candidate.
func (m *Map) chooseByFullScan(g *shardSet, key uint64, list []int) []int {
	previous := uint64(0)
	for range min(m.settings.Choice, len(g.entries)) {
		next := uint64(math.MaxUint64)
		for i := range g.entries {
			if d := m.draw(&g.entries[i], key, i); d > previous {
				next = min(next, d)
			}
		}
		previous = next
		list = append(list, int(g.entries[uint32(previous)].id))
	}
	return list
}
