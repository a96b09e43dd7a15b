package calibration

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// notes say what was found and what could not be.
func (m *fittedModel) notes(v *history, s *scenario.Scenario) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	add("%d streams and %d attempts of %s at %d hosts in %s",
		len(v.requests), len(v.attempts), strings.Join(v.names, ", "), len(v.endpoints), at(v.end))
	for _, d := range m.outages {
		name := v.endpoints[d.endpoint].name
		back := "and did not come back"
		if d.to < neverEnds {
			back = "and was back, cold, at " + at(d.to)
		}
		switch d.kind {
		case "drain":
			add("%s was told to drain at %s, ended at %s %s", name, at(d.announcedAt), at(d.from), back)
		case "vanish":
			add("%s said nothing any more from %s on, not even to new connections, %s", name, at(d.from), back)
		default:
			add("%s ended at %s %s", name, at(d.from), back)
		}
	}
	for _, f := range m.partialFaults {
		span := "from " + at(f.from) + " on"
		if f.to < neverEnds {
			span = fmt.Sprintf("from %s to %s", at(f.from), at(f.to))
		}
		name := v.endpoints[f.endpoint].name
		what := map[string]string{"mute": "never answered", "fail": "answered with an error at once",
			"spoil": "answered with an error after their work", "cut": "broke off", "refuse": "refused new connections"}[f.kind]
		switch f.kind {
		case "hang":
			add("%s took requests and answered none %s (%d attempts)", name, span, f.affected)
			if f.to < neverEnds && f.to-f.minEnd > 2*resumeLag {
				add("%s was asked for nothing from %s on, so it may have been well again earlier", name, at(f.minEnd))
			}
		case "refuse":
			add("%s %s %s (%d of them)", name, what, span, f.affected)
		default:
			add("%s %s %s: %d of %d attempts", name, what, span, f.affected, f.attempts)
		}
	}
	pauses := 0
	for _, w := range m.slowPeriods {
		if w.endpoint >= 0 && w.to-w.from < maxPause {
			pauses++
			continue
		}
		name := "all hosts"
		if w.endpoint >= 0 {
			name = v.endpoints[w.endpoint].name
		}
		add("%s: work took %.2f times as long from %s to %s", name, w.factor, at(w.from), at(w.to))
	}
	if pauses > 0 {
		add("single hosts all but stood still for less than a second, %d times in all", pauses)
	}
	if len(m.outages)+len(m.partialFaults)+len(m.slowPeriods) == 0 {
		add("nothing went wrong with any host that shows")
	}
	if m.warmup.known {
		add("a host begins at %.0f%% of its capacity and is warm after %.1f s", 100*m.warmup.initialShare, m.warmup.duration.Seconds())
	} else {
		add("no host was seen warming up: the settings' word is taken, %.0f%% at first and warm after %.1f s",
			100*m.warmup.initialShare, m.warmup.duration.Seconds())
	}
	slow, fast := math.Inf(1), 0.0
	for _, x := range m.speeds {
		slow, fast = min(slow, x), max(fast, x)
	}
	cores := fmt.Sprintf("%d cores", m.cores)
	if m.cores > 1 {
		cores += ", or of fewer that requests leave to others while they wait elsewhere"
	}
	add("hosts of %s; the fastest does %.2f times what the slowest does; each holds %d", cores, fast/slow, m.slots+m.queue)
	for _, l := range sidecarRestarts(v) {
		add("%s was not running from %s to %s", v.names[l.sidecar], at(l.from), at(l.to))
	}
	if names := s.EndpointNames(); names[0] != v.endpoints[0].name {
		last := len(names) - 1
		add("the boxes %s to %s are the hosts %s to %s, in the order of their names", names[0], names[last], v.endpoints[0].name, v.endpoints[last].name)
	}
	if n := v.settings.Instances; n > len(v.names) {
		add("records of %d sidecars of %d: what the others sent is not played, so hosts seem slower than they were", len(v.names), n)
	}
	if lost := m.unsupportedSettings(v, s); len(lost) > 0 {
		add("a scenario has no words for these of the sidecars' settings, so they are played without: %s", strings.Join(lost, ", "))
	}
	return out
}

func at(t time.Duration) string { return fmt.Sprintf("%.1f s", t.Seconds()) }

// unsaid names the settings that the rehearsal's sidecars are told otherwise.
func (m *fittedModel) unsupportedSettings(v *history, s *scenario.Scenario) (out []string) {
	p, err := plan.Build(s, 1, []plan.Arrival{})
	if err != nil {
		return nil
	}
	told, err := config.ParseSettings(p.Settings(0))
	if err != nil {
		return nil
	}
	a, b := reflect.ValueOf(v.settings.Settings), reflect.ValueOf(told.Settings)
	for i := range a.NumField() {
		if name := a.Type().Field(i).Name; name != "Classes" && name != "Kinds" && !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			out = append(out, name)
		}
	}
	differ := map[string]bool{}
	for c := range v.settings.Classes {
		a, b := reflect.ValueOf(v.settings.Classes[c]), reflect.ValueOf(told.Classes[c])
		for i := range a.NumField() {
			if name := "Classes." + a.Type().Field(i).Name; !a.Field(i).Equal(b.Field(i)) && !differ[name] {
				differ[name] = true
				out = append(out, name)
			}
		}
	}
	return out
}
