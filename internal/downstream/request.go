package downstream

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

const maxNameBytes = 128 // of a request's id and of an idempotency key

// decodeRequest makes a stream of a request's head, or says why it is none.
func (s *Server) decodeRequest(r *http.Request, arrived time.Time) (*stream.Request, *localReply) {
	h := r.Header
	path := strings.TrimPrefix(r.URL.Path, "/")
	className := cmp.Or(h.Get("X-Lane"), s.classOf(path, arrived))
	c, known := s.class(className, arrived)
	switch {
	case !known || !hasClassPrefix(path, className) && s.classOf(path, arrived) == "":
		return nil, &localReply{http.StatusNotFound, "unknown class"}
	case !hasClassPrefix(path, className):
		return nil, &localReply{http.StatusBadRequest, "X-Lane and the path name different classes"}
	}
	req := &stream.Request{
		Txn: h.Get("X-Txn"), ClassName: className, Class: c.index, Operation: r.Method, Target: requestTarget(r), Authority: r.Host,
		Key: h.Get("Idempotency-Key"), ClientRetry: h.Get("X-Resent") == "1", Labels: h.Get("X-Labels"),
		TenantName: h.Get("X-Org"), MediaType: h.Get("Content-Type"), Baggage: strings.Join(h["Baggage"], ","),
	}
	remaining, err := strconv.ParseUint(h.Get("X-Remaining-Ms"), 10, 32)
	if reply := checkRequest(r, req, c, err == nil); reply != nil {
		return nil, reply
	}
	req.Tenant = (*s.tenants.Load())[req.TenantName]
	if !isPrintableASCII(req.TenantName, true) { // only the settings can have such a name
		req.TenantName = ""
	}
	if !isPrintableASCII(req.Baggage, true) { // of no concern to the client: no reason to reject the request
		req.Baggage = ""
	}
	if client, ok := r.Context().Value(connContextKey{}).(*clientConn); ok {
		req.ClientGone = client.peerClosed
	}
	req.Arrived = arrived // until the body was read
	// A response within the class's deadline is in time for every client, however long it says it waits.
	req.Deadline = arrived.Add(min(time.Duration(remaining)*time.Millisecond, c.deadline))
	return req, nil
}

// checkRequest returns the reply to a request that does not fit its class or can't be forwarded; nil if it can.
func checkRequest(r *http.Request, req *stream.Request, c class, hasRemaining bool) *localReply {
	h := r.Header
	method, keyed := http.MethodPost, c.effect == balance.IdempotentByKey
	if c.effect == balance.Idempotent {
		method = http.MethodGet
	}
	switch {
	case !isValidName(req.Txn) || len(h["X-Txn"]) > 1:
		return &localReply{http.StatusBadRequest, "X-Txn is missing, malformed or repeated"}
	case !hasRemaining || len(h["X-Remaining-Ms"]) > 1:
		return &localReply{http.StatusBadRequest, "X-Remaining-Ms is missing, malformed or repeated"}
	case r.Method != method:
		return &localReply{http.StatusBadRequest, "the method does not fit the class"}
	case keyed && (!isValidName(req.Key) || len(h["Idempotency-Key"]) > 1) || !keyed && len(h["Idempotency-Key"]) > 0:
		return &localReply{http.StatusBadRequest, "the Idempotency-Key does not fit the class"}
	case len(h["X-Lane"]) > 1 || len(h["X-Org"]) > 1 || len(h["X-Labels"]) > 1 || len(h["Content-Type"]) > 1:
		return &localReply{http.StatusBadRequest, "a header is repeated"}
	case !strings.HasPrefix(req.Target, "/") || !isPrintableASCII(req.Target, false) || !isPrintableASCII(req.Authority, false) ||
		!isPrintableASCII(req.Labels, true) || !isPrintableASCII(req.MediaType, true): // upstream hosts close the connection over such bytes
		return &localReply{http.StatusBadRequest, "the target or a header is malformed"}
	case c.effect == balance.Idempotent && r.ContentLength > 0:
		return unexpectedBody
	}
	return nil
}

// classOf returns the class whose name begins a path, the longest where several do, as names may have slashes; empty if none
// does.
func (s *Server) classOf(path string, at time.Time) (className string) {
	for name := range *s.classes.Load() {
		if _, known := s.class(name, at); known && len(name) > len(className) && hasClassPrefix(path, name) {
			className = name
		}
	}
	return className
}

// hasClassPrefix reports whether a class's name is the first part of a path.
func hasClassPrefix(path, className string) bool {
	rest, ok := strings.CutPrefix(path, className)
	return ok && (rest == "" || rest[0] == '/')
}

// requestTarget returns the raw path and query, also of a request in absolute form (RFC 9112, section 3.2.2).
func requestTarget(r *http.Request) string {
	if _, after, found := strings.Cut(r.RequestURI, "://"); found && r.URL.IsAbs() {
		if i := strings.IndexByte(after, '/'); i >= 0 {
			return after[i:]
		}
	}
	return r.RequestURI
}

// isValidName reports whether an id or a key has a valid length and characters.
func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && isPrintableASCII(s, false)
}

// isPrintableASCII reports whether all bytes are visible ASCII characters, or spaces where those are allowed.
func isPrintableASCII(s string, allowSpaces bool) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == ' ' && !allowSpaces {
			return false
		}
	}
	return true
}
