package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderhold/internal/standin"
)

// startLive starts the program as the platform does: without a writable folder and with a limit on descriptors.
func startLive(t *testing.T, agent *standin.Agent, sockets int, known string) (cmd *exec.Cmd, addr string, log *standin.Log) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = free.Addr().String()
	free.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"01","limits":{"cores":0.5,"memory_mb":32,"sockets":%d},
 "known":%s,"settings":{"balancers":1,"classes":[{"name":"read","effect":"retryable","slo_ms":100,"deadline_ms":1000,"credit":1}],
 "policies":[{"name":"gold","nominal":5,"shares":1}],"limits":{"conn_idle_ms":30000,"dial_timeout_ms":250}}}`,
		addr, agent.Addr(), sockets, known)
	if err := os.WriteFile(file, []byte(text), 0o444); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" live`, sockets), os.Args[0])
	cmd.Env = append(os.Environ(), runMainEnv+"=1", "BALANCER_CONFIG="+file)
	cmd.Dir = "/"
	log = &standin.Log{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, addr, log
}

// waitUntilReady waits until the host's health check succeeds.
func waitUntilReady(addr string) {
	for {
		resp, err := http.Get("http://" + addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				http.DefaultClient.CloseIdleConnections()
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func newAgent(t *testing.T, addr string) *standin.Agent {
	t.Helper()
	a, err := standin.NewAgent(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// TestLiveProcess sends SIGHUP as soon as the program runs and ends it with SIGTERM, which must give status 0.
func TestLiveProcess(t *testing.T) {
	agent := newAgent(t, "")
	cmd, addr, log := startLive(t, agent, 256, standin.List(1, true, standin.Target("s-1", "127.0.0.1:9", 0, "active", 0)))
	agent.Next() // the program runs
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitUntilReady(addr)
	log.WaitFor("configuration read again")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// TestTermBeforeReady checks that SIGTERM ends a host that has no node list yet with status 0.
func TestTermBeforeReady(t *testing.T) {
	agent := newAgent(t, "")
	cmd, _, log := startLive(t, agent, 256, standin.List(1, true))
	agent.Next() // the program runs and requests the full list, which it does not get
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	log.WaitFor("ending")
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// TestDescriptorLimit opens many more idle connections than the process has descriptors while discovery is down.
// When discovery is back, the host must still get the list and connect to the new node, and every request on an
// accepted connection must be answered.
func TestDescriptorLimit(t *testing.T) {
	node, err := standin.NewHTTPNode(func(s standin.Seen) standin.Reply { return standin.Reply{Text: standin.Served("x")} })
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	agent := newAgent(t, "")
	_, addr, log := startLive(t, agent, 96, standin.List(1, true, standin.Target("s-1", "127.0.0.1:9", 1, "active", 0)))
	watch := agent.Next()
	waitUntilReady(addr)
	var c net.Conn
	var answers *bufio.Reader
	ask := func(n int) int { // on the open connection, or on a new one if the last answer closed it
		t.Helper()
		if c == nil {
			if c, err = net.Dial("tcp", addr); err != nil {
				t.Fatal(err)
			}
			answers = bufio.NewReader(c)
		}
		fmt.Fprintf(c, "GET /api/%016x/%016x HTTP/1.1\r\nHost: o\r\nRequest-Id: %016x\r\nRequest-Class: read\r\nX-Storage-Class: gold\r\n"+
			"Request-Timeout-Ms: 1000\r\nX-Extent: units=1,shard=0,hosts=1\r\n\r\n", n, n, n)
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.Close {
			_ = c.Close()
			c = nil
		}
		return resp.StatusCode
	}
	if s := ask(0); s != 503 { // no node holds its shard yet
		t.Fatalf("status %d, want 503", s)
	}
	agent.Close()
	watch.Conn.Close()
	log.WaitFor("discovery: a connection ended")
	for range 300 {
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
	}
	for i := range 20 { // at the limit of descriptors
		ask(i)
	}
	newAgent(t, agent.Addr()).Next().Line(standin.List(2, false, standin.Target("s-2", node.Addr(), 0, "active", 0)))
	for n := 100; ask(n) != 200; n++ {
	}
	if text := log.Text(); strings.Contains(text, "too many open files") {
		t.Fatalf("descriptors ran out:\n%s", text)
	}
}
