package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"eiderhold/internal/standin"
)

// TestLiveProcess starts the program as the platform does, without a writable folder, sends it SIGHUP from
// its first moment on, and ends it with SIGTERM: status 0.
func TestLiveProcess(t *testing.T) {
	agent, err := standin.NewAgent("")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"01","limits":{"cores":0.5,"memory_mb":32,"sockets":256},
 "known":%s,"settings":{"balancers":1,"classes":[{"name":"read","effect":"retryable","slo_ms":100,"deadline_ms":1000,"credit":1}],
 "policies":[{"name":"gold","nominal":5,"shares":1}],"limits":{"conn_idle_ms":30000,"dial_timeout_ms":250}}}`,
		addr, agent.Addr(), standin.List(1, true, standin.Target("s-1", "127.0.0.1:9", 0, "active", 0)))
	if err := os.WriteFile(file, []byte(text), 0o444); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "live")
	cmd.Env = append(os.Environ(), asProgram+"=1", "BALANCER_CONFIG="+file)
	cmd.Dir = "/"
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	agent.Next() // it runs
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for {
		resp, err := http.Get("http://" + addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	if !bytes.Contains(log.Bytes(), []byte("configuration read again")) {
		t.Errorf("no word of SIGHUP:\n%s", log.String())
	}
}
