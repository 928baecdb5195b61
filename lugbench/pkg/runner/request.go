package runner

import (
	"slices"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// windowTime is the length of the windows in which attempts are counted.
const windowTime = 250 * time.Millisecond

// Send sends a request of an organisation to a service through a random VM.
func (fle *Fleet) Send(organisation, service string, idempotent bool) *Outcome {
	vmm := fle.vms[fle.rnd.IntN(len(fle.vms))]
	for tries := 0; vmm.dead && tries < 100; tries++ {
		vmm = fle.vms[fle.rnd.IntN(len(fle.vms))]
	}
	return fle.SendThrough(vmm, organisation, service, idempotent)
}

// SendThrough sends a request through one VM.
func (fle *Fleet) SendThrough(vmm *simVM, organisation, service string, idempotent bool) *Outcome {
	fle.requests++
	fle.Stats.Requests++
	out := &Outcome{ID: fle.requests, Organisation: organisation, Service: service, Idempotent: idempotent, Began: fle.now, vm: vmm}
	fle.flights[out.ID] = out
	fle.onArrival(out)
	path, method := "/"+service+"/read", "GET"
	if !idempotent {
		path, method = "/"+service+"/write", "POST"
	}
	fle.step(vmm, node.Arrived{Request: request.Request{
		ID: request.ID(out.ID), Path: path, Method: method, Keys: []config.Digest{config.DigestOf(organisation)},
	}})
	return out
}

func (fle *Fleet) refused(ref node.Refuse) {
	out := fle.flights[uint64(ref.Request)]
	if out == nil {
		return
	}
	out.Status = ref.Refusal.Reason.Status()
	out.Reason = ref.Refusal.Reason
	out.Verdict = ref.Refusal.Verdict
	fle.done(out)
}

func (fle *Fleet) done(out *Outcome) {
	if out.done {
		return
	}
	out.done = true
	out.Ended = fle.now
	delete(fle.flights, out.ID)
	fle.onDone(out)
}

// tracked is an attempt on its way.
type tracked struct {
	vmm   *simVM
	dis   node.Dispatch
	ended bool
}

func (fle *Fleet) dispatch(vmm *simVM, dis node.Dispatch) {
	tgt := fle.targets[dis.Target.ID]
	fle.Stats.Attempts++
	fle.onAttempt(dis.Target.ID)
	tgt.dispatched[int(fle.now/windowTime)]++
	if out := fle.flights[uint64(dis.Request)]; out != nil {
		out.Attempts++
		if out.Attempts == 1 {
			fle.onAdmitted(out)
		}
	}
	att := &tracked{vmm: vmm, dis: dis}
	if fle.opt.OnlyRates {
		fle.After(0, func() { fle.answer(att, 200, false) })
		return
	}
	way := fle.distance(vmm.FailureDomain, tgt.domain)
	fle.After(dis.Timeout, func() { fle.fail(att, health.Failure, verdict.MayHaveRun) })
	if tgt.faulty(fle.now) && slices.Contains(tgt.fault.Cut, vmm.FailureDomain) {
		fle.After(dialTimeout, func() { fle.fail(att, health.Unreachable, verdict.NotRun) })
		return
	}
	fle.After(way, func() { fle.arrive(att, tgt, way) })
}

// dialTimeout is how long a VM waits for a connection.
const dialTimeout = 250 * time.Millisecond

// arrive is a request's arrival at its target.
func (fle *Fleet) arrive(att *tracked, tgt *simTarget, way time.Duration) {
	faulty := tgt.faulty(fle.now)
	switch {
	case faulty && tgt.fault.Refuse:
		fle.After(way, func() { fle.fail(att, health.Unreachable, verdict.NotRun) })
		return
	case tgt.running >= tgt.slots && (!faulty || !tgt.fault.Hang):
		tgt.shed++
		fle.After(way, func() { fle.answer(att, 503, true) })
		return
	}
	if out := fle.flights[uint64(att.dis.Request)]; out != nil {
		out.Runs++
	}
	tgt.runs[uint64(att.dis.Request)]++
	if faulty && tgt.fault.Hang {
		return // The attempt's timeout ends it.
	}
	status := 200
	if faulty && fle.rnd.Float64() < tgt.fault.FailShare {
		status = 502
	}
	tgt.running++
	fle.After(fle.serviceTime(tgt), func() {
		tgt.running--
		if faulty && tgt.fault.Reset {
			fle.After(way, func() { fle.fail(att, health.Failure, verdict.MayHaveRun) })
			return
		}
		fle.After(way, func() { fle.answer(att, status, false) })
	})
}

func (fle *Fleet) fail(att *tracked, outcome health.Outcome, ver verdict.Verdict) {
	if att.ended {
		return
	}
	att.ended = true
	fle.step(att.vmm, node.AttemptEnded{
		Request: att.dis.Request, Attempt: att.dis.Attempt, Outcome: outcome, Verdict: ver, Detail: "the target did not answer",
	})
}

// answer delivers the head of an answer, and its end where it is relayed.
func (fle *Fleet) answer(att *tracked, status int, shed bool) {
	if att.ended || att.vmm.dead {
		return
	}
	att.ended = true
	if att.vmm.paused {
		att.vmm.held = append(att.vmm.held, func() { att.ended = false; fle.answer(att, status, shed) })
		return
	}
	relayed := false
	evt := node.AnswerBegan{Request: att.dis.Request, Attempt: att.dis.Attempt, Status: status, Shed: shed}
	for _, act := range att.vmm.mac.Step(fle.instant(), evt) {
		if rel, ok := act.(node.Relay); ok && rel.Request == att.dis.Request {
			relayed = true
		}
		fle.carryOut(att.vmm, act)
	}
	if !relayed {
		return
	}
	if out := fle.flights[uint64(att.dis.Request)]; out != nil {
		out.Status = status
		out.Verdict = verdict.Answered
		fle.done(out)
	}
	outcome := health.Success
	if status >= 500 {
		outcome = health.Failure
	}
	fle.step(att.vmm, node.AttemptEnded{
		Request: att.dis.Request, Attempt: att.dis.Attempt, Outcome: outcome, Verdict: verdict.Answered,
	})
}
