package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/handover"
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/upstream"
)

// followWithin is how long a process waits for one that has another successor: it is due in 6 s.
const followWithin = 3 * time.Second

const (
	notesMost = handover.StateMost * 3 / 4 // bytes of the effects that are handed over: more, and not even the cordons are
	noteBytes = 250                        // of one, about, beside its names
	nameBytes = 6                          // of a character of a name, at most: JSON may escape it
)

// bounds are what a sidecar may use, shared by its processes while there is more than one.
type bounds struct {
	memory  int64 // bytes
	sockets int   // for callers and upstream hosts
	pool    *upstream.Pool
	side    *downstream.Manager
	eng     *driver.Driver

	mu     sync.Mutex
	others int // processes of this sidecar that run beside this one
}

// beside counts other processes in or out, and takes this one's part.
func (b *bounds) beside(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others += n
	parts := int64(1 + b.others)
	debug.SetMemoryLimit(int64(memoryShare * float64(b.memory/parts)))
	b.eng.SetProcesses(int(parts))
	sockets := b.sockets / int(parts)
	b.pool.SetMaxConnections(sockets / 2)
	b.side.SetLimits(b.memory/parts/bodiesPart, sockets-sockets/2)
}

// handed is what a process tells its successor. Classes stand by name, for the two may number them differently.
type handed struct {
	Classes []string
	Table   cluster.Snapshot
	Engine  driver.State
	Effects *known           // nil: the process is of a kind that shares none
	Trail   []auditlog.Entry `json:",omitempty"` // of a process that is audited, to the one that succeeds it

	Published []byte `json:",omitempty"` // a distributor's settings that are in force, as distribute.Encode writes them
}

// known is what a process knows of requests under way and of their effects.
type known struct{ Notes []inflight.Update }

// word is what the two tell each other afterwards: an operator's call that one of them has taken, changes of effects, or
// that the successor takes such.
type word struct {
	Name  string
	Out   bool
	At    int64             `json:",omitempty"` // when the call was made: nanoseconds of the machine's clock
	Takes bool              `json:",omitempty"`
	Notes []inflight.Update `json:",omitempty"`
}

// succession is this process's place between the one before it and the one after it.
type succession struct {
	classes func() []string // by number
	inForce func() []byte   // published settings that are, and nil where there are none; nil: no settings are published
	table   *cluster.Table
	eng     *driver.Driver
	former  *handover.Former // nil: none
	owner   *handover.Owner  // nil: nobody can follow
	effects *inflight.Table
	audited *audited // nil: nobody audits
	log     zerolog.Logger
	calls   calls

	mu     sync.Mutex
	shares bool    // the former process shares effects
	next   *mirror // of effects, to the successor that has come; nil: there is none
}

// formerOf looks for a process that already serves the configuration's clients. What can't be taken over from it is left,
// for it serves on.
func formerOf(cfg *config.Config, log zerolog.Logger) *handover.Former {
	path := handover.Path(cfg.Listen)
	if cfg.Control == "" || path == "" {
		return nil
	}
	f, err := handover.Follow(path, followWithin)
	if err != nil {
		log.Error().Err(err).Msg("nothing is taken over")
	}
	return f
}

// take takes over what the former process knew, and returns whether that holds a list.
func (s *succession) take() (listed bool) {
	h, err := s.adopt(s.former.State, "former", 0, cluster.List{})
	if err != nil {
		s.log.Error().Err(fmt.Errorf("handover: state: %w", err)).Msg("nothing is taken over")
		return false
	}
	if s.shares = h.Effects != nil; s.shares {
		s.effects.Apply(time.Now(), inflight.Predecessor, h.Effects.Notes)
	}
	s.log.Info().Int("members", len(h.Table.List.Members)).Int("cordoned", len(h.Table.Cordoned)).Msg("taken over")
	return len(h.Table.List.Members) > 0
}

// trail is the former process's, where there is one; nil: none.
func (s *succession) trail() []auditlog.Entry {
	var h struct{ Trail []auditlog.Entry }
	if s.former == nil || json.Unmarshal(s.former.State, &h) != nil { // of a fault there take says what it is
		return nil
	}
	return h.Trail
}

// published are the settings of distributors that the former process has in force; nil: none.
func (s *succession) published() []byte {
	var h struct{ Published []byte }
	if s.former == nil || json.Unmarshal(s.former.State, &h) != nil { // of a fault there take says what it is
		return nil
	}
	return h.Published
}

// adopt takes over what a process knew that long ago, whose name is from. A list goes before the one that it had, where there
// is one.
func (s *succession) adopt(state []byte, from string, past time.Duration, list cluster.List) (h handed, err error) {
	if err := json.Unmarshal(state, &h); err != nil {
		return h, err
	}
	h.Table.List.From = from
	if len(list.Members) > 0 {
		h.Table.List = list
	}
	s.table.Restore(h.Table)
	if l := h.Engine.Learned; l != nil {
		var to []int
		names := s.classes()
		for _, name := range h.Classes {
			to = append(to, slices.Index(names, name))
		}
		l.ReorderClasses(to, len(names))
		l.Age = past
	}
	s.eng.Restore(h.Engine)
	return h, nil
}

// held is what this process knows.
func (s *succession) held() handed {
	return handed{Classes: s.classes(), Table: s.table.Snapshot(), Engine: s.eng.State()}
}

