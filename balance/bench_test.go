package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkDecision measures the total cost of a request: its arrival, its answer and its share of the ticks, at 1,000
// requests per second with 50 in flight.
func BenchmarkDecision(b *testing.B) {
	for _, endpointCount := range append(slices.Clone(fleetSizes), 1000, 5000) {
		b.Run(fmt.Sprint(endpointCount, "hosts"), func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			entries := make([]Entry, endpointCount)
			for i := range entries {
				entries[i] = Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1}
			}
			var out []Action
			now := time.Hour
			out = bal.Handle(now, &Event{Kind: EventMembership, List: ListFull, Entries: entries}, out)
			bal.limit = 1000
			const open = 50
			tick := now
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += time.Millisecond
				if now >= tick+minTickInterval {
					tick = now
					out = bal.Handle(now, &Event{Kind: EventTimer, Token: tickToken}, out[:0])
				}
				out = bal.Handle(now, &Event{Kind: EventRequest, Request: RequestID(i + 1), Remaining: time.Second}, out[:0])
				if i >= open {
					out = bal.Handle(now, &Event{Kind: EventOutcome, Request: RequestID(i + 1 - open), Status: OK, Closed: true,
						Latency: open * time.Millisecond}, out[:0])
				}
			}
		})
	}
}

// fleetSizes are the numbers of endpoints for which costs are measured for docs/CAPACITY.md.
var fleetSizes = []int{12, 106, 212, 425, 850, 1700}

// newListedBalancer returns an instance with a list of the given number of endpoints, and that list.
func newListedBalancer(b *testing.B, endpointCount int) (*Balancer, []Entry) {
	s := testSettings()
	s.Instances = endpointCount
	bal, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	entries := make([]Entry, endpointCount)
	for i := range entries {
		entries[i] = Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1}
	}
	bal.Handle(time.Hour, &Event{Kind: EventMembership, List: ListFull, Entries: entries}, nil)
	return bal, entries
}

// BenchmarkList measures the cost of a full list in which one endpoint has just restarted.
func BenchmarkList(b *testing.B) {
	benchmarkMembership(b, ListFull, func(entries []Entry, _ int) []Entry { return entries })
}

// BenchmarkDeltaList measures the cost of a delta list with the restart of one endpoint.
func BenchmarkDeltaList(b *testing.B) {
	benchmarkMembership(b, ListDelta, func(entries []Entry, restarted int) []Entry { return entries[restarted : restarted+1] })
}

// benchmarkMembership restarts one endpoint per iteration and handles the part of the list that sent selects.
func benchmarkMembership(b *testing.B, kind ListKind, sent func(entries []Entry, restarted int) []Entry) {
	for _, endpointCount := range fleetSizes {
		b.Run(fmt.Sprint(endpointCount, "hosts"), func(b *testing.B) {
			bal, entries := newListedBalancer(b, endpointCount)
			var out []Action
			b.ReportAllocs()
			for i := range b.N {
				now := time.Hour + time.Duration(i+1)*time.Millisecond
				restarted := i % endpointCount
				entries[restarted].StartedAt = now
				out = bal.Handle(now, &Event{Kind: EventMembership, List: kind, Entries: sent(entries, restarted)}, out[:0])
			}
		})
	}
}

// newBalancerOf60 returns one of 13 instances, as in the platform's large fleet, and a list of 60 endpoints.
func newBalancerOf60(b *testing.B) (*Balancer, []Entry) {
	s := testSettings()
	s.Instances, s.Rank = 13, 5
	bal, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	entries := make([]Entry, 60)
	for i := range entries {
		entries[i] = Entry{Endpoint: EndpointID(i + 1), State: Ready, Weight: 1}
	}
	return bal, entries
}

// BenchmarkListOf60 measures the cost of a full list of 60 endpoints in which one has just restarted.
func BenchmarkListOf60(b *testing.B) {
	bal, entries := newBalancerOf60(b)
	var out []Action
	b.ReportAllocs()
	for i := range b.N {
		now := time.Hour + time.Duration(i)*time.Millisecond
		entries[i%60].StartedAt = now
		out = bal.Handle(now, &Event{Kind: EventMembership, List: ListFull, Entries: entries}, out[:0])
	}
}

// BenchmarkIdleTick measures a tick with 60 endpoints and no open attempt; every 25th tick includes the maintenance.
func BenchmarkIdleTick(b *testing.B) {
	bal, entries := newBalancerOf60(b)
	out := bal.Handle(time.Hour, &Event{Kind: EventMembership, List: ListFull, Entries: entries}, nil)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Hour + time.Duration(i+1)*minTickInterval
		out = bal.Handle(now, &Event{Kind: EventTimer, Token: tickToken}, out[:0])
	}
}
