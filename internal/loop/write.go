package loop

import (
	"math/bits"

	"github.com/panjf2000/gnet/v2"
)

// maxCombinedBody is the length from which a body is written from where it is; a shorter one is copied behind its head.
const maxCombinedBody = 4 << 10

// CombinedBytes returns the capacity that a message's head needs beyond its own length so that Write does not allocate.
func CombinedBytes(body []byte) int {
	if len(body) < maxCombinedBody {
		return len(body)
	}
	return 0
}

// Write writes the head and the body of a message with one call, on the loop. What the connection does not take is copied.
func Write(g gnet.Conn, head, body []byte) error {
	var err error
	if len(body) < maxCombinedBody {
		_, err = g.Write(append(head, body...))
	} else {
		_, err = g.Writev([][]byte{head, body})
	}
	return err
}

// UnsentMemory returns the bytes that the loop takes for n bytes which a connection has not taken, as allocated: a buffer
// whose size is a power of two, behind one of a fixed size.
func UnsentMemory(n int) int {
	if n == 0 {
		return 0
	}
	return bufferBytes + 1<<bits.Len(uint(n-1))
}
