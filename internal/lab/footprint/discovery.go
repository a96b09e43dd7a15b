package footprint

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxWait        = time.Minute // of a long poll
	hostPort       = 18080
	hostsPerSubnet = 250
	hostAddrFormat = "127.63.%d.%d:%d" // of hosts that get no requests
)

// DiscoveryService is a discovery service with a list of hosts that can be restarted. It is safe for concurrent use.
type DiscoveryService struct {
	Addr   string
	polls  atomic.Int64
	bytes  atomic.Int64
	server *http.Server
	closed chan struct{}

	mu        sync.Mutex // guards the rest
	hosts     []member
	revision  int64
	changedAt []int64       // by host, the revision of its last change
	updated   chan struct{} // closed by the next change
}

// member is a host in the service's protocol.
type member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Weight  float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`
}

// memberList is the response to a poll.
type memberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // not only the changes since a revision
	Members  []member `json:"members"`
}

// makeMembers returns hosts at addresses of their own at which nothing listens.
func makeMembers(n int) []member {
	var members []member
	for i := range n {
		members = append(members, member{
			ID:     fmt.Sprintf("host-%04d", i),
			Addr:   fmt.Sprintf(hostAddrFormat, i/hostsPerSubnet, 1+i%hostsPerSubnet, hostPort),
			Zone:   "here",
			Kind:   "std",
			Phase:  "Ready",
			Weight: 1,
		})
	}
	return members
}

// NewDiscoveryService serves a list of hosts at a free port. The caller has to Close it.
func NewDiscoveryService(hosts int) (*DiscoveryService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("footprint: discovery service: %w", err)
	}
	s := &DiscoveryService{
		Addr:      listener.Addr().String(),
		closed:    make(chan struct{}),
		hosts:     makeMembers(hosts),
		revision:  1,
		changedAt: make([]int64, hosts),
		updated:   make(chan struct{}),
	}
	for i := range s.changedAt {
		s.changedAt[i] = s.revision
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", s.serveMembers)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(&countingListener{listener, &s.bytes}) }() // until Close
	return s, nil
}

// Close closes the service and its connections, those of long polls included.
func (s *DiscoveryService) Close() {
	close(s.closed)
	_ = s.server.Close()
}

// SetAddr sets the address of a host. It is no change of the list: call it before the first poll.
func (s *DiscoveryService) SetAddr(host int, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[host].Addr = addr
}

// RestartHost changes the list: that host has just started. It returns the revision with the change.
func (s *DiscoveryService) RestartHost(host int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.hosts[host].UpSince = time.Now().UnixMilli()
	s.changedAt[host] = s.revision
	close(s.updated)
	s.updated = make(chan struct{})
	return s.revision
}

// Traffic returns the number of polls so far, and the bytes in both directions with HTTP's headers but without TCP's.
func (s *DiscoveryService) Traffic() (polls, bytes int64) { return s.polls.Load(), s.bytes.Load() }

// ListBytes returns the size of a complete list's body.
func (s *DiscoveryService) ListBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.changesSince(0))
}

// serveMembers answers a poll: at once with the complete list, or with the changes since a revision as soon as there are
// any, at the latest after timeout_ms.
func (s *DiscoveryService) serveMembers(w http.ResponseWriter, req *http.Request) {
	s.polls.Add(1)
	query := req.URL.Query()
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64) // none is 0: the complete list
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for answerNow := since == 0; ; {
		s.mu.Lock()
		if answerNow || s.revision > since {
			body := s.changesSince(since)
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body) // fails if the client has gone
			return
		}
		updated := s.updated
		s.mu.Unlock()
		select {
		case <-updated:
		case <-timeout.C:
			answerNow = true
		case <-req.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

// changesSince returns the body with the hosts that changed after a revision, for 0 with all. s.mu is held.
func (s *DiscoveryService) changesSince(revision int64) []byte {
	list := memberList{Revision: s.revision, Complete: revision == 0, Members: []member{}}
	for i, changedAt := range s.changedAt {
		if changedAt > revision {
			list.Members = append(list.Members, s.hosts[i])
		}
	}
	body, _ := json.Marshal(list) // no value that JSON lacks
	return body
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept accepts a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.bytes}, nil
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
