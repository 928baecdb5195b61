package daemon

import (
	"context"
	"errors"
	"time"

	"marigoldlug.example/core/node"
)

const farewellTimeout = 2 * time.Second

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
	farewell, cancelFarewell := context.WithTimeout(ctx, farewellTimeout)
	defer cancelFarewell()
	if _, verr := dmn.committer.ChangeView(farewell, nil, []string{dmn.self.ID}); verr != nil {
		dmn.log.WithError(verr).Warn("cannot leave the view; peers will exclude this VM")
	}
	return errors.Join(err, dmn.operators.Close(), dmn.tracer.Shutdown(farewell))
}
