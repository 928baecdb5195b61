package driver

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// List returns every object.
	List(ctx context.Context) (table.Delta[T], error)
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
	// wait is how long the platform is asked to wait for a change. What a watch
	// returns is known to be the newest only at the time of its sending.
	wait time.Duration
	// gather is the least time between two watches, so that changes in quick
	// succession take one.
	gather time.Duration
}

// The paces of VMs that read for others, and of those that read for themselves.
var (
	configPace         = pace{wait: feed.WatchTime}
	targetsPace        = pace{wait: 1500 * time.Millisecond, gather: 250 * time.Millisecond}
	fleetPace          = pace{wait: time.Second, gather: 250 * time.Millisecond}
	sparingTargetsPace = pace{wait: 1500 * time.Millisecond, gather: 900 * time.Millisecond}
	sparingFleetPace   = pace{wait: 2500 * time.Millisecond, gather: 1500 * time.Millisecond}
)

const (
	// answerTime is how long an answer may take beyond the wait.
	answerTime = 800 * time.Millisecond
	// settleTime is how long a VM that has listed the objects looks for another
	// VM to follow before it watches them itself.
	settleTime = 300 * time.Millisecond
	// listTime bounds a listing.
	listTime = 2 * time.Second
	// firstPause and lastPause bound the pause after a failed read.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
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
	held := dri.mac.Held()
	tgs, flt := targetsPace, fleetPace
	if set.Sparing {
		tgs, flt = sparingTargetsPace, sparingFleetPace
	}
	dri.work.Go(func() {
		read(ctx, dri, "config", dri.platform.Config(), dri.config, configPace, func(asked clock.Instant, del table.Delta[*gateway.Config]) {
			dri.tookConfig(asked, del)
		})
	})
	dri.work.Go(func() {
		read(ctx, dri, "targets", dri.platform.Targets(), held.Targets, tgs, func(asked clock.Instant, del table.Delta[registry.Entry]) {
			dri.Step(gateway.TargetsRead{Asked: asked, News: del})
		})
	})
	dri.work.Go(func() {
		read(ctx, dri, "fleet", dri.platform.Fleet(), held.Fleet, flt, func(asked clock.Instant, del table.Delta[fleet.Row]) {
			dri.Step(gateway.FleetRead{Asked: asked, News: del})
		})
	})
}

// tookConfig delivers the newest configuration that was read.
func (dri *Driver) tookConfig(asked clock.Instant, del table.Delta[*gateway.Config]) {
	evt := gateway.ConfigRead{Asked: asked}
	for _, row := range del.Rows {
		if row.Value != nil && (evt.News == nil || row.Value.Version > evt.News.Version) {
			evt.News = row.Value
		}
	}
	dri.mut.Lock()
	defer dri.mut.Unlock()
	dri.config = del.Revision
	dri.step(evt)
}

// read follows one kind of object until ctx ends.
func read[T any](ctx context.Context, dri *Driver, kind string, src Source[T], since uint64, pce pace, take func(asked clock.Instant, del table.Delta[T])) {
	log := dri.log.WithField("kind", kind)
	pause, lost := firstPause, false
	for ctx.Err() == nil {
		asked := dri.clock.Now()
		del, err := readOnce(ctx, src, since, pce.wait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			log.WithField("since", since).Info("the platform dropped its history; listing anew")
			since = 0
			continue
		case err != nil:
			if !lost {
				log.WithError(err).Warn("platform lost")
			}
			lost = true
			sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, lastPause)
			continue
		}
		if lost {
			log.WithField("revision", del.Revision).Info("platform regained")
		}
		pause, lost = firstPause, false
		take(asked, del)
		if since == 0 {
			sleep(ctx, settleTime)
		} else if left := pce.gather - dri.clock.Now().Since(asked); left > 0 {
			sleep(ctx, left)
		}
		since = del.Revision
	}
}

func readOnce[T any](ctx context.Context, src Source[T], since uint64, watch time.Duration) (table.Delta[T], error) {
	if since == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTime)
		defer cancel()
		return src.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watch+answerTime)
	defer cancel()
	return src.Watch(ctx, since, watch)
}

func sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-tmr.C:
	}
}
