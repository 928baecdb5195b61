package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The counts of buckets into which objects are divided by a hash of their
// name, so that a change touches few objects. They are part of the format in
// which configurations are stored.
const (
	OrganisationBuckets = 128
	KeyBuckets          = 256
	RouteBuckets        = 64
	ServiceBuckets      = 16
)

// Section is one kind of object in a configuration.
type Section uint8

// The sections, in the order in which manifests list them.
const (
	SectionOrganisations Section = iota
	SectionKeys
	SectionRoutes
	SectionServices
)

// sectionCount is the number of sections.
const sectionCount = int(SectionServices) + 1

// Sections lists every section.
func Sections() []Section {
	return []Section{SectionOrganisations, SectionKeys, SectionRoutes, SectionServices}
}

// Buckets returns the number of buckets of the section.
func (sec Section) Buckets() int {
	return [sectionCount]int{OrganisationBuckets, KeyBuckets, RouteBuckets, ServiceBuckets}[sec]
}

func nameBucket(name string, buckets uint64) int { return int(xxhash.Sum64String(name) % buckets) }

// Bucket holds the objects of one bucket; only the list of its section is set.
type Bucket struct {
	Organisations []Organisation
	Keys          []Key
	Routes        []Route
	Services      []Service
}

// Snapshot indexes a configuration for lookups. It is immutable and safe for
// use by several goroutines.
type Snapshot struct {
	organisations [OrganisationBuckets]map[string]*Organisation
	keys          [KeyBuckets]map[Digest]*Key
	routes        [RouteBuckets][]Route
	services      [ServiceBuckets]map[string]*Service
	// hosts indexes routes by host, then by prefix.
	hosts  map[string]map[string][]*Route
	bounds Bounds
}

// New indexes con. The caller must not change con afterwards.
func New(con Content) *Snapshot {
	sna := &Snapshot{bounds: con.Bounds}
	for _, sec := range Sections() {
		for num, buc := range Split(con, sec) {
			sna.put(sec, num, buc)
		}
	}
	sna.indexRoutes()
	return sna
}

// Split divides the objects of one section into its buckets.
func Split(con Content, sec Section) []Bucket {
	bcs := make([]Bucket, sec.Buckets())
	switch sec {
	case SectionOrganisations:
		for _, org := range con.Organisations {
			buc := &bcs[nameBucket(org.Name, OrganisationBuckets)]
			buc.Organisations = append(buc.Organisations, org)
		}
	case SectionKeys:
		for _, key := range con.Keys {
			buc := &bcs[key.Digest[0]]
			buc.Keys = append(buc.Keys, key)
		}
	case SectionRoutes:
		for _, rou := range con.Routes {
			buc := &bcs[nameBucket(rou.Name, RouteBuckets)]
			buc.Routes = append(buc.Routes, rou)
		}
	case SectionServices:
		for _, svc := range con.Services {
			buc := &bcs[nameBucket(svc.Name, ServiceBuckets)]
			buc.Services = append(buc.Services, svc)
		}
	}
	return bcs
}

// Replacement is a bucket that takes the place of an older one.
type Replacement struct {
	Section Section
	Number  int
	Bucket  Bucket
}

// With returns a copy of the snapshot in which the given buckets are replaced.
func (sna *Snapshot) With(rpls []Replacement) *Snapshot {
	out := *sna
	routes := false
	for _, rpl := range rpls {
		out.put(rpl.Section, rpl.Number, rpl.Bucket)
		routes = routes || rpl.Section == SectionRoutes
	}
	if routes || out.hosts == nil {
		out.indexRoutes()
	}
	return &out
}

func (sna *Snapshot) put(sec Section, num int, buc Bucket) {
	switch sec {
	case SectionOrganisations:
		sna.organisations[num] = byKey(buc.Organisations, func(org *Organisation) string { return org.Name })
	case SectionKeys:
		sna.keys[num] = byKey(buc.Keys, func(key *Key) Digest { return key.Digest })
	case SectionRoutes:
		sna.routes[num] = buc.Routes
	case SectionServices:
		sna.services[num] = byKey(buc.Services, func(svc *Service) string { return svc.Name })
	}
}

func byKey[K comparable, T any](objs []T, key func(obj *T) K) map[K]*T {
	if len(objs) == 0 {
		return nil
	}
	out := make(map[K]*T, len(objs))
	for idx := range objs {
		out[key(&objs[idx])] = &objs[idx]
	}
	return out
}

func (sna *Snapshot) indexRoutes() {
	sna.hosts = make(map[string]map[string][]*Route)
	for num := range sna.routes {
		for idx := range sna.routes[num] {
			sna.indexRoute(&sna.routes[num][idx])
		}
	}
}

