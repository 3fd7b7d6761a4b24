package stand2

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ParseRequest reads the first whole request of b and returns its length; 0: more bytes are needed.
func ParseRequest(b []byte) (*Request, int) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, 0
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	r := &Request{Header: map[string]string{}}
	fmt.Sscan(lines[0], &r.Method, &r.Path)
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		r.Header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	n, _ := strconv.Atoi(r.Header["content-length"])
	if len(b) < end+4+n {
		return nil, 0
	}
	r.Body = append([]byte(nil), b[end+4:end+4+n]...)
	return r, end + 4 + n
}

// Node is a storage node, which hears and is heard with the delay of its network.
type Node struct {
	Target
	Handle func(*NodeConn, *Request) // called for each request, in a goroutine of its own
	Delay  time.Duration             // of the network, each way

	c  *Case
	ln net.Listener
}

// NodeConn is a connection to a node.
type NodeConn struct {
	Node *Node
	conn net.Conn
	out  chan parcel

	mu      sync.Mutex
	arrived int // requests that have begun to arrive
	open    bool
}

// parcel is what travels over the network.
type parcel struct {
	at   time.Time
	data []byte
}

// SleepUntil sleeps to the tenth of a millisecond, which the runtime's timers do not.
func SleepUntil(at time.Time) {
	if d := time.Until(at); d > 0 {
		t := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&t, nil)
	}
}

// StartNode starts a node.
func (c *Case) StartNode(uid string, shard int, delay time.Duration, handle func(*NodeConn, *Request)) *Node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal("%v", err)
	}
	n := &Node{Handle: handle, Delay: delay, c: c, ln: ln, Target: Target{UID: uid, Endpoint: ln.Addr().String(),
		Zone: "caerdydd", Kind: "single-core", Shard: shard, State: "active", Hint: 1}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// Close ends the acceptance of connections.
func (n *Node) Close() { n.ln.Close() }

func (n *Node) serve(conn net.Conn) {
	nc := &NodeConn{Node: n, conn: conn, out: make(chan parcel, 64), open: true}
	in := make(chan parcel, 64)
	go func() { // the network towards the node
		defer close(in)
		for {
			b := make([]byte, 64<<10)
			k, err := conn.Read(b)
			if err != nil {
				return
			}
			in <- parcel{time.Now().Add(n.Delay), b[:k]}
		}
	}()
	go func() { // the network towards the host
		for p := range nc.out {
			SleepUntil(p.at)
			_, _ = conn.Write(p.data)
		}
	}()
	var buf []byte
	begun := false
	for p := range in {
		SleepUntil(p.at)
		buf = append(buf, p.data...)
		for len(buf) > 0 {
			if !begun {
				begun = true
				nc.mu.Lock()
				nc.arrived++
				nc.mu.Unlock()
			}
			r, k := ParseRequest(buf)
			if r == nil {
				break
			}
			buf, begun = buf[k:], false
			go n.Handle(nc, r)
		}
	}
	nc.mu.Lock()
	nc.open = false
	close(nc.out)
	nc.mu.Unlock()
	conn.Close()
}

// Arrived returns the number of requests that have begun to arrive on the connection.
func (nc *NodeConn) Arrived() int {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	return nc.arrived
}

// Write sends bytes to the host.
func (nc *NodeConn) Write(b []byte) { nc.WriteIf(b, -1) }

// WriteIf sends bytes to the host if no more than so many requests have begun to arrive; -1: in any case. It reports
// whether it did.
func (nc *NodeConn) WriteIf(b []byte, arrived int) bool {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	if !nc.open || arrived >= 0 && nc.arrived > arrived {
		return false
	}
	nc.out <- parcel{time.Now().Add(nc.Node.Delay), b}
	return true
}

// Answer returns the bytes of an answer.
func Answer(status int, fields string, body []byte) []byte {
	return append(fmt.Appendf(nil, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n", status, len(body), fields), body...)
}

// Name names the connection in the record.
func (nc *NodeConn) Name() string { return nc.conn.RemoteAddr().String() }
