package edge

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/warmup"
	"marigoldlug.example/lugd/pkg/certificate"
	"marigoldlug.example/lugd/pkg/driver"
	"marigoldlug.example/lugd/pkg/forward"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/lugd/pkg/http1"
	"marigoldlug.example/lugd/pkg/logflags"
	"marigoldlug.example/lugd/pkg/metrics"
	"marigoldlug.example/lugd/pkg/operator"
	"marigoldlug.example/lugd/pkg/peer"
	"marigoldlug.example/lugd/pkg/socket"
	"marigoldlug.example/lugd/pkg/target"
	"marigoldlug.example/lugd/pkg/trace"
)

const (
	// sweepInterval is how often connections to targets are checked for idleness.
	sweepInterval = 2 * time.Second
	// boundsInterval is how often the bounds for callers are refreshed from the
	// configuration in force.
	boundsInterval = 500 * time.Millisecond
	// bodyIdleTimeout is for how long a target may send nothing of a response body.
	bodyIdleTimeout = 20 * time.Second
	// bodyPrefixBytes is the length up to which responses are read whole before they are
	// relayed, so that one that a target cuts short fails before its caller gets any
	// of it.
	bodyPrefixBytes = 64 << 10
	// idlePerTarget is the maximum number of idle connections kept to one target.
	idlePerTarget = 4
	// deadlineMargin is how long before the end of the stop time gateway.StopDeadline is
	// sent: requests whose response has not begun by then are refused, and so are later
	// ones.
	deadlineMargin = 600 * time.Millisecond
	// cutMargin is how long before the end of the stop time the wait for the callers'
	// connections to close ends; those still open are cut. It leaves time to close the
	// connections to other VMs and to flush the logs.
	cutMargin = peerCloseTimeout + logflags.FlushTimeout + 50*time.Millisecond
	mib       = 1 << 20
	// gcPercent is how much the heap may grow between two garbage collections. It is
	// below Go's default of 100, since memory costs the users more than CPU time.
	gcPercent = 40
)

// PlatformAdapter connects a VM to the platform on which it runs.
type PlatformAdapter struct {
	// Names are the names of the headers that callers and targets use.
	Names header.Names
	// Connect returns the store of the configuration, the targets and the fleet at
	// an address.
	Connect func(address string, log logrus.FieldLogger) driver.Platform
}

// Daemon is one VM of the fleet.
type Daemon struct {
	log            logrus.FieldLogger
	self           member.VM
	driver         *driver.Driver
	transport      *peer.Transport
	pool           *target.Pool
	callerServer   *http1.Server
	forwarder      *forward.Server
	readyServer    *http.Server
	operatorServer *http.Server
	budgets        *budgets
	tracer         *trace.Tracer
	metrics        *metrics.Set
	listeners      listeners
	// cancel stops the driver.
	cancel context.CancelFunc
	// phase holds a Phase, which only increases.
	phase atomic.Int32

	// mut guards set.
	mut sync.Mutex
	set Settings
}

type listeners struct {
	callers, ready, peers, operators net.Listener
}

