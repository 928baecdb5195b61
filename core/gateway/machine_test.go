package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

const key = "secret"

// content has an idempotent and a non-idempotent route, an open one, and one that is split.
func content() config.Content {
	route := func(name string, idempotent bool) config.Route {
		return config.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Access: config.AccessKeyed, Service: "svc", Idempotent: idempotent,
			Timeout: 2 * time.Second, LatencyGoal: time.Second, MaxAttempts: 2,
		}
	}
	split := route("split", true)
	split.Service = ""
	split.Split = []config.Share{{Service: "svc", Weight: 9}, {Service: "new", Weight: 1}}
	open := route("open", true)
	open.Access = config.AccessOpen
	return config.Content{
		Organisations: []config.Organisation{{Name: "org", Limit: rate.Limit{Rate: rate.RequestsPerSecond(1e5), Burst: rate.Requests(1e5)}}},
		Keys:          []config.Key{{Organisation: "org", Digest: config.DigestOf(key)}},
		Routes:        []config.Route{route("once", false), open, route("read", true), split},
		Services:      []config.Service{{Name: "new", Connections: 10}, {Name: "svc", Connections: 10}},
	}
}

// vm is the machine of a VM that is alone in its fleet.
type vm struct {
	t    *testing.T
	mac  *Machine
	now  clock.Instant
	next request.ID
}

func policy() Policy {
	return Policy{RevokeTime: 5 * time.Second, RewriteTime: 8 * time.Second, RetryShare: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second, Quota: quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20}}
}

// processStart is when the first event is delivered, on the clock of the process, which counts from its start.
var processStart = clock.At(time.Millisecond)

func newVM(t *testing.T) *vm {
	t.Helper()
	self := member.VM{ID: "vm.r", Address: "127.0.0.1:1", FailureDomain: "a"}
	vmm := &vm{t: t, now: processStart, mac: New(Settings{Name: "vm", Self: self, Policy: policy()}, rand.New(rand.NewPCG(1, 1)))}
	return vmm
}

// load delivers everything that the platform holds, and advances the time until the machine runs
// its token servers.
func (vmm *vm) load() *vm {
	self := vmm.mac.set.Self
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: []table.Row[fleet.Row]{
		{Name: fleet.VMName("vm"), Revision: 2, Value: fleet.Row{VM: self, Name: "vm"}},
	}}})
	var tokenServers []table.Row[fleet.Row]
	for num := range fleet.TokenServerCount {
		tokenServers = append(tokenServers, table.Row[fleet.Row]{Name: fleet.TokenServerName(num), Revision: 6, Value: fleet.Row{Holder: self.ID, Busy: quota.Busy{All: true}}})
	}
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: 5, Revision: 6, Rows: tokenServers}})
	vmm.config(1, content())
	var rows []table.Row[registry.Entry]
	for num := range 6 {
		svc := "svc"
		if num >= 4 {
			svc = "new"
		}
		rows = append(rows, table.Row[registry.Entry]{Name: fmt.Sprint("t", num), Revision: uint64(num + 1), Value: registry.Entry{
			Service: svc, Address: fmt.Sprint("10.0.0.", num, ":80"), FailureDomain: "a", Slots: 3,
		}})
	}
	vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 9, Rows: rows}})
	vmm.advance(11 * time.Second)
	return vmm
}

func (vmm *vm) config(version uint64, con config.Content) {
	vmm.step(ConfigRead{RequestedAt: clock.MomentOf(vmm.now), Update: NewConfig(version, con)})
}

func (vmm *vm) step(evt Event) []Action { return vmm.mac.Step(vmm.now, evt) }

// advance advances the time while the platform reports that nothing has changed.
func (vmm *vm) advance(dur time.Duration) (acts []Action) {
	for end := vmm.now.Add(dur); vmm.now.Before(end); {
		vmm.now = vmm.now.Add(TickInterval)
		vmm.step(ConfigRead{RequestedAt: clock.MomentOf(vmm.now)})
		vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Since: 9, Revision: 9}})
		vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: 6, Revision: 6}})
		acts = append(acts, vmm.step(Ticked{})...)
	}
	return acts
}

// advanceOffline advances the time while the platform does not answer.
func (vmm *vm) advanceOffline(dur time.Duration) (acts []Action) {
	for end := vmm.now.Add(dur); vmm.now.Before(end); {
		vmm.now = vmm.now.Add(TickInterval)
		acts = append(acts, vmm.step(Ticked{})...)
	}
	return acts
}

