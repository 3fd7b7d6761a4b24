package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/config"
	"eiderhold/internal/register"
	"eiderhold/internal/standin"
)

// addGateway starts another gateway that uses the fixture's nodes. change, which may be nil, edits its settings.
func (r *fixture) addGateway(name string, change func(*config.Config)) *fixture {
	r.t.Helper()
	cfg := *r.cfg
	cfg.Gateway.Name, cfg.Gateway.Dir, cfg.Gateway.Seed = name, r.t.TempDir(), int64(len(name))
	o := &fixture{t: r.t, site: r.site, cfg: &cfg, dir: cfg.Gateway.Dir}
	if change != nil {
		change(o.cfg)
		if err := o.cfg.Check(); err != nil {
			r.t.Fatal(err)
		}
		gw, err := Start(o.cfg, o.logger())
		if err != nil {
			r.t.Fatal(err)
		}
		o.gw = gw
		o.waitFor("a node list", func() bool { return gw.Feed().State().Version > 0 })
	} else {
		o.startGateway()
	}
	r.t.Cleanup(func() {
		if o.gw != nil {
			o.stopGateway()
		}
	})
	return o
}

// pushAll pushes n new files through each gateway, with several clients per gateway, and returns the
// files by gateway.
func pushAll(t *testing.T, gws []*fixture, prefix string, n, size int) [][]standin.ClientFile {
	t.Helper()
	const clients = 3
	files := make([][]standin.ClientFile, len(gws))
	var wg sync.WaitGroup
	for g, r := range gws {
		for i := range n {
			files[g] = append(files[g], testFile(fmt.Sprint(prefix, i), content(int64(g*n+i), size)))
		}
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := c; i < n; i += clients {
					rep, err := r.client().Push(context.Background(), "records", "", files[g][i:i+1])
					if err != nil || len(rep.Messages) > 0 {
						t.Errorf("push %s%d through %s: %v %q", prefix, i, r.cfg.Gateway.Name, err, rep.Messages)
						return
					}
				}
			}()
		}
	}
	wg.Wait()
	return files
}

// shardOf returns the shard of a file of one extent, according to the gateway's catalogue.
func (r *fixture) shardOf(path string) int {
	r.t.Helper()
	e, ok, err := r.gw.Catalogue().Stat("records", path)
	if err != nil || !ok || len(e.Parts) != 1 {
		r.t.Fatalf("%s: entry %+v, found %v, %v; want one extent", path, e, ok, err)
	}
	return e.Parts[0].Shard
}

// TestUncoordinatedGatewaysSpreadEvenly has four gateways choose shards without communicating; together
// they must spread new data as evenly as one does.
func TestUncoordinatedGatewaysSpreadEvenly(t *testing.T) {
	const nodes, each = 24, 500
	r := newFixture(t, nodes, standin.NodeOptions{}, nil)
	gws := []*fixture{r}
	for i := range 3 {
		gws = append(gws, r.addGateway(fmt.Sprint("gateway-", i+2), nil))
	}
	pushAll(t, gws, "f", each, 100)
	counts, most, sum := r.writesPerNode(nodes)
	if sum < 4*each || most*nodes*2 > 3*sum || slices.Min(counts) == 0 {
		t.Errorf("%d writes, most on a node %d, mean %.0f: %v", sum, most, float64(sum)/nodes, counts)
	}
}

