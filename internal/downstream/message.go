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
	maxBufferedBody     = 64 << 10 // bytes of any message's body
	initialBodyCapacity = 4 << 10  // bytes to begin with
	maxNameBytes        = 128      // bytes of an id or a key

	bodyTimeout       = 4 * time.Second  // a body may take so long, and beyond that
	minBodyRate       = 32 << 10         // a second for so many bytes: clients send at twice that
	writeStallTimeout = 10 * time.Second // a client takes nothing of an answer for so long at most
	copyBufferSize    = 32 << 10
	maxUploadBytes    = 64 << 20 // bytes of a body that is passed on as it comes
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

type class struct {
	index     int
	effect    balance.Effect
	deadline  time.Duration
	removedAt time.Time // it has vanished and is taken until then; zero: it is there
}

// refusal is a local reply to a message that is no valid stream.
type localReply struct {
	status int
	reason string
}

// bodyless is the one for a body where none belongs.
var unexpectedBody = &localReply{http.StatusBadRequest, "the class takes no body"}

// bodyTooLarge is the one for a body beyond what is passed on.
var bodyTooLarge = &localReply{http.StatusRequestEntityTooLarge, "the body is too large"}

// bodyMemoryExhausted is the one for a stream that is valid and finds no room.
var bodyMemoryExhausted = &localReply{http.StatusServiceUnavailable, "too many bodies at once"}

// ServeHTTP takes one message and answers it once.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// net/http has dropped the Content-Length, or in HTTP/1.0 the Transfer-Encoding, that may have stood
		// beside it: by the one that was dropped, another request may stand inside this one's body.
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 { // where nobody here reads a body, net/http does before it answers
		_ = http.NewResponseController(w).SetReadDeadline(at.Add(bodyTimeout))
	}
	if r.URL.Path == "/_health" {
		if r.ContentLength != 0 {
			writeLocalReply(w, http.StatusBadRequest, "health takes no body")
		} else {
			s.health(w)
		}
		return
	}
	here, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr) // net/http sets it
	room := s.StartStream(here)
	defer s.EndStream()
	res, bad := s.respond(w, r, at, room)
	faulty := bad != nil || res.Outcome == stream.Rejected || res.Outcome == stream.Duplicate || res.Outcome == stream.Broken
	if faulty || s.ClosesConnections() { // what follows a faulty message need not be a message
		w.Header().Set("Connection", "close")
	}
	if bad != nil {
		writeLocalReply(w, bad.status, bad.reason)
		return
	}
	writeResponse(w, r, res)
}

// answer is a stream's final answer, or why the message is none.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, at time.Time, room bool) (stream.Response, *localReply) {
	req, bad := s.decodeRequest(r, at)
	var rest *timedBody
	if !room {
		if bad != nil { // there is no room to find fault with it either
			return stream.Response{Outcome: stream.Refused}, nil
		}
		return s.handler.Refuse(req), nil
	}
	if bad == nil {
		req.Body, rest, bad = s.readBody(w, r)
		defer s.ReleaseBytes(cap(req.Body))
		switch {
		case bad == nil && len(req.Body) > 0 && r.Method == http.MethodGet:
			bad = unexpectedBody
		case rest != nil:
			req.Upload = stream.NewUpload(rest, r.ContentLength, req.Deadline.Sub(req.Arrived))
		}
	}
	if bad == bodyMemoryExhausted {
		s.handler.Refuse(req)
	}
	if bad != nil {
		return stream.Response{}, bad
	}
	if req.Upload != nil {
		req.Deadline = time.Now().Add(stream.UploadMost)
		res := s.serveStream(r, req)
		if !rest.interrupt() { // what follows is not a message
			w.Header().Set("Connection", "close")
		}
		return res, nil
	}
	if r.ContentLength != 0 { // a body that was read to its length has no end
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	late := time.Since(req.Arrived) // the client's time runs from the message's last byte
	req.Arrived, req.Deadline = req.Arrived.Add(late), req.Deadline.Add(late)
	return s.serveStream(r, req), nil
}

// serve keeps a panic in one stream from its connection: the client still gets an answer.
func (s *Server) serveStream(r *http.Request, req *stream.Request) (res stream.Response) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error().Interface("panic", fault).Msg("stream failed")
			res = stream.Response{Outcome: stream.Failed}
		}
	}()
	return s.handler.Serve(r.Context(), req)
}

func (s *Server) health(w http.ResponseWriter) {
	if s.AcceptsStreams() {
		writeLocalReply(w, http.StatusOK, "")
	} else {
		writeLocalReply(w, http.StatusServiceUnavailable, "")
	}
}

