package runner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// Observer checks what must always hold by what callers, targets and the
// platform saw.
type Observer struct {
	fle     *Fleet
	buckets map[string]*observedBucket
	// notRun and once list requests to look up at the targets in the end.
	notRun, once []*Outcome
	broken       []string
	// withdrawnKeys and withdrawnTargets hold when each was withdrawn.
	withdrawnKeys    map[string]time.Duration
	withdrawnTargets map[string]time.Duration
	versions         map[string]uint64
	answered         int
	sent             int
	reasons          map[request.Reason]int
}

// observedBucket follows the requests of one organisation that were admitted.
type observedBucket struct {
	lim   rate.Limit
	level float64
	at    time.Duration
}

// Observe starts to observe a fleet.
func Observe(fle *Fleet) *Observer {
	obs := &Observer{
		fle: fle, buckets: make(map[string]*observedBucket),
		withdrawnKeys: make(map[string]time.Duration), withdrawnTargets: make(map[string]time.Duration),
		versions: make(map[string]uint64), reasons: make(map[request.Reason]int),
	}
	for _, org := range fle.dep.Organisations {
		obs.buckets[org.Name] = &observedBucket{lim: fle.dep.Limit(org)}
	}
	fle.OnAdmitted(obs.admitted)
	fle.OnDone(obs.done)
	fle.onTick = obs.tick
	fle.onAttempt = obs.attempt
	return obs
}

func (obs *Observer) fail(format string, args ...any) {
	const enough = 20
	if len(obs.broken) < enough {
		obs.broken = append(obs.broken, fmt.Sprintf("%v: ", obs.fle.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

func (obs *Observer) admitted(out *Outcome) {
	buc := obs.buckets[out.Organisation]
	now := obs.fle.now
	buc.level = max(0, buc.level-buc.lim.Rate.Float()*(now-buc.at).Seconds()) + 1
	buc.at = now
	if buc.level > buc.lim.Burst.Float()+1e-6 {
		obs.fail("organisation %s is %.2f requests above its rate and burst", out.Organisation, buc.level-buc.lim.Burst.Float())
	}
	if at, found := obs.withdrawnKeys[out.Organisation]; found && now-at > graceTime {
		obs.fail("the key of %s works %v after it was withdrawn", out.Organisation, now-at)
	}
}

// graceTime is how long a withdrawn key or target may still be in use, and an
// accepted release not yet in force: a lease and the time to spread.
const graceTime = 6 * time.Second

func (obs *Observer) done(out *Outcome) {
	obs.sent++
	if out.Status == 200 {
		obs.answered++
	} else {
		obs.reasons[out.Reason]++
	}
	if out.Verdict == verdict.NotRun && out.Status != 200 {
		obs.notRun = append(obs.notRun, out)
	}
	if !out.Idempotent {
		obs.once = append(obs.once, out)
	}
}

func (obs *Observer) attempt(target string) {
	if at, found := obs.withdrawnTargets[target]; found && obs.fle.now-at > graceTime {
		obs.fail("target %s gets work %v after it was withdrawn", target, obs.fle.now-at)
	}
}

// tick checks one VM: its head never goes back, and its ejections leave the
// floor.
func (obs *Observer) tick(vmm *simVM) {
	held := vmm.mac.Head().Version
	if held < obs.versions[vmm.ID] {
		obs.fail("%s went from version %d back to %d", vmm.ID, obs.versions[vmm.ID], held)
	}
	obs.versions[vmm.ID] = held
	sna := vmm.mac.Snapshot()
	if sna == nil {
		return
	}
	for _, svc := range sna.Services() {
		if left := len(svc.Targets) - len(vmm.mac.Ejected(obs.fle.instant(), svc.Name)); left < svc.Floor() {
			obs.fail("%s uses %d targets of %s, below the floor of %d", vmm.ID, left, svc.Name, svc.Floor())
		}
	}
}

// WithdrawKey withdraws the key of an organisation by a release.
func (obs *Observer) WithdrawKey(organisation string) {
	obs.fle.withdrawKey(organisation)
	obs.withdrawnKeys[organisation] = obs.fle.now
}

// WithdrawTarget withdraws a target by a release.
func (obs *Observer) WithdrawTarget(target string) {
	obs.fle.withdrawTarget(target)
	obs.withdrawnTargets[target] = obs.fle.now
}

// Broken lists what did not hold, after a last look at the targets.
func (obs *Observer) Broken() []string {
	for _, out := range obs.notRun {
		if cnt := obs.fle.runsOf(out.ID); cnt > 0 {
			obs.fail("request %d was refused as not run but ran %d times", out.ID, cnt)
		}
	}
	for _, out := range obs.once {
		if cnt := obs.fle.runsOf(out.ID); cnt > 1 {
			obs.fail("request %d is not idempotent and ran %d times", out.ID, cnt)
		}
	}
	return slices.Clone(obs.broken)
}

// Summary describes how callers fared.
func (obs *Observer) Summary() string {
	var parts []string
	for rsn, cnt := range obs.reasons {
		parts = append(parts, fmt.Sprintf("%s %d", rsn, cnt))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%d sent, %d answered, refused: %s", obs.sent, obs.answered, strings.Join(parts, ", "))
}

func (fle *Fleet) runsOf(request uint64) int {
	sum := 0
	for _, id := range fle.order {
		sum += fle.targets[id].runs[request]
	}
	return sum
}