// TestNodeLossAffectsOnlyItsFiles stops one of 24 nodes, and then a zone of three. Of the files pushed
// before, exactly those on the lost nodes must be refused; files pushed meanwhile must be stored elsewhere;
// and all must be served once the nodes are back, cold.
func TestNodeLossAffectsOnlyItsFiles(t *testing.T) {
	const nodes, zones = 24, 8
	r := newFixture(t, 0, standin.NodeOptions{}, func(c *config.Config) {
		c.Pacing.ExtentTimeout = config.Duration(300 * time.Millisecond)
	})
	for i := range nodes {
		if _, err := r.site.Add(standin.NodeOptions{ID: fmt.Sprintf("node-%d", i), Shard: i, Zone: fmt.Sprint("zone-", i%zones),
			Cores: 4, Queue: 256, Seed: int64(i), ColdFor: 2 * time.Second, ColdCapacity: 0.5, KeyWindow: 1200 * time.Millisecond}); err != nil {
			t.Fatal(err)
		}
	}
	r.waitFor("the node list", func() bool { return r.gw.Feed().State().Version >= r.site.Register.Version() })
	files := pushAll(t, []*fixture{r}, "f", 240, 500)[0]
	for round, lost := range [][]string{{"node-5"}, r.site.Zone("zone-2")} {
		gone := map[int]bool{}
		for _, id := range lost {
			var shard int
			_, _ = fmt.Sscanf(id, "node-%d", &shard)
			gone[shard] = true
			r.site.Node(id).Close()
		}
		refused := 0
		for _, f := range files {
			there := gone[r.shardOf(f.Path)]
			rep, err := r.client().Pull(context.Background(), "records", f.Path, nil)
			for try := 0; try < 5 && err == nil && !there && len(rep.Messages) > 0; try++ { // on an overloaded machine requests may be refused for a moment
				rep, err = r.client().Pull(context.Background(), "records", f.Path, nil)
			}
			if err != nil {
				t.Fatal(err)
			}
			if there != (len(rep.Messages) > 0) {
				t.Errorf("%s is on a lost shard: %v, but the client is told %q", f.Path, there, rep.Messages)
			} else if there {
				refused++
			}
		}
		if refused == 0 || refused > 2*len(files)*len(lost)/nodes {
			t.Errorf("%d of %d files were refused with %d of %d nodes lost", refused, len(files), len(lost), nodes)
		}
		for _, f := range pushAll(t, []*fixture{r}, fmt.Sprint("meanwhile", round, "-"), 60, 500)[0] {
			if gone[r.shardOf(f.Path)] {
				t.Errorf("%s was stored on a lost shard", f.Path)
			}
		}
		for _, id := range lost {
			if err := r.site.Restart(id); err != nil {
				t.Fatal(err)
			}
		}
		for _, f := range files {
			if gone[r.shardOf(f.Path)] {
				r.waitFor(f.Path+" again", func() bool {
					rep, err := r.client().Pull(context.Background(), "records", f.Path, nil)
					return err == nil && len(rep.Messages) == 0
				})
			}
		}
	}
}

// TestShardWithTwoNodes stops one of two nodes of a shard. The other must serve all files of the shard,
// and the shard must not count as lost.
func TestShardWithTwoNodes(t *testing.T) {
	r := newFixture(t, 3, standin.NodeOptions{}, nil)
	if _, err := r.site.Add(standin.NodeOptions{ID: "second", Shard: 1, Cores: 4, Queue: 256}); err != nil {
		t.Fatal(err)
	}
	r.waitFor("the node list", func() bool { return r.gw.Feed().State().Version >= r.site.Register.Version() })
	files := pushAll(t, []*fixture{r}, "f", 60, 2000)[0]
	r.site.Node("node-1").Close()
	there := 0
	for _, f := range files {
		checkPulled(t, r.pull(f.Path), f)
		if r.shardOf(f.Path) == 1 {
			there++
		}
	}
	if _, _, lost := r.gw.outages.lost(1); lost || there < 5 {
		t.Errorf("lost: %v; %d of %d files are on the shard", lost, there, len(files))
	}
}

