package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eiderhold/extentmap"
	"eiderhold/internal/mapfile"
)

// TestMapCommands runs the map commands on two snapshots, of which the second has a range moved, and on a damaged
// one. The damage must be found, and the contents of the intact blocks must still be shown.
func TestMapCommands(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	m, err := extentmap.New(100_000)
	if err != nil {
		t.Fatal(err)
	}
	i := uint64(0)
	if _, err := m.Snapshot(1, 9, func() (r extentmap.Run, ok bool, err error) {
		r = extentmap.Run{Range: extentmap.Range{Volume: "records", From: i * 10, To: i*10 + 10}, Location: extentmap.Location{Shard: int32(i % 7)}, Version: 9}
		i++
		return r, i <= 20_000, nil
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := mapfile.Save(path("old"), m.View()); err != nil {
		t.Fatal(err)
	}
	moved := extentmap.Run{Range: extentmap.Range{Volume: "records", From: 15, To: 25}, Location: extentmap.Location{Shard: 8, Epoch: 2}}
	if _, err := m.Apply(extentmap.Delta{Term: 1, Version: 10, Runs: []extentmap.Run{moved}}); err != nil {
		t.Fatal(err)
	}
	if _, err := mapfile.Save(path("new"), m.View()); err != nil {
		t.Fatal(err)
	}
	wantOutput := func(want string, status int, args ...string) {
		t.Helper()
		if out, got := runProgram(t, append([]string{"map"}, args...)...); got != status || !strings.Contains(out, want) {
			t.Errorf("map %v: status %d, want %d with %q:\n%s", args, got, status, want, out)
		}
	}
	wantOutput("version 10 of term 1, 200,000 extents in 20,001 runs", exitOK, "show", path("new"))
	wantOutput("shard 8, epoch 2, as of version 10; extents 15 to 24 lie there", exitOK, "lookup", path("new"), "records", "17")
	wantOutput("is not known there", exitNegative, "lookup", path("new"), "records", "200000")
	wantOutput("is not known there", exitNegative, "lookup", path("new"), "records", "18446744073709551615")
	wantOutput("a number from 0 on", exitError, "lookup", path("new"), "records", "x")
	wantOutput("2 ranges of 10 extents differ", exitNegative, "diff", path("old"), path("new"))
	wantOutput("0 ranges of 0 extents differ", exitOK, "diff", path("new"), path("new"))
	wantOutput("20001 of 20001 runs", exitOK, "verify", path("new"))
	wantOutput("20001 rows", exitOK, "export", path("new"), path("columns.parquet"))
	wantOutput("version 10 of term 1, 20001 runs", exitOK, "import", path("columns.parquet"), path("back"))
	wantOutput("0 ranges of 0 extents differ", exitOK, "diff", path("new"), path("back"))
	wantOutput("not a snapshot", exitError, "verify", path("columns.parquet"))
	wantOutput("", exitError, "import", path("new"), path("none"))

	b, err := os.ReadFile(path("new"))
	if err != nil {
		t.Fatal(err)
	}
	b[mapfile.HeaderBytes+mapfile.BlockBytes+100]++
	if err := os.WriteFile(path("torn"), b, 0o644); err != nil {
		t.Fatal(err)
	}
	wantOutput("block 1: its checksum does not fit", exitNegative, "verify", path("torn"))
	wantOutput("shard 8, epoch 2", exitOK, "lookup", path("torn"), "records", "17")
	out, status := runProgram(t, "map", "show", path("torn"), "--output", "json")
	var s mapSummary
	if err := json.Unmarshal([]byte(out[strings.Index(out, "{"):]), &s); err != nil || status != exitOK || len(s.Damaged) != 1 ||
		len(s.Volumes) != 1 || s.Volumes[0].Runs == 0 || s.Volumes[0].Runs >= s.Runs {
		t.Errorf("show of a damaged snapshot: %d, %v: %+v", status, err, s)
	}
}
