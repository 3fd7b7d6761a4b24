package rsync

import (
	"errors"
	"hash"
	"path"

	//lint:ignore SA1019 MD4 is the digest of rsync protocol 29.
	"golang.org/x/crypto/md4"
)

const (
	maxRequestedFiles = 32 // requested files whose data has not begun to arrive
	maxFinishingFiles = 64 // finished files that are not stored completely yet
)

// errChecksum reports that a reconstructed file differs from the client's file.
var errChecksum = errors.New("the bytes do not have the sum that the client sent")

// servePush serves a push. The generator, which checks the file list and sends the block sums of stored
// files, runs whenever the receiver waits for the client's data.
func (s *Session) servePush(paths []string) {
	s.phase = "file list"
	r := &receiver{s: s, files: map[int32]*incomingFile{}}
	r.readList()
	if len(r.list) == 0 {
		return
	}
	if err := r.resolvePaths(paths[0]); err != nil {
		s.sendMessage(msgError, "eiderhold: %v", err)
		fail("destination: %v", err)
	}
	s.phase = "transfer"
	defer func() {
		if r.basis != nil { // release the reader if the session ends early
			r.basis.reader.Close()
		}
	}()
	s.onWait = r.generate
	r.receiveFiles()
	for !r.pollPending() {
		s.wait()
	}
	s.onWait = nil
	s.writeInt(ndxDone) // goodbye
	s.phase = "goodbye"
}

// receiver is the state of a push.
type receiver struct {
	s     *Session
	list  []File   // in the order of the file numbers, with the client's names
	paths []string // destination of each entry in the module

	// state of the generator
	nextEntry      int     // next entry to check
	retryFiles     []int32 // files to request again in the second phase
	generatorPhase int     // phases whose end was sent
	basis          *basisSums
	requested      int // requested files whose data has not begun to arrive

	// state of the receiver
	clientPhase int // phases that the client has ended
	files       map[int32]*incomingFile
	finishing   []*incomingFile // finished files whose writer is not done
	puts        []pendingPut
}

// pendingPut is an entry without content that is being stored.
type pendingPut struct {
	Pending
	path string
}

// incomingFile is a file that the generator requested.
type incomingFile struct {
	ndx     int32
	old     *File // the stored version; nil: none
	retried bool
	writer  Writer
}

// basisSums computes the block sums of a stored version.
type basisSums struct {
	file    *incomingFile
	header  sumHeader
	reader  Reader
	block   int32
	partial []byte
	encoded []byte
	offset  int64
}

func (r *receiver) readList() {
	s := r.s
	previous := &previousEntry{}
	for {
		f, more := s.readEntry(previous, len(r.list))
		if !more {
			break
		}
		s.reserveListEntry(len(r.list))
		r.list = append(r.list, f)
	}
	if !s.opt.numericIDs {
		if s.opt.owner {
			s.skipIDNames()
		}
		if s.opt.group {
			s.skipIDNames()
		}
	}
	s.readInt() // the client's I/O errors, which the client reports itself
	sortList(r.list, s.version)
}

// resolvePaths determines the destination of each entry as described in rsync(1): inside dest if that is
// a directory, has a trailing slash or there is more than one entry; otherwise the single file gets the
// name dest.
func (r *receiver) resolvePaths(dest string) error {
	s := r.s
	dir := len(dest) > 0 && dest[len(dest)-1] == '/'
	if dir {
		dest = dest[:len(dest)-1]
	}
	f, exists, err := s.tree.Stat(dest)
	if err != nil {
		return err
	}
	r.paths = make([]string, len(r.list))
	switch {
	case exists && f.IsDir():
	case exists && (dir || len(r.list) > 1 || r.list[0].IsDir()):
		return errors.New("destination " + printable(dest) + " is not a directory")
	case exists || !dir && len(r.list) == 1:
		if err := r.checkParent(dest); err != nil {
			return err
		}
		r.paths[0] = dest
		return nil
	default:
		if err := r.checkParent(dest); err != nil {
			return err
		}
		if !s.opt.dryRun {
			r.puts = append(r.puts, pendingPut{s.tree.Put(File{Path: dest, Mode: typeDir | 0o755}), dest})
		}
	}
	for i := range r.list {
		if r.paths[i], err = CleanPath(path.Join(dest, r.list[i].Path)); err != nil {
			return err
		}
	}
	return nil
}

