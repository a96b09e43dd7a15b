package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Two customers' settings that share no name, effect or figure.
var customers = map[string]string{
	"one class": `{"n_instances":3,"rank":2,"tier":0,"classes":[{"name":"Zug-42","aim":90000000,"deadline":400000000,"idempotency":"non_idempotent","worth":0.5}],
	 "allowed":{"connect_timeout":40000000,"most_held":50,"send_cap":1},"rules":{"cold_share":1,"cold":5000000000,"tip_multiple":1.5,"fall":300000000,
	 "answer_slack":4000000,"stop_sending_within":500000000},"tenants":[]}`,
	"many": `{"n_instances":290,"rank":0,"tier":1,"quantum":2000000,"registry_mode":"subscribe","over_share_worth":0.1,"classes":[
	 {"name":"plan","aim":1500000000,"aim_stretch":0.2,"deadline":6000000000,"idempotency":"idempotency_key","key_scope":"zone","memory_span":9000000000,"worth":4,"late_worth":0.3},
	 {"name":"look/up","aim":200000000,"aim_stretch":0,"deadline":800000000,"idempotency":"read_like","key_scope":"all","memory_span":0,"worth":1,"late_worth":0},
	 {"name":"book","aim":700000000,"aim_stretch":1,"deadline":2500000000,"idempotency":"non_idempotent","key_scope":"all","memory_span":0,"worth":9,"late_worth":0.5}],
	 "allowed":{"cancel":true,"second_copies":true,"probing":false,"peer_messages":false,"retry_after":true,"max_retry_after":1500000000,
	 "connect_timeout":75000000,"conn_idle":20000000000,"most_held":20000,"send_cap":6},
	 "rules":{"cold_share":0.2,"cold":20000000000,"tip_multiple":3,"fall":1500000000,"must_ask_in":10000000000,"answer_slack":8000000,"stop_sending_within":3000000000},
	 "prices":{"waste":0.1,"handshake":0.02,"probe":0,"peer":0,"late_fail":0.3,"cross_zone":0.05},
	 "tenants":[{"name":"north","share":0.6,"quota_rps":80},{"name":"south","share":0.4,"quota_rps":0}],"kinds":["k"],"zones":["n","s"],"tiers":["p","q"]}`,
}

// Guards against a faulty file that a sidecar starts with or that takes the place of a good one, and against an operator
// who is told the program's word for a key. One fault at a time, in each key that the settings have.
func TestInvalidSettings(t *testing.T) {
	const missing = "null"
	text := []string{`true`, `[1]`, `{}`, `7`}
	number := []string{`"1"`, `"NaN"`, `true`, `{}`, `1e400`}
	atLeast0 := append([]string{`-1`}, number...)
	above0 := append([]string{`0`}, atLeast0...)
	span := append([]string{`0.4`, `1e300`}, above0...)
	span0 := append([]string{`1e300`}, atLeast0...)
	count := append([]string{`1.5`, `1e300`}, above0...)
	flag := []string{`1`, `"true"`, `[]`}
	sites := map[string]site{}
	for customer, settings := range customers {
		s := newSite(t, settings)
		if start, hup := s.replaced(t, settings); start != nil || hup != nil {
			t.Fatalf("%s: %v, %v", customer, start, hup)
		}
		class := settings[strings.Index(settings, `{"name":`) : strings.Index(settings, "}")+1]
		twice := strings.Replace(settings, class, class+","+class, 1)
		start, hup := s.replaced(t, twice)
		for _, err := range []error{start, hup} {
			if err == nil || !strings.Contains(err.Error(), "settings.classes[1].name") {
				t.Errorf("%s: a class twice: %v", customer, err)
			}
		}
		sites[customer] = s
	}
	for _, k := range []struct {
		key    string // * is each of a list
		needed bool   // at the start as well; at SIGHUP all are that the former file had
		faulty []string
	}{
		{"classes", true, []string{`[]`, `{}`, `"all"`, `[3]`, `[{}]`}},
		{"classes.*.name", true, append([]string{`""`}, text...)},
		{"classes.*.aim", true, span},
		{"classes.*.deadline", true, span},
		{"classes.*.idempotency", true, append([]string{`""`, `"Read_Like"`}, text...)},
		{"classes.*.key_scope", false, append([]string{`"galaxy"`}, text...)},
		{"classes.*.worth", false, atLeast0},
		{"classes.*.late_worth", false, atLeast0},
		{"classes.*.aim_stretch", false, atLeast0},
		{"classes.0.memory_span", true, span}, // of the one class that is keyed
		{"n_instances", true, count},
		{"rank", false, []string{`-1`, `0.5`, `"1"`, `1e400`}},
		{"quantum", false, span0},
		{"over_share_worth", false, atLeast0},
		{"allowed", true, []string{`[]`, `3`}},
		{"allowed.send_cap", true, count},
		{"allowed.most_held", true, count},
		{"allowed.connect_timeout", true, span},
		{"allowed.conn_idle", false, span0},
		{"allowed.max_retry_after", false, span0},
		{"allowed.cancel", false, flag},
		{"allowed.second_copies", false, flag},
		{"rules", true, []string{`[]`, `3`}},
		{"rules.cold_share", true, append([]string{`1.01`}, above0...)},
		{"rules.cold", false, span0},
		{"rules.tip_multiple", true, above0},
		{"rules.fall", true, span},
		{"rules.must_ask_in", true, span}, // where discovery has to be asked
		{"rules.answer_slack", false, span0},
		{"rules.stop_sending_within", false, span0},
		{"prices.*", false, number},
		{"tenants.*.name", true, append([]string{`""`}, text...)},
		{"tenants.*.share", false, atLeast0},
		{"tenants.*.quota_rps", false, atLeast0},
	} {
		for customer, settings := range customers {
			for _, key := range allValuePaths(t, settings, k.key) {
				for _, value := range append([]string{"", missing}, k.faulty...) {
					faulty := with(t, settings, key, value)
					start, hup := sites[customer].replaced(t, faulty)
					published := CheckSettings([]byte(faulty))
					if (published == nil) != (start == nil) {
						t.Errorf("%s: with %s: %q a start ends with %v, publishing it with %v", customer, key, value, start, published)
					}
					if value == "" || value == missing {
						if (start != nil) != k.needed {
							t.Errorf("%s: start without %s (%q): %v", customer, key, value, start)
						}
					} else if start == nil {
						t.Errorf("%s: started with %s: %s", customer, key, value)
					}
					if hup == nil {
						t.Errorf("%s: taken at SIGHUP with %s: %q", customer, key, value)
					}
					name := key
					if strings.HasPrefix(value, "[") || key == "allowed" || key == "rules" { // a part of it may be named
						name = strings.TrimSuffix(key, "s")
					}
					for _, err := range []error{start, hup, published} {
						if err != nil && !strings.Contains(err.Error(), "settings."+name) {
							t.Errorf("%s: %s: %q is turned down with %v", customer, key, value, err)
						}
					}
				}
			}
		}
	}
}

