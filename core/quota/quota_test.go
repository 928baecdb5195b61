package quota

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

// TestMain lets random tests draw the same in every run, unless -rapid.seed says
// otherwise.
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
	window = 5 * time.Second
	parts  = 3
)

// trm are the terms of the tests.
var trm = Policy{Window: window, Excess: 0.1, Slack: 20}

func limitOf(perSecond, burst float64) func(string) (rate.Limit, bool) {
	return func(string) (rate.Limit, bool) {
		return rate.Limit{Rate: rate.RequestsPerSecond(perSecond), Burst: rate.Requests(burst)}, true
	}
}

// world runs the clients of some VMs and the server that they ask.
type world struct {
	now     clock.Instant
	limits  func(string) (rate.Limit, bool)
	servers [parts]*Server
	// stated is what the store holds of each part's server.
	stated [parts]Busy
	// down is set while the store takes no writes, and starting while VMs that
	// are to serve say that they do not yet.
	down, starting bool
	clients        []*Client
	// admitted has when requests were admitted.
	admitted []time.Duration
	next     uint64
	// longest is the longest time after which a refused caller may come back.
	longest time.Duration
}

func newWorld(vms int, limits func(string) (rate.Limit, bool)) *world {
	wld := &world{now: clock.At(time.Hour), limits: limits}
	for num := range wld.stated {
		wld.stated[num] = Busy{All: true}
	}
	for num := range vms {
		wld.clients = append(wld.clients, NewClient(rand.New(rand.NewPCG(7, uint64(num))), trm, limits))
	}
	wld.reach([]string{"server-0", "server-1", "server-2"}, false)
	return wld
}

func (wld *world) reach(servers []string, vacant bool) {
	for num, cli := range wld.clients {
		cli.SetServerView(ServerView{Servers: servers, Preferred: num % parts, Vacant: vacant, VMs: len(wld.clients)})
	}
}

// serve begins to serve a part, or every part.
func (wld *world) serve(nums ...int) {
	if len(nums) == 0 {
		nums = []int{0, 1, 2}
	}
	for _, num := range nums {
		wld.servers[num] = NewServer(wld.now, trm, parts, wld.stated[num], wld.limits)
		wld.stated[num] = Busy{All: true}
	}
}

// state has the store hold what the servers want.
func (wld *world) state() {
	for num, srv := range wld.servers {
		if srv == nil {
			continue
		}
		srv.SetStored(wld.stated[num])
		if bus, due := srv.Desired(wld.now); due {
			wld.stated[num] = bus
		}
	}
}

func (wld *world) decided(dec Decision) {
	wld.longest = max(wld.longest, dec.RetryAfter)
	if dec.Admitted {
		wld.admitted = append(wld.admitted, wld.now.Mono)
	}
}

// request sends one request through a VM and lets messages arrive at once.
func (wld *world) request(vmm int) {
	wld.next++
	if dec, decided := wld.clients[vmm].Admit(wld.now, "org", wld.next); decided {
		wld.decided(dec)
	}
	wld.deliver(wld.clients[vmm])
}

func (wld *world) deliver(cli *Client) {
	for outs := cli.TakeOutputs(); len(outs) > 0; outs = cli.TakeOutputs() {
		for _, out := range outs {
			switch out := out.(type) {
			case Decision:
				wld.decided(out)
			case Send:
				switch srv := wld.servers[out.Query.Server]; {
				case srv != nil:
					cli.HandleGrant(wld.now, srv.Answer(wld.now, out.Query))
				case wld.starting:
					cli.HandleGrant(wld.now, Grant{Organisation: out.Query.Organisation, Number: out.Query.Number, NotServing: true})
				}
			}
		}
	}
}

func (wld *world) pass(dur time.Duration) {
	wld.now = wld.now.Add(dur)
	if !wld.down {
		wld.state()
	}
	for _, cli := range wld.clients {
		cli.Tick(wld.now)
		wld.deliver(cli)
	}
}

// most returns the greatest number admitted in any window.
func (wld *world) most() int {
	most, from := 0, 0
	for at := range wld.admitted {
		for wld.admitted[at]-wld.admitted[from] >= window {
			from++
		}
		most = max(most, at-from+1)
	}
	return most
}

