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

// digestPrefix precedes the digest of a key in hexadecimal.
const digestPrefix = "sha256:"

// field is one field of an object: whether it is required, how it is read from a note, and how
// it is formatted as text.
type field[T any] struct {
	name     string
	required bool
	read     func(rdr *reader, nod *yaml.Node, path string, obj *T)
	format   func(obj T) string
}

// kind is one kind of object that a note may list.
type kind[T any] struct {
	// name is the plural used in notes.
	name string
	id   func(obj T) string
	// defaults is an object that has only the default values.
	defaults T
	fields   []field[T]
}

func (knd kind[T]) field(name string) *field[T] {
	idx := slices.IndexFunc(knd.fields, func(fld field[T]) bool { return fld.name == name })
	if idx < 0 {
		return nil
	}
	return &knd.fields[idx]
}

func formatFloat(val float64) string { return strconv.FormatFloat(val, 'f', -1, 64) }

var organisationKind = kind[config.Organisation]{
	name: "organisations",
	id:   func(org config.Organisation) string { return org.Name },
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
				org.Limit.Rate = rate.RequestsPerSecond(rdr.float(nod, path, 0, 1e6))
			},
			func(org config.Organisation) string { return formatFloat(org.Limit.Rate.Float()) },
		},
		{
			"burst", true,
			func(rdr *reader, nod *yaml.Node, path string, org *config.Organisation) {
				org.Limit.Burst = rate.Requests(rdr.float(nod, path, 1, 1e6))
			},
			func(org config.Organisation) string { return formatFloat(org.Limit.Burst.Float()) },
		},
		{
			"priority", false,
			func(rdr *reader, nod *yaml.Node, path string, org *config.Organisation) {
				pri := config.Priority(rdr.nonNegativeInt(nod, path, maxPriority))
				org.Priority = &pri
			},
			func(org config.Organisation) string {
				if org.Priority == nil {
					return ""
				}
				return strconv.Itoa(int(*org.Priority))
			},
		},
	},
}

var keyKind = kind[config.Key]{
	name: "keys",
	id:   config.Key.ID,
	fields: []field[config.Key]{
		{
			"organisation", true,
			func(rdr *reader, nod *yaml.Node, path string, key *config.Key) {
				key.Organisation = rdr.name(nod, path)
			},
			func(key config.Key) string { return key.Organisation },
		},
		{
			"secret", true,
			func(rdr *reader, nod *yaml.Node, path string, key *config.Key) {
				key.Secret = rdr.secret(nod, path)
				key.Digest = config.DigestOf(key.Secret)
			},
			func(key config.Key) string { return FormatDigest(key.Digest) },
		},
	},
}

// FormatDigest returns the digest of a key as text, which does not reveal the key.
func FormatDigest(dig config.Digest) string { return digestPrefix + hex.EncodeToString(dig[:]) }

// minSecretLength is the minimum length of a key in bytes.
const minSecretLength = 16

func (rdr *reader) secret(nod *yaml.Node, path string) string {
	val := rdr.str(nod, path)
	if len(val) < minSecretLength || strings.ContainsAny(val, " \t") {
		rdr.addError(nod, path, "must have at least %d characters and no spaces", minSecretLength)
	}
	return val
}

var routeKind = kind[config.Route]{
	name:     "routes",
	id:       func(rou config.Route) string { return rou.Name },
	defaults: config.Route{Access: config.AccessKeyed, MaxAttempts: 1},
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
			"access", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Access = rdr.access(nod, path) },
			func(rou config.Route) string { return string(rou.Access) },
		},
		{
			"service", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Service = rdr.name(nod, path) },
			func(rou config.Route) string { return rou.Service },
		},
		{
			"split", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) { rou.Split = rdr.shares(nod, path) },
			func(rou config.Route) string { return formatShares(rou.Split) },
		},
		{
			"idempotent", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Idempotent = rdr.boolean(nod, path)
			},
			func(rou config.Route) string { return strconv.FormatBool(rou.Idempotent) },
		},
		{
			"largeResponses", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.LargeResponses = rdr.boolean(nod, path)
			},
			func(rou config.Route) string {
				if !rou.LargeResponses {
					return ""
				}
				return strconv.FormatBool(true)
			},
		},
		{
			"timeout", true,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Timeout = rdr.duration(nod, path)
			},
			func(rou config.Route) string { return rou.Timeout.String() },
		},
		{
			"latencyGoal", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.LatencyGoal = rdr.duration(nod, path)
			},
			func(rou config.Route) string {
				if rou.LatencyGoal == 0 {
					return ""
				}
				return rou.LatencyGoal.String()
			},
		},
		{
			"priority", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				rou.Priority = config.Priority(rdr.nonNegativeInt(nod, path, maxPriority))
			},
			func(rou config.Route) string { return strconv.Itoa(int(rou.Priority)) },
		},
		{
			"maxAttempts", false,
			func(rdr *reader, nod *yaml.Node, path string, rou *config.Route) {
				// Values from 7 to 10 act like 6: core/gateway dispatches a request at most
				// maxDispatches times.
				rou.MaxAttempts = rdr.positiveInt(nod, path, 10)
			},
			func(rou config.Route) string { return strconv.Itoa(rou.MaxAttempts) },
		},
	},
}

