package scalefit

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const plan = `[[table]]
name = "t"
[[table.row]]
role = "sidecar"
file = "a.jsonl"
where = { what = "x" }
cost = "cost"
unit = "ms"
per = ["hosts"]
at = { hosts = 100 }
limit = 150
assumed = ["hosts"]
`

const results = `{"what":"x","command":"m 1","hosts":1,"cost":3}
{"what":"x","command":"m 1","hosts":2,"cost":5}
{"what":"x","command":"m 2","trial":true,"hosts":4,"cost":9}
{"what":"x","command":"m 2","hosts":4,"cost":9}
`

// TestTable guards against a table that hides an error, an extrapolation, a trial or an assumption.
func TestTable(t *testing.T) {
	p, err := ParsePlan("plan.toml", []byte(plan))
	if err != nil {
		t.Fatal(err)
	}
	got, err := p.Fill("before\n<!-- slopes t -->\nstale\n<!-- end of slopes t -->\nafter", map[string][]Measurement{"a.jsonl": parse(t, results)})
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"before\n", "\nafter", "sidecar (trial)", "1 + 2 x hosts", "hosts 1, 2, 4; 4 points", "| 201 | 25, **a guess** | 150 |",
		"**does not**, by 1.34", "hosts: 101, 401 (holds, 1.49 times over; **does not**, by 2.67)", "\n    m 1\n    m 2\n"} {
		if !strings.Contains(got, part) {
			t.Errorf("%q is not in\n%s", part, got)
		}
	}
	if strings.Contains(got, "stale") {
		t.Error("the old table is still there")
	}
	if again, err := p.Fill(got, map[string][]Measurement{"a.jsonl": parse(t, results)}); err != nil || again != got {
		t.Errorf("filled twice it differs: %v", err)
	}
	for _, page := range []string{"", "<!-- slopes t -->\n", got + "\n<!-- slopes u -->\n"} {
		var pageError *PageError
		if _, err := p.Fill(page, map[string][]Measurement{"a.jsonl": parse(t, results)}); !errors.As(err, &pageError) {
			t.Errorf("accepted: %q", page)
		}
	}
	withoutCommand := map[string][]Measurement{"a.jsonl": parse(t, strings.NewReplacer(`"command":"m 1",`, "", `"command":"m 2",`, "").Replace(results))}
	if _, err := p.Fill(got, withoutCommand); err == nil || !strings.Contains(err.Error(), "by: is missing") {
		t.Errorf("without a command: %v", err)
	}
	p.Tables[0].Rows[0].Command = "m 3"
	if text, err := p.Fill(got, withoutCommand); err != nil || !strings.Contains(text, "\n    m 3\n") {
		t.Errorf("with a command: %v", err)
	}
	if _, err := p.Fill(got, nil); err == nil || !strings.Contains(err.Error(), "a.jsonl") {
		t.Errorf("without results: %v", err)
	}
}

func parse(t *testing.T, text string) []Measurement {
	t.Helper()
	out, err := ParseMeasurements("a.jsonl", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestParsePlanRejects guards against an invalid plan that leads to a wrong table. Each error names the line and the key.
func TestParsePlanRejects(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`name = "t"`, `name = ""`, "plan.toml:2: table[0].name"},
		{`limit = 150`, `limit = -1`, "table[0].row[0].limit"},
		{`limit = 150`, `limit = nan`, "table[0].row[0].limit"},
		{`limit = 150`, `limit = "x"`, "limit"},
		{`limit = 150`, `limits = 1`, "limits"},
		{`limit = 150`, `times = -2`, "table[0].row[0].times"},
		{`at = { hosts = 100 }`, `at = { hosts = -1 }`, "table[0].row[0].at"},
		{`at = { hosts = 100 }`, `at = { beds = 1 }`, "table[0].row[0].at"},
		{`at = { hosts = 100 }`, `at = { hosts = 1, beds = 1 }`, "beds is not in per"},
		{`per = ["hosts"]`, `per = ["hosts*hosts", "hosts"]`, "table[0].row[0].per: hosts*hosts needs hosts before"},
		{`per = ["hosts"]`, `per = []`, "table[0].row[0].per"},
		{`limit = 150`, `upto = { beds = 1 }`, "table[0].row[0].upto: beds is not in per"},
		{`cost = "cost"`, ``, "table[0].row[0].cost"},
		{`file = "a.jsonl"`, `file = "../a.jsonl"`, "table[0].row[0].file"},
		{`assumed = ["hosts"]`, `assumed = ["beds"]`, "table[0].row[0].assumed"},
		{plan, "", "table"},
		{plan, "[[table]]\nname = \"t\"\n", "table[0].row"},
		{plan, plan + plan, "table[1].name"},
	} {
		if _, err := ParsePlan("plan.toml", []byte(strings.Replace(plan, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.new, err, c.want)
		}
	}
}

// TestPageMatchesResults guards against a page whose tables differ from what the committed results give.
func TestPageMatchesResults(t *testing.T) {
	const docs = "../../../docs/"
	text, err := os.ReadFile(docs + "capacity/slopes.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := ParsePlan("slopes.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]Measurement{}
	for _, name := range p.Files() {
		text, err := os.ReadFile(filepath.Join(docs, "capacity", name))
		if err != nil {
			t.Fatal(err)
		}
		if files[name], err = ParseMeasurements(name, text); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(docs + "CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := p.Fill(string(page), files)
	if err != nil {
		t.Fatal(err)
	}
	if want != string(page) {
		t.Error("docs/CAPACITY.md is not what docs/capacity has: run pinelab slopes page")
	}
}

// TestParseScaleMeasurements guards against lines of the command scale, which don't name their command and have booleans,
// being read differently from those of the command slopes.
func TestParseScaleMeasurements(t *testing.T) {
	const scaled = `{"scenario":"rest","paced":false,"sidecars":100,"hosts":12,"changes_per_s":0,"calls_per_s":100,"in_force_last_ms":0}
{"scenario":"rest","paced":true,"sidecars":100,"hosts":12,"changes_per_s":0,"calls_per_s":8,"in_force_last_ms":0}
{"scenario":"rest","paced":false,"sidecars":200,"hosts":12,"changes_per_s":0,"calls_per_s":200,"in_force_last_ms":0}
{"scenario":"rest","paced":false,"sidecars":400,"hosts":12,"changes_per_s":0,"calls_per_s":400,"in_force_last_ms":0}
`
	f, err := Model{Filter: map[string]string{"scenario": "rest", "paced": "false", "hosts": "12"}, Cost: "calls_per_s", Predictors: []string{"sidecars"}}.Fit(parse(t, scaled))
	if err != nil {
		t.Fatal(err)
	}
	if predicted, extrapolation := f.Predict(map[string]float64{"sidecars": 1700}); predicted < 1699.9 || predicted > 1700.1 || extrapolation != 4.25 || f.Measurements != 3 {
		t.Errorf("%v, extrapolated by %v: %+v", predicted, extrapolation, f)
	}
}
