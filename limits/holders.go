package limits

import (
	"math/bits"
	"time"
)

// Holder is a connection in Holders: what it holds, and since when. Its owner changes it by Holders.Set only.
type Holder[T any] struct {
	Owner          T
	previous, next *Holder[T]
	class          int
	bytes          int
	since          time.Duration
}

// holderClasses is the number of classes by size: one for each power of two.
const holderClasses = 32

// Holders finds the connection that has to give up what it holds when memory is short, without looking at all of them. They
// are kept by the size of what they hold, those of a size in the order in which they reached it. The zero Holders is empty.
type Holders[T any] struct {
	first, last [holderClasses]*Holder[T]
	length      int
}

// Len returns the number of connections that hold anything.
func (h *Holders[T]) Len() int { return h.length }

// Count returns 1 if the connection holds anything, otherwise 0.
func (x *Holder[T]) Count() int { return min(1, x.class) }

// Set records what a connection holds now. At 0 it leaves the order.
func (h *Holders[T]) Set(x *Holder[T], bytes int, now time.Duration) {
	class := min(bits.Len(uint(bytes)), holderClasses-1)
	x.bytes = bytes
	if class == x.class {
		return
	}
	h.length -= x.Count()
	if x.class > 0 {
		h.remove(x)
	}
	x.class, x.since = class, now
	h.length += x.Count()
	if class > 0 {
		h.add(x)
	}
}

func (h *Holders[T]) remove(x *Holder[T]) {
	if x.previous != nil {
		x.previous.next = x.next
	} else {
		h.first[x.class] = x.next
	}
	if x.next != nil {
		x.next.previous = x.previous
	} else {
		h.last[x.class] = x.previous
	}
	x.previous, x.next = nil, nil
}

func (h *Holders[T]) add(x *Holder[T]) {
	if x.previous = h.last[x.class]; x.previous != nil {
		x.previous.next = x
	} else {
		h.first[x.class] = x
	}
	h.last[x.class] = x
}

// Worst returns the connection with the highest MemoryRank, to within the size of a class; nil: none holds anything. It
// looks at one connection of each size.
func (h *Holders[T]) Worst(now time.Duration) (worst *Holder[T]) {
	highest := -1.0
	for _, x := range h.first {
		if x == nil {
			continue
		}
		if rank := x.Rank(now); rank > highest {
			worst, highest = x, rank
		}
	}
	return worst
}

// Rank returns the MemoryRank of the connection.
func (x *Holder[T]) Rank(now time.Duration) float64 { return MemoryRank(x.bytes, now-x.since) }

// RankWith returns the rank that the connection would have with further bytes.
func (x *Holder[T]) RankWith(more int, now time.Duration) float64 {
	since := now
	if x.class > 0 {
		since = x.since
	}
	return MemoryRank(x.bytes+more, now-since)
}
