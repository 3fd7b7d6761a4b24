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

// wait calls f with a callback and returns the error that the callback receives.
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

func testParts(n int) (list []Part) {
	for i := range n {
		list = append(list, Part{Shard: i % 3, Length: 100 + i, Sum: uint64(i)})
	}
	return list
}

func TestCommitAndRead(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir)
	want := Entry{Mode: 0o100644, Size: 306, MTime: 5, UID: 1, GID: 2, Base: c.NewItemPrefix(), Parts: testParts(3)}
	want.Parts[1].Try = 2
	c.mustCommit(t, "a/b", want)
	got, ok, err := c.Stat("m", "a/b")
	if err != nil || !ok || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("entry %+v, found %v, %v", got, ok, err)
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
		t.Errorf("resolve of a missing file: %v", err)
	}
	if _, _, err := c.Stat("no such module", "a"); err == nil {
		t.Error("stat in a missing module: no error")
	}
	if _, err := Open(dir, "g", nil); !errors.Is(err, ErrLocked) {
		t.Errorf("second Open: %v, want %v", err, ErrLocked)
	}
	base := c.NewItemPrefix()
	c.Close()
	again := open(t, dir)
	if got, ok, _ = again.Stat("m", "a/b"); !ok || got.Base != want.Base {
		t.Errorf("after a restart: %+v %v", got, ok)
	}
	if again.NewItemPrefix() == base {
		t.Errorf("base %q was returned twice", base)
	}
	if err := wait(func(d func(error)) { c.Begin("m", "x", 1, d) }); err == nil {
		t.Error("change after Close: no error")
	}
}

// TestScanMatchesFilter compares Scan's pages with a filter over all paths.
func TestScanMatchesFilter(t *testing.T) {
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
			for i := range p { // its parent directories
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
			rt.Fatalf("directory %s, deep %v, %d a page: %q, want %q", base, deep, n, got, want)
		}
	})
}

// garbage returns the collectable items, as ITEM@SHARD, and the sequence numbers of their records.
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

// TestGarbage checks that exactly the items that a commit replaces, an aborted push wrote or a
// killed process left behind become collectable, and not before their readers have finished.
func TestGarbage(t *testing.T) {
	dir := t.TempDir()
	c := open(t, dir)
	c.mustCommit(t, "f", Entry{Base: "one", Parts: testParts(2)})
	pin := c.Pin() // a reader of the old version
	if err := wait(func(d func(error)) { c.Begin("m", "two", 3, d) }); err != nil {
		t.Fatal(err)
	}
	if err := wait(func(d func(error)) {
		c.Commit("m", "f", Entry{Base: "two", Parts: testParts(3)}, []OrphanItem{{Index: 1, Try: 0}}, d)
	}); err != nil {
		t.Fatal(err)
	}
	if items, _ := c.garbage(t); len(items) != 0 {
		t.Errorf("collectable while a reader needs them: %v", items)
	}
	pin()
	items, seqs := c.garbage(t)
	if want := []string{"two.1@-1", "one.0@0", "one.1@1"}; !slices.Equal(items, want) {
		t.Errorf("after a replacement: %v, want %v", items, want)
	}
	for _, s := range seqs {
		if err := wait(func(d func(error)) { c.RemoveGarbage(s, d) }); err != nil {
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
		t.Errorf("after an aborted push: %v, want %v", items, want)
	}
	for _, s := range seqs {
		wait(func(d func(error)) { c.RemoveGarbage(s, d) })
	}
	if err := wait(func(d func(error)) { c.Begin("m", "four", 2, d) }); err != nil {
		t.Fatal(err)
	}
	if items, _ = c.garbage(t); len(items) != 0 {
		t.Errorf("collectable during a push: %v", items)
	}
	c.Close() // neither commits nor aborts the push, as when the process is killed
	c = open(t, dir)
	if items, _ = c.garbage(t); len(items) != 2*(maxTry+1) || items[0] != "four.0@-1" {
		t.Errorf("after a restart: %v", items)
	}
}

// TestUpdateAttributesMatchesBase checks that attributes meant for one version are not applied to another.
func TestUpdateAttributesMatchesBase(t *testing.T) {
	c := open(t, t.TempDir())
	c.mustCommit(t, "f", Entry{Base: "new", MTime: 1, Parts: testParts(1)})
	for _, base := range []string{"old", "new"} {
		if err := wait(func(d func(error)) { c.UpdateAttributes("m", "f", base, func(e *Entry) { e.MTime++ }, d) }); err != nil {
			t.Fatal(err)
		}
	}
	if e, _, _ := c.Stat("m", "f"); e.MTime != 2 || len(e.Parts) != 1 {
		t.Errorf("entry %+v", e)
	}
}

// TestFailedChangeDoesNotFailGroup checks that one failing change does not fail the others that
// were grouped into its transaction.
func TestFailedChangeDoesNotFailGroup(t *testing.T) {
	c := open(t, t.TempDir())
	bad := errors.New("injected failure")
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

// TestOpenRejectsForeignFiles checks that Open returns an error for a file that is not a catalogue
// and for a catalogue of a newer format.
func TestOpenRejectsForeignFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "catalogue.db")
	if err := os.WriteFile(file, []byte(strings.Repeat("not a catalogue", 1000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "g", nil); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("not a catalogue: %v", err)
	}
	os.Remove(file)
	c := open(t, dir)
	wait(func(d func(error)) {
		c.enqueue(d, func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyFormat, []byte{9}) })
	})
	c.Close()
	if _, err := Open(dir, "g", nil); err == nil || !strings.Contains(err.Error(), "format") {
		t.Errorf("newer format: %v", err)
	}
}

// BenchmarkOpen measures Open on a catalogue of a million files, without the time to create it.
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
