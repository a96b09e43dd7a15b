// Package fake is a sidecar that breaks rules on purpose, so that the judges can be seen to find it. It reads
// the configuration that the real one reads, takes requests over HTTP/1.1, follows discovery and sends to the
// listed boxes in turn. Without a fault it keeps the rules, as long as no script stops it in the middle of a
// run: it ends at once then.
package faultysidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/config"
)

// Fault is what a fake does wrong.
type Fault string

// The faults, as Variable words them.
const (
	Honest              Fault = "honest"
	AnswersTwice        Fault = "answers-twice"
	RepeatsUnsafe       Fault = "repeats-unsafe"        // sends an unsafe request to a second box after the first has served it
	IgnoresDrain        Fault = "ignores-drain"         // goes on sending to boxes that are draining or gone
	FloodsCold          Fault = "floods-cold"           // sends all to the box that started last
	Forges              Fault = "forges"                // answers 200 by itself
	Loses               Fault = "loses"                 // takes a request and never answers
	RefusesAfterRunning Fault = "refuses-after-running" // answers 503 to an unsafe request that a box has served
)

// Variable is the environment's that names the fault; a program that embeds the fake runs it where this is set.
const Variable = "PINELAB_FAKE"

const (
	everyNth     = 5                      // request is hit by the faults that need no special one
	attemptsMost = 3                      // below every scenario's
	spare        = 150 * time.Millisecond // of a request's time, for the answer
	connect      = 75 * time.Millisecond  // until a connection has to be up
	endWithin    = 500 * time.Millisecond // for the last answers, once it is to end
)

// Main runs the fake as a process, by the environment, until SIGTERM, and returns its exit status.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cfg, err := config.Load(os.Getenv)
	if err == nil {
		err = Serve(ctx, cfg.Listen, cfg.Discovery, Fault(os.Getenv(Variable)))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// Serve runs a fake on listen, with discovery's agent at that address, until ctx ends. Both are host:port. An
// error is an address that can't be listened on or an unknown fault.
func Serve(ctx context.Context, listen, discovery string, fault Fault) error {
	switch fault {
	case Honest, AnswersTwice, RepeatsUnsafe, IgnoresDrain, FloodsCold, Forges, Loses, RefusesAfterRunning:
	default:
		return fmt.Errorf("fake: %q is no fault", fault)
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("fake: %w", err)
	}
	p := &proxy{fault: fault, hosts: hosts{fault: fault}, to: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: connect}).DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}}
	srv := &http.Server{Handler: p, ReadHeaderTimeout: 2 * time.Second}
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		p.hosts.watch(ctx, discovery)
	}()
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	<-ctx.Done()
	last, cancel := context.WithTimeout(context.Background(), endWithin)
	defer cancel()
	if srv.Shutdown(last) != nil {
		_ = srv.Close() // what is held now is one that it loses
	}
	<-watching
	p.to.CloseIdleConnections()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("fake: %w", err)
	}
	return nil
}

// proxy is the side that callers see.
type proxy struct {
	fault Fault
	hosts hosts
	to    *http.Client
	count atomic.Uint64
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		if !p.hosts.known() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	req, err := readRequest(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hit := p.count.Add(1)%everyNth == 0
	if hit && p.fault == Loses {
		<-r.Context().Done() // until the caller has gone
		return
	}
	if hit && p.fault == Forges {
		fmt.Fprint(w, "all is well, and nobody was asked")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.left-spare)
	defer cancel()
	a := p.serve(ctx, req)
	if req.unsafe() && a.code == http.StatusOK {
		switch p.fault {
		case RepeatsUnsafe:
			p.attempt(ctx, req, p.hosts.next())
		case RefusesAfterRunning:
			a = answer{code: http.StatusServiceUnavailable}
		}
	}
	if hit && p.fault == AnswersTwice {
		twice(w, a)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.code)
	_, _ = w.Write(a.body) // a caller that has gone gets nothing
}

// serve sends a request until it is served or may not be sent again.
func (p *proxy) serve(ctx context.Context, req *request) answer {
	harmless := true
	for range attemptsMost {
		host := p.hosts.next()
		if host == "" || ctx.Err() != nil {
			break
		}
		a, outcome := p.attempt(ctx, req, host)
		if outcome == served {
			return a
		}
		if outcome == mayHaveRun && req.method != http.MethodGet {
			harmless = req.key != ""
			break
		}
	}
	if harmless {
		return answer{code: http.StatusServiceUnavailable}
	}
	return answer{code: http.StatusBadGateway}
}

// twice writes a whole answer two times over, in one piece, and ends the connection.
func twice(w http.ResponseWriter, a answer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	one := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", a.code, http.StatusText(a.code), len(a.body), a.body)
	_, _ = conn.Write(append(one, one...)) // a caller that has gone gets nothing
}
