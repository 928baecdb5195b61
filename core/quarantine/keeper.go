package quarantine

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/request"
)

const (
	// settleTime is how long a new keeper allows nothing, since attempts that the one before allowed may
	// still run.
	settleTime = time.Second
	// permitMargin is how long after the deadline of its request a permit ends whose end was not reported.
	permitMargin = time.Second
	// maxPermits bounds the permits at a time.
	maxPermits = 1024
)

// maxTrials is the number of trials of a quarantined content. An operator may lift the quarantine after
// that.
const maxTrials = 3

// trialDelays say how long after its last news a quarantined content may be tried again.
var trialDelays = [maxTrials]time.Duration{30 * time.Minute, 3 * time.Hour, 12 * time.Hour}

// Keeper allows the attempts of suspected contents: one at a time for each content in the whole fleet. One
// VM is the keeper of the fleet. It is not safe for concurrent use.
type Keeper struct {
	book *Book
	// serving is set while the VM is the keeper, which allows nothing before allowsFrom.
	serving    bool
	allowsFrom clock.Instant
	permits    map[request.Fingerprint]permit
	// trial holds the quarantined content that may be tried once, and trialReady is set once the store
	// counts that trial.
	trial      request.Fingerprint
	trialReady bool
}

// permit is the permission for one attempt.
type permit struct {
	holder string
	number uint64
	until  clock.Instant
}

// NewKeeper returns a keeper that goes by the given book.
func NewKeeper(bok *Book) *Keeper {
	return &Keeper{book: bok, permits: make(map[request.Fingerprint]permit)}
}

// Begin records that the VM has become the keeper. settled is set if no other VM can have been the keeper
// until now.
func (kee *Keeper) Begin(now clock.Instant, settled bool) {
	kee.serving, kee.allowsFrom = true, now
	if !settled {
		kee.allowsFrom = now.Add(settleTime)
	}
}

// End records that the VM is not the keeper any more.
func (kee *Keeper) End() {
	kee.serving, kee.trial, kee.trialReady = false, request.Fingerprint{}, false
	clear(kee.permits)
}

// Serving reports whether the VM is the keeper.
func (kee *Keeper) Serving() bool { return kee.serving }

// Allow decides whether a VM may make an attempt.
func (kee *Keeper) Allow(now clock.Instant, vmm string, ask Ask) bool {
	fpr := ask.Known.Content
	sta := kee.book.State(fpr)
	if sta == Clear {
		return true
	}
	per, found := kee.permits[fpr]
	busy := found && now.Before(per.until) && (per.holder != vmm || per.number != ask.Number)
	if !kee.Serving() || now.Before(kee.allowsFrom) || sta == Quarantined || busy || !found && len(kee.permits) >= maxPermits {
		return false
	}
	kee.permits[fpr] = permit{holder: vmm, number: ask.Number, until: now.Add(ask.TimeLeft + permitMargin)}
	return true
}

// Ended records the end of an attempt that was allowed to a VM.
func (kee *Keeper) Ended(vmm string, number uint64) {
	for fpr, per := range kee.permits {
		if per.holder == vmm && per.number == number {
			delete(kee.permits, fpr)
		}
	}
}

// ForgetVM ends the permits of a VM that has exited.
func (kee *Keeper) ForgetVM(vmm string) {
	for fpr, per := range kee.permits {
		if per.holder == vmm {
			delete(kee.permits, fpr)
		}
	}
}

// Tick drops permits whose end was not reported, and counts a trial that is due. It reports whether a
// trial was counted; the trial is allowed once the store has that count.
func (kee *Keeper) Tick(now clock.Instant) (fpr request.Fingerprint, counted bool) {
	for one, per := range kee.permits {
		if !now.Before(per.until) {
			delete(kee.permits, one)
		}
	}
	if !kee.Serving() || kee.trial != (request.Fingerprint{}) {
		return request.Fingerprint{}, false
	}
	for _, one := range kee.book.Contents() {
		rep := kee.book.Report(now, one)
		if rep.Trials < maxTrials && now.Since(kee.book.ChangedAt(one)) >= trialDelays[rep.Trials] {
			rep.Trials++
			kee.book.Merge(now, rep)
			kee.trial = one
			return one, true
		}
	}
	return request.Fingerprint{}, false
}

// NoteStored tells the keeper what the store holds.
func (kee *Keeper) NoteStored(now clock.Instant, rps []Report) {
	for _, rep := range rps {
		if rep.Content == kee.trial && rep.Trials >= kee.book.Report(now, kee.trial).Trials {
			kee.trialReady = kee.trial != (request.Fingerprint{})
		}
	}
}

// TakeTrial reports whether a quarantined content may be tried now, once.
func (kee *Keeper) TakeTrial(fpr request.Fingerprint) bool {
	if !kee.trialReady || fpr != kee.trial || !kee.Serving() {
		return false
	}
	kee.trial, kee.trialReady = request.Fingerprint{}, false
	return true
}

// RetryAfter returns the time until a quarantined content may be tried again, as far as this VM knows.
func (bok *Book) RetryAfter(now clock.Instant, fpr request.Fingerprint) time.Duration {
	ent := bok.entries[fpr]
	if ent == nil {
		return 0
	}
	delay := trialDelays[min(ent.trials, maxTrials-1)]
	return max(delay-now.Since(ent.changedAt), time.Minute)
}
