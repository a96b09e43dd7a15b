package machines

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	lockPort = 18079 // who listens there at lockHost of a block has the addresses 127.a.b.*
	lockHost = 250
	maxDraws = 200
)

// AddressBlock is a block of loopback addresses that no other play on this machine has.
type AddressBlock struct {
	prefix string
	lock   net.Listener
}

// LockAddresses takes a block. The error says that none was free.
func LockAddresses() (*AddressBlock, error) {
	var lastErr error
	for range maxDraws {
		prefix := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(50), 1+rand.IntN(250))
		lock, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", prefix, lockHost, lockPort))
		if err == nil {
			return &AddressBlock{prefix: prefix, lock: lock}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("machines: no free block of loopback addresses: %w", lastErr)
}

// Address returns an address of the block, from 0 to lockHost-2.
func (b *AddressBlock) Address(i int) string { return fmt.Sprint(b.prefix, i+1) }

// Unlock gives the block back.
func (b *AddressBlock) Unlock() { _ = b.lock.Close() }
