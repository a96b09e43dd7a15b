// Package settings reads a router's settings file: lines of the form a.b=value, lists joined by commas. Unknown keys
// are ignored.
package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/magiconair/properties"
)

// PathVariable names the environment variable that holds the settings file's path.
const PathVariable = "PINELB_CONFIG"

// DefaultPath is where the settings file lies when PathVariable is not set.
const DefaultPath = "/etc/pinelb/settings.conf"

// Settings are what one process is told at its start.
type Settings struct {
	NodeName   string
	Role   string
	IP     string
	Zone   string
	Region string
	RegionOfZone  map[string]string // regions by zone

	FrontAddress, ReadyAddress, ControlAddress string // listening addresses; empty: not served
	Ports                 PortRange
	Seeds                 []string // control addresses of some machines

	Bootstrap       bool // the first start of the whole system
	CountsForQuorum bool
	DataDir         string // empty: no disk

	Limits    Limits
	Tolerance Tolerance
	Bounds    Bounds

	EndpointHeartbeatInterval time.Duration // between an endpoint's heartbeats
}

// PortRange holds the first and last port for what routers say to each other.
type PortRange struct{ First, Last int }

// Limits are the machine's.
type Limits struct {
	CPUShare    float64 // of one core
	Cores       int
	MemoryMB    int
	FileDescriptors int
	LinkMbps    float64
	DiskMB      int
}

// Tolerance is what may be lost at the same time while every promise holds.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds are the figures of the rules in force.
type Bounds struct {
	Drain            time.Duration
	Grace            time.Duration
	LossSlack        time.Duration
	ConfigApply      time.Duration
	Contact          time.Duration
	Acknowledge      time.Duration
	CatchUp          time.Duration
	RevocationStrict bool
	Revocation           time.Duration
	RetryBudgetRatio      float64
	RetryBudgetWindow     time.Duration
	RetryBudgetSlack      float64
	QuotaWindow      time.Duration
	QuotaOvershootRatio        float64
	QuotaOvershootUnits       float64
	ReuseAfter       time.Duration
}

// Path is where the settings file lies.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and checks the settings file at path. An error names the key at fault.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks the text of a settings file.
func Parse(text []byte) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes(text)
	if err != nil {
		return nil, err
	}
	r := &fileReader{file: file}
	s := readSettings(r)
	if r.err != nil {
		return nil, r.err
	}
	return s, s.validate()
}

func readSettings(r *fileReader) *Settings {
	s := &Settings{
		NodeName: r.required("nodeName"), Role: r.text("role"), IP: r.required("ip"), Zone: r.required("zone"),
		Region: r.text("region"), RegionOfZone: r.group("zones."),
		FrontAddress: r.text("listen.front"), ReadyAddress: r.text("listen.ready"), ControlAddress: r.text("listen.control"),
		Ports: r.ports("portRange"), Seeds: r.list("seeds"),
		Bootstrap: r.flag("bootstrap"), CountsForQuorum: r.flag("countsForQuorum"), DataDir: r.text("dataDir"),
		EndpointHeartbeatInterval: r.milliseconds("heartbeatMs", 1200),
	}
	s.Limits = Limits{
		CPUShare: r.number("limits.cpuShare", 1), Cores: int(r.number("limits.cores", 1)),
		MemoryMB: int(r.number("limits.memoryMb", 128)), FileDescriptors: int(r.number("limits.fdLimit", 1024)),
		LinkMbps: r.number("limits.linkMbps", 100), DiskMB: int(r.number("limits.diskMb", 0)),
	}
	s.Tolerance = Tolerance{
		Machines: int(r.number("faultTolerance.machines", 0)), Zones: int(r.number("faultTolerance.zones", 0)),
		Regions: int(r.number("faultTolerance.regions", 0)),
	}
	s.Bounds = readBounds(r)
	return s
}

