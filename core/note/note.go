package note

import (
	"strconv"

	"gopkg.in/yaml.v3"

	"marigoldlug.example/core/config"
)

// changes holds the patches of every kind in the added or the changed section of a note.
type changes struct {
	organisations []patch[config.Organisation]
	keys          []patch[config.Key]
	routes        []patch[config.Route]
	services      []patch[config.Service]
}

// withdrawals holds the IDs of the objects of every kind that a note withdraws.
type withdrawals struct {
	organisations []string
	keys          []string
	routes        []string
	services      []string
}

// Note is a release note that was read without errors.
type Note struct {
	// ID identifies the release; applying a note with the same ID again changes nothing.
	ID string
	// Base is the version of the configuration against which the note was written.
	Base      uint64
	added     changes
	changed   changes
	withdrawn withdrawals
}

// Read parses a note in YAML or JSON. The error is a ValidationError that lists every error
// found.
func Read(doc []byte) (*Note, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(doc, &root); err != nil {
		return nil, ValidationError{{Field: "note", Message: err.Error()}}
	}
	var rdr reader
	nte := new(Note)
	if len(root.Content) != 1 {
		return nil, ValidationError{{Line: 1, Field: "note", Message: "the document is empty"}}
	}
	nte.read(&rdr, root.Content[0])
	if len(rdr.errs) > 0 {
		return nil, rdr.errs
	}
	return nte, nil
}

func (nte *Note) read(rdr *reader, nod *yaml.Node) {
	for _, prr := range rdr.pairs(nod, "note") {
		switch prr.name {
		case "release":
			nte.ID = rdr.name(prr.value, prr.name)
		case "base":
			nte.readBase(rdr, prr.value)
		case "added":
			nte.added.read(rdr, prr.value, prr.name, true)
		case "changed":
			nte.changed.read(rdr, prr.value, prr.name, false)
		case "withdrawn":
			nte.withdrawn.read(rdr, prr.value)
		default:
			rdr.addError(prr.at, prr.name, "is not a section of a release note")
		}
	}
	if nte.ID == "" {
		rdr.addError(nod, "release", "is missing")
	}
}

func (nte *Note) readBase(rdr *reader, nod *yaml.Node) {
	base, err := strconv.ParseUint(rdr.str(nod, "base"), 10, 63)
	if err != nil {
		rdr.addError(nod, "base", "must be a version number, not %q", nod.Value)
	}
	nte.Base = base
}

func (chg *changes) read(rdr *reader, nod *yaml.Node, path string, complete bool) {
	for _, prr := range rdr.pairs(nod, path) {
		at := path + "." + prr.name
		switch prr.name {
		case organisationKind.name:
			chg.organisations = organisationKind.read(rdr, prr.value, at, complete)
		case keyKind.name:
			chg.keys = keyKind.read(rdr, prr.value, at, complete)
		case routeKind.name:
			chg.routes = routeKind.read(rdr, prr.value, at, complete)
		case serviceKind.name:
			chg.services = serviceKind.read(rdr, prr.value, at, complete)
		default:
			rdr.addError(prr.at, at, "is not a kind of object")
		}
	}
}

func (wdr *withdrawals) read(rdr *reader, nod *yaml.Node) {
	const path = "withdrawn"
	for _, prr := range rdr.pairs(nod, path) {
		at := path + "." + prr.name
		switch prr.name {
		case organisationKind.name:
			wdr.organisations = rdr.names(prr.value, at)
		case keyKind.name:
			wdr.keys = rdr.names(prr.value, at)
		case routeKind.name:
			wdr.routes = rdr.names(prr.value, at)
		case serviceKind.name:
			wdr.services = rdr.names(prr.value, at)
		default:
			rdr.addError(prr.at, at, "is not a kind of object")
		}
	}
}
