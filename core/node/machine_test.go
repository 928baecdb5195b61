package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// loadedMachine returns a machine with an open, idempotent route to three
// targets.
func loadedMachine(now clock.Instant) *Machine {
	self := member.VM{ID: "vm-1", FailureDomain: "a"}
	svc := config.Service{Name: "recipes", HealthyFloor: 0.5}
	for _, name := range []string{"w1", "w2", "w3"} {
		svc.Targets = append(svc.Targets, config.Target{Name: name, Address: name, FailureDomain: name, Slots: 3, Connections: 10})
	}
	sna := config.New(config.Content{
		Services: []config.Service{svc},
		Routes: []config.Route{{
			Name: "r", PathPrefix: "/", Access: config.AccessOpen, Service: "recipes", Idempotent: true, Timeout: time.Second, MaxAttempts: 3,
		}},
	})
	mac := New(Settings{Self: self, LeaseDuration: time.Second, Threshold: health.ThresholdBalanced}, rand.New(rand.NewPCG(1, 1)))
	mac.Step(now, Loaded{Head: fence.Head{Version: 1, Epoch: 1}, Snapshot: sna, View: member.NewView(1, []member.VM{self})})
	return mac
}

// outcome sends a request whose first attempt ends as given, and returns what
// the machine does next.
func outcome(t *testing.T, ended AttemptEnded) Action {
	t.Helper()
	now := clock.At(time.Second)
	mac := loadedMachine(now)
	acts := mac.Step(now, Arrived{Request: request.Request{ID: 1, Path: "/x", Method: "GET"}})
	if len(acts) != 1 {
		t.Fatalf("got %v", acts)
	}
	if _, ok := acts[0].(Dispatch); !ok {
		t.Fatalf("got %v", acts)
	}
	ended.Request, ended.Attempt = 1, 1
	acts = mac.Step(now.Add(10*time.Millisecond), ended)
	if len(acts) != 1 {
		t.Fatalf("got %v", acts)
	}
	return acts[0]
}

func TestFailedAttemptIsRepeatedUnlessTheCallerLeft(t *testing.T) {
	if act, ok := outcome(t, AttemptEnded{Outcome: health.Failure, Verdict: verdict.MayHaveRun}).(Dispatch); !ok || act.Attempt != 2 {
		t.Errorf("a failed attempt was not repeated: %v", act)
	}
	if act, ok := outcome(t, AttemptEnded{Outcome: health.Canceled, Verdict: verdict.MayHaveRun}).(Refuse); !ok || act.Refusal.Verdict != verdict.MayHaveRun {
		t.Errorf("a cancelled attempt was not the last: %v", act)
	}
	if act, ok := outcome(t, AttemptEnded{Outcome: health.Failure, Verdict: verdict.MayHaveRun, Spent: true}).(Refuse); !ok {
		t.Errorf("a request whose body is spent was repeated: %v", act)
	}
}
