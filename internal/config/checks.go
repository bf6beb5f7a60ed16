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
	Every   Span `toml:"every"`
	Timeout Span `toml:"timeout"`
	Fall    int  `toml:"fall"` // failed checks that make a server down
	Rise    int  `toml:"rise"` // good ones that bring it back

	PerSecond  float64 `toml:"per_second"`  // checks begun a second, at most
	AtOnce     int     `toml:"at_once"`     // checks in hand
	Jitter     float64 `toml:"jitter"`      // share of an interval by which a check may be early or late
	GRPCBridge string  `toml:"grpc_bridge"` // address of grpchealth's HTTP side
}

// Profile is one way to check a server. What is not given is taken from Checks.
type Profile struct {
	Name     string `toml:"name"`
	Kind     string `toml:"kind"`
	Addr     string `toml:"addr"` // host:port, the same for all; or
	Port     int    `toml:"port"` // at the server's own host; neither: the server's own address
	Path     string `toml:"path"`
	Method   string `toml:"method"`
	Host     string `toml:"host"`
	Expect   string `toml:"expect"`   // statuses that are good, as "200-299,304"
	Drain    string `toml:"drain"`    // statuses that mean drain
	Body     string `toml:"body"`     // must stand in the answer
	Match    string `toml:"match"`    // a regular expression that must match it
	Send     string `toml:"send"`     // agent: a string sent first
	Database string `toml:"database"` // sru: whose explain is asked for
	Service  string `toml:"service"`  // grpc
	Every    Span   `toml:"every"`
	Fast     Span   `toml:"fast"` // after a change
	FastFor  int    `toml:"fast_for"`
	Slow     Span   `toml:"slow"` // while down
	Timeout  Span   `toml:"timeout"`
	Valid    Span   `toml:"valid"` // how long a result counts
	Fall     int    `toml:"fall"`
	Rise     int    `toml:"rise"`
	Silence  string `toml:"silence"` // a check that comes to nothing: "down" counts for fall, "ignore" says nothing

	Expectation httpcheck.Expect `toml:"-"` // of Expect, Drain, Body and Match
}

// Health are the figures by which evidence on servers is merged; docs/health.md explains them. Zero: the default.
type Health struct {
	Panic      float64 `toml:"panic"`
	EjectMost  float64 `toml:"eject_most"`
	EjectShare float64 `toml:"eject_share"`
	EjectFrom  float64 `toml:"eject_from"`
	HalfLife   Span    `toml:"half_life"`
	Fresh      Span    `toml:"fresh"`
	TrialFirst Span    `toml:"trial_first"`
	TrialMost  Span    `toml:"trial_most"`
	Return     int     `toml:"return"`
	Ramp       Span    `toml:"ramp"`
	FlapMost   float64 `toml:"flap_most"`
	WeightStep Span    `toml:"weight_step"`
}

// Shares are the sockets that each listener may hold.
type Shares struct {
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
	or(&k.Every.Duration, 2*time.Second)
	or(&k.Timeout.Duration, time.Second)
	or(&k.PerSecond, 1000)
	or(&k.AtOnce, 64)
	or(&k.Jitter, 0.1)
	for i := range p.Servers {
		s := &p.Servers[i]
		alive := false
		if s.Agent != "" {
			s.Checks = append(s.Checks, p.implied(Profile{Name: "agent " + s.Agent, Kind: CheckAgent, Addr: s.Agent}))
		}
		if s.Health != "" {
			s.Checks = append(s.Checks, p.implied(Profile{Name: "http " + s.Health, Kind: CheckHTTP, Path: s.Health}))
		}
		for _, name := range s.Checks {
			if f := p.Profile(name); f != nil && f.Kind != CheckAgent {
				alive = true
			}
		}
		// A server that nothing asks whether it is there could not come back once parts have found it gone.
		if !alive {
			s.Checks = append(s.Checks, p.implied(Profile{Name: "connect", Kind: CheckTCP}))
		}
	}
	for i := range p.Profiles {
		f := &p.Profiles[i]
		or(&f.Fall, map[bool]int{true: 1, false: k.Fall}[f.Kind == CheckAgent])
		or(&f.Rise, k.Rise)
		or(&f.Every.Duration, k.Every.Duration)
		or(&f.Timeout.Duration, k.Timeout.Duration)
		or(&f.Fast.Duration, max(f.Every.Duration/4, 10*time.Millisecond))
		or(&f.FastFor, 4)
		or(&f.Slow.Duration, f.Every.Duration)
		or(&f.Valid.Duration, 3*max(f.Slow.Duration, f.Every.Duration)+f.Timeout.Duration)
		or(&f.Method, "GET")
		or(&f.Expect, "200-399")
		or(&f.Drain, "404")
		or(&f.Silence, map[bool]string{true: "ignore", false: "down"}[f.Kind == CheckAgent])
		if f.Kind == CheckHTTP || f.Kind == CheckSRU {
			or(&f.Path, "/")
		}
	}
}

