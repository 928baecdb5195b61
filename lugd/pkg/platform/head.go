package platform

import (
	"encoding/json"
	"fmt"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/fence"
)

// HeadName is the name of the object that holds the head.
const HeadName = "head"

// ChunkPrefix starts the names of the objects that hold chunks.
const ChunkPrefix = "chunks/"

// ChunkName returns the name of the object that holds a chunk.
func ChunkName(id chunk.ID) string { return ChunkPrefix + id.String() }

// headWire is the stored form of a head.
type headWire struct {
	Version        uint64 `json:"version"`
	Release        string `json:"release"`
	ReleaseVersion uint64 `json:"releaseVersion"`
	Manifest       string `json:"manifest"`
	History        string `json:"history"`
	LimitsVersion  uint64 `json:"limitsVersion"`
	Epoch          uint64 `json:"epoch"`
	View           string `json:"view"`
	PriorView      string `json:"priorView"`
	Writer         string `json:"writer"`
	Sequence       uint64 `json:"sequence"`
}

// EncodeHead returns the stored form of a head.
func EncodeHead(hea fence.Head) []byte {
	raw, err := json.Marshal(headWire{
		Version:        hea.Version,
		Release:        hea.Release,
		ReleaseVersion: hea.ReleaseVersion,
		Manifest:       hea.Manifest.String(),
		History:        hea.History.String(),
		LimitsVersion:  hea.LimitsVersion,
		Epoch:          hea.Epoch,
		View:           hea.View.String(),
		PriorView:      hea.PriorView.String(),
		Writer:         hea.Writer,
		Sequence:       hea.Sequence,
	})
	if err != nil {
		panic(err) // A struct of strings and numbers always encodes.
	}
	return raw
}

// DecodeHead reads the stored form of a head.
func DecodeHead(raw []byte) (fence.Head, error) {
	var wir headWire
	if err := json.Unmarshal(raw, &wir); err != nil {
		return fence.Head{}, fmt.Errorf("cannot read the head: %w", err)
	}
	hea := fence.Head{
		Version:        wir.Version,
		Release:        wir.Release,
		ReleaseVersion: wir.ReleaseVersion,
		LimitsVersion:  wir.LimitsVersion,
		Epoch:          wir.Epoch,
		Writer:         wir.Writer,
		Sequence:       wir.Sequence,
	}
	for _, one := range []struct {
		id  *chunk.ID
		txt string
	}{{&hea.Manifest, wir.Manifest}, {&hea.History, wir.History}, {&hea.View, wir.View}, {&hea.PriorView, wir.PriorView}} {
		id, err := chunk.ParseID(one.txt)
		if err != nil {
			return fence.Head{}, fmt.Errorf("cannot read the head: %w", err)
		}
		*one.id = id
	}
	return hea, nil
}
