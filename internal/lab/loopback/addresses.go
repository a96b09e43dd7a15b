package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Each run has a block of addresses 127.a.0.0/16 of its own, so that concurrent runs never collide. All ports are below 32768, where
// the range of outgoing connections begins on Linux (net.ipv4.ip_local_port_range).
const (
	minBlock, maxBlock = 64, 250 // of a; people and other programs use lower ones
	maxBlockAttempts   = 2000

	lockPort              = 18079
	endpointPort          = 18080
	sidecarPort           = 18081
	thriftPort            = 18082
	controlPort           = 18084 // the first; the next one with each process
	controlPortCount      = 10
	discoveryLinkPort     = 18094 // of links, on the sidecar's host
	clientLinkPort        = 18095
	controlLinkPort       = 18096
	firstEndpointLinkPort = 27000 // and the next one for each endpoint
	agentPort             = 18100 // the first; the next one with each move of discovery
	agentPortCount        = 8000

	hostsPerRow = 250 // 127.a.y.1 to 127.a.y.250 are row y
)

// The first rows of the block's parts. There are at most 1,000 endpoints, 400 sidecars in the first tier and one beside each
// endpoint: 1,400.
const (
	lockRow     = 0
	endpointRow = 1
	sidecarRow  = 101
)

// addresses are the loopback addresses of one run, all host:port.
type addresses struct {
	block     int
	blockLock net.Listener // while it listens, nobody else takes the block
}

// newAddresses finds a block that no other run on this machine has. Its error is that of the last attempt.
func newAddresses() (*addresses, error) {
	var err error
	for range maxBlockAttempts {
		a := &addresses{block: minBlock + rand.IntN(maxBlock-minBlock+1)}
		if a.blockLock, err = net.Listen("tcp", a.address(lockRow, 0, lockPort)); err == nil {
			return a, nil
		}
	}
	return nil, fmt.Errorf("loopback: no free block of loopback addresses: %w", err)
}

// close releases the block.
func (a *addresses) close() { a.blockLock.Close() }

// endpoint is where an endpoint listens.
func (a *addresses) endpoint(endpoint int) string {
	return a.address(endpointRow, endpoint, endpointPort)
}

// sidecar is where a sidecar listens for HTTP: requests and health checks.
func (a *addresses) sidecar(sidecar int) string { return a.address(sidecarRow, sidecar, sidecarPort) }

// thrift is where a sidecar listens for Thrift.
func (a *addresses) thrift(sidecar int) string { return a.address(sidecarRow, sidecar, thriftPort) }

// control is where a sidecar's process listens for operators, by the number of its start.
func (a *addresses) control(sidecar, start int) string {
	return a.address(sidecarRow, sidecar, controlPort+start%controlPortCount)
}

// clientEntry is where a sidecar listens for clients that speak a protocol.
func (a *addresses) clientEntry(sidecar int, protocol string) string {
	if _, ok := thriftForms[protocol]; ok {
		return a.thrift(sidecar)
	}
	return a.sidecar(sidecar)
}

// agent is where a sidecar's agent of discovery listens after that many moves. It shares the sidecar's host, as on the platform.
func (a *addresses) agent(sidecar, moves int) string {
	return a.address(sidecarRow, sidecar, agentPort+moves%agentPortCount)
}

// listService is where the list service itself listens, for auditors.
func (a *addresses) listService() string { return a.address(lockRow, 0, agentPort) }

// link is where a sidecar's link of a kind listens; endpoint is that of kind "boxes".
func (a *addresses) link(kind string, sidecar, endpoint int) string {
	port := firstEndpointLinkPort + endpoint
	switch kind {
	case "list":
		port = discoveryLinkPort
	case "clients":
		port = clientLinkPort
	case "control":
		port = controlLinkPort
	}
	return a.address(sidecarRow, sidecar, port)
}

// address is that of a port on the host with that index in the part that begins with a row.
func (a *addresses) address(firstRow, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.block, firstRow+host/hostsPerRow, 1+host%hostsPerRow, port)
}
