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

func (p *Partners) validateChecks(problems *validator) {
	checks := p.Checks
	problems.requireMin("checks.fall", checks.Fall, 1)
	problems.requireMin("checks.rise", checks.Rise, 1)
	problems.requireMin("checks.at_once", checks.MaxConcurrent, 2)
	if !(checks.MaxStartsPerSecond > 0 && checks.MaxStartsPerSecond <= 1e6) { // written so that NaN is a problem, too
		problems.addf("checks.per_second", "checks.per_second must be over 0 and at most 1000000, not %v",
			checks.MaxStartsPerSecond)
	}
	if !(checks.Jitter >= 0 && checks.Jitter <= 0.5) {
		problems.addf("checks.jitter", "checks.jitter must be 0 to 0.5, not %v", checks.Jitter)
	}
	if checks.MaxConcurrent > p.Limits.Sockets/4 {
		problems.addf("checks.at_once", "checks.at_once %d is over a quarter of limits.sockets %d",
			checks.MaxConcurrent, p.Limits.Sockets)
	}
	for i := range p.CheckProfiles {
		profile := &p.CheckProfiles[i]
		path := fmt.Sprintf("check.%d", i)
		if profile.Name == "" || p.CheckProfile(profile.Name) != profile {
			problems.addf(path, "check %q has no name, or stands twice", profile.Name)
		}
		p.validateCheckProfile(problems, profile, path)
	}
	p.validateServerChecks(problems)
}

// validateServerChecks checks the servers' lists of checks, and that the checks of all servers fit their budget: a fleet
// over the budget would have all checks late all the time.
func (p *Partners) validateServerChecks(problems *validator) {
	startsPerSecond := 0.0
	for i, server := range p.Servers {
		path := fmt.Sprintf("server.%d.checks", i)
		for j, name := range server.Checks {
			profile := p.CheckProfile(name)
			switch {
			case profile == nil:
				problems.addf(path, "server %q: check %q is not there", server.ID, name)
				continue
			case slices.Contains(server.Checks[:j], name):
				problems.addf(path, "server %q: check %q stands twice", server.ID, name)
			}
			if profile.Interval.Duration > 0 {
				startsPerSecond += 1 / profile.Interval.Seconds()
			}
		}
	}
	if startsPerSecond > p.Checks.MaxStartsPerSecond {
		problems.addf("checks.per_second", "the servers' checks come to %.0f a second, over checks.per_second %v",
			startsPerSecond, p.Checks.MaxStartsPerSecond)
	}
}

// validateCheckProfile checks the profile at a path and compiles its expectation.
func (p *Partners) validateCheckProfile(problems *validator, profile *CheckProfile, path string) {
	if !slices.Contains(checkKinds, profile.Kind) {
		problems.addf(path+".kind", "check %q: kind %q is none of agent, http, tcp, z3950, sru, grpc",
			profile.Name, profile.Kind)
	}
	profile.validateTimes(problems, path)
	problems.requireMin(path+".fall", profile.Fall, 1)
	problems.requireMin(path+".rise", profile.Rise, 1)
	profile.validateTarget(problems, path)
	if profile.NoResult != noResultIgnored && profile.NoResult != noResultDown {
		problems.addf(path+".silence", "check %q: silence is ignore or down, not %q",
			profile.Name, profile.NoResult)
	}
	profile.validateRequest(problems, path)
	if profile.Kind == CheckGRPC && p.Checks.GRPCBridge == "" {
		problems.addf(path+".kind", "check %q: a grpc check needs checks.grpc_bridge, where grpchealth listens",
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
		problems.addf(path+".fast", "check %q: fast %v is longer than every %v",
			f.Name, f.FastInterval.Duration, f.Interval.Duration)
	}
	if f.DownInterval.Duration < f.Interval.Duration {
		problems.addf(path+".slow", "check %q: slow %v is shorter than every %v",
			f.Name, f.DownInterval.Duration, f.Interval.Duration)
	}
	if f.Timeout.Duration > maxCheckTimeout {
		problems.addf(path+".timeout", "check %q: timeout must be at most 1m, not %v",
			f.Name, f.Timeout.Duration)
	}
	if nextResult := f.DownInterval.Duration + f.Timeout.Duration; f.ResultTTL.Duration < nextResult {
		problems.addf(path+".valid", "check %q: a result that is valid for %v would end before the next, after up to %v",
			f.Name, f.ResultTTL.Duration, nextResult)
	}
}

func (f *CheckProfile) validateTarget(problems *validator, path string) {
	if f.Port < 0 || f.Port > maxPort || f.Port > 0 && f.Addr != "" {
		problems.addf(path+".port", "check %q: port is 1 to 65535, and not beside addr", f.Name)
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
			"check %q: path %q, host %q and method %q must be without spaces, and the path begin with /",
			f.Name, f.Path, f.Host, f.Method)
	}
	if f.Send != "" && f.Kind != CheckAgent {
		problems.addf(path+".send", "check %q: only an agent is sent something", f.Name)
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
