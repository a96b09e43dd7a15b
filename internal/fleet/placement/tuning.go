package placement

import "time"

// The figures that decisions depend on, by what they govern. A "memory" is after how many samples, or after how long, a sample
// weighs 1/e. Times without a time.Duration are in seconds, lengths in units (tokens of a prompt).

// Tables: when they are solved and how far a solve goes.
const (
	minSolveInterval         = 500 * time.Millisecond // bounds the CPU time of solves
	maxSolveInterval         = 10 * time.Second       // inputs that shift slowly are taken over after this time
	significantDelayChange   = 0.2                    // relative change of an expected delay that calls for a solve
	minDelayChange           = 0.01                   // seconds; a change of a short delay has to exceed this too
	significantFailureChange = 0.05                   // change of a failure share that calls for a solve
	gradientSteps            = 20                     // of a solve
	gradientStepSize         = 0.05                   // change of a share by payoff, in each step
	minShare                 = 0.02                   // of an even share: keeps the endpoint's delay model fresh
	evennessPenalty          = 0.02                   // payoff that a call gives up for an even row: endpoints that failed once come back
)

// Delays of the tables: an endpoint's time to first token by this router's send rate.
const (
	delayMemory        = 200.0           // calls
	delayPriorCalls    = 6.0             // calls that the prior weighs
	priorDelay         = 0.15            // seconds, before any call
	priorDeviation     = 0.1             // seconds, before any call
	minDeviation       = 0.01            // seconds; a deviation of 0 would make the chance a step without a gradient
	minRateVariance    = 1e-6            // (calls/s)^2 below which no slope is fitted
	rateMemory         = 4 * time.Second // of send rates
	failureShareMemory = 30.0            // outcomes
)

// Ejection (outlier detection): an endpoint gets no calls for a time after failures in a row.
const (
	baseEjection      = 400 * time.Millisecond // the first; each further one is twice as long
	maxEjection       = 6 * time.Second        // a repaired endpoint is used again after this time
	ejectionThreshold = 2                      // failures in a row that eject; a connection that fails ejects at once
)

// Failure evidence: how many failures are more than chance, and how long they are remembered.
const (
	minFailureMemory   = 1500 * time.Millisecond // where an endpoint gets many calls
	maxFailureMemory   = 6 * time.Second         // where it gets few
	failureMemoryCalls = 8.0                     // calls to an endpoint that the memory spans, within these bounds
	minCallRate        = 0.01                    // calls a second; keeps the memory finite
	priorSuccesses     = 2.0                     // calls without a failure that are assumed
	chanceFailures     = 1.25                    // failures that may be chance
	cleanThreshold     = 0.3                     // remembered failures below which an endpoint counts as clean
	relapseThreshold   = 0.2                     // failure share above which an endpoint has failed once more
	recoveryThreshold  = 0.05                    // failure share below which it has recovered
	maxRelapseFactor   = 8.0                     // times the memory, for an endpoint that fails again and again
	relapseResetTime   = 30 * time.Second        // after its last failure an endpoint counts as new
)

// Losses that the draw compares, in calls of mean weight that are late.
const (
	lossTolerance          = 0.02   // an endpoint whose loss exceeds the least one by no more is as good as any
	cachedWeight           = 30.0   // multiplies the share of an endpoint that has the longest prefix cached
	recomputedUnitsPerCall = 4000.0 // units of shared prefixes prefilled again that cost as much as a late call
	delayLossWeight        = 0.1    // loss of a delay as long as the time left: the call delays others too
	minTimeLeft            = 0.01   // seconds; bounds the same for a call that is late already
	abandonFactor          = 4.0    // times the time left: by then clients have given up
	abandonLoss            = 0.5    // of a call that its client gives up, beside being late
	limitErrorShare        = 0.03   // error of an expected delay: this share of the limit,
	delayErrorShare        = 0.12   // and this share of the delay itself,
	minDelayError          = 1e-3   // and this, in seconds
	failureLoss            = 1.4    // of a call that fails
	minCallWeight          = 0.3    // of a call without a prompt, in calls of mean weight
	maxCallWeight          = 4.0    // of the longest prompts
	callWeightMemory       = 50.0   // calls
	unitsPerOutputToken    = 10     // units of a prompt that a token of output counts for (RULES, Worth)
)

// The queue model of an endpoint.
const (
	priorityLevels         = 10   // of the Priority header
	maxQueueSeconds        = 20.0 // of prefill; more is surely an error of the model
	certainOvertakeSeconds = 0.3  // of prefill in front with which a more urgent prompt surely overtakes one that waits
	maxQueueJobs           = 64   // distinguished jobs; further ones are added to the last one
)

// Cached prefixes.
const (
	prefixTTL           = 30 * time.Second // after its last use a prefix is assumed evicted
	maxCachedPrefixes   = 512              // of an endpoint
	maxExportedPrefixes = 3000             // of all endpoints: some 45 KB on the wire and on disk
)

// The prefill model: seconds to the first token by units and pairs of units.
const (
	prefillMemory           = 600.0  // observations
	prefillPriorWeight      = 1.0    // observations that the prior weighs
	priorBase               = 0.02   // seconds, before any observation
	priorUnitTime           = 10e-6  // seconds a unit, before any observation
	minBase                 = 0.001  // seconds; the bounds limit what a burst of odd answers can do
	maxBase                 = 2.0    // seconds
	minUnitTime             = 1e-6   // seconds a unit
	maxUnitTime             = 200e-6 // seconds a unit
	maxPairTime             = 20e-3  // seconds a million pairs
	typicalPrefill          = 0.05   // seconds of an observation that weighs one
	unitScale               = 1000.0 // units; scales the regression's second feature to about one
	pairScale               = 10.0   // millions of pairs; the same of the third
	initialOutlierFactor    = 3.0    // an answer counts as at most so many times what was expected, or that part of it, at first
	outlierFactor           = 1.6    // the same later: keeps the line near the median, which hidden queues move little
	initialObservations     = 100.0  // so many are "at first"
	queuedObservationWeight = 0.2    // of an answer that waited for others, whose part of it is uncertain
)

// An endpoint's slowness against its service's prefill model.
const (
	slownessMemory      = 8 * time.Second // and
	slownessMemoryCalls = 12.0            // calls
	slownessPriorCalls  = 4.0             // calls of the usual speed that are assumed
	maxSlownessSample   = 10.0            // times the model that one call may count as
	slownessDeadband    = 1.3             // factors up to this, or down to its inverse, count as the usual speed
)

// Streams that run at an endpoint, and how long prefills stall them.
const (
	priorTokenTime      = 4 * time.Millisecond // of a stream's token, before any stream
	maxTokenTime        = time.Second          // bounds what odd answers can do
	tokenTimeMemory     = 20.0                 // streams
	maxOutputTokens     = 1e6                  // bounds what requests state
	maxStreamDuration   = time.Minute          // the same
	maxStreams          = 64                   // of an endpoint
	streamDurationShape = 4.0                  // of the log-logistic durations: a standard deviation of some 0.45 of their logarithm
	minSurvival         = 0.02                 // chance to run still below which a stream is forgotten
	minStallChance      = 1e-3                 // chance of a stall beyond a stream's bound below which it is ignored
	priorStallShare     = 0.6                  // of a prefill's time, the stall that it causes, before any stream
	minStallShare       = 0.02                 // bound of the same
	stallMemory         = 20.0                 // streams
	maxRecentPrefills   = 16                   // of an endpoint
)
