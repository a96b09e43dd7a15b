package settingsserver

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

// Exit statuses of a status.
const (
	AllInForce  = 0
	NotAll      = 1
	NobodyThere = 3
)

// View is what several distributors say of a service.
type View struct {
	settingsstore.Status // together
	Each                 []settingsstore.Status
	Faults               []error // of those that did not answer
}

// NewView puts statuses together, of which there may be none.
func NewView(statuses []settingsstore.Status, faults []error) *View {
	v := &View{Each: statuses, Faults: faults}
	if len(statuses) > 0 {
		v.Status = settingsstore.MergeStatuses(statuses)
	}
	return v
}

// Exit is the exit status that a view means. A service without settings has none in force; and what a distributor that was not
// reached knows of sidecars may be that they have something else.
func (v *View) Exit() int {
	switch {
	case len(v.Each) == 0:
		return NobodyThere
	case v.None() || len(v.Faults) > 0 || v.Count(settingsstore.InForce) != len(v.Sidecars):
		return NotAll
	}
	return AllInForce
}

// counts are how many sidecars stand so, of all states that there are.
func (v *View) counts() (out []string) {
	for _, state := range []string{settingsstore.InForce, settingsstore.Behind, settingsstore.Ahead, settingsstore.Refused, settingsstore.Silent} {
		out = append(out, fmt.Sprintf("%d %s", v.Count(state), state))
	}
	return out
}

// Table writes a view for people: how many sidecars stand so, and those that don't have the newest in force.
func (v *View) Table(out io.Writer) error {
	var b strings.Builder
	for _, fault := range v.Faults {
		fmt.Fprintf(&b, "not reached: %s\n", plain(fault.Error()))
	}
	for _, s := range v.Each {
		if s.Edition != v.Edition || s.Starting {
			fmt.Fprintf(&b, "distributor %s (%s) has %s%s\n", plain(s.Distributor), plain(s.Region), plain(s.Edition.String()), map[bool]string{true: ", and is starting"}[s.Starting])
		}
	}
	if len(v.Each) > 0 {
		fmt.Fprintf(&b, "%s: edition %s, digest %016x; of %d sidecars %s\n", plain(v.Service), plain(v.Edition.String()), uint64(v.Digest),
			len(v.Sidecars), strings.Join(v.counts(), ", "))
	}
	if v.Overruled != nil {
		fmt.Fprintf(&b, "overruled: edition %s, digest %016x, made apart from the newest; publish it again if it is to stand\n",
			plain(v.Overruled.Edition.String()), uint64(v.Overruled.Digest))
	}
	if wanting := v.Wanting(); len(wanting) > 0 {
		t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprint(t, "\nsidecar\tstate\tin force\theard\twhy\n")
		for _, c := range wanting {
			fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\n", plain(c.Name), c.State, plain(c.InForce.String()), c.Heard.D(), plain(c.Why))
		}
		_ = t.Flush() // into b, which takes all
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// JSON writes a line for each sidecar, one for each distributor, and one for all of it.
func (v *View) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	for _, c := range v.Sidecars {
		if err := e.Encode(struct {
			Line string `json:"line"`
			settingsstore.Sidecar
		}{"sidecar", c}); err != nil {
			return err
		}
	}
	for _, s := range v.Each {
		s.Sidecars, s.Settings = nil, nil
		if err := e.Encode(struct {
			Line        string `json:"line"`
			Distributor string `json:"distributor"`
			Region      string `json:"region"`
			Starting    bool   `json:"starting"`
			version.Edition
		}{"distributor", s.Distributor, s.Region, s.Starting, s.Edition}); err != nil {
			return err
		}
	}
	unreached := []string{}
	for _, fault := range v.Faults {
		unreached = append(unreached, fault.Error())
	}
	var overruled *version.Edition
	if v.Overruled != nil {
		overruled = &v.Overruled.Edition
	}
	return e.Encode(struct {
		Line    string `json:"line"`
		Service string `json:"service"`
		version.Edition
		Digest    version.Digest   `json:"digest"`
		Sidecars  int              `json:"sidecars"`
		InForce   int              `json:"in_force"`
		Behind    int              `json:"behind"`
		Ahead     int              `json:"ahead"`
		Refused   int              `json:"refused"`
		Silent    int              `json:"silent"`
		Overruled *version.Edition `json:"overruled,omitempty"`
		Unreached []string         `json:"unreached"`
	}{"summary", v.Service, v.Edition, v.Digest, len(v.Sidecars), v.Count(settingsstore.InForce), v.Count(settingsstore.Behind),
		v.Count(settingsstore.Ahead), v.Count(settingsstore.Refused), v.Count(settingsstore.Silent), overruled, unreached})
}

// plain is text from elsewhere, without what a terminal would act on.
func plain(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || 0x80 <= r && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}
