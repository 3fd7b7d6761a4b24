package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"strings"
	"time"

	//lint:ignore SA1019 MD4 is the digest of rsync protocol 29.
	"golang.org/x/crypto/md4"

	proto "eiderhold/internal/rsync"
)

// Client is a scripted rsync client of protocol 29. It has its own code for the wire format, so that a fault in
// the gateway's code is not repeated in the client that tests it.
type Client struct {
	Addr      string
	User      string
	Password  string
	Greeting  string            // "@RSYNCD: 29" if empty
	Timeout   time.Duration     // sent as --timeout, and applied to each read and write; 0: not sent, and 1 minute
	Args      []string          // further arguments
	CutAfter  int64             // number of bytes sent after which the client drops the connection; 0: never
	Before    func(file string) // called before each file's content is requested or sent; may be nil
	ReadPause time.Duration     // pause in reading at the start of the first file's content
	ListOnly  bool

	conn         net.Conn
	r            *bufio.Reader
	frameLeft    int // bytes left of the present data frame
	muxed        bool
	sent         int64
	messages     []string // error messages from the gateway
	seed         uint32
	literalBytes int64 // bytes of content sent or received literally, not as references to blocks
}

// ClientFile is a file or directory as the client has it.
type ClientFile struct {
	Path  string
	Dir   bool
	Data  []byte
	MTime int64
	Size  int64 // set in a listing
}

// Report is the result of a transfer.
type Report struct {
	Files    []ClientFile // files pulled, or the listing
	LeftOut  []string     // paths in the file list that came without content
	Messages []string     // error messages from the gateway
	Literal  int64        // bytes of content sent or received literally
	Complete bool         // the session ended as the protocol requires
	Took     time.Duration
	FileTook map[string]time.Duration // by path, of a pull
}

// Exit returns the exit status that rsync(1) would have after this transfer and its error.
func (r *Report) Exit(err error) int {
	switch {
	case err != nil && errors.As(err, new(*DaemonError)):
		return 5
	case err != nil:
		return 12
	case len(r.Messages) > 0:
		return 23
	}
	return 0
}

// DaemonError is an "@ERROR" line from the gateway.
type DaemonError struct{ Text string }

// Error returns the line.
func (e *DaemonError) Error() string { return "@ERROR: " + e.Text }

var errConnCut = errors.New("connection dropped after CutAfter bytes")

// ioTimeout returns the time-out of each read and write.
func (c *Client) ioTimeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return time.Minute
}

// clientConn is the client's connection with its time-out and CutAfter applied.
type clientConn struct{ c *Client }

func (w clientConn) Read(p []byte) (int, error) {
	_ = w.c.conn.SetReadDeadline(time.Now().Add(w.c.ioTimeout()))
	return w.c.conn.Read(p)
}

func (w clientConn) Write(p []byte) (int, error) {
	c := w.c
	if c.CutAfter > 0 && c.sent+int64(len(p)) >= c.CutAfter {
		n, _ := c.conn.Write(p[:c.CutAfter-c.sent])
		c.sent += int64(n)
		_ = c.conn.Close()
		return n, errConnCut
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.ioTimeout()))
	n, err := c.conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// handshake connects and does the handshake up to the checksum seed.
