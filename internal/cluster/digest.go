package cluster

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/version"
)

// Digest tells lists apart by what they say of which hosts: the order of the members, where each sidecar reaches them, and
// whether one that is gone is still named make no difference.
func (l List) Digest() version.Digest {
	sum := uint64(0) // a sum knows no order
	for i := range l.Members {
		sum += l.Members[i].digest()
	}
	if sum == 0 { // which would be none
		sum = 1
	}
	return version.Digest(sum)
}

// digest is a member's part in the sum, 0 where it is gone.
func (m *Member) digest() uint64 {
	if m.State == balance.Gone {
		return 0
	}
	var room [160]byte // enough for common names: nothing is allocated
	b := room[:0]
	for _, text := range [...]string{m.ID, m.Zone, m.Kind} { // each with its length, so that no two run into each other
		b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
	}
	b = binary.AppendVarint(b, int64(m.State))
	b = binary.AppendVarint(b, int64(m.Cell))
	b = binary.AppendVarint(b, int64(m.UpSince))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(m.Weight))
	return xxhash.Sum64(b)
}
