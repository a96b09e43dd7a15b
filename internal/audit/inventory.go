// Package audit asks a fleet of sidecars which version each acts on, merges their audit logs into one history on one time line,
// and reports which sidecars are behind and where logs contradict each other. Which sidecar is behind, and what is ordered, is
// decided by package version. The command "pinelb audit" runs it.
//
// An Audit belongs to one goroutine; a Client sends its requests from several. A History is pure, and its JSON, like the whole
// state file's, is read by other releases: names and forms stay. Errors begin with "audit:".
package audit

import (
	"fmt"
	"net/netip"
	"os"

	"pinelb.example/pinelb/internal/tomlfile"
)

const (
	maxInventoryBytes = 16 << 20 // of the file
	maxSidecars       = 20_000   // what is kept of each is bounded, and so is what is kept of all
	maxNameBytes      = 256      // of a sidecar's name, as in operators' calls
)

// Sidecar is one that the inventory lists.
type Sidecar struct {
	Name string // as its configuration has it
	Addr string // its control address
	Zone string // "": as it reports itself
	Dir  string // its [state] directory, to be read if it can't be reached; "": none
}

// Inventory lists the sidecars.
type Inventory struct {
	Sidecars []Sidecar // each name once
	Faults   []string  // duplicates, which are findings and not errors
}

// ReadInventory reads an inventory's file. The error names the file, the line and the key.
func ReadInventory(path string) (*Inventory, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("audit: roster: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := readLimited(f, maxInventoryBytes)
	if err != nil {
		return nil, fmt.Errorf("audit: roster: %s: %w", path, err)
	}
	return ParseInventory(path, text)
}

// ParseInventory parses an inventory: tables [[sidecar]] with name, addr and, where they are known, zone and dir. File is its
// name in errors.
func ParseInventory(file string, text []byte) (*Inventory, error) {
	var v struct{ Sidecar []Sidecar }
	f, err := tomlfile.Decode(file, text, &v)
	if err != nil {
		return nil, err
	}
	if n := len(v.Sidecar); n == 0 || n > maxSidecars {
		return nil, f.Errorf("sidecar", "lists %d sidecars: must be 1 to %d", n, maxSidecars)
	}
	r := &Inventory{}
	names, addrs := map[string]int{}, map[string]int{}
	for i, s := range v.Sidecar {
		key := func(name string) string { return fmt.Sprintf("sidecar[%d].%s", i, name) }
		if s.Name == "" || len(s.Name) > maxNameBytes {
			return nil, f.Errorf(key("name"), "must have 1 to %d bytes", maxNameBytes)
		}
		if at, err := netip.ParseAddrPort(s.Addr); err != nil || at.Port() == 0 {
			return nil, f.Errorf(key("addr"), "must be an address and port, not %q", s.Addr)
		}
		if first, twice := addrs[s.Addr]; twice && v.Sidecar[first].Name != s.Name {
			r.Faults = append(r.Faults, fmt.Sprintf("address %s is listed for %s and for %s", s.Addr, v.Sidecar[first].Name, s.Name))
		}
		if first, twice := names[s.Name]; twice { // judged once, by the first entry, or the fleet would seem larger than it is
			r.Faults = append(r.Faults, fmt.Sprintf("%s is listed twice, at %s and at %s: the first counts", s.Name, v.Sidecar[first].Addr, s.Addr))
			continue
		}
		names[s.Name], addrs[s.Addr] = i, i
		r.Sidecars = append(r.Sidecars, s)
	}
	return r, nil
}
