package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/nodewire"
)

// NodeOptions describes one stand-in node. A time of 0 switches off the behaviour that it belongs to.
type NodeOptions struct {
	ID, Zone string
	Size     float64 // relative size that the register announces; 0: 1
	Shard    int
	Listen   string // 127.0.0.1:0 if empty
	Disk     *Disk

	Cores    int           // requests served at a time
	UnitTime time.Duration // work of one unit on a core
	Queue    int           // requests waiting before further ones are refused as busy
	MaxConns int

	Started      time.Time // zero: the node is warm
	ColdFor      time.Duration
	ColdCapacity float64       // fraction of the full speed at the start
	FallMultiple float64       // a cold node goes down if it receives more than this multiple of its present capacity ...
	FallSpan     time.Duration // ... over this time
	ColdBears    float64       // units over FallSpan that never bring it down
	DownFor      time.Duration // time for which it then accepts no connection

	RecentItems  int           // number of most recently read items that cost less to read
	RecentPart   float64       // part of the work that reading one of them takes
	DeferredPart float64       // part of a write's work that is done after its answer
	KeyWindow    time.Duration // time in which a write with the same key has no second effect
	KeyedClasses map[string]bool

	Seed  int64
	Trace *audit.Writer
	Meter *Meter // nil: answers carry no volume use
}

// Trouble holds the faults of a node. The zero value has none.
type Trouble struct {
	Hang       bool    // accepts requests and never answers
	Slow       float64 // factor of the work's duration; 0: 1
	TailPart   float64 // part of the requests whose work takes TailTimes as long
	TailTimes  float64
	Neighbour  float64       // part of the cores' time that other programs take
	ErrorPart  float64       // part of the requests that are answered with an error at once
	LostPart   float64       // part of the answers that are not sent
	PauseUntil time.Time     // no work and no answers until then
	Delay      time.Duration // added before each answer
}

// Node is a running stand-in node.
type Node struct {
	opt NodeOptions
	ln  net.Listener

	mu          sync.Mutex
	rng         *rand.Rand
	trouble     Trouble
	conns       map[net.Conn]bool
	lastConnID  uint64
	queue       chan *job
	waiting     int
	latency     time.Duration // recent service time
	recentItems []string
	arrived     []arrival // requests within FallSpan, while cold
	draining    bool
	downUntil   time.Time
	closed      bool
	counts      NodeCounts
	served      map[string]*volumeCount
	wg          sync.WaitGroup
}

// NodeCounts holds counts of requests since the start; Fell counts how often the node went down.
type NodeCounts struct{ Arrived, Done, Errors, Busy, Repeats, Lost, Cancelled, Collapses int }

// arrival is a request's arrival at a cold node.
type arrival struct {
	at    time.Time
	units float64
}

// job is one request that the node has received.
type job struct {
	nodewire.Request
	conn      *gatewayConn
	at        time.Time
	cancelled bool
}

// gatewayConn is one connection from a gateway.
type gatewayConn struct {
	net.Conn
	mu      sync.Mutex // guards writes
	id      uint64
	gateway string
	jobs    map[uint64]*job // guarded by Node.mu
}

// StartNode starts a node that listens and serves until Close.
func StartNode(opt NodeOptions) (*Node, error) {
	if opt.Listen == "" {
		opt.Listen = "127.0.0.1:0"
	}
	if opt.Disk == nil {
		opt.Disk, _ = NewDisk("")
	}
	opt.Cores, opt.Queue = max(1, opt.Cores), max(1, opt.Queue)
	if opt.MaxConns == 0 {
		opt.MaxConns = 1000
	}
	ln, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in node %s: %w", opt.ID, err)
	}
	n := &Node{opt: opt, ln: ln, rng: rand.New(rand.NewSource(opt.Seed)), conns: map[net.Conn]bool{},
		served: map[string]*volumeCount{},
		queue:  make(chan *job, opt.Queue+opt.Cores)}
	for range opt.Cores {
		n.wg.Add(1)
		go n.serveQueue()
	}
	n.wg.Add(1)
	go n.accept(ln)
	return n, nil
}