// New binds the addresses and returns a VM that does not serve until Run.
func New(ctx context.Context, set Settings, adp PlatformAdapter, lgs *logflags.Loggers) (*Daemon, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	// The limit is below the VM's memory, so that the garbage collector works harder
	// before that is exhausted.
	debug.SetMemoryLimit(int64(set.MemoryMiB) * mib * 3 / 4)
	debug.SetGCPercent(gcPercent)
	dmn := &Daemon{set: set, log: lgs.Logger(logflags.Daemon), budgets: newBudgets(set)}
	if err := dmn.listen(); err != nil {
		return nil, err
	}
	dmn.limitListeners()
	dmn.self = member.VM{ID: set.Name + "." + runID(), Address: cmp.Or(set.PeerPublicAddress, set.PeerAddress), FailureDomain: set.FailureDomain, Capacity: set.Capacity}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	dmn.cancel = cancel
	met := metrics.New()
	dmn.metrics = met
	dmn.driver = driver.New(workCtx, gateway.Settings{
		Name: set.Name, Self: dmn.self, Policy: policy(set), FirstStart: set.FirstStart,
	}, adp.Connect(set.PlatformAddress, lgs.Logger(logflags.Platform)), driver.NewClock(), met, lgs.Logger(logflags.Machine), set.LogLinesPerSec)
	dmn.transport = peer.New(dmn.self, dmn.listeners.peers, dmn.budgets.peerMemory, dmn.driver, lgs.Logger(logflags.Peer))
	dmn.driver.SetTransport(dmn.transport)
	if err := dmn.enableTLS(); err != nil {
		return nil, err
	}
	var err error
	if dmn.tracer, err = trace.New(ctx, set.TraceEndpoint, dmn.self.ID, set.TraceShare); err != nil {
		return nil, err
	}
	dmn.pool = target.New(target.Settings{
		DialTimeout: set.DialTimeout, IdlePerTarget: idlePerTarget, BodyIdleTimeout: bodyIdleTimeout,
		Names: adp.Names, BodyPrefixBytes: bodyPrefixBytes, AllowCloseDelimited: true,
	})
	dmn.driver.SetProber(dmn.pool)
	dmn.pool.SetForwarding(dmn.transport.DialForwarding)
	dmn.forwarder = forward.New(adp.Names, dmn.driver, dmn.pool, lgs.Logger(logflags.Peer))
	dmn.transport.SetForwarder(dmn.forwarder)
	dmn.registerMetrics()
	dmn.callerServer = http1.New(callerSettings(set, config.Bounds{}), dmn.budgets.callers, adp.Names, dmn.driver, dmn.pool, &observer{set: met, tracer: dmn.tracer}, lgs.Logger(logflags.Caller))
	dmn.createHTTPServers(lgs.Logger(logflags.Operator))
	return dmn, nil
}

func policy(set Settings) gateway.Policy {
	return gateway.Policy{
		RevokeTime: set.RevokeTime, RewriteTime: set.RewriteTime, RetryShare: set.RetryShare, RetryExtra: set.RetryExtra, RetryWindow: set.RetryWindow,
		Quota:     quota.Policy{Window: set.QuotaWindow, Excess: set.QuotaExcess, Slack: set.QuotaSlack},
		DrainTime: set.DrainTime, Warmup: warmup.Policy{Excess: set.ColdExcess, Slack: set.ColdSlack},
	}
}

// callerSettings returns the bounds for callers: those of the configuration where it
// sets them, else those of the VM's settings.
func callerSettings(set Settings, bnd config.Bounds) http1.Settings {
	out := http1.Settings{
		HeaderBytes: set.HeaderBytes, BodyBytes: set.BodyBytes, HeaderTimeout: set.HeaderTimeout, IdleTimeout: set.IdleTimeout,
		BodyTimeout: set.BodyTimeout,
	}
	if bnd.HeaderBytes > 0 {
		out.HeaderBytes = bnd.HeaderBytes
	}
	if bnd.BodyBytes > 0 {
		out.BodyBytes = bnd.BodyBytes
	}
	if bnd.HeaderTimeout > 0 {
		out.HeaderTimeout = bnd.HeaderTimeout
	}
	if bnd.IdleTimeout > 0 {
		out.IdleTimeout = bnd.IdleTimeout
	}
	return out
}

// runID returns a random suffix that makes the VM's ID unique to this run of the process.
func runID() string {
	var raw [6]byte
	_, _ = rand.Read(raw[:]) // Read never fails; see crypto/rand.
	return hex.EncodeToString(raw[:])
}

