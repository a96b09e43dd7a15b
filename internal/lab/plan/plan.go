// Package plan turns a scenario and a seed into all that is fixed before a run: who asks what and when, how
// each box is built, what goes wrong with which, what each sidecar is told of it and when. It is pure, and
// the same scenario and seed give the same plan, byte for byte; both players follow it.
package plan

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Name random numbers are for. Each purpose has a stream of its own, so that a change of one part of a
// scenario leaves the others as they were.
const (
	arrivalStream = iota + 1
	requestStream
	endpointStream
	faultStream
	notificationStream
	transactionStream
	noiseStream
	callStream
	routingStream
	endpointSeedStream
	sidecarSeedStream
	hurryStream
	budgetStream
)

// Request is what one client wants, over all its tries.
type Request struct {
	Due              time.Duration
	Class            int
	IdempotencyKey   uint64        // of its effect; 0 is none
	Work             time.Duration // of the class's whole, on a standard core
	Timeout          time.Duration // from Due, over all tries
	AttemptTimeout   time.Duration // of one try, at most
	CancelAfter      time.Duration // from Due: the client leaves then; 0 is never
	MaxRetries       int
	HonorsRetryAfter bool // follows Retry-After
	NewConnection    bool // comes on a connection of its own
	IsRetry          bool // a retry already, of a recorded run
}

// Endpoint is one server.
type Endpoint struct {
	Name    string // also its id in discovery
	Tier    int
	Kind    string
	Spec    model.Spec
	Seed    uint64
	Start   string        // as in scenario.Kind
	StartAt time.Duration // absent ones: when they start; Never if they don't
}

// Sidecar is one instance of the fleet.
type Sidecar struct {
	Name                string
	Tier                int // that it sends to
	Rank                int
	ConfiguredInstances int // instances, as its settings say
	Endpoint            int // whose calls it carries; -1 in the first tier
	Build               int
	Seed                uint64
	StartAt             time.Duration // when its process starts; negative is before the run
	Weight              float64       // part of the clients that the front gives it
	InitialList         []ListEntry   // the list that it has at its start
	HasBudget           bool          // it gets the scenario's section of budgets
	AuditDiskFull       bool          // the disk of its trail is full from the start
}

// ListEntry is one entry of a list.
type ListEntry struct {
	Endpoint  int
	Phase     trace.Phase
	StartedAt time.Duration // 0 is before the run
}

// EventKind is what a script does.
type EventKind uint8

// The kinds of event.
const (
	StartFault    EventKind = iota + 1 // Endpoint, Fault
	EndFault                           // Endpoint, Fault.ID
	StartEndpoint                      // Endpoint: an absent one starts, cold
	NotifySidecar                      // Sidecar, Entry: discovery's agent has it from now on
	StartSidecar
	StopSidecar // SIGTERM
	KillSidecar // SIGKILL
	SuspendDiscovery
	ResumeDiscovery
	MoveDiscovery  // to another address, which SIGHUP tells
	UpgradeSidecar // a second process takes the first one's place
	PauseSidecar   // Duration: its process does not run, and then goes on as if nothing had been
	StartListFault // Sidecar, ID, List: a fault of the list service as that one has it
	EndListFault   // Sidecar, ID
	StartLinkFault // Sidecar, ID, Link
	EndLinkFault   // Sidecar, ID, Link.Of
	StartAuditor   // ID: its place among the scenario's
	KillAuditor    // ID
	PauseAuditor   // ID, For
	SaveOrder      // Sidecar, ID: the order in force there is remembered
	ReplayOrder    // Sidecar, ID, Raised: and given again
)

var eventNames = [...]string{"", "begins", "ends", "box starts", "told", "sidecar starts", "sidecar stops", "sidecar is killed",
	"discovery falls silent", "discovery is back", "discovery moves", "sidecar is upgraded", "sidecar pauses", "list fault begins", "list fault ends", "link fault begins", "link fault ends", "auditor starts", "auditor is killed", "auditor pauses",
	"order is kept", "order is played again"}

func (k EventKind) String() string { return eventNames[k] }

