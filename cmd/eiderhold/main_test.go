package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"eiderhold/internal/audit"
	"eiderhold/internal/rehearsal"
)

// runMainEnv is the environment variable with which the test binary runs as the program.
const runMainEnv = "EIDERHOLD_TEST_AS_PROGRAM"

// TestMain runs the program instead of the tests if runMainEnv is set, for processes that tests start.
func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		os.Exit(run(context.Background(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// runProgram runs the program and returns its output and exit status.
func runProgram(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run() // the exit status is returned
	return out.String(), cmd.ProcessState.ExitCode()
}

// TestDays runs two scripted days with their own seeds: bad-day, and one with every kind of trouble. No rule
// may be broken.
func TestDays(t *testing.T) {
	for name, rules := range map[string][]int{"bad-day": {1, 2, 3, 4, 5, 7}, "all-troubles": {1, 2, 3, 4, 7}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day, err := rehearsal.LoadDay("../../testdata/" + name + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			res, err := rehearsal.Run(context.Background(), day, rehearsal.Options{Dir: filepath.Join(t.TempDir(), "day"),
				Command: []string{os.Args[0], "serve"}, Env: []string{runMainEnv + "=1"}})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range res.Report.Breaches {
				t.Errorf("rule %d (%s): %s", b.Rule, audit.RuleName(b.Rule), b.Text)
			}
			for _, rule := range rules {
				if res.Report.Checked[rule] == 0 {
					t.Errorf("rule %d: nothing was checked", rule)
				}
			}
			t.Logf("service %.3f of %.0f due; transfers %v", res.Report.Total.Part(), res.Report.Total.Due, res.Report.Transfers)
		})
	}
}

// TestDayFiles checks that the errors of invalid days name the file and the setting.
func TestDayFiles(t *testing.T) {
	good, err := os.ReadFile("../../testdata/bad-day.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`kind = "deploy"`, `kind = "flood"`, "one of burst, deploy"},
		{`target = "node-7"`, `target = "node-8"`, "node-0 to node-7"},
		{`target = "gateway-2"`, `target = "gateway-9"`, "gateway-1 to gateway-3"},
		{`nodes = 8`, `nodes = 0`, "site.nodes"},
		{`lasts = "24s"`, `lasts = "2s"`, "within the 2s"},
		{`module = "archive"`, `module = "attic"`, "none of this name"},
		{`rate = 2.0`, `rate = 0.0`, "rate"},
		{`count = 3`, `count = 3` + "\nspeed = 1", "no such key"},
		{`plan = "capped"`, `plan = "gold"`, "no [[plan]]"},
		{`amount = 0.08`, `amount = 8.0`, "a part"},
	} {
		_, err := rehearsal.ParseDay([]byte(strings.Replace(string(good), c.from, c.to, 1)), "day.toml")
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "day.toml") {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}

func TestConfigCommands(t *testing.T) {
	text, status := runProgram(t, "config", "default")
	if status != exitOK || !strings.Contains(text, "# Unique among the gateways") {
		t.Fatalf("status %d: %s", status, text)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "g.toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, status := runProgram(t, "config", "check", file); status != exitOK {
		t.Errorf("the default is not valid: %d %s", status, out)
	}
	shown, status := runProgram(t, "config", "show", file)
	shown = strings.ReplaceAll(shown, filepath.Join(dir, "eiderhold-data"), "eiderhold-data") // config show prints the folder relative to the file
	if status != exitOK || shown != text {
		t.Errorf("config show of the default settings differs from them: %d", status)
	}
	secrets := filepath.Join(dir, "secrets")
	if err := os.WriteFile(secrets, []byte("anna:pw\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":     {"[gateway]\nnom = \"x\"\n", "nom"},
		"not TOML":        {"[gateway\n", ":1:"},
		"no duration":     {"[gateway]\ndrain = \"soon\"\n", "soon"},
		"bad name":        {"[gateway]\nname = \"a b\"\n", "gateway.name"},
		"bad effect":      {"[[class]]\nname = \"record-read\"\neffect = \"maybe\"\n", "safe, keyed or unsafe"},
		"no such plan":    {"[[module]]\nname = \"m\"\nplan = \"gold\"\n", "no [[plan]]"},
		"two modules":     {"[[module]]\nname = \"m\"\nplan = \"standard\"\n[[module]]\nname = \"m\"\nplan = \"standard\"\n", "two of this name"},
		"open secrets":    {"[[module]]\nname = \"m\"\nplan = \"standard\"\nusers = [\"anna\"]\nsecrets_file = \"secrets\"\n", "chmod o-rwx"},
		"users alone":     {"[[module]]\nname = \"m\"\nplan = \"standard\"\nusers = [\"anna\"]\n", "go together"},
		"five tries":      {"[pacing]\ntries = 5\n", "1 to 4"},
		"write not keyed": {"[worth]\nwrite_class = \"record-read\"\n", "must be keyed"},
		"small budget":    {"[rsync]\nbuffer_bytes = 1000\n", "four extents"},
	} {
		if err := os.WriteFile(file, []byte(c.text), 0o644); err != nil {
			t.Fatal(err)
		}
		if out, status := runProgram(t, "config", "check", file); status != exitNegative || !strings.Contains(out, c.want) {
			t.Errorf("%s: status %d, want %q in %s", name, status, c.want, out)
		}
	}
}

func TestBadCommandLines(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"serve"}, "config"},
		{[]string{"serve", "--config", "/no/such/file"}, "no such file"},
		{[]string{"dev", "--nodes", "0"}, "1 to 1000"},
		{[]string{"rehearse", "/no/such/day"}, "no such file"},
		{[]string{"rehearse", "x.toml", "--output", "xml"}, "text or json"},
		{[]string{"audit", t.TempDir()}, "no records"},
		{[]string{"replay", os.Args[0]}, "expected \"EHREC001\""},
		{[]string{"node", "--shard", "-1"}, "--id must be given"},
		{[]string{"register", "--node", "x"}, "ID=SHARD@HOST:PORT"},
		{[]string{"fly"}, "unknown command"},
	} {
		if out, status := runProgram(t, c.args...); status != exitError || !strings.Contains(out, c.want) {
			t.Errorf("%v: status %d, want %q in %s", c.args, status, c.want, out)
		}
	}
}

// TestAuditCommand checks that audit reports a rule that is broken in records on disk.
func TestAuditCommand(t *testing.T) {
	dir := t.TempDir()
	w, err := audit.Create(dir, "sockets")
	if err != nil {
		t.Fatal(err)
	}
	w.Put(audit.Record{T: 1, Kind: audit.Effect, Key: "k", Class: "record-write", Node: "a"})
	w.Put(audit.Record{T: 2, Kind: audit.Effect, Key: "k", Class: "record-write", Node: "b"})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := (&audit.Rules{}).Save(dir); err != nil {
		t.Fatal(err)
	}
	out, status := runProgram(t, "audit", dir, "--output", "json")
	var rep audit.Report
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&rep); err != nil || status != exitNegative ||
		len(rep.Breaches) != 1 || rep.Breaches[0].Rule != 2 {
		t.Errorf("status %d, %v: %s", status, err, out)
	}
}
