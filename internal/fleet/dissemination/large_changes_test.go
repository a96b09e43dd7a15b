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
	slowLinkRate   = 10e6 / 8 // bytes a second
	slowDecodeRate = 4e6      // bytes of JSON a second that a fifth of a processor decodes
	mebibyte       = 1 << 20
)

// manyRoutes is a change that adds routes, with the fields that operators send.
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

// lagging counts the nodes that have received, or have in force, less than the newest configuration.
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

// Guards against large changes that take longer to all routers than the rules allow, because routers ask one at the same time and fill its
// link: docs/incidents/2026-12-02-config-derwent-grown.md.
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
			Convey(fmt.Sprintf("all have %d more routes within a second, and never more than three copies are on a link", routes), func() {
				o.addRoutes(routes)
				f.run(time.Second)
				notReceived, notActive := o.countLagging()
				So(notReceived, ShouldEqual, 0)
				So(notActive, ShouldEqual, 0)
				So(o.maxTransfers(), ShouldBeLessThanOrEqualTo, maxConcurrentTransfers)
				So(f.replyBytes, ShouldBeLessThan, 110*mebibyte/15)
			})
		}
		Convey("all have three large changes and small ones that follow each other", func() {
			for _, routes := range []int{1760, 1, 4000, 1760, 1} {
				o.addRoutes(routes)
				f.run(100 * time.Millisecond)
			}
			f.run(1500 * time.Millisecond)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 0)
			So(f.buildErrors, ShouldEqual, 0)
		})
		Convey("a tenth that is partitioned off from all others has it within a second of the end of that", func() {
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
			f.run(1700 * time.Millisecond) // a pull each 0.5 s, one in eight to a router thought dead
			_, notActive = o.countLagging()
			So(notActive, ShouldEqual, 0)
		})
		Convey("a fetch from a router that is partitioned off midway goes on elsewhere", func() {
			o.addRoutes(4000)
			f.run(120 * time.Millisecond) // some have it by then
			unreachable := map[string]bool{address(0): true, address(1): true, address(2): true}
			f.partitioned = func(from, _ string) bool { return unreachable[from] }
			f.run(2 * time.Second)
			notReceived, _ := o.countLagging()
			So(notReceived, ShouldBeLessThanOrEqualTo, len(unreachable))
		})
		Convey("all have it though a twentieth of the messages is lost", func() {
			f.lossPercent = 5
			o.addRoutes(4000)
			f.run(1500 * time.Millisecond)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 0)
		})
		Convey("all have it though the replies are those of a former build", func() {
			f.unpackedReplies = true
			o.addRoutes(100)
			f.run(2 * time.Second)
			_, notActive := o.countLagging()
			So(notActive, ShouldEqual, 0)
		})
	})
}

// Guards against a router that waits for the time-out of a fetch, or asks the same router again and again.
func TestFetcher(t *testing.T) {
	Convey("A fetcher that knows two routers", t, func() {
		any := func(uint64) bool { return true }
		none := func(string) bool { return false }
		var f fetcher
		f.addSource(0, "a", 1)
		f.addSource(0, "b", 1)
		So(f.start(0, any, none), ShouldEqual, "b")
		Convey("asks the other one beside a fetch that takes long, and no third one", func() {
			So(f.start(fetchHedgeDelay-1, any, none), ShouldEqual, "")
			So(f.start(fetchHedgeDelay, any, none), ShouldEqual, "a")
			So(f.start(2*fetchHedgeDelay, any, none), ShouldEqual, "")
		})
		Convey("asks the other one at once where a fetch fails, and the first one again after a while", func() {
			f.end(1, "b", FetchFailed)
			So(f.start(1, any, none), ShouldEqual, "a")
			f.end(2, "a", FetchFailed)
			So(f.start(3, any, none), ShouldEqual, "")
			So(f.start(1+failureBackoff, any, none), ShouldEqual, "b")
		})
		Convey("asks one that failed again as soon as it is known to hold something newer", func() {
			f.end(1, "b", FetchFailed)
			f.addSource(2, "b", 2)
			So(f.start(2, func(s uint64) bool { return s > 1 }, none), ShouldEqual, "b")
		})
		Convey("prefers routers near by, and asks none that holds nothing newer", func() {
			f.end(1, "b", FetchReplied)
			So(f.start(1, any, func(a string) bool { return a == "a" }), ShouldEqual, "a")
			So(f.start(1+fetchHedgeDelay, func(uint64) bool { return false }, none), ShouldEqual, "")
		})
		Convey("gives the next fetch more time after one that timed out, within bounds", func() {
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
		Convey("has at highest three fetches in flight", func() {
			f.addSource(0, "c", 1)
			f.addSource(0, "d", 1)
			So(f.start(fetchHedgeDelay, any, none), ShouldNotEqual, "")
			So(f.start(2*fetchHedgeDelay, any, none), ShouldNotEqual, "")
			So(f.start(9*fetchHedgeDelay, any, none), ShouldEqual, "")
		})
	})
}

func TestConfigLag(t *testing.T) {
	Convey("The lag counts from the first news of what is not in force", t, func() {
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
		Convey("carries large texts compressed, and small ones as they are", func() {
			for _, text := range [][]byte{nil, []byte("small"), large} {
				inflated, err := newBlob(text).inflate()
				So(err, ShouldBeNil)
				So(string(inflated), ShouldEqual, string(text))
			}
			So(len(newBlob(large).Data), ShouldBeLessThan, len(large)/10)
			So(newBlob([]byte("small")).Size, ShouldEqual, 0)
		})
		Convey("that is truncated or states another size is an error", func() {
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
