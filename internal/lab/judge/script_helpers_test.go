package judge

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// scenarioText has three endpoints, two sidecars and a class of each effect; every client waits 500 ms. Drains bind after 300 ms, keys
// are kept for 400 ms, and cold endpoints can do 0.5 standard cores.
const scenarioText = `
name = "judged"
length = "10s"
class = [
  {name = "read", share = 1, work = "10ms", aim = "200ms", deadline = "500ms"},
  {name = "order", share = 1, work = "10ms", aim = "200ms", deadline = "500ms", effect = "keyed", window = "400ms"},
  {name = "charge", share = 1, work = "10ms", aim = "200ms", deadline = "500ms", effect = "unsafe"},
]
tier = [{name = "t", kind = [{boxes = 3, cold_from = 0.5, cold_for = "5s"}]}]
rules = {drain_grace = "300ms", max_attempts = 3}
clients = {rate = 0.1}
fleet = {sidecars = 2}
network = {delay = "0s"}
`

func newPlan(t testing.TB) *plan.Plan {
	t.Helper()
	s, err := scenario.Parse("site", []byte(scenarioText))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.Requests = nil
	return p
}

// parseScript parses a run, a line each; times are in ms and "-" is never:
//
//	ask AT CLASS SIDECAR           a new request's first try is written; what follows is about it
//	retry AT SIDECAR               its client's next try
//	visit BOX AT START END HOW     a box gets it whole at AT
//	end AT STATUS [forged] [twice]
//	stray BOX AT                   a box gets what nobody sent
//	told AT SIDECAR BOX PHASE [UPSINCE]
//	agent AT SIDECAR BOX PHASE     the agent has it, whether it can hand it over or not
//	proc AT SIDECAR WHAT
//	start AT BOX                   the script starts a box, cold
//	sample AT BOX SENT COULD [cold] [fallen]
func parseScript(t testing.TB, lines string) (*plan.Plan, *trace.Log) {
	t.Helper()
	p, log := newPlan(t), &trace.Log{}
	for text := range strings.Lines(lines) {
		if strings.TrimSpace(text) == "" {
			continue
		}
		w := scriptLine{t, strings.Fields(text)}
		switch w.fields[0] {
		case "ask":
			class := p.Scenario.ClassIndex(w.fields[2])
			p.Requests = append(p.Requests, plan.Request{Due: w.ms(1), Class: class, Timeout: time.Second, Work: 10 * time.Millisecond})
			w.addAttempt(p, log, 0, 3)
		case "retry":
			w.addAttempt(p, log, log.ClientAttempts[len(log.ClientAttempts)-1].Number+1, 2)
		case "visit":
			how := slices.Index([]string{"held", "ok", "error", "away", "spoilt", "withdrawn", "lost"}, w.fields[5])
			log.EndpointRequests = append(log.EndpointRequests, trace.EndpointRequest{TransactionID: log.ClientAttempts[len(log.ClientAttempts)-1].TransactionID, Endpoint: w.number(1), FirstByte: w.ms(2), LastByte: w.ms(2),
				Started: w.ms(3), Ended: w.ms(4), Outcome: trace.Outcome(how)})
		case "end":
			attempt := &log.ClientAttempts[len(log.ClientAttempts)-1]
			attempt.Ended, attempt.Responses = w.ms(1), 1
			attempt.Status = trace.Status(slices.Index([]string{"served", "refused", "failed", "gone", "silent", "broken"}, w.fields[2]))
			if attempt.Forged = w.has("forged"); w.has("twice") {
				attempt.Responses = 2
			}
		case "stray":
			log.EndpointRequests = append(log.EndpointRequests, trace.EndpointRequest{TransactionID: 99, Endpoint: w.number(1), FirstByte: w.ms(2), LastByte: w.ms(2), Started: w.ms(2), Ended: w.ms(2)})
		case "told":
			told := trace.Notification{At: w.ms(1), Sidecar: w.number(2), Endpoint: w.number(3), Phase: w.phase(4)}
			if len(w.fields) > 5 {
				told.UpSince = w.ms(5)
			}
			log.Notifications = append(log.Notifications, told)
		case "agent":
			p.Events = append(p.Events, plan.Event{At: w.ms(1), Kind: plan.NotifySidecar, Endpoint: -1, Sidecar: w.number(2),
				Entry: plan.ListEntry{Endpoint: w.number(3), Phase: w.phase(4)}})
		case "proc":
			what := slices.Index([]string{"started", "ready", "stopping", "killed", "ended", "crashed"}, w.fields[3])
			log.SidecarEvents = append(log.SidecarEvents, trace.SidecarEvent{At: w.ms(1), Sidecar: w.number(2), Kind: trace.SidecarEventKind(what)})
		case "start":
			p.Events = append(p.Events, plan.Event{At: w.ms(1), Kind: plan.StartEndpoint, Endpoint: w.number(2), Sidecar: -1})
		case "sample":
			log.Samples = append(log.Samples, trace.Sample{At: w.ms(1), Endpoint: w.number(2), SentWork: w.ms(3), PossibleWork: w.ms(4),
				WarmingUp: w.has("cold"), Collapsed: w.has("fallen")})
		default:
			t.Fatalf("%q is no line of a script", text)
		}
	}
	return p, log
}

type scriptLine struct {
	t      testing.TB
	fields []string
}

func (w scriptLine) has(word string) bool { return slices.Contains(w.fields, word) }

// number reads "n1", "t1" or "1" as 0.
func (w scriptLine) number(i int) int {
	n, err := strconv.Atoi(strings.TrimLeft(w.fields[i], "nt"))
	if err != nil {
		w.t.Fatalf("%v: %v", w.fields, err)
	}
	return n - 1
}

func (w scriptLine) ms(i int) time.Duration {
	if w.fields[i] == "-" {
		return trace.Unset
	}
	n, err := strconv.Atoi(w.fields[i])
	if err != nil {
		w.t.Fatalf("%v: %v", w.fields, err)
	}
	return time.Duration(n) * time.Millisecond
}

func (w scriptLine) phase(i int) trace.Phase {
	return trace.Phase(slices.Index([]string{"ready", "draining", "gone"}, w.fields[i]))
}

func (w scriptLine) addAttempt(p *plan.Plan, log *trace.Log, no, sidecar int) {
	request := len(p.Requests) - 1
	log.ClientAttempts = append(log.ClientAttempts, trace.ClientAttempt{TransactionID: p.TransactionID(request, no), Request: request, Number: no, Sidecar: w.number(sidecar),
		Class: p.Requests[request].Class, Due: p.Requests[request].Due, Sent: w.ms(1), Timeout: 500 * time.Millisecond, Ended: trace.Unset, Endpoint: -1})
}

// countsText is a verdict's counts in words.
func countsText(v Verdict) string {
	var out []string
	for _, k := range Kinds {
		if v.Counts[k] > 0 {
			out = append(out, fmt.Sprintf("%d %s", v.Counts[k], k))
		}
	}
	return strings.Join(out, ", ")
}
