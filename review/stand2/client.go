package stand2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a request of a client and what became of it.
type Call struct {
	ID, Class, Plan string
	Volume, Item    string
	Shard, Units    int
	Hosts           int
	Key             string        // of a keyed class
	Body            []byte        // of a write
	Timeout         time.Duration // that the client tells the host
	Patience        time.Duration // that it listens for, to see a late answer; 0: Timeout

	SentAt     time.Time // its last byte was written then
	AnsweredAt time.Time // the answer's last byte; zero: there was none
	EndedAt    time.Time // when the call ended, whatever the end was
	Status     int
	Answer     []byte
	Err        error // why there was no whole answer
	Silent     bool  // the host closed the connection without a byte
	First      bool  // it was the first one on its connection
}

// Text returns the request as sent.
func (k *Call) Text() []byte {
	method, extra := "GET", ""
	if k.Body != nil {
		method, extra = "PUT", fmt.Sprintf("Content-Length: %d\r\n", len(k.Body))
	}
	if k.Key != "" {
		extra += "Idempotency-Key: " + k.Key + "\r\n"
	}
	return append(fmt.Appendf(nil, "%s /api/%s/%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"X-Storage-Class: %s\r\nRequest-Timeout-Ms: %d\r\n%sX-Extent: units=%d,shard=%d,hosts=%d\r\n\r\n",
		method, k.Volume, k.Item, k.ID, k.Class, k.Plan, k.Timeout.Milliseconds(), extra, k.Units, k.Shard, max(1, k.Hosts)), k.Body...)
}

// Client sends one request at a time on a connection, keeps its connections and opens more when all are busy.
type Client struct {
	Addr string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// Do sends a request and waits for its answer. If the host closes a kept connection without a byte, the request is
// sent once more on a new one.
func (c *Client) Do(k *Call) {
	defer func() { k.EndedAt = time.Now() }()
	for try := 0; ; try++ {
		conn, err := c.connect(try > 0)
		if err != nil {
			k.Err = err
			return
		}
		c.do(conn, k)
		if !k.Silent || k.First {
			return
		}
	}
}

func (c *Client) connect(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.Addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, nil}, nil
}

func (c *Client) do(conn *clientConn, k *Call) {
	k.Silent, k.Err = false, nil
	if k.First = conn.r == nil; k.First {
		conn.r = bufio.NewReader(conn)
	}
	_, err := conn.Write(k.Text())
	k.SentAt = time.Now()
	if err != nil {
		k.Err, k.Silent = err, true
		conn.Close()
		return
	}
	_ = conn.SetReadDeadline(k.SentAt.Add(max(k.Timeout, k.Patience)))
	if _, err = conn.r.Peek(1); err != nil {
		var t net.Error
		k.Err, k.Silent = err, !(errors.As(err, &t) && t.Timeout())
		conn.Close()
		return
	}
	resp, err := http.ReadResponse(conn.r, nil)
	if err == nil {
		k.Status = resp.StatusCode
		k.Answer, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		k.Err = err
		conn.Close()
		return
	}
	k.AnsweredAt = time.Now()
	if resp.Close {
		conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// Settings returns the settings of a small deployment, as in the platform's example: its classes, plans and limits.
func Settings(hosts int) map[string]any {
	class := func(name, effect, scope string, slo, deadline, window float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "dedup_scope": scope, "slo_ms": slo, "deadline_ms": deadline,
			"window_ms": window, "credit": 2.0, "late_worth": 0.1, "streamed": false}
	}
	plan := func(name string, nominal, pays, shares float64) map[string]any {
		return map[string]any{"name": name, "nominal": nominal, "pays": pays, "shares": shares, "reserve": 0.0, "cap": 0.0, "burst": 0.0, "tolerance": 0.0}
	}
	return map[string]any{
		"balancers": hosts,
		"classes": []any{class("record-read", "retryable", "all", 120, 1000, 5000), class("record-write", "dedup", "cell", 200, 1200, 1200),
			class("bulk-export", "retryable", "all", 600, 2000, 5000)},
		"clients": map[string]any{"marks_retry": false}, "discovery": "pushed",
		"family_info": map[string]any{"cold_bears": 37.0, "idle_worth": 0.05, "most_units": 6, "says_others": false, "slots_total": 8,
			"unit_mean": 1.99, "use_period_ms": 1000.0, "within_share": 1.0, "writes": []any{false, true, false}},
		"limits": map[string]any{"cancelling": true, "conn_idle_ms": 30000.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
			"dial_timeout_ms": 250.0, "max_attempts": 4, "max_retry_after_ms": 2000.0, "open_cap": 26666, "peers": false, "probes": false,
			"retry_after": true, "second_copies": true, "streams_per_conn": 1},
		"locality": "caerdydd", "me": 0, "policies": []any{plan("standard", 5.8, 0.72, 1), plan("priority", 8.7, 0.9, 3)},
		"safety": map[string]any{"answer_slack_ms": 8.0, "cold_ms": 18000.0, "drain_grace_ms": 2000.0, "fall_ms": 2000.0,
			"must_ask_in_ms": 10000.0, "overload_factor": 4.0, "start_capacity": 0.17},
		"service_type": "stores", "shapes": []any{"single-core", "dual-core-slow"}, "stage": 0,
		"telemetry": map[string]any{"fields": []any{"queue", "latency_ms"}, "via": "answers"},
		"tick_ms":   2.0, "tiers": []any{"enrol-store"}, "weight_kind": "nominal", "zones": []any{"caerdydd"}}
}

// Limits returns the limits of a host on the smallest machine of the scored days.
func Limits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}
}

// Known returns a version of the list in discovery's form, as the configuration holds it.
func Known(v Change) map[string]any {
	return map[string]any{"rev": v.Rev, "all": true, "targets": v.Targets}
}