// arrive delivers a request and returns the actions that follow.
func (vmm *vm) arrive(path, bearer string) []Action {
	vmm.next++
	req := request.Request{ID: vmm.next, Host: "h", Path: path, Timeout: 5 * time.Second}
	if bearer != "" {
		req.Keys = []config.Digest{config.DigestOf(bearer)}
	}
	return vmm.step(Arrived{Request: req})
}

func dispatched(acts []Action) (Dispatch, bool) {
	for _, act := range acts {
		if dis, ok := act.(Dispatch); ok {
			return dis, true
		}
	}
	return Dispatch{}, false
}

func refused(acts []Action) (request.Refusal, bool) {
	for _, act := range acts {
		if ref, ok := act.(Refuse); ok {
			return ref.Refusal, true
		}
	}
	return request.Refusal{}, false
}

func (vmm *vm) mustDispatch(acts []Action) Dispatch {
	vmm.t.Helper()
	dis, ok := dispatched(acts)
	if !ok {
		vmm.t.Fatalf("no request was dispatched: %v", acts)
	}
	return dis
}

func (vmm *vm) mustRefuse(acts []Action, reason request.Reason, ver verdict.Verdict) request.Refusal {
	vmm.t.Helper()
	ref, ok := refused(acts)
	if !ok || ref.Reason != reason || ref.Verdict != ver {
		vmm.t.Fatalf("refused with %+v, want reason %s and verdict %s", ref, reason, ver)
	}
	return ref
}

// TestRequestsWithoutConfigurationGet503 delivers requests to a VM without a configuration, which
// knows no key. It must not reject them as unauthorised, but refuse them with a time to retry after.
func TestRequestsWithoutConfigurationGet503(t *testing.T) {
	vmm := newVM(t)
	if vmm.mac.Ready() {
		t.Error("ready without a configuration")
	}
	if acts := vmm.arrive("/read/x", "wrong"); len(acts) > 0 {
		t.Errorf("the request was not queued: %v", acts)
	}
	ref := vmm.mustRefuse(vmm.advanceOffline(maxQueueTime), request.NoConfiguration, verdict.NotRun)
	if ref.Reason.Status() != 503 || ref.RetryAfter <= 0 {
		t.Errorf("refused with status %d, retry after %v", ref.Reason.Status(), ref.RetryAfter)
	}
	// At the stop deadline the queued requests are refused. Those that arrive after the deadline,
	// and long after the start of the VM, are refused at once.
	vmm.arrive("/read/x", key)
	vmm.mustRefuse(vmm.step(StopDeadline{}), request.NoConfiguration, verdict.NotRun)
	vmm.advanceOffline(startupTime + TickInterval)
	vmm.mustRefuse(vmm.arrive("/read/x", key), request.NoConfiguration, verdict.NotRun)
}

// TestRoutesAndKeys checks that requests without a route or a valid key are refused, and that others
// are dispatched for the organisation of their key.
func TestRoutesAndKeys(t *testing.T) {
	vmm := newVM(t).load()
	vmm.mustRefuse(vmm.arrive("/nowhere/", key), request.NoRoute, verdict.NotRun)
	vmm.mustRefuse(vmm.arrive("/read", key), request.NoRoute, verdict.NotRun)
	vmm.mustRefuse(vmm.arrive("/read/x", ""), request.NoKey, verdict.NotRun)
	vmm.mustRefuse(vmm.arrive("/read/x", "wrong"), request.UnknownKey, verdict.NotRun)
	if dis := vmm.mustDispatch(vmm.arrive("/read/x", key)); dis.Organisation != "org" || dis.Timeout > 2*time.Second {
		t.Errorf("dispatched %+v, want it for the organisation of the key within the timeout of the route", dis)
	}
	if dis := vmm.mustDispatch(vmm.arrive("/open/x", "")); dis.Organisation != "" {
		t.Errorf("a request of an open route was dispatched for organisation %q", dis.Organisation)
	}
}

// TestKeysRequireRecentConfiguration checks that keys are not accepted once the platform has not
// confirmed the configuration for longer than RevokeTime.
func TestKeysRequireRecentConfiguration(t *testing.T) {
	vmm := newVM(t).load()
	vmm.now = vmm.now.Add(4900 * time.Millisecond)
	vmm.mustDispatch(vmm.arrive("/read/x", key))
	vmm.now = vmm.now.Add(100 * time.Millisecond)
	vmm.mustRefuse(vmm.arrive("/read/x", key), request.StaleConfiguration, verdict.NotRun)
	vmm.mustDispatch(vmm.arrive("/open/x", ""))
	// A suspension of the host counts, although the monotonic clock does not advance.
	vmm = newVM(t).load()
	vmm.now.Boot += 6 * time.Second
	vmm.mustRefuse(vmm.arrive("/read/x", key), request.StaleConfiguration, verdict.NotRun)
}

