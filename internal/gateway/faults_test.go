package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeebo/blake3"

	"eiderhold/internal/audit"
	"eiderhold/internal/config"
	"eiderhold/internal/host"
	"eiderhold/internal/standin"
)

// TestNodeDrainDuringPull drains the node that holds a large file while a client pulls the
// file slowly. After the drain grace no new request may arrive at the node, and the successor
// that takes over its shard must serve the rest.
func TestNodeDrainDuringPull(t *testing.T) {
	dir := t.TempDir()
	trace, err := audit.Create(dir, "sockets")
	if err != nil {
		t.Fatal(err)
	}
	r := newTracedFixture(t, 2, standin.NodeOptions{UnitTime: 10 * time.Millisecond}, func(c *config.Config) {
		c.Safety.DrainGrace = config.Duration(300 * time.Millisecond)
		c.Pacing.MaxWindow = 2
		c.Safety.ColdFor = 0
	}, trace)
	restore := r.onlyReady("node-1", 2)
	f := testFile("long", content(1, 8<<20)) // 32 extents of 40 ms
	r.push("", f)
	restore()

	ended := make(chan error, 1)
	go func() {
		rep, err := r.client().Pull(context.Background(), "records", "long", nil)
		if err == nil && (len(rep.Files) != 1 || string(rep.Files[0].Data) != string(f.Data)) {
			err = fmt.Errorf("%d files or other content, said %q", len(rep.Files), rep.Messages)
		}
		ended <- err
	}()
	old := r.site.Node("node-1")
	before := old.Counts().Arrived
	r.waitFor("the first extents", func() bool { return old.Counts().Arrived >= before+3 })
	next, err := r.site.Replace("node-1", "node-9", 600*time.Millisecond, func(d time.Duration) { time.Sleep(d) })
	if err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the transfer: %v", err)
	}
	if next.Counts().Done == 0 {
		t.Error("the successor served nothing")
	}
	if err := trace.Close(); err != nil {
		t.Fatal(err)
	}
	recs, err := audit.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	rep := audit.Check(recs, &audit.Rules{DrainGrace: 300 * time.Millisecond, Travel: 100 * time.Millisecond,
		Classes: []audit.Class{{Name: "record-read", Effect: "safe"}, {Name: "record-write", Effect: "keyed", Group: "cell", Window: 1200 * time.Millisecond}}})
	for _, b := range rep.Breaches {
		t.Errorf("rule %d: %s", b.Rule, b.Text)
	}
	if rep.Checked[3] == 0 {
		t.Error("the audit checked no arrival")
	}
}

// TestInterruptedPush cuts the connection of a push at 50 seeded positions. Each file must be
// completely old or completely new, and the items of aborted pushes must be collected.
func TestInterruptedPush(t *testing.T) {
	r := newFixture(t, 3, standin.NodeOptions{}, nil)
	old := []standin.ClientFile{testFile("a", content(1, 300_000)), testFile("b", content(2, 700_000))}
	fresh := []standin.ClientFile{testFile("a", content(3, 310_000)), testFile("b", content(4, 650_000)), testFile("c", content(5, 200_000))}
	for i := range fresh {
		fresh[i].MTime += 7
	}
	rng := rand.New(rand.NewSource(20261201))
	cuts := 50
	if testing.Short() {
		cuts = 10
	}
	for i := range cuts {
		dir := fmt.Sprintf("d%d/", i)
		r.push(dir, old...)
		c := r.client()
		c.CutAfter = 60 + rng.Int63n(1_160_000)
		rep, err := c.Push(context.Background(), "records", dir, fresh)
		if err == nil {
			t.Fatalf("cut %d at %d: the push succeeded: %+v", i, c.CutAfter, rep)
		}
		r.waitFor("the connection's end", func() bool { return r.gw.Front().Stats().Conns == 0 })
		rep = r.pull(dir)
		got := map[string][]byte{}
		for _, f := range rep.Files {
			got[f.Path] = f.Data
		}
		for k, f := range fresh { // each has the complete old or the complete new content
			data, there := got[f.Path]
			isNew := there && string(data) == string(f.Data)
			isOld := k < 2 && string(data) == string(old[k].Data) || k == 2 && !there
			if !isNew && !isOld {
				t.Fatalf("cut %d at %d: %s has %d bytes, neither the old nor the new content", i, c.CutAfter, f.Path, len(data))
			}
		}
		r.push(dir, fresh...)
		checkPulled(t, r.pull(dir), fresh...)
	}
	r.waitFor("the budget's return", func() bool { return r.gw.Front().Stats().Budget == 0 })
	r.waitFor("the collection of replaced and aborted items", func() bool {
		n := 0
		for i := range 3 {
			d, _ := r.site.Disk(i)
			n += d.Items()
		}
		return n == cuts*(2+3+1)
	})
}