// Addr returns the address at which the node listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// Disk returns the disk of the node's shard.
func (n *Node) Disk() *Disk { return n.opt.Disk }

// Set changes the node's faults.
func (n *Node) Set(change func(*Trouble)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.trouble)
}

// Counts returns the node's counts since the start.
func (n *Node) Counts() NodeCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Drain makes the node refuse new requests as busy.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Close stops the node like a killed process: it closes all connections and answers no pending request.
func (n *Node) Close() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	n.ln.Close()
	for c := range n.conns {
		c.Close()
	}
	close(n.queue)
	n.mu.Unlock()
	n.wg.Wait()
}

// CloseConns closes all open connections.
func (n *Node) CloseConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

func (n *Node) accept(ln net.Listener) {
	defer n.wg.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.closed || len(n.conns) >= n.opt.MaxConns || time.Now().Before(n.downUntil) {
			n.mu.Unlock()
			c.Close()
			continue
		}
		n.conns[c] = true
		n.lastConnID++
		p := &gatewayConn{Conn: c, id: n.lastConnID, jobs: map[uint64]*job{}}
		n.wg.Add(1)
		n.mu.Unlock()
		go n.serveConn(p)
	}
}

// serveConn reads frames until the connection ends.
func (n *Node) serveConn(p *gatewayConn) {
	defer n.wg.Done()
	defer func() {
		p.Close()
		n.mu.Lock()
		delete(n.conns, p.Conn)
		for _, j := range p.jobs {
			j.cancelled = true
		}
		n.mu.Unlock()
	}()
	r := bufio.NewReaderSize(p, 64<<10)
	if !p.write(&nodewire.Hello{Version: nodewire.Version, Name: n.opt.ID, Shard: int32(n.opt.Shard)}) {
		return
	}
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		switch f := f.(type) { // read also during a pause, so that arrivals are recorded on time
		case *nodewire.Hello:
			p.gateway = f.Name
		case *nodewire.Request:
			n.handleRequest(p, f)
		case *nodewire.Cancel:
			n.mu.Lock()
			if j := p.jobs[f.ID]; j != nil {
				j.cancelled = true
				n.counts.Cancelled++
			}
			n.mu.Unlock()
		case *nodewire.Probe:
			n.mu.Lock()
			answer := &nodewire.Probed{ID: f.ID, Queue: uint32(n.waiting), LatencyUs: uint32(n.latency.Microseconds())}
			answer.Used, answer.Capacity = n.diskSpace()
			hang := n.trouble.Hang
			n.mu.Unlock()
			if !hang && !p.write(answer) {
				return
			}
		}
	}
}

// readFrame reads one frame into a new buffer.
func readFrame(r io.Reader) (nodewire.Frame, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(head)
	if size > nodewire.MaxFrame {
		return nil, fmt.Errorf("stand-in node: frame of %d bytes: at most %d", size, nodewire.MaxFrame)
	}
	b := make([]byte, 4+size)
	copy(b, head)
	if _, err := io.ReadFull(r, b[4:]); err != nil {
		return nil, err
	}
	f, _, err := nodewire.Decode(b)
	return f, err
}

func (p *gatewayConn) write(f nodewire.Frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.Write(nodewire.Append(nil, f))
	return err == nil
}

// waitWhilePaused blocks until the node's pause is over or the node is closed.
func (n *Node) waitWhilePaused() {
	for {
		n.mu.Lock()
		until, closed := n.trouble.PauseUntil, n.closed
		n.mu.Unlock()
		if closed || !time.Now().Before(until) {
			return
		}
		time.Sleep(min(time.Until(until), 20*time.Millisecond))
	}
}

