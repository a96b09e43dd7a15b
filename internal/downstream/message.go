package downstream

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/stream"
)

const (
	bodyMost  = 64 << 10 // bytes of any message's body
	bodyFirst = 4 << 10  // bytes to begin with
	nameMost  = 128      // bytes of an id or a key

	bodyFor    = 4 * time.Second  // a body may take so long, and beyond that
	bodyRate   = 32 << 10         // a second for so many bytes: clients send at twice that
	takeFor    = 10 * time.Second // a client takes nothing of an answer for so long at most
	copyBytes  = 32 << 10
	uploadMost = 64 << 20 // bytes of a body that is passed on as it comes
)

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

type class struct {
	index    int
	effect   balance.Idempotency
	deadline time.Duration
	until    time.Time // it has vanished and is taken until then; zero: it is there
}

// refusal is a local reply to a message that is no valid stream.
type refusal struct {
	status int
	why    string
}

// bodyless is the one for a body where none belongs.
var bodyless = &refusal{http.StatusBadRequest, "the class takes no body"}

// tooLarge is the one for a body beyond what is passed on.
var tooLarge = &refusal{http.StatusRequestEntityTooLarge, "the body is too large"}

// tooManyBodies is the one for a stream that is valid and finds no room.
var tooManyBodies = &refusal{http.StatusServiceUnavailable, "too many bodies at once"}

// ServeHTTP takes one message and answers it once.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// net/http has dropped the Content-Length, or in HTTP/1.0 the Transfer-Encoding, that may have stood
		// beside it: by the one that was dropped, another request may stand inside this one's body.
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 { // where nobody here reads a body, net/http does before it answers
		_ = http.NewResponseController(w).SetReadDeadline(at.Add(bodyFor))
	}
	if r.URL.Path == "/_health" {
		if r.ContentLength != 0 {
			say(w, http.StatusBadRequest, "health takes no body")
		} else {
			s.health(w)
		}
		return
	}
	here, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr) // net/http sets it
	room := s.Enter(here)
	defer s.Leave()
	res, bad := s.answer(w, r, at, room)
	faulty := bad != nil || res.Outcome == stream.InvalidRequest || res.Outcome == stream.Duplicate || res.Outcome == stream.BodyIncomplete
	if faulty || s.Closing() { // what follows a faulty message need not be a message
		w.Header().Set("Connection", "close")
	}
	if bad != nil {
		say(w, bad.status, bad.why)
		return
	}
	encode(w, r, res)
}

// answer is a stream's final answer, or why the message is none.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, at time.Time, room bool) (stream.Response, *refusal) {
	req, bad := s.decode(r, at)
	var rest *paced
	if !room {
		if bad != nil { // there is no room to find fault with it either
			return stream.Response{Outcome: stream.RejectedLocally}, nil
		}
		return s.streams.Refuse(req), nil
	}
	if bad == nil {
		req.Body, rest, bad = s.readBody(w, r)
		defer s.Free(cap(req.Body))
		switch {
		case bad == nil && len(req.Body) > 0 && r.Method == http.MethodGet:
			bad = bodyless
		case rest != nil:
			req.Upload = stream.NewUpload(rest, r.ContentLength, req.Deadline.Sub(req.Arrived))
		}
	}
	if bad == tooManyBodies {
		s.streams.Refuse(req)
	}
	if bad != nil {
		return stream.Response{}, bad
	}
	if req.Upload != nil {
		req.Deadline = time.Now().Add(stream.MaxUploadTime)
		res := s.serve(r, req)
		if !rest.stop() { // what follows is not a message
			w.Header().Set("Connection", "close")
		}
		return res, nil
	}
	if r.ContentLength != 0 { // a body that was read to its length has no end
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	late := time.Since(req.Arrived) // the client's time runs from the message's last byte
	req.Arrived, req.Deadline = req.Arrived.Add(late), req.Deadline.Add(late)
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
	if s.Takes() {
		say(w, http.StatusOK, "")
	} else {
		say(w, http.StatusServiceUnavailable, "")
	}
}

