// Package gauge measures what one sidecar's control costs: real processes against a list service on loopback whose size, news
// and bytes are known. It fits nothing; internal/lab/scalefit does.
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
	maxWait        = time.Minute // that a call may wait
	hostPort       = 18080
	hostsPerSubnet = 250
	hostAddrFormat = "127.63.%d.%d:%d" // of hosts that nobody sends to
)

// DiscoveryService is a list service with so many hosts, of which one after the other restarts.
type DiscoveryService struct {
	Addr  string
	polls atomic.Int64
	bytes atomic.Int64
	http  *http.Server
	done  chan struct{}

	mu        sync.Mutex
	hosts     []member
	revision  int64
	changedAt []int64 // by host, the revision of its last change
	updated   chan struct{}
}

// member is a host as the service words it.
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

// answer is what a call gets.
type memberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// NewDiscoveryService serves a list of hosts at a free port until it is closed.
func NewDiscoveryService(hosts int) (*DiscoveryService, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("gauge: list service: %w", err)
	}
	s := &DiscoveryService{Addr: l.Addr().String(), done: make(chan struct{}), updated: make(chan struct{}), revision: 1, changedAt: make([]int64, hosts)}
	for i := range hosts {
		s.changedAt[i] = 1
		s.hosts = append(s.hosts, member{fmt.Sprintf("host-%04d", i), fmt.Sprintf(hostAddrFormat, i/hostsPerSubnet, 1+i%hostsPerSubnet, hostPort), "here", "std", 0, "Ready", 1, 0})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", s.serveMembers)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(&countingListener{l, &s.bytes}) }() // it ends with the listener
	return s, nil
}

// Close ends it, calls that wait included.
func (s *DiscoveryService) Close() {
	close(s.done)
	_ = s.http.Close()
}

// SetAddr has a host be reached there.
func (s *DiscoveryService) SetAddr(host int, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[host].Addr = addr
}

// RestartHost is news: that host has just started. It returns the revision that has it.
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

// Traffic are the calls so far, and the bytes both ways with their heads but without TCP's.
func (s *DiscoveryService) Traffic() (calls, bytes int64) { return s.polls.Load(), s.bytes.Load() }

// ListBytes is the size of a whole list's body, in bytes.
func (s *DiscoveryService) ListBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, _ := json.Marshal(s.changesSince(0)) // all of it is plain
	return len(text)
}

func (s *DiscoveryService) serveMembers(w http.ResponseWriter, req *http.Request) {
	s.polls.Add(1)
	q := req.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64) // none is 0: the whole list
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	over := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer over.Stop()
	for late := since == 0; ; {
		s.mu.Lock()
		if late || s.revision > since {
			text, _ := json.Marshal(s.changesSince(since))
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(text) // who has gone needs none
			return
		}
		news := s.updated
		s.mu.Unlock()
		select {
		case <-news:
		case <-over.C:
			late = true
		case <-req.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

// since is what is newer than a revision, of 0 all. The lock is held.
func (s *DiscoveryService) changesSince(revision int64) memberList {
	out := memberList{Revision: s.revision, Complete: revision == 0, Members: []member{}}
	for i, at := range s.changedAt {
		if at > revision {
			out.Members = append(out.Members, s.hosts[i])
		}
	}
	return out
}

// counting is a listener that counts what its connections carry.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c.bytes}, nil
}

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
