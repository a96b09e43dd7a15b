package scenario

import (
	"fmt"
	"regexp"
	"strings"
)

// Protocols are what clients, sidecars and boxes may speak with each other: HTTP/1.1, and Thrift's binary and
// compact encodings, with each message in a frame or without.
var Protocols = []string{"http", "thrift-framed-binary", "thrift-framed-compact", "thrift-binary", "thrift-compact"}

// What sidecars are told of calls over Thrift: the fields of the arguments, and a box's exception.
const (
	ThriftTxn        = 1   // field of the id
	ThriftKey        = 2   // of the key, in keyed classes
	ThriftRemaining  = 3   // of the time that is left, ms
	ThriftTurnedAway = 200 // type of the exception that says that the call never ran
)

// thriftMost is of a message: bodies and answers have 64 KiB at most.
const thriftMost = "80KiB"

// methodName is an identifier of Thrift's interface language.
var methodName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)

// Thrift tells whether the protocol is a form of Thrift.
func (f *Fleet) Thrift() bool { return strings.HasPrefix(f.Protocol, "thrift-") }

// Method is the name of the method of Thrift by which a class is called: its own, with "_" for "-".
func (c *Class) Method() string { return strings.ReplaceAll(c.Name, "-", "_") }

// OperatorText is the operator's file of a sidecar that sends to a service: the fleet's, and after it the section of
// budgets, if the sidecar keeps any, and the one that tells it of the calls where the protocol is Thrift and it is to
// listen at an address, host:port. "" is none.
func (s *Scenario) OperatorText(listen, service string, accounts bool) string {
	var out strings.Builder
	out.WriteString(s.Fleet.Operator)
	if b := s.Fleet.Budget; b != nil && accounts {
		tier := s.TierIndex(service)
		fmt.Fprintf(&out, "\n[budget]\nservice = %q\nattempts = %d\nreentry = %d\nleaf = %v\n", service, b.Attempts, b.Reentry, s.Next(tier) < 0)
	}
	if !s.Fleet.Thrift() {
		return out.String()
	}
	fmt.Fprintf(&out, "\n[thrift]\nlisten = %q\nturned_away = %d\nmost_message = %q\n", listen,
		ThriftTurnedAway, thriftMost)
	for i := range s.Class {
		c := &s.Class[i]
		fmt.Fprintf(&out, "\n[[thrift.method]]\nname = %q\nclass = %q\nid = [%d]\nremaining_ms = [%d]\n",
			c.Method(), c.Name, ThriftTxn, ThriftRemaining)
		if c.Effect == "keyed" {
			fmt.Fprintf(&out, "key = [%d]\n", ThriftKey)
		}
	}
	return out.String()
}
