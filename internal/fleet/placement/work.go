package placement

import (
	"math"
	"time"
)

// What an endpoint still has to read before a new prompt's first token: a fluid model of its queue, fed with this
// router's own sends at once and with other routers' as they tell of them. Reports of the endpoint itself would be old
// on arrival, and the same for all readers.

const (
	ranks          = 10               // of the Priority header
	speedMemory    = 60.0             // calls after which an observation of the speed weighs 1/e
	priorUnitTime  = 10e-6            // seconds a unit, before anything was seen
	priorFirst     = 0.06             // seconds to the first token without any queue
	leastUnitTime  = 1e-6             // seconds a unit: bounds what a burst of odd answers can do
	mostUnitTime   = 200e-6           // the same
	residualMost   = 0.15             // seconds for which a less urgent prompt that is being read holds up a call
	prefixLife     = 30 * time.Second // after its last use a prefix is no longer counted on
	prefixesMost   = 512              // an endpoint
	queueMost      = 20.0             // seconds of work: beyond, the model is surely wrong
	ownSpeedWeight = 8.0              // calls from which on an endpoint's own speed counts as much as all others'
)

// Prompt is what a call has an endpoint read. Parts are shared prefixes from the longest to the shortest.
type Prompt struct {
	Units    float64 // tokens, or 1 where nothing is told
	Prefixes []Prefix
	Rank     int // 0: the most urgent
}

// own is how many units are in no shared part.
func (p *Prompt) own() float64 {
	if len(p.Prefixes) == 0 {
		return p.Units
	}
	return max(1, p.Units-p.Prefixes[0].Units)
}

// Prefix is a shared beginning of prompts.
type Prefix struct {
	Hash  uint32
	Units float64 // from the prompt's beginning
}

// queue is the model of one endpoint.
type queue struct {
	left     [ranks]float64 // units, by rank
	pushed   [ranks]float64 // units since the beginning
	at       time.Duration
	speed    speedModel
	prefixes map[uint32]time.Duration // last use
}

// speedModel is a weighted fit of the time to first token by the units that had to be read before it.
type speedModel struct{ weight, sumX, sumY, sumXX, sumXY float64 }

func (s *speedModel) observe(units, seconds float64) {
	keep := 1 - 1/speedMemory
	s.weight = s.weight*keep + 1
	s.sumX = s.sumX*keep + units
	s.sumY = s.sumY*keep + seconds
	s.sumXX = s.sumXX*keep + units*units
	s.sumXY = s.sumXY*keep + units*seconds
}

func (s *speedModel) add(other *speedModel) {
	s.weight += other.weight
	s.sumX += other.sumX
	s.sumY += other.sumY
	s.sumXX += other.sumXX
	s.sumXY += other.sumXY
}

// line is the time that a first token takes: first + units * unitTime, in seconds.
type line struct{ first, unitTime float64 }

// fit returns the line; prior counts as so many calls that lie on it, of the spread of units that was seen.
func (s *speedModel) fit(prior line, calls float64) line {
	if s.weight < 1 {
		return prior
	}
	meanX := s.sumX / s.weight
	varianceX := max(0, s.sumXX/s.weight-meanX*meanX)
	covariance := s.sumXY/s.weight - meanX*s.sumY/s.weight
	spread := varianceX + meanX*meanX*0.05 + 1e-9
	unitTime := (s.weight*covariance + calls*prior.unitTime*spread) / (s.weight*varianceX + calls*spread)
	unitTime = min(max(unitTime, leastUnitTime), mostUnitTime)
	first := (s.sumY - unitTime*s.sumX + calls*prior.first) / (s.weight + calls)
	return line{first: max(0.001, first), unitTime: unitTime}
}

// drain lets the endpoint read for the time that has passed, the most urgent first.
func (q *queue) drain(now time.Duration, unitTime float64) {
	if now <= q.at {
		return
	}
	read := (now - q.at).Seconds() / unitTime
	q.at = now
	for rank := range q.left {
		done := min(read, q.left[rank])
		q.left[rank] -= done
		read -= done
	}
}

// before is how many units are read before a new prompt of a rank.
func (q *queue) before(rank int, unitTime float64) float64 {
	sum, lower := 0.0, 0.0
	for r, units := range q.left {
		if r <= rank {
			sum += units
		} else {
			lower += units
		}
	}
	return sum + min(lower, residualMost/unitTime)
}

// uncached is how many of a prompt's units have to be read here.
func (q *queue) uncached(now time.Duration, p *Prompt) float64 {
	for _, prefix := range p.Prefixes {
		if used, known := q.prefixes[prefix.Hash]; known && now-used < prefixLife {
			return max(1, p.Units-prefix.Units)
		}
	}
	return p.Units
}

// push adds a prompt to the queue.
func (q *queue) push(now time.Duration, rank int, units, unitTime float64) {
	q.drain(now, unitTime)
	rank = min(max(rank, 0), ranks-1)
	q.pushed[rank] += units
	q.left[rank] = min(q.left[rank]+units, queueMost/unitTime)
}

// reached notes that the first token of a prompt came: what was as urgent and had been pushed by then has been read.
func (q *queue) reached(rank int, pushed *[ranks]float64) {
	for r := 0; r <= min(rank, ranks-1); r++ {
		q.left[r] = min(q.left[r], q.pushed[r]-pushed[r])
	}
}

// remember notes that a prompt's shared parts are kept here from now on.
func (q *queue) remember(now time.Duration, prefixes ...uint32) {
	if q.prefixes == nil {
		q.prefixes = map[uint32]time.Duration{}
	}
	for _, hash := range prefixes {
		q.prefixes[hash] = now
	}
	if len(q.prefixes) > prefixesMost {
		q.forgetOldest()
	}
}

func (q *queue) forgetOldest() {
	oldest, at := uint32(0), time.Duration(math.MaxInt64)
	for hash, used := range q.prefixes {
		if used < at {
			oldest, at = hash, used
		}
	}
	delete(q.prefixes, oldest)
}