// TestNodesJoinUnderLoad adds a cold node and one with a hundredth of the others' size while four
// clients push. The audit must find no breach; the cold node must not collapse and must get its part
// of the writes once it is warm; the small node must get about a hundredth of that.
func TestNodesJoinUnderLoad(t *testing.T) {
	const nodes, cold = 6, 3 * time.Second
	dir := t.TempDir()
	trace, err := audit.Create(dir, "sockets")
	if err != nil {
		t.Fatal(err)
	}
	opt := standin.NodeOptions{UnitTime: 2 * time.Millisecond, ColdFor: cold, ColdCapacity: 0.2, FallMultiple: 4, FallSpan: time.Second,
		ColdBears: 20, DownFor: time.Second, Cores: 4, Queue: 256, KeyWindow: 1200 * time.Millisecond}
	r := newTracedFixture(t, nodes, opt, func(c *config.Config) {
		c.Safety.ColdFor, c.Safety.ColdCapacity, c.Safety.FallSpan, c.Safety.ColdBears = config.Duration(cold), 0.2, config.Duration(time.Second), 20
	}, trace)
	stop := runClients(4, func(c, i int) bool {
		_, _ = r.client().Push(context.Background(), "records", "", []standin.ClientFile{testFile(fmt.Sprint("p", c, "-", i), content(1, 500))})
		return true
	})
	join := func(id string, shard int, size float64, started time.Time) *standin.Node {
		o := opt
		o.ID, o.Shard, o.Size, o.Started = id, shard, size, started
		n, err := r.site.Add(o)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	began := time.Now()
	joined, small := join("joined", nodes, 1, began), join("small", nodes+1, 0.01, time.Time{})
	r.waitFor("the new node to be warm", func() bool { return time.Since(began) > cold })
	_, _, before := r.writesPerNode(nodes)
	own, tiny := joined.Counts().Done, small.Counts().Done
	r.waitFor("2,000 more writes", func() bool { _, _, sum := r.writesPerNode(nodes); return sum >= before+2000 })
	stop()
	_, _, sum := r.writesPerNode(nodes)
	mean := float64(sum-before) / nodes
	if got := float64(joined.Counts().Done - own); got < mean/2 || got > 1.5*mean || joined.Counts().Collapses > 0 {
		t.Errorf("the cold node took %.0f writes, the others' mean is %.0f; it collapsed %d times", got, mean, joined.Counts().Collapses)
	}
	if got := float64(small.Counts().Done - tiny); got > 0.05*mean {
		t.Errorf("the node of size 0.01 took %.0f writes, the others' mean is %.0f", got, mean)
	}
	if err := trace.Close(); err != nil {
		t.Fatal(err)
	}
	recs, err := audit.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	rep := audit.Check(recs, &audit.Rules{DrainGrace: 2 * time.Second, Travel: 100 * time.Millisecond,
		Classes: []audit.Class{{Name: "record-write", Effect: "keyed", Group: "cell", Window: 1200 * time.Millisecond}}})
	for _, b := range rep.Breaches {
		t.Errorf("rule %d: %s", b.Rule, b.Text)
	}
}

// TestStaleNodeList runs four gateways of which one has a stale node list, which lacks two nodes and has
// one that is gone. Each must store the files pushed through it and serve them again.
func TestStaleNodeList(t *testing.T) {
	const nodes = 6
	r := newFixture(t, nodes, standin.NodeOptions{}, nil)
	old, err := standin.StartRegister("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	gone := r.site.Node("node-3").Addr()
	for i := range nodes - 2 {
		id := fmt.Sprintf("node-%d", i)
		old.Set(register.Entry{ID: id, Addr: r.site.Node(id).Addr(), Shard: i, State: "ready", Size: 1})
	}
	r.site.Remove("node-3")
	gws := []*fixture{r, r.addGateway("gateway-2", nil), r.addGateway("gateway-3", nil),
		r.addGateway("gateway-4", func(c *config.Config) { c.Register.URL = old.URL() })}
	r.waitFor("the node list", func() bool { return r.gw.Feed().State().Version >= r.site.Register.Version() })
	files := pushAll(t, gws, "f", 60, 3000)
	for g, o := range gws {
		checkPulled(t, o.pull(""), files[g]...)
		for _, f := range files[g] {
			if s := o.shardOf(f.Path); s == 3 || g == 3 && s > 3 {
				t.Errorf("%s through %s is on shard %d; node-3 (%s) is gone", f.Path, o.cfg.Gateway.Name, s, gone)
			}
		}
	}
}

// TestSolutionChangeDuringPushes changes the solution while clients push: the first places the volume on one
// node, the second on two, the last on none in particular. Files pushed after a change must be stored where the
// solution says, except for a few that could not be written there in time on an overloaded machine, and after
// the last change on more nodes than any solution named.
func TestSolutionChangeDuringPushes(t *testing.T) {
	const nodes = 6
	r := newFixture(t, nodes, standin.NodeOptions{}, nil)
	for v, on := range [][]string{{"node-1"}, {"node-2", "node-4"}, {}} {
		s, _ := encodedSolution(t, uint64(v+1), 1000, append([]string{"node-0"}, on...)[min(1, len(on)):]...)
		if len(on) == 0 { // a solution without volumes withdraws the placement
			s.Nodes, s.Placement, s.Shares, s.Weights = nil, nil, nil, nil
		}
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wg.Add(1)
		go func() { // pushes during which the solution arrives
			defer wg.Done()
			pushAll(t, []*fixture{r}, fmt.Sprint("burst", v, "-"), 60, 1000)
		}()
		r.site.Register.SetShares(b)
		r.waitFor("the solution", func() bool { return r.gw.Keeper().State().Version == uint64(v+1) })
		wg.Wait()
		seen, elsewhere := map[string]bool{}, 0
		for _, f := range pushAll(t, []*fixture{r}, fmt.Sprint("after", v, "-"), 60, 1000)[0] {
			id := fmt.Sprintf("node-%d", r.shardOf(f.Path))
			seen[id] = true
			if len(on) > 0 && !slices.Contains(on, id) {
				elsewhere++
			}
		}
		if elsewhere > 10 {
			t.Errorf("solution %d places the volume on %s; %d of 60 files are elsewhere", v+1, strings.Join(on, " "), elsewhere)
		}
		if len(on) == 0 && len(seen) < 4 {
			t.Errorf("placement withdrawn: %d of %d nodes took data, want 4 or more", len(seen), nodes)
		}
	}
}
