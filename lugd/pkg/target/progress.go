package target

import (
	"context"
	"net"
	"sync"
	"time"

	"marigoldlug.example/core/path"
	"marigoldlug.example/lugd/pkg/socket"
)

const (
	// unansweredTime is how long a connection may take to open, and sent bytes to be answered, until the
	// path to the target is in doubt.
	unansweredTime = 150 * time.Millisecond
	// slowTime is how long a response may take until the path is in doubt.
	slowTime = 900 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 150 * time.Millisecond
)

// Probe opens a connection to an address and keeps it for later requests, to learn whether this VM reaches
// the target. known is false if it did not try, since most connections are open.
func (pol *Pool) Probe(ctx context.Context, address string, most int) (reached, known bool) {
	cal := Call{Address: address, MaxConnections: most}
	if !pol.reserve(cal) {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	con, err := pol.openConn(ctx, cal)
	if err != nil {
		return false, true
	}
	pol.putIdle(con)
	return true, true
}

// progressWatch tells if a request makes no progress on its way to the target.
type progressWatch struct {
	mut     sync.Mutex
	timer   *time.Timer
	con     net.Conn
	stopped bool
}

// start watches until stop; stalled may be nil.
func (wch *progressWatch) start(stalled func(doubt path.Doubt)) {
	if stalled == nil {
		return
	}
	wch.mut.Lock()
	defer wch.mut.Unlock()
	wch.timer = time.AfterFunc(unansweredTime, func() {
		if wch.undelivered() {
			stalled(path.Unanswered)
			return
		}
		wch.mut.Lock()
		defer wch.mut.Unlock()
		if !wch.stopped {
			wch.timer = time.AfterFunc(slowTime-unansweredTime, func() { stalled(path.Slow) })
		}
	})
}

// connected records that the connection is open.
func (wch *progressWatch) connected(con net.Conn) {
	wch.mut.Lock()
	defer wch.mut.Unlock()
	wch.con = con
}

// undelivered reports whether the connection is not open yet, or the machine of the target has not answered what was sent.
func (wch *progressWatch) undelivered() bool {
	wch.mut.Lock()
	defer wch.mut.Unlock()
	if wch.stopped {
		return false
	}
	if wch.con == nil {
		return true
	}
	return socket.AwaitsAnswer(wch.con)
}

func (wch *progressWatch) stop() {
	wch.mut.Lock()
	defer wch.mut.Unlock()
	wch.stopped = true
	if wch.timer != nil {
		wch.timer.Stop()
	}
}
