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

	"golang.org/x/crypto/md4"

	proto "eiderhold/internal/rsync"
)

// Client is a scripted rsync client of protocol 29. It has code of its own for the
// wire, so that an error of the gateway's is not repeated by its judge.
type Client struct {
	Addr     string
	User     string
	Password string
	Greeting string        // "@RSYNCD: 29" if empty
	Timeout  time.Duration // its --timeout, told to the gateway and kept; 0: none told, a minute kept
	Args     []string      // further arguments
	CutAfter int64         // bytes sent, after which the connection is dropped; 0: never
	Before   func(file string)
	StopRead time.Duration // stands still so long once the first file's content begins
	ListOnly bool

	conn    net.Conn
	r       *bufio.Reader
	frame   int // bytes left of a data frame
	muxed   bool
	sent    int64
	said    []string // what the gateway said in error messages
	seed    uint32
	literal int64 // bytes of content that crossed the wire as they are
}

// ClientFile is a file as a client has it.
type ClientFile struct {
	Path  string
	Dir   bool
	Data  []byte
	MTime int64
	Size  int64 // of a listing
}

// Report says how a transfer ended.
type Report struct {
	Files    []ClientFile // pulled, or the listing
	LeftOut  []string     // of the list, without content
	Said     []string     // error texts
	Literal  int64
	Goodbye  bool
	Took     time.Duration
	FileTook map[string]time.Duration
}

// Exit is the status that rsync(1) would end with.
func (r *Report) Exit(err error) int {
	switch {
	case err != nil && errors.As(err, new(*DaemonError)):
		return 5
	case err != nil:
		return 12
	case len(r.Said) > 0:
		return 23
	}
	return 0
}

// DaemonError is an "@ERROR" line.
type DaemonError struct{ Text string }

func (e *DaemonError) Error() string { return "@ERROR: " + e.Text }

var errCut = errors.New("cut on purpose")

func (c *Client) limit() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return time.Minute
}

// wire is c.conn with the client's silence limit and its cut.
type wire struct{ c *Client }

func (w wire) Read(p []byte) (int, error) {
	_ = w.c.conn.SetReadDeadline(time.Now().Add(w.c.limit()))
	return w.c.conn.Read(p)
}

func (w wire) Write(p []byte) (int, error) {
	c := w.c
	if c.CutAfter > 0 && c.sent+int64(len(p)) >= c.CutAfter {
		n, _ := c.conn.Write(p[:c.CutAfter-c.sent])
		c.sent += int64(n)
		_ = c.conn.Close()
		return n, errCut
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.limit()))
	n, err := c.conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// open goes through the handshake up to the checksum seed.