// implied adds a profile that a server's own keys stand for, once.
func (p *Partners) implied(f Profile) string {
	if p.Profile(f.Name) == nil {
		p.Profiles = append(p.Profiles, f)
	}
	return f.Name
}

// Profile finds a profile by its name; nil if there is none.
func (p *Partners) Profile(name string) *Profile {
	for i := range p.Profiles {
		if p.Profiles[i].Name == name {
			return &p.Profiles[i]
		}
	}
	return nil
}

func (p *Partners) checkChecks(c *checker) {
	k := p.Checks
	c.least("checks.fall", k.Fall, 1)
	c.least("checks.rise", k.Rise, 1)
	c.least("checks.at_once", k.AtOnce, 2)
	if !(k.PerSecond > 0 && k.PerSecond <= 1e6) {
		c.bad("checks.per_second", "checks.per_second must be over 0 and at most 1000000, not %v", k.PerSecond)
	}
	if !(k.Jitter >= 0 && k.Jitter <= 0.5) {
		c.bad("checks.jitter", "checks.jitter must be 0 to 0.5, not %v", k.Jitter)
	}
	if k.AtOnce > p.Limits.Sockets/4 {
		c.bad("checks.at_once", "checks.at_once %d is over a quarter of limits.sockets %d", k.AtOnce, p.Limits.Sockets)
	}
	for i := range p.Profiles {
		f := &p.Profiles[i]
		at := fmt.Sprintf("check.%d", i)
		if f.Name == "" || p.Profile(f.Name) != f {
			c.bad(at, "check %q has no name, or stands twice", f.Name)
		}
		p.checkProfile(c, f, at)
	}
	rate := 0.0
	for i, s := range p.Servers {
		at := fmt.Sprintf("server.%d.checks", i)
		for j, name := range s.Checks {
			f := p.Profile(name)
			switch {
			case f == nil:
				c.bad(at, "server %q: check %q is not there", s.ID, name)
				continue
			case slices.Contains(s.Checks[:j], name):
				c.bad(at, "server %q: check %q stands twice", s.ID, name)
			}
			if f.Every.Duration > 0 {
				rate += 1 / f.Every.Duration.Seconds()
			}
		}
	}
	// Guards a fleet whose checks would all be late all the time.
	if rate > k.PerSecond {
		c.bad("checks.per_second", "the servers' checks come to %.0f a second, over checks.per_second %v", rate, k.PerSecond)
	}
}

