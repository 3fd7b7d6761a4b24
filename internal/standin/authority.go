package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eiderhold/extentmap"
	"eiderhold/internal/mapfeed"
	"eiderhold/internal/mapfile"
)

// Authority is a stand-in of the authority of the extent map. It sends numbered changes over Server-Sent Events,
// and snapshots and single ranges over HTTP. Its map is a list of changes that it evaluates for each request, so
// that apart from snapshots it shares no data structure with the gateways' map that it is tested against.
type Authority struct {
	ln     net.Listener
	server *http.Server

	mu               sync.Mutex
	term             uint64
	changes          []mapfeed.Change // changes[i] has version i+1
	resumable        int              // how many of the latest changes are kept for streams that resume
	script           func(gateway string, version uint64) Delivery
	subs             map[*subscriber]bool
	down             bool
	rangeDelay       time.Duration // delay of each answer about a range
	stalledSnapshots int           // how many of the next snapshots stall in the middle
	requests         map[string]int
}

// Delivery says how a change is sent on one stream. The zero value sends it once, in order.
type Delivery struct {
	Skip  bool // never sent on this stream
	Twice bool // sent two times
	After int  // sent after this many later changes; 0: in order
}

// StartAuthority starts an authority with an empty map on a loopback port.
func StartAuthority() (*Authority, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in authority: %w", err)
	}
	a := &Authority{ln: ln, term: 1, resumable: 1000, subs: map[*subscriber]bool{}, requests: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /map", a.serveStream)
	mux.HandleFunc("GET /map/snapshot", a.serveSnapshot)
	mux.HandleFunc("GET /map/range", a.serveRange)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(ln) }()
	return a, nil
}

// URL returns the URL of the stream of changes.
func (a *Authority) URL() string { return "http://" + a.ln.Addr().String() + "/map" }

// Close stops the authority and closes its streams.
func (a *Authority) Close() { _ = a.server.Close() }

// Put adds a change to the map, sends it to all streams and returns its version.
func (a *Authority) Put(runs ...extentmap.Run) (version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	version = uint64(len(a.changes)) + 1
	a.changes = append(a.changes, mapfeed.Change{Term: a.term, Version: version, Runs: runs})
	a.notifyAll()
	return version
}

// notifyAll wakes all streams. The caller holds a.mu.
func (a *Authority) notifyAll() {
	for s := range a.subs {
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}

// Version returns the version of the last change.
func (a *Authority) Version() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.changes)
}

// SetScript sets the function that decides how each change is sent to a gateway; nil: once, in order.
func (a *Authority) SetScript(f func(gateway string, version uint64) Delivery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.script = f
}

// SetResumable sets how many of the latest changes the authority keeps for streams that resume.
func (a *Authority) SetResumable(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resumable = n
}

// SetRangeDelay sets the delay of answers about ranges.
func (a *Authority) SetRangeDelay(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rangeDelay = d
}

// StallSnapshots sets how many of the next snapshots stop in the middle until the client closes the connection.
func (a *Authority) StallSnapshots(snapshots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stalledSnapshots = snapshots
}

// SetDown makes the authority drop its streams and answer 503, or serve again.
func (a *Authority) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down = down; down {
		a.dropStreams()
	}
}

// dropStreams ends all streams. The caller holds a.mu.
func (a *Authority) dropStreams() {
	for s := range a.subs {
		close(s.dropped)
		delete(a.subs, s)
	}
}

// Restore acts as if a backup had been restored: a new term begins, with the changes up to a version only.
func (a *Authority) Restore(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.term++
	a.changes = append([]mapfeed.Change(nil), a.changes[:version]...)
	for i := range a.changes {
		a.changes[i].Term = a.term
	}
	a.dropStreams()
}

// Requests returns the number of requests of one kind: "stream", "snapshot" or "range".
func (a *Authority) Requests(what string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests[what]
}

// admit counts a request and reports whether it is to be served. If the authority is down, it answers 503.
func (a *Authority) admit(w http.ResponseWriter, what string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[what]++
	if a.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return !a.down
}

