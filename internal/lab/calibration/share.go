package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// Tunables of what counts as a fault.
const (
	leastDone  = 20   // answered attempts of a class that tell its law
	leastFails = 3    // connections that fail one after another before a host counts as down
	leastScore = 14.0 // log-likelihood ratio: with a hundred hosts and ten thousand places, chance gets to 11
	allShare   = 0.9  // of the attempts unanswered is a hang, and below it each by itself is mute
	strayRate  = 0.002
	quickShare = 0.2  // of the class's usual time within which an error came without work
	leastTail  = 1e-4 // no single attempt speaks more clearly for a silence than that
	mostFaults = 4    // of a kind at one host

	resumeLag = 250 * time.Millisecond // from a silence's end until a host is sent to again, if nothing else is known

	// longestPause is how long a host may stand still and still answer what it holds, as in a collection of
	// garbage: a hang of that length would hardly show otherwise.
	longestPause = time.Second
	standstill   = 20.0 // times as long as usual
)

// sizes are the shares that a fault is tried at.
var sizes = []float64{0.05, 0.1, 0.2, 0.35, 0.6, 0.97}

// findShares finds when a host did not answer, or not well, to a share of what it took.
func (m *servers) findShares(v *view) {
	m.shares = nil
	usual := v.usual()
	for h := range v.hosts {
		m.mourn(v, h)
		m.silences(v, h)
		for _, kind := range []string{"fail", "spoil", "cut", "refuse"} {
			m.outcomes(v, h, kind, usual)
		}
	}
}

// silences finds hangs and mute shares. What speaks for one is an attempt that was given up although a host in
// order would have answered by then; that others were slow as well is in the capacity it is held against. In the
// order of their ends, those that a hang lost follow those that were answered before it.
func (m *servers) silences(v *view, h int) {
	of, first := v.of(h), v.hosts[h].first
	order := make([]int, len(of))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(of[a].ended, of[b].ended) })
	for range mostFaults {
		tail := make([]float64, len(of)) // of a host in order, to be so late; -1: says nothing
		for i := range tail {
			tail[i] = -1
		}
		for _, p := range m.pieces(v, h, nil) {
			a := &v.attempts[p.attempt]
			if m.isDown(h, a.began, a.ended) {
				continue
			}
			if tail[p.attempt-first] = 0; p.censored {
				likely, _, _ := m.laws[a.class].tells(p.work, true)
				tail[p.attempt-first] = max(math.Exp(likely), leastTail)
			}
		}
		best, size := run{}, 0.0
		for _, share := range sizes {
			scores := make([]float64, len(of))
			for k, i := range order {
				switch t := tail[i]; {
				case t == 0: // answered
					scores[k] = math.Log(1 - share)
				case t > 0:
					scores[k] = math.Log((share + (1-share)*t) / t)
				}
			}
			if r := strongest(scores); r.score > best.score {
				best, size = r, share
			}
		}
		if best.score < leastScore {
			return
		}
		if struck := order[best.from:best.to]; size > allShare {
			m.stopped(v, h, struck)
		} else {
			m.muted(v, h, struck, size, tail)
		}
		v.reconsider(h)
	}
}

// muted takes note of a host that did not answer a share of what it took, and of which attempts that may have been.
func (m *servers) muted(v *view, h int, struck []int, size float64, tail []float64) {
	of := v.of(h)
	s := share{host: h, kind: "mute", size: size, from: never}
	for _, i := range struck {
		s.from, s.to = min(s.from, of[i].began), max(s.to, of[i].began+time.Millisecond)
		s.of += b2i(tail[i] >= 0)
		s.hit += b2i(tail[i] > 0)
		// Those that were given up late are rather lost than slow.
		of[i].lost = of[i].lost || tail[i] > 0 && tail[i] < 1-size
	}
	m.shares = append(m.shares, s)
}

