// Package store keeps a gateway's catalogue on disk: the entries of each module, the
// extents of each file, and the items that nothing refers to any more. The rsync front
// reads and changes it, and the collector and the migrator work through its garbage and
// its entries. It survives SIGKILL at any moment: a file's entry changes in one
// transaction, after the last extent of the file has been stored. It is never the only
// copy of a node's state.
//
// The catalogue is one bbolt file. Bucket "module/NAME" maps a path to its entry, "begun"
// maps a base to what a push in progress may have written, "garbage" maps a sequence number
// to items that nothing refers to, and "meta" holds the format version, the number of times
// the file was opened and the usage of each module.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"eiderhold/internal/extent"
)

const (
	formatVersion    = 1
	maxGroupChanges  = 256  // in one transaction
	maxQueuedChanges = 4096 // that wait for a transaction
)

// Entry is one path of a module. Mode has the type bits of st_mode.
type Entry struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`

	Mode  uint32
	Size  int64
	MTime int64 // seconds since 1970
	UID   uint32
	GID   uint32
	Link  string
	Base  string // prefix of the names of its items
	Parts []Part
}

// Part is one extent of an entry. Its offset is the sum of the lengths of the parts before it.
type Part struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`

	Shard  int
	Length int
	Sum    uint64 // xxhash64
	Try    int    // number of the write attempt that succeeded; part of the item's name
}

// Item returns the name of the item that holds part i of a base, as written at the given try.
func Item(base string, i, try int) string {
	if try == 0 {
		return fmt.Sprintf("%s.%d", base, i)
	}
	return fmt.Sprintf("%s.%d.%d", base, i, try)
}

// Extents returns the extents of the entry, with the names of their items.
func (e *Entry) Extents() []extent.Extent {
	all := make([]extent.Extent, len(e.Parts))
	off := int64(0)
	for i, p := range e.Parts {
		all[i] = extent.Extent{Item: Item(e.Base, i, p.Try), Shard: p.Shard, Offset: off, Length: p.Length, Sum: p.Sum}
		off += int64(p.Length)
	}
	return all
}

// NamedEntry is an entry with its path.
type NamedEntry struct {
	Path string
	Entry
}

// pendingPush records what a push in progress may have written: up to Parts items, at up to maxTry+1 names each.
type pendingPush struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`
	Volume   string
	Parts    int
}

// NotGarbage is the Shard of a part listed in a Garbage whose item is still in use.
const NotGarbage = -2

// Garbage lists items of one base that nothing refers to. A part whose Shard is -1 may be
// on any shard or on none; a part whose Shard is NotGarbage must not be removed.
type Garbage struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`

	Volume  string
	Base    string
	Parts   []Part
	Orphans []OrphanItem
}

// OrphanItem is an item that may have been written before its bytes were written again under
// another name. Its shard is unknown.
type OrphanItem struct {
	//lint:ignore U1000 The encoder reads the tag of this field.
	_msgpack struct{} `msgpack:",as_array"`

	Index, Try int
}

// Items calls each with the name and shard of every item that may exist; shard -1 means
// that the shard is unknown.
func (g *Garbage) Items(each func(item string, shard int)) {
	for i, p := range g.Parts {
		if p.Shard == NotGarbage {
			continue
		}
		if p.Shard >= 0 {
			each(Item(g.Base, i, p.Try), p.Shard)
			continue
		}
		for try := range p.Try + 1 {
			each(Item(g.Base, i, try), -1)
		}
	}
	for _, l := range g.Orphans {
		each(Item(g.Base, l.Index, l.Try), -1)
	}
}

// maxTry is the highest Try that an item's name contains.
const maxTry = 3

// Catalogue is an open catalogue file. Its methods may be called by several goroutines at once.
type Catalogue struct {
	db        *bolt.DB
	name      string // of this gateway
	openCount uint64 // times the catalogue was opened; part of each base

	queue   chan *change
	stopped chan struct{}

	mu          sync.Mutex
	basesIssued uint64
	pins        map[uint64]int // garbage sequence when a reader started -> number of readers
	garbageSeq  uint64         // of the newest garbage when the catalogue was opened
	stats       Stats

	closed bool
}

