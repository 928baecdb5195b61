package daemon

import (
	"context"
	"errors"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/node"
)

const (
	farewellTimeout = 2 * time.Second
	// leaveTimeout bounds the handing over of what the VM holds. The platform
	// may be away, and then the view cannot change.
	leaveTimeout = 5 * time.Second
	leavePoll    = 50 * time.Millisecond
)

// stop ends the service without cutting a request: the VM says that it is not
// ready, waits until the balancer has noticed, lets every request finish,
// leaves the view and closes.
func (dmn *Daemon) stop(ctx context.Context) error {
	dmn.log.Info("stopping: not ready from now on")
	dmn.runtime.Step(node.StopBegan{})
	dmn.callers.SetKeepAlivesEnabled(false)
	sleep(ctx, dmn.set.BalancerLag)
	drain, cancel := context.WithTimeout(ctx, dmn.set.DrainTimeout)
	defer cancel()
	err := dmn.callers.Shutdown(drain)
	if err != nil {
		dmn.log.WithError(err).Warn("requests are cut after the drain timeout")
		_ = dmn.callers.Close()
	}
	dmn.leave(ctx)
	farewell, cancelFarewell := context.WithTimeout(ctx, farewellTimeout)
	defer cancelFarewell()
	return errors.Join(err, dmn.operators.Close(), dmn.tracer.Shutdown(farewell))
}

// leave hands over the allowance that the VM holds and leaves the view.
func (dmn *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	dmn.runtime.Machine(func(mac *node.Machine, _ clock.Instant) { mac.Leave() })
	for drained := false; !drained; {
		dmn.runtime.Machine(func(mac *node.Machine, _ clock.Instant) { drained = mac.Drained() })
		if ctx.Err() != nil {
			dmn.log.Warn("cannot hand over everything; peers will exclude this VM")
			return
		}
		sleep(ctx, leavePoll)
	}
}
