package misbehaving

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/metrics"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugd/pkg/driver"
	"marigoldlug.example/lugd/pkg/edge"
	"marigoldlug.example/platform/pkg/objects"
)

// The limits of the VM, and the bounds that follow from them.
const (
	memoryMiB   = 128
	bodyBytes   = 8 << 20
	headerBytes = 16 << 10
	// files is RLIMIT_NOFILE of the VM's process.
	files = 384
	// maxFiles is the bound on open descriptors: an eighth of them stays free for connections to
	// targets, to other VMs and to the store.
	maxFiles = files - files/8
)

const (
	// programVariable is the environment variable that makes this test program run as a VM. Its value
	// is the path of the file to which the VM writes the greatest memory use of its Go runtime.
	programVariable = "LUGD_MISBEHAVING_PROGRAM"
	// runtimeSampleInterval is the time between two samples of that.
	runtimeSampleInterval = 5 * time.Millisecond
)

func TestMain(m *testing.M) {
	path := os.Getenv(programVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	limit := syscall.Rlimit{Cur: files, Max: files}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		panic(err)
	}
	go recordRuntimeMemory(path)
	adp := edge.PlatformAdapter{
		Names:   objects.Names(),
		Connect: func(address string, log logrus.FieldLogger) driver.Platform { return objects.New(address, log) },
	}
	os.Exit(edge.Main(adp, objects.SettingsVariable))
}

// recordRuntimeMemory writes to a file the greatest number of bytes that the Go runtime has held. That
// does not include the memory of the race detector.
func recordRuntimeMemory(path string) {
	out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		panic(err)
	}
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	most := uint64(0)
	for ; ; time.Sleep(runtimeSampleInterval) {
		metrics.Read(samples)
		held := samples[0].Value.Uint64() - samples[1].Value.Uint64()
		if held <= most {
			continue
		}
		most = held
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], most)
		if _, err := out.WriteAt(raw[:], 0); err != nil {
			panic(err)
		}
	}
}

// largeBytes is the size of the response to requests for largePath.
const (
	largeBytes = 512 << 10
	largePath  = "/recipes/large"
)

// serveTarget answers each request at once.
func serveTarget(wrt http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return // The VM has closed the connection.
	}
	wrt.Header().Set(objects.Names().Request, req.Header.Get(objects.Names().Request))
	size := 10
	if req.URL.Path == largePath {
		size = largeBytes
	}
	_, _ = wrt.Write(make([]byte, size)) // The VM may have closed the connection.
}

// vmProcess is a VM that runs as a process of its own, with three targets.
type vmProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	set    edge.Settings
	exited chan struct{}
	// runtimeFile is where the process writes the memory use of its runtime.
	runtimeFile string
	logFile     string
	// maxMemory is the bound on the memory of the process, in bytes: what the VM is given.
	maxMemory int64

	mut sync.Mutex
	// mostFiles is the greatest number of open descriptors that was seen.
	mostFiles int
}

// startVM starts a VM with the given memory and limit on bodies, and waits until it is ready.
func startVM(t *testing.T, memoryMiB, bodyBytes int) *vmProcess {
	t.Helper()
	pgr, err := playground.Start(context.Background(), playground.Settings{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pgr.Close)
	for num := range 3 {
		address, closeServer, err := playground.Serve(http.HandlerFunc(serveTarget))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeServer)
		if err := pgr.Register(fmt.Sprint("target-", num), address, 8); err != nil {
			t.Fatal(err)
		}
	}
	set, err := playground.VMSettings(0, pgr.StoreAddress)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	prc := &vmProcess{t: t, set: set, exited: make(chan struct{}), runtimeFile: filepath.Join(dir, "runtime"), logFile: filepath.Join(dir, "log"), maxMemory: int64(memoryMiB) << 20}
	settings := filepath.Join(dir, "settings")
	txt := playground.SettingsText(set) + fmt.Sprintf("memory-mib=%d\nmax-body-bytes=%d\nmax-header-bytes=%d\nheader-timeout=2s\nbody-timeout=5s\nidle-timeout=5s\n",
		memoryMiB, bodyBytes, headerBytes)
	if err := os.WriteFile(settings, []byte(txt), 0o600); err != nil {
		t.Fatal(err)
	}
	prc.start(settings)
	if problem := prc.ask("http://" + set.ReadyAddress + "/"); problem != "" {
		t.Fatalf("the VM does not start: %s", problem)
	}
	return prc
}

