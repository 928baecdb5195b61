package note

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/rate"
)

// digestPrefix precedes the hexadecimal digest of a key.
const digestPrefix = "sha256:"

// target is a target together with the service that it serves.
type target struct {
	service string
	config.Target
}

// field describes how one field of an object is read, shown and required.
type field[T any] struct {
	name     string
	required bool
	read     func(rdr *reader, nod *yaml.Node, path string, obj *T)
	show     func(obj T) string
}

// kind describes one kind of object that a note may list.
type kind[T any] struct {
	// name is the plural used in notes.
	name   string
	id     func(obj T) string
	empty  T
	fields []field[T]
}

func (knd kind[T]) field(name string) *field[T] {
	idx := slices.IndexFunc(knd.fields, func(fld field[T]) bool { return fld.name == name })
	if idx < 0 {
		return nil
	}
	return &knd.fields[idx]
}

func showFloat(val float64) string { return strconv.FormatFloat(val, 'f', -1, 64) }

var organisationKind = kind[config.Organisation]{
	name:  "organisations",
	id:    func(org config.Organisation) string { return org.Name },
	empty: config.Organisation{Weight: 1},
	fields: []field[config.Organisation]{
		{
			"name", true,
			func(rdr *reader, nod *yaml.Node, path string, org *config.Organisation) {
				org.Name = rdr.name(nod, path)
			},
			func(org config.Organisation) string { return org.Name },
		},
		{
			"rate", true,
			func(rdr *reader, nod *yaml.Node, path string, org *config.Organisation) {
				org.Limit.Rate = rate.RequestsPerSecond(rdr.number(nod, path, 0, 1e6))
			},
			func(org config.Organisation) string { return showFloat(org.Limit.Rate.Float()) },
		},
		{
			"burst", true,
			func(rdr *reader, nod *yaml.Node, path string, org *config.Organisation) {
				org.Limit.Burst = rate.Requests(rdr.number(nod, path, 1, 1e6))
			},
			func(org config.Organisation) string { return showFloat(org.Limit.Burst.Float()) },
		},
		{
			"weight", false,
			func(rdr *reader, nod *yaml.Node, path string, org *config.Organisation) {
				org.Weight = rdr.count(nod, path, 1000)
			},
			func(org config.Organisation) string { return strconv.Itoa(org.Weight) },
		},
	},
}

var keyKind = kind[config.Key]{
	name: "keys",
	id:   func(key config.Key) string { return key.ID },
	fields: []field[config.Key]{
		{
			"id", true,
			func(rdr *reader, nod *yaml.Node, path string, key *config.Key) { key.ID = rdr.name(nod, path) },
			func(key config.Key) string { return key.ID },
		},
		{
			"organisation", true,
			func(rdr *reader, nod *yaml.Node, path string, key *config.Key) {
				key.Organisation = rdr.name(nod, path)
			},
			func(key config.Key) string { return key.Organisation },
		},
		{
			"digest", true,
			func(rdr *reader, nod *yaml.Node, path string, key *config.Key) {
				key.Digest = rdr.digest(nod, path)
			},
			func(key config.Key) string { return ShowDigest(key.Digest) },
		},
	},
}

// ShowDigest returns the form of a digest used in notes.
func ShowDigest(dig config.Digest) string { return digestPrefix + hex.EncodeToString(dig[:]) }

func (rdr *reader) digest(nod *yaml.Node, path string) config.Digest {
	var dig config.Digest
	txt, found := strings.CutPrefix(rdr.text(nod, path), digestPrefix)
	raw, err := hex.DecodeString(txt)
	if !found || err != nil || len(raw) != len(dig) {
		rdr.fail(nod, path, "must be %q and %d hexadecimal digits", digestPrefix, 2*len(dig))
		return dig
	}
	copy(dig[:], raw)
	return dig
}

var routeKind = kind[config.Route]{
	name:  "routes",
	id:    func(rou config.Route) string { return rou.Name },
	empty: config.Route{Access: config.AccessKeyed, MaxAttempts: 1},
	fields: []field[config.Route]{
		{
			"name", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Name = rdr.name(nod, path) },
			func(rou config.Route) string { return rou.Name },
		},
		{
			"host", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Host = rdr.host(nod, path) },
			func(rou config.Route) string { return rou.Host },
		},
		{
			"pathPrefix", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.PathPrefix = rdr.pathPrefix(nod, path)
			},
			func(rou config.Route) string { return rou.PathPrefix },
		},
		{
			"methods", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Methods = rdr.methods(nod, path)
			},
			func(rou config.Route) string { return strings.Join(rou.Methods, ",") },
		},
		{
			"access", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Access = rdr.access(nod, path) },
			func(rou config.Route) string { return string(rou.Access) },
		},
		{
			"organisations", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Organisations = rdr.names(nod, path)
			},
			func(rou config.Route) string { return strings.Join(rou.Organisations, ",") },
		},
		{
			"service", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Service = rdr.name(nod, path) },
			func(rou config.Route) string { return rou.Service },
		},
		{
			"idempotent", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Idempotent = rdr.boolean(nod, path)
			},
			func(rou config.Route) string { return strconv.FormatBool(rou.Idempotent) },
		},
		{
			"timeout", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Timeout = rdr.duration(nod, path)
			},
			func(rou config.Route) string { return rou.Timeout.String() },
		},
		{
			"maxAttempts", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.MaxAttempts = rdr.count(nod, path, 10)
			},
			func(rou config.Route) string { return strconv.Itoa(rou.MaxAttempts) },
		},
	},
}

