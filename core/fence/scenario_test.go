package fence

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/member"
)

// TestScenarios runs the scripts in testdata. The commands are:
//
//	fleet vms=N domains=N [trust]    starts VMs that hold head 1
//	run ms=N                         lets time pass
//	platform away|back               takes the platform away for all
//	noplatform vm=ID...              cuts VMs off from the platform
//	cut from=ID,... to=ID,...        cuts one direction
//	heal                             ends every cut between VMs
//	pause vm=ID / wake vm=ID         suspends a VM with its monotonic clock
//	write [add=ID,...] [remove=ID,...]  writes a head, with a new view if asked
//	status                           prints who acts on what
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var wor *simWorld
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			if dat.Cmd == "fleet" {
				wor = scriptedWorld(t, dat)
				return ""
			}
			return wor.command(t, dat)
		})
	})
}

const scriptLease = 5 * time.Second

func number(t *testing.T, dat *datadriven.TestData, name string) int {
	t.Helper()
	var val int
	dat.ScanArgs(t, name, &val)
	return val
}

func list(dat *datadriven.TestData, name string) []string {
	for _, arg := range dat.CmdArgs {
		if arg.Key == name {
			return arg.Vals
		}
	}
	return nil
}

func scriptedWorld(t *testing.T, dat *datadriven.TestData) *simWorld {
	t.Helper()
	listed := make([]bool, number(t, dat, "vms"))
	outside := list(dat, "outside")
	for num := range listed {
		listed[num] = !slices.Contains(outside, strconv.Itoa(num))
	}
	return newSimWorld(t, 1, scriptLease, dat.HasArg("trust"), number(t, dat, "domains"), listed)
}

func (wor *simWorld) command(t *testing.T, dat *datadriven.TestData) string {
	t.Helper()
	switch dat.Cmd {
	case "run":
		wor.run(time.Duration(number(t, dat, "ms")) * time.Millisecond)
	case "platform":
		wor.away = dat.HasArg("away")
	case "noplatform":
		for _, id := range list(dat, "vm") {
			wor.vm("vm-" + id).noPlatform = true
		}
	case "cut":
		for _, from := range list(dat, "from") {
			for _, to := range list(dat, "to") {
				wor.cut[[2]string{"vm-" + from, "vm-" + to}] = true
			}
		}
	case "heal":
		clear(wor.cut)
	case "pause":
		vmm := wor.vm("vm-" + list(dat, "vm")[0])
		vmm.paused, vmm.pausedAt = true, wor.now
	case "wake":
		vmm := wor.vm("vm-" + list(dat, "vm")[0])
		vmm.paused = false
		vmm.stopped += wor.now - vmm.pausedAt
	case "write":
		wor.writeScripted(list(dat, "add"), list(dat, "remove"))
	case "status":
		return wor.status()
	default:
		t.Fatalf("command %q does not exist", dat.Cmd)
	}
	return ""
}

func (wor *simWorld) writeScripted(add, remove []string) {
	hea := wor.newest()
	hea.Version++
	if len(add)+len(remove) > 0 {
		var added []member.VM
		var removed []string
		for _, id := range add {
			added = append(added, wor.vm("vm-"+id).VM)
		}
		for _, id := range remove {
			removed = append(removed, "vm-"+id)
		}
		vie := wor.views[hea.Epoch]
		hea.Epoch = hea.Version
		wor.views[hea.Epoch] = vie.With(hea.Epoch, added, removed)
	}
	wor.heads = append(wor.heads, hea)
}

func (wor *simWorld) status() string {
	var bld strings.Builder
	for _, vmm := range wor.vms {
		state := "refuses"
		if !vmm.paused && vmm.prv.Lease().Active(wor.instant(vmm)) {
			state = "acts"
		}
		fmt.Fprintf(&bld, "%s domain %s: %s on version %d\n", vmm.ID, vmm.FailureDomain, state, vmm.prv.Lease().Held())
	}
	newest := uint64(0)
	for version := range wor.accepted {
		newest = max(newest, version)
	}
	fmt.Fprintf(&bld, "accepted: %d\n", newest)
	return bld.String()
}
