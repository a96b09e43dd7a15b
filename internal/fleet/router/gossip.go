package router

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/replica"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Kinds of messages between routers.
const (
	kindReplication transport.Kind = iota + 1
	kindBeat
	kindPull
	kindAnswer
	kindNews
	kindQuotaAsk
	kindQuotaGrant
	kindAnnounce // to all routers
	kindRelay    // to one router, which tells all
	kindQuotaRenew
	kindQuotaRenewed
	kindZoneRelay // to one router, which tells its zone
)

const (
	fetchPath  = "/configuration"
	statusPath = "/status"
	fetchLeast = 1500 * time.Millisecond // that a fetch may take at first
	fetchMost  = 12 * time.Second        // the same, after others have taken too long
	fetchAgain = 500 * time.Millisecond  // after which another router is asked beside the one that has not answered
	fetchesAt  = 3                       // fetches at a time

	// endpointsRest times what it took to take a list of endpoints over, until the next: a twentieth of the processor at most
	// goes there, however many come at once.
	endpointsRest = 20
)

// fleetID tells the messages of one fleet from another's: it is made of what all machines' settings share.
func fleetID(s *settings.Settings) uint32 {
	var zones []string
	for zone, region := range s.RegionOfZone {
		zones = append(zones, zone+"="+region)
	}
	slices.Sort(zones)
	return uint32(xxhash.Sum64String(fmt.Sprint(zones, s.Ports)))
}

// receive takes a message of another router.
func (r *Router) receive(p *transport.Packet) {
	var err error
	switch p.Kind {
	case kindReplication:
		err = r.receiveReplication(p)
	case kindBeat:
		err = receiveNode[dissemination.Heartbeat](r, p)
	case kindPull:
		err = receiveNode[dissemination.Pull](r, p)
	case kindAnswer:
		err = receiveNode[dissemination.PullReply](r, p)
	case kindNews:
		err = receiveNode[dissemination.Update](r, p)
	case kindAnnounce, kindRelay, kindZoneRelay:
		err = r.receiveAnnouncements(p)
	case kindQuotaAsk:
		err = r.receiveQuotaAsk(p)
	case kindQuotaGrant:
		err = r.quota.receiveGrant(p)
	case kindQuotaRenew:
		err = r.receiveQuotaRenew(p)
	case kindQuotaRenewed:
		err = r.quota.receiveRenewed(p)
	}
	if err != nil {
		r.transport.Counters.Dropped.Add(1)
	}
}

func (r *Router) receiveReplication(p *transport.Packet) error {
	if r.replica == nil {
		return nil
	}
	var encoded replication.Envelope
	if err := cbor.Unmarshal(p.Body, &encoded); err != nil {
		return err
	}
	return r.replica.Deliver(replication.Replica{Address: p.From, Nonce: p.Nonce}, encoded)
}

// receiveNode hands a message to the dissemination.
func receiveNode[M any](r *Router, p *transport.Packet) error {
	var message M
	if err := cbor.Unmarshal(p.Body, &message); err != nil {
		return err
	}
	r.withNode(func(now time.Duration) *dissemination.Output { return r.node.Receive(now, p.From, message) })
	return nil
}

// withNode lets the dissemination take a step, carries out what it wants done, and takes over what requests look at.
func (r *Router) withNode(step func(now time.Duration) *dissemination.Output) {
	r.mu.Lock()
	out := step(r.clock())
	r.refresh()
	fetch := out.Fetch
	if fetch != "" && !r.fetches.begin(r.clock()) {
		fetch = ""
	}
	r.mu.Unlock()
	for _, outgoing := range out.Send {
		r.transport.Send(outgoing.To, kindOf(outgoing.Message), 0, outgoing.Message)
	}
	if fetch != "" {
		r.tasks.Go(func() { r.fetch(fetch) })
	}
}

func kindOf(message any) transport.Kind {
	switch message.(type) {
	case dissemination.Heartbeat:
		return kindBeat
	case dissemination.Pull:
		return kindPull
	case dissemination.PullReply:
		return kindAnswer
	}
	return kindNews
}

// refresh takes over what requests look at. The caller holds the lock.
func (r *Router) refresh() {
	feed := &r.node.Config
	at, fresh := feed.ConfirmedAt()
	held := r.config.Load()
	if held == nil || held.table != feed.Table || held.freshAt != at || held.fresh != fresh {
		if feed.Table != nil {
			r.config.Store(&configInForce{table: feed.Table, freshAt: at, fresh: fresh})
		}
	}
	if ended := r.node.Registry.TakeEnded(); len(ended) > 0 {
		r.dispatcher.Remove(ended)
	}
}

