// Package daemon assembles one VM of the fleet from its parts and runs it.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/node"
	"marigoldlug.example/lugd/pkg/caller"
	"marigoldlug.example/lugd/pkg/certificate"
	"marigoldlug.example/lugd/pkg/logflags"
	"marigoldlug.example/lugd/pkg/metrics"
	"marigoldlug.example/lugd/pkg/operator"
	"marigoldlug.example/lugd/pkg/peer"
	"marigoldlug.example/lugd/pkg/platform"
	"marigoldlug.example/lugd/pkg/release"
	"marigoldlug.example/lugd/pkg/settings"
	"marigoldlug.example/lugd/pkg/target"
	"marigoldlug.example/lugd/pkg/trace"
	"marigoldlug.example/lugd/pkg/vm"
)

const (
	sweepInterval = 10 * time.Second
	// chunkInterval is how often the first watcher looks for unused chunks.
	chunkInterval = time.Hour
	bodyPause     = 60 * time.Second
)

// Daemon is one VM of the fleet.
type Daemon struct {
	set       settings.Settings
	log       logrus.FieldLogger
	self      member.VM
	runtime   *vm.Runtime
	committer *release.Committer
	client    *platform.Client
	pool      *target.Pool
	tracer    *trace.Tracer
	transport *peer.Transport
	// cancel ends the work of the runtime.
	cancel    context.CancelFunc
	callers   *http.Server
	operators *http.Server
	listeners listeners
}

type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// New checks the settings, binds the addresses and returns a VM that does not
// run yet.
func New(ctx context.Context, set settings.Settings, lgs *logflags.Logs) (*Daemon, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	dmn := &Daemon{set: set, log: lgs.Logger(logflags.Daemon)}
	if err := dmn.listen(); err != nil {
		return nil, err
	}
	var identity *certificate.Keeper
	if set.PeerFiles.Given() {
		var err error
		if identity, err = certificate.New(set.PeerFiles); err != nil {
			return nil, err
		}
	}
	address := set.AdvertiseAddress
	if address == "" {
		address = dmn.listeners.peer.Addr().String()
	}
	dmn.self = member.VM{ID: set.Name + "." + runID(), Address: address, FailureDomain: set.FailureDomain}
	dmn.client = platform.New(set.PlatformURL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, set.PlatformCalls, int(4*set.PlatformCalls)+1)
	dmn.committer = release.NewCommitter(dmn.client, dmn.self.ID, time.Now)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	dmn.cancel = cancel
	dmn.runtime = vm.New(work, node.Settings{
		Self: dmn.self, LeaseDuration: set.LeaseDuration, TrustReads: set.PlatformReads == settings.ConsistentReads,
		Threshold: health.Threshold(set.EjectionThreshold),
	}, dmn.client, dmn.committer, lgs.Logger(logflags.Machine))
	dmn.transport = peer.New(dmn.self, dmn.listeners.peer, dmn.runtime, lgs.Logger(logflags.Peer))
	if !set.Plain(settings.PlainPeers) {
		dmn.transport.Secure(identity)
	}
	dmn.runtime.SetTransport(dmn.transport, set.Peers)
	dmn.pool = target.New(target.Settings{DialTimeout: set.DialTimeout, IdlePerTarget: set.IdlePerTarget, BodyPause: bodyPause})
	var err error
	if dmn.tracer, err = trace.New(ctx, set.TraceEndpoint, dmn.self.ID, set.TraceShare); err != nil {
		return nil, err
	}
	dmn.serve(lgs)
	return dmn, dmn.secure(identity)
}

// secure wraps the listeners for callers and operators in TLS, unless they are
// set to plain text.
func (dmn *Daemon) secure(identity *certificate.Keeper) error {
	if !dmn.set.Plain(settings.PlainCallers) {
		kee, err := certificate.New(dmn.set.CallerFiles)
		if err != nil {
			return err
		}
		dmn.callers.TLSConfig = kee.Server(false)
		dmn.listeners.caller = tls.NewListener(dmn.listeners.caller, dmn.callers.TLSConfig)
	}
	if !dmn.set.Plain(settings.PlainOperators) {
		dmn.operators.TLSConfig = identity.Server(false)
		dmn.listeners.operator = tls.NewListener(dmn.listeners.operator, dmn.operators.TLSConfig)
	}
	return nil
}

// onlyOperators lets through only those who show an operator's certificate.
func onlyOperators(han http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if !certificate.IsOperator(req.TLS) {
			wrt.WriteHeader(http.StatusForbidden)
			return
		}
		han.ServeHTTP(wrt, req)
	})
}

// runID returns a part of a VM's ID that no other run of a process has.
func runID() string {
	var raw [6]byte
	_, _ = rand.Read(raw[:]) // Read never fails; see crypto/rand.
	return hex.EncodeToString(raw[:])
}

