// Package control serves the operator's API and the endpoints' heartbeats.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replica"
)

const (
	headerBase    = "X-Base-Version"
	orderMost     = 16 << 20 // bytes of an order
	heartbeatMost = 64 << 10
	orderTime     = 3 * time.Second // that an order may take before it is left without a clear answer
	readTime      = 2 * time.Second
)

// Delegate is what the API needs of the rest of the router.
type Delegate interface {
	// Submit has an order taken. Errors are package replica's, or a config.InvalidError.
	Submit(ctx context.Context, order *config.Change) error
	// Read returns the newest configuration.
	Read(ctx context.Context) (*config.Document, error)
	// PrimaryControl is the newest view that is known, and the control address of its primary, which takes orders; empty where
	// that is not known.
	PrimaryControl() (view uint64, address string)
	// HandleEndpointReport takes an endpoint's word over. An error says that its leave can't be acknowledged: it is not sure that the other
	// routers learn of it.
	HandleEndpointReport(ctx context.Context, endpoint registry.Endpoint) error
	// EndpointService is the service that an endpoint with that id has named; empty where it is not known.
	EndpointService(id string) string
}

// Server answers operators and endpoints.
type Server struct {
	core    Delegate
	address string // of this API
	handler *mux.Router

	Rejected atomic.Uint64 // calls that were at fault
}

// NewServer returns the API's handler.
func NewServer(core Delegate, address string) *Server {
	s := &Server{core: core, address: address, handler: mux.NewRouter()}
	s.handler.HandleFunc("/instances/{id}/heartbeat", s.heartbeat).Methods(http.MethodPost)
	s.handler.HandleFunc("/instances/{id}/deregister", s.deregister).Methods(http.MethodPost)
	s.handler.HandleFunc("/config/replace", s.order(true)).Methods(http.MethodPost)
	s.handler.HandleFunc("/config/modify", s.order(false)).Methods(http.MethodPost)
	s.handler.HandleFunc("/config/read", s.read).Methods(http.MethodGet)
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// heartbeat is an endpoint's word of itself.
type heartbeat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	WarmupMs int64  `json:"warmupMs"`
	Sequence uint64 `json:"sequence"`
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	var beat heartbeat
	if err := readJSON(r, heartbeatMost, &beat); err != nil {
		s.reject(w, http.StatusBadRequest, "the heartbeat can't be read: "+err.Error())
		return
	}
	state, known := map[string]registry.State{"ready": registry.Ready, "draining": registry.Draining}[beat.State]
	if _, err := netip.ParseAddrPort(beat.Address); err != nil || beat.Service == "" || !known {
		s.reject(w, http.StatusBadRequest, "the heartbeat lacks a service, an address or a known state")
		return
	}
	if service := s.core.EndpointService(id); service != "" && service != beat.Service {
		s.reject(w, http.StatusBadRequest, "the endpoint belongs to another service")
		return
	}
	err := s.core.HandleEndpointReport(r.Context(), registry.Endpoint{
		ID: id, Service: beat.Service, Address: beat.Address, Zone: beat.Zone, Capacity: beat.Capacity, State: state,
		Sequence: beat.Sequence, WarmupMs: beat.WarmupMs,
	})
	if err != nil {
		s.notHeard(w, err)
		return
	}
	writeJSON(w, map[string]string{"heartbeatUrl": "http://" + s.address + "/instances/" + id + "/heartbeat"})
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	err := s.core.HandleEndpointReport(r.Context(), registry.Endpoint{ID: mux.Vars(r)["id"], State: registry.Deregistered})
	if err != nil {
		s.notHeard(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// notHeard has an endpoint tell another router of its leave.
func (s *Server) notHeard(w http.ResponseWriter, err error) {
	http.Error(w, "the leave can't be acknowledged: "+err.Error(), http.StatusServiceUnavailable)
}

func (s *Server) order(replace bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		base, err := strconv.ParseInt(r.Header.Get(headerBase), 10, 64)
		if err != nil {
			s.reject(w, http.StatusBadRequest, headerBase+" is missing or no whole number")
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, orderMost+1))
		if err != nil {
			s.reject(w, http.StatusBadRequest, "the body did not come whole")
			return
		}
		if len(body) > orderMost {
			s.reject(w, http.StatusRequestEntityTooLarge, "the configuration is too large")
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), orderTime)
		defer cancel()
		s.answerOrder(w, r, s.core.Submit(ctx, &config.Change{Replace: replace, Base: base, Body: body}))
	}
}

func (s *Server) answerOrder(w http.ResponseWriter, r *http.Request, err error) {
	var invalid *config.InvalidError
	switch {
	case err == nil:
		writeJSON(w, struct{}{})
	case errors.Is(err, replica.ErrConflict):
		s.reject(w, http.StatusPreconditionFailed, "another version is in place")
	case errors.As(err, &invalid):
		s.reject(w, http.StatusBadRequest, invalid.Error())
	default:
		s.elsewhere(w, r)
	}
}

// viewParameter names the view in whose primary's direction a caller was sent.
const viewParameter = "view"

// elsewhere sends a caller to the primary, or tells it to come back. A caller that was sent here is sent on only by way of a
// newer view: two routers that take each other for the primary, one of them by an older view, would send it to and fro.
func (s *Server) elsewhere(w http.ResponseWriter, r *http.Request) {
	view, primary := s.core.PrimaryControl()
	if primary == "" || primary == s.address || view <= sentBy(r) {
		w.Header().Set("Retry-After", "0.2")
		http.Error(w, "no primary is known at present", http.StatusServiceUnavailable)
		return
	}
	target := *r.URL
	target.RawQuery = url.Values{viewParameter: {strconv.FormatUint(view, 10)}}.Encode()
	w.Header().Set("Location", "http://"+primary+target.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// sentBy is the view by which another router has sent a caller here; 0: none has.
func sentBy(r *http.Request) uint64 {
	view, err := strconv.ParseUint(r.URL.Query().Get(viewParameter), 10, 64)
	if err != nil {
		return 0
	}
	return view
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTime)
	defer cancel()
	document, err := s.core.Read(ctx)
	if err != nil {
		s.elsewhere(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document.Encode()) // the caller asks again
}

func (s *Server) reject(w http.ResponseWriter, status int, reason string) {
	s.Rejected.Add(1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": reason}) // the status says enough
}

func readJSON(r *http.Request, most int64, into any) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return err
	}
	if int64(len(text)) > most {
		return errors.New("it is too long")
	}
	return json.Unmarshal(text, into)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller asks again
}
