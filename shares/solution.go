package shares

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/blake3"

	"eiderhold/internal/sealed"
)

const (
	// SolutionFormat is the version of the format that Encode writes: JSON in a frame of package
	// sealed. Object keys are in order, so that equal solutions have equal bytes.
	SolutionFormat = 1
	solutionMagic  = "eiderhold-shares"
	// MaxSolutionBytes is the maximum size of an encoded solution in bytes.
	MaxSolutionBytes = 256 << 20
)

// Solution is a versioned answer that is stored and distributed to gateways.
type Solution struct {
	Version uint64    `json:"version"` // increases with each solution that is distributed, from 1
	Inputs  string    `json:"inputs"`  // Digest of the problem
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	For     string    `json:"for"` // a Go duration: how long it is trusted in full; after that its influence decreases
	Value   string    `json:"value"`
	Bound   string    `json:"bound"`

	Nodes     []string                    `json:"nodes"`     // all nodes that hold a volume, in order
	Placement map[string][]string         `json:"placement"` // volume -> nodes, in order
	Shares    map[string]map[string]int64 `json:"shares"`    // volume -> node -> milli-units a second
	Weights   map[string]int64            `json:"weights"`   // volume -> weight
	Met       []string                    `json:"met"`       // volumes whose shares cover all their demand, in order
}

