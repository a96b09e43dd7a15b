package balance

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// recordedDecisions is the digest of all actions of the script below, recorded before balance.go was split by concern.
// A commit that changes decisions on purpose updates the digest and describes the change.
const recordedDecisions = "eafaf121f4570bb49d73f0b972332acebeaf1d4d3486607ccd2a1c1e7deeeab4"

// recordedRun drives one instance through a minute of requests, outcomes and lists, all drawn from one seed.
type recordedRun struct {
	instance *Balancer
	random   *rand.Rand
	now      time.Duration
	timers   []timer
	open     []Action
	digest   hash.Hash
	count    int
}

// recordAction writes an action in the format of %+v with the field names at the time when the digests were recorded,
// so that renaming a field does not change a digest.
func recordAction(out io.Writer, now time.Duration, a *Action) {
	fmt.Fprintf(out, "%d {Kind:%d Request:%d Endpoint:%d Attempt:%d After:%v Worth:%v Token:%d Peer:%d Data:%v Text:%s}\n",
		now, a.Kind, a.Request, a.Endpoint, a.Attempt, a.After, a.ValueShare, a.Token, a.Peer, a.Data, a.Text)
}

func (s *recordedRun) event(ev Event) {
	for _, a := range s.instance.Handle(s.now, &ev, nil) {
		recordAction(s.digest, s.now, &a)
		s.count++
		switch a.Kind {
		case ActTimer:
			s.timers = append(s.timers, timer{s.now + a.After, a.Token})
		case ActSend:
			s.open = append(s.open, a)
		default:
		}
	}
}

// fireTimers fires the timers that have expired.
func (s *recordedRun) fireTimers() {
	for i := 0; i < len(s.timers); i++ {
		if t := s.timers[i]; t.at <= s.now {
			s.timers = append(s.timers[:i], s.timers[i+1:]...)
			s.event(Event{Kind: EventTimer, Token: t.token})
			i = -1
		}
	}
}

// randomOutcome ends a random open attempt with a random outcome.
func (s *recordedRun) randomOutcome() {
	if len(s.open) == 0 {
		return
	}
	i := s.random.IntN(len(s.open))
	a := s.open[i]
	s.open = append(s.open[:i], s.open[i+1:]...)
	status := OK
	if s.random.IntN(8) == 0 {
		status = []Status{Error, Rejected, ConnectFailed, Reset, Timeout}[s.random.IntN(5)]
	}
	latency := time.Duration(20+s.random.IntN(200)) * ms * time.Duration(1+a.Endpoint%3)
	s.event(Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Endpoint: a.Endpoint, Status: status, Latency: latency})
}

func (s *recordedRun) randomList() {
	var entries []Entry
	for id := EndpointID(1); id <= 9; id++ {
		e := Entry{Endpoint: id, State: Ready, Weight: 1, Zone: int(id) % 2, Cell: int(id) % 3}
		if s.random.IntN(6) == 0 {
			e.State = Draining
		}
		entries = append(entries, e)
	}
	s.event(Event{Kind: EventMembership, List: ListFull, Entries: entries})
}

// Guards against decisions that change when code is only moved.
func TestRecordedDecisions(t *testing.T) {
	settings := testSettings()
	settings.Instances, settings.Zones = 3, 2
	b, err := New(settings, 11)
	if err != nil {
		t.Fatal(err)
	}
	s := &recordedRun{instance: b, random: rand.New(rand.NewPCG(4, 2)), now: time.Hour, digest: sha256.New()}
	s.randomList()
	for request := RequestID(1); s.now < time.Hour+time.Minute; s.now += 2 * ms {
		s.fireTimers()
		switch p := s.random.IntN(100); {
		case p < 30:
			class := s.random.IntN(3)
			s.event(Event{Kind: EventRequest, Request: request, Class: class, Key: uint64(request / 3), Remaining: settings.Classes[class].Deadline,
				WorkHint: time.Duration(s.random.IntN(30)) * ms, ClientRetry: s.random.IntN(10) == 0})
			request++
		case p < 62:
			s.randomOutcome()
		case p == 62:
			s.event(Event{Kind: EventClientDisconnected, Request: RequestID(s.random.IntN(int(request)))})
		case p == 63 && s.random.IntN(20) == 0:
			s.randomList()
		case p == 64 && s.random.IntN(20) == 0:
			s.event(Event{Kind: EventCordon, Endpoint: EndpointID(1 + s.random.IntN(9)), Cordoned: s.random.IntN(2) == 0})
		}
	}
	if got := hex.EncodeToString(s.digest.Sum(nil)); got != recordedDecisions {
		t.Errorf("%d actions, digest %s, want %s", s.count, got, recordedDecisions)
	}
}
