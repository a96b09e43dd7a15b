package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Bounds of a run, so that it ends and fits the machine.
const (
	longest     = 15 * time.Minute
	mostBoxes   = 1000
	mostRate    = 100_000
	mostFleet   = 400
	mostFaults  = 1000
	mostClasses = 32
	mostTiers   = 4
	mostAudits  = 4

	longestPause = time.Minute // of a sidecar
)

// BoxFaults are the kinds of Fault that a box has, by what the model calls them; those that discovery sees
// too are below.
var BoxFaults = []string{"vanish", "hang", "fail", "slow", "refuse", "cut", "spoil", "drip", "mute"}

// BoxEvents are the kinds by which boxes come and go: drain (told, then its process ends), crash (its process
// ends and is back after For), leave (its process ends and its entry stays for For), add (an absent one comes).
var BoxEvents = []string{"crash", "drain", "leave", "add"}

// OtherKinds are those of discovery and of the sidecars.
var OtherKinds = []string{"discovery_silent", "discovery_late", "discovery_move", "sidecar_kill", "sidecar_stop",
	"sidecar_pause", "sidecar_upgrade", "hurry", "order_again", "disk_full"}

// ListKinds are faults of the list service, as all sidecars or some of them have it, and LinkKinds those of the network
// between sidecars and other processes. They need processes: the virtual player refuses them.
var (
	ListKinds = []string{"list_down", "list_slow", "list_old", "list_wrong", "list_cut", "list_forget"}
	LinkKinds = []string{"link_cut", "link_slow", "link_reset"}
)

// SocketsOnly tells whether a scenario asks for what only the player on sockets has.
func (s *Scenario) SocketsOnly() bool {
	return s.Discovery.Service != nil || len(s.Audit) > 0 || slices.ContainsFunc(s.Fault, func(f Fault) bool { return between(f.Kind) })
}

func between(kind string) bool {
	return slices.Contains(ListKinds, kind) || slices.Contains(LinkKinds, kind)
}

// auditorName is one that fits a file's name and an order.
var auditorName = regexp.MustCompile(`^[a-z0-9-]+$`)

// Audited tells whether the sidecars keep trails and take orders: their operator's file has the section for it.
func (f *Fleet) Audited() bool { return slices.Contains(strings.Fields(f.Operator), "[audit]") }

// shareKinds strike a share of the requests at a box.
var shareKinds = []string{"fail", "cut", "spoil", "drip", "mute"}

// Measures are what an Expect can name: shares of the first tries, counts and seconds.
var Measures = []string{"service", "served", "late", "refused", "failed", "gone", "attempts", "copies", "wasted",
	"p50", "p90", "p99", "p999", "fallen", "worst", "refusals", "bottom",
	"list_calls", "list_refused", "list_dials", "list_peak", "handshakes", "unready", "unlisted", "unserving",
	"attempts_peak", "again_peak",
	"audit_wrong", "audit_missing", "audit_hidden", "audit_false", "audit_late", "audit_ends"}

// Default is a scenario's values where its file says nothing.
func Default() Scenario {
	s := func(d time.Duration) Span { return Span(d) }
	return Scenario{
		Seed: 1, Length: s(20 * time.Second),
		Rules: Rules{DrainGrace: s(3 * time.Second), ColdShare: 0.3, ColdFor: s(9 * time.Second), FallMultiple: 2.5,
			FallWindow: s(time.Second), AnswerSlack: s(58 * time.Millisecond), MaxAttempts: 4, MaxHeld: 20000, SecondCopies: true,
			Cancel: true, Probes: true, RetryAfter: true, MaxRetryAfter: s(1500 * time.Millisecond),
			ConnectTimeout: s(75 * time.Millisecond), ConnIdle: s(30 * time.Second), PassesDeadline: true, MarksRetry: true},
		Clients: Clients{Shape: "steady", Period: s(10 * time.Second), Retries: 3, TryShare: 0.55,
			Backoff: s(100 * time.Millisecond), Honour: 0.15, Notice: s(2 * time.Second)},
		Fleet: Fleet{Sidecars: 1, Protocol: "http", Policy: "pinelb", Rank: "right", Start: "before", Known: "fresh", MemoryMB: 192,
			Sockets: 1024, Cores: 1},
		Discovery: Discovery{Add: s(500 * time.Millisecond), Notice: s(time.Second), Silent: s(6 * time.Second),
			Spread: s(300 * time.Millisecond)},
		Network: Network{Delay: s(100 * time.Microsecond)},
	}
}

