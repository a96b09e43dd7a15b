package replication

import (
	"fmt"
	"testing"
	"time"
)

// shutdownNotice is the minimum time between the signal for a planned shutdown and the end of the process.
const shutdownNotice = 2500 * time.Millisecond

// join adds a machine with an empty disk that requests to join.
func (c *cluster) join(at string) *host {
	c.lastNonce++
	added := &host{disk: InitialHardState(at, c.lastNonce, nil)}
	c.replicas = append(c.replicas, added)
	c.start(added, DefaultTiming())
	added.node.options.JoinTargets = c.addresses
	return added
}

func (c *cluster) addresses() []string {
	var all []string
	for _, h := range c.replicas {
		all = append(all, h.disk.Self.Address)
	}
	return all
}

// loseDisk restarts a machine with an empty disk.
func (c *cluster) loseDisk(h *host) {
	c.wipe(h)
	c.start(h, DefaultTiming())
	h.node.options.JoinTargets = c.addresses
}

// Guards against a planned replacement after which the loss of one more disk leaves no majority. To a group of three,
// of which one may be lost, a fourth replica is added. One of the three resigns and stops after shutdownNotice; then or
// later, another replica loses its disk.
func TestSecondLossAfterReplacement(t *testing.T) {
	gaps := []time.Duration{0, 300 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 1600 * time.Millisecond,
		2400 * time.Millisecond, 4 * time.Second}
	for resigning := range 3 {
		for wiped := range 4 {
			if wiped == resigning {
				continue
			}
			for _, gap := range gaps {
				t.Run(fmt.Sprintf("%d resigns, %d loses its disk %v later", resigning, wiped, gap), func(t *testing.T) {
					playSecondLoss(t, resigning, wiped, gap)
				})
			}
		}
	}
}

func playSecondLoss(t *testing.T, resigning, wiped int, gap time.Duration) {
	c := newCluster(3, 1)
	c.run(time.Second)
	c.join(address(3))
	c.run(time.Second)
	if !c.proposeAndCommit() {
		t.Fatal("no change is committed before the replacement")
	}
	leaving := c.replicas[resigning]
	c.apply(leaving, leaving.node.Resign(c.now))
	c.settle()
	c.run(shutdownNotice)
	c.powerOff(leaving)
	c.run(gap)
	c.loseDisk(c.replicas[wiped])
	for waited := time.Duration(0); waited < 12*time.Second; waited += clusterTick {
		c.run(clusterTick)
		if leader := c.leader(); leader != nil && len(leader.state) >= len(c.acknowledged) && c.proposeAndCommit() {
			return
		}
	}
	t.Error("no change is committed within 12 s after the loss of the disk")
}
