package requests

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Rules of the operators' pages.
const (
	ruleMixed   = "MIXED"
	ruleUnasked = "UNASKED"
	ruleTwice   = "TWICE"
	ruleRefused = "REFUSED"
	ruleDenied  = "DENIED"
	ruleConfig  = "CONFIG"
	ruleRoute   = "ROUTE"
	ruleLost    = "LOST"
	ruleRecover = "RECOVER"
)

// Violation is a broken rule.
type Violation struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

func (v Violation) String() string { return v.Rule + ": " + v.Text }

// The time bounds that a fleet is played with, as its settings have them.
const (
	revokeBound = 3 * time.Second
	applyBound  = 2 * time.Second
)

// Wrong denials that the rule allows.
const (
	allowedDenials     = 5
	allowedDenialShare = 500 // one request of so many
)

// isRefusal reports whether a status promises that the request has not run and will not.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checker judges a history.
type checker struct {
	history    *History
	runs       map[string][]*Run // by request
	violations []Violation
	denials    []string // wrong ones
}

// Check returns the broken rules of a history.
func Check(history *History) []Violation {
	c := &checker{history: history, runs: map[string][]*Run{}}
	for _, run := range history.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	for _, request := range history.Requests {
		c.checkRuns(request)
		c.checkKey(request)
		c.checkResponse(request)
	}
	for _, text := range history.Faults {
		c.report(ruleUnasked, "%s", text)
	}
	for _, change := range history.Changes {
		if change.Refused != 0 {
			c.report(ruleConfig, "the change %d (%s), the only one on its version, got %d", change.Version, change.Name, change.Refused)
		}
	}
	if len(c.denials) > allowedDenials+len(history.Requests)/allowedDenialShare {
		c.report(ruleDenied, "%d requests with a key that was held all the while got 401, the first: %s", len(c.denials), c.denials[0])
	}
	return c.violations
}

func (c *checker) report(rule, format string, values ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, values...)})
}

// checkRuns judges how often a request ran, and what its client was promised.
func (c *checker) checkRuns(request *Request) {
	runs := c.runs[request.ID]
	if request.Idempotent || len(runs) == 0 {
		return
	}
	if len(runs) > 1 {
		c.report(ruleTwice, "%s ran %d times: %s at %s, %s at %s", request.ID, len(runs), runs[0].Behavior, runs[0].Endpoint, runs[1].Behavior, runs[1].Endpoint)
	}
	if isRefusal(request.Status) {
		c.report(ruleRefused, "%s got %d at %.3f s and ran at %.3f s (%s)", request.ID, request.Status, request.Ended.Seconds(), runs[0].At.Seconds(), runs[0].Behavior)
	}
}

// checkKey judges whether a request's key allowed it to run, or to be denied.
func (c *checker) checkKey(request *Request) {
	for _, run := range c.runs[request.ID] {
		if run.Tenant != tenantOf(request.Key) {
			c.report(ruleUnasked, "%s with the key %q ran for the tenant %q", request.ID, request.Key, run.Tenant)
		}
		switch {
		case !c.wasEverHeld(request.Key):
			c.report(ruleRoute, "%s ran with the key %q, which no configuration held", request.ID, request.Key)
		case !c.mayBeHeld(request.Key, max(request.Sent, request.BodySent), run.At):
			c.report(ruleConfig, "%s was sent from %.3f s on, its body until %.3f s, ran at %.3f s, and its key %q was taken away long before", request.ID,
				request.Sent.Seconds(), request.BodySent.Seconds(), run.At.Seconds(), request.Key)
		}
	}
	if request.Status == http.StatusUnauthorized && c.isHeldThroughout(request.Key, request.Sent, request.Ended) {
		c.denials = append(c.denials, fmt.Sprintf("%s at %.3f s by %s", request.ID, request.Sent.Seconds(), request.Router))
	}
}

func (c *checker) wasEverHeld(key string) bool {
	return slices.ContainsFunc(c.history.Changes, func(change *Change) bool { return slices.Contains(change.Keys, key) })
}

// mayBeHeld reports whether a router may accept a key for a request that was sent and ran at these times: a configuration with it was submitted
// before it ran, and none without it was acknowledged more than revokeBound before it was sent, unless another one with it was submitted since.
func (c *checker) mayBeHeld(key string, sent, ran time.Duration) bool {
	held := false
	for _, change := range c.history.Changes { // in their order: each is submitted once the one before is acknowledged
		switch {
		case slices.Contains(change.Keys, key):
			held = held || change.Submitted <= ran
		case change.Acknowledged > 0 && change.Acknowledged+revokeBound < sent:
			held = false
		}
	}
	return held
}

// isHeldThroughout reports whether every configuration that may have been in force in a span holds a key.
func (c *checker) isHeldThroughout(key string, from, until time.Duration) bool {
	held := false
	for _, change := range c.history.Changes {
		switch {
		case !slices.Contains(change.Keys, key):
			if change.Submitted <= until {
				held = false
			}
		case change.Acknowledged > 0 && change.Acknowledged+applyBound < from:
			held = true
		}
	}
	return held
}

// checkResponse judges a response that looks complete.
func (c *checker) checkResponse(request *Request) {
	success := request.Status >= 200 && request.Status < 300
	if request.Status == 0 || !request.Complete || request.Signature == "" && !success {
		return
	}
	if request.Signature == "" {
		c.report(ruleMixed, "%s got %d without a signature", request.ID, request.Status)
		return
	}
	i := slices.IndexFunc(c.runs[request.ID], func(run *Run) bool { return run.Signature == request.Signature })
	if i < 0 {
		c.report(ruleMixed, "%s got the answer %s, which belongs to another request", request.ID, request.Signature)
		return
	}
	if run := c.runs[request.ID][i]; run.Status != request.Status || request.Body != answerBody(run.Signature) {
		c.report(ruleMixed, "%s got %d with %d bytes for the answer %s, which was sent with %d", request.ID, request.Status, len(request.Body), run.Signature, run.Status)
	}
}
