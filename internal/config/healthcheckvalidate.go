package config

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"rooktrestle/internal/protocol/httpcheck"
)

const (
	minCheckTime    = 10 * time.Millisecond // of an interval or a timeout
	maxCheckTimeout = time.Minute
	maxPort         = 65535
)

// checkKinds are all kinds of check.
var checkKinds = []string{CheckAgent, CheckHTTP, CheckTCP, CheckZ3950, CheckSRU, CheckGRPC}

func (p *Partners) validateChecks(v *validator) {
	checks := p.Checks
	v.atLeast("checks.fall", checks.Fall, 1)
	v.atLeast("checks.rise", checks.Rise, 1)
	v.atLeast("checks.at_once", checks.MaxConcurrent, 2)
	if !(checks.MaxStartsPerSecond > 0 && checks.MaxStartsPerSecond <= 1e6) { // written so that NaN is a problem, too
		v.addf("checks.per_second", "checks.per_second must be over 0 and at most 1000000, not %v", checks.MaxStartsPerSecond)
	}
	if !(checks.Jitter >= 0 && checks.Jitter <= 0.5) {
		v.addf("checks.jitter", "checks.jitter must be 0 to 0.5, not %v", checks.Jitter)
	}
	if checks.MaxConcurrent > p.Limits.Sockets/4 {
		v.addf("checks.at_once", "checks.at_once %d is over a quarter of limits.sockets %d", checks.MaxConcurrent, p.Limits.Sockets)
	}
	for i := range p.CheckProfiles {
		profile := &p.CheckProfiles[i]
		path := fmt.Sprintf("check.%d", i)
		if profile.Name == "" || p.CheckProfile(profile.Name) != profile {
			v.addf(path, "check %q has no name, or stands twice", profile.Name)
		}
		p.validateCheckProfile(v, profile, path)
	}
	p.validateServerChecks(v)
}

// validateServerChecks checks the servers' lists of checks, and that the checks of all servers fit their budget: a fleet
// over the budget would have all checks late all the time.
func (p *Partners) validateServerChecks(v *validator) {
	startsPerSecond := 0.0
	for i, server := range p.Servers {
		path := fmt.Sprintf("server.%d.checks", i)
		for j, name := range server.Checks {
			profile := p.CheckProfile(name)
			switch {
			case profile == nil:
				v.addf(path, "server %q: check %q is not there", server.ID, name)
				continue
			case slices.Contains(server.Checks[:j], name):
				v.addf(path, "server %q: check %q stands twice", server.ID, name)
			}
			if profile.Interval.Duration > 0 {
				startsPerSecond += 1 / profile.Interval.Seconds()
			}
		}
	}
	if startsPerSecond > p.Checks.MaxStartsPerSecond {
		v.addf("checks.per_second", "the servers' checks come to %.0f a second, over checks.per_second %v", startsPerSecond, p.Checks.MaxStartsPerSecond)
	}
}

// validateCheckProfile checks the profile at a path and compiles its expectation.
func (p *Partners) validateCheckProfile(v *validator, profile *CheckProfile, path string) {
	if !slices.Contains(checkKinds, profile.Kind) {
		v.addf(path+".kind", "check %q: kind %q is none of agent, http, tcp, z3950, sru, grpc", profile.Name, profile.Kind)
	}
	profile.validateTimes(v, path)
	v.atLeast(path+".fall", profile.Fall, 1)
	v.atLeast(path+".rise", profile.Rise, 1)
	profile.validateTarget(v, path)
	if profile.NoResult != noResultIgnored && profile.NoResult != noResultDown {
		v.addf(path+".silence", "check %q: silence is ignore or down, not %q", profile.Name, profile.NoResult)
	}
	profile.validateRequest(v, path)
	if profile.Kind == CheckGRPC && p.Checks.GRPCBridge == "" {
		v.addf(path+".kind", "check %q: a grpc check needs checks.grpc_bridge, where grpchealth listens", profile.Name)
	}
	profile.compileExpectation(v, path)
}

func (f *CheckProfile) validateTimes(v *validator, path string) {
	for _, key := range []struct {
		name  string
		value Duration
	}{{"every", f.Interval}, {"fast", f.FastInterval}, {"slow", f.DownInterval}, {"timeout", f.Timeout}} {
		if key.value.Duration < minCheckTime {
			v.addf(path+"."+key.name, "check %q: %s must be at least 10ms, not %v", f.Name, key.name, key.value.Duration)
		}
	}
	if f.FastInterval.Duration > f.Interval.Duration {
		v.addf(path+".fast", "check %q: fast %v is longer than every %v", f.Name, f.FastInterval.Duration, f.Interval.Duration)
	}
	if f.DownInterval.Duration < f.Interval.Duration {
		v.addf(path+".slow", "check %q: slow %v is shorter than every %v", f.Name, f.DownInterval.Duration, f.Interval.Duration)
	}
	if f.Timeout.Duration > maxCheckTimeout {
		v.addf(path+".timeout", "check %q: timeout must be at most 1m, not %v", f.Name, f.Timeout.Duration)
	}
	if nextResult := f.DownInterval.Duration + f.Timeout.Duration; f.ResultTTL.Duration < nextResult {
		v.addf(path+".valid", "check %q: a result that is valid for %v would end before the next, after up to %v", f.Name, f.ResultTTL.Duration, nextResult)
	}
}

func (f *CheckProfile) validateTarget(v *validator, path string) {
	if f.Port < 0 || f.Port > maxPort || f.Port > 0 && f.Addr != "" {
		v.addf(path+".port", "check %q: port is 1 to 65535, and not beside addr", f.Name)
	}
	if f.Addr == "" {
		return
	}
	if _, _, err := net.SplitHostPort(f.Addr); err != nil {
		v.addf(path+".addr", "check %q: addr %q is not host:port", f.Name, f.Addr)
	}
}

func (f *CheckProfile) validateRequest(v *validator, path string) {
	if strings.ContainsAny(f.Path+f.Host+f.Method, " \r\n") || f.Path != "" && f.Path[0] != '/' {
		v.addf(path+".path", "check %q: path %q, host %q and method %q must be without spaces, and the path begin with /", f.Name, f.Path, f.Host, f.Method)
	}
	if f.Send != "" && f.Kind != CheckAgent {
		v.addf(path+".send", "check %q: only an agent is sent something", f.Name)
	}
}

func (f *CheckProfile) compileExpectation(v *validator, path string) {
	var err error
	expectation := &f.Expectation
	expectation.Body = f.BodyContains
	if expectation.Status, err = httpcheck.ParseRanges(f.ExpectStatus); err != nil {
		v.addf(path+".expect", "check %q: expect: %v", f.Name, err)
	}
	if f.DrainStatus != "none" {
		if expectation.Drain, err = httpcheck.ParseRanges(f.DrainStatus); err != nil {
			v.addf(path+".drain", "check %q: drain: %v", f.Name, err)
		}
	}
	if f.BodyMatches != "" {
		if expectation.Match, err = regexp.Compile(f.BodyMatches); err != nil {
			v.addf(path+".match", "check %q: match: %v", f.Name, err)
		}
	}
}
