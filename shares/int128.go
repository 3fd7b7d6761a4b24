package shares

import (
	"math/big"
	"math/bits"
)

// Value is a signed 128-bit integer in two's complement. It holds the value of an answer, in
// micro-worth times milli-units times the denominator of spare_worth. The limits of
// Problem.Check keep every sum within its range.
type Value struct {
	hi int64
	lo uint64
}

// minValue is lower than the value of any answer.
var minValue = Value{hi: -1 << 63}

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

// mul returns v x k. k must not be negative, and the product must fit.
func (v Value) mul(k int64) Value {
	if v.hi < 0 {
		return v.Neg().mul(k).Neg()
	}
	hi, lo := bits.Mul64(v.lo, uint64(k))
	return Value{hi: int64(hi) + v.hi*k, lo: lo}
}

// Cmp returns -1, 0 or 1 if v is less than, equal to or greater than w.
func (v Value) Cmp(w Value) int {
	switch {
	case v.hi < w.hi || v.hi == w.hi && v.lo < w.lo:
		return -1
	case v == w:
		return 0
	}
	return 1
}

// Big returns v as a big.Int.
func (v Value) Big() *big.Int {
	b := new(big.Int).Lsh(big.NewInt(v.hi), 64)
	return b.Add(b, new(big.Int).SetUint64(v.lo))
}

// String returns v in decimal.
func (v Value) String() string { return v.Big().String() }

// MarshalJSON writes v as a JSON number with all its digits.
func (v Value) MarshalJSON() ([]byte, error) { return []byte(v.String()), nil }
