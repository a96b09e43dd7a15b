package history

import (
	"net/http"
	"time"
)

// put is a put with the calls that repeat it: values are unique, so that a key and a value identify it.
type put struct {
	key, value string
	ifRevision *uint64
	calls      []*Call       // in the order of sending
	revision   uint64        // 0: not known
	accepted   *Call         // the first one that was answered 200; nil: none
	rejected   *Call         // one that was answered 412, or refused where all of its calls were; nil: none
	shown      time.Duration // when the first answer came that shows its revision
}

// putIdentity identifies a put.
type putIdentity struct{ key, value string }

// shown is a value that an answer shows.
type shown struct {
	Event
	by *Call
}

// groupHistory is what is known of one group.
type groupHistory struct {
	name       string
	puts       map[putIdentity]*put
	list       []*put // in the order of sending
	shown      []shown
	byRevision map[uint64]*put
	calls      []*Call // in the order of sending
}

func newGroupHistory(name string, calls []*Call) *groupHistory {
	g := &groupHistory{name: name, puts: map[putIdentity]*put{}, byRevision: map[uint64]*put{}, calls: calls}
	for _, call := range calls {
		switch {
		case call.Kind == Put:
			g.addPut(call)
		case call.Kind == Get && call.succeeded():
			g.shown = append(g.shown, shown{Event{call.Name, call.Value, call.Revision}, call})
		case call.Kind == Watch && call.succeeded():
			for _, event := range call.Events {
				g.shown = append(g.shown, shown{event, call})
			}
		}
	}
	for _, p := range g.list {
		g.conclude(p)
	}
	return g
}

func (g *groupHistory) addPut(call *Call) {
	identity := putIdentity{call.Name, call.Value}
	p := g.puts[identity]
	if p == nil {
		p = &put{key: call.Name, value: call.Value, ifRevision: call.IfRevision}
		g.puts[identity] = p
		g.list = append(g.list, p)
	}
	p.calls = append(p.calls, call)
}

// conclude tells what the calls of a put say together. A 412 says that none of them ever takes effect; a refusal speaks of its call alone.
func (g *groupHistory) conclude(p *put) {
	refused := 0
	for _, call := range p.calls {
		switch {
		case call.succeeded():
			if p.accepted == nil {
				p.accepted, p.revision, p.shown = call, call.Revision, call.Received
			}
		case call.Status == http.StatusPreconditionFailed:
			p.rejected = call
		case call.isRefused():
			refused++
		}
	}
	if refused == len(p.calls) {
		p.rejected = p.calls[0]
	}
}

// sent is when the first of a put's calls was sent.
func (p *put) sent() time.Duration { return p.calls[0].Sent }

// isUnclear reports whether a put may or may not have taken effect, as far as its own calls say.
func (p *put) isUnclear() bool { return p.accepted == nil && p.rejected == nil }
