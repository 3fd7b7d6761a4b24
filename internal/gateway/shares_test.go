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

// encodedSolution returns a solution that gives each of 200 volumes the same share of each node, also encoded.
func encodedSolution(t *testing.T, version uint64, share int64, nodes ...string) (*shares.Solution, []byte) {
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

// TestSolutionSwapUnderLoad changes solutions while clients push and pull. The controller must get each
// of them complete, no transfer may fail, a solution that names a node which the register does not list
// must be refused, and the record of the run must replay.
func TestSolutionSwapUnderLoad(t *testing.T) {
	r := newFixture(t, 3, standin.NodeOptions{}, func(c *config.Config) {
		c.Recorder = config.Recorder{On: true, FileBytes: 64 << 20, MaxFiles: 100}
		c.Worth.ShareWorth, c.Worth.SpareWorth = 1, 0.05
	})
	data := content(1, 60_000)
	r.push("", testFile("a", data))
	nodes := []string{"node-0", "node-1", "node-2"}
	errs := make(chan error, 100)
	stop := runClients(8, func(c, i int) bool {
		if c%2 == 0 {
			if rep, err := r.client().Pull(context.Background(), "records", "a", nil); err != nil || len(rep.Messages) > 0 {
				errs <- fmt.Errorf("pull: %v %q", err, rep.Messages)
				return false
			}
		} else if rep, err := r.client().Push(context.Background(), "records", "", []standin.ClientFile{testFile(fmt.Sprint("p", c, "-", i), data)}); err != nil || len(rep.Messages) > 0 {
			errs <- fmt.Errorf("push: %v %q", err, rep.Messages)
			return false
		}
		return true
	})
	whole := map[uint64]*shares.Solution{}
	last := uint64(0)
	for v := uint64(1); v <= 60; v++ {
		if v%10 == 5 { // names a node that is not listed
			_, b := encodedSolution(t, v, int64(v)*1000, "node-0", "node-9")
			if err := r.gw.Keeper().Offer("test", b); !errors.Is(err, solution.ErrUnknownNodes) {
				t.Errorf("unknown node: %v", err)
			}
			if got := r.gw.Keeper().State().Version; got != last {
				t.Errorf("version %d in use, want %d", got, last)
			}
			continue
		}
		s, b := encodedSolution(t, v, int64(v)*1000, nodes...)
		whole[v], last = s, v
		r.site.Register.SetShares(b)
		r.waitFor("the solution", func() bool { return r.gw.Keeper().State().Version == v })
	}
	stop()
	select {
	case err := <-errs:
		t.Error(err)
	default:
	}
	r.stopGateway()
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
					t.Fatalf("version %d is incomplete: %d volumes", e.Version, len(e.Volumes))
				}
			}
		}
	}
	if seen != len(whole) || requests < 100 {
		t.Errorf("%d of %d solutions in the record; %d requests", seen, len(whole), requests)
	}
	if res, err := record.Replay(files, nil); err != nil || res.Batches == 0 {
		t.Errorf("replay: %+v, %v", res, err)
	}
}

// TestSharesAfterRestart checks that a gateway that starts while the register is down uses the
// solution that it kept, and that the demand of its volumes is on disk for shares gather.
func TestSharesAfterRestart(t *testing.T) {
	r := newFixture(t, 2, standin.NodeOptions{}, func(c *config.Config) { c.Forecast.Slot = config.Duration(time.Second) })
	_, b := encodedSolution(t, 3, 1000, "node-0", "node-1")
	r.site.Register.SetShares(b)
	r.waitFor("the solution", func() bool { return r.gw.Keeper().State().Version == 3 })
	for began, i := time.Now().Unix(), 0; time.Now().Unix() <= began+1; i++ { // until a forecast slot of one second is complete
		r.push("", testFile(fmt.Sprint("f", i), content(int64(i), 100_000)))
	}
	r.stopGateway()
	r.site.Register.SetDown(true)
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
		t.Errorf("demands on disk: %+v, %v", d, err)
	}
	gw, err := Start(r.cfg, r.logger())
	if err != nil {
		t.Fatal(err)
	}
	r.gw = gw
	r.waitFor("the kept solution", func() bool { return gw.Keeper().State().Version == 3 })
}
