// Package targetfake is a fake of a target: it registers itself in the store, runs a
// limited number of requests at a time, and can hang, fail or cut a share of them.
package targetfake

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldlug.example/core/registry"
	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/lugd/pkg/header"
	"marigoldlug.example/platform/pkg/objects"
)

// queueLength bounds the requests that wait for a slot.
const queueLength = 12

// Faults are the latency of a target and the faults that it injects.
type Faults struct {
	// Latency is the mean time that a request takes; it varies by 30 % either way.
	Latency time.Duration
	// HangShare, FailShare and CutShare are the shares of the requests, from 0 to 1, that
	// get no response, status 500, and a truncated body. Their sum is at most 1.
	HangShare, FailShare, CutShare float64
	// StatusLine is sent instead of that of a response, if it is set. The connection then stays open.
	StatusLine string
}

// LatencyParameter is the query parameter by which a request sets its own latency.
const LatencyParameter = "work"

// PaddingParameter is the query parameter by which a request sets how many bytes follow the body of its response.
const PaddingParameter = "padding"

// CrashParameter is the query parameter of a request that crashes each target that runs it; its value
// distinguishes several such requests.
const CrashParameter = "crash"

// Crash is a crash of a target under a request.
type Crash struct {
	// Name is the value of CrashParameter, and Request the ID of the request.
	Name, Request string
	At            time.Time
}

// Run is one execution of a request.
type Run struct {
	Request      string
	Target       string
	Organisation string
	Path         string
	At           time.Time
	// Key is set if the request still carried the caller's key.
	Key bool
	// Changed is set if the body of an upload was another one than its caller sent.
	Changed bool
}

// Announcements are what a target announces in all its responses, as it sends them: the values need
// not be well-formed.
type Announcements struct {
	// Limits are the values of the header that limits the rate, each on a line of its own.
	Limits []string
	// Leaving is the value of the header that says that the target leaves; empty for none.
	Leaving string
	// RetryAfter is the value of that header. Unless it is empty, the target refuses all requests.
	RetryAfter string
}

// Arrival is a request that has reached a target, refused or not.
type Arrival struct {
	Request string
	// Crash is the value of CrashParameter.
	Crash string
	At    time.Time
	// AnsweredAt is when the head of the response was sent; zero if none was.
	AnsweredAt time.Time
	// Announced is what the response announced.
	Announced Announcements
}

// Target is a fake target. It is safe for concurrent use.
type Target struct {
	id, service, failureDomain string
	slots                      int
	names                      header.Names
	store                      *storefake.Store
	born                       time.Time
	// freeSlots has one element for each free slot.
	freeSlots chan struct{}

	mut       sync.Mutex
	faults    Faults
	announced Announcements
	waiting   int
	runs      []Run
	arrivals  []Arrival
	crashes   []Crash
	// down is called when a request crashes the target; nil if nothing but the request ends then.
	down func()
}

// New returns a target that is not registered yet.
func New(id, service, failureDomain string, slots int, nms header.Names, sto *storefake.Store) *Target {
	tgt := &Target{id: id, service: service, failureDomain: failureDomain, slots: slots, names: nms, store: sto, born: time.Now(), freeSlots: make(chan struct{}, slots)}
	for range slots {
		tgt.freeSlots <- struct{}{}
	}
	return tgt
}

// ID returns the ID of the target.
func (tgt *Target) ID() string { return tgt.id }

// FailureDomain returns the failure domain of the target.
func (tgt *Target) FailureDomain() string { return tgt.failureDomain }

// Register writes the target's registry entry, by which VMs reach it at the address.
func (tgt *Target) Register(address string, leaving bool) error {
	raw, err := tgt.encodeEntry(address, leaving)
	if err != nil {
		return err
	}
	tgt.store.PutRaw(objects.KindTargets, tgt.id, raw)
	return nil
}

