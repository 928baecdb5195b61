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
	"marigoldlug.example/lugd/pkg/certificate"
	"marigoldlug.example/lugd/pkg/driver"
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
	// sweepInterval is how often idle connections to targets are looked over.
	sweepInterval = 2 * time.Second
	// boundsInterval is how often the bounds of the configuration are taken
	// over.
	boundsInterval  = 500 * time.Millisecond
	bodyIdleTimeout = 20 * time.Second
	// bufferBytes is the length up to which answers are read whole before they
	// are passed on.
	bufferBytes   = 64 << 10
	idlePerTarget = 4
	// deadlineMargin and cutMargin are how long before the end of the stop time the
	// last requests are answered, and connections are cut. What follows takes
	// peerCloseTime and the time to flush the logs.
	deadlineMargin = 600 * time.Millisecond
	cutMargin      = peerCloseTimeout + logflags.FlushTimeout + 50*time.Millisecond
	// bodyMemoryDivisor is the part of the memory that may hold bodies.
	bodyMemoryDivisor = 4
	mib               = 1 << 20
	// gcPercent is how much the heap may grow between two collections. Memory is
	// dearer to the users than processor time.
	gcPercent = 40
)

// PlatformAdapter is what the platform adds to a VM: where the configuration, targets
// and the fleet are stored, and how callers and targets name their headers.
type PlatformAdapter struct {
	Names   header.Names
	Connect func(address string, log logrus.FieldLogger) driver.Platform
}

// Daemon is one VM of the fleet.
type Daemon struct {
	log       logrus.FieldLogger
	self      member.VM
	driver    *driver.Driver
	transport *peer.Transport
	pool      *target.Pool
	callers   *http1.Server
	ready     *http.Server
	operators *http.Server
	tracer    *trace.Tracer
	metrics   *metrics.Set
	listeners listeners
	// cancel ends the work of the driver.
	cancel context.CancelFunc
	// phase holds a Phase, and only rises.
	phase atomic.Int32

	mut sync.Mutex
	set Settings
}

type listeners struct {
	callers, ready, peers, operators net.Listener
}

// New binds the addresses and returns a VM that does not run yet.
func New(ctx context.Context, set Settings, adp PlatformAdapter, lgs *logflags.Loggers) (*Daemon, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	// The collector works harder before the limit rather than later than it.
	debug.SetMemoryLimit(int64(set.MemoryMiB) * mib * 3 / 4)
	debug.SetGCPercent(gcPercent)
	dmn := &Daemon{set: set, log: lgs.Logger(logflags.Daemon)}
	if err := dmn.listen(); err != nil {
		return nil, err
	}
	dmn.self = member.VM{ID: set.Name + "." + runID(), Address: cmp.Or(set.PeerPublicAddress, set.PeerAddress), FailureDomain: set.FailureDomain, Capacity: set.Capacity}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	dmn.cancel = cancel
	met := metrics.New()
	dmn.metrics = met
	dmn.driver = driver.New(work, gateway.Settings{
		Name: set.Name, Self: dmn.self, Policy: policy(set),
	}, adp.Connect(set.PlatformAddress, lgs.Logger(logflags.Platform)), driver.NewClock(), met, lgs.Logger(logflags.Machine), set.LogLinesPerSec)
	dmn.transport = peer.New(dmn.self, dmn.listeners.peers, dmn.driver, lgs.Logger(logflags.Peer))
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
		Names: adp.Names, BufferBytes: bufferBytes, AllowCloseDelimited: true,
	})
	dmn.registerMetrics()
	dmn.callers = http1.New(callerSettings(set, config.Bounds{}), adp.Names, dmn.driver, dmn.pool, &observer{set: met, tracer: dmn.tracer}, lgs.Logger(logflags.Caller))
	dmn.createHTTPServers(lgs.Logger(logflags.Operator))
	return dmn, nil
}

func policy(set Settings) gateway.Policy {
	return gateway.Policy{
		RevokeTime: set.RevokeTime, RetryShare: set.RetryShare, RetryExtra: set.RetryExtra, RetryWindow: set.RetryWindow,
		Quota: quota.Policy{Window: set.QuotaWindow, Excess: set.QuotaExcess, Slack: set.QuotaSlack},
	}
}

