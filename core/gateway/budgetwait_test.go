package gateway

import (
	"testing"
	"time"

	"marigoldlug.example/core/admission"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// shed sheds an attempt.
func (vmm *vm) shed(dis Dispatch) []Action {
	return vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 503, Shed: true}})
}

// logged reports whether an event was logged.
func logged(acts []Action, event string) bool {
	for _, act := range acts {
		if log, ok := act.(LogEntry); ok && log.Event == event {
			return true
		}
	}
	return false
}

// waitForBudget spends the retry budget by requests that are shed, until one waits for it, and returns its dispatch.
func (vmm *vm) waitForBudget(path string) Dispatch {
	vmm.t.Helper()
	for range 500 {
		dis := vmm.mustDispatch(vmm.arrive(path, key))
		acts := vmm.shed(dis)
		if logged(acts, "retryWaits") {
			if _, ended := refused(acts); ended {
				vmm.t.Fatal("a request that waits was refused")
			}
			return dis
		}
		for again, ok := dispatched(acts); ok; again, ok = dispatched(acts) {
			vmm.step(Answered{Request: again.Request, Attempt: again.Attempt, Response: Response{Status: 200}})
			vmm.step(RelayEnded{Request: again.Request, Outcome: health.Success})
			acts = nil
		}
	}
	vmm.t.Fatal("no request waits for the retry budget")
	return Dispatch{}
}

// TestRefusedAttemptWaitsForTheRetryBudget spends the budget. A request that has not run must wait within its latency goal
// and then get another attempt, where it was refused before.
func TestRefusedAttemptWaitsForTheRetryBudget(t *testing.T) {
	vmm := newVM(t).load()
	dis := vmm.waitForBudget("/once/x")
	var acts []Action
	for began := vmm.now; vmm.now.Since(began) < time.Second; {
		acts = vmm.advance(TickInterval)
		if again, ok := dispatched(acts); ok && again.Request == dis.Request {
			if again.Target.ID == dis.Target.ID || again.Attempt != 2 {
				t.Errorf("sent again as %+v, want a second attempt at another target", again)
			}
			return
		}
	}
	t.Errorf("the request was not sent again within its latency goal: %v", acts)
}

// placerAnswers plays a placer on another VM: it places first attempts at t0, and answers others by the given answer.
type placerAnswers struct {
	*vm
	queries []placement.Query
}

func withPlacer(t *testing.T) *placerAnswers {
	vmm := newVM(t).load()
	// The first VM by rank is the placer; of some names one ranks before this VM.
	for num := range 40 {
		other := member.VM{ID: string(rune('a'+num%26)) + "x.r" + string(rune('a'+num/26)), Address: "127.0.0.1:2", FailureDomain: "a"}
		vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: uint64(10 + num), Rows: []table.Row[fleet.Row]{
			{Name: fleet.VMName("vm"), Revision: 2, Value: fleet.Row{VM: vmm.mac.set.Self, Name: "vm"}},
			{Name: fleet.VMName("other"), Revision: 3, Value: fleet.Row{VM: other, Name: "other"}},
		}}})
		if vmm.mac.services["svc"].partitions[0].placer == other.ID {
			return &placerAnswers{vm: vmm}
		}
	}
	t.Fatal("no other VM ranks first")
	return nil
}

// answer answers the pending query of the VM, found in the actions.
func (pla *placerAnswers) answer(acts []Action, ans placement.Answer) []Action {
	pla.t.Helper()
	for _, act := range acts {
		if snd, ok := act.(Send); ok {
			if que, ok := snd.Message.(placement.Query); ok {
				pla.queries = append(pla.queries, que)
				ans.Number = que.Number
				return pla.step(Received{From: snd.To, Message: ans})
			}
		}
	}
	pla.t.Fatalf("no query: %v", acts)
	return nil
}

// shedOnce places a request at t0, which sheds it, and answers its next query.
func (pla *placerAnswers) shedOnce(path string, ans placement.Answer) (Dispatch, []Action) {
	dis := pla.mustDispatch(pla.answer(pla.arrive(path, ""), placement.Answer{Target: "t0", HedgeAfter: time.Minute, ReplaceAfter: time.Minute}))
	return dis, pla.answer(pla.shed(dis), ans)
}

func noRetry(after time.Duration) placement.Answer {
	return placement.Answer{Reason: placement.NoRetry, RetryAfter: after}
}

// tickUntil delivers ticks for a time and returns what follows.
func (pla *placerAnswers) tickUntil(dur time.Duration) (acts []Action) {
	for end := pla.now.Add(dur); pla.now.Before(end); {
		pla.now = pla.now.Add(TickInterval)
		acts = append(acts, pla.step(Ticked{})...)
	}
	return acts
}

// TestWaitsForTheBudgetAreBounded lets a placer refuse attempts for the budget. A request must wait at most twice, never
// beyond its latency goal, and be refused at once where that is not possible or the placer is of an older build, which
// does not tell a time.
func TestWaitsForTheBudgetAreBounded(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		pla := withPlacer(t)
		_, acts := pla.shedOnce("/open/x", noRetry(after))
		pla.mustRefuse(acts, request.Overloaded, verdict.NotRun)
	}
	pla := withPlacer(t)
	_, acts := pla.shedOnce("/open/x", noRetry(100*time.Millisecond))
	for range 2 {
		if _, ended := refused(acts); ended {
			t.Fatalf("refused while it may wait: %v", acts)
		}
		acts = pla.answer(pla.tickUntil(100*time.Millisecond), noRetry(100*time.Millisecond))
	}
	pla.mustRefuse(acts, request.Overloaded, verdict.NotRun)
}

