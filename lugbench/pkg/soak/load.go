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
	// organisation is the one whose key the request carried.
	organisation string
	vm           *process
	// run is the run of the VM to which it was sent.
	run *programRun
	at  time.Time
	// padding is how many bytes follow the body of the response.
	padding int
	// upload is the length of the body in bytes, which is sent without waiting for the 100 Continue that the head asks for; 0 for
	// other requests. early is set if the target answers a part before it has read the body, and resets the connection.
	upload int
	early  bool
	// crash is the name of a request that crashes its targets; empty for all others.
	crash string
	// endedAt is when the whole response was read, and limits and leaving are what it announced.
	endedAt         time.Time
	limits, leaving string
	// afterFaults is set for requests sent in the time without faults between
	// injectFaults and runIsolation.
	afterFaults bool
	response    playground.Response
	// failed is set if no whole response was read.
	failed bool
	// cutReason says how the connection ended before the whole response was read, and is
	// empty where that is accepted. maybeUnread is set if the VM then may not have read
	// the request.
	cutReason   string
	maybeUnread bool
}

// load sends requests to VMs in turn, over connections that it reuses.
type load struct {
	flt *fleet
	// afterFaults is sentRequest.afterFaults for the requests that are sent now.
	afterFaults atomic.Bool
}

// The organisation with a small quota sends smallPerSecond requests a second, which is
// more than twice smallRate, its rate a second.
const (
	smallOrganisation = "potter"
	smallKey          = "potter-key-0123456789"
	smallRate         = 10
	smallBurst        = 10
	smallPerSecond    = 25
)

// sendAtRate sends requests at a rate until ctx is done, and waits for their responses.
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
	// pathCount is the length of requestPaths.
	pathCount = 6
	// pipelinedIndex is the index in requestPaths of the path to which two pipelined
	// requests are sent.
	pipelinedIndex = 4
	// readsPath and ordersPath are served by routes that are not withdrawn.
	readsPath  = "/recipes/x"
	ordersPath = "/orders/"
)

// requestPaths are the paths to which requests are sent in turn: first an order, then an
// order that sets its own latency, then the route that is withdrawn while faults are
// injected, then the one that is withdrawn at the end, and then two reads.
var requestPaths = [pathCount]string{ordersPath + "x", ordersPath + "x?" + targetfake.LatencyParameter + "=400ms", sparePath + "x", latePath + "x", readsPath, readsPath}

// send sends request num to the path in requestPaths whose turn it is; to the path at
// pipelinedIndex, it sends two pipelined requests.
func (loa *load) send(num int) {
	path := requestPaths[num%pathCount]
	reqs := []sentRequest{{id: fmt.Sprintf("request-%d", num), organisation: "studio", path: path, nonIdempotent: strings.HasPrefix(path, ordersPath)}}
	if num%pathCount == pipelinedIndex {
		reqs = append(reqs, reqs[0])
		reqs[1].id += "-behind"
	}
	loa.exchange(reqs, num, playground.Key)
}

// sendSmall sends one request of the organisation with a small quota.
func (loa *load) sendSmall(num int) {
	loa.exchange([]sentRequest{{id: fmt.Sprintf("small-%d", num), organisation: smallOrganisation, path: readsPath}}, num, smallKey)
}

// exchange sends requests to the VM whose turn it is and records what became of them.
func (loa *load) exchange(reqs []sentRequest, num int, key string) {
	// Adding num/pathCount sends the requests for each path to every VM in turn.
	vmm := loa.flt.vms[(num+num/pathCount)%len(loa.flt.vms)]
	if reqs[0].upload > 0 && !vmm.run.Load().isPresent(loa.flt.set) {
		return // Older programs mix up uploads that are sent ahead.
	}
	for idx := range reqs {
		reqs[idx].at, reqs[idx].afterFaults, reqs[idx].vm, reqs[idx].run = time.Now(), loa.afterFaults.Load(), vmm, vmm.run.Load()
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

// Report is what a soak has observed.
type Report struct {
	seed uint64

	mut      sync.Mutex
	requests []sentRequest
	faults   []string
	served   int
	// afterFaults counts the requests with sentRequest.afterFaults that the fleet should
	// serve, and afterFaultsServed those of them that it served.
	afterFaults, afterFaultsServed int
	// coverage is the line that lists the cells that are not covered. A cell is an event
	// in a phase; it is covered if the event was injected for that phase.
	coverage   string
	violations []string
}

func (rep *Report) add(reqs ...sentRequest) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	rep.requests = append(rep.requests, reqs...)
}

// faultf records a fault that is injected.
func (rep *Report) faultf(format string, args ...any) {
	rep.appendLine(&rep.faults, fmt.Sprintf(format, args...))
}

// violationf records a violation: a promise of the fleet was broken.
func (rep *Report) violationf(format string, args ...any) {
	rep.appendLine(&rep.violations, fmt.Sprintf(format, args...))
}

func (rep *Report) appendLine(list *[]string, line string) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	*list = append(*list, formatTime(time.Now())+" "+line)
}

// check records an error of the soak itself as a violation.
func (rep *Report) check(err error) {
	if err != nil {
		rep.violationf("the soak itself failed: %v", err)
	}
}

// notRunStatuses are the statuses of responses that state that the request has not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// minServedShare is the share of the requests that must be served once the faults are
// over.
const minServedShare = 0.9

