package transport

import (
	"context"
	"net/netip"
	"time"
)

// Send sends a message to a router's internal address, once and without acknowledgement. nonce is the Packet's Nonce. A message
// that is too long for a datagram is dropped and counted if maxInFlight others, or maxInFlightBytes of them, are in flight to that router; one that no router accepts is
// reported (OnTooLarge).
func (t *Transport) Send(to string, kind Kind, nonce uint64, message any) {
	t.sendEncoded(to, kind, t.encode(kind, nonce, message))
}

// SendAll sends a message to several routers as Send does, without a nonce. It encodes the message only once.
func (t *Transport) SendAll(to []string, kind Kind, message any) {
	packet := t.encode(kind, 0, message)
	for _, address := range to {
		t.sendEncoded(address, kind, packet)
	}
}

func (t *Transport) sendEncoded(to string, kind Kind, packet []byte) {
	if len(packet) <= maxDatagramBytes {
		t.sendDatagram(to, packet)
		return
	}
	if err := t.checkSize(packet, TooLargeError{To: to, Kind: kind}); err != nil {
		return // it is counted and reported: the protocols would only send the same again
	}
	t.sendOverTCP(to, packet)
}

func (t *Transport) sendDatagram(to string, packet []byte) {
	address, ok := t.udpAddress(to)
	if !ok {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.SentDatagrams.Add(1)
	t.Counters.SentBytes.Add(uint64(len(packet)))
	_, _ = t.udp.WriteToUDPAddrPort(packet, address) // a failed write is handled like a lost datagram: the protocols resend it
}

// udpAddress parses a receiver's address and caches the result; ok is false if it is not an IP address and port.
func (t *Transport) udpAddress(to string) (address netip.AddrPort, ok bool) {
	t.mu.Lock()
	address, cached := t.udpAddresses[to]
	t.mu.Unlock()
	if cached {
		return address, true
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return netip.AddrPort{}, false
	}
	t.mu.Lock()
	t.udpAddresses[to] = address
	t.mu.Unlock()
	return address, true
}

func (t *Transport) sendOverTCP(to string, packet []byte) {
	if !t.reserve(to, len(packet)) {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.SentOverTCP.Add(1)
	t.Counters.SentBytes.Add(uint64(len(packet)))
	t.tasks.Go(func() {
		defer t.release(to, len(packet))
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout(len(packet)))
		defer cancel()
		_, _ = t.post(ctx, to, messagePath, packet) // a failed request is handled like a lost message: the protocols resend it
	})
}

// reserve counts one more message over TCP as in flight. It returns false if others are, and maxInFlight or maxInFlightBytes would be exceeded.
func (t *Transport) reserve(to string, size int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.inFlight[to]
	if current == nil {
		t.inFlight[to] = &inFlight{messages: 1, bytes: size}
		return true
	}
	if current.messages >= maxInFlight || current.bytes+size > maxInFlightBytes {
		return false
	}
	current.messages++
	current.bytes += size
	return true
}

// release counts a message over TCP as no longer in flight.
func (t *Transport) release(to string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.inFlight[to]
	current.messages--
	current.bytes -= size
	if current.messages == 0 {
		delete(t.inFlight, to)
	}
}

// sendTimeout returns the time-out for sending a message of size bytes over TCP, on a link of at least minLinkRate.
func sendTimeout(size int) time.Duration {
	return callTimeout + time.Duration(size)*time.Second/minLinkRate
}
