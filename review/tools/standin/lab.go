// Command standin holds the stand-ins and the checks of the review's cases: `standin CASE`. Each case starts the
// project's own program as separate processes and plays its clients, servers and platform itself.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is one run of a case: its record, its folder for temporary files, and the processes that it started.
type lab struct {
	root    string // of the repository
	tmp     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

func newLab(folder string) *lab {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fatal(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal(err)
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	return &lab{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(exitNotRun)
}

// log writes one line to the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes, removes the temporary folder, prints the verdict and exits.
func (l *lab) finish(code int, format string, args ...any) {
	verdict := fmt.Sprintf(format, args...)
	for _, p := range l.procs {
		p.kill()
	}
	l.log("verdict %d: %s", code, verdict)
	_ = l.record.Close()
	_ = os.RemoveAll(l.tmp)
	fmt.Printf("verdict %d: %s\n", code, verdict)
	os.Exit(code)
}

// check ends the case as not run if err is set.
func (l *lab) check(err error, what string) {
	if err != nil {
		l.finish(exitNotRun, "%s: %v", what, err)
	}
}

// process is one process of the project's program.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// run starts a command line as the platform does: by /bin/sh -c, from the repository's root.
func (l *lab) run(name, command string, env ...string) *process {
	logFile, err := os.Create(filepath.Join(l.tmp, name+".log"))
	l.check(err, "log of "+name)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = l.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.check(cmd.Start(), "start "+name)
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	l.procs = append(l.procs, p)
	l.log("started %s: %s", name, command)
	go func() {
		_ = cmd.Wait()
		close(p.ended)
		l.log("%s has ended: %v", name, cmd.ProcessState)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	select {
	case <-p.ended:
	case <-time.After(2 * time.Second):
	}
}

// logText returns what a process has written so far.
func (l *lab) logText(name string) string {
	text, _ := os.ReadFile(filepath.Join(l.tmp, name+".log"))
	return string(text)
}

// copyLog appends a process's log to the record.
func (l *lab) copyLog(name string) {
	for _, line := range strings.Split(strings.TrimSpace(l.logText(name)), "\n") {
		l.log("%s says: %.300s", name, line)
	}
}

// deployKey returns a command of the deploy file.
func (l *lab) deployKey(key string) string {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	l.check(err, "deploy file")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			value, _, _ := strings.Cut(rest, "\"")
			return value
		}
	}
	l.finish(exitNotRun, "the deploy file has no %s", key)
	return ""
}

// freeAddr returns a free address of the loopback interface.
func (l *lab) freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err, "free port")
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// writeFile writes a file of the temporary folder, replacing it whole, and returns its path.
func (l *lab) writeFile(name, text string) string {
	path := filepath.Join(l.tmp, name)
	l.check(os.WriteFile(path+".part", []byte(text), 0o600), "write "+name)
	l.check(os.Rename(path+".part", path), "write "+name)
	return path
}

func toJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		fatal(err)
	}
	return string(text)
}

// waitFor polls a condition.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func main() {
	if len(os.Args) != 3 {
		fatal(fmt.Errorf("usage: standin CASE FOLDER"))
	}
	cases := map[string]func(*lab){}
	for name, play := range allCases {
		cases[name] = play
	}
	play := cases[os.Args[1]]
	if play == nil {
		fatal(fmt.Errorf("no case %q", os.Args[1]))
	}
	l := newLab(os.Args[2])
	time.AfterFunc(115*time.Second, func() { l.finish(exitNotRun, "over time") })
	play(l)
	l.finish(exitNotRun, "the case gave no verdict")
}
