package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marigoldlug.example/lugd/pkg/edge"
	"marigoldlug.example/platform/pkg/objects"
)

// process is a VM that runs as a process of its own and may be restarted.
type process struct {
	flt *fleet
	set edge.Settings
	// settingsFile is the path of the settings file.
	settingsFile string
	// store is the proxy through which the VM reaches the platform, and peers
	// the one through which other VMs reach it.
	store, peers *proxy
	// run is the current run of the program, or the last one, and starts the number of
	// runs so far.
	run    atomic.Pointer[programRun]
	starts int
	// upgradeAt is when the VM begins to run Settings.Program; it has a meaning with Settings.Production alone.
	upgradeAt atomicTime

	// idleConns has the callers' idle connections, the one that was idle longest first.
	idleConns chan *conn
	// disruptedUntil is when the last pause ends, with closeRaceTime as a margin, or when
	// the process was last killed.
	disruptedUntil atomicTime
	// pauses records when the process was suspended.
	pauses spans
	// restarting is held during a restart.
	restarting sync.Mutex
}

// programRun is one run of the program, while a targetfake.Run is one of a request.
type programRun struct {
	number int
	// program is the path of the program.
	program   string
	command   *exec.Cmd
	startedAt time.Time
	// logs is the read end of the pipe to which the program writes its output.
	logs *os.File
	// stopRequestedAt is when the first signal to stop was sent.
	stopRequestedAt atomicTime
	killed          atomic.Bool
	exited          chan struct{}
}

// atomicTime is a time in nanoseconds since 1970, 0 for none. It is safe for
// concurrent use.
type atomicTime struct{ atomic.Int64 }

func (atm *atomicTime) after(at time.Time) bool { return atm.Load() > at.UnixNano() }

// stopSignals are the signals that ask for a graceful stop.
var stopSignals = []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT}

// start starts a run of the program.
func (prc *process) start() error {
	set, program := prc.set, prc.program()
	cmd := exec.Command(program, "run", //nolint:gosec // The program is the one under test.
		"--name="+set.Name, "--failure-domain="+set.FailureDomain, "--caller-address="+set.CallerAddress, "--ready-address="+set.ReadyAddress,
		"--peer-address="+set.PeerAddress, "--operator-address="+set.OperatorAddress, "--platform-address="+prc.store.address(),
		"--peer-public-address="+prc.peers.address(),
		"--plain-text=callers,peers,operators", "--balancer-lag="+set.BalancerLag.String(), "--stop-time="+set.StopTime.String(),
		"--retry-share="+fmt.Sprint(retryShare), "--retry-extra="+fmt.Sprint(retryExtra), "--retry-window="+retryWindow.String(),
		"--quota-window="+quotaWindow.String(), "--log-lines=2000")
	cmd.Args = append(cmd.Args, prc.flt.set.drainFlags(program)...)
	if prc.starts == 0 && program == prc.flt.set.Program {
		cmd.Args = append(cmd.Args, "--first-start")
	}
	cmd.Env = append(os.Environ(), objects.SettingsVariable+"="+prc.settingsFile)
	prc.starts++
	path := os.DevNull
	if prc.flt.set.Logs != "" {
		path = filepath.Join(prc.flt.set.Logs, set.Name+"."+strconv.Itoa(prc.starts)+".log")
	}
	logFile, err := os.Create(path)
	if err != nil {
		return err
	}
	logs, out, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // The process has its own copy.
	// A pipe of the smallest size soon fills up when nobody reads it.
	if _, err := unix.FcntlInt(out.Fd(), unix.F_SETPIPE_SZ, 0); err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cannot start %s: %w", program, err)
	}
	run := &programRun{number: prc.starts, program: program, command: cmd, startedAt: time.Now(), logs: logs, exited: make(chan struct{})}
	prc.run.Store(run)
	go func() { _, _ = io.Copy(logFile, logs) }() // Logs aren't checked.
	go prc.wait(run, logFile)
	return nil
}

