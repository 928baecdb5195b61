// Package playground runs a small fleet on loopback in one process: a fake store, fake
// targets and real VMs.
package playground

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugctl/pkg/release"
	"marigoldlug.example/lugd/pkg/driver"
	"marigoldlug.example/lugd/pkg/edge"
	"marigoldlug.example/lugd/pkg/logflags"
	"marigoldlug.example/platform/pkg/objects"
)

// Key is the API key of the organisation studio.
const Key = "studio-key-0123456789"

// Note is the first release note: a service with an idempotent route for reads and one
// that is not idempotent for orders.
const Note = `release: first
base: 0
added:
  organisations: [{name: studio, rate: 500, burst: 500}]
  keys: [{organisation: studio, secret: ` + Key + `}]
  services: [{name: recipes, healthPath: /health, connections: 300}]
  routes:
    - {name: reads, pathPrefix: /recipes/, service: recipes, idempotent: true, timeout: 2s, latencyGoal: 500ms, maxAttempts: 2}
    - {name: orders, pathPrefix: /orders/, service: recipes, idempotent: false, timeout: 2s, latencyGoal: 500ms, maxAttempts: 2}
`

// Settings are the settings of a playground.
type Settings struct {
	VMs     int
	Targets int
	// Latency is the mean time that targets take for a request.
	Latency time.Duration
	// Log receives the logs of the VMs and of the client that applies release notes.
	Log io.Writer
	// Note replaces the first release note of this package, unless it is empty.
	Note string
	// Links are the links to the targets of some VMs, by the number of the VM. The other VMs reach the targets
	// directly.
	Links map[int]*Links
	// DrainTime is the domain-drain-time of the VMs.
	DrainTime time.Duration
	// firstStart is the first-start of the VMs.
	firstStart bool
}

// Playground is a small fleet with its store and targets.
type Playground struct {
	Store *storefake.Store
	// StoreAddress is where VMs reach the store.
	StoreAddress string
	Targets      []*targetfake.Target
	// TargetAddresses are the addresses at which the targets listen. They may register
	// others, those of proxies.
	TargetAddresses []string
	Releases        *release.Applier
	// CallerAddresses are the addresses at which VMs serve callers, OperatorAddresses
	// those at which they serve operators.
	CallerAddresses, OperatorAddresses []string
	closers                            []func()
}

// Start starts the store and the targets, applies the first release note, starts the
// VMs and waits until they are ready. The VMs stop when ctx is done.
func Start(ctx context.Context, set Settings) (*Playground, error) {
	pgr := &Playground{Store: storefake.New()}
	address, err := pgr.serve(pgr.Store)
	if err != nil {
		return nil, err
	}
	pgr.StoreAddress = address
	for num := range set.Targets {
		tgt := targetfake.New(fmt.Sprintf("worker-%d", num+1), "recipes", failureDomain(num), 3, objects.Names(), pgr.Store)
		tgt.SetFaults(targetfake.Faults{Latency: set.Latency})
		srv := &targetServer{target: tgt}
		at, err := srv.start("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		pgr.closers = append(pgr.closers, srv.close)
		if err := tgt.Register(at, false); err != nil {
			return nil, err
		}
		tgt.OnCrash(func() { srv.crash(func() error { return tgt.Register(at, false) }, set.Log) })
		pgr.Targets, pgr.TargetAddresses = append(pgr.Targets, tgt), append(pgr.TargetAddresses, at)
	}
	log := logrus.New()
	log.SetOutput(set.Log)
	pgr.Releases = release.New(objects.NewReleaseStore(objects.New(address, log)), time.Now)
	if _, err := pgr.Releases.Apply(ctx, []byte(cmp.Or(set.Note, Note)), "playground"); err != nil {
		return nil, err
	}
	set.firstStart = true
	for num := range set.VMs {
		if err := pgr.startVM(ctx, num, address, set); err != nil {
			return nil, err
		}
	}
	return pgr, nil
}

func failureDomain(num int) string { return fmt.Sprintf("domain-%d", num%3+1) }

// Serve serves a handler at a free address on loopback until closeServer is called.
func Serve(han http.Handler) (address string, closeServer func(), err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }() // Serve always returns an error, http.ErrServerClosed after Close.
	return lis.Addr().String(), func() { _ = srv.Close() }, nil
}

func (pgr *Playground) serve(han http.Handler) (string, error) {
	address, closeServer, err := Serve(han)
	if err == nil {
		pgr.closers = append(pgr.closers, closeServer)
	}
	return address, err
}

// The ports of VMs lie below the range from which the system takes ports for outgoing
// connections: such a connection could otherwise take the port of a VM that is being
// restarted. Each process takes its ports from a block of its own, and reserves the
// block by listening at its first port. portRetries is how many ports FreeAddress tries.
const (
	minPort         = 12000
	portCount       = 20000
	portsPerProcess = 200
	portRetries     = 50
)

// nextPort is the number of ports that FreeAddress has tried.
var nextPort atomic.Int64

// portBlock is a block of ports that is reserved for this process while listener is
// open.
type portBlock struct {
	first    int64
	listener net.Listener
}

// claimPorts reserves a block of ports on its first call and returns it. The first
// block that it tries follows from the process ID; if it is in use, it tries the next.
var claimPorts = sync.OnceValues(func() (portBlock, error) {
	var last error
	for num := range int64(portCount / portsPerProcess) {
		first := minPort + (int64(os.Getpid())+num)*portsPerProcess%portCount
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return portBlock{first: first, listener: lis}, nil
		}
		last = err
	}
	return portBlock{}, last
})

