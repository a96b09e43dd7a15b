package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// A run has a block 127.a.0.0/16 of its own, so that runs beside each other never meet. All ports are below
// 32768, where Linux begins to draw those of outgoing connections.
const (
	minBlock, maxBlock = 64, 250 // of a; below are addresses that people and other programs use
	maxBlockAttempts   = 2000

	lockPort              = 18079
	endpointPort          = 18080
	sidecarPort           = 18081
	thriftPort            = 18082
	controlPort           = 18084 // and the next with each process
	controlPortCount      = 10
	discoveryLinkPort     = 18094 // of the links, on the sidecar's host
	clientLinkPort        = 18095
	controlLinkPort       = 18096
	firstEndpointLinkPort = 27000 // and the next for each box
	agentPort             = 18100 // and the next with each move of discovery
	agentPortCount        = 8000  // after which the ports begin anew

	hostsPerRow = 250 // hosts in a row 127.a.y.1 to 127.a.y.250
)

// Rows of the block. There are at most 1,000 boxes, 400 sidecars in front and one for each box: 1,400.
const (
	lockRow     = 0
	endpointRow = 1
	sidecarRow  = 101
)

// addresses are the loopback addresses of one run.
type addresses struct {
	block     int
	blockLock net.Listener // as long as it listens, nobody else takes the block
}

// newAddresses finds a block that no other run on this machine has.
func newAddresses() (*addresses, error) {
	var err error
	for range maxBlockAttempts {
		a := &addresses{block: minBlock + rand.IntN(maxBlock-minBlock+1)}
		if a.blockLock, err = net.Listen("tcp", a.address(lockRow, 0, lockPort)); err == nil {
			return a, nil
		}
	}
	return nil, fmt.Errorf("live: no free block of loopback addresses: %w", err)
}

// close gives the block back.
func (a *addresses) close() { a.blockLock.Close() }

// box is where a box listens.
func (a *addresses) endpoint(i int) string { return a.address(endpointRow, i, endpointPort) }

// sidecar is where a sidecar listens for HTTP: for callers, and for those who ask for its health.
func (a *addresses) sidecar(i int) string { return a.address(sidecarRow, i, sidecarPort) }

// thrift is where a sidecar listens for Thrift.
func (a *addresses) thrift(i int) string { return a.address(sidecarRow, i, thriftPort) }

// control is where a sidecar's process listens for operators, by the number of its start.
func (a *addresses) control(i, start int) string {
	return a.address(sidecarRow, i, controlPort+start%controlPortCount)
}

// entry is where a sidecar listens for callers that speak a protocol.
func (a *addresses) clientEntry(i int, protocol string) string {
	if _, ok := thriftForms[protocol]; ok {
		return a.thrift(i)
	}
	return a.sidecar(i)
}

// agent is where a sidecar's agent of discovery listens once it has moved so many times. It shares the
// sidecar's host, as an agent does.
func (a *addresses) agent(i, moves int) string {
	return a.address(sidecarRow, i, agentPort+moves%agentPortCount)
}

// list is where the list service itself listens, for auditors.
func (a *addresses) listService() string { return a.address(lockRow, 0, agentPort) }

// link is where a sidecar's link of a kind listens; box is that of "boxes".
func (a *addresses) link(of string, i, box int) string {
	switch of {
	case "list":
		return a.address(sidecarRow, i, discoveryLinkPort)
	case "clients":
		return a.address(sidecarRow, i, clientLinkPort)
	case "control":
		return a.address(sidecarRow, i, controlLinkPort)
	}
	return a.address(sidecarRow, i, firstEndpointLinkPort+box)
}

func (a *addresses) address(row, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.block, row+i/hostsPerRow, 1+i%hostsPerRow, port)
}
