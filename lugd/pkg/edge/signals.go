package edge

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
)

// signals are the signals that operators and the platform send to the process. They
// stay caught until the process exits: by their default action, any of them would end
// it while requests are in flight.
type signals struct {
	// stop asks for a graceful stop, and reload for the settings to be loaded again.
	// Both hold one signal, since further ones of the same kind add nothing.
	stop, reload chan os.Signal
}

// catchSignals makes the process catch SIGHUP and ignore signals that must not affect it. It
// is called once, first thing in the process.
func catchSignals() *signals {
	sgs := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(sgs.reload, syscall.SIGHUP)
	// When the reader of the logs closes its end of the pipe, a write must fail and not
	// end the process.
	signal.Ignore(syscall.SIGPIPE)
	// A terminal must not suspend a VM that serves callers.
	signal.Ignore(syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU)
	return sgs
}

// catchStopSignals catches the signals that ask for a stop. It is called before anything
// is served; until then, they end the process by their default action.
func (sgs *signals) catchStopSignals() {
	signal.Notify(sgs.stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
}

// stopContext returns a context that ends with the first signal to stop, whose name is the
// cause. Each signal to stop is passed to onSignal.
func (sgs *signals) stopContext(onSignal func(sig os.Signal)) context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		for sig := range sgs.stop {
			onSignal(sig)
			cancel(errors.New(sig.String()))
		}
	}()
	return ctx
}