// decode reads a message's head into a request, or says why it is none.
func (s *Server) decode(r *http.Request, at time.Time) (*stream.Request, *refusal) {
	h := r.Header
	path := strings.TrimPrefix(r.URL.Path, "/")
	lane := cmp.Or(h.Get("X-Lane"), s.lane(path, at))
	c, known := s.class(lane, at)
	switch {
	case !known || !begins(path, lane) && s.lane(path, at) == "":
		return nil, &refusal{http.StatusNotFound, "unknown class"}
	case !begins(path, lane):
		return nil, &refusal{http.StatusBadRequest, "X-Lane and the path name different classes"}
	}
	req := &stream.Request{
		Txn: h.Get("X-Txn"), ClassName: lane, Class: c.index, Operation: r.Method, Target: target(r), Authority: r.Host,
		Key: h.Get("Idempotency-Key"), ClientRetry: h.Get("X-Resent") == "1", Labels: h.Get("X-Labels"),
		TenantName: h.Get("X-Org"), MediaType: h.Get("Content-Type"), Baggage: strings.Join(h["Baggage"], ","),
	}
	left, err := strconv.ParseUint(h.Get("X-Remaining-Ms"), 10, 32)
	method, keyed := http.MethodPost, c.effect == balance.IdempotentByKey
	if c.effect == balance.Idempotent {
		method = http.MethodGet
	}
	switch {
	case !isName(req.Txn) || len(h["X-Txn"]) > 1:
		return nil, &refusal{http.StatusBadRequest, "X-Txn is missing, malformed or repeated"}
	case err != nil || len(h["X-Remaining-Ms"]) > 1:
		return nil, &refusal{http.StatusBadRequest, "X-Remaining-Ms is missing, malformed or repeated"}
	case r.Method != method:
		return nil, &refusal{http.StatusBadRequest, "the method does not fit the class"}
	case keyed && (!isName(req.Key) || len(h["Idempotency-Key"]) > 1) || !keyed && len(h["Idempotency-Key"]) > 0:
		return nil, &refusal{http.StatusBadRequest, "the Idempotency-Key does not fit the class"}
	case len(h["X-Lane"]) > 1 || len(h["X-Org"]) > 1 || len(h["X-Labels"]) > 1 || len(h["Content-Type"]) > 1:
		return nil, &refusal{http.StatusBadRequest, "a header is repeated"}
	case !strings.HasPrefix(req.Target, "/") || !isPlain(req.Target, false) || !isPlain(req.Authority, false) ||
		!isPlain(req.Labels, true) || !isPlain(req.MediaType, true): // upstream hosts hang up on what they can't read
		return nil, &refusal{http.StatusBadRequest, "the target or a header is malformed"}
	case c.effect == balance.Idempotent && r.ContentLength > 0:
		return nil, bodyless
	}
	req.Tenant = (*s.tenants.Load())[req.TenantName]
	if !isPlain(req.TenantName, true) { // a name that only the settings can read
		req.TenantName = ""
	}
	if !isPlain(req.Baggage, true) { // nobody's concern but ours: no reason to turn the request away
		req.Baggage = ""
	}
	if own, ok := r.Context().Value(callerKey{}).(*caller); ok {
		req.ClientGone = own.left
	}
	req.Arrived = at // for now
	// An answer within the class's deadline is in time for every client, however long it says it waits.
	req.Deadline = at.Add(min(time.Duration(left)*time.Millisecond, c.deadline))
	return req, nil
}

// lane is the class that begins a path, the longest where several do: their names may have slashes. Empty: none does.
func (s *Server) lane(path string, at time.Time) (lane string) {
	for name := range *s.classes.Load() {
		if _, known := s.class(name, at); known && len(name) > len(lane) && begins(path, name) {
			lane = name
		}
	}
	return lane
}

// begins tells whether a class is the first part of a path.
func begins(path, lane string) bool {
	rest, ok := strings.CutPrefix(path, lane)
	return ok && (rest == "" || rest[0] == '/')
}

// target is what is called: the path and query as they came, also where the message names the host before them.
func target(r *http.Request) string {
	if _, after, found := strings.Cut(r.RequestURI, "://"); found && r.URL.IsAbs() {
		if i := strings.IndexByte(after, '/'); i >= 0 {
			return after[i:]
		}
	}
	return r.RequestURI
}

