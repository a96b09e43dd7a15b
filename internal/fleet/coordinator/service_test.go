package coordinator

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// coreCluster is a set of core machines that exchange messages without delay.
type coreCluster struct {
	directory string // empty: no disks
	startedAt time.Time

	mu       sync.Mutex
	services map[string]*Service // the running ones, by address
}

func coreAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

const coreMachines = 3

func newCoreCluster(directory string) *coreCluster {
	return &coreCluster{directory: directory, startedAt: time.Now(), services: map[string]*Service{}}
}

func (c *coreCluster) service(address string) *Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services[address]
}

func (c *coreCluster) start(i int, founders []string) *Service {
	address := coreAddress(i)
	options := Options{
		Address: address, Zone: fmt.Sprint("z", i), Region: "r", Founders: founders, Core: true, Votes: true,
		Tolerance: replication.Tolerance{Machines: 1},
		State:     coordination.Options{History: time.Minute, MaxGroupBytes: 1 << 20},
		Peers:     func() []string { return c.addresses(address) },
		Proposers: func() []string { return c.addresses("") },
		Leaving:   func() bool { return false },
		Clock:     func() time.Duration { return time.Since(c.startedAt) },
		Send: func(to string, nonce uint64, message any) {
			if s := c.service(to); s != nil {
				s.Receive(address, nonce, message, 0)
			}
		},
	}
	if c.directory != "" {
		options.Directory = filepath.Join(c.directory, fmt.Sprint(i))
	}
	s, err := Start(options)
	So(err, ShouldBeNil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[address] = s
	return s
}

// addresses returns the addresses of all machines except one, whether they run or not.
func (c *coreCluster) addresses(except string) []string {
	var all []string
	for i := range coreMachines {
		if coreAddress(i) != except {
			all = append(all, coreAddress(i))
		}
	}
	return all
}

func (c *coreCluster) startAll(founders []string) {
	for i := range coreMachines {
		c.start(i, founders)
	}
}

func (c *coreCluster) stop(i int) {
	s := c.service(coreAddress(i))
	c.mu.Lock()
	delete(c.services, coreAddress(i))
	c.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

func (c *coreCluster) stopAll() {
	for i := range coreMachines {
		c.stop(i)
	}
}

// increment has a machine increment the counter and returns the new count. It retries after an error, so that an attempt with
// an unclear outcome may have incremented the counter too.
func (c *coreCluster) increment(t *testing.T, i int) uint64 {
	operation := &coordination.Operation{Kind: coordination.Increment, Name: counterName}
	for range 20 {
		result, err := c.service(coreAddress(i)).Execute(t.Context(), operation, 0)
		if err == nil {
			return result.Count
		}
		time.Sleep(100 * time.Millisecond)
	}
	So("the counter", ShouldEqual, "incremented")
	return 0
}

// awaitReady waits until all acceptors are ready, in the given epoch or a later one.
func (c *coreCluster) awaitReady(epoch uint64) {
	for range 300 {
		ready := 0
		for i := range coreMachines {
			if s := c.service(coreAddress(i)); s != nil && s.Status().Ready && s.Status().Epoch >= epoch {
				ready++
			}
		}
		if ready == coreMachines {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	So("all acceptors", ShouldEqual, "ready")
}

func TestServicesShareState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Three machines without disks", t, func() {
			c := newCoreCluster("")
			c.startAll(c.addresses(""))
			Reset(c.stopAll)
			c.awaitReady(1)

			Convey("share one counter, whichever of them is called", func() {
				for n := range uint64(6) {
					So(c.increment(t, int(n)%coreMachines), ShouldEqual, n+1)
				}
			})
			Convey("continue without one of them", func() {
				before := c.increment(t, 0)
				c.stop(0)
				So(c.increment(t, 1), ShouldBeGreaterThan, before)
				So(c.increment(t, 2), ShouldBeGreaterThan, before+1)
			})
			Convey("reply to a watch as soon as there is a put", func() {
				put := &coordination.Operation{
					Kind: coordination.Put, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Key: "g.a", Value: "1"}
				s := c.service(coreAddress(0))
				first, err := s.Execute(t.Context(), put, 0)
				So(err, ShouldBeNil)
				start := time.Now()
				go func() {
					time.Sleep(300 * time.Millisecond)
					second := *put
					second.Value = "2"
					_, _ = c.service(coreAddress(1)).Execute(t.Context(), &second, 0) // the watch shows whether the put succeeded
				}()
				watch := &coordination.Operation{Kind: coordination.Watch, Name: put.Name, Since: first.Revision}
				result, err := s.Execute(t.Context(), watch, 2*time.Second)
				So(err, ShouldBeNil)
				So(result.Events, ShouldHaveLength, 1)
				So(result.Events[0].Value, ShouldEqual, "2")
				So(time.Since(start), ShouldBeLessThan, time.Second)
			})
		})
	})
}

func TestServicesSurviveRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Three machines with disks", t, func() {
			c := newCoreCluster(t.TempDir())
			c.startAll(c.addresses(""))
			Reset(c.stopAll)
			c.awaitReady(1)
			count := c.increment(t, 0)

			Convey("continue counting after all of them have restarted", func() {
				c.stopAll()
				c.startAll(nil)
				So(c.increment(t, 1), ShouldBeGreaterThan, count)
			})
			Convey("replace an acceptor whose disk was lost", func() {
				c.stop(2)
				c.directory = t.TempDir()
				c.start(2, nil)
				c.awaitReady(2)
				So(c.increment(t, 2), ShouldBeGreaterThan, count)
				status := c.service(coreAddress(2)).Status()
				So(status.Acceptors, ShouldContain, *status.Acceptor)
				So(status.Acceptor.Nonce, ShouldNotEqual, 0)
				So(status.Stored, ShouldBeGreaterThan, 0)
			})
		})
	})
}

func TestServiceOfNonCoreMachine(t *testing.T) {
	Convey("A machine outside the core has no loops and ignores messages for them", t, func() {
		s, err := Start(Options{Address: testAddress})
		So(err, ShouldBeNil)
		defer s.Close()
		for _, message := range []any{
			&register.Request{}, &register.Reply{}, &register.Hello{}, &register.Collect{}, &register.Collected{}, &CallRequest{}, &CallReply{},
		} {
			s.Receive(testPeer.Address, 0, message, 0)
		}
		So(s.Status(), ShouldResemble, Status{})
	})
	Convey("A full inbox drops messages and counts them", t, func() {
		m := newMachine("")
		for range inboxSize + 3 {
			m.service.Receive(testPeer.Address, 0, &register.Request{}, 0)
		}
		So(m.service.Counters.Dropped.Load(), ShouldEqual, 3)
		So(m.service.Status().Dropped, ShouldEqual, 3)
	})
}
