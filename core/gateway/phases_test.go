package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// phases are the phases of a VM's life. While it serves, it holds every token server.
var phases = []struct {
	name string
	// stopping is set if a graceful stop has begun.
	stopping bool
	enter    func(vmm *vm)
}{
	{"starting", false, func(*vm) {}},
	{"serving", false, func(vmm *vm) { vmm.load() }},
	{"stopping", true, func(vmm *vm) { vmm.load().step(StopBegan{}) }},
	{"delisted", true, func(vmm *vm) {
		vmm.load().step(StopBegan{})
		vmm.released()
		vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: 7, Revision: 8, Removed: []string{fleet.VMName("vm")}}})
		vmm.advanceOffline(TickInterval)
	}},
	{"past the stop deadline", true, func(vmm *vm) {
		vmm.load().step(StopBegan{})
		vmm.step(StopDeadline{})
	}},
}

// replies returns a description of the messages to another VM.
func replies(acts []Action) string {
	var out []string
	for _, msg := range sentMessages(acts) {
		switch msg := msg.(type) {
		case Update:
			out = append(out, fmt.Sprintf("update to version %d", msg.Version))
		case Pong:
			out = append(out, "pong")
		case quota.Grant:
			out = append(out, fmt.Sprintf("%d tokens, not serving %v", msg.Count, msg.NotServing))
		case placement.Answer:
			out = append(out, fmt.Sprintf("placed %v %s", msg.Target != "", msg.Reason))
		default:
			out = append(out, fmt.Sprintf("%T", msg))
		}
	}
	return strings.Join(out, ", ")
}

// TestRepliesToOtherVMsInEachPhase delivers each kind of message from another VM twice in each
// phase. A stopping VM must serve its followers and place requests until it ends, but must not
// grant tokens any more: it may already have released its token servers.
func TestRepliesToOtherVMsInEachPhase(t *testing.T) {
	place := placement.Query{Service: "svc", Number: 1, Criteria: placement.Criteria{Route: "read", Domain: "a", Idempotent: true, TimeToGoal: time.Second, TimeLeft: 2 * time.Second}}
	for _, one := range []struct {
		name    string
		message any
		// want holds the expected replies in each phase.
		want [5]string
	}{
		{"a follower queries", feed.Query{Number: 1}, [5]string{"", "update to version 1", "update to version 1", "update to version 1", "update to version 1"}},
		{"a VM sends a ping", Ping{}, [5]string{"pong", "pong", "pong", "pong", "pong"}},
		{"a VM sends a pong", Pong{}, [5]string{}},
		{"tokens are asked for", quota.Query{Organisation: "org", Number: 1, Need: 1}, [5]string{
			"0 tokens, not serving true", "1 tokens, not serving false", "0 tokens, not serving true", "0 tokens, not serving true", "0 tokens, not serving true",
		}},
		{"tokens of an unknown server are asked for", quota.Query{Organisation: "org", Server: 7, Number: 1, Need: 1}, [5]string{
			"0 tokens, not serving true", "0 tokens, not serving true", "0 tokens, not serving true", "0 tokens, not serving true", "0 tokens, not serving true",
		}},
		{"a placement query", place, [5]string{"placed false unknown", "placed true ", "placed true ", "placed true ", "placed true "}},
		{"an unsolicited token grant", quota.Grant{Organisation: "org", Number: 9, Count: 5}, [5]string{}},
		{"an unsolicited placement answer", placement.Answer{Number: 9}, [5]string{}},
		{"running attempts are reported", placement.Track{Attempts: []placement.RunningAttempt{{Service: "svc", Number: 1, Target: "t0", Route: "read", TimeLeft: time.Second}}}, [5]string{}},
		{"ends of attempts are reported", placement.Ended{Ends: []placement.End{{Service: "svc", Number: 1, Outcome: health.Success}}}, [5]string{}},
		{"an unsolicited update", Update{Number: 9, Version: 0}, [5]string{}},
		{"an update that skips revisions", Update{Version: 1, Targets: table.Delta[registry.Entry]{Since: 90, Revision: 91}}, [5]string{}},
	} {
		for num, phs := range phases {
			t.Run(one.name+"/"+phs.name, func(t *testing.T) {
				vmm := newVM(t)
				phs.enter(vmm)
				for range 2 {
					acts := vmm.step(Received{From: "other.r", Message: one.message})
					if got := replies(acts); got != one.want[num] {
						t.Errorf("replied %q, want %q", got, one.want[num])
					}
				}
				acts := append(vmm.step(PeerExited{ID: "other.r"}), vmm.advanceOffline(TickInterval)...)
				if phs.stopping == vmm.mac.Ready() && vmm.mac.Config() != nil {
					t.Errorf("the VM reports that it is ready: %v", vmm.mac.Ready())
				}
				if _, sent := dispatched(acts); sent {
					t.Error("a request was dispatched although none arrived")
				}
			})
		}
	}
}

