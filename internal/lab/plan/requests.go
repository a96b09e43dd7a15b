package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// Request is a request of a client, over all its attempts.
type Request struct {
	Due              time.Duration // of its first attempt
	Class            int
	IdempotencyKey   uint64        // 0 is none
	Work             time.Duration // on a core of speed 1, over all tiers
	Timeout          time.Duration // from Due, over all attempts
	AttemptTimeout   time.Duration // of one attempt
	CancelAfter      time.Duration // from Due: the client cancels then; 0 is never
	MaxRetries       int
	HonorsRetryAfter bool
	NewConnection    bool // it comes on a connection of its own
	IsRetry          bool // of a recorded run: it was a retry there already
}

// Arrival is a request of a record.
type Arrival struct {
	At             time.Duration
	Class          int
	Timeout        time.Duration
	CancelAfter    time.Duration // from At: the client cancels then, if it has no response; 0 is never
	IsRetry        bool
	IdempotencyKey uint64 // 0 is a drawn one
}

// noBurst is the burst of an arrival of the base load.
const noBurst = -1

// drawnArrival is when a request comes, and by which burst of the scenario's.
type drawnArrival struct {
	at    time.Duration
	burst int
}

// planRequests draws the requests of the scenario's load and bursts.
func (p *Plan) planRequests() {
	s := p.Scenario
	arrivals := p.drawArrivals()
	random := p.randomStream(requestStream)
	cumulative := make([]float64, len(s.Classes))
	total := 0.0
	for i, class := range s.Classes {
		total += class.Share
		cumulative[i] = total
	}
	for _, arrival := range arrivals {
		pick := random.Float64() * total
		class := slices.IndexFunc(cumulative, func(bound float64) bool { return pick < bound })
		newConnection := random.Float64() < s.Clients.NewConnectionShare
		if arrival.burst != noBurst {
			burst := &s.Bursts[arrival.burst]
			if burst.Class != "" {
				class = s.ClassIndex(burst.Class)
			}
			newConnection = newConnection || burst.NewConnections
		}
		request := p.drawRequest(random, arrival.at, class, newConnection)
		p.shortenIfHurried(&request, len(p.Requests))
		p.Requests = append(p.Requests, request)
	}
}

// drawArrivals draws the times of the first attempts, in order.
func (p *Plan) drawArrivals() []drawnArrival {
	s := p.Scenario
	clients := &s.Clients
	rate := clients.Rate
	if clients.Load > 0 {
		rate = clients.Load * p.Capacity
	}
	random := p.randomStream(arrivalStream)
	arrivals := appendArrivals(nil, random, clients, clients.Shape, rate, 0, s.Length.D(), noBurst)
	for i, burst := range s.Bursts {
		arrivals = appendArrivals(arrivals, random, clients, "steady", burst.Rate, burst.At.D(), (burst.At + burst.Duration).D(), i)
	}
	slices.SortStableFunc(arrivals, func(a, b drawnArrival) int { return int(a.at - b.at) })
	return arrivals
}

// appendArrivals draws arrivals of a shape at a mean rate (a second) from one time to another. A wave is drawn by
// thinning (Lewis and Shedler, "Simulation of nonhomogeneous Poisson processes by thinning", 1979): at the peak rate,
// of which the present rate's share is accepted.
func appendArrivals(arrivals []drawnArrival, random *rand.Rand, clients *scenario.Clients, shape string, rate float64,
	from, to time.Duration, burst int) []drawnArrival {
	peak := rate
	if shape == "wave" {
		peak *= 1 + clients.Swing
	}
	if peak <= 0 {
		return arrivals
	}
	for seconds := from.Seconds(); ; {
		if shape == "even" {
			seconds += 1 / peak
		} else {
			seconds += random.ExpFloat64() / peak
		}
		due := time.Duration(seconds * float64(time.Second))
		if due >= to {
			return arrivals
		}
		if shape == "wave" && random.Float64()*peak > rate*(1+clients.Swing*math.Sin(2*math.Pi*seconds/clients.Period.D().Seconds())) {
			continue
		}
		arrivals = append(arrivals, drawnArrival{due, burst})
	}
}

// shortenIfHurried shortens the attempt's time-out of a request that comes during a fault "hurry". It draws by a hash,
// so that the other requests stay as they were.
func (p *Plan) shortenIfHurried(r *Request, index int) {
	for i := range p.Scenario.Faults {
		f := &p.Scenario.Faults[i]
		if f.Kind != "hurry" || r.Due < f.At.D() || f.Duration > 0 && r.Due >= (f.At+f.Duration).D() {
			continue
		}
		if f.Class != "" && p.Scenario.ClassIndex(f.Class) != r.Class {
			continue
		}
		if p.uniform(hurryStream, uint64(index), uint64(i)) < f.Size {
			r.AttemptTimeout = time.Duration(f.TimeoutShare * float64(r.AttemptTimeout))
		}
	}
}

// drawRequest takes the same number of draws for each request, so that one more or less of a kind does not change the
// others.
func (p *Plan) drawRequest(random *rand.Rand, due time.Duration, class int, newConnection bool) Request {
	clients, c := &p.Scenario.Clients, &p.Scenario.Classes[class]
	work := drawWork(random, c)
	key := random.Uint64() | 1
	cancel := random.Float64()
	honors := random.Float64() < clients.HonorRetryAfter
	r := Request{
		Due:              due,
		Class:            class,
		Work:             work,
		Timeout:          c.Deadline.D(),
		AttemptTimeout:   time.Duration(clients.AttemptTimeoutShare * float64(c.Deadline)),
		MaxRetries:       clients.MaxRetries,
		HonorsRetryAfter: honors,
		NewConnection:    newConnection,
	}
	if c.Idempotency == "keyed" {
		r.IdempotencyKey = key
	}
	if cancel < clients.CancelShare { // uniform over the deadline
		r.CancelAfter = max(time.Millisecond, time.Duration(cancel/clients.CancelShare*float64(c.Deadline)))
	}
	return r
}

func drawWork(random *rand.Rand, c *scenario.Class) time.Duration {
	work := float64(c.Work)
	exponential, normal := random.ExpFloat64(), random.NormFloat64()
	switch c.WorkDistribution {
	case "exp":
		work *= exponential
	case "lognormal":
		work = lognormalOf(normal, work, c.CV)
	}
	return max(time.Microsecond, time.Duration(work))
}

// planRecorded makes the requests of recorded arrivals. What a record doesn't have is drawn as for any other load.
func (p *Plan) planRecorded(arrivals []Arrival) {
	random := p.randomStream(requestStream)
	sorted := slices.Clone(arrivals)
	slices.SortStableFunc(sorted, func(a, b Arrival) int { return int(a.At - b.At) })
	for _, a := range sorted {
		r := p.drawRequest(random, a.At, a.Class, false)
		r.Timeout, r.AttemptTimeout, r.CancelAfter = a.Timeout, a.Timeout, a.CancelAfter
		r.MaxRetries, r.IsRetry = 0, a.IsRetry
		if a.IdempotencyKey != 0 && r.IdempotencyKey != 0 {
			r.IdempotencyKey = a.IdempotencyKey
		}
		p.Requests = append(p.Requests, r)
	}
}

// TransactionID returns the id of a client's attempt.
func (p *Plan) TransactionID(request, attempt int) uint64 {
	return p.hashOf(transactionStream, uint64(request), uint64(attempt))
}
