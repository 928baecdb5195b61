package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of objects on one page of a list.
const pageSize = 500

var errAway = errors.New("the store is away")

// metadata is the metadata of a stored object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is a stored object.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is an entry of the store's history. before is the object before the change; nil if there was none.
type change struct {
	at       time.Time
	kind     string
	revision uint64
	before   *object
	after    object
	deleted  bool
}

// store is a stand-in of the platform's store. In a drill it is away for a moment and comes back from a copy.
type store struct {
	address string

	mut      sync.Mutex
	objects  map[string]map[string]object
	history  []change
	revision uint64
	era      int
	away     bool
	// woken is closed at the next change.
	woken chan struct{}
}

func newStore() (*store, error) {
	sto := &store{objects: make(map[string]map[string]object), revision: 100, era: 1, woken: make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sto.address = lis.Addr().String()
	go func() { _ = (&http.Server{Handler: sto}).Serve(lis) }()
	return sto, nil
}

func (sto *store) wake() {
	close(sto.woken)
	sto.woken = make(chan struct{})
}

// put writes an object without a condition, as workers and the operator do.
func (sto *store) put(kind, name string, spec any) (revision uint64, err error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.away {
		return 0, errAway
	}
	obj := sto.objects[kind][name]
	obj.Metadata.Name, obj.Spec = name, raw
	return sto.putLocked(kind, obj).Metadata.Revision, nil
}

// remove removes an object.
func (sto *store) remove(kind, name string) error {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.away {
		return errAway
	}
	sto.removeLocked(kind, name)
	return nil
}

// spec returns the spec of an object; nil if there is none.
func (sto *store) spec(kind, name string) json.RawMessage {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.objects[kind][name].Spec
}

// state returns the revision and the era.
func (sto *store) state() (revision uint64, era int) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.revision, sto.era
}

func (sto *store) putLocked(kind string, obj object) object {
	old, found := sto.objects[kind][obj.Metadata.Name]
	if found && bytes.Equal(old.Spec, obj.Spec) && bytes.Equal(old.Status, obj.Status) && slices.Equal(old.Metadata.Finalizers, obj.Metadata.Finalizers) {
		return old
	}
	sto.revision++
	obj.Metadata.Revision = sto.revision
	if obj.Metadata.Created == 0 {
		obj.Metadata.Created = sto.revision
	}
	if obj.Metadata.Finalizers == nil {
		obj.Metadata.Finalizers = []string{}
	}
	if obj.Status == nil {
		obj.Status = json.RawMessage("null")
	}
	chg := change{at: time.Now(), kind: kind, revision: sto.revision, after: obj}
	if found {
		chg.before = &old
	}
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]object)
	}
	sto.objects[kind][obj.Metadata.Name] = obj
	sto.history = append(sto.history, chg)
	sto.wake()
	return obj
}

func (sto *store) removeLocked(kind, name string) {
	old, found := sto.objects[kind][name]
	if !found {
		return
	}
	sto.revision++
	delete(sto.objects[kind], name)
	gone := old
	gone.Metadata.Revision = sto.revision
	sto.history = append(sto.history, change{at: time.Now(), kind: kind, revision: sto.revision, before: &old, after: gone, deleted: true})
	sto.wake()
}

// drill takes the store away for a time and brings it back from a copy that is age old when it goes away.
// It returns the revisions before and after, and when the store came back.
func (sto *store) drill(away, age time.Duration) (before, after uint64, back time.Time) {
	sto.mut.Lock()
	sto.away = true
	from := time.Now().Add(-age)
	before = sto.revision
	sto.wake()
	sto.mut.Unlock()
	time.Sleep(away)
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for len(sto.history) > 0 {
		chg := sto.history[len(sto.history)-1]
		if chg.at.Before(from) {
			break
		}
		sto.history = sto.history[:len(sto.history)-1]
		delete(sto.objects[chg.kind], chg.after.Metadata.Name)
		if chg.before != nil {
			sto.objects[chg.kind][chg.after.Metadata.Name] = *chg.before
		}
		sto.revision = chg.revision - 1
	}
	sto.era++
	sto.away = false
	sto.wake()
	return before, sto.revision, time.Now()
}

// ServeHTTP serves one call. While the store is away, connections are reset.
func (sto *store) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	sto.mut.Lock()
	away, era := sto.away, sto.era
	sto.mut.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	wrt.Header().Set("Store-Era", strconv.Itoa(era))
	kind, name, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/-/objects/"), "/")
	name, toStatus := strings.CutSuffix(name, "/status")
	switch {
	case req.Method == http.MethodGet && name == "" && req.URL.Query().Has("watch"):
		sto.watch(wrt, req, kind, era)
	case req.Method == http.MethodGet && name == "":
		sto.list(wrt, req, kind)
	case req.Method == http.MethodGet:
		sto.mut.Lock()
		obj, found := sto.objects[kind][name]
		sto.mut.Unlock()
		reply(wrt, map[bool]int{true: 200, false: 404}[found], obj)
	default:
		sto.write(wrt, req, kind, name, toStatus, era)
	}
}

func reply(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body)
}

func (sto *store) list(wrt http.ResponseWriter, req *http.Request, kind string) {
	sto.mut.Lock()
	names := make([]string, 0, len(sto.objects[kind]))
	for name := range sto.objects[kind] {
		if name > req.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, sto.objects[kind][name])
	}
	revision := sto.revision
	sto.mut.Unlock()
	reply(wrt, 200, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (sto *store) watch(wrt http.ResponseWriter, req *http.Request, kind string, era int) {
	since, err := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for late := false; ; {
		sto.mut.Lock()
		events := []map[string]any{}
		for _, chg := range sto.history {
			if chg.kind == kind && chg.revision > since {
				events = append(events, map[string]any{"object": chg.after, "deleted": chg.deleted})
			}
		}
		revision, away, cut, woken := sto.revision, sto.away, sto.era != era, sto.woken
		sto.mut.Unlock()
		switch {
		case away, cut:
			panic(http.ErrAbortHandler)
		case since > revision:
			wrt.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || late:
			reply(wrt, 200, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-woken:
		case <-timer.C:
			late = true
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) write(wrt http.ResponseWriter, req *http.Request, kind, name string, toStatus bool, era int) {
	var sent object
	if req.Method != http.MethodDelete {
		if err := json.NewDecoder(req.Body).Decode(&sent); err != nil {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	condition := sent.Metadata.Revision
	if txt := req.URL.Query().Get("revision"); txt != "" {
		condition, _ = strconv.ParseUint(txt, 10, 64)
	}
	if req.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.away || sto.era != era {
		panic(http.ErrAbortHandler)
	}
	obj, found := sto.objects[kind][name]
	switch {
	case name == "":
		wrt.WriteHeader(http.StatusBadRequest)
	case req.Method == http.MethodPost && found:
		reply(wrt, 409, obj)
	case req.Method == http.MethodPost:
		reply(wrt, 201, sto.putLocked(kind, object{Metadata: metadata{Name: name, Finalizers: sent.Metadata.Finalizers}, Spec: sent.Spec}))
	case !found:
		wrt.WriteHeader(http.StatusNotFound)
	case condition != 0 && condition != obj.Metadata.Revision:
		reply(wrt, 409, obj)
	case req.Method == http.MethodDelete:
		sto.removeLocked(kind, name)
		reply(wrt, 200, obj)
	case toStatus:
		obj.Status = sent.Status
		reply(wrt, 200, sto.putLocked(kind, obj))
	default:
		obj.Spec, obj.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		reply(wrt, 200, sto.putLocked(kind, obj))
	}
}
