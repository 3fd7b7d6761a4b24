package rsync

import (
	"slices"
	"strings"
)

// Flags of a file list entry in protocols 27 to 29.
const (
	flagTopDir       = 1 << 0
	flagSameMode     = 1 << 1
	flagExtended     = 1 << 2 // protocol 28 and later: another byte of flags follows
	flagSameUID      = 1 << 3
	flagSameGID      = 1 << 4
	flagSameName     = 1 << 5
	flagLongName     = 1 << 6
	flagSameTime     = 1 << 7
	flagSameRdevHigh = 1 << 8
	flagRdevLow8     = 1 << 11
)

// previousEntry holds the fields of a file list entry that the next entry can refer to.
type previousEntry struct {
	name     string
	mode     uint32
	mtime    int64
	uid, gid uint32
	rdevHigh int32
}

// writeEntry sends one entry of the file list under the given name.
func (s *Session) writeEntry(prev *previousEntry, f *File, name string, top bool) {
	o, flags := &s.opt, 0
	if top {
		flags |= flagTopDir
	}
	if f.Mode == prev.mode {
		flags |= flagSameMode
	}
	if f.MTime == prev.mtime {
		flags |= flagSameTime
	}
	if o.owner && f.UID == prev.uid {
		flags |= flagSameUID
	}
	if o.group && f.GID == prev.gid {
		flags |= flagSameGID
	}
	same := 0
	for same < min(len(name), len(prev.name), 255) && name[same] == prev.name[same] {
		same++
	}
	if same > 0 {
		flags |= flagSameName
	}
	rest := name[same:]
	if len(rest) > 255 {
		flags |= flagLongName
	}
	if flags == 0 && !f.IsDir() {
		flags |= flagTopDir // has no effect on a file; flags of 0 would end the list
	}
	switch {
	case s.version >= 28 && flags == 0:
		s.writeShort(flagExtended)
	case s.version < 28 && flags == 0:
		flags |= flagLongName
		s.writeByte(byte(flags))
	default:
		s.writeByte(byte(flags))
	}
	if flags&flagSameName != 0 {
		s.writeByte(byte(same))
	}
	if flags&flagLongName != 0 {
		s.writeInt(int32(len(rest)))
	} else {
		s.writeByte(byte(len(rest)))
	}
	s.writeString(rest)
	s.writeLong(f.Size)
	if flags&flagSameTime == 0 {
		s.writeInt(int32(f.MTime))
	}
	if flags&flagSameMode == 0 {
		s.writeInt(int32(f.Mode))
	}
	if o.owner && flags&flagSameUID == 0 {
		s.writeInt(int32(f.UID))
	}
	if o.group && flags&flagSameGID == 0 {
		s.writeInt(int32(f.GID))
	}
	if o.links && f.IsLink() {
		s.writeInt(int32(len(f.Link)))
		s.writeString(f.Link)
	}
	*prev = previousEntry{name: name, mode: f.Mode, mtime: f.MTime, uid: f.UID, gid: f.GID}
}

// readEntry reads one entry of a client's file list. It returns false at the end of the list.
func (s *Session) readEntry(prev *previousEntry, number int) (File, bool) {
	o := &s.opt
	flags := int(s.readByte())
	if flags == 0 {
		return File{}, false
	}
	if s.version >= 28 && flags&flagExtended != 0 {
		flags |= int(s.readByte()) << 8
	}
	same := 0
	if flags&flagSameName != 0 {
		same = int(s.readByte())
	}
	n := 0
	if flags&flagLongName != 0 {
		n = int(s.readInt())
	} else {
		n = int(s.readByte())
	}
	if n < 0 || same > len(prev.name) || same+n >= maxPathBytes || same+n == 0 {
		fail("file list: entry %d: a name of %d+%d bytes after one of %d", number, same, n, len(prev.name))
	}
	prev.name = prev.name[:same] + string(s.readN(n))
	size := s.readLong()
	if size < 0 {
		fail("file list: entry %d: %d bytes long", number, size)
	}
	if flags&flagSameTime == 0 {
		prev.mtime = int64(s.readInt())
	}
	if flags&flagSameMode == 0 {
		prev.mode = uint32(s.readInt())
	}
	if o.owner && flags&flagSameUID == 0 {
		prev.uid = uint32(s.readInt())
	}
	if o.group && flags&flagSameGID == 0 {
		prev.gid = uint32(s.readInt())
	}
	path, err := CleanPath(prev.name)
	if err != nil {
		fail("file list: entry %d: %v", number, err)
	}
	f := File{Path: path, Mode: prev.mode, Size: size, MTime: prev.mtime, UID: prev.uid, GID: prev.gid}
	switch f.Mode & typeMask {
	case typeLink:
		if o.links {
			n := s.readInt()
			if n <= 0 || n >= maxPathBytes {
				fail("file list: entry %d: a link target of %d bytes", number, n)
			}
			f.Link = string(s.readN(int(n)))
			if strings.IndexByte(f.Link, 0) >= 0 {
				fail("file list: entry %d: a link target with a NUL byte", number)
			}
		}
	case 0o020000, 0o060000: // devices
		if o.devices {
			s.skipRdev(prev, flags)
		}
	case 0o010000, 0o140000: // FIFOs and sockets
		if o.specials {
			s.skipRdev(prev, flags)
		}
	}
	return f, true
}

// skipRdev skips the device numbers of an entry.
func (s *Session) skipRdev(prev *previousEntry, flags int) {
	if s.version < 28 {
		if flags&flagExtended == 0 { // before protocol 28 this bit means: the same device as the previous entry
			s.readInt()
		}
		return
	}
	if flags&flagSameRdevHigh == 0 {
		prev.rdevHigh = s.readInt()
	}
	if flags&flagRdevLow8 != 0 {
		s.readByte()
	} else {
		s.readInt()
	}
}

// sortList sorts a file list into the order that defines the file numbers on both sides.
func sortList(list []File, version int) {
	compare := func(a, b File) int { return strings.Compare(a.Path, b.Path) }
	if version >= 29 {
		compare = compareFiles
	}
	slices.SortStableFunc(list, compare)
}

// compareFiles implements the order of protocol 29: "." first, then in each directory the entries that
// are not directories, then the directories, each followed by its content. Directory names are compared
// with a trailing slash.
func compareFiles(a, b File) int {
	x, y := a.Path, b.Path
	if x == "." || y == "." {
		if x == y {
			return 0
		}
		if x == "." {
			return -1
		}
		return 1
	}
	for {
		i, j := strings.IndexByte(x, '/'), strings.IndexByte(y, '/')
		dirX, dirY := i >= 0 || a.IsDir(), j >= 0 || b.IsDir()
		if dirX != dirY {
			if dirY {
				return -1
			}
			return 1
		}
		nameX, nameY := x, y
		if i >= 0 {
			nameX = x[:i]
		}
		if j >= 0 {
			nameY = y[:j]
		}
		if nameX != nameY {
			if dirX {
				return strings.Compare(nameX+"/", nameY+"/")
			}
			return strings.Compare(nameX, nameY)
		}
		switch { // equal names: a directory comes before its content
		case i < 0 && j < 0:
			return 0
		case i < 0:
			return -1
		case j < 0:
			return 1
		}
		x, y = x[i+1:], y[j+1:]
	}
}

// skipIDNames skips one list of user or group names.
func (s *Session) skipIDNames() {
	for n := 0; s.readInt() != 0; n++ {
		if n > maxIDNames {
			fail("file list: more than %d names of users or groups", maxIDNames)
		}
		s.readN(int(s.readByte()))
	}
}
