// Package settings reads a router's settings file, which consists of lines of the form a.b=value. The items of a list are
// separated by commas. The keys are an interface to operators and never change. Unknown keys are ignored. Missing values are
// replaced by their defaults, if they have any.
//
// Load does I/O, Parse does not. Parsed Settings are read by many goroutines and must not be modified.
package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Settings are the settings with which a router's process is started. Comments name the keys of the file.
type Settings struct {
	NodeName     string            // nodeName
	Role         string            // role
	IP           string            // ip: address at which other routers reach this one
	Zone         string            // zone
	Region       string            // region
	RegionOfZone map[string]string // zones.*

	// Listening addresses as host:port; empty: not served.
	FrontAddress   string // listen.front: for client requests
	ReadyAddress   string // listen.ready: for readiness checks
	ControlAddress string // listen.control: for the control API

	Ports PortRange // portRange
	Seeds []string  // seeds: control addresses of some machines of the core

	Bootstrap       bool   // bootstrap: this is the first start of the whole system
	CountsForQuorum bool   // countsForQuorum: this machine belongs to the core
	DataDir         string // dataDir: directory for data; empty: no disk is used

	Limits    Limits
	Tolerance Tolerance
	Bounds    Bounds

	EndpointHeartbeatInterval time.Duration // heartbeatMs: interval between an endpoint's heartbeats

	Contracts []string // contracts: names of the parts of the service's specification that are in force
}

// PortRange is the range of ports for messages between routers, both ends inclusive. Its representation by package fmt is part
// of the fleet id that routers use on the wire (package router), so that no fields may be added.
type PortRange struct{ First, Last int }

// Limits are the resource limits of the machine: limits.*. CPUShare and Cores are only
// validated.
type Limits struct {
	CPUShare        float64 // fraction of one core
	Cores           int
	MemoryMB        int
	FileDescriptors int
	LinkMbps        float64
	DiskMB          int
}

// Tolerance is the number of simultaneous failures during which the fleet maintains all guarantees: faultTolerance.*.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds are the parameters of the guarantees: bounds.*. Those without a comment are only validated; the router uses its own
// values instead.
type Bounds struct {
	Drain            time.Duration
	Grace            time.Duration // time from the termination signal to the end of the process
	LossSlack        time.Duration
	ConfigApply      time.Duration // maximum time until all routers use a new configuration
	Contact          time.Duration
	Acknowledge      time.Duration
	CatchUp          time.Duration
	RevocationStrict bool          // whether no request with a revoked key may be served after Revocation
	Revocation       time.Duration // maximum time until a revoked API key is rejected

	RetryBudgetRatio  float64       // retries for each client request
	RetryBudgetWindow time.Duration // period over which the limit on retries applies
	RetryBudgetSlack  float64       // additional retries

	QuotaWindow         time.Duration // time over which a tenant's use is limited
	QuotaOvershootRatio float64       // fraction of a window's allowance by which use may exceed the allowance
	QuotaOvershootUnits float64       // additional units by which use may exceed the allowance

	ReuseAfter time.Duration

	History time.Duration // time for which the puts of a group are kept for watches
}

// validate checks that addresses are valid and that settings do not contradict each other. An error is a *KeyError.
func (s *Settings) validate() error {
	for _, listen := range []struct{ key, address string }{
		{"listen.front", s.FrontAddress}, {"listen.ready", s.ReadyAddress}, {"listen.control", s.ControlAddress},
	} {
		if listen.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(listen.address); err != nil {
			return &KeyError{Key: listen.key, Reason: "is not of the form host:port"}
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return &KeyError{Key: "seeds", Reason: "contains " + strconv.Quote(seed) + ", which is not of the form host:port"}
		}
	}
	if s.FrontAddress != "" && s.ReadyAddress == "" {
		return &KeyError{Key: "listen.ready", Reason: "is missing, but is required with listen.front"}
	}
	return nil
}

// InternalAddress returns the host:port address at which other routers reach this one by UDP and TCP.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedAddresses returns the internal addresses of the seeds, sorted and without duplicates, so that all machines have the same
// list at the first start.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed) // can't fail: validate has checked the seeds
		addresses = append(addresses, s.internalAddressOf(host))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (s *Settings) internalAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports.First))
}

// KeyError reports an error in the value of a key. Reason is the rest of a sentence that starts with the key.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + " " + e.Reason }
