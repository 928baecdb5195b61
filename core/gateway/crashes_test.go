package gateway

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestRequestsThatCrashTargetsAreNotSentOn plays fleets of machines and requests that crash the targets
// that run them, beside exits, cuts, losses and targets that end for other reasons. Each script must end
// without a broken bound.
func TestRequestsThatCrashTargetsAreNotSentOn(t *testing.T) {
	datadriven.Walk(t, "testdata/crashes", func(t *testing.T, path string) {
		var sim *fleetSim
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			switch dat.Cmd {
			case "fleet":
				sim = newFleetSim(t, dat)
				return ""
			case "run":
				sim.mostCrashed = provenCrashes
				if dat.HasArg("crashed") {
					dat.ScanArgs(t, "crashed", &sim.mostCrashed)
				}
				return sim.play(t, dat)
			}
			t.Fatalf("unknown command %s", dat.Cmd)
			return ""
		})
	})
}
