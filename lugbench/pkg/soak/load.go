package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/targetfake"
)

// sent is one request and what its caller got.
type sent struct {
	id   string
	once bool
	// spare is set for requests on the route that is taken away.
	spare bool
	at    time.Time
	// calm is set for requests after the last fault.
	calm     bool
	response playground.Response
	failed   bool
}

// load sends requests to VMs at random, over connections that it keeps.
type load struct {
	flt  *fleet
	rep  *Report
	http *http.Client
	calm atomic.Bool
}

func newLoad(flt *fleet, rep *Report) *load {
	return &load{flt: flt, rep: rep, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: requestTime + time.Second}}
}

func (loa *load) run(ctx context.Context) {
	tck := time.NewTicker(time.Second / time.Duration(loa.flt.set.PerSecond))
	defer tck.Stop()
	var wgr sync.WaitGroup
	for num := 0; ; num++ {
		select {
		case <-ctx.Done():
			wgr.Wait()
			return
		case <-tck.C:
			wgr.Go(func() { loa.send(num) })
		}
	}
}

// send sends one request: of five, two are orders and one uses the spare route.
func (loa *load) send(num int) {
	one := sent{id: fmt.Sprintf("request-%d", num), at: time.Now(), calm: loa.calm.Load()}
	method, path := http.MethodGet, "/recipes/x"
	switch num % 5 {
	case 0, 1:
		one.once, method, path = true, http.MethodPost, "/orders/x"
	case 2:
		one.spare, path = true, "/spare/x"
	}
	prc := loa.flt.vms[num%len(loa.flt.vms)]
	res, err := playground.Request(context.Background(), loa.http, prc.set.CallerAddress, method, path, one.id, playground.Key, requestTime)
	one.response, one.failed = res, err != nil
	loa.rep.add(one)
}

// Report is what a soak has seen.
type Report struct {
	seed uint64

	mut    sync.Mutex
	sents  []sent
	faults []string
	served int
	// calm and calmServed count the requests after the last fault.
	calm, calmServed int
	broken           []string
}

func (rep *Report) add(one sent) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	rep.sents = append(rep.sents, one)
}

func (rep *Report) breakf(format string, args ...any) {
	rep.broken = append(rep.broken, fmt.Sprintf(format, args...))
}

// notRun are the answers that say that the request has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// leastServed is the part of the requests that must be served once the faults
// are over.
const leastServed = 0.9

// judge compares what callers got with what targets ran.
func (rep *Report) judge(flt *fleet) {
	runs := make(map[string][]targetfake.Run)
	for _, tgt := range flt.targets {
		for _, run := range tgt.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			if run.Key {
				rep.breakf("%s came to a target with the caller's key", run.Request)
			}
			if run.Organisation != "studio" {
				rep.breakf("%s ran for %q", run.Request, run.Organisation)
			}
		}
	}
	withdrawn, gone := flt.withdrawnAt()
	for _, one := range rep.sents {
		rep.judgeOne(one, runs[one.id])
		if gone && one.spare && one.at.After(withdrawn.Add(revokeTime)) && len(runs[one.id]) > 0 {
			rep.breakf("%s ran %v after its route was withdrawn", one.id, one.at.Sub(withdrawn))
		}
	}
	if rep.calm > 0 && float64(rep.calmServed) < leastServed*float64(rep.calm) {
		rep.breakf("%d of %d requests were served once the faults were over", rep.calmServed, rep.calm)
	}
	for _, prc := range flt.vms {
		if prc.exits > 0 {
			rep.breakf("%s ended by itself %d times", prc.set.Name, prc.exits)
		}
	}
}

func (rep *Report) judgeOne(one sent, runs []targetfake.Run) {
	good := !one.failed && one.response.Status == http.StatusOK
	if good {
		rep.served++
	}
	if one.calm && !one.spare {
		rep.calm++
		if good {
			rep.calmServed++
		}
	}
	switch {
	case good && one.response.Body != targetfake.Answer(one.id):
		rep.breakf("%s got the answer %q", one.id, one.response.Body)
	case good && len(runs) == 0:
		rep.breakf("%s was answered and never ran", one.id)
	case one.once && len(runs) > 1:
		rep.breakf("%s ran %d times", one.id, len(runs))
	case !one.failed && notRun(one.response.Status) && len(runs) > 0:
		rep.breakf("%s was answered %d and ran", one.id, one.response.Status)
	}
}

// Write writes the report.
func (rep *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d requests, %d served, %d of %d once the faults were over; %d faults, %d promises broken\n",
		rep.seed, len(rep.sents), rep.served, rep.calmServed, rep.calm, len(rep.faults), len(rep.broken))
	if err != nil || len(rep.broken) == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "faults:\n  %s\nbroken:\n  %s\n", strings.Join(rep.faults, "\n  "), strings.Join(rep.broken, "\n  "))
	return err
}

// errBroken ends a soak in which a promise was broken.
var errBroken = errors.New("a promise was broken")

// Err returns an error if a promise was broken.
func (rep *Report) Err() error {
	if len(rep.broken) > 0 {
		return errBroken
	}
	return nil
}
