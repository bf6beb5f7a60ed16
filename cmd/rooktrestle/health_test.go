package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/replica"
)

// runProgram runs the program until it exits.
func runProgram(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "ROOKTRESTLE_PROGRAM=1")
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	var exited *exec.ExitError
	if err != nil && !errors.As(err, &exited) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), o.String(), e.String()
}

// The command checks every server once, and prints the result of each check and the resulting state. Its exit status is
// 1 if a server is not healthy.
func TestHealthCommand(t *testing.T) {
	// A long timeout, so that a busy machine does not change the results.
	in, err := deployment.Start(deployment.Options{
		Replicas:      4,
		Reach:         2,
		Seed:          1,
		Agents:        true,
		CheckInterval: 30 * time.Second,
		CheckTimeout:  20 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer in.Stop()
	status, out, errs := runProgram(t, "health", in.ConfigPath)
	if status != 0 || strings.Count(out, "in service") != 4 || strings.Count(out, "check init") != 2 {
		t.Errorf("%d %s %s", status, out, errs)
	}
	in.Agents[3].Set("up drain #festival", replica.Respond)
	in.Replica("n0").SetHealth(replica.Health{Status: 500})
	in.Replica("n1").Kill() // n0 and n1 are the only replicas of block 0
	status, out, errs = runProgram(t, "health", in.ConfigPath, "--json")
	if status != 1 || !strings.Contains(errs, "not every server") {
		t.Errorf("%d %s", status, errs)
	}
	var reports []struct {
		Server, State, Cause string
		Usable               bool
		Facts                []struct{ Source, Says string }
	}
	if err := json.Unmarshal([]byte(out), &reports); err != nil || len(reports) != 4 {
		t.Fatal(err, out)
	}
	for i, want := range []struct{ state, cause string }{
		{"in service", "status 500); but it holds block 0 alone"},
		{"in service", "holds block 0 alone"},
		{"in service", ""},
		{"draining", "drain (festival)"},
	} {
		r := reports[i]
		matches := r.State == want.state && strings.Contains(r.Cause, want.cause)
		if !matches || len(r.Facts) < 3 || r.Usable != (i == 2) {
			t.Errorf("%+v, want %v", r, want)
		}
	}
}

// Each problem of an invalid file is printed on a line of its own, with its line number.
func TestCommands_InvalidFile_LineForEachProblem(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	writeFile(t, bad, "[listen]\nsru = \"x\"\n")
	for _, args := range [][]string{{"health", bad}, {"check-config", bad}, {"serve", "--front", bad}} {
		status, _, errs := runProgram(t, args...)
		lines := strings.Split(strings.TrimSpace(errs), "\n")
		if status != 2 || len(lines) < 3 || !strings.Contains(errs, bad+":2: ") {
			t.Errorf("%v: %d %s", args, status, errs)
		}
	}
	if status, _, errs := runProgram(t, "serve", "--log-format", "xml"); status != 2 || !strings.Contains(errs, "text or json") {
		t.Errorf("%d %s", status, errs)
	}
}

// With --watch, changes of state are printed as they occur.
func TestHealthCommand_Watch(t *testing.T) {
	in, err := deployment.Start(deployment.Options{
		Replicas:      4,
		Reach:         2,
		Seed:          1,
		Agents:        true,
		CheckInterval: 50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer in.Stop()
	cmd := exec.Command(os.Args[0], "health", in.ConfigPath, "--watch", "--json")
	cmd.Env = append(os.Environ(), "ROOKTRESTLE_PROGRAM=1")
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = cmd.Process.Kill(), cmd.Wait() }() // with --watch it does not exit by itself
	d := json.NewDecoder(pipe)
	for seen := 0; ; seen++ {
		var w struct{ Server, State string }
		if err := d.Decode(&w); err != nil {
			t.Fatal(err)
		}
		if seen == 3 { // all four have been printed
			in.Agents[2].Set("maint", replica.Respond)
		}
		if w.Server == "n2" && w.State == "out" {
			return
		}
	}
}
