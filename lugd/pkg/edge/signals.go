package edge

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
)

// signals are those that operators and the platform send to the process. They
// are taken until the process is gone: given back to its default action, any of
// them would end the process in mid-request.
type signals struct {
	// stop asks for a planned stop, and reload for the settings to be read anew.
	// Both hold one signal; more of a kind ask for nothing more.
	stop, reload chan os.Signal
}

// catchSignals is called once, first thing in the process.
func catchSignals() *signals {
	sgs := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(sgs.reload, syscall.SIGHUP)
	// Whoever reads the logs may leave; writing to them must fail, not end the
	// process.
	signal.Ignore(syscall.SIGPIPE)
	// A terminal must not halt a VM that serves callers.
	signal.Ignore(syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU)
	return sgs
}

// catchStopSignals is called before anything is served. Until then, a signal to stop
// ends the process by its default action.
func (sgs *signals) catchStopSignals() {
	signal.Notify(sgs.stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
}

// stopContext returns a context that ends with the first signal to stop. Each
// one is told.
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
