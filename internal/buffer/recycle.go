package buffer

import (
	"math/bits"
	"sync"
)

// Large byte slices are recycled here rather than left to the garbage collector: where little memory is left, a few long
// messages that grow piece by piece would make more garbage than there is room for before it can be collected.
const (
	minRecycledBits = 12 // 4 KiB: smaller slices are left to the collector
	maxRecycledBits = 21 // 2 MiB

	// MaxRecycledBytes bounds the slices that wait to be used again.
	MaxRecycledBytes = 2 << 20
)

var recycled struct {
	mu    sync.Mutex
	bytes int
	free  [maxRecycledBits + 1][][]byte // by the logarithm of their capacity
}

// Waiting returns the number of bytes that wait to be used again.
func Waiting() int {
	recycled.mu.Lock()
	defer recycled.mu.Unlock()
	return recycled.bytes
}

// Allocate returns a slice of length 0 that holds n bytes without growing. Its capacity is a power of two if it is recycled
// later.
func Allocate(n int) []byte {
	class := bits.Len(uint(max(n, 1) - 1))
	if class < minRecycledBits || class > maxRecycledBits {
		return make([]byte, 0, n)
	}
	recycled.mu.Lock()
	defer recycled.mu.Unlock()
	free := recycled.free[class]
	if len(free) == 0 {
		return make([]byte, 0, 1<<class)
	}
	b := free[len(free)-1]
	recycled.free[class] = free[:len(free)-1]
	recycled.bytes -= cap(b)
	return b
}

// Recycle gives up a slice, which nothing may refer to any more. Slices that are not from Allocate are left to the collector,
// as are those that are too many.
func Recycle(b []byte) {
	class := bits.Len(uint(cap(b))) - 1
	if class < minRecycledBits || class > maxRecycledBits || cap(b) != 1<<class {
		return
	}
	recycled.mu.Lock()
	defer recycled.mu.Unlock()
	if recycled.bytes+cap(b) <= MaxRecycledBytes {
		recycled.free[class] = append(recycled.free[class], b[:0])
		recycled.bytes += cap(b)
	}
}
