package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// TestNoRequestRunsAfterTheStopDeadline delivers requests that arrive after the deadline of a stop,
// because they were still being read. They must be refused and never dispatched.
func TestNoRequestRunsAfterTheStopDeadline(t *testing.T) {
	for _, one := range []struct {
		name, path string
		key        string
		reason     request.Reason
	}{
		{"a request without a key", "/open/x", "", request.Overloaded},
		{"a request with a key", "/once/x", key, request.Overloaded},
		{"a request for no route", "/nowhere/x", "", request.NoRoute},
		{"a request with a wrong key", "/once/x", "wrong", request.UnknownKey},
	} {
		t.Run(one.name, func(t *testing.T) {
			vmm := newVM(t).load()
			vmm.step(StopBegan{})
			vmm.advance(4 * time.Second)
			vmm.step(StopDeadline{})
			acts := vmm.arrive(one.path, one.key)
			if dis, sent := dispatched(acts); sent {
				t.Fatalf("dispatched to %s", dis.Target.ID)
			}
			ref := vmm.mustRefuse(acts, one.reason, verdict.NotRun)
			if one.reason == request.Overloaded && ref.RetryAfter <= 0 {
				t.Error("the caller was not told when to retry")
			}
			if _, sent := dispatched(vmm.advanceOffline(time.Second)); sent || vmm.mac.InFlight() != 0 {
				t.Error("the request is still in flight")
			}
		})
	}
}

// TestRequestsThatArriveLateInAStopAreRefused delivers requests at several moments of a stop that lasts 4 s. One that
// may last beyond its deadline is refused in the second half; one that ends before is served.
func TestRequestsThatArriveLateInAStopAreRefused(t *testing.T) {
	const stopTime = 4 * time.Second
	for _, one := range []struct {
		after, timeout time.Duration
		refused        bool
	}{
		{after: time.Second, timeout: 9 * time.Second},
		{after: 1900 * time.Millisecond, timeout: 9 * time.Second},
		{after: 2100 * time.Millisecond, timeout: 9 * time.Second, refused: true},
		{after: 2100 * time.Millisecond, timeout: time.Second},
		{after: 3500 * time.Millisecond, timeout: time.Second, refused: true},
	} {
		t.Run(fmt.Sprint(one.after, " with ", one.timeout), func(t *testing.T) {
			vmm := newVM(t).load()
			vmm.step(StopBegan{TimeLeft: stopTime})
			vmm.advance(one.after)
			vmm.next++
			acts := vmm.step(Arrived{Request: request.Request{ID: vmm.next, Host: "h", Path: "/open/x", Timeout: one.timeout}})
			if !one.refused {
				if _, sent := dispatched(acts); !sent {
					t.Fatal("not dispatched")
				}
				return
			}
			if ref := vmm.mustRefuse(acts, request.Overloaded, verdict.NotRun); ref.RetryAfter <= 0 {
				t.Error("the caller was not told when to retry")
			}
		})
	}
}

// TestNothingIsQueuedAfterTheStopDeadline stops a VM before it knows anything. A request that
// arrives after the deadline must be refused at once.
func TestNothingIsQueuedAfterTheStopDeadline(t *testing.T) {
	vmm := newVM(t)
	vmm.step(StopBegan{})
	vmm.step(StopDeadline{})
	vmm.mustRefuse(vmm.arrive("/once/x", key), request.NoConfiguration, verdict.NotRun)
}

// placedByOther makes another VM the placer and the holder of all token servers.
func (vmm *vm) placedByOther() *vm {
	rows := []table.Row[fleet.Row]{otherRow(7)}
	for num := range fleet.TokenServerCount {
		rows = append(rows, tokenServerRow(num, fleet.Row{Holder: "other.r"}, 7))
	}
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 7, Rows: rows}})
	vmm.advanceOffline(TickInterval)
	return vmm
}

