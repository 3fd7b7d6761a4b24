package rsync

import (
	"errors"
	"fmt"
	"path"
	"strings"
)

// Flags of a file request or its answer in protocol 29.
const (
	itemBasis    = 1 << 11 // followed by a byte: the kind of the basis
	itemXName    = 1 << 12 // followed by the name of the basis
	itemNew      = 1 << 13
	itemTransfer = 1 << 15
)

const ndxDone = -1

const (
	scanEntries     = 500 // entries per Tree.Scan
	maxOpenAhead    = 16  // file requests that are opened ahead
	maxLiteralBytes = 32 << 10
)

// servePull serves a pull: the server is the sender.
func (s *Session) servePull(paths []string) {
	s.phase = "filter list"
	rules := s.readFilter()
	s.phase = "file list"
	list, ioError := s.sendList(paths, rules)
	if len(list) == 0 {
		return
	}
	s.phase = "transfer"
	sum := int64(0)
	for i := range list {
		if !list[i].IsDir() {
			sum += list[i].Size
		}
	}
	s.sendFiles(list, ioError)
	s.phase = "statistics"
	s.flush()
	s.writeLong(s.readBytes)
	s.writeLong(s.wroteBytes + int64(len(s.output)))
	s.writeLong(sum)
	if s.version >= 29 {
		s.writeLong(0) // milliseconds to build and to send the list: not measured
		s.writeLong(0)
	}
	s.phase = "goodbye"
	if ndx := s.readInt(); ndx != ndxDone {
		fail("goodbye: %d came", ndx)
	}
}

// sendList sends the file list. It returns it in the order of the file numbers, and whether an error
// was reported.
func (s *Session) sendList(paths []string, rules *filter) ([]File, bool) {
	var list []File
	previous := &previousEntry{}
	ioError := int32(0)
	seen := map[string]bool{}
	add := func(f File, name string, top bool) bool {
		if seen[name] || f.IsLink() && !s.opt.links {
			return true
		}
		if name != "." && rules.excludes(name, f.IsDir()) {
			return false
		}
		s.reserveListEntry(len(list))
		seen[name] = true
		s.writeEntry(previous, &f, name, top)
		s.waitForRoom()
		shown := f
		shown.Path = name
		shown.Ref = sourceRef{f}
		list = append(list, shown)
		return true
	}
	for _, p := range paths {
		for _, q := range s.expandWildcards(p) {
			if err := s.sendPath(q, add); err != nil {
				s.sendMessage(msgError, "eiderhold: %s: %v", printable(q), err)
				ioError = 1
			}
		}
	}
	s.writeByte(0)
	if !s.opt.numericIDs {
		if s.opt.owner {
			s.writeInt(0)
		}
		if s.opt.group {
			s.writeInt(0)
		}
	}
	s.writeInt(ioError)
	sortList(list, s.version)
	return list, ioError != 0
}

// sourceRef is the Ref of a listed file: the original entry, whose path differs from the listed name.
type sourceRef struct{ file File }

// sendPath lists the entries that one path argument requests.
func (s *Session) sendPath(arg string, add func(File, string, bool) bool) error {
	content := strings.HasSuffix(arg, "/")
	dir := strings.TrimSuffix(arg, "/")
	f, ok, err := s.tree.Stat(dir)
	if err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("no such file or directory")
	}
	if content && !f.IsDir() {
		return fmt.Errorf("not a directory")
	}
	if !f.IsDir() {
		add(f, path.Base(dir), false)
		return nil
	}
	if !s.opt.recurse && !s.opt.dirs {
		s.sendMessage(msgInfo, "skipping directory %s", printable(dir))
		return nil
	}
	name := path.Base(dir)
	if content {
		name = "."
	}
	if !add(f, name, true) || !s.opt.recurse && !content {
		return nil
	}
	strip, prefix := dir+"/", name+"/"
	if dir == "." {
		strip = ""
	}
	if content {
		prefix = ""
	}
	return s.sendBelow(dir, strip, prefix, add)
}

// sendBelow lists the entries below a directory in chunks. The content of excluded directories is
// skipped.
func (s *Session) sendBelow(dir, strip, prefix string, add func(File, string, bool) bool) error {
	after := ""
	excluded := map[string]bool{} // excluded directories
	insideExcluded := func(p string) bool {
		for i := len(strip); len(excluded) > 0 && i < len(p); i++ {
			if p[i] == '/' && excluded[p[:i]] {
				return true
			}
		}
		return false
	}
	for {
		files, err := s.tree.Scan(dir, after, s.opt.recurse, scanEntries)
		if err != nil {
			return err
		}
		for _, f := range files {
			after = f.Path
			if !insideExcluded(f.Path) && !add(f, prefix+strings.TrimPrefix(f.Path, strip), false) && f.IsDir() {
				excluded[f.Path] = true
			}
		}
		if len(files) < scanEntries {
			return nil
		}
	}
}

