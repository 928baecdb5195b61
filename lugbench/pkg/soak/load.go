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

// sent is one request and what its caller got.
type sent struct {
	id   string
	once bool
	path string
	// organisation is that whose key the request carried.
	organisation string
	vm           *process
	at           time.Time
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

// The organisation with a small share asks for more than twice of it.
const (
	smallName      = "potter"
	smallKey       = "potter-key-0123456789"
	smallRate      = 10
	smallBurst     = 10
	smallPerSecond = 25
)

func (loa *load) run(ctx context.Context) {
	var wgr sync.WaitGroup
	wgr.Go(func() { loa.repeat(ctx, loa.flt.set.PerSecond, loa.send) })
	wgr.Go(func() { loa.repeat(ctx, smallPerSecond, loa.sendSmall) })
	wgr.Wait()
}

// repeat sends requests at a rate until ctx ends, and waits for their answers.
func (loa *load) repeat(ctx context.Context, perSecond int, send func(num int)) {
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

// kinds is the number of requests after which their kinds repeat.
const kinds = 6

// send sends one request: of six, two are orders and one uses each of the routes
// that are taken away.
func (loa *load) send(num int) {
	one := sent{id: fmt.Sprintf("request-%d", num), organisation: "studio", path: "/recipes/x"}
	switch num % kinds {
	case 0, 1:
		one.once, one.path = true, "/orders/x"
	case 2:
		one.path = sparePath + "x"
	case 3:
		one.path = latePath + "x"
	}
	loa.exchange(one, num, playground.Key)
}

// sendSmall sends one request of the organisation with a small share.
func (loa *load) sendSmall(num int) {
	loa.exchange(sent{id: fmt.Sprintf("small-%d", num), organisation: smallName, path: "/recipes/x"}, num, smallKey)
}

func (loa *load) exchange(one sent, num int, key string) {
	one.at, one.calm = time.Now(), loa.calm.Load()
	// Each kind comes to every VM in turn.
	one.vm = loa.flt.vms[(num+num/kinds)%len(loa.flt.vms)]
	method := http.MethodGet
	if one.once {
		method = http.MethodPost
	}
	res, err := playground.Request(context.Background(), loa.http, one.vm.set.CallerAddress, method, one.path, one.id, key, requestTime)
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
	var all []targetfake.Run
	for _, tgt := range flt.targets {
		for _, run := range tgt.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			all = append(all, run)
			if run.Key {
				rep.breakf("%s came to a target with the caller's key", run.Request)
			}
		}
	}
	for _, one := range rep.sents {
		rep.judgeOne(one, runs[one.id])
		rep.judgeWithdrawal(flt, one, runs[one.id])
	}
	rep.judgeShare(all)
	rep.judgeRetries(runs)
	rep.judgeLeaving(flt)
	if rep.calm > 0 && float64(rep.calmServed) < leastServed*float64(rep.calm) {
		rep.breakf("%d of %d requests were served once the faults were over", rep.calmServed, rep.calm)
	}
	for _, prc := range flt.vms {
		if prc.exits > 0 {
			rep.breakf("%s ended by itself %d times", prc.set.Name, prc.exits)
		}
	}
}

// judgeWithdrawal checks that no request runs on a route long withdrawn.
func (rep *Report) judgeWithdrawal(flt *fleet, one sent, runs []targetfake.Run) {
	for _, path := range []string{sparePath, latePath} {
		at, gone := flt.withdrawnAt(path)
		if gone && strings.HasPrefix(one.path, path) && one.at.After(at.Add(revokeTime)) && len(runs) > 0 {
			rep.breakf("%s ran at %s, sent %v after its route was withdrawn", one.id, one.vm.set.Name, one.at.Sub(at))
		}
	}
}

// The window in which an organisation's requests are counted, and what may run
// in it beyond its rate and burst.
const (
	shareWindow = 5 * time.Second
	shareExcess = 1.1
	shareSlack  = 20
)

// judgeShare checks that the organisation with a small share stays within it.
func (rep *Report) judgeShare(runs []targetfake.Run) {
	var ats []time.Time
	for _, run := range runs {
		if run.Organisation == smallName {
			ats = append(ats, run.At)
		}
	}
	most := int((smallRate*shareWindow.Seconds()+smallBurst)*shareExcess + shareSlack)
	if cnt := densest(ats, shareWindow); cnt > most {
		rep.breakf("%d requests of %s ran within %v, %d may", cnt, smallName, shareWindow, most)
	}
}

// densest returns the greatest number of times that lie within a window.
func densest(ats []time.Time, window time.Duration) int {
	slices.SortFunc(ats, time.Time.Compare)
	most, first := 0, 0
	for num, at := range ats {
		for at.Sub(ats[first]) > window {
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

// judgeRetries checks that requests are not sent again too often.
func (rep *Report) judgeRetries(runs map[string][]targetfake.Run) {
	var again, sends []time.Time
	for _, list := range runs {
		slices.SortFunc(list, func(one, two targetfake.Run) int { return one.At.Compare(two.At) })
		for _, run := range list[1:] {
			again = append(again, run.At)
		}
	}
	for _, one := range rep.sents {
		sends = append(sends, one.at)
	}
	if cnt, most := densest(again, retryWindow), int(retryShare*float64(densest(sends, retryWindow))+retryExtra); cnt > most {
		rep.breakf("%d requests were sent again within %v, %d may", cnt, retryWindow, most)
	}
}

// judgeLeaving checks that a target that left gets nothing, but from the VM that
// was cut off.
func (rep *Report) judgeLeaving(flt *fleet) {
	vms := make(map[string]*process)
	for _, one := range rep.sents {
		vms[one.id] = one.vm
	}
	for _, run := range flt.leaver.Runs() {
		if late := run.At.Sub(flt.left); late > drainTime && vms[run.Request] != flt.cutOff {
			rep.breakf("%s ran at %s, which had left %v before", run.Request, flt.leaver.ID(), late)
		}
	}
}

func (rep *Report) judgeOne(one sent, runs []targetfake.Run) {
	good := !one.failed && one.response.Status == http.StatusOK
	if good {
		rep.served++
	}
	if one.calm && one.organisation != smallName && !strings.HasPrefix(one.path, sparePath) {
		rep.calm++
		if good {
			rep.calmServed++
		}
	}
	for _, run := range runs {
		if run.Organisation != one.organisation {
			rep.breakf("%s of %s ran for %q", one.id, one.organisation, run.Organisation)
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
