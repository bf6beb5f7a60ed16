package config

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"rooktrestle/internal/control/health"
	"rooktrestle/internal/protocol/httpcheck"
)

// Kinds of check.
const (
	CheckAgent = "agent" // HAProxy agent-check
	CheckHTTP  = "http"
	CheckTCP   = "tcp"   // a connection comes up
	CheckZ3950 = "z3950" // Init is accepted
	CheckSRU   = "sru"   // explain is answered
	CheckGRPC  = "grpc"  // grpc.health.v1, asked through the bridge
)

// Checks are what holds for all checks, and their budget.
type Checks struct {
	Interval Duration `toml:"every"`
	Timeout  Duration `toml:"timeout"`
	Fall     int      `toml:"fall"` // failed checks that make a server down
	Rise     int      `toml:"rise"` // good ones that bring it back

	MaxStartsPerSecond float64 `toml:"per_second"`  // checks begun a second, at most
	MaxConcurrent      int     `toml:"at_once"`     // checks in hand
	Jitter             float64 `toml:"jitter"`      // share of an interval by which a check may be early or late
	GRPCBridge         string  `toml:"grpc_bridge"` // address of grpchealth's HTTP side
}

// CheckProfile is one way to check a server. What is not given is taken from Checks.
type CheckProfile struct {
	Name         string   `toml:"name"`
	Kind         string   `toml:"kind"`
	Addr         string   `toml:"addr"` // host:port, the same for all; or
	Port         int      `toml:"port"` // at the server's own host; neither: the server's own address
	Path         string   `toml:"path"`
	Method       string   `toml:"method"`
	Host         string   `toml:"host"`
	ExpectStatus string   `toml:"expect"`   // statuses that are good, as "200-299,304"
	DrainStatus  string   `toml:"drain"`    // statuses that mean drain
	BodyContains string   `toml:"body"`     // must stand in the answer
	BodyMatches  string   `toml:"match"`    // a regular expression that must match it
	Send         string   `toml:"send"`     // agent: a string sent first
	Database     string   `toml:"database"` // sru: whose explain is asked for
	Service      string   `toml:"service"`  // grpc
	Interval     Duration `toml:"every"`
	FastInterval Duration `toml:"fast"` // after a change
	FastChecks   int      `toml:"fast_for"`
	DownInterval Duration `toml:"slow"` // while down
	Timeout      Duration `toml:"timeout"`
	ResultTTL    Duration `toml:"valid"` // how long a result counts
	Fall         int      `toml:"fall"`
	Rise         int      `toml:"rise"`
	NoResult     string   `toml:"silence"` // a check that comes to nothing: "down" counts for fall, "ignore" says nothing

	Expectation httpcheck.Expect `toml:"-"` // of Expect, Drain, Body and Match
}

// HealthRules are the figures by which evidence on servers is merged; docs/health.md explains them. Zero: the default.
type HealthRules struct {
	Panic      float64  `toml:"panic"`
	EjectMost  float64  `toml:"eject_most"`
	EjectShare float64  `toml:"eject_share"`
	EjectFrom  float64  `toml:"eject_from"`
	HalfLife   Duration `toml:"half_life"`
	Fresh      Duration `toml:"fresh"`
	TrialFirst Duration `toml:"trial_first"`
	TrialMost  Duration `toml:"trial_most"`
	Return     int      `toml:"return"`
	Ramp       Duration `toml:"ramp"`
	FlapMost   float64  `toml:"flap_most"`
	WeightStep Duration `toml:"weight_step"`
}

// SocketShares are the sockets that each listener may hold.
type SocketShares struct {
	SRU    int `toml:"sru"`
	Z3950  int `toml:"z3950"`
	Health int `toml:"health"`
	Agent  int `toml:"agent"`
}

// otherSockets are kept for listeners, pollers, standard streams and files.
const otherSockets = 32

// frontSockets are what listeners share: half of all, as servers and checks take the other half.
func (p *Partners) frontSockets() int { return p.Limits.Sockets/2 - otherSockets }

