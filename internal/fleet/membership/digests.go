package membership

// Buckets is the number of buckets into which digests divide the members.
const Buckets = 16

// Digests holds one checksum for each bucket. Two routers whose reports of a bucket's members agree in incarnation and status
// compute the same checksum.
type Digests [Buckets]uint32

// goldenRatio is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing (Knuth, The Art of Computer Programming,
// volume 3, section 6.4): it distributes small numbers over all bits.
const goldenRatio = 0x9e3779b97f4a7c15

// Digests returns the digests of the reports of all members.
func (l *List) Digests() Digests {
	var sums Digests
	for _, e := range l.members {
		digest := e.position ^ (e.Incarnation<<8|uint64(e.Status))*goldenRatio
		sums[e.bucket()] += uint32(digest ^ digest>>32)
	}
	return sums
}

// bucket returns the index of the member's bucket in Digests.
func (e *entry) bucket() int { return int(e.position>>32) % Buckets }

// MembersDiffering returns the members of the buckets in which another router's digests differ from this router's. The order is
// undefined.
func (l *List) MembersDiffering(theirs Digests) []Member {
	ours := l.Digests()
	if ours == theirs {
		return nil
	}
	var differing []Member
	for _, e := range l.members {
		if b := e.bucket(); ours[b] != theirs[b] {
			differing = append(differing, e.Member)
		}
	}
	return differing
}
