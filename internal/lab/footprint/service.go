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
	watchMost   = time.Minute // that a call may wait
	hostPort    = 18080
	hostsARow   = 250
	hostAddress = "127.63.%d.%d:%d" // of hosts that nobody sends to
)

// Service is a list service with so many hosts, of which one after the other restarts.
type Service struct {
	Addr  string
	calls atomic.Int64
	bytes atomic.Int64
	http  *http.Server
	done  chan struct{}

	mu       sync.Mutex
	hosts    []member
	revision int64
	changed  []int64 // by host, the revision of its last change
	news     chan struct{}
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
type answer struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// NewService serves a list of hosts at a free port until it is closed.
func NewService(hosts int) (*Service, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("gauge: list service: %w", err)
	}
	s := &Service{Addr: l.Addr().String(), done: make(chan struct{}), news: make(chan struct{}), revision: 1, changed: make([]int64, hosts)}
	for i := range hosts {
		s.changed[i] = 1
		s.hosts = append(s.hosts, member{fmt.Sprintf("host-%04d", i), fmt.Sprintf(hostAddress, i/hostsARow, 1+i%hostsARow, hostPort), "here", "std", 0, "Ready", 1, 0})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", s.members)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(&counting{l, &s.bytes}) }() // it ends with the listener
	return s, nil
}

// Close ends it, calls that wait included.
func (s *Service) Close() {
	close(s.done)
	_ = s.http.Close()
}

// At has a host be reached there.
func (s *Service) At(host int, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[host].Addr = addr
}

// Restart is news: that host has just started. It returns the revision that has it.
func (s *Service) Restart(host int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.hosts[host].UpSince = time.Now().UnixMilli()
	s.changed[host] = s.revision
	close(s.news)
	s.news = make(chan struct{})
	return s.revision
}

// Taken are the calls so far, and the bytes both ways with their heads but without TCP's.
func (s *Service) Taken() (calls, bytes int64) { return s.calls.Load(), s.bytes.Load() }

// Whole is the size of a whole list's body, in bytes.
func (s *Service) Whole() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, _ := json.Marshal(s.since(0)) // all of it is plain
	return len(text)
}

func (s *Service) members(w http.ResponseWriter, req *http.Request) {
	s.calls.Add(1)
	q := req.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64) // none is 0: the whole list
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	over := time.NewTimer(min(time.Duration(wait)*time.Millisecond, watchMost))
	defer over.Stop()
	for late := since == 0; ; {
		s.mu.Lock()
		if late || s.revision > since {
			text, _ := json.Marshal(s.since(since))
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(text) // who has gone needs none
			return
		}
		news := s.news
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
func (s *Service) since(revision int64) answer {
	out := answer{Revision: s.revision, Complete: revision == 0, Members: []member{}}
	for i, at := range s.changed {
		if at > revision {
			out.Members = append(out.Members, s.hosts[i])
		}
	}
	return out
}

// counting is a listener that counts what its connections carry.
type counting struct {
	net.Listener
	bytes *atomic.Int64
}

func (c *counting) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{conn, c.bytes}, nil
}

type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
