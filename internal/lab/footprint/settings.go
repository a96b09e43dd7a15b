package footprint

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// SettingsChangeMeasurement is one measurement of what a change of settings costs a sidecar: its file is replaced, and it is sent SIGHUP.
type SettingsChangeMeasurement struct {
	Program    string
	Dir        string
	KnownHosts int // hosts that the configuration names
	Classes    int // of the settings
	Changes    int // one after the other
}

// SettingsChangeCosts is what they took.
type SettingsChangeCosts struct {
	MedianApplyTime float64 `json:"in_force_ms_p50"` // from the signal until the log says that the configuration was read
	MaxApplyTime    float64 `json:"in_force_ms_max"`
	CPUPerChange    float64 `json:"cpu_ms_per_change"` // beyond what it takes at rest
	FileBytes       int     `json:"file_bytes"`
	SettingsBytes   int     `json:"settings_bytes"`
}

const changeInterval = 30 * time.Millisecond // apart: the log says 50 lines a second at most

// Measure takes it.
func (r SettingsChangeMeasurement) Measure(ctx context.Context) (SettingsChangeCosts, error) {
	s, err := NewDiscoveryService(max(1, r.KnownHosts))
	if err != nil {
		return SettingsChangeCosts{}, err
	}
	defer s.Close()
	p, err := StartSidecar(SidecarOptions{Program: r.Program, Dir: r.Dir, Name: fmt.Sprintf("retune-%d-%d", r.KnownHosts, r.Classes), DiscoveryAddr: s.Addr, KnownHosts: r.KnownHosts, Classes: r.Classes, Instances: 9})
	if err != nil {
		return SettingsChangeCosts{}, err
	}
	defer p.Close()
	if err := sleep(ctx, time.Second); err != nil { // its start is over
		return SettingsChangeCosts{}, err
	}
	var out SettingsChangeCosts
	idle, err := idleCPU(ctx, p, time.Duration(r.Changes)*changeInterval)
	if err != nil {
		return SettingsChangeCosts{}, err
	}
	var late []float64
	was, began := p.CPU(), time.Now()
	for n := range r.Changes {
		if out.FileBytes, out.SettingsBytes, err = p.WriteConfig(n + 1); err != nil {
			return SettingsChangeCosts{}, err
		}
		at := time.Now()
		if err := p.Reload(); err != nil {
			return SettingsChangeCosts{}, err
		}
		line, err := p.AwaitLog("configuration read again", "the new configuration is not taken")
		if err != nil {
			return SettingsChangeCosts{}, err
		}
		if fault := line.Fields.Get("error").Str; fault != "" {
			return SettingsChangeCosts{}, fmt.Errorf("gauge: settings are not taken: %s", fault)
		}
		late = append(late, float64(line.At.Sub(at))/float64(time.Millisecond))
		if err := sleep(ctx, changeInterval); err != nil {
			return SettingsChangeCosts{}, err
		}
	}
	took := time.Since(began)
	spent := float64(p.CPU()-was)/float64(time.Millisecond) - idle*took.Seconds()
	out.MedianApplyTime, out.MaxApplyTime, out.CPUPerChange = median(late), slices.Max(late), spent/float64(r.Changes)
	return out, nil
}

// idling is what a process takes while nothing happens, in milliseconds a second.
func idleCPU(ctx context.Context, p *Process, d time.Duration) (float64, error) {
	was, from := p.CPU(), time.Now()
	if err := sleep(ctx, d); err != nil {
		return 0, err
	}
	return float64(p.CPU()-was) / float64(time.Millisecond) / time.Since(from).Seconds(), nil
}
