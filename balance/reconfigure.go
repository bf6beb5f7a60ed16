package balance

// This file decides nothing: it takes over settings that change while a balancer runs.

import (
	"rooktrestle/internal/control/retrydetect"
	"rooktrestle/internal/control/suspicion"
	"rooktrestle/internal/control/tokenbucket"
)

// Reconfigure takes the classes, tenants and limits of attempts of other settings; the rest stays. Queries that are open
// keep the class and the number of attempts that they came under. An index that stood for another class before is fresh:
// what was learned of that class is forgotten. After an error nothing has changed.
func (b *Balancer) Reconfigure(next Settings, fresh []int) error {
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
	for _, class := range fresh {
		b.forgetClass(class)
	}
	return nil
}

// resizeClasses makes room for what is learned of so many classes.
func (b *Balancer) resizeClasses(classes int) {
	for len(b.firstAttempts) < classes {
		b.firstAttempts = append(b.firstAttempts, retrydetect.Detector{})
		b.suspectUntil = append(b.suspectUntil, 0)
	}
	for _, server := range b.servers {
		for len(server.PerClass) < classes {
			server.PerClass = append(server.PerClass, suspicion.Record{})
		}
	}
}

// forgetClass forgets what was learned of the class that an index stood for.
func (b *Balancer) forgetClass(class int) {
	b.firstAttempts[class] = retrydetect.Detector{}
	b.suspectUntil[class] = 0
	for _, server := range b.servers {
		server.PerClass[class] = suspicion.Record{}
	}
}
