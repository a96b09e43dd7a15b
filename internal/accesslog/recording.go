// Package record keeps one line for each stream of a sidecar, and what it knew of its cluster, so that a bad
// morning can be rehearsed later from the record alone. Recorder writes a record and Read reads it; the lines
// are JSON objects, each of which begins with its kind.
package accesslog

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// Version is the format's, told in each header. A reader takes no other.
const Version = 1

// prefix begins each line of a record, and no other line of a sidecar's log.
const prefix = `{"rec":"`

// The kinds of line.
const (
	kindStart   = "start"   // header: who records, since when, by which settings
	kindCluster = "cluster" // a list of hosts, as discovery told it
	kindStream  = "stream"  // a stream that is over
	kindLost    = "lost"    // how many lines are missing
)

// Recording is what Read has found.
type Recording struct {
	Runs      []*Run // by their starts
	Other     int    // lines that are not a record's, such as a log's
	Skipped   int    // lines of a record that are cut off, by the end of a process or a full disk
	Truncated bool   // the last line is cut off; it is not among Skipped
}

// Run is what was recorded between one start of a sidecar and its end. Times are since its start.
type Run struct {
	Header  Header
	Lists   []EndpointList // by time
	Streams []Stream       // by arrival
	Losses  []Loss         // as told
}

// Header is what a rehearsal has to know of a sidecar.
type Header struct {
	Name     string
	Start    time.Time // by the wall clock, to the millisecond
	Limits   config.Limits
	Site     string          // the settings as the platform gave them, as JSON
	Settings config.Settings // Site, read
}

// Kind says what the hosts of a Cluster are.
type ListKind uint8

// The kinds of list. All but Change have every host.
const (
	ListDelta   = ListKind(balance.ListDelta)  // discovery told these hosts' change
	ListFull    = ListKind(balance.ListFull)   // discovery told all of them
	ListCached  = ListKind(balance.ListCached) // the platform told them at the start, perhaps out of date
	ListCurrent = ListCached + 1               // the sidecar had these: a file begins with them, and so does what follows a loss
)

// Lists is a list of hosts.
type EndpointList struct {
	At    time.Duration
	Kind  ListKind
	Hosts []cluster.Member // without addresses and numbers
}

// Stream is one stream's life.
type Stream struct {
	Arrival    time.Duration
	Class      int           // index into the settings' classes
	TimeLeft   time.Duration // at the arrival, until the client gives up
	Retry      bool          // the client's own retry
	Body       int           // bytes of the request's
	Attempts   []Attempt     // in the order in which they began
	Outcome    stream.Outcome
	Answered   time.Duration // after the arrival
	RetryAfter time.Duration // told to the client; 0 is none
}

// Attempt is one upstream request.
type Attempt struct {
	Host         string        // discovery's id
	StartedAfter time.Duration // after the stream's arrival
	Duration     time.Duration
	Status       balance.Status
}

// Losses tells of lines that are missing between two times.
type Loss struct {
	From, Until time.Duration
	LostLines
}

// LostLines counts lines that are missing, by the reason.
type LostLines struct {
	Rate int // streams beyond the lines a second that are allowed
	Sink int // lines that the log or the file did not take, or not in time
	Log  int // lines of the log itself that it did not take in time, where the record goes to the log
	Open int // streams that were not over when the sidecar ended, with all their attempts
}

func (l *LostLines) add(n LostLines) {
	l.Rate, l.Sink, l.Log, l.Open = l.Rate+n.Rate, l.Sink+n.Sink, l.Log+n.Log, l.Open+n.Open
}

// outcomes are the words for stream.Outcome.
var outcomes = [...]string{stream.Served: "served", stream.Refused: "refused", stream.Failed: "failed",
	stream.Expired: "expired", stream.Gone: "gone", stream.Rejected: "rejected", stream.Duplicate: "duplicate",
	stream.Unanswered: "unanswered", stream.Looped: "looped"}

// statuses are the words for balance.Status.
var statuses = [...]string{balance.OK: "ok", balance.Error: "error", balance.Full: "full", balance.Timeout: "timeout",
	balance.ConnectFailed: "connect", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.Moot: "moot"}

// lists are the words for List.
var lists = [...]string{ListDelta: "change", ListFull: "whole", ListCached: "known", ListCurrent: "held"}

// phases are discovery's words for balance.Availability.
var phases = [...]string{balance.Gone: "Gone", balance.Ready: "Ready", balance.Draining: "Terminating"}
