package registry

import "github.com/cespare/xxhash/v2"

// Buckets is the number of buckets into which digests divide a partition of the endpoints.
const Buckets = 16

// The number of partitions grows with the number of endpoints, so that buckets stay small. Digests cover one partition;
// successive digests cover the partitions in turn.
const (
	targetPartitionSize = 128 // endpoints per partition
	maxPartitions       = 64
)

// goldenRatio is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing (Knuth, The Art of Computer Programming,
// volume 3, section 6.4): it distributes small numbers over all bits.
const goldenRatio = 0x9e3779b97f4a7c15

// Digests holds one checksum for each bucket of a partition. Two routers whose endpoints in a bucket agree in id, state and
// owner compute the same checksum; endpoints that have ended are left out. Digests is encoded as a CBOR array.
type Digests struct {
	_          struct{} `cbor:",toarray"`
	Partition  uint8
	Partitions uint8 // a power of two
	Sums       [Buckets]uint32
}

// updateDigest recomputes the endpoint's part of its bucket's checksum. It has to be called after each change of the endpoint.
// Sequences are left out, since they change with each heartbeat, and so are endpoints that have ended, since a router may have
// purged them or never received a report of them.
func (e *entry) updateDigest() {
	e.digest = 0
	if !e.State.hasEnded() {
		digest := e.idHash ^ xxhash.Sum64String(e.Owner)*3 ^ uint64(e.State)*goldenRatio
		e.digest = uint32(digest ^ digest>>32)
	}
}

// bucket returns the index of the endpoint's bucket in Digests.Sums.
func (e *entry) bucket() int { return int(e.idHash>>59) % Buckets }

// isCoveredBy reports whether the endpoint belongs to the partition that the digests cover.
func (e *entry) isCoveredBy(d *Digests) bool {
	return uint8(e.idHash>>50)%max(1, d.Partitions) == d.Partition
}

// Digests returns the digests of one partition of the endpoints. Successive rounds cover the partitions in turn.
func (r *Registry) Digests(round uint64) Digests {
	partitions := uint64(1)
	for partitions < maxPartitions && uint64(len(r.entries)) > partitions*targetPartitionSize {
		partitions *= 2
	}
	return r.digests(uint8(round%partitions), uint8(partitions))
}

// digests returns the digests of the given partition.
func (r *Registry) digests(partition, partitions uint8) Digests {
	d := Digests{Partition: partition, Partitions: partitions}
	for _, e := range r.entries {
		if e.isCoveredBy(&d) {
			d.Sums[e.bucket()] += e.digest
		}
	}
	return d
}

// EndpointsDiffering returns the endpoints of the buckets in which another router's digests differ from this router's. The order
// is undefined. Digests with an impossible partition are accepted; they cover no endpoints, or those of another partition.
func (r *Registry) EndpointsDiffering(theirs Digests) []Endpoint {
	ours := r.digests(theirs.Partition, theirs.Partitions)
	if ours == theirs {
		return nil
	}
	var differing []Endpoint
	for _, e := range r.entries {
		if b := e.bucket(); e.isCoveredBy(&theirs) && ours.Sums[b] != theirs.Sums[b] {
			differing = append(differing, e.Endpoint)
		}
	}
	return differing
}
