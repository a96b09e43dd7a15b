// Package dissemination spreads what all routers have to know: the configuration and how fresh it is, the endpoints, and
// the routers themselves. What is new is pushed at once; what a push missed is found by comparing digests with one
// router after another (epidemic algorithms: Demers et al., 1987). It is pure: no I/O, no clock.
package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

const (
	directMost   = 24  // routers up to which news go to all at once, and are not passed on
	fanout       = 4   // routers that news go to in larger fleets
	hopsMost     = 8   // how often news are passed on
	itemsMost    = 7   // members or endpoints in one message
	answerMost   = 70  // members, and endpoints, with which a pull is answered: the next pulls find the others
	orderMost    = 900 // bytes of an order that is sent with the news of it
	roundsKept   = 8   // questions that may still be answered
	forgetAfter  = 60 * time.Second
	silentBeats  = 4 // heartbeats after which an endpoint has lapsed
	lapseEvery   = 500 * time.Millisecond
	strangerOdds = 8 // one in so many pulls goes to a router that is thought dead, or a seed: partitions heal so
)

// PullEvery is the time between a router's pulls, once its configuration has been confirmed.
const PullEvery = 500 * time.Millisecond

// firstPullEvery is the time between a router's pulls until then, in a small fleet. In a larger one it grows with the
// fleet up to PullEvery, so that the core can answer all of a fleet that starts at once.
const firstPullEvery = 60 * time.Millisecond

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string
	Message any
}

// Output is what a step wants done.
type Output struct {
	Send  []Outgoing
	Fetch string // the router to fetch the configuration from; empty: none
}

// Options are a node's surroundings.
type Options struct {
	Self           membership.Member
	Seeds          []string // internal addresses
	HeartbeatEvery time.Duration
	Timing         membership.Timing
	Random         *rand.Rand
}

// Node is one router's part. Its methods are not safe for concurrent use.
type Node struct {
	Members  *membership.List
	Registry *registry.Table
	Feed     Feed

	options   Options
	now       time.Duration
	out       *Output
	round     uint64
	asked     map[uint64]question
	nextPull  time.Duration
	nextLapse time.Duration
	view      uint64
	primary   string
	seeds     []string
	queued    [hopsMost + 1]queue // news for the next tick, by how often they were passed on
}

// queue is news that wait for the next tick.
type queue struct {
	members   []membership.Member
	endpoints []registry.Endpoint
}

// question is a pull that may still be answered.
type question struct {
	to string
	at time.Duration
}

// New returns a node that knows itself and its seeds.
func New(now time.Duration, options Options) *Node {
	return &Node{
		Members: membership.New(now, options.Self, options.Timing), Registry: registry.New(),
		options: options, asked: map[uint64]question{}, seeds: options.Seeds,
	}
}

// SetSeeds exchanges the seeds.
func (n *Node) SetSeeds(seeds []string) { n.seeds = seeds }

// Primary is the newest view that is known, and its primary's internal address.
func (n *Node) Primary() (view uint64, address string) { return n.view, n.primary }

// SetView notes a view.
func (n *Node) SetView(view uint64, primary string) {
	if view > n.view {
		n.view, n.primary = view, primary
	}
}

// Lead tells all that this router is the primary of a view, so that they don't ask the former one until the next pull.
func (n *Node) Lead(now time.Duration, view uint64) *Output {
	out := n.step(now)
	if view > n.view {
		n.SetView(view, n.options.Self.Address)
		n.spreadView(0)
	}
	return out
}

func (n *Node) spreadView(hops uint8) {
	for _, to := range n.receivers(hops) {
		n.send(to, News{View: n.view, Primary: n.primary, Hops: hops})
	}
}

func (n *Node) step(now time.Duration) *Output {
	n.now = now
	n.out = &Output{}
	return n.out
}

func (n *Node) send(to string, message any) {
	n.out.Send = append(n.out.Send, Outgoing{To: to, Message: message})
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) *Output {
	out := n.step(now)
	step := n.Members.Tick(now)
	for _, to := range step.Beats {
		n.send(to, Beat{})
	}
	for _, to := range step.Probes {
		n.send(to, Beat{Ask: true})
	}
	n.spreadMembers(step.Dead, 0)
	if now >= n.nextPull {
		n.nextPull = now + n.pullInterval()
		n.pull()
	}
	if now >= n.nextLapse {
		n.nextLapse = now + lapseEvery
		silence := silentBeats * n.options.HeartbeatEvery
		n.spreadEndpoints(n.Registry.Lapse(now, n.options.Self.Address, silence, n.mayHear(silence)), 0)
		n.Registry.Forget(now, forgetAfter)
	}
	n.flushQueued()
	return out
}

func (n *Node) pullInterval() time.Duration {
	if _, fresh := n.Feed.FreshAt(); !fresh {
		return min(PullEvery, firstPullEvery*time.Duration(max(1, n.Members.Count()/directMost)))
	}
	return PullEvery*9/10 + time.Duration(n.options.Random.Int64N(int64(PullEvery/5)))
}

