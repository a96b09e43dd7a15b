package config

import "time"

// RouteType determines how often a request of a route may be executed.
type RouteType string

// The types of routes.
const (
	Safe      RouteType = "safe"      // idempotent: may be executed more than once
	Unsafe    RouteType = "unsafe"    // executed at most once for each request of the client
	Streaming RouteType = "streaming" // like Unsafe, unless the route has StreamResume
)

// Route defines how requests for a host and path prefix are forwarded.
type Route struct {
	Name            string    `json:"name"`
	Host            string    `json:"host"`
	PathPrefix      string    `json:"pathPrefix"`
	Type            RouteType `json:"type"`
	TimeoutMs       float64   `json:"timeoutMs"`
	TargetLatencyMs float64   `json:"targetLatencyMs"`
	Priority        int       `json:"priority"`
	Service         string    `json:"service"`  // used if Backends is empty; must exist in any case
	Backends        []Backend `json:"backends"` // share the requests by weight
	MaxAttempts     int       `json:"maxAttempts"`
	Public          bool      `json:"public"`
	SessionAffinity bool      `json:"sessionAffinity"` // accepted but not used
	StreamResume    bool      `json:"streamResume"`    // makes a Streaming route idempotent
	MaxEventGapMs   float64   `json:"gap_aim_ms"`
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to those of the route's other backends
}

// Timeout returns the maximum duration of a request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// TargetLatency returns the latency up to which a response has its full value.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMs) }

// MaxEventGap returns the maximum gap between two events of a stream that counts as on time; 0: no limit.
func (r *Route) MaxEventGap() time.Duration { return milliseconds(r.MaxEventGapMs) }

// Idempotent reports whether a request may be executed more than once.
func (r *Route) Idempotent() bool {
	return r.Type == Safe || r.Type == Streaming && r.StreamResume
}

// AttemptLimit returns the maximum number of endpoints to which one request of a client may be sent; at least 1.
func (r *Route) AttemptLimit() int { return max(1, r.MaxAttempts) }

// PickService chooses the service of a request by the backends' weights; draw is a uniform random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	backends := r.backends()
	sum := 0.0
	for _, backend := range backends {
		sum += backend.Weight
	}
	remaining := draw * sum
	for _, backend := range backends {
		if remaining -= backend.Weight; remaining < 0 && backend.Weight > 0 {
			return backend.Service
		}
	}
	for _, backend := range backends { // reached only through rounding errors
		if backend.Weight > 0 {
			return backend.Service
		}
	}
	return r.Service
}

// backends returns the route's backends; without any, Service is the only one.
func (r *Route) backends() []Backend {
	if len(r.Backends) > 0 {
		return r.Backends
	}
	return []Backend{{Service: r.Service, Weight: 1}}
}

// validate checks the route's time-out and weights, and that its services exist. An error is an *InvalidError.
func (r *Route) validate(services map[string]*Service) error {
	item := "route " + r.Name
	if r.TimeoutMs <= 0 {
		return &InvalidError{Item: item, Reason: "has no timeoutMs above 0"}
	}
	if r.Service != "" && services[r.Service] == nil { // also beside backends, where it is not used
		return &InvalidError{Item: item, Reason: "names the unknown service " + r.Service}
	}
	sum := 0.0
	for _, backend := range r.backends() {
		if services[backend.Service] == nil {
			return &InvalidError{Item: item, Reason: "names the unknown service " + backend.Service}
		}
		if backend.Weight < 0 {
			return &InvalidError{Item: item, Reason: "has a weight below 0"}
		}
		sum += backend.Weight
	}
	if sum <= 0 {
		return &InvalidError{Item: item, Reason: "has weights that sum to 0"}
	}
	return nil
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
