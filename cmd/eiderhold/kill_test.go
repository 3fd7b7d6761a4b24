package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eiderhold/internal/config"
	"eiderhold/internal/standin"
)

// startServe starts eiderhold serve as a process with a settings file and returns the gateway's address.
func startServe(t *testing.T, file string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "serve", "--config", file)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(out).ReadString('\n')
	addr := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "rsync://"), "/")
	if addr == "" {
		cmd.Wait()
		t.Fatalf("serve did not start: %s", log.String())
	}
	return cmd, addr
}

// startSite starts three stand-in nodes and writes the settings file of a gateway for them.
func startSite(t *testing.T, change func(*config.Config)) (*standin.Site, string) {
	t.Helper()
	site, err := standin.StartSite("", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	for i := range 3 {
		if _, err := site.Add(standin.NodeOptions{ID: fmt.Sprintf("node-%d", i), Shard: i, Cores: 4, Queue: 256,
			KeyWindow: 1200 * time.Millisecond, UnitTime: 500 * time.Microsecond}); err != nil {
			t.Fatal(err)
		}
	}
	cfg := config.Default()
	cfg.Gateway.Dir, cfg.Register.URL, cfg.Rsync.Listen = "data", site.Register.URL(), "127.0.0.1:0"
	if change != nil {
		change(cfg)
	}
	text, err := cfg.Text()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "gateway.toml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
	return site, file
}

func randomBytes(seed int64, n int) []byte {
	p := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(p)
	return p
}

// TestKilledDuringPushes repeatedly kills a gateway's process while clients push new versions of ten files,
// and restarts it on the same folder. Every push that was confirmed to a client must be there, and every
// listed file must be complete. In the end the items that interrupted pushes left must be deleted.
func TestKilledDuringPushes(t *testing.T) {
	site, file := startSite(t, nil)
	rng := rand.New(rand.NewSource(20261201))
	const files = 10
	version := make([]int, files)   // newest version of which a push was begun
	confirmed := make([]int, files) // newest version that was confirmed to a client
	bytesOf := func(i, v int) []byte { return randomBytes(int64(i*1000+v), 200_000+i*30_000) }
	for round := range 6 {
		cmd, addr := startServe(t, file)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range files {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					version[i]++
					v := version[i]
					f := standin.ClientFile{Path: fmt.Sprint("f", i), Data: bytesOf(i, v), MTime: int64(v)}
					rep, err := (&standin.Client{Addr: addr}).Push(ctx, "records", "", []standin.ClientFile{f})
					if err == nil && rep.Complete && len(rep.Messages) == 0 {
						confirmed[i] = v
					}
				}
			}()
		}
		time.Sleep(time.Duration(150+rng.Intn(300)) * time.Millisecond) // the exact moment does not matter
		cmd.Process.Kill()
		cmd.Wait()
		cancel()
		wg.Wait()

		cmd, addr = startServe(t, file)
		found := map[int]bool{}
		for try := 0; ; try++ { // the gateway may not have its node list yet
			rep, err := (&standin.Client{Addr: addr}).Pull(context.Background(), "records", "", nil)
			if err == nil && len(rep.Messages) == 0 {
				for _, f := range rep.Files {
					var i int
					if _, err := fmt.Sscanf(f.Path, "f%d", &i); err != nil {
						continue
					}
					found[i] = true
					v := int(f.MTime)
					if v < confirmed[i] || v > version[i] || string(f.Data) != string(bytesOf(i, v)) {
						t.Fatalf("round %d: %s is of version %d with %d bytes; confirmed %d, begun %d", round, f.Path, v,
							len(f.Data), confirmed[i], version[i])
					}
				}
				break
			}
			if try == 200 {
				t.Fatalf("round %d: %v %q", round, err, rep.Messages)
			}
			time.Sleep(10 * time.Millisecond)
		}
		for i, v := range confirmed {
			if v > 0 && !found[i] {
				t.Fatalf("round %d: f%d is not listed; it was confirmed at version %d", round, i, v)
			}
		}
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Fatalf("round %d: after SIGTERM: %v", round, err)
		}
	}
	total := 0
	for _, v := range confirmed {
		total += v
	}
	if total == 0 {
		t.Error("no push was ever confirmed")
	}

	// The items that the kills left behind are deleted in the end.
	cmd, _ := startServe(t, file)
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	want := 0
	for i := range files {
		want += (200_000 + i*30_000 + 262143) / 262144
	}
	items := 0
	for limit := time.Now().Add(60 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		items = 0
		for i := range 3 {
			d, _ := site.Disk(i)
			items += d.Items()
		}
		if items == want {
			return
		}
	}
	t.Errorf("%d items on the nodes, want the %d that belong to files", items, want)
}

