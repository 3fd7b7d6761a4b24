package http1

const minCapacity = 512

// Append appends p to dst. If dst has to grow, its spare capacity is at most half of its length, and there is none beyond
// most bytes: buffers of incomplete messages are held for long, and in numbers.
func Append(dst, p []byte, most int) []byte {
	if needed := len(dst) + len(p); needed > cap(dst) {
		dst = append(make([]byte, 0, capacity(needed, most)), dst...)
	}
	return append(dst, p...)
}

// capacity returns the capacity of a buffer that has to hold the needed bytes now and at most the given number later.
func capacity(needed, most int) int {
	return max(needed, min(max(needed+needed/2, minCapacity), most))
}

// Buffer holds received bytes that have not been consumed yet. Consuming does not move what remains, so that many small
// messages in one buffer cost no more than their own length.
type Buffer struct {
	data  []byte
	start int // the bytes before it are consumed
}

// Bytes returns the bytes that have not been consumed. They are valid until the next call of Append or Consume.
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
		b.moveTo(make([]byte, 0, capacity(needed, most)))
	}
	b.data = append(b.data, p...)
}

// Consume removes n bytes from the start. A buffer that is large for what remains is replaced.
func (b *Buffer) Consume(n int) {
	const largeFor = 8
	b.start += n
	switch left := b.Len(); {
	case left == 0:
		*b = Buffer{}
	case left < cap(b.data)/largeFor && cap(b.data) > largeFor*minCapacity:
		b.moveTo(make([]byte, 0, left))
	}
}

func (b *Buffer) moveTo(to []byte) { b.data, b.start = append(to, b.Bytes()...), 0 }
