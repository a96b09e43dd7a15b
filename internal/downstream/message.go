package downstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

const (
	bodyMost = 64 << 10 // bytes of any message's body
	nameMost = 128      // bytes of an id or a key
)

type class struct {
	index    int
	effect   balance.Effect
	deadline time.Duration
}

// refusal is a local reply to a message that is no valid stream.
type refusal struct {
	status int
	why    string
}

// ServeHTTP takes one message and answers it once.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// net/http has dropped the Content-Length, or in HTTP/1.0 the Transfer-Encoding, that may have stood
		// beside it: by the one that was dropped, another request may stand inside this one's body.
		w.Header().Set("Connection", "close")
	}
	if len(r.TransferEncoding) > 0 {
		say(w, http.StatusLengthRequired, "a body must have its length stated")
		return
	}
	if r.URL.Path == "/_health" {
		s.health(w)
		return
	}
	held := s.held.Add(1)
	defer s.held.Add(-1)
	res, bad := s.answer(r, at, held)
	if bad != nil || s.draining.Load() && !s.alone { // what follows a faulty message need not be a message
		w.Header().Set("Connection", "close")
	}
	if bad != nil {
		say(w, bad.status, bad.why)
		return
	}
	encode(w, res)
}

// answer is a stream's final answer, or why the message is none.
func (s *Server) answer(r *http.Request, at time.Time, held int64) (stream.Response, *refusal) {
	if held > s.mostHeld {
		return stream.Response{Outcome: stream.Refused}, nil
	}
	req, bad := s.decode(r, at)
	if bad != nil {
		return stream.Response{}, bad
	}
	return s.serve(r, req), nil
}

// serve keeps a panic in one stream from its connection: the client still gets an answer.
func (s *Server) serve(r *http.Request, req *stream.Request) (res stream.Response) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error().Interface("panic", fault).Msg("stream failed")
			res = stream.Response{Outcome: stream.Failed}
		}
	}()
	return s.streams.Serve(r.Context(), req)
}

func (s *Server) health(w http.ResponseWriter) {
	if s.ready.Load() && !s.draining.Load() {
		say(w, http.StatusOK, "")
	} else {
		say(w, http.StatusServiceUnavailable, "")
	}
}

// decode reads a message into a request, or says why it is none.
func (s *Server) decode(r *http.Request, at time.Time) (*stream.Request, *refusal) {
	h := r.Header
	lane, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	named := h.Get("X-Lane")
	if named == "" {
		named = lane
	}
	c, known := s.classes[named]
	if _, fits := s.classes[lane]; !known || !fits {
		return nil, &refusal{http.StatusNotFound, "unknown class"}
	}
	if named != lane {
		return nil, &refusal{http.StatusBadRequest, "X-Lane and the path name different classes"}
	}
	req := &stream.Request{
		Txn: h.Get("X-Txn"), ClassName: lane, Class: c.index, Operation: r.Method, Target: r.RequestURI, Authority: r.Host,
		Key: h.Get("Idempotency-Key"), Repeated: h.Get("X-Resent") == "1", Labels: h.Get("X-Labels"),
		MediaType: h.Get("Content-Type"),
	}
	left, err := strconv.ParseUint(h.Get("X-Remaining-Ms"), 10, 32)
	method, keyed := http.MethodPost, c.effect == balance.Keyed
	if c.effect == balance.Safe {
		method = http.MethodGet
	}
	switch {
	case !isName(req.Txn):
		return nil, &refusal{http.StatusBadRequest, "X-Txn is missing or malformed"}
	case err != nil:
		return nil, &refusal{http.StatusBadRequest, "X-Remaining-Ms is missing or malformed"}
	case r.Method != method:
		return nil, &refusal{http.StatusBadRequest, "the method does not fit the class"}
	case keyed && !isName(req.Key) || !keyed && len(h["Idempotency-Key"]) > 0:
		return nil, &refusal{http.StatusBadRequest, "the Idempotency-Key does not fit the class"}
	case !strings.HasPrefix(req.Target, "/"):
		return nil, &refusal{http.StatusBadRequest, "the target must be a path"}
	}
	// An answer within the class's deadline is in time for every client, however long it says it waits.
	req.Deadline = at.Add(min(time.Duration(left)*time.Millisecond, c.deadline))
	var bad *refusal
	if req.Body, bad = readBody(r); bad != nil {
		return nil, bad
	}
	if c.effect == balance.Safe && len(req.Body) > 0 {
		return nil, &refusal{http.StatusBadRequest, "the class takes no body"}
	}
	return req, nil
}

func readBody(r *http.Request) ([]byte, *refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > bodyMost {
		return nil, &refusal{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, &refusal{http.StatusBadRequest, "the body is cut off"}
	}
	return body, nil
}

// isName tells whether an id or a key is a plain word.
func isName(s string) bool {
	if s == "" || len(s) > nameMost {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// encode writes a stream's final answer.
func encode(w http.ResponseWriter, res stream.Response) {
	switch res.Outcome {
	case stream.Served:
		h := w.Header()
		if h["Content-Type"] = nil; res.MediaType != "" {
			h.Set("Content-Type", res.MediaType)
		}
		h.Set("Content-Length", strconv.Itoa(len(res.Body)))
		_, _ = w.Write(res.Body) // an error here is the client's leaving
	case stream.Refused:
		if res.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64))
		}
		say(w, http.StatusServiceUnavailable, "")
	case stream.Expired:
		say(w, http.StatusGatewayTimeout, "")
	default: // failed, or nobody is there to read it
		say(w, http.StatusBadGateway, "")
	}
}

// say writes a short answer of our own.
func say(w http.ResponseWriter, status int, why string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(why)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why) // an error here is the client's leaving
}
