package driver

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// ErrHistoryGone is returned by Source.Watch when the platform no longer has the changes
// since the requested revision.
var ErrHistoryGone = errors.New("the platform no longer has the changes since the requested revision")

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns all objects. With allowStale the call is cheaper, but the result may
	// be seconds old.
	List(ctx context.Context, allowStale bool) (table.Delta[T], error)
	// Watch returns the changes since a revision, as soon as there are any and after
	// wait at the latest.
	Watch(ctx context.Context, since uint64, wait time.Duration) (table.Delta[T], error)
}

// Platform is the store of the configuration, the targets and the fleet.
type Platform interface {
	Config() Source[*gateway.Config]
	Targets() Source[registry.Entry]
	Fleet() Source[fleet.Row]
	// Drains is the source of the drained failure domains. It is read only where they are kept to.
	Drains() Source[drain.Entry]
	// Write stores a fleet object if its present revision is the given one; 0 stands
	// for an object that does not exist yet.
	Write(ctx context.Context, name string, row fleet.Row, revision uint64) error
	// Delete removes a fleet object if its present revision is the given one.
	Delete(ctx context.Context, name string, revision uint64) error
	// Unread returns how many fields and words of the objects could not be understood when they were last read.
	Unread() int
}

// readOptions configure how one kind of object is read.
type readOptions struct {
	// allowStale is set if the first listing after a start may be stale, which is
	// cheaper.
	allowStale bool
	// watchDelay is the pause between a listing and the first watch, in which the VM
	// may find another VM to follow instead.
	watchDelay time.Duration
	// wait is how long the platform is asked to wait for a change. A change ends the wait
	// at once. Without one, the next confirmation that nothing has changed comes only after
	// wait, and the result of a watch is known to be up to date only as of the time the
	// watch was sent.
	wait time.Duration
	// minInterval is the least time between the starts of two watches, so that one
	// watch returns several changes made in quick succession.
	minInterval time.Duration
	// backoffLimit bounds the backoff after failed reads.
	backoffLimit time.Duration
	// relistDelay bounds the random pause before a listing that replaces a watch, 0 for none. Many VMs may lose
	// the store's history at the same time.
	relistDelay time.Duration
}

// The options for reading the platform: two groups, and those for drains.
var (
	// For a VM that reads the platform for its followers. The configuration has no minInterval, so
	// that followers learn of a new version at once. Changes of targets and of the fleet may
	// wait for minInterval.
	configReadOptions  = readOptions{watchDelay: shortWatchDelay, wait: feed.WatchTimeout, backoffLimit: maxBackoff}
	targetsReadOptions = readOptions{allowStale: true, watchDelay: shortWatchDelay, wait: 1500 * time.Millisecond, minInterval: 250 * time.Millisecond, backoffLimit: maxBackoff}
	fleetReadOptions   = readOptions{allowStale: true, watchDelay: shortWatchDelay, wait: time.Second, minInterval: 100 * time.Millisecond, backoffLimit: maxBackoff}

	// For a VM that reads sparingly: for itself only, since it reaches no VM to follow. Many VMs
	// may do so at once, so each calls the platform less often, by longer intervals and backoffs and,
	// for the fleet, a longer wait. Before they first watch the configuration and the targets,
	// longWatchDelay leaves them time to follow another VM; the fleet is watched after
	// shortWatchDelay, and shows them the VMs that have registered by then.
	sparingConfigReadOptions  = readOptions{watchDelay: longWatchDelay, wait: feed.WatchTimeout, backoffLimit: sparingMaxBackoff, relistDelay: sparingRelistDelay}
	sparingTargetsReadOptions = readOptions{allowStale: true, watchDelay: longWatchDelay, wait: 1500 * time.Millisecond, minInterval: 900 * time.Millisecond, backoffLimit: sparingMaxBackoff, relistDelay: sparingRelistDelay}
	sparingFleetReadOptions   = readOptions{allowStale: true, watchDelay: shortWatchDelay, wait: 2500 * time.Millisecond, minInterval: 1500 * time.Millisecond, backoffLimit: sparingMaxBackoff, relistDelay: sparingRelistDelay}

	// The drains, for either kind of VM, are listed without allowStale, since a list that is seconds old may lack a drain
	// that must be kept to.
	drainsReadOptions        = readOptions{wait: 2 * time.Second, backoffLimit: maxBackoff}
	sparingDrainsReadOptions = readOptions{wait: 2500 * time.Millisecond, minInterval: 250 * time.Millisecond, backoffLimit: maxBackoff, relistDelay: sparingRelistDelay}
)

const (
	// confirmWait is the wait of the first watch after a start or a failure, which is
	// to confirm quickly that nothing has changed.
	confirmWait = 10 * time.Millisecond
	// answerMargin is how long the platform's answer to a watch may take beyond its wait.
	answerMargin = 800 * time.Millisecond
	// shortWatchDelay is long enough for VMs that start together to register and so to
	// appear in the list of the fleet; longWatchDelay also allows for following one of
	// them then.
	shortWatchDelay = 300 * time.Millisecond
	longWatchDelay  = 600 * time.Millisecond
	// listTimeout bounds a listing.
	listTimeout = 2 * time.Second
	// firstBackoff is the mean pause after the first failed read. It doubles with each
	// further failure, up to maxBackoff or, for a VM that reads sparingly,
	// sparingMaxBackoff. The latter may be long, since such a VM learns from others
	// once the platform answers them.
	firstBackoff      = 100 * time.Millisecond
	maxBackoff        = 800 * time.Millisecond
	sparingMaxBackoff = 2 * time.Second
	// sparingRelistDelay is the relistDelay of a VM that reads sparingly.
	sparingRelistDelay = 500 * time.Millisecond
)