// handleRequest records a request's arrival and queues it, or answers it without work.
func (n *Node) handleRequest(p *gatewayConn, f *nodewire.Request) {
	j := &job{Request: *f, conn: p, at: time.Now()}
	n.writeRecord(j, audit.Arrive, "")
	n.mu.Lock()
	n.counts.Arrived++
	if n.collapses(j) {
		n.counts.Collapses++
		n.mu.Unlock()
		n.opt.Trace.Put(audit.Record{Kind: audit.Collapse, Node: n.opt.ID, Gateway: p.gateway})
		n.CloseConns()
		return
	}
	if n.draining || n.waiting >= n.opt.Queue {
		n.counts.Busy++
		n.mu.Unlock()
		n.answerUnserved(j, &nodewire.Answer{Result: nodewire.Busy, Text: "queue full or draining"})
		return
	}
	if n.trouble.ErrorPart > 0 && n.rng.Float64() < n.trouble.ErrorPart {
		n.counts.Errors++
		n.mu.Unlock()
		n.answerUnserved(j, &nodewire.Answer{Result: nodewire.Error, Text: "internal error"})
		return
	}
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	p.jobs[f.ID] = j
	n.waiting++
	n.queue <- j // does not block: waiting is less than the channel's capacity
}

// answerUnserved answers a request without work: not at all if the node hangs, and after a pause if it is paused.
func (n *Node) answerUnserved(j *job, a *nodewire.Answer) {
	n.mu.Lock()
	hang, still := n.trouble.Hang, time.Now().Before(n.trouble.PauseUntil)
	n.mu.Unlock()
	if hang {
		return
	}
	if !still {
		n.sendAnswer(j, a)
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.waitWhilePaused()
		n.sendAnswer(j, a)
	}()
}

// collapses adds an arrival at a cold node and reports whether it brings the node down. The caller holds n.mu.
func (n *Node) collapses(j *job) bool {
	o := &n.opt
	if o.FallSpan == 0 || o.Started.IsZero() || time.Since(o.Started) > o.ColdFor || o.UnitTime == 0 {
		return false
	}
	units := float64(j.MilliUnits) / 1000
	n.arrived = append(n.arrived, arrival{j.at, units})
	sum := 0.0
	for len(n.arrived) > 0 && j.at.Sub(n.arrived[0].at) > o.FallSpan {
		n.arrived = n.arrived[1:]
	}
	for _, a := range n.arrived {
		sum += a.units
	}
	capacity := float64(o.Cores) / o.UnitTime.Seconds() * n.speedFactor() * o.FallSpan.Seconds()
	if sum <= max(o.ColdBears, o.FallMultiple*capacity) {
		return false
	}
	n.downUntil = j.at.Add(o.DownFor)
	n.arrived = nil
	return true
}

// speedFactor returns the node's present speed as a fraction of its full speed.
func (n *Node) speedFactor() float64 {
	o := &n.opt
	if o.Started.IsZero() || o.ColdFor == 0 {
		return 1
	}
	part := min(1, time.Since(o.Started).Seconds()/o.ColdFor.Seconds())
	return o.ColdCapacity + (1-o.ColdCapacity)*part
}

// serveQueue serves queued requests one at a time; a node runs it once for each core.
func (n *Node) serveQueue() {
	defer n.wg.Done()
	for j := range n.queue {
		n.mu.Lock()
		n.waiting--
		if j.cancelled {
			delete(j.conn.jobs, j.ID)
			n.mu.Unlock()
			continue
		}
		workTime, deferred := n.serviceTime(j)
		hang := n.trouble.Hang
		n.mu.Unlock()
		if hang {
			continue // accepted, never answered
		}
		n.waitWhilePaused()
		sleep(workTime)
		a := n.execute(j)
		n.mu.Lock()
		delete(j.conn.jobs, j.ID)
		n.latency += (time.Since(j.at) - n.latency) / 8
		lost := n.trouble.LostPart > 0 && n.rng.Float64() < n.trouble.LostPart
		if lost {
			n.counts.Lost++
		}
		delay := n.trouble.Delay
		n.mu.Unlock()
		if !lost {
			sleep(delay)
			n.sendAnswer(j, a)
		}
		sleep(deferred)
	}
}

func sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

