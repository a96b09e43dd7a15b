package loopback

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

var errInvalidPoll = errors.New("since and timeout_ms are whole numbers")

// pollQuery is what a poll asks for.
type pollQuery struct {
	watch bool          // the changes since a revision, and not the complete list
	since int64         // that revision; no list has revision 0
	wait  time.Duration // at most, for a change
}

// parsePoll parses the query of a poll. Its error is errInvalidPoll.
func parsePoll(values url.Values) (pollQuery, error) {
	query := pollQuery{watch: values.Has("since")}
	if !query.watch {
		return query, nil
	}
	var err error
	if query.since, err = strconv.ParseInt(values.Get("since"), 10, 64); err != nil {
		return pollQuery{}, errInvalidPoll
	}
	if values.Has("timeout_ms") {
		ms, err := strconv.ParseUint(values.Get("timeout_ms"), 10, 31)
		if err != nil {
			return pollQuery{}, errInvalidPoll
		}
		query.wait = min(time.Duration(ms)*time.Millisecond, maxWatch)
	}
	return query, nil
}

// listResponse is the response to a poll.
type listResponse struct {
	Revision int64            `json:"revision"`
	Complete bool             `json:"complete"`
	Members  []map[string]any `json:"members"`
}

// serveMembers answers a poll for the list or its changes. Where no response may be sent it aborts the connection.
func (a *agent) serveMembers(w http.ResponseWriter, req *http.Request) {
	if !a.enter() {
		return
	}
	defer a.goroutines.Done()

	query, err := parsePoll(req.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	poll := trace.DiscoveryPoll{
		At:            a.run.elapsed(),
		Sidecar:       a.sidecar,
		Watch:         query.watch,
		SinceRevision: query.since,
		Outcome:       trace.PollAbandoned,
	}
	defer func() {
		poll.Duration = a.run.elapsed() - poll.At
		a.run.recorder.addPoll(poll)
	}()
	if !a.admit(w, req, &poll) {
		return
	}
	response, entries, ok := a.awaitChange(req, query)
	if !ok {
		panic(http.ErrAbortHandler) // what has been sent must not pass for a response
	}
	corrupted := a.corrupt(&response)
	if !a.writeList(w, &poll, response) {
		return
	}
	poll.Outcome = trace.PollAnswered
	if !corrupted && a.sidecar >= 0 { // a sidecar isn't judged by what no service should have sent
		a.recordNotifications(entries, response.Complete, query.watch)
	}
}

// writeList writes a response, or a part of it if a fault is to cut it off, and reports whether it was written.
func (a *agent) writeList(w http.ResponseWriter, poll *trace.DiscoveryPoll, response listResponse) bool {
	text, err := json.Marshal(response)
	if err != nil {
		panic(err) // all of it is plain data
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if a.shouldCut() {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	if a.run.plan.NeedsControlAccess() {
		a.recordVersion(poll, response)
	}
	poll.RespondedAt = a.run.elapsed()
	_, err = w.Write(text)
	return err == nil && http.NewResponseController(w).Flush() == nil
}

// awaitChange returns a response as soon as there is something newer, the revision is unknown or the wait is over, but not while
// discovery is unresponsive. It returns false if there is nobody to answer any more.
func (a *agent) awaitChange(req *http.Request, query pollQuery) (listResponse, []plan.ListEntry, bool) {
	timer := time.NewTimer(query.wait)
	defer timer.Stop()
	expired := query.wait == 0
	for {
		a.mu.Lock()
		served := a.servedCatalog()
		if !a.unresponsive && (expired || !served.hasRevision(query.since) || served.revision > query.since) {
			response, entries := a.response(query.since)
			a.mu.Unlock()
			return response, entries, true
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-req.Context().Done():
			return listResponse{}, nil, false
		case <-a.done:
			return listResponse{}, nil, false
		}
	}
}

// response is the complete list or what is newer than a revision, as it is sent and as the plan has it. The lock is held.
func (a *agent) response(since int64) (listResponse, []plan.ListEntry) {
	served := a.servedCatalog()
	response := listResponse{
		Revision: served.revision,
		Complete: a.run.plan.Scenario.Discovery.FullLists || !served.hasRevision(since),
	}
	entries := served.changesSince(since)
	if response.Complete {
		entries = served.members()
	}
	response.Members = a.run.memberDocuments(a.sidecar, entries)
	return response, entries
}

// recordNotifications records what a response notified the sidecar of: all of it if it asked for the list, as it does when it starts;
// otherwise what is new to it, and by a complete list also which entries are gone.
func (a *agent) recordNotifications(entries []plan.ListEntry, complete, watch bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.run.elapsed()
	unlisted := map[int]plan.ListEntry{}
	if complete {
		unlisted, a.notified = a.notified, map[int]plan.ListEntry{}
	}
	for _, entry := range entries {
		before, known := unlisted[entry.Endpoint]
		if !complete {
			before, known = a.notified[entry.Endpoint]
		}
		delete(unlisted, entry.Endpoint)
		a.notified[entry.Endpoint] = entry
		if !known || before != entry || !watch {
			a.addNotification(at, entry)
		}
	}
	for endpoint, entry := range unlisted {
		if entry.Phase != trace.PhaseGone {
			a.addNotification(at, plan.ListEntry{Endpoint: endpoint, Phase: trace.PhaseGone})
		}
	}
}

func (a *agent) addNotification(at time.Duration, entry plan.ListEntry) {
	a.run.recorder.addNotification(trace.Notification{
		At:       at,
		Sidecar:  a.sidecar,
		Endpoint: entry.Endpoint,
		Phase:    entry.Phase,
		UpSince:  entry.StartedAt,
	})
}
