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
	minCheckTime    = 10 * time.Millisecond // minimum of intervals and timeouts
	maxCheckTimeout = time.Minute
	maxPort         = 65535
)

// checkKinds lists all kinds of check.
var checkKinds = []string{CheckAgent, CheckHTTP, CheckTCP, CheckZ3950, CheckSRU, CheckGRPC}

func (p *Partners) validateChecks(problems *validator) {
	checks := p.Checks
	problems.requireMin("checks.fall", checks.Fall, 1)
	problems.requireMin("checks.rise", checks.Rise, 1)
	problems.requireMin("checks.at_once", checks.MaxConcurrent, 2)
	if !(checks.MaxStartsPerSecond > 0 && checks.MaxStartsPerSecond <= 1e6) { // negated so that NaN is rejected, too
		problems.addf("checks.per_second", "checks.per_second must be over 0 and at most 1000000, not %v",
			checks.MaxStartsPerSecond)
	}
	if !(checks.Jitter >= 0 && checks.Jitter <= 0.5) {
		problems.addf("checks.jitter", "checks.jitter must be 0 to 0.5, not %v", checks.Jitter)
	}
	if checks.MaxConcurrent > p.Limits.Sockets/4 {
		problems.addf("checks.at_once", "checks.at_once %d must be at most a quarter of limits.sockets %d",
			checks.MaxConcurrent, p.Limits.Sockets)
	}
	for i := range p.CheckProfiles {
		profile := &p.CheckProfiles[i]
		path := fmt.Sprintf("check.%d", i)
		if profile.Name == "" || p.CheckProfile(profile.Name) != profile {
			problems.addf(path, "check %q: the name is missing or used twice", profile.Name)
		}
		p.validateCheckProfile(problems, profile, path)
	}
	p.validateServerChecks(problems)
}

// validateServerChecks validates the servers' lists of checks, and that the checks of all servers fit into the budget:
// over budget, all checks would always be delayed.
func (p *Partners) validateServerChecks(problems *validator) {
	startsPerSecond := 0.0
	for i, server := range p.Servers {
		path := fmt.Sprintf("server.%d.checks", i)
		for j, name := range server.Checks {
			profile := p.CheckProfile(name)
			switch {
			case profile == nil:
				problems.addf(path, "server %q: check %q is not defined", server.ID, name)
				continue
			case slices.Contains(server.Checks[:j], name):
				problems.addf(path, "server %q: check %q is listed twice", server.ID, name)
			}
			if profile.Interval.Duration > 0 {
				startsPerSecond += 1 / profile.Interval.Seconds()
			}
		}
	}
	if startsPerSecond > p.Checks.MaxStartsPerSecond {
		problems.addf("checks.per_second",
			"the servers' checks need %.0f starts per second, more than checks.per_second %v",
			startsPerSecond, p.Checks.MaxStartsPerSecond)
	}
}

// validateCheckProfile validates the profile at a path and compiles its expectation.
func (p *Partners) validateCheckProfile(problems *validator, profile *CheckProfile, path string) {
	if !slices.Contains(checkKinds, profile.Kind) {
		problems.addf(path+".kind", "check %q: kind %q must be one of agent, http, tcp, z3950, sru, grpc",
			profile.Name, profile.Kind)
	}
	profile.validateTimes(problems, path)
	problems.requireMin(path+".fall", profile.Fall, 1)
	problems.requireMin(path+".rise", profile.Rise, 1)
	profile.validateTarget(problems, path)
	if profile.NoResult != noResultIgnored && profile.NoResult != noResultDown {
		problems.addf(path+".silence", "check %q: silence must be ignore or down, not %q",
			profile.Name, profile.NoResult)
	}
	profile.validateRequest(problems, path)
	if profile.Kind == CheckGRPC && p.Checks.GRPCBridge == "" {
		problems.addf(path+".kind",
			"check %q: kind grpc requires checks.grpc_bridge, the address of grpchealth --bridge",
			profile.Name)
	}
	profile.compileExpectation(problems, path)
}

func (f *CheckProfile) validateTimes(problems *validator, path string) {
	for _, key := range []struct {
		name  string
		value Duration
	}{{"every", f.Interval}, {"fast", f.FastInterval}, {"slow", f.DownInterval}, {"timeout", f.Timeout}} {
		if key.value.Duration < minCheckTime {
			problems.addf(path+"."+key.name, "check %q: %s must be at least 10ms, not %v",
				f.Name, key.name, key.value.Duration)
		}
	}
	if f.FastInterval.Duration > f.Interval.Duration {
		problems.addf(path+".fast", "check %q: fast %v must not be longer than every %v",
			f.Name, f.FastInterval.Duration, f.Interval.Duration)
	}
	if f.DownInterval.Duration < f.Interval.Duration {
		problems.addf(path+".slow", "check %q: slow %v must not be shorter than every %v",
			f.Name, f.DownInterval.Duration, f.Interval.Duration)
	}
	if f.Timeout.Duration > maxCheckTimeout {
		problems.addf(path+".timeout", "check %q: timeout must be at most 1m, not %v",
			f.Name, f.Timeout.Duration)
	}
	nextResult := f.DownInterval.Duration + f.Timeout.Duration
	if ttl := f.ResultTTL.Duration; ttl > 0 && ttl < nextResult {
		problems.addf(path+".valid", "check %q: valid %v is shorter than the time until the next result, up to %v",
			f.Name, f.ResultTTL.Duration, nextResult)
	}
}

func (f *CheckProfile) validateTarget(problems *validator, path string) {
	if f.Port < 0 || f.Port > maxPort || f.Port > 0 && f.Addr != "" {
		problems.addf(path+".port", "check %q: port %d must be 1 to 65535, and must not be set together with addr",
			f.Name, f.Port)
	}
	if f.Addr == "" {
		return
	}
	if _, _, err := net.SplitHostPort(f.Addr); err != nil {
		problems.addf(path+".addr", "check %q: addr %q is not host:port", f.Name, f.Addr)
	}
}

func (f *CheckProfile) validateRequest(problems *validator, path string) {
	if strings.ContainsAny(f.Path+f.Host+f.Method, " \r\n") || f.Path != "" && f.Path[0] != '/' {
		problems.addf(path+".path",
			"check %q: path %q, host %q and method %q must have no spaces or line breaks, and path must begin with /",
			f.Name, f.Path, f.Host, f.Method)
	}
	if f.Send != "" && f.Kind != CheckAgent {
		problems.addf(path+".send", "check %q: send is allowed for kind agent only, not %q", f.Name, f.Kind)
	}
}

func (f *CheckProfile) compileExpectation(problems *validator, path string) {
	var err error
	expectation := &f.Expectation
	expectation.Body = f.BodyContains
	if expectation.Status, err = httpcheck.ParseRanges(f.ExpectStatus); err != nil {
		problems.addf(path+".expect", "check %q: expect: %v", f.Name, err)
	}
	if f.DrainStatus != "none" {
		if expectation.Drain, err = httpcheck.ParseRanges(f.DrainStatus); err != nil {
			problems.addf(path+".drain", "check %q: drain: %v", f.Name, err)
		}
	}
	if f.BodyMatches != "" {
		if expectation.Match, err = regexp.Compile(f.BodyMatches); err != nil {
			problems.addf(path+".match", "check %q: match: %v", f.Name, err)
		}
	}
}
