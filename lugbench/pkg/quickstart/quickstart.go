// Package quickstart runs a whole small fleet in one process on loopback: the
// stand-in platform, three targets and three VMs.
package quickstart

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugbench/pkg/platformfake"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/pkg/daemon"
	"marigoldlug.example/lugd/pkg/logflags"
	"marigoldlug.example/lugd/pkg/settings"
	"marigoldlug.example/lugd/service/api"
)

const (
	vmCount      = 3
	targetCount  = 3
	targetSlots  = 6
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// Key is the key of the organisation that the quick start creates.
	Key = "quickstart-key"
)

// Fleet is a small fleet that runs in this process.
type Fleet struct {
	Platform *platformfake.Server
	Targets  []*targetfake.Target
	VMs      []*daemon.Daemon

	platformURL     string
	targetAddresses []string
	servers         []*http.Server
	wait            sync.WaitGroup
	cancel          context.CancelFunc
	errs            chan error
	stop            sync.Once
}

// Start starts the fleet and waits until every VM has joined.
func Start(ctx context.Context, log io.Writer) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	fle := &Fleet{Platform: platformfake.New(), cancel: cancel, errs: make(chan error, 2*vmCount)}
	address, err := fle.serve(fle.Platform)
	if err != nil {
		return nil, err
	}
	fle.platformURL = "http://" + address
	for num := range targetCount {
		tgt := targetfake.New(fmt.Sprintf("worker-%d", num+1), targetSlots)
		address, err := fle.serve(tgt)
		if err != nil {
			return nil, err
		}
		fle.Targets = append(fle.Targets, tgt)
		fle.targetAddresses = append(fle.targetAddresses, address)
	}
	for num := range vmCount {
		if err := fle.startVM(ctx, num, log); err != nil {
			return nil, err
		}
	}
	return fle, fle.awaitMembers(ctx)
}

// AddVM starts another VM, which asks the others for the configuration while
// the platform is away, and waits until it may serve keyed routes.
func (fle *Fleet) AddVM(ctx context.Context, log io.Writer) error {
	run, cancel := context.WithCancel(ctx)
	before := fle.cancel
	fle.cancel = func() { before(); cancel() }
	if err := fle.startVM(run, len(fle.VMs), log); err != nil {
		return err
	}
	return fle.await(ctx, "the new VM is active", func(sta api.VM) bool { return sta.LeaseActive })
}

func (fle *Fleet) serve(han http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Second}
	fle.servers = append(fle.servers, srv)
	fle.wait.Go(func() { _ = srv.Serve(lis) }) // Serve always ends with the error of Close.
	return lis.Addr().String(), nil
}

func (fle *Fleet) startVM(ctx context.Context, num int, log io.Writer) error {
	set := settings.Default()
	set.Name = fmt.Sprintf("vm-%d", num+1)
	set.FailureDomain = fmt.Sprintf("domain-%d", num+1)
	set.CallerAddress = "127.0.0.1:0"
	set.PeerAddress = "127.0.0.1:0"
	set.OperatorAddress = "127.0.0.1:0"
	set.PlatformURL = fle.platformURL
	for _, dmn := range fle.VMs {
		set.Peers = append(set.Peers, dmn.Self().Address)
	}
	set.BalancerLag = 0
	set.PlainText = []string{settings.PlainCallers, settings.PlainPeers, settings.PlainOperators}
	lgs, err := logflags.New(log, "text", "")
	if err != nil {
		return err
	}
	dmn, err := daemon.New(ctx, set, lgs)
	if err != nil {
		return err
	}
	fle.VMs = append(fle.VMs, dmn)
	fle.wait.Go(func() { fle.errs <- dmn.Run(ctx) })
	return nil
}

// Stop stops every VM gracefully, then the stand-ins. It does so once.
func (fle *Fleet) Stop() error {
	var err error
	fle.stop.Do(func() { err = fle.stopAll() })
	return err
}

func (fle *Fleet) stopAll() error {
	fle.cancel()
	var first error
	for range fle.VMs {
		if err := <-fle.errs; err != nil && first == nil {
			first = err
		}
	}
	for _, srv := range fle.servers {
		_ = srv.Close()
	}
	fle.wait.Wait()
	return first
}

func (fle *Fleet) awaitMembers(ctx context.Context) error {
	return fle.await(ctx, "every VM is a member", func(sta api.VM) bool { return sta.Members == vmCount })
}

// AwaitVersion waits until every VM holds a version of the head.
func (fle *Fleet) AwaitVersion(ctx context.Context, version uint64) error {
	return fle.await(ctx, fmt.Sprintf("version %d is in force", version), func(sta api.VM) bool { return sta.Version >= version && sta.LeaseActive })
}

func (fle *Fleet) await(ctx context.Context, what string, met func(sta api.VM) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, dmn := range fle.VMs {
		for {
			var sta api.VM
			if err := getJSON(ctx, "http://"+dmn.OperatorAddress()+api.PathStatus, &sta); err == nil && met(sta) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s: not so after %v", what, readyTimeout)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// TargetAddress returns the address of a target.
func (fle *Fleet) TargetAddress(num int) string { return fle.targetAddresses[num] }

// Note returns the release note that configures the fleet.
func (fle *Fleet) Note() []byte { return fle.noteWithRate(300) }

// LoadNote returns a release note whose rate a load does not reach.
func (fle *Fleet) LoadNote() []byte { return fle.noteWithRate(100000) }

func (fle *Fleet) noteWithRate(perSecond int) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `release: quickstart
base: 0
added:
  organisations:
    - {name: studio, rate: %d, burst: %d}
  keys:
    - {id: studio-1, organisation: studio, digest: %q}
  services:
    - {name: recipe-vault, healthyFloor: 0.6}
  targets:
`, perSecond, perSecond, note.ShowDigest(config.DigestOf(Key)))
	for num, address := range fle.targetAddresses {
		fmt.Fprintf(&buf, "    - {service: recipe-vault, name: worker-%d, address: %q, failureDomain: domain-%d, slots: %d, connections: 300}\n",
			num+1, address, num+1, targetSlots)
	}
	buf.WriteString(`  routes:
    - {name: recipes, pathPrefix: /recipes, methods: [GET], service: recipe-vault, idempotent: true, timeout: 2s, maxAttempts: 3}
    - {name: orders, pathPrefix: /orders, methods: [POST], service: recipe-vault, idempotent: false, timeout: 2s}
`)
	return buf.Bytes()
}
