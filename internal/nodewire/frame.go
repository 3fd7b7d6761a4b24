// Package nodewire encodes and decodes the protocol between a gateway and a storage node: frames over one TCP
// connection, with answers in any order. It does no I/O. docs/node-protocol.md specifies the format byte by byte.
// Package backend and the stand-in node use it; other packages use its operations, results and limits.
package nodewire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// Version is the protocol version that a Hello announces. Version 2 added bytes used and capacity to load reports,
// and the result NoRoom.
const Version = 2

// Magic is the first field of a Hello.
const Magic = 0x45484e57 // "EHNW"

// Sizes and limits of a frame. Exceeding a limit is a protocol error of the sender.
const (
	MaxPayload    = 4 << 20            // bytes of data in a frame
	MaxText       = 1 << 10            // bytes of a name or an error text
	MaxFrame      = MaxPayload + 8<<10 // bytes of a frame after its length field
	lengthBytes   = 4                  // the length field
	checksumBytes = 4                  // the checksum at the end
)

// ErrShort is returned by Decode if the frame is incomplete and more bytes are needed.
var ErrShort = errors.New("nodewire: frame is incomplete")

// Kind is the kind of a frame, its first byte after the length field.
type Kind uint8

// The kinds of frame.
const (
	KindHello   Kind = 1 // first frame of either side
	KindRequest Kind = 2 // gateway to node
	KindAnswer  Kind = 3 // node to gateway
	KindCancel  Kind = 4 // gateway to node: the answer is no longer needed
	KindProbe   Kind = 5 // gateway to node
	KindProbed  Kind = 6 // node to gateway
	lastKind         = KindProbed
)

// Op is the operation of a request.
type Op uint8

// The operations.
const (
	Read   Op = 1 // returns a range of bytes of an item
	Write  Op = 2 // stores a whole item, which must not exist with different content
	Delete Op = 3 // removes an item, if it exists
	lastOp    = Delete
)

// Result is the result of a request at the node.
type Result uint8

// The results of an answer.
const (
	Done       Result = 0
	Error      Result = 1 // the request may have been executed
	Busy       Result = 2 // refused as overloaded or draining: the request was not executed
	Missing    Result = 3 // the node has no such item
	NoRoom     Result = 4 // refused for want of space for the item: the request was not executed
	lastResult        = NoRoom
)

// Hello is the first frame that either side sends.
type Hello struct {
	Version uint16
	Name    string // name of the gateway, or id of the node
	Shard   int32  // the shard that the node holds; -1 from a gateway
}

// Request asks the node for one operation. ID is unique on its connection. Ref and Attempt identify the gateway's
// request and the attempt at it, for logs and audit.
type Request struct {
	ID         uint64
	Ref        uint64
	Attempt    uint8
	Op         Op
	Class      string
	Volume     string
	Item       string
	Key        string // key of a keyed request; empty: none
	MilliUnits uint32
	Offset     uint64 // offset in the item of the first byte to read
	Length     uint32 // number of bytes to read
	LeftMicros uint32 // microseconds until the client's deadline; 0: unknown
	Payload    []byte // content of a Write; a slice of the decoded buffer
}

// Answer is the answer to a request, with the node's load report.
type Answer struct {
	ID               uint64
	Result           Result
	VolumeUse        uint16 // 1 + percent of the volume's nominal rate that is in use; 0: unknown
	OthersMilliUnits uint32 // milli-units served for the volume through other gateways since the last answer
	Queue            uint32 // load report: requests waiting
	LatencyUs        uint32 // load report: recent service time
	Used             uint64 // load report: bytes that the shard holds
	Capacity         uint64 // load report: capacity of the shard in bytes; 0: unknown
	Shard            int32  // shard of the answering node
	Text             string // cause of an error
	Payload          []byte // content of a Read; a slice of the decoded buffer
}

// Cancel says that the answer to a request is no longer needed.
type Cancel struct{ ID uint64 }

// Probe asks for a load report.
type Probe struct{ ID uint64 }

// Probed answers a probe.
type Probed struct {
	ID        uint64
	Queue     uint32
	LatencyUs uint32
	Used      uint64
	Capacity  uint64
}

