package rsync

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	//lint:ignore SA1019 MD4 is the digest of rsync protocol 29.
	"golang.org/x/crypto/md4"
	"pgregory.net/rapid"
)

// TestFileListOrder checks the order of a file list, which defines the file numbers, in protocols 28
// and 29.
func TestFileListOrder(t *testing.T) {
	want := []string{".", "a", "a.txt", "b-", "z", "a-b/", "a-b/x", "a/", "a/b", "a/z", "a/c/", "a/c/d", "aa/", "aa/x"}
	var list []File
	for _, p := range want {
		f := File{Path: strings.TrimSuffix(p, "/"), Mode: typeFile}
		if strings.HasSuffix(p, "/") || p == "." {
			f.Mode = typeDir
		}
		list = append(list, f)
	}
	rng := rand.New(rand.NewSource(1))
	for range 100 {
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		sortList(list, 29)
		for i, f := range list {
			if f.Path != strings.TrimSuffix(want[i], "/") || (f.Mode == typeDir) != (strings.HasSuffix(want[i], "/") || want[i] == ".") {
				t.Fatalf("position %d: %s, want %s", i, f.Path, want[i])
			}
		}
	}
	sortList(list, 28)
	if !slices.IsSortedFunc(list, func(a, b File) int { return strings.Compare(a.Path, b.Path) }) {
		t.Error("before protocol 29 names are compared byte by byte")
	}
}

// TestFileListOrderIsTotal checks that the order of protocol 29 is antisymmetric and transitive for any
// names.
func TestFileListOrderIsTotal(t *testing.T) {
	name := rapid.StringMatching(`[-./ab]{1,6}`)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) File {
			p, err := CleanPath(name.Draw(t, label))
			if err != nil {
				p = "x"
			}
			f := File{Path: p, Mode: typeFile}
			if rapid.Bool().Draw(t, label+" dir") || p == "." {
				f.Mode = typeDir
			}
			return f
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if compareFiles(a, b) != -compareFiles(b, a) {
			t.Fatalf("the order is not antisymmetric: %+v, %+v", a, b)
		}
		if compareFiles(a, b) <= 0 && compareFiles(b, c) <= 0 && compareFiles(a, c) > 0 {
			t.Fatalf("the order is not transitive: %+v, %+v, %+v", a, b, c)
		}
	})
}

func TestCleanPath(t *testing.T) {
	for in, want := range map[string]string{"a": "a", "a/b": "a/b", "./a//b/.": "a/b", ".": ".", "a/..b": "a/..b", "...": "..."} {
		if got, err := CleanPath(in); err != nil || got != want {
			t.Errorf("%q: %q, %v, want %q", in, got, err, want)
		}
	}
	for in, want := range map[string]string{"": "0 bytes", "/a": "absolute", "a/../b": "'..'", "..": "'..'", "a\x00": "NUL",
		strings.Repeat("a/", 3000): "6000 bytes", strings.Repeat("x", 256): "256 bytes"} {
		if got, err := CleanPath(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: %q, %v, want %q", in, got, err, want)
		}
	}
}

func FuzzCleanPath(f *testing.F) {
	f.Add("a/./b")
	f.Add("../x")
	f.Fuzz(func(t *testing.T, in string) {
		p, err := CleanPath(in)
		if err != nil {
			return
		}
		if again, err := CleanPath(p); err != nil || again != p || strings.HasPrefix(p, "/") || slices.Contains(strings.Split(p, "/"), "..") {
			t.Fatalf("%q became %q, then %q, %v", in, p, again, err)
		}
	})
}

