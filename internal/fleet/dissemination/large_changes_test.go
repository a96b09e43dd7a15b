package dissemination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
)

const (
	slowLinkRate   = 10e6 / 8 // bytes per second
	slowDecodeRate = 4e6      // bytes of JSON that a fifth of a processor decodes per second
	mebibyte       = 1 << 20
)

// manyRoutes returns the body of a change that adds routes, with the fields that operators typically set.
func manyRoutes(version, from, count int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"upsert":{"routes":[`, version)
	for i := range count {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"r-%06d","host":"ficu%d.example","pathPrefix":"/lohu%d/","type":"streaming","timeoutMs":15000,`+
			`"targetLatencyMs":800,"priority":1,"backends":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":1,`+
			`"public":false,"sessionAffinity":true,"streamResume":false,"gap_aim_ms":250}`, from+i, i%50, from+i)
	}
	text.WriteString(`]}}`)
	return []byte(text.String())
}

// operator commits changes at the first node of a fleet.
type operator struct {
	fleet    *fleet
	state    *config.State
	table    *config.Table
	sequence uint64
}

func newOperator(f *fleet) *operator {
	o := &operator{fleet: f, state: config.EmptyState()}
	o.commit(&config.Change{Replace: true, Body: []byte(`{"version":1,"services":[{"name":"a"},{"name":"b"}],"routes":[]}`)})
	return o
}

func (o *operator) commit(change *config.Change) {
	state, err := o.state.Apply(change)
	So(err, ShouldBeNil)
	table, err := config.NewTable(state.Document, o.table)
	So(err, ShouldBeNil)
	encoded, err := change.Encode()
	So(err, ShouldBeNil)
	o.state, o.table, o.sequence = state, table, o.sequence+1
	o.fleet.perform(address(0), o.fleet.nodes[address(0)].Commit(o.fleet.now, o.sequence, table, encoded))
	o.fleet.nodes[address(0)].Config.Confirm(o.sequence, o.fleet.now)
}

func (o *operator) addRoutes(count int) {
	version := int(o.state.Document.Version()) + 1
	o.commit(&config.Change{Base: o.state.Document.Version(), Body: manyRoutes(version, version*100_000, count)})
}

// countLagging returns how many nodes have not received the newest configuration, and how many have not activated it.
func (o *operator) countLagging() (notReceived, notActive int) {
	for _, node := range o.fleet.nodes {
		if node.Config.history.isNewer(o.sequence) {
			notReceived++
		}
		if node.Config.Sequence < o.sequence {
			notActive++
		}
	}
	return notReceived, notActive
}

func (o *operator) maxTransfers() int {
	highest := 0
	for _, link := range o.fleet.links {
		highest = max(highest, link.maxTransfers)
	}
	return highest
}

// Guards against large changes that reach all routers later than allowed, because many routers fetch from the same router at once and
// saturate its link: docs/incidents/2026-12-02-config-derwent-grown.md.
func TestLargeChanges(t *testing.T) {
	Convey("A hundred routers on links of 10 Mbit/s, with a fifth of a processor", t, func() {
		f := newFleet(100, 6)
		for _, node := range f.nodes {
			node.transfers.bytesPerSecond = slowLinkRate
		}
		f.run(3 * time.Second)
		o := newOperator(f)
		f.run(time.Second)
		f.linkRate, f.decodeRate = slowLinkRate, slowDecodeRate

		for _, routes := range []int{100, 1760, 4000} {
			Convey(fmt.Sprintf("all activate %d more routes within a second, with at most three transfers on a link", routes), func() {
				o.addRoutes(routes)
				f.run(time.Second)
				notReceived, notActive := o.countLagging()
				So(notReceived, ShouldEqual, 0)
				So(notActive, ShouldEqual, 0)
				So(o.maxTransfers(), ShouldBeLessThanOrEqualTo, maxConcurrentTransfers)
				So(f.replyBytes, ShouldBeLessThan, 110*mebibyte/15)
			})
		}
		Convey("all activate three large changes and two small ones in quick succession", func() {
			for _, routes := range []int{1760, 1, 4000, 1760, 1} {
				o.addRoutes(routes)
				f.run(100 * time.Millisecond)
			}
			f.run(1500 * time.Millisecond)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 0)
			So(f.buildErrors, ShouldEqual, 0)
		})
		Convey("a tenth that was partitioned off from all others activates it within 1.7 s of the end of the partition", func() {
			isolated := map[string]bool{}
			for i := 90; i < 100; i++ {
				isolated[address(i)] = true
			}
			f.partitioned = func(from, to string) bool { return isolated[from] || isolated[to] }
			o.addRoutes(4000)
			f.run(3 * time.Second)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 10)
			f.partitioned = nil
			f.run(1700 * time.Millisecond) // pulls every 0.5 s, one in eight of them to a member marked dead
			_, notActive = o.countLagging()
			So(notActive, ShouldEqual, 0)
		})
		Convey("a fetch from a router that is partitioned off midway is retried at another router", func() {
			o.addRoutes(4000)
			f.run(120 * time.Millisecond) // some routers have received it by then
			unreachable := map[string]bool{address(0): true, address(1): true, address(2): true}
			f.partitioned = func(from, _ string) bool { return unreachable[from] }
			f.run(2 * time.Second)
			notReceived, _ := o.countLagging()
			So(notReceived, ShouldBeLessThanOrEqualTo, len(unreachable))
		})
		Convey("all activate it although 5% of the messages are lost", func() {
			f.lossPercent = 5
			o.addRoutes(4000)
			f.run(1500 * time.Millisecond)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 0)
		})
		Convey("all activate it although the replies have the form of earlier builds", func() {
			f.unpackedReplies = true
			o.addRoutes(100)
			f.run(2 * time.Second)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 0)
		})
	})
}

