package stream

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// MaxUploadTime is how long a body may come at most; its front aborts it sooner where it stalls.
const MaxUploadTime = 20 * time.Minute

// Upload is the part of a request's body that still comes when the request is forwarded. Its bytes are gone once they have been
// read, so that the request can't be retried from then on. One goroutine reads it.
type Upload struct {
	Length        int64         // bytes of the whole body; below 0: not stated
	ClientTimeout time.Duration // how long the client waits, from the last byte on

	rest    io.Reader
	started atomic.Bool
	done    chan struct{}
	once    sync.Once
	onDone  func() // reports the end to the decisions
}

// NewUpload returns an upload that reads from rest.
func NewUpload(rest io.Reader, length int64, clientTimeout time.Duration) *Upload {
	return &Upload{Length: length, ClientTimeout: clientTimeout, rest: rest, done: make(chan struct{}), onDone: func() {}}
}

// Read reads more of the body. Any error but io.EOF is the client's: it sends no more.
func (u *Upload) Read(b []byte) (int, error) {
	u.started.Store(true)
	return u.rest.Read(b)
}

// Done reports that the last byte has been forwarded: the client's time, and the endpoint's, begins.
func (u *Upload) Done() {
	u.once.Do(func() {
		u.onDone()
		close(u.done)
	})
}

// doneChannel is closed when the body has been forwarded completely; nil, of no upload, never is.
func (u *Upload) doneChannel() <-chan struct{} {
	if u == nil {
		return nil
	}
	return u.done
}

// partlyRead reports whether a part of the body is gone, so that the request can't be retried.
func (u *Upload) partlyRead() bool { return u != nil && u.started.Load() }
