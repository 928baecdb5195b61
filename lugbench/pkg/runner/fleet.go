package runner

import (
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/peer"
)

// Options vary a fleet beside its deployment.
type Options struct {
	Seed uint64
	VMs  int
	// Alone makes every VM judge targets by itself: the baseline.
	Alone     bool
	Threshold health.Threshold
	// Lease is the duration of leases.
	Lease time.Duration
	// TrustReads takes reads of the platform for proofs.
	TrustReads bool
	// StaticRates divides limits evenly among the VMs: the baseline.
	StaticRates bool
	// OnlyRates answers every admitted request at once, without a target.
	OnlyRates bool
}

// Fleet is a deployment in a world.
type Fleet struct {
	*World
	dep     Deployment
	opt     Options
	vms     []*simVM
	targets map[string]*simTarget
	// order lists the IDs of the targets in a fixed order.
	order    []string
	platform simPlatform
	// cut holds the directions in which no message passes between VMs.
	cut      map[[2]string]bool
	requests uint64
	flights  map[uint64]*Outcome
	Stats    Stats
	onDone   func(out *Outcome)
	// onArrival and onAdmitted see each request as it arrives and as it is first
	// sent to a target.
	onArrival, onAdmitted func(out *Outcome)
	// onTick sees each VM at each tick, and onAttempt the target of each attempt.
	onTick    func(vmm *simVM)
	onAttempt func(target string)
	// ejections counts the ejections that began, by target.
	ejections map[string]int
	least     map[string]int
}

// Stats counts what passed between VMs and to the platform.
type Stats struct {
	Messages      int
	Bytes         int
	PlatformCalls int
	Attempts      int
	Requests      int
}

type simVM struct {
	member.VM
	mac    *node.Machine
	dead   bool
	paused bool
	// held queues what happens to a paused VM until it wakes.
	held []func()
	// ejected and seen hold the ejections at the last and the present tick.
	ejected, seen map[string]bool
}

// Outcome is what became of one request, as its caller saw it.
type Outcome struct {
	ID           uint64
	Organisation string
	Service      string
	Idempotent   bool
	Began, Ended time.Duration
	Status       int
	Reason       request.Reason
	Verdict      verdict.Verdict
	// Runs counts the targets that ran the request.
	Runs     int
	Attempts int
	// Fits is free for observers.
	Fits bool
	done bool
	vm   *simVM
}

// simPlatform holds the head and what the heads name.
type simPlatform struct {
	head fence.Head
	// contents holds what each version of the head names.
	contents map[uint64]contents
	away     bool
	delay    time.Duration
}

type contents struct {
	snapshot    *config.Snapshot
	view, prior member.View
}

// NewFleet starts the VMs of a deployment in one view.
func NewFleet(dep Deployment, opt Options) *Fleet {
	fle := &Fleet{
		World: NewWorld(opt.Seed), dep: dep, opt: opt,
		targets: make(map[string]*simTarget), cut: make(map[[2]string]bool), flights: make(map[uint64]*Outcome),
		onDone: func(*Outcome) {}, onArrival: func(*Outcome) {}, onAdmitted: func(*Outcome) {},
		onTick: func(*simVM) {}, onAttempt: func(string) {},
		ejections: make(map[string]int), least: make(map[string]int),
	}
	fle.platform = simPlatform{contents: make(map[uint64]contents), delay: 2 * time.Millisecond}
	for _, svc := range dep.content().Services {
		for _, tgt := range svc.Targets {
			id := svc.Name + "/" + tgt.Name
			fle.order = append(fle.order, id)
			fle.targets[id] = &simTarget{
				id: id, domain: tgt.FailureDomain, service: svc.Name, slots: tgt.Slots,
				mean: dep.service(svc.Name).Mean, sigma: dep.Sigma, dispatched: make(map[int]int), runs: make(map[uint64]int),
			}
		}
	}
	var members []member.VM
	for num := range opt.VMs {
		members = append(members, fle.newVM(num).VM)
	}
	con, _ := dep.content().WithLimitVersions(config.Content{}, 1)
	fle.platform.head = fence.Head{Version: 1, ReleaseVersion: 1, LimitsVersion: 1, Epoch: 1}
	fle.platform.contents[1] = contents{snapshot: config.New(con), view: member.NewView(1, members)}
	for _, vmm := range fle.vms {
		fle.startTicks(vmm)
	}
	return fle
}

func (fle *Fleet) newVM(num int) *simVM {
	vmm := &simVM{
		VM:      member.VM{ID: vmName(num), Address: vmName(num), FailureDomain: fle.dep.domain(num)},
		ejected: make(map[string]bool), seen: make(map[string]bool),
	}
	vmm.mac = node.New(node.Settings{
		Self: vmm.VM, LeaseDuration: fle.opt.Lease, TrustReads: fle.opt.TrustReads,
		Threshold: fle.opt.Threshold, Alone: fle.opt.Alone, StaticFleet: fle.staticFleet(),
	}, rand.New(rand.NewPCG(fle.rnd.Uint64(), 1)))
	fle.vms = append(fle.vms, vmm)
	return vmm
}

func (fle *Fleet) staticFleet() int {
	if fle.opt.StaticRates {
		return fle.opt.VMs
	}
	return 0
}

func (fle *Fleet) startTicks(vmm *simVM) {
	var tick func()
	tick = func() {
		if vmm.dead {
			return
		}
		fle.step(vmm, node.Ticked{})
		fle.observeEjections(vmm)
		fle.onTick(vmm)
		fle.After(node.TickInterval, tick)
	}
	fle.After(time.Duration(fle.rnd.Int64N(int64(node.TickInterval))), tick)
}

