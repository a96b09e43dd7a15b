// Package control serves the HTTP API of a router's control address: operators change and read the configuration, endpoints send
// heartbeats and deregister, and applications use the coordination service.
//
// Every router serves the API. A router that can't serve a call about the configuration, because it is not the primary, redirects
// the client to the primary. Endpoints may report to any router. The package keeps no state but a counter: the Delegate and the
// Coordinator execute the calls.
package control

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Delegate is the interface through which the API uses the rest of the router. Its methods are called concurrently.
type Delegate interface {
	// Submit commits a change of the configuration. Errors are those of replica.Replica.Submit, among them a *config.InvalidError.
	Submit(ctx context.Context, change *config.Change) error
	// Read returns the newest committed configuration. Errors are those of replica.Replica.Read.
	Read(ctx context.Context) (*config.Document, error)
	// PrimaryControl returns the number of the newest known view, and the control address of its primary; the address is empty if
	// it is not known.
	PrimaryControl() (view uint64, address string)
	// HandleEndpointReport applies an endpoint's heartbeat or deregistration. An error means that the endpoint's draining or
	// deregistration can't be acknowledged, because the other routers may not learn of it.
	HandleEndpointReport(ctx context.Context, endpoint registry.Endpoint) error
	// EndpointService returns the service of the endpoint with that ID, or an empty string if the endpoint is not known.
	EndpointService(id string) string
}

// Limits are bounds of calls. 0: the default.
type Limits struct {
	ChangeBytes int64 // size of a change of the configuration
	Watches     int   // that wait at once
}

// Server is the HTTP handler of the API.
type Server struct {
	delegate Delegate
	address  string // host and port of this API
	limits   Limits
	handler  *mux.Router

	Rejected atomic.Uint64 // calls that failed with a requestError, whose status is 4xx
}

// NewServer returns the handler of an API that is served at address, a host and port.
func NewServer(delegate Delegate, address string, limits Limits) *Server {
	if limits.ChangeBytes <= 0 {
		limits.ChangeBytes = defaultMaxChangeBytes
	}
	s := &Server{delegate: delegate, address: address, limits: limits, handler: mux.NewRouter()}
	s.handle(http.MethodPost, "/instances/{id}/heartbeat", s.heartbeat)
	s.handle(http.MethodPost, "/instances/{id}/deregister", s.deregister)
	s.handle(http.MethodPost, "/config/replace", s.submitChange(true))
	s.handle(http.MethodPost, "/config/modify", s.submitChange(false))
	s.handle(http.MethodGet, "/config/read", s.readConfig)
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// callHandler serves a call. If it returns an error it has not written a response: writeError writes it.
type callHandler func(http.ResponseWriter, *http.Request) error

func (s *Server) handle(method, path string, handler callHandler) {
	s.handler.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if err := handler(w, r); err != nil {
			s.writeError(w, r, err)
		}
	}).Methods(method)
}