func (dmn *Daemon) listen() error {
	var err error
	if dmn.listeners.caller, err = net.Listen("tcp", dmn.set.CallerAddress); err != nil {
		return fmt.Errorf("cannot listen for callers: %w", err)
	}
	if dmn.listeners.peer, err = net.Listen("tcp", dmn.set.PeerAddress); err != nil {
		return fmt.Errorf("cannot listen for other VMs: %w", err)
	}
	if dmn.listeners.operator, err = net.Listen("tcp", dmn.set.OperatorAddress); err != nil {
		return fmt.Errorf("cannot listen for operators: %w", err)
	}
	return nil
}

func (dmn *Daemon) serve(lgs *logflags.Logs) {
	met := metrics.New()
	dmn.register(met)
	han := caller.New(
		caller.Settings{MaxBody: dmn.set.MaxBodyBytes, BodyTimeout: dmn.set.BodyTimeout},
		dmn.runtime, dmn.pool, &observer{metrics: met, tracer: dmn.tracer},
	)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	dmn.callers = &http.Server{
		Handler:           han,
		ReadHeaderTimeout: dmn.set.HeaderTimeout,
		IdleTimeout:       dmn.set.IdleTimeout,
		MaxHeaderBytes:    dmn.set.MaxHeaderBytes,
		Protocols:         &protocols,
	}
	mux := http.NewServeMux()
	var operators http.Handler = operator.New(dmn.committer, &fleet{dmn: dmn}, lgs.Logger(logflags.Operator))
	if !dmn.set.Plain(settings.PlainOperators) {
		operators = onlyOperators(operators)
	}
	mux.Handle("/v1/", operators)
	mux.Handle("GET /metrics", met.Handler())
	mux.HandleFunc("GET /livez", func(wrt http.ResponseWriter, _ *http.Request) { wrt.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", dmn.readyz)
	dmn.operators = &http.Server{Handler: mux, ReadHeaderTimeout: dmn.set.HeaderTimeout}
}

func (dmn *Daemon) register(met *metrics.Set) {
	met.Gauge("lease_active", "1 while the VM may serve keyed routes.", func() float64 {
		if sta, _ := dmn.runtime.Status(); sta.Active {
			return 1
		}
		return 0
	})
	met.Gauge("head_version", "Version of the head in force.", func() float64 {
		sta, _ := dmn.runtime.Status()
		return float64(sta.Version)
	})
	met.Gauge("proof_age_seconds", "Age of the newest proof that the head is the newest.", func() float64 {
		sta, _ := dmn.runtime.Status()
		return sta.ProofAge.Seconds()
	})
	met.Counter("peer_sent_bytes", "Bytes sent to other VMs.", func() float64 {
		sent, _ := dmn.transport.Bytes()
		return float64(sent)
	})
	met.Counter("peer_received_bytes", "Bytes received from other VMs.", func() float64 {
		_, received := dmn.transport.Bytes()
		return float64(received)
	})
	met.Gauge("targets_ejected", "Targets that the VM does not use.", func() float64 {
		sta, _ := dmn.runtime.Status()
		return float64(len(sta.Ejected))
	})
}

func (dmn *Daemon) readyz(wrt http.ResponseWriter, _ *http.Request) {
	if _, ready := dmn.runtime.Status(); !ready {
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wrt.WriteHeader(http.StatusOK)
}

// Self returns the VM.
func (dmn *Daemon) Self() member.VM { return dmn.self }

// CallerAddress returns the address on which callers are served.
func (dmn *Daemon) CallerAddress() string { return dmn.listeners.caller.Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (dmn *Daemon) OperatorAddress() string { return dmn.listeners.operator.Addr().String() }

// Run serves until ctx ends, then stops gracefully.
func (dmn *Daemon) Run(ctx context.Context) error {
	defer dmn.cancel()
	var wgr sync.WaitGroup
	wgr.Go(dmn.transport.Serve)
	wgr.Go(dmn.runtime.Run)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	wgr.Go(func() { dmn.sweep(work) })
	wgr.Go(func() { dmn.sweepChunks(work) })
	failed := make(chan error, 2)
	for srv, lis := range map[*http.Server]net.Listener{dmn.callers: dmn.listeners.caller, dmn.operators: dmn.listeners.operator} {
		wgr.Go(func() {
			if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	dmn.log.WithFields(logrus.Fields{"vm": dmn.self.ID, "callers": dmn.CallerAddress(), "operators": dmn.OperatorAddress()}).Info("serving")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	err = errors.Join(err, dmn.stop(work))
	cancel()
	dmn.cancel()
	dmn.transport.Close()
	wgr.Wait()
	return err
}

func sleep(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

func (dmn *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		dmn.pool.Sweep(time.Now())
	}
}

// sweepChunks deletes unused chunks from the platform, on the first watcher.
func (dmn *Daemon) sweepChunks(ctx context.Context) {
	swe := release.NewSweeper(dmn.client, time.Now)
	for {
		sleep(ctx, chunkInterval)
		if ctx.Err() != nil {
			return
		}
		first := false
		dmn.runtime.Machine(func(mac *node.Machine, _ clock.Instant) {
			wts := mac.Watchers()
			first = len(wts) > 0 && wts[0].ID == dmn.self.ID
		})
		if !first {
			continue
		}
		cnt, err := swe.Sweep(ctx)
		dmn.log.WithError(err).WithField("deleted", cnt).Info("unused chunks swept")
	}
}
