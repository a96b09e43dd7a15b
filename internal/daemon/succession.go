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

// predecessorTimeout is how long a process waits for one that has another successor: it is due in 6 s.
const predecessorTimeout = 3 * time.Second

const (
	maxNotesBytes = handover.MaxStateBytes * 3 / 4 // bytes of the effects that are handed over: more, and not even the cordons are
	noteOverheadBytes = 250                        // of one, about, beside its names
	maxBytesPerChar = 6                          // of a character of a name, at most: JSON may escape it
)

// bounds are what a sidecar may use, shared by its processes while there is more than one.
type resourceLimits struct {
	memory  int64 // bytes
	sockets int   // for callers and upstream hosts
	pool    *upstream.Pool
	side    *downstream.Side
	engine     *driver.Engine

	mu     sync.Mutex
	otherProcesses int // processes of this sidecar that run beside this one
}

// beside counts other processes in or out, and takes this one's part.
func (b *resourceLimits) addProcesses(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.otherProcesses += n
	parts := int64(1 + b.otherProcesses)
	debug.SetMemoryLimit(int64(heapFraction * float64(b.memory/parts)))
	b.engine.Share(int(parts))
	sockets := b.sockets / int(parts)
	b.pool.Bound(sockets / 2)
	b.side.Bound(b.memory/parts/bodiesDivisor, sockets-sockets/2)
}

// handed is what a process tells its successor. Classes stand by name, for the two may number them differently.
type processState struct {
	Classes []string
	Table   cluster.Held
	Engine  driver.State
	Effects *effectState           // nil: the process is of a kind that shares none
	Trail   []auditlog.Entry `json:",omitempty"` // of a process that is audited, to the one that succeeds it

	Published []byte `json:",omitempty"` // a distributor's settings that are in force, as distribute.Encode writes them
}

// known is what a process knows of requests under way and of their effects.
type effectState struct{ Notes []inflight.Note }

// word is what the two tell each other afterwards: an operator's call that one of them has taken, changes of effects, or
// that the successor takes such.
type peerMessage struct {
	Name  string
	Out   bool
	At    int64           `json:",omitempty"` // when the call was made: nanoseconds of the machine's clock
	Takes bool            `json:",omitempty"`
	Notes []inflight.Note `json:",omitempty"`
}

// succession is this process's place between the one before it and the one after it.
type succession struct {
	classNames func() []string // by number
	encodePublished func() []byte   // published settings that are, and nil where there are none; nil: no settings are published
	table   *cluster.Table
	engine     *driver.Engine
	predecessor  *handover.Predecessor // nil: none
	server   *handover.Server  // nil: nobody can follow
	effects *inflight.Table
	audit *auditAgent // nil: nobody audits
	log     zerolog.Logger
	cordons   cordonCalls

	mu     sync.Mutex
	sharesEffects bool    // the former process shares effects
	successor   *effectMirror // of effects, to the successor that has come; nil: there is none
}

// connectPredecessor looks for a process that already serves the configuration's clients. What can't be taken over from it is left,
// for it serves on.
func connectPredecessor(cfg *config.Config, log zerolog.Logger) *handover.Predecessor {
	path := handover.SocketPath(cfg.Listen)
	if cfg.Control == "" || path == "" {
		return nil
	}
	f, err := handover.Connect(path, predecessorTimeout)
	if err != nil {
		log.Error().Err(err).Msg("nothing is taken over")
	}
	return f
}

// take takes over what the former process knew, and returns whether that holds a list.
func (s *succession) takeOver() (listed bool) {
	h, err := s.adopt(s.predecessor.State, "former", 0, cluster.List{})
	if err != nil {
		s.log.Error().Err(fmt.Errorf("handover: state: %w", err)).Msg("nothing is taken over")
		return false
	}
	if s.sharesEffects = h.Effects != nil; s.sharesEffects {
		s.effects.Heard(time.Now(), inflight.Former, h.Effects.Notes)
	}
	s.log.Info().Int("members", len(h.Table.List.Members)).Int("cordoned", len(h.Table.Cordoned)).Msg("taken over")
	return len(h.Table.List.Members) > 0
}

// trail is the former process's, where there is one; nil: none.
func (s *succession) inheritedAuditLog() []auditlog.Entry {
	var h struct{ Trail []auditlog.Entry }
	if s.predecessor == nil || json.Unmarshal(s.predecessor.State, &h) != nil { // of a fault there take says what it is
		return nil
	}
	return h.Trail
}

// published are the settings of distributors that the former process has in force; nil: none.
func (s *succession) inheritedSettings() []byte {
	var h struct{ Published []byte }
	if s.predecessor == nil || json.Unmarshal(s.predecessor.State, &h) != nil { // of a fault there take says what it is
		return nil
	}
	return h.Published
}

// adopt takes over what a process knew that long ago, whose name is from. A list goes before the one that it had, where there
// is one.
func (s *succession) adopt(state []byte, from string, past time.Duration, list cluster.List) (h processState, err error) {
	if err := json.Unmarshal(state, &h); err != nil {
		return h, err
	}
	h.Table.List.From = from
	if len(list.Members) > 0 {
		h.Table.List = list
	}
	s.table.Take(h.Table)
	if l := h.Engine.Learned; l != nil {
		var to []int
		names := s.classNames()
		for _, name := range h.Classes {
			to = append(to, slices.Index(names, name))
		}
		l.Reorder(to, len(names))
		l.Past = past
	}
	s.engine.Take(h.Engine)
	return h, nil
}

// held is what this process knows.
func (s *succession) snapshot() processState {
	return processState{Classes: s.classNames(), Table: s.table.Held(), Engine: s.engine.State()}
}

