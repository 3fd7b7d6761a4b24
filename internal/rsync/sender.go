package rsync

import (
	"errors"
	"fmt"
	"path"
	"strings"
)

// The flags of a request or answer for a file, protocol 29.
const (
	itemBasis    = 1 << 11 // a byte follows: the kind of the basis
	itemXName    = 1 << 12 // a name follows: of the basis
	itemNew      = 1 << 13
	itemTransfer = 1 << 15
)

const ndxDone = -1

const (
	scanEntries     = 500 // entries looked up at a time
	maxOpenAhead    = 16  // requests for files that are begun before their turn
	maxLiteralBytes = 32 << 10
)

// send serves a pull.
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
		s.writeLong(0) // time to build and to send the list, milliseconds: not kept
		s.writeLong(0)
	}
	s.phase = "goodbye"
	if ndx := s.readInt(); ndx != ndxDone {
		fail("goodbye: %d came", ndx)
	}
}

// sendList sends the file list and returns it in the order that both sides count in.
func (s *Session) sendList(paths []string, rules *filter) ([]File, bool) {
	var list []File
	coder := &previousEntry{}
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
		s.writeEntry(coder, &f, name, top)
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

// sendRef keeps the entry as the catalogue has it beside the name as the client
// sees it.
type sourceRef struct{ file File }

// sendPath sends what one path of the arguments asks for.
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

// sendBelow sends what lies below a directory, chunk by chunk. Below a directory
// that a rule leaves out nothing is sent.
func (s *Session) sendBelow(dir, strip, prefix string, add func(File, string, bool) bool) error {
	after := ""
	excluded := map[string]bool{} // directories left out
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

// expand turns the wildcards of an argument into the paths that match, as a shell
// on the server's side would.
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

// job is one file that the client has asked for.
type fileRequest struct {
	ndx    int32
	flags  int
	basis  byte
	xname  string
	sums   *blockIndex // nil: nothing but an echo of the flags
	reader Reader
	done   bool // ndxDone
}

// sendFiles answers requests for files until the last phase is over.
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
		case j.reader == nil: // it failed before, and the client was told
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

// wholeRequest says that the client's next request is here to its last byte.
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
		return false // rare: read in turn
	}
	if flags&itemTransfer == 0 || s.opt.dryRun {
		return true
	}
	if len(p) < at+16 {
		return false
	}
	count, strong := int32At(at), int32At(at+8)
	if count < 0 || count > maxBlockSums || strong < 0 || strong > 16 {
		return true // its reading fails and says why
	}
	return len(p) >= at+16+int(count)*(4+int(strong))
}

// readRequest takes one request; nil for a sign of life.
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
		return nil // what protocol 29 has for a keep-alive
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

// writeAnswer repeats what the client asked for.
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

// await waits for bytes of a reader.
func (s *Session) readAt(r Reader, off int64, n int) ([]byte, error) {
	for {
		p, ok, err := r.At(off, n)
		if ok || err != nil {
			return p, err
		}
		s.wait()
	}
}

// sendFile answers one request. A file whose first bytes cannot be had is left out;
// one that breaks off later ends with a sum that cannot be right, so that the client
// throws away what came.
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

func (s *Session) writeLiteral(p []byte) {
	for len(p) > 0 {
		n := min(len(p), maxLiteralBytes)
		s.writeInt(int32(n))
		s.write(p[:n])
		p = p[n:]
	}
}

// sendDelta sends a file as blocks that the client has and the bytes between them.
func (s *Session) sendDelta(j *fileRequest, f *File, updateHash func([]byte)) error {
	x := j.sums
	block := int(x.header.blockSize)
	var buf []byte // bytes of the file from base on
	bufStart, pos := int64(0), 0
	literalStart := 0 // buf[lit:pos] is to be sent as it is
	preferred := int32(0)
	flush := func() {
		s.writeLiteral(buf[literalStart:pos])
		literalStart = pos
	}
	var w rollingSum
	stale := true // w is not that of the window at pos
	for {
		for len(buf)-pos < block+1 && bufStart+int64(len(buf)) < f.Size {
			if pos > 1<<20 && pos > len(buf)/2 { // forget what is sent
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