// decode reads a message's head into a request, or says why it is none.
func (s *Server) decodeRequest(r *http.Request, at time.Time) (*stream.Request, *localReply) {
	h := r.Header
	path := strings.TrimPrefix(r.URL.Path, "/")
	lane := cmp.Or(h.Get("X-Lane"), s.classOf(path, at))
	c, known := s.class(lane, at)
	switch {
	case !known || !hasClassPrefix(path, lane) && s.classOf(path, at) == "":
		return nil, &localReply{http.StatusNotFound, "unknown class"}
	case !hasClassPrefix(path, lane):
		return nil, &localReply{http.StatusBadRequest, "X-Lane and the path name different classes"}
	}
	req := &stream.Request{
		Txn: h.Get("X-Txn"), ClassName: lane, Class: c.index, Operation: r.Method, Target: requestTarget(r), Authority: r.Host,
		Key: h.Get("Idempotency-Key"), Repeated: h.Get("X-Resent") == "1", Labels: h.Get("X-Labels"),
		Org: h.Get("X-Org"), MediaType: h.Get("Content-Type"), Baggage: strings.Join(h["Baggage"], ","),
	}
	left, err := strconv.ParseUint(h.Get("X-Remaining-Ms"), 10, 32)
	method, keyed := http.MethodPost, c.effect == balance.Keyed
	if c.effect == balance.Safe {
		method = http.MethodGet
	}
	switch {
	case !isValidName(req.Txn) || len(h["X-Txn"]) > 1:
		return nil, &localReply{http.StatusBadRequest, "X-Txn is missing, malformed or repeated"}
	case err != nil || len(h["X-Remaining-Ms"]) > 1:
		return nil, &localReply{http.StatusBadRequest, "X-Remaining-Ms is missing, malformed or repeated"}
	case r.Method != method:
		return nil, &localReply{http.StatusBadRequest, "the method does not fit the class"}
	case keyed && (!isValidName(req.Key) || len(h["Idempotency-Key"]) > 1) || !keyed && len(h["Idempotency-Key"]) > 0:
		return nil, &localReply{http.StatusBadRequest, "the Idempotency-Key does not fit the class"}
	case len(h["X-Lane"]) > 1 || len(h["X-Org"]) > 1 || len(h["X-Labels"]) > 1 || len(h["Content-Type"]) > 1:
		return nil, &localReply{http.StatusBadRequest, "a header is repeated"}
	case !strings.HasPrefix(req.Target, "/") || !isPrintableASCII(req.Target, false) || !isPrintableASCII(req.Authority, false) ||
		!isPrintableASCII(req.Labels, true) || !isPrintableASCII(req.MediaType, true): // upstream hosts hang up on what they can't read
		return nil, &localReply{http.StatusBadRequest, "the target or a header is malformed"}
	case c.effect == balance.Safe && r.ContentLength > 0:
		return nil, unexpectedBody
	}
	req.Tenant = (*s.tenants.Load())[req.Org]
	if !isPrintableASCII(req.Org, true) { // a name that only the settings can read
		req.Org = ""
	}
	if !isPrintableASCII(req.Baggage, true) { // nobody's concern but ours: no reason to turn the request away
		req.Baggage = ""
	}
	if own, ok := r.Context().Value(connContextKey{}).(*clientConn); ok {
		req.Left = own.peerClosed
	}
	req.Arrived = at // for now
	// An answer within the class's deadline is in time for every client, however long it says it waits.
	req.Deadline = at.Add(min(time.Duration(left)*time.Millisecond, c.deadline))
	return req, nil
}

// lane is the class that begins a path, the longest where several do: their names may have slashes. Empty: none does.
func (s *Server) classOf(path string, at time.Time) (lane string) {
	for name := range *s.classes.Load() {
		if _, known := s.class(name, at); known && len(name) > len(lane) && hasClassPrefix(path, name) {
			lane = name
		}
	}
	return lane
}

// begins tells whether a class is the first part of a path.
func hasClassPrefix(path, lane string) bool {
	rest, ok := strings.CutPrefix(path, lane)
	return ok && (rest == "" || rest[0] == '/')
}

