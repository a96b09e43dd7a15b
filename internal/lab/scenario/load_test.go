package scenario

import (
	"io/fs"
	"strings"
	"testing"

	"pinelb.example/pinelb/scenarios"
)

// small is a valid scenario; the cases below make one line of it invalid.
const small = `name = "small"
length = "5s"
[[class]]
name = "a"
share = 1
work = "10ms"
aim = "1s"
deadline = "2s"
[[tier]]
name = "t"
[[tier.kind]]
boxes = 3
[clients]
rate = 50
`

func TestShippedScenariosAreValid(t *testing.T) {
	names, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil || len(names) == 0 {
		t.Fatal(names, err)
	}
	for _, name := range names {
		text, err := scenarios.Files.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(name, text)
		if err != nil {
			t.Error(err)
		} else if s.Name+".toml" != name || s.About == "" {
			t.Errorf("%s has the name %q and says %q of itself", name, s.Name, s.About)
		}
	}
}

// An invalid scenario is rejected, with an error that names the line and the key.
func TestErrorsNameLineAndKey(t *testing.T) {
	if _, err := Parse("x.toml", []byte(small)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`name = "small"`, ``, "x.toml:1: name: "},
		{`length = "5s"`, `length = "5h"`, "x.toml:2: length: "},
		{`share = 1`, `share = 0`, "x.toml:5: class[0].share: "},
		{`work = "10ms"`, `wrok = "10ms"`, "x.toml:6: class.wrok: is unknown"},
		{`aim = "1s"`, `aim = "soon"`, "x.toml:7: class.aim: "},
		{`deadline = "2s"`, `deadline = "500ms"`, "x.toml:8: class[0].deadline: "},
		{`name = "t"`, `name = "a"`, "x.toml:10: tier[0].name: "},
		{`boxes = 3`, `boxes = -3`, "x.toml:12: tier[0].kind[0].boxes: "},
		{`boxes = 3`, `start = "lukewarm"`, "x.toml:12: tier[0].kind[0].start: "},
		{`rate = 50`, ``, "x.toml:13: clients.load: "},
		{`rate = 50`, "rate = 50\n[fleet]\nrank = \"odd\"", "x.toml:16: fleet.rank: "},
		{`rate = 50`, "rate = 50\n[fleet]\nprotocol = \"thrift\"", "x.toml:16: fleet.protocol: "},
		{"[[class]]\nname = \"a\"", "[fleet]\nprotocol = \"thrift-binary\"\n[[class]]\nname = \"a.b\"", "x.toml:6: class[0].name: "},
		{`rate = 50`, "rate = 50\n[fleet]\nprotocol = \"thrift-binary\"\noperator = \"[thrift]\"", "x.toml:17: fleet.operator: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"melt\"", "x.toml:16: fault[0].kind: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"hang\"", "x.toml:15: fault[0].boxes: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"hang\"\nnames = [\"t-4\"]", "x.toml:17: fault[0].names: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"slow\"\nboxes = 1\nsize = 0.5", "x.toml:18: fault[0].size: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"slow\"\nboxes = 1\nsize = 2\nclass = \"a\"", "x.toml:19: fault[0].class: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"mute\"\nboxes = 1\nsize = 0.2\nclass = \"b\"", "x.toml:19: fault[0].class: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"mute\"\nboxes = 1\nsize = 0.2\nby = \"host\"", "x.toml:19: fault[0].by: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"hang\"\nboxes = 1\nabove = 2", "x.toml:18: fault[0].above: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"hurry\"\nsize = 0.2", "x.toml:15: fault[0].left: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"sidecar_pause\"\nfor = \"90s\"", "x.toml:17: fault[0].for: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"flap\"\nof = \"leave\"\nboxes = 1", "x.toml:17: fault[0].of: "},
		{`rate = 50`, "rate = 50\n[[burst]]\nat = \"4s\"\nfor = \"2s\"\nrate = 5", "x.toml:17: burst[0].for: "},
		{`rate = 50`, "rate = 50\n[[fault]]\nkind = \"link_cut\"\nof = \"control\"", "x.toml:17: fault[0].of: "},
		{`rate = 50`, "rate = 50\n[[audit]]\nname = \"a b\"", "x.toml:16: audit[0].name: "},
		{`rate = 50`, "rate = 50\n[[audit]]\nname = \"a\"\nshare = 2.0", "x.toml:17: audit[0].share: "},
		{`rate = 50`, "rate = 50\n[[audit]]\nname = \"a\"\nshut_out = true", "x.toml:17: audit[0].shut_out: "},
		{`rate = 50`, "rate = 50\n[[audit]]\nname = \"a\"\npause = \"2s\"", "x.toml:17: audit[0].pause: "},
		{`rate = 50`, "rate = 50\n[[expect]]\nwhat = \"luck\"\nleast = 1", "x.toml:16: expect[0].what: "},
		{`rate = 50`, "rate = 50\n[[expect]]\nwhat = \"served\"", "x.toml:15: expect[0].least: "},
	} {
		_, err := Parse("x.toml", []byte(strings.Replace(small, c.from, c.to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s...", c.to, err, c.want)
		}
	}
}
