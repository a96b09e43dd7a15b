package control_test

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scenarioSeeds is the number of seeds with which each scenario is run. To run more:
//
//	go test ./internal/fleet/control -run TestScenarios -stacks 300
var scenarioSeeds = flag.Int("stacks", 4, "number of seeds that TestScenarios runs each scenario with")

// firstSeed is the first of these seeds. With -stacks 1, only this seed is run, to repeat a failure.
var firstSeed = flag.Uint64("first-stack", 0, "the first seed that TestScenarios uses")

// operators change and read the configuration, and check that the responses are consistent.
type operators struct {
	cluster *cluster

	mu                  sync.Mutex
	newestAcknowledged  int64            // newest version that was acknowledged
	acknowledgedChanges map[int64]string // by base version, the service that the acknowledged change added
	acknowledgedCount   int
	readCount           int
	lastVersion         int64
	unknownOutcomeCount int // changes for which no response reported the outcome
}

// change sends a change, and repeats it for up to 25 s until a response reports the outcome. onlyChange says that no other change is
// based on the same version, so that a rejection is a fault. lostResponsePercent of the responses are lost.
func (o *operators) change(base int64, onlyChange bool, lostResponsePercent int) (version int64, applied bool) {
	o.mu.Lock()
	o.lastVersion += 1 + int64(o.cluster.randomInt(3))
	version = o.lastVersion
	o.mu.Unlock()
	name := fmt.Sprintf("s%d", version)
	body := fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"%s"}]}}`, version, name)
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); {
		a := o.cluster.callFollowingRedirects(o.cluster.anyAddress(), http.MethodPost, "/config/modify", body, strconv.FormatInt(base, 10), o.cluster.randomInt(100) < lostResponsePercent)
		switch {
		case a.status == http.StatusOK:
			o.recordAcknowledged(base, version, name)
			return version, true
		case a.status >= 400 && a.status < 500:
			if onlyChange {
				o.cluster.recordFault("change %d, the only one based on %d, was rejected: %d %s", version, base, a.status, a.body)
			}
			return version, false
		}
		time.Sleep(o.cluster.randomDuration(50*time.Millisecond, 300*time.Millisecond))
	}
	o.mu.Lock()
	o.unknownOutcomeCount++
	o.mu.Unlock()
	return version, false
}

func (o *operators) recordAcknowledged(base, version int64, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if acknowledged, exists := o.acknowledgedChanges[base]; exists && acknowledged != name {
		o.cluster.recordFault("%s and %s, both based on version %d, were both acknowledged", acknowledged, name, base)
	}
	o.acknowledgedChanges[base] = name
	o.newestAcknowledged = max(o.newestAcknowledged, version)
	o.acknowledgedCount++
}

// read reads the configuration. The response must contain every change that was acknowledged before the call.
func (o *operators) read() (version int64, ok bool) {
	o.mu.Lock()
	newestAcknowledged := o.newestAcknowledged
	names := slices.Collect(maps.Values(o.acknowledgedChanges))
	o.mu.Unlock()
	a := o.cluster.callFollowingRedirects(o.cluster.anyAddress(), http.MethodGet, "/config/read", "", "", false)
	if a.status != http.StatusOK {
		return 0, false
	}
	version = versionOf(a.body)
	o.mu.Lock()
	o.readCount++
	o.mu.Unlock()
	if version < newestAcknowledged {
		o.cluster.recordFault("a read returned version %d after %d was acknowledged", version, newestAcknowledged)
	}
	services := servicesOf(a.body)
	for _, name := range names {
		if !services[name] {
			o.cluster.recordFault("a read returned version %d without %s, which was acknowledged", version, name)
			break
		}
	}
	return version, true
}

// readVersion repeats a read until it succeeds, and returns the version.
func (o *operators) readVersion() int64 {
	for {
		if version, ok := o.read(); ok {
			return version
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// run changes the configuration until a deadline. In each round, a number of operators (writers) concurrently send changes
// that are based on the same version.
func (o *operators) run(deadline time.Time, writers, lostResponsePercent int, pause time.Duration) {
	var changes sync.WaitGroup
	for time.Now().Before(deadline) {
		base := o.readVersion()
		for range writers {
			changes.Go(func() { o.change(base, writers == 1, lostResponsePercent) })
		}
		changes.Wait()
		o.read()
		time.Sleep(pause)
	}
}

// scenario is a sequence of faults that are injected while operators change the configuration.
type scenario struct {
	writers, lostResponsePercent int // number of concurrent operators; percentage of responses that are lost
	pause                        time.Duration
	injectFaults                 func(c *cluster)
}

const (
	scenarioDuration = 30 * time.Second
	minAcknowledged  = 4 // a run with fewer acknowledged changes fails, because it tests too little
)

// scenarios are keyed by name. A name starts with the number of the requirement in docs/design/control-state.md that it tests.
var scenarios = map[string]scenario{
	"1 a core machine is partitioned for 20 seconds": {writers: 1, pause: 300 * time.Millisecond, injectFaults: func(c *cluster) {
		a := []string{c.anyAddress()}
		c.logEvent("%v is partitioned", a)
		c.setPartitioned(a, true)
		time.Sleep(20 * time.Second)
		c.setPartitioned(a, false)
		c.logEvent("the partition heals")
	}},
	"1 a machine misses changes, and the up-to-date machines are restarted": {writers: 1, pause: 300 * time.Millisecond, injectFaults: func(c *cluster) {
		for range 3 {
			lagging := c.anyAddress()
			c.logEvent("%s misses changes", lagging)
			c.setPartitioned([]string{lagging}, true)
			time.Sleep(c.randomDuration(time.Second, 5*time.Second))
			c.setPartitioned([]string{lagging}, false)
			for _, a := range c.peers() {
				if a != lagging {
					c.restart(a, c.randomDuration(100*time.Millisecond, 2*time.Second), false)
				}
			}
			time.Sleep(4 * time.Second)
		}
	}},
	"2 two operators and lost responses": {writers: 2, lostResponsePercent: 50, pause: 200 * time.Millisecond, injectFaults: func(c *cluster) {
		for range 4 {
			time.Sleep(c.randomDuration(2*time.Second, 6*time.Second))
			c.restart(c.anyAddress(), c.randomDuration(100*time.Millisecond, 2*time.Second), false)
		}
	}},
	"2 changes retried at another machine during elections": {writers: 1, lostResponsePercent: 60, pause: 100 * time.Millisecond, injectFaults: func(c *cluster) {
		for range 6 {
			time.Sleep(c.randomDuration(time.Second, 4*time.Second))
			a := []string{c.anyAddress()}
			c.logEvent("%v is partitioned for 0.5 to 2 s", a)
			c.setPartitioned(a, true)
			time.Sleep(c.randomDuration(500*time.Millisecond, 2*time.Second))
			c.setPartitioned(a, false)
		}
	}},
	"2 changes retried at a machine that was restored from a snapshot": {writers: 1, lostResponsePercent: 55, pause: 50 * time.Millisecond, injectFaults: func(c *cluster) {
		for range 5 {
			wiped := c.anyAddress()
			c.restart(wiped, 200*time.Millisecond, true)
			time.Sleep(c.randomDuration(1500*time.Millisecond, 2500*time.Millisecond))
			c.restartOthers(wiped)
			time.Sleep(c.randomDuration(2*time.Second, 3*time.Second))
		}
	}},
	"3 a machine loses its disk after a planned replacement": {writers: 1, pause: 300 * time.Millisecond, injectFaults: func(c *cluster) {
		retiring := c.anyAddress()
		added := c.addMachine(addressOf(len(c.peers())))
		added.start(nil)
		c.logEvent("%s starts as the replacement of %s", added.address, retiring)
		time.Sleep(c.randomDuration(500*time.Millisecond, 3*time.Second))
		c.replace(retiring)
		time.Sleep(c.randomDuration(0, 3*time.Second))
		for {
			if wiped := c.anyAddress(); c.running(wiped) != nil {
				c.restart(wiped, c.randomDuration(50*time.Millisecond, 2*time.Second), true)
				break
			}
		}
		time.Sleep(12 * time.Second)
	}},
	"4 hundreds of changes and restarted machines": {writers: 1, pause: 0, injectFaults: func(c *cluster) {
		restarted := c.anyAddress()
		c.restart(restarted, 12*time.Second, false)
		time.Sleep(15 * time.Second)
		wiped := c.anyAddress()
		c.restart(wiped, time.Second, true)
		time.Sleep(5 * time.Second)
		c.restartOthers(wiped)
		time.Sleep(7 * time.Second)
	}},
}

// restartOthers restarts all machines but one, so that a new primary is elected. It may be the one that was not restarted, whose state
// was restored from a snapshot.
func (c *cluster) restartOthers(address string) {
	for _, a := range c.peers() {
		if a != address {
			c.restart(a, c.randomDuration(500*time.Millisecond, 900*time.Millisecond), false)
		}
	}
}

// restart kills a machine, and starts it again after a delay, with an empty disk if wiped is set.
func (c *cluster) restart(address string, after time.Duration, wiped bool) {
	m := c.running(address)
	if m == nil {
		return
	}
	c.logEvent("%s is killed and restarts after %v, disk wiped: %v", address, after, wiped)
	m.kill()
	if wiped {
		m.wipe()
	}
	time.AfterFunc(after, func() { m.start(nil) })
}

// replace makes a machine resign, and removes it once its replica may stop, or after a grace period of 7.5 s.
func (c *cluster) replace(address string) {
	m := c.running(address)
	c.logEvent("%s resigns", address)
	m.currentReplica().Resign()
	time.Sleep(2500 * time.Millisecond)
	for deadline := time.Now().Add(5 * time.Second); !m.currentReplica().CanStop() && time.Now().Before(deadline); {
		time.Sleep(50 * time.Millisecond)
	}
	c.logEvent("%s is removed, its replica may stop: %v", address, m.currentReplica().CanStop())
	m.kill()
	c.mu.Lock()
	c.memberAddresses = slices.DeleteFunc(c.memberAddresses, func(a string) bool { return a == address })
	c.mu.Unlock()
}

// Guards against acknowledged changes that are lost, conflicting changes that are both acknowledged, and stale reads, while machines
// are partitioned, killed, wiped and replaced. Each run has replicas with logs on disk, the control API and the dissemination, on a
// fake clock.
func TestScenarios(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+uint64(*scenarioSeeds); seed++ {
				synctest.Test(t, func(t *testing.T) { s.run(t, seed) })
			}
		})
	}
}

func (s scenario) run(t *testing.T, seed uint64) {
	c := newCluster(t.TempDir(), seed, 3, 1)
	o := &operators{cluster: c, acknowledgedChanges: map[int64]string{}}
	defer func() {
		for _, m := range c.machines {
			m.kill()
		}
		synctest.Wait()
	}()
	time.Sleep(2 * time.Second)
	var faults sync.WaitGroup
	faults.Go(func() { s.injectFaults(c) })
	o.run(time.Now().Add(scenarioDuration), s.writers, s.lostResponsePercent, s.pause)
	faults.Wait()
	time.Sleep(5 * time.Second)
	o.checkRecovery(t)
	if len(c.faults) > 0 {
		t.Fatalf("seed %d: %s\n%s", seed, c.faults[0], strings.Join(c.events, "\n"))
	}
	t.Logf("seed %d: %d changes acknowledged, %d reads, %d changes with unknown outcome", seed, o.acknowledgedCount, o.readCount, o.unknownOutcomeCount)
	if o.acknowledgedCount < minAcknowledged {
		t.Errorf("seed %d: only %d changes were acknowledged\n%s", seed, o.acknowledgedCount, strings.Join(c.events, "\n"))
	}
}

// checkRecovery checks at the end of a run that a change is applied, that all machines use it within configApplyMs, and that the view
// has all three machines of the core as members.
func (o *operators) checkRecovery(t *testing.T) {
	version, applied := o.change(o.readVersion(), true, 0)
	if !applied {
		o.cluster.recordFault("change %d was not applied at the end", version)
		return
	}
	time.Sleep(2 * time.Second)
	for _, address := range o.cluster.peers() {
		m := o.cluster.running(address)
		if m == nil {
			o.cluster.recordFault("%s is not running at the end", address)
			continue
		}
		m.mu.Lock()
		table := m.node.Config.Table
		m.mu.Unlock()
		if table == nil || table.Version != version {
			o.cluster.recordFault("%s does not use version %d at the end", address, version)
		}
		view := m.currentReplica().View()
		if len(view.Members) != 3 {
			o.cluster.recordFault("%s has a view with %d members at the end", address, len(view.Members))
		}
	}
}
