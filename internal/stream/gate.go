package stream

import "time"

// Gate is what this sidecar may do at present. It is called on a request's path, by many goroutines at once.
type Gate interface {
	// AcceptsStreams reports whether new streams are accepted, and where not, after how long their clients should retry; 0 is
	// no hint.
	AcceptsStreams() (accepts bool, retryAfter time.Duration)
	// AllowsAttempts reports whether attempts are sent. One that isn't ends as never sent, which is no evidence about its
	// endpoint.
	AllowsAttempts() bool
}
