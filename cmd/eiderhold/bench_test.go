package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eiderhold/internal/config"
	"eiderhold/internal/standin"
)

// benchGateway is a gateway in a process of its own, with stand-in nodes in the test process.
type benchGateway struct {
	cmd  *exec.Cmd
	addr string
	log  string
	site *standin.Site
}

func startBenchGateway(b *testing.B, nodes int, change func(*config.Config)) *benchGateway {
	b.Helper()
	site, err := standin.StartSite("", nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(site.Close)
	for i := range nodes {
		if _, err := site.Add(standin.NodeOptions{ID: fmt.Sprintf("node-%d", i), Shard: i, Cores: 4, Queue: 1000,
			KeyWindow: 1200 * time.Millisecond}); err != nil {
			b.Fatal(err)
		}
	}
	cfg := config.Default()
	cfg.Gateway.Dir, cfg.Register.URL, cfg.Rsync.Listen = "data", site.Register.URL(), "127.0.0.1:0"
	cfg.Worth.BulkAboveBytes = 1 << 40
	if change != nil {
		change(cfg)
	}
	text, err := cfg.Text()
	if err != nil {
		b.Fatal(err)
	}
	dir := b.TempDir()
	file := filepath.Join(dir, "gateway.toml")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		b.Fatal(err)
	}
	g := &benchGateway{site: site, log: filepath.Join(dir, "log")}
	log, err := os.Create(g.log)
	if err != nil {
		b.Fatal(err)
	}
	g.cmd = exec.Command(os.Args[0], "serve", "--config", file)
	g.cmd.Env = append(os.Environ(), runMainEnv+"=1")
	g.cmd.Stderr = log
	out, err := g.cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := g.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	line, _ := bufio.NewReader(out).ReadString('\n')
	g.addr = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "rsync://"), "/")
	return g
}

