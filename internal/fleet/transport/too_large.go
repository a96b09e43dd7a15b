package transport

import "fmt"

// TooLargeError reports that a message, or the request or reply of a call, was not sent because no router accepts one of that size.
type TooLargeError struct {
	To    string // the receiver's internal address; empty: that of a call to be replied to
	Path  string // of a call; empty: a message
	Kind  Kind   // of a message
	Bytes int    // of the body
}

func (e *TooLargeError) Error() string {
	what := fmt.Sprintf("a message of kind %d", e.Kind)
	if e.Path != "" {
		what = "a call of " + e.Path
	}
	return fmt.Sprintf("transport: %s with %d bytes is not sent: at most %d are accepted", what, e.Bytes, maxBodyBytes)
}

// OnTooLarge registers a function that is told of each message, request and reply that is too large to be sent. It must be registered before
// Serve, and may be called by several goroutines at a time.
func (t *Transport) OnTooLarge(report func(*TooLargeError)) { t.reportTooLarge = report }

// checkSize returns a TooLargeError, which it also counts and reports, for a body that no router accepts.
func (t *Transport) checkSize(body []byte, e TooLargeError) error {
	if len(body) <= maxBodyBytes {
		return nil
	}
	e.Bytes = len(body)
	t.Counters.TooLarge.Add(1)
	if t.reportTooLarge != nil {
		t.reportTooLarge(&e)
	}
	return &e
}
