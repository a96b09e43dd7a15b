package transport

import (
	"context"
	"net/netip"
	"time"
)

// Send sends a message to a router's internal address, once and without acknowledgement. nonce goes into the Packet. Where too
// many messages are on their way to that router already, this one is dropped and counted.
func (t *Transport) Send(to string, kind Kind, nonce uint64, message any) {
	t.sendEncoded(to, t.encode(kind, nonce, message))
}

// SendAll is Send to several routers, with the message encoded once and no nonce.
func (t *Transport) SendAll(to []string, kind Kind, message any) {
	packet := t.encode(kind, 0, message)
	for _, address := range to {
		t.sendEncoded(address, packet)
	}
}

func (t *Transport) sendEncoded(to string, packet []byte) {
	if len(packet) <= maxDatagramBytes {
		t.sendDatagram(to, packet)
		return
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
	_, _ = t.udp.WriteToUDPAddrPort(packet, address) // datagrams may be lost anyway
}

// udpAddress returns a receiver's address; ok is false where it is no IP address and port.
func (t *Transport) udpAddress(to string) (address netip.AddrPort, ok bool) {
	t.mu.Lock()
	address, known := t.udpAddresses[to]
	t.mu.Unlock()
	if known {
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
	if !t.reserve(to) {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.SentOverTCP.Add(1)
	t.Counters.SentBytes.Add(uint64(len(packet)))
	t.tasks.Go(func() {
		defer t.release(to)
		ctx, cancel := context.WithTimeout(t.ctx, sendTimeout(len(packet)))
		defer cancel()
		_, _ = t.post(ctx, to, messagePath, packet) // messages may be lost; the protocols repeat them
	})
}

// reserve counts a message over TCP as in flight; false: there are too many to that router.
func (t *Transport) reserve(to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[to] >= maxInFlight {
		return false
	}
	t.inFlight[to]++
	return true
}

func (t *Transport) release(to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[to]--; t.inFlight[to] == 0 {
		delete(t.inFlight, to)
	}
}

// sendTimeout returns how long a message of so many bytes may take, also on a slow link.
func sendTimeout(size int) time.Duration {
	return callTimeout + time.Duration(size)*time.Second/minLinkRate
}
