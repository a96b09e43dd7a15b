package dissemination

import (
	"slices"
	"time"
)

// Simulation of fetches and builds on the fleet's clock: the sender's link rate delays each reply, and the decode rate each build.

const fetchDelay = time.Millisecond // one way

// event is a function to be run at a simulated time.
type event struct {
	at time.Duration
	do func()
}

// link simulates a router's link for the fetch replies that it sends.
type link struct {
	freeAt       time.Duration
	ends         []time.Duration // of the transfers in flight
	maxTransfers int             // highest number of transfers at the same time
}

// add adds a transfer that occupies the link for duration, from now or from the end of the transfers before it. It returns its end.
func (l *link) add(now, duration time.Duration) time.Duration {
	l.freeAt = max(l.freeAt, now) + duration
	l.ends = slices.DeleteFunc(l.ends, func(end time.Duration) bool { return end <= now })
	l.ends = append(l.ends, l.freeAt)
	l.maxTransfers = max(l.maxTransfers, len(l.ends))
	return l.freeAt
}

func (f *fleet) after(delay time.Duration, do func()) {
	f.scheduled = append(f.scheduled, event{f.now + delay, do})
}

func (f *fleet) runEvents() {
	events := f.scheduled
	f.scheduled = nil
	for _, e := range events {
		if e.at > f.now {
			f.scheduled = append(f.scheduled, e)
			continue
		}
		e.do()
	}
}

func (f *fleet) linkOf(address string) *link {
	if f.links[address] == nil {
		f.links[address] = &link{}
	}
	return f.links[address]
}

func (f *fleet) isPartitioned(from, to string) bool {
	return f.partitioned != nil && f.partitioned(from, to)
}

// fetch simulates a router's call to another one.
func (f *fleet) fetch(caller string, fetch *Fetch) {
	requestedAt, ended := f.now, false
	end := func(outcome FetchOutcome) {
		if !ended {
			ended = true
			f.perform(caller, f.nodes[caller].HandleFetchEnd(f.now, fetch.From, outcome))
		}
	}
	f.after(fetch.Timeout, func() { end(FetchTimedOut) })
	f.after(fetchDelay, func() {
		if f.isPartitioned(caller, fetch.From) {
			return
		}
		f.serve(caller, fetch, func(reply FetchReply) {
			if !ended && !f.isPartitioned(fetch.From, caller) {
				ended = true
				f.perform(caller, f.nodes[caller].HandleFetchReply(f.now, requestedAt, fetch.From, reply))
			}
		}, func() { end(FetchFailed) })
	})
}

// serve has a router answer a fetch, delayed by its link.
func (f *fleet) serve(caller string, fetch *Fetch, onReply func(FetchReply), onFailure func()) {
	request := fetch.Request
	request.Packed = request.Packed && !f.unpackedReplies
	reply, err := f.nodes[fetch.From].ServeFetch(f.now, request)
	if err != nil {
		f.after(fetchDelay, onFailure)
		return
	}
	f.replyBytes += reply.size()
	delay := fetchDelay
	if f.linkRate > 0 && !reply.Busy {
		duration := time.Duration(float64(reply.size()) / f.linkRate * float64(time.Second))
		delay += f.linkOf(fetch.From).add(f.now, duration) - f.now
	}
	f.after(delay, func() { onReply(reply) })
}

// build runs a build after the time that decoding takes at decodeRate.
func (f *fleet) build(router string, build *Build) {
	delay := time.Duration(0)
	if f.decodeRate > 0 {
		delay = time.Duration(float64(build.Size()) / f.decodeRate * float64(time.Second))
	}
	f.after(delay, func() {
		table, err := f.tables[build.sequence], error(nil)
		if table == nil { // all routers build the same table, so one build serves them all
			table, err = build.Table(nil)
			f.tables[build.sequence] = table
		}
		f.perform(router, f.nodes[router].HandleBuilt(f.now, build, table, err))
	})
}
