// Package inspection finds what is suspicious in a configuration although it is valid: entries that have no effect, and
// limits that contradict each other.
package inspection

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/rate"
)

// Finding is something suspicious.
type Finding struct {
	// Object is the kind and the name of an object, joined by a slash; "limits" for the bounds.
	Object string
	// Field is empty if the finding is about the whole object.
	Field   string
	Message string
}

// Budget is the retry budget of the VMs, as far as it is known.
type Budget struct {
	Known bool
	// Share is the number of retries for each request, and Extra the number beyond that in a window.
	Share float64
	Extra float64
}

// Of returns the findings about a configuration, sorted by object and field.
func Of(con config.Content, bud Budget) []Finding {
	ins := &inspector{con: con, budget: bud}
	ins.organisations()
	ins.keys()
	ins.routes()
	ins.services()
	ins.bounds()
	slices.SortStableFunc(ins.found, func(one, two Finding) int {
		return cmp.Or(strings.Compare(one.Object, two.Object), strings.Compare(one.Field, two.Field))
	})
	return ins.found
}

// New returns the findings about after that before does not have.
func New(before, after config.Content, bud Budget) []Finding {
	known := Of(before, bud)
	return slices.DeleteFunc(Of(after, bud), func(fin Finding) bool { return slices.Contains(known, fin) })
}

// inspector collects the findings about a configuration.
type inspector struct {
	con    config.Content
	budget Budget
	found  []Finding
}

func (ins *inspector) add(object, field, format string, args ...any) {
	ins.found = append(ins.found, Finding{Object: object, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (ins *inspector) organisations() {
	owners := make(map[string]bool)
	for _, key := range ins.con.Keys {
		owners[key.Organisation] = true
	}
	for _, org := range ins.con.Organisations {
		object := "organisations/" + org.Name
		if !owners[org.Name] {
			ins.add(object, "", "has no key, so that no request is its own")
		}
		if lim := org.Limit; lim.Rate > 0 && lim.Burst < rate.Request {
			ins.add(object, "burst", "%g is below one request", lim.Burst.Float())
		}
	}
}

func (ins *inspector) keys() {
	known := make(map[string]bool)
	for _, org := range ins.con.Organisations {
		known[org.Name] = true
	}
	seen := make(map[config.Digest]string)
	for _, key := range ins.con.Keys {
		object := "keys/" + key.ID()
		if !known[key.Organisation] {
			ins.add(object, "organisation", "%s does not exist", key.Organisation)
		}
		if other, twice := seen[key.Digest]; twice {
			ins.add(object, "secret", "is also that of %s", other)
		}
		seen[key.Digest] = key.ID()
	}
}

func (ins *inspector) routes() {
	services := make(map[string]bool)
	for _, svc := range ins.con.Services {
		services[svc.Name] = true
	}
	seen := make(map[[2]string]string)
	for idx := range ins.con.Routes {
		rou := &ins.con.Routes[idx]
		object := "routes/" + rou.Name
		ins.match(object, rou)
		match := [2]string{rou.Host, rou.PathPrefix}
		if other, hidden := seen[match]; hidden {
			ins.add(object, "pathPrefix", "matches the same requests as route %s, so that one hides the other", other)
		}
		seen[match] = rou.Name
		for _, name := range destinations(rou) {
			if !services[name] {
				ins.add(object, "service", "%s does not exist", name)
			}
		}
		ins.split(object, rou.Split)
		ins.limits(object, rou)
	}
}

// match finds routes that no request can match: hosts are compared without a port and in lower case, and requests with
// empty or dot segments in their paths are refused.
func (ins *inspector) match(object string, rou *config.Route) {
	if strings.ContainsAny(rou.Host, ":/? ") || rou.Host != strings.ToLower(rou.Host) {
		ins.add(object, "host", "no request matches %q: a host is in lower case and without a port", rou.Host)
	}
	prefix := rou.PathPrefix
	if !strings.HasPrefix(prefix, "/") || strings.Contains(prefix, "//") || strings.Contains(prefix+"/", "/./") || strings.Contains(prefix+"/", "/../") {
		ins.add(object, "pathPrefix", "no request matches %q: a prefix begins with a slash and has no empty or dot segments", prefix)
	}
}

// destinations returns the services of a route, each once.
func destinations(rou *config.Route) []string {
	names := make(map[string]bool)
	if len(rou.Split) == 0 {
		names[rou.Service] = true
	}
	for _, sha := range rou.Split {
		names[sha.Service] = true
	}
	delete(names, "")
	return slices.Sorted(maps.Keys(names))
}

func (ins *inspector) split(object string, shas []config.Share) {
	seen := make(map[string]bool)
	for _, sha := range shas {
		if sha.Weight == 0 {
			ins.add(object, "split", "service %s has the weight 0 and gets no request", sha.Service)
		}
		if seen[sha.Service] {
			ins.add(object, "split", "service %s is listed twice", sha.Service)
		}
		seen[sha.Service] = true
	}
}

// limits finds limits of a route that contradict each other.
func (ins *inspector) limits(object string, rou *config.Route) {
	switch {
	case rou.Service == "" && len(rou.Split) == 0:
		ins.add(object, "service", "is missing, so that requests are answered 503")
	case rou.Service != "" && len(rou.Split) > 0:
		ins.add(object, "service", "%s has no effect beside a split", rou.Service)
	}
	if rou.Timeout > 0 && rou.LatencyGoal > rou.Timeout {
		ins.add(object, "latencyGoal", "%v is beyond the timeout of %v", rou.LatencyGoal, rou.Timeout)
	}
	if rou.MaxAttempts < 2 {
		return
	}
	switch {
	case !rou.Idempotent:
		ins.add(object, "maxAttempts", "%d has no effect: requests that may have run are not sent again, since they are not idempotent", rou.MaxAttempts)
	case ins.budget.Known && ins.budget.Share == 0 && ins.budget.Extra == 0:
		ins.add(object, "maxAttempts", "%d has no effect without a retry budget", rou.MaxAttempts)
	}
}

func (ins *inspector) services() {
	used := make(map[string]bool)
	for idx := range ins.con.Routes {
		for _, name := range destinations(&ins.con.Routes[idx]) {
			used[name] = true
		}
	}
	for _, svc := range ins.con.Services {
		if !used[svc.Name] {
			ins.add("services/"+svc.Name, "", "is used by no route")
		}
	}
}

func (ins *inspector) bounds() {
	bnd := ins.con.Bounds
	if bnd.IdleTimeout > 0 && bnd.IdleTimeout < bnd.HeaderTimeout {
		ins.add("limits", "idleTimeout", "%v is below the header timeout of %v", bnd.IdleTimeout, bnd.HeaderTimeout)
	}
}
