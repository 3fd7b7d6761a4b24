package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderhold/internal/config"
	"eiderhold/internal/standin"
)

// TestKilledWhileDataMoves adds a node to three that hold all data and repeatedly kills the gateway's process while
// it moves data there, each time after a further copy on the new node. In the end all files must be complete and no
// item may remain on two nodes.
func TestKilledWhileDataMoves(t *testing.T) {
	const files, size = 30, 30_000
	site, settings := startSite(t, func(c *config.Config) { c.Moves.Rate = 400_000 })
	dir := filepath.Join(filepath.Dir(settings), "data")
	limitDisk := func(shard int) *standin.Disk {
		d, err := site.Disk(shard)
		if err != nil {
			t.Fatal(err)
		}
		d.Limit(20*size, 0)
		return d
	}
	for i := range 3 {
		limitDisk(i)
	}
	cmd, addr := startServe(t, settings)
	var tree []standin.ClientFile
	for i := range files {
		tree = append(tree, standin.ClientFile{Path: fmt.Sprint("f", i), Data: randomBytes(int64(i), size), MTime: 1})
	}
	if rep, err := (&standin.Client{Addr: addr}).Push(context.Background(), "records", "", tree); err != nil || len(rep.Messages) > 0 {
		t.Fatal(err, rep.Messages)
	}
	items := func() (sum int) {
		for i := range 4 {
			if d, err := site.Disk(i); err == nil {
				sum += d.Items()
			}
		}
		return sum
	}
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for limit := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("not within a minute: %s", what)
			}
		}
	}
	before := items()
	newDisk := limitDisk(3)
	if _, err := site.Add(standin.NodeOptions{ID: "node-3", Shard: 3, Cores: 4, Queue: 256}); err != nil {
		t.Fatal(err)
	}
	if out, status := runProgram(t, "space", "moves", "--dir", t.TempDir()); status != exitError || !strings.Contains(out, "no gateway is running") {
		t.Errorf("without a gateway: %d %s", status, out)
	}
	waitFor("all to have reported", func() bool {
		out, status := runProgram(t, "space", "--dir", dir)
		return status == exitOK && strings.Contains(out, "node-3") && !strings.Contains(out, "not told")
	})
	waitFor("moves to begin", func() bool {
		out, status := runProgram(t, "space", "rebalance", "--dir", dir, "--detach", "--least", "0.01")
		if status != exitOK {
			t.Fatalf("rebalance: status %d: %s", status, out)
		}
		return strings.Contains(out, "moves begun")
	})
	for kill := range 5 { // each after one more copy
		waitFor("copies on the new node", func() bool { return newDisk.Items() > kill })
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		cmd, addr = startServe(t, settings)
	}
	waitFor("the moves' end", func() bool {
		out, status := runProgram(t, "space", "moves", "--dir", dir)
		return status == exitOK && !strings.Contains(out, "copying") && !strings.Contains(out, "waiting") &&
			!strings.Contains(out, "switching") && !strings.Contains(out, "retiring") && !strings.Contains(out, "undoing")
	})
	waitFor("what was left behind to be collected", func() bool { return items() == before })
	rep, err := (&standin.Client{Addr: addr}).Pull(context.Background(), "records", "", nil)
	if err != nil || len(rep.Messages) > 0 {
		t.Fatal(err, rep.Messages)
	}
	whole := 0
	for _, f := range rep.Files {
		var n int
		if _, err := fmt.Sscanf(f.Path, "f%d", &n); err == nil && string(f.Data) == string(randomBytes(int64(n), size)) {
			whole++
		}
	}
	if whole != files || newDisk.Items() < 3 {
		t.Errorf("%d of %d files are whole; %d items on the new node", whole, files, newDisk.Items())
	}
	if out, status := runProgram(t, "space", "undo", "--dir", dir, "99999"); status != exitError || !strings.Contains(out, "no move 99999") {
		t.Errorf("undo of none: %d %s", status, out)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}
