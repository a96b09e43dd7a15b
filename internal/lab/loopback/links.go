package loopback

import "pinelb.example/pinelb/internal/lab/plan"

// linkKey names a link: what a sidecar connects to over it, or who connects to the sidecar.
type linkKey struct {
	of      string
	sidecar int
	box     int // of "boxes"
}

// openLinks makes the links that the plan has faults for. A link costs two more sockets a connection, so others go without.
func (r *run) openLinks() error {
	r.links = map[linkKey]*link{}
	for of, sidecars := range r.plan.Links {
		for _, i := range sidecars {
			boxes := 1
			if of == "boxes" {
				boxes = len(r.plan.Boxes)
			}
			for box := range boxes {
				to := r.net.agent(i, 0)
				switch of {
				case "clients":
					to = r.net.entry(i, r.plan.Scenario.Fleet.Protocol)
				case "boxes":
					to = r.net.box(box)
				case "control":
					to = r.net.control(i, 0)
				}
				l, err := newLink(r.net.link(of, i, box), to)
				if err != nil {
					return err
				}
				r.links[linkKey{of, i, box}] = l
			}
		}
	}
	return nil
}

// turnLinks is a step of the script at the links of one kind that a sidecar has.
func (r *run) turnLinks(e plan.Event) {
	for key, l := range r.links {
		switch {
		case key.of != e.Link.Of || key.sidecar != e.Sidecar:
		case e.Kind == plan.BeginLink:
			l.begin(e.ID, e.Link)
		default:
			l.heal(e.ID)
		}
	}
}

// boxFor is the address at which a sidecar reaches a box.
func (r *run) boxFor(sidecar, box int) string {
	if r.plan.Linked("boxes", sidecar) {
		return r.net.link("boxes", sidecar, box)
	}
	return r.net.box(box)
}
