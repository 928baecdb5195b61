// Package storefake is a small stand-in for the platform's store of objects,
// with the faults that the real one has.
package storefake

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// pageSize is the number of objects on one page of a listing.
const pageSize = 500

// Faults are the ways in which the store misbehaves.
type Faults struct {
	// Status, if not 0, is the answer to every call.
	Status int
	// Silent gives no answer to any call.
	Silent bool
	// Reset ends the connection of every call.
	Reset bool
	// Delay holds every answer back.
	Delay time.Duration
	// LoseAnswers makes that many next writes take effect without an answer.
	LoseAnswers int
	// LateWrites makes that many next writes take effect after LateTime,
	// without an answer.
	LateWrites int
	LateTime   time.Duration
	// DeafWatches makes watches that wait hear of no change.
	DeafWatches bool
	// OldLists makes listings that may be old show what they showed when the
	// faults were set.
	OldLists bool
	// Only limits the faults to callers for which it returns true.
	Only func(remote string) bool
}

// meta is what the store says of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is one object.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one event of the history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// Store holds objects in memory. It is safe for concurrent use.
type Store struct {
	mux *http.ServeMux

	mut      sync.Mutex
	objects  map[string]map[string]object
	revision uint64
	history  []change
	// compactedRevision is the revision up to which the history is gone.
	compactedRevision uint64
	faults            Faults
	// staleObjects is what listings that may be old show, oldRevision its revision.
	staleObjects  map[string]map[string]object
	staleRevision uint64
	calls         map[string]int
	// changed is closed at the next change.
	changed chan struct{}
}

// New returns a store without objects.
func New() *Store {
	sto := &Store{
		mux: http.NewServeMux(), objects: make(map[string]map[string]object), revision: 1, calls: make(map[string]int), changed: make(chan struct{}),
	}
	sto.mux.HandleFunc("GET /-/objects/{kind}", sto.list)
	sto.mux.HandleFunc("GET /-/objects/{kind}/{name}", sto.get)
	sto.mux.HandleFunc("POST /-/objects/{kind}", sto.create)
	sto.mux.HandleFunc("PUT /-/objects/{kind}/{name}", sto.replace)
	sto.mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", sto.setStatus)
	sto.mux.HandleFunc("DELETE /-/objects/{kind}/{name}", sto.remove)
	return sto
}

// SetFaults replaces the faults.
func (sto *Store) SetFaults(fls Faults) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.faults = fls
	sto.staleObjects, sto.staleRevision = make(map[string]map[string]object), sto.revision
	for kind, objs := range sto.objects {
		sto.staleObjects[kind] = maps.Clone(objs)
	}
}

// Calls returns the number of calls so far by method, with CheapCall for those
// that may show what is old.
func (sto *Store) Calls() map[string]int {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return maps.Clone(sto.calls)
}

// CheapCall is under which listings that may be old are counted.
const CheapCall = "cheap"

// Compact drops the history, and cuts the watches that wait.
func (sto *Store) Compact() {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.history = nil
	sto.compactedRevision = sto.revision
	sto.wakeLocked()
}

// Put writes an object without a condition, as the operator and the targets do.
func (sto *Store) Put(kind, name string, spec any) (revision uint64, err error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	return sto.PutRaw(kind, name, raw), nil
}

// PutRaw writes an object whose spec may be anything.
func (sto *Store) PutRaw(kind, name string, spec json.RawMessage) uint64 {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	obj := sto.objects[kind][name]
	obj.Metadata.Name = name
	obj.Spec = spec
	return sto.putLocked(kind, obj).Metadata.Revision
}

// Remove removes an object.
func (sto *Store) Remove(kind, name string) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.removeLocked(kind, name)
}

// Names returns the names of the objects of a kind, sorted.
func (sto *Store) Names(kind string) []string {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return slices.Sorted(maps.Keys(sto.objects[kind]))
}

// Spec returns the spec of an object, nil if there is none.
func (sto *Store) Spec(kind, name string) json.RawMessage {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.objects[kind][name].Spec
}

// putLocked writes an object at the next revision. mut is held.
func (sto *Store) putLocked(kind string, obj object) object {
	sto.revision++
	obj.Metadata.Revision = sto.revision
	if obj.Metadata.Created == 0 {
		obj.Metadata.Created = sto.revision
	}
	if sto.objects[kind] == nil {
		sto.objects[kind] = make(map[string]object)
	}
	sto.objects[kind][obj.Metadata.Name] = obj
	sto.recordLocked(change{kind: kind, revision: sto.revision, object: obj})
	return obj
}

// removeLocked removes an object. mut is held.
func (sto *Store) removeLocked(kind, name string) {
	obj, found := sto.objects[kind][name]
	if !found {
		return
	}
	sto.revision++
	delete(sto.objects[kind], name)
	obj.Metadata.Revision = sto.revision
	sto.recordLocked(change{kind: kind, revision: sto.revision, object: obj, deleted: true})
}

func (sto *Store) recordLocked(chg change) {
	sto.history = append(sto.history, chg)
	if !sto.faults.DeafWatches {
		sto.wakeLocked()
	}
}

func (sto *Store) wakeLocked() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}
