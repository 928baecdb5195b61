// Package main plays the cases of the review: it starts VMs of the system as processes, with stand-ins of the
// platform's store, the workers and the clients in this process, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes: the rule was kept, it was broken, the case could not run.
const (
	kept   = 0
	broken = 1
	failed = 2
)

// The second argument says whether the case is played with its disruption.
const (
	withTrouble    = "trouble"
	withoutTrouble = "calm"
)

// scene is one run of a case.
type scene struct {
	dir     string
	trouble bool
	sto     *store
	vms     []*vm
	workers []*worker
	clients *clients
	began   time.Time

	mut    sync.Mutex
	record *os.File
}

// note writes a line with the time since the start to the record and to standard output.
func (scn *scene) note(format string, args ...any) {
	scn.mut.Lock()
	defer scn.mut.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(scn.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(scn.record, line)
}

// detail writes a line to the record only.
func (scn *scene) detail(format string, args ...any) {
	scn.mut.Lock()
	defer scn.mut.Unlock()
	_, _ = fmt.Fprintf(scn.record, format+"\n", args...)
}

func (scn *scene) since(at time.Time) float64 { return at.Sub(scn.began).Seconds() }

// addWorkers starts count workers of a service, in three zones by turns.
func (scn *scene) addWorkers(service string, count, slots int, work time.Duration) error {
	for num := range count {
		wkr, err := newWorker(fmt.Sprintf("i-%s-%d", service, num), service, zoneName(num%3), slots, work, scn.sto)
		if err != nil {
			return err
		}
		scn.workers = append(scn.workers, wkr)
	}
	return nil
}

func zoneName(num int) string { return fmt.Sprintf("zone-%c", 'a'+num) }

// startVMs starts VMs in each of three zones and waits until all take callers. If they do not, another process may
// have taken one of the ports, and it tries again with others.
func (scn *scene) startVMs(perZone int) error {
	err := scn.tryVMs(perZone)
	if err == nil {
		return nil
	}
	scn.note("starting the VMs once more: %v", err)
	for _, one := range scn.vms {
		one.kill()
	}
	scn.vms = nil
	return scn.tryVMs(perZone)
}

func (scn *scene) tryVMs(perZone int) error {
	for num := range 3 * perZone {
		one, err := newVM(scn.dir, fmt.Sprintf("edge-%c-%d", 'a'+num%3, num/3+1), zoneName(num%3), scn.sto.address)
		if err != nil {
			return err
		}
		scn.vms = append(scn.vms, one)
	}
	for _, one := range scn.vms {
		if err := one.start(); err != nil {
			return err
		}
	}
	return awaitReady(scn.vms)
}

// loadInterval is how often load looks how many requests are due.
const loadInterval = 2 * time.Millisecond

// load sends requests to the VMs that run by turns, at a rate, until the returned function is called. Requests that are
// late, since the machine is busy, are sent as soon as possible, so that the rate holds.
func (scn *scene) load(perSecond float64, method, host, path, key string, deadline time.Duration) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(loadInterval)
		defer tick.Stop()
		began := time.Now()
		for num := 0; ; {
			select {
			case <-quit:
				return
			case <-tick.C:
			}
			for due := int(time.Since(began).Seconds() * perSecond); num < due; num++ {
				if one := scn.vms[num%len(scn.vms)]; !one.down.Load() {
					scn.clients.send(one, method, host, path, key, deadline)
				}
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// runs returns all runs of all workers.
func (scn *scene) runs() []run {
	var out []run
	for _, wkr := range scn.workers {
		out = append(out, wkr.list()...)
	}
	return out
}

// writeTables writes to the record what was sent, answered and run.
func (scn *scene) writeTables() {
	scn.detail("# sent: seconds, attempt, VM, path, key; answered: seconds, status, bytes, error")
	for _, res := range scn.clients.list() {
		scn.detail("sent %.3f %s %s %s %s answered %.3f %d %d %v", scn.since(res.sent), res.attempt, res.vm, res.path, res.key, scn.since(res.ended), res.status, res.bytes, res.err)
	}
	scn.detail("# run: seconds, attempt, worker, tenant, path, done")
	for _, one := range scn.runs() {
		scn.detail("run %.3f %s %s %s %s %t", scn.since(one.at), one.attempt, one.worker, one.tenant, one.path, one.done)
	}
}

func (scn *scene) end() {
	for _, one := range scn.vms {
		one.kill()
	}
	for _, wkr := range scn.workers {
		wkr.exit()
	}
}

// cases holds the function that plays each case and reports whether the rule was kept.
var cases = make(map[string]func(scn *scene) (held bool, err error))

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[2] != withTrouble && os.Args[2] != withoutTrouble {
		fmt.Fprintln(os.Stderr, "usage: rig CASE "+withTrouble+"|"+withoutTrouble+" RECORD")
		return failed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	record, err := os.Create(filepath.Clean(os.Args[3]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = record.Close() }()
	scn := &scene{dir: dir, trouble: os.Args[2] == withTrouble, clients: newClients(), began: time.Now(), record: record}
	if scn.sto, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		held, err := cases[os.Args[1]](scn)
		switch {
		case err != nil:
			scn.note("the case could not run: %v", err)
			result <- failed
		case held:
			scn.note("RESULT: the rule was kept")
			result <- kept
		default:
			scn.note("RESULT: the rule was broken")
			result <- broken
		}
	}()
	defer scn.end()
	select {
	case code := <-result:
		scn.writeTables()
		return code
	case <-quit:
	case <-time.After(115 * time.Second):
	}
	scn.note("the case could not run: it took too long or was stopped")
	return failed
}

// route returns a route of the configuration.
func route(host, prefix, kind, service, timeout string) map[string]any {
	return map[string]any{
		"host": host, "pathPrefix": prefix, "kind": kind, "timeout": timeout, "targetLatency": "1000ms", "priority": 1, "service": service, "attempts": 2, "public": false,
	}
}

// configuration returns a configuration of the operator.
func configuration(version int, routes, tenants map[string]any, services ...string) map[string]any {
	svs := make(map[string]any)
	for _, name := range services {
		svs[name] = map[string]any{"healthPath": "/health", "maxConns": 390}
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": svs, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// tenant returns a tenant of the configuration. A rate of 0 means no limit.
func tenant(perSecond, burst float64, keys ...string) map[string]any {
	return map[string]any{"apiKeys": keys, "ratePerS": perSecond, "burst": burst}
}

// summary counts the results by status.
func summary(results []result) string {
	counts := make(map[int]int)
	for _, res := range results {
		counts[res.status]++
	}
	var out []string
	for status := range 600 {
		if counts[status] > 0 {
			out = append(out, fmt.Sprintf("%d: %d", status, counts[status]))
		}
	}
	return strings.Join(out, ", ")
}
