package rsync

import (
	"errors"
	"hash"
	"path"

	"golang.org/x/crypto/md4"
)

const (
	askAhead  = 32 // files asked for whose bytes have not begun to come
	openFiles = 64 // files whose last bytes are on their way to the nodes
)

// errVerify says that a file came out other than the client has it.
var errVerify = errors.New("the bytes do not have the sum that the client sent")

// receive serves a push. Two things go on at once: what the generator does (looking
// through the list, sending block sums of files that are here) runs whenever the
// session waits for the client's bytes, which the receiver takes.
func (s *Session) receive(paths []string) {
	s.phase = "file list"
	r := &receiver{s: s, files: map[int32]*incoming{}}
	r.readList()
	if len(r.list) == 0 {
		return
	}
	if err := r.place(paths[0]); err != nil {
		s.say(msgError, "eiderhold: %v", err)
		fail("destination: %v", err)
	}
	s.phase = "transfer"
	defer func() {
		if r.basis != nil { // what it holds is given back
			r.basis.reader.Close()
		}
	}()
	s.idle = r.generate
	r.take()
	for !r.settled() {
		s.wait()
	}
	s.idle = nil
	s.writeInt(ndxDone) // goodbye
	s.phase = "goodbye"
}

// receiver is the state of one push.
type receiver struct {
	s    *Session
	list []File   // as the client names them, in order
	at   []string // where each one goes in the module

	// the generator
	next  int // entry to look at
	redo  []int32
	phase int // phases that were announced over
	basis *basisSums
	asked int // files asked for that have not come

	// the receiver
	seen  int // phases that the client has said are over
	files map[int32]*incoming
	out   []*incoming // finished, not yet done
	puts  []put
}

// put is an entry without content that is being booked.
type put struct {
	Pending
	path string
}

// incoming is one file that was asked for.
type incoming struct {
	ndx    int32
	old    *File // the version that is here
	redone bool
	writer Writer
}

// basisSums is the reading of an old version for its block sums.
type basisSums struct {
	in     *incoming
	head   sumHead
	reader Reader
	block  int32
	part   []byte
	out    []byte
	off    int64
}

func (r *receiver) readList() {
	s := r.s
	coder := &listCoder{}
	for {
		f, more := s.readEntry(coder, len(r.list))
		if !more {
			break
		}
		s.listed(len(r.list))
		r.list = append(r.list, f)
	}
	if !s.opt.numericIDs {
		if s.opt.owner {
			s.readIDs()
		}
		if s.opt.group {
			s.readIDs()
		}
	}
	s.readInt() // the client's own I/O errors: it reports them
	sortList(r.list, s.version)
}

// place finds where each entry goes, as rsync(1) has it: into the destination if it
// is a directory, has a trailing slash or more than one entry comes; else a single
// file takes the destination's name.
func (r *receiver) place(dest string) error {
	s := r.s
	dir := len(dest) > 0 && dest[len(dest)-1] == '/'
	if dir {
		dest = dest[:len(dest)-1]
	}
	f, exists, err := s.tree.Stat(dest)
	if err != nil {
		return err
	}
	r.at = make([]string, len(r.list))
	switch {
	case exists && f.IsDir():
	case exists && (dir || len(r.list) > 1 || r.list[0].IsDir()):
		return errors.New("destination " + printable(dest) + " is not a directory")
	case exists || !dir && len(r.list) == 1:
		if err := r.parent(dest); err != nil {
			return err
		}
		r.at[0] = dest
		return nil
	default:
		if err := r.parent(dest); err != nil {
			return err
		}
		if !s.opt.dryRun {
			r.puts = append(r.puts, put{s.tree.Put(File{Path: dest, Mode: typeDir | 0o755}), dest})
		}
	}
	for i := range r.list {
		if r.at[i], err = CleanPath(path.Join(dest, r.list[i].Path)); err != nil {
			return err
		}
	}
	return nil
}

// parent says what is wrong with the directory that an entry is to lie in.
func (r *receiver) parent(p string) error {
	dir := path.Dir(p)
	f, ok, err := r.s.tree.Stat(dir)
	if err == nil && (!ok || !f.IsDir()) {
		err = errors.New("there is no directory " + printable(dir))
	}
	return err
}

// ---- the generator ----