func TestFilter(t *testing.T) {
	for _, c := range []struct {
		rules string // separated by |
		path  string
		dir   bool
		out   bool
	}{
		{"- *.o", "a/b.o", false, true},
		{"- *.o", "a/b.c", false, false},
		{"+ keep.o|- *.o", "keep.o", false, false},
		{"- /top", "top", false, true},
		{"- /top", "sub/top", false, false},
		{"- sub/", "sub", true, true},
		{"- sub/", "sub", false, false},
		{"- a/*/c", "x/a/b/c", false, true},
		{"- a/*/c", "a/b/b/c", false, false},
		{"- a/**/c", "a/b/b/c", false, true},
		{"- /*/*", "a/b", false, true},
		{"- /*/*", "a", false, false},
		{"- dir/***", "dir", true, true},
		{"- dir/***", "dir/x/y", false, true},
		{"- [a-c]?", "b1", false, true},
		{"- [!a-c]?", "b1", false, false},
		{`- a\*`, "a*", false, true},
		{`- a\*`, "ab", false, false},
		{"-! *.txt", "a.o", false, true},
		{"-r x", "x", false, false},
		{"H x", "x", false, true},
		{"P x", "x", false, false},
		{"- x|!", "x", false, false},
		{"- [", "[", false, true},
	} {
		f := &filter{}
		for text := range strings.SplitSeq(c.rules, "|") {
			if err := f.add(text, 29); err != nil {
				t.Errorf("rule %s: %v", text, err)
			}
		}
		if got := f.excludes(c.path, c.dir); got != c.out {
			t.Errorf("%q leaves out %s: %v, want %v", c.rules, c.path, got, c.out)
		}
	}
	old := &filter{}
	if err := old.add("*.o", 28); err != nil || !old.excludes("x.o", false) {
		t.Errorf("bare pattern of protocol 28: %v", err)
	}
}

// TestPatternTimeIsBounded checks that matching time does not grow exponentially with the number of stars.
func TestPatternTimeIsBounded(t *testing.T) {
	done := make(chan bool)
	go func() { done <- wildMatch(strings.Repeat("*a", 2000), strings.Repeat("a", 4000)+"b") }()
	select {
	case got := <-done:
		if got {
			t.Error("wildMatch matched, want no match")
		}
	case <-time.After(time.Minute):
		t.Fatal("wildMatch did not return within a minute")
	}
}

func FuzzFilter(f *testing.F) {
	f.Add("- a/**/[b-d]*", "a/x/c")
	f.Add("+ [", "[")
	f.Fuzz(func(t *testing.T, rule, path string) {
		if len(rule) > 200 || len(path) > 200 {
			return
		}
		x := &filter{}
		if x.add(rule, 29) == nil {
			x.excludes(path, false)
		}
	})
}

// TestRollingSum compares the rolled sum with one computed from scratch at each position.
func TestRollingSum(t *testing.T) {
	p := make([]byte, 2000)
	rand.New(rand.NewSource(3)).Read(p)
	const n = 700
	w := newRollingSum(p[:n])
	for i := range len(p) - n {
		if w.sum() != newRollingSum(p[i:i+n]).sum() {
			t.Fatalf("rolled sum differs at offset %d", i)
		}
		w.roll(n, p[i], p[i+n])
	}
	for k := n; k > 1; k-- {
		at := len(p) - k
		if w.sum() != newRollingSum(p[at:]).sum() {
			t.Fatalf("rolled sum differs with %d bytes left", k)
		}
		w.dropFirst(k, p[at])
	}
}

// TestChecksums checks the sums against independently computed values (RFC 1320 for MD4).
func TestChecksums(t *testing.T) {
	if got := newRollingSum([]byte("abc")).sum(); got != 294|(97+195+294)<<16 {
		t.Errorf("weak sum of abc: %x", got)
	}
	if got := newRollingSum([]byte{0xff}).sum(); got != 0xffff|0xffff<<16 {
		t.Errorf("bytes are signed: %x", got)
	}
	want := md4.New()
	want.Write([]byte("abc\x01\x02\x00\x00"))
	if got := strongSum(md4.New(), []byte("abc"), 0x201, nil); string(got) != string(want.Sum(nil)) {
		t.Errorf("strong sum %x", got)
	}
}

func TestChooseBlocks(t *testing.T) {
	for _, size := range []int64{0, 1, 699, 700, 701, 490_000, 490_001, 1 << 20, 64 << 20, 10 << 30} {
		h := chooseBlocks(size, false)
		if h.fileSize() != size || !h.valid() && h.count <= maxBlockSums {
			t.Errorf("%d bytes: %+v make %d", size, h, h.fileSize())
		}
		if size > 0 && (h.strongSize < 2 || h.blockSize < 700 || h.blockSize%4 != 0) {
			t.Errorf("%d bytes: %+v", size, h)
		}
		if size > 0 && chooseBlocks(size, true).strongSize != md4.Size {
			t.Errorf("%d bytes: whole sums are short", size)
		}
	}
}
