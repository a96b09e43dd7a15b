package calibration

import (
	"math"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// Tunables of the calibration.
const (
	playsEach = 5           // plays a try, with the same draws for each: one alone would chase its own noise
	sure      = 4.0         // standard errors that a gain has to be beyond: chance does that once in a hundred tries
	leastGain = 0.03        // of the loss: where the model fits, the direct fit is better than what a try of a few plays shows
	otherSeed = 1000        // the calibration's draws are not those of the rehearsal, which it is judged by
	cell      = time.Second // of the counts that are compared
	wholePart = 4.0         // of how the streams ended over the whole run, beside that by second
	timesPart = 4.0         // what a whole mismatch of attempts' times counts for, beside that of counts
	workStep  = 0.04        // of the work's scale; the direct fit is within a few percent
	slowStep  = 0.08        // of a slow time's factor
	coldTurn  = 0.3         // of the capacity that cold hosts begin with
)

// quantiles of the attempts' times that are compared.
var quantiles = []float64{0.25, 0.5, 0.75, 0.9, 0.97}

// turn is one thing that the calibration may change.
type turn struct {
	set  func(way float64)
	undo func()
}

// calibrate plays the rehearsal with one thing changed after another, and keeps what brings it closer to the
// record: it corrects what the model of a host leaves out, and finds what the direct fit could not see, such as
// when a host would have answered again that nobody asked. It stops as soon as the record could be a play itself:
// what is left is chance then.
func (r *Rehearsal) calibrate(m *servers, o Options) error {
	plays := o.Evaluations
	if plays == 0 {
		plays = DefaultEvaluations
	}
	want := r.view.marks()
	var seen [playsEach]*marks // by the last plays
	losses := func() (out [playsEach]float64, err error) {
		s := m.scenario(r.view)
		plays -= playsEach
		for i := range out {
			v, err := r.play(s, r.Seed+otherSeed+uint64(i))
			if err != nil {
				return out, err
			}
			seen[i] = v.marks()
			out[i] = want.from(seen[i])
		}
		return out, nil
	}
	if plays < playsEach {
		return nil
	}
	best, err := losses()
	if err != nil {
		return err
	}
	chance := scatter(&seen)
	for _, k := range m.turns() {
		for _, way := range []float64{1, -1} {
			if plays < playsEach || mean(&best) <= chance {
				break
			}
			k.set(way)
			l, err := losses()
			if err != nil {
				return err
			}
			if better(&best, &l) {
				best = l
				break
			}
			k.undo()
		}
	}
	r.Scenario = m.scenario(r.view)
	return nil
}

// scatter is how far the play that is farthest from the others is from them.
func scatter(of *[playsEach]*marks) (most float64) {
	for i, a := range of {
		sum := 0.0
		for k, b := range of {
			if k != i {
				sum += a.from(b) / (playsEach - 1)
			}
		}
		most = max(most, sum)
	}
	return most
}

func mean(of *[playsEach]float64) (m float64) {
	for _, x := range of {
		m += x / playsEach
	}
	return m
}

// better tells whether losses are lower than others with the same draws, beyond what draws explain.
func better(than, l *[playsEach]float64) bool {
	gain, squares := mean(than)-mean(l), 0.0
	for i := range l {
		off := than[i] - l[i] - gain
		squares += off * off
	}
	deviation := math.Sqrt(squares / (playsEach - 1) / playsEach) // of the mean
	return gain > sure*deviation && gain > leastGain*mean(than)
}

// turns are what may be changed, what the record shows least first.
func (m *servers) turns() (out []turn) {
	for i := range m.shares {
		s := &m.shares[i]
		if s.kind != "hang" || s.to == never || s.to < s.least+2*resumeLag {
			continue
		}
		was := s.to
		out = append(out, turn{func(way float64) { // 1 is the earliest end; others lie between
			s.to = was - time.Duration((1+way)/2*float64(was-s.least-time.Millisecond))
		}, func() { s.to = was }})
	}
	scale := func(of []*float64, step float64) {
		was := make([]float64, len(of))
		for i := range of {
			was[i] = *of[i]
		}
		set := func(way float64) {
			for i := range of {
				*of[i] = was[i] * math.Exp(way*step)
			}
		}
		out = append(out, turn{set, func() { set(0) }})
	}
	speeds := make([]*float64, len(m.speed))
	for h := range m.speed {
		speeds[h] = &m.speed[h]
	}
	scale(speeds, workStep)
	for i := range m.slows {
		scale([]*float64{&m.slows[i].factor}, slowStep)
	}
	if m.cold.known {
		scale([]*float64{&m.cold.from}, coldTurn)
	}
	return out
}

// marks is what a play and the record are compared by.
type marks struct {
	times  [][]float64 // logarithms of the answered attempts' quantiles, by class
	weight []float64   // by class: its part of them
	ends   map[int]int // streams by second and end
	whole  map[int]int // streams by end
	hosts  map[int]int // attempts by host, second and whether they were answered
}

func (v *view) marks() *marks {
	k := &marks{ends: map[int]int{}, whole: map[int]int{}, hosts: map[int]int{}}
	took := make([][]float64, len(v.settings.ClassNames))
	all := 0.0
	for i := range v.attempts {
		a := &v.attempts[i]
		ok := a.status == balance.OK
		if ok {
			took[a.class] = append(took[a.class], math.Log(max(a.ended-a.began, time.Microsecond).Seconds()))
			all++
		}
		k.hosts[(int(a.began/cell)*len(v.hosts)+a.host)*2+b2i(ok)]++
	}
	for _, of := range took {
		slices.Sort(of)
		var at []float64
		for _, q := range quantiles {
			if len(of) > 0 {
				at = append(at, of[int(q*float64(len(of)-1))])
			}
		}
		k.times, k.weight = append(k.times, at), append(k.weight, float64(len(of))/max(all, 1))
	}
	for i := range v.streams {
		s := &v.streams[i]
		end := 3
		switch {
		case s.end == stream.Served:
			end = b2i(s.after > v.settings.Classes[s.class].TargetLatency)
		case s.end == stream.RejectedLocally:
			end = 2
		case s.end == stream.ClientGone:
			continue
		}
		k.ends[int(s.at/cell)*4+end]++
		k.whole[end]++
	}
	return k
}

// from is how far others are from these: 0 is not at all.
func (k *marks) from(o *marks) float64 {
	times := 0.0
	for c := range k.times {
		for i := range min(len(k.times[c]), len(o.times[c])) {
			times += k.weight[c] * math.Abs(k.times[c][i]-o.times[c][i]) / float64(len(quantiles))
		}
	}
	return timesPart*times + wholePart*apart(k.whole, o.whole) + apart(k.ends, o.ends) + apart(k.hosts, o.hosts)
}

// apart is the part of two sets of counts that does not match.
func apart(a, b map[int]int) float64 {
	differ, all := 0, 0
	for at, n := range a {
		differ += max(n-b[at], b[at]-n)
		all += n
	}
	for at, n := range b {
		if _, both := a[at]; !both {
			differ += n
		}
		all += n
	}
	return float64(differ) / float64(max(all, 1))
}
