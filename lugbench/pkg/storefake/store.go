// Package storefake is a fake of the platform's object store that can inject the
// faults of the real one.
package storefake

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// pageSize is the largest number of objects on one page of a listing.
const pageSize = 500

// Faults are the faults that the store injects. The soak prints the fields by name.
type Faults struct {
	// Status, if not 0, is the status of the response to every call.
	Status int
	// Silent leaves every call without a response until the client gives up.
	Silent bool
	// Reset aborts the connection of every call.
	Reset bool
	// Delay delays every call.
	Delay time.Duration
	// LoseAnswers is the number of next writes that take effect without a response.
	LoseAnswers int
	// LateWrites is the number of next writes that take effect only after LateTime, and
	// without a response. While LoseAnswers is above 0, no write is late.
	LateWrites int
	LateTime   time.Duration
	// DeafWatches makes watches report no changes.
	DeafWatches bool
	// OldLists makes listings that allow stale data stale: they return the objects as
	// they were when the faults were set.
	OldLists bool
	// EraHeader, if not nil, replaces the value of the header that tells the era; an empty one leaves it out.
	EraHeader *string
	// Only limits Status, Silent, Reset and Delay to clients for whose address it returns
	// true; nil stands for all clients. The other faults affect all clients.
	Only func(remote string) bool
}

// meta is the metadata of an object. Revision is the store's revision at the object's
// last change, and Created that at its creation.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is one object in its wire format.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one change in the history.
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
	// era numbers the restores of the store.
	era uint64
	// compactedRevision is the revision up to which the history was dropped.
	compactedRevision uint64
	faults            Faults
	// staleObjects is what listings return with OldLists, and staleRevision its revision.
	staleObjects  map[string]map[string]object
	staleRevision uint64
	calls         map[string]int
	// changed is closed at the next change that watches may see.
	changed chan struct{}
}

// New returns a store without objects.
func New() *Store {
	sto := &Store{
		mux: http.NewServeMux(), objects: make(map[string]map[string]object), revision: 1, era: firstEra, calls: make(map[string]int), changed: make(chan struct{}),
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
	sto.staleObjects, sto.staleRevision = cloneObjects(sto.objects), sto.revision
}

// Calls returns the number of calls so far by HTTP method, or by AllowStaleCall for
// calls that allow stale data.
func (sto *Store) Calls() map[string]int {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return maps.Clone(sto.calls)
}

// AllowStaleCall is the key of Calls for calls that allow stale data.
const AllowStaleCall = "cheap"

// Compact drops the history. Watches from before the current revision then fail with
// status 410, and those that wait do so at once.
func (sto *Store) Compact() {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.history = nil
	sto.compactedRevision = sto.revision
	sto.wakeLocked()
}

// Put writes an object whatever its revision, as operators and targets do.
func (sto *Store) Put(kind, name string, spec any) (revision uint64, err error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	return sto.PutRaw(kind, name, raw), nil
}

// PutRaw is like Put for a spec that is already encoded, and need not be valid.
func (sto *Store) PutRaw(kind, name string, spec json.RawMessage) uint64 {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	obj := sto.objects[kind][name]
	obj.Metadata.Name = name
	obj.Spec = spec
	return sto.putLocked(kind, obj).Metadata.Revision
}

// Remove removes an object, also if it has finalizers.
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

// putLocked writes an object at the next revision. The caller holds mut.
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

// removeLocked removes an object, if there is one. The caller holds mut.
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

// recordLocked adds a change to the history. The caller holds mut.
func (sto *Store) recordLocked(chg change) {
	sto.history = append(sto.history, chg)
	if !sto.faults.DeafWatches {
		sto.wakeLocked()
	}
}

// wakeLocked wakes the watches that wait. The caller holds mut.
func (sto *Store) wakeLocked() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}
