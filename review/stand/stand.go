// Package stand has the stand-ins of the review's cases: the platform's discovery, storage nodes and clients, and the
// start of a real host as a process of its own. They speak HTTP/1.1 as the platform's protocol page has it, and record
// what they send, receive and answer.
package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NoRun  = 2 // the case could not run
)

// Record is the record of a case: one line for each event, with the time since its start.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	Start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NoRun)
	}
	return &Record{f: f, Start: time.Now()}
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	at := time.Since(r.Start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.4f  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Target is one entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is one object of discovery.
type List struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Text returns the object as one line of JSON.
func (l List) Text() string {
	if l.Targets == nil {
		l.Targets = []Target{}
	}
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// Discovery is the agent of discovery on a host's machine. It answers a call at once, or Delay later.
type Discovery struct {
	rec *Record
	ln  net.Listener

	mu      sync.Mutex
	rev     uint64
	targets []Target
	changed map[string]uint64 // uid -> revision of its last change
	delay   time.Duration     // from a call to its answer
	silent  bool              // answers no call and sends nothing
	epoch   int               // grows with each silence: watches and calls of an older one stay silent
	news    *sync.Cond
	calls   int
}

// NewDiscovery starts an agent that holds a list.
func NewDiscovery(rec *Record, rev uint64, targets []Target) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rec.Say("cannot listen: %v", err)
		os.Exit(NoRun)
	}
	d := &Discovery{rec: rec, ln: ln, rev: rev, targets: append([]Target(nil), targets...), changed: map[string]uint64{}}
	d.news = sync.NewCond(&d.mu)
	for _, t := range targets {
		d.changed[t.UID] = rev
	}
	go func() { // wakes watches for their empty lines
		for {
			time.Sleep(50 * time.Millisecond)
			d.news.Broadcast()
		}
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// Addr is the agent's address.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// SetDelay sets the time from a call to its answer.
func (d *Discovery) SetDelay(t time.Duration) { d.mu.Lock(); d.delay = t; d.mu.Unlock() }

// Silence begins or ends a time in which the agent says nothing. Open watches, and calls made meanwhile, stay silent
// for good: they have to be opened anew.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	d.silent = on
	d.epoch++
	d.mu.Unlock()
	d.rec.Printf("discovery silent: %v", on)
}

// State changes the state of a node.
func (d *Discovery) State(uid, state string) {
	d.mu.Lock()
	d.rev++
	for i := range d.targets {
		if d.targets[i].UID == uid {
			d.targets[i].State = state
		}
	}
	d.changed[uid] = d.rev
	d.mu.Unlock()
	d.rec.Printf("discovery has rev %d: %s is %s", d.rev, uid, state)
	d.news.Broadcast()
}

// whole returns the whole list. The caller holds mu.
func (d *Discovery) whole() List {
	l := List{Rev: d.rev, All: true}
	for _, t := range d.targets {
		if t.State != "left" {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// since returns the entries that changed after a revision. The caller holds mu.
func (d *Discovery) since(rev uint64) List {
	l := List{Rev: d.rev}
	for _, t := range d.targets {
		if d.changed[t.UID] > rev {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	n, delay, silent, epoch := d.calls, d.delay, d.silent, d.epoch
	d.mu.Unlock()
	d.rec.Printf("discovery call %d: %s", n, req.RequestURI)
	gone := make(chan bool)
	go func() { // sees the caller close
		_, _ = c.Read(make([]byte, 1))
		d.rec.Printf("discovery call %d: closed by the caller", n)
		close(gone)
		d.news.Broadcast()
	}()
	if silent {
		<-gone
		return
	}
	select {
	case <-gone:
		return
	case <-time.After(delay):
	}
	d.mu.Lock()
	if d.epoch != epoch {
		d.mu.Unlock()
		<-gone
		return
	}
	if req.URL.Query().Get("watch") != "1" {
		text := d.whole().Text()
		d.mu.Unlock()
		d.rec.Printf("discovery call %d: answered %s", n, text)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	from, _ := strconv.ParseUint(req.URL.Query().Get("from"), 10, 64)
	l := d.since(from)
	if from > d.rev {
		l = d.whole()
	}
	d.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	line := func(s string) bool {
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(s)+1, s)
		return err == nil
	}
	told, last := l.Rev, time.Now()
	d.rec.Printf("discovery call %d: told %s", n, l.Text())
	if !line(l.Text()) {
		return
	}
	for {
		d.mu.Lock()
		for d.rev == told && time.Since(last) < 2*time.Second && d.epoch == epoch {
			select {
			case <-gone:
				d.mu.Unlock()
				return
			default:
			}
			d.news.Wait()
		}
		if d.epoch != epoch {
			d.mu.Unlock()
			<-gone
			return
		}
		text := ""
		if d.rev != told {
			l := d.since(told)
			told, text = l.Rev, l.Text()
			d.rec.Printf("discovery call %d: told %s", n, text)
		}
		d.mu.Unlock()
		last = time.Now()
		if !line(text) {
			return
		}
	}
}

// Seen is a request that a node has read whole.
type Seen struct {
	Node, ID, Key, Method, Target, TimeoutMS, Body string
	Conn                                           int
	At                                             time.Time // when its last byte had come
}

// Node is a storage node. Its script answers the requests, on the goroutine of their connection; it returns false if
// the connection ends.
type Node struct {
	UID    string
	Shard  int
	rec    *Record
	ln     net.Listener
	script func(*Node, Seen, net.Conn) bool

	mu    sync.Mutex
	seen  []Seen
	conns int
}

// NewNode starts a node.
func NewNode(rec *Record, uid string, shard int, script func(*Node, Seen, net.Conn) bool) *Node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rec.Say("cannot listen: %v", err)
		os.Exit(NoRun)
	}
	n := &Node{UID: uid, Shard: shard, rec: rec, ln: ln, script: script}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns++
			k := n.conns
			n.mu.Unlock()
			go n.serve(c, k)
		}
	}()
	return n
}

func (n *Node) serve(c net.Conn, k int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s := Seen{n.UID, req.Header.Get("Request-Id"), req.Header.Get("Idempotency-Key"), req.Method, req.RequestURI,
			req.Header.Get("Request-Timeout-Ms"), string(body), k, time.Now()}
		n.mu.Lock()
		n.seen = append(n.seen, s)
		n.mu.Unlock()
		n.rec.Printf("%s got %s (connection %d, %s ms left)", n.UID, s.ID, k, s.TimeoutMS)
		if !n.script(n, s, c) {
			return
		}
	}
}

// Seen returns the requests read so far.
func (n *Node) Seen() []Seen {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Seen(nil), n.seen...)
}

