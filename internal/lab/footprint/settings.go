package footprint

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	changeInterval    = 30 * time.Millisecond // a sidecar logs 50 lines a second at most
	settingsInstances = 9                     // of the fleet, by the settings
	settingsWarmUp    = time.Second
)

// SettingsChangeMeasurement measures what a change of settings costs a sidecar: its file is replaced, and it gets SIGHUP.
type SettingsChangeMeasurement struct {
	Program    string
	Dir        string
	KnownHosts int // in the configuration
	Classes    int // in the settings
	Changes    int // one after the other
}

// SettingsChangeCosts are those of one change.
type SettingsChangeCosts struct {
	MedianApplyTime float64 `json:"in_force_ms_p50"` // from the signal until the log says that the configuration was read
	MaxApplyTime    float64 `json:"in_force_ms_max"`
	CPUPerChange    float64 `json:"cpu_ms_per_change"` // beyond the idle sidecar's
	FileBytes       int     `json:"file_bytes"`
	SettingsBytes   int     `json:"settings_bytes"`
}

// Measure takes the measurement. An error is that of the sidecar, ErrSettingsRejected among them, or ctx's.
func (m SettingsChangeMeasurement) Measure(ctx context.Context) (SettingsChangeCosts, error) {
	service, err := NewDiscoveryService(max(1, m.KnownHosts))
	if err != nil {
		return SettingsChangeCosts{}, err
	}
	defer service.Close()
	process, err := StartSidecar(SidecarOptions{
		Program:       m.Program,
		Dir:           m.Dir,
		Name:          fmt.Sprintf("retune-%d-%d", m.KnownHosts, m.Classes),
		DiscoveryAddr: service.Addr,
		KnownHosts:    m.KnownHosts,
		Classes:       m.Classes,
		Instances:     settingsInstances,
	})
	if err != nil {
		return SettingsChangeCosts{}, err
	}
	defer process.Close()
	if err := sleep(ctx, settingsWarmUp); err != nil {
		return SettingsChangeCosts{}, err
	}
	idle, err := idleCPU(ctx, process, time.Duration(m.Changes)*changeInterval)
	if err != nil {
		return SettingsChangeCosts{}, err
	}
	var costs SettingsChangeCosts
	var applyTimes []float64
	cpuBefore, start := process.CPU(), time.Now()
	for n := range m.Changes {
		if costs.FileBytes, costs.SettingsBytes, err = process.WriteConfig(n + 1); err != nil {
			return SettingsChangeCosts{}, err
		}
		applyTime, err := reload(process)
		if err != nil {
			return SettingsChangeCosts{}, err
		}
		applyTimes = append(applyTimes, milliseconds(applyTime))
		if err := sleep(ctx, changeInterval); err != nil {
			return SettingsChangeCosts{}, err
		}
	}
	elapsed := time.Since(start)
	cpu := milliseconds(process.CPU()-cpuBefore) - idle*elapsed.Seconds()
	costs.MedianApplyTime, costs.MaxApplyTime = median(applyTimes), slices.Max(applyTimes)
	costs.CPUPerChange = cpu / float64(m.Changes)
	return costs, nil
}

// reload has a sidecar read its configuration again, and returns how long that took.
func reload(process *Process) (time.Duration, error) {
	start := time.Now()
	if err := process.Reload(); err != nil {
		return 0, err
	}
	line, err := process.AwaitLog("configuration read again", "the new configuration is not taken")
	if err != nil {
		return 0, err
	}
	if reason := line.Fields.Get("error").Str; reason != "" {
		return 0, fmt.Errorf("footprint: %w: %s", ErrSettingsRejected, reason)
	}
	return line.At.Sub(start), nil
}

// idleCPU returns the processor time of a process to which nothing happens, in milliseconds a second.
func idleCPU(ctx context.Context, process *Process, d time.Duration) (float64, error) {
	before, start := process.CPU(), time.Now()
	if err := sleep(ctx, d); err != nil {
		return 0, err
	}
	return milliseconds(process.CPU()-before) / time.Since(start).Seconds(), nil
}
