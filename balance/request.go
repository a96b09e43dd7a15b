package balance

import (
	"slices"
	"time"
)

// requestState is a request until it is answered and has no open attempts.
type requestState struct {
	id         RequestID
	class      *classState
	classIndex int

	deadline    time.Duration // the client's
	targetAt    time.Duration // until then an answer has its full value
	queueUntil  time.Duration // the last moment at which it may still wait in the queue
	usefulUntil time.Duration // the last moment at which an answer has any value
	arrivedAt   time.Duration // of an upload only

	overQuota     bool // of its tenant
	priority      float64
	maxAttempts   int
	retryCost     float64 // retry tokens a retry costs; 0 where its attempts were granted, and so paid for, by the tier above
	uploading     bool    // its body still comes: its time has not begun, and no endpoint works on it
	singleAttempt bool    // it was uploading, and its body is not kept: one attempt at a time
	retriedBelow  bool    // the tier below has failed after its own retries: no retry here

	attempts          []attemptState
	openAttempts      int
	hasEarlierAttempt bool // earlierAttempt, of another request for the same effect, may have taken effect
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
	mayHaveRun bool // its work may have taken effect
	streamed   bool // its answer is being streamed to the client
}

// maxUploadTime bounds how long a body may come; whoever reads it aborts it sooner.
const maxUploadTime = time.Hour

// beginUpload postpones a request's times until onUploadDone. Until then only an endpoint is chosen.
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

// load is the number of requests in flight for which an attempt at the request counts.
func (r *requestState) load() int {
	if r.uploading {
		return 0
	}
	return 1
}

// mayHaveRun yields the attempts whose work may have taken effect.
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

// latestUseful is the last moment at which an answer has any value.
func (r *requestState) latestUseful() time.Duration {
	if r.class.LateValue == 0 {
		return min(r.deadline, r.targetAt)
	}
	return r.deadline
}

// valueShare is the share of its class's value that the tier below is told.
func (r *requestState) valueShare() float64 { return min(1, r.priority/r.class.priority) }

// lastAttempt is the latest attempt of a request that has one.
func (r *requestState) lastAttempt() *attemptState { return &r.attempts[len(r.attempts)-1] }

// maxAttempts is how many attempts a request may make.
func (b *Balancer) maxAttempts(ev *Event) int {
	if ev.MaxAttempts == 0 {
		return b.settings.MaxAttempts
	}
	return min(ev.MaxAttempts, b.settings.MaxAttempts)
}

// retryCost is what a retry of a request takes from this instance's budget: nothing where its attempts were granted.
func retryCost(ev *Event) float64 {
	if ev.MaxAttempts != 0 {
		return 0
	}
	return 1
}

// valueShare is the share of its class's value that a request came with.
func valueShare(ev *Event) float64 {
	if ev.ValueShare <= 0 {
		return 1
	}
	return min(1, ev.ValueShare)
}

// setEarlierAttempt records that another request for the same effect may have run. Where it ran limits which endpoints may
// get this one; if that endpoint is unknown by now, none may.
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

// onUploadDone starts a request's time, and that of its attempt.
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

// removeUnanswered removes an answered request from the unanswered ones and from the queue.
func (b *Balancer) removeUnanswered(request *requestState) {
	last := b.unanswered[len(b.unanswered)-1]
	b.unanswered[request.unansweredIndex], last.unansweredIndex = last, request.unansweredIndex
	b.unanswered = b.unanswered[:len(b.unanswered)-1]
	if request.queued {
		request.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(queued *requestState) bool { return queued == request })
	}
}

// release forgets a request that is answered and has no open attempts.
func (b *Balancer) release(request *requestState) {
	if request.done && request.openAttempts == 0 {
		delete(b.requests, request.id)
	}
}
