package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// accuracyBounds are the sizes that are told apart where what was expected is compared with what came.
var accuracyBounds = [...]float64{1000, 4000, 16000}

const accuracyClasses = len(accuracyBounds) + 1

// accuracy compares this router's first tokens with what was expected, by the units that were read.
type accuracy [accuracyClasses]struct{ calls, expected, actual float64 }

func (a *accuracy) observe(units float64, expected, actual time.Duration) {
	size := 0
	for size < len(accuracyBounds) && units >= accuracyBounds[size] {
		size++
	}
	a[size].calls++
	a[size].expected += expected.Seconds()
	a[size].actual += actual.Seconds()
}

// SizeView is what was expected and what came, since the start.
type SizeView struct {
	UnitsBelow float64 `json:"unitsBelow,omitempty"` // 0: no bound
	Calls      float64 `json:"calls"`
	ExpectedMs float64 `json:"expectedMs"` // mean
	ActualMs   float64 `json:"actualMs"`   // mean
}

// EndpointView is an endpoint as this router takes it to be.
type EndpointView struct {
	Endpoint  string  `json:"endpoint"`
	WaitMs    float64 `json:"waitMs"`    // of a call of the least urgent rank
	Streams   int     `json:"streams"`   // that may run there
	Kept      int     `json:"kept"`      // shared parts
	Slowness  float64 `json:"slowness"`  // times the service's line
	FailShare float64 `json:"failShare"` // of calls
	Ejected   bool    `json:"ejected,omitempty"`
}

// ServiceView is what is learned of a service's endpoints.
type ServiceView struct {
	Service     string         `json:"service"`
	FirstMs     float64        `json:"firstMs"`     // to a first token without any reading
	UnitUs      float64        `json:"unitUs"`      // more a unit that is read
	PairMs      float64        `json:"pairMs"`      // more a million pairs of units
	PauseShare  float64        `json:"pauseShare"`  // of a prompt's reading, between events of streams beside it
	FirstTokens []SizeView     `json:"firstTokens"` // by size
	Endpoints   []EndpointView `json:"endpoints"`
}

// Services shows what is learned of all services' endpoints, ordered by service.
func (p *Placer) Services(now time.Duration) []ServiceView {
	var views []ServiceView
	for name, s := range p.services {
		l := s.prefill.line()
		v := ServiceView{Service: name, FirstMs: tenths(l.base * 1e3), UnitUs: tenths(l.perUnit * 1e6), PairMs: l.perPair * 1e3, PauseShare: s.stalls.share()}
		for size, seen := range s.accuracy {
			each := SizeView{Calls: seen.calls}
			if size < len(accuracyBounds) {
				each.UnitsBelow = accuracyBounds[size]
			}
			if seen.calls > 0 {
				each.ExpectedMs, each.ActualMs = tenths(seen.expected/seen.calls*1e3), tenths(seen.actual/seen.calls*1e3)
			}
			v.FirstTokens = append(v.FirstTokens, each)
		}
		for _, e := range s.endpoints {
			e.queue.drain(now)
			v.Endpoints = append(v.Endpoints, EndpointView{
				Endpoint: e.ID, WaitMs: tenths(e.queue.waitFor(priorityLevels-1) * 1e3), Streams: len(e.streams.running), Kept: len(e.prefixes),
				Slowness: tenths(e.slowness.factor(now)), FailShare: e.faults.share(now, s.callRate), Ejected: now < e.ejectedUntil,
			})
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b ServiceView) int { return cmp.Compare(a.Service, b.Service) })
	return views
}

// tenths rounds a figure for reading.
func tenths(value float64) float64 { return math.Round(value*10) / 10 }
