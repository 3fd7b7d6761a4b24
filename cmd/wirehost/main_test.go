package main

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
)

const startLine = `HELLO %s 7 {"balancers":1,"classes":[{"name":"read","effect":"retryable","slo_ms":100,` +
	`"deadline_ms":1000,"credit":1}],"family_info":{"unit_mean":2}}` + "\n"

const nodeListLines = "POOL 0 1\nNODE node-a z std 0 ready 1 -\n"

func startLines(names ...string) string {
	var text strings.Builder
	for _, n := range names {
		fmt.Fprintf(&text, startLine, n)
		text.WriteString(nodeListLines + "TARGETS " + n + " 0 cached 1\n")
	}
	return text.String()
}

var timers = regexp.MustCompile(`(?m)^TIMER .*\n`)

// TestTranscripts compares replies with transcripts written by hand. Timer lines are left out.
func TestTranscripts(t *testing.T) {
	for _, tt := range []struct{ name, in, want, log string }{
		{"empty batch", "MARK 8412.25 1\nEND\n", "READY 1\n", ""},
		{"no input", "", "", ""},
		{"served", "MARK 1 1\n" + startLines("host-0") + "END\n" +
			"MARK 2 2\nDEMAND host-0 rq_a 0 1 - 2 - p:v read 900 0\nEND\n" +
			"MARK 9 3\nREPORT_BACK host-0 rq_a 0 node-a done 7 1 - - -\nEND\n",
			"READY 1\nATTEMPT host-0 rq_a node-a 0\nREADY 2\nREADY 3\n", ""},
		{"failed node is tried again, then the deadline", "MARK 1 1\n" + startLines("host-0") + "END\n" +
			"MARK 2 2\nDEMAND host-0 rq_a 0 1 - 2 - p:v read 50 0\nEND\n" +
			"MARK 9 3\nREPORT_BACK host-0 rq_a 0 node-a err 7 0 - - -\nEND\n" +
			"MARK 52 4\nREPORT_BACK host-0 rq_a 1 node-a etimedout 43 0 - - -\nEND\n",
			"READY 1\nATTEMPT host-0 rq_a node-a 0\nREADY 2\nATTEMPT host-0 rq_a node-a 0\nREADY 3\n" +
				"SAY_NO host-0 rq_a 25\nREADY 4\n", ""},
		{"two instances share nothing", "MARK 1 1\n" + startLines("host-0", "host-1") + "END\n" +
			"MARK 2 2\nDEMAND host-1 rq_b 0 1 - 2 - p:v read 900 0\nDEMAND host-0 rq_a 0 1 - 2 - p:v read 900 0\n" +
			"REPORT_BACK host-1 rq_a 0 node-a done 1 1 - - -\nEND\n",
			"READY 1\nATTEMPT host-1 rq_b node-a 0\nATTEMPT host-0 rq_a node-a 0\nREADY 2\n", ""},
		{"killed and up again in one batch", "MARK 1 1\n" + startLines("host-0") + "END\n" +
			"MARK 2 2\nDEMAND host-0 rq_a 0 1 - 2 - p:v read 900 0\nEXIT host-0\n" + startLines("host-0") + "END\n" +
			"MARK 3 3\nREPORT_BACK host-0 rq_a 0 node-a done 1 1 - - -\n" +
			"DEMAND host-0 rq_c 0 1 - 2 - p:v read 900 0\nEND\n",
			"READY 1\nREADY 2\nATTEMPT host-0 rq_c node-a 0\nREADY 3\n", ""},
		{"unknown message", "MARK 1 1\nNOVELTY a b\nEND\n", "READY 1\n", "NOVELTY is unknown"},
		{"bad settings", "MARK 1 1\nHELLO host-0 1 {}\nEND\n",
			"INTERNAL_ERROR host-0 settings: classes: none given\nREADY 1\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out, log bytes.Buffer
			if err := serve(strings.NewReader(tt.in), &out, &log); err != nil {
				t.Fatal(err)
			}
			if got := timers.ReplaceAllString(out.String(), ""); got != tt.want {
				t.Errorf("got\n%swant\n%s", got, tt.want)
			}
			if !strings.Contains(log.String(), tt.log) || tt.log == "" && log.Len() > 0 {
				t.Errorf("log %q, want %q", log.String(), tt.log)
			}
		})
	}
}

func TestServeReturnsErrorForMalformedLine(t *testing.T) {
	err := serve(strings.NewReader("MARK 1 1\nDEMAND host-0\nEND\n"), &bytes.Buffer{}, &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "line 2") || !strings.Contains(err.Error(), "DEMAND host-0") {
		t.Errorf("error %v names neither line nor text", err)
	}
}

func TestPanicIsReportedForInstance(t *testing.T) {
	h := &host{instances: map[string]*instance{}}
	i := &instance{name: "host-0"} // no controller: Step panics
	h.instances["host-0"] = i
	h.decide(i)
	if !strings.HasPrefix(string(h.reply), "INTERNAL_ERROR host-0 ") {
		t.Errorf("reply %q", h.reply)
	}
	if h.instances["host-0"] != nil {
		t.Error("the instance is still there")
	}
}

// TestLongBatch checks that a batch of several megabytes gets a single reply.
func TestLongBatch(t *testing.T) {
	const requests = 40000
	var in strings.Builder
	in.WriteString("MARK 1 1\n" + startLines("host-0") + "END\nMARK 2 2\n")
	for i := range requests {
		fmt.Fprintf(&in, "DEMAND host-0 rq_%d 0 1 - 2 - p:v read 900 0\n", i)
	}
	in.WriteString("END\n")
	var out bytes.Buffer
	if err := serve(strings.NewReader(in.String()), &out, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	answered := strings.Count(out.String(), "SAY_NO") + strings.Count(out.String(), "ATTEMPT")
	if answered == 0 || answered > requests || !strings.HasSuffix(out.String(), "READY 2\n") {
		t.Errorf("%d answered of %d", answered, requests)
	}
}
