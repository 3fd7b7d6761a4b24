package live

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"syscall"
	"testing"

	"eiderhold/internal/standin"
)

// BenchmarkRequest sends reads one after another through a complete host, with client and node on loopback. Both use
// plain sockets without allocations, so that the allocations reported are the host's. The CPU time reported is that of
// the whole process.
func BenchmarkRequest(b *testing.B) {
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprint("clients=", clients), func(b *testing.B) { benchmark(b, clients) })
	}
}

func benchmark(b *testing.B, clients int) {
	before := runtime.GOMAXPROCS(0)
	defer func() { runtime.GOMAXPROCS(before) }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		answer := []byte(standin.Served("0123456789abcdef0123456789abcdef", "Server-Load: queue=1,latency_ms=2.5", "X-Meter: 85"))
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				p := make([]byte, 4096)
				for {
					if _, err := c.Read(p); err != nil {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	a, err := standin.NewAgent("")
	if err != nil {
		b.Fatal(err)
	}
	defer a.Close()
	known := standin.List(1, true, standin.Target("s-1", ln.Addr().String(), 0, "active", 0))
	cfg, err := Parse([]byte(config(a.Addr(), known)), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	l, err := Start(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	left := make(chan bool, clients)
	b.ReportAllocs()
	b.ResetTimer()
	cpuBefore := cpuTime(b)
	for i := range clients {
		go func() {
			if err := sendRequests(l.Addr(), i, b.N/clients+1); err != nil {
				b.Error(err)
			}
			left <- true
		}()
	}
	for range clients {
		<-left
	}
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the CPU time of this process, in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// sendRequests sends a number of requests on one connection, one at a time, each with an id of its own.
func sendRequests(addr string, client, times int) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	request := fmt.Appendf(nil, "GET /api/%s/%s HTTP/1.1\r\nHost: o\r\nRequest-Id: %s\r\nRequest-Class: read\r\nX-Storage-Class: gold\r\n"+
		"Request-Timeout-Ms: 9000\r\nX-Extent: units=2,shard=0,hosts=1\r\n\r\n", id(client%7), id(client), id(client))
	requestID := request[bytes.Index(request, []byte("Request-Id: "))+len("Request-Id: "):]
	var number [8]byte
	for i := range times {
		binary.BigEndian.PutUint64(number[:], uint64(client)<<32|uint64(i))
		hex.Encode(requestID, number[:])
		if _, err := c.Write(request); err != nil {
			return err
		}
		length := 0
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return err
			}
			if len(line) <= 2 {
				break
			}
			if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
				for _, d := range bytes.TrimSpace(v) {
					length = length*10 + int(d-'0')
				}
			}
		}
		if _, err := r.Discard(length); err != nil {
			return err
		}
	}
	return nil
}
