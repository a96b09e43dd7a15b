package settingsserver

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/settingsstore"
)

// handleRequest answers the request of a sidecar or of another distributor.
func (d *Distributor) handleRequest(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet:
		writeError(w, http.StatusMethodNotAllowed, errors.New("the method must be GET"))
	case r.ContentLength != 0:
		w.Header().Set("Connection", "close") // for the body isn't read
		writeError(w, http.StatusBadRequest, errors.New("a question has no body"))
	case r.URL.Path == settingsstore.PeerPath:
		d.handlePeerPoll(w, r)
	default:
		d.handlePoll(w, r)
	}
}

func (d *Distributor) handlePoll(w http.ResponseWriter, r *http.Request) {
	q, err := settingsstore.ParseRequest(r.URL)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	d.mu.Lock()
	text, id, err := d.store.Poll(d.now(), q)
	wake := d.addWatch(id)
	d.mu.Unlock()
	if id != 0 {
		d.waitForWatch(r.Context(), wake, q.Wait)
		d.mu.Lock()
		text = d.store.EndWatch(id)
		delete(d.watchWakes, id)
		d.mu.Unlock()
	}
	reply(w, text, err)
}

func (d *Distributor) handlePeerPoll(w http.ResponseWriter, r *http.Request) {
	q, err := settingsstore.ParsePeerRequest(r.URL)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	d.mu.Lock()
	update, id, err := d.store.PollPeer(q)
	wake := d.addWatch(id)
	d.mu.Unlock()
	if id != 0 {
		d.waitForWatch(r.Context(), wake, q.Wait.D())
		d.mu.Lock()
		update = d.store.EndPeerWatch(id)
		delete(d.watchWakes, id)
		d.mu.Unlock()
	}
	var text []byte
	if update != nil {
		text = update.Encode()
	}
	reply(w, text, err)
}

// addWatch returns the channel that signals a watch; nil for the id 0. The caller holds mu.
func (d *Distributor) addWatch(id uint64) chan struct{} {
	if id == 0 {
		return nil
	}
	wake := make(chan struct{}, 1)
	d.watchWakes[id] = wake
	return wake
}

// reply answers a request with a text, which all answers alike may share, or with status 204 where there is none.
func reply(w http.ResponseWriter, text []byte, err error) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // where that fails the server's own deadline applies
	if err != nil {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	switch {
	case errors.Is(err, settingsstore.ErrStarting):
		writeError(w, http.StatusServiceUnavailable, err)
	case text == nil: // nothing newer, or ErrTooManyWatches
		w.WriteHeader(http.StatusNoContent)
	default:
		writeJSON(w, text)
	}
}

func writeJSON(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text) // it fails only if the client has gone
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, err)
}
