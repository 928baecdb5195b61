package socket

import (
	"net"
	"sync"
	"time"
)

const (
	// maxInterval and intervalDivisor give the time between two looks at the watched connections: a part of the timeout.
	maxInterval     = 500 * time.Millisecond
	intervalDivisor = 8
)

// Watcher tells when the other ends of connections stay silent: their kernels do not answer what is sent to them, since the
// path or the machine is gone. It is safe for concurrent use.
type Watcher struct {
	timeout time.Duration

	mut sync.Mutex
	// watched holds the connections that wait for answers.
	watched map[*Watched]struct{}
	// running is set while a goroutine looks at the connections.
	running bool
}

// NewWatcher returns a watcher of connections whose other ends must not be silent for longer than a timeout.
func NewWatcher(timeout time.Duration) *Watcher {
	return &Watcher{timeout: timeout, watched: make(map[*Watched]struct{})}
}

// Watched is a connection that a Watcher looks at while its other end has something to answer.
type Watched struct {
	watcher *Watcher
	con     net.Conn
	silent  func()
	silence silence
	// sent counts the bytes that were sent.
	sent int64
}

// Add returns a connection to be watched. silent is called from another goroutine if its other end stays silent. Nothing
// is watched before Sent.
func (wch *Watcher) Add(con net.Conn, silent func()) *Watched {
	return &Watched{watcher: wch, con: con, silent: silent}
}

// Sent records that a number of bytes were sent, 0 if some are about to be, and begins to watch. That ends once the other end has
// acknowledged everything.
func (wtd *Watched) Sent(cnt int) {
	wch := wtd.watcher
	wch.mut.Lock()
	defer wch.mut.Unlock()
	wtd.sent += int64(cnt)
	wch.watched[wtd] = struct{}{}
	if !wch.running {
		wch.running = true
		go wch.run()
	}
}

// Close ends the watch.
func (wtd *Watched) Close() {
	wch := wtd.watcher
	wch.mut.Lock()
	defer wch.mut.Unlock()
	delete(wch.watched, wtd)
}

// run looks at the connections until none is left.
func (wch *Watcher) run() {
	interval := min(wch.timeout/intervalDivisor, maxInterval)
	for {
		time.Sleep(interval)
		silent, left := wch.look(time.Now())
		for _, wtd := range silent {
			wtd.silent()
		}
		if !left {
			return
		}
	}
}

// look returns the connections whose other ends stay silent, and whether any is left to be watched.
func (wch *Watcher) look(now time.Time) (silent []*Watched, left bool) {
	wch.mut.Lock()
	defer wch.mut.Unlock()
	for wtd := range wch.watched {
		rdg, known := read(wtd.con)
		wtd.silence = wtd.silence.with(rdg, wtd.sent, now)
		switch {
		case !known, rdg.unacknowledged == 0:
			delete(wch.watched, wtd)
		case wtd.silence.lasts(now) > wch.timeout:
			delete(wch.watched, wtd)
			silent = append(silent, wtd)
		}
	}
	wch.running = len(wch.watched) > 0
	return silent, wch.running
}
