package stubfleet

import (
	"fmt"
	"maps"
	"math"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/cluster"
)

// Bounds of a case, whatever the machine.
const (
	maxHosts     = 20_000
	maxChangeRate   = 100.0
	maxSeconds   = 900
	maxRacks     = 100
	maxProcesses = 300 // racks and real sidecars
	memoryShare   = 0.5 // of the machine's
)

// What things take, for Check: bytes, somewhat above what was seen.
const (
	bytesPerStub = 160 << 10 // of a hollow one with its connection's two ends, the service's goroutine among them
	bytesPerHost    = 2 << 10   // of a host at a hollow one, with the garbage of reading it
	bytesPerApplied   = 512       // of a list that one has come to act on: there, in the report, and at the play
	bytesPerRealSidecar    = 32 << 20  // of a real one
	spareDescriptors  = 100       // that a process has beside connections
)

// Case is what to play.
type Case struct {
	Scenario string
	Sidecars int     // hollow ones
	Real     int     // processes of the daemon beside them
	Hosts    int     // that are listed
	Racks    int     // processes of the hollow ones
	Changes  float64 // of the list, a second, evenly
	Seconds  int     // that are measured
	StartSpread   time.Duration
	Seed     uint64
	Paced    *cluster.Paced // nil: the service is asked as an agent of the machine's own
	Operator string         // the real sidecars' operator's file; empty: none
	ConcurrentCalls    int            // that the service does at a time; 0: it has no bound
	CallTime     time.Duration  // that each takes
	QueueLength     int            // that may wait
	Outage     time.Duration  // in the scenarios down-*: for which the service is away from the start on
	FinalTimeout   time.Duration  // after the measured time: for which the last change may still be waited for

	Rack    func() *exec.Cmd // makes a rack's process, which has to call ServeRack
	Program string           // the daemon's; for Real
}

// scenario is how a play goes.
type scenario struct {
	description   string
	changes float64 // a second, unless the case says otherwise
	coldStart    bool    // it is measured from the sidecars' start on
	outage    func(*play) (back func() error)
	onSample    func(*play, float64) error // during the measured time; told which part of it is over
}

// daily is the changes of the ordinary day, a second.
const ordinaryRate = 5300.0 / 86400

var scenarios = map[string]scenario{
	"rest":         {description: "nothing changes"},
	"ordinary":     {description: "5,300 changes a day", changes: ordinaryRate},
	"hundredfold":  {description: "a hundred times that", changes: 100 * ordinaryRate},
	"stopped":      {description: "one rack is stopped from a quarter of the time to three quarters", changes: 1, onSample: (*play).stopRack},
	"restarting":   {description: "a twentieth starts anew each second, with nothing known", changes: 1, onSample: (*play).restartSome},
	"cold":         {description: "all start together and know nothing", coldStart: true},
	"down-refused": {description: "cold, and the service refuses connections at first", coldStart: true, outage: (*play).refuseConnections},
	"down-503":     {description: "cold, and the service answers 503 at first", coldStart: true, outage: (*play).respond503},
}

// Scenarios are the names of what can be played.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Description says what a scenario is; empty: there is none of that name.
func Description(name string) string { return scenarios[name].description }

// DefaultChanges is how many changes a second a scenario has by itself.
func DefaultChanges(name string) float64 { return scenarios[name].changes }

// KeyError says which key of a case is wrong.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// Machine is what there is to play on.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int   // that a process may have
	Ports       int   // for connections to one address
}

// ThisMachine reads this one's.
func ThisMachine() (Machine, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return Machine{}, fmt.Errorf("hollow: memory: %w", err)
	}
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return Machine{}, fmt.Errorf("hollow: descriptors: %w", err)
	}
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return Machine{}, fmt.Errorf("hollow: ports: %w", err)
	}
	bounds := strings.Fields(string(text))
	if len(bounds) != 2 {
		return Machine{}, fmt.Errorf("hollow: ports: %q is no range", text)
	}
	from, err := strconv.Atoi(bounds[0])
	if err != nil {
		return Machine{}, fmt.Errorf("hollow: ports: %w", err)
	}
	to, err := strconv.Atoi(bounds[1])
	if err != nil {
		return Machine{}, fmt.Errorf("hollow: ports: %w", err)
	}
	return Machine{Memory: int64(info.Totalram) * int64(info.Unit), Descriptors: int(min(l.Cur, 1<<20)), Ports: to - from}, nil
}

// Check refuses what can't be played, or not on that machine, with a KeyError.
func (c *Case) Check(m Machine) error {
	for _, bound := range []struct {
		key         string
		value       int
		least, most int
	}{
		{"sidecars", c.Sidecars, 1, min(m.Ports/2, m.Descriptors-spareDescriptors)},
		{"real", c.Real, 0, maxProcesses - min(c.Racks, maxRacks)},
		{"hosts", c.Hosts, 1, maxHosts},
		{"racks", c.Racks, 1, min(maxRacks, c.Sidecars)},
		{"seconds", c.Seconds, 1, maxSeconds},
		{"service-calls", c.ConcurrentCalls, 0, 1000},
		{"service-line", c.QueueLength, 0, 100_000},
	} {
		if bound.value < bound.least || bound.value > bound.most {
			return &KeyError{bound.key, fmt.Sprintf("must be from %d to %d here, not %d", bound.least, bound.most, bound.value)}
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

// checkMemory names the key that has to be less where all would take too much.
func (c *Case) checkMemory(m Machine) error {
	room := int64(memoryShare * float64(m.Memory))
	parts := []struct {
		key   string
		bytes int64
	}{
		{"sidecars", int64(c.Sidecars) * bytesPerStub},
		{"hosts", int64(c.Sidecars) * int64(c.Hosts) * bytesPerHost},
		{"changes", int64(float64(c.Sidecars) * c.Changes * float64(c.Seconds) * bytesPerApplied)},
		{"real", int64(c.Real) * (bytesPerRealSidecar + int64(c.Hosts)*bytesPerHost)},
	}
	all := int64(0)
	most := parts[0]
	for _, p := range parts {
		all += p.bytes
		if p.bytes > most.bytes {
			most = p
		}
	}
	if all > room {
		return &KeyError{most.key, fmt.Sprintf("would take some %d MB with the rest; half of this machine's memory is %d MB", all>>20, room>>20)}
	}
	return nil
}