// each is the key for each of the list or object that its * stands for, as far as the settings have it.
func allValuePaths(t *testing.T, settings, key string) (all []string) {
	t.Helper()
	var doc any
	if err := json.Unmarshal([]byte(settings), &doc); err != nil {
		t.Fatal(err)
	}
	var walk func(at any, path string, rest []string)
	walk = func(at any, path string, rest []string) {
		if len(rest) == 0 {
			all = append(all, path)
			return
		}
		switch at := at.(type) {
		case []any:
			for i, v := range at {
				if rest[0] == "*" || rest[0] == strconv.Itoa(i) {
					walk(v, fmt.Sprintf("%s[%d]", path, i), rest[1:])
				}
			}
		case map[string]any:
			for name, v := range at {
				if rest[0] == "*" || rest[0] == name {
					walk(v, strings.TrimPrefix(path+"."+name, "."), rest[1:])
				}
			}
		}
	}
	walk(doc, "", strings.Split(key, "."))
	return all
}

// with is the settings with another value at one key, or, with none, without it.
func with(t *testing.T, settings, key, value string) string {
	t.Helper()
	var doc map[string]any
	if err := json.Unmarshal([]byte(settings), &doc); err != nil {
		t.Fatal(err)
	}
	steps := strings.FieldsFunc(key, func(r rune) bool { return strings.ContainsRune(".[]", r) })
	at := any(doc)
	for _, s := range steps[:len(steps)-1] {
		if list, ok := at.([]any); ok {
			i, _ := strconv.Atoi(s)
			at = list[i]
		} else {
			at = at.(map[string]any)[s]
		}
	}
	if last := steps[len(steps)-1]; value == "" {
		delete(at.(map[string]any), last)
	} else {
		at.(map[string]any)[last] = json.RawMessage(value)
	}
	out, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// site is a file, and what a process runs by that has read it.
type site struct {
	path    string
	inForce *Config
}

func newSite(t *testing.T, settings string) site {
	t.Helper()
	s := site{path: filepath.Join(t.TempDir(), "config.json")}
	s.put(t, settings)
	var err error
	if s.inForce, err = Load(s.getenv); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s site) getenv(key string) string { return map[string]string{"LB_CONFIG": s.path}[key] }

func (s site) put(t *testing.T, settings string) {
	t.Helper()
	if err := os.WriteFile(s.path, []byte(`{"listen":"127.0.0.4:8080","discovery":"127.2.0.1:8500","settings":`+settings+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaced puts other settings in the file, and says what a start with them is told, and a SIGHUP.
func (s site) replaced(t *testing.T, settings string) (start, hup error) {
	t.Helper()
	s.put(t, settings)
	c, start := Load(s.getenv)
	if start == nil {
		start = c.Validate()
	}
	_, hup = Reload(s.getenv, s.inForce)
	return start, hup
}