// TestUnconfirmedConfigurationServesNoKey restarts a VM, which gets a configuration and targets from
// another VM that may hold old ones. No key may be accepted before the configuration is confirmed, since
// it may have been withdrawn meanwhile; the request waits for that, and is refused if it does not come. That the process
// runs for less than RevokeTime does not make the configuration a recent one.
func TestUnconfirmedConfigurationServesNoKey(t *testing.T) {
	vmm := newVM(t)
	vmm.step(Ticked{})
	row := table.Row[registry.Entry]{Name: "t0", Revision: 1, Value: registry.Entry{Service: "svc", Address: "10.0.0.1:80", FailureDomain: "a", Slots: 3}}
	vmm.step(Received{From: "other", Message: Update{
		Version: 1, Config: NewConfig(1, content()), Targets: table.Delta[registry.Entry]{Whole: true, Revision: 9, Rows: []table.Row[registry.Entry]{row}},
	}})
	if acts := vmm.arrive("/read/x", key); len(acts) > 0 {
		t.Fatalf("the request does not wait: %+v", acts)
	}
	vmm.mustRefuse(vmm.advanceOffline(maxQueueTime+2*TickInterval), request.StaleConfiguration, verdict.NotRun)
}

// TestServiceWithoutLimitGetsConnections dispatches requests to a service for which no limit on
// connections is stated. A VM must not be bound to one connection to each target.
func TestServiceWithoutLimitGetsConnections(t *testing.T) {
	vmm := newVM(t).load()
	limited := vmm.mustDispatch(vmm.arrive("/read/x", key))
	con := content()
	for num := range con.Services {
		con.Services[num].Connections = 0
	}
	vmm.config(2, con)
	unlimited := vmm.mustDispatch(vmm.arrive("/read/x", key))
	if limited.Connections != 10 || unlimited.Connections < 1000 {
		t.Errorf("%d connections of 10, %d without a limit", limited.Connections, unlimited.Connections)
	}
}

// TestConfigurationNeverGoesBack delivers older configurations, from the platform and from another
// VM, after one in which a key is withdrawn. The key must not be accepted again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	vmm := newVM(t).load()
	con := content()
	con.Keys = nil
	vmm.config(7, con)
	vmm.mustRefuse(vmm.arrive("/read/x", key), request.UnknownKey, verdict.NotRun)
	vmm.config(6, content())
	vmm.step(Received{From: "other", Message: Update{Config: NewConfig(5, content())}})
	vmm.mustRefuse(vmm.arrive("/read/x", key), request.UnknownKey, verdict.NotRun)
}

// TestWithdrawnKeyEndsRetries withdraws the key of a request before its attempt fails. The request
// must not be sent to another target.
func TestWithdrawnKeyEndsRetries(t *testing.T) {
	vmm := newVM(t).load()
	dis := vmm.mustDispatch(vmm.arrive("/read/x", key))
	con := content()
	con.Keys = nil
	vmm.config(2, con)
	acts := vmm.step(AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Outcome: health.Failure, Verdict: verdict.MayHaveRun})
	if _, again := dispatched(acts); again {
		t.Error("a withdrawn key got another attempt")
	}
}

// TestNonIdempotentRequestsRunOnce fails attempts of non-idempotent requests. A request that its
// target may have run must not be sent again; one that did not reach its target must.
func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	vmm := newVM(t).load()
	dis := vmm.mustDispatch(vmm.arrive("/once/x", key))
	acts := vmm.step(AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Outcome: health.Failure, Verdict: verdict.MayHaveRun})
	if ref := vmm.mustRefuse(acts, request.TargetFailed, verdict.MayHaveRun); ref.Reason.Status() != 502 {
		t.Errorf("refused with status %d, want that of a failed target", ref.Reason.Status())
	}
	dis = vmm.mustDispatch(vmm.arrive("/once/x", key))
	acts = vmm.step(AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Outcome: health.Unreachable, Verdict: verdict.NotRun})
	if again := vmm.mustDispatch(acts); again.Target.ID == dis.Target.ID || again.Attempt != 2 {
		t.Errorf("after a failed connection to %s dispatched %+v, want a second attempt at another target", dis.Target.ID, again)
	}
}

