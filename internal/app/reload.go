package app

import (
	"os"
	"runtime/debug"
	"slices"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/settings"
)

// handleReloads reloads the configuration on each signal, until stop is closed. It runs off the loop.
func (s *platformServer) handleReloads(reloads <-chan os.Signal) {
	node := s.node
	for {
		select {
		case <-reloads:
			node = s.reload(node)
		case <-s.stop:
			return
		}
	}
}

// reload reads the configuration again and applies the changes that a running process supports, all of them or none.
// After an error the previous configuration stays in effect.
func (s *platformServer) reload(node config.Node) config.Node {
	next, restartNeeded, err := node.Reload(os.Getenv)
	if err == nil {
		err = s.applySettings(next.Deployment)
	}
	if err != nil {
		s.operators.reloads.invalid.Add(1)
		logf("configuration reload failed, keeping the former one: %v", err)
		return node
	}
	s.operators.reloads.loaded.Add(1)
	debug.SetMemoryLimit(memoryLimit(next))
	s.memory.SetLimit(clientMemory(next.MemoryMB))
	if next.Discovery != node.Discovery {
		s.watcher.SwitchTo(next.Discovery)
	}
	if restartNeeded {
		logf("configuration reloaded: what else changed waits for the next start")
	} else {
		logf("configuration reloaded")
	}
	return next
}

// applySettings applies new classes, tenants and limits. When it returns, new requests are parsed with them.
func (s *platformServer) applySettings(next settings.Deployment) error {
	result := make(chan error, 1)
	s.mailbox.Put(aggregator.RunOnLoop(func() { result <- s.applySettingsOnLoop(next) }))
	select {
	case err := <-result:
		return err
	case <-s.loopDone:
		return errBusy
	}
}

func (s *platformServer) applySettingsOnLoop(next settings.Deployment) error {
	now := s.clock.Now()
	change := s.generations.Adopt(now, next, s.core.ClassInUse)
	merged := change.Deployment
	if err := s.core.Reconfigure(merged.BalancerSettings, platformLimits(merged), change.ReplacedClasses); err != nil {
		return err
	}
	s.balancerSettings = merged.BalancerSettings
	s.frontend.SetVocabulary(frontendVocabulary(merged, change.Classes, change.Tenants), now)
	s.operators.classes = slices.Clone(next.Classes)
	return nil
}
