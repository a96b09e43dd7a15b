package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// Outcomes of calls.
var (
	// ErrHeld says that another holder has the lock.
	ErrHeld = errors.New("client: the lock is held by another")
	// ErrLost says that the lock's time has run out, or that another holder has it now.
	ErrLost = errors.New("client: the lock is lost")
	// ErrReleased says that the lock was released by its holder.
	ErrReleased = errors.New("client: the lock is released")
	// ErrNotFound says that there is no such key.
	ErrNotFound = errors.New("client: there is no such key")
	// ErrCompacted says that puts which a watch has not told are no longer known. Read the keys, and watch from the present revision.
	ErrCompacted = errors.New("client: puts after the revision are no longer known")
	// ErrUnclear says that the call may have taken effect, or may yet.
	ErrUnclear = errors.New("client: the outcome is not known")
)

// RevisionMismatchError reports that a put was not made because its key has another revision.
type RevisionMismatchError struct {
	Key      string
	Revision uint64 // that the key has; 0: there is no such key
}

func (e *RevisionMismatchError) Error() string {
	return "client: key " + strconv.Quote(e.Key) + " has revision " + strconv.FormatUint(e.Revision, 10)
}

// RefusedError reports that a call was not executed and never will be.
type RefusedError struct {
	Status int    // of the last answer; 0: no address was reached, or the call is invalid
	Reason string // as the service gave it
	Err    error  // why the call was not tried again; nil: it would be refused again
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

// IsInvalid reports whether the call itself is wrong, so that it would be refused again.
func (e *RefusedError) IsInvalid() bool { return e.Err == nil }