func (p *Partners) shareDefaults() {
	all := max(8, p.frontSockets())
	s := &p.Listen.Share
	or(&s.Health, max(2, all/10))
	or(&s.Agent, max(2, all/20))
	rest := max(2, all-s.Health-s.Agent)
	switch {
	case p.Listen.SRU == "":
		or(&s.Z3950, rest)
	case p.Listen.Z3950 == "":
		or(&s.SRU, rest)
	case s.SRU == 0 && s.Z3950 == 0:
		s.SRU, s.Z3950 = rest-rest*2/5, rest*2/5
	default:
		or(&s.SRU, max(1, rest-s.Z3950))
		or(&s.Z3950, max(1, rest-s.SRU))
	}
}

func (p *Partners) checkShares(c *checker) {
	sum := 0
	for _, l := range []struct {
		name, addr string
		n          int
	}{{"sru", p.Listen.SRU, p.Listen.Share.SRU}, {"z3950", p.Listen.Z3950, p.Listen.Share.Z3950},
		{"health", p.Listen.Health, p.Listen.Share.Health}, {"agent", p.Listen.Agent, p.Listen.Share.Agent}} {
		if l.addr == "" {
			continue
		}
		c.least("listen.share."+l.name, l.n, 1)
		sum += l.n
		if _, _, err := net.SplitHostPort(l.addr); err != nil {
			c.bad("listen."+l.name, "listen: %s = %q is not host:port", l.name, l.addr)
		}
	}
	if most := p.frontSockets(); sum > most {
		c.bad("listen.share", "the listeners' shares come to %d sockets, and %d of limits.sockets %d are theirs", sum, max(0, most), p.Limits.Sockets)
	}
	if p.Listen.AgentWait.Duration > time.Second {
		c.bad("listen.agent_wait", "agent_wait must be at most 1s: balancers wait no longer")
	}
}

func (p *Partners) checkDefaults() {
	k := &p.Checks
	or(&k.Fall, 2)
	or(&k.Rise, 1)
	or(&k.Interval.Duration, 2*time.Second)
	or(&k.Timeout.Duration, time.Second)
	or(&k.MaxStartsPerSecond, 1000)
	or(&k.MaxConcurrent, 64)
	or(&k.Jitter, 0.1)
	for i := range p.Servers {
		s := &p.Servers[i]
		alive := false
		if s.Agent != "" {
			s.Checks = append(s.Checks, p.implied(CheckProfile{Name: "agent " + s.Agent, Kind: CheckAgent, Addr: s.Agent}))
		}
		if s.Health != "" {
			s.Checks = append(s.Checks, p.implied(CheckProfile{Name: "http " + s.Health, Kind: CheckHTTP, Path: s.Health}))
		}
		for _, name := range s.Checks {
			if f := p.CheckProfile(name); f != nil && f.Kind != CheckAgent {
				alive = true
			}
		}
		// A server that nothing asks whether it is there could not come back once parts have found it gone.
		if !alive {
			s.Checks = append(s.Checks, p.implied(CheckProfile{Name: "connect", Kind: CheckTCP}))
		}
	}
	for i := range p.CheckProfiles {
		f := &p.CheckProfiles[i]
		or(&f.Fall, map[bool]int{true: 1, false: k.Fall}[f.Kind == CheckAgent])
		or(&f.Rise, k.Rise)
		or(&f.Interval.Duration, k.Interval.Duration)
		or(&f.Timeout.Duration, k.Timeout.Duration)
		or(&f.FastInterval.Duration, max(f.Interval.Duration/4, 10*time.Millisecond))
		or(&f.FastChecks, 4)
		or(&f.DownInterval.Duration, f.Interval.Duration)
		or(&f.ResultTTL.Duration, 3*max(f.DownInterval.Duration, f.Interval.Duration)+f.Timeout.Duration)
		or(&f.Method, "GET")
		or(&f.ExpectStatus, "200-399")
		or(&f.DrainStatus, "404")
		or(&f.NoResult, map[bool]string{true: "ignore", false: "down"}[f.Kind == CheckAgent])
		if f.Kind == CheckHTTP || f.Kind == CheckSRU {
			or(&f.Path, "/")
		}
	}
}

// implied adds a profile that a server's own keys stand for, once.
func (p *Partners) implied(f CheckProfile) string {
	if p.CheckProfile(f.Name) == nil {
		p.CheckProfiles = append(p.CheckProfiles, f)
	}
	return f.Name
}