// TestNoWindowExceedsTheLimit lets organisations ask for little and for far more
// than they may, by turns, while servers end, one or all, and others begin, or
// are not reached, and while the store is away. The bound is the stated one: the
// limit of a window, a tenth beside it and 20 requests.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		per := float64(rapid.IntRange(2, 120).Draw(t, "rate"))
		seed := rapid.Uint64().Draw(t, "seed")
		rnd := rand.New(rand.NewPCG(seed, seed))
		wld := newWorld(rapid.IntRange(3, 48).Draw(t, "vms"), limitOf(per, per))
		wld.serve()
		wld.pass(window)
		floods := []float64{rapid.Float64Range(0.3, 8).Draw(t, "flood"), rapid.Float64Range(0.3, 8).Draw(t, "otherFlood")}
		gone, flood := [parts]int{}, 0
		for range 600 {
			wld.pass(50 * time.Millisecond)
			if rnd.IntN(100) == 0 {
				flood = 1 - flood
			}
			if rnd.IntN(60) == 0 {
				wld.down = !wld.down
			}
			for range int(per*floods[flood]*0.05 + rnd.Float64()) {
				wld.request(rnd.IntN(len(wld.clients)))
			}
			all := rnd.IntN(300) == 0
			for num := range gone {
				switch {
				case gone[num] == 0 && (all || rnd.IntN(200) == 0):
					wld.servers[num], gone[num] = nil, 1+rnd.IntN(60)
				case gone[num] > 1:
					gone[num]--
				case gone[num] == 1 && !wld.down:
					gone[num] = 0
					wld.serve(num)
				}
			}
		}
		allowed := (per*window.Seconds()+per)*(1+trm.Excess) + trm.Slack
		if most := wld.most(); float64(most) > allowed {
			t.Fatalf("%d requests in a window, %v are allowed", most, allowed)
		}
	})
}

// TestCallersReturnAfterTheLossOfAll ends every VM while organisations ask for
// half of their rate. Those who called meanwhile come at once as the VMs are
// back, and more as usual.
func TestCallersReturnAfterTheLossOfAll(t *testing.T) {
	const (
		per    = 60.0
		demand = 0.5
		step   = 50 * time.Millisecond
		lost   = 1500 * time.Millisecond
	)
	wld := newWorld(32, limitOf(per, per))
	wld.serve()
	wld.pass(2 * window)
	rnd := rand.New(rand.NewPCG(3, 4))
	call := func(requests float64) (asked int) {
		for range int(requests + rnd.Float64()) {
			wld.request(rnd.IntN(len(wld.clients)))
			asked++
		}
		return asked
	}
	for range 400 {
		wld.pass(step)
		call(demand * per * step.Seconds())
	}
	stated := wld.stated
	wld = newWorld(32, limitOf(per, per))
	wld.stated = stated
	wld.reach([]string{"", "", ""}, true)
	asked := call(demand * per * lost.Seconds())
	for num := range 40 {
		wld.pass(step)
		switch num {
		case 1:
			wld.starting = true
			wld.reach([]string{"server-0", "server-1", "server-2"}, false)
		case 4:
			wld.serve()
		}
		asked += call(demand * per * step.Seconds())
	}
	wld.pass(waitTime)
	if share := float64(len(wld.admitted)) / float64(asked); share < 0.95 {
		t.Errorf("%.3f of %d requests were admitted in the first two seconds", share, asked)
	}
}

// TestBusyOrganisationsAreStatedFirst lets an organisation ask for all it may
// while the store takes no writes, and then again.
func TestBusyOrganisationsAreStatedFirst(t *testing.T) {
	const per = 60.0
	wld := newWorld(6, limitOf(per, per))
	wld.serve()
	wld.pass(window + restInterval)
	if bus := wld.stated[0]; bus.All || bus.Has("org") {
		t.Fatalf("an organisation that asks for nothing is busy: %+v", bus)
	}
	flood := func(dur time.Duration) float64 {
		before := len(wld.admitted)
		for end := wld.now.Add(dur); wld.now.Before(end); {
			wld.pass(50 * time.Millisecond)
			for vmm := range wld.clients {
				wld.request(vmm)
			}
		}
		return float64(len(wld.admitted)-before) / dur.Seconds()
	}
	wld.down = true
	flood(window)
	if got := flood(window); got > per*1.2*(calmShare+0.05) {
		t.Errorf("%.0f a second were admitted that the store did not allow", got)
	}
	wld.down = false
	flood(window)
	if got := flood(window); got < per {
		t.Errorf("%.0f a second were admitted of an organisation that may have %v", got, per)
	}
}

// TestRequestsWithinTheLimitAreAdmitted asks for 90% of the rate through many
// VMs.
func TestRequestsWithinTheLimitAreAdmitted(t *testing.T) {
	const per = 40.0
	wld := newWorld(48, limitOf(per, per))
	wld.serve()
	wld.pass(2 * window)
	rnd := rand.New(rand.NewPCG(1, 2))
	asked := 0
	for range 600 {
		wld.pass(50 * time.Millisecond)
		for range int(0.9*per*0.05 + rnd.Float64()) {
			wld.request(rnd.IntN(len(wld.clients)))
			asked++
		}
	}
	wld.pass(time.Second)
	if len(wld.admitted) != asked {
		t.Errorf("%d of %d requests within the rate were admitted", len(wld.admitted), asked)
	}
}

