package footprint

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Retune is one measurement of what a change of settings costs a sidecar: its file is replaced, and it is sent SIGHUP.
type Retune struct {
	Program string
	Dir     string
	Known   int // hosts that the configuration names
	Classes int // of the settings
	Changes int // one after the other
}

// Retuned is what they took.
type Retuned struct {
	Half     float64 `json:"in_force_ms_p50"` // from the signal until the log says that the configuration was read
	Worst    float64 `json:"in_force_ms_max"`
	CPU      float64 `json:"cpu_ms_per_change"` // beyond what it takes at rest
	File     int     `json:"file_bytes"`
	Settings int     `json:"settings_bytes"`
}

const retuneEach = 30 * time.Millisecond // apart: the log says 50 lines a second at most

// Measure takes it.
func (r Retune) Measure(ctx context.Context) (Retuned, error) {
	s, err := NewService(max(1, r.Known))
	if err != nil {
		return Retuned{}, err
	}
	defer s.Close()
	p, err := Begin(Start{Program: r.Program, Dir: r.Dir, Name: fmt.Sprintf("retune-%d-%d", r.Known, r.Classes), Discovery: s.Addr, Known: r.Known, Classes: r.Classes, Instances: 9})
	if err != nil {
		return Retuned{}, err
	}
	defer p.Close()
	if err := rest(ctx, time.Second); err != nil { // its start is over
		return Retuned{}, err
	}
	var out Retuned
	idle, err := idling(ctx, p, time.Duration(r.Changes)*retuneEach)
	if err != nil {
		return Retuned{}, err
	}
	var late []float64
	was, began := p.CPU(), time.Now()
	for n := range r.Changes {
		if out.File, out.Settings, err = p.Configure(n + 1); err != nil {
			return Retuned{}, err
		}
		at := time.Now()
		if err := p.Hup(); err != nil {
			return Retuned{}, err
		}
		line, err := p.Await("configuration read again", "the new configuration is not taken")
		if err != nil {
			return Retuned{}, err
		}
		if fault := line.Text.Get("error").Str; fault != "" {
			return Retuned{}, fmt.Errorf("gauge: settings are not taken: %s", fault)
		}
		late = append(late, float64(line.At.Sub(at))/float64(time.Millisecond))
		if err := rest(ctx, retuneEach); err != nil {
			return Retuned{}, err
		}
	}
	took := time.Since(began)
	spent := float64(p.CPU()-was)/float64(time.Millisecond) - idle*took.Seconds()
	out.Half, out.Worst, out.CPU = median(late), slices.Max(late), spent/float64(r.Changes)
	return out, nil
}

// idling is what a process takes while nothing happens, in milliseconds a second.
func idling(ctx context.Context, p *Process, d time.Duration) (float64, error) {
	was, from := p.CPU(), time.Now()
	if err := rest(ctx, d); err != nil {
		return 0, err
	}
	return float64(p.CPU()-was) / float64(time.Millisecond) / time.Since(from).Seconds(), nil
}
