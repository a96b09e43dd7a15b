package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// stream is a Poisson stream of jobs.
type stream struct {
	jobs int
	gap  time.Duration                         // mean
	work func(random *rand.Rand) time.Duration // of one job
	seed uint64
}

func exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
}

func fixed(w time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return w }
}

// run is the outcome of a stream, an entry for each job, and the integral of the pending jobs that the endpoint reported.
type run struct {
	waits, sojourns []float64
	pending         float64
}

// play sends a stream to an endpoint and goes on until every job has its response.
func play(s *Endpoint, load stream) run {
	random := rand.New(rand.NewPCG(load.seed, 0))
	r := run{waits: make([]float64, load.jobs), sojourns: make([]float64, load.jobs)}
	came := make([]time.Duration, load.jobs)
	works := make([]time.Duration, load.jobs)
	arrival := time.Duration(0)
	var now time.Duration
	var effects []Event
	for sent := 0; sent < load.jobs || s.NextEvent() != Never; {
		next := s.NextEvent()
		if sent < load.jobs {
			next = min(next, arrival)
		}
		l := s.Load(now)
		r.pending += float64(l.Running+l.Queued) * float64(next-now)
		now = next
		if sent < load.jobs && now == arrival {
			came[sent], works[sent] = now, load.work(random)
			s.Arrive(now, Job{ID: uint64(sent), Segments: works[sent : sent+1]})
			sent++
			arrival += time.Duration(random.ExpFloat64() * float64(load.gap))
		}
		effects = s.Advance(now, effects[:0])
		for _, e := range effects {
			switch e.Kind {
			case EventStarted:
				r.waits[e.Job] = float64(e.At - came[e.Job])
			case EventResponded:
				r.sojourns[e.Job] = float64(e.At - came[e.Job])
			}
		}
	}
	return r
}

// batchMeans returns the mean and its standard error, from the means of batches long enough to be independent.
func batchMeans(x []float64) (mean, se float64) {
	const batches = 30
	size := len(x) / batches
	var sum, squares float64
	for b := range batches {
		var m float64
		for _, v := range x[b*size : (b+1)*size] {
			m += v / float64(size)
		}
		sum += m
		squares += m * m
	}
	mean = sum / batches
	return mean, math.Sqrt((squares/batches - mean*mean) / (batches - 1))
}

// erlangC is the share of arrivals that wait, with c servers and a load of a erlangs.
func erlangC(c int, a float64) float64 {
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term * float64(c) / (float64(c) - a)
	return last / (sum + last)
}

// Mean waits against Pollaczek and Khinchine (M/M/1, M/D/1), Erlang (M/M/c), and mean time in a system that
// shares its core, all within three standard errors; and Little's law, which holds to the nanosecond on a run
// that ends empty.
func TestQueueingTheory(t *testing.T) {
	const mean = 10 * time.Millisecond
	const most = math.MaxInt32
	models := []struct {
		name    string
		spec    Spec
		work    func(*rand.Rand) time.Duration
		sojourn bool
		expect  func(rho float64) float64 // in service times
	}{
		{"M/M/1", Spec{Cores: 1, Slots: 1}, exponential(mean), false, func(rho float64) float64 { return rho / (1 - rho) }},
		{"M/D/1", Spec{Cores: 1, Slots: 1}, fixed(mean), false, func(rho float64) float64 { return rho / (2 * (1 - rho)) }},
		{"M/M/4", Spec{Cores: 4, Slots: 4}, exponential(mean), false,
			func(rho float64) float64 { return erlangC(4, 4*rho) / (4 * (1 - rho)) }},
		{"M/M/1-PS", Spec{Cores: 1, Slots: most}, exponential(mean), true, func(rho float64) float64 { return 1 / (1 - rho) }},
	}
	for _, m := range models {
		for i, rho := range []float64{0.3, 0.7, 0.9} {
			t.Run(fmt.Sprint(m.name, " at ", rho), func(t *testing.T) {
				t.Parallel()
				spec := m.spec
				spec.Speed, spec.Queue = 1, most
				gap := time.Duration(float64(mean) / rho / float64(spec.Cores))
				// Queues forget in about 400 service times at 0.9, far less than a batch of 10,000.
				r := play(New(spec, 1), stream{300_000, gap, m.work, uint64(i) + 1})
				x := r.waits
				if m.sojourn {
					x = r.sojourns
				}
				got, se := batchMeans(x)
				want := m.expect(rho) * float64(mean)
				t.Logf("expected %.3f ms, measured %.3f ms, standard error %.3f ms, off by %+.1f", want/1e6, got/1e6, se/1e6, (got-want)/se)
				if math.Abs(got-want) > 3*se {
					t.Error("off by more than three standard errors")
				}
				var in float64
				for _, s := range r.sojourns {
					in += s
				}
				if math.Abs(in-r.pending) > 1e-9*in {
					t.Errorf("jobs were pending for %v ns, the endpoint reported %v ns", in, r.pending)
				}
			})
		}
	}
}

// A second of the jobs of a plain endpoint, and of one with everything that slows it.
func BenchmarkJobs(b *testing.B) {
	specs := map[string]Spec{
		"plain": {Cores: 4, Speed: 1, Slots: 4, Queue: 100},
		"all": {Cores: 4, Speed: 1, Slots: 16, Queue: 16, OverloadAt: 8, OverloadLoss: 0.2, ErrorRate: 0.01,
			PauseInterval: time.Second, Pause: 20 * time.Millisecond, MaxConnections: 100, ConnectionTableLoss: 0.2, HandshakeWork: time.Millisecond},
	}
	for name, spec := range specs {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			random := rand.New(rand.NewPCG(1, 0))
			work := make([]time.Duration, 1<<12)
			for i := range work {
				work[i] = time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
			}
			s := New(spec, 1)
			var now time.Duration
			var effects []Event
			for i := range b.N {
				now += work[(i*7+1)%len(work)] / 2 // load 0.5, which overload and the rest make about 0.8
				for s.NextEvent() <= now {
					effects = s.Advance(s.NextEvent(), effects[:0])
				}
				first := spec.MaxConnections > 0 && i%20 == 0
				if first && s.Connect(now) == ConnectionRefused {
					s.Disconnect(now)
					s.Connect(now)
				}
				s.Arrive(now, Job{ID: uint64(i), Segments: work[i%len(work) : i%len(work)+1], NewConnection: first})
			}
			b.ReportMetric(float64(s.Load(now).DoneWork)/float64(now)/float64(spec.Cores), "use")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}
