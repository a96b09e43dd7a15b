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

// Exit statuses of "pinelb settings status".
const (
	ExitAllInForce  = 0
	ExitNotAll      = 1
	ExitNoneReached = 3
)

// View is what several distributors report of a service.
type View struct {
	settingsstore.Status // combined
	Statuses             []settingsstore.Status
	Unreached            []error // why distributors did not answer
}

// NewView combines statuses, of which there may be none.
func NewView(statuses []settingsstore.Status, faults []error) *View {
	v := &View{Statuses: statuses, Unreached: faults}
	if len(statuses) > 0 {
		v.Status = settingsstore.MergeStatuses(statuses)
	}
	return v
}

// Exit returns the exit status of a view. A service without settings has none in force; and sidecars may have reported other
// settings to a distributor that was not reached.
func (v *View) Exit() int {
	switch {
	case len(v.Statuses) == 0:
		return ExitNoneReached
	case v.None() || len(v.Unreached) > 0 || v.CountIn(settingsstore.InForce) != len(v.Sidecars):
		return ExitNotAll
	}
	return ExitAllInForce
}

// counts returns how many sidecars are in each state.
func (v *View) counts() (out []string) {
	for _, state := range []string{settingsstore.InForce, settingsstore.Behind, settingsstore.Ahead, settingsstore.Rejected, settingsstore.Unresponsive} {
		out = append(out, fmt.Sprintf("%d %s", v.CountIn(state), state))
	}
	return out
}

// Table writes a view for people: how many sidecars are in each state, and those that don't have the newest settings in force.
func (v *View) Table(out io.Writer) error {
	var b strings.Builder
	for _, fault := range v.Unreached {
		fmt.Fprintf(&b, "not reached: %s\n", printable(fault.Error()))
	}
	for _, s := range v.Statuses {
		if s.Edition != v.Edition || s.Starting {
			fmt.Fprintf(&b, "distributor %s (%s) has %s", printable(s.Distributor), printable(s.Region), printable(s.Edition.String()))
			if s.Starting {
				b.WriteString(", and is starting")
			}
			b.WriteByte('\n')
		}
	}
	if len(v.Statuses) > 0 {
		fmt.Fprintf(&b, "%s: edition %s, digest %016x; of %d sidecars %s\n", printable(v.Service), printable(v.Edition.String()), uint64(v.Digest),
			len(v.Sidecars), strings.Join(v.counts(), ", "))
	}
	if v.Overruled != nil {
		fmt.Fprintf(&b, "overruled: edition %s, digest %016x, made apart from the newest; publish it again if it is to stand\n",
			printable(v.Overruled.Edition.String()), uint64(v.Overruled.Digest))
	}
	if wanting := v.NotInForce(); len(wanting) > 0 {
		t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprint(t, "\nsidecar\tstate\tin force\theard\twhy\n")
		for _, c := range wanting {
			fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\n", printable(c.Name), c.State, printable(c.InForce.String()), c.LastRequestAgo.D(), printable(c.Reason))
		}
		_ = t.Flush() // into b, which takes all
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// JSON writes a line for each sidecar, one for each distributor, and a summary.
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
	for _, s := range v.Statuses {
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
	for _, fault := range v.Unreached {
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
	}{"summary", v.Service, v.Edition, v.Digest, len(v.Sidecars), v.CountIn(settingsstore.InForce), v.CountIn(settingsstore.Behind),
		v.CountIn(settingsstore.Ahead), v.CountIn(settingsstore.Rejected), v.CountIn(settingsstore.Unresponsive), overruled, unreached})
}

// printable returns text from elsewhere with control characters replaced, which a terminal would act on.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || 0x80 <= r && r < 0xa0 {
			return '?'
		}
		return r
	}, text)
}