// TestShedRequestsAreRetriedAndReportedNotRun has every target shed a request. It must be refused as
// not run, unless an earlier attempt may have run it.
func TestShedRequestsAreRetriedAndReportedNotRun(t *testing.T) {
	vmm := newVM(t).load()
	acts := vmm.arrive("/once/x", key)
	for range maxDispatches {
		dis, ok := dispatched(acts)
		if !ok {
			break
		}
		acts = vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 503, Shed: true}})
	}
	if ref := vmm.mustRefuse(acts, request.Overloaded, verdict.NotRun); ref.RetryAfter <= 0 {
		t.Errorf("refused with %+v, want a time to retry after", ref)
	}
	// A request that a target may have run is never reported as not run.
	dis := vmm.mustDispatch(vmm.arrive("/read/x", key))
	acts = vmm.step(AttemptFailed{Request: dis.Request, Attempt: dis.Attempt, Outcome: health.Failure, Verdict: verdict.MayHaveRun})
	dis = vmm.mustDispatch(acts)
	acts = vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 503, Shed: true}})
	for range maxDispatches {
		dis, ok := dispatched(acts)
		if !ok {
			break
		}
		acts = vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 503, Shed: true}})
	}
	vmm.mustRefuse(acts, request.TargetFailed, verdict.MayHaveRun)
}

// TestOnlyIdempotentRequestsAreHedged leaves an idempotent and a non-idempotent request without
// response. The idempotent one must be sent to a second target, and both must end at their timeouts.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	vmm := newVM(t).load()
	vmm.learnLatency(100 * time.Millisecond)
	read := vmm.mustDispatch(vmm.arrive("/read/x", key))
	once := vmm.mustDispatch(vmm.arrive("/once/x", key))
	acts := vmm.advance(1500 * time.Millisecond)
	again, ok := dispatched(acts)
	if !ok || again.Request != read.Request || again.Target.ID == read.Target.ID {
		t.Errorf("dispatched %+v, want the idempotent request at another target", again)
	}
	acts = vmm.advance(time.Second)
	ref, ended := refused(acts)
	if !ended || ref.Reason.Status() != 504 {
		t.Errorf("at the route's timeout got %+v", ref)
	}
	if vmm.mac.InFlight() != 0 {
		t.Errorf("%d requests are in flight; request %v is past its timeout", vmm.mac.InFlight(), once.Request)
	}
}

// cancelled returns the numbers of the attempts that are cancelled while their request continues.
func cancelled(acts []Action) (out []int) {
	for _, act := range acts {
		if can, ok := act.(CancelAttempt); ok {
			out = append(out, can.Attempt)
		}
	}
	return out
}

// learnLatency has idempotent requests answered after a given time, so that the placer learns their
// latency.
func (vmm *vm) learnLatency(took time.Duration) {
	for range 20 {
		dis := vmm.mustDispatch(vmm.arrive("/read/x", key))
		vmm.advance(took)
		vmm.step(Answered{Request: dis.Request, Attempt: dis.Attempt, Response: Response{Status: 200}})
		vmm.step(RelayEnded{Request: dis.Request, Outcome: health.Success})
	}
}

// advanceUntilDispatched advances the time until a request is dispatched, and returns the actions
// of that step.
func (vmm *vm) advanceUntilDispatched(most time.Duration) []Action {
	for end := vmm.now.Add(most); vmm.now.Before(end); {
		acts := vmm.advance(TickInterval)
		if _, sent := dispatched(acts); sent {
			return acts
		}
	}
	return nil
}

// TestHungAttemptsAreReplacedAtFullCapacity fills every slot, so that an idempotent request
// finds none for a concurrent second attempt. It must be moved to another target later.
func TestHungAttemptsAreReplacedAtFullCapacity(t *testing.T) {
	vmm := newVM(t).load()
	vmm.learnLatency(300 * time.Millisecond)
	for range 12 { // The slots of four targets.
		vmm.mustDispatch(vmm.arrive("/once/x", key))
	}
	first := vmm.mustDispatch(vmm.arrive("/read/x", key))
	acts := vmm.advanceUntilDispatched(1800 * time.Millisecond)
	second := vmm.mustDispatch(acts)
	if got := cancelled(acts); second.Request != first.Request || len(got) != 1 || got[0] != first.Attempt {
		t.Errorf("dispatched %+v and cancelled attempts %v, want the first one replaced", second, got)
	}
}

