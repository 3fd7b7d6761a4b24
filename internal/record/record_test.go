package record

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderhold/control"
)

var testSettings = control.Settings{Hosts: 1, LoadFields: []string{"queue", "latency_ms"}, MaxAttempts: 4, SecondCopies: true,
	Classes: []control.Class{{Name: "read", Aim: 100 * time.Millisecond, Deadline: time.Second, Worth: 1}}}

// recordRun records requests, one each step, and their outcomes, and returns the record's files.
func recordRun(t testing.TB, opt Options, steps int) []string {
	t.Helper()
	w, err := NewWriter(opt, testSettings, 7)
	if err != nil {
		t.Fatal(err)
	}
	c, _ := control.New(testSettings, 7)
	now := time.Hour
	step := func(events ...control.Event) []control.Action {
		a := c.Step(now, events)
		w.Batch(now, events, a)
		return a
	}
	step(control.NodeList{Kind: control.ListFull, Nodes: []control.Node{{ID: "n"}, {ID: "m", Shard: 1}}})
	for i := range steps {
		now += 7 * time.Millisecond
		id := fmt.Sprint(i)
		for _, a := range step(control.Request{ID: id, Class: "read", Volume: "v", Shard: control.AnyShard, Expires: time.Second}) {
			if s, ok := a.(control.Send); ok {
				now += 3 * time.Millisecond
				step(control.Outcome{ID: s.ID, Node: s.Node, Result: control.Result(i % 3), Elapsed: 3 * time.Millisecond,
					Closed: i%3 == 0, Load: []float64{1, 2.5}})
			}
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(opt.Dir, "batches-*"))
	return files
}

func TestReplayReproducesActions(t *testing.T) {
	files := recordRun(t, Options{Dir: t.TempDir(), FileBytes: 4000, Files: 1000}, 200)
	if len(files) < 3 {
		t.Fatalf("%d files, want 3 or more", len(files))
	}
	res, err := Replay(files, nil)
	if err != nil || res.Truncated || res.Actions < 200 {
		t.Fatalf("replay: %+v, %v", res, err)
	}
	if _, err := Replay(files[1:], nil); err == nil || !strings.Contains(err.Error(), "earlier file is missing") {
		t.Errorf("without the first file: %v", err)
	}
}

func TestReplayReportsDifference(t *testing.T) {
	dir := t.TempDir()
	w, _ := NewWriter(Options{Dir: dir, FileBytes: 1 << 20, Files: 1}, testSettings, 7)
	w.Batch(time.Second, []control.Event{control.Request{ID: "x", Class: "no such"}}, []control.Action{control.Refuse{ID: "x"}})
	w.Close()
	files, _ := filepath.Glob(filepath.Join(dir, "batches-*"))
	_, err := Replay(files, nil)
	var d *Difference
	if !errors.As(err, &d) || d.Batch != 0 || !strings.Contains(err.Error(), "recorded control.Refuse") {
		t.Fatalf("replay of a record with another action: %v, want a Difference in batch 0", err)
	}
}

func TestRotationIsBounded(t *testing.T) {
	files := recordRun(t, Options{Dir: t.TempDir(), FileBytes: 2000, Files: 2}, 300)
	if len(files) != 2 {
		t.Fatalf("%d files kept, want 2", len(files))
	}
}

// TestTruncatedAndDamaged cuts a record at every byte, which must keep the complete batches, and flips
// bits, which must be detected.
func TestTruncatedAndDamaged(t *testing.T) {
	files := recordRun(t, Options{Dir: t.TempDir(), FileBytes: 1 << 20, Files: 1}, 5)
	whole, _ := os.ReadFile(files[0])
	cut := filepath.Join(t.TempDir(), "cut")
	last := uint64(0)
	for n := range whole {
		os.WriteFile(cut, whole[:n], 0o644)
		res, err := Replay([]string{cut}, nil)
		if err != nil && last > 0 {
			t.Fatalf("cut at %d: %v", n, err)
		}
		if res.Batches < last {
			t.Fatalf("cut at %d: %d batches, %d before", n, res.Batches, last)
		}
		last = res.Batches
	}
	for at := len(magic); at < len(whole); at += 3 {
		bad := append([]byte(nil), whole...)
		bad[at] ^= 0x10
		os.WriteFile(cut, bad, 0o644)
		if res, err := Replay([]string{cut}, nil); err == nil && !res.Truncated {
			t.Fatalf("flipped bit in byte %d was not detected", at)
		}
	}
}

func FuzzReader(f *testing.F) {
	files := recordRun(f, Options{Dir: f.TempDir(), FileBytes: 1 << 20, Files: 1}, 3)
	whole, _ := os.ReadFile(files[0])
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := NewReader(strings.NewReader(string(b)), "fuzz")
		for err == nil {
			_, err = r.Next()
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	})
}