// sentMessages returns the messages that are sent to other VMs.
func sentMessages(acts []Action) (out []any) {
	for _, act := range acts {
		if snd, ok := act.(Send); ok {
			out = append(out, snd.Message)
		}
	}
	return out
}

// TestLateRepliesOfVMsRunNothing reaches the deadline of a stop while one request waits for its
// placer and another for tokens. Replies that come afterwards, even twice, must not dispatch
// either, and the slot must be given back.
func TestLateRepliesOfVMsRunNothing(t *testing.T) {
	vmm := newVM(t).load().placedByOther()
	place, ok := sentMessages(vmm.arrive("/open/x", ""))[0].(placement.Query)
	if !ok {
		t.Fatal("the placer was not queried")
	}
	tokens, ok := sentMessages(vmm.arrive("/once/x", key))[0].(quota.Query)
	if !ok {
		t.Fatal("the token server was not queried")
	}
	vmm.step(StopBegan{})
	for _, act := range vmm.step(StopDeadline{}) {
		if ref, ok := act.(Refuse); ok && (ref.Refusal.Verdict != verdict.NotRun || ref.Refusal.Reason.Status() != 503) {
			t.Errorf("refused with %+v", ref.Refusal)
		}
	}
	if vmm.mac.InFlight() != 0 {
		t.Fatal("a request was not refused")
	}
	for range 2 {
		acts := vmm.step(Received{From: "other.r", Message: placement.Answer{Number: place.Number, Target: "t0"}})
		acts = append(acts, vmm.step(Received{From: "other.r", Message: quota.Grant{Organisation: "org", Number: tokens.Number, Count: 1}})...)
		if _, sent := dispatched(acts); sent {
			t.Error("a refused request was dispatched")
		}
		if back, ok := sentMessages(acts)[0].(placement.Ended); !ok || back.Ends[0].Number != place.Number || back.Ends[0].Outcome != health.Canceled {
			t.Errorf("the messages to the other VM are %+v", sentMessages(acts))
		}
	}
}

// TestLateResponsesOfTargetsAreIgnored reaches the deadline of a stop while a request runs at a
// target, so that it is refused. Later events of its attempt, even twice, must change nothing.
func TestLateResponsesOfTargetsAreIgnored(t *testing.T) {
	vmm := newVM(t).load()
	dis := vmm.mustDispatch(vmm.arrive("/once/x", key))
	vmm.step(StopBegan{})
	vmm.step(StopDeadline{})
	for _, evt := range []Event{
		Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 200}},
		Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 503, Shed: true}},
		AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Verdict: verdict.NotRun},
		RelayEnded{Request: dis.Request},
		CallerLeft{Request: dis.Request},
		StopDeadline{},
	} {
		for range 2 {
			acts := slices.DeleteFunc(vmm.step(evt), func(act Action) bool {
				_, isLogEntry := act.(LogEntry)
				return isLogEntry
			})
			if len(acts) > 0 {
				t.Errorf("%T caused the actions %v", evt, acts)
			}
		}
	}
}

// awaitQuery advances the time until the VM queries a placer.
func (vmm *vm) awaitQuery(acts []Action) placement.Query {
	vmm.t.Helper()
	for range 40 {
		for _, msg := range sentMessages(acts) {
			if qry, ok := msg.(placement.Query); ok {
				return qry
			}
		}
		acts = vmm.advanceOffline(TickInterval)
	}
	vmm.t.Fatal("the placer was not queried")
	return placement.Query{}
}

// placementAnswer is the other VM's answer to a query for a placement.
func placementAnswer(qry placement.Query, target string) Event {
	return Received{From: "other.r", Message: placement.Answer{Number: qry.Number, Target: target, HedgeAfter: 100 * time.Millisecond, ReplaceAfter: time.Second}}
}

// unreachable is the failure of an attempt that did not reach its target.
func unreachable(dis Dispatch) Event {
	return AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Verdict: verdict.NotRun, Outcome: health.Unreachable}
}

