package rsync

import (
	"encoding/binary"
	"hash"
	"math/bits"

	//lint:ignore SA1019 MD4 is the digest of rsync protocol 29.
	"golang.org/x/crypto/md4"
)

// sumHeader describes how a file is divided into blocks.
type sumHeader struct {
	count      int32 // number of blocks
	blockSize  int32 // bytes of a block
	strongSize int32 // transmitted bytes of each strong sum
	remainder  int32 // bytes of the last block if it is shorter, else 0
}

// valid reports whether the values are possible and within the limits.
func (h sumHeader) valid() bool {
	return h.count >= 0 && h.count <= maxBlockSums && h.blockSize >= 0 && h.blockSize <= maxBlockBytes &&
		h.strongSize >= 0 && h.strongSize <= md4.Size && h.remainder >= 0 && h.remainder <= h.blockSize &&
		(h.count == 0 || h.blockSize > 0)
}

// blockLen returns the length of block i.
func (h sumHeader) blockLen(i int32) int {
	if i == h.count-1 && h.remainder != 0 {
		return int(h.remainder)
	}
	return int(h.blockSize)
}

// fileSize returns the length of the whole file.
func (h sumHeader) fileSize() int64 {
	if h.count == 0 {
		return 0
	}
	return int64(h.count-1)*int64(h.blockSize) + int64(h.blockLen(h.count-1))
}

// chooseBlocks divides a file of the given size into blocks of about the square root of its length, with
// as many bytes of the strong sum as make a false match unlikely. fullSums requests all 16 bytes, for a
// file whose first transfer had a wrong checksum.
func chooseBlocks(size int64, fullSums bool) sumHeader {
	if size <= 0 {
		return sumHeader{}
	}
	const minBlock, maxBlock = 700, 1 << 17
	block := int64(minBlock)
	if size > minBlock*minBlock {
		root := int64(1)
		for root*root < size {
			root <<= 1
		}
		for bit := root >> 1; bit >= 8; bit >>= 1 {
			if r := root - bit; r*r >= size {
				root = r
			}
		}
		block = min(max(minBlock, root&^7), maxBlock)
	}
	strong := md4.Size
	if !fullSums {
		b := 10 + 2*(bits.Len64(uint64(size))-1) - (bits.Len64(uint64(block)) - 1)
		strong = min(max((b+1-32+7)/8, 2), md4.Size)
	}
	return sumHeader{count: int32((size + block - 1) / block), blockSize: int32(block), strongSize: int32(strong),
		remainder: int32(size % block)}
}

func (s *Session) writeSumHeader(h sumHeader) {
	s.writeInt(h.count)
	s.writeInt(h.blockSize)
	s.writeInt(h.strongSize)
	s.writeInt(h.remainder)
}

func (s *Session) readSumHeader() sumHeader {
	h := sumHeader{count: s.readInt(), blockSize: s.readInt(), strongSize: s.readInt(), remainder: s.readInt()}
	if !h.valid() {
		fail("block sums: %d blocks of %d bytes, the last of %d, sums of %d bytes", h.count, h.blockSize, h.remainder, h.strongSize)
	}
	return h
}

// rollingSum is the rolling checksum of section 2.2 of the technical report, over signed bytes.
type rollingSum struct{ a, b uint32 }

func newRollingSum(p []byte) (w rollingSum) {
	for _, c := range p {
		w.a += uint32(int32(int8(c)))
		w.b += w.a
	}
	return w
}

func (w rollingSum) sum() uint32 { return w.a&0xffff + w.b<<16 }

// roll moves the window of n bytes forward by one byte.
func (w *rollingSum) roll(n int, out, in byte) {
	o := uint32(int32(int8(out)))
	w.a += uint32(int32(int8(in))) - o
	w.b += w.a - uint32(n)*o
}

// dropFirst removes the first byte of a window of n bytes.
func (w *rollingSum) dropFirst(n int, out byte) {
	o := uint32(int32(int8(out)))
	w.a -= o
	w.b -= uint32(n) * o
}

// strongSum returns the strong sum of a block: MD4 over the block followed by the seed.
func strongSum(h hash.Hash, p []byte, seed uint32, to []byte) []byte {
	h.Reset()
	h.Write(p)
	var tail [4]byte
	binary.LittleEndian.PutUint32(tail[:], seed)
	h.Write(tail[:])
	return h.Sum(to[:0])
}

// newFileHash returns the hash for a whole file: MD4 over the seed followed by the file.
func newFileHash(seed uint32) hash.Hash {
	h := md4.New()
	var head [4]byte
	binary.LittleEndian.PutUint32(head[:], seed)
	h.Write(head[:])
	return h
}

// blockIndex looks up blocks by their rolling sum, with chains of blocks in each bucket.
type blockIndex struct {
	header     sumHeader
	weakSums   []uint32
	strongSums []byte // header.strongSize bytes per block
	first      []int32
	next       []int32
	seed       uint32
	hash       hash.Hash
	buf        [md4.Size]byte
}

const indexBuckets = 1 << 16

func bucketOf(sum uint32) int { return int((sum + sum>>16) & (indexBuckets - 1)) }

// readBlockSums reads a client's block sums.
func (s *Session) readBlockSums() *blockIndex {
	x := &blockIndex{header: s.readSumHeader(), seed: s.seed, hash: md4.New()}
	h := x.header
	if h.count == 0 {
		return x
	}
	x.first = make([]int32, indexBuckets)
	for i := range x.first {
		x.first[i] = -1
	}
	for i := range h.count {
		sum := uint32(s.readInt())
		x.weakSums = append(x.weakSums, sum)
		x.strongSums = append(x.strongSums, s.readN(int(h.strongSize))...)
		bucket := bucketOf(sum)
		x.next = append(x.next, x.first[bucket])
		x.first[bucket] = i
	}
	return x
}

// find returns a block with the content p, or -1. Among several it returns preferred if that matches.
func (x *blockIndex) find(sum uint32, p []byte, preferred int32) int32 {
	found := int32(-1)
	hashed := false
	for i := x.first[bucketOf(sum)]; i >= 0; i = x.next[i] {
		if x.weakSums[i] != sum || x.header.blockLen(i) != len(p) {
			continue
		}
		if !hashed {
			strongSum(x.hash, p, x.seed, x.buf[:])
			hashed = true
		}
		k := int(x.header.strongSize)
		if string(x.buf[:k]) == string(x.strongSums[int(i)*k:int(i)*k+k]) {
			found = i
			if i == preferred {
				return i
			}
		}
	}
	return found
}
