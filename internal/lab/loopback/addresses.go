package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// A run has a block 127.a.0.0/16 of its own, so that runs beside each other never meet. All ports are below
// 32768, where Linux begins to draw those of outgoing connections.
const (
	blockFirst, blockLast = 64, 250 // of a; below are addresses that people and other programs use
	blockTries            = 2000

	lockPort    = 18079
	boxPort     = 18080
	sidecarPort = 18081
	thriftPort  = 18082
	controlPort = 18084 // and the next with each process
	controls    = 10
	listLink    = 18094 // of the links, on the sidecar's host
	clientLink  = 18095
	controlLink = 18096
	boxLinks    = 27000 // and the next for each box
	agentPort   = 18100 // and the next with each move of discovery
	agentMoves  = 8000  // after which the ports begin anew

	rowLength = 250 // hosts in a row 127.a.y.1 to 127.a.y.250
)

// Rows of the block. There are at most 1,000 boxes, 400 sidecars in front and one for each box: 1,400.
const (
	lockRow    = 0
	boxRow     = 1
	sidecarRow = 101
)

// addresses are the loopback addresses of one run.
type addresses struct {
	block int
	lock  net.Listener // as long as it listens, nobody else takes the block
}

// newAddresses finds a block that no other run on this machine has.
func newAddresses() (*addresses, error) {
	var err error
	for range blockTries {
		a := &addresses{block: blockFirst + rand.IntN(blockLast-blockFirst+1)}
		if a.lock, err = net.Listen("tcp", a.at(lockRow, 0, lockPort)); err == nil {
			return a, nil
		}
	}
	return nil, fmt.Errorf("live: no free block of loopback addresses: %w", err)
}

// close gives the block back.
func (a *addresses) close() { a.lock.Close() }

// box is where a box listens.
func (a *addresses) box(i int) string { return a.at(boxRow, i, boxPort) }

// sidecar is where a sidecar listens for HTTP: for callers, and for those who ask for its health.
func (a *addresses) sidecar(i int) string { return a.at(sidecarRow, i, sidecarPort) }

// thrift is where a sidecar listens for Thrift.
func (a *addresses) thrift(i int) string { return a.at(sidecarRow, i, thriftPort) }

// control is where a sidecar's process listens for operators, by the number of its start.
func (a *addresses) control(i, start int) string {
	return a.at(sidecarRow, i, controlPort+start%controls)
}

// entry is where a sidecar listens for callers that speak a protocol.
func (a *addresses) entry(i int, protocol string) string {
	if _, ok := thriftForms[protocol]; ok {
		return a.thrift(i)
	}
	return a.sidecar(i)
}

// agent is where a sidecar's agent of discovery listens once it has moved so many times. It shares the
// sidecar's host, as an agent does.
func (a *addresses) agent(i, moves int) string {
	return a.at(sidecarRow, i, agentPort+moves%agentMoves)
}

// list is where the list service itself listens, for auditors.
func (a *addresses) list() string { return a.at(lockRow, 0, agentPort) }

// link is where a sidecar's link of a kind listens; box is that of "boxes".
func (a *addresses) link(of string, i, box int) string {
	switch of {
	case "list":
		return a.at(sidecarRow, i, listLink)
	case "clients":
		return a.at(sidecarRow, i, clientLink)
	case "control":
		return a.at(sidecarRow, i, controlLink)
	}
	return a.at(sidecarRow, i, boxLinks+box)
}

func (a *addresses) at(row, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.block, row+i/rowLength, 1+i%rowLength, port)
}
