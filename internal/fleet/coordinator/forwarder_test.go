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

// scriptedProposers simulates the proposers that receive the calls of a machine without a proposer of its own.
type scriptedProposers struct {
	service            *Service
	proposers          []string
	requestedProposers []string // the proposer of each received copy of a call
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
				p.service.Receive(to, 0, reply, 0)
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

// replyWith returns a reply function that answers every call with the same result.
func replyWith(certainty register.Certainty, count uint64) func(string, *CallRequest) *CallReply {
	return func(_ string, request *CallRequest) *CallReply {
		return &CallReply{ID: request.ID, Certainty: certainty, Result: coordination.Result{Outcome: coordination.Done, Count: count}}
	}
}

func TestOrderOfProposers(t *testing.T) {
	Convey("The order in which proposers are tried for a name", t, func() {
		p := newScriptedProposers(sendNoReply)
		Convey("does not depend on the order in which they are listed", func() {
			for i := range 50 {
				before := p.preferenceOrder(fmt.Sprint(i))
				slices.Reverse(p.proposers)
				So(p.preferenceOrder(fmt.Sprint(i)), ShouldResemble, before)
			}
		})
		Convey("stays the same for the others if one of them is removed", func() {
			for i := range 50 {
				before := p.preferenceOrder(fmt.Sprint(i))
				removed := p.proposers[0]
				p.proposers = p.proposers[1:]
				So(p.preferenceOrder(fmt.Sprint(i)), ShouldResemble, slices.DeleteFunc(before, func(a string) bool { return a == removed }))
				p.proposers = append(p.proposers, removed)
			}
		})
		Convey("begins with each of them for about a third of the names", func() {
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
		Convey("A proposer that does not reply", t, func() {
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

			Convey("is sent the call twice, and then the next one is sent the same call", func() {
				So(err, ShouldBeNil)
				So(result.Count, ShouldEqual, 7)
				So(p.requestedProposers, ShouldResemble, []string{preferenceOrder[0], preferenceOrder[0], preferenceOrder[1]})
				So(time.Since(start), ShouldEqual, firstReplyTimeout+resendReplyTimeout)
				So(p.service.Counters.FailedOver.Load(), ShouldEqual, 1)
			})
			Convey("is tried last for suspicionDuration", func() {
				suspected := append(slices.Clone(preferenceOrder[1:]), preferenceOrder[0])
				So(p.preferenceOrder(counterName.ID), ShouldResemble, suspected)
				time.Sleep(suspicionDuration - 1)
				So(p.preferenceOrder(counterName.ID), ShouldResemble, suspected)
				time.Sleep(time.Nanosecond)
				So(p.preferenceOrder(counterName.ID), ShouldResemble, preferenceOrder)
			})
			Convey("is tried first again after any reply from it", func() {
				p.service.Receive(preferenceOrder[0], 0, &CallReply{ID: 1}, 0)
				So(p.preferenceOrder(counterName.ID), ShouldResemble, preferenceOrder)
			})
		})
	})
}

// Guards against reporting a call as not executed although another proposer may execute it.
func TestForwarderOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call that the first proposer refuses is reported as not executed", t, func() {
			p := newScriptedProposers(replyWith(register.NotExecuted, 0))
			p.service.Receive(p.preferenceOrder(counterName.ID)[0], 0, &CallReply{Process: 7}, 0)
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrOverloaded)
			So(p.requestedProposers, ShouldHaveLength, 1)
			So(p.service.Counters.Refused.Load(), ShouldEqual, 1)
		})
		Convey("A refused call that is not bound to a process is unclear: the next process may execute it", t, func() {
			p := newScriptedProposers(replyWith(register.NotExecuted, 0))
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
		})
		Convey("A call that the second proposer refuses is unclear: the first one may execute it", t, func() {
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
		Convey("A call whose outcome the proposer reports as unclear is unclear", t, func() {
			p := newScriptedProposers(replyWith(register.Unclear, 0))
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
			So(p.requestedProposers, ShouldHaveLength, 1)
		})
		Convey("A call without any reply is unclear within 1 s, after every proposer was tried", t, func() {
			p := newScriptedProposers(sendNoReply)
			start := time.Now()
			_, err := p.increment(t.Context())
			So(err, ShouldEqual, ErrUnclear)
			So(time.Since(start), ShouldBeLessThan, time.Second)
			So(slices.Compact(slices.Sorted(slices.Values(p.requestedProposers))), ShouldHaveLength, 3)
		})
		Convey("A call whose context is cancelled is unclear", t, func() {
			p := newScriptedProposers(sendNoReply)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := p.increment(ctx)
			So(err, ShouldEqual, ErrUnclear)
		})
		Convey("A call without a known proposer is refused", t, func() {
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
		Convey("A reply to an earlier call is ignored", t, func() {
			var earlier *CallRequest
			p := newScriptedProposers(nil)
			p.reply = func(proposer string, request *CallRequest) *CallReply {
				if earlier == nil {
					earlier = request
				} else {
					p.service.Receive(proposer, 0, replyWith(register.Decided, 1)(proposer, earlier), 0)
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
		Convey("A second reply to a call is ignored", t, func() {
			p := newScriptedProposers(nil)
			p.reply = func(proposer string, request *CallRequest) *CallReply {
				p.service.Receive(proposer, 0, replyWith(register.Decided, 3)(proposer, request), 0)
				return replyWith(register.Decided, 3)(proposer, request)
			}
			result, err := p.increment(t.Context())
			So(err, ShouldBeNil)
			So(result.Count, ShouldEqual, 3)
		})
		Convey("A watch without a reply is unclear after its wait for events and the time-out of a call", t, func() {
			p := newScriptedProposers(sendNoReply)
			start := time.Now()
			_, err := p.service.Execute(t.Context(), &coordination.Operation{Kind: coordination.Watch}, 400*time.Millisecond)
			So(err, ShouldEqual, ErrUnclear)
			So(time.Since(start), ShouldEqual, callTimeout+400*time.Millisecond)
		})
	})
}
