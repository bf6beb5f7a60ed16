package app

import (
	"time"

	"rooktrestle/balance"
	adminfront "rooktrestle/internal/frontend/admin"
	"rooktrestle/internal/frontend/platform"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/settings"
)

const (
	// reservedSockets are set aside for the listener, discovery, pollers and standard streams.
	reservedSockets = 32
	// controlSockets are set aside for operators' calls and their listener, if a control address is configured.
	controlSockets = adminfront.MaxConns + 4
	// keepAliveDivisor: clients use at most a third of the sockets for requests, and half of that third may be idle
	// keep-alive connections.
	keepAliveDivisor = 6
	// requestReadTimeout is the time to read a request. A client that does not complete its request in time receives an
	// error, or its connection is closed.
	requestReadTimeout = 2200 * time.Millisecond
	// keepAliveTimeout is how long a connection may be idle between requests.
	keepAliveTimeout = 15 * time.Second
	// evictableAfter is the idle time after which a connection may be closed in favor of a new one.
	evictableAfter = 2 * time.Second
)

// newFrontend creates the HTTP frontend and the limiter of its connections.
func (s *platformServer) newFrontend() {
	deployment := s.node.Deployment
	s.frontend = platform.New(platform.Options{
		Vocabulary: frontendVocabulary(deployment, indexByName(deployment.Classes), indexByName(deployment.Tenants)),
		Shards:     deployment.BalancerSettings.Shards,
		Timeouts: httpserve.Timeouts{
			FirstRequest:   requestReadTimeout,
			Idle:           keepAliveTimeout,
			ReadRequest:    requestReadTimeout,
			EvictableAfter: evictableAfter,
		},
	}, s.mailbox.Put, s.clock.Now, func() (text string) {
		s.loop.Do(func() { text = s.countersText() })
		return text
	})
	s.frontend.MaxKeepAlive = s.node.Sockets / keepAliveDivisor
	s.memory = membudget.New(clientMemory(s.node.MemoryMB), s.clock.Now)
	s.frontend.Memory = s.memory
	reserved := reservedSockets
	if s.node.Control != "" {
		reserved += controlSockets
	}
	s.limiter = &tcp.ConnLimiter{
		Max:   min(s.node.Sockets-s.node.Sockets/3-reserved, maxConnsInMemory(s.node.MemoryMB)),
		Evict: func() bool { return s.frontend.EvictIdle(true) },
	}
}

// frontendVocabulary returns what requests may name: the given classes and tenants, with their indices in deployment.
func frontendVocabulary(deployment settings.Deployment, classes, tenants map[string]int) platform.Vocabulary {
	vocabulary := platform.Vocabulary{Classes: map[string]platform.Class{}, Tenants: tenants}
	named := make([]balance.Class, 0, len(classes))
	for name, index := range classes {
		class := deployment.BalancerSettings.Classes[index]
		vocabulary.Classes[name] = platform.Class{Index: index, Keyed: class.Idempotency == balance.KeyedIdempotent}
		named = append(named, class)
	}
	vocabulary.MaxTimeout = maxTimeout(named)
	return vocabulary
}

// indexByName returns the position of each name.
func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}

// maxTimeout returns the longest timeout that a client can request; longer ones are reduced to it.
func maxTimeout(classes []balance.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return 2 * longest
}
