package dissemination

import (
	"slices"
	"time"
)

// A router fetches a configuration that is too large for a push or whose push was lost. The fetcher decides when a fetch starts and from
// which router: at once when a message names a newer configuration, and from another router if a fetch fails or is slow, since the first
// router may be partitioned off or its link saturated.

const (
	fetchHedgeDelay      = 300 * time.Millisecond  // after the last start, until a concurrent fetch from another router may start
	maxConcurrentFetches = 3                       // by one router
	minFetchTimeout      = 1500 * time.Millisecond // minimum, and time-out of the first fetch
	maxFetchTimeout      = 12 * time.Second        // time-outs double up to this value
	busyBackoff          = 60 * time.Millisecond   // before the next fetch from a router that was busy
	failureBackoff       = time.Second             // before the next fetch from a router whose fetch failed or timed out
	maxFetchSources      = 16
)

// FetchOutcome is how a fetch ended.
type FetchOutcome int

// The outcomes of a fetch.
const (
	FetchReplied  FetchOutcome = iota // a reply arrived, even if it is Busy
	FetchTimedOut                     // no reply arrived within the time-out
	FetchFailed                       // the router was unreachable or returned an error, for example ErrNoConfiguration
)

// fetchSource is a router from which a configuration can be fetched.
type fetchSource struct {
	address   string
	sequence  uint64        // newest sequence that the router is known to hold
	notBefore time.Duration // earliest time of the next fetch from it
}

// fetcher schedules the fetches of one router. The zero value is ready for use.
type fetcher struct {
	sources   []fetchSource            // in the order in which they were added
	inFlight  map[string]time.Duration // start of each fetch in flight, by address
	lastStart time.Duration
	timeout   time.Duration // of the next fetch; 0: minFetchTimeout
}

// addSource records that a router holds a configuration, which may be fetched from it at now or later. A newer sequence from a known
// source thus ends its back-off. Beyond maxFetchSources, addSource drops the source that was added first.
func (f *fetcher) addSource(now time.Duration, address string, sequence uint64) {
	if i := f.indexOf(address); i >= 0 {
		if source := &f.sources[i]; sequence > source.sequence {
			source.sequence, source.notBefore = sequence, now
		}
		return
	}
	f.sources = append(f.sources, fetchSource{address: address, sequence: sequence, notBefore: now})
	if surplus := len(f.sources) - maxFetchSources; surplus > 0 {
		f.sources = slices.Delete(f.sources, 0, surplus)
	}
}

func (f *fetcher) indexOf(address string) int {
	return slices.IndexFunc(f.sources, func(s fetchSource) bool { return s.address == address })
}

// postpone delays the next fetch from a router until notBefore.
func (f *fetcher) postpone(address string, notBefore time.Duration) {
	if i := f.indexOf(address); i >= 0 {
		f.sources[i].notBefore = max(f.sources[i].notBefore, notBefore)
	}
}

// mayStart reports whether a fetch may start now in addition to those in flight.
func (f *fetcher) mayStart(now time.Duration) bool {
	switch len(f.inFlight) {
	case 0:
		return true
	case maxConcurrentFetches:
		return false
	}
	return now-f.lastStart >= fetchHedgeDelay
}

// start starts a fetch and returns the address of the router to fetch from. It chooses among the routers that hold a sequence accepted
// by isNewer: a preferred one if there is any, and of several the one added last. It returns an empty address if there is no such router
// or no fetch may start now.
func (f *fetcher) start(now time.Duration, isNewer func(sequence uint64) bool, prefers func(address string) bool) string {
	if !f.mayStart(now) {
		return ""
	}
	address := ""
	for _, source := range f.sources {
		_, fetching := f.inFlight[source.address]
		if fetching || now < source.notBefore || !isNewer(source.sequence) {
			continue
		}
		if address == "" || prefers(source.address) || !prefers(address) {
			address = source.address
		}
	}
	if address == "" {
		return ""
	}
	if f.inFlight == nil {
		f.inFlight = map[string]time.Duration{}
	}
	f.inFlight[address], f.lastStart = now, now
	return address
}

// end records how a fetch ended. After a time-out or failure, the next fetch from that router waits for failureBackoff.
func (f *fetcher) end(now time.Duration, address string, outcome FetchOutcome) {
	elapsed := now - f.inFlight[address]
	delete(f.inFlight, address)
	switch outcome {
	case FetchReplied:
		f.timeout = min(max(minFetchTimeout, 2*elapsed), maxFetchTimeout)
	case FetchTimedOut: // a large configuration may need a longer time-out on a slow link
		f.timeout = min(2*f.nextTimeout(), maxFetchTimeout)
		f.postpone(address, now+failureBackoff)
	case FetchFailed:
		f.postpone(address, now+failureBackoff)
	}
}

// nextTimeout returns the time-out for a fetch that starts now.
func (f *fetcher) nextTimeout() time.Duration { return max(minFetchTimeout, f.timeout) }
