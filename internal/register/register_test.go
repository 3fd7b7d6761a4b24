package register_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/register"
	"eiderhold/internal/standin"
)

// TestStream parses the cases of section 9.2 of the standard, and lines and events over their limits.
func TestStream(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"one", "data: x\n\n", "message/x/"},
		{"lines", "data: a\ndata:b\ndata:  c\n\n", "message/a\nb\n c/"},
		{"named with id", "event: full\nid: 7\ndata: x\n\ndata: y\n\n", "full/x/7 message/y/7"},
		{"CR and CRLF", "data: a\r\rdata: b\r\n\r\n", "message/a/ message/b/"},
		{"comment and unknown", ": hi\nfoo: bar\ndata: x\n\n", "message/x/"},
		{"no data, no event", "event: full\nid: 3\n\ndata: x\n\n", "message/x/3"},
		{"field without colon", "data\ndata\n\n", "message/\n/"},
		{"cut off", "data: x\n\ndata: y\n", "message/x/"},
		{"byte order mark", "\xef\xbb\xbfdata: x\n\n", "message/x/"},
		{"id with NUL", "id: a\x00b\ndata: x\n\n", "message/x/"},
		{"id cleared", "id: 4\ndata: x\n\nid\ndata: y\n\n", "message/x/4 message/y/"},
		{"retry", "retry: 250\nretry: soon\ndata: x\n\n", "message/x/"},
	} {
		s := register.NewStream(strings.NewReader(c.in), "")
		var got []string
		for {
			m, err := s.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(c.name, err)
			}
			got = append(got, m.Event+"/"+m.Data+"/"+m.ID)
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if c.name == "retry" && s.Retry != 250*time.Millisecond {
			t.Errorf("retry %v", s.Retry)
		}
	}
	s := register.NewStream(strings.NewReader("data: "+strings.Repeat("x", 33<<20)), "")
	if _, err := s.Next(); err == nil || !strings.Contains(err.Error(), "a line of over") {
		t.Errorf("line over the limit: %v", err)
	}
	s = register.NewStream(strings.NewReader(strings.Repeat("data: "+strings.Repeat("x", 1<<20)+"\n", 33)), "")
	if _, err := s.Next(); err == nil || !strings.Contains(err.Error(), "an event of over") {
		t.Errorf("event over the limit: %v", err)
	}
}

func FuzzStream(f *testing.F) {
	f.Add("event: full\nid: 1\ndata: {}\n\n")
	f.Add("\xef\xbb\xbf:\r\rdata\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		s := register.NewStream(strings.NewReader(in), "")
		for n := 0; ; n++ {
			if _, err := s.Next(); err != nil {
				return
			}
			if n > len(in) {
				t.Fatal("more events than bytes")
			}
		}
	})
}

// recordingHost records the lists and solutions that a feed passes on.
type recordingHost struct {
	mu    sync.Mutex
	lists []host.List
	state map[string]control.NodeState

	solutions []string
}

func (h *recordingHost) List(l host.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, l)
	if h.state == nil || l.Kind == control.ListFull || l.Kind == control.ListCached {
		h.state = map[string]control.NodeState{}
	}
	for _, n := range l.Nodes {
		h.state[n.ID] = n.State
	}
}

func (h *recordingHost) Solution(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.solutions = append(h.solutions, string(b))
}

func (h *recordingHost) StartedAt(string, time.Time) time.Duration { return time.Second }

// waitForNodes waits until the known nodes are those in want, written like "a b:draining".
func (h *recordingHost) waitForNodes(t *testing.T, want string) {
	t.Helper()
	var got string
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		h.mu.Lock()
		var list []string
		for _, id := range []string{"a", "b", "c", "d"} {
			if s, ok := h.state[id]; ok && s != control.Gone {
				list = append(list, id+[]string{"", ":draining"}[s])
			}
		}
		h.mu.Unlock()
		if got = strings.Join(list, " "); got == want {
			return
		}
	}
	t.Fatalf("nodes %q, want %q", got, want)
}

func (h *recordingHost) count(kind control.ListKind) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lists {
		if l.Kind == kind {
			n++
		}
	}
	return n
}

func entry(id, state string) register.Entry {
	return register.Entry{ID: id, Addr: "127.0.0.1:1", State: state, StartedMS: 5}
}

