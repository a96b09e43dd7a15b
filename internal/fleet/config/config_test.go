package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const validDocument = `{"version":7,
	"routes":[{"name":"a","host":"h.example","pathPrefix":"/a/","type":"streaming","timeoutMs":3000,"targetLatencyMs":400,
		"service":"llm","maxAttempts":2,"streamResume":true,"unknown":{"x":1.50}},
		{"name":"ab","host":"h.example","pathPrefix":"/a/b/","type":"unsafe","timeoutMs":600,
		"backends":[{"service":"llm","weight":90},{"service":"desk","weight":10}]}],
	"services":[{"name":"llm","maxConnections":5},{"name":"desk"}],
	"limits":{"maxBodyBytes":100},
	"tenants":[{"name":"t","apiKeys":["k1","k2"],"ratePerS":5,"burst":5,"unit":"token_count","plainTokens":200}]}`

// mustParse parses a document, and fails the test if it is invalid.
func mustParse(text string) *Document {
	d, err := ParseDocument([]byte(text))
	So(err, ShouldBeNil)
	return d
}

// equalJSON reports whether two JSON texts decode to equal values.
func equalJSON(a, b []byte) bool {
	var x, y any
	So(json.Unmarshal(a, &x), ShouldBeNil)
	So(json.Unmarshal(b, &y), ShouldBeNil)
	left, _ := json.Marshal(x)
	right, _ := json.Marshal(y)
	return string(left) == string(right)
}

func TestDocumentRoundTripAndPatch(t *testing.T) {
	Convey("A configuration", t, func() {
		d := mustParse(validDocument)
		So(d.Version(), ShouldEqual, 7)
		Convey("is encoded as it was sent, including unknown fields", func() {
			So(equalJSON(d.Encode(), []byte(validDocument)), ShouldBeTrue)
			So(string(d.Encode()), ShouldContainSubstring, "1.50")
		})
		Convey("is patched by item names, and the previous document is unchanged", func() {
			patch, err := ParsePatch([]byte(`{"version":9,"upsert":{"services":[{"name":"new"},{"name":"llm","maxConnections":6}]},
				"remove":{"routes":["ab"]}}`))
			So(err, ShouldBeNil)
			next, err := d.Apply(patch)
			So(err, ShouldBeNil)
			So(next.Version(), ShouldEqual, 9)
			So(next.lists[fieldServices].names, ShouldResemble, []string{"llm", "desk", "new"})
			So(next.lists[fieldRoutes].names, ShouldResemble, []string{"a"})
			So(equalJSON(d.Encode(), []byte(validDocument)), ShouldBeTrue)
		})
	})
}

