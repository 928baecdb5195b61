package driver

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

// ErrHistoryGone is returned by Watch when the platform has dropped the changes
// since the revision asked for.
var ErrHistoryGone = errors.New("the platform has dropped its history")

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns every object. What is listed cheaply may be old by seconds.
	List(ctx context.Context, allowStale bool) (table.Delta[T], error)
	// Watch returns what has changed since a revision, as soon as anything has
	// and after wait at the latest.
	Watch(ctx context.Context, since uint64, wait time.Duration) (table.Delta[T], error)
}

// Platform is where the configuration, the targets and the fleet are stored.
type Platform interface {
	Config() Source[*gateway.Config]
	Targets() Source[registry.Entry]
	Fleet() Source[fleet.Row]
	// Write stores an object of the fleet that has the given revision, 0 for a
	// new one.
	Write(ctx context.Context, name string, row fleet.Row, revision uint64) error
	// Delete removes an object of the fleet that has the given revision.
	Delete(ctx context.Context, name string, revision uint64) error
}

// readOptions says how often a kind of object is read.
type readOptions struct {
	// allowStale is set where a VM that has just started lists the objects cheaply.
	allowStale bool
	// watchDelay is how long a VM that has listed the objects looks for another VM
	// to follow before it watches them itself.
	watchDelay time.Duration
	// wait is how long the platform is asked to wait for a change. What a watch
	// returns is known to be the newest only at the time of its sending.
	wait time.Duration
	// minInterval is the least time between two watches, so that changes in quick
	// succession take one.
	minInterval time.Duration
	// backoffLimit bounds the pause after a failed read.
	backoffLimit time.Duration
}

// The paces of VMs that read for others, and of those that read for themselves.
var (
	configReadOptions  = readOptions{watchDelay: shortWatchDelay, wait: feed.WatchTimeout, backoffLimit: maxBackoff}
	targetsReadOptions = readOptions{allowStale: true, watchDelay: shortWatchDelay, wait: 1500 * time.Millisecond, minInterval: 250 * time.Millisecond, backoffLimit: maxBackoff}
	fleetReadOptions   = readOptions{allowStale: true, watchDelay: shortWatchDelay, wait: time.Second, minInterval: 100 * time.Millisecond, backoffLimit: maxBackoff}

	sparingConfigReadOptions  = readOptions{watchDelay: longWatchDelay, wait: feed.WatchTimeout, backoffLimit: sparingMaxBackoff}
	sparingTargetsReadOptions = readOptions{allowStale: true, watchDelay: longWatchDelay, wait: 1500 * time.Millisecond, minInterval: 900 * time.Millisecond, backoffLimit: sparingMaxBackoff}
	sparingFleetReadOptions   = readOptions{allowStale: true, watchDelay: shortWatchDelay, wait: 2500 * time.Millisecond, minInterval: 1500 * time.Millisecond, backoffLimit: sparingMaxBackoff}
)

const (
	// confirmWait is the wait of a watch that is to prove at once that nothing has
	// changed.
	confirmWait = 10 * time.Millisecond
	// answerMargin is how long an answer may take beyond the wait.
	answerMargin = 800 * time.Millisecond
	// shortWatchDelay is long enough for VMs that start together to be listed, which
	// the fleet's list tells, and longSettleTime to follow one of them then.
	shortWatchDelay = 300 * time.Millisecond
	longWatchDelay  = 600 * time.Millisecond
	// listTimeout bounds a listing.
	listTimeout = 2 * time.Second
	// firstBackoff is the pause after a first failed read; lastPause and
	// sparingPause bound later ones. A VM that reads for itself hears from the
	// others once the platform answers them.
	firstBackoff      = 100 * time.Millisecond
	maxBackoff        = 800 * time.Millisecond
	sparingMaxBackoff = 2 * time.Second
)

