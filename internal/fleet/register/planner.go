package register

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	acceptorTimeout  = 2500 * time.Millisecond // time without a Hello after which an acceptor may be replaced
	candidateTimeout = 1200 * time.Millisecond // time without a Hello after which a machine can't become an acceptor
	minIdentityAge   = 300 * time.Millisecond  // min. time between two Hellos of a new identity before it replaces a recent one
	carryOverTimeout = 6 * time.Second         // time after which acceptors that are not ready no longer block the next change
	minConfigAge     = time.Second             // min. time between changes of the acceptors
	proposalStagger  = 1500 * time.Millisecond // delay of each live acceptor's proposals after those of the one before it
	queryInterval    = 2 * time.Second         // interval of the queries whether the next acceptors have been decided
	minAcceptors     = 3                       // if there are enough machines: one of them may freeze, even with a tolerance of 0
)

// Planner selects the machines that become the next acceptors. Its choice affects availability only, not safety: the
// current acceptors decide on the proposal.
type Planner struct {
	targetCount  int // number of acceptors to reach
	observations map[string]observation
	configSince  time.Duration
	epoch        uint64
	unconfirmed  map[string]observation // identities that differ from a recent Hello: either Hello may be delayed
	neededSince  time.Duration
	needsChange  bool
	nextQuery    time.Duration
}

// observation is the latest Hello of a machine and the time of its arrival.
type observation struct {
	hello Hello
	at    time.Duration
}

// NewPlanner returns a planner for a core that tolerates the given number of simultaneous losses.
func NewPlanner(tolerance replication.Tolerance) *Planner {
	maxLost := max(tolerance.Machines, tolerance.Zones, tolerance.Regions)
	return &Planner{targetCount: max(2*maxLost+1, minAcceptors), observations: map[string]observation{}, unconfirmed: map[string]observation{}}
}

// Observe records a machine's Hello.
func (p *Planner) Observe(now time.Duration, hello *Hello) {
	address := hello.Self.Address
	if address == "" {
		return
	}
	previous, known := p.observations[address]
	if known && previous.hello.Self != hello.Self && now-previous.at < candidateTimeout && !p.isConfirmed(now, hello) {
		return
	}
	delete(p.unconfirmed, address)
	p.observations[address] = observation{hello: *hello, at: now}
}

// isConfirmed reports whether Hellos of a new identity have arrived for minIdentityAge or longer.
func (p *Planner) isConfirmed(now time.Duration, hello *Hello) bool {
	pending, known := p.unconfirmed[hello.Self.Address]
	if !known || pending.hello.Self != hello.Self {
		p.unconfirmed[hello.Self.Address] = observation{hello: *hello, at: now}
		return false
	}
	return now-pending.at >= minIdentityAge
}

// Next returns the Config to propose as the next one; ok is false if this machine should propose none now.
func (p *Planner) Next(now time.Duration, config Config, self replication.Replica) (next Config, ok bool) {
	p.trackEpoch(now, config)
	acceptors := p.chooseAcceptors(now, config)
	if config.Epoch == 0 || replication.SameReplicas(acceptors, config.Acceptors) {
		p.needsChange = false
		return Config{}, false
	}
	if !p.needsChange {
		p.needsChange, p.neededSince = true, now
	}
	rank := p.rank(now, config, self)
	if rank < 0 || now-p.configSince < minConfigAge || now-p.neededSince < time.Duration(rank)*proposalStagger || !p.isCarriedOver(now, config) {
		return Config{}, false
	}
	return Config{Epoch: config.Epoch + 1, Acceptors: acceptors, Previous: config.Acceptors}, true
}

// ShouldQueryNext reports whether this machine should now execute QueryNext. Only the first live acceptor does so, every
// queryInterval.
func (p *Planner) ShouldQueryNext(now time.Duration, config Config, self replication.Replica) bool {
	if config.Epoch == 0 || now < p.nextQuery || p.rank(now, config, self) != 0 {
		return false
	}
	p.nextQuery = now + queryInterval
	return true
}

func (p *Planner) trackEpoch(now time.Duration, config Config) {
	if config.Epoch != p.epoch {
		p.epoch, p.configSince, p.needsChange = config.Epoch, now, false
	}
}

// rank returns the position of this machine among the live acceptors in the order of their addresses, which is the order
// in which they propose, or -1 if it is not one of them.
func (p *Planner) rank(now time.Duration, config Config, self replication.Replica) int {
	live := slices.DeleteFunc(slices.Clone(config.Acceptors), func(r replication.Replica) bool { return !p.isCurrent(r) || !p.isHealthy(now, r) })
	slices.SortFunc(live, func(a, b replication.Replica) int { return strings.Compare(a.Address, b.Address) })
	return slices.Index(live, self)
}

