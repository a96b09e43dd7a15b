package placement

import "time"

// Constants of the models, grouped by model. A decay time, or a decay count of calls, observations or streams, is the age at
// which the weight of a sample has fallen to 1/e. Times that are not of type time.Duration are in seconds, lengths in units
// (tokens of a prompt).

// Tables: when they are solved, and the solver's parameters.
const (
	minSolveInterval         = 500 * time.Millisecond // limits the CPU time of solves
	maxSolveInterval         = 10 * time.Second       // slow changes of inputs take effect after this time
	significantDelayChange   = 0.2                    // relative change of an expected delay that triggers a solve
	minDelayChange           = 0.01                   // seconds that a change has to exceed in addition, for short delays
	significantFailureChange = 0.05                   // change of a failure share that triggers a solve
	gradientSteps            = 20                     // per solve
	gradientStepSize         = 0.05                   // change of a share in each step, per unit of the gradient of the payoff
	minShare                 = 0.02                   // relative to an even share; keeps the endpoint's delay model up to date
	evennessPenalty          = 0.02                   // payoff given up for even rows, so that recovered endpoints get calls again
)

// Delay models of the tables: an endpoint's time to first token by this router's send rate.
const (
	delayDecayCalls        = 200.0           // calls
	delayPriorCalls        = 6.0             // weight of the prior, in calls
	priorDelay             = 0.15            // seconds, before the first call
	priorDeviation         = 0.1             // seconds, before the first call
	minDeviation           = 0.01            // seconds; with a deviation of 0 the probability would be a step without a gradient
	minRateVariance        = 1e-6            // (calls/s)^2 below which no slope is fitted
	rateDecayTime          = 4 * time.Second // of rates of calls
	failureShareDecayCalls = 30.0            // calls
)

// Ejection (outlier detection): an endpoint gets no calls for some time after consecutive failures.
const (
	baseEjectionTime  = 400 * time.Millisecond // of the first ejection; each further one is twice as long
	maxEjectionTime   = 6 * time.Second        // a repaired endpoint is used again after this time at the latest
	ejectionThreshold = 2                      // consecutive failures that eject; a failed connection ejects at once
)

// Failure evidence: how many failures are tolerated as random, and how fast their count decays.
const (
	minFailureDecayTime = 1500 * time.Millisecond // for endpoints with many calls
	maxFailureDecayTime = 6 * time.Second         // for endpoints with few calls
	failureDecayCalls   = 8.0                     // calls to an endpoint per decay time, within these bounds
	minCallRate         = 0.01                    // calls per second; keeps the decay time finite
	priorSuccesses      = 2.0                     // successful calls that are assumed in addition
	toleratedFailures   = 1.25                    // failures that may be random
	cleanThreshold      = 0.3                     // decayed count of failures below which an endpoint counts as clean
	failingThreshold    = 0.2                     // failure share above which an endpoint counts as failing
	recoveryThreshold   = 0.05                    // failure share below which a failing endpoint counts as recovered
	maxBackoffFactor    = 8.0                     // multiplies the decay time of an endpoint that fails repeatedly
	backoffResetTime    = 30 * time.Second        // time without a failure after which the back-off is reset
)

// Losses that the draw compares, in late calls of mean weight.
const (
	lossTolerance          = 0.02   // endpoints whose loss exceeds the minimum by no more than this are equivalent
	cachedWeight           = 30.0   // multiplies the share of an endpoint that has the longest prefix cached
	recomputedUnitsPerCall = 4000.0 // units of shared prefixes whose repeated prefill costs as much as a late call
	delayLossWeight        = 0.1    // loss by a delay as long as the remaining time, since the call delays others too
	minRemainingTime       = 0.01   // seconds; limits this loss for a call that is late already
	abandonFactor          = 4.0    // multiple of the remaining time after which the client is assumed to have given up
	abandonLoss            = 0.5    // additional loss of a call whose client has given up
	limitErrorShare        = 0.03   // error of an expected delay: the sum of this share of the limit,
	delayErrorShare        = 0.12   // this share of the delay itself,
	minDelayError          = 1e-3   // and this, in seconds
	failureLoss            = 1.4    // of a call that fails
	minCallWeight          = 0.3    // of a call without a prompt, relative to the mean weight
	maxCallWeight          = 4.0    // of the longest prompts
	callWeightDecayCalls   = 50.0   // calls
	unitsPerOutputToken    = 10     // prompt units that weigh as much as an output token, as in the rules for a call's worth
)