// setReading starts or ends the reading of the platform.
func (dri *Driver) setReading(set gateway.SetReading) {
	if dri.stopReading != nil {
		dri.stopReading()
		dri.stopReading = nil
	}
	if !set.On || dri.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(dri.ctx)
	dri.stopReading = cancel
	revisions, since := dri.mac.Revisions(), dri.configRevision
	con, tgs, flt := configReadOptions, targetsReadOptions, fleetReadOptions
	// A VM that reads for itself asks for the configuration only until the
	// platform answers.
	answered := make(chan struct{})
	markAnswered := sync.OnceFunc(func() { close(answered) })
	if set.Sparing {
		con, tgs, flt = sparingConfigReadOptions, sparingTargetsReadOptions, sparingFleetReadOptions
	} else {
		markAnswered()
	}
	dri.work.Go(func() {
		read(ctx, dri, configKind, dri.platform.Config(), since, con, func(requestedAt clock.Instant, del table.Delta[*gateway.Config]) {
			dri.handleConfig(requestedAt, del)
			markAnswered()
		})
	})
	dri.work.Go(func() {
		if !await(ctx, answered) {
			return
		}
		read(ctx, dri, targetsKind, dri.platform.Targets(), revisions.Targets, tgs, func(requestedAt clock.Instant, del table.Delta[registry.Entry]) {
			dri.Step(gateway.TargetsRead{RequestedAt: requestedAt, Update: del})
		})
	})
	dri.work.Go(func() {
		if !await(ctx, answered) {
			return
		}
		read(ctx, dri, fleetKind, dri.platform.Fleet(), revisions.Fleet, flt, func(requestedAt clock.Instant, del table.Delta[fleet.Row]) {
			dri.Step(gateway.FleetRead{RequestedAt: requestedAt, Update: del})
		})
	})
}

// await waits until a channel is closed, and reports whether it was before ctx
// ended.
func await(ctx context.Context, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleConfig delivers the newest configuration that was read.
func (dri *Driver) handleConfig(requestedAt clock.Instant, del table.Delta[*gateway.Config]) {
	evt := gateway.ConfigRead{RequestedAt: requestedAt}
	for _, row := range del.Rows {
		if row.Value != nil && (evt.Update == nil || row.Value.Version > evt.Update.Version) {
			evt.Update = row.Value
		}
	}
	dri.mut.Lock()
	defer dri.mut.Unlock()
	dri.configRevision = del.Revision
	dri.step(evt)
}

// read follows one kind of object until ctx ends. What was listed cheaply is
// taken without a time at which it was the newest.
func read[T any](ctx context.Context, dri *Driver, kind string, src Source[T], since uint64, opt readOptions, handle func(requestedAt clock.Instant, del table.Delta[T])) {
	log := dri.log.WithField("kind", kind)
	backoff, lost, allowStale, wait := firstBackoff, false, opt.allowStale, confirmWait
	for ctx.Err() == nil {
		requestedAt := dri.clock.Now()
		listed := since == 0
		del, err := readOnce(ctx, src, since, wait, allowStale)
		if ctx.Err() == nil {
			dri.metrics.PlatformCall(kind, callName(listed, allowStale), outcomeOf(err))
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			log.WithField("since", since).Info("the platform dropped its history; listing anew")
			since, allowStale = 0, false
			continue
		case err != nil:
			if !lost {
				log.WithError(err).Warn("platform lost")
			}
			lost, wait = true, confirmWait
			Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, opt.backoffLimit)
			continue
		}
		if lost {
			log.WithField("revision", del.Revision).Info("platform regained")
		}
		backoff, lost = firstBackoff, false
		since = del.Revision
		if listed {
			if allowStale {
				requestedAt = clock.Instant{}
			}
			handle(requestedAt, del)
			Sleep(ctx, opt.watchDelay)
			continue
		}
		handle(requestedAt, del)
		wait = opt.wait
		if left := opt.minInterval - dri.clock.Now().Since(requestedAt); left > 0 {
			Sleep(ctx, left)
		}
	}
}

// The kinds of objects, as metrics and logs name them.
const (
	configKind  = "config"
	targetsKind = "targets"
	fleetKind   = "fleet"
)

func callName(listed, allowStale bool) string {
	switch {
	case listed && allowStale:
		return "cheapList"
	case listed:
		return "list"
	}
	return "watch"
}

// outcomeOf names what became of a call of the platform.
func outcomeOf(err error) string {
	var ref interface{ Refused() bool }
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrHistoryGone):
		return "historyGone"
	case errors.Is(err, context.DeadlineExceeded):
		return "late"
	case errors.As(err, &ref) && ref.Refused():
		return "refused"
	}
	return "failed"
}

func readOnce[T any](ctx context.Context, src Source[T], since uint64, wait time.Duration, allowStale bool) (table.Delta[T], error) {
	if since == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return src.List(ctx, allowStale)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	return src.Watch(ctx, since, wait)
}