// RegisterLate lets the store carry out a write of the present entry after a delay, whatever it has been sent
// meanwhile.
func (tgt *Target) RegisterLate(address string, delay time.Duration) error {
	raw, err := tgt.encodeEntry(address, false)
	if err != nil {
		return err
	}
	time.AfterFunc(delay, func() { tgt.store.PutRaw(objects.KindTargets, tgt.id, raw) })
	return nil
}

func (tgt *Target) encodeEntry(address string, leaving bool) (json.RawMessage, error) {
	tgt.mut.Lock()
	born := tgt.born
	tgt.mut.Unlock()
	return objects.EncodeTarget(registry.Entry{
		Service: tgt.service, Address: address, FailureDomain: tgt.failureDomain, Version: "v1", Slots: tgt.slots, Leaving: leaving, Born: born,
	}, 1)
}

// Deregister removes the target's registry entry.
func (tgt *Target) Deregister() { tgt.store.Remove(objects.KindTargets, tgt.id) }

// SetFaults replaces the faults.
func (tgt *Target) SetFaults(fls Faults) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.faults = fls
}

// Announce replaces what the target announces.
func (tgt *Target) Announce(ann Announcements) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.announced = ann
}

// Restart makes the target another run of itself, which announces nothing. It must be registered again.
func (tgt *Target) Restart() {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.born, tgt.announced = time.Now(), Announcements{}
}

// OnCrash sets what is called when a request crashes the target, once for each run of it. It must close the
// target's port and its connections.
func (tgt *Target) OnCrash(down func()) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.down = down
}

// Crashes returns all crashes.
func (tgt *Target) Crashes() []Crash {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return append([]Crash(nil), tgt.crashes...)
}

// crash records that a request crashes the target, unless it has crashed since its last start.
func (tgt *Target) crash(req *http.Request) {
	tgt.mut.Lock()
	down := tgt.down
	if last := len(tgt.crashes) - 1; last >= 0 && tgt.crashes[last].At.After(tgt.born) {
		down = nil
	} else {
		tgt.crashes = append(tgt.crashes, Crash{Name: req.URL.Query().Get(CrashParameter), Request: req.Header.Get(tgt.names.Request), At: time.Now()})
	}
	tgt.mut.Unlock()
	if down != nil {
		down()
	}
}

// Arrivals returns all requests that have reached the target.
func (tgt *Target) Arrivals() []Arrival {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return append([]Arrival(nil), tgt.arrivals...)
}

// Runs returns all executions so far.
func (tgt *Target) Runs() []Run {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return append([]Run(nil), tgt.runs...)
}

