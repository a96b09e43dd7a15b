package cluster

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/version"
)

// Digest identifies a list by what it says of which hosts. Lists that differ only in the order of members, in hosts' addresses,
// or in whether a host that is gone is named, have the same digest. It is never 0.
func (l List) Digest() version.Digest {
	sum := uint64(0) // a sum does not depend on the order
	for i := range l.Members {
		sum += l.Members[i].digest()
	}
	if sum == 0 { // which stands for no list
		sum = 1
	}
	return version.Digest(sum)
}

// digest is a member's summand, 0 where it is gone.
func (m *Member) digest() uint64 {
	if m.State == balance.Removed {
		return 0
	}
	var buf [160]byte // enough for common names without an allocation
	b := buf[:0]
	for _, text := range [...]string{m.ID, m.Zone, m.Kind} { // each with its length, or "a"+"bc" would equal "ab"+"c"
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	b = binary.AppendVarint(b, int64(m.State))
	b = binary.AppendVarint(b, int64(m.Cell))
	b = binary.AppendVarint(b, int64(m.UpSince))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(m.Weight))
	return xxhash.Sum64(b)
}
