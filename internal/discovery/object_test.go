package discovery

import (
	"strings"
	"testing"

	"eiderhold/internal/standin"
	"eiderhold/membership"
)

// TestObjectsBounded guards against memory that grows with what discovery sends in one object: an object with too many
// entries, or with a value that is too long, ends the watch, white space does not, and nothing is held afterwards.
func TestObjectsBounded(t *testing.T) {
	first := standin.List(1, true, target("s-1", "active"))
	for name, c := range map[string]struct{ second, want string }{
		"entries":  {`{"rev":2,"targets":[1` + strings.Repeat(",1", 10_000) + `]}`, "bytes of entries"},
		"a value":  {`{"rev":2,"note":"` + strings.Repeat("x", 2*maxValueBytes) + `"}`, "a value of over"},
		"an entry": {`{"rev":2,"targets":[{"az":"` + strings.Repeat("x", 2*maxValueBytes) + `"}]}`, "a value of over"},
		"fields":   {`{"rev":2` + strings.Repeat(`,"a":1`, maxObjectBytes/5) + `}`, "an object of over"},
		"space":    {strings.Repeat("\n", 2*maxObjectBytes) + standin.List(2, false), "the response ended"},
		"half":     {`{"rev":2,"targets":[`, "the response ended"},
	} {
		t.Run(name, func(t *testing.T) {
			text := first + "\n" + c.second
			body := &responseBody{conn: strings.NewReader(text), onRead: func() error { return nil }, remaining: int64(len(text))}
			budget := &entryBudget{limit: 100_000}
			var revs []uint64
			err := readObjects(body, budget, func(u membership.Update) error { revs = append(revs, u.Rev); return nil })
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, expected %q", err, c.want)
			}
			if want := 1 + strings.Count(name, "space"); len(revs) != want || budget.used.Load() != 0 {
				t.Errorf("objects %v, %d bytes held", revs, budget.used.Load())
			}
		})
	}
}
