package balance

import "time"

// The tunables of all decisions. Each holds for every deployment; what follows from a setting is derived from it where it is
// used. docs/design has the measurements behind them.
const (
	minTickInterval     = 10 * time.Millisecond  // how often queued and pending requests are checked
	maintenanceInterval = 250 * time.Millisecond // how often what was learned is aged and checked
	decaySeconds        = 5.0                    // after which an observation weighs 1/e
	binRefreshInterval  = 10 * time.Second       // of the bins' distribution
	pauseTicks          = 5                      // late by so many ticks, this process was not scheduled for a while
)

// Routing weights.
const (
	solveSteps       = 20                     // projected gradient steps of a solve
	solveStep        = 0.05                   // size of a step, for a payoff in units of the mean value
	minSolveInterval = 500 * time.Millisecond // bounds the CPU of solves
	latencyShift     = 0.25                   // a latency moved by this share is a significant change
	binShift         = 0.1                    // so is a move of this share of the calls between bins
	failShift        = 0.03                   // and a move this large of the share that an endpoint fails of a class
	exploreShare     = 0.05                   // of each row, split evenly, so that no latency goes stale
	arrivalWeight    = 1e-3                   // of a request since the last refresh of the bins
	maxDraws         = 6                      // from a whole row before the eligible endpoints are looked for
)

// Latencies, in calls that a prior counts for.
const (
	priorCalls           = 5.0  // an endpoint's mean latency is shrunk toward its group's
	groupPriorCalls      = 0.1  // a group's toward that of the first class
	overdueFactor        = 3.0  // an attempt pending for so many times its class's mean latency is overdue
	minLatencyFactor     = 0.05 // of a class
	utilisationSmoothing = 0.2  // weight of a new report
)

// The concurrency limit.
const (
	initialLimit           = 6.0  // requests an endpoint, over all instances, before anything is learned
	minLimit               = 2.0  // requests an endpoint, over all instances: fewer would leave endpoints idle between calls
	minLimitResponses      = 4.0  // that a move of the limit rests on: fewer are mostly noise
	minBaselineResponses   = 30.0 // that the baseline rests on
	baselineFall           = 0.3  // weight of a new value under the baseline
	baselineRise           = 0.001
	congestionFactor       = 2.0  // times the baseline is congestion,
	minCongestionRise      = 0.07 // and at least this much over it: of an inner tier's few hundredths, twice is little;
	earlyCongestionShare   = 0.33 // but at most this share of the target, at which many answers are late already,
	earlyCongestionFactor  = 1.2  // or so many times the baseline,
	maxCongestionShare     = 0.5  // and at most this share in all
	initialCongestionShare = 0.3  // the same before there is a baseline that was taken with room under the limit
	congestionEndShare     = 0.75 // of that threshold: under it the congestion is over
	minTestedUse           = 0.7  // mean use of the limit from which it may grow: short peaks can wait
	maxGrowthIntervals     = 4.0  // maintenance intervals' worth of growth at once
	limitGrowth            = 0.05 // in an interval, after the first cut
	initialLimitGrowth     = 1.25 // factor in an interval, before it
	maxLimitCut            = 0.85 // factor in an interval
	rejectionBackoff       = 0.98 // factor for a rejection by an endpoint
	rateSlack              = 1.25 // times what the present rate needs is kept: a little too slow is no congestion
	smallLimit             = 6.0  // requests: an instance's limit under this is kept on average
	unusedLimitSeconds     = 2.5  // for which an unused part of it is saved
	maxReserveShare        = 0.8  // of that, reserved from the least valuable requests, and overdrawn for the most valuable
	endpointLimitSlack     = 1.25 // times its share of the limit is what one endpoint may have in flight
)

// Admission, retries and hedges.
const (
	maxQueueShare         = 0.25 // of its target that a first-tier request may be queued
	maxOverQuotaUse       = 0.5  // of the limit: above it, no traffic over its quota is accepted
	scarcityShare         = 0.15 // of the requests rejected, from which on first attempts go before clients' retries
	maxScarcity           = 0.8  // the largest such share that retry hints follow
	clientRetryPriority   = 0.7  // factor of a client's retry then: less is left of its client's time
	retryTokensPerRequest = 0.2
	maxRetryTokens        = 10.0
	rejectedRetryCost     = 0.2 // retry tokens of a retry after a rejection by an endpoint
	maxHedgeUse           = 0.8 // of the limit: above it, only attempts that likely hang are hedged
	hedgeCost             = 6.0 // retry tokens of a hedge; one of an attempt that surely hangs costs 1
	hedgeSavings          = 0.6 // of what a failed attempt costs, where hedges are allowed
	hedgeLatencies        = 1.5 // mean latencies that a hedge is given
)

// Health and warm-up.
const (
	ejectionThreshold = 3 // consecutive failures
	baseEjectionTime  = time.Second
	maxEjectionTime   = 16 * time.Second
	// cachedTrickleRate is how many sends a second an instance makes to endpoints of a cached list before any of them has
	// answered: three hundred instances that come back together with twelve such endpoints send each 50, and one alone is
	// not down.
	cachedTrickleRate = 2.0
)

// The subset.
const (
	targetInstancesPerEndpoint = 6 // fewer load an endpoint unevenly, more fill its connection table
	minSubsetSize              = 8 // fewer leave too little choice when some fail
)

// tickToken is the token of the only timer.
const tickToken Token = 1

// binEdges split a class's calls by the share of the target latency that is spent before they are routed.
var binEdges = [...]float64{0.1, 0.3, 0.6}

const binsPerClass = len(binEdges) + 1
