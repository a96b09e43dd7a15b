package scenario

import (
	"slices"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/config"
)

// The file has a method for each class, beside the scenario's own text.
func TestOperatorFileDescribesThriftMethods(t *testing.T) {
	text := strings.Replace(small, `name = "a"`, "name = \"a-b\"\neffect = \"keyed\"", 1)
	s, err := Parse("x.toml", []byte(text+"[fleet]\nprotocol = \"thrift-compact\"\noperator = \"[fleet]\\nnumbered = true\""))
	if err != nil {
		t.Fatal(err)
	}
	op, err := config.ParseOperator("operator", []byte(s.OperatorFile("127.0.0.1:9", "t", true)))
	if err != nil || op.Thrift == nil || len(op.Thrift.Methods) != 1 {
		t.Fatalf("%+v: %v", op, err)
	}
	if !op.Fleet.Numbered || op.Thrift.Listen != "127.0.0.1:9" || op.Thrift.RejectedType != ThriftRejectedType {
		t.Errorf("%+v", op.Thrift)
	}
	m := op.Thrift.Methods[0]
	if m.Name != "a_b" || m.Class != "a-b" || !slices.Equal(m.ID, []int16{ThriftTransactionIDField}) ||
		!slices.Equal(m.Key, []int16{ThriftKeyField}) || !slices.Equal(m.RemainingMS, []int16{ThriftRemainingField}) {
		t.Errorf("%+v", m)
	}
	s.Fleet.Protocol = "http"
	if got := s.OperatorFile("127.0.0.1:9", "t", true); got != s.Fleet.OperatorConfig {
		t.Errorf("over HTTP: %q", got)
	}
}
