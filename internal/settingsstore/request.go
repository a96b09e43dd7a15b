package settingsstore

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Path is where a service's settings are requested; the service's name follows it.
const Path = "/settings/"

// Request is a sidecar's request to a distributor (a long poll) for settings of a service that are newer than the edition it
// has in force and the one it has rejected. It acknowledges both. The answer is a state as Encode writes it, with status 200;
// or none, with status 204, where nothing newer came within Wait.
type Request struct {
	Service  string
	Since    version.Edition // in force; none: settings that no distributor gave
	Rejected version.Edition // the newest that was not taken; none where a newer one is in force
	Reason   string          // it was not taken; without one, why the last answer could not be used. Target cuts it to MaxReasonBytes bytes
	Wait     time.Duration   // for something newer, in whole milliseconds; 0: answer at once
	Name     string          // of the sidecar; "": the request is not recorded
}

// NewestSeen returns the newest edition that the sidecar has seen; the answer is a newer one.
func (q *Request) NewestSeen() version.Edition {
	if q.Rejected.Compare(q.Since) > 0 {
		return q.Rejected
	}
	return q.Since
}

// Target returns the request as the target of a GET request (RFC 9112, 3.2).
func (q *Request) Target() string {
	v := url.Values{"since": {strconv.FormatUint(q.Since.Epoch, 10)}, "timeout_ms": {strconv.FormatInt(q.Wait.Milliseconds(), 10)}}
	if !q.Since.None() {
		v.Set("by", q.Since.By)
	}
	if q.Name != "" {
		v.Set("name", q.Name)
	}
	if !q.Rejected.None() {
		v.Set("refused", strconv.FormatUint(q.Rejected.Epoch, 10))
		v.Set("refused_by", q.Rejected.By)
	}
	if q.Reason != "" {
		v.Set("why", truncate(q.Reason, MaxReasonBytes))
	}
	return Path + url.PathEscape(q.Service) + "?" + v.Encode()
}

// ParseRequest decodes a request, strictly. Errors are of type KeyError.
func ParseRequest(u *url.URL) (Request, error) {
	service, ok := strings.CutPrefix(u.Path, Path)
	if !ok {
		return Request{}, KeyError{"path", "must begin with " + Path}
	}
	if err := CheckName("service", service); err != nil {
		return Request{}, err
	}
	q := Request{Service: service}
	f, err := parseFields(u.RawQuery, "since", "by", "refused", "refused_by", "why", "timeout_ms", "name")
	if err != nil {
		return Request{}, err
	}
	if q.Since, err = f.edition("since", "by"); err != nil {
		return Request{}, err
	}
	if q.Rejected, err = f.edition("refused", "refused_by"); err != nil {
		return Request{}, err
	}
	if q.Wait, err = f.wait("timeout_ms"); err != nil {
		return Request{}, err
	}
	if q.Name, err = f.text("name", MaxSidecarNameBytes); err != nil {
		return Request{}, err
	}
	if q.Reason, err = f.text("why", MaxReasonBytes); err != nil {
		return Request{}, err
	}
	return q, nil
}
