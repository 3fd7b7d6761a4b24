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

// TestLateRetryNamesTheNode guards against an extent that is given up without its cause: a retry that comes so late that
// no time is left for it reports the node that gave no answer before, and counts as refused or failed.
func TestLateRetryNamesTheNode(t *testing.T) {
	now := host.ClockBase
	h, err := host.New(host.Options{Clock: func() time.Duration { return now },
		Settings: control.Settings{Hosts: 1, MaxAttempts: 4, Classes: []control.Class{{Name: "read", Aim: time.Second, Deadline: time.Second, Worth: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	front := &Front{opt: Options{Host: h}}
	for _, kind := range []pacing.TryResult{pacing.Refused, pacing.Failed} {
		tr := &transfer{front: front, pacing: pacing.New(pacing.Default, 0, 0, 1), inFlight: map[*extentRequest]bool{}}
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
