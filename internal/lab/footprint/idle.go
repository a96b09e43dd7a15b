package footprint

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ControlAddr is one measurement of what sidecars at rest take: no request comes.
type IdleMeasurement struct {
	Program        string
	Dir            string
	Hosts          int     // on the list
	ChangeRate     float64 // of it a second
	Processes      int     // sidecars beside each other, each with a list service of its own
	Instances      int     // that each is told of; 0 is as many as hosts
	OperatorConfig string  // the operator's file
	ControlEnabled bool    // can call it
	WarmUp         time.Duration
	Windows        int           // of which the median is taken,
	Window         time.Duration // each so long
}

// Traffic is what one sidecar took, or several together.
type IdleCosts struct {
	CPU             float64 `json:"cpu_ms_per_s"`
	RSS             float64 `json:"rss_mb"`
	PeakRSS         float64 `json:"peak_mb"`
	PollRate        float64 `json:"calls_per_s"`
	ByteRate        float64 `json:"bytes_per_s"` // both ways, HTTP's heads included and TCP's not
	ListBytes       int     `json:"list_bytes"`
	AppliedChanges  int     `json:"changes"` // that were made while it was measured
	MedianApplyTime float64 `json:"in_force_ms_p50"`
	MaxApplyTime    float64 `json:"in_force_ms_max"`
}

const mebibyte = 1 << 20

// Measure takes it. An error is one of starting, or ctx's.
func (c IdleMeasurement) Measure(ctx context.Context) (IdleCosts, error) {
	var all []*idleSidecar
	defer func() {
		for _, o := range all {
			o.close()
		}
	}()
	for i := range c.Processes {
		o, err := c.start(fmt.Sprintf("control-%d", i))
		if err != nil {
			return IdleCosts{}, err
		}
		all = append(all, o)
	}
	if err := sleep(ctx, c.WarmUp); err != nil {
		return IdleCosts{}, err
	}
	over, end := context.WithCancel(ctx)
	var changing sync.WaitGroup
	defer changing.Wait()
	defer end()
	for _, o := range all {
		changing.Go(func() { o.applyChanges(over, c.ChangeRate) })
	}
	var cpu, calls, bytes []float64
	for range c.Windows {
		u, n, b := totals(all)
		from := time.Now()
		if err := sleep(ctx, c.Window); err != nil {
			return IdleCosts{}, err
		}
		took := time.Since(from).Seconds()
		v, m, d := totals(all)
		cpu = append(cpu, float64(v-u)/float64(time.Millisecond)/took)
		calls, bytes = append(calls, float64(m-n)/took), append(bytes, float64(d-b)/took)
	}
	end()
	changing.Wait()
	t := IdleCosts{CPU: median(cpu), PollRate: median(calls), ByteRate: median(bytes), ListBytes: all[0].service.ListBytes()}
	var late []float64
	for _, o := range all {
		now, peak := o.process.Memory()
		t.RSS, t.PeakRSS = t.RSS+float64(now)/mebibyte, t.PeakRSS+float64(peak)/mebibyte
		t.AppliedChanges += len(o.applyTimes)
		late = append(late, o.applyTimes...)
	}
	if len(late) > 0 {
		t.MedianApplyTime, t.MaxApplyTime = median(late), slices.Max(late)
	}
	return t, nil
}

// one is a sidecar with its list service.
type idleSidecar struct {
	service    *DiscoveryService
	process    *Process
	applyTimes []float64 // milliseconds from each change until the sidecar's log had it
}

func (c *IdleMeasurement) start(name string) (*idleSidecar, error) {
	s, err := NewDiscoveryService(c.Hosts)
	if err != nil {
		return nil, err
	}
	p, err := StartSidecar(SidecarOptions{Program: c.Program, Dir: c.Dir, Name: name, DiscoveryAddr: s.Addr, OperatorConfig: c.OperatorConfig, Classes: 3, Instances: cmp.Or(c.Instances, c.Hosts), KnownHosts: c.Hosts, ControlEnabled: c.ControlEnabled})
	if err != nil {
		s.Close()
		return nil, err
	}
	return &idleSidecar{service: s, process: p}, nil
}

func (o *idleSidecar) close() {
	o.process.Close()
	o.service.Close()
}

// change makes so many changes a second until ctx ends, and waits for each to be in force: those that come while one is waited for
// are made late, and not at once.
func (o *idleSidecar) applyChanges(ctx context.Context, rate float64) {
	if rate == 0 {
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		at := time.Now()
		revision := o.service.RestartHost(n % len(o.service.hosts))
		for {
			line, err := o.process.AwaitLog("cluster changed")
			if err != nil {
				return
			}
			if line.Fields.Get("revision").Int() >= revision {
				o.applyTimes = append(o.applyTimes, float64(line.At.Sub(at))/float64(time.Millisecond))
				break
			}
		}
	}
}

func totals(all []*idleSidecar) (cpu time.Duration, calls, bytes int64) {
	for _, o := range all {
		n, b := o.service.Traffic()
		cpu, calls, bytes = cpu+o.process.CPU(), calls+n, bytes+b
	}
	return cpu, calls, bytes
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return (v[len(v)/2] + v[(len(v)-1)/2]) / 2
}

// LoadAverage is the machine's, over the last minute: how many threads ran or wanted to.
func LoadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
