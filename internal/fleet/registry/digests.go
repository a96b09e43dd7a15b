package registry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// Digests holds one checksum for each bucket of a partition, either of the active endpoints or of those that have ended. Two routers
// whose endpoints in a bucket agree in id and state, and active ones also in their owner, compute the same checksum. Digests is
// encoded as a CBOR array.
type Digests struct {
	_          struct{} `cbor:",toarray"`
	Partition  uint8
	Partitions uint8 // a power of two
	Sums       [Buckets]uint32
}

// updateDigest recomputes the endpoint's part of its bucket's checksum. It has to be called after each change of the endpoint.
// Sequences are left out, since they change with each heartbeat, and so are owners of endpoints that have ended.
func (e *entry) updateDigest() {
	digest := e.idHash ^ uint64(e.State)*goldenRatio
	if !e.State.hasEnded() {
		digest ^= xxhash.Sum64String(e.Owner) * 3
	}
	e.digest = uint32(digest ^ digest>>32)
}

// bucket returns the index of the endpoint's bucket in Digests.Sums.
func (e *entry) bucket() int { return int(e.idHash>>59) % Buckets }

// isCoveredBy reports whether the endpoint belongs to the partition that the digests cover.
func (e *entry) isCoveredBy(d *Digests) bool {
	return uint8(e.idHash>>50)%max(1, d.Partitions) == d.Partition
}

// Digests returns the digests of the active endpoints of one partition. Successive rounds cover the partitions in turn.
func (r *Registry) Digests(round uint64) Digests { return r.digestsOfRound(round, false) }

// EndedDigests is like Digests, for the endpoints that have ended and are not purged yet.
func (r *Registry) EndedDigests(round uint64) Digests { return r.digestsOfRound(round, true) }

func (r *Registry) digestsOfRound(round uint64, ended bool) Digests {
	partitions := uint64(1)
	for partitions < maxPartitions && uint64(len(r.entries)) > partitions*targetPartitionSize {
		partitions *= 2
	}
	return r.digests(uint8(round%partitions), uint8(partitions), ended)
}

// digests returns the digests of the given partition.
func (r *Registry) digests(partition, partitions uint8, ended bool) Digests {
	d := Digests{Partition: partition, Partitions: partitions}
	for _, e := range r.entries {
		if e.State.hasEnded() == ended && e.isCoveredBy(&d) {
			d.Sums[e.bucket()] += e.digest
		}
	}
	return d
}

// Inverted returns digests that differ from these in each bucket.
func (d Digests) Inverted() Digests {
	for i := range d.Sums {
		d.Sums[i] = ^d.Sums[i]
	}
	return d
}

// EndpointsDiffering returns the endpoints of the buckets in which another router's digests differ from this router's. The order
// is undefined. Digests with an impossible partition are accepted; they cover no endpoints, or those of another partition.
func (r *Registry) EndpointsDiffering(now time.Duration, theirs Digests) []Endpoint {
	return r.differing(now, theirs, false, func(*entry) bool { return true })
}

// EndedDiffering is like EndpointsDiffering, for digests made by EndedDigests. It returns only endpoints that have ended.
func (r *Registry) EndedDiffering(now time.Duration, theirs Digests) []Endpoint {
	return r.differing(now, theirs, true, func(e *entry) bool { return e.State.hasEnded() })
}

// differing returns the reports of the included endpoints that are in buckets in which another router's digests differ.
func (r *Registry) differing(now time.Duration, theirs Digests, ended bool, included func(*entry) bool) []Endpoint {
	ours := r.digests(theirs.Partition, theirs.Partitions, ended)
	if ours == theirs {
		return nil
	}
	var reports []Endpoint
	for _, e := range r.entries {
		if b := e.bucket(); e.isCoveredBy(&theirs) && ours.Sums[b] != theirs.Sums[b] && included(e) {
			reports = append(reports, e.report(now))
		}
	}
	return reports
}
