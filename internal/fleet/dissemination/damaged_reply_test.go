package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/membership"
)

// newOutdatedRouter returns a router whose active configuration has sequence 1, and that is fetching sequence 2 from address(2).
func newOutdatedRouter() *Gossiper {
	n := New(0, Options{
		Self: membership.Member{Address: address(1), Zone: "z", BootID: 1}, Timing: membership.DefaultTiming(),
		EndpointHeartbeatInterval: time.Second, Random: rand.New(rand.NewPCG(1, 1)),
	})
	document, err := config.ParseDocument([]byte(`{"version":1,"services":[{"name":"a"},{"name":"b"}],"routes":[]}`))
	So(err, ShouldBeNil)
	table, err := config.NewTable(document, nil)
	So(err, ShouldBeNil)
	n.Commit(0, 1, table, nil)
	output := n.Receive(time.Second, address(2), Update{Sequence: 2})
	So(output.Fetch, ShouldNotBeNil)
	So(output.Fetch.Request.After, ShouldEqual, 1)
	return n
}

func encodedRoutes() []byte {
	encoded, err := (&config.Change{Base: 1, Body: manyRoutes(2, 0, 500)}).Encode()
	So(err, ShouldBeNil)
	return encoded
}

// Guards against a router that never catches up because a reply to a fetch can't be decoded.
func TestDamagedReply(t *testing.T) {
	Convey("A router that can't decode a reply keeps the active configuration, and fetches the complete one", t, func() {
		n := newOutdatedRouter()
		damaged := newBlob(encodedRoutes())
		damaged.Data = damaged.Data[:len(damaged.Data)/2]
		output := n.HandleFetchReply(time.Second, time.Second, address(2), FetchReply{Sequence: 2, PackedChanges: []Blob{damaged}})
		So(output.Build, ShouldNotBeNil)
		table, err := output.Build.Table(nil)
		So(err, ShouldWrap, ErrBlob)
		output = n.HandleBuilt(time.Second, output.Build, table, err)
		So(output.BuildError, ShouldWrap, ErrBlob)
		So(n.Config.Sequence, ShouldEqual, 1)
		So(n.ConfigSuperseded(), ShouldBeTrue)
		output = n.Receive(2*time.Second, address(3), Update{Sequence: 2})
		So(output.Fetch, ShouldNotBeNil)
		So(output.Fetch.Request.After, ShouldEqual, 0)
	})
}

// Guards against a confirmation that is applied to the previous configuration, or lost, while the confirmed one is decoded.
func TestConfirmationOfWhatIsDecoded(t *testing.T) {
	Convey("A confirmation of a configuration takes effect when the configuration becomes active", t, func() {
		n := newOutdatedRouter()
		output := n.HandleFetchReply(1500*time.Millisecond, time.Second, address(2), FetchReply{
			Sequence: 2, PackedChanges: []Blob{newBlob(encodedRoutes())}, Fresh: true, AgeMs: 100,
		})
		_, confirmed := n.Config.ConfirmedAt()
		So(confirmed, ShouldBeFalse)
		So(output.Build, ShouldNotBeNil)
		table, err := output.Build.Table(nil)
		So(err, ShouldBeNil)
		n.HandleBuilt(2*time.Second, output.Build, table, err)
		So(n.Config.Sequence, ShouldEqual, 2)
		So(n.ConfigSuperseded(), ShouldBeFalse)
		at, confirmed := n.Config.ConfirmedAt()
		So(confirmed, ShouldBeTrue)
		So(at, ShouldEqual, 900*time.Millisecond)
	})
}
