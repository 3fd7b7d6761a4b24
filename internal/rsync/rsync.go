// Package rsync implements the server side of the rsync daemon protocol, versions 27 to 29. A session
// is fed the client's bytes and returns the bytes to send. It opens no socket, reads no clock and knows
// no storage node: everything it needs from the gateway is in the interface Gateway, whose methods never
// block. Package internal/front/rsync uses it. Sources: the rsync technical report (A. Tridgell and
// P. Mackerras, TR-CS-96-05), the manual pages rsync(1) and rsyncd.conf(5), and the protocol as current
// clients speak it, verified with one of them.
//
// The code of a session follows the order of the protocol and runs as a coroutine (iter.Pull): it
// yields where it lacks input, output room or an extent, and Resume continues it.
package rsync

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
)

// The newest and oldest supported protocol versions.
const (
	newestVersion = 29
	oldestVersion = 27
)

// Limits on what a client can make a session hold. Exceeding one ends the session with an error that
// names the limit.
const (
	maxLineBytes    = 4096      // line of the handshake
	maxArgs         = 1000      // arguments
	maxArgBytes     = 64 << 10  // all arguments together
	maxPathBytes    = 4096      // path, exclusive
	maxRules        = 10_000    // filter rules
	maxRuleBytes    = 1 << 20   // all filter rules together
	maxBlockSums    = 1 << 20   // block sums of one file
	maxBlockBytes   = 1 << 29   // block of a basis
	maxTokenBytes   = 1 << 20   // literal data of one token
	maxIDNames      = 100_000   // names of users or groups
	outputHighWater = 256 << 10 // pending output at which a session pauses
	// MaxInputBytes is the buffered input of a session at which its caller must stop feeding it.
	MaxInputBytes = 128 << 10
)

// Module is an rsync module as clients see it.
type Module struct {
	Name, Comment string
	Hidden        bool // left out of the module list
	ReadOnly      bool
	WriteOnly     bool
	Users         []string // users that may connect; empty: anyone, without a login
}

// File is an entry of a module's tree. Path is relative to the module's root and separated by slashes;
// the root itself is ".". Mode includes the type bits of st_mode.
type File struct {
	Path     string
	Mode     uint32
	Size     int64 // bytes; may exceed 4 GiB
	MTime    int64 // Unix time in seconds
	UID, GID uint32
	Link     string // target of a symbolic link
	Ref      any    // reference of the Tree; opaque to the session
}

// Type and permission bits of st_mode.
const (
	typeMask = 0o170000
	typeDir  = 0o040000
	typeFile = 0o100000
	typeLink = 0o120000
	permMask = 0o7777
)

// IsDir reports whether the entry is a directory.
func (f *File) IsDir() bool { return f.Mode&typeMask == typeDir }

// IsRegular reports whether the entry is a regular file.
func (f *File) IsRegular() bool { return f.Mode&typeMask == typeFile }

// IsLink reports whether the entry is a symbolic link.
func (f *File) IsLink() bool { return f.Mode&typeMask == typeLink }

// Gateway is what a session needs from the surrounding program. No method blocks.
type Gateway interface {
	Modules() []Module // in the order of the module list, hidden ones included
	Module(name string) (Module, bool)
	MOTD() string                                   // message of the day; empty: none
	Challenge() string                              // new random challenge for a login
	Seed() uint32                                   // new checksum seed, not 0
	Secret(module, user string) (string, bool)      // password of a user, and whether it is known
	AcquireConn(module string) (limit int, ok bool) // counts the connection against the module's limit
	Begin(Transfer) (Tree, error)
	MaxFiles() int // maximum entries of a file list
	// ReserveListEntries reserves n more file list entries for this session. It returns false if all
	// sessions together would hold more than the limit.
	ReserveListEntries(n int) bool
}

// Transfer describes the transfer that a client has requested.
type Transfer struct {
	Module   string
	User     string
	Push     bool
	Paths    []string
	Timeout  int // the client's --timeout in seconds; 0: none
	BWLimit  int // KiB per second; 0: no limit
	DryRun   bool
	Protocol int
}

// Tree is the content of a module during one transfer.
type Tree interface {
	// Stat returns the entry at a path, and whether there is one.
	Stat(path string) (File, bool, error)
	// Scan returns up to n entries below dir, without dir itself, in path order, beginning after the path
	// after ("" for the start). Unless deep, it returns only the entries directly in dir.
	Scan(dir, after string, deep bool, n int) ([]File, error)
	Open(File) Reader
	Create(File) Writer               // begins a regular file that replaces the one at its path
	Put(File) Pending                 // stores a directory, a link, or new attributes of a file
	Log(what, path string, err error) // logs an error of one file
	End(err error)                    // called once, when the transfer ends
}

const listReserveStep = 500 // file list entries reserved at a time