// targetChange is a change to the entry of a target.
type targetChange struct {
	name string
	// rows and removed are the change to target t0.
	rows    []table.Row[registry.Entry]
	removed []string
	// stays is set if further requests may be sent to the target.
	stays bool
}

func targetChanges() []targetChange {
	row := func(ent registry.Entry) []table.Row[registry.Entry] {
		return []table.Row[registry.Entry]{{Name: "t0", Revision: 10, Value: ent}}
	}
	ent := registry.Entry{Service: "svc", Address: "10.0.0.0:80", FailureDomain: "a", Slots: 3}
	leaving, moved, restarted, reassigned := ent, ent, ent, ent
	leaving.Leaving = true
	restarted.Born = time.UnixMilli(1)
	moved.Born, moved.Address = time.UnixMilli(1), "10.0.0.9:80"
	reassigned.Service = "new"
	return []targetChange{
		{"stays", nil, nil, true},
		{"leaves", row(leaving), nil, false},
		{"is removed", nil, []string{"t0"}, false},
		{"is registered again", row(restarted), nil, true},
		{"is registered again at another address", row(moved), nil, true},
		{"is registered again for another service", row(reassigned), nil, false},
	}
}

// TestTargetChangesDuringARequest changes the entry of a target while a request runs there, at a
// serving and at a stopping VM. The target's response must be passed on exactly once, whatever the
// change, and further requests must go only to targets that the new entry allows.
func TestTargetChangesDuringARequest(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		for _, chg := range targetChanges() {
			t.Run(fmt.Sprintf("stopping %v/%s", stopping, chg.name), func(t *testing.T) {
				vmm := newVM(t).load()
				dis := vmm.mustDispatch(vmm.arrive("/once/x", key))
				for dis.Target.ID != "t0" {
					vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 200}})
					vmm.step(RelayEnded{Request: dis.Request})
					vmm.advance(TickInterval)
					dis = vmm.mustDispatch(vmm.arrive("/once/x", key))
				}
				if stopping {
					vmm.step(StopBegan{})
				}
				vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Since: 9, Revision: 10, Rows: chg.rows, Removed: chg.removed}})
				vmm.advanceOffline(TickInterval)
				relays := 0
				for range 2 {
					for _, act := range vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 200}}) {
						if _, ok := act.(Relay); ok {
							relays++
						}
					}
				}
				if relays != 1 {
					t.Errorf("the response was passed on %d times", relays)
				}
				vmm.step(RelayEnded{Request: dis.Request})
				used := false
				for range 40 {
					vmm.now = vmm.now.Add(10 * time.Millisecond)
					next, sent := dispatched(vmm.arrive("/open/x", ""))
					used = used || sent && next.Target.ID == "t0"
					vmm.step(Answered{Request: next.Request, Attempt: next.Attempt, Response: Response{Status: 200}})
					vmm.step(RelayEnded{Request: next.Request})
				}
				_, known := vmm.mac.services["svc"].partitions[0].local.Target("t0")
				if known != chg.stays || used && !chg.stays {
					t.Errorf("the target may be used: %v, want %v; it was used: %v", known, chg.stays, used)
				}
			})
		}
	}
}

