// Package result computes the figures of a run that people and machines read from the run's plan and its trace: the file
// result.json, the summary on the terminal and the table of two results. docs/results.md describes every field of the file.
//
// It is pure but for Result.Write and Read, and equal inputs give equal bytes. Requests are counted over all their attempts
// and belong to the moment at which the first one was due. Package judge finds the violations; this one only counts them.
package result

import "time"

// Schema is the version of result.json. It rises when a field changes its meaning or is removed, not with new fields.
const Schema = 1

const (
	comparisonWindow = 5 * time.Second // before and after a fault, whose goodput is compared with that during the fault
	minFaultDuration = time.Second     // a shorter fault counts as lasting this long
	maxTimelines     = 20              // of a violation's kind; a violated rule tends to be violated a thousand times
)

// Meta is what neither the plan nor the trace says about a run.
type Meta struct {
	Builds []string // the sidecars' builds as their version command names them
	Player string   // "virtual" or "sockets"
}

// Violation is a rule that was violated.
type Violation struct {
	Kind      string     `json:"kind"`
	Count     int        `json:"count"`
	Timelines [][]string `json:"stories"` // the lines of each, for the first maxTimelines
}

// Result is a whole run in figures. Times are seconds from the run's start, latencies milliseconds.
type Result struct {
	Schema      int      `json:"schema"`
	Scenario    string   `json:"scenario"`
	Description string   `json:"about,omitempty"`
	Seed        uint64   `json:"seed"`
	Builds      []string `json:"builds"`
	Player      string   `json:"player"`
	Length      float64  `json:"length_s"` // for how long requests arrive
	WarmUp      float64  `json:"settle_s"` // at the start, left out of the figures
	End         float64  `json:"end_s"`    // when the last request and connection was done
	Sidecars    int      `json:"sidecars"` // those beside endpoints included
	Tiers       []string `json:"tiers"`

	// AttainableGoodput is the share of the requested value that the endpoints' capacity allowed: in each second from Settle
	// on, the work they could do over the work requested, 1 at most, of the tier that allows the least. A policy that serves
	// requests of higher value first can exceed it.
	AttainableGoodput    float64        `json:"room"`
	All                  Figures        `json:"all"`
	Classes              []Class        `json:"classes"`
	UnattributedRequests int            `json:"stray_visits"` // endpoint requests with the id of no attempt: health checks, or forged
	Violations           []Violation    `json:"broken"`
	Expectations         []Expectation  `json:"expect"`
	FaultImpacts         []FaultImpact  `json:"marks"`
	Detection            FaultDetection `json:"notice"`
	FleetLoad            *FleetLoad     `json:"together,omitempty"` // null in virtual time
	Peak                 *AttemptPeak   `json:"peak"`               // null where no endpoint got a request
	Audit                *AuditResult   `json:"audited,omitempty"`  // null where operators can't call the sidecars and no attempt was late
	Harness              Harness        `json:"rig"`
	Usage                []Usage        `json:"usage"`
	CollapsedEndpoints   int            `json:"boxes_fallen"` // number of endpoints that collapsed at least once
	MaxColdLoad          float64        `json:"worst_load"`   // the highest of the endpoints' MaxColdLoad
	Endpoints            []Endpoint     `json:"boxes"`
	Seconds              []Second       `json:"seconds"`
	TargetLatencies      []float64      `json:"aims_ms"` // the different ones of the classes, rising
}

// Passed reports whether no rule was violated and every expectation was met.
func (r *Result) Passed() bool {
	for _, e := range r.Expectations {
		if !e.Met {
			return false
		}
	}
	return len(r.Violations) == 0
}

// Proportion is a number of requests and its share of those requested, 0 where there were none.
type Proportion struct {
	Count int     `json:"count"`
	Share float64 `json:"share"`
}

