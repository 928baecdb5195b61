package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Snapshot indexes a configuration for lookups. It is immutable and safe for concurrent use.
type Snapshot struct {
	organisations map[string]*Organisation
	keys          map[Digest]*Key
	services      map[string]*Service
	// hosts indexes the routes by host, then by path prefix.
	hosts  map[string]map[string]*Route
	bounds Bounds
}

// New returns an index of con, which the caller must not change afterwards.
func New(con Content) *Snapshot {
	sna := &Snapshot{
		organisations: byKey(con.Organisations, func(org *Organisation) string { return org.Name }),
		keys:          byKey(con.Keys, func(key *Key) Digest { return key.Digest }),
		services:      byKey(con.Services, func(svc *Service) string { return svc.Name }),
		hosts:         make(map[string]map[string]*Route),
		bounds:        con.Bounds,
	}
	for idx := range con.Routes {
		rou := &con.Routes[idx]
		if sna.hosts[rou.Host] == nil {
			sna.hosts[rou.Host] = make(map[string]*Route)
		}
		sna.hosts[rou.Host][rou.PathPrefix] = rou
	}
	return sna
}

func byKey[K comparable, T any](objs []T, key func(obj *T) K) map[K]*T {
	out := make(map[K]*T, len(objs))
	for idx := range objs {
		out[key(&objs[idx])] = &objs[idx]
	}
	return out
}

// Organisation returns the organisation with the given name, or nil.
func (sna *Snapshot) Organisation(name string) *Organisation { return sna.organisations[name] }

// Key returns the key with the given digest, or nil.
func (sna *Snapshot) Key(dig Digest) *Key { return sna.keys[dig] }

// Service returns the service with the given name, or nil.
func (sna *Snapshot) Service(name string) *Service { return sna.services[name] }

// Services returns every service sorted by name.
func (sna *Snapshot) Services() []*Service {
	return slices.SortedFunc(maps.Values(sna.services), func(one, two *Service) int { return cmp.Compare(one.Name, two.Name) })
}

// Bounds returns the limits on the size and duration of requests.
func (sna *Snapshot) Bounds() Bounds { return sna.bounds }

// KeysUnread reports whether there may be keys beside those that Key returns, which could not be read.
func (sna *Snapshot) KeysUnread() bool { return sna.keys[UnreadKeys] != nil }

// Route returns the route with the longest matching prefix among those of the host. If none
// matches, it looks among the routes for every host, then among those that are not servable, since their host or path
// prefix could not be read: the request may be one of theirs. It returns nil if none of these matches
// either. The host must be in lower case and without a port.
func (sna *Snapshot) Route(host, path string) *Route {
	if rou := longestMatch(sna.hosts[host], path); rou != nil {
		return rou
	}
	if rou := longestMatch(sna.hosts[""], path); rou != nil {
		return rou
	}
	for _, one := range []string{host, ""} {
		if rou := sna.hosts[one][""]; rou != nil {
			return rou
		}
	}
	if rou := longestMatch(sna.hosts[UnreadHost], path); rou != nil {
		return rou
	}
	return sna.hosts[UnreadHost][""]
}

func longestMatch(prefixes map[string]*Route, path string) *Route {
	if prefixes == nil {
		return nil
	}
	// Looks up the path, and then the path cut off after each earlier segment, with and without
	// the slash at its end.
	for end := len(path); end > 0; {
		if rou := prefixes[path[:end]]; rou != nil {
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