// Target returns the node's entry in discovery's list.
func (n *Node) Target(state string) Target {
	return Target{UID: n.UID, Endpoint: n.ln.Addr().String(), Zone: "a", Model: "m1", Shard: n.Shard, State: state, Size: 1}
}

// BodyOf returns the body of a node's answer to a request: each request has its own.
func BodyOf(id string) string { return "data of " + id + " " + strings.Repeat(id, 8) }

// Answer returns an answer of a node.
func Answer(status int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + "\r\n" + body
}

// Serve is the script of a sound node: it works for a time, then answers.
func Serve(work time.Duration) func(*Node, Seen, net.Conn) bool {
	return func(n *Node, s Seen, c net.Conn) bool {
		time.Sleep(work)
		n.rec.Printf("%s answers %s", n.UID, s.ID)
		_, err := io.WriteString(c, Answer(200, BodyOf(s.ID), "Server-Load: queue=0,latency_ms="+
			strconv.FormatFloat(float64(work.Microseconds())/1000, 'f', 1, 64)))
		return err == nil
	}
}

// Settings are the settings of a small deployment; change alters them.
func Settings(change func(map[string]any)) map[string]any {
	class := func(name, effect, scope string, window, slo, deadline, credit, late float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "dedup_scope": scope, "window_ms": window, "slo_ms": slo,
			"deadline_ms": deadline, "credit": credit, "late_worth": late, "streamed": false}
	}
	plan := func(name string, nominal, pays, shares float64) map[string]any {
		return map[string]any{"name": name, "nominal": nominal, "pays": pays, "shares": shares, "reserve": 0.0, "cap": 0.0, "burst": 0.0, "tolerance": 0.0}
	}
	s := map[string]any{
		"balancers": 3, "discovery": "pushed", "me": 0, "tick_ms": 2.0, "weight_kind": "nominal",
		"classes": []any{
			class("record-read", "retryable", "all", 5000, 120, 1000, 2, 0.1),
			class("record-write", "dedup", "cell", 1200, 200, 1200, 2, 0.15),
			class("bulk-export", "retryable", "all", 5000, 600, 2000, 1, 0.25),
		},
		"family_info": map[string]any{"cold_bears": 37.0, "idle_worth": 0.05, "most_units": 6, "says_others": false, "slots_total": 8,
			"unit_mean": 2.0, "use_period_ms": 1000.0, "within_share": 1.0, "writes": []bool{false, true, false}},
		"limits": map[string]any{"cancelling": true, "conn_idle_ms": 30000.0, "dial_timeout_ms": 250.0, "max_attempts": 4,
			"max_retry_after_ms": 2000.0, "probes": false, "retry_after": true, "second_copies": true},
		"policies": []any{plan("standard", 40, 0.72, 1), plan("priority", 60, 0.9, 3)},
		"safety": map[string]any{"answer_slack_ms": 8.0, "cold_ms": 18000.0, "drain_grace_ms": 2000.0, "fall_ms": 2000.0,
			"must_ask_in_ms": 10000.0, "overload_factor": 4.0, "start_capacity": 0.17},
		"telemetry": map[string]any{"fields": []string{"queue", "latency_ms"}, "via": "answers"},
	}
	if change != nil {
		change(s)
	}
	return s
}