// stopped takes note of a host that answered nothing, from its last answer on: of a hang, by which what it held is
// lost, until shortly before it took what it answered again; or, where it soon went on, of a pause.
func (m *servers) stopped(v *view, h int, struck []int) {
	of := v.of(h)
	s := share{host: h, kind: "hang", to: never}
	first, last := of[struck[0]].ended, of[struck[len(struck)-1]].ended
	for _, i := range struck {
		s.least = max(s.least, of[i].began)
	}
	resumed := never
	for i := range of {
		switch a := &of[i]; {
		case a.status != balance.OK:
		case a.ended <= first:
			s.from = max(s.from, a.ended)
		case a.ended > last:
			resumed, s.to = min(resumed, a.ended), min(s.to, a.began)
		}
	}
	if resumed-s.from < longestPause {
		m.slows = append(m.slows, slow{host: h, from: s.from, to: resumed, factor: standstill})
		return
	}
	if s.to < never {
		s.to = max(s.least+time.Millisecond, s.to-resumeLag)
	}
	for i := range of {
		if a := &of[i]; a.ended > s.from && a.began < s.to {
			s.hit++
			a.lost = a.lost || a.status != balance.OK && took(a.status)
		}
	}
	m.shares = append(m.shares, s)
}

// outcomes finds when a host gave an outcome to a share of what it took.
func (m *servers) outcomes(v *view, h int, kind string, usual []time.Duration) {
	is := func(a *attempt) bool { return outcomeOf(a, usual) == kind }
	of := v.of(h)
	elsewhere, all := 0.0, 0.0
	for i := range v.attempts {
		if a := &v.attempts[i]; a.host != h && !m.isDown(a.host, a.began, a.ended) {
			all++
			elsewhere += float64(b2i(is(a)))
		}
	}
	stray := max(strayRate, elsewhere/max(all, 1))
	for range mostFaults {
		best := run{}
		for _, size := range sizes {
			scores := make([]float64, len(of))
			for i := range of {
				a := &of[i]
				switch {
				case m.isDown(h, a.began, a.ended), a.lost, m.struck(a, kind):
				case is(a):
					scores[i] = math.Log(size / stray)
				case a.status == balance.OK:
					scores[i] = math.Log((1 - size) / (1 - min(stray, 0.99)))
				}
			}
			if r := strongest(scores); r.score > best.score {
				best = r
			}
		}
		if best.score < leastScore {
			return
		}
		s := share{host: h, kind: kind, from: of[best.from].began, to: of[best.to-1].began + time.Millisecond}
		for i := best.from; i < best.to; i++ {
			s.of += b2i(is(&of[i]) || of[i].status == balance.OK)
			s.hit += b2i(is(&of[i]))
			of[i].lost = of[i].lost || is(&of[i]) && kind == "fail" // the others did their work, or never got there
		}
		if s.size = float64(s.hit) / float64(max(s.of, 1)); kind == "refuse" {
			s.size = 0
		}
		v.reconsider(h)
		m.shares = append(m.shares, s)
	}
}

// struck tells whether an attempt came while such a fault, already found, was on.
func (m *servers) struck(a *attempt, kinds ...string) bool {
	return slices.ContainsFunc(m.shares, func(s share) bool {
		return s.host == a.host && a.began >= s.from && a.began < s.to && slices.Contains(kinds, s.kind)
	})
}

// outcomeOf names the fault that an attempt's outcome is a sign of, or "".
func outcomeOf(a *attempt, usual []time.Duration) string {
	switch a.status {
	case balance.Error:
		if a.ended-a.began < time.Duration(quickShare*float64(usual[a.class])) {
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

// usual is the median time of the answered attempts, by class.
func (v *view) usual() []time.Duration {
	by := make([][]time.Duration, len(v.settings.ClassNames))
	for i := range v.attempts {
		if a := &v.attempts[i]; a.status == balance.OK {
			by[a.class] = append(by[a.class], a.ended-a.began)
		}
	}
	out := make([]time.Duration, len(by))
	for c := range by {
		out[c] = median(by[c])
	}
	return out
}
