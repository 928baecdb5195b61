package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

// TestMain makes the rapid tests deterministic, unless -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	window      = 5 * time.Second
	serverCount = 3
)

// pol is the policy of the tests.
var pol = Policy{Window: window, Excess: 0.1, Slack: 20}

func limitOf(perSecond, burst float64) func(string) (rate.Limit, bool) {
	return func(string) (rate.Limit, bool) {
		return rate.Limit{Rate: rate.RequestsPerSecond(perSecond), Burst: rate.Requests(burst)}, true
	}
}

// cluster runs the clients of several VMs and the servers that they query.
type cluster struct {
	now     clock.Instant
	limits  func(string) (rate.Limit, bool)
	servers [serverCount]*Server
	// stored is what the store holds for each server.
	stored [serverCount]Busy
	// storeDown is set while the store accepts no writes, and serversStarting while the VMs
	// that are to act as servers answer that they do not serve yet.
	storeDown, serversStarting bool
	clients                    []*Client
	// admitted lists when requests were admitted.
	admitted []time.Duration
	next     uint64
	// longestRetry is the longest time after which a refused caller was told to retry.
	longestRetry time.Duration
}

func newCluster(vms int, limits func(string) (rate.Limit, bool)) *cluster {
	clu := &cluster{now: clock.At(time.Hour), limits: limits}
	for num := range clu.stored {
		clu.stored[num] = Busy{All: true}
	}
	for num := range vms {
		clu.clients = append(clu.clients, NewClient(rand.New(rand.NewPCG(7, uint64(num))), pol, limits))
	}
	clu.setServerView([]string{"server-0", "server-1", "server-2"}, false)
	return clu
}

func (clu *cluster) setServerView(servers []string, vacant bool) {
	for num, cli := range clu.clients {
		cli.SetServerView(ServerView{Servers: servers, Preferred: num % serverCount, Vacant: vacant, VMs: len(clu.clients)})
	}
}

// serve starts the servers of the given numbers, or all servers if none is given.
func (clu *cluster) serve(nums ...int) {
	if len(nums) == 0 {
		nums = []int{0, 1, 2}
	}
	for _, num := range nums {
		clu.servers[num] = NewServer(clu.now, pol, serverCount, clu.stored[num], clu.limits)
		clu.stored[num] = Busy{All: true}
	}
}

// updateStore writes to the store what the servers want it to hold.
func (clu *cluster) updateStore() {
	for num, srv := range clu.servers {
		if srv == nil {
			continue
		}
		srv.SetStored(clu.stored[num])
		if bus, due := srv.Desired(clu.now); due {
			clu.stored[num] = bus
		}
	}
}

func (clu *cluster) decided(dec Decision) {
	clu.longestRetry = max(clu.longestRetry, dec.RetryAfter)
	if dec.Admitted {
		clu.admitted = append(clu.admitted, clu.now.Mono)
	}
}

// request sends one request through a VM and delivers all messages at once.
func (clu *cluster) request(vmm int) {
	clu.next++
	if dec, decided := clu.clients[vmm].Admit(clu.now, "org", clu.next); decided {
		clu.decided(dec)
	}
	clu.deliver(clu.clients[vmm])
}

func (clu *cluster) deliver(cli *Client) {
	for outs := cli.TakeOutputs(); len(outs) > 0; outs = cli.TakeOutputs() {
		for _, out := range outs {
			switch out := out.(type) {
			case Decision:
				clu.decided(out)
			case Send:
				switch srv := clu.servers[out.Query.Server]; {
				case srv != nil:
					cli.HandleGrant(clu.now, srv.Answer(clu.now, out.Query))
				case clu.serversStarting:
					cli.HandleGrant(clu.now, Grant{Organisation: out.Query.Organisation, Number: out.Query.Number, NotServing: true})
				}
			}
		}
	}
}

func (clu *cluster) advance(dur time.Duration) {
	clu.now = clu.now.Add(dur)
	if !clu.storeDown {
		clu.updateStore()
	}
	for _, cli := range clu.clients {
		cli.Tick(clu.now)
		clu.deliver(cli)
	}
}

