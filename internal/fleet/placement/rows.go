package placement

import "slices"

// bucketEdges divide calls into buckets by the share of the target latency that has passed before the draw.
var bucketEdges = [...]float64{0.1, 0.3, 0.6}

// bucketCount is the number of buckets, and of rows of a table.
const bucketCount = len(bucketEdges) + 1

// bucketFor returns the bucket of a call, given the share of its target that has passed.
func bucketFor(spentShare float64) int {
	for i, edge := range bucketEdges {
		if spentShare < edge {
			return i
		}
	}
	return bucketCount - 1
}

// bucketMidpoint returns the share of the target that is assumed to have passed for the calls of a bucket.
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

// rows are the endpoints' shares of the calls, by bucket and endpoint. Each row sums to one.
type rows [bucketCount][]float64

// evenRows returns rows in which all endpoints have the same share.
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
