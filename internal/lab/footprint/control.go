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

// Control is one measurement of what sidecars at rest take: no request comes.
type Control struct {
	Program   string
	Dir       string
	Hosts     int     // on the list
	Changes   float64 // of it a second
	Processes int     // sidecars beside each other, each with a list service of its own
	Instances int     // that each is told of; 0 is as many as hosts
	Operator  string  // the operator's file
	Operators bool    // can call it
	Settle    time.Duration
	Windows   int           // of which the median is taken,
	Window    time.Duration // each so long
}

// Taken is what one sidecar took, or several together.
type Taken struct {
	CPU       float64 `json:"cpu_ms_per_s"`
	RSS       float64 `json:"rss_mb"`
	Peak      float64 `json:"peak_mb"`
	Calls     float64 `json:"calls_per_s"`
	Bytes     float64 `json:"bytes_per_s"` // both ways, HTTP's heads included and TCP's not
	ListBytes int     `json:"list_bytes"`
	Changed   int     `json:"changes"` // that were made while it was measured
	Half      float64 `json:"in_force_ms_p50"`
	Worst     float64 `json:"in_force_ms_max"`
}

const mb = 1 << 20

// Measure takes it. An error is one of starting, or ctx's.
func (c Control) Measure(ctx context.Context) (Taken, error) {
	var all []*one
	defer func() {
		for _, o := range all {
			o.close()
		}
	}()
	for i := range c.Processes {
		o, err := c.begin(fmt.Sprintf("control-%d", i))
		if err != nil {
			return Taken{}, err
		}
		all = append(all, o)
	}
	if err := rest(ctx, c.Settle); err != nil {
		return Taken{}, err
	}
	over, end := context.WithCancel(ctx)
	var changing sync.WaitGroup
	defer changing.Wait()
	defer end()
	for _, o := range all {
		changing.Go(func() { o.change(over, c.Changes) })
	}
	var cpu, calls, bytes []float64
	for range c.Windows {
		u, n, b := sum(all)
		from := time.Now()
		if err := rest(ctx, c.Window); err != nil {
			return Taken{}, err
		}
		took := time.Since(from).Seconds()
		v, m, d := sum(all)
		cpu = append(cpu, float64(v-u)/float64(time.Millisecond)/took)
		calls, bytes = append(calls, float64(m-n)/took), append(bytes, float64(d-b)/took)
	}
	end()
	changing.Wait()
	t := Taken{CPU: median(cpu), Calls: median(calls), Bytes: median(bytes), ListBytes: all[0].service.Whole()}
	var late []float64
	for _, o := range all {
		now, peak := o.process.Memory()
		t.RSS, t.Peak = t.RSS+float64(now)/mb, t.Peak+float64(peak)/mb
		t.Changed += len(o.late)
		late = append(late, o.late...)
	}
	if len(late) > 0 {
		t.Half, t.Worst = median(late), slices.Max(late)
	}
	return t, nil
}

// one is a sidecar with its list service.
type one struct {
	service *Service
	process *Process
	late    []float64 // milliseconds from each change until the sidecar's log had it
}

func (c *Control) begin(name string) (*one, error) {
	s, err := NewService(c.Hosts)
	if err != nil {
		return nil, err
	}
	p, err := Begin(Start{Program: c.Program, Dir: c.Dir, Name: name, Discovery: s.Addr, Operator: c.Operator, Classes: 3, Instances: cmp.Or(c.Instances, c.Hosts), Known: c.Hosts, Control: c.Operators})
	if err != nil {
		s.Close()
		return nil, err
	}
	return &one{service: s, process: p}, nil
}

func (o *one) close() {
	o.process.Close()
	o.service.Close()
}

// change makes so many changes a second until ctx ends, and waits for each to be in force: those that come while one is waited for
// are made late, and not at once.
func (o *one) change(ctx context.Context, rate float64) {
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
		revision := o.service.Restart(n % len(o.service.hosts))
		for {
			line, err := o.process.Await("cluster changed")
			if err != nil {
				return
			}
			if line.Text.Get("revision").Int() >= revision {
				o.late = append(o.late, float64(line.At.Sub(at))/float64(time.Millisecond))
				break
			}
		}
	}
}

func sum(all []*one) (cpu time.Duration, calls, bytes int64) {
	for _, o := range all {
		n, b := o.service.Taken()
		cpu, calls, bytes = cpu+o.process.CPU(), calls+n, bytes+b
	}
	return cpu, calls, bytes
}

func rest(ctx context.Context, d time.Duration) error {
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

// Load is the machine's, over the last minute: how many threads ran or wanted to.
func Load() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
