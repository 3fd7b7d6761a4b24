// Package wheel is a hierarchical timing wheel: timers are added and cancelled
// in constant time, however many there are. It holds no goroutine and reads no
// clock; the host loop advances it. After G. Varghese and T. Lauck, "Hashed and
// Hierarchical Timing Wheels", SOSP 1987, scheme 7, with a bit map a level so
// that the next expiry is found without a walk.
package wheel

import (
	"math/bits"
	"time"
)

const (
	levels   = 7
	slotBits = 6
	slots    = 1 << slotBits
	slotMask = slots - 1
)

// Timer is one entry of a wheel. It may be cancelled until it has fired.
type Timer[T any] struct {
	value      T
	at         int64 // tick at which it is due
	prev, next *Timer[T]
	level, pos int8 // where it is linked; level -1: not linked
}

// Wheel holds timers. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick  time.Duration
	now   int64 // ticks passed
	count int
	bits  [levels]uint64
	slot  [levels][slots]*Timer[T] // heads of doubly linked lists
}

// New returns an empty wheel whose time stands at now. A timer never fires
// before its time, and at most one tick after it. The tick must be positive.
func New[T any](tick, now time.Duration) *Wheel[T] {
	if tick <= 0 {
		panic("wheel: tick must be positive")
	}
	return &Wheel[T]{tick: tick, now: int64(now / tick)}
}

// Len is the number of timers that have neither fired nor been cancelled.
func (w *Wheel[T]) Len() int { return w.count }

// Add sets a timer. A time that has passed is due at the next Advance.
func (w *Wheel[T]) Add(at time.Duration, value T) *Timer[T] {
	due := int64(at / w.tick)
	if time.Duration(due)*w.tick < at {
		due++
	}
	t := &Timer[T]{value: value, at: max(due, w.now+1)}
	if at <= time.Duration(w.now)*w.tick {
		t.at = w.now // due at once
	}
	w.link(t)
	w.count++
	return t
}

// link puts a timer where its distance wants it: the level is that of the highest
// digit (base 64) in which its time differs from the present.
func (w *Wheel[T]) link(t *Timer[T]) {
	at, level := t.at, 0
	if diff := uint64(at ^ w.now); diff != 0 {
		level = (bits.Len64(diff) - 1) / slotBits
	}
	if level >= levels { // beyond the horizon: parked in the last slot, looked at again there
		level = levels - 1
		at = w.now | (1<<(levels*slotBits) - 1)
	}
	pos := int(at>>(level*slotBits)) & slotMask
	t.level, t.pos, t.prev = int8(level), int8(pos), nil
	t.next = w.slot[level][pos]
	if t.next != nil {
		t.next.prev = t
	}
	w.slot[level][pos] = t
	w.bits[level] |= 1 << pos
}

// Cancel takes a timer back. It reports false if the timer has fired or was
// cancelled before.
func (w *Wheel[T]) Cancel(t *Timer[T]) bool {
	if t == nil || t.level < 0 {
		return false
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.slot[t.level][t.pos] = t.next
		if t.next == nil {
			w.bits[t.level] &^= 1 << t.pos
		}
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.level, t.prev, t.next = -1, nil, nil
	w.count--
	return true
}

// Next is a time before which no timer is due, to sleep until; false if there is
// none. It is exact for timers less than 64 ticks away and else the start of the
// slot in which the next one lies.
func (w *Wheel[T]) Next() (time.Duration, bool) {
	tick, ok := w.nextTick()
	return time.Duration(tick) * w.tick, ok
}

func (w *Wheel[T]) nextTick() (int64, bool) {
	for level := range levels {
		at := int(w.now>>(level*slotBits)) & slotMask
		if ahead := w.bits[level] >> at << at; ahead != 0 {
			pos := int64(bits.TrailingZeros64(ahead))
			base := w.now >> ((level + 1) * slotBits) << ((level + 1) * slotBits)
			return max(w.now, base+pos<<(level*slotBits)), true
		}
	}
	return 0, false
}

// Advance moves the time on to now and hands over each timer that is due, in
// order of time (at one tick, in no stated order). fire may add and cancel timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	target := int64(now / w.tick)
	for {
		next, ok := w.nextTick()
		if !ok || next > target {
			break
		}
		w.now = max(w.now, next)
		w.cascade()
		for head := w.slot[0][w.now&slotMask]; head != nil; head = w.slot[0][w.now&slotMask] {
			w.Cancel(head)
			fire(head.value)
		}
	}
	w.now = max(w.now, target)
	w.cascade()
}

// cascade links the timers of the slots that the present has entered anew, one
// level lower or more.
func (w *Wheel[T]) cascade() {
	for level := levels - 1; level > 0; level-- {
		pos := int(w.now>>(level*slotBits)) & slotMask
		if w.bits[level]&(1<<pos) == 0 {
			continue
		}
		head := w.slot[level][pos]
		w.slot[level][pos] = nil
		w.bits[level] &^= 1 << pos
		for head != nil {
			next := head.next
			w.link(head)
			head = next
		}
	}
}