// Frame is one of Hello, Request, Answer, Cancel, Probe and Probed.
type Frame any

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// beginFrame appends room for the length and the kind, and returns the offset of the frame.
func beginFrame(b []byte, k Kind) ([]byte, int) {
	at := len(b)
	return append(b, 0, 0, 0, 0, byte(k)), at
}

// finishFrame appends the checksum and sets the length of the frame at an offset.
func finishFrame(b []byte, at int) []byte {
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at+lengthBytes:], castagnoli))
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-lengthBytes))
	return b
}

func appendText(b []byte, s string) []byte {
	if len(s) > MaxText {
		s = s[:MaxText]
	}
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
}

// Append appends the encoding of a frame to b. Texts longer than MaxText are truncated; the payload must not be
// longer than MaxPayload.
func Append(b []byte, f Frame) []byte {
	le := binary.LittleEndian
	switch f := f.(type) {
	case *Hello:
		b, at := beginFrame(b, KindHello)
		b = le.AppendUint32(b, Magic)
		b = le.AppendUint16(b, f.Version)
		b = le.AppendUint32(b, uint32(f.Shard))
		return finishFrame(appendText(b, f.Name), at)
	case *Request:
		b, at := beginFrame(b, KindRequest)
		b = le.AppendUint64(b, f.ID)
		b = le.AppendUint64(b, f.Ref)
		b = append(b, f.Attempt, byte(f.Op))
		b = le.AppendUint32(b, f.MilliUnits)
		b = le.AppendUint64(b, f.Offset)
		b = le.AppendUint32(b, f.Length)
		b = le.AppendUint32(b, f.LeftMicros)
		for _, s := range [...]string{f.Class, f.Volume, f.Item, f.Key} {
			b = appendText(b, s)
		}
		b = le.AppendUint32(b, uint32(len(f.Payload)))
		return finishFrame(append(b, f.Payload...), at)
	case *Answer:
		b, at := beginFrame(b, KindAnswer)
		b = le.AppendUint64(b, f.ID)
		b = append(b, byte(f.Result))
		b = le.AppendUint16(b, f.VolumeUse)
		b = le.AppendUint32(b, f.OthersMilliUnits)
		b = le.AppendUint32(b, f.Queue)
		b = le.AppendUint32(b, f.LatencyUs)
		b = le.AppendUint64(b, f.Used)
		b = le.AppendUint64(b, f.Capacity)
		b = le.AppendUint32(b, uint32(f.Shard))
		b = appendText(b, f.Text)
		b = le.AppendUint32(b, uint32(len(f.Payload)))
		return finishFrame(append(b, f.Payload...), at)
	case *Cancel:
		b, at := beginFrame(b, KindCancel)
		return finishFrame(le.AppendUint64(b, f.ID), at)
	case *Probe:
		b, at := beginFrame(b, KindProbe)
		return finishFrame(le.AppendUint64(b, f.ID), at)
	case *Probed:
		b, at := beginFrame(b, KindProbed)
		b = le.AppendUint64(b, f.ID)
		b = le.AppendUint32(b, f.Queue)
		b = le.AppendUint32(b, f.LatencyUs)
		b = le.AppendUint64(b, f.Used)
		return finishFrame(le.AppendUint64(b, f.Capacity), at)
	}
	panic(fmt.Sprintf("nodewire: %T is not a type of frame", f))
}

// FrameLen returns the number of bytes of the frame at the start of b, at most that of the longest valid frame, or 4 if
// b does not contain the whole length field.
func FrameLen(b []byte) int {
	if len(b) < lengthBytes {
		return lengthBytes
	}
	return lengthBytes + int(min(binary.LittleEndian.Uint32(b), MaxFrame))
}