func (c *Client) handshake(ctx context.Context, module string, args []string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	c.conn = conn
	context.AfterFunc(ctx, func() { conn.Close() })
	c.r = bufio.NewReaderSize(clientConn{c}, 64<<10)
	greeting := c.Greeting
	if greeting == "" {
		greeting = "@RSYNCD: 29"
	}
	first, err := c.readLine()
	if text, bad := strings.CutPrefix(first, "@ERROR: "); bad {
		return &DaemonError{text}
	}
	if err != nil {
		return err
	}
	if err := c.sendText(greeting + "\n" + module + "\n"); err != nil {
		return err
	}
	for {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if text, bad := strings.CutPrefix(line, "@ERROR: "); bad {
			return &DaemonError{text}
		}
		if challenge, ask := strings.CutPrefix(line, "@RSYNCD: AUTHREQD "); ask {
			if err := c.sendText(c.User + " " + proto.Response(c.Password, challenge, false) + "\n"); err != nil {
				return err
			}
		}
		if line == "@RSYNCD: OK" {
			break
		}
	}
	if c.Timeout > 0 {
		args = append([]string{args[0], fmt.Sprintf("--timeout=%d", max(1, int(c.Timeout.Seconds())))}, args[1:]...)
	}
	if err := c.sendText(strings.Join(args, "\n") + "\n\n"); err != nil {
		return err
	}
	seed := make([]byte, 4)
	if _, err := io.ReadFull(c.r, seed); err != nil {
		return err
	}
	c.seed = binary.LittleEndian.Uint32(seed)
	c.muxed = true
	return nil
}

func (c *Client) sendText(s string) error { _, err := clientConn{c}.Write([]byte(s)); return err }

func (c *Client) readLine() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\n"), err
}

// Read reads data from the gateway's multiplexed frames. It keeps the error messages among them.
func (c *Client) Read(p []byte) (int, error) {
	for c.frameLeft == 0 {
		head := make([]byte, 4)
		if _, err := io.ReadFull(c.r, head); err != nil {
			return 0, err
		}
		h := binary.LittleEndian.Uint32(head)
		n := int(h & 0xffffff)
		if tag := h >> 24; tag == 7 {
			c.frameLeft = n
			continue
		} else if tag != 8 && tag != 9 {
			return 0, fmt.Errorf("frame of tag %d: expected 7, 8 or 9", tag)
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(c.r, text); err != nil {
			return 0, err
		}
		if h>>24 == 8 {
			c.messages = append(c.messages, strings.TrimSpace(string(text)))
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.frameLeft)])
	c.frameLeft -= n
	return n, err
}

func (c *Client) readBytes(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := io.ReadFull(c, p)
	return p, err
}

func (c *Client) readInt() (int32, error) {
	p, err := c.readBytes(4)
	return int32(binary.LittleEndian.Uint32(p)), err
}

func (c *Client) readLong() (int64, error) {
	v, err := c.readInt()
	if err != nil || v != -1 {
		return int64(v), err
	}
	p, err := c.readBytes(8)
	return int64(binary.LittleEndian.Uint64(p)), err
}

func le32(vs ...int32) []byte {
	var b []byte
	for _, v := range vs {
		b = binary.LittleEndian.AppendUint32(b, uint32(v))
	}
	return b
}