// step delivers an event to a VM, later if it is paused.
func (fle *Fleet) step(vmm *simVM, evt node.Event) {
	switch {
	case vmm.dead:
	case vmm.paused:
		vmm.held = append(vmm.held, func() { fle.step(vmm, evt) })
	default:
		for _, act := range vmm.mac.Step(fle.instant(), evt) {
			fle.carryOut(vmm, act)
		}
	}
}

func (fle *Fleet) carryOut(vmm *simVM, act node.Action) {
	switch act := act.(type) {
	case node.Dispatch:
		fle.dispatch(vmm, act)
	case node.Relay:
	case node.Refuse:
		fle.refused(act)
	case node.Send:
		fle.post(vmm, act)
	case node.ReadHead:
		fle.readHead(vmm)
	case node.Load:
		fle.load(vmm, act)
	case node.CommitView:
		fle.commitView(vmm, act.Change)
	}
}

func (fle *Fleet) find(id string) *simVM {
	for _, vmm := range fle.vms {
		if vmm.ID == id {
			return vmm
		}
	}
	return nil
}

func (fle *Fleet) post(from *simVM, snd node.Send) {
	fle.Stats.Messages++
	if size, err := peer.FrameSize(snd.Message); err == nil {
		fle.Stats.Bytes += size
	}
	to := fle.find(snd.To)
	if to == nil || fle.cut[[2]string{from.ID, snd.To}] {
		return
	}
	fle.After(fle.distance(from.FailureDomain, to.FailureDomain), func() {
		fle.step(to, node.Received{From: from.ID, Message: snd.Message})
	})
}

// distance draws the time that a message takes one way.
func (fle *Fleet) distance(one, two string) time.Duration {
	base := 200 * time.Microsecond
	if one != two {
		base = fle.dep.Apart
	}
	return base + time.Duration(fle.rnd.ExpFloat64()*float64(base)/5)
}

func (fle *Fleet) readHead(vmm *simVM) {
	fle.Stats.PlatformCalls++
	asked := fle.instant()
	if fle.platform.away {
		fle.After(time.Second, func() { fle.step(vmm, node.HeadRead{Asked: asked, Failed: true}) })
		return
	}
	hea := fle.platform.head
	fle.After(fle.platform.delay, func() { fle.step(vmm, node.HeadRead{Asked: asked, Head: hea}) })
}

func (fle *Fleet) load(vmm *simVM, loa node.Load) {
	con := fle.platform.contents[loa.Head.Version]
	fle.After(2*fle.platform.delay, func() {
		fle.step(vmm, node.Loaded{Head: loa.Head, Snapshot: con.snapshot, View: con.view, Prior: con.prior})
	})
}

func (fle *Fleet) commitView(vmm *simVM, chg member.Change) {
	fle.Stats.PlatformCalls += 3
	fle.After(2*fle.platform.delay, func() {
		hea := fle.platform.head
		if !fle.platform.away && hea.Epoch == chg.Epoch {
			was := fle.platform.contents[hea.Version]
			hea.Version++
			hea.Epoch = hea.Version
			fle.platform.contents[hea.Version] = contents{
				snapshot: was.snapshot, view: was.view.With(hea.Version, chg.Added, chg.Removed), prior: was.view,
			}
			fle.platform.head = hea
			fle.step(vmm, node.Received{Message: fence.News{Head: hea}})
		}
		fle.step(vmm, node.ViewCommitted{})
	})
}

// Kill ends a VM without notice.
func (fle *Fleet) Kill(num int) {
	vmm := fle.vms[num]
	vmm.dead = true
	for id, out := range fle.flights {
		if out.vm == vmm {
			delete(fle.flights, id)
		}
	}
}

// SetPlatformAway makes the platform answer nothing, or answer again.
func (fle *Fleet) SetPlatformAway(away bool) { fle.platform.away = away }

// Release puts a configuration in the platform and tells the watchers through
// one VM, as an operator's client does.
func (fle *Fleet) Release(change func(con config.Content) config.Content) uint64 {
	version := fle.Write(change)
	fle.Tell()
	return version
}

// Write puts a configuration in the platform and returns its version.
func (fle *Fleet) Write(change func(con config.Content) config.Content) uint64 {
	hea := fle.platform.head
	was := fle.platform.contents[hea.Version]
	hea.Version++
	hea.ReleaseVersion = hea.Version
	con, set := change(was.snapshot.Content()).WithLimitVersions(was.snapshot.Content(), hea.Version)
	if set {
		hea.LimitsVersion = hea.Version
	}
	fle.platform.contents[hea.Version] = contents{snapshot: config.New(con), view: was.view, prior: was.prior}
	fle.platform.head = hea
	return hea.Version
}

// Tell makes one VM tell the watchers of the newest head.
func (fle *Fleet) Tell() {
	for _, vmm := range fle.vms {
		if vmm.dead || vmm.paused {
			continue
		}
		for _, wat := range vmm.mac.Watchers() {
			fle.post(vmm, node.Send{To: wat.ID, Message: fence.News{Head: fle.platform.head}})
		}
		return
	}
}

// AllHold reports whether every VM that runs holds a version.
func (fle *Fleet) AllHold(version uint64) bool {
	for _, vmm := range fle.vms {
		if !vmm.dead && !vmm.paused && vmm.mac.Head().Version < version {
			return false
		}
	}
	return true
}
