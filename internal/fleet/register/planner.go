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
	acceptorTimeout  = 2500 * time.Millisecond // without a Hello, after which an acceptor may be replaced
	candidateTimeout = 1200 * time.Millisecond // without a Hello, after which a machine is not made an acceptor
	identityInterval = 300 * time.Millisecond  // between two Hellos of a new identity, before it takes the place of one that was just heard
	carryOverTimeout = 6 * time.Second         // after which acceptors that are not ready don't hold up the next change
	minConfigAge     = time.Second             // between changes of the acceptors
	plannerStagger   = 1500 * time.Millisecond // between the first live acceptor that proposes a change, and the next one
	askInterval      = 2 * time.Second         // between questions whether the next acceptors are decided
	minAcceptors     = 3                       // where there are as many machines: one may freeze also where none may be lost
)

// Planner chooses which machines are to be the next acceptors. What it chooses matters for availability only: the present acceptors decide.
type Planner struct {
	target      int // number of acceptors
	sightings   map[string]sighting
	configSince time.Duration
	epoch       uint64
	contenders  map[string]sighting // new identities of machines whose former one was just heard: a delayed message may hold either
	wantedSince time.Duration
	wanted      bool
	nextAsk     time.Duration
}

// sighting is the last that was heard of a machine.
type sighting struct {
	hello Hello
	at    time.Duration
}

// NewPlanner returns a planner for a core of which so many machines may be lost at once.
func NewPlanner(tolerance replication.Tolerance) *Planner {
	lost := max(tolerance.Machines, tolerance.Zones, tolerance.Regions)
	return &Planner{target: max(2*lost+1, minAcceptors), sightings: map[string]sighting{}, contenders: map[string]sighting{}}
}

// Observe records what a machine said of itself.
func (p *Planner) Observe(now time.Duration, hello *Hello) {
	address := hello.Self.Address
	if address == "" {
		return
	}
	present, known := p.sightings[address]
	if known && present.hello.Self != hello.Self && now-present.at < candidateTimeout && !p.isConfirmed(now, hello) {
		return
	}
	delete(p.contenders, address)
	p.sightings[address] = sighting{hello: *hello, at: now}
}

// isConfirmed reports whether a new identity has been heard for a while.
func (p *Planner) isConfirmed(now time.Duration, hello *Hello) bool {
	contender, known := p.contenders[hello.Self.Address]
	if !known || contender.hello.Self != hello.Self {
		p.contenders[hello.Self.Address] = sighting{hello: *hello, at: now}
		return false
	}
	return now-contender.at >= identityInterval
}

// Next returns the acceptors that are to follow the present ones; ok is false where this machine should propose none now.
func (p *Planner) Next(now time.Duration, config Config, self replication.Replica) (next Config, ok bool) {
	p.track(now, config)
	acceptors := p.chooseAcceptors(now, config)
	if config.Epoch == 0 || replication.SameReplicas(acceptors, config.Acceptors) {
		p.wanted = false
		return Config{}, false
	}
	if !p.wanted {
		p.wanted, p.wantedSince = true, now
	}
	rank := p.rank(now, config, self)
	if rank < 0 || now-p.configSince < minConfigAge || now-p.wantedSince < time.Duration(rank)*plannerStagger || !p.isCarriedOver(now, config) {
		return Config{}, false
	}
	return Config{Epoch: config.Epoch + 1, Acceptors: acceptors, Previous: config.Acceptors}, true
}

// ShouldQueryNext reports whether this machine should now ask what the present acceptors have decided: see QueryNext. Only the first live one asks.
func (p *Planner) ShouldQueryNext(now time.Duration, config Config, self replication.Replica) bool {
	if config.Epoch == 0 || now < p.nextAsk || p.rank(now, config, self) != 0 {
		return false
	}
	p.nextAsk = now + askInterval
	return true
}

func (p *Planner) track(now time.Duration, config Config) {
	if config.Epoch != p.epoch {
		p.epoch, p.configSince, p.wanted = config.Epoch, now, false
	}
}

// rank returns this machine's place among the live acceptors, which propose one after the other; -1: it is none.
func (p *Planner) rank(now time.Duration, config Config, self replication.Replica) int {
	live := slices.DeleteFunc(slices.Clone(config.Acceptors), func(r replication.Replica) bool { return !p.isHeard(r) || !p.isFit(now, r) })
	slices.SortFunc(live, func(a, b replication.Replica) int { return strings.Compare(a.Address, b.Address) })
	return slices.Index(live, self)
}