// checkParent returns an error if the parent directory of p does not exist.
func (r *receiver) checkParent(p string) error {
	dir := path.Dir(p)
	f, ok, err := r.s.tree.Stat(dir)
	if err == nil && (!ok || !f.IsDir()) {
		err = errors.New("there is no directory " + printable(dir))
	}
	return err
}

// ---- the generator ----

// generate advances the generator as far as possible without waiting.
func (r *receiver) generate() {
	s := r.s
	r.pollPending()
	for len(s.output)+len(s.fileData) < outputHighWater && len(r.puts) < 10*maxRequestedFiles {
		switch {
		case r.basis != nil:
			if !r.continueSums() {
				return
			}
		case r.requested >= maxRequestedFiles || len(r.finishing) >= maxFinishingFiles:
			return
		case r.generatorPhase == 0 && r.nextEntry < len(r.list):
			i := r.nextEntry
			r.nextEntry++
			if i == 0 || r.list[i].Path != r.list[i-1].Path {
				r.checkEntry(int32(i))
			}
		case r.generatorPhase == 0:
			r.endPhase()
		case r.generatorPhase > r.clientPhase: // the client has not ended this phase
			return
		case len(r.retryFiles) > 0:
			ndx := r.retryFiles[0]
			r.retryFiles = r.retryFiles[1:]
			in := r.files[ndx]
			in.retried = true
			r.requestContent(in, sumHeader{})
		case r.generatorPhase == 1:
			r.endPhase()
		case r.generatorPhase == 2 && s.version >= 29:
			r.endPhase()
		default:
			return
		}
	}
}

// endPhase tells the client that the generator has ended a phase.
func (r *receiver) endPhase() {
	r.s.writeInt(ndxDone)
	r.generatorPhase++
}

// checkEntry compares an entry with the stored one and starts what is needed: nothing, new attributes or
// a request for the content.
func (r *receiver) checkEntry(ndx int32) {
	s, f := r.s, r.list[ndx]
	f.Path = r.paths[ndx]
	old, exists, err := s.tree.Stat(f.Path)
	if err == nil && !exists && f.Path != "." && !s.opt.dryRun {
		err = r.checkParent(f.Path)
	}
	if err != nil {
		r.reportError(f.Path, err)
		return
	}
	if exists && old.Mode&typeMask != f.Mode&typeMask && (old.IsDir() || f.IsDir()) {
		r.reportError(f.Path, errors.New("a directory and something else have this name; remove one"))
		return
	}
	if exists && old.Mode&typeMask != f.Mode&typeMask {
		exists = false
	}
	switch {
	case f.IsDir():
		if f.Path == "." && !exists {
			return
		}
		r.updateAttributes(f, old, exists)
	case f.IsLink():
		if s.opt.links && (!exists || old.Link != f.Link || r.differs(f, old)) {
			r.updateAttributes(f, old, exists && old.Link == f.Link)
		}
	case !f.IsRegular():
		s.sendMessage(msgInfo, "skipping non-regular file %s", printable(f.Path))
	case exists && s.opt.ignoreExisting, !exists && s.opt.existingOnly, exists && s.opt.update && old.MTime > f.MTime:
	case exists && old.Size == f.Size && !s.opt.ignoreTimes && (s.opt.sizeOnly || old.MTime == f.MTime):
		r.updateAttributes(f, old, true)
	default:
		in := &incomingFile{ndx: ndx}
		if exists {
			in.old = &old
		}
		r.files[ndx] = in
		if exists && !s.opt.wholeFile && !s.opt.dryRun && old.Size > 0 {
			head := chooseBlocks(old.Size, false)
			if head.count <= maxBlockSums {
				r.basis = &basisSums{file: in, header: head, reader: s.tree.Open(old)}
				return
			}
		}
		r.requestContent(in, sumHeader{})
	}
}

// differs reports whether the entry's final attributes differ from the stored ones.
func (r *receiver) differs(f, old File) bool {
	n := r.finalEntry(f, &old)
	return n.Mode != old.Mode || n.MTime != old.MTime || n.UID != old.UID || n.GID != old.GID
}

// updateAttributes stores a directory, a link or new attributes of a file, if they differ.
func (r *receiver) updateAttributes(f, old File, exists bool) {
	if r.s.opt.dryRun || exists && !r.differs(f, old) {
		return
	}
	var n File
	if exists {
		n = r.finalEntry(f, &old)
		n.Ref, n.Size = old.Ref, old.Size
	} else {
		n = r.finalEntry(f, nil)
	}
	n.Link = f.Link
	r.puts = append(r.puts, pendingPut{r.s.tree.Put(n), f.Path})
}