const (
	// userTimeout is the TCP user timeout of connections from operators and the balancer: how long sent bytes may stay
	// unacknowledged before the connection counts as dead.
	userTimeout = 5 * time.Second
	// keepAliveTimeout is how long a connection from a caller or another VM stays open on which nothing is sent, once the
	// machine at its other end is gone.
	keepAliveTimeout = 30 * time.Second
)

// listen binds the addresses that are set. Callers, and VMs that pass on to them, may read slowly: their servers watch
// whether what they send is answered.
func (dmn *Daemon) listen() error {
	patient := net.ListenConfig{KeepAliveConfig: socket.KeepAlive(keepAliveTimeout)}
	prompt := net.ListenConfig{Control: socket.UserTimeout(userTimeout)}
	for _, one := range []struct {
		what, address string
		lic           net.ListenConfig
		lis           *net.Listener
	}{
		{"callers", dmn.set.CallerAddress, patient, &dmn.listeners.callers},
		{"the balancer", dmn.set.ReadyAddress, prompt, &dmn.listeners.ready},
		{"other VMs", dmn.set.PeerAddress, patient, &dmn.listeners.peers},
		{"operators", dmn.set.OperatorAddress, prompt, &dmn.listeners.operators},
	} {
		if one.address == "" {
			continue
		}
		lis, err := one.lic.Listen(context.Background(), "tcp", one.address)
		if err != nil {
			return fmt.Errorf("cannot listen for %s: %w", one.what, err)
		}
		*one.lis = lis
	}
	return nil
}

// writeTimeout bounds the time from the head of a request of the balancer or of an operator to the end of its response. It is
// as long as a caller may take to accept a part of a response.
const writeTimeout = 20 * time.Second

