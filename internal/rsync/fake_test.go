package rsync

import (
	"bytes"
	"errors"
	"path"
	"sort"
	"strings"
)

// memoryGateway is a Gateway and Tree whose modules share one set of files in memory.
type memoryGateway struct {
	files          map[string]*memFile
	modules        []Module
	secrets        map[string]string
	full           bool
	maxFiles       int
	transfer       *Transfer
	ended          int
	endErr         error
	logs           []string
	notReadyCalls  int // how many calls of Reader.At return no bytes before one does
	readErrors     map[string]error
	openReaders    int // readers not closed yet
	listEntries    int // reserved entries; the next field is their limit, 0: none
	maxListEntries int
}

type memFile struct {
	File
	data []byte
}

func newMemory() *memoryGateway {
	return &memoryGateway{files: map[string]*memFile{}, maxFiles: 1000, readErrors: map[string]error{},
		modules: []Module{{Name: "m", Comment: "a module"}, {Name: "hid", Hidden: true}, {Name: "ro", ReadOnly: true},
			{Name: "wo", WriteOnly: true}, {Name: "private", Users: []string{"anna"}}}, secrets: map[string]string{"anna": "pw", "bert": "pw"}}
}

func (m *memoryGateway) add(p string, mode uint32, data string) {
	m.files[p] = &memFile{File{Path: p, Mode: mode, Size: int64(len(data)), MTime: 1000}, []byte(data)}
}

func (m *memoryGateway) Modules() []Module { return m.modules }
func (m *memoryGateway) Module(name string) (Module, bool) {
	for _, x := range m.modules {
		if x.Name == name {
			return x, true
		}
	}
	return Module{}, false
}
func (m *memoryGateway) MOTD() string      { return "welcome\n" }
func (m *memoryGateway) Challenge() string { return "challenge" }
func (m *memoryGateway) Seed() uint32      { return 12345 }
func (m *memoryGateway) MaxFiles() int     { return m.maxFiles }
func (m *memoryGateway) ReserveListEntries(n int) bool {
	m.listEntries += n
	return m.listEntries <= m.maxListEntries || m.maxListEntries == 0
}
func (m *memoryGateway) Secret(_, user string) (string, bool) {
	s, ok := m.secrets[user]
	return s, ok
}
func (m *memoryGateway) AcquireConn(string) (int, bool) { return 3, !m.full }
func (m *memoryGateway) Begin(t Transfer) (Tree, error) {
	m.transfer = &t
	return m, nil
}

func (m *memoryGateway) Stat(p string) (File, bool, error) {
	if f := m.files[p]; f != nil {
		x := f.File
		x.Ref = f
		return x, true, nil
	}
	return File{Path: ".", Mode: typeDir | 0o755}, p == ".", nil
}

func (m *memoryGateway) Scan(dir, after string, deep bool, n int) (list []File, err error) {
	prefix := dir + "/"
	if dir == "." {
		prefix = ""
	}
	var names []string
	for p := range m.files {
		if p != "." && strings.HasPrefix(p, prefix) && p > after && (deep || !strings.Contains(p[len(prefix):], "/")) {
			names = append(names, p)
		}
	}
	sort.Strings(names)
	for _, p := range names[:min(n, len(names))] {
		f, _, _ := m.Stat(p)
		list = append(list, f)
	}
	return list, nil
}

func (m *memoryGateway) Open(f File) Reader {
	m.openReaders++
	return &memReader{m: m, f: f.Ref.(*memFile), notReadyLeft: m.notReadyCalls}
}

type memReader struct {
	m            *memoryGateway
	f            *memFile
	notReadyLeft int
}

func (r *memReader) At(off int64, n int) ([]byte, bool, error) {
	if err := r.m.readErrors[r.f.Path]; err != nil && off >= int64(len(r.f.data)/2) {
		return nil, false, err
	}
	if r.notReadyLeft > 0 {
		r.notReadyLeft--
		return nil, false, nil
	}
	r.notReadyLeft = r.m.notReadyCalls
	p := r.f.data[off:]
	return p[:min(len(p), n)], true, nil
}

func (r *memReader) Close() { r.m.openReaders-- }

func (m *memoryGateway) Create(f File) Writer { return &memWriter{m: m, path: f.Path} }

type memWriter struct {
	m    *memoryGateway
	path string
	buf  bytes.Buffer
	done bool
	err  error
}

func (w *memWriter) Done() (bool, error) { return w.done, w.err }
func (w *memWriter) HasRoom() bool       { return true }
func (w *memWriter) Write(p []byte)      { w.buf.Write(p) }
func (w *memWriter) Finish(f File) {
	w.done = true
	f.Path = w.path
	w.m.files[w.path] = &memFile{f, w.buf.Bytes()}
}
func (w *memWriter) Abort(err error) { w.done, w.err = true, err }

func (m *memoryGateway) Put(f File) Pending {
	x := &memFile{File: f}
	if old, ok := f.Ref.(*memFile); ok {
		x.data = old.data
	}
	m.files[path.Clean(f.Path)] = x
	return &memWriter{done: true}
}

func (m *memoryGateway) Log(what, p string, err error) { m.logs = append(m.logs, what+" "+p) }
func (m *memoryGateway) End(err error)                 { m.ended++; m.endErr = err }

var errDisk = errors.New("a bad disk")

// exchange feeds input to a session in chunks of the given size and collects its output.
func exchange(m *memoryGateway, input []byte, chunk int) (*Session, []byte) {
	s := NewSession(m)
	var out []byte
	take := func() {
		for i := 0; i < 10000 && len(s.Output()) > 0; i++ {
			out = append(out, s.Output()...)
			s.Sent(len(s.Output()))
			s.Resume()
		}
	}
	take()
	for len(input) > 0 {
		n := min(chunk, len(input))
		s.Feed(input[:n])
		input = input[n:]
		take()
	}
	for range 50 { // for readers that return no bytes at first
		s.Resume()
		take()
	}
	return s, out
}