// Digest returns the digest of a problem. It does not depend on the order of the tables' entries.
func Digest(p *Problem) string {
	q := *p
	q.Plans, q.Nodes, q.Volumes = slices.Clone(p.Plans), slices.Clone(p.Nodes), slices.Clone(p.Volumes)
	slices.SortFunc(q.Plans, func(a, b Plan) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(q.Nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(q.Volumes, func(a, b Volume) int { return cmp.Compare(a.ID, b.ID) })
	b, err := json.Marshal(&q)
	if err != nil {
		panic("shares: cannot encode a problem as JSON: " + err.Error()) // cannot happen: strings and integers only
	}
	sum := blake3.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// NewSolution returns the solution of an answer of p. The caller supplies the time at, since this
// package reads no clock.
func NewSolution(p *Problem, f *SearchResult, version uint64, by string, at time.Time, trust time.Duration) *Solution {
	s := &Solution{Version: version, Inputs: Digest(p), By: by, At: at.UTC(), For: trust.String(),
		Value: f.Value.String(), Bound: f.Bound.String(), Placement: f.Placement,
		Shares: map[string]map[string]int64{}, Weights: map[string]int64{}}
	weights := map[string]int64{}
	for _, x := range p.Plans {
		weights[x.Name] = x.Weight
	}
	for _, v := range p.Volumes {
		if _, placed := f.Placement[v.ID]; placed {
			s.Weights[v.ID] = weights[v.Plan]
		}
	}
	used, short := map[string]bool{}, map[string]bool{}
	for _, x := range f.Parts {
		short[x.Volume] = short[x.Volume] || x.Share < x.Demand
		if s.Shares[x.Volume] == nil {
			s.Shares[x.Volume] = map[string]int64{}
		}
		s.Shares[x.Volume][x.Node] = x.Share
		used[x.Node] = true
	}
	s.Nodes = slices.Sorted(maps.Keys(used))
	s.Met = []string{}
	for _, v := range slices.Sorted(maps.Keys(f.Placement)) {
		if !short[v] {
			s.Met = append(s.Met, v)
		}
	}
	return s
}

// Trust returns how long a solution is trusted in full. For is valid once Check has passed.
func (s *Solution) Trust() time.Duration {
	d, _ := time.ParseDuration(s.For)
	return d
}

// Check returns an error for the first invalid value of a solution.
func (s *Solution) Check() error {
	if s.Version == 0 {
		return errors.New("version = 0: expected 1 or more")
	}
	if d, err := time.ParseDuration(s.For); err != nil || d <= 0 {
		return fmt.Errorf("for = %q: expected a duration like 24h, more than 0", s.For)
	}
	if s.At.IsZero() {
		return errors.New("at: the time of the solution is missing")
	}
	if len(s.Placement) > MaxVolumes || len(s.Nodes) > MaxNodes {
		return fmt.Errorf("%d volumes on %d nodes: expected at most %d and %d", len(s.Placement), len(s.Nodes), MaxVolumes, MaxNodes)
	}
	if !slices.IsSorted(s.Nodes) || len(slices.Compact(slices.Clone(s.Nodes))) != len(s.Nodes) {
		return errors.New("nodes: expected in order, each once")
	}
	for _, v := range slices.Sorted(maps.Keys(s.Placement)) {
		nodes := s.Placement[v]
		if len(nodes) == 0 || !slices.IsSorted(nodes) || len(slices.Compact(slices.Clone(nodes))) != len(nodes) {
			return fmt.Errorf("placement of volume %q: expected one or more nodes, in order, each once", v)
		}
		if s.Weights[v] < 1 {
			return fmt.Errorf("weights: volume %q: expected at least 1", v)
		}
		if len(s.Shares[v]) != len(nodes) {
			return fmt.Errorf("shares: volume %q: expected one for each of its %d nodes, found %d", v, len(nodes), len(s.Shares[v]))
		}
		for _, n := range nodes {
			share, ok := s.Shares[v][n]
			if !ok || share < 0 || share > MaxFlow {
				return fmt.Errorf("shares: volume %q at node %q: expected 0 to %d milli-units a second (present: %v)", v, n, int64(MaxFlow), ok)
			}
			if _, known := slices.BinarySearch(s.Nodes, n); !known {
				return fmt.Errorf("placement of volume %q: node %q is not among the solution's nodes", v, n)
			}
		}
	}
	for i, v := range s.Met {
		if _, ok := s.Placement[v]; !ok || i > 0 && s.Met[i-1] >= v {
			return fmt.Errorf("met: volume %q: expected in order, each placed", v)
		}
	}
	if len(s.Shares) != len(s.Placement) || len(s.Weights) != len(s.Placement) {
		return fmt.Errorf("%d placements, %d volumes with shares, %d with weights: expected the same volumes", len(s.Placement), len(s.Shares), len(s.Weights))
	}
	return nil
}

// Encode returns the encoding of a solution that passes Check.
func (s *Solution) Encode() ([]byte, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("shares: solution: %w", err)
	}
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("shares: solution: %w", err)
	}
	body = append(body, '\n')
	return sealed.Seal(solutionMagic, SolutionFormat, body), nil
}

// ReadSolution decodes and checks a solution. A file truncated at any byte is rejected. The error
// is sealed.ErrNewerFormat for a newer format.
func ReadSolution(b []byte) (*Solution, error) {
	body, err := sealed.Open(solutionMagic, SolutionFormat, MaxSolutionBytes, b)
	if err != nil {
		return nil, fmt.Errorf("shares: solution: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	s := &Solution{}
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("shares: solution: byte %d of the body: %w", d.InputOffset(), err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("shares: solution: %w", err)
	}
	return s, nil
}

// ErrInputs is returned for a solution of another problem.
var ErrInputs = errors.New("shares: the solution was worked out of another problem")

// CheckInputs returns ErrInputs if the solution is not of the problem with this digest.
func (s *Solution) CheckInputs(digest string) error {
	if digest != s.Inputs {
		return fmt.Errorf("%w: its digest begins with %.16s, not with %.16s", ErrInputs, s.Inputs, digest)
	}
	return nil
}

// VolumeChange is how one volume differs between two solutions.
type VolumeChange struct {
	Volume       string   `json:"volume"`
	NodesAdded   []string `json:"came,omitempty"` // nodes added to its placement
	NodesRemoved []string `json:"went,omitempty"` // nodes removed from its placement
	Before       int64    `json:"before"`         // sum of its shares, milli-units a second
	After        int64    `json:"after"`
	Weights      [2]int64 `json:"weights"`
}

// Difference is the difference between two solutions.
type Difference struct {
	From, To     uint64 // versions
	Inputs       bool   // whether the problems differ
	Value        [2]string
	Added        []string       `json:",omitempty"` // volumes
	Removed      []string       `json:",omitempty"`
	Changed      []VolumeChange `json:",omitempty"`
	Moves        int            // number of nodes added to the placements of volumes in both
	NodesAdded   []string       `json:",omitempty"`
	NodesRemoved []string       `json:",omitempty"`
}

// Diff returns the difference between solutions a and b.
func Diff(a, b *Solution) *Difference {
	d := &Difference{From: a.Version, To: b.Version, Inputs: a.Inputs != b.Inputs, Value: [2]string{a.Value, b.Value},
		NodesAdded: difference(b.Nodes, a.Nodes), NodesRemoved: difference(a.Nodes, b.Nodes)}
	for _, v := range slices.Sorted(maps.Keys(b.Placement)) {
		if _, ok := a.Placement[v]; !ok {
			d.Added = append(d.Added, v)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(a.Placement)) {
		if _, ok := b.Placement[v]; !ok {
			d.Removed = append(d.Removed, v)
			continue
		}
		c := VolumeChange{Volume: v, NodesAdded: difference(b.Placement[v], a.Placement[v]), NodesRemoved: difference(a.Placement[v], b.Placement[v]),
			Before: sumShares(a.Shares[v]), After: sumShares(b.Shares[v]), Weights: [2]int64{a.Weights[v], b.Weights[v]}}
		d.Moves += len(c.NodesAdded)
		if len(c.NodesAdded)+len(c.NodesRemoved) > 0 || c.Weights[0] != c.Weights[1] || !maps.Equal(a.Shares[v], b.Shares[v]) {
			d.Changed = append(d.Changed, c)
		}
	}
	return d
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) (only []string) {
	for _, x := range a {
		if !slices.Contains(b, x) {
			only = append(only, x)
		}
	}
	return only
}

// sumShares returns the sum of the shares in m.
func sumShares(m map[string]int64) (sum int64) {
	for _, x := range m {
		sum += x
	}
	return sum
}
