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

// stack is a core of whole control sides: replica, log on a disk, control API and dissemination, on a fake clock
// (testing/synctest) and a scripted network.
type stack struct {
	root      string
	tolerance int
	began     time.Time

	mu       sync.Mutex
	random   *rand.Rand
	machines map[string]*machine
	order    []string
	cuts     map[[2]string]bool
	script   []string
	faults   []string
}

// machine is one control side. Its process may end and begin again, with its disk or without.
type machine struct {
	stack   *stack
	address string
	disk    string

	mu      sync.Mutex // of what follows
	up      bool
	replica *replica.Replica
	node    *dissemination.Node
	server  *control.Server
	stop    chan struct{}
	clock   func() time.Duration
}

func newStack(root string, seed uint64, machines, tolerance int) *stack {
	s := &stack{
		root: root, tolerance: tolerance, began: time.Now(), random: rand.New(rand.NewPCG(seed, 3)),
		machines: map[string]*machine{}, cuts: map[[2]string]bool{},
	}
	var founders []string
	for i := range machines {
		founders = append(founders, addressOf(i))
	}
	for _, address := range founders {
		s.add(address)
	}
	for _, address := range founders {
		s.machines[address].start(founders)
	}
	return s
}

func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// add makes a machine with an empty disk that is off.
func (s *stack) add(address string) *machine {
	m := &machine{stack: s, address: address, disk: filepath.Join(s.root, strconv.Itoa(len(s.order)))}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[address] = m
	s.order = append(s.order, address)
	return m
}

func (s *stack) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = append(s.script, fmt.Sprintf("%8.3f  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, values...))
}

func (s *stack) fail(format string, values ...any) {
	s.note("FAULT: "+format, values...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, values...))
}

func (s *stack) span(least, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

func (s *stack) number(below int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(below)
}

// machine is that at an address; nil: none runs there.
func (s *stack) running(address string) *machine {
	s.mu.Lock()
	m := s.machines[address]
	s.mu.Unlock()
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

func (s *stack) isCut(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{from, to}]
}

// cut cuts machines from all others, or joins them again.
func (s *stack) cut(addresses []string, isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		for _, b := range s.order {
			s.cuts[[2]string{a, b}], s.cuts[[2]string{b, a}] = isCut, isCut
		}
	}
}

// deliver has a message arrive after a time, unless it is lost or cut on its way.
func (s *stack) deliver(from, to string, arrive func(*machine)) {
	if s.number(100) == 0 {
		return
	}
	time.AfterFunc(s.span(time.Millisecond, 8*time.Millisecond), func() {
		if m := s.running(to); m != nil && !s.isCut(from, to) {
			arrive(m)
		}
	})
}

// start begins the machine's process with what its disk holds.
func (m *machine) start(founders []string) {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	stop := make(chan struct{})
	node := dissemination.New(0, dissemination.Options{
		Self:  membership.Member{Address: m.address, Control: m.address, Zone: m.address, Core: true, BootID: uint64(m.stack.number(1 << 60))},
		Seeds: []string{addressOf(0), addressOf(1), addressOf(2)}, EndpointHeartbeatInterval: 1200 * time.Millisecond,
		Timing: membership.DefaultTiming(), Random: rand.New(rand.NewPCG(uint64(m.stack.number(1<<30)), 1)),
	})
	m.mu.Lock()
	m.clock, m.stop, m.node = clock, stop, node
	m.mu.Unlock()
	r, err := replica.Start(replica.Options{
		Address: m.address, Directory: m.disk, BootstrapWitnesses: founders, Votes: true, Log: zap.NewNop(),
		Tolerance: replication.Tolerance{Machines: m.stack.tolerance}, Timing: replication.DefaultTiming(),
		LocalityOf: func(a string) replication.Locality {
			return replication.Locality{Zone: a, Known: true, CountsForQuorum: true}
		},
		Peers: m.stack.peers, Clock: clock, Send: m.sendReplication,
		OnCommit: m.committed,
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
		m.stack.fail("%s does not start: %v", m.address, err)
		return
	}
	m.mu.Lock()
	m.replica, m.up = r, true
	m.server = control.NewServer(&core{machine: m, replica: r}, m.address)
	m.mu.Unlock()
	go m.tick(stop, r)
}

func (s *stack) peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.order...)
}

