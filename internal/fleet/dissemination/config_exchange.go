package dissemination

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// announcementFetchDelay is the time in which a router that has been announced a change should hear of a router near by that has it.
const announcementFetchDelay = 250 * time.Millisecond

// Commit records a configuration that this router, as the primary, has acknowledged. change is the encoded change that led to
// it; nil: others have to fetch the configuration.
func (n *Gossiper) Commit(now time.Duration, sequence uint64, table *config.Table, change []byte) *Output {
	output := n.begin(now)
	if n.Config.Table != nil && sequence <= n.Config.Sequence {
		return output
	}
	n.lag.observe(now, sequence)
	n.Config.Set(sequence, table, change)
	n.disseminateChange(sequence, change, 0)
	return output
}

// handleConfigUpdate takes a change that the update brings, and fetches it where the update does not or where one before it is missing.
func (n *Gossiper) handleConfigUpdate(from string, update Update, hops uint8) {
	if update.Announced > 0 {
		n.lag.observe(n.now, update.Announced)
		n.fetches.addSource(n.now+announcementFetchDelay, from, update.Announced)
	}
	if update.Sequence == 0 {
		return
	}
	if update.Change != nil && n.Config.history.append(update.Sequence, newBlob(update.Change)) {
		n.lag.observe(n.now, update.Sequence)
		n.disseminateChange(update.Sequence, update.Change, hops)
		n.startBuild()
		return
	}
	n.recordHolder(update.Sequence, from)
}

// recordHolder records that a router holds an acknowledged configuration, and fetches it if it is newer than what has been received.
func (n *Gossiper) recordHolder(sequence uint64, holder string) {
	n.lag.observe(n.now, sequence)
	if n.Config.history.isNewer(sequence) {
		n.fetches.addSource(n.now, holder, sequence)
		n.startFetch()
	}
}

// startFetch starts a fetch where one is due. Routers in the same zone are preferred.
func (n *Gossiper) startFetch() {
	if n.output.Fetch != nil || len(n.fetches.sources) == 0 {
		return
	}
	inZone := func(address string) bool { return n.zoneOf(address) == n.options.Self.Zone }
	from := n.fetches.start(n.now, n.Config.history.isNewer, inZone)
	if from == "" {
		return
	}
	request := FetchRequest{Packed: true, From: n.options.Self.Address}
	if !n.needsCompleteFetch {
		request.After, _ = n.Config.Received()
	}
	n.output.Fetch = &Fetch{From: from, Request: request, Timeout: n.fetches.nextTimeout()}
}

// HandleFetchEnd records a fetch that brought no reply. Another one may follow at once.
func (n *Gossiper) HandleFetchEnd(now time.Duration, from string, outcome FetchOutcome) *Output {
	output := n.begin(now)
	n.fetches.end(now, from, outcome)
	n.startFetch()
	return output
}

// HandleFetchReply takes the reply to a fetch that was requested at a moment. What it brings is passed on before it is decoded.
func (n *Gossiper) HandleFetchReply(now, requestedAt time.Duration, from string, reply FetchReply) *Output {
	output := n.begin(now)
	n.fetches.end(now, from, FetchReplied)
	if reply.Busy {
		n.fetches.postpone(from, now+busyBackoff)
		for _, holder := range reply.Holders {
			n.fetches.addSource(now, holder, reply.Sequence)
		}
		n.startFetch()
		return output
	}
	reply = reply.normalize()
	n.lag.observe(now, reply.Sequence)
	if n.Config.history.receive(reply) {
		n.needsCompleteFetch = false
		received, _ := n.Config.Received()
		n.disseminateChange(received, nil, 1)
	} else {
		n.fetches.postpone(from, now+busyBackoff) // another reply came first, or the router has restarted with less
	}
	if reply.Fresh {
		n.Config.Confirm(reply.Sequence, requestedAt-time.Duration(reply.AgeMs)*time.Millisecond)
	}
	n.startFetch()
	n.startBuild()
	return output
}

// startBuild puts into force what has been received: at once where that is little, else by the caller.
func (n *Gossiper) startBuild() {
	if n.building {
		return
	}
	build := n.Config.pendingBuild()
	switch {
	case build == nil:
	case build.Size() > maxInlineBuildBytes:
		n.building = true
		n.output.Build = build
	default:
		table, err := build.Table(nil)
		n.finishBuild(build, table, err)
	}
}

// HandleBuilt puts into force what a Build has made. err is that of Build.Table.
func (n *Gossiper) HandleBuilt(now time.Duration, build *Build, table *config.Table, err error) *Output {
	output := n.begin(now)
	n.building = false
	n.finishBuild(build, table, err)
	n.startBuild()
	return output
}

// finishBuild drops what can't be decoded: it is fetched again, complete.
func (n *Gossiper) finishBuild(build *Build, table *config.Table, err error) {
	switch {
	case err != nil:
		n.output.BuildError = err
		n.Config.history = history{}
		n.needsCompleteFetch = true
	case n.Config.Table == nil || build.sequence > n.Config.Sequence:
		n.Config.install(build.sequence, table)
	}
}

// ConfigLag describes how far the configuration in force is behind.
type ConfigLag struct {
	Known      uint64        // newest sequence that was heard of
	Received   uint64        // newest sequence that was received
	Active     uint64        // sequence
	TimeBehind time.Duration // since a newer one than that in force was first heard of; 0: none was
	Fetching   []string      // internal addresses of the routers that are asked
}

// ConfigLag returns how far the configuration in force is behind.
func (n *Gossiper) ConfigLag(now time.Duration) ConfigLag {
	lag := ConfigLag{Known: n.lag.newest, Active: n.Config.Sequence, TimeBehind: n.lag.lag(now, n.Config.Sequence)}
	lag.Received, _ = n.Config.Received()
	for address := range n.fetches.inFlight {
		lag.Fetching = append(lag.Fetching, address)
	}
	return lag
}

// ConfigSuperseded reports whether a newer configuration than the one in force was heard of.
func (n *Gossiper) ConfigSuperseded() bool { return n.lag.newest > n.Config.Sequence }