func (rdr *reader) methods(nod *yaml.Node, path string) []string {
	var out []string
	for _, itm := range rdr.items(nod, path) {
		mth := rdr.text(itm, path)
		if mth == "" || strings.ToUpper(mth) != mth {
			rdr.fail(itm, path, "%q is not a method in upper case", mth)
		}
		out = append(out, mth)
	}
	return rdr.sorted(nod, path, out)
}

func (rdr *reader) access(nod *yaml.Node, path string) config.Access {
	acc := config.Access(rdr.text(nod, path))
	if acc != config.AccessOpen && acc != config.AccessKeyed {
		rdr.fail(nod, path, "must be %q or %q, not %q", config.AccessOpen, config.AccessKeyed, acc)
	}
	return acc
}

var serviceKind = kind[config.Service]{
	name: "services",
	id:   func(svc config.Service) string { return svc.Name },
	fields: []field[config.Service]{
		{
			"name", true,
			func(rdr *reader, nod *yaml.Node, path string, svc *config.Service) { svc.Name = rdr.name(nod, path) },
			func(svc config.Service) string { return svc.Name },
		},
		{
			"healthyFloor", true,
			func(rdr *reader, nod *yaml.Node, path string, svc *config.Service) {
				svc.HealthyFloor = rdr.number(nod, path, 0.01, 1)
			},
			func(svc config.Service) string { return showFloat(svc.HealthyFloor) },
		},
	},
}

var targetKind = kind[target]{
	name: "targets",
	id:   func(tgt target) string { return tgt.service + "/" + tgt.Name },
	fields: []field[target]{
		{
			"service", true,
			func(rdr *reader, nod *yaml.Node, path string, tgt *target) { tgt.service = rdr.name(nod, path) },
			func(tgt target) string { return tgt.service },
		},
		{
			"name", true,
			func(rdr *reader, nod *yaml.Node, path string, tgt *target) { tgt.Name = rdr.name(nod, path) },
			func(tgt target) string { return tgt.Name },
		},
		{
			"address", true,
			func(rdr *reader, nod *yaml.Node, path string, tgt *target) { tgt.Address = rdr.address(nod, path) },
			func(tgt target) string { return tgt.Address },
		},
		{
			"failureDomain", true,
			func(rdr *reader, nod *yaml.Node, path string, tgt *target) { tgt.FailureDomain = rdr.name(nod, path) },
			func(tgt target) string { return tgt.FailureDomain },
		},
		{
			"slots", true,
			func(rdr *reader, nod *yaml.Node, path string, tgt *target) {
				tgt.Slots = rdr.count(nod, path, 10000)
			},
			func(tgt target) string { return strconv.Itoa(tgt.Slots) },
		},
		{
			"connections", true,
			func(rdr *reader, nod *yaml.Node, path string, tgt *target) {
				tgt.Connections = rdr.count(nod, path, 100000)
			},
			func(tgt target) string { return strconv.Itoa(tgt.Connections) },
		},
	},
}

// patch is the part of a note that changes or adds one object.
type patch[T any] struct {
	id   string
	line int
	// fields lists the names of the fields given, in the order of the note.
	fields []string
	apply  func(obj T) T
	value  T
}

func (knd kind[T]) read(rdr *reader, nod *yaml.Node, path string, complete bool) []patch[T] {
	var out []patch[T]
	seen := make(map[string]int)
	for idx, itm := range rdr.items(nod, path) {
		pat := knd.readOne(rdr, itm, fmt.Sprintf("%s[%d]", path, idx), complete)
		if first, dup := seen[pat.id]; dup && pat.id != "" {
			rdr.fail(itm, path, "%q is listed on line %d already", pat.id, first)
			continue
		}
		seen[pat.id] = itm.Line
		out = append(out, pat)
	}
	return out
}

func (knd kind[T]) readOne(rdr *reader, nod *yaml.Node, path string, complete bool) patch[T] {
	prs := rdr.pairs(nod, path)
	pat := patch[T]{line: nod.Line, value: knd.empty}
	given := make(map[string]bool)
	for _, prr := range prs {
		fld := knd.field(prr.name)
		if fld == nil {
			rdr.fail(prr.at, path+"."+prr.name, "is not a field of %s", knd.name)
			continue
		}
		given[prr.name] = true
		pat.fields = append(pat.fields, prr.name)
		fld.read(rdr, prr.value, path+"."+prr.name, &pat.value)
	}
	for _, fld := range knd.fields {
		isID := fld.name == "name" || fld.name == "id" || fld.name == "service" && knd.name == targetKind.name
		if fld.required && !given[fld.name] && (complete || isID) {
			rdr.fail(nod, path+"."+fld.name, "is missing")
		}
	}
	pat.id = knd.id(pat.value)
	pat.apply = func(obj T) T {
		var ignored reader // The same nodes were read without fault above.
		for _, prr := range prs {
			if fld := knd.field(prr.name); fld != nil {
				fld.read(&ignored, prr.value, "", &obj)
			}
		}
		return obj
	}
	return pat
}
