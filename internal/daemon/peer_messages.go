package daemon

import (
	"encoding/json"
	"time"

	"pinelb.example/pinelb/internal/inflight"
)

// Cordon carries out an operator's call at this process and passes it to the sidecar's other processes. It reports whether
// there is such an endpoint.
func (s *succession) Cordon(id string) bool {
	return s.cordonCall(peerMessage{Endpoint: id, Cordoned: true})
}

// Uncordon takes a Cordon back, likewise.
func (s *succession) Uncordon(id string) bool { return s.cordonCall(peerMessage{Endpoint: id}) }

func (s *succession) cordonCall(call peerMessage) bool {
	line, known := s.applyCall(call)
	if line != nil {
		s.sendToSuccessor(line)
		s.sendToPredecessor(line)
	}
	return known
}

// applyCall applies a call here. It returns the line that passes it on, and whether there is such an endpoint.
func (s *succession) applyCall(call peerMessage) (line []byte, known bool) {
	if call, known = s.cordons.applyLocal(call, s.applyCordon); !known {
		return nil, false
	}
	line, _ = json.Marshal(call) // it has no value that JSON can't write
	return line, true
}

func (s *succession) applyCordon(call peerMessage) bool {
	if call.Cordoned {
		return s.table.Cordon(call.Endpoint)
	}
	return s.table.Uncordon(call.Endpoint)
}

// receive handles a line of another process. An operator's call that is news here is passed on to the process on the other
// side.
func (s *succession) receive(line []byte, from inflight.Source) {
	var m peerMessage
	if err := json.Unmarshal(line, &m); err != nil {
		s.logIgnored(err, m.Endpoint)
		return
	}
	switch {
	case m.AcceptsNotes:
		s.startMirror()
	case len(m.Notes) > 0:
		s.effects.Apply(time.Now(), from, m.Notes)
	default:
		s.receiveCall(m, line, from)
	}
}

// startMirror starts to send changes of effects to the successor, if that is still connected.
func (s *succession) startMirror() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		s.successor.start()
	}
}

func (s *succession) receiveCall(call peerMessage, line []byte, from inflight.Source) {
	applied, known := s.cordons.applyRemote(call, s.applyCordon)
	switch {
	case !known:
		s.logIgnored(nil, call.Endpoint)
	case applied && from == inflight.Predecessor:
		s.sendToSuccessor(line)
	case applied:
		s.sendToPredecessor(line)
	}
}

func (s *succession) logIgnored(err error, endpoint string) {
	s.log.Warn().Err(err).Str("name", endpoint).Msg("a word of the other process changes nothing")
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