// verify checks what callers got against what targets ran.
func (rep *Report) verify(flt *fleet) {
	runs := make(map[string][]targetfake.Run)
	for _, tgt := range flt.pgr.Targets {
		for _, run := range tgt.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			if run.Key {
				rep.violationf("%s reached a target with the caller's key", run.Request)
			}
			if run.Changed {
				rep.violationf("%s ran with another body than was sent", run.Request)
			}
		}
	}
	rep.verifyQuota(runs)
	rep.verifyRetries(runs)
	rep.verifyAnnouncements(flt)
	rep.verifyCrashes(flt)
	rep.verifyDrain(flt)
	for _, req := range rep.requests {
		rep.verifyResponse(req, runs[req.id])
		rep.verifyRuns(flt, req, runs[req.id])
		delete(runs, req.id)
	}
	if len(runs) > 0 {
		rep.violationf("%d requests ran that the soak has not sent", len(runs))
	}
	if rep.afterFaults > 0 && float64(rep.afterFaultsServed) < minServedShare*float64(rep.afterFaults) {
		rep.violationf("%d of %d requests were served once the faults were over", rep.afterFaultsServed, rep.afterFaults)
	}
}

// quotaWindow is the window in which an organisation's requests are counted. In it may
// run quotaFactor times what its rate and burst allow, and quotaSlack requests more.
// quotaFactor is 1 plus the default of lugd's quota-excess, which is the share of the
// limit by which it may be exceeded. quotaSlack is the default of quota-slack.
const (
	quotaWindow = 5 * time.Second
	quotaFactor = 1.1
	quotaSlack  = 20
)

// verifyQuota checks that no more requests of the organisation with a small quota ran
// than it allows.
func (rep *Report) verifyQuota(runs map[string][]targetfake.Run) {
	var times []time.Time
	for _, list := range runs {
		for _, run := range list {
			if run.Organisation == smallOrganisation {
				times = append(times, run.At)
			}
		}
	}
	most := int((smallRate*quotaWindow.Seconds()+smallBurst)*quotaFactor + quotaSlack)
	if cnt := maxInWindow(times, quotaWindow); cnt > most {
		rep.violationf("%d requests of %s ran within %v, at most %d may", cnt, smallOrganisation, quotaWindow, most)
	}
}

// maxInWindow returns the greatest number of times that lie within one window. It
// sorts them.
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

// The fleet's retry budget: retryShare of the requests within retryWindow, and
// retryExtra more.
const (
	retryShare  = 0.2
	retryExtra  = 64
	retryWindow = 10 * time.Second
)

// verifyRetries checks that the fleet stays within the retry budget. Every run of a
// request after its first counts as a retry.
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
		rep.violationf("%d retries ran within %v, at most %d may", cnt, retryWindow, most)
	}
}

// verifyRuns checks that one request ran for its organisation, not long after its route
// was withdrawn, and not at a target that had left, unless the isolated VM sent it.
func (rep *Report) verifyRuns(flt *fleet, req sentRequest, runs []targetfake.Run) {
	for _, run := range runs {
		if run.Organisation != req.organisation {
			rep.violationf("%s of %s ran for %q", req.id, req.organisation, run.Organisation)
		}
		if late := run.At.Sub(flt.leftAt); run.Target == flt.leavingTarget.ID() && late > leaveTolerance && req.vm != flt.isolatedVM {
			rep.violationf("%s ran at %s, which had left %v before", req.id, run.Target, late)
		}
	}
	for path, at := range flt.withdrawnAt {
		if late := req.at.Sub(at); strings.HasPrefix(req.path, path) && late > revokeTime && len(runs) > 0 {
			rep.violationf("%s ran at %s, sent %v after its route was withdrawn", req.id, req.vm.set.Name, late)
		}
	}
}

// verifyResponse counts one request and checks what its caller got against its runs.
// Requests of the organisation with a small quota and those for the route withdrawn
// meanwhile don't count among afterFaults, since the fleet may refuse them.
func (rep *Report) verifyResponse(req sentRequest, runs []targetfake.Run) {
	succeeded := !req.failed && req.response.Status == http.StatusOK
	if succeeded {
		rep.served++
	}
	if req.afterFaults && req.organisation != smallOrganisation && !strings.HasPrefix(req.path, sparePath) && req.crash == "" {
		rep.afterFaults++
		if succeeded {
			rep.afterFaultsServed++
		}
	}
	switch {
	case succeeded && req.early:
		rep.violationf("%s got %d bytes as a whole response, of a target that reset the connection", req.id, len(req.response.Body))
	case req.cutReason != "" && req.padding > bufferedBytes:
		// Its target may have cut it, which its caller must see.
	case req.cutReason != "" && (len(runs) > 0 || !req.maybeUnread):
		rep.violationf("%s at %s ran %d times and was %s", req.id, req.vm.set.Name, len(runs), req.cutReason)
	case succeeded && req.response.Body != targetfake.PaddedBody(req.id, req.padding):
		rep.violationf("%s got a response body of %d bytes that begins with %.40q", req.id, len(req.response.Body), req.response.Body)
	case succeeded && len(runs) == 0:
		rep.violationf("%s was answered and never ran", req.id)
	case req.nonIdempotent && len(runs) > 1:
		rep.violationf("%s ran %d times", req.id, len(runs))
	case !req.failed && slices.Contains(notRunStatuses, req.response.Status) && len(runs) > 0:
		rep.violationf("%s was answered %d and ran", req.id, req.response.Status)
	}
}

// Write writes the report, and returns an error if a promise was broken.
// _scripts/check-soak.sh matches the line "broken:" and some of the lines after it.
func (rep *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d requests, %d served, %d of %d once the faults were over; %d faults, %d promises broken\n%s\n",
		rep.seed, len(rep.requests), rep.served, rep.afterFaultsServed, rep.afterFaults, len(rep.faults), len(rep.violations), rep.coverage)
	if err != nil || len(rep.violations) == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "faults:\n  %s\nbroken:\n  %s\n", strings.Join(rep.faults, "\n  "), strings.Join(rep.violations, "\n  "))
	return errors.Join(errors.New("a promise was broken"), err)
}