// TestOneLostServerIsHardlyFelt asks for 60% of the rate while one of the servers
// is silent for good.
func TestOneLostServerIsHardlyFelt(t *testing.T) {
	const per = 40.0
	wld := newWorld(48, limitOf(per, per))
	wld.serve()
	wld.pass(2 * window)
	wld.servers[1] = nil
	rnd := rand.New(rand.NewPCG(1, 2))
	asked := 0
	for range 400 {
		wld.pass(50 * time.Millisecond)
		for range int(0.6*per*0.05 + rnd.Float64()) {
			wld.request(rnd.IntN(len(wld.clients)))
			asked++
		}
	}
	wld.pass(time.Second)
	if served := float64(len(wld.admitted)) / float64(asked); served < 0.97 {
		t.Errorf("%.3f of the requests were admitted", served)
	}
}

// TestVMsAloneSpendAPartOnly cuts every VM off from the server.
func TestVMsAloneSpendAPartOnly(t *testing.T) {
	for _, one := range []struct {
		vacant      bool
		least, most float64
	}{{false, 0.08, 0.25}, {true, 0.8, 1.0}} {
		wld := newWorld(48, limitOf(100, 100))
		wld.reach([]string{"", "", ""}, one.vacant)
		for range 200 {
			wld.pass(50 * time.Millisecond)
			for vmm := range wld.clients {
				wld.request(vmm)
			}
		}
		if wld.longest > silentTime {
			t.Errorf("vacant %v: a refused caller is told to come back after %v, servers are asked again after %v", one.vacant, wld.longest, silentTime)
		}
		share := float64(len(wld.admitted)) / (100 * 10)
		if share < one.least || share > one.most {
			t.Errorf("vacant %v: VMs alone spent %.2f of the rate, want %.2f to %.2f", one.vacant, share, one.least, one.most)
		}
	}
}

// TestRefusalsSpreadReturns refuses many at once, who are told to come back one
// after the other.
func TestRefusalsSpreadReturns(t *testing.T) {
	wld := newWorld(1, limitOf(10, 10))
	wld.serve()
	wld.pass(window)
	srv := wld.servers[0]
	first := srv.Answer(wld.now, Query{Organisation: "org", Number: 1, Need: 3})
	second := srv.Answer(wld.now, Query{Organisation: "org", Number: 2, Need: 2})
	if first.Count != 3 || second.Count != 0 || second.RetryAfter < 400*time.Millisecond {
		t.Fatalf("got %+v and %+v", first, second)
	}
	third := srv.Answer(wld.now, Query{Organisation: "org", Number: 3, Need: 2})
	if third.RetryAfter < 2*second.RetryAfter-time.Millisecond {
		t.Errorf("the next callers are told to come back after %v, those before them after %v", third.RetryAfter, second.RetryAfter)
	}
}

// TestServersThatAreNotReadyAreAskedAgain has VMs ask the only server just before
// it begins to serve.
func TestServersThatAreNotReadyAreAskedAgain(t *testing.T) {
	wld := newWorld(1, limitOf(100, 100))
	wld.stated[0] = Busy{}
	wld.reach([]string{"server-0", "", ""}, false)
	wld.starting = true
	wld.request(0)
	wld.pass(50 * time.Millisecond)
	wld.serve(0)
	for range 4 {
		wld.pass(50 * time.Millisecond)
	}
	if len(wld.admitted) != 1 {
		t.Errorf("%d requests were admitted 0.2 s after the server began", len(wld.admitted))
	}
}

// TestSuccessorsOfServersAreAsked lets a server leave while it is asked: what it says
// later, or does not say, tells nothing of the VM that serves its part now.
func TestSuccessorsOfServersAreAsked(t *testing.T) {
	for _, one := range []struct {
		name  string
		leave func(cli *Client, now clock.Instant, ask Query)
	}{
		{"it does not answer", func(cli *Client, now clock.Instant, _ Query) { cli.Tick(now.Add(askTime)) }},
		{"it says that it does not serve", func(cli *Client, now clock.Instant, ask Query) {
			cli.HandleGrant(now, Grant{Organisation: ask.Organisation, Number: ask.Number, NotServing: true})
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			wld := newWorld(1, limitOf(100, 100))
			cli := wld.clients[0]
			wld.reach([]string{"", "", ""}, false)
			wld.pass(2 * youngTime)
			wld.reach([]string{"old", "", ""}, false)
			cli.Admit(wld.now, "org", 1)
			ask := asked(t, cli, "old")
			wld.reach([]string{"new", "", ""}, false)
			one.leave(cli, wld.now, ask)
			asked(t, cli, "new")
		})
	}
}

// asked returns the ask that was sent to a server.
func asked(t *testing.T, cli *Client, server string) Query {
	t.Helper()
	outs := cli.TakeOutputs()
	for _, out := range outs {
		if snd, ok := out.(Send); ok && snd.To == server {
			return snd.Query
		}
	}
	t.Fatalf("%s is not asked: %+v", server, outs)
	return Query{}
}
