package config

import (
	"time"

	"rooktrestle/internal/control/health"
)

// HealthRules are the parameters for merging evidence on servers; docs/health.md explains them. A zero value selects
// the default of health.Rules.
type HealthRules struct {
	PanicThreshold     float64  `toml:"panic"`
	MaxEjectedFraction float64  `toml:"eject_most"`
	EjectFailureRate   float64  `toml:"eject_share"`
	MinOutcomes        float64  `toml:"eject_from"`
	OutcomeHalfLife    Duration `toml:"half_life"`
	AnswerValidity     Duration `toml:"fresh"`
	HalfOpenDelay      Duration `toml:"trial_first"`
	MaxHalfOpenDelay   Duration `toml:"trial_most"`
	ReturnSuccesses    int      `toml:"return"`
	RecoveryRamp       Duration `toml:"ramp"`
	FlapSuppress       float64  `toml:"flap_most"`
	WeightRiseTime     Duration `toml:"weight_step"`
}

// maxClasses is the number of classes that fit into the bit sets of the health rules.
const maxClasses = 63

// HealthRules returns the rules of the health table: the defaults, overridden by the values in the file.
func (p *Partners) HealthRules() health.Rules {
	nonIdempotent := uint64(0)
	for i, class := range p.Classes {
		if class.NonIdempotent {
			nonIdempotent |= 1 << i
		}
	}
	rules, configured := health.Defaults(len(p.Classes), nonIdempotent), p.HealthConfig
	override(&rules.PanicThreshold, configured.PanicThreshold)
	override(&rules.MaxEjectedFraction, configured.MaxEjectedFraction)
	override(&rules.EjectFailureRate, configured.EjectFailureRate)
	override(&rules.MinOutcomes, configured.MinOutcomes)
	override(&rules.FlapSuppress, configured.FlapSuppress)
	override(&rules.OutcomeHalfLife, configured.OutcomeHalfLife.Duration)
	override(&rules.AnswerValidity, configured.AnswerValidity.Duration)
	override(&rules.HalfOpenDelay, configured.HalfOpenDelay.Duration)
	override(&rules.MaxHalfOpenDelay, configured.MaxHalfOpenDelay.Duration)
	override(&rules.RecoveryRamp, configured.RecoveryRamp.Duration)
	override(&rules.WeightRiseTime, configured.WeightRiseTime.Duration)
	override(&rules.ReturnSuccesses, configured.ReturnSuccesses)
	return rules
}

// override sets a value to the configured one unless that is zero.
func override[T comparable](value *T, configured T) {
	var zero T
	if configured != zero {
		*value = configured
	}
}

func (p *Partners) validateHealthRules(problems *validator) {
	if len(p.Classes) == 0 || len(p.Classes) > maxClasses {
		return // validateClasses reports it
	}
	if _, err := health.New(p.HealthRules(), nil, time.Unix(0, 0)); err != nil {
		problems.addf("health", "%v", err)
	}
}

// HealthSources returns the check profiles as the health table's sources of evidence, in the same order.
func (p *Partners) HealthSources() (sources []health.CheckConfig) {
	for _, profile := range p.CheckProfiles {
		sources = append(sources, health.CheckConfig{
			Name:           profile.Name,
			Fall:           profile.Fall,
			Rise:           profile.Rise,
			Validity:       profile.ResultTTL.Duration,
			IgnoreFailures: profile.NoResult == noResultIgnored,
		})
	}
	return sources
}
