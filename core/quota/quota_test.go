package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const window = 5 * time.Second

func limitOf(perSecond, burst float64) func(string) (rate.Limit, bool) {
	return func(string) (rate.Limit, bool) {
		return rate.Limit{Rate: rate.RequestsPerSecond(perSecond), Burst: rate.Requests(burst)}, true
	}
}

// world runs the clients of some VMs and the server that they ask.
type world struct {
	now     clock.Instant
	limits  func(string) (rate.Limit, bool)
	server  *Server
	clients []*Client
	// admitted has when requests were admitted.
	admitted []time.Duration
	next     uint64
}

func newWorld(vms int, limits func(string) (rate.Limit, bool)) *world {
	wld := &world{now: clock.At(time.Hour), limits: limits}
	for num := range vms {
		wld.clients = append(wld.clients, NewClient(rand.New(rand.NewPCG(7, uint64(num))), limits))
	}
	wld.reach("server", false)
	return wld
}

func (wld *world) reach(server string, vacant bool) {
	for _, cli := range wld.clients {
		cli.SetReach(Reach{Server: server, Vacant: vacant, VMs: len(wld.clients)})
	}
}

func (wld *world) serve() { wld.server = NewServer(wld.now, window, wld.limits) }

func (wld *world) decided(dec Decided) {
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
	for outs := cli.Take(); len(outs) > 0; outs = cli.Take() {
		for _, out := range outs {
			switch out := out.(type) {
			case Decided:
				wld.decided(out)
			case Send:
				if ask, ok := out.Message.(Ask); ok && wld.server != nil {
					cli.Granted(wld.now, wld.server.Answer(wld.now, ask))
				}
			}
		}
	}
}

func (wld *world) pass(dur time.Duration) {
	wld.now = wld.now.Add(dur)
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

// TestNoWindowExceedsTheLimit lets organisations ask for far more than they
// may, while the server ends and others begin, or is not reached. The bound is
// the stated one: the limit of a window, a tenth beside it and 20 requests.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		per := float64(rapid.IntRange(2, 120).Draw(t, "rate"))
		seed := rapid.Uint64().Draw(t, "seed")
		rnd := rand.New(rand.NewPCG(seed, seed))
		wld := newWorld(rapid.IntRange(3, 48).Draw(t, "vms"), limitOf(per, per))
		wld.serve()
		wld.pass(window)
		flood := rapid.Float64Range(0.5, 8).Draw(t, "flood")
		gone := 0
		for range 400 {
			wld.pass(50 * time.Millisecond)
			for range int(per*flood*0.05 + rnd.Float64()) {
				wld.request(rnd.IntN(len(wld.clients)))
			}
			switch {
			case gone == 0 && rnd.IntN(200) == 0:
				wld.server, gone = nil, 1+rnd.IntN(60)
			case gone > 1:
				gone--
			case gone == 1:
				gone = 0
				wld.serve()
			}
		}
		allowed := (per*window.Seconds()+per)*1.1 + 20
		if most := wld.most(); float64(most) > allowed {
			t.Fatalf("%d requests in a window, %v are allowed", most, allowed)
		}
	})
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

// TestVMsAloneSpendAPartOnly cuts every VM off from the server.
func TestVMsAloneSpendAPartOnly(t *testing.T) {
	for _, one := range []struct {
		vacant      bool
		least, most float64
	}{{false, 0.08, 0.25}, {true, 0.8, 1.0}} {
		wld := newWorld(48, limitOf(100, 100))
		wld.reach("", one.vacant)
		for range 200 {
			wld.pass(50 * time.Millisecond)
			for vmm := range wld.clients {
				wld.request(vmm)
			}
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
	first := wld.server.Answer(wld.now, Ask{Organisation: "org", Number: 1, Need: 10})
	second := wld.server.Answer(wld.now, Ask{Organisation: "org", Number: 2, Need: 6})
	if first.Count != 10 || second.Count != 0 || second.RetryAfter < 400*time.Millisecond {
		t.Fatalf("got %+v and %+v", first, second)
	}
	third := wld.server.Answer(wld.now, Ask{Organisation: "org", Number: 3, Need: 6})
	if third.RetryAfter < 2*second.RetryAfter-time.Millisecond {
		t.Errorf("the next callers are told to come back after %v, those before them after %v", third.RetryAfter, second.RetryAfter)
	}
}