// generate goes on with the list as far as it can without waiting.
func (r *receiver) generate() {
	s := r.s
	r.settled()
	for len(s.out)+len(s.data) < highWater && len(r.puts) < 10*askAhead {
		switch {
		case r.basis != nil:
			if !r.sumSome() {
				return
			}
		case r.asked >= askAhead || len(r.out) >= openFiles:
			return
		case r.phase == 0 && r.next < len(r.list):
			i := r.next
			r.next++
			if i == 0 || r.list[i].Path != r.list[i-1].Path {
				r.look(int32(i))
			}
		case r.phase == 0:
			r.announce()
		case r.phase > r.seen: // the client has not come to the end of this phase
			return
		case len(r.redo) > 0:
			ndx := r.redo[0]
			r.redo = r.redo[1:]
			in := r.files[ndx]
			in.redone = true
			r.ask(in, sumHead{})
		case r.phase == 1:
			r.announce()
		case r.phase == 2 && s.version >= 29:
			r.announce()
		default:
			return
		}
	}
}

func (r *receiver) announce() {
	r.s.writeInt(ndxDone)
	r.phase++
}

// look decides what an entry needs.
func (r *receiver) look(ndx int32) {
	s, f := r.s, r.list[ndx]
	f.Path = r.at[ndx]
	old, exists, err := s.tree.Stat(f.Path)
	if err == nil && !exists && f.Path != "." && !s.opt.dryRun {
		err = r.parent(f.Path)
	}
	if err != nil {
		r.complain(f.Path, err)
		return
	}
	if exists && old.Mode&typeMask != f.Mode&typeMask && (old.IsDir() || f.IsDir()) {
		r.complain(f.Path, errors.New("a directory and something else have this name; remove one"))
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
		r.attributes(f, old, exists)
	case f.IsLink():
		if s.opt.links && (!exists || old.Link != f.Link || r.differs(f, old)) {
			r.attributes(f, old, exists && old.Link == f.Link)
		}
	case !f.IsRegular():
		s.say(msgInfo, "skipping non-regular file %s", printable(f.Path))
	case exists && s.opt.ignoreExisting, !exists && s.opt.existingOnly, exists && s.opt.update && old.MTime > f.MTime:
	case exists && old.Size == f.Size && !s.opt.ignoreTimes && (s.opt.sizeOnly || old.MTime == f.MTime):
		r.attributes(f, old, true)
	default:
		in := &incoming{ndx: ndx}
		if exists {
			in.old = &old
		}
		r.files[ndx] = in
		if exists && !s.opt.wholeFile && !s.opt.dryRun && old.Size > 0 {
			head := blocksOf(old.Size, false)
			if head.count <= maxSums {
				r.basis = &basisSums{in: in, head: head, reader: s.tree.Open(old)}
				return
			}
		}
		r.ask(in, sumHead{})
	}
}

func (r *receiver) differs(f, old File) bool {
	n := r.final(f, &old)
	return n.Mode != old.Mode || n.MTime != old.MTime || n.UID != old.UID || n.GID != old.GID
}

// attributes books a directory, a link or new attributes of a file.
func (r *receiver) attributes(f, old File, exists bool) {
	if r.s.opt.dryRun || exists && !r.differs(f, old) {
		return
	}
	var n File
	if exists {
		n = r.final(f, &old)
		n.Ref, n.Size = old.Ref, old.Size
	} else {
		n = r.final(f, nil)
	}
	n.Link = f.Link
	r.puts = append(r.puts, put{r.s.tree.Put(n), f.Path})
}

// final is an entry with the attributes that the client asked to have kept; the
// others stay as they are, or are plain for a new one.
func (r *receiver) final(f File, old *File) File {
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
		n.MTime = 0 // the catalogue takes the present for it
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

// ask requests a file's content, with the sums of the version that is here.
func (r *receiver) ask(in *incoming, head sumHead) {
	s := r.s
	s.writeInt(in.ndx)
	if s.version >= 29 {
		flags := itemTransfer
		if in.old == nil {
			flags |= itemNew
		}
		s.writeShort(flags)
	}
	r.asked++
	if s.opt.dryRun {
		return
	}
	if head.count == 0 { // the strong sums' length still counts for the answer
		head = sumHead{strong: 2}
	}
	s.writeSumHead(head)
}

// sumSome goes on with the block sums of an old version; false if it has to wait.
// They are sent once they are whole: a version that cannot be read costs only the
// saving.
func (r *receiver) sumSome() bool {
	s, b := r.s, r.basis
	h := md4.New()
	var strong [md4.Size]byte
	for b.block < b.head.count {
		want := b.head.size(b.block) - len(b.part)
		p, ok, err := b.reader.At(b.off, want)
		if err != nil {
			s.tree.Log("basis", r.at[b.in.ndx], err)
			b.reader.Close()
			r.basis = nil
			b.in.old = nil
			r.ask(b.in, sumHead{})
			return true
		}
		if !ok {
			return false
		}
		b.off += int64(len(p))
		if len(p) < want || len(b.part) > 0 {
			b.part = append(b.part, p...)
			if len(p) < want {
				continue
			}
			p = b.part
		}
		sum := weakOf(p).sum()
		b.out = append(b.out, byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24))
		b.out = append(b.out, strongOf(h, p, s.seed, strong[:])[:b.head.strong]...)
		b.part = b.part[:0]
		b.block++
	}
	b.reader.Close()
	r.basis = nil
	r.ask(b.in, b.head)
	s.write(b.out)
	return true
}

