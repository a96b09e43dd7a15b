package pollsim

import (
	"fmt"
	"slices"
	"time"
)

// Figures are the results of a simulation.
type Figures struct {
	Calls, Rejected int
	Refused         int           // connections, while the service was down or partitioned
	PeakCalls       int           // maximum in 100 ms
	MaxQueue        int           // maximum of waiting calls
	P50, P99, Max   time.Duration // from an instance's start until its first list
	SinceBack       time.Duration // from the end of the initial outage until the last first list
	Unanswered      int           // instances without a list, or not answered since their partition
	RestRate        float64       // calls a second in the last quarter
	HealTime        time.Duration // from the end of the partition until the last of its instances was answered
}

// summarize computes the results.
func (s *simulation) summarize() Figures {
	figures := s.figures
	var delays []time.Duration
	last := time.Duration(0)
	for index, c := range s.instances {
		if c.listedAt < 0 || index < s.Partitioned && c.answeredAt < s.healedAt() {
			figures.Unanswered++
		}
		if c.listedAt < 0 {
			continue
		}
		delays = append(delays, c.listedAt-c.startedAt)
		last = max(last, c.listedAt)
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		figures.P50, figures.P99, figures.Max = delays[(len(delays)-1)/2], delays[(len(delays)-1)*99/100], delays[len(delays)-1]
		figures.SinceBack = last - s.InitialOutage
	}
	restCalls := 0
	for i, n := range s.buckets {
		figures.PeakCalls = max(figures.PeakCalls, n)
		if time.Duration(i)*bucket >= 3*s.Length/4 {
			restCalls += n
		}
	}
	figures.RestRate = float64(restCalls) / (s.Length / 4).Seconds()
	return figures
}

// Heading names the columns of Figures.String.
const Heading = "calls  turned  no door  peak  line    half     99%    last  since up  never  at rest/s  healed"

// String formats the figures as a row, with times in seconds.
func (f Figures) String() string {
	seconds := func(d time.Duration) string { return fmt.Sprintf("%6.2f", d.Seconds()) }
	return fmt.Sprintf("%5d  %6d  %7d  %4d  %4d  %s  %s  %s    %s  %5d  %9.0f  %s", f.Calls, f.Rejected, f.Refused, f.PeakCalls, f.MaxQueue,
		seconds(f.P50), seconds(f.P99), seconds(f.Max), seconds(f.SinceBack), f.Unanswered, f.RestRate, seconds(f.HealTime))
}

// Worse returns the larger of each figure: all are costs.
func (f Figures) Worse(o Figures) Figures {
	return Figures{max(f.Calls, o.Calls), max(f.Rejected, o.Rejected), max(f.Refused, o.Refused), max(f.PeakCalls, o.PeakCalls), max(f.MaxQueue, o.MaxQueue),
		max(f.P50, o.P50), max(f.P99, o.P99), max(f.Max, o.Max), max(f.SinceBack, o.SinceBack), max(f.Unanswered, o.Unanswered), max(f.RestRate, o.RestRate),
		max(f.HealTime, o.HealTime)}
}