func TestInvalidConfigurationsNameTheItem(t *testing.T) {
	route := `{"name":"x","host":"h","pathPrefix":"/x/","type":"safe","timeoutMs":5,"service":"s"}`
	documentOf := func(routes, services, tenants string) string {
		return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"tenants":[%s]}`, routes, services, tenants)
	}
	service := `{"name":"s"}`
	Convey("An invalid configuration is an InvalidError that names the item", t, func() {
		for _, c := range []struct{ text, expected string }{
			{validDocument[:len(validDocument)/2], "configuration"},
			{`{"routes":[]}`, "version"},
			{`{"version":1,"routes":5}`, "routes"},
			{documentOf(route+","+route, service, ""), "routes x"},
			{documentOf(route, "", ""), "unknown service s"},
			{documentOf(route+","+strings.Replace(route, `"x"`, `"y"`, 1), service, ""), "host and prefix"},
			{documentOf(strings.Replace(route, `"timeoutMs":5`, `"timeoutMs":0`, 1), service, ""), "timeoutMs"},
			{documentOf(strings.Replace(route, `"service":"s"`, `"backends":[{"service":"s","weight":0}]`, 1), service, ""), "sum to 0"},
			{documentOf(route, service, `{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}`), "shares a key"},
			{documentOf(strings.Replace(route, `"safe"`, `"often"`, 1), service, ""), "routes x"},
			{documentOf(strings.Replace(route, `"/x/"`, `"x"`, 1), service, ""), "routes x"},
		} {
			err := validate(c.text)
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, c.expected)
		}
		So(validate(documentOf(route, service, "")), ShouldBeNil)
		So(validate(validDocument), ShouldBeNil)
	})
}

// validate parses and validates a configuration.
func validate(text string) error {
	d, err := ParseDocument([]byte(text))
	if err != nil {
		return err
	}
	if _, err := NewTable(d, nil); err != nil {
		return err
	}
	return CheckSchema(d, EmptyDocument())
}

// Guards against shares of requests that differ from the weights, whatever the weights sum to.
func TestPickServiceFollowsWeights(t *testing.T) {
	const draws = 10000
	for _, weights := range [][]float64{{90, 10}, {1, 1, 1}, {0, 5, 0.5}, {0.25, 0.75}, {0, 7}, {3, 0}} {
		route, sum := &Route{}, 0.0
		for i, weight := range weights {
			route.Backends = append(route.Backends, Backend{Service: fmt.Sprint("s", i), Weight: weight})
			sum += weight
		}
		got := map[string]float64{}
		for i := range draws {
			got[route.PickService((float64(i)+0.5)/draws)]++
		}
		for i, weight := range weights {
			if share, expected := got[fmt.Sprint("s", i)]/draws, weight/sum; math.Abs(share-expected) > 1.0/draws {
				t.Errorf("weights %v: backend %d got a share of %v, want %v", weights, i, share, expected)
			}
		}
	}
}

func TestTableLookup(t *testing.T) {
	Convey("Requests are matched by host, longest prefix and API key", t, func() {
		table, err := NewTable(mustParse(validDocument), nil)
		So(err, ShouldBeNil)
		So(table.Route("h.example", "/a/b/c").Name, ShouldEqual, "ab")
		So(table.Route("h.example", "/a/bc").Name, ShouldEqual, "a")
		So(table.Route("h.example", "/b/"), ShouldBeNil)
		So(table.Route("other", "/a/"), ShouldBeNil)
		tenant, ok := table.Authorize(table.Route("h.example", "/a/"), "k2")
		So(ok, ShouldBeTrue)
		So(tenant.Name, ShouldEqual, "t")
		_, ok = table.Authorize(table.Route("h.example", "/a/"), "k3")
		So(ok, ShouldBeFalse)
		So(table.Route("h.example", "/a/").Idempotent(), ShouldBeTrue)
		So(table.Route("h.example", "/a/b/").Idempotent(), ShouldBeFalse)
		So(table.Route("h.example", "/a/b/").PickService(0.95), ShouldEqual, "desk")
		So(table.Route("h.example", "/a/b/").PickService(0.5), ShouldEqual, "llm")
	})
	Convey("A new table shares unchanged items with the previous one", t, func() {
		previous, err := NewTable(mustParse(validDocument), nil)
		So(err, ShouldBeNil)
		patch, err := ParsePatch([]byte(`{"version":8,"remove":{"routes":["ab"]}}`))
		So(err, ShouldBeNil)
		next, err := previous.Document.Apply(patch)
		So(err, ShouldBeNil)
		table, err := NewTable(next, previous)
		So(err, ShouldBeNil)
		So(table.Route("h.example", "/a/"), ShouldEqual, previous.Route("h.example", "/a/"))
		So(table.Route("h.example", "/a/b/").Name, ShouldEqual, "a")
	})
}

func TestStateRecognisesAppliedChanges(t *testing.T) {
	Convey("A state recognises applied changes, also after encoding and decoding", t, func() {
		first := &Change{Replace: true, Base: 0, Body: []byte(validDocument)}
		second := &Change{Base: 7, Body: []byte(`{"version":9,"remove":{"routes":["ab"]}}`)}
		state, err := EmptyState().Apply(first)
		So(err, ShouldBeNil)
		state, err = state.Apply(second)
		So(err, ShouldBeNil)
		text, err := state.Encode()
		So(err, ShouldBeNil)
		decoded, err := DecodeState(text)
		So(err, ShouldBeNil)
		So(decoded.HasApplied(first.Digest()), ShouldBeTrue)
		So(decoded.HasApplied(second.Digest()), ShouldBeTrue)
		So(decoded.HasApplied((&Change{Base: 9, Body: second.Body}).Digest()), ShouldBeFalse)
		So(decoded.Document.Version(), ShouldEqual, 9)
		So(equalJSON(decoded.Document.Encode(), state.Document.Encode()), ShouldBeTrue)
	})
	Convey("The number of recorded changes is bounded", t, func() {
		state := EmptyState()
		for version := 1; version <= maxAppliedChanges+10; version++ {
			next, err := state.Apply(&Change{Base: int64(version - 1), Body: fmt.Appendf(nil, `{"version":%d}`, version)})
			So(err, ShouldBeNil)
			state = next
		}
		So(len(state.applied), ShouldEqual, maxAppliedChanges)
	})
}

// Guards against changes of the replicated form: routers of earlier builds read it, and logs on disk hold it. The expected bytes
// are those that commit b772427 wrote, and the key policy, a field that it ignores.
func TestReplicatedFormIsStable(t *testing.T) {
	Convey("Changes and states are encoded as by earlier releases", t, func() {
		first := &Change{Replace: true, Body: []byte(`{"version":7,"limits":{"x":1},"services":[{"name":"a"}],"b":[1]}`)}
		second := &Change{Base: 7, Body: []byte(`{"version":9,"upsert":{"services":[{"name":"b"}]},"remove":{"services":["a"]}}`)}
		state, err := EmptyState().Apply(first)
		So(err, ShouldBeNil)
		state, err = state.Apply(second)
		So(err, ShouldBeNil)
		encodedState, err := state.Encode()
		So(err, ShouldBeNil)
		encodedChange, err := second.Encode()
		So(err, ShouldBeNil)
		digests := fmt.Sprintf("%x%x", first.Digest(), second.Digest())
		So(digests, ShouldEqual, "a82b245b947a061022ae26c9c7b3fe953adfb55913d82ce462898bd6d5774fef")
		document := `{"version":9,"b":[1],"limits":{"x":1},"services":[{"name":"b"}]}`
		So(fmt.Sprintf("%x", encodedState), ShouldEqual, fmt.Sprintf("a3015840%x025820%s0302", document, digests))
		So(fmt.Sprintf("%x", encodedChange), ShouldEqual, fmt.Sprintf("a301f4020703584e%x", second.Body))
	})
}

// FuzzDocument looks for documents that change when they are encoded and parsed again.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"version":1,"routes":[{"name":"é","x":[1,2]}],"list":[1],"other":[{"name":"n"},{"name":"n"}]}`))
	f.Add([]byte(`{"version":1e3}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := ParseDocument(text)
		if err != nil {
			return
		}
		reparsed, err := ParseDocument(d.Encode())
		if err != nil {
			t.Fatalf("can't parse the encoded document %q: %v", d.Encode(), err)
		}
		if string(reparsed.Encode()) != string(d.Encode()) {
			t.Fatalf("the document %q is encoded as %q after parsing", d.Encode(), reparsed.Encode())
		}
	})
}
