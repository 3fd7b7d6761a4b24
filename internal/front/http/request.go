package http

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/internal/http1"
)

// refusal is a request that is answered by the front itself, with a status that promises nothing.
type refusal struct {
	status int
	text   string
}

func (r *refusal) Error() string { return r.text }

func wrong(status int, format string, args ...any) error {
	return &refusal{status, fmt.Sprintf(format, args...)}
}

const (
	idDigits    = 16
	timeoutMost = time.Hour
	hostsMost   = 1 << 20
	keyMost     = 256 // bytes of an Idempotency-Key
)

// rules are the settings that requests are checked against.
type rules struct {
	classes   map[string]control.Class
	plans     map[string]bool
	shards    int     // 0: not told
	mostUnits float64 // 0: not told
}

func newRules(set control.Settings) rules {
	r := rules{classes: map[string]control.Class{}, plans: map[string]bool{}, shards: set.Shards, mostUnits: set.MostUnits}
	for _, c := range set.Classes {
		r.classes[c.Name] = c
	}
	for _, p := range set.Plans {
		r.plans[p.Name] = true
	}
	return r
}

// read turns a request's head into what the host takes; its body has not come yet.
func (rs rules) read(h *http1.Request) (*host.Request, error) {
	m := &http1.Message{Method: string(h.Method), Target: string(h.Target), ID: h.Header.Text("Request-Id")}
	r := &host.Request{Message: m}
	if !hexID(m.ID) {
		return nil, wrong(400, "Request-Id: expected %d hexadecimal digits, once", idDigits)
	}
	r.Class, r.Plan = h.Header.Text("Request-Class"), h.Header.Text("X-Storage-Class")
	class, known := rs.classes[r.Class]
	if !known {
		return nil, wrong(400, "Request-Class %q: not in the settings", clip(r.Class))
	}
	if !rs.plans[r.Plan] {
		return nil, wrong(400, "X-Storage-Class %q: not in the settings", clip(r.Plan))
	}
	want := "GET"
	if class.Writes {
		want = "PUT"
	}
	if m.Method != want {
		return nil, wrong(405, "method %q: class %s takes %s", clip(m.Method), r.Class, want)
	}
	if m.Method == "GET" && h.Body.Length != 0 {
		return nil, wrong(400, "GET with a body")
	}
	var err error
	if r.Volume, r.Item, err = names(m.Target); err != nil {
		return nil, err
	}
	if r.Expires, err = timeout(h.Header.Text("Request-Timeout-Ms")); err != nil {
		return nil, err
	}
	if class.Effect == control.Keyed {
		if m.Key = h.Header.Text("Idempotency-Key"); m.Key == "" || len(m.Key) > keyMost {
			return nil, wrong(400, "Idempotency-Key: class %s needs one, of up to %d bytes", r.Class, keyMost)
		}
	}
	r.Retry = h.Header.Text("Client-Retry") == "1"
	return r, rs.extent(r, h.Header.Text("X-Extent"))
}

// extent reads units=U,shard=S,hosts=H, in any order.
func (rs rules) extent(r *host.Request, s string) error {
	seen, times := 0, 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.Trim(part, " \t"), "=")
		switch name {
		case "units":
			u, err := strconv.ParseFloat(value, 64)
			if err != nil || !(u > 0 && u <= 1e6) || rs.mostUnits > 0 && u > rs.mostUnits {
				return wrong(400, "X-Extent: units %q: expected more than 0 and %g at most", clip(value), rs.mostUnits)
			}
			r.Units = u
			seen |= 1
			times++
		case "shard":
			n, err := strconv.Atoi(value)
			if err != nil || n < control.AnyShard || rs.shards > 0 && n >= rs.shards {
				return wrong(400, "X-Extent: shard %q: expected -1 to %d", clip(value), rs.shards-1)
			}
			r.Shard = n
			seen |= 2
			times++
		case "hosts":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 || n > hostsMost {
				return wrong(400, "X-Extent: hosts %q: expected 1 or more", clip(value))
			}
			r.Hosts = n
			seen |= 4
			times++
		}
	}
	if seen != 7 || times != 3 {
		return wrong(400, "X-Extent %q: expected units, shard and hosts, once each", clip(s))
	}
	return nil
}

// names are the last two parts of a path, volume and item.
func names(target string) (volume, item string, err error) {
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(path, "/") {
		return "", "", wrong(400, "target %q: expected a path", clip(target))
	}
	path, item = path[:strings.LastIndexByte(path, '/')], path[strings.LastIndexByte(path, '/')+1:]
	volume = path[strings.LastIndexByte(path, '/')+1:]
	if !hexID(volume) || !hexID(item) {
		return "", "", wrong(404, "path %q: expected a volume and an item of %d hexadecimal digits", clip(target), idDigits)
	}
	return volume, item, nil
}

func timeout(s string) (time.Duration, error) {
	ms, err := strconv.ParseUint(s, 10, 31)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > timeoutMost {
		return 0, wrong(400, "Request-Timeout-Ms %q: expected whole milliseconds, 1 to %d", clip(s), timeoutMost.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func hexID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return false
		}
	}
	return true
}

func clip(s string) string {
	const most = 40
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}

// statusOf is what an error is answered with.
func statusOf(err error) int {
	var r *refusal
	var e *http1.Error
	switch {
	case errors.As(err, &r):
		return r.status
	case errors.As(err, &e):
		return e.Status
	}
	return 400
}

// health says that a request asks whether this host is ready.
func health(h *http1.Request) bool {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	return string(path) == "/_health"
}
