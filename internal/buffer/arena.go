package buffer

import (
	"math/bits"
	"sync"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	minSlotBits = 12 // 4 KiB, a page: shorter slices are left to the garbage collector
	maxSlotBits = 23 // 8 MiB
)

// Arena hands out byte slices for messages from memory outside of the Go heap. What is handed out, and what waits to be
// used again, never takes more than a limit, and none of it is garbage: a burst of long messages needs no collection to be
// in time. Slices of less than a page, and all slices of a nil Arena, are from the Go heap. An Arena is safe for concurrent
// use. Package live has one for its process.
//
// A slot of 2^n bytes is taken from a region of address space for its size, of which only the pages in use take memory.
type Arena struct {
	mu      sync.Mutex
	limit   int
	used    int // bytes of slots that are handed out
	waiting int // bytes of slots that wait to be used again with their memory
	peak    int // highest value of used
	regions [maxSlotBits + 1]region
}

// region is the address space for slots of one size.
type region struct {
	memory   []byte
	fresh    int   // slots from this number on have never been handed out
	waiting  []int // slots that wait with their memory, the last one used at the end
	returned []int // slots whose memory the system has again
}

// NewArena returns an Arena with a limit in bytes.
func NewArena(limit int) *Arena { return &Arena{limit: limit} }

// ArenaStats are the present sizes of an Arena in bytes, and the highest of Used.
type ArenaStats struct{ Limit, Used, Waiting, Peak int }

// Stats returns the present sizes.
func (a *Arena) Stats() ArenaStats {
	if a == nil {
		return ArenaStats{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return ArenaStats{a.limit, a.used, a.waiting, a.peak}
}

// Capacity returns the capacity of a slice that Allocate returns for n bytes.
func Capacity(n int) int {
	if n > 1<<maxSlotBits {
		return n
	}
	return 1 << bits.Len(uint(max(n, 1)-1))
}

// Allocate returns a slice of length 0 with a capacity of at least n bytes, a power of two, and undefined content. ok is
// false if the limit does not allow it, or for more than 8 MiB.
func (a *Arena) Allocate(n int) (b []byte, ok bool) {
	size := Capacity(n)
	if a == nil || size < 1<<minSlotBits {
		return make([]byte, 0, size), true
	}
	if size > 1<<maxSlotBits {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.regions[bits.Len(uint(size))-1]
	slot, ok := a.takeSlot(r, size)
	if !ok {
		return nil, false
	}
	a.used += size
	a.peak = max(a.peak, a.used)
	return r.memory[slot*size : slot*size : (slot+1)*size], true
}

// takeSlot returns a slot of a region, at best one that has its memory.
func (a *Arena) takeSlot(r *region, size int) (slot int, ok bool) {
	if n := len(r.waiting); n > 0 {
		slot, r.waiting = r.waiting[n-1], r.waiting[:n-1]
		a.waiting -= size
		return slot, true
	}
	if a.used+size > a.limit || !a.mapRegion(r, size) {
		return 0, false
	}
	a.trim(a.limit - a.used - size)
	if n := len(r.returned); n > 0 {
		slot, r.returned = r.returned[n-1], r.returned[:n-1]
		return slot, true
	}
	if slot = r.fresh; (slot+1)*size > len(r.memory) {
		return 0, false
	}
	r.fresh++
	return slot, true
}

// mapRegion reserves the address space of a region: as many slots as the limit allows to be in use at a time, or to wait.
// Large pages are declined, as one would take memory for many slots.
func (a *Arena) mapRegion(r *region, size int) bool {
	if r.memory != nil {
		return true
	}
	memory, err := unix.Mmap(-1, 0, a.limit/size*size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_ANON|unix.MAP_PRIVATE|unix.MAP_NORESERVE)
	if err != nil {
		return false
	}
	_ = unix.Madvise(memory, unix.MADV_NOHUGEPAGE) // fails on a kernel without large pages
	r.memory = memory
	return true
}

// trim returns memory of waiting slots to the system, large ones first, until at most the given number of bytes wait.
func (a *Arena) trim(most int) {
	for class := maxSlotBits; class >= minSlotBits && a.waiting > most; class-- {
		r, size := &a.regions[class], 1<<class
		for len(r.waiting) > 0 && a.waiting > most {
			slot := r.waiting[0]
			if unix.Madvise(r.memory[slot*size:(slot+1)*size], unix.MADV_DONTNEED) != nil {
				return
			}
			r.waiting = r.waiting[1:]
			r.returned = append(r.returned, slot)
			a.waiting -= size
		}
	}
}

// Trim returns memory that waits to be used again to the system, except for the given number of bytes.
func (a *Arena) Trim(most int) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trim(most)
}

// Free gives up a slice from Allocate, which nothing may refer to any more. Other slices are left to the collector.
func (a *Arena) Free(b []byte) {
	size := cap(b)
	if a == nil || size < 1<<minSlotBits || size > 1<<maxSlotBits || size&(size-1) != 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.regions[bits.Len(uint(size))-1]
	slot, ok := r.slotOf(b, size)
	if !ok {
		return
	}
	r.waiting = append(r.waiting, slot)
	a.used -= size
	a.waiting += size
}

// slotOf returns the slot that a slice is; ok is false if it is none of this region.
func (r *region) slotOf(b []byte, size int) (slot int, ok bool) {
	if r.memory == nil {
		return 0, false
	}
	offset := uintptr(unsafe.Pointer(unsafe.SliceData(b))) - uintptr(unsafe.Pointer(unsafe.SliceData(r.memory)))
	return int(offset) / size, offset < uintptr(len(r.memory)) && int(offset)%size == 0
}
