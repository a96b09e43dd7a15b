package register

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

func testHello(r replication.Replica, readyEpoch uint64) *Hello {
	return &Hello{Self: r, ReadyEpoch: readyEpoch, Votes: true}
}

func testConfig(epoch uint64, addresses ...string) Config {
	c := Config{Epoch: epoch}
	for _, address := range addresses {
		c.Acceptors = append(c.Acceptors, replication.Replica{Address: address})
	}
	return c
}

// Guards against unnecessary changes of acceptors, each of which transfers all registers.
func TestPlannerChangesNoAcceptorWithoutNeed(t *testing.T) {
	config := testConfig(4, "a", "b", "c", "d", "e")
	self := config.Acceptors[0]
	Convey("After a restart of all machines, acceptors without a Hello are not replaced before acceptorTimeout", t, func() {
		p := NewPlanner(replication.Tolerance{Machines: 2})
		for now := time.Duration(0); now < acceptorTimeout; now += 100 * time.Millisecond {
			for _, r := range append(config.Acceptors[:3:3], replication.Replica{Address: "f", Nonce: 3}) {
				p.Observe(now, testHello(r, 4))
			}
			_, ok := p.Next(now, config, self)
			So(ok, ShouldBeFalse)
		}
		_, ok := p.Next(acceptorTimeout, config, self)
		So(ok, ShouldBeTrue)
	})
	Convey("A delayed Hello with the identity of a lost disk does not restore that identity", t, func() {
		p := NewPlanner(replication.Tolerance{Machines: 2})
		config.Acceptors[4].Nonce = 9
		for now := time.Duration(0); now < 4*time.Second; now += 100 * time.Millisecond {
			for _, r := range config.Acceptors {
				p.Observe(now, testHello(r, 4))
			}
			if now == 2*time.Second {
				p.Observe(now, testHello(replication.Replica{Address: "e"}, 3))
			}
			_, ok := p.Next(now, config, self)
			So(ok, ShouldBeFalse)
		}
	})
	Convey("The next change waits for live acceptors that are not ready, until carryOverTimeout", t, func() {
		p := NewPlanner(replication.Tolerance{Machines: 2})
		wiped := replication.Replica{Address: "e", Nonce: 5}
		proposedAt := time.Duration(-1)
		for now := time.Duration(0); now < 2*carryOverTimeout && proposedAt < 0; now += 100 * time.Millisecond {
			for i, r := range config.Acceptors[:4] {
				p.Observe(now, testHello(r, uint64(4-i/3)))
			}
			p.Observe(now, testHello(wiped, 0))
			if _, ok := p.Next(now, config, self); ok {
				proposedAt = now
			}
		}
		So(proposedAt, ShouldEqual, carryOverTimeout)
	})
}
