package live

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	backend "eiderhold/internal/backend/http"
	"eiderhold/internal/host"
	"eiderhold/internal/standin"
)

// config returns a complete configuration.
func config(discovery, known string) string {
	return fmt.Sprintf(`{"name":"n3","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":%s,
 "settings":{"balancers":1,"discovery":"pushed","classes":[
  {"name":"read","effect":"retryable","slo_ms":2000,"deadline_ms":9000,"credit":1},
  {"name":"write","effect":"dedup","dedup_scope":"cell","window_ms":1000,"slo_ms":2000,"deadline_ms":9000,"credit":1}],
  "family_info":{"unit_mean":2,"most_units":6,"slots_total":8,"within_share":1,"idle_worth":0.1,"writes":[false,true]},
  "limits":{"cancelling":true,"conn_idle_ms":30000,"dial_timeout_ms":250,"max_attempts":4,"max_retry_after_ms":2000},
  "policies":[{"name":"gold","nominal":100,"pays":1,"shares":1}],"telemetry":{"fields":["queue","latency_ms"],"via":"answers"}}}`,
		discovery, known)
}

// testTimeout bounds waits that take milliseconds on an idle machine. Every answer is due within half of it.
const testTimeout = 20 * time.Second

type testServer struct {
	*Server
	t       *testing.T
	agent   *standin.Agent
	watch   standin.Watch
	log     *standin.Log
	signals chan os.Signal
	ended   chan error
	closed  bool

	mu         sync.Mutex
	reloadText string // the configuration that a reload reads
}

// newTestServer starts a host with these entries as its known list, which serves until a signal ends it. It returns
// once the host is ready: the host may process the agent's first object later than the agent sends it, and refuses
// requests until then.
func newTestServer(t *testing.T, targets ...string) *testServer {
	t.Helper()
	a := newAgent(t)
	r := newTestServerAt(t, a, targets...)
	r.watch = a.Next()
	r.waitReady()
	return r
}

