package loopback

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	maxWatch        = time.Minute             // that a poll may wait
	moveGracePeriod = 1500 * time.Millisecond // for which an agent that has moved keeps its old connections
)

// agent is discovery as one sidecar sees it: it serves the endpoint list of the sidecar's tier over HTTP/1.1, with long polls for
// changes.
type agent struct {
	run        *run
	sidecar    int           // -1 is the list service as auditors call it
	done       chan struct{} // closed by close
	goroutines sync.WaitGroup

	mu           sync.Mutex
	catalog      *catalog
	staleCatalog *catalog               // served while a fault has the service stale; nil otherwise
	notified     map[int]plan.ListEntry // what has been written to the sidecar, by endpoint
	listVersions listVersions
	changed      chan struct{} // closed and replaced with every change that a waiting poll must look at
	unresponsive bool
	closed       bool
	server       *http.Server // at the present address; nil while the service is down
	listener     net.Listener
	address      string
	faults       map[int]plan.ListFault // in force, by their numbers in the plan
}

// newAgent makes a sidecar's agent, or with -1 the list service itself, which serves the plan's first list at an address from now
// on. An error is that of listening.
func newAgent(r *run, sidecar int, address string) (*agent, error) {
	tier := 0
	if sidecar >= 0 {
		tier = r.plan.Sidecars[sidecar].Tier
	}
	a := &agent{
		run:      r,
		sidecar:  sidecar,
		done:     make(chan struct{}),
		catalog:  newCatalog(r.plan.InitialMembers(tier)),
		notified: map[int]plan.ListEntry{},
		changed:  make(chan struct{}),
		faults:   map[int]plan.ListFault{},
	}
	if err := a.listen(address); err != nil {
		return nil, err
	}
	return a, nil
}

// listen serves at an address. The lock is held, unless the agent is not in use yet.
func (a *agent) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("loopback: discovery at %s: %w", address, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveMembers)
	server := &http.Server{Handler: mux, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			a.run.recorder.addConnection(trace.Connection{At: a.run.elapsed(), Endpoint: -1, Sidecar: a.sidecar})
		}
	}}
	a.server, a.listener, a.address = server, listener, address
	a.goroutines.Go(func() { _ = server.Serve(listener) }) // it returns when the listener is closed
	return nil
}

// update applies a change that has reached the agent.
func (a *agent) update(listed plan.ListEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.catalog.update(listed)
	a.notifyWaiters()
}

// setUnresponsive has it answer nothing while on. It accepts connections and requests all the same, and answers those that are still
// there when it is off again.
func (a *agent) setUnresponsive(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = on
	a.notifyWaiters()
}

// notifyWaiters has the polls that wait look again. The lock is held.
func (a *agent) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// moveTo has it serve at another address. The old one accepts no new connections, and loses those that it has after a while.
func (a *agent) moveTo(address string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server == nil { // it is down, and comes back there
		a.address = address
		return nil
	}
	oldServer, oldListener := a.server, a.listener
	if err := a.listen(address); err != nil {
		return err
	}
	oldListener.Close()
	a.goroutines.Go(func() {
		defer oldServer.Close()
		sleep(moveGracePeriod, a.done, nil)
	})
	return nil
}

// close ends it, polls that wait included, and waits for its goroutines.
func (a *agent) close() {
	a.mu.Lock()
	a.closed = true
	close(a.done)
	if a.server != nil {
		a.server.Close()
	}
	a.mu.Unlock()
	a.goroutines.Wait()
}

// enter registers a call with close; false if the agent is closed. The caller calls a.goroutines.Done at its end.
func (a *agent) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.goroutines.Add(1)
	return true
}