func (r *receiver) complain(path string, err error) {
	r.s.tree.Log("push", path, err)
	r.s.say(msgError, "eiderhold: %s: %v", printable(path), err)
	if errors.Is(err, ErrEnd) {
		fail("%w", err)
	}
}

// settled looks after what is on its way, and says that nothing is.
func (r *receiver) settled() bool {
	puts := r.puts[:0]
	for _, p := range r.puts {
		if done, err := p.Done(); !done {
			puts = append(puts, p)
		} else if err != nil {
			r.complain(p.path, err)
		}
	}
	r.puts = puts
	out := r.out[:0]
	for _, in := range r.out {
		if done, err := in.writer.Done(); !done {
			out = append(out, in)
		} else if err != nil {
			r.complain(r.at[in.ndx], err)
		}
	}
	r.out = out
	return len(r.puts)+len(r.out) == 0
}

// ---- the receiver ----

// take reads what the client sends until it has said that the last phase is over.
func (r *receiver) take() {
	s := r.s
	phases := 3
	if s.version < 29 {
		phases = 2
	}
	for r.seen < phases {
		r.settled()
		r.generate()
		ndx := s.readInt()
		if ndx == ndxDone {
			r.seen++
			continue
		}
		flags := itemTransfer
		if s.version >= 29 {
			flags = s.readShort()
		}
		if int(ndx) == len(r.list) && flags == itemNew {
			continue // a sign of life
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
		if in == nil || in.writer != nil && !in.redone {
			fail("content of file %d, which was not asked for", ndx)
		}
		r.asked--
		if s.opt.dryRun {
			continue
		}
		r.content(in)
	}
}

// content takes one file's tokens.
func (r *receiver) content(in *incoming) {
	s := r.s
	head := s.readSumHead()
	f := r.list[in.ndx]
	f.Path = r.at[in.ndx]
	in.writer = s.tree.Create(f)
	var basis Reader
	defer func() {
		if basis != nil {
			basis.Close()
		}
	}()
	sum := fileHash(s.seed)
	total := int64(0)
	var broken error
	for {
		token := s.readInt()
		if token == 0 {
			break
		}
		if token > 0 {
			total += int64(token)
			r.literals(in, int(token), sum)
			continue
		}
		block := -(token + 1)
		if block >= head.count || in.old == nil {
			fail("file %q: block %d of %d", printable(f.Path), block, head.count)
		}
		if basis == nil {
			basis = s.tree.Open(*in.old)
		}
		n := head.size(block)
		off := int64(block) * int64(head.block)
		if off+int64(n) > in.old.Size {
			fail("file %q: block %d lies behind the end of the %d bytes here", printable(f.Path), block, in.old.Size)
		}
		total += int64(n)
		for n > 0 && broken == nil {
			p, err := s.await(basis, off, n)
			if err != nil {
				broken = err
				break
			}
			sum.Write(p)
			off, n = off+int64(len(p)), n-len(p)
			r.pass(in, p)
		}
	}
	theirs := [md4.Size]byte(s.need(md4.Size))
	switch {
	case broken != nil:
		in.writer.Abort(broken)
		r.again(in, broken)
	case [md4.Size]byte(sum.Sum(nil)) != theirs:
		in.writer.Abort(errVerify)
		r.again(in, errVerify)
	default:
		f.Size = total
		old := in.old
		n := r.final(f, old)
		n.Size = total
		in.writer.Finish(n)
		r.out = append(r.out, in)
	}
}

// again asks for a file once more, as a whole, in the second phase; once.
func (r *receiver) again(in *incoming, err error) {
	if in.redone || r.seen > 0 {
		r.complain(r.at[in.ndx], err)
		return
	}
	r.s.tree.Log("again", r.at[in.ndx], err)
	r.redo = append(r.redo, in.ndx)
}

// literals takes bytes as they come, no more than the writer has room for.
func (r *receiver) literals(in *incoming, n int, sum hash.Hash) {
	s := r.s
	if n > maxToken {
		fail("a token of %d bytes: at most %d", n, maxToken)
	}
	for n > 0 {
		k := min(n, max(1, min(s.Held(), literalMax)))
		p := s.need(k)
		sum.Write(p)
		n -= k
		r.pass(in, p)
	}
}

// pass hands bytes to the file's writer. They are copied before the session waits.
func (r *receiver) pass(in *incoming, p []byte) {
	in.writer.Write(p)
	for !in.writer.Room() {
		r.settled()
		r.s.wait()
	}
}
