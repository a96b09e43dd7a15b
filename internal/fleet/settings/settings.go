// Package settings reads a router's settings file: lines of the form a.b=value, lists joined by commas. The keys are an
// interface to whoever deploys routers, and never change; unknown ones are ignored. A value that is missing gets its default,
// where it has one.
//
// Load does I/O, Parse does not. Settings are read by many goroutines once they are parsed: nobody changes them.
package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Settings are what a router's process is given at its start.
type Settings struct {
	NodeName     string            // nodeName
	Role         string            // role
	IP           string            // ip, at which other routers reach this one
	Zone         string            // zone
	Region       string            // region
	RegionOfZone map[string]string // zones.*

	// Listening addresses as host and port; empty: not served.
	FrontAddress   string // listen.front, of clients' requests
	ReadyAddress   string // listen.ready, of the readiness check
	ControlAddress string // listen.control, of the control API

	Ports PortRange // portRange
	Seeds []string  // seeds: control addresses of some machines of the core

	Bootstrap       bool   // bootstrap: the first start of the whole system
	CountsForQuorum bool   // countsForQuorum: this machine is one of the core
	DataDir         string // dataDir; empty: no disk

	Limits    Limits
	Tolerance Tolerance
	Bounds    Bounds

	EndpointHeartbeatInterval time.Duration // heartbeatMs

	Contracts []string // contracts: the parts of the rules that are in force
}

// PortRange has the first and last port, both inclusive, for what routers send each other. Its form by package fmt goes into the
// number that tells fleets apart on the wire (package router), so that fields must not be added.
type PortRange struct{ First, Last int }

// Limits are those of the machine: limits.*. The router uses FileDescriptors alone; the others are validated.
type Limits struct {
	CPUShare        float64 // of one core
	Cores           int
	MemoryMB        int
	FileDescriptors int
	LinkMbps        float64
	DiskMB          int
}

// Tolerance is how many failures at the same time the fleet withstands with every guarantee: faultTolerance.*.
type Tolerance struct{ Machines, Zones, Regions int }

// Bounds are the figures of the guarantees: bounds.*. Those without a comment are validated, but the router uses its own figures.
type Bounds struct {
	Drain            time.Duration
	Grace            time.Duration // between the signal to end and the end of the process
	LossSlack        time.Duration
	ConfigApply      time.Duration // until all routers act on a configuration
	Contact          time.Duration
	Acknowledge      time.Duration
	CatchUp          time.Duration
	RevocationStrict bool          // no request with a revoked key is served after Revocation
	Revocation       time.Duration // until a revoked API key is rejected

	RetryBudgetRatio  float64       // retries for each request of a client
	RetryBudgetWindow time.Duration // over which they are counted
	RetryBudgetSlack  float64       // retries in addition

	QuotaWindow         time.Duration // over which a tenant's use is bounded
	QuotaOvershootRatio float64       // part of the allowance by which it may be exceeded
	QuotaOvershootUnits float64       // units in addition

	ReuseAfter time.Duration

	History time.Duration // for which the puts of a group are kept for watches
}

// validate finds settings that contradict each other, or are no address. An error is a KeyError.
func (s *Settings) validate() error {
	for _, listen := range []struct{ key, address string }{
		{"listen.front", s.FrontAddress}, {"listen.ready", s.ReadyAddress}, {"listen.control", s.ControlAddress},
	} {
		if listen.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(listen.address); err != nil {
			return &KeyError{Key: listen.key, Reason: "is no address and port"}
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

// InternalAddress returns the address at which other routers reach this one, by UDP and TCP.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedAddresses returns the internal addresses of the seeds, sorted, without duplicates: the same on all machines at the first
// start.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed) // can't fail: validate has checked it
		addresses = append(addresses, s.internalAddressOf(host))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (s *Settings) internalAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports.First))
}

// KeyError reports which key of a settings file is at fault, and why.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + " " + e.Reason }
