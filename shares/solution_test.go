package shares

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderhold/internal/sealed"
)

// testSolution returns a generated problem and a solution of it.
func testSolution(t testing.TB) (*Problem, *Solution) {
	t.Helper()
	p := mustGenerate(t, GenerateOptions{Volumes: 12, Nodes: 4, Zones: 2, Seed: 1, Skew: 1, Load: 1, MaxCapacityRatio: 3, Spread: 2})
	f, err := Search(p, Options{Seed: 1, Steps: 200})
	if err != nil {
		t.Fatal(err)
	}
	return p, NewSolution(p, f, 7, "test", time.Unix(1_800_000_000, 0), 24*time.Hour)
}

// TestReadSolutionRejectsDamage checks that a solution truncated at any byte, with any byte
// changed, with a byte added or of a newer format is rejected, and that CheckInputs rejects
// another problem.
func TestReadSolutionRejectsDamage(t *testing.T) {
	p, s := testSolution(t)
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := ReadSolution(b)
	if err != nil || !reflect.DeepEqual(again, s) || again.Trust() != 24*time.Hour {
		t.Fatalf("read back: %+v, %v", again, err)
	}
	if b2, _ := again.Encode(); !bytes.Equal(b, b2) {
		t.Error("the same solution has a different encoding")
	}
	for n := range b {
		if got, err := ReadSolution(b[:n]); err == nil || got != nil {
			t.Fatalf("cut at byte %d: no error: %+v", n, got)
		}
		changed := bytes.Clone(b)
		changed[n] ^= 0x20
		if _, err := ReadSolution(changed); err == nil {
			t.Fatalf("byte %d changed: no error", n)
		}
	}
	if _, err := ReadSolution(append(bytes.Clone(b), 'x')); err == nil || !strings.Contains(err.Error(), "added to") {
		t.Errorf("byte added: %v", err)
	}
	newer := bytes.Replace(b, []byte("eiderhold-shares 1 "), []byte("eiderhold-shares 2 "), 1)
	if _, err := ReadSolution(newer); !errors.Is(err, sealed.ErrNewerFormat) || !strings.Contains(err.Error(), "format 2") {
		t.Errorf("a newer format: %v", err)
	}
	if err := s.CheckInputs(Digest(p)); err != nil {
		t.Error(err)
	}
	p.Volumes[3].Demand++
	if err := s.CheckInputs(Digest(p)); !errors.Is(err, ErrInputs) {
		t.Errorf("other inputs: %v", err)
	}
	q := *p
	q.Volumes = append(p.Volumes[5:len(p.Volumes):len(p.Volumes)], p.Volumes[:5]...)
	if Digest(&q) != Digest(p) {
		t.Error("the digest depends on the order of volumes in the file")
	}
}

// TestInvalidSolutions checks the errors for solutions with invalid values.
func TestInvalidSolutions(t *testing.T) {
	for want, change := range map[string]func(*Solution){
		"version = 0":                                           func(s *Solution) { s.Version = 0 },
		"a duration like 24h":                                   func(s *Solution) { s.For = "day" },
		"at: the time":                                          func(s *Solution) { s.At = time.Time{} },
		"nodes: expected in order":                              func(s *Solution) { s.Nodes[0], s.Nodes[1] = s.Nodes[1], s.Nodes[0] },
		"is not among the solution's nodes":                     func(s *Solution) { s.Nodes = s.Nodes[1:] },
		`weights: volume "v00"`:                                 func(s *Solution) { delete(s.Weights, "v00") },
		`shares: volume "v00": expected one for each`:           func(s *Solution) { delete(s.Shares, "v00") },
		`shares: volume "v01" at`:                               func(s *Solution) { s.Shares["v01"][s.Placement["v01"][0]] = -1 },
		`placement of volume "v02": expected one or more nodes`: func(s *Solution) { s.Placement["v02"] = nil },
		"met: volume":                                           func(s *Solution) { s.Met = []string{"v99"} },
		"the same volumes":                                      func(s *Solution) { delete(s.Placement, "v03"); s.Met = nil },
	} {
		_, s := testSolution(t)
		change(s)
		if _, err := s.Encode(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error with %q: got %v", want, err)
		}
	}
}

func TestDiff(t *testing.T) {
	_, a := testSolution(t)
	if d := Diff(a, a); len(d.Changed)+len(d.Added)+len(d.Removed)+d.Moves != 0 {
		t.Errorf("of equal solutions: %+v", d)
	}
	b := *a
	b.Version = 8
	b.Placement, b.Shares, b.Weights = maps.Clone(a.Placement), maps.Clone(a.Shares), maps.Clone(a.Weights)
	b.Placement["v00"], b.Shares["v00"] = []string{"n9"}, map[string]int64{"n9": 5}
	delete(b.Placement, "v01")
	b.Placement["v99"] = []string{"n0"}
	b.Weights["v02"] = 9
	d := Diff(a, &b)
	if fmt.Sprint(d.Added, d.Removed) != "[v99] [v01]" || len(d.Changed) != 2 || d.Changed[0].Volume != "v00" || d.Moves != 1 ||
		fmt.Sprint(d.Changed[0].NodesAdded) != "[n9]" || d.Changed[0].After != 5 || d.Changed[1].Weights[1] != 9 {
		t.Errorf("difference %+v", d)
	}
}

// FuzzReadSolution checks that any input gives an error or a solution that can be encoded.
func FuzzReadSolution(f *testing.F) {
	_, s := testSolution(f)
	b, _ := s.Encode()
	f.Add(b)
	f.Add([]byte("eiderhold-shares 1 0 00\n"))
	f.Add([]byte("eiderhold-shares 1 3 af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262\n{}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := ReadSolution(b); err == nil {
			if _, err := s.Encode(); err != nil {
				t.Fatalf("decoded, but cannot be encoded: %v", err)
			}
		}
	})
}
