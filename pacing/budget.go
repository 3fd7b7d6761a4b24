package pacing

// Budget parts a stated number of bytes among transfers: what all of them together
// hold in memory. It is not safe for concurrent use; its owner has a lock.
//
// A transfer that holds nothing may always take one extent as long as the reserve
// lasts, so that those which hold much cannot starve the others: the last part of
// the budget is for first extents only.
type Budget struct {
	Limit   int64   // bytes over all
	Reserve float64 // part of it that only first extents may take
	used    int64
}

// Take books bytes for a transfer that already holds so many. It reports false if
// there is no room now.
func (b *Budget) Take(bytes, holds int64) bool {
	limit := b.Limit
	if holds > 0 {
		limit = int64(float64(b.Limit) * (1 - b.Reserve))
	}
	if b.used+bytes > limit {
		return false
	}
	b.used += bytes
	return true
}

// Give books bytes back.
func (b *Budget) Give(bytes int64) { b.used -= bytes }

// Used is what is taken.
func (b *Budget) Used() int64 { return b.used }

// Force books bytes that are there already, beyond the limit if need be.
func (b *Budget) Force(bytes int64) { b.used += bytes }
