// Package ports finds free ports for programs that have to be told their port before they listen.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// Bounds of the ports that are drawn, the last one excluded. They lie below the range from which Linux takes the local
// ports of outgoing connections (32768 to 60999, net.ipv4.ip_local_port_range), so that no connection of another
// process takes a port between the draw and the moment at which the program listens.
const (
	first = 20000
	end   = 32000
)

// drawsMost is the number of ports that are tried.
const drawsMost = 200

// ErrNone says that no free port was found.
var ErrNone = errors.New("ports: no free port found")

// Free returns a port on which nobody listens at 127.0.0.1, over TCP or UDP. The error is ErrNone, wrapped.
func Free() (int, error) {
	var last error
	for range drawsMost {
		port := first + rand.IntN(end-first)
		if last = probe(port); last == nil {
			return port, nil
		}
	}
	return 0, fmt.Errorf("%w: %w", ErrNone, last)
}

// probe returns an error if the port is taken.
func probe(port int) error {
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
