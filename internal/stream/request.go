package stream

import (
	"sync/atomic"
	"time"
)

// Request is one stream's request, decoded. The endpoint gets it as it came.
type Request struct {
	Txn         string // transaction id, fresh for every request
	ClassName   string
	Class       int
	Tenant      int    // 1 is the settings' first; 0: none that they know
	TenantName  string // as the caller has it
	Operation   string // over HTTP, the method
	Target      string // over HTTP, the raw path and query
	Authority   string
	Key         string // idempotency key, where the class carries one
	ClientRetry bool   // the client's own retry
	Labels      string
	MediaType   string    // of the body; protocols with several encodings tell them apart by it
	Body        []byte    // all of it, or with Upload the beginning
	Upload      *Upload   // what still comes of the body; nil: nothing does
	Baggage     string    // what travels from tier to tier beside it (W3C Baggage): as it came, and of an attempt as it goes on
	Arrived     time.Time // when its first byte came
	Deadline    time.Time // when the client gives up
	// ClientGone reports whether the client has disconnected, by a check of its connection: not every disconnect ends the
	// stream's context in time. Any goroutine may call it, also after the stream. Nil: it can't be checked, or says nothing.
	ClientGone func() bool

	state *liveState // nil: no stream serves it
}

// liveState is what a stream and its attempts share while it lasts.
type liveState struct {
	done      chan struct{} // closed when the stream ends
	since     time.Time
	checkedAt atomic.Int64 // nanoseconds after since: when its client was last known to be connected
}

// clientCheckValidity is how long a client that was known to be connected is taken to be. It bounds how long after its client's
// disconnect an attempt may start, and the time between two lines.
const clientCheckValidity = 2 * time.Millisecond

// ClientWaiting reports whether anybody still waits for the answer, by a check of the client.
func (r *Request) ClientWaiting() bool {
	if r.state == nil {
		return r.ClientGone == nil || !r.ClientGone()
	}
	select {
	case <-r.state.done:
		return false
	default:
	}
	at := time.Since(r.state.since) // before the check: what it does not see has not happened by then
	if r.ClientGone != nil && r.ClientGone() {
		return false
	}
	r.state.checkedAt.Store(int64(at))
	return true
}

// ClientRecentlyWaiting is ClientWaiting for what may have waited since the last check, whose result it uses where that is
// recent: the check before an attempt's first byte.
func (r *Request) ClientRecentlyWaiting() bool {
	if r.state == nil || time.Since(r.state.since)-time.Duration(r.state.checkedAt.Load()) > clientCheckValidity {
		return r.ClientWaiting()
	}
	select {
	case <-r.state.done:
		return false
	default:
		return true
	}
}