// TestSignals checks that SIGHUP applies new modules completely or not at all, that SIGTERM ends with
// status 0, and that two processes cannot use the same folder.
func TestSignals(t *testing.T) {
	_, file := startSite(t, nil)
	cmd, addr := startServe(t, file)
	second := exec.Command(os.Args[0], "serve", "--config", file)
	second.Env = append(os.Environ(), runMainEnv+"=1")
	if out, err := second.CombinedOutput(); err == nil || !strings.Contains(string(out), "another process has the catalogue open") {
		t.Errorf("a second process on the folder: %v %s", err, out)
	}
	text, _ := os.ReadFile(file)
	change := func(from, to string) {
		if err := os.WriteFile(file+".new", []byte(strings.Replace(string(text), from, to, 1)), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil { // the gateway must not read a half-written file
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	readOnly := func() bool {
		rep, _ := (&standin.Client{Addr: addr}).Push(context.Background(), "records", "", []standin.ClientFile{{Path: "f", Data: []byte("x"), MTime: 1}})
		return strings.Contains(strings.Join(rep.Messages, ""), "read only")
	}
	change("read_only = false", "read_only = true")
	for limit := time.Now().Add(20 * time.Second); !readOnly(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the reload was not applied")
		}
	}
	change("read_only = false", "read_only = maybe") // none of it is applied
	change("tries = 4", "tries = 9")
	if !readOnly() {
		t.Error("an invalid reload changed the settings")
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}

// TestRecordedRunReplays records a gateway with a failing node until it is killed, and replays the record
// on a new controller.
func TestRecordedRunReplays(t *testing.T) {
	site, file := startSite(t, func(c *config.Config) {
		c.Recorder.On, c.Recorder.FileBytes = true, 1<<16
		c.Recorder.MaxFiles = 1000
	})
	cmd, addr := startServe(t, file)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range 6 {
				f := standin.ClientFile{Path: fmt.Sprint("f", i), Data: randomBytes(int64(i), 300_000), MTime: int64(k + 1)}
				c := &standin.Client{Addr: addr, Timeout: 2 * time.Second}
				c.Push(context.Background(), "records", "", []standin.ClientFile{f}) // some fail, which the record has to cover too
				(&standin.Client{Addr: addr, Timeout: 2 * time.Second}).Pull(context.Background(), "records", "", nil)
				if i == 0 && k == 2 {
					site.Node("node-1").Set(func(x *standin.Trouble) { x.ErrorPart, x.LostPart = 0.3, 0.2 })
				}
			}
		}()
	}
	wg.Wait()
	cmd.Process.Kill()
	cmd.Wait()
	files, err := filepath.Glob(filepath.Join(filepath.Dir(file), "data", "record", "batches-*"))
	if err != nil || len(files) < 2 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	out, status := runProgram(t, append([]string{"replay"}, files...)...)
	if status != exitOK || !strings.Contains(out, "the same") {
		t.Errorf("status %d: %s", status, out)
	}
	if out, status = runProgram(t, "replay", files[1]); status != exitError || !strings.Contains(out, "an earlier file is missing") {
		t.Errorf("without the first file: status %d: %s", status, out)
	}
}

// TestSecondSignalEndsAtOnce checks that a second SIGTERM ends a gateway that still waits for a transfer that
// cannot end.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	site, file := startSite(t, nil)
	cmd, addr := startServe(t, file)
	f := standin.ClientFile{Path: "f", Data: randomBytes(1, 4<<20), MTime: 1}
	for try := 0; ; try++ {
		if rep, err := (&standin.Client{Addr: addr}).Push(context.Background(), "records", "", []standin.ClientFile{f}); err == nil && len(rep.Messages) == 0 {
			break
		} else if try == 200 {
			t.Fatal(err, rep.Messages)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, id := range site.IDs() {
		site.Node(id).Set(func(x *standin.Trouble) { x.Hang = true })
	}
	arrived := func() (n int) {
		for _, id := range site.IDs() {
			n += site.Node(id).Counts().Arrived
		}
		return n
	}
	before := arrived()
	go (&standin.Client{Addr: addr}).Pull(context.Background(), "records", "f", nil)
	for limit := time.Now().Add(20 * time.Second); arrived() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) { // the first signal waits only for a transfer that has begun
			t.Fatal("no request of the transfer reached a node")
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	closed := func() bool { // the first signal was handled: new clients are rejected
		rep, err := (&standin.Client{Addr: addr}).Pull(context.Background(), "records", "", nil)
		return rep.Exit(err) == 5
	}
	for limit := time.Now().Add(20 * time.Second); !closed(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the first signal was not handled")
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); cmd.ProcessState.ExitCode() != exitNegative {
		t.Errorf("ended with %v", err)
	}
}

// TestKilledWhileNodesFill fills three nodes while the gateway's process is killed repeatedly. Files that were
// confirmed must be there and complete. Once all nodes are full, pushes must be refused with the cause, and
// they must be accepted again when a node has room.
func TestKilledWhileNodesFill(t *testing.T) {
	const nodes, size = 3, 100_000
	site, file := startSite(t, nil)
	for i := range nodes {
		d, err := site.Disk(i)
		if err != nil {
			t.Fatal(err)
		}
		d.Limit(8*size, 0)
	}
	push := func(addr string, n int) (bool, string) {
		f := standin.ClientFile{Path: fmt.Sprint("f", n), Data: randomBytes(int64(n), size), MTime: 1}
		rep, err := (&standin.Client{Addr: addr}).Push(context.Background(), "records", "", []standin.ClientFile{f})
		if err != nil {
			return false, err.Error()
		}
		return rep.Complete && len(rep.Messages) == 0, strings.Join(rep.Messages, "\n")
	}
	var confirmed []int
	next := 0
	for _, upTo := range []int{5, 11, 17} {
		cmd, addr := startServe(t, file)
		for len(confirmed) < upTo {
			if ok, _ := push(addr, next); ok {
				confirmed = append(confirmed, next)
			}
			next++
		}
		done := make(chan bool)
		go func() { // a push is in progress when the process is killed
			ok, _ := push(addr, next)
			done <- ok
		}()
		cmd.Process.Kill()
		cmd.Wait()
		if <-done {
			confirmed = append(confirmed, next)
		}
		next++
	}
	_, addr := startServe(t, file)
	for limit := time.Now().Add(time.Minute); ; {
		ok, said := push(addr, next)
		if ok {
			confirmed = append(confirmed, next)
		} else if strings.Contains(said, "none of 3 shards takes new data") {
			break
		}
		next++
		if time.Now().After(limit) {
			t.Fatalf("no refusal after %d confirmed files of %d bytes on nodes with room for 24: %q", len(confirmed), size, said)
		}
	}
	rep, err := (&standin.Client{Addr: addr}).Pull(context.Background(), "records", "", nil)
	if err != nil || len(rep.Messages) > 0 {
		t.Fatal(err, rep.Messages)
	}
	whole := map[string]bool{}
	for _, f := range rep.Files {
		var n int
		if _, err := fmt.Sscanf(f.Path, "f%d", &n); err == nil {
			whole[f.Path] = string(f.Data) == string(randomBytes(int64(n), size))
		}
	}
	for _, n := range confirmed {
		if !whole[fmt.Sprint("f", n)] {
			t.Errorf("f%d was confirmed but is missing or incomplete", n)
		}
	}
	if len(whole) < 15 || len(whole) > 24 {
		t.Errorf("%d files of %d bytes are complete, want 15 to 24", len(whole), size)
	}
	d, _ := site.Disk(1)
	d.Limit(100*size, 0)
	for limit := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
		ok, said := push(addr, next)
		if ok {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("refused although a node has room: %q", said)
		}
	}
}
