package http1

import "eiderhold/internal/buffer"

const minCapacity = 256

// errNoMemory is the error of a message for which there is no memory left.
var errNoMemory error = &Error{503, "more bytes of messages held than allowed"}

// Growth returns how many bytes Append takes for p of n bytes that do not fit into dst; 0 if they fit.
func Growth(dst []byte, n, most int) int {
	needed := len(dst) + n
	if needed <= cap(dst) {
		return 0
	}
	return buffer.Capacity(capacity(needed, cap(dst), most))
}

// Append appends p to dst, which is from the arena and to which nothing else may refer: if it has to grow, its former memory
// is given up. most is the largest length that is expected. ok is false, and nothing is appended, if there is no memory.
func Append(a *buffer.Arena, dst, p []byte, most int) (out []byte, ok bool) {
	if needed := len(dst) + len(p); needed > cap(dst) {
		grown, ok := a.Allocate(capacity(needed, cap(dst), most))
		if !ok {
			return dst, false
		}
		grown = append(grown, dst...)
		a.Free(dst)
		dst = grown
	}
	return append(dst, p...), true
}

// capacity returns the capacity of a buffer that has to hold the needed bytes now, at most the given number later, and had
// one capacity before. It grows by a factor, so that a message in many pieces is copied no more often than one in few.
func capacity(needed, before, most int) int {
	return max(needed, min(max(minCapacity, 2*before), most))
}

// Buffer holds received bytes that have not been consumed yet. Consuming does not move what remains, so that many small
// messages in one buffer cost no more than their own length.
type Buffer struct {
	Arena *buffer.Arena // of its memory; nil: the Go heap
	data  []byte
	start int // the bytes before it are consumed
}

// Bytes returns the bytes that have not been consumed. They are valid until the next call of Append, Consume or Free.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes that have not been consumed.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Allocated returns the number of bytes that the buffer takes.
func (b *Buffer) Allocated() int { return cap(b.data) }

// Growth returns how many bytes Append takes for n bytes that do not fit; 0 if they fit.
func (b *Buffer) Growth(n, most int) int {
	if b.fits(n) || b.movable(n) {
		return 0
	}
	return buffer.Capacity(b.grownCapacity(n, most))
}

// fits reports whether n bytes fit behind the data.
func (b *Buffer) fits(n int) bool { return len(b.data)+n <= cap(b.data) }

// movable reports whether n bytes fit when the data is moved to the start, which at least as many consumed bytes pay for.
func (b *Buffer) movable(n int) bool { return b.Len()+n <= cap(b.data) && b.start >= cap(b.data)/2 }

func (b *Buffer) grownCapacity(n, most int) int {
	before := cap(b.data)
	if b.start > 0 {
		before /= 2 // a part of it was room for what has been consumed
	}
	return capacity(b.Len()+n, before, most)
}

// Append appends p. most is the largest number of bytes that the buffer is expected to hold. It returns false, and appends
// nothing, if there is no memory.
func (b *Buffer) Append(p []byte, most int) bool {
	switch {
	case b.fits(len(p)):
	case b.movable(len(p)):
		b.moveTo(b.data[:0])
	default:
		if !b.replace(b.grownCapacity(len(p), most)) {
			return false
		}
	}
	b.data = append(b.data, p...)
	return true
}

// Consume removes n bytes from the start. A buffer that is large for what remains is replaced.
func (b *Buffer) Consume(n int) {
	const largeFor = 8
	b.start += n
	switch left := b.Len(); {
	case left == 0:
		b.Free()
	case left < cap(b.data)/largeFor && cap(b.data) > largeFor*minCapacity:
		b.replace(left) // it stays as it is if there is no memory
	}
}

// Free gives up the buffer's memory and leaves it empty. Nothing may refer to its bytes any more.
func (b *Buffer) Free() {
	b.Arena.Free(b.data)
	b.data, b.start = nil, 0
}

// replace moves the bytes to new memory that holds n bytes.
func (b *Buffer) replace(n int) bool {
	to, ok := b.Arena.Allocate(n)
	if !ok {
		return false
	}
	former := b.data
	b.moveTo(to)
	b.Arena.Free(former)
	return true
}

func (b *Buffer) moveTo(to []byte) { b.data, b.start = append(to, b.Bytes()...), 0 }
