package calibration

import "math"

const (
	minWork  = 1e-7 // seconds: below is rounding of the record's times
	minSigma = 0.1
	emRounds = 6 // the mean and spread of what was done are close by
	// maxFamilyPieces tell an exponential from a lognormal class beyond doubt.
	maxFamilyPieces = 800
)

// law is how the work of a class spreads, in seconds of a standard core: lognormal, or exponential from request
// to request and lognormal around that from attempt to attempt.
type workDistribution struct {
	exponential bool
	mean        float64 // exp
	noise       float64 // exp: sigma of the attempts' logarithms
	mu, sigma   float64 // lognormal
}

// nodes and weights are Gauss and Hermite's for five places of a standard normal number.
var (
	nodes   = [...]float64{-2.856970013872806, -1.355626179974266, 0, 1.355626179974266, 2.856970013872806}
	weights = [...]float64{0.011257411327721, 0.222075922005613, 0.533333333333333, 0.222075922005613, 0.011257411327721}
)

// kinds are the laws that a class may have.
var families = []workDistribution{{}, {exponential: true}, {exponential: true, noise: 0.3}, {exponential: true, noise: 0.6}}

// tells is what a piece of work says: how likely it is (up to what no law changes), and how the likelihood
// changes with the logarithm of all works, with the information in that. Of a censored one no more is known
// than that there was more to do.
func (l *workDistribution) score(work float64, censored bool) (logLikely, slope, info float64) {
	work = max(work, minWork)
	if l.exponential {
		likely, x := l.exponentialMixture(work, censored)
		if censored {
			return math.Log(likely), -x, x
		}
		return math.Log(likely), 1 - x, max(x, 0.1)
	}
	z := (math.Log(work) - l.mu) / l.sigma
	if censored {
		tail, hazard := upperTail(z)
		return math.Log(tail), -hazard / l.sigma, hazard * max(hazard-z, 0) / (l.sigma * l.sigma)
	}
	return -z*z/2 - math.Log(l.sigma*work*math.Sqrt(2*math.Pi)), -z / l.sigma, 1 / (l.sigma * l.sigma)
}

// mix is the density of an exponential law at a work, or its upper tail, over its noise; and the work over its
// mean as the noise makes it likely to have been.
func (l *workDistribution) exponentialMixture(work float64, censored bool) (likely, x float64) {
	if l.noise == 0 {
		x = work / l.mean
		likely = math.Exp(-x)
		if !censored {
			likely /= l.mean
		}
		return max(likely, 1e-300), x
	}
	sum := 0.0
	for i, node := range nodes {
		mean := l.mean * math.Exp(l.noise*node-l.noise*l.noise/2)
		at := work / mean
		p := weights[i] * math.Exp(-at)
		if !censored {
			p /= mean
		}
		likely += p
		sum += p * at
	}
	if likely < 1e-300 {
		return 1e-300, work / l.mean
	}
	return likely, sum / likely
}

// fit finds a class's law by expectation and maximisation, the censored pieces counting for what they tell. Which
// kind is likeliest, a part of the pieces decides.
func (l *workDistribution) fit(of []workPiece) {
	some := of
	if step := len(of) / maxFamilyPieces; step > 1 {
		some = nil
		for i := 0; i < len(of); i += step {
			some = append(some, of[i])
		}
	}
	best, high := workDistribution{}, math.Inf(-1)
	for _, kind := range families {
		if !kind.maximize(some) {
			return
		}
		if likely := kind.logLikelihood(some); likely > high {
			best, high = kind, likely
		}
	}
	if best.maximize(of) {
		*l = best
	}
}

// climb finds the likeliest law of its kind; it is false if too little was done to tell.
func (l *workDistribution) maximize(of []workPiece) bool {
	normal := workDistribution{}
	done := normal.estimateMoments(of)
	if done < minAnswered {
		return false
	}
	if !l.exponential {
		for range emRounds {
			normal.emStep(of)
		}
		*l = normal
		return true
	}
	l.mean = math.Exp(normal.mu + normal.sigma*normal.sigma/2)
	for range emRounds {
		sum := 0.0
		for _, p := range of {
			_, x := l.exponentialMixture(max(p.work, minWork), p.censored)
			sum += x
		}
		l.mean *= sum / done
	}
	return true
}

// start takes the mean and spread of what was done, and returns how many pieces that were.
func (l *workDistribution) estimateMoments(of []workPiece) (done float64) {
	sum, squares := 0.0, 0.0
	for _, p := range of {
		if !p.censored {
			x := math.Log(max(p.work, minWork))
			done, sum, squares = done+1, sum+x, squares+x*x
		}
	}
	l.mu = sum / max(done, 1)
	l.sigma = max(math.Sqrt(max(squares/max(done, 1)-l.mu*l.mu, 0)), minSigma)
	return done
}

// step is one round for the lognormal.
func (l *workDistribution) emStep(of []workPiece) {
	sum, squares := 0.0, 0.0
	for _, p := range of {
		x := math.Log(max(p.work, minWork))
		square := x * x
		if p.censored { // the mean and square of a normal number that is above x
			z := (x - l.mu) / l.sigma
			_, hazard := upperTail(z)
			left := l.sigma * l.sigma * max(1+z*hazard-hazard*hazard, 0)
			x = l.mu + l.sigma*hazard
			square = x*x + left
		}
		sum, squares = sum+x, squares+square
	}
	n := float64(len(of))
	l.mu = sum / n
	l.sigma = max(math.Sqrt(max(squares/n-l.mu*l.mu, 0)), minSigma)
}

func (l *workDistribution) logLikelihood(of []workPiece) (sum float64) {
	for _, p := range of {
		x, _, _ := l.score(p.work, p.censored)
		sum += x
	}
	return sum
}

// upper is the standard normal's upper tail and its hazard.
func upperTail(z float64) (tail, hazard float64) {
	if z > 6 { // Mills' ratio
		return math.Exp(-z*z/2) / (z * math.Sqrt(2*math.Pi)), z + 1/z
	}
	tail = math.Erfc(z/math.Sqrt2) / 2
	return tail, math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / tail
}
