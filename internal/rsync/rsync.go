// Package rsync is the server side of the rsync daemon protocol, versions 27 to 29:
// sessions that are fed the client's bytes and return bytes for it. It opens no
// socket, reads no clock and knows no storage node: what it needs of the gateway
// is the interface Gateway, whose methods never block. Its caller is
// internal/front/rsync. Source: the rsync technical report (A. Tridgell and
// P. Mackerras, TR-CS-96-05), the manual pages rsync(1) and rsyncd.conf(5), and the
// protocol as current clients speak it, checked against one.
//
// A session is written top to bottom, in the order of the protocol, as a coroutine
// (iter.Pull): where it lacks bytes, room or an extent it yields, and Resume lets it
// look again.
package rsync

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
)

// The protocol versions that a session speaks.
const (
	newestVersion = 29
	oldestVersion = 27
)

// The ceilings of what a client may make a session hold. What goes over one ends
// the session with an error that names it.
const (
	maxLineBytes    = 4096      // bytes of a line of the handshake
	maxArgs         = 1000      // arguments
	maxArgBytes     = 64 << 10  // bytes of all arguments
	maxPathBytes    = 4096      // bytes of a path
	maxRules        = 10_000    // exclusion rules
	maxRuleBytes    = 1 << 20   // bytes of all rules
	maxBlockSums    = 1 << 20   // block sums of one file
	maxBlockBytes   = 1 << 29   // bytes of a block
	maxTokenBytes   = 1 << 20   // bytes of literal data behind one count
	maxIDNames      = 100_000   // names of users or groups
	outputHighWater = 256 << 10 // bytes for the client that wait before a session pauses
	// InputHigh is how many of the client's bytes a session holds at most before
	// its caller must stop feeding it.
	MaxInputBytes = 128 << 10
)

// Module is one module as clients see it.
type Module struct {
	Name, Comment string
	Hidden        bool // not listed
	ReadOnly      bool
	WriteOnly     bool
	Users         []string // who may enter; empty: everyone, unasked
}

// File is an entry of a module's tree. Path is relative to the module's root, with
// slashes, "." for the root itself. Mode has the type bits of st_mode.
type File struct {
	Path     string
	Mode     uint32
	Size     int64 // bytes; also above 4 GiB
	MTime    int64 // seconds since 1970
	UID, GID uint32
	Link     string // target of a symbolic link
	Ref      any    // the catalogue's, untouched here
}

// The type bits of a mode, as st_mode has them.
const (
	typeMask = 0o170000
	typeDir  = 0o040000
	typeFile = 0o100000
	typeLink = 0o120000
	permMask = 0o7777
)

// IsDir says that the entry is a directory.
func (f *File) IsDir() bool { return f.Mode&typeMask == typeDir }

// IsRegular says that the entry is a file with content.
func (f *File) IsRegular() bool { return f.Mode&typeMask == typeFile }

// IsLink says that the entry is a symbolic link.
func (f *File) IsLink() bool { return f.Mode&typeMask == typeLink }

// Gateway is what a session asks of the program around it. No method blocks.
type Gateway interface {
	Modules() []Module
	Module(name string) (Module, bool)
	MOTD() string
	Challenge() string // fresh random text for a login
	Seed() uint32      // fresh checksum seed, not 0
	Secret(module, user string) (string, bool)
	AcquireConn(module string) (limit int, ok bool) // takes one of the module's connections
	Begin(Transfer) (Tree, error)
	MaxFiles() int // entries of a file list
	// Listed books so many more entries of file lists that this session holds; false if
	// all sessions together would hold more than they may.
	ReserveListEntries(n int) bool
}

// Transfer says what a client has asked for once its options are known.
type Transfer struct {
	Module   string
	User     string
	Push     bool
	Paths    []string
	Timeout  int // the client's --timeout, seconds; 0: none
	BWLimit  int // KiB a second; 0: none
	DryRun   bool
	Protocol int
}

// Tree is a module during one transfer.
type Tree interface {
	Stat(path string) (File, bool, error)
	// Scan returns up to n entries below a directory, without it, in the order of
	// their paths, that come after the given one ("" for the first); only the
	// directory's own entries unless deep.
	Scan(dir, after string, deep bool, n int) ([]File, error)
	Open(File) Reader
	Create(File) Writer // of a regular file that replaces the one at its path
	Put(File) Pending   // a directory, a link, or other attributes of a file
	Log(what, path string, err error)
	End(err error) // the transfer is over
}

