package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the small deployments (SYSTEM.md).
var bounds = map[string]string{
	"strictRevoke": "true", "revoke": "5000ms", "retryBudgetRatio": "0.2", "budgetExtra": "56", "budgetWindow": "10s", "quotaWindow": "5s",
	"quotaExcess": "0.1", "quotaSlack": "20", "grace": "6s",
}

// vm is one process of the system.
type vm struct {
	name, zone   string
	front, ready string
	dir          string
	platform     string
	rec          *record

	mut    sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is the processes of the system that a case has started.
type fleet struct {
	rec *record
	dir string
	vms []*vm
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	return &fleet{rec: rec, dir: dir}, err
}

// nextPort is the port from which on a free one is searched, below the range for outgoing connections.
var nextPort = 10000 + os.Getpid()%1000*20

func freePort() int {
	for {
		nextPort++
		if nextPort > 32000 {
			nextPort = 10000
		}
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			_ = lis.Close()
			return nextPort
		}
	}
}

// add prepares a machine, whose settings file is filled in from the project's template.
func (flt *fleet) add(name, zone, platform string) (*vm, error) {
	mac := &vm{name: name, zone: zone, dir: flt.dir, platform: platform, rec: flt.rec}
	front, ready, peer, operator := freePort(), freePort(), freePort(), freePort()
	mac.front, mac.ready = fmt.Sprintf("127.0.0.1:%d", front), fmt.Sprintf("127.0.0.1:%d", ready)
	fields := map[string]string{
		"nodeName": name, "zone": zone, "ip": "127.0.0.1", "listen.front": mac.front, "listen.ready": mac.ready,
		"internalPorts.0": strconv.Itoa(peer), "internalPorts.1": strconv.Itoa(operator), "platform.address": platform,
		"limits.memoryMb": "284", "limits.maxFds": "4100", "limits.cpuShare": "0.32",
	}
	for name, val := range bounds {
		fields["bounds."+name] = val
	}
	tpl, err := os.ReadFile("platform/settings.template")
	if err != nil {
		return nil, err
	}
	flt.vms = append(flt.vms, mac)
	return mac, os.WriteFile(mac.settings(), []byte(render(string(tpl), fields)), 0o600)
}

func (mac *vm) settings() string { return filepath.Join(mac.dir, mac.name+".conf") }

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	field   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in a template as the platform does (DEPLOY.md).
func render(tpl string, fields map[string]string) string {
	tpl = section.ReplaceAllStringFunc(tpl, func(txt string) string {
		parts := section.FindStringSubmatch(txt)
		val := fields[parts[2]]
		if (parts[1] == "#") == (val != "" && val != "false") {
			return parts[3]
		}
		return ""
	})
	return field.ReplaceAllStringFunc(tpl, func(txt string) string { return fields[field.FindStringSubmatch(txt)[1]] })
}

// command is that of the deploy file.
var command = []string{"target/lugd", "run"}

func (mac *vm) start() error {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDLUG_NODE_FILE=" + mac.settings()}
	out, err := os.OpenFile(filepath.Join(mac.dir, mac.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	exited := make(chan struct{})
	mac.mut.Lock()
	mac.cmd, mac.exited = cmd, exited
	mac.mut.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	mac.rec.printf("machine %s: started", mac.name)
	return nil
}

func (mac *vm) signal(sig syscall.Signal) {
	mac.mut.Lock()
	defer mac.mut.Unlock()
	if mac.cmd == nil {
		return
	}
	select {
	case <-mac.exited:
	default:
		mac.rec.printf("machine %s: signal %v", mac.name, sig)
		_ = mac.cmd.Process.Signal(sig)
	}
}

// running reports whether the process has not exited.
func (mac *vm) running() bool {
	mac.mut.Lock()
	defer mac.mut.Unlock()
	select {
	case <-mac.exited:
		return false
	default:
		return mac.cmd != nil
	}
}

// awaitExit waits until the process has exited.
func (mac *vm) awaitExit() {
	mac.mut.Lock()
	exited := mac.exited
	mac.mut.Unlock()
	<-exited
}

func (mac *vm) isReady() bool {
	cli := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Get("http://" + mac.ready + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, rsp.Body)
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// awaitReady waits until the machine says that it is ready.
func (mac *vm) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if mac.isReady() {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready; its log ends with %s", mac.name, mac.lastLog())
}

func (mac *vm) lastLog() string {
	raw, _ := os.ReadFile(filepath.Join(mac.dir, mac.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(len(lines)-3, 0):], " | ")
}

// lastWords returns the line with which the process ended by itself.
func (mac *vm) lastWords() string {
	raw, _ := os.ReadFile(filepath.Join(mac.dir, mac.name+".log"))
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.TrimSpace(line)
		}
	}
	return mac.lastLog()
}

// close kills all processes that were started, and waits for them.
func (flt *fleet) close() {
	for _, mac := range flt.vms {
		mac.signal(syscall.SIGCONT)
		mac.signal(syscall.SIGKILL)
		if mac.exited != nil {
			mac.awaitExit()
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		flt.rec.printf("logs are kept in a temporary folder")
		fmt.Fprintln(os.Stderr, flt.dir)
		return
	}
	_ = os.RemoveAll(flt.dir)
}