// TestTargetChangesDuringAPlacement changes the entry of a target after the placer was queried and
// before its answer, which names that target. The request must go there only if the new entry allows
// it, and then to the new address.
func TestTargetChangesDuringAPlacement(t *testing.T) {
	for _, chg := range targetChanges() {
		t.Run(chg.name, func(t *testing.T) {
			vmm := newVM(t).load().placedByOther()
			qry, ok := sentMessages(vmm.arrive("/open/x", ""))[0].(placement.Query)
			if !ok {
				t.Fatal("the placer was not queried")
			}
			vmm.step(StopBegan{})
			vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Since: 9, Revision: 10, Rows: chg.rows, Removed: chg.removed}})
			dis := vmm.mustDispatch(vmm.step(Received{From: "other.r", Message: placement.Answer{
				Number: qry.Number, Target: "t0", HedgeAfter: time.Second, ReplaceAfter: time.Second,
			}}))
			if (dis.Target.ID == "t0") != chg.stays {
				t.Errorf("dispatched to %s", dis.Target.ID)
			}
			if chg.rows != nil && chg.stays && dis.Target.Address != chg.rows[0].Value.Address {
				t.Errorf("dispatched to the former address %s", dis.Target.Address)
			}
		})
	}
}

// TestTargetFailuresDuringAStop fails an attempt in each possible way while the VM is stopping. A
// request that has not run, or is idempotent, must be sent to another target; any other must be
// refused with the verdict that it may have run.
func TestTargetFailuresDuringAStop(t *testing.T) {
	for _, one := range []struct {
		name  string
		path  string
		event func(dis Dispatch) Event
		// again is set if the request must be dispatched to another target.
		again bool
	}{
		{"a non-idempotent request does not reach its target", "/once/x", func(dis Dispatch) Event {
			return AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Verdict: verdict.NotRun, Outcome: health.Unreachable}
		}, true},
		{"a non-idempotent request loses its connection", "/once/x", func(dis Dispatch) Event {
			return AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Verdict: verdict.MayHaveRun, Outcome: health.Failure}
		}, false},
		{"a non-idempotent request is shed", "/once/x", func(dis Dispatch) Event {
			return Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 503, Shed: true}}
		}, true},
		{"a non-idempotent request is misdirected", "/once/x", func(dis Dispatch) Event {
			return Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 421, Shed: true, Misdirected: true}}
		}, true},
		{"an idempotent request loses its connection", "/read/x", func(dis Dispatch) Event {
			return AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Verdict: verdict.MayHaveRun, Outcome: health.Failure}
		}, true},
		{"an idempotent request fails", "/read/x", func(dis Dispatch) Event {
			return Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 500}}
		}, true},
	} {
		t.Run(one.name, func(t *testing.T) {
			vmm := newVM(t).load()
			dis := vmm.mustDispatch(vmm.arrive(one.path, key))
			vmm.step(StopBegan{})
			acts := vmm.step(one.event(dis))
			next, again := dispatched(acts)
			if again != one.again || again && next.Target.ID == dis.Target.ID {
				t.Fatalf("dispatched again: %v, to %q after %q", again, next.Target.ID, dis.Target.ID)
			}
			if !again {
				if ref, ok := refused(acts); !ok || ref.Verdict != verdict.MayHaveRun || ref.Reason.Status() != 502 {
					t.Errorf("refused with %+v", ref)
				}
			}
			if again, sent := dispatched(vmm.step(one.event(dis))); sent {
				t.Errorf("the repeated event dispatched the request to %s", again.Target.ID)
			}
			vmm.step(StopDeadline{})
			if vmm.mac.InFlight() != 0 {
				t.Error("a caller got no answer")
			}
		})
	}
}
