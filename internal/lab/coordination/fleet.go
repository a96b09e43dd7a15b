package coordination

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"pinelb.example/pinelb/internal/lab/machines"
	"pinelb.example/pinelb/internal/lab/ports"
)

const (
	zones     = 3
	seedCount = 3
)

// machine is a router of the fleet with the addresses that callers use.
type machine struct {
	*machines.Machine
	control  string
	internal string
}

// machineLimits are those of the operators' smallest deployments.
var machineLimits = machines.Limits{MemoryMB: 284, DiskMB: 64, Descriptors: 4100}

// fleet is the machines of a play.
type fleet struct {
	machines  []*machine // the core first
	core      int
	addresses *machines.AddressBlock
}

// newFleet prepares the machines of a script. None is started.
func newFleet(script *Script, options Options) (*fleet, error) {
	f := &fleet{core: script.Core}
	var err error
	if f.addresses, err = machines.LockAddresses(); err != nil {
		return nil, err
	}
	drawn, err := ports.FreeSet(2)
	if err != nil {
		f.close()
		return nil, err
	}
	controlPort, internalPort := drawn[0], drawn[1]
	for i := range script.Core + script.Forwarders {
		m := &machine{Machine: &machines.Machine{
			Name: fmt.Sprint("core-", i), IP: f.addresses.Address(i), Folder: options.Folder, Program: options.Program,
			Limits: machineLimits,
		}}
		m.control, m.internal = fmt.Sprintf("%s:%d", m.IP, controlPort), fmt.Sprintf("%s:%d", m.IP, internalPort)
		if i < script.Core {
			m.Disk = filepath.Join(options.Disks, fmt.Sprint("disk-", i))
		} else {
			m.Name = fmt.Sprint("forwarder-", i-script.Core)
		}
		f.machines = append(f.machines, m)
	}
	var seeds []string
	for _, m := range f.machines[:seedCount] {
		seeds = append(seeds, m.control)
	}
	for i, m := range f.machines {
		m.Settings = machineSettings(m, script, i%zones, seeds, controlPort, internalPort)
	}
	return f, nil
}

// startAll starts all machines at once.
func (f *fleet) startAll(bootstrap bool) error {
	errs := make([]error, len(f.machines))
	var starts sync.WaitGroup
	for i, m := range f.machines {
		starts.Go(func() { errs[i] = m.Start(bootstrap && m.Disk != "") })
	}
	starts.Wait()
	return errors.Join(errs...)
}

// killAll ends all processes at the same moment.
func (f *fleet) killAll() {
	for _, m := range f.machines {
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		m.Kill()
	}
}

// faults returns the processes that ended by themselves or exceeded their limits.
func (f *fleet) faults() (all []string) {
	for _, m := range f.machines {
		all = append(all, m.Faults()...)
	}
	return all
}

// peakMemory returns the highest resident memory of any process, in bytes.
func (f *fleet) peakMemory() (peak uint64) {
	for _, m := range f.machines {
		peak = max(peak, m.PeakMemory())
	}
	return peak
}

// close ends what the fleet has started.
func (f *fleet) close() {
	f.killAll()
	f.addresses.Unlock()
}

// machineSettings returns the settings of a machine but for "bootstrap".
func machineSettings(m *machine, script *Script, zone int, seeds []string, controlPort, internalPort int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName=%s\nip=%s\nzone=z%d\nregion=r\nzones.z0=r\nzones.z1=r\nzones.z2=r\n", m.Name, m.IP, zone)
	fmt.Fprintf(&b, "listen.control=%s:%d\nportRange=%d,%d\nseeds=%s\n", m.IP, controlPort, internalPort, internalPort, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "faultTolerance.machines=%d\nbounds.graceS=%d\ncontracts=base,coord\nbounds.historyS=%d\n", tolerated, script.GraceS,
		script.HistoryS)
	b.WriteString(machineLimits.Settings())
	if m.Disk != "" {
		fmt.Fprintf(&b, "countsForQuorum=true\ndataDir=%s\n", m.Disk)
	}
	return b.String()
}
