package stubfleet

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxWatch = time.Minute // that a call may wait
	firstHostPort = 10_000      // of hosts, which nobody plays
)

// Service is a list service for thousands of sidecars, over HTTP/1.1 on real sockets, which counts what it is asked. It keeps the
// history of its list, so that a watch gets what is newer than its revision.
//
// The service of package live belongs to a play: each answer is made for one sidecar of a plan, and each call is kept in the
// trace. Here an answer is made once for all that ask for the same, or the stand-in would cost more than what it measures.
type Service struct {
	capacity *model.Listing // nil: there is no bound
	capacityMu   sync.Mutex     // of capacity

	mu      sync.Mutex
	hosts   []host
	history []revision       // the first one at 0
	answers map[int64][]byte // of the present revision, by the one that is asked for
	changed    chan struct{}    // closed, and made anew, with each change
	treatment   func(Call) Treatment
}

// host is one that is listed, and when it has changed last.
type host struct {
	cluster.Member
	revision int64
}

// revision is a list that the service has had.
type revision struct {
	at     time.Duration // by clock
	digest version.Digest
}

// CallTime is one that has come.
type Call struct {
	Frontend  string // where it came
	Conn   int64  // number of its connection there, from 1
	Sequence     int64  // of the call there, from 1
	Target string
}

// Treatment is what becomes of a call.
type Treatment int

// The treatments.
const (
	Respond Treatment = iota
	Reject             // 503 at once
	Abort            // the connection ends without an answer
	Hang            // nothing, until the caller leaves
)

// NewService makes a service with so many hosts, all ready. Capacity is its bound; nil is none.
func NewService(hosts int, capacity *model.Listing) *Service {
	s := &Service{capacity: capacity, answers: map[int64][]byte{}, changed: make(chan struct{})}
	for i := range hosts {
		s.hosts = append(s.hosts, host{cluster.Member{ID: fmt.Sprintf("host-%05d", i), Addr: fmt.Sprintf("127.0.0.1:%d", firstHostPort+i), Zone: zoneNames[i%len(zoneNames)],
			Kind: kindNames[0], State: balance.Ready, Weight: 1, UpSince: 1764633600 * time.Second}, 1})
	}
	s.recordRevision()
	return s
}

// note enters the present list into the history. The lock is held, or nobody else has the service yet.
func (s *Service) recordRevision() {
	var all cluster.List
	for _, h := range s.hosts {
		all.Members = append(all.Members, h.Member)
	}
	s.history = append(s.history, revision{monotonicNow(), all.Digest()})
}

// Change has the next host in turn be told as restarted, and returns the revision at which it is.
func (s *Service) Change() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := int64(len(s.history)) + 1
	h := &s.hosts[int(now)%len(s.hosts)]
	h.UpSince += time.Second
	h.revision = now
	s.recordRevision()
	clear(s.answers)
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// SetTreatment has calls be treated as f says from now on; nil: all are answered.
func (s *Service) SetTreatment(f func(Call) Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treatment = f
}

// Reset has it begin its history anew, as one does that has restarted.
func (s *Service) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.hosts {
		s.hosts[i].revision = 1
	}
	s.history = nil
	s.recordRevision()
	clear(s.answers)
	close(s.changed)
	s.changed = make(chan struct{})
}