// reserveListEntry reserves room for the next entry of a file list that has the given number of entries.
func (s *Session) reserveListEntry(have int) {
	if have >= s.gateway.MaxFiles() {
		s.sendMessage(msgError, "eiderhold: more than %d files in one transfer; take the tree in parts", s.gateway.MaxFiles())
		fail("file list: more than %d entries", s.gateway.MaxFiles())
	}
	if have%listReserveStep == 0 && !s.gateway.ReserveListEntries(listReserveStep) {
		s.sendMessage(msgError, "eiderhold: file lists of all transfers together are too long at the moment; come back later, or take the tree in parts")
		fail("file list: after %d entries all transfers together hold as many as they may (rsync.files)", have)
	}
}

// ErrEndTransfer marks an error of a Reader or a Pending that ends the whole transfer, not only its file.
var ErrEndTransfer = errors.New("the transfer ends")

// Reader reads a file whose bytes arrive asynchronously.
type Reader interface {
	// At returns between 1 and n bytes at an offset; ok is false while they have not arrived. The bytes
	// are valid until the next call.
	At(off int64, n int) (p []byte, ok bool, err error)
	Close()
}

// Pending is an operation in progress.
type Pending interface {
	Done() (bool, error)
}

// Writer writes a file sequentially.
type Writer interface {
	Pending             // done after Finish once all extents are served and the catalogue is changed
	HasRoom() bool      // reports whether it accepts more data
	Write(p []byte)     // accepts all of p and copies it
	Finish(final File)  // ends the data
	Abort(reason error) // discards the file
}

// Session is the protocol state of one client connection.
type Session struct {
	gateway Gateway
	next    func() (struct{}, bool)
	stop    func()

	yield       func(struct{}) bool
	input       []byte
	consumed    int  // bytes of input that have been read
	eof         bool // the client sends nothing more
	output      []byte
	fileData    []byte // file data that is not in a frame yet
	multiplexed bool
	onWait      func() // called before each yield; nil: nothing to do

	readBytes, wroteBytes int64
	version               int
	err                   error
	finished              bool
	tree                  Tree
	treeEnded             bool // tree.End was called
	phase                 string
	opt                   options
	seed                  uint32
}

// NewSession starts a session. Its Output is the greeting.
func NewSession(gw Gateway) *Session {
	s := &Session{gateway: gw, phase: "greeting"}
	s.next, s.stop = iter.Pull(func(yield func(struct{}) bool) {
		s.yield = yield
		s.err = s.runGuarded()
	})
	s.Resume()
	return s
}

// sessionError is the value of a panic that ends the session with an error.
type sessionError struct{ error }

var errStopped = errors.New("rsync: stopped")

// runGuarded runs the session and returns the error of a sessionError panic.
func (s *Session) runGuarded() (err error) {
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(sessionError)
			if !ok {
				panic(p)
			}
			err = f.error
		}
	}()
	s.run()
	return nil
}

// fail ends the session with an error.
func fail(format string, args ...any) {
	panic(sessionError{fmt.Errorf("rsync: "+format, args...)})
}

// Feed adds bytes from the client and resumes the session.
func (s *Session) Feed(p []byte) {
	if s.consumed > 0 && s.consumed == len(s.input) {
		s.input, s.consumed = s.input[:0], 0
	} else if s.consumed > 32<<10 {
		s.input = s.input[:copy(s.input, s.input[s.consumed:])]
		s.consumed = 0
	}
	s.input = append(s.input, p...)
	s.readBytes += int64(len(p))
	s.Resume()
}

// EOF tells the session that the client sends nothing more.
func (s *Session) EOF() {
	s.eof = true
	s.Resume()
}

// Buffered returns the number of input bytes that the session has not read yet.
func (s *Session) Buffered() int { return len(s.input) - s.consumed }

// Resume continues the session, which checks again what it waits for.
func (s *Session) Resume() {
	if s.finished {
		return
	}
	if _, more := s.next(); !more {
		s.finish()
	}
}

func (s *Session) finish() {
	s.finished = true
	s.flush()
	if s.tree != nil && !s.treeEnded {
		s.treeEnded = true
		s.tree.End(s.err)
	}
}

// Output returns the pending bytes for the client. They stay pending until Sent is called.
func (s *Session) Output() []byte { return s.output }

// Sent removes the first n bytes of Output, which the caller has sent.
func (s *Session) Sent(n int) {
	s.wroteBytes += int64(n)
	if n == len(s.output) {
		s.output = s.output[:0]
		if cap(s.output) > 4*outputHighWater {
			s.output = nil
		}
		return
	}
	s.output = s.output[:copy(s.output, s.output[n:])]
}

// Ended reports whether the session has ended, and with which error. The connection should be closed
// once the remaining output is sent.
func (s *Session) Ended() (bool, error) { return s.finished, s.err }

// Phase returns the name of the session's current phase, for logs.
func (s *Session) Phase() string { return s.phase }

// InTransfer reports whether a transfer has begun.
func (s *Session) InTransfer() bool { return s.tree != nil }

