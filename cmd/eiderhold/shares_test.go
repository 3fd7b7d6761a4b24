package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSharesCommands solves a file, values the answer, and refuses what cannot be.
func TestSharesCommands(t *testing.T) {
	const file = "../../testdata/shares/small.toml"
	if out, status := program(t, "shares", "check", file); status != exitDone || !strings.Contains(out, "4 volumes, 3 nodes") {
		t.Fatalf("check: %d %s", status, out)
	}
	solved, status := program(t, "shares", "solve", file, "--exact", "--output", "json")
	var a, b struct {
		Value, Bound json.Number
		Placement    map[string][]string
		Shares       map[string]map[string]int64
		Feasible     bool
	}
	if err := json.Unmarshal([]byte(solved), &a); err != nil || status != exitDone || !a.Feasible || a.Value != a.Bound || len(a.Placement) != 4 {
		t.Fatalf("solve: %d, %v: %s", status, err, solved)
	}
	answer := filepath.Join(t.TempDir(), "answer.json")
	if err := os.WriteFile(answer, []byte(solved), 0o644); err != nil {
		t.Fatal(err)
	}
	valued, status := program(t, "shares", "evaluate", file, answer, "--output", "json")
	if err := json.Unmarshal([]byte(valued), &b); err != nil || status != exitDone || b.Value != a.Value {
		t.Errorf("evaluate: %d, %v: %s", status, err, valued)
	}
	if out, status := program(t, "shares", "solve", file, "--exact"); status != exitDone || !strings.Contains(out, "value "+a.Value.String()+", the highest there is") {
		t.Errorf("as text: %d %s", status, out)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	changed := filepath.Join(t.TempDir(), "changed.toml")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), `forbid = ["n1"]`, `require = ["n1", "n2"]`, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	conflict, status := program(t, "shares", "solve", changed, "--exact", "--output", "json")
	var none struct {
		Feasible bool
		Conflict []struct {
			Kind, Name string
			Line       int
		}
	}
	if err := json.NewDecoder(strings.NewReader(conflict)).Decode(&none); err != nil || status != exitShort || none.Feasible || len(none.Conflict) != 3 {
		t.Errorf("conflict: %d, %v: %s", status, err, conflict)
	}
	lines := strings.Split(string(text), "\n")
	for _, c := range none.Conflict {
		if c.Name != "v4" || !strings.HasPrefix(strings.Replace(lines[c.Line-1], "forbid", "require", 1), c.Kind+" =") {
			t.Errorf("conflict %+v stands on %q", c, lines[c.Line-1])
		}
	}
	for _, c := range []struct {
		from, to string
		args     []string
		status   int
		want     string
	}{
		{`forbid = ["n1"]`, `require = ["n1", "n2"]`, []string{"--exact"}, exitShort, "no placement meets"},
		{`spread = 2`, `spread = 2`, []string{"--exact", "--steps", "2"}, exitShort, "did not end within its steps"},
		{`spread = 2`, `spred = 2`, []string{"--exact"}, exitNot, "spred"},
		{`"9/10"`, `"0.9"`, []string{"--exact"}, exitNot, "write it like 9/10"},
		{`state = "ready"`, `state = "asleep"`, []string{"--exact"}, exitNot, "ready, draining or gone"},
		{`forbid = ["n1"]`, `require = ["n1", "n2"]`, nil, exitShort, "no placement was found"},
		{`spread = 2`, `spread = 2`, []string{"--steps", "-1"}, exitNot, "0 or more"},
		{`spread = 2`, `spread = 2`, []string{"--steps", "5000"}, exitDone, "none is above"},
	} {
		if err := os.WriteFile(changed, []byte(strings.Replace(string(text), c.from, c.to, 1)), 0o644); err != nil {
			t.Fatal(err)
		}
		out, status := program(t, append([]string{"shares", "solve", changed}, c.args...)...)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%s %v: status %d, want %d and %q: %s", c.to, c.args, status, c.status, c.want, out)
		}
	}
	if err := os.WriteFile(answer, []byte(`{"placement": {"v1": ["n1", "n1"]}}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, status := program(t, "shares", "evaluate", file, answer); status != exitShort || !strings.Contains(out, "infeasible: volume") {
		t.Errorf("a placement that cannot be: %d %s", status, out)
	}
}
