package balance

// This file decides nothing: it applies settings that change while a Balancer runs.

import (
	"rooktrestle/internal/control/retrydetect"
	"rooktrestle/internal/control/suspicion"
	"rooktrestle/internal/control/tokenbucket"
)

// Reconfigure replaces the classes, the tenants, the maximum number of attempts and the longest Retry-After
// by those of next; all other settings stay. Open queries keep the class and the number of attempts under
// which they arrived. replacedClasses contains the class indices that now refer to another class: the state
// learned of the previous class is discarded. If Reconfigure returns an error, nothing has changed.
func (b *Balancer) Reconfigure(next Settings, replacedClasses []int) error {
	merged := b.settings
	merged.Classes = next.Classes
	merged.Tenants = next.Tenants
	merged.OverQuotaFactor = next.OverQuotaFactor
	merged.MaxAttempts = next.MaxAttempts
	merged.MaxRetryAfter = next.MaxRetryAfter
	if err := merged.check(); err != nil {
		return err
	}
	b.settings = merged
	b.minObjective = merged.minObjective()
	b.tenantRates = tokenbucket.New(merged.tenantRates())
	b.resizeClasses(len(merged.Classes))
	for _, class := range replacedClasses {
		b.forgetClass(class)
	}
	return nil
}

// resizeClasses grows the state that is stored by class to the given number of classes.
func (b *Balancer) resizeClasses(classes int) {
	for len(b.retryDetectors) < classes {
		b.retryDetectors = append(b.retryDetectors, retrydetect.Detector{})
		b.suspectUntil = append(b.suspectUntil, 0)
	}
	for _, server := range b.servers {
		for len(server.PerClass) < classes {
			server.PerClass = append(server.PerClass, suspicion.Record{})
		}
	}
}

// forgetClass discards the state learned of the class to which an index referred.
func (b *Balancer) forgetClass(class int) {
	b.retryDetectors[class] = retrydetect.Detector{}
	b.suspectUntil[class] = 0
	for _, server := range b.servers {
		server.PerClass[class] = suspicion.Record{}
	}
}
