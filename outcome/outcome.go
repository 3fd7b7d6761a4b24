// Package outcome decides what the end of an attempt over HTTP proves: that the node ran the request, may have run it,
// or never ran it (the platform's PROTOCOL, "Hosts to nodes"). It does no I/O; internal/backend/http uses it. Without
// proof that a request never ran, it may have run: a request that is resent or refused by mistake takes effect twice.
package outcome

import (
	"errors"
	"io"
	"os"

	"eiderhold/control"
)

// Progress is how much of a request has been written towards the node.
type Progress int

// The stages.
const (
	NotBegun Progress = iota // the kernel has taken no byte
	Partial                  // the kernel has taken a part
	Complete                 // the kernel has taken the last byte; a node starts a request when it has the last byte
)

// OfEnd returns the result that the end of a connection proves for the request on it. remaining is the number of the
// request's bytes that are still in this process.
func OfEnd(progress Progress, remaining int) control.Result {
	if progress == NotBegun || progress == Partial && remaining > 0 {
		return control.Unreachable
	}
	return control.Reset
}

// EndsAnswer reports whether the end of a connection completes an answer without a length: it does if the other side
// shut down its sending side, which a read of zero bytes shows. A reset or any other error does not complete it.
func EndsAnswer(err error) bool {
	var syscallErr *os.SyscallError
	return errors.As(err, &syscallErr) && syscallErr.Syscall == "read" && syscallErr.Err == io.EOF
}

// OfAnswer returns the result that a complete answer proves. notStarted says that the answer has exactly one
// Not-Started field, with the value 1.
func OfAnswer(status int, notStarted bool) control.Result {
	switch {
	case status == 200:
		return control.Done
	case notStarted && (status == 503 || status == 504):
		return control.Busy
	}
	return control.Error
}

// OfMalformed returns the result that a malformed or incomplete answer proves: the request may have run, and a
// Not-Started field in it is no proof to the contrary.
func OfMalformed() control.Result { return control.Error }

// Reusable reports whether a connection may carry another request after a complete answer: the answer does not close
// it, no extra bytes followed the answer, and no byte of the request remains to be written.
func Reusable(closes bool, extra, remaining int) bool { return !closes && extra == 0 && remaining == 0 }