// serveStream sends changes to one gateway as the script specifies, after a snapshot event if the stream cannot
// resume from the version that the gateway has.
func (a *Authority) serveStream(w http.ResponseWriter, req *http.Request) {
	if !a.admit(w, "stream") {
		return
	}
	s := &subscriber{gateway: req.URL.Query().Get("gateway"), notify: make(chan struct{}, 1), dropped: make(chan struct{})}
	a.mu.Lock()
	a.subs[s] = true
	term, seen, canResume := mapfeed.ParseID(req.Header.Get("Last-Event-ID"))
	canResume = canResume && term == a.term && seen <= uint64(len(a.changes)) && int(seen) >= len(a.changes)-a.resumable
	term = a.term
	if !canResume {
		seen = uint64(len(a.changes))
	}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.subs, s)
		a.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	send := func(event string, c mapfeed.Change) {
		b, _ := json.Marshal(c)
		_, _ = fmt.Fprintf(w, "event: %s\nid: %s\ndata: %s\n\n", event, mapfeed.ID(c.Term, c.Version), b)
	}
	if !canResume {
		send(mapfeed.EventSnapshot, mapfeed.Change{Term: term, Version: seen})
	}
	type delayedChange struct {
		mapfeed.Change
		after int
	}
	var delayed []delayedChange
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		a.mu.Lock()
		var pending []mapfeed.Change
		if a.term == term {
			pending = a.changes[min(int(seen), len(a.changes)):]
		}
		script := a.script
		a.mu.Unlock()
		for _, c := range pending {
			seen = c.Version
			d := Delivery{}
			if script != nil {
				d = script(s.gateway, c.Version)
			}
			if d.After > 0 {
				delayed = append(delayed, delayedChange{c, d.After})
			} else if !d.Skip {
				send(mapfeed.EventChange, c)
				if d.Twice {
					send(mapfeed.EventChange, c)
				}
			}
			rest := delayed[:0]
			for _, l := range delayed {
				if l.Version < c.Version {
					l.after--
				}
				if l.after > 0 {
					rest = append(rest, l)
				} else {
					send(mapfeed.EventChange, l.Change)
				}
			}
			delayed = rest
		}
		if rc.Flush() != nil {
			return
		}
		select {
		case <-s.notify:
		case <-heartbeat.C:
			_, _ = fmt.Fprint(w, ":\n\n")
		case <-s.dropped:
			return
		case <-req.Context().Done():
			return
		}
	}
}

// serveSnapshot answers with the map in the format of package mapfile.
func (a *Authority) serveSnapshot(w http.ResponseWriter, req *http.Request) {
	if !a.admit(w, "snapshot") {
		return
	}
	a.mu.Lock()
	term, changes := a.term, a.changes
	a.mu.Unlock()
	m, err := extentmap.New(1 << 28)
	if err == nil {
		_, err = m.Snapshot(term, 0, func() (extentmap.Run, bool, error) { return extentmap.Run{}, false, nil })
	}
	for _, c := range changes {
		if err == nil {
			_, err = m.Apply(extentmap.Delta{Term: term, Version: c.Version, Runs: c.Runs})
		}
	}
	var b seekBuffer
	if err == nil {
		_, err = mapfile.Write(&b, m.View())
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	a.mu.Lock()
	stall := a.stalledSnapshots > 0
	a.stalledSnapshots = max(0, a.stalledSnapshots-1)
	a.mu.Unlock()
	if stall {
		_, _ = w.Write(b.bytes[:len(b.bytes)/2])
		_ = http.NewResponseController(w).Flush()
		<-req.Context().Done()
		return
	}
	_, _ = w.Write(b.bytes)
}

// serveRange answers with the runs of a range. Each extent has the location from the last change that contains it.
func (a *Authority) serveRange(w http.ResponseWriter, req *http.Request) {
	if !a.admit(w, "range") {
		return
	}
	q := req.URL.Query()
	in := extentmap.Range{Volume: q.Get("volume")}
	var errA, errB error
	in.From, errA = strconv.ParseUint(q.Get("from"), 10, 64)
	in.To, errB = strconv.ParseUint(q.Get("to"), 10, 64)
	if errA != nil || errB != nil || in.From >= in.To || in.To-in.From > 1<<20 {
		http.Error(w, "range", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	answer, slow := mapfeed.Change{Term: a.term, Version: uint64(len(a.changes))}, a.rangeDelay
	for e := in.From; e < in.To; e++ {
		for i := len(a.changes) - 1; i >= 0; i-- {
			if r := lastRun(a.changes[i], in.Volume, e); r != nil {
				if n := len(answer.Runs); n > 0 && answer.Runs[n-1].To == e && answer.Runs[n-1].Location == r.Location {
					answer.Runs[n-1].To++
				} else {
					answer.Runs = append(answer.Runs, extentmap.Run{Range: extentmap.Range{Volume: in.Volume, From: e, To: e + 1}, Location: r.Location, Version: answer.Version})
				}
				break
			}
		}
	}
	a.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-req.Context().Done():
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// lastRun returns the last run of a change that contains an extent, or nil.
func lastRun(c mapfeed.Change, volume string, extent uint64) *extentmap.Run {
	for i := len(c.Runs) - 1; i >= 0; i-- {
		if r := &c.Runs[i]; r.Volume == volume && r.From <= extent && extent < r.To {
			return r
		}
	}
	return nil
}

// Location returns the location of an extent in the authority's map, if it has one.
func (a *Authority) Location(volume string, extent uint64) (extentmap.Location, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.changes) - 1; i >= 0; i-- {
		if r := lastRun(a.changes[i], volume, extent); r != nil {
			return r.Location, true
		}
	}
	return extentmap.Location{}, false
}

// seekBuffer is an in-memory io.WriteSeeker.
type seekBuffer struct {
	bytes []byte
	at    int
}

func (b *seekBuffer) Write(p []byte) (int, error) {
	b.bytes = append(b.bytes[:b.at], append(bytes.Clone(p), b.bytes[min(len(b.bytes), b.at+len(p)):]...)...)
	b.at += len(p)
	return len(p), nil
}

func (b *seekBuffer) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart || offset < 0 || offset > int64(len(b.bytes)) {
		return 0, fmt.Errorf("stand-in authority: seek %d, %d", offset, whence)
	}
	b.at = int(offset)
	return offset, nil
}
