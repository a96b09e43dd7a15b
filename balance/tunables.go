// The tunables of all decisions.

package balance

import "time"

// Tunables. Each holds for every deployment; what a setting implies is derived from it below.
const (
	minTickInterval     = 10 * time.Millisecond  // how often held and running requests are looked at
	maintenanceInterval = 250 * time.Millisecond // how often what is learned is aged and checked
	decaySeconds        = 5.0                    // seconds after which an observation weighs 1/e
	binRefreshInterval  = 10 * time.Second       // of the bins' distribution, as in the paper (section 6)

	solveSteps       = 20                     // projected-gradient steps a solve
	solveStep        = 0.05                   // size of a step, for payoff in units of the mean worth
	minSolveInterval = 500 * time.Millisecond // least time between solves: bounds their CPU
	latencyShift     = 0.25                   // a curve moved by this share is a significant change
	binShift         = 0.1                    // so is this much of the bins' distribution or of one's failures
	failShift        = 0.03                   // and this of the share that a server fails of a class
	exploreShare     = 0.05                   // of each row, split evenly, so that no curve goes stale

	priorCalls             = 5.0  // a server's samples are shrunk toward its like as if by so many calls
	congestionFactor       = 2.0  // share of the aim that tells a crowd, over that of the first, quick answers
	minCongestionRise      = 0.07 // and at least this much more: of an inner tier's few hundredths, twice is little
	earlyCongestionShare   = 0.33 // but no more than this share of the aim, at which many are late already,
	earlyCongestionFactor  = 1.2  // or so many times that of the first,
	maxCongestionShare     = 0.5  // and at most this share in all
	initialCongestionShare = 0.3  // the same before there is a measure that was taken with room to spare
	initialLimit           = 6.0  // requests a server, over all instances, before anything is learned
	minLimit               = 2.0  // the same at least: fewer would leave servers idle between calls
	minLimitResponses      = 4.0  // answers that a change of the limit rests on: fewer are mostly noise
	minBaselineResponses   = 30.0 // answers that the uncrowded measure rests on
	minTestedUse           = 0.7  // mean use of the limit from which it may grow: short peaks can wait
	maxGrowthIntervals     = 4.0  // looks' worth that it grows by at once
	maxLimitCut            = 0.85 // the most that one look takes off it: it grows slower than this
	congestionEndShare     = 0.75 // of the share of the aim that tells a crowd: under it there is none
	smallLimit             = 6.0  // requests: an instance's limit under this is kept on average
	unusedLimitSeconds     = 2.5  // seconds for which an unused part of it is kept
	maxReserveShare        = 0.8  // of that, held back from the least valuable requests, and overdrawn for the best
	endpointLimitSlack     = 1.25 // times its share of it is the most that one server may hold
	rateSlack              = 1.25 // times what the present rate needs is kept of it: a little too slow is no jam
	maxOverQuotaUse        = 0.5  // of the limit: above it, no over-share traffic is let in
	maxHedgeUse            = 0.8  // the same for copies: a request that hangs costs more than a copy of it
	hedgeCost              = 6.0  // retries that a copy costs, and one of an attempt that surely hangs
	pauseTicks             = 5    // late by so many ticks, this instance has not run for a while
	hedgeSavings           = 0.6  // of what a failure costs, where copies are allowed
	hedgeLatencies         = 1.5  // mean delays that a copy is given
	clientRetryPriority    = 0.7  // of its rank that a repeated try has then: less is left of its client's time
	scarcityShare          = 0.15 // of the requests refused, from which on first tries go before repeated ones
	maxScarcity            = 0.8  // the most that counts for when refused clients are told to come back
	maxQueueShare          = 0.25 // of its aim that a first-tier request may wait here
	retryTokensPerRequest  = 0.2  // retry budget earned by each request
	maxRetryTokens         = 10.0 // and its cap
	rejectedRetryCost      = 0.2  // what a retry costs when the last attempt was turned away unseen
	maxDraws               = 6    // draws from a whole row before all of it is looked through
	overdueFactor          = 3.0  // an attempt this many times its class's mean delay is overdue
	ejectionThreshold      = 3    // failures in a row that eject a server
	baseEjectionTime       = time.Second
	maxEjectionTime        = 16 * time.Second

	targetInstancesPerEndpoint = 6 // instances that use a server: fewer load it unevenly, more fill its connection table
	minSubsetSize              = 8 // servers that an instance uses: fewer leave too little choice when some fail
)

const tickToken Token = 1

// binEdges split a class's calls by the share of the aim that is spent before the draw.
var binEdges = [...]float64{0.1, 0.3, 0.6}

const binsPerClass = len(binEdges) + 1