// Guards against a router that tries no other router before a fetch times out, or that retries the same router continuously.
func TestFetcher(t *testing.T) {
	Convey("A fetcher with two sources", t, func() {
		any := func(uint64) bool { return true }
		none := func(string) bool { return false }
		var f fetcher
		f.addSource(0, "a", 1)
		f.addSource(0, "b", 1)
		So(f.start(0, any, none), ShouldEqual, "b")
		Convey("starts a fetch from the other one when the first fetch is slow, and no third fetch", func() {
			So(f.start(fetchHedgeDelay-1, any, none), ShouldEqual, "")
			So(f.start(fetchHedgeDelay, any, none), ShouldEqual, "a")
			So(f.start(2*fetchHedgeDelay, any, none), ShouldEqual, "")
		})
		Convey("fetches from the other one at once if a fetch fails, and from the first one again after the back-off", func() {
			f.end(1, "b", FetchFailed)
			So(f.start(1, any, none), ShouldEqual, "a")
			f.end(2, "a", FetchFailed)
			So(f.start(3, any, none), ShouldEqual, "")
			So(f.start(1+failureBackoff, any, none), ShouldEqual, "b")
		})
		Convey("retries a router that failed as soon as it is known to hold a newer configuration", func() {
			f.end(1, "b", FetchFailed)
			f.addSource(2, "b", 2)
			So(f.start(2, func(s uint64) bool { return s > 1 }, none), ShouldEqual, "b")
		})
		Convey("prefers the preferred routers, and ignores routers without a newer configuration", func() {
			f.end(1, "b", FetchReplied)
			So(f.start(1, any, func(a string) bool { return a == "a" }), ShouldEqual, "a")
			So(f.start(1+fetchHedgeDelay, func(uint64) bool { return false }, none), ShouldEqual, "")
		})
		Convey("doubles the time-out after a fetch timed out, within bounds", func() {
			So(f.nextTimeout(), ShouldEqual, minFetchTimeout)
			f.end(minFetchTimeout, "b", FetchTimedOut)
			So(f.nextTimeout(), ShouldEqual, 2*minFetchTimeout)
			for range 5 {
				f.end(0, "b", FetchTimedOut)
			}
			So(f.nextTimeout(), ShouldEqual, maxFetchTimeout)
			f.end(0, "b", FetchFailed)
			So(f.nextTimeout(), ShouldEqual, maxFetchTimeout)
			f.end(0, "b", FetchReplied)
			So(f.nextTimeout(), ShouldEqual, minFetchTimeout)
		})
		Convey("has at most three fetches in flight", func() {
			f.addSource(0, "c", 1)
			f.addSource(0, "d", 1)
			So(f.start(fetchHedgeDelay, any, none), ShouldNotEqual, "")
			So(f.start(2*fetchHedgeDelay, any, none), ShouldNotEqual, "")
			So(f.start(9*fetchHedgeDelay, any, none), ShouldEqual, "")
		})
	})
}

func TestConfigLag(t *testing.T) {
	Convey("The lag is measured from the first notification of a configuration that is not active", t, func() {
		var l lagTracker
		So(l.lag(time.Second, 0), ShouldEqual, 0)
		l.observe(time.Second, 1)
		l.observe(2*time.Second, 2)
		So(l.lag(4*time.Second, 0), ShouldEqual, 3*time.Second)
		So(l.lag(4*time.Second, 1), ShouldEqual, 2*time.Second)
		So(l.lag(4*time.Second, 2), ShouldEqual, 0)
		l.observe(5*time.Second, 1)
		So(l.lag(6*time.Second, 2), ShouldEqual, 0)
	})
}

func TestBlob(t *testing.T) {
	Convey("A blob", t, func() {
		large := manyRoutes(1, 0, 1760)
		Convey("holds large texts compressed, and small ones uncompressed", func() {
			for _, text := range [][]byte{nil, []byte("small"), large} {
				inflated, err := newBlob(text).inflate()
				So(err, ShouldBeNil)
				So(string(inflated), ShouldEqual, string(text))
			}
			So(len(newBlob(large).Data), ShouldBeLessThan, len(large)/10)
			So(newBlob([]byte("small")).Size, ShouldEqual, 0)
		})
		Convey("that is truncated or has a wrong size returns an error", func() {
			b := newBlob(large)
			for _, damaged := range []Blob{
				{Data: b.Data[:len(b.Data)/2], Size: b.Size}, {Data: b.Data, Size: b.Size + 1},
				{Data: b.Data, Size: maxInflatedBytes + 1}, {Data: b.Data, Size: -1},
			} {
				_, err := damaged.inflate()
				So(err, ShouldWrap, ErrBlob)
			}
		})
	})
}
