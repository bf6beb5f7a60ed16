package config

import (
	"net"
	"strconv"
	"time"

	"rooktrestle/internal/protocol/httpcheck"
)

// Kinds of health check.
const (
	CheckAgent = "agent" // HAProxy agent-check
	CheckHTTP  = "http"
	CheckTCP   = "tcp"   // a connection is established
	CheckZ3950 = "z3950" // Init is accepted
	CheckSRU   = "sru"   // explain is answered
	CheckGRPC  = "grpc"  // grpc.health.v1, through the bridge
)

// Values of CheckProfile.NoResult.
const (
	noResultIgnored = "ignore" // a check without a result is ignored
	noResultDown    = "down"   // a check without a result counts as failed
)

// Checks has the defaults of all health checks, and their budget.
type Checks struct {
	Interval Duration `toml:"every"`
	Timeout  Duration `toml:"timeout"`
	Fall     int      `toml:"fall"` // consecutive failed checks after which a server is down
	Rise     int      `toml:"rise"` // consecutive successful checks after which it is up again

	MaxStartsPerSecond float64 `toml:"per_second"`
	MaxConcurrent      int     `toml:"at_once"`
	Jitter             float64 `toml:"jitter"`      // fraction of an interval by which a check may be early or delayed
	GRPCBridge         string  `toml:"grpc_bridge"` // address of grpchealth's HTTP side
}

// CheckProfile is one kind of check with its parameters. Parameters that are not set default to those of Checks. A
// check connects to Addr if set, else to Port of the server's host if set, else to the server's own address.
type CheckProfile struct {
	Name         string   `toml:"name"`
	Kind         string   `toml:"kind"`
	Addr         string   `toml:"addr"` // host:port, the same for all servers
	Port         int      `toml:"port"`
	Path         string   `toml:"path"`
	Method       string   `toml:"method"`
	Host         string   `toml:"host"`
	ExpectStatus string   `toml:"expect"`   // statuses of a healthy server, as "200-299,304"
	DrainStatus  string   `toml:"drain"`    // statuses of a draining one; "none": no status
	BodyContains string   `toml:"body"`     // text that the body of a healthy response contains
	BodyMatches  string   `toml:"match"`    // regular expression that the body of a healthy response matches
	Send         string   `toml:"send"`     // agent: text sent after connecting
	Database     string   `toml:"database"` // sru: the database whose explain is requested
	Service      string   `toml:"service"`  // grpc: name of the service to check
	Interval     Duration `toml:"every"`
	FastInterval Duration `toml:"fast"`     // interval after a change of the result
	FastChecks   int      `toml:"fast_for"` // number of checks at FastInterval
	DownInterval Duration `toml:"slow"`     // interval while the server is down
	Timeout      Duration `toml:"timeout"`
	ResultTTL    Duration `toml:"valid"` // how long a result is valid; 0: until the next one
	Fall         int      `toml:"fall"`
	Rise         int      `toml:"rise"`
	NoResult     string   `toml:"silence"` // what a check without a result counts as: "down" or "ignore"

	Expectation httpcheck.Expect `toml:"-"` // compiled from ExpectStatus, DrainStatus, BodyContains and BodyMatches
}

// AddrFor returns the address at which a server is checked.
func (f *CheckProfile) AddrFor(server Server) string {
	switch {
	case f.Addr != "":
		return f.Addr
	case f.Port > 0:
		host, _, err := net.SplitHostPort(server.Addr)
		if err != nil {
			host = "" // impossible in a validated file
		}
		return net.JoinHostPort(host, strconv.Itoa(f.Port))
	}
	return server.Addr
}

// CheckProfile finds a profile by its name; nil: there is none. The profile belongs to p.
func (p *Partners) CheckProfile(name string) *CheckProfile {
	for i := range p.CheckProfiles {
		if p.CheckProfiles[i].Name == name {
			return &p.CheckProfiles[i]
		}
	}
	return nil
}

// setCheckDefaults sets the defaults of all checks, and adds the profiles that the servers' own keys imply.
func (p *Partners) setCheckDefaults() {
	checks := &p.Checks
	setDefault(&checks.Fall, 2)
	setDefault(&checks.Rise, 1)
	setDefault(&checks.Interval.Duration, 2*time.Second)
	setDefault(&checks.Timeout.Duration, time.Second)
	setDefault(&checks.MaxStartsPerSecond, 1000)
	setDefault(&checks.MaxConcurrent, 64)
	setDefault(&checks.Jitter, 0.1)
	for i := range p.Servers {
		p.addImpliedChecks(&p.Servers[i])
	}
	for i := range p.CheckProfiles {
		p.CheckProfiles[i].setDefaults(checks)
	}
}

// addImpliedChecks adds the checks that a server's keys agent and health imply. If no check tests whether the server is
// reachable, it adds a check of the connection: otherwise a server that requests have found unreachable would never be
// used again.
func (p *Partners) addImpliedChecks(server *Server) {
	if server.Agent != "" {
		implied := p.impliedProfile(CheckProfile{Name: "agent " + server.Agent, Kind: CheckAgent, Addr: server.Agent})
		server.Checks = append(server.Checks, implied)
	}
	if server.Health != "" {
		implied := p.impliedProfile(CheckProfile{Name: "http " + server.Health, Kind: CheckHTTP, Path: server.Health})
		server.Checks = append(server.Checks, implied)
	}
	reachabilityChecked := false
	for _, name := range server.Checks {
		if profile := p.CheckProfile(name); profile != nil && profile.Kind != CheckAgent {
			reachabilityChecked = true
		}
	}
	if !reachabilityChecked {
		server.Checks = append(server.Checks, p.impliedProfile(CheckProfile{Name: "connect", Kind: CheckTCP}))
	}
}

// impliedProfile adds a profile unless one of the same name exists, and returns the name.
func (p *Partners) impliedProfile(profile CheckProfile) string {
	if p.CheckProfile(profile.Name) == nil {
		p.CheckProfiles = append(p.CheckProfiles, profile)
	}
	return profile.Name
}

func (f *CheckProfile) setDefaults(checks *Checks) {
	fall, noResult := checks.Fall, noResultDown
	if f.Kind == CheckAgent {
		fall, noResult = 1, noResultIgnored
	}
	setDefault(&f.Fall, fall)
	setDefault(&f.Rise, checks.Rise)
	setDefault(&f.Interval.Duration, checks.Interval.Duration)
	setDefault(&f.Timeout.Duration, checks.Timeout.Duration)
	setDefault(&f.FastInterval.Duration, max(f.Interval.Duration/4, 10*time.Millisecond))
	setDefault(&f.FastChecks, 4)
	setDefault(&f.DownInterval.Duration, f.Interval.Duration)
	setDefault(&f.Method, "GET")
	setDefault(&f.ExpectStatus, "200-399")
	setDefault(&f.DrainStatus, "404")
	setDefault(&f.NoResult, noResult)
	if f.NoResult != noResultIgnored { // a check whose silence has no effect has said nothing new
		setDefault(&f.ResultTTL.Duration, 3*max(f.DownInterval.Duration, f.Interval.Duration)+f.Timeout.Duration)
	}
	if f.Kind == CheckHTTP || f.Kind == CheckSRU {
		setDefault(&f.Path, "/")
	}
}
