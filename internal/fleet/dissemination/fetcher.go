package dissemination

import (
	"slices"
	"time"
)

// Fetches bring a configuration that is too large for a push, or that a push did not bring. The fetcher decides when one starts, and from
// which router: at once with the first news of a newer configuration, and from another router where one fails or takes long, since that one
// may be partitioned off or its link be full.

const (
	fetchHedgeDelay      = 300 * time.Millisecond  // until another router is asked beside one that has not replied
	maxConcurrentFetches = 3                       // of one router
	minFetchTimeout      = 1500 * time.Millisecond // of a fetch at first
	maxFetchTimeout      = 12 * time.Second        // of a fetch after others timed out
	busyBackoff          = 60 * time.Millisecond   // until a router that was busy is asked again
	failureBackoff       = time.Second             // until a router is asked again whose fetch failed
	maxFetchSources      = 16
)

// FetchOutcome says how a fetch ended.
type FetchOutcome int

// The outcomes of a fetch.
const (
	FetchReplied  FetchOutcome = iota // there is a reply, also where it says Busy
	FetchTimedOut                     // none came in time
	FetchFailed                       // the router was not reached, or has no configuration
)

// fetchSource is a router that holds a configuration which may be fetched.
type fetchSource struct {
	address   string
	sequence  uint64        // newest one that it is known to hold
	notBefore time.Duration // earliest time of the next fetch from it
}

// fetcher keeps the fetches of one router. The zero value is ready.
type fetcher struct {
	sources   []fetchSource // the one that was heard of last comes last
	inFlight  map[string]time.Duration
	lastStart time.Duration
	timeout   time.Duration // of the next fetch; 0: minFetchTimeout
}

// addSource records that a router holds a configuration.
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

// postpone has a router asked no earlier than a time.
func (f *fetcher) postpone(address string, notBefore time.Duration) {
	if i := f.indexOf(address); i >= 0 {
		f.sources[i].notBefore = max(f.sources[i].notBefore, notBefore)
	}
}

// mayStart reports whether another fetch may start now, beside those in flight.
func (f *fetcher) mayStart(now time.Duration) bool {
	switch len(f.inFlight) {
	case 0:
		return true
	case maxConcurrentFetches:
		return false
	}
	return now-f.lastStart >= fetchHedgeDelay
}

// start picks the router to fetch from now, among those that hold what isNewer accepts, by preference; empty: there is none, or no fetch
// may start.
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

// end records how a fetch ended. A router that did not reply is not asked again for a while.
func (f *fetcher) end(now time.Duration, address string, outcome FetchOutcome) {
	elapsed := now - f.inFlight[address]
	delete(f.inFlight, address)
	switch outcome {
	case FetchReplied:
		f.timeout = min(max(minFetchTimeout, 2*elapsed), maxFetchTimeout)
	case FetchTimedOut: // a large configuration may need more time on a slow link
		f.timeout = min(2*f.nextTimeout(), maxFetchTimeout)
		f.postpone(address, now+failureBackoff)
	case FetchFailed:
		f.postpone(address, now+failureBackoff)
	}
}

// nextTimeout is the time-out of a fetch that starts now.
func (f *fetcher) nextTimeout() time.Duration { return max(minFetchTimeout, f.timeout) }