// Event is one step of the script.
type Event struct {
	At             time.Duration
	Kind           EventKind
	Endpoint       int // -1 is none
	Sidecar        int // -1 is none, or all; of Tell the list service itself
	Fault          model.Fault
	Entry          ListEntry
	Duration       time.Duration
	ID             int // of a fault of the list service or of a link, or of an auditor or an order
	EpochIncrement int // by how much a kept order's epoch is raised
	ListFault      ListFault
	LinkFault      LinkFault
}

// Annotation is a fault as a reader of a report sees it: a name, where and from when to when.
type Annotation struct {
	Name     string
	From, To time.Duration // To is the end of the run if it has none
}

// Plan is everything that is fixed before a run.
type Plan struct {
	Scenario         *scenario.Scenario
	Seed             uint64
	Requests         []Request // by Due
	Endpoints        []Endpoint
	Sidecars         []Sidecar
	Events           []Event // by At
	Annotations      []Annotation
	Capacity         float64          // first tries a second that the warm boxes can do
	InterceptedLinks map[string][]int // the sidecars whose links of a kind can be broken: see Linked
}

// Arrival is a request of a record.
type Arrival struct {
	At             time.Duration
	Class          int
	Timeout        time.Duration
	CancelAfter    time.Duration // from At: the client leaves then, if it has no answer; 0 is never
	IsRetry        bool
	IdempotencyKey uint64
}

// Build makes the plan. Arrivals are the recorded ones where the scenario asks for such, and then every try
// of the record is played as it came: there are no further retries.
func Build(s *scenario.Scenario, seed uint64, arrivals []Arrival) (*Plan, error) {
	p := &Plan{Scenario: s, Seed: seed}
	p.planEndpoints()
	p.Capacity = p.tierCapacity()
	if s.Clients.RecordFile != "" || arrivals != nil {
		for i := range arrivals {
			if c := arrivals[i].Class; c < 0 || c >= len(s.Classes) {
				return nil, fmt.Errorf("plan: arrival %d has class %d of %d", i, c, len(s.Classes))
			}
		}
		p.planRecorded(arrivals)
	} else {
		p.planRequests()
	}
	p.planSidecars()
	p.planEvents()
	return p, nil
}

// Bytes is the plan as text: equal plans have equal bytes.
func (p *Plan) Bytes() []byte {
	text, err := json.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("plan: %v", err)) // it holds nothing that JSON lacks
	}
	return text
}

func (p *Plan) randomStream(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, purpose)) }

// hash mixes the seed with what is named, so that a draw depends on nothing but that.
func (p *Plan) hashOf(purpose uint64, parts ...uint64) uint64 {
	h := mix(p.Seed ^ purpose<<56)
	for _, v := range parts {
		h = mix(h ^ v)
	}
	return h
}

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit is a hash as a number from 0 to 1.
func toUnitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// TransactionID is the id of a client's try.
func (p *Plan) TransactionID(request, try int) uint64 {
	return p.hashOf(transactionStream, uint64(request), uint64(try))
}

// CallTransactionID is the id of a call that a box makes for a visit: the nth of its caller's id at that box.
func (p *Plan) CallTransactionID(parent uint64, box, visit, call int) uint64 {
	return p.hashOf(callStream, parent, uint64(box), uint64(visit), uint64(call))
}

// ChooseSidecar is the sidecar that the front gives a try to, of those it has admitted; -1 if there is none.
func (p *Plan) ChooseSidecar(request, try int, admitted func(sidecar int) bool) int {
	sum := 0.0
	for i := range p.Sidecars {
		if s := &p.Sidecars[i]; s.Endpoint < 0 && admitted(i) {
			sum += s.Weight
		}
	}
	at, last := toUnitInterval(p.hashOf(routingStream, uint64(request), uint64(try)))*sum, -1
	for i := range p.Sidecars {
		if s := &p.Sidecars[i]; s.Endpoint < 0 && s.Weight > 0 && admitted(i) {
			last = i
			if at -= s.Weight; at < 0 {
				break
			}
		}
	}
	return last
}

// Segments appends the work of a visit at a box, before, between and after its calls. Visit counts the
// visits of that id at that box.
func (p *Plan) Segments(out []time.Duration, request int, txn uint64, box, visit int) []time.Duration {
	r, b := &p.Requests[request], &p.Endpoints[box]
	c, t := &p.Scenario.Classes[r.Class], &p.Scenario.Tiers[b.Tier]
	work := float64(r.Work) * t.Work
	if c.AttemptCV > 0 {
		rng := rand.New(rand.NewPCG(p.hashOf(noiseStream, txn, uint64(box), uint64(visit)), 0))
		work *= lognormal(rng, 1, c.AttemptCV)
	}
	calls := p.CallCount(request, b.Tier, txn)
	for range calls + 1 {
		out = append(out, time.Duration(work/float64(calls+1)))
	}
	return out
}

