package gateway

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"os"
	"sync"
	"testing"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/config"
	"eiderhold/internal/standin"
)

// fixture is a site of stand-in nodes and a register, with a gateway that uses them.
type fixture struct {
	t    testing.TB
	site *standin.Site
	cfg  *config.Config
	gw   *Gateway
	dir  string
}

// newFixture starts nodes and a gateway. change, which may be nil, edits the gateway's settings.
func newFixture(t testing.TB, nodes int, node standin.NodeOptions, change func(*config.Config)) *fixture {
	t.Helper()
	return newTracedFixture(t, nodes, node, change, nil)
}

// newTracedFixture is newFixture with a trace, which the site writes for package audit.
func newTracedFixture(t testing.TB, nodes int, node standin.NodeOptions, change func(*config.Config), trace *audit.Writer) *fixture {
	t.Helper()
	site, err := standin.StartSite("", trace)
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, site: site, cfg: config.Default(), dir: t.TempDir()}
	for i := range nodes {
		o := node
		o.ID, o.Shard, o.Seed = fmt.Sprintf("node-%d", i), i, int64(i)
		o.Cores, o.Queue, o.KeyWindow = max(4, o.Cores), max(256, o.Queue), 1200*time.Millisecond
		if _, err := site.Add(o); err != nil {
			t.Fatal(err)
		}
	}
	r.cfg.Gateway.Dir, r.cfg.Gateway.Seed = r.dir, 1
	r.cfg.Register.URL = site.Register.URL()
	r.cfg.Rsync.Listen = "127.0.0.1:0"
	if change != nil {
		change(r.cfg)
	}
	r.startGateway()
	t.Cleanup(func() {
		if r.gw != nil {
			r.stopGateway()
		}
		site.Close()
	})
	return r
}

// startGateway starts the gateway and waits until it has the current node list.
func (r *fixture) startGateway() {
	r.t.Helper()
	if err := r.cfg.Check(); err != nil {
		r.t.Fatal(err)
	}
	gw, err := Start(r.cfg, r.logger())
	if err != nil {
		r.t.Fatal(err)
	}
	r.gw = gw
	r.waitFor("the node list", func() bool { return gw.Feed().State().Version >= r.site.Register.Version() })
}

func (r *fixture) logger() *slog.Logger {
	if os.Getenv("EIDERHOLD_TEST_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.DiscardHandler)
}

func (r *fixture) stopGateway() {
	r.t.Helper()
	if err := r.gw.Close(); err != nil {
		r.t.Error("close:", err)
	}
	if err := r.gw.Err(); err != nil {
		r.t.Error("host loop:", err)
	}
	if d := r.gw.Host().Stats().Defects; d != 0 {
		r.t.Errorf("%d defects counted by the host", d)
	}
	r.gw = nil
}

// waitFor waits up to 30 s for a condition.
func (r *fixture) waitFor(what string, ok func() bool) {
	r.t.Helper()
	for limit := time.Now().Add(30 * time.Second); !ok(); {
		if time.Now().After(limit) {
			r.t.Fatalf("timed out after 30 s waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// onlyReady lists all nodes but one as draining, so that the gateway stores new items only
// there, until the returned function is called.
func (r *fixture) onlyReady(id string, nodes int) (restore func()) {
	set := func(state string) {
		for i := range nodes {
			if other := fmt.Sprintf("node-%d", i); other != id {
				r.site.State(other, state)
			}
		}
		r.site.State(id, "ready")
		r.waitFor("the node list", func() bool { return r.gw.Feed().State().Version >= r.site.Register.Version() })
	}
	set("draining")
	return func() { set("ready") }
}

func (r *fixture) client() *standin.Client { return &standin.Client{Addr: r.gw.Addr()} }

func (r *fixture) push(path string, files ...standin.ClientFile) *standin.Report {
	r.t.Helper()
	rep, err := r.client().Push(context.Background(), "records", path, files)
	if err != nil || !rep.Complete || len(rep.Messages) > 0 {
		r.t.Fatalf("push to %q: %v, %q", path, err, rep.Messages)
	}
	return rep
}

func (r *fixture) pull(path string) *standin.Report {
	r.t.Helper()
	rep, err := r.client().Pull(context.Background(), "records", path, nil)
	if err != nil || !rep.Complete || len(rep.Messages) > 0 {
		r.t.Fatalf("pull of %q: %v, %q", path, err, rep.Messages)
	}
	return rep
}

// content returns n random bytes that depend only on the seed.
func content(seed int64, n int) []byte {
	p := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(p)
	return p
}

func testFile(path string, data []byte) standin.ClientFile {
	return standin.ClientFile{Path: path, Data: data, MTime: 1_700_000_000}
}

// checkPulled compares the pulled files with those that were pushed, by path.
func checkPulled(t *testing.T, rep *standin.Report, want ...standin.ClientFile) {
	t.Helper()
	got := map[string][]byte{}
	for _, f := range rep.Files {
		if !f.Dir {
			got[f.Path] = f.Data
		}
	}
	for _, f := range want {
		if f.Dir {
			continue
		}
		if p, ok := got[f.Path]; !ok || !bytes.Equal(p, f.Data) {
			t.Fatalf("%s: pulled %d bytes (found: %v), want %d", f.Path, len(p), ok, len(f.Data))
		}
		delete(got, f.Path)
	}
	if len(got) > 0 {
		t.Fatalf("%d files pulled that were not pushed", len(got))
	}
}

// runClients starts n goroutines that call do repeatedly, each until do returns false or the returned function is
// called, which waits for them to end.
func runClients(n int, do func(client, i int) bool) (stop func()) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	for c := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				if !do(c, i) {
					return
				}
			}
		}()
	}
	return func() { close(end); wg.Wait() }
}
