package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// PathVariable is the name of the environment variable that contains the settings file's path.
const PathVariable = "PINELB_CONFIG"

// DefaultPath is the settings file's path if PathVariable is not set.
const DefaultPath = "/etc/pinelb/settings.conf"

const maxPort = 65535

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads and validates the settings file at path. An error wraps an *fs.PathError or an error of Parse.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates the text of a settings file. An error is a *KeyError, or one of package properties if the text has
// invalid syntax.
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
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func readSettings(r *fileReader) *Settings {
	return &Settings{
		NodeName:     r.required("nodeName"),
		Role:         r.text("role"),
		IP:           r.required("ip"),
		Zone:         r.required("zone"),
		Region:       r.text("region"),
		RegionOfZone: r.group("zones."),

		FrontAddress:   r.text("listen.front"),
		ReadyAddress:   r.text("listen.ready"),
		ControlAddress: r.text("listen.control"),

		Ports: r.ports("portRange"),
		Seeds: r.list("seeds"),

		Bootstrap:       r.flag("bootstrap"),
		CountsForQuorum: r.flag("countsForQuorum"),
		DataDir:         r.text("dataDir"),

		EndpointHeartbeatInterval: r.milliseconds("heartbeatMs", 1200),

		Contracts: r.list("contracts"),

		Limits:    readLimits(r),
		Tolerance: readTolerance(r),
		Bounds:    readBounds(r),
	}
}

func readLimits(r *fileReader) Limits {
	return Limits{
		CPUShare:        r.number("limits.cpuShare", 1),
		Cores:           int(r.number("limits.cores", 1)),
		MemoryMB:        int(r.number("limits.memoryMb", 128)),
		FileDescriptors: int(r.number("limits.fdLimit", 1024)),
		LinkMbps:        r.number("limits.linkMbps", 100),
		DiskMB:          int(r.number("limits.diskMb", 0)),
	}
}

func readTolerance(r *fileReader) Tolerance {
	return Tolerance{
		Machines: int(r.number("faultTolerance.machines", 0)),
		Zones:    int(r.number("faultTolerance.zones", 0)),
		Regions:  int(r.number("faultTolerance.regions", 0)),
	}
}

func readBounds(r *fileReader) Bounds {
	return Bounds{
		Drain:               r.milliseconds("bounds.drainMs", 2000),
		Grace:               r.seconds("bounds.graceS", 8),
		LossSlack:           r.milliseconds("bounds.lossSlackMs", 200),
		ConfigApply:         r.milliseconds("bounds.configApplyMs", 2000),
		Contact:             r.milliseconds("bounds.contactMs", 3000),
		Acknowledge:         r.milliseconds("bounds.ackMs", 4000),
		CatchUp:             r.seconds("bounds.catchUpS", 4),
		RevocationStrict:    r.flag("bounds.revocationStrict"),
		Revocation:          r.milliseconds("bounds.revokeMs", 5000),
		RetryBudgetRatio:    r.number("bounds.budgetRatio", 0.2),
		RetryBudgetWindow:   r.seconds("bounds.budgetWindowS", 10),
		RetryBudgetSlack:    r.number("bounds.budgetSlack", 0),
		QuotaWindow:         r.seconds("bounds.quotaWindowS", 8),
		QuotaOvershootRatio: r.number("bounds.quotaOver", 0),
		QuotaOvershootUnits: r.number("bounds.quotaSlack", 0),
		ReuseAfter:          r.seconds("bounds.reuseAfterS", 2),
		History:             r.seconds("bounds.historyS", 20),
	}
}

// fileReader converts the values of a settings file. It records the first error, so that the caller has to check for errors only
// once, at the end.
type fileReader struct {
	file *properties.Properties
	err  error // a *KeyError
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

// list returns the items of a comma-separated value.
func (r *fileReader) list(key string) []string {
	var items []string
	for item := range strings.SplitSeq(r.text(key), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// flag returns a boolean value. The default is false.
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

// number returns a non-negative value.
func (r *fileReader) number(key string, defaultValue float64) float64 {
	value := r.text(key)
	if value == "" {
		return defaultValue
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < 0 {
		r.fail(key, "is not a non-negative number")
	}
	return n
}

func (r *fileReader) milliseconds(key string, defaultValue float64) time.Duration {
	return time.Duration(r.number(key, defaultValue) * float64(time.Millisecond))
}

func (r *fileReader) seconds(key string, defaultValue float64) time.Duration {
	return time.Duration(r.number(key, defaultValue) * float64(time.Second))
}

// ports returns the range given by a value of the form first,last.
func (r *fileReader) ports(key string) PortRange {
	lowText, highText, found := strings.Cut(r.required(key), ",")
	low, lowErr := strconv.Atoi(strings.TrimSpace(lowText))
	high, highErr := strconv.Atoi(strings.TrimSpace(highText))
	if !found || lowErr != nil || highErr != nil || low < 1 || high < low || high > maxPort {
		r.fail(key, "is not a port range of the form first,last")
	}
	return PortRange{First: low, Last: high}
}

// group returns the values of all keys with a prefix, by the key without the prefix.
func (r *fileReader) group(prefix string) map[string]string {
	values := map[string]string{}
	for _, key := range r.file.Keys() {
		if name, found := strings.CutPrefix(key, prefix); found {
			values[name] = r.text(key)
		}
	}
	return values
}