// TestClientStopsReading guards against a gateway that buffers a file without limit for a client that
// does not read, and against such a client delaying others. One client stops reading in the middle of a
// large file while 500 others pull a small one. Memory must stay bounded, the others must all be served,
// and the client that stopped must get its file in the end. It reads again only after the heap has been
// measured: it runs in the same process, so its own copy of the file would count as the gateway's memory.
func TestClientStopsReading(t *testing.T) {
	r := newFixture(t, 4, standin.NodeOptions{}, nil)
	big := testFile("big", content(1, 64<<20))
	small := testFile("small", content(2, 100_000))
	r.push("", big, small)
	runtime.GC()
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)

	ended := make(chan error, 1)
	relay, paused, resume := startPausingRelay(t, r.gw.Addr(), 1<<20)
	defer resume()
	go func() {
		c := &standin.Client{Addr: relay, Timeout: 5 * time.Minute} // as long as the gateway's stall time-out
		rep, err := c.Pull(context.Background(), "records", "big", nil)
		if err == nil && (len(rep.Files) != 1 || blake3.Sum256(rep.Files[0].Data) != blake3.Sum256(big.Data)) {
			err = fmt.Errorf("%d files, said %q", len(rep.Files), rep.Messages)
		}
		ended <- err
	}()
	select {
	case <-paused:
	case err := <-ended:
		t.Fatalf("the large transfer ended before its client stopped reading: %v", err)
	}
	var wg sync.WaitGroup
	errs := make(chan error, 500)
	gate := make(chan bool, 100)
	for range 500 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			gate <- true
			defer func() { <-gate }()
			for range 100 { // a refused client retries
				rep, err := r.client().Pull(context.Background(), "records", "small", nil)
				if err == nil && len(rep.Files) == 1 && len(rep.Files[0].Data) == len(small.Data) {
					return
				}
				if !reportsCause(rep) {
					errs <- fmt.Errorf("%v, said %q", err, rep.Messages)
					return
				}
			}
			errs <- errors.New("not served")
		}()
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
	select {
	case err := <-ended:
		t.Fatalf("the large transfer ended while its client was not reading: %v", err)
	default:
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	if grew := int64(during.HeapAlloc) - int64(before.HeapAlloc); grew > 48<<20 {
		t.Errorf("%d MiB more heap while a client of a 64 MiB file does not read", grew>>20)
	}
	resume()
	if err := <-ended; err != nil {
		t.Errorf("the client that stopped reading: %v", err)
	}
	r.waitFor("the budget's return", func() bool { return r.gw.Front().Stats().Budget == 0 })
}

// startPausingRelay relays one connection to the gateway. Once it has passed limit bytes on to the client, it
// closes paused and reads nothing more from the gateway until resume is called. If either side ends before
// that, it closes both connections and paused stays open.
func startPausingRelay(t *testing.T, gateway string, limit int64) (addr string, paused <-chan struct{}, resume func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	pausedHere, resumed := make(chan struct{}), make(chan struct{})
	go func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		upstream, err := net.Dial("tcp", gateway)
		if err != nil {
			return // the client's connection closes, so its transfer fails
		}
		defer upstream.Close()
		go func() {
			_, _ = io.Copy(upstream, client)
			_ = upstream.(*net.TCPConn).CloseWrite()
		}()
		if _, err := io.CopyN(client, upstream, limit); err != nil {
			return
		}
		close(pausedHere)
		<-resumed
		_, _ = io.Copy(client, upstream)
	}()
	return listener.Addr().String(), pausedHere, sync.OnceFunc(func() { close(resumed) })
}

// TestThousandConnections opens and closes 1,000 connections at once, some in the middle of a
// greeting. One above the limit gets rsync's error for too many connections.
func TestThousandConnections(t *testing.T) {
	r := newFixture(t, 1, standin.NodeOptions{}, func(c *config.Config) { c.Rsync.MaxConnections = 1000 })
	conns := make([]net.Conn, 1000)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", r.gw.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			conns[i] = c
			if i%3 == 0 {
				fmt.Fprint(c, "@RSYNCD: 2")
			}
		}()
	}
	wg.Wait()
	r.waitFor("a thousand connections", func() bool { return r.gw.Front().Stats().Conns == 1000 })
	extra, err := net.Dial("tcp", r.gw.Addr())
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(extra)
	if string(text) != "@ERROR: max connections (1000) reached -- try again later\n" {
		t.Errorf("connection above the limit: %q", text)
	}
	extra.Close()
	for _, c := range conns {
		if c != nil {
			wg.Add(1)
			go func() { defer wg.Done(); c.Close() }()
		}
	}
	wg.Wait()
	r.waitFor("the connections' end", func() bool { return r.gw.Front().Stats().Conns == 0 })
	r.push("", testFile("f", []byte("still here")))
}

