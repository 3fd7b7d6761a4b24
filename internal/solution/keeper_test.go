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

// hearer notes what the host is told.
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

// TestRefusedWithTheReason: cut at every byte, newer, of other inputs, older, the same version
// with other content, of unknown nodes: the one in use stays.
func TestOfferRefusesInvalidSolutions(t *testing.T) {
	k, h := newTestKeeper(t, Settings{Inputs: strings.Repeat("ab", 32)})
	k.Listed([]string{"a", "b"})
	good := encodeSolution(t, 5, "a", "b")
	if err := k.Offer("test", good); err != nil {
		t.Fatal(err)
	}
	next := encodeSolution(t, 6, "a")
	for n := range next {
		if err := k.Offer("test", next[:n]); err == nil {
			t.Fatalf("cut at byte %d it is taken", n)
		}
	}
	newer := bytes.Replace(next, []byte("shares 1 "), []byte("shares 9 "), 1)
	if err := k.Offer("test", newer); !errors.Is(err, sealed.ErrNewer) {
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
	if err := k.Offer("test", encodeSolution(t, 7, "a", "z")); !errors.Is(err, ErrUnknown) || !strings.Contains(err.Error(), "1 of 2: z") {
		t.Errorf("unknown node: %v", err)
	}
	if got := h.versions(); len(got) != 1 || got[0] != 5 {
		t.Fatalf("told: %v", got)
	}
	if x := h.received[0].Volumes["v"]; x.Rate != 2 || x.At["b"] != 1.5 || h.received[0].Age != time.Hour || h.received[0].Trust != 24*time.Hour {
		t.Errorf("told %+v", h.received[0])
	}
	if st := k.State(); st.Version != 5 || st.Refused < 6 || st.Err == "" {
		t.Errorf("%+v", st)
	}
}

// TestTakenWhenTheNodesAreKnown: before the first list nothing is taken; one refused for a
// node is taken once that is listed, unless a newer one came.
func TestDeferredUntilNodesAreListed(t *testing.T) {
	k, h := newTestKeeper(t, Settings{})
	if err := k.Offer("test", encodeSolution(t, 1, "a")); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	k.Listed([]string{"a"})
	_ = k.Offer("test", encodeSolution(t, 2, "a", "b"))
	_ = k.Offer("test", encodeSolution(t, 3, "a", "c"))
	k.Listed([]string{"a", "b"})
	k.Listed([]string{"a", "b", "c"})
	k.Listed([]string{"a"}) // the one in use stays when nodes go
	if got := h.versions(); len(got) != 2 || got[0] != 1 || got[1] != 3 {
		t.Errorf("told: %v", got)
	}
}

// TestKeptOverRestarts: the last few are kept, the newest good one is taken up again, a
// damaged one is passed over.
func TestSolutionsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	k, _ := newTestKeeper(t, Settings{Dir: dir})
	k.Listed([]string{"a"})
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
		t.Fatal("told before the nodes were known")
	}
	k.Listed([]string{"a"})
	if got := h.versions(); len(got) != 1 || got[0] != 11 {
		t.Errorf("told: %v", got)
	}
}

// TestFollowsAFile: what stands in the file is taken, also when it is replaced.
func TestFollowReadsReplacedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "solution")
	k, h := newTestKeeper(t, Settings{File: file})
	k.Listed([]string{"a"})
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
				t.Fatalf("version %d was not taken: %v", v+1, h.versions())
			}
		}
	}
	close(stop)
	<-done
}
