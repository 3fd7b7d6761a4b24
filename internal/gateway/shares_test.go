package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/forecast"
	"eiderhold/internal/config"
	"eiderhold/internal/record"
	"eiderhold/internal/solution"
	"eiderhold/internal/standin"
	"eiderhold/shares"
)

// sealedSolution is one that gives each of some volumes the same share at each node.
func sealedSolution(t *testing.T, version uint64, share int64, nodes ...string) (*shares.Solution, []byte) {
	t.Helper()
	s := &shares.Solution{Version: version, Inputs: strings.Repeat("00", 32), By: "test", At: time.Now(), For: "1h", Nodes: nodes,
		Placement: map[string][]string{}, Shares: map[string]map[string]int64{}, Weights: map[string]int64{}}
	for i := range 200 {
		v := fmt.Sprint("other", i)
		if i == 0 {
			v = "records"
		}
		s.Placement[v], s.Weights[v], s.Shares[v] = nodes, 1, map[string]int64{}
		for _, n := range nodes {
			s.Shares[v][n] = share
		}
	}
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return s, b
}

// TestSharesSwappedInABurst: solutions change while clients push and pull. Every one that
// the controller gets is whole, the transfers go on, a solution that names a node which the
// register does not know is refused whole, and the record of it all replays.
func TestSharesSwappedInABurst(t *testing.T) {
	r := start(t, 3, standin.NodeOptions{}, func(c *config.Config) {
		c.Recorder = config.Recorder{On: true, FileSize: 64 << 20, Files: 100}
		c.Worth.ShareWorth, c.Worth.SpareWorth = 1, 0.05
	})
	data := content(1, 60_000)
	r.push("", file("a", data))
	nodes := []string{"node-0", "node-1", "node-2"}
	errs := make(chan error, 100)
	stop := clients(8, func(c, i int) bool {
		if c%2 == 0 {
			if rep, err := r.client().Pull(context.Background(), "records", "a", nil); err != nil || len(rep.Said) > 0 {
				errs <- fmt.Errorf("pull: %v %q", err, rep.Said)
				return false
			}
		} else if rep, err := r.client().Push(context.Background(), "records", "", []standin.ClientFile{file(fmt.Sprint("p", c, "-", i), data)}); err != nil || len(rep.Said) > 0 {
			errs <- fmt.Errorf("push: %v %q", err, rep.Said)
			return false
		}
		return true
	})
	whole := map[uint64]*shares.Solution{}
	last := uint64(0)
	for v := uint64(1); v <= 60; v++ {
		if v%10 == 5 { // names a node that nobody knows
			_, b := sealedSolution(t, v, int64(v)*1000, "node-0", "node-9")
			if err := r.gw.Keeper().Offer("test", b); !errors.Is(err, solution.ErrUnknownNodes) {
				t.Errorf("unknown node: %v", err)
			}
			if got := r.gw.Keeper().State().Version; got != last {
				t.Errorf("version %d in use, not %d", got, last)
			}
			continue
		}
		s, b := sealedSolution(t, v, int64(v)*1000, nodes...)
		whole[v], last = s, v
		r.site.Register.SetShares(b)
		r.until("the solution", func() bool { return r.gw.Keeper().State().Version == v })
	}
	stop()
	select {
	case err := <-errs:
		t.Error(err)
	default:
	}
	r.stop()
	files, err := filepath.Glob(filepath.Join(r.dir, "record", "*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	seen, requests := 0, 0
	f, err := os.Open(files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	rd, err := record.NewReader(f, files[0])
	if err != nil {
		t.Fatal(err)
	}
	for {
		b, err := rd.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Events {
			switch e := e.(type) {
			case control.Request:
				requests++
			case control.Shares:
				seen++
				want := solution.ControlShares(whole[e.Version], whole[e.Version].At.Add(e.Age))
				if !reflect.DeepEqual(e.Volumes, want.Volumes) {
					t.Fatalf("version %d is not whole: %d volumes", e.Version, len(e.Volumes))
				}
			}
		}
	}
	if seen != len(whole) || requests < 100 {
		t.Errorf("%d solutions in the record, of %d; %d requests", seen, len(whole), requests)
	}
	if res, err := record.Replay(files, nil); err != nil || res.Batches == 0 {
		t.Errorf("replay: %+v, %v", res, err)
	}
}

// TestSharesOverRestart: a gateway that starts while the register is down goes on with the
// solution that it kept; what its volumes asked for is on disk for shares gather.
func TestSharesOverRestart(t *testing.T) {
	r := start(t, 2, standin.NodeOptions{}, func(c *config.Config) { c.Forecast.Slot = config.Duration(time.Second) })
	_, b := sealedSolution(t, 3, 1000, "node-0", "node-1")
	r.site.Register.SetShares(b)
	r.until("the solution", func() bool { return r.gw.Keeper().State().Version == 3 })
	for began, i := time.Now().Unix(), 0; time.Now().Unix() <= began+1; i++ { // until a slot of a second is over
		r.push("", file(fmt.Sprint("f", i), content(int64(i), 100_000)))
	}
	r.stop()
	r.site.Register.Down(true)
	raw, err := os.ReadFile(filepath.Join(r.dir, DemandFile))
	if err != nil {
		t.Fatal(err)
	}
	rec, err := forecast.ReadRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	d, err := forecast.EstimateDemands(rec, 1, 1)
	if err != nil || d["records"].Peak == 0 {
		t.Errorf("%+v, %v", d, err)
	}
	gw, err := Start(r.cfg, r.gwLog())
	if err != nil {
		t.Fatal(err)
	}
	r.gw = gw
	r.until("the kept solution", func() bool { return gw.Keeper().State().Version == 3 })
}
