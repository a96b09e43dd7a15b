package stubfleet

import (
	"fmt"
	"math"
	"os/exec"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/cluster"
)

// Limits of a case on any machine.
const (
	maxHosts      = 20_000
	maxChangeRate = 100.0
	maxSeconds    = 900
	maxRacks      = 100
	maxProcesses  = 300 // racks and real sidecars
	memoryShare   = 0.5 // of the machine's
)

// Resources that things take, in bytes unless said otherwise: somewhat more than was measured.
const (
	bytesPerStub        = 160 << 10 // a stub with both ends of its connection, the service's goroutine among them
	bytesPerHost        = 2 << 10   // a host at a stub, with the garbage of parsing it
	bytesPerApplied     = 512       // an applied list: at the stub, in the reply, and at the play
	bytesPerRealSidecar = 32 << 20  // a real sidecar
	spareDescriptors    = 100       // number that a process has beside connections
)

// Case configures a play.
type Case struct {
	Scenario        string
	Sidecars        int     // stubs
	Real            int     // processes of the daemon beside the stubs
	Hosts           int     // on the list
	Racks           int     // processes that the stubs share
	Changes         float64 // of the list a second, evenly
	Seconds         int     // of measured time
	StartSpread     time.Duration
	Seed            uint64
	Paced           *cluster.Pacing // nil: the service is polled like an agent of the machine
	Operator        string          // path of the real sidecars' operator's file; empty: none
	ConcurrentCalls int             // that the service handles; 0: unlimited
	CallTime        time.Duration   // that the service takes for each
	QueueLength     int             // of waiting calls; others are rejected
	Outage          time.Duration   // of the service at the start, in the scenarios down-*
	FinalTimeout    time.Duration   // for the last change to be in force, after the measured time

	Rack    func() *exec.Cmd // makes the command of a rack's process, which has to call ServeRack
	Program string           // path of the daemon's, for Real
}

// KeyError reports a key of a case whose value cannot be played.
type KeyError struct{ Key, Reason string }

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// Check returns a *KeyError for the first key whose value is out of range, or exceeds the machine.
func (c *Case) Check(m Machine) error {
	for _, bound := range []struct {
		key          string
		value        int
		lower, upper int
	}{
		{"sidecars", c.Sidecars, 1, min(m.Ports/2, m.Descriptors-spareDescriptors)},
		{"real", c.Real, 0, maxProcesses - min(c.Racks, maxRacks)},
		{"hosts", c.Hosts, 1, maxHosts},
		{"racks", c.Racks, 1, min(maxRacks, c.Sidecars)},
		{"seconds", c.Seconds, 1, maxSeconds},
		{"service-calls", c.ConcurrentCalls, 0, 1000},
		{"service-line", c.QueueLength, 0, 100_000},
	} {
		if bound.value < bound.lower || bound.value > bound.upper {
			return &KeyError{bound.key, fmt.Sprintf("must be from %d to %d here, not %d", bound.lower, bound.upper, bound.value)}
		}
	}
	limit := time.Duration(maxSeconds) * time.Second
	for key, value := range map[string]time.Duration{"spread": c.StartSpread, "service-call": c.CallTime, "down": c.Outage, "within": c.FinalTimeout} {
		if value < 0 || value > limit {
			return &KeyError{key, fmt.Sprintf("must be from 0s to %s, not %s", limit, value)}
		}
	}
	switch s, known := scenarios[c.Scenario]; {
	case !known:
		return &KeyError{"scenario", fmt.Sprintf("%q is none of %s", c.Scenario, strings.Join(Scenarios(), ", "))}
	case math.IsNaN(c.Changes) || c.Changes < 0 || c.Changes > maxChangeRate:
		return &KeyError{"changes", fmt.Sprintf("must be from 0 to %g a second, not %g", maxChangeRate, c.Changes)}
	case c.ConcurrentCalls > 0 && c.CallTime == 0:
		return &KeyError{"service-call", "must be more than 0s where service-calls is given"}
	case s.outage != nil && c.Outage >= time.Duration(c.Seconds)*time.Second:
		return &KeyError{"down", fmt.Sprintf("must be less than the %d seconds that are measured, not %s", c.Seconds, c.Outage)}
	}
	return c.checkMemory(m)
}

// checkMemory returns a *KeyError for the key that takes most memory if all together exceed their share of the machine.
func (c *Case) checkMemory(m Machine) error {
	available := int64(memoryShare * float64(m.Memory))
	parts := []struct {
		key   string
		bytes int64
	}{
		{"sidecars", int64(c.Sidecars) * bytesPerStub},
		{"hosts", int64(c.Sidecars) * int64(c.Hosts) * bytesPerHost},
		{"changes", int64(float64(c.Sidecars) * c.Changes * float64(c.Seconds) * bytesPerApplied)},
		{"real", int64(c.Real) * (bytesPerRealSidecar + int64(c.Hosts)*bytesPerHost)},
	}
	total := int64(0)
	largest := parts[0]
	for _, p := range parts {
		total += p.bytes
		if p.bytes > largest.bytes {
			largest = p
		}
	}
	if total > available {
		return &KeyError{largest.key, fmt.Sprintf("would take some %d MB with the rest; half of this machine's memory is %d MB", total>>20, available>>20)}
	}
	return nil
}