// TestHedgedAttempts delays idempotent requests until each is sent to a second target too, and ends
// the two attempts in different orders.
func TestHedgedAttempts(t *testing.T) {
	vmm := newVM(t).load()
	vmm.learnLatency(300 * time.Millisecond)
	both := func() (first, second Dispatch) {
		first = vmm.mustDispatch(vmm.arrive("/read/x", key))
		acts := vmm.advanceUntilDispatched(time.Second)
		second = vmm.mustDispatch(acts)
		if ended := cancelled(acts); len(ended) > 0 || second.Request != first.Request || second.Target.ID == first.Target.ID {
			t.Fatalf("after %+v dispatched %+v and cancelled attempts %v, want a concurrent second attempt", first, second, ended)
		}
		return first, second
	}
	first, second := both()
	acts := vmm.step(Answered{Request: first.Request, Attempt: first.Attempt, Response: Response{Status: 200}})
	if got := cancelled(acts); len(got) != 1 || got[0] != second.Attempt {
		t.Errorf("after the response of the first target, attempts %v were cancelled", got)
	}
	vmm.step(RelayEnded{Request: first.Request, Outcome: health.Success})

	first, second = both()
	acts = vmm.step(AttemptFailed{Request: first.Request, Attempt: first.Attempt, Outcome: health.Failure, Verdict: verdict.MayHaveRun})
	if ref, ended := refused(acts); ended {
		t.Errorf("refused while the second attempt was running: %+v", ref)
	}
	acts = vmm.step(Answered{Request: second.Request, Attempt: second.Attempt, Response: Response{Status: 200}})
	if rel, ok := acts[len(acts)-1].(Relay); !ok || rel.Attempt != second.Attempt {
		t.Errorf("the actions are %+v, want the response of the second attempt passed on", acts)
	}
	vmm.step(RelayEnded{Request: second.Request, Outcome: health.Success})

	first, second = both()
	acts = vmm.step(Answered{Request: second.Request, Attempt: second.Attempt, Response: Response{Status: 500}})
	if got := cancelled(acts); len(got) != 1 || got[0] != second.Attempt {
		t.Errorf("after the failure of the second target, attempts %v were cancelled", got)
	}
	vmm.step(CallerLeft{Request: first.Request})
	if vmm.mac.InFlight() != 0 {
		t.Errorf("%d requests are still in flight", vmm.mac.InFlight())
	}
}

// TestSplitFollowsTheWeights checks that a tenth of the requests of a split route goes to the service
// with a tenth of the weight.
func TestSplitFollowsTheWeights(t *testing.T) {
	vmm := newVM(t).load()
	cnt := make(map[string]int)
	const all = 3000
	for range all {
		dis := vmm.mustDispatch(vmm.arrive("/split/x", key))
		cnt[dis.Service]++
		vmm.step(CallerLeft{Request: dis.Request})
	}
	if got := float64(cnt["new"]) / all; got < 0.07 || got > 0.13 {
		t.Errorf("%.3f of the requests went to a share of 0.1", got)
	}
}

// TestUnresponsivePlacerTimesOut lists other VMs, one of which is the placer of a service and does
// not answer. The VM must then place the request by itself.
func TestUnresponsivePlacerTimesOut(t *testing.T) {
	vmm := newVM(t).load()
	var rows []table.Row[fleet.Row]
	for num := range 40 {
		id := fmt.Sprintf("other%d.r", num)
		rows = append(rows, table.Row[fleet.Row]{Name: fleet.VMName(id), Revision: 7, Value: fleet.Row{VM: member.VM{ID: id, FailureDomain: "a"}, Name: id[:len(id)-2]}})
	}
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: 6, Revision: 7, Rows: rows}})
	acts := vmm.arrive("/open/x", "")
	if _, soon := dispatched(acts); soon {
		t.Skip("this VM is the placer of the service")
	}
	vmm.now = vmm.now.Add(placementTimeout + TickInterval)
	vmm.mustDispatch(vmm.step(Ticked{}))
}

// TestStopAnswersEveryCaller reaches the deadline of a stop before targets have answered. Every caller
// must be told that its request may have run.
func TestStopAnswersEveryCaller(t *testing.T) {
	vmm := newVM(t).load()
	vmm.mustDispatch(vmm.arrive("/read/x", key))
	vmm.mustDispatch(vmm.arrive("/once/x", key))
	vmm.step(StopBegan{})
	refusals := 0
	for _, act := range vmm.step(StopDeadline{}) {
		if ref, ok := act.(Refuse); ok && ref.Refusal.Reason.Status() == 504 && ref.Refusal.Verdict == verdict.MayHaveRun {
			refusals++
		}
	}
	if refusals != 2 || vmm.mac.InFlight() != 0 {
		t.Errorf("%d callers were answered, %d requests are still in flight", refusals, vmm.mac.InFlight())
	}
}

