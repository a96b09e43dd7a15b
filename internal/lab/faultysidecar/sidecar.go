// Package faultysidecar is a sidecar that breaks rules on purpose, so that tests can show that package judge detects it. It reads the
// configuration that the real one reads, serves requests over HTTP/1.1, follows discovery and sends to the listed endpoints in turn.
// Without a fault it keeps the rules, as long as no script stops it in the middle of a run: it exits at once then.
//
// Only tests of the lab use it, as a process of its own (Main) or in theirs (Serve).
package faultysidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/config"
)

// Fault is what the sidecar does wrong.
type Fault string

// The faults, by their values of EnvVariable.
const (
	NoFault             Fault = "honest"
	DuplicatesResponses Fault = "answers-twice"
	RetriesUnsafe       Fault = "repeats-unsafe"        // sends an unsafe request to a second endpoint after the first has served it
	IgnoresDrain        Fault = "ignores-drain"         // goes on sending to endpoints that are draining or gone
	OverloadsCold       Fault = "floods-cold"           // sends everything to the endpoint that started last
	ForgesResponses     Fault = "forges"                // answers 200 by itself
	DropsRequests       Fault = "loses"                 // accepts a request and never answers
	RejectsAfterRunning Fault = "refuses-after-running" // answers 503 to an unsafe request that an endpoint has served
)

// EnvVariable is the environment variable that names the fault; a program that embeds the sidecar runs it if this is set.
const EnvVariable = "PINELAB_FAKE"

// ErrUnknownFault says that there is no such fault.
var ErrUnknownFault = errors.New("faultysidecar: unknown fault")

const (
	connectTimeout     = 75 * time.Millisecond
	readHeaderTimeout  = 2 * time.Second
	idleTimeout        = 5 * time.Second        // of connections to endpoints
	maxIdlePerEndpoint = 64                     // connections
	shutdownTimeout    = 500 * time.Millisecond // for the requests in flight
)

// Main runs the sidecar as a process, by the environment, until SIGTERM, and returns its exit status.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cfg, err := config.Load(os.Getenv)
	if err == nil {
		err = Serve(ctx, cfg.Listen, cfg.Discovery, Fault(os.Getenv(EnvVariable)))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// Serve runs a sidecar on listen, with discovery's agent at that address, both host:port, until ctx ends. Errors are ErrUnknownFault,
// wrapped, and those of listening.
func Serve(ctx context.Context, listen, discovery string, fault Fault) error {
	switch fault {
	case NoFault, DuplicatesResponses, RetriesUnsafe, IgnoresDrain, OverloadsCold, ForgesResponses, DropsRequests, RejectsAfterRunning:
	default:
		return fmt.Errorf("%w: %q", ErrUnknownFault, fault)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("faultysidecar: %w", err)
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
	}}
	defer client.CloseIdleConnections()
	p := &proxy{fault: fault, endpoints: endpointList{fault: fault}, client: client}
	server := &http.Server{Handler: p, ReadHeaderTimeout: readHeaderTimeout}
	followerDone := make(chan struct{})
	go func() {
		defer close(followerDone)
		p.endpoints.follow(ctx, discovery)
	}()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		server.Close() // what is in flight now is a request that it drops
	}
	<-followerDone
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("faultysidecar: %w", err)
	}
	return nil
}
