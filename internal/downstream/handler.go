package downstream

import (
	"net"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// localReply is a response to a request that is no valid stream, or for which there is no capacity (Envoy: local reply).
type localReply struct {
	status int
	reason string
}

var (
	unexpectedBody      = &localReply{http.StatusBadRequest, "the class takes no body"}
	truncatedBody       = &localReply{http.StatusBadRequest, "the body is cut off"}
	bodyTooLarge        = &localReply{http.StatusRequestEntityTooLarge, "the body is too large"}
	bodyMemoryExhausted = &localReply{http.StatusServiceUnavailable, "too many bodies at once"} // the stream is valid
)

// ServeHTTP reads one request and writes its response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		// net/http has dropped a Content-Length beside the Transfer-Encoding, or in HTTP/1.0 the Transfer-Encoding: by the field
		// that was dropped, another request may be inside this one's body (request smuggling, RFC 9112, section 11.2).
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 { // where nobody here reads a body, net/http does before it responds
		_ = http.NewResponseController(w).SetReadDeadline(arrived.Add(bodyTimeout))
	}
	if r.URL.Path == "/_health" {
		if r.ContentLength != 0 {
			writeLocalReply(w, http.StatusBadRequest, "health takes no body")
		} else {
			s.health(w)
		}
		return
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr) // net/http sets it
	admitted := s.StartStream(local)
	defer s.EndStream()
	res, reply := s.respond(w, r, arrived, admitted)
	faulty := reply != nil || res.Outcome == stream.InvalidRequest || res.Outcome == stream.Duplicate || res.Outcome == stream.BodyIncomplete
	if faulty || s.ClosesConnections() { // what follows a faulty request need not be a request
		w.Header().Set("Connection", "close")
	}
	if reply != nil {
		writeLocalReply(w, reply.status, reply.reason)
		return
	}
	writeResponse(w, r, res)
}

// respond returns a stream's response, or the reply to a request that is no stream.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, arrived time.Time, admitted bool) (stream.Response, *localReply) {
	req, reply := s.decodeRequest(r, arrived)
	if !admitted {
		if reply != nil { // nor is there capacity to report the fault
			return stream.Response{Outcome: stream.RejectedLocally}, nil
		}
		return s.handler.Refuse(req), nil
	}
	var upload *timedBody
	if reply == nil {
		req.Body, upload, reply = s.readBody(w, r)
		defer s.ReleaseBytes(cap(req.Body))
		switch {
		case reply == nil && len(req.Body) > 0 && r.Method == http.MethodGet:
			reply = unexpectedBody
		case upload != nil:
			req.Upload = stream.NewUpload(upload, r.ContentLength, req.Deadline.Sub(req.Arrived))
		}
	}
	if reply == bodyMemoryExhausted {
		s.handler.Refuse(req)
	}
	if reply != nil {
		return stream.Response{}, reply
	}
	if req.Upload != nil {
		req.Deadline = time.Now().Add(stream.MaxUploadTime)
		res := s.serveStream(r, req)
		if !upload.interrupt() { // what follows is not a request
			w.Header().Set("Connection", "close")
		}
		return res, nil
	}
	if r.ContentLength != 0 { // a body that was read to its length leaves its deadline set
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	readTime := time.Since(req.Arrived) // the client's deadline counts from the request's last byte
	req.Arrived, req.Deadline = req.Arrived.Add(readTime), req.Deadline.Add(readTime)
	return s.serveStream(r, req), nil
}

// serveStream calls the handler. A panic fails the stream alone: the client still gets a response.
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
