package storefake

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ServeHTTP serves one call, with the faults that are set.
func (sto *Store) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	fls := sto.faultsFor(req)
	sto.tellEra(wrt.Header())
	switch {
	case fls.Silent:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case fls.Reset:
		panic(http.ErrAbortHandler)
	case fls.Status != 0:
		wrt.WriteHeader(fls.Status)
		return
	}
	if fls.Delay > 0 {
		select {
		case <-time.After(fls.Delay):
		case <-req.Context().Done():
		}
	}
	if req.Method == http.MethodGet {
		sto.mux.ServeHTTP(wrt, req)
		return
	}
	sto.serveWrite(wrt, req)
}

// faultsFor counts a call and returns the faults to inject into it.
func (sto *Store) faultsFor(req *http.Request) Faults {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if req.URL.Query().Get("allowStale") == "1" {
		sto.calls[AllowStaleCall]++
	} else {
		sto.calls[req.Method]++
	}
	if sto.faults.Only != nil && !sto.faults.Only(req.RemoteAddr) {
		return Faults{}
	}
	return sto.faults
}

// serveWrite serves a write, whose response may be lost and which may take effect late.
func (sto *Store) serveWrite(wrt http.ResponseWriter, req *http.Request) {
	sto.mut.Lock()
	lose, late, wait := sto.faults.LoseAnswers > 0, sto.faults.LateWrites > 0, sto.faults.LateTime
	switch {
	case lose:
		sto.faults.LoseAnswers--
	case late:
		sto.faults.LateWrites--
	}
	sto.mut.Unlock()
	switch {
	case lose:
		sto.mux.ServeHTTP(&discardWriter{header: make(http.Header)}, req)
		panic(http.ErrAbortHandler)
	case late:
		body := new(bytes.Buffer)
		if _, err := body.ReadFrom(req.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		delayed := req.Clone(req.Context())
		delayed.Body = http.NoBody
		if body.Len() > 0 {
			delayed.Body = readCloser{bytes.NewReader(body.Bytes())}
		}
		time.AfterFunc(wait, func() { sto.mux.ServeHTTP(&discardWriter{header: make(http.Header)}, delayed) })
		panic(http.ErrAbortHandler)
	}
	sto.mux.ServeHTTP(wrt, req)
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (dwr *discardWriter) Header() http.Header           { return dwr.header }
func (dwr *discardWriter) Write(buf []byte) (int, error) { return len(buf), nil }
func (dwr *discardWriter) WriteHeader(int)               {}

func writeJSON(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	if err := json.NewEncoder(wrt).Encode(body); err != nil {
		panic(http.ErrAbortHandler) // The client has closed the connection.
	}
}

// listing is one page of objects. Revision is the store's.
type listing struct {
	Items    []object `json:"items"`
	More     bool     `json:"hasMore"`
	Revision uint64   `json:"storeRevision"`
}

func (sto *Store) list(wrt http.ResponseWriter, req *http.Request) {
	kind := req.PathValue("kind")
	if req.URL.Query().Has("watch") {
		sto.watch(wrt, req, kind)
		return
	}
	sto.mut.Lock()
	objs, revision := sto.objects[kind], sto.revision
	if sto.faults.OldLists && req.URL.Query().Get("allowStale") == "1" {
		objs, revision = sto.staleObjects[kind], sto.staleRevision
	}
	page := listing{Items: []object{}, Revision: revision}
	for _, name := range slices.Sorted(maps.Keys(objs)) {
		if name <= req.URL.Query().Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, objs[name])
	}
	sto.mut.Unlock()
	writeJSON(wrt, http.StatusOK, page)
}

// event is one change that a watch shows.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// events is the response to a watch. Revision is the store's.
type events struct {
	Events   []event `json:"events"`
	Revision uint64  `json:"storeRevision"`
}

// watch responds as soon as there is an event, or without one when waitMs have passed.
// The status is 410 if the history since the given revision was dropped, or the store does not have that revision
// yet. A watch ends without a response when the store is restored.
func (sto *Store) watch(wrt http.ResponseWriter, req *http.Request, kind string) {
	since, err := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(req.URL.Query().Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := sto.Era()
	for {
		sto.mut.Lock()
		evs, unknown, changed := sto.eventsSince(kind, since), since < sto.compactedRevision || since > sto.revision, sto.changed
		restored := sto.era != era
		sto.mut.Unlock()
		if restored {
			panic(http.ErrAbortHandler)
		}
		if unknown {
			wrt.WriteHeader(http.StatusGone)
			return
		}
		if len(evs.Events) > 0 {
			writeJSON(wrt, http.StatusOK, evs)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(wrt, http.StatusOK, evs)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes of a kind after a revision. The caller holds mut.
func (sto *Store) eventsSince(kind string, revision uint64) events {
	evs := events{Events: []event{}, Revision: sto.revision}
	if sto.faults.DeafWatches {
		return evs
	}
	for _, chg := range sto.history {
		if chg.kind == kind && chg.revision > revision {
			evs.Events = append(evs.Events, event{Object: chg.object, Deleted: chg.deleted})
		}
	}
	return evs
}

func (sto *Store) get(wrt http.ResponseWriter, req *http.Request) {
	sto.mut.Lock()
	obj, found := sto.objects[req.PathValue("kind")][req.PathValue("name")]
	sto.mut.Unlock()
	if !found {
		wrt.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(wrt, http.StatusOK, obj)
}

func (sto *Store) create(wrt http.ResponseWriter, req *http.Request) {
	var obj object
	if err := json.NewDecoder(req.Body).Decode(&obj); err != nil || obj.Metadata.Name == "" {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := req.PathValue("kind")
	sto.mut.Lock()
	stored, found := sto.objects[kind][obj.Metadata.Name]
	if !found {
		stored = sto.putLocked(kind, object{Metadata: meta{Name: obj.Metadata.Name, Finalizers: obj.Metadata.Finalizers}, Spec: obj.Spec})
	}
	sto.mut.Unlock()
	if found {
		writeJSON(wrt, http.StatusConflict, stored)
		return
	}
	writeJSON(wrt, http.StatusCreated, stored)
}

// change applies a change to an object. Unless revision is 0, the object must have
// that revision; else the status is 409.
func (sto *Store) change(wrt http.ResponseWriter, req *http.Request, revision uint64, apply func(kind string, obj object) object) {
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
		writeJSON(wrt, http.StatusConflict, obj)
	default:
		writeJSON(wrt, http.StatusOK, obj)
	}
}

// replace replaces the spec and the finalizers of an object. An object that is being
// deleted is removed with its last finalizer.
func (sto *Store) replace(wrt http.ResponseWriter, req *http.Request) {
	var sent object
	if err := json.NewDecoder(req.Body).Decode(&sent); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.change(wrt, req, sent.Metadata.Revision, func(kind string, obj object) object {
		if bytes.Equal(obj.Spec, sent.Spec) && slices.Equal(obj.Metadata.Finalizers, sent.Metadata.Finalizers) {
			return obj
		}
		obj.Spec, obj.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		if obj.Metadata.Deleting && len(obj.Metadata.Finalizers) == 0 {
			sto.removeLocked(kind, obj.Metadata.Name)
			return obj
		}
		return sto.putLocked(kind, obj)
	})
}

func (sto *Store) setStatus(wrt http.ResponseWriter, req *http.Request) {
	var sent object
	if err := json.NewDecoder(req.Body).Decode(&sent); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.change(wrt, req, sent.Metadata.Revision, func(kind string, obj object) object {
		obj.Status = sent.Status
		return sto.putLocked(kind, obj)
	})
}

// remove removes an object. One with finalizers is only marked as being deleted.
func (sto *Store) remove(wrt http.ResponseWriter, req *http.Request) {
	revision, err := strconv.ParseUint(req.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		revision = 0
	}
	sto.change(wrt, req, revision, func(kind string, obj object) object {
		if len(obj.Metadata.Finalizers) > 0 {
			obj.Metadata.Deleting = true
			return sto.putLocked(kind, obj)
		}
		sto.removeLocked(kind, obj.Metadata.Name)
		return obj
	})
}
