package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// randomContent returns a content with a random selection of a few objects, each in one of a
// few variants.
func randomContent(rnd *rand.Rand) Content {
	con := Content{
		Organisations: []Organisation{}, Keys: []Key{}, Routes: []Route{}, Services: []Service{},
		Bounds: Bounds{IdleTimeout: time.Duration(rnd.IntN(3)) * time.Second},
	}
	for num := range 9 {
		name := fmt.Sprint("object-", num)
		if rnd.IntN(3) > 0 {
			org := Organisation{Name: name}
			if rnd.IntN(2) > 0 {
				pri := Priority(rnd.IntN(2))
				org.Priority = &pri
			}
			con.Organisations = append(con.Organisations, org)
		}
		if rnd.IntN(3) > 0 {
			con.Keys = append(con.Keys, Key{Organisation: fmt.Sprint("object-", rnd.IntN(2)), Digest: Digest{byte(num)}})
		}
		if rnd.IntN(3) > 0 {
			rou := Route{Name: name, Service: fmt.Sprint(rnd.IntN(2))}
			if rnd.IntN(2) > 0 {
				rou.Split = []Share{{Service: "a", Weight: float64(rnd.IntN(2))}}
			}
			con.Routes = append(con.Routes, rou)
		}
		if rnd.IntN(3) > 0 {
			con.Services = append(con.Services, Service{Name: name, Connections: rnd.IntN(2)})
		}
	}
	return con
}

// TestPatchYieldsLaterContent checks that a patch turns a content into exactly the later one, or else
// followers would hold a configuration that no operator has released.
func TestPatchYieldsLaterContent(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		before, after := randomContent(rnd), randomContent(rnd)
		if got := before.With(Diff(before, after)); !reflect.DeepEqual(got, after) {
			t.Fatalf("seed %d: got %+v, want %+v", seed, got, after)
		}
	}
}

// TestPatchHoldsOnlyChanges checks that the patch for one changed route holds nothing else, or else a
// small change would be as costly to send as the whole configuration.
func TestPatchHoldsOnlyChanges(t *testing.T) {
	before := randomContent(rand.New(rand.NewPCG(1, 1)))
	after := before
	after.Routes = append([]Route(nil), before.Routes...)
	after.Routes[0].Service = "another"
	pat := Diff(before, after)
	if len(pat.Changed.Routes) != 1 || len(pat.RemovedRoutes) != 0 || len(pat.Changed.Keys) != 0 || len(pat.Changed.Organisations) != 0 || len(pat.Changed.Services) != 0 {
		t.Errorf("got %+v", pat)
	}
}
