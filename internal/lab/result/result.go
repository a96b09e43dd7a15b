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
	voidP99    = 20 * time.Millisecond
	voidLate   = 50 * time.Millisecond
	voidShare  = 0.01            // of the first tries may be later than voidLate
	around     = 5 * time.Second // before and after a fault that its service is compared with
	leastMark  = time.Second     // of what is over at once: so long after it counts as during
	mostTold   = 20              // stories of a kind kept; a broken rule tends to break a thousand times
	longestLat = 10 * time.Minute
)

// Meta is what neither plan nor log knows.
type Meta struct {
	Builds []string // each sidecar build as its version command names it
	Player string   // "virtual" or "sockets"
}

// Broken is a rule that was broken.
type Broken struct {
	Kind    string     `json:"kind"`
	Count   int        `json:"count"`
	Stories [][]string `json:"stories"` // lines of each; the first 20
}

// Result is a whole run in figures. Times in it are seconds from the run's start, latencies milliseconds.
type Result struct {
	Schema   int      `json:"schema"`
	Scenario string   `json:"scenario"`
	About    string   `json:"about,omitempty"`
	Seed     uint64   `json:"seed"`
	Builds   []string `json:"builds"`
	Player   string   `json:"player"`
	Length   float64  `json:"length_s"` // of the arrivals
	Settle   float64  `json:"settle_s"` // at the start, left out of the figures
	End      float64  `json:"end_s"`    // when the last of it was over
	Sidecars int      `json:"sidecars"` // also those beside boxes
	Tiers    []string `json:"tiers"`

	// Room is the worth that the boxes' present capacity allowed, over the worth asked: in each second, from
	// Settle on, the work they could do over the work asked, 1 at most; of the tier that allows the least. A
	// policy that serves the more valuable first can be above it.
	Room     float64   `json:"room"`
	All      Figures   `json:"all"`
	Classes  []Class   `json:"classes"`
	Strays   int       `json:"stray_visits"` // visits with the id of no try: probes, or forged
	Broken   []Broken  `json:"broken"`
	Expect   []Expect  `json:"expect"`
	Marks    []Mark    `json:"marks"`
	Notice   Notice    `json:"notice"`
	Together *Together `json:"together,omitempty"` // of runs on sockets
	Peak     *Peak     `json:"peak"`               // null where no box was sent anything
	Audited  *Audited  `json:"audited,omitempty"`  // where operators can call the sidecars, or something came late to a box that had left
	Rig      Rig       `json:"rig"`
	Usage    []Usage   `json:"usage"`
	Fallen   int       `json:"boxes_fallen"` // boxes that fell over at least once
	Worst    float64   `json:"worst_load"`   // the highest of the boxes' worst_load
	Boxes    []Box     `json:"boxes"`
	Seconds  []Second  `json:"seconds"`
	Aims     []float64 `json:"aims_ms"` // the different aims of the classes, rising
}

// Part is a number of requests and its share of those asked, 0 where none was.
type Part struct {
	Count int     `json:"count"`
	Share float64 `json:"share"`
}

// Figures are those of a class or of all requests.
type Figures struct {
	Asked   int     `json:"asked"`   // requests whose first try was due from Settle on
	Served  Part    `json:"served"`  // answered within the class's aim, counted from Due
	Late    Part    `json:"late"`    // answered later
	Refused Part    `json:"refused"` // the last try was answered 429 or 503
	Failed  Part    `json:"failed"`  // anything else
	Gone    Part    `json:"gone"`    // the client left, as planned, with no answer
	Service float64 `json:"service"` // worth served in aim over worth asked; 0 where nothing was asked
	// Sample is the number of equal requests whose worth would scatter like these (Kish 1965): squared sum
	// over sum of squares. It tells how far service is noise.
	Sample   float64   `json:"service_sample"`
	Tries    float64   `json:"tries"`    // of the client, a request
	Refusals float64   `json:"refusals"` // answers 429 and 503 that clients saw, a request
	Attempts []float64 `json:"attempts"` // visits to boxes of each tier, a request
	Copies   float64   `json:"copies"`   // visits begun while another of the same try was open, a request
	Work     float64   `json:"work_s"`   // done by boxes, in seconds of a standard core
	Wasted   float64   `json:"wasted"`   // share of Work that served no client; 0 where there was none
	Latency  *Latency  `json:"latency"`  // from Due, of the served and the late; null without any
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
	Name string  `json:"name"`
	Aim  float64 `json:"aim_ms"`
	Figures
}