func (c *Client) open(ctx context.Context, module string, args []string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	c.conn = conn
	context.AfterFunc(ctx, func() { conn.Close() })
	c.r = bufio.NewReaderSize(wire{c}, 64<<10)
	greeting := c.Greeting
	if greeting == "" {
		greeting = "@RSYNCD: 29"
	}
	first, err := c.line()
	if text, bad := strings.CutPrefix(first, "@ERROR: "); bad {
		return &DaemonError{text}
	}
	if err != nil {
		return err
	}
	if err := c.send(greeting + "\n" + module + "\n"); err != nil {
		return err
	}
	for {
		line, err := c.line()
		if err != nil {
			return err
		}
		if text, bad := strings.CutPrefix(line, "@ERROR: "); bad {
			return &DaemonError{text}
		}
		if challenge, ask := strings.CutPrefix(line, "@RSYNCD: AUTHREQD "); ask {
			if err := c.send(c.User + " " + proto.Response(c.Password, challenge, false) + "\n"); err != nil {
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
	if err := c.send(strings.Join(args, "\n") + "\n\n"); err != nil {
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

func (c *Client) send(s string) error { _, err := wire{c}.Write([]byte(s)); return err }

func (c *Client) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\n"), err
}

// Read takes file data out of the gateway's frames and keeps its messages.
func (c *Client) Read(p []byte) (int, error) {
	for c.frame == 0 {
		head := make([]byte, 4)
		if _, err := io.ReadFull(c.r, head); err != nil {
			return 0, err
		}
		h := binary.LittleEndian.Uint32(head)
		n := int(h & 0xffffff)
		if tag := h >> 24; tag == 7 {
			c.frame = n
			continue
		} else if tag != 8 && tag != 9 {
			return 0, fmt.Errorf("frame of tag %d", tag)
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(c.r, text); err != nil {
			return 0, err
		}
		if h>>24 == 8 {
			c.said = append(c.said, strings.TrimSpace(string(text)))
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.frame)])
	c.frame -= n
	return n, err
}

func (c *Client) bytes(n int) ([]byte, error) {
	p := make([]byte, n)
	_, err := io.ReadFull(c, p)
	return p, err
}

func (c *Client) int() (int32, error) {
	p, err := c.bytes(4)
	return int32(binary.LittleEndian.Uint32(p)), err
}

func (c *Client) long() (int64, error) {
	v, err := c.int()
	if err != nil || v != -1 {
		return int64(v), err
	}
	p, err := c.bytes(8)
	return int64(binary.LittleEndian.Uint64(p)), err
}

func le32(vs ...int32) []byte {
	var b []byte
	for _, v := range vs {
		b = binary.LittleEndian.AppendUint32(b, uint32(v))
	}
	return b
}

// Pull fetches path of a module. have are files that the client has already, by
// path: their block sums are sent.
func (c *Client) Pull(ctx context.Context, module, path string, have map[string][]byte) (rep *Report, err error) {
	began := time.Now()
	rep = &Report{FileTook: map[string]time.Duration{}}
	defer func() {
		rep.Said, rep.Literal, rep.Took = c.said, c.literal, time.Since(began)
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	args := append([]string{"--server", "--sender", "-rlt"}, c.Args...)
	if err := c.open(ctx, module, append(args, ".", module+"/"+path)); err != nil {
		return rep, err
	}
	if _, err := (wire{c}).Write(le32(0)); err != nil { // no exclusions
		return rep, err
	}
	list, err := c.list()
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
		if err := c.ask(int32(i), have[f.Path]); err != nil {
			return rep, err
		}
		data, ok, err := c.content(int32(i), have[f.Path])
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
	// the phases, then statistics, then goodbye
	if _, err := (wire{c}).Write(le32(-1, -1, -1)); err != nil {
		return rep, err
	}
	for range 3 {
		if v, err := c.int(); err != nil || v != -1 {
			return rep, fmt.Errorf("end of a phase: %d, %w", v, err)
		}
	}
	for range 5 {
		if _, err := c.long(); err != nil {
			return rep, err
		}
	}
	if _, err := (wire{c}).Write(le32(-1)); err != nil {
		return rep, err
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		return rep, fmt.Errorf("after the goodbye: %v", err)
	}
	rep.Goodbye = true
	return rep, nil
}

// list reads the file list in the order in which both sides count.
func (c *Client) list() ([]ClientFile, error) {
	var list []ClientFile
	name, mode, mtime := "", int32(0), int32(0)
	for {
		b, err := c.bytes(1)
		if err != nil {
			return nil, err
		}
		flags := int(b[0])
		if flags == 0 {
			break
		}
		if flags&4 != 0 {
			if b, err = c.bytes(1); err != nil {
				return nil, err
			}
			flags |= int(b[0]) << 8
		}
		same, n := 0, 0
		if flags&32 != 0 {
			if b, err = c.bytes(1); err != nil {
				return nil, err
			}
			same = int(b[0])
		}
		if flags&64 != 0 {
			v, err := c.int()
			if err != nil {
				return nil, err
			}
			n = int(v)
		} else {
			if b, err = c.bytes(1); err != nil {
				return nil, err
			}
			n = int(b[0])
		}
		rest, err := c.bytes(n)
		if err != nil {
			return nil, err
		}
		name = name[:same] + string(rest)
		size, err := c.long()
		if err == nil && flags&128 == 0 {
			mtime, err = c.int()
		}
		if err == nil && flags&2 == 0 {
			mode, err = c.int()
		}
		if err != nil {
			return nil, err
		}
		f := ClientFile{Path: name, Dir: mode&0o170000 == 0o040000, MTime: int64(mtime), Size: size}
		if mode&0o170000 == 0o120000 {
			n, err := c.int()
			if err != nil {
				return nil, err
			}
			if f.Data, err = c.bytes(int(n)); err != nil {
				return nil, err
			}
			f.Dir = true // no content to fetch
		}
		list = append(list, f)
	}
	if _, err := c.int(); err != nil { // I/O errors
		return nil, err
	}
	sort.SliceStable(list, func(i, j int) bool { return orderKey(list[i]) < orderKey(list[j]) })
	return list, nil
}

// orderKey sorts as protocol 29 does: each directory's files before its directories.
// A name that is followed by a directory's slash has \x02 before it, another \x01.
func orderKey(f ClientFile) string {
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

const clientBlock = 700

// ask requests file i, with the block sums of what the client has.
func (c *Client) ask(i int32, have []byte) error {
	b := le32(i)
	b = binary.LittleEndian.AppendUint16(b, 1<<15)
	count := (len(have) + clientBlock - 1) / clientBlock
	b = append(b, le32(int32(count), clientBlock, 16, int32(len(have)%clientBlock))...)
	for at := 0; at < len(have); at += clientBlock {
		block := have[at:min(len(have), at+clientBlock)]
		b = append(b, le32(int32(rolling(block)))...)
		b = append(b, c.strong(block)...)
	}
	_, err := wire{c}.Write(b)
	return err
}

func rolling(p []byte) uint32 {
	s1, s2 := uint32(0), uint32(0)
	for _, x := range p {
		s1 += uint32(int32(int8(x)))
		s2 += s1
	}
	return s1&0xffff | s2<<16
}

func (c *Client) strong(p []byte) []byte {
	h := md4.New()
	h.Write(p)
	h.Write(le32(int32(c.seed)))
	return h.Sum(nil)
}

// content takes the answer to a request; ok is false if the file was left out, which
// shows in the gateway's message or in a sum that cannot be right.
func (c *Client) content(want int32, have []byte) (data []byte, ok bool, err error) {
	said := len(c.said)
	// a file left out gives no answer but a message: wait for whichever comes
	for c.frame == 0 {
		if err := c.nextFrame(); err != nil {
			return nil, false, err
		}
		if len(c.said) > said && c.frame == 0 {
			return nil, false, nil
		}
	}
	i, err := c.int()
	if err != nil || i != want {
		return nil, false, fmt.Errorf("file %d came for %d: %w", i, want, err)
	}
	if _, err := c.bytes(2); err != nil {
		return nil, false, err
	}
	head := make([]int32, 4)
	for k := range head {
		if head[k], err = c.int(); err != nil {
			return nil, false, err
		}
	}
	if c.StopRead > 0 {
		time.Sleep(c.StopRead)
		c.StopRead = 0
	}
	sum := md4.New()
	sum.Write(le32(int32(c.seed)))
	for {
		t, err := c.int()
		if err != nil {
			return nil, false, err
		}
		if t == 0 {
			break
		}
		var p []byte
		if t > 0 {
			if p, err = c.bytes(int(t)); err != nil {
				return nil, false, err
			}
			c.literal += int64(t)
		} else {
			at := int(-t-1) * int(head[1])
			if at > len(have) {
				return nil, false, fmt.Errorf("block %d of a file of %d bytes", -t-1, len(have))
			}
			p = have[at:min(len(have), at+int(head[1]))]
		}
		sum.Write(p)
		data = append(data, p...)
	}
	theirs, err := c.bytes(16)
	if err != nil {
		return nil, false, err
	}
	if bytes.Equal(theirs, sum.Sum(nil)) {
		return data, true, nil
	}
	for len(c.said) == said { // why it broke off comes behind it
		if c.frame > 0 {
			return nil, false, errors.New("a file with a wrong sum, and no word of why")
		}
		if err := c.nextFrame(); err != nil {
			return nil, false, err
		}
	}
	return nil, false, nil
}

// nextFrame reads on to the next data frame, or one message further.
func (c *Client) nextFrame() error {
	head, err := c.r.Peek(4)
	if err != nil {
		return err
	}
	h := binary.LittleEndian.Uint32(head)
	if h>>24 == 7 {
		c.frame = int(h & 0xffffff)
		_, err = c.r.Discard(4)
		return err
	}
	_, _ = c.r.Discard(4)
	text := make([]byte, h&0xffffff)
	if _, err := io.ReadFull(c.r, text); err != nil {
		return err
	}
	if h>>24 == 8 {
		c.said = append(c.said, strings.TrimSpace(string(text)))
	}
	return nil
}

// Push sends files to path of a module.
func (c *Client) Push(ctx context.Context, module, path string, files []ClientFile) (rep *Report, err error) {
	began := time.Now()
	rep = &Report{}
	defer func() {
		rep.Said, rep.Literal, rep.Took = c.said, c.literal, time.Since(began)
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	args := append([]string{"--server", "-rlt"}, c.Args...)
	if err := c.open(ctx, module, append(args, ".", module+"/"+path)); err != nil {
		return rep, err
	}
	files = append([]ClientFile(nil), files...)
	sort.SliceStable(files, func(i, j int) bool { return orderKey(files[i]) < orderKey(files[j]) })
	var b []byte
	for _, f := range files {
		mode := int32(0o100644)
		if f.Dir {
			mode = 0o040755
		}
		b = append(b, 64) // a name without prefix, its length as an int
		b = append(b, le32(int32(len(f.Path)))...)
		b = append(b, f.Path...)
		b = append(b, le32(int32(len(f.Data)), int32(f.MTime), mode)...)
	}
	b = append(b, 0)
	b = append(b, le32(0)...)
	if _, err := (wire{c}).Write(b); err != nil {
		return rep, err
	}
	for phase := 0; ; {
		i, err := c.int()
		if err != nil {
			return rep, err
		}
		if i == -1 {
			if phase++; phase == 4 {
				rep.Goodbye = true
				return rep, nil
			}
			if _, err := (wire{c}).Write(le32(-1)); err != nil {
				return rep, err
			}
			continue
		}
		if _, err := c.bytes(2); err != nil {
			return rep, err
		}
		if int(i) >= len(files) || i < 0 {
			return rep, fmt.Errorf("file %d of %d asked for", i, len(files))
		}
		if c.Before != nil {
			c.Before(files[i].Path)
		}
		if err := c.give(i, files[i].Data); err != nil {
			return rep, err
		}
	}
}

// give sends one file: blocks that the gateway has at the same place, else bytes.
func (c *Client) give(i int32, data []byte) error {
	head := make([]int32, 4)
	var err error
	for k := range head {
		if head[k], err = c.int(); err != nil {
			return err
		}
	}
	sums := map[int]string{} // by block
	for k := range int(head[0]) {
		p, err := c.bytes(4 + int(head[2]))
		if err != nil {
			return err
		}
		sums[k] = string(p)
	}
	out := le32(i)
	out = binary.LittleEndian.AppendUint16(out, 1<<15)
	out = append(out, le32(head...)...)
	sum := md4.New()
	sum.Write(le32(int32(c.seed)))
	sum.Write(data)
	step := 32 << 10
	if head[0] > 0 {
		step = int(head[1])
	}
	for at := 0; at < len(data); at += step {
		p := data[at:min(len(data), at+step)]
		k := at / step
		size := step
		if k == int(head[0])-1 && head[3] != 0 {
			size = int(head[3])
		}
		mine := string(le32(int32(rolling(p)))) + string(c.strong(p)[:head[2]])
		if head[0] > 0 && sums[k] == mine && len(p) == size {
			out = append(out, le32(int32(-k-1))...)
		} else {
			out = append(append(out, le32(int32(len(p)))...), p...)
			c.literal += int64(len(p))
		}
		if len(out) > 64<<10 {
			if _, err := (wire{c}).Write(out); err != nil {
				return err
			}
			out = out[:0]
		}
	}
	out = append(out, le32(0)...)
	_, err = wire{c}.Write(append(out, sum.Sum(nil)...))
	return err
}
