package loopback

import (
	"net/netip"
	"strings"
	"testing"
)

// TestAddressesAreUnique checks that concurrent runs, each of the maximum size, share no address.
func TestAddressesAreUnique(t *testing.T) {
	const runs, boxes, sidecars, moves = 4, 1000, 1400, 3
	seen := map[string]bool{}
	take := func(addr string) {
		t.Helper()
		p, err := netip.ParseAddrPort(addr)
		if err != nil || !p.Addr().IsLoopback() || p.Port() >= 32768 {
			t.Fatalf("%s: not a loopback address with a fixed port: %v", addr, err)
		}
		if seen[addr] {
			t.Fatalf("%s was given twice", addr)
		}
		seen[addr] = true
	}
	for range runs {
		a, err := newAddresses()
		if err != nil {
			t.Fatal(err)
		}
		defer a.close()
		take(a.blockLock.Addr().String())
		take(a.listService())
		for i := range boxes {
			take(a.endpoint(i))
		}
		for i := range sidecars {
			take(a.sidecar(i))
			take(a.thrift(i))
			for start := range controlPortCount {
				take(a.control(i, start))
			}
			for _, of := range []string{"list", "clients", "control"} {
				take(a.link(of, i, 0))
			}
			for m := range moves {
				take(a.agent(i, m))
			}
		}
	}
}

// TestAddressesAreReleased checks that a block is free again after its run.
func TestAddressesAreReleased(t *testing.T) {
	for range maxBlock - minBlock + 2 {
		a, err := newAddresses()
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(a.endpoint(0), "127.") {
			t.Fatalf("endpoint at %s", a.endpoint(0))
		}
		a.close()
	}
}
