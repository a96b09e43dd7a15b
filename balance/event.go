package balance

import "time"

// RequestID identifies a request. It is opaque: actions carry it as the caller chose it.
type RequestID uint64

// EndpointID identifies an endpoint. It is opaque, and the same endpoint has the same number at every instance.
type EndpointID uint32

// Token identifies a timer: EventTimer carries the token of the ActTimer that asked for it.
type Token uint32

// EventKind is the kind of an Event.
type EventKind uint8

// The events.
const (
	EventRequest            EventKind = iota + 1 // a client's request has arrived
	EventOutcome                                 // an attempt has ended
	EventFirstByte                               // a streamed answer has begun
	EventClientDisconnected                      // the client has disconnected; no answer is owed
	EventMembership                              // discovery has sent a membership list, or failed to
	EventHealthChecked                           // a health check has ended
	EventPeer                                    // a message from another instance
	EventTimer                                   // a timer of this instance is due
	EventUploadDone                              // the last byte of an uploading request has been forwarded
	EventSettings                                // the settings have changed
	EventCordon                                  // an operator has cordoned or uncordoned an endpoint
	EventListExpected                            // when discovery is polled next
)

// Status is how an attempt or a health check ended.
type Status uint8

// The outcomes.
const (
	OK            Status = iota
	Error                // the endpoint answered with an error; it may have run
	Rejected             // the endpoint rejected it unprocessed
	Timeout              // no answer in time; it may have run
	ConnectFailed        // no connection: it has not run
	Reset                // the connection dropped; it may have run
	Cancelled            // cancelled by this instance; it may have run
	NotSent              // never sent
)

// ListKind is the kind of a membership event's entries.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // only the entries that changed
	ListFull                   // all entries
	ListCached                 // all entries as this instance last knew them; possibly stale
	ListFailed                 // the poll failed or the subscription dropped; no entries
)

// Availability is an endpoint's state in discovery's list.
type Availability uint8

// The states of an endpoint.
const (
	Removed Availability = iota
	Ready
	Draining
)

// Entry is one endpoint of a membership list.
type Entry struct {
	Endpoint  EndpointID
	State     Availability
	Weight    float64
	Zone      int
	Cell      int
	Kind      int
	StartedAt time.Duration // when its process last started, by the clock of Handle; 0 is long ago
	Cached    bool          // from a stale list: it may have restarted since, and counts as warming up until a fresh list says otherwise
}

// LoadReport holds the values of the first N of Settings.LoadFields.
type LoadReport struct {
	N int
	V [4]float32
}

// Event is one thing that has happened. Only the fields of its kind are set.
type Event struct {
	Kind EventKind

	// Of a request.
	Request     RequestID
	Class       int
	Tenant      int
	Key         uint64
	Remaining   time.Duration // until the client gives this request up
	WorkHint    time.Duration // expected work on a standard core; 0 is unknown
	Uploading   bool          // its body still comes: its time begins with EventUploadDone, and it has one attempt at a time
	ClientRetry bool          // a client's own retry, where clients mark it
	Write       bool
	// EarlierAttemptAt is when an earlier request for the same effect was first sent, to Endpoint, where that may have
	// taken effect; 0 is never.
	EarlierAttemptAt time.Duration
	MaxAttempts      int     // granted to it here; 0 is as the settings say, below 0 is none
	ValueShare       float64 // share of its class's value that the tier above gave it; 0 is all of it

	// Of an outcome, a health check or a cordon.
	Endpoint     EndpointID
	Cordoned     bool // of a cordon: the endpoint is cordoned, not uncordoned
	Attempt      int
	Closed       bool // the request has ended
	Status       Status
	RetriedBelow bool // of a failure: the tier below has retried already, so that a retry here would only repeat that
	Latency      time.Duration
	Load         LoadReport

	// Of a membership list.
	List       ListKind
	Entries    []Entry
	ExpectedIn time.Duration // of EventListExpected: until a list may come

	// Settings are the changed ones. The classes that there were keep their indices; new ones follow them.
	Settings *Settings

	// Of a peer's message or a timer.
	From  int
	Data  []byte
	Token Token
}
