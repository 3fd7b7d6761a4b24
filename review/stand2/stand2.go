// Package stand2 has the stand-ins of the second review's cases: the platform (configuration, signals, discovery),
// storage nodes and clients. They speak the platform's HTTP/1.1 and do only what its pages allow. Every address is a
// loopback address. Each case is a program of its own, which starts the host with the deploy file's command.
package stand2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// The results of a case, as exit codes.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

const maxLength = 115 * time.Second // of a case

// Case is a running case.
type Case struct {
	Began time.Time

	ending sync.Mutex
	mu     sync.Mutex
	record *os.File
	dir    string
	hosts  []*Host
}

// Start begins a case, whose folder is named by the first argument. The working folder is the repository's root.
func Start() *Case {
	runtime.LockOSThread() // the hosts end with the thread that started them
	if len(os.Args) < 2 {
		fmt.Println("usage: PROGRAM FOLDER")
		os.Exit(NotRun)
	}
	c := &Case{Began: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		c.Fatal("%v", err)
	}
	time.AfterFunc(maxLength, func() { c.Fatal("not over after %v", maxLength) })
	return c
}

// Log writes a line to record.txt, with the seconds since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.4f "+format+"\n", append([]any{time.Since(c.Began).Seconds()}, args...)...)
}

// Fatal ends a case that could not run.
func (c *Case) Fatal(format string, args ...any) { c.End(NotRun, fmt.Sprintf(format, args...)) }

// End kills the hosts and exits with a result.
func (c *Case) End(result int, text string) {
	c.ending.Lock() // for good: the first call ends the process
	for _, h := range c.hosts {
		h.Signal(syscall.SIGKILL)
		<-h.Ended
	}
	verdict := [...]string{"held", "broken", "not run"}[result]
	c.Log("%s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	c.record.Close()
	os.RemoveAll(c.dir)
	os.Exit(result)
}

// FreeAddress returns an unused loopback address with a free port.
func (c *Case) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Host is one process of the program under test.
type Host struct {
	Listen string
	Ended  chan struct{} // closed when the process has ended
	Err    error         // its exit status, once it has ended

	c      *Case
	cmd    *exec.Cmd
	config string
	fields map[string]any
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// StartHost starts a host by the deploy file's run line, as the platform does, and waits until it is ready.
func (c *Case) StartHost(name, listen, discovery string, settings, limits, known map[string]any) *Host {
	text, err := os.ReadFile("deploy/balancer.toml")
	m := runLine.FindSubmatch(text)
	if err != nil || m == nil {
		c.Fatal("deploy/balancer.toml: %v: no run line", err)
	}
	h := &Host{Listen: listen, Ended: make(chan struct{}), c: c, config: filepath.Join(c.dir, name+".json"),
		fields: map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
			"limits": limits, "known": known, "settings": settings}}
	h.Configure(discovery)
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.Fatal("%v", err)
	}
	tmp := filepath.Join(c.dir, name+".tmp")
	_ = os.Mkdir(tmp, 0o700)
	h.cmd = exec.Command("/bin/sh", "-c", string(m[1]))
	h.cmd.Env = append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN="+listen, "BALANCER_DISCOVERY="+discovery,
		"BALANCER_CONFIG="+h.config, "TMPDIR="+tmp)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		c.Fatal("%s: %v", m[1], err)
	}
	c.hosts = append(c.hosts, h)
	c.Log("host %s started: %s", name, m[1])
	go func() {
		h.Err = h.cmd.Wait()
		c.Log("host %s ended: %v", name, h.Err)
		close(h.Ended)
	}()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + listen + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				c.Log("host %s ready", name)
				return h
			}
		}
		if time.Now().After(until) {
			c.Fatal("the host is not ready: %v", err)
		}
	}
}

// Configure replaces the configuration file by one with another address of discovery.
func (h *Host) Configure(discovery string) {
	h.fields["discovery"] = discovery
	text, err := json.Marshal(h.fields)
	if err == nil {
		err = os.WriteFile(h.config+".new", text, 0o644)
	}
	if err == nil {
		err = os.Rename(h.config+".new", h.config)
	}
	if err != nil {
		h.c.Fatal("%v", err)
	}
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	select {
	case <-h.Ended:
	default:
		_ = h.cmd.Process.Signal(s)
	}
}

// Target is a node as discovery lists it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Change is the state of the list at a version: all its targets, and the version that changed each.
type Change struct {
	Rev     int
	Targets []Target
}

// Agent is the discovery agent of one host.
type Agent struct {
	Addr string

	c       *Case
	ln      net.Listener
	mu      sync.Mutex
	history []Change // every version that it has been sent, ascending
	wake    chan struct{}
	ended   chan struct{}
}

// StartAgent starts an agent that holds one version of the list.
func (c *Case) StartAgent(first Change) *Agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	a := &Agent{Addr: ln.Addr().String(), c: c, ln: ln, history: []Change{first}, wake: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

// Learn sends the agent a new version.
func (a *Agent) Learn(v Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.history = append(a.history, v)
	close(a.wake)
	a.wake = make(chan struct{})
}

// Refuse ends the acceptance of connections, Close also the open ones.
func (a *Agent) Refuse() { a.ln.Close() }

// Close closes the open connections.
func (a *Agent) Close() { close(a.ended) }

// changes returns what changed after a version, or else the whole list; nil: the caller has all there is.
func (a *Agent) changes(from int) (object []byte, rev int, wake chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.history[len(a.history)-1]
	if from == last.Rev {
		return nil, from, a.wake
	}
	all, targets := true, last.Targets
	for _, v := range a.history {
		if v.Rev == from {
			all, targets = false, nil
			for i, t := range last.Targets {
				if t != v.Targets[i] {
					targets = append(targets, t)
				}
			}
		}
	}
	text, _ := json.Marshal(map[string]any{"rev": last.Rev, "all": all, "targets": targets})
	return append(text, '\n'), last.Rev, a.wake
}

func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	buf, n := make([]byte, 8<<10), 0
	for !bytes.Contains(buf[:n], []byte("\r\n\r\n")) {
		k, err := conn.Read(buf[n:])
		if err != nil {
			return
		}
		n += k
	}
	var method, target string
	fmt.Sscan(string(buf[:n]), &method, &target)
	from := -1
	if _, err := fmt.Sscanf(target, "/catalog/members?watch=1&from=%d", &from); err != nil {
		text, _, _ := a.changes(-1)
		a.c.Log("agent %s: %s: whole list %s", a.Addr, target, bytes.TrimSpace(text))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		return
	}
	a.c.Log("agent %s: %s", a.Addr, target)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for first := true; ; first = false {
		text, rev, wake := a.changes(from)
		if text == nil && first { // nothing has changed after that version
			text = fmt.Appendf(nil, `{"rev":%d,"all":false,"targets":[]}`+"\n", rev)
		}
		from = rev
		if text != nil {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			a.c.Log("agent %s told the host: %s", a.Addr, bytes.TrimSpace(text))
		}
		select {
		case <-wake:
		case <-a.ended:
			return
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(conn, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}

// Request is a request as a client sends it or a node gets it.
type Request struct {
	Method, Path string
	Header       map[string]string // by name in lower case
	Body         []byte
}

// ID returns the request's id.
func (r *Request) ID() string { return r.Header["request-id"] }
