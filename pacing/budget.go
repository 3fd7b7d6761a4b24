package pacing

// Budget limits the bytes that all transfers together hold in memory. It is not safe for concurrent use; its owner
// must lock it.
//
// A part of the limit is reserved for transfers that hold nothing yet, so that each can get its first extent and
// those that hold much cannot starve the others.
type Budget struct {
	Limit     int64   // bytes, over all transfers
	Reserve   float64 // fraction of the limit that is kept for first extents
	usedBytes int64
}

// Take allocates bytes for a transfer that already holds held bytes. It returns false if there is no room now.
func (b *Budget) Take(bytes, held int64) bool {
	limit := b.Limit
	if held > 0 {
		limit = int64(float64(b.Limit) * (1 - b.Reserve))
	}
	if b.usedBytes+bytes > limit {
		return false
	}
	b.usedBytes += bytes
	return true
}

// Release releases allocated bytes.
func (b *Budget) Release(bytes int64) { b.usedBytes -= bytes }

// Used returns the number of allocated bytes.
func (b *Budget) Used() int64 { return b.usedBytes }

// AllocateUnchecked allocates bytes that are in memory already, even beyond the limit.
func (b *Budget) AllocateUnchecked(bytes int64) { b.usedBytes += bytes }
