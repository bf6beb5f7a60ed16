package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0 // the rule held
	broken   = 1 // the rule was broken
	couldNot = 2 // the case could not run
)

// lab is one run of a case: its record, its temporary folder and the processes that it started.
type lab struct {
	trouble bool
	root    string // of the repository
	dir     string // temporary
	started time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// newLab opens record.txt in the folder of the case. TROUBLE=0 switches the disruption off.
func newLab(folder string) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, started: time.Now(), record: record}
	l.note("disruption: %v", l.trouble)
	return l, nil
}

// note writes one line to the record, with the time since the start.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// close ends all processes that are still running and removes the temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	os.RemoveAll(l.dir)
	l.record.Close()
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// runCommand returns the command `run` of the deploy file.
func (l *lab) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no run")
	}
	return string(m[1]), nil
}

// start starts the aggregator by the deploy file's command, with more arguments if there are any. Its log goes to the
// record.
func (l *lab) start(name, arguments string, env ...string) (*process, error) {
	command, err := l.runCommand()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", strings.TrimSpace(command+" "+arguments))
	cmd.Dir = l.root
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log := &logWriter{lab: l, name: name}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		l.note("%s ended: %v", name, err)
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.note("%s started", name)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	select {
	case <-p.done:
	default:
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// running reports whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// logWriter copies the lines of a process's log to the record.
type logWriter struct {
	lab  *lab
	name string
	rest string
}

func (w *logWriter) Write(b []byte) (int, error) {
	w.rest += string(b)
	for {
		line, rest, ok := strings.Cut(w.rest, "\n")
		if !ok {
			return len(b), nil
		}
		w.lab.note("%s: %s", w.name, line)
		w.rest = rest
	}
}

// freeAddress returns a free address on loopback, with a port that the system does not give to connections by itself.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
}

// object is a JSON object.
type object = map[string]any

// writeJSON writes a value to a file by renaming, so that no reader sees half of it.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
