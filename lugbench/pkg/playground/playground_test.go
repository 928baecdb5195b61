package playground

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/lugbench/pkg/targetfake"
)

const requestTimeout = 2 * time.Second

func start(t *testing.T, vms int) *Playground {
	t.Helper()
	pgr, err := Start(context.Background(), Settings{VMs: vms, Targets: 6, Latency: 20 * time.Millisecond, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pgr.Close)
	return pgr
}

func (pgr *Playground) send(vmm int, method, path, id, key string) Response {
	res, err := SendRequest(context.Background(), http.DefaultClient, pgr.CallerAddresses[vmm], method, path, id, key, requestTimeout)
	if err != nil {
		return Response{Body: err.Error()}
	}
	return res
}

// runs returns how often each request ran.
func (pgr *Playground) runs() map[string]int {
	out := make(map[string]int)
	for _, tgt := range pgr.Targets {
		for _, run := range tgt.Runs() {
			out[run.Request]++
		}
	}
	return out
}

// settle waits long enough for the fleet to have its token servers, and for VMs that
// don't read the platform to follow one that does.
func settle() { time.Sleep(1500 * time.Millisecond) }

// TestEveryVMServesRequests guards against a VM that can't send requests to targets, one
// that doesn't refuse requests without a route or a valid key, and one that passes the
// caller's key on to targets.
func TestEveryVMServesRequests(t *testing.T) {
	pgr := start(t, 3)
	settle()
	for num := range 60 {
		id := fmt.Sprint("read-", num)
		res := pgr.send(num%3, http.MethodGet, "/recipes/x", id, Key)
		if res.Status != http.StatusOK || res.Body != targetfake.ResponseBody(id) {
			t.Fatalf("request %s got %+v", id, res)
		}
	}
	for _, one := range []struct {
		path, key string
		want      int
	}{{"/nowhere/", Key, 404}, {"/recipes/x", "wrong", 401}, {"/recipes/x", "", 401}} {
		if res := pgr.send(0, http.MethodGet, one.path, "denied", one.key); res.Status != one.want {
			t.Errorf("%s with key %q got %d, want %d", one.path, one.key, res.Status, one.want)
		}
	}
	for _, tgt := range pgr.Targets {
		for _, run := range tgt.Runs() {
			if run.Organisation != "studio" || run.Key {
				t.Fatalf("a target got %+v", run)
			}
		}
	}
}

// TestPartlyFailingTargetsRunOrdersOnce guards against retries of orders that may have
// run, and against responses with status 503 to requests that ran. Two of six targets hang
// half of the requests, and fail or cut others; still, 270 of 300 requests must be served.
func TestPartlyFailingTargetsRunOrdersOnce(t *testing.T) {
	pgr := start(t, 3)
	settle()
	for _, tgt := range pgr.Targets[:2] {
		tgt.SetFaults(targetfake.Faults{Latency: 20 * time.Millisecond, HangShare: 0.5, FailShare: 0.1, CutShare: 0.1})
	}
	var mut sync.Mutex
	results := make(map[string]Response)
	var wgr sync.WaitGroup
	for num := range 300 {
		time.Sleep(5 * time.Millisecond)
		wgr.Go(func() {
			id, method, path := fmt.Sprint("order-", num), http.MethodPost, "/orders/x"
			if num%2 == 0 {
				id, method, path = fmt.Sprint("read-", num), http.MethodGet, "/recipes/x"
			}
			res := pgr.send(num%3, method, path, id, Key)
			mut.Lock()
			defer mut.Unlock()
			results[id] = res
		})
	}
	wgr.Wait()
	runs, good := pgr.runs(), 0
	for id, res := range results {
		switch {
		case res.Status == http.StatusOK && res.Body == targetfake.ResponseBody(id):
			good++
		case res.Status == http.StatusServiceUnavailable && runs[id] > 0:
			t.Errorf("%s got status 503, and ran", id)
		case res.Status == http.StatusOK:
			t.Errorf("%s got %+v", id, res)
		}
		if id[0] == 'o' && runs[id] > 1 {
			t.Errorf("%s ran %d times", id, runs[id])
		}
	}
	if good < 270 {
		t.Errorf("%d of 300 requests were served", good)
	}
}

// TestMetricsCountRequestsAndPlatformCalls guards against metrics that are renamed, or no
// longer counted. Over all VMs, each must have counted at least what the requests and the
// start of three VMs cause.
func TestMetricsCountRequestsAndPlatformCalls(t *testing.T) {
	pgr := start(t, 3)
	settle()
	const requests = 30
	for num := range requests {
		pgr.send(num%3, http.MethodGet, "/recipes/x", fmt.Sprint("read-", num), Key)
	}
	all := ""
	for _, address := range pgr.OperatorAddresses {
		rsp, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(rsp.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = rsp.Body.Close()
		all += string(raw)
	}
	for name, least := range map[string]float64{
		`marigoldlug_placements_total{outcome="placed"}`:                                 requests,
		`marigoldlug_tokens_total{outcome="granted"}`:                                    1,
		`marigoldlug_events_total{event="dispatched"}`:                                   requests,
		`marigoldlug_platform_calls_total{call="list",kind="config",outcome="done"}`:     3,
		`marigoldlug_platform_calls_total{call="cheapList",kind="fleet",outcome="done"}`: 3,
		`marigoldlug_platform_calls_total{call="write",kind="fleet",outcome="done"}`:     3,
		`marigoldlug_requests_total{result="answered",route="reads"}`:                    requests,
	} {
		sum := 0.0
		for line := range strings.Lines(all) {
			var val float64
			if rest, found := strings.CutPrefix(line, name+" "); found {
				if _, err := fmt.Sscan(rest, &val); err != nil {
					t.Errorf("%s: %v", line, err)
				}
			}
			sum += val
		}
		if sum < least {
			t.Errorf("%s is %v, want at least %v", name, sum, least)
		}
	}
}

// TestPlatformOutage guards against VMs that refuse requests as soon as the store hangs,
// that go on serving for longer than revoke-time (5 s), when keys may have been withdrawn
// unnoticed, or that don't serve again soon after the outage.
func TestPlatformOutage(t *testing.T) {
	pgr := start(t, 3)
	settle()
	pgr.Store.SetFaults(storefake.Faults{Silent: true})
	time.Sleep(2 * time.Second)
	if res := pgr.send(0, http.MethodGet, "/recipes/x", "soon", Key); res.Status != http.StatusOK {
		t.Errorf("2 s into the outage: %+v", res)
	}
	time.Sleep(4 * time.Second)
	if res := pgr.send(1, http.MethodGet, "/recipes/x", "late", Key); res.Status != http.StatusServiceUnavailable || res.RetryAfter == "" {
		t.Errorf("6 s into the outage: %+v", res)
	}
	pgr.Store.SetFaults(storefake.Faults{})
	deadline := time.Now().Add(4 * time.Second)
	for num := 0; ; num++ {
		if res := pgr.send(1, http.MethodGet, "/recipes/x", fmt.Sprint("after-", num), Key); res.Status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("requests are not served 4 s after the outage")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestWithdrawnKeyIsRefused guards against VMs that learn late of a new configuration although
// the platform works, and meanwhile accept a withdrawn key. Every VM must refuse the key
// half a second after the release note that withdraws it.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	pgr := start(t, 3)
	settle()
	if txt, _, err := pgr.Releases.Show(context.Background(), 0); err != nil || txt == "" {
		t.Fatalf("got %q, %v", txt, err)
	}
	for num := range 3 {
		if res := pgr.send(num, http.MethodGet, "/recipes/x", "before", Key); res.Status != http.StatusOK {
			t.Fatalf("got %+v", res)
		}
	}
	doc := "release: stop\nbase: 1\nwithdrawn: {keys: [" + keyID() + "]}\n"
	if _, err := pgr.Releases.Apply(context.Background(), []byte(doc), "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for num := range 3 {
		if res := pgr.send(num, http.MethodGet, "/recipes/x", "after", Key); res.Status != http.StatusUnauthorized {
			t.Errorf("VM %d responded with status %d to a withdrawn key", num+1, res.Status)
		}
	}
}

// TestLeavingAndRemovedTargetsGetNoRequests guards against requests to a target that is
// marked as leaving or whose entry was removed. The other targets must serve all requests.
func TestLeavingAndRemovedTargetsGetNoRequests(t *testing.T) {
	pgr := start(t, 2)
	settle()
	if err := pgr.Targets[0].Register("127.0.0.1:1", true); err != nil {
		t.Fatal(err)
	}
	pgr.Targets[1].Deregister()
	time.Sleep(500 * time.Millisecond)
	before := [2]int{len(pgr.Targets[0].Runs()), len(pgr.Targets[1].Runs())}
	for num := range 60 {
		if res := pgr.send(num%2, http.MethodGet, "/recipes/x", fmt.Sprint("r", num), Key); res.Status != http.StatusOK {
			t.Fatalf("got %+v", res)
		}
	}
	if after := [2]int{len(pgr.Targets[0].Runs()), len(pgr.Targets[1].Runs())}; after != before {
		t.Errorf("the leaving and the removed target had run %v requests, and now %v", before, after)
	}
}
