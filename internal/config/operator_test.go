package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func loadOperator(t *testing.T, text string) (*Operator, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperator(path)
}

// Guards against a section that is on though nobody asked for it, and against defaults that are not as told.
func TestOperatorDefaults(t *testing.T) {
	for _, load := range []func() (*Operator, error){
		func() (*Operator, error) { return LoadOperator("") },
		func() (*Operator, error) { return loadOperator(t, "# nothing\n") },
	} {
		if op, err := load(); err != nil || *op != (Operator{}) {
			t.Errorf("nothing asked for: %+v, %v", op, err)
		}
	}
	for text, want := range map[string]AccessLog{
		"[record]\nto = \"log\"": {"log", 64 << 20, 2000},
		"[record]\nto = \"/run/a\"\nmost = \"3 GiB\"\nper_second = 7": {"/run/a", 3 << 30, 7},
		"[record]\nto = \"/run/a\"\nmost = 4000000":                   {"/run/a", 4000000, 2000},
	} {
		if op, err := loadOperator(t, text); err != nil || *op.AccessLog != want {
			t.Errorf("%s: %+v, %v", text, op, err)
		}
	}
}

// Guards against an example that is no longer true.
func TestOperatorExample(t *testing.T) {
	op, err := LoadOperator("../../deploy/operator.example.toml")
	if err != nil || op.AccessLog == nil || op.Fleet == nil || op.Thrift == nil || len(op.Thrift.Methods) == 0 ||
		op.Budget == nil || op.Budget.Service == "" || op.Discovery == nil || !op.Discovery.Resume || op.Discovery.CallRate == 0 ||
		op.Audit == nil || op.Audit.Share != 0.1 || op.Audit.ShutsOutWhenIsolated() || op.Audit.File == 0 ||
		op.Settings == nil || len(op.Settings.Distributors) == 0 || op.Settings.Service == "" {
		t.Errorf("%+v, %v", op, err)
	}
}

func TestOperatorFaultsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		"[recorder]":                                                           ":1: recorder",
		"[discovery]\nburst = 1":                                               ":1: discovery.calls: must be given",
		"[discovery]\ncalls = 0.5":                                             ":2: discovery.calls: ",
		"[discovery]\ncalls = 9\nburst = -1":                                   ":3: discovery.burst: ",
		"[discovery]\ncalls = 9\ninstances = -1":                               ":3: discovery.instances: ",
		"[discovery]\ncalls = 9\nwatch = \"1ms\"":                              ":3: discovery.watch: ",
		"[discovery]\ncalls = 9\nwhole = \"1s\"":                               ":3: discovery.whole: ",
		"[record]\nto = \"log\"\n\nfrom = 1":                                   ":4: record.from: ",
		"[record]":                                                             ":1: record.to: ",
		"[record]\nto = \"here\"":                                              ":2: record.to: ",
		"[record]\nto = 7":                                                     ":2: record.to: ",
		"[record]\nto = \"log\"\nmost = \"4MiB\"":                              ":3: record.most: ",
		"[record]\nto = \"/a\"\nmost = \"1MiB\"":                               ":3: record.most: ",
		"[record]\nto = \"/a\"\nmost = \"9TiB\"":                               ":3: record.most: must be a size",
		"[record]\nto = \"/a\"\nper_second = 0":                                ":3: record.per_second: ",
		"[record]\nto = ":                                                      ":2: ",
		"[budget]\nattempts = 1":                                               ":1: budget.service: ",
		"[budget]\nservice = \"a b\"":                                          ":2: budget.service: ",
		"[budget]\nservice = \"a\"\nattempts = 9":                              ":3: budget.attempts: ",
		"[budget]\nservice = \"a\"\nreentry = -1":                              ":3: budget.reentry: ",
		"[fleet]\nnumbered = 1":                                                ":2: fleet.numbered: ",
		"[fleet]\nhandshakes = -1":                                             ":2: fleet.handshakes: must be from 0 to 10000",
		"[fleet]\nspread = \"6s\"":                                             ":2: fleet.spread: must be from 0s to 5s",
		"[audit]\nshare = 1.1":                                                 ":2: audit.share: must be from 0 to 1",
		"[audit]\nshare = nan":                                                 ":2: audit.share: must be from 0 to 1",
		"[audit]\nlease = \"1s\"":                                              ":2: audit.lease: must be 0s, or from 2s to 10m",
		"[audit]\nsilence = \"shut\"":                                          ":2: audit.silence: must be \"open\"",
		"[audit]\nsilence = \"closed\"":                                        ":2: audit.silence: \"closed\" needs a lease",
		"[audit]\nfile = 1":                                                    ":2: audit.file: ",
		"[settings]\nservice = \"a\"":                                          ":1: settings.from: must have 1 to 16",
		"[settings]\nfrom = []":                                                ":2: settings.from: ",
		"[settings]\nfrom = 7":                                                 ":2: settings.from: ",
		"[settings]\nfrom = [\"host:1\"]":                                      ":2: settings.from: [0] is no address",
		"[settings]\nfrom = [\"127.0.0.1:0\"]":                                 ":2: settings.from: [0] is no address",
		"[settings]\nfrom = [\"127.0.0.1:1\"]":                                 ":1: settings.service: ",
		"[settings]\nfrom = [\"127.0.0.1:1\", \"127.0.0.1:1\"]":                ":2: settings.from: [1] stands there twice",
		"[settings]\nfrom = [\"127.0.0.1:1\"]\nservice = \"a b\"":              ":3: settings.service: ",
		"[settings]\nfrom = [" + strings.Repeat("\"127.0.0.1:1\", ", 17) + "]": ":2: settings.from: must have 1 to 16",
		"[state]\ndir = \"here\"":                                              ":2: state.dir: must be the absolute",
		"[state]\ndir = \"/s\"\nevery = \"0s\"":                                ":3: state.every: must be from 1s to 10m",
		"[state]\ndir = \"/s\"\noldest = \"5s\"":                               ":3: state.oldest: must be from state.every",
	} {
		if _, err := loadOperator(t, text); err == nil || !strings.Contains(err.Error(), "operator.toml"+want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if _, err := LoadOperator("/nonexistent/operator.toml"); err == nil || !strings.Contains(err.Error(), "operator.toml") {
		t.Errorf("a file that is not there: %v", err)
	}
}

// Guards against an audit that nobody can call, and against digests that tell apart what is the same for a fleet, or don't
// what differs.
func TestAudit(t *testing.T) {
	op, err := loadOperator(t, "[audit]\n")
	if err != nil || op.Audit.Share != 0.1 || op.Audit.Lease != 0 || op.Audit.ShutsOutWhenIsolated() {
		t.Fatalf("%+v, %v", op, err)
	}
	if other, _ := loadOperator(t, "[audit]\n\n"); other.Audit.File == op.Audit.File {
		t.Error("another file has the same digest")
	}
	if err := op.CheckAgainst(&Config{}); err == nil || !strings.Contains(err.Error(), "LB_CONTROL") {
		t.Errorf("with no address for operators: %v", err)
	}
	if err := op.CheckAgainst(&Config{Control: "127.0.0.1:1"}); err != nil {
		t.Error(err)
	}
	paced, err := loadOperator(t, "[audit]\nlease = \"6s\"\n[discovery]\ncalls = 150\n")
	if err != nil {
		t.Fatal(err)
	}
	for instances, fits := range map[int]bool{100: true, 400: false} { // 400 of them wait for news for up to 8 s
		c := &Config{Control: "127.0.0.1:1"}
		c.Settings.Instances = instances
		if err := paced.CheckAgainst(c); (err == nil) != fits || err != nil && !strings.Contains(err.Error(), "audit.lease must be 10s") {
			t.Errorf("a lease of 6 s, %d instances: %v", instances, err)
		}
	}
	of := func(site string) any { return (&Config{RawSettings: site}).Digest() }
	was := of(`{"rank":3,"locality":1,"classes":[{"aim":9007199254740993,"name":"a"}]}`)
	if same := of("{ \"locality\":0,\n\"classes\":[{\"name\":\"a\",\"aim\":9007199254740993}], \"rank\":4 }"); same != was {
		t.Error("of another instance the same settings have another digest")
	}
	if other := of(`{"rank":3,"locality":1,"classes":[{"aim":9007199254740992,"name":"a"}]}`); other == was {
		t.Error("other settings have the same digest")
	}
}
