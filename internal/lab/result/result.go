// Package result turns what a run left, its plan and its log, into the figures that people and machines read:
// result.json, the summary on the terminal and the table of pinelab diff. It is pure but for Read and Write,
// and equal inputs give equal bytes. docs/results.md describes every field.
//
// Requests are counted over all their tries and belong to the moment at which their first try was due.
package result

import "time"

// Schema is the version of result.json. It rises when a field changes its meaning or goes; new fields don't
// raise it.
const Schema = 1

// Tunables.
const (
	// A rig that sends later than this does not play the arrivals that it claims, and its own lateness shows as
	// the sidecar's latency: 20 ms is about the median of a calm run, 50 ms what a box's pause does.
	maxP99Lateness    = 20 * time.Millisecond
	latenessThreshold = 50 * time.Millisecond
	maxLateShare      = 0.01            // of the first tries may be later than latenessThreshold
	comparisonWindow  = 5 * time.Second // before and after a fault that its service is compared with
	minFaultDuration  = time.Second     // of what is over at once: so long after it counts as during
	maxTimelines      = 20              // stories of a kind kept; a broken rule tends to break a thousand times
	maxLatency        = 10 * time.Minute
)

// Meta is what neither plan nor log knows.
type Meta struct {
	Builds []string // each sidecar build as its version command names it
	Player string   // "virtual" or "sockets"
}

// Violation is a rule that was broken.
type Violation struct {
	Kind      string     `json:"kind"`
	Count     int        `json:"count"`
	Timelines [][]string `json:"stories"` // lines of each; the first 20
}

// Result is a whole run in figures. Times in it are seconds from the run's start, latencies milliseconds.
type Result struct {
	Schema      int      `json:"schema"`
	Scenario    string   `json:"scenario"`
	Description string   `json:"about,omitempty"`
	Seed        uint64   `json:"seed"`
	Builds      []string `json:"builds"`
	Player      string   `json:"player"`
	Length      float64  `json:"length_s"` // of the arrivals
	Settle      float64  `json:"settle_s"` // at the start, left out of the figures
	End         float64  `json:"end_s"`    // when the last of it was over
	Sidecars    int      `json:"sidecars"` // also those beside boxes
	Tiers       []string `json:"tiers"`

	// AttainableGoodput is the worth that the boxes' present capacity allowed, over the worth asked: in each second, from
	// Settle on, the work they could do over the work asked, 1 at most; of the tier that allows the least. A
	// policy that serves the more valuable first can be above it.
	AttainableGoodput    float64        `json:"room"`
	All                  Figures        `json:"all"`
	Classes              []Class        `json:"classes"`
	UnattributedRequests int            `json:"stray_visits"` // visits with the id of no try: probes, or forged
	Violations           []Violation    `json:"broken"`
	Expectations         []Expectation  `json:"expect"`
	FaultImpacts         []FaultImpact  `json:"marks"`
	Detection            FaultDetection `json:"notice"`
	FleetLoad            *FleetLoad     `json:"together,omitempty"` // of runs on sockets
	Peak                 *AttemptPeak   `json:"peak"`               // null where no box was sent anything
	Audit                *AuditResult   `json:"audited,omitempty"`  // where operators can call the sidecars, or something came late to a box that had left
	Harness              Harness        `json:"rig"`
	Usage                []Usage        `json:"usage"`
	CollapsedEndpoints   int            `json:"boxes_fallen"` // boxes that fell over at least once
	MaxColdLoad          float64        `json:"worst_load"`   // the highest of the boxes' worst_load
	Endpoints            []Endpoint     `json:"boxes"`
	Seconds              []Second       `json:"seconds"`
	TargetLatencies      []float64      `json:"aims_ms"` // the different aims of the classes, rising
}

// Proportion is a number of requests and its share of those asked, 0 where none was.
type Proportion struct {
	Count int     `json:"count"`
	Share float64 `json:"share"`
}

