package app

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/backend/healthcheck"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/net/tcp"
)

// CheckServers asks the servers of an operator's file by every check they have, once, or with watch again and again
// until stop is closed, and prints what each source says and what follows. It says whether all may be used. What only
// a running mixer knows, how real parts end, is not part of it: that is at /servers of the mixer's health listener.
func CheckServers(path string, watch, asJSON bool, out io.Writer, stop <-chan struct{}) (good bool, err error) {
	conf, err := config.LoadPartners(path)
	if err != nil {
		return false, err
	}
	sources := conf.HealthSources()
	if !watch { // one word is all there will be
		for i := range sources {
			sources[i].Fall, sources[i].Rise = 1, 1
		}
	}
	table, err := health.New(conf.HealthRules(), sources, time.Now())
	if err != nil {
		return false, err
	}
	var nodes []health.Server
	for _, s := range conf.Servers {
		nodes = append(nodes, health.Server{ID: health.ID(s.ID), Shards: blocksOf(conf, s.Cell)})
	}
	table.UpdateEndpoints(time.Now(), nodes, true)
	last := map[string]string{}
	for {
		askAll(conf, table)
		now := time.Now()
		table.Changes(now)
		var words []ServerHealth
		good = true
		for _, s := range conf.Servers {
			w := wordOn(table, now, s.ID)
			good = good && w.State == health.InService.String() && w.Usable && w.EjectedClasses == 0
			said := w.State + w.Cause
			if before, ok := last[s.ID]; !ok || before != said {
				words = append(words, w)
			}
			last[s.ID] = said
		}
		if err := printWords(out, words, asJSON, watch); err != nil {
			return good, err
		}
		if !watch {
			return good, nil
		}
		select {
		case <-stop:
			return good, nil
		case <-time.After(conf.Checks.Interval.Duration):
		}
	}
}

// sourced is a check, and which source of evidence it is.
type sourced struct {
	healthcheck.Check
	source int
}

// checksOf are the checks of a server.
func checksOf(conf *config.Partners, s config.Server) (list []sourced) {
	for _, name := range s.Checks {
		for i := range conf.CheckProfiles {
			if f := &conf.CheckProfiles[i]; f.Name == name {
				list = append(list, sourced{healthcheck.Check{Profile: f, Addr: f.AddrFor(s), Bridge: conf.Checks.GRPCBridge, Dial: tcp.DialServerFirst}, i})
			}
		}
	}
	return list
}

// askAll makes each check of each server, within the file's budget of checks at once.
func askAll(conf *config.Partners, table *health.Table) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, conf.Checks.MaxConcurrent)
	for _, s := range conf.Servers {
		for _, one := range checksOf(conf, s) {
			wait.Add(1)
			slots <- struct{}{}
			go func() {
				defer wait.Done()
				res := one.Run()
				<-slots
				mu.Lock()
				defer mu.Unlock()
				table.RecordCheck(time.Now(), health.ID(s.ID), one.source, res.CheckResult)
			}()
		}
	}
	wait.Wait()
}

func printWords(out io.Writer, words []ServerHealth, asJSON, lines bool) error {
	if asJSON {
		if !lines {
			text, err := json.MarshalIndent(words, "", "  ")
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s\n", text)
			return err
		}
		for _, w := range words {
			text, err := json.Marshal(w)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(out, "%s\n", text); err != nil {
				return err
			}
		}
		return nil
	}
	for _, w := range words {
		how := w.State
		if w.State == health.InService.String() && w.EjectedClasses != 0 {
			how += ", as a last resort"
		}
		if w.TrafficFraction < 1 {
			how += fmt.Sprintf(", share %.0f%%", 100*w.TrafficFraction)
		}
		if w.MaxInFlight > 0 {
			how += fmt.Sprintf(", at most %d parts at once", w.MaxInFlight)
		}
		if w.Cause != "" {
			how += ": " + w.Cause
		}
		if _, err := fmt.Fprintf(out, "%s  %s\n", w.ID, how); err != nil {
			return err
		}
		for _, f := range w.Facts {
			age := ""
			if f.Age >= 0 {
				age = ", " + f.Age.Round(time.Millisecond).String() + " ago"
			}
			if !f.Counts {
				age += ", does not count"
			}
			fmt.Fprintf(out, "  %s %s%s\n", pad(f.Source, 24), f.Says, age)
		}
	}
	return nil
}

func pad(s string, n int) string {
	if len(s) >= n {
		return s
	}
	return s + strings.Repeat(" ", n-len(s))
}
