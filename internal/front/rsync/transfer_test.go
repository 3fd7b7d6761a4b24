package rsync

import (
	"errors"
	"strings"
	"testing"
	"time"

	"eiderhold/control"
	"eiderhold/internal/host"
	"eiderhold/pacing"
)

// newTestTransfer returns a transfer on a host whose loop does not run, by a clock of the test.
func newTestTransfer(t *testing.T, now *time.Duration) *transfer {
	t.Helper()
	h, err := host.New(host.Options{Clock: func() time.Duration { return *now },
		Settings: control.Settings{Hosts: 1, MaxAttempts: 4, Classes: []control.Class{{Name: "read", Aim: time.Second, Deadline: time.Second, Worth: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	return &transfer{front: &Front{opt: Options{Host: h}}, pacing: pacing.New(pacing.Default, 0, 0, 1), inFlight: map[*extentRequest]bool{}}
}

// TestPrefetchWaitsForTheClient guards against a client that pauses and finds its file left out, since extents that it did
// not need yet were refused during a crowd: a prefetch is given up only after a try that the client waited for.
func TestPrefetchWaitsForTheClient(t *testing.T) {
	now := host.ClockBase
	tr := newTestTransfer(t, &now)
	var got error
	ended := 0
	p := &extentRequest{transfer: tr, prefetch: true, onDone: func(err error) { got, ended = err, ended+1 },
		build: func(pacing.Try) (*host.Request, error) {
			return &host.Request{Class: "read", Expires: time.Second}, nil
		},
		onAnswer: func(a host.Answer) (pacing.TryResult, string) { return pacingKind(a), a.Cause }}
	p.extent = tr.pacing.StartExtent(now, 0, 1, time.Second)
	p.extent.Prefetch = true
	tr.inFlight[p] = true
	p.submit()
	now += pacing.Default.ExtentTimeout // no time is left for a retry
	p.handleAnswer(host.Answer{Kind: host.Refused, Cause: "it could not be served in time", Attempts: 1})
	if ended != 0 || !p.onHold || p.submitted {
		t.Fatalf("ended %d times with %v, on hold %v", ended, got, p.onHold)
	}
	now += time.Minute
	tr.prioritize(p)
	if !p.submitted || p.onHold || p.extent.Tries() != 2 {
		t.Fatalf("submitted %v, on hold %v, %d tries", p.submitted, p.onHold, p.extent.Tries())
	}
	now += pacing.Default.ExtentTimeout
	p.handleAnswer(host.Answer{Kind: host.Refused, Cause: "it could not be served in time", Attempts: 1})
	var gaveUp *ExtentError
	if ended != 1 || !errors.As(got, &gaveUp) || tr.refused != 1 || len(tr.inFlight) != 0 {
		t.Fatalf("ended %d times with %v, %d refused", ended, got, tr.refused)
	}
}

// TestLatePrefetchWaits checks that a retry of a prefetch which comes too late is not the end of the extent either.
func TestLatePrefetchWaits(t *testing.T) {
	now := host.ClockBase
	tr := newTestTransfer(t, &now)
	p := &extentRequest{transfer: tr, prefetch: true, onDone: func(err error) { t.Errorf("ended with %v", err) }}
	p.extent = tr.pacing.StartExtent(now, 0, 1, time.Second)
	p.extent.Prefetch = true
	now += pacing.Default.ExtentTimeout
	p.submit()
	if !p.onHold || tr.refused+tr.failed != 0 {
		t.Fatalf("on hold %v, %d refused", p.onHold, tr.refused)
	}
}

// TestLateRetryNamesTheNode guards against an extent that is given up without its cause: a retry that comes so late that
// no time is left for it reports the node that gave no answer before, and counts as refused or failed.
func TestLateRetryNamesTheNode(t *testing.T) {
	now := host.ClockBase
	for _, kind := range []pacing.TryResult{pacing.Refused, pacing.Failed} {
		tr := newTestTransfer(t, &now)
		var got error
		p := &extentRequest{transfer: tr, onDone: func(err error) { got = err }}
		p.extent = tr.pacing.StartExtent(now, 0, 1, time.Second)
		if _, ok := tr.pacing.StartTry(p.extent, now); !ok {
			t.Fatal("no first try")
		}
		p.lastNodeCause, p.lastFailed = "node n gave no answer in time", kind == pacing.Failed
		if next := tr.pacing.TryEnded(p.extent, now, kind, 0); next.Step != pacing.Retry {
			t.Fatalf("%+v", next)
		}
		now += pacing.Default.ExtentTimeout
		p.submit()
		var gaveUp *ExtentError
		if !errors.As(got, &gaveUp) || gaveUp.Tries != 1 || gaveUp.Refused != (kind == pacing.Refused) {
			t.Fatalf("%+v", got)
		}
		if text := got.Error(); !strings.Contains(text, "no time left") || !strings.Contains(text, "node n") {
			t.Errorf("%q", text)
		}
		if tr.refused+tr.failed != 1 || tr.failed == 1 != (kind == pacing.Failed) || len(tr.inFlight) != 0 {
			t.Errorf("%d refused, %d failed, %d in flight", tr.refused, tr.failed, len(tr.inFlight))
		}
	}
}
