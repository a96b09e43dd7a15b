package history

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Kind is what a call does.
type Kind string

// The kinds of calls.
const (
	Acquire   Kind = "acquire"
	Renew     Kind = "renew"
	Release   Kind = "release"
	Increment Kind = "increment"
	Put       Kind = "put"
	Get       Kind = "get"
	Watch     Kind = "watch"
)

// Unclear is the status of a call whose outcome is not known.
const Unclear = 0

// Call is one call, with what it was answered.
type Call struct {
	Caller   string        `json:"caller"` // its calls follow each other
	Kind     Kind          `json:"kind"`
	Name     string        `json:"name"`   // a lock, a counter, a key, or a group with its dot
	Router   string        `json:"router"` // that was called
	Sent     time.Duration `json:"sent"`
	Received time.Duration `json:"received"`
	Status   int           `json:"status"` // of HTTP; Unclear: no clear answer
	Final    bool          `json:"final,omitempty"`
	Note     string        `json:"note,omitempty"` // the error, or the status of an unclear answer

	Holder     string  `json:"holder,omitempty"`
	HoldMs     int64   `json:"holdMs,omitempty"`
	Fence      uint64  `json:"fence,omitempty"` // sent by Renew and Release, answered to Acquire
	Number     uint64  `json:"number,omitempty"`
	Value      string  `json:"value,omitempty"` // sent by Put, answered to Get
	IfRevision *uint64 `json:"ifRevision,omitempty"`
	Since      uint64  `json:"since,omitempty"`
	Revision   uint64  `json:"revision,omitempty"` // answered
	Events     []Event `json:"events,omitempty"`
}

// Event is a put as a watch shows it.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// History is what all callers saw.
type History struct {
	Calls   []*Call
	History time.Duration // for which the events of a group are kept at least
}

// succeeded reports whether a call was answered 200.
func (c *Call) succeeded() bool { return c.Status == http.StatusOK }

// isRefused reports whether a call's answer promises that it has not taken effect, whatever the state.
func (c *Call) isRefused() bool {
	return c.Status == http.StatusTooManyRequests || c.Status == http.StatusServiceUnavailable
}

// end is when the caller's hold ends that a good call begins or extends.
func (c *Call) end() time.Duration { return c.Sent + time.Duration(c.HoldMs)*time.Millisecond }

// String returns the call in one line.
func (c *Call) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3f to %.3f s %s at %s: %s %s", c.Sent.Seconds(), c.Received.Seconds(), c.Caller, c.Router, c.Kind, c.Name)
	if c.Holder != "" {
		fmt.Fprintf(&b, " holder=%s holdMs=%d fence=%d", c.Holder, c.HoldMs, c.Fence)
	}
	if c.Value != "" {
		fmt.Fprintf(&b, " value=%s", short(c.Value))
	}
	if c.IfRevision != nil {
		fmt.Fprintf(&b, " ifRevision=%d", *c.IfRevision)
	}
	if c.Kind == Watch {
		fmt.Fprintf(&b, " since=%d", c.Since)
	}
	fmt.Fprintf(&b, " -> %d", c.Status)
	if c.Number != 0 {
		fmt.Fprintf(&b, " number=%d", c.Number)
	}
	if c.Revision != 0 {
		fmt.Fprintf(&b, " revision=%d", c.Revision)
	}
	for _, e := range c.Events {
		fmt.Fprintf(&b, " {%s %s %d}", e.Name, short(e.Value), e.Revision)
	}
	if c.Note != "" {
		fmt.Fprintf(&b, " (%s)", c.Note)
	}
	return b.String()
}

// maxShown bounds how much of a value is shown.
const maxShown = 40

// short returns a value as it is shown.
func short(value string) string {
	if len(value) <= maxShown {
		return value
	}
	return value[:maxShown] + "..."
}

// groupOf returns the group of a key, dot included, or the key where it has no dot.
func groupOf(key string) string {
	if before, _, found := strings.Cut(key, "."); found {
		return before + "."
	}
	return key
}
