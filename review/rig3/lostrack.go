package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// rackWorkers is how many of the five workers of a service stand in the rack that loses power, and rackRounds how often it
	// does so at most.
	rackWorkers = 4
	rackRounds  = 11
	// darkTime is how long the rack has no power, and calmTime for how long it has power before that.
	darkTime = 6 * time.Second
	calmTime = 2500 * time.Millisecond
	// beatJitter is by which share the time between two heartbeats of a worker varies.
	beatJitter = 0.05
	// silentBeats is after how many heartbeats that did not come the store removes an entry. It looks once in sweepInterval.
	silentBeats   = 3
	sweepInterval = time.Second
	// keptConnections is how many kept connections clients have at each machine for requests to the other service, and
	// soundWork how long its workers, which never fail, work on one.
	keptConnections = 6
	soundWork       = 400 * time.Millisecond
	// rackMachines is the number of machines of the system, and soundWorkers that of the workers of the other service.
	rackMachines = 6
	soundWorkers = 8
	// rackWork is how long the workers of the service with the rack work on a request.
	rackWork = 300 * time.Millisecond
	// maxCut is how many requests may be cut (LOST).
	maxCut = 3
	// rackPause is the mean time between two requests at a machine for the service with the rack.
	rackPause = 1500 * time.Millisecond
)

func init() { cases["12"] = lostRack }

// rackWorker is a worker that can lose power: its machine then answers nothing, not even the opening of a connection.
type rackWorker struct {
	*worker

	lis *net.TCPListener
	mut sync.Mutex
	// dark is closed once the power is lost.
	dark chan struct{}
	// held keeps connections open on which a dark machine answers nothing.
	held []net.Conn
	// beatAt is when the entry was last written.
	beatAt time.Time
}

func startRackWorker(sto *store, rec *record, id, zone string) (*rackWorker, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rwk := &rackWorker{lis: lis.(*net.TCPListener), dark: make(chan struct{})}
	rwk.worker = &worker{id: id, service: "svc-a", zone: zone, address: lis.Addr().String(), born: time.Now().UnixMilli(), sto: sto, rec: rec}
	rwk.handle = func(wkr *worker, con net.Conn, req *http.Request) bool {
		if rwk.isDark() {
			rwk.hold(con)
			select {}
		}
		body, _ := io.ReadAll(req.Body)
		wkr.note(req, string(body), true)
		time.Sleep(rackWork)
		if rwk.isDark() {
			rwk.hold(con)
			select {}
		}
		txt := "done\n"
		_, err := fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Attempt-Id"), signature(req), len(txt), txt)
		return err == nil
	}
	go rwk.accept()
	go rwk.beats()
	return rwk, nil
}

func (rwk *rackWorker) isDark() bool {
	select {
	case <-rwk.dark:
		return true
	default:
		return false
	}
}

func (rwk *rackWorker) hold(con net.Conn) {
	rwk.mut.Lock()
	defer rwk.mut.Unlock()
	rwk.held = append(rwk.held, con)
}

func (rwk *rackWorker) accept() {
	for {
		con, err := rwk.lis.Accept()
		if err != nil {
			return
		}
		if rwk.isDark() {
			rwk.hold(con)
			return
		}
		go rwk.serve(con)
	}
}

// beats writes the entry until the power is lost.
func (rwk *rackWorker) beats() {
	for !rwk.isDark() {
		rwk.mut.Lock()
		rwk.beatAt = time.Now()
		rwk.mut.Unlock()
		rwk.beat()
		time.Sleep(time.Duration(float64(heartbeat) * (1 + beatJitter*(2*rand.Float64()-1))))
	}
}

// expired reports whether the store removes the entry.
func (rwk *rackWorker) expired() bool {
	rwk.mut.Lock()
	defer rwk.mut.Unlock()
	return time.Since(rwk.beatAt) > silentBeats*heartbeat
}

// losePower makes the machine answer nothing any more: the queue of new connections is made short and filled, so that the
// kernel drops what would open another one.
func (rwk *rackWorker) losePower() {
	close(rwk.dark)
	raw, err := rwk.lis.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 3 {
		if con, err := net.DialTimeout("tcp", rwk.address, 50*time.Millisecond); err == nil {
			rwk.hold(con)
		}
	}
}

// rack is the workers that lose power together.
type rack struct {
	sto   *store
	rec   *record
	boots int
	now   []*rackWorker
	mut   sync.Mutex
	// old holds the workers without power whose entries are not removed yet.
	old []*rackWorker
}

// start starts all workers of the rack.
func (rck *rack) start() error {
	rck.boots++
	rck.now = nil
	for num := range rackWorkers {
		rwk, err := startRackWorker(rck.sto, rck.rec, fmt.Sprintf("i-rack-%d-%d", rck.boots, num), "zone-0")
		if err != nil {
			return err
		}
		rck.now = append(rck.now, rwk)
	}
	rck.rec.printf("the rack has power")
	return nil
}

func (rck *rack) losePower() {
	rck.rec.printf("the rack loses power")
	for _, rwk := range rck.now {
		rwk.losePower()
	}
	rck.mut.Lock()
	defer rck.mut.Unlock()
	rck.old = append(rck.old, rck.now...)
}

// sweep removes the entries of workers that have been silent for too long, as the store does.
func (rck *rack) sweep() {
	for {
		time.Sleep(sweepInterval)
		rck.mut.Lock()
		var left []*rackWorker
		for _, rwk := range rck.old {
			if !rwk.expired() {
				left = append(left, rwk)
				continue
			}
			rck.sto.drop("servers", rwk.id)
			rck.rec.printf("store: the entry of %s is removed", rwk.id)
		}
		rck.old = left
		rck.mut.Unlock()
	}
}

