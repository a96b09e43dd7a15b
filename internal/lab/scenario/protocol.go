package scenario

import (
	"fmt"
	"regexp"
	"strings"
)

// Protocols are what clients, sidecars and boxes may speak with each other: HTTP/1.1, and Thrift's binary and
// compact encodings, with each message in a frame or without.
var Protocols = []string{"http", "thrift-framed-binary", "thrift-framed-compact", "thrift-binary", "thrift-compact"}

// Measure sidecars are told of calls over Thrift: the fields of the arguments, and a box's exception.
const (
	ThriftTransactionIDField = 1   // field of the id
	ThriftKeyField           = 2   // of the key, in keyed classes
	ThriftRemainingField     = 3   // of the time that is left, ms
	ThriftRejectedType       = 200 // type of the exception that says that the call never ran
)

// thriftMaxMessage is of a message: bodies and answers have 64 KiB at most.
const thriftMaxMessage = "80KiB"

// methodName is an identifier of Thrift's interface language.
var methodName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// IsThrift tells whether the protocol is a form of Thrift.
func (f *Fleet) IsThrift() bool { return strings.HasPrefix(f.Protocol, "thrift-") }

// ThriftMethod is the name of the method of Thrift by which a class is called: its own, with "_" for "-".
func (c *Class) ThriftMethod() string { return strings.ReplaceAll(c.Name, "-", "_") }

// OperatorFile is the operator's file of a sidecar that sends to a service: the fleet's, and after it the section of
// budgets, if the sidecar keeps any, and the one that tells it of the calls where the protocol is Thrift and it is to
// listen at an address, host:port. "" is none.
func (s *Scenario) OperatorFile(listen, service string, accounts bool) string {
	var out strings.Builder
	out.WriteString(s.Fleet.OperatorConfig)
	if b := s.Fleet.Budget; b != nil && accounts {
		tier := s.TierIndex(service)
		fmt.Fprintf(&out, "\n[budget]\nservice = %q\nattempts = %d\nreentry = %d\nleaf = %v\n", service, b.AttemptLimit, b.ReentryLimit, s.NextTierIndex(tier) < 0)
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
