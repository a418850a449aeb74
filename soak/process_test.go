package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one program under test. It can be started several times.
type process struct {
	name, program string
	settingsPath  string // path of the settings file
	output        *os.File

	mu                   sync.Mutex
	cmd                  *exec.Cmd
	exited               chan struct{}
	shouldRun            bool // no signal to stop the program has been sent
	violations           []string
	startedAt            time.Time
	signaledWhileLoading bool // the program was paused or got SIGHUP while it was loading
	resumedAt            time.Time
}

// loadingTime is the time after its start in which a program may not handle
// signals yet. The programs handle SIGHUP some milliseconds after their start.
const loadingTime = 50 * time.Millisecond

func newProcess(dir, name, program string, settings []byte) (*process, error) {
	p := &process{name: name, program: program, settingsPath: filepath.Join(dir, name+".json")}
	if err := p.configure(settings); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(dir, name+".log"))
	p.output = output
	return p, err
}

// configure replaces the settings file.
func (p *process) configure(settings []byte) error {
	next := p.settingsPath + ".next"
	if err := os.WriteFile(next, settings, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settingsPath)
}

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(filepath.Join(binaries, p.program))
	cmd.Env = []string{"DAISYWALL_CONFIG=" + p.settingsPath}
	cmd.Stdout, cmd.Stderr = p.output, p.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exited, p.shouldRun = cmd, make(chan struct{}), true
	p.startedAt, p.signaledWhileLoading = time.Now(), false
	go p.wait(cmd, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	p.mu.Lock()
	// In seeds 28 and 412, programs were paused or got SIGHUP 9 and 8 ms after
	// their start. A program does not handle SIGHUP that early, so the signal
	// ends it.
	endedByEarlyHangup := p.signaledWhileLoading && status.Signaled() && status.Signal() == syscall.SIGHUP
	if p.shouldRun && !endedByEarlyHangup {
		p.violations = append(p.violations, fmt.Sprintf("%s exited unexpectedly at %s: %v", p.name, time.Now().Format("05.000"), err))
	}
	p.cmd = nil
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the program if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if (s == syscall.SIGSTOP || s == syscall.SIGHUP) && time.Since(p.startedAt) < loadingTime {
		p.signaledWhileLoading = true
	}
	if s == syscall.SIGCONT {
		p.resumedAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // the program may have exited already
}

// stop sends a signal that ends the program and waits until the program has
// exited. If a program does not exit within its grace period after SIGTERM,
// stop kills it and reports a violation.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	if cmd == nil {
		p.mu.Unlock()
		return
	}
	p.shouldRun = false
	_ = cmd.Process.Signal(s)
	sent := time.Now()
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(terminationGrace):
		p.mu.Lock()
		// The grace period counts only for a running program, because a paused
		// one cannot handle SIGTERM.
		if s == syscall.SIGTERM && !p.resumedAt.After(sent) && !isPaused(cmd.Process.Pid) {
			p.violations = append(p.violations, p.name+" did not exit within its grace period after SIGTERM")
		}
		_ = cmd.Process.Kill()
		p.mu.Unlock()
		<-exited
	}
}

// pid returns the process ID of the program, or 0 if it does not run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// isPaused reports whether the process is stopped by a signal.
func isPaused(pid int) bool {
	state, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	return err == nil && bytes.Contains(state, []byte("\nState:\tT"))
}

// exitViolations returns the exits that no signal requested and the graceful
// stops that took too long.
func (p *process) exitViolations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.violations
}
