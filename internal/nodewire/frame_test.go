package nodewire

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

var samples = []Frame{
	&Hello{Version: Version, Name: "gateway-1", Shard: -1},
	&Request{ID: 7, Ref: 9, Attempt: 2, Op: Write, Class: "record-write", Volume: "records", Item: "a.0", Key: "a.0",
		MilliUnits: 1500, Offset: 1 << 40, Length: 5, LeftMicros: 99, Payload: []byte("bytes")},
	&Answer{ID: 7, Result: Busy, VolumeUse: 87, OthersMilliUnits: 1, Queue: 3, LatencyUs: 1500, Used: 1 << 40, Capacity: 1<<40 + 1, Shard: 2, Text: "full"},
	&Answer{ID: 9, Result: NoRoom, Used: 5, Capacity: 5},
	&Answer{ID: 8, Shard: -1, Payload: []byte{0, 1}},
	&Cancel{ID: 5}, &Probe{ID: 6}, &Probed{ID: 6, Queue: 1, LatencyUs: 2, Used: 3, Capacity: 4},
}

// TestRoundTripAndTruncation decodes each sample, and each of its prefixes, which must give ErrShort.
func TestRoundTripAndTruncation(t *testing.T) {
	for _, f := range samples {
		b := Append([]byte("before"), f)[6:]
		for cut := range b {
			if _, _, err := Decode(b[:cut]); !errors.Is(err, ErrShort) {
				t.Fatalf("%T cut at %d: %v", f, cut, err)
			}
		}
		got, n, err := Decode(append(b, 1, 2))
		if err != nil || n != len(b) || !reflect.DeepEqual(got, f) {
			t.Fatalf("%T: got %+v, %d of %d bytes, %v", f, got, n, len(b), err)
		}
		if FrameLen(b) != len(b) {
			t.Fatalf("%T: need %d of %d", f, FrameLen(b), len(b))
		}
	}
}

// TestFlippedBits checks that Decode rejects a frame with any single bit inverted after the length field.
func TestFlippedBits(t *testing.T) {
	for _, f := range samples {
		b := Append(nil, f)
		for bit := lengthBytes * 8; bit < len(b)*8; bit++ {
			b[bit/8] ^= 1 << (bit % 8)
			if _, _, err := Decode(b); err == nil || errors.Is(err, ErrShort) {
				t.Fatalf("%T: bit %d flipped: %v, want an error other than ErrShort", f, bit, err)
			}
			b[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// TestInvalidFrames checks that the error of an invalid frame names its fault.
func TestInvalidFrames(t *testing.T) {
	sealed := func(body ...byte) []byte { return finishFrame(append([]byte{0, 0, 0, 0}, body...), 0) }
	for _, c := range []struct {
		name, want string
		b          []byte
	}{
		{"huge", "expected 5 to", []byte{255, 255, 255, 255}},
		{"empty", "expected 5 to", []byte{0, 0, 0, 0}},
		{"kind", "kind unknown", sealed(99)},
		{"short body", "ends", sealed(byte(KindCancel), 1, 2)},
		{"left over", "left over", sealed(byte(KindProbe), 1, 2, 3, 4, 5, 6, 7, 8, 9)},
		{"magic", "opens with", sealed(byte(KindHello), 1, 2, 3, 4, 1, 0, 0, 0, 0, 0, 0, 0)},
		{"op", "operation", Append(nil, &Request{Op: 9})},
		{"result", "result", Append(nil, &Answer{Result: 9})},
		{"range", "range", Append(nil, &Request{Op: Read, Length: MaxPayload + 1})},
	} {
		_, _, err := Decode(c.b)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// FuzzDecode checks that a frame that is decoded encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		f.Add(Append(nil, s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, n, err := Decode(b)
		if err != nil {
			return
		}
		if n > len(b) || !reflect.DeepEqual(Append(nil, v), b[:n]) {
			t.Fatalf("%+v: encoded differently from the input", v)
		}
	})
}
