package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// Parameters of the search for faults.
const (
	minAnswered    = 20   // successful attempts of a class, for a fit of its distribution
	minFailures    = 3    // failed connects one after another before an endpoint counts as down
	minScore       = 14.0 // log-likelihood ratio: with a hundred endpoints and ten thousand attempts, chance gets to 11
	hangShare      = 0.9  // of the attempts without a response: above it the fault is a hang, below it mute
	minStrayRate   = 0.002
	immediateShare = 0.2  // of the class's median latency, within which an error came without work
	minTail        = 1e-4 // bounds what a single attempt counts for
	maxFaults      = 4    // of a kind at one endpoint

	resumeLag = 250 * time.Millisecond // from the end of a hang until an endpoint is sent to again, if nothing else is known

	// maxPause is how long an endpoint may pause and still respond to its pending requests, as in a garbage collection: a
	// hang of that length would hardly show otherwise.
	maxPause    = time.Second
	pauseFactor = 20.0 // of a pause as a slow period
)

// faultSizes are the shares that are tried for a fault.
var faultSizes = []float64{0.05, 0.1, 0.2, 0.35, 0.6, 0.97}

// findPartialFaults finds when an endpoint gave no response, or a faulty one, to a share of its requests.
func (m *fittedModel) findPartialFaults(v *history) {
	m.partialFaults = nil
	usual := v.medianLatencies()
	for endpointIndex := range v.endpoints {
		m.markLost(v, endpointIndex)
		m.findUnanswered(v, endpointIndex)
		for _, kind := range []string{"fail", "spoil", "cut", "refuse"} {
			m.findOutcomeFaults(v, endpointIndex, kind, usual)
		}
	}
}

// findUnanswered finds hangs and mute shares. Evidence is an attempt that was aborted although a healthy endpoint would
// have responded by then; the capacity at that time includes that others were slow as well. In the order of their ends,
// attempts that a hang lost follow those with a response before it.
func (m *fittedModel) findUnanswered(v *history, endpointIndex int) {
	attempts := v.attemptsOf(endpointIndex)
	order := make([]int, len(attempts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(attempts[a].ended, attempts[b].ended) })
	for range maxFaults {
		tail := m.tailProbabilities(v, endpointIndex)
		best, size := segment{}, 0.0
		for _, share := range faultSizes {
			scores := make([]float64, len(attempts))
			for position, i := range order {
				switch {
				case tail[i] == 0: // it had a response
					scores[position] = math.Log(1 - share)
				case tail[i] > 0:
					scores[position] = math.Log((share + (1-share)*tail[i]) / tail[i])
				}
			}
			if found := maxScoringSegment(scores); found.score > best.score {
				best, size = found, share
			}
		}
		if best.score < minScore {
			return
		}
		if affected := order[best.from:best.to]; size > hangShare {
			m.addHang(v, endpointIndex, affected)
		} else {
			m.addDropFault(v, endpointIndex, affected, size, tail)
		}
		v.invalidateEdges(endpointIndex)
	}
}

// tailProbabilities returns, for each attempt of an endpoint, the probability that a healthy one would not have responded
// by its end: 0 if it had a response, and -1 if nothing can be said.
func (m *fittedModel) tailProbabilities(v *history, endpointIndex int) []float64 {
	first := v.endpoints[endpointIndex].firstAttempt
	tail := make([]float64, len(v.attemptsOf(endpointIndex)))
	for i := range tail {
		tail[i] = -1
	}
	for _, p := range m.pieces(v, endpointIndex, nil) {
		a := &v.attempts[p.attempt]
		if m.wasDown(endpointIndex, a.started, a.ended) {
			continue
		}
		tail[p.attempt-first] = 0
		if p.censored {
			logTail, _, _ := m.distributions[a.class].score(p.work, true)
			tail[p.attempt-first] = max(math.Exp(logTail), minTail)
		}
	}
	return tail
}

// addDropFault adds a mute share, and marks the attempts that it may have lost.
func (m *fittedModel) addDropFault(v *history, endpointIndex int, affected []int, size float64, tail []float64) {
	attempts := v.attemptsOf(endpointIndex)
	s := partialFault{endpoint: endpointIndex, kind: "mute", size: size, from: neverEnds}
	for _, i := range affected {
		s.from, s.to = min(s.from, attempts[i].started), max(s.to, attempts[i].started+time.Millisecond)
		s.attempts += boolToInt(tail[i] >= 0)
		s.affected += boolToInt(tail[i] > 0)
		// Those that were aborted late are more likely lost than slow.
		attempts[i].lost = attempts[i].lost || tail[i] > 0 && tail[i] < 1-size
	}
	m.partialFaults = append(m.partialFaults, s)
}

