package config

import (
	"fmt"
	"os"
	"time"

	"pinelb.example/pinelb/internal/tomlfile"
)

// Operator is the operator's file: what a site switches on beyond what the platform asks for. A section that the file lacks is
// off.
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

// LoadOperator reads the operator's file; with an empty path everything is off. The error names the file, and the line and the
// key if there are such.
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

// ParseOperator parses an operator's file; path is its name in errors.
func ParseOperator(path string, data []byte) (*Operator, error) {
	op := &Operator{}
	file, err := tomlfile.Decode(path, data, op)
	if err != nil {
		return nil, err // which begins with the file and the line
	}
	if op.Audit != nil {
		op.Audit.File = DigestOf(data)
	}
	for _, section := range []struct {
		present bool
		check   func(*tomlfile.File) error
	}{
		{op.Fleet != nil, op.Fleet.check},
		{op.Discovery != nil, op.Discovery.check},
		{op.AccessLog != nil, op.AccessLog.check},
		{op.Thrift != nil, op.Thrift.check},
		{op.Budget != nil, op.Budget.check},
		{op.State != nil, op.State.check},
		{op.Audit != nil, op.Audit.check},
		{op.Settings != nil, op.Settings.check},
	} {
		if !section.present {
			continue
		}
		if err := section.check(file); err != nil {
			return nil, err
		}
	}
	return op, nil
}

// CheckAgainst returns an error for the first key that is invalid with the platform's configuration, such as a class that its
// settings lack.
func (o *Operator) CheckAgainst(c *Config) error {
	if o.Audit != nil && c.Control == "" {
		return fmt.Errorf("config: LB_CONTROL: audit needs an address for operators, which auditors call")
	}
	if o.Audit != nil && o.Audit.Lease > 0 && o.Discovery != nil {
		longest := o.Discovery.Pacing(c.Settings.Instances).MaxWatchWait().Round(time.Millisecond)
		if o.Audit.Lease.D() < longest+minLease {
			return fmt.Errorf("config: audit.lease must be %s or more: beside [discovery] a call waits for news for up to %s", longest+minLease, longest)
		}
	}
	if o.Thrift == nil {
		return nil
	}
	return o.Thrift.checkAgainst(c)
}
