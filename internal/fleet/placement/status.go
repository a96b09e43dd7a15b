package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Share is one endpoint's share of a row.
type Share struct {
	Endpoint string  `json:"endpoint"`
	Share    float64 `json:"share"`
}

// TableStatus is a table in the status that operators see.
type TableStatus struct {
	Service      string               `json:"service"`
	TargetMs     int64                `json:"targetMs"`
	Rows         [bucketCount][]Share `json:"rows"`
	PayoffBefore float64              `json:"payoffBefore"` // the last solve: share of calls in time
	PayoffAfter  float64              `json:"payoffAfter"`
}

// Tables returns all tables, ordered by service and target.
func (p *Placer) Tables() []TableStatus {
	var views []TableStatus
	for name, s := range p.services {
		for target, t := range s.tables {
			v := TableStatus{Service: name, TargetMs: target.Milliseconds(), PayoffBefore: t.payoffBefore, PayoffAfter: t.payoffAfter}
			for k, row := range t.rows {
				for i, share := range row {
					v.Rows[k] = append(v.Rows[k], Share{Endpoint: s.endpoints[i].ID, Share: share})
				}
			}
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b TableStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.TargetMs, b.TargetMs))
	})
	return views
}

// SizeStatus compares expected and actual times to first token since the start, for calls of a class of prefilled units.
type SizeStatus struct {
	UnitsBelow float64 `json:"unitsBelow,omitempty"` // 0: no bound
	Calls      float64 `json:"calls"`
	ExpectedMs float64 `json:"expectedMs"` // mean
	ActualMs   float64 `json:"actualMs"`   // mean
}

// EndpointStatus is what this router assumes of an endpoint.
type EndpointStatus struct {
	Endpoint  string  `json:"endpoint"`
	WaitMs    float64 `json:"waitMs"`    // of a call of the least urgent priority
	Streams   int     `json:"streams"`   // that probably run there
	Kept      int     `json:"kept"`      // prefixes cached
	Slowness  float64 `json:"slowness"`  // times the service's prefill model
	FailShare float64 `json:"failShare"` // of calls
	Ejected   bool    `json:"ejected,omitempty"`
}

// ServiceStatus is what this router has learned of a service's endpoints.
type ServiceStatus struct {
	Service     string           `json:"service"`
	FirstMs     float64          `json:"firstMs"`     // to a first token without prefill
	UnitUs      float64          `json:"unitUs"`      // more a unit
	PairMs      float64          `json:"pairMs"`      // more a million pairs of units
	PauseShare  float64          `json:"pauseShare"`  // of a prefill's time, the stall of streams beside it
	FirstTokens []SizeStatus     `json:"firstTokens"` // by prefilled units
	Endpoints   []EndpointStatus `json:"endpoints"`
}

// Services returns what this router has learned of all services' endpoints, ordered by service.
func (p *Placer) Services(now time.Duration) []ServiceStatus {
	var views []ServiceStatus
	for name, s := range p.services {
		views = append(views, s.view(now, name))
	}
	slices.SortFunc(views, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return views
}

func (s *service) view(now time.Duration, name string) ServiceStatus {
	line := s.prefill.line()
	v := ServiceStatus{
		Service: name, FirstMs: tenths(line.base * 1e3), UnitUs: tenths(line.perUnit * 1e6), PairMs: line.perPair * 1e3,
		PauseShare: s.stalls.share(), FirstTokens: s.accuracy.views(),
	}
	for _, e := range s.endpoints {
		v.Endpoints = append(v.Endpoints, e.view(now, s.callRate))
	}
	return v
}

func (a *accuracy) views() []SizeStatus {
	var views []SizeStatus
	for class, seen := range a {
		v := SizeStatus{Calls: seen.calls}
		if class < len(accuracyBounds) {
			v.UnitsBelow = accuracyBounds[class]
		}
		if seen.calls > 0 {
			v.ExpectedMs = tenths(seen.expected / seen.calls * 1e3)
			v.ActualMs = tenths(seen.actual / seen.calls * 1e3)
		}
		views = append(views, v)
	}
	return views
}

func (e *Endpoint) view(now time.Duration, callRate float64) EndpointStatus {
	e.queue.drain(now)
	return EndpointStatus{
		Endpoint: e.ID, WaitMs: tenths(e.queue.waitFor(priorityLevels-1) * 1e3), Streams: len(e.streams.running), Kept: len(e.prefixes),
		Slowness: tenths(e.slowness.factor(now)), FailShare: e.faults.share(now, callRate), Ejected: now < e.ejectedUntil,
	}
}

// tenths rounds a value to one decimal.
func tenths(value float64) float64 { return math.Round(value*10) / 10 }
