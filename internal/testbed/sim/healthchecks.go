package sim

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/health"
)

// startHealthChecks creates the health table, and schedules the first health checks of the servers.
func (h *aggregatorHost) startHealthChecks(servers []health.Server) (err error) {
	check := health.CheckConfig{Name: "check", Fall: 2, Rise: 1, Validity: 4 * time.Second}
	defaults := health.Defaults(classCount, 1<<correction)
	if h.healthTable, err = health.New(defaults, []health.CheckConfig{check}, StartTime); err != nil {
		return err
	}
	h.healthTable.ReplaceEndpoints(StartTime, servers)
	firstCheck := time.Duration(h.world.rng.Float64() * float64(healthCheckInterval))
	h.world.at(StartTime.Add(firstCheck), h.runHealthChecks)
	return nil
}

// AttemptEnded records the result of an attempt as health evidence.
func (h *aggregatorHost) AttemptEnded(now time.Time, a aggregator.AttemptSummary) {
	if h.healthTable == nil {
		return
	}
	result := a.HealthResult(now, classes()[a.Class].Objective)
	h.healthTable.RecordOutcome(now, health.ID(a.Server), a.Class, result, a.Sent)
}

// healthCheckInterval is the time between two checks of a replica.
const healthCheckInterval = time.Second

// runHealthChecks checks every replica, and schedules the next checks after healthCheckInterval.
func (h *aggregatorHost) runHealthChecks() {
	for _, r := range h.world.replicas {
		result := health.CheckResult{Oper: health.Up, Weight: -1, MaxConn: -1}
		if !r.checksPass || !r.up || r.unreachable {
			result = health.CheckResult{Failed: true, Weight: -1, MaxConn: -1}
		}
		h.healthTable.RecordCheck(h.world.now, health.ID(r.id), 0, result)
	}
	h.publishHealthChanges()
	h.world.after(healthCheckInterval, h.runHealthChecks)
}

// publishHealthChanges passes changes of the health table to the core as changes of the endpoint list.
func (h *aggregatorHost) publishHealthChanges() {
	changes := h.healthTable.Changes(h.world.now)
	if len(changes) > 0 {
		list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
		for _, change := range changes {
			list.Servers = append(list.Servers, h.applyHealthChange(change))
		}
		h.post(list)
	}
	if at, ok := h.healthTable.NextDeadline(); ok && at.After(h.world.now) {
		h.world.at(at, func() {
			if len(h.inbox) == 0 {
				h.publishHealthChanges()
			}
		})
	}
}

// applyHealthChange stores a replica's new limits, and returns its changed entry of the endpoint list.
func (h *aggregatorHost) applyHealthChange(change health.Change) aggregator.Server {
	r := h.world.replicaByID[balance.Replica(change.ID)]
	h.healthLimits[r.id] = balance.HealthLimits{
		TrafficFraction: change.TrafficFraction,
		MaxInFlight:     change.MaxInFlight,
		EjectedClasses:  change.EjectedClasses,
		HalfOpenClasses: change.HalfOpenClasses,
	}
	server := h.endpoint(r)
	if change.State != health.InService && server.State == balance.InService {
		server.State = balance.Draining
	}
	return server
}