// maxPriority is the largest number that a priority may have, which ranks lowest.
const maxPriority = 100

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
			"healthPath", false,
			func(rdr *reader, nod *yaml.Node, path string, svc *config.Service) {
				svc.HealthPath = rdr.pathPrefix(nod, path)
			},
			func(svc config.Service) string { return svc.HealthPath },
		},
		{
			"connections", false,
			func(rdr *reader, nod *yaml.Node, path string, svc *config.Service) {
				svc.Connections = rdr.positiveInt(nod, path, 1e6)
			},
			func(svc config.Service) string {
				if svc.Connections == 0 {
					return ""
				}
				return strconv.Itoa(svc.Connections)
			},
		},
	},
}

func (rdr *reader) access(nod *yaml.Node, path string) config.Access {
	acc := config.Access(rdr.str(nod, path))
	if acc != config.AccessOpen && acc != config.AccessKeyed {
		rdr.addError(nod, path, "must be %q or %q, not %q", config.AccessOpen, config.AccessKeyed, acc)
	}
	return acc
}

// shares reads a mapping from services to weights.
func (rdr *reader) shares(nod *yaml.Node, path string) []config.Share {
	var out []config.Share
	for _, prr := range rdr.pairs(nod, path) {
		weight := rdr.float(prr.value, path+"."+prr.name, 0, 1e6)
		if weight == 0 {
			rdr.addError(prr.value, path+"."+prr.name, "must be above 0")
		}
		out = append(out, config.Share{Service: prr.name, Weight: weight})
	}
	slices.SortFunc(out, func(one, two config.Share) int { return strings.Compare(one.Service, two.Service) })
	return out
}

func formatShares(shas []config.Share) string {
	var parts []string
	for _, sha := range shas {
		parts = append(parts, sha.Service+": "+formatFloat(sha.Weight))
	}
	return strings.Join(parts, ", ")
}

// patch is an entry of a note that adds or changes one object.
type patch[T any] struct {
	id   string
	line int
	// fields lists the names of the fields given, in the order of the note.
	fields []string
	// apply returns obj with the given fields set.
	apply func(obj T) T
	// value is an object with the given fields set and the others at their defaults.
	value T
}

func (knd kind[T]) read(rdr *reader, nod *yaml.Node, path string, complete bool) []patch[T] {
	var out []patch[T]
	seen := make(map[string]int)
	for idx, itm := range rdr.items(nod, path) {
		pat := knd.readOne(rdr, itm, fmt.Sprintf("%s[%d]", path, idx), complete)
		if first, dup := seen[pat.id]; dup && pat.id != "" {
			rdr.addError(itm, path, "%q is listed on line %d already", pat.id, first)
			continue
		}
		seen[pat.id] = itm.Line
		out = append(out, pat)
	}
	return out
}

func (knd kind[T]) readOne(rdr *reader, nod *yaml.Node, path string, complete bool) patch[T] {
	prs := rdr.pairs(nod, path)
	pat := patch[T]{line: nod.Line, value: knd.defaults}
	given := make(map[string]bool)
	for _, prr := range prs {
		fld := knd.field(prr.name)
		if fld == nil {
			rdr.addError(prr.at, path+"."+prr.name, "is not a field of %s", knd.name)
			continue
		}
		given[prr.name] = true
		pat.fields = append(pat.fields, prr.name)
		fld.read(rdr, prr.value, path+"."+prr.name, &pat.value)
	}
	for _, fld := range knd.fields {
		isID := fld.name == "name"
		if fld.required && !given[fld.name] && (complete || isID) {
			rdr.addError(nod, path+"."+fld.name, "is missing")
		}
	}
	pat.id = knd.id(pat.value)
	pat.apply = func(obj T) T {
		var ignored reader // The same nodes were read above, which collected their errors.
		for _, prr := range prs {
			if fld := knd.field(prr.name); fld != nil {
				fld.read(&ignored, prr.value, "", &obj)
			}
		}
		return obj
	}
	return pat
}
