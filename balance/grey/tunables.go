package grey

// Times after which an observation weighs 1/e, in seconds.
const (
	decaySeconds          = 10.0
	latencyDecaySeconds   = 20.0 // of a class's latency: classes differ for long
	recentDecaySeconds    = 5.0  // of whether a host is of any use
	suspicionDecaySeconds = 60.0 // a host that gets few attempts must not seem healthy for that
	momentDecaySeconds    = 0.5  // of how all hosts do at this moment
)

// Latencies. Ratios to the typical latency are logarithms.
const (
	priorSpread          = 0.6  // standard deviation of the logarithms of a class's latencies, until known
	priorSpreadWeight    = 20.0 // answers that it counts for
	minSpread            = 0.35 // answers are never taken to be more alike, or the first odd one would seem to hang
	lowestDecile         = 1.28 // standard deviations below the mean of a normal distribution's lowest tenth
	priorLatencyWeight   = 4.0  // answers that the first mean counts for
	overtakenProbability = 0.4  // that a pending answer is overtaken by one to a later attempt
	maxOvertaken         = 3    // more of them prove no more: a long request is overtaken by many
	maxFastLogRatio      = 0.7  // to the typical latency, up to which an answer is as fast as ever
	priorFastWeight      = 0.7  // attempts that all being well counts for, at any moment
	minTrustShare        = 0.3  // share of fast answers among all attempts from which a missing answer is evidence of a hang,
	fullTrustShare       = 0.55 // and is so fully
)

// Hang and failure rates.
const (
	priorHangRate      = 0.004 // of a host's attempts, until known
	minHangRate        = 0.001 // a host that has answered all so far may have just changed
	priorHangWeight    = 50.0  // attempts that the prior counts for, over all hosts
	priorFailureRate   = 0.01  // until known
	priorFailureWeight = 20.0  // attempts that it counts for, over all other hosts of a class
	peerWeight         = 6.0   // attempts that a host's likeness to its peers counts for
	ownClassWeight     = 8.0   // attempts of a class that its host's likeness to itself counts for
	maxFailureRate     = 0.98  // a rate never gets so high that nothing would be sent
	minTimeoutRate     = 0.1   // of attempts, until known, and the lowest that it is taken for
	priorTimeoutWeight = 5.0   // attempts that it counts for
	unresponsiveOdds   = 0.001 // chance of so many time-outs in a row under which a host is unresponsive
)

// Suspicion.
const (
	minGreyRate      = 0.05  // lowest rate that a host is suspected of,
	greyRateFactor   = 4.0   // or this many times its peers' rate,
	maxGreyExcess    = 0.3   // but at most this share of the attempts that its peers serve
	standardErrors   = 1.0   // of its peers' rate that are added to it: it may be higher than was seen
	minPeerRate      = 0.005 // lowest that counts as usual: two failures by chance are no evidence
	maxSuspicion     = 7.5   // bounds how long a host is suspected after it has recovered
	greySuspicion    = 6.0   // from which a host is grey
	clearedSuspicion = 3.0   // until which it stays grey
)
