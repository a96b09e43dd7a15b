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
	actions      []Action      // those of the event that is being handled
	tickInterval time.Duration // 0 until the first event
	nextTick     time.Duration
	pausedTime   time.Duration // total time during which this process was not scheduled

	classes     []*classState
	tenants     []tokenBucket
	requests    map[RequestID]*requestState // unanswered, or with open attempts
	unanswered  []*requestState
	queue       []*requestState // waiting to be sent, in order of descending priority
	retryTokens float64         // remaining retry budget

	// Endpoints.
	endpoints      []*endpointState // available and in the subset, or with pending attempts; sorted by EndpointID
	endpointsByID  map[EndpointID]*endpointState
	cordoned       map[EndpointID]bool // cordoned by operators; treated as draining, whatever their listed state
	readyEndpoints []*endpointState    // all available endpoints, in ring order
	groups         map[groupKey]*group

	// The subset and the endpoints shared with other instances.
	instancesPerEndpoint float64 // estimated number of processes that use each endpoint
	capacity             float64 // last nonzero capacity of the available endpoints, in warm endpoints; scales the limit

	// The concurrency limit (limit.go).
	limit               float64     // maximum number of this instance's requests in flight, over all endpoints
	limitDither         float64     // 0 to 1, drawn once: added to the limit before it is rounded down
	limitCredit         float64     // saved unused part of a small limit, in request-seconds; negative after overuse
	limitUse            decayedMean // requests in flight since the limit was last adapted
	latencyWindow       decayedMean // latencies as fractions of their targets, since the limit was last adapted
	latencyWindowStart  time.Duration
	baselineWindow      decayedMean // the same samples, collected until there are enough to update the baseline
	baseline            float64     // low end of uncongested latencies, as a fraction of their targets; 0 is unknown
	baselineKnown       bool        // the baseline was measured while the limit was not fully used
	congestionAvoidance bool        // the limit has been cut at least once and grows slowly, as TCP's window does
	congested           bool        // the limit has been cut, and latencies have stayed high since

	// Health.
	detector       *grey.Detector
	panicMode      bool // more than half of the endpoints look unhealthy: health is ignored
	availableCount int  // available endpoints of the subset, at the last assessment
	unhealthyCount int  // number of unhealthy endpoints among them
	inFlight       int  // requests in flight at healthy endpoints, without attempts that likely hang

	// Routing weights (solve.go).
	bins             []bin
	rows             [][]float64 // by bin: the routing weight of each endpoint; each row sums to 1
	totalShare       []float64   // each endpoint's share over all bins
	cumulativeRows   [][]float64 // prefix sums of each row
	solvedFor        solveInputs
	solvedAt         time.Duration
	solveNeeded      bool // a change requires a solve as soon as minSolveInterval allows
	cachedListSeeded bool // the single immediate credit for an endpoint of a cached list has been granted

	nextMaintenance time.Duration
	nextBinRefresh  time.Duration
	sends           decayedMean // counts sent attempts, for their rate
	rejections      decayedMean // fraction of the requests that are rejected
	responses       decayedMean // target latencies of the requests of served attempts, in seconds; cutLimit uses their sum

	// Discovery.
	subscribed        bool
	nextSubscribe     time.Duration
	subscribeFailures int
	listExpectedAt    time.Duration // next poll of discovery; in the past while discovery is watched continuously
}

// New returns the decision state of one instance, or a *SettingError if the settings are invalid.
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

// Handle processes one event and appends the resulting actions to out. The time now is measured from any fixed instant.
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
		b.onClientDisconnected(ev)
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

// jitter returns a random duration from 0 to d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}
