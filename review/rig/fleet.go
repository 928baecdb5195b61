package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// vm is one process of the system.
type vm struct {
	name, zone, dir               string
	front, ready, peers, operator string
	cmd                           *exec.Cmd
	// down is set while the process is not running.
	down   atomic.Bool
	log    *os.File
	exited chan struct{}
}

// freeAddress returns an address of the loopback interface on which nothing listens. Its port is below those that
// the system gives to outgoing connections, so that none of these takes it before the VM starts.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(16000))
		lis, err := net.Listen("tcp", address)
		if err == nil {
			return address, lis.Close()
		}
	}
	return "", errors.New("no free port was found")
}

// newVM writes the settings of a VM, as platform/settings.template does for a small deployment.
func newVM(dir, name, zone, platform string) (*vm, error) {
	out := &vm{name: name, zone: zone, dir: dir}
	for _, one := range []*string{&out.front, &out.ready, &out.peers, &out.operator} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*one = address
	}
	lines := []string{
		"name=" + name, "failure-domain=" + zone, "caller-address=" + out.front, "ready-address=" + out.ready, "peer-address=" + out.peers,
		"operator-address=" + out.operator, "plain-text=callers,peers,operators", "platform-address=" + platform, "revoke-time=5000ms", "retry-share=0.2",
		"retry-extra=64", "retry-window=10s", "quota-window=5s", "quota-excess=0.1", "quota-slack=20", "stop-time=6s", "memory-mib=284", "capacity=0.32",
	}
	return out, os.WriteFile(out.settings(), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (one *vm) settings() string { return filepath.Join(one.dir, one.name+".conf") }

// start starts the process with the command of the deploy file.
func (one *vm) start() error {
	log, err := os.OpenFile(filepath.Join(one.dir, one.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	one.log = log
	one.cmd = exec.Command("target/lugd", "run")
	one.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDLUG_NODE_FILE=" + one.settings()}
	one.cmd.Stdout, one.cmd.Stderr = log, log
	one.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := one.cmd.Start(); err != nil {
		return err
	}
	one.down.Store(false)
	one.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(one.cmd, one.exited)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (one *vm) kill() {
	if one.cmd == nil || one.cmd.Process == nil {
		return
	}
	one.down.Store(true)
	_ = one.cmd.Process.Kill()
	<-one.exited
	_ = one.log.Close()
}

// isReady asks the VM whether it takes callers.
func (one *vm) isReady() bool {
	cli := http.Client{Timeout: time.Second}
	rsp, err := cli.Get("http://" + one.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == 200
}

// awaitReady waits until the VMs take callers.
func awaitReady(vms []*vm) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, one := range vms {
			if one.isReady() {
				ready++
			}
		}
		if ready == len(vms) {
			return nil
		}
	}
	return errNotReady
}

var errNotReady = errors.New("the VMs did not become ready")

// result is what a client saw of one request.
type result struct {
	attempt, vm, key, path string
	sent, ended            time.Time
	status                 int
	signed                 bool
	// kept is set if the connection had carried requests before.
	kept  bool
	bytes int64
	err   error
}

// clients sends requests and keeps their results.
type clients struct {
	http *http.Client

	mut     sync.Mutex
	count   int
	results []result
	wait    sync.WaitGroup
}

func newClients() *clients {
	return &clients{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 50, IdleConnTimeout: 8 * time.Second, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends a request in the background. The client leaves at its deadline.
func (cls *clients) send(one *vm, method, host, path, key string, deadline time.Duration) {
	cls.mut.Lock()
	cls.count++
	attempt := fmt.Sprintf("%016x", cls.count)
	cls.mut.Unlock()
	cls.wait.Go(func() {
		res := result{attempt: attempt, vm: one.name, key: key, path: path, sent: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		var body io.Reader
		if method == http.MethodPost {
			body = strings.NewReader("order " + attempt)
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+one.front+path, body)
		if err == nil {
			req.GetBody = nil // The client sends each attempt once.
			req.Host = host
			req.Header.Set("Attempt-Id", attempt)
			req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
			req.Header.Set("Authorization", "Bearer "+key)
			var rsp *http.Response
			if rsp, err = cls.http.Do(req); err == nil {
				res.status, res.signed = rsp.StatusCode, rsp.Header.Get("Response-Signature") != ""
				res.bytes, err = io.Copy(io.Discard, rsp.Body)
				_ = rsp.Body.Close()
			}
		}
		res.err, res.ended = err, time.Now()
		cls.mut.Lock()
		cls.results = append(cls.results, res)
		cls.mut.Unlock()
	})
}

func (cls *clients) list() []result {
	cls.wait.Wait()
	cls.mut.Lock()
	defer cls.mut.Unlock()
	return append([]result(nil), cls.results...)
}
