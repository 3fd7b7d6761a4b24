package http1

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestBuffer checks a Buffer against a plain slice, and that what it takes is bounded by what it holds.
func TestBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Buffer
		var model []byte
		most := rapid.IntRange(1, 5000).Draw(t, "most")
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				p := bytes.Repeat([]byte{byte(len(model))}, rapid.IntRange(1, 3000).Draw(t, "n"))
				b.Append(p, most)
				model = append(model, p...)
				if n := b.Allocated(); n > 8*max(len(model), minCapacity) {
					t.Fatalf("%d bytes for %d", n, len(model))
				}
			},
			"consume": func(t *rapid.T) {
				n := rapid.IntRange(0, len(model)).Draw(t, "n")
				b.Consume(n)
				if model = model[n:]; len(model) == 0 && b.Allocated() > 0 {
					t.Fatalf("%d bytes for an empty buffer", b.Allocated())
				}
			},
			"": func(t *rapid.T) {
				if !bytes.Equal(b.Bytes(), model) || b.Len() != len(model) {
					t.Fatalf("%d bytes, expected %d", b.Len(), len(model))
				}
			},
		})
	})
}

// BenchmarkBufferSmallMessages consumes small messages from the start of a full buffer.
func BenchmarkBufferSmallMessages(b *testing.B) {
	full := make([]byte, 128<<10)
	for range b.N {
		var buf Buffer
		for buf.Append(full, len(full)); buf.Len() > 0; {
			buf.Consume(min(40, buf.Len()))
		}
	}
}
