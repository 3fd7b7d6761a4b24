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

// requestError is an invalid request, which the front answers itself with the status.
type requestError struct {
	status int
	text   string
}

func (r *requestError) Error() string { return r.text }

func newRequestError(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

const (
	idDigits    = 16
	maxTimeout  = time.Hour
	maxHosts    = 1 << 20
	maxKeyBytes = 256 // bytes of an Idempotency-Key
)

// rules are the settings against which requests are checked.
type rules struct {
	classes  map[string]control.Class
	plans    map[string]string // to the name as the settings hold it
	shards   int               // 0: unknown
	maxUnits float64           // 0: unknown
}

func newRules(settings control.Settings) rules {
	r := rules{classes: map[string]control.Class{}, plans: map[string]string{}, shards: settings.Shards, maxUnits: settings.MaxUnits}
	for _, c := range settings.Classes {
		r.classes[c.Name] = c
	}
	for _, p := range settings.Plans {
		r.plans[p.Name] = p.Name
	}
	return r
}

// parse converts a request's head to a host request, without the body, which is read later.
func (rs rules) parse(h *http1.Request) (*host.Request, error) {
	m := &http1.Message{Method: string(h.Method), Target: string(h.Target), ID: h.Header.SingleValue("Request-Id")}
	r := &host.Request{Message: m}
	if !isHexID(m.ID) {
		return nil, newRequestError(400, "Request-Id: expected %d hexadecimal digits, once", idDigits)
	}
	className := h.Header.Single("Request-Class")
	class, known := rs.classes[string(className)]
	if !known {
		return nil, newRequestError(400, "Request-Class %q: not in the settings", truncate(string(className)))
	}
	r.Class = class.Name
	planName := h.Header.Single("X-Storage-Class")
	if r.Plan, known = rs.plans[string(planName)]; !known {
		return nil, newRequestError(400, "X-Storage-Class %q: not in the settings", truncate(string(planName)))
	}
	want := "GET"
	if class.Writes {
		want = "PUT"
	}
	if m.Method != want {
		return nil, newRequestError(405, "method %q: class %s takes %s", truncate(m.Method), r.Class, want)
	}
	if m.Method == "GET" && h.Body.Length != 0 {
		return nil, newRequestError(400, "GET with a body")
	}
	var err error
	if r.Volume, r.Item, err = parsePath(m.Target); err != nil {
		return nil, err
	}
	if r.Expires, err = parseTimeout(h.Header.SingleValue("Request-Timeout-Ms")); err != nil {
		return nil, err
	}
	if class.Effect == control.Keyed {
		if m.Key = h.Header.SingleValue("Idempotency-Key"); m.Key == "" || len(m.Key) > maxKeyBytes {
			return nil, newRequestError(400, "Idempotency-Key: class %s needs one, of up to %d bytes", r.Class, maxKeyBytes)
		}
	}
	r.Retry = h.Header.SingleValue("Client-Retry") == "1"
	return r, rs.parseExtent(r, h.Header.SingleValue("X-Extent"))
}

// parseExtent parses units=U,shard=S,hosts=H, in any order.
func (rs rules) parseExtent(r *host.Request, s string) error {
	seen, times := 0, 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.Trim(part, " \t"), "=")
		switch name {
		case "units":
			u, err := strconv.ParseFloat(value, 64)
			if err != nil || !(u > 0 && u <= 1e6) || rs.maxUnits > 0 && u > rs.maxUnits {
				return newRequestError(400, "X-Extent: units %q: expected more than 0 and %g at most", truncate(value), rs.maxUnits)
			}
			r.Units = u
			seen |= 1
			times++
		case "shard":
			n, err := strconv.Atoi(value)
			if err != nil || n < control.AnyShard || rs.shards > 0 && n >= rs.shards {
				return newRequestError(400, "X-Extent: shard %q: expected -1 to %d", truncate(value), rs.shards-1)
			}
			r.Shard = n
			seen |= 2
			times++
		case "hosts":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 || n > maxHosts {
				return newRequestError(400, "X-Extent: hosts %q: expected 1 or more", truncate(value))
			}
			r.Hosts = n
			seen |= 4
			times++
		}
	}
	if seen != 7 || times != 3 {
		return newRequestError(400, "X-Extent %q: expected units, shard and hosts, once each", truncate(s))
	}
	return nil
}

// parsePath returns the last two elements of a path, volume and item. They do not refer to the target: the controller
// remembers them for longer than the request, and targets may be long.
func parsePath(target string) (volume, item string, err error) {
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(path, "/") {
		return "", "", newRequestError(400, "target %q: expected a path", truncate(target))
	}
	const namesBytes = 2*idDigits + 1
	names := strings.Clone(path[max(0, len(path)-namesBytes):])
	volume, item, _ = strings.Cut(names, "/")
	if !isHexID(volume) || !isHexID(item) || len(path) == namesBytes || path[len(path)-namesBytes-1] != '/' {
		return "", "", newRequestError(404, "path %q: expected a volume and an item of %d hexadecimal digits", truncate(target), idDigits)
	}
	return volume, item, nil
}

func parseTimeout(s string) (time.Duration, error) {
	ms, err := strconv.ParseUint(s, 10, 31)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > maxTimeout {
		return 0, newRequestError(400, "Request-Timeout-Ms %q: expected whole milliseconds, 1 to %d", truncate(s), maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func isHexID(s string) bool {
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

func truncate(s string) string {
	const limit = 40
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}

// statusOf returns the status with which an error is answered.
func statusOf(err error) int {
	var r *requestError
	var e *http1.Error
	switch {
	case errors.As(err, &r):
		return r.status
	case errors.As(err, &e):
		return e.Status
	}
	return 400
}

// isHealthCheck reports whether a request asks if this host is ready.
func isHealthCheck(h *http1.Request) bool {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	return string(path) == "/_health"
}
