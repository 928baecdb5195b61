package storefake

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader says in each response how often the store was restored.
const eraHeader = "Store-Era"

// firstEra is the era of a new store.
const firstEra = 1

// Backup is a copy of the store as it was at a moment.
type Backup struct {
	objects  map[string]map[string]object
	revision uint64
}

// Revision returns the store's revision in the backup.
func (bak *Backup) Revision() uint64 { return bak.revision }

// Spec returns the spec of an object in the backup, nil if there is none.
func (bak *Backup) Spec(kind, name string) json.RawMessage { return bak.objects[kind][name].Spec }

// Backup returns a copy of the store.
func (sto *Store) Backup() *Backup {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return &Backup{objects: cloneObjects(sto.objects), revision: sto.revision}
}

// Restore replaces everything by a backup and begins the next era. What was written since the backup is gone, and its
// revisions are given out again. Watches that wait are cut off. Writes that are still late take effect in the
// new era.
func (sto *Store) Restore(bak *Backup) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.objects, sto.revision = cloneObjects(bak.objects), bak.revision
	kept := 0
	for kept < len(sto.history) && sto.history[kept].revision <= bak.revision {
		kept++
	}
	sto.history = sto.history[:kept]
	sto.compactedRevision = min(sto.compactedRevision, bak.revision)
	sto.era++
	sto.wakeLocked()
}

// Lost returns the names of the objects of a kind that a restore from the backup restored takes back, where the
// backup lost was made just before it.
func Lost(kind string, lost, restored *Backup) []string {
	var names []string
	for name, obj := range lost.objects[kind] {
		if old, found := restored.objects[kind][name]; !found || old.Metadata.Revision != obj.Metadata.Revision {
			names = append(names, name)
		}
	}
	for name := range restored.objects[kind] {
		if _, found := lost.objects[kind][name]; !found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Redo writes or removes an object once more after a restore, as it was in the backup lost, unless it was changed
// since the restore.
func (sto *Store) Redo(kind, name string, lost, restored *Backup) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.objects[kind][name].Metadata.Revision != restored.objects[kind][name].Metadata.Revision {
		return
	}
	obj, found := lost.objects[kind][name]
	if !found {
		sto.removeLocked(kind, name)
		return
	}
	sto.putLocked(kind, obj)
}

// Revision returns the revision of the store.
func (sto *Store) Revision() uint64 {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.revision
}

// Era returns the era of the store.
func (sto *Store) Era() uint64 {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.era
}

func cloneObjects(kinds map[string]map[string]object) map[string]map[string]object {
	out := make(map[string]map[string]object, len(kinds))
	for kind, objs := range kinds {
		out[kind] = maps.Clone(objs)
	}
	return out
}

// tellEra sets the header that tells the era.
func (sto *Store) tellEra(hdr http.Header) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	switch {
	case sto.faults.EraHeader != nil:
		hdr.Set(eraHeader, *sto.faults.EraHeader)
	default:
		hdr.Set(eraHeader, strconv.FormatUint(sto.era, 10))
	}
	if hdr.Get(eraHeader) == "" {
		hdr.Del(eraHeader)
	}
}