// createHTTPServers creates the servers for the balancer and for operators.
func (dmn *Daemon) createHTTPServers(log logrus.FieldLogger) {
	set := dmn.set
	newServer := func(han http.Handler) *http.Server {
		return &http.Server{
			Handler: han, ReadHeaderTimeout: set.HeaderTimeout, ReadTimeout: set.BodyTimeout, WriteTimeout: writeTimeout, IdleTimeout: set.IdleTimeout,
			MaxHeaderBytes: set.HeaderBytes,
		}
	}
	dmn.readyServer = newServer(http.HandlerFunc(dmn.handleReady))
	var operators http.Handler = operator.New(&fleet{dmn: dmn}, log)
	if !dmn.set.isPlainText(PlainOperators) {
		operators = requireOperator(operators)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", operators)
	mux.Handle("GET /metrics", dmn.metrics.Handler())
	dmn.operatorServer = newServer(mux)
}

// enableTLS makes callers, other VMs and operators use TLS, but for those that are set
// to plain text.
func (dmn *Daemon) enableTLS() error {
	if !dmn.set.isPlainText(PlainCallers) {
		rel, err := certificate.New(dmn.set.CallerFiles)
		if err != nil {
			return err
		}
		dmn.listeners.callers = tls.NewListener(dmn.listeners.callers, restrictToHTTP1(rel.ServerConfig(false)))
	}
	if !dmn.set.PeerFiles.IsSet() {
		return nil
	}
	rel, err := certificate.New(dmn.set.PeerFiles)
	if err != nil {
		return err
	}
	if !dmn.set.isPlainText(PlainPeers) {
		dmn.transport.UseTLS(rel)
	}
	if dmn.listeners.operators != nil && !dmn.set.isPlainText(PlainOperators) {
		dmn.listeners.operators = tls.NewListener(dmn.listeners.operators, rel.ServerConfig(false))
	}
	return nil
}

// restrictToHTTP1 makes cfg offer HTTP/1.1 as the only protocol (ALPN).
func restrictToHTTP1(cfg *tls.Config) *tls.Config {
	inner := cfg.GetConfigForClient
	cfg.NextProtos = []string{"http/1.1"}
	cfg.GetConfigForClient = func(hel *tls.ClientHelloInfo) (*tls.Config, error) {
		out, err := inner(hel)
		if err == nil {
			out.NextProtos = cfg.NextProtos
		}
		return out, err
	}
	return cfg
}

// handleReady answers the balancer's health check: 200 if the VM takes callers, 503 if
// it does not.
func (dmn *Daemon) handleReady(wrt http.ResponseWriter, _ *http.Request) {
	ready := false
	dmn.driver.WithMachine(func(mac *gateway.Machine, _ clock.Instant) { ready = mac.Ready() })
	if !ready {
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wrt.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends or a listener fails, then stops gracefully. It applies the
// settings that arrive on reload, as far as they can change at run time, also while it
// stops.
func (dmn *Daemon) Run(ctx context.Context, reload <-chan Settings) error {
	defer dmn.cancel()
	go dmn.transport.Serve()
	go dmn.driver.Run()
	// Not canceled with ctx, since the VM continues to serve while it stops.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go dmn.maintain(workCtx)
	go dmn.handleReloads(workCtx, reload)
	serveErrs := make(chan error, 3)
	go func() { serveErrs <- dmn.callerServer.Serve(dmn.listeners.callers) }()
	go func() { serveErrs <- dmn.readyServer.Serve(dmn.listeners.ready) }()
	if dmn.listeners.operators != nil {
		go func() { serveErrs <- dmn.operatorServer.Serve(dmn.listeners.operators) }()
	}
	set := dmn.settings()
	dmn.log.WithFields(logrus.Fields{"vm": dmn.self.ID, "callers": set.CallerAddress, "peers": set.PeerAddress}).Info("start")
	dmn.setPhase(Serving)
	began := time.Now()
	err := awaitStop(ctx, serveErrs)
	dmn.setPhase(Stopping)
	served := time.Since(began)
	cut := dmn.stop(workCtx, stopCause(ctx, err))
	cancel()
	dmn.cancel()
	dmn.closePeers()
	dmn.setPhase(Stopped)
	dmn.log.WithFields(logrus.Fields{
		"vm": dmn.self.ID, "served": served.String(), "took": (time.Since(began) - served).String(), "cutConnections": cut,
	}).Info("stopped")
	return err
}

// stopCause returns why the VM stops: err, or else the cause for which ctx ended.
func stopCause(ctx context.Context, err error) string {
	if err != nil {
		return err.Error()
	}
	return context.Cause(ctx).Error()
}

// closePeers closes the connections to other VMs. It waits for peerCloseTimeout at most,
// since a VM that cannot be reached could block it.
func (dmn *Daemon) closePeers() {
	done := make(chan struct{})
	go func() {
		dmn.transport.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(peerCloseTimeout):
	}
}

// peerCloseTimeout bounds the closing of the connections to other VMs.
const peerCloseTimeout = 100 * time.Millisecond

// awaitStop waits until ctx ends or a listener fails, and returns the listener's error.
func awaitStop(ctx context.Context, serveErrs <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrs:
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return errors.New("a listener was closed unexpectedly")
		}
		return err
	}
}

// handleReloads applies the settings that arrive on reload until ctx ends.
func (dmn *Daemon) handleReloads(ctx context.Context, reload <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case set := <-reload:
			dmn.reload(set)
		}
	}
}

func (dmn *Daemon) setPhase(pha Phase) { dmn.phase.Store(int32(pha)) }

// Phase returns the phase of the process.
func (dmn *Daemon) Phase() Phase { return Phase(dmn.phase.Load()) }

// recordSignal counts and logs a signal that the process received.
func (dmn *Daemon) recordSignal(sig os.Signal) {
	dmn.metrics.Event("signal")
	dmn.log.WithFields(logrus.Fields{"signal": sig.String(), "phase": dmn.Phase().String()}).Info("signal")
}

