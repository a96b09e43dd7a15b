package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// Errors that are outcomes of calls.
var (
	// ErrHeld means that the lock is held by another holder.
	ErrHeld = errors.New("client: the lock is held by another")
	// ErrLost means that the hold has expired, or that another holder has acquired the lock.
	ErrLost = errors.New("client: the lock is lost")
	// ErrReleased means that the holder has released the lock.
	ErrReleased = errors.New("client: the lock is released")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("client: there is no such key")
	// ErrCompacted means that the service has dropped puts which the watch has not returned yet. Read the keys, and start a new watch at the
	// current revision.
	ErrCompacted = errors.New("client: puts after the revision are no longer known")
	// ErrUnclear means that the call may have taken effect, or may still take effect.
	ErrUnclear = errors.New("client: the outcome is not known")
)

// RevisionMismatchError means that a conditional put was rejected because the key has another revision.
type RevisionMismatchError struct {
	Key      string
	Revision uint64 // the current revision of the key; 0: the key does not exist
}

func (e *RevisionMismatchError) Error() string {
	return "client: key " + strconv.Quote(e.Key) + " has revision " + strconv.FormatUint(e.Revision, 10)
}

// RefusedError means that a call was not executed and never will be.
type RefusedError struct {
	Status int    // of the last response; 0: there was no response, or the client rejected the call as invalid
	Reason string // from the last response, or from the client if there was none
	Err    error  // why the call is not retried any more; nil: a retry would be refused again
}

func (e *RefusedError) Error() string {
	text := "client: not executed: " + e.Reason
	if e.Status != 0 {
		text += fmt.Sprintf(" (%d %s)", e.Status, http.StatusText(e.Status))
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *RefusedError) Unwrap() error { return e.Err }

// IsInvalid reports whether the call itself is invalid or not served, so that a retry would be refused again.
func (e *RefusedError) IsInvalid() bool { return e.Err == nil }
