package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"marigoldlug.example/core/request"
	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/pkg/driver"
)

const (
	// crashStreams is the number of requests that crash targets, each of which comes again and again.
	crashStreams = 3
	// firstCrashStream separates their random numbers from those of other streams.
	firstCrashStream = 1 << 33
	// meanCrashInterval is the mean time between two attempts of the same request. The first comes up to
	// crashStartSpread after the faults begin.
	meanCrashInterval = 600 * time.Millisecond
	crashStartSpread  = 5 * time.Second
	// provenCrashes is the number of targets that may crash under a request before it is proven, and
	// maxLateSends how often it may reach targets later than stableTime after that.
	provenCrashes = 3
	maxLateSends  = 3
	// minCrashTime and crashTimeSpread say how long a target that has crashed is away.
	minCrashTime    = 500 * time.Millisecond
	crashTimeSpread = 2 * time.Second
)

// crashTarget closes a target's port and connections, and starts it again after a while as another run.
func (flt *fleet) crashTarget(ctx context.Context, tgt *targetfake.Target, prx *proxy) {
	flt.rep.faultf("%s crashes", tgt.ID())
	prx.close()
	go func() {
		driver.Sleep(ctx, minCrashTime+time.Duration(rand.Int64N(int64(crashTimeSpread))))
		if ctx.Err() != nil {
			return
		}
		flt.registering.Lock()
		defer flt.registering.Unlock()
		tgt.Restart()
		flt.rep.check(prx.open(prx.address()))
		flt.rep.check(tgt.Register(prx.address(), tgt == flt.leavingTarget))
	}()
}

// sendCrashes sends one request that crashes its targets again and again, until ctx is done. Those with an
// odd number are not idempotent.
func (loa *load) sendCrashes(ctx context.Context, stream int) {
	rnd := rand.New(rand.NewPCG(loa.flt.set.Seed, firstCrashStream+uint64(stream)))
	name := fmt.Sprint("bad", stream)
	path := readsPath
	if stream%2 == 1 {
		path = ordersPath + "x"
	}
	driver.Sleep(ctx, time.Duration(rnd.Int64N(int64(crashStartSpread))))
	for num := 0; ctx.Err() == nil; num++ {
		req := sentRequest{
			id: fmt.Sprintf("%s-%d", name, num), organisation: "studio", path: path + "?" + targetfake.CrashParameter + "=" + name,
			nonIdempotent: strings.HasPrefix(path, ordersPath), crash: name,
		}
		loa.exchange([]sentRequest{req}, rnd.IntN(len(loa.flt.vms)), playground.Key)
		driver.Sleep(ctx, time.Duration(rnd.ExpFloat64()*float64(meanCrashInterval)))
	}
}

// verifyCrashes checks that requests which have crashed targets are not sent on, and no others refused for
// that.
func (rep *Report) verifyCrashes(flt *fleet) {
	reqs := make(map[string]sentRequest)
	for _, req := range rep.requests {
		reqs[req.id] = req
		if req.crash == "" && strings.Contains(req.response.Body, string(request.Quarantined)) {
			rep.violationf("%s crashes no target and was refused: %s", req.id, req.response.Body)
		}
	}
	crashes, arrivals := make(map[string][]time.Time), make(map[string][]targetfake.Arrival)
	for _, tgt := range flt.pgr.Targets {
		for _, crs := range tgt.Crashes() {
			crashes[crs.Name] = append(crashes[crs.Name], crs.At)
		}
		for _, arr := range tgt.Arrivals() {
			arrivals[arr.Crash] = append(arrivals[arr.Crash], arr)
		}
	}
	for name, times := range crashes {
		slices.SortFunc(times, time.Time.Compare)
		rep.faultf("%s crashed %d targets", name, len(times))
		if len(times) < provenCrashes {
			continue
		}
		provenAt, late := times[provenCrashes-1], 0
		for _, arr := range arrivals[name] {
			req := reqs[arr.Request]
			if arr.At.Sub(provenAt) > stableTime && !req.vm.unstable(arr.At) && arr.At.Sub(req.run.startedAt) > stableTime {
				late++
			}
		}
		if late > maxLateSends {
			rep.violationf("%s reached targets %d times later than %v after it had crashed %d; it crashed %d", name, late, stableTime, provenCrashes, len(times))
		}
	}
}