// Load reads a scenario's file.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := Parse(path, data)
	if err == nil && s.Clients.Recorded != "" && !filepath.IsAbs(s.Clients.Recorded) {
		s.Clients.Recorded = filepath.Join(filepath.Dir(path), s.Clients.Recorded)
	}
	return s, err
}

// Parse reads a scenario's text; name is the file's in errors.
func Parse(name string, data []byte) (*Scenario, error) {
	s := Default()
	f, err := tomlfile.Decode(name, data, &s)
	if err != nil {
		return nil, err
	}
	s.fill()
	return &s, s.check(f)
}

// fill gives the elements of lists their defaults.
func (s *Scenario) fill() {
	or := func(p *Span, d time.Duration) {
		if *p == 0 {
			*p = Span(d)
		}
	}
	for i := range s.Class {
		c := &s.Class[i]
		c.Spread, c.Effect = orText(c.Spread, "fixed"), orText(c.Effect, "safe")
		if c.Worth == 0 {
			c.Worth = 1
		}
		if c.Effect == "keyed" {
			or(&c.Window, 4*time.Second)
		}
		if c.Answer == 0 {
			c.Answer = 64
		}
	}
	if b := s.Fleet.Budget; b != nil && b.Share == 0 {
		b.Share = 1
	}
	for i := range s.Audit {
		a := &s.Audit[i]
		or(&a.Every, time.Second)
		or(&a.Grace, 3*time.Second)
		or(&a.Spread, time.Second)
		if a.Share == 0 {
			a.Share = 0.1
		}
	}
	for i := range s.Tier {
		t := &s.Tier[i]
		if t.Work == 0 {
			t.Work = 1
		}
		t.Carry = orText(t.Carry, "all")
		for j := range t.Kind {
			k := &t.Kind[j]
			k.Name = orText(k.Name, t.Name)
			k.WarmBy, k.Start, k.Cancel = orText(k.WarmBy, "time"), orText(k.Start, "warm"), orText(k.Cancel, "all")
			for _, d := range []struct {
				p   *int
				def int
			}{{&k.Boxes, 1}, {&k.Cores, 1}, {&k.Slots, 20 * max(1, k.Cores)}, {&k.Queue, 24 * max(1, k.Cores)}, {&k.Connections, 800}} {
				if *d.p == 0 {
					*d.p = d.def
				}
			}
			if k.Speed == 0 {
				k.Speed = 1
			}
			if k.ColdFrom == 0 {
				k.ColdFrom = 0.4
			}
			or(&k.ColdFor, 6*time.Second)
			or(&k.Handshake, 1500*time.Microsecond)
		}
	}
}