func readBounds(r *fileReader) Bounds {
	return Bounds{
		Drain: r.milliseconds("bounds.drainMs", 2000), Grace: r.seconds("bounds.graceS", 8),
		LossSlack: r.milliseconds("bounds.lossSlackMs", 200), ConfigApply: r.milliseconds("bounds.configApplyMs", 2000),
		Contact: r.milliseconds("bounds.contactMs", 3000), Acknowledge: r.milliseconds("bounds.ackMs", 4000),
		CatchUp: r.seconds("bounds.catchUpS", 4), RevocationStrict: r.flag("bounds.revocationStrict"),
		Revocation: r.milliseconds("bounds.revokeMs", 5000), RetryBudgetRatio: r.number("bounds.budgetRatio", 0.2),
		RetryBudgetWindow: r.seconds("bounds.budgetWindowS", 10), RetryBudgetSlack: r.number("bounds.budgetSlack", 0),
		QuotaWindow: r.seconds("bounds.quotaWindowS", 8), QuotaOvershootRatio: r.number("bounds.quotaOver", 0),
		QuotaOvershootUnits: r.number("bounds.quotaSlack", 0), ReuseAfter: r.seconds("bounds.reuseAfterS", 2),
	}
}

// check finds settings that contradict each other.
func (s *Settings) validate() error {
	for key, address := range map[string]string{"listen.front": s.FrontAddress, "listen.ready": s.ReadyAddress, "listen.control": s.ControlAddress} {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &KeyError{Key: key, Reason: "is no address and port"}
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return &KeyError{Key: "seeds", Reason: "holds " + strconv.Quote(seed) + ", which is no address and port"}
		}
	}
	if s.FrontAddress != "" && s.ReadyAddress == "" {
		return &KeyError{Key: "listen.ready", Reason: "is missing while listen.front is given"}
	}
	return nil
}

// InternalAddress is the address at which other routers reach this one, by UDP and TCP.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedAddresses are the internal addresses of the seeds, sorted: the same on all machines at the first start.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed) // checked when it was read
		addresses = append(addresses, s.internalAddressOf(host))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (s *Settings) internalAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports.First))
}

// KeyError says which key of a settings file is at fault.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + " " + e.Reason }

// reader takes values out of a file and keeps the first fault.
type fileReader struct {
	file *properties.Properties
	err  error
}

func (r *fileReader) fail(key, reason string) {
	if r.err == nil {
		r.err = &KeyError{Key: key, Reason: reason}
	}
}

func (r *fileReader) text(key string) string { return strings.TrimSpace(r.file.GetString(key, "")) }

func (r *fileReader) required(key string) string {
	value := r.text(key)
	if value == "" {
		r.fail(key, "is missing")
	}
	return value
}

func (r *fileReader) list(key string) []string {
	var items []string
	for item := range strings.SplitSeq(r.text(key), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (r *fileReader) flag(key string) bool {
	value := r.text(key)
	if value == "" {
		return false
	}
	on, err := strconv.ParseBool(value)
	if err != nil {
		r.fail(key, "is neither true nor false")
	}
	return on
}

func (r *fileReader) number(key string, otherwise float64) float64 {
	value := r.text(key)
	if value == "" {
		return otherwise
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < 0 {
		r.fail(key, "is no number of 0 or more")
	}
	return n
}

func (r *fileReader) milliseconds(key string, otherwise float64) time.Duration {
	return time.Duration(r.number(key, otherwise) * float64(time.Millisecond))
}

func (r *fileReader) seconds(key string, otherwise float64) time.Duration {
	return time.Duration(r.number(key, otherwise) * float64(time.Second))
}

func (r *fileReader) ports(key string) PortRange {
	first, last, found := strings.Cut(r.required(key), ",")
	low, err := strconv.Atoi(strings.TrimSpace(first))
	high, err2 := strconv.Atoi(strings.TrimSpace(last))
	if r.err == nil && (!found || err != nil || err2 != nil || low < 1 || high < low || high > 65535) {
		r.fail(key, "is no range of ports")
	}
	return PortRange{First: low, Last: high}
}

func (r *fileReader) group(prefix string) map[string]string {
	values := map[string]string{}
	for _, key := range r.file.Keys() {
		if name, found := strings.CutPrefix(key, prefix); found {
			values[name] = r.text(key)
		}
	}
	return values
}
