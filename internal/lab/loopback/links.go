package loopback

import "pinelb.example/pinelb/internal/lab/plan"

// linkKey names a link: what a sidecar connects to over it, or who connects to the sidecar.
type linkKey struct {
	kind     string
	sidecar  int
	endpoint int // of "boxes"
}

// setUpLinks makes the links that the plan has faults for. A link costs two more sockets a connection, so others go without.
func (r *run) setUpLinks() error {
	r.links = map[linkKey]*link{}
	for of, sidecars := range r.plan.Links {
		for _, i := range sidecars {
			boxes := 1
			if of == "boxes" {
				boxes = len(r.plan.Boxes)
			}
			for box := range boxes {
				to := r.addresses.agent(i, 0)
				switch of {
				case "clients":
					to = r.addresses.clientEntry(i, r.plan.Scenario.Fleet.Protocol)
				case "boxes":
					to = r.addresses.endpoint(box)
				case "control":
					to = r.addresses.control(i, 0)
				}
				l, err := newLink(r.addresses.link(of, i, box), to)
				if err != nil {
					return err
				}
				r.links[linkKey{of, i, box}] = l
			}
		}
	}
	return nil
}

// applyLinkEvent is a step of the script at the links of one kind that a sidecar has.
func (r *run) applyLinkEvent(e plan.Event) {
	for key, l := range r.links {
		switch {
		case key.kind != e.Link.Of || key.sidecar != e.Sidecar:
		case e.Kind == plan.BeginLink:
			l.beginFault(e.ID, e.Link)
		default:
			l.endFault(e.ID)
		}
	}
}

// endpointAddress is the address at which a sidecar reaches a box.
func (r *run) endpointAddress(sidecar, box int) string {
	if r.plan.Linked("boxes", sidecar) {
		return r.addresses.link("boxes", sidecar, box)
	}
	return r.addresses.endpoint(box)
}
