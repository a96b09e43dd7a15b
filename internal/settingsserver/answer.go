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

	bodyMost    = 4 * settingsstore.SettingsMost // of settings as an operator writes them, with blanks
	bodyWithin  = 10 * time.Second
	againInSecs = "1" // of a Retry-After
)

// asked answers a sidecar's or a distributor's question.
func (d *Distributor) asked(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		refuse(w, http.StatusMethodNotAllowed, errors.New("the method must be GET"))
	case r.ContentLength != 0:
		w.Header().Set("Connection", "close") // the body is not read
		refuse(w, http.StatusBadRequest, errors.New("a question has no body"))
	case r.URL.Path == settingsstore.PeerPath:
		d.askedByPeer(w, r)
	default:
		d.askedBySidecar(w, r)
	}
}

func (d *Distributor) askedBySidecar(w http.ResponseWriter, r *http.Request) {
	q, err := settingsstore.ParseQuestion(r.URL)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	d.mu.Lock()
	text, id, err := d.store.Ask(d.now(), q)
	wake := d.watch(id)
	d.mu.Unlock()
	if id != 0 {
		d.wait(r.Context(), wake, q.Wait)
		d.mu.Lock()
		text = d.store.End(id)
		delete(d.wake, id)
		d.mu.Unlock()
	}
	tell(w, text, err)
}

func (d *Distributor) askedByPeer(w http.ResponseWriter, r *http.Request) {
	q, err := settingsstore.ParsePeerQuestion(r.URL)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	d.mu.Lock()
	news, id, err := d.store.AskPeer(q)
	wake := d.watch(id)
	d.mu.Unlock()
	if id != 0 {
		d.wait(r.Context(), wake, q.Wait.D())
		d.mu.Lock()
		news = d.store.EndPeer(id)
		delete(d.wake, id)
		d.mu.Unlock()
	}
	var text []byte
	if news != nil {
		text = news.Encode()
	}
	tell(w, text, err)
}

// watch is how a watch is woken; nil of none. The caller holds mu.
func (d *Distributor) watch(id uint64) chan struct{} {
	if id == 0 {
		return nil
	}
	wake := make(chan struct{}, 1)
	d.wake[id] = wake
	return wake
}

// tell answers a question with a text, which all who are answered alike may share, or with nothing new.
func tell(w http.ResponseWriter, text []byte, err error) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWithin)) // without it that of the server stands
	if err != nil {
		w.Header().Set("Retry-After", againInSecs)
	}
	switch {
	case errors.Is(err, settingsstore.ErrStarting):
		refuse(w, http.StatusServiceUnavailable, err)
	case text == nil: // also where there are too many watches
		w.WriteHeader(http.StatusNoContent)
	default:
		answer(w, text)
	}
}

func answer(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text) // an error here is the caller's leaving
}

func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, err)
}

// Published is the answer to publishing and to rolling back.
type Published struct {
	Distributor string `json:"distributor"`
	Service     string `json:"service"`
	version.Edition
	Digest version.Digest `json:"digest"`
}

// Held is what a distributor holds of one service, as the list of all has it.
type Held struct {
	Service string `json:"service"`
	version.Edition
	Digest    version.Digest  `json:"digest"`
	Overruled version.Edition `json:"overruled,omitzero"`
}

// operated answers an operator's call.
func (d *Distributor) operated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	known := map[string]string{settingsPath: "GET or POST", rollBackPath: "POST", healthPath: "GET"}
	var out any
	service, status, err := serviceOf(r)
	switch call := r.Method + " " + r.URL.Path; {
	case known[r.URL.Path] == "":
		status, err = http.StatusNotFound, fmt.Errorf("unknown path: there are %s, %s and %s", settingsPath, rollBackPath, healthPath)
	case err != nil:
	case call == "POST "+settingsPath:
		out, status, err = d.publishCall(w, r, service)
	case call == "POST "+rollBackPath:
		out, status, err = d.rollBackCall(service)
	case call == "GET "+settingsPath && r.URL.RawQuery == "":
		out = d.held()
	case call == "GET "+settingsPath:
		out = d.status(service)
	case call == "GET "+healthPath:
		status, err = d.health()
		out = struct{}{}
	default:
		status, err = http.StatusMethodNotAllowed, errors.New("the method must be "+known[r.URL.Path])
	}
	if err != nil {
		refuse(w, status, err)
		return
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // what was read as JSON can be written
	}
	answer(w, append(text, '\n'))
}

// serviceOf is the service that a call names; "" where it need not.
func serviceOf(r *http.Request) (service string, status int, err error) {
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

func (d *Distributor) publishCall(w http.ResponseWriter, r *http.Request, service string) (out any, status int, err error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyWithin))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("settings: over %d bytes", bodyMost)
	} else if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("the body is cut off: %w", err)
	}
	if err := config.CheckSettings(body); err != nil {
		return nil, http.StatusBadRequest, err
	}
	record, err := d.publish(func() (*settingsstore.Record, error) { return d.store.Next(service, body) })
	return d.published("settings published", service, record, err)
}

func (d *Distributor) rollBackCall(service string) (out any, status int, err error) {
	record, err := d.publish(func() (*settingsstore.Record, error) { return d.store.RollBack(service) })
	return d.published("settings rolled back", service, record, err)
}

// published tells of what an operator's call came to.
func (d *Distributor) published(what, service string, r *settingsstore.Record, err error) (out any, status int, _ error) {
	if err != nil {
		d.log.Warn().Str("service", service).Err(err).Msg("settings not published")
		return nil, statusOf(err), err
	}
	d.log.Info().Str("service", service).Stringer("edition", r.Edition).Int("bytes", len(r.Settings)).Msg(what)
	return Published{d.cfg.Name, service, r.Edition, r.Digest}, http.StatusOK, nil
}

func statusOf(err error) int {
	var faulty settingsstore.FaultyKey
	var disk notKept
	switch {
	case errors.As(err, &faulty):
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

func (d *Distributor) held() []Held {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Held{}
	for _, service := range d.store.Services() {
		r := d.store.Record(service)
		h := Held{Service: service, Edition: r.Edition, Digest: r.Digest}
		if r.Overruled != nil {
			h.Overruled = r.Overruled.Edition
		}
		out = append(out, h)
	}
	return out
}