func startFeed(t *testing.T, set register.Settings) (*recordingHost, *register.Feed, func()) {
	h := &recordingHost{}
	set.Gateway, set.InitialRetryDelay, set.MaxRetryDelay = "g", 5*time.Millisecond, 20*time.Millisecond
	f := register.New(set, h, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { f.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return h, f, stop
}

// TestFeed checks changes, an outage of the register with a change in between, a register that lost
// its history, and a restart of the gateway without a register and with an invalid cache.
func TestFeed(t *testing.T) {
	reg, err := standin.StartRegister("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer reg.Close()
	reg.Set(entry("a", "ready"))
	reg.Set(entry("b", "ready"))
	cache := filepath.Join(t.TempDir(), "nodes.json")
	h, f, stop := startFeed(t, register.Settings{URL: reg.URL(), Cache: cache})
	h.waitForNodes(t, "a b")
	reg.Set(entry("b", "draining"))
	reg.Set(entry("c", "ready"))
	h.waitForNodes(t, "a b:draining c")
	full := h.count(control.ListFull)

	reg.SetDown(true)
	for h.count(control.ListFailed) < 2 {
		time.Sleep(time.Millisecond)
	}
	h.waitForNodes(t, "a b:draining c") // the list held applies
	reg.Set(entry("b", "gone"))
	reg.SetDown(false)
	h.waitForNodes(t, "a c")
	if h.count(control.ListFull) != full {
		t.Error("the full list was sent although the feed resumed")
	}
	reg.SetDown(true)
	reg.Set(entry("d", "ready"))
	reg.DropHistory()
	reg.SetDown(false)
	h.waitForNodes(t, "a c d")
	if h.count(control.ListFull) != full+1 {
		t.Error("a register that lost its history did not send the full list")
	}
	if s := f.State(); !s.Connected || s.Nodes != 3 || s.Failures == 0 {
		t.Errorf("state %+v", s)
	}
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if b, _ := os.ReadFile(cache); strings.Contains(string(b), `"d"`) {
			break
		} else if time.Now().After(limit) {
			t.Fatalf("cached: %s", b)
		}
	}
	stop()
	reg.Close()

	h, _, stop = startFeed(t, register.Settings{URL: reg.URL(), Cache: cache})
	h.waitForNodes(t, "a c d")
	if h.count(control.ListCached) != 1 {
		t.Error("the cached list was not passed on as a cached one")
	}
	stop()
	os.WriteFile(cache, []byte(`{"nodes":[{"id":"x"}]}`), 0o644)
	h, _, stop = startFeed(t, register.Settings{URL: reg.URL(), Cache: cache})
	for h.count(control.ListFailed) == 0 {
		time.Sleep(time.Millisecond)
	}
	if h.count(control.ListCached) != 0 {
		t.Error("an invalid cache was passed on")
	}
	stop()
}

// TestHalfTheNodesGone checks that a list that lost half of its nodes takes effect at once but is not cached.
func TestHalfTheNodesGone(t *testing.T) {
	reg, err := standin.StartRegister("", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer reg.Close()
	for _, id := range []string{"a", "b", "c", "d"} {
		reg.Set(entry(id, "ready"))
	}
	cache := filepath.Join(t.TempDir(), "nodes.json")
	h, _, stop := startFeed(t, register.Settings{URL: reg.URL(), Cache: cache, SettleTime: time.Hour})
	h.waitForNodes(t, "a b c d")
	reg.SetDown(true)
	for _, id := range []string{"a", "b", "c"} {
		reg.Set(entry(id, "gone"))
	}
	reg.DropHistory() // so that a single full list drops all three
	reg.SetDown(false)
	h.waitForNodes(t, "d")
	stop()
	b, _ := os.ReadFile(cache)
	if !strings.Contains(string(b), `"a"`) {
		t.Errorf("the list that lost three of four nodes was cached at once: %s", b)
	}
}

// TestSilentOrInvalidStream checks that a feed keeps its list and reconnects after a stream that falls silent
// or sends an invalid event.
func TestSilentOrInvalidStream(t *testing.T) {
	good := `event: full` + "\n" + `data: {"version":1,"nodes":[{"id":"a","addr":"x:1","state":"ready"}]}` + "\n\n"
	var mu sync.Mutex
	requests := 0
	for name, body := range map[string]string{
		"silent":        good,
		"no JSON":       good + "event: delta\ndata: {\n\n",
		"unknown state": good + `event: delta` + "\n" + `data: {"version":2,"nodes":[{"id":"b","addr":"x:1","state":"asleep"}]}` + "\n\n",
		"no id":         good + `event: delta` + "\n" + `data: {"version":2,"nodes":[{"addr":"x:1","state":"ready"}]}` + "\n\n",
		"a gap":         good + `event: delta` + "\n" + `data: {"version":5,"nodes":[]}` + "\n\n",
	} {
		mu.Lock()
		requests = 0
		mu.Unlock()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			requests++
			mu.Unlock()
			fmt.Fprint(w, body)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		h, f, stop := startFeed(t, register.Settings{URL: server.URL, SilenceTimeout: 50 * time.Millisecond})
		h.waitForNodes(t, "a")
		for limit := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			mu.Lock()
			n := requests
			mu.Unlock()
			if n >= 3 {
				break
			}
			if time.Now().After(limit) {
				t.Fatalf("%s: %d requests, want at least 3", name, n)
			}
		}
		h.waitForNodes(t, "a")
		if f.State().Failures == 0 {
			t.Errorf("%s: no failure counted: %+v", name, f.State())
		}
		stop()
		server.CloseClientConnections()
		server.Close()
	}
}