// expandWildcards expands the wildcards of an argument to the matching paths, as a shell on the server
// would.
func (s *Session) expandWildcards(arg string) []string {
	if !strings.ContainsAny(arg, "*?[") {
		return []string{arg}
	}
	slash := ""
	if strings.HasSuffix(arg, "/") {
		slash = "/"
	}
	bases := []string{""}
	for part := range strings.SplitSeq(strings.TrimSuffix(arg, "/"), "/") {
		var found []string
		for _, b := range bases {
			if !strings.ContainsAny(part, "*?[") {
				found = append(found, path.Join(b, part))
				continue
			}
			for after := ""; ; {
				files, err := s.tree.Scan(path.Join(".", b), after, false, scanEntries)
				for _, f := range files {
					after = f.Path
					name := path.Base(f.Path)
					if wildMatch(part, name) && (name[0] != '.' || part[0] == '.') && len(found) < s.gateway.MaxFiles() {
						found = append(found, f.Path)
					}
				}
				if err != nil || len(files) < scanEntries {
					break
				}
			}
		}
		bases = found
	}
	if len(bases) == 0 {
		return []string{arg}
	}
	for i := range bases {
		bases[i] += slash
	}
	return bases
}

// fileRequest is a request of the client for one file, or the end of a phase.
type fileRequest struct {
	ndx    int32
	flags  int
	basis  byte
	xname  string
	sums   *blockIndex // nil: no content requested, only an echo of the flags
	reader Reader
	done   bool // the client ended the phase
}

// sendFiles answers file requests until the last phase ends.
func (s *Session) sendFiles(list []File, ioError bool) {
	phases := 2
	if s.version < 29 {
		phases = 1
	}
	var requests []*fileRequest
	defer func() {
		for _, j := range requests {
			if j.reader != nil {
				j.reader.Close()
			}
		}
	}()
	failed := map[int32]bool{}
	last := phases
	for phase := 0; ; {
		for len(requests) == 0 || len(requests) < maxOpenAhead && phase <= last && s.requestBuffered() {
			j := s.readRequest(list, phase)
			if j == nil {
				continue
			}
			if j.sums != nil && !failed[j.ndx] {
				j.reader = s.tree.Open(list[j.ndx].Ref.(sourceRef).file)
			}
			requests = append(requests, j)
			if j.done {
				phase++
			}
		}
		j := requests[0]
		switch {
		case j.done:
			s.writeInt(ndxDone)
			if phases--; phases < 0 {
				return
			}
		case j.sums == nil:
			s.echoRequest(j)
		case j.reader == nil: // it failed before, and the error was reported then
		default:
			if err := s.sendFile(j, &list[j.ndx]); err != nil {
				failed[j.ndx] = true
				s.sendMessage(msgError, "eiderhold: %s: %v", printable(list[j.ndx].Path), err)
				if errors.Is(err, ErrEndTransfer) {
					fail("%w", err)
				}
			}
			j.reader.Close()
		}
		requests = requests[1:]
		s.waitForRoom()
	}
}

// requestBuffered reports whether the client's next request is buffered completely.
func (s *Session) requestBuffered() bool {
	p := s.input[s.consumed:]
	int32At := func(i int) int32 {
		return int32(p[i]) | int32(p[i+1])<<8 | int32(p[i+2])<<16 | int32(p[i+3])<<24
	}
	if len(p) < 4 || int32At(0) == ndxDone {
		return len(p) >= 4
	}
	at, flags := 4, itemTransfer
	if s.version >= 29 {
		if len(p) < 6 {
			return false
		}
		flags, at = int(p[4])|int(p[5])<<8, 6
	}
	if flags&(itemBasis|itemXName) != 0 {
		return false // rare: such requests are not read ahead
	}
	if flags&itemTransfer == 0 || s.opt.dryRun {
		return true
	}
	if len(p) < at+16 {
		return false
	}
	count, strong := int32At(at), int32At(at+8)
	if count < 0 || count > maxBlockSums || strong < 0 || strong > 16 {
		return true // reading it fails with an error
	}
	return len(p) >= at+16+int(count)*(4+int(strong))
}