// stop ends the gateway and returns its last stats line.
func (g *benchGateway) stop(b *testing.B) (stats struct {
	Host struct {
		Requests, Served, Refused, Failed uint64
		Decide                            struct{ P50, P99, P999 float64 }
	}
	Memory struct{ Allocated uint64 }
	Rsync  struct {
		Deliver struct{ P50, P99, P999 float64 }
	}
}) {
	b.Helper()
	g.cmd.Process.Signal(syscall.SIGTERM)
	g.cmd.Wait()
	text, _ := os.ReadFile(g.log)
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"msg":"stats"`) {
			if err := json.Unmarshal([]byte(line), &stats); err != nil {
				b.Fatal(err)
			}
		}
	}
	return stats
}

// processUsage returns the CPU time and resident memory of the gateway's process.
func (g *benchGateway) processUsage() (cpu time.Duration, rss int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, pages * int64(os.Getpagesize())
}

func (g *benchGateway) push(b *testing.B, files ...standin.ClientFile) {
	b.Helper()
	for try := 0; ; try++ {
		rep, err := (&standin.Client{Addr: g.addr}).Push(context.Background(), "records", "", files)
		if err == nil && len(rep.Messages) == 0 {
			return
		}
		if try == 100 {
			b.Fatal(err, rep.Messages)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// BenchmarkTransfers pulls files of one extent over 1, 100 and 1000 connections at a time. It reports the
// time that the gateway adds to a request and its CPU time for each transfer.
func BenchmarkTransfers(b *testing.B) {
	for _, clients := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(clients), func(b *testing.B) {
			g := startBenchGateway(b, 8, nil)
			for i := range 32 {
				g.push(b, standin.ClientFile{Path: fmt.Sprint("f", i), Data: randomBytes(int64(i), 16<<10), MTime: 1})
			}
			before, _ := g.processUsage()
			b.ResetTimer()
			var wg sync.WaitGroup
			work := make(chan int)
			for range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range work {
						(&standin.Client{Addr: g.addr}).Pull(context.Background(), "records", fmt.Sprint("f", i%32), nil)
					}
				}()
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			wg.Wait()
			b.StopTimer()
			after, rss := g.processUsage()
			st := g.stop(b)
			b.ReportMetric(float64((after-before).Microseconds())/float64(b.N), "cpu-us/transfer")
			b.ReportMetric(st.Host.Decide.P50, "decide-p50-us")
			b.ReportMetric(st.Host.Decide.P99, "decide-p99-us")
			b.ReportMetric(st.Host.Decide.P999, "decide-p999-us")
			b.ReportMetric(st.Rsync.Deliver.P50, "deliver-p50-us")
			b.ReportMetric(st.Rsync.Deliver.P99, "deliver-p99-us")
			b.ReportMetric(st.Rsync.Deliver.P999, "deliver-p999-us")
			b.ReportMetric(float64(rss)/(1<<20), "rss-MiB")
			b.ReportMetric(100*float64(st.Host.Refused+st.Host.Failed)/float64(max(1, st.Host.Requests)), "refused-%")
		})
	}
}

// plainCopy sends bytes over each of conns loopback connections and returns the time taken.
func plainCopy(b *testing.B, conns int, bytes int64) time.Duration {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	began := time.Now()
	var wg sync.WaitGroup
	for range conns {
		wg.Add(2)
		go func() {
			defer wg.Done()
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			buf := make([]byte, 64<<10)
			for left := bytes; left > 0; {
				n, err := c.Write(buf[:min(left, int64(len(buf)))])
				if err != nil {
					return
				}
				left -= int64(n)
			}
		}()
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				return
			}
			defer c.Close()
			buf := make([]byte, 64<<10)
			for {
				if _, err := c.Read(buf); err != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
	return time.Since(began)
}

// BenchmarkThroughput transfers whole files with 1 and with 100 clients. It reports the median ratio of the
// throughput to that of plain copies of the same size over as many loopback connections; the two alternate.
func BenchmarkThroughput(b *testing.B) {
	for _, c := range []struct {
		kind    string
		clients int
		bytes   int
	}{{"pull", 1, 64 << 20}, {"pull", 100, 2 << 20}, {"push", 1, 64 << 20}, {"push", 100, 2 << 20}} {
		b.Run(fmt.Sprintf("%s/%d", c.kind, c.clients), func(b *testing.B) {
			g := startBenchGateway(b, 8, nil)
			data := randomBytes(1, c.bytes)
			g.push(b, standin.ClientFile{Path: "f", Data: data, MTime: 1})
			var ratios, rates []float64
			said := 0
			var mu sync.Mutex
			b.ResetTimer()
			for n := range b.N {
				plain := plainCopy(b, c.clients, int64(c.bytes))
				began := time.Now()
				var wg sync.WaitGroup
				for i := range c.clients {
					wg.Add(1)
					go func() {
						defer wg.Done()
						var rep *standin.Report
						if c.kind == "pull" {
							rep, _ = (&standin.Client{Addr: g.addr}).Pull(context.Background(), "records", "f", nil)
						} else {
							rep, _ = (&standin.Client{Addr: g.addr}).Push(context.Background(), "records", "",
								[]standin.ClientFile{{Path: fmt.Sprintf("p%d-%d", n%2, i), Data: data, MTime: int64(n)}})
						}
						mu.Lock()
						said += len(rep.Messages)
						mu.Unlock()
					}()
				}
				wg.Wait()
				took := time.Since(began)
				ratios = append(ratios, plain.Seconds()/took.Seconds())
				rates = append(rates, float64(c.clients*c.bytes)/took.Seconds()/(1<<20))
			}
			b.StopTimer()
			slices.Sort(ratios)
			slices.Sort(rates)
			b.ReportMetric(ratios[len(ratios)/2], "of-plain")
			b.ReportMetric(rates[len(rates)/2], "MiB/s")
			b.ReportMetric(float64(said)/float64(b.N*c.clients), "left-out/transfer")
			g.stop(b)
		})
	}
}

// BenchmarkMemory measures the gateway's resident memory with 1000 idle connections and with 200 transfers
// whose clients have stopped reading.
func BenchmarkMemory(b *testing.B) {
	b.Run("idle/1000", func(b *testing.B) {
		g := startBenchGateway(b, 2, nil)
		_, before := g.processUsage()
		var conns []net.Conn
		for range 1000 {
			c, err := net.Dial("tcp", g.addr)
			if err != nil {
				b.Fatal(err)
			}
			io.ReadFull(c, make([]byte, len("@RSYNCD: 29\n")))
			conns = append(conns, c)
		}
		_, with := g.processUsage()
		b.ReportMetric(float64(with-before)/1000/1024, "KiB/conn")
		b.ReportMetric(float64(with)/(1<<20), "rss-MiB")
		for _, c := range conns {
			c.Close()
		}
		g.stop(b)
	})
	b.Run("active/200", func(b *testing.B) {
		g := startBenchGateway(b, 4, nil)
		g.push(b, standin.ClientFile{Path: "f", Data: randomBytes(1, 16<<20), MTime: 1})
		_, before := g.processUsage()
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		for range 200 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				(&standin.Client{Addr: g.addr, ReadPause: 5 * time.Second}).Pull(ctx, "records", "f", nil)
			}()
		}
		time.Sleep(4 * time.Second) // all transfers are blocked with full windows
		_, with := g.processUsage()
		cancel()
		wg.Wait()
		b.ReportMetric(float64(with-before)/200/1024, "KiB/transfer")
		b.ReportMetric(float64(with)/(1<<20), "rss-MiB")
		g.stop(b)
	})
}

// BenchmarkAllocations measures the bytes that the gateway allocates for each request with small and with
// large extents. They must not grow with the payload.
func BenchmarkAllocations(b *testing.B) {
	for _, kib := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("extent/%dKiB", kib), func(b *testing.B) {
			g := startBenchGateway(b, 4, func(c *config.Config) { c.Rsync.ExtentBytes = kib << 10 })
			g.push(b, standin.ClientFile{Path: "f", Data: randomBytes(1, 512*kib<<10), MTime: 1})
			for range b.N {
				(&standin.Client{Addr: g.addr}).Pull(context.Background(), "records", "f", nil)
			}
			st := g.stop(b)
			b.ReportMetric(float64(st.Memory.Allocated)/float64(st.Host.Requests), "alloc-B/request")
		})
	}
}

// BenchmarkBystanders measures the time of 500 pulls of small files, 20 at a time, with and without an
// unrelated blocked transfer: a client of a 64 MiB file that stops reading, or a transfer of 64 MiB from a
// node that never answers. Rounds with and without it alternate. The ratio is that of the medians of their
// 99th percentiles.
func BenchmarkBystanders(b *testing.B) {
	for _, trouble := range []string{"standing-client", "silent-node"} {
		b.Run(trouble, func(b *testing.B) {
			g := startBenchGateway(b, 4, nil)
			state := func(others, last string) {
				for i := range 3 {
					g.site.State(fmt.Sprintf("node-%d", i), others)
				}
				g.site.State("node-3", last)
				time.Sleep(300 * time.Millisecond) // until the list has reached the gateway
			}
			state("draining", "ready")
			g.push(b, standin.ClientFile{Path: "big", Data: randomBytes(1, 64<<20), MTime: 1})
			state("ready", "draining")
			for i := range 16 {
				g.push(b, standin.ClientFile{Path: fmt.Sprint("f", i), Data: randomBytes(int64(i), 100_000), MTime: 1})
			}
			state("ready", "ready")
			round := func() (p50, p99 float64) {
				var mu sync.Mutex
				var took []float64
				var wg sync.WaitGroup
				work := make(chan int)
				for range 20 {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for i := range work {
							began := time.Now()
							(&standin.Client{Addr: g.addr}).Pull(context.Background(), "records", fmt.Sprint("f", i%16), nil)
							mu.Lock()
							took = append(took, float64(time.Since(began).Microseconds()))
							mu.Unlock()
						}
					}()
				}
				for i := range 500 {
					work <- i
				}
				close(work)
				wg.Wait()
				slices.Sort(took)
				return took[250], took[495]
			}
			round()
			var without, with [2][]float64
			for range b.N {
				p50, p99 := round()
				without[0], without[1] = append(without[0], p50), append(without[1], p99)
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Add(1)
				began := make(chan bool)
				c := &standin.Client{Addr: g.addr, Timeout: 10 * time.Second, Before: func(string) { close(began) }}
				if trouble == "standing-client" {
					c.ReadPause = time.Minute
				} else {
					g.site.Node("node-3").Set(func(x *standin.Trouble) { x.Hang = true })
				}
				go func() { defer wg.Done(); c.Pull(ctx, "records", "big", nil) }()
				<-began
				time.Sleep(100 * time.Millisecond)
				p50, p99 = round()
				with[0], with[1] = append(with[0], p50), append(with[1], p99)
				cancel()
				g.site.Node("node-3").Set(func(x *standin.Trouble) { x.Hang = false })
				if trouble != "standing-client" {
					wg.Wait()
				}
			}
			median := func(list []float64) float64 { slices.Sort(list); return list[len(list)/2] }
			b.ReportMetric(median(without[0]), "p50-us-without")
			b.ReportMetric(median(with[0]), "p50-us-with")
			b.ReportMetric(median(without[1]), "p99-us-without")
			b.ReportMetric(median(with[1]), "p99-us-with")
			b.ReportMetric(median(with[1])/median(without[1]), "p99-ratio")
			g.stop(b)
		})
	}
}