// Figures are those of a class or of all requests.
type Figures struct {
	Requested int        `json:"asked"`   // requests whose first try was due from Settle on
	Served    Proportion `json:"served"`  // answered within the class's aim, counted from Due
	Late      Proportion `json:"late"`    // answered later
	Rejected  Proportion `json:"refused"` // the last try was answered 429 or 503
	Failed    Proportion `json:"failed"`  // anything else
	Canceled  Proportion `json:"gone"`    // the client left, as planned, with no answer
	Goodput   float64    `json:"service"` // worth served in aim over worth asked; 0 where nothing was asked
	// EffectiveSampleSize is the number of equal requests whose worth would scatter like these (Kish 1965): squared sum
	// over sum of squares. It tells how far service is noise.
	EffectiveSampleSize float64   `json:"service_sample"`
	ClientAttempts      float64   `json:"tries"`    // of the client, a request
	Rejections          float64   `json:"refusals"` // answers 429 and 503 that clients saw, a request
	EndpointRequests    []float64 `json:"attempts"` // visits to boxes of each tier, a request
	Hedges              float64   `json:"copies"`   // visits begun while another of the same try was open, a request
	Work                float64   `json:"work_s"`   // done by boxes, in seconds of a standard core
	WastedShare         float64   `json:"wasted"`   // share of Work that served no client; 0 where there was none
	Latency             *Latency  `json:"latency"`  // from Due, of the served and the late; null without any
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

// Class is the figures of one.
type Class struct {
	Name          string  `json:"name"`
	TargetLatency float64 `json:"aim_ms"`
	Figures
}

// Expectation is an expectation of the scenario and what came of it.
type Expectation struct {
	What     string   `json:"what"`
	Class    string   `json:"class,omitempty"`
	From     float64  `json:"from_s"`
	To       float64  `json:"to_s"` // 0 is to the end
	Min      *float64 `json:"least,omitempty"`
	Max      *float64 `json:"most,omitempty"`
	Measured *float64 `json:"measured"` // null: there was nothing to measure, so that it does not hold
	Met      bool     `json:"held"`
}

// FaultImpact is a fault. Before, During and After are the service in up to 5 s before it, in it and in up to 5 s
// after it; null where nothing was asked.
type FaultImpact struct {
	Description string   `json:"what"`
	From        float64  `json:"from_s"`
	To          float64  `json:"to_s"`
	Before      *float64 `json:"service_before"`
	During      *float64 `json:"service_during"`
	After       *float64 `json:"service_after"`
}

// Harness is how punctual the rig was. A void run says nothing of the sidecars.
type Harness struct {
	Measured      int     `json:"sent"` // first tries whose lateness is known; 0 in virtual time
	P50           float64 `json:"late_p50_ms"`
	P99           float64 `json:"late_p99_ms"`
	Max           float64 `json:"late_max_ms"`
	VeryLateShare float64 `json:"very_late"` // share more than 50 ms late
	Void          bool    `json:"void"`
	Reason        string  `json:"why,omitempty"`
}

// Usage is what a sidecar's process took.
type Usage struct {
	Sidecar        string  `json:"sidecar"`
	Build          int     `json:"build"` // index into Builds
	CPU            float64 `json:"cpu_s"`
	PeakMemory     float64 `json:"peak_memory_mb"` // resident, 2^20 bytes
	MaxDescriptors int     `json:"descriptors"`    // most at once
}

// Endpoint is one server. Its lists have one value a second from the run's start.
type Endpoint struct {
	Name        string  `json:"name"`
	Tier        int     `json:"tier"`
	Kind        string  `json:"kind"`
	Cores       int     `json:"cores"`
	MaxColdLoad float64 `json:"worst_load"` // while cold: most work sent in a window over what it could do then
	Collapsed   bool    `json:"fallen"`

	Samples      int       `json:"samples"` // that the lists are made of; 0: nothing is known
	SentWork     []float64 `json:"sent"`    // work that reached it, in standard cores
	PossibleWork []float64 `json:"could"`   // that it could have done
	Running      []float64 `json:"in_work"` // requests, mean of the samples
	Queued       []float64 `json:"waiting"`
	WarmingUp    []bool    `json:"cold"` // at some time in that second
}

// Second is the requests whose first try was due in that second; tries, refusals, visits and copies are
// theirs, whenever they came.
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

// Met tells whether every rule was kept and every expectation held.
func (r *Result) Passed() bool {
	for _, e := range r.Expectations {
		if !e.Met {
			return false
		}
	}
	return len(r.Violations) == 0
}
