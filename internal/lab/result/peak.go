package result

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// peakWindow is the length of the windows that an AttemptPeak is the highest of.
const peakWindow = time.Second

// AttemptPeak is the second in which an endpoint was sent the most requests, over all endpoints and all windows of that
// length. Additional are those of the requests that are not the first of their client attempt: retries and hedges. Hedges
// are those of Additional that began while another request of the client attempt was open. Trials of an endpoint that was
// ejected are client attempts as well.
type AttemptPeak struct {
	Endpoint   string  `json:"box"`
	From       float64 `json:"from_s"` // start of the window, seconds
	Attempts   int     `json:"attempts"`
	Additional int     `json:"again"`
	Hedges     int     `json:"copies"`
}

// sentRequest is an endpoint request of a client attempt.
type sentRequest struct {
	at         time.Duration
	additional int // 1: not the first of its client attempt
	hedge      int // 1: another one of its client attempt was open
}

// attemptPeak returns the peak over the requests that began in [from, to), nil if there was none. Requests without a
// client attempt, such as health checks, don't count.
func (r *analysis) attemptPeak(from, to time.Duration) *AttemptPeak {
	var peak *AttemptPeak
	for endpoint, requests := range r.sentRequests(from, to) {
		first, additional, hedges := 0, 0, 0 // of the window that ends with request i
		for i, request := range requests {
			additional += request.additional
			hedges += request.hedge
			for ; request.at-requests[first].at >= peakWindow; first++ {
				additional -= requests[first].additional
				hedges -= requests[first].hedge
			}
			if n := i + 1 - first; peak == nil || n > peak.Attempts {
				peak = &AttemptPeak{
					Endpoint:   r.plan.Endpoints[endpoint].Name,
					From:       round(requests[first].at.Seconds()),
					Attempts:   n,
					Additional: additional,
					Hedges:     hedges,
				}
			}
		}
	}
	return peak
}

// sentRequests returns the requests of client attempts that began in [from, to), by endpoint, sorted by time.
func (r *analysis) sentRequests(from, to time.Duration) [][]sentRequest {
	attempts := make(map[uint64]bool, len(r.log.ClientAttempts))
	for i := range r.log.ClientAttempts {
		attempts[r.log.ClientAttempts[i].TransactionID] = true
	}
	order := make([]*trace.EndpointRequest, 0, len(r.log.EndpointRequests))
	for i := range r.log.EndpointRequests {
		if request := &r.log.EndpointRequests[i]; attempts[request.TransactionID] {
			order = append(order, request)
		}
	}
	slices.SortStableFunc(order, func(a, b *trace.EndpointRequest) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	openUntil := make(map[uint64]time.Duration, len(attempts)) // by client attempt that has been sent
	out := make([][]sentRequest, len(r.plan.Endpoints))
	for _, request := range order {
		sent := sentRequest{at: request.FirstByte}
		until, isAdditional := openUntil[request.TransactionID]
		if isAdditional {
			sent.additional = 1
		}
		if request.FirstByte < until {
			sent.hedge = 1
		}
		ended := request.Ended
		if ended == trace.Unset {
			ended = maxDuration
		}
		openUntil[request.TransactionID] = max(until, ended)
		if request.FirstByte >= from && request.FirstByte < to {
			out[request.Endpoint] = append(out[request.Endpoint], sent)
		}
	}
	return out
}