// Stats are counts since the catalogue was opened.
type Stats struct{ Commits, Changes, Errors uint64 }

// change is a change that waits for a transaction. done is called once it has committed or failed.
type change struct {
	apply func(*bolt.Tx) error
	done  func(error)
}

var (
	bucketPending = []byte("begun")
	bucketGarbage = []byte("garbage")
	bucketMeta    = []byte("meta")
	keyFormat     = []byte("format")
	keyStart      = []byte("start")
)

func moduleBucket(module string) []byte { return []byte("module/" + module) }

// ErrLocked means that another process has the catalogue open.
var ErrLocked = errors.New("another process has the catalogue open; end it first or use another folder")

// Open opens the catalogue in a folder, or creates it. Pushes that were in progress when
// the previous process was killed become garbage. name is the gateway's; every base begins with it.
func Open(dir, name string, modules []string) (*Catalogue, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	file := filepath.Join(dir, "catalogue.db")
	db, err := bolt.Open(file, 0o600, &bolt.Options{Timeout: 2 * time.Second, FreelistType: bolt.FreelistMapType,
		NoFreelistSync: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		err = ErrLocked
	}
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", file, err)
	}
	c := &Catalogue{db: db, name: name, queue: make(chan *change, maxQueuedChanges), stopped: make(chan struct{}), pins: map[uint64]int{}}
	if err := db.Update(func(tx *bolt.Tx) error { return c.initialize(tx, modules) }); err != nil {
		db.Close()
		return nil, fmt.Errorf("store: %s: %w", file, err)
	}
	go c.commitLoop()
	return c, nil
}

// initialize creates missing buckets, counts the opening and turns pending pushes into garbage.
func (c *Catalogue) initialize(tx *bolt.Tx, modules []string) error {
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return err
	}
	if v := meta.Get(keyFormat); v == nil {
		if err := meta.Put(keyFormat, []byte{formatVersion}); err != nil {
			return err
		}
	} else if len(v) != 1 || v[0] != formatVersion {
		return fmt.Errorf("format %v: expected format %d; the file was not changed", v, formatVersion)
	}
	if v := meta.Get(keyStart); len(v) == 8 {
		c.openCount = binary.BigEndian.Uint64(v)
	}
	c.openCount++
	if err := meta.Put(keyStart, binary.BigEndian.AppendUint64(nil, c.openCount)); err != nil {
		return err
	}
	names := [][]byte{bucketPending, bucketGarbage}
	for _, m := range modules {
		names = append(names, moduleBucket(m))
	}
	for _, name := range names {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	for _, m := range modules {
		if err := initUsage(tx, m); err != nil {
			return fmt.Errorf("module %s: %w", m, err)
		}
	}
	b := tx.Bucket(bucketPending)
	var bases [][]byte
	err = b.ForEach(func(base, v []byte) error {
		var g pendingPush
		if err := msgpack.Unmarshal(v, &g); err != nil {
			return fmt.Errorf("pending push %q: %w", base, err)
		}
		bases = append(bases, bytes.Clone(base))
		return c.addGarbage(tx, Garbage{Volume: g.Volume, Base: string(base), Parts: unknownParts(g.Parts)})
	})
	for _, base := range bases {
		if err == nil {
			err = b.Delete(base)
		}
	}
	c.garbageSeq = tx.Bucket(bucketGarbage).Sequence()
	return err
}

// unknownParts returns n parts whose shard and try are unknown.
func unknownParts(n int) []Part {
	parts := make([]Part, n)
	for i := range parts {
		parts[i].Shard, parts[i].Try = -1, maxTry
	}
	return parts
}

func (c *Catalogue) addGarbage(tx *bolt.Tx, g Garbage) error {
	if len(g.Parts)+len(g.Orphans) == 0 {
		return nil
	}
	b := tx.Bucket(bucketGarbage)
	seq, err := b.NextSequence()
	if err != nil {
		return err
	}
	v, err := msgpack.Marshal(&g)
	if err != nil {
		return err
	}
	return b.Put(binary.BigEndian.AppendUint64(nil, seq), v)
}

