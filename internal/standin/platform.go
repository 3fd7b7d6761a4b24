package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HTTPNode is a stand-in of a storage node of the platform. A script answers its requests: it reads them with
// net/http, not with the parser that is tested against it, and writes the script's replies unchanged.
type HTTPNode struct {
	ln net.Listener

	mu      sync.Mutex
	seen    []Seen
	conns   map[net.Conn]bool
	changed *sync.Cond // signals changes of seen and conns
	closed  bool
}

// Seen is one request that was read completely.
type Seen struct {
	Method, Target, ID, Key, Left string
	Body                          string
	Conn                          int       // number of the connection, from 1
	At                            time.Time // when its last byte was read
}

// Reply is a script's reply to a request. Text is written unchanged, then Then is called.
type Reply struct {
	Text string
	Then func(net.Conn) // nil: the connection stays open
}

// Served returns the text of an answer of status 200 with a body and header fields.
func Served(body string, fields ...string) string { return Answer(200, body, fields...) }

// Answer returns the text of an answer with a status, a body and header fields.
func Answer(status int, body string, fields ...string) string {
	head := ""
	for _, f := range fields {
		head += f + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), head, body)
}

// Reset closes a connection with a reset, as the death of the node's process does.
func Reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// NewHTTPNode starts a node. script is called for each request, on the goroutine of its connection.
func NewHTTPNode(script func(Seen) Reply) (*HTTPNode, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in node: %w", err)
	}
	n := &HTTPNode{ln: ln, conns: map[net.Conn]bool{}}
	n.changed = sync.NewCond(&n.mu)
	go func() {
		for i := 1; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[c] = true
			if n.closed {
				_ = c.Close()
			}
			n.mu.Unlock()
			go n.serve(c, i, script)
		}
	}()
	return n, nil
}

func (n *HTTPNode) serve(c net.Conn, number int, script func(Seen) Reply) {
	defer func() {
		_ = c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.changed.Broadcast()
		n.mu.Unlock()
	}()
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
		s := Seen{req.Method, req.RequestURI, req.Header.Get("Request-Id"), req.Header.Get("Idempotency-Key"),
			req.Header.Get("Request-Timeout-Ms"), string(body), number, time.Now()}
		n.mu.Lock()
		n.seen = append(n.seen, s)
		n.changed.Broadcast()
		n.mu.Unlock()
		reply := script(s)
		if _, err := io.WriteString(c, reply.Text); err != nil {
			return
		}
		if reply.Then != nil {
			reply.Then(c)
		}
	}
}

// Addr returns the address at which the node listens.
func (n *HTTPNode) Addr() string { return n.ln.Addr().String() }

// WaitSeen waits until at least this many requests were read completely, and returns all of them.
func (n *HTTPNode) WaitSeen(atLeast int) []Seen {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.seen) < atLeast {
		n.changed.Wait()
	}
	return append([]Seen(nil), n.seen...)
}

// WaitConns waits until at most this many connections are open.
func (n *HTTPNode) WaitConns(atMost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.conns) > atMost {
		n.changed.Wait()
	}
}

// Close stops the node and closes its connections.
func (n *HTTPNode) Close() {
	_ = n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.conns {
		_ = c.Close()
	}
}

// Agent is a stand-in of the platform's discovery agent, driven by a test.
type Agent struct {
	ln      net.Listener
	watches chan Watch
	greet   func(Watch)
}

// Watch is one connection with a request for the node list: a watch, or a single request for the whole list.
type Watch struct {
	From  uint64
	Whole bool
	Conn  net.Conn
}

// Line sends one line as a chunk. An empty line is a heartbeat.
func (w Watch) Line(text string) { w.Chunk(text + "\n") }

// Chunk sends a text as a chunk.
func (w Watch) Chunk(text string) { _ = w.send(text) }

// send sends a text as a chunk and reports whether the connection took it.
func (w Watch) send(text string) bool {
	_, err := fmt.Fprintf(w.Conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// Head sends the answer's status line and header.
func (w Watch) Head() {
	_, _ = io.WriteString(w.Conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// DefaultGreeting is the default start of an answer. It sends the header and, on a watch, a first object
// without changes. The whole list is sent by the test.
func DefaultGreeting(w Watch) {
	w.Head()
	if !w.Whole {
		w.Line(List(w.From, false))
	}
}

// NewAgent starts an agent at an address; empty: any loopback port.
func NewAgent(addr string) (*Agent, error) { return NewAgentWith(addr, DefaultGreeting) }

// NewAgentWith starts an agent like NewAgent whose answers are begun by greet.
func NewAgentWith(addr string, greet func(Watch)) (*Agent, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	a := &Agent{ln: ln, watches: make(chan Watch, 1024), greet: greet}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	return a, nil
}

func (a *Agent) serve(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || req.URL.Path != "/catalog/members" {
		_ = c.Close()
		return
	}
	q := req.URL.Query()
	w := Watch{Whole: q.Get("watch") != "1", Conn: c}
	w.From, _ = strconv.ParseUint(q.Get("from"), 10, 64)
	a.greet(w)
	a.watches <- w
}

// Next waits for the next request and returns its connection.
func (a *Agent) Next() Watch { return <-a.watches }

// Addr returns the address at which the agent listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close stops accepting connections. Open ones stay open.
func (a *Agent) Close() { _ = a.ln.Close() }

// Target returns one entry of the node list as JSON.
func Target(uid, endpoint string, shard int, state string, bootMS int64) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":%d,"state":%q,"capacity_hint":1.0,"boot_ms":%d}`,
		uid, endpoint, shard, state, bootMS)
}

// List returns one object of a watch, or the whole list, as JSON.
func List(rev uint64, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

// Log is an io.Writer for a logger whose output a test inspects.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Text returns the log's content.
func (l *Log) Text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Lines returns the lines that contain a text.
func (l *Log) Lines(text string) string {
	var found []string
	for line := range strings.Lines(l.Text()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// WaitFor waits until the log contains a text.
func (l *Log) WaitFor(text string) {
	for {
		l.mu.Lock()
		has := bytes.Contains(l.b.Bytes(), []byte(text))
		l.mu.Unlock()
		if has {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
