// Package ports finds free TCP and UDP ports for programs that need their port in their configuration before they listen. Tests and
// the lab's benchmarks call it, the product never does.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
)

// Ports are drawn from minPort to below endPort. That lies below the range from which Linux takes the local ports of outgoing
// connections (32768 to 60999, net.ipv4.ip_local_port_range), so that no connection of another process takes a port between the
// draw and the moment at which the program listens.
const (
	minPort = 20000
	endPort = 32000
)

// maxDraws is the number of ports that are tried.
const maxDraws = 200

// ErrNoFreePort reports that none of the drawn ports was free.
var ErrNoFreePort = errors.New("ports: no free port found")

// Free returns a random port on which nobody listens at 127.0.0.1, over TCP or UDP. The error is ErrNoFreePort, wrapped with that of
// the last draw.
func Free() (int, error) {
	var lastErr error
	for range maxDraws {
		port := minPort + rand.IntN(endPort-minPort)
		if lastErr = checkFree(port); lastErr == nil {
			return port, nil
		}
	}
	return 0, fmt.Errorf("%w: %w", ErrNoFreePort, lastErr)
}

// FreeSet returns n different ports like Free's.
func FreeSet(n int) ([]int, error) {
	var set []int
	for draws := 0; len(set) < n; draws++ {
		port, err := Free()
		if err != nil {
			return nil, err
		}
		if draws == maxDraws {
			return nil, ErrNoFreePort
		}
		if !slices.Contains(set, port) {
			set = append(set, port)
		}
	}
	return set, nil
}

// checkFree returns the error of listening if the port is taken.
func checkFree(port int) error {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	return packets.Close()
}
