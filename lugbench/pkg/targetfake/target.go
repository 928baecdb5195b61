// Package targetfake is a small stand-in for a worker of a service, with gray
// faults.
package targetfake

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"marigoldlug.example/core/verdict"
	"marigoldlug.example/lugd/pkg/caller"
)

// RequestHeader names a request, so that its executions can be counted.
const RequestHeader = "Bench-Request"

// Faults are the ways in which a target misbehaves.
type Faults struct {
	// Latency is the time that each request takes.
	Latency time.Duration
	// Hang accepts requests and never answers.
	Hang bool
	// FailEvery fails every so many requests; 0 fails none.
	FailEvery int
	// CutBody ends the answer before its announced length.
	CutBody bool
	// Leaving tells callers that the target wants no new work.
	Leaving bool
}

// Target answers requests and counts how often each was run. It is safe for
// concurrent use.
type Target struct {
	name  string
	slots int

	mut     sync.Mutex
	faults  Faults
	running int
	count   int
	runs    map[string]int
	headers []http.Header
	uris    []string
}

// New returns a target that runs slots requests at a time and sheds more.
func New(name string, slots int) *Target {
	return &Target{name: name, slots: slots, runs: make(map[string]int)}
}

// SetFaults replaces the faults.
func (tgt *Target) SetFaults(fls Faults) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.faults = fls
}

// Runs returns how often the request of a name was run.
func (tgt *Target) Runs(request string) int {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return tgt.runs[request]
}

// AllRuns returns how often each request was run.
func (tgt *Target) AllRuns() map[string]int {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return maps.Clone(tgt.runs)
}

// Count returns the number of requests that were run.
func (tgt *Target) Count() int {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return tgt.count
}

// Headers returns the headers of every request received.
func (tgt *Target) Headers() []http.Header {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return append([]http.Header(nil), tgt.headers...)
}

// URIs returns the URI of every request received.
func (tgt *Target) URIs() []string {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return append([]string(nil), tgt.uris...)
}

func (tgt *Target) begin(req *http.Request) (fls Faults, number int, shed bool) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.headers = append(tgt.headers, req.Header.Clone())
	tgt.uris = append(tgt.uris, req.RequestURI)
	if tgt.running >= tgt.slots {
		return tgt.faults, 0, true
	}
	tgt.running++
	tgt.count++
	tgt.runs[req.Header.Get(RequestHeader)]++
	return tgt.faults, tgt.count, false
}

func (tgt *Target) end() {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.running--
}

// ServeHTTP answers one request as the faults have it.
func (tgt *Target) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	fls, number, shed := tgt.begin(req)
	if shed {
		wrt.Header().Set(verdict.Header, verdict.NotRun.String())
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer tgt.end()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	tgt.addTrailer(req.Trailer)
	if fls.Hang {
		<-req.Context().Done()
		return
	}
	if !pause(req, fls.Latency) {
		return
	}
	if fls.Leaving {
		wrt.Header().Set(caller.LeavingHeader, "true")
	}
	if fls.FailEvery > 0 && number%fls.FailEvery == 0 {
		wrt.WriteHeader(http.StatusBadGateway)
		return
	}
	tgt.answer(wrt, req, body, fls.CutBody)
}

// addTrailer keeps the trailers of a request among the headers received.
func (tgt *Target) addTrailer(trl http.Header) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.headers = append(tgt.headers, trl.Clone())
}

func pause(req *http.Request, dur time.Duration) bool {
	if dur <= 0 {
		return true
	}
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(dur):
		return true
	}
}

func (tgt *Target) answer(wrt http.ResponseWriter, req *http.Request, body []byte, cut bool) {
	txt := fmt.Sprintf("%s %s %s %s %d\n", tgt.name, req.Header.Get(RequestHeader), req.Method, req.URL.Path, len(body))
	if cut {
		wrt.Header().Set("Content-Length", fmt.Sprint(2*len(txt)))
	}
	_, _ = io.WriteString(wrt, txt) // A client that is gone needs no answer.
}