// setReading starts or stops the reading of the platform. The caller holds mut.
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
	con, tgs, flt, drs := configReadOptions, targetsReadOptions, fleetReadOptions, drainsReadOptions
	if set.FleetOnly {
		dri.work.Go(func() { dri.readFleet(ctx, revisions.Fleet, sparingFleetReadOptions) })
		return
	}
	// A VM that reads sparingly reads only the configuration until the platform
	// answers.
	answered := make(chan struct{})
	markAnswered := sync.OnceFunc(func() { close(answered) })
	if set.Sparing {
		con, tgs, flt, drs = sparingConfigReadOptions, sparingTargetsReadOptions, sparingFleetReadOptions, sparingDrainsReadOptions
	} else {
		markAnswered()
	}
	dri.work.Go(func() {
		read(ctx, dri, configKind, dri.platform.Config(), since, con, func(requestedAt clock.Moment, del table.Delta[*gateway.Config]) {
			dri.handleConfig(requestedAt, del)
			markAnswered()
		})
	})
	dri.work.Go(func() {
		if !await(ctx, answered) {
			return
		}
		read(ctx, dri, targetsKind, dri.platform.Targets(), revisions.Targets, tgs, func(requestedAt clock.Moment, del table.Delta[registry.Entry]) {
			dri.Step(gateway.TargetsRead{RequestedAt: requestedAt, Update: del})
		})
	})
	dri.work.Go(func() {
		if await(ctx, answered) {
			dri.readFleet(ctx, revisions.Fleet, flt)
		}
	})
	if set.Drains {
		sinceDrains := dri.mac.DrainsRevision()
		dri.work.Go(func() {
			if await(ctx, answered) {
				dri.readDrains(ctx, sinceDrains, drs)
			}
		})
	}
}

// readDrains reads the drained failure domains until ctx is done.
func (dri *Driver) readDrains(ctx context.Context, since uint64, opt readOptions) {
	read(ctx, dri, drainsKind, dri.platform.Drains(), since, opt, func(_ clock.Moment, del table.Delta[drain.Entry]) {
		dri.Step(gateway.DrainsRead{Update: del})
	})
}

// readFleet reads the list of VMs until ctx is done.
func (dri *Driver) readFleet(ctx context.Context, since uint64, opt readOptions) {
	read(ctx, dri, fleetKind, dri.platform.Fleet(), since, opt, func(requestedAt clock.Moment, del table.Delta[fleet.Row]) {
		dri.Step(gateway.FleetRead{RequestedAt: requestedAt, Update: del})
	})
}

// await waits until the channel is closed or ctx is done, and reports whether it was
// the former.
func await(ctx context.Context, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleConfig delivers the newest configuration in a delta to the machine.
func (dri *Driver) handleConfig(requestedAt clock.Moment, del table.Delta[*gateway.Config]) {
	evt := gateway.ConfigRead{RequestedAt: requestedAt, Revision: del.Revision, Absent: del.Whole && len(del.Rows) == 0 && len(del.Removed) == 0}
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

// read lists and then watches one kind of object until ctx is done, and passes each
// delta to handle. requestedAt is when the read was sent, and so a time at which the delta
// was up to date; it has never come for a listing that may be stale.
func read[T any](ctx context.Context, dri *Driver, kind string, src Source[T], since uint64, opt readOptions, handle func(requestedAt clock.Moment, del table.Delta[T])) {
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
			log.WithField("since", revision.Number(since)).Info("the platform no longer has the changes since this revision; listing all objects")
			since, allowStale = 0, false
			if opt.relistDelay > 0 {
				Sleep(ctx, time.Duration(rand.Int64N(int64(opt.relistDelay))))
			}
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
			log.WithField("revision", revision.Number(del.Revision)).Info("platform regained")
		}
		backoff, lost = firstBackoff, false
		since = del.Revision
		if listed {
			handle(freshAt(requestedAt, allowStale), del)
			Sleep(ctx, opt.watchDelay)
			continue
		}
		handle(clock.MomentOf(requestedAt), del)
		wait = opt.wait
		if left := opt.minInterval - dri.clock.Now().Since(requestedAt); left > 0 {
			Sleep(ctx, left)
		}
	}
}

// freshAt returns when the result of a read was certainly up to date.
func freshAt(requestedAt clock.Instant, mayBeStale bool) clock.Moment {
	if mayBeStale {
		return clock.Moment{}
	}
	return clock.MomentOf(requestedAt)
}

// The kinds of objects, as named in metrics and logs.
const (
	configKind  = "config"
	targetsKind = "targets"
	fleetKind   = "fleet"
	drainsKind  = "drains"
)

// callName returns the name of a read in metrics.
func callName(listed, allowStale bool) string {
	switch {
	case listed && allowStale:
		return "cheapList"
	case listed:
		return "list"
	}
	return "watch"
}

// outcomeOf returns the outcome of a call to the platform, as named in metrics.
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

// readOnce lists all objects if since is 0, and otherwise watches for changes since then.
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
