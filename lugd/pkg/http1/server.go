// Package http1 serves HTTP/1.1 to callers: it reads their requests, also pipelined ones, carries
// out what the gateway decides on each and sends the responses in the order of the requests.
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
	"marigoldlug.example/lugd/pkg/budget"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/socket"
	"marigoldlug.example/lugd/pkg/target"
)

// decider decides what happens to requests; driver.Driver implements it with the VM's gateway.
type decider interface {
	// Begin registers a request and returns its ID and the channel on which
	// its actions arrive.
	Begin(req request.Request) (request.ID, <-chan gateway.Action)
	// Step reports an event.
	Step(evt gateway.Event)
	// MaySend reports whether an attempt may still be sent, after its connection was opened.
	MaySend(id request.ID, attempt int) bool
	// End forgets a request.
	End(id request.ID)
}

// sender sends requests to targets.
type sender interface {
	Send(ctx context.Context, cal target.Call, req *http.Request) (*target.Response, *target.Error)
}

// observer records metrics and trace spans of requests and attempts.
type observer interface {
	// StartRequest starts the span of a request and returns the function that ends it.
	StartRequest(ctx context.Context, hdr http.Header) (context.Context, func(result string))
	// StartAttempt starts the span of an attempt, adds the trace context to hdr and returns the
	// function that ends the span.
	StartAttempt(ctx context.Context, dis gateway.Dispatch, hdr http.Header) func()
	// Request counts a finished request; waited is the total duration of its attempts, without
	// canceled ones.
	Request(route, result string, elapsed, waited time.Duration)
	// Attempt counts a finished attempt.
	Attempt(service string, outcome health.Outcome)
}

// Settings are limits on callers' requests and connections.
type Settings struct {
	// HeaderBytes is the maximum size of a request's head, in bytes.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body, in bytes.
	BodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays open without a request.
	IdleTimeout time.Duration
	// BodyTimeout bounds the time in which a request's body must arrive.
	BodyTimeout time.Duration
}

// Server serves callers.
type Server struct {
	names    header.Names
	decider  decider
	sender   sender
	observer observer
	log      logrus.FieldLogger
	settings atomic.Pointer[Settings]
	// writeTimeout is how long a caller may take to accept a part of a response.
	writeTimeout time.Duration
	// watcher finds connections to callers whose machines do not answer.
	watcher *socket.Watcher
	// memory is what callers may make the VM hold, in bytes, and files how many descriptors their connections and requests
	// may take.
	memory, files *budget.Budget
	reporter      *budget.Reporter

	mut   sync.Mutex
	conns map[*conn]struct{}
	// stopping is set when responses are to close their connections.
	stopping bool
	// closing is set when idle connections are closed and no new ones are served.
	closing bool
	// wait counts the goroutines that serve connections.
	wait sync.WaitGroup
}

// Budgets are what the callers of a VM share.
type Budgets struct {
	// Memory is what they may make the VM hold, in bytes.
	Memory *budget.Budget
	// Files is how many descriptors they may take: one for each connection, and one for each request in flight.
	Files    *budget.Budget
	Reporter *budget.Reporter
}

// New returns a server whose requests dec decides on and sen sends to targets.
func New(set Settings, bds Budgets, nms header.Names, dec decider, sen sender, obs observer, log logrus.FieldLogger) *Server {
	srv := &Server{
		names: nms, decider: dec, sender: sen, observer: obs, log: log, writeTimeout: writeTimeout, conns: make(map[*conn]struct{}),
		watcher: socket.NewWatcher(silenceTimeout), memory: bds.Memory, files: bds.Files, reporter: bds.Reporter,
	}
	srv.settings.Store(&set)
	return srv
}

// SetSettings replaces the limits. They also apply to later requests on open connections.
func (srv *Server) SetSettings(set Settings) { srv.settings.Store(&set) }

// Settings returns the current limits.
func (srv *Server) Settings() Settings { return *srv.settings.Load() }

const (
	// acceptRetryDelay is the pause after a failure to accept a connection.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptQuietTime is how long accepting must not fail before a series of failures counts as
	// over.
	acceptQuietTime = time.Second
)

// Serve accepts connections until lis is closed. Of a series of failures it logs the first one, and
// their number when the first connection after acceptQuietTime is accepted. A VM that is close to
// its limit of file descriptors accepts some connections between failures, so a single success
// doesn't end a series.
func (srv *Server) Serve(lis net.Listener) error {
	failures, lastFailure := 0, time.Time{}
	for {
		raw, err := lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The VM may be out of file descriptors for a moment.
			if time.Since(lastFailure) > acceptQuietTime {
				srv.log.WithError(err).Warn("cannot accept callers; retrying")
			}
			failures, lastFailure = failures+1, time.Now()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if failures > 0 && time.Since(lastFailure) > acceptQuietTime {
			srv.log.WithField("failures", failures).Info("accepting callers again")
			failures = 0
		}
		con := newConn(srv, raw)
		if !con.admit() || !srv.add(con) {
			con.discard()
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

// Stop begins a graceful stop: from now on each connection is closed after its last in-flight
// request is answered. Idle connections stay open and new ones are accepted until Drain.
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

// Drain closes idle connections, others as soon as they are idle, and new ones at once. It waits
// until all are closed or ctx ends, and reports whether all are closed.
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

// Unanswered returns the number of connections on which a request is being read or is not answered completely. The
// others are idle, or their callers have yet to take the last responses.
func (srv *Server) Unanswered() int {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	cnt := 0
	for con := range srv.conns {
		if con.isUnanswered() {
			cnt++
		}
	}
	return cnt
}

// Connections returns the number of open connections.
func (srv *Server) Connections() int {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return len(srv.conns)
}