// readRequest reads one request. It returns nil for a keep-alive.
func (s *Session) readRequest(list []File, phase int) *fileRequest {
	j := &fileRequest{ndx: s.readInt(), flags: itemTransfer}
	if j.ndx == ndxDone {
		j.done = true
		return j
	}
	if s.version >= 29 {
		j.flags = s.readShort()
	}
	if int(j.ndx) == len(list) && j.flags == itemNew {
		return nil // a keep-alive in protocol 29
	}
	if j.ndx < 0 || int(j.ndx) >= len(list) {
		fail("request for file %d of %d", j.ndx, len(list))
	}
	if j.flags&itemBasis != 0 {
		j.basis = s.readByte()
	}
	if j.flags&itemXName != 0 {
		j.xname = s.readVString()
	}
	if j.flags&itemTransfer == 0 || s.opt.dryRun {
		return j
	}
	if !list[j.ndx].IsRegular() || phase > 1 {
		fail("request for the content of %q in phase %d", printable(list[j.ndx].Path), phase)
	}
	j.sums = s.readBlockSums()
	return j
}

// echoRequest repeats the header of a request as its answer.
func (s *Session) echoRequest(j *fileRequest) {
	s.writeInt(j.ndx)
	if s.version < 29 {
		return
	}
	s.writeShort(j.flags)
	if j.flags&itemBasis != 0 {
		s.writeByte(j.basis)
	}
	if j.flags&itemXName != 0 {
		s.writeVString(j.xname)
	}
}

// readAt waits until a reader has bytes at an offset, and returns them.
func (s *Session) readAt(r Reader, off int64, n int) ([]byte, error) {
	for {
		p, ok, err := r.At(off, n)
		if ok || err != nil {
			return p, err
		}
		s.wait()
	}
}

// sendFile answers one request. A file whose first bytes cannot be read is left out. A file that fails
// later is ended with a wrong checksum, so that the client discards what it received.
func (s *Session) sendFile(j *fileRequest, f *File) error {
	var err error
	if f.Size > 0 {
		_, err = s.readAt(j.reader, 0, maxLiteralBytes)
	}
	if err != nil {
		return err
	}
	s.echoRequest(j)
	s.writeSumHeader(j.sums.header)
	sum := newFileHash(s.seed)
	if j.sums.header.count == 0 {
		for off := int64(0); off < f.Size && err == nil; {
			var p []byte
			if p, err = s.readAt(j.reader, off, maxLiteralBytes); err == nil {
				sum.Write(p)
				s.writeLiteral(p)
				off += int64(len(p))
				s.waitForRoom()
			}
		}
	} else {
		err = s.sendDelta(j, f, func(p []byte) { sum.Write(p) })
	}
	s.writeInt(0)
	total := sum.Sum(nil)
	if err != nil {
		total[0] ^= 0xff
	}
	s.write(total)
	return err
}

// writeLiteral sends p as literal tokens.
func (s *Session) writeLiteral(p []byte) {
	for len(p) > 0 {
		n := min(len(p), maxLiteralBytes)
		s.writeInt(int32(n))
		s.write(p[:n])
		p = p[n:]
	}
}

// sendDelta sends a file as references to blocks that the client has, and literal data between them.
func (s *Session) sendDelta(j *fileRequest, f *File, updateHash func([]byte)) error {
	x := j.sums
	block := int(x.header.blockSize)
	var buf []byte // bytes of the file from offset bufStart on
	bufStart, pos := int64(0), 0
	literalStart := 0 // buf[literalStart:pos] is unmatched and still to be sent as literal data
	preferred := int32(0)
	flush := func() {
		s.writeLiteral(buf[literalStart:pos])
		literalStart = pos
	}
	var w rollingSum
	stale := true // w is not the sum of the block at pos
	for {
		for len(buf)-pos < block+1 && bufStart+int64(len(buf)) < f.Size {
			if pos > 1<<20 && pos > len(buf)/2 { // discard what was sent
				flush()
				buf = buf[:copy(buf, buf[pos:])]
				bufStart += int64(pos)
				pos, literalStart = 0, 0
			}
			p, err := s.readAt(j.reader, bufStart+int64(len(buf)), maxLiteralBytes)
			if err != nil {
				flush()
				return err
			}
			updateHash(p)
			buf = append(buf, p...)
		}
		n := min(block, len(buf)-pos)
		if n == 0 {
			flush()
			return nil
		}
		if stale {
			w, stale = newRollingSum(buf[pos:pos+n]), false
		}
		if i := x.find(w.sum(), buf[pos:pos+n], preferred); i >= 0 {
			flush()
			s.writeInt(-(i + 1))
			pos += n
			literalStart, stale, preferred = pos, true, i+1
			s.waitForRoom()
			continue
		}
		if pos+n < len(buf) {
			w.roll(n, buf[pos], buf[pos+n])
		} else {
			w.dropFirst(n, buf[pos])
		}
		pos++
		if pos-literalStart >= maxLiteralBytes {
			flush()
			s.waitForRoom()
		}
	}
}
