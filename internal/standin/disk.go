// Package standin has test doubles of the systems outside the gateway: storage nodes, the register, the
// authority of the extent map, the platform's HTTP nodes and discovery, and rsync clients, with faults that can
// be switched on. It records the traffic over its sockets for package audit. Package rehearsal, the commands
// that run a site on one machine, and tests use it; the gateway does not import it.
package standin

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Disk is the storage of one shard. A node that replaces another opens the same Disk and finds the items and
// keys there. With a folder, items outlive the process.
type Disk struct {
	dir string

	mu       sync.Mutex
	items    map[string][]byte
	keys     map[string]time.Time // when a key took effect
	capacity int64                // bytes; 0: unlimited
	occupied int64                // bytes taken by other data
	used     int64
	sizes    map[string]int64
}

// ErrFull is returned when a disk has no room for an item.
var ErrFull = errors.New("no space left on the shard")

// Limit sets the capacity of the disk in bytes (0: unlimited), and how many of them other data occupies.
func (d *Disk) Limit(capacity, occupied int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity, d.occupied = capacity, occupied
}

// Space returns the bytes used and the capacity; a capacity of 0 is unlimited.
func (d *Disk) Space() (used, capacity int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used + d.occupied, d.capacity
}

// reserve counts an item's bytes as used, or returns ErrFull.
func (d *Disk) reserve(item string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	growth := size - d.sizes[item]
	if d.capacity > 0 && growth > 0 && d.used+d.occupied+growth > d.capacity {
		return ErrFull
	}
	d.used += growth
	d.sizes[item] = size
	return nil
}

// NewDisk opens a shard's disk. With an empty folder name, items are kept in memory only.
func NewDisk(dir string) (*Disk, error) {
	d := &Disk{dir: dir, items: map[string][]byte{}, keys: map[string]time.Time{}, sizes: map[string]int64{}}
	if dir == "" {
		return d, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("stand-in disk: %w", err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("stand-in disk: %w", err)
	}
	for _, e := range entries {
		name, err := hex.DecodeString(e.Name())
		info, infoErr := e.Info()
		if err == nil && infoErr == nil { // other files are not items
			d.sizes[string(name)] = info.Size()
			d.used += info.Size()
		}
	}
	return d, nil
}

func (d *Disk) path(item string) string {
	return filepath.Join(d.dir, hex.EncodeToString([]byte(item)))
}

// Read returns an item's bytes, and whether the item exists.
func (d *Disk) Read(item string) ([]byte, bool) {
	if d.dir != "" {
		p, err := os.ReadFile(d.path(item))
		return p, err == nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.items[item]
	return p, ok
}

// Write stores an item. It returns ErrFull if the disk has no room for it.
func (d *Disk) Write(item string, p []byte) error {
	if err := d.reserve(item, int64(len(p))); err != nil {
		return err
	}
	if d.dir == "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.items[item] = append([]byte(nil), p...)
		return nil
	}
	name := d.path(item)
	if err := os.WriteFile(name+".new", p, 0o644); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// Delete removes an item, if it exists.
func (d *Disk) Delete(item string) {
	if d.dir != "" {
		_ = os.Remove(d.path(item))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used -= d.sizes[item]
	delete(d.sizes, item)
	delete(d.items, item)
}

// FlipBit inverts one bit of an item, as a faulty disk might, and reports whether it did.
func (d *Disk) FlipBit(item string, bit int) bool {
	p, ok := d.Read(item)
	if !ok || len(p) == 0 {
		return false
	}
	p = append([]byte(nil), p...)
	p[bit/8%len(p)] ^= 1 << (bit % 8)
	return d.Write(item, p) == nil
}

// Items returns the number of items held in memory or in the folder.
func (d *Disk) Items() int {
	if d.dir != "" {
		entries, _ := os.ReadDir(d.dir)
		return len(entries)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.items)
}

// recordKey records that a key takes effect now. It reports false if the key took effect within the window before.
func (d *Disk) recordKey(key string, window time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if at, ok := d.keys[key]; ok && now.Sub(at) < window {
		return false
	}
	d.keys[key] = now
	if len(d.keys) > 100_000 {
		for k, at := range d.keys {
			if now.Sub(at) >= window {
				delete(d.keys, k)
			}
		}
	}
	return true
}
