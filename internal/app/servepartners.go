package app

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"rooktrestle/internal/config"
)

// ServePartners serves SRU and Z39.50 as an operator's file configures until SIGTERM or SIGINT. SIGUSR1 logs the
// counters. SIGHUP polls the shard map's source and validates the file, whose changes take effect at the next start.
// TMPDIR names the directory with the state that outlives a process.
func ServePartners(path string, log *slog.Logger) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // from the start: an unhandled SIGHUP would kill the process
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	conf.StateDir = os.Getenv("TMPDIR")
	debug.SetMemoryLimit(int64(conf.Limits.MemoryMB) << 20 * 3 / 4)
	terminations, counterRequests := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(counterRequests, syscall.SIGUSR1)
	deployment, err := StartPartners(conf, rand.Uint64(), log)
	if err != nil {
		return err
	}
	for running := true; running; {
		select {
		case <-reloads:
			deployment.reload(path)
		case <-counterRequests:
			log.Info("counters", "report", deployment.CountersText())
		case <-terminations:
			running = false
		}
	}
	log.Info("shutting down")
	deployment.Stop(shutdownGrace)
	log.Info("counters", "report", deployment.countersText()) // the loop has ended
	return nil
}

// reload polls the shard map's source and logs whether the operator's file is valid.
func (p *PartnersDeployment) reload(path string) {
	if p.shardMaps != nil {
		p.shardMaps.requestPoll()
	}
	if err := CheckPartners(io.Discard, path); err != nil {
		p.log.Error("new configuration is invalid, keeping the former one", "err", err.Error())
		return
	}
	p.log.Info("new configuration is valid, waits for the next start")
}
