package migrate

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"eiderhold/mover"
)

func testRecords() []mover.Record {
	mv := &mover.Move{ID: 3, Volume: "v", Name: "base\x00path", Source: 1, Target: 2, Items: []mover.Item{{Extent: 4, Bytes: 5}}}
	return []mover.Record{{ID: 3, Step: mover.Waiting, Move: mv}, {ID: 3, Step: mover.Copying}, {ID: 3, Step: mover.Undoing, Why: "a test"}}
}

// TestTruncatedLog checks that a log truncated at any byte is read up to its last complete record and can be
// appended to, that a log with a changed byte is read up to the damaged record, and that a file of another
// format is refused.
func TestTruncatedLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), LogFile)
	l, got, torn, err := openLog(path)
	if err != nil || len(got) != 0 || torn != 0 {
		t.Fatal(got, torn, err)
	}
	var ends []int // bytes after each record
	for _, r := range testRecords() {
		if err := l.append([]mover.Record{r}); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, int(info.Size()))
	}
	l.close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) + 1 {
		n := 0
		for n < len(ends) && ends[n] <= cut {
			n++
		}
		if err := os.WriteFile(path, whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		l, got, torn, err := openLog(path)
		if err != nil || len(got) != n || n > 0 && !reflect.DeepEqual(got, testRecords()[:n]) {
			t.Fatalf("cut at %d: %+v, %v", cut, got, err)
		}
		if whole := cut == len(logMagic) || cut == 0 || n > 0 && ends[n-1] == cut; whole != (torn == 0) {
			t.Fatalf("cut at %d: %d bytes dropped", cut, torn)
		}
		if err := l.append(testRecords()[2:]); err != nil {
			t.Fatal(err)
		}
		l.close()
		again, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got, torn, err := parseLog(again); err != nil || torn != 0 || len(got) != n+1 {
			t.Fatalf("cut at %d, then one record appended: %d records, %d bytes dropped, %v", cut, len(got), torn, err)
		}
	}
	whole[ends[0]+recordHeaderBytes+1]++
	if got, torn, err := parseLog(whole); err != nil || len(got) != 1 || torn != len(whole)-ends[0] {
		t.Errorf("a changed byte: %d records, %d bytes dropped, %v", len(got), torn, err)
	}
	if err := os.WriteFile(path, []byte("something else"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := openLog(path); err == nil {
		t.Error("a file of another format is accepted")
	}
}

// FuzzLog checks that no content makes the parser panic, nor a mover that is given the parsed records.
func FuzzLog(f *testing.F) {
	b, err := appendRecords([]byte(logMagic), testRecords())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(logMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, torn, err := parseLog(b)
		if err == nil && (torn < 0 || torn > len(b)) {
			t.Errorf("%d of %d bytes dropped", torn, len(b))
		}
		_, _ = mover.New(mover.Default, got, 0)
	})
}