// reportsCause reports whether an incomplete transfer told its client the reason.
func reportsCause(rep *standin.Report) bool {
	text := strings.Join(rep.Messages, " ")
	return strings.Contains(text, "refused") || strings.Contains(text, "failed") || strings.Contains(text, "no time left")
}

// TestConcurrentTransfers runs 200 pulls and 50 pushes at once and checks every byte. A refused
// client retries until it has everything.
func TestConcurrentTransfers(t *testing.T) {
	r := newFixture(t, 4, standin.NodeOptions{}, nil)
	var tree []standin.ClientFile
	for i := range 10 {
		tree = append(tree, testFile(fmt.Sprintf("f%d", i), content(int64(i), 50_000+i*50_000)))
	}
	r.push("", tree...)
	want := map[string][32]byte{}
	for _, f := range tree {
		want[f.Path] = blake3.Sum256(f.Data)
	}
	push := func(i int) error {
		f := testFile(fmt.Sprintf("new-%d", i), content(int64(1000+i), 400_000))
		for range 100 {
			rep, err := r.client().Push(context.Background(), "records", "", []standin.ClientFile{f})
			if err == nil && len(rep.Messages) == 0 {
				return nil
			}
			if !reportsCause(rep) {
				return fmt.Errorf("push %d: %v, said %q", i, err, rep.Messages)
			}
		}
		return fmt.Errorf("push %d: not served", i)
	}
	pull := func(i int) error {
		got := map[string]bool{}
		for range 100 {
			rep, err := r.client().Pull(context.Background(), "records", "f*", nil)
			for _, f := range rep.Files {
				if blake3.Sum256(f.Data) != want[f.Path] {
					return fmt.Errorf("pull %d: %s differs from what was pushed", i, f.Path)
				}
				got[f.Path] = true
			}
			if len(got) == len(tree) {
				return nil
			}
			if !reportsCause(rep) {
				return fmt.Errorf("pull %d: %d files, %v, said %q", i, len(rep.Files), err, rep.Messages)
			}
		}
		return fmt.Errorf("pull %d: not served", i)
	}
	var wg sync.WaitGroup
	for i := range 250 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do := pull
			if i%5 == 4 {
				do = push
			}
			if err := do(i); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	news := 0
	for range 100 {
		rep, err := r.client().Pull(context.Background(), "records", "new-*", nil)
		if err != nil {
			t.Fatal(err)
		}
		news = len(rep.Files)
		for _, f := range rep.Files {
			var i int
			fmt.Sscanf(f.Path, "new-%d", &i)
			if blake3.Sum256(f.Data) != blake3.Sum256(content(int64(1000+i), 400_000)) {
				t.Fatalf("%s differs from what was pushed", f.Path)
			}
		}
		if news == 50 {
			break
		}
	}
	if news != 50 {
		t.Errorf("%d of 50 pushed files were pulled", news)
	}
}

// TestMisbehavingConnections opens connections that are silent, slow, never read or never end,
// which tests of the parsers do not cover. Each must be closed in bounded time, and a well-behaved
// client must still be served.
func TestMisbehavingConnections(t *testing.T) {
	r := newFixture(t, 2, standin.NodeOptions{}, func(c *config.Config) {
		c.Rsync.Handshake = config.Duration(500 * time.Millisecond)
		c.Rsync.Stall = config.Duration(2 * time.Second)
	})
	f := testFile("f", content(1, 20<<20))
	r.push("", f)
	expectClosed := func(name string, c net.Conn, each func()) {
		t.Helper()
		ended := make(chan bool)
		go func() { io.Copy(io.Discard, c); close(ended) }()
		for {
			select {
			case <-ended:
				return
			case <-time.After(30 * time.Second):
				t.Errorf("%s: connection was not closed", name)
				return
			default:
				each()
			}
		}
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.gw.Addr())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	silent := dial()
	expectClosed("silent", silent, func() { time.Sleep(10 * time.Millisecond) })
	slow, text := dial(), "@RSYNCD: 29\nrecords\n--server\n--sender\n-r\n--timeout=1000\n"
	expectClosed("a byte at a time", slow, func() {
		if len(text) > 0 {
			slow.Write([]byte(text[:1]))
			text = text[1:]
		}
		time.Sleep(20 * time.Millisecond)
	})

	never := dial() // pulls everything and never reads
	none := "\x00\x00\x00\x00"
	fmt.Fprint(never, "@RSYNCD: 29\nrecords\n--server\n--sender\n-r\n.\nrecords/\n\n"+none+"\x01\x00\x00\x00\x00\x80"+none+none+none+none)
	r.waitFor("three connections to be shed", func() bool { return r.gw.Front().Stats().Shed >= 3 })
	never.Close()

	flood := dial() // pushes without end and never reads
	fmt.Fprint(flood, "@RSYNCD: 29\nrecords\n--server\n-r\n.\nrecords/\n\n")
	go func() {
		junk := make([]byte, 1<<16)
		for {
			if _, err := flood.Write(junk); err != nil {
				return
			}
		}
	}()
	r.waitFor("all connections to be closed", func() bool { return r.gw.Front().Stats().Conns == 0 })
	flood.Close()
	checkPulled(t, r.pull("f"), f)
}

