// Package control serves the HTTP API of a router's control address: operators change and read the configuration, and
// endpoints send heartbeats and deregister.
//
// Every router serves the API. One that can't serve a call about the configuration, because it is not the primary, redirects
// the caller to the primary. Endpoints may report to any router. The package has no state but a counter: decisions are the
// Delegate's.
package control

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Delegate is what the API needs of the rest of the router. Its methods are called by several goroutines.
type Delegate interface {
	// Submit has a change of the configuration committed. Errors are package replica's, or a config.InvalidError.
	Submit(ctx context.Context, change *config.Change) error
	// Read returns the newest committed configuration. Errors are package replica's.
	Read(ctx context.Context) (*config.Document, error)
	// PrimaryControl returns the number of the newest view that is known, and the control address of its primary, which
	// takes changes; empty where that is not known.
	PrimaryControl() (view uint64, address string)
	// HandleEndpointReport applies an endpoint's report of itself. An error says that the end of its service can't be
	// acknowledged: it is not sure that the other routers learn of it.
	HandleEndpointReport(ctx context.Context, endpoint registry.Endpoint) error
	// EndpointService returns the service that an endpoint with that ID has named; empty where the endpoint is not known.
	EndpointService(id string) string
}

// Server is the API's HTTP handler.
type Server struct {
	delegate Delegate
	address  string // of this API
	handler  *mux.Router

	Rejected atomic.Uint64 // calls that were answered with a status of 4xx
}

// NewServer returns the handler of the API that is served at address, a host and port.
func NewServer(delegate Delegate, address string) *Server {
	s := &Server{delegate: delegate, address: address, handler: mux.NewRouter()}
	s.handle(http.MethodPost, "/instances/{id}/heartbeat", s.heartbeat)
	s.handle(http.MethodPost, "/instances/{id}/deregister", s.deregister)
	s.handle(http.MethodPost, "/config/replace", s.submitChange(true))
	s.handle(http.MethodPost, "/config/modify", s.submitChange(false))
	s.handle(http.MethodGet, "/config/read", s.readConfig)
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// callHandler serves a call. Where it returns an error it has written nothing: writeError answers in its place.
type callHandler func(http.ResponseWriter, *http.Request) error

func (s *Server) handle(method, path string, handler callHandler) {
	s.handler.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if err := handler(w, r); err != nil {
			s.writeError(w, r, err)
		}
	}).Methods(method)
}
