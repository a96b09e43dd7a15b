package scenario

import (
	"fmt"
	"regexp"
	"strings"
)

// Protocols are those between clients, sidecars and endpoints: HTTP/1.1, and Apache Thrift's binary and compact
// encodings, framed or not.
var Protocols = []string{"http", "thrift-framed-binary", "thrift-framed-compact", "thrift-binary", "thrift-compact"}

// How sidecars read Thrift calls: field ids of the arguments, and the type of an endpoint's exception.
const (
	ThriftTransactionIDField = 1   // of the transaction id
	ThriftKeyField           = 2   // of the idempotency key, in keyed classes
	ThriftRemainingField     = 3   // of the time until the deadline, ms
	ThriftRejectedType       = 200 // the call was rejected before it ran
)

// thriftMaxMessage bounds a message: bodies and responses have 64 KiB at most.
const thriftMaxMessage = "80KiB"

// methodName is an identifier of Thrift's interface language.
var methodName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// IsThrift reports whether the protocol is a form of Thrift.
func (f *Fleet) IsThrift() bool { return strings.HasPrefix(f.Protocol, "thrift-") }

// ThriftMethod returns the name of the class's Thrift method: the class's own, with "_" for "-".
func (c *Class) ThriftMethod() string { return strings.ReplaceAll(c.Name, "-", "_") }

// OperatorFile returns the operator's file of a sidecar that sends to a service: the fleet's text, then the section
// [budget] if the sidecar has budgets, then the section [thrift] if that is the protocol. The sidecar listens for Thrift
// at listen, host:port. "" is no file.
func (s *Scenario) OperatorFile(listen, service string, hasBudget bool) string {
	var out strings.Builder
	out.WriteString(s.Fleet.OperatorConfig)
	if b := s.Fleet.Budget; b != nil && hasBudget {
		tier := s.TierIndex(service)
		fmt.Fprintf(&out, "\n[budget]\nservice = %q\nattempts = %d\nreentry = %d\nleaf = %v\n",
			service, b.AttemptLimit, b.ReentryLimit, s.NextTierIndex(tier) < 0)
	}
	if !s.Fleet.IsThrift() {
		return out.String()
	}
	fmt.Fprintf(&out, "\n[thrift]\nlisten = %q\nturned_away = %d\nmost_message = %q\n", listen,
		ThriftRejectedType, thriftMaxMessage)
	for i := range s.Classes {
		c := &s.Classes[i]
		fmt.Fprintf(&out, "\n[[thrift.method]]\nname = %q\nclass = %q\nid = [%d]\nremaining_ms = [%d]\n",
			c.ThriftMethod(), c.Name, ThriftTransactionIDField, ThriftRemainingField)
		if c.Idempotency == "keyed" {
			fmt.Fprintf(&out, "key = [%d]\n", ThriftKeyField)
		}
	}
	return out.String()
}
