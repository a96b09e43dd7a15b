package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/control"
	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replica"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// cluster is a core of machines, each with a replica, its log on disk, the control API and the dissemination. It runs on a fake clock
// (testing/synctest) and a simulated network.
type cluster struct {
	root      string
	tolerance int
	startedAt time.Time

	mu              sync.Mutex
	random          *rand.Rand
	machines        map[string]*machine
	memberAddresses []string
	partitions      map[[2]string]bool
	events          []string
	faults          []string
}

// machine is one machine of the core. Its process may be killed and restarted, with its disk or with an empty one.
type machine struct {
	cluster *cluster
	address string
	disk    string

	mu      sync.Mutex // guards the fields below
	up      bool
	replica *replica.Replica
	node    *dissemination.Gossiper
	server  *control.Server
	stop    chan struct{}
	clock   func() time.Duration
}

func newCluster(root string, seed uint64, machines, tolerance int) *cluster {
	c := &cluster{
		root: root, tolerance: tolerance, startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 3)),
		machines: map[string]*machine{}, partitions: map[[2]string]bool{},
	}
	var bootstrapAddresses []string
	for i := range machines {
		bootstrapAddresses = append(bootstrapAddresses, addressOf(i))
	}
	for _, address := range bootstrapAddresses {
		c.addMachine(address)
	}
	for _, address := range bootstrapAddresses {
		c.machines[address].start(bootstrapAddresses)
	}
	return c
}

func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// addMachine adds a machine with an empty disk. Its process is not started.
func (c *cluster) addMachine(address string) *machine {
	m := &machine{cluster: c, address: address, disk: filepath.Join(c.root, strconv.Itoa(len(c.memberAddresses)))}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[address] = m
	c.memberAddresses = append(c.memberAddresses, address)
	return m
}

func (c *cluster) logEvent(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%8.3f  ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, values...))
}

// recordFault records a violated expectation, for which the test fails at the end of the run.
func (c *cluster) recordFault(format string, values ...any) {
	c.logEvent("FAULT: "+format, values...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, values...))
}

func (c *cluster) randomDuration(minDuration, maxDuration time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return minDuration + time.Duration(c.random.Int64N(int64(maxDuration-minDuration)+1))
}

// randomInt returns a random integer from 0 to limit - 1.
func (c *cluster) randomInt(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(limit)
}

// running returns the machine at an address, or nil if it is not running.
func (c *cluster) running(address string) *machine {
	c.mu.Lock()
	m := c.machines[address]
	c.mu.Unlock()
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return nil
	}
	return m
}

func (c *cluster) isPartitioned(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitions[[2]string{from, to}]
}

// setPartitioned partitions machines from all others and from each other, or heals that partition.
func (c *cluster) setPartitioned(addresses []string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		for _, b := range c.memberAddresses {
			c.partitions[[2]string{a, b}], c.partitions[[2]string{b, a}] = partitioned, partitioned
		}
	}
}

// deliver passes a message to handle after a random delay. It drops 1 % of the messages, and those that arrive across a partition.
func (c *cluster) deliver(from, to string, handle func(*machine)) {
	if c.randomInt(100) == 0 {
		return
	}
	time.AfterFunc(c.randomDuration(time.Millisecond, 8*time.Millisecond), func() {
		if m := c.running(to); m != nil && !c.isPartitioned(from, to) {
			handle(m)
		}
	})
}

