package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"pgregory.net/rapid"
)

func open(t testing.TB, dir string) *Catalogue {
	t.Helper()
	c, err := Open(dir, "g", []string{"m"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// wait turns a done callback into a call that waits.
func wait(f func(done func(error))) error {
	ended := make(chan error, 1)
	f(func(err error) { ended <- err })
	return <-ended
}

func (c *Catalogue) mustCommit(t testing.TB, path string, e Entry) {
	t.Helper()
	if err := wait(func(d func(error)) { c.Commit("m", path, e, nil, d) }); err != nil {
		t.Fatal(err)
	}
}

func parts(n int) (list []Part) {
	for i := range n {
		list = append(list, Part{Shard: i % 3, Length: 100 + i, Sum: uint64(i)})
	}
	return list
}

func TestCommitAndRead(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir)
	want := Entry{Mode: 0o100644, Size: 306, MTime: 5, UID: 1, GID: 2, Base: c.NewBase(), Parts: parts(3)}
	want.Parts[1].Try = 2
	c.mustCommit(t, "a/b", want)
	got, ok, err := c.Stat("m", "a/b")
	if err != nil || !ok || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
	x := got.Extents()
	if x[1].Item != want.Base+".1.2" || x[1].Offset != 100 || x[2].Offset != 201 || x[2].Shard != 2 {
		t.Errorf("extents %+v", x)
	}
	within, err := c.Resolve("m", "a/b", 100, 101)
	if err != nil || len(within) != 1 || within[0].Item != x[1].Item {
		t.Errorf("resolved %+v %v", within, err)
	}
	if _, err := c.Resolve("m", "nothing", 0, 1); err == nil || !strings.Contains(err.Error(), "nothing") {
		t.Errorf("resolve of nothing: %v", err)
	}
	if _, _, err := c.Stat("no such module", "a"); err == nil {
		t.Error("no such module")
	}
	if _, err := Open(dir, "g", nil); !errors.Is(err, ErrHeld) {
		t.Errorf("a second opening: %v", err)
	}
	base := c.NewBase()
	c.Close()
	again := open(t, dir)
	if got, ok, _ = again.Stat("m", "a/b"); !ok || got.Base != want.Base {
		t.Errorf("after a restart: %+v %v", got, ok)
	}
	if again.NewBase() == base {
		t.Error("a base was given twice")
	}
	if err := wait(func(d func(error)) { c.Begin("m", "x", 1, d) }); err == nil {
		t.Error("a change after Close")
	}
}

// TestScanAgainstList compares listings with a plain filter over all paths.
func TestScanAgainstList(t *testing.T) {
	name := rapid.StringMatching(`[-.0ab]{1,2}(/[-.0ab]{1,2}){0,2}`)
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		if err != nil {
			rt.Fatal(err)
		}
		c, err := Open(dir, "g", []string{"m"})
		if err != nil {
			rt.Fatal(err)
		}
		defer c.Close()
		all := map[string]bool{}
		for _, p := range rapid.SliceOfN(name, 0, 20).Draw(rt, "paths") {
			all[p] = true
			for i := range p { // the directories that it lies in
				if p[i] == '/' {
					all[p[:i]] = true
				}
			}
		}
		for p := range all {
			c.mustCommit(t, p, Entry{Mode: 1})
		}
		base := rapid.SampledFrom([]string{".", "a", "a-", "0", "a/b"}).Draw(rt, "dir")
		deep, n := rapid.Bool().Draw(rt, "deep"), rapid.IntRange(1, 5).Draw(rt, "n")
		var want []string
		for p := range all {
			rest, ok := p, true
			if base != "." {
				rest, ok = strings.CutPrefix(p, base+"/")
			}
			if ok && p != "." && (deep || !strings.Contains(rest, "/")) {
				want = append(want, p)
			}
		}
		slices.Sort(want)
		var got []string
		for after := ""; ; {
			list, err := c.Scan("m", base, after, deep, n)
			if err != nil {
				rt.Fatal(err)
			}
			for _, e := range list {
				got = append(got, e.Path)
				after = e.Path
			}
			if len(list) < n {
				break
			}
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("below %s, deep %v, by %d: %q, want %q", base, deep, n, got, want)
		}
	})
}