// start starts the process, which is killed at the end of the test.
func (prc *vmProcess) start(settings string) {
	prc.t.Helper()
	program, err := os.Executable()
	if err != nil {
		prc.t.Fatal(err)
	}
	out, err := os.Create(prc.logFile)
	if err != nil {
		prc.t.Fatal(err)
	}
	prc.cmd = exec.Command(program, "run")
	prc.cmd.Env = append(os.Environ(), programVariable+"="+prc.runtimeFile, objects.SettingsVariable+"="+settings, "GORACE=atexit_sleep_ms=0")
	prc.cmd.Stdout, prc.cmd.Stderr = out, out
	if err := prc.cmd.Start(); err != nil {
		prc.t.Fatal(err)
	}
	go func() {
		_ = prc.cmd.Wait() // ProcessState tells how it exited.
		close(prc.exited)
	}()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		prc.sampleFiles()
	}()
	prc.t.Cleanup(func() {
		_ = prc.cmd.Process.Kill() // It may have exited.
		<-prc.exited
		<-sampled
		_ = out.Close()
	})
}

// sampleFiles counts the open descriptors of the process again and again until it exits.
func (prc *vmProcess) sampleFiles() {
	for {
		select {
		case <-prc.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", prc.cmd.Process.Pid)); err == nil {
			prc.mut.Lock()
			prc.mostFiles = max(prc.mostFiles, len(open))
			prc.mut.Unlock()
		}
	}
}

const (
	// askTimeout bounds a single ordinary request, and askAttempts how often it is repeated: it must
	// be answered some time, which tells a VM that serves from one that hangs.
	askTimeout  = 5 * time.Second
	askAttempts = 300
	askPause    = 200 * time.Millisecond
	// askTotal bounds all attempts together.
	askTotal = 90 * time.Second
)

// ask sends an ordinary GET request until it is answered with status 200, and returns what the last
// failure was if it never is.
func (prc *vmProcess) ask(url string) string {
	cli := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	end := time.Now().Add(askTotal)
	for num := 0; num < askAttempts && time.Now().Before(end); num++ {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		if err != nil {
			return err.Error()
		}
		req.Header.Set("Authorization", "Bearer "+playground.Key)
		req.Header.Set(objects.Names().Request, fmt.Sprint("ordinary-", num))
		rsp, err := cli.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, rsp.Body)
			_ = rsp.Body.Close()
			if err == nil && rsp.StatusCode == http.StatusOK {
				return ""
			}
			last = rsp.Status
		}
		if err != nil {
			last = err.Error()
		}
		time.Sleep(askPause)
	}
	return last
}

// memory returns the greatest memory use of the process so far, in bytes: the resident memory, or with
// the race detector, which multiplies that, what the Go runtime holds.
func (prc *vmProcess) memory() int64 {
	prc.t.Helper()
	if raceDetector {
		raw, err := os.ReadFile(prc.runtimeFile)
		if err != nil || len(raw) < 8 {
			prc.t.Fatalf("cannot read the memory use: %v, %d bytes", err, len(raw))
		}
		return int64(binary.BigEndian.Uint64(raw))
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", prc.cmd.Process.Pid))
	if err != nil {
		prc.t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		kib := int64(0)
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	prc.t.Fatal("the process has no VmHWM")
	return 0
}

// check checks that the process lives, that its memory and descriptors stay within their bounds and that
// ordinary requests are answered.
func (prc *vmProcess) check() {
	prc.t.Helper()
	for what, url := range map[string]string{
		"a caller":     "http://" + prc.set.CallerAddress + "/recipes/x",
		"the balancer": "http://" + prc.set.ReadyAddress + "/",
		"an operator":  "http://" + prc.set.OperatorAddress + "/metrics",
	} {
		if problem := prc.ask(url); problem != "" {
			prc.t.Errorf("an ordinary request of %s is not answered: %s", what, problem)
		}
	}
	select {
	case <-prc.exited:
		raw, _ := os.ReadFile(prc.logFile) // An unreadable log is an empty one.
		prc.t.Fatalf("the VM exited with %s:\n%s", prc.cmd.ProcessState, raw[max(0, len(raw)-4<<10):])
	default:
	}
	prc.mut.Lock()
	open := prc.mostFiles
	prc.mut.Unlock()
	held := prc.memory()
	prc.t.Logf("at most %d KiB of %d and %d descriptors of %d", held>>10, prc.maxMemory>>10, open, maxFiles)
	if held > prc.maxMemory {
		prc.t.Errorf("the VM held %d KiB, more than %d", held>>10, prc.maxMemory>>10)
	}
	if open > maxFiles {
		prc.t.Errorf("the VM had %d open descriptors, more than %d", open, maxFiles)
	}
}