// isCarriedOver reports whether the live acceptors take part already: each that does not is one loss. After a while a majority suffices.
func (p *Planner) isCarriedOver(now time.Duration, config Config) bool {
	ready, waiting := 0, 0
	for _, r := range config.Acceptors {
		seen, known := p.sightings[r.Address]
		switch {
		case !known || seen.hello.Self != r || now-seen.at >= candidateTimeout:
		case seen.hello.ReadyEpoch == config.Epoch:
			ready++
		default:
			waiting++
		}
	}
	return ready >= majority(config.Acceptors) && (waiting == 0 || now-p.configSince >= carryOverTimeout)
}

// isHeard reports whether an acceptor was the last that was heard of its machine.
func (p *Planner) isHeard(r replication.Replica) bool {
	seen, known := p.sightings[r.Address]
	return known && seen.hello.Self == r
}

// isFit reports whether an acceptor need not be replaced.
func (p *Planner) isFit(now time.Duration, r replication.Replica) bool {
	seen, known := p.sightings[r.Address]
	if !known {
		return now-p.configSince < acceptorTimeout
	}
	return p.isHeard(r) && seen.hello.Votes && !seen.hello.Leaving && now-seen.at < acceptorTimeout
}

// chooseAcceptors replaces acceptors whose disk was lost by what came back at their address, then unfit ones, and fills up to the target.
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
		unfit := slices.IndexFunc(next, func(r replication.Replica) bool { return !p.isFit(now, r) })
		if unfit < 0 && len(next) >= p.target {
			break
		}
		if unfit >= 0 {
			next = slices.Delete(next, unfit, unfit+1)
		}
		best := p.bestCandidate(candidates, next)
		next = append(next, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return next
}

// candidates returns the machines that could become acceptors, in a fixed order.
func (p *Planner) candidates(now time.Duration, config Config) []replication.Replica {
	var candidates []replication.Replica
	for _, seen := range p.sightings {
		if seen.hello.Votes && !seen.hello.Leaving && now-seen.at < candidateTimeout && !config.Has(seen.hello.Self) {
			candidates = append(candidates, seen.hello.Self)
		}
	}
	slices.SortFunc(candidates, replication.CompareReplicas)
	return candidates
}

// bestCandidate returns the index of the first candidate of the zone and region that has the fewest acceptors.
func (p *Planner) bestCandidate(candidates, acceptors []replication.Replica) int {
	best := 0
	for i := range candidates {
		if p.neighbours(candidates[i], acceptors) < p.neighbours(candidates[best], acceptors) {
			best = i
		}
	}
	return best
}

// neighbours counts the acceptors of a machine's region, and those of its zone once more.
func (p *Planner) neighbours(r replication.Replica, acceptors []replication.Replica) int {
	own, count := p.sightings[r.Address].hello, 0
	for _, acceptor := range acceptors {
		other := p.sightings[acceptor.Address].hello
		if other.Region == own.Region {
			count++
		}
		if other.Zone == own.Zone {
			count++
		}
	}
	return count
}

// DecideNext returns the operation by which the present acceptors decide the next ones. Its result's value is what they decided: this
// proposal, or an earlier one.
func DecideNext(next Config) (coordination.Operation, error) {
	encoded, err := json.Marshal(&next)
	if err != nil {
		return coordination.Operation{}, err
	}
	name := nextConfigName(next.Epoch - 1)
	return coordination.Operation{Kind: coordination.Decide, Name: name, Value: string(encoded)}, nil
}

// QueryNext returns the operation that asks what the present acceptors have decided about the next ones; an empty value: nothing. It settles a
// proposal that only some acceptor has accepted: either it is decided now, while the machines that it names are there, or never. One that
// stayed could be decided when the disks of those are long lost.
func QueryNext(epoch uint64) coordination.Operation {
	return coordination.Operation{Kind: coordination.Decide, Name: nextConfigName(epoch)}
}

// DecodeConfig decodes a decided value.
func DecodeConfig(value string) (Config, error) {
	var c Config
	err := json.Unmarshal([]byte(value), &c)
	return c, err
}
