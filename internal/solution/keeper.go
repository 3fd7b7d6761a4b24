// Package solution receives solutions of package shares for a gateway, from the register's feed
// or from a file. It validates each solution, stores the last few on disk, and passes the
// accepted one to the host in a single call. It computes no shares and takes no part in
// decisions about requests. Package gateway uses it.
package solution

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"eiderhold/control"
	"eiderhold/shares"
)

// Reasons for refusing a solution. The one in use stays.
var (
	ErrStaleVersion    = errors.New("solution: its version is not above that of the one in use: solve again, with a higher --version")
	ErrVersionConflict = errors.New("solution: its version is in use, with other content: distribute it under a version of its own")
	ErrUnknownNodes    = errors.New("solution: it names nodes that the register does not list: solve again for the present nodes")
)

// Settings holds the settings of a keeper.
type Settings struct {
	Dir    string // of stored solutions; its content must survive restarts
	Keep   int    // number of solutions kept on disk, including the one in use
	Inputs string // digest of the only problem whose solutions are accepted; empty: any
	File   string // polled for new solutions; empty: none
	Poll   time.Duration
}

// Host receives shares and the placement (volume -> nodes) that they belong to.
type Host interface {
	Shares(s control.Shares, placement map[string][]string)
}

// State is the state of a keeper as shown to operators.
type State struct {
	Version uint64    // in use; 0: none
	At      time.Time // time of its computation
	Until   time.Time // end of the time in which it is trusted in full
	Volumes int
	Taken   uint64 // solutions accepted since the start
	Refused uint64 // solutions refused since the start
	Err     string // reason for the last refusal; empty if a solution was accepted since
}

// Keeper holds the solution in use and accepts new ones.
type Keeper struct {
	settings Settings
	host     Host
	log      *slog.Logger
	now      func() time.Time

	mu       sync.Mutex
	nodes    map[string]bool // listed by the register; nil: no list received yet
	current  *shares.Solution
	bytes    []byte
	deferred *candidate // valid, but names nodes that are not listed
	state    State
}

// candidate is a decoded solution that may be accepted.
type candidate struct {
	source   string
	bytes    []byte
	solution *shares.Solution
}

// New returns a keeper. The newest valid solution in its folder takes effect as soon as the nodes
// are known. now returns the wall clock time.
func New(set Settings, h Host, log *slog.Logger, now func() time.Time) (*Keeper, error) {
	if err := os.MkdirAll(set.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("solution: %w", err)
	}
	k := &Keeper{settings: set, host: h, log: log, now: now}
	names, err := k.fileNames()
	if err != nil {
		return nil, err
	}
	for _, name := range slices.Backward(names) {
		b, err := os.ReadFile(filepath.Join(set.Dir, name))
		if err == nil {
			var s *shares.Solution
			if s, err = shares.ReadSolution(b); err == nil && set.Inputs != "" {
				err = s.CheckInputs(set.Inputs)
			}
			if err == nil {
				k.deferred = &candidate{"kept " + name, b, s}
				break
			}
		}
		log.Warn("solution: a stored solution cannot be used; trying the one before it", "file", name, "err", err)
	}
	return k, nil
}

const filePrefix = "solution-"

// fileNames returns the names of the solutions in the folder, in order of version.
func (k *Keeper) fileNames() (names []string, err error) {
	entries, err := os.ReadDir(k.settings.Dir)
	if err != nil {
		return nil, fmt.Errorf("solution: %w", err)
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), filePrefix) && e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names) // versions are zero-padded
	return names, nil
}

// Offer validates an encoded solution and accepts it, or returns why it is refused. A solution
// that is already in use is ignored. One that is refused only because it names nodes that are
// not listed is tried again when the list changes, unless a newer one arrives first.
func (k *Keeper) Offer(source string, b []byte) error {
	s, err := shares.ReadSolution(b)
	if err == nil && k.settings.Inputs != "" {
		err = s.CheckInputs(k.settings.Inputs)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		err = k.accept(&candidate{source, b, s})
	}
	if err != nil {
		k.state.Refused++
		k.state.Err = err.Error()
		k.log.Warn("solution: refused, the one in use stays", "from", source, "in_use", k.state.Version, "err", err)
	}
	return err
}

