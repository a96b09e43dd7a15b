package registry

import "github.com/cespare/xxhash/v2"

// Buckets is the number of buckets that digests divide one partition of the endpoints into.
const Buckets = 16

// Digests cover one partition of the endpoints. With more endpoints there are more partitions, which successive digests cover in
// turn, so that a bucket in which two routers differ stays small.
const (
	targetPartitionSize = 128 // endpoints
	maxPartitions       = 64
)

// goldenRatio is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing (Knuth, The Art of Computer Programming,
// volume 3, section 6.4): it distributes small numbers over all bits.
const goldenRatio = 0x9e3779b97f4a7c15

// Digests hold one sum for each bucket of a partition; two routers have equal sums where they know the same. They travel as a
// CBOR array.
type Digests struct {
	_          struct{} `cbor:",toarray"`
	Partition  uint8
	Partitions uint8 // a power of two
	Sums       [Buckets]uint32
}

// updateDigest recomputes what an endpoint adds to digests; it has to be called after each change. Sequences are left out, since
// they change with each heartbeat, and so are endpoints that have ended, which a router may have purged or never known.
func (e *entry) updateDigest() {
	e.digest = 0
	if !e.State.hasEnded() {
		digest := e.idHash ^ xxhash.Sum64String(e.Owner)*3 ^ uint64(e.State)*goldenRatio
		e.digest = uint32(digest ^ digest>>32)
	}
}

func (e *entry) bucket() int { return int(e.idHash>>59) % Buckets }

// isCoveredBy reports whether the endpoint belongs to the digests' partition.
func (e *entry) isCoveredBy(d *Digests) bool {
	return uint8(e.idHash>>50)%max(1, d.Partitions) == d.Partition
}

// Digests summarises what is known of one partition of the endpoints; successive rounds cover the partitions in turn.
func (r *Registry) Digests(round uint64) Digests {
	partitions := uint64(1)
	for partitions < maxPartitions && uint64(len(r.entries)) > partitions*targetPartitionSize {
		partitions *= 2
	}
	return r.digests(uint8(round%partitions), uint8(partitions))
}

func (r *Registry) digests(partition, partitions uint8) Digests {
	d := Digests{Partition: partition, Partitions: partitions}
	for _, e := range r.entries {
		if e.isCoveredBy(&d) {
			d.Sums[e.bucket()] += e.digest
		}
	}
	return d
}

// EndpointsDiffering returns the endpoints in the buckets in which another router's digests differ from this router's, in no
// order. Digests of a partition that can't be are valid: they cover no endpoint, or other ones.
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