// CheckProfile finds a profile by its name; nil if there is none.
func (p *Partners) CheckProfile(name string) *CheckProfile {
	for i := range p.CheckProfiles {
		if p.CheckProfiles[i].Name == name {
			return &p.CheckProfiles[i]
		}
	}
	return nil
}

func (p *Partners) checkChecks(c *checker) {
	k := p.Checks
	c.least("checks.fall", k.Fall, 1)
	c.least("checks.rise", k.Rise, 1)
	c.least("checks.at_once", k.MaxConcurrent, 2)
	if !(k.MaxStartsPerSecond > 0 && k.MaxStartsPerSecond <= 1e6) {
		c.bad("checks.per_second", "checks.per_second must be over 0 and at most 1000000, not %v", k.MaxStartsPerSecond)
	}
	if !(k.Jitter >= 0 && k.Jitter <= 0.5) {
		c.bad("checks.jitter", "checks.jitter must be 0 to 0.5, not %v", k.Jitter)
	}
	if k.MaxConcurrent > p.Limits.Sockets/4 {
		c.bad("checks.at_once", "checks.at_once %d is over a quarter of limits.sockets %d", k.MaxConcurrent, p.Limits.Sockets)
	}
	for i := range p.CheckProfiles {
		f := &p.CheckProfiles[i]
		at := fmt.Sprintf("check.%d", i)
		if f.Name == "" || p.CheckProfile(f.Name) != f {
			c.bad(at, "check %q has no name, or stands twice", f.Name)
		}
		p.checkProfile(c, f, at)
	}
	rate := 0.0
	for i, s := range p.Servers {
		at := fmt.Sprintf("server.%d.checks", i)
		for j, name := range s.Checks {
			f := p.CheckProfile(name)
			switch {
			case f == nil:
				c.bad(at, "server %q: check %q is not there", s.ID, name)
				continue
			case slices.Contains(s.Checks[:j], name):
				c.bad(at, "server %q: check %q stands twice", s.ID, name)
			}
			if f.Interval.Duration > 0 {
				rate += 1 / f.Interval.Duration.Seconds()
			}
		}
	}
	// Guards a fleet whose checks would all be late all the time.
	if rate > k.MaxStartsPerSecond {
		c.bad("checks.per_second", "the servers' checks come to %.0f a second, over checks.per_second %v", rate, k.MaxStartsPerSecond)
	}
}

func (p *Partners) checkProfile(c *checker, f *CheckProfile, at string) {
	if !slices.Contains([]string{CheckAgent, CheckHTTP, CheckTCP, CheckZ3950, CheckSRU, CheckGRPC}, f.Kind) {
		c.bad(at+".kind", "check %q: kind %q is none of agent, http, tcp, z3950, sru, grpc", f.Name, f.Kind)
	}
	for key, v := range map[string]Duration{"every": f.Interval, "fast": f.FastInterval, "slow": f.DownInterval, "timeout": f.Timeout} {
		if v.Duration < 10*time.Millisecond {
			c.bad(at+"."+key, "check %q: %s must be at least 10ms, not %v", f.Name, key, v.Duration)
		}
	}
	if f.FastInterval.Duration > f.Interval.Duration {
		c.bad(at+".fast", "check %q: fast %v is longer than every %v", f.Name, f.FastInterval.Duration, f.Interval.Duration)
	}
	if f.DownInterval.Duration < f.Interval.Duration {
		c.bad(at+".slow", "check %q: slow %v is shorter than every %v", f.Name, f.DownInterval.Duration, f.Interval.Duration)
	}
	if f.Timeout.Duration > time.Minute {
		c.bad(at+".timeout", "check %q: timeout must be at most 1m, not %v", f.Name, f.Timeout.Duration)
	}
	if least := f.DownInterval.Duration + f.Timeout.Duration; f.ResultTTL.Duration < least {
		c.bad(at+".valid", "check %q: a result that is valid for %v would end before the next, after up to %v", f.Name, f.ResultTTL.Duration, least)
	}
	c.least(at+".fall", f.Fall, 1)
	c.least(at+".rise", f.Rise, 1)
	if f.Port < 0 || f.Port > 65535 || f.Port > 0 && f.Addr != "" {
		c.bad(at+".port", "check %q: port is 1 to 65535, and not beside addr", f.Name)
	}
	if f.Addr != "" {
		if _, _, err := net.SplitHostPort(f.Addr); err != nil {
			c.bad(at+".addr", "check %q: addr %q is not host:port", f.Name, f.Addr)
		}
	}
	if f.NoResult != "ignore" && f.NoResult != "down" {
		c.bad(at+".silence", "check %q: silence is ignore or down, not %q", f.Name, f.NoResult)
	}
	if strings.ContainsAny(f.Path+f.Host+f.Method, " \r\n") || f.Path != "" && f.Path[0] != '/' {
		c.bad(at+".path", "check %q: path %q, host %q and method %q must be without spaces, and the path begin with /", f.Name, f.Path, f.Host, f.Method)
	}
	if f.Send != "" && f.Kind != CheckAgent {
		c.bad(at+".send", "check %q: only an agent is sent something", f.Name)
	}
	if f.Kind == CheckGRPC && p.Checks.GRPCBridge == "" {
		c.bad(at+".kind", "check %q: a grpc check needs checks.grpc_bridge, where grpchealth listens", f.Name)
	}
	var err error
	e := &f.Expectation
	e.Body = f.BodyContains
	if e.Status, err = httpcheck.ParseRanges(f.ExpectStatus); err != nil {
		c.bad(at+".expect", "check %q: expect: %v", f.Name, err)
	}
	if f.DrainStatus != "none" {
		if e.Drain, err = httpcheck.ParseRanges(f.DrainStatus); err != nil {
			c.bad(at+".drain", "check %q: drain: %v", f.Name, err)
		}
	}
	if f.BodyMatches != "" {
		if e.Match, err = regexp.Compile(f.BodyMatches); err != nil {
			c.bad(at+".match", "check %q: match: %v", f.Name, err)
		}
	}
}