// reload applies new settings:
//   - at once: revoke-time, rewrite-time and the settings whose names begin with retry- or quota-;
//   - within boundsInterval: max-header-bytes, max-body-bytes, header-timeout, idle-timeout and
//     body-timeout for callers, and the bounds that follow from memory-mib and max-files, but for the
//     limit of the garbage collector;
//   - when a graceful stop begins: stop-time and balancer-lag.
//
// All others need a restart. Of those, needsRestart in the log covers only name, caller-address,
// ready-address, peer-address and peer-public-address.
func (dmn *Daemon) reload(set Settings) {
	if err := set.Check(); err != nil {
		dmn.log.WithError(err).Error("the new settings are invalid; the previous ones stay in force")
		return
	}
	dmn.mut.Lock()
	old := dmn.set
	dmn.set = set
	dmn.mut.Unlock()
	dmn.driver.WithMachine(func(mac *gateway.Machine, _ clock.Instant) { mac.SetPolicy(policy(set)) })
	// Only these settings are compared. A change of another one that needs a restart, such as
	// the capacity, is not reported.
	needsRestart := old.CallerAddress != set.CallerAddress || old.ReadyAddress != set.ReadyAddress || old.PeerAddress != set.PeerAddress || old.PeerPublicAddress != set.PeerPublicAddress || old.Name != set.Name
	dmn.metrics.Event("reload")
	dmn.log.WithFields(logrus.Fields{"needsRestart": needsRestart, "phase": dmn.Phase().String()}).Info("reload")
}

// settings returns the settings in force.
func (dmn *Daemon) settings() Settings {
	dmn.mut.Lock()
	defer dmn.mut.Unlock()
	return dmn.set
}

// maintain keeps the bounds for callers up to date with the configuration and the
// settings, and closes connections to targets that have been idle for too long.
func (dmn *Daemon) maintain(ctx context.Context) {
	var swept time.Time
	for ctx.Err() == nil {
		driver.Sleep(ctx, boundsInterval)
		var bnd config.Bounds
		dmn.driver.WithMachine(func(mac *gateway.Machine, _ clock.Instant) {
			if con := mac.Config(); con != nil {
				bnd = con.Content.Bounds
			}
		})
		set := dmn.settings()
		dmn.callerServer.SetSettings(callerSettings(set, bnd))
		dmn.budgets.resize(set)
		if now := time.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			dmn.pool.Sweep(now)
		}
	}
}

// stop stops gracefully: the VM reports that it is not ready, continues to serve until
// the balancer has noticed, lets every request finish and every caller take its responses,
// and closes its listeners. It returns the number of callers' connections with a request that
// was not answered cutMargin before the end of the stop time, and are cut.
func (dmn *Daemon) stop(ctx context.Context, cause string) (cut int) {
	set := dmn.settings()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, set.StopTime-cutMargin)
	defer cancel()
	dmn.log.WithFields(logrus.Fields{"cause": cause, "connections": dmn.callerServer.Connections(), "stopTime": set.StopTime.String()}).Info("stop")
	dmn.driver.Step(gateway.StopBegan{TimeLeft: set.StopTime - deadlineMargin})
	dmn.callerServer.Stop()
	driver.Sleep(ctx, set.BalancerLag)
	_ = dmn.listeners.callers.Close()
	deadline := time.AfterFunc(set.StopTime-deadlineMargin-time.Since(began), func() { dmn.driver.Step(gateway.StopDeadline{}) })
	defer deadline.Stop()
	if !dmn.callerServer.Drain(ctx) {
		cut = dmn.callerServer.Unanswered()
		dmn.log.WithFields(logrus.Fields{"unanswered": cut, "connections": dmn.callerServer.Connections()}).Warn("the stop time is almost over; closing the connections of callers that are still open and cutting those with an unanswered request")
	}
	dmn.forwarder.Stop(ctx)
	_ = dmn.readyServer.Close()
	_ = dmn.operatorServer.Close()
	if err := dmn.tracer.Shutdown(ctx); err != nil {
		dmn.log.WithError(err).Warn("cannot export the last spans")
	}
	return cut
}
