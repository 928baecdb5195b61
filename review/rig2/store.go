package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// metadata is the metadata of a stored object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is a stored object as it is sent.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one change in the history of the store.
type change struct {
	kind    string
	object  object
	deleted bool
}

// backup is a copy of the store.
type backup struct {
	objects  map[string]map[string]object
	revision uint64
}

// store is a stand-in of the platform's store, as PROTOCOL.md and the news pages describe it. It keeps its
// whole history.
type store struct {
	server *http.Server
	addr   string

	mut      sync.Mutex
	objects  map[string]map[string]object
	revision uint64
	history  []change
	era      uint64
	// away is set while the store resets every connection.
	away    bool
	changed chan struct{}
}

// startStore starts a store without objects.
func startStore() (*store, error) {
	sto := &store{objects: make(map[string]map[string]object), revision: 1, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", sto.list)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", sto.get)
	mux.HandleFunc("POST /-/objects/{kind}", sto.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", sto.replace)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", sto.remove)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto.addr = lis.Addr().String()
	sto.server = &http.Server{Handler: http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		sto.mut.Lock()
		away, era := sto.away, sto.era
		sto.mut.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		wrt.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		mux.ServeHTTP(wrt, req)
	})}
	go func() { _ = sto.server.Serve(lis) }()
	return sto, nil
}

func reply(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body)
}

// put writes an object as the operator and the workers do.
func (sto *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	obj := sto.objects[kind][name]
	obj.Metadata.Name, obj.Spec = name, raw
	return sto.write(kind, obj).Metadata.Revision
}

// write writes an object at the next revision. mut must be held.
func (sto *store) write(kind string, obj object) object {
	sto.revision++
	obj.Metadata.Revision = sto.revision
	if obj.Metadata.Created == 0 {
		obj.Metadata.Created = sto.revision
	}
	if obj.Metadata.Finalizers == nil {
		obj.Metadata.Finalizers = []string{}
	}
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]object)
	}
	sto.objects[kind][obj.Metadata.Name] = obj
	sto.note(change{kind: kind, object: obj})
	return obj
}

func (sto *store) note(chg change) {
	sto.history = append(sto.history, chg)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// copyOf returns a copy of the store.
func (sto *store) copyOf() backup {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return backup{objects: cloneAll(sto.objects), revision: sto.revision}
}

func cloneAll(kinds map[string]map[string]object) map[string]map[string]object {
	out := make(map[string]map[string]object)
	for kind, objs := range kinds {
		out[kind] = maps.Clone(objs)
	}
	return out
}

// setAway makes the store reset every call, or serve again.
func (sto *store) setAway(away bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.away = away
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// restore brings the store back from a copy: revisions go back, and the era rises by one.
func (sto *store) restore(bak backup) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.objects, sto.revision = cloneAll(bak.objects), bak.revision
	sto.history = slices.DeleteFunc(sto.history, func(chg change) bool { return chg.object.Metadata.Revision > bak.revision })
	sto.era++
	sto.away = false
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) list(wrt http.ResponseWriter, req *http.Request) {
	kind := req.PathValue("kind")
	if req.URL.Query().Has("watch") {
		sto.watch(wrt, req, kind)
		return
	}
	sto.mut.Lock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(sto.objects[kind])) {
		if name > req.URL.Query().Get("after") {
			items = append(items, sto.objects[kind][name])
		}
	}
	rev := sto.revision
	sto.mut.Unlock()
	reply(wrt, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": rev})
}

func (sto *store) watch(wrt http.ResponseWriter, req *http.Request, kind string) {
	since, _ := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	sto.mut.Lock()
	era := sto.era
	sto.mut.Unlock()
	for over := false; ; {
		events := []map[string]any{}
		sto.mut.Lock()
		rev, changed, cut := sto.revision, sto.changed, sto.away || sto.era != era
		for _, chg := range sto.history {
			if chg.kind == kind && chg.object.Metadata.Revision > since {
				events = append(events, map[string]any{"object": chg.object, "deleted": chg.deleted})
			}
		}
		sto.mut.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case since > rev:
			wrt.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			reply(wrt, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
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
	reply(wrt, http.StatusOK, obj)
}

func (sto *store) create(wrt http.ResponseWriter, req *http.Request) {
	var obj object
	if json.NewDecoder(req.Body).Decode(&obj) != nil || obj.Metadata.Name == "" {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := req.PathValue("kind")
	sto.mut.Lock()
	held, found := sto.objects[kind][obj.Metadata.Name]
	if !found {
		held = sto.write(kind, object{Metadata: metadata{Name: obj.Metadata.Name, Finalizers: obj.Metadata.Finalizers}, Spec: obj.Spec})
	}
	sto.mut.Unlock()
	if found {
		reply(wrt, http.StatusConflict, held)
		return
	}
	reply(wrt, http.StatusCreated, held)
}

// alter applies a change to an object on condition of its revision, unless that is 0.
func (sto *store) alter(wrt http.ResponseWriter, req *http.Request, revision uint64, apply func(kind string, obj object) object) {
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
		reply(wrt, http.StatusConflict, obj)
	default:
		reply(wrt, http.StatusOK, obj)
	}
}

func (sto *store) replace(wrt http.ResponseWriter, req *http.Request) {
	var sent object
	if json.NewDecoder(req.Body).Decode(&sent) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.alter(wrt, req, sent.Metadata.Revision, func(kind string, obj object) object {
		if string(obj.Spec) == string(sent.Spec) {
			return obj
		}
		obj.Spec, obj.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		return sto.write(kind, obj)
	})
}

func (sto *store) remove(wrt http.ResponseWriter, req *http.Request) {
	revision, _ := strconv.ParseUint(req.URL.Query().Get("revision"), 10, 64)
	sto.alter(wrt, req, revision, func(kind string, obj object) object {
		sto.revision++
		delete(sto.objects[kind], obj.Metadata.Name)
		obj.Metadata.Revision = sto.revision
		sto.note(change{kind: kind, object: obj, deleted: true})
		return obj
	})
}