// TestRequestThatMayHaveRunDoesNotWait fails an attempt that may have run before the budget is spent. The caller must learn at
// once that it may have run.
func TestRequestThatMayHaveRunDoesNotWait(t *testing.T) {
	pla := withPlacer(t)
	dis := pla.mustDispatch(pla.answer(pla.arrive("/open/x", ""), placement.Answer{Target: "t0", HedgeAfter: time.Minute, ReplaceAfter: time.Minute}))
	acts := pla.step(AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Outcome: health.Failure, Verdict: verdict.MayHaveRun})
	acts = pla.answer(acts, noRetry(100*time.Millisecond))
	pla.mustRefuse(acts, request.TargetFailed, verdict.MayHaveRun)
	if last := pla.queries[len(pla.queries)-1].Criteria; !last.MayHaveRun || !last.Retry {
		t.Errorf("the placer was asked with %+v", last)
	}
}

// TestWaitingRequestsEndWithWhatEndsQueuedOnes lets a request wait for the budget and then ends the wait in each way that ends a
// queued request. Each caller must be answered once, or not at all if it has left, and none be sent to a target any more.
func TestWaitingRequestsEndWithWhatEndsQueuedOnes(t *testing.T) {
	for _, one := range []struct {
		name, path string
		end        func(vmm *vm, id request.ID) []Action
		reason     request.Reason
	}{
		{"the stop deadline passes", "/open/x", func(vmm *vm, _ request.ID) []Action { return vmm.step(StopDeadline{}) }, request.Overloaded},
		{"too little of the stop is left", "/open/x", func(vmm *vm, _ request.ID) []Action {
			vmm.step(StopBegan{TimeLeft: 100 * time.Millisecond})
			return vmm.advanceOffline(time.Second)
		}, request.Overloaded},
		{"the caller leaves", "/open/x", func(vmm *vm, id request.ID) []Action { return vmm.step(CallerLeft{Request: id}) }, ""},
		{"the key is withdrawn", "/read/x", func(vmm *vm, _ request.ID) []Action {
			con := content()
			con.Keys = nil
			vmm.config(2, con)
			return vmm.advanceOffline(time.Second)
		}, request.UnknownKey},
		{"the service is gone", "/open/x", func(vmm *vm, _ request.ID) []Action {
			con := content()
			con.Services = []config.Service{{Name: "new"}}
			vmm.config(2, con)
			return vmm.advanceOffline(time.Second)
		}, request.Overloaded},
	} {
		vmm := newVM(t).load()
		dis := vmm.waitForBudget(one.path)
		acts := append(one.end(vmm, dis.Request), vmm.advanceOffline(2*time.Second)...)
		if _, again := dispatched(acts); again {
			t.Errorf("%s: the request was sent all the same", one.name)
		}
		ref, ended := refused(acts)
		if ended != (one.reason != "") || ref.Reason != one.reason || ended && ref.Verdict != verdict.NotRun {
			t.Errorf("%s: refused %v with %+v, want %s", one.name, ended, ref, one.reason)
		}
		if vmm.mac.InFlight() > 0 && vmm.mac.requests[dis.Request] != nil {
			t.Errorf("%s: the request is still there", one.name)
		}
	}
}

// TestWaitSurvivesTheLossOfThePlacer lets the placer fall silent, or another VM take over, while a request waits. The
// request must be placed all the same, and not wait for the VM that promised it a time.
func TestWaitSurvivesTheLossOfThePlacer(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		pla := withPlacer(t)
		dis, _ := pla.shedOnce("/open/x", noRetry(100*time.Millisecond))
		if replaced {
			pla.step(FleetRead{RequestedAt: clock.MomentOf(pla.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 99, Rows: []table.Row[fleet.Row]{
				{Name: fleet.VMName("vm"), Revision: 2, Value: fleet.Row{VM: pla.mac.set.Self, Name: "vm"}},
			}}})
		}
		acts := pla.tickUntil(400 * time.Millisecond)
		ref, ended := refused(acts)
		_, again := dispatched(acts)
		if !again && (!ended || ref.Verdict != verdict.NotRun) && !logged(acts, "retryWaits") {
			t.Errorf("replaced %v: request %d neither sent again nor refused nor waiting: %v", replaced, dis.Request, acts)
		}
		acts = append(acts, pla.tickUntil(time.Second)...)
		if _, ended = refused(acts); !ended {
			if _, again = dispatched(acts); !again {
				t.Errorf("replaced %v: the request has no end", replaced)
			}
		}
	}
}

// TestQueriesTellWhatARequestCompetesBy asks a placer on another VM for targets. It must learn the organisation, by which shares
// are fair, and whether the response is large, for which it prefers the VM's failure domain.
func TestQueriesTellWhatARequestCompetesBy(t *testing.T) {
	pla := withPlacer(t)
	con := content()
	con.Routes[1].LargeResponses = true
	con.Organisations[0].Limit = rate.Limit{} // No server grants tokens here.
	pla.config(2, con)
	for _, one := range []struct {
		path, bearer string
		caller       uint16
		large        bool
	}{{"/read/x", key, admission.CallerOf("org"), false}, {"/open/x", "", 0, true}} {
		pla.answer(pla.arrive(one.path, one.bearer), placement.Answer{Target: "t0"})
		if got := pla.queries[len(pla.queries)-1].Criteria; got.Caller != one.caller || got.LargeResponse != one.large || got.MayHaveRun {
			t.Errorf("%s: asked with %+v", one.path, got)
		}
	}
}
