package playground

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marigoldlug.example/lugbench/pkg/storefake"
)

// signalEvents are the signals that may reach a VM, by their names in testdata/phases.
var signalEvents = map[string]syscall.Signal{
	"hangup": syscall.SIGHUP, "terminate": syscall.SIGTERM, "interrupt": syscall.SIGINT, "quit": syscall.SIGQUIT,
	"pipe": syscall.SIGPIPE, "user1": syscall.SIGUSR1, "user2": syscall.SIGUSR2, "alarm": syscall.SIGALRM,
	"terminalStop": syscall.SIGTSTP, "childEnds": syscall.SIGCHLD,
}

// otherEvents are the other events that may reach a VM, by their names in
// testdata/phases.
var otherEvents = map[string]func(prc *vmProcess){
	"settingsChange": func(prc *vmProcess) { prc.writeSettings("retry-share=0.3\n") },
	"settingsWrong":  func(prc *vmProcess) { prc.writeSettings("revoke-time=never\nnonsense=1\n") },
	"settingsEmpty":  func(prc *vmProcess) { prc.replaceSettings("") },
	"settingsGone":   func(prc *vmProcess) { _ = os.Remove(prc.settingsFile) }, // It may be missing.
	"storeSilent":    func(prc *vmProcess) { prc.pgr.Store.SetFaults(storefake.Faults{Silent: true}) },
	"storeReset":     func(prc *vmProcess) { prc.pgr.Store.SetFaults(storefake.Faults{Reset: true}) },
	"storeBack":      func(prc *vmProcess) { prc.pgr.Store.SetFaults(storefake.Faults{}) },
	"logReaderStops": (*vmProcess).stopReading,
	"logReaderGone":  func(prc *vmProcess) { _ = prc.logs.Close() },
}

// minPipeBytes is the smallest size of a pipe.
const minPipeBytes = 4096

// fillLine is the line that is written to a pipe to fill it.
const fillLine = "---------------------------------------------------------------\n"

// stopReading stops reading the logs of the VM and fills their pipe.
func (prc *vmProcess) stopReading() {
	prc.mut.Lock()
	prc.unread = true
	prc.mut.Unlock()
	go func() {
		for range 4 * minPipeBytes / len(fillLine) {
			if _, err := prc.out.WriteString(fillLine); err != nil {
				return
			}
		}
	}()
	time.Sleep(20 * time.Millisecond)
}

// inject injects events in quick succession, and reports whether one of them tells the
// VM to stop.
func (prc *vmProcess) inject(events []string) (stops bool) {
	for _, name := range events {
		if sig, found := signalEvents[name]; found {
			prc.signal(sig)
			stops = stops || sig == syscall.SIGTERM || sig == syscall.SIGINT || sig == syscall.SIGQUIT
		} else {
			otherEvents[name](prc)
		}
		time.Sleep(3 * time.Millisecond)
	}
	return stops
}

// restore restores the settings file and the store. Logs that nobody reads any more
// stay so.
func (prc *vmProcess) restore() {
	prc.writeSettings("")
	prc.pgr.Store.SetFaults(storefake.Faults{})
}

// orderBatch sends orders over kept connections, one at a time on each.
type orderBatch struct {
	prc     *vmProcess
	callers []*caller
	sent    int
}

// send sends one order on each connection.
func (bat *orderBatch) send() {
	bat.prc.t.Helper()
	bat.sent++
	for num, cal := range bat.callers {
		if err := cal.send(bat.id(num)); err != nil {
			bat.prc.t.Errorf("cannot send %s: %v", bat.id(num), err)
		}
	}
}

func (bat *orderBatch) id(num int) string { return fmt.Sprintf("order-%d-%d", num, bat.sent) }

// receive checks the responses to the orders that were sent last.
func (bat *orderBatch) receive() {
	bat.prc.t.Helper()
	for num, cal := range bat.callers {
		if problem := cal.receive(bat.id(num)); problem != "" {
			bat.prc.t.Errorf("%s: %s", bat.id(num), problem)
		}
	}
}

const (
	// cellLatency is the latency of targets while one line of testdata/phases runs.
	cellLatency = 500 * time.Millisecond
	// inFlightDelay is long enough for requests to reach targets.
	inFlightDelay = 150 * time.Millisecond
)

