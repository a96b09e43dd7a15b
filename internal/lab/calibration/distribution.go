package calibration

import "math"

const (
	minWork  = 1e-7 // seconds: less is rounding of the record's times
	minSigma = 0.1
	emRounds = 6 // rounds of expectation-maximisation; the starting point is close
	// maxFamilyPieces is enough to distinguish an exponential from a lognormal class.
	maxFamilyPieces = 800
)

// workDistribution is the distribution of a class's work, in seconds of a standard core: lognormal, or exponential from
// request to request and lognormal around that from attempt to attempt.
type workDistribution struct {
	exponential bool
	mean        float64 // exp
	noise       float64 // exp: sigma of the attempts' logarithms
	mu, sigma   float64 // lognormal
}

// nodes and weights are those of Gauss-Hermite quadrature with five nodes, for a standard normal number.
var (
	nodes   = [...]float64{-2.856970013872806, -1.355626179974266, 0, 1.355626179974266, 2.856970013872806}
	weights = [...]float64{0.011257411327721, 0.222075922005613, 0.533333333333333, 0.222075922005613, 0.011257411327721}
)

// families are the families of distributions that are tried.
var families = []workDistribution{{}, {exponential: true}, {exponential: true, noise: 0.3}, {exponential: true, noise: 0.6}}

// score returns the log-likelihood of a piece of work (up to a constant), its derivative by the logarithm of all work, and
// the information in that. Of a censored piece it is only known that there was more work than that.
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

// exponentialMixture returns the density of an exponential distribution, or its upper tail if censored, averaged over the
// noise; and the expected ratio of the work to its mean, given the work.
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

// fit fits the distribution by expectation-maximisation with censored pieces. A part of the pieces decides the family.
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

// maximize finds the likeliest distribution of its family; false if too few pieces are complete.
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

// estimateMoments takes the moments of the complete pieces, and returns their number.
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

// emStep is one round of expectation-maximisation for the lognormal.
func (l *workDistribution) emStep(of []workPiece) {
	sum, squares := 0.0, 0.0
	for _, p := range of {
		x := math.Log(max(p.work, minWork))
		square := x * x
		if p.censored { // the mean and square of a normal number above x
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

// upperTail returns the standard normal's upper tail and its hazard rate.
func upperTail(z float64) (tail, hazard float64) {
	if z > 6 { // Mills' ratio
		return math.Exp(-z*z/2) / (z * math.Sqrt(2*math.Pi)), z + 1/z
	}
	tail = math.Erfc(z/math.Sqrt2) / 2
	return tail, math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / tail
}
