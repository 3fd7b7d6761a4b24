// Package buffer provides pooled byte buffers of a few sizes, so that forwarding a payload from one socket to another
// does not allocate memory in proportion to its size. The host, the backends and the fronts use it.
package buffer

import (
	"math/bits"
	"sync"
)

const (
	minSizeBits = 9  // 512 bytes
	maxSizeBits = 23 // 8 MiB: larger buffers are not pooled
)

var pools [maxSizeBits + 1]sync.Pool

// Buffer is a buffer from a pool. Its last user may Release it; a buffer that is never released is garbage-collected.
type Buffer struct {
	B        []byte
	sizeBits int              // log2 of the capacity; 0: not from a pool
	released func(own []byte) // see Own
}

// Own returns a buffer of bytes that nothing else refers to. When it is released, they are passed to released, on any
// goroutine.
func Own(b []byte, released func(own []byte)) *Buffer { return &Buffer{B: b, released: released} }

// Get returns a buffer of n bytes with undefined content.
func Get(n int) *Buffer {
	sizeBits := max(minSizeBits, bits.Len(uint(max(n, 1)-1)))
	if sizeBits > maxSizeBits {
		return &Buffer{B: make([]byte, n)}
	}
	if b, ok := pools[sizeBits].Get().(*Buffer); ok {
		b.B = b.B[:n]
		return b
	}
	return &Buffer{B: make([]byte, n, 1<<sizeBits), sizeBits: sizeBits}
}

// Release returns the buffer to its pool. It must not be used afterwards. Release does nothing for a nil buffer, and
// for one that has been reallocated.
func (b *Buffer) Release() {
	if b != nil && b.released != nil {
		b.released(b.B)
		b.B, b.released = nil, nil
		return
	}
	if b == nil || b.sizeBits == 0 || cap(b.B) != 1<<b.sizeBits {
		return
	}
	pools[b.sizeBits].Put(b)
}
