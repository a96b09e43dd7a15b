package proxy

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/overload"
	"pinelb.example/pinelb/internal/upstream"
)

// relayBufferBytes is the maximum number of bytes of a response that are read and relayed at once.
const relayBufferBytes = 4 << 10

// maxEventBytes is the size of an incomplete event from which on it is relayed as it comes.
const maxEventBytes = 256 << 10

// responseRelay relays the response of one endpoint to the client while it is received. The head is sent together with the first
// piece of the body. If the response is interrupted before that, the client has received nothing, and the response of another
// endpoint can replace it.
type responseRelay struct {
	forwarding *forwarding
	reply      *upstream.Reply
	wait       *firstTokenWait
	streams    bool // each piece is flushed, and its timing is recorded
	resumable  bool // only complete events are relayed, so that another endpoint can continue the stream

	firstReadAt time.Time // of the first piece; zero: nothing has been read
	lastReadAt  time.Time // of the latest read
	longestGap  time.Duration
}

// relay relays a response to the client and returns the attempt's outcome.
func (f *forwarding) relay(ctx context.Context, reply *upstream.Reply, wait *firstTokenWait) outcome {
	route := f.request.route
	streams := route.Type == config.Streaming && isSuccess(reply.Status)
	r := responseRelay{
		forwarding: f, reply: reply, wait: wait,
		streams: streams, resumable: streams && route.StreamResume && isEventStream(reply.Header),
	}
	return r.run(ctx)
}

func (r *responseRelay) run(ctx context.Context) outcome {
	response := &r.forwarding.response
	response.events.reset()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := r.reply.Body.Read(buffer)
		now := time.Now()
		if n > 0 && !r.recordPiece(now) {
			return interrupted
		}
		r.lastReadAt = now
		piece := buffer[:n]
		if r.resumable {
			piece = response.events.complete(piece, &response.lastEventID)
			if response.events.exceeds(maxEventBytes) || !r.reserveEvent() {
				piece = response.events.take()
				r.resumable = false // the client has a part of an event, which no other endpoint can continue
			}
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
			return r.forwarding.classifyTruncation(ctx, r.wait, r.resumable)
		}
	}
}

// reserveEvent reserves the memory of an incomplete event. It returns false if there is no room for it.
func (r *responseRelay) reserveEvent() bool {
	response := &r.forwarding.response
	added := response.events.size() - response.reserved
	if added <= 0 {
		return true
	}
	if !overload.ConnOf(r.forwarding.request.http.Context()).Reserve(added) {
		return false
	}
	response.reserved += added
	return true
}

// recordPiece records the time at which a piece of the body was read. It returns false if the attempt was abandoned before its
// first piece.
func (r *responseRelay) recordPiece(now time.Time) bool {
	if !r.firstReadAt.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastReadAt))
		return true
	}
	r.firstReadAt = now
	if !r.wait.markArrived() {
		return false
	}
	if isSuccess(r.reply.Status) {
		r.forwarding.server.dispatcher.recordFirstToken(r.wait.placement, now.Sub(r.wait.sentAt))
	}
	return true
}

// recordEnd records the end of a stream that was relayed completely.
func (r *responseRelay) recordEnd(now time.Time) {
	if r.streams && !r.firstReadAt.IsZero() {
		r.forwarding.server.dispatcher.recordStreamEnd(r.wait.placement, now.Sub(r.firstReadAt), r.longestGap)
	}
}

// classifyTruncation returns the outcome of an attempt whose response ended early.
func (f *forwarding) classifyTruncation(ctx context.Context, wait *firstTokenWait, resumable bool) outcome {
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

// isEventStream reports whether a body is a stream of server-sent events, which can be split at the events' ends.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// response is the client's response, to which several attempts may contribute.
type response struct {
	writer      http.ResponseWriter
	headSent    bool
	lastEventID string // of the last relayed event that has an id; empty: no such event
	events      eventSplitter
	reserved    int64 // bytes, for an incomplete event
}

// sendHead sends the head of an endpoint's response to the client.
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
	// net/http would add these headers to a response without them. The response is relayed unchanged.
	if _, found := reply.Header["Date"]; !found {
		header["Date"] = nil
	}
	if _, found := reply.Header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
	r.headSent = true
	r.writer.WriteHeader(reply.Status)
}

// send sends a piece of the body to the client. It returns false if that fails.
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
