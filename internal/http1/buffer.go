package http1

import "eiderhold/internal/buffer"

const minCapacity = 256

// Append appends p to dst, which nothing else may refer to: if it has to grow, its former memory is used again. most is the
// largest length that is expected. Buffers of incomplete messages are held for long, and in numbers, so that the spare
// capacity is bounded by the length.
func Append(dst, p []byte, most int) []byte {
	if needed := len(dst) + len(p); needed > cap(dst) {
		grown := append(buffer.Allocate(capacity(needed, most)), dst...)
		buffer.Recycle(dst)
		dst = grown
	}
	return append(dst, p...)
}

// capacity returns the least capacity of a buffer that has to hold the needed bytes now and at most the given number later.
func capacity(needed, most int) int { return max(needed, min(minCapacity, most)) }

// Buffer holds received bytes that have not been consumed yet. Consuming does not move what remains, so that many small
// messages in one buffer cost no more than their own length.
type Buffer struct {
	data  []byte
	start int // the bytes before it are consumed
}

// Bytes returns the bytes that have not been consumed. They are valid until the next call of Append, Consume or Free.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes that have not been consumed.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Allocated returns the number of bytes that the buffer takes.
func (b *Buffer) Allocated() int { return cap(b.data) }

// Append appends p. most is the largest number of bytes that the buffer is expected to hold.
func (b *Buffer) Append(p []byte, most int) {
	needed := b.Len() + len(p)
	switch {
	case len(b.data)+len(p) <= cap(b.data):
	case needed <= cap(b.data) && b.start >= cap(b.data)/2:
		b.moveTo(b.data[:0])
	default:
		b.replace(capacity(needed, most))
	}
	b.data = append(b.data, p...)
}

// Consume removes n bytes from the start. A buffer that is large for what remains is replaced.
func (b *Buffer) Consume(n int) {
	const largeFor = 8
	b.start += n
	switch left := b.Len(); {
	case left == 0:
		b.Free()
	case left < cap(b.data)/largeFor && cap(b.data) > largeFor*minCapacity:
		b.replace(left)
	}
}

// Free gives up the buffer's memory and leaves it empty. Nothing may refer to its bytes any more.
func (b *Buffer) Free() {
	buffer.Recycle(b.data)
	*b = Buffer{}
}

// replace moves the bytes to new memory that holds n bytes.
func (b *Buffer) replace(n int) {
	former := b.data
	b.moveTo(buffer.Allocate(n))
	buffer.Recycle(former)
}

func (b *Buffer) moveTo(to []byte) { b.data, b.start = append(to, b.Bytes()...), 0 }
