package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/targetfake"
)

// sentRequest is one request and what its caller got.
type sentRequest struct {
	id            string
	nonIdempotent bool
	path          string
	// organisation is that whose key the request carried.
	organisation string
	vm           *process
	at           time.Time
	// afterFaults is set for requests after the last fault.
	afterFaults bool
	response    playground.Response
	failed      bool
	// cutReason says how the connection ended without a whole answer, where there is no
	// excuse; crossed is set if the VM then need not have read the request.
	cutReason   string
	maybeUnread bool
}

// load sends requests to VMs in turn, over connections that it keeps.
type load struct {
	flt         *fleet
	afterFaults atomic.Bool
}

// The organisation with a small share asks for more than twice of it.
const (
	smallOrganisation = "potter"
	smallKey          = "potter-key-0123456789"
	smallRate         = 10
	smallBurst        = 10
	smallPerSecond    = 25
)

// sendAtRate sends requests at a rate until ctx ends, and waits for their answers.
func (loa *load) sendAtRate(ctx context.Context, perSecond int, send func(num int)) {
	tck := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tck.Stop()
	var wgr sync.WaitGroup
	for num := 0; ; num++ {
		select {
		case <-ctx.Done():
			wgr.Wait()
			return
		case <-tck.C:
			wgr.Go(func() { send(num) })
		}
	}
}

const (
	// kindCount is the number of requests after which their kinds repeat.
	kindCount = 6
	// pairKind is the kind of which two are sent at once.
	pairKind = 4
	// readsPath and ordersPath are served by routes that stay.
	readsPath  = "/recipes/x"
	ordersPath = "/orders/"
)

// kindPaths are those of the requests by their kind.
var kindPaths = [kindCount]string{ordersPath + "x", ordersPath + "x?" + targetfake.LatencyParameter + "=400ms", sparePath + "x", latePath + "x", readsPath, readsPath}

// send sends one request, or two at once: of six, two are orders, of which one
// takes longer, and one uses each of the routes that are taken away.
func (loa *load) send(num int) {
	path := kindPaths[num%kindCount]
	reqs := []sentRequest{{id: fmt.Sprintf("request-%d", num), organisation: "studio", path: path, nonIdempotent: strings.HasPrefix(path, ordersPath)}}
	if num%kindCount == pairKind {
		reqs = append(reqs, reqs[0])
		reqs[1].id += "-behind"
	}
	loa.exchange(reqs, num, playground.Key)
}

// sendSmall sends one request of the organisation with a small share.
func (loa *load) sendSmall(num int) {
	loa.exchange([]sentRequest{{id: fmt.Sprintf("small-%d", num), organisation: smallOrganisation, path: readsPath}}, num, smallKey)
}

func (loa *load) exchange(reqs []sentRequest, num int, key string) {
	// Each kind comes to every VM in turn.
	vmm := loa.flt.vms[(num+num/kindCount)%len(loa.flt.vms)]
	for idx := range reqs {
		reqs[idx].at, reqs[idx].afterFaults, reqs[idx].vm = time.Now(), loa.afterFaults.Load(), vmm
	}
	if con, err := vmm.connect(); err != nil {
		for idx := range reqs {
			reqs[idx].failed = true
		}
	} else if con.exchange(reqs, key) {
		vmm.idleConns <- con
	}
	loa.flt.rep.add(reqs...)
}

// Report is what a soak has seen.
type Report struct {
	seed uint64

	mut      sync.Mutex
	requests []sentRequest
	faults   []string
	served   int
	// afterFaults and afterFaultsServed count the requests after the last fault.
	afterFaults, afterFaultsServed int
	// coverage says which events came in which phases.
	coverage   string
	violations []string
}

func (rep *Report) add(reqs ...sentRequest) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	rep.requests = append(rep.requests, reqs...)
}

// faultf notes a fault that is injected.
func (rep *Report) faultf(format string, args ...any) {
	rep.appendLine(&rep.faults, fmt.Sprintf(format, args...))
}

// violationf notes a promise that was broken.
func (rep *Report) violationf(format string, args ...any) {
	rep.appendLine(&rep.violations, fmt.Sprintf(format, args...))
}

func (rep *Report) appendLine(list *[]string, line string) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	*list = append(*list, formatTime(time.Now())+" "+line)
}

// check notes an error of the soak itself.
func (rep *Report) check(err error) {
	if err != nil {
		rep.violationf("the soak has failed: %v", err)
	}
}

// notRunStatuses are the answers that say that the request has not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// minServedShare is the part of the requests that must be served once the faults
// are over.
const minServedShare = 0.9