// readBody reads a body as it comes, so that a stated length alone takes no memory, and by its rate. What all bodies take
// together is bounded; the caller gives it back with the capacity of this one. Of one that is longer than what is held
// whole it returns the beginning, and the rest to be passed on as it comes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *paced, *refusal) {
	in := &paced{body: r.Body, control: http.NewResponseController(w), from: time.Now()}
	switch {
	case r.ContentLength > uploadMost:
		return nil, nil, tooLarge
	case r.ContentLength > bodyMost && !s.Keep(copyBytes):
		return nil, nil, tooManyBodies
	case r.ContentLength > bodyMost:
		return make([]byte, 0, copyBytes), in, nil
	case r.ContentLength == 0:
		return nil, nil, nil
	}
	var body []byte
	most := int(r.ContentLength)
	if most < 0 {
		most = bodyMost + 1 // one more than is held whole, which tells that there are more
	}
	for len(body) < most {
		if len(body) == cap(body) {
			more := min(max(bodyFirst, cap(body)), most-cap(body))
			if !s.Keep(more) {
				return body, nil, tooManyBodies
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		k, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+k]
		switch {
		case err == io.EOF && (r.ContentLength < 0 || len(body) == most):
			return body, nil, nil
		case err != nil:
			return body, nil, &refusal{http.StatusBadRequest, "the body is cut off"}
		}
	}
	if len(body) > bodyMost {
		return body, in, nil
	}
	return body, nil, nil
}

// paced reads a body by its rate, and so much of it at most.
type paced struct {
	body    io.Reader
	control *http.ResponseController
	from    time.Time
	read    int64
	whole   atomic.Bool
	stopped atomic.Bool
}

func (p *paced) Read(b []byte) (int, error) {
	if p.read > uploadMost {
		return 0, errors.New("downstream: the body is too large")
	}
	_ = p.control.SetReadDeadline(p.from.Add(bodyFor + time.Duration(p.read)*time.Second/bodyRate))
	if p.stopped.Load() {
		_ = p.control.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := p.body.Read(b)
	if p.read += int64(n); err == io.EOF {
		p.whole.Store(true)
		// The time for reading ends with the message: expiring later, it would pass for the client's leaving.
		_ = p.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stop ends a Read that is under way, which would hold up the answer: net/http writes none while a body is being read. It
// returns whether the body was read whole.
func (p *paced) stop() (whole bool) {
	if p.whole.Load() {
		return true
	}
	p.stopped.Store(true)
	_ = p.control.SetReadDeadline(time.Unix(1, 0))
	return p.whole.Load()
}

// isName tells whether an id or a key is a plain word.
func isName(s string) bool { return s != "" && len(s) <= nameMost && isPlain(s, false) }

// isPlain tells whether a text is visible ASCII, perhaps with spaces.
func isPlain(s string, spaces bool) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == ' ' && !spaces {
			return false
		}
	}
	return true
}

// encode writes a stream's final answer.
func encode(w http.ResponseWriter, r *http.Request, res stream.Response) {
	if t := res.Report.String(); t != "" {
		w.Header().Set(budget.ReportHeader, t)
	}
	switch res.Outcome {
	case stream.Served:
		h := w.Header()
		if h["Content-Type"] = nil; res.MediaType != "" {
			h.Set("Content-Type", res.MediaType)
		}
		if res.Rest != nil {
			pass(w, r, res)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(res.Body)))
		_, _ = w.Write(res.Body) // an error here is the client's leaving
	case stream.RejectedLocally:
		if res.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64))
		}
		say(w, http.StatusServiceUnavailable, "")
	case stream.InvalidRequest:
		say(w, http.StatusBadRequest, "an upstream host finds fault with the request")
	case stream.BodyIncomplete:
		say(w, http.StatusBadRequest, "the body is cut off")
	case stream.Duplicate:
		say(w, http.StatusConflict, "a request of this id is under way")
	case stream.LoopDetected:
		say(w, http.StatusLoopDetected, "loop: "+res.Loop)
	case stream.DeadlineExceeded:
		say(w, http.StatusGatewayTimeout, "")
	default: // failed, or nobody is there to read it
		say(w, http.StatusBadGateway, "")
	}
}

// pass writes an answer that still comes, as it comes. One that can't be finished is cut so that the client can tell.
func pass(w http.ResponseWriter, r *http.Request, res stream.Response) {
	defer res.Rest.Close()
	defer onGivenUp(r.Context(), res.Rest.Interrupt)()
	if res.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	control, buf := http.NewResponseController(w), buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buf)
	send := func(b []byte) error {
		if _, err := w.Write(b); err != nil {
			return err
		}
		return control.Flush()
	}
	err := send(res.Body)
	for err == nil {
		var n int
		n, err = res.Rest.Read(buf[:])
		if n > 0 {
			if fault := send(buf[:n]); fault != nil {
				err = fault
			}
		}
	}
	if err != io.EOF {
		cut(r.Context())
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
