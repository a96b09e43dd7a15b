package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
)

// scriptedProposers answer the calls of a machine that has no proposer itself.
type scriptedProposers struct {
	service            *Service
	proposers          []string
	requestedProposers []string // each time a call came
	reply              func(proposer string, request *CallRequest) *CallReply
}

func newScriptedProposers(reply func(proposer string, request *CallRequest) *CallReply) *scriptedProposers {
	p := &scriptedProposers{proposers: []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}, reply: reply}
	start := time.Now()
	service, err := Start(Options{
		Address:   testAddress,
		Proposers: func() []string { return slices.Clone(p.proposers) },
		Clock:     func() time.Duration { return time.Since(start) },
		Send: func(to string, _ uint64, message any) {
			request := message.(*CallRequest)
			p.requestedProposers = append(p.requestedProposers, to)
			if reply := p.reply(to, request); reply != nil {
				p.service.Receive(to, 0, reply)
			}
		},
	})
	So(err, ShouldBeNil)
	p.service = service
	return p
}

func (p *scriptedProposers) preferenceOrder(id string) []string {
	return p.service.forwarder.orderedProposers(coordination.Name{Kind: coordination.KindCounter, ID: id})
}

func (p *scriptedProposers) increment(ctx context.Context) (coordination.Result, error) {
	return p.service.Execute(ctx, &coordination.Operation{Kind: coordination.Increment, Name: counterName}, 0)
}

func sendNoReply(string, *CallRequest) *CallReply { return nil }

// replying returns proposers that answer every call alike.
func replyWith(certainty register.Certainty, count uint64) func(string, *CallRequest) *CallReply {
	return func(_ string, request *CallRequest) *CallReply {
		return &CallReply{ID: request.ID, Certainty: certainty, Result: coordination.Result{Outcome: coordination.Done, Count: count}}
	}
}

func TestOrderOfProposers(t *testing.T) {
	Convey("The order in which proposers are asked for a name", t, func() {
		p := newScriptedProposers(sendNoReply)
		Convey("is the same whatever order they are known in", func() {
			for i := range 50 {
				before := p.preferenceOrder(fmt.Sprint(i))
				slices.Reverse(p.proposers)
				So(p.preferenceOrder(fmt.Sprint(i)), ShouldResemble, before)
			}
		})
		Convey("keeps its order without one of them", func() {
			for i := range 50 {
				before := p.preferenceOrder(fmt.Sprint(i))
				removed := p.proposers[0]
				p.proposers = p.proposers[1:]
				So(p.preferenceOrder(fmt.Sprint(i)), ShouldResemble, slices.DeleteFunc(before, func(a string) bool { return a == removed }))
				p.proposers = append(p.proposers, removed)
			}
		})
		Convey("begins with each of them for some names", func() {
			first := map[string]int{}
			for i := range 300 {
				first[p.preferenceOrder(fmt.Sprint(i))[0]]++
			}
			So(first, ShouldHaveLength, 3)
			for _, count := range first {
				So(count, ShouldBeBetween, 60, 140)
			}
		})
		Convey("differs between kinds of names", func() {
			differ := 0
			for i := range 50 {
				lock := coordination.Name{Kind: coordination.KindLock, ID: fmt.Sprint(i)}
				if p.service.forwarder.orderedProposers(lock)[0] != p.preferenceOrder(fmt.Sprint(i))[0] {
					differ++
				}
			}
			So(differ, ShouldBeGreaterThan, 10)
		})
	})
}

func TestForwarderFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A proposer that is silent", t, func() {
			p := newScriptedProposers(sendNoReply)
			preferenceOrder := p.preferenceOrder(counterName.ID)
			p.reply = func(proposer string, request *CallRequest) *CallReply {
				if proposer == preferenceOrder[0] {
					return nil
				}
				return replyWith(register.Decided, 7)(proposer, request)
			}
			start := time.Now()
			result, err := p.increment(t.Context())

			Convey("is asked twice, and then the next one, with the same call", func() {
				So(err, ShouldBeNil)
				So(result.Count, ShouldEqual, 7)
				So(p.requestedProposers, ShouldResemble, []string{preferenceOrder[0], preferenceOrder[0], preferenceOrder[1]})
				So(time.Since(start), ShouldEqual, firstReplyTimeout+resendReplyTimeout)
				So(p.service.Counters.FailedOver.Load(), ShouldEqual, 1)
			})
			Convey("is asked last for a while", func() {
				suspected := append(slices.Clone(preferenceOrder[1:]), preferenceOrder[0])
				So(p.preferenceOrder(counterName.ID), ShouldResemble, suspected)
				time.Sleep(suspicionDuration - 1)
				So(p.preferenceOrder(counterName.ID), ShouldResemble, suspected)
				time.Sleep(time.Nanosecond)
				So(p.preferenceOrder(counterName.ID), ShouldResemble, preferenceOrder)
			})
			Convey("is asked first again once it answers anything", func() {
				p.service.Receive(preferenceOrder[0], 0, &CallReply{ID: 1})
				So(p.preferenceOrder(counterName.ID), ShouldResemble, preferenceOrder)
			})
		})
	})
}