func (sna *Snapshot) indexRoute(rou *Route) {
	prefixes := sna.hosts[rou.Host]
	if prefixes == nil {
		prefixes = make(map[string][]*Route)
		sna.hosts[rou.Host] = prefixes
	}
	prefixes[rou.PathPrefix] = append(prefixes[rou.PathPrefix], rou)
}

// Content returns every object sorted by name, which must not be changed.
func (sna *Snapshot) Content() Content {
	con := Content{Bounds: sna.bounds}
	for _, org := range sna.organisations {
		con.Organisations = appendValues(con.Organisations, org)
	}
	for _, keys := range sna.keys {
		con.Keys = appendValues(con.Keys, keys)
	}
	for _, rous := range sna.routes {
		con.Routes = append(con.Routes, rous...)
	}
	for _, svcs := range sna.services {
		con.Services = appendValues(con.Services, svcs)
	}
	slices.SortFunc(con.Organisations, func(one, two Organisation) int { return cmp.Compare(one.Name, two.Name) })
	slices.SortFunc(con.Keys, func(one, two Key) int { return cmp.Compare(one.ID, two.ID) })
	slices.SortFunc(con.Routes, func(one, two Route) int { return cmp.Compare(one.Name, two.Name) })
	slices.SortFunc(con.Services, func(one, two Service) int { return cmp.Compare(one.Name, two.Name) })
	return con
}

func appendValues[K comparable, T any](out []T, objs map[K]*T) []T {
	for obj := range maps.Values(objs) {
		out = append(out, *obj)
	}
	return out
}

// Organisation returns the organisation with the given name, or nil.
func (sna *Snapshot) Organisation(name string) *Organisation {
	return sna.organisations[nameBucket(name, OrganisationBuckets)][name]
}

// Key returns the key with the given digest, or nil.
func (sna *Snapshot) Key(dig Digest) *Key { return sna.keys[dig[0]][dig] }

// Service returns the service with the given name, or nil.
func (sna *Snapshot) Service(name string) *Service {
	return sna.services[nameBucket(name, ServiceBuckets)][name]
}

// Services returns every service sorted by name.
func (sna *Snapshot) Services() []*Service {
	var out []*Service
	for _, svcs := range sna.services {
		out = slices.AppendSeq(out, maps.Values(svcs))
	}
	slices.SortFunc(out, func(one, two *Service) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

// Bounds returns the limits on what callers may send.
func (sna *Snapshot) Bounds() Bounds { return sna.bounds }

// Route returns the route with the longest matching prefix on the host, or on
// every host, or nil. The host must be lower case and without port.
func (sna *Snapshot) Route(host, path, method string) *Route {
	if rou := longest(sna.hosts[host], path, method); rou != nil || host == "" {
		return rou
	}
	return longest(sna.hosts[""], path, method)
}

func longest(prefixes map[string][]*Route, path, method string) *Route {
	if prefixes == nil {
		return nil
	}
	// A prefix matches with its trailing slash, or without at the end of a segment.
	for end := len(path); end > 0; {
		if rou := allowed(prefixes[path[:end]], method); rou != nil {
			return rou
		}
		slash := strings.LastIndexByte(path[:end], '/')
		if slash == end-1 {
			end = slash
			continue
		}
		end = slash + 1
	}
	return nil
}

func allowed(rous []*Route, method string) *Route {
	for _, rou := range rous {
		if rou.allowsMethod(method) {
			return rou
		}
	}
	return nil
}

func (rou *Route) allowsMethod(method string) bool {
	return len(rou.Methods) == 0 || slices.Contains(rou.Methods, method)
}

// Admits reports whether the route serves the organisation.
func (rou *Route) Admits(organisation string) bool {
	if len(rou.Organisations) == 0 {
		return true
	}
	_, found := slices.BinarySearch(rou.Organisations, organisation)
	return found
}

// Bucket returns the objects of one bucket sorted by name, as Split does.
func (sna *Snapshot) Bucket(sec Section, num int) Bucket {
	var buc Bucket
	switch sec {
	case SectionOrganisations:
		buc.Organisations = appendValues(nil, sna.organisations[num])
	case SectionKeys:
		buc.Keys = appendValues(nil, sna.keys[num])
	case SectionRoutes:
		buc.Routes = sna.routes[num]
	case SectionServices:
		buc.Services = appendValues(nil, sna.services[num])
	}
	buc.sort()
	return buc
}

func (buc *Bucket) sort() {
	slices.SortFunc(buc.Organisations, func(one, two Organisation) int { return cmp.Compare(one.Name, two.Name) })
	slices.SortFunc(buc.Keys, func(one, two Key) int { return cmp.Compare(one.ID, two.ID) })
	slices.SortFunc(buc.Services, func(one, two Service) int { return cmp.Compare(one.Name, two.Name) })
}
