package balance

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/balance/grey"
	"pinelb.example/pinelb/balance/warmup"
)

// Balancer is the decision state of one instance.
type Balancer struct {
	settings     Settings
	warmupConfig warmup.Config
	random       *rand.Rand
	instanceHash uint64 // of the instance's name; 0 is none
	now          time.Duration
	actions      []Action      // of the event in hand
	tickInterval time.Duration // 0 until the first event
	nextTick     time.Duration
	pausedTime   time.Duration // for how long in all this process was not scheduled

	classes     []*classState
	tenants     []tokenBucket
	requests    map[RequestID]*requestState // until answered and without open attempts
	unanswered  []*requestState
	queue       []*requestState // waiting to be sent, the most valuable first
	retryTokens float64         // the retry budget

	// Endpoints.
	endpoints      []*endpointState // available and in the subset, or with pending attempts; by EndpointID
	endpointsByID  map[EndpointID]*endpointState
	cordoned       map[EndpointID]bool // by operators: they count as draining, whatever the list says
	readyEndpoints []*endpointState    // all available ones, in ring order
	groups         map[groupKey]*group

	// The subset and the sharing of endpoints with other instances.
	instancesPerEndpoint float64 // as far as this instance can tell
	capacity             float64 // of the available endpoints, in warm ones; the last one over 0. The limit scales with it

	// The concurrency limit (limit.go).
	limit               float64     // on the requests of this instance that all endpoints together have in flight
	limitDither         float64     // 0 to 1, drawn once: how this instance rounds the limit
	unusedLimit         float64     // request-seconds of a small limit that may still be used
	limitUse            decayedMean // requests in flight since the limit last moved
	latencyWindow       decayedMean // latencies as shares of their targets, since the limit last moved
	latencyWindowStart  time.Duration
	baselineWindow      decayedMean // the same, until there are enough for the baseline
	baseline            float64     // low end of the share of the target that uncongested answers take; 0 is unknown
	baselineKnown       bool        // it was taken with room under the limit
	congestionAvoidance bool        // the limit has been cut once: it grows slowly from then on, as TCP's window does
	congested           bool        // it has been cut, and answers have not been quick since

	// Health.
	detector       *grey.Detector
	panicMode      bool // most endpoints look unhealthy: health is ignored
	availableCount int  // available endpoints of the subset, at the last assessment
	unhealthyCount int  // of them unhealthy
	inFlight       int  // requests in flight at endpoints that count as healthy, but for those that likely hang

	// Routing weights (solve.go).
	bins             []bin
	rows             [][]float64 // per bin: the share of each endpoint
	totalShare       []float64   // each endpoint's share over all bins
	cumulativeRows   [][]float64 // prefix sums of each row
	solvedFor        solveInputs
	solvedAt         time.Duration
	solveNeeded      bool // a change calls for a solve as soon as one is allowed
	cachedListSeeded bool // the one send to an endpoint of a cached list has been granted

	nextMaintenance time.Duration
	nextBinRefresh  time.Duration
	sends           decayedMean // their count, for their rate
	rejections      decayedMean // per request: 1 is rejected
	responses       decayedMean // the target latencies of answers, in seconds

	// Discovery.
	subscribed        bool
	nextSubscribe     time.Duration
	subscribeFailures int
	listExpectedAt    time.Duration // when the first list may come; in the past where discovery is always watched
}

// New returns the decision state of one instance, or a *SettingError.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		random:        rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		retryTokens:   maxRetryTokens,
		detector:      grey.NewDetector(nil),
		requests:      map[RequestID]*requestState{},
		endpointsByID: map[EndpointID]*endpointState{},
		cordoned:      map[EndpointID]bool{},
		groups:        map[groupKey]*group{},
		capacity:      1,
		limit:         initialLimit / s.processCount(),
	}
	b.limitDither = b.random.Float64()
	b.applySettings(&s)
	return b, nil
}

// Handle takes in one event at a time now, since any fixed moment, and appends the actions that follow from it to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.now = now
	b.actions = out
	if b.tickInterval == 0 {
		b.start()
	}
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventOutcome:
		b.onOutcome(ev)
	case EventFirstByte:
		b.onFirstByte(ev)
	case EventClientDisconnected:
		b.onClientGone(ev)
	case EventMembership:
		b.onMembership(ev)
	case EventUploadDone:
		b.onUploadDone(ev)
	case EventCordon:
		b.onCordon(ev)
	case EventSettings:
		b.onSettings(ev.Settings)
	case EventListExpected:
		b.listExpectedAt = b.now + ev.ExpectedIn
	case EventTimer:
		if ev.Token == tickToken {
			b.onTick()
		}
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) start() {
	b.tickInterval = max(minTickInterval, b.settings.TimeResolution)
	b.nextMaintenance = b.now + maintenanceInterval
	b.nextBinRefresh = b.now + binRefreshInterval
	b.latencyWindowStart = b.now
	// All instances may start at once: without jitter their first subscriptions would overload discovery.
	b.nextSubscribe = b.now + b.jitter(time.Second)
	b.emit(Action{Kind: ActTimer, Token: tickToken, After: b.tickInterval})
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter draws a time from 0 to d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}