// Figures are those of one class or of all requests.
type Figures struct {
	Requested int        `json:"asked"`   // requests whose first attempt was due from Settle on
	Served    Proportion `json:"served"`  // within the class's target latency, from when they were due
	Late      Proportion `json:"late"`    // served later than that
	Rejected  Proportion `json:"refused"` // the last attempt was answered 429 or 503
	Failed    Proportion `json:"failed"`  // anything else
	Canceled  Proportion `json:"gone"`    // by the client, as planned, before a response
	Goodput   float64    `json:"service"` // value served within the target latency over value requested; 0 without requests
	// EffectiveSampleSize is the number of requests of equal value whose goodput would scatter like this one's: the square of
	// the sum over the sum of the squares (Kish, Survey Sampling, 1965). It says how far Goodput is noise.
	EffectiveSampleSize float64   `json:"service_sample"`
	ClientAttempts      float64   `json:"tries"`    // for each request
	Rejections          float64   `json:"refusals"` // responses 429 and 503 to the client, for each request
	EndpointRequests    []float64 `json:"attempts"` // by tier, for each client request
	Hedges              float64   `json:"copies"`   // endpoint requests begun while another of the same attempt was open, for each request
	Work                float64   `json:"work_s"`   // done by endpoints, in seconds of a standard core
	WastedShare         float64   `json:"wasted"`   // share of Work that served no client; 0 without work
	Latency             *Latency  `json:"latency"`  // of the served and the late, from when they were due; null without any
}

// Latency is in milliseconds, to three digits (HdrHistogram).
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	Mean float64 `json:"mean_ms"`
}

// Class is the figures of one request class.
type Class struct {
	Name          string  `json:"name"`
	TargetLatency float64 `json:"aim_ms"`
	Figures
}

// Expectation is an expectation of the scenario and the value measured.
type Expectation struct {
	Measure  string   `json:"what"`            // one of scenario.Measures
	Class    string   `json:"class,omitempty"` // "" is all
	From     float64  `json:"from_s"`
	To       float64  `json:"to_s"` // 0 is the end
	Min      *float64 `json:"least,omitempty"`
	Max      *float64 `json:"most,omitempty"`
	Measured *float64 `json:"measured"` // null: there was nothing to measure, so that it is not met
	Met      bool     `json:"held"`
}

// FaultImpact is a fault and the goodput in comparisonWindow before it, during it and in comparisonWindow after it; null
// where nothing was requested.
type FaultImpact struct {
	Description string   `json:"what"`
	From        float64  `json:"from_s"`
	To          float64  `json:"to_s"`
	Before      *float64 `json:"service_before"`
	During      *float64 `json:"service_during"`
	After       *float64 `json:"service_after"`
}

// Usage is what a sidecar's process used.
type Usage struct {
	Sidecar        string  `json:"sidecar"`
	Build          int     `json:"build"`          // index into Builds
	CPU            float64 `json:"cpu_s"`          // seconds
	PeakMemory     float64 `json:"peak_memory_mb"` // resident, in MiB
	MaxDescriptors int     `json:"descriptors"`    // open at once
}

// Endpoint is one endpoint's figures. Its series have one value a second from the run's start.
type Endpoint struct {
	Name        string  `json:"name"`
	Tier        int     `json:"tier"`
	Kind        string  `json:"kind"`
	Cores       int     `json:"cores"`
	MaxColdLoad float64 `json:"worst_load"` // while warming up: most work sent in a window over what it could do in it
	Collapsed   bool    `json:"fallen"`

	Samples      int       `json:"samples"` // number that the series are made of; 0: nothing is known
	SentWork     []float64 `json:"sent"`    // work that reached it, in standard cores
	PossibleWork []float64 `json:"could"`   // work that it could have done
	Running      []float64 `json:"in_work"` // requests being executed, mean of the samples
	Queued       []float64 `json:"waiting"` // requests waiting there, mean of the samples
	WarmingUp    []bool    `json:"cold"`    // at some time in that second
}

// Second is the requests whose first attempt was due in one second. Attempts, rejections, endpoint requests and hedges are
// those of these requests, whenever they came.
type Second struct {
	At               int     `json:"at_s"`
	Requested        int     `json:"asked"`
	Served           int     `json:"served"`
	Late             int     `json:"late"`
	Rejected         int     `json:"refused"`
	Failed           int     `json:"failed"`
	Canceled         int     `json:"gone"`
	Goodput          float64 `json:"service"`
	ClientAttempts   int     `json:"tries"`
	Rejections       int     `json:"refusals"`
	EndpointRequests []int   `json:"visits"` // by tier
	Hedges           int     `json:"copies"`
	Mean             float64 `json:"mean_ms"` // latency; 0 where none was answered
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
}