// state is the same for a successor. What changes of effects from here on waits until that has said that it takes such.
func (s *succession) state() ([]byte, error) {
	next := newMirror(s.toNext, s.log)
	s.mu.Lock()
	s.next = next
	s.mu.Unlock()
	notes := s.effects.Subscribe(inflight.Successor, next.note)
	h := s.held()
	h.Effects = &known{Notes: latest(notes, notesMost)}
	if s.inForce != nil {
		h.Published = s.inForce()
	}
	if s.audited != nil {
		h.Trail = s.audited.book.Past()
	}
	return json.Marshal(h)
}

// latest are the last of the notes, as many as so many bytes have room for: first come those that are over, the oldest first.
func latest(notes []inflight.Update, most int) []inflight.Update {
	for i := len(notes) - 1; i >= 0; i-- {
		n := &notes[i]
		if most -= noteBytes + nameBytes*(len(n.Txn)+len(n.Class)+len(n.Key)); most < 0 {
			return notes[i+1:]
		}
	}
	return notes
}

// left lets go of a successor that is gone.
func (s *succession) left() {
	s.effects.Disconnect(time.Now(), inflight.Successor)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		s.next.stop()
		s.next = nil
	}
}

// serves tells the former process, if there is one, that this one serves, and waits for its end; and then waits for
// successors. It returns when ctx ends.
func (s *succession) serves(ctx context.Context, up func(), b *bounds) {
	var wait sync.WaitGroup
	defer wait.Wait()
	var err error
	if s.owner != nil {
		err = s.owner.Listen()
	}
	if s.former != nil {
		told := func(line []byte) { s.told(line, inflight.Predecessor) }
		if s.shares {
			s.toFormer([]byte(`{"Takes":true}`))
			m := newMirror(s.toFormer, s.log)
			s.effects.Subscribe(inflight.Predecessor, m.note)
			m.start()
			defer m.stop()
		}
		if err := s.former.Ready(told); err != nil {
			s.log.Warn().Err(err).Msg("the former process has taken no notice")
		}
		wait.Go(func() {
			s.former.Hear(told)
			s.effects.Disconnect(time.Now(), inflight.Predecessor)
			b.beside(-1)
			s.log.Info().Msg("the former process has ended")
		})
		defer context.AfterFunc(ctx, s.former.Close)()
	}
	up()
	if s.owner != nil && err == nil {
		err = s.owner.Serve(ctx)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("no successor can take over")
	}
	<-ctx.Done()
}

// wait has successors find this process once it serves.
func (s *succession) wait(cfg *config.Config, fronts []downstream.Frontend, side *downstream.Manager, b *bounds) {
	path := handover.Path(cfg.Listen)
	if cfg.Control == "" || path == "" {
		return
	}
	count := func(on bool) {
		if on {
			b.beside(1)
		} else {
			b.beside(-1)
			s.left()
		}
	}
	s.owner = &handover.Owner{Path: path, Listeners: map[string]*net.TCPListener{}, State: s.state, Followed: count,
		Succeeded: side.SetSucceeded, Told: func(line []byte) { s.told(line, inflight.Successor) }, Log: s.log}
	for _, f := range fronts {
		if l, ok := f.Listener.(*net.TCPListener); ok {
			s.owner.Listeners[f.Addr] = l
		}
	}
}

// Cordon and Uncordon are an operator's call at this process. The others of the sidecar are told.
func (s *succession) Cordon(id string) bool   { return s.called(word{Name: id, Out: true}) }
func (s *succession) Uncordon(id string) bool { return s.called(word{Name: id}) }

func (s *succession) called(w word) bool {
	line, known := s.call(w)
	if line != nil {
		s.toNext(line)
		s.toFormer(line)
	}
	return known
}

// call has a call take effect here. It returns the line by which the others are told, and whether there is such a host.
func (s *succession) call(w word) (line []byte, known bool) {
	if w, known = s.calls.here(w, s.apply); !known {
		return nil, false
	}
	line, _ = json.Marshal(w) // it holds here in any case
	return line, true
}

func (s *succession) apply(w word) bool {
	if w.Out {
		return s.table.Cordon(w.Name)
	}
	return s.table.Uncordon(w.Name)
}

// told takes a word of another process. An operator's that is news here is passed on to the one on the other side.
func (s *succession) told(line []byte, from inflight.Source) {
	var w word
	err := json.Unmarshal(line, &w)
	news, known := false, false
	if err == nil && !w.Takes && len(w.Notes) == 0 {
		news, known = s.calls.there(w, s.apply)
	}
	switch {
	case err == nil && w.Takes:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.next != nil {
			s.next.start()
		}
	case err == nil && len(w.Notes) > 0:
		s.effects.Apply(time.Now(), from, w.Notes)
	case err != nil || !known:
		s.log.Warn().Err(err).Str("name", w.Name).Msg("a word of the other process changes nothing")
	case news && from == inflight.Predecessor:
		s.toNext(line)
	case news:
		s.toFormer(line)
	}
}

func (s *succession) toNext(line []byte) {
	if s.owner != nil {
		s.owner.Tell(line)
	}
}

func (s *succession) toFormer(line []byte) {
	if s.former != nil {
		s.former.Tell(line)
	}
}