// garbage lists what may be collected.
func (c *Catalogue) garbage(t testing.TB) (items []string, seqs []uint64) {
	t.Helper()
	seqs, list, err := c.Collectable(1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range list {
		g.Items(func(item string, shard int) { items = append(items, fmt.Sprintf("%s@%d", item, shard)) })
	}
	return items, seqs
}

// TestGarbage: what a commit replaces, a push gives up, or a kill leaves behind is
// found again, and nothing else.
func TestGarbage(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir)
	c.mustCommit(t, "f", Entry{Base: "one", Parts: parts(2)})
	pin := c.Pin() // someone reads the old version
	if err := wait(func(d func(error)) { c.Begin("m", "two", 3, d) }); err != nil {
		t.Fatal(err)
	}
	if err := wait(func(d func(error)) {
		c.Commit("m", "f", Entry{Base: "two", Parts: parts(3)}, []Lost{{Index: 1, Try: 0}}, d)
	}); err != nil {
		t.Fatal(err)
	}
	if items, _ := c.garbage(t); len(items) != 0 {
		t.Errorf("collected under a reader: %v", items)
	}
	pin()
	items, seqs := c.garbage(t)
	if want := []string{"two.1@-1", "one.0@0", "one.1@1"}; !slices.Equal(items, want) {
		t.Errorf("after a replacement: %v, want %v", items, want)
	}
	for _, s := range seqs {
		if err := wait(func(d func(error)) { c.Collected(s, d) }); err != nil {
			t.Fatal(err)
		}
	}
	if err := wait(func(d func(error)) { c.Begin("m", "three", 2, d) }); err != nil {
		t.Fatal(err)
	}
	if err := wait(func(d func(error)) {
		c.Abort(Garbage{Volume: "m", Base: "three", Parts: []Part{{Shard: 2}, {Shard: -1, Try: 1}}}, d)
	}); err != nil {
		t.Fatal(err)
	}
	items, seqs = c.garbage(t)
	if want := []string{"three.0@2", "three.1@-1", "three.1.1@-1"}; !slices.Equal(items, want) {
		t.Errorf("after a push was given up: %v, want %v", items, want)
	}
	for _, s := range seqs {
		wait(func(d func(error)) { c.Collected(s, d) })
	}
	if err := wait(func(d func(error)) { c.Begin("m", "four", 2, d) }); err != nil {
		t.Fatal(err)
	}
	if items, _ = c.garbage(t); len(items) != 0 {
		t.Errorf("a push that is under way: %v", items)
	}
	c.Close() // as after a kill: nothing was said of it
	c = open(t, dir)
	if items, _ = c.garbage(t); len(items) != 2*(mostTry+1) || items[0] != "four.0@-1" {
		t.Errorf("after a restart: %v", items)
	}
}

// TestAmendOnlyItsContent: attributes meant for one version do not go to another.
func TestAmendOnlyItsContent(t *testing.T) {
	c := open(t, t.TempDir())
	c.mustCommit(t, "f", Entry{Base: "new", MTime: 1, Parts: parts(1)})
	for _, base := range []string{"old", "new"} {
		if err := wait(func(d func(error)) { c.Amend("m", "f", base, func(e *Entry) { e.MTime++ }, d) }); err != nil {
			t.Fatal(err)
		}
	}
	if e, _, _ := c.Stat("m", "f"); e.MTime != 2 || len(e.Parts) != 1 {
		t.Errorf("%+v", e)
	}
}

// TestOneBadChangeDoesNotFailItsGroup: changes of one transaction end each for itself.
func TestOneBadChangeDoesNotFailItsGroup(t *testing.T) {
	c := open(t, t.TempDir())
	bad := errors.New("on purpose")
	ends := make(chan error, 3)
	hold := make(chan bool)
	c.enqueue(func(error) {}, func(*bolt.Tx) error { <-hold; return nil })
	c.Commit("m", "a", Entry{Mode: 1}, nil, func(err error) { ends <- err })
	c.enqueue(func(err error) { ends <- err }, func(*bolt.Tx) error { return bad })
	c.Commit("m", "b", Entry{Mode: 2}, nil, func(err error) { ends <- err })
	close(hold)
	failed := 0
	for range 3 {
		if err := <-ends; errors.Is(err, bad) {
			failed++
		} else if err != nil {
			t.Error(err)
		}
	}
	_, a, _ := c.Stat("m", "a")
	_, b, _ := c.Stat("m", "b")
	if failed != 1 || !a || !b {
		t.Errorf("%d failed, a %v, b %v", failed, a, b)
	}
}

// TestForeignFiles: what is no catalogue, or a newer one, is left alone with a word.
func TestForeignFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "catalogue.db")
	if err := os.WriteFile(file, []byte(strings.Repeat("not a catalogue", 1000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "g", nil); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("noise: %v", err)
	}
	os.Remove(file)
	c := open(t, dir)
	wait(func(d func(error)) {
		c.enqueue(d, func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyFormat, []byte{9}) })
	})
	c.Close()
	if _, err := Open(dir, "g", nil); err == nil || !strings.Contains(err.Error(), "format") {
		t.Errorf("a newer format: %v", err)
	}
}

// BenchmarkOpen is the start on a catalogue of a million files. Its making is not
// counted.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	c, err := Open(dir, "g", []string{"m"})
	if err != nil {
		b.Fatal(err)
	}
	const files = 1_000_000
	for from := 0; from < files; from += 50_000 {
		err := c.db.Update(func(tx *bolt.Tx) error {
			for i := from; i < from+50_000; i++ {
				e := Entry{Mode: 0o100644, Size: 60_000, Base: fmt.Sprintf("g-1-%x", i), Parts: []Part{{Shard: i % 40, Length: 60_000}}}
				if err := c.put(tx, "m", fmt.Sprintf("d%03d/f%07d", i/1000, i), e); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	c.Close()
	info, _ := os.Stat(filepath.Join(dir, "catalogue.db"))
	b.ResetTimer()
	for range b.N {
		c, err := Open(dir, "g", []string{"m"})
		if err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		began := time.Now()
		for i := range 1000 {
			if _, ok, err := c.Stat("m", fmt.Sprintf("d%03d/f%07d", i, i*1000)); !ok || err != nil {
				b.Fatal(ok, err)
			}
		}
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/1000, "ns/lookup")
		c.Close()
		b.StartTimer()
	}
	b.ReportMetric(float64(info.Size())/files, "bytes/file")
}