// ServeHTTP runs one request, with the faults that are set. It refuses requests that
// expect another target, and those beyond queueLength.
func (tgt *Target) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	hdr := wrt.Header()
	if expected := req.Header.Get(tgt.names.ExpectTarget); expected != "" && expected != tgt.id {
		hdr.Set(tgt.names.Target, tgt.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	number, refuses := tgt.arrived(req)
	if refuses {
		hdr.Set(tgt.names.Request, req.Header.Get(tgt.names.Request))
	}
	if refuses || !tgt.acquire(req) {
		tgt.announce(hdr, number)
		hdr.Set(tgt.names.NotRun, "1")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { tgt.freeSlots <- struct{}{} }()
	fls := tgt.startRun(req)
	hdr.Set(tgt.names.Request, req.Header.Get(tgt.names.Request))
	if req.URL.Query().Has(EarlyParameter) {
		tgt.answerEarly(wrt, req)
		return
	}
	if err := tgt.readBody(req); err != nil {
		return // The VM has closed the connection.
	}
	if latency, err := time.ParseDuration(req.URL.Query().Get(LatencyParameter)); err == nil {
		fls.Latency = latency
	}
	draw := rand.Float64()
	if draw < fls.HangShare {
		<-req.Context().Done()
		return
	}
	if !sleep(req, time.Duration(float64(fls.Latency)*(0.7+0.6*rand.Float64()))) {
		return
	}
	if req.URL.Query().Has(CrashParameter) {
		tgt.crash(req)
		panic(http.ErrAbortHandler) // It closes the connection without a response.
	}
	tgt.announce(hdr, number)
	if draw -= fls.HangShare; draw < fls.FailShare {
		wrt.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fls.StatusLine != "" {
		tgt.sendStatusLine(wrt, req, fls.StatusLine)
		return
	}
	padding, _ := strconv.Atoi(req.URL.Query().Get(PaddingParameter)) // Without a number there is none.
	txt := PaddedBody(req.Header.Get(tgt.names.Request), padding)
	if draw -= fls.FailShare; draw < fls.CutShare {
		hdr.Set("Content-Length", fmt.Sprint(2*len(txt)))
	}
	_, _ = io.WriteString(wrt, txt) // The VM may have closed the connection.
}

// sendStatusLine sends a head with the given status line, and closes the connection once the VM does.
func (tgt *Target) sendStatusLine(wrt http.ResponseWriter, req *http.Request, line string) {
	con, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		return // The VM has closed the connection.
	}
	defer func() { _ = con.Close() }()
	_, _ = fmt.Fprintf(con, "%s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", line, tgt.names.Request, req.Header.Get(tgt.names.Request))
	_ = con.SetReadDeadline(time.Now().Add(statusLineTime))
	_, _ = con.Read(make([]byte, 1))
}

// statusLineTime bounds how long a connection stays open after Faults.StatusLine.
const statusLineTime = 10 * time.Second

// arrived records a request, and returns its number and whether the target refuses it.
func (tgt *Target) arrived(req *http.Request) (number int, refuses bool) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.arrivals = append(tgt.arrivals, Arrival{Request: req.Header.Get(tgt.names.Request), Crash: req.URL.Query().Get(CrashParameter), At: time.Now()})
	return len(tgt.arrivals) - 1, tgt.announced.RetryAfter != ""
}

// announce adds what the target announces to the head of the response to an arrival.
func (tgt *Target) announce(hdr http.Header, number int) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	ann := tgt.announced
	for _, val := range ann.Limits {
		hdr.Add(tgt.names.RateLimit, val)
	}
	if ann.Leaving != "" {
		hdr.Set(tgt.names.Leaving, ann.Leaving)
	}
	if ann.RetryAfter != "" {
		hdr.Set("Retry-After", ann.RetryAfter)
	}
	tgt.arrivals[number].AnsweredAt, tgt.arrivals[number].Announced = time.Now(), ann
}

// ResponseBody returns the body of the response to the request with the given ID.
func ResponseBody(request string) string { return "done: " + request + "\n" }

// PaddedBody returns that body with padding of a length in bytes.
func PaddedBody(request string, padding int) string {
	return ResponseBody(request) + strings.Repeat("x", max(padding, 0))
}

// acquire waits for a slot, and reports whether it got one. It doesn't wait if
// queueLength requests wait already.
func (tgt *Target) acquire(req *http.Request) bool {
	tgt.mut.Lock()
	full := tgt.waiting >= queueLength
	if !full {
		tgt.waiting++
	}
	tgt.mut.Unlock()
	if full {
		return false
	}
	defer func() {
		tgt.mut.Lock()
		tgt.waiting--
		tgt.mut.Unlock()
	}()
	select {
	case <-tgt.freeSlots:
		return true
	case <-req.Context().Done():
		return false
	}
}

// startRun records that a request runs, and returns the faults to inject.
func (tgt *Target) startRun(req *http.Request) Faults {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.runs = append(tgt.runs, Run{
		Request: req.Header.Get(tgt.names.Request), Target: tgt.id, Organisation: req.Header.Get(tgt.names.Organisation), Path: req.URL.Path, At: time.Now(),
		Key: req.Header.Get("Authorization") != "",
	})
	return tgt.faults
}

// sleep waits, and reports whether the request was not canceled meanwhile.
func sleep(req *http.Request, dur time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(dur):
		return true
	}
}