// target is what is called: the path and query as they came, also where the message names the host before them.
func requestTarget(r *http.Request) string {
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
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *timedBody, *localReply) {
	in := &timedBody{body: r.Body, control: http.NewResponseController(w), start: time.Now()}
	switch {
	case r.ContentLength > maxUploadBytes:
		return nil, nil, bodyTooLarge
	case r.ContentLength > maxBufferedBody && !s.ReserveBytes(copyBufferSize):
		return nil, nil, bodyMemoryExhausted
	case r.ContentLength > maxBufferedBody:
		return make([]byte, 0, copyBufferSize), in, nil
	case r.ContentLength == 0:
		return nil, nil, nil
	}
	var body []byte
	most := int(r.ContentLength)
	if most < 0 {
		most = maxBufferedBody + 1 // one more than is held whole, which tells that there are more
	}
	for len(body) < most {
		if len(body) == cap(body) {
			more := min(max(initialBodyCapacity, cap(body)), most-cap(body))
			if !s.ReserveBytes(more) {
				return body, nil, bodyMemoryExhausted
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		k, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+k]
		switch {
		case err == io.EOF && (r.ContentLength < 0 || len(body) == most):
			return body, nil, nil
		case err != nil:
			return body, nil, &localReply{http.StatusBadRequest, "the body is cut off"}
		}
	}
	if len(body) > maxBufferedBody {
		return body, in, nil
	}
	return body, nil, nil
}

// paced reads a body by its rate, and so much of it at most.
type timedBody struct {
	body        io.Reader
	control     *http.ResponseController
	start       time.Time
	read        int64
	complete    atomic.Bool
	interrupted atomic.Bool
}

func (p *timedBody) Read(b []byte) (int, error) {
	if p.read > maxUploadBytes {
		return 0, errors.New("downstream: the body is too large")
	}
	_ = p.control.SetReadDeadline(p.start.Add(bodyTimeout + time.Duration(p.read)*time.Second/minBodyRate))
	if p.interrupted.Load() {
		_ = p.control.SetReadDeadline(time.Unix(1, 0))
	}
	n, err := p.body.Read(b)
	if p.read += int64(n); err == io.EOF {
		p.complete.Store(true)
		// The time for reading ends with the message: expiring later, it would pass for the client's leaving.
		_ = p.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stop ends a Read that is under way, which would hold up the answer: net/http writes none while a body is being read. It
// returns whether the body was read whole.
func (p *timedBody) interrupt() (whole bool) {
	if p.complete.Load() {
		return true
	}
	p.interrupted.Store(true)
	_ = p.control.SetReadDeadline(time.Unix(1, 0))
	return p.complete.Load()
}

// isValidName tells whether an id or a key is a plain word.
func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && isPrintableASCII(s, false)
}

// isPrintableASCII tells whether a text is visible ASCII, perhaps with spaces.
func isPrintableASCII(s string, spaces bool) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == ' ' && !spaces {
			return false
		}
	}
	return true
}

// encode writes a stream's final answer.
func writeResponse(w http.ResponseWriter, r *http.Request, res stream.Response) {
	if t := res.Tried.String(); t != "" {
		w.Header().Set(budget.TriedHeader, t)
	}
	switch res.Outcome {
	case stream.Served:
		h := w.Header()
		if h["Content-Type"] = nil; res.MediaType != "" {
			h.Set("Content-Type", res.MediaType)
		}
		if res.Rest != nil {
			streamResponse(w, r, res)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(res.Body)))
		_, _ = w.Write(res.Body) // an error here is the client's leaving
	case stream.Refused:
		if res.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64))
		}
		writeLocalReply(w, http.StatusServiceUnavailable, "")
	case stream.Rejected:
		writeLocalReply(w, http.StatusBadRequest, "an upstream host finds fault with the request")
	case stream.Broken:
		writeLocalReply(w, http.StatusBadRequest, "the body is cut off")
	case stream.Duplicate:
		writeLocalReply(w, http.StatusConflict, "a request of this id is under way")
	case stream.Looped:
		writeLocalReply(w, http.StatusLoopDetected, "loop: "+res.Loop)
	case stream.Expired:
		writeLocalReply(w, http.StatusGatewayTimeout, "")
	default: // failed, or nobody is there to read it
		writeLocalReply(w, http.StatusBadGateway, "")
	}
}

// pass writes an answer that still comes, as it comes. One that can't be finished is cut so that the client can tell.
func streamResponse(w http.ResponseWriter, r *http.Request, res stream.Response) {
	defer res.Rest.Close()
	defer afterRelayAbort(r.Context(), res.Rest.Interrupt)()
	if res.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	control, buf := http.NewResponseController(w), copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
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
		abortResponse(r.Context())
	}
}

// say writes a short answer of our own.
func writeLocalReply(w http.ResponseWriter, status int, why string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(why)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why) // an error here is the client's leaving
}