// CallCount is how many calls of the next tier a request needs in a tier: the same at each attempt, but where a tier calls
// one that may call it again, each visit draws, or a request would go round for ever or not at all.
func (p *Plan) CallCount(request, tier int, txn uint64) int {
	mean := p.Scenario.Tiers[tier].Calls
	if mean == 0 {
		return 0
	}
	whole := math.Floor(mean)
	of := uint64(request)
	if p.Scenario.Tiers[tier].NextTier != "" {
		of = txn
	}
	if toUnitInterval(p.hashOf(callStream, of, uint64(tier))) < mean-whole {
		whole++
	}
	return int(whole)
}

// lognormal draws a number of that mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	sigma2 := math.Log1p(cv * cv)
	return mean * math.Exp(math.Sqrt(sigma2)*rng.NormFloat64()-sigma2/2)
}

func (p *Plan) planEndpoints() {
	rng, s := p.randomStream(endpointStream), p.Scenario
	names := s.EndpointNames()
	for t, tier := range s.Tiers {
		for _, k := range tier.Kinds {
			for range k.Endpoints {
				spec := model.Spec{Cores: k.Cores, Speed: k.Speed, Slots: k.Slots, Queue: k.Queue, CrowdAt: k.OverloadAt,
					CrowdLoss: k.OverloadLoss, PauseEvery: k.PauseInterval.D(), Pause: k.Pause.D(), ErrorRate: k.ErrorRate,
					ColdFrom: k.WarmupInitialShare, ColdFor: k.WarmupDuration.D(), WarmByWork: k.WarmupBy == "work",
					FallMultiple: s.Rules.CollapseMultiple, FallWindow: s.Rules.CollapseWindow.D(), Connections: k.Connections,
					TableTax: k.ConnectionTableLoss, Handshake: k.HandshakeWork.D(), KeyWindow: maxDedupWindow(s)}
				spec.Cancel = map[string]model.CancelRule{"nothing": model.CancelNothing, "waiting": model.CancelWaiting, "all": model.CancelAll}[k.CancelRule]
				if k.SpeedCV > 0 {
					spec.Speed *= lognormal(rng, 1, k.SpeedCV)
				}
				i := len(p.Endpoints)
				p.Endpoints = append(p.Endpoints, Endpoint{Name: names[i], Tier: t, Kind: k.Name, Spec: spec,
					Seed: p.hashOf(endpointSeedStream, uint64(i)), Start: k.Start, StartAt: model.Never})
			}
		}
	}
}

// capacity is how many first tries a second the warm boxes can do; the tier that runs out first counts.
func (p *Plan) tierCapacity() float64 {
	s := p.Scenario
	shares, mean := 0.0, 0.0 // seconds of work
	for _, c := range s.Classes {
		shares += c.Share
		mean += c.Share * c.Work.D().Seconds()
	}
	mean /= shares
	least, visits := math.Inf(1), 1.0 // of a tier for each request
	for t, tier := range s.Tiers {
		able := 0.0
		for i := range p.Endpoints {
			if b := &p.Endpoints[i]; b.Tier == t && b.Start != "absent" {
				able += float64(b.Spec.Cores) * b.Spec.Speed
			}
		}
		least = min(least, able/(mean*tier.Work*visits))
		visits *= tier.Calls
	}
	return least
}

