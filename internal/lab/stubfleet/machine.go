package stubfleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Machine is the capacity of a machine.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int   // that a process may have
	Ports       int   // for connections to one address
}

// ThisMachine reads the capacity of this machine.
func ThisMachine() (Machine, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return Machine{}, fmt.Errorf("stubfleet: memory: %w", err)
	}
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return Machine{}, fmt.Errorf("stubfleet: descriptors: %w", err)
	}
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return Machine{}, fmt.Errorf("stubfleet: ports: %w", err)
	}
	bounds := strings.Fields(string(text))
	if len(bounds) != 2 {
		return Machine{}, fmt.Errorf("stubfleet: ports: %q is no range", text)
	}
	from, err := strconv.Atoi(bounds[0])
	if err != nil {
		return Machine{}, fmt.Errorf("stubfleet: ports: %w", err)
	}
	to, err := strconv.Atoi(bounds[1])
	if err != nil {
		return Machine{}, fmt.Errorf("stubfleet: ports: %w", err)
	}
	return Machine{Memory: int64(info.Totalram) * int64(info.Unit), Descriptors: int(min(l.Cur, 1<<20)), Ports: to - from}, nil
}
