package register

import (
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// client is an application that makes one call at a time, which it sends like the forwarder of package coordinator. Each
// client does one kind of work: it acquires one lock, increments counters, puts, reads or watches.
type client struct {
	sim       *simulation
	address   string
	clockRate float64 // of its clock, with which it measures a hold
	work      func()  // starts the next call
	current   *call
	values    int
	since     map[string]uint64 // last observed revision of each group
	revisions map[string]uint64 // last observed revision of each key
}

// call is an operation of a client, with its outcome.
type call struct {
	client    *client
	operation coordination.Operation
	startedAt time.Duration // time of the first message
	endedAt   time.Duration // never, if the outcome is unclear
	certainty Certainty     // 0: in progress
	result    coordination.Result

	id        uint64
	park      time.Duration
	proposers []*machine // in the order in which they are tried
	sent      int
	isRepeat  bool
	timeout   time.Duration // from its arrival at a proposer to its Call.Deadline
	firstBoot int           // boot of the first proposer when the call was first sent
	done      func(*call)
}

const (
	never          = time.Duration(1<<63 - 1)
	callTimeout    = 850 * time.Millisecond
	minCallTimeout = 10 * time.Millisecond
	// maxShortTimeout lets the first proposer answer before the call is sent to the next one.
	maxShortTimeout  = 150 * time.Millisecond
	resendInterval   = 90 * time.Millisecond
	sendsPerProposer = 2
	watchPark        = 600 * time.Millisecond
)

// The names on which clients operate.
var (
	simulatedLocks    = []string{"lock-1", "lock-2"}
	simulatedCounters = []string{"counter-1", "counter-2"}
	simulatedGroups   = []string{"group-1.", "group-2."}
	simulatedCells    = []string{"a", "b"} // of each group
)

func lockName(id string) coordination.Name {
	return coordination.Name{Kind: coordination.KindLock, ID: id}
}
func groupName(id string) coordination.Name {
	return coordination.Name{Kind: coordination.KindGroup, ID: id}
}
func counterName(id string) coordination.Name {
	return coordination.Name{Kind: coordination.KindCounter, ID: id}
}

// addClients adds three clients for each lock, and two clients for each other kind of work.
func (s *simulation) addClients() {
	for _, lock := range simulatedLocks {
		for range 3 {
			c := s.addClient()
			c.work = func() { c.acquire(lock) }
		}
	}
	for i := range simulatedGroups {
		counting, putting, reading, watching := s.addClient(), s.addClient(), s.addClient(), s.addClient()
		counting.work = counting.increment
		putting.work = putting.put
		reading.work = reading.readOrPut
		watching.work = func() { watching.watch(simulatedGroups[i]) }
	}
}

func (s *simulation) addClient() *client {
	c := s.addIdleClient()
	s.after(s.randomDuration(0, time.Second), func() { c.work() })
	return c
}

func (s *simulation) addIdleClient() *client {
	c := &client{
		sim: s, address: fmt.Sprint("client-", len(s.clients)+1), clockRate: 1 + maxClockDrift*(2*s.random.Float64()-1),
		since: map[string]uint64{}, revisions: map[string]uint64{},
	}
	s.clients = append(s.clients, c)
	return c
}

// pause schedules the client's next call after a random time of at most maxPause.
func (c *client) pause(maxPause time.Duration) {
	c.sim.after(c.sim.randomDuration(20*time.Millisecond, maxPause), func() {
		if !c.sim.auditing {
			c.work()
		}
	})
}

// begin starts a new call and adds it to the history. done is called with its outcome.
func (c *client) begin(operation coordination.Operation, park time.Duration, done func(*call)) {
	c.start(&call{client: c, operation: operation, startedAt: c.sim.now, endedAt: never, park: park, done: done})
	c.sim.history.calls = append(c.sim.history.calls, c.current)
}

// repeat sends a call with an unclear outcome again. The checks treat both as one call.
func (c *client) repeat(former *call) {
	former.certainty, former.isRepeat = 0, true
	c.start(former)
}

func (c *client) start(k *call) {
	s := c.sim
	k.id, k.sent, k.timeout = s.random.Uint64(), 0, callTimeout
	if !s.healed && s.oneIn(3) {
		k.timeout = s.randomDuration(minCallTimeout, maxShortTimeout)
	}
	k.proposers = k.proposers[:0]
	first := len(k.operation.Name.ID) + int(k.operation.Name.ID[len(k.operation.Name.ID)-2])
	if s.oneIn(4) {
		first = s.random.IntN(len(s.machines)) // clients disagree about which machines are alive
	}
	for i := range s.machines {
		k.proposers = append(k.proposers, s.machines[(first+i)%len(s.machines)])
	}
	c.current = k
	id := k.id
	s.after(callTimeout+k.park, func() {
		if c.current == k && k.id == id {
			c.finish(Unclear, coordination.Result{})
		}
	})
	c.send(k, id)
}

// send sends the call sendsPerProposer times to each proposer in turn, until it completes.
func (c *client) send(k *call, id uint64) {
	if c.current != k || k.id != id {
		return
	}
	proposer := k.proposers[k.sent/sendsPerProposer%len(k.proposers)]
	if k.sent == 0 {
		k.firstBoot = proposer.boot
	}
	request := &callRequest{ID: k.id, Operation: k.operation, Timeout: k.timeout, Park: k.park}
	c.sim.send(replication.Replica{Address: c.address}, proposer.address, request)
	k.sent++
	wait := resendInterval
	if k.sent%sendsPerProposer == 0 {
		wait += k.park
	}
	c.sim.after(wait, func() { c.send(k, id) })
}

// onReply handles a reply. NotExecuted holds only for the process that replies: if another process may have received the
// call, the outcome is unclear.
func (c *client) onReply(reply *callReply) {
	k := c.current
	if k == nil || k.id != reply.ID {
		return
	}
	if reply.Certainty == NotExecuted && (k.isRepeat || k.sent > sendsPerProposer || reply.Boot != k.firstBoot || k.proposers[0].boot != k.firstBoot) {
		reply.Certainty = Unclear
	}
	c.finish(reply.Certainty, reply.Result)
}

func (c *client) finish(certainty Certainty, result coordination.Result) {
	k := c.current
	c.current = nil
	c.sim.callsByCertainty[certainty]++
	k.certainty, k.result = certainty, result
	if certainty != Unclear {
		k.endedAt = c.sim.now
	}
	c.sim.checkService(k)
	k.done(k)
}

// acquire tries to acquire the lock, and then holds it for a random part of the hold.
func (c *client) acquire(lock string) {
	hold := c.sim.randomDuration(200*time.Millisecond, 1200*time.Millisecond)
	c.begin(coordination.Operation{Kind: coordination.Acquire, Name: lockName(lock), Holder: c.address, Hold: hold}, 0, func(k *call) {
		if k.certainty != Decided || k.result.Outcome != coordination.Done {
			c.pause(600 * time.Millisecond)
			return
		}
		c.sim.after(c.sim.randomDuration(0, hold), func() { c.hold(lock, k.result.Fence) })
	})
}

// hold renews or releases the lock, or lets its hold expire.
func (c *client) hold(lock string, fence uint64) {
	s := c.sim
	if s.auditing {
		return
	}
	operation := coordination.Operation{Kind: coordination.Release, Name: lockName(lock), Holder: c.address, Fence: fence}
	switch s.random.IntN(4) {
	case 0:
		c.pause(time.Second)
		return
	case 1, 2:
		operation.Kind, operation.Hold = coordination.Renew, s.randomDuration(100*time.Millisecond, time.Second)
	}
	c.begin(operation, 0, func(k *call) {
		if k.certainty == Decided && k.result.Outcome == coordination.Done && operation.Kind == coordination.Renew {
			s.after(s.randomDuration(0, operation.Hold), func() { c.hold(lock, fence) })
			return
		}
		c.pause(500 * time.Millisecond)
	})
}

func (c *client) increment() {
	counter := simulatedCounters[c.sim.random.IntN(len(simulatedCounters))]
	c.begin(coordination.Operation{Kind: coordination.Increment, Name: counterName(counter)}, 0, func(*call) { c.pause(400 * time.Millisecond) })
}

func (c *client) randomCell() (group, key string) {
	group = simulatedGroups[c.sim.random.IntN(len(simulatedGroups))]
	return group, group + simulatedCells[c.sim.random.IntN(len(simulatedCells))]
}

// put writes a unique value, mostly on the condition that the key has the last revision that the client observed.
func (c *client) put() {
	group, key := c.randomCell()
	c.values++
	operation := coordination.Operation{Kind: coordination.Put, Name: groupName(group), Key: key, Value: fmt.Sprint(c.address, " ", c.values)}
	if revision, known := c.revisions[key]; !c.sim.oneIn(3) {
		if !known {
			revision = 0
		}
		operation.IfRevision = &revision
	}
	repeats := c.sim.random.IntN(3)
	c.begin(operation, 0, func(k *call) {
		if k.certainty == Unclear && repeats > 0 {
			repeats--
			c.repeat(k)
			return
		}
		if k.certainty == Decided {
			c.revisions[key] = k.result.Revision
		}
		c.pause(400 * time.Millisecond)
	})
}

// readOrPut puts a third of the time and reads otherwise.
func (c *client) readOrPut() {
	if c.sim.oneIn(3) {
		c.put()
		return
	}
	group, key := c.randomCell()
	c.begin(coordination.Operation{Kind: coordination.Get, Name: groupName(group), Key: key}, 0, func(k *call) {
		if k.certainty == Decided {
			c.revisions[key] = k.result.Revision
		}
		c.pause(400 * time.Millisecond)
	})
}

// watch watches a group from the last observed revision, or sometimes from an older one.
func (c *client) watch(group string) {
	operation := coordination.Operation{Kind: coordination.Watch, Name: groupName(group), Since: c.since[group]}
	if c.sim.oneIn(8) && operation.Since > 1 {
		operation.Since = 1 + c.sim.random.Uint64N(operation.Since)
	}
	c.begin(operation, watchPark, func(k *call) {
		if k.certainty == Decided && k.result.Outcome != coordination.Compacted {
			c.since[group] = k.result.Revision
		} else if k.result.Outcome == coordination.Compacted {
			c.since[group] = 0
		}
		c.pause(300 * time.Millisecond)
	})
}
