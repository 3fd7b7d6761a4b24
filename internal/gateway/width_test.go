package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/config"
	"eiderhold/internal/host"
	"eiderhold/internal/standin"
)

// BenchmarkPullByWidth measures the rate of a pull of one large file, by the number of shards that the file is
// spread over, with 24 nodes of one core that take 10 ms for an extent of 64 KiB.
func BenchmarkPullByWidth(b *testing.B) {
	const nodes, extents = 24, 128
	for _, width := range []int{1, 2, 4, 8, 16} {
		b.Run(fmt.Sprint("width=", width), func(b *testing.B) {
			r := newFixture(b, 0, standin.NodeOptions{}, func(c *config.Config) {
				c.Rsync.ExtentBytes, c.Placement.WholeUpTo, c.Placement.Width, c.Placement.Choice = 64<<10, 1<<20, width, 1
			})
			for i := range nodes {
				if _, err := r.site.Add(standin.NodeOptions{ID: fmt.Sprintf("node-%d", i), Shard: i, Cores: 1, Queue: 256,
					UnitTime: 10 * time.Millisecond, KeyWindow: 1200 * time.Millisecond}); err != nil {
					b.Fatal(err)
				}
			}
			r.waitFor("the node list", func() bool { return r.gw.Feed().State().Version >= r.site.Register.Version() })
			f := testFile("large", content(1, extents*64<<10))
			for {
				rep, err := r.client().Push(context.Background(), "records", "", []standin.ClientFile{f})
				if err == nil && len(rep.Messages) == 0 {
					break
				}
			}
			b.SetBytes(int64(len(f.Data)))
			for b.Loop() {
				rep, err := r.client().Pull(context.Background(), "records", "large", nil)
				if err != nil || len(rep.Messages) > 0 {
					b.Fatal(err, rep.Messages)
				}
			}
		})
	}
}

// BenchmarkPlace measures the choice of an extent's shards among 300, for files of 1 to 64 extents, which are
// placed together.
func BenchmarkPlace(b *testing.B) {
	for _, extents := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(extents), func(b *testing.B) {
			nodes := newNodeTable()
			l := host.List{Kind: control.ListFull}
			for i := range 300 {
				l.Nodes = append(l.Nodes, host.Node{Node: control.Node{ID: fmt.Sprint("node-", i), Shard: i}})
			}
			nodes.update(l)
			p, err := newPlacer(config.Default(), nodes, slog.New(slog.DiscardHandler), func() time.Duration { return time.Hour }, func(string) {})
			if err != nil {
				b.Fatal(err)
			}
			p.nodesChanged()
			names := make([]string, 1000)
			for i := range names {
				names[i] = fmt.Sprint("file-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if s, err := p.place("records", names[i/extents%len(names)], i%extents, 1<<20); err != nil || len(s.Tiers) != 1 {
					b.Fatal(s, err)
				}
			}
		})
	}
}