func orText(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

// check names the first key that can't be played.
func (s *Scenario) check(f *tomlfile.File) error {
	c := checker{f: f}
	c.need(s.Name != "", "name", "is missing")
	c.need(s.Length > 0 && s.Length.D() <= longest, "length", "must be above 0 and at most %s", longest)
	c.need(s.Settle >= 0 && s.Settle < s.Length, "settle", "must be less than length")
	c.need(len(s.Class) > 0 && len(s.Class) <= mostClasses, "class", "there must be 1 to %d", mostClasses)
	seen := map[string]bool{}
	for i := range s.Class {
		c.class(fmt.Sprintf("class[%d]", i), &s.Class[i], seen)
	}
	c.need(len(s.Tier) > 0 && len(s.Tier) <= mostTiers, "tier", "there must be 1 to %d", mostTiers)
	boxes := 0
	for i := range s.Tier {
		at := fmt.Sprintf("tier[%d]", i)
		c.need(s.Tier[i].To == "" || s.TierIndex(s.Tier[i].To) > 0, at+".to", "%q is no tier but the first, which clients alone call", s.Tier[i].To)
		boxes += c.tier(at, &s.Tier[i], s.Next(i) < 0, seen)
		c.need(s.Tier[i].To == "" || s.Clients.Load == 0, at+".to", "a tier that is called from anywhere needs clients.rate: load can't be told")
	}
	c.need(boxes <= mostBoxes, "tier", "has %d boxes in all; %d at most", boxes, mostBoxes)
	c.clients(s)
	c.rules(&s.Rules)
	c.fleet(s)
	c.need(s.Discovery.LateShare >= 0 && s.Discovery.LateShare <= 1, "discovery.late_share", "must be from 0 to 1")
	if v := s.Discovery.Service; v != nil {
		c.need(v.Calls > 0 && v.Call > 0 && v.Call.D() <= time.Minute, "discovery.service.calls", "and call must be above 0")
		c.need(v.Line >= 0, "discovery.service.line", "must not be negative")
		c.need(v.RetryAfter >= 0 && v.RetryAfter.D() <= time.Minute, "discovery.service.retry_after", "must be from 0 to 1m")
		v.Beyond = orText(v.Beyond, "503")
		c.oneOf(v.Beyond, "discovery.service.beyond", "503", "reset", "silence", "slower")
	}
	c.need(s.Network.Delay >= 0 && s.Network.Delay.D() <= time.Second, "network.delay", "must be from 0 to 1s")
	c.need(len(s.Fault) <= mostFaults, "fault", "there may be %d at most", mostFaults)
	for i := range s.Fault {
		c.fault(fmt.Sprintf("fault[%d]", i), &s.Fault[i], s)
	}
	c.need(len(s.Audit) <= mostAudits, "audit", "there may be %d at most", mostAudits)
	names := map[string]bool{}
	for i := range s.Audit {
		c.audit(fmt.Sprintf("audit[%d]", i), &s.Audit[i], names)
	}
	for i := range s.Expect {
		c.expect(fmt.Sprintf("expect[%d]", i), &s.Expect[i], s)
	}
	return c.err
}

// checker keeps the first fault.
type checker struct {
	f   *tomlfile.File
	err error
}

func (c *checker) need(holds bool, key, format string, args ...any) {
	if !holds && c.err == nil {
		c.err = c.f.Errorf(key, format, args...)
	}
}

func (c *checker) oneOf(value, key string, words ...string) {
	c.need(slices.Contains(words, value), key, "is %q; it must be one of %s", value, strings.Join(words, ", "))
}

func (c *checker) class(at string, k *Class, seen map[string]bool) {
	c.need(k.Name != "" && !seen[k.Name] && !strings.ContainsAny(k.Name, "/ ?#%\r\n"), at+".name",
		"is missing, not unique or not fit for a path")
	seen[k.Name] = true
	c.need(k.Share > 0, at+".share", "must be above 0")
	c.need(k.Work > 0, at+".work", "must be above 0")
	c.oneOf(k.Spread, at+".spread", "fixed", "exp", "lognormal")
	c.need(k.Spread != "lognormal" || k.CV > 0, at+".cv", "must be above 0 for lognormal")
	c.need(k.CV >= 0 && k.CV <= 5, at+".cv", "must be from 0 to 5")
	c.need(k.Noise >= 0 && k.Noise <= 5, at+".noise", "must be from 0 to 5")
	c.need(k.Aim > 0, at+".aim", "must be above 0")
	c.need(k.Deadline >= k.Aim && k.Deadline.D() <= time.Minute, at+".deadline", "must be from aim to 1m")
	c.need(k.Worth > 0, at+".worth", "must be above 0")
	c.oneOf(k.Effect, at+".effect", "safe", "keyed", "unsafe")
	c.need(k.Body >= 0 && k.Body <= 64<<10 && (k.Body == 0 || k.Effect != "safe"), at+".body",
		"must be from 0 to 65536, and 0 for a safe class")
	c.need(k.Answer >= 0 && k.Answer <= 64<<10, at+".answer", "must be from 0 to 65536")
}

func (c *checker) tier(at string, t *Tier, last bool, seen map[string]bool) (boxes int) {
	c.need(t.Name != "" && !seen[t.Name], at+".name", "is missing or not unique")
	seen[t.Name] = true
	c.need(t.Work > 0, at+".work", "must be above 0")
	c.oneOf(t.Carry, at+".carry", "all", "none")
	c.need(t.Calls >= 0 && t.Calls <= 10 && (!last || t.Calls == 0), at+".calls", "must be from 0 to 10, and 0 in the last tier")
	c.need(last || t.Calls > 0, at+".calls", "must be above 0 where there is a next tier")
	c.need(len(t.Kind) > 0, at+".kind", "there must be one at least")
	for i := range t.Kind {
		k, at := &t.Kind[i], fmt.Sprintf("%s.kind[%d]", at, i)
		boxes += k.Boxes
		for _, n := range []struct {
			key string
			v   int
		}{{"boxes", k.Boxes}, {"cores", k.Cores}, {"slots", k.Slots}, {"connections", k.Connections}} {
			c.need(n.v > 0, at+"."+n.key, "must be above 0")
		}
		c.need(k.Queue >= 0 && k.CrowdAt >= 0, at+".queue", "must not be negative")
		c.need(k.Speed > 0 && k.Speed <= 1000, at+".speed", "must be above 0 and at most 1000")
		c.need(k.SpeedCV >= 0 && k.SpeedCV <= 2, at+".speed_cv", "must be from 0 to 2")
		c.need(k.CrowdLoss >= 0 && k.TableTax >= 0 && k.TableTax < 1, at+".table_tax", "must be from 0 to 1")
		c.need(k.ErrorRate >= 0 && k.ErrorRate <= 1, at+".error_rate", "must be from 0 to 1")
		c.need(k.ColdFrom > 0 && k.ColdFrom <= 1, at+".cold_from", "must be above 0 and at most 1")
		c.need((k.Pause > 0) == (k.PauseEvery > 0), at+".pause", "goes with pause_every")
		c.oneOf(k.WarmBy, at+".warm_by", "time", "work")
		c.oneOf(k.Start, at+".start", "warm", "cold", "absent")
		c.oneOf(k.Cancel, at+".cancel", "nothing", "waiting", "all")
	}
	return boxes
}

func (c *checker) clients(s *Scenario) {
	k := &s.Clients
	ways := 0
	for _, given := range []bool{k.Load > 0, k.Rate > 0, k.Recorded != "", len(s.Burst) > 0 && k.Load == 0 && k.Rate == 0} {
		if given {
			ways++
		}
	}
	c.need(ways == 1, "clients.load", "one of load, rate and recorded must be given, or bursts alone")
	c.need(k.Load >= 0 && k.Load <= 20, "clients.load", "must be from 0 to 20")
	c.need(k.Rate >= 0 && k.Rate <= mostRate, "clients.rate", "must be from 0 to %d", mostRate)
	c.oneOf(k.Shape, "clients.shape", "steady", "even", "wave")
	c.need(k.Swing >= 0 && k.Swing <= 1 && (k.Shape != "wave" || k.Period > 0), "clients.swing", "must be from 0 to 1, with a period")
	c.need(k.Retries >= 0 && k.Retries <= 10, "clients.retries", "must be from 0 to 10")
	c.need(k.TryShare > 0 && k.TryShare <= 1, "clients.try_share", "must be above 0 and at most 1")
	for _, p := range []struct {
		key string
		v   float64
	}{{"honour", k.Honour}, {"impatient", k.Impatient}, {"fresh", k.Fresh}, {"skew", k.Skew}} {
		c.need(p.v >= 0 && p.v <= 1, "clients."+p.key, "must be from 0 to 1")
	}
	for i, b := range s.Burst {
		at := fmt.Sprintf("burst[%d]", i)
		c.need(b.Rate > 0 && b.Rate <= mostRate, at+".rate", "must be above 0 and at most %d", mostRate)
		c.need(b.At >= 0 && b.For > 0 && b.At+b.For <= s.Length, at+".for", "must end within length")
		c.need(b.Class == "" || s.ClassIndex(b.Class) >= 0, at+".class", "%q is no class", b.Class)
	}
}

func (c *checker) rules(r *Rules) {
	c.need(r.DrainGrace >= 0, "rules.drain_grace", "must not be negative")
	c.need(r.ColdShare > 0 && r.ColdShare <= 1, "rules.cold_share", "must be above 0 and at most 1")
	c.need(r.FallMultiple > 0 && r.FallWindow > 0, "rules.fall_multiple", "and fall_window must be above 0")
	c.need(r.MaxAttempts > 0 && r.MaxHeld > 0, "rules.max_attempts", "and max_held must be above 0")
	c.need(r.ConnectTimeout > 0 && r.ConnIdle > 0, "rules.connect_timeout", "and conn_idle must be above 0")
}

func (c *checker) fleet(s *Scenario) {
	k := &s.Fleet
	c.oneOf(k.Protocol, "fleet.protocol", Protocols...)
	if k.Thrift() {
		c.methods(s.Class)
	}
	c.oneOf(k.Policy, "fleet.policy", "pinelb", "plain")
	c.need(k.Sidecars > 0 && k.Sidecars <= mostFleet, "fleet.sidecars", "must be from 1 to %d", mostFleet)
	c.need(k.Other >= 0 && k.Other <= k.Sidecars, "fleet.other", "must be from 0 to sidecars")
	c.oneOf(k.Rank, "fleet.rank", "right", "equal", "none")
	if k.Budget != nil {
		c.need(k.Budget.Share >= 0 && k.Budget.Share <= 1, "fleet.budget.share", "must be from 0 to 1")
	}
	_, err := config.ParseOperator("operator", []byte(s.OperatorText("127.0.0.1:1", s.Tier[0].Name, true)))
	c.need(err == nil, "fleet.operator", "%v", err)
	c.oneOf(k.Start, "fleet.start", "before", "with")
	c.oneOf(k.Known, "fleet.known", "fresh", "none", "stale")
	c.need(k.Told >= 0, "fleet.told", "must not be negative")
	c.need(k.MemoryMB >= 32 && k.Sockets >= 64 && k.Cores > 0, "fleet.memory_mb", "must be 32 or more, sockets 64 or more and cores above 0")
}

// methods checks that classes can be told apart as methods of Thrift.
func (c *checker) methods(classes []Class) {
	seen := map[string]bool{}
	for i := range classes {
		name := classes[i].Method()
		c.need(methodName.MatchString(name) && !seen[name], fmt.Sprintf("class[%d].name", i),
			"gives no method of Thrift of its own: %q", name)
		seen[name] = true
	}
}

func (c *checker) fault(at string, k *Fault, s *Scenario) {
	kinds := slices.Concat(BoxFaults, BoxEvents, OtherKinds, ListKinds, LinkKinds, []string{"flap"})
	c.oneOf(k.Kind, at+".kind", kinds...)
	c.need(k.At >= 0 && k.At <= s.Length && k.For >= 0, at+".at", "must be from 0 to length, and for not negative")
	c.need(k.Tier == "" || s.TierIndex(k.Tier) >= 0, at+".tier", "%q is no tier", k.Tier)
	if between(k.Kind) {
		c.between(at, k, s)
		return
	}
	if !slices.Contains(OtherKinds, k.Kind) {
		ways := 0
		for _, given := range []bool{k.Boxes > 0, k.Share > 0, len(k.Names) > 0} {
			if given {
				ways++
			}
		}
		c.need(ways == 1, at+".boxes", "one of boxes, share and names must be given")
		c.need(k.Share >= 0 && k.Share <= 1, at+".share", "must be from 0 to 1")
		names := s.BoxNames()
		for _, name := range k.Names {
			c.need(slices.Contains(names, name), at+".names", "%q is no box; the first of a tier \"t\" is \"t-1\"", name)
		}
	}
	kind := k.Kind
	if kind == "flap" {
		c.oneOf(k.Of, at+".of", append([]string{"crash"}, BoxFaults...)...)
		c.need(k.Up >= Span(10*time.Millisecond) && k.Down >= Span(10*time.Millisecond) && k.For > 0, at+".up", "and down must be 10ms or more, and for given")
		kind = k.Of
	} else {
		c.need(k.Of == "" && k.Up == 0 && k.Down == 0, at+".of", "with up and down, is for flap alone")
	}
	share := slices.Contains(shareKinds, kind)
	c.need(k.Class == "" || (share || kind == "hurry") && s.ClassIndex(k.Class) >= 0, at+".class", "must be a class, of a fault that strikes a share of the requests")
	c.need(k.Above == 0 || share && k.Above > 0, at+".above", "must be above 0, of a fault that strikes a share of the requests")
	c.need(k.By == "" || share && slices.Contains([]string{"request", "connection"}, k.By), at+".by",
		`must be "request" or "connection", of a fault that strikes a share of the requests`)
	c.need((k.Left > 0 && k.Left < 1) == (kind == "hurry"), at+".left", "must be above 0 and under 1 for hurry, and is for hurry alone")
	switch kind {
	case "fail", "cut", "spoil", "drip", "mute":
		c.need(k.Size > 0 && k.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the requests")
	case "hurry":
		c.need(k.Size > 0 && k.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the clients")
	case "sidecar_pause":
		c.need(k.For > 0 && k.For <= Span(longestPause), at+".for", "must be given, and %s at most", longestPause)
	case "order_again":
		c.need(len(s.Audit) > 0 && k.Back > 0 && k.Size >= 0, at+".back", "must be given, size not negative, and [[audit]] there")
	case "disk_full":
		c.need(k.At == 0 && k.For == 0, at+".at", "must be 0, and no for: it is full all the time")
		c.need(strings.Contains(s.Fleet.Operator, "[state]"), at+".kind", "needs [state] in fleet.operator")
	case "slow":
		c.need(k.Size >= 1, at+".size", "must be 1 or more: how many times as long work takes")
	case "discovery_late":
		c.need(k.Size >= 0 && k.Size <= 1, at+".size", "must be from 0 to 1: a share of the sidecars, all if left out")
		c.need(k.Back > 0, at+".back", "must be given: how much later")
	}
}

// between checks a fault of the list service or of links.
func (c *checker) between(at string, k *Fault, s *Scenario) {
	c.need((k.Up > 0) == (k.Down > 0) && (k.Up == 0 || k.Up >= Span(10*time.Millisecond) && k.Down >= Span(10*time.Millisecond) && k.For > 0),
		at+".up", "and down go together, are 10ms or more, and need for")
	c.need(k.Share >= 0 && k.Share <= 1 && k.Boxes >= 0, at+".share", "must be from 0 to 1, and boxes not negative")
	c.need(k.Back >= 0 && k.Back.D() <= time.Minute, at+".back", "must be from 0 to 1m")
	switch k.Kind {
	case "list_wrong":
		c.oneOf(k.Of, at+".of", "empty", "half", "other")
	case "list_slow":
		c.need(k.Size >= 1 || k.Size == 0 && k.Back > 0, at+".size", "must be 1 or more, or back given")
	case "list_cut":
		c.need(k.Size > 0 && k.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the answers")
	case "link_cut", "link_slow", "link_reset":
		c.oneOf(k.Of, at+".of", "list", "boxes", "clients", "control")
		c.need(k.Of != "control" || len(s.Audit) > 0 || s.Fleet.Audited(), at+".of", "control needs [[audit]], or [audit] in fleet.operator")
		c.need(k.By == "" || k.Kind == "link_cut", at+".by", "is for link_cut alone")
		c.need((k.Kind == "link_slow") == (k.Back > 0), at+".back", "must be given for link_slow, and is for that alone")
	}
	if k.By != "" {
		c.oneOf(k.By, at+".by", "both", "there", "back")
	}
	for _, name := range k.Names {
		n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
		c.need(err == nil && n > 0 && n <= s.Fleet.Sidecars, at+".names", "%q is no sidecar of the first tier; the first is \"n1\"", name)
	}
}

func (c *checker) audit(at string, k *Audit, seen map[string]bool) {
	c.need(auditorName.MatchString(k.Name) && !seen[k.Name], at+".name", "must be letters, digits and dashes, and unique")
	seen[k.Name] = true
	c.need(k.Every >= Span(100*time.Millisecond) && k.Every.D() <= time.Minute, at+".every", "must be from 100ms to 1m")
	c.need(k.Grace > 0 && k.Spread >= 0, at+".grace", "must be above 0, and spread not negative")
	c.need(k.Share >= 0 && k.Share <= 1, at+".share", "must be from 0 to 1")
	c.need(!k.ShutOut || k.Raise, at+".shut_out", "needs raise")
	c.need((k.Kill == 0 || k.Kill > k.Start) && (k.Back == 0 || k.Kill > 0), at+".kill", "must be after start; back needs it")
	c.need((k.Pause > 0) == (k.For > 0), at+".pause", "and for go together")
}

func (c *checker) expect(at string, k *Expect, s *Scenario) {
	c.oneOf(k.What, at+".what", Measures...)
	c.need(k.Class == "" || s.ClassIndex(k.Class) >= 0, at+".class", "%q is no class", k.Class)
	c.need(k.Least != nil || k.Most != nil, at+".least", "least or most must be given")
	c.need(k.To == 0 || k.To > k.From, at+".to", "must be after from")
}

// ClassIndex is the place of a class, or -1.
func (s *Scenario) ClassIndex(name string) int {
	return slices.IndexFunc(s.Class, func(c Class) bool { return c.Name == name })
}

// TierIndex is the place of a tier, or -1.
func (s *Scenario) TierIndex(name string) int {
	return slices.IndexFunc(s.Tier, func(t Tier) bool { return t.Name == name })
}

// Next is the tier that a tier's boxes call; -1 is none.
func (s *Scenario) Next(tier int) int {
	switch t := &s.Tier[tier]; {
	case t.To != "":
		return s.TierIndex(t.To)
	case tier+1 < len(s.Tier):
		return tier + 1
	}
	return -1
}

// BoxNames are the names of all boxes in the order of the tiers and their kinds: the tier's, a dash and a
// number from 1.
func (s *Scenario) BoxNames() []string {
	var out []string
	for _, t := range s.Tier {
		n := 0
		for _, k := range t.Kind {
			for range k.Boxes {
				n++
				out = append(out, fmt.Sprintf("%s-%d", t.Name, n))
			}
		}
	}
	return out
}