// Close ends a session whose client has disconnected or is disconnected by the gateway.
func (s *Session) Close(reason error) {
	if s.finished {
		return
	}
	s.stop() // makes yield return false, so that the coroutine unwinds
	s.finished = true
	if s.err == nil || errors.Is(s.err, errStopped) {
		s.err = reason
	}
	if s.tree != nil && !s.treeEnded {
		s.treeEnded = true
		s.tree.End(s.err)
	}
}

// wait yields until the caller resumes the session.
func (s *Session) wait() {
	if s.onWait != nil {
		s.onWait()
	}
	s.flush()
	if !s.yield(struct{}{}) {
		panic(sessionError{errStopped})
	}
}

// waitForRoom waits until pending output is at most outputHighWater.
func (s *Session) waitForRoom() {
	for len(s.output)+len(s.fileData) > outputHighWater {
		s.wait()
	}
}

// ---- input ----

// readN waits for n bytes and returns them. They are valid until the next wait.
func (s *Session) readN(n int) []byte {
	for len(s.input)-s.consumed < n {
		if s.eof {
			fail("%s: the client closed the connection", s.phase)
		}
		s.wait()
	}
	p := s.input[s.consumed : s.consumed+n]
	s.consumed += n
	return p
}

func (s *Session) readByte() byte { return s.readN(1)[0] }
func (s *Session) readShort() int { return int(binary.LittleEndian.Uint16(s.readN(2))) }
func (s *Session) readInt() int32 { return int32(binary.LittleEndian.Uint32(s.readN(4))) }
func (s *Session) readLong() int64 {
	if v := s.readInt(); v != -1 {
		return int64(v)
	}
	return int64(binary.LittleEndian.Uint64(s.readN(8)))
}

// readVString reads a string with a length prefix of one or two bytes.
func (s *Session) readVString() string {
	n := int(s.readByte())
	if n&0x80 != 0 {
		n = (n&^0x80)<<8 + int(s.readByte())
	}
	if n >= maxPathBytes {
		fail("%s: a name of %d bytes: at most %d", s.phase, n, maxPathBytes-1)
	}
	return string(s.readN(n))
}

// readLine reads a line of the handshake, without its terminator.
func (s *Session) readLine() string {
	for at := s.consumed; ; at++ {
		for at >= len(s.input) {
			if s.eof {
				fail("%s: the client closed the connection", s.phase)
			}
			done := at - s.consumed
			s.wait()
			at = s.consumed + done
		}
		if at-s.consumed > maxLineBytes {
			fail("%s: a line of over %d bytes", s.phase, maxLineBytes)
		}
		if c := s.input[at]; c == '\n' || c == 0 {
			line := string(s.input[s.consumed:at])
			s.consumed = at + 1
			if len(line) > 0 && line[len(line)-1] == '\r' {
				line = line[:len(line)-1]
			}
			return line
		}
	}
}

// ---- output ----

const frameBytes = 32 << 10 // bytes of file data in a frame

// Tags of multiplexed output in protocol 29.
const (
	muxBase  = 7
	msgData  = 0
	msgError = 1 // the client counts it as an error and exits with code 23
	msgInfo  = 2
)

func (s *Session) write(p []byte) {
	if !s.multiplexed {
		s.output = append(s.output, p...)
		return
	}
	for len(p) > 0 {
		n := min(len(p), frameBytes-len(s.fileData))
		s.fileData = append(s.fileData, p[:n]...)
		p = p[n:]
		if len(s.fileData) == frameBytes {
			s.flush()
		}
	}
}

func (s *Session) writeByte(b byte)     { s.write([]byte{b}) }
func (s *Session) writeShort(v int)     { s.write(binary.LittleEndian.AppendUint16(nil, uint16(v))) }
func (s *Session) writeInt(v int32)     { s.write(binary.LittleEndian.AppendUint32(nil, uint32(v))) }
func (s *Session) writeString(t string) { s.write([]byte(t)) }

func (s *Session) writeLong(v int64) {
	if v >= 0 && v <= 0x7fffffff {
		s.writeInt(int32(v))
		return
	}
	s.writeInt(-1)
	s.write(binary.LittleEndian.AppendUint64(nil, uint64(v)))
}

func (s *Session) writeVString(t string) {
	if len(t) > 0x7f {
		s.writeByte(byte(len(t)>>8) | 0x80)
	}
	s.writeByte(byte(len(t)))
	s.writeString(t)
}

// flush writes pending file data as a frame.
func (s *Session) flush() {
	if len(s.fileData) == 0 {
		return
	}
	s.writeFrame(msgData, s.fileData)
	s.fileData = s.fileData[:0]
}

func (s *Session) writeFrame(tag int, p []byte) {
	s.output = binary.LittleEndian.AppendUint32(s.output, uint32((muxBase+tag)<<24|len(p)))
	s.output = append(s.output, p...)
}

// sendMessage sends a text that the client shows to its user.
func (s *Session) sendMessage(tag int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(text) > 1000 {
		text = text[:1000]
	}
	s.flush()
	s.writeFrame(tag, []byte(text+"\n"))
}