func (n *Node) lives(address string) bool {
	m, known := n.Members.Lookup(address)
	return known && m.Status == membership.Alive
}

// mayHear tells of a router whether it may still hear its endpoints: it lives, or ended less than a silence ago, so that
// they have had no time to find another one.
func (n *Node) mayHear(silence time.Duration) func(address string) bool {
	return func(address string) bool {
		ended, known := n.Members.EndedAt(address)
		return n.lives(address) || known && n.now-ended < silence
	}
}

// pull asks one router for news: in turn one of the core, where the configuration is freshest, and any.
func (n *Node) pull() {
	to := n.choosePeer()
	if to == "" {
		return
	}
	n.round++
	n.asked[n.round] = question{to: to, at: n.now}
	delete(n.asked, n.round-roundsKept)
	n.send(to, Pull{
		Self: n.Members.Self(), Round: n.round, Sequence: n.Feed.Sequence, Members: n.Members.Digests(),
		Endpoints: n.Registry.Digests(n.round),
	})
}

func (n *Node) choosePeer() string {
	live := n.Members.Live()
	if len(live) == 0 || n.options.Random.IntN(strangerOdds) == 0 {
		if stranger := n.pick(n.strangers()); stranger != "" {
			return stranger
		}
	}
	if n.round%2 == 0 {
		cores := slices.DeleteFunc(n.Members.Cores(), func(a string) bool { return !n.lives(a) })
		if core := n.pick(cores); core != "" {
			return core
		}
	}
	return n.pick(live)
}

// strangers are routers that may live though this one does not know it.
func (n *Node) strangers() []string {
	var all []string
	for _, seed := range n.seeds {
		if seed != n.options.Self.Address && !n.lives(seed) {
			all = append(all, seed)
		}
	}
	for _, m := range n.Members.All() {
		if m.Status == membership.Dead {
			all = append(all, m.Address)
		}
	}
	return all
}

func (n *Node) pick(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[n.options.Random.IntN(len(addresses))]
}

// Receive takes a message of another router.
func (n *Node) Receive(now time.Duration, from string, message any) *Output {
	out := n.step(now)
	n.Members.Heard(now, from)
	switch message := message.(type) {
	case Beat:
		if message.Ask {
			n.send(from, Beat{})
		}
	case Pull:
		n.onPull(from, message)
	case Answer:
		n.onAnswer(from, message)
	case News:
		n.onNews(from, message)
	}
	return out
}

func (n *Node) onPull(from string, message Pull) {
	if message.Self.Address == from {
		n.spreadMembers(n.Members.Merge(n.now, []membership.Member{message.Self}), 0)
	}
	answer := Answer{Round: message.Round, Sequence: n.Feed.Sequence, View: n.view, Primary: n.primary}
	answer.AgeMs, answer.Fresh = n.Feed.ageMs(n.now)
	n.send(from, answer)
	n.sendMembers(from, portion(n.options.Random, n.Members.Differing(message.Members)), hopsMost)
	n.sendEndpoints(from, portion(n.options.Random, n.Registry.Differing(message.Endpoints)), hopsMost)
}

// portion is what one answer holds of a list: all of it, or a part that begins anywhere.
func portion[T any](random *rand.Rand, list []T) []T {
	if len(list) <= answerMost {
		return list
	}
	from := random.IntN(len(list))
	return slices.Concat(list[from:], list[:from])[:answerMost]
}

// onAnswer renews the lease. Its age counts from when the question was sent, so that an answer that was held up on its
// way never looks fresher than it is.
func (n *Node) onAnswer(from string, message Answer) {
	n.SetView(message.View, message.Primary)
	asked, known := n.asked[message.Round]
	if !known || asked.to != from {
		return
	}
	delete(n.asked, message.Round)
	if n.Feed.Table == nil || message.Sequence > n.Feed.Sequence {
		n.out.Fetch = from
	}
	if message.Fresh {
		n.Feed.Renew(message.Sequence, asked.at-time.Duration(message.AgeMs)*time.Millisecond)
	}
}

func (n *Node) onNews(from string, message News) {
	hops := message.Hops + 1
	if message.View > n.view {
		n.SetView(message.View, message.Primary)
		n.spreadView(hops)
	}
	n.spreadMembers(n.Members.Merge(n.now, message.Members), hops)
	news, asserted := n.Registry.Merge(n.now, n.options.Self.Address, message.Endpoints)
	n.spreadEndpoints(news, hops)
	n.spreadEndpoints(asserted, 0)
	if message.Sequence <= n.Feed.Sequence {
		return
	}
	if message.Order != nil {
		if applied, err := n.Feed.Apply(message.Sequence, message.Order); err == nil && applied {
			n.spreadOrder(message.Sequence, message.Order, hops)
			return
		}
	}
	n.out.Fetch = from
}

