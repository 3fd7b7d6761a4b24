package outcome

import (
	"io"
	"os"
	"syscall"
	"testing"

	"eiderhold/control"
)

// TestOutcomes checks the platform's table of outcomes, and that nothing else proves that an attempt never ran.
func TestOutcomes(t *testing.T) {
	for status := 200; status < 600; status++ {
		for _, notStarted := range []bool{false, true} {
			r := OfAnswer(status, notStarted)
			if never := notStarted && (status == 503 || status == 504); r.NeverRan() != never || (r == control.Done) != (status == 200) {
				t.Errorf("status %d, not started %v: %d", status, notStarted, r)
			}
		}
	}
	if OfMalformed().NeverRan() || OfMalformed() == control.Done {
		t.Error("a malformed answer proves that the request ran, or that it never ran")
	}
	for _, c := range []struct {
		h     Progress
		rest  int
		never bool
	}{{NotBegun, 0, true}, {NotBegun, 9, true}, {Partial, 1, true}, {Partial, 0, false}, {Complete, 0, false}} {
		if r := OfEnd(c.h, c.rest); r.NeverRan() != c.never || !r.NeverRan() && !r.MayStillRun() {
			t.Errorf("%+v: %d", c, r)
		}
	}
	if !Reusable(false, 0, 0) || Reusable(true, 0, 0) || Reusable(false, 1, 0) || Reusable(false, 0, 1) {
		t.Error("Reusable does not match the state of the connection")
	}
}

// TestEndsAnswer checks that only a read of zero bytes ends an answer without a length.
func TestEndsAnswer(t *testing.T) {
	for err, want := range map[error]bool{
		os.NewSyscallError("read", io.EOF):             true,
		os.NewSyscallError("read", syscall.ECONNRESET): false,
		os.NewSyscallError("write", syscall.EPIPE):     false,
		io.EOF: false, // the poller's error for any end other than by a read
		nil:    false,
	} {
		if got := EndsAnswer(err); got != want {
			t.Errorf("%v: %v, expected %v", err, got, want)
		}
	}
}
