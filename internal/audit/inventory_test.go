package audit

import (
	"strings"
	"testing"
)

func TestInventory(t *testing.T) {
	const good = "[[sidecar]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\nzone = \"z\"\n"
	r, err := ParseInventory("r.toml", []byte(good+"[[sidecar]]\nname = \"a\"\naddr = \"127.0.0.1:2\"\n"+
		"[[sidecar]]\nname = \"b\"\naddr = \"127.0.0.1:1\"\ndir = \"/state\"\n"))
	if err != nil || len(r.Sidecars) != 2 || r.Sidecars[0] != (Sidecar{"a", "127.0.0.1:1", "z", ""}) || r.Sidecars[1].Dir != "/state" {
		t.Errorf("%+v, %v", r, err)
	}
	if got := strings.Join(r.Faults, "; "); !strings.Contains(got, "a is listed twice") || !strings.Contains(got, "127.0.0.1:1 is listed for a and for b") {
		t.Errorf("faults: %q", got)
	}
	for text, want := range map[string]string{
		"":                                      "r.toml:1: sidecar: lists 0",
		good + "port = 3\n":                     "r.toml:5: sidecar.port: is unknown",
		"[[sidecar]]\naddr = \"127.0.0.1:1\"":   "r.toml:1: sidecar[0].name: ",
		"[[sidecar]]\nname = \"a\"\naddr=\"x\"": "r.toml:3: sidecar[0].addr: ",
		good + "[[sidecar]]\nname = \"b\"\naddr = \"127.0.0.1:0\"": "r.toml:7: sidecar[1].addr: ",
	} {
		if _, err := ParseInventory("r.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func FuzzInventory(f *testing.F) {
	f.Add("[[sidecar]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\nzone = \"z\"\n")
	f.Add("sidecar = [{name = \"a\", addr = \"[::1]:9\"}, {name = \"a\", addr = \"[::1]:9\"}]")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseInventory("r.toml", []byte(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "r.toml") {
				t.Errorf("%v names no file", err)
			}
			return
		}
		names := map[string]bool{}
		for _, s := range r.Sidecars {
			if s.Name == "" || s.Addr == "" || names[s.Name] {
				t.Errorf("%+v", r)
			}
			names[s.Name] = true
		}
	})
}
