package loopback

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	maxWatch        = time.Minute             // that a call may wait
	moveGracePeriod = 1500 * time.Millisecond // for which an agent that has moved keeps the connections that it has
)

// agent is discovery as one sidecar sees it: what has been told of its tier, over HTTP/1.1.
type agent struct {
	run        *run
	sidecar    int
	done       chan struct{} // closed by close
	goroutines sync.WaitGroup

	mu           sync.Mutex
	catalog      *catalog
	notified     map[int]plan.Listed // what has been written to the sidecar, by box
	listVersions listVersions
	changed      chan struct{} // closed, and made anew, with every change that a waiting call must look at
	unresponsive bool
	closed       bool
	server       *http.Server // at the present address; nil while the service is down
	listener     net.Listener
	address      string
	faults       map[int]plan.ListFault
	staleCatalog *catalog // what is told while the service has an old list; nil: what is true
}

// newAgent makes a sidecar's, or with -1 the list service itself, which serves at addr from now on what the plan has at first.
func newAgent(r *run, sidecar int, addr string) (*agent, error) {
	tier := 0
	if sidecar >= 0 {
		tier = r.plan.Sidecars[sidecar].Tier
	}
	a := &agent{run: r, sidecar: sidecar, faults: map[int]plan.ListFault{}, done: make(chan struct{}), changed: make(chan struct{}),
		catalog: newCatalog(r.plan.First(tier)), notified: map[int]plan.Listed{}}
	if err := a.listen(addr); err != nil {
		return nil, err
	}
	return a, nil
}

// open serves at an address. Before the agent is in use, or with its lock held.
func (a *agent) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("live: discovery at %s: %w", addr, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveMembers)
	server := &http.Server{Handler: mux, ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			a.run.recorder.addConnection(trace.Connection{At: a.run.elapsed(), Endpoint: -1, Sidecar: a.sidecar})
		}
	}}
	a.server, a.listener, a.address = server, l, addr
	a.goroutines.Go(func() { _ = server.Serve(l) }) // it ends with the listener
	return nil
}

// tell is a change that has reached the agent.
func (a *agent) update(l plan.Listed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.catalog.update(l)
	a.notifyWaiters()
}

// silence has it answer nothing while on. It takes connections and requests all the same, and answers those
// that are still there when it is off again.
func (a *agent) setUnresponsive(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsive = on
	a.notifyWaiters()
}

// wake has the calls that wait look again. The lock is held.
func (a *agent) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// move has it serve at another address. The old one takes no new connections, and loses those that it has
// after a while.
func (a *agent) moveTo(addr string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.server == nil { // it is down, and comes back there
		a.address = addr
		return nil
	}
	old, door := a.server, a.listener
	if err := a.listen(addr); err != nil {
		return err
	}
	door.Close()
	a.goroutines.Go(func() {
		defer old.Close()
		wait := time.NewTimer(moveGracePeriod)
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-a.done:
		}
	})
	return nil
}

// close ends it, calls that wait included.
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

// list is an answer.
type listResponse struct {
	Revision int64            `json:"revision"`
	Complete bool             `json:"complete"`
	Members  []map[string]any `json:"members"`
}

// members answers a call for the list or its changes.
func (a *agent) serveMembers(w http.ResponseWriter, req *http.Request) {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.goroutines.Add(1)
	a.mu.Unlock()
	defer a.goroutines.Done()

	var since int64 // of a call for the whole list; no revision is 0
	var wait time.Duration
	q := req.URL.Query()
	if q.Has("since") {
		var err, wrong error
		var ms uint64
		since, err = strconv.ParseInt(q.Get("since"), 10, 64)
		if q.Has("timeout_ms") {
			ms, wrong = strconv.ParseUint(q.Get("timeout_ms"), 10, 31)
		}
		if err != nil || wrong != nil {
			http.Error(w, "since and timeout_ms are whole numbers", http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWatch)
	}
	asked := trace.DiscoveryPoll{At: a.run.elapsed(), Sidecar: a.sidecar, Watch: q.Has("since"), SinceRevision: since, Outcome: trace.PollAbandoned}
	defer func() {
		asked.Duration = a.run.elapsed() - asked.At
		a.run.recorder.addPoll(asked)
	}()
	if !a.admit(w, req, &asked) {
		return
	}
	answer, entries, ok := a.awaitChange(req, since, wait)
	if !ok {
		panic(http.ErrAbortHandler) // nobody is to take what comes for an answer
	}
	wrong := a.corrupt(&answer)
	text, err := json.Marshal(answer)
	if err != nil {
		panic(err) // all of it is plain
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if a.shouldCut() {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	if a.run.plan.Operators() {
		a.recordVersion(&asked, answer)
	}
	asked.RespondedAt = a.run.elapsed()
	if _, err := w.Write(text); err == nil && http.NewResponseController(w).Flush() == nil {
		asked.Outcome = trace.PollAnswered
		if wrong || a.sidecar < 0 {
			return // what no service should have said binds nobody
		}
		a.recordNotifications(entries, answer.Complete, q.Has("since"))
	}
}

// await returns an answer as soon as there is something newer, the revision is unknown or the wait is over;
// but not while discovery is silent. It returns false if there is nobody to answer any more.
func (a *agent) awaitChange(req *http.Request, since int64, wait time.Duration) (listResponse, []plan.Listed, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	late := wait == 0
	for {
		a.mu.Lock()
		if c := a.servedCatalog(); !a.unresponsive && (late || !c.hasRevision(since) || c.revision > since) {
			answer, entries := a.response(since)
			a.mu.Unlock()
			return answer, entries, true
		}
		news := a.changed
		a.mu.Unlock()
		select {
		case <-news:
		case <-timer.C:
			late = true
		case <-req.Context().Done():
			return listResponse{}, nil, false
		case <-a.done:
			return listResponse{}, nil, false
		}
	}
}

// answer is the whole list or what is newer than a revision, as JSON has it and as the plan does. The lock is
// held.
func (a *agent) response(since int64) (listResponse, []plan.Listed) {
	c := a.servedCatalog()
	out := listResponse{Revision: c.revision, Complete: a.run.plan.Scenario.Discovery.Whole || !c.hasRevision(since)}
	entries := c.changesSince(since)
	if out.Complete {
		entries = c.members()
	}
	out.Members = a.run.memberDocuments(a.sidecar, entries)
	return out, entries
}

// written notes what the sidecar has heard by an answer: all of it if it asked for the list, as it does when
// it starts; otherwise what is new to it, and by a whole list also which entries are gone.
func (a *agent) recordNotifications(entries []plan.Listed, complete, watching bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.run.elapsed()
	gone := map[int]plan.Listed{}
	if complete {
		gone, a.notified = a.notified, map[int]plan.Listed{}
	}
	for _, l := range entries {
		before, had := gone[l.Box]
		if !complete {
			before, had = a.notified[l.Box]
		}
		delete(gone, l.Box)
		a.notified[l.Box] = l
		if !had || before != l || !watching {
			a.addNotification(at, l)
		}
	}
	for box, l := range gone {
		if l.Phase != trace.PhaseGone {
			a.addNotification(at, plan.Listed{Box: box, Phase: trace.PhaseGone})
		}
	}
}

func (a *agent) addNotification(at time.Duration, l plan.Listed) {
	a.run.recorder.addNotification(trace.Notification{At: at, Sidecar: a.sidecar, Endpoint: l.Box, Phase: l.Phase, UpSince: l.UpSince})
}
