package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderhold/forecast"
)

// TestSharesCommands solves a problem, evaluates the answer, and checks the errors of invalid problems and answers.
func TestSharesCommands(t *testing.T) {
	const file = "../../testdata/shares/small.toml"
	if out, status := runProgram(t, "shares", "check", file); status != exitOK || !strings.Contains(out, "4 volumes, 3 nodes") {
		t.Fatalf("check: %d %s", status, out)
	}
	solved, status := runProgram(t, "shares", "solve", file, "--exact", "--output", "json")
	var a, b struct {
		Value, Bound json.Number
		Placement    map[string][]string
		Shares       map[string]map[string]int64
		Feasible     bool
	}
	if err := json.Unmarshal([]byte(solved), &a); err != nil || status != exitOK || !a.Feasible || a.Value != a.Bound || len(a.Placement) != 4 {
		t.Fatalf("solve: %d, %v: %s", status, err, solved)
	}
	answer := filepath.Join(t.TempDir(), "answer.json")
	if err := os.WriteFile(answer, []byte(solved), 0o644); err != nil {
		t.Fatal(err)
	}
	valued, status := runProgram(t, "shares", "evaluate", file, answer, "--output", "json")
	if err := json.Unmarshal([]byte(valued), &b); err != nil || status != exitOK || b.Value != a.Value {
		t.Errorf("evaluate: %d, %v: %s", status, err, valued)
	}
	if out, status := runProgram(t, "shares", "solve", file, "--exact"); status != exitOK || !strings.Contains(out, "value "+a.Value.String()+", the highest there is") {
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
	conflict, status := runProgram(t, "shares", "solve", changed, "--exact", "--output", "json")
	var none struct {
		Feasible bool
		Conflict []struct {
			Kind, Name string
			Line       int
		}
	}
	if err := json.NewDecoder(strings.NewReader(conflict)).Decode(&none); err != nil || status != exitNegative || none.Feasible || len(none.Conflict) != 3 {
		t.Errorf("conflict: %d, %v: %s", status, err, conflict)
	}
	lines := strings.Split(string(text), "\n")
	for _, c := range none.Conflict {
		if c.Name != "v4" || !strings.HasPrefix(strings.Replace(lines[c.Line-1], "forbid", "require", 1), c.Kind+" =") {
			t.Errorf("conflict %+v points to line %q", c, lines[c.Line-1])
		}
	}
	for _, c := range []struct {
		from, to string
		args     []string
		status   int
		want     string
	}{
		{`forbid = ["n1"]`, `require = ["n1", "n2"]`, []string{"--exact"}, exitNegative, "no placement meets"},
		{`spread = 2`, `spread = 2`, []string{"--exact", "--steps", "2"}, exitNegative, "did not end within its steps"},
		{`spread = 2`, `spred = 2`, []string{"--exact"}, exitError, "spred"},
		{`"9/10"`, `"0.9"`, []string{"--exact"}, exitError, "write it like 9/10"},
		{`state = "ready"`, `state = "asleep"`, []string{"--exact"}, exitError, "ready, draining or gone"},
		{`forbid = ["n1"]`, `require = ["n1", "n2"]`, nil, exitNegative, "no placement was found"},
		{`spread = 2`, `spread = 2`, []string{"--steps", "-1"}, exitError, "0 or more"},
		{`spread = 2`, `spread = 2`, []string{"--steps", "5000"}, exitOK, "none is above"},
	} {
		if err := os.WriteFile(changed, []byte(strings.Replace(string(text), c.from, c.to, 1)), 0o644); err != nil {
			t.Fatal(err)
		}
		out, status := runProgram(t, append([]string{"shares", "solve", changed}, c.args...)...)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%s %v: status %d, want %d and %q: %s", c.to, c.args, status, c.status, c.want, out)
		}
	}
	if err := os.WriteFile(answer, []byte(`{"placement": {"v1": ["n1", "n1"]}}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, status := runProgram(t, "shares", "evaluate", file, answer); status != exitNegative || !strings.Contains(out, "infeasible: volume") {
		t.Errorf("an infeasible placement: %d %s", status, out)
	}
}

// TestSharesAfterNodeLoss generates a problem, solves and saves it, resolves it after the loss of a node, and
// runs diff, explain and solve --relax. It checks the exit status of each.
func TestSharesAfterNodeLoss(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	want := func(status int, text string, args ...string) string {
		t.Helper()
		out, got := runProgram(t, append([]string{"shares"}, args...)...)
		if got != status || !strings.Contains(out, text) {
			t.Fatalf("%v: status %d, want %d and %q: %s", args, got, status, text, out)
		}
		return out
	}
	drawn := want(exitOK, "[[volumes]]", "generate", "--volumes", "30", "--nodes", "6", "--zones", "2", "--load", "0.6")
	if drawn != want(exitOK, "", "generate", "--volumes", "30", "--nodes", "6", "--zones", "2", "--load", "0.6") {
		t.Error("the same flags generated another problem")
	}
	if err := os.WriteFile(in("fleet.toml"), []byte(drawn), 0o644); err != nil {
		t.Fatal(err)
	}
	want(exitOK, "30 volumes, 6 nodes, inputs ", "check", in("fleet.toml"))
	want(exitOK, "version 1", "solve", in("fleet.toml"), "--steps", "2000", "--save", in("one"), "--chart", in("charts"))
	for _, name := range []string{"load", "worth", "gap"} {
		b, err := os.ReadFile(in("charts/" + name + ".svg"))
		if err != nil || !strings.Contains(string(b), "<svg") || !strings.Contains(string(b), "</svg>") {
			t.Errorf("chart %s: %d bytes, %v", name, len(b), err)
		}
	}
	want(exitOK, "version 2", "resolve", in("fleet.toml"), "--now", in("one"), "--lost", "n3", "--version", "2", "--save", in("two"))
	want(exitOK, "nodes removed: n3", "diff", in("one"), in("two"))
	want(exitOK, "0 volumes differ, 0 moves", "diff", in("one"), in("one"))
	want(exitNegative, "moves are needed", "resolve", in("fleet.toml"), "--now", in("one"), "--lost", "n3", "--moves", "0")
	want(exitError, `no node "n77"`, "resolve", in("fleet.toml"), "--now", in("one"), "--lost", "n77")
	want(exitOK, "it is there", "explain", in("fleet.toml"), "v07", "--answer", in("one"))
	want(exitNegative, `no volume "v99"`, "explain", in("fleet.toml"), "v99", "--answer", in("one"))
	want(exitOK, "value ", "solve", in("fleet.toml"), "--plain", "greedy")
	want(exitError, "greedy or hashing", "solve", in("fleet.toml"), "--plain", "random")
	want(exitOK, "value ", "solve", in("fleet.toml"), "--steps", "1000000000", "--within", "50ms")
	b, err := os.ReadFile(in("one"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(in("cut"), b[:len(b)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	want(exitError, "it was cut", "diff", in("one"), in("cut"))
	want(exitError, "name a --version", "solve", in("fleet.toml"), "--steps", "10", "--save", in("cut"))
	tight := strings.ReplaceAll(drawn, "most_volumes = 0", "most_volumes = 1")
	if err := os.WriteFile(in("tight.toml"), []byte(tight), 0o644); err != nil {
		t.Fatal(err)
	}
	want(exitNegative, "no placement was found", "solve", in("tight.toml"), "--steps", "10")
	want(exitOK, "left out, since not all can be met: ", "solve", in("tight.toml"), "--steps", "10", "--relax")
}

// TestSharesGather merges the records of two gateways and writes the demands into a problem file.
func TestSharesGather(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for _, g := range []string{"g", "h", "g"} { // one record is given twice
		b, err := forecast.NewRecorder(forecast.Settings{Gateway: g, Slot: time.Minute, Days: 2, MaxVolumes: 10}, nil)
		if err != nil {
			t.Fatal(err)
		}
		for m := range 100 {
			b.Add(time.Unix(1_800_000_000+int64(m)*60, 0), map[string]float64{"v1": 60 * 10})
		}
		text, err := b.Record().Encode()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, filepath.Join(dir, g))
		if err := os.WriteFile(files[len(files)-1], text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	small, err := os.ReadFile("../../testdata/shares/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	fleet := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(fleet, small, 0o644); err != nil {
		t.Fatal(err)
	}
	out, status := runProgram(t, append([]string{"shares", "gather", "--output", "json", "--into", fleet}, files...)...)
	var demands map[string]forecast.Demand
	if err := json.Unmarshal([]byte(out), &demands); err != nil || status != exitOK || demands["v1"].Gateways != 2 {
		t.Fatalf("gather: status %d, %v: %s", status, err, out)
	}
	p, err := loadProblem(fleet)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range p.Volumes {
		if v.ID == "v1" && (v.Demand < 19_000 || v.Demand > 21_000 || v.Demand != demands["v1"].AtQuantile) || v.ID == "v2" && v.Demand != 5800 {
			t.Errorf("planned for: %+v", v)
		}
	}
	if err := os.WriteFile(files[0], []byte("eiderhold-forecast 1 5 00\nabc"), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, status := runProgram(t, "shares", "gather", files[0]); status != exitError || !strings.Contains(out, "it was cut") {
		t.Errorf("gather of a truncated record: status %d: %s", status, out)
	}
}

// TestSharesInterrupted checks that Ctrl-C ends a search of hours with the best placement so far, and an exact
// search with status 1.
func TestSharesInterrupted(t *testing.T) {
	drawn, status := runProgram(t, "shares", "generate", "--volumes", "60", "--nodes", "12", "--spread", "3", "--load", "1.2")
	fleet := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(fleet, []byte(drawn), 0o644); err != nil || status != exitOK {
		t.Fatal(err, status)
	}
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"--steps", "2000000000"}, exitOK, "value "},
		{[]string{"--exact"}, exitNegative, "did not end within its steps"},
	} {
		cmd := exec.Command(os.Args[0], append([]string{"shares", "solve", fleet}, c.args...)...)
		cmd.Env = append(os.Environ(), runMainEnv+"=1")
		var out bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		searching := func() bool { // after half a second of CPU time it is well past its start
			b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
			if err != nil {
				t.Fatal(err)
			}
			_, rest, _ := strings.Cut(string(b), ") ")
			ticks, err := strconv.Atoi(strings.Fields(rest)[11]) // utime, proc(5) field 14
			if err != nil {
				t.Fatal(err)
			}
			return ticks >= 50
		}
		for limit := time.Now().Add(20 * time.Second); !searching(); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatal("the search did not begin")
			}
		}
		if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
			t.Fatal(err)
		}
		_ = cmd.Wait() // the exit status is checked below
		if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: status %d, want %d and %q: %.2000s", c.args, got, c.status, c.want, out.String())
		}
	}
}