const listReserveStep = 500 // entries of a file list booked at a time

// listed books the next entry of a list that has so many.
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

// ErrEnd marks an error of a Reader or a Pending after which the whole transfer ends,
// not only its file.
var ErrEndTransfer = errors.New("the transfer ends")

// Reader reads a file of which only parts are there yet.
type Reader interface {
	// At returns up to n bytes at an offset, at least one; ok is false while they
	// are on their way. The bytes are good until the next call.
	At(off int64, n int) (p []byte, ok bool, err error)
	Close()
}

// Pending is something under way.
type Pending interface {
	Done() (bool, error)
}

// Writer takes a file's bytes in order.
type Writer interface {
	Pending             // after Finish: all extents served and the catalogue changed
	HasRoom() bool      // it can take more
	Write(p []byte)     // takes all of p, copied
	Finish(final File)  // no more bytes come
	Abort(reason error) // the file is not to be
}

// Session is one client's connection.
type Session struct {
	gateway Gateway
	next    func() (struct{}, bool)
	stop    func()

	yield       func(struct{}) bool
	input       []byte
	consumed    int  // bytes of in that are used up
	eof         bool // the client will send nothing more
	output      []byte
	fileData    []byte // file data not yet in a frame
	multiplexed bool
	onWait      func() // work that goes on while the session waits for input

	readBytes, wroteBytes int64
	version               int
	err                   error
	finished              bool
	tree                  Tree
	treeEnded             bool // the tree was told
	phase                 string
	opt                   options
	seed                  uint32
}

// NewSession starts a session. Out holds the greeting.
func NewSession(gw Gateway) *Session {
	s := &Session{gateway: gw, phase: "greeting"}
	s.next, s.stop = iter.Pull(func(yield func(struct{}) bool) {
		s.yield = yield
		s.err = s.runGuarded()
	})
	s.Resume()
	return s
}

// fault is a failure that ends the session, thrown inside it.
type sessionError struct{ error }

var errStopped = errors.New("rsync: stopped")

// guard runs the session and turns faults into its error.
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

func fail(format string, args ...any) {
	panic(sessionError{fmt.Errorf("rsync: "+format, args...)})
}

// Feed takes bytes of the client and lets the session go on.
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

// EOF says that the client sends nothing more.
func (s *Session) EOF() {
	s.eof = true
	s.Resume()
}

// Held is the number of the client's bytes that the session holds unread.
func (s *Session) Buffered() int { return len(s.input) - s.consumed }

// Resume lets the session look again at what it waits for.
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

// Out returns the bytes for the client and forgets them once Sent is called.
func (s *Session) Output() []byte { return s.output }

// Sent says that n bytes of Out have been taken.
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

// Over says that the session has ended and with what. After its last bytes are out
// the connection is to be closed.
func (s *Session) Ended() (bool, error) { return s.finished, s.err }

// Phase names what the session is at, for logs.
func (s *Session) Phase() string { return s.phase }

// InTransfer says that the handshake is over.
func (s *Session) InTransfer() bool { return s.tree != nil }

// Close ends a session whose client has gone or is sent away.
func (s *Session) Close(reason error) {
	if s.finished {
		return
	}
	s.stop() // the coroutine sees its yield refused and unwinds
	s.finished = true
	if s.err == nil || errors.Is(s.err, errStopped) {
		s.err = reason
	}
	if s.tree != nil && !s.treeEnded {
		s.treeEnded = true
		s.tree.End(s.err)
	}
}

// wait yields until the caller has news.
func (s *Session) wait() {
	if s.onWait != nil {
		s.onWait()
	}
	s.flush()
	if !s.yield(struct{}{}) {
		panic(sessionError{errStopped})
	}
}

// room waits until the client has taken enough of what is for it.
func (s *Session) waitForRoom() {
	for len(s.output)+len(s.fileData) > outputHighWater {
		s.wait()
	}
}

// ---- input ----

// need waits for n bytes and returns them; they are good until the next wait.
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

// readVString reads a string whose length is one byte or two.
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

// readLine reads a line of the handshake, without its end.
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

// The tags of multiplexed output, as protocol 29 knows them.
const (
	muxBase  = 7
	msgData  = 0
	msgError = 1 // counts as an error of the transfer: the client exits with 23
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

// flush puts pending file data into a frame.
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

// say sends a text to the client's user.
func (s *Session) sendMessage(tag int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(text) > 1000 {
		text = text[:1000]
	}
	s.flush()
	s.writeFrame(tag, []byte(text+"\n"))
}