// state is the same for a successor. What changes of effects from here on waits until that has said that it takes such.
func (s *succession) handoverState() ([]byte, error) {
	next := newEffectMirror(s.sendToSuccessor, s.log)
	s.mu.Lock()
	s.successor = next
	s.mu.Unlock()
	notes := s.effects.Watch(inflight.Next, next.enqueue)
	h := s.snapshot()
	h.Effects = &effectState{Notes: newestNotes(notes, maxNotesBytes)}
	if s.encodePublished != nil {
		h.Published = s.encodePublished()
	}
	if s.audit != nil {
		h.Trail = s.audit.auditLog.Past()
	}
	return json.Marshal(h)
}

// latest are the last of the notes, as many as so many bytes have room for: first come those that are over, the oldest first.
func newestNotes(notes []inflight.Note, most int) []inflight.Note {
	for i := len(notes) - 1; i >= 0; i-- {
		n := &notes[i]
		if most -= noteOverheadBytes + maxBytesPerChar*(len(n.Txn)+len(n.Class)+len(n.Key)); most < 0 {
			return notes[i+1:]
		}
	}
	return notes
}

// left lets go of a successor that is gone.
func (s *succession) dropSuccessor() {
	s.effects.Gone(time.Now(), inflight.Next)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		s.successor.stop()
		s.successor = nil
	}
}

// serves tells the former process, if there is one, that this one serves, and waits for its end; and then waits for
// successors. It returns when ctx ends.
func (s *succession) run(ctx context.Context, up func(), b *resourceLimits) {
	var wait sync.WaitGroup
	defer wait.Wait()
	var err error
	if s.server != nil {
		err = s.server.Listen()
	}
	if s.predecessor != nil {
		told := func(line []byte) { s.receive(line, inflight.Former) }
		if s.sharesEffects {
			s.sendToPredecessor([]byte(`{"Takes":true}`))
			m := newEffectMirror(s.sendToPredecessor, s.log)
			s.effects.Watch(inflight.Former, m.enqueue)
			m.start()
			defer m.stop()
		}
		if err := s.predecessor.Ready(told); err != nil {
			s.log.Warn().Err(err).Msg("the former process has taken no notice")
		}
		wait.Go(func() {
			s.predecessor.Receive(told)
			s.effects.Gone(time.Now(), inflight.Former)
			b.addProcesses(-1)
			s.log.Info().Msg("the former process has ended")
		})
		defer context.AfterFunc(ctx, s.predecessor.Close)()
	}
	up()
	if s.server != nil && err == nil {
		err = s.server.Serve(ctx)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("no successor can take over")
	}
	<-ctx.Done()
}

// wait has successors find this process once it serves.
func (s *succession) newServer(cfg *config.Config, fronts []downstream.Front, side *downstream.Side, b *resourceLimits) {
	path := handover.SocketPath(cfg.Listen)
	if cfg.Control == "" || path == "" {
		return
	}
	count := func(on bool) {
		if on {
			b.addProcesses(1)
		} else {
			b.addProcesses(-1)
			s.dropSuccessor()
		}
	}
	s.server = &handover.Server{Path: path, Listeners: map[string]*net.TCPListener{}, State: s.handoverState, OnConnected: count,
		OnServing: side.Followed, OnLine: func(line []byte) { s.receive(line, inflight.Next) }, Log: s.log}
	for _, f := range fronts {
		if l, ok := f.Listener.(*net.TCPListener); ok {
			s.server.Listeners[f.Addr] = l
		}
	}
}

// Cordon and Uncordon are an operator's call at this process. The others of the sidecar are told.
func (s *succession) Cordon(id string) bool   { return s.cordonCall(peerMessage{Name: id, Out: true}) }
func (s *succession) Uncordon(id string) bool { return s.cordonCall(peerMessage{Name: id}) }

func (s *succession) cordonCall(w peerMessage) bool {
	line, known := s.applyCall(w)
	if line != nil {
		s.sendToSuccessor(line)
		s.sendToPredecessor(line)
	}
	return known
}

// call has a call take effect here. It returns the line by which the others are told, and whether there is such a host.
func (s *succession) applyCall(w peerMessage) (line []byte, known bool) {
	if w, known = s.cordons.applyLocal(w, s.applyCordon); !known {
		return nil, false
	}
	line, _ = json.Marshal(w) // it holds here in any case
	return line, true
}

func (s *succession) applyCordon(w peerMessage) bool {
	if w.Out {
		return s.table.Cordon(w.Name)
	}
	return s.table.Uncordon(w.Name)
}

// told takes a word of another process. An operator's that is news here is passed on to the one on the other side.
func (s *succession) receive(line []byte, from inflight.Link) {
	var w peerMessage
	err := json.Unmarshal(line, &w)
	news, known := false, false
	if err == nil && !w.Takes && len(w.Notes) == 0 {
		news, known = s.cordons.applyRemote(w, s.applyCordon)
	}
	switch {
	case err == nil && w.Takes:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.successor != nil {
			s.successor.start()
		}
	case err == nil && len(w.Notes) > 0:
		s.effects.Heard(time.Now(), from, w.Notes)
	case err != nil || !known:
		s.log.Warn().Err(err).Str("name", w.Name).Msg("a word of the other process changes nothing")
	case news && from == inflight.Former:
		s.sendToSuccessor(line)
	case news:
		s.sendToPredecessor(line)
	}
}

func (s *succession) sendToSuccessor(line []byte) {
	if s.server != nil {
		s.server.Send(line)
	}
}

func (s *succession) sendToPredecessor(line []byte) {
	if s.predecessor != nil {
		s.predecessor.Send(line)
	}
}
