package playground

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/pkg/edge"
	"marigoldlug.example/platform/pkg/objects"
)

// programVariable is the environment variable that makes this test program run as a VM.
const programVariable = "LUGD_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(edge.Main(platformAdapter(nil), objects.SettingsVariable))
	}
	os.Exit(m.Run())
}

// vmProcess is the only VM of a playground. It runs as a process of its own.
type vmProcess struct {
	t   *testing.T
	pgr *Playground
	cmd *exec.Cmd
	set edge.Settings
	// settingsFile is the path of the settings file.
	settingsFile string
	// logs is the read end of the pipe to which the VM writes its output, and out the
	// write end.
	logs, out *os.File

	mut    sync.Mutex
	output strings.Builder
	// unread is set when the output is to be read no further.
	unread bool

	exited chan struct{}
}

// startProcess starts a VM with three targets of the given latency.
func startProcess(t *testing.T, latency time.Duration) *vmProcess {
	t.Helper()
	prc := newProcess(t, latency)
	prc.start()
	return prc
}

// newProcess is like startProcess, but doesn't start the VM.
func newProcess(t *testing.T, latency time.Duration) *vmProcess {
	t.Helper()
	pgr, err := Start(context.Background(), Settings{Targets: 3, Latency: latency, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pgr.Close)
	set, err := VMSettings(0, pgr.StoreAddress)
	if err != nil {
		t.Fatal(err)
	}
	prc := &vmProcess{t: t, pgr: pgr, set: set, settingsFile: filepath.Join(t.TempDir(), "settings"), exited: make(chan struct{})}
	prc.writeSettings("")
	return prc
}

// writeSettings writes the VM's settings and then more to the settings file.
func (prc *vmProcess) writeSettings(more string) {
	prc.t.Helper()
	prc.replaceSettings(SettingsText(prc.set) + more)
}

func (prc *vmProcess) replaceSettings(txt string) {
	prc.t.Helper()
	if err := os.WriteFile(prc.settingsFile, []byte(txt), 0o600); err != nil {
		prc.t.Fatal(err)
	}
}

func (prc *vmProcess) start() {
	prc.t.Helper()
	program, err := os.Executable()
	if err != nil {
		prc.t.Fatal(err)
	}
	logs, out, err := os.Pipe()
	if err != nil {
		prc.t.Fatal(err)
	}
	if err := shrinkPipe(out); err != nil {
		prc.t.Fatal(err)
	}
	prc.logs, prc.out = logs, out
	if prc.unread {
		prc.stopReading()
	} else {
		go prc.readLogs()
	}
	prc.cmd = exec.Command(program, "run")
	// By default, the race detector delays the exit of the process by a second.
	prc.cmd.Env = append(os.Environ(), programVariable+"=1", objects.SettingsVariable+"="+prc.settingsFile, "GORACE=atexit_sleep_ms=0")
	prc.cmd.Stdout, prc.cmd.Stderr = out, out
	if err := prc.cmd.Start(); err != nil {
		prc.t.Fatal(err)
	}
	go func() {
		_ = prc.cmd.Wait() // ProcessState tells how it exited.
		close(prc.exited)
	}()
	prc.t.Cleanup(func() {
		_ = prc.cmd.Process.Kill() // It may have exited.
		<-prc.exited
		_ = out.Close()
		_ = logs.Close()
	})
}

func (prc *vmProcess) readLogs() {
	scn := bufio.NewScanner(prc.logs)
	for scn.Scan() {
		prc.mut.Lock()
		prc.output.WriteString(scn.Text() + "\n")
		unread := prc.unread
		prc.mut.Unlock()
		if unread {
			return
		}
	}
}

// log returns the output of the process that was read so far.
func (prc *vmProcess) log() string {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	return prc.output.String()
}

// awaitLog waits until the log contains a text, for about a second at most.
func (prc *vmProcess) awaitLog(txt string) {
	prc.t.Helper()
	for range 500 {
		if strings.Contains(prc.log(), txt) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	prc.t.Fatalf("the VM has not logged %s", txt)
}

func (prc *vmProcess) signal(sig syscall.Signal) {
	_ = prc.cmd.Process.Signal(sig) // It may have exited.
}

// awaitReady waits until the VM is ready for callers.
func (prc *vmProcess) awaitReady() {
	prc.t.Helper()
	if err := waitReady(context.Background(), prc.set.ReadyAddress); err != nil {
		prc.t.Fatalf("%v; its log and stacks:\n%s", err, prc.dump())
	}
}

// dump aborts the process and returns its log with the stacks of its goroutines.
func (prc *vmProcess) dump() string {
	prc.mut.Lock()
	prc.unread = false
	prc.mut.Unlock()
	go prc.readLogs()
	prc.signal(syscall.SIGABRT)
	<-prc.exited
	time.Sleep(100 * time.Millisecond) // Lets readLogs read the rest of the output.
	return prc.log()
}

// awaitExit waits until the process has exited, for StopTime at most, and returns how
// it exited.
func (prc *vmProcess) awaitExit() string {
	prc.t.Helper()
	select {
	case <-prc.exited:
		return prc.cmd.ProcessState.String()
	case <-time.After(prc.set.StopTime):
		return "still running"
	}
}

// exitSuccess is what awaitExit returns after a graceful stop.
const exitSuccess = "exit status 0"

// caller is a caller with a connection to the VM that it keeps open.
type caller struct {
	raw net.Conn
	rdr *bufio.Reader
}

// dial opens a connection of a caller.
func (prc *vmProcess) dial() *caller {
	prc.t.Helper()
	raw, err := net.Dial("tcp", prc.set.CallerAddress)
	if err != nil {
		prc.t.Fatal(err)
	}
	prc.t.Cleanup(func() { _ = raw.Close() })
	return &caller{raw: raw, rdr: bufio.NewReader(raw)}
}

// send sends an order, which must not run more than once.
func (cal *caller) send(id string) error {
	nms := objects.Names()
	_, err := fmt.Fprintf(cal.raw, "POST /orders/x HTTP/1.1\r\nHost: any\r\n%s: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx",
		nms.Request, id, nms.Timeout, nms.FormatTimeout(requestTimeout), Key)
	return err
}

// receive returns what is wrong with the response to an order, or "".
func (cal *caller) receive(id string) string {
	if err := cal.raw.SetReadDeadline(time.Now().Add(2 * requestTimeout)); err != nil {
		return err.Error()
	}
	rsp, err := http.ReadResponse(cal.rdr, nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	switch {
	case err != nil:
		return err.Error()
	case rsp.StatusCode != http.StatusOK || string(raw) != targetfake.ResponseBody(id):
		return fmt.Sprintf("%s: %q", rsp.Status, raw)
	}
	return ""
}

// TestReloadOfAStoppingVMCutsNoRequest guards against a SIGHUP that kills a VM while it is
// stopping, and so cuts its in-flight requests. In an earlier version, it did.
func TestReloadOfAStoppingVMCutsNoRequest(t *testing.T) {
	prc := startProcess(t, 800*time.Millisecond)
	prc.awaitReady()
	settle()
	var callers []*caller
	for num := range 6 {
		cal := prc.dial()
		if err := cal.send(fmt.Sprint("order-", num)); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, cal)
	}
	time.Sleep(200 * time.Millisecond)
	prc.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	prc.signal(syscall.SIGHUP)
	for num, cal := range callers {
		if problem := cal.receive(fmt.Sprint("order-", num)); problem != "" {
			t.Errorf("order-%d: %s", num, problem)
		}
	}
	if got := prc.awaitExit(); got != exitSuccess {
		t.Errorf("the VM exited with %q", got)
	}
}

// TestFailedStartExitsWithoutALogReader guards against a failed start that blocks while it
// prints the error, because nobody reads the output and the pipe is full. The operator
// address is in use, and the process must exit with code 1.
func TestFailedStartExitsWithoutALogReader(t *testing.T) {
	t.Parallel()
	prc := newProcess(t, 0)
	lis, err := net.Listen("tcp", prc.set.OperatorAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	prc.unread = true
	prc.start()
	if got := prc.awaitExit(); got != "exit status 1" {
		t.Errorf("the process exited with %s", got)
	}
}

// TestStopMeetsItsDeadlineWithoutALogReader guards against a stop that takes longer than
// StopTime, because it waits for the rest of a request of which a caller has sent half, or
// because nobody reads the logs and the pipe is full.
func TestStopMeetsItsDeadlineWithoutALogReader(t *testing.T) {
	t.Parallel()
	prc := startProcess(t, 0)
	prc.awaitReady()
	if _, err := io.WriteString(prc.dial().raw, "POST /orders/x HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(inFlightDelay)
	prc.stopReading()
	began := time.Now()
	prc.signal(syscall.SIGTERM)
	if got := prc.awaitExit(); got != exitSuccess {
		t.Errorf("the process exited with %s", got)
	}
	if took := time.Since(began); took > prc.set.StopTime {
		t.Errorf("the stop took %v, more than %v", took, prc.set.StopTime)
	}
}

// TestSignalsEndAProcessThatWaitsForItsSettings guards against a process that SIGTERM can't
// end, or that SIGHUP ends, while it still reads its settings. It reads them from a named
// pipe to which nobody writes.
func TestSignalsEndAProcessThatWaitsForItsSettings(t *testing.T) {
	t.Parallel()
	prc := newProcess(t, 0)
	prc.settingsFile += ".pipe"
	if err := syscall.Mkfifo(prc.settingsFile, 0o600); err != nil {
		t.Fatal(err)
	}
	prc.start()
	time.Sleep(inFlightDelay)
	prc.signal(syscall.SIGHUP)
	prc.signal(syscall.SIGTERM)
	if got := prc.awaitExit(); got != "signal: terminated" {
		t.Errorf("the process exited with %s", got)
	}
}

// TestOrderReadTooLateDuringAStopDoesNotRun guards against an order that a stopping VM still
// sends to a target, although it exits before the target can respond. The last byte of the
// order arrives when 450 ms are left; targets take at least 560 ms, 30 % less than their
// latency.
func TestOrderReadTooLateDuringAStopDoesNotRun(t *testing.T) {
	t.Parallel()
	prc := startProcess(t, 800*time.Millisecond)
	prc.awaitReady()
	settle()
	cal, nms := prc.dial(), objects.Names()
	if _, err := fmt.Fprintf(cal.raw, "POST /orders/x HTTP/1.1\r\nHost: any\r\n%s: late\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nx",
		nms.Request, nms.Timeout, nms.FormatTimeout(requestTimeout), Key); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	prc.signal(syscall.SIGTERM)
	time.Sleep(prc.set.StopTime - 450*time.Millisecond)
	if _, err := io.WriteString(cal.raw, "y"); err != nil {
		t.Fatal(err)
	}
	rsp, err := http.ReadResponse(cal.rdr, nil)
	if err != nil {
		t.Fatalf("%v; its log:\n%s", err, prc.log())
	}
	defer func() { _ = rsp.Body.Close() }()
	if raw, err := io.ReadAll(rsp.Body); err != nil || rsp.StatusCode != http.StatusServiceUnavailable || rsp.Header.Get("Retry-After") == "" {
		t.Errorf("%s, %v: %q", rsp.Status, rsp.Header, raw)
	}
	if got := prc.awaitExit(); got != exitSuccess {
		t.Errorf("the VM exited with %q", got)
	}
	for _, tgt := range prc.pgr.Targets {
		if runs := tgt.Runs(); len(runs) > 0 {
			t.Errorf("a target ran %v", runs)
		}
	}
}