// accept puts a decoded solution into use or returns why it is refused. The caller holds k.mu.
func (k *Keeper) accept(c *candidate) error {
	if k.current != nil && c.solution.Version <= k.current.Version {
		switch {
		case c.solution.Version < k.current.Version:
			return fmt.Errorf("%w (%d, in use %d)", ErrStaleVersion, c.solution.Version, k.current.Version)
		case !bytes.Equal(c.bytes, k.bytes):
			return fmt.Errorf("%w (version %d)", ErrVersionConflict, c.solution.Version)
		}
		return nil
	}
	var unknown []string
	for _, n := range c.solution.Nodes {
		if !k.nodes[n] {
			unknown = append(unknown, n)
		}
	}
	if len(unknown) > 0 {
		if k.deferred == nil || c.solution.Version >= k.deferred.solution.Version {
			k.deferred = c
		}
		return fmt.Errorf("%w (%d of %d: %s)", ErrUnknownNodes, len(unknown), len(c.solution.Nodes), strings.Join(unknown[:min(5, len(unknown))], ", "))
	}
	if k.deferred != nil && k.deferred.solution.Version <= c.solution.Version {
		k.deferred = nil
	}
	k.current, k.bytes = c.solution, c.bytes
	k.host.Shares(ControlShares(c.solution, k.now()), c.solution.Placement)
	k.state.Version, k.state.At, k.state.Until = c.solution.Version, c.solution.At, c.solution.At.Add(c.solution.Trust())
	k.state.Volumes, k.state.Err = len(c.solution.Placement), ""
	k.state.Taken++
	k.log.Info("solution: in use", "from", c.source, "version", c.solution.Version, "by", c.solution.By, "at", c.solution.At,
		"trusted_until", k.state.Until, "volumes", len(c.solution.Placement), "nodes", len(c.solution.Nodes))
	k.save(c)
	return nil
}

// save stores a solution atomically and removes the oldest ones beyond the number to keep.
func (k *Keeper) save(c *candidate) {
	name := filepath.Join(k.settings.Dir, fmt.Sprintf("%s%020d", filePrefix, c.solution.Version))
	err := renameio.WriteFile(name, c.bytes, 0o644)
	names, lerr := k.fileNames()
	for len(names) > k.settings.Keep {
		lerr = errors.Join(lerr, os.Remove(filepath.Join(k.settings.Dir, names[0])))
		names = names[1:]
	}
	if err = errors.Join(err, lerr); err != nil {
		k.log.Warn("solution: it is in use, but could not be stored; a restart will begin with an older one, or none", "err", err)
	}
}

// SetNodes sets the nodes that the register lists in any state but gone. The solution in use stays
// when some of its nodes are no longer listed, since nothing is sent to them.
func (k *Keeper) SetNodes(ids []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nodes = make(map[string]bool, len(ids))
	for _, id := range ids {
		k.nodes[id] = true
	}
	if c := k.deferred; c != nil {
		if err := k.accept(c); err != nil && !errors.Is(err, ErrUnknownNodes) {
			k.deferred = nil
		}
	}
}

// State returns the present state of the keeper.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// Follow offers the content of the file, immediately and whenever the file changes, until stop
// is closed. A file that does not exist (yet) is not an error.
func (k *Keeper) Follow(stop <-chan struct{}) {
	if k.settings.File == "" {
		return
	}
	var last os.FileInfo
	tick := time.NewTicker(k.settings.Poll)
	defer tick.Stop()
	for {
		if info, err := os.Stat(k.settings.File); err == nil && (last == nil || !info.ModTime().Equal(last.ModTime()) ||
			info.Size() != last.Size() || !os.SameFile(info, last)) {
			last = info
			b, err := readFile(k.settings.File)
			if err != nil {
				k.log.Warn("solution: the file cannot be read", "file", k.settings.File, "err", err)
			} else {
				_ = k.Offer("file "+k.settings.File, b) // Offer has logged the error
			}
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// readFile reads a file of at most shares.MaxSolutionBytes bytes.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err == nil && info.Size() > shares.MaxSolutionBytes {
		err = fmt.Errorf("file has %d bytes: expected at most %d", info.Size(), shares.MaxSolutionBytes)
	}
	if err != nil {
		return nil, err
	}
	return os.ReadFile(name)
}

// ControlShares returns a solution as the shares of a controller at time now. A solution dated in the
// future, by a clock that is ahead, has age 0.
func ControlShares(s *shares.Solution, now time.Time) control.Shares {
	controlShares := control.Shares{Version: s.Version, Age: max(0, now.Sub(s.At)), Trust: s.Trust(),
		Volumes: make(map[string]control.VolumeShare, len(s.Shares))}
	for v, byNode := range s.Shares {
		volumeShare := control.VolumeShare{At: make(map[string]float64, len(byNode))}
		milli := int64(0)
		for n, share := range byNode {
			volumeShare.At[n] = float64(share) / 1000
			milli += share
		}
		volumeShare.Rate = float64(milli) / 1000
		_, volumeShare.Met = slices.BinarySearch(s.Met, v)
		controlShares.Volumes[v] = volumeShare
	}
	return controlShares
}