// TestStopReleasesTokenServersThenDelists stops a VM that holds every token server. It must release
// each at once, and take itself off the list as soon as the list says that they are free.
func TestStopReleasesTokenServersThenDelists(t *testing.T) {
	vmm := newVM(t).load()
	released := 0
	for _, act := range vmm.step(StopBegan{}) {
		switch act := act.(type) {
		case Write:
			if act.Name == fleet.TokenServerName(released) && act.Row.Released {
				released++
			}
		case Delete:
			t.Error("delisted before the token servers were released")
		}
	}
	delisted := false
	for _, act := range vmm.released() {
		del, ok := act.(Delete)
		delisted = delisted || ok && del.Name == fleet.VMName("vm")
	}
	if released != fleet.TokenServerCount || !delisted || vmm.mac.Ready() {
		t.Errorf("released %d, delisted %v, ready %v", released, delisted, vmm.mac.Ready())
	}
	vmm.mustDispatch(vmm.arrive("/read/x", key)) // Requests that still arrive are served.
}

// TestRetryAfterIsJittered has a VM without a configuration refuse many callers, who must be told
// to return at different times.
func TestRetryAfterIsJittered(t *testing.T) {
	vmm := newVM(t)
	soonest, latest := time.Hour, time.Duration(0)
	vmm.advanceOffline(startupTime + TickInterval)
	for range 100 {
		ref := vmm.mustRefuse(vmm.arrive("/read/x", key), request.NoConfiguration, verdict.NotRun)
		soonest, latest = min(soonest, ref.RetryAfter), max(latest, ref.RetryAfter)
	}
	if latest-soonest < 800*time.Millisecond || latest > maxRetryAfter {
		t.Errorf("callers are told to retry after %v to %v", soonest, latest)
	}
}

// TestTokenServersPublishBusyOrganisations runs token servers for longer than a quota window. Each
// must write to the store that no organisation is busy, or else its successor would have to assume
// that each was granted its whole window limit, and would grant too little at first.
func TestTokenServersPublishBusyOrganisations(t *testing.T) {
	vmm := newVM(t).load()
	stated := make(map[string]bool)
	for _, act := range vmm.advance(3 * time.Second) {
		wri, ok := act.(Write)
		if !ok {
			continue
		}
		if wri.Row.Holder != vmm.mac.set.Self.ID || wri.Row.Busy.All || wri.Row.Busy.Has("org") || wri.Revision != 6 {
			t.Errorf("object %s is written with %+v at revision %d", wri.Name, wri.Row, wri.Revision)
		}
		stated[wri.Name] = true
	}
	if len(stated) != fleet.TokenServerCount {
		t.Errorf("%v were written, want %d token servers", stated, fleet.TokenServerCount)
	}
}

// TestAttemptIsWithdrawnWhileItConnects lets a target announce to one request that it leaves, or that
// it wants none for a time, while the connection for another request to it is opened. That one must not
// be sent there but to another target, although it is not idempotent.
func TestAttemptIsWithdrawnWhileItConnects(t *testing.T) {
	for _, ann := range []announcement.Announcement{{Leaving: true}, {RetryAfter: time.Second}} {
		vmm := newVM(t).load()
		slow := vmm.mustDispatch(vmm.arrive("/once/x", key))
		var other Dispatch
		for other.Target.ID != slow.Target.ID {
			other = vmm.mustDispatch(vmm.arrive("/open/x", ""))
		}
		if !vmm.mac.MaySend(vmm.now, slow.Request, slow.Attempt) {
			t.Error("withdrawn without a reason")
		}
		vmm.step(Answered{Request: other.Request, Attempt: other.Attempt, Response: Response{Status: 503, Shed: true, Announcement: ann}})
		if vmm.mac.MaySend(vmm.now, slow.Request, slow.Attempt) {
			t.Fatalf("it may be sent after %+v", ann)
		}
		again := vmm.mustDispatch(vmm.step(AttemptFailed{Request: slow.Request, Attempt: slow.Attempt, Outcome: health.Shed, Verdict: verdict.NotRun}))
		if again.Target.ID == slow.Target.ID {
			t.Errorf("sent to the same target again after %+v", ann)
		}
	}
}
