// Package outcome decides what the end of an attempt over HTTP proves: whether the node ran it, may have, or
// never did (the platform's PROTOCOL, "Hosts to nodes"). It does no I/O. internal/backend/http asks
// it. What is not proved to have never run is taken as if it may have: a request that is sent again, or refused, on a
// wrong proof has its effect twice.
package outcome

import (
	"errors"
	"io"
	"os"

	"eiderhold/control"
)

// Progress is how far a request has come towards the node.
type Progress int

// The stages.
const (
	NotBegun Progress = iota // no byte was taken by the kernel
	Partial                  // some of it is still in this process
	Complete                 // its last byte is with the kernel: a node begins a request with its last byte
)

// OfEnd is what a connection's end proves of the request on it. rest is what of it is still in this process.
func OfEnd(h Progress, rest int) control.Result {
	if h == NotBegun || h == Partial && rest > 0 {
		return control.Unreachable
	}
	return control.Reset
}

// Ends says that a connection's end is the end of an answer on it that has no length: the other side has ended its
// sending, which a read of no bytes shows. A reset is no end, nor is whatever else closes a connection.
func Ends(err error) bool {
	var read *os.SyscallError
	return errors.As(err, &read) && read.Syscall == "read" && read.Err == io.EOF
}

// OfAnswer is what a whole answer proves. notStarted says that it carries Not-Started: 1, once.
func OfAnswer(status int, notStarted bool) control.Result {
	switch {
	case status == 200:
		return control.Done
	case notStarted && (status == 503 || status == 504):
		return control.Busy
	}
	return control.Error
}

// OfSpoilt is what an answer proves that cannot be read, or is not whole: the request has run or may have, and
// whatever of it looks like Not-Started is no proof.
func OfSpoilt() control.Result { return control.Error }

// Reusable says whether a connection may carry another request after a whole answer: it says so itself,
// nothing came behind the answer, and no byte of the request is left over.
func Reusable(closes bool, behind, rest int) bool { return !closes && behind == 0 && rest == 0 }