// Guards against a refusal of a call that another proposer may execute.
func TestForwarderOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call that the first proposer did not execute is refused", t, func() {
			p := newScriptedProposers(replyWith(register.NotExecuted, 0))
			p.service.Receive(p.preferenceOrder(counterName.ID)[0], 0, &CallReply{Process: 7})
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrOverloaded)
			So(p.requestedProposers, ShouldHaveLength, 1)
			So(p.service.Counters.Refused.Load(), ShouldEqual, 1)
		})
		Convey("A call that is not bound to the process that did not execute it is unclear: the next one may", t, func() {
			p := newScriptedProposers(replyWith(register.NotExecuted, 0))
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
		})
		Convey("A call that a second proposer did not execute is unclear", t, func() {
			p := newScriptedProposers(sendNoReply)
			first := p.preferenceOrder(counterName.ID)[0]
			p.reply = func(proposer string, request *CallRequest) *CallReply {
				if proposer == first {
					return nil
				}
				return replyWith(register.NotExecuted, 0)(proposer, request)
			}
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
			So(p.service.Counters.Unclear.Load(), ShouldEqual, 1)
		})
		Convey("A call whose outcome a proposer does not know is unclear", t, func() {
			p := newScriptedProposers(replyWith(register.Unclear, 0))
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
			So(p.requestedProposers, ShouldHaveLength, 1)
		})
		Convey("A call without any answer is unclear within the caller's second", t, func() {
			p := newScriptedProposers(sendNoReply)
			start := time.Now()
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
			So(time.Since(start), ShouldBeLessThan, time.Second)
			So(slices.Compact(slices.Sorted(slices.Values(p.requestedProposers))), ShouldHaveLength, 3)
		})
		Convey("A call whose caller has gone is unclear", t, func() {
			p := newScriptedProposers(sendNoReply)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := p.increment(ctx)
			So(err, ShouldEqual, ErrUnclear)
		})
		Convey("A call where no proposer is known is refused", t, func() {
			p := newScriptedProposers(sendNoReply)
			p.proposers = nil
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrNoProposer)
			So(p.requestedProposers, ShouldBeEmpty)
			So(p.service.Counters.Refused.Load(), ShouldEqual, 1)
		})
	})
}

func TestForwarderMatchesReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A reply to a former call is ignored", t, func() {
			var earlier *CallRequest
			p := newScriptedProposers(nil)
			p.reply = func(proposer string, request *CallRequest) *CallReply {
				if earlier == nil {
					earlier = request
				} else {
					p.service.Receive(proposer, 0, replyWith(register.Decided, 1)(proposer, earlier))
				}
				return replyWith(register.Decided, 2)(proposer, request)
			}
			for range 2 {
				result, err := p.increment(t.Context())
				So(err, ShouldBeNil)
				So(result.Count, ShouldEqual, 2)
			}
			So(p.service.forwarder.pending, ShouldBeEmpty)
		})
		Convey("A reply that comes twice answers once", t, func() {
			p := newScriptedProposers(nil)
			p.reply = func(proposer string, request *CallRequest) *CallReply {
				p.service.Receive(proposer, 0, replyWith(register.Decided, 3)(proposer, request))
				return replyWith(register.Decided, 3)(proposer, request)
			}
			result, err := p.increment(t.Context())
			So(err, ShouldBeNil)
			So(result.Count, ShouldEqual, 3)
		})
		Convey("A watch waits for its events and the time of a call", t, func() {
			p := newScriptedProposers(sendNoReply)
			start := time.Now()
			_, err := p.service.Execute(t.Context(), &coordination.Operation{Kind: coordination.Watch}, 400*time.Millisecond)
			So(err, ShouldEqual, ErrUnclear)
			So(time.Since(start), ShouldEqual, callTimeout+400*time.Millisecond)
		})
	})
}
