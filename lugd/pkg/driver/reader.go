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
	List(ctx context.Context, cheaply bool) (table.Delta[T], error)
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

// pace says how often a kind of object is read.
type pace struct {
	// cheap is set where a VM that has just started lists the objects cheaply.
	cheap bool
	// settle is how long a VM that has listed the objects looks for another VM
	// to follow before it watches them itself.
	settle time.Duration
	// wait is how long the platform is asked to wait for a change. What a watch
	// returns is known to be the newest only at the time of its sending.
	wait time.Duration
	// gather is the least time between two watches, so that changes in quick
	// succession take one.
	gather time.Duration
	// pause bounds the pause after a failed read.
	pause time.Duration
}

// The paces of VMs that read for others, and of those that read for themselves.
var (
	configPace  = pace{settle: settleTime, wait: feed.WatchTimeout, pause: lastPause}
	targetsPace = pace{cheap: true, settle: settleTime, wait: 1500 * time.Millisecond, gather: 250 * time.Millisecond, pause: lastPause}
	fleetPace   = pace{cheap: true, settle: settleTime, wait: time.Second, gather: 100 * time.Millisecond, pause: lastPause}

	sparingConfigPace  = pace{settle: longSettleTime, wait: feed.WatchTimeout, pause: sparingPause}
	sparingTargetsPace = pace{cheap: true, settle: longSettleTime, wait: 1500 * time.Millisecond, gather: 900 * time.Millisecond, pause: sparingPause}
	sparingFleetPace   = pace{cheap: true, settle: settleTime, wait: 2500 * time.Millisecond, gather: 1500 * time.Millisecond, pause: sparingPause}
)

const (
	// firstWait is the wait of a watch that is to prove at once that nothing has
	// changed.
	firstWait = 10 * time.Millisecond
	// answerTime is how long an answer may take beyond the wait.
	answerTime = 800 * time.Millisecond
	// settleTime is long enough for VMs that start together to be listed, which
	// the fleet's list tells, and longSettleTime to follow one of them then.
	settleTime     = 300 * time.Millisecond
	longSettleTime = 600 * time.Millisecond
	// listTime bounds a listing.
	listTime = 2 * time.Second
	// firstPause is the pause after a first failed read; lastPause and
	// sparingPause bound later ones. A VM that reads for itself hears from the
	// others once the platform answers them.
	firstPause   = 100 * time.Millisecond
	lastPause    = 800 * time.Millisecond
	sparingPause = 2 * time.Second
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
	held, since := dri.mac.Revisions(), dri.config
	con, tgs, flt := configPace, targetsPace, fleetPace
	// A VM that reads for itself asks for the configuration only until the
	// platform answers.
	reached := make(chan struct{})
	reach := sync.OnceFunc(func() { close(reached) })
	if set.Sparing {
		con, tgs, flt = sparingConfigPace, sparingTargetsPace, sparingFleetPace
	} else {
		reach()
	}
	dri.work.Go(func() {
		read(ctx, dri, configKind, dri.platform.Config(), since, con, func(asked clock.Instant, del table.Delta[*gateway.Config]) {
			dri.tookConfig(asked, del)
			reach()
		})
	})
	dri.work.Go(func() {
		if !await(ctx, reached) {
			return
		}
		read(ctx, dri, targetsKind, dri.platform.Targets(), held.Targets, tgs, func(asked clock.Instant, del table.Delta[registry.Entry]) {
			dri.Step(gateway.TargetsRead{RequestedAt: asked, Update: del})
		})
	})
	dri.work.Go(func() {
		if !await(ctx, reached) {
			return
		}
		read(ctx, dri, fleetKind, dri.platform.Fleet(), held.Fleet, flt, func(asked clock.Instant, del table.Delta[fleet.Row]) {
			dri.Step(gateway.FleetRead{RequestedAt: asked, Update: del})
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

// tookConfig delivers the newest configuration that was read.
func (dri *Driver) tookConfig(asked clock.Instant, del table.Delta[*gateway.Config]) {
	evt := gateway.ConfigRead{RequestedAt: asked}
	for _, row := range del.Rows {
		if row.Value != nil && (evt.Update == nil || row.Value.Version > evt.Update.Version) {
			evt.Update = row.Value
		}
	}
	dri.mut.Lock()
	defer dri.mut.Unlock()
	dri.config = del.Revision
	dri.step(evt)
}

// read follows one kind of object until ctx ends. What was listed cheaply is
// taken without a time at which it was the newest.
func read[T any](ctx context.Context, dri *Driver, kind string, src Source[T], since uint64, pce pace, take func(asked clock.Instant, del table.Delta[T])) {
	log := dri.log.WithField("kind", kind)
	pause, lost, cheap, wait := firstPause, false, pce.cheap, firstWait
	for ctx.Err() == nil {
		asked := dri.clock.Now()
		listed := since == 0
		del, err := readOnce(ctx, src, since, wait, cheap)
		if ctx.Err() == nil {
			dri.tally.PlatformCall(kind, callName(listed, cheap), outcomeOf(err))
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			log.WithField("since", since).Info("the platform dropped its history; listing anew")
			since, cheap = 0, false
			continue
		case err != nil:
			if !lost {
				log.WithError(err).Warn("platform lost")
			}
			lost, wait = true, firstWait
			Sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, pce.pause)
			continue
		}
		if lost {
			log.WithField("revision", del.Revision).Info("platform regained")
		}
		pause, lost = firstPause, false
		since = del.Revision
		if listed {
			if cheap {
				asked = clock.Instant{}
			}
			take(asked, del)
			Sleep(ctx, pce.settle)
			continue
		}
		take(asked, del)
		wait = pce.wait
		if left := pce.gather - dri.clock.Now().Since(asked); left > 0 {
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

func callName(listed, cheap bool) string {
	switch {
	case listed && cheap:
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

func readOnce[T any](ctx context.Context, src Source[T], since uint64, watch time.Duration, cheap bool) (table.Delta[T], error) {
	if since == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTime)
		defer cancel()
		return src.List(ctx, cheap)
	}
	ctx, cancel := context.WithTimeout(ctx, watch+answerTime)
	defer cancel()
	return src.Watch(ctx, since, watch)
}
