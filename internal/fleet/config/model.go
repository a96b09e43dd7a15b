package config

import (
	"encoding/json"
	"time"
)

// RouteType says how often a request of a route may run.
type RouteType string

// The types of routes.
const (
	Safe      RouteType = "safe"      // may run more than once
	Unsafe    RouteType = "unsafe"    // at most once a try of the client
	Streaming RouteType = "streaming" // as Unsafe, unless it may be resumed
)

// Route says where requests of a host and path go.
type Route struct {
	Name            string    `json:"name"`
	Host            string    `json:"host"`
	PathPrefix      string    `json:"pathPrefix"`
	Type            RouteType `json:"type"`
	TimeoutMs       float64   `json:"timeoutMs"`
	TargetLatencyMs float64   `json:"targetLatencyMs"`
	Priority        int       `json:"priority"`
	Service         string    `json:"service"`
	Backends        []Backend `json:"backends"`
	MaxAttempts     int       `json:"maxAttempts"`
	Public          bool      `json:"public"`
	SessionAffinity bool      `json:"sessionAffinity"`
	StreamResume    bool      `json:"streamResume"`
	MaxEventGapMs        float64   `json:"gap_aim_ms"`
}

// Timeout is the longest time that a request may be held.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// TargetLatency is the time within which an answer earns its full worth.
func (r *Route) TargetLatency() time.Duration { return milliseconds(r.TargetLatencyMs) }

// MaxEventGap is the longest pause between events of a stream with which it is in time; 0: no bound.
func (r *Route) MaxEventGap() time.Duration { return milliseconds(r.MaxEventGapMs) }

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Type == Safe || r.Type == Streaming && r.StreamResume
}

// AttemptLimit is the greatest number of endpoints to which one try may be sent.
func (r *Route) AttemptLimit() int { return max(1, r.MaxAttempts) }

// backends are the services that the route sends to, with their weights.
func (r *Route) backends() []Backend {
	if len(r.Backends) > 0 {
		return r.Backends
	}
	return []Backend{{Service: r.Service, Weight: 1}}
}

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of endpoints.
type Service struct {
	Name            string          `json:"name"`
	HealthCheckPath string          `json:"healthCheckPath"`
	MaxConnections  int             `json:"maxConnections"`
	Engine          json.RawMessage `json:"engine"`
}

// Engine says that a service's endpoints serve a language model.
type Engine struct {
	Capacity int     `json:"capacity"`
	KVTokens float64 `json:"kvTokens"`
	Stride   int     `json:"stride"`
}

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// TenantByKey is a customer with keys and a quota.
type Tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"apiKeys"`
	Priority    *int     `json:"priority"`
	Unit        string   `json:"unit"`
	PlainTokens float64  `json:"plainTokens"`
	RatePerS    float64  `json:"ratePerS"`
	Burst       float64  `json:"burst"`
}

// UnitTokens is the unit of quotas that are counted in tokens.
const UnitTokens = "token_count"

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