// peak returns the greatest number of requests that were admitted in any window.
func (clu *cluster) peak() int {
	peak, from := 0, 0
	for at := range clu.admitted {
		for clu.admitted[at]-clu.admitted[from] >= window {
			from++
		}
		peak = max(peak, at-from+1)
	}
	return peak
}

// TestNoWindowExceedsTheLimit alternates two loads of 0.3 to 8 times the rate, while one or all
// servers are lost, cannot be reached for a time and are replaced, and while the store accepts no
// writes. The allowed number is that of the policy: the limit of a window, a tenth of it and 20
// requests.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		per := float64(rapid.IntRange(2, 120).Draw(t, "rate"))
		seed := rapid.Uint64().Draw(t, "seed")
		rnd := rand.New(rand.NewPCG(seed, seed))
		clu := newCluster(rapid.IntRange(3, 48).Draw(t, "vms"), limitOf(per, per))
		clu.serve()
		clu.advance(window)
		floods := []float64{rapid.Float64Range(0.3, 8).Draw(t, "flood"), rapid.Float64Range(0.3, 8).Draw(t, "otherFlood")}
		// gone holds the number of steps until each lost server is replaced, 0 for those that
		// serve.
		gone, flood := [serverCount]int{}, 0
		for range 600 {
			clu.advance(50 * time.Millisecond)
			if rnd.IntN(100) == 0 {
				flood = 1 - flood
			}
			if rnd.IntN(60) == 0 {
				clu.storeDown = !clu.storeDown
			}
			for range int(per*floods[flood]*0.05 + rnd.Float64()) {
				clu.request(rnd.IntN(len(clu.clients)))
			}
			all := rnd.IntN(300) == 0
			for num := range gone {
				switch {
				case gone[num] == 0 && (all || rnd.IntN(200) == 0):
					clu.servers[num], gone[num] = nil, 1+rnd.IntN(60)
				case gone[num] > 1:
					gone[num]--
				case gone[num] == 1 && !clu.storeDown:
					gone[num] = 0
					clu.serve(num)
				}
			}
		}
		allowed := (per*window.Seconds()+per)*(1+pol.Excess) + pol.Slack
		if peak := clu.peak(); float64(peak) > allowed {
			t.Fatalf("%d requests in a window, %v are allowed", peak, allowed)
		}
	})
}

// TestCallersReturnAfterTheLossOfAll restarts every VM while the load is half of the rate. The
// requests that failed meanwhile are all repeated as soon as the VMs are back, beside the usual
// load. Nearly all of them have to be admitted.
func TestCallersReturnAfterTheLossOfAll(t *testing.T) {
	const (
		per = 60.0
		// demand is the load as a share of the rate.
		demand = 0.5
		step   = 50 * time.Millisecond
		// lost is the time in which requests fail because all VMs restart.
		lost = 1500 * time.Millisecond
	)
	clu := newCluster(32, limitOf(per, per))
	clu.serve()
	clu.advance(2 * window)
	rnd := rand.New(rand.NewPCG(3, 4))
	call := func(requests float64) (sent int) {
		for range int(requests + rnd.Float64()) {
			clu.request(rnd.IntN(len(clu.clients)))
			sent++
		}
		return sent
	}
	for range 400 {
		clu.advance(step)
		call(demand * per * step.Seconds())
	}
	stored := clu.stored
	clu = newCluster(32, limitOf(per, per))
	clu.stored = stored
	clu.setServerView([]string{"", "", ""}, true)
	sent := call(demand * per * lost.Seconds())
	for num := range 40 {
		clu.advance(step)
		switch num {
		case 1:
			clu.serversStarting = true
			clu.setServerView([]string{"server-0", "server-1", "server-2"}, false)
		case 4:
			clu.serve()
		}
		sent += call(demand * per * step.Seconds())
	}
	clu.advance(usualMaxWait)
	if share := float64(len(clu.admitted)) / float64(sent); share < 0.95 {
		t.Errorf("a share of %.3f of %d requests was admitted in the first two seconds", share, sent)
	}
}

