package control_test

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stacks is how many seeds each of the runs plays; more by a command:
//
//	go test ./internal/fleet/control -run TestPoints -stacks 300
var stacks = flag.Int("stacks", 4, "seeds that each run of TestPoints plays")

// firstStack is the first of them: with -stacks 1, one seed again.
var firstStack = flag.Uint64("first-stack", 0, "the first seed that TestPoints plays")

// operators keep what they were told.
type operators struct {
	stack *stack

	mu      sync.Mutex
	newest  int64            // version that was acknowledged
	winners map[int64]string // the change that was acknowledged on top of a version
	acks    int
	reads   int
	next    int64
	unclear int // changes that may or may not be in force
}

// change sends a change until it is clear what became of it, again and again after answers that say nothing.
func (o *operators) change(base int64, alone bool, lost int) (version int64, taken bool) {
	o.mu.Lock()
	o.next += 1 + int64(o.stack.number(3))
	version = o.next
	o.mu.Unlock()
	name := fmt.Sprintf("s%d", version)
	body := fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"%s"}]}}`, version, name)
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); {
		a := o.stack.follow(o.stack.any(), http.MethodPost, "/config/modify", body, strconv.FormatInt(base, 10), o.stack.number(100) < lost)
		switch {
		case a.status == http.StatusOK:
			o.acknowledged(base, version, name)
			return version, true
		case a.status >= 400 && a.status < 500:
			if alone {
				o.stack.fail("change %d on %d, the only one, is refused: %d %s", version, base, a.status, a.body)
			}
			return version, false
		}
		time.Sleep(o.stack.span(50*time.Millisecond, 300*time.Millisecond))
	}
	o.mu.Lock()
	o.unclear++
	o.mu.Unlock()
	return version, false
}

func (o *operators) acknowledged(base, version int64, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if winner, won := o.winners[base]; won && winner != name {
		o.stack.fail("%s and %s are both acknowledged on top of %d", winner, name, base)
	}
	o.winners[base] = name
	o.newest = max(o.newest, version)
	o.acks++
}

// read asks for the configuration. An answer is not older than what was acknowledged before the call.
func (o *operators) read() (version int64, ok bool) {
	o.mu.Lock()
	newest := o.newest
	names := slices.Collect(maps.Values(o.winners))
	o.mu.Unlock()
	a := o.stack.follow(o.stack.any(), http.MethodGet, "/config/read", "", "", false)
	if a.status != http.StatusOK {
		return 0, false
	}
	version = versionOf(a.body)
	o.mu.Lock()
	o.reads++
	o.mu.Unlock()
	if version < newest {
		o.stack.fail("a read answers version %d after %d was acknowledged", version, newest)
	}
	held := servicesOf(a.body)
	for _, name := range names {
		if !held[name] {
			o.stack.fail("a read answers version %d without %s, which was acknowledged", version, name)
			break
		}
	}
	return version, true
}

// base is the version that is read, however long it takes.
func (o *operators) base() int64 {
	for {
		if version, ok := o.read(); ok {
			return version
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// work changes the configuration until a moment, alone or against another operator.
func (o *operators) work(until time.Time, rivals, lost int, pause time.Duration) {
	var all sync.WaitGroup
	for time.Now().Before(until) {
		base := o.base()
		for range rivals {
			all.Go(func() { o.change(base, rivals == 1, lost) })
		}
		all.Wait()
		o.read()
		time.Sleep(pause)
	}
}

// point is one of the operators' points as a run: what happens beside the operators' work.
type point struct {
	rivals, lost int // operators at once, percent of answers that are lost
	pause        time.Duration
	disrupt      func(s *stack)
}

const (
	runTime   = 30 * time.Second
	acksLeast = 4 // changes that a run gets acknowledged at least, or it says little
)

// points are the runs, by the number of the letter's point.
var points = map[string]point{
	"1 a control machine is cut off for twenty seconds": {rivals: 1, pause: 300 * time.Millisecond, disrupt: func(s *stack) {
		a := []string{s.any()}
		s.note("%v is cut off", a)
		s.cut(a, true)
		time.Sleep(20 * time.Second)
		s.cut(a, false)
		s.note("it is joined again")
	}},
	"1 the core is cut in halves, and those that were ahead are killed": {rivals: 1, pause: 300 * time.Millisecond, disrupt: func(s *stack) {
		for range 3 {
			behind := s.any()
			s.note("%s misses changes", behind)
			s.cut([]string{behind}, true)
			time.Sleep(s.span(time.Second, 5*time.Second))
			s.cut([]string{behind}, false)
			for _, a := range s.peers() {
				if a != behind {
					s.restart(a, s.span(100*time.Millisecond, 2*time.Second), false)
				}
			}
			time.Sleep(4 * time.Second)
		}
	}},
	"2 two operators, and answers that are lost": {rivals: 2, lost: 50, pause: 200 * time.Millisecond, disrupt: func(s *stack) {
		for range 4 {
			time.Sleep(s.span(2*time.Second, 6*time.Second))
			s.restart(s.any(), s.span(100*time.Millisecond, 2*time.Second), false)
		}
	}},
	"2 orders repeated at another machine while primaries change": {rivals: 1, lost: 60, pause: 100 * time.Millisecond, disrupt: func(s *stack) {
		for range 6 {
			time.Sleep(s.span(time.Second, 4*time.Second))
			a := []string{s.any()}
			s.note("%v is cut off for a moment", a)
			s.cut(a, true)
			time.Sleep(s.span(500*time.Millisecond, 2*time.Second))
			s.cut(a, false)
		}
	}},
	"2 orders repeated at a machine that was brought up by a snapshot": {rivals: 1, lost: 55, pause: 50 * time.Millisecond, disrupt: func(s *stack) {
		for range 5 {
			wiped := s.any()
			s.restart(wiped, 200*time.Millisecond, true)
			time.Sleep(s.span(1500*time.Millisecond, 2500*time.Millisecond))
			s.leadAlone(wiped)
			time.Sleep(s.span(2*time.Second, 3*time.Second))
		}
	}},
	"3 a second loss after a planned replacement": {rivals: 1, pause: 300 * time.Millisecond, disrupt: func(s *stack) {
		leaver := s.any()
		added := s.add(addressOf(len(s.peers())))
		added.start(nil)
		s.note("%s comes, to replace %s", added.address, leaver)
		time.Sleep(s.span(500*time.Millisecond, 3*time.Second))
		s.replace(leaver)
		time.Sleep(s.span(0, 3*time.Second))
		for {
			if wiped := s.any(); s.running(wiped) != nil {
				s.restart(wiped, s.span(50*time.Millisecond, 2*time.Second), true)
				break
			}
		}
		time.Sleep(12 * time.Second)
	}},
	"4 hundreds of changes, and machines that come back": {rivals: 1, pause: 0, disrupt: func(s *stack) {
		away := s.any()
		s.restart(away, 12*time.Second, false)
		time.Sleep(15 * time.Second)
		wiped := s.any()
		s.restart(wiped, time.Second, true)
		time.Sleep(5 * time.Second)
		s.leadAlone(wiped)
		time.Sleep(7 * time.Second)
	}},
}

// leadAlone has all other machines end for a moment, so that one of them leads that may have been brought up by a snapshot.
func (s *stack) leadAlone(address string) {
	for _, a := range s.peers() {
		if a != address {
			s.restart(a, s.span(500*time.Millisecond, 900*time.Millisecond), false)
		}
	}
}

// restart ends a machine, and starts it again after a time.
func (s *stack) restart(address string, after time.Duration, wiped bool) {
	m := s.running(address)
	if m == nil {
		return
	}
	s.note("%s ends for %v, its disk is lost %v", address, after, wiped)
	m.end()
	if wiped {
		m.wipe()
	}
	time.AfterFunc(after, func() { m.start(nil) })
}

// replace ends a machine for good once it is released, or after its grace.
func (s *stack) replace(address string) {
	m := s.running(address)
	s.note("%s is told to end", address)
	m.current().Resign()
	time.Sleep(2500 * time.Millisecond)
	for until := time.Now().Add(5 * time.Second); !m.current().CanStop() && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	s.note("%s ends for good, released %v", address, m.current().CanStop())
	m.end()
	s.mu.Lock()
	s.order = slices.DeleteFunc(s.order, func(a string) bool { return a == address })
	s.mu.Unlock()
}

// Guards against the operators' worst days, each a whole control side on a fake clock: replicas with logs on a disk, the
// control API, and the dissemination to all.
func TestPoints(t *testing.T) {
	for name, p := range points {
		t.Run(name, func(t *testing.T) {
			for seed := *firstStack; seed < *firstStack+uint64(*stacks); seed++ {
				synctest.Test(t, func(t *testing.T) { p.play(t, seed) })
			}
		})
	}
}

func (p point) play(t *testing.T, seed uint64) {
	s := newStack(t.TempDir(), seed, 3, 1)
	o := &operators{stack: s, winners: map[int64]string{}}
	defer func() {
		for _, m := range s.machines {
			m.end()
		}
		synctest.Wait()
	}()
	time.Sleep(2 * time.Second)
	var disruption sync.WaitGroup
	disruption.Go(func() { p.disrupt(s) })
	o.work(time.Now().Add(runTime), p.rivals, p.lost, p.pause)
	disruption.Wait()
	time.Sleep(5 * time.Second)
	o.expectService(t)
	if len(s.faults) > 0 {
		t.Fatalf("seed %d: %s\n%s", seed, s.faults[0], strings.Join(s.script, "\n"))
	}
	t.Logf("seed %d: %d changes acknowledged, %d reads, %d changes unclear", seed, o.acks, o.reads, o.unclear)
	if o.acks < acksLeast {
		t.Errorf("seed %d: only %d changes were acknowledged\n%s", seed, o.acks, strings.Join(s.script, "\n"))
	}
}

// expectService: a change is taken, all machines act on it within configApplyMs, and all of the core are members.
func (o *operators) expectService(t *testing.T) {
	version, taken := o.change(o.base(), true, 0)
	if !taken {
		o.stack.fail("change %d is not taken at the end", version)
		return
	}
	time.Sleep(2 * time.Second)
	for _, address := range o.stack.peers() {
		m := o.stack.running(address)
		if m == nil {
			o.stack.fail("%s does not run at the end", address)
			continue
		}
		m.mu.Lock()
		held := m.node.Config.Table
		m.mu.Unlock()
		if held == nil || held.Version != version {
			o.stack.fail("%s does not act on version %d at the end", address, version)
		}
		view := m.current().View()
		if len(view.Members) != 3 {
			o.stack.fail("%s knows of %d members at the end", address, len(view.Members))
		}
	}
}