func (p *Plan) planRequests() {
	s := p.Scenario
	k := &s.Clients
	rate := k.Rate
	if k.Load > 0 {
		rate = k.Load * p.Capacity
	}
	rng := p.randomStream(arrivalStream)
	type arrival struct {
		at    time.Duration
		burst int // -1 is none
	}
	var at []arrival
	run := func(from, to time.Duration, rate float64, shape string, burst int) {
		top := rate // thinning (Lewis and Shedler 1979): drawn at the highest rate, kept by the present one
		if shape == "wave" {
			top *= 1 + k.Swing
		}
		if top <= 0 {
			return
		}
		for t := from.Seconds(); ; {
			if shape == "even" {
				t += 1 / top
			} else {
				t += rng.ExpFloat64() / top
			}
			due := time.Duration(t * float64(time.Second))
			if due >= to {
				return
			}
			if shape == "wave" && rng.Float64()*top > rate*(1+k.Swing*math.Sin(2*math.Pi*t/k.Period.D().Seconds())) {
				continue
			}
			at = append(at, arrival{due, burst})
		}
	}
	run(0, s.Length.D(), rate, k.Shape, -1)
	for i, b := range s.Bursts {
		run(b.At.D(), (b.At + b.Duration).D(), b.Rate, "steady", i)
	}
	slices.SortStableFunc(at, func(a, b arrival) int { return int(a.at - b.at) })
	rng = p.randomStream(requestStream)
	shares := make([]float64, len(s.Classes))
	sum := 0.0
	for i, c := range s.Classes {
		sum += c.Share
		shares[i] = sum
	}
	for _, a := range at {
		pick := rng.Float64() * sum
		class := slices.IndexFunc(shares, func(edge float64) bool { return pick < edge })
		fresh := rng.Float64() < k.NewConnectionShare
		if a.burst >= 0 {
			if name := s.Bursts[a.burst].Class; name != "" {
				class = s.ClassIndex(name)
			}
			fresh = fresh || s.Bursts[a.burst].NewConnections
		}
		r := p.drawRequest(rng, a.at, class, fresh)
		p.shortenIfHurried(&r, len(p.Requests))
		p.Requests = append(p.Requests, r)
	}
}

// hurry shortens the time of a client that comes while some are in a hurry. Its draw is a hash, so that the others stay
// as they were.
func (p *Plan) shortenIfHurried(r *Request, number int) {
	for i := range p.Scenario.Faults {
		f := &p.Scenario.Faults[i]
		if f.Kind == "hurry" && r.Due >= f.At.D() && (f.Duration == 0 || r.Due < (f.At+f.Duration).D()) &&
			(f.Class == "" || p.Scenario.ClassIndex(f.Class) == r.Class) && toUnitInterval(p.hashOf(hurryStream, uint64(number), uint64(i))) < f.Size {
			r.AttemptTimeout = time.Duration(f.TimeoutShare * float64(r.AttemptTimeout))
		}
	}
}

// request draws all of one. It takes the same numbers from the stream for each, so that one more or less of
// a kind does not change the others.
func (p *Plan) drawRequest(rng *rand.Rand, due time.Duration, class int, fresh bool) Request {
	k, c := &p.Scenario.Clients, &p.Scenario.Classes[class]
	work, key, leaves, honours := p.drawWork(rng, class), rng.Uint64()|1, rng.Float64(), rng.Float64() < k.HonorRetryAfter
	r := Request{Due: due, Class: class, Work: work, Timeout: c.Deadline.D(), MaxRetries: k.MaxRetries,
		AttemptTimeout: time.Duration(k.AttemptTimeoutShare * float64(c.Deadline)), HonorsRetryAfter: honours, NewConnection: fresh}
	if c.Idempotency == "keyed" {
		r.IdempotencyKey = key
	}
	if leaves < k.CancelShare { // evenly over its time
		r.CancelAfter = max(time.Millisecond, time.Duration(leaves/k.CancelShare*float64(c.Deadline)))
	}
	return r
}

func (p *Plan) drawWork(rng *rand.Rand, class int) time.Duration {
	c := &p.Scenario.Classes[class]
	mean := float64(c.Work)
	one, normal := rng.ExpFloat64(), rng.NormFloat64()
	switch c.WorkDistribution {
	case "exp":
		mean *= one
	case "lognormal":
		sigma2 := math.Log1p(c.CV * c.CV)
		mean *= math.Exp(math.Sqrt(sigma2)*normal - sigma2/2)
	}
	return max(time.Microsecond, time.Duration(mean))
}

func (p *Plan) planRecorded(arrivals []Arrival) {
	rng := p.randomStream(requestStream)
	sorted := slices.Clone(arrivals)
	slices.SortStableFunc(sorted, func(a, b Arrival) int { return int(a.At - b.At) })
	for _, a := range sorted {
		r := p.drawRequest(rng, a.At, a.Class, false)
		r.Timeout, r.AttemptTimeout, r.MaxRetries, r.CancelAfter, r.IsRetry = a.Timeout, a.Timeout, 0, a.CancelAfter, a.IsRetry
		if a.IdempotencyKey != 0 && r.IdempotencyKey != 0 {
			r.IdempotencyKey = a.IdempotencyKey
		}
		p.Requests = append(p.Requests, r)
	}
}

