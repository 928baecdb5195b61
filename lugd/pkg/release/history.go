// Package release commits release notes and changes of the view to the
// platform, and reads what has been committed.
package release

import (
	"encoding/json"
	"fmt"
	"time"

	"marigoldlug.example/core/chunk"
)

// maxHistory bounds the releases that are listed and can be a base.
const maxHistory = 512

// Entry is one release in the history.
type Entry struct {
	ID       string
	Version  uint64
	Operator string
	Time     time.Time
	Manifest chunk.ID
	// Note is the digest of the document applied.
	Note chunk.ID
}

type entryWire struct {
	ID       string    `json:"id"`
	Version  uint64    `json:"version"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	Manifest string    `json:"manifest"`
	Note     string    `json:"note"`
}

func encodeHistory(ens []Entry) ([]byte, error) {
	wires := make([]entryWire, 0, len(ens))
	for _, ent := range ens {
		wires = append(wires, entryWire{
			ID: ent.ID, Version: ent.Version, Operator: ent.Operator, Time: ent.Time,
			Manifest: ent.Manifest.String(), Note: ent.Note.String(),
		})
	}
	return json.Marshal(wires)
}

func decodeHistory(raw []byte) ([]Entry, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var wires []entryWire
	if err := json.Unmarshal(raw, &wires); err != nil {
		return nil, fmt.Errorf("cannot read the history: %w", err)
	}
	ens := make([]Entry, 0, len(wires))
	for _, wir := range wires {
		man, err := chunk.ParseID(wir.Manifest)
		if err != nil {
			return nil, fmt.Errorf("cannot read release %q in the history: %w", wir.ID, err)
		}
		nte, err := chunk.ParseID(wir.Note)
		if err != nil {
			return nil, fmt.Errorf("cannot read release %q in the history: %w", wir.ID, err)
		}
		ens = append(ens, Entry{ID: wir.ID, Version: wir.Version, Operator: wir.Operator, Time: wir.Time, Manifest: man, Note: nte})
	}
	return ens, nil
}