// Close waits for the queued changes and closes the file.
func (c *Catalogue) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return nil
	}
	close(c.queue)
	<-c.stopped
	if err := c.db.Close(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Stats returns the counts.
func (c *Catalogue) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// commitLoop applies queued changes until the queue is closed, as many as are waiting in one
// transaction.
func (c *Catalogue) commitLoop() {
	defer close(c.stopped)
	for first := range c.queue {
		group := []*change{first}
	more:
		for len(group) < maxGroupChanges {
			select {
			case next, ok := <-c.queue:
				if !ok {
					break more
				}
				group = append(group, next)
			default:
				break more
			}
		}
		c.commitGroup(group)
	}
}

// commitGroup commits a group in one transaction. If a change fails, it commits each change
// on its own, so that only the faulty one fails.
func (c *Catalogue) commitGroup(group []*change) {
	err := c.db.Update(func(tx *bolt.Tx) error {
		for _, ch := range group {
			if err := ch.apply(tx); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil && len(group) > 1 {
		for _, ch := range group {
			c.commitGroup([]*change{ch})
		}
		return
	}
	c.mu.Lock()
	c.stats.Commits++
	c.stats.Changes += uint64(len(group))
	if err != nil {
		c.stats.Errors++
		err = fmt.Errorf("catalogue: %w", err)
	}
	c.mu.Unlock()
	for _, ch := range group {
		ch.done(err)
	}
}

// ErrQueueFull means that maxQueuedChanges changes are waiting for the disk.
var ErrQueueFull = fmt.Errorf("catalogue: %d changes wait for the disk already", maxQueuedChanges)

func (c *Catalogue) enqueue(done func(error), do func(*bolt.Tx) error) {
	c.mu.Lock()
	err := ErrQueueFull
	if c.closed {
		err = errClosed
	} else {
		select {
		case c.queue <- &change{apply: do, done: done}:
			err = nil
		default:
		}
	}
	c.mu.Unlock()
	if err != nil {
		done(err)
	}
}

var errClosed = errors.New("catalogue: closed")

// NewItemPrefix returns an item name prefix that no other file version has used or will use.
func (c *Catalogue) NewItemPrefix() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.basesIssued++
	return fmt.Sprintf("%s-%x-%x", c.name, c.openCount, c.basesIssued)
}

// Begin records that the items of a file are about to be written. No item may be written
// before done is called without an error; otherwise they could not be collected after a crash.
func (c *Catalogue) Begin(volume, base string, parts int, done func(error)) {
	c.enqueue(done, func(tx *bolt.Tx) error {
		v, err := msgpack.Marshal(&pendingPush{Volume: volume, Parts: parts})
		if err != nil {
			return err
		}
		return tx.Bucket(bucketPending).Put([]byte(base), v)
	})
}

// Abort turns what a push that began has written into garbage.
func (c *Catalogue) Abort(g Garbage, done func(error)) {
	c.enqueue(done, func(tx *bolt.Tx) error {
		if err := tx.Bucket(bucketPending).Delete([]byte(g.Base)); err != nil {
			return err
		}
		return c.addGarbage(tx, g)
	})
}

// Commit stores an entry at a path, where readers then find it. The items of the entry
// that it replaces and the lost ones become garbage.
func (c *Catalogue) Commit(module, path string, e Entry, lost []OrphanItem, done func(error)) {
	c.enqueue(done, func(tx *bolt.Tx) error {
		if err := c.addGarbage(tx, Garbage{Volume: module, Base: e.Base, Orphans: lost}); err != nil {
			return err
		}
		return c.put(tx, module, path, e)
	})
}

func (c *Catalogue) put(tx *bolt.Tx, module, path string, e Entry) error {
	b := tx.Bucket(moduleBucket(module))
	old, ok, err := get(b, path)
	if err != nil {
		return err
	}
	if ok && old.Base != "" && old.Base != e.Base {
		if err := c.addGarbage(tx, Garbage{Volume: module, Base: old.Base, Parts: old.Parts}); err != nil {
			return err
		}
	}
	if e.Base != "" {
		if err := tx.Bucket(bucketPending).Delete([]byte(e.Base)); err != nil {
			return err
		}
	}
	v, err := msgpack.Marshal(&e)
	if err != nil {
		return err
	}
	if err := b.Put([]byte(path), v); err != nil {
		return err
	}
	u, _ := readUsage(tx, module)
	if !ok {
		u.Files++
	}
	return writeUsage(tx, module, Usage{u.Files, u.Bytes + e.contentBytes() - old.contentBytes()})
}

// Usage is the number and size of a module's entries, without versions that were replaced.
type Usage struct {
	Files int64 // entries of any kind
	Bytes int64 // of content, as stored in extents
}

func (e *Entry) contentBytes() (n int64) {
	for _, p := range e.Parts {
		n += int64(p.Length)
	}
	return n
}

func usageKey(module string) []byte { return []byte("usage/" + module) }

// readUsage reads a module's stored usage; ok is false if there is none.
func readUsage(tx *bolt.Tx, module string) (u Usage, ok bool) {
	v := tx.Bucket(bucketMeta).Get(usageKey(module))
	if len(v) != 16 {
		return u, false
	}
	return Usage{int64(binary.BigEndian.Uint64(v)), int64(binary.BigEndian.Uint64(v[8:]))}, true
}

func writeUsage(tx *bolt.Tx, module string, u Usage) error {
	v := binary.BigEndian.AppendUint64(nil, uint64(u.Files))
	return tx.Bucket(bucketMeta).Put(usageKey(module), binary.BigEndian.AppendUint64(v, uint64(u.Bytes)))
}

// initUsage computes a module's usage from its entries if none is stored, as in a new file or
// in one written before usage was stored.
func initUsage(tx *bolt.Tx, module string) error {
	if _, ok := readUsage(tx, module); ok {
		return nil
	}
	var u Usage
	err := tx.Bucket(moduleBucket(module)).ForEach(func(path, v []byte) error {
		var e Entry
		if err := msgpack.Unmarshal(v, &e); err != nil {
			return fmt.Errorf("entry %q cannot be read: %w", path, err)
		}
		u.Files, u.Bytes = u.Files+1, u.Bytes+e.contentBytes()
		return nil
	})
	if err != nil {
		return err
	}
	return writeUsage(tx, module, u)
}

// Run describes the parts of one file version that are on one shard.
type Run struct {
	Volume, Path, Base string
	Shard, Parts       int
	Bytes              int64
}

// ForEachEntry calls each with every entry of the given modules, module by module in order of path.
func (c *Catalogue) ForEachEntry(modules []string, each func(module, path string, e *Entry)) error {
	err := c.db.View(func(tx *bolt.Tx) error {
		for _, m := range modules {
			b := tx.Bucket(moduleBucket(m))
			if b == nil {
				return fmt.Errorf("%s: no such module", m)
			}
			if err := b.ForEach(func(path, v []byte) error {
				var e Entry
				if err := msgpack.Unmarshal(v, &e); err != nil {
					return fmt.Errorf("entry %q cannot be read: %w", path, err)
				}
				each(m, string(path), &e)
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	return nil
}

// Runs calls each with every run of the given modules, module by module in order of path.
func (c *Catalogue) Runs(modules []string, each func(Run)) error {
	return c.ForEachEntry(modules, func(module, path string, e *Entry) { forEachRun(module, path, e, each) })
}

func forEachRun(module, path string, e *Entry, each func(Run)) {
	var list []Run
	for _, p := range e.Parts {
		i := slices.IndexFunc(list, func(r Run) bool { return r.Shard == p.Shard })
		if i < 0 {
			i = len(list)
			list = append(list, Run{Volume: module, Path: path, Base: e.Base, Shard: p.Shard})
		}
		list[i].Parts++
		list[i].Bytes += int64(p.Length)
	}
	for _, r := range list {
		each(r)
	}
}

// Usage returns the current usage of a module.
func (c *Catalogue) Usage(module string) (u Usage, err error) {
	err = c.db.View(func(tx *bolt.Tx) error {
		var ok bool
		if u, ok = readUsage(tx, module); !ok {
			return fmt.Errorf("catalogue: %s: no such module", module)
		}
		return nil
	})
	return u, err
}

// UpdateAttributes changes attributes of the entry at a path if its base is still the given one;
// otherwise it changes nothing.
func (c *Catalogue) UpdateAttributes(module, path, base string, update func(*Entry), done func(error)) {
	c.enqueue(done, func(tx *bolt.Tx) error {
		b := tx.Bucket(moduleBucket(module))
		e, ok, err := get(b, path)
		if err != nil || !ok || e.Base != base {
			return err
		}
		update(&e)
		v, err := msgpack.Marshal(&e)
		if err != nil {
			return err
		}
		return b.Put([]byte(path), v)
	})
}

// ErrPartsMoved means that the parts are not on the expected shards and that nothing was changed.
var ErrPartsMoved = errors.New("catalogue: the version is gone, or its parts lie elsewhere")

// MoveParts records that parts of a file version, given by index, have moved from the shard source to the shard
// target: all of them, or none with ErrPartsMoved. The copies on the source become garbage, which is collected
// once no reader needs it. Parts that are on the target already stay as they are, so a call may be repeated.
func (c *Catalogue) MoveParts(module, path, base string, parts []int, source, target int, done func(error)) {
	elsewhere := false
	c.enqueue(func(err error) {
		if err == nil && elsewhere {
			err = ErrPartsMoved
		}
		done(err)
	}, func(tx *bolt.Tx) (err error) {
		elsewhere, err = c.moveParts(tx, module, path, base, parts, source, target)
		return err
	})
}

func (c *Catalogue) moveParts(tx *bolt.Tx, module, path, base string, parts []int, source, target int) (elsewhere bool, err error) {
	b := tx.Bucket(moduleBucket(module))
	e, ok, err := get(b, path)
	if err != nil || !ok || e.Base != base {
		return err == nil, err
	}
	freed := Garbage{Volume: module, Base: base, Parts: slices.Clone(e.Parts)}
	for i := range freed.Parts {
		freed.Parts[i].Shard = NotGarbage
	}
	moved := false
	for _, i := range parts {
		if i < 0 || i >= len(e.Parts) || e.Parts[i].Shard != source && e.Parts[i].Shard != target {
			return true, nil
		}
		if e.Parts[i].Shard == source {
			freed.Parts[i].Shard, e.Parts[i].Shard, moved = source, target, true
		}
	}
	if !moved {
		return false, nil
	}
	v, err := msgpack.Marshal(&e)
	if err == nil {
		err = b.Put([]byte(path), v)
	}
	if err == nil {
		err = c.addGarbage(tx, freed)
	}
	return false, err
}

func get(b *bolt.Bucket, path string) (Entry, bool, error) {
	var e Entry
	if b == nil {
		return e, false, errors.New("no such module")
	}
	v := b.Get([]byte(path))
	if v == nil {
		return e, false, nil
	}
	if err := msgpack.Unmarshal(v, &e); err != nil {
		return e, false, fmt.Errorf("entry %q cannot be read: %w", path, err)
	}
	return e, true, nil
}

// Stat returns the entry at a path; ok is false if there is none.
func (c *Catalogue) Stat(module, path string) (e Entry, ok bool, err error) {
	err = c.db.View(func(tx *bolt.Tx) error {
		e, ok, err = get(tx.Bucket(moduleBucket(module)), path)
		return err
	})
	if err != nil {
		err = fmt.Errorf("catalogue: %w", err)
	}
	return e, ok, err
}

// Resolve returns the extents that hold a range of a file.
func (c *Catalogue) Resolve(volume, path string, offset, length int64) ([]extent.Extent, error) {
	e, ok, err := c.Stat(volume, path)
	if err == nil && !ok {
		err = fmt.Errorf("catalogue: %s: no file %q", volume, path)
	}
	if err != nil {
		return nil, err
	}
	return extent.Within(e.Extents(), offset, length), nil
}

// Scan returns up to n entries below a directory that come after the given path, in byte
// order of their paths. Unless deep, it returns only the directory's direct entries.
func (c *Catalogue) Scan(module, dir, after string, deep bool, n int) (list []NamedEntry, err error) {
	prefix := dir + "/"
	if dir == "." || dir == "" {
		prefix = ""
	}
	err = c.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(moduleBucket(module))
		if b == nil {
			return errors.New("no such module")
		}
		cur := b.Cursor()
		start := prefix
		if after != "" {
			start = after + "\x00"
		}
		k, v := cur.Seek([]byte(start))
		for k != nil && bytes.HasPrefix(k, []byte(prefix)) && len(list) < n {
			path := string(k)
			if path == "." {
				k, v = cur.Next()
				continue
			}
			if i := strings.IndexByte(path[len(prefix):], '/'); i >= 0 && !deep {
				// The entry is in a subdirectory: skip the whole subdirectory.
				k, v = cur.Seek([]byte(path[:len(prefix)+i] + "0")) // '0' follows '/'
				continue
			}
			var e Entry
			if err := msgpack.Unmarshal(v, &e); err != nil {
				return fmt.Errorf("entry %q cannot be read: %w", path, err)
			}
			list = append(list, NamedEntry{path, e})
			k, v = cur.Next()
		}
		return nil
	})
	if err != nil {
		err = fmt.Errorf("catalogue: %w", err)
	}
	return list, err
}

// Count returns the number of entries of a module; 0 if there is no such module.
func (c *Catalogue) Count(module string) (n int) {
	_ = c.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(moduleBucket(module)); b != nil {
			n = b.Stats().KeyN
		}
		return nil
	})
	return n
}

// Pin protects the items of all entries that exist now from collection, also if an entry is
// replaced meanwhile, until the returned function is called.
func (c *Catalogue) Pin() (release func()) {
	seq := uint64(0)
	_ = c.db.View(func(tx *bolt.Tx) error {
		seq = tx.Bucket(bucketGarbage).Sequence()
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins[seq]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.pins[seq]--; c.pins[seq] == 0 {
			delete(c.pins, seq)
		}
	}
}

// Collectable returns up to n records of garbage that no reader may still need, with their
// sequence numbers, oldest first.
func (c *Catalogue) Collectable(n int) (seqs []uint64, list []Garbage, err error) {
	c.mu.Lock()
	limit := ^uint64(0)
	for pinned := range c.pins {
		limit = min(limit, pinned)
	}
	c.mu.Unlock()
	err = c.db.View(func(tx *bolt.Tx) error {
		cur := tx.Bucket(bucketGarbage).Cursor()
		for k, v := cur.First(); k != nil && len(list) < n; k, v = cur.Next() {
			seq := binary.BigEndian.Uint64(k)
			if seq > limit {
				return nil
			}
			var g Garbage
			if err := msgpack.Unmarshal(v, &g); err != nil {
				return fmt.Errorf("garbage %d cannot be read: %w", seq, err)
			}
			seqs, list = append(seqs, seq), append(list, g)
		}
		return nil
	})
	if err != nil {
		err = fmt.Errorf("catalogue: %w", err)
	}
	return seqs, list, err
}

// GarbageShards returns, for the given bases, the shards on which items wait to be collected. No part of a base may
// move to such a shard before they are collected, or it would be collected too.
func (c *Catalogue) GarbageShards(bases map[string]bool) (shards map[string]map[int]bool, err error) {
	shards = map[string]map[int]bool{}
	err = c.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketGarbage).ForEach(func(_, v []byte) error {
			var g Garbage
			if err := msgpack.Unmarshal(v, &g); err != nil {
				return err
			}
			if !bases[g.Base] {
				return nil
			}
			if shards[g.Base] == nil {
				shards[g.Base] = map[int]bool{}
			}
			for _, p := range g.Parts {
				shards[g.Base][p.Shard] = true
			}
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("catalogue: garbage: %w", err)
	}
	return shards, nil
}

// RemoveGarbage removes a record of garbage whose items have been deleted.
func (c *Catalogue) RemoveGarbage(seq uint64, done func(error)) {
	c.enqueue(done, func(tx *bolt.Tx) error {
		return tx.Bucket(bucketGarbage).Delete(binary.BigEndian.AppendUint64(nil, seq))
	})
}
