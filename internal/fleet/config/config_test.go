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

const whole = `{"version":7,
	"routes":[{"name":"a","host":"h.example","pathPrefix":"/a/","type":"streaming","timeoutMs":3000,"targetLatencyMs":400,
		"service":"llm","maxAttempts":2,"streamResume":true,"unknown":{"x":1.50}},
		{"name":"ab","host":"h.example","pathPrefix":"/a/b/","type":"unsafe","timeoutMs":600,
		"backends":[{"service":"llm","weight":90},{"service":"desk","weight":10}]}],
	"services":[{"name":"llm","maxConnections":5},{"name":"desk"}],
	"limits":{"maxBodyBytes":100},
	"tenants":[{"name":"t","apiKeys":["k1","k2"],"ratePerS":5,"burst":5,"unit":"token_count","plainTokens":200}]}`

func document(text string) *Document {
	d, err := ParseDocument([]byte(text))
	So(err, ShouldBeNil)
	return d
}

func same(a, b []byte) bool {
	var x, y any
	So(json.Unmarshal(a, &x), ShouldBeNil)
	So(json.Unmarshal(b, &y), ShouldBeNil)
	left, _ := json.Marshal(x)
	right, _ := json.Marshal(y)
	return string(left) == string(right)
}

func TestDocumentRoundTripAndPatch(t *testing.T) {
	Convey("A configuration", t, func() {
		d := document(whole)
		So(d.Version(), ShouldEqual, 7)
		Convey("is given back as it was sent, with fields that are not known", func() {
			So(same(d.Encode(), []byte(whole)), ShouldBeTrue)
			So(string(d.Encode()), ShouldContainSubstring, "1.50")
		})
		Convey("is changed by name, and the former one stays", func() {
			patch, err := ParsePatch([]byte(`{"version":9,"upsert":{"services":[{"name":"new"},{"name":"llm","maxConnections":6}]},
				"remove":{"routes":["ab"]}}`))
			So(err, ShouldBeNil)
			next, err := d.Apply(patch)
			So(err, ShouldBeNil)
			So(next.Version(), ShouldEqual, 9)
			So(next.lists[fieldServices].names, ShouldResemble, []string{"llm", "desk", "new"})
			So(next.lists[fieldRoutes].names, ShouldResemble, []string{"a"})
			So(same(d.Encode(), []byte(whole)), ShouldBeTrue)
		})
	})
}