// Decode decodes the frame at the start of b and returns it with its number of bytes. After any error other than
// ErrShort the connection cannot be used further. Payloads are slices of b.
func Decode(b []byte) (Frame, int, error) {
	if len(b) < lengthBytes {
		return nil, 0, ErrShort
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size > MaxFrame || size < 1+checksumBytes {
		return nil, 0, fmt.Errorf("nodewire: frame of %d bytes: expected %d to %d", size, 1+checksumBytes, MaxFrame)
	}
	if len(b) < lengthBytes+size {
		return nil, 0, ErrShort
	}
	body := b[lengthBytes : lengthBytes+size]
	sum := binary.LittleEndian.Uint32(body[size-checksumBytes:])
	body = body[:size-checksumBytes]
	if got := crc32.Checksum(body, castagnoli); got != sum {
		return nil, 0, fmt.Errorf("nodewire: frame of kind %d: checksum %08x, its bytes have %08x", body[0], sum, got)
	}
	d := decoder{b: body[1:]}
	f := d.frame(Kind(body[0]))
	if d.err == nil && len(d.b) != 0 {
		d.err = fmt.Errorf("%d bytes left over", len(d.b))
	}
	if d.err != nil {
		return nil, 0, fmt.Errorf("nodewire: frame of kind %d: %w", body[0], d.err)
	}
	return f, lengthBytes + size, nil
}

// decoder reads values from the start of b. After an error it keeps the error and returns zero values.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) take(n int) []byte {
	if d.err == nil && len(d.b) < n {
		d.err = fmt.Errorf("ends %d bytes early", n-len(d.b))
	}
	if d.err != nil {
		return make([]byte, min(n, 8))
	}
	v := d.b[:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) u8() uint8   { return d.take(1)[0] }
func (d *decoder) u16() uint16 { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32 { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }

func (d *decoder) text(field string) string {
	n := int(d.u16())
	if n > MaxText && d.err == nil {
		d.err = fmt.Errorf("%s of %d bytes: at most %d", field, n, MaxText)
	}
	if d.err != nil {
		return ""
	}
	return string(d.take(n))
}

func (d *decoder) payload() []byte {
	n := d.u32()
	if n > MaxPayload && d.err == nil {
		d.err = fmt.Errorf("payload of %d bytes: at most %d", n, MaxPayload)
	}
	if d.err != nil || n == 0 {
		return nil
	}
	return d.take(int(n))
}

func (d *decoder) frame(k Kind) Frame {
	switch k {
	case KindHello:
		if m := d.u32(); m != Magic && d.err == nil {
			d.err = fmt.Errorf("hello opens with %08x: expected %08x", m, Magic)
		}
		return &Hello{Version: d.u16(), Shard: int32(d.u32()), Name: d.text("name")}
	case KindRequest:
		r := &Request{ID: d.u64(), Ref: d.u64(), Attempt: d.u8(), Op: Op(d.u8()), MilliUnits: d.u32(),
			Offset: d.u64(), Length: d.u32(), LeftMicros: d.u32(), Class: d.text("class"),
			Volume: d.text("volume"), Item: d.text("item"), Key: d.text("key"), Payload: d.payload()}
		if d.err == nil && (r.Op < Read || r.Op > lastOp) {
			d.err = fmt.Errorf("operation %d is unknown", r.Op)
		}
		if d.err == nil && (r.Length > MaxPayload || r.Offset > math.MaxInt64-MaxPayload) {
			d.err = fmt.Errorf("range %d+%d: at most %d bytes a request", r.Offset, r.Length, MaxPayload)
		}
		return r
	case KindAnswer:
		a := &Answer{ID: d.u64(), Result: Result(d.u8()), VolumeUse: d.u16(), OthersMilliUnits: d.u32(),
			Queue: d.u32(), LatencyUs: d.u32(), Used: d.u64(), Capacity: d.u64(), Shard: int32(d.u32()), Text: d.text("text"), Payload: d.payload()}
		if d.err == nil && a.Result > lastResult {
			d.err = fmt.Errorf("result %d is unknown", a.Result)
		}
		return a
	case KindCancel:
		return &Cancel{ID: d.u64()}
	case KindProbe:
		return &Probe{ID: d.u64()}
	case KindProbed:
		return &Probed{ID: d.u64(), Queue: d.u32(), LatencyUs: d.u32(), Used: d.u64(), Capacity: d.u64()}
	}
	d.err = fmt.Errorf("kind unknown: expected %d to %d", KindHello, lastKind)
	return nil
}
