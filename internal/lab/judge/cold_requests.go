package judge

import (
	"fmt"
	"math"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// MaxColdRequestRatio is the most requests that came to a cold endpoint in a window of Rules.FallWindow, from all sidecars together,
// over the limit N + 2 sqrt(N) + 2, where N is what the settings allow the endpoint in that window, in requests of the classes' mean
// work; and where and when that was. A window counts only if two thirds of its requests came from sidecars notified of the start:
// otherwise nobody is to blame. It counts what is sent, whether or not the model's endpoint collapses, which it does by work and
// sooner. It is 0 if no endpoint was cold.
func MaxColdRequestRatio(p *plan.Plan, log *trace.Log) (ratio float64, where string) {
	e := &evaluation{plan: p, log: log, index: newIndex(log)}
	for endpoint := range p.Endpoints {
		for _, start := range startTimes(p, endpoint) {
			if r, at := e.maxRatioAfterStart(endpoint, start); r > ratio {
				ratio, where = r, fmt.Sprintf("box %s, %s", e.endpointName(endpoint), at)
			}
		}
	}
	return ratio, where
}

// maxRatioAfterStart is MaxColdRequestRatio after one start of an endpoint.
func (e *evaluation) maxRatioAfterStart(endpoint int, start time.Duration) (ratio float64, where string) {
	spec, window := &e.plan.Endpoints[endpoint].Spec, e.plan.Scenario.Rules.CollapseWindow.D()
	knownAt := e.startKnownAt(endpoint, start)
	var requests []trace.EndpointRequest // of the window that ends with the last of them
	for _, request := range e.log.EndpointRequests {
		if request.Endpoint != endpoint || request.FirstByte < start || request.FirstByte > start+spec.WarmupDuration {
			continue
		}
		requests = append(requests, request)
		for requests[0].FirstByte <= request.FirstByte-window {
			requests = requests[1:]
		}
		informed := e.countInformed(requests, knownAt)
		if float64(informed) <= minInformedShare*float64(len(requests)) {
			continue
		}
		age := max(0, request.FirstByte-window/2-start) // capacity grows evenly: in the middle of the window it is the mean
		capacity := float64(spec.Cores) * spec.Speed * (spec.WarmupInitialShare + (1-spec.WarmupInitialShare)*float64(age)/float64(spec.WarmupDuration))
		allowed := e.plan.Scenario.Rules.CollapseMultiple * capacity * float64(window) / meanWork(e.plan)
		if r := float64(len(requests)) / (allowed + 2*math.Sqrt(allowed) + 2); r > ratio {
			ratio = r
			where = fmt.Sprintf("%v after its start: %d in %v, %d of them told, N is %.1f",
				request.FirstByte-start, len(requests), window, informed, allowed)
		}
	}
	return ratio, where
}

// countInformed counts the requests that came from sidecars that knew of the endpoint's start.
func (e *evaluation) countInformed(requests []trace.EndpointRequest, knownAt map[int]time.Duration) int {
	informed := 0
	for i := range requests {
		attempt := e.index.attempt(requests[i].TransactionID)
		if attempt < 0 {
			continue
		}
		if at, known := knownAt[e.log.ClientAttempts[attempt].Sidecar]; known && at <= requests[i].FirstByte {
			informed++
		}
	}
	return informed
}

// meanWork is the mean work of a request, in nanoseconds of a standard core.
func meanWork(p *plan.Plan) float64 {
	work, shares := 0.0, 0.0
	for _, class := range p.Scenario.Classes {
		work += class.Share * float64(class.Work.D())
		shares += class.Share
	}
	return work / shares
}
