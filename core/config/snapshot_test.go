package config

import (
	"fmt"
	"testing"
)

const routeCount = 8000

func manyRoutes() *Snapshot {
	var con Content
	for num := range routeCount {
		con.Routes = append(con.Routes, Route{
			Name: fmt.Sprintf("route-%d", num), Host: fmt.Sprintf("host-%d", num%40), PathPrefix: fmt.Sprintf("/a/%d", num),
		})
	}
	con.Routes = append(con.Routes, Route{Name: "any", PathPrefix: "/"}, Route{Name: "slash", Host: "s", PathPrefix: "/a/b/"})
	con.Organisations = []Organisation{{Name: "studio"}}
	con.Keys = []Key{{Organisation: "studio", Digest: DigestOf("secret")}}
	return New(con)
}

// TestRoutesMatchWholeSegments checks that a path prefix matches whole segments of a path only, or else
// a request for /a/11 would take the route of /a/1.
func TestRoutesMatchWholeSegments(t *testing.T) {
	sna := manyRoutes()
	for _, one := range []struct{ host, path, want string }{
		{"host-1", "/a/1/x", "route-1"},
		{"host-1", "/a/1", "route-1"},
		{"host-1", "/a/11", "any"},
		{"other", "/a/1", "any"},
		{"host-1", "/", "any"},
		{"s", "/a/b/c", "slash"},
		{"s", "/a/b/", "slash"},
		{"s", "/a/b", "any"},
		{"s", "/a/bc/", "any"},
	} {
		rou := sna.Route(one.host, one.path)
		if rou == nil || rou.Name != one.want {
			t.Errorf("%s%s: got %v, want %s", one.host, one.path, rou, one.want)
		}
	}
}

// TestLookupsDoNotAllocate checks that lookups, which every request makes, allocate no memory, or else
// each request would add to the work of the garbage collector.
func TestLookupsDoNotAllocate(t *testing.T) {
	sna := manyRoutes()
	dig := DigestOf("secret")
	allocs := testing.AllocsPerRun(100, func() {
		key := sna.Key(dig)
		if sna.Route("host-7", "/a/7/one/two") == nil || key == nil || sna.Organisation(key.Organisation) == nil {
			t.Error("not found")
		}
	})
	if allocs > 0 {
		t.Errorf("a lookup makes %v allocations", allocs)
	}
}
