package placement

import "slices"

// bucketEdges divide the share of the target latency that is spent before the draw.
var bucketEdges = [...]float64{0.1, 0.3, 0.6}

// bucketCount is how many rows a table has.
const bucketCount = len(bucketEdges) + 1

// bucketFor returns the row for a call that has spent a share of its target.
func bucketFor(spentShare float64) int {
	for i, edge := range bucketEdges {
		if spentShare < edge {
			return i
		}
	}
	return bucketCount - 1
}

// bucketMidpoint returns the share of the target that a bucket's calls are taken to have spent.
func bucketMidpoint(bucket int) float64 {
	low, high := 0.0, 1.0
	if bucket > 0 {
		low = bucketEdges[bucket-1]
	}
	if bucket < len(bucketEdges) {
		high = bucketEdges[bucket]
	}
	return (low + high) / 2
}

// rows are shares by bucket and endpoint. Each row sums to one.
type rows [bucketCount][]float64

// evenRows splits all calls evenly.
func evenRows(endpoints int) rows {
	var r rows
	for k := range r {
		r[k] = make([]float64, endpoints)
		for e := range r[k] {
			r[k][e] = 1 / float64(endpoints)
		}
	}
	return r
}

func (r rows) clone() rows {
	for k := range r {
		r[k] = slices.Clone(r[k])
	}
	return r
}
