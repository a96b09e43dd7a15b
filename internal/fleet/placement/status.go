package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Share is an endpoint's share of the calls of a row.
type Share struct {
	Endpoint string  `json:"endpoint"`
	Share    float64 `json:"share"`
}

// TableStatus is a table as shown in the router's status.
type TableStatus struct {
	Service      string               `json:"service"`
	TargetMs     int64                `json:"targetMs"`
	Rows         [bucketCount][]Share `json:"rows"`
	PayoffBefore float64              `json:"payoffBefore"` // expected share of calls in time, before the last solve
	PayoffAfter  float64              `json:"payoffAfter"`  // and after it
}

// Tables returns the status of all tables, ordered by service and target.
func (p *Placer) Tables() []TableStatus {
	var statuses []TableStatus
	for name, s := range p.services {
		for target, t := range s.tables {
			v := TableStatus{Service: name, TargetMs: target.Milliseconds(), PayoffBefore: t.payoffBefore, PayoffAfter: t.payoffAfter}
			for k, row := range t.rows {
				for i, share := range row {
					v.Rows[k] = append(v.Rows[k], Share{Endpoint: s.endpoints[i].ID, Share: share})
				}
			}
			statuses = append(statuses, v)
		}
	}
	slices.SortFunc(statuses, func(a, b TableStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.TargetMs, b.TargetMs))
	})
	return statuses
}

// AccuracyStatus compares expected and actual times to first token since the router's start, for one class of calls by
// prefilled units.
type AccuracyStatus struct {
	UnitsBelow float64 `json:"unitsBelow,omitempty"` // upper bound of the class; 0: none
	Calls      float64 `json:"calls"`
	ExpectedMs float64 `json:"expectedMs"` // mean
	ActualMs   float64 `json:"actualMs"`   // mean
}

// EndpointStatus is this router's estimate of an endpoint's state.
type EndpointStatus struct {
	Endpoint       string  `json:"endpoint"`
	WaitMs         float64 `json:"waitMs"`    // expected wait of a call of the least urgent priority
	Streams        int     `json:"streams"`   // streams that are probably running
	CachedPrefixes int     `json:"kept"`      // number of prefixes
	Slowness       float64 `json:"slowness"`  // ratio of delays to the service's prefill model
	FailureShare   float64 `json:"failShare"` // share of calls that fail
	Ejected        bool    `json:"ejected,omitempty"`
}

// ServiceStatus is what this router has learned about a service's endpoints.
type ServiceStatus struct {
	Service    string           `json:"service"`
	BaseMs     float64          `json:"firstMs"`     // time to first token without prefill
	PerUnitUs  float64          `json:"unitUs"`      // additional microseconds per prefilled unit
	PerPairMs  float64          `json:"pairMs"`      // additional milliseconds per million pairs of units
	StallShare float64          `json:"pauseShare"`  // stall of a stream by a prefill, as a share of the prefill's time
	Accuracy   []AccuracyStatus `json:"firstTokens"` // by class of prefilled units
	Endpoints  []EndpointStatus `json:"endpoints"`
}

// Services returns the status of all services, ordered by name.
func (p *Placer) Services(now time.Duration) []ServiceStatus {
	var statuses []ServiceStatus
	for name, s := range p.services {
		statuses = append(statuses, s.status(now, name))
	}
	slices.SortFunc(statuses, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return statuses
}

func (s *service) status(now time.Duration, name string) ServiceStatus {
	line := s.prefill.line()
	v := ServiceStatus{
		Service: name, BaseMs: tenths(line.base * 1e3), PerUnitUs: tenths(line.perUnit * 1e6), PerPairMs: line.perPair * 1e3,
		StallShare: s.stalls.share(), Accuracy: s.accuracy.statuses(),
	}
	for _, e := range s.endpoints {
		v.Endpoints = append(v.Endpoints, e.status(now, s.callRate))
	}
	return v
}

func (a *accuracy) statuses() []AccuracyStatus {
	var statuses []AccuracyStatus
	for class, seen := range a {
		v := AccuracyStatus{Calls: seen.calls}
		if class < len(accuracyBounds) {
			v.UnitsBelow = accuracyBounds[class]
		}
		if seen.calls > 0 {
			v.ExpectedMs = tenths(seen.expected / seen.calls * 1e3)
			v.ActualMs = tenths(seen.actual / seen.calls * 1e3)
		}
		statuses = append(statuses, v)
	}
	return statuses
}

func (e *Endpoint) status(now time.Duration, callRate float64) EndpointStatus {
	e.queue.advance(now)
	return EndpointStatus{
		Endpoint: e.ID, WaitMs: tenths(e.queue.waitFor(priorityLevels-1) * 1e3), Streams: len(e.streams.running), CachedPrefixes: len(e.prefixes),
		Slowness: tenths(e.slowness.factor(now)), FailureShare: e.faults.share(now, callRate), Ejected: now < e.ejectedUntil,
	}
}

// tenths rounds a value to one decimal place.
func tenths(value float64) float64 { return math.Round(value*10) / 10 }