// AddrFor is where a server is asked by a profile.
func (f *CheckProfile) AddrFor(s Server) string {
	switch {
	case f.Addr != "":
		return f.Addr
	case f.Port > 0:
		host, _, _ := net.SplitHostPort(s.Addr)
		return net.JoinHostPort(host, strconv.Itoa(f.Port))
	}
	return s.Addr
}

// HealthRules are those of merging evidence.
func (p *Partners) HealthRules() health.Rules {
	unsafe := uint64(0)
	for i, k := range p.Classes {
		if k.NonIdempotent {
			unsafe |= 1 << i
		}
	}
	r, h := health.Defaults(len(p.Classes), unsafe), p.HealthConfig
	set := func(v *float64, to float64) {
		if to != 0 {
			*v = to
		}
	}
	span := func(v *time.Duration, to Duration) {
		if to.Duration != 0 {
			*v = to.Duration
		}
	}
	set(&r.PanicThreshold, h.Panic)
	set(&r.MaxEjectedFraction, h.EjectMost)
	set(&r.EjectFailureRate, h.EjectShare)
	set(&r.MinOutcomes, h.EjectFrom)
	set(&r.FlapSuppress, h.FlapMost)
	span(&r.OutcomeHalfLife, h.HalfLife)
	span(&r.AnswerValidity, h.Fresh)
	span(&r.HalfOpenDelay, h.TrialFirst)
	span(&r.MaxHalfOpenDelay, h.TrialMost)
	span(&r.RecoveryRamp, h.Ramp)
	span(&r.WeightRiseTime, h.WeightStep)
	if h.Return != 0 {
		r.ReturnSuccesses = h.Return
	}
	return r
}

func (p *Partners) checkHealth(c *checker) {
	if len(p.Classes) == 0 || len(p.Classes) > 63 {
		return
	}
	if _, err := health.New(p.HealthRules(), nil, time.Unix(0, 0)); err != nil {
		c.bad("health", "%v", err)
	}
}

// HealthSources are the profiles as sources of evidence, by their index.
func (p *Partners) HealthSources() (list []health.CheckConfig) {
	for _, f := range p.CheckProfiles {
		list = append(list, health.CheckConfig{Name: f.Name, Fall: f.Fall, Rise: f.Rise, Validity: f.ResultTTL.Duration, IgnoreFailures: f.NoResult == "ignore"})
	}
	return list
}