// wait waits until a run has exited, and checks that it exited only because it was
// killed or told to stop, and in the latter case with exit code 0 and, unless it was
// paused, in time.
func (prc *process) wait(run *programRun, logFile *os.File) {
	_ = run.command.Wait() // ProcessState tells how it exited.
	at := time.Now()
	_ = run.logs.SetReadDeadline(at.Add(dialTimeout))
	_, _ = io.Copy(logFile, run.logs)
	_, _ = run.logs.Close(), logFile.Close()
	stopRequestedAt := time.Unix(0, run.stopRequestedAt.Load())
	switch sta := run.command.ProcessState; {
	case run.killed.Load():
	case run.stopRequestedAt.Load() == 0:
		prc.flt.rep.violationf("%s, run %d, exited unasked at %s: %v", prc.set.Name, run.number, formatTime(at), sta)
	case !sta.Success():
		prc.flt.rep.violationf("%s, run %d, exited at %s, %v after it was told to stop: %v", prc.set.Name, run.number, formatTime(at), at.Sub(stopRequestedAt), sta)
	case at.Sub(stopRequestedAt) > prc.set.StopTime && !prc.disruptedUntil.after(stopRequestedAt):
		prc.flt.rep.violationf("%s, run %d, took %v to stop, until %s", prc.set.Name, run.number, at.Sub(stopRequestedAt), formatTime(at))
	}
	close(run.exited)
}

// hasExited reports whether the last run has exited.
func (prc *process) hasExited() bool {
	select {
	case <-prc.run.Load().exited:
		return true
	default:
		return false
	}
}

// stopRequested reports whether the last run was told to stop.
func (prc *process) stopRequested() bool { return prc.run.Load().stopRequestedAt.Load() != 0 }

// signal sends a signal to the last run, never to another process.
func (prc *process) signal(sig syscall.Signal) {
	run, now := prc.run.Load(), time.Now().UnixNano()
	if sig == syscall.SIGKILL {
		run.killed.Store(true)
		prc.disruptedUntil.Store(now)
	}
	if slices.Contains(stopSignals, sig) {
		run.stopRequestedAt.CompareAndSwap(0, now)
	}
	_ = run.command.Process.Signal(sig) // It may have exited meanwhile.
}

// pause suspends the process for a time.
func (prc *process) pause(dur time.Duration) {
	prc.flt.rep.faultf("%s: paused for %v", prc.set.Name, dur)
	prc.disruptedUntil.Store(time.Now().Add(dur + closeRaceTime).UnixNano())
	prc.pauses.set(true)
	prc.signal(syscall.SIGSTOP)
	time.Sleep(dur)
	prc.signal(syscall.SIGCONT)
	prc.pauses.set(false)
}

// awaitExit waits until the last run has exited, and kills it if that takes too long.
func (prc *process) awaitExit() {
	run := prc.run.Load()
	select {
	case <-run.exited:
		return
	case <-time.After(exitTimeout):
	}
	if !prc.disruptedUntil.after(time.Now().Add(-exitTimeout)) {
		prc.flt.rep.violationf("%s, run %d, has not stopped after %v", prc.set.Name, run.number, exitTimeout)
	}
	prc.signal(syscall.SIGKILL)
	<-run.exited
}

// waitUntil waits until a condition holds, and reports whether it did before the
// timeout and before the process exited.
func (prc *process) waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && !prc.hasExited(); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// acceptsConns reports whether callers can connect.
func (prc *process) acceptsConns() bool {
	con, err := dial(prc)
	if err == nil {
		_ = con.raw.Close()
	}
	return err == nil
}

// restart ends the process by a signal and starts it again. It returns, and lets the
// next restart send its signal, only when the port is open: until the process has
// installed its signal handlers, signals have their default action.
func (prc *process) restart(sig syscall.Signal) {
	prc.flt.rep.faultf("%s: %s", prc.set.Name, sig)
	prc.restarting.Lock()
	defer prc.restarting.Unlock()
	prc.signal(syscall.SIGCONT)
	prc.signal(sig)
	prc.awaitExit()
	prc.flt.rep.check(prc.start())
	prc.waitUntil(startTimeout, prc.acceptsConns)
}
