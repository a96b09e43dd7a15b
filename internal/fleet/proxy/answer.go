package proxy

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/upstream"
)

// relayBuffer is how many bytes of an answer are read and passed on at once.
const relayBuffer = 4 << 10

// answerRelay passes one endpoint's answer on as it comes. The head goes with the first piece of the body: an answer that breaks
// off before has shown the client nothing, and another endpoint's may replace it.
type answerRelay struct {
	forwarding *forwarding
	reply      *upstream.Reply
	wait       *firstTokenWait
	streams    bool // pieces are flushed, and their timing is recorded
	resumable  bool // complete events only are passed on, so that another endpoint can continue them

	firstAt    time.Time // zero: nothing has been read
	lastAt     time.Time // of the last read
	longestGap time.Duration
}

// relay passes an answer on to the client and returns the attempt's outcome.
func (f *forwarding) relay(ctx context.Context, reply *upstream.Reply, wait *firstTokenWait) outcome {
	route := f.request.route
	streams := route.Type == config.Streaming && isSuccess(reply.Status)
	r := answerRelay{
		forwarding: f, reply: reply, wait: wait,
		streams: streams, resumable: streams && route.StreamResume && isEventStream(reply.Header),
	}
	return r.run(ctx)
}

func (r *answerRelay) run(ctx context.Context) outcome {
	response := &r.forwarding.response
	response.events.reset()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := r.reply.Body.Read(buffer)
		now := time.Now()
		if n > 0 && !r.recordPiece(now) {
			return interrupted
		}
		r.lastAt = now
		piece := buffer[:n]
		if r.resumable {
			piece = response.events.complete(piece, &response.lastEventID)
		}
		isComplete := err == io.EOF && (!r.resumable || response.events.empty())
		if !response.headSent && (len(piece) > 0 || isComplete) {
			response.sendHead(r.reply, r.resumable)
		}
		if !response.send(piece, r.streams) {
			return clientClosed
		}
		switch {
		case err == nil:
		case isComplete:
			r.recordEnd(now)
			return completed
		default:
			return r.forwarding.judgeTruncation(ctx, r.wait, r.resumable)
		}
	}
}

// recordPiece records the time of a piece of the body. It returns false where the attempt was abandoned before the first one.
func (r *answerRelay) recordPiece(now time.Time) bool {
	if !r.firstAt.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastAt))
		return true
	}
	r.firstAt = now
	if !r.wait.arrive() {
		return false
	}
	if isSuccess(r.reply.Status) {
		r.forwarding.server.dispatcher.recordFirstToken(r.wait.placement, now.Sub(r.wait.sentAt))
	}
	return true
}

// recordEnd records a stream that was passed on completely.
func (r *answerRelay) recordEnd(now time.Time) {
	if r.streams && !r.firstAt.IsZero() {
		r.forwarding.server.dispatcher.recordStreamEnd(r.wait.placement, now.Sub(r.firstAt), r.longestGap)
	}
}

// judgeTruncation returns the outcome of an answer that ended early.
func (f *forwarding) judgeTruncation(ctx context.Context, wait *firstTokenWait, resumable bool) outcome {
	if ctx.Err() == nil {
		f.server.dispatcher.recordFailure(wait.placement.Endpoint)
	}
	if f.request.http.Context().Err() != nil {
		return clientClosed
	}
	if f.response.headSent && !(resumable && f.response.lastEventID != "") {
		return truncated
	}
	return interrupted
}

// isEventStream reports whether a body is server-sent events, which can be separated.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// response is what the client gets, over all attempts.
type response struct {
	writer      http.ResponseWriter
	headSent    bool
	lastEventID string // of the last event that was passed on; empty: none, or events without ids
	events      eventSplitter
}

// sendHead passes an answer's head on.
func (r *response) sendHead(reply *upstream.Reply, resumable bool) {
	named := connectionTokens(reply.Header)
	header := r.writer.Header()
	for name, values := range reply.Header {
		if hopByHopHeaders[name] || named[name] {
			continue
		}
		header[name] = values
	}
	delete(header, "Content-Length")
	if reply.Length >= 0 && !resumable {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	// net/http would add these to an answer without them: it is passed on unchanged.
	if _, found := reply.Header["Date"]; !found {
		header["Date"] = nil
	}
	if _, found := reply.Header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
	r.headSent = true
	r.writer.WriteHeader(reply.Status)
}

// send passes a piece of the body on. It returns false where the client can't be reached.
func (r *response) send(piece []byte, flush bool) bool {
	if len(piece) == 0 {
		return true
	}
	if _, err := r.writer.Write(piece); err != nil {
		return false
	}
	if flush {
		return http.NewResponseController(r.writer).Flush() == nil
	}
	return true
}
