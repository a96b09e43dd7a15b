package stubfleet

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/version"
)

const (
	maxWatch      = time.Minute // maximum wait of a call
	firstHostPort = 10_000      // of hosts, at which nobody listens
)

// Service is a list service for thousands of sidecars, over HTTP/1.1 on real sockets, which counts its calls. It keeps the history
// of its list, so that a watch gets what is newer than its revision. The service of package loopback belongs to a scenario: it
// makes each answer for one sidecar of a plan, and records each call in the trace. Here an answer is made once for all calls for
// the same, or the stub service would cost more than what it measures.
type Service struct {
	capacity   *model.ListService // nil: unlimited
	capacityMu sync.Mutex         // guards capacity

	mu        sync.Mutex
	hosts     []host
	history   []revision       // of revision 1 and so on
	answers   map[int64][]byte // of the current revision, by the revision that the caller has
	changed   chan struct{}    // closed and replaced with each change
	treatment func(Call) Treatment
}

// host is a listed host, with the revision of its last change.
type host struct {
	cluster.Member
	revision int64
}

// revision is one entry of the history of the list.
type revision struct {
	at     time.Duration // by monotonicNow
	digest version.Digest
}

// Call identifies a call.
type Call struct {
	Frontend string // name
	Conn     int64  // number of its connection at the frontend, from 1
	Sequence int64  // number of the call at the frontend, from 1
	Target   string
}

// Treatment is how a call is treated.
type Treatment int

// The treatments of a call.
const (
	Respond Treatment = iota
	Reject            // 503 at once
	Abort             // closes the connection without an answer
	Hang              // no answer until the caller disconnects
)

// NewService makes a service with a number of hosts, all ready. Its capacity is unlimited if nil.
func NewService(hosts int, capacity *model.ListService) *Service {
	s := &Service{capacity: capacity, answers: map[int64][]byte{}, changed: make(chan struct{})}
	for i := range hosts {
		s.hosts = append(s.hosts, host{cluster.Member{ID: fmt.Sprintf("host-%05d", i), Addr: fmt.Sprintf("127.0.0.1:%d", firstHostPort+i), Zone: zoneNames[i%len(zoneNames)],
			Kind: kindNames[0], State: balance.Ready, Weight: 1, UpSince: 1764633600 * time.Second}, 1})
	}
	s.recordRevision()
	return s
}

// recordRevision appends the current list to the history. The caller holds mu, or is the only one with the service.
func (s *Service) recordRevision() {
	var all cluster.List
	for _, h := range s.hosts {
		all.Members = append(all.Members, h.Member)
	}
	s.history = append(s.history, revision{monotonicNow(), all.Digest()})
}

// Change marks the next host in turn as restarted, and returns the new revision.
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

// SetTreatment has f decide on the treatment of all further calls; nil: all are answered.
func (s *Service) SetTreatment(f func(Call) Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treatment = f
}

// Reset begins a new history, as a restart of the service does.
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

// await returns the answer to a caller with the list of a revision, 0 being none: as soon as there is a newer one, or after the
// wait. It returns false if ctx is done before.
func (s *Service) await(ctx context.Context, since int64, wait time.Duration) ([]byte, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait == 0
	for {
		s.mu.Lock()
		if now := int64(len(s.history)); expired || since < 1 || since != now {
			text := s.answer(since)
			s.mu.Unlock()
			return text, true
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// answer returns the complete list, or what is newer than a revision of the history. The caller holds mu.
func (s *Service) answer(since int64) []byte {
	if text := s.answers[since]; text != nil {
		return text
	}
	now := int64(len(s.history))
	complete := since < 1 || since > now
	b := fmt.Appendf(nil, `{"revision":%d,"complete":%t,"members":[`, now, complete)
	for _, h := range s.hosts {
		if complete || h.revision > since {
			b = fmt.Appendf(b, `{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":0,"phase":"Ready","size":1,"up_since_ms":%d},`,
				h.ID, h.Addr, h.Zone, h.Kind, h.UpSince.Milliseconds())
		}
	}
	b = append(bytes.TrimSuffix(b, []byte(",")), "]}"...)
	s.answers[since] = b
	return b
}

// acquireCapacity waits for a call's turn, and reports false if the queue is full.
func (s *Service) acquireCapacity(ctx context.Context) bool {
	if s.capacity == nil {
		return true
	}
	s.capacityMu.Lock()
	now := monotonicNow()
	answeredAt, accepted := s.capacity.Call(now, 1)
	s.capacityMu.Unlock()
	if !accepted {
		return false
	}
	t := time.NewTimer(answeredAt - now)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return true
}
