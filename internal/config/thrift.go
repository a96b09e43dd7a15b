package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/thriftwire"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Thrift is the section [thrift]: calls are accepted over Thrift, too, and forwarded over it.
type Thrift struct {
	Listen       string            `toml:"listen"` // address and port for callers
	Framing      string            `toml:"form"`   // "any", or the only framing and protocol that is accepted
	UpstreamPort int               `toml:"upstream_port"`
	MaxMessage   Size              `toml:"most_message"` // of a call or a reply, header included
	Deadline     tomlfile.Duration `toml:"deadline"`     // of methods that set none; 0: the class's
	RejectedType int32             `toml:"turned_away"`  // the type of exception that proves that nothing was executed; 0: none does
	DefaultClass string            `toml:"default_class"`
	Methods      []*ThriftMethod   `toml:"method"`

	file *tomlfile.File
}

// ThriftMethod is one [[thrift.method]]. Paths consist of field ids, from the arguments' struct on.
type ThriftMethod struct {
	Name        string            `toml:"name"` // "method" or, with precedence over it, "service:method"
	Class       string            `toml:"class"`
	Oneway      bool              `toml:"oneway"`       // there is no reply, also where it is sent as a call
	Deadline    tomlfile.Duration `toml:"deadline"`     // where the call has no time-out; 0: the section's
	ID          []int16           `toml:"id"`           // of the request; empty: one is generated
	Key         []int16           `toml:"key"`          // the idempotency key
	RemainingMS []int16           `toml:"remaining_ms"` // of the client's time-out; empty: the deadline
}

// Defaults and limits of [thrift].
const (
	anyFraming              = "any"
	defaultMaxMessage  Size = 64 << 10
	minMaxMessage      Size = 8 << 10
	maxMaxMessage      Size = 1 << 20
	minRejectedType         = 11 // lower ones are assigned by Thrift's libraries, also to calls that may have been executed
	maxPathLength           = 8
	maxMethodNameBytes      = 128
)

// DetectsFraming reports whether the first bytes of a connection determine its framing and protocol.
func (t *Thrift) DetectsFraming() bool { return t.Framing == anyFraming }

// check sets defaults and returns an error for the first invalid key, whatever the platform's settings are.
func (t *Thrift) check(file *tomlfile.File) error {
	t.file = file
	if !file.Has("thrift.form") {
		t.Framing = anyFraming
	}
	if !file.Has("thrift.most_message") {
		t.MaxMessage = defaultMaxMessage
	}
	_, known := thriftwire.ParseForm(t.Framing)
	_, err := netip.ParseAddrPort(t.Listen)
	switch {
	case err != nil:
		return file.Errorf("thrift.listen", `must be an address and a port such as "127.0.0.1:9090"`)
	case !known && !t.DetectsFraming():
		return file.Errorf("thrift.form", `must be "any", "framed-binary", "framed-compact", "binary", "compact", "framed-old-binary" or "old-binary"`)
	case t.UpstreamPort < 0 || t.UpstreamPort > math.MaxUint16:
		return file.Errorf("thrift.upstream_port", "must be 0 to %d", math.MaxUint16)
	case t.MaxMessage < minMaxMessage || t.MaxMessage > maxMaxMessage:
		return file.Errorf("thrift.most_message", `must be "%dKiB" to "%dKiB"`, minMaxMessage>>10, maxMaxMessage>>10)
	case file.Has("thrift.deadline") && t.Deadline <= 0:
		return file.Errorf("thrift.deadline", "must be above 0s")
	case file.Has("thrift.turned_away") && t.RejectedType < minRejectedType:
		return file.Errorf("thrift.turned_away", "must be %d or more: those below have meanings of Thrift's own", minRejectedType)
	}
	seen := map[string]bool{}
	for i, m := range t.Methods {
		if err := m.check(file, i, seen); err != nil {
			return err
		}
	}
	return nil
}

func (m *ThriftMethod) check(file *tomlfile.File, i int, seen map[string]bool) error {
	at := methodKey(i)
	switch {
	case m.Name == "" || len(m.Name) > maxMethodNameBytes:
		return file.Errorf(at+".name", "must be 1 to %d bytes long", maxMethodNameBytes)
	case seen[m.Name]:
		return file.Errorf(at+".name", "%q stands twice", m.Name)
	case m.Class == "":
		return file.Errorf(at+".class", "is missing")
	case file.Has(at+".deadline") && m.Deadline <= 0:
		return file.Errorf(at+".deadline", "must be above 0s")
	}
	seen[m.Name] = true
	for _, p := range []struct {
		key  string
		path []int16
	}{{".id", m.ID}, {".key", m.Key}, {".remaining_ms", m.RemainingMS}} {
		bad := len(p.path) > maxPathLength || file.Has(at+p.key) && len(p.path) == 0 ||
			slices.ContainsFunc(p.path, func(id int16) bool { return id < 1 })
		if bad {
			return file.Errorf(at+p.key, "must be 1 to %d field ids such as [1, 2], each 1 or more", maxPathLength)
		}
	}
	return nil
}

// checkAgainst returns an error for the first key that is invalid with the platform's configuration.
func (t *Thrift) checkAgainst(c *Config) error {
	if t.Listen == c.Listen && !endsInPortZero(t.Listen) {
		return t.file.Errorf("thrift.listen", "is LB_LISTEN's, where callers speak HTTP")
	}
	set := &c.Settings
	if i := slices.Index(set.ClassNames, t.DefaultClass); t.DefaultClass != "" {
		switch {
		case i < 0:
			return t.file.Errorf("thrift.default_class", "the settings have no class %q", t.DefaultClass)
		case set.Classes[i].Idempotency == balance.IdempotentByKey:
			return t.file.Errorf("thrift.default_class", "class %q takes a key, which is not known of any method", t.DefaultClass)
		}
	}
	for i, m := range t.Methods {
		class := slices.Index(set.ClassNames, m.Class)
		switch at := methodKey(i); {
		case class < 0:
			return t.file.Errorf(at+".class", "the settings have no class %q", m.Class)
		case set.Classes[class].Idempotency == balance.IdempotentByKey && len(m.Key) == 0:
			return t.file.Errorf(at+".key", "is missing: class %q takes one", m.Class)
		case set.Classes[class].Idempotency != balance.IdempotentByKey && len(m.Key) > 0:
			return t.file.Errorf(at+".key", "class %q takes none", m.Class)
		}
	}
	return nil
}

func methodKey(i int) string { return fmt.Sprintf("thrift.method[%d]", i) }

// endsInPortZero reports whether an address has its port assigned when it is opened.
func endsInPortZero(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && a.Port() == 0
}
