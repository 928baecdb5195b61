package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"marigoldlug.example/lugd/pkg/edge"
)

// process is a VM that runs as a process of its own.
type process struct {
	program string
	set     edge.Settings
	logs    string
	// store is the proxy through which the VM reaches the platform, and peers
	// the one through which other VMs reach it.
	store, peers *proxy

	// restarting is held while the process is ended and started anew.
	restarting sync.Mutex

	mut     sync.Mutex
	command *exec.Cmd
	starts  int
	ended   chan struct{}
	// exits counts the ends that no signal of the soak explains.
	exits int
	asked bool
}

// start runs the program.
func (prc *process) start() error {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	set := prc.set
	cmd := exec.Command(prc.program, "run", //nolint:gosec // The program is the one under test.
		"--name="+set.Name, "--failure-domain="+set.FailureDomain, "--caller-address="+set.CallerAddress, "--ready-address="+set.ReadyAddress,
		"--peer-address="+set.PeerAddress, "--operator-address="+set.OperatorAddress, "--platform-address="+prc.store.address(),
		"--peer-public-address="+prc.peers.address(),
		"--plain-text=callers,peers,operators", "--balancer-lag="+set.BalancerLag.String(), "--stop-time="+set.StopTime.String(),
		"--retry-share="+fmt.Sprint(retryShare), "--retry-extra="+fmt.Sprint(retryExtra), "--retry-window="+retryWindow.String(),
		"--quota-window="+shareWindow.String(), "--log-lines=2000")
	if prc.logs != "" {
		prc.starts++
		out, err := os.Create(filepath.Join(prc.logs, set.Name+"."+strconv.Itoa(prc.starts)+".log"))
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cannot start %s: %w", prc.program, err)
	}
	ended := make(chan struct{})
	prc.command, prc.asked, prc.ended = cmd, false, ended
	go func() {
		_ = cmd.Wait() // How it ended is told by whether it was asked to.
		prc.mut.Lock()
		if !prc.asked {
			prc.exits++
		}
		prc.mut.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this soak has started.
func (prc *process) signal(sig syscall.Signal) {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	if prc.command == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		prc.asked = true
	}
	_ = prc.command.Process.Signal(sig) // It may have ended meanwhile.
}

// restart ends the process by a signal and starts it anew.
func (prc *process) restart(sig syscall.Signal, grace time.Duration) error {
	prc.restarting.Lock()
	defer prc.restarting.Unlock()
	prc.signal(syscall.SIGCONT)
	prc.signal(sig)
	select {
	case <-prc.ended:
	case <-time.After(grace):
		prc.signal(syscall.SIGKILL)
		<-prc.ended
	}
	return prc.start()
}

// end kills the process.
func (prc *process) end() {
	prc.signal(syscall.SIGKILL)
	prc.signal(syscall.SIGCONT)
	if prc.ended != nil {
		<-prc.ended
	}
}
