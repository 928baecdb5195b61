package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vm is a machine that runs the program of the deploy file's role.
type vm struct {
	name, zone, front, ready string
	// file is the path of the settings file.
	file   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// nextPort is the next port that freeAddr tries. The ports lie below the range of outgoing connections, and each process
// begins elsewhere.
var nextPort = 10000 + os.Getpid()*61%20000

// freeAddr returns a free address on loopback.
func freeAddr() string {
	for range 200 {
		nextPort = 10000 + (nextPort-10000+1)%20000
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			addr := lis.Addr().String()
			_ = lis.Close()
			return addr
		}
	}
	cannot("no free port")
	return ""
}

// newVM writes the settings of a machine: those of platform/settings.template, filled in as for a small machine of
// the site files.
func newVM(dir, name, zone, storeAddr string) *vm {
	mac := &vm{name: name, zone: zone, front: freeAddr(), ready: freeAddr(), file: filepath.Join(dir, name+".conf")}
	settings := strings.Join([]string{
		"name=" + name, "failure-domain=" + zone, "caller-address=" + mac.front, "ready-address=" + mac.ready,
		"peer-address=" + freeAddr(), "operator-address=" + freeAddr(), "plain-text=callers,peers,operators", "platform-address=" + storeAddr,
		"revoke-time=5000ms", "retry-share=0.2", "retry-extra=196", "retry-window=10s", "quota-window=5s", "quota-excess=0.1", "quota-slack=20",
		"stop-time=6s", "memory-mib=424", "max-files=8192", "capacity=0.4",
	}, "\n") + "\n"
	if err := os.WriteFile(mac.file, []byte(settings), 0o600); err != nil {
		cannot(err.Error())
	}
	return mac
}

// start starts the program with the command of deploy/system.toml, in the repository root.
func (mac *vm) start(dir string) {
	logFile, err := os.OpenFile(filepath.Join(dir, mac.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot(err.Error())
	}
	cmd := exec.Command("target/lugd", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MARIGOLDLUG_NODE_FILE=" + mac.file}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		cannot(err.Error())
	}
	mac.cmd, mac.exited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(done)
	}(mac.exited)
	started = append(started, mac)
}

// started holds the machines whose process is to be ended.
var started []*vm

// endAll ends the processes that were started.
func endAll() {
	for _, mac := range started {
		select {
		case <-mac.exited:
		default:
			_ = mac.cmd.Process.Kill()
			<-mac.exited
		}
	}
}

func (mac *vm) signal(sig syscall.Signal) { _ = mac.cmd.Process.Signal(sig) }

// isReady asks the machine whether it is ready, as the platform does.
func (mac *vm) isReady() bool {
	cli := http.Client{Timeout: time.Second}
	rsp, err := cli.Get("http://" + mac.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// awaitReady waits until the machines are ready.
func awaitReady(machines ...*vm) {
	for _, mac := range machines {
		for end := time.Now().Add(15 * time.Second); !mac.isReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				cannot(mac.name + " is not ready")
			}
		}
	}
}
