package control

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/gorilla/mux"

	"pinelb.example/pinelb/internal/fleet/registry"
)

const maxHeartbeatBytes = 64 << 10

// heartbeat is the body of an endpoint's heartbeat.
type heartbeat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	WarmupMs int64  `json:"warmupMs"`
	Sequence uint64 `json:"sequence"`
}

// reportedStates maps the state in a heartbeat to the registry's.
var reportedStates = map[string]registry.State{"ready": registry.Ready, "draining": registry.Draining}

// heartbeat applies an endpoint's heartbeat, and responds with the URL for the endpoint's next one, which is on this router.
func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) error {
	endpoint, err := readHeartbeat(r)
	if err != nil {
		return err
	}
	if service := s.delegate.EndpointService(endpoint.ID); service != "" && service != endpoint.Service {
		return &requestError{status: http.StatusBadRequest, reason: "the endpoint belongs to another service"}
	}
	if err := s.delegate.HandleEndpointReport(r.Context(), endpoint); err != nil {
		return &unacknowledgedError{err}
	}
	url := "http://" + s.address + "/instances/" + endpoint.ID + "/heartbeat"
	writeJSON(w, http.StatusOK, map[string]string{"heartbeatUrl": url})
	return nil
}

// readHeartbeat decodes and checks a heartbeat. Errors are those of badBodyError.
func readHeartbeat(r *http.Request) (registry.Endpoint, error) {
	body, err := readBody(r, maxHeartbeatBytes)
	var beat heartbeat
	if err == nil {
		err = json.Unmarshal(body, &beat)
	}
	if err != nil {
		return registry.Endpoint{}, badBodyError("the heartbeat can't be read", err)
	}
	if err := checkNames(mux.Vars(r)["id"], beat.Service, beat.Zone); err != nil {
		return registry.Endpoint{}, err
	}
	state, known := reportedStates[beat.State]
	if _, err := netip.ParseAddrPort(beat.Address); err != nil || beat.Service == "" || !known {
		return registry.Endpoint{}, &requestError{
			status: http.StatusBadRequest, reason: "the heartbeat lacks a service, an address or a known state",
		}
	}
	return registry.Endpoint{
		ID: mux.Vars(r)["id"], Service: beat.Service, Address: beat.Address, Zone: beat.Zone, Capacity: beat.Capacity, State: state,
		Sequence: beat.Sequence, WarmupMs: beat.WarmupMs,
	}, nil
}

// checkNames returns a requestError if one of the names is longer than maxNameBytes.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return &requestError{status: http.StatusBadRequest, reason: "a name is longer than " + strconv.Itoa(maxNameBytes) + " bytes"}
		}
	}
	return nil
}

// deregister applies an endpoint's deregistration.
func (s *Server) deregister(w http.ResponseWriter, r *http.Request) error {
	endpoint := registry.Endpoint{ID: mux.Vars(r)["id"], State: registry.Deregistered}
	if err := checkNames(endpoint.ID); err != nil {
		return err
	}
	if err := s.delegate.HandleEndpointReport(r.Context(), endpoint); err != nil {
		return &unacknowledgedError{err}
	}
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}
