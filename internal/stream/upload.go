package stream

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// MaxUploadTime is how long a body may come at most; its front gives it up sooner where it stands still.
const MaxUploadTime = 20 * time.Minute

// Upload is the part of a request's body that still comes when the request is passed on. Its bytes are gone once they have
// been read, so that the request can't be sent again from then on.
type Upload struct {
	Length        int64         // bytes of the whole body; below 0: not stated
	ClientTimeout time.Duration // the client's wait, from the last byte on

	rest    io.Reader
	started atomic.Bool
	done    chan struct{}
	once    sync.Once
	onDone  func() // the decisions
}

// NewUpload returns an upload whose bytes rest brings.
func NewUpload(rest io.Reader, length int64, left time.Duration) *Upload {
	return &Upload{Length: length, ClientTimeout: left, rest: rest, done: make(chan struct{}), onDone: func() {}}
}

// Read reads more of the body. Any error but io.EOF is the client's: it brings no more.
func (u *Upload) Read(b []byte) (int, error) {
	u.started.Store(true)
	return u.rest.Read(b)
}

// Done says that the last byte has been passed on: the client's time, and the host's, begins.
func (u *Upload) Done() {
	u.once.Do(func() {
		u.onDone()
		close(u.done)
	})
}

// passed ends when the body has been passed on whole; nil, of none, never does.
func (u *Upload) doneChannel() <-chan struct{} {
	if u == nil {
		return nil
	}
	return u.done
}

// spent tells whether a part of the body is gone, so that the request can't be sent again.
func (u *Upload) partlyRead() bool { return u != nil && u.started.Load() }
