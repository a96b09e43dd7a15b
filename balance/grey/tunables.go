package grey

// Time constants in seconds: after this time an observation's weight has decayed to 1/e.
const (
	decaySeconds              = 10.0
	latencyDecaySeconds       = 20.0 // of a class's latency: the differences between classes change slowly
	recentDecaySeconds        = 5.0  // of a host's recent failures and of the cluster's time-out rate
	suspicionDecaySeconds     = 60.0 // long, so that a host does not seem healthy only because it gets few attempts
	recentLatencyDecaySeconds = 0.5  // of the most recent latencies at all hosts
)

// Latencies. Ratios to the typical latency are given as logarithms.
const (
	priorSpread            = 0.6  // standard deviation of the logarithms of a class's latencies before any answer
	priorSpreadWeight      = 20.0 // number of answers that priorSpread counts as
	minSpread              = 0.35 // with less spread, the first answer that is slower than usual would seem to hang
	lowestDecileDeviations = 1.28 // standard deviations from the mean of a normal distribution down to its tenth percentile
	priorLatencyWeight     = 4.0  // number of answers that the expected latency counts as
	overtakenProbability   = 0.4  // probability that an attempt that does not hang is overtaken by the answer to a later one
	maxOvertaken           = 3    // more are no further evidence: a long request is overtaken by many answers
	maxFastLogRatio        = 0.7  // up to this ratio to the typical latency an answer counts as fast
	priorFastWeight        = 0.7  // number of fast answers that are assumed in addition to the recent attempts
	minTrustFastShare      = 0.3  // share of fast answers up to which a missing answer is no evidence of a hang
	fullTrustFastShare     = 0.55 // share of fast answers from which a missing answer is full evidence of a hang
)

// Hang and failure rates.
const (
	priorHangRate           = 0.004 // of a host's attempts before any has ended
	minHangRate             = 0.001 // more than 0, since a host that has answered every attempt may start to hang
	priorHangWeight         = 50.0  // number of attempts that priorHangRate counts as, over all hosts
	priorFailureRate        = 0.01  // before any attempt has ended
	priorFailureWeight      = 20.0  // number of attempts of a class that priorFailureRate counts as, over all peers of a host
	peerWeight              = 6.0   // number of attempts that the peers' rate counts as in a host's rate
	ownClassWeight          = 8.0   // number of attempts that the host's overall rate counts as in its rate of a class
	maxFailureRate          = 0.98  // below 1, so that some attempts are still sent to a failing host
	minTimeoutRate          = 0.1   // prior of the cluster's time-out rate, and lower bound of its estimate
	priorTimeoutWeight      = 5.0   // number of attempts that the prior time-out rate counts as
	unresponsiveProbability = 0.001 // a host is unresponsive if its run of time-outs has a lower probability than this
)

// Suspicion that a host is grey. Rates are shares of attempts that fail.
const (
	minGreyRate            = 0.05  // lower bound of the rate that a grey host is assumed to have
	greyRateFactor         = 4.0   // that rate is this multiple of its peers' rate,
	maxGreyExcess          = 0.3   // but exceeds it by at most this share of the attempts that the peers serve
	peerRateStandardErrors = 1.0   // added to the peers' rate, because the true rate may be higher than the observed one
	minPeerRate            = 0.005 // lower bound of the peers' rate, so that two chance failures are no evidence
	maxSuspicion           = 7.5   // bounds the time for which a host is suspected after its recovery
	greySuspicion          = 6.0   // a host becomes grey at this suspicion
	clearedSuspicion       = 3.0   // a grey host stays grey while its suspicion is above this
)