// finalEntry returns an entry with the attributes that the client's options preserve. The others keep
// the stored values, or get defaults for a new entry.
func (r *receiver) finalEntry(f File, old *File) File {
	o := &r.s.opt
	n := f
	n.Ref = nil
	if !o.perms {
		switch {
		case old != nil:
			n.Mode = f.Mode&typeMask | old.Mode&permMask
		case f.IsDir():
			n.Mode = f.Mode&typeMask | f.Mode&0o755
		case !f.IsLink():
			n.Mode = f.Mode&typeMask | f.Mode&0o755
		}
	}
	if !o.times || f.IsDir() && o.omitDirTimes || f.IsLink() && o.omitLinkTimes {
		n.MTime = 0 // replaced by the current time in the catalogue
		if old != nil && !f.IsRegular() {
			n.MTime = old.MTime
		} else if old != nil && old.Size == f.Size && f.MTime == old.MTime {
			n.MTime = old.MTime
		}
	}
	if !o.owner {
		n.UID = 0
		if old != nil {
			n.UID = old.UID
		}
	}
	if !o.group {
		n.GID = 0
		if old != nil {
			n.GID = old.GID
		}
	}
	return n
}

// requestContent requests a file's content. The caller sends the block sums of the stored version
// afterwards if head describes any.
func (r *receiver) requestContent(in *incomingFile, head sumHeader) {
	s := r.s
	s.writeInt(in.ndx)
	if s.version >= 29 {
		flags := itemTransfer
		if in.old == nil {
			flags |= itemNew
		}
		s.writeShort(flags)
	}
	r.requested++
	if s.opt.dryRun {
		return
	}
	if head.count == 0 { // the answer repeats the length of the strong sums
		head = sumHeader{strongSize: 2}
	}
	s.writeSumHeader(head)
}

// continueSums continues the block sums of a stored version. It returns false if it has to wait. The
// sums are sent only once they are complete: if the version cannot be read, the whole file is requested
// instead.
func (r *receiver) continueSums() bool {
	s, b := r.s, r.basis
	h := md4.New()
	var strong [md4.Size]byte
	for b.block < b.header.count {
		want := b.header.blockLen(b.block) - len(b.partial)
		p, ok, err := b.reader.At(b.offset, want)
		if err != nil {
			s.tree.Log("basis", r.paths[b.file.ndx], err)
			b.reader.Close()
			r.basis = nil
			b.file.old = nil
			r.requestContent(b.file, sumHeader{})
			return true
		}
		if !ok {
			return false
		}
		b.offset += int64(len(p))
		if len(p) < want || len(b.partial) > 0 {
			b.partial = append(b.partial, p...)
			if len(p) < want {
				continue
			}
			p = b.partial
		}
		sum := newRollingSum(p).sum()
		b.encoded = append(b.encoded, byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24))
		b.encoded = append(b.encoded, strongSum(h, p, s.seed, strong[:])[:b.header.strongSize]...)
		b.partial = b.partial[:0]
		b.block++
	}
	b.reader.Close()
	r.basis = nil
	r.requestContent(b.file, b.header)
	s.write(b.encoded)
	return true
}

// reportError logs an error of one file and reports it to the client.
func (r *receiver) reportError(path string, err error) {
	r.s.tree.Log("push", path, err)
	r.s.sendMessage(msgError, "eiderhold: %s: %v", printable(path), err)
	if errors.Is(err, ErrEndTransfer) {
		fail("%w", err)
	}
}

// pollPending collects the results of entries and files in progress, and reports whether none is left.
func (r *receiver) pollPending() bool {
	puts := r.puts[:0]
	for _, p := range r.puts {
		if done, err := p.Done(); !done {
			puts = append(puts, p)
		} else if err != nil {
			r.reportError(p.path, err)
		}
	}
	r.puts = puts
	out := r.finishing[:0]
	for _, in := range r.finishing {
		if done, err := in.writer.Done(); !done {
			out = append(out, in)
		} else if err != nil {
			r.reportError(r.paths[in.ndx], err)
		}
	}
	r.finishing = out
	return len(r.puts)+len(r.finishing) == 0
}