func (p *Plan) planSidecars() {
	s := p.Scenario
	f := &s.Fleet
	if f.Policy == "plain" {
		return
	}
	rng := p.randomStream(notificationStream)
	add := func(c Sidecar, told int) {
		i := len(p.Sidecars)
		c.ConfiguredInstances, c.Seed, c.StartAt = told, p.hashOf(sidecarSeedStream, uint64(i)), -1
		if f.Start == "with" {
			c.StartAt = time.Duration(rng.Float64() * float64(f.StartSpread))
		}
		if f.RankSetting == "equal" {
			c.Rank = 0
		}
		c.InitialList = p.initialList(c.Tier)
		if f.Budget != nil {
			c.HasBudget = toUnitInterval(p.hashOf(budgetStream, uint64(i))) < f.Budget.Share
		}
		p.Sidecars = append(p.Sidecars, c)
	}
	for i := range f.Sidecars {
		c := Sidecar{Name: fmt.Sprintf("n%d", i+1), Rank: i, Endpoint: -1, Weight: (1 - s.Clients.Skew) / float64(f.Sidecars)}
		if i == 0 {
			c.Weight += s.Clients.Skew
		}
		if i >= f.Sidecars-f.SecondBuild {
			c.Build = 1
		}
		told := f.ConfiguredInstances
		if told == 0 {
			told = f.Sidecars
		}
		add(c, told)
	}
	callers, rank := make([]int, len(s.Tiers)), make([]int, len(s.Tiers)) // of each tier
	for i := range p.Endpoints {
		if next := s.NextTierIndex(p.Endpoints[i].Tier); next >= 0 && p.Endpoints[i].Start != "absent" {
			callers[next]++
		}
	}
	for i := range p.Endpoints {
		if next := s.NextTierIndex(p.Endpoints[i].Tier); next >= 0 {
			add(Sidecar{Name: "n-" + p.Endpoints[i].Name, Tier: next, Rank: rank[next], Endpoint: i}, callers[next])
			rank[next]++
		}
	}
}

// known is the list that a sidecar of a tier starts with.
func (p *Plan) initialList(tier int) []ListEntry {
	how := p.Scenario.Fleet.InitialList
	var out []ListEntry
	for i := range p.Endpoints {
		b := &p.Endpoints[i]
		if b.Tier != tier || how == "none" {
			continue
		}
		if how == "stale" {
			// It names what is not there yet, takes cold ones for warm and lacks some.
			if i%10 != 9 {
				out = append(out, ListEntry{Endpoint: i, Phase: trace.PhaseReady})
			}
			continue
		}
		if b.Start != "absent" {
			out = append(out, ListEntry{Endpoint: i, Phase: trace.PhaseReady, StartedAt: p.listedStart(i)})
		}
	}
	return out
}

// listedStart is a box's last start as the list at the run's start has it.
func (p *Plan) listedStart(box int) time.Duration {
	if p.Endpoints[box].Start == "cold" {
		return time.Nanosecond // the run's start; 0 would be before it
	}
	return 0
}

// InitialMembers is the list that discovery has of a tier when the run starts.
func (p *Plan) InitialMembers(tier int) []ListEntry {
	var out []ListEntry
	for i := range p.Endpoints {
		if b := &p.Endpoints[i]; b.Tier == tier && b.Start != "absent" {
			out = append(out, ListEntry{Endpoint: i, Phase: trace.PhaseReady, StartedAt: p.listedStart(i)})
		}
	}
	return out
}

// HasUpgrades says whether any sidecar is upgraded, for which operators have to be able to call all of them.
func (p *Plan) HasUpgrades() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == UpgradeSidecar })
}

// NeedsControlAccess says whether operators call the sidecars: to upgrade them, or to audit them.
func (p *Plan) NeedsControlAccess() bool {
	return p.HasUpgrades() || len(p.Scenario.Auditors) > 0 || p.Scenario.Fleet.HasAuditLogs()
}
