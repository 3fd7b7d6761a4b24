// Package wheel implements a hierarchical timing wheel: timers are added and cancelled in constant time, independent
// of their number. It runs no goroutine and reads no clock; the host's loop advances it. It follows G. Varghese and
// T. Lauck, "Hashed and Hierarchical Timing Wheels", SOSP 1987, scheme 7, with a bitmap per level so that the next
// expiry is found without scanning the slots.
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
	value       T
	due         int64 // tick at which it is due
	prev, next  *Timer[T]
	level, slot int8 // list that contains it; level -1: none
}

// Wheel holds timers. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick     time.Duration
	now      int64 // current time in ticks
	count    int
	occupied [levels]uint64
	heads    [levels][slots]*Timer[T] // heads of doubly linked lists
}

// New returns an empty wheel with the current time now. A timer never fires before its time, and at most one tick
// after it. The tick must be positive.
func New[T any](tick, now time.Duration) *Wheel[T] {
	if tick <= 0 {
		panic("wheel: tick must be positive")
	}
	return &Wheel[T]{tick: tick, now: int64(now / tick)}
}

// Len returns the number of timers that have neither fired nor been cancelled.
func (w *Wheel[T]) Len() int { return w.count }

// Add adds a timer. A timer whose time has passed is due at the next Advance.
func (w *Wheel[T]) Add(at time.Duration, value T) *Timer[T] {
	due := int64(at / w.tick)
	if time.Duration(due)*w.tick < at {
		due++
	}
	t := &Timer[T]{value: value, due: max(due, w.now+1)}
	if at <= time.Duration(w.now)*w.tick {
		t.due = w.now // due at once
	}
	w.insert(t)
	w.count++
	return t
}

// insert adds a timer to the list of its slot. The level is that of the highest digit (base 64) in which its time
// differs from the current time.
func (w *Wheel[T]) insert(t *Timer[T]) {
	at, level := t.due, 0
	if diff := uint64(at ^ w.now); diff != 0 {
		level = (bits.Len64(diff) - 1) / slotBits
	}
	if level >= levels { // beyond the range of the wheel: goes to the last slot and is inserted again there
		level = levels - 1
		at = w.now | (1<<(levels*slotBits) - 1)
	}
	slot := int(at>>(level*slotBits)) & slotMask
	t.level, t.slot, t.prev = int8(level), int8(slot), nil
	t.next = w.heads[level][slot]
	if t.next != nil {
		t.next.prev = t
	}
	w.heads[level][slot] = t
	w.occupied[level] |= 1 << slot
}

// Cancel removes a timer. It returns false if the timer has fired or was already cancelled.
func (w *Wheel[T]) Cancel(t *Timer[T]) bool {
	if t == nil || t.level < 0 {
		return false
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.heads[t.level][t.slot] = t.next
		if t.next == nil {
			w.occupied[t.level] &^= 1 << t.slot
		}
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.level, t.prev, t.next = -1, nil, nil
	w.count--
	return true
}

// Next returns a time before which no timer is due, so that the caller can sleep until then; false if there are no
// timers. It is exact for timers less than 64 ticks away, otherwise it is the start of the slot of the next timer.
func (w *Wheel[T]) Next() (time.Duration, bool) {
	tick, ok := w.nextTick()
	return time.Duration(tick) * w.tick, ok
}

func (w *Wheel[T]) nextTick() (int64, bool) {
	for level := range levels {
		at := int(w.now>>(level*slotBits)) & slotMask
		if ahead := w.occupied[level] >> at << at; ahead != 0 {
			slot := int64(bits.TrailingZeros64(ahead))
			base := w.now >> ((level + 1) * slotBits) << ((level + 1) * slotBits)
			return max(w.now, base+slot<<(level*slotBits)), true
		}
	}
	return 0, false
}

// Advance sets the current time to now and calls fire for each timer that is due, in order of time; the order within
// one tick is unspecified. fire may add and cancel timers.
func (w *Wheel[T]) Advance(now time.Duration, fire func(T)) {
	target := int64(now / w.tick)
	for {
		next, ok := w.nextTick()
		if !ok || next > target {
			break
		}
		w.now = max(w.now, next)
		w.cascade()
		for head := w.heads[0][w.now&slotMask]; head != nil; head = w.heads[0][w.now&slotMask] {
			w.Cancel(head)
			fire(head.value)
		}
	}
	w.now = max(w.now, target)
	w.cascade()
}

// cascade moves the timers of each slot that the current time has entered to lower levels.
func (w *Wheel[T]) cascade() {
	for level := levels - 1; level > 0; level-- {
		slot := int(w.now>>(level*slotBits)) & slotMask
		if w.occupied[level]&(1<<slot) == 0 {
			continue
		}
		head := w.heads[level][slot]
		w.heads[level][slot] = nil
		w.occupied[level] &^= 1 << slot
		for head != nil {
			next := head.next
			w.insert(head)
			head = next
		}
	}
}