// callerSettings joins the settings of the VM with those of the configuration.
func callerSettings(set Settings, bnd config.Bounds) http1.Settings {
	out := http1.Settings{
		HeaderBytes: set.HeaderBytes, BodyBytes: set.BodyBytes, HeaderTimeout: set.HeaderTimeout, IdleTimeout: set.IdleTimeout,
		BodyTimeout: set.BodyTimeout, Memory: int64(set.MemoryMiB) * mib / bodyMemoryDivisor,
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

// runID returns a part of a VM's ID that no other run of a process has.
func runID() string {
	var raw [6]byte
	_, _ = rand.Read(raw[:]) // Read never fails; see crypto/rand.
	return hex.EncodeToString(raw[:])
}

// userTimeout is how long bytes sent to callers and VMs may stay
// unacknowledged before the connection counts as dead.
const userTimeout = 5 * time.Second

func (dmn *Daemon) listen() error {
	for _, one := range []struct {
		what, address string
		lis           *net.Listener
	}{
		{"callers", dmn.set.CallerAddress, &dmn.listeners.callers},
		{"the balancer", dmn.set.ReadyAddress, &dmn.listeners.ready},
		{"other VMs", dmn.set.PeerAddress, &dmn.listeners.peers},
		{"operators", dmn.set.OperatorAddress, &dmn.listeners.operators},
	} {
		if one.address == "" {
			continue
		}
		lic := net.ListenConfig{Control: socket.UserTimeout(userTimeout)}
		lis, err := lic.Listen(context.Background(), "tcp", one.address)
		if err != nil {
			return fmt.Errorf("cannot listen for %s: %w", one.what, err)
		}
		*one.lis = lis
	}
	return nil
}

func (dmn *Daemon) createHTTPServers(log logrus.FieldLogger) {
	dmn.ready = &http.Server{Handler: http.HandlerFunc(dmn.handleReady), ReadHeaderTimeout: dmn.set.HeaderTimeout}
	var operators http.Handler = operator.New(&fleet{dmn: dmn}, log)
	if !dmn.set.isPlainText(PlainOperators) {
		operators = requireOperator(operators)
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", operators)
	mux.Handle("GET /metrics", dmn.metrics.Handler())
	dmn.operators = &http.Server{Handler: mux, ReadHeaderTimeout: dmn.set.HeaderTimeout}
}

// enableTLS puts TLS before callers, VMs and operators, unless they are set to
// plain text.
func (dmn *Daemon) enableTLS() error {
	if !dmn.set.isPlainText(PlainCallers) {
		rel, err := certificate.New(dmn.set.CallerFiles)
		if err != nil {
			return err
		}
		dmn.listeners.callers = tls.NewListener(dmn.listeners.callers, restrictToHTTP1(rel.ServerConfig(false)))
	}
	if !dmn.set.PeerFiles.Given() {
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

// restrictToHTTP1 offers callers no other protocol.
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

// handleReady tells the balancer whether the VM may be sent callers.
func (dmn *Daemon) handleReady(wrt http.ResponseWriter, _ *http.Request) {
	ready := false
	dmn.driver.Machine(func(mac *gateway.Machine, _ clock.Instant) { ready = mac.Ready() })
	if !ready {
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wrt.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, then stops gracefully. A value on reload makes it
// take over settings that may change while it runs, also while it stops.
func (dmn *Daemon) Run(ctx context.Context, reload <-chan Settings) error {
	defer dmn.cancel()
	go dmn.transport.Serve()
	go dmn.driver.Run()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go dmn.maintain(work)
	go dmn.handleReloads(work, reload)
	failed := make(chan error, 3)
	go func() { failed <- dmn.callers.Serve(dmn.listeners.callers) }()
	go func() { failed <- dmn.ready.Serve(dmn.listeners.ready) }()
	if dmn.listeners.operators != nil {
		go func() { failed <- dmn.operators.Serve(dmn.listeners.operators) }()
	}
	set := dmn.settings()
	dmn.log.WithFields(logrus.Fields{"vm": dmn.self.ID, "callers": set.CallerAddress, "peers": set.PeerAddress}).Info("start")
	dmn.setPhase(Serving)
	began := time.Now()
	err := awaitStop(ctx, failed)
	dmn.setPhase(Stopping)
	served := time.Since(began)
	cut := dmn.stop(work, stopCause(ctx, err))
	cancel()
	dmn.cancel()
	dmn.closePeers()
	dmn.setPhase(Stopped)
	dmn.log.WithFields(logrus.Fields{
		"vm": dmn.self.ID, "served": served.String(), "took": (time.Since(began) - served).String(), "cutConnections": cut,
	}).Info("stopped")
	return err
}

// stopCause tells why a VM stops: the end of its context, or an error.
func stopCause(ctx context.Context, err error) string {
	if err != nil {
		return err.Error()
	}
	return context.Cause(ctx).Error()
}

// closePeers ends the connections to other VMs. One that is cut off is not
// waited for.
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

// awaitStop waits for the end of ctx, or of a listener.
func awaitStop(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return errors.New("a listener was closed")
		}
		return err
	}
}

// handleReloads takes over the settings that come on reload until ctx ends.
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

// recordSignal notes a signal that the process got.
func (dmn *Daemon) recordSignal(sig os.Signal) {
	dmn.metrics.Event("signal")
	dmn.log.WithFields(logrus.Fields{"signal": sig.String(), "phase": dmn.Phase().String()}).Info("signal")
}

// reload takes over the settings that may change while the VM runs.
func (dmn *Daemon) reload(set Settings) {
	if err := set.Check(); err != nil {
		dmn.log.WithError(err).Error("the new settings are wrong; the old ones stay in force")
		return
	}
	dmn.mut.Lock()
	old := dmn.set
	dmn.set = set
	dmn.mut.Unlock()
	dmn.driver.Machine(func(mac *gateway.Machine, _ clock.Instant) { mac.SetPolicy(policy(set)) })
	needsRestart := old.CallerAddress != set.CallerAddress || old.ReadyAddress != set.ReadyAddress || old.PeerAddress != set.PeerAddress || old.PeerPublicAddress != set.PeerPublicAddress || old.Name != set.Name
	dmn.metrics.Event("reload")
	dmn.log.WithFields(logrus.Fields{"needsRestart": needsRestart, "phase": dmn.Phase().String()}).Info("reload")
}

func (dmn *Daemon) settings() Settings {
	dmn.mut.Lock()
	defer dmn.mut.Unlock()
	return dmn.set
}

// maintain takes over the bounds of the configuration and closes connections
// that have been idle for too long.
func (dmn *Daemon) maintain(ctx context.Context) {
	var swept time.Time
	for ctx.Err() == nil {
		driver.Sleep(ctx, boundsInterval)
		var bnd config.Bounds
		dmn.driver.Machine(func(mac *gateway.Machine, _ clock.Instant) {
			if con := mac.Config(); con != nil {
				bnd = con.Content.Bounds
			}
		})
		dmn.callers.SetSettings(callerSettings(dmn.settings(), bnd))
		if now := time.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			dmn.pool.Sweep(now)
		}
	}
}

// stop ends the service without cutting a request: the VM says that it is not
// ready, serves on until the balancer has noticed, lets every request finish
// and closes. It returns the number of connections that were cut after all.
func (dmn *Daemon) stop(ctx context.Context, cause string) (cut int) {
	set := dmn.settings()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, set.StopTime-cutMargin)
	defer cancel()
	dmn.log.WithFields(logrus.Fields{"cause": cause, "connections": dmn.callers.Connections(), "stopTime": set.StopTime.String()}).Info("stop")
	dmn.driver.Step(gateway.StopBegan{})
	dmn.callers.Stop()
	driver.Sleep(ctx, set.BalancerLag)
	_ = dmn.listeners.callers.Close()
	last := time.AfterFunc(set.StopTime-deadlineMargin-time.Since(began), func() { dmn.driver.Step(gateway.StopDeadline{}) })
	defer last.Stop()
	if !dmn.callers.Drain(ctx) {
		cut = dmn.callers.Connections()
		dmn.log.WithField("connections", cut).Warn("requests are cut after the stop time")
	}
	_ = dmn.ready.Close()
	_ = dmn.operators.Close()
	if err := dmn.tracer.Shutdown(ctx); err != nil {
		dmn.log.WithError(err).Warn("the last spans were not exported")
	}
	return cut
}