// verify compares what callers got with what targets ran.
func (rep *Report) verify(flt *fleet) {
	runs := make(map[string][]targetfake.Run)
	for _, tgt := range flt.pgr.Targets {
		for _, run := range tgt.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			if run.Key {
				rep.violationf("%s came to a target with the caller's key", run.Request)
			}
		}
	}
	rep.verifyQuota(runs)
	rep.verifyRetries(runs)
	for _, req := range rep.requests {
		rep.verifyResponse(req, runs[req.id])
		rep.verifyRuns(flt, req, runs[req.id])
		delete(runs, req.id)
	}
	if len(runs) > 0 {
		rep.violationf("%d requests ran that nobody has sent", len(runs))
	}
	if rep.afterFaults > 0 && float64(rep.afterFaultsServed) < minServedShare*float64(rep.afterFaults) {
		rep.violationf("%d of %d requests were served once the faults were over", rep.afterFaultsServed, rep.afterFaults)
	}
}

// The window in which an organisation's requests are counted, and what may run
// in it beyond its rate and burst.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 1.1
	quotaSlack  = 20
)

// verifyQuota checks that the organisation with a small share stays within it.
func (rep *Report) verifyQuota(runs map[string][]targetfake.Run) {
	var times []time.Time
	for _, list := range runs {
		for _, run := range list {
			if run.Organisation == smallOrganisation {
				times = append(times, run.At)
			}
		}
	}
	most := int((smallRate*quotaWindow.Seconds()+smallBurst)*quotaExcess + quotaSlack)
	if cnt := maxInWindow(times, quotaWindow); cnt > most {
		rep.violationf("%d requests of %s ran within %v, %d may", cnt, smallOrganisation, quotaWindow, most)
	}
}

// maxInWindow returns the greatest number of times that lie within a window.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for num, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, num-first+1)
	}
	return most
}

// The retries that the programs are allowed.
const (
	retryShare  = 0.2
	retryExtra  = 64
	retryWindow = 10 * time.Second
)

// verifyRetries checks that requests are not sent again too often.
func (rep *Report) verifyRetries(runs map[string][]targetfake.Run) {
	var retries, sentAt []time.Time
	for _, list := range runs {
		slices.SortFunc(list, func(one, two targetfake.Run) int { return one.At.Compare(two.At) })
		for _, run := range list[1:] {
			retries = append(retries, run.At)
		}
	}
	for _, one := range rep.requests {
		sentAt = append(sentAt, one.at)
	}
	if cnt, most := maxInWindow(retries, retryWindow), int(retryShare*float64(maxInWindow(sentAt, retryWindow))+retryExtra); cnt > most {
		rep.violationf("%d requests were sent again within %v, %d may", cnt, retryWindow, most)
	}
}

// verifyRuns checks where one request ran: on no route that was withdrawn, and at
// no target that had left, but from the VM that was cut off.
func (rep *Report) verifyRuns(flt *fleet, req sentRequest, runs []targetfake.Run) {
	for _, run := range runs {
		if run.Organisation != req.organisation {
			rep.violationf("%s of %s ran for %q", req.id, req.organisation, run.Organisation)
		}
		if late := run.At.Sub(flt.leftAt); run.Target == flt.leavingTarget.ID() && late > drainTime && req.vm != flt.isolatedVM {
			rep.violationf("%s ran at %s, which had left %v before", req.id, run.Target, late)
		}
	}
	for path, at := range flt.withdrawnAt {
		if late := req.at.Sub(at); strings.HasPrefix(req.path, path) && late > revokeTime && len(runs) > 0 {
			rep.violationf("%s ran at %s, sent %v after its route was withdrawn", req.id, req.vm.set.Name, late)
		}
	}
}

// verifyResponse checks what the caller of one request got.
func (rep *Report) verifyResponse(req sentRequest, runs []targetfake.Run) {
	succeeded := !req.failed && req.response.Status == http.StatusOK
	if succeeded {
		rep.served++
	}
	if req.afterFaults && req.organisation != smallOrganisation && !strings.HasPrefix(req.path, sparePath) {
		rep.afterFaults++
		if succeeded {
			rep.afterFaultsServed++
		}
	}
	switch {
	case req.cutReason != "" && (len(runs) > 0 || !req.maybeUnread):
		rep.violationf("%s at %s ran %d times and was %s", req.id, req.vm.set.Name, len(runs), req.cutReason)
	case succeeded && req.response.Body != targetfake.ResponseBody(req.id):
		rep.violationf("%s got the answer %q", req.id, req.response.Body)
	case succeeded && len(runs) == 0:
		rep.violationf("%s was answered and never ran", req.id)
	case req.nonIdempotent && len(runs) > 1:
		rep.violationf("%s ran %d times", req.id, len(runs))
	case !req.failed && slices.Contains(notRunStatuses, req.response.Status) && len(runs) > 0:
		rep.violationf("%s was answered %d and ran", req.id, req.response.Status)
	}
}

// Write writes the report, and returns an error if a promise was broken.
func (rep *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d requests, %d served, %d of %d once the faults were over; %d faults, %d promises broken\n%s\n",
		rep.seed, len(rep.requests), rep.served, rep.afterFaultsServed, rep.afterFaults, len(rep.faults), len(rep.violations), rep.coverage)
	if err != nil || len(rep.violations) == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "faults:\n  %s\nbroken:\n  %s\n", strings.Join(rep.faults, "\n  "), strings.Join(rep.violations, "\n  "))
	return errors.Join(errors.New("a promise was broken"), err)
}