// TestCorruptionIsDetected checks that a file with a bit flipped on a node's disk is left out of
// a pull instead of reaching the client.
func TestCorruptionIsDetected(t *testing.T) {
	r := newFixture(t, 1, standin.NodeOptions{}, nil)
	f, g := testFile("f", content(1, 600_000)), testFile("g", []byte("good"))
	r.push("", f, g)
	d, _ := r.site.Disk(0)
	e, ok, err := r.gw.Catalogue().Stat("records", "f")
	if err != nil || !ok || !d.FlipBit(e.Extents()[1].Item, 12345) {
		t.Fatalf("no extent to flip: %v", err)
	}
	rep, err := r.client().Pull(context.Background(), "records", "", nil)
	if err != nil || len(rep.LeftOut) != 1 || rep.LeftOut[0] != "f" || !strings.Contains(strings.Join(rep.Messages, ""), "other bytes") {
		t.Fatalf("%v, left out %q, said %q", err, rep.LeftOut, rep.Messages)
	}
	checkPulled(t, rep, g)
	if r.gw.Front().Stats().Corrupt == 0 {
		t.Error("the corruption was not counted")
	}
}

// TestModuleRules checks the rules of modules: users and passwords, write only, connection limit.
func TestModuleRules(t *testing.T) {
	secrets := filepath.Join(t.TempDir(), "secrets")
	if err := os.WriteFile(secrets, []byte("# staff\nanna:sesame\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r := newFixture(t, 1, standin.NodeOptions{}, func(c *config.Config) {
		c.Modules = append(c.Modules, config.Module{Name: "staff", Plan: "standard", Users: []string{"anna"}, SecretsFile: secrets},
			config.Module{Name: "one", Plan: "standard", MaxConnections: 1}, config.Module{Name: "in", Plan: "standard", WriteOnly: true})
	})
	ctx := context.Background()
	f := testFile("f", []byte("x"))
	c := r.client()
	c.User, c.Password = "anna", "sesame"
	if rep, err := c.Push(ctx, "staff", "", []standin.ClientFile{f}); err != nil || len(rep.Messages) > 0 {
		t.Errorf("good login: %v, %q", err, rep.Messages)
	}
	c = r.client()
	c.User, c.Password = "anna", "wrong"
	rep, err := c.Pull(ctx, "staff", "", nil)
	if rep.Exit(err) != 5 || !strings.Contains(err.Error(), "auth failed on module staff") {
		t.Errorf("wrong password: %v", err)
	}
	held, _ := net.Dial("tcp", r.gw.Addr())
	fmt.Fprint(held, "@RSYNCD: 29\none\n")
	buf := make([]byte, 100)
	n := 0
	for !strings.Contains(string(buf[:n]), "@RSYNCD: OK") {
		k, err := held.Read(buf[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += k
	}
	rep, err = r.client().Pull(ctx, "one", "", nil)
	if rep.Exit(err) != 5 || err.Error() != "@ERROR: max connections (1) reached -- try again later" {
		t.Errorf("second client of a module with a limit of one: %v", err)
	}
	held.Close()
	r.waitFor("the first client's connection to be closed", func() bool {
		_, err := r.client().Pull(ctx, "one", "", nil)
		return err == nil
	})
	if rep, err := r.client().Pull(ctx, "in", "", nil); err == nil || len(rep.Messages) != 1 || !strings.Contains(rep.Messages[0], "write only") {
		t.Errorf("pull from a write only module: %v %q", err, rep.Messages)
	}
}

// TestGatewayDrain checks that a drain lets a transfer in progress end, closes idle connections and
// refuses new clients.
func TestGatewayDrain(t *testing.T) {
	r := newFixture(t, 2, standin.NodeOptions{UnitTime: 5 * time.Millisecond}, nil)
	f := testFile("f", content(1, 4<<20))
	r.push("", f)
	idle, _ := net.Dial("tcp", r.gw.Addr())
	ended := make(chan error, 1)
	began := make(chan bool)
	go func() {
		c := r.client()
		c.Before = func(string) { close(began) }
		rep, err := c.Pull(context.Background(), "records", "f", nil)
		if err == nil && len(rep.Files) != 1 {
			err = errors.New("the file was not pulled")
		}
		ended <- err
	}()
	<-began
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := r.gw.Drain(ctx); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the transfer in progress: %v", err)
	}
	if _, err := io.Copy(io.Discard, idle); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection: %v", err)
	}
	if _, err := r.client().Pull(context.Background(), "records", "f", nil); err == nil || !strings.Contains(err.Error(), "shutting down") {
		t.Errorf("a new client: %v", err)
	}
	if s := r.gw.Host().Stats(); s.Answers[host.Served] == 0 {
		t.Errorf("host: %+v", s)
	}
}