// Host is a real host, as a process of its own.
type Host struct {
	Addr  string
	Ended chan error // gets the end of the process

	rec  *Record
	cmd  *exec.Cmd
	dir  string
	root string
	cfg  map[string]any
}

// NewHost prepares a host: it writes its configuration into a temporary folder. root is the repository's.
func NewHost(rec *Record, root, name, discovery string, known List, settings map[string]any) *Host {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.Say("%v", err)
		os.Exit(NoRun)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a free port
	if err != nil {
		rec.Say("%v", err)
		os.Exit(NoRun)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	h := &Host{Addr: addr, rec: rec, dir: dir, root: root}
	h.cfg = map[string]any{"name": name, "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	h.Configure(discovery)
	return h
}

// SetSockets sets the limit of descriptors in the configuration.
func (h *Host) SetSockets(n int) {
	h.cfg["limits"].(map[string]any)["sockets"] = n
	h.Configure(h.cfg["discovery"].(string))
}

// Configure writes the configuration with another address of discovery.
func (h *Host) Configure(discovery string) {
	h.cfg["discovery"] = discovery
	b, err := json.Marshal(h.cfg)
	if err == nil {
		err = os.WriteFile(filepath.Join(h.dir, "new"), b, 0o600)
	}
	if err == nil {
		err = os.Rename(filepath.Join(h.dir, "new"), filepath.Join(h.dir, "config.json"))
	}
	if err != nil {
		h.rec.Say("%v", err)
		os.Exit(NoRun)
	}
}

// Start starts the process by the deploy file's command.
func (h *Host) Start() {
	deploy, err := os.ReadFile(filepath.Join(h.root, "deploy/balancer.toml"))
	run := ""
	for _, line := range strings.Split(string(deploy), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			run, _, _ = strings.Cut(rest, `"`)
		}
	}
	if err != nil || run == "" {
		h.rec.Say("no command run in deploy/balancer.toml: %v", err)
		os.Exit(NoRun)
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.rec.Say("%v", err)
		os.Exit(NoRun)
	}
	defer log.Close()
	h.cmd = exec.Command("/bin/sh", "-c", run)
	h.cmd.Dir, h.cmd.Stdout, h.cmd.Stderr = h.root, log, log
	h.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+filepath.Join(h.dir, "config.json"), "TMPDIR="+h.dir)
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		h.rec.Say("%v", err)
		os.Exit(NoRun)
	}
	h.rec.Printf("host started: %s", run)
	h.Ended = make(chan error, 1)
	cmd, ended := h.cmd, h.Ended
	go func() {
		err := cmd.Wait()
		h.rec.Printf("host ended: %v", err)
		ended <- err
	}()
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.rec.Printf("host gets %v", s)
	_ = h.cmd.Process.Signal(s)
}

