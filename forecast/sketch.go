package forecast

import (
	"math"
	"slices"
)

// bucketGrowth is the ratio of a bucket's bounds. Rates taken from a sketch are within 5% of the actual ones,
// (growth-1)/(growth+1), as in DDSketch (C. Masson, J. Rim, H. Lee, "DDSketch: a fast and fully-mergeable quantile
// sketch with relative-error guarantees", VLDB 2019), section 2.
const bucketGrowth = 1.1

// maxBuckets is the maximum number of buckets in a sketch of one day. Beyond it the two lowest buckets are merged, as
// in section 2.2 of the DDSketch paper: low quantiles lose accuracy, high ones do not.
const maxBuckets = 64

var logBucketGrowth = math.Log(bucketGrowth)

// Bucket counts the slots of a day in which the demand of a volume was above growth^(Index-1) and at most growth^Index
// milli-units per second.
type Bucket struct {
	Index uint16
	Count uint32
}

// Sketch is a list of buckets ordered by index. It does not include slots without demand; its user has to know the
// number of all slots.
type Sketch []Bucket

// bucketIndex returns the index of the bucket for a rate of at least 1 milli-unit per second.
func bucketIndex(milli float64) uint16 {
	if milli <= 1 {
		return 0
	}
	return uint16(math.Ceil(math.Log(milli)/logBucketGrowth - 1e-9))
}

// bucketRate returns the rate that represents a bucket, in milli-units per second.
func bucketRate(index uint16) float64 {
	return 2 * math.Pow(bucketGrowth, float64(index)) / (bucketGrowth + 1)
}

// add counts one slot at a rate and returns the updated sketch, which may share memory with s.
func (s Sketch) add(milli float64) Sketch {
	k := bucketIndex(milli)
	i, found := slices.BinarySearchFunc(s, k, func(b Bucket, k uint16) int { return int(b.Index) - int(k) })
	if found {
		s[i].Count++
		return s
	}
	s = slices.Insert(s, i, Bucket{k, 1})
	if len(s) > maxBuckets {
		s[1].Count += s[0].Count
		s = slices.Delete(s, 0, 1)
	}
	return s
}

// totalSlots returns the number of slots in all buckets.
func (s Sketch) totalSlots() (n uint32) {
	for _, b := range s {
		n += b.Count
	}
	return n
}
