package config

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Operator is the operator's file: what a site switches on beyond what the platform asks for. A section that
// the file lacks is off.
type Operator struct {
	AccessLog *AccessLog      `toml:"record"`
	Discovery *Discovery      `toml:"discovery"`
	Fleet     *Fleet          `toml:"fleet"`
	Thrift    *Thrift         `toml:"thrift"`
	Budget    *Budget         `toml:"budget"`
	State     *State          `toml:"state"`
	Audit     *Audit          `toml:"audit"`
	Settings  *SettingsSource `toml:"settings"`
}

// State is the section [state]: what a process knows is kept on the disk, for the one that comes after it.
type State struct {
	Dir              string            `toml:"dir"`     // absolute, and this sidecar's alone
	SnapshotInterval tomlfile.Duration `toml:"every"`   // a snapshot is written so often
	MaxAge           tomlfile.Duration `toml:"oldest"`  // and believed for so long
	Journal          bool              `toml:"journal"` // keyed and unsafe requests are written down before they are sent
}

// Defaults and limits of [state].
const (
	defaultSnapshotInterval = 10 * time.Second
	minSnapshotInterval     = time.Second
	maxSnapshotInterval     = 10 * time.Minute
	defaultMaxAge           = 10 * time.Minute
	maxMaxAge               = 24 * time.Hour
)

func (s *State) check(file *tomlfile.File) error {
	if !file.Has("state.every") {
		s.SnapshotInterval = tomlfile.Duration(defaultSnapshotInterval)
	}
	if !file.Has("state.oldest") {
		s.MaxAge = tomlfile.Duration(defaultMaxAge)
	}
	switch {
	case !filepath.IsAbs(s.Dir):
		return file.Errorf("state.dir", "must be the absolute path of a directory")
	case s.SnapshotInterval.D() < minSnapshotInterval || s.SnapshotInterval.D() > maxSnapshotInterval:
		return file.Errorf("state.every", "must be from %s to %s", minSnapshotInterval, maxSnapshotInterval)
	case s.MaxAge < s.SnapshotInterval || s.MaxAge.D() > maxMaxAge:
		return file.Errorf("state.oldest", "must be from state.every to %s", maxMaxAge)
	}
	return nil
}

// Discovery is the section [discovery]: the list service is one for many sidecars, and is asked so as to spare it.
type Discovery struct {
	CallRate         float64           `toml:"calls"`     // a second that all instances together may make
	Burst            int               `toml:"burst"`     // calls at once that it has room for
	Instances        int               `toml:"instances"` // that ask it; 0 is as many as the settings tell
	PollTimeout      tomlfile.Duration `toml:"watch"`     // how long a call waits for news, at least
	FullListInterval tomlfile.Duration `toml:"whole"`     // the whole list is asked for anew so often; 0 is never
	Resume           bool              `toml:"resume"`    // what is held already is not asked for again, but the changes since
}

// Defaults and limits of [discovery].
const (
	minCallRate, maxCallRate       = 1, 100_000
	maxBurst                       = 100_000
	maxInstances                   = 100_000
	defaultPollTimeout             = time.Second
	minPollTimeout, maxPollTimeout = 100 * time.Millisecond, 30 * time.Second
	defaultFullListInterval        = 5 * time.Minute
	minFullListInterval            = 10 * time.Second
)

func (d *Discovery) check(file *tomlfile.File) error {
	if !file.Has("discovery.watch") {
		d.PollTimeout = tomlfile.Duration(defaultPollTimeout)
	}
	if !file.Has("discovery.whole") {
		d.FullListInterval = tomlfile.Duration(defaultFullListInterval)
	}
	switch {
	case d.CallRate < minCallRate || d.CallRate > maxCallRate:
		return file.Errorf("discovery.calls", "must be given, from %d to %d", minCallRate, maxCallRate)
	case d.Burst < 0 || d.Burst > maxBurst:
		return file.Errorf("discovery.burst", "must be from 0 to %d", maxBurst)
	case d.Instances < 0 || d.Instances > maxInstances:
		return file.Errorf("discovery.instances", "must be from 0 to %d", maxInstances)
	case d.PollTimeout.D() < minPollTimeout || d.PollTimeout.D() > maxPollTimeout:
		return file.Errorf("discovery.watch", "must be from %s to %s", minPollTimeout, maxPollTimeout)
	case d.FullListInterval != 0 && d.FullListInterval.D() < minFullListInterval:
		return file.Errorf("discovery.whole", "must be 0s or %s and more", minFullListInterval)
	}
	return nil
}

// Pacing is the same for the watch of an instance, of whom the settings tell so many.
func (d *Discovery) Pacing(instances int) pacing.Fleet {
	if d.Instances != 0 {
		instances = d.Instances
	}
	return pacing.Fleet{Instances: instances, Rate: d.CallRate, Burst: d.Burst, Watch: d.PollTimeout.D()}
}

