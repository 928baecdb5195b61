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
	// cut says how the connection ended without a whole answer, where there is no
	// excuse; crossed is set if the VM then need not have read the request.
	cut     string
	crossed bool
}

// load sends requests to VMs in turn, over connections that it keeps.
type load struct {
	flt  *fleet
	calm atomic.Bool
}

// The organisation with a small share asks for more than twice of it.
const (
	smallName      = "potter"
	smallKey       = "potter-key-0123456789"
	smallRate      = 10
	smallBurst     = 10
	smallPerSecond = 25
)

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

const (
	// kinds is the number of requests after which their kinds repeat.
	kinds = 6
	// pairs is the kind of which two are sent at once.
	pairs = 4
	// readsPath and ordersPath are served by routes that stay.
	readsPath  = "/recipes/x"
	ordersPath = "/orders/"
)

// paths are those of the requests by their kind.
var paths = [kinds]string{ordersPath + "x", ordersPath + "x?" + targetfake.WorkQuery + "=400ms", sparePath + "x", latePath + "x", readsPath, readsPath}

// send sends one request, or two at once: of six, two are orders, of which one
// takes longer, and one uses each of the routes that are taken away.
func (loa *load) send(num int) {
	path := paths[num%kinds]
	ones := []sent{{id: fmt.Sprintf("request-%d", num), organisation: "studio", path: path, once: strings.HasPrefix(path, ordersPath)}}
	if num%kinds == pairs {
		ones = append(ones, ones[0])
		ones[1].id += "-behind"
	}
	loa.exchange(ones, num, playground.Key)
}

// sendSmall sends one request of the organisation with a small share.
func (loa *load) sendSmall(num int) {
	loa.exchange([]sent{{id: fmt.Sprintf("small-%d", num), organisation: smallName, path: readsPath}}, num, smallKey)
}

func (loa *load) exchange(ones []sent, num int, key string) {
	// Each kind comes to every VM in turn.
	vmm := loa.flt.vms[(num+num/kinds)%len(loa.flt.vms)]
	for idx := range ones {
		ones[idx].at, ones[idx].calm, ones[idx].vm = time.Now(), loa.calm.Load(), vmm
	}
	if con, err := vmm.connect(); err != nil {
		for idx := range ones {
			ones[idx].failed = true
		}
	} else if con.exchange(ones, key) {
		vmm.idle <- con
	}
	loa.flt.rep.add(ones...)
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
	// cells says which events came in which phases.
	cells  string
	broken []string
}

func (rep *Report) add(ones ...sent) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	rep.sents = append(rep.sents, ones...)
}

// tell notes a fault that is injected.
func (rep *Report) tell(format string, args ...any) {
	rep.note(&rep.faults, fmt.Sprintf(format, args...))
}

// breakf notes a promise that was broken.
func (rep *Report) breakf(format string, args ...any) {
	rep.note(&rep.broken, fmt.Sprintf(format, args...))
}

func (rep *Report) note(list *[]string, line string) {
	rep.mut.Lock()
	defer rep.mut.Unlock()
	*list = append(*list, stamp(time.Now())+" "+line)
}

// check notes an error of the soak itself.
func (rep *Report) check(err error) {
	if err != nil {
		rep.breakf("the soak has failed: %v", err)
	}
}

// notRun are the answers that say that the request has not run.
var notRun = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// leastServed is the part of the requests that must be served once the faults
// are over.
const leastServed = 0.9

// judge compares what callers got with what targets ran.
func (rep *Report) judge(flt *fleet) {
	runs := make(map[string][]targetfake.Run)
	for _, tgt := range flt.pgr.Targets {
		for _, run := range tgt.Runs() {
			runs[run.Request] = append(runs[run.Request], run)
			if run.Key {
				rep.breakf("%s came to a target with the caller's key", run.Request)
			}
		}
	}
	rep.judgeShare(runs)
	rep.judgeRetries(runs)
	for _, one := range rep.sents {
		rep.judgeOne(one, runs[one.id])
		rep.judgeRuns(flt, one, runs[one.id])
		delete(runs, one.id)
	}
	if len(runs) > 0 {
		rep.breakf("%d requests ran that nobody has sent", len(runs))
	}
	if rep.calm > 0 && float64(rep.calmServed) < leastServed*float64(rep.calm) {
		rep.breakf("%d of %d requests were served once the faults were over", rep.calmServed, rep.calm)
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
func (rep *Report) judgeShare(runs map[string][]targetfake.Run) {
	var ats []time.Time
	for _, list := range runs {
		for _, run := range list {
			if run.Organisation == smallName {
				ats = append(ats, run.At)
			}
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

// judgeRuns checks where one request ran: on no route that was withdrawn, and at
// no target that had left, but from the VM that was cut off.
func (rep *Report) judgeRuns(flt *fleet, one sent, runs []targetfake.Run) {
	for _, run := range runs {
		if run.Organisation != one.organisation {
			rep.breakf("%s of %s ran for %q", one.id, one.organisation, run.Organisation)
		}
		if late := run.At.Sub(flt.left); run.Target == flt.leaver.ID() && late > drainTime && one.vm != flt.cutOff {
			rep.breakf("%s ran at %s, which had left %v before", one.id, run.Target, late)
		}
	}
	for path, at := range flt.withdrawn {
		if late := one.at.Sub(at); strings.HasPrefix(one.path, path) && late > revokeTime && len(runs) > 0 {
			rep.breakf("%s ran at %s, sent %v after its route was withdrawn", one.id, one.vm.set.Name, late)
		}
	}
}

// judgeOne checks what the caller of one request got.
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
	switch {
	case one.cut != "" && (len(runs) > 0 || !one.crossed):
		rep.breakf("%s at %s ran %d times and was %s", one.id, one.vm.set.Name, len(runs), one.cut)
	case good && one.response.Body != targetfake.Answer(one.id):
		rep.breakf("%s got the answer %q", one.id, one.response.Body)
	case good && len(runs) == 0:
		rep.breakf("%s was answered and never ran", one.id)
	case one.once && len(runs) > 1:
		rep.breakf("%s ran %d times", one.id, len(runs))
	case !one.failed && slices.Contains(notRun, one.response.Status) && len(runs) > 0:
		rep.breakf("%s was answered %d and ran", one.id, one.response.Status)
	}
}

// Write writes the report, and returns an error if a promise was broken.
func (rep *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d requests, %d served, %d of %d once the faults were over; %d faults, %d promises broken\n%s\n",
		rep.seed, len(rep.sents), rep.served, rep.calmServed, rep.calm, len(rep.faults), len(rep.broken), rep.cells)
	if err != nil || len(rep.broken) == 0 {
		return err
	}
	_, err = fmt.Fprintf(out, "faults:\n  %s\nbroken:\n  %s\n", strings.Join(rep.faults, "\n  "), strings.Join(rep.broken, "\n  "))
	return errors.Join(errors.New("a promise was broken"), err)
}
