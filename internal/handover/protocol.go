// Package handover passes a sidecar's listeners and state from a running process to its successor, over a Unix socket. It
// interprets neither the state nor the lines that the two processes exchange afterwards; both are the caller's (package daemon).
//
// The running process waits in Server.Serve. The new one calls Connect, which receives listeners and state in one message, and
// Predecessor.Ready once it serves. Their connection stays open for as long as both run; that it ends is how either process
// learns that the other has ended. Listeners are shared, not moved: both processes may accept, and closing one's own copy takes
// nothing from the other.
//
// On the wire, by either side in turn:
//
//	successor    the greeting
//	predecessor  4 bytes, big-endian: the length of the message; with them the listeners' descriptors (SCM_RIGHTS, unix(7))
//	predecessor  the message, as JSON
//	both         lines, at any time from here on
//	successor    the line "ready", once it serves
//	predecessor  the line "yours", once it has noted that
package handover

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"
)

const (
	version   = 1
	greeting  = "pinelb hand-over 1\n"
	readyLine = "ready"
	ackLine   = "yours"

	stepTimeout       = time.Second            // of each step of the exchange: the new process is due within a few seconds
	pathCheckInterval = 250 * time.Millisecond // between checks that the path is still this process's
	lockRetryInterval = 2 * time.Millisecond   // between attempts to lock the path
	busyRetryInterval = 10 * time.Millisecond  // between attempts to connect to a server that is busy

	maxListeners = 8
	maxLineBytes = 64 << 10
	maxPathBytes = 100 // of a Unix socket's path, which the kernel bounds at 108
)

// MaxStateBytes bounds the message to a successor. A successor takes no part of a longer one.
const MaxStateBytes = 8 << 20

// message is what a successor receives, with one descriptor for each listener.
type message struct {
	Version   int             `json:"version"`
	Listeners []string        `json:"listeners"` // addresses as configured
	State     json.RawMessage `json:"state"`
}

// errBusy says that a process is at the path and hands nothing over: it is busy with another successor, or is one itself.
var errBusy = errors.New("handover: the process is busy")

// SocketPath returns the path at which a sidecar that listens at that address waits for its successor; empty where TMPDIR is
// not set or the path would be too long, so that there is no hand-over.
func SocketPath(listen string) string {
	dir := os.Getenv("TMPDIR")
	path := filepath.Join(dir, "pinelb-"+listen+".sock")
	if dir == "" || len(path) > maxPathBytes {
		return ""
	}
	return path
}