// ---- the receiver ----

// receiveFiles reads what the client sends until the client ends the last phase.
func (r *receiver) receiveFiles() {
	s := r.s
	phases := 3
	if s.version < 29 {
		phases = 2
	}
	for r.clientPhase < phases {
		r.pollPending()
		r.generate()
		ndx := s.readInt()
		if ndx == ndxDone {
			r.clientPhase++
			continue
		}
		flags := itemTransfer
		if s.version >= 29 {
			flags = s.readShort()
		}
		if int(ndx) == len(r.list) && flags == itemNew {
			continue // a keep-alive
		}
		if ndx < 0 || int(ndx) >= len(r.list) {
			fail("file %d of %d", ndx, len(r.list))
		}
		if flags&itemBasis != 0 {
			s.readByte()
		}
		if flags&itemXName != 0 {
			s.readVString()
		}
		if flags&itemTransfer == 0 {
			continue
		}
		in := r.files[ndx]
		if in == nil || in.writer != nil && !in.retried {
			fail("content of file %d, which was not asked for", ndx)
		}
		r.requested--
		if s.opt.dryRun {
			continue
		}
		r.receiveContent(in)
	}
}

// receiveContent reads the tokens of one file.
func (r *receiver) receiveContent(in *incomingFile) {
	s := r.s
	head := s.readSumHeader()
	f := r.list[in.ndx]
	f.Path = r.paths[in.ndx]
	in.writer = s.tree.Create(f)
	var basis Reader
	defer func() {
		if basis != nil {
			basis.Close()
		}
	}()
	sum := newFileHash(s.seed)
	total := int64(0)
	var basisErr error
	for {
		token := s.readInt()
		if token == 0 {
			break
		}
		if token > 0 {
			total += int64(token)
			r.receiveLiterals(in, int(token), sum)
			continue
		}
		block := -(token + 1)
		if block >= head.count || in.old == nil {
			fail("file %q: block %d of %d", printable(f.Path), block, head.count)
		}
		if basis == nil {
			basis = s.tree.Open(*in.old)
		}
		n := head.blockLen(block)
		off := int64(block) * int64(head.blockSize)
		if off+int64(n) > in.old.Size {
			fail("file %q: block %d lies behind the end of the %d bytes here", printable(f.Path), block, in.old.Size)
		}
		total += int64(n)
		for n > 0 && basisErr == nil {
			p, err := s.readAt(basis, off, n)
			if err != nil {
				basisErr = err
				break
			}
			sum.Write(p)
			off, n = off+int64(len(p)), n-len(p)
			r.writeContent(in, p)
		}
	}
	clientSum := [md4.Size]byte(s.readN(md4.Size))
	switch {
	case basisErr != nil:
		in.writer.Abort(basisErr)
		r.retry(in, basisErr)
	case [md4.Size]byte(sum.Sum(nil)) != clientSum:
		in.writer.Abort(errChecksum)
		r.retry(in, errChecksum)
	default:
		f.Size = total
		old := in.old
		n := r.finalEntry(f, old)
		n.Size = total
		in.writer.Finish(n)
		r.finishing = append(r.finishing, in)
	}
}

// retry requests a file once more, in the second phase and without a basis. It reports an error if the
// file was retried already or the first phase has ended.
func (r *receiver) retry(in *incomingFile, err error) {
	if in.retried || r.clientPhase > 0 {
		r.reportError(r.paths[in.ndx], err)
		return
	}
	r.s.tree.Log("again", r.paths[in.ndx], err)
	r.retryFiles = append(r.retryFiles, in.ndx)
}

// receiveLiterals reads n literal bytes as they arrive and waits whenever the writer has no room.
func (r *receiver) receiveLiterals(in *incomingFile, n int, sum hash.Hash) {
	s := r.s
	if n > maxTokenBytes {
		fail("a token of %d bytes: at most %d", n, maxTokenBytes)
	}
	for n > 0 {
		k := min(n, max(1, min(s.Buffered(), maxLiteralBytes)))
		p := s.readN(k)
		sum.Write(p)
		n -= k
		r.writeContent(in, p)
	}
}

// writeContent passes bytes to the file's writer, which copies them, and waits until it has room again.
func (r *receiver) writeContent(in *incomingFile, p []byte) {
	in.writer.Write(p)
	for !in.writer.HasRoom() {
		r.pollPending()
		r.s.wait()
	}
}