// rackConfiguration has one route to the service with the rack, and one to another service.
func rackConfiguration() map[string]any {
	con := configuration(1, keyKept)
	routes := con["routes"].(map[string]any)
	other := configuration(1, keyKept)["routes"].(map[string]any)["read"].(map[string]any)
	other["pathPrefix"], other["service"] = "/other/", "svc-b"
	routes["other"] = other
	con["services"].(map[string]any)["svc-b"] = map[string]any{"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": false}
	con["tenants"] = map[string]any{"org-a": map[string]any{"apiKeys": []string{keyKept}, "priority": 1}}
	return con
}

// cutCounter counts the requests that were cut at machines which nobody has touched.
type cutCounter struct {
	mut sync.Mutex
	cut []string
}

// keep sends requests one after the other on a kept connection, until ctx ends. It notes those that were passed on to a sound worker
// and whose connection then ended without an answer.
func (cnt *cutCounter) keep(ctx context.Context, rec *record, mac *vm, name string, sound []*worker) {
	for num := 0; ctx.Err() == nil; {
		con, err := net.DialTimeout("tcp", mac.front, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		rdr := bufio.NewReader(con)
		for ctx.Err() == nil {
			num++
			att := attempt{method: http.MethodGet, target: "/other/x", host: host, id: fmt.Sprintf("%s-%d", name, num), key: keyKept, budget: 4 * time.Second}
			out := exchange(con, rdr, att)
			if out.err == nil {
				continue
			}
			rec.printf("client: id %s at machine %s: %v", att.id, mac.name, out)
			var late net.Error
			if !errors.As(out.err, &late) || !late.Timeout() {
				cnt.note(mac, att.id, sound)
			}
			break
		}
		_ = con.Close()
	}
}

func (cnt *cutCounter) note(mac *vm, id string, sound []*worker) {
	for _, wkr := range sound {
		if len(wkr.runs(id)) > 0 {
			cnt.mut.Lock()
			cnt.cut = append(cnt.cut, fmt.Sprintf("request %s, which worker %s ran, at machine %s", id, wkr.id, mac.name))
			cnt.mut.Unlock()
			return
		}
	}
}

func (cnt *cutCounter) list() []string {
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	return append([]string(nil), cnt.cut...)
}

// lostRack lets the rack with four of the five workers of a service lose power again and again, while clients send requests to
// another service, whose workers are sound.
func lostRack(rec *record, flt *fleet, trouble bool) (verdict, error) {
	sto, err := newStore()
	if err != nil {
		return nil, err
	}
	sto.put("config", "main", rackConfiguration())
	rck := &rack{sto: sto, rec: rec}
	if err := rck.start(); err != nil {
		return nil, err
	}
	go rck.sweep()
	if _, err := startWorker(sto, rec, "i-single", "svc-a", "zone-1", serveWell(rackWork)); err != nil {
		return nil, err
	}
	var sound []*worker
	for num := range soundWorkers {
		wkr, err := startWorker(sto, rec, fmt.Sprintf("i-sound-%d", num), "svc-b", fmt.Sprintf("zone-%d", num%3), serveWell(soundWork))
		if err != nil {
			return nil, err
		}
		sound = append(sound, wkr)
	}
	for num := range rackMachines {
		mac, err := flt.add(fmt.Sprintf("edge-%d", num), fmt.Sprintf("zone-%d", num%3), sto.address)
		if err == nil {
			err = mac.start()
		}
		if err != nil {
			return nil, err
		}
	}
	for _, mac := range flt.vms {
		if err := mac.awaitReady(); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cnt := new(cutCounter)
	for num, mac := range flt.vms {
		for one := range keptConnections {
			go cnt.keep(ctx, rec, mac, fmt.Sprintf("kept-%d-%d", num, one), sound)
		}
		go pressRack(ctx, rec, mac)
	}
	time.Sleep(5 * time.Second) // All machines are in touch then.
	for range rackRounds {
		time.Sleep(calmTime)
		if trouble {
			rck.losePower()
		}
		for end := time.Now().Add(darkTime); time.Now().Before(end) && flt.allRunning(); {
			time.Sleep(100 * time.Millisecond)
		}
		if !flt.allRunning() {
			time.Sleep(time.Second)
			break
		}
		if trouble {
			if err := rck.start(); err != nil {
				return nil, err
			}
		}
	}
	var found verdict
	cut := cnt.list()
	for _, mac := range flt.vms {
		if !mac.running() {
			rec.printf("machine %s ended by itself: %s", mac.name, mac.lastWords())
		}
	}
	if len(cut) > maxCut {
		found = append(found, fmt.Sprintf("LOST: %d requests on kept connections were passed on to sound workers and ended without an answer, at machines that nobody had touched", len(cut)))
		found = append(found, cut...)
	}
	return found, nil
}

// allRunning reports whether no process has exited.
func (flt *fleet) allRunning() bool {
	for _, mac := range flt.vms {
		if !mac.running() {
			return false
		}
	}
	return true
}

// pressRack sends requests to the service with the rack.
func pressRack(ctx context.Context, rec *record, mac *vm) {
	for num := 0; ctx.Err() == nil; num++ {
		go rec.sendQuietly(mac.front, attempt{
			method: http.MethodPost, target: "/order/x", host: host, id: fmt.Sprintf("rack-%s-%d", mac.name, num), key: keyKept, body: "order", budget: 4 * time.Second,
		})
		time.Sleep(time.Duration(float64(rackPause) * (0.5 + rand.Float64())))
	}
}
