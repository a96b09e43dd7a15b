package calibration

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// noteWriter collects notes on a fit.
type noteWriter struct {
	model    *fittedModel
	history  *history
	scenario *scenario.Scenario
	notes    []string
}

// notes returns what was found and what could not be, for people.
func (m *fittedModel) notes(v *history, s *scenario.Scenario) []string {
	w := noteWriter{model: m, history: v, scenario: s}
	w.add("%d streams and %d attempts of %s at %d hosts in %s",
		len(v.requests), len(v.attempts), strings.Join(v.names, ", "), len(v.endpoints), formatTime(v.end))
	w.addOutages()
	w.addPartialFaults()
	w.addSlowPeriods()
	if len(m.outages)+len(m.partialFaults)+len(m.slowPeriods) == 0 {
		w.add("nothing went wrong with any host that shows")
	}
	w.addEndpoints()
	for _, run := range sidecarRestarts(v) {
		w.add("%s was not running from %s to %s", v.names[run.sidecar], formatTime(run.from), formatTime(run.to))
	}
	w.addLimits()
	return w.notes
}

func (w *noteWriter) add(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf(format, args...))
}

func (w *noteWriter) addOutages() {
	for _, d := range w.model.outages {
		name := w.history.endpoints[d.endpoint].name
		back := "and did not come back"
		if d.to < neverEnds {
			back = "and was back, cold, at " + formatTime(d.to)
		}
		switch d.kind {
		case "drain":
			w.add("%s was told to drain at %s, ended at %s %s", name, formatTime(d.announcedAt), formatTime(d.from), back)
		case "vanish":
			w.add("%s said nothing any more from %s on, not even to new connections, %s", name, formatTime(d.from), back)
		default:
			w.add("%s ended at %s %s", name, formatTime(d.from), back)
		}
	}
}

// partialFaultTexts has the note's words for each kind of partial fault.
var partialFaultTexts = map[string]string{
	"mute":   "never answered",
	"fail":   "answered with an error at once",
	"spoil":  "answered with an error after their work",
	"cut":    "broke off",
	"refuse": "refused new connections",
}

func (w *noteWriter) addPartialFaults() {
	for _, f := range w.model.partialFaults {
		name, text := w.history.endpoints[f.endpoint].name, partialFaultTexts[f.kind]
		when := "from " + formatTime(f.from) + " on"
		if f.to < neverEnds {
			when = fmt.Sprintf("from %s to %s", formatTime(f.from), formatTime(f.to))
		}
		switch f.kind {
		case "hang":
			w.add("%s took requests and answered none %s (%d attempts)", name, when, f.affected)
			if f.to < neverEnds && f.to-f.minEnd > 2*resumeLag {
				w.add("%s was asked for nothing from %s on, so it may have been well again earlier", name, formatTime(f.minEnd))
			}
		case "refuse":
			w.add("%s %s %s (%d of them)", name, text, when, f.affected)
		default:
			w.add("%s %s %s: %d of %d attempts", name, text, when, f.affected, f.attempts)
		}
	}
}

func (w *noteWriter) addSlowPeriods() {
	pauses := 0
	for _, p := range w.model.slowPeriods {
		if p.endpoint >= 0 && p.to-p.from < maxPause {
			pauses++
			continue
		}
		name := "all hosts"
		if p.endpoint >= 0 {
			name = w.history.endpoints[p.endpoint].name
		}
		w.add("%s: work took %.2f times as long from %s to %s", name, p.factor, formatTime(p.from), formatTime(p.to))
	}
	if pauses > 0 {
		w.add("single hosts all but stood still for less than a second, %d times in all", pauses)
	}
}

// addEndpoints notes the warm-up and how the endpoints are built.
func (w *noteWriter) addEndpoints() {
	m := w.model
	initialPercent, seconds := 100*m.warmup.initialShare, m.warmup.duration.Seconds()
	if m.warmup.known {
		w.add("a host begins at %.0f%% of its capacity and is warm after %.1f s", initialPercent, seconds)
	} else {
		w.add("no host was seen warming up: the settings' word is taken, %.0f%% at first and warm after %.1f s", initialPercent, seconds)
	}
	cores := fmt.Sprintf("%d cores", m.cores)
	if m.cores > 1 {
		cores += ", or of fewer that requests leave to others while they wait elsewhere"
	}
	w.add("hosts of %s; the fastest does %.2f times what the slowest does; each holds %d",
		cores, slices.Max(m.speeds)/slices.Min(m.speeds), m.slots+m.queue)
}

// addLimits notes where the scenario differs from what was recorded.
func (w *noteWriter) addLimits() {
	recorded := w.history.endpoints
	if names := w.scenario.EndpointNames(); names[0] != recorded[0].name {
		last := len(names) - 1
		w.add("the boxes %s to %s are the hosts %s to %s, in the order of their names",
			names[0], names[last], recorded[0].name, recorded[last].name)
	}
	if n := w.history.settings.Instances; n > len(w.history.names) {
		w.add("records of %d sidecars of %d: what the others sent is not played, so hosts seem slower than they were", len(w.history.names), n)
	}
	if unsupported := unsupportedSettings(w.history, w.scenario); len(unsupported) > 0 {
		w.add("a scenario has no words for these of the sidecars' settings, so they are played without: %s", strings.Join(unsupported, ", "))
	}
}

func formatTime(t time.Duration) string { return fmt.Sprintf("%.1f s", t.Seconds()) }

// unsupportedSettings names the recorded settings that the replay's sidecars have otherwise, by their fields in package balance.
func unsupportedSettings(v *history, s *scenario.Scenario) (out []string) {
	p, err := plan.Build(s, 1, []plan.Arrival{})
	if err != nil {
		return nil
	}
	replayed, err := config.ParseSettings(p.Settings(0))
	if err != nil {
		return nil
	}
	a, b := reflect.ValueOf(v.settings.Settings), reflect.ValueOf(replayed.Settings)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if name == "Classes" || name == "Kinds" || reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		out = append(out, name)
	}
	differ := map[string]bool{}
	for c := range v.settings.Classes {
		a, b := reflect.ValueOf(v.settings.Classes[c]), reflect.ValueOf(replayed.Classes[c])
		for i := range a.NumField() {
			if name := "Classes." + a.Type().Field(i).Name; !a.Field(i).Equal(b.Field(i)) && !differ[name] {
				differ[name] = true
				out = append(out, name)
			}
		}
	}
	return out
}
