package balance

import "time"

// The tunables of all decisions. They are the same for every deployment; values that depend on a setting are derived
// from it where they are used. The measurements behind the tunables are in docs/design.
const (
	minTickInterval     = 10 * time.Millisecond  // between checks of queued and pending requests
	maintenanceInterval = 250 * time.Millisecond // between decays and checks of the learned state
	decaySeconds        = 5.0                    // time in which the weight of an observation falls to 1/e
	binRefreshInterval  = 10 * time.Second       // between refreshes of the distribution over the bins
	pauseTicks          = 5                      // tick intervals; a tick that is later was delayed by a pause of this process
)

// Routing weights.
const (
	solveSteps          = 20                     // projected gradient steps per solve
	solveStep           = 0.05                   // initial step size, for a payoff in units of the mean value
	minSolveInterval    = 500 * time.Millisecond // limits the CPU time of solves
	minLatencyShift     = 0.25                   // relative change of a latency that requires a new solve
	minBinShift         = 0.1                    // share of the requests that moves between bins and requires a new solve
	minFailureRateShift = 0.03                   // change of a failure rate of an endpoint and class that requires a new solve
	exploreShare        = 0.05                   // part of each row that is split equally, so that no latency becomes stale
	arrivalWeight       = 1e-3                   // weight of a request since the last refresh of the bins; all before it together weigh 1
	maxSampleDraws      = 6                      // draws from a whole row before the row is searched for a fitting endpoint
)

// Latencies. Prior weights are in samples.
const (
	priorSamples         = 5.0  // weight of its group's latency in an endpoint's mean latency
	groupPriorSamples    = 0.1  // weight of the first class's latency in a group's mean latency
	overdueFactor        = 3.0  // multiple of its class's mean latency after which a pending attempt is overdue
	minLatencyFactor     = 0.05 // minimum of a class's latencyFactor
	utilisationSmoothing = 0.2  // weight of a new report in the exponential moving average
)

// The concurrency limit.
const (
	initialLimit         = 6.0   // requests per endpoint, over all instances, before anything is learned
	minLimit             = 2.0   // requests per endpoint, over all instances; less would leave endpoints idle between requests
	minLimitResponses    = 4.0   // answers needed to adapt the limit; a mean of fewer is mostly noise
	minBaselineResponses = 30.0  // answers needed to update the baseline
	baselineFall         = 0.3   // weight of a new value below the baseline
	baselineRise         = 0.001 // weight of a new value above the baseline
	// The congestion threshold and the baseline are fractions of the target latency. The threshold is congestionFactor
	// times the baseline, but at least minCongestionRise above it: inner tiers have baselines of a few hundredths, and
	// twice that is still a short latency. Two upper bounds apply: maxCongestionShare, and the larger of
	// earlyCongestionShare, at which many answers are late already, and earlyCongestionFactor times the baseline.
	congestionFactor       = 2.0
	minCongestionRise      = 0.07
	earlyCongestionShare   = 0.33
	earlyCongestionFactor  = 1.2
	maxCongestionShare     = 0.5
	initialCongestionShare = 0.3  // replaces maxCongestionShare until Balancer.baselineKnown
	congestionEndShare     = 0.75 // fraction of the threshold below which congestion has ended
	minTestedUse           = 0.7  // fraction of the limit used on average from which it may grow; requests in short peaks can wait
	maxGrowthIntervals     = 4.0  // maximum number of maintenance intervals for which the limit grows at once
	limitGrowth            = 0.05 // relative growth per maintenance interval after the first cut
	initialLimitGrowth     = 1.25 // growth factor per maintenance interval before the first cut
	minLimitCutFactor      = 0.85 // lower bound of the factor of a cut, per maintenance interval
	rejectionBackoff       = 0.98 // factor after a rejection by an endpoint
	// A cut keeps rateSlack times the concurrency that the present rate needs: slightly high latency is no congestion.
	rateSlack          = 1.25
	smallLimit         = 6.0  // requests; a limit of an instance below this is kept on average only
	limitCreditSeconds = 2.5  // time for which the unused part of a small limit is saved
	maxReserveShare    = 0.8  // fraction of the maximum credit that the lowest priority must keep and the highest may overdraw
	endpointLimitSlack = 1.25 // multiple of its share of the limit that one endpoint may have in flight
)

// Admission, retries and hedges.
const (
	maxQueueShare         = 0.25 // fraction of its target latency for which a first-tier request may be queued
	maxOverQuotaUse       = 0.5  // fraction of the limit in use above which requests over their quota are rejected
	scarcityShare         = 0.15 // fraction of requests rejected above which clients' retries lose priority and slow attempts get no hedge
	maxScarcity           = 0.8  // upper bound of the fraction of requests rejected, from which retry hints are calculated
	clientRetryPriority   = 0.7  // priority factor of a client's retry above scarcityShare: its client has less time remaining
	retryTokensPerRequest = 0.2
	maxRetryTokens        = 10.0
	rejectedRetryCost     = 0.2 // factor for the cost of a retry after an attempt that cannot have run
	maxHedgeUse           = 0.8 // fraction of the limit in use above which only attempts that likely hang are hedged
	hedgeCost             = 6.0 // retry tokens of a hedge of a slow attempt; a hedge of an attempt that surely hangs costs 1
	hedgeSavings          = 0.6 // fraction of the loss from a failed attempt that hedging avoids
	hedgeLatencies        = 1.5 // expected latency of a hedge, as a multiple of its class's mean latency
)

// Health and warm-up.
const (
	ejectionThreshold = 3 // consecutive failures
	baseEjectionTime  = time.Second
	maxEjectionTime   = 16 * time.Second
	// cachedTrickleRate is the minimum rate, in credits per second, at which an instance gets trickle credits for the
	// endpoints of a cached list together; as with any trickle, the credits that answers earn reduce it. If 300
	// instances restart together with 12 such endpoints, each endpoint gets 50 sends per second, and an instance that
	// restarts alone is not without service.
	cachedTrickleRate = 2.0
)

// The subset.
const (
	targetInstancesPerEndpoint = 6 // fewer would load endpoints unevenly, more would fill their connection tables
	minSubsetSize              = 8 // endpoints; fewer would leave too little choice when some of them fail
)

// tickToken is the token of the only timer.
const tickToken Token = 1

// binEdges are the bounds between a class's bins: the fractions of the target latency that a request has
// spent.
var binEdges = [...]float64{0.1, 0.3, 0.6}

const binsPerClass = len(binEdges) + 1
