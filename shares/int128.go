package shares

import (
	"math/big"
	"math/bits"
)

// Value is a signed number of 128 bits, two's complement: the value of an answer, in
// micro-worth times milli-units times the denominator of spare_worth. The ceilings of
// Problem.Check keep every sum within it.
type Value struct {
	hi int64
	lo uint64
}

// least is below every value that an answer can have.
var least = Value{hi: -1 << 63}

func valueOf(x int64) Value { return Value{hi: x >> 63, lo: uint64(x)} }

// Add returns v + w.
func (v Value) Add(w Value) Value {
	lo, carry := bits.Add64(v.lo, w.lo, 0)
	return Value{hi: v.hi + w.hi + int64(carry), lo: lo}
}

// Neg returns -v.
func (v Value) Neg() Value {
	lo, borrow := bits.Sub64(0, v.lo, 0)
	return Value{hi: -v.hi - int64(borrow), lo: lo}
}

// Sub returns v - w.
func (v Value) Sub(w Value) Value { return v.Add(w.Neg()) }

// times returns v x k, k not negative; the product must fit.
func (v Value) times(k int64) Value {
	if v.hi < 0 {
		return v.Neg().times(k).Neg()
	}
	hi, lo := bits.Mul64(v.lo, uint64(k))
	return Value{hi: int64(hi) + v.hi*k, lo: lo}
}

// Cmp is -1, 0 or 1 as v is less than, equal to or more than w.
func (v Value) Cmp(w Value) int {
	switch {
	case v.hi < w.hi || v.hi == w.hi && v.lo < w.lo:
		return -1
	case v == w:
		return 0
	}
	return 1
}

// Big is the number for arithmetic of any size.
func (v Value) Big() *big.Int {
	b := new(big.Int).Lsh(big.NewInt(v.hi), 64)
	return b.Add(b, new(big.Int).SetUint64(v.lo))
}

func (v Value) String() string { return v.Big().String() }

// MarshalJSON writes the whole integer.
func (v Value) MarshalJSON() ([]byte, error) { return []byte(v.String()), nil }
