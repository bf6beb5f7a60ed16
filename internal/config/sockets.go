package config

import (
	"net"
	"time"
)

// SocketLimits has the number of sockets that each listener may use.
type SocketLimits struct {
	SRU    int `toml:"sru"`
	Z3950  int `toml:"z3950"`
	Health int `toml:"health"`
	Agent  int `toml:"agent"`
}

const (
	// reservedSockets are set aside for listeners, pollers, standard streams and files.
	reservedSockets = 32
	// maxAgentWait is the longest configurable wait of an agent-check: load balancers time out soon after.
	maxAgentWait = time.Second
)

// frontendSockets returns the number of sockets that the listeners share: half of all sockets, less the reserved ones.
// Connections to servers and health checks use the other half.
func (p *Partners) frontendSockets() int { return p.Limits.Sockets/2 - reservedSockets }

// setSocketDefaults divides the frontends' sockets: a tenth for health, a twentieth for agent-checks, and of the
// remainder three fifths for SRU and two fifths for Z39.50.
func (p *Partners) setSocketDefaults() {
	total := max(8, p.frontendSockets())
	limits := &p.Listen.SocketLimits
	setDefault(&limits.Health, max(2, total/10))
	setDefault(&limits.Agent, max(2, total/20))
	remaining := max(2, total-limits.Health-limits.Agent)
	switch {
	case p.Listen.SRU == "":
		setDefault(&limits.Z3950, remaining)
	case p.Listen.Z3950 == "":
		setDefault(&limits.SRU, remaining)
	case limits.SRU == 0 && limits.Z3950 == 0:
		limits.Z3950 = remaining * 2 / 5
		limits.SRU = remaining - limits.Z3950
	default:
		setDefault(&limits.SRU, max(1, remaining-limits.Z3950))
		setDefault(&limits.Z3950, max(1, remaining-limits.SRU))
	}
}

func (p *Partners) validateListeners(problems *validator) {
	sum := 0
	for _, listener := range []struct {
		name, addr string
		sockets    int
	}{
		{"sru", p.Listen.SRU, p.Listen.SocketLimits.SRU},
		{"z3950", p.Listen.Z3950, p.Listen.SocketLimits.Z3950},
		{"health", p.Listen.Health, p.Listen.SocketLimits.Health},
		{"agent", p.Listen.Agent, p.Listen.SocketLimits.Agent},
	} {
		if listener.addr == "" {
			continue
		}
		problems.requireMin("listen.share."+listener.name, listener.sockets, 1)
		sum += listener.sockets
		if _, _, err := net.SplitHostPort(listener.addr); err != nil {
			problems.addf("listen."+listener.name, "listen: %s = %q is not host:port",
				listener.name, listener.addr)
		}
	}
	if available := p.frontendSockets(); sum > available {
		problems.addf("listen.share",
			"the listeners use %d sockets in total, but only %d of limits.sockets %d are available to them",
			sum, max(0, available), p.Limits.Sockets)
	}
	if p.Listen.AgentWait.Duration > maxAgentWait {
		problems.addf("listen.agent_wait", "agent_wait must be at most 1s, not %v: load balancers time out soon after",
			p.Listen.AgentWait.Duration)
	}
}