// newTestServerAt starts a host that uses the given agent, without waiting until it is ready.
func newTestServerAt(t *testing.T, a *standin.Agent, targets ...string) *testServer {
	t.Helper()
	cfg, err := Parse([]byte(config(a.Addr(), standin.List(1, true, targets...))), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	r := &testServer{t: t, agent: a, log: &standin.Log{}, signals: make(chan os.Signal, 16), ended: make(chan error, 1)}
	if r.Server, err = Start(cfg, slog.New(slog.NewTextHandler(r.log, nil))); err != nil {
		t.Fatal(err)
	}
	go func() {
		r.ended <- r.Serve(r.signals, func() (*Config, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return Parse([]byte(r.reloadText), func(string) string { return "" })
		})
	}()
	t.Cleanup(func() {
		if r.closed {
			return
		}
		if err := r.Close(); err != nil {
			t.Error(err)
		}
		<-r.ended
	})
	return r
}

const healthRequest = "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"

// waitReady waits until the host reports that it is ready.
func (r *testServer) waitReady() {
	r.t.Helper()
	got := ""
	for began := time.Now(); time.Since(began) < testTimeout; {
		if got = r.roundTrip(healthRequest); strings.HasPrefix(got, "200") {
			return
		}
	}
	r.t.Fatalf("not ready within %v: %q", testTimeout, got)
}

// waitReceived waits until the node has received at least the given number of requests. It fails if one of the given
// answers, which belong to these requests, arrives before: then no more requests will follow.
func (r *testServer) waitReceived(n *standin.HTTPNode, atLeast int, answers ...chan string) {
	r.t.Helper()
	seen, early := make(chan bool), make(chan string, len(answers))
	go func() { n.WaitSeen(atLeast); close(seen) }()
	for _, a := range answers {
		go func() {
			got := <-a
			a <- got // for a later expect
			early <- got
		}()
	}
	select {
	case <-seen:
	case got := <-early:
		if k := len(n.WaitSeen(0)); k < atLeast {
			r.t.Fatalf("answered %q when the node had received %d of %d requests", got, k, atLeast)
		}
	case <-time.After(testTimeout):
		r.t.Fatalf("the node received %d of %d requests within %v, and there was no answer", len(n.WaitSeen(0)), atLeast, testTimeout)
	}
}

func newAgent(t *testing.T) *standin.Agent {
	t.Helper()
	a, err := standin.NewAgent("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

func newNode(t *testing.T, script func(standin.Seen) standin.Reply) *standin.HTTPNode {
	t.Helper()
	n, err := standin.NewHTTPNode(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

func echo(s standin.Seen) standin.Reply { return standin.Reply{Text: standin.Served("of " + s.ID)} }

func id(n int) string { return fmt.Sprintf("%016x", n) }

// startRead starts a read on its own connection and returns a channel for the answer.
func (r *testServer) startRead(n, shard int) chan string {
	answer := make(chan string, 1)
	go func() { answer <- r.read(n, shard, 9*time.Second) }()
	return answer
}

// read sends a read with the given timeout on its own connection and returns the answer.
func (r *testServer) read(n, shard int, within time.Duration) string {
	return r.roundTrip(readText(n, shard, within))
}

// readText returns a read as sent.
func readText(n, shard int, within time.Duration) string {
	return fmt.Sprintf("GET /api/%s/%s HTTP/1.1\r\nHost: o\r\nRequest-Id: %s\r\nRequest-Class: read\r\nX-Storage-Class: gold\r\n"+
		"Request-Timeout-Ms: %d\r\nX-Extent: units=2,shard=%d,hosts=1\r\n\r\n", id(n%7), id(n), id(n), within.Milliseconds(), shard)
}

// roundTrip sends a request on its own connection and returns the status and body of the answer, or an error's text.
func (r *testServer) roundTrip(request string) string {
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	if _, err := io.WriteString(c, request); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

func (r *testServer) expect(answer chan string, want string) {
	r.t.Helper()
	if got := <-answer; !strings.HasPrefix(got, want) {
		r.t.Fatalf("%q, expected %q", got, want)
	}
}

func served(n int) string { return "200 of " + id(n) }

// readUntil repeats a read, under ascending ids, until its answer begins as wanted, and returns the last id. A list
// that the agent has sent takes effect some turns later.
func (r *testServer) readUntil(n, shard int, want string) int {
	for ; ; n++ {
		if strings.HasPrefix(r.read(n, shard, 9*time.Second), strings.Replace(want, "ID", id(n), 1)) {
			return n
		}
	}
}

// TestList checks that changes of the node list take effect: a new uid at an old endpoint, a drain, a node that is
// gone.
func TestList(t *testing.T) {
	a, b := newNode(t, echo), newNode(t, echo)
	r := newTestServer(t, standin.Target("s-1", a.Addr(), 0, "active", 0))
	r.expect(r.startRead(1, 0), served(1))
	r.watch.Line(standin.List(2, false, standin.Target("s-1", "", 0, "left", 0), standin.Target("s-2", a.Addr(), 0, "active", 0),
		standin.Target("s-3", b.Addr(), 1, "active", 0)))
	n := r.readUntil(2, 1, "200 of ID")
	r.expect(r.startRead(n+1, 0), served(n+1))
	r.watch.Line(standin.List(3, false, standin.Target("s-3", b.Addr(), 1, "leaving", 0)))
	n = r.readUntil(n+2, 1, "503")
	before := len(b.WaitSeen(1))
	r.expect(r.startRead(n+1, 1), "503")
	if after := len(b.WaitSeen(1)); after != before {
		t.Fatalf("a draining node received %d more requests", after-before)
	}
}

// TestNotReadyBeforeFirstList checks that a host does not serve with the known list before the agent's first object,
// and that a node which is missing from the agent's first list receives nothing.
func TestNotReadyBeforeFirstList(t *testing.T) {
	gone, there := newNode(t, echo), newNode(t, echo)
	speak := make(chan bool)
	a, err := standin.NewAgentWith("", func(w standin.Watch) {
		<-speak
		w.Head()
		w.Line(standin.List(9, true, standin.Target("s-2", there.Addr(), 0, "active", 0)))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	r := newTestServerAt(t, a, standin.Target("s-1", gone.Addr(), 0, "active", 0))
	if got := r.roundTrip(healthRequest); !strings.HasPrefix(got, "503") {
		t.Fatalf("ready with the known list only: %q", got)
	}
	close(speak)
	r.waitReady()
	r.expect(r.startRead(1, 0), served(1))
	if n := len(gone.WaitSeen(0)); n != 0 || len(there.WaitSeen(1)) != 1 {
		t.Fatalf("%d requests to the removed node", n)
	}
}

// TestDrainWithQueuedRequests checks that requests queued for a node when it starts to drain are answered, and that
// none of them is sent to the node any more.
func TestDrainWithQueuedRequests(t *testing.T) {
	release := make(chan bool)
	n := newNode(t, func(s standin.Seen) standin.Reply { <-release; return echo(s) })
	r := newTestServer(t, standin.Target("s-1", n.Addr(), 0, "active", 0))
	var answers []chan string
	for i := range 40 {
		answers = append(answers, r.startRead(i, 0))
	}
	for settled := false; !settled; {
		got := make(chan bool)
		// Attempts that wait for a connection are not in flight yet.
		r.CompareNodes(func(b []host.NodeView, p map[string]backend.NodeTraffic) {
			got <- len(b) == 1 && b[0].InFlight > 0 && b[0].Held > 0 && p["s-1"].Waiting == 0 && p["s-1"].InFlight == b[0].InFlight
		})
		settled = <-got
	}
	r.watch.Line(standin.List(2, false, standin.Target("s-1", n.Addr(), 0, "leaving", 0)))
	before := 0 // in flight when nothing is queued any more
	for held := 1; held > 0; {
		got := make(chan host.NodeView)
		r.CompareNodes(func(b []host.NodeView, _ map[string]backend.NodeTraffic) { got <- b[0] })
		b := <-got
		held, before = b.Held, b.InFlight
	}
	close(release)
	ok := 0
	for i, a := range answers {
		if got := <-a; got == served(i) {
			ok++
		} else if !strings.HasPrefix(got, "503") {
			t.Fatalf("%q", got)
		}
	}
	if after := len(n.WaitSeen(0)); after != before || ok != after {
		t.Fatalf("%d requests in flight at the start of the drain, %d received in the end, %d served", before, after, ok)
	}
}

// TestNodeEstimates checks that the controller's estimate of the attempts in flight matches the sockets, while a node delays
// its answers and after. A node that does not answer is suspect until it answers.
func TestNodeEstimates(t *testing.T) {
	release := make(chan bool)
	n := newNode(t, func(s standin.Seen) standin.Reply { <-release; return echo(s) })
	r := newTestServer(t, standin.Target("s-1", n.Addr(), 0, "active", 0))
	compare := func() (b host.NodeView, p backend.NodeTraffic) {
		got := make(chan bool)
		r.CompareNodes(func(bs []host.NodeView, ps map[string]backend.NodeTraffic) { b, p = bs[0], ps["s-1"]; close(got) })
		<-got
		return b, p
	}
	var answers []chan string
	for i := range 3 {
		answers = append(answers, r.startRead(i, 0))
	}
	r.waitReceived(n, 3, answers...)
	if b, p := compare(); b.InFlight != 3 || b.HostInFlight != 3 || p.InFlight+p.Waiting != 3 || p.Written != 3 || p.Responses != 0 {
		t.Fatalf("estimates %+v, traffic %+v", b, p)
	}
	for suspect := false; !suspect; {
		b, p := compare()
		if suspect = b.Suspect; b.HostInFlight != p.InFlight+p.Waiting {
			t.Fatalf("estimates %+v, traffic %+v", b, p)
		}
	}
	close(release)
	for i, a := range answers {
		r.expect(a, served(i))
	}
	if b, p := compare(); b.InFlight != 0 || b.HostInFlight != 0 || b.Suspect || p.InFlight+p.Waiting != 0 || p.Responses != 3 {
		t.Fatalf("estimates %+v, traffic %+v", b, p)
	}
}

// TestSilentNode checks that clients get a final answer if a node receives requests and never answers. A keyed write
// that may have run fails and is never refused: a refusal tells the client that a retry is harmless. Reads are
// refused, including those that were sent.
func TestSilentNode(t *testing.T) {
	hold := make(chan bool)
	n := newNode(t, func(standin.Seen) standin.Reply { <-hold; return standin.Reply{} })
	defer close(hold)
	r := newTestServer(t, standin.Target("s-1", n.Addr(), 0, "active", 0))
	write := make(chan string, 1)
	go func() {
		write <- r.roundTrip("PUT /api/" + id(1) + "/" + id(2) + " HTTP/1.1\r\nHost: o\r\nRequest-Id: " + id(99) + "\r\nRequest-Class: write\r\n" +
			"X-Storage-Class: gold\r\nRequest-Timeout-Ms: 500\r\nX-Extent: units=2,shard=0,hosts=1\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
	}()
	r.waitReceived(n, 1, write)
	reads := make(chan string, 30)
	for i := range cap(reads) {
		go func() { reads <- r.read(i, 0, 500*time.Millisecond) }()
	}
	for range cap(reads) {
		r.expect(reads, "503")
	}
	r.expect(write, "504")
	if seen := n.WaitSeen(1); seen[0].ID != id(99) || len(seen) > cap(reads) {
		t.Fatalf("the node received %d requests, the first %s", len(seen), seen[0].ID)
	}
}

// TestReload checks that SIGHUP under load switches to a new address of discovery, that an invalid configuration
// changes nothing, and that open requests are answered.
func TestReload(t *testing.T) {
	release := make(chan bool)
	n := newNode(t, func(s standin.Seen) standin.Reply { <-release; return echo(s) })
	r := newTestServer(t, standin.Target("s-1", n.Addr(), 0, "active", 0))
	open := r.startRead(1, 0)
	r.waitReceived(n, 1, open)
	r.reloadText = `{"name":"n3","listen":"nowhere"}`
	r.signals <- syscall.SIGHUP
	r.log.WaitFor("the new configuration cannot be used")
	b := newAgent(t)
	r.mu.Lock()
	r.reloadText = config(b.Addr(), "null")
	r.mu.Unlock()
	r.signals <- syscall.SIGHUP
	w := b.Next()
	if w.From != 1 {
		t.Fatalf("from %d", w.From)
	}
	w.Line(standin.List(2, false, standin.Target("s-2", n.Addr(), 1, "active", 0)))
	close(release)
	r.readUntil(2, 1, "200 of ID")
	r.expect(open, served(1))
}

// TestTerminate checks that after SIGTERM under load, a further SIGTERM and a SIGHUP between them, open requests are
// answered, new ones are served, and the host ends without an error.
func TestTerminate(t *testing.T) {
	release := make(chan bool)
	n := newNode(t, func(s standin.Seen) standin.Reply { <-release; return echo(s) })
	r := newTestServer(t, standin.Target("s-1", n.Addr(), 0, "active", 0))
	first := r.startRead(1, 0)
	r.waitReceived(n, 1, first)
	r.signals <- syscall.SIGTERM
	r.signals <- syscall.SIGHUP
	r.signals <- syscall.SIGTERM
	r.log.WaitFor("ending")
	late := r.startRead(2, 0) // the host still serves connections
	r.waitReceived(n, 2, late)
	close(release)
	r.expect(first, served(1))
	r.expect(late, served(2))
	r.closed = true
	if err := <-r.ended; err != nil {
		t.Fatal(err)
	}
}

// TestBadConfigurations checks that errors of invalid configurations name the setting.
func TestBadConfigurations(t *testing.T) {
	good := config("127.0.0.1:1", "null")
	none := func(string) string { return "" }
	if _, err := Parse([]byte(good), none); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, place string }{
		{`"name":"n3"`, `"name":""`, "name"},
		{`"listen":"127.0.0.1:0"`, `"listen":"x"`, "listen"},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`, "discovery"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"memory_mb":64`, `"memory_mb":-1`, "memory_mb"},
		{`"sockets":256`, `"sockets":3`, "sockets"},
		{`"effect":"dedup"`, `"effect":"odd"`, "effect"},
		{`"conn_idle_ms":30000`, `"conn_idle_ms":-1`, "conn_idle_ms"},
		{`{"name"`, `{{"name"`, "configuration"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if _, err := Parse([]byte(text), none); text == good || err == nil || !strings.Contains(err.Error(), c.place) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := Load(none); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("%v", err)
	}
}