// serviceTime returns how long a request keeps a core before and after its answer. The caller holds n.mu.
func (n *Node) serviceTime(j *job) (now, later time.Duration) {
	o, t := &n.opt, &n.trouble
	work := float64(o.UnitTime) * float64(j.MilliUnits) / 1000 / n.speedFactor()
	if t.Slow > 0 {
		work *= t.Slow
	}
	if t.TailPart > 0 && n.rng.Float64() < t.TailPart {
		work *= t.TailTimes
	}
	if t.Neighbour > 0 {
		work /= 1 - min(t.Neighbour, 0.95)
	}
	if j.Op == nodewire.Read && o.RecentItems > 0 {
		for _, item := range n.recentItems {
			if item == j.Item {
				work *= o.RecentPart
				break
			}
		}
		n.recentItems = append(n.recentItems, j.Item)
		n.recentItems = n.recentItems[max(0, len(n.recentItems)-o.RecentItems):]
	}
	if j.Op == nodewire.Write {
		return time.Duration(work * (1 - o.DeferredPart)), time.Duration(work * o.DeferredPart)
	}
	return time.Duration(work), 0
}

// execute carries out the request's operation on the disk.
func (n *Node) execute(j *job) *nodewire.Answer {
	d := n.opt.Disk
	switch j.Op {
	case nodewire.Read:
		p, ok := d.Read(j.Item)
		if !ok {
			return &nodewire.Answer{Result: nodewire.Missing, Text: j.Item}
		}
		if int(j.Offset)+int(j.Length) > len(p) {
			return &nodewire.Answer{Result: nodewire.Error,
				Text: fmt.Sprintf("item of %d bytes: %d+%d asked for", len(p), j.Offset, j.Length)}
		}
		return &nodewire.Answer{Payload: p[j.Offset : j.Offset+uint64(j.Length)]}
	case nodewire.Write:
		if err := d.reserve(j.Item, int64(len(j.Payload))); err != nil { // a repeated write of an item needs no more room
			return &nodewire.Answer{Result: nodewire.NoRoom, Text: err.Error()}
		}
		if j.Key != "" && !d.recordKey(j.Key, n.opt.KeyWindow) {
			n.writeRecord(j, audit.Repeat, "")
			n.mu.Lock()
			n.counts.Repeats++
			n.mu.Unlock()
			return &nodewire.Answer{}
		}
		if err := d.Write(j.Item, j.Payload); err != nil {
			return &nodewire.Answer{Result: nodewire.Error, Text: err.Error()}
		}
		n.writeRecord(j, audit.Effect, "")
		return &nodewire.Answer{}
	default:
		d.Delete(j.Item)
		return &nodewire.Answer{}
	}
}

// resultNames are the texts of audit.Record.Result, by nodewire.Result.
var resultNames = [...]string{"done", "error", "busy", "missing", "no room"}

// diskSpace returns the bytes used and the capacity for a load report.
func (n *Node) diskSpace() (used, capacity uint64) {
	u, c := n.opt.Disk.Space()
	return uint64(max(0, u)), uint64(max(0, c))
}

// sendAnswer adds the node's load report and the volume's use to an answer and writes it.
func (n *Node) sendAnswer(j *job, a *nodewire.Answer) {
	n.mu.Lock()
	if a.Result == nodewire.Done {
		n.counts.Done++
		units := float64(j.MilliUnits) / 1000
		if a.VolumeUse = n.opt.Meter.record(j.Volume, units); a.VolumeUse > 0 {
			a.OthersMilliUnits = n.servedByOthers(j.Volume, j.conn.gateway, units)
		}
	}
	a.ID, a.Shard = j.ID, int32(n.opt.Shard)
	a.Queue, a.LatencyUs = uint32(n.waiting), uint32(n.latency.Microseconds())
	a.Used, a.Capacity = n.diskSpace()
	n.mu.Unlock()
	n.writeRecord(j, audit.End, resultNames[a.Result])
	j.conn.write(a)
}

// writeRecord writes an audit record about a request.
func (n *Node) writeRecord(j *job, what audit.Kind, result string) {
	n.opt.Trace.Put(audit.Record{Kind: what, Node: n.opt.ID, Shard: n.opt.Shard, Zone: n.opt.Zone,
		Gateway: j.conn.gateway, Conn: j.conn.id, Ref: j.Ref, Attempt: int(j.Attempt), Class: j.Class,
		Volume: j.Volume, Item: j.Item, Key: j.Key, Units: float64(j.MilliUnits) / 1000,
		Left: int64(j.LeftMicros) * 1000, Result: result, Took: int64(time.Since(j.at))})
}
