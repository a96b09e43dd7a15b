package calibration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
)

// leastLikely is a logarithm: one attempt that is beyond all laws must not outweigh all others.
const leastLikely = -20.0

// piece is the work that a host did for an attempt, if it shares its cores evenly among those in its slots.
type piece struct {
	attempt  int     // index into the view's
	work     float64 // seconds of a standard core, as far as it got
	rate     float64 // at which it got on at its end: of a core, and its part of one
	censored bool    // it was given up before it was done
}

// edge is the beginning or the end of an attempt, the ith of its host.
type edge struct {
	at   time.Duration
	i    int
	ends bool
}

// edges are those of a host's attempts that took part in its work. They are kept until reconsider.
func (v *view) edges(host int) []edge {
	h := &v.hosts[host]
	if h.edges != nil {
		return h.edges
	}
	of := v.of(host)
	h.edges = make([]edge, 0, 2*len(of))
	for i := range of {
		if a := &of[i]; !a.lost && took(a.status) && a.ended > a.began {
			h.edges = append(h.edges, edge{a.began, i, false}, edge{a.ended, i, true})
		}
	}
	slices.SortFunc(h.edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.i, b.i)) })
	return h.edges
}

// reconsider is to be called when other attempts of a host count as lost than before.
func (v *view) reconsider(host int) { v.hosts[host].edges = nil }

// pieces replays a host: what it was sent and what it let go is on record, and so is therefore who shared its
// cores with whom. Each answered attempt then shows its work, and each other one how much it had at least.
func (m *servers) pieces(v *view, host int, out []piece) []piece {
	first := v.hosts[host].first
	of := v.of(host)
	const waits = -1
	begun := make([]float64, len(of)) // gained when it began to run, or waits
	var queue []int
	p, hint := m.path(v, host), 0
	gained, last, running := 0.0, 0.0, 0
	for _, e := range v.edges(host) {
		sum, rate := p.read(e.at, &hint)
		gained += (sum - last) * m.part(running)
		last = sum
		if !e.ends {
			if running < m.slots {
				running++
				begun[e.i] = gained
			} else {
				begun[e.i] = waits
				queue = append(queue, e.i)
			}
			continue
		}
		a := &of[e.i]
		if begun[e.i] == waits {
			queue = slices.DeleteFunc(queue, func(i int) bool { return i == e.i })
			continue
		}
		rate *= m.part(running)
		running--
		if a.status == balance.OK || a.status == balance.Timeout || a.status == balance.Cancelled || a.status == balance.Reset {
			out = append(out, piece{attempt: first + e.i, work: gained - begun[e.i], rate: rate, censored: a.status != balance.OK})
		}
		if len(queue) > 0 {
			begun[queue[0]] = gained
			queue = queue[1:]
			running++
		}
	}
	return out
}

// part is that of a core which each of n running requests has.
func (m *servers) part(n int) float64 { return float64(min(m.cores, max(n, 1))) / float64(max(n, 1)) }

// took tells whether the host took the request.
func took(s balance.Status) bool {
	return s != balance.ConnectFailed && s != balance.Rejected && s != balance.NotSent
}

// likelihood of when a host's attempts ended: that of the works by then, times how fast these grew. Without the
// latter, times would be likelier the fewer cores a host is said to have, as all works come out smaller.
func (m *servers) likelihood(v *view, host int) float64 {
	sum := 0.0
	for _, p := range m.pieces(v, host, nil) {
		l, _, _ := m.laws[v.attempts[p.attempt].class].tells(p.work, p.censored)
		if sum += max(l, leastLikely); !p.censored {
			sum += math.Log(p.rate)
		}
	}
	return sum
}

// likelihoods is that of all hosts, or of one.
func (m *servers) likelihoods(v *view, host int) float64 {
	if host >= 0 {
		return m.likelihood(v, host)
	}
	sum := 0.0
	for h := range v.hosts {
		sum += m.likelihood(v, h)
	}
	return sum
}

// fitLaws finds how each class's work spreads, the hosts' capacities being as they are, and then the hosts' speeds.
func (m *servers) fitLaws(v *view, rounds int) {
	for range rounds {
		by := make([][]piece, len(m.laws))
		for h := range v.hosts {
			for _, p := range m.pieces(v, h, nil) {
				// How long a request would have taken at the host that was beaten hangs together with how long it
				// took at the other: only one of the two may count.
				if a := &v.attempts[p.attempt]; !a.beaten {
					by[a.class] = append(by[a.class], p)
				}
			}
		}
		for c := range m.laws {
			m.laws[c].fit(by[c])
		}
		for h := range v.hosts {
			slope, info := 0.0, 1.0 // one observation's worth for staying
			for _, p := range m.pieces(v, h, nil) {
				_, s, i := m.laws[v.attempts[p.attempt].class].tells(p.work, p.censored)
				slope, info = slope+s, info+i
			}
			m.speed[h] *= math.Exp(min(max(slope/info, -0.5), 0.5))
		}
		m.normalise()
	}
}

// normalise has the mean speed be 1 and the works go with it: only their ratios show.
func (m *servers) normalise() {
	mean := 0.0
	for _, s := range m.speed {
		mean += s / float64(len(m.speed))
	}
	for h := range m.speed {
		m.speed[h] /= mean
	}
	for c := range m.laws {
		m.laws[c].mean /= mean
		m.laws[c].mu -= math.Log(mean)
	}
}