// Pacing is the section [fleet]: how the instances of a tier are told apart.
type Fleet struct {
	// Numbered says that the settings' rank and number of instances are right, so that upstream hosts are chosen
	// by them and not by the sidecar's name.
	Numbered bool `toml:"numbered"`
	// Spread is the time over which a sidecar that holds a list already makes its first call to discovery: where
	// many start at once and ask one service, they should not do so in the same moment. At most 5 s.
	Spread tomlfile.Duration `toml:"spread"`
	// Handshakes is how many connections all instances together may open to one upstream host in 100 ms; 0 is no bound.
	Handshakes int `toml:"handshakes"`
}

// maxHandshakes is more than any host takes.
const maxHandshakes = 10_000

func (f *Fleet) check(file *tomlfile.File) error {
	switch {
	case f.Spread < 0 || f.Spread.D() > maxSpread:
		return file.Errorf("fleet.spread", "must be from 0s to %s", maxSpread)
	case f.Handshakes < 0 || f.Handshakes > maxHandshakes:
		return file.Errorf("fleet.handshakes", "must be from 0 to %d", maxHandshakes)
	}
	return nil
}

// maxSpread keeps a list that may be old from being all that there is for long.
const maxSpread = 5 * time.Second

// AccessLog is the section [record]: one line is written for each stream.
type AccessLog struct {
	Destination       string `toml:"to"`         // "log", or the absolute path of a file
	MaxBytes          Size   `toml:"most"`       // bytes of the file and the one before it together; a file's alone
	MaxLinesPerSecond int    `toml:"per_second"` // lines of streams
}

// Defaults and limits of [record].
const (
	defaultAccessLogBytes Size = 64 << 20
	minAccessLogBytes     Size = 2 << 20 // half of it has to hold the header and a batch of lines
	defaultLinesPerSecond      = 2000
	maxLinesPerSecond          = 100000
)

// Size is a number of bytes, written as text with its unit, "64MiB", or as a plain number.
type Size int64

var units = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText reads a whole number with one of the units B, KiB, MiB and GiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		number, fits := strings.CutSuffix(string(text), u.name)
		if !fits {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf(`must be a size such as "64MiB"`)
}

// LoadOperator reads the operator's file; with no path all is off. The error names the file, and the line and
// the key where there are such.
func LoadOperator(path string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return ParseOperator(path, data)
}

// ParseOperator reads an operator's file's text; path is its name in errors.
func ParseOperator(path string, data []byte) (*Operator, error) {
	op := &Operator{}
	file, err := tomlfile.Decode(path, data, op)
	if err == nil && op.Fleet != nil {
		err = op.Fleet.check(file)
	}
	if err == nil && op.Discovery != nil {
		err = op.Discovery.check(file)
	}
	if err == nil && op.AccessLog != nil {
		err = op.AccessLog.check(file)
	}
	if err == nil && op.Thrift != nil {
		err = op.Thrift.check(file)
	}
	if err == nil && op.Budget != nil {
		err = op.Budget.check(file)
	}
	if err == nil && op.State != nil {
		err = op.State.check(file)
	}
	if err == nil && op.Audit != nil {
		err = op.Audit.check(file)
		op.Audit.File = DigestOf(data)
	}
	if err == nil && op.Settings != nil {
		err = op.Settings.check(file)
	}
	if err != nil {
		return nil, err // it begins with the file and the line
	}
	return op, nil
}

// CheckAgainst names the first key that can't be used beside the platform's configuration, such as a class that its
// settings lack.
func (o *Operator) CheckAgainst(c *Config) error {
	if o.Audit != nil && c.Control == "" {
		return fmt.Errorf("config: LB_CONTROL: audit needs an address for operators, which auditors call")
	}
	if o.Audit != nil && o.Audit.Lease > 0 && o.Discovery != nil {
		longest := o.Discovery.Pacing(c.Settings.Instances).Longest().Round(time.Millisecond)
		if o.Audit.Lease.D() < longest+minLease {
			return fmt.Errorf("config: audit.lease must be %s or more: beside [discovery] a call waits for news for up to %s", longest+minLease, longest)
		}
	}
	if o.Thrift == nil {
		return nil
	}
	return o.Thrift.checkAgainst(c)
}

// ToStderr tells whether the record goes to the log, which is standard error.
func (r *AccessLog) ToStderr() bool { return r.Destination == "log" }

// check fills in the defaults and names the first key that can't be used.
func (r *AccessLog) check(file *tomlfile.File) error {
	switch {
	case !r.ToStderr() && !filepath.IsAbs(r.Destination):
		return file.Errorf("record.to", `must be "log" or the absolute path of a file`)
	case r.ToStderr() && file.Has("record.most"):
		return file.Errorf("record.most", `bounds a file; it has no meaning where to is "log"`)
	case file.Has("record.most") && r.MaxBytes < minAccessLogBytes:
		return file.Errorf("record.most", `must be "%dMiB" or more`, minAccessLogBytes>>20)
	case file.Has("record.per_second") && (r.MaxLinesPerSecond < 1 || r.MaxLinesPerSecond > maxLinesPerSecond):
		return file.Errorf("record.per_second", "must be 1 to %d", maxLinesPerSecond)
	}
	if !file.Has("record.most") {
		r.MaxBytes = defaultAccessLogBytes
	}
	if !file.Has("record.per_second") {
		r.MaxLinesPerSecond = defaultLinesPerSecond
	}
	return nil
}