// FreeAddress returns an address on loopback at which no process listens.
func FreeAddress() (string, error) {
	blk, last := claimPorts()
	if last != nil {
		return "", last
	}
	for range portRetries {
		port := blk.first + 1 + nextPort.Add(1)%(portsPerProcess-1)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		lis, err := net.Listen("tcp", address)
		if err == nil {
			return address, lis.Close()
		}
		last = err
	}
	return "", last
}

// VMSettings returns the settings of a VM on loopback, with free addresses.
func VMSettings(num int, platform string) (edge.Settings, error) {
	set := edge.DefaultSettings()
	set.Name, set.FailureDomain, set.PlatformAddress = fmt.Sprintf("vm-%d", num+1), failureDomain(num), platform
	set.PlainText = []string{edge.PlainCallers, edge.PlainPeers, edge.PlainOperators}
	set.BalancerLag, set.StopTime = 300*time.Millisecond, 3*time.Second
	for _, dst := range []*string{&set.CallerAddress, &set.ReadyAddress, &set.PeerAddress, &set.OperatorAddress} {
		at, err := FreeAddress()
		if err != nil {
			return set, err
		}
		*dst = at
	}
	return set, nil
}

// SettingsText returns the settings that VMSettings sets, in the form of a settings file, for a VM of a fleet that starts for the first time.
func SettingsText(set edge.Settings) string {
	return fmt.Sprintf("name=%s\nfailure-domain=%s\ncaller-address=%s\nready-address=%s\npeer-address=%s\noperator-address=%s\nplatform-address=%s\nplain-text=%s\nbalancer-lag=%v\nstop-time=%v\nfirst-start=true\n",
		set.Name, set.FailureDomain, set.CallerAddress, set.ReadyAddress, set.PeerAddress, set.OperatorAddress, set.PlatformAddress,
		strings.Join(set.PlainText, ","), set.BalancerLag, set.StopTime)
}

// Register registers a target with the given address for the service of the playground.
func (pgr *Playground) Register(name, address string, slots int) error {
	raw, err := objects.EncodeTarget(registry.Entry{Service: "recipes", Address: address, FailureDomain: "domain-1", Version: "1", Slots: slots, Born: time.Now()}, 1)
	if err != nil {
		return err
	}
	pgr.Store.PutRaw(objects.KindTargets, name, raw)
	return nil
}

// platformAdapter connects VMs to the platform as lugd does. lnk is nil for a VM that reaches the targets
// directly.
func platformAdapter(lnk *Links) edge.PlatformAdapter {
	return edge.PlatformAdapter{
		Names: objects.Names(),
		Connect: func(address string, log logrus.FieldLogger) driver.Platform {
			if lnk == nil {
				return objects.New(address, log)
			}
			return linkedPlatform{Platform: objects.New(address, log), links: lnk}
		},
	}
}

func (pgr *Playground) startVM(ctx context.Context, num int, platform string, all Settings) error {
	set, err := pgr.launchVM(ctx, num, platform, all)
	if err != nil {
		return err
	}
	return waitReady(ctx, set.ReadyAddress)
}

// launchVM starts a VM, does not wait until it is ready, and returns its settings.
func (pgr *Playground) launchVM(ctx context.Context, num int, platform string, all Settings) (edge.Settings, error) {
	set, err := VMSettings(num, platform)
	if err != nil {
		return set, err
	}
	set.DrainTime, set.FirstStart = all.DrainTime, all.firstStart
	lgs, err := logflags.New(all.Log, "json", "")
	if err != nil {
		return set, err
	}
	dmn, err := edge.New(ctx, set, platformAdapter(all.Links[num]), lgs)
	if err != nil {
		return set, err
	}
	log := lgs.Logger(logflags.Daemon)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- dmn.Run(ctx, nil) }()
	pgr.closers = append(pgr.closers, func() {
		cancel()
		if err := <-done; err != nil {
			log.WithError(err).Warn("a VM of the playground exited with an error")
		}
	})
	pgr.CallerAddresses = append(pgr.CallerAddresses, set.CallerAddress)
	pgr.OperatorAddresses = append(pgr.OperatorAddresses, set.OperatorAddress)
	return set, nil
}

// readyTimeout bounds the wait until a started VM is ready.
const readyTimeout = 5 * time.Second

func waitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
		if err != nil {
			return err
		}
		if rsp, err := http.DefaultClient.Do(req); err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("the VM at " + address + " was not ready in time")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Close stops the VMs, then the targets and the store.
func (pgr *Playground) Close() {
	for idx := len(pgr.closers) - 1; idx >= 0; idx-- {
		pgr.closers[idx]()
	}
}

// Response is what a caller got.
type Response struct {
	Status     int
	Body       string
	RetryAfter string
}

// SendRequest sends one request to the VM at address vmm and reads the whole response.
func SendRequest(ctx context.Context, cli *http.Client, vmm, method, path, id, key string, timeout time.Duration) (Response, error) {
	req, err := NewRequest(ctx, vmm, method, path, id, key, timeout)
	if err != nil {
		return Response{}, err
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	return ReadResponse(rsp)
}

// NewRequest returns a request to the VM at address vmm. With POST it has a body, and
// without key no Authorization header.
func NewRequest(ctx context.Context, vmm, method, path, id, key string, timeout time.Duration) (*http.Request, error) {
	nms := objects.Names()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vmm+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(nms.Request, id)
	req.Header.Set(nms.Timeout, nms.FormatTimeout(timeout))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return req, nil
}

// ReadResponse reads a whole response.
func ReadResponse(rsp *http.Response) (Response, error) {
	raw, err := io.ReadAll(rsp.Body)
	return Response{Status: rsp.StatusCode, Body: string(raw), RetryAfter: rsp.Header.Get("Retry-After")}, err
}

// keyID returns the ID of Key.
func keyID() string {
	key := config.Key{Organisation: "studio", Digest: config.DigestOf(Key)}
	return key.ID()
}