// TestNothingIsDispatchedAfterTheStopDeadline reaches the deadline of a stop while a request is in
// each state from which a later event or the passing of time would dispatch it. The request must be
// answered once, with the correct verdict, and never be dispatched afterwards.
func TestNothingIsDispatchedAfterTheStopDeadline(t *testing.T) {
	for _, one := range []struct {
		name string
		// prepare brings a request into its state, and returns the events after the deadline.
		prepare func(vmm *vm) []Event
		status  int
		ver     verdict.Verdict
	}{
		{"it is queued", func(vmm *vm) []Event {
			if acts := vmm.arrive("/open/x", ""); len(acts) > 0 {
				vmm.t.Fatalf("it was not queued: %v", acts)
			}
			return nil
		}, 503, verdict.NotRun},
		{"it waits for its placer", func(vmm *vm) []Event {
			return []Event{placementAnswer(vmm.load().placedByOther().awaitQuery(vmm.arrive("/open/x", "")), "t0")}
		}, 503, verdict.NotRun},
		{"its attempt is running", func(vmm *vm) []Event {
			return []Event{unreachable(vmm.load().mustDispatch(vmm.arrive("/read/x", key)))}
		}, 504, verdict.MayHaveRun},
		{"its attempt failed, and it waits for the next placement", func(vmm *vm) []Event {
			qry := vmm.load().placedByOther().awaitQuery(vmm.arrive("/open/x", ""))
			dis := vmm.mustDispatch(vmm.step(placementAnswer(qry, "t0")))
			return []Event{placementAnswer(vmm.awaitQuery(vmm.step(unreachable(dis))), "t1")}
		}, 503, verdict.NotRun},
		{"it waits for the placement of a second attempt", func(vmm *vm) []Event {
			qry := vmm.load().placedByOther().awaitQuery(vmm.arrive("/open/x", ""))
			dis := vmm.mustDispatch(vmm.step(placementAnswer(qry, "t0")))
			return []Event{placementAnswer(vmm.awaitQuery(nil), "t1"), unreachable(dis)}
		}, 504, verdict.MayHaveRun},
		{"its response is being passed on", func(vmm *vm) []Event {
			dis := vmm.load().mustDispatch(vmm.arrive("/read/x", key))
			vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 200}})
			return []Event{unreachable(dis), RelayEnded{Request: dis.Request, Outcome: health.Failure}}
		}, 0, verdict.Answered},
	} {
		t.Run(one.name, func(t *testing.T) {
			vmm := newVM(t)
			later := one.prepare(vmm)
			vmm.step(StopBegan{})
			acts := vmm.step(StopDeadline{})
			ref, isRefused := refused(acts)
			switch {
			case isRefused != (one.status != 0):
				t.Fatalf("the request was refused at the stop deadline: %v", isRefused)
			case isRefused && (ref.Reason.Status() != one.status || ref.Verdict != one.ver):
				t.Errorf("refused with %+v", ref)
			case one.status == 503 && ref.RetryAfter <= 0:
				t.Error("the caller was not told when to retry")
			}
			if isRefused {
				at := slices.IndexFunc(acts, func(act Action) bool {
					_, found := act.(Refuse)
					return found
				})
				acts = slices.Delete(acts, at, at+1)
			}
			for _, evt := range later {
				acts = append(acts, vmm.step(evt)...)
			}
			acts = append(acts, vmm.advanceOffline(time.Second)...)
			vmm.load()
			acts = append(acts, vmm.advanceOffline(time.Second)...)
			if dis, sent := dispatched(acts); sent {
				t.Errorf("dispatched to %s", dis.Target.ID)
			}
			if ref, again := refused(acts); again {
				t.Errorf("answered twice, the second time with %+v", ref)
			}
			if vmm.mac.InFlight() != 0 {
				t.Error("the request is still in flight")
			}
		})
	}
}
