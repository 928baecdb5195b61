// Package platformfake is a small stand-in for the platform's object API, with
// the faults that the real one has.
package platformfake

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldlug.example/lugd/pkg/platform"
)

// Faults are the ways in which the platform misbehaves.
type Faults struct {
	// Away refuses every call.
	Away bool
	// Delay holds every answer back.
	Delay time.Duration
	// LoseAnswers makes that many next writes take effect without an answer.
	LoseAnswers int
	// StaleReads makes that many next reads answer with the value before the
	// newest.
	StaleReads int
}

// Server holds objects in memory. It is safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	mut     sync.Mutex
	objects map[string]platform.Object
	before  map[string]platform.Object
	vms     []platform.VM
	faults  Faults
	calls   int
	// reads counts the reads of each object.
	reads map[string]int
}

// New returns a server without objects.
func New() *Server {
	srv := &Server{mux: http.NewServeMux(), objects: make(map[string]platform.Object), before: make(map[string]platform.Object), reads: make(map[string]int)}
	srv.mux.HandleFunc("GET /v1/objects/{name...}", srv.get)
	srv.mux.HandleFunc("PUT /v1/objects/{name...}", srv.put)
	srv.mux.HandleFunc("DELETE /v1/objects/{name...}", srv.remove)
	srv.mux.HandleFunc("GET /v1/objects", srv.list)
	srv.mux.HandleFunc("GET /v1/vms", srv.listVMs)
	return srv
}

// SetFaults replaces the faults.
func (srv *Server) SetFaults(fls Faults) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.faults = fls
}

// SetVMs replaces the list of VMs.
func (srv *Server) SetVMs(vms []platform.VM) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.vms = slices.Clone(vms)
}

// Calls returns the number of calls so far.
func (srv *Server) Calls() int {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return srv.calls
}

// Stored returns the number of objects whose names start with prefix.
func (srv *Server) Stored(prefix string) int {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	cnt := 0
	for name := range srv.objects {
		if strings.HasPrefix(name, prefix) {
			cnt++
		}
	}
	return cnt
}

// Reads returns how often the objects whose names start with prefix were read.
func (srv *Server) Reads(prefix string) int {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	sum := 0
	for name, cnt := range srv.reads {
		if strings.HasPrefix(name, prefix) {
			sum += cnt
		}
	}
	return sum
}

// ServeHTTP answers one call, unless the faults prevent it.
func (srv *Server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	srv.mut.Lock()
	srv.calls++
	fls := srv.faults
	srv.mut.Unlock()
	if fls.Delay > 0 {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(fls.Delay):
		}
	}
	if fls.Away {
		panic(http.ErrAbortHandler)
	}
	srv.mux.ServeHTTP(wrt, req)
}

func (srv *Server) get(wrt http.ResponseWriter, req *http.Request) {
	name := req.PathValue("name")
	srv.mut.Lock()
	obj, found := srv.objects[name]
	srv.reads[name]++
	if old, had := srv.before[name]; had && srv.faults.StaleReads > 0 {
		srv.faults.StaleReads--
		obj = old
	}
	srv.mut.Unlock()
	if !found {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	setVersion(wrt, obj.Version)
	_, _ = wrt.Write(obj.Value) // A client that is gone needs no answer.
}

func setVersion(wrt http.ResponseWriter, version uint64) {
	wrt.Header().Set(platform.VersionHeader, strconv.FormatUint(version, 10))
}

func (srv *Server) put(wrt http.ResponseWriter, req *http.Request) {
	val, err := io.ReadAll(http.MaxBytesReader(wrt, req.Body, platform.MaxValue))
	condition, cerr := strconv.ParseUint(req.Header.Get(platform.ConditionHeader), 10, 64)
	if err != nil || cerr != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	version, stored, lost := srv.store(req.PathValue("name"), val, condition)
	if lost {
		panic(http.ErrAbortHandler)
	}
	setVersion(wrt, version)
	if !stored {
		wrt.WriteHeader(http.StatusConflict)
	}
}

func (srv *Server) store(name string, val []byte, condition uint64) (version uint64, stored, lost bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	old := srv.objects[name]
	if old.Version != condition {
		return old.Version, false, false
	}
	if old.Version > 0 {
		srv.before[name] = old
	}
	srv.objects[name] = platform.Object{Value: val, Version: old.Version + 1}
	if srv.faults.LoseAnswers > 0 {
		srv.faults.LoseAnswers--
		lost = true
	}
	return old.Version + 1, true, lost
}

func (srv *Server) remove(wrt http.ResponseWriter, req *http.Request) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	delete(srv.objects, req.PathValue("name"))
	wrt.WriteHeader(http.StatusNoContent)
}

func (srv *Server) list(wrt http.ResponseWriter, req *http.Request) {
	prefix := req.URL.Query().Get("prefix")
	srv.mut.Lock()
	names := []string{}
	for name := range srv.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	srv.mut.Unlock()
	slices.Sort(names)
	answerJSON(wrt, names)
}

func (srv *Server) listVMs(wrt http.ResponseWriter, _ *http.Request) {
	srv.mut.Lock()
	vms := slices.Clone(srv.vms)
	srv.mut.Unlock()
	if vms == nil {
		vms = []platform.VM{}
	}
	answerJSON(wrt, vms)
}

func answerJSON(wrt http.ResponseWriter, val any) {
	wrt.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(wrt).Encode(val); err != nil {
		panic(http.ErrAbortHandler)
	}
}
