package settingsserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

const (
	settingsPath = "/admin/settings"
	rollBackPath = "/admin/rollback"
	healthPath   = "/admin/health"

	maxBodyBytes      = 4 * settingsstore.MaxSettingsBytes // of settings as an operator writes them, white space included
	bodyTimeout       = 10 * time.Second
	retryAfterSeconds = "1" // of a Retry-After
)

// PublishResult is the answer to Publish and RollBack.
type PublishResult struct {
	Distributor string `json:"distributor"`
	Service     string `json:"service"`
	version.Edition
	Digest version.Digest `json:"digest"`
}

// ServiceSummary is what a distributor has of one service, in the list of all.
type ServiceSummary struct {
	Service string `json:"service"`
	version.Edition
	Digest    version.Digest  `json:"digest"`
	Overruled version.Edition `json:"overruled,omitzero"`
}

// handleControl answers an operator's call.
func (d *Distributor) handleControl(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	methods := map[string]string{settingsPath: "GET or POST", rollBackPath: "POST", healthPath: "GET"}
	var out any
	service, status, err := parseService(r)
	switch call := r.Method + " " + r.URL.Path; {
	case methods[r.URL.Path] == "":
		status, err = http.StatusNotFound, fmt.Errorf("unknown path: there are %s, %s and %s", settingsPath, rollBackPath, healthPath)
	case err != nil:
	case call == "POST "+settingsPath:
		out, status, err = d.handlePublish(w, r, service)
	case call == "POST "+rollBackPath:
		out, status, err = d.handleRollback(service)
	case call == "GET "+settingsPath && r.URL.RawQuery == "":
		out = d.summaries()
	case call == "GET "+settingsPath:
		out = d.status(service)
	case call == "GET "+healthPath:
		status, err = d.health()
		out = struct{}{}
	default:
		status, err = http.StatusMethodNotAllowed, errors.New("the method must be "+methods[r.URL.Path])
	}
	if err != nil {
		writeError(w, status, err)
		return
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // all of it was decoded from JSON, or is plain
	}
	writeJSON(w, append(text, '\n'))
}

// parseService returns the service that a call names; "" where it needs none. The status applies if there is an error.
func parseService(r *http.Request) (service string, status int, err error) {
	q, err := url.ParseQuery(r.URL.RawQuery)
	switch names := q["service"]; {
	case err != nil:
		return "", http.StatusBadRequest, fmt.Errorf("the query is malformed: %w", err)
	case r.URL.RawQuery == "" && r.Method == http.MethodGet:
		return "", 0, nil
	case len(names) != 1 || len(q) != 1:
		return "", http.StatusBadRequest, errors.New("the query must be service=NAME")
	default:
		return names[0], http.StatusBadRequest, settingsstore.CheckName("service", names[0])
	}
}

func (d *Distributor) handlePublish(w http.ResponseWriter, r *http.Request, service string) (out any, status int, err error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("settings: over %d bytes", maxBodyBytes)
	} else if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("the body is cut off: %w", err)
	}
	if err := config.CheckSettings(body); err != nil {
		return nil, http.StatusBadRequest, err
	}
	record, err := d.publish(func() (*settingsstore.Record, error) { return d.store.Next(service, body) })
	return d.publishResult("settings published", service, record, err)
}

func (d *Distributor) handleRollback(service string) (out any, status int, err error) {
	record, err := d.publish(func() (*settingsstore.Record, error) { return d.store.RollBack(service) })
	return d.publishResult("settings rolled back", service, record, err)
}

// publishResult logs what a call came to and returns its answer.
func (d *Distributor) publishResult(what, service string, r *settingsstore.Record, err error) (out any, status int, _ error) {
	if err != nil {
		d.log.Warn().Str("service", service).Err(err).Msg("settings not published")
		return nil, errorStatus(err), err
	}
	d.log.Info().Str("service", service).Stringer("edition", r.Edition).Int("bytes", len(r.Settings)).Msg(what)
	return PublishResult{d.cfg.Name, service, r.Edition, r.Digest}, http.StatusOK, nil
}

// errorStatus returns the HTTP status for an error of publishing.
func errorStatus(err error) int {
	var keyErr settingsstore.KeyError
	var disk diskError
	switch {
	case errors.As(err, &keyErr):
		return http.StatusBadRequest
	case errors.Is(err, settingsstore.ErrStarting):
		return http.StatusServiceUnavailable
	case errors.As(err, &disk):
		return http.StatusInternalServerError
	}
	return http.StatusConflict
}

func (d *Distributor) health() (status int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.store.Starting() {
		return http.StatusServiceUnavailable, settingsstore.ErrStarting
	}
	return http.StatusOK, nil
}

func (d *Distributor) status(service string) settingsstore.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.StatusOf(d.cfg.Region, service, d.now())
}

func (d *Distributor) summaries() []ServiceSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []ServiceSummary{}
	for _, service := range d.store.Services() {
		r := d.store.Record(service)
		h := ServiceSummary{Service: service, Edition: r.Edition, Digest: r.Digest}
		if r.Overruled != nil {
			h.Overruled = r.Overruled.Edition
		}
		out = append(out, h)
	}
	return out
}
