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

const asProgram = "EIDERHOLD_TEST_AS_PROGRAM"

// TestMain lets this test binary be the program, for processes that a test starts.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(run(context.Background(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// program runs the program and returns its output and exit status.
func program(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run() // its status is what counts
	return out.String(), cmd.ProcessState.ExitCode()
}

// TestBadDay plays the scripted bad day with its seed: no rule may break.
func TestBadDay(t *testing.T) {
	day, err := rehearsal.LoadDay("../../testdata/bad-day.toml")
	if err != nil {
		t.Fatal(err)
	}
	res, err := rehearsal.Run(context.Background(), day, rehearsal.Options{Dir: filepath.Join(t.TempDir(), "day"),
		Command: []string{os.Args[0], "serve"}, Env: []string{asProgram + "=1"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Report.Breaches {
		t.Errorf("rule %d (%s): %s", b.Rule, audit.RuleName(b.Rule), b.Text)
	}
	for _, rule := range []int{1, 2, 3, 4, 5, 7} {
		if res.Report.Checked[rule] == 0 {
			t.Errorf("rule %d: nothing was looked at", rule)
		}
	}
	t.Logf("service %.3f of %.0f due; transfers %v", res.Report.Total.Part(), res.Report.Total.Due, res.Report.Transfers)
}

func TestConfigCommands(t *testing.T) {
	text, status := program(t, "config", "default")
	if status != exitDone || !strings.Contains(text, "# Unique among the gateways") {
		t.Fatalf("status %d: %s", status, text)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "g.toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, status := program(t, "config", "check", file); status != exitDone {
		t.Errorf("the default is not good: %d %s", status, out)
	}
	shown, status := program(t, "config", "show", file)
	shown = strings.ReplaceAll(shown, filepath.Join(dir, "eiderhold-data"), "eiderhold-data") // taken from where the file lies
	if status != exitDone || shown != text {
		t.Errorf("show of the default differs from it: %d", status)
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
		if out, status := program(t, "config", "check", file); status != exitShort || !strings.Contains(out, c.want) {
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
		if out, status := program(t, c.args...); status != exitNot || !strings.Contains(out, c.want) {
			t.Errorf("%v: status %d, want %q in %s", c.args, status, c.want, out)
		}
	}
}

// TestAuditCommand breaks a rule on purpose in records on disk.
func TestAuditCommand(t *testing.T) {
	dir := t.TempDir()
	w, err := audit.Create(dir, "sockets")
	if err != nil {
		t.Fatal(err)
	}
	w.Put(audit.Record{T: 1, What: audit.Effect, Key: "k", Class: "record-write", Node: "a"})
	w.Put(audit.Record{T: 2, What: audit.Effect, Key: "k", Class: "record-write", Node: "b"})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := (&audit.Rules{}).Save(dir); err != nil {
		t.Fatal(err)
	}
	out, status := program(t, "audit", dir, "--output", "json")
	var rep audit.Report
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&rep); err != nil || status != exitShort ||
		len(rep.Breaches) != 1 || rep.Breaches[0].Rule != 2 {
		t.Errorf("status %d, %v: %s", status, err, out)
	}
}