// Expect is an expectation of the scenario and what came of it.
type Expect struct {
	What     string   `json:"what"`
	Class    string   `json:"class,omitempty"`
	From     float64  `json:"from_s"`
	To       float64  `json:"to_s"` // 0 is to the end
	Least    *float64 `json:"least,omitempty"`
	Most     *float64 `json:"most,omitempty"`
	Measured *float64 `json:"measured"` // null: there was nothing to measure, so that it does not hold
	Held     bool     `json:"held"`
}

// Mark is a fault. Before, During and After are the service in up to 5 s before it, in it and in up to 5 s
// after it; null where nothing was asked.
type Mark struct {
	What   string   `json:"what"`
	From   float64  `json:"from_s"`
	To     float64  `json:"to_s"`
	Before *float64 `json:"service_before"`
	During *float64 `json:"service_during"`
	After  *float64 `json:"service_after"`
}

// Rig is how punctual the rig was. A void run says nothing of the sidecars.
type Rig struct {
	Sent     int     `json:"sent"` // first tries whose lateness is known; 0 in virtual time
	P50      float64 `json:"late_p50_ms"`
	P99      float64 `json:"late_p99_ms"`
	Max      float64 `json:"late_max_ms"`
	VeryLate float64 `json:"very_late"` // share more than 50 ms late
	Void     bool    `json:"void"`
	Why      string  `json:"why,omitempty"`
}

// Usage is what a sidecar's process took.
type Usage struct {
	Sidecar     string  `json:"sidecar"`
	Build       int     `json:"build"` // index into Builds
	CPU         float64 `json:"cpu_s"`
	PeakMemory  float64 `json:"peak_memory_mb"` // resident, 2^20 bytes
	Descriptors int     `json:"descriptors"`    // most at once
}

// Box is one server. Its lists have one value a second from the run's start.
type Box struct {
	Name   string  `json:"name"`
	Tier   int     `json:"tier"`
	Kind   string  `json:"kind"`
	Cores  int     `json:"cores"`
	Worst  float64 `json:"worst_load"` // while cold: most work sent in a window over what it could do then
	Fallen bool    `json:"fallen"`

	Samples int       `json:"samples"` // that the lists are made of; 0: nothing is known
	Sent    []float64 `json:"sent"`    // work that reached it, in standard cores
	Could   []float64 `json:"could"`   // that it could have done
	InWork  []float64 `json:"in_work"` // requests, mean of the samples
	Waiting []float64 `json:"waiting"`
	Cold    []bool    `json:"cold"` // at some time in that second
}

// Second is the requests whose first try was due in that second; tries, refusals, visits and copies are
// theirs, whenever they came.
type Second struct {
	At       int     `json:"at_s"`
	Asked    int     `json:"asked"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Gone     int     `json:"gone"`
	Service  float64 `json:"service"`
	Tries    int     `json:"tries"`
	Refusals int     `json:"refusals"`
	Visits   []int   `json:"visits"` // by tier
	Copies   int     `json:"copies"`
	Mean     float64 `json:"mean_ms"` // latency; 0 where none was answered
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// Held tells whether every rule was kept and every expectation held.
func (r *Result) Held() bool {
	for _, e := range r.Expect {
		if !e.Held {
			return false
		}
	}
	return len(r.Broken) == 0
}