// Pull fetches a path of a module. basis has the content of files that the client has already, by path; their
// block sums are sent.
func (c *Client) Pull(ctx context.Context, module, path string, basis map[string][]byte) (rep *Report, err error) {
	began := time.Now()
	rep = &Report{FileTook: map[string]time.Duration{}}
	defer func() {
		rep.Messages, rep.Literal, rep.Took = c.messages, c.literalBytes, time.Since(began)
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	args := append([]string{"--server", "--sender", "-rlt"}, c.Args...)
	if err := c.handshake(ctx, module, append(args, ".", module+"/"+path)); err != nil {
		return rep, err
	}
	if _, err := (clientConn{c}).Write(le32(0)); err != nil { // no filter rules
		return rep, err
	}
	list, err := c.readFileList()
	if err != nil {
		return rep, err
	}
	if c.ListOnly {
		rep.Files = list
		return rep, nil
	}
	if len(list) == 0 {
		return rep, nil
	}
	for i, f := range list {
		if f.Dir {
			rep.Files = append(rep.Files, f)
			continue
		}
		if c.Before != nil {
			c.Before(f.Path)
		}
		asked := time.Now()
		if err := c.requestFile(int32(i), basis[f.Path]); err != nil {
			return rep, err
		}
		data, ok, err := c.receiveContent(int32(i), basis[f.Path])
		if err != nil {
			return rep, err
		}
		if !ok {
			rep.LeftOut = append(rep.LeftOut, f.Path)
			continue
		}
		f.Data = data
		rep.FileTook[f.Path] = time.Since(asked)
		rep.Files = append(rep.Files, f)
	}
	// The end of the session: three phases, statistics, goodbye.
	if _, err := (clientConn{c}).Write(le32(-1, -1, -1)); err != nil {
		return rep, err
	}
	for range 3 {
		if v, err := c.readInt(); err != nil || v != -1 {
			return rep, fmt.Errorf("end of a phase: index %d, expected -1: %w", v, err)
		}
	}
	for range 5 {
		if _, err := c.readLong(); err != nil {
			return rep, err
		}
	}
	if _, err := (clientConn{c}).Write(le32(-1)); err != nil {
		return rep, err
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		return rep, fmt.Errorf("after the goodbye: %v, expected EOF", err)
	}
	rep.Complete = true
	return rep, nil
}

// readFileList reads the file list and sorts it into the order in which both sides index it.
func (c *Client) readFileList() ([]ClientFile, error) {
	var list []ClientFile
	name, mode, mtime := "", int32(0), int32(0)
	for {
		b, err := c.readBytes(1)
		if err != nil {
			return nil, err
		}
		flags := int(b[0])
		if flags == 0 {
			break
		}
		if flags&4 != 0 {
			if b, err = c.readBytes(1); err != nil {
				return nil, err
			}
			flags |= int(b[0]) << 8
		}
		prefixLen, n := 0, 0
		if flags&32 != 0 {
			if b, err = c.readBytes(1); err != nil {
				return nil, err
			}
			prefixLen = int(b[0])
		}
		if flags&64 != 0 {
			v, err := c.readInt()
			if err != nil {
				return nil, err
			}
			n = int(v)
		} else {
			if b, err = c.readBytes(1); err != nil {
				return nil, err
			}
			n = int(b[0])
		}
		rest, err := c.readBytes(n)
		if err != nil {
			return nil, err
		}
		name = name[:prefixLen] + string(rest)
		size, err := c.readLong()
		if err == nil && flags&128 == 0 {
			mtime, err = c.readInt()
		}
		if err == nil && flags&2 == 0 {
			mode, err = c.readInt()
		}
		if err != nil {
			return nil, err
		}
		f := ClientFile{Path: name, Dir: mode&0o170000 == 0o040000, MTime: int64(mtime), Size: size}
		if mode&0o170000 == 0o120000 {
			n, err := c.readInt()
			if err != nil {
				return nil, err
			}
			if f.Data, err = c.readBytes(int(n)); err != nil {
				return nil, err
			}
			f.Dir = true // no content to fetch
		}
		list = append(list, f)
	}
	if _, err := c.readInt(); err != nil { // I/O error flags
		return nil, err
	}
	sort.SliceStable(list, func(i, j int) bool { return sortKey(list[i]) < sortKey(list[j]) })
	return list, nil
}

// sortKey returns a key that sorts as protocol 29 does: each directory's files before its directories.
// A directory's name has the prefix \x02 and a trailing slash, a file's name the prefix \x01.
func sortKey(f ClientFile) string {
	if f.Path == "." {
		return ""
	}
	parts := strings.Split(f.Path, "/")
	var b strings.Builder
	for i, p := range parts {
		if i < len(parts)-1 || f.Dir && len(f.Data) == 0 {
			b.WriteString("\x02" + p + "/")
		} else {
			b.WriteString("\x01" + p + "\x00")
		}
	}
	return b.String()
}

// clientBlockBytes is the block size of the sums that the client sends.
const clientBlockBytes = 700

// requestFile requests file i and sends the block sums of its basis.
func (c *Client) requestFile(i int32, basis []byte) error {
	b := le32(i)
	b = binary.LittleEndian.AppendUint16(b, 1<<15)
	count := (len(basis) + clientBlockBytes - 1) / clientBlockBytes
	b = append(b, le32(int32(count), clientBlockBytes, 16, int32(len(basis)%clientBlockBytes))...)
	for at := 0; at < len(basis); at += clientBlockBytes {
		block := basis[at:min(len(basis), at+clientBlockBytes)]
		b = append(b, le32(int32(rollingSum(block)))...)
		b = append(b, c.strongSum(block)...)
	}
	_, err := clientConn{c}.Write(b)
	return err
}

// rollingSum returns rsync's rolling checksum of a block.
func rollingSum(p []byte) uint32 {
	s1, s2 := uint32(0), uint32(0)
	for _, x := range p {
		s1 += uint32(int32(int8(x)))
		s2 += s1
	}
	return s1&0xffff | s2<<16
}

// strongSum returns the MD4 sum of a block with the session's seed.
func (c *Client) strongSum(p []byte) []byte {
	h := md4.New()
	h.Write(p)
	h.Write(le32(int32(c.seed)))
	return h.Sum(nil)
}

// receiveContent reads the answer to a request for a file. ok is false if the gateway left the file out, with a
// message instead of content or with a wrong sum behind the content.
func (c *Client) receiveContent(want int32, basis []byte) (data []byte, ok bool, err error) {
	messagesBefore := len(c.messages)
	// A file that is left out has a message and no data frame: read up to whichever comes first.
	for c.frameLeft == 0 {
		if err := c.nextFrame(); err != nil {
			return nil, false, err
		}
		if len(c.messages) > messagesBefore && c.frameLeft == 0 {
			return nil, false, nil
		}
	}
	i, err := c.readInt()
	if err != nil || i != want {
		return nil, false, fmt.Errorf("file %d answered, expected %d: %w", i, want, err)
	}
	if _, err := c.readBytes(2); err != nil {
		return nil, false, err
	}
	sumHead := make([]int32, 4)
	for k := range sumHead {
		if sumHead[k], err = c.readInt(); err != nil {
			return nil, false, err
		}
	}
	if c.ReadPause > 0 {
		time.Sleep(c.ReadPause)
		c.ReadPause = 0
	}
	sum := md4.New()
	sum.Write(le32(int32(c.seed)))
	for {
		t, err := c.readInt()
		if err != nil {
			return nil, false, err
		}
		if t == 0 {
			break
		}
		var p []byte
		if t > 0 {
			if p, err = c.readBytes(int(t)); err != nil {
				return nil, false, err
			}
			c.literalBytes += int64(t)
		} else {
			at := int(-t-1) * int(sumHead[1])
			if at > len(basis) {
				return nil, false, fmt.Errorf("reference to block %d of a basis of %d bytes", -t-1, len(basis))
			}
			p = basis[at:min(len(basis), at+int(sumHead[1]))]
		}
		sum.Write(p)
		data = append(data, p...)
	}
	receivedSum, err := c.readBytes(16)
	if err != nil {
		return nil, false, err
	}
	if bytes.Equal(receivedSum, sum.Sum(nil)) {
		return data, true, nil
	}
	for len(c.messages) == messagesBefore { // the message with the cause follows the wrong sum
		if c.frameLeft > 0 {
			return nil, false, errors.New("wrong sum of a file: expected a message with the cause")
		}
		if err := c.nextFrame(); err != nil {
			return nil, false, err
		}
	}
	return nil, false, nil
}

// nextFrame reads the header of a data frame, or one whole message.
func (c *Client) nextFrame() error {
	head, err := c.r.Peek(4)
	if err != nil {
		return err
	}
	h := binary.LittleEndian.Uint32(head)
	if h>>24 == 7 {
		c.frameLeft = int(h & 0xffffff)
		_, err = c.r.Discard(4)
		return err
	}
	_, _ = c.r.Discard(4)
	text := make([]byte, h&0xffffff)
	if _, err := io.ReadFull(c.r, text); err != nil {
		return err
	}
	if h>>24 == 8 {
		c.messages = append(c.messages, strings.TrimSpace(string(text)))
	}
	return nil
}

// Push sends files to a path of a module.
func (c *Client) Push(ctx context.Context, module, path string, files []ClientFile) (rep *Report, err error) {
	began := time.Now()
	rep = &Report{}
	defer func() {
		rep.Messages, rep.Literal, rep.Took = c.messages, c.literalBytes, time.Since(began)
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	args := append([]string{"--server", "-rlt"}, c.Args...)
	if err := c.handshake(ctx, module, append(args, ".", module+"/"+path)); err != nil {
		return rep, err
	}
	files = append([]ClientFile(nil), files...)
	sort.SliceStable(files, func(i, j int) bool { return sortKey(files[i]) < sortKey(files[j]) })
	var b []byte
	for _, f := range files {
		mode := int32(0o100644)
		if f.Dir {
			mode = 0o040755
		}
		b = append(b, 64) // flags: long name, no prefix in common with the one before
		b = append(b, le32(int32(len(f.Path)))...)
		b = append(b, f.Path...)
		b = append(b, le32(int32(len(f.Data)), int32(f.MTime), mode)...)
	}
	b = append(b, 0)
	b = append(b, le32(0)...)
	if _, err := (clientConn{c}).Write(b); err != nil {
		return rep, err
	}
	for phase := 0; ; {
		i, err := c.readInt()
		if err != nil {
			return rep, err
		}
		if i == -1 {
			if phase++; phase == 4 {
				rep.Complete = true
				return rep, nil
			}
			if _, err := (clientConn{c}).Write(le32(-1)); err != nil {
				return rep, err
			}
			continue
		}
		if _, err := c.readBytes(2); err != nil {
			return rep, err
		}
		if int(i) >= len(files) || i < 0 {
			return rep, fmt.Errorf("file %d requested: expected 0 to %d", i, len(files)-1)
		}
		if c.Before != nil {
			c.Before(files[i].Path)
		}
		if err := c.sendContent(i, files[i].Data); err != nil {
			return rep, err
		}
	}
}

// sendContent sends one file: references to blocks that the gateway has at the same offset, else literal bytes.
func (c *Client) sendContent(i int32, data []byte) error {
	sumHead := make([]int32, 4)
	var err error
	for k := range sumHead {
		if sumHead[k], err = c.readInt(); err != nil {
			return err
		}
	}
	sums := map[int]string{} // by block: rolling and strong sum
	for k := range int(sumHead[0]) {
		p, err := c.readBytes(4 + int(sumHead[2]))
		if err != nil {
			return err
		}
		sums[k] = string(p)
	}
	out := le32(i)
	out = binary.LittleEndian.AppendUint16(out, 1<<15)
	out = append(out, le32(sumHead...)...)
	sum := md4.New()
	sum.Write(le32(int32(c.seed)))
	sum.Write(data)
	step := 32 << 10
	if sumHead[0] > 0 {
		step = int(sumHead[1])
	}
	for at := 0; at < len(data); at += step {
		p := data[at:min(len(data), at+step)]
		k := at / step
		size := step
		if k == int(sumHead[0])-1 && sumHead[3] != 0 {
			size = int(sumHead[3])
		}
		blockSum := string(le32(int32(rollingSum(p)))) + string(c.strongSum(p)[:sumHead[2]])
		if sumHead[0] > 0 && sums[k] == blockSum && len(p) == size {
			out = append(out, le32(int32(-k-1))...)
		} else {
			out = append(append(out, le32(int32(len(p)))...), p...)
			c.literalBytes += int64(len(p))
		}
		if len(out) > 64<<10 {
			if _, err := (clientConn{c}).Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
	}
	out = append(out, le32(0)...)
	_, err = clientConn{c}.Write(append(out, sum.Sum(nil)...))
	return err
}