// TestBusyOrganisationsAreStoredFirst sends load above the limit while the store is down, when
// an organisation that is not listed as busy must not be granted its full limit, and again when
// the store is back.
func TestBusyOrganisationsAreStoredFirst(t *testing.T) {
	const per = 60.0
	clu := newCluster(6, limitOf(per, per))
	clu.serve()
	clu.advance(window + removalInterval)
	if bus := clu.stored[0]; bus.All || bus.Has("org") {
		t.Fatalf("an organisation without load is listed as busy: %+v", bus)
	}
	flood := func(dur time.Duration) float64 {
		before := len(clu.admitted)
		for end := clu.now.Add(dur); clu.now.Before(end); {
			clu.advance(50 * time.Millisecond)
			for vmm := range clu.clients {
				clu.request(vmm)
			}
		}
		return float64(len(clu.admitted)-before) / dur.Seconds()
	}
	clu.storeDown = true
	flood(window)
	if got := flood(window); got > per*1.2*(notBusyShare+0.05) {
		t.Errorf("%.0f requests per second were admitted of an organisation that the store does not list as busy", got)
	}
	clu.storeDown = false
	flood(window)
	if got := flood(window); got < per {
		t.Errorf("%.0f requests per second were admitted of a busy organisation, want at least %v", got, per)
	}
}

// TestRequestsWithinTheLimitAreAdmitted sends load of 90% of the rate through many VMs. Every request
// must be admitted, or else an organisation would lose part of its limit by spreading its load over
// many VMs.
func TestRequestsWithinTheLimitAreAdmitted(t *testing.T) {
	const per = 40.0
	clu := newCluster(48, limitOf(per, per))
	clu.serve()
	clu.advance(2 * window)
	rnd := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for range 600 {
		clu.advance(50 * time.Millisecond)
		for range int(0.9*per*0.05 + rnd.Float64()) {
			clu.request(rnd.IntN(len(clu.clients)))
			sent++
		}
	}
	clu.advance(time.Second)
	if len(clu.admitted) != sent {
		t.Errorf("%d of %d requests within the rate were admitted", len(clu.admitted), sent)
	}
}

// TestLossOfOneServerRefusesFewRequests sends load of 60% of the rate while one of the three
// servers never answers. The other two, which grant two thirds of the rate, must serve nearly all.
func TestLossOfOneServerRefusesFewRequests(t *testing.T) {
	const per = 40.0
	clu := newCluster(48, limitOf(per, per))
	clu.serve()
	clu.advance(2 * window)
	clu.servers[1] = nil
	rnd := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for range 400 {
		clu.advance(50 * time.Millisecond)
		for range int(0.6*per*0.05 + rnd.Float64()) {
			clu.request(rnd.IntN(len(clu.clients)))
			sent++
		}
	}
	clu.advance(time.Second)
	if served := float64(len(clu.admitted)) / float64(sent); served < 0.97 {
		t.Errorf("a share of %.3f of the requests was admitted", served)
	}
}

// TestVMsWithoutServersSpendAShareOfTheRate runs all VMs without any server. As long as a server may
// still grant tokens, the VMs together may spend only a part of the policy's Excess and Slack beside
// it: 10 requests per second here, a tenth of the rate. Once it is known that no server does, they
// may spend vacantShare of the rate. A refused caller must be told to retry no later than when
// servers are queried again.
func TestVMsWithoutServersSpendAShareOfTheRate(t *testing.T) {
	for _, one := range []struct {
		vacant      bool
		least, most float64
	}{{false, 0.08, 0.25}, {true, 0.8, 1.0}} {
		clu := newCluster(48, limitOf(100, 100))
		clu.setServerView([]string{"", "", ""}, one.vacant)
		for range 200 {
			clu.advance(50 * time.Millisecond)
			for vmm := range clu.clients {
				clu.request(vmm)
			}
		}
		if clu.longestRetry > unresponsivePause {
			t.Errorf("vacant %v: a refused caller is told to retry after %v, servers are queried again after %v", one.vacant, clu.longestRetry, unresponsivePause)
		}
		share := float64(len(clu.admitted)) / (100 * 10)
		if share < one.least || share > one.most {
			t.Errorf("vacant %v: VMs without servers spent %.2f of the rate, want %.2f to %.2f", one.vacant, share, one.least, one.most)
		}
	}
}

