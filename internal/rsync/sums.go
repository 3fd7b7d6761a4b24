package rsync

import (
	"encoding/binary"
	"hash"
	"math/bits"

	"golang.org/x/crypto/md4"
)

// sumHead says how a file was parted into blocks.
type sumHead struct {
	count     int32 // blocks
	block     int32 // bytes of a block
	strong    int32 // bytes of a strong sum that are sent
	remainder int32 // bytes of the last block, if it is shorter
}

// check names what cannot be.
func (h sumHead) check() bool {
	return h.count >= 0 && h.count <= maxSums && h.block >= 0 && h.block <= maxBlock &&
		h.strong >= 0 && h.strong <= md4.Size && h.remainder >= 0 && h.remainder <= h.block &&
		(h.count == 0 || h.block > 0)
}

// size is the length of block i.
func (h sumHead) size(i int32) int {
	if i == h.count-1 && h.remainder != 0 {
		return int(h.remainder)
	}
	return int(h.block)
}

// bytes is the length of the whole file.
func (h sumHead) bytes() int64 {
	if h.count == 0 {
		return 0
	}
	return int64(h.count-1)*int64(h.block) + int64(h.size(h.count-1))
}

// blocksOf parts a file of so many bytes: blocks of about the square root of its
// length, and as many bytes of the strong sum as make a false match unlikely. whole
// asks for all 16, after a file came out wrong.
func blocksOf(size int64, whole bool) sumHead {
	if size <= 0 {
		return sumHead{}
	}
	const least, most = 700, 1 << 17
	block := int64(least)
	if size > least*least {
		root := int64(1)
		for root*root < size {
			root <<= 1
		}
		for bit := root >> 1; bit >= 8; bit >>= 1 {
			if r := root - bit; r*r >= size {
				root = r
			}
		}
		block = min(max(least, root&^7), most)
	}
	strong := md4.Size
	if !whole {
		b := 10 + 2*(bits.Len64(uint64(size))-1) - (bits.Len64(uint64(block)) - 1)
		strong = min(max((b+1-32+7)/8, 2), md4.Size)
	}
	return sumHead{count: int32((size + block - 1) / block), block: int32(block), strong: int32(strong),
		remainder: int32(size % block)}
}

func (s *Session) writeSumHead(h sumHead) {
	s.writeInt(h.count)
	s.writeInt(h.block)
	s.writeInt(h.strong)
	s.writeInt(h.remainder)
}

func (s *Session) readSumHead() sumHead {
	h := sumHead{count: s.readInt(), block: s.readInt(), strong: s.readInt(), remainder: s.readInt()}
	if !h.check() {
		fail("block sums: %d blocks of %d bytes, the last of %d, sums of %d bytes", h.count, h.block, h.remainder, h.strong)
	}
	return h
}

// weak is the rolling checksum of section 2.2 of the technical report, over signed
// bytes.
type weak struct{ a, b uint32 }

func weakOf(p []byte) (w weak) {
	for _, c := range p {
		w.a += uint32(int32(int8(c)))
		w.b += w.a
	}
	return w
}

func (w weak) sum() uint32 { return w.a&0xffff + w.b<<16 }

// roll moves the window of n bytes on by one.
func (w *weak) roll(n int, out, in byte) {
	o := uint32(int32(int8(out)))
	w.a += uint32(int32(int8(in))) - o
	w.b += w.a - uint32(n)*o
}

// drop takes the first byte of a window of n bytes away.
func (w *weak) drop(n int, out byte) {
	o := uint32(int32(int8(out)))
	w.a -= o
	w.b -= uint32(n) * o
}

// strongOf is the strong sum of a block: MD4 with the seed behind.
func strongOf(h hash.Hash, p []byte, seed uint32, to []byte) []byte {
	h.Reset()
	h.Write(p)
	var tail [4]byte
	binary.LittleEndian.PutUint32(tail[:], seed)
	h.Write(tail[:])
	return h.Sum(to[:0])
}

// fileHash is the sum of a whole file: MD4 with the seed before.
func fileHash(seed uint32) hash.Hash {
	h := md4.New()
	var head [4]byte
	binary.LittleEndian.PutUint32(head[:], seed)
	h.Write(head[:])
	return h
}

// index finds blocks by their weak sum.
type index struct {
	head   sumHead
	weak   []uint32
	strong []byte // head.strong bytes a block
	first  []int32
	next   []int32
	seed   uint32
	hash   hash.Hash
	buf    [md4.Size]byte
}

const indexSize = 1 << 16

func slotOf(sum uint32) int { return int((sum + sum>>16) & (indexSize - 1)) }

// readSums takes a client's block sums.
func (s *Session) readSums() *index {
	x := &index{head: s.readSumHead(), seed: s.seed, hash: md4.New()}
	h := x.head
	if h.count == 0 {
		return x
	}
	x.first = make([]int32, indexSize)
	for i := range x.first {
		x.first[i] = -1
	}
	for i := range h.count {
		sum := uint32(s.readInt())
		x.weak = append(x.weak, sum)
		x.strong = append(x.strong, s.need(int(h.strong))...)
		slot := slotOf(sum)
		x.next = append(x.next, x.first[slot])
		x.first[slot] = i
	}
	return x
}

// find returns the block that p is, or -1. Of equal ones it prefers want.
func (x *index) find(sum uint32, p []byte, want int32) int32 {
	found := int32(-1)
	hashed := false
	for i := x.first[slotOf(sum)]; i >= 0; i = x.next[i] {
		if x.weak[i] != sum || x.head.size(i) != len(p) {
			continue
		}
		if !hashed {
			strongOf(x.hash, p, x.seed, x.buf[:])
			hashed = true
		}
		k := int(x.head.strong)
		if string(x.buf[:k]) == string(x.strong[int(i)*k:int(i)*k+k]) {
			found = i
			if i == want {
				return i
			}
		}
	}
	return found
}
