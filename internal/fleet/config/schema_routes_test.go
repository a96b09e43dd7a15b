package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fieldTexts holds valid and invalid JSON values for each field of a route.
var fieldTexts = map[string][]string{
	"name":            {`"a"`, `""`, `null`, `5`, `"\u0061"`, `"\ud800"`},
	"host":            {`"h"`, `""`, `null`, `[]`},
	"pathPrefix":      {`"/a/"`, `"/"`, `"a/"`, `""`, `null`, `"\u002fa"`},
	"type":            {`"safe"`, `"unsafe"`, `"streaming"`, `"often"`, `"Safe"`, `null`},
	"timeoutMs":       {`1`, `0.5`, `0`, `-1`, `1e400`, `"1"`, `null`},
	"targetLatencyMs": {`0`, `400`, `-1`, `null`},
	"priority":        {`0`, `-3`, `1.5`, `1e2`, `99999999999999999999`, `null`},
	"service":         {`"s"`, `""`, `null`},
	"backends": {`[]`, `[{"service":"s","weight":1}]`, `[{"service":"s","weight":-1}]`, `[{"service":"s"}]`, `[{"weight":1}]`,
		`[{"service":"","weight":1}]`, `[{"service":"s","weight":null}]`, `[5]`, `{}`, `null`},
	"maxAttempts": {`0`, `2`, `-1`, `1.0`, `null`},
	"unknown":     {`null`, `{"x":1}`},
	"Name":        {`""`, `5`},
}

// validRoute holds a valid value of each field that the schema requires.
var validRoute = map[string]string{"name": `"a"`, "host": `"h"`, "pathPrefix": `"/a/"`, "type": `"safe"`, "timeoutMs": `1`}

// drawRoute draws a valid route in which some fields are then replaced, removed or added.
func drawRoute(t *rapid.T) string {
	fields := map[string]string{}
	for name, text := range validRoute {
		fields[name] = text
	}
	names := make([]string, 0, len(fieldTexts))
	for name := range fieldTexts {
		names = append(names, name)
	}
	slices.Sort(names)
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		name := rapid.SampledFrom(names).Draw(t, "field")
		if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
			delete(fields, name)
			continue
		}
		fields[name] = rapid.SampledFrom(fieldTexts[name]).Draw(t, "value")
	}
	text := "{"
	for _, name := range names {
		if value, present := fields[name]; present {
			text += fmt.Sprintf("%q:%s,", name, value)
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "duplicate") == 0 {
		text += `"host":7,`
	}
	return text + `"last":1}`
}

// Guards against a route that is accepted without the schema although the schema rejects it. The opposite is allowed, since the
// route is then checked against the schema.
func TestPlainRoutesSatisfyTheSchema(t *testing.T) {
	var checker schemaChecker
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		text := drawRoute(t)
		if !isValidPlainRoute(rawJSON(text)) {
			return
		}
		accepted++
		if err := checker.check(itemDefinitions[fieldRoutes], "route", rawJSON(text)); err != nil {
			t.Fatalf("accepted a route that the schema rejects with %v: %s", err, text)
		}
	})
	Convey("Plain routes are recognised", t, func() {
		So(accepted, ShouldBeGreaterThan, 0)
		So(isValidPlainRoute(rawJSON(`{"name":"a","host":"h","pathPrefix":"/a/","type":"streaming","timeoutMs":15000,"targetLatencyMs":800,
			"priority":1,"backends":[{"service":"a","weight":90}],"maxAttempts":1,"public":false,"gap_aim_ms":250}`)), ShouldBeTrue)
	})
}

// drawItem returns an item with fields of a service or tenant, whose values may be of any kind.
func drawItem(t *rapid.T) string {
	values := []string{`"a"`, `""`, `0`, `7`, `-1`, `1.5`, `1e3`, `null`, `true`, `[]`, `["k"]`, `[1]`, `{}`, `"null"`, `9223372036854775808`}
	var fields []string
	if rapid.IntRange(0, 9).Draw(t, "valid name") > 0 {
		fields = append(fields, `"name":"a"`)
	}
	if rapid.IntRange(0, 9).Draw(t, "any name") == 0 {
		fields = append(fields, `"name":`+rapid.SampledFrom(values).Draw(t, "name"))
	}
	for _, name := range []string{"healthCheckPath", "maxConnections", "apiKeys", "ratePerS", "burst", "Name", "other"} {
		if rapid.Bool().Draw(t, "has "+name) {
			fields = append(fields, fmt.Sprintf("%q:%s", name, rapid.SampledFrom(values).Draw(t, name)))
		}
	}
	return "{" + strings.Join(fields, ",") + "}"
}

// Guards against a service or tenant that is accepted without the schema although the schema rejects it.
func TestPlainServicesAndTenantsSatisfyTheSchema(t *testing.T) {
	var checker schemaChecker
	accepted := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		text := rawJSON(drawItem(t))
		for _, field := range []string{fieldServices, fieldTenants} {
			if !isPlainlyValid(field, text) {
				continue
			}
			accepted[field]++
			if err := checker.check(itemDefinitions[field], field, text); err != nil {
				t.Fatalf("accepted an item of %s that the schema rejects with %v: %s", field, err, text)
			}
		}
	})
	Convey("Plain services and tenants are recognised, as the operators' pages have them, larger ones than the schema looks at too, and other large items are refused", t, func() {
		So(accepted[fieldServices], ShouldBeGreaterThan, 0)
		So(accepted[fieldTenants], ShouldBeGreaterThan, 0)
		So(isPlainlyValid(fieldServices, rawJSON(`{"name":"s","healthCheckPath":"/health","maxConnections":130,"protocol":"h1","tls":false}`)), ShouldBeTrue)
		So(isPlainlyValid(fieldTenants, rawJSON(`{"name":"t","apiKeys":["k"],"priority":1,"ratePerS":2.5,"burst":7}`)), ShouldBeTrue)
		keys := strings.Repeat(`"k",`, maxSchemaItemBytes/4) + `"k"`
		So(isPlainlyValid(fieldTenants, rawJSON(`{"name":"t","apiKeys":[`+keys+`]}`)), ShouldBeTrue)
		So(checker.check("#Tenant", "tenants t", rawJSON(`{"name":"t","apiKeys":[`+keys+`,null]}`)), ShouldNotBeNil)
	})
}

// Guards against JSON that is decoded differently than by earlier builds, which used encoding/json: stored configurations would
// change their meaning.
func TestJSONIsReadAsByEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawRoute(t)
		var decoded, reference Route
		err, referenceErr := decodeJSON([]byte(text), &decoded), json.Unmarshal([]byte(text), &reference)
		if (err == nil) != (referenceErr == nil) {
			t.Fatalf("error %v, with encoding/json %v: %s", err, referenceErr, text)
		}
		if err == nil && fmt.Sprintf("%+v", decoded) != fmt.Sprintf("%+v", reference) {
			t.Fatalf("decoded as %+v, with encoding/json as %+v: %s", decoded, reference, text)
		}
	})
}
