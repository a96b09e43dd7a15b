package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
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
)

// predecessorTimeout is how long a process waits for one that has another successor: it is due in 6 s.
const predecessorTimeout = 3 * time.Second

// succession is this process's place between its predecessor and its successor. While there is more than one process, each
// passes the operators' calls and the changes of effects on to the others.
type succession struct {
	classNames      func() []string // by number
	encodePublished func() []byte   // the published settings in force, nil where there are none; itself nil: none are published
	table           *cluster.Table
	engine          *driver.Driver
	predecessor     *handover.Predecessor // nil: none
	server          *handover.Server      // nil: no successor can connect
	effects         *inflight.Table
	audit           *auditAgent // nil: no audit
	log             zerolog.Logger
	cordons         cordonCalls

	sharesEffects bool // the predecessor shares effects; set by takeOver

	mu        sync.Mutex
	successor *effectMirror // of effects, to the successor that is connected; nil: there is none
}

// connectPredecessor looks for a process that already serves the configuration's clients; nil: there is none, or its state
// can't be taken over, and it serves on.
func connectPredecessor(cfg *config.Config, log zerolog.Logger) *handover.Predecessor {
	path := handover.SocketPath(cfg.Listen)
	if cfg.Control == "" || path == "" {
		return nil
	}
	predecessor, err := handover.Connect(path, predecessorTimeout)
	if err != nil {
		log.Error().Err(err).Msg("nothing is taken over")
	}
	return predecessor
}

// takeOver applies the predecessor's state, and reports whether that has a list.
func (s *succession) takeOver() (hasList bool) {
	state, err := s.adopt(s.predecessor.State, "former", 0, cluster.List{})
	if err != nil {
		s.log.Error().Err(fmt.Errorf("handover: state: %w", err)).Msg("nothing is taken over")
		return false
	}
	s.sharesEffects = state.Effects != nil
	if s.sharesEffects {
		s.effects.Apply(time.Now(), inflight.Predecessor, state.Effects.Notes)
	}
	s.log.Info().Int("members", len(state.Table.List.Members)).Int("cordoned", len(state.Table.Cordoned)).Msg("taken over")
	return len(state.Table.List.Members) > 0
}

// inheritedAuditLog returns the predecessor's audit log; nil: there is none. A state that can't be read is takeOver's to report.
func (s *succession) inheritedAuditLog() []auditlog.Entry {
	var state struct {
		AuditLog []auditlog.Entry `json:"Trail"`
	}
	if s.predecessor == nil || json.Unmarshal(s.predecessor.State, &state) != nil {
		return nil
	}
	return state.AuditLog
}

// inheritedSettings returns the published settings that the predecessor has in force; nil: there are none. A state that can't
// be read is takeOver's to report.
func (s *succession) inheritedSettings() []byte {
	var state struct {
		PublishedSettings []byte `json:"Published"`
	}
	if s.predecessor == nil || json.Unmarshal(s.predecessor.State, &state) != nil {
		return nil
	}
	return state.PublishedSettings
}

// newServer lets successors find this process once run has it listen.
func (s *succession) newServer(cfg *config.Config, fronts []downstream.Frontend, side *downstream.Manager, limits *resourceLimits) {
	path := handover.SocketPath(cfg.Listen)
	if cfg.Control == "" || path == "" {
		return
	}
	onConnected := func(connected bool) {
		if connected {
			limits.addProcesses(1)
		} else {
			limits.addProcesses(-1)
			s.dropSuccessor()
		}
	}
	s.server = &handover.Server{
		Path:        path,
		Listeners:   map[string]*net.TCPListener{},
		State:       s.handoverState,
		OnConnected: onConnected,
		OnServing:   side.SetSucceeded,
		OnLine:      func(line []byte) { s.receive(line, inflight.Successor) },
		Log:         s.log,
	}
	for _, front := range fronts {
		if l, ok := front.Listener.(*net.TCPListener); ok {
			s.server.Listeners[front.Addr] = l
		}
	}
}

// run announces to the predecessor, if there is one, that this process serves, and calls serving. It then serves successors
// until ctx is done, and returns when the predecessor has ended, too.
func (s *succession) run(ctx context.Context, serving func(), limits *resourceLimits) {
	var predecessorEnds sync.WaitGroup
	defer predecessorEnds.Wait()
	var err error
	if s.server != nil {
		err = s.server.Listen() // before the predecessor gives up the path
	}
	if s.predecessor != nil {
		onLine := func(line []byte) { s.receive(line, inflight.Predecessor) }
		if s.sharesEffects {
			defer s.mirrorToPredecessor().stop()
		}
		if err := s.predecessor.Ready(onLine); err != nil {
			s.log.Warn().Err(err).Msg("the former process has taken no notice")
		}
		predecessorEnds.Go(func() {
			s.predecessor.Receive(onLine)
			s.effects.Disconnect(time.Now(), inflight.Predecessor)
			limits.addProcesses(-1)
			s.log.Info().Msg("the former process has ended")
		})
		defer context.AfterFunc(ctx, s.predecessor.Close)()
	}
	serving()
	if s.server != nil && err == nil {
		err = s.server.Serve(ctx)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("no successor can take over")
	}
	<-ctx.Done()
}

// mirrorToPredecessor starts to send changes of effects to the predecessor, and asks for its own.
func (s *succession) mirrorToPredecessor() *effectMirror {
	s.sendToPredecessor([]byte(`{"Takes":true}`))
	mirror := newEffectMirror(s.sendToPredecessor, s.log)
	s.effects.Subscribe(inflight.Predecessor, mirror.enqueue)
	mirror.start()
	return mirror
}

// dropSuccessor forgets a successor that has ended.
func (s *succession) dropSuccessor() {
	s.effects.Disconnect(time.Now(), inflight.Successor)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		s.successor.stop()
		s.successor = nil
	}
}