// The queue model of an endpoint.
const (
	priorityLevels         = 10   // of the Priority header
	maxQueueSeconds        = 20.0 // of prefill; more is certainly an error of the model
	certainOvertakeSeconds = 0.3  // of prefill ahead, from which on a more urgent prompt certainly overtakes waiting jobs
	maxQueueJobs           = 64   // separate jobs; further ones are added to the last one
)

// Cached prefixes.
const (
	prefixTTL           = 30 * time.Second // after this time without use a prefix is assumed evicted
	maxCachedPrefixes   = 512              // per endpoint
	maxExportedPrefixes = 3000             // of all endpoints; about 45 KB on the wire and on disk
)

// The prefill model: seconds to the first token by units and pairs of units.
const (
	prefillDecayObservations = 600.0  // observations
	prefillPriorWeight       = 1.0    // weight of the prior, in observations
	priorBase                = 0.02   // seconds, before the first observation
	priorUnitTime            = 10e-6  // seconds per unit, before the first observation
	minBase                  = 0.001  // seconds; this and the next four limit the effect of a series of implausible observations
	maxBase                  = 2.0    // seconds
	minUnitTime              = 1e-6   // seconds per unit
	maxUnitTime              = 200e-6 // seconds per unit
	maxPairTime              = 20e-3  // seconds per million pairs
	typicalPrefill           = 0.05   // seconds; an observation with this expected time has a weight of one
	unitScale                = 1000.0 // units; scales the second feature of the regression to about one
	pairScale                = 10.0   // millions of pairs; scales the third feature to about one
	initialOutlierFactor     = 3.0    // the first observations are clipped to this factor above and below the expected time
	outlierFactor            = 1.6    // the same for later ones: keeps the line near the median, which hidden queues hardly move
	initialObservations      = 100.0  // total weight of observations up to which initialOutlierFactor applies
	queuedObservationWeight  = 0.2    // of an observation with an expected wait, whose actual length is uncertain
)

// An endpoint's slowness relative to its service's prefill model.
const (
	slownessDecayTime  = 8 * time.Second // samples decay by time
	slownessDecayCalls = 12.0            // and by the number of later calls
	slownessPriorCalls = 4.0             // calls of the usual speed that are assumed in addition
	maxSlownessSample  = 10.0            // a call's ratio to the model is limited to this and its inverse
	slownessDeadband   = 1.3             // factors from the inverse of this up to this count as the usual speed
)

// Streams that run at an endpoint, and how long prefills stall them.
const (
	priorTokenTime        = 4 * time.Millisecond // per token of a stream, before the first stream
	maxTokenTime          = time.Second          // limits the effect of implausible observations
	tokenTimeDecayStreams = 20.0                 // streams
	maxOutputTokens       = 1e6                  // limits the effect of what requests state
	maxStreamDuration     = time.Minute          // limits the durations expected from what requests state
	maxStreams            = 64                   // per endpoint
	streamDurationShape   = 4.0                  // of log-logistic durations; their logarithm has a standard deviation of about 0.45
	minSurvival           = 0.02                 // streams with a lower probability of still running are removed
	minStallProbability   = 1e-3                 // streams with a lower probability of becoming late are ignored
	priorStallShare       = 0.6                  // stall as a share of the prefill's time, before the first stream
	minStallShare         = 0.02                 // lower bound of an observed share
	stallDecayStreams     = 20.0                 // streams
	maxRecentPrefills     = 16                   // per endpoint
)