// TestReadDuringReplacement replaces a file while a client reads it for longer than the collector
// waits. The client must get the complete old version, which is collected afterwards.
func TestReadDuringReplacement(t *testing.T) {
	r := newFixture(t, 2, standin.NodeOptions{}, func(c *config.Config) { c.Rsync.Stall = config.Duration(time.Minute) })
	old, fresh := testFile("f", content(1, 64<<20)), testFile("f", content(2, 300_000))
	fresh.MTime++
	r.push("", old)
	began, ended := make(chan bool), make(chan error, 1)
	go func() {
		c := r.client()
		c.ReadPause = 5 * time.Second // longer than the collector waits
		c.Before = func(string) { close(began) }
		rep, err := c.Pull(context.Background(), "records", "f", nil)
		if err == nil && (len(rep.Files) != 1 || blake3.Sum256(rep.Files[0].Data) != blake3.Sum256(old.Data)) {
			err = fmt.Errorf("%d files, said %q", len(rep.Files), rep.Messages)
		}
		ended <- err
	}()
	<-began
	r.push("", fresh)
	checkPulled(t, r.pull("f"), fresh)
	if err := <-ended; err != nil {
		t.Errorf("the reader of the old version: %v", err)
	}
	r.waitFor("collection of the old version", func() bool {
		a, _ := r.site.Disk(0)
		b, _ := r.site.Disk(1)
		return a.Items()+b.Items() == 2
	})
}

// TestMemoryBudget has clients that stop reading use up the memory budget for extents. Another
// client must be served or told the reason within its timeout, and the budget must be free in the end.
func TestMemoryBudget(t *testing.T) {
	r := newFixture(t, 2, standin.NodeOptions{}, func(c *config.Config) {
		c.Rsync.BufferBytes = 4 * int64(c.Rsync.ExtentBytes)
	})
	big, small := testFile("big", content(1, 32<<20)), testFile("small", content(2, 200_000))
	r.push("", big, small)
	var wg sync.WaitGroup
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := r.client()
			c.ReadPause = 6 * time.Second
			rep, err := c.Pull(context.Background(), "records", "big", nil)
			if err == nil && len(rep.LeftOut) == 0 && (len(rep.Files) != 1 || blake3.Sum256(rep.Files[0].Data) != blake3.Sum256(big.Data)) {
				t.Errorf("client that stopped reading: %d files or other content, said %q", len(rep.Files), rep.Messages)
			}
			if err != nil || len(rep.LeftOut) > 0 && !reportsCause(rep) {
				t.Errorf("client that stopped reading: %v, left out %q, said %q", err, rep.LeftOut, rep.Messages)
			}
		}()
	}
	r.waitFor("the budget to be used up", func() bool { return r.gw.Front().Stats().Budget >= 3*int64(r.cfg.Rsync.ExtentBytes) })
	for range 5 {
		c := r.client()
		c.Timeout = 3 * time.Second
		rep, err := c.Pull(context.Background(), "records", "small", nil)
		if err != nil || len(rep.Files) == 0 && !reportsCause(rep) {
			t.Errorf("another client: %v, said %q after %v", err, rep.Messages, rep.Took)
		}
		if b := r.gw.Front().Stats().Budget; b > r.cfg.Rsync.BufferBytes {
			t.Errorf("%d bytes in use, budget is %d", b, r.cfg.Rsync.BufferBytes)
		}
	}
	wg.Wait()
	r.waitFor("the budget's return", func() bool { return r.gw.Front().Stats().Budget == 0 })
}