// refreshEndpoints takes over endpoints that are new. It is done once a tick: where many come at once, each list costs as
// much as all of them. The caller holds the lock.
func (r *Router) refreshEndpoints() {
	version, began := r.node.Registry.Version(), r.clock()
	if version == r.registryVersion || began < r.nextEndpoints {
		return
	}
	r.registryVersion = version
	r.dispatcher.SetEndpoints(r.node.Registry.Ready())
	r.nextEndpoints = began + endpointsRest*(r.clock()-began)
}

// tick lets time pass.
func (r *Router) tick() {
	if r.replica != nil {
		if _, sequence, at, ok := r.replica.ReadLease(); ok {
			r.mu.Lock()
			r.node.Config.Confirm(sequence, at)
			r.mu.Unlock()
		}
	}
	r.withNode(r.node.Tick)
	r.mu.Lock()
	r.refreshEndpoints()
	r.dispatcher.SetRouters(r.node.Members.LiveCount())
	live := r.node.Members.LiveMembers()
	view, primary := r.node.Primary()
	routers := r.node.Members.LiveCount()
	r.ledger.SetRouters(routers)
	asks := !r.knowsLeaseholders()
	r.mu.Unlock()
	r.quota.tick(r.clock(), view, primary, routers, asks)
	r.relay.setPeers(live)
	r.tickHints()
	r.tickLeaseholders()
	r.tickLearned()
}

// fetch asks a router for configurations that this one lacks.
func (r *Router) fetch(from string) {
	r.mu.Lock()
	ctx, cancel := context.WithTimeout(r.transport.Context(), r.fetchTime)
	defer cancel()
	request := dissemination.FetchRequest{After: r.node.Config.Sequence}
	if r.node.Config.Table == nil {
		request.After = 0
	}
	r.mu.Unlock()
	var reply dissemination.FetchReply
	asked := r.clock()
	err := r.transport.Call(ctx, from, fetchPath, request, &reply)
	r.mu.Lock()
	r.fetches.end()
	r.fetchTime = nextFetchTime(r.fetchTime, r.clock()-asked, err)
	r.mu.Unlock()
	if err != nil {
		return // the next pull finds it again
	}
	r.withNode(func(now time.Duration) *dissemination.Output {
		out, _, err := r.node.HandleFetchReply(now, asked, reply)
		if err != nil {
			r.log.Error("a configuration that was fetched can't be read", zap.Error(err))
		}
		return out
	})
}

// fetches are those under way. One that takes long, because its router is cut off or its link is slow, does not keep others
// from another router.
type fetches struct {
	count int
	last  time.Duration // when the last one began
}

// begin tells whether a fetch may begin now, and notes that it does.
func (f *fetches) begin(now time.Duration) bool {
	if f.count >= fetchesAt || f.count > 0 && now-f.last < fetchAgain {
		return false
	}
	f.count++
	f.last = now
	return true
}

func (f *fetches) end() { f.count-- }

// nextFetchTime is how long the next fetch may take: longer where one has taken too long, since a large configuration may
// need more on a slow link, and little where one has come, since the next router that is asked may be cut off.
func nextFetchTime(allowed, took time.Duration, err error) time.Duration {
	switch {
	case err == nil:
		return min(max(fetchLeast, 2*took), fetchMost)
	case errors.Is(err, context.DeadlineExceeded):
		return min(2*allowed, fetchMost)
	}
	return allowed
}

func (r *Router) answerFetch(body []byte) (any, error) {
	var request dissemination.FetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Config.ServeFetch(r.clock(), request)
}

// committed takes over a configuration that this router's replica has acknowledged as the primary.
func (r *Router) committed(c replica.Commit) {
	var encoded []byte
	if c.Change != nil {
		encoded, _ = c.Change.Encode() // without it the others fetch the configuration
	}
	table := c.Table
	if table.Version == 0 {
		table = emptyTable()
	}
	r.withNode(func(now time.Duration) *dissemination.Output {
		return r.node.Commit(now, c.Sequence, table, encoded)
	})
}

func emptyTable() *config.Table {
	table, err := config.NewTable(config.EmptyDocument(), nil)
	if err != nil {
		panic(err) // an empty configuration is valid
	}
	return table
}

// viewed takes over a view that this router's replica has learned.
func (r *Router) viewed(view replication.View) {
	if view.Primary.Address != r.settings.InternalAddress() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.node.SetView(view.Number, view.Primary.Address)
		r.ledgerChanged(view.Primary.Address)
		return
	}
	r.withNode(func(now time.Duration) *dissemination.Output {
		calm := r.ledgerChanged(view.Primary.Address)
		r.ledger.Activate(now, view.Number, r.ledger.View()+1 == view.Number, calm)
		return r.node.AnnouncePrimary(now, view.Number)
	})
}