// start starts the machine's process with the present content of its disk.
func (m *machine) start(bootstrapAddresses []string) {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	stop := make(chan struct{})
	node := dissemination.New(0, dissemination.Options{
		Self:  membership.Member{Address: m.address, Control: m.address, Zone: m.address, Core: true, BootID: uint64(m.cluster.randomInt(1 << 60))},
		Seeds: []string{addressOf(0), addressOf(1), addressOf(2)}, EndpointHeartbeatInterval: 1200 * time.Millisecond,
		Timing: membership.DefaultTiming(), Random: rand.New(rand.NewPCG(uint64(m.cluster.randomInt(1<<30)), 1)),
	})
	m.mu.Lock()
	m.clock, m.stop, m.node = clock, stop, node
	m.mu.Unlock()
	r, err := replica.Start(replica.Options{
		Address: m.address, Directory: m.disk, BootstrapWitnesses: bootstrapAddresses, Votes: true, Log: zap.NewNop(),
		Tolerance: replication.Tolerance{Machines: m.cluster.tolerance}, Timing: replication.DefaultTiming(),
		LocalityOf: func(a string) replication.Locality {
			return replication.Locality{Zone: a, Known: true, CountsForQuorum: true}
		},
		Peers: m.cluster.peers, Clock: clock, Send: m.sendReplication,
		OnCommit: m.handleCommit,
		OnViewChange: func(view replication.View) {
			m.step(func(now time.Duration) *dissemination.Output {
				if view.Primary.Address != m.address {
					node.SetView(view.Number, view.Primary.Address)
					return &dissemination.Output{}
				}
				return node.AnnouncePrimary(now, view.Number)
			})
		},
	})
	if err != nil {
		m.cluster.recordFault("%s failed to start: %v", m.address, err)
		return
	}
	m.mu.Lock()
	m.replica, m.up = r, true
	m.server = control.NewServer(&clusterDelegate{machine: m, replica: r}, m.address, control.Limits{})
	m.mu.Unlock()
	go m.tick(stop, r)
}

func (c *cluster) peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.memberAddresses...)
}

// kill stops the process without a graceful shutdown.
func (m *machine) kill() {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	close(m.stop)
	r := m.replica
	m.mu.Unlock()
	r.Close()
}

// wipe deletes the disk of a machine whose process is not running.
func (m *machine) wipe() {
	if err := os.RemoveAll(m.disk); err != nil {
		m.cluster.recordFault("%v", err)
	}
}

func (m *machine) tick(stop chan struct{}, r *replica.Replica) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			m.step(func(now time.Duration) *dissemination.Output {
				if _, sequence, at, ok := r.ReadLease(); ok {
					m.node.Config.Confirm(sequence, at)
				}
				return m.node.Tick(now)
			})
		}
	}
}

// step runs a step of the dissemination, and executes the actions in its output.
func (m *machine) step(do func(now time.Duration) *dissemination.Output) {
	m.mu.Lock()
	out := do(m.clock())
	m.mu.Unlock()
	for _, o := range out.Send {
		message := o.Message
		m.cluster.deliver(m.address, o.To, func(to *machine) {
			to.step(func(now time.Duration) *dissemination.Output { return to.node.Receive(now, m.address, message) })
		})
	}
	if out.Build != nil {
		go func() {
			table, err := out.Build.Table(nil)
			m.step(func(now time.Duration) *dissemination.Output { return m.node.HandleBuilt(now, out.Build, table, err) })
		}()
	}
	if out.BuildError != nil {
		m.cluster.recordFault("%s can't build a table from the received configuration: %v", m.address, out.BuildError)
	}
	if out.Fetch != nil {
		m.fetch(out.Fetch)
	}
}

// fetch sends a request to another machine, and handles either its reply or its time-out, whichever is first.
func (m *machine) fetch(fetch *dissemination.Fetch) {
	m.mu.Lock()
	node, requestedAt := m.node, m.clock()
	m.mu.Unlock()
	var once sync.Once
	end := func(handle func(now time.Duration) *dissemination.Output) {
		once.Do(func() {
			m.step(func(now time.Duration) *dissemination.Output {
				if m.node != node { // the process was restarted in the meantime
					return &dissemination.Output{}
				}
				return handle(now)
			})
		})
	}
	timer := time.AfterFunc(fetch.Timeout, func() {
		end(func(now time.Duration) *dissemination.Output {
			return node.HandleFetchEnd(now, fetch.From, dissemination.FetchTimedOut)
		})
	})
	m.cluster.deliver(m.address, fetch.From, func(to *machine) {
		to.mu.Lock()
		reply, err := to.node.ServeFetch(to.clock(), fetch.Request)
		to.mu.Unlock()
		if err != nil {
			return
		}
		m.cluster.deliver(fetch.From, m.address, func(*machine) {
			timer.Stop()
			end(func(now time.Duration) *dissemination.Output {
				return node.HandleFetchReply(now, requestedAt, fetch.From, reply)
			})
		})
	})
}

