package requests

import (
	"slices"
	"sync"
	"time"
)

// Request is one request as its client saw it. Times are since the start of the play.
type Request struct {
	ID         string        `json:"id"`
	Route      string        `json:"route"`
	Idempotent bool          `json:"idempotent"`
	Key        string        `json:"key"`
	Router     string        `json:"router"`
	BodyBytes  int           `json:"bodyBytes"`
	Sent       time.Duration `json:"sent"`     // when it began to be sent
	BodySent   time.Duration `json:"bodySent"` // when the last byte of a slow body was sent; 0: its body was sent at once, or not to its end
	Ended      time.Duration `json:"ended"`
	Status     int           `json:"status"` // 0: no response
	Signature  string        `json:"signature,omitempty"`
	Complete   bool          `json:"complete"` // the response ended as it should
	Body       string        `json:"body,omitempty"`
}

// Run is one run of a request at an endpoint.
type Run struct {
	ID        string        `json:"id"`
	Endpoint  string        `json:"endpoint"`
	Tenant    string        `json:"tenant"`
	Behavior  string        `json:"behavior"`
	At        time.Duration `json:"at"`
	Status    int           `json:"status"`
	Signature string        `json:"signature"`
}

// Change is a change of the configuration as the operator saw it.
type Change struct {
	Name         string        `json:"name"`
	Version      int64         `json:"version"`
	Submitted    time.Duration `json:"submitted"`    // when it was sent first
	Acknowledged time.Duration `json:"acknowledged"` // 0: never
	Refused      int           `json:"refused"`      // a 4xx that it got; 0: none
	Keys         []string      `json:"keys"`         // that the configuration holds after it
}

// History is what clients, endpoints and the operator saw.
type History struct {
	Requests []*Request `json:"requests"`
	Runs     []*Run     `json:"runs"`
	Changes  []*Change  `json:"changes"`
	Faults   []string   `json:"faults"` // what endpoints found wrong in what they received
}

// recorder collects a history.
type recorder struct {
	begin time.Time

	mu      sync.Mutex
	history History
}

func (r *recorder) now() time.Duration { return time.Since(r.begin) }

func (r *recorder) addRequest(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, request)
}

func (r *recorder) addRun(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Runs = append(r.history.Runs, run)
}

func (r *recorder) addChange(change *Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Changes = append(r.history.Changes, change)
}

func (r *recorder) addFault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, text)
}

// snapshot returns the history until now.
func (r *recorder) snapshot() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Requests: slices.Clone(r.history.Requests), Runs: slices.Clone(r.history.Runs), Changes: slices.Clone(r.history.Changes),
		Faults: slices.Clone(r.history.Faults),
	}
}
