package stubfleet

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// inForce returns, in order, how long each change took until each sidecar applied it; the number of pairs of change and sidecar
// without that; and the number of applied lists that the service never had.
func (p *play) inForce(changes []int64, incarnations []Incarnation) (delays []time.Duration, never, wrong int) {
	history := p.service.history
	byNumber := map[int][]Applied{}
	for _, i := range incarnations {
		applied := byNumber[i.Number]
		for _, a := range i.Applied {
			if a.Revision < 1 || a.Revision > int64(len(history)) || a.Digest != 0 && a.Digest != history[a.Revision-1].digest {
				wrong++
				continue
			}
			applied = append(applied, a)
		}
		byNumber[i.Number] = applied
	}
	for _, applied := range byNumber {
		slices.SortFunc(applied, func(a, b Applied) int { return int(a.At - b.At) })
		next := 0
		for _, change := range changes {
			for next < len(applied) && applied[next].Revision < change {
				next++
			}
			if next == len(applied) {
				never++
				continue
			}
			delays = append(delays, applied[next].At-history[change-1].at)
		}
	}
	slices.Sort(delays)
	return delays, never, wrong
}

// firstListTimes returns, in order, how long sidecars took from their start to a first list, and how many never had one. Those
// that were restarted before they had one count as neither.
func firstListTimes(incarnations []Incarnation) (delays []time.Duration, never int) {
	lastStart := map[int]time.Duration{} // by number
	for _, i := range incarnations {
		lastStart[i.Number] = max(lastStart[i.Number], i.StartedAt)
	}
	for _, i := range incarnations {
		switch {
		case len(i.Applied) > 0:
			delays = append(delays, i.Applied[0].At-i.StartedAt)
		case i.StartedAt == lastStart[i.Number]:
			never++
		}
	}
	slices.Sort(delays)
	return delays, never
}

// lastFirstList returns the time from since until the last sidecar had a first list, in ms.
func lastFirstList(incarnations []Incarnation, since time.Duration) (last float64) {
	for _, i := range incarnations {
		if len(i.Applied) > 0 {
			last = max(last, millis(i.Applied[0].At-since))
		}
	}
	return last
}

// percentile returns a percentile of sorted durations, in ms; 0 of none.
func percentile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return millis(sorted[(len(sorted)*percent+99)/100-1])
}

// millis converts to milliseconds.
func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// loadAverage returns the load average of the machine over the last minute, or 0 if it is unknown.
func loadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return 0
	}
	load, _ := strconv.ParseFloat(fields[0], 64)
	return load
}