// Stop kills the process, appends its log to the record and removes its folder.
func (h *Host) Stop() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		select {
		case <-h.Ended:
		case <-time.After(5 * time.Second):
		}
	}
	if b, err := os.ReadFile(filepath.Join(h.dir, "log")); err == nil {
		h.rec.Printf("the host's log:\n%s", b)
	}
	_ = os.RemoveAll(h.dir)
}

// WaitReady waits until the host answers GET /_health with 200; false if it does not in 20 s.
func (h *Host) WaitReady() bool {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + h.Addr + "/_health")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == 200 {
			h.rec.Printf("host ready")
			return true
		}
	}
	return false
}

// Request is a client's request.
type Request struct {
	ID, Class, Plan, Volume, Item, Key, Body string
	Shard, Units, Hosts                      int
	Timeout                                  time.Duration
}

// Text returns the request as the protocol page has it.
func (q Request) Text() string {
	method := "GET"
	if q.Class == "record-write" {
		method = "PUT"
	}
	s := fmt.Sprintf("%s /api/%s/%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Storage-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Extent: units=%d,shard=%d,hosts=%d\r\n", method, q.Volume, q.Item, q.ID, q.Class, q.Plan,
		q.Timeout.Milliseconds(), q.Units, q.Shard, q.Hosts)
	if q.Key != "" {
		s += "Idempotency-Key: " + q.Key + "\r\n"
	}
	if method == "PUT" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return s + "\r\n" + q.Body
}

// Result is the end of a request, as its client sees it. Status is 0 if there was no whole answer.
type Result struct {
	Status int
	Body   string
	Err    error
	Took   time.Duration
}

// Client sends one request at a time on a connection of its own, which it keeps.
type Client struct {
	rec  *Record
	addr string
	c    net.Conn
	r    *bufio.Reader
}

// NewClient returns a client of a host.
func NewClient(rec *Record, addr string) *Client { return &Client{rec: rec, addr: addr} }

// Close closes the connection.
func (k *Client) Close() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}

// Do sends a request and waits for its answer, at most for wait from its last byte. A request that crosses the close
// of a kept connection is sent once more on a new one.
func (k *Client) Do(q Request, wait time.Duration) Result {
	kept := k.c != nil
	res := k.try(q, wait)
	if kept && res.Status == 0 && res.Err == io.EOF && res.Took < 5*time.Millisecond {
		res = k.try(q, wait)
	}
	k.rec.Printf("client: %s %s shard %d: %d %v in %.1f ms", q.ID, q.Class, q.Shard, res.Status, res.Err, float64(res.Took.Microseconds())/1000)
	return res
}

func (k *Client) try(q Request, wait time.Duration) (res Result) {
	if k.c == nil {
		c, err := net.DialTimeout("tcp", k.addr, time.Second)
		if err != nil {
			return Result{Err: err}
		}
		k.c, k.r = c, bufio.NewReader(c)
	}
	if _, err := io.WriteString(k.c, q.Text()); err != nil {
		k.Close()
		return Result{Err: io.EOF}
	}
	sent := time.Now()
	defer func() { res.Took = time.Since(sent) }()
	_ = k.c.SetReadDeadline(sent.Add(wait))
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		k.Close()
		if err == io.ErrUnexpectedEOF {
			err = io.EOF
		}
		return Result{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		k.Close()
		return Result{Err: err}
	}
	if resp.Close {
		k.Close()
	}
	return Result{Status: resp.StatusCode, Body: string(body)}
}