// Fetched takes over what a router answered to a fetch that was asked at a moment. It returns whether the configuration
// changed.
func (n *Node) Fetched(now, asked time.Duration, reply FetchReply) (*Output, bool, error) {
	out := n.step(now)
	changed, err := n.Feed.Take(reply)
	if reply.Fresh {
		n.Feed.Renew(reply.Sequence, asked-time.Duration(reply.AgeMs)*time.Millisecond)
	}
	if changed {
		n.spreadOrder(n.Feed.Sequence, nil, 1)
	}
	return out, changed, err
}

// Commit takes over a configuration that this router, as the primary, has acknowledged.
func (n *Node) Commit(now time.Duration, sequence uint64, table *config.Table, order []byte) *Output {
	out := n.step(now)
	if n.Feed.Table != nil && sequence <= n.Feed.Sequence {
		return out
	}
	n.Feed.Set(sequence, table, order)
	n.spreadOrder(sequence, order, 0)
	return out
}

// Hear takes an endpoint's own word over; ok is false where it is older than what is known.
func (n *Node) Hear(now time.Duration, said registry.Endpoint) (out *Output, ok bool) {
	out = n.step(now)
	news, ok := n.Registry.Hear(now, said)
	n.spreadEndpoints(news, 0)
	return out, ok
}

// TakeLeave takes over from another router that an endpoint leaves, and tells all, also where it was known here: those who
// were told before may have missed it.
func (n *Node) TakeLeave(now time.Duration, endpoint registry.Endpoint) *Output {
	out := n.step(now)
	news, _ := n.Registry.Merge(now, n.options.Self.Address, []registry.Endpoint{endpoint})
	if len(news) == 0 {
		if known, ok := n.Registry.Lookup(endpoint.ID); ok && known.State != registry.Ready {
			news = []registry.Endpoint{known}
		}
	}
	n.spreadEndpoints(news, 0)
	return out
}

// Hint takes over endpoints that a router before this one knew, as reports that any word of their own replaces.
func (n *Node) Hint(now time.Duration, endpoints []registry.Endpoint) *Output {
	out := n.step(now)
	n.spreadEndpoints(n.Registry.Hint(now, endpoints), 0)
	return out
}

// Leave says that this router ends.
func (n *Node) Leave(now time.Duration) *Output {
	out := n.step(now)
	n.pushMembers([]membership.Member{n.Members.Leave()}, 0)
	return out
}

// receivers are whom news go to that came over so many hops.
func (n *Node) receivers(hops uint8) []string {
	live := n.Members.Live()
	switch {
	case len(live) <= directMost && hops > 0, hops >= hopsMost:
		return nil
	case len(live) <= directMost:
		return live
	}
	n.options.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:fanout]
}

// spreadMembers passes news on: in a small fleet at once, in a larger one with the next tick, so that news that come in a
// rush share messages.
func (n *Node) spreadMembers(news []membership.Member, hops uint8) {
	switch {
	case len(news) == 0 || hops > hopsMost:
	case n.Members.Count() > directMost:
		n.queued[hops].members = append(n.queued[hops].members, news...)
	default:
		n.pushMembers(news, hops)
	}
}

func (n *Node) pushMembers(news []membership.Member, hops uint8) {
	for _, to := range n.receivers(hops) {
		n.sendMembers(to, news, hops)
	}
}

func (n *Node) sendMembers(to string, members []membership.Member, hops uint8) {
	for part := range slices.Chunk(members, itemsMost) {
		n.send(to, News{Members: part, Hops: hops})
	}
}

// spreadEndpoints passes news on as spreadMembers does.
func (n *Node) spreadEndpoints(news []registry.Endpoint, hops uint8) {
	switch {
	case len(news) == 0 || hops > hopsMost:
	case n.Members.Count() > directMost:
		n.queued[hops].endpoints = append(n.queued[hops].endpoints, news...)
	default:
		n.pushEndpoints(news, hops)
	}
}

// flushQueued passes on what has gathered since the last tick.
func (n *Node) flushQueued() {
	for hops := range n.queued {
		waiting := n.queued[hops]
		n.queued[hops] = queue{}
		if len(waiting.members) > 0 {
			n.pushMembers(waiting.members, uint8(hops))
		}
		if len(waiting.endpoints) > 0 {
			n.pushEndpoints(waiting.endpoints, uint8(hops))
		}
	}
}

func (n *Node) pushEndpoints(news []registry.Endpoint, hops uint8) {
	for _, to := range n.receivers(hops) {
		n.sendEndpoints(to, news, hops)
	}
}

func (n *Node) sendEndpoints(to string, endpoints []registry.Endpoint, hops uint8) {
	for part := range slices.Chunk(endpoints, itemsMost) {
		n.send(to, News{Endpoints: part, Hops: hops})
	}
}

func (n *Node) spreadOrder(sequence uint64, order []byte, hops uint8) {
	if len(order) > orderMost {
		order = nil
	}
	for _, to := range n.receivers(hops) {
		n.send(to, News{Sequence: sequence, Order: order, Hops: hops})
	}
}
