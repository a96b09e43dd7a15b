package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/control"
	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/coordinator"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// newCoordinationRouter returns a router that is not started and has no transport: an attempt to send a message panics and fails the test.
func newCoordinationRouter(contracts string) *Router {
	s, err := settings.Parse([]byte("nodeName=r\nip=127.0.0.1\nzone=z\nregion=r\nzones.z=r\nbootstrap=true\ncountsForQuorum=true\n" +
		"listen.control=127.0.0.1:1\nportRange=2,2\nseeds=127.0.0.1:1\n" + contracts))
	So(err, ShouldBeNil)
	return New(s, zap.NewNop())
}

// callControl calls a router's control API and returns the status code.
func callControl(r *Router, path, body string) int {
	recorder := httptest.NewRecorder()
	r.controlServer("127.0.0.1:1").ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder.Code
}

// coordinationMessages returns one message of each kind that the service sends, by kind.
func coordinationMessages() map[transport.Kind]any {
	messages := map[transport.Kind]any{}
	for _, m := range []any{
		&register.Request{Epoch: 1}, &register.Reply{Epoch: 1}, &register.Hello{}, &register.Collect{}, &register.Collected{},
		&coordinator.CallRequest{ID: 1}, &coordinator.CallReply{ID: 1},
	} {
		messages[coordinationKind(m)] = m
	}
	return messages
}

// Guards against state, goroutines or messages of the service in fleets whose settings don't enable it.
func TestCoordinationIsOffByDefault(t *testing.T) {
	for _, contracts := range []string{"", "contracts=\n", "contracts=base,quota\n"} {
		Convey(fmt.Sprintf("Settings with %q have no coordination service", contracts), t, func() {
			r := newCoordinationRouter(contracts)
			running := goleak.IgnoreCurrent()
			So(r.coordination.start(), ShouldBeNil)
			So(goleak.Find(running), ShouldBeNil)
			So(r.coordination.service, ShouldBeNil)

			So(r.coordination.status(), ShouldBeNil)
			encoded, err := json.Marshal(Status{Coordination: r.coordination.status()})
			So(err, ShouldBeNil)
			So(string(encoded), ShouldNotContainSubstring, "coordination")

			So(callControl(r, "/numbers/n", "{}"), ShouldEqual, http.StatusNotFound)
			for kind, message := range coordinationMessages() {
				body, err := cbor.Marshal(message)
				So(err, ShouldBeNil)
				So(r.coordination.receive(&transport.Packet{From: "127.0.0.2:2", Kind: kind, Body: body}), ShouldBeNil)
			}
			r.coordination.close()
		})
	}
	Convey("Settings with the contract coord enable the coordination service", t, func() {
		r := newCoordinationRouter("contracts=base,coord\n")
		So(r.coordination.isServed(), ShouldBeTrue)
		So(callControl(r, "/locks/l/begin", "{}"), ShouldEqual, http.StatusBadRequest)
	})
}

func TestCoordinationMessages(t *testing.T) {
	Convey("Each message type has its own kind, by which it is decoded", t, func() {
		messages := coordinationMessages()
		So(messages, ShouldHaveLength, 7)
		for kind, message := range messages {
			So(newCoordinationMessage(kind), ShouldHaveSameTypeAs, message)
		}
	})
	Convey("A message that can't be decoded causes an error", t, func() {
		r := newCoordinationRouter("contracts=coord\n")
		var err error
		r.coordination.service, err = coordinator.Start(coordinator.Options{Address: "127.0.0.1:2"})
		So(err, ShouldBeNil)
		for kind, message := range coordinationMessages() {
			So(r.coordination.receive(&transport.Packet{Kind: kind, Body: []byte{0xff}}), ShouldNotBeNil)
			body, err := cbor.Marshal(message)
			So(err, ShouldBeNil)
			So(r.coordination.receive(&transport.Packet{Kind: kind, Body: body}), ShouldBeNil)
		}
	})
}

func TestCoordinationRefusals(t *testing.T) {
	Convey("A call is refused only if the service reports that it was not executed", t, func() {
		r := newCoordinationRouter("contracts=coord\n")
		var proposers []string
		var err error
		r.coordination.service, err = coordinator.Start(coordinator.Options{
			Address: "127.0.0.1:2", Clock: r.clock,
			Proposers: func() []string { return proposers },
			Send: func(to string, _ uint64, message any) {
				reply := &coordinator.CallReply{ID: message.(*coordinator.CallRequest).ID, Certainty: register.NotExecuted, Process: 7}
				r.coordination.service.Receive(to, 0, reply, 0)
			},
		})
		So(err, ShouldBeNil)
		operation := &coordination.Operation{Kind: coordination.Increment, Name: coordination.Name{Kind: coordination.KindCounter, ID: "n"}}
		var refused *control.RefusedError

		_, err = r.coordination.Execute(t.Context(), operation, 0)
		So(errors.As(err, &refused), ShouldBeTrue)
		So(refused.Overloaded, ShouldBeFalse)

		proposers = []string{"127.0.0.2:2"}
		_, err = r.coordination.Execute(t.Context(), operation, 0)
		So(err, ShouldEqual, coordinator.ErrUnclear) // the call was not yet bound to a process of the proposer
		_, err = r.coordination.Execute(t.Context(), operation, 0)
		So(errors.As(err, &refused), ShouldBeTrue)
		So(refused.Overloaded, ShouldBeTrue)

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r.coordination.service, err = coordinator.Start(coordinator.Options{
			Address: "127.0.0.1:2", Clock: r.clock, Proposers: func() []string { return []string{"127.0.0.2:2"} }, Send: func(string, uint64, any) {},
		})
		So(err, ShouldBeNil)
		_, err = r.coordination.Execute(ctx, operation, 0)
		So(err, ShouldNotBeNil)
		So(errors.As(err, &refused), ShouldBeFalse)
	})
}