// TestRefusalsSpreadRetries checks that requests refused together are told to retry at different
// times.
func TestRefusalsSpreadRetries(t *testing.T) {
	clu := newCluster(1, limitOf(10, 10))
	clu.serve()
	clu.advance(window)
	srv := clu.servers[0]
	first := srv.Answer(clu.now, Query{Organisation: "org", Number: 1, Need: 3})
	second := srv.Answer(clu.now, Query{Organisation: "org", Number: 2, Need: 2})
	if first.Count != 3 || second.Count != 0 || second.RetryAfter < 400*time.Millisecond {
		t.Fatalf("got %+v and %+v", first, second)
	}
	third := srv.Answer(clu.now, Query{Organisation: "org", Number: 3, Need: 2})
	if third.RetryAfter < 2*second.RetryAfter-time.Millisecond {
		t.Errorf("later callers are told to retry after %v, earlier ones after %v", third.RetryAfter, second.RetryAfter)
	}
}

// TestServersThatAreNotReadyAreQueriedAgain queries the only server just before it begins to serve.
// It must be queried again soon enough to admit the waiting request.
func TestServersThatAreNotReadyAreQueriedAgain(t *testing.T) {
	clu := newCluster(1, limitOf(100, 100))
	clu.stored[0] = Busy{}
	clu.setServerView([]string{"server-0", "", ""}, false)
	clu.serversStarting = true
	clu.request(0)
	clu.advance(50 * time.Millisecond)
	clu.serve(0)
	for range 4 {
		clu.advance(50 * time.Millisecond)
	}
	if len(clu.admitted) != 1 {
		t.Errorf("%d requests were admitted 0.2 s after the server began to serve, want 1", len(clu.admitted))
	}
}

// TestSuccessorsOfServersAreQueried replaces a server while a Query to it is unanswered. Whether the
// old VM never answers or answers that it does not serve says nothing about the VM that took over,
// which the client must query in both cases.
func TestSuccessorsOfServersAreQueried(t *testing.T) {
	for _, one := range []struct {
		name  string
		leave func(cli *Client, now clock.Instant, qry Query)
	}{
		{"old server does not answer", func(cli *Client, now clock.Instant, _ Query) { cli.Tick(now.Add(queryTimeout)) }},
		{"old server answers that it does not serve", func(cli *Client, now clock.Instant, qry Query) {
			cli.HandleGrant(now, Grant{Organisation: qry.Organisation, Number: qry.Number, NotServing: true})
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			clu := newCluster(1, limitOf(100, 100))
			cli := clu.clients[0]
			clu.setServerView([]string{"", "", ""}, false)
			clu.advance(2 * startupTime)
			clu.setServerView([]string{"old", "", ""}, false)
			cli.Admit(clu.now, "org", 1)
			qry := queryTo(t, cli, "old")
			clu.setServerView([]string{"new", "", ""}, false)
			one.leave(cli, clu.now, qry)
			queryTo(t, cli, "new")
		})
	}
}

// queryTo returns the Query that was sent to a server.
func queryTo(t *testing.T, cli *Client, server string) Query {
	t.Helper()
	outs := cli.TakeOutputs()
	for _, out := range outs {
		if snd, ok := out.(Send); ok && snd.To == server {
			return snd.Query
		}
	}
	t.Fatalf("server %s is not queried; outputs: %+v", server, outs)
	return Query{}
}

// TestServerForgetsUnusedAccounts grants tokens to many organisations once. After a window without
// further queries the server must keep no account, or its memory would grow with every organisation
// that was ever served; and one that returns must get what its limit allows, and no more.
func TestServerForgetsUnusedAccounts(t *testing.T) {
	now := clock.At(time.Hour)
	pol := Policy{Window: 5 * time.Second}
	srv := NewServer(now, pol, 1, Busy{}, limitOf(10, 20))
	now = now.Add(2 * pol.Window)
	for num := range 100 {
		srv.Answer(now, Query{Organisation: fmt.Sprint("org-", num), Number: 1, Need: 5})
	}
	for range 10 {
		now = now.Add(updateInterval)
		srv.Desired(now)
	}
	if len(srv.accounts) > 0 {
		t.Errorf("%d accounts are left", len(srv.accounts))
	}
	if gra := srv.Answer(now, Query{Organisation: "org-1", Number: 2, Need: 1000}); gra.Count != 20 {
		t.Errorf("an organisation that returns got %d tokens, want its burst of 20", gra.Count)
	}
}