func (p *Partners) checkProfile(c *checker, f *Profile, at string) {
	if !slices.Contains([]string{CheckAgent, CheckHTTP, CheckTCP, CheckZ3950, CheckSRU, CheckGRPC}, f.Kind) {
		c.bad(at+".kind", "check %q: kind %q is none of agent, http, tcp, z3950, sru, grpc", f.Name, f.Kind)
	}
	for key, v := range map[string]Span{"every": f.Every, "fast": f.Fast, "slow": f.Slow, "timeout": f.Timeout} {
		if v.Duration < 10*time.Millisecond {
			c.bad(at+"."+key, "check %q: %s must be at least 10ms, not %v", f.Name, key, v.Duration)
		}
	}
	if f.Fast.Duration > f.Every.Duration {
		c.bad(at+".fast", "check %q: fast %v is longer than every %v", f.Name, f.Fast.Duration, f.Every.Duration)
	}
	if f.Slow.Duration < f.Every.Duration {
		c.bad(at+".slow", "check %q: slow %v is shorter than every %v", f.Name, f.Slow.Duration, f.Every.Duration)
	}
	if f.Timeout.Duration > time.Minute {
		c.bad(at+".timeout", "check %q: timeout must be at most 1m, not %v", f.Name, f.Timeout.Duration)
	}
	if least := f.Slow.Duration + f.Timeout.Duration; f.Valid.Duration < least {
		c.bad(at+".valid", "check %q: a result that is valid for %v would end before the next, after up to %v", f.Name, f.Valid.Duration, least)
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
	if f.Silence != "ignore" && f.Silence != "down" {
		c.bad(at+".silence", "check %q: silence is ignore or down, not %q", f.Name, f.Silence)
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
	e.Body = f.Body
	if e.Status, err = httpcheck.ParseRanges(f.Expect); err != nil {
		c.bad(at+".expect", "check %q: expect: %v", f.Name, err)
	}
	if f.Drain != "none" {
		if e.Drain, err = httpcheck.ParseRanges(f.Drain); err != nil {
			c.bad(at+".drain", "check %q: drain: %v", f.Name, err)
		}
	}
	if f.Match != "" {
		if e.Match, err = regexp.Compile(f.Match); err != nil {
			c.bad(at+".match", "check %q: match: %v", f.Name, err)
		}
	}
}

// AddrOf is where a server is asked by a profile.
func (f *Profile) AddrOf(s PartnerServer) string {
	switch {
	case f.Addr != "":
		return f.Addr
	case f.Port > 0:
		host, _, _ := net.SplitHostPort(s.Addr)
		return net.JoinHostPort(host, strconv.Itoa(f.Port))
	}
	return s.Addr
}

// Rules are those of merging evidence.
func (p *Partners) Rules() health.Rules {
	unsafe := uint64(0)
	for i, k := range p.Classes {
		if k.Unsafe {
			unsafe |= 1 << i
		}
	}
	r, h := health.Defaults(len(p.Classes), unsafe), p.Health
	set := func(v *float64, to float64) {
		if to != 0 {
			*v = to
		}
	}
	span := func(v *time.Duration, to Span) {
		if to.Duration != 0 {
			*v = to.Duration
		}
	}
	set(&r.Panic, h.Panic)
	set(&r.EjectMost, h.EjectMost)
	set(&r.Share, h.EjectShare)
	set(&r.Volume, h.EjectFrom)
	set(&r.FlapMost, h.FlapMost)
	span(&r.Half, h.HalfLife)
	span(&r.Fresh, h.Fresh)
	span(&r.TrialFirst, h.TrialFirst)
	span(&r.TrialMost, h.TrialMost)
	span(&r.Ramp, h.Ramp)
	span(&r.WeightStep, h.WeightStep)
	if h.Return != 0 {
		r.Return = h.Return
	}
	return r
}

func (p *Partners) checkHealth(c *checker) {
	if len(p.Classes) == 0 || len(p.Classes) > 63 {
		return
	}
	if _, err := health.New(p.Rules(), nil, time.Unix(0, 0)); err != nil {
		c.bad("health", "%v", err)
	}
}

// Sources are the profiles as sources of evidence, by their index.
func (p *Partners) Sources() (list []health.Source) {
	for _, f := range p.Profiles {
		list = append(list, health.Source{Name: f.Name, Fall: f.Fall, Rise: f.Rise, Valid: f.Valid.Duration, Mute: f.Silence == "ignore"})
	}
	return list
}
