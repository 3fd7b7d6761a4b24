// Package buffer lends out byte buffers of a few sizes, so that carrying a
// payload from a socket to another allocates nothing that grows with it.
package buffer

import (
	"math/bits"
	"sync"
)

const (
	leastBits = 9  // 512 bytes
	mostBits  = 23 // 8 MiB: larger ones are made and forgotten
)

var pools [mostBits + 1]sync.Pool

// Buffer is a lent buffer. Whoever holds it last may Release it; one that is
// never released is merely garbage.
type Buffer struct {
	B    []byte
	size int // bits; 0: not from a pool
}

// Get lends a buffer of n bytes, of undefined content.
func Get(n int) *Buffer {
	size := max(leastBits, bits.Len(uint(max(n, 1)-1)))
	if size > mostBits {
		return &Buffer{B: make([]byte, n)}
	}
	if b, ok := pools[size].Get().(*Buffer); ok {
		b.B = b.B[:n]
		return b
	}
	return &Buffer{B: make([]byte, n, 1<<size), size: size}
}

// Release gives the buffer back. It must not be used afterwards. A nil buffer and
// one that has grown out of its lent array are left alone.
func (b *Buffer) Release() {
	if b == nil || b.size == 0 || cap(b.B) != 1<<b.size {
		return
	}
	pools[b.size].Put(b)
}
