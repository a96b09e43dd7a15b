package downstream

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/stream"
)

const (
	writeStallTimeout = 10 * time.Second // that a client may read nothing of a response
	copyBufferSize    = 32 << 10         // bytes
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeResponse writes a stream's response.
func writeResponse(w http.ResponseWriter, r *http.Request, res stream.Response) {
	if attempted := res.Report.String(); attempted != "" {
		w.Header().Set(budget.ReportHeader, attempted)
	}
	switch res.Outcome {
	case stream.Served:
		h := w.Header()
		if h["Content-Type"] = nil; res.MediaType != "" { // nil keeps net/http from guessing one
			h.Set("Content-Type", res.MediaType)
		}
		if res.Rest != nil {
			streamResponse(w, r, res)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(res.Body)))
		_, _ = w.Write(res.Body) // an error says that the client has left
	case stream.RejectedLocally:
		if res.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64))
		}
		writeLocalReply(w, http.StatusServiceUnavailable, "")
	case stream.InvalidRequest:
		writeLocalReply(w, http.StatusBadRequest, "an upstream host finds fault with the request")
	case stream.BodyIncomplete:
		writeLocalReply(w, truncatedBody.status, truncatedBody.reason)
	case stream.Duplicate:
		writeLocalReply(w, http.StatusConflict, "a request of this id is under way")
	case stream.LoopDetected:
		writeLocalReply(w, http.StatusLoopDetected, "loop: "+res.Loop)
	case stream.DeadlineExceeded:
		writeLocalReply(w, http.StatusGatewayTimeout, "")
	default: // failed, or its client has left
		writeLocalReply(w, http.StatusBadGateway, "")
	}
}

// streamResponse writes a response that is still coming from the host, as it comes. One that can't be completed is aborted so
// that the client notices.
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
			if sendErr := send(buf[:n]); sendErr != nil {
				err = sendErr
			}
		}
	}
	if err != io.EOF {
		abortResponse(r.Context())
	}
}

// writeLocalReply writes a response that is not an upstream host's.
func writeLocalReply(w http.ResponseWriter, status int, reason string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(reason)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason) // an error says that the client has left
}
