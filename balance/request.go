package balance

import (
	"slices"
	"time"
)

// requestState is a request that is unanswered or has open attempts.
type requestState struct {
	id         RequestID
	class      *classState
	classIndex int

	deadline    time.Duration // the client's deadline
	targetAt    time.Duration // an answer up to this time has its full value
	queueUntil  time.Duration // the request is finished if it is still queued at this time, without an open attempt
	usefulUntil time.Duration // an answer after this time has no value
	arrivedAt   time.Duration // time of arrival; set for uploads only

	overQuota     bool // its tenant's quota was used up
	priority      float64
	maxAttempts   int
	retryCost     float64 // retry tokens per retry; 0 if the calling tier granted its attempts from its own retry budget
	uploading     bool    // its body is still arriving: its time has not started, and no endpoint works on it yet
	singleAttempt bool    // one attempt at a time, because the body of an upload is not stored
	retriedBelow  bool    // the next tier has failed after its own retries: no retry here

	attempts          []attemptState
	openAttempts      int
	hasEarlierAttempt bool // earlierAttempt is set: an attempt of another request for the same effect that may have run
	earlierAttempt    attemptState

	done            bool
	queued          bool
	unansweredIndex int // in Balancer.unanswered
}

// attemptState is one attempt of a request.
type attemptState struct {
	endpoint   *endpointState
	sentAt     time.Duration
	open       bool
	mayHaveRun bool // it may have taken effect; true from its sending until an outcome rules that out
	streamed   bool // its answer is being streamed to the client
}

// maxUploadTime is the maximum duration of an upload. The reader of the body aborts a slow upload earlier.
const maxUploadTime = time.Hour

// beginUpload marks a request as uploading and adds maxUploadTime to its deadline, targetAt and usefulUntil. onUploadDone
// replaces that by the duration of the upload. Until then the request can be sent to an endpoint, but does not count as in
// flight there.
func (r *requestState) beginUpload(now time.Duration) {
	r.arrivedAt = now
	r.uploading = true
	r.singleAttempt = true
	r.postpone(maxUploadTime)
}

func (r *requestState) postpone(d time.Duration) {
	r.deadline += d
	r.targetAt += d
	r.usefulUntil += d
}

// load is the number of requests in flight that an attempt of the request counts as: 0 during its upload, then 1.
func (r *requestState) load() int {
	if r.uploading {
		return 0
	}
	return 1
}

// mayHaveRun iterates over the attempts that may have taken effect: the earlier attempt of another request, if it is
// known, and this request's own.
func (r *requestState) mayHaveRun(yield func(*attemptState) bool) {
	if r.hasEarlierAttempt && !yield(&r.earlierAttempt) {
		return
	}
	for i := range r.attempts {
		if attempt := &r.attempts[i]; attempt.mayHaveRun && !yield(attempt) {
			return
		}
	}
}

// usefulDeadline is the latest time at which an answer has any value.
func (r *requestState) usefulDeadline() time.Duration {
	if r.class.LateValue == 0 {
		return min(r.deadline, r.targetAt)
	}
	return r.deadline
}

// valueShare is the share of its class's value, 0 to 1, that is passed to the next tier with an attempt: the request's
// priority relative to that of its class.
func (r *requestState) valueShare() float64 { return min(1, r.priority/r.class.priority) }

// lastAttempt returns the latest attempt of a request, which must have at least one.
func (r *requestState) lastAttempt() *attemptState { return &r.attempts[len(r.attempts)-1] }

// maxAttempts returns the maximum number of attempts of a request.
func (b *Balancer) maxAttempts(ev *Event) int {
	if ev.MaxAttempts == 0 {
		return b.settings.MaxAttempts
	}
	return min(ev.MaxAttempts, b.settings.MaxAttempts)
}

// retryCost returns the retry tokens that each retry of a request costs this instance: none if the calling tier granted
// its attempts.
func retryCost(ev *Event) float64 {
	if ev.MaxAttempts != 0 {
		return 0
	}
	return 1
}

// valueShare returns the share of its class's value, above 0 and up to 1, that a request has at its arrival. Without one
// from the calling tier, it is 1.
func valueShare(ev *Event) float64 {
	if ev.ValueShare <= 0 {
		return 1
	}
	return min(1, ev.ValueShare)
}

// setEarlierAttempt records that an earlier request for the same effect may have run. If duplicates are recognised only
// within a zone or cell, only endpoints in that of the earlier request's endpoint may get this request, and none may if
// that endpoint is no longer known. Requests of Idempotent classes need no such record.
func (b *Balancer) setEarlierAttempt(request *requestState, ev *Event) {
	request.hasEarlierAttempt = ev.EarlierAttemptAt > 0 && request.class.Idempotency != Idempotent
	if !request.hasEarlierAttempt {
		return
	}
	request.earlierAttempt = attemptState{
		endpoint:   b.endpointsByID[ev.Endpoint],
		sentAt:     min(ev.EarlierAttemptAt, b.now),
		mayHaveRun: true,
	}
	if request.class.Scope != ScopeAll && request.earlierAttempt.endpoint == nil {
		request.maxAttempts = 0
	}
}

// onUploadDone starts the time of a request and of its open attempt when its upload has completed.
func (b *Balancer) onUploadDone(ev *Event) {
	request := b.requests[ev.Request]
	if request == nil || !request.uploading {
		return
	}
	request.uploading = false
	request.postpone(b.now - request.arrivedAt - maxUploadTime)
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.open {
			b.restartPending(request, attempt)
		}
	}
}

// removeUnanswered removes an answered request from the lists of unanswered and of queued requests.
func (b *Balancer) removeUnanswered(request *requestState) {
	last := b.unanswered[len(b.unanswered)-1]
	b.unanswered[request.unansweredIndex], last.unansweredIndex = last, request.unansweredIndex
	b.unanswered = b.unanswered[:len(b.unanswered)-1]
	if request.queued {
		request.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(queued *requestState) bool { return queued == request })
	}
}

// release deletes a request that is answered and has no open attempts.
func (b *Balancer) release(request *requestState) {
	if request.done && request.openAttempts == 0 {
		delete(b.requests, request.id)
	}
}
