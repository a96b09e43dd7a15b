package dissemination

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// announcementFetchDelay is how long a router waits after an announcement before it may fetch from the announcing router. Until then
// an update should arrive from a closer router that holds the change.
const announcementFetchDelay = 250 * time.Millisecond

// Commit records a configuration that this router, as the primary, has acknowledged. change is the encoded change from the
// previous configuration; nil: other routers have to fetch the configuration.
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

// handleConfigUpdate appends the change in an update. It starts a fetch if the update has no change or an earlier change is missing.
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

// recordHolder records that a router holds an acknowledged configuration, and starts a fetch if that is newer than any received one.
func (n *Gossiper) recordHolder(sequence uint64, holder string) {
	n.lag.observe(n.now, sequence)
	if n.Config.history.isNewer(sequence) {
		n.fetches.addSource(n.now, holder, sequence)
		n.startFetch()
	}
}

// startFetch starts a fetch if the fetcher allows one and a router holds a newer configuration. It prefers routers in the same zone.
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

// HandleFetchEnd records that a fetch ended without a reply. Its output may start a fetch from another router.
func (n *Gossiper) HandleFetchEnd(now time.Duration, from string, outcome FetchOutcome) *Output {
	output := n.begin(now)
	n.fetches.end(now, from, outcome)
	n.startFetch()
	return output
}

// HandleFetchReply handles the reply to a fetch; requestedAt is when its request was sent. The router announces the received
// configuration to others before it decodes it.
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
		n.fetches.postpone(from, now+busyBackoff) // another reply came first, or the router has restarted with an older configuration
	}
	if reply.Fresh {
		n.Config.Confirm(reply.Sequence, requestedAt-time.Duration(reply.AgeMs)*time.Millisecond)
	}
	n.startFetch()
	n.startBuild()
	return output
}

// startBuild builds and activates the newest received configuration. It leaves a build larger than maxInlineBuildBytes to the caller, in
// the output.
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

// HandleBuilt activates the configuration that a Build produced. table and err are the results of Build.Table.
func (n *Gossiper) HandleBuilt(now time.Duration, build *Build, table *config.Table, err error) *Output {
	output := n.begin(now)
	n.building = false
	n.finishBuild(build, table, err)
	n.startBuild()
	return output
}

// finishBuild activates a built configuration. If the build failed, it drops the history, so that the complete configuration is fetched.
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

// ConfigLag describes how far the active configuration is behind the newest one that this router has been notified of.
type ConfigLag struct {
	Known      uint64        // newest acknowledged sequence that the router was notified of
	Received   uint64        // newest sequence that the router has received
	Active     uint64        // sequence of the active configuration
	TimeBehind time.Duration // since the first notification of a sequence newer than Active; 0: there is none
	Fetching   []string      // internal addresses of the routers from which a fetch is in flight
}

// ConfigLag returns how far the active configuration is behind.
func (n *Gossiper) ConfigLag(now time.Duration) ConfigLag {
	lag := ConfigLag{Known: n.lag.newest, Active: n.Config.Sequence, TimeBehind: n.lag.lag(now, n.Config.Sequence)}
	lag.Received, _ = n.Config.Received()
	for address := range n.fetches.inFlight {
		lag.Fetching = append(lag.Fetching, address)
	}
	return lag
}

// ConfigSuperseded reports whether the router was notified of a newer configuration than the active one.
func (n *Gossiper) ConfigSuperseded() bool { return n.lag.newest > n.Config.Sequence }