func TestInvalidConfigurationsNameTheItem(t *testing.T) {
	route := `{"name":"x","host":"h","pathPrefix":"/x/","type":"safe","timeoutMs":5,"service":"s"}`
	build := func(routes, services, tenants string) string {
		return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"tenants":[%s]}`, routes, services, tenants)
	}
	service := `{"name":"s"}`
	Convey("Configurations that are invalid name the item at fault", t, func() {
		for _, c := range []struct{ text, names string }{
			{whole[:len(whole)/2], "configuration"},
			{`{"routes":[]}`, "version"},
			{`{"version":1,"routes":5}`, "routes"},
			{build(route+","+route, service, ""), "routes x"},
			{build(route, "", ""), "unknown service s"},
			{build(route+","+strings.Replace(route, `"x"`, `"y"`, 1), service, ""), "host and prefix"},
			{build(strings.Replace(route, `"timeoutMs":5`, `"timeoutMs":0`, 1), service, ""), "timeoutMs"},
			{build(strings.Replace(route, `"service":"s"`, `"backends":[{"service":"s","weight":0}]`, 1), service, ""), "sum to 0"},
			{build(route, service, `{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}`), "shares a key"},
			{build(strings.Replace(route, `"safe"`, `"often"`, 1), service, ""), "routes x"},
			{build(strings.Replace(route, `"/x/"`, `"x"`, 1), service, ""), "routes x"},
		} {
			err := check(c.text)
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, c.names)
		}
		So(check(build(route, service, "")), ShouldBeNil)
		So(check(whole), ShouldBeNil)
	})
}

func check(text string) error {
	d, err := ParseDocument([]byte(text))
	if err != nil {
		return err
	}
	if _, err := NewTable(d, nil); err != nil {
		return err
	}
	return CheckSchema(d, EmptyDocument())
}

// Guards against shares that are off their weights, whatever the weights add up to.
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
				t.Errorf("weights %v: part %d has a share of %v, not %v", weights, i, share, expected)
			}
		}
	}
}

func TestTableLookup(t *testing.T) {
	Convey("Requests are looked up", t, func() {
		table, err := NewTable(document(whole), nil)
		So(err, ShouldBeNil)
		So(table.Route("h.example", "/a/b/c").Name, ShouldEqual, "ab")
		So(table.Route("h.example", "/a/bc").Name, ShouldEqual, "a")
		So(table.Route("h.example", "/b/"), ShouldBeNil)
		So(table.Route("other", "/a/"), ShouldBeNil)
		So(table.TenantByKey("k2").Name, ShouldEqual, "t")
		So(table.TenantByKey("k3"), ShouldBeNil)
		So(table.Route("h.example", "/a/").Idempotent(), ShouldBeTrue)
		So(table.Route("h.example", "/a/b/").Idempotent(), ShouldBeFalse)
		So(table.Route("h.example", "/a/b/").PickService(0.95), ShouldEqual, "desk")
		So(table.Route("h.example", "/a/b/").PickService(0.5), ShouldEqual, "llm")
	})
	Convey("A changed table takes over what stayed", t, func() {
		former, err := NewTable(document(whole), nil)
		So(err, ShouldBeNil)
		patch, err := ParsePatch([]byte(`{"version":8,"remove":{"routes":["ab"]}}`))
		So(err, ShouldBeNil)
		next, err := former.Document.Apply(patch)
		So(err, ShouldBeNil)
		table, err := NewTable(next, former)
		So(err, ShouldBeNil)
		So(table.Route("h.example", "/a/"), ShouldEqual, former.Route("h.example", "/a/"))
		So(table.Route("h.example", "/a/b/").Name, ShouldEqual, "a")
	})
}

func TestStateRemembersAppliedChanges(t *testing.T) {
	Convey("A state knows the orders that made it, also after it was copied", t, func() {
		first := &Change{Replace: true, Base: 0, Body: []byte(whole)}
		second := &Change{Base: 7, Body: []byte(`{"version":9,"remove":{"routes":["ab"]}}`)}
		state, err := EmptyState().Apply(first)
		So(err, ShouldBeNil)
		state, err = state.Apply(second)
		So(err, ShouldBeNil)
		text, err := state.Encode()
		So(err, ShouldBeNil)
		copied, err := DecodeState(text)
		So(err, ShouldBeNil)
		So(copied.HasApplied(first.Digest()), ShouldBeTrue)
		So(copied.HasApplied(second.Digest()), ShouldBeTrue)
		So(copied.HasApplied((&Change{Base: 9, Body: second.Body}).Digest()), ShouldBeFalse)
		So(copied.Document.Version(), ShouldEqual, 9)
		So(same(copied.Document.Encode(), state.Document.Encode()), ShouldBeTrue)
	})
	Convey("The memory of orders is bounded", t, func() {
		state := EmptyState()
		for version := 1; version <= maxAppliedChanges+10; version++ {
			next, err := state.Apply(&Change{Base: int64(version - 1), Body: fmt.Appendf(nil, `{"version":%d}`, version)})
			So(err, ShouldBeNil)
			state = next
		}
		So(len(state.applied), ShouldEqual, maxAppliedChanges)
	})
}

// Looks for documents that change when they are read and written.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte(`{"version":1,"routes":[{"name":"é","x":[1,2]}],"list":[1],"other":[{"name":"n"},{"name":"n"}]}`))
	f.Add([]byte(`{"version":1e3}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := ParseDocument(text)
		if err != nil {
			return
		}
		again, err := ParseDocument(d.Encode())
		if err != nil {
			t.Fatalf("%q can't be read again: %v", d.Encode(), err)
		}
		if string(again.Encode()) != string(d.Encode()) {
			t.Fatalf("%q became %q", d.Encode(), again.Encode())
		}
	})
}