// addHang adds a time without any response, from the last one on: a hang, which loses the pending requests, until shortly
// before the endpoint accepted the next one that had a response; or, if that was soon, a pause.
func (m *fittedModel) addHang(v *history, endpointIndex int, affected []int) {
	attempts := v.attemptsOf(endpointIndex)
	s := partialFault{endpoint: endpointIndex, kind: "hang", to: neverEnds}
	first, last := attempts[affected[0]].ended, attempts[affected[len(affected)-1]].ended
	for _, i := range affected {
		s.minEnd = max(s.minEnd, attempts[i].started)
	}
	resumed := neverEnds
	for i := range attempts {
		switch a := &attempts[i]; {
		case a.status != balance.OK:
		case a.ended <= first:
			s.from = max(s.from, a.ended)
		case a.ended > last:
			resumed, s.to = min(resumed, a.ended), min(s.to, a.started)
		}
	}
	if resumed-s.from < maxPause {
		m.slowPeriods = append(m.slowPeriods, slowPeriod{endpoint: endpointIndex, from: s.from, to: resumed, factor: pauseFactor})
		return
	}
	if s.to < neverEnds {
		s.to = max(s.minEnd+time.Millisecond, s.to-resumeLag)
	}
	for i := range attempts {
		if a := &attempts[i]; a.ended > s.from && a.started < s.to {
			s.affected++
			a.lost = a.lost || a.status != balance.OK && wasAccepted(a.status)
		}
	}
	m.partialFaults = append(m.partialFaults, s)
}

// findOutcomeFaults finds when a share of an endpoint's requests had the outcome of a kind of fault.
func (m *fittedModel) findOutcomeFaults(v *history, endpointIndex int, kind string, usual []time.Duration) {
	is := func(a *attempt) bool { return faultSignOf(a, usual) == kind }
	attempts := v.attemptsOf(endpointIndex)
	elsewhere, all := 0.0, 0.0
	for i := range v.attempts {
		if a := &v.attempts[i]; a.endpoint != endpointIndex && !m.wasDown(a.endpoint, a.started, a.ended) {
			all++
			elsewhere += float64(boolToInt(is(a)))
		}
	}
	stray := max(minStrayRate, elsewhere/max(all, 1))
	for range maxFaults {
		best := segment{}
		for _, size := range faultSizes {
			scores := make([]float64, len(attempts))
			for i := range attempts {
				a := &attempts[i]
				switch {
				case m.wasDown(endpointIndex, a.started, a.ended), a.lost, m.hadFault(a, kind):
				case is(a):
					scores[i] = math.Log(size / stray)
				case a.status == balance.OK:
					scores[i] = math.Log((1 - size) / (1 - min(stray, 0.99)))
				}
			}
			if r := maxScoringSegment(scores); r.score > best.score {
				best = r
			}
		}
		if best.score < minScore {
			return
		}
		s := partialFault{endpoint: endpointIndex, kind: kind, from: attempts[best.from].started, to: attempts[best.to-1].started + time.Millisecond}
		for i := best.from; i < best.to; i++ {
			s.attempts += boolToInt(is(&attempts[i]) || attempts[i].status == balance.OK)
			s.affected += boolToInt(is(&attempts[i]))
			attempts[i].lost = attempts[i].lost || is(&attempts[i]) && kind == "fail" // with the other kinds the work was done, or never reached the endpoint
		}
		if s.size = float64(s.affected) / float64(max(s.attempts, 1)); kind == "refuse" {
			s.size = 0
		}
		v.invalidateEdges(endpointIndex)
		m.partialFaults = append(m.partialFaults, s)
	}
}

// hadFault reports whether an attempt started during a fault of such a kind that was found already.
func (m *fittedModel) hadFault(a *attempt, kinds ...string) bool {
	return slices.ContainsFunc(m.partialFaults, func(s partialFault) bool {
		return s.endpoint == a.endpoint && a.started >= s.from && a.started < s.to && slices.Contains(kinds, s.kind)
	})
}

// faultSignOf returns the kind of fault that an attempt's outcome is a sign of, or "".
func faultSignOf(a *attempt, usual []time.Duration) string {
	switch a.status {
	case balance.Error:
		if a.ended-a.started < time.Duration(immediateShare*float64(usual[a.class])) {
			return "fail"
		}
		return "spoil"
	case balance.Reset:
		return "cut"
	case balance.ConnectFailed:
		return "refuse"
	}
	return ""
}

// medianLatencies returns the median latency of the successful attempts, by class.
func (v *history) medianLatencies() []time.Duration {
	by := make([][]time.Duration, len(v.settings.ClassNames))
	for i := range v.attempts {
		if a := &v.attempts[i]; a.status == balance.OK {
			by[a.class] = append(by[a.class], a.ended-a.started)
		}
	}
	out := make([]time.Duration, len(by))
	for c := range by {
		out[c] = median(by[c])
	}
	return out
}
