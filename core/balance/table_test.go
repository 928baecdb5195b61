package balance_test

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var (
	table = flag.Bool("table", false, "play all ways and loads and log a table")
	only  = flag.String("way", "", "play only the way of this name")
)

// TestTable logs the table of docs/design/023-even-load.md.
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("it takes minutes; run with -table")
	}
	ways := []way{
		{name: "random"},
		{name: "random, other asked", other: true},
		{name: "least loaded, other asked", learns: true, least: true, other: true},
		{name: "better of two", learns: true},
		{name: "better of two, other asked", learns: true, other: true},
		{name: "the same, even domains", learns: true, other: true, even: true},
		{name: "one placer", single: true},
		{name: "no placer", local: true},
		{name: "no placer, from the start", local: true, cold: true},
	}
	if *only != "" {
		ways = slices.DeleteFunc(ways, func(one way) bool { return one.name != *only })
	}
	for _, svc := range []struct{ vms, tgs, slots int }{{100, 300, 4}, {46, 40, 2}} {
		for _, load := range []float64{0.3, 0.7, 0.95, 1.2} {
			for _, one := range ways {
				got := newPlay(one, 1, svc.vms, svc.tgs, svc.slots, load, 6*time.Second).run().result()
				t.Logf("| %d x %d | %.0f%% | %s | %v |", svc.tgs, svc.slots, 100*load, one.name, got)
			}
		}
	}
}

// TestFewAreRefusedBesideFreeSlots guards against refusing requests in a busy service while another partition has
// free slots, as a random choice of the partition does, and against paying for that with longer queues.
func TestFewAreRefusedBesideFreeSlots(t *testing.T) {
	outcome := func(one way) result { return newPlay(one, 2, 100, 300, 4, 0.95, 2*time.Second).run().result() }
	before, after := outcome(way{}), outcome(way{learns: true, other: true})
	if before.refusedFree < 0.005 || after.refusedFree > before.refusedFree/4 || after.wait > before.wait+before.wait/4 {
		t.Errorf("%v at random, %v with loads", before, after)
	}
	if after.all > 1.4 {
		t.Errorf("the busiest target got %.2f times the mean", after.all)
	}
}
