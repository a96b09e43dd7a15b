package config

import (
	"strings"
	"testing"

	"pinelb.example/pinelb/balance"
)

const thriftListen = "[thrift]\nlisten = \"127.0.0.1:9090\"\n"

func TestThriftDefaults(t *testing.T) {
	op, err := loadOperator(t, thriftListen)
	if err != nil || !op.Thrift.DetectsFraming() || op.Thrift.MaxMessage != 64<<10 || op.Thrift.UpstreamPort != 0 || op.Thrift.RejectedType != 0 {
		t.Errorf("%+v, %v", op.Thrift, err)
	}
}

func TestThriftFaultsNameTheKey(t *testing.T) {
	const method = "[[thrift.method]]\nname = \"a\"\nclass = \"look\"\n"
	for text, want := range map[string]string{
		"[thrift]":                                          ":1: thrift.listen: ",
		"[thrift]\nlisten = \"9090\"":                       ":2: thrift.listen: ",
		thriftListen + "form = \"json\"":                    ":3: thrift.form: ",
		thriftListen + "upstream_port = 70000":              ":3: thrift.upstream_port: ",
		thriftListen + "most_message = \"1KiB\"":            ":3: thrift.most_message: ",
		thriftListen + "most_message = \"2MiB\"":            ":3: thrift.most_message: ",
		thriftListen + "deadline = \"0s\"":                  ":3: thrift.deadline: ",
		thriftListen + "turned_away = 6":                    ":3: thrift.turned_away: ",
		thriftListen + "port = 1":                           ":3: thrift.port: ",
		thriftListen + "[[thrift.method]]\nclass = \"a\"":   ":3: thrift.method[0].name: ",
		thriftListen + "[[thrift.method]]\nname = \"a\"":    ":3: thrift.method[0].class: ",
		thriftListen + method + "id = []":                   ":6: thrift.method[0].id: ",
		thriftListen + method + "key = [0]":                 ":6: thrift.method[0].key: ",
		thriftListen + method + "remaining_ms = [1, 40000]": ":6: thrift.method",
		thriftListen + method + "deadline = \"-1s\"":        ":6: thrift.method[0].deadline: ",
		thriftListen + method + method:                      ":7: thrift.method[1].name: ",
		"thrift = { listen = \"[::1]:1\", form = \"\" }":    ":1: thrift.form: ",
	} {
		if _, err := loadOperator(t, text); err == nil || !strings.Contains(err.Error(), "operator.toml"+want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// Guards against a start with a table that does not fit the site.
func TestThriftAgainstSettings(t *testing.T) {
	c := &Config{Listen: "127.0.0.1:8080", Settings: Settings{ClassNames: []string{"look", "order"},
		Settings: balance.Settings{Classes: []balance.Class{{Idempotency: balance.Idempotent}, {Idempotency: balance.IdempotentByKey}}}}}
	for text, want := range map[string]string{
		"[thrift]\nlisten = \"127.0.0.1:8080\"":                                        ":2: thrift.listen: ",
		thriftListen + "default_class = \"lok\"":                                       ":3: thrift.default_class: ",
		thriftListen + "default_class = \"order\"":                                     ":3: thrift.default_class: ",
		thriftListen + "[[thrift.method]]\nname = \"a\"\nclass = \"lok\"":              ":5: thrift.method[0].class: ",
		thriftListen + "[[thrift.method]]\nname = \"a\"\nclass = \"order\"":            ":3: thrift.method[0].key: ",
		thriftListen + "[[thrift.method]]\nname = \"a\"\nclass = \"look\"\nkey = [1]":  ":6: thrift.method[0].key: ",
		thriftListen + "[[thrift.method]]\nname = \"a\"\nclass = \"order\"\nkey = [1]": "",
		"": "",
	} {
		op, err := loadOperator(t, text)
		if err != nil {
			t.Fatal(err)
		}
		if err := op.CheckAgainst(c); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), "operator.toml"+want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