func (m *machine) sendReplication(to string, nonce uint64, message replication.Envelope) {
	from := replication.Replica{Address: m.address, Nonce: nonce}
	m.cluster.deliver(m.address, to, func(at *machine) {
		if err := at.currentReplica().Deliver(from, message); err != nil {
			m.cluster.recordFault("%s can't decode a message: %v", to, err)
		}
	})
}

// currentReplica returns the replica of the machine's present process.
func (m *machine) currentReplica() *replica.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replica
}

// handleCommit passes a committed configuration to the dissemination.
func (m *machine) handleCommit(c replica.Commit) {
	var encoded []byte
	if c.Change != nil {
		encoded, _ = c.Change.Encode()
	}
	m.step(func(now time.Duration) *dissemination.Output { return m.node.Commit(now, c.Sequence, c.Table, encoded) })
}

// clusterDelegate is the control.Delegate of a machine.
type clusterDelegate struct {
	machine *machine
	replica *replica.Replica
}

func (d *clusterDelegate) Submit(ctx context.Context, change *config.Change) error {
	return d.replica.Submit(ctx, change)
}
func (d *clusterDelegate) Read(ctx context.Context) (*config.Document, error) {
	return d.replica.Read(ctx)
}
func (d *clusterDelegate) PrimaryControl() (view uint64, address string) {
	d.machine.mu.Lock()
	defer d.machine.mu.Unlock()
	return d.machine.node.Primary()
}
func (d *clusterDelegate) HandleEndpointReport(context.Context, registry.Endpoint) error { return nil }
func (d *clusterDelegate) EndpointService(string) string                                 { return "" }

// response is the response to an operator's call. Status 0 is a time-out.
type response struct {
	status   int
	location string
	body     string
}

// call sends a call to one machine. If loseResponse is set it returns a time-out even if the machine responds in time.
func (c *cluster) call(address, method, path, body, base string, loseResponse bool) response {
	m := c.running(address)
	time.Sleep(c.randomDuration(3*time.Millisecond, 9*time.Millisecond))
	if m == nil {
		time.Sleep(time.Second)
		return response{}
	}
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	responses := make(chan response, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
		if base != "" {
			request.Header.Set("X-Base-Version", base)
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		responses <- response{recorder.Code, recorder.Header().Get("Location"), recorder.Body.String()}
	}()
	select {
	case a := <-responses:
		if loseResponse || c.running(address) != m {
			time.Sleep(time.Second)
			return response{}
		}
		return a
	case <-time.After(time.Second):
		return response{}
	}
}

// callFollowingRedirects calls a machine and follows up to two redirects.
func (c *cluster) callFollowingRedirects(address, method, path, body, base string, loseResponse bool) response {
	for range 3 {
		a := c.call(address, method, path, body, base, loseResponse)
		if a.status != http.StatusTemporaryRedirect {
			return a
		}
		target, err := url.Parse(a.location)
		if err != nil {
			c.recordFault("%s redirects to %s: %v", address, a.location, err)
			return response{}
		}
		address, path = target.Host, target.RequestURI()
	}
	return response{}
}

// anyAddress returns the address of a random machine of the core, running or not.
func (c *cluster) anyAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memberAddresses[c.random.IntN(len(c.memberAddresses))]
}

// versionOf returns the version of a configuration, or -1 if it is not valid JSON.
func versionOf(text string) int64 {
	var document struct{ Version int64 }
	if err := json.Unmarshal([]byte(text), &document); err != nil {
		return -1
	}
	return document.Version
}

// servicesOf returns the names of a configuration's services, or an empty set if it is not valid JSON.
func servicesOf(text string) map[string]bool {
	var document struct{ Services []struct{ Name string } }
	names := map[string]bool{}
	if json.Unmarshal([]byte(text), &document) == nil {
		for _, service := range document.Services {
			names[service.Name] = true
		}
	}
	return names
}
