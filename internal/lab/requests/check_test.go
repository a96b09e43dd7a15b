package requests

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	secondOfPlay = time.Second
	heldKey      = "key-t0-0"
	otherKey     = "key-t1-0"
)

// requestAt is a request with a key that is sent at a second of the play.
func requestAt(second int, id, key string, status int) *Request {
	sent := time.Duration(second) * secondOfPlay
	return &Request{ID: id, Key: key, Sent: sent, Ended: sent + secondOfPlay/2, Status: status, Complete: true}
}

func runAt(second int, id, tenant string) *Run {
	return &Run{ID: id, Tenant: tenant, At: time.Duration(second) * secondOfPlay, Status: http.StatusOK, Signature: id + "/e/1"}
}

func changeAt(second int, keys ...string) *Change {
	at := time.Duration(second) * secondOfPlay
	return &Change{Submitted: at, Acknowledged: at + secondOfPlay/10, Keys: keys}
}

func answered(request *Request, signature string) *Request {
	request.Signature, request.Body = signature, answerBody(signature)
	return request
}

func idempotent(request *Request) *Request {
	request.Idempotent = true
	return request
}

// checkTests are histories with the rules that they break, in their order.
var checkTests = []struct {
	name    string
	history History
	rules   []string
}{
	{"a request is answered", History{Requests: []*Request{answered(requestAt(1, "a", heldKey, 200), "a/e/1")}, Runs: []*Run{runAt(1, "a", "t0")}}, nil},
	{"a request that ran is refused", History{Requests: []*Request{requestAt(1, "a", heldKey, 503)}, Runs: []*Run{runAt(1, "a", "t0")}}, []string{ruleRefused}},
	{"a request that is refused runs later", History{Requests: []*Request{requestAt(1, "a", heldKey, 429)}, Runs: []*Run{runAt(9, "a", "t0")}}, []string{ruleRefused}},
	{"an idempotent request that ran is refused", History{Requests: []*Request{idempotent(requestAt(1, "a", heldKey, 503))}, Runs: []*Run{runAt(1, "a", "t0")}}, nil},
	{"a request that ran fails", History{Requests: []*Request{requestAt(1, "a", heldKey, 502)}, Runs: []*Run{runAt(1, "a", "t0")}}, nil},
	{"a request runs twice", History{Requests: []*Request{requestAt(1, "a", heldKey, 0)}, Runs: []*Run{runAt(1, "a", "t0"), runAt(1, "a", "t0")}}, []string{ruleTwice}},
	{"an idempotent request runs twice", History{Requests: []*Request{idempotent(requestAt(1, "a", heldKey, 0))}, Runs: []*Run{runAt(1, "a", "t0"), runAt(1, "a", "t0")}}, nil},
	{"a success has no signature", History{Requests: []*Request{requestAt(1, "a", heldKey, 200)}, Runs: []*Run{runAt(1, "a", "t0")}}, []string{ruleMixed}},
	{"an answer belongs to another request", History{Requests: []*Request{answered(requestAt(1, "a", heldKey, 200), "b/e/1")}, Runs: []*Run{runAt(1, "a", "t0")}}, []string{ruleMixed}},
	{"an answer is cut off and looks whole", History{
		Requests: []*Request{{ID: "a", Key: heldKey, Status: 200, Signature: "a/e/1", Body: "a/", Complete: true}}, Runs: []*Run{runAt(0, "a", "t0")},
	}, []string{ruleMixed}},
	{"a request runs for another tenant", History{Requests: []*Request{requestAt(1, "a", heldKey, 0)}, Runs: []*Run{runAt(1, "a", "t1")}}, []string{ruleUnasked}},
	{"a request runs with a key that nobody held", History{Requests: []*Request{requestAt(1, "a", unknownKey, 0)}, Runs: []*Run{runAt(1, "a", "nobody")}}, []string{ruleRoute}},
	{"a request runs without a key", History{Requests: []*Request{requestAt(1, "a", "", 0)}, Runs: []*Run{runAt(1, "a", "")}}, []string{ruleRoute}},
	{"a request runs within the bound of a revocation", History{
		Requests: []*Request{requestAt(7, "a", heldKey, 0)}, Runs: []*Run{runAt(7, "a", "t0")}, Changes: []*Change{changeAt(5, otherKey)},
	}, nil},
	{"a request runs beyond the bound of a revocation", History{
		Requests: []*Request{requestAt(9, "a", heldKey, 0)}, Runs: []*Run{runAt(9, "a", "t0")}, Changes: []*Change{changeAt(5, otherKey)},
	}, []string{ruleConfig}},
	{"a request runs after its key came back", History{
		Requests: []*Request{requestAt(9, "a", heldKey, 0)}, Runs: []*Run{runAt(9, "a", "t0")}, Changes: []*Change{changeAt(5), changeAt(8, heldKey)},
	}, nil},
	{"a request runs although all keys are gone", History{
		Requests: []*Request{requestAt(19, "a", heldKey, 0)}, Runs: []*Run{runAt(19, "a", "t0")}, Changes: []*Change{changeAt(5, otherKey), changeAt(8)},
	}, []string{ruleConfig}},
	{"a change is refused", History{Changes: []*Change{{Refused: 412}}}, []string{ruleConfig}},
	{"an endpoint received other bytes", History{Faults: []string{"x"}}, []string{ruleUnasked}},
}

// TestCheck guards against a judge that finds nothing, or finds fault with what the rules allow.
func TestCheck(t *testing.T) {
	for _, c := range checkTests {
		history := c.history
		history.Changes = append([]*Change{changeAt(0, heldKey, otherKey)}, history.Changes...)
		var rules []string
		for _, v := range Check(&history) {
			rules = append(rules, v.Rule)
		}
		if !slices.Equal(rules, c.rules) {
			t.Errorf("%s: the rules %v are broken, want %v", c.name, rules, c.rules)
		}
	}
}

// TestCheckWrongDenials guards against denials of held keys that are not counted, and against denials of others that are.
func TestCheckWrongDenials(t *testing.T) {
	for _, c := range []struct {
		name   string
		second int
		key    string
		wrong  bool
	}{
		{"a key that is held", 4, heldKey, true},
		{"a key that was given out just now", 1, heldKey, false},
		{"a key that is taken away meanwhile", 10, heldKey, false},
		{"an unknown key", 4, unknownKey, false},
	} {
		history := &History{Changes: []*Change{changeAt(0, heldKey), changeAt(10)}}
		for range allowedDenials + 1 {
			history.Requests = append(history.Requests, requestAt(c.second, "a", c.key, http.StatusUnauthorized))
		}
		if violations := Check(history); len(violations) > 0 != c.wrong {
			t.Errorf("%s: %v", c.name, violations)
		}
	}
}