// isCarriedOver reports whether a majority of the acceptors and all live ones are ready, as one that is not ready counts
// like a lost one. After carryOverTimeout, the majority is enough.
func (p *Planner) isCarriedOver(now time.Duration, config Config) bool {
	ready, waiting := 0, 0
	for _, r := range config.Acceptors {
		observed, known := p.observations[r.Address]
		switch {
		case !known || observed.hello.Self != r || now-observed.at >= candidateTimeout:
		case observed.hello.ReadyEpoch == config.Epoch:
			ready++
		default:
			waiting++
		}
	}
	return ready >= majority(config.Acceptors) && (waiting == 0 || now-p.configSince >= carryOverTimeout)
}

// isCurrent reports whether the latest Hello of the acceptor's machine has the acceptor's identity.
func (p *Planner) isCurrent(r replication.Replica) bool {
	observed, known := p.observations[r.Address]
	return known && observed.hello.Self == r
}

// isHealthy reports whether an acceptor need not be replaced. One without any Hello is healthy for acceptorTimeout after
// the Config was adopted.
func (p *Planner) isHealthy(now time.Duration, r replication.Replica) bool {
	observed, known := p.observations[r.Address]
	if !known {
		return now-p.configSince < acceptorTimeout
	}
	return p.isCurrent(r) && observed.hello.Votes && !observed.hello.Leaving && now-observed.at < acceptorTimeout
}

// chooseAcceptors returns the current acceptors with these changes: acceptors that lost their disk are replaced by the
// new identity at the same address, then unhealthy ones by other candidates, and candidates are added up to targetCount.
func (p *Planner) chooseAcceptors(now time.Duration, config Config) []replication.Replica {
	next := slices.Clone(config.Acceptors)
	candidates := p.candidates(now, config)
	candidates = slices.DeleteFunc(candidates, func(c replication.Replica) bool {
		at := slices.IndexFunc(next, func(r replication.Replica) bool { return r.Address == c.Address })
		if at >= 0 {
			next[at] = c
		}
		return at >= 0
	})
	for len(candidates) > 0 {
		unhealthy := slices.IndexFunc(next, func(r replication.Replica) bool { return !p.isHealthy(now, r) })
		if unhealthy < 0 && len(next) >= p.targetCount {
			break
		}
		if unhealthy >= 0 {
			next = slices.Delete(next, unhealthy, unhealthy+1)
		}
		best := p.bestCandidate(candidates, next)
		next = append(next, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return next
}

// candidates returns the machines that may become acceptors, sorted.
func (p *Planner) candidates(now time.Duration, config Config) []replication.Replica {
	var candidates []replication.Replica
	for _, observed := range p.observations {
		if observed.hello.Votes && !observed.hello.Leaving && now-observed.at < candidateTimeout && !config.Has(observed.hello.Self) {
			candidates = append(candidates, observed.hello.Self)
		}
	}
	slices.SortFunc(candidates, replication.CompareReplicas)
	return candidates
}

// bestCandidate returns the index of the first candidate with the fewest acceptors in its zone and region.
func (p *Planner) bestCandidate(candidates, acceptors []replication.Replica) int {
	best := 0
	for i := range candidates {
		if p.countColocated(candidates[i], acceptors) < p.countColocated(candidates[best], acceptors) {
			best = i
		}
	}
	return best
}

// countColocated returns the number of acceptors in a machine's region plus the number of acceptors in its zone.
func (p *Planner) countColocated(r replication.Replica, acceptors []replication.Replica) int {
	own, count := p.observations[r.Address].hello, 0
	for _, acceptor := range acceptors {
		other := p.observations[acceptor.Address].hello
		if other.Region == own.Region {
			count++
		}
		if other.Zone == own.Zone {
			count++
		}
	}
	return count
}

// DecideNext returns the operation by which the current acceptors decide the next Config. The value of its result is the
// decided Config, encoded: this proposal or an earlier one. It returns an error if next can't be encoded.
func DecideNext(next Config) (coordination.Operation, error) {
	encoded, err := json.Marshal(&next)
	if err != nil {
		return coordination.Operation{}, err
	}
	name := nextConfigName(next.Epoch - 1)
	return coordination.Operation{Kind: coordination.Decide, Name: name, Value: string(encoded)}, nil
}

// QueryNext returns the operation that reads the next Config that the acceptors of an epoch have decided. The value of
// its result is empty if they have decided none. The operation also settles a proposal that was accepted by a minority
// only: it is decided now, while its machines are alive, or never. Otherwise it could be decided much later, when the
// disks of these machines have been lost.
func QueryNext(epoch uint64) coordination.Operation {
	return coordination.Operation{Kind: coordination.Decide, Name: nextConfigName(epoch)}
}

// DecodeConfig decodes the value of a result of DecideNext or QueryNext. It returns an error if that is not an encoded
// Config, such as the empty value of QueryNext.
func DecodeConfig(value string) (Config, error) {
	var c Config
	err := json.Unmarshal([]byte(value), &c)
	return c, err
}
