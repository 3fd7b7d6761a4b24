package solution

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/sealed"
	"eiderhold/shares"
)

var noon = time.Date(2026, 8, 13, 12, 0, 0, 0, time.UTC)

// recordingHost records the shares it receives.
type recordingHost struct {
	mu       sync.Mutex
	received []control.Shares
}

func (h *recordingHost) Shares(s control.Shares, _ map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, s)
}

func (h *recordingHost) versions() (list []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.received {
		list = append(list, s.Version)
	}
	return list
}

// encodeSolution returns an encoded solution that places one volume on nodes.
func encodeSolution(t *testing.T, version uint64, nodes ...string) []byte {
	t.Helper()
	s := &shares.Solution{Version: version, Inputs: strings.Repeat("ab", 32), By: "test", At: noon.Add(-time.Hour), For: "24h",
		Nodes: nodes, Placement: map[string][]string{"v": nodes}, Shares: map[string]map[string]int64{"v": {}}, Weights: map[string]int64{"v": 1}}
	for i, n := range nodes {
		s.Shares["v"][n] = int64(1000*i) + 500
	}
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func newTestKeeper(t *testing.T, set Settings) (*Keeper, *recordingHost) {
	t.Helper()
	h := &recordingHost{}
	if set.Dir == "" {
		set.Dir = t.TempDir()
	}
	set.Keep, set.Poll = 3, time.Millisecond
	k, err := New(set, h, slog.New(slog.DiscardHandler), func() time.Time { return noon })
	if err != nil {
		t.Fatal(err)
	}
	return k, h
}

// TestOfferRefusesInvalidSolutions checks that a solution is refused with the right error, and the
// one in use stays, if it is truncated, of a newer format, of another problem, of an older
// version, of the version in use with other content, or names unknown nodes.
func TestOfferRefusesInvalidSolutions(t *testing.T) {
	k, h := newTestKeeper(t, Settings{Inputs: strings.Repeat("ab", 32)})
	k.SetNodes([]string{"a", "b"})
	good := encodeSolution(t, 5, "a", "b")
	if err := k.Offer("test", good); err != nil {
		t.Fatal(err)
	}
	next := encodeSolution(t, 6, "a")
	for n := range next {
		if err := k.Offer("test", next[:n]); err == nil {
			t.Fatalf("cut at byte %d: accepted", n)
		}
	}
	newer := bytes.Replace(next, []byte("shares 1 "), []byte("shares 9 "), 1)
	if err := k.Offer("test", newer); !errors.Is(err, sealed.ErrNewerFormat) {
		t.Errorf("newer: %v", err)
	}
	s, _ := shares.ReadSolution(next)
	s.Inputs = strings.Repeat("cd", 32)
	other, _ := s.Encode()
	if err := k.Offer("test", other); !errors.Is(err, shares.ErrInputs) {
		t.Errorf("other inputs: %v", err)
	}
	if err := k.Offer("test", encodeSolution(t, 4, "a")); !errors.Is(err, ErrStaleVersion) {
		t.Errorf("older: %v", err)
	}
	if err := k.Offer("test", encodeSolution(t, 5, "a")); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("same version, other content: %v", err)
	}
	if err := k.Offer("test", good); err != nil {
		t.Errorf("the same again: %v", err)
	}
	if err := k.Offer("test", encodeSolution(t, 7, "a", "z")); !errors.Is(err, ErrUnknownNodes) || !strings.Contains(err.Error(), "1 of 2: z") {
		t.Errorf("unknown node: %v", err)
	}
	if got := h.versions(); len(got) != 1 || got[0] != 5 {
		t.Fatalf("received: %v", got)
	}
	if x := h.received[0].Volumes["v"]; x.Rate != 2 || x.At["b"] != 1.5 || h.received[0].Age != time.Hour || h.received[0].Trust != 24*time.Hour {
		t.Errorf("received %+v", h.received[0])
	}
	if st := k.State(); st.Version != 5 || st.Refused < 6 || st.Err == "" {
		t.Errorf("state %+v", st)
	}
}

// TestDeferredUntilNodesAreListed checks that no solution is accepted before the first node list,
// and that one refused for an unknown node is accepted once the node is listed, unless a newer
// one has arrived.
func TestDeferredUntilNodesAreListed(t *testing.T) {
	k, h := newTestKeeper(t, Settings{})
	if err := k.Offer("test", encodeSolution(t, 1, "a")); !errors.Is(err, ErrUnknownNodes) {
		t.Fatal(err)
	}
	k.SetNodes([]string{"a"})
	_ = k.Offer("test", encodeSolution(t, 2, "a", "b"))
	_ = k.Offer("test", encodeSolution(t, 3, "a", "c"))
	k.SetNodes([]string{"a", "b"})
	k.SetNodes([]string{"a", "b", "c"})
	k.SetNodes([]string{"a"}) // the solution in use stays when nodes are removed
	if got := h.versions(); len(got) != 2 || got[0] != 1 || got[1] != 3 {
		t.Errorf("received: %v", got)
	}
}

// TestSolutionsSurviveRestart checks that the last few solutions are stored, and that a new keeper
// uses the newest valid one and skips a damaged one.
func TestSolutionsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	k, _ := newTestKeeper(t, Settings{Dir: dir})
	k.SetNodes([]string{"a"})
	for v := range uint64(12) {
		if err := k.Offer("test", encodeSolution(t, v+1, "a")); err != nil {
			t.Fatal(err)
		}
	}
	names, err := k.fileNames()
	if err != nil || len(names) != 3 || !strings.HasSuffix(names[2], "00012") {
		t.Fatal(names, err)
	}
	if err := os.Truncate(filepath.Join(dir, names[2]), 100); err != nil {
		t.Fatal(err)
	}
	k, h := newTestKeeper(t, Settings{Dir: dir})
	if len(h.versions()) != 0 {
		t.Fatal("shares received before the nodes were known")
	}
	k.SetNodes([]string{"a"})
	if got := h.versions(); len(got) != 1 || got[0] != 11 {
		t.Errorf("received: %v", got)
	}
}

// TestFollowReadsReplacedFile checks that Follow offers the content of the file, and again each time the
// file is replaced.
func TestFollowReadsReplacedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "solution")
	k, h := newTestKeeper(t, Settings{File: file})
	k.SetNodes([]string{"a"})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { k.Follow(stop); close(done) }()
	for v := range uint64(3) {
		next := file + ".new"
		if err := os.WriteFile(next, encodeSolution(t, v+1, "a"), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, file); err != nil {
			t.Fatal(err)
		}
		for limit := time.Now().Add(20 * time.Second); len(h.versions()) <= int(v); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("version %d was not accepted: %v", v+1, h.versions())
			}
		}
	}
	close(stop)
	<-done
}