// await returns the answer to who has a list of that revision, 0 being none: as soon as there is something newer, or once the wait
// is over. It returns false if ctx ends before.
func (s *Service) await(ctx context.Context, since int64, wait time.Duration) ([]byte, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	late := wait == 0
	for {
		s.mu.Lock()
		if now := int64(len(s.history)); late || since < 1 || since != now {
			text := s.answer(since)
			s.mu.Unlock()
			return text, true
		}
		news := s.changed
		s.mu.Unlock()
		select {
		case <-news:
		case <-timer.C:
			late = true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// answer is the whole list, or what is newer than a revision that there has been. The lock is held.
func (s *Service) answer(since int64) []byte {
	if text := s.answers[since]; text != nil {
		return text
	}
	now := int64(len(s.history))
	whole := since < 1 || since > now
	b := fmt.Appendf(nil, `{"revision":%d,"complete":%t,"members":[`, now, whole)
	for _, h := range s.hosts {
		if whole || h.revision > since {
			b = fmt.Appendf(b, `{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":0,"phase":"Ready","size":1,"up_since_ms":%d},`,
				h.ID, h.Addr, h.Zone, h.Kind, h.UpSince.Milliseconds())
		}
	}
	b = append(bytes.TrimSuffix(b, []byte(",")), "]}"...)
	s.answers[since] = b
	return b
}

// Frontend is one address of the service, with counts of its own.
type Frontend struct {
	service *Service
	name    string
	addr    string
	server  *http.Server // nil: it is down
	serving sync.WaitGroup

	calls, rejected, conns, in, out atomic.Int64
}

// Counts are what a front has been asked so far. Bytes are those of HTTP, without TCP's own.
type Counts struct{ Calls, Rejected, Connections, In, Out int64 }

// Open opens a front of that name on a free loopback address.
func (s *Service) Open(name string) (*Frontend, error) {
	f := &Frontend{service: s, name: name, addr: "127.0.0.1:0"}
	return f, f.Up()
}

// Up has it listen where it listened before.
func (f *Frontend) Up() error {
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		return fmt.Errorf("hollow: list service: %w", err)
	}
	f.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", f.members)
	f.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c.(*countingConn).number)
	}}
	server := f.server
	f.serving.Go(func() { _ = server.Serve(&countingListener{l, f}) }) // it ends with the server
	return nil
}

// Outage ends its connections and refuses new ones.
func (f *Frontend) Down() {
	if f.server != nil {
		_ = f.server.Close() // its connections are gone either way
		f.server = nil
	}
	f.serving.Wait()
}

// Counts returns them.
func (f *Frontend) Counts() Counts {
	return Counts{f.calls.Load(), f.rejected.Load(), f.conns.Load(), f.in.Load(), f.out.Load()}
}

type connKey struct{}

func (f *Frontend) members(w http.ResponseWriter, req *http.Request) {
	call := Call{Frontend: f.name, Conn: req.Context().Value(connKey{}).(int64), Sequence: f.calls.Add(1), Target: req.RequestURI}
	since, wait, ok := parseWatch(req)
	if !ok {
		http.Error(w, "since and timeout_ms are whole numbers", http.StatusBadRequest)
		return
	}
	f.service.mu.Lock()
	treat := f.service.treatment
	f.service.mu.Unlock()
	if treat != nil {
		switch treat(call) {
		case Reject:
			f.reject(w)
			return
		case Abort:
			panic(http.ErrAbortHandler)
		case Hang:
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if !f.service.acquireCapacity(req.Context()) {
		f.reject(w)
		return
	}
	text, ok := f.service.await(req.Context(), since, wait)
	if !ok {
		panic(http.ErrAbortHandler) // nobody is there to take an answer
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // who has left asks again
}

func (f *Frontend) reject(w http.ResponseWriter) {
	f.rejected.Add(1)
	http.Error(w, "the list service has no room", http.StatusServiceUnavailable)
}

// asked reads a call: since 0 asks for the whole list.
func parseWatch(req *http.Request) (since int64, wait time.Duration, ok bool) {
	q := req.URL.Query()
	if !q.Has("since") {
		return 0, 0, true
	}
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	ms, wrong := strconv.ParseUint(q.Get("timeout_ms"), 10, 31)
	return since, min(time.Duration(ms)*time.Millisecond, maxWatch), err == nil && wrong == nil
}

// admit has a call wait for its part of the capacity; false if there is none for it.
func (s *Service) acquireCapacity(ctx context.Context) bool {
	if s.capacity == nil {
		return true
	}
	s.capacityMu.Lock()
	now := monotonicNow()
	answered, room := s.capacity.Ask(now, 1)
	s.capacityMu.Unlock()
	if !room {
		return false
	}
	t := time.NewTimer(answered - now)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return true
}

// counting counts connections and their bytes.
type countingListener struct {
	net.Listener
	frontend *Frontend
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.frontend, l.frontend.conns.Add(1)}, nil
}

type countingConn struct {
	net.Conn
	frontend *Frontend
	number    int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.frontend.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.frontend.out.Add(int64(n))
	return n, err
}
