package footprint

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const idleClasses = 3 // of an idle sidecar's settings

// IdleMeasurement measures what sidecars cost that get no requests.
type IdleMeasurement struct {
	Program        string
	Dir            string
	Hosts          int     // on the endpoint list
	ChangeRate     float64 // of the list, a second
	Processes      int     // sidecars at the same time, each with a discovery service of its own
	Instances      int     // of the fleet, by the sidecars' settings; 0 is as many as hosts
	OperatorConfig string  // content of the operator's file
	ControlEnabled bool    // operators can call the sidecars
	WarmUp         time.Duration
	Windows        int // of which the medians are taken
	Window         time.Duration
}

// IdleCosts are those of all sidecars of an IdleMeasurement together.
type IdleCosts struct {
	CPU             float64 `json:"cpu_ms_per_s"`
	RSS             float64 `json:"rss_mb"` // MiB
	PeakRSS         float64 `json:"peak_mb"`
	PollRate        float64 `json:"calls_per_s"` // of the discovery services
	ByteRate        float64 `json:"bytes_per_s"` // in both directions, with HTTP's headers but without TCP's
	ListBytes       int     `json:"list_bytes"`  // body of a full list
	AppliedChanges  int     `json:"changes"`     // of the list, during the windows
	MedianApplyTime float64 `json:"in_force_ms_p50"`
	MaxApplyTime    float64 `json:"in_force_ms_max"`
}

// Measure takes the measurement. An error is that of a sidecar's start, or ctx's.
func (m IdleMeasurement) Measure(ctx context.Context) (IdleCosts, error) {
	var sidecars []*idleSidecar
	defer func() {
		for _, s := range sidecars {
			s.close()
		}
	}()
	for i := range m.Processes {
		s, err := m.start(fmt.Sprintf("control-%d", i))
		if err != nil {
			return IdleCosts{}, err
		}
		sidecars = append(sidecars, s)
	}
	if err := sleep(ctx, m.WarmUp); err != nil {
		return IdleCosts{}, err
	}
	changesCtx, stopChanges := context.WithCancel(ctx)
	var changes sync.WaitGroup
	defer changes.Wait()
	defer stopChanges()
	for _, s := range sidecars {
		changes.Go(func() { s.applyChanges(changesCtx, m.ChangeRate) })
	}
	costs, err := m.measureWindows(ctx, sidecars)
	if err != nil {
		return IdleCosts{}, err
	}
	stopChanges()
	changes.Wait()
	costs.ListBytes = sidecars[0].service.ListBytes()
	var applyTimes []float64
	for _, s := range sidecars {
		now, peak := s.process.Memory()
		costs.RSS += float64(now) / mebibyte
		costs.PeakRSS += float64(peak) / mebibyte
		costs.AppliedChanges += len(s.applyTimes)
		applyTimes = append(applyTimes, s.applyTimes...)
	}
	if len(applyTimes) > 0 {
		costs.MedianApplyTime, costs.MaxApplyTime = median(applyTimes), slices.Max(applyTimes)
	}
	return costs, nil
}

// measureWindows returns the medians over the windows.
func (m *IdleMeasurement) measureWindows(ctx context.Context, sidecars []*idleSidecar) (IdleCosts, error) {
	var cpu, polls, bytes []float64
	for range m.Windows {
		before, start := totals(sidecars), time.Now()
		if err := sleep(ctx, m.Window); err != nil {
			return IdleCosts{}, err
		}
		seconds := time.Since(start).Seconds()
		after := totals(sidecars)
		cpu = append(cpu, milliseconds(after.cpu-before.cpu)/seconds)
		polls = append(polls, float64(after.polls-before.polls)/seconds)
		bytes = append(bytes, float64(after.bytes-before.bytes)/seconds)
	}
	return IdleCosts{CPU: median(cpu), PollRate: median(polls), ByteRate: median(bytes)}, nil
}

// idleSidecar is a sidecar with its discovery service.
type idleSidecar struct {
	service    *DiscoveryService
	process    *Process
	applyTimes []float64 // milliseconds from each change until the sidecar's log had it
}

func (m *IdleMeasurement) start(name string) (*idleSidecar, error) {
	service, err := NewDiscoveryService(m.Hosts)
	if err != nil {
		return nil, err
	}
	process, err := StartSidecar(SidecarOptions{
		Program:        m.Program,
		Dir:            m.Dir,
		Name:           name,
		DiscoveryAddr:  service.Addr,
		OperatorConfig: m.OperatorConfig,
		KnownHosts:     m.Hosts,
		Classes:        idleClasses,
		Instances:      cmp.Or(m.Instances, m.Hosts),
		ControlEnabled: m.ControlEnabled,
	})
	if err != nil {
		service.Close()
		return nil, err
	}
	return &idleSidecar{service: service, process: process}, nil
}

func (s *idleSidecar) close() {
	s.process.Close()
	s.service.Close()
}

// applyChanges changes the endpoint list at that rate a second until ctx ends, and waits until the sidecar has applied each
// change. Changes that are due meanwhile are skipped, so that they don't come all at once.
func (s *idleSidecar) applyChanges(ctx context.Context, rate float64) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		changedAt := time.Now()
		revision := s.service.RestartHost(n % len(s.service.hosts))
		appliedAt, err := s.awaitRevision(revision)
		if err != nil {
			return
		}
		s.applyTimes = append(s.applyTimes, milliseconds(appliedAt.Sub(changedAt)))
	}
}

// awaitRevision returns when the sidecar logged that it had a revision of the list, or a later one.
func (s *idleSidecar) awaitRevision(revision int64) (time.Time, error) {
	for {
		line, err := s.process.AwaitLog("cluster changed")
		if err != nil {
			return time.Time{}, err
		}
		if line.Fields.Get("revision").Int() >= revision {
			return line.At, nil
		}
	}
}

// usage is what sidecars have used since their start.
type usage struct {
	cpu          time.Duration
	polls, bytes int64
}

func totals(sidecars []*idleSidecar) usage {
	var sum usage
	for _, s := range sidecars {
		polls, bytes := s.service.Traffic()
		sum.cpu += s.process.CPU()
		sum.polls += polls
		sum.bytes += bytes
	}
	return sum
}
