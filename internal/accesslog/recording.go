// Package accesslog writes one line for each stream of a sidecar, and the lists of endpoints that it knew, so that a time can
// be simulated later from the file alone. A Recorder writes lines, Read reads them into a Recording, and Write writes a
// Recording. The lines are JSON objects, each of which begins with its kind.
//
// Package daemon attaches a Recorder to the proxies and to the table of endpoints; the rig reads recordings. A Recorder may be
// used by many goroutines at once and never waits for its output: lines beyond its bounds are counted and left out. Read and
// Write are for one goroutine.
//
// The lines are read by other releases: keys and words stay. Errors begin with "record:", as they always have.
package accesslog

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// Version is the format's version, which each header has. Read accepts no other.
const Version = 1

// prefix begins each line of a recording, and no other line of a sidecar's log.
const prefix = `{"rec":"`

// The kinds of line.
const (
	kindStart   = "start"   // header: who records, since when, by which settings
	kindCluster = "cluster" // a list of endpoints, as from discovery
	kindStream  = "stream"  // a stream that is over
	kindLost    = "lost"    // how many lines are missing
)

// Recording is what Read has found.
type Recording struct {
	Runs      []*Run // by start
	Other     int    // lines that aren't a recording's, such as a log's
	Skipped   int    // lines of a recording that are cut off, by the end of a process or a full disk
	Truncated bool   // the last line is cut off; it isn't counted in Skipped
}

// Run is what was recorded between a start of a sidecar and its end. Times are since its start.
type Run struct {
	Header  Header
	Lists   []EndpointList // by time
	Streams []Stream       // by arrival
	Losses  []Loss         // as recorded
}

// Header is a sidecar's configuration, as a simulation needs it.
type Header struct {
	Name     string
	Start    time.Time // by the wall clock, in whole milliseconds
	Limits   config.Limits
	Site     string          // the platform's settings, as JSON
	Settings config.Settings // Site, parsed
}

// ListKind is what an EndpointList contains.
type ListKind uint8

// The kinds of lists. All but ListDelta are complete.
const (
	ListDelta   = ListKind(balance.ListDelta)  // discovery reported these changes
	ListFull    = ListKind(balance.ListFull)   // discovery reported all endpoints
	ListCached  = ListKind(balance.ListCached) // the platform's at the start, which may be outdated
	ListCurrent = ListCached + 1               // those that the sidecar has: at the beginning of a file, and after a loss
)

// EndpointList is a list of endpoints, or a change of one.
type EndpointList struct {
	At    time.Duration
	Kind  ListKind
	Hosts []cluster.Member // without addresses and numbers
}

// Stream is a stream from its arrival to its answer.
type Stream struct {
	Arrival    time.Duration
	Class      int           // index into the settings' classes
	TimeLeft   time.Duration // at the arrival, until the client's time-out
	Retry      bool          // the request is the client's retry
	Body       int           // bytes of the request's
	Attempts   []Attempt     // in the order of their starts
	Outcome    stream.Outcome
	Answered   time.Duration // after the arrival
	RetryAfter time.Duration // sent to the client; 0: none
}

// Attempt is one request to an upstream host.
type Attempt struct {
	Host         string        // discovery's id
	StartedAfter time.Duration // after the stream's arrival
	Duration     time.Duration
	Status       balance.Status
}

// Loss counts the lines that are missing between two times.
type Loss struct {
	From, Until time.Duration
	LostLines
}

// LostLines counts lines that are missing, by reason.
type LostLines struct {
	Rate int // streams beyond the permitted lines a second
	Sink int // lines that the output did not accept, or not in time
	Log  int // the log's own lines that it did not accept in time, where the lines go to the log
	Open int // streams that were not complete when the sidecar ended, with all their attempts
}

func (l *LostLines) add(n LostLines) {
	l.Rate, l.Sink, l.Log, l.Open = l.Rate+n.Rate, l.Sink+n.Sink, l.Log+n.Log, l.Open+n.Open
}

// outcomes are the words for stream.Outcome.
var outcomes = [...]string{stream.Served: "served", stream.RejectedLocally: "refused", stream.Failed: "failed",
	stream.DeadlineExceeded: "expired", stream.ClientGone: "gone", stream.InvalidRequest: "rejected", stream.Duplicate: "duplicate",
	stream.Oneway: "unanswered", stream.LoopDetected: "looped"}

// statuses are the words for balance.Status.
var statuses = [...]string{balance.OK: "ok", balance.Error: "error", balance.Rejected: "full", balance.Timeout: "timeout",
	balance.ConnectFailed: "connect", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.NotSent: "moot"}

// lists are the words for ListKind.
var lists = [...]string{ListDelta: "change", ListFull: "whole", ListCached: "known", ListCurrent: "held"}

// phases are discovery's words for balance.Availability.
var phases = [...]string{balance.Removed: "Gone", balance.Ready: "Ready", balance.Draining: "Terminating"}
