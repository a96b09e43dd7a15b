package settingsbench

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Result is the result of one case. It is stored as JSON: the tags stay.
type Result struct {
	Case        string  `json:"case"`
	Followers   int     `json:"followers"` // stubs
	Real        int     `json:"real"`
	Changes     int     `json:"changes"`
	Bytes       int     `json:"bytes"`             // of settings
	Publish     *Times  `json:"publish,omitempty"` // calls to publish; the time of a change starts with them
	Stubs       *Times  `json:"hollow,omitempty"`
	Sidecars    *Times  `json:"sidecars,omitempty"`
	Answering   *int    `json:"answer,omitempty"`   // sidecars that serve the class that only the last change has
	Seconds     float64 `json:"seconds"`            // of the case
	CallsPerS   float64 `json:"calls_s,omitempty"`  // of the stubs
	BytesPerS   float64 `json:"bytes_s,omitempty"`  // of the stubs, both ways
	Connections int64   `json:"connections"`        // of the stubs, since their start
	MaxCPU      float64 `json:"busiest,omitempty"`  // of the busiest distributor, cores
	MaxMemoryMB float64 `json:"largest,omitempty"`  // of the largest distributor, resident
	LabCPU      float64 `json:"rig_core,omitempty"` // the stubs and the rest of the test lab, cores
	Load        string  `json:"load"`               // load averages of the machine
	Note        string  `json:"note,omitempty"`
}

// writeResult completes a result and writes its line.
func (r *benchmark) writeResult(result Result) error {
	result.Real, result.Bytes, result.Load = r.Real, r.Bytes, loadAverages()
	if r.stubs != nil {
		result.Followers, result.Connections = len(r.stubs.byFollower), r.stubs.connections.Load()
	}
	text, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("settingsbench: %w", err)
	}
	if _, err := fmt.Fprintf(r.Out, "%s\n", text); err != nil {
		return fmt.Errorf("settingsbench: %w", err)
	}
	return r.ctx.Err()
}

// Times are the times from changes until they were in force, in milliseconds.
type Times struct {
	N    int     `json:"n"` // followers times changes
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Last float64 `json:"last_ms"`
	Late int     `json:"late"` // not in force within inForceTimeout
}

// newTimes computes the percentiles of delays; late is the number of those that were not in force.
func newTimes(delays []time.Duration, late int) *Times {
	t := &Times{N: len(delays) + late, Late: late}
	if len(delays) == 0 {
		return t
	}
	slices.Sort(delays)
	at := func(q float64) float64 {
		return float64(delays[min(len(delays)-1, int(q*float64(len(delays))))].Microseconds()) / 1000
	}
	t.P50, t.P99, t.Last = at(0.5), at(0.99), at(1)
	return t
}