// runInPhase has a function for each phase: it takes the VM to the phase, injects the
// events, checks orders and lets the VM stop. Starting begins when the VM has logged
// "starting", serving when it has in-flight orders, stopping when it is then told to stop,
// and ending when it has responded to them. These differ from lugd's own (edge.Phase).
var runInPhase = map[string]func(prc *vmProcess, bat *orderBatch, events []string){
	"starting": func(prc *vmProcess, bat *orderBatch, events []string) {
		prc.awaitLog(`"starting"`)
		if prc.inject(events) {
			return
		}
		prc.restore()
		prc.awaitReady()
		settle()
		bat.open()
		bat.send()
		bat.receive()
		prc.signal(syscall.SIGTERM)
	},
	"serving": func(prc *vmProcess, bat *orderBatch, events []string) {
		bat.sendInFlight()
		stops := prc.inject(events)
		bat.receive()
		if stops {
			return
		}
		prc.restore()
		prc.expectReload()
		settle()
		bat.send()
		bat.receive()
		prc.signal(syscall.SIGTERM)
	},
	"stopping": func(prc *vmProcess, bat *orderBatch, events []string) {
		bat.sendInFlight()
		prc.signal(syscall.SIGTERM)
		time.Sleep(inFlightDelay)
		prc.inject(events)
		bat.receive()
	},
	"ending": func(prc *vmProcess, bat *orderBatch, events []string) {
		bat.sendInFlight()
		prc.signal(syscall.SIGTERM)
		bat.receive()
		for {
			select {
			case <-prc.exited:
				return
			case <-time.After(time.Millisecond):
				prc.inject(events)
			}
		}
	},
}

// expectReload checks that SIGHUP still makes the VM reload its settings.
func (prc *vmProcess) expectReload() {
	prc.t.Helper()
	before := prc.reloads()
	prc.signal(syscall.SIGHUP)
	for range 100 {
		if prc.reloads() > before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	prc.t.Errorf("SIGHUP does not reload the settings any more")
}

// reloads returns how often the VM has reloaded its settings, by its metrics.
func (prc *vmProcess) reloads() (count int) {
	prc.t.Helper()
	rsp, err := http.Get("http://" + prc.set.OperatorAddress + "/metrics")
	if err != nil {
		prc.t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	scn := bufio.NewScanner(rsp.Body)
	for scn.Scan() {
		if rest, found := strings.CutPrefix(scn.Text(), `marigoldlug_events_total{event="reload"} `); found {
			if _, err := fmt.Sscan(rest, &count); err != nil {
				prc.t.Fatal(err)
			}
		}
	}
	return count
}

// checkLog checks that the log has only lines of JSON, besides those of stopReading.
func (prc *vmProcess) checkLog() {
	prc.t.Helper()
	for line := range strings.Lines(prc.log()) {
		if line != fillLine && !json.Valid([]byte(line)) {
			prc.t.Errorf("the VM logged a line that is not JSON: %q", line)
		}
	}
}

// open opens the connections, four of them.
func (bat *orderBatch) open() {
	for range 4 {
		bat.callers = append(bat.callers, bat.prc.dial())
	}
}

// sendInFlight sends an order on each connection and waits until targets work on them.
func (bat *orderBatch) sendInFlight() {
	bat.prc.awaitReady()
	settle()
	bat.open()
	bat.send()
	time.Sleep(inFlightDelay)
}

// TestNoEventInAnyPhaseCutsRequests guards against signals, settings, store faults and
// missing log readers that, in some phase of a VM, cut its accepted requests or make it
// exit with another code than 0. The lines of testdata/phases are the cases; in each, the
// VM must also log only JSON and count no connection that it cut.
func TestNoEventInAnyPhaseCutsRequests(t *testing.T) {
	raw, err := os.ReadFile("testdata/phases")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		phase, events, found := strings.Cut(strings.TrimSpace(line), ": ")
		if !found || strings.HasPrefix(phase, "#") {
			continue
		}
		run := runInPhase[phase]
		t.Run(phase+"/"+events, func(t *testing.T) {
			t.Parallel()
			prc := startProcess(t, cellLatency)
			run(prc, &orderBatch{prc: prc}, strings.Fields(events))
			if got := prc.awaitExit(); got != exitSuccess {
				t.Errorf("the process exited with %q", got)
			}
			prc.checkLog()
			if txt := prc.log(); strings.Contains(txt, `"msg":"stopped"`) && !strings.Contains(txt, `"cutConnections":0`) {
				t.Error("connections were cut")
			}
			if t.Failed() {
				t.Logf("its log:\n%s", prc.log())
			}
		})
	}
}

// shrinkPipe reduces a pipe to minPipeBytes, so that it fills up quickly.
func shrinkPipe(pipe *os.File) error {
	raw, err := pipe.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) { _, set = unix.FcntlInt(fd, unix.F_SETPIPE_SZ, minPipeBytes) })
	if err != nil {
		return err
	}
	return set
}
