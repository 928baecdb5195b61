package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// pageSize is the largest number of objects on a page of a listing.
	pageSize = 500
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is one change, as watches show it.
type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. Its answers are linearizable.
type store struct {
	mut      sync.Mutex
	objects  map[string]map[string]object
	history  []event
	revision uint64
	era      uint64
	away     bool
	changed  chan struct{}
	address  string
}

// backup is a copy of the store.
type backup struct {
	objects  map[string]map[string]object
	revision uint64
}

func newStore() (*store, error) {
	sto := &store{objects: make(map[string]map[string]object), revision: 100, changed: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto.address = lis.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", sto.list)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", sto.get)
	mux.HandleFunc("POST /-/objects/{kind}", sto.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", sto.replace)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", sto.remove)
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
			time.Sleep(storeDelay)
			if sto.isAway() {
				panic(http.ErrAbortHandler)
			}
			wrt.Header().Set("Store-Era", strconv.FormatUint(sto.eraNow(), 10))
			mux.ServeHTTP(wrt, req)
		}))
	}()
	return sto, nil
}

func (sto *store) isAway() bool {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.away
}

func (sto *store) eraNow() uint64 {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.era
}

func clone(in map[string]map[string]object) map[string]map[string]object {
	out := make(map[string]map[string]object)
	for kind, objs := range in {
		out[kind] = maps.Clone(objs)
	}
	return out
}

func (sto *store) backup() backup {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return backup{objects: clone(sto.objects), revision: sto.revision}
}

// setAway makes the store refuse all calls, and cuts the watches that wait.
func (sto *store) setAway(away bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.away = away
	sto.wake()
}

// restore brings the store back from a copy, in the next era. It stays away if it was.
func (sto *store) restore(bak backup) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.objects, sto.revision = clone(bak.objects), bak.revision
	sto.history = slices.DeleteFunc(sto.history, func(evt event) bool { return evt.Object.Metadata.Revision > bak.revision })
	sto.era++
	sto.wake()
}

// wake wakes the watches. mut must be held.
func (sto *store) wake() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// put writes an object whatever its revision, as workers and the operator do.
func (sto *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	obj := sto.objects[kind][name]
	obj.Metadata.Name, obj.Spec = name, raw
	sto.write(kind, obj)
}

// drop removes an object.
func (sto *store) drop(kind, name string) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.erase(kind, name)
}

func (sto *store) has(kind, name string) bool {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	_, found := sto.objects[kind][name]
	return found
}

// names returns the names of the objects of a kind.
func (sto *store) names(kind string) []string {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return slices.Sorted(maps.Keys(sto.objects[kind]))
}

func (sto *store) write(kind string, obj object) object {
	sto.revision++
	obj.Metadata.Revision = sto.revision
	if obj.Metadata.Created == 0 {
		obj.Metadata.Created = sto.revision
	}
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]object)
	}
	sto.objects[kind][obj.Metadata.Name] = obj
	sto.history = append(sto.history, event{kind: kind, Object: obj})
	sto.wake()
	return obj
}

func (sto *store) erase(kind, name string) {
	obj, found := sto.objects[kind][name]
	if !found {
		return
	}
	sto.revision++
	obj.Metadata.Revision = sto.revision
	delete(sto.objects[kind], name)
	sto.history = append(sto.history, event{kind: kind, Object: obj, Deleted: true})
	sto.wake()
}

func answer(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body)
}

func (sto *store) list(wrt http.ResponseWriter, req *http.Request) {
	kind := req.PathValue("kind")
	if req.URL.Query().Has("watch") {
		sto.watch(wrt, req, kind)
		return
	}
	sto.mut.Lock()
	page := struct {
		Items    []object `json:"items"`
		More     bool     `json:"hasMore"`
		Revision uint64   `json:"storeRevision"`
	}{Items: []object{}, Revision: sto.revision}
	for _, name := range slices.Sorted(maps.Keys(sto.objects[kind])) {
		if name <= req.URL.Query().Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, sto.objects[kind][name])
	}
	sto.mut.Unlock()
	answer(wrt, http.StatusOK, page)
}

func (sto *store) watch(wrt http.ResponseWriter, req *http.Request, kind string) {
	since, _ := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := sto.eraNow()
	for {
		sto.mut.Lock()
		out := struct {
			Events   []event `json:"events"`
			Revision uint64  `json:"storeRevision"`
		}{Events: []event{}, Revision: sto.revision}
		for _, evt := range sto.history {
			if evt.kind == kind && evt.Object.Metadata.Revision > since {
				out.Events = append(out.Events, evt)
			}
		}
		gone, cut, changed := since > sto.revision, sto.away || sto.era != era, sto.changed
		sto.mut.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case gone:
			wrt.WriteHeader(http.StatusGone)
			return
		case len(out.Events) > 0:
			answer(wrt, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(wrt, http.StatusOK, out)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) get(wrt http.ResponseWriter, req *http.Request) {
	sto.mut.Lock()
	obj, found := sto.objects[req.PathValue("kind")][req.PathValue("name")]
	sto.mut.Unlock()
	if !found {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	answer(wrt, http.StatusOK, obj)
}

func (sto *store) create(wrt http.ResponseWriter, req *http.Request) {
	var obj object
	if json.NewDecoder(req.Body).Decode(&obj) != nil || obj.Metadata.Name == "" {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mut.Lock()
	stored, found := sto.objects[req.PathValue("kind")][obj.Metadata.Name]
	if !found {
		stored = sto.write(req.PathValue("kind"), object{Metadata: metadata{Name: obj.Metadata.Name, Finalizers: obj.Metadata.Finalizers}, Spec: obj.Spec})
	}
	sto.mut.Unlock()
	if found {
		answer(wrt, http.StatusConflict, stored)
		return
	}
	answer(wrt, http.StatusCreated, stored)
}

func (sto *store) replace(wrt http.ResponseWriter, req *http.Request) {
	var sent object
	if json.NewDecoder(req.Body).Decode(&sent) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.change(wrt, req, sent.Metadata.Revision, func(kind string, obj object) object {
		if bytes.Equal(obj.Spec, sent.Spec) {
			return obj
		}
		obj.Spec, obj.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		return sto.write(kind, obj)
	})
}

func (sto *store) remove(wrt http.ResponseWriter, req *http.Request) {
	revision, _ := strconv.ParseUint(req.URL.Query().Get("revision"), 10, 64)
	sto.change(wrt, req, revision, func(kind string, obj object) object {
		sto.erase(kind, obj.Metadata.Name)
		return obj
	})
}

// change applies a change to an object, unless the call names another revision than the object's.
func (sto *store) change(wrt http.ResponseWriter, req *http.Request, revision uint64, apply func(kind string, obj object) object) {
	kind, name := req.PathValue("kind"), req.PathValue("name")
	sto.mut.Lock()
	obj, found := sto.objects[kind][name]
	conflict := found && revision != 0 && revision != obj.Metadata.Revision
	if found && !conflict {
		obj = apply(kind, obj)
	}
	sto.mut.Unlock()
	switch {
	case !found:
		wrt.WriteHeader(http.StatusNotFound)
	case conflict:
		answer(wrt, http.StatusConflict, obj)
	default:
		answer(wrt, http.StatusOK, obj)
	}
}