// end ends the process at once.
func (m *machine) end() {
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

// wipe takes the disk away, of a machine that is off.
func (m *machine) wipe() {
	if err := os.RemoveAll(m.disk); err != nil {
		m.stack.fail("%v", err)
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

// step lets the dissemination take a step, and sends what it wants sent.
func (m *machine) step(do func(now time.Duration) *dissemination.Output) {
	m.mu.Lock()
	out := do(m.clock())
	m.mu.Unlock()
	for _, o := range out.Send {
		message := o.Message
		m.stack.deliver(m.address, o.To, func(to *machine) {
			to.step(func(now time.Duration) *dissemination.Output { return to.node.Receive(now, m.address, message) })
		})
	}
	if out.Fetch != "" {
		m.fetch(out.Fetch)
	}
}

func (m *machine) fetch(from string) {
	m.mu.Lock()
	request, asked := dissemination.FetchRequest{After: m.node.Config.Sequence}, m.clock()
	if m.node.Config.Table == nil {
		request.After = 0
	}
	m.mu.Unlock()
	m.stack.deliver(m.address, from, func(to *machine) {
		to.mu.Lock()
		reply, err := to.node.Config.ServeFetch(to.clock(), request)
		to.mu.Unlock()
		if err != nil {
			return
		}
		m.stack.deliver(from, m.address, func(m *machine) {
			m.step(func(now time.Duration) *dissemination.Output {
				out, _, err := m.node.HandleFetchReply(now, asked, reply)
				if err != nil {
					m.stack.fail("%s can't read what %s answered: %v", m.address, from, err)
				}
				return out
			})
		})
	})
}

func (m *machine) sendReplication(to string, nonce uint64, message replication.Envelope) {
	from := replication.Replica{Address: m.address, Nonce: nonce}
	m.stack.deliver(m.address, to, func(at *machine) {
		if err := at.current().Deliver(from, message); err != nil {
			m.stack.fail("%s can't read a message: %v", to, err)
		}
	})
}

// current is the replica of the present process.
func (m *machine) current() *replica.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replica
}

func (m *machine) committed(c replica.Commit) {
	var encoded []byte
	if c.Change != nil {
		encoded, _ = c.Change.Encode()
	}
	m.step(func(now time.Duration) *dissemination.Output { return m.node.Commit(now, c.Sequence, c.Table, encoded) })
}

// core is what the control API sees of its machine.
type core struct {
	machine *machine
	replica *replica.Replica
}

func (c *core) Submit(ctx context.Context, o *config.Change) error { return c.replica.Submit(ctx, o) }
func (c *core) Read(ctx context.Context) (*config.Document, error) {
	return c.replica.Read(ctx)
}
func (c *core) PrimaryControl() (view uint64, address string) {
	c.machine.mu.Lock()
	defer c.machine.mu.Unlock()
	return c.machine.node.Primary()
}
func (c *core) HandleEndpointReport(context.Context, registry.Endpoint) error { return nil }
func (c *core) EndpointService(string) string                                 { return "" }

// answer is what an operator got of a call; status 0: nothing within a second or more.
type answer struct {
	status   int
	location string
	body     string
}

// call sends a call to one machine. Its answer may be lost.
func (s *stack) call(address, method, path, body, base string, lost bool) answer {
	m := s.running(address)
	time.Sleep(s.span(3*time.Millisecond, 9*time.Millisecond))
	if m == nil {
		time.Sleep(time.Second)
		return answer{}
	}
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	got := make(chan answer, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
		if base != "" {
			request.Header.Set("X-Base-Version", base)
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		got <- answer{recorder.Code, recorder.Header().Get("Location"), recorder.Body.String()}
	}()
	select {
	case a := <-got:
		if lost || s.running(address) != m {
			time.Sleep(time.Second)
			return answer{}
		}
		return a
	case <-time.After(time.Second):
		return answer{}
	}
}

// follow calls a machine, and twice whom it names.
func (s *stack) follow(address, method, path, body, base string, lost bool) answer {
	for range 3 {
		a := s.call(address, method, path, body, base, lost)
		if a.status != http.StatusTemporaryRedirect {
			return a
		}
		target, err := url.Parse(a.location)
		if err != nil {
			s.fail("%s names %s as the primary: %v", address, a.location, err)
			return answer{}
		}
		address, path = target.Host, target.RequestURI()
	}
	return answer{}
}

// any is the address of some machine of the operators' list.
func (s *stack) any() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order[s.random.IntN(len(s.order))]
}

// versionOf reads the version of a configuration.
func versionOf(text string) int64 {
	var document struct{ Version int64 }
	if err := json.Unmarshal([]byte(text), &document); err != nil {
		return -1
	}
	return document.Version
}

// servicesOf reads the names of a configuration's services.
func servicesOf(text string) map[string]bool {
	var document struct{ Services []struct{ Name string } }
	held := map[string]bool{}
	if json.Unmarshal([]byte(text), &document) == nil {
		for _, service := range document.Services {
			held[service.Name] = true
		}
	}
	return held
}
