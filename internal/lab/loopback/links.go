package loopback

import "pinelb.example/pinelb/internal/lab/plan"

// linkKey identifies a link.
type linkKey struct {
	kind     string // what a sidecar connects to over it ("list", "boxes"), or who connects to the sidecar ("clients", "control")
	sidecar  int
	endpoint int // of kind "boxes"
}

// setUpLinks makes the links that the plan has faults for. A link costs two more sockets a connection, so others go without.
func (r *run) setUpLinks() error {
	r.links = map[linkKey]*link{}
	for kind, sidecars := range r.plan.InterceptedLinks {
		for _, sidecar := range sidecars {
			endpoints := 1
			if kind == "boxes" {
				endpoints = len(r.plan.Endpoints)
			}
			for endpoint := range endpoints {
				key := linkKey{kind, sidecar, endpoint}
				l, err := newLink(r.addresses.link(kind, sidecar, endpoint), r.linkTarget(key))
				if err != nil {
					return err
				}
				r.links[key] = l
			}
		}
	}
	return nil
}

// linkTarget is the address to which a link forwards at first.
func (r *run) linkTarget(key linkKey) string {
	switch key.kind {
	case "clients":
		return r.addresses.clientEntry(key.sidecar, r.plan.Scenario.Fleet.Protocol)
	case "boxes":
		return r.addresses.endpoint(key.endpoint)
	case "control":
		return r.addresses.control(key.sidecar, 0)
	}
	return r.addresses.agent(key.sidecar, 0)
}

// applyLinkEvent applies an event of the script that concerns a sidecar's links of one kind.
func (r *run) applyLinkEvent(event plan.Event) {
	for key, l := range r.links {
		switch {
		case key.kind != event.LinkFault.Target || key.sidecar != event.Sidecar:
		case event.Kind == plan.StartLinkFault:
			l.beginFault(event.ID, event.LinkFault)
		default:
			l.endFault(event.ID)
		}
	}
}

// endpointAddress is the address at which a sidecar reaches an endpoint.
func (r *run) endpointAddress(sidecar, endpoint int) string {
	if r.plan.IsIntercepted("boxes", sidecar) {
		return r.addresses.link("boxes", sidecar, endpoint)
	}
	return r.addresses.endpoint(endpoint)
}
