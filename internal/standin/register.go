package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"eiderhold/internal/audit"
	"eiderhold/internal/register"
)

// Register is a stand-in of the register. It sends a versioned node list over Server-Sent Events.
type Register struct {
	ln     net.Listener
	server *http.Server
	trace  *audit.Writer

	mu      sync.Mutex
	version uint64
	nodes   map[string]register.Entry
	history []change // the last changes, from which streams resume
	subs    map[*subscriber]bool
	shares  []byte        // the solution sent to gateways; nil: none
	down    bool          // answers 503 and has no streams
	delay   time.Duration // time by which changes are held back
}

// change is one version of the node list.
type change struct {
	version uint64
	entry   register.Entry
	at      time.Time
}

// subscriber is one open stream of the register or the authority.
type subscriber struct {
	gateway string
	notify  chan struct{}
	dropped chan struct{}
}

// maxHistory is the number of changes that a gateway may be behind before it gets the whole list.
const maxHistory = 1000

// StartRegister starts a register that listens at an address; 127.0.0.1:0 if empty.
func StartRegister(listen string, trace *audit.Writer) (*Register, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in register: %w", err)
	}
	r := &Register{ln: ln, trace: trace, version: 1, nodes: map[string]register.Entry{}, subs: map[*subscriber]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /nodes", r.serveStream)
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(ln)
	return r, nil
}

// URL returns the URL of the node list's stream.
func (r *Register) URL() string { return "http://" + r.ln.Addr().String() + "/nodes" }

// Close stops the register and closes its streams.
func (r *Register) Close() { r.server.Close() }

// Version returns the version of the node list.
func (r *Register) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Set adds, replaces or (state gone) removes one entry and sends the change to all streams.
func (r *Register) Set(e register.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if e.State == "gone" {
		delete(r.nodes, e.ID)
	} else {
		r.nodes[e.ID] = e
	}
	r.history = append(r.history, change{r.version, e, time.Now()})
	r.history = r.history[max(0, len(r.history)-maxHistory):]
	r.notifyAll()
}

// notifyAll wakes all streams. The caller holds r.mu.
func (r *Register) notifyAll() {
	for s := range r.subs {
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}

// SetShares sends a solution to all present and later streams, without checking it.
func (r *Register) SetShares(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares = b
	r.notifyAll()
}

// sharesAfter returns the present solution, or nil if it is the one that a stream sent last.
func (r *Register) sharesAfter(last []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.shares) == 0 || len(last) > 0 && &last[0] == &r.shares[0] {
		return nil
	}
	return r.shares
}

// SetDown makes the register drop its streams and answer 503, or serve again.
func (r *Register) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	if down {
		for s := range r.subs {
			close(s.dropped)
			delete(r.subs, s)
		}
	}
}

// SetDelay holds changes back for a duration before they are sent.
func (r *Register) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
	r.notifyAll()
}

// DropHistory drops the history, so that a gateway that resumes gets the whole list.
func (r *Register) DropHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
}

// serveStream serves one stream. It records each entry that it sends.
func (r *Register) serveStream(w http.ResponseWriter, req *http.Request) {
	s := &subscriber{gateway: req.URL.Query().Get("gateway"), notify: make(chan struct{}, 1), dropped: make(chan struct{})}
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	r.subs[s] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.subs, s)
		r.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	seen := uint64(0)
	fmt.Sscan(req.Header.Get("Last-Event-ID"), &seen)
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	listed := map[string]register.Entry{} // node id -> entry last sent on this stream, for the audit records
	var shares []byte
	for {
		for {
			event, doc, more := r.nextEvent(&seen)
			if event == "" {
				break
			}
			entries := doc.Nodes
			if event == "full" { // nodes that the full list does not name are gone
				named := map[string]bool{}
				for _, e := range doc.Nodes {
					named[e.ID] = true
				}
				for id, e := range listed {
					if !named[id] {
						e.State = "gone"
						entries = append(entries, e)
					}
				}
			}
			for _, e := range entries {
				listed[e.ID] = e
				if e.State == "gone" {
					delete(listed, e.ID)
				}
				r.trace.Put(audit.Record{Kind: audit.NodeSent, Gateway: s.gateway, Node: e.ID, Shard: e.Shard,
					Zone: e.Zone, State: e.State, Started: e.StartedMS * 1e6, Text: event})
			}
			b, _ := json.Marshal(doc)
			fmt.Fprintf(w, "event: %s\nid: %d\ndata: %s\n\n", event, doc.Version, b)
			if !more {
				break
			}
		}
		if next := r.sharesAfter(shares); next != nil {
			shares = next
			fmt.Fprint(w, "event: shares\n")
			for _, line := range strings.Split(string(shares), "\n") {
				fmt.Fprintf(w, "data: %s\n", line)
			}
			fmt.Fprint(w, "\n")
		}
		if rc.Flush() != nil {
			return
		}
		wait := r.nextDue(seen)
		select {
		case <-s.notify:
		case <-wait:
		case <-heartbeat.C:
			fmt.Fprint(w, ":\n\n")
		case <-s.dropped:
			return
		case <-req.Context().Done():
			return
		}
	}
}

// nextDue returns a channel that receives when the first change after a version is due, or nil if there is none.
func (r *Register) nextDue(seen uint64) <-chan time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.history {
		if c.version > seen {
			return time.After(max(time.Millisecond, time.Until(c.at.Add(r.delay))))
		}
	}
	return nil
}

// nextEvent returns the event that follows the version seen, and advances it: the next change, or the whole list.
// The event is empty if there is none yet.
func (r *Register) nextEvent(seen *uint64) (event string, doc register.Document, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *seen == r.version {
		return "", doc, false
	}
	if *seen != 0 && len(r.history) > 0 && r.history[0].version <= *seen+1 {
		for _, c := range r.history {
			if c.version == *seen+1 {
				if time.Since(c.at) < r.delay {
					return "", doc, false
				}
				*seen = c.version
				return "delta", register.Document{Version: c.version, Nodes: []register.Entry{c.entry}}, true
			}
		}
	}
	*seen = r.version
	doc.Version = r.version
	for _, e := range r.nodes {
		doc.Nodes = append(doc.Nodes, e)
	}
	sort.Slice(doc.Nodes, func(i, j int) bool { return doc.Nodes[i].ID < doc.Nodes[j].ID })
	return "full", doc, false
}
