// Package http1 speaks HTTP/1.1 to callers: it takes their requests, also
// several at a time on one connection, has them decided and passes answers on
// in the order of the requests.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/target"
)

// decider steps the decisions of the VM.
type decider interface {
	// Begin registers a request and returns its ID and the channel on which
	// its actions arrive.
	Begin(req request.Request) (request.ID, <-chan gateway.Action)
	Step(evt gateway.Event)
	// End forgets a request.
	End(id request.ID)
}

// sender sends requests to targets.
type sender interface {
	Send(ctx context.Context, cal target.Call, req *http.Request) (*target.Response, *target.Error)
}

// observer counts requests and attempts, and records their spans.
type observer interface {
	StartRequest(ctx context.Context, hdr http.Header) (context.Context, func(result string))
	StartAttempt(ctx context.Context, dis gateway.Dispatch, hdr http.Header) func()
	Request(route, result string, elapsed, waited time.Duration)
	Attempt(service string, outcome health.Outcome)
}

// Settings bound what a caller may send.
type Settings struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodyTimeout bounds the time in which a request body must arrive.
	BodyTimeout time.Duration
	// Memory bounds the bodies held at a time, in bytes.
	Memory int64
}

// Server serves callers.
type Server struct {
	names    header.Names
	decider  decider
	sender   sender
	observer observer
	log      logrus.FieldLogger
	settings atomic.Pointer[Settings]
	// buffered counts the bytes of the bodies held.
	buffered atomic.Int64

	mut      sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
	closing  bool
	wait     sync.WaitGroup
}

// New returns a server that has its requests decided by dec and sent by sen.
func New(set Settings, nms header.Names, dec decider, sen sender, obs observer, log logrus.FieldLogger) *Server {
	srv := &Server{names: nms, decider: dec, sender: sen, observer: obs, log: log, conns: make(map[*conn]struct{})}
	srv.settings.Store(&set)
	return srv
}

// SetSettings replaces the bounds for requests that come later.
func (srv *Server) SetSettings(set Settings) { srv.settings.Store(&set) }

// Settings returns the bounds in force.
func (srv *Server) Settings() Settings { return *srv.settings.Load() }

const (
	// acceptRetryDelay lies between tries to accept a caller while they fail.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptQuietTime is how long no try fails before a series of failures is over.
	acceptQuietTime = time.Second
)

// Serve accepts connections until lis is closed. Of a series of failures the first is
// logged and, by the first caller after it, their number: at the edge of what a VM may
// open, callers are accepted between failures, so that one who is ends no series.
func (srv *Server) Serve(lis net.Listener) error {
	failures, failed := 0, time.Time{}
	for {
		raw, err := lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The VM may be out of descriptors for a moment.
			if time.Since(failed) > acceptQuietTime {
				srv.log.WithError(err).Warn("cannot accept callers; trying on")
			}
			failures, failed = failures+1, time.Now()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if failures > 0 && time.Since(failed) > acceptQuietTime {
			srv.log.WithField("failures", failures).Info("callers are accepted again")
			failures = 0
		}
		con := newConn(srv, raw)
		if !srv.add(con) {
			_ = raw.Close()
			continue
		}
		go func() {
			defer srv.wait.Done()
			con.serve()
			srv.remove(con)
		}()
	}
}

func (srv *Server) add(con *conn) bool {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.closing {
		return false
	}
	srv.conns[con] = struct{}{}
	srv.wait.Add(1)
	return true
}

func (srv *Server) remove(con *conn) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	delete(srv.conns, con)
}

// Stop begins a planned stop: answers close their connections from now on.
func (srv *Server) Stop() {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.stopping = true
}

func (srv *Server) isStopping() bool {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return srv.stopping
}

// Drain closes idle connections, now and as others become idle, and waits until
// all are closed or ctx ends. It reports whether all were.
func (srv *Server) Drain(ctx context.Context) bool {
	srv.mut.Lock()
	srv.stopping, srv.closing = true, true
	for con := range srv.conns {
		con.closeWhenIdle()
	}
	srv.mut.Unlock()
	done := make(chan struct{})
	go func() {
		srv.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Connections returns the number of open connections.
func (srv *Server) Connections() int {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return len(srv.conns)
}
